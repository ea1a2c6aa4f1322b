/** @file
 * Recovery of a fresh process from the log: time and memory against the
 * number of live orders.
 *
 * Builds the records as the processes of a site would have written them,
 * then has a journal and an order table read them.  Targets: 100,000 live
 * orders within 5 s and 256 MB (docs/design.md).
 */
#include "journal/journal.h"
#include "net/clock.h"
#include "orders/orders.h"

#include <malloc.h>
#include <stdio.h>

#define ENTRIES_PER_RECORD 60U
#define WRITERS 8U
#define TARGET_ORDERS 100000U
#define TARGET_SECONDS 5.0
#define TARGET_MB 256.0
#define BYTES_PER_MB 1e6
#define BODY_BYTES 200U

typedef struct
{
  GPtrArray *records; /* GByteArray */
  orders_t *orders;
  uint64_t read_from;
  bool read;
} bench_t;

static void
begin_append (void *ctx, blob_t record)
{
  (void)ctx;
  (void)record;
}

static void
begin_read (void *ctx, uint64_t from, uint32_t max, uint32_t wait_ms)
{
  bench_t *bench = ctx;

  (void)max;
  (void)wait_ms;
  bench->read_from = from;
  bench->read = true;
}

static void
apply (void *ctx, usec_t now, uint64_t offset, const message_t *entry,
       uint64_t ticket)
{
  bench_t *bench = ctx;
  order_id_t id;

  (void)ticket;
  orders_apply (bench->orders, now, offset, entry, &id);
}

static void
confirmed (void *ctx, usec_t now, usec_t sent_at)
{
  (void)ctx;
  (void)now;
  (void)sent_at;
}

static void
changed (void *ctx, usec_t now, const order_t *order)
{
  (void)ctx;
  (void)now;
  (void)order;
}

static uint64_t
epoch_of (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return 1;
}

static const journal_ops_t journal_ops
    = { begin_append, begin_read, apply, confirmed };
static const orders_ops_t orders_ops = { changed, epoch_of };

static void
add_order (GByteArray *record, uint64_t number)
{
  char key[32];
  char body[BODY_BYTES];
  message_t accept = { .type = MSG_ORDER_ACCEPT };
  message_t start = { .type = MSG_ORDER_START };

  g_snprintf (key, sizeof key, "key-%lu", (unsigned long)number);
  memset (body, 'x', sizeof body);
  accept.u.order_accept.order = number;
  accept.u.order_accept.member = blob_of ("magnolia-print-17");
  accept.u.order_accept.key = blob_of (key);
  accept.u.order_accept.class_name = blob_of ("plate-preparation");
  accept.u.order_accept.team = blob_of ("press-floor");
  accept.u.order_accept.millicores = 2000;
  accept.u.order_accept.memory_mb = 4096;
  accept.u.order_accept.body = (blob_t){ body, sizeof body };
  message_encode (&accept, record);
  start.u.order_start.order = number;
  start.u.order_start.attempt = 1;
  start.u.order_start.worker = blob_of ("worker-0017");
  start.u.order_start.epoch = 1;
  message_encode (&start, record);
}

static GPtrArray *
build_log (uint32_t orders)
{
  GPtrArray *records = g_ptr_array_new ();
  uint64_t seq[WRITERS] = { 0 };
  GByteArray *record = NULL;

  for (uint64_t i = 1; i <= orders; i++)
    {
      if (!record)
        {
          uint32_t writer = records->len % WRITERS;
          message_t head = { .type = MSG_RECORD };

          record = g_byte_array_new ();
          head.u.record.incarnation = writer + 1;
          head.u.record.seq = ++seq[writer];
          message_encode (&head, record);
          g_ptr_array_add (records, record);
        }
      add_order (record, i);
      if (i % (ENTRIES_PER_RECORD / 2) == 0)
        record = NULL;
    }
  return records;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static bool
measure (uint32_t count)
{
  static const journal_config_t config
      = { .max_record_bytes = 1U << 19, .max_queue_bytes = 1U << 20 };
  bench_t bench = { .records = build_log (count) };
  size_t before = heap_bytes ();
  journal_t *journal
      = journal_new (&config, WRITERS + 1, &journal_ops, &bench);
  usec_t start = clock_now ();
  uint64_t log_bytes = 0;
  double seconds;
  double mb;
  bool good;

  bench.orders = orders_new (&orders_ops, &bench);
  journal_tick (journal, start);
  for (guint i = 0; i < bench.records->len; i++)
    {
      GByteArray *record = bench.records->pdata[i];

      log_bytes += record->len;
      journal_read_record (journal, start, i,
                           (blob_t){ (char *)record->data, record->len });
    }
  journal_read_done (journal, start, 0, 0, bench.records->len);
  seconds = (double)(clock_now () - start) / USEC_PER_SEC;
  mb = (double)(heap_bytes () - before) / BYTES_PER_MB;
  good = orders_count (bench.orders, ORDER_STARTED) == count;
  printf ("%8u %9.3f %12.2f %9.1f %12.0f %16.0f\n", count, seconds,
          seconds * USEC_PER_SEC / count, mb, mb * BYTES_PER_MB / count,
          (double)log_bytes / count);
  if (count == TARGET_ORDERS)
    {
      printf ("target: %u orders within %.0f s and %.0f MB: %s\n", count,
              TARGET_SECONDS, TARGET_MB,
              good && seconds <= TARGET_SECONDS && mb <= TARGET_MB
                  ? "reached"
                  : "not reached");
    }
  orders_free (bench.orders);
  journal_free (journal);
  for (guint i = 0; i < bench.records->len; i++)
    g_byte_array_free (bench.records->pdata[i], TRUE);
  g_ptr_array_free (bench.records, TRUE);
  return good;
}

int
main (void)
{
  static const uint32_t counts[] = { 25000, 50000, 100000, 200000, 400000 };
  bool good = true;

  printf ("Recovery from the log (decode and apply; without the network)\n");
  printf ("  orders   seconds  us an order        MB  bytes/order"
          "  log bytes/order\n");
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    good = measure (counts[i]) && good;
  return good ? 0 : 1;
}

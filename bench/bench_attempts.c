/* Bench of attempts: time of one tick and memory of one node with 400,000
   waiting orders, 1/8 of them its turn, and 6,400 attempts on 200 workers. */
#include "attempts/attempts.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define ORDERS 400000U
#define WORKERS 200U
#define NODES 8U
#define SECONDS 20

typedef struct
{
  orders_t *orders;
  placement_t *placement;
  attempts_t *attempts;
  GArray *calls;   /* worker_call_t */
  GArray *starts;  /* msg_order_start_t; the workers' names live on */
  GArray *running; /* attempt_report_t */
  uint64_t offset;
} bench_t;

static void
call (void *ctx, const worker_call_t *call_)
{
  g_array_append_val (((bench_t *)ctx)->calls, *call_);
}

static bool
may_act (void *ctx, uint32_t shard, uint64_t *epoch)
{
  (void)ctx;
  (void)shard;
  *epoch = 1;
  return true;
}

static uint64_t
append (void *ctx, usec_t now, const message_t *entry)
{
  bench_t *bench = (bench_t *)ctx;

  (void)now;
  if (entry->type != MSG_ORDER_START)
    return 0;
  g_array_append_val (bench->starts, entry->u.order_start);
  return ++bench->offset;
}

static bool
is_turn (void *ctx, usec_t now, const order_t *order)
{
  (void)ctx;
  (void)now;
  return order->id % NODES == 0;
}

static bool
never_fits (void *ctx, const order_t *order)
{
  (void)ctx;
  (void)order;
  return false;
}

static retry_rules_t
rules_of (void *ctx, const char *name)
{
  (void)ctx;
  (void)name;
  return (retry_rules_t){ true, true };
}

static uint64_t
epoch_of (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return 1;
}

static void
changed (void *ctx, usec_t now, const order_t *order)
{
  attempts_order_changed (((bench_t *)ctx)->attempts, now, order);
}

static const attempts_ops_t attempts_ops
    = { call, may_act, append, is_turn, never_fits, rules_of };
static const orders_ops_t orders_ops = { changed, epoch_of };
static const placement_ops_t placement_ops = { NULL };
static const attempts_config_t config
    = { .lease = 10 * USEC_PER_SEC,
        .renew_interval = 3 * USEC_PER_SEC,
        .poll_interval = USEC_PER_SEC,
        .silence_timeout = 5 * USEC_PER_SEC,
        .retry_interval = USEC_PER_SEC / 2,
        .placement_interval = 20 * USEC_PER_MSEC,
        .turn_check_interval = USEC_PER_SEC / 2,
        .max_failures = 3 };

static double
microseconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void
accept_all (bench_t *bench)
{
  char key[16];

  for (uint64_t id = 1; id <= ORDERS; id++)
    {
      message_t message = { .type = MSG_ORDER_ACCEPT,
                            .u.order_accept = { .order = id,
                                                .member = blob_of ("m"),
                                                .class_name = blob_of ("c"),
                                                .team = blob_of ("t"),
                                                .millicores = 1000,
                                                .memory_mb = 1000,
                                                .body = blob_of ("body") } };

      g_snprintf (key, sizeof key, "%u", (unsigned)id);
      message.u.order_accept.key = blob_of (key);
      orders_apply (bench->orders, 0, ++bench->offset, &message, NULL);
    }
}

/* Reads the STARTs back and answers every call. */
static void
answer (bench_t *bench, usec_t now)
{
  for (guint i = 0; i < bench->starts->len; i++)
    {
      message_t message = { .type = MSG_ORDER_START,
                            .u.order_start = g_array_index (
                                bench->starts, msg_order_start_t, i) };
      attempt_report_t report = { .order = message.u.order_start.order,
                                  .attempt = 1,
                                  .millicores = 1000,
                                  .memory_mb = 1000 };

      orders_apply (bench->orders, now, ++bench->offset, &message, NULL);
      g_array_append_val (bench->running, report);
    }
  g_array_set_size (bench->starts, 0);
  for (guint i = 0; i < bench->calls->len; i++)
    {
      const worker_call_t *done
          = &g_array_index (bench->calls, worker_call_t, i);
      worker_reply_t reply = { .outcome = REPLY_ANSWERED, .status = 200 };
      attempt_report_t reports[64];

      for (guint r = 0; done->kind == CALL_LIST && r < bench->running->len;
           r++)
        {
          const attempt_report_t *report
              = &g_array_index (bench->running, attempt_report_t, r);
          const order_t *order = orders_get (bench->orders, report->order);

          if (g_strcmp0 (order->worker, done->worker) == 0
              && reply.count < G_N_ELEMENTS (reports))
            reports[reply.count++] = *report;
        }
      reply.reports = reports;
      attempts_handle_reply (bench->attempts, now, done->id, &reply);
    }
  g_array_set_size (bench->calls, 0);
}

static void
bench_begin (bench_t *bench, GRand *random)
{
  char id[8];

  bench->calls = g_array_new (FALSE, TRUE, sizeof (worker_call_t));
  bench->starts = g_array_new (FALSE, TRUE, sizeof (msg_order_start_t));
  bench->running = g_array_new (FALSE, TRUE, sizeof (attempt_report_t));
  bench->placement = placement_new (random, &placement_ops, bench);
  bench->orders = orders_new (&orders_ops, bench);
  bench->attempts = attempts_new (&config, &attempts_ops, bench, bench->orders,
                                  bench->placement);
  for (unsigned i = 0; i < WORKERS; i++)
    {
      worker_info_t info = { id, i % 4, i / 6, 32000, 125000, 0, false };

      g_snprintf (id, sizeof id, "w%u", i);
      attempts_update_worker (bench->attempts, 0, &info, 0);
    }
  attempts_shard_gained (bench->attempts, 0, 0, 1);
}

int
main (void)
{
  GRand *random = g_rand_new_with_seed (6);
  bench_t bench = { 0 };
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  double begin = microseconds ();
  double sum = 0.0;
  double worst = 0.0;
  unsigned ticks = 0;

  bench_begin (&bench, random);
  accept_all (&bench);
  printf (
      "attempts: %u orders accepted, %.1f us and %zu bytes each (seed 6)\n",
      ORDERS, (microseconds () - begin) / ORDERS,
      (mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before) / ORDERS);
  for (usec_t now = 0; now < SECONDS * USEC_PER_SEC;)
    {
      usec_t next;

      begin = microseconds ();
      next = attempts_tick (bench.attempts, now);
      begin = microseconds () - begin;
      sum += begin;
      worst = MAX (worst, begin);
      ticks++;
      answer (&bench, now);
      now = MAX (next, now + USEC_PER_MSEC);
    }
  printf ("attempts: %u running after %d s; %u ticks, %.0f us each, worst "
          "%.0f us, %.2f%% of a core\n",
          bench.running->len, SECONDS, ticks, sum / ticks, worst,
          sum / 1e4 / SECONDS);
  attempts_free (bench.attempts);
  orders_free (bench.orders);
  placement_free (bench.placement);
  g_array_free (bench.calls, TRUE);
  g_array_free (bench.starts, TRUE);
  g_array_free (bench.running, TRUE);
  g_rand_free (random);
  return 0;
}

/* Tests of the journal against a log in memory whose answers can be lost. */
#include "journal/journal.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <string.h>

typedef struct
{
  GPtrArray *records; /* GBytes, by offset */
  uint64_t first;     /* oldest kept */
  GArray *applied;    /* versions of the BUNDLE entries applied */
  GArray *tickets;
  usec_t confirmed_at;
  bool append_pending;
  bool read_pending;
  uint64_t read_from;
  blob_t pending;
  journal_t *journal;
} fake_t;

static void
fake_append (void *ctx, blob_t record)
{
  fake_t *fake = ctx;

  fake->append_pending = true;
  fake->pending = record;
}

static void
fake_read (void *ctx, uint64_t from, uint32_t max, uint32_t wait_ms)
{
  fake_t *fake = ctx;

  (void)max;
  (void)wait_ms;
  fake->read_pending = true;
  fake->read_from = from;
}

static void
fake_apply (void *ctx, usec_t now, uint64_t offset, const message_t *entry,
            uint64_t ticket)
{
  fake_t *fake = ctx;

  (void)now;
  (void)offset;
  g_array_append_val (fake->applied, entry->u.bundle.version);
  g_array_append_val (fake->tickets, ticket);
}

static void
fake_confirmed (void *ctx, usec_t now, usec_t sent_at)
{
  fake_t *fake = ctx;

  (void)now;
  fake->confirmed_at = sent_at;
}

static const journal_ops_t ops
    = { fake_append, fake_read, fake_apply, fake_confirmed };
static const journal_config_t config = { .group_interval = 30000,
                                         .retry_min = 100000,
                                         .retry_max = 1000000,
                                         .poll_wait_ms = 500,
                                         .max_record_bytes = 200,
                                         .max_queue_bytes = 1000,
                                         .max_read_records = 100 };

static fake_t *
fake_new (incarnation_t incarnation)
{
  fake_t *fake = g_new0 (fake_t, 1);

  fake->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  fake->applied = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fake->tickets = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fake->journal = journal_new (&config, incarnation, &ops, fake);
  return fake;
}

static void
fake_free (fake_t *fake)
{
  journal_free (fake->journal);
  g_ptr_array_free (fake->records, TRUE);
  g_array_free (fake->applied, TRUE);
  g_array_free (fake->tickets, TRUE);
  g_free (fake);
}

/* The append takes effect; its answer arrives unless it is lost. */
static void
finish_append (fake_t *fake, usec_t now, bool effect, bool answered)
{
  CU_ASSERT_TRUE_FATAL (fake->append_pending);
  fake->append_pending = false;
  if (effect)
    g_ptr_array_add (fake->records,
                     g_bytes_new (fake->pending.data, fake->pending.len));
  journal_append_done (fake->journal, now, answered ? 0 : -EIO);
}

static void
finish_read (fake_t *fake, usec_t now, int code)
{
  CU_ASSERT_TRUE_FATAL (fake->read_pending);
  fake->read_pending = false;
  for (uint64_t i = MAX (fake->read_from, fake->first);
       code == 0 && i < fake->records->len; i++)
    {
      gsize len;
      const char *data = g_bytes_get_data (fake->records->pdata[i], &len);

      journal_read_record (fake->journal, now, i,
                           (blob_t){ data, (uint32_t)len });
    }
  journal_read_done (fake->journal, now, code, fake->first,
                     fake->records->len);
}

static uint64_t
put (fake_t *fake, usec_t now, uint64_t version)
{
  message_t entry = { .type = MSG_BUNDLE, .u.bundle.version = version };

  return journal_put (fake->journal, now, &entry, false);
}

/* Guards against an entry that is applied twice because the answer to its
   append was lost after the write took effect. */
static void
test_lost_reply (void)
{
  fake_t *fake = fake_new (7);
  uint64_t ticket = put (fake, 0, 1);

  journal_tick (fake->journal, 30000);
  finish_append (fake, 40000, true, false);
  journal_tick (fake->journal, 50000);
  CU_ASSERT_FALSE (fake->append_pending);
  journal_tick (fake->journal, 140000);
  finish_append (fake, 150000, true, true);
  finish_read (fake, 160000, 0);
  CU_ASSERT_EQUAL (fake->records->len, 2);
  CU_ASSERT_EQUAL (fake->applied->len, 1);
  CU_ASSERT_EQUAL (g_array_index (fake->tickets, uint64_t, 0), ticket);
  CU_ASSERT_EQUAL (journal_pending (fake->journal), 0);
  fake_free (fake);
}

/* Guards against entries that are lost or reordered when they fill several
   records. */
static void
test_grouping_and_order (void)
{
  fake_t *fake = fake_new (7);
  usec_t now = 0;

  for (uint64_t i = 1; i <= 50; i++)
    put (fake, 0, i);
  CU_ASSERT_TRUE (journal_tick (fake->journal, 1000) >= 30000);
  CU_ASSERT_FALSE (fake->append_pending);
  for (int i = 0; i < 50 && journal_pending (fake->journal); i++)
    {
      now += 30000;
      journal_tick (fake->journal, now);
      if (fake->append_pending)
        finish_append (fake, now, true, true);
      if (fake->read_pending)
        finish_read (fake, now, 0);
    }
  CU_ASSERT_TRUE (fake->records->len > 1 && fake->records->len < 10);
  CU_ASSERT_EQUAL_FATAL (fake->applied->len, 50);
  for (uint64_t i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (g_array_index (fake->applied, uint64_t, i), i + 1);
  fake_free (fake);
}

/* Guards against a confirmation dated at the answer instead of the question:
   a frozen process would overestimate its lease. */
static void
test_confirmed_from_send_time (void)
{
  fake_t *fake = fake_new (7);

  CU_ASSERT_FALSE (journal_ready (fake->journal));
  journal_tick (fake->journal, 1000);
  finish_read (fake, 900000, 0);
  CU_ASSERT_EQUAL (fake->confirmed_at, 1000);
  CU_ASSERT_TRUE (journal_ready (fake->journal));
  fake_free (fake);
}

/* Guards against a queue that grows without bound while the log is down,
   and against a log that is hammered meanwhile. */
static void
test_log_down (void)
{
  fake_t *fake = fake_new (7);
  int attempts = 0;
  uint64_t accepted = 0;

  for (usec_t now = 0; now < 60 * USEC_PER_SEC; now += 10000)
    {
      accepted += put (fake, now, 1) != 0;
      journal_tick (fake->journal, now);
      if (fake->append_pending)
        {
          attempts++;
          finish_append (fake, now, false, false);
        }
      if (fake->read_pending)
        finish_read (fake, now, -EIO);
    }
  CU_ASSERT_TRUE (attempts < 80);
  CU_ASSERT_TRUE (accepted < 300);
  CU_ASSERT_FALSE (journal_healthy (fake->journal));
  CU_ASSERT_EQUAL (journal_pending (fake->journal), accepted);
  fake_free (fake);
}

/* Guards against a reader that stops for good at records that expired
   unread. */
static void
test_expired_records (void)
{
  fake_t *fake = fake_new (7);

  for (uint64_t i = 1; i <= 3; i++)
    {
      put (fake, 0, i);
      journal_tick (fake->journal, (usec_t)i * 100000);
      finish_append (fake, (usec_t)i * 100000, true, true);
    }
  fake->first = 2;
  finish_read (fake, 400000, 0);
  CU_ASSERT_EQUAL (fake->applied->len, 1);
  CU_ASSERT_EQUAL (journal_offset (fake->journal), 3);
  CU_ASSERT_TRUE (journal_ready (fake->journal));
  fake_free (fake);
}

/* Guards against a record with foreign bytes that ends or stalls a reader. */
static void
test_garbage_record (void)
{
  fake_t *fake = fake_new (7);

  g_ptr_array_add (fake->records, g_bytes_new ("\xff\x00garbage", 9));
  g_ptr_array_add (fake->records, g_bytes_new ("", 0));
  put (fake, 0, 5);
  journal_tick (fake->journal, 30000);
  finish_append (fake, 30000, true, true);
  finish_read (fake, 40000, 0);
  CU_ASSERT_EQUAL (fake->applied->len, 1);
  fake_free (fake);
}

static const suite_test_t tests[] = {
  { "lost reply", test_lost_reply },
  { "grouping and order", test_grouping_and_order },
  { "send time", test_confirmed_from_send_time },
  { "log down", test_log_down },
  { "expired records", test_expired_records },
  { "garbage record", test_garbage_record },
};

int
main (void)
{
  return suite_main ("journal", tests, G_N_ELEMENTS (tests));
}

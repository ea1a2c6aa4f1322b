/* Unit tests of workers whose leases are left to expire, and that are on
   record for the next owner. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEP (100 * USEC_PER_MSEC)
/* Lease of the fixture, and how much later an owner may take it to have
   expired: by the ratio of the clocks, the time of a stop and a margin. */
#define LEASE (6 * USEC_PER_SEC)
#define LEASE_SLACK (USEC_PER_SEC)
/* Interval at which the record is stored. */
#define RECORD_INTERVAL (USEC_PER_SEC)

static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };

/* A worker with a run has been silent for SPAN since its last answer.
   @return the time of the last lease */
static usec_t
set_up_silent_worker (usec_t span)
{
  usec_t granted;

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  reply_to_holds (1, USEC_PER_MSEC, &none);
  granted = fixture.now;
  while (fixture.now < granted + span)
    reply_to_holds (1, STEP, &none);
  return granted;
}

/* The next owner has loaded all records. */
static void
take_over (const GByteArray *lapsing)
{
  GByteArray *kept = g_byte_array_new ();

  g_byte_array_append (kept, lapsing->data, lapsing->len);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  add_job (1);
  shard_apply_record (
      fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
      (blob_t){ (char *)fixture.progress->data, fixture.progress->len });
  shard_apply_record (fixture.shard, fixture.now, RECORD_LAPSING, 0,
                      (blob_t){ (char *)kept->data, kept->len });
  fixture.call_count = 0;
  fixture.appends = 0;
  fixture.leases_unstored = false;
  g_byte_array_unref (kept);
}

/* @return when the task is given up, at UNTIL at the latest */
static usec_t
time_of_requeue (usec_t until)
{
  while (!fixture.appends && fixture.now < until)
    reply_to_holds (1, STEP, &none);
  return fixture.now;
}

/* The progress record of a placed run, as the owners that place it store it.
 */
static void
keep_progress (void)
{
  list_worker_leaving (true);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
}

/* Guards against a task that waits anew for a lease with each takeover, and
   against two runs of it: its worker ends as its owner does, and does not
   answer three owners in a row. */
static void
test_wait_goes_on_after_takeovers (void)
{
  usec_t granted = set_up_silent_worker (0);

  keep_progress ();
  while (fixture.now < granted + 2 * USEC_PER_SEC)
    reply_to_holds (1, STEP, &none);
  for (int i = 0; i < 2; i++)
    {
      take_over (fixture.lapsing);
      shard_loaded (fixture.shard, fixture.now);
      for (usec_t end = fixture.now + 3 * USEC_PER_SEC / 2; fixture.now < end;)
        reply_to_holds (1, STEP, &none);
      CU_ASSERT_EQUAL (fixture.appends, 0);
    }
  take_over (fixture.lapsing);
  shard_loaded (fixture.shard, fixture.now);
  time_of_requeue (granted + 2 * LEASE);
  CU_ASSERT (fixture.now >= granted + LEASE);
  /* Each owner may have stored the record an interval before its end. */
  CU_ASSERT (fixture.now
             <= granted + LEASE + LEASE_SLACK + 3 * RECORD_INTERVAL);
  tear_down ();
}

/* Guards against two runs of a task: its worker answers and gets a lease while
   the record still tells when the former one has expired. */
static void
test_no_lease_while_on_record (void)
{
  set_up_silent_worker (2 * USEC_PER_SEC);
  CU_ASSERT (fixture.lapsing->len > 0);
  fixture.call_count = 0;
  while (!last_call (SHARD_HOLD) || fixture.leases_unstored)
    advance (STEP);
  reply_to_hold (&first_run, 1, NULL, 0);
  fixture.call_count = 0;
  shard_tick (fixture.shard, fixture.now); /* sends the append */
  CU_ASSERT_EQUAL (fixture.lapsing->len, 0);
  fixture.now += USEC_PER_SEC;
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_HOLD));
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->lease_until, 0);
  reply_to_hold (&first_run, 1, NULL, 0);
  fixture.call_count = 0;
  advance (USEC_PER_MSEC); /* the append is stored */
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_HOLD));
  CU_ASSERT (last_call (SHARD_HOLD)->lease_until > 0);
  tear_down ();
}

/* The same while the first such record is in flight. */
static void
test_no_lease_while_record_is_in_flight (void)
{
  set_up_silent_worker (900 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (fixture.lapsing_appends, 0);
  fixture.call_count = 0;
  while (!fixture.lapsing_appends || !last_call (SHARD_HOLD))
    {
      fixture.now += STEP;
      shard_ownership_confirmed (fixture.shard, fixture.now);
      shard_tick (fixture.shard, fixture.now);
    }
  reply_to_hold (&first_run, 1, NULL, 0);
  fixture.call_count = 0;
  fixture.now += USEC_PER_SEC;
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_HOLD));
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->lease_until, 0);
  tear_down ();
}

/* Guards against a repeated start, which extends all leases of its worker,
   while the worker is on record. */
static void
test_no_repeated_start_while_on_record (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  add_job (1);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 1);
  for (size_t i = fixture.call_count; i > 0; i--)
    shard_reply (fixture.shard, fixture.now, fixture.calls[i - 1].id, &none);
  reply_to_holds (13, STEP, &none);
  CU_ASSERT_FATAL (fixture.lapsing->len > 0);
  fixture.call_count = 0;
  while (!last_call (SHARD_HOLD) || fixture.leases_unstored)
    advance (STEP);
  reply_to_hold (NULL, 0, NULL, 0);
  fixture.call_count = 0;
  shard_tick (fixture.shard, fixture.now); /* sends the append */
  CU_ASSERT_EQUAL (fixture.lapsing->len, 0);
  fixture.now += 300 * USEC_PER_MSEC;
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  advance (USEC_PER_MSEC); /* it is stored */
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 1);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  tear_down ();
}

/* Guards against a lease at a worker that a former owner has put on record. */
static void
test_no_lease_at_successor (void)
{
  set_up_silent_worker (0);
  keep_progress ();
  for (int i = 0; i < 20; i++)
    reply_to_holds (1, STEP, &none);
  take_over (fixture.lapsing);
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  shard_tick (fixture.shard, fixture.now);
  reply_to_hold (&first_run, 1, NULL, 0);
  fixture.call_count = 0;
  fixture.now += USEC_PER_SEC;
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_HOLD));
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->lease_until, 0);
  tear_down ();
}

/* Guards against appends for each short silence. */
static void
test_short_silence_is_not_recorded (void)
{
  set_up_silent_worker (500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.lapsing_appends, 0);
  tear_down ();
}

static void
check_default_wait (const GByteArray *record, bool discard)
{
  usec_t taken_over;

  set_up_silent_worker (0);
  keep_progress ();
  take_over (record);
  if (discard)
    shard_discard_lapsing (fixture.shard);
  shard_loaded (fixture.shard, fixture.now);
  taken_over = fixture.now;
  time_of_requeue (taken_over + STALE_LIMIT + 2 * LEASE);
  CU_ASSERT (fixture.now >= taken_over + STALE_LIMIT + LEASE);
  CU_ASSERT (fixture.now <= taken_over + STALE_LIMIT + LEASE + LEASE_SLACK);
  tear_down ();
}

/* Guards against two runs of a task after a record that is damaged, or older
   than appends of an owner that does not know such records. */
static void
test_unusable_record (void)
{
  /* ["w1", 5] and half of another row */
  static const guint8 damaged[] = { 0x92, 0xa2, 'w', '1', 5, 0x92, 0xa2, 'w' };
  GByteArray *record = g_byte_array_new ();

  g_byte_array_append (record, damaged, 5);
  check_default_wait (record, true);
  g_byte_array_append (record, damaged + 5, 3);
  check_default_wait (record, false);
  g_byte_array_unref (record);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "wait goes on after takeovers", test_wait_goes_on_after_takeovers },
    { "no lease while on record", test_no_lease_while_on_record },
    { "no lease while the record is in flight",
      test_no_lease_while_record_is_in_flight },
    { "no repeated start while on record",
      test_no_repeated_start_while_on_record },
    { "no lease at a successor", test_no_lease_at_successor },
    { "short silence is not recorded", test_short_silence_is_not_recorded },
    { "unusable record", test_unusable_record },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard lapsing", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

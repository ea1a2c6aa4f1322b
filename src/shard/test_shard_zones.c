/* Unit tests of evacuated availability zones: nothing starts there, and what
   runs there goes on. */
#include "base/counters.h"
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

static uint64_t version;

static void
set_evacuated (const char *zone, bool evacuated)
{
  zone_record_t record = { .evacuated = evacuated };

  g_strlcpy (record.zone, zone, sizeof record.zone);
  zones_apply (fixture.zones, fixture.now, &record, ++version);
  shard_zones_changed (fixture.shard);
}

/* Adds worker w1 in zone z1 and, if WITH_SECOND, w2 in zone z2, both ready. */
static void
set_up_zones (bool with_second)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  list_worker_in ("w1", "10.0.0.1:1", "z1");
  if (with_second)
    list_worker_in ("w2", "10.0.0.2:1", "z2");
  advance (0);
  reply_as_ready ("w1");
  reply_as_ready ("w2");
}

/* Has what was placed stored, and what is due sent. */
static void
store_and_send (void)
{
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
}

static size_t
count_starts_at (const char *worker)
{
  return count_calls_at (SHARD_START, worker);
}

/* Places the only task of a job on w1 and sends its start.
   @return the call */
static uint64_t
start_on_first (void)
{
  set_up_zones (false);
  add_job (1);
  store_and_send ();
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w1"), 1);
  list_worker_in ("w2", "10.0.0.2:1", "z2");
  advance (0);
  reply_as_ready ("w2");
  return last_call (SHARD_START)->id;
}

/* Guards against first starts in an evacuated zone, and against a zone that is
   not used after it was taken back. */
static void
test_first_start (void)
{
  set_up_zones (true);
  set_evacuated ("z1", true);
  add_job (6);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 0);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 4);
  set_evacuated ("z1", false);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 2);
  tear_down ();
}

/* Guards against a zone that is forgotten when another one is evacuated or
   taken back. */
static void
test_several_zones (void)
{
  set_up_zones (true);
  set_evacuated ("z1", true);
  set_evacuated ("z2", true);
  set_evacuated ("z1", true);
  add_job (2);
  advance (200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  set_evacuated ("z2", false);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 0);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 2);
  tear_down ();
}

/* Guards against a start that was decided before the evacuation was known and
   is sent after. */
static void
test_stored_start (void)
{
  set_up_zones (false);
  add_job (1);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  set_evacuated ("z1", true);
  store_and_send ();
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  list_worker_in ("w2", "10.0.0.2:1", "z2");
  advance (0);
  reply_as_ready ("w2");
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 0);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 1);
  tear_down ();
}

/* Guards against an unanswered start that is repeated in an evacuated zone, or
   whose task is started elsewhere before a stop has closed it. */
static void
test_unanswered_start (void)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  uint64_t start = start_on_first ();

  shard_reply (fixture.shard, fixture.now, start, &none);
  set_evacuated ("z1", true);
  reply_as_ready ("w1");
  advance (400 * USEC_PER_MSEC);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 0);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_STOP), 1);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_STOP)->id, &ok);
  for (int i = 0; i < 3; i++)
    {
      advance (USEC_PER_SEC);
      reply_as_ready ("w1");
      reply_as_ready ("w2");
    }
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w2"), 1);
  CU_ASSERT_EQUAL (last_call (SHARD_START)->run_id.run, 2);
  tear_down ();
}

/* Guards against work that is thrown away: the worker lists the run whose
   start was not answered. */
static void
test_unanswered_start_listed (void)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  uint64_t start = start_on_first ();

  shard_reply (fixture.shard, fixture.now, start, &none);
  set_evacuated ("z1", true);
  reply_with_lists ("w1", &first_run, 1, NULL, 0);
  advance (400 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  tear_down ();
}

/* Guards against a task that waits for its worker although the worker has
   refused the connection. */
static void
test_refused_start (void)
{
  const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };
  uint64_t start = start_on_first ();

  shard_reply (fixture.shard, fixture.now, start, &refused);
  set_evacuated ("z1", true);
  reply_as_ready ("w1");
  advance (400 * USEC_PER_MSEC);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  tear_down ();
}

/* Guards against runs that an evacuation stops. */
static void
test_running_task (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  uint64_t start = start_on_first ();

  shard_reply (fixture.shard, fixture.now, start, &ok);
  set_evacuated ("z1", true);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

/* Guards against a task that resumes in an evacuated zone after its run has
   ended there. */
static void
test_resume (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const end_report_t end = { 1, { JOB_ID, 0, 0, 0, 1 }, RUN_STOPPED, "c1" };
  uint64_t start = start_on_first ();

  shard_reply (fixture.shard, fixture.now, start, &ok);
  set_evacuated ("z1", true);
  reply_with_lists ("w1", NULL, 0, &end, 1);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w2"), 1);
  CU_ASSERT_STRING_EQUAL (last_call (SHARD_START)->checkpoint, "c1");
  tear_down ();
}

/* Guards against an owner that repeats the starts of its predecessor in a zone
   that was evacuated meanwhile. */
static void
test_successor (void)
{
  set_up_with_placed_run ();
  set_evacuated ("z1", true);
  list_worker_in ("w1", "10.0.0.1:1", "z1");
  list_worker_in ("w2", "10.0.0.2:1", "z2");
  advance (0);
  reply_as_ready ("w1");
  reply_as_ready ("w2");
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 0);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 1);
  tear_down ();
}

/* Guards against a wait whose cause an operator cannot see. */
static void
test_wait_is_counted (void)
{
  uint64_t before = counter_get (COUNTER_TASKS_KEPT_AWAY);

  set_up_zones (true);
  set_evacuated ("z2", true);
  add_job (6);
  store_and_send ();
  advance (600 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (counter_get (COUNTER_TASKS_KEPT_AWAY), before + 2);
  tear_down ();
}

/* Guards against gang members that wait in other zones for a member whose
   start was withdrawn. */
static void
test_gang (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };
  submission_t *submission = new_submission (8);

  submission->steps[0].gang = true;
  set_up_zones (true);
  apply_submission (submission);
  store_and_send ();
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w1"), 4);
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w2"), 4);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id,
                   strcmp (fixture.calls[i].worker, "w1") == 0 ? &refused
                                                               : &ok);
  set_evacuated ("z1", true);
  reply_as_ready ("w1");
  advance (400 * USEC_PER_MSEC);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 4);
  CU_ASSERT_EQUAL (count_calls_at (SHARD_STOP, "w2"), 4);
  tear_down ();
}

/* Guards against starts by a process whose view of the zones is too old, such
   as one that was paused: a zone may have been evacuated since. */
static void
test_old_view (void)
{
  set_up_zones (true);
  add_job (1);
  fixture.now += 5 * USEC_PER_SEC;
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  fixture.now += 5 * USEC_PER_SEC;
  fixture.call_count = 0;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  advance (300 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "first start", test_first_start },
    { "several zones", test_several_zones },
    { "stored start", test_stored_start },
    { "unanswered start", test_unanswered_start },
    { "unanswered start listed", test_unanswered_start_listed },
    { "refused start", test_refused_start },
    { "running task", test_running_task },
    { "resume", test_resume },
    { "successor", test_successor },
    { "wait is counted", test_wait_is_counted },
    { "gang", test_gang },
    { "old view", test_old_view },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard zones", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

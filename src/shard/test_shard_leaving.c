/* Unit tests of runs on workers that are leaving. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Least time that the worker says it has left. */
#define REMAINING (3 * USEC_PER_SEC)
/* The worker's notice may be read, and a stop and its list may arrive, this
   late. */
#define CALLS_LIMIT (400 * USEC_PER_MSEC)

/* Answers starts and stops; holds stay open. */
static void
answer_all (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  size_t holds = 0;

  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_HOLD)
      fixture.calls[holds++] = fixture.calls[i];
    else
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
  fixture.call_count = holds;
}

/* The workers answer their holds. */
static void
answer_holds (const run_report_t *runs, size_t run_count,
              const end_report_t *ends, size_t end_count)
{
  reply_with_lists ("w1", runs, run_count, ends, end_count);
  reply_as_ready ("w2");
  fixture.call_count = 0;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
}

/* A job of one task runs on a worker that then gives notice. */
static void
set_up_leaving (bool long_running)
{
  submission_t *submission = new_submission (1);

  set_up ();
  submission->steps[0].long_running = long_running;
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 1);
  answer_all ();
  list_worker_remaining ("w1", "10.0.0.1:1", REMAINING);
  list_worker_with ("w2", "10.0.0.2:1", false);
}

static usec_t
time_until_stop (void)
{
  usec_t begin = fixture.now;
  run_report_t run = first_run;

  while (!count_calls (SHARD_STOP) && fixture.now < begin + 2 * REMAINING)
    {
      run.percent = usec_to_msec (fixture.now) / 100 % 100;
      answer_holds (&run, 1, NULL, 0);
      advance (10 * USEC_PER_MSEC);
    }
  CU_ASSERT (count_calls (SHARD_STOP) > 0);
  return fixture.now - begin;
}

/* Guards against a long-running task that is without a run until the leases of
   its worker have expired, as the worker has left with it. */
static void
test_long_running_task_is_moved (void)
{
  const end_report_t end = { 1, first_run.run_id, RUN_STOPPED, "" };

  set_up_leaving (true);
  CU_ASSERT (time_until_stop () <= CALLS_LIMIT);
  answer_all ();
  answer_holds (NULL, 0, &end, 1);
  for (int i = 0; i < 3 && !count_calls (SHARD_START); i++)
    {
      advance (10 * USEC_PER_MSEC);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
  CU_ASSERT_STRING_EQUAL (last_call (SHARD_START)->worker, "w2");
  tear_down ();
}

/* Guards against work that is thrown away although its worker gives it time to
   end, and against runs that are still there when the time is over. */
static void
test_run_is_stopped_in_time (void)
{
  usec_t until_stop;

  set_up_leaving (false);
  until_stop = time_until_stop ();
  CU_ASSERT (until_stop >= REMAINING / 2);
  CU_ASSERT (until_stop <= REMAINING - CALLS_LIMIT);
  tear_down ();
}

/* Guards against runs that are stopped by a notice that no longer stands. */
static void
test_notice_is_taken_back (void)
{
  run_report_t run = first_run;

  set_up_leaving (false);
  list_worker ();
  for (int i = 0; i < 50; i++)
    {
      advance (REMAINING / 25);
      CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
      run.percent++;
      answer_holds (&run, 1, NULL, 0);
    }
  tear_down ();
}

/* Guards against tasks that a process which is stopping, and which starts
   nothing, leaves without a run. */
static void
test_quiesced_owner_moves_nothing (void)
{
  set_up_leaving (true);
  shard_quiesce (fixture.shard);
  for (int i = 0; i < 20; i++)
    {
      advance (REMAINING / 5);
      CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
      answer_holds (&first_run, 1, NULL, 0);
    }
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "long-running task is moved", test_long_running_task_is_moved },
    { "run is stopped in time", test_run_is_stopped_in_time },
    { "notice is taken back", test_notice_is_taken_back },
    { "quiesced owner moves nothing", test_quiesced_owner_moves_nothing },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard leaving", tests, sizeof tests / sizeof *tests);
  g_byte_array_unref (fixture.progress);
  return code;
}

/* Unit tests of runs that a worker never had: their tasks are started again in
   bounded time, however often the worker answers. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEP (10 * USEC_PER_MSEC)
/* Longest time until the task of a run that has ended is started again. */
#define SETTLE_LIMIT (3 * USEC_PER_SEC)
/* Longest time that the platform allows a task to be without a run after the
   end of an impairment, while there is capacity. */
#define TURN_LIMIT (7 * USEC_PER_SEC)
/* Less than the timeout of other calls. */
#define SLOW_ANSWER (600 * USEC_PER_MSEC)
#define FAILING_JOBS 6U

/* A call that is answered later. */
typedef struct
{
  shard_call_t call;
  usec_t sent;
} waiting_call_t;

static int64_t started_ms; /* start of the incarnation of all workers */
static bool stops_answered;
static shard_call_t last_stop;
static shard_call_t last_start;
static uint32_t starts;
static GArray *holds;       /* waiting_call_t */
static GArray *stops;       /* the same */
static usec_t stop_latency; /* of answers to stops */

/* Lists the present incarnation of w1 and, if BOTH, of w2. */
static void
list_workers (bool both)
{
  list_worker_on ("w1", "10.0.0.1:1", "r", started_ms);
  if (both)
    list_worker_on ("w2", "10.0.0.2:1", "r", started_ms);
}

static void
set_up_two_workers (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  started_ms = START_WALL_MS;
  stops_answered = true;
  starts = 0;
  holds = g_array_new (FALSE, FALSE, sizeof (waiting_call_t));
  stops = g_array_new (FALSE, FALSE, sizeof (waiting_call_t));
  stop_latency = 0;
  list_workers (false);
  advance (0);
  reply_as_ready ("w1");
  fixture.call_count = 0;
}

static void
tear_down_workers (void)
{
  g_array_free (holds, TRUE);
  g_array_free (stops, TRUE);
  tear_down ();
}

static void
answer_hold (const shard_call_t *hold)
{
  const shard_reply_t lists = { .kind = SHARD_REPLY_OK,
                                .clock_ms = usec_to_msec (fixture.now),
                                .started_ms = started_ms,
                                .has_lists = true };

  shard_reply (fixture.shard, fixture.now, hold->id, &lists);
}

/* Answers a call of the owner; starts are left to the test. */
static void
take_call (const shard_call_t *call)
{
  static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const waiting_call_t waiting = { *call, fixture.now };

  switch (call->kind)
    {
    case SHARD_STOP:
      last_stop = *call;
      if (stop_latency)
        g_array_append_val (stops, waiting);
      else if (stops_answered)
        shard_reply (fixture.shard, fixture.now, call->id, &ok);
      break;
    case SHARD_HOLD:
      g_array_append_val (holds, waiting);
      break;
    case SHARD_START:
      last_start = *call;
      starts++;
      break;
    }
}

/* Answers stops after their latency, if that is no longer than their timeout.
 */
static void
answer_stops (void)
{
  for (guint i = stops->len; i > 0; i--)
    {
      waiting_call_t stop = g_array_index (stops, waiting_call_t, i - 1);
      shard_reply_t reply
          = { .kind = stop_latency <= stop.call.timeout ? SHARD_REPLY_OK
                                                        : SHARD_REPLY_NONE };

      if (fixture.now - stop.sent < MIN (stop_latency, stop.call.timeout))
        continue;
      g_array_remove_index_fast (stops, i - 1);
      shard_reply (fixture.shard, fixture.now, stop.call.id, &reply);
    }
}

/* Workers list no run, answer stops at once, and holds when their wait is
   over. */
static void
run_workers (usec_t span)
{
  for (usec_t end = fixture.now + span; fixture.now < end;)
    {
      shard_call_t calls[MAX_CALLS];
      size_t count = fixture.call_count;

      memcpy (calls, fixture.calls, count * sizeof *calls);
      fixture.call_count = 0;
      for (size_t i = 0; i < count; i++)
        take_call (&calls[i]);
      for (guint i = holds->len; i > 0; i--)
        {
          waiting_call_t hold = g_array_index (holds, waiting_call_t, i - 1);

          if (fixture.now - hold.sent < hold.call.wait)
            continue;
          g_array_remove_index_fast (holds, i - 1);
          answer_hold (&hold.call);
        }
      answer_stops ();
      if (fixture.appends)
        shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      advance (STEP);
    }
}

static void
reply_to_start (shard_reply_kind_t kind)
{
  const shard_reply_t reply = { .kind = kind };

  shard_reply (fixture.shard, fixture.now, last_start.id, &reply);
}

/* A start gets no answer, its repetition is rejected, and the run is stopped.
 */
static void
reject_unanswered_start (void)
{
  set_up_two_workers ();
  add_job (1);
  run_workers (100 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (starts, 1);
  reply_to_start (SHARD_REPLY_NONE);
  run_workers (1500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (starts, 2);
  CU_ASSERT_EQUAL (last_start.run_id.run, 1);
  list_workers (true);
  reply_to_start (SHARD_REPLY_UNHEALTHY);
}

/* Guards against a task that is never started again: each answered stop made
   all lists requested before it count for nothing. */
static void
test_stops_outpace_lists (void)
{
  reject_unanswered_start ();
  run_workers (SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 3);
  CU_ASSERT_EQUAL (last_start.run_id.run, 2);
  tear_down_workers ();
}

/* Guards against two runs of a task: the worker restarts after it has answered
   a stop, and its new incarnation may still execute the late start. */
static void
test_restart_after_stop (void)
{
  static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };

  reject_unanswered_start ();
  run_workers (100 * USEC_PER_MSEC);
  stops_answered = false;
  run_workers (300 * USEC_PER_MSEC);
  started_ms += 1000;
  list_workers (true);
  run_workers (2 * SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 2);
  shard_reply (fixture.shard, fixture.now, last_stop.id, &none);
  stops_answered = true;
  run_workers (SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 3);
  tear_down_workers ();
}

/* Guards against a task that waits for good since its worker answers each stop
   later than its timeout. */
static void
test_slow_answers_to_stops (void)
{
  reject_unanswered_start ();
  stop_latency = SLOW_ANSWER;
  started_ms += 1000;
  list_workers (true);
  run_workers (2 * SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 3);
  tear_down_workers ();
}

/* Guards against two runs of a task: an answer to a stop that the former
   incarnation of the worker sent arrives after the first list of the new
   one. */
static void
test_late_answer_to_stop (void)
{
  static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

  reject_unanswered_start ();
  stops_answered = false;
  run_workers (100 * USEC_PER_MSEC);
  started_ms += 1000;
  list_workers (true);
  run_workers (SETTLE_LIMIT);
  shard_reply (fixture.shard, fixture.now, last_stop.id, &ok);
  run_workers (2 * SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 2);
  shard_reply (fixture.shard, fixture.now, last_stop.id, &none);
  stops_answered = true;
  run_workers (SETTLE_LIMIT);
  CU_ASSERT_EQUAL (starts, 3);
  tear_down_workers ();
}

/* Guards against a restart that is forgotten since the hold that tells it is
   rejected: the task would wait for more lists, and a start without an answer
   would be compared with the clock of another incarnation. */
static void
test_restart_in_rejected_hold (void)
{
  shard_reply_t rejected = { .kind = SHARD_REPLY_UNHEALTHY };

  set_up_two_workers ();
  add_job (1);
  run_workers (100 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (starts, 1);
  reply_to_start (SHARD_REPLY_OK);
  run_workers (100 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (holds->len, 1);
  started_ms += 1000;
  rejected.started_ms = started_ms;
  rejected.clock_ms = usec_to_msec (fixture.now);
  shard_reply (fixture.shard, fixture.now,
               g_array_index (holds, waiting_call_t, 0).call.id, &rejected);
  g_array_set_size (holds, 0);
  list_workers (true);
  run_workers (500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (starts, 2);
  CU_ASSERT_EQUAL (last_start.run_id.run, 2);
  tear_down_workers ();
}

/* Has the first FAILING_JOBS tasks fail on the only worker, at once. */
static void
fail_runs (void)
{
  static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  end_report_t ends[FAILING_JOBS];

  for (uint32_t i = 0; i < FAILING_JOBS; i++)
    {
      submission_t *submission = new_submission_with_id (JOB_ID + i, 1);

      submission->max_attempts = 1;
      submission->steps[0].millicores = 500;
      apply_submission (submission);
      ends[i] = (end_report_t){
        i + 1, { JOB_ID + i, 0, 0, 0, 1 }, RUN_FAILED, ""
      };
    }
  advance (STEP);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (STEP);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), FAILING_JOBS);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
  reply_with_lists ("w1", NULL, 0, ends, FAILING_JOBS);
}

/* Guards against a pause of failing workers that lasts longer than a task may
   be without a run: all workers may have failed at once, for a reason that has
   gone (srv_grey errors all: 48 of 48 workers paused). */
static void
test_pause_of_failing_workers (void)
{
  const shard_reply_t lists = { .kind = SHARD_REPLY_OK,
                                .started_ms = START_WALL_MS,
                                .has_lists = true };
  usec_t failed_at;

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  fail_runs ();
  failed_at = fixture.now;
  add_job_with_id (JOB_ID + FAILING_JOBS, 1);
  do
    {
      if (fixture.appends)
        shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      reply_to_holds (1, STEP, &lists);
    }
  while (!last_call (SHARD_START) && fixture.now < failed_at + 2 * TURN_LIMIT);
  CU_ASSERT (fixture.now - failed_at < TURN_LIMIT);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "stops outpace lists", test_stops_outpace_lists },
    { "restart after stop", test_restart_after_stop },
    { "slow answers to stops", test_slow_answers_to_stops },
    { "late answer to stop", test_late_answer_to_stop },
    { "restart in a rejected hold", test_restart_in_rejected_hold },
    { "pause of failing workers", test_pause_of_failing_workers },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard settle", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

/* Unit tests of copies of late runs: the first run that is done ends the task,
   and failures of workers, owners and the store leave one run or two. */
#include "base/counters.h"
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <jansson.h>
#include <string.h>

#define STEP (10 * USEC_PER_MSEC)
#define WORKERS 4U
#define MAX_RUNS 8U
#define MAX_STARTS 32U
/* Of the runs that are not late. */
#define DURATION (400 * USEC_PER_MSEC)
/* A run is late then at the latest, with passes every 100 ms. */
#define LATE_AFTER (1200 * USEC_PER_MSEC)
/* Longest time until the leases of a silent worker have expired. */
#define LEASES_END (9 * USEC_PER_SEC)
/* Shorter than the leases of a silent worker. */
#define SILENCE (5 * USEC_PER_SEC)
/* After this time a new owner starts copies. */
#define SETTLED (2100 * USEC_PER_MSEC)

/* A worker process that answers what the shard asks, or nothing. */
typedef struct
{
  shard_call_t hold; /* not answered yet, id 0: none */
  run_report_t runs[MAX_RUNS];
  end_report_t ends[MAX_RUNS];
  const char *checkpoint; /* of all its runs */
  size_t run_count;
  size_t end_count;
  uint64_t last_end;
  usec_t hold_due;
  bool silent;
  bool ignores_starts; /* starts are lost, other calls are answered */
  char id[4];
  char address[16];
} test_worker_t;

typedef struct
{
  char worker[4];
  char checkpoint[8];
  run_id_t run_id;
} test_start_t;

static test_worker_t workers[WORKERS];
static test_start_t starts[MAX_STARTS];
static uint32_t start_count;
static uint32_t stop_count;
static bool store_up;
static usec_t store_latency;
static usec_t append_seen; /* when the append in flight was sent, 0: none is */
static uint32_t appends_seen;
static GString *trace; /* of the calls, a line each */

static test_worker_t *
find_worker (const char *id)
{
  return &workers[id[1] - '1'];
}

/* @return the place of a run of the first job in the list of a worker, -1 if
   it is not there */
static int
find_run (const test_worker_t *worker, uint32_t index, uint32_t number)
{
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].run_id.index == index
        && worker->runs[i].run_id.run == number
        && worker->runs[i].run_id.job == JOB_ID)
      return (int)i;
  return -1;
}

static void
end_run_at (test_worker_t *worker, size_t i, run_end_t how)
{
  CU_ASSERT_FATAL (worker->end_count < MAX_RUNS);
  worker->ends[worker->end_count++]
      = (end_report_t){ ++worker->last_end, worker->runs[i].run_id, how,
                        worker->checkpoint };
  worker->runs[i] = worker->runs[--worker->run_count];
  worker->hold_due = 0;
}

/* Ends a run of the first job. */
static void
end_run (const char *id, uint32_t index, uint32_t number, run_end_t how)
{
  test_worker_t *worker = find_worker (id);
  int i = find_run (worker, index, number);

  CU_ASSERT_FATAL (i >= 0);
  end_run_at (worker, (size_t)i, how);
}

static void
take_start (test_worker_t *worker, const shard_call_t *call)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

  CU_ASSERT_FATAL (start_count < MAX_STARTS);
  g_snprintf (starts[start_count].worker, sizeof starts->worker, "%s",
              worker->id);
  g_snprintf (starts[start_count].checkpoint, sizeof starts->checkpoint, "%s",
              call->checkpoint ? call->checkpoint : "");
  starts[start_count++].run_id = call->run_id;
  if (worker->ignores_starts)
    return;
  CU_ASSERT_FATAL (worker->run_count < MAX_RUNS);
  worker->runs[worker->run_count++]
      = (run_report_t){ .run_id = call->run_id,
                        .checkpoint = worker->checkpoint };
  shard_reply (fixture.shard, fixture.now, call->id, &ok);
}

static void
take_stop (test_worker_t *worker, const shard_call_t *call)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  int i = find_run (worker, call->run_id.index, call->run_id.run);

  stop_count++;
  if (i >= 0)
    end_run_at (worker, (size_t)i, RUN_STOPPED);
  shard_reply (fixture.shard, fixture.now, call->id, &ok);
}

static void
take_hold (test_worker_t *worker, const shard_call_t *call)
{
  size_t kept = 0;

  for (size_t i = 0; i < worker->end_count; i++)
    if (worker->ends[i].number > call->acknowledged_end)
      worker->ends[kept++] = worker->ends[i];
  worker->end_count = kept;
  worker->hold = *call;
  worker->hold_due = fixture.now + call->wait;
}

static void
take_call (const shard_call_t *call)
{
  static const char *const kinds[] = {
    [SHARD_HOLD] = "hold", [SHARD_START] = "start", [SHARD_STOP] = "stop"
  };
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  test_worker_t *worker = find_worker (call->worker);

  g_string_append_printf (
      trace,
      "%" G_GINT64_FORMAT " %s %s %u.%u lease %" G_GINT64_FORMAT
      " wait %" G_GINT64_FORMAT "\n",
      fixture.now, kinds[call->kind], call->worker, call->run_id.index,
      call->run_id.run, call->lease_until, call->wait);
  if (worker->silent)
    shard_reply (fixture.shard, fixture.now, call->id, &none);
  else if (call->kind == SHARD_START)
    take_start (worker, call);
  else if (call->kind == SHARD_STOP)
    take_stop (worker, call);
  else
    take_hold (worker, call);
}

static void
answer_hold (test_worker_t *worker)
{
  const shard_reply_t lists = { .kind = SHARD_REPLY_OK,
                                .clock_ms = usec_to_msec (fixture.now),
                                .started_ms = START_WALL_MS,
                                .has_lists = true,
                                .runs = worker->runs,
                                .run_count = worker->run_count,
                                .ends = worker->ends,
                                .end_count = worker->end_count };
  uint64_t id = worker->hold.id;

  for (size_t i = 0; i < worker->run_count; i++)
    worker->runs[i].percent
        = (uint32_t)(fixture.now / (100 * USEC_PER_MSEC) % 100);
  worker->hold.id = 0;
  shard_reply (fixture.shard, fixture.now, id, &lists);
}

static void
fail_hold (test_worker_t *worker)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  uint64_t id = worker->hold.id;

  worker->hold.id = 0;
  shard_reply (fixture.shard, fixture.now, id, &none);
}

static void
answer_store (void)
{
  if (fixture.appends != appends_seen)
    {
      appends_seen = fixture.appends;
      append_seen = fixture.now;
    }
  if (!store_up || (append_seen && fixture.now - append_seen < store_latency))
    return;
  append_seen = 0;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
}

static void
run_for (usec_t span)
{
  for (usec_t end = fixture.now + span; fixture.now < end;)
    {
      shard_call_t calls[MAX_CALLS];
      size_t count;

      advance (STEP);
      answer_store ();
      count = fixture.call_count;
      memcpy (calls, fixture.calls, count * sizeof *calls);
      fixture.call_count = 0;
      for (size_t i = 0; i < count; i++)
        take_call (&calls[i]);
      for (uint32_t i = 0; i < WORKERS; i++)
        if (workers[i].hold.id && workers[i].silent)
          fail_hold (&workers[i]);
        else if (workers[i].hold.id && fixture.now >= workers[i].hold_due)
          answer_hold (&workers[i]);
    }
}

static void
list_workers (void)
{
  static const char *const racks[WORKERS] = { "r1", "r1", "r1", "r2" };

  for (uint32_t i = 0; i < WORKERS; i++)
    list_worker_on (workers[i].id, workers[i].address, racks[i],
                    START_WALL_MS);
}

/* Whether the next shard starts no copies. */
static bool switched_off;

/* The owner of an empty shard with four workers, the last of them on a rack of
   its own. */
static void
set_up_workers (void)
{
  memset (workers, 0, sizeof workers);
  start_count = stop_count = appends_seen = 0;
  append_seen = store_latency = 0;
  store_up = true;
  if (!trace)
    trace = g_string_new (NULL);
  g_string_truncate (trace, 0);
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      workers[i].checkpoint = "";
      g_snprintf (workers[i].id, sizeof workers[i].id, "w%u", i + 1);
      g_snprintf (workers[i].address, sizeof workers[i].address, "10.0.0.%u:1",
                  i + 1);
    }
  if (switched_off)
    set_up_without_copies ();
  else
    set_up ();
  shard_loaded (fixture.shard, fixture.now);
  list_workers ();
  run_for (SETTLED);
}

static submission_t *
new_job (bool speculative, uint32_t tasks, uint32_t max_attempts)
{
  submission_t *submission = new_submission (tasks);

  submission->steps[0].speculative = speculative;
  submission->max_attempts = max_attempts;
  return submission;
}

/* @return the worker on which the run of a task was started last */
static const char *
worker_of (uint32_t index, uint32_t number)
{
  for (uint32_t i = start_count; i > 0; i--)
    if (starts[i - 1].run_id.index == index
        && starts[i - 1].run_id.run == number)
      return starts[i - 1].worker;
  return NULL;
}

/* Starts the tasks of a job and ends all but the first LATE as done. */
static void
run_job (bool speculative, uint32_t tasks, uint32_t late,
         uint32_t max_attempts)
{
  set_up_workers ();
  apply_submission (new_job (speculative, tasks, max_attempts));
  run_for (DURATION);
  CU_ASSERT_EQUAL_FATAL (start_count, tasks);
  for (uint32_t i = late; i < tasks; i++)
    end_run (worker_of (i, 1), i, 1, RUN_DONE);
}

/* The copy of the only run that is late has just started. */
static void
set_up_with_copy (uint32_t max_attempts)
{
  run_job (true, WORKERS, 1, max_attempts);
  run_for (LATE_AFTER);
  CU_ASSERT_EQUAL_FATAL (start_count, WORKERS + 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 2));
}

static job_status_t
status (void)
{
  job_status_t result = JOB_QUEUED;

  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &result), 0);
  return result;
}

static json_int_t
count_runs (void)
{
  json_t *dump = shard_dump (fixture.shard, fixture.now);
  json_int_t runs = json_integer_value (json_object_get (dump, "runs"));

  json_decref (dump);
  return runs;
}

/* Guards against a job that waits for its slow run, and against a slow run
   that goes on or whose room is given away before it has ended. */
static void
test_copy_is_first (void)
{
  uint64_t won = counter_get (COUNTER_COPIES_WON);
  const char *slow;

  set_up_with_copy (3);
  slow = worker_of (0, 1);
  CU_ASSERT_STRING_NOT_EQUAL (worker_of (0, 2), slow);
  CU_ASSERT_EQUAL (strcmp (slow, "w4") == 0,
                   strcmp (worker_of (0, 2), "w4") != 0);
  CU_ASSERT_EQUAL (count_runs (), 2);
  end_run (worker_of (0, 2), 0, 2, RUN_DONE);
  run_for (STEP);
  CU_ASSERT_EQUAL (count_runs (), 1);
  run_for (2 * STEP);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (stop_count, 1);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (find_worker (slow)->run_count, 0);
  CU_ASSERT_EQUAL (count_runs (), 0);
  CU_ASSERT_EQUAL (counter_get (COUNTER_COPIES_WON), won + 1);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against a copy that goes on after the first run is done, and against
   a copy on the rack of the late run while there is another one. */
static void
test_first_run_is_first (void)
{
  uint64_t won = counter_get (COUNTER_COPIES_WON);

  set_up_with_copy (3);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (stop_count, 1);
  CU_ASSERT_EQUAL (find_worker (worker_of (0, 2))->run_count, 0);
  CU_ASSERT_EQUAL (count_runs (), 0);
  CU_ASSERT_EQUAL (counter_get (COUNTER_COPIES_WON), won);
  tear_down ();
}

/* Guards against a second end that is applied to a task without runs, or is
   never acknowledged. */
static void
test_both_are_done (void)
{
  set_up_with_copy (3);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  end_run (worker_of (0, 2), 0, 2, RUN_DONE);
  run_for (2 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_runs (), 0);
  CU_ASSERT_EQUAL (find_worker (worker_of (0, 1))->end_count, 0);
  CU_ASSERT_EQUAL (find_worker (worker_of (0, 2))->end_count, 0);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against a failure of the run that lost which is counted, or has the
   task started again. */
static void
test_lost_run_fails (void)
{
  set_up_with_copy (3);
  end_run (worker_of (0, 2), 0, 2, RUN_DONE);
  end_run (worker_of (0, 1), 0, 1, RUN_FAILED);
  run_for (2 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_runs (), 0);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against a failed copy that has the task started again beside its
   first run, and against more runs than attempts. */
static void
test_copy_fails (void)
{
  set_up_with_copy (2);
  end_run (worker_of (0, 2), 0, 2, RUN_FAILED);
  run_for (5 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  CU_ASSERT_EQUAL (count_runs (), 1);
  CU_ASSERT_EQUAL (status (), JOB_RUNNING);
  end_run (worker_of (0, 1), 0, 1, RUN_FAILED);
  run_for (5 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_FAILED);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* The next copy has a number of its own. */
static void
test_next_copy (void)
{
  set_up_with_copy (3);
  end_run (worker_of (0, 2), 0, 2, RUN_FAILED);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 2);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 3));
  CU_ASSERT_EQUAL (count_runs (), 2);
  end_run (worker_of (0, 3), 0, 3, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* Guards against the checkpoint of a copy that replaces that of the first run,
   which may have got further. */
static void
test_checkpoint (void)
{
  run_job (true, WORKERS, 1, 3);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].checkpoint = "copy";
  find_worker (worker_of (0, 1))->checkpoint = "first";
  find_worker (worker_of (0, 1))
      ->runs[find_run (find_worker (worker_of (0, 1)), 0, 1)]
      .checkpoint
      = "first";
  run_for (2 * USEC_PER_SEC + LATE_AFTER);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 2));
  run_for (3 * USEC_PER_SEC);
  end_run (worker_of (0, 2), 0, 2, RUN_FAILED);
  run_for (USEC_PER_SEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 3));
  CU_ASSERT_STRING_EQUAL (starts[start_count - 1].checkpoint, "first");
  tear_down ();
}

/* Guards against a third run of a task, where the budget allows it. */
static void
test_one_copy (void)
{
  submission_t *submission = new_job (true, WORKERS, 3);
  submission_t *large = new_submission_with_id (JOB_ID + 1, 1);

  large->steps[0].millicores = 3000;
  large->steps[0].long_running = true;
  submission->steps[0].millicores = 10;
  set_up_workers ();
  apply_submission (submission);
  apply_submission (large);
  run_for (5 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, 1 + 2 * WORKERS);
  CU_ASSERT_EQUAL (count_runs (), 1 + 2 * WORKERS);
  tear_down ();
}

/* Guards against a failed first run that takes its copy with it. */
static void
test_first_run_fails (void)
{
  set_up_with_copy (2);
  end_run (worker_of (0, 1), 0, 1, RUN_FAILED);
  run_for (5 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  CU_ASSERT_EQUAL (count_runs (), 1);
  CU_ASSERT_EQUAL (stop_count, 0);
  end_run (worker_of (0, 2), 0, 2, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* Guards against a task that waits for the lost worker of one of its runs, or
   is started a third time meanwhile. */
static void
lose_worker (uint32_t lost, uint32_t other)
{
  set_up_with_copy (2);
  find_worker (worker_of (0, lost))->silent = true;
  run_for (SILENCE);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  end_run (worker_of (0, other), 0, other, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  run_for (LEASES_END);
  CU_ASSERT_EQUAL (count_runs (), 0);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

static void
test_lost_workers (void)
{
  lose_worker (1, 2);
  lose_worker (2, 1);
}

/* Guards against a task without any run after the loss of both workers. */
static void
test_both_workers_lost (void)
{
  set_up_with_copy (2);
  find_worker (worker_of (0, 1))->silent = true;
  run_for (500 * USEC_PER_MSEC);
  find_worker (worker_of (0, 2))->silent = true;
  run_for (2 * LEASES_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 3));
  end_run (worker_of (0, 3), 0, 3, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  tear_down ();
}

/* Guards against a run that goes on after the cancellation. */
static void
test_cancel (void)
{
  set_up_with_copy (3);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, JOB_ID), -EAGAIN);
  run_for (2 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_CANCELED);
  CU_ASSERT_EQUAL (stop_count, 2);
  CU_ASSERT_EQUAL (find_worker (worker_of (0, 1))->run_count, 0);
  CU_ASSERT_EQUAL (find_worker (worker_of (0, 2))->run_count, 0);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* Another owner takes over what is stored.  Workers keep their runs. */
static void
take_over (void)
{
  GByteArray *record = g_byte_array_new ();
  submission_t *submission = new_job (true, WORKERS, 3);

  g_byte_array_append (record, fixture.progress->data, fixture.progress->len);
  tear_down ();
  set_up ();
  appends_seen = 0;
  append_seen = 0;
  apply_submission (submission);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)record->data, record->len });
  g_byte_array_unref (record);
  shard_loaded (fixture.shard, fixture.now);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].hold.id = 0;
  list_workers ();
}

/* Guards against a successor that forgets one of two runs. */
static void
test_takeover (void)
{
  for (uint32_t first = 1; first <= 2; first++)
    {
      set_up_with_copy (3);
      take_over ();
      CU_ASSERT_EQUAL (count_runs (), 2);
      run_for (USEC_PER_SEC);
      CU_ASSERT_EQUAL (count_runs (), 2);
      CU_ASSERT_EQUAL (stop_count, 0);
      end_run (worker_of (0, first), 0, first, RUN_DONE);
      run_for (USEC_PER_SEC);
      CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
      CU_ASSERT_EQUAL (stop_count, 1);
      CU_ASSERT_EQUAL (find_worker (worker_of (0, 3 - first))->run_count, 0);
      CU_ASSERT_EQUAL (count_runs (), 0);
      CU_ASSERT_EQUAL (start_count, WORKERS + 1);
      tear_down ();
    }
}

/* Guards against a run that is taken for a stray one since a later run of its
   task was started as a copy, and has ended. */
static void
test_takeover_after_copy (void)
{
  set_up_with_copy (3);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].ignores_starts = true;
  end_run (worker_of (0, 2), 0, 2, RUN_FAILED);
  run_for (50 * USEC_PER_MSEC);
  take_over ();
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (stop_count, 0);
  CU_ASSERT_EQUAL (count_runs (), 1);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  tear_down ();
}

/* Guards against a successor that waits for a copy which was stored and never
   started, or gives its number to another run. */
static void
test_takeover_before_start (void)
{
  run_job (true, WORKERS, 1, 3);
  run_for (LATE_AFTER / 2);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].ignores_starts = true;
  run_for (LATE_AFTER);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 2));
  take_over ();
  CU_ASSERT_EQUAL (count_runs (), 2);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_runs (), 1);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].ignores_starts = false;
  run_for (SETTLED);
  CU_ASSERT_PTR_NOT_NULL_FATAL (worker_of (0, 3));
  CU_ASSERT_EQUAL (count_runs (), 2);
  end_run (worker_of (0, 3), 0, 3, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  tear_down ();
}

/* Guards against copies by an owner that has just taken over. */
static void
test_unsettled (void)
{
  run_job (true, WORKERS, 1, 3);
  run_for (50 * USEC_PER_MSEC);
  take_over ();
  run_for (SETTLED - 200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  run_for (300 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against the start of a copy that is not stored, also after the task
   is done. */
static void
test_store_away (void)
{
  run_job (true, WORKERS, 1, 3);
  run_for (LATE_AFTER / 2);
  store_up = false;
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  run_for (100 * USEC_PER_MSEC);
  store_up = true;
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* Guards against a copy that is started long after it was placed. */
static void
test_slow_store (void)
{
  uint64_t withdrawn = counter_get (COUNTER_STARTS_WITHDRAWN);

  run_job (true, WORKERS, 1, 3);
  run_for (LATE_AFTER / 2);
  store_latency = 700 * USEC_PER_MSEC;
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  CU_ASSERT (counter_get (COUNTER_STARTS_WITHDRAWN) > withdrawn);
  store_latency = 0;
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against a start that is repeated after the other run is done, and
   against a copy without a stop whose start may still arrive. */
static void
test_unanswered_start (void)
{
  uint32_t sent;

  run_job (true, WORKERS, 1, 3);
  run_for (LATE_AFTER / 2);
  for (uint32_t i = 0; i < WORKERS; i++)
    workers[i].ignores_starts = true;
  run_for (LATE_AFTER / 2 + 100 * USEC_PER_MSEC);
  sent = start_count;
  CU_ASSERT (sent > WORKERS);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  run_for (50 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  CU_ASSERT_EQUAL (stop_count, 1);
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, sent);
  CU_ASSERT_EQUAL (count_runs (), 0);
  tear_down ();
}

/* Guards against more copies than their budget: with so little capacity in use
   it is one. */
static void
test_budget (void)
{
  run_job (true, 6, 2, 3);
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, 7);
  CU_ASSERT_EQUAL (count_runs (), 3);
  tear_down ();
}

/* Guards against copies that take the room of waiting tasks. */
static void
test_waiting_tasks (void)
{
  submission_t *large = new_submission_with_id (JOB_ID + 1, 1);

  run_job (true, WORKERS, 1, 3);
  large->steps[0].millicores = 5000;
  apply_submission (large);
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  shard_cancel (fixture.shard, fixture.now, JOB_ID + 1);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS + 1);
  tear_down ();
}

/* Guards against copies of gangs and of long-running tasks. */
static void
test_other_steps (void)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      submission_t *submission = new_job (true, 1, 3);

      submission->steps[0].gang = i;
      submission->steps[0].long_running = !i;
      set_up_workers ();
      apply_submission (submission);
      run_for (5 * USEC_PER_SEC);
      CU_ASSERT_EQUAL (start_count, 1);
      tear_down ();
    }
}

/* Guards against copies on a site whose settings do not ask for them. */
static void
test_switched_off (void)
{
  switched_off = true;
  run_job (true, WORKERS, 1, 3);
  switched_off = false;
  run_for (LATE_AFTER + USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  end_run (worker_of (0, 1), 0, 1, RUN_DONE);
  run_for (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status (), JOB_COMPLETED);
  tear_down ();
}

/* Guards against any effect on steps without the flag: no copy is started, and
   the calls and the record are those of a step with it whose runs are not
   late, line by line. */
static void
test_without_flag (void)
{
  char *expected;
  GByteArray *record = g_byte_array_new ();

  run_job (true, WORKERS, 1, 3);
  run_for (500 * USEC_PER_MSEC);
  expected = g_strdup (trace->str);
  g_byte_array_append (record, fixture.progress->data, fixture.progress->len);
  tear_down ();
  run_job (false, WORKERS, 1, 3);
  run_for (500 * USEC_PER_MSEC);
  CU_ASSERT (strlen (expected) > 500);
  CU_ASSERT_STRING_EQUAL (trace->str, expected);
  CU_ASSERT_EQUAL (fixture.progress->len, record->len);
  CU_ASSERT_EQUAL (memcmp (fixture.progress->data, record->data, record->len),
                   0);
  run_for (20 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (start_count, WORKERS);
  CU_ASSERT_EQUAL (stop_count, 0);
  g_free (expected);
  g_byte_array_unref (record);
  tear_down ();
}

static const suite_test_t tests[] = {
  { "copy is first", test_copy_is_first },
  { "first run is first", test_first_run_is_first },
  { "both are done", test_both_are_done },
  { "lost run fails", test_lost_run_fails },
  { "copy fails", test_copy_fails },
  { "next copy", test_next_copy },
  { "checkpoint", test_checkpoint },
  { "one copy", test_one_copy },
  { "first run fails", test_first_run_fails },
  { "lost workers", test_lost_workers },
  { "both workers lost", test_both_workers_lost },
  { "cancel", test_cancel },
  { "takeover", test_takeover },
  { "takeover after copy", test_takeover_after_copy },
  { "takeover before start", test_takeover_before_start },
  { "unsettled", test_unsettled },
  { "store away", test_store_away },
  { "slow store", test_slow_store },
  { "unanswered start", test_unanswered_start },
  { "budget", test_budget },
  { "waiting tasks", test_waiting_tasks },
  { "other steps", test_other_steps },
  { "without flag", test_without_flag },
  { "switched off", test_switched_off },
};

int
main (void)
{
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard copies", tests, G_N_ELEMENTS (tests));
  g_string_free (trace, TRUE);
  free_fixture ();
  return code;
}

/* Unit tests of the room that new long-running tasks leave to short ones. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define CORE 1000U
#define WORKER_CORES 8U
#define WIDE (4 * CORE)
#define SHORT_JOB JOB_ID
#define LONG_JOB (JOB_ID + 1)
#define OTHER_JOB (JOB_ID + 2)
#define ALL_FORGOTTEN (90 * USEC_PER_SEC)
#define URGENT 0U
#define LESS_URGENT 2U

#define JOBS 3U
#define RUNS_MAX 8U

static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

/* What runs on the workers. */
static run_report_t runs[2][RUNS_MAX];
static size_t run_count[2];
static uint64_t ends_listed[2];
static size_t starts[JOBS]; /* of each job */

static const char *
worker_name (uint32_t i)
{
  return i ? "w2" : "w1";
}

static void
add_worker (uint32_t i)
{
  const shard_worker_t info = { .id = worker_name (i),
                                .started_ms = START_WALL_MS,
                                .address = i ? "10.0.0.2:1" : "10.0.0.1:1",
                                .service = "service",
                                .label = "a",
                                .rack = "r",
                                .zone = "z1",
                                .millicores = WORKER_CORES * CORE,
                                .memory_mb = 4000 };

  shard_worker_listed (fixture.shard, fixture.now, &info);
  advance (0);
  reply_with_lists (info.id, runs[i], run_count[i], NULL, 0);
}

/* A loaded shard with two workers of eight cores. */
static void
set_up_workers (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  memset (run_count, 0, sizeof run_count);
  memset (ends_listed, 0, sizeof ends_listed);
  memset (starts, 0, sizeof starts);
  for (uint32_t i = 0; i < 2; i++)
    add_worker (i);
}

static void
start_run (uint32_t worker, const run_id_t *id)
{
  for (size_t i = 0; i < run_count[worker]; i++)
    if (memcmp (&runs[worker][i].run_id, id, sizeof *id) == 0)
      return;
  CU_ASSERT_FATAL (run_count[worker] < RUNS_MAX);
  runs[worker][run_count[worker]++]
      = (run_report_t){ .run_id = *id, .checkpoint = "" };
  starts[id->job - JOB_ID]++;
}

/* Has the workers answer all calls. */
static void
answer_calls (void)
{
  size_t count = fixture.call_count;

  for (size_t i = 0; i < count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      {
        start_run (strcmp (fixture.calls[i].worker, worker_name (1)) == 0,
                   &fixture.calls[i].run_id);
        shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
      }
  for (uint32_t w = 0; w < 2; w++)
    reply_with_lists (worker_name (w), runs[w], run_count[w], NULL, 0);
  fixture.call_count = 0;
}

/* Has all changes stored, and what follows from them done. */
static void
settle (void)
{
  store_all ();
  answer_calls ();
}

static void
add_step (job_id_t id, uint32_t tasks, uint32_t millicores, bool long_running,
          uint32_t priority)
{
  submission_t *submission = new_submission_with_id (id, tasks);

  submission->priority = priority;
  submission->target_ms = 3600 * 1000;
  submission->steps[0].millicores = millicores;
  submission->steps[0].long_running = long_running;
  apply_submission (submission);
  settle ();
}

static size_t
count_starts (job_id_t job)
{
  return starts[job - JOB_ID];
}

/* Has a run end, whose worker then lists it so. */
static void
end_run (uint32_t worker, size_t i, run_end_t how)
{
  const end_report_t end
      = { ++ends_listed[worker], runs[worker][i].run_id, how, "" };

  runs[worker][i] = runs[worker][--run_count[worker]];
  /* So that a hold is under way. */
  advance (2 * USEC_PER_SEC);
  reply_with_lists (worker_name (worker), runs[worker], run_count[worker],
                    &end, 1);
  settle ();
}

/* Both workers have run a short task of four cores. */
static void
run_short_tasks (uint32_t priority)
{
  add_step (SHORT_JOB, 2, WIDE, false, priority);
  CU_ASSERT_EQUAL (count_starts (SHORT_JOB), 2);
  for (uint32_t w = 0; w < 2; w++)
    end_run (w, 0, RUN_DONE);
}

/* Guards against long-running tasks that take all room between two peaks of
   short ones, which then wait (SHORT, magnolia-coop-large scale-2, seed
   831268643877). */
static void
test_room_is_kept (void)
{
  set_up_workers ();
  run_short_tasks (URGENT);
  add_step (LONG_JOB, 4, WIDE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 3);
  add_step (OTHER_JOB, 1, WIDE, false, URGENT);
  CU_ASSERT_EQUAL (count_starts (OTHER_JOB), 1);
  tear_down ();
}

/* Guards against room that is kept though no short task has asked for it. */
static void
test_no_short_tasks (void)
{
  set_up_workers ();
  add_step (LONG_JOB, 4, WIDE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 4);
  tear_down ();
}

/* Guards against room that is kept for tasks that are less urgent. */
static void
test_priority (void)
{
  set_up_workers ();
  run_short_tasks (LESS_URGENT);
  add_step (LONG_JOB, 4, WIDE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 4);
  tear_down ();
  set_up_workers ();
  run_short_tasks (URGENT);
  add_step (LONG_JOB, 4, WIDE, true, LESS_URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 3);
  tear_down ();
}

/* Guards against room that is kept for good. */
static void
test_forgotten (void)
{
  set_up_workers ();
  run_short_tasks (URGENT);
  add_step (LONG_JOB, 4, WIDE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 3);
  for (usec_t t = 0; t < ALL_FORGOTTEN; t += USEC_PER_SEC)
    {
      advance (USEC_PER_SEC);
      answer_calls ();
    }
  settle ();
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 4);
  tear_down ();
}

/* Passes the records of a job with long-running tasks of four cores.
   @param run the task that has run on the first worker
   @param is_placed false if it is to run again */
static void
load_long_job (job_id_t id, uint32_t tasks, uint32_t run, bool is_placed)
{
  const place_t place
      = { (char *)worker_name (0), START_WALL_MS, (char *)"10.0.0.1:1" };
  GByteArray *progress = g_byte_array_new ();
  GByteArray *record = g_byte_array_new ();
  submission_t *submission = new_submission_with_id (id, tasks);
  job_t *job = job_new (submission);

  submission->priority = LESS_URGENT;
  submission->steps[0].millicores = WIDE;
  submission->steps[0].long_running = true;
  submission_encode (submission, record);
  shard_apply_record (fixture.shard, fixture.now, RECORD_SUBMISSION, id,
                      (blob_t){ (char *)record->data, record->len });
  job_create_due_occurrences (job, START_WALL_MS);
  task_place (job, job_occurrence (job, 0), 0, run, &place);
  if (!is_placed)
    task_requeue (job, job_occurrence (job, 0), 0, run);
  job_encode (job, progress);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, id,
                      (blob_t){ (char *)progress->data, progress->len });
  g_byte_array_unref (progress);
  g_byte_array_unref (record);
  job_free (job);
}

/* Guards against long-running tasks that are not placed again once they have
   run (LOST), also where the first task of the step has not. */
static void
test_next_run (void)
{
  set_up ();
  memset (run_count, 0, sizeof run_count);
  memset (ends_listed, 0, sizeof ends_listed);
  memset (starts, 0, sizeof starts);
  load_long_job (OTHER_JOB, 1, 0, true);
  load_long_job (LONG_JOB, 2, 1, false);
  shard_loaded (fixture.shard, fixture.now);
  runs[0][run_count[0]++]
      = (run_report_t){ .run_id = { OTHER_JOB, 0, 0, 0, 1 },
                        .checkpoint = "" };
  add_step (SHORT_JOB, 1, WIDE, false, URGENT);
  add_worker (0);
  settle ();
  CU_ASSERT_EQUAL (count_starts (SHORT_JOB), 1);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 0);
  end_run (0, run_count[0] - 1, RUN_DONE);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 1);
  CU_ASSERT_EQUAL (runs[0][run_count[0] - 1].run_id.index, 1);
  tear_down ();
}

/* Guards against fragments that are kept although no short task fits into
   them, and against room that counts though it is in fragments. */
static void
test_fragments (void)
{
  set_up_workers ();
  run_short_tasks (URGENT);
  add_step (LONG_JOB, 2, 5 * CORE, true, URGENT);
  add_step (OTHER_JOB, 1, 3 * CORE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 2);
  CU_ASSERT_EQUAL (count_starts (OTHER_JOB), 1);
  tear_down ();
  set_up_workers ();
  run_short_tasks (URGENT);
  add_step (LONG_JOB, 4, 3 * CORE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 3);
  tear_down ();
}

/* Guards against tasks that wait while less than half of the capacity is in
   use (LOST): a short task has used three quarters of it. */
static void
test_half_in_use (void)
{
  set_up_workers ();
  add_step (SHORT_JOB, 2, 7 * CORE, false, URGENT);
  CU_ASSERT_EQUAL (count_starts (SHORT_JOB), 2);
  for (uint32_t w = 0; w < 2; w++)
    end_run (w, 0, RUN_DONE);
  add_step (LONG_JOB, 4, 2 * CORE, true, URGENT);
  CU_ASSERT_EQUAL (count_starts (LONG_JOB), 4);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "room is kept", test_room_is_kept },
    { "no short tasks", test_no_short_tasks },
    { "priority", test_priority },
    { "forgotten", test_forgotten },
    { "next run", test_next_run },
    { "fragments", test_fragments },
    { "half in use", test_half_in_use },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard reserve", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

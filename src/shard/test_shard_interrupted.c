/* Unit tests of long-running tasks that have lost their run: where they come
   in the order, and which runs are stopped for them. */
#include "base/counters.h"
#include "base/log.h"
#include "shard/preemption.h"
#include "shard/shard_private.h"
#include "support/full_shard.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>

/* The platform asks for the next run of a long-running task this long after
   the last one. */
#define RESTART_LIMIT (9 * USEC_PER_SEC)
#define WORKERS 40U
#define LOST_WORKERS (WORKERS / 4)
#define LONG_TASKS 60U
#define WAITING_JOBS 130U
#define TASKS_PER_JOB 10U
#define PRIORITIES 5U
#define LONG_ID 1000U
#define SHORT_ID 2000U
#define FILL_ID 3000U
/* Longer than any test; a percent of it is less than the time without progress
   after which a run is stopped. */
#define FILL_MS 60000U

static full_shard_t *full;
static uint64_t preempted_before;

static void
set_up_workers (uint32_t workers)
{
  full = full_shard_new (workers);
  preempted_before = counter_get (COUNTER_RUNS_PREEMPTED);
  full_run_until (full, full->now + 100 * USEC_PER_MSEC);
}

static uint64_t
preempted (void)
{
  return counter_get (COUNTER_RUNS_PREEMPTED) - preempted_before;
}

/* @return whether a task of the job runs on the worker */
static bool
find_run (uint32_t worker, job_id_t job)
{
  const GArray *runs = full_runs (full, worker);

  for (guint i = 0; i < runs->len; i++)
    if (g_array_index (runs, full_run_t, i).run_id.job == job)
      return true;
  return false;
}

/* @return whether the stop repeats an earlier one, which was answered before
   the run had ended */
static bool
is_repeated (guint index)
{
  const full_stop_t *stops = (const full_stop_t *)full->stops->data;

  for (guint i = 0; i < index; i++)
    if (memcmp (&stops[i].run_id, &stops[index].run_id, sizeof (run_id_t))
        == 0)
      return true;
  return false;
}

/* @return runs that were stopped, each counted once */
static uint32_t
count_stopped (void)
{
  uint32_t count = 0;

  for (guint i = 0; i < full->stops->len; i++)
    count += !is_repeated (i);
  return count;
}

static void
run_for (usec_t span)
{
  full_run_until (full, full->now + span);
}

static void
add_long_running (uint32_t count, uint32_t millicores)
{
  for (uint32_t i = 0; i < count; i++)
    {
      submission_t *submission = full_long_running (LONG_ID + i, millicores);

      submission->priority = i % PRIORITIES;
      full_submit (full, submission);
    }
}

/* 1,300 tasks of 0.5 to 2.5 s. */
static void
add_waiting_jobs (void)
{
  for (uint32_t i = 0; i < WAITING_JOBS; i++)
    {
      submission_t *submission
          = full_submission (SHORT_ID + i, TASKS_PER_JOB, 500 + i % 5 * 500);

      submission->priority = i % PRIORITIES;
      full_submit (full, submission);
    }
}

/* All tasks are without a run for no longer than the platform allows. */
static void
check_restarts (uint32_t least)
{
  CU_ASSERT (full->losses->len >= least);
  for (guint i = 0; i < full->losses->len; i++)
    {
      const full_loss_t *loss = &g_array_index (full->losses, full_loss_t, i);

      CU_ASSERT (loss->restarted_at != 0);
      CU_ASSERT (loss->restarted_at <= loss->lost_at + RESTART_LIMIT);
      if (!loss->restarted_at
          || loss->restarted_at > loss->lost_at + RESTART_LIMIT)
        fprintf (stderr, "task %d started again after %d ms\n",
                 (int)loss->run_id.job,
                 loss->restarted_at
                     ? (int)usec_to_msec (loss->restarted_at - loss->lost_at)
                     : -1);
    }
}

static void
end_a_quarter (void)
{
  for (uint32_t i = 0; i < LOST_WORKERS; i++)
    full_end_worker (full, i * 4);
}

static void
check_quarter_leaves (uint32_t millicores, uint32_t tasks, usec_t takeover)
{
  set_up_workers (WORKERS);
  add_long_running (tasks, millicores);
  run_for (USEC_PER_SEC);
  add_waiting_jobs ();
  run_for (2 * USEC_PER_SEC);
  end_a_quarter ();
  if (takeover)
    {
      run_for (takeover);
      full_replace_owner (full, 500 * USEC_PER_MSEC);
    }
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (5);
  full_shard_free (full);
}

/* Guards against interrupted tasks that wait behind the tasks of shorter jobs
   of a higher priority (KNOWN-RED 22). */
static void
test_quarter_leaves (void)
{
  check_quarter_leaves (1000, LONG_TASKS, 0);
}

/* The same where an interrupted task needs the room of several others on one
   worker. */
static void
test_quarter_leaves_large (void)
{
  check_quarter_leaves (2500, WORKERS / 2, 0);
}

/* Guards against a new owner that does not know which tasks had a run: before
   the leases have expired, and after that. */
static void
test_quarter_leaves_takeover (void)
{
  check_quarter_leaves (1000, LONG_TASKS, 3 * USEC_PER_SEC);
  check_quarter_leaves (1000, LONG_TASKS, 6 * USEC_PER_SEC);
  check_quarter_leaves (2500, WORKERS / 2, 3 * USEC_PER_SEC);
}

/* A task that lost its run as its records are loaded again, after its leases
   had expired. */
static void
test_known_after_takeover (void)
{
  set_up_workers (2);
  add_long_running (2, 4000);
  run_for (USEC_PER_SEC);
  full_end_worker (full, 0);
  run_for (8 * USEC_PER_SEC);
  CU_ASSERT (full->losses->len == 1);
  for (uint32_t i = 0; i < 2; i++)
    {
      GArray *candidates;

      candidates = order_candidates (full->shard);
      interrupted_prefer (full->shard, candidates);
      CU_ASSERT (candidates->len == 2);
      CU_ASSERT (g_array_index (candidates, candidate_t, 0).interrupted);
      CU_ASSERT (!g_array_index (candidates, candidate_t, 1).interrupted);
      g_array_free (candidates, TRUE);
      full_replace_owner (full, 500 * USEC_PER_MSEC);
    }
  full_shard_free (full);
}

/* Adds jobs of one task that can wait, every fifth with checkpoints. */
static void
fill_workers (uint32_t jobs)
{
  for (uint32_t i = 0; i < jobs; i++)
    {
      submission_t *submission = full_submission (FILL_ID + i, 1, FILL_MS);

      submission->steps[0].checkpoints = i % 5 == 0;
      full_submit (full, submission);
      run_for (20 * USEC_PER_MSEC);
    }
  run_for (3 * USEC_PER_SEC);
}

static void
fill_with_gangs (uint32_t gangs)
{
  for (uint32_t i = 0; i < gangs; i++)
    {
      submission_t *submission = full_submission (FILL_ID + i, 2, FILL_MS);

      submission->steps[0].gang = true;
      full_submit (full, submission);
    }
  run_for (3 * USEC_PER_SEC);
}

static bool
is_checkpointed (const run_id_t *run_id)
{
  const submission_t *submission
      = g_hash_table_lookup (full->submissions, &run_id->job);

  return submission->steps[0].checkpoints;
}

/* Guards against interrupted tasks that wait while all workers are full of
   work that can, and against more lost work than needed. */
static void
test_preempts_least_loss (void)
{
  const uint32_t long_tasks = 16;
  uint32_t lost;

  set_up_workers (16);
  /* So long that room has to be made for all at once. */
  full->stop_time = 900 * USEC_PER_MSEC;
  add_long_running (long_tasks, 1000);
  run_for (USEC_PER_SEC);
  fill_workers (48);
  run_for (USEC_PER_SEC);
  for (uint32_t i = 0; i < 4; i++)
    full_end_worker (full, i * 4);
  lost = full->losses->len;
  CU_ASSERT (lost >= 1);
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (1);
  CU_ASSERT (preempted () == lost);
  CU_ASSERT (count_stopped () == lost);
  for (guint i = 0; i < full->stops->len; i++)
    {
      const full_stop_t *stop = &g_array_index (full->stops, full_stop_t, i);

      CU_ASSERT (!stop->long_running);
      CU_ASSERT (is_checkpointed (&stop->run_id));
    }
  full_shard_free (full);
}

static void
add_filling_jobs (job_id_t first, uint32_t jobs)
{
  for (uint32_t i = 0; i < jobs; i++)
    full_submit (full, full_submission (first + i, 1, FILL_MS));
}

/* Guards against a new owner that takes all runs for as young as its own
   ownership. */
static void
test_least_loss_after_takeover (void)
{
  const job_id_t young = FILL_ID + 100;

  set_up_workers (3);
  add_long_running (1, 1000);
  run_for (USEC_PER_SEC);
  add_filling_jobs (FILL_ID, 6);
  run_for (8 * USEC_PER_SEC);
  add_filling_jobs (young, 5);
  run_for (2 * USEC_PER_SEC);
  full_replace_owner (full, 500 * USEC_PER_MSEC);
  run_for (2 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 3; i++)
    if (find_run (i, LONG_ID))
      full_end_worker (full, i);
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (1);
  CU_ASSERT (count_stopped () == 1);
  for (guint i = 0; i < full->stops->len; i++)
    CU_ASSERT (g_array_index (full->stops, full_stop_t, i).run_id.job
               >= young);
  full_shard_free (full);
}

/* Guards against long-running tasks that are stopped for others: those count
   as unavailable themselves. */
static void
test_never_preempts_long_running (void)
{
  set_up_workers (8);
  add_long_running (32, 1000);
  run_for (USEC_PER_SEC);
  add_waiting_jobs ();
  run_for (USEC_PER_SEC);
  full_end_worker (full, 0);
  full_end_worker (full, 4);
  run_for (2 * RESTART_LIMIT);
  CU_ASSERT (full->losses->len == 8);
  CU_ASSERT (!full->stops->len);
  CU_ASSERT (!preempted ());
  full_shard_free (full);
}

/* Guards against members of gangs that are stopped: the others would be
   too. */
static void
test_never_preempts_gangs (void)
{
  set_up_workers (3);
  add_long_running (1, 4000);
  run_for (USEC_PER_SEC);
  fill_with_gangs (4);
  for (uint32_t i = 0; i < 3; i++)
    if (full_runs (full, i)->len == 1)
      full_end_worker (full, i);
  CU_ASSERT (full->losses->len == 1);
  run_for (2 * RESTART_LIMIT);
  CU_ASSERT (!full->stops->len);
  full_shard_free (full);
}

/* Guards against runs that are stopped although room becomes free in time. */
static void
test_waits_for_free_room (void)
{
  set_up_workers (4);
  add_long_running (4, 1000);
  run_for (USEC_PER_SEC);
  add_waiting_jobs ();
  run_for (2 * USEC_PER_SEC);
  full_end_worker (full, 0);
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (1);
  CU_ASSERT (!preempted ());
  full_shard_free (full);
}

/* Guards against further runs that are stopped for the same task while the
   first ones are being stopped, also if their workers end meanwhile. */
static void
check_interval (usec_t stop_time, bool end_workers)
{
  const uint32_t workers = 5;
  usec_t last = 0;
  guint seen = 0;

  set_up_workers (workers);
  full->stop_time = stop_time;
  add_long_running (1, 1000);
  run_for (USEC_PER_SEC);
  fill_workers (4 * workers - 1);
  for (uint32_t i = 0; i < workers; i++)
    if (find_run (i, LONG_ID))
      full_end_worker (full, i);
  for (usec_t end = full->now + RESTART_LIMIT + 2 * USEC_PER_SEC;
       full->now < end;)
    {
      full_stop_t stop;

      run_for (10 * USEC_PER_MSEC);
      if (full->stops->len == seen)
        continue;
      stop = g_array_index (full->stops, full_stop_t, seen++);
      if (is_repeated (seen - 1))
        continue;
      CU_ASSERT (!last || stop.at >= last + PREEMPTION_INTERVAL);
      last = stop.at;
      if (end_workers)
        full_end_worker (full, stop.worker);
    }
  CU_ASSERT (preempted () >= 2);
  full_shard_free (full);
}

static void
test_interval (void)
{
  check_interval (20 * USEC_PER_SEC, false);
  check_interval (50 * USEC_PER_MSEC, true);
}

/* Guards against room that was made for a large task, one run after the other,
   being taken by smaller ones that wait. */
static void
test_holds_room (void)
{
  set_up_workers (2);
  full->stop_spread = 300 * USEC_PER_MSEC;
  add_long_running (1, 2500);
  run_for (USEC_PER_SEC);
  fill_workers (5);
  add_waiting_jobs ();
  run_for (USEC_PER_SEC);
  for (uint32_t i = 0; i < 2; i++)
    if (find_run (i, LONG_ID))
      full_end_worker (full, i);
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (1);
  CU_ASSERT (preempted () == 3);
  full_shard_free (full);
}

/* Guards against work that is lost while no task can be started, since the
   store refuses appends. */
static void
test_store_down (void)
{
  set_up_workers (4);
  add_long_running (4, 1000);
  run_for (USEC_PER_SEC);
  fill_workers (12);
  full_end_worker (full, 0);
  run_for (5 * USEC_PER_SEC);
  full->store_down = true;
  run_for (4 * USEC_PER_SEC);
  CU_ASSERT (!full->stops->len);
  CU_ASSERT (!preempted ());
  full->store_down = false;
  run_for (3 * USEC_PER_SEC);
  CU_ASSERT (preempted () == 1);
  CU_ASSERT (g_array_index (full->losses, full_loss_t, 0).restarted_at != 0);
  full_shard_free (full);
}

/* Stores a model in which image "f" raises the tail latency of image "s". */
static void
store_model (void)
{
  const disturbance_t aggressor = { interference_image_id ("f"), 2 };
  const image_id_t victim = interference_image_id ("s");
  interference_t *model = interference_new ();
  GByteArray *bytes = g_byte_array_new ();
  own_load_t load = { 0 };

  interference_observe (model, victim, &load, 0, 10, NULL, 0);
  for (int i = 0; i < 200; i++)
    {
      interference_observe (model, victim, &load, USEC_PER_SEC, 10 / 0.65,
                            NULL, 0);
      interference_observe (model, victim, &load, USEC_PER_SEC, 10 / 0.45,
                            &aggressor, 1);
    }
  interference_encode (model, bytes);
  full_store (full, RECORD_INTERFERENCE, 0, bytes);
  g_byte_array_unref (bytes);
  interference_free (model);
}

/* Guards against room for a task with a target being made beside a best-effort
   run that disturbs it, since that costs less, while it can be made elsewhere.
 */
static void
test_prefers_undisturbed (void)
{
  submission_t *submission;
  uint32_t disturbed = 0;
  uint32_t home = 0;

  set_up_workers (3);
  store_model ();
  full_replace_owner (full, 100 * USEC_PER_MSEC);
  submission = full_long_running (LONG_ID, 1000);
  submission->steps[0].target_latency_ms = 45;
  submission->steps[0].image = g_strdup ("s");
  full_submit (full, submission);
  run_for (USEC_PER_SEC);
  submission = full_submission (SHORT_ID, 1, FILL_MS);
  submission->steps[0].best_effort = true;
  submission->steps[0].millicores = 2000;
  submission->steps[0].image = g_strdup ("f");
  full_submit (full, submission);
  run_for (USEC_PER_SEC);
  fill_workers (11);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT (full_runs (full, i)->len >= 4);
      if (find_run (i, SHORT_ID))
        disturbed = i;
      if (find_run (i, LONG_ID))
        home = i;
    }
  CU_ASSERT_FATAL (home != disturbed);
  full_end_worker (full, home);
  run_for (RESTART_LIMIT + USEC_PER_SEC);
  check_restarts (1);
  CU_ASSERT (!find_run (disturbed, LONG_ID));
  CU_ASSERT (preempted () == 1);
  full_shard_free (full);
}

/* Guards against any effect on a load without interrupted tasks: the order
   with the rule is the one without it, row by row, and no room is held. */
static void
test_order_without_interrupted (void)
{
  uint32_t rows = 0;

  set_up_workers (8);
  add_long_running (12, 1000);
  run_for (USEC_PER_SEC);
  add_waiting_jobs ();
  /* They do not fit: their first run keeps its order. */
  for (uint32_t i = 0; i < 8; i++)
    {
      submission_t *submission = full_long_running (LONG_ID + 50 + i, 4000);

      submission->priority = i % PRIORITIES;
      full_submit (full, submission);
    }
  for (int i = 0; i < 50; i++)
    {
      GArray *without = order_candidates (full->shard);
      GArray *with = order_candidates (full->shard);

      interrupted_prefer (full->shard, with);
      interrupted_make_room (full->shard, full->now, with);
      CU_ASSERT (!full->shard->room_held);
      CU_ASSERT (with->len == without->len);
      for (guint k = 0; k < MIN (with->len, without->len); k++)
        {
          const candidate_t *a = &g_array_index (with, candidate_t, k);
          const candidate_t *b = &g_array_index (without, candidate_t, k);

          CU_ASSERT (a->entry == b->entry && a->occurrence == b->occurrence
                     && a->step == b->step && !a->interrupted);
          rows++;
        }
      g_array_free (with, TRUE);
      g_array_free (without, TRUE);
      run_for (200 * USEC_PER_MSEC);
    }
  CU_ASSERT (rows > 1000);
  CU_ASSERT (!full->stops->len);
  full_shard_free (full);
}

/* The runs on a worker: handle 1 with a checkpoint, 2 to 4 without. */
static void
fill_rows (preemptible_t rows[4])
{
  const preemptible_t runs[4] = {
    { .handle = 3, .frees = { 1000, 100, 0 }, .loss = 300 },
    { .handle = 1,
      .frees = { 1000, 100, 0 },
      .loss = 900,
      .checkpointed = true },
    { .handle = 2, .frees = { 500, 100, 0 }, .loss = 200 },
    { .handle = 4, .frees = { 3000, 100, 1 }, .loss = 1000 },
  };

  memcpy (rows, runs, sizeof runs);
  preemption_sort (rows, 4);
}

/* What is needed of 250 free millicores, and which runs are to be stopped. */
typedef struct
{
  resources_t needed;
  bool possible;
  uint32_t chosen; /* bit of each handle */
} plan_case_t;

/* Guards against work that is lost without need: the cheapest runs, no run
   that frees nothing of what is short, and none once a larger one is chosen.
 */
static void
test_plan (void)
{
  static const plan_case_t cases[] = {
    { { 250, 0, 0 }, true, 0 },
    { { 1250, 0, 0 }, true, 1 << 1 },
    { { 1500, 0, 0 }, true, 1 << 1 | 1 << 2 },
    { { 2000, 0, 0 }, true, 1 << 1 | 1 << 3 },
    { { 250, 0, 1 }, true, 1 << 4 },
    { { 5750, 0, 0 }, true, 1 << 1 | 1 << 2 | 1 << 3 | 1 << 4 },
    { { 5751, 0, 0 }, false, 0 },
  };
  const resources_t free = { 250, 1000, 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      preemptible_t rows[4];
      preemption_cost_t cost;
      uint32_t chosen = 0;

      fill_rows (rows);
      CU_ASSERT (preemption_plan (&cases[i].needed, &free, rows, 4, &cost)
                 == cases[i].possible);
      for (int k = 0; k < 4; k++)
        chosen |= (uint32_t)rows[k].chosen << rows[k].handle;
      CU_ASSERT_EQUAL (chosen, cases[i].chosen);
      CU_ASSERT (cost.runs == (uint32_t)__builtin_popcount (chosen));
    }
}

/* Guards against a worker where the task is disturbed, or where work without a
   checkpoint is lost, being preferred to another one. */
static void
test_compare (void)
{
  static const preemption_cost_t costs[] = { { false, 0, 0, 0 },
                                             { false, 0, 0, 1 },
                                             { false, 0, 900, 1 },
                                             { false, 10, 0, 1 },
                                             { true, 0, 0, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (costs); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (costs); k++)
      CU_ASSERT (preemption_compare (&costs[i], &costs[k])
                 == (i > k) - (i < k));
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "quarter of the workers leaves", test_quarter_leaves },
    { "the same with large tasks", test_quarter_leaves_large },
    { "the same with a takeover", test_quarter_leaves_takeover },
    { "known after a takeover", test_known_after_takeover },
    { "least loss is preempted", test_preempts_least_loss },
    { "the same after a takeover", test_least_loss_after_takeover },
    { "long-running ones are never", test_never_preempts_long_running },
    { "gangs are never", test_never_preempts_gangs },
    { "free room is waited for", test_waits_for_free_room },
    { "interval of preemptions", test_interval },
    { "room is held", test_holds_room },
    { "store is down", test_store_down },
    { "undisturbed worker is preferred", test_prefers_undisturbed },
    { "order without interrupted tasks", test_order_without_interrupted },
    { "plan", test_plan },
    { "costs", test_compare },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("shard interrupted", tests, G_N_ELEMENTS (tests));
}

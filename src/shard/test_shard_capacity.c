/* Unit tests of workers whose capacity changes while they run tasks. */
#include "base/counters.h"
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define MANY_WORKERS 12U
#define CORE 1000U
#define AMPLE 16000U
#define SECOND_JOB (JOB_ID + 1)

static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
static const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };

typedef struct
{
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
} capacity_t;

static const capacity_t four_tasks = { 4 * CORE, AMPLE, AMPLE };

static void
list_incarnation (const char *id, int64_t started_ms, capacity_t capacity)
{
  const shard_worker_t info = { .id = id,
                                .started_ms = started_ms,
                                .address = "10.0.0.1:1",
                                .service = "service",
                                .label = "a",
                                .rack = "r",
                                .zone = "z1",
                                .millicores = capacity.millicores,
                                .memory_mb = capacity.memory_mb,
                                .accelerators = capacity.accelerators };

  shard_worker_listed (fixture.shard, fixture.now, &info);
}

static void
list_with (const char *id, capacity_t capacity)
{
  list_incarnation (id, START_WALL_MS, capacity);
}

static void
add_worker (const char *id, capacity_t capacity)
{
  list_with (id, capacity);
  advance (0);
  reply_as_ready (id);
}

static void
set_up_workers (capacity_t first, capacity_t second)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_worker ("w1", first);
  add_worker ("w2", second);
}

static submission_t *
new_step (job_id_t id, uint32_t tasks, capacity_t need)
{
  submission_t *submission = new_submission_with_id (id, tasks);

  submission->steps[0].millicores = need.millicores;
  submission->steps[0].memory_mb = need.memory_mb;
  submission->steps[0].accelerators = need.accelerators;
  return submission;
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

/* Answers all starts sent to a worker so far. */
static void
reply_to_starts (const char *worker, const shard_reply_t *reply)
{
  size_t count = fixture.call_count;

  for (size_t i = 0; i < count; i++)
    if (fixture.calls[i].kind == SHARD_START
        && strcmp (fixture.calls[i].worker, worker) == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, reply);
}

/* Places TASKS tasks on w1, which has room for four, and shrinks it to ROOM
   before their record is stored. */
static void
shrink_before_start (uint32_t tasks, capacity_t need, capacity_t from,
                     capacity_t room)
{
  set_up_workers (from, (capacity_t){ 0 });
  apply_submission (new_step (JOB_ID, tasks, need));
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  list_with ("w1", room);
  store_and_send ();
}

/* Guards against a start that was decided before the room shrank and is sent
   after, and against starts withdrawn although there is room for them. */
static void
test_stored_start (void)
{
  shrink_before_start (4, (capacity_t){ CORE, 0, 0 }, four_tasks,
                       (capacity_t){ 2 * CORE, AMPLE, AMPLE });
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 2);
  list_with ("w2", four_tasks);
  store_and_send ();
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 2);
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 2);
  tear_down ();
}

/* Guards against capacity other than of processors that is not looked at. */
static void
test_memory_and_accelerators (void)
{
  shrink_before_start (4, (capacity_t){ CORE, 100, 0 }, four_tasks,
                       (capacity_t){ 4 * CORE, 199, AMPLE });
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  tear_down ();
  shrink_before_start (4, (capacity_t){ CORE, 100, 1 }, four_tasks,
                       (capacity_t){ 4 * CORE, AMPLE, 3 });
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 3);
  tear_down ();
}

/* Guards against a start that is repeated after the room has shrunk, and
   against its task being started elsewhere before a stop has closed it. */
static void
test_unanswered_start (void)
{
  set_up_workers (four_tasks, (capacity_t){ 0 });
  add_job (1);
  store_and_send ();
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w1"), 1);
  reply_to_starts ("w1", &none);
  list_with ("w1", (capacity_t){ 0 });
  list_with ("w2", four_tasks);
  reply_as_ready ("w1");
  advance (400 * USEC_PER_MSEC);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
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
  CU_ASSERT_EQUAL (count_starts_at ("w2"), 1);
  tear_down ();
}

/* Guards against work that is thrown away: the worker has the run whose start
   was not answered, or whose room has shrunk since. */
static void
test_running_task (void)
{
  set_up_workers (four_tasks, (capacity_t){ 0 });
  add_job (1);
  store_and_send ();
  reply_to_starts ("w1", &none);
  list_with ("w1", (capacity_t){ 0 });
  reply_with_lists ("w1", &first_run, 1, NULL, 0);
  advance (400 * USEC_PER_MSEC);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  tear_down ();
}

/* Guards against gang members that wait elsewhere for a member whose start was
   withdrawn. */
static void
test_gang (void)
{
  submission_t *submission = new_submission (8);

  submission->steps[0].gang = true;
  set_up_workers (four_tasks, four_tasks);
  apply_submission (submission);
  store_and_send ();
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w1"), 4);
  CU_ASSERT_EQUAL_FATAL (count_starts_at ("w2"), 4);
  reply_to_starts ("w1", &refused);
  reply_to_starts ("w2", &ok);
  list_with ("w1", (capacity_t){ 3 * CORE, AMPLE, AMPLE });
  reply_as_ready ("w1");
  advance (400 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 4);
  CU_ASSERT_EQUAL (count_calls_at (SHARD_STOP, "w2"), 4);
  tear_down ();
}

/* Guards against a gang of which some members were never sent. */
static void
test_unstored_gang (void)
{
  submission_t *submission = new_submission (8);

  submission->steps[0].gang = true;
  set_up_workers (four_tasks, four_tasks);
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  list_with ("w1", (capacity_t){ 3 * CORE, AMPLE, AMPLE });
  store_and_send ();
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), count_calls (SHARD_STOP));
  tear_down ();
}

/* Guards against best-effort tasks on a worker that is too small for what it
   runs, although that leaves processor time unused. */
static void
test_best_effort (void)
{
  submission_t *serving = new_submission (1);
  submission_t *filling = new_submission_with_id (SECOND_JOB, 1);
  uint32_t appends;

  serving->steps[0].millicores = 4 * CORE;
  serving->steps[0].long_running = true;
  serving->steps[0].target_latency_ms = 20;
  serving->steps[0].image = g_strdup ("serving");
  filling->steps[0].millicores = CORE / 10;
  filling->steps[0].best_effort = true;
  set_up_workers (four_tasks, (capacity_t){ 0 });
  apply_submission (serving);
  store_and_send ();
  reply_to_starts ("w1", &ok);
  list_with ("w1", (capacity_t){ 3 * CORE, AMPLE, AMPLE });
  appends = fixture.appends;
  apply_submission (filling);
  store_and_send ();
  advance (200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  CU_ASSERT_EQUAL (fixture.appends, appends);
  list_with ("w1", four_tasks);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 2);
  tear_down ();
}

/* Guards against tasks that are placed on a full worker and withdrawn in
   turn. */
static void
test_full_worker (void)
{
  uint64_t before = counter_get (COUNTER_STARTS_WITHDRAWN);

  set_up_workers (four_tasks, (capacity_t){ 0 });
  add_job (5);
  store_and_send ();
  reply_to_starts ("w1", &ok);
  store_and_send ();
  advance (200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 4);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  CU_ASSERT_EQUAL (counter_get (COUNTER_STARTS_WITHDRAWN), before);
  tear_down ();
}

/* Guards against tasks that wait on after their worker has grown. */
static void
test_growth (void)
{
  set_up_workers ((capacity_t){ CORE, AMPLE, AMPLE }, (capacity_t){ 0 });
  add_job (4);
  store_and_send ();
  reply_to_starts ("w1", &ok);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  list_with ("w1", four_tasks);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 4);
  tear_down ();
}

/* Guards against room that is given away while it is still in use. */
static void
test_stopped_run_counts (void)
{
  const end_report_t end = { 1, { JOB_ID, 0, 0, 0, 1 }, RUN_STOPPED, "" };

  set_up_workers ((capacity_t){ CORE, AMPLE, AMPLE }, (capacity_t){ 0 });
  add_job (1);
  store_and_send ();
  reply_to_starts ("w1", &ok);
  shard_cancel (fixture.shard, fixture.now, JOB_ID);
  store_and_send ();
  add_job_with_id (SECOND_JOB, 1);
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 1);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_STOP)->id, &ok);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  reply_with_lists ("w1", NULL, 0, &end, 1);
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 2);
  tear_down ();
}

/* Guards against room that a run takes up which this owner does not know and
   has just told the worker to stop. */
static void
test_stray_run_counts (void)
{
  const run_report_t stray
      = { .run_id = { SECOND_JOB, 0, 0, 0, 1 }, .checkpoint = "" };

  set_up_workers (four_tasks, (capacity_t){ 0 });
  advance (USEC_PER_SEC);
  reply_with_lists ("w1", &stray, 1, NULL, 0);
  add_job (1);
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 1);
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 0);
  reply_as_ready ("w1");
  store_and_send ();
  CU_ASSERT_EQUAL (count_starts_at ("w1"), 1);
  tear_down ();
}

/* Guards against a successor that does not count what its predecessor has
   started. */
static void
test_successor (void)
{
  set_up_with_placed_run ();
  list_with ("w1", (capacity_t){ CORE, AMPLE, AMPLE });
  add_job_with_id (SECOND_JOB, 1);
  advance (0);
  reply_with_lists ("w1", &first_run, 1, NULL, 0);
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  list_with ("w1", (capacity_t){ 2 * CORE, AMPLE, AMPLE });
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

/* Advances the clock without a new list of workers. */
static void
advance_without_list (usec_t span)
{
  fixture.now += span;
  zones_confirm (fixture.zones, fixture.now);
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
}

/* Guards against placements and starts by an owner that does not know whether
   workers have shrunk, such as one that was paused. */
static void
test_old_list (void)
{
  set_up_workers (four_tasks, (capacity_t){ 0 });
  add_job (1);
  advance_without_list (WORKERS_MAX_AGE + USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  advance (200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  fixture.now += WORKERS_MAX_AGE + USEC_PER_MSEC;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance_without_list (0);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  advance (300 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

/* Guards against tasks that wait for a list of workers which reject what they
   have no room for. */
static void
test_old_list_of_guarded_workers (void)
{
  set_up_workers (four_tasks, (capacity_t){ 0 });
  fixture.workers_reject_overload = true;
  add_job (1);
  advance_without_list (WORKERS_MAX_AGE + USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  fixture.now += WORKERS_MAX_AGE;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance_without_list (0);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

/* Guards against passes that take all of the owner's processor: they looked at
   every worker for each task of a step.  While the list is old, each look asks
   whether the worker rejects overload. */
static void
test_looks_at_workers (void)
{
  char id[16];
  char address[32];

  set_up ();
  fixture.workers_reject_overload = true;
  shard_loaded (fixture.shard, fixture.now);
  for (uint32_t i = 0; i < MANY_WORKERS; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      g_snprintf (address, sizeof address, "10.0.0.%u:1", i);
      list_worker_with (id, address, false);
    }
  advance (0);
  for (uint32_t i = 0; i < MANY_WORKERS; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      reply_as_ready (id);
    }
  fixture.now += WORKERS_MAX_AGE + USEC_PER_MSEC;
  fixture.call_count = 0;
  add_job (4 * MANY_WORKERS + 1);
  advance_without_list (0);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  CU_ASSERT (fixture.overload_queries < 8 * MANY_WORKERS);
  fixture.call_count = 0;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance_without_list (0);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), (size_t)4 * MANY_WORKERS);
  tear_down ();
}

/* Guards against starts at a restarted worker by what is known of its former
   incarnation, which may have been larger or of another kind. */
static void
test_restarted_worker (void)
{
  const shard_reply_t restarted = { .kind = SHARD_REPLY_OK,
                                    .clock_ms = 1,
                                    .started_ms = START_WALL_MS + 5,
                                    .has_lists = true };

  set_up_workers (four_tasks, (capacity_t){ 0 });
  advance (USEC_PER_MSEC);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_HOLD
        && strcmp (fixture.calls[i].worker, "w1") == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id,
                   &restarted);
  add_job (4);
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  list_incarnation ("w1", START_WALL_MS + 5,
                    (capacity_t){ 2 * CORE, AMPLE, AMPLE });
  store_and_send ();
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 2);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "stored start", test_stored_start },
    { "memory and accelerators", test_memory_and_accelerators },
    { "unanswered start", test_unanswered_start },
    { "running task", test_running_task },
    { "gang", test_gang },
    { "unstored gang", test_unstored_gang },
    { "best effort", test_best_effort },
    { "full worker", test_full_worker },
    { "growth", test_growth },
    { "stopped run counts", test_stopped_run_counts },
    { "stray run counts", test_stray_run_counts },
    { "successor", test_successor },
    { "restarted worker", test_restarted_worker },
    { "old list", test_old_list },
    { "old list of guarded workers", test_old_list_of_guarded_workers },
    { "looks at workers", test_looks_at_workers },
  };

  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard capacity", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

/* Unit tests of jobs whose queue is moved to another service, and of owners
   that know other configurations. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define OLD_SERVICE "service"
#define NEW_SERVICE "the service that the queue is moved to"
#define OLD_WORKER "old"
#define NEW_WORKER "new"
#define LEASES_EXPIRED (20 * USEC_PER_SEC)
#define MANY_JOBS 200U

static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
static const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };

/* Lists a worker with room for four tasks, which then answers its hold. */
static void
add_worker (const char *id, const char *service)
{
  const shard_worker_t info = { .id = id,
                                .started_ms = START_WALL_MS,
                                .address = "10.0.0.1:1",
                                .service = service,
                                .label = "a",
                                .rack = "r",
                                .zone = "z1",
                                .millicores = 4000,
                                .memory_mb = 4000 };

  shard_worker_listed (fixture.shard, fixture.now, &info);
  advance (0);
  reply_as_ready (id);
}

static void
set_config (uint64_t version, const char *service)
{
  fixture.config_version = version;
  fixture.queue_service = service;
  shard_queues_changed (fixture.shard);
}

/* A loaded shard with the configuration 1, in which the queue has the old
   service, and a worker of each service. */
static void
set_up_services (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  set_config (1, OLD_SERVICE);
  add_worker (OLD_WORKER, OLD_SERVICE);
  add_worker (NEW_WORKER, NEW_SERVICE);
}

static submission_t *
new_job_at (uint64_t version, uint32_t tasks)
{
  submission_t *submission = new_submission (tasks);

  submission->config_version = version;
  return submission;
}

static void
expect_starts (size_t at_old, size_t at_new)
{
  CU_ASSERT_EQUAL (count_calls_at (SHARD_START, OLD_WORKER), at_old);
  CU_ASSERT_EQUAL (count_calls_at (SHARD_START, NEW_WORKER), at_new);
}

static void
accept_starts (void)
{
  size_t count = fixture.call_count;

  for (size_t i = 0; i < count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
}

static void
refuse_old_calls (void)
{
  for (size_t i = 0; i < fixture.call_count; i++)
    if (strcmp (fixture.calls[i].worker, OLD_WORKER) == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &refused);
}

/* The old worker ends without a notice, and its leases expire; the new one
   goes on answering. */
static void
lose_old_worker (void)
{
  shard_worker_unlisted (fixture.shard, fixture.now, OLD_WORKER);
  for (usec_t t = 0; t < LEASES_EXPIRED; t += USEC_PER_SEC)
    {
      refuse_old_calls ();
      reply_as_ready (NEW_WORKER);
      fixture.call_count = 0;
      advance (USEC_PER_SEC);
    }
  refuse_old_calls ();
  reply_as_ready (NEW_WORKER);
  fixture.call_count = 0;
}

/* Another owner loads the job with the progress stored last.
   @param submission is freed */
static void
take_over (submission_t *submission, uint64_t version, const char *service)
{
  GByteArray *progress = g_byte_array_new ();

  g_byte_array_append (progress, fixture.progress->data,
                       fixture.progress->len);
  tear_down ();
  set_up ();
  fixture.config_version = version;
  fixture.queue_service = service;
  apply_submission (submission);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)progress->data, progress->len });
  shard_loaded (fixture.shard, fixture.now);
  add_worker (OLD_WORKER, OLD_SERVICE);
  add_worker (NEW_WORKER, NEW_SERVICE);
  g_byte_array_unref (progress);
}

/* Guards against a long-running task that is never run again after its queue
   was moved and the worker of the former service has ended (LOST). */
static void
test_long_running (void)
{
  submission_t *submission = new_job_at (1, 1);

  submission->steps[0].long_running = true;
  set_up_services ();
  apply_submission (submission);
  store_all ();
  expect_starts (1, 0);
  accept_starts ();
  for (uint32_t s = 0; s < 5; s++)
    {
      advance (USEC_PER_SEC);
      reply_with_lists (OLD_WORKER, &first_run, 1, NULL, 0);
      reply_as_ready (NEW_WORKER);
      fixture.call_count = 0;
    }
  set_config (2, NEW_SERVICE);
  store_all ();
  lose_old_worker ();
  store_all ();
  expect_starts (0, 1);
  tear_down ();
}

/* Guards against jobs that wait for room at the former service. */
static void
test_waiting (void)
{
  set_up_services ();
  apply_submission (new_job_at (1, 6));
  store_all ();
  expect_starts (4, 0);
  set_config (2, NEW_SERVICE);
  store_all ();
  expect_starts (4, 2);
  tear_down ();
}

/* Guards against runs that are stopped because their queue was moved. */
static void
test_running (void)
{
  set_up_services ();
  apply_submission (new_job_at (1, 1));
  store_all ();
  accept_starts ();
  set_config (2, NEW_SERVICE);
  store_all ();
  store_all ();
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  expect_starts (1, 0);
  tear_down ();
}

/* Guards against later steps of a job that are run by the former service. */
static void
test_chain (void)
{
  submission_t *submission = new_job_at (1, 1);
  const end_report_t end = { 1, { JOB_ID, 0, 0, 0, 1 }, RUN_DONE, "" };

  submission->steps = g_renew (step_t, submission->steps, 2);
  submission->step_count = 2;
  submission->steps[1] = submission->steps[0];
  submission->steps[1].depends_on = g_new0 (uint32_t, 1);
  submission->steps[1].depends_on_count = 1;
  set_up_services ();
  apply_submission (submission);
  store_all ();
  accept_starts ();
  set_config (2, NEW_SERVICE);
  store_all ();
  reply_with_lists (OLD_WORKER, NULL, 0, &end, 1);
  store_all ();
  expect_starts (1, 1);
  tear_down ();
}

/* Guards against a gang that is split between two services, or waits for the
   former one. */
static void
test_gang (void)
{
  submission_t *submission = new_job_at (1, 4);

  submission->steps[0].gang = true;
  set_up_services ();
  apply_submission (new_submission_with_id (JOB_ID + 1, 1));
  store_all ();
  apply_submission (submission);
  store_all ();
  expect_starts (1, 0);
  set_config (2, NEW_SERVICE);
  store_all ();
  expect_starts (1, 4);
  tear_down ();
}

/* Guards against later occurrences of a job that are run by the former
   service. */
static void
test_occurrences (void)
{
  submission_t *submission = new_job_at (1, 1);

  submission->occurrence_count = 2;
  submission->first_due_ms = START_WALL_MS;
  submission->interval_ms = 5000;
  set_up_services ();
  apply_submission (submission);
  store_all ();
  expect_starts (1, 0);
  set_config (2, NEW_SERVICE);
  store_all ();
  expect_starts (1, 0);
  advance (5 * USEC_PER_SEC);
  reply_as_ready (NEW_WORKER);
  fixture.call_count = 0;
  store_all ();
  expect_starts (0, 1);
  tear_down ();
}

/* Guards against jobs that a later owner, whose configuration does not have
   the queue any more, runs by the service of their acceptance. */
static void
test_dropped_queue (void)
{
  set_up_services ();
  apply_submission (new_job_at (1, 6));
  store_all ();
  set_config (2, NEW_SERVICE);
  store_all ();
  set_config (3, NULL);
  store_all ();
  expect_starts (4, 2);
  take_over (new_job_at (1, 6), 3, NULL);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  lose_old_worker ();
  store_all ();
  expect_starts (0, 4);
  tear_down ();
}

/* Guards against a move that is not stored until a task is placed: an owner
   that takes over before has read a configuration without the queue. */
static void
test_stored (void)
{
  set_up_services ();
  fixture.now += 1;
  apply_submission (new_job_at (1, 1));
  shard_quiesce (fixture.shard);
  set_config (2, NEW_SERVICE);
  store_all ();
  CU_ASSERT_EQUAL (fixture.appends, 1);
  expect_starts (0, 0);
  take_over (new_job_at (1, 1), 3, NULL);
  store_all ();
  expect_starts (0, 1);
  tear_down ();
}

/* Guards against an owner that has not read the newest configuration yet and
   moves jobs back: by the progress that is stored, and by the submission. */
static void
test_older_owner (void)
{
  submission_t *submission;

  set_up_services ();
  apply_submission (new_job_at (1, 6));
  store_all ();
  set_config (3, NEW_SERVICE);
  store_all ();
  take_over (new_job_at (1, 6), 2, OLD_SERVICE);
  set_config (2, OLD_SERVICE);
  lose_old_worker ();
  store_all ();
  expect_starts (0, 4);
  tear_down ();
  set_up_services ();
  submission = new_job_at (2, 1);
  g_free (submission->service);
  submission->service = g_strdup (NEW_SERVICE);
  apply_submission (submission);
  store_all ();
  expect_starts (0, 1);
  tear_down ();
}

/* Guards against jobs that are stuck because the owner has a later
   configuration than the process that accepted them, or that were accepted by
   a build that did not store its version. */
static void
test_newer_owner (void)
{
  for (uint64_t version = 0; version < 2; version++)
    {
      set_up_services ();
      set_config (2, NEW_SERVICE);
      apply_submission (new_job_at (version, 1));
      store_all ();
      expect_starts (0, 1);
      tear_down ();
    }
}

/* Guards against jobs that do not follow a queue that is moved back. */
static void
test_moved_back (void)
{
  set_up_services ();
  apply_submission (new_job_at (1, 10));
  store_all ();
  set_config (2, NEW_SERVICE);
  store_all ();
  expect_starts (4, 4);
  set_config (3, OLD_SERVICE);
  add_worker ("another", OLD_SERVICE);
  store_all ();
  CU_ASSERT_EQUAL (count_calls_at (SHARD_START, "another"), 2);
  expect_starts (4, 4);
  take_over (new_job_at (1, 10), 2, NEW_SERVICE);
  store_all ();
  CU_ASSERT_EQUAL (count_calls_at (SHARD_START, NEW_WORKER), 0);
  tear_down ();
}

/* Guards against appends for jobs whose queue was not moved. */
static void
test_other_changes (void)
{
  set_up_services ();
  apply_submission (new_job_at (1, 6));
  store_all ();
  CU_ASSERT_EQUAL (fixture.appends, 1);
  set_config (2, OLD_SERVICE);
  set_config (3, OLD_SERVICE);
  store_all ();
  CU_ASSERT_EQUAL (fixture.appends, 1);
  CU_ASSERT_EQUAL (fixture.progress->len > 0, 1);
  tear_down ();
}

/* Guards against an estimate of the memory of jobs that does not know the
   name of their new service, and so is wrong after they have gone. */
static void
test_memory (void)
{
  uint64_t before;

  set_up_services ();
  for (uint32_t i = 0; i < MANY_JOBS; i++)
    apply_submission (new_submission_with_id (JOB_ID + i, 5));
  before = shard_job_bytes (fixture.shard);
  set_config (2, NEW_SERVICE);
  CU_ASSERT (shard_job_bytes (fixture.shard) > before);
  set_config (3, OLD_SERVICE);
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), before);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "long-running", test_long_running },
    { "waiting", test_waiting },
    { "running", test_running },
    { "chain", test_chain },
    { "gang", test_gang },
    { "occurrences", test_occurrences },
    { "dropped queue", test_dropped_queue },
    { "stored", test_stored },
    { "older owner", test_older_owner },
    { "newer owner", test_newer_owner },
    { "moved back", test_moved_back },
    { "other changes", test_other_changes },
    { "memory", test_memory },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard services", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

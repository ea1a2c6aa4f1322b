/* Unit tests of jobs whose identifiers differ in the case of letters only. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <errno.h>

static const job_id_t small = JOB_ID;

static job_id_t
capital (void)
{
  return job_id_make (JOB_ID, UINT64_MAX);
}

static job_status_t
status_of (job_id_t id)
{
  job_status_t status = JOB_QUEUED;

  CU_ASSERT_EQUAL (shard_status (fixture.shard, id, &status), 0);
  return status;
}

/* Starts both jobs. */
static void
set_up_both (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_job_with_id (capital (), 1);
  add_job_with_id (small, 1);
  add_ready_worker ();
  store_all ();
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
}

/* Guards against two jobs that are taken for one, or started under the name of
   the other. */
static void
test_two_jobs (void)
{
  uint32_t starts[2] = { 0 };

  set_up_both ();
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      {
        starts[0] += fixture.calls[i].run_id.job == small;
        starts[1] += fixture.calls[i].run_id.job == capital ();
      }
  CU_ASSERT_EQUAL (starts[0], 1);
  CU_ASSERT_EQUAL (starts[1], 1);
  CU_ASSERT_EQUAL (status_of (small), JOB_RUNNING);
  CU_ASSERT_EQUAL (status_of (capital ()), JOB_RUNNING);
  tear_down ();
}

/* Guards against the end of one job, or its cancellation, that ends the
   other. */
static void
test_ends (void)
{
  end_report_t end = { .number = 1,
                       .run_id = { capital (), 0, 0, 0, 1 },
                       .end = RUN_DONE,
                       .checkpoint = "" };
  run_report_t run = first_run;

  set_up_both ();
  advance (USEC_PER_MSEC);
  reply_to_hold (&run, 1, &end, 1);
  store_all ();
  CU_ASSERT_EQUAL (status_of (capital ()), JOB_COMPLETED);
  CU_ASSERT_EQUAL (status_of (small), JOB_RUNNING);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, small), -EAGAIN);
  store_all ();
  CU_ASSERT_EQUAL (status_of (small), JOB_CANCELED);
  CU_ASSERT_EQUAL (status_of (capital ()), JOB_COMPLETED);
  tear_down ();
}

/* Guards against a job that is shown to a caller who has not submitted it. */
static void
test_unsubmitted (void)
{
  job_status_t status;

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_job_with_id (capital (), 1);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, small, &status), -ENOENT);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, small), -ENOENT);
  CU_ASSERT_EQUAL (
      shard_status (fixture.shard, job_id_make (JOB_ID, 2), &status), -ENOENT);
  tear_down ();
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_job_with_id (small, 1);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, capital (), &status), -ENOENT);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, capital ()),
                   -ENOENT);
  tear_down ();
}

/* Passes the submission of a job as a build stores it that does not keep the
   letters of identifiers. */
static void
add_job_of_earlier_build (void)
{
  submission_t *submission = new_submission (1);

  submission->letters_unknown = true;
  apply_submission (submission);
}

/* Guards against a job accepted by an earlier build that its caller, who wrote
   capital letters, is told to be unknown, or that runs again when it is
   repeated. */
static void
test_earlier_build (void)
{
  job_status_t status;

  set_up ();
  add_job_of_earlier_build ();
  shard_loaded (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (shard_submission_state (fixture.shard, capital ()), 0);
  CU_ASSERT_EQUAL (status_of (capital ()), JOB_QUEUED);
  CU_ASSERT_EQUAL (status_of (small), JOB_QUEUED);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, capital ()),
                   -EAGAIN);
  store_all ();
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, capital ()), 0);

  /* The next owner has nothing but the record of the end. */
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  shard_apply_record (
      fixture.shard, fixture.now, RECORD_PROGRESS, small,
      (blob_t){ (const char *)fixture.progress->data, fixture.progress->len });
  shard_loaded (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (status_of (capital ()), JOB_CANCELED);
  CU_ASSERT_EQUAL (
      shard_status (fixture.shard, job_id_make (JOB_ID + 1, 1), &status),
      -ENOENT);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "two jobs", test_two_jobs },
    { "ends", test_ends },
    { "unsubmitted", test_unsubmitted },
    { "earlier build", test_earlier_build },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard letters", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

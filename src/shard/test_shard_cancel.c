/* Unit tests of cancellations that arrive before the submission of their
   job. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <errno.h>

/* How long the fixture keeps ended jobs, and how often it looks for them. */
#define KEEP_ENDED (60 * USEC_PER_SEC)
#define FORGET_TIME (6 * USEC_PER_SEC)
/* The most cancellations of this kind that a shard keeps. */
#define CANCELLATIONS_MAX 10000U

typedef enum
{
  BY_OFFER,     /* the caller's process offers the submission to the owner */
  BY_LATE_STORE /* it has stored the submission, which took effect late */
} arrival_t;

static void
store (void)
{
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
}

static int
cancel_unknown (job_id_t job)
{
  return shard_cancel_unknown (fixture.shard, fixture.now, job);
}

static void
cancel_and_store (void)
{
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EALREADY);
}

static void
submission_arrives (arrival_t arrival)
{
  if (arrival == BY_OFFER)
    CU_ASSERT_EQUAL (submit (), -EINPROGRESS)
  else
    add_job (1);
}

/* No task of the job is placed or started, and callers see that it was
   canceled. */
static void
expect_canceled (void)
{
  job_status_t status = JOB_QUEUED;

  for (int i = 0; i < 5; i++)
    {
      store ();
      reply_as_ready ("w1");
    }
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 0);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), 0);
  CU_ASSERT_EQUAL (status, JOB_CANCELED);
  CU_ASSERT_EQUAL (shard_pending (fixture.shard, "queue"), 0);
}

/* Loads the given records as a later owner. */
static void
take_over (bool has_submission)
{
  GByteArray *kept = g_byte_array_new ();

  g_byte_array_append (kept, fixture.progress->data, fixture.progress->len);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  if (has_submission)
    add_job (1);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)kept->data, kept->len });
  g_byte_array_unref (kept);
  fixture.call_count = 0;
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
}

/* Guards against a job that runs after its cancellation was acknowledged, as
   its submission was under way meanwhile (review/3). */
static void
check_late_submission (arrival_t arrival)
{
  job_status_t status;

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  cancel_and_store ();
  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), -ENOENT);
  submission_arrives (arrival);
  expect_canceled ();
  CU_ASSERT_EQUAL (fixture.submissions, 0);
  if (arrival == BY_LATE_STORE)
    CU_ASSERT (fixture.submission_deleted);
  tear_down ();
}

static void
test_late_submission (void)
{
  check_late_submission (BY_OFFER);
  check_late_submission (BY_LATE_STORE);
}

/* The same where the owner changes before the submission arrives, or after it
   was stored. */
static void
test_late_submission_after_takeover (void)
{
  job_status_t status;

  for (arrival_t arrival = BY_OFFER; arrival <= BY_LATE_STORE; arrival++)
    {
      set_up ();
      shard_loaded (fixture.shard, fixture.now);
      cancel_and_store ();
      take_over (false);
      CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), -ENOENT);
      submission_arrives (arrival);
      expect_canceled ();
      tear_down ();
    }
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  cancel_and_store ();
  take_over (true);
  expect_canceled ();
  CU_ASSERT (fixture.submission_deleted);
  tear_down ();
}

/* Guards against a submission that is accepted while its cancellation is not
   stored yet: a later owner would not know of the cancellation. */
static void
test_submission_before_cancellation_is_stored (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  CU_ASSERT_EQUAL (shard_submission_state (fixture.shard, JOB_ID),
                   -EINPROGRESS);
  CU_ASSERT_EQUAL (submit (), -EINPROGRESS);
  store ();
  CU_ASSERT_EQUAL (fixture.settled, 1);
  CU_ASSERT_EQUAL (submit (), -EINPROGRESS);
  expect_canceled ();
  tear_down ();
}

/* Guards against a late submission that is accepted before a later owner would
   know of it: its job would be unknown to that owner (soak seed 4101). */
static void
test_late_submission_is_stored (void)
{
  job_status_t status = JOB_QUEUED;

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  cancel_and_store ();
  CU_ASSERT_EQUAL (submit (), -EINPROGRESS);
  CU_ASSERT_EQUAL (shard_submission_state (fixture.shard, JOB_ID),
                   -EINPROGRESS);
  fixture.settled = 0;
  store ();
  CU_ASSERT_EQUAL (fixture.settled, 1);
  CU_ASSERT_EQUAL (shard_submission_state (fixture.shard, JOB_ID), 0);
  take_over (false);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), 0);
  CU_ASSERT_EQUAL (status, JOB_CANCELED);
  tear_down ();
}

/* Guards against records without end that anybody can cause. */
static void
test_cancellations_are_limited (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  for (job_id_t job = 1; job <= CANCELLATIONS_MAX; job++)
    CU_ASSERT_EQUAL (cancel_unknown (job), -EAGAIN);
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -ENOSPC);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (1), -EALREADY);
  fixture.now += KEEP_ENDED;
  for (int i = 0; i < 3; i++)
    {
      fixture.now += FORGET_TIME;
      store ();
    }
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  CU_ASSERT_EQUAL (cancel_unknown (1), -EAGAIN);
  tear_down ();
}

/* Advances the clock until ended jobs have been looked for, and stores. */
static void
pass (usec_t duration)
{
  fixture.now += duration;
  for (int i = 0; i < 3; i++)
    {
      fixture.now += FORGET_TIME;
      store ();
    }
}

/* Guards against a cancellation that is acknowledged again shortly before its
   record is deleted: the submission that arrives next would run ("forgotten
   cancellations" of test_shard, seed 1). */
static void
test_repeated_cancellation_is_kept (void)
{
  for (arrival_t arrival = BY_OFFER; arrival <= BY_LATE_STORE; arrival++)
    {
      set_up ();
      shard_loaded (fixture.shard, fixture.now);
      add_ready_worker ();
      cancel_and_store ();
      fixture.now += KEEP_ENDED - USEC_PER_SEC;
      store ();
      cancel_and_store ();
      pass (0);
      submission_arrives (arrival);
      expect_canceled ();
      tear_down ();
    }
}

/* The same where the owner changes after the repetition, and while the
   deletion of the record is under way. */
static void
test_repeated_cancellation_is_stored (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  cancel_and_store ();
  fixture.now += KEEP_ENDED - USEC_PER_SEC;
  store ();
  cancel_and_store ();
  take_over (false);
  pass (0);
  submission_arrives (BY_OFFER);
  expect_canceled ();
  tear_down ();

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  cancel_and_store ();
  fixture.now += KEEP_ENDED + FORGET_TIME;
  shard_tick (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EALREADY);
  submission_arrives (BY_OFFER);
  expect_canceled ();
  tear_down ();
}

/* The same for a job that has ended otherwise: a copy of its submission may be
   under way. */
static void
test_repeated_cancellation_of_canceled_job (void)
{
  job_status_t status = JOB_QUEUED;

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_job (1);
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), 0);
  fixture.now += KEEP_ENDED - USEC_PER_SEC;
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), -EAGAIN);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), 0);
  CU_ASSERT_EQUAL (status, JOB_CANCELED);
  store ();
  CU_ASSERT_EQUAL (cancel_unknown (JOB_ID), 0);
  pass (0);
  CU_ASSERT_EQUAL (submit (), 0);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), 0);
  CU_ASSERT_EQUAL (status, JOB_CANCELED);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "late submission", test_late_submission },
    { "late submission after a takeover",
      test_late_submission_after_takeover },
    { "submission before the cancellation is stored",
      test_submission_before_cancellation_is_stored },
    { "late submission is stored", test_late_submission_is_stored },
    { "cancellations are limited", test_cancellations_are_limited },
    { "repeated cancellation is kept", test_repeated_cancellation_is_kept },
    { "repeated cancellation is stored",
      test_repeated_cancellation_is_stored },
    { "repeated cancellation of a canceled job",
      test_repeated_cancellation_of_canceled_job },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard cancel", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}

/* Unit tests of the estimate of the memory of a shard's jobs, and of the bound
   on it. */
#include "base/log.h"
#include "shard/shard_private.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <malloc.h>
#include <stdio.h>

/* How long the fixture keeps ended jobs, and how often it looks for them. */
#define KEEP_ENDED (60 * USEC_PER_SEC)
#define FORGET_TIME (6 * USEC_PER_SEC)
/* More than one job of 100 tasks takes, and less than two do. */
#define ONE_JOB_BYTES 15000U
/* Jobs whose memory is measured. */
#define MEASURED_JOBS 400U

/* The estimate is what it would be if it were made anew from all jobs. */
static void
check_in_step (void)
{
  uint64_t before = shard_job_bytes (fixture.shard);
  uint64_t counted = 0;
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, fixture.shard->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      job_entry_t *entry = data;

      memory_update (fixture.shard, entry);
      CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), before);
      counted += entry->counted_bytes;
    }
  CU_ASSERT_EQUAL (counted, before);
}

static void
step (usec_t span)
{
  advance (span);
  check_in_step ();
}

static void
store (void)
{
  step (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  check_in_step ();
}

/* Consumes the submission. @return what shard_submit returns */
static int
submit_this (submission_t *submission)
{
  GByteArray *record = g_byte_array_new ();
  int code;

  submission_encode (submission, record);
  code = shard_submit (fixture.shard, fixture.now, submission->id,
                       (blob_t){ (char *)record->data, record->len });
  g_byte_array_unref (record);
  submission_free (submission);
  check_in_step ();
  return code;
}

static int
submit_tasks (job_id_t id, uint32_t tasks)
{
  return submit_this (new_submission_with_id (id, tasks));
}

static void
set_up_loaded (uint64_t job_bytes)
{
  set_up_job_bytes (job_bytes);
  shard_loaded (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), 0);
}

/* Ends the only run of JOB_ID. */
static void
end_run (void)
{
  const end_report_t end
      = { .number = 1, .run_id = first_run.run_id, .checkpoint = "" };

  reply_to_hold (NULL, 0, &end, 1);
  check_in_step ();
}

/* Has the shard forget the jobs that have ended. */
static void
forget_jobs (void)
{
  for (int i = 0; i < 3; i++)
    store ();
  step (KEEP_ENDED + FORGET_TIME);
  store ();
  for (int i = 0; i < 2; i++)
    store ();
}

/* Guards against an estimate that grows with each job that completes, so that
   the owner refuses all jobs in the end. */
static void
test_completed (void)
{
  uint64_t open;

  set_up_loaded (0);
  add_ready_worker ();
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 1), -EINPROGRESS);
  open = shard_job_bytes (fixture.shard);
  store ();
  CU_ASSERT (shard_job_bytes (fixture.shard) < open);
  step (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  reply_to_hold (&first_run, 1, NULL, 0);
  step (2 * USEC_PER_SEC);
  open = shard_job_bytes (fixture.shard);
  end_run ();
  CU_ASSERT (shard_job_bytes (fixture.shard) < open);
  CU_ASSERT (shard_job_bytes (fixture.shard) > 0);
  forget_jobs ();
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), 0);
  tear_down ();
}

/* The same for jobs that are canceled, before or after their submission, and
   for submissions that are withdrawn. */
static void
test_canceled (void)
{
  set_up_loaded (0);
  for (job_id_t i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (submit_tasks (JOB_ID + i, 10), -EINPROGRESS);
  CU_ASSERT_EQUAL (shard_withdraw (fixture.shard, fixture.now, JOB_ID), 0);
  check_in_step ();
  store ();
  for (job_id_t i = 1; i < 5; i++)
    shard_cancel (fixture.shard, fixture.now, JOB_ID + i);
  check_in_step ();
  for (job_id_t i = 5; i < 8; i++)
    shard_cancel_unknown (fixture.shard, fixture.now, JOB_ID + i);
  check_in_step ();
  CU_ASSERT (shard_job_bytes (fixture.shard) > 0);
  forget_jobs ();
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), 0);
  tear_down ();
}

/* Guards against an estimate that goes on with the jobs of a former ownership,
   or that lacks jobs which were loaded. */
static void
test_takeover (void)
{
  uint64_t stored;

  set_up_loaded (0);
  add_job_with_id (JOB_ID + 1, 10);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 1), -EINPROGRESS);
  store ();
  stored = shard_job_bytes (fixture.shard);
  shard_release (fixture.shard);
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), 0);
  shard_acquire (fixture.shard, fixture.now, 2);
  add_job (1);
  add_job_with_id (JOB_ID + 1, 10);
  shard_loaded (fixture.shard, fixture.now);
  check_in_step ();
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), stored);
  /* With a run of a former owner. */
  shard_acquire (fixture.shard, fixture.now, 3);
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), 0);
  add_placed_run ();
  shard_loaded (fixture.shard, fixture.now);
  check_in_step ();
  CU_ASSERT (shard_job_bytes (fixture.shard) > 0);
  tear_down ();
}

/* Guards against an owner that runs out of memory by the jobs that it accepts,
   and against one that stays full. */
static void
test_full (void)
{
  uint64_t full;

  set_up_loaded (ONE_JOB_BYTES);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 100), -EINPROGRESS);
  full = shard_job_bytes (fixture.shard);
  CU_ASSERT (full <= ONE_JOB_BYTES);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 1, 100), -ENOSPC);
  CU_ASSERT_EQUAL (shard_job_bytes (fixture.shard), full);
  CU_ASSERT_EQUAL (shard_submission_state (fixture.shard, JOB_ID + 1),
                   -ENOENT);
  store ();
  CU_ASSERT_EQUAL (fixture.submissions, 1);
  shard_cancel (fixture.shard, fixture.now, JOB_ID);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 1, 100), -EINPROGRESS);
  tear_down ();
}

/* Guards against a bound that only a decoded submission is checked against: a
   record that does not fit whatever it holds is not decoded, which takes many
   times its size. */
static void
test_undecoded (void)
{
  char *text = g_strnfill (ONE_JOB_BYTES, '\xc1');

  set_up_loaded (ONE_JOB_BYTES);
  CU_ASSERT_EQUAL (shard_submit (fixture.shard, fixture.now, JOB_ID,
                                 (blob_t){ text, ONE_JOB_BYTES }),
                   -ENOSPC);
  CU_ASSERT_EQUAL (
      shard_submit (fixture.shard, fixture.now, JOB_ID, (blob_t){ text, 100 }),
      -EBADMSG);
  tear_down ();
  g_free (text);
}

/* Guards against the refusal of a job that is known or stored, and may run:
   its caller would take it for one that never runs. */
static void
test_known_when_full (void)
{
  set_up_loaded (ONE_JOB_BYTES);
  shard_cancel_unknown (fixture.shard, fixture.now, JOB_ID + 2);
  store ();
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 80), -EINPROGRESS);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 1, 100), -ENOSPC);
  /* Another process has stored it. */
  add_job_with_id (JOB_ID + 1, 100);
  check_in_step ();
  CU_ASSERT (shard_job_bytes (fixture.shard) > ONE_JOB_BYTES);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 1, 100), 0);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 80), -EINPROGRESS);
  store ();
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID, 80), 0);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 2, 100), -EINPROGRESS);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 3, 1), -ENOSPC);
  tear_down ();
}

/* @return a job of one task that repeats each ms */
static submission_t *
new_repeated (job_id_t id)
{
  submission_t *submission = new_submission_with_id (id, 1);

  submission->occurrence_count = 100000;
  submission->first_due_ms = START_WALL_MS;
  submission->interval_ms = 1;
  return submission;
}

/* Guards against jobs that are small when they are submitted and take the
   memory of 3,000 tasks each once their occurrences are due. */
static void
test_occurrences (void)
{
  uint64_t submitted;

  set_up_loaded (0);
  CU_ASSERT_EQUAL (submit_this (new_repeated (JOB_ID)), -EINPROGRESS);
  submitted = shard_job_bytes (fixture.shard);
  step (10 * USEC_PER_SEC);
  CU_ASSERT (shard_job_bytes (fixture.shard) > 50 * submitted);
  tear_down ();
  set_up_loaded (ONE_JOB_BYTES);
  for (job_id_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (submit_this (new_repeated (JOB_ID + i)), -EINPROGRESS);
  step (10 * USEC_PER_SEC);
  CU_ASSERT (shard_job_bytes (fixture.shard) <= ONE_JOB_BYTES);
  CU_ASSERT_EQUAL (submit_tasks (JOB_ID + 9, 100), -ENOSPC);
  tear_down ();
}

/* Guards against an estimate that keeps the occurrences that are done of a job
   that goes on. */
static void
test_done_occurrence (void)
{
  submission_t *submission = new_repeated (JOB_ID);
  uint64_t both;

  set_up_loaded (0);
  add_ready_worker ();
  submission->occurrence_count = 2;
  CU_ASSERT_EQUAL (submit_this (submission), -EINPROGRESS);
  store ();
  for (int i = 0; i < 3; i++)
    store ();
  step (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 2);
  both = shard_job_bytes (fixture.shard);
  end_run ();
  CU_ASSERT (shard_job_bytes (fixture.shard) < both);
  tear_down ();
}

/* Guards against a job without any occurrence, as others have taken the room:
   it would never run. */
static void
test_first_occurrence (void)
{
  submission_t *submission = new_submission_with_id (JOB_ID + 1, 1);

  set_up_loaded (ONE_JOB_BYTES);
  add_job_with_id (JOB_ID, 1000);
  CU_ASSERT (shard_job_bytes (fixture.shard) > ONE_JOB_BYTES);
  apply_submission (submission);
  step (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (
      shard_entry (fixture.shard, JOB_ID + 1)->job->occurrences->len, 1);
  tear_down ();
}

/* The allocator of AddressSanitizer does not report what is allocated. */
#ifndef __SANITIZE_ADDRESS__
/* @return a job that fills its memory in another way for each kind */
static submission_t *
new_kind (uint32_t kind, job_id_t id)
{
  submission_t *submission = new_submission_with_id (id, kind == 1 ? 3000 : 1);

  if (kind == 2)
    submission->steps[0].image = g_strnfill (50000, 'i');
  if (kind != 3)
    return submission;
  submission->step_count = JOB_MAX_STEPS;
  submission->steps = g_renew (step_t, submission->steps, JOB_MAX_STEPS);
  for (uint32_t s = 1; s < JOB_MAX_STEPS; s++)
    {
      step_t *added = &submission->steps[s];

      *added = submission->steps[0];
      added->image = g_strdup ("image");
      added->data_rack = g_strdup ("r1-3");
      added->depends_on_count = s;
      added->depends_on = g_new (uint32_t, s);
      for (uint32_t i = 0; i < s; i++)
        added->depends_on[i] = i;
    }
  return submission;
}

/* @return bytes allocated by the process */
static uint64_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Guards against an estimate below what jobs take, so that the bound does not
   hold, and against one so high that the owner refuses jobs for which it has
   the memory. */
static void
test_measured (void)
{
  for (uint32_t kind = 0; kind < 4; kind++)
    {
      uint64_t before;
      uint64_t taken;
      uint64_t estimate;

      set_up_job_bytes (0);
      shard_loaded (fixture.shard, fixture.now);
      before = allocated_bytes ();
      for (job_id_t i = 0; i < MEASURED_JOBS; i++)
        apply_submission (new_kind (kind, JOB_ID + i));
      advance (USEC_PER_MSEC);
      taken = allocated_bytes () - before;
      estimate = shard_job_bytes (fixture.shard);
      printf ("  kind %u: %" PRIu64 " bytes a job, estimate %" PRIu64 "\n",
              kind, taken / MEASURED_JOBS, estimate / MEASURED_JOBS);
      CU_ASSERT (estimate >= taken);
      CU_ASSERT (estimate <= taken + taken / 2);
      tear_down ();
    }
}
#endif

static const suite_test_t tests[] = {
  { "completed", test_completed },
  { "canceled", test_canceled },
  { "takeover", test_takeover },
  { "full", test_full },
  { "undecoded", test_undecoded },
  { "known when full", test_known_when_full },
  { "occurrences", test_occurrences },
  { "done occurrence", test_done_occurrence },
  { "first occurrence", test_first_occurrence },
#ifndef __SANITIZE_ADDRESS__
  { "measured", test_measured },
#endif
};

int
main (void)
{
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard memory", tests, G_N_ELEMENTS (tests));
  free_fixture ();
  return code;
}

/* Unit tests of a shard's appends. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <string.h>

/* What the platform accepts. */
#define RECORD_BYTES 262144U
#define CALL_BYTES (2U << 20)
/* Jobs that are forgotten together after an outage. */
#define FORGOTTEN_JOBS 60000U
/* Of a gang: one more than a worker has room for. */
#define MEMBERS 5U
#define KEEP_ENDED (60 * USEC_PER_SEC)

/* @return what shard_submit returns for a job with a label of some bytes */
static int
submit_with_label (size_t bytes)
{
  submission_t *submission = new_submission (1);
  GByteArray *record = g_byte_array_new ();
  int code;

  submission->steps[0].required_label = g_strnfill (bytes, 'l');
  submission_encode (submission, record);
  code = shard_submit (fixture.shard, fixture.now, JOB_ID,
                       (blob_t){ (char *)record->data, record->len });
  g_byte_array_unref (record);
  submission_free (submission);
  return code;
}

/* Guards against a submission that the store refuses in each repetition of its
   append, and with it the records of all other jobs. */
static void
test_large_submission (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  CU_ASSERT_EQUAL (submit_with_label (RECORD_BYTES - 100), -EBADMSG);
  CU_ASSERT_EQUAL (submit_with_label (RECORD_BYTES / 2), -EINPROGRESS);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.submissions, 1);
  CU_ASSERT (fixture.largest_record < RECORD_BYTES);
  tear_down ();
}

/* Guards against a progress record that is too large since workers report long
   checkpoints. */
static void
test_long_checkpoints (void)
{
  char *checkpoint = g_strnfill (RECORD_BYTES / 2, 'c');
  run_report_t runs[3];

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  add_job (G_N_ELEMENTS (runs));
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), G_N_ELEMENTS (runs));
  for (uint32_t i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      runs[i] = first_run;
      runs[i].run_id.index = i;
      runs[i].checkpoint = checkpoint;
    }
  reply_to_hold (runs, G_N_ELEMENTS (runs), NULL, 0);
  add_job_with_id (JOB_ID + 1, 1);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, JOB_ID), -EAGAIN);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 2);
  CU_ASSERT (fixture.largest_record < RECORD_BYTES);
  tear_down ();
  g_free (checkpoint);
}

/* Guards against an append that is too large since its many small records do
   not count. */
static void
test_many_small_records (void)
{
  const job_end_t end = { .status = JOB_COMPLETED, .ended_ms = START_WALL_MS };

  set_up ();
  for (uint32_t i = 0; i < FORGOTTEN_JOBS; i++)
    {
      job_t *job = job_new_ended (i + 1, &end);
      GByteArray *record = g_byte_array_new ();

      job_encode (job, record);
      shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, i + 1,
                          (blob_t){ (char *)record->data, record->len });
      g_byte_array_unref (record);
      job_free (job);
    }
  shard_loaded (fixture.shard, fixture.now);
  for (uint32_t i = 0; i < 10; i++)
    {
      advance (KEEP_ENDED);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
    }
  CU_ASSERT (fixture.largest_append > 0);
  CU_ASSERT (fixture.largest_append <= CALL_BYTES);
  CU_ASSERT_EQUAL (shard_status (fixture.shard, 1, &(job_status_t){ 0 }),
                   -ENOENT);
  CU_ASSERT_EQUAL (
      shard_status (fixture.shard, FORGOTTEN_JOBS, &(job_status_t){ 0 }),
      -ENOENT);
  tear_down ();
}

static void
store_appends (usec_t span)
{
  const usec_t step = 50 * USEC_PER_MSEC;

  for (usec_t end = fixture.now + span; fixture.now < end;)
    {
      advance (step);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
    }
}

/* Guards against appends of a job in which nothing has changed: a gang that
   does not fit is tried in each pass. */
static void
test_gang_without_room (void)
{
  submission_t *submission = new_submission (MEMBERS);

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  submission->steps[0].gang = true;
  apply_submission (submission);
  store_appends (USEC_PER_SEC);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, JOB_ID), -EAGAIN);
  store_appends (USEC_PER_SEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  CU_ASSERT_EQUAL (shard_cancel (fixture.shard, fixture.now, JOB_ID), 0);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "large submission", test_large_submission },
    { "long checkpoints", test_long_checkpoints },
    { "many small records", test_many_small_records },
    { "gang without room", test_gang_without_room },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("shard store", tests, sizeof tests / sizeof *tests);
}

/* Tests of the state transitions and the stored records of jobs. */
#include "jobs/jobs.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#define WALL_MS 1700000000000LL

/* Two steps, of 2 and 3 tasks; the second depends on the first. */
static submission_t *
two_step_submission (void)
{
  submission_t *submission = g_new0 (submission_t, 1);

  submission->id = 0xfedcba9876543210ULL;
  submission->queue = g_strdup ("q");
  submission->service = g_strdup ("s");
  submission->spec = g_strdup ("text");
  submission->priority = 2;
  submission->max_attempts = 3;
  submission->stretch_percent = 150;
  submission->target_ms = 250;
  submission->accepted_ms = WALL_MS;
  submission->step_count = 2;
  submission->steps = g_new0 (step_t, 2);
  submission->steps[0].count = 2;
  submission->steps[0].declared_ms = 100;
  submission->steps[0].required_label = g_strdup ("label");
  submission->steps[0].long_running = true;
  submission->steps[1].count = 3;
  submission->steps[1].declared_ms = 300;
  submission->steps[1].millicores = 500;
  submission->steps[1].depends_on = g_new0 (uint32_t, 1);
  submission->steps[1].depends_on_count = 1;
  return submission;
}

static void
test_submission_record (void)
{
  submission_t *submission = two_step_submission ();
  GByteArray *bytes = g_byte_array_new ();
  submission_t *decoded;

  submission->config_version = 7;
  submission_encode (submission, bytes);
  decoded = submission_decode ((blob_t){ (char *)bytes->data, bytes->len });
  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
  if (!decoded)
    {
      submission_free (submission);
      g_byte_array_unref (bytes);
      return;
    }
  CU_ASSERT_EQUAL (decoded->id, submission->id);
  CU_ASSERT_EQUAL (decoded->accepted_ms, WALL_MS);
  CU_ASSERT_EQUAL (decoded->config_version, 7);
  CU_ASSERT_EQUAL (decoded->steps[0].long_running, true);
  CU_ASSERT_STRING_EQUAL (decoded->steps[0].required_label, "label");
  CU_ASSERT_EQUAL (decoded->steps[1].depends_on_count, 1);
  CU_ASSERT_EQUAL (decoded->steps[1].depends_on[0], 0);
  submission_free (decoded);
  /* A record truncated at any byte is rejected. */
  for (guint len = 0; len < bytes->len; len++)
    CU_ASSERT_PTR_NULL (
        submission_decode ((blob_t){ (char *)bytes->data, len }));
  submission_free (submission);
  g_byte_array_unref (bytes);
}

static void
test_progress_record (void)
{
  job_t *job = job_new (two_step_submission ());
  job_t *decoded = job_new (two_step_submission ());
  GByteArray *bytes = g_byte_array_new ();
  place_t place = { (char *)"w1", WALL_MS, (char *)"10.0.0.1:1" };
  occurrence_t *occurrence;

  job_create_due_occurrences (job, WALL_MS);
  occurrence = job_occurrence (job, 0);
  task_place (job, occurrence, 0, 0, &place);
  task_place (job, occurrence, 0, 1, &place);
  task_done (job, occurrence, 0, 0);
  occurrence->tasks[0][1].failures = 2;
  occurrence->tasks[0][1].checkpoint = g_strdup ("mark");
  job_encode (job, bytes);
  CU_ASSERT_EQUAL (
      job_decode (decoded, (blob_t){ (char *)bytes->data, bytes->len }), 0);
  CU_ASSERT_EQUAL (decoded->placed, 1);
  CU_ASSERT_EQUAL (job_task (decoded, 0, 0, 0)->state, TASK_DONE);
  CU_ASSERT_EQUAL (job_task (decoded, 0, 0, 1)->state, TASK_PLACED);
  CU_ASSERT_EQUAL (job_task (decoded, 0, 0, 1)->run, 1);
  CU_ASSERT_EQUAL (job_task (decoded, 0, 0, 1)->failures, 2);
  CU_ASSERT_STRING_EQUAL (job_task (decoded, 0, 0, 1)->place.worker, "w1");
  CU_ASSERT_STRING_EQUAL (job_task (decoded, 0, 0, 1)->place.address,
                          "10.0.0.1:1");
  CU_ASSERT_STRING_EQUAL (job_task (decoded, 0, 0, 1)->checkpoint, "mark");
  CU_ASSERT_EQUAL (job_occurrence (decoded, 0)->unfinished[0], 1);
  CU_ASSERT_EQUAL (job_next_due (decoded), INT64_MAX);
  for (guint len = 0; len < bytes->len; len++)
    {
      job_t *truncated = job_new (two_step_submission ());

      CU_ASSERT_EQUAL (
          job_decode (truncated, (blob_t){ (char *)bytes->data, len }),
          -EBADMSG);
      job_free (truncated);
    }
  job_free (job);
  job_free (decoded);
  g_byte_array_unref (bytes);
}

/* Guards against a step that starts before its dependencies are done. */
/* A job whose task 1 of step 1 has two runs, the second at W2. */
static job_t *
new_job_with_copy (void)
{
  submission_t *submission = two_step_submission ();
  job_t *job = job_new (submission);
  place_t first = { (char *)"w1", WALL_MS, (char *)"10.0.0.1:1" };
  place_t second = { (char *)"w2", WALL_MS + 1, (char *)"10.0.0.2:1" };

  submission->steps[1].speculative = true;
  job_create_due_occurrences (job, WALL_MS);
  task_place (job, job_occurrence (job, 0), 1, 1, &first);
  task_place_copy (job_task (job, 0, 1, 1), &second);
  job_task (job, 0, 1, 1)->copy->worker_leaves = true;
  return job;
}

/* Decodes the record of a job, as a build reads it that knows FIELDS fields of
   the tasks of step 1. */
static job_t *
read_again (const job_t *job, uint32_t fields, bool gang)
{
  submission_t *submission = two_step_submission ();
  GByteArray *bytes = g_byte_array_new ();
  msgpack_unpacked unpacked;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_object_array tasks;
  job_t *read;

  submission->steps[1].speculative = true;
  submission->steps[1].gang = gang;
  read = job_new (submission);
  job_encode (job, bytes);
  msgpack_unpacked_init (&unpacked);
  msgpack_unpack_next (&unpacked, (const char *)bytes->data, bytes->len, NULL);
  tasks = unpacked.data.via.array.ptr[5]
              .via.array.ptr[0]
              .via.array.ptr[2]
              .via.array;
  CU_ASSERT_EQUAL_FATAL (tasks.ptr[1].type, MSGPACK_OBJECT_ARRAY);
  for (uint32_t i = 0; i < tasks.size; i++)
    if (tasks.ptr[i].type == MSGPACK_OBJECT_ARRAY)
      tasks.ptr[i].via.array.size = MIN (tasks.ptr[i].via.array.size, fields);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_object (&packer, unpacked.data);
  CU_ASSERT_EQUAL (
      job_decode (read, (blob_t){ buffer.data, (uint32_t)buffer.size }), 0);
  msgpack_sbuffer_destroy (&buffer);
  msgpack_unpacked_destroy (&unpacked);
  g_byte_array_unref (bytes);
  return read;
}

/* Guards against a successor that forgets one of two runs, or which of them
   goes on. */
static void
test_copy_record (void)
{
  job_t *job = new_job_with_copy ();
  job_t *read = read_again (job, UINT32_MAX, false);
  task_t *task = job_task (read, 0, 1, 1);

  CU_ASSERT_EQUAL (read->placed, 1);
  CU_ASSERT_EQUAL (task->run, 2);
  CU_ASSERT_EQUAL (task->placed_run, 1);
  CU_ASSERT_STRING_EQUAL (task->place.worker, "w1");
  CU_ASSERT_EQUAL (task->place.life_ms, WALL_MS);
  CU_ASSERT_STRING_EQUAL (task->place.address, "10.0.0.1:1");
  CU_ASSERT_FALSE (task->worker_leaves);
  CU_ASSERT_PTR_NOT_NULL_FATAL (task->copy);
  CU_ASSERT_EQUAL (task->copy->run, 2);
  CU_ASSERT_STRING_EQUAL (task->copy->place.worker, "w2");
  CU_ASSERT_EQUAL (task->copy->place.life_ms, WALL_MS + 1);
  CU_ASSERT_STRING_EQUAL (task->copy->place.address, "10.0.0.2:1");
  CU_ASSERT (task->copy->worker_leaves);
  job_free (read);
  task_drop_run (job_task (job, 0, 1, 1), 2);
  read = read_again (job, UINT32_MAX, false);
  task = job_task (read, 0, 1, 1);
  CU_ASSERT_EQUAL (task->run, 2);
  CU_ASSERT_EQUAL (task->placed_run, 1);
  CU_ASSERT_PTR_NULL (task->copy);
  CU_ASSERT_STRING_EQUAL (task->place.worker, "w1");
  job_free (read);
  job_free (job);
}

/* The first run of two is forgotten: the second one is the task's only run. */
static void
test_first_run_dropped (void)
{
  job_t *job = new_job_with_copy ();
  task_t *task = job_task (job, 0, 1, 1);

  CU_ASSERT_STRING_EQUAL (task_run_place (task, 1)->worker, "w1");
  CU_ASSERT_STRING_EQUAL (task_run_place (task, 2)->worker, "w2");
  CU_ASSERT_PTR_NULL (task_run_place (task, 3));
  task_drop_run (task, 1);
  CU_ASSERT_PTR_NULL (task_run_place (task, 1));
  CU_ASSERT_STRING_EQUAL (task_run_place (task, 2)->worker, "w2");
  CU_ASSERT (task->worker_leaves);
  CU_ASSERT_EQUAL (task->state, TASK_PLACED);
  task_requeue (job, job_occurrence (job, 0), 1, 1);
  CU_ASSERT_PTR_NULL (task_run_place (task, 2));
  job_free (job);
}

/* Guards against an owner of an earlier build that starts a run with the
   number of the copy: to it the copy is the task's only run.  A gang has no
   copies, whatever a damaged record says. */
static void
test_copy_unknown (void)
{
  job_t *job = new_job_with_copy ();

  for (uint32_t gang = 0; gang < 2; gang++)
    {
      job_t *read = read_again (job, gang ? UINT32_MAX : 10, gang);
      task_t *task = job_task (read, 0, 1, 1);

      CU_ASSERT_EQUAL (task->run, 2);
      CU_ASSERT_EQUAL (task->placed_run, 2);
      CU_ASSERT_PTR_NULL (task->copy);
      CU_ASSERT_STRING_EQUAL (task->place.worker, "w2");
      CU_ASSERT (task->worker_leaves);
      job_free (read);
    }
  job_free (job);
}

/* A gang of three tasks, step 1, that is started for the first time. */
static job_t *
new_job_with_gang (void)
{
  submission_t *submission = two_step_submission ();
  job_t *job = job_new (submission);
  place_t place = { (char *)"w1", WALL_MS, (char *)"10.0.0.1:1" };

  submission->steps[1].gang = true;
  job_create_due_occurrences (job, WALL_MS);
  for (uint32_t i = 0; i < 3; i++)
    task_place (job, job_occurrence (job, 0), 1, i, &place);
  return job;
}

static uint32_t
fail_member (job_t *job, uint32_t index, uint32_t run)
{
  return task_count_failure (job, job_occurrence (job, 0), 1, index, run);
}

/* Guards against a run of a gang that the next owner counts as failed once
   more. */
static void
test_gang_record (void)
{
  job_t *job = new_job_with_gang ();
  job_t *read;

  CU_ASSERT_EQUAL (fail_member (job, 1, 1), 1);
  CU_ASSERT_EQUAL (fail_member (job, 2, 1), 1);
  task_requeue (job, job_occurrence (job, 0), 1, 1);
  read = read_again (job, UINT32_MAX, true);
  CU_ASSERT_EQUAL (fail_member (read, 0, 1), 1);
  CU_ASSERT_EQUAL (fail_member (read, 2, 2), 2);
  job_free (read);
  job_free (job);
}

/* An owner of an earlier build counts each member, and does not tell of which
   run.  Guards against a run that counts once more after it, and against
   failures of a run that goes on. */
static void
test_gang_run_unknown (void)
{
  job_t *job = new_job_with_gang ();
  job_t *read;

  job_task (job, 0, 1, 0)->failures = 2;
  task_requeue (job, job_occurrence (job, 0), 1, 1);
  read = read_again (job, 10, true);
  CU_ASSERT_EQUAL (job_task (read, 0, 1, 0)->failures, 1);
  CU_ASSERT_EQUAL (fail_member (read, 0, 1), 1);
  CU_ASSERT_EQUAL (fail_member (read, 0, 2), 2);
  job_free (read);
  job_free (job);

  job = new_job_with_gang ();
  for (uint32_t i = 0; i < 3; i++)
    job_task (job, 0, 1, i)->run = 2;
  job_task (job, 0, 1, 0)->failures = 1;
  read = read_again (job, 10, true);
  CU_ASSERT_EQUAL (job_task (read, 0, 1, 0)->failures, 1);
  CU_ASSERT_EQUAL (fail_member (read, 1, 2), 2);
  job_free (read);
  job_free (job);
}

static void
test_step_dependencies (void)
{
  job_t *job = job_new (two_step_submission ());
  place_t place = { (char *)"w1", 0, NULL };
  occurrence_t *occurrence;

  job_create_due_occurrences (job, WALL_MS);
  occurrence = job_occurrence (job, 0);
  CU_ASSERT (step_is_ready (job, occurrence, 0));
  CU_ASSERT (!step_is_ready (job, occurrence, 1));
  CU_ASSERT_EQUAL (job_critical_path_ms (job, occurrence), 400);
  for (uint32_t i = 0; i < 2; i++)
    {
      task_place (job, occurrence, 0, i, &place);
      CU_ASSERT (!task_done (job, occurrence, 0, i));
    }
  CU_ASSERT (!step_is_ready (job, occurrence, 0));
  CU_ASSERT (step_is_ready (job, occurrence, 1));
  CU_ASSERT_EQUAL (job_critical_path_ms (job, occurrence), 300);
  for (uint32_t i = 0; i < 3; i++)
    {
      task_place (job, occurrence, 1, i, &place);
      CU_ASSERT_EQUAL (task_done (job, occurrence, 1, i), i == 2);
    }
  job_free (job);
}

/* Guards against occurrences that are created too early, twice or never.
   Occurrences are created when due, also while earlier ones are not done. */
static void
test_occurrences (void)
{
  submission_t *submission = two_step_submission ();
  job_t *job;

  submission->occurrence_count = 3;
  submission->first_due_ms = WALL_MS + 1000;
  submission->interval_ms = 500;
  job = job_new (submission);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 0);
  CU_ASSERT_EQUAL (job_next_due (job), WALL_MS + 1000);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS + 1600), 2);
  CU_ASSERT_PTR_NOT_NULL (job_occurrence (job, 1));
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS + 9000), 1);
  CU_ASSERT_EQUAL (job_next_due (job), INT64_MAX);
  job_free (job);
}

/* Guards against a schedule all of whose occurrences are due at once, which
   would exhaust the memory of the shard's owner and of each later owner. */
static void
test_overdue_occurrences (void)
{
  submission_t *submission = two_step_submission ();
  job_t *job;

  submission->occurrence_count = 4000000000U;
  submission->interval_ms = 1;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), 0);
  job = job_new (submission);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS),
                   JOB_MAX_TASKS / 5);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 0);
  for (uint32_t s = 0; s < 2; s++)
    for (uint32_t i = 0; i < submission->steps[s].count; i++)
      task_done (job, job->occurrences->pdata[0], s, i);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 1);
  job_free (job);
}

/* Guards against a service that a later owner does not read, against one that
   an older configuration sets, and against larger records of jobs that were
   not moved. */
static void
test_service_record (void)
{
  job_t *job = job_new (two_step_submission ());
  job_t *other = job_new (two_step_submission ());
  GByteArray *bytes = g_byte_array_new ();
  guint unmoved;

  job_encode (job, bytes);
  unmoved = bytes->len;
  CU_ASSERT (!job_set_service (job, "s", 4));
  g_byte_array_set_size (bytes, 0);
  job_encode (job, bytes);
  CU_ASSERT_EQUAL (bytes->len, unmoved);
  CU_ASSERT (!job_set_service (job, "older", 3));
  CU_ASSERT (!job_set_service (job, "same version", 4));
  CU_ASSERT (job_set_service (job, "t", 5));
  g_byte_array_set_size (bytes, 0);
  job_encode (job, bytes);
  CU_ASSERT_EQUAL (
      job_decode (other, (blob_t){ (char *)bytes->data, bytes->len }), 0);
  CU_ASSERT_STRING_EQUAL (other->submission->service, "t");
  CU_ASSERT_EQUAL (other->submission->config_version, 5);
  CU_ASSERT (other->moved);
  /* The submission was accepted under a later configuration. */
  CU_ASSERT (job_set_service (other, "u", 6));
  CU_ASSERT_EQUAL (
      job_decode (other, (blob_t){ (char *)bytes->data, bytes->len }), 0);
  CU_ASSERT_STRING_EQUAL (other->submission->service, "u");
  g_byte_array_unref (bytes);
  job_free (job);
  job_free (other);
}

/* Guards against a progress record above the size limit of the store, which
   would reject all further appends of the shard.  All tasks are placed, with
   worker names, addresses and checkpoints as long as the platform's. */
static void
test_largest_record (void)
{
  const place_t place
      = { (char *)"i-7f3a91c2", WALL_MS, (char *)"10.128.255.255:65535" };
  submission_t *submission = two_step_submission ();
  GByteArray *bytes = g_byte_array_new ();
  occurrence_t *occurrence;
  job_t *job;

  submission->steps[0].count = JOB_MAX_TASKS - submission->steps[1].count;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), 0);
  job = job_new (submission);
  job_create_due_occurrences (job, WALL_MS);
  occurrence = job_occurrence (job, 0);
  for (uint32_t s = 0; s < 2; s++)
    for (uint32_t i = 0; i < submission->steps[s].count; i++)
      {
        task_place (job, occurrence, s, i, &place);
        task_set_checkpoint (&occurrence->tasks[s][i], "00000bb87a21d94b");
      }
  job_encode (job, bytes);
  CU_ASSERT (bytes->len < 262144);
  g_byte_array_unref (bytes);
  job_free (job);
}

/* Guards against an identifier that is told back with other letters, and
   against two that are taken for one. */
static void
test_identifiers (void)
{
  static const char *const texts[]
      = { "abf94bdf00000001", "ABF94BDF00000001", "aBf94bdf00000001",
          "abf94bdf0000000e", "ABCDEFABCDEFABCD", "0000000000000000" };
  char text[JOB_ID_TEXT_SIZE];

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      job_id_t id;

      CU_ASSERT (job_id_parse (texts[i], JOB_ID_DIGITS, &id));
      CU_ASSERT_STRING_EQUAL (job_id_format (id, text), texts[i]);
      CU_ASSERT (id == job_id_make (job_id_number (id), job_id_capitals (id)));
      for (size_t k = 0; k < i; k++)
        {
          job_id_t other;

          job_id_parse (texts[k], JOB_ID_DIGITS, &other);
          CU_ASSERT (id != other);
          CU_ASSERT_FALSE (job_id_equal (&id, &other));
          CU_ASSERT_EQUAL (job_id_hash (&id) == job_id_hash (&other),
                           job_id_number (id) == job_id_number (other));
        }
    }
  CU_ASSERT (job_id_make (0x123, UINT64_MAX) == 0x123);
}

/* Decodes the submission, and the end of its job, as a build reads them that
   knows FIELDS fields of a record. */
static bool
letters_are_known (job_id_t id, uint32_t fields)
{
  submission_t *submission = two_step_submission ();
  GByteArray *bytes = g_byte_array_new ();
  msgpack_unpacked unpacked;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  bool known;

  submission->id = id;
  submission_encode (submission, bytes);
  submission_free (submission);
  msgpack_unpacked_init (&unpacked);
  msgpack_unpack_next (&unpacked, (const char *)bytes->data, bytes->len, NULL);
  unpacked.data.via.array.size = MIN (unpacked.data.via.array.size, fields);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_object (&packer, unpacked.data);
  submission
      = submission_decode ((blob_t){ buffer.data, (uint32_t)buffer.size });
  CU_ASSERT_PTR_NOT_NULL_FATAL (submission);
  known = !submission->letters_unknown;
  CU_ASSERT (submission->id == (known ? id : job_id_number (id)));
  submission_free (submission);
  msgpack_sbuffer_destroy (&buffer);
  msgpack_unpacked_destroy (&unpacked);
  g_byte_array_unref (bytes);
  return known;
}

/* Guards against a successor that knows a job by other letters, and against a
   record of an earlier build that is taken to tell them. */
static void
test_letters_record (void)
{
  const job_id_t id = job_id_make (0xabcULL, 5);
  const blob_t earlier = { "\x97\x01\x02\x03\x01\x01\x90\x00", 8 };
  GByteArray *bytes = g_byte_array_new ();
  job_end_t end = { .status = JOB_FAILED };
  job_t *job = job_new_ended (id, &end);

  CU_ASSERT (letters_are_known (id, UINT32_MAX));
  CU_ASSERT (letters_are_known (0xabcULL, UINT32_MAX));
  CU_ASSERT_FALSE (letters_are_known (id, 14));
  job_encode (job, bytes);
  job_decode_end ((blob_t){ (char *)bytes->data, bytes->len }, &end);
  CU_ASSERT_EQUAL (end.status, JOB_FAILED);
  CU_ASSERT_FALSE (end.letters_unknown);
  job_decode_end (earlier, &end);
  CU_ASSERT_EQUAL (end.status, JOB_COMPLETED);
  CU_ASSERT_EQUAL (end.ended_ms, 3);
  CU_ASSERT (end.letters_unknown);
  job_free (job);
  g_byte_array_unref (bytes);
}

static void
test_malformed (void)
{
  submission_t *submission = two_step_submission ();
  job_id_t id;

  CU_ASSERT_EQUAL (submission_check (submission, NULL), 0);
  submission->steps[1].depends_on[0] = 1;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission->steps[1].depends_on[0] = 0;
  submission->steps[0].count = 0;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission->steps[0].count = JOB_MAX_TASKS;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission->steps[0].count = 1;
  submission->interval_ms = -1;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission->interval_ms = INT64_MAX;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission->interval_ms = 0;
  submission->first_due_ms = INT64_MAX;
  CU_ASSERT_EQUAL (submission_check (submission, NULL), -EINVAL);
  submission_free (submission);
  CU_ASSERT (job_id_parse ("00000000000000ff", 16, &id) && id == 255);
  CU_ASSERT (!job_id_parse ("00000000000000fg", 16, &id));
  CU_ASSERT (!job_id_parse ("ff", 2, &id));
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "submission record", test_submission_record },
    { "progress record", test_progress_record },
    { "copy record", test_copy_record },
    { "first run dropped", test_first_run_dropped },
    { "copy unknown", test_copy_unknown },
    { "gang record", test_gang_record },
    { "gang run unknown", test_gang_run_unknown },
    { "step dependencies", test_step_dependencies },
    { "occurrences", test_occurrences },
    { "overdue occurrences", test_overdue_occurrences },
    { "service record", test_service_record },
    { "largest record", test_largest_record },
    { "identifiers", test_identifiers },
    { "letters record", test_letters_record },
    { "malformed", test_malformed },
  };

  return suite_main ("jobs", tests, sizeof tests / sizeof *tests);
}

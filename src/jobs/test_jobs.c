/* State and records of jobs. */
#include "jobs/jobs.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <string.h>

#define WALL_MS 1700000000000LL

/* Two steps, of 2 and 3 tasks, the second after the first.  */
static submission_t *
order_of_two (void)
{
  submission_t *order = g_new0 (submission_t, 1);

  order->id = 0xfedcba9876543210ULL;
  order->queue = g_strdup ("q");
  order->service = g_strdup ("s");
  order->spec = g_strdup ("text");
  order->priority = 2;
  order->max_attempts = 3;
  order->stretch_percent = 150;
  order->target_ms = 250;
  order->accepted_ms = WALL_MS;
  order->step_count = 2;
  order->steps = g_new0 (step_t, 2);
  order->steps[0].count = 2;
  order->steps[0].declared_ms = 100;
  order->steps[0].required_label = g_strdup ("label");
  order->steps[0].long_running = true;
  order->steps[1].count = 3;
  order->steps[1].declared_ms = 300;
  order->steps[1].millicores = 500;
  order->steps[1].depends_on = g_new0 (uint32_t, 1);
  order->steps[1].depends_on_count = 1;
  return order;
}

static void
test_submission_record (void)
{
  submission_t *order = order_of_two ();
  GByteArray *bytes = g_byte_array_new ();
  submission_t *back;

  submission_encode (order, bytes);
  back = submission_decode ((blob_t){ (char *)bytes->data, bytes->len });
  CU_ASSERT_PTR_NOT_NULL_FATAL (back);
  if (!back)
    {
      submission_free (order);
      g_byte_array_unref (bytes);
      return;
    }
  CU_ASSERT_EQUAL (back->id, order->id);
  CU_ASSERT_EQUAL (back->accepted_ms, WALL_MS);
  CU_ASSERT_EQUAL (back->steps[0].long_running, true);
  CU_ASSERT_STRING_EQUAL (back->steps[0].required_label, "label");
  CU_ASSERT_EQUAL (back->steps[1].depends_on_count, 1);
  CU_ASSERT_EQUAL (back->steps[1].depends_on[0], 0);
  submission_free (back);
  /* A record cut anywhere is refused, never misread or crashed on.  */
  for (guint len = 0; len < bytes->len; len++)
    CU_ASSERT_PTR_NULL (
        submission_decode ((blob_t){ (char *)bytes->data, len }));
  submission_free (order);
  g_byte_array_unref (bytes);
}

static void
test_progress_record (void)
{
  job_t *job = job_new (order_of_two ());
  job_t *back = job_new (order_of_two ());
  GByteArray *bytes = g_byte_array_new ();
  place_t place = { (char *)"w1", WALL_MS, (char *)"10.0.0.1:1" };
  occurrence_t *o;

  job_create_due_occurrences (job, WALL_MS);
  o = job_occurrence (job, 0);
  task_place (job, o, 0, 0, &place);
  task_place (job, o, 0, 1, &place);
  task_done (job, o, 0, 0);
  o->tasks[0][1].failures = 2;
  o->tasks[0][1].checkpoint = g_strdup ("mark");
  job_encode (job, bytes);
  CU_ASSERT_EQUAL (
      job_decode (back, (blob_t){ (char *)bytes->data, bytes->len }), 0);
  CU_ASSERT_EQUAL (back->placed, 1);
  CU_ASSERT_EQUAL (job_task (back, 0, 0, 0)->state, TASK_DONE);
  CU_ASSERT_EQUAL (job_task (back, 0, 0, 1)->state, TASK_PLACED);
  CU_ASSERT_EQUAL (job_task (back, 0, 0, 1)->run, 1);
  CU_ASSERT_EQUAL (job_task (back, 0, 0, 1)->failures, 2);
  CU_ASSERT_STRING_EQUAL (job_task (back, 0, 0, 1)->place.worker, "w1");
  CU_ASSERT_STRING_EQUAL (job_task (back, 0, 0, 1)->place.address,
                          "10.0.0.1:1");
  CU_ASSERT_STRING_EQUAL (job_task (back, 0, 0, 1)->checkpoint, "mark");
  CU_ASSERT_EQUAL (job_occurrence (back, 0)->unfinished[0], 1);
  CU_ASSERT_EQUAL (job_next_due (back), INT64_MAX);
  for (guint len = 0; len < bytes->len; len++)
    {
      job_t *cut = job_new (order_of_two ());

      CU_ASSERT_EQUAL (job_decode (cut, (blob_t){ (char *)bytes->data, len }),
                       -EBADMSG);
      job_free (cut);
    }
  job_free (job);
  job_free (back);
  g_byte_array_unref (bytes);
}

/* Guards against a start before the steps it depends on. */
static void
test_order_of_steps (void)
{
  job_t *job = job_new (order_of_two ());
  place_t place = { (char *)"w1", 0, NULL };
  occurrence_t *o;

  job_create_due_occurrences (job, WALL_MS);
  o = job_occurrence (job, 0);
  CU_ASSERT (step_is_ready (job, o, 0));
  CU_ASSERT (!step_is_ready (job, o, 1));
  CU_ASSERT_EQUAL (job_critical_path_ms (job, o), 400);
  for (uint32_t i = 0; i < 2; i++)
    {
      task_place (job, o, 0, i, &place);
      CU_ASSERT (!task_done (job, o, 0, i));
    }
  CU_ASSERT (!step_is_ready (job, o, 0));
  CU_ASSERT (step_is_ready (job, o, 1));
  CU_ASSERT_EQUAL (job_critical_path_ms (job, o), 300);
  for (uint32_t i = 0; i < 3; i++)
    {
      task_place (job, o, 1, i, &place);
      CU_ASSERT_EQUAL (task_done (job, o, 1, i), i == 2);
    }
  job_free (job);
}

/* Occurrences come at their times and may overlap. */
static void
test_occurrences (void)
{
  submission_t *order = order_of_two ();
  job_t *job;

  order->occurrence_count = 3;
  order->first_due_ms = WALL_MS + 1000;
  order->interval_ms = 500;
  job = job_new (order);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 0);
  CU_ASSERT_EQUAL (job_next_due (job), WALL_MS + 1000);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS + 1600), 2);
  CU_ASSERT_PTR_NOT_NULL (job_occurrence (job, 1));
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS + 9000), 1);
  CU_ASSERT_EQUAL (job_next_due (job), INT64_MAX);
  job_free (job);
}

/* Guards against an owner that runs out of memory, and each successor after
   it: a schedule all of whose occurrences are due at once. */
static void
test_overdue_occurrences (void)
{
  submission_t *order = order_of_two ();
  job_t *job;

  order->occurrence_count = 4000000000U;
  order->interval_ms = 1;
  CU_ASSERT_EQUAL (submission_check (order, NULL), 0);
  job = job_new (order);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS),
                   JOB_MAX_TASKS / 5);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 0);
  for (uint32_t s = 0; s < 2; s++)
    for (uint32_t i = 0; i < order->steps[s].count; i++)
      task_done (job, job->occurrences->pdata[0], s, i);
  CU_ASSERT_EQUAL (job_create_due_occurrences (job, WALL_MS), 1);
  job_free (job);
}

/* Guards against progress that the store does not take: the shard's appends
   would be refused for ever.  All tasks are placed, with names as long as the
   platform's. */
static void
test_largest_record (void)
{
  const place_t place
      = { (char *)"i-7f3a91c2", WALL_MS, (char *)"10.128.255.255:65535" };
  submission_t *order = order_of_two ();
  GByteArray *bytes = g_byte_array_new ();
  occurrence_t *o;
  job_t *job;

  order->steps[0].count = JOB_MAX_TASKS - order->steps[1].count;
  CU_ASSERT_EQUAL (submission_check (order, NULL), 0);
  job = job_new (order);
  job_create_due_occurrences (job, WALL_MS);
  o = job_occurrence (job, 0);
  for (uint32_t s = 0; s < 2; s++)
    for (uint32_t i = 0; i < order->steps[s].count; i++)
      {
        task_place (job, o, s, i, &place);
        task_set_checkpoint (&o->tasks[s][i], "00000bb87a21d94b");
      }
  job_encode (job, bytes);
  CU_ASSERT (bytes->len < 262144);
  g_byte_array_unref (bytes);
  job_free (job);
}

static void
test_malformed (void)
{
  submission_t *order = order_of_two ();
  job_id_t id;

  CU_ASSERT_EQUAL (submission_check (order, NULL), 0);
  order->steps[1].depends_on[0] = 1;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  order->steps[1].depends_on[0] = 0;
  order->steps[0].count = 0;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  order->steps[0].count = JOB_MAX_TASKS;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  order->steps[0].count = 1;
  order->interval_ms = -1;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  order->interval_ms = INT64_MAX;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  order->interval_ms = 0;
  order->first_due_ms = INT64_MAX;
  CU_ASSERT_EQUAL (submission_check (order, NULL), -EINVAL);
  submission_free (order);
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
    { "order of steps", test_order_of_steps },
    { "occurrences", test_occurrences },
    { "overdue occurrences", test_overdue_occurrences },
    { "largest record", test_largest_record },
    { "malformed", test_malformed },
  };

  return suite_main ("jobs", tests, sizeof tests / sizeof *tests);
}

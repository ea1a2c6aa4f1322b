/* Unit tests of tasks with a latency target and best-effort tasks on the same
   worker.  Names such as kitakaze-hkd trouble-3 in the comments identify the
   site and the scenario of the benchmark fleetbench in which the failure
   occurred. */
#include "base/log.h"
#include "interference/interference.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Largest record that the platform accepts. */
#define RECORD_LIMIT 262144U

/* Applies a model that has observed a task of image "s" alone and beside two
   cores of image "f", each of which adds a tenth. */
static void
apply_interference_model (void)
{
  const disturbance_t aggressor = { interference_image_id ("f"), 2 };
  interference_t *model = interference_new ();
  GByteArray *bytes = g_byte_array_new ();
  own_load_t load = { 0 };
  image_id_t victim = interference_image_id ("s");

  interference_observe (model, victim, &load, 0, 10, NULL, 0);
  for (int i = 0; i < 200; i++)
    {
      interference_observe (model, victim, &load, USEC_PER_SEC, 10 / 0.65,
                            NULL, 0);
      interference_observe (model, victim, &load, USEC_PER_SEC, 10 / 0.45,
                            &aggressor, 1);
    }
  CU_ASSERT (interference_slope_is_known (model, victim, aggressor.image));
  interference_encode (model, bytes);
  shard_apply_record (fixture.shard, fixture.now, RECORD_INTERFERENCE, 0,
                      (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  interference_free (model);
}

/* Reports the tail latency of the long-running task a second later. */
static void
report_tail_latency (uint32_t tail_ms)
{
  const run_report_t run = { .run_id = { JOB_ID, 0, 0, 0, 1 },
                             .checkpoint = "",
                             .percent = 100,
                             .measure = tail_ms };

  advance (USEC_PER_SEC);
  reply_to_hold (&run, 1, NULL, 0);
  fixture.call_count = 0;
  advance (USEC_PER_MSEC);
}

/* Sets up the owner of a long-running task with a latency target that runs on
   the only worker. */
static void
set_up_with_model (void (*apply_model) (void), uint32_t millicores)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  submission_t *submission = new_submission (1);

  submission->steps[0].long_running = true;
  submission->steps[0].millicores = millicores;
  submission->steps[0].target_latency_ms = 45;
  submission->steps[0].image = g_strdup ("s");
  set_up ();
  apply_model ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
}

static void
set_up_with_target (uint32_t millicores)
{
  set_up_with_model (apply_interference_model, millicores);
}

static void
add_best_effort_job (void)
{
  submission_t *submission = new_submission_with_id (JOB_ID + 1, 1);

  submission->steps[0].best_effort = true;
  submission->steps[0].millicores = 2000;
  submission->steps[0].image = g_strdup ("f");
  apply_submission (submission);
}

/* Guards against cores that stay unused for as long as the peak of a load is
   remembered: loads vary within seconds, and short tasks fit between peaks
   (magnolia-coop: a third of the leftover cores was unused while tasks
   waited). */
static void
test_best_effort_between_peaks (void)
{
  set_up_with_target (2000);
  for (int i = 0; i < 8; i++)
    report_tail_latency (28); /* own load 0.64 */
  add_best_effort_job ();
  report_tail_latency (28);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  for (int i = 0; i < 4; i++)
    report_tail_latency (13); /* own load 0.23 */
  CU_ASSERT_EQUAL (fixture.appends, 2);
  tear_down ();
}

/* Guards against leftover cores that are computed from the declared or the
   initially assumed use of tasks with a latency target: 3600 of 4000
   millicores are declared, a tenth of that is used. */
static void
test_best_effort_beside_idle (void)
{
  set_up_with_target (3600);
  add_best_effort_job ();
  advance (200 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  for (int i = 0; i < 4; i++)
    report_tail_latency (11);
  CU_ASSERT_EQUAL (fixture.appends, 2);
  tear_down ();
}

/* Guards against a best-effort run that continues beside a task that exceeds
   its latency target. */
static void
test_best_effort_stopped (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const run_report_t runs[] = {
    { { JOB_ID, 0, 0, 0, 1 }, "", 100, 60 },
    { { JOB_ID + 1, 0, 0, 0, 1 }, "", 10, 2000 },
  };

  set_up_with_target (2000);
  add_best_effort_job ();
  for (int i = 0; i < 4; i++)
    report_tail_latency (13);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  advance (USEC_PER_SEC);
  reply_to_hold (runs, 2, NULL, 0);
  advance (USEC_PER_MSEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_STOP));
  CU_ASSERT_EQUAL (last_call (SHARD_STOP)->run_id.job, JOB_ID + 1);
  tear_down ();
}

/* Applies a model with so many pairs of images that its record is larger than
   the platform accepts. */
static void
apply_large_interference_model (void)
{
  interference_t *model = interference_new ();
  GByteArray *bytes = g_byte_array_new ();
  own_load_t load = { 0 };

  for (uint32_t i = 0; i < 100 * 100; i++)
    {
      char victim[32];
      char aggressor[32];
      disturbance_t disturbance = { 0, 1 };

      g_snprintf (victim, sizeof victim, "serving-%u", i / 100);
      g_snprintf (aggressor, sizeof aggressor, "filling-%u", i % 100);
      disturbance.image = interference_image_id (aggressor);
      interference_observe (model, interference_image_id (victim), &load,
                            USEC_PER_SEC, 20, &disturbance, 1);
    }
  interference_encode (model, bytes);
  CU_ASSERT (bytes->len > RECORD_LIMIT);
  shard_apply_record (fixture.shard, fixture.now, RECORD_INTERFERENCE, 0,
                      (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  interference_free (model);
}

/* Guards against a shard that stores nothing any more: a record that the
   platform refuses for its size is in every repetition of its append. */
static void
test_large_model (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const run_report_t runs[] = {
    { { JOB_ID, 0, 0, 0, 1 }, "", 100, 14 },
    { { JOB_ID + 1, 0, 0, 0, 1 }, "", 10, 2000 },
  };

  set_up_with_model (apply_large_interference_model, 1000);
  add_best_effort_job ();
  for (int i = 0; i < 4; i++)
    report_tail_latency (13);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  fixture.largest_record = 0;
  advance (USEC_PER_MSEC);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  advance (USEC_PER_SEC);
  reply_to_hold (runs, 2, NULL, 0);
  add_job_with_id (JOB_ID + 2, 1);
  advance (2 * USEC_PER_SEC);
  CU_ASSERT (fixture.largest_record > 0);
  CU_ASSERT (fixture.largest_record <= RECORD_LIMIT);
  tear_down ();
}

/* Submits a long-running task with a latency target and waits for its start.
   @return the worker of the run */
static const char *
start_task_with_target (job_id_t id, const char *image)
{
  submission_t *submission = new_submission_with_id (id, 1);
  const shard_call_t *start;

  submission->steps[0].long_running = true;
  submission->steps[0].target_latency_ms = 45;
  submission->steps[0].image = g_strdup (image);
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  fixture.call_count = 0;
  advance (USEC_PER_MSEC);
  start = last_call (SHARD_START);
  CU_ASSERT_PTR_NOT_NULL_FATAL (start);
  return start ? start->worker : "";
}

/* Guards against images that are spread over all workers as long-running tasks
   are submitted (kitakaze-hkd trouble-3: two or more images on half of the
   workers, so that 500 tasks waited beside 200 idle cores).  With four images
   on two workers, the second worker stays empty until a new image is
   submitted. */
static void
test_images_kept_together (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID, "a"), "w1");
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID + 1, "b"), "w1");
  list_worker_with ("w2", "10.0.0.2:1", false);
  fixture.call_count = 0;
  advance (USEC_PER_SEC);
  reply_as_ready ("w2");
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID + 2, "a"), "w1");
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID + 3, "c"), "w2");
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID + 4, "d"), "w1");
  CU_ASSERT_STRING_EQUAL (start_task_with_target (JOB_ID + 5, "c"), "w2");
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "images kept together", test_images_kept_together },
    { "best-effort run stopped over target", test_best_effort_stopped },
    { "best-effort run between peaks", test_best_effort_between_peaks },
    { "best-effort run beside an idle task", test_best_effort_beside_idle },
    { "large model", test_large_model },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard sharing", tests, sizeof tests / sizeof *tests);
  g_byte_array_unref (fixture.progress);
  return code;
}

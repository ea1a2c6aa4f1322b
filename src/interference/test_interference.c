/* Tests of the interference model on noisy reports. */
#include "interference/interference.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>

#define IDLE_MS 4.0
#define LOAD_PERIOD_S 10.0
#define REPORT_INTERVAL_S 0.4
#define TARGET_MS 18.0

/* Tail latency of a task whose own load oscillates by half of its mean. */
static double
tail_ms_at (double time_s, double added)
{
  double load = 0.42 * (1 + 0.5 * sin (time_s / LOAD_PERIOD_S * 2 * G_PI));

  return IDLE_MS / (1 - MIN (load + added, 0.99));
}

/* Model of five tasks of one image with a harmful and a harmless image
   alternating next to them. */
static interference_t *
train_model (double harmful, double harmless, int reports)
{
  interference_t *model = interference_new ();
  image_id_t victim = interference_image_id ("served");
  own_load_t own[5] = { 0 };

  for (int i = 0; i < reports; i++)
    for (int task = 0; task < 5; task++)
      {
        bool bad = i / 4 % 2 == 1;
        disturbance_t disturbance
            = { interference_image_id (bad ? "bad" : "good"), 3 };
        double tail = tail_ms_at (i * REPORT_INTERVAL_S + task * 2,
                                  3 * (bad ? harmful : harmless));

        interference_observe (model, victim, &own[task],
                              (usec_t)(REPORT_INTERVAL_S * USEC_PER_SEC), tail,
                              i % 4 ? &disturbance : NULL, i % 4 ? 1 : 0);
      }
  return model;
}

/* Guards against a model that does not distinguish harmful from harmless
   pairs after a few reports. */
static void
test_harmful_pair (void)
{
  interference_t *model = train_model (0.1, 0.004, 16);
  image_id_t victim = interference_image_id ("served");
  double bad
      = interference_slope (model, victim, interference_image_id ("bad"));
  double good
      = interference_slope (model, victim, interference_image_id ("good"));

  CU_ASSERT (bad > 0.05);
  CU_ASSERT (good < 0.03);
  CU_ASSERT (bad > 3 * good);
  CU_ASSERT (interference_slope_is_known (model, victim,
                                          interference_image_id ("bad")));
  CU_ASSERT (!interference_slope_is_known (model, victim,
                                           interference_image_id ("new")));
  interference_free (model);
}

/* Guards against attributing fluctuations of a task's own load to harmless
   co-located tasks. */
static void
test_load_fluctuation (void)
{
  interference_t *model = train_model (0, 0, 60);
  image_id_t victim = interference_image_id ("served");

  CU_ASSERT (interference_slope (model, victim, interference_image_id ("bad"))
             < 0.03);
  CU_ASSERT (interference_slope (model, victim, interference_image_id ("good"))
             < 0.03);
  interference_free (model);
}

/* The utilization limit is derived from the lowest reported tail latency. */
static void
test_utilization_limit (void)
{
  interference_t *model = train_model (0, 0, 30);
  double limit = interference_max_utilization (
      model, interference_image_id ("served"), TARGET_MS);

  CU_ASSERT (limit > 0.65 && limit < 0.8);
  interference_free (model);
}

/* Guards against slopes that are lost when another process takes over the
   model, and against accepting truncated models. */
static void
test_encoding (void)
{
  interference_t *model = train_model (0.1, 0.004, 40);
  interference_t *decoded = interference_new ();
  GByteArray *bytes = g_byte_array_new ();
  image_id_t victim = interference_image_id ("served");
  image_id_t bad = interference_image_id ("bad");

  interference_encode (model, bytes);
  CU_ASSERT_EQUAL (interference_decode (
                       decoded, (blob_t){ (char *)bytes->data, bytes->len }),
                   0);
  CU_ASSERT_DOUBLE_EQUAL (interference_slope (decoded, victim, bad),
                          interference_slope (model, victim, bad), 1e-5);
  CU_ASSERT (interference_slope_is_known (decoded, victim, bad));
  CU_ASSERT_DOUBLE_EQUAL (
      interference_max_utilization (decoded, victim, TARGET_MS),
      interference_max_utilization (model, victim, TARGET_MS), 1e-5);
  for (guint len = 0; len < bytes->len; len++)
    CU_ASSERT_EQUAL (
        interference_decode (decoded, (blob_t){ (char *)bytes->data, len }),
        -EBADMSG);
  interference_free (model);
  interference_free (decoded);
  g_byte_array_unref (bytes);
}

/* Guards against an owner that crashes when it stores its model: steps need
   not have an image. */
static void
test_nameless_images (void)
{
  interference_t *model = interference_new ();
  interference_t *decoded = interference_new ();
  image_id_t served = interference_image_id ("served");
  image_id_t bad = interference_image_id ("bad");
  const disturbance_t disturbances[] = { { 0, 2 }, { bad, 2 } };
  own_load_t own = { 0 };
  GByteArray *bytes = g_byte_array_new ();

  interference_observe (model, 0, &own, 0, 20, disturbances, 2);
  own = (own_load_t){ 0 };
  interference_observe (model, served, &own, 0, 20, disturbances, 2);
  interference_encode (model, bytes);
  CU_ASSERT_EQUAL (interference_decode (
                       decoded, (blob_t){ (char *)bytes->data, bytes->len }),
                   0);
  CU_ASSERT_DOUBLE_EQUAL (interference_slope (decoded, served, bad),
                          interference_slope (model, served, bad), 1e-5);
  g_byte_array_unref (bytes);
  interference_free (model);
  interference_free (decoded);
}

/* Guards against a model that is lost to an earlier build when a later one
   appends fields. */
static void
test_appended_fields (void)
{
  /* Idle tail of 4 ms and slope of 0.125, each followed by a field more. */
  const char bytes[] = "\x93\x91\x93\xa6served\xca\x40\x80\0\0\x07"
                       "\x91\x95\xa6served\xa3"
                       "bad\xca\x3e\0\0\0\xca\x38\0\0\0\x07\x09";
  interference_t *model = interference_new ();

  CU_ASSERT_EQUAL (
      interference_decode (model, (blob_t){ bytes, sizeof bytes - 1 }), 0);
  CU_ASSERT_DOUBLE_EQUAL (interference_slope (model,
                                              interference_image_id ("served"),
                                              interference_image_id ("bad")),
                          0.125, 1e-5);
  CU_ASSERT (interference_max_utilization (
                 model, interference_image_id ("served"), TARGET_MS)
             < 0.8);
  interference_free (model);
}

/* Guards against a second trial of a pair within the given span. */
static void
test_trials (void)
{
  interference_t *model = interference_new ();

  CU_ASSERT (interference_trial_allowed (model, 1, 2, 100, 50));
  interference_trial_started (model, 1, 2, 100);
  CU_ASSERT (!interference_trial_allowed (model, 1, 2, 149, 50));
  CU_ASSERT (interference_trial_allowed (model, 1, 2, 150, 50));
  CU_ASSERT (interference_trial_allowed (model, 1, 3, 110, 50));
  interference_free (model);
}

/* Guards against a process that runs out of memory by the names of images that
   callers invent, and against a name that makes the stored model unreadable,
   as it is too long there.  Uses up all identifiers. */
static void
test_many_images (void)
{
  image_id_t known = interference_image_id ("served");
  char *name = g_strnfill (INTERFERENCE_MAX_NAME_BYTES + 1, 'n');
  uint32_t count = 0;

  CU_ASSERT_EQUAL (interference_image_id (name), 0);
  name[INTERFERENCE_MAX_NAME_BYTES] = '\0';
  CU_ASSERT (interference_image_id (name) != 0);
  g_free (name);
  for (uint32_t i = 0; i < 2 * INTERFERENCE_MAX_IMAGES; i++)
    {
      name = g_strdup_printf ("many-%u", i);
      count += interference_image_id (name) != 0;
      g_free (name);
    }
  CU_ASSERT (count > INTERFERENCE_MAX_IMAGES - 64);
  CU_ASSERT (count <= INTERFERENCE_MAX_IMAGES);
  CU_ASSERT_EQUAL (interference_image_id ("served"), known);
  CU_ASSERT (interference_image_id ("many-0") != 0);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "harmful pair", test_harmful_pair },
    { "load fluctuation", test_load_fluctuation },
    { "utilization limit", test_utilization_limit },
    { "encoding", test_encoding },
    { "nameless images", test_nameless_images },
    { "appended fields", test_appended_fields },
    { "trials", test_trials },
    { "many images", test_many_images },
  };

  return suite_main ("interference", tests, sizeof tests / sizeof *tests);
}

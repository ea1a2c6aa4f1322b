/* Interference learned from rough reports. */
#include "interference/interference.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>

#define IDLE_MS 4.0
#define PERIOD_S 10.0
#define STEP_S 0.4
#define TARGET_MS 18.0

/* Tail of a task whose own load swings by half. */
static double
tail_at (double time_s, double added)
{
  double load = 0.42 * (1 + 0.5 * sin (time_s / PERIOD_S * 2 * G_PI));

  return IDLE_MS / (1 - MIN (load + added, 0.99));
}

/* A harmful and a harmless image take turns beside tasks of one image. */
static interference_t *
learned (double harmful, double harmless, int reports)
{
  interference_t *model = interference_new ();
  image_id_t served = interference_image_id ("served");
  own_load_t own[5] = { 0 };

  for (int i = 0; i < reports; i++)
    for (int k = 0; k < 5; k++)
      {
        bool bad = i / 4 % 2 == 1;
        disturbance_t beside
            = { interference_image_id (bad ? "bad" : "good"), 3 };
        double tail
            = tail_at (i * STEP_S + k * 2, 3 * (bad ? harmful : harmless));

        interference_observe (model, served, &own[k],
                              (usec_t)(STEP_S * USEC_PER_SEC), tail,
                              i % 4 ? &beside : NULL, i % 4 ? 1 : 0);
      }
  return model;
}

/* Guards against harmful pairs that are not told from harmless ones by a few
   reports. */
static void
test_pairs (void)
{
  interference_t *model = learned (0.1, 0.004, 16);
  image_id_t served = interference_image_id ("served");
  double bad
      = interference_slope (model, served, interference_image_id ("bad"));
  double good
      = interference_slope (model, served, interference_image_id ("good"));

  CU_ASSERT (bad > 0.05);
  CU_ASSERT (good < 0.03);
  CU_ASSERT (bad > 3 * good);
  CU_ASSERT (interference_slope_is_known (model, served,
                                          interference_image_id ("bad")));
  CU_ASSERT (!interference_slope_is_known (model, served,
                                           interference_image_id ("new")));
  interference_free (model);
}

/* Guards against the swing of a task's own load being blamed on others. */
static void
test_harmless (void)
{
  interference_t *model = learned (0, 0, 60);
  image_id_t served = interference_image_id ("served");

  CU_ASSERT (interference_slope (model, served, interference_image_id ("bad"))
             < 0.03);
  CU_ASSERT (interference_slope (model, served, interference_image_id ("good"))
             < 0.03);
  interference_free (model);
}

/* The limit follows from the lowest tail that was seen. */
static void
test_limit (void)
{
  interference_t *model = learned (0, 0, 30);
  double limit = interference_max_utilization (
      model, interference_image_id ("served"), TARGET_MS);

  CU_ASSERT (limit > 0.65 && limit < 0.8);
  interference_free (model);
}

/* Guards against harm that every new owner learns anew. */
static void
test_record (void)
{
  interference_t *model = learned (0.1, 0.004, 40);
  interference_t *back = interference_new ();
  GByteArray *bytes = g_byte_array_new ();
  image_id_t served = interference_image_id ("served");
  image_id_t bad = interference_image_id ("bad");

  interference_encode (model, bytes);
  CU_ASSERT_EQUAL (
      interference_decode (back, (blob_t){ (char *)bytes->data, bytes->len }),
      0);
  CU_ASSERT_DOUBLE_EQUAL (interference_slope (back, served, bad),
                          interference_slope (model, served, bad), 1e-5);
  CU_ASSERT (interference_slope_is_known (back, served, bad));
  CU_ASSERT_DOUBLE_EQUAL (
      interference_max_utilization (back, served, TARGET_MS),
      interference_max_utilization (model, served, TARGET_MS), 1e-5);
  for (guint len = 0; len < bytes->len; len++)
    CU_ASSERT_EQUAL (
        interference_decode (back, (blob_t){ (char *)bytes->data, len }),
        -EBADMSG);
  interference_free (model);
  interference_free (back);
  g_byte_array_unref (bytes);
}

/* One trial a pair at a time. */
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

int
main (void)
{
  const suite_test_t tests[] = {
    { "pairs", test_pairs },   { "harmless", test_harmless },
    { "limit", test_limit },   { "record", test_record },
    { "trials", test_trials },
  };

  return suite_main ("interference", tests, sizeof tests / sizeof *tests);
}

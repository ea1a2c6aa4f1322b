/* Tests of the forecast of loads. */
#include "loads/loads.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>

#define STEPS 12U
#define TASKS 6U
#define REPORT_INTERVAL (400 * USEC_PER_MSEC)
#define START (1000 * USEC_PER_SEC)

/* Each step has its own phase. */
static double
load_at (uint32_t step, usec_t at, double period_s, double swing)
{
  return 0.42
         * (1
            + swing
                  * sin (2 * G_PI * (double)at / USEC_PER_SEC / period_s
                         + step));
}

/* Reports of all tasks, as inexact as a figure in whole milliseconds. */
static void
report (loads_t *loads, usec_t from, usec_t to, double period_s, double swing)
{
  GRand *random = g_rand_new_with_seed (3);

  for (usec_t at = from; at < to; at += REPORT_INTERVAL)
    {
      for (uint32_t step = 0; step < STEPS; step++)
        for (uint32_t task = 0; task < TASKS; task++)
          {
            double noise = g_rand_double_range (random, -0.1, 0.1);
            usec_t when
                = at + g_rand_int_range (random, 0, (gint32)REPORT_INTERVAL);

            loads_observe (loads, step, when,
                           load_at (step, when, period_s, swing) + noise,
                           0.004);
          }
      loads_refit (loads, at);
    }
  g_rand_free (random);
}

/* @return the largest error of a forecast two seconds ahead */
static double
largest_error (const loads_t *loads, usec_t now, double period_s, double swing)
{
  double largest = 0;

  for (uint32_t step = 0; step < STEPS; step++)
    {
      usec_t at = now + 2 * USEC_PER_SEC;
      double expected = 0;

      CU_ASSERT (loads_expected (loads, step, at, &expected));
      largest = MAX (largest,
                     fabs (expected - load_at (step, at, period_s, swing)));
    }
  return largest;
}

/* Guards against a forecast that follows the load with a lag, for periods that
   are no multiple of a slot and others than the one first found. */
static void
test_periods (void)
{
  static const double periods[] = { 5.3, 10, 17 };

  for (size_t i = 0; i < G_N_ELEMENTS (periods); i++)
    {
      loads_t *loads = loads_new ();
      usec_t now = START + 20 * USEC_PER_SEC;

      report (loads, START, now, periods[i], 0.5);
      CU_ASSERT_DOUBLE_EQUAL (loads_period_s (loads), periods[i], 0.5);
      CU_ASSERT (largest_error (loads, now, periods[i], 0.5) < 0.08);
      loads_free (loads);
    }
}

/* Guards against a period that is kept after the loads have changed theirs. */
static void
test_period_changes (void)
{
  loads_t *loads = loads_new ();
  usec_t now = START + 60 * USEC_PER_SEC;

  report (loads, START, START + 30 * USEC_PER_SEC, 6, 0.5);
  report (loads, START + 30 * USEC_PER_SEC, now, 11, 0.5);
  CU_ASSERT (largest_error (loads, now, 11, 0.5) < 0.08);
  loads_free (loads);
}

/* Guards against a period that is read into noise. */
static void
test_constant_loads (void)
{
  loads_t *loads = loads_new ();
  double load;

  report (loads, START, START + 30 * USEC_PER_SEC, 10, 0);
  CU_ASSERT_EQUAL (loads_period_s (loads), 0);
  CU_ASSERT (!loads_expected (loads, 0, START, &load));
  CU_ASSERT (!loads_expected (loads, 999, START, &load));
  loads_free (loads);
}

/* Guards against a maximum that misses a peak within the span, and against one
   that is always the peak. */
static void
test_maximum (void)
{
  loads_t *loads = loads_new ();
  usec_t now = START + 30 * USEC_PER_SEC;

  report (loads, START, now, 10, 0.5);
  for (usec_t from = now; from < now + 10 * USEC_PER_SEC;
       from += 300 * USEC_PER_MSEC)
    {
      usec_t to = from + 2 * USEC_PER_SEC;
      double expected = 0;
      double sampled = 0;

      CU_ASSERT (loads_expected_max (loads, 0, from, to, &expected));
      for (usec_t at = from; at <= to; at += 10 * USEC_PER_MSEC)
        {
          double load = 0;

          loads_expected (loads, 0, at, &load);
          sampled = MAX (sampled, load);
        }
      CU_ASSERT_DOUBLE_EQUAL (expected, sampled, 0.001);
    }
  loads_free (loads);
}

/* Guards against histories of steps that have ended. */
static void
test_stale_history (void)
{
  loads_t *loads = loads_new ();
  double load;

  report (loads, START, START + 20 * USEC_PER_SEC, 10, 0.5);
  CU_ASSERT (loads_expected (loads, 0, START, &load));
  loads_refit (loads, START + 60 * USEC_PER_SEC);
  CU_ASSERT (!loads_expected (loads, 0, START, &load));
  loads_free (loads);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "periods", test_periods },
    { "period changes", test_period_changes },
    { "constant loads", test_constant_loads },
    { "maximum", test_maximum },
    { "stale history", test_stale_history },
  };

  return suite_main ("loads", tests, sizeof tests / sizeof *tests);
}

/* Tests of the latency histograms. */
#include "base/histograms.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Checks that buckets are cumulative and that a latency beyond the last limit
   is counted in the +Inf bucket. */
static void
test_text (void)
{
  GString *text = g_string_new (NULL);

  histogram_add (HISTOGRAM_SUBMIT, 3 * USEC_PER_MSEC);
  histogram_add (HISTOGRAM_SUBMIT, 30 * USEC_PER_MSEC);
  histogram_add (HISTOGRAM_SUBMIT, 100 * USEC_PER_SEC);
  histogram_add (HISTOGRAM_SUBMIT, -USEC_PER_SEC);
  histograms_text (text);
  CU_ASSERT_EQUAL (histogram_count (HISTOGRAM_SUBMIT), 4);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text->str, "limpethinge_submit_seconds_bucket{le=\"0.002\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text->str, "limpethinge_submit_seconds_bucket{le=\"0.005\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text->str, "limpethinge_submit_seconds_bucket{le=\"60\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text->str, "limpethinge_submit_seconds_bucket{le=\"+Inf\"} 4\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text->str, "limpethinge_job_seconds_count 0\n"));
  g_string_free (text, TRUE);
}

int
main (void)
{
  const suite_test_t tests[] = { { "text", test_text } };

  return suite_main ("histograms", tests, 1);
}

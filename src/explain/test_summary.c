/* Tests of the stages of jobs from log lines. */
#include "explain/summary.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define AT(seconds) "2026-03-07T01:50:" seconds "Z limpethinge[26626] info "
#define JOB "5c0e7a21d94b36f8"

/* Two steps: the second task of the first one fails once and decides when it
   is done. */
static const char *const lines[] = {
  AT ("10.050") "step=job.known peer=- job=" JOB " queue=q age_ms=50",
  AT ("10.200") "step=run.start peer=w task=" JOB ".0.0.0 run=1 worker=w1",
  AT ("10.300") "step=run.start peer=w task=" JOB ".0.0.1 run=1 worker=w1",
  AT ("10.700") "step=run.end peer=- task=" JOB ".0.0.0 run=1 how=done",
  AT ("10.800") "step=run.end peer=- task=" JOB ".0.0.1 run=1 how=failed",
  AT ("11.000") "step=run.start peer=w task=" JOB ".0.0.1 run=2 worker=w2",
  AT ("11.500") "step=run.end peer=- task=" JOB ".0.0.1 run=2 how=done",
  AT ("11.510") "step=run.start peer=w task=" JOB ".0.1.0 run=1 worker=w2",
  AT ("12.000") "step=run.end peer=- task=" JOB ".0.1.0 run=1 how=done",
  AT ("12.010") "step=job.end peer=- job=" JOB " queue=q end=completed",
  AT ("12.020") "step=job.known peer=- job=5c0e7a21d94b36f9 queue=q age_ms=1",
  AT ("12.030") "step=job.known peer=- job=5c0e7a21d94b36fa queue=r age_ms=1",
  AT ("12.040") "step=job.end peer=- job=5c0e7a21d94b36fa queue=r end=failed",
  "nothing",
};

/* Guards against time that is counted twice or for another stage, and against
   jobs without an end that count as completed. */
static void
test_stages (void)
{
  static const char *const rows[]
      = { "q: 2 jobs, 1 completed", "first start       200",
          "wait              100",  "again             700",
          "run               990",  "handoff            20",
          "all              2010",  "r: 1 jobs, 0 completed" };
  summary_t *summary = summary_new ();
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    summary_add_line (summary, lines[i]);
  CU_ASSERT_EQUAL (summary_write (summary, out), 3);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (!strstr (out->str, rows[i]))
      {
        printf ("missing \"%s\" in\n%s", rows[i], out->str);
        CU_FAIL ("row is missing");
      }
  g_string_free (out, TRUE);
  summary_free (summary);
}

int
main (void)
{
  const suite_test_t tests[] = { { "stages", test_stages } };

  return suite_main ("summary", tests, sizeof tests / sizeof *tests);
}

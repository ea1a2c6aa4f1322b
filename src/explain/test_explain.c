/* Tests of the history of a job from log lines. */
#include "explain/explain.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define AT(seconds) "2026-03-07T01:50:" seconds "Z limpethinge[26626] "

static const char *const lines[] = {
  AT ("24.500") "info step=run.start peer=10.1.64.34:8788 "
                "task=5c0e7a21d94b36f8.0.0.1 run=1 worker=w1 token=7",
  AT ("24.100") "info step=job.accepted peer=- job=5c0e7a21d94b36f8 queue=q",
  AT ("25.000") "notice step=worker.silent peer=10.1.64.34:8788 worker=w1",
  AT ("25.100") "notice step=worker.silent peer=10.1.64.35:8788 worker=w2",
  AT ("20.000") "notice step=store.failed peer=- step=join",
  AT ("24.200") "info step=job.known peer=- job=5c0e7a21d94b36f9 queue=q",
  AT ("24.300") "notice step=shard.superseded peer=- shard=0",
  AT ("24.400") "info step=shard.load peer=- shard=0 waiting=3",
  "  10.5 node-1 " AT ("26.000") "info step=run.end peer=- "
                                 "task=5c0e7a21d94b36f8.0.0.1 run=1 worker=w1 "
                                 "how=lapsed ran_ms=1500",
  AT ("24.450") "info step=step.waits peer=- job=5c0e7a21d94b36f8 "
                "step_number=0 tasks=1 waited_ms=500 evacuated=88 full=12",
  AT ("24.250") "notice step=zone.evacuated peer=- zone=athens version=7",
  "limpethinge[1] step=nothing",
  "",
};

static char *
explain_job (const char *job, uint32_t *job_lines)
{
  explain_t *explain = explain_new (job);
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    explain_add_line (explain, "n1", lines[i]);
  *job_lines = explain_write (explain, out);
  explain_free (explain);
  return g_string_free (out, FALSE);
}

/* Guards against a history that is out of order or lacks the state changes of
   the job's worker, shard and zones or what kept a step waiting, and against
   lines of other jobs, other workers and other times. */
static void
test_history (void)
{
  uint32_t job_lines;
  char *text = explain_job ("5c0e7a21d94b36f8", &job_lines);
  const char *accepted = strstr (text, "* n1 job.accepted");
  const char *start = strstr (text, "* n1 run.start");
  const char *silent = strstr (text, "worker.silent");
  const char *end = strstr (text, "+1.900 * n1 run.end");

  CU_ASSERT_EQUAL (job_lines, 4);
  CU_ASSERT (accepted && start && silent && end);
  CU_ASSERT (accepted < start && start < silent && silent < end);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "1  run.end (lapsed)"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "* n1 step.waits"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "zone.evacuated"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "shard.superseded"));
  CU_ASSERT_PTR_NULL (strstr (text, "w2"));
  CU_ASSERT_PTR_NULL (strstr (text, "36f9"));
  CU_ASSERT_PTR_NULL (strstr (text, "store.failed"));
  CU_ASSERT_PTR_NULL (strstr (text, "shard.load "));
  g_free (text);
}

/* Guards against a history of a task with lines of the whole job or of other
   tasks. */
static void
test_task (void)
{
  uint32_t job_lines;
  char *text = explain_job ("5c0e7a21d94b36f8.0.0.1", &job_lines);

  CU_ASSERT_EQUAL (job_lines, 2);
  CU_ASSERT_PTR_NULL (strstr (text, "job.accepted"));
  g_free (text);
  text = explain_job ("5c0e7a21d94b36f8.0.0.2", &job_lines);
  CU_ASSERT_EQUAL (job_lines, 0);
  CU_ASSERT_STRING_EQUAL (text, "");
  g_free (text);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "history", test_history },
    { "task", test_task },
  };

  return suite_main ("explain", tests, sizeof tests / sizeof *tests);
}

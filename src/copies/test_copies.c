/* Unit tests of the decision to start a copy of a late run. */
#include "copies/copies.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>

static const copies_step_t first_step = { 7, 0, 0 };
static const copies_step_t next_step = { 7, 0, 1 };

/* Limits that allow a copy of any late run. */
static const copies_case_t late = { .ran_ms = 1601,
                                    .expected_ms = 800,
                                    .failures = 0,
                                    .max_attempts = 3,
                                    .copy_millicores = 0,
                                    .used_millicores = 10000,
                                    .budget_percent = 2,
                                    .ms_since_takeover = 2000,
                                    .waiting_tasks = 0 };

/* Guards against an expectation from too few runs, from runs of another step
   or from an extreme run. */
static void
test_expected (void)
{
  copies_t *copies = copies_new ();

  copies_note_done (copies, &first_step, 100);
  copies_note_done (copies, &first_step, 9000);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &first_step, 500), 500);
  copies_note_done (copies, &first_step, 200);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &first_step, 500), 200);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &next_step, 500), 500);
  copies_forget_step (copies, &first_step);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &first_step, 500), 500);
  copies_free (copies);
}

/* Guards against durations that are kept after the end of their job. */
static void
test_forgotten_job (void)
{
  copies_t *copies = copies_new ();
  const copies_step_t other = { 8, 0, 0 };

  for (uint32_t i = 0; i < 3; i++)
    {
      copies_note_done (copies, &first_step, 100);
      copies_note_done (copies, &next_step, 100);
      copies_note_done (copies, &other, 100);
    }
  copies_forget_job (copies, 7);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &first_step, 500), 500);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &next_step, 500), 500);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &other, 500), 100);
  copies_clear (copies);
  CU_ASSERT_EQUAL (copies_expected_ms (copies, &other, 500), 500);
  copies_free (copies);
}

/* Guards against copies of runs that are not late: twice the expected duration
   and 600 ms more than it. */
static void
test_late (void)
{
  copies_case_t c = late;

  CU_ASSERT (copies_allow (&c));
  c.ran_ms = 1600;
  CU_ASSERT_FALSE (copies_allow (&c));
  c.expected_ms = 100;
  c.ran_ms = 700;
  CU_ASSERT_FALSE (copies_allow (&c));
  c.ran_ms = 701;
  CU_ASSERT (copies_allow (&c));
  c.expected_ms = 0;
  CU_ASSERT_FALSE (copies_allow (&c));
}

/* Guards against copies beyond their budget, before waiting tasks, soon after
   a takeover or with the last attempt. */
static void
test_limits (void)
{
  copies_case_t c = late;

  c.copy_millicores = 199;
  CU_ASSERT (copies_allow (&c));
  c.copy_millicores = 200;
  CU_ASSERT_FALSE (copies_allow (&c));
  c = late;
  c.waiting_tasks = 1;
  CU_ASSERT_FALSE (copies_allow (&c));
  c = late;
  c.ms_since_takeover = 1999;
  CU_ASSERT_FALSE (copies_allow (&c));
  c = late;
  c.failures = 1;
  CU_ASSERT (copies_allow (&c));
  c.failures = 2;
  CU_ASSERT_FALSE (copies_allow (&c));
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "expected duration", test_expected },
    { "forgotten job", test_forgotten_job },
    { "late runs", test_late },
    { "limits", test_limits },
  };

  return suite_main ("copies", tests, sizeof tests / sizeof *tests);
}

/** @file
 * The main program of a CUnit test.
 */
#include "support/suite.h"

#include <CUnit/Basic.h>

int
suite_main (const char *module, const suite_test_t *tests, size_t count)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (module, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    if (!CU_add_test (suite, tests[i].name, tests[i].run))
      return 2;
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

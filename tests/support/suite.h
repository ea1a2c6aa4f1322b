/** @file
 * The main program of a CUnit test.
 */
#ifndef SUPPORT_SUITE_H
#define SUPPORT_SUITE_H

#include <stddef.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} suite_test_t;

/** Runs the tests of one module.
    @return exit status: 0, 1 if an assertion failed, 2 if CUnit failed */
int suite_main (const char *module, const suite_test_t *tests, size_t count);

#endif

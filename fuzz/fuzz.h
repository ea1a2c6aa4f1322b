/* Declarations shared by the fuzz targets. */
#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Called by libFuzzer for each input. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Aborts if the condition is false; libFuzzer reports that as a crash. */
#define FUZZ_CHECK(condition)                                                 \
  do                                                                          \
    if (!(condition))                                                         \
      abort ();                                                               \
  while (0)

#endif

/** @file
 * Monotonic clock.
 */
#include "net/clock.h"

#include <time.h>

#define NSEC_PER_USEC 1000L

usec_t
clock_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / NSEC_PER_USEC;
}

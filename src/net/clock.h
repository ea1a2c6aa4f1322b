/** @file
 * Monotonic clock.
 */
#ifndef NET_CLOCK_H
#define NET_CLOCK_H

#include "base/types.h"

/** @return monotonic time, suspended time included (CLOCK_BOOTTIME) */
usec_t clock_now (void);

#endif

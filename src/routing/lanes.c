/** @file
 * Slots reserved for short work.
 */
#include "routing/lanes.h"

#include <math.h>

#define USE_AVERAGE_TIME (500 * USEC_PER_MSEC) /* of short_use */
/* Reserved slots, in standard deviations of the use by short work.  Random
   arrivals are assumed, for which the variance equals the mean. */
#define RESERVED_DEVIATIONS 2.0
#define LONG_FLOOR_DIVISOR 8U /* long work may always use 1/8 of the slots */

void
lanes_update (lanes_t *lanes, usec_t now, lane_t lane, int change)
{
  double elapsed
      = (double)(now - lanes->updated_at) / (double)USE_AVERAGE_TIME;

  lanes->short_use += ((double)lanes->running[LANE_SHORT] - lanes->short_use)
                      * (1.0 - exp (-elapsed));
  lanes->updated_at = now;
  lanes->running[lane] += (uint32_t)change;
}

uint64_t
lanes_reserved (const lanes_t *lanes, double slack)
{
  return (uint64_t)(RESERVED_DEVIATIONS * sqrt (lanes->short_use) * slack
                    + 0.5);
}

uint32_t
lanes_long_floor (uint64_t slots)
{
  return (uint32_t)MAX (slots / LONG_FLOOR_DIVISOR, 1);
}

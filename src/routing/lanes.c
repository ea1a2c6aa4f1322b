/** @file
 * Slots kept for short work.
 */
#include "routing/lanes.h"

#include <math.h>

#define MEMORY (500 * USEC_PER_MSEC) /* of the average of the use */
#define DEVIATIONS                                                            \
  2.0 /* of the use of slots by requests that arrive at random */
#define FLOOR_PART 8U /* long work may always use one slot in so many */

void
lanes_count (lanes_t *lanes, usec_t now, lane_t lane, int change)
{
  double passed = (double)(now - lanes->updated_at) / (double)MEMORY;

  lanes->short_use += ((double)lanes->running[LANE_SHORT] - lanes->short_use)
                      * (1.0 - exp (-passed));
  lanes->updated_at = now;
  lanes->running[lane] += (uint32_t)change;
}

uint64_t
lanes_kept (const lanes_t *lanes, double slack)
{
  return (uint64_t)(DEVIATIONS * sqrt (lanes->short_use) * slack + 0.5);
}

uint32_t
lanes_long_floor (uint64_t slots)
{
  return (uint32_t)MAX (slots / FLOOR_PART, 1);
}

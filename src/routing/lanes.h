/** @file
 * Slots kept for short work, so that it does not wait behind long work.
 *
 * How many are kept follows the measured use of slots by short work.  A long
 * request may take a kept slot the sooner, the less time it has left to
 * start, so that idle kept slots are lent instead of wasted.
 */
#ifndef ROUTING_LANES_H
#define ROUTING_LANES_H

#include "routing/queue.h"

typedef struct
{
  uint32_t running[LANE_COUNT]; /**< attempts of this process */
  double short_use; /**< slots used by short work, averaged over time */
  usec_t updated_at;
} lanes_t;

/** Notes that an attempt starts (+1), ends (-1). */
void lanes_count (lanes_t *lanes, usec_t now, lane_t lane, int change);

/** @param slack share of its waiting time that a long request has left, 0..1
    @return free slots that it must leave */
uint64_t lanes_kept (const lanes_t *lanes, double slack);

/** @return how many slots long work may always use out of SLOTS */
uint32_t lanes_long_floor (uint64_t slots);

#endif

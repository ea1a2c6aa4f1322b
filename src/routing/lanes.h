/** @file
 * Slots reserved for short work, so that it does not wait behind long work.
 *
 * The number of reserved slots follows the measured use of slots by short
 * work.  It shrinks for a long request as its latest start comes closer, so
 * that idle reserved slots do not stay unused.
 */
#ifndef ROUTING_LANES_H
#define ROUTING_LANES_H

#include "routing/queue.h"

typedef struct
{
  uint32_t running[LANE_COUNT]; /**< attempts of this process */
  double short_use; /**< slots used by short work, moving average */
  usec_t updated_at;
} lanes_t;

/** Updates the running attempts of a lane.
    @param change +1 when an attempt starts, -1 when one ends */
void lanes_update (lanes_t *lanes, usec_t now, lane_t lane, int change);

/** @param slack remaining fraction of the time that a long request may wait,
    0..1
    @return free slots that the request must leave to short work */
uint64_t lanes_reserved (const lanes_t *lanes, double slack);

/** @return number of slots out of SLOTS that long work may always use */
uint32_t lanes_long_floor (uint64_t slots);

#endif

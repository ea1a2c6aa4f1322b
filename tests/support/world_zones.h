/** @file
 * Availability zones of a simulated environment, which an operator evacuates
 * and takes back at random.
 */
#ifndef SUPPORT_WORLD_ZONES_H
#define SUPPORT_WORLD_ZONES_H

#include "zones/zones.h"

#include <glib.h>

#define WORLD_ZONES 3U
/** From this long after the evacuation nothing may start in a zone. */
#define WORLD_EVACUATE (2 * USEC_PER_SEC)

typedef struct
{
  GRand *rng;
  usec_t interval; /**< between evacuations, 0 for none */
  usec_t due;
  uint64_t version;
  struct
  {
    usec_t since; /**< evacuated since then, 0: not */
    usec_t until;
    uint64_t version;
  } zones[WORLD_ZONES];
} world_zones_t;

/** @return the name of a zone */
const char *world_zone_name (uint32_t zone);

/** Evacuates zones and takes them back.
    @param faults whether zones may be evacuated; else all are taken back */
void world_zones_tick (world_zones_t *world, usec_t now, bool faults);

/** Passes the records in force to an owner's view. */
void world_zones_read (const world_zones_t *world, usec_t now, zones_t *view);

/** @return whether a start in the zone is too late */
bool world_zone_is_closed (const world_zones_t *world, uint32_t zone,
                           usec_t now);

#endif

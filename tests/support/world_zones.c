/** @file
 * Availability zones of a simulated environment.
 */
#include "support/world_zones.h"

#define EVACUATED_MIN (500 * USEC_PER_MSEC)
#define EVACUATED_MAX (6 * USEC_PER_SEC)

const char *
world_zone_name (uint32_t zone)
{
  static const char *const names[WORLD_ZONES] = { "z0", "z1", "z2" };

  return names[zone];
}

void
world_zones_tick (world_zones_t *world, usec_t now, bool faults)
{
  uint32_t zone;

  for (uint32_t i = 0; i < WORLD_ZONES; i++)
    if (world->zones[i].since && (!faults || now >= world->zones[i].until))
      {
        world->zones[i].since = 0;
        world->zones[i].version = ++world->version;
      }
  if (!world->interval || !faults || now < world->due)
    return;
  world->due = now + world->interval;
  zone = (uint32_t)g_rand_int_range (world->rng, 0, WORLD_ZONES);
  world->zones[zone].until
      = now + g_rand_int_range (world->rng, EVACUATED_MIN, EVACUATED_MAX + 1);
  if (world->zones[zone].since)
    return;
  world->zones[zone].since = now;
  world->zones[zone].version = ++world->version;
}

void
world_zones_read (const world_zones_t *world, usec_t now, zones_t *view)
{
  zones_begin_list (view);
  for (uint32_t i = 0; i < WORLD_ZONES; i++)
    {
      zone_record_t record = { .evacuated = true };

      if (!world->zones[i].since)
        continue;
      g_strlcpy (record.zone, world_zone_name (i), sizeof record.zone);
      zones_apply (view, now, &record, world->zones[i].version);
    }
  zones_end_list (view, now, world->version + 1);
  zones_confirm (view, now);
}

bool
world_zone_is_closed (const world_zones_t *world, uint32_t zone, usec_t now)
{
  return world->zones[zone].since
         && now - world->zones[zone].since > WORLD_EVACUATE;
}

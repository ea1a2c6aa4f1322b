/** @file
 * Evacuated availability zones: nothing is started on their workers.  Runs
 * that were started there go on.
 */
#include "shard/shard_private.h"

void
zones_update_worker (const shard_t *shard, worker_t *worker)
{
  worker->evacuated
      = shard->config.zones
        && zones_is_evacuated (shard->config.zones, worker->zone);
}

bool
zones_are_current (const shard_t *shard, usec_t now)
{
  return !shard->config.zones
         || zones_age (shard->config.zones, now)
                <= shard->config.zones_max_age;
}

void
shard_zones_changed (shard_t *shard)
{
  if (!shard->owned)
    return;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    zones_update_worker (shard, worker_get (shard, h));
  shard->placement_needed = true;
}

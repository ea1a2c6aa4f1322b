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

/* A run whose start was sent but not answered is closed by a stop, since the
   worker may have it. */
void
zones_withdraw_start (shard_t *shard, usec_t now, handle_t handle)
{
  static const char why[] = "zone is evacuated";
  const run_t *run = run_get (shard, handle);

  if (run->stop_requested)
    return;
  counter_add (COUNTER_STARTS_WITHDRAWN, 1);
  if (run->start_sent && !run->start_unanswered)
    run_requeue (shard, now, handle, why);
  else
    run_stop (shard, now, handle, why);
}

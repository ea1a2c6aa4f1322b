/** @file
 * Leases by calls that were meant for a former incarnation of their worker.
 *
 * A lease ends at a time on the worker's clock, which each incarnation starts
 * anew, and no call tells the incarnation that it is meant for.  If one
 * arrives at the next, its lease may be as long as the platform grants any,
 * whatever the owner asked for.  Invariants:
 *
 *  - leases_expired_at covers such a lease: it is counted from when the next
 *    incarnation is known, and again from when each call ends that was meant
 *    for the former one;
 *  - a new owner cannot know whether a call of its predecessor has reached a
 *    worker in its present incarnation unless a run on record tells of that:
 *    without one, it counts from the first answer of a worker that has started
 *    lately;
 *  - while such leases may outlast those that a successor assumes, the record
 *    of the bound of leases names the worker, and no long-running task is
 *    placed there, whose next run would be late.
 */
#include "shard/shard_private.h"

/* Interval at which the time that is left is stored. */
#define STRAY_INTERVAL (500 * USEC_PER_MSEC)

void
stray_note (const shard_t *shard, usec_t now, worker_t *worker)
{
  usec_t until
      = now + worker_max_lease_duration (shard) + shard->config.stop_limit;

  worker->stray_until = MAX (worker->stray_until, until);
  worker->leases_expired_at = MAX (worker->leases_expired_at, until);
}

void
stray_note_taken_over (const shard_t *shard, usec_t now, worker_t *worker)
{
  int64_t age_ms = shard->ops->wall_ms (shard->ctx) - worker->started_ms;

  if (shard->has_predecessor && !worker->runs->len
      && age_ms < usec_to_msec (worker_max_lease_duration (shard)))
    stray_note (shard, now, worker);
}

bool
stray_outlasts (const shard_t *shard, usec_t now, const worker_t *worker)
{
  return worker->stray_until > now + lease_bound (shard);
}

static bool
is_on_record (const shard_t *shard, usec_t now, const worker_t *worker)
{
  return worker->runs->len && stray_outlasts (shard, now, worker);
}

bool
stray_is_due (const shard_t *shard, usec_t now)
{
  if (now - shard->stray_encoded_at < STRAY_INTERVAL)
    return false;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    if (is_on_record (shard, now, worker_get (shard, h)))
      return true;
  return false;
}

void
stray_encode (shard_t *shard, usec_t now, GByteArray *out)
{
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (is_on_record (shard, now, worker) && out->len < LEASE_ROWS_MAX_BYTES)
        lease_row_encode (worker->id, worker->stray_until - now, out);
    }
  shard->stray_encoded_at = now;
}

void
stray_apply (shard_t *shard)
{
  GHashTableIter iter;
  gpointer id;
  gpointer left;

  g_hash_table_iter_init (&iter, shard->loaded_stray);
  while (g_hash_table_iter_next (&iter, &id, &left))
    {
      worker_t *worker = worker_get (shard, worker_find (shard, id));

      if (!worker)
        continue;
      worker->stray_until = shard->owned_since + *(usec_t *)left;
      worker->leases_expired_at
          = MAX (worker->leases_expired_at, worker->stray_until);
    }
  if (g_hash_table_size (shard->loaded_stray))
    log_line (LOG_LEVEL_NOTICE, "workers.stray", NULL,
              "shard=%u token=%" PRIu64 " workers=%u", shard->number,
              shard->token, g_hash_table_size (shard->loaded_stray));
  g_hash_table_remove_all (shard->loaded_stray);
}

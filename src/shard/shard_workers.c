/** @file
 * Workers of a shard: what they hold, their clocks and leases.
 */
#include "shard/shard_private.h"

/* A worker's clock may be this much slower than ours: 2% by the platform's
   word, and as much again for the rounding of its answers. */
#define CLOCK_SLACK_PERCENT 103
#define LAPSE_MARGIN (300 * USEC_PER_MSEC)

/* Failures in succession after which a worker gets nothing for a while. */
#define FAILURES_BEFORE_AVOID 2U
#define AVOID_FIRST (1500 * USEC_PER_MSEC)
#define AVOID_MOST (12 * USEC_PER_SEC)

static void update_text (char **place, const char *text);

worker_t *
worker_get (const shard_t *shard, handle_t handle)
{
  return table_get (shard->workers, handle);
}

handle_t
worker_find (const shard_t *shard, const char *id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (shard->workers_by_id, id));
}

handle_t
worker_add (shard_t *shard, const char *id)
{
  handle_t handle = table_add (shard->workers);
  worker_t *worker = table_get (shard->workers, handle);

  worker->id = g_strdup (id);
  worker->address = g_strdup ("");
  worker->service = g_strdup ("");
  worker->kind = g_strdup ("");
  worker->rack = g_strdup ("");
  worker->runs = g_array_new (FALSE, FALSE, sizeof (handle_t));
  worker->recent = g_array_new (FALSE, FALSE, sizeof (recent_t));
  /* A former owner may have extended its leases until it gave up. */
  worker->lapsed_at
      = shard->began + shard->config.stale_limit + worker_lease_span (shard);
  worker->in_doubt = true;
  worker->last_answer = shard->began;
  g_hash_table_insert (shard->workers_by_id, g_strdup (id),
                       GUINT_TO_POINTER (handle));
  return handle;
}

void
worker_free (worker_t *worker)
{
  g_free (worker->id);
  g_free (worker->address);
  g_free (worker->service);
  g_free (worker->kind);
  g_free (worker->rack);
  g_array_free (worker->runs, TRUE);
  g_array_free (worker->recent, TRUE);
}

static void
update_text (char **place, const char *text)
{
  if (strcmp (*place, text) == 0)
    return;
  g_free (*place);
  *place = g_strdup (text);
}

void
shard_worker_listed (shard_t *shard, usec_t now, const shard_worker_t *info)
{
  handle_t handle;
  worker_t *worker;

  if (!shard->owned)
    return;
  handle = worker_find (shard, info->id);
  if (handle == HANDLE_NONE)
    {
      handle = worker_add (shard, info->id);
      worker = worker_get (shard, handle);
      worker->hold_due = now;
      /* Of the first list only the number is logged: thousands of lines would
         crowd out all others.  */
      log_line (shard->listed ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG,
                "worker.listed", info->address,
                "worker=%s shard=%u millicores=%u leaving=%d", info->id,
                shard->number, info->millicores, info->leaving);
    }
  worker = worker_get (shard, handle);
  if (!worker->listed || strcmp (worker->address, info->address) != 0)
    worker->hold_due = now;
  if (worker->life_ms && info->started_ms > worker->life_ms)
    {
      /* What runs in the new life is known from its next list.  */
      worker->in_doubt = true;
      worker->hold_due = now;
    }
  if (!worker->life_ms)
    worker->life_ms = info->started_ms;
  update_text (&worker->address, info->address);
  update_text (&worker->service, info->service);
  update_text (&worker->kind, info->label);
  update_text (&worker->rack, info->rack);
  if (worker->leaving != info->leaving)
    log_line (LOG_LEVEL_INFO, "worker.leaving", info->address,
              "worker=%s leaving=%d runs=%u", info->id, info->leaving,
              worker->runs->len);
  worker->leaving = info->leaving;
  worker->listed = true;
  worker->millicores = info->millicores;
  worker->memory_mb = info->memory_mb;
  worker->accelerators = info->accelerators;
  shard->place_due = true;
}

void
shard_worker_unlisted (shard_t *shard, usec_t now, const char *id)
{
  handle_t handle = shard->owned ? worker_find (shard, id) : HANDLE_NONE;
  worker_t *worker;

  if (handle == HANDLE_NONE)
    return;
  worker = worker_get (shard, handle);
  worker->listed = false;
  log_line (LOG_LEVEL_INFO, "worker.unlisted", worker->address,
            "worker=%s runs=%u", id, worker->runs->len);
  if (worker_has_left (worker))
    run_lose_all (shard, now, handle, "left");
}

bool
worker_has_left (const worker_t *worker)
{
  return worker->leaving && !worker->listed && worker->silent;
}

void
shard_worker_list_read (shard_t *shard, usec_t now, GHashTable *listed)
{
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (worker->listed && !g_hash_table_contains (listed, worker->id))
        shard_worker_unlisted (shard, now, worker->id);
    }
  if (!shard->owned || shard->listed)
    return;
  shard->listed = true;
  log_line (LOG_LEVEL_NOTICE, "workers.loaded", NULL,
            "shard=%u token=%" PRIu64 " workers=%zu took_ms=%" PRId64,
            shard->number, shard->token, table_count (shard->workers),
            usec_to_msec (now - shard->began));
}

void
worker_sweep (shard_t *shard)
{
  handle_t next;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = next)
    {
      worker_t *worker = worker_get (shard, h);

      next = table_next (shard->workers, h);
      if (worker->listed || worker->runs->len || worker->hold_busy
          || !worker->silent)
        continue;
      g_hash_table_remove (shard->workers_by_id, worker->id);
      worker_free (worker);
      table_remove (shard->workers, h);
    }
}

int64_t
worker_clock (const worker_t *worker, usec_t now)
{
  usec_t passed = now - worker->clock_at;

  return worker->clock_ms + passed / USEC_PER_MSEC * 100 / CLOCK_SLACK_PERCENT;
}

void
worker_clock_seen (worker_t *worker, usec_t now, int64_t worker_ms)
{
  if (worker->clock_at && worker_ms < worker_clock (worker, now))
    return; /* an older answer that was overtaken */
  worker->clock_ms = worker_ms;
  worker->clock_at = now;
}

usec_t
worker_lease_span (const shard_t *shard)
{
  return shard->config.lease * CLOCK_SLACK_PERCENT / 100 + LAPSE_MARGIN;
}

void
worker_lease_sent (const shard_t *shard, worker_t *worker, usec_t now,
                   int64_t until_ms)
{
  int64_t left_ms = until_ms - worker_clock (worker, now);
  usec_t lapsed = now + left_ms * USEC_PER_MSEC * CLOCK_SLACK_PERCENT / 100
                  + shard->config.stop_limit + LAPSE_MARGIN;

  worker->lapsed_at = MAX (worker->lapsed_at, lapsed);
}

void
worker_judge (worker_t *worker, usec_t now, job_id_t job, bool failed)
{
  if (!failed)
    {
      worker->failures = 0;
      worker->avoid_until = 0;
      return;
    }
  /* A job whose tasks fail by themselves must not condemn the worker.  */
  if (worker->failures && worker->failed_job == job)
    return;
  worker->failed_job = job;
  worker->failures++;
  if (worker->failures >= FAILURES_BEFORE_AVOID)
    {
      uint32_t doublings = MIN (worker->failures - FAILURES_BEFORE_AVOID, 8U);

      worker->avoid_until = now + MIN (AVOID_FIRST << doublings, AVOID_MOST);
      log_line (LOG_LEVEL_INFO, "worker.avoid", worker->address,
                "worker=%s failures=%u for_ms=%" PRId64, worker->id,
                worker->failures, usec_to_msec (worker->avoid_until - now));
    }
}

void
worker_avoid (worker_t *worker, usec_t until)
{
  worker->avoid_until = MAX (worker->avoid_until, until);
}

void
worker_reserve (worker_t *worker, const run_t *run)
{
  *(run->fills ? &worker->fill_millicores : &worker->used_millicores)
      += run->millicores;
  worker->used_memory += run->memory_mb;
  worker->used_accelerators += run->accelerators;
  worker->serving += run->target_ms != 0;
  worker->serving_millicores += run->target_ms ? run->millicores : 0;
  worker->filling += run->fills;
}

void
worker_release (worker_t *worker, const run_t *run)
{
  *(run->fills ? &worker->fill_millicores : &worker->used_millicores)
      -= run->millicores;
  worker->used_memory -= run->memory_mb;
  worker->used_accelerators -= run->accelerators;
  worker->serving -= run->target_ms != 0;
  worker->serving_millicores -= run->target_ms ? run->millicores : 0;
  worker->filling -= run->fills;
}

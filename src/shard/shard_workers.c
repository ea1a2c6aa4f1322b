/** @file
 * Workers of a shard: their reserved capacity, clocks and leases.
 */
#include "shard/shard_private.h"

/* Largest ratio of local time to a worker's clock, in percent: the platform
   guarantees a drift of at most 2%, the rest covers the rounding of its
   answers. */
#define MAX_CLOCK_RATIO_PERCENT 103
#define LEASE_EXPIRY_MARGIN (300 * USEC_PER_MSEC)

/* Consecutive failures after which a worker gets no new runs for a while. */
#define FAILURES_BEFORE_AVOID 2U
#define AVOID_FIRST (1500 * USEC_PER_MSEC)
/* All workers may be paused at once: shorter than the 7 s after which the
   platform asks for a run of a task if there is capacity. */
#define AVOID_MAX (6 * USEC_PER_SEC)

static void update_text (char **target, const char *text);
static void set_leaving (shard_t *shard, worker_t *worker, bool leaving);
static bool was_leaving (const shard_t *shard, const worker_t *worker);
static void update_capacity (worker_t *worker, const shard_worker_t *info);

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
  worker->label = g_strdup ("");
  worker->rack = g_strdup ("");
  worker->zone = g_strdup ("");
  worker->runs = g_array_new (FALSE, FALSE, sizeof (handle_t));
  worker->recent_runs = g_array_new (FALSE, FALSE, sizeof (recent_run_t));
  worker->leases_expired_at = shard->former_leases_expired_at;
  worker_doubt (worker, shard->owned_since);
  worker->last_answer = shard->owned_since;
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
  g_free (worker->label);
  g_free (worker->rack);
  g_free (worker->zone);
  g_array_free (worker->runs, TRUE);
  g_array_free (worker->recent_runs, TRUE);
}

void
worker_set_address (worker_t *worker, const char *address)
{
  if (strcmp (worker->address, address) == 0)
    return;
  update_text (&worker->address, address);
  worker->address_changes++;
  worker->reached = false;
}

static void
update_text (char **target, const char *text)
{
  if (strcmp (*target, text) == 0)
    return;
  g_free (*target);
  *target = g_strdup (text);
}

/* The records of the runs tell it to a later owner, which no longer finds a
   worker that has left in the list. */
static void
set_leaving (shard_t *shard, worker_t *worker, bool leaving)
{
  if (worker->leaving == leaving)
    return;
  worker->leaving = leaving;
  log_line (LOG_LEVEL_INFO, "worker.leaving", worker->address,
            "worker=%s leaving=%d runs=%u", worker->id, leaving,
            worker->runs->len);
  for (guint i = 0; i < worker->runs->len; i++)
    run_set_worker_leaves (
        shard, run_get (shard, g_array_index (worker->runs, handle_t, i)),
        leaving);
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
      /* For the first list only the number of workers is logged, since it may
         have thousands. */
      log_line (shard->worker_list_complete ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG,
                "worker.listed", info->address,
                "worker=%s shard=%u millicores=%u leaving=%d", info->id,
                shard->number, info->millicores, info->leaving);
    }
  worker = worker_get (shard, handle);
  if (!worker->listed)
    worker->hold_due = now;
  if (strcmp (worker->address, info->address) != 0)
    {
      /* Nothing is started at an address where it has not answered. */
      worker_doubt (worker, now);
      worker->hold_due = now;
    }
  if (worker->started_ms && info->started_ms > worker->started_ms)
    {
      /* Nothing is known of the runs of the new incarnation until its next
         list arrives. */
      worker_doubt (worker, now);
      worker->hold_due = now;
    }
  if (!worker->started_ms)
    worker->started_ms = info->started_ms;
  worker->entry_started_ms = info->started_ms;
  worker_set_address (worker, info->address);
  update_text (&worker->service, info->service);
  update_text (&worker->label, info->label);
  update_text (&worker->rack, info->rack);
  update_text (&worker->zone, info->zone);
  zones_update_worker (shard, worker);
  /* A worker that is listed for the first time may have been leaving before.
   */
  if (!worker->leaving)
    worker->leaving_known_at = worker->listed ? now : worker->in_doubt_since;
  set_leaving (shard, worker, info->leaving);
  update_capacity (worker, info);
  worker->listed = true;
  worker->moved = false;
  shard->placement_needed = true;
}

static void
update_capacity (worker_t *worker, const shard_worker_t *info)
{
  if (worker->millicores == info->millicores
      && worker->memory_mb == info->memory_mb
      && worker->accelerators == info->accelerators)
    return;
  if (worker->listed)
    log_line (LOG_LEVEL_INFO, "worker.capacity", worker->address,
              "worker=%s millicores=%u used=%" PRIu64
              " memory_mb=%u used=%" PRIu64 " accelerators=%u used=%" PRIu64,
              worker->id, info->millicores, worker->used_millicores,
              info->memory_mb, worker->used_memory_mb, info->accelerators,
              worker->used_accelerators);
  worker->millicores = info->millicores;
  worker->memory_mb = info->memory_mb;
  worker->accelerators = info->accelerators;
}

/* The runs of the worker may go on: its entry is also removed when it expires,
   as the worker does not reach the store or the store is down. */
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
            "worker=%s runs=%u silent_ms=%" PRId64, id, worker->runs->len,
            usec_to_msec (now - worker->last_answer));
}

void
shard_worker_moved (shard_t *shard, usec_t now, const char *id)
{
  handle_t handle = shard->owned ? worker_find (shard, id) : HANDLE_NONE;

  if (handle == HANDLE_NONE)
    return;
  shard_worker_unlisted (shard, now, id);
  worker_get (shard, handle)->moved = true;
  worker_remove_unlisted (shard);
}

/* @return whether a former owner knew the worker to be leaving */
static bool
was_leaving (const shard_t *shard, const worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));
      const task_t *task = run_task (shard, run);

      if (task
          && (run->copy ? task->copy->worker_leaves : task->worker_leaves))
        return true;
    }
  return false;
}

void
shard_worker_list_read (shard_t *shard, usec_t now, GHashTable *listed)
{
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);

      if (worker->listed && !g_hash_table_contains (listed, worker->id))
        shard_worker_unlisted (shard, now, worker->id);
      else if (!worker->listed)
        worker->leaving |= was_leaving (shard, worker);
    }
  if (!shard->owned || shard->worker_list_complete)
    return;
  shard->worker_list_complete = true;
  log_line (LOG_LEVEL_NOTICE, "workers.loaded", NULL,
            "shard=%u token=%" PRIu64 " workers=%zu took_ms=%" PRId64,
            shard->number, shard->token, table_count (shard->workers),
            usec_to_msec (now - shard->owned_since));
}

void
worker_remove_unlisted (shard_t *shard)
{
  handle_t next;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = next)
    {
      worker_t *worker = worker_get (shard, h);

      next = table_next (shard->workers, h);
      if (worker->listed || worker->runs->len || worker->lapsing
          || (!worker->moved
              && (worker->hold_in_flight || !worker->unanswered_holds)))
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

  return worker->clock_ms
         + passed / USEC_PER_MSEC * 100 / MAX_CLOCK_RATIO_PERCENT;
}

int64_t
worker_clock_since (const worker_t *worker, usec_t then)
{
  usec_t passed = worker->clock_at - then;

  if (passed <= 0)
    return worker_clock (worker, then);
  return worker->clock_ms
         - passed / USEC_PER_MSEC * MAX_CLOCK_RATIO_PERCENT / 100 - 1;
}

void
worker_set_clock (worker_t *worker, usec_t now, int64_t worker_ms)
{
  if (worker->clock_at && worker_ms < worker_clock (worker, now))
    return; /* answers may arrive out of order */
  worker->clock_ms = worker_ms;
  worker->clock_at = now;
}

usec_t
worker_answer_age (const worker_t *worker, usec_t now, int64_t worker_ms)
{
  if (!worker->clock_at || !worker_ms)
    return 0;
  return MAX (worker_clock (worker, now) - worker_ms, 0) * USEC_PER_MSEC;
}

usec_t
worker_lease_limit (usec_t duration)
{
  return duration * MAX_CLOCK_RATIO_PERCENT / 100 + LEASE_EXPIRY_MARGIN;
}

usec_t
worker_max_lease_duration (const shard_t *shard)
{
  return worker_lease_limit (shard->config.lease);
}

void
worker_lease_sent (const shard_t *shard, worker_t *worker, usec_t now,
                   int64_t until_ms)
{
  int64_t left_ms = until_ms - worker_clock (worker, now);
  usec_t expired = now
                   + left_ms * USEC_PER_MSEC * MAX_CLOCK_RATIO_PERCENT / 100
                   + shard->config.stop_limit + LEASE_EXPIRY_MARGIN;

  worker->leases_expired_at = MAX (worker->leases_expired_at, expired);
}

void
worker_record_result (worker_t *worker, usec_t now, job_id_t job, bool failed)
{
  if (!failed)
    {
      worker->failures = 0;
      worker->avoid_until = 0;
      return;
    }
  /* Consecutive failures of one job count once: the job may cause them. */
  if (worker->failures && worker->failed_job == job)
    return;
  worker->failed_job = job;
  worker->failures++;
  if (worker->failures >= FAILURES_BEFORE_AVOID)
    {
      uint32_t doublings = MIN (worker->failures - FAILURES_BEFORE_AVOID, 8U);

      worker->avoid_until = now + MIN (AVOID_FIRST << doublings, AVOID_MAX);
      log_line (LOG_LEVEL_INFO, "worker.avoid", worker->address,
                "worker=%s failures=%u for_ms=%" PRId64, worker->id,
                worker->failures, usec_to_msec (worker->avoid_until - now));
    }
}

void
worker_doubt (worker_t *worker, usec_t now)
{
  if (!worker->in_doubt)
    worker->in_doubt_since = now;
  worker->in_doubt = true;
}

void
worker_avoid (worker_t *worker, usec_t until)
{
  worker->avoid_until = MAX (worker->avoid_until, until);
}

void
worker_reserve (worker_t *worker, const run_t *run)
{
  *(run->best_effort ? &worker->best_effort_millicores
                     : &worker->used_millicores)
      += run->millicores;
  worker->used_memory_mb += run->memory_mb;
  worker->used_accelerators += run->accelerators;
  worker->serving_runs += run->target_ms != 0;
  worker->serving_millicores += run->target_ms ? run->millicores : 0;
  worker->long_running_millicores
      += run->long_running && !run->best_effort ? run->millicores : 0;
  worker->best_effort_runs += run->best_effort;
}

void
worker_release (worker_t *worker, const run_t *run)
{
  *(run->best_effort ? &worker->best_effort_millicores
                     : &worker->used_millicores)
      -= run->millicores;
  worker->used_memory_mb -= run->memory_mb;
  worker->used_accelerators -= run->accelerators;
  worker->serving_runs -= run->target_ms != 0;
  worker->serving_millicores -= run->target_ms ? run->millicores : 0;
  worker->long_running_millicores
      -= run->long_running && !run->best_effort ? run->millicores : 0;
  worker->best_effort_runs -= run->best_effort;
}

void
shard_workers_confirmed (shard_t *shard, usec_t as_of)
{
  if (shard->owned)
    shard->workers_known_at = MAX (shard->workers_known_at, as_of);
}

bool
worker_capacity_is_known (const shard_t *shard, usec_t now,
                          const worker_t *worker)
{
  return now - shard->workers_known_at <= shard->config.workers_max_age
         || shard->ops->rejects_overload (shard->ctx, worker->service);
}

bool
worker_is_over_capacity (const worker_t *worker)
{
  return worker->stray_runs || worker->used_millicores > worker->millicores
         || worker->used_memory_mb > worker->memory_mb
         || worker->used_accelerators > worker->accelerators;
}

/** @file
 * Placement of batch work on workers: the fleet, the choice of a worker,
 * quotas and the quarantine of failing workers.
 *
 * Invariant 1: placing a task never raises the reservations of a worker above
 * its capacity.  Adopted attempts and measured usage may exceed it later; then
 * the worker gets no new tasks, and relief.c throttles or evicts.
 */
#include "placement/placement_private.h"

#include <math.h>
#include <string.h>

/* All workers are checked once in this interval, spread over several ticks. */
#define FLEET_CHECK_INTERVAL (1 * USEC_PER_SEC)
/* Limits the duration of a tick.  Checking 14,000 workers at once delays
   latency-critical requests by up to 9 ms. */
#define MAX_WORKERS_PER_TICK 256U

/* Random samples find free capacity quickly in a fleet that is not full.  All
   workers are scanned only if too few of the samples fit. */
#define RANDOM_SAMPLES 48U
#define MIN_SAMPLED_CANDIDATES 6U
#define MAX_CANDIDATES 12U
/* Bounds the time of a scan over workers that have enough free capacity but
   whose services would be slowed too much.  Each scan starts at a random
   worker. */
#define MAX_EXAMINED_WORKERS 1000U

/* A worker is quarantined after consecutive failures of this many orders. */
#define FAILURES_BEFORE_QUARANTINE 3U
#define MIN_QUARANTINE_TIME (30 * USEC_PER_SEC)
#define MAX_QUARANTINE_DOUBLINGS 4U

/* Weights of the score; the worker with the lowest score is chosen.
   Interference has the highest weight, since a slow service costs more than a
   fragmented worker. */
#define WEIGHT_INTERFERENCE 4.0
#define WEIGHT_SLOWED 2.0
#define WEIGHT_ACCELERATOR_WASTE 2.0
#define WEIGHT_IMBALANCE 0.5
#define WEIGHT_SAME_RACK 0.5
#define WEIGHT_SAME_ZONE 0.25
#define WEIGHT_FAILURE 0.5
/* Services with a larger slowdown raise the score of their worker. */
#define SLOWED_THRESHOLD 1.1
/* Tasks that are not urgent are not placed where the expected slowdown of a
   service beyond 1, caused by all batch work, would exceed this limit. */
#define MAX_EXPECTED_SLOWDOWN 0.25
#define SLOWDOWN_SMOOTHING 0.5

typedef struct
{
  const task_t *task;
  batch_class_t *class_;
  resources_t declared;
  resources_t need;
  worker_t *avoid; /* NULL if none */
  worker_t *best;
  double best_score;
  unsigned candidates;
  unsigned examined;
} search_t;

static void search_sample (placement_t *placement, usec_t now,
                           search_t *search);
static void search_scan (placement_t *placement, usec_t now, search_t *search);
static bool search_done (const search_t *search);
static void examine_worker (placement_t *placement, usec_t now,
                            search_t *search, guint index);
static bool free_resources_fit (const free_resources_t *available,
                                const uint32_t *need);
static bool worker_fits (const search_t *search, usec_t now,
                         const worker_t *worker);
static bool accepts_work (usec_t now, const worker_t *worker);
static bool exceeds_slowdown_limit (const search_t *search,
                                    const worker_t *worker);
static double score_worker (const search_t *search, const worker_t *worker);
static uint32_t count_capable_workers (const placement_t *placement,
                                       const resources_t *need);
static bool resources_fit (const resources_t *need, const resources_t *size);
static void reserve_attempt (placement_t *placement, usec_t now,
                             worker_t *worker, const search_t *search);
static void release_attempt (placement_t *placement,
                             running_attempt_t *running);
static void adjust_class_counts (const running_attempt_t *running, int change);
static void record_failure (placement_t *placement, usec_t now,
                            worker_t *worker, uint64_t order);
static void end_quarantine (placement_t *placement, worker_t *worker);
static void count_shape (placement_t *placement, const resources_t *size,
                         int change);
static local_service_t *local_service_of (worker_t *worker,
                                          service_class_t *service);
static search_t new_search (placement_t *placement, const task_t *task);
static worker_t *find_worker (const placement_t *placement, const char *id);
static uint64_t *get_amount (GHashTable *amounts, const char *name);
static guint hash_attempt (gconstpointer data);
static gboolean equal_attempt (gconstpointer a, gconstpointer b);
static void worker_free (gpointer data);

placement_t *
placement_new (GRand *random, const placement_ops_t *ops, void *ctx)
{
  placement_t *placement = g_new0 (placement_t, 1);

  placement->random = random;
  placement->ops = ops;
  placement->ctx = ctx;
  placement->workers = g_ptr_array_new_with_free_func (worker_free);
  placement->holding_workers = g_ptr_array_new ();
  placement->free = g_array_new (FALSE, TRUE, sizeof (free_resources_t));
  placement->shapes = g_array_new (FALSE, TRUE, sizeof (worker_shape_t));
  placement->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  placement->running
      = g_hash_table_new_full (hash_attempt, equal_attempt, NULL, g_free);
  placement->quotas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->team_used
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->classes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              batch_class_free);
  placement->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               service_class_free);
  placement->tick_due = USEC_NEVER;
  return placement;
}

void
placement_free (placement_t *placement)
{
  if (!placement)
    return;
  g_hash_table_destroy (placement->running);
  g_hash_table_destroy (placement->by_id);
  g_hash_table_destroy (placement->quotas);
  g_hash_table_destroy (placement->team_used);
  g_hash_table_destroy (placement->classes);
  g_hash_table_destroy (placement->services);
  g_ptr_array_free (placement->workers, TRUE);
  g_ptr_array_free (placement->holding_workers, TRUE);
  g_array_free (placement->free, TRUE);
  g_array_free (placement->shapes, TRUE);
  g_free (placement);
}

handle_t
placement_set_worker (placement_t *placement, usec_t now,
                      const worker_info_t *info)
{
  worker_t *worker = find_worker (placement, info->id);
  free_resources_t none = { { 0 } };

  if (worker)
    count_shape (placement, &worker->size, -1);
  else
    {
      worker = g_new0 (worker_t, 1);
      worker->id = g_strdup (info->id);
      worker->index = placement->workers->len;
      worker->running = g_ptr_array_new ();
      worker->services = g_array_new (FALSE, TRUE, sizeof (local_service_t));
      worker->overloaded_since = USEC_NEVER;
      worker->recovered_since = USEC_NEVER;
      worker->last_relief = USEC_NEVER / 2;
      g_ptr_array_add (placement->workers, worker);
      g_array_append_val (placement->free, none);
      g_hash_table_insert (placement->by_id, worker->id, worker);
    }
  worker->zone = info->zone;
  worker->rack = info->rack;
  worker->size = (resources_t){ { info->millicores, info->memory_mb,
                                  info->accelerators } };
  worker->leaving = info->leaving;
  count_shape (placement, &worker->size, 1);
  placement_update_free (placement, now, worker);
  return worker->index + 1;
}

void
placement_remove_worker (placement_t *placement, const char *id)
{
  worker_t *worker = find_worker (placement, id);
  worker_t *last;

  if (!worker)
    return;
  while (worker->running->len)
    release_attempt (placement, (running_attempt_t *)g_ptr_array_index (
                                    worker->running, 0));
  end_quarantine (placement, worker);
  count_shape (placement, &worker->size, -1);
  g_hash_table_remove (placement->by_id, id);
  g_ptr_array_remove_fast (placement->holding_workers, worker);
  last = (worker_t *)g_ptr_array_index (placement->workers,
                                        placement->workers->len - 1);
  last->index = worker->index;
  g_array_remove_index_fast (placement->free, worker->index);
  g_ptr_array_remove_index_fast (placement->workers, worker->index);
}

void
placement_set_quota (placement_t *placement, const char *team,
                     uint64_t millicores)
{
  *get_amount (placement->quotas, team) = millicores;
}

place_result_t
placement_choose (placement_t *placement, usec_t now, const task_t *task,
                  const char **worker)
{
  search_t search = new_search (placement, task);
  uint64_t quota = *get_amount (placement->quotas, task->team);
  resources_t min_need = search.need;
  uint32_t capable_workers;

  for (int i = 0; i < DIMENSIONS; i++)
    min_need.amount[i] = MIN (min_need.amount[i], search.declared.amount[i]);
  capable_workers = count_capable_workers (placement, &min_need);
  if (!capable_workers)
    return PLACE_NEVER_FITS;
  if (search.avoid && capable_workers == 1
      && resources_fit (&min_need, &search.avoid->size))
    search.avoid = NULL;
  if (quota
      && *get_amount (placement->team_used, task->team) + task->millicores
             > quota)
    return PLACE_OVER_QUOTA;
  search_sample (placement, now, &search);
  if (search.candidates < MIN_SAMPLED_CANDIDATES)
    search_scan (placement, now, &search);
  if (!search.best && task->urgent)
    relief_preempt (placement, now, task->order, &search.need);
  if (!search.best)
    return PLACE_NO_CAPACITY;
  if (search.best->held_for_order == task->order)
    search.best->held_until = now;
  reserve_attempt (placement, now, search.best, &search);
  *worker = search.best->id;
  return PLACE_OK;
}

void
placement_adopt (placement_t *placement, usec_t now, const char *worker,
                 const task_t *task)
{
  worker_t *target = find_worker (placement, worker);
  attempt_key_t key = { task->order, task->attempt };
  search_t search = new_search (placement, task);

  if (target && !g_hash_table_contains (placement->running, &key))
    reserve_attempt (placement, now, target, &search);
}

void
placement_attempt_ended (placement_t *placement, usec_t now, const char *id,
                         uint64_t order, uint64_t attempt, bool ok,
                         usec_t run_time)
{
  attempt_key_t key = { order, attempt };
  running_attempt_t *running
      = (running_attempt_t *)g_hash_table_lookup (placement->running, &key);
  worker_t *worker = find_worker (placement, id);

  if (running)
    release_attempt (placement, running);
  if (!worker)
    return;
  if (!ok)
    record_failure (placement, now, worker, order);
  else if (run_time > 0)
    {
      worker->consecutive_failures = 0;
      worker->consecutive_quarantines = 0;
      end_quarantine (placement, worker);
    }
  placement_update_free (placement, now, worker);
}

void
placement_record_usage (placement_t *placement, usec_t now, const char *id,
                        uint64_t order, uint64_t attempt, uint64_t millicores,
                        uint64_t memory_mb)
{
  attempt_key_t key = { order, attempt };
  running_attempt_t *running
      = (running_attempt_t *)g_hash_table_lookup (placement->running, &key);
  const uint64_t measured[MEASURED_DIMENSIONS] = { millicores, memory_mb };
  resources_t before;

  (void)id;
  if (!running || (!millicores && !memory_mb))
    return;
  before = running->reserved;
  estimate_record_usage (running, now, measured);
  for (int i = 0; i < DIMENSIONS; i++)
    running->worker->used.amount[i]
        += running->reserved.amount[i] - before.amount[i];
  placement_update_free (placement, now, running->worker);
}

void
placement_record_slowdown (placement_t *placement, usec_t now, const char *id,
                           const char *service_class, uint64_t slowdown_milli)
{
  worker_t *worker = find_worker (placement, id);
  double slowdown = (double)slowdown_milli / 1000.0;
  local_service_t *local_service;

  if (!worker)
    return;
  local_service = local_service_of (
      worker, placement_service (placement, service_class));
  local_service->slowdown
      += SLOWDOWN_SMOOTHING * (slowdown - local_service->slowdown);
  local_service->reported_at = now;
  estimate_learn_slowdown (local_service->service, now, worker, slowdown);
}

uint64_t
placement_free_millicores (const placement_t *placement)
{
  uint64_t free_cores = 0;

  for (guint i = 0; i < placement->free->len; i++)
    free_cores
        += g_array_index (placement->free, free_resources_t, i).amount[CORES];
  return free_cores;
}

usec_t
placement_tick (placement_t *placement, usec_t now)
{
  guint count = placement->workers->len;
  guint slice = MIN (count, MAX_WORKERS_PER_TICK);

  if (now < placement->tick_due)
    return placement->tick_due;
  for (guint i = 0; i < slice; i++)
    {
      worker_t *worker = (worker_t *)g_ptr_array_index (
          placement->workers, placement->next_checked++ % count);

      estimate_worker_slowdowns (worker);
      relief_tick (placement, now, worker);
      placement_update_free (placement, now, worker);
    }
  placement->tick_due = now
                        + (slice ? FLEET_CHECK_INTERVAL * slice / count
                                 : FLEET_CHECK_INTERVAL);
  return placement->tick_due;
}

json_t *
placement_dump (const placement_t *placement)
{
  json_t *workers = json_array ();
  json_t *classes = json_object ();
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < placement->workers->len; i++)
    {
      const worker_t *worker
          = (const worker_t *)g_ptr_array_index (placement->workers, i);

      json_array_append_new (
          workers,
          json_pack ("{s:s, s:I, s:I, s:I, s:b, s:b, s:I}", "id", worker->id,
                     "millicores_used", (json_int_t)worker->used.amount[CORES],
                     "memory_mb_used", (json_int_t)worker->used.amount[MEMORY],
                     "accelerators_used",
                     (json_int_t)worker->used.amount[ACCELERATORS], "leaving",
                     worker->leaving, "set_aside", worker->quarantined,
                     "running", (json_int_t)worker->running->len));
    }
  g_hash_table_iter_init (&iter, placement->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const batch_class_t *class_ = (const batch_class_t *)value;

      json_object_set_new (classes, class_->name,
                           json_pack ("{s:f, s:f, s:f}", "cores_ratio",
                                      class_->ratio[CORES].mean,
                                      "memory_ratio",
                                      class_->ratio[MEMORY].mean, "samples",
                                      class_->ratio[CORES].samples));
    }
  return json_pack ("{s:o, s:o}", "workers", workers, "classes", classes);
}

void
placement_update_free (placement_t *placement, usec_t now, worker_t *worker)
{
  free_resources_t *available
      = &g_array_index (placement->free, free_resources_t, worker->index);

  for (int i = 0; i < DIMENSIONS; i++)
    available->amount[i]
        = accepts_work (now, worker)
                  && worker->used.amount[i] < worker->size.amount[i]
              ? (uint32_t)MIN (worker->size.amount[i] - worker->used.amount[i],
                               UINT32_MAX)
              : 0;
}

static void
search_sample (placement_t *placement, usec_t now, search_t *search)
{
  gint32 count = (gint32)placement->workers->len;

  for (unsigned i = 0;
       i < RANDOM_SAMPLES && search->candidates < MAX_CANDIDATES; i++)
    examine_worker (placement, now, search,
                    (guint)g_rand_int_range (placement->random, 0, count));
}

static void
search_scan (placement_t *placement, usec_t now, search_t *search)
{
  const free_resources_t *available
      = (const free_resources_t *)(void *)placement->free->data;
  guint count = placement->workers->len;
  guint first = (guint)g_rand_int_range (placement->random, 0, (gint32)count);
  uint32_t need[DIMENSIONS];

  for (int i = 0; i < DIMENSIONS; i++)
    need[i] = (uint32_t)MIN (search->need.amount[i], UINT32_MAX);
  for (guint i = first; i < count && !search_done (search); i++)
    if (free_resources_fit (&available[i], need))
      examine_worker (placement, now, search, i);
  for (guint i = 0; i < first && !search_done (search); i++)
    if (free_resources_fit (&available[i], need))
      examine_worker (placement, now, search, i);
}

static bool
search_done (const search_t *search)
{
  return search->candidates >= MAX_CANDIDATES
         || search->examined >= MAX_EXAMINED_WORKERS;
}

static void
examine_worker (placement_t *placement, usec_t now, search_t *search,
                guint index)
{
  worker_t *worker = (worker_t *)g_ptr_array_index (placement->workers, index);
  double score;

  search->examined++;
  if (worker == search->avoid || !worker_fits (search, now, worker))
    return;
  search->candidates++;
  score = score_worker (search, worker);
  if (search->best && score >= search->best_score)
    return;
  search->best = worker;
  search->best_score = score;
}

static bool
free_resources_fit (const free_resources_t *available, const uint32_t *need)
{
  return (available->amount[CORES] >= need[CORES])
         & (available->amount[MEMORY] >= need[MEMORY])
         & (available->amount[ACCELERATORS] >= need[ACCELERATORS]);
}

static bool
worker_fits (const search_t *search, usec_t now, const worker_t *worker)
{
  bool held = worker->held_until > now
              && worker->held_for_order != search->task->order;

  if (!accepts_work (now, worker))
    return false;
  for (int i = 0; i < DIMENSIONS; i++)
    if (worker->used.amount[i] + (held ? worker->held_resources.amount[i] : 0)
            + search->need.amount[i]
        > worker->size.amount[i])
      return false;
  return search->task->urgent || !exceeds_slowdown_limit (search, worker);
}

static bool
exceeds_slowdown_limit (const search_t *search, const worker_t *worker)
{
  double share = (double)search->need.amount[CORES]
                 / (double)MAX (worker->size.amount[CORES], 1);

  for (guint i = 0; i < worker->services->len; i++)
    {
      const local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);
      double added
          = estimate_slowdown (local_service->service, search->class_, share);

      if (added > 0.0
          && local_service->expected_excess + added > MAX_EXPECTED_SLOWDOWN)
        return true;
    }
  return false;
}

static bool
accepts_work (usec_t now, const worker_t *worker)
{
  if (worker->leaving)
    return false;
  return !worker->quarantined
         || (now >= worker->quarantined_until && !worker->running->len);
}

/* Best fit, with penalties for interference, imbalance, wasted accelerators,
   concentration in a rack or zone, and recent failures. */
static double
score_worker (const search_t *search, const worker_t *worker)
{
  double free_share[MEASURED_DIMENSIONS];
  double share = (double)search->need.amount[CORES]
                 / (double)MAX (worker->size.amount[CORES], 1);
  double racks = (double)g_hash_table_size (search->class_->in_rack) + 1.0;
  double sum = WEIGHT_FAILURE * worker->consecutive_failures;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    free_share[i] = (double)(worker->size.amount[i] - worker->used.amount[i]
                             - search->need.amount[i])
                    / (double)MAX (worker->size.amount[i], 1);
  sum += (free_share[CORES] + free_share[MEMORY]) / 2.0
         + WEIGHT_IMBALANCE * fabs (free_share[CORES] - free_share[MEMORY]);
  if (worker->size.amount[ACCELERATORS] && !search->need.amount[ACCELERATORS])
    sum += WEIGHT_ACCELERATOR_WASTE;
  for (guint i = 0; i < worker->services->len; i++)
    {
      const local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);

      sum += WEIGHT_INTERFERENCE
             * estimate_slowdown (local_service->service, search->class_,
                                  share);
      if (local_service->slowdown > SLOWED_THRESHOLD)
        sum += WEIGHT_SLOWED * (local_service->slowdown - 1.0);
    }
  sum += WEIGHT_SAME_RACK
         * GPOINTER_TO_UINT (g_hash_table_lookup (
             search->class_->in_rack, GUINT_TO_POINTER (worker->rack)))
         / racks;
  sum += WEIGHT_SAME_ZONE
         * GPOINTER_TO_UINT (g_hash_table_lookup (
             search->class_->in_zone, GUINT_TO_POINTER (worker->zone)))
         / racks;
  return sum;
}

/* Counts the workers, including leaving ones, with a total capacity of at
   least NEED. */
static uint32_t
count_capable_workers (const placement_t *placement, const resources_t *need)
{
  uint32_t count = 0;

  for (guint i = 0; i < placement->shapes->len; i++)
    {
      const worker_shape_t *shape
          = &g_array_index (placement->shapes, worker_shape_t, i);

      if (resources_fit (need, &shape->size))
        count += shape->count;
    }
  return count;
}

static bool
resources_fit (const resources_t *need, const resources_t *size)
{
  for (int i = 0; i < DIMENSIONS; i++)
    if (need->amount[i] > size->amount[i])
      return false;
  return true;
}

static void
reserve_attempt (placement_t *placement, usec_t now, worker_t *worker,
                 const search_t *search)
{
  const task_t *task = search->task;
  running_attempt_t *running = g_new0 (running_attempt_t, 1);

  running->key = (attempt_key_t){ task->order, task->attempt };
  running->worker = worker;
  running->class_ = search->class_;
  running->team_used = get_amount (placement->team_used, task->team);
  running->quota_millicores = task->millicores;
  running->declared = search->declared;
  running->reserved = search->need;
  running->placed_at = now;
  running->resumable = task->resumable;
  running->urgent = task->urgent;
  for (int i = 0; i < DIMENSIONS; i++)
    worker->used.amount[i] += running->reserved.amount[i];
  *running->team_used += running->quota_millicores;
  adjust_class_counts (running, 1);
  g_ptr_array_add (worker->running, running);
  g_hash_table_replace (placement->running, running, running);
  for (guint i = 0; i < worker->services->len; i++)
    {
      local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);

      local_service->expected_excess += estimate_slowdown (
          local_service->service, running->class_,
          (double)running->reserved.amount[CORES]
              / (double)MAX (worker->size.amount[CORES], 1));
    }
  placement_update_free (placement, now, worker);
}

/* The caller updates the free resources of the worker. */
static void
release_attempt (placement_t *placement, running_attempt_t *running)
{
  for (int i = 0; i < DIMENSIONS; i++)
    running->worker->used.amount[i] -= running->reserved.amount[i];
  *running->team_used -= running->quota_millicores;
  adjust_class_counts (running, -1);
  g_ptr_array_remove (running->worker->running, running);
  g_hash_table_remove (placement->running, running);
}

static void
adjust_class_counts (const running_attempt_t *running, int change)
{
  const struct
  {
    GHashTable *counts;
    uint32_t key;
  } places[] = { { running->class_->in_rack, running->worker->rack },
                 { running->class_->in_zone, running->worker->zone } };

  for (size_t i = 0; i < G_N_ELEMENTS (places); i++)
    {
      gpointer key = GUINT_TO_POINTER (places[i].key);
      guint count
          = GPOINTER_TO_UINT (g_hash_table_lookup (places[i].counts, key));

      count += (guint)change;
      if (count)
        g_hash_table_insert (places[i].counts, key, GUINT_TO_POINTER (count));
      else
        g_hash_table_remove (places[i].counts, key);
    }
}

/* Consecutive failures of one order count once, since the order may be the
   cause.  Only the failure of an attempt after quarantined_until extends the
   quarantine, not that of an attempt that was still running. */
static void
record_failure (placement_t *placement, usec_t now, worker_t *worker,
                uint64_t order)
{
  if (worker->consecutive_failures && worker->last_failed_order == order)
    return;
  worker->last_failed_order = order;
  worker->consecutive_failures++;
  if (worker->consecutive_failures < FAILURES_BEFORE_QUARANTINE
      || (worker->quarantined && now < worker->quarantined_until))
    return;
  if (!worker->quarantined
      && (placement->quarantined_count + 1) * 2 > placement->workers->len)
    return;
  if (!worker->quarantined)
    placement->quarantined_count++;
  worker->quarantined = true;
  worker->quarantined_until
      = now
        + MIN_QUARANTINE_TIME
              * (1LL << MIN (worker->consecutive_quarantines,
                             MAX_QUARANTINE_DOUBLINGS));
  worker->consecutive_quarantines++;
}

static void
end_quarantine (placement_t *placement, worker_t *worker)
{
  if (worker->quarantined)
    placement->quarantined_count--;
  worker->quarantined = false;
}

static void
count_shape (placement_t *placement, const resources_t *size, int change)
{
  worker_shape_t added = { *size, 1 };

  for (guint i = 0; i < placement->shapes->len; i++)
    {
      worker_shape_t *shape
          = &g_array_index (placement->shapes, worker_shape_t, i);

      if (memcmp (&shape->size, size, sizeof *size) != 0)
        continue;
      shape->count += (uint32_t)change;
      if (!shape->count)
        g_array_remove_index_fast (placement->shapes, i);
      return;
    }
  g_array_append_val (placement->shapes, added);
}

static local_service_t *
local_service_of (worker_t *worker, service_class_t *service)
{
  local_service_t added = { service, 1.0, 0.0, 0 };

  for (guint i = 0; i < worker->services->len; i++)
    {
      local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);

      if (local_service->service == service)
        return local_service;
    }
  g_array_append_val (worker->services, added);
  return &g_array_index (worker->services, local_service_t,
                         worker->services->len - 1);
}

static search_t
new_search (placement_t *placement, const task_t *task)
{
  search_t search = { .task = task };

  search.class_ = placement_class (placement, task->class_name);
  search.declared = (resources_t){ { task->millicores, task->memory_mb,
                                     task->accelerators } };
  search.need = estimate_need (placement, search.class_, &search.declared);
  search.avoid = task->avoid ? find_worker (placement, task->avoid) : NULL;
  return search;
}

static worker_t *
find_worker (const placement_t *placement, const char *id)
{
  return (worker_t *)g_hash_table_lookup (placement->by_id, id);
}

static uint64_t *
get_amount (GHashTable *amounts, const char *name)
{
  uint64_t *amount = (uint64_t *)g_hash_table_lookup (amounts, name);

  if (!amount)
    {
      amount = g_new0 (uint64_t, 1);
      g_hash_table_insert (amounts, g_strdup (name), amount);
    }
  return amount;
}

static guint
hash_attempt (gconstpointer data)
{
  const attempt_key_t *key = (const attempt_key_t *)data;

  return (guint)(key->order * 31 + key->attempt);
}

static gboolean
equal_attempt (gconstpointer a, gconstpointer b)
{
  const attempt_key_t *first = (const attempt_key_t *)a;
  const attempt_key_t *second = (const attempt_key_t *)b;

  return first->order == second->order && first->attempt == second->attempt;
}

static void
worker_free (gpointer data)
{
  worker_t *worker = (worker_t *)data;

  g_ptr_array_free (worker->running, TRUE);
  g_array_free (worker->services, TRUE);
  g_free (worker->id);
  g_free (worker);
}

/** @file
 * Placement of batch work on workers: the fleet, the choice of a worker,
 * quotas, workers that fail everything.
 *
 * Invariant 1: what is reserved on a worker never exceeds it when a task is
 * placed.  Adopted attempts and measured use may exceed it later; then it
 * gets nothing new and relief.c acts.
 */
#include "placement/placement_private.h"

#include <math.h>
#include <string.h>

#define TICK_INTERVAL (1 * USEC_PER_SEC)
/* Workers looked at in one tick.  All 14,000 at once took up to 9 ms, during
   which latency-critical requests would wait. */
#define TICK_SLICE 256U

/* Random samples find room quickly in a fleet that is not full; only if they
   do not are all workers scanned. */
#define SAMPLES 48U
#define ENOUGH_SAMPLED 6U
#define MAX_CANDIDATES 12U
/* Bounds the time of a scan past workers that have room but whose services
   would be slowed too much; the next one begins elsewhere. */
#define MAX_CONSIDERED 1000U

/* A worker on which three orders in a row failed is set aside. */
#define FAILURES_BEFORE_ASIDE 3U
#define ASIDE_MIN (30 * USEC_PER_SEC)
#define ASIDE_DOUBLINGS 4U

/* Weights of the score; the smallest score is chosen.  Interference counts
   most, since a late service costs more than a fragmented worker. */
#define WEIGHT_INTERFERENCE 4.0
#define WEIGHT_SLOWED 2.0
#define WEIGHT_ACCELERATOR_WASTE 2.0
#define WEIGHT_IMBALANCE 0.5
#define WEIGHT_SAME_RACK 0.5
#define WEIGHT_SAME_ZONE 0.25
#define WEIGHT_FAILURE 0.5
#define SLOWED 1.1
/* Work that is not urgent is kept off workers whose services it would slow by
   more than this in all. */
#define MAX_EXPECTED_SLOWDOWN 0.25
#define SLOWDOWN_SMOOTHING 0.5

typedef struct
{
  const task_t *task;
  batch_class_t *class_;
  room_t declared;
  room_t need;
  worker_t *avoid; /* NULL for none */
  worker_t *best;
  double best_score;
  unsigned candidates;
  unsigned considered;
} search_t;

static void search_sample (placement_t *placement, usec_t now,
                           search_t *search);
static void search_scan (placement_t *placement, usec_t now, search_t *search);
static bool search_done (const search_t *search);
static void consider (placement_t *placement, usec_t now, search_t *search,
                      guint index);
static bool packed_fits (const free_t *open, const uint32_t *need);
static bool fits (const search_t *search, usec_t now, const worker_t *worker);
static bool takes_work (usec_t now, const worker_t *worker);
static bool slows_too_much (const search_t *search, const worker_t *worker);
static double score (const search_t *search, const worker_t *worker);
static uint32_t holders (const placement_t *placement, const room_t *need);
static bool within (const room_t *need, const room_t *size);
static void reserve (placement_t *placement, usec_t now, worker_t *worker,
                     const search_t *search);
static void release (placement_t *placement, running_t *running);
static void count_class (const running_t *running, int change);
static void note_failure (placement_t *placement, usec_t now, worker_t *worker,
                          uint64_t order);
static void end_set_aside (placement_t *placement, worker_t *worker);
static void kind_change (placement_t *placement, const room_t *size,
                         int change);
static presence_t *presence_of (worker_t *worker, service_class_t *service);
static search_t search_of (placement_t *placement, const task_t *task);
static worker_t *find_worker (const placement_t *placement, const char *id);
static uint64_t *amount_of (GHashTable *amounts, const char *name);
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
  placement->holding = g_ptr_array_new ();
  placement->free = g_array_new (FALSE, TRUE, sizeof (free_t));
  placement->kinds = g_array_new (FALSE, TRUE, sizeof (kind_t));
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
  g_ptr_array_free (placement->holding, TRUE);
  g_array_free (placement->free, TRUE);
  g_array_free (placement->kinds, TRUE);
  g_free (placement);
}

handle_t
placement_set_worker (placement_t *placement, usec_t now,
                      const worker_info_t *info)
{
  worker_t *worker = find_worker (placement, info->id);
  free_t none = { { 0 } };

  if (worker)
    kind_change (placement, &worker->size, -1);
  else
    {
      worker = g_new0 (worker_t, 1);
      worker->id = g_strdup (info->id);
      worker->index = placement->workers->len;
      worker->running = g_ptr_array_new ();
      worker->services = g_array_new (FALSE, TRUE, sizeof (presence_t));
      worker->hot_since = USEC_NEVER;
      worker->cool_since = USEC_NEVER;
      worker->relieved_at = USEC_NEVER / 2;
      g_ptr_array_add (placement->workers, worker);
      g_array_append_val (placement->free, none);
      g_hash_table_insert (placement->by_id, worker->id, worker);
    }
  worker->zone = info->zone;
  worker->rack = info->rack;
  worker->size
      = (room_t){ { info->millicores, info->memory_mb, info->accelerators } };
  worker->leaving = info->leaving;
  kind_change (placement, &worker->size, 1);
  placement_refresh (placement, now, worker);
  return worker->index + 1;
}

void
placement_remove_worker (placement_t *placement, const char *id)
{
  worker_t *worker = find_worker (placement, id);
  worker_t *moved;

  if (!worker)
    return;
  while (worker->running->len)
    release (placement, (running_t *)g_ptr_array_index (worker->running, 0));
  end_set_aside (placement, worker);
  kind_change (placement, &worker->size, -1);
  g_hash_table_remove (placement->by_id, id);
  g_ptr_array_remove_fast (placement->holding, worker);
  moved = (worker_t *)g_ptr_array_index (placement->workers,
                                         placement->workers->len - 1);
  moved->index = worker->index;
  g_array_remove_index_fast (placement->free, worker->index);
  g_ptr_array_remove_index_fast (placement->workers, worker->index);
}

void
placement_quota (placement_t *placement, const char *team, uint64_t millicores)
{
  *amount_of (placement->quotas, team) = millicores;
}

place_result_t
placement_choose (placement_t *placement, usec_t now, const task_t *task,
                  const char **worker)
{
  search_t search = search_of (placement, task);
  uint64_t quota = *amount_of (placement->quotas, task->team);
  room_t least = search.need;
  uint32_t possible;

  for (int i = 0; i < DIMENSIONS; i++)
    least.of[i] = MIN (least.of[i], search.declared.of[i]);
  possible = holders (placement, &least);
  if (!possible)
    return PLACE_NEVER_FITS;
  if (search.avoid && possible == 1 && within (&least, &search.avoid->size))
    search.avoid = NULL;
  if (quota
      && *amount_of (placement->team_used, task->team) + task->millicores
             > quota)
    return PLACE_OVER_QUOTA;
  search_sample (placement, now, &search);
  if (search.candidates < ENOUGH_SAMPLED)
    search_scan (placement, now, &search);
  if (!search.best && task->urgent)
    relief_make_room (placement, now, task->order, &search.need);
  if (!search.best)
    return PLACE_NO_ROOM;
  if (search.best->held_for == task->order)
    search.best->held_until = now;
  reserve (placement, now, search.best, &search);
  *worker = search.best->id;
  return PLACE_OK;
}

void
placement_adopt (placement_t *placement, usec_t now, const char *worker,
                 const task_t *task)
{
  worker_t *holder = find_worker (placement, worker);
  attempt_key_t key = { task->order, task->attempt };
  search_t search = search_of (placement, task);

  if (holder && !g_hash_table_contains (placement->running, &key))
    reserve (placement, now, holder, &search);
}

void
placement_attempt_ended (placement_t *placement, usec_t now, const char *id,
                         uint64_t order, uint64_t attempt, bool ok,
                         usec_t run_time)
{
  attempt_key_t key = { order, attempt };
  running_t *running
      = (running_t *)g_hash_table_lookup (placement->running, &key);
  worker_t *worker = find_worker (placement, id);

  if (running)
    release (placement, running);
  if (!worker)
    return;
  if (!ok)
    note_failure (placement, now, worker, order);
  else if (run_time > 0)
    {
      worker->failures = 0;
      worker->set_asides = 0;
      end_set_aside (placement, worker);
    }
  placement_refresh (placement, now, worker);
}

void
placement_record_usage (placement_t *placement, usec_t now, const char *id,
                        uint64_t order, uint64_t attempt, uint64_t millicores,
                        uint64_t memory_mb)
{
  attempt_key_t key = { order, attempt };
  running_t *running
      = (running_t *)g_hash_table_lookup (placement->running, &key);
  const uint64_t measured[MEASURED_DIMENSIONS] = { millicores, memory_mb };
  room_t before;

  (void)id;
  if (!running || (!millicores && !memory_mb))
    return;
  before = running->reserved;
  estimate_measured (running, now, measured);
  for (int i = 0; i < DIMENSIONS; i++)
    running->worker->used.of[i] += running->reserved.of[i] - before.of[i];
  placement_refresh (placement, now, running->worker);
}

void
placement_record_slowdown (placement_t *placement, usec_t now, const char *id,
                           const char *service_class, uint64_t slowdown_milli)
{
  worker_t *worker = find_worker (placement, id);
  double slowdown = (double)slowdown_milli / 1000.0;
  presence_t *presence;

  if (!worker)
    return;
  presence
      = presence_of (worker, placement_service (placement, service_class));
  presence->slowdown += SLOWDOWN_SMOOTHING * (slowdown - presence->slowdown);
  presence->at = now;
  interference_learn (presence->service, now, worker, slowdown);
}

uint64_t
placement_free_millicores (const placement_t *placement)
{
  uint64_t free_cores = 0;

  for (guint i = 0; i < placement->free->len; i++)
    free_cores += g_array_index (placement->free, free_t, i).of[CORES];
  return free_cores;
}

usec_t
placement_tick (placement_t *placement, usec_t now)
{
  guint count = placement->workers->len;
  guint slice = MIN (count, TICK_SLICE);

  if (now < placement->tick_due)
    return placement->tick_due;
  for (guint i = 0; i < slice; i++)
    {
      worker_t *worker = (worker_t *)g_ptr_array_index (
          placement->workers, placement->tick_next++ % count);

      interference_expect (worker);
      relief_tick (placement, now, worker);
      placement_refresh (placement, now, worker);
    }
  placement->tick_due
      = now + (slice ? TICK_INTERVAL * slice / count : TICK_INTERVAL);
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
                     "millicores_used", (json_int_t)worker->used.of[CORES],
                     "memory_mb_used", (json_int_t)worker->used.of[MEMORY],
                     "accelerators_used",
                     (json_int_t)worker->used.of[ACCELERATORS], "leaving",
                     worker->leaving, "set_aside", worker->set_aside,
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
placement_refresh (placement_t *placement, usec_t now, worker_t *worker)
{
  free_t *open = &g_array_index (placement->free, free_t, worker->index);

  for (int i = 0; i < DIMENSIONS; i++)
    open->of[i]
        = takes_work (now, worker) && worker->used.of[i] < worker->size.of[i]
              ? (uint32_t)MIN (worker->size.of[i] - worker->used.of[i],
                               UINT32_MAX)
              : 0;
}

static void
search_sample (placement_t *placement, usec_t now, search_t *search)
{
  gint32 count = (gint32)placement->workers->len;

  for (unsigned i = 0; i < SAMPLES && search->candidates < MAX_CANDIDATES; i++)
    consider (placement, now, search,
              (guint)g_rand_int_range (placement->random, 0, count));
}

static void
search_scan (placement_t *placement, usec_t now, search_t *search)
{
  const free_t *open = (const free_t *)(void *)placement->free->data;
  guint count = placement->workers->len;
  guint first = (guint)g_rand_int_range (placement->random, 0, (gint32)count);
  uint32_t need[DIMENSIONS];

  for (int i = 0; i < DIMENSIONS; i++)
    need[i] = (uint32_t)MIN (search->need.of[i], UINT32_MAX);
  for (guint i = first; i < count && !search_done (search); i++)
    if (packed_fits (&open[i], need))
      consider (placement, now, search, i);
  for (guint i = 0; i < first && !search_done (search); i++)
    if (packed_fits (&open[i], need))
      consider (placement, now, search, i);
}

static bool
search_done (const search_t *search)
{
  return search->candidates >= MAX_CANDIDATES
         || search->considered >= MAX_CONSIDERED;
}

static void
consider (placement_t *placement, usec_t now, search_t *search, guint index)
{
  worker_t *worker = (worker_t *)g_ptr_array_index (placement->workers, index);
  double value;

  search->considered++;
  if (worker == search->avoid || !fits (search, now, worker))
    return;
  search->candidates++;
  value = score (search, worker);
  if (search->best && value >= search->best_score)
    return;
  search->best = worker;
  search->best_score = value;
}

static bool
packed_fits (const free_t *open, const uint32_t *need)
{
  return (open->of[CORES] >= need[CORES]) & (open->of[MEMORY] >= need[MEMORY])
         & (open->of[ACCELERATORS] >= need[ACCELERATORS]);
}

static bool
fits (const search_t *search, usec_t now, const worker_t *worker)
{
  bool held
      = worker->held_until > now && worker->held_for != search->task->order;

  if (!takes_work (now, worker))
    return false;
  for (int i = 0; i < DIMENSIONS; i++)
    if (worker->used.of[i] + (held ? worker->held.of[i] : 0)
            + search->need.of[i]
        > worker->size.of[i])
      return false;
  return search->task->urgent || !slows_too_much (search, worker);
}

static bool
slows_too_much (const search_t *search, const worker_t *worker)
{
  double share = (double)search->need.of[CORES]
                 / (double)MAX (worker->size.of[CORES], 1);

  for (guint i = 0; i < worker->services->len; i++)
    {
      const presence_t *presence
          = &g_array_index (worker->services, presence_t, i);
      double more = interference_of (presence->service, search->class_, share);

      if (more > 0.0 && presence->expected + more > MAX_EXPECTED_SLOWDOWN)
        return true;
    }
  return false;
}

static bool
takes_work (usec_t now, const worker_t *worker)
{
  if (worker->leaving)
    return false;
  return !worker->set_aside
         || (now >= worker->aside_until && !worker->running->len);
}

/* Best fit, corrected by what the fit costs elsewhere. */
static double
score (const search_t *search, const worker_t *worker)
{
  double left[MEASURED_DIMENSIONS];
  double share = (double)search->need.of[CORES]
                 / (double)MAX (worker->size.of[CORES], 1);
  double running = (double)g_hash_table_size (search->class_->in_rack) + 1.0;
  double sum = WEIGHT_FAILURE * worker->failures;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    left[i] = (double)(worker->size.of[i] - worker->used.of[i]
                       - search->need.of[i])
              / (double)MAX (worker->size.of[i], 1);
  sum += (left[CORES] + left[MEMORY]) / 2.0
         + WEIGHT_IMBALANCE * fabs (left[CORES] - left[MEMORY]);
  if (worker->size.of[ACCELERATORS] && !search->need.of[ACCELERATORS])
    sum += WEIGHT_ACCELERATOR_WASTE;
  for (guint i = 0; i < worker->services->len; i++)
    {
      const presence_t *presence
          = &g_array_index (worker->services, presence_t, i);

      sum += WEIGHT_INTERFERENCE
             * interference_of (presence->service, search->class_, share);
      if (presence->slowdown > SLOWED)
        sum += WEIGHT_SLOWED * (presence->slowdown - 1.0);
    }
  sum += WEIGHT_SAME_RACK
         * GPOINTER_TO_UINT (g_hash_table_lookup (
             search->class_->in_rack, GUINT_TO_POINTER (worker->rack)))
         / running;
  sum += WEIGHT_SAME_ZONE
         * GPOINTER_TO_UINT (g_hash_table_lookup (
             search->class_->in_zone, GUINT_TO_POINTER (worker->zone)))
         / running;
  return sum;
}

/* Workers, leaving ones included, that could hold the need if empty. */
static uint32_t
holders (const placement_t *placement, const room_t *need)
{
  uint32_t count = 0;

  for (guint i = 0; i < placement->kinds->len; i++)
    {
      const kind_t *kind = &g_array_index (placement->kinds, kind_t, i);

      if (within (need, &kind->size))
        count += kind->count;
    }
  return count;
}

static bool
within (const room_t *need, const room_t *size)
{
  for (int i = 0; i < DIMENSIONS; i++)
    if (need->of[i] > size->of[i])
      return false;
  return true;
}

static void
reserve (placement_t *placement, usec_t now, worker_t *worker,
         const search_t *search)
{
  const task_t *task = search->task;
  running_t *running = g_new0 (running_t, 1);

  running->key = (attempt_key_t){ task->order, task->attempt };
  running->worker = worker;
  running->class_ = search->class_;
  running->team_used = amount_of (placement->team_used, task->team);
  running->charged = task->millicores;
  running->declared = search->declared;
  running->reserved = search->need;
  running->since = now;
  running->resumable = task->resumable;
  running->urgent = task->urgent;
  for (int i = 0; i < DIMENSIONS; i++)
    worker->used.of[i] += running->reserved.of[i];
  *running->team_used += running->charged;
  count_class (running, 1);
  g_ptr_array_add (worker->running, running);
  g_hash_table_replace (placement->running, running, running);
  for (guint i = 0; i < worker->services->len; i++)
    {
      presence_t *presence = &g_array_index (worker->services, presence_t, i);

      presence->expected
          += interference_of (presence->service, running->class_,
                              (double)running->reserved.of[CORES]
                                  / (double)MAX (worker->size.of[CORES], 1));
    }
  placement_refresh (placement, now, worker);
}

/* The caller refreshes the worker's free room. */
static void
release (placement_t *placement, running_t *running)
{
  for (int i = 0; i < DIMENSIONS; i++)
    running->worker->used.of[i] -= running->reserved.of[i];
  *running->team_used -= running->charged;
  count_class (running, -1);
  g_ptr_array_remove (running->worker->running, running);
  g_hash_table_remove (placement->running, running);
}

static void
count_class (const running_t *running, int change)
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

/* Failures of one order count once, since the order may be at fault.  Only a
   failed trial lengthens the time aside, not what still ran before. */
static void
note_failure (placement_t *placement, usec_t now, worker_t *worker,
              uint64_t order)
{
  if (worker->failures && worker->failed_order == order)
    return;
  worker->failed_order = order;
  worker->failures++;
  if (worker->failures < FAILURES_BEFORE_ASIDE
      || (worker->set_aside && now < worker->aside_until))
    return;
  if (!worker->set_aside
      && (placement->set_aside + 1) * 2 > placement->workers->len)
    return;
  if (!worker->set_aside)
    placement->set_aside++;
  worker->set_aside = true;
  worker->aside_until
      = now + ASIDE_MIN * (1LL << MIN (worker->set_asides, ASIDE_DOUBLINGS));
  worker->set_asides++;
}

static void
end_set_aside (placement_t *placement, worker_t *worker)
{
  if (worker->set_aside)
    placement->set_aside--;
  worker->set_aside = false;
}

static void
kind_change (placement_t *placement, const room_t *size, int change)
{
  kind_t added = { *size, 1 };

  for (guint i = 0; i < placement->kinds->len; i++)
    {
      kind_t *kind = &g_array_index (placement->kinds, kind_t, i);

      if (memcmp (&kind->size, size, sizeof *size) != 0)
        continue;
      kind->count += (uint32_t)change;
      if (!kind->count)
        g_array_remove_index_fast (placement->kinds, i);
      return;
    }
  g_array_append_val (placement->kinds, added);
}

static presence_t *
presence_of (worker_t *worker, service_class_t *service)
{
  presence_t added = { service, 1.0, 0.0, 0 };

  for (guint i = 0; i < worker->services->len; i++)
    {
      presence_t *presence = &g_array_index (worker->services, presence_t, i);

      if (presence->service == service)
        return presence;
    }
  g_array_append_val (worker->services, added);
  return &g_array_index (worker->services, presence_t,
                         worker->services->len - 1);
}

static search_t
search_of (placement_t *placement, const task_t *task)
{
  search_t search = { .task = task };

  search.class_ = placement_class (placement, task->class_name);
  search.declared
      = (room_t){ { task->millicores, task->memory_mb, task->accelerators } };
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
amount_of (GHashTable *amounts, const char *name)
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

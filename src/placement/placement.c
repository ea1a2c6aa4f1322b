/** @file
 * Placement of batch work on workers.
 *
 * Invariant 1: the sizes reserved on a worker never exceed it, except by
 * adopted attempts, which run already.
 */
#include "placement/placement.h"

#include <string.h>

#define TICK_INTERVAL (1 * USEC_PER_SEC)

/** Sizes in the three dimensions that limit a worker. */
typedef enum
{
  CORES,  /* thousandths of a core */
  MEMORY, /* MB */
  ACCELERATORS,
  DIMENSIONS
} dimension_t;

typedef struct
{
  uint64_t of[DIMENSIONS];
} room_t;

typedef struct
{
  char *id;
  uint32_t zone;
  uint32_t rack;
  room_t size;
  room_t used;
  bool leaving;
  GPtrArray *running; /* running_t */
} worker_t;

typedef struct
{
  uint64_t order;
  uint64_t attempt;
} attempt_key_t;

typedef struct
{
  attempt_key_t key; /* first: the key in the table of attempts */
  worker_t *worker;
  char *team;
  room_t reserved;
  bool resumable;
} running_t;

struct placement
{
  GRand *random;
  const placement_ops_t *ops;
  void *ctx;
  GPtrArray *workers;    /* worker_t */
  GHashTable *by_id;     /* worker id -> worker_t */
  GHashTable *running;   /* attempt_key_t -> running_t */
  GHashTable *quotas;    /* team -> uint64_t */
  GHashTable *team_used; /* team -> uint64_t */
};

static bool fits (const room_t *need, const worker_t *worker);
static bool could_fit (const room_t *need, const worker_t *worker);
static uint64_t leftover (const room_t *need, const worker_t *worker);
static void reserve (placement_t *placement, worker_t *worker,
                     const task_t *task);
static void release (gpointer data);
static room_t room_of (const task_t *task);
static uint64_t *amount_of (GHashTable *amounts, const char *name);
static bool over_quota (placement_t *placement, const task_t *task);
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
  placement->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  placement->running
      = g_hash_table_new_full (hash_attempt, equal_attempt, NULL, release);
  placement->quotas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->team_used
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
  g_ptr_array_free (placement->workers, TRUE);
  g_free (placement);
}

handle_t
placement_worker (placement_t *placement, usec_t now,
                  const worker_info_t *info)
{
  worker_t *worker
      = (worker_t *)g_hash_table_lookup (placement->by_id, info->id);

  (void)now;
  if (!worker)
    {
      worker = g_new0 (worker_t, 1);
      worker->id = g_strdup (info->id);
      worker->running = g_ptr_array_new ();
      g_ptr_array_add (placement->workers, worker);
      g_hash_table_insert (placement->by_id, worker->id, worker);
    }
  worker->zone = info->zone;
  worker->rack = info->rack;
  worker->size
      = (room_t){ { info->millicores, info->memory_mb, info->accelerators } };
  worker->leaving = info->leaving;
  return placement->workers->len;
}

void
placement_remove (placement_t *placement, const char *id)
{
  worker_t *worker = (worker_t *)g_hash_table_lookup (placement->by_id, id);

  if (!worker)
    return;
  while (worker->running->len)
    {
      running_t *running = (running_t *)g_ptr_array_index (worker->running, 0);

      *amount_of (placement->team_used, running->team)
          -= running->reserved.of[CORES];
      g_hash_table_remove (placement->running, running);
    }
  g_hash_table_remove (placement->by_id, id);
  g_ptr_array_remove_fast (placement->workers, worker);
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
  room_t need = room_of (task);
  worker_t *best = NULL;
  uint64_t best_left = UINT64_MAX;
  bool possible = false;
  worker_t *avoided = NULL;

  (void)now;
  for (guint i = 0; i < placement->workers->len; i++)
    {
      worker_t *candidate
          = (worker_t *)g_ptr_array_index (placement->workers, i);

      if (task->avoid && strcmp (candidate->id, task->avoid) == 0)
        {
          avoided = candidate;
          continue;
        }
      possible = possible || could_fit (&need, candidate);
      if (!fits (&need, candidate) || leftover (&need, candidate) >= best_left)
        continue;
      best = candidate;
      best_left = leftover (&need, candidate);
    }
  if (!possible && avoided && could_fit (&need, avoided))
    {
      possible = true;
      best = fits (&need, avoided) ? avoided : NULL;
    }
  if (!possible)
    return PLACE_NEVER_FITS;
  if (over_quota (placement, task))
    return PLACE_OVER_QUOTA;
  if (!best)
    return PLACE_NO_ROOM;
  reserve (placement, best, task);
  *worker = best->id;
  return PLACE_OK;
}

void
placement_adopt (placement_t *placement, usec_t now, const char *worker,
                 const task_t *task)
{
  worker_t *holder
      = (worker_t *)g_hash_table_lookup (placement->by_id, worker);
  attempt_key_t key = { task->order, task->attempt };

  (void)now;
  if (holder && !g_hash_table_contains (placement->running, &key))
    reserve (placement, holder, task);
}

void
placement_done (placement_t *placement, usec_t now, const char *worker,
                uint64_t order, uint64_t attempt, bool ok, usec_t run_time)
{
  attempt_key_t key = { order, attempt };
  running_t *running
      = (running_t *)g_hash_table_lookup (placement->running, &key);

  (void)now;
  (void)worker;
  (void)ok;
  (void)run_time;
  if (!running)
    return;
  *amount_of (placement->team_used, running->team)
      -= running->reserved.of[CORES];
  g_hash_table_remove (placement->running, &key);
}

void
placement_usage (placement_t *placement, usec_t now, const char *worker,
                 uint64_t order, uint64_t attempt, uint64_t millicores,
                 uint64_t memory_mb)
{
  (void)placement;
  (void)now;
  (void)worker;
  (void)order;
  (void)attempt;
  (void)millicores;
  (void)memory_mb;
}

void
placement_interference (placement_t *placement, usec_t now, const char *worker,
                        const char *service_class, uint64_t slowdown_milli)
{
  (void)placement;
  (void)now;
  (void)worker;
  (void)service_class;
  (void)slowdown_milli;
}

uint64_t
placement_free_millicores (const placement_t *placement)
{
  uint64_t free_cores = 0;

  for (guint i = 0; i < placement->workers->len; i++)
    {
      const worker_t *worker
          = (const worker_t *)g_ptr_array_index (placement->workers, i);

      if (!worker->leaving && worker->used.of[CORES] < worker->size.of[CORES])
        free_cores += worker->size.of[CORES] - worker->used.of[CORES];
    }
  return free_cores;
}

usec_t
placement_tick (placement_t *placement, usec_t now)
{
  (void)placement;
  return now + TICK_INTERVAL;
}

json_t *
placement_dump (const placement_t *placement)
{
  json_t *workers = json_array ();

  for (guint i = 0; i < placement->workers->len; i++)
    {
      const worker_t *worker
          = (const worker_t *)g_ptr_array_index (placement->workers, i);

      json_array_append_new (
          workers,
          json_pack ("{s:s, s:I, s:I, s:I, s:b, s:I}", "id", worker->id,
                     "millicores_used", (json_int_t)worker->used.of[CORES],
                     "memory_mb_used", (json_int_t)worker->used.of[MEMORY],
                     "accelerators_used",
                     (json_int_t)worker->used.of[ACCELERATORS], "leaving",
                     worker->leaving, "running",
                     (json_int_t)worker->running->len));
    }
  return json_pack ("{s:o}", "workers", workers);
}

static bool
fits (const room_t *need, const worker_t *worker)
{
  if (worker->leaving)
    return false;
  for (int i = 0; i < DIMENSIONS; i++)
    if (worker->used.of[i] > worker->size.of[i]
        || need->of[i] > worker->size.of[i] - worker->used.of[i])
      return false;
  return true;
}

static bool
could_fit (const room_t *need, const worker_t *worker)
{
  for (int i = 0; i < DIMENSIONS; i++)
    if (need->of[i] > worker->size.of[i])
      return false;
  return true;
}

/* Room left after the task, accelerators first: work without need of them
   stays off the workers that have them. */
static uint64_t
leftover (const room_t *need, const worker_t *worker)
{
  uint64_t left = 0;

  for (int i = 0; i < DIMENSIONS; i++)
    if (worker->size.of[i])
      left += 1000 * (worker->size.of[i] - worker->used.of[i] - need->of[i])
              / worker->size.of[i];
  return left;
}

static void
reserve (placement_t *placement, worker_t *worker, const task_t *task)
{
  running_t *running = g_new0 (running_t, 1);

  running->key = (attempt_key_t){ task->order, task->attempt };
  running->worker = worker;
  running->team = g_ref_string_new_intern (task->team);
  running->reserved = room_of (task);
  running->resumable = task->resumable;
  for (int i = 0; i < DIMENSIONS; i++)
    worker->used.of[i] += running->reserved.of[i];
  *amount_of (placement->team_used, task->team) += running->reserved.of[CORES];
  g_ptr_array_add (worker->running, running);
  g_hash_table_replace (placement->running, running, running);
}

static void
release (gpointer data)
{
  running_t *running = (running_t *)data;

  for (int i = 0; i < DIMENSIONS; i++)
    running->worker->used.of[i] -= running->reserved.of[i];
  g_ptr_array_remove_fast (running->worker->running, running);
  g_ref_string_release (running->team);
  g_free (running);
}

static room_t
room_of (const task_t *task)
{
  return (room_t){ { task->millicores, task->memory_mb, task->accelerators } };
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

static bool
over_quota (placement_t *placement, const task_t *task)
{
  uint64_t quota = *amount_of (placement->quotas, task->team);

  return quota
         && *amount_of (placement->team_used, task->team) + task->millicores
                > quota;
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
  g_free (worker->id);
  g_free (worker);
}

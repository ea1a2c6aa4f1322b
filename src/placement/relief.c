/** @file
 * Relief of workers whose services are slowed or whose use exceeds them:
 * throttle first, evict only if that does not help, with hysteresis.
 */
#include "placement/placement_private.h"

/* A service slower than HOT for HOT_TIME gets relief; it must stay below COOL
   for COOL_TIME before a throttle is taken back, else throttles alternate. */
#define HOT 1.25
#define COOL 1.10
#define HOT_TIME (2 * USEC_PER_SEC)
#define COOL_TIME (10 * USEC_PER_SEC)
#define THROTTLE_PAUSE (2 * USEC_PER_SEC)
#define EVICT_PAUSE (15 * USEC_PER_SEC)
#define REPORT_AGE (10 * USEC_PER_SEC) /* older reports say nothing */
#define HOLD_TIME (5 * USEC_PER_SEC)
#define EVICT_TIME (20 * USEC_PER_SEC) /* after it an eviction is given up */
#define THROTTLED_PART 0.5 /* of its speed that a throttle takes away */
#define MAX_VICTIMS 64U
#define MAX_LOOKED_AT 256U /* bounds the time of one decision */
#define FULL 1.0           /* of a worker's size, measured */
#define NOT_FULL 0.9

typedef struct
{
  double slowdown;                 /* worst service */
  double use[MEASURED_DIMENSIONS]; /* measured share of the worker */
} load_t;

static load_t load_of (usec_t now, const worker_t *worker);
static double blame (const worker_t *worker, const running_t *running);
static running_t *most_to_blame (const worker_t *worker, bool for_eviction,
                                 bool by_memory);
static running_t *throttled_least_to_blame (const worker_t *worker);
static bool throttle (placement_t *placement, usec_t now, worker_t *worker,
                      double slowdown);
static void relieve (placement_t *placement, usec_t now, running_t *running,
                     relief_action_t relief);
static unsigned plan_evictions (const worker_t *worker, const room_t *need,
                                running_t **victims);
static void give_up_evictions (usec_t now, const worker_t *worker);
static bool evictable (const running_t *running);

void
relief_tick (placement_t *placement, usec_t now, worker_t *worker)
{
  load_t load = load_of (now, worker);
  bool crowded = load.use[MEMORY] >= FULL;
  bool hot = load.slowdown >= HOT || load.use[CORES] > FULL || crowded;
  bool cool = load.slowdown < COOL && load.use[CORES] < NOT_FULL;
  running_t *running = NULL;

  give_up_evictions (now, worker);
  worker->hot_since = !hot                              ? USEC_NEVER
                      : worker->hot_since == USEC_NEVER ? now
                                                        : worker->hot_since;
  worker->cool_since = !cool                              ? USEC_NEVER
                       : worker->cool_since == USEC_NEVER ? now
                                                          : worker->cool_since;
  if (crowded && now >= worker->relieved_at + THROTTLE_PAUSE)
    {
      running = most_to_blame (worker, true, true);
      if (running)
        relieve (placement, now, running, ACTION_EVICT);
    }
  else if (hot && now >= worker->hot_since + HOT_TIME
           && now >= worker->relieved_at + THROTTLE_PAUSE)
    {
      if (throttle (placement, now, worker, load.slowdown))
        return;
      running = now >= worker->relieved_at + EVICT_PAUSE
                    ? most_to_blame (worker, true, false)
                    : NULL;
      if (running)
        relieve (placement, now, running, ACTION_EVICT);
    }
  else if (cool && now >= worker->cool_since + COOL_TIME
           && now >= worker->relieved_at + COOL_TIME
           && (running = throttled_least_to_blame (worker)))
    relieve (placement, now, running, ACTION_UNTHROTTLE);
}

/* Of some workers, the one that needs the fewest evictions.  The room is
   held for the order, and nothing more is done for it meanwhile. */
void
relief_make_room (placement_t *placement, usec_t now, uint64_t order,
                  const room_t *need)
{
  running_t *victims[MAX_VICTIMS];
  unsigned best = MAX_VICTIMS + 1;
  worker_t *chosen = NULL;
  guint count = placement->workers->len;
  guint first = (guint)g_rand_int_range (placement->random, 0, (gint32)count);

  for (guint i = placement->holding->len; i-- > 0;)
    {
      const worker_t *worker
          = (const worker_t *)g_ptr_array_index (placement->holding, i);

      if (worker->held_until <= now)
        g_ptr_array_remove_index_fast (placement->holding, i);
      else if (worker->held_for == order)
        return;
    }
  for (guint i = 0; i < MIN (count, MAX_LOOKED_AT) && best > 1; i++)
    {
      worker_t *worker = (worker_t *)g_ptr_array_index (placement->workers,
                                                        (first + i) % count);
      unsigned evictions;

      if (worker->leaving || worker->set_aside || worker->held_until > now)
        continue;
      evictions = plan_evictions (worker, need, victims);
      if (!evictions || evictions >= best)
        continue;
      best = evictions;
      chosen = worker;
    }
  if (!chosen)
    return;
  chosen->held = *need;
  chosen->held_for = order;
  chosen->held_until = now + HOLD_TIME;
  g_ptr_array_add (placement->holding, chosen);
  plan_evictions (chosen, need, victims);
  for (unsigned i = 0; i < best; i++)
    relieve (placement, now, victims[i], ACTION_EVICT);
}

static load_t
load_of (usec_t now, const worker_t *worker)
{
  load_t load = { 1.0, { 0.0 } };

  for (guint i = 0; i < worker->services->len; i++)
    {
      const presence_t *presence
          = &g_array_index (worker->services, presence_t, i);

      if (now - presence->at < REPORT_AGE)
        load.slowdown = MAX (load.slowdown, presence->slowdown);
    }
  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_t *running
          = (const running_t *)g_ptr_array_index (worker->running, i);

      for (int d = 0; d < MEASURED_DIMENSIONS; d++)
        load.use[d] += running->measured[d];
    }
  for (int d = 0; d < MEASURED_DIMENSIONS; d++)
    load.use[d] /= (double)MAX (worker->size.of[d], 1);
  return load;
}

/* Share of the slowdown that is expected to come from the attempt, plus its
   use of cores beyond the declared size. */
static double
blame (const worker_t *worker, const running_t *running)
{
  double size = (double)MAX (worker->size.of[CORES], 1);
  double cores = running->seen ? running->measured[CORES]
                               : (double)running->reserved.of[CORES];
  double excess = MAX (cores - (double)running->declared.of[CORES], 0.0);
  double sum = (excess + 0.01 * cores) / size;

  for (guint i = 0; i < worker->services->len; i++)
    sum += interference_of (
        g_array_index (worker->services, presence_t, i).service,
        running->class_, cores / size);
  return sum;
}

static running_t *
most_to_blame (const worker_t *worker, bool for_eviction, bool by_memory)
{
  running_t *most = NULL;
  double worst = -1.0;

  for (guint i = 0; i < worker->running->len; i++)
    {
      running_t *running = (running_t *)g_ptr_array_index (worker->running, i);
      double weight = by_memory ? running->measured[MEMORY]
                                      - (double)running->declared.of[MEMORY]
                                      + (double)worker->size.of[MEMORY]
                                : blame (worker, running);

      if (for_eviction ? !evictable (running)
                       : running->throttled || running->urgent)
        continue;
      if (weight <= worst)
        continue;
      most = running;
      worst = weight;
    }
  return most;
}

static running_t *
throttled_least_to_blame (const worker_t *worker)
{
  running_t *least = NULL;

  for (guint i = 0; i < worker->running->len; i++)
    {
      running_t *running = (running_t *)g_ptr_array_index (worker->running, i);

      if (running->throttled
          && (!least || blame (worker, running) < blame (worker, least)))
        least = running;
    }
  return least;
}

/* Throttles as many as are expected to help enough, the worst first.
   Returns whether there were any. */
static bool
throttle (placement_t *placement, usec_t now, worker_t *worker,
          double slowdown)
{
  double excess = MAX (slowdown - COOL, 0.0);
  bool any = false;
  running_t *running;

  do
    {
      running = most_to_blame (worker, false, false);
      if (!running)
        break;
      excess -= blame (worker, running) * THROTTLED_PART;
      relieve (placement, now, running, ACTION_THROTTLE);
      any = true;
    }
  while (excess > 0.0);
  return any;
}

static void
relieve (placement_t *placement, usec_t now, running_t *running,
         relief_action_t relief)
{
  running->worker->relieved_at = now;
  running->throttled = relief == ACTION_THROTTLE
                       || (running->throttled && relief == ACTION_EVICT);
  running->evicting = relief == ACTION_EVICT;
  running->evict_at = now;
  if (placement->ops->relieve)
    placement->ops->relieve (placement->ctx, now, running->worker->id,
                             running->key.order, running->key.attempt, relief);
}

/* Youngest first: they have the least to do again.
   Returns how many evictions make room, 0 if none do. */
static unsigned
plan_evictions (const worker_t *worker, const room_t *need,
                running_t **victims)
{
  room_t open = { { 0 } };
  unsigned count = 0;

  for (int d = 0; d < DIMENSIONS; d++)
    open.of[d]
        = worker->size.of[d] - MIN (worker->used.of[d], worker->size.of[d]);
  for (guint i = worker->running->len; i > 0 && count < MAX_VICTIMS; i--)
    {
      running_t *running
          = (running_t *)g_ptr_array_index (worker->running, i - 1);

      if (!evictable (running))
        continue;
      victims[count++] = running;
      for (int d = 0; d < DIMENSIONS; d++)
        open.of[d] += running->reserved.of[d];
      if (open.of[CORES] >= need->of[CORES]
          && open.of[MEMORY] >= need->of[MEMORY]
          && open.of[ACCELERATORS] >= need->of[ACCELERATORS])
        return count;
    }
  return 0;
}

/* The worker may refuse the checkpoint. */
static void
give_up_evictions (usec_t now, const worker_t *worker)
{
  for (guint i = 0; i < worker->running->len; i++)
    {
      running_t *running = (running_t *)g_ptr_array_index (worker->running, i);

      if (running->evicting && now >= running->evict_at + EVICT_TIME)
        running->evicting = false;
    }
}

static bool
evictable (const running_t *running)
{
  return running->resumable && !running->urgent && !running->evicting;
}

/** @file
 * Relief of overloaded workers, that is workers whose services are slowed or
 * whose measured usage exceeds their capacity: throttles running tasks first
 * and evicts only if that is not enough, with hysteresis.  Throttling does not
 * free memory, so a worker over its memory evicts at once.
 */
#include "placement/placement_private.h"

/* A slowdown of OVERLOADED_SLOWDOWN for OVERLOADED_TIME triggers relief.  It
   must stay below RECOVERED_SLOWDOWN for RECOVERED_TIME before a task is
   unthrottled; otherwise the worker would oscillate between both states. */
#define OVERLOADED_SLOWDOWN 1.25
#define RECOVERED_SLOWDOWN 1.10
#define OVERLOADED_TIME (2 * USEC_PER_SEC)
#define RECOVERED_TIME (10 * USEC_PER_SEC)
/* Minimum time after the last action on the worker. */
#define THROTTLE_INTERVAL (2 * USEC_PER_SEC)
#define EVICTION_INTERVAL (15 * USEC_PER_SEC)
/* Older reports of slowdown are ignored. */
#define MAX_REPORT_AGE (10 * USEC_PER_SEC)
#define HOLD_TIME (5 * USEC_PER_SEC)
/* An attempt that still runs after this time may be evicted again. */
#define EVICTION_TIMEOUT (20 * USEC_PER_SEC)
/* Share of an attempt's speed that throttling takes away. */
#define THROTTLE_REDUCTION 0.5
#define MAX_VICTIMS 64U
/* Bounds the time of one preemption decision. */
#define MAX_PREEMPTION_CANDIDATES 256U
/* Measured usage as a share of the worker's capacity. */
#define OVERLOADED_USE 1.0
#define RECOVERED_USE 0.9

typedef struct
{
  double slowdown;                 /* of the slowest service */
  double use[MEASURED_DIMENSIONS]; /* share of the capacity */
} worker_load_t;

static worker_load_t measure_load (usec_t now, const worker_t *worker);
static double slowdown_contribution (const worker_t *worker,
                                     const running_attempt_t *running);
static running_attempt_t *largest_contributor (const worker_t *worker,
                                               bool for_eviction,
                                               bool by_memory);
static running_attempt_t *
smallest_throttled_contributor (const worker_t *worker);
static bool throttle (placement_t *placement, usec_t now, worker_t *worker,
                      double slowdown);
static void request_relief (placement_t *placement, usec_t now,
                            running_attempt_t *running,
                            relief_action_t relief);
static unsigned plan_evictions (const worker_t *worker,
                                const resources_t *need,
                                running_attempt_t **victims);
static void expire_evictions (usec_t now, const worker_t *worker);
static bool evictable (const running_attempt_t *running);

void
relief_tick (placement_t *placement, usec_t now, worker_t *worker)
{
  worker_load_t load = measure_load (now, worker);
  bool memory_exceeded = load.use[MEMORY] >= OVERLOADED_USE;
  bool overloaded = load.slowdown >= OVERLOADED_SLOWDOWN
                    || load.use[CORES] > OVERLOADED_USE || memory_exceeded;
  bool recovered
      = load.slowdown < RECOVERED_SLOWDOWN && load.use[CORES] < RECOVERED_USE;
  running_attempt_t *running = NULL;

  expire_evictions (now, worker);
  worker->overloaded_since = !overloaded ? USEC_NEVER
                             : worker->overloaded_since == USEC_NEVER
                                 ? now
                                 : worker->overloaded_since;
  worker->recovered_since = !recovered ? USEC_NEVER
                            : worker->recovered_since == USEC_NEVER
                                ? now
                                : worker->recovered_since;
  if (memory_exceeded && now >= worker->last_relief + THROTTLE_INTERVAL)
    {
      running = largest_contributor (worker, true, true);
      if (running)
        request_relief (placement, now, running, ACTION_EVICT);
    }
  else if (overloaded && now >= worker->overloaded_since + OVERLOADED_TIME
           && now >= worker->last_relief + THROTTLE_INTERVAL)
    {
      if (throttle (placement, now, worker, load.slowdown))
        return;
      running = now >= worker->last_relief + EVICTION_INTERVAL
                    ? largest_contributor (worker, true, false)
                    : NULL;
      if (running)
        request_relief (placement, now, running, ACTION_EVICT);
    }
  else if (recovered && now >= worker->recovered_since + RECOVERED_TIME
           && now >= worker->last_relief + RECOVERED_TIME
           && (running = smallest_throttled_contributor (worker)))
    request_relief (placement, now, running, ACTION_UNTHROTTLE);
}

/* Chooses the worker that needs the fewest evictions among some workers.  The
   needed resources are held there for the order; until the hold expires, no
   further evictions are requested for it. */
void
relief_preempt (placement_t *placement, usec_t now, uint64_t order,
                const resources_t *need)
{
  running_attempt_t *victims[MAX_VICTIMS];
  unsigned best = MAX_VICTIMS + 1;
  worker_t *chosen = NULL;
  guint count = placement->workers->len;
  guint first = (guint)g_rand_int_range (placement->random, 0, (gint32)count);

  for (guint i = placement->holding_workers->len; i-- > 0;)
    {
      const worker_t *worker = (const worker_t *)g_ptr_array_index (
          placement->holding_workers, i);

      if (worker->held_until <= now)
        g_ptr_array_remove_index_fast (placement->holding_workers, i);
      else if (worker->held_for_order == order)
        return;
    }
  for (guint i = 0; i < MIN (count, MAX_PREEMPTION_CANDIDATES) && best > 1;
       i++)
    {
      worker_t *worker = (worker_t *)g_ptr_array_index (placement->workers,
                                                        (first + i) % count);
      unsigned evictions;

      if (worker->leaving || worker->quarantined || worker->held_until > now)
        continue;
      evictions = plan_evictions (worker, need, victims);
      if (!evictions || evictions >= best)
        continue;
      best = evictions;
      chosen = worker;
    }
  if (!chosen)
    return;
  chosen->held_resources = *need;
  chosen->held_for_order = order;
  chosen->held_until = now + HOLD_TIME;
  g_ptr_array_add (placement->holding_workers, chosen);
  plan_evictions (chosen, need, victims);
  for (unsigned i = 0; i < best; i++)
    request_relief (placement, now, victims[i], ACTION_EVICT);
}

static worker_load_t
measure_load (usec_t now, const worker_t *worker)
{
  worker_load_t load = { 1.0, { 0.0 } };

  for (guint i = 0; i < worker->services->len; i++)
    {
      const local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);

      if (now - local_service->reported_at < MAX_REPORT_AGE)
        load.slowdown = MAX (load.slowdown, local_service->slowdown);
    }
  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_attempt_t *running
          = (const running_attempt_t *)g_ptr_array_index (worker->running, i);

      for (int d = 0; d < MEASURED_DIMENSIONS; d++)
        load.use[d] += running->measured[d];
    }
  for (int d = 0; d < MEASURED_DIMENSIONS; d++)
    load.use[d] /= (double)MAX (worker->size.amount[d], 1);
  return load;
}

/* Slowdown expected from the attempt, plus its usage of cores beyond the
   declared size. */
static double
slowdown_contribution (const worker_t *worker,
                       const running_attempt_t *running)
{
  double size = (double)MAX (worker->size.amount[CORES], 1);
  double cores = running->has_measurement
                     ? running->measured[CORES]
                     : (double)running->reserved.amount[CORES];
  double excess = MAX (cores - (double)running->declared.amount[CORES], 0.0);
  double sum = (excess + 0.01 * cores) / size;

  for (guint i = 0; i < worker->services->len; i++)
    sum += estimate_slowdown (
        g_array_index (worker->services, local_service_t, i).service,
        running->class_, cores / size);
  return sum;
}

static running_attempt_t *
largest_contributor (const worker_t *worker, bool for_eviction, bool by_memory)
{
  running_attempt_t *result = NULL;
  double largest = -1.0;

  for (guint i = 0; i < worker->running->len; i++)
    {
      running_attempt_t *running
          = (running_attempt_t *)g_ptr_array_index (worker->running, i);
      double contribution
          = by_memory ? running->measured[MEMORY]
                            - (double)running->declared.amount[MEMORY]
                            + (double)worker->size.amount[MEMORY]
                      : slowdown_contribution (worker, running);

      if (for_eviction ? !evictable (running)
                       : running->throttled || running->urgent)
        continue;
      if (contribution <= largest)
        continue;
      result = running;
      largest = contribution;
    }
  return result;
}

static running_attempt_t *
smallest_throttled_contributor (const worker_t *worker)
{
  running_attempt_t *smallest = NULL;

  for (guint i = 0; i < worker->running->len; i++)
    {
      running_attempt_t *running
          = (running_attempt_t *)g_ptr_array_index (worker->running, i);

      if (running->throttled
          && (!smallest
              || slowdown_contribution (worker, running)
                     < slowdown_contribution (worker, smallest)))
        smallest = running;
    }
  return smallest;
}

/* Throttles attempts, largest contributors first, until the expected slowdown
   has recovered.  Returns whether any attempt was throttled. */
static bool
throttle (placement_t *placement, usec_t now, worker_t *worker,
          double slowdown)
{
  double excess = MAX (slowdown - RECOVERED_SLOWDOWN, 0.0);
  bool any = false;
  running_attempt_t *running;

  do
    {
      running = largest_contributor (worker, false, false);
      if (!running)
        break;
      excess -= slowdown_contribution (worker, running) * THROTTLE_REDUCTION;
      request_relief (placement, now, running, ACTION_THROTTLE);
      any = true;
    }
  while (excess > 0.0);
  return any;
}

static void
request_relief (placement_t *placement, usec_t now, running_attempt_t *running,
                relief_action_t relief)
{
  running->worker->last_relief = now;
  running->throttled = relief == ACTION_THROTTLE
                       || (running->throttled && relief == ACTION_EVICT);
  running->evicting = relief == ACTION_EVICT;
  running->eviction_requested_at = now;
  if (placement->ops->relieve)
    placement->ops->relieve (placement->ctx, now, running->worker->id,
                             running->key.order, running->key.attempt, relief);
}

/* Selects the most recently placed attempts first, since they lose the least
   work.  Returns the number of evictions that free enough resources, 0 if that
   is impossible. */
static unsigned
plan_evictions (const worker_t *worker, const resources_t *need,
                running_attempt_t **victims)
{
  resources_t available = { { 0 } };
  unsigned count = 0;

  for (int d = 0; d < DIMENSIONS; d++)
    available.amount[d]
        = worker->size.amount[d]
          - MIN (worker->used.amount[d], worker->size.amount[d]);
  for (guint i = worker->running->len; i > 0 && count < MAX_VICTIMS; i--)
    {
      running_attempt_t *running
          = (running_attempt_t *)g_ptr_array_index (worker->running, i - 1);

      if (!evictable (running))
        continue;
      victims[count++] = running;
      for (int d = 0; d < DIMENSIONS; d++)
        available.amount[d] += running->reserved.amount[d];
      if (available.amount[CORES] >= need->amount[CORES]
          && available.amount[MEMORY] >= need->amount[MEMORY]
          && available.amount[ACCELERATORS] >= need->amount[ACCELERATORS])
        return count;
    }
  return 0;
}

/* Makes attempts evictable again whose worker may have refused the
   checkpoint. */
static void
expire_evictions (usec_t now, const worker_t *worker)
{
  for (guint i = 0; i < worker->running->len; i++)
    {
      running_attempt_t *running
          = (running_attempt_t *)g_ptr_array_index (worker->running, i);

      if (running->evicting
          && now >= running->eviction_requested_at + EVICTION_TIMEOUT)
        running->evicting = false;
    }
}

static bool
evictable (const running_attempt_t *running)
{
  return running->resumable && !running->urgent && !running->evicting;
}

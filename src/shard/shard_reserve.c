/** @file
 * Capacity that new long-running tasks leave to short ones.
 *
 * A long-running task holds its capacity until its job is canceled, a short
 * one gives it back within seconds.  If long-running tasks took what is free
 * between two peaks of short ones, the next peak would find fragments only,
 * each too small for a task.  So a long-running task is not placed for the
 * first time where this leaves less than short tasks of the same or a higher
 * priority have lately used at a time, and some more so that their share can
 * grow.  Only workers with room for the widest of them count, whatever short
 * tasks use there now.
 *
 * A long-running task that has run before is placed wherever it fits: users
 * wait for its next run.
 */
#include "shard/shard_private.h"

#include <math.h>

/* Time in which the remembered use falls to a third. */
#define MEMORY (20.0 * USEC_PER_SEC)
/* Short tasks that have not run for this long are forgotten. */
#define FORGET_AFTER (60 * USEC_PER_SEC)
/* What is kept, as a share of the remembered use. */
#define GROWTH 1.5
/* Most of a service's capacity that is kept. */
#define KEPT_SHARE_MAX 0.25

static reserve_t *find_reserve (const shard_t *shard, const char *service,
                                uint32_t priority);
static void sum_up (shard_t *shard, const char *service, uint32_t priority);
static double long_running_room (const worker_t *worker);
static double counted_room (const shard_t *shard, double room);
static bool is_usable (const worker_t *worker);

GArray *
reserves_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (reserve_t));
}

void
reserves_clear (shard_t *shard)
{
  for (guint i = 0; i < shard->reserves->len; i++)
    g_free (g_array_index (shard->reserves, reserve_t, i).service);
  g_array_set_size (shard->reserves, 0);
}

static reserve_t *
find_reserve (const shard_t *shard, const char *service, uint32_t priority)
{
  for (guint i = 0; i < shard->reserves->len; i++)
    {
      reserve_t *reserve = &g_array_index (shard->reserves, reserve_t, i);

      if (reserve->priority == priority
          && strcmp (reserve->service, service) == 0)
        return reserve;
    }
  return NULL;
}

void
reserve_run_added (shard_t *shard, const submission_t *order, run_t *run)
{
  reserve_t *reserve;

  run->reserve = RESERVE_NONE;
  if (run->best_effort || run->long_running)
    return;
  reserve = find_reserve (shard, order->service, order->priority);
  if (!reserve)
    {
      const reserve_t row = { .service = g_strdup (order->service),
                              .priority = order->priority };

      g_array_append_val (shard->reserves, row);
      reserve = &g_array_index (shard->reserves, reserve_t,
                                shard->reserves->len - 1);
    }
  reserve->in_use += run->millicores;
  reserve->peak = MAX (reserve->peak, (double)reserve->in_use);
  reserve->width = MAX (reserve->width, run->millicores);
  run->reserve
      = (uint32_t)(reserve - &g_array_index (shard->reserves, reserve_t, 0));
}

void
reserve_run_removed (shard_t *shard, const run_t *run)
{
  if (run->reserve != RESERVE_NONE)
    g_array_index (shard->reserves, reserve_t, run->reserve).in_use
        -= run->millicores;
}

void
reserve_begin_pass (shard_t *shard, usec_t now)
{
  double factor = exp (-(double)(now - shard->reserves_at) / MEMORY);

  shard->reserves_at = now;
  shard->kept.service = NULL;
  for (guint i = 0; i < shard->reserves->len; i++)
    {
      reserve_t *reserve = &g_array_index (shard->reserves, reserve_t, i);

      if (reserve->in_use)
        reserve->used_at = now;
      else if (now - reserve->used_at > FORGET_AFTER)
        reserve->peak = reserve->width = 0;
      reserve->peak = MAX (reserve->peak * factor, (double)reserve->in_use);
      reserve->width *= factor;
    }
}

bool
reserve_concerns (const step_t *step, const task_t *task)
{
  return step->long_running && !step->best_effort && !task->run;
}

static double
long_running_room (const worker_t *worker)
{
  return (double)worker->millicores - (double)worker->long_running_millicores;
}

static double
counted_room (const shard_t *shard, double room)
{
  return room >= shard->kept.width ? room : 0;
}

static bool
is_usable (const worker_t *worker)
{
  return !worker->leaving && !worker->evacuated;
}

/* Sums up what is kept from long-running tasks of a priority, and what there
   is. */
static void
sum_up (shard_t *shard, const char *service, uint32_t priority)
{
  kept_t *kept = &shard->kept;

  if (kept->service && kept->priority == priority
      && strcmp (kept->service, service) == 0)
    return;
  *kept = (kept_t){ .service = service, .priority = priority };
  for (guint i = 0; i < shard->reserves->len; i++)
    {
      const reserve_t *reserve
          = &g_array_index (shard->reserves, reserve_t, i);

      if (reserve->priority > priority
          || strcmp (reserve->service, service) != 0)
        continue;
      kept->needed += GROWTH * reserve->peak;
      kept->width = MAX (kept->width, reserve->width);
    }
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (!worker->listed || strcmp (worker->service, service) != 0)
        continue;
      kept->used += worker->used_millicores;
      kept->capacity += worker->millicores;
      if (is_usable (worker))
        kept->room += counted_room (shard, long_running_room (worker));
    }
  kept->needed = MIN (kept->needed, KEPT_SHARE_MAX * (double)kept->capacity);
}

/* Users expect tasks to run while less than half of the capacity is in use. */
bool
reserve_admits (shard_t *shard, const worker_t *worker, const candidate_t *c,
                const task_t *task)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];
  const kept_t *kept = &shard->kept;
  double room = long_running_room (worker);
  double lost;

  if (!reserve_concerns (step, task))
    return true;
  sum_up (shard, order->service, order->priority);
  if (kept->needed <= 0 || 2 * kept->used < kept->capacity)
    return true;
  lost = counted_room (shard, room)
         - counted_room (shard, room - step->millicores);
  return lost <= 0 || kept->room - lost >= kept->needed;
}

void
reserve_placed (shard_t *shard, const worker_t *worker, const run_t *run)
{
  kept_t *kept = &shard->kept;
  double room = long_running_room (worker);

  if (run->best_effort || !kept->service
      || strcmp (worker->service, kept->service) != 0)
    return;
  kept->used += run->millicores;
  if (run->long_running && is_usable (worker))
    kept->room -= counted_room (shard, room + run->millicores)
                  - counted_room (shard, room);
}

/** @file
 * Placed runs whose start must not be sent, or not be repeated.
 */
#include "shard/shard_private.h"

/* A successor may have noted the end of the other run and not reach the copy's
   worker to stop it: no start may arrive there more than 1 s after that. */
#define COPY_START_LIMIT (500 * USEC_PER_MSEC)

static const char *reason_to_withdraw (usec_t now, const run_t *run,
                                       const worker_t *worker);

bool
withdraw_start (shard_t *shard, usec_t now, handle_t handle)
{
  const run_t *run = run_get (shard, handle);
  const char *why
      = reason_to_withdraw (now, run, worker_get (shard, run->worker));

  if (!why)
    return false;
  counter_add (COUNTER_STARTS_WITHDRAWN, 1);
  /* The worker may have a run whose start was sent but not answered: it is
     closed by a stop. */
  if (run->start_sent && !run->start_unanswered)
    run_requeue (shard, now, handle, why);
  else
    run_stop (shard, now, handle, why);
  return true;
}

/* @return NULL if the worker may get the start */
static const char *
reason_to_withdraw (usec_t now, const run_t *run, const worker_t *worker)
{
  if (run->copy && now - run->placed_at > COPY_START_LIMIT)
    return "copy was not started in time";
  if (worker->evacuated)
    return "zone is evacuated";
  if (worker->leaving)
    return "worker is leaving";
  if (!worker->listed)
    return "worker is not listed";
  if (worker_is_over_capacity (worker))
    return "worker is over its capacity";
  return NULL;
}

/** @file
 * Placed runs whose start must not be sent, or not be repeated.
 */
#include "shard/shard_private.h"

static const char *reason_to_withdraw (const worker_t *worker);

bool
withdraw_start (shard_t *shard, usec_t now, handle_t handle)
{
  const run_t *run = run_get (shard, handle);
  const char *why = reason_to_withdraw (worker_get (shard, run->worker));

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
reason_to_withdraw (const worker_t *worker)
{
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

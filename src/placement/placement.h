/** @file
 * Placement of batch work on workers: chooses workers for tasks and decides
 * which running tasks to throttle, or to checkpoint and evict.
 *
 * Keeps its own account of reservations; a task is placed only on a worker
 * with enough free capacity.  Declared sizes are corrected by measured usage,
 * and interference is learned for each pair (service class, batch class).
 * Does no I/O.
 */
#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

#include "base/messages.h"
#include "base/table.h"

#include <jansson.h>

typedef struct
{
  const char *id;
  uint32_t zone;
  uint32_t rack;
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  bool leaving;
} worker_info_t;

typedef struct
{
  uint64_t order;
  uint64_t attempt;
  const char *class_name;
  const char *team;
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  uint64_t declared_ms;
  bool urgent;
  usec_t accepted_at; /**< when the order was accepted; not reset by an
                         eviction */
  bool resumable;     /**< may be checkpointed and evicted */
  const char *avoid;  /**< worker on which the task failed, NULL for none;
                           chosen only if no other worker is large enough */
} task_t;

typedef enum
{
  PLACE_OK,
  PLACE_NO_CAPACITY, /**< no worker has enough free capacity now */
  PLACE_OVER_QUOTA,  /**< the team's quota is used up */
  PLACE_NEVER_FITS   /**< no worker of the fleet is large enough */
} place_result_t;

typedef enum
{
  ACTION_NONE,
  ACTION_THROTTLE,
  ACTION_UNTHROTTLE,
  ACTION_EVICT /**< checkpoint, then stop */
} relief_action_t;

typedef struct
{
  /** Called for each action decided for a running task. */
  void (*relieve) (void *ctx, usec_t now, const char *worker, uint64_t order,
                   uint64_t attempt, relief_action_t action);
} placement_ops_t;

typedef struct placement placement_t;

placement_t *placement_new (GRand *random, const placement_ops_t *ops,
                            void *ctx);
void placement_free (placement_t *placement);

/** Adds a worker or updates its properties. @return its handle */
handle_t placement_set_worker (placement_t *placement, usec_t now,
                               const worker_info_t *info);
/** Removes a worker whose shard was assigned to another owner. */
void placement_remove_worker (placement_t *placement, const char *worker);

/** Sets a team's quota in thousandths of a core, 0 for none. */
void placement_set_quota (placement_t *placement, const char *team,
                          uint64_t millicores);

/** Chooses a worker and reserves the estimated need of the task there.
    @param worker set to the chosen worker's id, owned by the placement */
place_result_t placement_choose (placement_t *placement, usec_t now,
                                 const task_t *task, const char **worker);

/** Reserves capacity for an attempt that is already running, after a shard was
    taken over.  The reservations may exceed the capacity of the worker, which
    then gets no new tasks until they fit again. */
void placement_adopt (placement_t *placement, usec_t now, const char *worker,
                      const task_t *task);

/** Releases the reservation of an attempt that ended.
    @param ok false if the attempt failed; a worker on which every attempt
    fails is quarantined, at most half of the workers at a time
    @param run_time 0 if no run was completed; the failures of the worker are
    then not reset */
void placement_attempt_ended (placement_t *placement, usec_t now,
                              const char *worker, uint64_t order,
                              uint64_t attempt, bool ok, usec_t run_time);

/** Records the measured usage of an attempt, which its worker reports with a
    delay. */
void placement_record_usage (placement_t *placement, usec_t now,
                             const char *worker, uint64_t order,
                             uint64_t attempt, uint64_t millicores,
                             uint64_t memory_mb);

/** Records the latency of a service on a worker.
    @param slowdown_milli ratio of the measured to the usual latency, in
    thousandths */
void placement_record_slowdown (placement_t *placement, usec_t now,
                                const char *worker, const char *service_class,
                                uint64_t slowdown_milli);

/** @return free thousandths of cores on workers that accept new tasks */
uint64_t placement_free_millicores (const placement_t *placement);

/** Decides on throttling and evictions for some of the workers.
    @return when to call again */
usec_t placement_tick (placement_t *placement, usec_t now);

json_t *placement_dump (const placement_t *placement);

#endif

/** @file
 * Placement of batch work on workers: which worker, whom to throttle,
 * checkpoint and evict.
 *
 * Counts what it has placed itself; a worker is never given more than it
 * can hold.  Declared sizes are corrected by measured use, interference is
 * learned for each pair (service class, batch class).  Does no I/O.
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
  usec_t accepted_at; /**< when the order was accepted; kept over evictions */
  bool resumable;     /**< may be checkpointed and evicted */
  const char *avoid;  /**< worker on which it failed, NULL for none; taken
                           only if no other could ever hold the task */
} task_t;

typedef enum
{
  PLACE_OK,
  PLACE_NO_ROOM,    /**< none free now */
  PLACE_OVER_QUOTA, /**< the team's quota is used up */
  PLACE_NEVER_FITS  /**< no worker of the fleet could ever hold it */
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
  /** Relief decided for a running task. */
  void (*relieve) (void *ctx, usec_t now, const char *worker, uint64_t order,
                   uint64_t attempt, relief_action_t action);
} placement_ops_t;

typedef struct placement placement_t;

placement_t *placement_new (GRand *random, const placement_ops_t *ops,
                            void *ctx);
void placement_free (placement_t *placement);

/** Adds a worker or updates what is known of it. @return its handle */
handle_t placement_set_worker (placement_t *placement, usec_t now,
                               const worker_info_t *info);
/** Forgets a worker (its shard went to another owner). */
void placement_remove_worker (placement_t *placement, const char *worker);

/** Sets a team's quota in thousandths of a core, 0 for none. */
void placement_quota (placement_t *placement, const char *team,
                      uint64_t millicores);

/** Chooses a worker and reserves the task's size there.
    @param worker set to the chosen worker's id, owned by the placement */
place_result_t placement_choose (placement_t *placement, usec_t now,
                                 const task_t *task, const char **worker);

/** Reserves for an attempt that runs already (after takeover); may exceed
    the worker, which then gets nothing new until it fits again. */
void placement_adopt (placement_t *placement, usec_t now, const char *worker,
                      const task_t *task);

/** An attempt ended and its room is free.
    @param ok false if it failed; a worker that fails everything is set
    aside, at most half of the workers at once */
void placement_attempt_ended (placement_t *placement, usec_t now,
                              const char *worker, uint64_t order,
                              uint64_t attempt, bool ok, usec_t run_time);

/** Measured use of an attempt, reported by its worker with a lag. */
void placement_record_usage (placement_t *placement, usec_t now,
                             const char *worker, uint64_t order,
                             uint64_t attempt, uint64_t millicores,
                             uint64_t memory_mb);

/** Service latency seen on a worker: ratio of measured to usual, in
    thousandths (1000 = usual). */
void placement_record_slowdown (placement_t *placement, usec_t now,
                                const char *worker, const char *service_class,
                                uint64_t slowdown_milli);

/** @return free thousandths of cores on workers that take new tasks */
uint64_t placement_free_millicores (const placement_t *placement);

/** Decides throttling and evictions. @return when to call again */
usec_t placement_tick (placement_t *placement, usec_t now);

json_t *placement_dump (const placement_t *placement);

#endif

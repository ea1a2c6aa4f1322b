/** @file
 * Choice of the runs that are stopped to make room for a task.
 *
 * The load that this answers: a quarter of the workers leaves at once while
 * the others are full and over a thousand tasks wait.  The long-running tasks
 * of the workers that have left must run again within 9 s of their last run,
 * 6 s that the platform grants and 3 s in which there has to be room.  When
 * the leases of a lost worker have expired, 7 s of them are over.
 *
 * Does no I/O and knows neither shards nor workers.
 */
#ifndef SHARD_PREEMPTION_H
#define SHARD_PREEMPTION_H

#include "base/types.h"

/** Time from the last run of a long-running task within which the platform
    asks for the next one. */
#define PREEMPTION_RESTART_LIMIT (9 * USEC_PER_SEC)
/** Longest time until the leases of a lost worker have expired: they end 6.5 s
    after the last confirmation of the ownership, drift and stop included. */
#define PREEMPTION_LEASE_TIME (7 * USEC_PER_SEC)
/** From the decision to the next run: a stop and the list that shows its
    effect (1 s), an append and a start (0.5 s). */
#define PREEMPTION_TIME (1500 * USEC_PER_MSEC)
/** No second preemption for the same task within this time: by then the room
    made by the first one is free. */
#define PREEMPTION_INTERVAL USEC_PER_SEC

/** An amount of each resource of a worker; negative if more is in use than
    there is. */
typedef struct
{
  int64_t millicores;
  int64_t memory_mb;
  int64_t accelerators;
} resources_t;

/** A run that can be stopped. */
typedef struct
{
  uint32_t handle;
  resources_t frees;
  bool checkpointed; /**< its task resumes from a checkpoint */
  uint64_t loss;     /**< millicores times ms that it has run, at most lost */
  bool chosen;       /**< result: it is to be stopped */
} preemptible_t;

/** What it costs to make room on a worker. */
typedef struct
{
  bool disturbed;             /**< the task disturbs or is disturbed there */
  uint64_t loss;              /**< of runs without a checkpoint */
  uint64_t checkpointed_loss; /**< of those with one */
  uint32_t runs;
} preemption_cost_t;

/** @return when runs may be stopped for a task that was last under way at
    LAST_RAN.  Until then room may become free by itself. */
usec_t preemption_due (usec_t last_ran);

/** @return whether all of NEEDED is free */
bool resources_suffice (const resources_t *free, const resources_t *needed);
void resources_add (resources_t *sum, const resources_t *other);
void resources_subtract (resources_t *sum, const resources_t *other);
/** Raises each resource of BOUND to that of OTHER, if that is more. */
void resources_raise (resources_t *bound, const resources_t *other);

/** Sorts the runs of one worker: those with a checkpoint first, then those
   that lose the least work. */
void preemption_sort (preemptible_t *runs, size_t count);

/** Chooses runs of one worker to be stopped, in their order, and no more than
    needed.
    @param runs sorted; preemptible_t.chosen of all is set
    @return whether NEEDED is free without the chosen runs; if not, none is
    chosen */
bool preemption_plan (const resources_t *needed, const resources_t *free,
                      preemptible_t *runs, size_t count,
                      preemption_cost_t *cost);

/** @return less than, equal to or more than 0 if the first costs less, the
    same or more */
int preemption_compare (const preemption_cost_t *a,
                        const preemption_cost_t *b);

#endif

/** @file
 * A shard whose workers are full, with workers and a store that have no faults
 * but those that the test orders, on a clock that the test advances.
 *
 * Deterministic: calls and appends take a constant time.  Each start is
 * checked against the capacity of its worker and against other runs of the
 * task.
 */
#ifndef SUPPORT_FULL_SHARD_H
#define SUPPORT_FULL_SHARD_H

#include "shard/shard.h"

#define FULL_START_WALL_MS 1700000000000LL
/** Capacity of each worker. */
#define FULL_MILLICORES 4000U
#define FULL_MEMORY_MB 4000U

/** A run on a worker. */
typedef struct
{
  run_id_t run_id;
  usec_t started_at;
  usec_t ends_at; /**< INT64_MAX: runs on */
  uint32_t millicores;
  bool long_running;
  bool best_effort; /**< its millicores are not counted */
  bool checkpoints;
} full_run_t;

/** A run that was stopped. */
typedef struct
{
  run_id_t run_id;
  uint32_t worker;
  usec_t at; /**< when its worker got the stop */
  bool long_running;
} full_stop_t;

/** A long-running task that lost its run as its worker left. */
typedef struct
{
  run_id_t run_id;     /**< of the lost run */
  usec_t lost_at;      /**< when the worker left */
  usec_t restarted_at; /**< when the next run started, 0: it has not */
} full_loss_t;

typedef struct full_shard full_shard_t;

struct full_shard
{
  shard_t *shard;
  usec_t now;
  uint64_t token;
  GPtrArray *workers;      /**< private */
  GHashTable *submissions; /**< job_id_t -> submission_t */
  GHashTable *records;     /**< private */
  GArray *replies;         /**< private */
  GPtrArray *append;       /**< private */
  usec_t append_due;
  bool store_down;    /**< appends are refused */
  usec_t stop_time;   /**< a worker stops a run this long after the stop */
  usec_t stop_spread; /**< and each further one this much later */
  GArray *stops;      /**< full_stop_t */
  GArray *losses;     /**< full_loss_t */
  uint32_t starts;
};

full_shard_t *full_shard_new (uint32_t workers);
void full_shard_free (full_shard_t *full);

/** @return a submission of one step whose tasks run for DURATION_MS */
submission_t *full_submission (job_id_t id, uint32_t tasks,
                               uint32_t duration_ms);
/** The same of a long-running task. */
submission_t *full_long_running (job_id_t id, uint32_t millicores);
/** Stores a record that the next owner loads. */
void full_store (full_shard_t *full, record_kind_t kind, job_id_t job,
                 const GByteArray *value);
/** Stores the submission and passes it to the shard. */
void full_submit (full_shard_t *full, submission_t *submission);

void full_run_until (full_shard_t *full, usec_t end);
/** The worker and its runs end at once; calls to it are not answered and its
    entry goes. */
void full_end_worker (full_shard_t *full, uint32_t worker);
/** The owner is killed; another one loads the records GAP later. */
void full_replace_owner (full_shard_t *full, usec_t gap);
/** @return the runs on a worker, full_run_t */
const GArray *full_runs (const full_shard_t *full, uint32_t worker);

#endif

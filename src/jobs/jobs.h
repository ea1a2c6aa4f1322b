/** @file
 * Jobs of steps and tasks: what a caller submitted and how far it got.
 *
 * A job is stored as two records under its identifier: the submission,
 * written once by the process that accepted it, and the progress, written by
 * the owner of the job's shard.  Does no I/O and reads no clock.
 */
#ifndef JOBS_JOBS_H
#define JOBS_JOBS_H

#include "base/types.h"

#include <glib.h>

typedef uint64_t job_id_t;

/** Bounds on what is decoded and accepted. */
#define JOB_MAX_STEPS 256U
#define JOB_MAX_SPEC_BYTES 4000U
/** The tasks of a job that are not done fit into one record of a store that
    takes 256 KiB: at most 80 bytes for each. */
#define JOB_MAX_TASKS 3000U
/** The last occurrence falls due within so many ms after 1970. */
#define JOB_MAX_DUE_MS (1LL << 43)

/** Tasks of one kind.  Zero, false and NULL mean that it was not asked for. */
typedef struct
{
  uint32_t count;      /**< tasks, at least 1 */
  uint32_t millicores; /**< of each task, as the rest */
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t declared_ms; /**< the caller's estimate of the run time */
  uint32_t *depends_on; /**< earlier steps that must be done first */
  uint32_t depends_on_count;
  bool checkpoints;        /**< saves its progress */
  bool gang;               /**< all tasks run together or not at all */
  bool tightly_coupled;    /**< slower on more than one rack */
  bool speculative;        /**< a task may run more than once */
  bool long_running;       /**< runs until the job is cancelled */
  bool best_effort;        /**< uses only processor time left over by others */
  uint32_t max_per_worker; /**< most tasks on one worker, 0 for any number */
  uint32_t
      target_latency_ms; /**< tail latency that its own users need, 0: none */
  uint32_t max_unavailable; /**< lasting tasks that may be away at a time */
  char *required_label;     /**< that the worker must have */
  char *data_rack;          /**< where its data is */
  char *image;              /**< tasks of one image behave alike */
} step_t;

/** What a caller submitted, with the rules of its queue at that moment. */
typedef struct
{
  job_id_t id;
  char *queue;
  char *service;            /**< whose workers run it */
  char *spec;               /**< passed on to the workers */
  uint32_t priority;        /**< 0 comes first */
  uint32_t max_attempts;    /**< runs of a task that may fail */
  uint32_t stretch_percent; /**< objective in percent of the longest chain */
  uint32_t target_ms;       /**< added to the objective */
  int64_t accepted_ms;      /**< wall clock, since 1970 */
  uint32_t
      occurrence_count; /**< occurrences, 0 for a job without a schedule */
  int64_t first_due_ms; /**< wall clock at which occurrence 0 is due */
  int64_t interval_ms;
  step_t *steps;
  uint32_t step_count;
} submission_t;

typedef enum
{
  TASK_WAITING = 0, /**< to be started */
  TASK_PLACED = 1,  /**< a run may be under way on its worker */
  TASK_DONE = 2
} task_state_t;

/** Where a run was started: one life of one worker. */
typedef struct
{
  char *worker;
  int64_t life_ms; /**< start of the worker's life, since 1970 */
  char *address;   /**< where it was reached; an owner must be able to ask a
                        worker that is not listed any more */
} place_t;

/** A task.  Only the fields up to SAVED are stored. */
typedef struct
{
  task_state_t state;
  uint32_t run;        /**< number of the newest run, 0 before the first */
  uint32_t failures;   /**< runs that ended in failure */
  place_t place;       /**< of the newest run, while placed */
  char *checkpoint;    /**< newest checkpoint, NULL for none */
  uint32_t run_handle; /**< of the owner's row for the newest run, 0: none */
  uint32_t stalls;     /**< runs that were stopped for standing still */
  uint32_t avoid; /**< owner's handle of the worker where it last failed */
} task_t;

/** One pass through the steps; a job without a schedule has one. */
typedef struct
{
  uint32_t number;
  int64_t due_ms;       /**< wall clock; accepted_ms without a schedule */
  task_t **tasks;       /**< per step, step->count tasks */
  uint32_t *unfinished; /**< per step, tasks that are not done */
  uint32_t *placed;     /**< per step, tasks that are placed */
} occurrence_t;

typedef enum
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELED
} job_status_t;

typedef struct
{
  job_id_t id;
  submission_t *submission; /**< NULL after the end */
  GPtrArray *occurrences;   /**< of occurrence_t, those that are not done */
  uint32_t next_occurrence;
  uint32_t placed;         /**< tasks placed */
  bool started;            /**< a worker has begun a task of it */
  job_status_t end_status; /**< COMPLETED, FAILED or CANCELED, else QUEUED */
  int64_t ended_ms;        /**< wall clock */
} job_t;

/** @return "queued", "running", "completed", "failed" or "canceled" */
const char *job_status_name (job_status_t status);

/** Parses 16 hexadecimal digits. @return false if TEXT is anything else */
bool job_id_parse (const char *text, size_t len, job_id_t *id);

/** Checks the bounds and the graph of steps.
    @return 0, or -EINVAL with ERR filled */
int submission_check (const submission_t *order, err_t *err);

void submission_free (submission_t *order);
void submission_encode (const submission_t *order, GByteArray *out);

/** @return NULL if BYTES are no valid submission */
submission_t *submission_decode (blob_t bytes);

/** Makes a job of a submission, which it takes over. */
job_t *job_new (submission_t *order);

/** Makes a job that is known only by its progress record. */
job_t *job_new_ended (job_id_t id, job_status_t end, int64_t ended_ms);
void job_free (job_t *job);

/** Encodes the progress of a job. */
void job_encode (const job_t *job, GByteArray *out);

/** Applies a stored progress record to a job made by job_new.
    @return 0, or -EBADMSG: the job is then unchanged */
int job_decode (job_t *job, blob_t bytes);

/** Reads the end out of a progress record.
    @return JOB_QUEUED if the job has not ended or the record is unreadable */
job_status_t job_decode_end (blob_t bytes, int64_t *ended_ms);

/** Creates the occurrences that are due, as long as no more than JOB_MAX_TASKS
    tasks are in occurrences that are not done.  @return how many */
uint32_t job_create_due_occurrences (job_t *job, int64_t wall_ms);

/** @return wall clock of the next occurrence, INT64_MAX for none */
int64_t job_next_due (const job_t *job);

/** @return the occurrence, NULL if it is done or not due yet */
occurrence_t *job_occurrence (const job_t *job, uint32_t number);

/** @return the task, NULL if there is none */
task_t *job_task (const job_t *job, uint32_t occurrence, uint32_t step,
                  uint32_t index);

/** @return whether all steps before it are done and tasks of it are not */
bool step_is_ready (const job_t *job, const occurrence_t *occurrence,
                    uint32_t step);

/** A run of the task is about to be started there. */
void task_place (job_t *job, occurrence_t *occurrence, uint32_t step,
                 uint32_t index, const place_t *place);

/** Keeps a checkpoint; NULL or an empty one changes nothing. */
void task_set_checkpoint (task_t *task, const char *saved);

/** The newest run ended or will never run; the task waits again. */
void task_requeue (job_t *job, occurrence_t *occurrence, uint32_t step,
                   uint32_t index);

/** The newest run ended well.  Frees the occurrence if it was the last one:
    job_occurrence does not find it any more.
    @return whether the whole job is completed by it */
bool task_done (job_t *job, occurrence_t *occurrence, uint32_t step,
                uint32_t index);

/** Ends the job: nothing more is started. */
void job_end (job_t *job, job_status_t end, int64_t wall_ms);

/** Drops submission and tasks of an ended job without placed tasks. */
void job_free_details (job_t *job);

job_status_t job_status (const job_t *job);

/** @param occurrence NULL for the whole chain
    @return declared time of the longest chain of steps that are not done, in
    ms */
uint64_t job_critical_path_ms (const job_t *job,
                               const occurrence_t *occurrence);

#endif

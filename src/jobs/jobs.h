/** @file
 * Jobs made of steps and tasks: their submission and their progress.
 *
 * A job is stored as two records under its identifier: the submission,
 * written once by the process that accepted it, and the progress, written by
 * the owner of the job's shard.  This module does no I/O and reads no clock.
 */
#ifndef JOBS_JOBS_H
#define JOBS_JOBS_H

#include "base/types.h"

#include <glib.h>

/** Identifier of a job, 16 hexadecimal digits that its caller has chosen:
   their value in the lower 64 bits, and above them a bit for each digit that
   is a capital letter, the lowest one for the last digit.  Identifiers that
   differ only in the case of letters are those of different jobs. */
typedef unsigned __int128 job_id_t;

#define JOB_ID_DIGITS 16U
#define JOB_ID_TEXT_SIZE (JOB_ID_DIGITS + 1)

/** The identifier as text, for the rest of the enclosing block. */
#define JOB_ID_TEXT(id) job_id_format ((id), (char[JOB_ID_TEXT_SIZE]){ 0 })

/* Limits on a submission, also when it is decoded from a record. */

#define JOB_MAX_STEPS 256U
#define JOB_MAX_SPEC_BYTES 4000U /**< bytes */

/** Tasks of a job that are not done.  A progress record takes at most 80 bytes
    for each, so that it fits into the 256 KiB that the store accepts. */
#define JOB_MAX_TASKS 3000U

/** Latest due time of an occurrence, ms since 1970. */
#define JOB_MAX_DUE_MS (1LL << 43)

/** A group of identical tasks.  Zero, false or NULL means that the caller set
    no such requirement. */
typedef struct
{
  uint32_t count;      /**< tasks, at least 1 */
  uint32_t millicores; /**< per task, as the following resources */
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t declared_ms; /**< the caller's estimate of the run time */
  uint32_t *depends_on; /**< indices of earlier steps that it depends on */
  uint32_t depends_on_count;
  bool checkpoints;     /**< its tasks report checkpoints to resume from */
  bool gang;            /**< all tasks run together or not at all */
  bool tightly_coupled; /**< slower if spread over several racks */
  bool speculative;     /**< speculative: a task may run more than once */
  bool long_running;    /**< runs until the job is cancelled */
  bool best_effort; /**< best effort: uses only CPU time that others leave */
  uint32_t max_per_worker; /**< limit of tasks per worker, 0: none */
  uint32_t
      target_latency_ms; /**< tail latency objective of its users, 0: none */
  uint32_t
      max_unavailable;  /**< long-running tasks that may be down at a time */
  char *required_label; /**< kind or rack that the worker must have */
  char *data_rack;      /**< rack that holds its data, preferred */
  char *image;          /**< program image; tasks of one image behave alike */
} step_t;

/** A submitted job, with the settings of its queue at that time; only the
    service follows later configurations (job_set_service). */
typedef struct
{
  job_id_t id;
  char *queue;
  char *service;           /**< service whose workers run it */
  uint64_t config_version; /**< configuration that SERVICE is from, 0: not
                                known */
  bool letters_unknown;    /**< stored by a build that writes all letters of an
                                identifier as small ones */
  char *spec;              /**< passed unchanged to the workers */
  uint32_t priority;       /**< 0 is the highest */
  uint32_t max_attempts; /**< failed runs of one task at which the job fails */
  uint32_t
      stretch_percent; /**< time objective in percent of the critical path */
  uint32_t target_ms;  /**< added to the time objective */
  int64_t accepted_ms; /**< wall clock, ms since 1970 */
  uint32_t occurrence_count; /**< number of occurrences, 0: no schedule */
  int64_t first_due_ms;      /**< wall clock at which occurrence 0 is due */
  int64_t interval_ms;
  step_t *steps;
  uint32_t step_count;
} submission_t;

typedef enum
{
  TASK_WAITING = 0, /**< has no run that may be under way */
  TASK_PLACED = 1,  /**< a run may be under way on its worker */
  TASK_DONE = 2
} task_state_t;

/** The worker process on which a run was started. */
typedef struct
{
  char *worker;
  int64_t life_ms; /**< start of the worker process, ms since 1970 */
  char *address;   /**< stored because the owner may have to query a worker
                        that is no longer listed */
} place_t;

/** A second run of a placed task, started as the first one was late. */
typedef struct
{
  uint32_t run; /**< its number */
  place_t place;
  bool worker_leaves;
  uint32_t run_handle; /**< in the owner's table; not stored */
} task_copy_t;

/** A task.  The fields from RUN_HANDLE on are not stored. */
typedef struct
{
  task_state_t state;
  uint32_t run;        /**< number of the newest run, 0 before the first */
  uint32_t placed_run; /**< number of the run at PLACE, while placed */
  uint32_t failures;  /**< runs that ended in failure; the first task of a gang
                           counts those of the gang */
  place_t place;      /**< of the run PLACED_RUN, while placed */
  task_copy_t *copy;  /**< NULL for none, as always while not placed */
  char *checkpoint;   /**< newest checkpoint, NULL for none */
  uint32_t crashes;   /**< workers that crashed as they had just started it,
                           since a run of it lived on */
  uint32_t losses;    /**< runs lost with their worker for any cause, since
                           a run of it lived on; at least CRASHES */
  bool worker_leaves; /**< its worker was listed as leaving */
  uint32_t run_handle; /**< run PLACED_RUN in the owner's table, HANDLE_NONE:
                          none */
  uint32_t stalls;     /**< runs stopped because they made no progress */
  uint32_t avoid;      /**< worker where it last failed or stalled, a handle */
  usec_t start_after;  /**< is not placed before */
} task_t;

/** One execution of all steps; a job without a schedule has exactly one. */
typedef struct
{
  uint32_t number;
  int64_t due_ms;       /**< wall clock; accepted_ms without a schedule */
  task_t **tasks;       /**< per step, step->count tasks */
  uint32_t *unfinished; /**< per step, tasks that are not done */
  uint32_t *placed;     /**< per step, tasks that are placed */
  uint32_t *failed_run; /**< per step, of a gang: newest run that counts as
                             failed, 0: none */
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
  submission_t *submission; /**< NULL once job_free_details has dropped it */
  GPtrArray *occurrences; /**< occurrence_t, those that are due and not done */
  uint32_t next_occurrence; /**< number of the next one to create */
  uint32_t placed;          /**< tasks that are placed */
  bool started;             /**< a run of one of its tasks has started */
  job_status_t end_status;  /**< final status, JOB_QUEUED until the job ends */
  int64_t ended_ms;         /**< wall clock, 0 until the job ends */
  bool unsubmitted;     /**< canceled before any submission of it was known */
  bool letters_unknown; /**< as of its submission: the caller may have written
                             some letters of ID as capitals */
  bool moved; /**< the service is not from the record of the submission */
} job_t;

/** @return "queued", "running", "completed", "failed" or "canceled" */
const char *job_status_name (job_status_t status);

/** What a progress record tells of the end of its job. */
typedef struct
{
  job_status_t status;  /**< JOB_QUEUED: it has not ended, or the record is
                             invalid */
  int64_t ended_ms;     /**< job_t.ended_ms */
  bool unsubmitted;     /**< job_t.unsubmitted */
  bool letters_unknown; /**< job_t.letters_unknown */
} job_end_t;

/** Parses 16 hexadecimal digits. @return false if TEXT is anything else */
bool job_id_parse (const char *text, size_t len, job_id_t *id);

/** @param capitals the digits that are capital letters, as in job_id_t; bits
   of other digits are ignored */
job_id_t job_id_make (uint64_t number, uint64_t capitals);
uint64_t job_id_number (job_id_t id);
uint32_t job_id_capitals (job_id_t id);

/** Formats the identifier as its caller wrote it.  @return OUT */
const char *job_id_format (job_id_t id, char out[JOB_ID_TEXT_SIZE]);

/** For tables with pointers to job_id_t as keys. */
guint job_id_hash (gconstpointer id);
gboolean job_id_equal (gconstpointer left, gconstpointer right);

/** Checks the limits and that steps depend only on earlier ones.
    @return 0, or -EINVAL with ERR filled in */
int submission_check (const submission_t *submission, err_t *err);

void submission_free (submission_t *submission);
void submission_encode (const submission_t *submission, GByteArray *out);

/** @return the submission, NULL if BYTES do not hold a valid one */
submission_t *submission_decode (blob_t bytes);

/** @return estimate of the heap memory of a submission, in bytes */
uint64_t submission_heap_bytes (const submission_t *submission);

/** @return estimate of the heap memory of one occurrence of the job, in bytes.
    The places and checkpoints of its tasks are not included: they come from
    the workers, whose capacity bounds them */
uint64_t occurrence_heap_bytes (const submission_t *submission);

/** @return what the allocator takes for SIZE bytes, estimated for malloc of
    glibc on 64-bit machines */
uint64_t heap_bytes (uint64_t size);

/** Creates a job from a submission and takes ownership of the latter. */
job_t *job_new (submission_t *submission);

/** Creates an ended job of which only the progress record is known. */
job_t *job_new_ended (job_id_t id, const job_end_t *end);
void job_free (job_t *job);

/** Has the service that a configuration names for the job's queue run the
    tasks that are placed from now on, unless the job follows a later
    configuration.
    @return whether the service has changed */
bool job_set_service (job_t *job, const char *service, uint64_t version);

/** Encodes the progress record of a job. */
void job_encode (const job_t *job, GByteArray *out);
void job_encode_without_checkpoints (const job_t *job, GByteArray *out);

/** Applies a stored progress record to a job made by job_new.
    @return 0, or -EBADMSG if the record is invalid: the job may then hold a
    part of it */
int job_decode (job_t *job, blob_t bytes);

/** Reads what a progress record tells of the end of its job. */
void job_decode_end (blob_t bytes, job_end_t *end);

/** Creates the occurrences that are due.  While some are not done, they have
    at most JOB_MAX_TASKS tasks in total.  @return how many were created */
uint32_t job_create_due_occurrences (job_t *job, int64_t wall_ms);

/** Creates the next occurrence if it is due, within the same limit.
    @return whether one was created */
bool job_create_due_occurrence (job_t *job, int64_t wall_ms);

/** @return due time of the next occurrence to create, INT64_MAX for none,
    INT64_MIN for the only one of a job without a schedule */
int64_t job_next_due (const job_t *job);

/** @return the occurrence, NULL if it is done or not created yet */
occurrence_t *job_occurrence (const job_t *job, uint32_t number);

/** @return the task, NULL if there is no such task */
task_t *job_task (const job_t *job, uint32_t occurrence, uint32_t step,
                  uint32_t index);

/** @return whether all steps it depends on are done and the step is not */
bool step_is_ready (const job_t *job, const occurrence_t *occurrence,
                    uint32_t step);

/** Records that the next run of the task is about to start at PLACE. */
void task_place (job_t *job, occurrence_t *occurrence, uint32_t step,
                 uint32_t index, const place_t *place);

/** @return whether tasks of the step may have a second run */
bool step_allows_copies (const step_t *step);

/** Records that a second run of a placed task without a copy is about to start
    at PLACE. */
void task_place_copy (task_t *task, const place_t *place);

/** Forgets one of the two runs of a task with a copy; the other goes on.
    @param run number of the run to forget */
void task_drop_run (task_t *task, uint32_t run);

/** @return the place of a run under way, NULL if the task has no such run */
place_t *task_run_place (task_t *task, uint32_t run);

/** Counts a failed run of a task, or of its gang: that counts once, however
    many of its members have failed.
    @return failed runs of the task, or of the gang */
uint32_t task_count_failure (const job_t *job, occurrence_t *occurrence,
                             uint32_t step, uint32_t index, uint32_t run);

/** Replaces the checkpoint of a task; NULL or an empty one is ignored. */
void task_set_checkpoint (task_t *task, const char *saved);

/** Puts a task whose newest run ended or never started back to waiting. */
void task_requeue (job_t *job, occurrence_t *occurrence, uint32_t step,
                   uint32_t index);

/** Marks a task as done.  Frees the occurrence if it was its last task:
    job_occurrence no longer finds it then.
    @return whether the whole job is completed */
bool task_done (job_t *job, occurrence_t *occurrence, uint32_t step,
                uint32_t index);

/** Sets the final status of the job.  After that no occurrence is created and
    no run may be started. */
void job_end (job_t *job, job_status_t end, int64_t wall_ms);

/** Frees the submission and the tasks of a job that has ended and has no
    placed tasks. */
void job_free_details (job_t *job);

job_status_t job_status (const job_t *job);

/** @param occurrence NULL to count all steps as not done
    @return length of the critical path through the steps that are not done,
    by their declared times, in ms */
uint64_t job_critical_path_ms (const job_t *job,
                               const occurrence_t *occurrence);

#endif

/** @file
 * Owner of one shard: its jobs, its workers and the runs of tasks there.
 *
 * The shard's state is the records of its jobs in the platform's store.  The
 * owner appends under the generation that gave it the shard and gives the
 * same number to the workers as a token, so that neither takes anything from
 * a former owner.  Guarded invariants:
 *
 *  - a run is started only after the record that names its worker is stored;
 *  - a run's end is confirmed to its worker only after it is stored;
 *  - a task is started again only when its former run has ended, or its
 *    lease has surely lapsed, or its worker's life is over.
 *
 * Does no I/O and reads no clock.
 */
#ifndef SHARD_SHARD_H
#define SHARD_SHARD_H

#include "jobs/jobs.h"

#include <jansson.h>

typedef struct shard shard_t;

typedef struct
{
  usec_t lease;        /**< longest lease that a worker grants */
  usec_t stop_limit;   /**< a worker needs this long to stop a run */
  usec_t poll_busy;    /**< wait for an end at a worker that runs something */
  usec_t poll_shared;  /**< the same where tasks with a latency target run
                            beside others that may disturb them */
  usec_t poll_idle;    /**< the same at one that runs nothing */
  usec_t call_timeout; /**< of a call to a worker, its wait excluded */
  usec_t stale_limit;  /**< an owner without contact to the store extends
                            leases for this long */
  usec_t keep_ended;   /**< an ended job is known for this long */
  uint32_t append_bytes; /**< most bytes of one append */
} shard_config_t;

/** A worker as the platform's list describes it. */
typedef struct
{
  const char *id;
  int64_t started_ms; /**< start of its life, since 1970 */
  const char *address;
  const char *service;
  const char *label; /**< label */
  const char *rack;
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  bool leaving;
} shard_worker_t;

typedef enum
{
  SHARD_HOLD,  /**< extend leases, wait for an end, list runs and ends */
  SHARD_START, /**< start a run; repeated until answered */
  SHARD_STOP   /**< stop a run */
} shard_call_kind_t;

/** A task's run as workers know it. */
typedef struct
{
  job_id_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  uint32_t run;
} run_id_t;

typedef struct
{
  uint64_t id; /**< to be given back to shard_reply */
  shard_call_kind_t kind;
  const char *address;
  const char *worker;
  uint64_t token;
  int64_t lease_until;    /**< ms on the worker's clock, 0 for no extension */
  usec_t timeout;         /**< for the whole call */
  run_id_t run_id;        /**< all but a hold */
  const char *spec;       /**< start */
  const char *checkpoint; /**< start: checkpoint, NULL for none */
  uint64_t
      acknowledged_end; /**< hold: ends up to this number may be forgotten */
  usec_t wait;          /**< hold: the worker waits so long for an end */
} shard_call_t;

typedef enum
{
  SHARD_REPLY_OK,
  SHARD_REPLY_FENCED,  /**< the worker has seen a higher token */
  SHARD_REPLY_STALE,   /**< a run as high was stopped or ended there */
  SHARD_REPLY_EXPIRED, /**< the lease was over on arrival */
  SHARD_REPLY_NO_ROOM,
  SHARD_REPLY_UNHEALTHY,    /**< the worker has done nothing */
  SHARD_REPLY_INVALID,      /**< the worker does not understand the call */
  SHARD_REPLY_OTHER_WORKER, /**< another worker answers at the address */
  SHARD_REPLY_REFUSED,      /**< no process listens there */
  SHARD_REPLY_NONE          /**< the worker may have acted, or may act later */
} shard_reply_kind_t;

/** @return a reply's name in log lines, such as "no room" */
const char *shard_reply_name (shard_reply_kind_t kind);

/** A run that a worker lists. */
typedef struct
{
  run_id_t run_id;
  const char *checkpoint; /**< newest checkpoint, "" for none */
  uint32_t percent; /**< of the work done; of a lasting task, 100 when it is
                         at work */
  uint32_t measure; /**< millicores in use; of a task with a target its tail
                         latency in ms */
} run_report_t;

typedef enum
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LEASE_EXPIRED,
  RUN_GANG_BROKEN, /**< another member of its gang ended */
  RUN_GANG_TIMEOUT /**< it waited too long for its gang */
} run_end_t;

/** @return an end's name in log lines, such as "lapsed" */
const char *run_end_name (run_end_t end);

typedef struct
{
  uint64_t number; /**< rises by one from 1 in each life */
  run_id_t run_id;
  run_end_t end;
  const char *checkpoint; /**< newest checkpoint, "" for none */
} end_report_t;

typedef struct
{
  shard_reply_kind_t kind;
  int64_t clock_ms;   /**< worker's clock, 0 if not told */
  int64_t started_ms; /**< start of the worker's life, 0 if not told */
  bool has_lists;     /**< runs and ends are those of a hold */
  const run_report_t *runs;
  size_t run_count;
  const end_report_t *ends;
  size_t end_count;
} shard_reply_t;

typedef enum
{
  SHARD_STORED,
  SHARD_NOT_STORED,    /**< refused; the same append is repeated */
  SHARD_STORE_TIMEOUT, /**< no answer: as refused, but it was waited for */
  SHARD_SUPERSEDED     /**< a later owner has written */
} shard_append_result_t;

/** Kinds of records; a record's key is its kind and the job. */
typedef enum
{
  RECORD_SUBMISSION = 'j',
  RECORD_PROGRESS = 's',
  RECORD_INTERFERENCE = 'i' /**< interference of images; of job 0 */
} record_kind_t;

/** A record to be appended; without a value the key is dropped. */
typedef struct
{
  record_kind_t kind;
  job_id_t job;
  blob_t value;
} shard_record_t;

typedef struct
{
  /** Sends a call; shard_reply is called exactly once for it, not before
      this returns. */
  void (*call) (void *ctx, const shard_call_t *call);
  /** Appends records, all or nothing; shard_append_done is called exactly
     once. A repetition has the same SEQUENCE and the same records. */
  void (*append) (void *ctx, uint64_t sequence, const shard_record_t *records,
                  size_t count);
  /** The job's submission, its end or its being cancelled is stored. */
  void (*settled) (void *ctx, job_id_t job);
  /** A later owner was met: the shard is inactive from now on. */
  void (*superseded) (void *ctx);
  /** @return wall clock in ms */
  int64_t (*wall_ms) (void *ctx);
} shard_ops_t;

shard_t *shard_new (const shard_config_t *config, const shard_ops_t *ops,
                    void *ctx, uint32_t number);
void shard_free (shard_t *shard);

/** This process owns the shard under TOKEN from now on.  Its records are
    loaded next.  What was known from an earlier ownership is dropped. */
void shard_acquire (shard_t *shard, usec_t now, uint64_t token);

/** A record of the store, before shard_loaded in any order, afterwards as
    they are appended. */
void shard_apply_record (shard_t *shard, usec_t now, record_kind_t kind,
                         job_id_t job, blob_t value);

/** Takes a submission to be stored with the next append.
    @return 0 if it is stored already, -EINPROGRESS if it is being stored
    (shard_ops_t.settled tells), -EAGAIN if this owner cannot take it now,
    -EBADMSG if RECORD is none of JOB; with the last two it is not taken */
int shard_submit (shard_t *shard, usec_t now, job_id_t job, blob_t record);

/** @return as shard_submit does, -ENOENT if no such job is known */
int shard_submission_state (const shard_t *shard, job_id_t job);

/** Drops a submission that was taken and that no append has carried yet: it
    will not be stored and nothing of the job has run.
    @return 0, -EBUSY if an append may store it, -EALREADY if it is stored,
    -ENOENT if no such job is known */
int shard_withdraw (shard_t *shard, usec_t now, job_id_t job);

/** All records that were there when shard_acquire was called were passed. */
void shard_loaded (shard_t *shard, usec_t now);

/** This process does not own the shard any more. */
void shard_release (shard_t *shard);

/** @return whether the shard is owned and loaded */
bool shard_is_active (const shard_t *shard);

/** Nothing more is started; ends go on being stored. */
void shard_quiesce (shard_t *shard);

/** @return whether no append and no start is under way */
bool shard_is_idle (const shard_t *shard);

/** The store confirmed the ownership at this moment. */
void shard_ownership_confirmed (shard_t *shard, usec_t now);

/** A worker of the shard is listed. */
void shard_worker_listed (shard_t *shard, usec_t now,
                          const shard_worker_t *info);

/** A worker is not listed any more. */
void shard_worker_unlisted (shard_t *shard, usec_t now, const char *id);

/** The whole list was read: workers that are not keys of LISTED are gone. */
void shard_worker_list_read (shard_t *shard, usec_t now, GHashTable *listed);

void shard_reply (shard_t *shard, usec_t now, uint64_t call,
                  const shard_reply_t *reply);
void shard_append_done (shard_t *shard, usec_t now,
                        shard_append_result_t result);

/** Answers from the job's state.
    @param status set if the job is known
    @return 0, -ENOENT if no such job is known, -EAGAIN if its end is not
    stored yet (shard_ops_t.settled will tell) */
int shard_status (const shard_t *shard, job_id_t job, job_status_t *status);

/** Cancels a job.
    @return 0 if the cancel is stored, -EAGAIN if it will be
    (shard_ops_t.settled tells), -ENOENT, -EALREADY if the job has ended */
int shard_cancel (shard_t *shard, usec_t now, job_id_t job);

/** @return accepted jobs of the queue of which no task was started */
uint32_t shard_pending (const shard_t *shard, const char *queue);

/** Sends what is due, decides starts. @return when to call again */
usec_t shard_tick (shard_t *shard, usec_t now);

json_t *shard_dump (const shard_t *shard, usec_t now);

#endif

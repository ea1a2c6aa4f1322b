/** @file
 * Owner of one shard: its jobs, its workers and the runs of its tasks.
 *
 * The state of a shard consists of the records of its jobs in the platform's
 * store.  The generation in which the owner got the shard serves as fencing
 * token for appends and for calls to workers, so that store and workers
 * reject a former owner.  Invariants:
 *
 *  - a run is started only after the record with its worker is stored;
 *  - a run's end is acknowledged to its worker only after it is stored;
 *  - a task is started again only when its former run has ended, or its
 *    lease has certainly expired, or its worker has restarted.
 *
 * Does no I/O and reads no clock.
 */
#ifndef SHARD_SHARD_H
#define SHARD_SHARD_H

#include "jobs/jobs.h"
#include "zones/zones.h"

#include <jansson.h>

typedef struct shard shard_t;

typedef struct
{
  usec_t lease;         /**< longest lease sent to workers */
  usec_t lease_horizon; /**< leases end this long after the store last
                           confirmed the ownership, at the latest; longer than
                           stale_limit */
  usec_t stop_limit;    /**< longest time that a worker needs to stop a run */
  usec_t poll_busy;     /**< longest wait of a hold at a worker with runs */
  usec_t poll_shared;   /**< the same where best-effort tasks run beside tasks
                           with a latency target */
  usec_t poll_idle;     /**< the same at a worker without runs */
  usec_t call_timeout;  /**< of a call to a worker, excluding its wait */
  usec_t stale_limit; /**< no calls are sent to workers once the store has not
                         confirmed the ownership for this long */
  usec_t keep_ended;  /**< how long an ended job stays known */
  uint32_t append_bytes;  /**< size at which an append is full */
  const zones_t *zones;   /**< evacuated availability zones, NULL: no zone is
                             ever evacuated */
  usec_t zones_max_age;   /**< nothing is started while the state of the zones
                             is older than this */
  usec_t workers_max_age; /**< nothing is started on workers that accept more
                             than they have room for while the list of workers
                             is older than this */
  uint64_t job_bytes;     /**< most bytes that jobs may take as new ones are
                             accepted (shard_job_bytes), 0: no bound */
  uint32_t copy_percent;  /**< most of the capacity in use that copies of late
                             runs take, 0: no copies are started */
} shard_config_t;

/** A worker as listed by the platform. */
typedef struct
{
  const char *id;
  int64_t started_ms; /**< start of its incarnation, since 1970 */
  const char *address;
  const char *service;
  const char *label; /**< label */
  const char *rack;
  const char *zone; /**< availability zone */
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  bool leaving;
} shard_worker_t;

typedef enum
{
  SHARD_HOLD,  /**< long poll: extends leases, lists runs and ends */
  SHARD_START, /**< starts a run; repeated until answered */
  SHARD_STOP   /**< stops a run */
} shard_call_kind_t;

/** Identifies a run of a task. */
typedef struct
{
  job_id_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  uint32_t run; /**< number of the run of this task, from 1 */
} run_id_t;

typedef struct
{
  uint64_t id; /**< passed to shard_reply */
  shard_call_kind_t kind;
  const char *address;
  const char *worker;
  uint64_t token;
  int64_t lease_until;       /**< ms on the worker's clock, 0: no extension */
  usec_t timeout;            /**< for the whole call */
  run_id_t run_id;           /**< start, stop */
  const char *spec;          /**< start */
  const char *checkpoint;    /**< start: checkpoint, NULL for none */
  uint64_t acknowledged_end; /**< hold: acknowledges ends up to this number */
  usec_t wait;               /**< hold: longest wait for an end */
} shard_call_t;

typedef enum
{
  SHARD_REPLY_OK,
  SHARD_REPLY_FENCED,  /**< the worker has seen a higher token */
  SHARD_REPLY_STALE,   /**< a run of the task with this or a higher number was
                          stopped or has ended there */
  SHARD_REPLY_EXPIRED, /**< the lease had expired on arrival */
  SHARD_REPLY_NO_ROOM, /**< too little free capacity */
  SHARD_REPLY_UNHEALTHY,    /**< overloaded or unavailable; has not acted */
  SHARD_REPLY_INVALID,      /**< rejected as malformed */
  SHARD_REPLY_OTHER_WORKER, /**< another worker answers at the address */
  SHARD_REPLY_REFUSED,      /**< connection refused */
  SHARD_REPLY_NONE          /**< the worker may have acted or may act later */
} shard_reply_kind_t;

/** @return text for log lines, such as "no room" */
const char *shard_reply_name (shard_reply_kind_t kind);

/** A run in a worker's list. */
typedef struct
{
  run_id_t run_id;
  const char *checkpoint; /**< newest checkpoint, "" for none */
  uint32_t percent; /**< of the work; of a long-running task 100 when ready */
  uint32_t measure; /**< tail latency in ms of a task with a target, millicores
                       in use of others */
} run_report_t;

typedef enum
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LEASE_EXPIRED, /**< its lease expired */
  RUN_GANG_BROKEN,   /**< another member of its gang ended */
  RUN_GANG_TIMEOUT /**< timed out waiting for the other members of its gang */
} run_end_t;

/** @return text for log lines, such as "lapsed" */
const char *run_end_name (run_end_t end);

typedef struct
{
  uint64_t number; /**< counts up from 1 in each incarnation of the worker */
  run_id_t run_id;
  run_end_t end;
  const char *checkpoint; /**< newest checkpoint, "" for none */
} end_report_t;

typedef struct
{
  shard_reply_kind_t kind;
  int64_t clock_ms; /**< worker's clock, 0 if not reported */
  int64_t
      started_ms; /**< start of the worker's incarnation, 0 if not reported */
  bool has_lists; /**< RUNS and ENDS are set: answer to a hold */
  const run_report_t *runs;
  size_t run_count;
  const end_report_t *ends;
  size_t end_count;
  bool has_more_ends; /**< the worker may have more ends than it has listed */
} shard_reply_t;

typedef enum
{
  SHARD_STORED,
  SHARD_NOT_STORED,    /**< refused; the append is retried after a delay */
  SHARD_STORE_TIMEOUT, /**< timed out; the append is retried at once */
  SHARD_SUPERSEDED     /**< a later owner has appended */
} shard_append_result_t;

/** Kinds of records; the key of a record consists of kind and job. */
typedef enum
{
  RECORD_SUBMISSION = 'j',
  RECORD_PROGRESS = 's',
  RECORD_INTERFERENCE = 'i', /**< interference between images; job is 0 */
  /** Workers to which no owner extends leases while this record names them,
     and when their leases have expired; job is 0 */
  RECORD_LAPSING = 'l',
  /** How long after a takeover the leases of the owner that wrote it have
     expired, in ms; job is 0 */
  RECORD_LEASE_BOUND = 'b'
} record_kind_t;

/** Largest value of a record: with its key and length it takes less than the
    256 KiB that the store accepts. */
#define SHARD_VALUE_MAX_BYTES 262000U

/** A record to be appended; an empty value deletes the record. */
typedef struct
{
  record_kind_t kind;
  job_id_t job;
  blob_t value;
} shard_record_t;

typedef struct
{
  /** Sends a call; shard_reply must be called exactly once for it, after
      this has returned. */
  void (*call) (void *ctx, const shard_call_t *call);
  /** Appends records atomically; shard_append_done must be called exactly
     once. A retry has the same SEQUENCE and the same records. */
  void (*append) (void *ctx, uint64_t sequence, const shard_record_t *records,
                  size_t count);
  /** The job's submission or its end is stored. */
  void (*settled) (void *ctx, job_id_t job);
  /** There is a later owner: the shard has become inactive. */
  void (*superseded) (void *ctx);
  /** @return wall clock in ms */
  int64_t (*wall_ms) (void *ctx);
  /** @return whether the workers of the service reject starts beyond their
      capacity */
  bool (*rejects_overload) (void *ctx, const char *service);
  /** @param version set to that of the configuration in force
      @return the service that runs the tasks of the queue, NULL if the
      configuration has no such queue or none has been read */
  const char *(*service_of_queue) (void *ctx, const char *queue,
                                   uint64_t *version);
} shard_ops_t;

shard_t *shard_new (const shard_config_t *config, const shard_ops_t *ops,
                    void *ctx, uint32_t number);
void shard_free (shard_t *shard);

/** Takes ownership of the shard with fencing token TOKEN and drops the state
    of an earlier ownership.  The records are passed next. */
void shard_acquire (shard_t *shard, usec_t now, uint64_t token);

/** Applies a record of the store.  Before shard_loaded the order does not
    matter, afterwards records are passed in the order of their appends. */
void shard_apply_record (shard_t *shard, usec_t now, record_kind_t kind,
                         job_id_t job, blob_t value);

/** Drops the record of lapsing workers that was passed: an owner that does not
    know such records has appended since, and may have extended leases. */
void shard_discard_lapsing (shard_t *shard);

/** Drops the bound of leases that was passed, for the same reason. */
void shard_discard_lease_bound (shard_t *shard);

/** Accepts a submission, which is stored with a later append.
    @return 0 if it is stored already, -EINPROGRESS if it will be, or if its
    job was canceled before and that will be (shard_ops_t.settled follows),
   -EAGAIN if the shard is not active or quiesced, -EBADMSG if RECORD is no
   submission of JOB or too large, -ENOSPC if the jobs of the shard would take
   more than shard_config_t.job_bytes with a job that is not known yet; with
   the last three the submission is not accepted */
int shard_submit (shard_t *shard, usec_t now, job_id_t job, blob_t record);

/** Checks whether a submission that another process is to store would exceed
    shard_config_t.job_bytes by the length of its record alone.
    @return 0 or -ENOSPC; 0 as well if the job is known or the shard not
    active */
int shard_check_room (const shard_t *shard, job_id_t job, uint32_t record_len);

/** @return 0 if the submission is stored, -EINPROGRESS if it is not stored
    yet, -ENOENT if no such job is known */
int shard_submission_state (const shard_t *shard, job_id_t job);

/** Withdraws a submission that no append has contained yet: none of its tasks
    was started.
    @return 0, -EBUSY if an append may store it or the job has ended,
    -EALREADY if it is stored, -ENOENT if no such job is known */
int shard_withdraw (shard_t *shard, usec_t now, job_id_t job);

/** All records stored before shard_acquire was called have been passed: the
    shard becomes active. */
void shard_loaded (shard_t *shard, usec_t now);

/** Ends the ownership and drops the state. */
void shard_release (shard_t *shard);

/** @return whether the shard is owned and loaded */
bool shard_is_active (const shard_t *shard);

/** Accepts and starts nothing more; ends are still stored. */
void shard_quiesce (shard_t *shard);

/** @return whether nothing is left to be stored and no start is in flight */
bool shard_is_idle (const shard_t *shard);

/** The store has confirmed the ownership. */
void shard_ownership_confirmed (shard_t *shard, usec_t now);

/** Adds or updates a listed worker of the shard. */
void shard_worker_listed (shard_t *shard, usec_t now,
                          const shard_worker_t *info);

/** A worker is no longer listed. */
void shard_worker_unlisted (shard_t *shard, usec_t now, const char *id);

/** A worker is listed in another shard.  It is not called any more once it has
    no runs of this one. */
void shard_worker_moved (shard_t *shard, usec_t now, const char *id);

/** The whole list was read: workers that are not keys of LISTED are no longer
    listed. */
void shard_worker_list_read (shard_t *shard, usec_t now, GHashTable *listed);

/** The workers have been listed as they were at AS_OF. */
void shard_workers_confirmed (shard_t *shard, usec_t as_of);

/** Another configuration is in force: tasks are placed on workers of the
    service that it names for the queue of their job.  Runs go on where they
    are, and jobs of queues that it does not have keep their service. */
void shard_queues_changed (shard_t *shard);

/** A zone was evacuated or taken back. */
void shard_zones_changed (shard_t *shard);

/** Processes the answer to a call or its failure. */
void shard_reply (shard_t *shard, usec_t now, uint64_t call,
                  const shard_reply_t *reply);
/** Processes the result of the append in flight. */
void shard_append_done (shard_t *shard, usec_t now,
                        shard_append_result_t result);

/** @param status set if the job is known
    @return 0, -ENOENT if no such job is known, -EAGAIN if its end is not
    stored yet (shard_ops_t.settled follows).  A job that was canceled, but not
    submitted, is not known */
int shard_status (const shard_t *shard, job_id_t job, job_status_t *status);

/** @return whether all tasks of the job that are not done are running, and no
    others follow: it may end at any moment */
bool shard_is_finishing (const shard_t *shard, job_id_t job);

/** Cancels a job.
    @return 0 if the cancellation is stored, -EAGAIN if the end of the job is
    not stored yet (shard_ops_t.settled follows), -ENOENT, -EALREADY if the job
    has ended otherwise.  A job that ended over half of keep_ended ago is kept
    for another keep_ended, which is stored first: -EAGAIN */
int shard_cancel (shard_t *shard, usec_t now, job_id_t job);

/** Cancels a job of which no submission is known, so that none of its tasks
    starts if its submission arrives later.  The cancellation is kept as long
    as an ended job, and at least half as long after it was repeated.
    @return as shard_cancel, never -ENOENT; -ENOSPC if too many such jobs were
    canceled lately */
int shard_cancel_unknown (shard_t *shard, usec_t now, job_id_t job);

/** @return estimate of the memory that the jobs of the shard take, in bytes:
    their submissions, those that are not stored yet once more as records,
    their occurrences, at least one each, and what is kept of ended jobs */
uint64_t shard_job_bytes (const shard_t *shard);

/** @return number of jobs of the queue without a started task */
uint32_t shard_pending (const shard_t *shard, const char *queue);

/** Places waiting tasks, sends appends and calls that are due.
    @return when to call again */
usec_t shard_tick (shard_t *shard, usec_t now);

/** @return the state of the shard and its workers, for operators */
json_t *shard_dump (const shard_t *shard, usec_t now);

#endif

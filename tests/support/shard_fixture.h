/** @file
 * A shard under test whose calls and appends are recorded, with a clock that
 * the test advances.
 */
#ifndef SUPPORT_SHARD_FIXTURE_H
#define SUPPORT_SHARD_FIXTURE_H

#include "shard/shard.h"

#define MAX_CALLS 64U
/** Age from which on a list of workers is too old for starts. */
#define WORKERS_MAX_AGE (2 * USEC_PER_SEC)
/** How long an owner without a confirmation extends leases. */
#define STALE_LIMIT (12 * USEC_PER_SEC)
/** Longest time from such a confirmation to the end of a lease. */
#define LEASE_HORIZON (18 * USEC_PER_SEC)
#define START_WALL_MS 1700000000000LL
#define JOB_ID 0x5c0e7a21d94b36f8ULL

/** The shard under test and its recorded requests. */
typedef struct
{
  shard_t *shard;
  zones_t *zones;
  shard_call_t calls[MAX_CALLS];
  size_t call_count;
  uint32_t appends;
  uint32_t lapsing_appends; /**< of lapsing workers and no job; not in APPENDS,
                               stored by the next advance */
  bool leases_unstored;     /**< an append without a job is in flight */
  GByteArray *lapsing;      /**< the last record of lapsing workers */
  GByteArray *lease_bound;  /**< the last bound of leases appended */
  uint32_t models;          /**< of interference, appended */
  uint32_t submissions;     /**< non-empty submission records appended */
  bool submission_deleted;  /**< by the last submission record */
  uint32_t largest_record;  /**< bytes of the largest value appended */
  uint32_t largest_append;  /**< bytes of the largest append */
  uint32_t settled;
  uint32_t superseded;
  bool workers_reject_overload; /**< false unless the test sets it */
  uint32_t overload_queries; /**< whether workers reject overload was asked */
  const char *queue_service; /**< of any queue, NULL: there is no queue */
  uint64_t config_version;   /**< in force */
  GByteArray *progress;      /**< value of the last appended progress record */
  usec_t now;
} fixture_t;

extern fixture_t fixture;

/** A run of the first task of JOB_ID, as its worker lists it. */
extern const run_report_t first_run;

void set_up (void);
/** The same with other limits of leases. */
void set_up_leases (usec_t lease, usec_t stale_limit, usec_t lease_horizon);
/** The same with copies of late runs switched off. */
void set_up_without_copies (void);

/** The same with shard_config_t.job_bytes. */
void set_up_job_bytes (uint64_t job_bytes);
void tear_down (void);
/** Frees what is kept from one test to the next. */
void free_fixture (void);

/** @return a submission of one step with TASKS tasks */
submission_t *new_submission (uint32_t tasks);
submission_t *new_submission_with_id (job_id_t id, uint32_t tasks);
/** Passes a stored submission to the shard, and frees it. */
void apply_submission (submission_t *submission);
void add_job (uint32_t tasks);
void add_job_with_id (job_id_t id, uint32_t tasks);
/** Passes a submission of one task to shard_submit. */
int submit (void);

void list_worker (void);
void list_worker_leaving (bool leaving);
void list_worker_with (const char *id, const char *address, bool leaving);
/** Lists a worker in an availability zone. */
void list_worker_in (const char *id, const char *address, const char *zone);
/** Lists an incarnation of a worker in a rack. */
void list_worker_on (const char *id, const char *address, const char *rack,
                     int64_t started_ms);
/** Lists a worker that then replies to its first hold. */
void add_ready_worker (void);

/** Advances the clock, confirms the ownership and runs a tick. */
void advance (usec_t span);
/** @return the last call of a kind, NULL for none */
const shard_call_t *last_call (shard_call_kind_t kind);
size_t count_calls (shard_call_kind_t kind);
/** @return number of calls of a kind to the worker */
size_t count_calls_at (shard_call_kind_t kind, const char *worker);
/** Advances the clock until all changes are stored, and what is due is sent.
 */
void store_all (void);
/** Replies to the last hold with lists of runs and ends. */
void reply_to_hold (const run_report_t *runs, size_t run_count,
                    const end_report_t *ends, size_t end_count);
/** Advances the clock COUNT times by SPAN and replies each time to the hold,
    if one was sent. */
void reply_to_holds (int count, usec_t span, const shard_reply_t *reply);
/** Replies with lists to the holds that a worker has not answered. */
void reply_with_lists (const char *worker, const run_report_t *runs,
                       size_t run_count, const end_report_t *ends,
                       size_t end_count);
/** The same with empty lists. */
void reply_as_ready (const char *worker);

/** Passes the records of a job whose only task was placed by a former owner to
    the shard. */
void add_placed_run (void);

/** Sets up the owner of a job whose only task was placed by a former owner. */
void set_up_with_placed_run (void);

#endif

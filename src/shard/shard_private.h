/** @file
 * What the files of the shard share.
 */
#ifndef SHARD_SHARD_PRIVATE_H
#define SHARD_SHARD_PRIVATE_H

#include "base/counters.h"
#include "base/histograms.h"
#include "base/log.h"
#include "base/table.h"
#include "interference/interference.h"
#include "shard/shard.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

typedef enum
{
  RUN_UNWRITTEN, /* its record is not stored yet */
  RUN_SENDING,   /* stored; the start was not answered yet */
  RUN_LIVE,      /* the worker has taken it */
  RUN_ADOPTED    /* of a former owner; not seen at its worker yet */
} run_state_t;

/* A run of a task: the row that a task's handle names.  */
typedef struct
{
  run_id_t name;
  handle_t worker;
  run_state_t state;
  bool unneeded;    /* to be stopped */
  bool sent;        /* a start was sent at least once */
  bool loose;       /* a start was not answered: it may be carried out later,
                       until a stop is answered or the lease has lapsed */
  bool start_busy;  /* a start is under way */
  bool stop_busy;   /* a stop is under way */
  usec_t due;       /* when the start or the stop is sent (again) */
  usec_t since;     /* when it was taken by the worker */
  usec_t answered;  /* when its start was answered */
  uint32_t percent; /* of its work, as last listed */
  usec_t moved;     /* when PERCENT last rose */
  bool listed;      /* named by the list that is being applied */
  uint32_t missing; /* lists in succession that did not name it */
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  bool fills;
  image_id_t image;
  uint32_t target_ms; /* tail latency that it must keep, 0: none */
  uint32_t measure;   /* as last listed */
  own_load_t own;     /* of a run with a target */
  usec_t reported;    /* when its last report was learned from */
} run_t;

/* A run with leftover capacity that ended a moment ago: reports still tell
   of it.  */
typedef struct
{
  image_id_t image;
  uint32_t millicores;
  usec_t from;
  usec_t to;
} recent_t;

typedef struct
{
  char *id;
  char *address;
  char *service;
  char *kind;
  char *rack;
  int64_t life_ms; /* 0 as long as it is not known */
  usec_t life_at;  /* when it was learned from an answer */
  bool listed;     /* in the platform's list */
  bool leaving;
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;

  uint64_t used_millicores;
  uint64_t fill_millicores;
  uint64_t serving_millicores; /* part of used_millicores */
  uint64_t serving_use;        /* that these really use, at most */
  uint64_t used_memory;
  uint64_t used_accelerators;
  uint32_t serving;
  uint32_t filling;
  GArray *runs;      /* handle_t of run_t */
  GArray *recent;    /* recent_t */
  usec_t over_since; /* a task with a target is over it beside others since
                        then, 0: none is */

  bool fenced;   /* has answered under this owner's token */
  bool in_doubt; /* a call was not answered; nothing is started until a hold
                    is */
  bool hold_busy;
  usec_t hold_due;
  usec_t last_answer;
  uint32_t silent;  /* holds in succession without an answer */
  uint32_t refused; /* holds in succession that found no listener */
  usec_t refused_since;
  int64_t clock_ms; /* worker's clock at CLOCK_AT, at least */
  usec_t clock_at;
  usec_t lapsed_at;    /* by then every lease given to it has lapsed */
  uint64_t ends_seen;  /* highest number of an end that was applied */
  uint64_t ends_kept;  /* highest one that is stored */
  uint32_t failures;   /* runs of different jobs in succession that failed
                          there */
  job_id_t failed_job; /* that failed there last */
  usec_t avoid_until;  /* gets nothing new */
} worker_t;

/* A call under way.  */
typedef struct
{
  shard_call_kind_t kind;
  handle_t worker;
  handle_t run;
  usec_t sent;
  bool stray; /* stop of a run that has no row */
} pending_call_t;

/* What an append under way will have stored.  */
typedef struct
{
  handle_t worker;
  uint64_t ends_seen;
} kept_t;

typedef struct
{
  job_id_t job;
  job_status_t end;
} stored_end_t;

/* A row of the jobs' table.  */
typedef struct
{
  job_t *job;
  GBytes *early;           /* progress read before the submission */
  GBytes *unstored;        /* submission that is not stored yet */
  bool dirty;              /* in the list of jobs to be written */
  bool drop_submission;    /* its record is to be dropped */
  job_status_t stored_end; /* as the store has it */
  int64_t forget_ms;       /* wall clock, 0: not ended */
} entry_t;

/* A step of which no task found a worker in the present pass.  */
typedef struct
{
  const step_t *step;
  const char *service;
} unplaceable_t;

struct shard
{
  shard_config_t config;
  const shard_ops_t *ops;
  void *ctx;
  uint32_t number;

  bool owned;
  bool active;
  bool quiesced;
  uint64_t token;
  usec_t began;
  usec_t confirmed;

  GHashTable *jobs;          /* job_id_t -> entry_t */
  GQueue *open;              /* job_t that have not ended */
  GPtrArray *dirty;          /* entry_t */
  GHashTable *workers_by_id; /* id -> handle_t */
  table_t *workers;
  table_t *runs;
  GHashTable *calls; /* id -> pending_call_t */
  uint64_t next_call;

  bool append_busy;
  bool append_again; /* the last append was not stored */
  usec_t append_due;
  usec_t append_sent;
  uint64_t sequence;
  GPtrArray *batch_blobs; /* GByteArray, values of BATCH */
  GArray *batch;          /* shard_record_t */
  GArray *batch_runs;     /* handle_t that become RUN_SENDING */
  GArray *batch_kept;     /* kept_t */
  GArray *batch_ends;     /* stored_end_t */
  GArray *batch_submits;  /* job_id_t whose submissions are in the batch */
  GPtrArray *batch_drops; /* entry_t whose records are dropped */

  interference_t *interference;
  usec_t learned_due; /* when what was learned is stored again */
  bool learned_more;  /* since it was stored */

  bool listed;         /* the whole list of workers was read */
  bool place_due;      /* something may be startable */
  usec_t placed;       /* when the last pass was */
  GArray *unplaceable; /* unplaceable_t, of the pass under way */
  usec_t runs_due;     /* earliest start or stop */
  uint32_t waiting;    /* tasks that the last pass found no worker for */
  usec_t load_due;     /* when the load is logged again */
  usec_t forget_due;
  usec_t unfold_due;
};

/* shard.c */
entry_t *shard_entry (const shard_t *shard, job_id_t job);
void shard_mark_dirty (shard_t *shard, entry_t *entry);
void shard_end_job (shard_t *shard, usec_t now, entry_t *entry,
                    job_status_t end);
/** Drops what an ended job without runs does not need. */
void shard_settle (shard_t *shard, entry_t *entry);
void shard_supersede (shard_t *shard, const char *why);

/* shard_store.c */
void shard_flush (shard_t *shard, usec_t now);
void shard_store_reset (shard_t *shard);
/** @return whether an append that is not over has the job's submission */
bool shard_append_carries (const shard_t *shard, job_id_t job);

/* shard_workers.c */
worker_t *worker_get (const shard_t *shard, handle_t handle);
handle_t worker_find (const shard_t *shard, const char *id);
handle_t worker_add (shard_t *shard, const char *id);
void worker_free (worker_t *worker);
/** @return whether it was leaving, is not listed any more and does not answer:
    what ran there ended with it */
bool worker_has_left (const worker_t *worker);
/** Removes workers that are not listed and run nothing. */
void worker_sweep (shard_t *shard);
/** Estimates the worker's clock, never ahead of it. */
int64_t worker_clock (const worker_t *worker, usec_t now);
void worker_clock_seen (worker_t *worker, usec_t now, int64_t worker_ms);
/** @return the longest that a lease given now lasts, by this clock */
usec_t worker_lease_span (const shard_t *shard);
/** Notes a lease that was sent. */
void worker_lease_sent (const shard_t *shard, worker_t *worker, usec_t now,
                        int64_t until_ms);
/** Takes the result of a run into account. */
void worker_judge (worker_t *worker, usec_t now, job_id_t job, bool failed);
/** The worker gets nothing new before UNTIL. */
void worker_avoid (worker_t *worker, usec_t until);
void worker_reserve (worker_t *worker, const run_t *run);
void worker_release (worker_t *worker, const run_t *run);

/* shard_runs.c */
run_t *run_get (const shard_t *shard, handle_t handle);
/** Makes a row for the newest run of a task, which is placed. */
handle_t run_add (shard_t *shard, job_t *job, occurrence_t *o, uint32_t step,
                  uint32_t index, handle_t worker, run_state_t state);
/** Its worker has taken the run. */
void run_begun (shard_t *shard, usec_t now, run_t *run);
/** The run surely is not under way and did not end well: its task waits
    again, if the job goes on. */
void run_requeue (shard_t *shard, usec_t now, handle_t handle,
                  const char *why);
/** Has the run's start or stop sent at DUE. */
void run_set_due (shard_t *shard, run_t *run, usec_t due);
void run_ended (shard_t *shard, usec_t now, handle_t handle,
                const end_report_t *report);
/** Every run on the worker is over. */
void run_lose_all (shard_t *shard, usec_t now, handle_t worker,
                   const char *why);
/** The life of the worker in which the run was started is over, and another
    one answers. */
void run_lose (shard_t *shard, usec_t now, handle_t handle);
void run_stop (shard_t *shard, usec_t now, handle_t handle, const char *why);
/** Stops all runs of a job that has ended. */
void run_stop_job (shard_t *shard, usec_t now, const job_t *job,
                   const char *why);
/** Takes over a former owner's runs of a loaded job. */
void run_adopt_job (shard_t *shard, job_t *job);
const char *run_text (const run_id_t *name, char out[64]);

/* shard_calls.c */
/** Sends holds, starts and stops that are due. @return when to call again */
usec_t calls_tick (shard_t *shard, usec_t now);

/* shard_sharing.c */
/** Learns from a list of runs and stops what harms a task with a target. */
void sharing_listed (shard_t *shard, usec_t now, handle_t worker);
/** Estimates what the tasks with a target on the worker use. */
void sharing_count_use (const shard_t *shard, worker_t *worker);
/** Notes the end of a run that used leftover capacity. */
void sharing_ended (worker_t *worker, usec_t now, const run_t *run);
/** @return whether a task of the step may run beside what runs there */
bool sharing_allows (const shard_t *shard, usec_t now, const worker_t *worker,
                     const step_t *step, image_id_t image);
/** A task of the step was placed there. */
void sharing_placed (shard_t *shard, usec_t now, const worker_t *worker,
                     const step_t *step);
/** Counts the images of the tasks with a target there, IMAGE left out.
    @param has set to whether IMAGE is among them */
uint32_t sharing_other_images (const shard_t *shard, const worker_t *worker,
                               image_id_t image, bool *has);
/** @return millicores that tasks with leftover capacity may use there */
int64_t sharing_leftover (const worker_t *worker);
/** @return most that a task of the step adds to a utilization there */
double sharing_cost (const shard_t *shard, const worker_t *worker,
                     const step_t *step, image_id_t image);

/* shard_place.c */
void place_all (shard_t *shard, usec_t now);

#endif

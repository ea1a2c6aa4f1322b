/** @file
 * Types and functions shared by the files of the scheduling process.
 */
#ifndef SCHEDULER_SCHED_PRIVATE_H
#define SCHEDULER_SCHED_PRIVATE_H

#include "base/counters.h"
#include "base/histograms.h"
#include "base/log.h"
#include "net/clock.h"
#include "net/httpd.h"
#include "net/peerlink.h"
#include "scheduler/sched_limits.h"
#include "scheduler/scheduler.h"
#include "zones/zones.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>

/* Longest key of a record: the record kind, the job identifier and, if that
   has capital letters, a mark for the sake of builds that do not keep them.
   They would take the job for the one with small letters, and skip such a key.
 */
#define RECORD_KEY_MAX 18U
#define RECORD_KEY_MARK '.'
/* Longer queue names are truncated in queries from peers. */
#define QUEUE_NAME_MAX 64U

/* Timeout of reading a page of the latest records. */
#define PAGE_TIMEOUT (1500 * USEC_PER_MSEC)
/* Timeout of a read, in addition to the time that it waits for a record. */
#define READ_TIMEOUT (900 * USEC_PER_MSEC)
#define READ_RETRY (150 * USEC_PER_MSEC)

typedef struct scheduler scheduler_t;

/* Kinds of queries to the owner of a job's shard.  The numbers are part of the
   peer protocol.  */
typedef enum
{
  QUERY_STATUS = 1,
  QUERY_CANCEL = 2,
  QUERY_PENDING = 3,
  QUERY_SUBMIT = 4 /* store a submission of the job */
} query_kind_t;

/* Queries and submissions of peers name a job by its number.  The capital
   letters of its identifier are in the upper half of the field `kind` of a
   query and of the field `shard` of a submission: a build that does not keep
   them refuses both instead of taking the job for another one. */
#define CAPITALS_SHIFT 32U

/* The owner's replies.  The numbers are part of the peer protocol.  */
typedef enum
{
  REPLY_KNOWN = 1,   /* with the job's status or the number of pending jobs */
  REPLY_UNKNOWN = 2, /* no such job */
  REPLY_NOT_OWNER = 3,
  REPLY_TRY_LATER = 4,  /* the owner cannot answer yet */
  REPLY_NOT_STORED = 5, /* a submission was not and will not be stored */
  REPLY_WITHDRAWN = 6,  /* like REPLY_NOT_STORED: the owner had accepted the
                           submission and dropped it before an append */
  REPLY_FULL = 7 /* like REPLY_NOT_STORED: the owner's jobs take too much
                    memory.  A build without this code ignores the reply
                    and appends the submission after a time-out */
} reply_code_t;

typedef struct
{
  reply_code_t code;
  job_status_t status;
  uint32_t pending;
} query_reply_t;

/* A caller's request that has not been answered yet.  */
typedef struct
{
  uint64_t id; /* in queries to peers */
  handle_t http;
  query_kind_t kind;
  job_id_t job;
  char *queue;
  uint32_t shard;       /* that is queried; QUERY_PENDING queries all shards
                           in turn */
  uint32_t pending_sum; /* over the shards that have replied */
  usec_t arrived_at;
  usec_t deadline;   /* for the answer to the caller */
  usec_t due;        /* next step not before; INT64_MAX while an append is in
                        flight */
  usec_t query_sent; /* time of the query that is in flight, 0 for none */
  node_id_t peer;
  GByteArray *record; /* encoded submission */
  bool append_busy;
  usec_t forward_until; /* the submission is forwarded to the shard's owner
                           until then, and appended by this process after */
  bool forward_busy;    /* sent to an owner that has not replied yet */
  bool may_be_stored;   /* an append or a forward was not answered */
  uint32_t append_count;
} caller_request_t;

/* A query that the owner cannot answer before an end or a submission is
   stored, or a job becomes known.  */
typedef struct
{
  node_id_t peer; /* 0 for a request of this process */
  uint64_t id;    /* of the query */
  query_kind_t kind;
  job_id_t job;
  uint32_t shard;
  char queue[QUEUE_NAME_MAX];
  usec_t arrived_at;
  usec_t deadline;
  uint64_t ownership_id; /* of the ownership that accepted a submission */
  bool unknown_job;      /* answered after a read of the store at the latest */
  bool full;             /* a submission for which there is no memory */
} deferred_query_t;

/* Most deferred queries of an owner, of all processes.  Callers of each may
   have 2,000 requests open. */
#define DEFERRED_QUERIES_MAX 32768U

/* A shard as this process sees it, whether it owns the shard or not.  */
typedef struct
{
  scheduler_t *scheduler;
  uint32_t number;
  shard_t *shard;
  bool owned;
  uint64_t ownership_generation; /* generation that assigned the shard;
                                    the epoch of its appends */
  uint64_t lost_generation;      /* the shard is taken over again only under
                                    a higher generation */
  bool superseded;               /* a later owner was seen; the ownership ends
                                    with the next tick */
  bool fenced; /* the store accepts no more appends of former owners */
  bool loading;
  bool load_busy; /* the fencing append or a page is in flight */
  char last_key[RECORD_KEY_MAX + 1]; /* of the pages read so far */
  uint64_t progress_offset; /* of the last record of progress in them */
  uint64_t lapsing_end; /* offset after the record of lapsing workers in them,
                           0: there is none */
  uint64_t lease_bound_end; /* the same of the bound of leases */
  uint64_t next_offset;
  bool next_offset_known;
  bool read_busy;
  usec_t read_due;
  usec_t read_as_of;           /* all records stored before are read */
  uint32_t unanswered_reads;   /* in succession, or before the last read that
                                  did not reach the end */
  uint32_t unanswered_appends; /* in succession */
  uint64_t ownership_id;       /* incremented when an ownership begins or ends;
                                  answers to calls of a former one are
                                  dropped */
} shard_state_t;

typedef struct
{
  node_id_t node;
  char member[96];
  bool self;
  usec_t backoff_until; /* no submissions are forwarded before then */
  usec_t replied_at;    /* last reply to this process, 0 for none */
  usec_t refused_since; /* its VM refuses connections since then, 0: no */
} shard_owner_t;

#define SUCCESSORS_MAX 3U

/* See sched_succession.c.  */
typedef struct
{
  GHashTable *peers;                /* node -> its description */
  node_id_t ranked[SUCCESSORS_MAX]; /* as an owner */
  uint32_t ranked_count;
  usec_t rank_due;
  uint32_t own_rank; /* from 1, SUCCESSORS_MAX + 1 for none of the first; 0:
                        unknown */
  usec_t told_at;
} succession_t;

/* Position in the operator's records.  */
typedef struct
{
  bool busy;        /* a read is in flight */
  bool failed;      /* the last read has */
  usec_t due;       /* next read */
  usec_t sent;      /* of the last read */
  bool loaded;      /* the records in force were read; the log is followed */
  bool more_pages;  /* the list of those records is being read */
  usec_t list_sent; /* of the first page */
  char last_key[256];
  uint64_t next_offset;
} operator_log_t;

struct scheduler
{
  struct ev_loop *loop;
  const scheduler_settings_t *settings;
  const backend_t *backend;
  sched_limits_t limits; /* in force */
  incarnation_t incarnation;
  char member[96]; /* name in the group: peer address and incarnation */
  node_id_t node;

  httpd_t *callers;
  httpd_t *ready;
  httpd_t *operators;
  peerlink_t *link;

  uint32_t shard_count;    /* 0 until the layout is known */
  bool may_own;            /* cpu_share is sufficient for an owner */
  usec_t started_at;       /* start of this process */
  usec_t unowned_since;    /* first list of owners with a reason to join,
                              0 for none */
  usec_t fallback_until;   /* without sufficient cpu_share, shards are
                              owned until then; 0 for not at all */
  bool joined;             /* is a member of the group, or may be one */
  usec_t left_at;          /* answer to the last leave, 0: none */
  usec_t unassigned_since; /* joined, or lost a shard, at that time */
  usec_t last_join_ok;     /* send time of the last successful join */
  usec_t last_owners_ok;   /* send time of the last list of owners */
  bool unowned;            /* a shard has no owner in that list */
  bool layout_busy;
  usec_t layout_due;
  uint32_t partial_worker_count; /* workers on the pages read so far */
  uint32_t worker_count;         /* in the last complete list */
  usec_t worker_count_since;     /* worker_count is unchanged since then */
  usec_t first_workers_at;       /* first complete list with a worker, 0: none
                                  */
  char worker_count_last_key[256];
  shard_state_t *shards; /* one per shard */
  shard_owner_t *owners; /* one per shard */
  usec_t owners_due;
  usec_t owners_sent;
  bool owners_busy;
  uint64_t generation;
  bool join_busy;
  usec_t join_due;
  usec_t join_sent;
  usec_t append_latency;      /* estimate for appends of an owner */
  usec_t store_last_ok;       /* send time of the last call that succeeded */
  usec_t store_last_failed;   /* send time of the last call that failed */
  usec_t store_failing_since; /* 0 while calls succeed */
  usec_t owner_last_reply;    /* last REPLY_KNOWN from another process */

  queues_t *queues; /* in force; NULL until a configuration is read */
  zones_t *zones;
  operator_log_t operator_log;

  bool workers_loaded;
  bool workers_busy;
  bool workers_more_pages;
  char workers_last_key[256];
  uint64_t workers_next_offset;
  bool workers_next_offset_known;
  usec_t workers_due;
  usec_t workers_sent;      /* when the read in flight was sent */
  usec_t workers_list_sent; /* the same of the first page of a list */
  GHashTable *worker_racks; /* id -> rack, of listed workers */

  GHashTable *requests;         /* id -> caller_request_t */
  GHashTable *requests_by_http; /* handle -> caller_request_t */
  uint64_t request_counter;
  uint32_t appends_busy;      /* of submissions, those of abandoned requests
                                 included */
  uint64_t append_bytes_busy; /* of their records */
  GArray *deferred_queries;   /* deferred_query_t */

  succession_t succession;

  bool stopping;
  bool left_group;
  bool leave_busy;
  usec_t leave_due;     /* next leave is sent then, 0 for none */
  usec_t last_eviction; /* this process last evicted a member then, 0: never */
  usec_t stop_started_at;
  usec_t stop_deadline;
  usec_t callers_quiesced_at; /* 0 before */

  clock_timer_t timer;
  ev_prepare prepare;
  ev_signal term;
  ev_signal interrupt;
  ev_signal hup;
  bool tick_due; /* run the ticks before the loop sleeps */
};

/* scheduler.c */
/** Schedules a run of the ticks before the loop sleeps. */
void sched_wake (scheduler_t *s);
bool sched_owns_any_shard (const scheduler_t *s);
uint32_t sched_shard_of (const scheduler_t *s, job_id_t job);
/** @return partition of TOPIC_WORK that holds the records of a shard */
uint32_t sched_partition_of (const scheduler_t *s, uint32_t shard);
/** Records whether a call to the store succeeded. */
void sched_store_result (scheduler_t *s, usec_t sent, store_result_t result,
                         const char *step, const char *error);
/** @return false once calls to the store have failed for some time */
bool sched_store_healthy (const scheduler_t *s, usec_t now);

/** Creates the shards. */
void sched_set_shards (scheduler_t *s, uint32_t count);

/* sched_layout.c */
/** @return number of workers whose shard a process with CORES cores can own */
uint32_t layout_capacity (double cores);
/** @return number of shards, at most PARTITIONS, for owners with CORES cores
    each */
uint32_t layout_shards (uint32_t workers, uint32_t partitions, double cores);
/** @return how long a process waits before it proposes SHARDS shards */
usec_t layout_deferral (uint32_t shards);
#define LAYOUT_TEXT_MAX 48U
/** What the layout record holds.  */
typedef struct
{
  uint32_t shards;
  uint32_t workers;    /**< when it was decided */
  uint32_t millicores; /**< of the process that decided; 0: by an earlier build
                        */
} layout_t;
/** Encodes the layout record. */
void layout_format (const layout_t *layout, char text[LAYOUT_TEXT_MAX]);
/** @return false if TEXT is no valid layout for PARTITIONS partitions */
bool layout_parse (const char *text, uint32_t partitions, layout_t *layout);
/** @return whether a process with CORES cores can own a shard: one is as large
    as the layout allows for, or none of the site is larger */
bool layout_may_own (double cores, const layout_t *layout);
usec_t layout_tick (scheduler_t *s, usec_t now);

/* sched_group.c */
usec_t group_tick (scheduler_t *s, usec_t now);
/** Reads the list of owners again soon: a shard's owner may have changed. */
void group_refresh_owners (scheduler_t *s, usec_t now);
void group_leave (scheduler_t *s);
/** Handles the message that the owner on a node has left the group. */
void group_owner_left (scheduler_t *s, usec_t now, node_id_t node);
/** Records whether the VM of a node refuses connections. */
void group_set_refused (scheduler_t *s, usec_t now, node_id_t node,
                        bool refused);
/** Ends this process's ownership of a shard. */
void group_release_shard (scheduler_t *s, shard_state_t *state);

/* sched_member.c */
/** @return delay before a process joins the group for a shard without an
    owner.  The youngest process joins first, since a rolling restart reaches
    it last.  */
usec_t member_join_delay (usec_t age, incarnation_t incarnation);
/** Decides after each list of owners whether to join the group.
    @param members number of distinct members in the list */
bool member_joins (scheduler_t *s, usec_t now, uint32_t members);
/** @return whether this process has a reason to stay in the group */
bool member_stays (const scheduler_t *s, usec_t now);

/* sched_succession.c */
/** @return description of this process for its peers */
uint64_t succession_describe (const scheduler_settings_t *settings);
/** A peer has described itself. */
void succession_hello (scheduler_t *s, usec_t now, node_id_t node,
                       uint64_t description);
/** A peer has sent a message. */
void succession_heard (scheduler_t *s, usec_t now, node_id_t node);
/** @return rank of a peer as a successor of this owner, 0 if it has none */
uint32_t succession_rank (scheduler_t *s, usec_t now, node_id_t node);
/** An owner has told this process its rank. */
void succession_told (scheduler_t *s, usec_t now, uint32_t rank);
/** @return rank that an owner has told this process lately, 0 for none */
uint32_t succession_own_rank (const scheduler_t *s, usec_t now);

/* sched_store.c */
extern const shard_ops_t sched_shard_ops;
/** @return length of the key */
uint32_t record_key (record_kind_t kind, job_id_t job,
                     char key[RECORD_KEY_MAX + 1]);
/** @return false if it is no key of a record */
bool record_key_parse (blob_t key, record_kind_t *kind, job_id_t *job);
/** Starts loading a shard whose ownership was acquired. */
void store_load (scheduler_t *s, shard_state_t *state, usec_t now);
usec_t store_tick (scheduler_t *s, usec_t now);

/* sched_operator.c */
usec_t operator_tick (scheduler_t *s, usec_t now);

/* sched_workers.c */
usec_t workers_tick (scheduler_t *s, usec_t now);
/** Reads the whole list again, for a shard that has not seen the workers that
    are listed already. */
void workers_reload (scheduler_t *s, usec_t now);

/* sched_callers.c */
extern const httpd_ops_t sched_caller_ops;
/** @return whether a submission can be stored, by this process or by an owner
    that answers */
bool callers_can_submit (const scheduler_t *s, usec_t now);
usec_t callers_tick (scheduler_t *s, usec_t now);
/** Answers all open requests with an error before the process exits. */
void callers_fail_all (scheduler_t *s);
/** Handles the reply of a shard's owner to a query of the request. */
void callers_on_reply (scheduler_t *s, usec_t now, uint64_t request,
                       const query_reply_t *reply);
void request_free (void *data);

/* sched_admin.c */
extern const httpd_ops_t sched_ready_ops;
extern const httpd_ops_t sched_operator_ops;

/* sched_asks.c */
extern const peerlink_ops_t sched_peerlink_ops;
/** Sends the request's query to the owner of its shard, which may be this
    process; callers_on_reply gets the reply.
    @return 0, or a negative error if no owner received the query */
int query_owner (scheduler_t *s, usec_t now, caller_request_t *request);
/** Has the owner of the job's shard store the request's submission;
    callers_on_reply gets the reply.
    @return 0, or a negative error if no owner received the submission */
int forward_submission (scheduler_t *s, usec_t now, caller_request_t *request);
usec_t queries_tick (scheduler_t *s, usec_t now);
/** Retries deferred queries: the job may be known or its end stored now. */
void queries_job_changed (scheduler_t *s, usec_t now, job_id_t job);
/** Retries deferred queries for jobs that the shard did not know: all records
    stored before its read_as_of are read. */
void queries_read_complete (scheduler_t *s, usec_t now, uint32_t shard);
/** @return whether deferred queries wait for the next read of the shard */
bool queries_await_read (const scheduler_t *s, uint32_t shard);

#endif

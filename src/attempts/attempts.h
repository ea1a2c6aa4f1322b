/** @file
 * Attempts of orders on the workers of owned shards.
 *
 * The owner of a worker's shard starts an attempt only after its
 * ORDER_START was applied as valid, sends the start at most once, renews the
 * task lease, collects the end, and appends ORDER_END or ORDER_REQUEUE.
 * Guards invariants 2, 3, 5 and 6.  Does no I/O and reads no clock.
 */
#ifndef ATTEMPTS_ATTEMPTS_H
#define ATTEMPTS_ATTEMPTS_H

#include "orders/orders.h"
#include "placement/placement.h"

/** Status of an order that was stopped because its caller cancelled it. */
#define ATTEMPTS_STATUS_CANCELLED 499U
/** Status of an order that no worker could ever hold. */
#define ATTEMPTS_STATUS_NEVER_FITS 422U

typedef struct
{
  usec_t lease;               /**< task lease sent with starts and renewals */
  usec_t renew_interval;      /**< a third of the lease or less */
  usec_t poll_interval;       /**< of the list of attempts of each worker */
  usec_t idle_poll_interval;  /**< of workers without attempts, below
                                   silent_after; 0: as poll_interval */
  usec_t silence_timeout;     /**< without an answer about an attempt for this
                                long, it is no longer renewed and its lease is
                                waited out */
  usec_t retry_interval;      /**< pause before a call or append is repeated */
  usec_t placement_interval;  /**< least pause between two passes over the
                               waiting  orders */
  usec_t turn_check_interval; /**< pause before is_turn is asked again */
  uint32_t max_failures; /**< attempts that may fail before the order ends */
} attempts_config_t;

typedef enum
{
  CALL_LIST,       /**< GET /attempts */
  CALL_START,      /**< POST /attempts/ID */
  CALL_RENEW,      /**< POST /attempts/ID/renew */
  CALL_CHECKPOINT, /**< POST /attempts/ID/checkpoint */
  CALL_STOP,       /**< POST /attempts/ID/stop */
  CALL_THROTTLE    /**< POST /attempts/ID/throttle */
} worker_call_kind_t;

/** A call to a worker.  Every call, the list included, carries shard and
    epoch, so that a worker that checks epochs learns the newest one before
    anything is started.  A start goes out on a new connection and is never
    repeated by the adapter. */
typedef struct
{
  uint64_t id; /**< to be given back to attempts_handle_reply */
  worker_call_kind_t kind;
  const char *worker;
  uint32_t shard;
  uint64_t epoch;
  order_id_t order; /**< the rest but for a list */
  uint64_t attempt;
  usec_t lease;           /**< start, renew */
  uint32_t percent;       /**< throttle: speed, 100 for full */
  const char *class_name; /**< start, as the rest */
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  blob_t body;
  blob_t checkpoint;
} worker_call_t;

/** How far a call got. */
typedef enum
{
  REPLY_ANSWERED, /**< a complete answer arrived */
  REPLY_NOT_SENT, /**< surely never seen by the worker */
  REPLY_LOST      /**< the worker may have acted */
} reply_outcome_t;

typedef enum
{
  REPORT_RUNNING,
  REPORT_ENDED,  /**< came to its own end, with status and result */
  REPORT_STOPPED /**< stopped by a call or a lapsed lease */
} report_state_t;

/** What a worker says of one attempt. */
typedef struct
{
  order_id_t order;
  uint64_t attempt;
  report_state_t state;
  uint64_t status; /**< 500 and above: the attempt failed */
  uint64_t millicores;
  uint64_t memory_mb;
  blob_t result;
  blob_t checkpoint;
} attempt_report_t;

typedef struct
{
  reply_outcome_t outcome;
  int status;                      /**< HTTP status if answered */
  bool leaving;                    /**< header Limpethinge-Leaving */
  const attempt_report_t *reports; /**< in the body, if answered */
  size_t count;
} worker_reply_t;

typedef struct
{
  bool idempotent;
  bool resumable;
} retry_rules_t;

typedef struct
{
  /** Sends a call; attempts_handle_reply is called exactly once for it, not
     before this returns.  After a reply other than REPLY_ANSWERED the call is
     not sent any more. */
  void (*call) (void *ctx, const worker_call_t *call);
  /** Tells whether this process may act on the shard, by a fresh clock
      reading; asked right before each send.  @param epoch to act under */
  bool (*may_act) (void *ctx, uint32_t shard, uint64_t *epoch);
  /** Puts an entry into the journal.  @return its ticket, 0 if refused */
  uint64_t (*append) (void *ctx, usec_t now, const message_t *entry);
  /** @return whether this node places a waiting order (or ends a cancelled
      one) now.  For an order that stays waiting it must become true on every
      node in turn, since the first one may own no worker with room. */
  bool (*is_turn) (void *ctx, usec_t now, const order_t *order);
  /** Asked if no worker of the owned shards could ever hold the order.
      @return true if none of the whole site could */
  bool (*never_fits) (void *ctx, const order_t *order);
  /** Rules of a class; neither flag if the class is not known. */
  retry_rules_t (*rules_of) (void *ctx, const char *class_name);
} attempts_ops_t;

typedef struct attempts attempts_t;

/** ORDERS and PLACEMENT must outlive the result. */
attempts_t *attempts_new (const attempts_config_t *config,
                          const attempts_ops_t *ops, void *ctx,
                          const orders_t *orders, placement_t *placement);
void attempts_free (attempts_t *attempts);

/** Makes a worker known or updates it, for every worker in the list. */
void attempts_update_worker (attempts_t *attempts, usec_t now,
                             const worker_info_t *info, uint32_t shard);

/** A worker left the list; its attempts are concluded when their leases have
    lapsed. */
void attempts_remove_worker (attempts_t *attempts, usec_t now, const char *id);

/** This process acts on the shard from now on, or goes on under a new epoch
    of its own.  In the first case its workers are asked for their attempts
    before anything is started there. */
void attempts_shard_gained (attempts_t *attempts, usec_t now, uint32_t shard,
                            uint64_t epoch);

/** This process does not act on the shard any more. */
void attempts_shard_lost (attempts_t *attempts, usec_t now, uint32_t shard);

/** Starts a handover, or gives it up: nothing more is placed on the shard's
    workers, and they are sent only the starts that are in the log. */
void attempts_quiesce_shard (attempts_t *attempts, usec_t now, uint32_t shard,
                             bool on);

/** @return whether the shard may be released: no start is undecided and no
    call is under way */
bool attempts_shard_idle (const attempts_t *attempts, uint32_t shard);

/** To be called from orders_ops_t.changed. */
void attempts_order_changed (attempts_t *attempts, usec_t now,
                             const order_t *order);

/** An own entry was read back; after orders_apply. */
void attempts_entry_applied (attempts_t *attempts, usec_t now, uint64_t ticket,
                             order_apply_result_t verdict);

/** The journal dropped an own entry; it is put again. */
void attempts_append_failed (attempts_t *attempts, usec_t now,
                             uint64_t ticket);

/** A call ended.  An unknown or repeated identifier is ignored. */
void attempts_handle_reply (attempts_t *attempts, usec_t now, uint64_t call,
                            const worker_reply_t *reply);

/** The set of live nodes changed: is_turn is asked again for all waiting
    orders. */
void attempts_live_nodes_changed (attempts_t *attempts, usec_t now);

/** Relief decided by placement; fits placement_ops_t.relieve, CTX being the
    attempts_t.  An eviction is a checkpoint, a stop, both confirmed, then
    ORDER_REQUEUE. */
void attempts_relieve (void *attempts, usec_t now, const char *worker,
                       uint64_t order, uint64_t attempt,
                       relief_action_t relief);

/** Sends what is due, places waiting orders. @return when to call again */
usec_t attempts_tick (attempts_t *attempts, usec_t now);

json_t *attempts_dump (const attempts_t *attempts, usec_t now);

/** Path of a call at the worker, such as "/attempts/ID/renew"; free with
    g_free. */
char *worker_call_path (const worker_call_t *call);

/** JSON body of a call, NULL for a list; free with free. */
char *worker_call_json (const worker_call_t *call);

/** Reads the reports in the body of an answer: an array, or one object.  The
    blobs of the reports point into the returned value, which the caller
    releases with json_decref after the reply was passed on.
    @param reports filled with attempt_report_t rows
    @return NULL if the body is malformed: a list is then passed on as
    REPLY_LOST, another call as answered without reports */
json_t *worker_reports_parse (blob_t body, GArray *reports);

#endif

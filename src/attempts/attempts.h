/** @file
 * Attempts of orders on the workers of owned shards.
 *
 * The owner of a worker's shard starts an attempt only after its ORDER_START
 * was applied as valid.  It sends the start call at most once, renews the
 * task lease, receives the result, and appends ORDER_END or ORDER_REQUEUE.
 * Upholds invariants 2, 3, 5 and 6.  Does no I/O and reads no clock.
 */
#ifndef ATTEMPTS_ATTEMPTS_H
#define ATTEMPTS_ATTEMPTS_H

#include "orders/orders.h"
#include "placement/placement.h"

/** Status of an order that was stopped because its caller cancelled it. */
#define ATTEMPTS_STATUS_CANCELLED 499U
/** Status of an order that exceeds the size of every worker. */
#define ATTEMPTS_STATUS_NEVER_FITS 422U

typedef struct
{
  usec_t lease;               /**< task lease sent with starts and renewals */
  usec_t renew_interval;      /**< at most a third of the lease */
  usec_t poll_interval;       /**< between list calls to a worker */
  usec_t idle_poll_interval;  /**< poll_interval of workers that take new work
                                   and have no attempts; less than
                                   silence_timeout; 0: as poll_interval */
  usec_t silence_timeout;     /**< if no reply confirms an attempt for this
                                long, its renewals stop and the lease is left
                                to expire */
  usec_t retry_interval;      /**< delay before a call or append is repeated */
  usec_t placement_interval;  /**< minimum time between two passes over the
                               waiting orders */
  usec_t turn_check_interval; /**< time between two rounds of is_turn checks */
  uint32_t max_failures;     /**< failed attempts after which the order ends */
  uint32_t max_early_losses; /**< the same for consecutive attempts whose
                               worker was lost soon after their start */
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

/** A call to a worker.  Every call, including a list, carries the shard and
    its epoch, so that a worker that checks epochs has received the newest one
    before anything is started.  The transport must send a start on a new
    connection and must not repeat it. */
typedef struct
{
  uint64_t id; /**< passed to attempts_handle_reply with the reply */
  worker_call_kind_t kind;
  const char *worker;
  uint32_t shard;
  uint64_t epoch;
  order_id_t order; /**< this and all following fields: unset for CALL_LIST */
  uint64_t attempt;
  usec_t lease;           /**< CALL_START and CALL_RENEW */
  uint32_t percent;       /**< CALL_THROTTLE: speed, 100 is full speed */
  const char *class_name; /**< this and all following fields: CALL_START */
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  blob_t body;
  blob_t checkpoint;
} worker_call_t;

/** Transport outcome of a call. */
typedef enum
{
  REPLY_ANSWERED, /**< a complete response arrived */
  REPLY_NOT_SENT, /**< the request certainly did not reach the worker */
  REPLY_LOST      /**< the worker may have carried out the call, but no
                      complete response arrived */
} reply_outcome_t;

typedef enum
{
  REPORT_RUNNING,
  REPORT_ENDED,  /**< finished by itself, with status and result */
  REPORT_STOPPED /**< stopped by a call or because its lease expired */
} report_state_t;

/** State of one attempt as reported by its worker. */
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
  int status;                      /**< HTTP status, if REPLY_ANSWERED */
  bool leaving;                    /**< header Limpethinge-Leaving was set */
  const attempt_report_t *reports; /**< from the body, if REPLY_ANSWERED */
  size_t count;
} worker_reply_t;

typedef struct
{
  bool idempotent;
  bool resumable;
} retry_rules_t;

typedef struct
{
  /** Sends a call.  attempts_handle_reply must be called exactly once for it,
     after this function has returned.  Once a reply other than REPLY_ANSWERED
     was passed on, the call must not be sent any more. */
  void (*call) (void *ctx, const worker_call_t *call);
  /** Called right before each send; reads the clock.
      @param epoch set to the epoch to send with the call
      @return whether this process may act on the shard */
  bool (*may_act) (void *ctx, uint32_t shard, uint64_t *epoch);
  /** Appends an entry to the journal.
      @return ticket that identifies the entry, 0 if it was refused */
  uint64_t (*append) (void *ctx, usec_t now, const message_t *entry);
  /** @return whether it is this node's turn to place a waiting order or to
      end a cancelled one.  While an order stays waiting, this must become true
      on every node in turn, since a node may own no worker with free room. */
  bool (*is_turn) (void *ctx, usec_t now, const order_t *order);
  /** Called when the order exceeds the size of every worker of the owned
      shards.
      @return whether it exceeds the size of every worker of the site */
  bool (*never_fits) (void *ctx, const order_t *order);
  /** @return the rules of a class; both flags are false for an unknown one */
  retry_rules_t (*rules_of) (void *ctx, const char *class_name);
} attempts_ops_t;

typedef struct attempts attempts_t;

/** ORDERS and PLACEMENT must outlive the returned object. */
attempts_t *attempts_new (const attempts_config_t *config,
                          const attempts_ops_t *ops, void *ctx,
                          const orders_t *orders, placement_t *placement);
void attempts_free (attempts_t *attempts);

/** Adds or updates a worker; called for every worker of the list of VMs. */
void attempts_update_worker (attempts_t *attempts, usec_t now,
                             const worker_info_t *info, uint32_t shard);

/** Marks a worker that is no longer in the list of VMs.  Each of its attempts
    is ended or requeued once its lease has expired. */
void attempts_remove_worker (attempts_t *attempts, usec_t now, const char *id);

/** This process became the owner of the shard, or remains its owner under a
    new epoch.  In the first case each of its workers must answer a list
    call before anything is started there. */
void attempts_shard_gained (attempts_t *attempts, usec_t now, uint32_t shard,
                            uint64_t epoch);

/** This process is no longer the owner of the shard. */
void attempts_shard_lost (attempts_t *attempts, usec_t now, uint32_t shard);

/** Begins a handover of the shard (ON) or cancels it.  During a handover
    nothing new is placed on the shard's workers, and the only calls sent to
    them are starts whose ORDER_START is already in the log. */
void attempts_quiesce_shard (attempts_t *attempts, usec_t now, uint32_t shard,
                             bool on);

/** @return whether the shard may be released: no attempt is proposed or
    waits for its start call to be sent, and no call is in flight */
bool attempts_shard_idle (const attempts_t *attempts, uint32_t shard);

/** To be called from orders_ops_t.changed. */
void attempts_order_changed (attempts_t *attempts, usec_t now,
                             const order_t *order);

/** Handles the verdict on an entry that this process appended and has read
    back; called after orders_apply. */
void attempts_entry_applied (attempts_t *attempts, usec_t now, uint64_t ticket,
                             order_apply_result_t verdict);

/** The journal failed to append an entry of this process; the append is
    repeated. */
void attempts_append_failed (attempts_t *attempts, usec_t now,
                             uint64_t ticket);

/** Handles the reply to a call.  A reply with an unknown identifier, or with
    one that was answered before, is ignored. */
void attempts_handle_reply (attempts_t *attempts, usec_t now, uint64_t call,
                            const worker_reply_t *reply);

/** The set of live nodes changed: is_turn is called again for every waiting
    order. */
void attempts_live_nodes_changed (attempts_t *attempts, usec_t now);

/** Carries out a relief action of the placement: throttling or eviction.  To
    be called from placement_ops_t.relieve.  An eviction takes a checkpoint
    and stops the attempt, each confirmed by the worker, and then appends
    ORDER_REQUEUE. */
void attempts_relieve (void *attempts, usec_t now, const char *worker,
                       uint64_t order, uint64_t attempt,
                       relief_action_t relief);

/** Sends due calls, appends due entries and places waiting orders.
    @return when to call again */
usec_t attempts_tick (attempts_t *attempts, usec_t now);

json_t *attempts_dump (const attempts_t *attempts, usec_t now);

/** @return URL path of a call, such as "/attempts/ID/renew"; free with
    g_free */
char *worker_call_path (const worker_call_t *call);

/** @return JSON body of a call, NULL for a list; free with free */
char *worker_call_json (const worker_call_t *call);

/** Parses the reports in a response body: an array or a single object.  The
    blobs of the reports point into the returned value, which the caller
    releases with json_decref after passing on the reply.
    @param reports filled with elements of type attempt_report_t
    @return NULL if the body is malformed; the caller then passes on a list as
    REPLY_LOST, any other call as REPLY_ANSWERED without reports */
json_t *worker_reports_parse (blob_t body, GArray *reports);

#endif

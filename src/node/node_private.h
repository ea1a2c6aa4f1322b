/** @file
 * Types and functions shared by the source files of the entry process.
 */
#ifndef NODE_NODE_PRIVATE_H
#define NODE_NODE_PRIVATE_H

#include "attempts/attempts.h"
#include "base/table.h"
#include "bundle/bundle.h"
#include "claims/claims.h"
#include "journal/journal.h"
#include "limits/limits.h"
#include "net/http_client.h"
#include "net/httpd.h"
#include "net/peerlink.h"
#include "node/node.h"
#include "orders/orders.h"
#include "peers/peers.h"
#include "placement/placement.h"
#include "routing/routing.h"

#include <errno.h>
#include <ev.h>

#define RETRY_AFTER_LOG_DOWN_S 2U

/** A latency-critical request that has not been answered yet. */
typedef struct
{
  bool from_peer;
  handle_t http;            /**< of a caller's request, unless from_peer */
  node_id_t from_node;      /**< peer that forwarded the request */
  uint64_t peer_request_id; /**< identifier that this peer gave it */
  handle_t routing_handle;  /**< of the request in the routing module */
  char *class_name;
  char *member;
  GBytes *body;
  usec_t deadline;
  usec_t run_limit;
  bool idempotent;
  uint32_t attempts;
  bool running;        /**< an attempt at an instance is under way */
  uint64_t forward_id; /**< 0 unless it is forwarded to a peer */
  node_id_t forwarded_to;
} lc_request_t;

/** A request that routing dispatched or forwarded and that certainly was not
    sent.  It is reported to routing outside routing's callbacks. */
typedef struct
{
  handle_t routing_handle;
  bool forward; /**< forwarded to a peer, else dispatched to an instance */
} unsent_t;

/** A client that waits until an appended entry is read back from the log. */
typedef struct
{
  bool is_bundle; /**< an operator that waits for a BUNDLE entry, else a caller
                       that waits for an ORDER_* entry */
  handle_t http;  /**< of the operators' or the callers' server */
  usec_t deadline;
} read_back_waiter_t;

/** A caller that waits for an order to end. */
typedef struct
{
  handle_t http;
  order_id_t order;
  usec_t deadline;
} order_wait_t;

/** A request of a peer without access to the log to have its claims checked
    against a log read of this process; confirmation (b) of the claims
    protocol, see claims_relay_confirmed. */
typedef struct
{
  node_id_t node;
  uint64_t seq; /**< of the heartbeat that carried the request */
  usec_t received_at;
  u64_list_t claimed_pairs; /**< pairs (shard, epoch) */
} relay_request_t;

/** A worker VM in the platform's list. */
typedef struct
{
  char address[64];
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
} worker_t;

/** Offset of the log's end at a point in time; maps the age of records to
    offsets. */
typedef struct
{
  usec_t time;
  uint64_t offset;
} log_sample_t;

typedef struct node node_t;

struct node
{
  const settings_t *settings;
  struct ev_loop *loop;
  incarnation_t incarnation;
  GRand *random;

  journal_t *journal;
  peers_t *peers;
  claims_t *claims;
  limits_t *limits;
  routing_t *routing;
  orders_t *orders;
  bundle_store_t *bundles;
  placement_t *placement;
  attempts_t *attempts;

  http_client_t *platform;
  http_client_t *upstreams;
  httpd_t *callers;
  httpd_t *operators;
  peerlink_t *link;

  table_t *lc_requests; /**< lc_request_t */
  GHashTable *forwards; /**< forward id -> handle in lc_requests */
  uint64_t next_id;     /**< counter from which node_new_id derives ids */
  GArray *unsent;       /**< unsent_t */

  GHashTable *waiters;      /**< journal ticket -> read_back_waiter_t */
  GArray *order_waits;      /**< order_wait_t */
  GArray *relay_requests;   /**< relay_request_t */
  bool *releasing;          /**< per shard: being handed over, no new work */
  uint64_t *attempt_epochs; /**< per shard: epoch known to attempts */
  uint64_t candidates_digest;
  bool *lost_unreleased; /**< per shard: lost, but requests may still run on
                              its VMs */
  usec_t link_reset_at[PEERS_MAX]; /**< when a silent link was replaced */

  GHashTable *workers;              /**< id -> worker_t */
  GHashTable *quota_reservations;   /**< order -> quota_reservation_t */
  GHashTable *team_used_millicores; /**< team -> sum over its started orders */

  bool registered;      /**< this process's MEMBER was read back */
  usec_t register_due;  /**< next append of this process's MEMBER */
  usec_t bundle_due;    /**< next append of the bundle in force */
  usec_t orders_due;    /**< next scan for orders to append again */
  usec_t shards_due;    /**< next append of claims; 0 at start */
  bool log_start_known; /**< the first read was answered */
  GArray *log_samples;  /**< log_sample_t, oldest first */
  usec_t list_due;      /**< next request for the platform's VM list */
  char *list_etag;      /**< ETag header of the newest VM list */
  node_id_t listed_nodes[PEERS_MAX]; /**< entry VMs in the VM list */
  GPtrArray *listed_addresses;       /**< their addresses */
  size_t listed_node_count;
  bool list_in_flight;
  bool bundle_known;    /**< the bundle in use is at least as new as one that
                           a peer has sent */
  bool log_was_healthy; /**< state reported by the last log line */
  uint64_t logged_bundle_version;

  bool draining;
  bool released;            /**< shards released, LEAVE appended */
  usec_t next_stop_step_at; /**< earliest time of the next stop step */
  bool quiesced;            /**< the callers' port is closed */
  uint64_t leave_ticket;    /**< journal ticket of the LEAVE entry */
  bool leave_confirmed;     /**< the LEAVE entry was read back */
  usec_t drain_deadline;    /**< of the current phase of the stop */

  ev_timer timer;
  ev_prepare prepare;
  ev_signal sigterm;
  ev_signal sigint;
  ev_signal sighup;
  bool ticks_due; /**< run the ticks before the loop blocks */
};

/* node.c */
/** Schedules a run of all ticks before the event loop blocks. */
void node_wake (node_t *node);
/** @return a nonzero identifier for an order or a forwarded request */
uint64_t node_new_id (node_t *node);
/** @return whether this process may act on the shard at NOW, a fresh clock
    reading */
bool node_may_act (node_t *node, usec_t now, uint32_t shard);
/** Begins the planned stop. */
void node_start_drain (node_t *node, const char *why);
/** @return the bundle in force if the process is ready, else NULL */
const bundle_t *node_bundle (const node_t *node);
/** Logs the version in force and reconsiders waiting requests if it is a new
    one. */
void node_bundle_changed (node_t *node);
/** Answers with a JSON value; takes over the reference to BODY. */
void node_answer_json (httpd_t *httpd, handle_t http, int status,
                       const char *outcome, uint32_t retry_after_s,
                       json_t *body);
void node_answer_error (httpd_t *httpd, handle_t http, int status,
                        const char *outcome, uint32_t retry_after_s,
                        const char *text);

/* node_log.c */
extern const journal_ops_t node_journal_ops;

/* node_renew.c */
void node_renew_tick (node_t *node, usec_t now);

/* node_peers.c */
extern const peerlink_ops_t node_peerlink_ops;
extern const peers_ops_t node_peers_ops;
extern const claims_ops_t node_claims_ops;
void node_update_candidates (node_t *node, usec_t now);
/** Answers the relay requests that arrived by SENT_AT, the send time of a log
    read that reached the tail. */
void node_answer_relays (node_t *node, usec_t sent_at);
/** Updates the claim candidates, reports load, replaces silent links and
    releases shards. */
void node_peers_tick (node_t *node, usec_t now);

/* node_lc.c */
extern const routing_ops_t node_routing_ops;
void node_lc_submit (node_t *node, usec_t now, lc_request_t *request,
                     const work_class_t *class_info, const member_t *member,
                     uint32_t hops);
void node_lc_receive_work (node_t *node, usec_t now, node_id_t from,
                           const msg_work_t *work);
void node_lc_receive_result (node_t *node, usec_t now,
                             const msg_result_t *result);
void node_lc_abandoned (node_t *node, usec_t now, handle_t http);
void node_lc_peer_ended (node_t *node, usec_t now, node_id_t peer);
/** Reports requests that could not be sent to the routing module. */
void node_lc_tick (node_t *node, usec_t now);

/* node_batch.c */
void node_batch_init (node_t *node);
void node_batch_free (node_t *node);
/** @return whether this node ranks first by rendezvous hashing among the live
    nodes for ORDER, which may also be a shard number */
bool node_ranks_first (const node_t *node, order_id_t order);
/** Called from orders_ops_t.changed. */
void node_batch_order_changed (node_t *node, usec_t now, const order_t *order);

/* node_callers.c */
extern const httpd_ops_t node_caller_ops;
/** Answers the caller whose ORDER_* entry with TICKET was read back. */
void node_order_read_back (node_t *node, uint64_t ticket,
                           order_apply_result_t verdict, order_id_t order);
void node_order_changed (node_t *node, const order_t *order);
void node_callers_tick (node_t *node, usec_t now);

/* node_operators.c */
extern const httpd_ops_t node_operator_ops;
/** Answers the operator whose BUNDLE entry with TICKET was read back.
    @param code result of bundle_store_apply */
void node_bundle_read_back (node_t *node, uint64_t ticket, int code,
                            const err_t *err);

/* node_vms.c */
void node_vms_tick (node_t *node, usec_t now);

#endif

/** @file
 * What the files of the entry process share.
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

#define RETRY_AFTER_LOG_S 2U

/** A latency-critical request under way. */
typedef struct
{
  bool from_peer;
  handle_t http;    /**< of a caller */
  node_id_t peer;   /**< that forwarded it here */
  uint64_t peer_id; /**< its identifier there */
  handle_t route;   /**< in the routing slice */
  char *class_name;
  char *member;
  GBytes *body;
  usec_t deadline;
  usec_t run_limit;
  bool idempotent;
  uint32_t attempts;
  bool running;        /**< an instance has it */
  uint64_t forward_id; /**< 0 unless it is at a peer */
  node_id_t forwarded_to;
} lc_t;

/** Work that routing chose a place for and that was surely not sent.  It is
    reported outside routing's callbacks. */
typedef struct
{
  handle_t route;
  bool forward;
} unsent_t;

/** A caller or operator who waits for an entry to be read back. */
typedef struct
{
  bool roll;     /**< waits for a BUNDLE entry, else for an ORDER_* one */
  handle_t http; /**< of the callers' or operators' server */
  usec_t until;
} waiter_t;

/** A caller who waits for an order to end. */
typedef struct
{
  handle_t http;
  order_id_t order;
  usec_t until;
} order_wait_t;

/** A relay of the log asked for by a peer (confirmation (b)). */
typedef struct
{
  node_id_t node;
  uint64_t seq;
  usec_t asked_at;
  u64_list_t asked;
} relay_t;

/** A worker of the platform's list. */
typedef struct
{
  char address[64];
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
} worker_t;

/** The log's end at a moment; tells which records are how old. */
typedef struct
{
  usec_t at;
  uint64_t offset;
} sample_t;

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

  table_t *lc;          /**< lc_t */
  GHashTable *forwards; /**< forward id -> lc handle */
  uint64_t next_id;
  GArray *unsent; /**< unsent_t */

  GHashTable *waiters; /**< ticket -> waiter_t */
  GArray *order_waits; /**< order_wait_t */
  GArray *relays;      /**< relay_t */
  bool *releasing;     /**< a flag a shard: takes no new work */
  uint64_t *epochs;    /**< an epoch a shard, as the attempts know it */
  uint64_t candidates_digest;
  bool *lost_work; /**< a flag a shard: lost, its work may still run */
  usec_t link_reset[PEERS_MAX]; /**< when a silent link was replaced */

  GHashTable *workers;   /**< id -> worker_t */
  GHashTable *holdings;  /**< order -> what it holds of a quota */
  GHashTable *team_used; /**< team -> millicores of started orders */

  bool registered; /**< the own MEMBER entry was read back */
  usec_t register_due;
  usec_t bundle_due;   /**< when the bundle is appended again */
  usec_t orders_due;   /**< when old orders are looked for */
  usec_t shards_due;   /**< when claims are appended again; 0 at start */
  bool log_started;    /**< the first read was answered */
  GArray *log_samples; /**< of the log's end, for the age of records */
  usec_t list_due;
  char *list_tag;              /**< entity tag of the list last read */
  node_id_t listed[PEERS_MAX]; /**< entry VMs that it names */
  GPtrArray *listed_addresses;
  size_t listed_count;
  bool list_busy;
  bool bundle_known;    /**< a peer has told the one in force */
  bool log_was_healthy; /**< as the last log line said */
  uint64_t announced_bundle;

  bool draining;
  bool released;  /**< shards released, LEAVE appended */
  usec_t stop_at; /**< next step of the stop not before */
  bool quiesced;  /**< the callers' port is closed */
  uint64_t leave_ticket;
  bool left; /**< the LEAVE entry was read back */
  usec_t drain_limit;

  ev_timer timer;
  ev_prepare prepare;
  ev_signal term;
  ev_signal interrupt;
  bool due; /**< run the ticks before the loop sleeps */
};

/* node.c */
/** Has the ticks run before the loop sleeps. */
void node_wake (node_t *node);
uint64_t node_new_id (node_t *node);
/** @return whether this process may act on the shard at NOW, a fresh clock
    reading */
bool node_may_act (node_t *node, usec_t now, uint32_t shard);
void node_start_drain (node_t *node, const char *why);
/** @return the bundle in force if the process is ready, else NULL */
const bundle_t *node_bundle (const node_t *node);
/** The bundle in force may have changed. */
void node_bundle_changed (node_t *node);
/** Answers with a JSON value; takes the reference. */
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
void node_candidates (node_t *node, usec_t now);
/** Relays wait for a log read that began after they were asked for. */
void node_relay (node_t *node, usec_t sent_at);
/** Replaces silent links, hands over shards. */
void node_peers_tick (node_t *node, usec_t now);

/* node_lc.c */
extern const routing_ops_t node_routing_ops;
void node_lc_submit (node_t *node, usec_t now, lc_t *request,
                     const work_class_t *class_info, const member_t *member,
                     uint32_t hops);
void node_lc_work (node_t *node, usec_t now, node_id_t from,
                   const msg_work_t *work);
void node_lc_result (node_t *node, usec_t now, const msg_result_t *result);
void node_lc_abandoned (node_t *node, usec_t now, handle_t http);
void node_lc_peer_ended (node_t *node, usec_t now, node_id_t peer);
/** Reports forwards whose link was down to the routing slice. */
void node_lc_tick (node_t *node, usec_t now);

/* node_batch.c */
void node_batch_init (node_t *node);
void node_batch_free (node_t *node);
/** @return whether this node ranks first for an order */
bool node_comes_first (const node_t *node, order_id_t order);
/** From the order table's callback. */
void node_batch_order_changed (node_t *node, usec_t now, const order_t *order);

/* node_callers.c */
extern const httpd_ops_t node_caller_ops;
/** The entry with the ticket was read back. */
void node_order_read_back (node_t *node, uint64_t ticket,
                           order_apply_result_t verdict, order_id_t order);
void node_order_changed (node_t *node, const order_t *order);
void node_callers_tick (node_t *node, usec_t now);

/* node_operators.c */
extern const httpd_ops_t node_operator_ops;
void node_roll_read_back (node_t *node, uint64_t ticket, int code,
                          const err_t *err);

/* node_vms.c */
void node_vms_tick (node_t *node, usec_t now);

#endif

/** @file
 * Entry processes as seen by this one: heartbeats, liveness, evidence of
 * their end, load reports.
 *
 * Does no I/O: the caller passes the time and the messages, and sends what
 * the callbacks hand out.  A peer is known by its node number and
 * incarnation.  A new incarnation at the same address is proof that the former
 * ended (A6) once it has acknowledged a heartbeat: its HELLO alone may have
 * been delayed and be the older of the two.  One at another address is none.
 */
#ifndef PEERS_PEERS_H
#define PEERS_PEERS_H

#include "base/messages.h"

#define PEERS_MAX 64U

typedef enum
{
  PEER_UNKNOWN, /**< configured, never heard of */
  PEER_LIVE,    /**< heartbeats arrive in both directions */
  PEER_SUSPECT, /**< silent for longer than suspect_after */
  PEER_ENDED    /**< there is evidence that its incarnation ended */
} peer_state_t;

typedef struct
{
  node_id_t node;
  incarnation_t incarnation; /**< 0 until known */
  uint32_t zone;
  peer_state_t state;
  bool draining;
  bool log_ok;
  uint64_t log_offset;
  uint64_t bundle_version;
  uint64_t free_slots;
  uint64_t queued;
  uint64_t free_millicores;
  uint64_t live_nodes; /**< bit N: it heard node N when it last reported */
  usec_t heard_at;     /**< last message, USEC_NEVER for none */
  usec_t round_trip;   /**< smoothed heartbeat round trip, microseconds */
  usec_t load_at;      /**< when the load report arrived */
} peer_t;

typedef struct
{
  node_id_t node;
  incarnation_t incarnation;
  uint32_t zone;
  usec_t heartbeat_interval; /**< 250 ms */
  usec_t suspect_after;      /**< 1000 ms */
  usec_t list_lag;           /**< 10 s; assumption A7 */
} peers_config_t;

typedef struct
{
  /** Sends a message to a node. */
  void (*send) (void *ctx, node_id_t node, const message_t *message);
  /** Fills the load fields and holds_asked of a heartbeat to a peer; the
      items of holds_asked are freed with g_free after the send. */
  void (*fill_heartbeat) (void *ctx, const peer_t *peer,
                          msg_heartbeat_t *heartbeat);
  /** A peer's state changed. */
  void (*changed) (void *ctx, usec_t now, const peer_t *peer,
                   peer_state_t before);
  /** An incarnation surely ended (assumptions A6 and A7). */
  void (*ended) (void *ctx, usec_t now, node_id_t node,
                 incarnation_t incarnation);
  /** An acknowledgement arrived for the heartbeat sent at SENT_AT. */
  void (*acknowledged) (void *ctx, usec_t now, usec_t sent_at,
                        const peer_t *peer, const msg_heartbeat_ack_t *ack);
} peers_ops_t;

typedef struct peers peers_t;

peers_t *peers_new (const peers_config_t *config, const peers_ops_t *ops,
                    void *ctx);
void peers_free (peers_t *peers);

/** Makes a node known, from settings or from a MEMBER entry of the log. */
void peers_add (peers_t *peers, usec_t now, node_id_t node, uint32_t zone);

/** A HELLO, HEARTBEAT or HEARTBEAT_ACK arrived from NODE.  Heartbeats are
    not acknowledged here: the owner of the claims does that, since it must
    fill holds_granted.  Messages other than HELLO, of any type, are taken only
    from a connection whose HELLO named the incarnation that peers_get shows;
    another connection of the node is closed, so that it says HELLO again. */
void peers_receive (peers_t *peers, usec_t now, node_id_t node,
                    const message_t *message);

/** A connection to NODE was refused by its VM (assumption A6).  The second
    refusal without a HELLO between proves that the incarnation known there
    has ended; one connect at a time is made to a node. */
void peers_connect_refused (peers_t *peers, usec_t now, node_id_t node);

/** The platform's list as of NOW; nodes it has not named for list_lag are
    taken as ended (assumption A7) unless they are heard from.  NODES are the
   entry VMs it names. */
void peers_apply_vm_list (peers_t *peers, usec_t now, const node_id_t *nodes,
                          size_t count);

/** Sends heartbeats that are due and marks silent peers.
    @return when to call again */
usec_t peers_tick (peers_t *peers, usec_t now);

/** @return the peer, NULL if not known; holds until the next call that
    takes a message */
const peer_t *peers_get (const peers_t *peers, node_id_t node);

/** @return the send time of heartbeat SEQ to NODE, USEC_NEVER if it is not
    remembered */
usec_t peers_sent_at (const peers_t *peers, node_id_t node, uint64_t seq);

/** Tells whether a live peer reports NODE as live.  Such a node is not
    suspected for a silent link between it and this process.  Node numbers
    from 64 on are never reported. */
bool peers_reported_live (const peers_t *peers, node_id_t node);

/** Lists all known peers. @return how many were written, at most MAX */
size_t peers_list (const peers_t *peers, const peer_t **out, size_t max);

#endif

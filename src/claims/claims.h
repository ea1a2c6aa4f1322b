/** @file
 * Exclusive ownership of shards by leases, ordered by the platform's log.
 *
 * At any moment at most one process may act on a shard; see docs/design.md,
 * "Claims protocol".  A process owns a shard by the newest valid CLAIM entry
 * in the log.  It may act once both hold:
 *
 * - Every older claim is resolved, that is, its holder can no longer act:
 *   (r) the holder released the shard,
 *   (d) there is evidence that the holder's incarnation ended, and its work
 *       has had time to end, or
 *   (w) a majority of the older claim's witnesses acknowledged the newer
 *       claim, and the lease and the holder's work have had time to end.
 * - The claim was confirmed within the lease, by one of:
 *   (a) a log read that reached the tail,
 *   (b) the answer of a peer that read the log on request (log relay),
 *   (c) holds granted by a majority of the claim's witnesses.  A witness
 *       refuses holds for a claim once it has applied a newer one.
 *
 * Does no I/O and reads no clock.  All times are this process's monotonic
 * clock, suspended time included.
 *
 * NOW must be read after the message that is passed was received, and SENT_AT
 * before the request was sent.  Don't pass a time cached by the event loop:
 * after a freeze it is older than the message, and waits would end early.
 * Call claims_tick after each batch of events.
 */
#ifndef CLAIMS_CLAIMS_H
#define CLAIMS_CLAIMS_H

#include "base/messages.h"

#include <jansson.h>

#define CLAIMS_MAX_WITNESSES 7U

typedef struct
{
  node_id_t node;
  incarnation_t incarnation;
  uint32_t zone;
  uint32_t shard_count; /**< shards are 0 .. shard_count - 1 */
  usec_t lease;         /**< 2000 ms */
  usec_t drain_time; /**< 1500 ms: longest time that work outlasts the lease,
                   the run limit of latency-critical work (assumption A3) */
  usec_t list_lag; /**< 10 s: longest time that the platform's list of VMs may
                      lag (assumption A7); 0: claims_vm_list_received has no
                      effect */
  usec_t
      claim_retry_delay; /**< delay before a void or lost claim is retried */
} claims_config_t;

/** A node that may own shards. */
typedef struct
{
  node_id_t node;
  incarnation_t incarnation;
  uint32_t zone;
  /** Keeps its shards but takes no new ones: it is draining or cannot reach
      the log. */
  bool no_new_shards;
} claims_candidate_t;

typedef struct
{
  /** Appends a CLAIM or RELEASE entry to the journal. */
  void (*append) (void *ctx, const message_t *entry);
  /** Sends a CLAIM_ACK or PEER_RELEASE to an incarnation of a node. */
  void (*send) (void *ctx, node_id_t node, incarnation_t incarnation,
                const message_t *message);
  /** This process may act on the shard from now on. */
  void (*gained) (void *ctx, usec_t now, uint32_t shard, uint64_t epoch);
  /** This process no longer acts on the shard. */
  void (*lost) (void *ctx, usec_t now, uint32_t shard, uint64_t epoch);
  /** @return the availability zone whose nodes are preferred for a shard,
      UINT32_MAX for none */
  uint32_t (*preferred_zone) (void *ctx, uint32_t shard);
} claims_ops_t;

typedef struct claims claims_t;

claims_t *claims_new (const claims_config_t *config, const claims_ops_t *ops,
                      void *ctx);
void claims_free (claims_t *claims);

/** Applies a MEMBER, LEAVE, CLAIM, RELEASE or SHARD entry in log order.
    Deterministic: all processes agree on which entries are valid. */
void claims_apply (claims_t *claims, usec_t now, const message_t *entry);

/** Sets the offset of the first log record that this process reads; earlier
    records have expired.  Must be called before the first entry is applied. */
void claims_set_first_offset (claims_t *claims, uint64_t from);

/** Fills a SHARD entry that replaces all claims of a shard up to now, to be
    appended before their records expire; free entry->chain.items with g_free.
    @param as_of offset up to which the log has been applied
    @return false if there is nothing to append */
bool claims_snapshot_shard (const claims_t *claims, uint32_t shard,
                            uint64_t as_of, msg_shard_t *entry);

/** Sets the nodes that may own shards: live ones, this one included, and, as
    nodes that take no new shards, those that only live peers report as live.
        A shard whose owner is not a candidate is claimed by another node.
   Claims and handovers follow rendezvous hashing over the candidates. */
void claims_set_candidates (claims_t *claims, usec_t now,
                            const claims_candidate_t *candidates,
                            size_t count);

/** Confirmation (a): a log read sent at SENT_AT reached the tail and all its
    entries were applied. */
void claims_log_confirmed (claims_t *claims, usec_t now, usec_t sent_at);

/** Confirmation (b): a peer read the log after it received the heartbeat sent
    at SENT_AT.  Of the shards that the heartbeat listed, only those in
    SUPERSEDED (pairs shard, epoch) have a newer claim.  The heartbeat must
    have listed all pairs that claims_holds_wanted returned. */
void claims_relay_confirmed (claims_t *claims, usec_t now, usec_t sent_at,
                             const u64_list_t *superseded);

/** @return pairs (shard, epoch) of the holds to request from a witness: all
    shards that this process owns, because log relays use the same list, or
    none while the log confirms the claims.  A pair with bit 32 of the shard
    set asks whether the witness has applied exactly this claim, in case its
    CLAIM_ACK was lost.  Free items with g_free. */
u64_list_t claims_holds_wanted (const claims_t *claims, usec_t now,
                                incarnation_t witness);

/** Confirmation (c): a witness granted holds requested at SENT_AT.  Called for
    each acknowledged heartbeat, also with an empty list: the acknowledgement
    proves that the witness was alive and that earlier processes at its address
    have ended. */
void claims_holds_granted (claims_t *claims, usec_t now, usec_t sent_at,
                           incarnation_t witness, const u64_list_t *granted);

/** Decides as a witness on holds requested by a peer.
    @return the pairs (shard, epoch) granted; free items with g_free */
u64_list_t claims_grant_holds (const claims_t *claims,
                               const u64_list_t *asked);

/** Answers a log relay request.
    @return the pairs (shard, newest epoch) of those shards in ASKED that have
    a newer claim in the applied log; free items with g_free */
u64_list_t claims_find_superseded (const claims_t *claims,
                                   const u64_list_t *asked);

/** A witness acknowledged this process's claim. */
void claims_acknowledged (claims_t *claims, usec_t now, incarnation_t witness,
                          uint32_t shard, uint64_t epoch);

/** There is evidence for rule (d) that an incarnation ended.  A process stops
    acting before it appends LEAVE or closes its peer port. */
void claims_incarnation_ended (claims_t *claims, usec_t now,
                               incarnation_t incarnation);

/** Passes the platform's list of entry VMs as of NOW, by address (IP:port).
    Incarnations registered at a host that has been absent for list_lag have
    ended (assumption A7), including those that never were peers of this
    process. */
void claims_vm_list_received (claims_t *claims, usec_t now,
                              const char *const *addresses, size_t count);

/** A peer announced that it released shards (pairs shard, epoch). */
void claims_peer_released (claims_t *claims, usec_t now, incarnation_t from,
                           const u64_list_t *released);

/** Tells whether this process may act on the shard at NOW, which must be a
    fresh clock reading.  @param epoch set to the epoch to act under */
bool claims_may_act (claims_t *claims, usec_t now, uint32_t shard,
                     uint64_t *epoch);

/** @return the node that owns the shard according to the log, 0 if none (node
    numbers start at 1) */
node_id_t claims_owner (const claims_t *claims, uint32_t shard);

/** @return the shard's epoch in the applied log, 0 if never claimed */
uint64_t claims_epoch (const claims_t *claims, uint32_t shard);

/** Releases a shard; the caller has stopped all work on its VMs.  Also called
    for a shard lost to a newer claim once its work has ended, so that the
    successor need not wait for rule (w). */
void claims_release (claims_t *claims, usec_t now, uint32_t shard);

/** Tells whether a shard should be handed to another node, because that node
    comes first in rendezvous order or this one is draining.  The caller
    releases it once its work is done. */
bool claims_should_release (const claims_t *claims, uint32_t shard);

/** Starts a planned stop: takes no new shards and grants no holds from now on.
    Must be called before LEAVE is appended. */
void claims_drain (claims_t *claims);

/** Appends claims that are due, repeats release notices, starts and stops
    acting on shards.  @return when to call again */
usec_t claims_tick (claims_t *claims, usec_t now);

/** @return the state as JSON; the caller owns the reference */
json_t *claims_dump (const claims_t *claims, usec_t now);

#endif

/** @file
 * Exclusive ownership of shards, ordered by the platform's log.
 *
 * At any moment at most one process may act on a shard.  The rules are in
 * docs/design.md, "Claims protocol".  Does no I/O and reads no clock.  All
 * times are this process's monotonic clock, suspended time included.
 *
 * NOW must be read after the message that is passed was received, and SENT_AT
 * before the request was sent.  A time cached by the event loop will not do:
 * after a freeze it lies before the message, and waits would end early.
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
  usec_t drain_time;    /**< 1500 ms: the run limit of LC work (A3) */
  usec_t list_lag; /**< 10 s, assumption A7; 0: claims_vm_list_received has
                        no effect */
  usec_t
      claim_retry_delay; /**< pause before a void or lost claim is repeated */
} claims_config_t;

/** A node that could own shards now. */
typedef struct
{
  node_id_t node;
  incarnation_t incarnation;
  uint32_t zone;
  /** Keeps what it owns but takes no new shards: it is draining, or does not
      reach the log. */
  bool no_new_shards;
} claims_candidate_t;

typedef struct
{
  /** Puts a CLAIM or RELEASE entry into the journal. */
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

/** Applies a MEMBER, LEAVE, CLAIM or RELEASE entry in log order.  Every
    process reaches the same verdict on every entry. */
void claims_apply (claims_t *claims, usec_t now, const message_t *entry);

/** Tells that the log's records before FROM had expired before this process
    could read them.  To be called before the first entry is applied. */
void claims_set_first_offset (claims_t *claims, uint64_t from);

/** Fills an entry that stands for all claims of a shard up to now, to be
    appended before their records expire; entry->chain.items is freed with
    g_free.  @param as_of offset up to which the log has been applied
    @return false if there is nothing to append */
bool claims_snapshot_shard (const claims_t *claims, uint32_t shard,
                            uint64_t as_of, msg_shard_t *entry);

/** Nodes that are live or that live peers report as live (with keeps_only),
    this one included.  A shard whose owner is not among
    them is claimed by others.  Claims and handovers follow rendezvous hashing
   over them. */
void claims_set_candidates (claims_t *claims, usec_t now,
                            const claims_candidate_t *candidates,
                            size_t count);

/** Confirmation (a): a log read sent at SENT_AT reached the tail and all its
    entries were applied. */
void claims_log_confirmed (claims_t *claims, usec_t now, usec_t sent_at);

/** Confirmation (b): a peer answered that its log read, begun after it got
    our question sent at SENT_AT, showed a newer claim for none of our shards
    but those in SUPERSEDED (pairs shard, epoch).  The question must have
    been all that claims_holds_wanted returned. */
void claims_relay_confirmed (claims_t *claims, usec_t now, usec_t sent_at,
                             const u64_list_t *superseded);

/** Pairs (shard, epoch) for which a witness is asked for holds: all shards
    we own, since the same list is the relay question; none while the log
    confirms our claims.  Bit 32 of the shard
    asks whether the witness has applied exactly this claim, which repeats a
    CLAIM_ACK that was lost.  The list is freed with g_free (items). */
u64_list_t claims_holds_wanted (const claims_t *claims, usec_t now,
                                incarnation_t witness);

/** Confirmation (c): a witness granted holds asked for at SENT_AT.  Called for
    each acknowledged heartbeat, also with an empty list: it proves that the
    witness was alive, so that former processes at its address have ended. */
void claims_holds_granted (claims_t *claims, usec_t now, usec_t sent_at,
                           incarnation_t witness, const u64_list_t *granted);

/** As a witness: which of the holds asked for are granted.  Pairs (shard,
    epoch); freed with g_free (items). */
u64_list_t claims_grant_holds (const claims_t *claims,
                               const u64_list_t *asked);

/** Which of the pairs (shard, epoch) have a newer claim in the applied log;
    answer to a relay question.  Freed with g_free (items). */
u64_list_t claims_find_superseded (const claims_t *claims,
                                   const u64_list_t *asked);

/** A witness acknowledged our claim. */
void claims_acknowledged (claims_t *claims, usec_t now, incarnation_t witness,
                          uint32_t shard, uint64_t epoch);

/** An incarnation surely ended (evidence, rule (d)).  A process that appends
    LEAVE, or closes its peer port, has stopped acting before. */
void claims_incarnation_ended (claims_t *claims, usec_t now,
                               incarnation_t incarnation);

/** The platform's list as of NOW, by the addresses (IP:port) of the entry VMs
    that it names: incarnations registered at a host that was absent for
    list_lag have ended (A7).  Covers those that this process never met. */
void claims_vm_list_received (claims_t *claims, usec_t now,
                              const char *const *addresses, size_t count);

/** A peer said that it released shards (pairs shard, epoch). */
void claims_peer_released (claims_t *claims, usec_t now, incarnation_t from,
                           const u64_list_t *released);

/** Tells whether this process may act on the shard at NOW, which must be a
    fresh clock reading.  @param epoch set to the epoch to act under */
bool claims_may_act (claims_t *claims, usec_t now, uint32_t shard,
                     uint64_t *epoch);

/** @return the node that owns the shard by the log, 0 if none (node numbers
    start at 1) */
node_id_t claims_owner (const claims_t *claims, uint32_t shard);

/** @return the shard's epoch by the applied log, 0 if never claimed */
uint64_t claims_epoch (const claims_t *claims, uint32_t shard);

/** Releases one shard; the caller has stopped all work on its VMs.  Also
    for a shard lost to a newer claim: once its work has ended, a release
    spares the successor the wait of rule (w). */
void claims_release (claims_t *claims, usec_t now, uint32_t shard);

/** Asks whether a shard should go to another node (rendezvous order) and
    may be released once its work is done. */
bool claims_should_release (const claims_t *claims, uint32_t shard);

/** Takes no new shards and grants no holds from now on (planned stop).  Called
    before LEAVE is appended. */
void claims_drain (claims_t *claims);

/** Appends claims that are due, repeats releases, activates and lapses shards.
    @return when to call again */
usec_t claims_tick (claims_t *claims, usec_t now);

/** @return the whole state for a dump; the caller owns the reference */
json_t *claims_dump (const claims_t *claims, usec_t now);

#endif

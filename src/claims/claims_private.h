/** @file
 * Internal state of the claims module.
 */
#ifndef CLAIMS_CLAIMS_PRIVATE_H
#define CLAIMS_CLAIMS_PRIVATE_H

#include "claims/claims.h"

#include <glib.h>

#define ADDRESS_MAX 64U

/* Mutation testing: each mutant disables one safety mechanism, and "make
   mutants" requires that the fault matrix or the unit tests fail with it.
   Built with -DCLAIMS_MUTANT=MUTANT_<name>. */
enum
{
  MUTANT_NONE,
  MUTANT_NO_WAIT_W,
  MUTANT_NO_WAIT_D,
  MUTANT_CONFIRM_AT_RECEIPT,
  MUTANT_NO_EPOCH_CHECK,
  MUTANT_NO_ACKNOWLEDGEMENT,
  MUTANT_NO_REFUSAL,
  MUTANT_ONE_WITNESS_LIST,
  MUTANT_NO_CHAIN,
  MUTANT_GRANT_AFTER_DRAIN,
  MUTANT_RELAY_UNASKED,
  MUTANT_RELEASE_PENDING
};
#ifndef CLAIMS_MUTANT
#define CLAIMS_MUTANT MUTANT_NONE
#endif
#define MUTATED(name) (CLAIMS_MUTANT == MUTANT_##name)

/* A CLAIM entry, appended or applied. */
typedef struct
{
  uint64_t epoch;
  node_id_t node;
  incarnation_t incarnation;
  usec_t applied_at;
  uint32_t witness_count;
  incarnation_t witnesses[CLAIMS_MAX_WITNESSES];
  /* When each witness acknowledged the newest claim of the shard. */
  usec_t acked_at[CLAIMS_MAX_WITNESSES];
  /* Send time of the newest request for a hold that each witness granted, for
     claims of this process. */
  usec_t hold_sent_at[CLAIMS_MAX_WITNESSES];
} claim_t;

/* The newest claim of a shard by this process. */
typedef struct
{
  uint64_t epoch;           /* 0 for none */
  bool resolved;            /* no holder of an older claim can still act */
  bool acting;              /* from ops.gained to ops.lost */
  bool given_up;            /* released; never acts again under this epoch */
  bool release_appended;    /* RELEASE of this epoch was appended */
  usec_t confirmed_at;      /* by log or relay: send time of the request */
  usec_t lapsed_since;      /* USEC_NEVER while acting */
  usec_t release_repeat_at; /* when the next PEER_RELEASE is sent */
} own_claim_t;

typedef struct
{
  uint64_t epoch; /* newest in the applied log */
  GArray *chain;  /* claim_t, oldest first, see claims.c */
  own_claim_t own;
  claim_t pending;        /* appended, not yet read back; epoch 0 for none */
  usec_t claimable_since; /* USEC_NEVER while it is not claimable */
  usec_t retry_at;        /* earliest time of the next claim */
  usec_t renewal_needed_since; /* USEC_NEVER while no renewal is needed */
  bool awaiting_snapshot; /* claims expired unread, see claims_restore.c */
  GPtrArray *deferred_entries; /* GByteArray, while awaiting_snapshot */
} shard_t;

/* An incarnation registered by a MEMBER entry. */
typedef struct
{
  char address[ADDRESS_MAX];
  usec_t applied_at;
  usec_t absent_since; /* first list without its host, USEC_NEVER if listed */
} member_t;

struct claims
{
  claims_config_t config;
  claims_ops_t ops;
  void *ctx;
  shard_t *shards;
  GHashTable *members; /* incarnation -> member_t */
  GHashTable *ended;   /* incarnation -> usec_t, when evidence arrived */
  claims_candidate_t *candidates;
  size_t candidate_count;
  usec_t first_candidates_at;
  usec_t log_confirmed_at; /* send time of the newest read to the tail */
  bool log_fresh;          /* log_confirmed_at was recent at the last tick */
  bool draining;
  bool fenced; /* there is evidence that this incarnation ended */
  uint64_t first_log_offset; /* first offset that was read */
};

/* claims.c */
claim_t *shard_current (const shard_t *shard);
claim_t *shard_claim (const shard_t *shard, guint index);
uint32_t shard_number (const claims_t *claims, const shard_t *shard);
shard_t *claims_shard (const claims_t *claims, uint64_t number);
bool shard_is_ours (const claims_t *claims, const shard_t *shard);

/* claims_log.c */
void claims_end_predecessors (claims_t *claims, usec_t now,
                              incarnation_t incarnation, usec_t alive_at);
member_t *claims_member (const claims_t *claims, incarnation_t incarnation);
bool address_same_host (const char *a, const char *b);
void shard_drop_released_claims (claims_t *claims, usec_t now, shard_t *shard,
                                 uint64_t epoch);

/* claims_lease.c */
int claim_witness_index (const claim_t *claim, incarnation_t witness);
usec_t shard_confirmed_at (const shard_t *shard);
usec_t shard_resolved_at (const claims_t *claims, const shard_t *shard);
usec_t add_clock_margin (usec_t span);
bool claims_get_end_time (const claims_t *claims, incarnation_t incarnation,
                          usec_t *at);
void shard_update_acting (claims_t *claims, usec_t now, shard_t *shard);
void shard_stop_acting (claims_t *claims, usec_t now, shard_t *shard);

/* claims_take.c */
void shard_announce_release (claims_t *claims, usec_t now, shard_t *shard);
const claims_candidate_t *claims_candidate (const claims_t *claims,
                                            incarnation_t incarnation);

/* claims_restore.c */
/** Defers a CLAIM or RELEASE entry of a shard that awaits its SHARD entry.
    @return false if the entry is to be applied now */
bool claims_restore_defer (claims_t *claims, const message_t *entry);

/** Restores a shard that awaits its SHARD entry, then applies the entries that
    were deferred. */
void claims_restore_shard (claims_t *claims, usec_t now,
                           const message_t *entry);

/** Called when a read reached the tail of the log: shards without a SHARD
    entry are restored from the first entry that was read. */
void claims_restore_remaining (claims_t *claims, usec_t now);

#endif

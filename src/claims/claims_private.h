/** @file
 * State of the claims slice.
 */
#ifndef CLAIMS_CLAIMS_PRIVATE_H
#define CLAIMS_CLAIMS_PRIVATE_H

#include "claims/claims.h"

#include <glib.h>

#define ADDRESS_MAX 64U

/* Each mutant lacks one mechanism; make mutants requires that the fault matrix
   fails with it.  Built with -DCLAIMS_MUTANT=MUTANT_<name>. */
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

/* A claim of the log. */
typedef struct
{
  uint64_t epoch;
  node_id_t node;
  incarnation_t incarnation;
  usec_t applied_at;
  uint32_t count;
  incarnation_t witnesses[CLAIMS_MAX_WITNESSES];
  /* When each witness acknowledged the newest claim of the shard. */
  usec_t acked[CLAIMS_MAX_WITNESSES];
  /* Newest send time of a hold that each witness granted; own claims. */
  usec_t held[CLAIMS_MAX_WITNESSES];
} claim_t;

/* Our own newest claim of a shard. */
typedef struct
{
  uint64_t epoch;        /* 0 for none */
  bool resolved;         /* no older claim can have a holder */
  bool acting;           /* between gained and lost */
  bool given_up;         /* will never act again under this epoch */
  bool release_appended; /* RELEASE of this epoch is on its way */
  usec_t confirmed;      /* by (a) or (b): send time of the request */
  usec_t lapsed_since;   /* USEC_NEVER while acting */
  usec_t repeat_at;      /* next PEER_RELEASE */
} own_t;

typedef struct
{
  uint64_t epoch; /* by the applied log */
  GArray *chain;  /* claim_t */
  own_t own;
  claim_t pending;      /* appended and not yet read back; epoch 0 for none */
  usec_t claimable_at;  /* since when it could be claimed, USEC_NEVER */
  usec_t retry_at;      /* no claim before */
  usec_t renewal_since; /* since when the witness list is poor */
  bool unknown;         /* its claims expired unread, see claims_restore.c */
  GPtrArray *backlog;   /* GByteArray: entries met while unknown */
} shard_t;

/* An incarnation that the log has named in a MEMBER entry. */
typedef struct
{
  char address[ADDRESS_MAX];
  usec_t applied_at;
  usec_t absent_since; /* first list without it, USEC_NEVER if named */
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
  usec_t log_confirmed; /* send time of the newest read to the tail */
  bool log_fresh;       /* at the last tick */
  bool draining;
  bool fenced;       /* the log says that this incarnation ended */
  uint64_t log_from; /* first offset of the log that was read */
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
void shard_forget_released (claims_t *claims, usec_t now, shard_t *shard,
                            uint64_t epoch);

/* claims_lease.c */
int claim_witness (const claim_t *claim, incarnation_t witness);
usec_t shard_confirmed_at (const shard_t *shard);
usec_t shard_resolved_at (const claims_t *claims, const shard_t *shard);
usec_t clock_scaled (usec_t span);
bool claims_ended_at (const claims_t *claims, incarnation_t incarnation,
                      usec_t *at);
void shard_refresh (claims_t *claims, usec_t now, shard_t *shard);
void shard_stop_acting (claims_t *claims, usec_t now, shard_t *shard);

/* claims_take.c */
void shard_announce_release (claims_t *claims, usec_t now, shard_t *shard);
const claims_candidate_t *claims_candidate (const claims_t *claims,
                                            incarnation_t incarnation);

/* claims_restore.c */
/** Keeps a CLAIM or RELEASE entry of a shard that is still unknown.
    @return false if the shard is known and the entry applies now */
bool claims_restore_defer (claims_t *claims, const message_t *entry);

/** Takes a SHARD entry over if its shard is unknown. */
void claims_restore_shard (claims_t *claims, usec_t now,
                           const message_t *entry);

/** The tail was reached: shards without a SHARD entry begin with the first
    claim that was met. */
void claims_restore_rest (claims_t *claims, usec_t now);

#endif

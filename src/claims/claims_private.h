/** @file
 * State of the claims slice.
 */
#ifndef CLAIMS_CLAIMS_PRIVATE_H
#define CLAIMS_CLAIMS_PRIVATE_H

#include "claims/claims.h"

#include <glib.h>

#define ADDRESS_MAX 64U

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

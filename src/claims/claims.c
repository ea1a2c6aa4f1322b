/** @file
 * Exclusive ownership of shards, ordered by the platform's log.
 *
 * Each shard keeps the chain of claims that may still have a holder: the
 * claims since the newest one known to be released or resolved, oldest
 * first.  The last one is the current claim.  A renewal is appended only by
 * an owner that may act, so it proves that all older claims are resolved.
 */
#include "claims/claims_private.h"

#include <string.h>
#include <xxhash.h>

/* Assumption A2: two clocks differ in rate by less than 1%. */
#define RATE_PERCENT 101
/* Bit of the shard number in holds asked and granted: asks not for a hold
   but whether the witness has applied exactly this claim, in case the
   CLAIM_ACK was lost. */
#define ASK_APPLIED (1ULL << 32)
/* Holds are asked for once the log has not confirmed the claims for this
   part of a lease. */
#define HOLDS_AFTER_PART 2
/* Longest time between two calls of claims_tick. */
#define TICK_MAX (250 * USEC_PER_MSEC)
/* Longest pause before a contested claim, in waits of rule (w). */
#define CONTEST_MAX 2
/* How often a release is repeated to peers until the log shows it. */
#define RELEASE_REPEAT (1 * USEC_PER_SEC)

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

static void apply_member (claims_t *claims, usec_t now, const message_t *m);
static void apply_leave (claims_t *claims, usec_t now, const message_t *m);
static void apply_claim (claims_t *claims, usec_t now, const message_t *m);
static void apply_release (claims_t *claims, usec_t now, const message_t *m);
static bool holds_due (const claims_t *claims, usec_t sent_at);
static void end_predecessors (claims_t *claims, usec_t now,
                              incarnation_t incarnation, usec_t alive_at);
static member_t *member_of (const claims_t *claims, incarnation_t incarnation);
static bool same_host (const char *a, const char *b);
static bool claim_valid (const claims_t *claims, const msg_claim_t *entry);
static void push_claim (claims_t *claims, usec_t now, shard_t *shard,
                        const msg_claim_t *entry);
static void own_claim_applied (claims_t *claims, usec_t now, shard_t *shard,
                               bool renewal);
static void other_claim_applied (claims_t *claims, usec_t now, shard_t *shard);
static claim_t *current (const shard_t *shard);
static claim_t *chain_at (const shard_t *shard, guint index);
static uint32_t number_of (const claims_t *claims, const shard_t *shard);
static shard_t *shard_of (const claims_t *claims, uint64_t number);
static bool owns (const claims_t *claims, const shard_t *shard);
static int witness_index (const claim_t *claim, incarnation_t witness);
static usec_t majority_time (const claim_t *claim, const usec_t *times);
static usec_t confirmed_at (const shard_t *shard);
static usec_t resolved_at (const claims_t *claims, const shard_t *shard);
static usec_t claim_resolved_at (const claims_t *claims, const claim_t *former,
                                 usec_t applied_at);
static usec_t scaled (usec_t span);
static bool ended_at (const claims_t *claims, incarnation_t incarnation,
                      usec_t *at);
static void refresh (claims_t *claims, usec_t now, shard_t *shard);
static void stop_acting (claims_t *claims, usec_t now, shard_t *shard);
static void forget_released (claims_t *claims, usec_t now, shard_t *shard,
                             uint64_t epoch);
static void give_up (claims_t *claims, usec_t now, shard_t *shard);
static void announce_release (claims_t *claims, usec_t now, shard_t *shard);
static void tick_claim (claims_t *claims, usec_t now, shard_t *shard);
static bool vacant (const claims_t *claims, usec_t now, const shard_t *shard);
static bool resolvable (const claims_t *claims, const claim_t *former);
static void tick_renew (claims_t *claims, usec_t now, shard_t *shard);
static void tick_give_up (claims_t *claims, usec_t now, shard_t *shard);
static void append_claim (claims_t *claims, usec_t now, shard_t *shard);
static uint32_t choose_witnesses (const claims_t *claims, incarnation_t *out);
static bool witnesses_poor (const claims_t *claims, const shard_t *shard);
static const claims_candidate_t *candidate (const claims_t *claims,
                                            incarnation_t incarnation);
static bool may_take (const claims_t *claims, const claims_candidate_t *c);
static uint64_t weight (const claims_t *claims, uint32_t shard,
                        const claims_candidate_t *c);
static size_t rank (const claims_t *claims, uint32_t shard);
static bool log_fresh (const claims_t *claims, usec_t now);
static void list_add (GArray *list, uint64_t shard, uint64_t epoch);
static u64_list_t list_take (GArray *list);
static usec_t wake_at (const claims_t *claims, usec_t now,
                       const shard_t *shard);
static json_t *dump_shard (const claims_t *claims, usec_t now,
                           const shard_t *shard);

static const struct
{
  message_type_t type;
  void (*apply) (claims_t *, usec_t, const message_t *);
} entries[] = {
  { MSG_MEMBER, apply_member },        { MSG_LEAVE, apply_leave },
  { MSG_CLAIM, apply_claim },          { MSG_RELEASE, apply_release },
  { MSG_SHARD, claims_restore_shard },
};

claims_t *
claims_new (const claims_config_t *config, const claims_ops_t *ops, void *ctx)
{
  claims_t *claims = g_new0 (claims_t, 1);

  claims->config = *config;
  claims->ops = *ops;
  claims->ctx = ctx;
  claims->members
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  claims->ended
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  claims->first_candidates_at = USEC_NEVER;
  claims->log_confirmed = USEC_NEVER;
  claims->shards = g_new0 (shard_t, config->shard_count);
  for (uint32_t i = 0; i < config->shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      shard->chain = g_array_new (FALSE, TRUE, sizeof (claim_t));
      shard->claimable_at = USEC_NEVER;
      shard->retry_at = USEC_NEVER;
      shard->renewal_since = USEC_NEVER;
    }
  return claims;
}

void
claims_free (claims_t *claims)
{
  if (!claims)
    return;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      g_array_free (claims->shards[i].chain, TRUE);
      if (claims->shards[i].backlog)
        g_ptr_array_free (claims->shards[i].backlog, TRUE);
    }
  g_free (claims->shards);
  g_free (claims->candidates);
  g_hash_table_destroy (claims->members);
  g_hash_table_destroy (claims->ended);
  g_free (claims);
}

void
claims_apply (claims_t *claims, usec_t now, const message_t *entry)
{
  if (claims_restore_defer (claims, entry))
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    if (entries[i].type == entry->type)
      entries[i].apply (claims, now, entry);
}

void
claims_candidates (claims_t *claims, usec_t now,
                   const claims_candidate_t *candidates, size_t count)
{
  if (claims->first_candidates_at == USEC_NEVER)
    claims->first_candidates_at = now;
  g_free (claims->candidates);
  claims->candidates = g_memdup2 (candidates, count * sizeof *candidates);
  claims->candidate_count = count;
}

void
claims_log_confirmed (claims_t *claims, usec_t now, usec_t sent_at)
{
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  claims_restore_rest (claims, now);
  claims->log_confirmed = MAX (claims->log_confirmed, sent_at);
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      if (owns (claims, shard))
        shard->own.confirmed = MAX (shard->own.confirmed, sent_at);
      refresh (claims, now, shard);
    }
}

void
claims_relay_confirmed (claims_t *claims, usec_t now, usec_t sent_at,
                        const u64_list_t *superseded)
{
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  if (!holds_due (claims, sent_at))
    return;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];
      bool newer = false;

      for (uint32_t n = 0; n + 1 < superseded->count; n += 2)
        newer = newer || superseded->items[n] == i;
      if (newer || !owns (claims, shard))
        continue;
      /* A question sent before the claim was applied did not name it, and a
         newer claim may have followed it in the log by then. */
      if (sent_at <= current (shard)->applied_at && !MUTATED (RELAY_UNASKED))
        continue;
      shard->own.confirmed = MAX (shard->own.confirmed, sent_at);
      refresh (claims, now, shard);
    }
}

/* While the log confirms the claims, holds would only be traffic.  They are
   asked for early enough for several tries before a lease lapses.  A relay
   answers the same question, so it counts only if all shards were in it. */
static bool
holds_due (const claims_t *claims, usec_t sent_at)
{
  return claims->log_confirmed == USEC_NEVER
         || sent_at - claims->log_confirmed
                >= claims->config.lease / HOLDS_AFTER_PART;
}

u64_list_t
claims_holds_wanted (const claims_t *claims, usec_t now, incarnation_t witness)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      const shard_t *shard = &claims->shards[i];
      bool ask = false;

      if (!owns (claims, shard))
        continue;
      if (holds_due (claims, now))
        list_add (list, i, shard->own.epoch);
      for (guint n = 0; !shard->own.resolved && n < shard->chain->len; n++)
        {
          const claim_t *former = chain_at (shard, n);
          int index = witness_index (former, witness);

          ask = ask || (index >= 0 && former->acked[index] == USEC_NEVER);
        }
      if (ask)
        list_add (list, i | ASK_APPLIED, shard->own.epoch);
    }
  return list_take (list);
}

void
claims_holds_granted (claims_t *claims, usec_t now, usec_t sent_at,
                      incarnation_t witness, const u64_list_t *granted)
{
  end_predecessors (claims, now, witness, sent_at);
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  for (uint32_t n = 0; n + 1 < granted->count; n += 2)
    {
      uint64_t number = granted->items[n];
      uint64_t epoch = granted->items[n + 1];
      shard_t *shard = shard_of (claims, number & ~ASK_APPLIED);
      claim_t *lists[2];

      if (!shard || !owns (claims, shard) || shard->own.epoch != epoch)
        continue;
      if (number & ASK_APPLIED)
        {
          claims_acknowledged (claims, now, witness,
                               (uint32_t)(number & ~ASK_APPLIED), epoch);
          continue;
        }
      lists[0] = current (shard);
      lists[1] = &shard->pending;
      for (size_t l = 0; l < G_N_ELEMENTS (lists); l++)
        {
          int index = witness_index (lists[l], witness);

          if (index >= 0)
            lists[l]->held[index] = MAX (lists[l]->held[index], sent_at);
        }
      refresh (claims, now, shard);
    }
}

u64_list_t
claims_grant (const claims_t *claims, const u64_list_t *asked)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t n = 0; n + 1 < asked->count; n += 2)
    {
      uint64_t number = asked->items[n];
      uint64_t epoch = asked->items[n + 1];
      const shard_t *shard = shard_of (claims, number & ~ASK_APPLIED);

      if (!shard || (shard->epoch > epoch && !MUTATED (NO_REFUSAL)))
        continue;
      /* A LEAVE entry counts as the end of a witness, and a draining process
         may append it at any time. */
      if (!(number & ASK_APPLIED) && claims->draining
          && !MUTATED (GRANT_AFTER_DRAIN))
        continue;
      if ((number & ASK_APPLIED) && shard->epoch != epoch)
        continue;
      list_add (list, number, epoch);
    }
  return list_take (list);
}

u64_list_t
claims_superseded (const claims_t *claims, const u64_list_t *asked)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t n = 0; n + 1 < asked->count; n += 2)
    {
      const shard_t *shard = shard_of (claims, asked->items[n]);

      if (shard && shard->epoch > asked->items[n + 1])
        list_add (list, asked->items[n], shard->epoch);
    }
  return list_take (list);
}

void
claims_acknowledged (claims_t *claims, usec_t now, incarnation_t witness,
                     uint32_t number, uint64_t epoch)
{
  shard_t *shard = shard_of (claims, number);

  if (!shard || !owns (claims, shard) || shard->own.epoch != epoch)
    return;
  for (guint n = 0; n < shard->chain->len; n++)
    {
      claim_t *former = chain_at (shard, n);
      int index = witness_index (former, witness);

      if (index >= 0 && former->acked[index] == USEC_NEVER)
        former->acked[index] = now;
    }
  refresh (claims, now, shard);
}

void
claims_ended (claims_t *claims, usec_t now, incarnation_t incarnation)
{
  usec_t at;

  if (!incarnation || ended_at (claims, incarnation, &at))
    return;
  g_hash_table_insert (claims->ended,
                       g_memdup2 (&incarnation, sizeof incarnation),
                       g_memdup2 (&now, sizeof now));
  claims->fenced = claims->fenced || incarnation == claims->config.incarnation;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    refresh (claims, now, &claims->shards[i]);
}

void
claims_listed (claims_t *claims, usec_t now, const char *const *addresses,
               size_t count)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!claims->config.list_lag)
    return;
  g_hash_table_iter_init (&iter, claims->members);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      member_t *member = value;
      incarnation_t incarnation = *(const incarnation_t *)key;
      bool named = candidate (claims, incarnation) != NULL;

      for (size_t i = 0; i < count && !named; i++)
        named = same_host (member->address, addresses[i]);
      if (named)
        member->absent_since = USEC_NEVER;
      else if (member->absent_since == USEC_NEVER)
        member->absent_since = now;
      else if (now - member->absent_since > claims->config.list_lag)
        claims_ended (claims, now, incarnation);
    }
}

void
claims_released (claims_t *claims, usec_t now, incarnation_t from,
                 const u64_list_t *released)
{
  for (uint32_t n = 0; n + 1 < released->count; n += 2)
    {
      shard_t *shard = shard_of (claims, released->items[n]);
      uint64_t epoch = released->items[n + 1];

      if (!shard || from == claims->config.incarnation)
        continue;
      for (guint c = 0; c < shard->chain->len; c++)
        if (chain_at (shard, c)->epoch == epoch
            && chain_at (shard, c)->incarnation == from)
          {
            forget_released (claims, now, shard, epoch);
            break;
          }
    }
}

bool
claims_may_act (claims_t *claims, usec_t now, uint32_t number, uint64_t *epoch)
{
  const shard_t *shard = shard_of (claims, number);
  usec_t confirmed;

  if (!shard || !shard->own.acting)
    return false;
  confirmed = confirmed_at (shard);
  if (confirmed == USEC_NEVER || now >= confirmed + claims->config.lease)
    return false;
  *epoch = shard->own.epoch;
  return true;
}

node_id_t
claims_owner (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = shard_of (claims, number);

  return shard && shard->chain->len ? current (shard)->node : 0;
}

uint64_t
claims_epoch (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = shard_of (claims, number);

  return shard ? shard->epoch : 0;
}

void
claims_release (claims_t *claims, usec_t now, uint32_t number)
{
  shard_t *shard = shard_of (claims, number);

  if (shard)
    give_up (claims, now, shard);
}

bool
claims_should_release (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = shard_of (claims, number);

  if (!shard || !shard->own.acting)
    return false;
  if (claims->draining)
    return true;
  return claims->log_fresh && rank (claims, number) != 0
         && candidate (claims, claims->config.incarnation);
}

void
claims_drain (claims_t *claims)
{
  claims->draining = true;
}

usec_t
claims_tick (claims_t *claims, usec_t now)
{
  usec_t next = now + TICK_MAX;

  claims->log_fresh = log_fresh (claims, now);
  end_predecessors (claims, now, claims->config.incarnation, now);
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      refresh (claims, now, shard);
      tick_claim (claims, now, shard);
      tick_renew (claims, now, shard);
      tick_give_up (claims, now, shard);
      next = MIN (next, wake_at (claims, now, shard));
    }
  return next;
}

json_t *
claims_dump (const claims_t *claims, usec_t now)
{
  json_t *shards = json_array ();

  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    json_array_append_new (shards,
                           dump_shard (claims, now, &claims->shards[i]));
  return json_pack ("{s:I, s:b, s:b, s:i, s:o}", "incarnation",
                    (json_int_t)claims->config.incarnation, "draining",
                    claims->draining, "fenced", claims->fenced, "candidates",
                    (int)claims->candidate_count, "shards", shards);
}

/* The order of two MEMBER entries proves nothing: the append of a process that
   has ended may land after the one of its successor. */
static void
apply_member (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_member_t *entry = &m->u.member;
  member_t *member;

  if (member_of (claims, entry->incarnation))
    return;
  member = g_new0 (member_t, 1);
  member->applied_at = now;
  member->absent_since = USEC_NEVER;
  memcpy (member->address, entry->address.data ? entry->address.data : "",
          MIN (entry->address.len, ADDRESS_MAX - 1));
  g_hash_table_insert (
      claims->members,
      g_memdup2 (&entry->incarnation, sizeof entry->incarnation), member);
}

static void
apply_leave (claims_t *claims, usec_t now, const message_t *m)
{
  claims_ended (claims, now, m->u.leave.incarnation);
}

/* The incarnation was alive at ALIVE_AT or later, so whoever was registered
   at its address before that has ended: a process binds its port before it
   appends MEMBER.  At another address nothing is known: the node number of a
   VM that is only frozen may be given to its replacement. */
static void
end_predecessors (claims_t *claims, usec_t now, incarnation_t incarnation,
                  usec_t alive_at)
{
  const member_t *alive = member_of (claims, incarnation);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!alive)
    return;
  g_hash_table_iter_init (&iter, claims->members);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const member_t *member = value;

      if (member != alive && member->applied_at < alive_at
          && strcmp (member->address, alive->address) == 0)
        claims_ended (claims, now, *(const incarnation_t *)key);
    }
}

static member_t *
member_of (const claims_t *claims, incarnation_t incarnation)
{
  return g_hash_table_lookup (claims->members, &incarnation);
}

static void
apply_claim (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_claim_t *entry = &m->u.claim;
  shard_t *shard = shard_of (claims, entry->shard);
  bool ours = entry->incarnation == claims->config.incarnation;

  if (!shard)
    return;
  if (ours && entry->epoch == shard->pending.epoch
      && !claim_valid (claims, entry))
    {
      shard->pending.epoch = 0;
      shard->retry_at = now + claims->config.claim_retry;
    }
  if (claim_valid (claims, entry))
    push_claim (claims, now, shard, entry);
}

static void
apply_release (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_release_t *entry = &m->u.release;
  shard_t *shard = shard_of (claims, entry->shard);

  if (shard && entry->epoch <= shard->epoch)
    forget_released (claims, now, shard, entry->epoch);
}

/* Compares addresses IP:port without the port: the list names another port
   than the one peers use. */
static bool
same_host (const char *a, const char *b)
{
  const char *a_port = strrchr (a, ':');
  const char *b_port = strrchr (b, ':');
  size_t a_len = a_port ? (size_t)(a_port - a) : strlen (a);
  size_t b_len = b_port ? (size_t)(b_port - b) : strlen (b);

  return a_len == b_len && memcmp (a, b, a_len) == 0;
}

static bool
claim_valid (const claims_t *claims, const msg_claim_t *entry)
{
  const shard_t *shard = shard_of (claims, entry->shard);

  return shard
         && (entry->epoch == shard->epoch + 1
             || (MUTATED (NO_EPOCH_CHECK) && entry->epoch >= shard->epoch))
         && entry->witnesses.count <= CLAIMS_MAX_WITNESSES;
}

static void
push_claim (claims_t *claims, usec_t now, shard_t *shard,
            const msg_claim_t *entry)
{
  claim_t claim = { .epoch = entry->epoch,
                    .node = (node_id_t)entry->node,
                    .incarnation = entry->incarnation,
                    .applied_at = now,
                    .count = entry->witnesses.count };
  bool listed = false;
  bool renewal
      = shard->chain->len && current (shard)->incarnation == claim.incarnation;

  for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
    claim.held[i] = USEC_NEVER;
  for (uint32_t i = 0; i < claim.count; i++)
    claim.witnesses[i] = entry->witnesses.items[i];
  shard->epoch = claim.epoch;
  g_array_append_val (shard->chain, claim);
  for (guint c = 0; c < shard->chain->len; c++)
    {
      claim_t *former = chain_at (shard, c);
      int index = witness_index (former, claims->config.incarnation);

      for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
        former->acked[i] = USEC_NEVER;
      if (index >= 0)
        former->acked[index] = now;
      listed = listed || index >= 0;
    }
  if (renewal)
    g_array_remove_range (shard->chain, 0, shard->chain->len - 1);
  if (claim.incarnation == claims->config.incarnation)
    {
      own_claim_applied (claims, now, shard, renewal);
      return;
    }
  other_claim_applied (claims, now, shard);
  if (listed)
    {
      message_t ack
          = { .type = MSG_CLAIM_ACK,
              .u.claim_ack = { number_of (claims, shard), shard->epoch } };

      claims->ops.send (claims->ctx, claim.node, claim.incarnation, &ack);
    }
}

/* Holds granted for the former epoch while the renewal was on its way show
   that the witness knew of no newer claim, so they count for the new one. */
static void
own_claim_applied (claims_t *claims, usec_t now, shard_t *shard, bool renewal)
{
  own_t *own = &shard->own;

  if (!renewal)
    *own = (own_t){ .confirmed = USEC_NEVER, .lapsed_since = USEC_NEVER };
  else if (shard->pending.epoch == shard->epoch)
    memcpy (current (shard)->held, shard->pending.held,
            sizeof shard->pending.held);
  own->epoch = shard->epoch;
  own->release_appended = false;
  shard->pending.epoch = 0;
  shard->claimable_at = USEC_NEVER;
  if (own->given_up)
    announce_release (claims, now, shard);
  refresh (claims, now, shard);
}

static void
other_claim_applied (claims_t *claims, usec_t now, shard_t *shard)
{
  stop_acting (claims, now, shard);
  if (shard->pending.epoch && shard->pending.epoch <= shard->epoch)
    {
      shard->pending.epoch = 0;
      shard->retry_at = now + claims->config.claim_retry;
    }
  shard->claimable_at = USEC_NEVER;
}

static claim_t *
current (const shard_t *shard)
{
  return chain_at (shard, shard->chain->len - 1);
}

static claim_t *
chain_at (const shard_t *shard, guint index)
{
  return &g_array_index (shard->chain, claim_t, index);
}

static uint32_t
number_of (const claims_t *claims, const shard_t *shard)
{
  return (uint32_t)(shard - claims->shards);
}

static shard_t *
shard_of (const claims_t *claims, uint64_t number)
{
  return number < claims->config.shard_count ? &claims->shards[number] : NULL;
}

/* The newest claim is ours and was not released. */
static bool
owns (const claims_t *claims, const shard_t *shard)
{
  return shard->chain->len
         && current (shard)->incarnation == claims->config.incarnation;
}

static int
witness_index (const claim_t *claim, incarnation_t witness)
{
  if (!claim->epoch)
    return -1;
  for (uint32_t i = 0; i < claim->count; i++)
    if (claim->witnesses[i] == witness)
      return (int)i;
  return -1;
}

/* Newest time T such that a majority of the list has a time of at least T;
   USEC_NEVER without one. */
static usec_t
majority_time (const claim_t *claim, const usec_t *times)
{
  uint32_t needed = claim->count / 2 + 1;
  usec_t best = USEC_NEVER;

  for (uint32_t i = 0; i < claim->count; i++)
    {
      uint32_t reached = 0;

      for (uint32_t n = 0; n < claim->count; n++)
        reached += times[n] >= times[i];
      if (reached >= needed)
        best = MAX (best, times[i]);
    }
  return best;
}

/* While a renewal is on its way both witness lists must confirm. */
static usec_t
confirmed_at (const shard_t *shard)
{
  const claim_t *claim = current (shard);
  usec_t held = majority_time (claim, claim->held);

  if (shard->pending.epoch && !MUTATED (ONE_WITNESS_LIST))
    held = MIN (held, majority_time (&shard->pending, shard->pending.held));
  return MAX (shard->own.confirmed, held);
}

/* When the last older claim is resolved, INT64_MAX if not known yet. */
static usec_t
resolved_at (const claims_t *claims, const shard_t *shard)
{
  usec_t applied_at = current (shard)->applied_at;
  usec_t at = applied_at;

  for (guint c = 0; c + 1 < shard->chain->len; c++)
    {
      const claim_t *former = chain_at (shard, c);

      if (MUTATED (NO_CHAIN) && c + 2 < shard->chain->len)
        continue;
      if (former->incarnation != claims->config.incarnation)
        at = MAX (at, claim_resolved_at (claims, former, applied_at));
    }
  return at;
}

/* Rules (d) and (w).  A witness that ended cannot grant a hold after the
   evidence arrived, so it counts as an acknowledgement at that time. */
static usec_t
claim_resolved_at (const claims_t *claims, const claim_t *former,
                   usec_t applied_at)
{
  usec_t drain = scaled (claims->config.drain);
  usec_t lease = scaled (claims->config.lease);
  usec_t best = INT64_MAX;
  /* Negated, so that the majority with the earliest times is found. */
  usec_t blocked[CLAIMS_MAX_WITNESSES] = { 0 };
  usec_t acked;
  usec_t at;

  if (ended_at (claims, former->incarnation, &at))
    best = at + (MUTATED (NO_WAIT_D) ? 0 : drain);
  if (MUTATED (NO_WAIT_W))
    lease = drain = 0;
  for (uint32_t i = 0; i < former->count; i++)
    {
      blocked[i] = USEC_NEVER;
      if (former->acked[i] != USEC_NEVER)
        blocked[i] = -former->acked[i];
      if (ended_at (claims, former->witnesses[i], &at))
        blocked[i] = MAX (blocked[i], -at);
    }
  acked = majority_time (former, blocked);
  if (acked != USEC_NEVER)
    best = MIN (best, MAX (-acked, applied_at) + lease + drain);
  if (!former->count || MUTATED (NO_ACKNOWLEDGEMENT))
    best = MIN (best, applied_at + lease + drain);
  return best;
}

static usec_t
scaled (usec_t span)
{
  return span * RATE_PERCENT / 100;
}

static bool
ended_at (const claims_t *claims, incarnation_t incarnation, usec_t *at)
{
  const usec_t *found = g_hash_table_lookup (claims->ended, &incarnation);

  if (found)
    *at = *found;
  return found != NULL;
}

/* Starts or stops acting as the conditions stand at NOW. */
static void
refresh (claims_t *claims, usec_t now, shard_t *shard)
{
  own_t *own = &shard->own;
  usec_t confirmed;

  if (!owns (claims, shard) || own->given_up || claims->fenced)
    {
      stop_acting (claims, now, shard);
      return;
    }
  if (!own->resolved)
    own->resolved = now >= resolved_at (claims, shard);
  confirmed = confirmed_at (shard);
  if (!own->resolved || confirmed == USEC_NEVER
      || now >= confirmed + claims->config.lease)
    {
      stop_acting (claims, now, shard);
      return;
    }
  if (own->acting)
    return;
  own->acting = true;
  own->lapsed_since = USEC_NEVER;
  claims->ops.gained (claims->ctx, now, number_of (claims, shard), own->epoch);
}

static void
stop_acting (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.acting)
    return;
  shard->own.acting = false;
  shard->own.lapsed_since = now;
  claims->ops.lost (claims->ctx, now, number_of (claims, shard),
                    shard->own.epoch);
}

/* A release of an epoch resolves that epoch and all older ones, since only
   an owner that was active releases. */
static void
forget_released (claims_t *claims, usec_t now, shard_t *shard, uint64_t epoch)
{
  guint count = 0;

  while (count < shard->chain->len && chain_at (shard, count)->epoch <= epoch)
    count++;
  if (count)
    g_array_remove_range (shard->chain, 0, count);
  refresh (claims, now, shard);
}

static void
give_up (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.epoch || !shard->own.resolved || shard->own.given_up)
    return;
  shard->own.given_up = true;
  stop_acting (claims, now, shard);
  announce_release (claims, now, shard);
}

/* Tells peers, and the log once.  With a renewal on its way the log is told
   after its outcome; peers are told of both epochs.  A claim on its way after
   the shard was lost is no renewal and stays claimed. */
static void
announce_release (claims_t *claims, usec_t now, shard_t *shard)
{
  uint32_t number = number_of (claims, shard);
  bool renewing = shard->pending.epoch
                  && (owns (claims, shard) || MUTATED (RELEASE_PENDING));
  uint64_t pairs[]
      = { number, shard->own.epoch, number, shard->pending.epoch };
  message_t entry
      = { .type = MSG_RELEASE, .u.release = { number, shard->own.epoch } };
  message_t told = { .type = MSG_PEER_RELEASE };

  shard->own.repeat_at = now + RELEASE_REPEAT;
  if (!renewing && !shard->own.release_appended)
    {
      shard->own.release_appended = true;
      claims->ops.append (claims->ctx, &entry);
    }
  told.u.peer_release.released = (u64_list_t){ renewing ? 4 : 2, pairs };
  for (size_t i = 0; i < claims->candidate_count; i++)
    {
      const claims_candidate_t *to = &claims->candidates[i];

      if (to->incarnation != claims->config.incarnation)
        claims->ops.send (claims->ctx, to->node, to->incarnation, &told);
    }
}

/* Claims a shard that is free or whose owner ended or is not among the
   candidates.  Each rank of the rendezvous order waits longer, so that a
   preferred node that cannot reach the log does not keep the shard unowned. */
static void
tick_claim (claims_t *claims, usec_t now, shard_t *shard)
{
  const claims_candidate_t *self
      = candidate (claims, claims->config.incarnation);
  usec_t pause = claims->config.claim_retry;

  if (shard->pending.epoch || !vacant (claims, now, shard))
    {
      shard->claimable_at = USEC_NEVER;
      return;
    }
  if (shard->claimable_at == USEC_NEVER)
    shard->claimable_at = now;
  if (!self || !member_of (claims, self->incarnation)
      || !may_take (claims, self) || !log_fresh (claims, now)
      || now < shard->retry_at)
    return;
  if (now >= shard->claimable_at
                 + (usec_t)rank (claims, number_of (claims, shard)) * pause)
    append_claim (claims, now, shard);
}

/* Tells whether a claim of the shard makes sense.  A claim over an owner that
   may be alive stops it, so it is made only if it can be resolved, and two
   processes that do not hear each other leave each other time to act. */
static bool
vacant (const claims_t *claims, usec_t now, const shard_t *shard)
{
  const claim_t *claim;
  usec_t pause = scaled (claims->config.lease + claims->config.drain)
                 + claims->config.lease;
  usec_t at;

  if (!shard->chain->len)
    return true;
  claim = current (shard);
  if (ended_at (claims, claim->incarnation, &at))
    return claim->incarnation != claims->config.incarnation;
  if (candidate (claims, claim->incarnation))
    return false;
  /* A fresh process has not heard of all its peers yet. */
  if (now < claims->first_candidates_at + claims->config.lease)
    return false;
  for (guint c = 0; c < shard->chain->len; c++)
    if (!resolvable (claims, chain_at (shard, c)))
      return false;
  return now >= claim->applied_at
                    + pause * MIN ((usec_t)shard->chain->len - 1, CONTEST_MAX);
}

/* A majority of the witnesses could acknowledge a newer claim or has ended. */
static bool
resolvable (const claims_t *claims, const claim_t *former)
{
  uint32_t count = 0;
  usec_t at;

  if (!former->count || ended_at (claims, former->incarnation, &at)
      || former->incarnation == claims->config.incarnation)
    return true;
  for (uint32_t i = 0; i < former->count; i++)
    {
      const claims_candidate_t *c = candidate (claims, former->witnesses[i]);

      count += (c && !c->keeps_only)
               || ended_at (claims, former->witnesses[i], &at);
    }
  return count * 2 > former->count;
}

/* Renews after witnesses were lost or new ones came up, and after a takeover
   so that the chain of older claims ends. */
static void
tick_renew (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.acting || shard->pending.epoch
      || (shard->chain->len == 1 && !witnesses_poor (claims, shard)))
    {
      shard->renewal_since = USEC_NEVER;
      return;
    }
  if (shard->renewal_since == USEC_NEVER)
    shard->renewal_since = now;
  if (now >= shard->renewal_since + claims->config.lease
      && now >= shard->retry_at && log_fresh (claims, now))
    append_claim (claims, now, shard);
}

/* An owner that cannot confirm its claim while others reach the log gives
   the shard up, for peers that hear it would never claim it. */
static void
tick_give_up (claims_t *claims, usec_t now, shard_t *shard)
{
  own_t *own = &shard->own;
  bool taker = false;

  if (!owns (claims, shard) || !own->resolved || own->acting)
    return;
  if (own->given_up)
    {
      if (now >= own->repeat_at)
        announce_release (claims, now, shard);
      return;
    }
  for (size_t i = 0; i < claims->candidate_count; i++)
    taker = taker
            || (!claims->candidates[i].keeps_only
                && claims->candidates[i].incarnation
                       != claims->config.incarnation);
  if (taker && own->lapsed_since != USEC_NEVER
      && now >= own->lapsed_since + claims->config.lease
                    + claims->config.drain)
    give_up (claims, now, shard);
}

static void
append_claim (claims_t *claims, usec_t now, shard_t *shard)
{
  uint32_t number = number_of (claims, shard);
  claim_t *pending = &shard->pending;
  message_t entry = { .type = MSG_CLAIM };
  msg_claim_t *claim = &entry.u.claim;

  *pending = (claim_t){ .epoch = shard->epoch + 1,
                        .node = claims->config.node,
                        .incarnation = claims->config.incarnation };
  pending->count = choose_witnesses (claims, pending->witnesses);
  for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
    pending->held[i] = USEC_NEVER;
  claim->shard = number;
  claim->epoch = pending->epoch;
  claim->node = pending->node;
  claim->incarnation = pending->incarnation;
  claim->witnesses = (u64_list_t){ pending->count, pending->witnesses };
  shard->retry_at = now + claims->config.claim_retry;
  claims->ops.append (claims->ctx, &entry);
}

/* Candidates that reach the log come first: only they can acknowledge a
   successor. */
static uint32_t
choose_witnesses (const claims_t *claims, incarnation_t *out)
{
  uint32_t count = 0;
  usec_t at;

  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < claims->candidate_count; i++)
      {
        const claims_candidate_t *c = &claims->candidates[i];

        if (count == CLAIMS_MAX_WITNESSES || c->keeps_only != (pass == 1)
            || c->incarnation == claims->config.incarnation
            || !member_of (claims, c->incarnation)
            || ended_at (claims, c->incarnation, &at))
          continue;
        out[count++] = c->incarnation;
      }
  return count;
}

/* Whether another list would hold more live witnesses. */
static bool
witnesses_poor (const claims_t *claims, const shard_t *shard)
{
  const claim_t *claim = current (shard);
  incarnation_t better[CLAIMS_MAX_WITNESSES];
  uint32_t live = 0;

  for (uint32_t i = 0; i < claim->count; i++)
    live += candidate (claims, claim->witnesses[i]) != NULL;
  return choose_witnesses (claims, better) > live || live * 2 <= claim->count;
}

static const claims_candidate_t *
candidate (const claims_t *claims, incarnation_t incarnation)
{
  for (size_t i = 0; i < claims->candidate_count; i++)
    if (claims->candidates[i].incarnation == incarnation)
      return &claims->candidates[i];
  return NULL;
}

static bool
may_take (const claims_t *claims, const claims_candidate_t *c)
{
  bool self = c->incarnation == claims->config.incarnation;

  return !c->keeps_only && !(self && (claims->draining || claims->fenced));
}

/* Rendezvous weight; nodes of the preferred zone come before all others. */
static uint64_t
weight (const claims_t *claims, uint32_t shard, const claims_candidate_t *c)
{
  uint64_t hash = XXH64 (&c->node, sizeof c->node, shard) >> 1;
  bool preferred = c->zone == claims->ops.zone_of (claims->ctx, shard);

  return hash | (preferred ? 1ULL << 63 : 0);
}

/* How many nodes that may take shards come before this one. */
static size_t
rank (const claims_t *claims, uint32_t shard)
{
  const claims_candidate_t self = { .node = claims->config.node,
                                    .incarnation = claims->config.incarnation,
                                    .zone = claims->config.zone };
  uint64_t ours = weight (claims, shard, &self);
  size_t before = 0;

  for (size_t i = 0; i < claims->candidate_count; i++)
    {
      const claims_candidate_t *c = &claims->candidates[i];

      before += c->incarnation != self.incarnation && may_take (claims, c)
                && weight (claims, shard, c) > ours;
    }
  return before;
}

/* A claim is made only on a view of the log no older than a lease. */
static bool
log_fresh (const claims_t *claims, usec_t now)
{
  return claims->log_confirmed != USEC_NEVER
         && now - claims->log_confirmed < claims->config.lease;
}

static void
list_add (GArray *list, uint64_t shard, uint64_t epoch)
{
  uint64_t pair[] = { shard, epoch };

  g_array_append_vals (list, pair, 2);
}

static u64_list_t
list_take (GArray *list)
{
  u64_list_t taken = { .count = list->len };

  taken.items = (uint64_t *)(void *)g_array_free (list, FALSE);
  return taken;
}

static usec_t
wake_at (const claims_t *claims, usec_t now, const shard_t *shard)
{
  usec_t times[] = { INT64_MAX, INT64_MAX, INT64_MAX };
  usec_t next = INT64_MAX;

  if (owns (claims, shard) && !shard->own.resolved)
    times[0] = resolved_at (claims, shard);
  if (shard->own.acting)
    times[1] = confirmed_at (shard) + claims->config.lease;
  if (shard->claimable_at != USEC_NEVER)
    times[2] = now + claims->config.claim_retry;
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    if (times[i] > now)
      next = MIN (next, times[i]);
  return next;
}

static json_t *
dump_shard (const claims_t *claims, usec_t now, const shard_t *shard)
{
  json_t *chain = json_array ();

  for (guint c = 0; c < shard->chain->len; c++)
    {
      const claim_t *claim = chain_at (shard, c);
      json_t *witnesses = json_array ();

      for (uint32_t i = 0; i < claim->count; i++)
        json_array_append_new (witnesses,
                               json_integer ((json_int_t)claim->witnesses[i]));
      json_array_append_new (
          chain,
          json_pack ("{s:I, s:i, s:I, s:o}", "epoch", (json_int_t)claim->epoch,
                     "node", (int)claim->node, "incarnation",
                     (json_int_t)claim->incarnation, "witnesses", witnesses));
    }
  return json_pack (
      "{s:i, s:I, s:b, s:b, s:I, s:I, s:o}", "shard",
      (int)number_of (claims, shard), "epoch", (json_int_t)shard->epoch,
      "acting", shard->own.acting, "given_up", shard->own.given_up,
      "pending_epoch", (json_int_t)shard->pending.epoch, "lease_left_us",
      (json_int_t)(shard->own.acting
                       ? confirmed_at (shard) + claims->config.lease - now
                       : 0),
      "chain", chain);
}

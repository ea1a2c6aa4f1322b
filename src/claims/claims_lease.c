/** @file
 * Claims: confirmations, holds, acknowledgements and evidence, which decide
 * whether this process may act on a shard.
 */
#include "claims/claims_private.h"

/* Assumption A2: the rates of two clocks differ by less than 1%. */
#define CLOCK_FACTOR_PERCENT 101
/* Set in the shard number of a hold request to ask instead whether the witness
   has applied exactly this claim, in case its CLAIM_ACK was lost. */
#define APPLIED_QUERY_BIT (1ULL << 32)
/* Holds are requested once the log has not confirmed the claims for
   lease / HOLDS_LEASE_DIVISOR. */
#define HOLDS_LEASE_DIVISOR 2

static bool holds_due (const claims_t *claims, usec_t sent_at);
static usec_t majority_time (const claim_t *claim, const usec_t *times);
static usec_t claim_resolved_at (const claims_t *claims, const claim_t *former,
                                 usec_t applied_at);
static void pair_list_append (GArray *list, uint64_t shard, uint64_t epoch);
static u64_list_t pair_list_finish (GArray *list);

void
claims_log_confirmed (claims_t *claims, usec_t now, usec_t sent_at)
{
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  claims_restore_remaining (claims, now);
  claims->log_confirmed_at = MAX (claims->log_confirmed_at, sent_at);
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      if (shard_is_ours (claims, shard))
        shard->own.confirmed_at = MAX (shard->own.confirmed_at, sent_at);
      shard_update_acting (claims, now, shard);
    }
}

void
claims_relay_confirmed (claims_t *claims, usec_t now, usec_t sent_at,
                        const u64_list_t *superseded)
{
  /* A request sent while no holds were due listed no shards, or only those
     whose acknowledgement was queried. */
  if (!holds_due (claims, sent_at))
    return;
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
      if (newer || !shard_is_ours (claims, shard))
        continue;
      /* A request sent before the claim was applied did not list it, and a
         newer claim may have been appended since. */
      if (sent_at <= shard_current (shard)->applied_at
          && !MUTATED (RELAY_UNASKED))
        continue;
      shard->own.confirmed_at = MAX (shard->own.confirmed_at, sent_at);
      shard_update_acting (claims, now, shard);
    }
}

/* To save traffic, no holds are requested while the log confirms the claims.
   They are requested early enough for several tries before a lease lapses.  A
   log relay answers for the shards in the same list, so its answer counts only
   if all shards were listed. */
static bool
holds_due (const claims_t *claims, usec_t sent_at)
{
  return claims->log_confirmed_at == USEC_NEVER
         || sent_at - claims->log_confirmed_at
                >= claims->config.lease / HOLDS_LEASE_DIVISOR;
}

u64_list_t
claims_holds_wanted (const claims_t *claims, usec_t now, incarnation_t witness)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      const shard_t *shard = &claims->shards[i];
      bool query_applied = false;

      if (!shard_is_ours (claims, shard))
        continue;
      if (holds_due (claims, now))
        pair_list_append (list, i, shard->own.epoch);
      for (guint n = 0; !shard->own.resolved && n < shard->chain->len; n++)
        {
          const claim_t *former = shard_claim (shard, n);
          int index = claim_witness_index (former, witness);

          query_applied
              = query_applied
                || (index >= 0 && former->acked_at[index] == USEC_NEVER);
        }
      if (query_applied)
        pair_list_append (list, i | APPLIED_QUERY_BIT, shard->own.epoch);
    }
  return pair_list_finish (list);
}

void
claims_holds_granted (claims_t *claims, usec_t now, usec_t sent_at,
                      incarnation_t witness, const u64_list_t *granted)
{
  claims_end_predecessors (claims, now, witness, sent_at);
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  for (uint32_t n = 0; n + 1 < granted->count; n += 2)
    {
      uint64_t number = granted->items[n];
      uint64_t epoch = granted->items[n + 1];
      shard_t *shard = claims_shard (claims, number & ~APPLIED_QUERY_BIT);
      claim_t *own_claims[2];

      if (!shard || !shard_is_ours (claims, shard)
          || shard->own.epoch != epoch)
        continue;
      if (number & APPLIED_QUERY_BIT)
        {
          claims_acknowledged (claims, now, witness,
                               (uint32_t)(number & ~APPLIED_QUERY_BIT), epoch);
          continue;
        }
      own_claims[0] = shard_current (shard);
      own_claims[1] = &shard->pending;
      for (size_t l = 0; l < G_N_ELEMENTS (own_claims); l++)
        {
          int index = claim_witness_index (own_claims[l], witness);

          if (index >= 0)
            own_claims[l]->hold_sent_at[index]
                = MAX (own_claims[l]->hold_sent_at[index], sent_at);
        }
      shard_update_acting (claims, now, shard);
    }
}

u64_list_t
claims_grant_holds (const claims_t *claims, const u64_list_t *asked)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t n = 0; n + 1 < asked->count; n += 2)
    {
      uint64_t number = asked->items[n];
      uint64_t epoch = asked->items[n + 1];
      const shard_t *shard
          = claims_shard (claims, number & ~APPLIED_QUERY_BIT);

      if (!shard || (shard->epoch > epoch && !MUTATED (NO_REFUSAL)))
        continue;
      /* A LEAVE entry is evidence that a witness ended, and a draining process
         may append LEAVE at any time. */
      if (!(number & APPLIED_QUERY_BIT) && claims->draining
          && !MUTATED (GRANT_AFTER_DRAIN))
        continue;
      if ((number & APPLIED_QUERY_BIT) && shard->epoch != epoch)
        continue;
      pair_list_append (list, number, epoch);
    }
  return pair_list_finish (list);
}

u64_list_t
claims_find_superseded (const claims_t *claims, const u64_list_t *asked)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t n = 0; n + 1 < asked->count; n += 2)
    {
      const shard_t *shard = claims_shard (claims, asked->items[n]);

      if (shard && shard->epoch > asked->items[n + 1])
        pair_list_append (list, asked->items[n], shard->epoch);
    }
  return pair_list_finish (list);
}

void
claims_acknowledged (claims_t *claims, usec_t now, incarnation_t witness,
                     uint32_t number, uint64_t epoch)
{
  shard_t *shard = claims_shard (claims, number);

  if (!shard || !shard_is_ours (claims, shard) || shard->own.epoch != epoch)
    return;
  for (guint n = 0; n < shard->chain->len; n++)
    {
      claim_t *former = shard_claim (shard, n);
      int index = claim_witness_index (former, witness);

      if (index >= 0 && former->acked_at[index] == USEC_NEVER)
        former->acked_at[index] = now;
    }
  shard_update_acting (claims, now, shard);
}

bool
claims_may_act (claims_t *claims, usec_t now, uint32_t number, uint64_t *epoch)
{
  const shard_t *shard = claims_shard (claims, number);
  usec_t confirmed;

  if (!shard || !shard->own.acting)
    return false;
  confirmed = shard_confirmed_at (shard);
  if (confirmed == USEC_NEVER || now >= confirmed + claims->config.lease)
    return false;
  *epoch = shard->own.epoch;
  return true;
}

void
claims_incarnation_ended (claims_t *claims, usec_t now,
                          incarnation_t incarnation)
{
  usec_t at;

  if (!incarnation || claims_get_end_time (claims, incarnation, &at))
    return;
  g_hash_table_insert (claims->ended,
                       g_memdup2 (&incarnation, sizeof incarnation),
                       g_memdup2 (&now, sizeof now));
  claims->fenced = claims->fenced || incarnation == claims->config.incarnation;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    shard_update_acting (claims, now, &claims->shards[i]);
}

void
claims_vm_list_received (claims_t *claims, usec_t now,
                         const char *const *addresses, size_t count)
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
      bool named = claims_candidate (claims, incarnation) != NULL;

      for (size_t i = 0; i < count && !named; i++)
        named = address_same_host (member->address, addresses[i]);
      if (named)
        member->absent_since = USEC_NEVER;
      else if (member->absent_since == USEC_NEVER)
        member->absent_since = now;
      else if (now - member->absent_since > claims->config.list_lag)
        claims_incarnation_ended (claims, now, incarnation);
    }
}

void
claims_peer_released (claims_t *claims, usec_t now, incarnation_t from,
                      const u64_list_t *released)
{
  for (uint32_t n = 0; n + 1 < released->count; n += 2)
    {
      shard_t *shard = claims_shard (claims, released->items[n]);
      uint64_t epoch = released->items[n + 1];

      if (!shard || from == claims->config.incarnation)
        continue;
      for (guint c = 0; c < shard->chain->len; c++)
        if (shard_claim (shard, c)->epoch == epoch
            && shard_claim (shard, c)->incarnation == from)
          {
            shard_drop_released_claims (claims, now, shard, epoch);
            break;
          }
    }
}

/* Newest time T such that a majority of the witnesses has a time of at least
   T; USEC_NEVER if there is none. */
static usec_t
majority_time (const claim_t *claim, const usec_t *times)
{
  uint32_t needed = claim->witness_count / 2 + 1;
  usec_t best = USEC_NEVER;

  for (uint32_t i = 0; i < claim->witness_count; i++)
    {
      uint32_t reached = 0;

      for (uint32_t n = 0; n < claim->witness_count; n++)
        reached += times[n] >= times[i];
      if (reached >= needed)
        best = MAX (best, times[i]);
    }
  return best;
}

/* While a renewal is pending, a confirmation by holds needs a majority of the
   current witnesses and a majority of the new ones. */
usec_t
shard_confirmed_at (const shard_t *shard)
{
  const claim_t *claim = shard_current (shard);
  usec_t held = majority_time (claim, claim->hold_sent_at);

  if (shard->pending.epoch && !MUTATED (ONE_WITNESS_LIST))
    held = MIN (held,
                majority_time (&shard->pending, shard->pending.hold_sent_at));
  return MAX (shard->own.confirmed_at, held);
}

/* Time at which all older claims are resolved; INT64_MAX if not known yet. */
usec_t
shard_resolved_at (const claims_t *claims, const shard_t *shard)
{
  usec_t applied_at = shard_current (shard)->applied_at;
  usec_t at = applied_at;

  for (guint c = 0; c + 1 < shard->chain->len; c++)
    {
      const claim_t *former = shard_claim (shard, c);

      if (MUTATED (NO_CHAIN) && c + 2 < shard->chain->len)
        continue;
      if (former->incarnation != claims->config.incarnation)
        at = MAX (at, claim_resolved_at (claims, former, applied_at));
    }
  return at;
}

/* Rules (d) and (w) of claims.h.  A witness that ended grants no more holds,
   so the evidence of its end counts as an acknowledgement. */
static usec_t
claim_resolved_at (const claims_t *claims, const claim_t *former,
                   usec_t applied_at)
{
  usec_t drain = add_clock_margin (claims->config.drain_time);
  usec_t lease = add_clock_margin (claims->config.lease);
  usec_t resolved_at = INT64_MAX;
  /* Negated times, so that majority_time finds the earliest majority. */
  usec_t negated_acks[CLAIMS_MAX_WITNESSES] = { 0 };
  usec_t acked;
  usec_t at;

  if (claims_get_end_time (claims, former->incarnation, &at))
    resolved_at = at + (MUTATED (NO_WAIT_D) ? 0 : drain);
  if (MUTATED (NO_WAIT_W))
    lease = drain = 0;
  for (uint32_t i = 0; i < former->witness_count; i++)
    {
      negated_acks[i] = USEC_NEVER;
      if (former->acked_at[i] != USEC_NEVER)
        negated_acks[i] = -former->acked_at[i];
      if (claims_get_end_time (claims, former->witnesses[i], &at))
        negated_acks[i] = MAX (negated_acks[i], -at);
    }
  acked = majority_time (former, negated_acks);
  if (acked != USEC_NEVER)
    resolved_at = MIN (resolved_at, MAX (-acked, applied_at) + lease + drain);
  if (!former->witness_count || MUTATED (NO_ACKNOWLEDGEMENT))
    resolved_at = MIN (resolved_at, applied_at + lease + drain);
  return resolved_at;
}

usec_t
add_clock_margin (usec_t span)
{
  return span * CLOCK_FACTOR_PERCENT / 100;
}

bool
claims_get_end_time (const claims_t *claims, incarnation_t incarnation,
                     usec_t *at)
{
  const usec_t *found = g_hash_table_lookup (claims->ended, &incarnation);

  if (found)
    *at = *found;
  return found != NULL;
}

/* Starts or stops acting according to the conditions at NOW. */
void
shard_update_acting (claims_t *claims, usec_t now, shard_t *shard)
{
  own_claim_t *own = &shard->own;
  usec_t confirmed;

  if (!shard_is_ours (claims, shard) || own->given_up || claims->fenced)
    {
      shard_stop_acting (claims, now, shard);
      return;
    }
  if (!own->resolved)
    own->resolved = now >= shard_resolved_at (claims, shard);
  confirmed = shard_confirmed_at (shard);
  if (!own->resolved || confirmed == USEC_NEVER
      || now >= confirmed + claims->config.lease)
    {
      shard_stop_acting (claims, now, shard);
      return;
    }
  if (own->acting)
    return;
  own->acting = true;
  own->lapsed_since = USEC_NEVER;
  claims->ops.gained (claims->ctx, now, shard_number (claims, shard),
                      own->epoch);
}

void
shard_stop_acting (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.acting)
    return;
  shard->own.acting = false;
  shard->own.lapsed_since = now;
  claims->ops.lost (claims->ctx, now, shard_number (claims, shard),
                    shard->own.epoch);
}

static void
pair_list_append (GArray *list, uint64_t shard, uint64_t epoch)
{
  uint64_t pair[] = { shard, epoch };

  g_array_append_vals (list, pair, 2);
}

static u64_list_t
pair_list_finish (GArray *list)
{
  u64_list_t taken = { .count = list->len };

  taken.items = (uint64_t *)(void *)g_array_free (list, FALSE);
  return taken;
}

int
claim_witness_index (const claim_t *claim, incarnation_t witness)
{
  if (!claim->epoch)
    return -1;
  for (uint32_t i = 0; i < claim->witness_count; i++)
    if (claim->witnesses[i] == witness)
      return (int)i;
  return -1;
}

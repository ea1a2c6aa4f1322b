/** @file
 * Claims: confirmations, holds, acknowledgements and evidence; who may act.
 */
#include "claims/claims_private.h"

/* Assumption A2: two clocks differ in rate by less than 1%. */
#define RATE_PERCENT 101
/* Bit of the shard number in holds asked and granted: asks not for a hold
   but whether the witness has applied exactly this claim, in case the
   CLAIM_ACK was lost. */
#define ASK_APPLIED (1ULL << 32)
/* Holds are asked for once the log has not confirmed the claims for this
   part of a lease. */
#define HOLDS_AFTER_PART 2

static bool holds_due (const claims_t *claims, usec_t sent_at);
static usec_t majority_time (const claim_t *claim, const usec_t *times);
static usec_t claim_resolved_at (const claims_t *claims, const claim_t *former,
                                 usec_t applied_at);
static void list_add (GArray *list, uint64_t shard, uint64_t epoch);
static u64_list_t list_take (GArray *list);

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

      if (shard_is_ours (claims, shard))
        shard->own.confirmed = MAX (shard->own.confirmed, sent_at);
      shard_refresh (claims, now, shard);
    }
}

void
claims_relay_confirmed (claims_t *claims, usec_t now, usec_t sent_at,
                        const u64_list_t *superseded)
{
  /* A question sent while no holds were due named no shard, or only those
     whose acknowledgement was asked for. */
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
      /* A question sent before the claim was applied did not name it, and a
         newer claim may have followed it in the log by then. */
      if (sent_at <= shard_current (shard)->applied_at
          && !MUTATED (RELAY_UNASKED))
        continue;
      shard->own.confirmed = MAX (shard->own.confirmed, sent_at);
      shard_refresh (claims, now, shard);
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

      if (!shard_is_ours (claims, shard))
        continue;
      if (holds_due (claims, now))
        list_add (list, i, shard->own.epoch);
      for (guint n = 0; !shard->own.resolved && n < shard->chain->len; n++)
        {
          const claim_t *former = shard_claim (shard, n);
          int index = claim_witness (former, witness);

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
  claims_end_predecessors (claims, now, witness, sent_at);
  if (MUTATED (CONFIRM_AT_RECEIPT))
    sent_at = now;
  for (uint32_t n = 0; n + 1 < granted->count; n += 2)
    {
      uint64_t number = granted->items[n];
      uint64_t epoch = granted->items[n + 1];
      shard_t *shard = claims_shard (claims, number & ~ASK_APPLIED);
      claim_t *lists[2];

      if (!shard || !shard_is_ours (claims, shard)
          || shard->own.epoch != epoch)
        continue;
      if (number & ASK_APPLIED)
        {
          claims_acknowledged (claims, now, witness,
                               (uint32_t)(number & ~ASK_APPLIED), epoch);
          continue;
        }
      lists[0] = shard_current (shard);
      lists[1] = &shard->pending;
      for (size_t l = 0; l < G_N_ELEMENTS (lists); l++)
        {
          int index = claim_witness (lists[l], witness);

          if (index >= 0)
            lists[l]->held[index] = MAX (lists[l]->held[index], sent_at);
        }
      shard_refresh (claims, now, shard);
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
      const shard_t *shard = claims_shard (claims, number & ~ASK_APPLIED);

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
claims_find_superseded (const claims_t *claims, const u64_list_t *asked)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t n = 0; n + 1 < asked->count; n += 2)
    {
      const shard_t *shard = claims_shard (claims, asked->items[n]);

      if (shard && shard->epoch > asked->items[n + 1])
        list_add (list, asked->items[n], shard->epoch);
    }
  return list_take (list);
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
      int index = claim_witness (former, witness);

      if (index >= 0 && former->acked[index] == USEC_NEVER)
        former->acked[index] = now;
    }
  shard_refresh (claims, now, shard);
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

  if (!incarnation || claims_ended_at (claims, incarnation, &at))
    return;
  g_hash_table_insert (claims->ended,
                       g_memdup2 (&incarnation, sizeof incarnation),
                       g_memdup2 (&now, sizeof now));
  claims->fenced = claims->fenced || incarnation == claims->config.incarnation;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    shard_refresh (claims, now, &claims->shards[i]);
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
            shard_forget_released (claims, now, shard, epoch);
            break;
          }
    }
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
usec_t
shard_confirmed_at (const shard_t *shard)
{
  const claim_t *claim = shard_current (shard);
  usec_t held = majority_time (claim, claim->held);

  if (shard->pending.epoch && !MUTATED (ONE_WITNESS_LIST))
    held = MIN (held, majority_time (&shard->pending, shard->pending.held));
  return MAX (shard->own.confirmed, held);
}

/* When the last older claim is resolved, INT64_MAX if not known yet. */
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

/* Rules (d) and (w).  A witness that ended cannot grant a hold after the
   evidence arrived, so it counts as an acknowledgement at that time. */
static usec_t
claim_resolved_at (const claims_t *claims, const claim_t *former,
                   usec_t applied_at)
{
  usec_t drain = clock_scaled (claims->config.drain_time);
  usec_t lease = clock_scaled (claims->config.lease);
  usec_t best = INT64_MAX;
  /* Negated, so that the majority with the earliest times is found. */
  usec_t blocked[CLAIMS_MAX_WITNESSES] = { 0 };
  usec_t acked;
  usec_t at;

  if (claims_ended_at (claims, former->incarnation, &at))
    best = at + (MUTATED (NO_WAIT_D) ? 0 : drain);
  if (MUTATED (NO_WAIT_W))
    lease = drain = 0;
  for (uint32_t i = 0; i < former->count; i++)
    {
      blocked[i] = USEC_NEVER;
      if (former->acked[i] != USEC_NEVER)
        blocked[i] = -former->acked[i];
      if (claims_ended_at (claims, former->witnesses[i], &at))
        blocked[i] = MAX (blocked[i], -at);
    }
  acked = majority_time (former, blocked);
  if (acked != USEC_NEVER)
    best = MIN (best, MAX (-acked, applied_at) + lease + drain);
  if (!former->count || MUTATED (NO_ACKNOWLEDGEMENT))
    best = MIN (best, applied_at + lease + drain);
  return best;
}

usec_t
clock_scaled (usec_t span)
{
  return span * RATE_PERCENT / 100;
}

bool
claims_ended_at (const claims_t *claims, incarnation_t incarnation, usec_t *at)
{
  const usec_t *found = g_hash_table_lookup (claims->ended, &incarnation);

  if (found)
    *at = *found;
  return found != NULL;
}

/* Starts or stops acting as the conditions stand at NOW. */
void
shard_refresh (claims_t *claims, usec_t now, shard_t *shard)
{
  own_t *own = &shard->own;
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

int
claim_witness (const claim_t *claim, incarnation_t witness)
{
  if (!claim->epoch)
    return -1;
  for (uint32_t i = 0; i < claim->count; i++)
    if (claim->witnesses[i] == witness)
      return (int)i;
  return -1;
}

/** @file
 * Claims: appends claims, renewals and releases.
 */
#include "claims/claims_private.h"

#include <xxhash.h>

/* Maximum time between two calls of claims_tick. */
#define TICK_INTERVAL_MAX (250 * USEC_PER_MSEC)
/* Maximum pause before a contested claim, in units of the pause computed in
   shard_claimable. */
#define CONTEST_PAUSES_MAX 2
/* Interval of PEER_RELEASE until the log shows the release. */
#define RELEASE_REPEAT_INTERVAL (1 * USEC_PER_SEC)

static void release_shard (claims_t *claims, usec_t now, shard_t *shard);
static void tick_claim (claims_t *claims, usec_t now, shard_t *shard);
static bool shard_claimable (const claims_t *claims, usec_t now,
                             const shard_t *shard);
static bool claim_resolvable (const claims_t *claims, const claim_t *former);
static void tick_renew (claims_t *claims, usec_t now, shard_t *shard);
static void tick_release (claims_t *claims, usec_t now, shard_t *shard);
static void append_claim (claims_t *claims, usec_t now, shard_t *shard);
static uint32_t choose_witnesses (const claims_t *claims, incarnation_t *out);
static bool witnesses_outdated (const claims_t *claims, const shard_t *shard);
static bool accepts_shards (const claims_t *claims,
                            const claims_candidate_t *c);
static uint64_t rendezvous_weight (const claims_t *claims, uint32_t shard,
                                   const claims_candidate_t *c);
static size_t rendezvous_rank (const claims_t *claims, uint32_t shard);
static bool log_fresh (const claims_t *claims, usec_t now);
static usec_t next_event_at (const claims_t *claims, usec_t now,
                             const shard_t *shard);

void
claims_set_candidates (claims_t *claims, usec_t now,
                       const claims_candidate_t *candidates, size_t count)
{
  if (claims->first_candidates_at == USEC_NEVER)
    claims->first_candidates_at = now;
  g_free (claims->candidates);
  claims->candidates = g_memdup2 (candidates, count * sizeof *candidates);
  claims->candidate_count = count;
}

void
claims_release (claims_t *claims, usec_t now, uint32_t number)
{
  shard_t *shard = claims_shard (claims, number);

  if (shard)
    release_shard (claims, now, shard);
}

bool
claims_should_release (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = claims_shard (claims, number);

  if (!shard || !shard->own.acting)
    return false;
  if (claims->draining)
    return true;
  return claims->log_fresh && rendezvous_rank (claims, number) != 0
         && claims_candidate (claims, claims->config.incarnation);
}

void
claims_drain (claims_t *claims)
{
  claims->draining = true;
}

usec_t
claims_tick (claims_t *claims, usec_t now)
{
  usec_t next = now + TICK_INTERVAL_MAX;

  claims->log_fresh = log_fresh (claims, now);
  claims_end_predecessors (claims, now, claims->config.incarnation, now);
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      shard_update_acting (claims, now, shard);
      tick_claim (claims, now, shard);
      tick_renew (claims, now, shard);
      tick_release (claims, now, shard);
      next = MIN (next, next_event_at (claims, now, shard));
    }
  return next;
}

static void
release_shard (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.epoch || !shard->own.resolved || shard->own.given_up)
    return;
  shard->own.given_up = true;
  shard_stop_acting (claims, now, shard);
  shard_announce_release (claims, now, shard);
}

/* Sends PEER_RELEASE to all peers and appends RELEASE once.  While a renewal
   is pending, RELEASE waits for its outcome, and peers receive both epochs.  A
   claim that is pending after the shard was lost is no renewal and is not
   released. */
void
shard_announce_release (claims_t *claims, usec_t now, shard_t *shard)
{
  uint32_t number = shard_number (claims, shard);
  bool renewing
      = shard->pending.epoch
        && (shard_is_ours (claims, shard) || MUTATED (RELEASE_PENDING));
  uint64_t pairs[]
      = { number, shard->own.epoch, number, shard->pending.epoch };
  message_t entry
      = { .type = MSG_RELEASE, .u.release = { number, shard->own.epoch } };
  message_t notice = { .type = MSG_PEER_RELEASE };

  shard->own.release_repeat_at = now + RELEASE_REPEAT_INTERVAL;
  if (!renewing && !shard->own.release_appended)
    {
      shard->own.release_appended = true;
      claims->ops.append (claims->ctx, &entry);
    }
  notice.u.peer_release.released = (u64_list_t){ renewing ? 4 : 2, pairs };
  for (size_t i = 0; i < claims->candidate_count; i++)
    {
      const claims_candidate_t *to = &claims->candidates[i];

      if (to->incarnation != claims->config.incarnation)
        claims->ops.send (claims->ctx, to->node, to->incarnation, &notice);
    }
}

/* Claims a shard that is unowned or whose owner ended or is not a candidate.
   Nodes wait in proportion to their rendezvous rank, so that another node
   claims the shard if the preferred one cannot reach the log. */
static void
tick_claim (claims_t *claims, usec_t now, shard_t *shard)
{
  const claims_candidate_t *self
      = claims_candidate (claims, claims->config.incarnation);
  usec_t pause = claims->config.claim_retry_delay;

  if (shard->pending.epoch || !shard_claimable (claims, now, shard))
    {
      shard->claimable_since = USEC_NEVER;
      return;
    }
  if (shard->claimable_since == USEC_NEVER)
    shard->claimable_since = now;
  if (!self || !claims_member (claims, self->incarnation)
      || !accepts_shards (claims, self) || !log_fresh (claims, now)
      || now < shard->retry_at)
    return;
  if (now
      >= shard->claimable_since
             + (usec_t)rendezvous_rank (claims, shard_number (claims, shard))
                   * pause)
    append_claim (claims, now, shard);
}

/* Tells whether the shard may be claimed.  A claim stops an owner that may be
   alive, so it is allowed only if all older claims can be resolved.  The pause
   grows with the chain, so that two processes that cannot reach each other and
   claim the shard in turn have time to act. */
static bool
shard_claimable (const claims_t *claims, usec_t now, const shard_t *shard)
{
  const claim_t *claim;
  usec_t pause
      = add_clock_margin (claims->config.lease + claims->config.drain_time)
        + claims->config.lease;
  usec_t at;

  if (!shard->chain->len)
    return true;
  claim = shard_current (shard);
  if (claims_get_end_time (claims, claim->incarnation, &at))
    return claim->incarnation != claims->config.incarnation;
  if (claims_candidate (claims, claim->incarnation))
    return false;
  /* A process that has just started may not know all live peers yet. */
  if (now < claims->first_candidates_at + claims->config.lease)
    return false;
  for (guint c = 0; c < shard->chain->len; c++)
    if (!claim_resolvable (claims, shard_claim (shard, c)))
      return false;
  return now >= claim->applied_at
                    + pause
                          * MIN ((usec_t)shard->chain->len - 1,
                                 CONTEST_PAUSES_MAX);
}

/* Tells whether a majority of the witnesses can acknowledge a newer claim or
   has ended. */
static bool
claim_resolvable (const claims_t *claims, const claim_t *former)
{
  uint32_t available = 0;
  usec_t at;

  if (!former->witness_count
      || claims_get_end_time (claims, former->incarnation, &at)
      || former->incarnation == claims->config.incarnation)
    return true;
  for (uint32_t i = 0; i < former->witness_count; i++)
    {
      const claims_candidate_t *c
          = claims_candidate (claims, former->witnesses[i]);

      available += (c && !c->no_new_shards)
                   || claims_get_end_time (claims, former->witnesses[i], &at);
    }
  return available * 2 > former->witness_count;
}

/* Renews a claim after witnesses were lost or new ones started, and after a
   takeover to drop the older claims from the chain. */
static void
tick_renew (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.acting || shard->pending.epoch
      || (shard->chain->len == 1 && !witnesses_outdated (claims, shard)))
    {
      shard->renewal_needed_since = USEC_NEVER;
      return;
    }
  if (shard->renewal_needed_since == USEC_NEVER)
    shard->renewal_needed_since = now;
  if (now >= shard->renewal_needed_since + claims->config.lease
      && now >= shard->retry_at && log_fresh (claims, now))
    append_claim (claims, now, shard);
}

/* Repeats release notices.  Releases a shard whose claim cannot be confirmed
   while other nodes reach the log: peers that still receive this node's
   heartbeats would never claim the shard. */
static void
tick_release (claims_t *claims, usec_t now, shard_t *shard)
{
  own_claim_t *own = &shard->own;
  bool other_reaches_log = false;

  if (!shard_is_ours (claims, shard) || !own->resolved || own->acting)
    return;
  if (own->given_up)
    {
      if (now >= own->release_repeat_at)
        shard_announce_release (claims, now, shard);
      return;
    }
  for (size_t i = 0; i < claims->candidate_count; i++)
    other_reaches_log = other_reaches_log
                        || (!claims->candidates[i].no_new_shards
                            && claims->candidates[i].incarnation
                                   != claims->config.incarnation);
  if (other_reaches_log && own->lapsed_since != USEC_NEVER
      && now >= own->lapsed_since + claims->config.lease
                    + claims->config.drain_time)
    release_shard (claims, now, shard);
}

static void
append_claim (claims_t *claims, usec_t now, shard_t *shard)
{
  uint32_t number = shard_number (claims, shard);
  claim_t *pending = &shard->pending;
  message_t entry = { .type = MSG_CLAIM };
  msg_claim_t *claim = &entry.u.claim;

  *pending = (claim_t){ .epoch = shard->epoch + 1,
                        .node = claims->config.node,
                        .incarnation = claims->config.incarnation };
  pending->witness_count = choose_witnesses (claims, pending->witnesses);
  for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
    pending->hold_sent_at[i] = USEC_NEVER;
  claim->shard = number;
  claim->epoch = pending->epoch;
  claim->node = pending->node;
  claim->incarnation = pending->incarnation;
  claim->witnesses
      = (u64_list_t){ pending->witness_count, pending->witnesses };
  shard->retry_at = now + claims->config.claim_retry_delay;
  claims->ops.append (claims->ctx, &entry);
}

/* Candidates that reach the log come first, because only these can acknowledge
   a newer claim. */
static uint32_t
choose_witnesses (const claims_t *claims, incarnation_t *out)
{
  uint32_t count = 0;
  usec_t at;

  for (int pass = 0; pass < 2; pass++)
    for (size_t i = 0; i < claims->candidate_count; i++)
      {
        const claims_candidate_t *c = &claims->candidates[i];

        if (count == CLAIMS_MAX_WITNESSES || c->no_new_shards != (pass == 1)
            || c->incarnation == claims->config.incarnation
            || !claims_member (claims, c->incarnation)
            || claims_get_end_time (claims, c->incarnation, &at))
          continue;
        out[count++] = c->incarnation;
      }
  return count;
}

/* Tells whether a new list would have more live witnesses, or no majority of
   the current one is live. */
static bool
witnesses_outdated (const claims_t *claims, const shard_t *shard)
{
  const claim_t *claim = shard_current (shard);
  incarnation_t chosen[CLAIMS_MAX_WITNESSES];
  uint32_t live = 0;

  for (uint32_t i = 0; i < claim->witness_count; i++)
    live += claims_candidate (claims, claim->witnesses[i]) != NULL;
  return choose_witnesses (claims, chosen) > live
         || live * 2 <= claim->witness_count;
}

const claims_candidate_t *
claims_candidate (const claims_t *claims, incarnation_t incarnation)
{
  for (size_t i = 0; i < claims->candidate_count; i++)
    if (claims->candidates[i].incarnation == incarnation)
      return &claims->candidates[i];
  return NULL;
}

static bool
accepts_shards (const claims_t *claims, const claims_candidate_t *c)
{
  bool self = c->incarnation == claims->config.incarnation;

  return !c->no_new_shards && !(self && (claims->draining || claims->fenced));
}

/* Rendezvous weight; nodes of the preferred zone come before all others. */
static uint64_t
rendezvous_weight (const claims_t *claims, uint32_t shard,
                   const claims_candidate_t *c)
{
  uint64_t hash = XXH64 (&c->node, sizeof c->node, shard) >> 1;
  bool preferred = c->zone == claims->ops.preferred_zone (claims->ctx, shard);

  return hash | (preferred ? 1ULL << 63 : 0);
}

/* Number of nodes accepting shards that precede this one. */
static size_t
rendezvous_rank (const claims_t *claims, uint32_t shard)
{
  const claims_candidate_t self = { .node = claims->config.node,
                                    .incarnation = claims->config.incarnation,
                                    .zone = claims->config.zone };
  uint64_t own_weight = rendezvous_weight (claims, shard, &self);
  size_t before = 0;

  for (size_t i = 0; i < claims->candidate_count; i++)
    {
      const claims_candidate_t *c = &claims->candidates[i];

      before += c->incarnation != self.incarnation
                && accepts_shards (claims, c)
                && rendezvous_weight (claims, shard, c) > own_weight;
    }
  return before;
}

/* Claims are appended only if the log was read to its tail within a lease. */
static bool
log_fresh (const claims_t *claims, usec_t now)
{
  return claims->log_confirmed_at != USEC_NEVER
         && now - claims->log_confirmed_at < claims->config.lease;
}

static usec_t
next_event_at (const claims_t *claims, usec_t now, const shard_t *shard)
{
  usec_t times[] = { INT64_MAX, INT64_MAX, INT64_MAX };
  usec_t next = INT64_MAX;

  if (shard_is_ours (claims, shard) && !shard->own.resolved)
    times[0] = shard_resolved_at (claims, shard);
  if (shard->own.acting)
    times[1] = shard_confirmed_at (shard) + claims->config.lease;
  if (shard->claimable_since != USEC_NEVER)
    times[2] = now + claims->config.claim_retry_delay;
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    if (times[i] > now)
      next = MIN (next, times[i]);
  return next;
}

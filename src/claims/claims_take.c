/** @file
 * Claims: taking, renewing and releasing shards.
 */
#include "claims/claims_private.h"

#include <xxhash.h>

/* Longest time between two calls of claims_tick. */
#define TICK_MAX (250 * USEC_PER_MSEC)
/* Longest pause before a contested claim, in waits of rule (w). */
#define CONTEST_MAX 2
/* How often a release is repeated to peers until the log shows it. */
#define RELEASE_REPEAT (1 * USEC_PER_SEC)

static void give_up (claims_t *claims, usec_t now, shard_t *shard);
static void tick_claim (claims_t *claims, usec_t now, shard_t *shard);
static bool vacant (const claims_t *claims, usec_t now, const shard_t *shard);
static bool resolvable (const claims_t *claims, const claim_t *former);
static void tick_renew (claims_t *claims, usec_t now, shard_t *shard);
static void tick_give_up (claims_t *claims, usec_t now, shard_t *shard);
static void append_claim (claims_t *claims, usec_t now, shard_t *shard);
static uint32_t choose_witnesses (const claims_t *claims, incarnation_t *out);
static bool witnesses_poor (const claims_t *claims, const shard_t *shard);
static bool may_take (const claims_t *claims, const claims_candidate_t *c);
static uint64_t weight (const claims_t *claims, uint32_t shard,
                        const claims_candidate_t *c);
static size_t rank (const claims_t *claims, uint32_t shard);
static bool log_fresh (const claims_t *claims, usec_t now);
static usec_t wake_at (const claims_t *claims, usec_t now,
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
    give_up (claims, now, shard);
}

bool
claims_should_release (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = claims_shard (claims, number);

  if (!shard || !shard->own.acting)
    return false;
  if (claims->draining)
    return true;
  return claims->log_fresh && rank (claims, number) != 0
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
  usec_t next = now + TICK_MAX;

  claims->log_fresh = log_fresh (claims, now);
  claims_end_predecessors (claims, now, claims->config.incarnation, now);
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      shard_refresh (claims, now, shard);
      tick_claim (claims, now, shard);
      tick_renew (claims, now, shard);
      tick_give_up (claims, now, shard);
      next = MIN (next, wake_at (claims, now, shard));
    }
  return next;
}

static void
give_up (claims_t *claims, usec_t now, shard_t *shard)
{
  if (!shard->own.epoch || !shard->own.resolved || shard->own.given_up)
    return;
  shard->own.given_up = true;
  shard_stop_acting (claims, now, shard);
  shard_announce_release (claims, now, shard);
}

/* Tells peers, and the log once.  With a renewal on its way the log is told
   after its outcome; peers are told of both epochs.  A claim on its way after
   the shard was lost is no renewal and stays claimed. */
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
      = claims_candidate (claims, claims->config.incarnation);
  usec_t pause = claims->config.claim_retry_delay;

  if (shard->pending.epoch || !vacant (claims, now, shard))
    {
      shard->claimable_at = USEC_NEVER;
      return;
    }
  if (shard->claimable_at == USEC_NEVER)
    shard->claimable_at = now;
  if (!self || !claims_member (claims, self->incarnation)
      || !may_take (claims, self) || !log_fresh (claims, now)
      || now < shard->retry_at)
    return;
  if (now >= shard->claimable_at
                 + (usec_t)rank (claims, shard_number (claims, shard)) * pause)
    append_claim (claims, now, shard);
}

/* Tells whether a claim of the shard makes sense.  A claim over an owner that
   may be alive stops it, so it is made only if it can be resolved, and two
   processes that do not hear each other leave each other time to act. */
static bool
vacant (const claims_t *claims, usec_t now, const shard_t *shard)
{
  const claim_t *claim;
  usec_t pause
      = clock_scaled (claims->config.lease + claims->config.drain_time)
        + claims->config.lease;
  usec_t at;

  if (!shard->chain->len)
    return true;
  claim = shard_current (shard);
  if (claims_ended_at (claims, claim->incarnation, &at))
    return claim->incarnation != claims->config.incarnation;
  if (claims_candidate (claims, claim->incarnation))
    return false;
  /* A fresh process has not heard of all its peers yet. */
  if (now < claims->first_candidates_at + claims->config.lease)
    return false;
  for (guint c = 0; c < shard->chain->len; c++)
    if (!resolvable (claims, shard_claim (shard, c)))
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

  if (!former->count || claims_ended_at (claims, former->incarnation, &at)
      || former->incarnation == claims->config.incarnation)
    return true;
  for (uint32_t i = 0; i < former->count; i++)
    {
      const claims_candidate_t *c
          = claims_candidate (claims, former->witnesses[i]);

      count += (c && !c->no_new_shards)
               || claims_ended_at (claims, former->witnesses[i], &at);
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

  if (!shard_is_ours (claims, shard) || !own->resolved || own->acting)
    return;
  if (own->given_up)
    {
      if (now >= own->repeat_at)
        shard_announce_release (claims, now, shard);
      return;
    }
  for (size_t i = 0; i < claims->candidate_count; i++)
    taker = taker
            || (!claims->candidates[i].no_new_shards
                && claims->candidates[i].incarnation
                       != claims->config.incarnation);
  if (taker && own->lapsed_since != USEC_NEVER
      && now >= own->lapsed_since + claims->config.lease
                    + claims->config.drain_time)
    give_up (claims, now, shard);
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
  pending->count = choose_witnesses (claims, pending->witnesses);
  for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
    pending->held[i] = USEC_NEVER;
  claim->shard = number;
  claim->epoch = pending->epoch;
  claim->node = pending->node;
  claim->incarnation = pending->incarnation;
  claim->witnesses = (u64_list_t){ pending->count, pending->witnesses };
  shard->retry_at = now + claims->config.claim_retry_delay;
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

        if (count == CLAIMS_MAX_WITNESSES || c->no_new_shards != (pass == 1)
            || c->incarnation == claims->config.incarnation
            || !claims_member (claims, c->incarnation)
            || claims_ended_at (claims, c->incarnation, &at))
          continue;
        out[count++] = c->incarnation;
      }
  return count;
}

/* Whether another list would hold more live witnesses. */
static bool
witnesses_poor (const claims_t *claims, const shard_t *shard)
{
  const claim_t *claim = shard_current (shard);
  incarnation_t better[CLAIMS_MAX_WITNESSES];
  uint32_t live = 0;

  for (uint32_t i = 0; i < claim->count; i++)
    live += claims_candidate (claims, claim->witnesses[i]) != NULL;
  return choose_witnesses (claims, better) > live || live * 2 <= claim->count;
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
may_take (const claims_t *claims, const claims_candidate_t *c)
{
  bool self = c->incarnation == claims->config.incarnation;

  return !c->no_new_shards && !(self && (claims->draining || claims->fenced));
}

/* Rendezvous weight; nodes of the preferred zone come before all others. */
static uint64_t
weight (const claims_t *claims, uint32_t shard, const claims_candidate_t *c)
{
  uint64_t hash = XXH64 (&c->node, sizeof c->node, shard) >> 1;
  bool preferred = c->zone == claims->ops.preferred_zone (claims->ctx, shard);

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

static usec_t
wake_at (const claims_t *claims, usec_t now, const shard_t *shard)
{
  usec_t times[] = { INT64_MAX, INT64_MAX, INT64_MAX };
  usec_t next = INT64_MAX;

  if (shard_is_ours (claims, shard) && !shard->own.resolved)
    times[0] = shard_resolved_at (claims, shard);
  if (shard->own.acting)
    times[1] = shard_confirmed_at (shard) + claims->config.lease;
  if (shard->claimable_at != USEC_NEVER)
    times[2] = now + claims->config.claim_retry_delay;
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    if (times[i] > now)
      next = MIN (next, times[i]);
  return next;
}

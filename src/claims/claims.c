/** @file
 * Claims: creation, queries, dump.
 *
 * Each shard keeps a chain of the claims whose holders may still act: those
 * newer than the newest claim known to be released or resolved, oldest first.
 * The last one is the current claim.  Only an owner that may act appends a
 * renewal, so a renewal proves that all older claims are resolved.
 */
#include "claims/claims_private.h"

#include <string.h>

static json_t *dump_shard (const claims_t *claims, usec_t now,
                           const shard_t *shard);

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
  claims->log_confirmed_at = USEC_NEVER;
  claims->shards = g_new0 (shard_t, config->shard_count);
  for (uint32_t i = 0; i < config->shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      shard->chain = g_array_new (FALSE, TRUE, sizeof (claim_t));
      shard->claimable_since = USEC_NEVER;
      shard->retry_at = USEC_NEVER;
      shard->renewal_needed_since = USEC_NEVER;
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
      if (claims->shards[i].deferred_entries)
        g_ptr_array_free (claims->shards[i].deferred_entries, TRUE);
    }
  g_free (claims->shards);
  g_free (claims->candidates);
  g_hash_table_destroy (claims->members);
  g_hash_table_destroy (claims->ended);
  g_free (claims);
}

node_id_t
claims_owner (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = claims_shard (claims, number);

  return shard && shard->chain->len ? shard_current (shard)->node : 0;
}

uint64_t
claims_epoch (const claims_t *claims, uint32_t number)
{
  const shard_t *shard = claims_shard (claims, number);

  return shard ? shard->epoch : 0;
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

claim_t *
shard_current (const shard_t *shard)
{
  return shard_claim (shard, shard->chain->len - 1);
}

claim_t *
shard_claim (const shard_t *shard, guint index)
{
  return &g_array_index (shard->chain, claim_t, index);
}

uint32_t
shard_number (const claims_t *claims, const shard_t *shard)
{
  return (uint32_t)(shard - claims->shards);
}

shard_t *
claims_shard (const claims_t *claims, uint64_t number)
{
  return number < claims->config.shard_count ? &claims->shards[number] : NULL;
}

/* The newest claim is by this process and was not released. */
bool
shard_is_ours (const claims_t *claims, const shard_t *shard)
{
  return shard->chain->len
         && shard_current (shard)->incarnation == claims->config.incarnation;
}

static json_t *
dump_shard (const claims_t *claims, usec_t now, const shard_t *shard)
{
  json_t *chain = json_array ();

  for (guint c = 0; c < shard->chain->len; c++)
    {
      const claim_t *claim = shard_claim (shard, c);
      json_t *witnesses = json_array ();

      for (uint32_t i = 0; i < claim->witness_count; i++)
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
      (int)shard_number (claims, shard), "epoch", (json_int_t)shard->epoch,
      "acting", shard->own.acting, "given_up", shard->own.given_up,
      "pending_epoch", (json_int_t)shard->pending.epoch, "lease_left_us",
      (json_int_t)(shard->own.acting ? shard_confirmed_at (shard)
                                           + claims->config.lease - now
                                     : 0),
      "chain", chain);
}

/** @file
 * Claims whose records in the log have expired.
 *
 * Informed processes append the claims of each shard again as SHARD entries.
 * A process that cannot read the log from its beginning defers the claims
 * and releases it meets until the SHARD entry of their shard, which stands
 * for everything before, and applies them then in their order.
 */
#include "claims/claims_private.h"

#include <string.h>

/* Numbers before the witnesses of each claim in a SHARD entry. */
#define CLAIM_HEAD 4U

static void adopt (claims_t *claims, usec_t now, shard_t *shard,
                   uint64_t epoch, const u64_list_t *chain);
static void adopt_first (claims_t *claims, usec_t now, shard_t *shard);
static void replay (claims_t *claims, usec_t now, shard_t *shard);
static shard_t *shard_at (claims_t *claims, uint64_t number);
static void bytes_free (void *bytes);

void
claims_set_first_offset (claims_t *claims, uint64_t from)
{
  claims->log_from = from;
  if (!from)
    return;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      claims->shards[i].unknown = true;
      claims->shards[i].backlog = g_ptr_array_new_with_free_func (bytes_free);
    }
}

bool
claims_snapshot_shard (const claims_t *claims, uint32_t number, uint64_t as_of,
                       msg_shard_t *entry)
{
  const shard_t *shard;
  uint32_t count = 0;
  uint64_t *items;

  if (number >= claims->config.shard_count)
    return false;
  shard = &claims->shards[number];
  if (shard->unknown || !shard->epoch)
    return false;
  items = g_new (uint64_t,
                 shard->chain->len * (CLAIM_HEAD + CLAIMS_MAX_WITNESSES) + 1);
  for (guint c = 0; c < shard->chain->len; c++)
    {
      const claim_t *claim = &g_array_index (shard->chain, claim_t, c);

      items[count++] = claim->epoch;
      items[count++] = claim->node;
      items[count++] = claim->incarnation;
      items[count++] = claim->count;
      for (uint32_t i = 0; i < claim->count; i++)
        items[count++] = claim->witnesses[i];
    }
  *entry = (msg_shard_t){ .shard = number,
                          .epoch = shard->epoch,
                          .as_of = as_of,
                          .chain = { count, items } };
  return true;
}

bool
claims_restore_defer (claims_t *claims, const message_t *entry)
{
  uint64_t number = entry->type == MSG_CLAIM ? entry->u.claim.shard
                                             : entry->u.release.shard;
  shard_t *shard = shard_at (claims, number);
  GByteArray *bytes;

  if (!shard || !shard->unknown
      || (entry->type != MSG_CLAIM && entry->type != MSG_RELEASE))
    return false;
  bytes = g_byte_array_new ();
  message_encode (entry, bytes);
  g_ptr_array_add (shard->backlog, bytes);
  return true;
}

void
claims_restore_shard (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_shard_t *entry = &m->u.shard;
  shard_t *shard = shard_at (claims, entry->shard);

  /* Entries between AS_OF and this one must have been met. */
  if (!shard || !shard->unknown || entry->as_of < claims->log_from)
    return;
  adopt (claims, now, shard, entry->epoch, &entry->chain);
  replay (claims, now, shard);
}

void
claims_restore_rest (claims_t *claims, usec_t now)
{
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      if (!shard->unknown)
        continue;
      adopt_first (claims, now, shard);
      replay (claims, now, shard);
    }
}

/* No informed process has been live for most of the retention, so the first
   entry met is the best that is known. */
static void
adopt_first (claims_t *claims, usec_t now, shard_t *shard)
{
  const GByteArray *first
      = shard->backlog->len ? shard->backlog->pdata[0] : NULL;
  message_t entry;
  uint64_t items[CLAIM_HEAD + CLAIMS_MAX_WITNESSES];
  u64_list_t chain = { 0, items };
  uint64_t epoch = 0;

  if (first
      && message_decode ((blob_t){ (const char *)first->data, first->len },
                         &entry, NULL)
             == 0)
    {
      const msg_claim_t *claim = &entry.u.claim;

      if (entry.type == MSG_RELEASE)
        epoch = entry.u.release.epoch;
      else if (claim->witnesses.count <= CLAIMS_MAX_WITNESSES)
        {
          epoch = claim->epoch;
          items[chain.count++] = claim->epoch;
          items[chain.count++] = claim->node;
          items[chain.count++] = claim->incarnation;
          items[chain.count++] = claim->witnesses.count;
          for (uint32_t i = 0; i < claim->witnesses.count; i++)
            items[chain.count++] = claim->witnesses.items[i];
        }
      message_clear (&entry);
    }
  adopt (claims, now, shard, epoch, &chain);
}

static void
adopt (claims_t *claims, usec_t now, shard_t *shard, uint64_t epoch,
       const u64_list_t *chain)
{
  (void)claims;
  shard->unknown = false;
  shard->epoch = epoch;
  g_array_set_size (shard->chain, 0);
  for (uint32_t at = 0; at + CLAIM_HEAD <= chain->count;)
    {
      const uint64_t *head = chain->items + at;
      claim_t claim = { .epoch = head[0],
                        .node = (node_id_t)head[1],
                        .incarnation = head[2],
                        .applied_at = now };

      at += CLAIM_HEAD;
      if (head[3] > CLAIMS_MAX_WITNESSES || head[3] > chain->count - at)
        return;
      claim.count = (uint32_t)head[3];
      for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
        {
          claim.witnesses[i] = i < claim.count ? chain->items[at + i] : 0;
          claim.acked[i] = USEC_NEVER;
          claim.held[i] = USEC_NEVER;
        }
      at += claim.count;
      g_array_append_val (shard->chain, claim);
    }
}

static void
replay (claims_t *claims, usec_t now, shard_t *shard)
{
  GPtrArray *backlog = shard->backlog;

  shard->backlog = NULL;
  for (guint i = 0; i < backlog->len; i++)
    {
      const GByteArray *bytes = backlog->pdata[i];
      message_t entry;

      if (message_decode ((blob_t){ (const char *)bytes->data, bytes->len },
                          &entry, NULL)
          == 0)
        claims_apply (claims, now, &entry);
      message_clear (&entry);
    }
  g_ptr_array_free (backlog, TRUE);
}

static shard_t *
shard_at (claims_t *claims, uint64_t number)
{
  return number < claims->config.shard_count ? &claims->shards[number] : NULL;
}

static void
bytes_free (void *bytes)
{
  g_byte_array_free (bytes, TRUE);
}

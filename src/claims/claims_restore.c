/** @file
 * Claims: restores shards whose records in the log have expired.
 *
 * Processes that know the claims of a shard append them again from time to
 * time as a SHARD entry, a snapshot that replaces all earlier entries of the
 * shard.  A process that cannot read the log from its beginning defers claims
 * and releases until it reads the SHARD entry of their shard, and then applies
 * them in log order.
 */
#include "claims/claims_private.h"

#include <string.h>

/* Numbers that precede the witnesses of each claim in a SHARD entry: epoch,
   node, incarnation, witness count. */
#define CLAIM_HEADER_LEN 4U

static void restore_chain (claims_t *claims, usec_t now, shard_t *shard,
                           uint64_t epoch, const u64_list_t *chain);
static void restore_from_first_entry (claims_t *claims, usec_t now,
                                      shard_t *shard);
static void apply_deferred (claims_t *claims, usec_t now, shard_t *shard);
static shard_t *shard_at (claims_t *claims, uint64_t number);
static void bytes_free (void *bytes);

void
claims_set_first_offset (claims_t *claims, uint64_t from)
{
  claims->first_log_offset = from;
  if (!from)
    return;
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      claims->shards[i].awaiting_snapshot = true;
      claims->shards[i].deferred_entries
          = g_ptr_array_new_with_free_func (bytes_free);
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
  if (shard->awaiting_snapshot || !shard->epoch)
    return false;
  items = g_new (uint64_t,
                 shard->chain->len * (CLAIM_HEADER_LEN + CLAIMS_MAX_WITNESSES)
                     + 1);
  for (guint c = 0; c < shard->chain->len; c++)
    {
      const claim_t *claim = &g_array_index (shard->chain, claim_t, c);

      items[count++] = claim->epoch;
      items[count++] = claim->node;
      items[count++] = claim->incarnation;
      items[count++] = claim->witness_count;
      for (uint32_t i = 0; i < claim->witness_count; i++)
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

  if (!shard || !shard->awaiting_snapshot
      || (entry->type != MSG_CLAIM && entry->type != MSG_RELEASE))
    return false;
  bytes = g_byte_array_new ();
  message_encode (entry, bytes);
  g_ptr_array_add (shard->deferred_entries, bytes);
  return true;
}

void
claims_restore_shard (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_shard_t *entry = &m->u.shard;
  shard_t *shard = shard_at (claims, entry->shard);

  /* All entries after AS_OF must have been read. */
  if (!shard || !shard->awaiting_snapshot
      || entry->as_of < claims->first_log_offset)
    return;
  restore_chain (claims, now, shard, entry->epoch, &entry->chain);
  apply_deferred (claims, now, shard);
}

void
claims_restore_remaining (claims_t *claims, usec_t now)
{
  for (uint32_t i = 0; i < claims->config.shard_count; i++)
    {
      shard_t *shard = &claims->shards[i];

      if (!shard->awaiting_snapshot)
        continue;
      restore_from_first_entry (claims, now, shard);
      apply_deferred (claims, now, shard);
    }
}

/* Without a SHARD entry, no process that knows the shard has been live for
   most of the retention.  The first deferred entry is the best information
   left. */
static void
restore_from_first_entry (claims_t *claims, usec_t now, shard_t *shard)
{
  const GByteArray *first = shard->deferred_entries->len
                                ? shard->deferred_entries->pdata[0]
                                : NULL;
  message_t entry;
  uint64_t items[CLAIM_HEADER_LEN + CLAIMS_MAX_WITNESSES];
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
  restore_chain (claims, now, shard, epoch, &chain);
}

static void
restore_chain (claims_t *claims, usec_t now, shard_t *shard, uint64_t epoch,
               const u64_list_t *chain)
{
  (void)claims;
  shard->awaiting_snapshot = false;
  shard->epoch = epoch;
  g_array_set_size (shard->chain, 0);
  for (uint32_t at = 0; at + CLAIM_HEADER_LEN <= chain->count;)
    {
      const uint64_t *head = chain->items + at;
      claim_t claim = { .epoch = head[0],
                        .node = (node_id_t)head[1],
                        .incarnation = head[2],
                        .applied_at = now };

      at += CLAIM_HEADER_LEN;
      if (head[3] > CLAIMS_MAX_WITNESSES || head[3] > chain->count - at)
        return;
      claim.witness_count = (uint32_t)head[3];
      for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
        {
          claim.witnesses[i]
              = i < claim.witness_count ? chain->items[at + i] : 0;
          claim.acked_at[i] = USEC_NEVER;
          claim.hold_sent_at[i] = USEC_NEVER;
        }
      at += claim.witness_count;
      g_array_append_val (shard->chain, claim);
    }
}

static void
apply_deferred (claims_t *claims, usec_t now, shard_t *shard)
{
  GPtrArray *deferred = shard->deferred_entries;

  shard->deferred_entries = NULL;
  for (guint i = 0; i < deferred->len; i++)
    {
      const GByteArray *bytes = deferred->pdata[i];
      message_t entry;

      if (message_decode ((blob_t){ (const char *)bytes->data, bytes->len },
                          &entry, NULL)
          == 0)
        claims_apply (claims, now, &entry);
      message_clear (&entry);
    }
  g_ptr_array_free (deferred, TRUE);
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

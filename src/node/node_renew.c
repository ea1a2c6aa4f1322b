/** @file
 * Log entries that are appended again before their records expire: the MEMBER
 * entry of this process, the bundle in force, the claims of shards, and
 * orders.
 */
#include "node/node_private.h"

#define RENEWALS_PER_RETENTION 3
#define SAMPLES_PER_RETENTION 32
#define MAX_ORDERS_PER_TICK 64U
#define ORDER_SCAN_INTERVAL USEC_PER_SEC
/* Time for which an ended order can be shown and its idempotency key is
   recognized. */
#define ENDED_ORDER_RETENTION (24LL * 3600 * USEC_PER_SEC)

static void register_self (node_t *node, usec_t now);
static void renew_bundle (node_t *node, usec_t now);
static void renew_orders (node_t *node, usec_t now);
static void renew_shards (node_t *node, usec_t now);
static uint64_t log_end_at (node_t *node, usec_t when);
static void sample_log_end (node_t *node, usec_t now);
static usec_t log_retention (const node_t *node);

void
node_renew_tick (node_t *node, usec_t now)
{
  if (!journal_ready (node->journal) || node->draining)
    return;
  sample_log_end (node, now);
  if (now >= node->register_due)
    register_self (node, now);
  if (now >= node->bundle_due)
    renew_bundle (node, now);
  if (now >= node->shards_due)
    renew_shards (node, now);
  if (now >= node->orders_due)
    renew_orders (node, now);
}

/* The MEMBER entry is repeated, so that a process that starts after the first
   copy has expired still finds one. */
static void
register_self (node_t *node, usec_t now)
{
  message_t entry = { .type = MSG_MEMBER };

  entry.u.member.node = node->settings->node;
  entry.u.member.incarnation = node->incarnation;
  entry.u.member.zone = node->settings->zone;
  entry.u.member.address = blob_of (node->settings->listen_peers);
  if (journal_put (node->journal, now, &entry, true))
    node->register_due = now + log_retention (node) / RENEWALS_PER_RETENTION;
}

/* Every process appends a snapshot; a repeated copy of the version in force
   has no effect. */
static void
renew_bundle (node_t *node, usec_t now)
{
  message_t entry = { .type = MSG_BUNDLE };

  if (node->bundle_due != USEC_NEVER
      && bundle_store_snapshot (node->bundles, &entry.u.bundle))
    journal_put (node->journal, now, &entry, false);
  node->bundle_due = now + log_retention (node) / RENEWALS_PER_RETENTION;
}

/* The claims of a shard are appended by the node that ranks first for its
   number. */
static void
renew_shards (node_t *node, usec_t now)
{
  uint32_t shards = settings_shard_count (node->settings);

  for (uint32_t shard = 0; node->shards_due && shard < shards; shard++)
    {
      message_t entry = { .type = MSG_SHARD };

      if (!node_ranks_first (node, shard)
          || !claims_snapshot_shard (node->claims, shard,
                                     journal_offset (node->journal),
                                     &entry.u.shard))
        continue;
      journal_put (node->journal, now, &entry, false);
      g_free (entry.u.shard.chain.items);
    }
  node->shards_due = now + log_retention (node) / RENEWALS_PER_RETENTION;
}

/* Orders whose records are older than half the retention are appended as
   snapshots by the node that ranks first for them. */
static void
renew_orders (node_t *node, usec_t now)
{
  order_id_t due[MAX_ORDERS_PER_TICK];
  uint64_t before = log_end_at (node, now - log_retention (node) / 2);
  size_t count
      = orders_expiring (node->orders, before, due, MAX_ORDERS_PER_TICK);

  node->orders_due = now + ORDER_SCAN_INTERVAL;
  orders_remove_ended (
      node->orders, now - MIN (ENDED_ORDER_RETENTION, log_retention (node)));
  for (size_t i = 0; i < count; i++)
    {
      const order_t *order = orders_get (node->orders, due[i]);
      message_t entry = { .type = MSG_ORDER_SNAPSHOT };

      if (!order || !node_ranks_first (node, order->id))
        continue;
      orders_snapshot (order, &entry.u.order_snapshot);
      journal_put (node->journal, now, &entry, false);
    }
}

/* Returns the offset of the log's end at WHEN, 0 before the first sample. */
static uint64_t
log_end_at (node_t *node, usec_t when)
{
  uint64_t offset = 0;

  for (guint i = 0; i < node->log_samples->len; i++)
    {
      const log_sample_t *sample
          = &g_array_index (node->log_samples, log_sample_t, i);

      if (sample->time > when)
        break;
      offset = sample->offset;
    }
  return offset;
}

static void
sample_log_end (node_t *node, usec_t now)
{
  log_sample_t sample = { now, journal_offset (node->journal) };
  guint count;

  count = node->log_samples->len;
  if (count
      && now - g_array_index (node->log_samples, log_sample_t, count - 1).time
             < log_retention (node) / SAMPLES_PER_RETENTION)
    return;
  if (count >= SAMPLES_PER_RETENTION)
    g_array_remove_index (node->log_samples, 0);
  g_array_append_val (node->log_samples, sample);
}

static usec_t
log_retention (const node_t *node)
{
  return (usec_t)node->settings->log_retention_s * USEC_PER_SEC;
}

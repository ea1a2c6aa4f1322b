/** @file
 * Who takes over an owner's shards if it fails.
 *
 * Processes that join the group at the same time have the store rebalance once
 * for each of them, and each rebalance may move a shard that has just been
 * loaded.  So an owner ranks its peers and tells each one its rank with its
 * replies; the first joins at once when the shards have no owner, the next
 * ones follow one after the other.
 */
#include "scheduler/sched_private.h"

#include <xxhash.h>

/* A peer that was not heard from for this long is not ranked. */
#define PEER_STALE_AFTER (3 * USEC_PER_SEC)
#define RANK_INTERVAL (500 * USEC_PER_MSEC)
/* A rank is forgotten after this long without another reply of an owner. */
#define RANK_VALID (15 * USEC_PER_SEC)
#define CAPACITY_SHIFT 32U

typedef struct
{
  node_id_t node;
  uint32_t zone; /* hash of its availability zone's name */
  uint32_t millicores;
  usec_t heard_at;
} peer_t;

static gint compare_peers (gconstpointer left, gconstpointer right);
static void rank_peers (scheduler_t *s, usec_t now);

uint64_t
succession_describe (const scheduler_settings_t *settings)
{
  uint64_t millicores = (uint64_t)(settings->cpu_share * 1000);

  return millicores << CAPACITY_SHIFT
         | (uint32_t)XXH32 (settings->zone, strlen (settings->zone), 0);
}

void
succession_hello (scheduler_t *s, usec_t now, node_id_t node,
                  uint64_t description)
{
  peer_t *peer
      = g_hash_table_lookup (s->succession.peers, GUINT_TO_POINTER (node));

  if (!peer)
    {
      peer = g_new0 (peer_t, 1);
      g_hash_table_insert (s->succession.peers, GUINT_TO_POINTER (node), peer);
    }
  *peer = (peer_t){ .node = node,
                    .zone = (uint32_t)description,
                    .millicores = (uint32_t)(description >> CAPACITY_SHIFT),
                    .heard_at = now };
}

void
succession_heard (scheduler_t *s, usec_t now, node_id_t node)
{
  peer_t *peer
      = g_hash_table_lookup (s->succession.peers, GUINT_TO_POINTER (node));

  if (peer)
    peer->heard_at = now;
}

/* Larger peers first; the node number keeps the order stable. */
static gint
compare_peers (gconstpointer left, gconstpointer right)
{
  const peer_t *a = *(const peer_t *const *)left;
  const peer_t *b = *(const peer_t *const *)right;

  if (a->millicores != b->millicores)
    return a->millicores > b->millicores ? -1 : 1;
  return a->node < b->node ? -1 : a->node > b->node;
}

/* Takes peers in their order, each from a zone that has none yet: the owner's
   zone may fail as a whole. */
static void
rank_peers (scheduler_t *s, usec_t now)
{
  succession_t *succession = &s->succession;
  uint64_t own = succession_describe (s->settings);
  uint32_t zones[SUCCESSORS_MAX + 1] = { (uint32_t)own };
  GPtrArray *peers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, succession->peers);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const peer_t *peer = data;

      if (now - peer->heard_at < PEER_STALE_AFTER
          && peer->millicores >= (uint32_t)(own >> CAPACITY_SHIFT))
        g_ptr_array_add (peers, data);
    }
  g_ptr_array_sort (peers, compare_peers);
  memset (succession->ranked, 0, sizeof succession->ranked);
  succession->ranked_count = 0;
  for (guint i = 0;
       i < peers->len && succession->ranked_count < SUCCESSORS_MAX; i++)
    {
      const peer_t *peer = peers->pdata[i];
      bool zone_is_taken = false;

      for (uint32_t k = 0; k <= succession->ranked_count; k++)
        zone_is_taken |= zones[k] == peer->zone;
      if (zone_is_taken)
        continue;
      zones[succession->ranked_count + 1] = peer->zone;
      succession->ranked[succession->ranked_count++] = peer->node;
    }
  g_ptr_array_free (peers, TRUE);
}

uint32_t
succession_rank (scheduler_t *s, usec_t now, node_id_t node)
{
  succession_t *succession = &s->succession;

  if (now >= succession->rank_due)
    {
      succession->rank_due = now + RANK_INTERVAL;
      rank_peers (s, now);
    }
  for (uint32_t i = 0; i < succession->ranked_count; i++)
    if (succession->ranked[i] == node)
      return i + 1;
  return succession->ranked_count ? SUCCESSORS_MAX + 1 : 0;
}

void
succession_told (scheduler_t *s, usec_t now, uint32_t rank)
{
  if (!rank)
    return;
  s->succession.own_rank = rank;
  s->succession.told_at = now;
}

uint32_t
succession_own_rank (const scheduler_t *s, usec_t now)
{
  const succession_t *succession = &s->succession;

  return now - succession->told_at <= RANK_VALID ? succession->own_rank : 0;
}

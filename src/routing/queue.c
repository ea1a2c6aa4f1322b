/** @file
 * Requests that wait for a slot.
 *
 * Each member has a sorted sequence for each lane, and for its own requests
 * and those that came over the peer link; the best is found among the first
 * ones of the members that have any.
 */
#include "routing/queue.h"

#include <string.h>

#define SOURCES 2 /* own, hopped */

struct share
{
  char *member;
  uint32_t weight;
  GSequence *waiting[LANE_COUNT][SOURCES];
  uint64_t count;
};

struct queue
{
  GHashTable *shares; /* member -> share_t */
  GPtrArray *active;  /* shares with requests that wait */
  uint64_t length;
};

static void share_free (gpointer data);
static gint by_order (gconstpointer a, gconstpointer b, gpointer data);

queue_t *
queue_new (void)
{
  queue_t *queue = g_new0 (queue_t, 1);

  queue->shares
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, share_free);
  queue->active = g_ptr_array_new ();
  return queue;
}

void
queue_free (queue_t *queue)
{
  g_ptr_array_free (queue->active, TRUE);
  g_hash_table_destroy (queue->shares);
  g_free (queue);
}

share_t *
queue_share (queue_t *queue, const char *member, uint32_t weight)
{
  share_t *share = g_hash_table_lookup (queue->shares, member);

  if (!share)
    {
      share = g_new0 (share_t, 1);
      share->member = g_strdup (member);
      for (int lane = 0; lane < LANE_COUNT; lane++)
        for (int source = 0; source < SOURCES; source++)
          share->waiting[lane][source] = g_sequence_new (g_free);
      g_hash_table_insert (queue->shares, share->member, share);
    }
  share->weight = MAX (weight, 1);
  return share;
}

queue_item_t *
queue_push (queue_t *queue, const queue_item_t *item)
{
  queue_item_t *copy = g_new (queue_item_t, 1);
  share_t *share = item->share;

  *copy = *item;
  copy->place = g_sequence_insert_sorted (
      share->waiting[item->lane][item->hopped], copy, by_order, queue);
  if (!share->count++)
    g_ptr_array_add (queue->active, share);
  queue->length++;
  return copy;
}

void
queue_remove (queue_t *queue, queue_item_t *item)
{
  share_t *share = item->share;

  if (!--share->count)
    g_ptr_array_remove_fast (queue->active, share);
  queue->length--;
  g_sequence_remove (item->place);
}

const queue_item_t *
queue_best (const queue_t *queue, lane_t lane, bool own_only)
{
  const queue_item_t *best = NULL;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const share_t *share = g_ptr_array_index (queue->active, i);

      for (int source = 0; source < (own_only ? 1 : SOURCES); source++)
        {
          GSequence *list = share->waiting[lane][source];
          const queue_item_t *item;

          if (g_sequence_is_empty (list))
            continue;
          item = g_sequence_get (g_sequence_get_begin_iter (list));
          if (!best || queue_compare (queue, item, best) < 0)
            best = item;
        }
    }
  return best;
}

const queue_item_t *
queue_worst (const queue_t *queue, bool own_only)
{
  const queue_item_t *worst = NULL;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const share_t *share = g_ptr_array_index (queue->active, i);

      for (int k = 0; k < LANE_COUNT * SOURCES; k++)
        {
          GSequence *list = share->waiting[k / SOURCES][k % SOURCES];
          const queue_item_t *item;

          if (g_sequence_is_empty (list) || (own_only && k % SOURCES))
            continue;
          item = g_sequence_get (
              g_sequence_iter_prev (g_sequence_get_end_iter (list)));
          if (!worst || queue_compare (queue, item, worst) > 0)
            worst = item;
        }
    }
  return worst;
}

uint64_t
queue_ahead (const queue_t *queue, const queue_item_t *item)
{
  (void)item;
  return queue->length - 1;
}

uint64_t
queue_length (const queue_t *queue)
{
  return queue->length;
}

int
queue_compare (const queue_t *queue, const queue_item_t *a,
               const queue_item_t *b)
{
  (void)queue;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->deadline != b->deadline)
    return a->deadline < b->deadline ? -1 : 1;
  return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

static void
share_free (gpointer data)
{
  share_t *share = data;

  for (int lane = 0; lane < LANE_COUNT; lane++)
    for (int source = 0; source < SOURCES; source++)
      g_sequence_free (share->waiting[lane][source]);
  g_free (share->member);
  g_free (share);
}

static gint
by_order (gconstpointer a, gconstpointer b, gpointer data)
{
  return queue_compare (data, a, b);
}

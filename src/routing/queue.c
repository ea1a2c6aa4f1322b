/** @file
 * Requests that wait for a slot.
 *
 * Each member has a sorted sequence for each lane, and for its own requests
 * and those that came over the peer link; the best is found among the first
 * ones of the members that have any.
 */
#include "routing/queue.h"

#include <math.h>

#define SOURCES 2                 /* own, hopped */
#define MEMORY (1 * USEC_PER_SEC) /* use counts 1/e after this time */
#define RESCALE_AT 32.0           /* exponent of the growing weight */
#define REVIEW_INTERVAL (5 * USEC_PER_MSEC)
#define OVER_SHARE 1.1    /* times the mean use, by weight */
#define ACTIVE_SHARE 0.01 /* of the mean use; others do not count */

struct share
{
  char *member;
  uint32_t weight;
  GSequence *waiting[LANE_COUNT][SOURCES];
  uint64_t count;
  uint64_t in_lane[LANE_COUNT];
  double used; /* slot time, in the growing unit of the queue */
  bool over;   /* has had more than its fair share */
  bool active; /* counted by the last review */
};

/* Instead of every member's use shrinking with time, the unit in which new
   use is counted grows; the ratios between members are the same. */
struct queue
{
  usec_t unit_from;
  usec_t reviewed_at;

  GHashTable *shares; /* member -> share_t */
  GPtrArray *active;  /* shares with requests that wait */
  uint64_t length;
};

static void rescale (queue_t *queue, double factor);
static void review (queue_t *queue);
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

void
queue_charge (queue_t *queue, usec_t now, share_t *share, usec_t cost)
{
  double exponent = (double)(now - queue->unit_from) / (double)MEMORY;

  if (exponent > RESCALE_AT)
    {
      rescale (queue, exp (-exponent));
      queue->unit_from = now;
      exponent = 0;
    }
  share->used += (double)cost * exp (exponent);
  if (now - queue->reviewed_at >= REVIEW_INTERVAL)
    {
      queue->reviewed_at = now;
      review (queue);
    }
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
    {
      g_ptr_array_add (queue->active, share);
      if (!share->active)
        review (queue);
    }
  share->in_lane[item->lane]++;
  queue->length++;
  return copy;
}

void
queue_remove (queue_t *queue, queue_item_t *item)
{
  share_t *share = item->share;

  share->in_lane[item->lane]--;
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
queue_worst (const queue_t *queue, lane_t lane, bool own_only)
{
  const queue_item_t *worst = NULL;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const share_t *share = g_ptr_array_index (queue->active, i);

      for (int k = 0; k < LANE_COUNT * SOURCES; k++)
        {
          GSequence *list = share->waiting[k / SOURCES][k % SOURCES];
          const queue_item_t *item;

          if (g_sequence_is_empty (list) || (own_only && k % SOURCES)
              || (lane != LANE_ANY && k / SOURCES != (int)lane))
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
  uint64_t ahead = 0;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const share_t *share = g_ptr_array_index (queue->active, i);

      if (item->share->over || !share->over)
        ahead += share->in_lane[item->lane];
    }
  return ahead - 1;
}

uint64_t
queue_within (const queue_t *queue)
{
  uint64_t within = 0;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const share_t *share = g_ptr_array_index (queue->active, i);

      within += share->over ? 0 : share->count;
    }
  return within;
}

bool
queue_is_over (const queue_item_t *item)
{
  return item->share->over;
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
  if (a->share->over != b->share->over)
    return b->share->over ? -1 : 1;
  if (a->deadline != b->deadline)
    return a->deadline < b->deadline ? -1 : 1;
  return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

static void
rescale (queue_t *queue, double factor)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((share_t *)value)->used *= factor;
}

/** Finds the members that have had more than their fair share of the use of
    all active ones.  Nothing is kept from them while no other waits. */
static void
review (queue_t *queue)
{
  double used = 0;
  double weights = 0;
  double active = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      used += ((share_t *)value)->used;
      weights += ((share_t *)value)->weight;
    }
  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      share_t *share = value;

      share->active
          = share->count
            || share->used * weights > ACTIVE_SHARE * used * share->weight;
      active += share->active ? share->weight : 0;
    }
  g_hash_table_iter_init (&iter, queue->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      share_t *share = value;

      share->over = share->used * active > OVER_SHARE * used * share->weight;
    }
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

/** @file
 * Requests that wait for a slot.
 *
 * Each member has sorted sequences by lane and by origin (received from a
 * caller or from a peer).  The next request to serve is found by comparing
 * the heads of the sequences of all members with waiting requests.
 */
#include "routing/queue.h"

#include <math.h>

#define ORIGIN_COUNT 2 /* from a caller, from a peer */
#define USE_DECAY_TIME                                                        \
  (1 * USEC_PER_SEC)          /* past use has weight 1/e after this time */
#define RESCALE_EXPONENT 32.0 /* of the growing weight */
#define UPDATE_INTERVAL (5 * USEC_PER_MSEC)
#define OVER_SHARE_FACTOR 1.1 /* times the mean use by weight */
#define ACTIVE_USE_FACTOR                                                     \
  0.01 /* of the mean use; an idle member below is inactive */

struct queue_member
{
  char *name;
  uint32_t weight;
  GSequence *waiting[LANE_COUNT][ORIGIN_COUNT];
  uint64_t count;
  uint64_t lane_count[LANE_COUNT];
  double used;     /* slot time, weighted as in struct queue */
  bool over_share; /* used more than its fair share */
  bool active;     /* in the last update_shares */
};

/* Instead of decaying the use of every member, new use is multiplied by a
   weight that grows exponentially from weight_start on; the ratios between
   members are the same. */
struct queue
{
  usec_t weight_start;
  usec_t updated_at; /* of over_share and active of the members */

  GHashTable *members; /* name -> queue_member_t */
  GPtrArray *waiting_members;
  uint64_t length;
};

static void rescale (queue_t *queue, double factor);
static void update_shares (queue_t *queue);
static void member_free (gpointer data);
static gint compare_items (gconstpointer a, gconstpointer b, gpointer data);

queue_t *
queue_new (void)
{
  queue_t *queue = g_new0 (queue_t, 1);

  queue->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  queue->waiting_members = g_ptr_array_new ();
  return queue;
}

void
queue_free (queue_t *queue)
{
  g_ptr_array_free (queue->waiting_members, TRUE);
  g_hash_table_destroy (queue->members);
  g_free (queue);
}

queue_member_t *
queue_member (queue_t *queue, const char *name, uint32_t weight)
{
  queue_member_t *member = g_hash_table_lookup (queue->members, name);

  if (!member)
    {
      member = g_new0 (queue_member_t, 1);
      member->name = g_strdup (name);
      for (int lane = 0; lane < LANE_COUNT; lane++)
        for (int origin = 0; origin < ORIGIN_COUNT; origin++)
          member->waiting[lane][origin] = g_sequence_new (g_free);
      g_hash_table_insert (queue->members, member->name, member);
    }
  member->weight = MAX (weight, 1);
  return member;
}

void
queue_charge (queue_t *queue, usec_t now, queue_member_t *member, usec_t cost)
{
  double exponent
      = (double)(now - queue->weight_start) / (double)USE_DECAY_TIME;

  if (exponent > RESCALE_EXPONENT)
    {
      rescale (queue, exp (-exponent));
      queue->weight_start = now;
      exponent = 0;
    }
  member->used += (double)cost * exp (exponent);
  if (now - queue->updated_at >= UPDATE_INTERVAL)
    {
      queue->updated_at = now;
      update_shares (queue);
    }
}

queue_item_t *
queue_push (queue_t *queue, const queue_item_t *item)
{
  queue_item_t *copy = g_new (queue_item_t, 1);
  queue_member_t *member = item->member;

  *copy = *item;
  copy->position
      = g_sequence_insert_sorted (member->waiting[item->lane][item->from_peer],
                                  copy, compare_items, queue);
  if (!member->count++)
    {
      g_ptr_array_add (queue->waiting_members, member);
      if (!member->active)
        update_shares (queue);
    }
  member->lane_count[item->lane]++;
  queue->length++;
  return copy;
}

void
queue_remove (queue_t *queue, queue_item_t *item)
{
  queue_member_t *member = item->member;

  member->lane_count[item->lane]--;
  if (!--member->count)
    g_ptr_array_remove_fast (queue->waiting_members, member);
  queue->length--;
  g_sequence_remove (item->position);
}

const queue_item_t *
queue_first (const queue_t *queue, lane_t lane, bool forwardable_only)
{
  const queue_item_t *first = NULL;

  for (guint i = 0; i < queue->waiting_members->len; i++)
    {
      const queue_member_t *member
          = g_ptr_array_index (queue->waiting_members, i);

      for (int origin = 0; origin < (forwardable_only ? 1 : ORIGIN_COUNT);
           origin++)
        {
          GSequence *list = member->waiting[lane][origin];
          const queue_item_t *item;

          if (g_sequence_is_empty (list))
            continue;
          item = g_sequence_get (g_sequence_get_begin_iter (list));
          if (!first || queue_compare (queue, item, first) < 0)
            first = item;
        }
    }
  return first;
}

const queue_item_t *
queue_last (const queue_t *queue, lane_t lane, bool forwardable_only)
{
  const queue_item_t *last = NULL;

  for (guint i = 0; i < queue->waiting_members->len; i++)
    {
      const queue_member_t *member
          = g_ptr_array_index (queue->waiting_members, i);

      for (int k = 0; k < LANE_COUNT * ORIGIN_COUNT; k++)
        {
          GSequence *list
              = member->waiting[k / ORIGIN_COUNT][k % ORIGIN_COUNT];
          const queue_item_t *item;

          if (g_sequence_is_empty (list)
              || (forwardable_only && k % ORIGIN_COUNT)
              || (lane != LANE_ANY && k / ORIGIN_COUNT != (int)lane))
            continue;
          item = g_sequence_get (
              g_sequence_iter_prev (g_sequence_get_end_iter (list)));
          if (!last || queue_compare (queue, item, last) > 0)
            last = item;
        }
    }
  return last;
}

uint64_t
queue_count_ahead (const queue_t *queue, const queue_item_t *item)
{
  uint64_t ahead = 0;

  for (guint i = 0; i < queue->waiting_members->len; i++)
    {
      const queue_member_t *member
          = g_ptr_array_index (queue->waiting_members, i);

      if (item->member->over_share || !member->over_share)
        ahead += member->lane_count[item->lane];
    }
  return ahead - 1;
}

uint64_t
queue_count_within_share (const queue_t *queue)
{
  uint64_t within = 0;

  for (guint i = 0; i < queue->waiting_members->len; i++)
    {
      const queue_member_t *member
          = g_ptr_array_index (queue->waiting_members, i);

      within += member->over_share ? 0 : member->count;
    }
  return within;
}

bool
queue_over_share (const queue_item_t *item)
{
  return item->member->over_share;
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
  if (a->member->over_share != b->member->over_share)
    return b->member->over_share ? -1 : 1;
  if (a->deadline != b->deadline)
    return a->deadline < b->deadline ? -1 : 1;
  return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

static void
rescale (queue_t *queue, double factor)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((queue_member_t *)value)->used *= factor;
}

/** Finds the members that used more than their fair share of the use of all
    active members.  They are still served while no other member waits. */
static void
update_shares (queue_t *queue)
{
  double total_used = 0;
  double total_weight = 0;
  double active_weight = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      total_used += ((queue_member_t *)value)->used;
      total_weight += ((queue_member_t *)value)->weight;
    }
  g_hash_table_iter_init (&iter, queue->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      queue_member_t *member = value;

      member->active
          = member->count
            || member->used * total_weight
                   > ACTIVE_USE_FACTOR * total_used * member->weight;
      active_weight += member->active ? member->weight : 0;
    }
  g_hash_table_iter_init (&iter, queue->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      queue_member_t *member = value;

      member->over_share = member->used * active_weight
                           > OVER_SHARE_FACTOR * total_used * member->weight;
    }
}

static void
member_free (gpointer data)
{
  queue_member_t *member = data;

  for (int lane = 0; lane < LANE_COUNT; lane++)
    for (int origin = 0; origin < ORIGIN_COUNT; origin++)
      g_sequence_free (member->waiting[lane][origin]);
  g_free (member->name);
  g_free (member);
}

static gint
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  return queue_compare (data, a, b);
}

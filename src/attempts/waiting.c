/** @file
 * Queue of waiting orders in groups of similar size.
 */
#include "attempts/waiting.h"

/* Orders of one group differ in size by less than a factor of two.  If a few
   of them find no room, the others of the group are unlikely to find any, and
   the pass skips them. */
#define MAX_NO_ROOM_PER_GROUP 4U

typedef struct
{
  char *key;
  bool urgent;
  GSequence *items; /* oldest first */
  /* Valid during a pass: */
  GSequenceIter *cursor;
  unsigned no_room_count;
  uint64_t finished_round; /* last round in which all its visits were done */
} group_t;

typedef struct
{
  order_id_t id; /* must be the first field: key in the hash table */
  usec_t accepted_at;
  group_t *group;          /* NULL: another node's turn */
  GSequenceIter *position; /* in the group's items */
  GList link;              /* in waiting_t.others */
} item_t;

struct waiting
{
  GHashTable *items;  /* order -> item_t */
  GHashTable *groups; /* key -> group_t */
  GQueue others;      /* orders of other nodes' turns */
  uint64_t round; /* number of the round; a round is one or more passes that
                     together reach all groups */
};

static group_t *group_of (waiting_t *waiting, const order_t *order);
static void detach_item (waiting_t *waiting, item_t *item);
static bool
visit_groups (waiting_t *waiting, GPtrArray *groups, unsigned *budget,
              waiting_visit_t (*visit) (void *ctx, order_id_t order),
              void *ctx);
static bool visit_group (waiting_t *waiting, group_t *group, unsigned *budget,
                         waiting_visit_t (*visit) (void *ctx,
                                                   order_id_t order),
                         void *ctx);
static int compare_items (gconstpointer a, gconstpointer b, gpointer ctx);
static int compare_groups (gconstpointer a, gconstpointer b);
static void group_free (gpointer data);

waiting_t *
waiting_new (void)
{
  waiting_t *waiting = g_new0 (waiting_t, 1);

  waiting->items
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  waiting->groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, group_free);
  g_queue_init (&waiting->others);
  waiting->round = 1;
  return waiting;
}

void
waiting_free (waiting_t *waiting)
{
  if (!waiting)
    return;
  g_hash_table_destroy (waiting->groups);
  g_hash_table_destroy (waiting->items);
  g_free (waiting);
}

void
waiting_add (waiting_t *waiting, const order_t *order, bool own_turn)
{
  item_t *item = (item_t *)g_hash_table_lookup (waiting->items, &order->id);

  if (!item)
    {
      item = g_new0 (item_t, 1);
      item->id = order->id;
      item->accepted_at = order->accepted_at;
      item->link.data = item;
      g_hash_table_insert (waiting->items, item, item);
    }
  else if (own_turn == (item->group != NULL))
    return;
  else
    detach_item (waiting, item);
  if (!own_turn)
    {
      g_queue_push_tail_link (&waiting->others, &item->link);
      return;
    }
  item->group = group_of (waiting, order);
  item->position = g_sequence_insert_sorted (item->group->items, item,
                                             compare_items, NULL);
}

void
waiting_remove (waiting_t *waiting, order_id_t order)
{
  item_t *item = (item_t *)g_hash_table_lookup (waiting->items, &order);

  if (!item)
    return;
  detach_item (waiting, item);
  g_hash_table_remove (waiting->items, &order);
}

bool
waiting_pass (waiting_t *waiting, unsigned budget,
              waiting_visit_t (*visit) (void *ctx, order_id_t order),
              void *ctx)
{
  GPtrArray *groups[2] = { g_ptr_array_new (), g_ptr_array_new () };
  GHashTableIter iter;
  gpointer value;
  bool complete = true;

  g_hash_table_iter_init (&iter, waiting->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      group_t *group = (group_t *)value;

      group->cursor = g_sequence_get_begin_iter (group->items);
      group->no_room_count = 0;
      if (g_sequence_iter_is_end (group->cursor))
        g_hash_table_iter_remove (&iter);
      else if (group->finished_round < waiting->round)
        g_ptr_array_add (groups[group->urgent ? 0 : 1], group);
    }
  for (int i = 0; i < 2; i++)
    {
      g_ptr_array_sort (groups[i], compare_groups);
      complete
          = complete && visit_groups (waiting, groups[i], &budget, visit, ctx);
      g_ptr_array_free (groups[i], TRUE);
    }
  if (complete)
    waiting->round++;
  return complete;
}

bool
waiting_next_other (waiting_t *waiting, order_id_t *order)
{
  GList *link = g_queue_pop_head_link (&waiting->others);

  if (!link)
    return false;
  *order = ((item_t *)link->data)->id;
  g_queue_push_tail_link (&waiting->others, link);
  return true;
}

size_t
waiting_other_count (const waiting_t *waiting)
{
  return waiting->others.length;
}

size_t
waiting_own_count (const waiting_t *waiting)
{
  return g_hash_table_size (waiting->items) - waiting->others.length;
}

/* Returns the order's group, creating it if needed.  Empty groups are freed by
   the next pass. */
static group_t *
group_of (waiting_t *waiting, const order_t *order)
{
  char *key = g_strdup_printf (
      "%d/%u/%u/%u/%s/%s/%s", order->urgent, g_bit_storage (order->millicores),
      g_bit_storage (order->memory_mb), (unsigned)order->accelerators,
      order->team, order->class_name, order->failures ? order->worker : "");
  group_t *group = (group_t *)g_hash_table_lookup (waiting->groups, key);

  if (group)
    {
      g_free (key);
      return group;
    }
  group = g_new0 (group_t, 1);
  group->key = key;
  group->urgent = order->urgent;
  group->items = g_sequence_new (NULL);
  g_hash_table_insert (waiting->groups, group->key, group);
  return group;
}

static void
detach_item (waiting_t *waiting, item_t *item)
{
  if (item->group)
    g_sequence_remove (item->position);
  else
    g_queue_unlink (&waiting->others, &item->link);
  item->group = NULL;
  item->position = NULL;
}

static bool
visit_groups (waiting_t *waiting, GPtrArray *groups, unsigned *budget,
              waiting_visit_t (*visit) (void *ctx, order_id_t order),
              void *ctx)
{
  while (groups->len)
    for (guint i = 0; i < groups->len;)
      {
        group_t *group = (group_t *)g_ptr_array_index (groups, i);

        if (!*budget)
          return false;
        if (visit_group (waiting, group, budget, visit, ctx))
          i++;
        else
          {
            group->finished_round = waiting->round;
            g_ptr_array_remove_index (groups, i);
          }
      }
  return true;
}

/* Visits orders of the group up to the first that returns WAITING_DONE.
   Returns whether the group has more orders to visit in this pass. */
static bool
visit_group (waiting_t *waiting, group_t *group, unsigned *budget,
             waiting_visit_t (*visit) (void *ctx, order_id_t order), void *ctx)
{
  while (!g_sequence_iter_is_end (group->cursor) && *budget)
    {
      item_t *item = (item_t *)g_sequence_get (group->cursor);
      waiting_visit_t result = visit (ctx, item->id);

      --*budget;
      group->cursor = g_sequence_iter_next (group->cursor);
      if (result == WAITING_DONE)
        {
          waiting_remove (waiting, item->id);
          return true;
        }
      if (result == WAITING_OTHER_NODE)
        {
          detach_item (waiting, item);
          g_queue_push_tail_link (&waiting->others, &item->link);
        }
      else if (++group->no_room_count >= MAX_NO_ROOM_PER_GROUP)
        return false;
    }
  return !g_sequence_iter_is_end (group->cursor);
}

static int
compare_items (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const item_t *first = (const item_t *)a;
  const item_t *second = (const item_t *)b;

  (void)ctx;
  if (first->accepted_at != second->accepted_at)
    return first->accepted_at < second->accepted_at ? -1 : 1;
  return (first->id > second->id) - (first->id < second->id);
}

static int
compare_groups (gconstpointer a, gconstpointer b)
{
  const group_t *first = *(group_t *const *)a;
  const group_t *second = *(group_t *const *)b;

  return compare_items (g_sequence_get (first->cursor),
                        g_sequence_get (second->cursor), NULL);
}

static void
group_free (gpointer data)
{
  group_t *group = (group_t *)data;

  g_sequence_free (group->items);
  g_free (group->key);
  g_free (group);
}

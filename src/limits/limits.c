/** @file
 * Slots in use on each instance.
 *
 * The VMs of a group are kept in one list for each level of use, so that the
 * least used one is found in constant time however many there are.
 */
#include "limits/limits.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* Share of the slots in use, in sixteenths; the last level is full. */
#define LEVELS 16U

typedef struct
{
  handle_t head;
  handle_t tail;
} list_t;

typedef struct
{
  vm_t vm;
  bool said_leaving; /* the VM itself did, the list may not know yet */
  bool listed;       /* is in a list of its group */
  uint32_t group;
  uint32_t cap;
  uint32_t level;
  uint32_t counted_free;
  uint32_t counted_capacity;
  handle_t next;
  handle_t prev;
} row_t;

typedef struct
{
  usec_t until;
  handle_t vm;
} linger_t;

typedef struct
{
  list_t levels[LEVELS + 1];
  uint64_t free_slots;
  uint64_t capacity;
} group_t;

struct limits
{
  table_t *rows;
  GHashTable *by_id; /* char * -> handle */
  GSequence *lingering;
  group_t groups[LIMITS_GROUPS];
};

static row_t *row_of (const limits_t *limits, handle_t vm);
static uint32_t limit_of (const row_t *row);
static void unlist (limits_t *limits, row_t *row);
static void relist (limits_t *limits, handle_t vm);
static void release (limits_t *limits, handle_t vm);
static void remove_if_unused (limits_t *limits, handle_t vm);
static void set_state (row_t *row, vm_state_t listed);
static gint compare_linger (gconstpointer a, gconstpointer b, gpointer data);

limits_t *
limits_new (void)
{
  limits_t *limits = g_new0 (limits_t, 1);

  limits->rows = table_new (sizeof (row_t));
  limits->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  limits->lingering = g_sequence_new (g_free);
  return limits;
}

void
limits_free (limits_t *limits)
{
  if (!limits)
    return;
  table_free (limits->rows);
  g_hash_table_destroy (limits->by_id);
  g_sequence_free (limits->lingering);
  g_free (limits);
}

handle_t
limits_set_vm (limits_t *limits, const vm_t *vm)
{
  handle_t handle = limits_find (limits, vm->id);
  row_t *row;

  if (handle == HANDLE_NONE)
    {
      if (vm->state == VM_GONE)
        return HANDLE_NONE;
      handle = table_add (limits->rows);
      if (handle == HANDLE_NONE)
        return HANDLE_NONE;
      row = row_of (limits, handle);
      row->vm = *vm;
      row->vm.in_use = 0;
      g_hash_table_insert (limits->by_id, g_strdup (vm->id),
                           GUINT_TO_POINTER (handle));
      return handle;
    }
  row = row_of (limits, handle);
  memcpy (row->vm.address, vm->address, sizeof row->vm.address);
  row->vm.zone = vm->zone;
  row->vm.shard = vm->shard;
  row->vm.slots = vm->slots;
  row->vm.connections = vm->connections;
  set_state (row, vm->state);
  relist (limits, handle);
  remove_if_unused (limits, handle);
  return limits_find (limits, vm->id);
}

const vm_t *
limits_vm (const limits_t *limits, handle_t vm)
{
  const row_t *row = row_of (limits, vm);

  return row ? &row->vm : NULL;
}

handle_t
limits_find (const limits_t *limits, const char *id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (limits->by_id, id));
}

handle_t
limits_next (const limits_t *limits, handle_t after)
{
  return table_next (limits->rows, after);
}

void
limits_set_leaving (limits_t *limits, handle_t vm)
{
  row_t *row = row_of (limits, vm);

  if (!row || row->vm.state != VM_LIVE)
    return;
  row->vm.state = VM_LEAVING;
  row->said_leaving = true;
  relist (limits, vm);
}

int
limits_acquire (limits_t *limits, handle_t vm)
{
  row_t *row = row_of (limits, vm);

  if (!row)
    return -ENOENT;
  if (row->vm.state != VM_LIVE)
    return -ESHUTDOWN;
  if (row->vm.in_use >= MIN (row->vm.slots, row->vm.connections))
    return -EBUSY;
  row->vm.in_use++;
  relist (limits, vm);
  return 0;
}

void
limits_release (limits_t *limits, handle_t vm)
{
  release (limits, vm);
}

void
limits_release_at (limits_t *limits, handle_t vm, usec_t until)
{
  linger_t *linger;

  if (!row_of (limits, vm))
    return;
  linger = g_new (linger_t, 1);
  *linger = (linger_t){ until, vm };
  g_sequence_insert_sorted (limits->lingering, linger, compare_linger, NULL);
}

void
limits_set_group (limits_t *limits, handle_t vm, uint32_t group, uint32_t cap)
{
  row_t *row = row_of (limits, vm);

  if (!row || group >= LIMITS_GROUPS
      || (row->group == group && row->cap == cap))
    return;
  unlist (limits, row);
  row->group = group;
  row->cap = cap;
  relist (limits, vm);
}

uint32_t
limits_group (const limits_t *limits, handle_t vm)
{
  const row_t *row = row_of (limits, vm);

  return row ? row->group : LIMITS_GROUP_NONE;
}

handle_t
limits_pick (const limits_t *limits, uint32_t group)
{
  const group_t *g = &limits->groups[group];

  if (!g->free_slots)
    return HANDLE_NONE;
  for (uint32_t level = 0; level < LEVELS; level++)
    if (g->levels[level].head != HANDLE_NONE)
      return g->levels[level].head;
  return HANDLE_NONE;
}

uint64_t
limits_free_slots (const limits_t *limits, uint32_t group)
{
  return limits->groups[group].free_slots;
}

uint64_t
limits_capacity (const limits_t *limits, uint32_t group)
{
  return limits->groups[group].capacity;
}

usec_t
limits_tick (limits_t *limits, usec_t now)
{
  GSequenceIter *first = g_sequence_get_begin_iter (limits->lingering);

  while (!g_sequence_iter_is_end (first))
    {
      const linger_t *linger = g_sequence_get (first);

      if (linger->until > now)
        return linger->until;
      release (limits, linger->vm);
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (limits->lingering);
    }
  return USEC_NEVER;
}

json_t *
limits_dump (const limits_t *limits)
{
  static const char *const names[] = { "live", "leaving", "gone" };
  json_t *list = json_array ();

  for (handle_t h = limits_next (limits, HANDLE_NONE); h != HANDLE_NONE;
       h = limits_next (limits, h))
    {
      const row_t *row = row_of (limits, h);
      const vm_t *vm = &row->vm;

      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:s}", "id", vm->id,
                     "address", vm->address, "zone", (json_int_t)vm->zone,
                     "shard", (json_int_t)vm->shard, "slots",
                     (json_int_t)vm->slots, "in_use", (json_int_t)vm->in_use,
                     "group", (json_int_t)row->group, "state",
                     names[vm->state]));
    }
  return json_pack ("{s:o,s:I}", "vms", list, "lingering",
                    (json_int_t)g_sequence_get_length (limits->lingering));
}

static row_t *
row_of (const limits_t *limits, handle_t vm)
{
  return table_get (limits->rows, vm);
}

/** Slots that limits_pick may fill. */
static uint32_t
limit_of (const row_t *row)
{
  uint32_t limit = MIN (row->vm.slots, row->vm.connections);

  return row->cap ? MIN (limit, row->cap) : limit;
}

static void
unlist (limits_t *limits, row_t *row)
{
  group_t *group = &limits->groups[row->group];
  list_t *list = &group->levels[row->level];

  if (!row->listed)
    return;
  if (row->prev != HANDLE_NONE)
    row_of (limits, row->prev)->next = row->next;
  else
    list->head = row->next;
  if (row->next != HANDLE_NONE)
    row_of (limits, row->next)->prev = row->prev;
  else
    list->tail = row->prev;
  group->free_slots -= row->counted_free;
  group->capacity -= row->counted_capacity;
  row->listed = false;
}

/** Puts the VM at the end of the list of its level; takes a VM that is not
    live out of its group. */
static void
relist (limits_t *limits, handle_t vm)
{
  row_t *row = row_of (limits, vm);
  uint32_t limit = limit_of (row);
  uint32_t used = MIN (row->vm.in_use, limit);
  group_t *group = &limits->groups[row->group];
  list_t *list;

  unlist (limits, row);
  if (row->group == LIMITS_GROUP_NONE || row->vm.state != VM_LIVE || !limit)
    return;
  row->level = used * LEVELS / limit;
  row->counted_free = limit - used;
  row->counted_capacity = limit;
  group->free_slots += row->counted_free;
  group->capacity += row->counted_capacity;
  list = &group->levels[row->level];
  row->prev = list->tail;
  row->next = HANDLE_NONE;
  if (list->tail != HANDLE_NONE)
    row_of (limits, list->tail)->next = vm;
  else
    list->head = vm;
  list->tail = vm;
  row->listed = true;
}

static void
release (limits_t *limits, handle_t vm)
{
  row_t *row = row_of (limits, vm);

  if (!row || !row->vm.in_use)
    return;
  row->vm.in_use--;
  relist (limits, vm);
  remove_if_unused (limits, vm);
}

static void
remove_if_unused (limits_t *limits, handle_t vm)
{
  row_t *row = row_of (limits, vm);

  if (!row || row->vm.state != VM_GONE || row->vm.in_use)
    return;
  unlist (limits, row);
  g_hash_table_remove (limits->by_id, row->vm.id);
  table_remove (limits->rows, vm);
}

/** What a VM says of itself is newer than the list: a VM that said that it
    leaves stays leaving until the list has caught up with it. */
static void
set_state (row_t *row, vm_state_t listed)
{
  if (listed == VM_LIVE && row->said_leaving)
    return;
  if (listed != VM_LIVE)
    row->said_leaving = false;
  row->vm.state = listed;
}

static gint
compare_linger (gconstpointer a, gconstpointer b, gpointer data)
{
  const linger_t *x = a;
  const linger_t *y = b;

  (void)data;
  return (x->until > y->until) - (x->until < y->until);
}

/** @file
 * Slots in use on each VM.
 *
 * Each group keeps one list of VMs for each level of use, so that the least
 * used VM is found in constant time regardless of the size of the group.
 */
#include "limits/limits.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* Level of a VM: its share of slots in use in sixteenths; VMs of the last
   level are full. */
#define USE_LEVELS 16U

typedef struct
{
  handle_t head;
  handle_t tail;
} list_t;

typedef struct
{
  vm_t vm;
  bool announced_leaving; /* by the VM itself; the VM list may lag behind */
  bool linked;            /* in the list of its group and level */
  uint32_t group;
  uint32_t cap;
  uint32_t level;
  uint32_t counted_free; /* contribution to the sums of the group */
  uint32_t counted_capacity;
  handle_t next;
  handle_t prev;
} row_t;

typedef struct
{
  usec_t until;
  handle_t vm;
} delayed_release_t;

typedef struct
{
  list_t levels[USE_LEVELS + 1];
  uint64_t free_slots;
  uint64_t capacity;
} group_t;

struct limits
{
  table_t *rows;
  GHashTable *by_id;           /* char * -> handle */
  GSequence *delayed_releases; /* delayed_release_t, by time */
  group_t groups[LIMITS_GROUPS];
};

static row_t *get_row (const limits_t *limits, handle_t vm);
static uint32_t pick_limit (const row_t *row);
static void unlink_row (limits_t *limits, row_t *row);
static void relink_row (limits_t *limits, handle_t vm);
static void release_slot (limits_t *limits, handle_t vm);
static void remove_if_unused (limits_t *limits, handle_t vm);
static void set_listed_state (row_t *row, vm_state_t listed_state);
static gint compare_release_time (gconstpointer a, gconstpointer b,
                                  gpointer data);

limits_t *
limits_new (void)
{
  limits_t *limits = g_new0 (limits_t, 1);

  limits->rows = table_new (sizeof (row_t));
  limits->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, 0);
  limits->delayed_releases = g_sequence_new (g_free);
  return limits;
}

void
limits_free (limits_t *limits)
{
  if (!limits)
    return;
  table_free (limits->rows);
  g_hash_table_destroy (limits->by_id);
  g_sequence_free (limits->delayed_releases);
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
      row = get_row (limits, handle);
      row->vm = *vm;
      row->vm.in_use = 0;
      g_hash_table_insert (limits->by_id, g_strdup (vm->id),
                           GUINT_TO_POINTER (handle));
      return handle;
    }
  row = get_row (limits, handle);
  memcpy (row->vm.address, vm->address, sizeof row->vm.address);
  row->vm.zone = vm->zone;
  row->vm.shard = vm->shard;
  row->vm.slots = vm->slots;
  row->vm.connections = vm->connections;
  set_listed_state (row, vm->state);
  relink_row (limits, handle);
  remove_if_unused (limits, handle);
  return limits_find (limits, vm->id);
}

const vm_t *
limits_vm (const limits_t *limits, handle_t vm)
{
  const row_t *row = get_row (limits, vm);

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
  row_t *row = get_row (limits, vm);

  if (!row || row->vm.state != VM_LIVE)
    return;
  row->vm.state = VM_LEAVING;
  row->announced_leaving = true;
  relink_row (limits, vm);
}

int
limits_acquire (limits_t *limits, handle_t vm)
{
  row_t *row = get_row (limits, vm);

  if (!row)
    return -ENOENT;
  if (row->vm.state != VM_LIVE)
    return -ESHUTDOWN;
  if (row->vm.in_use >= MIN (row->vm.slots, row->vm.connections))
    return -EBUSY;
  row->vm.in_use++;
  relink_row (limits, vm);
  return 0;
}

void
limits_release (limits_t *limits, handle_t vm)
{
  release_slot (limits, vm);
}

void
limits_release_at (limits_t *limits, handle_t vm, usec_t until)
{
  delayed_release_t *delayed;

  if (!get_row (limits, vm))
    return;
  delayed = g_new (delayed_release_t, 1);
  *delayed = (delayed_release_t){ until, vm };
  g_sequence_insert_sorted (limits->delayed_releases, delayed,
                            compare_release_time, NULL);
}

void
limits_set_group (limits_t *limits, handle_t vm, uint32_t group, uint32_t cap)
{
  row_t *row = get_row (limits, vm);

  if (!row || group >= LIMITS_GROUPS
      || (row->group == group && row->cap == cap))
    return;
  unlink_row (limits, row);
  row->group = group;
  row->cap = cap;
  relink_row (limits, vm);
}

uint32_t
limits_group (const limits_t *limits, handle_t vm)
{
  const row_t *row = get_row (limits, vm);

  return row ? row->group : LIMITS_GROUP_NONE;
}

handle_t
limits_pick (const limits_t *limits, uint32_t group)
{
  const group_t *members = &limits->groups[group];

  if (!members->free_slots)
    return HANDLE_NONE;
  for (uint32_t level = 0; level < USE_LEVELS; level++)
    if (members->levels[level].head != HANDLE_NONE)
      return members->levels[level].head;
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
  GSequenceIter *first = g_sequence_get_begin_iter (limits->delayed_releases);

  while (!g_sequence_iter_is_end (first))
    {
      const delayed_release_t *delayed = g_sequence_get (first);

      if (delayed->until > now)
        return delayed->until;
      release_slot (limits, delayed->vm);
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (limits->delayed_releases);
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
      const row_t *row = get_row (limits, h);
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
  return json_pack (
      "{s:o,s:I}", "vms", list, "lingering",
      (json_int_t)g_sequence_get_length (limits->delayed_releases));
}

static row_t *
get_row (const limits_t *limits, handle_t vm)
{
  return table_get (limits->rows, vm);
}

/** @return slots that limits_pick may fill */
static uint32_t
pick_limit (const row_t *row)
{
  uint32_t limit = MIN (row->vm.slots, row->vm.connections);

  return row->cap ? MIN (limit, row->cap) : limit;
}

static void
unlink_row (limits_t *limits, row_t *row)
{
  group_t *group = &limits->groups[row->group];
  list_t *list = &group->levels[row->level];

  if (!row->linked)
    return;
  if (row->prev != HANDLE_NONE)
    get_row (limits, row->prev)->next = row->next;
  else
    list->head = row->next;
  if (row->next != HANDLE_NONE)
    get_row (limits, row->next)->prev = row->prev;
  else
    list->tail = row->prev;
  group->free_slots -= row->counted_free;
  group->capacity -= row->counted_capacity;
  row->linked = false;
}

/** Moves the VM to the end of the list of its level; removes a VM that is not
    live from the lists. */
static void
relink_row (limits_t *limits, handle_t vm)
{
  row_t *row = get_row (limits, vm);
  uint32_t limit = pick_limit (row);
  uint32_t used = MIN (row->vm.in_use, limit);
  group_t *group = &limits->groups[row->group];
  list_t *list;

  unlink_row (limits, row);
  if (row->group == LIMITS_GROUP_NONE || row->vm.state != VM_LIVE || !limit)
    return;
  row->level = used * USE_LEVELS / limit;
  row->counted_free = limit - used;
  row->counted_capacity = limit;
  group->free_slots += row->counted_free;
  group->capacity += row->counted_capacity;
  list = &group->levels[row->level];
  row->prev = list->tail;
  row->next = HANDLE_NONE;
  if (list->tail != HANDLE_NONE)
    get_row (limits, list->tail)->next = vm;
  else
    list->head = vm;
  list->tail = vm;
  row->linked = true;
}

static void
release_slot (limits_t *limits, handle_t vm)
{
  row_t *row = get_row (limits, vm);

  if (!row || !row->vm.in_use)
    return;
  row->vm.in_use--;
  relink_row (limits, vm);
  remove_if_unused (limits, vm);
}

static void
remove_if_unused (limits_t *limits, handle_t vm)
{
  row_t *row = get_row (limits, vm);

  if (!row || row->vm.state != VM_GONE || row->vm.in_use)
    return;
  unlink_row (limits, row);
  g_hash_table_remove (limits->by_id, row->vm.id);
  table_remove (limits->rows, vm);
}

/** The announcement of a VM is newer than the VM list: a VM that announced
    that it is leaving stays in that state until the list agrees. */
static void
set_listed_state (row_t *row, vm_state_t listed_state)
{
  if (listed_state == VM_LIVE && row->announced_leaving)
    return;
  if (listed_state != VM_LIVE)
    row->announced_leaving = false;
  row->vm.state = listed_state;
}

static gint
compare_release_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const delayed_release_t *x = a;
  const delayed_release_t *y = b;

  (void)data;
  return (x->until > y->until) - (x->until < y->until);
}

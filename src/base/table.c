/** @file
 * Tables of fixed-size rows addressed by small handles.
 */
#include "base/table.h"
#include "base/counters.h"

#include <glib.h>
#include <string.h>

#define INDEX_BITS 20
#define INDEX_MASK (TABLE_MAX_ROWS - 1)
#define GENERATION_MASK 0xfffU
/* Rows are reused in the order of their removal, and only while more than this
   many are free.  So a handle recurs only after 4095 uses of each of these
   rows, 8 minutes at 8,000 rows per second; a request lives for seconds. */
#define MIN_FREE_ROWS 1024U

typedef struct
{
  uint32_t next_free; /* index + 1 of the next free row */
  uint16_t generation;
  bool used;
} slot_t;

struct table
{
  size_t row_size;
  GArray *slots;
  GByteArray *rows;
  uint32_t free_head; /* index + 1 of the first row to reuse, 0 for none */
  uint32_t free_tail; /* index + 1 of the last one, 0 for none */
  uint32_t free_count;
  size_t count;
};

/* Rows of all tables, used and free. */
static uint64_t allocated_rows;

static uint32_t take_free_row (table_t *table);
static uint32_t append_row (table_t *table);
static handle_t handle_of (uint32_t index, uint16_t generation);
static slot_t *slot_of (const table_t *table, handle_t handle);

table_t *
table_new (size_t row_size)
{
  table_t *table = g_new0 (table_t, 1);

  table->row_size = row_size;
  table->slots = g_array_new (FALSE, TRUE, sizeof (slot_t));
  table->rows = g_byte_array_new ();
  return table;
}

void
table_free (table_t *table)
{
  if (!table)
    return;
  allocated_rows -= table->slots->len;
  counter_set (COUNTER_TABLE_ROWS, allocated_rows);
  g_array_free (table->slots, TRUE);
  g_byte_array_free (table->rows, TRUE);
  g_free (table);
}

handle_t
table_add (table_t *table)
{
  bool full = table->slots->len >= TABLE_MAX_ROWS;
  uint32_t index;
  slot_t *slot;

  if (full && !table->free_count)
    return HANDLE_NONE;
  index = full || table->free_count > MIN_FREE_ROWS ? take_free_row (table)
                                                    : append_row (table);
  slot = &g_array_index (table->slots, slot_t, index);
  slot->used = true;
  slot->generation = (uint16_t)((slot->generation + 1) & GENERATION_MASK);
  if (!slot->generation)
    slot->generation = 1;
  memset (table->rows->data + index * table->row_size, 0, table->row_size);
  table->count++;
  return handle_of (index, slot->generation);
}

static uint32_t
take_free_row (table_t *table)
{
  uint32_t index = table->free_head - 1;

  table->free_head = g_array_index (table->slots, slot_t, index).next_free;
  if (!table->free_head)
    table->free_tail = 0;
  table->free_count--;
  return index;
}

static uint32_t
append_row (table_t *table)
{
  uint32_t index = table->slots->len;

  g_array_set_size (table->slots, index + 1);
  g_byte_array_set_size (table->rows, (guint)((index + 1) * table->row_size));
  counter_set (COUNTER_TABLE_ROWS, ++allocated_rows);
  return index;
}

void *
table_get (const table_t *table, handle_t handle)
{
  if (!slot_of (table, handle))
    return NULL;
  return table->rows->data + (handle & INDEX_MASK) * table->row_size;
}

void
table_remove (table_t *table, handle_t handle)
{
  slot_t *slot = slot_of (table, handle);

  if (!slot)
    return;
  slot->used = false;
  slot->next_free = 0;
  if (table->free_tail)
    g_array_index (table->slots, slot_t, table->free_tail - 1).next_free
        = (handle & INDEX_MASK) + 1;
  else
    table->free_head = (handle & INDEX_MASK) + 1;
  table->free_tail = (handle & INDEX_MASK) + 1;
  table->free_count++;
  table->count--;
}

size_t
table_capacity (const table_t *table)
{
  return table->slots->len;
}

size_t
table_count (const table_t *table)
{
  return table->count;
}

handle_t
table_next (const table_t *table, handle_t after)
{
  uint32_t index = after == HANDLE_NONE ? 0 : (after & INDEX_MASK) + 1;

  for (; index < table->slots->len; index++)
    {
      const slot_t *slot = &g_array_index (table->slots, slot_t, index);

      if (slot->used)
        return handle_of (index, slot->generation);
    }
  return HANDLE_NONE;
}

static handle_t
handle_of (uint32_t index, uint16_t generation)
{
  return ((uint32_t)generation << INDEX_BITS) | index;
}

static slot_t *
slot_of (const table_t *table, handle_t handle)
{
  uint32_t index = handle & INDEX_MASK;
  slot_t *slot;

  if (handle == HANDLE_NONE || index >= table->slots->len)
    return NULL;
  slot = &g_array_index (table->slots, slot_t, index);
  if (!slot->used || slot->generation != handle >> INDEX_BITS)
    return NULL;
  return slot;
}

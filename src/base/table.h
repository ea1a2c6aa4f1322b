/** @file
 * Tables of fixed-size rows addressed by small handles.
 *
 * A handle holds the index and the generation of a row, so that a handle to a
 * removed row is detected as stale even if the row has been reused.
 */
#ifndef BASE_TABLE_H
#define BASE_TABLE_H

#include "base/types.h"

typedef uint32_t handle_t;
#define HANDLE_NONE 0U

typedef struct table table_t;

/** Creates a table of rows of ROW_SIZE bytes. */
table_t *table_new (size_t row_size);
void table_free (table_t *table);

/** Adds a zeroed row.  @return its handle, HANDLE_NONE if the table is full
    (TABLE_MAX_ROWS rows) */
handle_t table_add (table_t *table);

/** @return the row, NULL if the handle is stale.  The pointer is valid
    until the next table_add. */
void *table_get (const table_t *table, handle_t handle);

/** Removes a row; a stale handle is ignored. */
void table_remove (table_t *table, handle_t handle);

/** @return number of rows in use */
size_t table_count (const table_t *table);

/** @return number of rows that the table has memory for, used or free */
size_t table_capacity (const table_t *table);

/** Iterates over the rows.  @return the first row if AFTER is HANDLE_NONE,
   else the row that follows it; HANDLE_NONE at the end */
handle_t table_next (const table_t *table, handle_t after);

#define TABLE_MAX_ROWS (1U << 20)

#endif

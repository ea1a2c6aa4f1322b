/** @file
 * Tables of fixed-size rows addressed by small handles.
 *
 * A handle names a row and its generation, so that a handle kept after its
 * row was removed finds nothing instead of another row.
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

/** @return the row, NULL if the handle is stale.  The pointer holds until
    the next table_add. */
void *table_get (const table_t *table, handle_t handle);

/** Removes a row; a stale handle is ignored. */
void table_remove (table_t *table, handle_t handle);

/** @return number of rows in use */
size_t table_count (const table_t *table);

/** Walks the rows: start with HANDLE_NONE, ends with HANDLE_NONE. */
handle_t table_next (const table_t *table, handle_t after);

#define TABLE_MAX_ROWS (1U << 20)

#endif

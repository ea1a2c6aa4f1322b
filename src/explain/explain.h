/** @file
 * History of one job, assembled from the logs of scheduling processes.
 *
 * Lines may be added in any order and from any number of processes.  The
 * history consists of the lines that name the job, and of the state changes
 * that the processes logged meanwhile for the workers on which it ran, the
 * shards, the store and the group.  Does no I/O.
 */
#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

#include "base/types.h"

#include <glib.h>

typedef struct explain explain_t;

/** @param job job ID of 16 hexadecimal digits, or a task name that begins
    with it */
explain_t *explain_new (const char *job);
void explain_free (explain_t *explain);

/** Adds a log line; lines in another format are skipped.
    @param source file or process of the line, shown in the output */
void explain_add_line (explain_t *explain, const char *source,
                       const char *line);

/** Writes a summary, then the lines ordered by time.  State changes are
    included from 2 s before the first line of the job to its last line.
    @return number of lines that name the job; nothing is written if 0 */
uint32_t explain_write (explain_t *explain, GString *out);

#endif

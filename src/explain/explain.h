/** @file
 * The story of one job, out of the logs of scheduling processes.
 *
 * Lines are passed in any order and from any number of processes.  Those that
 * name the job are kept, and so are changes of belief about the workers on
 * which it ran, the shards and the store.  Does no I/O.
 */
#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

#include "base/types.h"

#include <glib.h>

typedef struct explain explain_t;

/** @param job 16 hexadecimal digits, or a task's name that begins with them */
explain_t *explain_new (const char *job);
void explain_free (explain_t *explain);

/** Passes a line of a log; lines of another form are skipped.
    @param source its file or process, for the output */
void explain_line (explain_t *explain, const char *source, const char *line);

/** Writes a summary, then the lines in the order of their times.  Beliefs are
    those from 2 s before the first line of the job to its last one.
    @return lines that name the job */
uint32_t explain_text (explain_t *explain, GString *out);

#endif

/** @file
 * Where the time of jobs goes, by queue and stage, from the logs of scheduling
 * processes.
 *
 * The stages of a job follow its last task to end in each step: the task whose
 * wait and runs decided when the step was done.  Jobs that did not complete,
 * or whose lines are incomplete, are counted only.  Does no I/O.
 */
#ifndef EXPLAIN_SUMMARY_H
#define EXPLAIN_SUMMARY_H

#include <glib.h>

typedef struct summary summary_t;

summary_t *summary_new (void);
void summary_free (summary_t *summary);

/** Adds a log line; lines in another format are skipped. */
void summary_add_line (summary_t *summary, const char *line);

/** Writes a table of the stages by queue.
    @return number of jobs */
guint summary_write (const summary_t *summary, GString *out);

#endif

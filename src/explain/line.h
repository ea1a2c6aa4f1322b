/** @file
 * Fields of a log line.
 */
#ifndef EXPLAIN_LINE_H
#define EXPLAIN_LINE_H

#include "base/types.h"

/** Finds the fields of a line of this program.
    @param time_us set to its time since the Unix epoch
    @return the text that begins with " step=", NULL for another line */
const char *line_fields (const char *line, usec_t *time_us);

/** @return the value of NAME=VALUE, quotes removed, to be freed with g_free;
    NULL if there is none */
char *line_field (const char *fields, const char *name);

#endif

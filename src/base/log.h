/** @file
 * Log lines in syslog style, one for each decision or change of state.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "base/types.h"

typedef enum
{
  LOG_LEVEL_ERR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} log_level_t;

/** Sets the program name printed on each line and the least severe level that
    is printed. */
void log_open (const char *name, log_level_t max_level);

/** Buffers all further lines, at most LOG_MAX_LINES_PER_SECOND, until
   log_flush writes them to standard output.  Writes never block; lines that do
   not fit the buffer are dropped and counted (COUNTER_LOG_LINES_DROPPED). */
void log_open_buffered (void);

/** Limit on buffered lines per second. */
#define LOG_MAX_LINES_PER_SECOND 600U

/** Writes the buffered lines, as far as standard output accepts them. */
void log_flush (void);

/** Writes one line.  A line that cannot be written is dropped and counted
    (COUNTER_LOG_LINES_DROPPED).
    @param step name of the operation
    @param peer the remote end, NULL for none */
void log_line (log_level_t level, const char *step, const char *peer,
               const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Writes one line about one of many items, such as a job.  While there are
   too many such lines, only those about a sample of the items are written, so
    that what happened to these can be followed.  The others are counted
    (COUNTER_LOG_LINES_SKIPPED); a line log.sample tells each change. */
void log_item (log_level_t level, uint64_t item, const char *step,
               const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/** Writes an error record as one line. */
void log_err (log_level_t level, const err_t *err);

#endif

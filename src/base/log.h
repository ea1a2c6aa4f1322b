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

/** Sets the name printed on each line and the highest level printed. */
void log_open (const char *name, log_level_t most);

/** From now on lines are gathered and go to standard output, at most
    LOG_LINES_PER_SECOND; log_flush writes them.  Output that is not taken is
    dropped and counted, never waited for. */
void log_open_buffered (void);

/** Most lines a second that are gathered; a busy process decides about 300
    things a second. */
#define LOG_LINES_PER_SECOND 600U

/** Writes the gathered lines. */
void log_flush (void);

/** Writes one line.  A line that cannot be written is dropped and counted
    (COUNTER_LOG_LINES_DROPPED).
    @param step what was being done
    @param peer the other end, NULL for none */
void log_line (log_level_t level, const char *step, const char *peer,
               const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Writes an error record. */
void log_err (log_level_t level, const err_t *err);

#endif

/** @file
 * Log lines in syslog style on standard error.
 */
#include "base/log.h"
#include "base/counters.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 512

static char log_name[32] = "limpethinge";
static log_level_t log_most = LOG_LEVEL_INFO;

static const char *const level_names[] = {
  "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"
};

void
log_open (const char *name, log_level_t most)
{
  snprintf (log_name, sizeof log_name, "%s", name);
  log_most = most;
}

void
log_line (log_level_t level, const char *step, const char *peer,
          const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  char stamp[32];
  struct timespec now;
  struct tm broken;
  va_list args;
  int used;
  size_t len;

  if (level > log_most)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &broken);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &broken);
  used = snprintf (line, sizeof line, "%s.%03ldZ %s[%d] %s step=%s peer=%s ",
                   stamp, now.tv_nsec / 1000000L, log_name, (int)getpid (),
                   level_names[level], step, peer ? peer : "-");
  va_start (args, format);
  vsnprintf (line + used, sizeof line - (size_t)used - 1, format, args);
  va_end (args);
  len = strlen (line);
  line[len++] = '\n';
  if (write (STDERR_FILENO, line, len) != (ssize_t)len)
    counter_add (COUNTER_LOG_DROPPED, 1);
}

void
log_err (log_level_t level, const err_t *err)
{
  log_line (level, err->step, err->peer[0] ? err->peer : NULL, "%s (error %d)",
            err->text, err->code);
}

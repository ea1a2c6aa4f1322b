/** @file
 * Log lines in syslog style.
 */
#include "base/log.h"
#include "base/counters.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 512
#define GATHER_BYTES (64U << 10)

static char log_name[32] = "limpethinge";
static log_level_t log_most = LOG_LEVEL_INFO;

static const char *const level_names[] = {
  "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"
};

/* Lines that log_flush is to write.  */
static struct
{
  bool on;
  char bytes[GATHER_BYTES];
  size_t len;
  time_t second; /* of the lines counted in LINES */
  uint32_t lines;
} gathered;

static void gather (const char *line, size_t len, time_t second);

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
  if (gathered.on)
    gather (line, len, now.tv_sec);
  else if (write (STDERR_FILENO, line, len) != (ssize_t)len)
    counter_add (COUNTER_LOG_LINES_DROPPED, 1);
}

void
log_open_buffered (void)
{
  gathered.on = true;
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

static void
gather (const char *line, size_t len, time_t second)
{
  if (second != gathered.second)
    {
      gathered.second = second;
      gathered.lines = 0;
    }
  if (++gathered.lines > LOG_LINES_PER_SECOND
      || gathered.len + len > sizeof gathered.bytes)
    {
      counter_add (COUNTER_LOG_LINES_DROPPED, 1);
      return;
    }
  memcpy (gathered.bytes + gathered.len, line, len);
  gathered.len += len;
}

void
log_flush (void)
{
  ssize_t wrote;

  if (!gathered.len)
    return;
  wrote = write (STDOUT_FILENO, gathered.bytes, gathered.len);
  if (wrote <= 0)
    return;
  gathered.len -= (size_t)wrote;
  memmove (gathered.bytes, gathered.bytes + wrote, gathered.len);
}

void
log_err (log_level_t level, const err_t *err)
{
  log_line (level, err->step, err->peer[0] ? err->peer : NULL, "%s (error %d)",
            err->text, err->code);
}

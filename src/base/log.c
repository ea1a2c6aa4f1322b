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
#define BUFFER_BYTES (64U << 10)

static char log_name[32] = "limpethinge";
static log_level_t log_max_level = LOG_LEVEL_INFO;

static const char *const level_names[] = {
  "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"
};

/* Lines waiting for log_flush.  */
static struct
{
  bool enabled;
  char bytes[BUFFER_BYTES];
  size_t len;
  time_t second; /* second in which LINES were logged */
  uint32_t lines;
} buffer;

static void buffer_line (const char *line, size_t len, time_t second);

void
log_open (const char *name, log_level_t max_level)
{
  snprintf (log_name, sizeof log_name, "%s", name);
  log_max_level = max_level;
}

void
log_line (log_level_t level, const char *step, const char *peer,
          const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  char timestamp[32];
  struct timespec now;
  struct tm utc;
  va_list args;
  int prefix_len;
  size_t len;

  if (level > log_max_level)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  prefix_len
      = snprintf (line, sizeof line, "%s.%03ldZ %s[%d] %s step=%s peer=%s ",
                  timestamp, now.tv_nsec / 1000000L, log_name, (int)getpid (),
                  level_names[level], step, peer ? peer : "-");
  va_start (args, format);
  vsnprintf (line + prefix_len, sizeof line - (size_t)prefix_len - 1, format,
             args);
  va_end (args);
  len = strlen (line);
  line[len++] = '\n';
  if (buffer.enabled)
    buffer_line (line, len, now.tv_sec);
  else if (write (STDERR_FILENO, line, len) != (ssize_t)len)
    counter_add (COUNTER_LOG_LINES_DROPPED, 1);
}

void
log_open_buffered (void)
{
  buffer.enabled = true;
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

static void
buffer_line (const char *line, size_t len, time_t second)
{
  if (second != buffer.second)
    {
      buffer.second = second;
      buffer.lines = 0;
    }
  if (++buffer.lines > LOG_MAX_LINES_PER_SECOND
      || buffer.len + len > sizeof buffer.bytes)
    {
      counter_add (COUNTER_LOG_LINES_DROPPED, 1);
      return;
    }
  memcpy (buffer.bytes + buffer.len, line, len);
  buffer.len += len;
}

void
log_flush (void)
{
  ssize_t written;

  if (!buffer.len)
    return;
  written = write (STDOUT_FILENO, buffer.bytes, buffer.len);
  if (written <= 0)
    return;
  buffer.len -= (size_t)written;
  memmove (buffer.bytes, buffer.bytes + written, buffer.len);
}

void
log_err (log_level_t level, const err_t *err)
{
  log_line (level, err->step, err->peer[0] ? err->peer : NULL, "%s (error %d)",
            err->text, err->code);
}

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
/* Lines about items in a second; the rest of the limit is left to others. */
#define SAMPLED_LINES_MAX (LOG_MAX_LINES_PER_SECOND * 3 / 4)
#define SAMPLE_SHIFT_MAX 10U
/* Spreads identifiers, which need not be random, over all bits. */
#define SAMPLE_MULTIPLIER 0x9e3779b97f4a7c15ULL

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

/* Items whose lines are written: one of 2^SHIFT.  */
static struct
{
  uint32_t shift;
  time_t second; /* second in which LINES about items were asked for */
  uint32_t lines;
} sample;

static void write_line (log_level_t level, const char *step, const char *peer,
                        const char *format, va_list args);
static bool is_sampled (uint64_t item);
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
  va_list args;

  if (level > log_max_level)
    return;
  va_start (args, format);
  write_line (level, step, peer, format, args);
  va_end (args);
}

void
log_item (log_level_t level, uint64_t item, const char *step, const char *peer,
          const char *format, ...)
{
  va_list args;

  if (level > log_max_level)
    return;
  if (!is_sampled (item) && level >= LOG_LEVEL_INFO)
    {
      counter_add (COUNTER_LOG_LINES_SKIPPED, 1);
      return;
    }
  va_start (args, format);
  write_line (level, step, peer, format, args);
  va_end (args);
}

/* The sample halves after a second with too many lines about items, and
   doubles after one with few.  A smaller sample is a part of a larger one. */
static bool
is_sampled (uint64_t item)
{
  time_t second = time (NULL);

  if (!buffer.enabled)
    return true;
  if (second != sample.second)
    {
      uint32_t shift = sample.shift;

      if (sample.lines >> shift > SAMPLED_LINES_MAX
          && shift < SAMPLE_SHIFT_MAX)
        sample.shift++;
      else if (shift && sample.lines >> (shift - 1) < SAMPLED_LINES_MAX / 2)
        sample.shift--;
      sample.second = second;
      sample.lines = 0;
      if (sample.shift != shift)
        log_line (LOG_LEVEL_NOTICE, "log.sample", NULL,
                  "lines about one of %u items are written",
                  1U << sample.shift);
    }
  sample.lines++;
  return !sample.shift || item * SAMPLE_MULTIPLIER >> (64 - sample.shift) == 0;
}

static void
write_line (log_level_t level, const char *step, const char *peer,
            const char *format, va_list args)
{
  char line[LINE_MAX_BYTES];
  char timestamp[32];
  struct timespec now;
  struct tm utc;
  int prefix_len;
  size_t len;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  prefix_len
      = snprintf (line, sizeof line, "%s.%03ldZ %s[%d] %s step=%s peer=%s ",
                  timestamp, now.tv_nsec / 1000000L, log_name, (int)getpid (),
                  level_names[level], step, peer ? peer : "-");
  vsnprintf (line + prefix_len, sizeof line - (size_t)prefix_len - 1, format,
             args);
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

/** @file
 * Fields of a log line.
 */
#include "explain/line.h"

#include <glib.h>
#include <string.h>

static bool parse_time (const char *line, const char *program,
                        usec_t *time_us);

const char *
line_fields (const char *line, usec_t *time_us)
{
  const char *program = strstr (line, "limpethinge[");
  const char *fields = program ? strstr (program, " step=") : NULL;

  return fields && parse_time (line, program, time_us) ? fields : NULL;
}

/* Parses the ISO 8601 time that precedes the program name.  */
static bool
parse_time (const char *line, const char *program, usec_t *time_us)
{
  const char *word = program;
  GDateTime *time;
  char *text;

  while (word > line && word[-1] == ' ')
    word--;
  while (word > line && word[-1] != ' ')
    word--;
  text = g_strndup (word, strcspn (word, " "));
  time = g_date_time_new_from_iso8601 (text, NULL);
  g_free (text);
  if (!time)
    return false;
  *time_us = g_date_time_to_unix (time) * USEC_PER_SEC
             + g_date_time_get_microsecond (time);
  g_date_time_unref (time);
  return true;
}

char *
line_field (const char *fields, const char *name)
{
  char *key = g_strconcat (" ", name, "=", NULL);
  const char *value = strstr (fields, key);
  size_t skip = strlen (key);

  g_free (key);
  if (!value)
    return NULL;
  value += skip;
  return *value == '"' ? g_strndup (value + 1, strcspn (value + 1, "\""))
                       : g_strndup (value, strcspn (value, " "));
}

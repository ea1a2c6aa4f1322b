/** @file
 * Stand-in of the users' platform: what store and workers share.
 */
#include "fleet.h"

#include <stdio.h>

bool
fleet_chance (fleet_t *fleet, double share)
{
  return share > 0 && !fleet->calm && g_rand_double (fleet->random) < share;
}

void
fleet_log (const char *format, ...)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format (now, "%FT%T.%f");
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "%.23sZ %s\n", time, text);
  g_free (text);
  g_free (time);
  g_date_time_unref (now);
}

void
fleet_answer (httpd_t *httpd, handle_t http, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  httpd_answer_t answer = { .status = status, .body = blob_of (text) };

  httpd_answer (httpd, http, &answer);
  free (text);
  json_decref (body);
}

/** @file
 * Stand-in of the users' platform: what store and workers share.
 */
#include "fleet.h"

bool
fleet_chance (fleet_t *fleet, double share)
{
  return share > 0 && !fleet->calm && g_rand_double (fleet->random) < share;
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

/** @file
 * Subcommands of the operators' port: roll, status, dump, counters, drain.
 */
#include "cli/cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* The service answers a roll within 8 s. */
#define ROLL_TIMEOUT_MS 15000L
#define REQUEST_TIMEOUT_MS 10000L

static int print_resource (int argc, char **argv, const char *path,
                           const char *summary);
static int parse_operator_url (int *argc, char ***argv, char **url,
                               const char *summary);
static int send_roll (const char *url, const char *signature_path,
                      const char *path);
static int print_status (const cli_response_t *response);
static void print_shards (const json_t *status);
static void print_peers (const json_t *status);
static void print_zones (const json_t *status);
static const char *choose (bool condition, const char *yes, const char *no);

int
cli_roll (int argc, char **argv)
{
  char *url = NULL;
  char *signature = NULL;
  const GOptionEntry entries[]
      = { { "url", 'u', 0, G_OPTION_ARG_STRING, &url,
            "Operator port of any process", "http://IP:PORT" },
          { "signature", 'g', 0, G_OPTION_ARG_FILENAME, &signature,
            "Signature of the bundle", "FILE" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "BUNDLE",
                        "Puts a signed bundle into force on all processes.  "
                        "If two operators roll concurrently, one succeeds and "
                        "the other gets the version in force.",
                        1, 1);

  if (code == CLI_CONTINUE)
    code = cli_require_option (url, "--url")
                   && cli_require_option (signature, "--signature")
               ? send_roll (url, signature, argv[1])
               : CLI_USAGE;
  g_free (url);
  g_free (signature);
  return code;
}

int
cli_status (int argc, char **argv)
{
  gboolean json = FALSE;
  char *url = NULL;
  const GOptionEntry entries[]
      = { { "url", 'u', 0, G_OPTION_ARG_STRING, &url,
            "Operator port of the process", "http://IP:PORT" },
          { "json", 'j', 0, G_OPTION_ARG_NONE, &json,
            "Print the JSON response unchanged", NULL },
          G_OPTION_ENTRY_NULL };
  cli_request_t request = { .method = "GET",
                            .path = "/status",
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  cli_response_t response;
  int code = cli_parse (&argc, &argv, entries, "",
                        "Shows the state of a process.", 0, 0);

  if (code != CLI_CONTINUE)
    return code;
  if (!cli_require_option (url, "--url"))
    return CLI_USAGE;
  request.base_url = url;
  cli_send (&request, &response);
  if (json || cli_exit_code (&response) != CLI_OK)
    code = cli_response_print (&request, &response);
  else
    code = print_status (&response);
  cli_response_clear (&response);
  g_free (url);
  return code;
}

int
cli_dump (int argc, char **argv)
{
  return print_resource (argc, argv, "/dump",
                         "Shows the whole state of a process as JSON.");
}

int
cli_counters (int argc, char **argv)
{
  return print_resource (
      argc, argv, "/counters",
      "Shows the counters of a process in the Prometheus text "
      "format.");
}

int
cli_drain (int argc, char **argv)
{
  char *url;
  cli_request_t request = { .method = "POST",
                            .path = "/drain",
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  cli_response_t response;
  int code
      = parse_operator_url (&argc, &argv, &url,
                            "Stops a process: it refuses new work, finishes "
                            "running work, hands over its shards and exits.");

  if (code != CLI_CONTINUE)
    return code;
  request.base_url = url;
  cli_send (&request, &response);
  code = cli_response_print (&request, &response);
  cli_response_clear (&response);
  g_free (url);
  return code;
}

static int
print_resource (int argc, char **argv, const char *path, const char *summary)
{
  char *url;
  cli_request_t request
      = { .method = "GET", .path = path, .timeout_ms = REQUEST_TIMEOUT_MS };
  cli_response_t response;
  int code = parse_operator_url (&argc, &argv, &url, summary);

  if (code != CLI_CONTINUE)
    return code;
  request.base_url = url;
  cli_send (&request, &response);
  code = cli_response_print (&request, &response);
  cli_response_clear (&response);
  g_free (url);
  return code;
}

static int
parse_operator_url (int *argc, char ***argv, char **url, const char *summary)
{
  const GOptionEntry entries[]
      = { { "url", 'u', 0, G_OPTION_ARG_STRING, url,
            "Operator port of the process", "http://IP:PORT" },
          G_OPTION_ENTRY_NULL };
  int code;

  *url = NULL;
  code = cli_parse (argc, argv, entries, "", summary, 0, 0);
  if (code == CLI_CONTINUE && !cli_require_option (*url, "--url"))
    return CLI_USAGE;
  return code;
}

static int
send_roll (const char *url, const char *signature_path, const char *path)
{
  char *text = NULL;
  bundle_t *bundle = cli_load_bundle (path, &text);
  gsize len;
  char *signature;
  char *body;
  cli_request_t request = { .method = "POST",
                            .base_url = url,
                            .path = "/roll",
                            .timeout_ms = ROLL_TIMEOUT_MS };
  cli_response_t response;
  json_t *message;
  int code = CLI_INVALID_FILE;

  if (!bundle)
    return code;
  signature = cli_read_file (signature_path, BUNDLE_SIGNATURE_SIZE - 1, &len);
  if (signature)
    {
      message = json_pack ("{s:I, s:I, s:s, s:s}", "version",
                           (json_int_t)bundle->version, "parent",
                           (json_int_t)bundle->parent, "text", text,
                           "signature", g_strchomp (signature));
      body = json_dumps (message, JSON_COMPACT);
      request.body = blob_of (body);
      cli_send (&request, &response);
      code = cli_response_print (&request, &response);
      cli_response_clear (&response);
      json_decref (message);
      free (body);
    }
  g_free (signature);
  g_free (text);
  bundle_free (bundle);
  return code;
}

static int
print_status (const cli_response_t *response)
{
  json_t *status = json_loadb ((const char *)response->body->data,
                               response->body->len, 0, NULL);
  json_int_t node = 0;
  json_int_t bundle = 0;
  json_int_t offset = 0;
  const char *zone = "";
  const char *incarnation = "";
  const char *version = "unknown"; /* builds before 0.2.0 do not tell it */
  int ready = 0;
  int draining = 0;
  int healthy = 0;

  if (json_unpack (status, "{s:I, s?s, s:s, s:s, s:b, s:b, s:I, s:{s:I, s:b}}",
                   "node", &node, "version", &version, "zone", &zone,
                   "incarnation", &incarnation, "ready", &ready, "draining",
                   &draining, "bundle", &bundle, "log", "offset", &offset,
                   "healthy", &healthy))
    {
      json_decref (status);
      return cli_fail (CLI_ERROR, "response is not a valid status");
    }
  printf ("node %" JSON_INTEGER_FORMAT
          " in zone %s, version %s, incarnation %s: %s%s\n",
          node, zone, version, incarnation,
          choose (ready, "ready", "not ready"),
          choose (draining, ", draining", ""));
  printf ("bundle %" JSON_INTEGER_FORMAT " in force\n", bundle);
  printf ("log %s, read up to offset %" JSON_INTEGER_FORMAT "\n",
          choose (healthy, "reachable", "not reachable"), offset);
  print_shards (status);
  print_peers (status);
  print_zones (status);
  json_decref (status);
  return CLI_OK;
}

static void
print_shards (const json_t *status)
{
  const json_t *list = json_object_get (status, "shards");
  json_int_t node = json_integer_value (json_object_get (status, "node"));
  size_t owned = 0;
  size_t active = 0;
  size_t unowned = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *shard = json_array_get (list, i);
      json_int_t owner = json_integer_value (json_object_get (shard, "owner"));

      owned += owner == node;
      unowned += owner == 0;
      active += json_is_true (json_object_get (shard, "active"));
    }
  printf ("shards: %zu in all, %zu owned here, %zu active here, %zu without "
          "an owner\n",
          json_array_size (list), owned, active, unowned);
}

static void
print_peers (const json_t *status)
{
  const json_t *list = json_object_get (status, "peers");

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      json_int_t node = 0;
      json_int_t bundle = 0;
      const char *state = "";

      if (json_unpack ((json_t *)json_array_get (list, i), "{s:I, s:s, s:I}",
                       "node", &node, "state", &state, "bundle", &bundle)
          == 0)
        printf ("peer %" JSON_INTEGER_FORMAT
                ": %s, bundle %" JSON_INTEGER_FORMAT "\n",
                node, state, bundle);
    }
}

static void
print_zones (const json_t *status)
{
  const json_t *zones = json_object_get (status, "zones");
  const json_t *list = json_object_get (zones, "evacuated");

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const char *zone = "";
      json_int_t version = 0;
      json_int_t evacuated_ms = 0;

      if (json_unpack ((json_t *)json_array_get (list, i), "{s:s, s:I, s:I}",
                       "zone", &zone, "version", &version, "evacuated_ms",
                       &evacuated_ms)
          == 0)
        printf ("zone %s: evacuated for %" JSON_INTEGER_FORMAT
                " ms, version %" JSON_INTEGER_FORMAT
                "; known as of %" JSON_INTEGER_FORMAT " ms ago\n",
                zone, evacuated_ms, version,
                json_integer_value (json_object_get (zones, "age_ms")));
    }
}

static const char *
choose (bool condition, const char *yes, const char *no)
{
  return condition ? yes : no;
}

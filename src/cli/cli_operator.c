/** @file
 * Subcommands of the operator port: roll, status, dump, counters, drain.
 */
#include "cli/cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* The service answers a roll at the latest 8 s after it came in.  */
#define ROLL_TIMEOUT_MS 15000L
#define TIMEOUT_MS 10000L

static int get (int argc, char **argv, const char *path, const char *summary);
static int operator_url (int *argc, char ***argv, char **url,
                         const char *summary);
static int send_roll (const char *url, const char *signature_path,
                      const char *path);
static int show_status (const cli_answer_t *answer);
static void show_shards (const json_t *status);
static void show_peers (const json_t *status);
static const char *word (bool condition, const char *yes, const char *no);

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
                        "Of two operators who roll at once one wins; the "
                        "other is told the version in force.",
                        1, 1);

  if (code == CLI_GO_ON)
    code = cli_required (url, "--url")
                   && cli_required (signature, "--signature")
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
            "Print the answer as it is", NULL },
          G_OPTION_ENTRY_NULL };
  cli_request_t request
      = { .method = "GET", .path = "/status", .timeout_ms = TIMEOUT_MS };
  cli_answer_t answer;
  int code = cli_parse (&argc, &argv, entries, "",
                        "Shows the state of a process.", 0, 0);

  if (code != CLI_GO_ON)
    return code;
  if (!cli_required (url, "--url"))
    return CLI_USAGE;
  request.url = url;
  cli_send (&request, &answer);
  if (json || cli_answer_code (&answer) != CLI_OK)
    code = cli_answer_show (&request, &answer);
  else
    code = show_status (&answer);
  cli_answer_clear (&answer);
  g_free (url);
  return code;
}

int
cli_dump (int argc, char **argv)
{
  return get (argc, argv, "/dump",
              "Shows the whole state of a process as JSON.");
}

int
cli_counters (int argc, char **argv)
{
  return get (argc, argv, "/counters",
              "Shows the counters of a process in the Prometheus text "
              "format.");
}

int
cli_drain (int argc, char **argv)
{
  char *url;
  cli_request_t request
      = { .method = "POST", .path = "/drain", .timeout_ms = TIMEOUT_MS };
  cli_answer_t answer;
  int code = operator_url (&argc, &argv, &url,
                           "Stops a process: it refuses new work, finishes "
                           "what runs, hands over its shards and exits.");

  if (code != CLI_GO_ON)
    return code;
  request.url = url;
  cli_send (&request, &answer);
  code = cli_answer_show (&request, &answer);
  cli_answer_clear (&answer);
  g_free (url);
  return code;
}

static int
get (int argc, char **argv, const char *path, const char *summary)
{
  char *url;
  cli_request_t request
      = { .method = "GET", .path = path, .timeout_ms = TIMEOUT_MS };
  cli_answer_t answer;
  int code = operator_url (&argc, &argv, &url, summary);

  if (code != CLI_GO_ON)
    return code;
  request.url = url;
  cli_send (&request, &answer);
  code = cli_answer_show (&request, &answer);
  cli_answer_clear (&answer);
  g_free (url);
  return code;
}

static int
operator_url (int *argc, char ***argv, char **url, const char *summary)
{
  const GOptionEntry entries[]
      = { { "url", 'u', 0, G_OPTION_ARG_STRING, url,
            "Operator port of the process", "http://IP:PORT" },
          G_OPTION_ENTRY_NULL };
  int code;

  *url = NULL;
  code = cli_parse (argc, argv, entries, "", summary, 0, 0);
  if (code == CLI_GO_ON && !cli_required (*url, "--url"))
    return CLI_USAGE;
  return code;
}

static int
send_roll (const char *url, const char *signature_path, const char *path)
{
  char *text = NULL;
  bundle_t *bundle = cli_bundle (path, &text);
  gsize len;
  char *signature;
  char *body;
  cli_request_t request = { .method = "POST",
                            .url = url,
                            .path = "/roll",
                            .timeout_ms = ROLL_TIMEOUT_MS };
  cli_answer_t answer;
  json_t *message;
  int code = CLI_PROBLEMS;

  if (!bundle)
    return code;
  signature = cli_read (signature_path, BUNDLE_SIGNATURE_SIZE - 1, &len);
  if (signature)
    {
      message = json_pack ("{s:I, s:I, s:s, s:s}", "version",
                           (json_int_t)bundle->version, "parent",
                           (json_int_t)bundle->parent, "text", text,
                           "signature", g_strchomp (signature));
      body = json_dumps (message, JSON_COMPACT);
      request.body = blob_of (body);
      cli_send (&request, &answer);
      code = cli_answer_show (&request, &answer);
      cli_answer_clear (&answer);
      json_decref (message);
      free (body);
    }
  g_free (signature);
  g_free (text);
  bundle_free (bundle);
  return code;
}

static int
show_status (const cli_answer_t *answer)
{
  json_t *status = json_loadb ((const char *)answer->body->data,
                               answer->body->len, 0, NULL);
  json_int_t node = 0;
  json_int_t bundle = 0;
  json_int_t offset = 0;
  const char *zone = "";
  const char *incarnation = "";
  int ready = 0;
  int draining = 0;
  int healthy = 0;

  if (json_unpack (status, "{s:I, s:s, s:s, s:b, s:b, s:I, s:{s:I, s:b}}",
                   "node", &node, "zone", &zone, "incarnation", &incarnation,
                   "ready", &ready, "draining", &draining, "bundle", &bundle,
                   "log", "offset", &offset, "healthy", &healthy))
    {
      json_decref (status);
      return cli_fail (CLI_REFUSED, "the answer is not a status");
    }
  printf ("node %" JSON_INTEGER_FORMAT " in zone %s, incarnation %s: %s%s\n",
          node, zone, incarnation, word (ready, "ready", "not ready"),
          word (draining, ", draining", ""));
  printf ("bundle %" JSON_INTEGER_FORMAT " in force\n", bundle);
  printf ("log %s, read up to offset %" JSON_INTEGER_FORMAT "\n",
          word (healthy, "reachable", "not reachable"), offset);
  show_shards (status);
  show_peers (status);
  json_decref (status);
  return CLI_OK;
}

static void
show_shards (const json_t *status)
{
  const json_t *list = json_object_get (status, "shards");
  json_int_t node = json_integer_value (json_object_get (status, "node"));
  size_t own = 0;
  size_t active = 0;
  size_t free_shards = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *shard = json_array_get (list, i);
      json_int_t owner = json_integer_value (json_object_get (shard, "owner"));

      own += owner == node;
      free_shards += owner == 0;
      active += json_is_true (json_object_get (shard, "active"));
    }
  printf ("shards: %zu in all, %zu owned here, %zu active here, %zu without "
          "an owner\n",
          json_array_size (list), own, active, free_shards);
}

static void
show_peers (const json_t *status)
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

static const char *
word (bool condition, const char *yes, const char *no)
{
  return condition ? yes : no;
}

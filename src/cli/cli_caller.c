/** @file
 * Subcommands of the callers' port: submit and order.
 */
#include "cli/cli.h"

#include <inttypes.h>
#include <string.h>

#define BODY_MAX_BYTES 1048576U
#define TIMEOUT_MS 30000L
#define SHORTEST_MS 100L
#define RETRY_WAIT_USEC 1000000U
#define WATCH_DEFAULT_S 86400
#define ORDER_HEX_MAX 16U
#define STATUS_OK 200
/* An order carries the status of its worker; from here on it has failed.  */
#define STATUS_FAILED 300

#define ORDER_SIZES 4
#define UNSET (-1)

typedef struct
{
  char *url;
  char *key_file;
  char *key;
} caller_t;

typedef struct
{
  char *class_name;
  char *key;
  gint64 sizes[ORDER_SIZES]; /* millicores, memory, accelerators, run time */
  gboolean urgent;
} order_options_t;

#define CALLER_ENTRIES(caller)                                                \
  { "url",                                                                    \
    'u',                                                                      \
    0,                                                                        \
    G_OPTION_ARG_STRING,                                                      \
    &(caller).url,                                                            \
    "Callers' port of any process",                                           \
    "http://IP:PORT" },                                                       \
  {                                                                           \
    "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &(caller).key_file,            \
        "File with the member's bearer key", "FILE"                           \
  }

static int send_work (const caller_t *caller, const char *class_name,
                      const char *file);
static int order_submit (int argc, char **argv);
static int send_order (const caller_t *caller, const order_options_t *options,
                       const char *path);
static GPtrArray *order_headers (const order_options_t *options);
static int order_show (int argc, char **argv);
static int order_list (int argc, char **argv);
static int order_watch (int argc, char **argv);
static int order_cancel (int argc, char **argv);
static int caller_open (caller_t *caller);
static void caller_clear (caller_t *caller);
static int exchange (const caller_t *caller, cli_request_t *request);
static int with_order (int argc, char **argv, const char *method,
                       const char *summary);
static char *order_path (const char *id, const char *suffix);
static int watch (const caller_t *caller, const char *path, int limit_s);
static int watch_step (const cli_answer_t *answer);
static bool header_safe (const char *text, const char *option);

static const cli_command_t commands[] = {
  { "submit", order_submit, "submit a batch order" },
  { "show", order_show, "show an order" },
  { "list", order_list, "list the member's orders" },
  { "watch", order_watch, "wait for the end of an order" },
  { "cancel", order_cancel, "cancel an order" },
};

int
cli_order (int argc, char **argv)
{
  return cli_dispatch ("limpethinge order", commands, G_N_ELEMENTS (commands),
                       argc, argv);
}

int
cli_submit (int argc, char **argv)
{
  caller_t caller = { 0 };
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller), G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "CLASS [FILE]",
                        "Sends a latency-critical request with the body in "
                        "FILE or from standard input.",
                        1, 2);

  if (code == CLI_GO_ON)
    code = caller_open (&caller);
  if (code == CLI_GO_ON)
    code = send_work (&caller, argv[1], argc > 2 ? argv[2] : "-");
  caller_clear (&caller);
  return code;
}

static int
send_work (const caller_t *caller, const char *class_name, const char *file)
{
  cli_request_t request = { .method = "POST", .timeout_ms = TIMEOUT_MS };
  gsize len;
  char *body;
  char *path;
  int code;

  if (!ini_name_valid (class_name))
    return cli_fail (CLI_USAGE, "\"%s\" is no name of a class", class_name);
  body = cli_read (file, BODY_MAX_BYTES, &len);
  if (!body)
    return CLI_REFUSED;
  path = g_strconcat ("/run/", class_name, NULL);
  request.path = path;
  request.body = (blob_t){ body, (uint32_t)len };
  code = exchange (caller, &request);
  g_free (path);
  g_free (body);
  return code;
}

static int
order_submit (int argc, char **argv)
{
  caller_t caller = { 0 };
  order_options_t options = { .sizes = { UNSET, UNSET, UNSET, UNSET } };
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller),
          { "class", 'c', 0, G_OPTION_ARG_STRING, &options.class_name,
            "Class of the work", "NAME" },
          { "idempotency-key", 'i', 0, G_OPTION_ARG_STRING, &options.key,
            "Names the order; a repeated key gets the first order", "TEXT" },
          { "millicores", 0, 0, G_OPTION_ARG_INT64, &options.sizes[0],
            "Size in thousandths of a core", "NUMBER" },
          { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &options.sizes[1], "Memory",
            "NUMBER" },
          { "accelerators", 0, 0, G_OPTION_ARG_INT64, &options.sizes[2],
            "Number of accelerators", "NUMBER" },
          { "declared-ms", 0, 0, G_OPTION_ARG_INT64, &options.sizes[3],
            "Expected run time", "NUMBER" },
          { "urgent", 0, 0, G_OPTION_ARG_NONE, &options.urgent,
            "Goes before orders that are not urgent", NULL },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "[FILE]",
                        "Submits a batch order with the data in FILE or from "
                        "standard input.",
                        0, 1);

  if (code == CLI_GO_ON)
    code = caller_open (&caller);
  if (code == CLI_GO_ON)
    code = send_order (&caller, &options, argc > 1 ? argv[1] : "-");
  g_free (options.class_name);
  g_free (options.key);
  caller_clear (&caller);
  return code;
}

static int
send_order (const caller_t *caller, const order_options_t *options,
            const char *path)
{
  cli_request_t request
      = { .method = "POST", .path = "/orders", .timeout_ms = TIMEOUT_MS };
  GPtrArray *headers;
  gsize len;
  char *body;
  int code;

  if (!header_safe (options->class_name, "--class")
      || !header_safe (options->key, "--idempotency-key"))
    return CLI_USAGE;
  body = cli_read (path, BODY_MAX_BYTES, &len);
  if (!body)
    return CLI_REFUSED;
  headers = order_headers (options);
  request.headers = (char **)headers->pdata;
  request.body = (blob_t){ body, (uint32_t)len };
  code = exchange (caller, &request);
  g_ptr_array_free (headers, TRUE);
  g_free (body);
  return code;
}

static GPtrArray *
order_headers (const order_options_t *options)
{
  static const char *const names[ORDER_SIZES]
      = { "Millicores", "Memory-Mb", "Accelerators", "Declared-Ms" };
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (
      headers, g_strconcat ("Limpethinge-Class: ", options->class_name, NULL));
  g_ptr_array_add (headers,
                   g_strconcat ("Idempotency-Key: ", options->key, NULL));
  if (options->urgent)
    g_ptr_array_add (headers, g_strdup ("Limpethinge-Urgent: 1"));
  for (int i = 0; i < ORDER_SIZES; i++)
    if (options->sizes[i] != UNSET)
      g_ptr_array_add (headers,
                       g_strdup_printf ("Limpethinge-%s: %" PRId64, names[i],
                                        (int64_t)options->sizes[i]));
  g_ptr_array_add (headers, NULL);
  return headers;
}

static int
order_show (int argc, char **argv)
{
  return with_order (argc, argv, "GET", "Shows an order.");
}

static int
order_cancel (int argc, char **argv)
{
  return with_order (argc, argv, "DELETE",
                     "Cancels an order; work that runs is stopped.");
}

static int
with_order (int argc, char **argv, const char *method, const char *summary)
{
  caller_t caller = { 0 };
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller), G_OPTION_ENTRY_NULL };
  cli_request_t request = { .method = method, .timeout_ms = TIMEOUT_MS };
  char *path;
  int code = cli_parse (&argc, &argv, entries, "ORDER", summary, 1, 1);

  if (code == CLI_GO_ON)
    code = caller_open (&caller);
  path = code == CLI_GO_ON ? order_path (argv[1], "") : NULL;
  request.path = path;
  if (code == CLI_GO_ON)
    code = path ? exchange (&caller, &request) : CLI_USAGE;
  g_free (path);
  caller_clear (&caller);
  return code;
}

static int
order_list (int argc, char **argv)
{
  caller_t caller = { 0 };
  char *key = NULL;
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller),
          { "idempotency-key", 'i', 0, G_OPTION_ARG_STRING, &key,
            "Only the order with this key", "TEXT" },
          G_OPTION_ENTRY_NULL };
  cli_request_t request = { .method = "GET", .timeout_ms = TIMEOUT_MS };
  char *path;
  char *escaped;
  int code = cli_parse (&argc, &argv, entries, "",
                        "Lists the member's orders, newest first.", 0, 0);

  if (code == CLI_GO_ON)
    code = caller_open (&caller);
  escaped = key ? g_uri_escape_string (key, NULL, FALSE) : NULL;
  path = escaped ? g_strconcat ("/orders?key=", escaped, NULL)
                 : g_strdup ("/orders");
  request.path = path;
  if (code == CLI_GO_ON)
    code = exchange (&caller, &request);
  g_free (path);
  g_free (escaped);
  g_free (key);
  caller_clear (&caller);
  return code;
}

static int
order_watch (int argc, char **argv)
{
  caller_t caller = { 0 };
  int limit_s = WATCH_DEFAULT_S;
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller),
          { "timeout", 't', 0, G_OPTION_ARG_INT, &limit_s,
            "Longest wait (default 86400)", "SECONDS" },
          G_OPTION_ENTRY_NULL };
  char *path;
  int code = cli_parse (&argc, &argv, entries, "ORDER",
                        "Waits until an order has ended and shows it.  Goes "
                        "on while the service cannot be reached.",
                        1, 1);

  if (code == CLI_GO_ON)
    code = caller_open (&caller);
  path = code == CLI_GO_ON ? order_path (argv[1], "/wait") : NULL;
  if (code == CLI_GO_ON)
    code = path ? watch (&caller, path, limit_s) : CLI_USAGE;
  g_free (path);
  caller_clear (&caller);
  return code;
}

static int
watch (const caller_t *caller, const char *path, int limit_s)
{
  gint64 end = g_get_monotonic_time () + limit_s * USEC_PER_SEC;
  cli_request_t request = { .method = "GET",
                            .url = caller->url,
                            .key = caller->key,
                            .path = path,
                            .timeout_ms = TIMEOUT_MS };
  int code = CLI_GO_ON;

  while (code == CLI_GO_ON)
    {
      cli_answer_t answer;
      gint64 left_ms = (end - g_get_monotonic_time ()) / USEC_PER_MSEC;

      /* The service holds a wait for 20 s; a shorter limit ends it here.  */
      request.timeout_ms = CLAMP (left_ms, SHORTEST_MS, TIMEOUT_MS);
      cli_send (&request, &answer);
      code = watch_step (&answer);
      if (code == CLI_GO_ON && g_get_monotonic_time () >= end)
        code = CLI_TRY_AGAIN;
      if (code != CLI_GO_ON)
        (void)cli_answer_show (&request, &answer);
      else if (answer.status != STATUS_OK)
        g_usleep (RETRY_WAIT_USEC);
      cli_answer_clear (&answer);
    }
  return code;
}

/* CLI_GO_ON until the order has ended or the answer is a final refusal.  An
   order whose outcome is not "ran" with a status below 300 has failed.  */
static int
watch_step (const cli_answer_t *answer)
{
  const char *body = (const char *)answer->body->data;
  json_t *order;
  const char *state = "";
  const char *outcome = "";
  json_int_t status = 0;
  int code = cli_answer_code (answer);

  if (code != CLI_OK)
    return answer->status && code == CLI_REFUSED ? code : CLI_GO_ON;
  order = json_loadb (body ? body : "", answer->body->len, 0, NULL);
  (void)json_unpack (order, "{s?s, s?s, s?I}", "state", &state, "outcome",
                     &outcome, "status", &status);
  if (strcmp (state, "ended") != 0)
    code = order ? CLI_GO_ON : CLI_REFUSED;
  else if (strcmp (outcome, "ran") != 0 || status >= STATUS_FAILED)
    code = CLI_REFUSED;
  json_decref (order);
  return code;
}

static int
exchange (const caller_t *caller, cli_request_t *request)
{
  cli_answer_t answer;
  int code;

  request->url = caller->url;
  request->key = caller->key;
  cli_send (request, &answer);
  code = cli_answer_show (request, &answer);
  cli_answer_clear (&answer);
  return code;
}

static int
caller_open (caller_t *caller)
{
  if (!cli_required (caller->url, "--url")
      || !cli_required (caller->key_file, "--key-file"))
    return CLI_USAGE;
  caller->key = cli_key (caller->key_file);
  return caller->key ? CLI_GO_ON : CLI_REFUSED;
}

static void
caller_clear (caller_t *caller)
{
  g_free (caller->url);
  g_free (caller->key_file);
  g_free (caller->key);
}

static char *
order_path (const char *id, const char *suffix)
{
  size_t len = strspn (id, "0123456789abcdefABCDEF");

  if (len > 0 && len <= ORDER_HEX_MAX && !id[len])
    return g_strconcat ("/orders/", id, suffix, NULL);
  (void)cli_fail (CLI_USAGE, "\"%s\" is no order; up to %u hex digits are", id,
                  ORDER_HEX_MAX);
  return NULL;
}

/* A line end inside a value would begin another header.  */
static bool
header_safe (const char *text, const char *option)
{
  if (!cli_required (text, option))
    return false;
  for (const char *c = text; *c; c++)
    if (!g_ascii_isprint (*c))
      {
        (void)cli_fail (CLI_USAGE, "option %s: printable ASCII is allowed",
                        option);
        return false;
      }
  return true;
}

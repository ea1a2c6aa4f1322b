/** @file
 * Subcommands of the callers' port: submit and order.
 */
#include "cli/cli.h"

#include <inttypes.h>
#include <string.h>

#define BODY_MAX_BYTES 1048576U
#define REQUEST_TIMEOUT_MS 30000L
#define REQUEST_TIMEOUT_MIN_MS 100L
#define RETRY_DELAY_USEC 1000000U
#define WATCH_TIMEOUT_DEFAULT_S 86400
#define ORDER_ID_MAX_DIGITS 16U
#define STATUS_OK 200
/* Lowest HTTP status by which a worker reports that an order failed. */
#define FAILED_STATUS_MIN 300

#define NUMERIC_OPTION_COUNT 4
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
  /* millicores, memory, accelerators, expected run time */
  gint64 numbers[NUMERIC_OPTION_COUNT];
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

static int submit_request (const caller_t *caller, const char *class_name,
                           const char *file);
static int order_submit (int argc, char **argv);
static int send_order (const caller_t *caller, const order_options_t *options,
                       const char *path);
static GPtrArray *order_headers (const order_options_t *options);
static int order_show (int argc, char **argv);
static int order_list (int argc, char **argv);
static int order_watch (int argc, char **argv);
static int order_cancel (int argc, char **argv);
static int caller_init (caller_t *caller);
static void caller_clear (caller_t *caller);
static int send_and_print (const caller_t *caller, cli_request_t *request);
static int request_order (int argc, char **argv, const char *method,
                          const char *summary);
static char *order_path (const char *id, const char *suffix);
static int poll_order (const caller_t *caller, const char *path,
                       int timeout_s);
static int poll_result (const cli_response_t *response);
static bool check_header_value (const char *text, const char *option);

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

  if (code == CLI_CONTINUE)
    code = caller_init (&caller);
  if (code == CLI_CONTINUE)
    code = submit_request (&caller, argv[1], argc > 2 ? argv[2] : "-");
  caller_clear (&caller);
  return code;
}

static int
submit_request (const caller_t *caller, const char *class_name,
                const char *file)
{
  cli_request_t request
      = { .method = "POST", .timeout_ms = REQUEST_TIMEOUT_MS };
  gsize len;
  char *body;
  char *path;
  int code;

  if (!ini_name_valid (class_name))
    return cli_fail (CLI_USAGE, "invalid class name \"%s\"", class_name);
  body = cli_read_file (file, BODY_MAX_BYTES, &len);
  if (!body)
    return CLI_ERROR;
  path = g_strconcat ("/run/", class_name, NULL);
  request.path = path;
  request.body = (blob_t){ body, (uint32_t)len };
  code = send_and_print (caller, &request);
  g_free (path);
  g_free (body);
  return code;
}

static int
order_submit (int argc, char **argv)
{
  caller_t caller = { 0 };
  order_options_t options = { .numbers = { UNSET, UNSET, UNSET, UNSET } };
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller),
          { "class", 'c', 0, G_OPTION_ARG_STRING, &options.class_name,
            "Class of the work", "NAME" },
          { "idempotency-key", 'i', 0, G_OPTION_ARG_STRING, &options.key,
            "Idempotency key; a repeated key returns the first order",
            "TEXT" },
          { "millicores", 0, 0, G_OPTION_ARG_INT64, &options.numbers[0],
            "CPU in thousandths of a core", "NUMBER" },
          { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &options.numbers[1],
            "Memory", "NUMBER" },
          { "accelerators", 0, 0, G_OPTION_ARG_INT64, &options.numbers[2],
            "Number of accelerators", "NUMBER" },
          { "declared-ms", 0, 0, G_OPTION_ARG_INT64, &options.numbers[3],
            "Expected run time", "NUMBER" },
          { "urgent", 0, 0, G_OPTION_ARG_NONE, &options.urgent,
            "Take precedence over orders that are not urgent", NULL },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "[FILE]",
                        "Submits a batch order with the data in FILE or from "
                        "standard input.",
                        0, 1);

  if (code == CLI_CONTINUE)
    code = caller_init (&caller);
  if (code == CLI_CONTINUE)
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
  cli_request_t request = { .method = "POST",
                            .path = "/orders",
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  GPtrArray *headers;
  gsize len;
  char *body;
  int code;

  if (!check_header_value (options->class_name, "--class")
      || !check_header_value (options->key, "--idempotency-key"))
    return CLI_USAGE;
  body = cli_read_file (path, BODY_MAX_BYTES, &len);
  if (!body)
    return CLI_ERROR;
  headers = order_headers (options);
  request.headers = (char **)headers->pdata;
  request.body = (blob_t){ body, (uint32_t)len };
  code = send_and_print (caller, &request);
  g_ptr_array_free (headers, TRUE);
  g_free (body);
  return code;
}

static GPtrArray *
order_headers (const order_options_t *options)
{
  static const char *const names[NUMERIC_OPTION_COUNT]
      = { "Millicores", "Memory-Mb", "Accelerators", "Declared-Ms" };
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (
      headers, g_strconcat ("Limpethinge-Class: ", options->class_name, NULL));
  g_ptr_array_add (headers,
                   g_strconcat ("Idempotency-Key: ", options->key, NULL));
  if (options->urgent)
    g_ptr_array_add (headers, g_strdup ("Limpethinge-Urgent: 1"));
  for (int i = 0; i < NUMERIC_OPTION_COUNT; i++)
    if (options->numbers[i] != UNSET)
      g_ptr_array_add (headers,
                       g_strdup_printf ("Limpethinge-%s: %" PRId64, names[i],
                                        (int64_t)options->numbers[i]));
  g_ptr_array_add (headers, NULL);
  return headers;
}

static int
order_show (int argc, char **argv)
{
  return request_order (argc, argv, "GET", "Shows an order.");
}

static int
order_cancel (int argc, char **argv)
{
  return request_order (argc, argv, "DELETE",
                        "Cancels an order; running work is stopped.");
}

static int
request_order (int argc, char **argv, const char *method, const char *summary)
{
  caller_t caller = { 0 };
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller), G_OPTION_ENTRY_NULL };
  cli_request_t request
      = { .method = method, .timeout_ms = REQUEST_TIMEOUT_MS };
  char *path;
  int code = cli_parse (&argc, &argv, entries, "ORDER", summary, 1, 1);

  if (code == CLI_CONTINUE)
    code = caller_init (&caller);
  path = code == CLI_CONTINUE ? order_path (argv[1], "") : NULL;
  request.path = path;
  if (code == CLI_CONTINUE)
    code = path ? send_and_print (&caller, &request) : CLI_USAGE;
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
  cli_request_t request
      = { .method = "GET", .timeout_ms = REQUEST_TIMEOUT_MS };
  char *path;
  char *escaped;
  int code = cli_parse (&argc, &argv, entries, "",
                        "Lists the member's orders, newest first.", 0, 0);

  if (code == CLI_CONTINUE)
    code = caller_init (&caller);
  escaped = key ? g_uri_escape_string (key, NULL, FALSE) : NULL;
  path = escaped ? g_strconcat ("/orders?key=", escaped, NULL)
                 : g_strdup ("/orders");
  request.path = path;
  if (code == CLI_CONTINUE)
    code = send_and_print (&caller, &request);
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
  int timeout_s = WATCH_TIMEOUT_DEFAULT_S;
  const GOptionEntry entries[]
      = { CALLER_ENTRIES (caller),
          { "timeout", 't', 0, G_OPTION_ARG_INT, &timeout_s,
            "Longest wait (default 86400)", "SECONDS" },
          G_OPTION_ENTRY_NULL };
  char *path;
  int code
      = cli_parse (&argc, &argv, entries, "ORDER",
                   "Waits until an order has ended and shows it.  Retries "
                   "while the service is unreachable.",
                   1, 1);

  if (code == CLI_CONTINUE)
    code = caller_init (&caller);
  path = code == CLI_CONTINUE ? order_path (argv[1], "/wait") : NULL;
  if (code == CLI_CONTINUE)
    code = path ? poll_order (&caller, path, timeout_s) : CLI_USAGE;
  g_free (path);
  caller_clear (&caller);
  return code;
}

static int
poll_order (const caller_t *caller, const char *path, int timeout_s)
{
  gint64 deadline = g_get_monotonic_time () + timeout_s * USEC_PER_SEC;
  cli_request_t request = { .method = "GET",
                            .base_url = caller->url,
                            .key = caller->key,
                            .path = path,
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  int code = CLI_CONTINUE;

  while (code == CLI_CONTINUE)
    {
      cli_response_t response;
      gint64 remaining_ms
          = (deadline - g_get_monotonic_time ()) / USEC_PER_MSEC;

      /* The service holds a long poll for 20 s; the client times out earlier
         if less time remains. */
      request.timeout_ms
          = CLAMP (remaining_ms, REQUEST_TIMEOUT_MIN_MS, REQUEST_TIMEOUT_MS);
      cli_send (&request, &response);
      code = poll_result (&response);
      if (code == CLI_CONTINUE && g_get_monotonic_time () >= deadline)
        code = CLI_TEMPFAIL;
      if (code != CLI_CONTINUE)
        (void)cli_response_print (&request, &response);
      else if (response.status != STATUS_OK)
        g_usleep (RETRY_DELAY_USEC);
      cli_response_clear (&response);
    }
  return code;
}

/* @return CLI_CONTINUE until the order has ended or the response is a
   permanent error.  An order has failed unless its outcome is "ran" and its
   status is below 300.  */
static int
poll_result (const cli_response_t *response)
{
  const char *body = (const char *)response->body->data;
  json_t *order;
  const char *state = "";
  const char *outcome = "";
  json_int_t status = 0;
  int code = cli_exit_code (response);

  if (code != CLI_OK)
    return response->status && code == CLI_ERROR ? code : CLI_CONTINUE;
  order = json_loadb (body ? body : "", response->body->len, 0, NULL);
  (void)json_unpack (order, "{s?s, s?s, s?I}", "state", &state, "outcome",
                     &outcome, "status", &status);
  if (strcmp (state, "ended") != 0)
    code = order ? CLI_CONTINUE : CLI_ERROR;
  else if (strcmp (outcome, "ran") != 0 || status >= FAILED_STATUS_MIN)
    code = CLI_ERROR;
  json_decref (order);
  return code;
}

static int
send_and_print (const caller_t *caller, cli_request_t *request)
{
  cli_response_t response;
  int code;

  request->base_url = caller->url;
  request->key = caller->key;
  cli_send (request, &response);
  code = cli_response_print (request, &response);
  cli_response_clear (&response);
  return code;
}

static int
caller_init (caller_t *caller)
{
  if (!cli_require_option (caller->url, "--url")
      || !cli_require_option (caller->key_file, "--key-file"))
    return CLI_USAGE;
  caller->key = cli_read_bearer_key (caller->key_file);
  return caller->key ? CLI_CONTINUE : CLI_ERROR;
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

  if (len > 0 && len <= ORDER_ID_MAX_DIGITS && !id[len])
    return g_strconcat ("/orders/", id, suffix, NULL);
  (void)cli_fail (CLI_USAGE,
                  "invalid order ID \"%s\": expected 1 to %u hex digits", id,
                  ORDER_ID_MAX_DIGITS);
  return NULL;
}

/* Rejects line breaks in particular, which would inject another header.  */
static bool
check_header_value (const char *text, const char *option)
{
  if (!cli_require_option (text, option))
    return false;
  for (const char *c = text; *c; c++)
    if (!g_ascii_isprint (*c))
      {
        (void)cli_fail (CLI_USAGE,
                        "option %s: only printable ASCII is allowed", option);
        return false;
      }
  return true;
}

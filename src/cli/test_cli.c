/* Tests of the subcommands against an HTTP server in this process. */
#include "cli/cli.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TEST_KEY "test-bearer-key-0123"

/* The next response of the server and the last request received. */
static struct
{
  unsigned status;
  const char *outcome;
  const char *retry_after;
  const char *body;
  char last_request[128];
  char authorization[64];
} server;

static struct MHD_Daemon *daemon_handle;
static char url[64];
static char dir[] = "/tmp/test-cli-XXXXXX";

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *size, void **tag)
{
  const char *query
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "key");
  const char *key = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                 "Authorization");
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)ctx;
  (void)version;
  (void)data;
  if (!*tag || *size)
    {
      *tag = &server;
      *size = 0;
      return MHD_YES;
    }
  g_snprintf (server.last_request, sizeof server.last_request, "%s %s%s%s",
              method, path, query ? "?" : "", query ? query : "");
  g_strlcpy (server.authorization, key ? key : "",
             sizeof server.authorization);
  response = MHD_create_response_from_buffer (strlen (server.body),
                                              (void *)(uintptr_t)server.body,
                                              MHD_RESPMEM_PERSISTENT);
  if (server.outcome)
    MHD_add_response_header (response, "Limpethinge-Outcome", server.outcome);
  if (server.retry_after)
    MHD_add_response_header (response, "Retry-After", server.retry_after);
  result = MHD_queue_response (connection, server.status, response);
  MHD_destroy_response (response);
  return result;
}

static int
setup (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  const union MHD_DaemonInfo *info;

  daemon_handle = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request, NULL,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  if (!daemon_handle || !g_mkdtemp (dir))
    return 1;
  info = MHD_get_daemon_info (daemon_handle, MHD_DAEMON_INFO_BIND_PORT);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u", info->port);
  return 0;
}

static int
teardown (void)
{
  static const char *const names[] = { "key", "body" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_build_filename (dir, names[i], NULL);

      (void)unlink (path);
      g_free (path);
    }
  MHD_stop_daemon (daemon_handle);
  return rmdir (dir);
}

/* Writes a file into the test directory.
   @return its path, valid until the next call */
static const char *
write_file (const char *name, const char *text)
{
  static char path[128];

  g_snprintf (path, sizeof path, "%s/%s", dir, name);
  CU_ASSERT (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Runs a command line; "@URL", "@KEY" and "@BODY" are replaced. */
static int
run (int (*command) (int, char **), const char *line)
{
  char *key = g_strdup (write_file ("key", TEST_KEY "\n"));
  char *body = g_strdup (write_file ("body", "data"));
  char **words = g_strsplit (line, " ", -1);
  int count = (int)g_strv_length (words);
  char **args = g_new0 (char *, count + 1);
  int code;

  for (int i = 0; i < count; i++)
    args[i] = strcmp (words[i], "@URL") == 0    ? url
              : strcmp (words[i], "@KEY") == 0  ? key
              : strcmp (words[i], "@BODY") == 0 ? body
                                                : words[i];
  code = command (count, args);
  g_free (args);
  g_strfreev (words);
  g_free (key);
  g_free (body);
  return code;
}

#define SUBMIT "submit --url @URL --key-file @KEY proof @BODY"
#define CALLER_OPTIONS " --url @URL --key-file @KEY "
#define ORDER_SUBMIT                                                          \
  "order submit" CALLER_OPTIONS "--class plates --idempotency-key k "
#define ENDED_ORDER(outcome, status)                                          \
  "{\"state\":\"ended\",\"outcome\":\"" outcome "\",\"status\":" status "}"
/* The first is that of a build that does not tell its version. */
#define EARLIER_STATUS_BODY "{\"node\":1," STATUS_FIELDS
#define STATUS_BODY "{\"node\":1,\"version\":\"0.2.0\"," STATUS_FIELDS
#define STATUS_FIELDS                                                         \
  "\"incarnation\":\"a\",\"zone\":\"z\",\"ready\":true,"                      \
  "\"draining\":false,\"bundle\":3,\"log\":{\"offset\":9,\"healthy\":true},"  \
  "\"shards\":[{\"shard\":0,\"owner\":1,\"epoch\":1,\"active\":true}],"       \
  "\"peers\":[{\"node\":2,\"state\":\"live\",\"bundle\":3}],"                 \
  "\"zones\":{\"age_ms\":40,\"evacuated\":[{\"zone\":\"athens\","             \
  "\"version\":7,\"evacuated_ms\":900}]}}"

/* Guards against an exit code that makes a script retry work that may have
   run, or give up on work that was not run, and against a wrong request
   path. */
static const struct
{
  int (*command) (int, char **);
  const char *line;
  const char *outcome;
  const char *body;
  const char *last_request;
  unsigned status;
  int code;
} cases[] = {
  { cli_submit, SUBMIT, "ran", "answer", "POST /run/proof", 200, CLI_OK },
  { cli_submit, SUBMIT, "not-run", "", "POST /run/proof", 429, CLI_TEMPFAIL },
  { cli_submit, SUBMIT, "not-run", "", "POST /run/proof", 503, CLI_TEMPFAIL },
  { cli_submit, SUBMIT, "not-run", "", "POST /run/proof", 504, CLI_TEMPFAIL },
  { cli_submit, SUBMIT, "unknown", "", "POST /run/proof", 504, CLI_ERROR },
  { cli_submit, SUBMIT, "unknown", "", "POST /run/proof", 502, CLI_ERROR },
  { cli_submit, SUBMIT, "not-run", "", "POST /run/proof", 401, CLI_ERROR },
  { cli_submit, "submit --url @URL --key-file @KEY a/b", NULL, "", "", 0,
    CLI_USAGE },
  { cli_submit, "submit --url @URL --key-file @BODY proof", NULL, "", "", 0,
    CLI_ERROR },
  { cli_order, ORDER_SUBMIT "--urgent @BODY", NULL, "{}", "POST /orders", 201,
    CLI_OK },
  { cli_order, ORDER_SUBMIT "--millicores x @BODY", NULL, "", "", 0,
    CLI_USAGE },
  { cli_order, ORDER_SUBMIT "@BODY", "unknown", "", "POST /orders", 502,
    CLI_ERROR },
  { cli_order, "order submit" CALLER_OPTIONS "--class plates @BODY", NULL, "",
    "", 0, CLI_USAGE },
  { cli_order, "order show" CALLER_OPTIONS "00ff", NULL, "{}",
    "GET /orders/00ff", 200, CLI_OK },
  { cli_order, "order show" CALLER_OPTIONS "../dump", NULL, "", "", 0,
    CLI_USAGE },
  { cli_order, "order show" CALLER_OPTIONS "1", "not-run", "{}",
    "GET /orders/1", 404, CLI_ERROR },
  { cli_order, "order list" CALLER_OPTIONS, NULL, "[]", "", 200, CLI_USAGE },
  { cli_order, "order list --url @URL --key-file @KEY", NULL, "[]",
    "GET /orders", 200, CLI_OK },
  { cli_order, "order list --url @URL --key-file @KEY -i a&b", NULL, "[]",
    "GET /orders?a&b", 200, CLI_OK },
  { cli_order, "order cancel" CALLER_OPTIONS "1", NULL, "{}",
    "DELETE /orders/1", 200, CLI_OK },
  { cli_order, "order watch" CALLER_OPTIONS "1", NULL,
    ENDED_ORDER ("ran", "200"), "GET /orders/1/wait", 200, CLI_OK },
  { cli_order, "order watch" CALLER_OPTIONS "1", NULL,
    ENDED_ORDER ("ran", "500"), "GET /orders/1/wait", 200, CLI_ERROR },
  { cli_order, "order watch" CALLER_OPTIONS "1", NULL,
    ENDED_ORDER ("unknown", "0"), "GET /orders/1/wait", 200, CLI_ERROR },
  { cli_order, "order watch" CALLER_OPTIONS "-t 0 1", NULL,
    "{\"state\":\"started\"}", "GET /orders/1/wait", 200, CLI_TEMPFAIL },
  { cli_order, "order watch" CALLER_OPTIONS "1", NULL, "{}",
    "GET /orders/1/wait", 404, CLI_ERROR },
  { cli_status, "status --url @URL", NULL, STATUS_BODY, "GET /status", 200,
    CLI_OK },
  { cli_status, "status --url @URL", NULL, EARLIER_STATUS_BODY, "GET /status",
    200, CLI_OK },
  { cli_status, "status --url @URL", NULL, "[1]", "GET /status", 200,
    CLI_ERROR },
  { cli_status, "status", NULL, "", "", 0, CLI_USAGE },
  { cli_dump, "dump --url @URL", NULL, "{}", "GET /dump", 200, CLI_OK },
  { cli_counters, "counters --url @URL", NULL, "x 1\n", "GET /counters", 200,
    CLI_OK },
  { cli_drain, "drain --url @URL", NULL, "{}", "POST /drain", 202, CLI_OK },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "{\"version\":1}", "POST /roll", 200, CLI_OK },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "{\"version\":2}", "POST /roll", 409, CLI_ERROR },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "", "POST /roll", 503, CLI_TEMPFAIL },
  { cli_roll, "roll --url @URL --signature @BODY examples/node1.ini", NULL, "",
    "", 0, CLI_INVALID_FILE },
  { cli_status, "status --url http://127.0.0.1:1", NULL, "", "", 0,
    CLI_UNREACHABLE },
  { cli_status, "status --url file:///etc/hostname", NULL, "", "", 0,
    CLI_UNREACHABLE },
};

static void
test_exit_codes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int code;

      server.status = cases[i].status;
      server.outcome = cases[i].outcome;
      server.body = cases[i].body;
      server.last_request[0] = '\0';
      code = run (cases[i].command, cases[i].line);
      if (code != cases[i].code
          || strcmp (server.last_request, cases[i].last_request) != 0)
        {
          printf ("case %zu (%s): code %d, request \"%s\"\n", i, cases[i].line,
                  code, server.last_request);
          CU_FAIL ("wrong exit code or request path");
        }
    }
  CU_PASS ("all cases");
}

/* Guards against a bearer key that is not sent unchanged, and against an
   outcome or a Retry-After that is not taken from the response. */
static void
test_key_and_outcome (void)
{
  cli_request_t request = { .method = "POST",
                            .base_url = url,
                            .path = "/orders",
                            .key = TEST_KEY,
                            .timeout_ms = 5000 };
  cli_response_t response;

  server.status = 503;
  server.outcome = "not-run";
  server.retry_after = "2";
  server.body = "{}";
  cli_send (&request, &response);
  CU_ASSERT_STRING_EQUAL (server.authorization, "Bearer " TEST_KEY);
  CU_ASSERT_STRING_EQUAL (response.outcome, "not-run");
  CU_ASSERT_STRING_EQUAL (response.retry_after, "2");
  cli_response_clear (&response);
  server.retry_after = NULL;
}

/* Guards against reporting a request that the service may have received as
   not sent after its connection broke. */
static void
test_unreachable (void)
{
  cli_response_t response = { .sent = true };

  CU_ASSERT_EQUAL (cli_exit_code (&response), CLI_ERROR);
  response.sent = false;
  CU_ASSERT_EQUAL (cli_exit_code (&response), CLI_UNREACHABLE);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("cli", setup, teardown);
  CU_add_test (suite, "exit codes", test_exit_codes);
  CU_add_test (suite, "key and outcome", test_key_and_outcome);
  CU_add_test (suite, "unreachable", test_unreachable);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

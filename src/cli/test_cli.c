/* Tests of the subcommands against an HTTP server in this process. */
#include "cli/cli.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TEST_KEY "test-bearer-key-0123"

/* What the server answers next, and what it was asked last. */
static struct
{
  unsigned status;
  const char *outcome;
  const char *retry_after;
  const char *body;
  char asked[128];
  char key[64];
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
  g_snprintf (server.asked, sizeof server.asked, "%s %s%s%s", method, path,
              query ? "?" : "", query ? query : "");
  g_strlcpy (server.key, key ? key : "", sizeof server.key);
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

/* Writes a file into the directory of the test.  @return its path */
static const char *
file_of (const char *name, const char *text)
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
  char *key = g_strdup (file_of ("key", TEST_KEY "\n"));
  char *body = g_strdup (file_of ("body", "data"));
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

#define LC "submit --url @URL --key-file @KEY proof @BODY"
#define OWN " --url @URL --key-file @KEY "
#define ORDER "order submit" OWN "--class plates --idempotency-key k "
#define ENDED(outcome, status)                                                \
  "{\"state\":\"ended\",\"outcome\":\"" outcome "\",\"status\":" status "}"
#define STATUS_BODY                                                           \
  "{\"node\":1,\"incarnation\":\"a\",\"zone\":\"z\",\"ready\":true,"          \
  "\"draining\":false,\"bundle\":3,\"log\":{\"offset\":9,\"healthy\":true},"  \
  "\"shards\":[{\"shard\":0,\"owner\":1,\"epoch\":1,\"active\":true}],"       \
  "\"peers\":[{\"node\":2,\"state\":\"live\",\"bundle\":3}]}"

/* Guards against an exit code that makes a script repeat work that may have
   run, or give up work that was not run; and against a wrong path. */
static const struct
{
  int (*command) (int, char **);
  const char *line;
  const char *outcome;
  const char *body;
  const char *asked;
  unsigned status;
  int code;
} rows[] = {
  { cli_submit, LC, "ran", "answer", "POST /run/proof", 200, CLI_OK },
  { cli_submit, LC, "not-run", "", "POST /run/proof", 429, CLI_TRY_AGAIN },
  { cli_submit, LC, "not-run", "", "POST /run/proof", 503, CLI_TRY_AGAIN },
  { cli_submit, LC, "not-run", "", "POST /run/proof", 504, CLI_TRY_AGAIN },
  { cli_submit, LC, "unknown", "", "POST /run/proof", 504, CLI_REFUSED },
  { cli_submit, LC, "unknown", "", "POST /run/proof", 502, CLI_REFUSED },
  { cli_submit, LC, "not-run", "", "POST /run/proof", 401, CLI_REFUSED },
  { cli_submit, "submit --url @URL --key-file @KEY a/b", NULL, "", "", 0,
    CLI_USAGE },
  { cli_submit, "submit --url @URL --key-file @BODY proof", NULL, "", "", 0,
    CLI_REFUSED },
  { cli_order, ORDER "--urgent @BODY", NULL, "{}", "POST /orders", 201,
    CLI_OK },
  { cli_order, ORDER "--millicores x @BODY", NULL, "", "", 0, CLI_USAGE },
  { cli_order, ORDER "@BODY", "unknown", "", "POST /orders", 502,
    CLI_REFUSED },
  { cli_order, "order submit" OWN "--class plates @BODY", NULL, "", "", 0,
    CLI_USAGE },
  { cli_order, "order show" OWN "00ff", NULL, "{}", "GET /orders/00ff", 200,
    CLI_OK },
  { cli_order, "order show" OWN "../dump", NULL, "", "", 0, CLI_USAGE },
  { cli_order, "order show" OWN "1", "not-run", "{}", "GET /orders/1", 404,
    CLI_REFUSED },
  { cli_order, "order list" OWN, NULL, "[]", "", 200, CLI_USAGE },
  { cli_order, "order list --url @URL --key-file @KEY", NULL, "[]",
    "GET /orders", 200, CLI_OK },
  { cli_order, "order list --url @URL --key-file @KEY -i a&b", NULL, "[]",
    "GET /orders?a&b", 200, CLI_OK },
  { cli_order, "order cancel" OWN "1", NULL, "{}", "DELETE /orders/1", 200,
    CLI_OK },
  { cli_order, "order watch" OWN "1", NULL, ENDED ("ran", "200"),
    "GET /orders/1/wait", 200, CLI_OK },
  { cli_order, "order watch" OWN "1", NULL, ENDED ("ran", "500"),
    "GET /orders/1/wait", 200, CLI_REFUSED },
  { cli_order, "order watch" OWN "1", NULL, ENDED ("unknown", "0"),
    "GET /orders/1/wait", 200, CLI_REFUSED },
  { cli_order, "order watch" OWN "-t 0 1", NULL, "{\"state\":\"started\"}",
    "GET /orders/1/wait", 200, CLI_TRY_AGAIN },
  { cli_order, "order watch" OWN "1", NULL, "{}", "GET /orders/1/wait", 404,
    CLI_REFUSED },
  { cli_status, "status --url @URL", NULL, STATUS_BODY, "GET /status", 200,
    CLI_OK },
  { cli_status, "status --url @URL", NULL, "[1]", "GET /status", 200,
    CLI_REFUSED },
  { cli_status, "status", NULL, "", "", 0, CLI_USAGE },
  { cli_dump, "dump --url @URL", NULL, "{}", "GET /dump", 200, CLI_OK },
  { cli_counters, "counters --url @URL", NULL, "x 1\n", "GET /counters", 200,
    CLI_OK },
  { cli_drain, "drain --url @URL", NULL, "{}", "POST /drain", 202, CLI_OK },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "{\"version\":1}", "POST /roll", 200, CLI_OK },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "{\"version\":2}", "POST /roll", 409, CLI_REFUSED },
  { cli_roll, "roll --url @URL --signature @BODY examples/ruedas.ini", NULL,
    "", "POST /roll", 503, CLI_TRY_AGAIN },
  { cli_roll, "roll --url @URL --signature @BODY examples/node1.ini", NULL, "",
    "", 0, CLI_PROBLEMS },
  { cli_status, "status --url http://127.0.0.1:1", NULL, "", "", 0,
    CLI_UNREACHABLE },
  { cli_status, "status --url file:///etc/hostname", NULL, "", "", 0,
    CLI_UNREACHABLE },
};

static void
test_exit_codes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      int code;

      server.status = rows[i].status;
      server.outcome = rows[i].outcome;
      server.body = rows[i].body;
      server.asked[0] = '\0';
      code = run (rows[i].command, rows[i].line);
      if (code != rows[i].code || strcmp (server.asked, rows[i].asked) != 0)
        {
          printf ("row %zu (%s): code %d, asked \"%s\"\n", i, rows[i].line,
                  code, server.asked);
          CU_FAIL ("wrong exit code or path");
        }
    }
  CU_PASS ("all rows");
}

/* Guards against a key that is not sent as it is written in its file, and
   against an outcome that is not shown. */
static void
test_key_and_outcome (void)
{
  cli_request_t request = { .method = "POST",
                            .url = url,
                            .path = "/orders",
                            .key = TEST_KEY,
                            .timeout_ms = 5000 };
  cli_answer_t answer;

  server.status = 503;
  server.outcome = "not-run";
  server.retry_after = "2";
  server.body = "{}";
  cli_send (&request, &answer);
  CU_ASSERT_STRING_EQUAL (server.key, "Bearer " TEST_KEY);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "not-run");
  CU_ASSERT_STRING_EQUAL (answer.retry_after, "2");
  cli_answer_clear (&answer);
  server.retry_after = NULL;
}

/* Guards against a request that may have been seen but is reported as not
   sent after its connection broke. */
static void
test_unreachable (void)
{
  cli_answer_t answer = { .sent = true };

  CU_ASSERT_EQUAL (cli_answer_code (&answer), CLI_REFUSED);
  answer.sent = false;
  CU_ASSERT_EQUAL (cli_answer_code (&answer), CLI_UNREACHABLE);
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

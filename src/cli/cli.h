/** @file
 * Parts shared by the subcommands.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "bundle/bundle.h"

#include <glib.h>

/** Exit codes; those from 64 on follow sysexits(3). */
enum
{
  CLI_OK = 0,
  CLI_ERROR = 1,        /**< request refused or failed, or local error */
  CLI_INVALID_FILE = 2, /**< a checked file is invalid */
  CLI_USAGE = 64,       /**< invalid command line */
  CLI_UNREACHABLE = 69, /**< no connection to the service */
  CLI_TEMPFAIL = 75     /**< temporary failure, not run; retry later */
};

typedef struct
{
  const char *name;
  /** @param argv argv[0] is the name of the subcommand
      @return exit code */
  int (*run) (int argc, char **argv);
  const char *help;
} cli_command_t;

/** Runs the subcommand named by argv[1].
    @param program command line up to the subcommand, e.g. "limpethinge" */
int cli_dispatch (const char *program, const cli_command_t *commands,
                  size_t count, int argc, char **argv);

/** Returned by cli_parse if the subcommand is to be executed; not an exit
    code. */
#define CLI_CONTINUE (-1)

/** Parses options; handles --help and --version itself.
    @param entries ends with G_OPTION_ENTRY_NULL
    @param usage synopsis of the positional arguments, e.g. "FILE"
    @param min_args,max_args allowed number of positional arguments
    @return CLI_CONTINUE with the positional arguments from argv[1] on, or
    the exit code */
int cli_parse (int *argc, char ***argv, const GOptionEntry *entries,
               const char *usage, const char *summary, int min_args,
               int max_args);

/** Prints "limpethinge: " and the message on standard error.
    @return CODE */
int cli_fail (int code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Checks that a required option was given.
    @return false after printing an error */
bool cli_require_option (const char *value, const char *option);

/** Reads a whole file, "-" for standard input, and terminates it with NUL.
    @param limit largest allowed size in bytes
    @return free with g_free; NULL after printing an error */
char *cli_read_file (const char *path, size_t limit, gsize *len);

/** Prints problems as FILE:LINE: KEY: TEXT. */
void cli_print_problems (const char *path, const GArray *problems);

/** Reads and parses a bundle.
    @param text set to the source text, free with g_free; may be NULL
    @return NULL after printing the errors */
bundle_t *cli_load_bundle (const char *path, char **text);

/** Reads a bearer key: one line of 16 to 256 printable characters.
    @return NULL after printing an error */
char *cli_read_bearer_key (const char *path);

/** An HTTP request to the service. */
typedef struct
{
  const char *method;
  const char *base_url; /**< of the service, without a path */
  const char *path;     /**< path and query, appended to base_url */
  const char *key;      /**< bearer key, NULL for none */
  char **headers;       /**< NULL-terminated, or NULL */
  blob_t body;
  long timeout_ms;
} cli_request_t;

typedef struct
{
  int status;       /**< HTTP status, 0 without a complete response */
  bool sent;        /**< the service may have seen the request */
  char outcome[16]; /**< not-run, ran, unknown, or empty */
  char retry_after[16];
  GByteArray *body;
  char error[128]; /**< set if there is no complete response */
} cli_response_t;

/** Sends a request and waits for the response; clear the response with
    cli_response_clear. */
void cli_send (const cli_request_t *request, cli_response_t *response);
void cli_response_clear (cli_response_t *response);

/** @return the exit code for a response */
int cli_exit_code (const cli_response_t *response);

/** Prints the body of a response on standard output.  Prints its outcome, its
    Retry-After and a status of 300 or above on standard error.
    @return the exit code */
int cli_response_print (const cli_request_t *request,
                        const cli_response_t *response);

int cli_serve (int argc, char **argv);
int cli_schedule (int argc, char **argv);
int cli_check (int argc, char **argv);
int cli_bundle_command (int argc, char **argv);
int cli_roll (int argc, char **argv);
int cli_status (int argc, char **argv);
int cli_dump (int argc, char **argv);
int cli_counters (int argc, char **argv);
int cli_explain (int argc, char **argv);
int cli_drain (int argc, char **argv);
int cli_submit (int argc, char **argv);
int cli_order (int argc, char **argv);

#endif

/** @file
 * Parts shared by the subcommands.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "bundle/bundle.h"

#include <glib.h>

/** Exit codes; those from 64 on are the ones of sysexits.h. */
enum
{
  CLI_OK = 0,
  CLI_REFUSED = 1,      /**< refused or failed */
  CLI_PROBLEMS = 2,     /**< problems found in a file */
  CLI_USAGE = 64,       /**< wrong command line */
  CLI_UNREACHABLE = 69, /**< no connection to the service */
  CLI_TRY_AGAIN = 75    /**< not run; try again later */
};

/** A subcommand. */
typedef struct
{
  const char *name;
  /** @param argv argv[0] is the name of the subcommand
      @return exit code */
  int (*run) (int argc, char **argv);
  const char *help;
} cli_command_t;

/** Runs the subcommand named by argv[1].
    @param title what stands before the subcommand, e.g. "limpethinge" */
int cli_dispatch (const char *title, const cli_command_t *commands,
                  size_t count, int argc, char **argv);

/** Returned by cli_parse if the subcommand goes on. */
#define CLI_GO_ON (-1)

/** Parses options; --help and --version are answered here.
    @param entries ends with G_OPTION_ENTRY_NULL
    @param usage arguments behind the options, e.g. "FILE"
    @param least,most number of those arguments
    @return CLI_GO_ON with argv[1]... holding the arguments, or the exit
    code */
int cli_parse (int *argc, char ***argv, const GOptionEntry *entries,
               const char *usage, const char *summary, int least, int most);

/** Prints "limpethinge: ..." on standard error.  @return CODE */
int cli_fail (int code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Checks that a required option was given.  @return false after a message */
bool cli_required (const char *value, const char *option);

/** Reads a whole file, "-" for standard input; free with g_free.
    @return NULL after a message */
char *cli_read (const char *path, size_t limit, gsize *len);

/** Prints problems as FILE:LINE: KEY: TEXT. */
void cli_print_problems (const char *path, const GArray *problems);

/** Reads and parses a bundle.
    @param text set to the text; may be NULL
    @return NULL after messages */
bundle_t *cli_bundle (const char *path, char **text);

/** Reads a bearer key: one line of 16 to 256 printable characters.
    @return NULL after a message */
char *cli_key (const char *path);

/** A request to the service. */
typedef struct
{
  const char *method;
  const char *url;  /**< of the service */
  const char *path; /**< behind it */
  const char *key;  /**< bearer key, NULL for none */
  char **headers;   /**< NULL-terminated, or NULL */
  blob_t body;
  long timeout_ms;
} cli_request_t;

typedef struct
{
  int status;       /**< HTTP status, 0 without a complete answer */
  bool sent;        /**< the service may have seen the request */
  char outcome[16]; /**< not-run, ran, unknown, or empty */
  char retry_after[16];
  GByteArray *body;
  char error[128]; /**< without a complete answer */
} cli_answer_t;

/** Sends a request and waits for the answer; clear with cli_answer_clear. */
void cli_send (const cli_request_t *request, cli_answer_t *answer);
void cli_answer_clear (cli_answer_t *answer);

/** @return the exit code that fits an answer */
int cli_answer_code (const cli_answer_t *answer);

/** Prints the body on standard output, and on standard error the outcome,
    the status and the Retry-After of an answer.
    @return the exit code */
int cli_answer_show (const cli_request_t *request, const cli_answer_t *answer);

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

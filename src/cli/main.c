/** @file
 * Program entry point: dispatches to the subcommands.
 */
#include "cli/cli.h"

#include <curl/curl.h>
#include <sodium.h>

static const cli_command_t commands[] = {
  { "serve", cli_serve, "run an entry process" },
  { "schedule", cli_schedule, "run a scheduling process on a platform" },
  { "check", cli_check, "check settings files and bundles" },
  { "bundle", cli_bundle_command,
    "write, sign, verify, compare and describe bundles" },
  { "roll", cli_roll, "put a signed bundle into force" },
  { "status", cli_status, "show the state of a process" },
  { "dump", cli_dump, "show the whole state of a process" },
  { "counters", cli_counters, "show the counters of a process" },
  { "explain", cli_explain, "show the history of a job from logs" },
  { "submit", cli_submit, "send a latency-critical request" },
  { "order", cli_order, "submit, show, list, watch and cancel batch orders" },
  { "drain", cli_drain,
    "stop a process after it has finished its running work" },
};

int
main (int argc, char **argv)
{
  int code;

  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT))
    return cli_fail (CLI_ERROR, "cannot initialize libsodium or libcurl");
  code = cli_dispatch ("limpethinge", commands, G_N_ELEMENTS (commands), argc,
                       argv);
  curl_global_cleanup ();
  return code;
}

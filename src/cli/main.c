/** @file
 * Program entry point: dispatches to the subcommands.
 */
#include "base/signals.h"
#include "cli/cli.h"

#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

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

static const char *const services[] = { "serve", "schedule" };

static bool is_service (int argc, char **argv);

int
main (int argc, char **argv)
{
  int code;

  if (is_service (argc, argv))
    signals_block ();
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT))
    return cli_fail (CLI_ERROR, "cannot initialize libsodium or libcurl");
  code = cli_dispatch ("limpethinge", commands, G_N_ELEMENTS (commands), argc,
                       argv);
  curl_global_cleanup ();
  return code;
}

static bool
is_service (int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS (services); i++)
    if (strcmp (argv[1], services[i]) == 0)
      return true;
  return false;
}

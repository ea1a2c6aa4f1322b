/** @file
 * Subcommand schedule.
 */
#include "base/log.h"
#include "cli/cli.h"
#include "platform/platform.h"
#include "scheduler/scheduler.h"

#include <stdlib.h>

/* The platform states the path of the settings here.  */
#define SETTINGS_VARIABLE "LIMPETHINGE_CONFIG"

static int load (const char *path, scheduler_settings_t *settings);
static int run (const scheduler_settings_t *settings);

int
cli_schedule (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
      "Settings of this process (default: the file named by " SETTINGS_VARIABLE
      ")",
      "FILE" },
    G_OPTION_ENTRY_NULL
  };
  int code = cli_parse (&argc, &argv, entries, "",
                        "Runs a scheduling process until SIGTERM.", 0, 0);
  scheduler_settings_t settings = { 0 };

  if (code != CLI_GO_ON)
    return code;
  if (!path)
    path = g_strdup (getenv (SETTINGS_VARIABLE));
  if (!cli_required (path, "--settings"))
    return CLI_USAGE;
  code = load (path, &settings);
  if (code == CLI_OK)
    code = run (&settings);
  scheduler_settings_clear (&settings);
  g_free (path);
  return code;
}

static int
load (const char *path, scheduler_settings_t *settings)
{
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  err_t err = { 0 };
  int code = CLI_OK;

  if (scheduler_settings_load (path, settings, problems, &err))
    code = cli_fail (CLI_PROBLEMS, "%s: %s", path, err.text);
  else if (problems->len)
    {
      cli_print_problems (path, problems);
      code = CLI_PROBLEMS;
    }
  g_array_free (problems, TRUE);
  return code;
}

static int
run (const scheduler_settings_t *settings)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  platform_t *platform
      = platform_new (loop, settings->store_address, settings->partitions);
  int code;

  log_open ("limpethinge", (log_level_t)settings->log_level);
  log_open_buffered ();
  code = scheduler_main (loop, settings, platform_backend (platform));
  log_flush ();
  platform_free (platform);
  return code ? CLI_REFUSED : CLI_OK;
}

/** @file
 * Subcommand schedule.
 */
#include "base/log.h"
#include "cli/cli.h"
#include "platform/platform.h"
#include "scheduler/scheduler.h"

#include <stdio.h>
#include <stdlib.h>

/* Environment variable in which the platform passes the settings path.  */
#define SETTINGS_ENV_VAR "LIMPETHINGE_CONFIG"

static int load_settings (const char *path, scheduler_settings_t *settings);
static int run_scheduler (const scheduler_settings_t *settings);

int
cli_schedule (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
      "Settings of this process (default: the file named by " SETTINGS_ENV_VAR
      ")",
      "FILE" },
    G_OPTION_ENTRY_NULL
  };
  int code = cli_parse (&argc, &argv, entries, "",
                        "Runs a scheduling process until SIGTERM.", 0, 0);
  scheduler_settings_t settings = { 0 };

  if (code != CLI_CONTINUE)
    return code;
  if (!path)
    path = g_strdup (getenv (SETTINGS_ENV_VAR));
  if (!cli_require_option (path, "--settings"))
    return CLI_USAGE;
  code = load_settings (path, &settings);
  if (code == CLI_OK)
    code = run_scheduler (&settings);
  scheduler_settings_clear (&settings);
  g_free (path);
  return code;
}

static int
load_settings (const char *path, scheduler_settings_t *settings)
{
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  err_t err = { 0 };
  int code = CLI_OK;

  if (scheduler_settings_load (path, settings, problems, &err))
    code = cli_fail (CLI_INVALID_FILE, "%s: %s", path, err.text);
  else if (problems->len)
    {
      cli_print_problems (path, problems);
      fflush (stdout);
      if (!scheduler_settings_usable (problems))
        code = CLI_INVALID_FILE;
    }
  g_array_free (problems, TRUE);
  return code;
}

static int
run_scheduler (const scheduler_settings_t *settings)
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
  return code ? CLI_ERROR : CLI_OK;
}

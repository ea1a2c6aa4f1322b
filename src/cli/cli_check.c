/** @file
 * Subcommands serve and check.
 */
#include "base/log.h"
#include "cli/cli.h"
#include "node/node.h"
#include "scheduler/settings.h"
#include "settings/settings.h"

#include <stdio.h>
#include <string.h>

static int check_file (const char *path);
static bool is_bundle (const char *text);
static bool is_scheduler (const char *text);
static void check_scheduler (blob_t text, GArray *problems);
static int load_settings (const char *path, settings_t *settings);

int
cli_serve (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
            "Settings of this process", "FILE" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "",
                        "Runs an entry process until SIGTERM.", 0, 0);
  settings_t *settings;

  if (code != CLI_GO_ON)
    return code;
  if (!cli_required (path, "--settings"))
    return CLI_USAGE;
  settings = g_new0 (settings_t, 1);
  code = load_settings (path, settings);
  if (code == CLI_OK)
    {
      log_open ("limpethinge", (log_level_t)settings->log_level);
      code = node_main (settings) ? CLI_REFUSED : CLI_OK;
    }
  g_free (settings);
  g_free (path);
  return code;
}

int
cli_check (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "FILE...",
                        "Checks settings files and bundles, told apart by "
                        "their sections, and lists all problems.",
                        1, G_MAXINT);

  if (code != CLI_GO_ON)
    return code;
  code = CLI_OK;
  for (int i = 1; i < argc; i++)
    {
      int one = check_file (argv[i]);

      code = MAX (code, one);
    }
  return code;
}

static int
check_file (const char *path)
{
  GArray *problems;
  gsize len;
  char *text = cli_read (path, BUNDLE_TEXT_MAX_BYTES, &len);
  settings_t *settings;
  guint count;

  if (!text)
    return CLI_REFUSED;
  problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  settings = g_new0 (settings_t, 1);
  if (is_bundle (text))
    bundle_free (bundle_parse ((blob_t){ text, (uint32_t)len }, problems));
  else if (is_scheduler (text))
    check_scheduler ((blob_t){ text, (uint32_t)len }, problems);
  else
    (void)settings_parse ((blob_t){ text, (uint32_t)len }, settings, problems,
                          NULL);
  count = problems->len;
  cli_print_problems (path, problems);
  if (!count)
    printf ("%s: %s without problems\n", path,
            is_bundle (text) ? "bundle" : "settings");
  g_array_free (problems, TRUE);
  g_free (settings);
  g_free (text);
  return count ? CLI_PROBLEMS : CLI_OK;
}

static bool
is_bundle (const char *text)
{
  return g_str_has_prefix (text, "[bundle]") || strstr (text, "\n[bundle]");
}

static int
load_settings (const char *path, settings_t *settings)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  err_t err = { 0 };
  int code = settings_load (path, settings, problems, &err);

  cli_print_problems (path, problems);
  g_array_free (problems, TRUE);
  if (!code)
    return CLI_OK;
  (void)cli_fail (CLI_PROBLEMS, "%s: %s", path, err.text);
  return CLI_PROBLEMS;
}

/* Only settings of a scheduling process name a store.  */
static bool
is_scheduler (const char *text)
{
  return g_str_has_prefix (text, "[store]") || strstr (text, "\n[store]");
}

static void
check_scheduler (blob_t text, GArray *problems)
{
  scheduler_settings_t settings;

  scheduler_settings_read (text, &settings, problems);
  scheduler_settings_clear (&settings);
}

/** @file
 * Subcommand explain.
 */
#include "cli/cli.h"
#include "explain/explain.h"
#include "explain/summary.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef void (*add_line_t) (void *ctx, const char *source, const char *line);

static int explain_job (int argc, char **argv);
static int summarize (int argc, char **argv);
static void add_to_explain (void *ctx, const char *source, const char *line);
static void add_to_summary (void *ctx, const char *source, const char *line);
static int read_files (int count, char **paths, add_line_t add, void *ctx);
static int read_lines (const char *path, add_line_t add, void *ctx);

int
cli_explain (int argc, char **argv)
{
  gboolean summary = FALSE;
  const GOptionEntry entries[]
      = { { "summary", 's', 0, G_OPTION_ARG_NONE, &summary,
            "Show where the time of all jobs goes, by queue and stage", NULL },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (
      &argc, &argv, entries, "[ID] [FILE...]",
      "Shows the history of a job, or of one of its tasks, from the "
      "logs of scheduling processes (default: standard input).",
      0, G_MAXINT);

  if (code != CLI_CONTINUE)
    return code;
  if (summary)
    return summarize (argc, argv);
  return argc > 1 ? explain_job (argc, argv)
                  : cli_fail (CLI_USAGE, "an ID or --summary is required");
}

static int
explain_job (int argc, char **argv)
{
  explain_t *explain = explain_new (argv[1]);
  GString *out = g_string_new (NULL);
  int code = read_files (argc - 2, argv + 2, add_to_explain, explain);

  if (code == CLI_OK && !explain_write (explain, out))
    code = cli_fail (CLI_ERROR, "no log line mentions %s", argv[1]);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  explain_free (explain);
  return code;
}

static int
summarize (int argc, char **argv)
{
  summary_t *summary = summary_new ();
  GString *out = g_string_new (NULL);
  int code = read_files (argc - 1, argv + 1, add_to_summary, summary);

  if (code == CLI_OK && !summary_write (summary, out))
    code = cli_fail (CLI_ERROR, "no log line mentions a job");
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  summary_free (summary);
  return code;
}

static void
add_to_explain (void *ctx, const char *source, const char *line)
{
  explain_add_line (ctx, source, line);
}

static void
add_to_summary (void *ctx, const char *source, const char *line)
{
  (void)source;
  summary_add_line (ctx, line);
}

/* Reads standard input if there are no paths. */
static int
read_files (int count, char **paths, add_line_t add, void *ctx)
{
  int code = count > 0 ? CLI_OK : read_lines ("-", add, ctx);

  for (int i = 0; i < count && code == CLI_OK; i++)
    code = read_lines (paths[i], add, ctx);
  return code;
}

static int
read_lines (const char *path, add_line_t add, void *ctx)
{
  bool is_file = strcmp (path, "-") != 0;
  FILE *in = is_file ? fopen (path, "r") : stdin;
  char *name = g_path_get_basename (path);
  char *line = NULL;
  size_t size = 0;
  ssize_t len;

  if (!in)
    {
      g_free (name);
      return cli_fail (CLI_ERROR, "%s: %s", path, g_strerror (errno));
    }
  while ((len = getline (&line, &size, in)) >= 0)
    {
      if (len && line[len - 1] == '\n')
        line[len - 1] = '\0';
      add (ctx, name, line);
    }
  free (line);
  g_free (name);
  if (is_file)
    fclose (in);
  return CLI_OK;
}

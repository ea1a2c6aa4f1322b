/** @file
 * Subcommand explain.
 */
#include "cli/cli.h"
#include "explain/explain.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int read_lines (explain_t *explain, const char *path);

int
cli_explain (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  int code = cli_parse (
      &argc, &argv, entries, "ID [FILE...]",
      "Shows the history of a job, or of one of its tasks, from the "
      "logs of scheduling processes (default: standard input).",
      1, G_MAXINT);
  explain_t *explain;
  GString *out;

  if (code != CLI_CONTINUE)
    return code;
  explain = explain_new (argv[1]);
  out = g_string_new (NULL);
  code = CLI_OK;
  if (argc == 2)
    code = read_lines (explain, "-");
  for (int i = 2; i < argc && code == CLI_OK; i++)
    code = read_lines (explain, argv[i]);
  if (code == CLI_OK && !explain_write (explain, out))
    code = cli_fail (CLI_ERROR, "no log line mentions %s", argv[1]);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  explain_free (explain);
  return code;
}

static int
read_lines (explain_t *explain, const char *path)
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
      explain_add_line (explain, name, line);
    }
  free (line);
  g_free (name);
  if (is_file)
    fclose (in);
  return CLI_OK;
}

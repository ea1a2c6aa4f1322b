/** @file
 * The program: one binary, a subcommand a job.
 */
#include "base/log.h"
#include "node/node.h"

#include <stdio.h>
#include <string.h>

static int serve (const char *path);

int
main (int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("limpethinge " VERSION);
      return 0;
    }
  if (argc == 4 && strcmp (argv[1], "serve") == 0
      && strcmp (argv[2], "--settings") == 0)
    return serve (argv[3]);
  fputs ("usage: limpethinge --version | serve --settings FILE\n", stderr);
  return 64;
}

static int
serve (const char *path)
{
  static settings_t settings;
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  err_t err = { 0 };

  if (settings_load (path, &settings, problems, &err))
    {
      log_err (LOG_LEVEL_ERR, &err);
      for (guint i = 0; i < problems->len; i++)
        {
          const problem_t *problem = &g_array_index (problems, problem_t, i);

          fprintf (stderr, "%s:%d: %s: %s\n", path, problem->line,
                   problem->key, problem->text);
        }
      return 2;
    }
  g_array_free (problems, TRUE);
  return node_main (&settings) ? 1 : 0;
}

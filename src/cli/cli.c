/** @file
 * Parts shared by the subcommands: options, files, messages.
 */
#include "cli/cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define KEY_MIN_CHARS 16U
#define KEY_MAX_CHARS 256U

static void print_commands (FILE *out, const char *title,
                            const cli_command_t *commands, size_t count);
static char *read_stream (FILE *in, size_t limit, gsize *len);

int
cli_dispatch (const char *title, const cli_command_t *commands, size_t count,
              int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  if (strcmp (name, "--version") == 0)
    {
      puts ("limpethinge " VERSION);
      return CLI_OK;
    }
  if (strcmp (name, "--help") == 0 || strcmp (name, "-h") == 0)
    {
      print_commands (stdout, title, commands, count);
      return CLI_OK;
    }
  for (size_t i = 0; i < count; i++)
    if (strcmp (commands[i].name, name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  if (*name)
    (void)cli_fail (CLI_USAGE, "unknown subcommand \"%s\"", name);
  print_commands (stderr, title, commands, count);
  return CLI_USAGE;
}

int
cli_parse (int *argc, char ***argv, const GOptionEntry *entries,
           const char *usage, const char *summary, int least, int most)
{
  gboolean version = FALSE;
  const GOptionEntry common[] = { { "version", 0, 0, G_OPTION_ARG_NONE,
                                    &version, "Show the version", NULL },
                                  G_OPTION_ENTRY_NULL };
  GOptionContext *context = g_option_context_new (usage);
  char *program = g_strdup_printf ("limpethinge %s", (*argv)[0]);
  GError *error = NULL;
  int code = CLI_GO_ON;

  g_set_prgname (program);
  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      code = cli_fail (CLI_USAGE, "%s", error->message);
      g_error_free (error);
    }
  else if (version)
    {
      puts ("limpethinge " VERSION);
      code = CLI_OK;
    }
  else if (*argc - 1 < least || *argc - 1 > most)
    code = cli_fail (CLI_USAGE, "usage: %s [OPTION...] %s", program, usage);
  g_option_context_free (context);
  g_free (program);
  return code;
}

int
cli_fail (int code, const char *format, ...)
{
  va_list args;

  fputs ("limpethinge: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  return code;
}

bool
cli_required (const char *value, const char *option)
{
  if (!value)
    (void)cli_fail (CLI_USAGE, "option %s is required", option);
  return value != NULL;
}

char *
cli_read (const char *path, size_t limit, gsize *len)
{
  bool standard = strcmp (path, "-") == 0;
  FILE *in = standard ? stdin : fopen (path, "rbe");
  char *text;

  if (!in)
    {
      (void)cli_fail (CLI_REFUSED, "%s: %s", path, g_strerror (errno));
      return NULL;
    }
  text = read_stream (in, limit, len);
  if (!text && ferror (in))
    (void)cli_fail (CLI_REFUSED, "%s: cannot be read", path);
  else if (!text)
    (void)cli_fail (CLI_REFUSED, "%s: larger than %zu bytes", path, limit);
  if (!standard)
    (void)fclose (in);
  return text;
}

void
cli_print_problems (const char *path, const GArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    {
      const problem_t *problem = &g_array_index (problems, problem_t, i);

      printf ("%s:%d: %s%s%s\n", path, problem->line, problem->key,
              *problem->key ? ": " : "", problem->text);
    }
}

bundle_t *
cli_bundle (const char *path, char **text)
{
  GArray *problems;
  bundle_t *bundle;
  gsize len;
  char *read = cli_read (path, BUNDLE_TEXT_MAX_BYTES, &len);

  if (!read)
    return NULL;
  problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle = bundle_parse ((blob_t){ read, (uint32_t)len }, problems);
  cli_print_problems (path, problems);
  g_array_free (problems, TRUE);
  if (bundle && text)
    *text = read;
  else
    g_free (read);
  return bundle;
}

char *
cli_key (const char *path)
{
  gsize len;
  char *key = cli_read (path, KEY_MAX_CHARS + 1, &len);

  if (!key)
    return NULL;
  g_strchomp (key);
  len = strlen (key);
  for (const char *c = key; *c; c++)
    if (!g_ascii_isgraph (*c))
      len = 0;
  if (len >= KEY_MIN_CHARS && len <= KEY_MAX_CHARS)
    return key;
  (void)cli_fail (CLI_REFUSED,
                  "%s: a key is one line of %u to %u printable characters "
                  "without blanks",
                  path, KEY_MIN_CHARS, KEY_MAX_CHARS);
  g_free (key);
  return NULL;
}

static void
print_commands (FILE *out, const char *title, const cli_command_t *commands,
                size_t count)
{
  fprintf (out, "Usage: %s COMMAND [OPTION...]\n\nCommands:\n", title);
  for (size_t i = 0; i < count; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].help);
  fprintf (out, "\n\"%s COMMAND --help\" shows the options of a command.\n",
           title);
}

static char *
read_stream (FILE *in, size_t limit, gsize *len)
{
  /* One byte more than allowed shows that there is more.  */
  char *text = g_malloc (limit + 2);

  *len = fread (text, 1, limit + 1, in);
  if (*len > limit || ferror (in))
    {
      g_free (text);
      return NULL;
    }
  text[*len] = '\0';
  return text;
}

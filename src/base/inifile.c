/** @file
 * Reading of INI files by tables of keys.
 *
 * inih does the lexing.  It neither passes line numbers (as built by Debian)
 * nor reports sections without keys, and it splits lines longer than its
 * buffer; the line reader here takes care of all three.
 */
#include "base/inifile.h"

#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <string.h>

/* inih's buffer is 200 bytes, with line end and terminator.  */
#define LINE_MAX_BYTES 190U

struct ini_file
{
  const ini_section_t *sections;
  size_t count;
  void *context;
  GArray *problems;
  blob_t rest;
  int line;
  GHashTable *lines; /* "section" or "section\nkey" to line number */
  const ini_section_t *section; /* NULL inside an unknown section */
  char title[64];               /* as written, "" before the first */
  void *row;                    /* NULL if the section is not usable */
  uint64_t seen;                /* keys of the section, by index */
  uint64_t opened;              /* sections that occurred, by index */
  const ini_key_t *key;         /* last key, for continuation lines */
  bool any_key;                 /* in this section: inih can continue it */
  bool indented;                /* the line being read */
};

static char *next_line (char *out, int size, void *stream);
static bool line_good (ini_file_t *file, const char *line, size_t len);
static bool syntax_good (ini_file_t *file, const char *line);
static void section_begin (ini_file_t *file, const char *line);
static const ini_section_t *section_find (const ini_file_t *file,
                                          const char *kind, const char *name);
static void section_open (ini_file_t *file, const char *name);
static void section_end (ini_file_t *file);
static int take_pair (void *user, const char *section, const char *name,
                      const char *value);
static const ini_key_t *key_find (const ini_section_t *section,
                                  const char *name);
static void take_key (ini_file_t *file, const ini_key_t *key,
                      const char *value);
static void bad_value (ini_file_t *file, const ini_key_t *key,
                       const char *value);
static void apply_presets (ini_file_t *file);
static void missing_sections (ini_file_t *file);
static void add_at (ini_file_t *file, int line, const char *section,
                    const char *key, const char *format, va_list args);
static void add (ini_file_t *file, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
static gint by_line (gconstpointer a, gconstpointer b);

void
ini_read (blob_t text, const ini_section_t *sections, size_t count,
          void *context, void (*check) (void *context, ini_file_t *file),
          GArray *problems)
{
  ini_file_t file = { .sections = sections,
                      .count = count,
                      .context = context,
                      .problems = problems,
                      .rest = text };
  guint before = problems->len;
  int bad;

  file.lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bad = ini_parse_stream (next_line, &file, take_pair, &file);
  section_end (&file);
  missing_sections (&file);
  if (bad && problems->len == before)
    problem_add (problems, bad, "", "cannot be read; key = value is allowed");
  if (check)
    check (context, &file);
  g_array_sort (problems, by_line);
  g_hash_table_destroy (file.lines);
}

void
ini_problem (ini_file_t *file, const char *section, const char *key,
             const char *format, ...)
{
  char *place = g_strconcat (section, "\n", key, NULL);
  int line = GPOINTER_TO_INT (g_hash_table_lookup (file->lines, place));
  va_list args;

  if (!line)
    line = GPOINTER_TO_INT (g_hash_table_lookup (file->lines, section));
  g_free (place);
  va_start (args, format);
  add_at (file, line, section, key, format, args);
  va_end (args);
}

void
problem_add (GArray *problems, int line, const char *key, const char *format,
             ...)
{
  problem_t problem = { .line = line };
  va_list args;

  g_strlcpy (problem.key, key, sizeof problem.key);
  va_start (args, format);
  g_vsnprintf (problem.text, sizeof problem.text, format, args);
  va_end (args);
  g_array_append_val (problems, problem);
}

static char *
next_line (char *out, int size, void *stream)
{
  ini_file_t *file = stream;
  const char *end;
  size_t len;

  (void)size;
  if (!file->rest.len)
    return NULL;
  end = memchr (file->rest.data, '\n', file->rest.len);
  len = end ? (size_t)(end - file->rest.data) : file->rest.len;
  file->line++;
  out[0] = '\0';
  if (line_good (file, file->rest.data, len))
    {
      memcpy (out, file->rest.data, len);
      out[len] = '\0';
      g_strchomp (out);
      file->indented = g_ascii_isspace (out[0]);
      if (!syntax_good (file, out))
        out[0] = '\0';
    }
  len += end ? 1 : 0;
  file->rest.data += len;
  file->rest.len -= (uint32_t)len;
  return out;
}

/* A line that inih could split or end early is not passed to it.  */
static bool
line_good (ini_file_t *file, const char *line, size_t len)
{
  if (len > LINE_MAX_BYTES)
    {
      add (file, "", "line of %zu bytes; at most %u are allowed", len,
           LINE_MAX_BYTES);
      return false;
    }
  for (size_t i = 0; i < len; i++)
    if (g_ascii_iscntrl (line[i]) && line[i] != '\t' && line[i] != '\r')
      {
        add (file, "", "control character; text is allowed");
        return false;
      }
  if (!g_utf8_validate (line, (gssize)len, NULL))
    {
      add (file, "", "not UTF-8; UTF-8 text is allowed");
      return false;
    }
  return true;
}

/* Begins sections and finds lines that inih would pass over.  */
static bool
syntax_good (ini_file_t *file, const char *line)
{
  const char *start = line + strspn (line, " \t");

  if (!*start || *start == ';' || *start == '#')
    return true;
  if (*start == '[' && !file->indented)
    {
      section_begin (file, start);
      return strchr (start, ']') != NULL;
    }
  if (file->indented && file->any_key)
    return true;
  if (*start != '[' && !file->indented && strpbrk (start, "=:"))
    return true;
  add (file, "",
       "\"%.60s\" is neither [section] nor key = value at the start of a "
       "line",
       start);
  return false;
}

static void
section_begin (ini_file_t *file, const char *line)
{
  const char *end = strchr (line, ']');
  char **words;

  section_end (file);
  file->section = NULL;
  file->row = NULL;
  file->key = NULL;
  file->any_key = false;
  file->seen = 0;
  g_strlcpy (file->title, "?", sizeof file->title);
  if (!end || (end[1] && !strchr (" \t;#", end[1]))
      || (size_t)(end - line) >= sizeof file->title)
    {
      add (file, "", "\"%.60s\" is no section; [NAME] is allowed", line);
      return;
    }
  g_strlcpy (file->title, line + 1, (gsize)(end - line));
  words = g_strsplit (file->title, " ", 2);
  file->section = section_find (file, words[0] ? words[0] : "", words[1]);
  if (!file->section)
    add (file, "", "unknown section");
  else if (g_hash_table_contains (file->lines, file->title))
    add (file, "", "duplicate section; the first is at line %d",
         GPOINTER_TO_INT (g_hash_table_lookup (file->lines, file->title)));
  else
    section_open (file, words[1]);
  g_strfreev (words);
}

static const ini_section_t *
section_find (const ini_file_t *file, const char *kind, const char *name)
{
  for (size_t i = 0; i < file->count; i++)
    if (strcmp (file->sections[i].name, kind) == 0
        && file->sections[i].named == (name != NULL))
      return &file->sections[i];
  return NULL;
}

static void
section_open (ini_file_t *file, const char *name)
{
  const char *why = "one section of this kind is allowed";

  g_hash_table_insert (file->lines, g_strdup (file->title),
                       GINT_TO_POINTER (file->line));
  file->opened |= 1ULL << (file->section - file->sections);
  if (name && !ini_name_valid (name))
    {
      add (file, "",
           "the name may have at most %u of a-z 0-9 . _ -, the first a "
           "letter or digit",
           INI_NAME_MAX);
      return;
    }
  file->row = file->section->open (file->context, name, &why);
  if (!file->row)
    {
      add (file, "", "%s", why);
      return;
    }
  apply_presets (file);
}

static void
apply_presets (ini_file_t *file)
{
  for (size_t i = 0; i < file->section->key_count; i++)
    {
      const ini_key_t *key = &file->section->keys[i];

      if (key->default_text && *key->default_text)
        (void)ini_value_parse (key, key->default_text, file->row);
    }
}

static void
section_end (ini_file_t *file)
{
  char allowed[128];

  if (!file->section || !file->row)
    return;
  for (size_t i = 0; i < file->section->key_count; i++)
    {
      const ini_key_t *key = &file->section->keys[i];

      if (key->default_text || (file->seen & (1ULL << i)))
        continue;
      ini_value_allowed (key, allowed, sizeof allowed);
      ini_problem (file, file->title, key->name, "missing; allowed: %s",
                   allowed);
    }
}

static int
take_pair (void *user, const char *section, const char *name,
           const char *value)
{
  ini_file_t *file = user;
  const ini_key_t *key;

  (void)section;
  if (file->indented)
    {
      if (!file->key)
        return 1;
      if (file->key->kind != INI_NAMES)
        add (file, file->key->name,
             "continued on an indented line; only lists may be");
      else if (!ini_value_extend (file->key, value, file->row))
        bad_value (file, file->key, value);
      return 1;
    }
  file->any_key = true;
  file->key = NULL;
  if (!*file->title)
    add (file, name, "before the first section; [NAME] has to come first");
  if (!file->section || !file->row)
    return 1;
  key = key_find (file->section, name);
  if (key)
    take_key (file, key, value);
  else
    add (file, name, "unknown key");
  return 1;
}

static const ini_key_t *
key_find (const ini_section_t *section, const char *name)
{
  for (size_t i = 0; i < section->key_count; i++)
    if (strcmp (section->keys[i].name, name) == 0)
      return &section->keys[i];
  return NULL;
}

static void
take_key (ini_file_t *file, const ini_key_t *key, const char *value)
{
  uint64_t bit = 1ULL << (key - file->section->keys);
  char *place = g_strconcat (file->title, "\n", key->name, NULL);

  if (file->seen & bit)
    {
      add (file, key->name, "duplicate key; the first is at line %d",
           GPOINTER_TO_INT (g_hash_table_lookup (file->lines, place)));
      g_free (place);
      return;
    }
  file->seen |= bit;
  file->key = key;
  g_hash_table_insert (file->lines, place, GINT_TO_POINTER (file->line));
  if (!ini_value_parse (key, value, file->row))
    bad_value (file, key, value);
}

static void
bad_value (ini_file_t *file, const ini_key_t *key, const char *value)
{
  char allowed[128];

  ini_value_allowed (key, allowed, sizeof allowed);
  add (file, key->name, "\"%.40s\" is not allowed; allowed: %s", value,
       allowed);
}

/* A section without required keys may be left out and has its defaults.  */
static void
missing_sections (ini_file_t *file)
{
  for (size_t i = 0; i < file->count; i++)
    {
      const ini_section_t *section = &file->sections[i];
      bool required = false;

      if (section->named || (file->opened & (1ULL << i)))
        continue;
      for (size_t k = 0; k < section->key_count; k++)
        required = required || !section->keys[k].default_text;
      g_strlcpy (file->title, section->name, sizeof file->title);
      file->section = section;
      if (required)
        {
          add (file, "", "missing section");
          continue;
        }
      file->row = section->open (file->context, NULL, &(const char *){ 0 });
      if (file->row)
        apply_presets (file);
    }
}

static void
add (ini_file_t *file, const char *key, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_at (file, file->line, file->title, key, format, args);
  va_end (args);
}

static void
add_at (ini_file_t *file, int line, const char *section, const char *key,
        const char *format, va_list args)
{
  char *text = g_strdup_vprintf (format, args);
  char *place
      = *section ? g_strdup_printf ("[%s]%s%s", section, *key ? " " : "", key)
                 : g_strdup (key);

  problem_add (file->problems, line, place, "%s", text);
  g_free (text);
  g_free (place);
}

static gint
by_line (gconstpointer a, gconstpointer b)
{
  const problem_t *first = a;
  const problem_t *second = b;

  return first->line - second->line;
}

char *
ini_load (const char *path, uint32_t most, gsize *len, err_t *err)
{
  GError *error = NULL;
  char *text;

  if (!g_file_get_contents (path, &text, len, &error))
    {
      err_set (err, -ENOENT, "settings", path, "%s", error->message);
      g_error_free (error);
      return NULL;
    }
  if (*len <= most)
    return text;
  err_set (err, -EFBIG, "settings", path, "%zu bytes; at most %u are allowed",
           *len, most);
  g_free (text);
  return NULL;
}

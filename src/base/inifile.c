/** @file
 * Parsing of INI files described by tables of keys.
 *
 * inih splits the text into keys and values.  As built by Debian it passes no
 * line numbers; it does not report sections without keys, and it splits lines
 * longer than its buffer.  next_line works around all three.
 */
#include "base/inifile.h"

#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <string.h>

/* inih's buffer holds 200 bytes, line end and terminator included.  */
#define LINE_MAX_BYTES 190U

struct ini_file
{
  const ini_section_t *sections;
  size_t section_count;
  void *context;
  GArray *problems;
  blob_t unread;
  int line;
  GHashTable *line_numbers; /* "section" or "section\nkey" to line number */
  const ini_section_t *section; /* NULL inside an unknown section */
  char section_title[64];       /* as written, "" before the first section */
  void *row;                    /* NULL if the section is invalid */
  uint64_t seen_keys;           /* bit set of the keys of the section */
  uint64_t seen_sections;       /* bit set of the sections found */
  const ini_key_t *last_key;    /* for continuation lines */
  bool has_key;       /* the section has a key that inih can continue */
  bool line_indented; /* the current line */
};

static char *next_line (char *out, int size, void *stream);
static bool line_valid (ini_file_t *file, const char *line, size_t len);
static bool syntax_valid (ini_file_t *file, const char *line);
static void section_begin (ini_file_t *file, const char *line);
static const ini_section_t *section_find (const ini_file_t *file,
                                          const char *kind, const char *name);
static void section_create_row (ini_file_t *file, const char *name);
static void section_end (ini_file_t *file);
static int parse_pair (void *user, const char *section, const char *name,
                       const char *value);
static const ini_key_t *key_find (const ini_section_t *section,
                                  const char *name);
static void parse_key (ini_file_t *file, const ini_key_t *key,
                       const char *value);
static void add_value_problem (ini_file_t *file, const ini_key_t *key,
                               const char *value);
static void apply_defaults (ini_file_t *file);
static void complete_sections (ini_file_t *file);
static void add_problem_at (ini_file_t *file, int line, const char *section,
                            const char *key, const char *format, va_list args);
static void add_unknown (ini_file_t *file, const char *key, const char *text);
static void add_problem (ini_file_t *file, const char *key, const char *format,
                         ...) __attribute__ ((format (printf, 3, 4)));
static gint compare_lines (gconstpointer a, gconstpointer b);

void
ini_read (blob_t text, const ini_section_t *sections, size_t count,
          void *context, void (*check) (void *context, ini_file_t *file),
          GArray *problems)
{
  ini_file_t file = { .sections = sections,
                      .section_count = count,
                      .context = context,
                      .problems = problems,
                      .unread = text };
  guint count_before = problems->len;
  int error_line;

  file.line_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  error_line = ini_parse_stream (next_line, &file, parse_pair, &file);
  section_end (&file);
  complete_sections (&file);
  if (error_line && problems->len == count_before)
    problem_add (problems, error_line, "",
                 "cannot be read; key = value is allowed");
  if (check)
    check (context, &file);
  g_array_sort (problems, compare_lines);
  g_hash_table_destroy (file.line_numbers);
}

void
ini_problem (ini_file_t *file, const char *section, const char *key,
             const char *format, ...)
{
  char *location = g_strconcat (section, "\n", key, NULL);
  int line
      = GPOINTER_TO_INT (g_hash_table_lookup (file->line_numbers, location));
  va_list args;

  if (!line)
    line = GPOINTER_TO_INT (g_hash_table_lookup (file->line_numbers, section));
  g_free (location);
  va_start (args, format);
  add_problem_at (file, line, section, key, format, args);
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
  if (!file->unread.len)
    return NULL;
  end = memchr (file->unread.data, '\n', file->unread.len);
  len = end ? (size_t)(end - file->unread.data) : file->unread.len;
  file->line++;
  out[0] = '\0';
  if (line_valid (file, file->unread.data, len))
    {
      memcpy (out, file->unread.data, len);
      out[len] = '\0';
      g_strchomp (out);
      file->line_indented = g_ascii_isspace (out[0]);
      if (!syntax_valid (file, out))
        out[0] = '\0';
    }
  len += end ? 1 : 0;
  file->unread.data += len;
  file->unread.len -= (uint32_t)len;
  return out;
}

/* Checks for lines that inih would split or cut off; they are not passed to
   inih.  */
static bool
line_valid (ini_file_t *file, const char *line, size_t len)
{
  if (len > LINE_MAX_BYTES)
    {
      add_problem (file, "", "line of %zu bytes; at most %u are allowed", len,
                   LINE_MAX_BYTES);
      return false;
    }
  for (size_t i = 0; i < len; i++)
    if (g_ascii_iscntrl (line[i]) && line[i] != '\t' && line[i] != '\r')
      {
        add_problem (file, "", "control character; text is allowed");
        return false;
      }
  if (!g_utf8_validate (line, (gssize)len, NULL))
    {
      add_problem (file, "", "not UTF-8; UTF-8 text is allowed");
      return false;
    }
  return true;
}

/* Starts a section at its header, and reports lines that inih would silently
   ignore.  */
static bool
syntax_valid (ini_file_t *file, const char *line)
{
  const char *start = line + strspn (line, " \t");

  if (!*start || *start == ';' || *start == '#')
    return true;
  if (*start == '[' && !file->line_indented)
    {
      section_begin (file, start);
      return strchr (start, ']') != NULL;
    }
  if (file->line_indented && file->has_key)
    return true;
  if (*start != '[' && !file->line_indented && strpbrk (start, "=:"))
    return true;
  add_problem (
      file, "",
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
  file->last_key = NULL;
  file->has_key = false;
  file->seen_keys = 0;
  g_strlcpy (file->section_title, "?", sizeof file->section_title);
  if (!end || (end[1] && !strchr (" \t;#", end[1]))
      || (size_t)(end - line) >= sizeof file->section_title)
    {
      add_problem (file, "", "\"%.60s\" is no section; [NAME] is allowed",
                   line);
      return;
    }
  g_strlcpy (file->section_title, line + 1, (gsize)(end - line));
  words = g_strsplit (file->section_title, " ", 2);
  file->section = section_find (file, words[0] ? words[0] : "", words[1]);
  if (!file->section)
    add_unknown (file, "", "unknown section");
  else if (g_hash_table_contains (file->line_numbers, file->section_title))
    add_problem (file, "", "duplicate section; the first is at line %d",
                 GPOINTER_TO_INT (g_hash_table_lookup (file->line_numbers,
                                                       file->section_title)));
  else
    section_create_row (file, words[1]);
  g_strfreev (words);
}

static const ini_section_t *
section_find (const ini_file_t *file, const char *kind, const char *name)
{
  for (size_t i = 0; i < file->section_count; i++)
    if (strcmp (file->sections[i].name, kind) == 0
        && file->sections[i].named == (name != NULL))
      return &file->sections[i];
  return NULL;
}

static void
section_create_row (ini_file_t *file, const char *name)
{
  const char *reason = "one section of this kind is allowed";

  g_hash_table_insert (file->line_numbers, g_strdup (file->section_title),
                       GINT_TO_POINTER (file->line));
  file->seen_sections |= 1ULL << (file->section - file->sections);
  if (name && !ini_name_valid (name))
    {
      add_problem (
          file, "",
          "the name may have at most %u of a-z 0-9 . _ -, the first a "
          "letter or digit",
          INI_NAME_MAX);
      return;
    }
  file->row = file->section->open (file->context, name, &reason);
  if (!file->row)
    {
      add_problem (file, "", "%s", reason);
      return;
    }
  apply_defaults (file);
}

static void
apply_defaults (ini_file_t *file)
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

      if (key->default_text || (file->seen_keys & (1ULL << i)))
        continue;
      ini_value_allowed (key, allowed, sizeof allowed);
      ini_problem (file, file->section_title, key->name,
                   "missing; allowed: %s", allowed);
    }
}

static int
parse_pair (void *user, const char *section, const char *name,
            const char *value)
{
  ini_file_t *file = user;
  const ini_key_t *key;

  (void)section;
  if (file->line_indented)
    {
      if (!file->last_key)
        return 1;
      if (file->last_key->kind != INI_NAMES)
        add_problem (file, file->last_key->name,
                     "continued on an indented line; only lists may be");
      else if (!ini_value_extend (file->last_key, value, file->row))
        add_value_problem (file, file->last_key, value);
      return 1;
    }
  file->has_key = true;
  file->last_key = NULL;
  if (!*file->section_title)
    add_problem (file, name,
                 "before the first section; [NAME] has to come first");
  if (!file->section || !file->row)
    return 1;
  key = key_find (file->section, name);
  if (key)
    parse_key (file, key, value);
  else
    add_unknown (file, name, "unknown key");
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
parse_key (ini_file_t *file, const ini_key_t *key, const char *value)
{
  uint64_t bit = 1ULL << (key - file->section->keys);
  char *location = g_strconcat (file->section_title, "\n", key->name, NULL);

  if (file->seen_keys & bit)
    {
      add_problem (file, key->name, "duplicate key; the first is at line %d",
                   GPOINTER_TO_INT (
                       g_hash_table_lookup (file->line_numbers, location)));
      g_free (location);
      return;
    }
  file->seen_keys |= bit;
  file->last_key = key;
  g_hash_table_insert (file->line_numbers, location,
                       GINT_TO_POINTER (file->line));
  if (!ini_value_parse (key, value, file->row))
    add_value_problem (file, key, value);
}

static void
add_value_problem (ini_file_t *file, const ini_key_t *key, const char *value)
{
  char allowed[128];

  ini_value_allowed (key, allowed, sizeof allowed);
  add_problem (file, key->name, "\"%.40s\" is not allowed; allowed: %s", value,
               allowed);
}

/* Fills omitted sections with defaults; an omitted section that has required
   keys is a problem.  */
static void
complete_sections (ini_file_t *file)
{
  for (size_t i = 0; i < file->section_count; i++)
    {
      const ini_section_t *section = &file->sections[i];
      bool required = false;

      if (section->named || (file->seen_sections & (1ULL << i)))
        continue;
      for (size_t k = 0; k < section->key_count; k++)
        required = required || !section->keys[k].default_text;
      g_strlcpy (file->section_title, section->name,
                 sizeof file->section_title);
      file->section = section;
      if (required)
        {
          add_problem (file, "", "missing section");
          continue;
        }
      file->row = section->open (file->context, NULL, &(const char *){ 0 });
      if (file->row)
        apply_defaults (file);
    }
}

static void
add_problem (ini_file_t *file, const char *key, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_problem_at (file, file->line, file->section_title, key, format, args);
  va_end (args);
}

static void
add_unknown (ini_file_t *file, const char *key, const char *text)
{
  add_problem (file, key, "%s", text);
  g_array_index (file->problems, problem_t, file->problems->len - 1).unknown
      = true;
}

static void
add_problem_at (ini_file_t *file, int line, const char *section,
                const char *key, const char *format, va_list args)
{
  char *text = g_strdup_vprintf (format, args);
  char *location
      = *section ? g_strdup_printf ("[%s]%s%s", section, *key ? " " : "", key)
                 : g_strdup (key);

  problem_add (file->problems, line, location, "%s", text);
  g_free (text);
  g_free (location);
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const problem_t *first = a;
  const problem_t *second = b;

  return first->line - second->line;
}

char *
ini_load (const char *path, uint32_t max_len, gsize *len, err_t *err)
{
  GError *error = NULL;
  char *text;

  if (!g_file_get_contents (path, &text, len, &error))
    {
      err_set (err, -ENOENT, "settings", path, "%s", error->message);
      g_error_free (error);
      return NULL;
    }
  if (*len <= max_len)
    return text;
  err_set (err, -EFBIG, "settings", path, "%zu bytes; at most %u are allowed",
           *len, max_len);
  g_free (text);
  return NULL;
}

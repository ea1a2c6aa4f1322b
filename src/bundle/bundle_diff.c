/** @file
 * Differences between the values of two bundles.
 */
#include "bundle/bundle.h"
#include "bundle/bundle_keys.h"

#include <string.h>

static void diff_row (GString *out, int section, const void *from,
                      const void *to, const char *name);
static void diff_named (GString *out, const bundle_t *from, const bundle_t *to,
                        int section);
static void append_title (GString *out, int section, const char *name);

char *
bundle_diff (const bundle_t *from, const bundle_t *to)
{
  GString *out = g_string_new ("");

  diff_row (out, BUNDLE_HEAD, from, to, NULL);
  for (int section = BUNDLE_HEAD + 1; section < BUNDLE_SECTION_COUNT;
       section++)
    diff_named (out, from, to, section);
  return g_string_free (out, FALSE);
}

static void
diff_named (GString *out, const bundle_t *from, const bundle_t *to,
            int section)
{
  const GPtrArray *from_rows = bundle_rows (from, section);
  const GPtrArray *to_rows = bundle_rows (to, section);

  for (guint i = 0; i < from_rows->len; i++)
    {
      const char *name = *(char **)g_ptr_array_index (from_rows, i);

      if (bundle_row (to, section, name))
        continue;
      g_string_append (out, "- ");
      append_title (out, section, name);
      g_string_append_c (out, '\n');
    }
  for (guint i = 0; i < to_rows->len; i++)
    {
      const void *row = g_ptr_array_index (to_rows, i);
      const char *name = *(char *const *)row;
      const void *before = bundle_row (from, section, name);

      if (!before)
        {
          g_string_append (out, "+ ");
          append_title (out, section, name);
          g_string_append_c (out, '\n');
        }
      diff_row (out, section, before, row, name);
    }
}

/* Compares two rows, or lists every value of TO if FROM is NULL.  */
static void
diff_row (GString *out, int section, const void *from, const void *to,
          const char *name)
{
  const ini_section_t *table = &bundle_sections[section];

  for (size_t i = 0; i < table->key_count; i++)
    {
      char *before = from ? ini_value_text (&table->keys[i], from) : NULL;
      char *after = ini_value_text (&table->keys[i], to);

      if (!before || strcmp (before, after) != 0)
        {
          g_string_append (out, before ? "~ " : "+ ");
          append_title (out, section, name);
          g_string_append_printf (out, " %s: ", table->keys[i].name);
          if (before)
            g_string_append_printf (out, "%s -> ", before);
          g_string_append_printf (out, "%s\n", after);
        }
      g_free (before);
      g_free (after);
    }
}

static void
append_title (GString *out, int section, const char *name)
{
  g_string_append_printf (out, "[%s%s%s]", bundle_sections[section].name,
                          name ? " " : "", name ? name : "");
}

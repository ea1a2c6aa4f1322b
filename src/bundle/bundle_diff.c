/** @file
 * Differences in meaning between two bundles.
 */
#include "bundle/bundle.h"
#include "bundle/bundle_keys.h"

#include <string.h>

static void diff_rows (GString *out, int section, const void *from,
                       const void *to, const char *name);
static void diff_named (GString *out, const bundle_t *a, const bundle_t *b,
                        int section);
static void row_title (GString *out, int section, const char *name);

char *
bundle_diff (const bundle_t *a, const bundle_t *b)
{
  GString *out = g_string_new ("");

  diff_rows (out, BUNDLE_HEAD, a, b, NULL);
  for (int section = BUNDLE_HEAD + 1; section < BUNDLE_SECTION_COUNT;
       section++)
    diff_named (out, a, b, section);
  return g_string_free (out, FALSE);
}

static void
diff_named (GString *out, const bundle_t *a, const bundle_t *b, int section)
{
  const GPtrArray *old = bundle_rows (a, section);
  const GPtrArray *new = bundle_rows (b, section);

  for (guint i = 0; i < old->len; i++)
    {
      const char *name = *(char **)g_ptr_array_index (old, i);

      if (bundle_row (b, section, name))
        continue;
      g_string_append (out, "- ");
      row_title (out, section, name);
      g_string_append_c (out, '\n');
    }
  for (guint i = 0; i < new->len; i++)
    {
      const void *row = g_ptr_array_index (new, i);
      const char *name = *(char *const *)row;
      const void *before = bundle_row (a, section, name);

      if (!before)
        {
          g_string_append (out, "+ ");
          row_title (out, section, name);
          g_string_append_c (out, '\n');
        }
      diff_rows (out, section, before, row, name);
    }
}

/* Without FROM, every value of TO is listed.  */
static void
diff_rows (GString *out, int section, const void *from, const void *to,
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
          row_title (out, section, name);
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
row_title (GString *out, int section, const char *name)
{
  g_string_append_printf (out, "[%s%s%s]", bundle_sections[section].name,
                          name ? " " : "", name ? name : "");
}

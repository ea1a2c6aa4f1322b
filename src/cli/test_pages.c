/* Tests that the reference pages match the key and message tables in the
   code. */
#include "bundle/bundle_keys.h"
#include "scheduler/settings.h"
#include "settings/settings.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

static char *
read_page (const char *path)
{
  char *text = NULL;

  CU_ASSERT (g_file_get_contents (path, &text, NULL, NULL));
  return text ? text : g_strdup ("");
}

static void
expect_line (const char *path, const char *page, const char *line)
{
  if (strstr (page, line))
    return;
  printf ("%s: missing line: %s\n", path, line);
  CU_FAIL ("page does not match table");
}

static void
check_keys (const char *page_path, const char *man_path,
            const ini_section_t *sections, size_t count)
{
  char *page = read_page (page_path);
  char *man = read_page (man_path);

  for (size_t i = 0; i < count; i++)
    for (size_t k = 0; k < sections[i].key_count; k++)
      {
        const ini_key_t *key = &sections[i].keys[k];
        char allowed[128];
        char line[512];

        ini_value_allowed (key, allowed, sizeof allowed);
        g_snprintf (line, sizeof line, "\n| `%s` | %s | %s | ", key->name,
                    allowed,
                    key->default_text ? key->default_text : "required");
        expect_line (page_path, page, line);
        g_snprintf (line, sizeof line, "\n.It Ic %s\nAllowed: %s.\n%s%s.\n",
                    key->name, allowed,
                    key->default_text ? "Default " : "Required",
                    key->default_text ? key->default_text : "");
        expect_line (man_path, man, line);
      }
  CU_PASS ("all keys");
  g_free (page);
  g_free (man);
}

/* Guards against a documented range or default that differs from the one the
   program applies. */
static void
test_keys (void)
{
  size_t count;
  const ini_section_t *sections = settings_sections (&count);

  check_keys ("docs/settings.md", "man/limpethinge-settings.5", sections,
              count);
  sections = scheduler_settings_sections (&count);
  check_keys ("docs/scheduler-settings.md", "man/limpethinge-scheduler.5",
              sections, count);
  check_keys ("docs/bundle.md", "man/limpethinge-bundle.5", bundle_sections,
              BUNDLE_SECTION_COUNT);
}

/* Guards against a message that was changed without updating the protocol
   page. */
static void
test_messages (void)
{
  static const char path[] = "docs/protocol.md";
  static const char *const kinds[] = { [WIRE_U64] = "",
                                       [WIRE_I64] = " (signed)",
                                       [WIRE_BLOB] = " (bytes)",
                                       [WIRE_U64S] = " (list)" };
  char *page = read_page (path);

  for (int type = 0; type < MSG_TYPE_LIMIT; type++)
    {
      const wire_schema_t *schema = message_schema (type);
      GString *line = g_string_new ("");

      for (size_t i = 0; schema && i < schema->field_count; i++)
        g_string_append_printf (line, "%s%s%s", i ? ", " : "",
                                schema->fields[i].name,
                                kinds[schema->fields[i].kind]);
      if (schema)
        {
          char *row = g_strdup_printf ("| %d | %s | %s |", type, schema->name,
                                       line->str);

          expect_line (path, page, row);
          g_free (row);
        }
      g_string_free (line, TRUE);
    }
  CU_PASS ("all messages");
  g_free (page);
}

static const suite_test_t tests[] = {
  { "keys", test_keys },
  { "messages", test_messages },
};

int
main (void)
{
  return suite_main ("pages", tests, G_N_ELEMENTS (tests));
}

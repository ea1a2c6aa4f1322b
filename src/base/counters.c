/** @file
 * Counters and gauges of the process.
 */
#include "base/counters.h"

#include <glib.h>
#include <inttypes.h>

typedef struct
{
  const char *name;
  const char *unit;
  const char *kind;
  const char *meaning;
} counter_info_t;

static const counter_info_t counter_infos[COUNTER_COUNT] = {
#define COUNTER_INFO(id, name, unit, kind, meaning)                           \
  [COUNTER_##id] = { name, unit, kind, meaning },
  COUNTER_TABLE (COUNTER_INFO)
#undef COUNTER_INFO
};

static uint64_t values[COUNTER_COUNT];

void
counter_add (counter_t counter, uint64_t amount)
{
  values[counter] += amount;
}

void
counter_set (counter_t counter, uint64_t value)
{
  values[counter] = value;
}

uint64_t
counter_get (counter_t counter)
{
  return values[counter];
}

char *
counters_text (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < COUNTER_COUNT; i++)
    {
      const counter_info_t *info = &counter_infos[i];

      g_string_append_printf (text, "# HELP limpethinge_%s %s (%s)\n",
                              info->name, info->meaning, info->unit);
      g_string_append_printf (text, "# TYPE limpethinge_%s %s\n", info->name,
                              info->kind);
      g_string_append_printf (text, "limpethinge_%s %" PRIu64 "\n", info->name,
                              values[i]);
    }
  return g_string_free (text, FALSE);
}

/* Fuzz target: the settings parser. */
#include "fuzz.h"
#include "settings/settings.h"

/* Guards against input that crashes the parser, a problem reported without a
   text, and accepted settings that violate an invariant. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  settings_t *settings = g_new0 (settings_t, 1);
  int result = settings_parse ((blob_t){ (const char *)data, (uint32_t)size },
                               settings, problems, NULL);

  FUZZ_CHECK ((result == 0) == (problems->len == 0));
  for (guint i = 0; i < problems->len; i++)
    FUZZ_CHECK (*g_array_index (problems, problem_t, i).text);
  if (result == 0)
    {
      FUZZ_CHECK (settings->signer_count > 0 && settings->zone_count > 0);
      FUZZ_CHECK (settings->zone < settings->zone_count);
      FUZZ_CHECK (settings_shard (settings, settings->zone, "vm")
                  < settings_shard_count (settings));
      FUZZ_CHECK (settings->drain >= BUNDLE_RUN_LIMIT_MAX_MS * USEC_PER_MSEC);
    }
  g_free (settings);
  g_array_free (problems, TRUE);
  return 0;
}

/* Fuzz target: the bundle parser. */
#include "bundle/bundle_keys.h"
#include "fuzz.h"

#include <string.h>

static void check_bundle (const bundle_t *bundle);

/* Guards against input that crashes the parser, a rejected bundle without an
   error text, and an accepted bundle that violates an invariant: each name
   refers to an existing section, and no run limit exceeds the time a new
   shard owner waits before it takes over. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *bundle = bundle_parse (
      (blob_t){ (const char *)data, (uint32_t)size }, problems);

  FUZZ_CHECK ((bundle == NULL) == (problems->len > 0));
  for (guint i = 0; i < problems->len; i++)
    FUZZ_CHECK (*g_array_index (problems, problem_t, i).text);
  if (bundle)
    check_bundle (bundle);
  bundle_free (bundle);
  g_array_free (problems, TRUE);
  return 0;
}

static void
check_bundle (const bundle_t *bundle)
{
  char *self_diff = bundle_diff (bundle, bundle);
  char *description = bundle_describe (bundle);

  FUZZ_CHECK (!*self_diff && *description);
  FUZZ_CHECK (bundle->version == bundle->parent + 1);
  for (guint i = 0; i < bundle->classes->len; i++)
    {
      const work_class_t *work_class = g_ptr_array_index (bundle->classes, i);

      FUZZ_CHECK (bundle_class (bundle, work_class->name) == work_class);
      if (work_class->latency_critical)
        FUZZ_CHECK (work_class->run_limit > 0
                    && work_class->run_limit <= work_class->deadline
                    && work_class->run_limit
                           <= BUNDLE_RUN_LIMIT_MAX_MS * USEC_PER_MSEC);
    }
  for (guint i = 0; i < bundle->members->len; i++)
    {
      const member_t *member = g_ptr_array_index (bundle->members, i);

      FUZZ_CHECK (bundle_row (bundle, BUNDLE_TEAM, member->team));
      for (size_t k = 0; member->classes[k]; k++)
        FUZZ_CHECK (bundle_class (bundle, member->classes[k]));
    }
  g_free (self_diff);
  g_free (description);
}

/* Fuzz target: bundles. */
#include "bundle/bundle_keys.h"
#include "fuzz.h"

#include <string.h>

static void check_bundle (const bundle_t *bundle);

/* Guards against input on which the reader crashes, and against an accepted
   bundle that breaks a promise: references into nothing, run limits above
   the wait of a successor. */
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
  char *same = bundle_diff (bundle, bundle);
  char *text = bundle_describe (bundle);

  FUZZ_CHECK (!*same && *text);
  FUZZ_CHECK (bundle->version == bundle->parent + 1);
  for (guint i = 0; i < bundle->classes->len; i++)
    {
      const work_class_t *row = g_ptr_array_index (bundle->classes, i);

      FUZZ_CHECK (bundle_class (bundle, row->name) == row);
      if (row->latency_critical)
        FUZZ_CHECK (row->run_limit > 0 && row->run_limit <= row->deadline
                    && row->run_limit
                           <= BUNDLE_RUN_LIMIT_MAX_MS * USEC_PER_MSEC);
    }
  for (guint i = 0; i < bundle->members->len; i++)
    {
      const member_t *row = g_ptr_array_index (bundle->members, i);

      FUZZ_CHECK (bundle_row (bundle, BUNDLE_TEAM, row->team));
      for (size_t k = 0; row->classes[k]; k++)
        FUZZ_CHECK (bundle_class (bundle, row->classes[k]));
    }
  g_free (same);
  g_free (text);
}

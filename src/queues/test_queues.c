/* Tests of the queue table. */
#include "queues/queues.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>

static void
add_queue (queues_t *queues, const char *name, const char *host,
           const char *prefix)
{
  queue_rules_t rules = { .name = g_strdup (name),
                          .host = g_strdup (host),
                          .path_prefix = g_strdup (prefix),
                          .service = g_strdup ("s") };

  queues_add (queues, &rules);
}

/* A request matches by host, without port and case, and longest path prefix.
 */
static void
test_find (void)
{
  queues_t *queues = queues_new (4);
  const char *rest = NULL;

  add_queue (queues, "short", "a.example", "/x/");
  add_queue (queues, "long", "a.example", "/x/y/");
  add_queue (queues, "other", "b.example", "/x/");
  CU_ASSERT_STRING_EQUAL (
      queues_find (queues, "A.example:80", "/x/y/id", &rest)->name, "long");
  CU_ASSERT_STRING_EQUAL (rest, "id");
  CU_ASSERT_STRING_EQUAL (
      queues_find (queues, "a.example", "/x/yid", &rest)->name, "short");
  CU_ASSERT_STRING_EQUAL (
      queues_find (queues, "b.example", "/x/", &rest)->name, "other");
  CU_ASSERT_PTR_NULL (queues_find (queues, "c.example", "/x/", &rest));
  CU_ASSERT_PTR_NULL (queues_find (queues, "a.example", "/z", &rest));
  CU_ASSERT_PTR_NOT_NULL (queues_get (queues, "other"));
  CU_ASSERT_EQUAL (queues_version (queues), 4);
  queues_free (queues);
}

/* The first of two queues of the same name is kept. */
static void
test_duplicate_name (void)
{
  queues_t *queues = queues_new (1);
  const char *rest;

  add_queue (queues, "q", "a.example", "/x/");
  add_queue (queues, "q", "a.example", "/z/");
  CU_ASSERT_PTR_NULL (queues_find (queues, "a.example", "/z/", &rest));
  queues_free (queues);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "find", test_find },
    { "duplicate name", test_duplicate_name },
  };

  return suite_main ("queues", tests, sizeof tests / sizeof *tests);
}

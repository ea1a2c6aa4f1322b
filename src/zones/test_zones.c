/* Tests of the state of availability zones. */
#include "base/log.h"
#include "support/suite.h"
#include "zones/zones.h"

#include <CUnit/CUnit.h>
#include <glib.h>

static bool
apply (zones_t *zones, const char *name, bool evacuated, uint64_t version)
{
  zone_record_t record = { .evacuated = evacuated };

  g_strlcpy (record.zone, name, sizeof record.zone);
  return zones_apply (zones, USEC_PER_SEC, &record, version);
}

/* Guards against zones that affect each other, and against a request that is
   repeated. */
static void
test_evacuate_and_return (void)
{
  zones_t *zones = zones_new ();

  CU_ASSERT (!zones_is_evacuated (zones, "a"));
  CU_ASSERT (apply (zones, "a", true, 3));
  CU_ASSERT (apply (zones, "b", true, 4));
  CU_ASSERT (!apply (zones, "a", true, 5));
  CU_ASSERT_EQUAL (zones_count_evacuated (zones), 2);
  CU_ASSERT (apply (zones, "a", false, 6));
  CU_ASSERT (!zones_is_evacuated (zones, "a"));
  CU_ASSERT (zones_is_evacuated (zones, "b"));
  CU_ASSERT (!apply (zones, "c", false, 7));
  zones_free (zones);
}

/* Guards against a state that goes back: a page of the list that was read
   slowly is older than records that were read since. */
static void
test_older_record (void)
{
  zones_t *zones = zones_new ();

  apply (zones, "a", true, 3);
  apply (zones, "a", false, 9);
  CU_ASSERT (!apply (zones, "a", true, 3));
  CU_ASSERT (!apply (zones, "a", true, 9));
  CU_ASSERT (!zones_is_evacuated (zones, "a"));
  CU_ASSERT (apply (zones, "a", true, 10));
  zones_free (zones);
}

/* Guards against a zone that stays evacuated after the store has dropped the
   record of its return, and against one that is lost while the list is read
   again. */
static void
test_list_read_again (void)
{
  zones_t *zones = zones_new ();

  apply (zones, "a", true, 3);
  apply (zones, "b", true, 4);
  zones_begin_list (zones);
  apply (zones, "b", true, 4);
  apply (zones, "c", true, 21);
  CU_ASSERT (zones_is_evacuated (zones, "a"));
  CU_ASSERT (zones_end_list (zones, 2 * USEC_PER_SEC, 20));
  CU_ASSERT (!zones_is_evacuated (zones, "a"));
  CU_ASSERT (zones_is_evacuated (zones, "b"));
  CU_ASSERT (zones_is_evacuated (zones, "c"));
  zones_begin_list (zones);
  apply (zones, "b", true, 4);
  CU_ASSERT (!zones_end_list (zones, 2 * USEC_PER_SEC, 21));
  CU_ASSERT (zones_is_evacuated (zones, "c"));
  zones_free (zones);
}

/* Guards against a zone whose next evacuation is taken for an old one: its
   record is the first one after the list. */
static void
test_evacuated_after_list (void)
{
  zones_t *zones = zones_new ();

  apply (zones, "a", true, 3);
  zones_begin_list (zones);
  zones_end_list (zones, USEC_PER_SEC, 20);
  CU_ASSERT (!apply (zones, "a", true, 19));
  CU_ASSERT (apply (zones, "a", true, 20));
  zones_free (zones);
}

/* Guards against an evacuation that is dropped because the contents of its
   record cannot be read. */
static void
test_damaged_record (void)
{
  const zone_record_t record
      = { .zone = "a", .evacuated = true, .damaged = true };
  zones_t *zones = zones_new ();

  CU_ASSERT (zones_apply (zones, USEC_PER_SEC, &record, 3));
  CU_ASSERT (zones_is_evacuated (zones, "a"));
  zones_free (zones);
}

/* Guards against a state that counts as known before the first read, and
   against an age that shrinks when reads are answered out of order. */
static void
test_age (void)
{
  zones_t *zones = zones_new ();

  CU_ASSERT_EQUAL (zones_age (zones, USEC_PER_SEC), INT64_MAX);
  zones_confirm (zones, USEC_PER_SEC);
  CU_ASSERT_EQUAL (zones_age (zones, 3 * USEC_PER_SEC), 2 * USEC_PER_SEC);
  zones_confirm (zones, 0);
  CU_ASSERT_EQUAL (zones_age (zones, 3 * USEC_PER_SEC), 2 * USEC_PER_SEC);
  zones_free (zones);
}

/* Guards against memory that grows with each new name. */
static void
test_many_names (void)
{
  zones_t *zones = zones_new ();
  char name[ZONE_NAME_SIZE];

  for (uint32_t i = 0; i < 5000; i++)
    {
      g_snprintf (name, sizeof name, "zone-%u", i);
      apply (zones, name, true, i + 1);
    }
  CU_ASSERT (zones_count_evacuated (zones) < 5000);
  CU_ASSERT (zones_is_evacuated (zones, "zone-7"));
  zones_free (zones);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "evacuate and return", test_evacuate_and_return },
    { "older record", test_older_record },
    { "list read again", test_list_read_again },
    { "evacuated after a list", test_evacuated_after_list },
    { "damaged record", test_damaged_record },
    { "age", test_age },
    { "many names", test_many_names },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("zones", tests, sizeof tests / sizeof *tests);
}

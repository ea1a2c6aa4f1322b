/* Tests that builds which run side by side read each other's stored records
   and peer frames.  The files in tests/data were written by the build of the
   commit that their directory names. */
#include "scheduler/sched_private.h"
#include "support/records.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <string.h>

#define FORMER "tests/data/records-54e4ae6"

static const char *const files[]
    = { "submission", "progress", "ended",      "interference", "hello",
        "job_ask",    "job_tell", "job_submit", "owner_left" };

static char *
new_dir (void)
{
  char *dir = g_dir_make_tmp ("records-XXXXXX", NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  return dir;
}

static void
free_dir (char *dir)
{
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_build_filename (dir, files[i], NULL);

      g_unlink (path);
      g_free (path);
    }
  CU_ASSERT_EQUAL (g_rmdir (dir), 0);
  g_free (dir);
}

static void
expect_text (const char *dir, const char *expected)
{
  GString *text = g_string_new (NULL);

  records_print (dir, text);
  CU_ASSERT_STRING_EQUAL (text->str, expected);
  if (strcmp (text->str, expected) != 0)
    fprintf (stderr, "%s is read as\n%s", dir, text->str);
  g_string_free (text, TRUE);
}

static char *
former_text (void)
{
  char *text = NULL;

  CU_ASSERT_FATAL (g_file_get_contents (FORMER "/text", &text, NULL, NULL));
  return text;
}

/* Guards against jobs of an earlier build that are lost or started again. */
static void
test_earlier_records (void)
{
  char *expected = former_text ();

  expect_text (FORMER, expected);
  g_free (expected);
}

/* Guards against a task that is started three times more by this build after
   three workers have crashed under it, which an earlier build has not counted:
   a former run that has not failed may have ended so.  */
static void
test_uncounted_crashes (void)
{
  GByteArray *submission = records_read (FORMER, "submission");
  GByteArray *progress = records_read (FORMER, "progress");
  job_t *job = job_new (submission_decode (records_blob (submission)));

  CU_ASSERT_EQUAL (job_decode (job, records_blob (progress)), 0);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 1)->failures, 2);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 1)->crashes, 0);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 2)->run, 2);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 2)->crashes, 1);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 3)->crashes, 0);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 1)->losses, 0);
  CU_ASSERT_EQUAL (job_task (job, 0, 0, 2)->losses, 1);
  g_byte_array_unref (submission);
  g_byte_array_unref (progress);
  job_free (job);
}

/* Guards against records that an earlier build, which takes over a shard
   during an upgrade or a rollback, reads as something else. */
static void
test_read_by_earlier_build (void)
{
  char *dir = new_dir ();

  CU_ASSERT_EQUAL (records_write (dir), 0);
  CU_ASSERT (records_are_extensions (FORMER, dir));
  free_dir (dir);
}

/* Guards against fields of a later build that make a record unreadable. */
static void
test_appended_fields (void)
{
  char *dir = new_dir ();
  char *expected = former_text ();

  CU_ASSERT_EQUAL (records_extend (FORMER, dir), 0);
  CU_ASSERT (records_are_extensions (FORMER, dir));
  CU_ASSERT (!records_are_extensions (dir, FORMER));
  expect_text (dir, expected);
  g_free (expected);
  free_dir (dir);
}

/* Guards against a takeover that changes what a record says. */
static void
test_takeover (void)
{
  char *dir = new_dir ();
  char *expected = former_text ();

  CU_ASSERT_EQUAL (records_rewrite (FORMER, dir), 0);
  CU_ASSERT (records_are_extensions (FORMER, dir));
  expect_text (dir, expected);
  g_free (expected);
  free_dir (dir);
}

/* Guards against a build that divides the jobs into other shards. */
static void
test_layout_record (void)
{
  char text[LAYOUT_TEXT_MAX];
  layout_t layout = { 0 };

  layout_format (&(layout_t){ 2, 350, 500 }, text);
  CU_ASSERT_STRING_EQUAL (text, "2 350 500");
  CU_ASSERT (layout_parse ("2 350 9 9", 12, &layout));
  CU_ASSERT_EQUAL (layout.shards, 2);
  CU_ASSERT_EQUAL (layout.workers, 350);
  CU_ASSERT (layout_parse ("2 350", 12, &layout));
  CU_ASSERT_EQUAL (layout.millicores, 0);
}

/* Guards against a build that looks for a job in another shard, partition or
   record.  The numbers are those of 54e4ae6. */
static void
test_place_of_records (void)
{
  const scheduler_settings_t settings = { .partitions = 12 };
  scheduler_t s = { .settings = &settings, .shard_count = 3 };
  char key[RECORD_KEY_MAX + 1];

  CU_ASSERT_EQUAL (sched_shard_of (&s, 0xfedcba9876543210ULL), 0);
  CU_ASSERT_EQUAL (sched_shard_of (&s, 0x5c0e7a21d94b36f8ULL), 2);
  CU_ASSERT_EQUAL (sched_partition_of (&s, 1), 4);
  CU_ASSERT_EQUAL (sched_partition_of (&s, 2), 8);
  record_key (RECORD_SUBMISSION, 0x5c0e7a21d94b36f8ULL, key);
  CU_ASSERT_STRING_EQUAL (key, "j5c0e7a21d94b36f8");
  record_key (RECORD_PROGRESS, 0x5c0e7a21d94b36f8ULL, key);
  CU_ASSERT_STRING_EQUAL (key, "s5c0e7a21d94b36f8");
  record_key (RECORD_INTERFERENCE, 0, key);
  CU_ASSERT_STRING_EQUAL (key, "i0000000000000000");
}

/* Guards against a record that a build without the letters of identifiers
   takes for that of the job with small ones, and against keys that two jobs
   share. */
static void
test_keys_with_letters (void)
{
  const job_id_t id = job_id_make (0x5c0e7a21d94b36f8ULL, 1U << 14);
  const scheduler_settings_t settings = { .partitions = 12 };
  const scheduler_t s = { .settings = &settings, .shard_count = 3 };
  record_kind_t kind;
  job_id_t read;
  char key[RECORD_KEY_MAX + 1];

  CU_ASSERT_EQUAL (record_key (RECORD_PROGRESS, id, key), RECORD_KEY_MAX);
  CU_ASSERT_STRING_EQUAL (key, "s5C0e7a21d94b36f8.");
  CU_ASSERT (record_key_parse (blob_of (key), &kind, &read));
  CU_ASSERT (read == id);
  CU_ASSERT_EQUAL (kind, RECORD_PROGRESS);
  CU_ASSERT_EQUAL (sched_shard_of (&s, id),
                   sched_shard_of (&s, job_id_number (id)));
  CU_ASSERT (record_key_parse (blob_of ("s5c0e7a21d94b36f8"), &kind, &read));
  CU_ASSERT (read == job_id_number (id));
  CU_ASSERT_FALSE (
      record_key_parse (blob_of ("s5C0e7a21d94b36f8"), &kind, &read));
  CU_ASSERT_FALSE (
      record_key_parse (blob_of ("s5c0e7a21d94b36f8."), &kind, &read));
  CU_ASSERT_FALSE (
      record_key_parse (blob_of ("s5C0e7a21d94b36f8+"), &kind, &read));
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "keys with letters", test_keys_with_letters },
    { "records of an earlier build", test_earlier_records },
    { "uncounted crashes", test_uncounted_crashes },
    { "records for an earlier build", test_read_by_earlier_build },
    { "appended fields", test_appended_fields },
    { "takeover", test_takeover },
    { "layout record", test_layout_record },
    { "place of records", test_place_of_records },
  };

  return suite_main ("records", tests, sizeof tests / sizeof *tests);
}

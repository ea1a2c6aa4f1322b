/* Tests of blobs, tables, messages and counters. */
#include "base/counters.h"
#include "base/messages.h"
#include "base/table.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <string.h>

/* Guards against a read past the end of a blob, which is not terminated, and a
   write past the end of the output buffer. */
static void
test_blob_copy (void)
{
  char *bytes = g_memdup2 ("abcd", 4);
  char out[4];

  blob_copy ((blob_t){ bytes, 2 }, out, sizeof out);
  CU_ASSERT_STRING_EQUAL (out, "ab");
  blob_copy ((blob_t){ bytes, 4 }, out, sizeof out);
  CU_ASSERT_STRING_EQUAL (out, "abc");
  blob_copy ((blob_t){ NULL, 0 }, out, sizeof out);
  CU_ASSERT_STRING_EQUAL (out, "");
  g_free (bytes);
}

/* Guards against a stale handle that resolves to a row added later in its
   place. */
static void
test_stale_handle (void)
{
  table_t *table = table_new (sizeof (int));
  handle_t first = table_add (table);
  handle_t second;

  table_remove (table, first);
  second = table_add (table);
  CU_ASSERT_NOT_EQUAL (first, second);
  CU_ASSERT_PTR_NULL (table_get (table, first));
  CU_ASSERT_PTR_NOT_NULL (table_get (table, second));
  CU_ASSERT_EQUAL (table_count (table), 1);
  table_free (table);
}

/* Guards against a late answer that is delivered to another request: if freed
   rows were reused at once, a generation would recur after 4095 uses. */
static void
test_handle_reuse (void)
{
  table_t *table = table_new (sizeof (int));
  handle_t old = table_add (table);

  table_remove (table, old);
  for (int i = 0; i < 100000; i++)
    {
      handle_t handle = table_add (table);

      CU_ASSERT_TRUE_FATAL (handle != old && handle != HANDLE_NONE);
      table_remove (table, handle);
    }
  CU_ASSERT_PTR_NULL (table_get (table, old));
  CU_ASSERT_EQUAL (table_count (table), 0);
  table_free (table);
}

/* Guards against a table that is full, for good, after as many adds as it may
   have rows, although all of them were removed. */
static void
test_rows_are_reused (void)
{
  table_t *table = table_new (sizeof (int));
  size_t capacity = 0;

  for (uint32_t i = 0; i < 3 * TABLE_MAX_ROWS; i++)
    {
      handle_t handle = table_add (table);

      if (i == TABLE_MAX_ROWS / 2)
        capacity = table_capacity (table);
      CU_ASSERT_TRUE_FATAL (handle != HANDLE_NONE);
      table_remove (table, handle);
    }
  CU_ASSERT_EQUAL (table_capacity (table), capacity);
  CU_ASSERT (capacity < TABLE_MAX_ROWS / 100);
  table_free (table);
}

/* Guards against a row that is lost when the list of free rows becomes empty:
   a table full of rows uses each row that is removed. */
static void
test_full_table (void)
{
  table_t *table = table_new (1);
  handle_t *handles = g_new (handle_t, TABLE_MAX_ROWS);

  for (uint32_t i = 0; i < TABLE_MAX_ROWS; i++)
    handles[i] = table_add (table);
  CU_ASSERT_EQUAL (table_add (table), HANDLE_NONE);
  for (int round = 0; round < 3; round++)
    {
      for (uint32_t i = 0; i < 5; i++)
        table_remove (table, handles[i]);
      for (uint32_t i = 0; i < 5; i++)
        {
          handle_t old = handles[i];

          handles[i] = table_add (table);
          CU_ASSERT (handles[i] != HANDLE_NONE && handles[i] != old);
          CU_ASSERT_PTR_NULL (table_get (table, old));
        }
      CU_ASSERT_EQUAL (table_add (table), HANDLE_NONE);
    }
  CU_ASSERT_EQUAL (table_count (table), TABLE_MAX_ROWS);
  g_free (handles);
  table_free (table);
}

/* Guards against reuse in another order than that of the removals, which would
   have the generations of a few rows wrap early. */
static void
test_reuse_order (void)
{
  table_t *table = table_new (sizeof (int));
  handle_t handles[3000];
  uint32_t index_mask = TABLE_MAX_ROWS - 1;

  for (uint32_t i = 0; i < G_N_ELEMENTS (handles); i++)
    handles[i] = table_add (table);
  for (uint32_t i = 0; i < G_N_ELEMENTS (handles); i++)
    table_remove (table, handles[i]);
  for (uint32_t i = 0; i < 1000; i++)
    CU_ASSERT_EQUAL (table_add (table) & index_mask, handles[i] & index_mask);
  table_free (table);
}

/* Guards against a generation of 0 at the wrap, which would make the handle of
   the first row HANDLE_NONE. */
static void
test_generation_wrap (void)
{
  table_t *table = table_new (1);
  handle_t *handles = g_new (handle_t, TABLE_MAX_ROWS);
  handle_t first;

  for (uint32_t i = 0; i < TABLE_MAX_ROWS; i++)
    handles[i] = table_add (table);
  first = handles[0];
  for (uint32_t i = 0; i < 4095; i++)
    {
      handle_t old = handles[0];

      table_remove (table, old);
      handles[0] = table_add (table);
      CU_ASSERT_FATAL (handles[0] != HANDLE_NONE);
      CU_ASSERT_PTR_NULL (table_get (table, old));
    }
  CU_ASSERT_EQUAL (handles[0], first);
  g_free (handles);
  table_free (table);
}

/* Guards against an iteration that skips or repeats rows after removals. */
static void
test_table_walk (void)
{
  table_t *table = table_new (sizeof (int));
  handle_t handles[10];
  int seen = 0;

  for (int i = 0; i < 10; i++)
    handles[i] = table_add (table);
  for (int i = 0; i < 10; i += 2)
    table_remove (table, handles[i]);
  for (handle_t h = table_next (table, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (table, h))
    seen++;
  CU_ASSERT_EQUAL (seen, 5);
  table_free (table);
}

/* Guards against a field that is lost or changed by encoding and decoding. */
static void
test_message_round_trip (void)
{
  uint64_t witnesses[] = { 7, UINT64_MAX };
  message_t out = { .type = MSG_CLAIM,
                    .u.claim = { .shard = 3,
                                 .epoch = 9,
                                 .node = 2,
                                 .incarnation = 77,
                                 .witnesses = { 2, witnesses } } };
  message_t in;
  GByteArray *bytes = g_byte_array_new ();

  message_encode (&out, bytes);
  CU_ASSERT_EQUAL (
      message_decode ((blob_t){ (char *)bytes->data, bytes->len }, &in, NULL),
      0);
  CU_ASSERT_EQUAL (in.type, MSG_CLAIM);
  CU_ASSERT_EQUAL (in.u.claim.epoch, 9);
  CU_ASSERT_EQUAL (in.u.claim.witnesses.count, 2);
  CU_ASSERT_EQUAL (in.u.claim.witnesses.items[1], UINT64_MAX);
  message_clear (&in);
  g_byte_array_free (bytes, TRUE);
}

/* Guards against a truncated or malformed frame that is accepted as a
   message. */
static void
test_message_refuses_bad_bytes (void)
{
  message_t out = { .type = MSG_WORK,
                    .u.work = { .id = 1,
                                .class_name = blob_of ("proof"),
                                .member = blob_of ("m"),
                                .remaining_ms = 5,
                                .body = blob_of ("body") } };
  message_t in;
  GByteArray *bytes = g_byte_array_new ();

  message_encode (&out, bytes);
  for (uint32_t len = 0; len < bytes->len; len++)
    {
      blob_t cut = { (char *)bytes->data, len };

      CU_ASSERT_EQUAL (message_decode (cut, &in, NULL), -EBADMSG);
      message_clear (&in);
    }
  CU_ASSERT_EQUAL (message_decode (blob_of ("\xc1garbage"), &in, NULL),
                   -EBADMSG);
  g_byte_array_free (bytes, TRUE);
}

/* Guards against messages of a later build that cannot be read: it may append
   fields.  A field that is missing is another matter. */
static void
test_message_appended_fields (void)
{
  /* JOB_TELL with the fields 77, 1, 2, 3. */
  const char known[] = "\x95\x0d\x4d\x01\x02\x03";
  const char appended[] = "\x97\x0d\x4d\x01\x02\x03\xc4\x01z\x05";
  const char missing[] = "\x94\x0d\x4d\x01\x02";
  const char later_type[] = "\x92\x3f\x01";
  message_t in;

  CU_ASSERT_EQUAL (message_decode (blob_of (known), &in, NULL), 0);
  CU_ASSERT_EQUAL (in.u.job_tell.pending, 3);
  CU_ASSERT_EQUAL (message_decode (blob_of (appended), &in, NULL), 0);
  CU_ASSERT_EQUAL (in.u.job_tell.id, 77);
  CU_ASSERT_EQUAL (in.u.job_tell.pending, 3);
  CU_ASSERT_EQUAL (message_decode (blob_of (missing), &in, NULL), -EBADMSG);
  CU_ASSERT_EQUAL (message_decode (blob_of (later_type), &in, NULL), -ENOMSG);
}

/* Guards against a counter that is missing from the metrics text. */
static void
test_counters_text (void)
{
  char *text;

  counter_add (COUNTER_REQUESTS, 3);
  text = counters_text ();
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "limpethinge_requests_total 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "# TYPE limpethinge_queued gauge\n"));
  g_free (text);
}

static const suite_test_t tests[] = {
  { "blob copy", test_blob_copy },
  { "stale handle", test_stale_handle },
  { "handle reuse", test_handle_reuse },
  { "rows are reused", test_rows_are_reused },
  { "full table", test_full_table },
  { "reuse order", test_reuse_order },
  { "generation wrap", test_generation_wrap },
  { "table walk", test_table_walk },
  { "message round trip", test_message_round_trip },
  { "bad bytes", test_message_refuses_bad_bytes },
  { "appended fields", test_message_appended_fields },
  { "counters text", test_counters_text },
};

int
main (void)
{
  return suite_main ("base", tests, G_N_ELEMENTS (tests));
}

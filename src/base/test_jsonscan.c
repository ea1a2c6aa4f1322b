/* Tests of the scan of JSON texts. */
#include "base/jsonscan.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define UNLIMITED 1000000U

/* The least limits that a text passes. */
typedef struct
{
  const char *text;
  uint32_t containers;
  uint32_t values;
  uint32_t depth;
} row_t;

static int
scan (const char *text, uint32_t containers, uint32_t values, uint32_t depth)
{
  const jsonscan_limits_t limits = { containers, values, depth };

  return jsonscan (blob_of (text), &limits);
}

/* The text passes with exactly these limits and with no lower one. */
static void
check_row (const row_t *row)
{
  int code = scan (row->text, row->containers, row->values, row->depth);

  if (code)
    printf ("refused: %s\n", row->text);
  CU_ASSERT_EQUAL (code, 0);
  if (row->containers)
    CU_ASSERT_EQUAL (
        scan (row->text, row->containers - 1, UNLIMITED, UNLIMITED), -E2BIG);
  if (row->values)
    CU_ASSERT_EQUAL (scan (row->text, UNLIMITED, row->values - 1, UNLIMITED),
                     -E2BIG);
  if (row->depth)
    CU_ASSERT_EQUAL (scan (row->text, UNLIMITED, UNLIMITED, row->depth - 1),
                     -E2BIG);
}

static void
check_rows (const row_t *rows, size_t count)
{
  for (size_t i = 0; i < count; i++)
    check_row (&rows[i]);
}

/* Guards against brackets and commas of a string that count as values, and
   against a string that hides what follows it, by its escapes. */
static void
test_strings (void)
{
  static const row_t rows[] = {
    { "\"[[[{{{,,,:::\"", 0, 1, 0 },
    { "[\"\\\"[\",1]", 1, 3, 1 },
    { "[\"\\\\\",[],1]", 2, 4, 2 },
    { "[\"\\\\\\\"[[\",2]", 1, 3, 1 },
    { "[\"\\u005b\",\"\\u0022[\"]", 1, 3, 1 },
    { "[\"\",\"\"]", 1, 3, 1 },
    { "{\"a\":\"b\",\"c\" : {}}", 2, 3, 2 },
  };

  check_rows (rows, G_N_ELEMENTS (rows));
}

/* Guards against a number or literal that counts more than once, or not at
   all. */
static void
test_scalars (void)
{
  static const row_t rows[] = {
    { "[1,-2.5e+10,true,null]", 1, 5, 1 },
    { "[ 1 ,\t2\n,\r3 ]", 1, 4, 1 },
    { "{\"a\":1,\"b\":false}", 1, 3, 1 },
    { "17", 0, 1, 0 },
    { "", 0, 0, 0 },
    { " \r\n", 0, 0, 0 },
  };

  check_rows (rows, G_N_ELEMENTS (rows));
}

/* Guards against a depth that counts containers beside each other, and against
   one that a text lowers by closing what it has not opened. */
static void
test_depth (void)
{
  static const row_t rows[] = {
    { "[[],[],{}]", 4, 4, 2 },
    { "[[[]],[[]]]", 5, 5, 3 },
    { "]]]][[", 2, 2, 2 },
    { "::::[1,2]", 1, 3, 1 },
  };

  check_rows (rows, G_N_ELEMENTS (rows));
}

/* Guards against a read behind the end of a truncated text: the blob is not
   terminated by a zero, and the sanitizer sees the read. */
static void
test_truncated (void)
{
  static const char text[]
      = "{\"a\\\"[\":[1.5e3,\"\\u00e9\\\\\",true],\"b\":{}}";
  const jsonscan_limits_t limits = { 3, 6, 2 };

  for (uint32_t len = 0; len < sizeof text; len++)
    {
      char *part = g_memdup2 (text, len);

      CU_ASSERT_EQUAL (jsonscan ((blob_t){ part, len }, &limits), 0);
      g_free (part);
    }
}

/* Guards against a scan whose time grows faster than its text, and against
   counts that wrap: the text is as large as a request body may be. */
static void
test_largest_body (void)
{
  GString *text = g_string_sized_new (262144);
  jsonscan_limits_t limits = { 87381, 87381, 2 };

  g_string_append_c (text, '[');
  while (text->len < 262144 - 3)
    g_string_append (text, "{},");
  g_string_append (text, "1]");
  CU_ASSERT_EQUAL (text->len, 262144 - 1);
  CU_ASSERT_EQUAL (scan (text->str, 87381, 87383, 2), 0);
  CU_ASSERT_EQUAL (jsonscan (blob_of (text->str), &limits), -E2BIG);
  limits.max_containers = 4096;
  limits.max_values = UNLIMITED;
  CU_ASSERT_EQUAL (jsonscan (blob_of (text->str), &limits), -E2BIG);
  g_string_free (text, TRUE);
}

static const suite_test_t tests[] = {
  { "strings", test_strings },
  { "scalars", test_scalars },
  { "depth", test_depth },
  { "truncated", test_truncated },
  { "largest body", test_largest_body },
};

int
main (void)
{
  return suite_main ("jsonscan", tests, G_N_ELEMENTS (tests));
}

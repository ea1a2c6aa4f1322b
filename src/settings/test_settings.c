/* Tests of settings files. */
#include "base/log.h"
#include "settings/settings.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#define SIGNER_KEY                                                            \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define OTHER_SIGNER_KEY                                                      \
  "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define REQUIRED_SECTIONS                                                     \
  "[node]\nid=1\nzone=b\n[site]\nzones=a\n b c\n"                             \
  "[listen]\ncallers=127.0.0.1:1\noperators=127.0.0.1:2\n"                    \
  "peers=127.0.0.1:3\n"                                                       \
  "[platform]\nlog=http://127.0.0.1:4\nlist=http://127.0.0.1:5\n"
#define VALID_SETTINGS REQUIRED_SECTIONS "[signer s]\nkey=" SIGNER_KEY "\n"
#define VALID_SETTINGS_LINES 15

static GArray *
parse_problems (blob_t text, settings_t *settings)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  int code = settings_parse (text, settings, problems, NULL);

  CU_ASSERT_EQUAL (code, problems->len ? -EINVAL : 0);
  return problems;
}

/* Guards against defaults that differ from the documented ones, and against a
   list that is cut off at the end of its first line. */
static void
test_defaults (void)
{
  settings_t settings;
  GArray *problems = parse_problems (
      blob_of (VALID_SETTINGS "[peer 7]\naddress=127.0.0.2:9\nzone=c\n"),
      &settings);

  CU_ASSERT_EQUAL (problems->len, 0);
  CU_ASSERT_EQUAL (settings.zone_count, 3);
  CU_ASSERT_EQUAL (settings.zone, 1);
  CU_ASSERT_EQUAL (settings.heartbeat, 250 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (settings.lease, 2000 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (settings.drain, 1500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (settings.list_lag, 10 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (settings.log_level, LOG_LEVEL_NOTICE);
  CU_ASSERT_EQUAL (settings.peer_count, 1);
  CU_ASSERT_EQUAL (settings.peers[0].node, 7);
  CU_ASSERT_EQUAL (settings.peers[0].zone, 2);
  CU_ASSERT_STRING_EQUAL (settings.signers[0].name, "s");
  CU_ASSERT_EQUAL (settings.signers[0].key[1], 0x11);
  CU_ASSERT_EQUAL (settings_shard_count (&settings), 24);
  CU_ASSERT_EQUAL (settings_shard (&settings, 2, "vm") / 8, 2);
  g_array_free (problems, TRUE);
}

/* Each row is appended to VALID_SETTINGS and causes one problem: its line,
   counted from the end of VALID_SETTINGS, its key and a part of its message.
   Guards against invalid input that is accepted. */
static const struct
{
  const char *text;
  int line;
  const char *key;
  const char *message_part;
} invalid[] = {
  { "[timing]\nheartbeat_ms=49\n", 2, "[timing] heartbeat_ms", "from 50 to" },
  { "[timing]\nlease_ms=2s\n", 2, "[timing] lease_ms", "(ms)" },
  { "[timing]\ndrain_ms=-1\n", 2, "[timing] drain_ms", "from 1500" },
  { "[timing]\ndrain_ms=1499\n", 2, "[timing] drain_ms", "from 1500" },
  { "[timing]\nsuspect_ms=499\n", 2, "[timing] suspect_ms", "twice" },
  { "[timing]\nlease_ms=999\n", 2, "[timing] lease_ms", "at least" },
  { "[timing]\nleese_ms=2000\n", 2, "[timing] leese_ms", "unknown key" },
  { "[limits]\nqueue=5\nqueue=6\n", 3, "[limits] queue", "line 17" },
  { "[limits]\nqueue=18446744073709551617\n", 2, "[limits] queue", "from" },
  { "[limits]\nqueue=5\n 6\n", 3, "[limits] queue", "continued" },
  { "[timings]\nx=1\n", 1, "[timings]", "unknown section" },
  { "[site]\nzones=q\n", 1, "[site]", "duplicate section" },
  { "[node x]\n", 1, "[node x]", "unknown section" },
  { "[log]\nlevel=loud\n", 2, "[log] level", "err warning" },
  { "[log]\nlevel\n", 2, "[log]", "neither" },
  { "[log\nlevel=err\n", 1, "[?]", "no section" },
  { "[peer 01]\naddress=127.0.0.1:9\nzone=a\n", 1, "[peer 01]", "a number" },
  { "[peer 1]\naddress=127.0.0.1:9\nzone=a\n", 1, "[peer 1]", "itself" },
  { "[peer x]\naddress=127.0.0.1:9\nzone=a\n", 1, "[peer x]", "a number" },
  { "[peer 2]\naddress=localhost:9\nzone=a\n", 2, "[peer 2] address",
    "IP:port" },
  { "[peer 2]\naddress=127.0.0.1:70000\nzone=a\n", 2, "[peer 2] address",
    "IP:port" },
  { "[peer 2]\naddress=127.0.0.1:3\nzone=a\n", 2, "[peer 2] address",
    "twice" },
  { "[peer 2]\naddress=127.0.0.1:9\nzone=z\n", 3, "[peer 2] zone", "among" },
  { "[peer 2]\naddress=127.0.0.1:9\n", 1, "[peer 2] zone", "missing" },
  { "[signer t]\nkey=" SIGNER_KEY "\n", 2, "[signer t] key", "signer s" },
  { "[signer t]\nkey=" OTHER_SIGNER_KEY "0\n", 2, "[signer t] key", "64 hex" },
  { "[signer T]\nkey=" OTHER_SIGNER_KEY "\n", 1, "[signer T]", "the name" },
  { "[log]\nlevel=err\x01\n", 2, "[log]", "control" },
  { "; \xff\n", 1, "[signer s]", "UTF-8" },
};

static void
test_invalid_input (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      settings_t settings;
      char *text = g_strconcat (VALID_SETTINGS, invalid[i].text, NULL);
      GArray *problems = parse_problems (blob_of (text), &settings);
      problem_t first = { 0 };

      if (problems->len)
        first = g_array_index (problems, problem_t, 0);
      if (problems->len != 1
          || first.line != VALID_SETTINGS_LINES + invalid[i].line
          || strcmp (first.key, invalid[i].key) != 0
          || !strstr (first.text, invalid[i].message_part))
        {
          printf ("row %zu: %u problems, line %d, %s: %s\n", i, problems->len,
                  first.line - VALID_SETTINGS_LINES, first.key, first.text);
          CU_FAIL ("wrong problem");
        }
      g_array_free (problems, TRUE);
      g_free (text);
    }
  CU_PASS ("all rows");
}

/* Guards against a parser that stops at the first problem. */
static void
test_all_problems_reported (void)
{
  settings_t settings;
  GArray *problems = parse_problems (
      blob_of ("id=1\n[node]\nid=x\n[log]\nlevel=x\ny=1\n"), &settings);

  /* id before the first section, invalid id, missing zone, invalid level,
     unknown key y, 4 missing sections */
  CU_ASSERT_EQUAL (problems->len, 9);
  for (guint i = 1; i < problems->len; i++)
    CU_ASSERT (g_array_index (problems, problem_t, i - 1).line
               <= g_array_index (problems, problem_t, i).line);
  g_array_free (problems, TRUE);
}

/* Guards against a line longer than inih's buffer that is read as two lines,
   against a NUL that hides the rest of a file, and against oversize files. */
static void
test_oversize (void)
{
  settings_t settings;
  char *spaces = g_strnfill (200, ' ');
  char *text
      = g_strconcat (VALID_SETTINGS "[log]\nlevel=err", spaces, "x=1\n", NULL);
  GArray *problems = parse_problems (blob_of (text), &settings);
  static const char nul_text[] = VALID_SETTINGS "\0\n[log]\nlevel=x\n";
  char *path = g_build_filename (g_get_tmp_dir (), "settings-XXXXXX", NULL);
  int file = g_mkstemp (path);
  char *oversize_text = g_strnfill (300000, '\n');
  err_t err;

  CU_ASSERT_EQUAL (problems->len, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (g_array_index (problems, problem_t, 0).text, "at most 190"));
  g_array_free (problems, TRUE);
  problems
      = parse_problems ((blob_t){ nul_text, sizeof nul_text - 1 }, &settings);
  CU_ASSERT_EQUAL (problems->len, 2);
  CU_ASSERT (file >= 0 && g_file_set_contents (path, oversize_text, -1, NULL));
  CU_ASSERT_EQUAL (settings_load (path, &settings, problems, &err), -EFBIG);
  CU_ASSERT_EQUAL (settings_load ("/", &settings, problems, &err), -ENOENT);
  (void)unlink (path);
  (void)close (file);
  g_array_free (problems, TRUE);
  g_free (path);
  g_free (oversize_text);
  g_free (text);
  g_free (spaces);
}

/* Guards against example files that the parser rejects. */
static void
test_examples (void)
{
  for (int i = 1; i <= 3; i++)
    {
      settings_t settings;
      char *path = g_strdup_printf ("examples/node%d.ini", i);
      GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));

      CU_ASSERT_EQUAL (settings_load (path, &settings, problems, NULL), 0);
      CU_ASSERT_EQUAL (settings.node, i);
      CU_ASSERT_EQUAL (settings.peer_count, 2);
      g_array_free (problems, TRUE);
      g_free (path);
    }
}

/* Guards against accepting anything but a numeric IPv4 address and port, such
   as host names, which would need a resolver. */
static void
test_address (void)
{
  static const struct
  {
    const char *text;
    int code;
  } rows[] = { { "127.0.0.1:80", 0 },
               { "10.0.0.9:65535", 0 },
               { "127.0.0.1", -EINVAL },
               { "127.0.0.1:", -EINVAL },
               { "127.0.0.1:0", -EINVAL },
               { "127.0.0.1:+80", -EINVAL },
               { "127.0.0.1:080x", -EINVAL },
               { "::1:80", -EINVAL },
               { "[::1]:80", -EINVAL },
               { "127.1:80", -EINVAL },
               { ":80", -EINVAL },
               { "127.0.0.1.1:80", -EINVAL } };
  char host[48];
  uint16_t port = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (settings_address (rows[i].text, host, &port),
                     rows[i].code);
  CU_ASSERT_EQUAL (settings_address ("10.0.0.9:65535", host, &port), 0);
  CU_ASSERT_STRING_EQUAL (host, "10.0.0.9");
  CU_ASSERT_EQUAL (port, 65535);
}

static const suite_test_t tests[] = {
  { "defaults", test_defaults },
  { "invalid input", test_invalid_input },
  { "all problems reported", test_all_problems_reported },
  { "oversize", test_oversize },
  { "examples", test_examples },
  { "address", test_address },
};

int
main (void)
{
  return suite_main ("settings", tests, G_N_ELEMENTS (tests));
}

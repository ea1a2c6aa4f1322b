/* Tests of bundles: parsing, signatures, versions. */
#include "bundle/bundle.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>

#define KEY_HASH                                                              \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define CLASSES                                                               \
  "[class lc]\nlatency_critical=yes\nidempotent=yes\ndeadline_ms=2000\n"      \
  "run_limit_ms=1500\n"                                                       \
  "[class b]\nlatency_critical=no\nidempotent=no\nmillicores=1000\n"          \
  "memory_mb=64\n"
#define VALID_BUNDLE                                                          \
  "[bundle]\nversion=2\nparent=1\nauthor=ana\nsite=s\n" CLASSES               \
  "[team t]\nmillicores=9\n"                                                  \
  "[member m]\nkey_hash=" KEY_HASH "\nclasses=lc b\nteam=t\n"
#define VALID_BUNDLE_LINES 21

#define STORE_VERSIONS 4

/* Trusted signers.  ana is also the author of the bundles.  The last secret
   belongs to mallory, who is not trusted. */
static signer_t signers[3]
    = { { .name = "ben" }, { .name = "eva" }, { .name = "ana" } };
static uint8_t secrets[4][64];

static int
setup (void)
{
  uint8_t key[32];

  for (int i = 0; i < 4; i++)
    {
      uint8_t seed[crypto_sign_SEEDBYTES] = { (uint8_t)(i + 1) };

      crypto_sign_seed_keypair (i < 3 ? signers[i].key : key, secrets[i],
                                seed);
    }
  return 0;
}

static GArray *
parse_problems (const char *text)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *bundle = bundle_parse (blob_of (text), problems);

  CU_ASSERT_EQUAL (bundle == NULL, problems->len > 0);
  bundle_free (bundle);
  return problems;
}

/* Each row is appended to VALID_BUNDLE and causes one problem: its line,
   counted from the end of VALID_BUNDLE, its key and a part of its message.
   Guards against rules that cannot be enforced, and against mistyped or
   missing keys that are accepted silently. */
static const struct
{
  const char *text;
  int line;
  const char *key;
  const char *message_part;
} invalid[] = {
  { "[class x]\nlatency_critical=yes\nidempotent=yes\ndeadline_ms=1\n", 1,
    "[class x] run_limit_ms", "1 to 1500" },
  { "[class x]\nlatency_critical=yes\nidempotent=yes\ndeadline_ms=1600\n"
    "run_limit_ms=1501\n",
    5, "[class x] run_limit_ms", "1 to 1500" },
  { "[class x]\nlatency_critical=yes\nidempotent=yes\ndeadline_ms=9\n"
    "run_limit_ms=10\n",
    4, "[class x] deadline_ms", "at least its run_limit_ms" },
  { "[class x]\nlatency_critical=yes\nidempotent=yes\nresumable=yes\n"
    "deadline_ms=9\nrun_limit_ms=9\n",
    4, "[class x] resumable", "batch" },
  { "[class x]\nlatency_critical=maybe\nidempotent=yes\nmillicores=1\n"
    "memory_mb=1\n",
    2, "[class x] latency_critical", "yes or no" },
  { "[class x]\nlatency_critical=no\nidempotent=yes\nmemory_mb=1\n", 1,
    "[class x] millicores", "at least 1" },
  { "[class x]\nlatency_critical=no\nidempotent=yes\nmillicores=1\n"
    "memory_mb=1\ndeadline_ms=5\n",
    6, "[class x] deadline_ms", "only for latency-critical" },
  { "[class x]\nlatency_critical=no\nmillicores=1\nmemory_mb=1\n", 1,
    "[class x] idempotent", "missing" },
  { "[class lc]\n", 1, "[class lc]", "duplicate section" },
  { "[class lc ]\n", 1, "[class lc ]", "the name" },
  { "[class]\n", 1, "[class]", "unknown section" },
  { "[team u]\nmillicores=1\nmillicores=2\n", 3, "[team u] millicores",
    "duplicate key" },
  { "[team u]\nmillicores=1\ncores=2\n", 3, "[team u] cores", "unknown key" },
  { "[member n]\nkey_hash=" KEY_HASH "\nclasses=lc\nteam=t\n", 2,
    "[member n] key_hash", "member m" },
  { "[member n]\nkey_hash=11" KEY_HASH "\nclasses=lc\nteam=t\n", 2,
    "[member n] key_hash", "64 hex" },
  { "[member "
    "n]\nkey_hash="
    "g0112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\nclasses"
    "=lc\nteam=t\n",
    2, "[member n] key_hash", "64 hex" },
  { "[vmkind entry]\nslots=1\n", 1, "[vmkind entry]", "instance and worker" },
  { "[vmkind instance]\nslots=8\n", 1, "[vmkind instance] connections",
    "at least 1" },
  { "[vmkind worker]\nslots=8\n", 2, "[vmkind worker] slots",
    "only for instances" },
};

static void
test_invalid_input (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      char *text = g_strconcat (VALID_BUNDLE, invalid[i].text, NULL);
      GArray *problems = parse_problems (text);
      problem_t first = { 0 };

      if (problems->len)
        first = g_array_index (problems, problem_t, 0);
      if (problems->len != 1
          || first.line != VALID_BUNDLE_LINES + invalid[i].line
          || strcmp (first.key, invalid[i].key) != 0
          || !strstr (first.text, invalid[i].message_part))
        {
          printf ("row %zu: %u problems, line %d, %s: %s\n", i, problems->len,
                  first.line - VALID_BUNDLE_LINES, first.key, first.text);
          CU_FAIL ("wrong problem");
        }
      g_array_free (problems, TRUE);
      g_free (text);
    }
  CU_PASS ("all rows");
}

/* Guards against references to sections that do not exist, against a skipped
   version, and against a parser that stops at the first problem. */
static void
test_all_problems_reported (void)
{
  GArray *problems = parse_problems (
      "[bundle]\nversion=4\nparent=1\nauthor=A\nsite=s\n" CLASSES
      "[member m]\nkey_hash=" KEY_HASH "\nclasses=lc c\nteam=t\nweight=0\n");
  static const char *const keys[]
      = { "[bundle] version", "[bundle] author", "[member m] classes",
          "[member m] team", "[member m] weight" };

  CU_ASSERT_EQUAL (problems->len, G_N_ELEMENTS (keys));
  for (guint i = 0; i < problems->len && i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_STRING_EQUAL (g_array_index (problems, problem_t, i).key,
                            keys[i]);
  g_array_free (problems, TRUE);
  problems = parse_problems ("");
  CU_ASSERT_EQUAL (problems->len, 2);
  g_array_free (problems, TRUE);
}

/* Guards against a text that would not fit into a peer frame. */
static void
test_oversize (void)
{
  char *text = g_strnfill (BUNDLE_TEXT_MAX_BYTES + 1, '\n');
  GArray *problems = parse_problems (text);

  CU_ASSERT_EQUAL (problems->len, 1);
  g_array_free (problems, TRUE);
  g_free (text);
}

/* Guards against example files that are rejected, and against a member that is
   authorized with another member's key or for a class that it may not use. */
static void
test_examples (void)
{
  static const struct
  {
    const char *path;
    const char *key;
    const char *member;
    const char *allowed_class;
    const char *denied_class;
  } rows[] = {
    { "examples/magnolia.ini", "magnolia-studio-key", "studio", "plates",
      "watcher" },
    { "examples/ruedas.ini", "ruedas-sales-key", "sales", "quote", "blend" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
      char *text = NULL;
      bundle_t *bundle = NULL;
      const member_t *member = NULL;

      CU_ASSERT (g_file_get_contents (rows[i].path, &text, NULL, NULL));
      bundle = bundle_parse (blob_of (text ? text : ""), problems);
      CU_ASSERT_PTR_NOT_NULL_FATAL (bundle);
      CU_ASSERT_EQUAL (bundle_vm_kind (bundle, "instance")->slots, 8);
      member = bundle_member_by_key (bundle, blob_of (rows[i].key));
      CU_ASSERT_PTR_NOT_NULL_FATAL (member);
      if (!member)
        return;
      CU_ASSERT_STRING_EQUAL (member->name, rows[i].member);
      CU_ASSERT (member_may_send (member, rows[i].allowed_class));
      CU_ASSERT_FALSE (member_may_send (member, rows[i].denied_class));
      CU_ASSERT_PTR_NULL (bundle_member_by_key (bundle, blob_of ("")));
      CU_ASSERT_PTR_NULL (
          bundle_member_by_key (bundle, blob_of ("no such key")));
      bundle_free (bundle);
      g_free (text);
      g_array_free (problems, TRUE);
    }
}

/* Guards against a changed value that the diff does not show to the signer. */
static void
test_diff (void)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *a = bundle_parse (blob_of (VALID_BUNDLE), problems);
  bundle_t *b = bundle_parse (
      blob_of ("[team u]\nmillicores=3\n; a comment is no change\n"
               "[bundle]\nversion=3\nparent=2\nauthor=eva\nsite=s\n"
               "[class lc]\nlatency_critical=yes\nidempotent=yes\n"
               "deadline_ms=1999\nrun_limit_ms=1500\n"
               "[member m]\nkey_hash=" KEY_HASH "\nclasses=lc\nteam=u\n"),
      problems);
  char *same = bundle_diff (a, a);
  char *diff = bundle_diff (a, b);

  CU_ASSERT_STRING_EQUAL (same, "");
  CU_ASSERT_STRING_EQUAL (diff, "~ [bundle] version: 2 -> 3\n"
                                "~ [bundle] parent: 1 -> 2\n"
                                "~ [bundle] author: ana -> eva\n"
                                "- [class b]\n"
                                "~ [class lc] deadline_ms: 2000 -> 1999\n"
                                "- [team t]\n"
                                "+ [team u]\n"
                                "+ [team u] millicores: 3\n"
                                "~ [member m] classes: lc b -> lc\n"
                                "~ [member m] team: t -> u\n");
  g_free (same);
  g_free (diff);
  bundle_free (a);
  bundle_free (b);
  g_array_free (problems, TRUE);
}

/* Guards against accepting a bundle that only its author has approved, or that
   was altered after it was signed. */
static void
test_signature (void)
{
  blob_t text = blob_of (VALID_BUNDLE);
  char signature[BUNDLE_SIGNATURE_SIZE];
  char block[BUNDLE_SIGNATURE_SIZE];
  char *altered = g_strconcat (VALID_BUNDLE, "\n", NULL);

  CU_ASSERT_EQUAL (bundle_sign (text, "ana", secrets[2], signature, NULL),
                   -EPERM);
  CU_ASSERT_EQUAL (
      bundle_sign (blob_of ("x"), "ben", secrets[0], signature, NULL),
      -EINVAL);
  CU_ASSERT_EQUAL (bundle_sign (text, "ben", secrets[0], signature, NULL), 0);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (signature), signers, 3, NULL),
                   0);
  CU_ASSERT_EQUAL (
      bundle_verify (blob_of (altered), blob_of (signature), signers, 3, NULL),
      -EPERM);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (""), signers, 3, NULL),
                   -EPERM);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (signature), signers, 0, NULL),
                   -EPERM);
  /* The same signature attributed to another signer, to the author and to an
     unknown signer; then truncated, and too long. */
  for (const char *const *name
       = (const char *const[]){ "eva", "ana", "mallory", NULL };
       *name; name++)
    {
      g_snprintf (block, sizeof block, "%s %s", *name, signature + 4);
      CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                       -EPERM);
    }
  CU_ASSERT_EQUAL (bundle_sign (text, "mallory", secrets[3], block, NULL), 0);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                   -EPERM);
  /* A valid signature by the author, which bundle_sign refuses to make. */
  CU_ASSERT_EQUAL (bundle_sign (text, "eva", secrets[2], block, NULL), 0);
  block[0] = 'a';
  block[1] = 'n';
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                   -EPERM);
  g_strlcpy (block, signature, strlen (signature) - 1);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                   -EPERM);
  memset (block, 'a', sizeof block);
  CU_ASSERT_EQUAL (
      bundle_verify (text, (blob_t){ block, sizeof block }, signers, 3, NULL),
      -EPERM);
  g_free (altered);
}

/* One signed entry of the log. */
typedef struct
{
  char *text;
  char signature[BUNDLE_SIGNATURE_SIZE];
  msg_bundle_t message;
} entry_t;

static entry_t *
entry_new (uint64_t version, const char *site)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->text = g_strdup_printf ("[bundle]\nversion=%d\nparent=%d\nauthor=ana"
                                 "\nsite=%s\n" CLASSES,
                                 (int)version, (int)version - 1, site);
  (void)bundle_sign (blob_of (entry->text), "ben", secrets[0],
                     entry->signature, NULL);
  entry->message = (msg_bundle_t){ version, version - 1, blob_of (entry->text),
                                   blob_of (entry->signature) };
  return entry;
}

/* An entry with another text for the same version, signed by eva. */
static entry_t *
entry_concurrent (const entry_t *other)
{
  entry_t *entry = entry_new (other->message.version, "s");

  g_free (entry->text);
  entry->text = g_strconcat (other->text, "; rival\n", NULL);
  (void)bundle_sign (blob_of (entry->text), "eva", secrets[1],
                     entry->signature, NULL);
  entry->message.text = blob_of (entry->text);
  entry->message.signature = blob_of (entry->signature);
  return entry;
}

static void
entry_free (entry_t *entry)
{
  g_free (entry->text);
  g_free (entry);
}

static bool
is_in_force (const bundle_store_t *store, const entry_t *entry)
{
  msg_bundle_t in_force;

  return bundle_store_message (store, &in_force)
         && blob_equals (in_force.text, entry->text);
}

static uint64_t
version_in_force (const bundle_store_t *store)
{
  const bundle_t *bundle = bundle_store_current (store);

  return bundle ? bundle->version : 0;
}

/* Guards against two bundles in force at once after concurrent rolls by two
   operators, and against an old bundle that is replayed and adopted again. */
static void
test_concurrent_rolls (void)
{
  bundle_store_t *store = bundle_store_new (signers, 3);
  entry_t *first = entry_new (1, "s");
  entry_t *winner = entry_new (2, "s");
  entry_t *loser = entry_concurrent (winner);
  entry_t *other_site = entry_new (3, "z");
  msg_bundle_t forged = winner->message;
  msg_bundle_t in_force;
  err_t err;

  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &winner->message, &err),
                   -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &winner->message, &err),
                   -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &first->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &first->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &loser->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &winner->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &loser->message, &err), -ESTALE);
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "version 2 in force"));
  CU_ASSERT_EQUAL (bundle_store_apply (store, &winner->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &first->message, &err), -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &first->message, &err),
                   -EALREADY);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &loser->message, &err),
                   -EALREADY);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &other_site->message, &err),
                   -EINVAL);
  /* Version and parent of the entry differ from those in the signed text. */
  forged.version = 3;
  forged.parent = 2;
  CU_ASSERT_EQUAL (bundle_store_apply (store, &forged, &err), -EINVAL);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &forged, &err), -EINVAL);
  CU_ASSERT (bundle_store_message (store, &in_force));
  CU_ASSERT (blob_equals (in_force.text, winner->text));
  CU_ASSERT (blob_equals (in_force.signature, winner->signature));
  bundle_store_free (store);
  entry_free (first);
  entry_free (winner);
  entry_free (loser);
  entry_free (other_site);
}

/* Guards against accepting unsigned or altered entries and offers. */
static void
test_store_refuses (void)
{
  bundle_store_t *store = bundle_store_new (signers, 3);
  entry_t *entry = entry_new (1, "s");
  msg_bundle_t message = entry->message;
  err_t err;

  message.signature.len -= 1;
  CU_ASSERT_EQUAL (bundle_store_apply (store, &message, &err), -EPERM);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &message, &err), -EPERM);
  message = entry->message;
  entry->text[strlen (entry->text) - 2] ^= 1;
  CU_ASSERT_EQUAL (bundle_store_apply (store, &message, &err), -EPERM);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &message, &err), -EPERM);
  CU_ASSERT_EQUAL (version_in_force (store), 0);
  CU_ASSERT_FALSE (bundle_store_message (store, &message));
  bundle_store_free (store);
  entry_free (entry);
}

/* Guards against a version that decreases, whatever the order of log entries,
   snapshots and offers, and against readers of one log that end with different
   versions. */
static void
test_version_never_decreases (void)
{
  entry_t *entries[STORE_VERSIONS];
  GRand *random = g_rand_new_with_seed (20261204);

  for (int i = 0; i < STORE_VERSIONS; i++)
    entries[i] = entry_new ((uint64_t)i + 1, "s");
  for (int round = 0; round < 200; round++)
    {
      bundle_store_t *store = bundle_store_new (signers, 3);
      uint64_t before = 0;

      for (int step = 0; step < 24; step++)
        {
          msg_bundle_t message
              = entries[g_rand_int_range (random, 0, STORE_VERSIONS)]->message;
          int kind = g_rand_int_range (random, 0, 3);

          message.parent = kind == 2 ? message.version : message.parent;
          (void)(kind == 0 ? bundle_store_offer (store, &message, NULL)
                           : bundle_store_apply (store, &message, NULL));
          CU_ASSERT (version_in_force (store) >= before);
          before = version_in_force (store);
        }
      for (int i = 0; i < STORE_VERSIONS; i++)
        (void)bundle_store_apply (store, &entries[i]->message, NULL);
      CU_ASSERT_EQUAL (version_in_force (store), STORE_VERSIONS);
      bundle_store_free (store);
    }
  for (int i = 0; i < STORE_VERSIONS; i++)
    entry_free (entries[i]);
  g_rand_free (random);
}

/* Guards against a process that starts after the rolls have expired from the
   log and finds no bundle, or adopts the one that lost to a concurrent roll.
 */
static void
test_snapshot (void)
{
  bundle_store_t *early = bundle_store_new (signers, 3);
  bundle_store_t *late = bundle_store_new (signers, 3);
  entry_t *entries[3];
  msg_bundle_t snapshot;
  err_t err;

  for (int i = 0; i < 3; i++)
    entries[i] = entry_new ((uint64_t)i + 1, "s");
  CU_ASSERT_FALSE (bundle_store_snapshot (early, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_apply (early, &entries[0]->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (early, &entries[1]->message, &err), 0);
  CU_ASSERT (bundle_store_snapshot (early, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_check_roll (early, &snapshot, &err), -EINVAL);
  CU_ASSERT_EQUAL (bundle_store_apply (late, &entries[2]->message, &err),
                   -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_apply (late, &snapshot, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (early, &snapshot, &err), 0);
  CU_ASSERT_EQUAL (version_in_force (late), 2);
  CU_ASSERT_EQUAL (bundle_store_apply (late, &entries[2]->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (late, &snapshot, &err), -ESTALE);
  CU_ASSERT_EQUAL (version_in_force (late), 3);
  /* An offer that is newer than the log is used, but not as a snapshot. */
  CU_ASSERT_EQUAL (bundle_store_offer (early, &entries[2]->message, &err), 0);
  CU_ASSERT_EQUAL (version_in_force (early), 3);
  CU_ASSERT_FALSE (bundle_store_snapshot (early, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_apply (early, &entries[2]->message, &err), 0);
  CU_ASSERT (bundle_store_snapshot (early, &snapshot));
  for (int i = 0; i < 3; i++)
    entry_free (entries[i]);
  bundle_store_free (early);
  bundle_store_free (late);
}

/* Guards against a process that keeps the losing one of two concurrent rolls,
   because it began to read the log after the winning one or because a peer
   offered the losing one. */
static void
test_losing_roll_replaced (void)
{
  bundle_store_t *behind = bundle_store_new (signers, 3);
  bundle_store_t *offered = bundle_store_new (signers, 3);
  entry_t *winner = entry_new (1, "s");
  entry_t *loser = entry_concurrent (winner);
  msg_bundle_t snapshot = winner->message;

  snapshot.parent = snapshot.version;
  CU_ASSERT_EQUAL (bundle_store_apply (behind, &loser->message, NULL), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (behind, &snapshot, NULL), 0);
  CU_ASSERT (is_in_force (behind, winner));
  CU_ASSERT_EQUAL (bundle_store_offer (offered, &loser->message, NULL), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (offered, &winner->message, NULL), 0);
  CU_ASSERT (is_in_force (offered, winner));
  bundle_store_free (behind);
  bundle_store_free (offered);
  entry_free (winner);
  entry_free (loser);
}

/* Picks the next record of LEADER's log at random: the next version in one of
   two variants, an earlier version, or a snapshot. */
static msg_bundle_t
random_record (GRand *random, const bundle_store_t *leader,
               entry_t *entries[STORE_VERSIONS][2])
{
  uint64_t next = version_in_force (leader) + 1;
  int pick = g_rand_int_range (random, 0, 4);
  msg_bundle_t record;

  if (pick == 0 && bundle_store_snapshot (leader, &record))
    return record;
  if (pick == 1 || next > STORE_VERSIONS)
    next = (uint64_t)g_rand_int_range (random, 1, STORE_VERSIONS + 1);
  return entries[next - 1][g_rand_int_range (random, 0, 2)]->message;
}

/* Guards against two processes that have different bundles after reading the
   same log, when one of them started late and adopted offers of the other. */
static void
test_readers_agree (void)
{
  entry_t *entries[STORE_VERSIONS][2];
  GRand *random = g_rand_new_with_seed (20261205);

  for (int i = 0; i < STORE_VERSIONS; i++)
    {
      entries[i][0] = entry_new ((uint64_t)i + 1, "s");
      entries[i][1] = entry_concurrent (entries[i][0]);
    }
  for (int round = 0; round < 100; round++)
    {
      bundle_store_t *leader = bundle_store_new (signers, 3);
      bundle_store_t *late = bundle_store_new (signers, 3);
      int start = g_rand_int_range (random, 0, 15);
      msg_bundle_t a = { 0 };
      msg_bundle_t b = { 0 };

      for (int step = 0; step < 16; step++)
        {
          msg_bundle_t record = random_record (random, leader, entries);

          (void)bundle_store_apply (leader, &record, NULL);
          if (step >= start)
            (void)bundle_store_apply (late, &record, NULL);
          if (g_rand_boolean (random) && bundle_store_message (leader, &a))
            (void)bundle_store_offer (late, &a, NULL);
        }
      if (bundle_store_snapshot (leader, &a))
        CU_ASSERT_EQUAL (bundle_store_apply (late, &a, NULL), 0);
      CU_ASSERT (bundle_store_message (leader, &a));
      CU_ASSERT (bundle_store_message (late, &b));
      CU_ASSERT (a.version == b.version && a.text.len == b.text.len);
      bundle_store_free (leader);
      bundle_store_free (late);
    }
  for (int i = 0; i < STORE_VERSIONS * 2; i++)
    entry_free (entries[i / 2][i % 2]);
  g_rand_free (random);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (sodium_init () < 0 || CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("bundle", setup, NULL);
  CU_add_test (suite, "invalid input", test_invalid_input);
  CU_add_test (suite, "all problems reported", test_all_problems_reported);
  CU_add_test (suite, "oversize", test_oversize);
  CU_add_test (suite, "examples", test_examples);
  CU_add_test (suite, "diff", test_diff);
  CU_add_test (suite, "signature", test_signature);
  CU_add_test (suite, "concurrent rolls", test_concurrent_rolls);
  CU_add_test (suite, "store refuses", test_store_refuses);
  CU_add_test (suite, "version never decreases", test_version_never_decreases);
  CU_add_test (suite, "snapshot", test_snapshot);
  CU_add_test (suite, "losing roll replaced", test_losing_roll_replaced);
  CU_add_test (suite, "readers agree", test_readers_agree);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

/* Tests of bundles: parsing, signatures, versions. */
#include "bundle/bundle.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>

#define HASH "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define CLASSES                                                               \
  "[class lc]\nlatency_critical=yes\nidempotent=yes\ndeadline_ms=2000\n"      \
  "run_limit_ms=1500\n"                                                       \
  "[class b]\nlatency_critical=no\nidempotent=no\nmillicores=1000\n"          \
  "memory_mb=64\n"
#define GOOD                                                                  \
  "[bundle]\nversion=2\nparent=1\nauthor=ana\nsite=s\n" CLASSES               \
  "[team t]\nmillicores=9\n"                                                  \
  "[member m]\nkey_hash=" HASH "\nclasses=lc b\nteam=t\n"
#define GOOD_LINES 21

#define STORE_VERSIONS 4

/* Signers of the tests: ben and eva are trusted, mallory is not.  ana has a
   trusted key too, but is the author. */
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
problems_of (const char *text)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *bundle = bundle_parse (blob_of (text), problems);

  CU_ASSERT_EQUAL (bundle == NULL, problems->len > 0);
  bundle_free (bundle);
  return problems;
}

/* Each row: what follows a good bundle, the line of the one problem counted
   from the end of the good part, its key and a part of its text.  Guards
   against a promise that cannot be kept or that nobody wrote. */
static const struct
{
  const char *text;
  int line;
  const char *key;
  const char *what;
} bad[] = {
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
  { "[member n]\nkey_hash=" HASH "\nclasses=lc\nteam=t\n", 2,
    "[member n] key_hash", "member m" },
  { "[member n]\nkey_hash=11" HASH "\nclasses=lc\nteam=t\n", 2,
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
test_bad_input (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *text = g_strconcat (GOOD, bad[i].text, NULL);
      GArray *problems = problems_of (text);
      problem_t first = { 0 };

      if (problems->len)
        first = g_array_index (problems, problem_t, 0);
      if (problems->len != 1 || first.line != GOOD_LINES + bad[i].line
          || strcmp (first.key, bad[i].key) != 0
          || !strstr (first.text, bad[i].what))
        {
          printf ("row %zu: %u problems, line %d, %s: %s\n", i, problems->len,
                  first.line - GOOD_LINES, first.key, first.text);
          CU_FAIL ("wrong problem");
        }
      g_array_free (problems, TRUE);
      g_free (text);
    }
  CU_PASS ("all rows");
}

/* Guards against references into nothing and a version that skips one, and
   against reports that stop at the first problem. */
static void
test_all_at_once (void)
{
  GArray *problems = problems_of (
      "[bundle]\nversion=4\nparent=1\nauthor=A\nsite=s\n" CLASSES
      "[member m]\nkey_hash=" HASH "\nclasses=lc c\nteam=t\nweight=0\n");
  static const char *const keys[]
      = { "[bundle] version", "[bundle] author", "[member m] classes",
          "[member m] team", "[member m] weight" };

  CU_ASSERT_EQUAL (problems->len, G_N_ELEMENTS (keys));
  for (guint i = 0; i < problems->len && i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_STRING_EQUAL (g_array_index (problems, problem_t, i).key,
                            keys[i]);
  g_array_free (problems, TRUE);
  problems = problems_of ("");
  CU_ASSERT_EQUAL (problems->len, 2);
  g_array_free (problems, TRUE);
}

/* Guards against a text that would not fit into one frame. */
static void
test_oversize (void)
{
  char *text = g_strnfill (BUNDLE_TEXT_MAX_BYTES + 1, '\n');
  GArray *problems = problems_of (text);

  CU_ASSERT_EQUAL (problems->len, 1);
  g_array_free (problems, TRUE);
  g_free (text);
}

/* Guards against an example that is refused or a member that is let in with
   another's key or class. */
static void
test_examples (void)
{
  static const struct
  {
    const char *path;
    const char *key;
    const char *member;
    const char *may;
    const char *may_not;
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
      CU_ASSERT (member_may_send (member, rows[i].may));
      CU_ASSERT_FALSE (member_may_send (member, rows[i].may_not));
      CU_ASSERT_PTR_NULL (bundle_member_by_key (bundle, blob_of ("")));
      CU_ASSERT_PTR_NULL (
          bundle_member_by_key (bundle, blob_of ("no such key")));
      bundle_free (bundle);
      g_free (text);
      g_array_free (problems, TRUE);
    }
}

/* Guards against a change that the operator who signs is not shown. */
static void
test_diff (void)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *a = bundle_parse (blob_of (GOOD), problems);
  bundle_t *b = bundle_parse (
      blob_of ("[team u]\nmillicores=3\n; a comment is no change\n"
               "[bundle]\nversion=3\nparent=2\nauthor=eva\nsite=s\n"
               "[class lc]\nlatency_critical=yes\nidempotent=yes\n"
               "deadline_ms=1999\nrun_limit_ms=1500\n"
               "[member m]\nkey_hash=" HASH "\nclasses=lc\nteam=u\n"),
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

/* Guards against a bundle in force that nobody but its author has read, or
   that was altered after it was signed. */
static void
test_signature (void)
{
  blob_t text = blob_of (GOOD);
  char good[BUNDLE_SIGNATURE_SIZE];
  char block[BUNDLE_SIGNATURE_SIZE];
  char *altered = g_strconcat (GOOD, "\n", NULL);

  CU_ASSERT_EQUAL (bundle_sign (text, "ana", secrets[2], good, NULL), -EPERM);
  CU_ASSERT_EQUAL (bundle_sign (blob_of ("x"), "ben", secrets[0], good, NULL),
                   -EINVAL);
  CU_ASSERT_EQUAL (bundle_sign (text, "ben", secrets[0], good, NULL), 0);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (good), signers, 3, NULL), 0);
  CU_ASSERT_EQUAL (
      bundle_verify (blob_of (altered), blob_of (good), signers, 3, NULL),
      -EPERM);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (""), signers, 3, NULL),
                   -EPERM);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (good), signers, 0, NULL),
                   -EPERM);
  /* The same signature under the names of another signer, of the author and
     of a stranger, cut short, and too long. */
  for (const char *const *name
       = (const char *const[]){ "eva", "ana", "mallory", NULL };
       *name; name++)
    {
      g_snprintf (block, sizeof block, "%s %s", *name, good + 4);
      CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                       -EPERM);
    }
  CU_ASSERT_EQUAL (bundle_sign (text, "mallory", secrets[3], block, NULL), 0);
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                   -EPERM);
  /* The author's own good signature, made outside of bundle_sign. */
  CU_ASSERT_EQUAL (bundle_sign (text, "eva", secrets[2], block, NULL), 0);
  block[0] = 'a';
  block[1] = 'n';
  CU_ASSERT_EQUAL (bundle_verify (text, blob_of (block), signers, 3, NULL),
                   -EPERM);
  g_strlcpy (block, good, strlen (good) - 1);
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

/* Another text of the same version, signed by somebody else. */
static entry_t *
entry_rival (const entry_t *other)
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
holds (const bundle_store_t *store, const entry_t *entry)
{
  msg_bundle_t held;

  return bundle_store_message (store, &held)
         && blob_equals (held.text, entry->text);
}

static uint64_t
version_of (const bundle_store_t *store)
{
  const bundle_t *bundle = bundle_store_current (store);

  return bundle ? bundle->version : 0;
}

/* Guards against two bundles in force at once after two operators rolled, and
   against an old one that comes into force again when it is replayed. */
static void
test_two_rolls (void)
{
  bundle_store_t *store = bundle_store_new (signers, 3);
  entry_t *first = entry_new (1, "s");
  entry_t *a = entry_new (2, "s");
  entry_t *b = entry_rival (a);
  entry_t *other_site = entry_new (3, "z");
  msg_bundle_t forged = a->message;
  msg_bundle_t held;
  err_t err;

  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &a->message, &err),
                   -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &a->message, &err), -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &first->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &first->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_check_roll (store, &b->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &a->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &b->message, &err), -ESTALE);
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "version 2 in force"));
  CU_ASSERT_EQUAL (bundle_store_apply (store, &a->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &first->message, &err), -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &first->message, &err),
                   -EALREADY);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &b->message, &err), -EALREADY);
  CU_ASSERT_EQUAL (bundle_store_apply (store, &other_site->message, &err),
                   -EINVAL);
  /* The numbers of the entry do not match those that were signed. */
  forged.version = 3;
  forged.parent = 2;
  CU_ASSERT_EQUAL (bundle_store_apply (store, &forged, &err), -EINVAL);
  CU_ASSERT_EQUAL (bundle_store_offer (store, &forged, &err), -EINVAL);
  CU_ASSERT (bundle_store_message (store, &held));
  CU_ASSERT (blob_equals (held.text, a->text));
  CU_ASSERT (blob_equals (held.signature, a->signature));
  bundle_store_free (store);
  entry_free (first);
  entry_free (a);
  entry_free (b);
  entry_free (other_site);
}

/* Guards against unsigned and altered entries and offers. */
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
  CU_ASSERT_EQUAL (version_of (store), 0);
  CU_ASSERT_FALSE (bundle_store_message (store, &message));
  bundle_store_free (store);
  entry_free (entry);
}

/* Guards against a version that goes down under any order of entries of the
   log, snapshots and offers, and against readers that disagree at the end. */
static void
test_any_order (void)
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
          CU_ASSERT (version_of (store) >= before);
          before = version_of (store);
        }
      for (int i = 0; i < STORE_VERSIONS; i++)
        (void)bundle_store_apply (store, &entries[i]->message, NULL);
      CU_ASSERT_EQUAL (version_of (store), STORE_VERSIONS);
      bundle_store_free (store);
    }
  for (int i = 0; i < STORE_VERSIONS; i++)
    entry_free (entries[i]);
  g_rand_free (random);
}

/* Guards against a process that starts after the rolls have expired from the
   log and either finds no bundle or takes the loser of two rolls. */
static void
test_snapshot (void)
{
  bundle_store_t *old = bundle_store_new (signers, 3);
  bundle_store_t *fresh = bundle_store_new (signers, 3);
  entry_t *entries[3];
  msg_bundle_t snapshot;
  err_t err;

  for (int i = 0; i < 3; i++)
    entries[i] = entry_new ((uint64_t)i + 1, "s");
  CU_ASSERT_FALSE (bundle_store_snapshot (old, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_apply (old, &entries[0]->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (old, &entries[1]->message, &err), 0);
  CU_ASSERT (bundle_store_snapshot (old, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_check_roll (old, &snapshot, &err), -EINVAL);
  CU_ASSERT_EQUAL (bundle_store_apply (fresh, &entries[2]->message, &err),
                   -ESTALE);
  CU_ASSERT_EQUAL (bundle_store_apply (fresh, &snapshot, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (old, &snapshot, &err), 0);
  CU_ASSERT_EQUAL (version_of (fresh), 2);
  CU_ASSERT_EQUAL (bundle_store_apply (fresh, &entries[2]->message, &err), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (fresh, &snapshot, &err), -ESTALE);
  CU_ASSERT_EQUAL (version_of (fresh), 3);
  /* An offer that is ahead of the log is used, but is no snapshot. */
  CU_ASSERT_EQUAL (bundle_store_offer (old, &entries[2]->message, &err), 0);
  CU_ASSERT_EQUAL (version_of (old), 3);
  CU_ASSERT_FALSE (bundle_store_snapshot (old, &snapshot));
  CU_ASSERT_EQUAL (bundle_store_apply (old, &entries[2]->message, &err), 0);
  CU_ASSERT (bundle_store_snapshot (old, &snapshot));
  for (int i = 0; i < 3; i++)
    entry_free (entries[i]);
  bundle_store_free (old);
  bundle_store_free (fresh);
}

/* Guards against a process that stays with the loser of two rolls: it began to
   read the log behind the winner, or a peer offered it the loser. */
static void
test_loser_replaced (void)
{
  bundle_store_t *behind = bundle_store_new (signers, 3);
  bundle_store_t *offered = bundle_store_new (signers, 3);
  entry_t *winner = entry_new (1, "s");
  entry_t *loser = entry_rival (winner);
  msg_bundle_t snapshot = winner->message;

  snapshot.parent = snapshot.version;
  CU_ASSERT_EQUAL (bundle_store_apply (behind, &loser->message, NULL), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (behind, &snapshot, NULL), 0);
  CU_ASSERT (holds (behind, winner));
  CU_ASSERT_EQUAL (bundle_store_offer (offered, &loser->message, NULL), 0);
  CU_ASSERT_EQUAL (bundle_store_apply (offered, &winner->message, NULL), 0);
  CU_ASSERT (holds (offered, winner));
  bundle_store_free (behind);
  bundle_store_free (offered);
  entry_free (winner);
  entry_free (loser);
}

/* Appends a random record to the log of LEADER: the next version in one of
   two variants, an old one again, or a snapshot.  @return the record */
static msg_bundle_t
random_record (GRand *random, const bundle_store_t *leader,
               entry_t *entries[STORE_VERSIONS][2])
{
  uint64_t next = version_of (leader) + 1;
  int pick = g_rand_int_range (random, 0, 4);
  msg_bundle_t record;

  if (pick == 0 && bundle_store_snapshot (leader, &record))
    return record;
  if (pick == 1 || next > STORE_VERSIONS)
    next = (uint64_t)g_rand_int_range (random, 1, STORE_VERSIONS + 1);
  return entries[next - 1][g_rand_int_range (random, 0, 2)]->message;
}

/* Guards against two processes with different bundles at the end of the same
   log, when one of them started late and took offers of the other. */
static void
test_readers_agree (void)
{
  entry_t *entries[STORE_VERSIONS][2];
  GRand *random = g_rand_new_with_seed (20261205);

  for (int i = 0; i < STORE_VERSIONS; i++)
    {
      entries[i][0] = entry_new ((uint64_t)i + 1, "s");
      entries[i][1] = entry_rival (entries[i][0]);
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
  CU_add_test (suite, "bad input", test_bad_input);
  CU_add_test (suite, "all at once", test_all_at_once);
  CU_add_test (suite, "oversize", test_oversize);
  CU_add_test (suite, "examples", test_examples);
  CU_add_test (suite, "diff", test_diff);
  CU_add_test (suite, "signature", test_signature);
  CU_add_test (suite, "two rolls", test_two_rolls);
  CU_add_test (suite, "store refuses", test_store_refuses);
  CU_add_test (suite, "any order", test_any_order);
  CU_add_test (suite, "snapshot", test_snapshot);
  CU_add_test (suite, "loser replaced", test_loser_replaced);
  CU_add_test (suite, "readers agree", test_readers_agree);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

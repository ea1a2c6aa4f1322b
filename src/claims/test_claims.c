/* Tests of single rules of the claims module on a paused clock; node 1 with
   incarnation 11 is the process under test, shard 0 the shard. */
#include "claims/claims.h"

#include <CUnit/Basic.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define LEASE (2000 * MS)
#define DRAIN (1500 * MS)
/* Waits of rules (d) and (w), scaled by the clock rate bound. */
#define WAIT_D (DRAIN * 101 / 100)
#define WAIT_W ((LEASE + DRAIN) * 101 / 100)

static const claims_config_t config = { .node = 1,
                                        .incarnation = 11,
                                        .shard_count = 2,
                                        .lease = LEASE,
                                        .drain_time = DRAIN,
                                        .claim_retry_delay = 250 * MS };

static struct
{
  message_type_t appended;
  uint64_t appended_epoch;
  uint32_t witnesses;
  message_type_t sent;
  uint32_t released; /* numbers in the newest PEER_RELEASE */
  unsigned gained;
  unsigned lost;
} seen;

static void
on_append (void *ctx, const message_t *entry)
{
  bool claim = entry->type == MSG_CLAIM;

  (void)ctx;
  if ((claim ? entry->u.claim.shard : entry->u.release.shard) != 0)
    return;
  seen.appended = entry->type;
  seen.appended_epoch = claim ? entry->u.claim.epoch : entry->u.release.epoch;
  seen.witnesses = claim ? entry->u.claim.witnesses.count : 0;
}

static void
on_send (void *ctx, node_id_t node, incarnation_t incarnation,
         const message_t *message)
{
  (void)ctx;
  (void)node;
  (void)incarnation;
  seen.sent = message->type;
  if (message->type == MSG_PEER_RELEASE)
    seen.released = message->u.peer_release.released.count;
}

static void
on_gained (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  (void)ctx;
  (void)now;
  (void)shard;
  (void)epoch;
  seen.gained++;
}

static void
on_lost (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  (void)ctx;
  (void)now;
  (void)shard;
  (void)epoch;
  seen.lost++;
}

static uint32_t
on_zone_of (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return UINT32_MAX;
}

static const claims_ops_t ops
    = { on_append, on_send, on_gained, on_lost, on_zone_of };

static void
member (claims_t *claims, usec_t now, node_id_t node,
        incarnation_t incarnation, const char *address)
{
  message_t entry = { .type = MSG_MEMBER,
                      .u.member = { .node = node,
                                    .incarnation = incarnation,
                                    .address = blob_of (address) } };

  claims_apply (claims, now, &entry);
}

/* CLAIM of shard 0 with the witnesses 12, 13, 14 but the claimant. */
static void
claim (claims_t *claims, usec_t now, uint64_t epoch, incarnation_t incarnation)
{
  uint64_t witnesses[4];
  message_t entry = { .type = MSG_CLAIM,
                      .u.claim = { .epoch = epoch,
                                   .node = incarnation - 10,
                                   .incarnation = incarnation,
                                   .witnesses = { 0, witnesses } } };

  for (uint64_t i = 12; i <= 14; i++)
    if (i != incarnation)
      witnesses[entry.u.claim.witnesses.count++] = i;
  claims_apply (claims, now, &entry);
}

static void
release (claims_t *claims, usec_t now, uint64_t epoch)
{
  message_t entry = { .type = MSG_RELEASE, .u.release = { 0, epoch } };

  claims_apply (claims, now, &entry);
}

static void
hold (claims_t *claims, usec_t now, usec_t sent_at, incarnation_t witness,
      uint64_t epoch)
{
  uint64_t pair[] = { 0, epoch };
  u64_list_t granted = { 2, pair };

  claims_holds_granted (claims, now, sent_at, witness, &granted);
}

static void
only_candidates (claims_t *claims, usec_t now, unsigned mask)
{
  claims_candidate_t all[4];
  size_t count = 0;

  for (unsigned n = 1; n <= 4; n++)
    if (mask & (1U << n))
      all[count++] = (claims_candidate_t){ .node = n, .incarnation = 10 + n };
  claims_set_candidates (claims, now, all, count);
}

static bool
acts (claims_t *claims, usec_t now)
{
  uint64_t epoch;

  return claims_may_act (claims, now, 0, &epoch);
}

/* Nodes 1 to 4 are registered and node 1 alone is a candidate. */
static claims_t *
registered (void)
{
  claims_t *claims = claims_new (&config, &ops, NULL);

  memset (&seen, 0, sizeof seen);
  member (claims, 0, 1, 11, "a:1");
  member (claims, 0, 2, 12, "b:1");
  member (claims, 0, 3, 13, "c:1");
  member (claims, 0, 4, 14, "d:1");
  only_candidates (claims, 0, 1U << 1);
  return claims;
}

/* Guards against a first claim that waits, and against an owner that acts
   without a confirmation or past its lease. */
static void
test_first_claim_acts (void)
{
  claims_t *claims = registered ();

  claims_tick (claims, 0);
  CU_ASSERT_EQUAL (seen.appended, 0);
  claims_log_confirmed (claims, 10, 5);
  claims_tick (claims, 10);
  CU_ASSERT_EQUAL (seen.appended, MSG_CLAIM);
  CU_ASSERT_EQUAL (seen.appended_epoch, 1);
  claim (claims, 100, 1, 11);
  CU_ASSERT_FALSE (acts (claims, 100));
  claims_log_confirmed (claims, 110, 90);
  CU_ASSERT_TRUE (acts (claims, 110));
  CU_ASSERT_TRUE (acts (claims, 89 + LEASE));
  CU_ASSERT_FALSE (acts (claims, 90 + LEASE));
  claims_tick (claims, 90 + LEASE);
  CU_ASSERT_EQUAL (seen.gained, 1);
  CU_ASSERT_EQUAL (seen.lost, 1);
  claims_free (claims);
}

/* Guards against each of the rules (r), (d) and (w) that resolves too early
   or not at all.  Epoch 1 belongs to incarnation 12 with witnesses 13, 14. */
static void
test_successor_rules (void)
{
  static const struct
  {
    bool log_release, peer_release, ended, witness_ended;
    uint64_t acks[2]; /* witness, 0 for none */
    usec_t wait;      /* after the last event, -1 for ever */
  } cases[] = {
    { .wait = -1 },
    { .log_release = true, .wait = 0 },
    { .peer_release = true, .wait = 0 },
    { .ended = true, .wait = WAIT_D },
    { .acks = { 13 }, .wait = -1 },
    { .acks = { 13, 13 }, .wait = -1 },
    { .acks = { 13, 99 }, .wait = -1 },
    { .acks = { 13, 14 }, .wait = WAIT_W },
    { .acks = { 13 }, .witness_ended = true, .wait = WAIT_W },
    { .witness_ended = true, .wait = -1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      claims_t *claims = registered ();
      usec_t now = 1000 * MS;
      uint64_t pair[] = { 0, 1 };
      u64_list_t released = { 2, pair };

      claim (claims, 0, 1, 12);
      claim (claims, 100 * MS, 2, 11);
      for (int a = 0; a < 2; a++)
        claims_acknowledged (claims, now, cases[i].acks[a], 0, 2);
      if (cases[i].log_release)
        release (claims, now, 1);
      if (cases[i].peer_release)
        claims_peer_released (claims, now, 12, &released);
      if (cases[i].ended)
        claims_incarnation_ended (claims, now, 12);
      if (cases[i].witness_ended)
        claims_incarnation_ended (claims, now, 14);
      for (usec_t t = now; t <= 20000 * MS; t += 1 * MS)
        {
          bool due = cases[i].wait >= 0 && t >= now + cases[i].wait;

          claims_log_confirmed (claims, t, t);
          if (acts (claims, t) != due)
            {
              CU_ASSERT_EQUAL (acts (claims, t), due);
              break;
            }
        }
      claims_free (claims);
    }
}

/* Guards against holds without a majority, of a foreign incarnation, or
   counted from their arrival. */
static void
test_holds_confirm (void)
{
  claims_t *claims = registered ();

  claim (claims, 0, 1, 11); /* witnesses 12, 13, 14 */
  hold (claims, 500 * MS, 100 * MS, 12, 1);
  hold (claims, 500 * MS, 100 * MS, 99, 1);
  CU_ASSERT_FALSE (acts (claims, 500 * MS));
  hold (claims, 500 * MS, 200 * MS, 13, 1);
  CU_ASSERT_TRUE (acts (claims, 500 * MS));
  CU_ASSERT_TRUE (acts (claims, 100 * MS + LEASE - 1));
  CU_ASSERT_FALSE (acts (claims, 100 * MS + LEASE));
  hold (claims, 500 * MS, 300 * MS, 14, 1);
  CU_ASSERT_TRUE (acts (claims, 200 * MS + LEASE - 1));
  CU_ASSERT_FALSE (acts (claims, 200 * MS + LEASE));
  claims_free (claims);
}

/* Guards against a relay answer that confirms a claim which the question did
   not name, for it was applied later, or which was superseded. */
static void
test_relay_confirms (void)
{
  claims_t *claims = registered ();
  uint64_t pair[] = { 0, 2 };
  u64_list_t none = { 0, NULL };
  u64_list_t superseded = { 2, pair };

  claim (claims, 100 * MS, 1, 11);
  claims_relay_confirmed (claims, 200 * MS, 100 * MS, &none);
  CU_ASSERT_FALSE (acts (claims, 200 * MS));
  claims_relay_confirmed (claims, 200 * MS, 150 * MS, &superseded);
  CU_ASSERT_FALSE (acts (claims, 200 * MS));
  claims_relay_confirmed (claims, 200 * MS, 150 * MS, &none);
  CU_ASSERT_TRUE (acts (claims, 150 * MS + LEASE - 1));
  CU_ASSERT_FALSE (acts (claims, 150 * MS + LEASE));
  claims_log_confirmed (claims, 3000 * MS, 3000 * MS);
  claims_relay_confirmed (claims, 3001 * MS, 3001 * MS, &none);
  CU_ASSERT_FALSE (acts (claims, 3000 * MS + LEASE));
  claims_free (claims);
}

/* Guards against a witness that grants a hold after a newer claim, or says
   that it has applied a claim that it has not. */
static void
test_witness_refuses_superseded (void)
{
  claims_t *claims = registered ();
  uint64_t pairs[] = { 0, 1, 0, 2, 1ULL << 32, 1, 1ULL << 32, 2, 7, 1 };
  u64_list_t asked = { 10, pairs };
  u64_list_t granted;

  claim (claims, 0, 1, 12);
  granted = claims_grant_holds (claims, &asked);
  CU_ASSERT_EQUAL (granted.count, 6);
  g_free (granted.items);
  claims_apply (
      claims, 1,
      &(message_t){ .type = MSG_CLAIM,
                    .u.claim = { .epoch = 2,
                                 .node = 3,
                                 .incarnation = 13,
                                 .witnesses = { 1, (uint64_t[]){ 11 } } } });
  CU_ASSERT_EQUAL (seen.sent, MSG_CLAIM_ACK);
  granted = claims_grant_holds (claims, &asked);
  CU_ASSERT_EQUAL (granted.count, 4);
  CU_ASSERT_EQUAL (granted.items[1], 2);
  CU_ASSERT_EQUAL (granted.items[2], 1ULL << 32);
  g_free (granted.items);
  claims_drain (claims);
  granted = claims_grant_holds (claims, &asked);
  CU_ASSERT_EQUAL (granted.count, 2);
  g_free (granted.items);
  granted = claims_find_superseded (claims, &asked);
  CU_ASSERT_EQUAL (granted.count, 2);
  CU_ASSERT_EQUAL (granted.items[1], 2);
  g_free (granted.items);
  claims_free (claims);
}

/* Guards against verdicts that differ between processes: they depend on the
   epochs of the shard's own records, not on the order of MEMBER entries. */
static void
test_void_claims (void)
{
  claims_t *claims = registered ();

  claim (claims, 0, 2, 12);
  CU_ASSERT_EQUAL (claims_epoch (claims, 0), 0);
  member (claims, 0, 3, 23, "c:1");
  claims_incarnation_ended (claims, 0, 13);
  claim (claims, 0, 1, 13);
  claim (claims, 0, 1, 14);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  release (claims, 0, 2);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  release (claims, 0, 1);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 0);
  CU_ASSERT_EQUAL (claims_epoch (claims, 0), 1);
  claims_free (claims);
}

/* Guards against evidence from the order of MEMBER entries, from a process at
   another address, or from one that was not alive after the entry. */
static void
test_evidence_by_address (void)
{
  claims_t *claims = registered ();
  u64_list_t none = { 0, NULL };
  usec_t now = 10 * MS;

  claim (claims, 0, 1, 12);
  claim (claims, 0, 2, 11);
  member (claims, 5 * MS, 2, 22, "e:1");
  member (claims, 5 * MS, 2, 32, "b:1");
  claims_holds_granted (claims, now, now, 22, &none);
  claims_holds_granted (claims, now, 0, 32, &none);
  claims_log_confirmed (claims, now + WAIT_D, now + WAIT_D);
  CU_ASSERT_FALSE (acts (claims, now + WAIT_D));
  claims_holds_granted (claims, now, now, 32, &none);
  claims_log_confirmed (claims, now + WAIT_D - 1, now + WAIT_D - 1);
  CU_ASSERT_FALSE (acts (claims, now + WAIT_D - 1));
  claims_log_confirmed (claims, now + WAIT_D, now + WAIT_D);
  CU_ASSERT_TRUE (acts (claims, now + WAIT_D));
  claims_free (claims);
}

/* Guards against a renewal during which one of the two witness lists is
   enough, and against a wait after one's own renewal. */
static void
test_renewal (void)
{
  claims_t *claims = registered ();
  usec_t now = 100 * MS;

  claim (claims, 0, 1, 11); /* witnesses 12, 13, 14 */
  only_candidates (claims, now, (1U << 1) | (1U << 4));
  for (; seen.appended != MSG_CLAIM; now += 100 * MS)
    {
      claims_log_confirmed (claims, now, now);
      claims_tick (claims, now);
      CU_ASSERT_TRUE_FATAL (now < 10000 * MS);
    }
  CU_ASSERT_EQUAL (seen.appended_epoch, 2);
  CU_ASSERT_EQUAL (seen.witnesses, 1);
  now += LEASE;
  hold (claims, now, now, 12, 1);
  hold (claims, now, now, 13, 1);
  CU_ASSERT_FALSE (acts (claims, now));
  hold (claims, now, now, 14, 1);
  CU_ASSERT_TRUE (acts (claims, now));
  seen.lost = 0; /* the lease had lapsed above */
  claims_apply (
      claims, now,
      &(message_t){ .type = MSG_CLAIM,
                    .u.claim = { .epoch = 2,
                                 .node = 1,
                                 .incarnation = 11,
                                 .witnesses = { 1, (uint64_t[]){ 14 } } } });
  CU_ASSERT_TRUE (acts (claims, now));
  CU_ASSERT_EQUAL (seen.lost, 0);
  claims_free (claims);
}

/* Guards against a superseded owner that acts on, or whose release does not
   free its successor at once; and a release before the owner was active. */
static void
test_superseded_and_release (void)
{
  claims_t *claims = registered ();

  claim (claims, 0, 1, 12);
  claim (claims, 0, 2, 11);
  claims_release (claims, 0, 0);
  CU_ASSERT_EQUAL (seen.appended, 0);
  release (claims, 1, 1);
  claims_log_confirmed (claims, 1, 1);
  CU_ASSERT_TRUE (acts (claims, 1));
  claim (claims, 2, 3, 13);
  CU_ASSERT_FALSE (acts (claims, 2));
  CU_ASSERT_EQUAL (seen.lost, 1);
  claims_release (claims, 3, 0);
  CU_ASSERT_EQUAL (seen.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (seen.appended_epoch, 2);
  release (claims, 4, 2);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  claims_free (claims);
}

/* Guards against a release of a lost epoch that takes a claim on its way for
   a renewal and releases it too. */
static void
test_release_with_claim_on_its_way (void)
{
  claims_t *claims = registered ();

  claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 1, 1);
  claim (claims, 2, 2, 13);
  claims_incarnation_ended (claims, 2, 13);
  only_candidates (claims, 2, (1U << 1) | (1U << 2));
  for (usec_t now = 3; seen.appended_epoch != 3 && now < LEASE;
       now += 100 * MS)
    {
      claims_log_confirmed (claims, now, now);
      claims_tick (claims, now);
    }
  CU_ASSERT_EQUAL (seen.appended_epoch, 3);
  claims_release (claims, LEASE, 0);
  CU_ASSERT_EQUAL (seen.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (seen.appended_epoch, 1);
  CU_ASSERT_EQUAL (seen.released, 2);
  claims_free (claims);
}

/* Guards against an unowned shard while the owner is heard by its peers but
   can confirm its claim neither by the log nor by its witnesses. */
static void
test_unconfirmed_owner_gives_up (void)
{
  claims_t *claims = registered ();

  claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 0, 0);
  only_candidates (claims, 0, (1U << 1) | (1U << 2));
  for (usec_t now = 0; now < LEASE + LEASE + DRAIN; now += 100 * MS)
    {
      claims_tick (claims, now);
      CU_ASSERT_NOT_EQUAL (seen.appended, MSG_RELEASE);
    }
  claims_tick (claims, LEASE + LEASE + DRAIN);
  CU_ASSERT_EQUAL (seen.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (seen.sent, MSG_PEER_RELEASE);
  claims_log_confirmed (claims, 6000 * MS, 6000 * MS);
  CU_ASSERT_FALSE (acts (claims, 6000 * MS));
  claims_free (claims);
}

/* Guards against service that stops while the log is down for everyone: the
   owner goes on by the holds of two of its three witnesses. */
static void
test_log_down_half_hour (void)
{
  static const usec_t half_hour = 1800 * USEC_PER_SEC;
  claims_t *claims = registered ();

  claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 1, 1);
  for (usec_t now = 250 * MS; now <= half_hour; now += 250 * MS)
    {
      hold (claims, now, now - 5 * MS, 12, 1);
      hold (claims, now, now - 5 * MS, 13, 1);
      claims_tick (claims, now);
      if (!acts (claims, now))
        CU_FAIL_FATAL ("owner stopped");
    }
  CU_ASSERT_TRUE (acts (claims, half_hour));
  CU_ASSERT_FALSE (acts (claims, half_hour + LEASE + MS));
  claims_free (claims);
}

/* A reader that knows epochs 1 to 5 of shard 0, all by node 2. */
static claims_t *
informed (void)
{
  claims_t *claims = registered ();

  for (uint64_t epoch = 1; epoch <= 5; epoch++)
    claim (claims, 0, epoch, 12);
  return claims;
}

/* Guards against two processes that hold different claims valid, because the
   records of older ones had expired before one of them started: it would
   take epoch 1 for itself. */
static void
test_expired_claims (void)
{
  claims_t *old = informed ();
  message_t entry = { .type = MSG_SHARD };
  claims_t *fresh;

  CU_ASSERT_TRUE (claims_snapshot_shard (old, 0, 100, &entry.u.shard));
  claim (old, 0, 6, 13);
  fresh = registered ();
  claims_set_first_offset (fresh, 50);
  claims_tick (fresh, 10);
  CU_ASSERT_EQUAL (seen.appended, 0);
  claim (fresh, 20, 6, 13); /* lies between the snapshot's view and it */
  claims_apply (fresh, 30, &entry);
  claim (fresh, 40, 6, 14);
  claims_log_confirmed (fresh, 50, 50);
  CU_ASSERT_EQUAL (claims_epoch (fresh, 0), claims_epoch (old, 0));
  CU_ASSERT_EQUAL (claims_owner (fresh, 0), 3);
  claims_free (fresh);

  /* A view older than what was read proves nothing. */
  fresh = registered ();
  claims_set_first_offset (fresh, 200);
  claims_apply (fresh, 30, &entry);
  CU_ASSERT_EQUAL (claims_epoch (fresh, 0), 0);
  claim (fresh, 40, 9, 13);
  claims_log_confirmed (fresh, 50, 50);
  CU_ASSERT_EQUAL (claims_epoch (fresh, 0), 9);
  claims_free (fresh);
  g_free (entry.u.shard.chain.items);
  claims_free (old);
}

int
main (void)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } tests[] = {
    { "first claim", test_first_claim_acts },
    { "successor rules", test_successor_rules },
    { "holds", test_holds_confirm },
    { "relay", test_relay_confirms },
    { "witness", test_witness_refuses_superseded },
    { "void claims", test_void_claims },
    { "evidence by address", test_evidence_by_address },
    { "renewal", test_renewal },
    { "superseded and release", test_superseded_and_release },
    { "release, claim on its way", test_release_with_claim_on_its_way },
    { "unconfirmed owner", test_unconfirmed_owner_gives_up },
    { "expired claims", test_expired_claims },
    { "log down half an hour", test_log_down_half_hour },
  };
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("claims", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

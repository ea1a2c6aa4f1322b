/* Unit tests of the rules of the claims module on a simulated clock.  Node 1
   with incarnation 11 is the process under test; all claims are of shard 0. */
#include "claims/claims.h"

#include <CUnit/Basic.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define LEASE (2000 * MS)
#define DRAIN_TIME (1500 * MS)
/* Waits of rules (d) and (w) of claims.h, with the clock margin. */
#define EVIDENCE_WAIT (DRAIN_TIME * 101 / 100)
#define WITNESS_WAIT ((LEASE + DRAIN_TIME) * 101 / 100)

static const claims_config_t config = { .node = 1,
                                        .incarnation = 11,
                                        .shard_count = 2,
                                        .lease = LEASE,
                                        .drain_time = DRAIN_TIME,
                                        .claim_retry_delay = 250 * MS };

static struct
{
  message_type_t appended;
  uint64_t appended_epoch;
  uint32_t witnesses;
  message_type_t sent;
  uint32_t released; /* length of the list in the newest PEER_RELEASE */
  unsigned gained;
  unsigned lost;
} observed;

static void
on_append (void *ctx, const message_t *entry)
{
  bool is_claim = entry->type == MSG_CLAIM;

  (void)ctx;
  if ((is_claim ? entry->u.claim.shard : entry->u.release.shard) != 0)
    return;
  observed.appended = entry->type;
  observed.appended_epoch
      = is_claim ? entry->u.claim.epoch : entry->u.release.epoch;
  observed.witnesses = is_claim ? entry->u.claim.witnesses.count : 0;
}

static void
on_send (void *ctx, node_id_t node, incarnation_t incarnation,
         const message_t *message)
{
  (void)ctx;
  (void)node;
  (void)incarnation;
  observed.sent = message->type;
  if (message->type == MSG_PEER_RELEASE)
    observed.released = message->u.peer_release.released.count;
}

static void
on_gained (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  (void)ctx;
  (void)now;
  (void)shard;
  (void)epoch;
  observed.gained++;
}

static void
on_lost (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  (void)ctx;
  (void)now;
  (void)shard;
  (void)epoch;
  observed.lost++;
}

static uint32_t
on_preferred_zone (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return UINT32_MAX;
}

static const claims_ops_t ops
    = { on_append, on_send, on_gained, on_lost, on_preferred_zone };

static void
apply_member (claims_t *claims, usec_t now, node_id_t node,
              incarnation_t incarnation, const char *address)
{
  message_t entry = { .type = MSG_MEMBER,
                      .u.member = { .node = node,
                                    .incarnation = incarnation,
                                    .address = blob_of (address) } };

  claims_apply (claims, now, &entry);
}

/* Applies a CLAIM of shard 0.  Its witnesses are the incarnations 12, 13 and
   14 without the claimant. */
static void
apply_claim (claims_t *claims, usec_t now, uint64_t epoch,
             incarnation_t incarnation)
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
apply_release (claims_t *claims, usec_t now, uint64_t epoch)
{
  message_t entry = { .type = MSG_RELEASE, .u.release = { 0, epoch } };

  claims_apply (claims, now, &entry);
}

static void
grant_hold (claims_t *claims, usec_t now, usec_t sent_at,
            incarnation_t witness, uint64_t epoch)
{
  uint64_t pair[] = { 0, epoch };
  u64_list_t granted = { 2, pair };

  claims_holds_granted (claims, now, sent_at, witness, &granted);
}

static void
set_candidates (claims_t *claims, usec_t now, unsigned mask)
{
  claims_candidate_t all[4];
  size_t count = 0;

  for (unsigned n = 1; n <= 4; n++)
    if (mask & (1U << n))
      all[count++] = (claims_candidate_t){ .node = n, .incarnation = 10 + n };
  claims_set_candidates (claims, now, all, count);
}

static bool
may_act (claims_t *claims, usec_t now)
{
  uint64_t epoch;

  return claims_may_act (claims, now, 0, &epoch);
}

/* Nodes 1 to 4 are registered; only node 1 is a candidate. */
static claims_t *
new_registered (void)
{
  claims_t *claims = claims_new (&config, &ops, NULL);

  memset (&observed, 0, sizeof observed);
  apply_member (claims, 0, 1, 11, "a:1");
  apply_member (claims, 0, 2, 12, "b:1");
  apply_member (claims, 0, 3, 13, "c:1");
  apply_member (claims, 0, 4, 14, "d:1");
  set_candidates (claims, 0, 1U << 1);
  return claims;
}

/* Guards against a wait before the first claim of a shard, and an owner that
   acts without a confirmation or after its lease. */
static void
test_first_claim_acts (void)
{
  claims_t *claims = new_registered ();

  claims_tick (claims, 0);
  CU_ASSERT_EQUAL (observed.appended, 0);
  claims_log_confirmed (claims, 10, 5);
  claims_tick (claims, 10);
  CU_ASSERT_EQUAL (observed.appended, MSG_CLAIM);
  CU_ASSERT_EQUAL (observed.appended_epoch, 1);
  apply_claim (claims, 100, 1, 11);
  CU_ASSERT_FALSE (may_act (claims, 100));
  claims_log_confirmed (claims, 110, 90);
  CU_ASSERT_TRUE (may_act (claims, 110));
  CU_ASSERT_TRUE (may_act (claims, 89 + LEASE));
  CU_ASSERT_FALSE (may_act (claims, 90 + LEASE));
  claims_tick (claims, 90 + LEASE);
  CU_ASSERT_EQUAL (observed.gained, 1);
  CU_ASSERT_EQUAL (observed.lost, 1);
  claims_free (claims);
}

/* Guards against rules (r), (d) and (w) resolving an older claim too early or
   not at all.  Epoch 1 belongs to incarnation 12 with witnesses 13 and 14. */
static void
test_successor_rules (void)
{
  static const struct
  {
    bool log_release, peer_release, ended, witness_ended;
    uint64_t acknowledging[2]; /* witnesses, 0 for none */
    usec_t wait;               /* after the last event, -1 if never resolved */
  } cases[] = {
    { .wait = -1 },
    { .log_release = true, .wait = 0 },
    { .peer_release = true, .wait = 0 },
    { .ended = true, .wait = EVIDENCE_WAIT },
    { .acknowledging = { 13 }, .wait = -1 },
    { .acknowledging = { 13, 13 }, .wait = -1 },
    { .acknowledging = { 13, 99 }, .wait = -1 },
    { .acknowledging = { 13, 14 }, .wait = WITNESS_WAIT },
    { .acknowledging = { 13 }, .witness_ended = true, .wait = WITNESS_WAIT },
    { .witness_ended = true, .wait = -1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      claims_t *claims = new_registered ();
      usec_t now = 1000 * MS;
      uint64_t pair[] = { 0, 1 };
      u64_list_t released = { 2, pair };

      apply_claim (claims, 0, 1, 12);
      apply_claim (claims, 100 * MS, 2, 11);
      for (int a = 0; a < 2; a++)
        claims_acknowledged (claims, now, cases[i].acknowledging[a], 0, 2);
      if (cases[i].log_release)
        apply_release (claims, now, 1);
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
          if (may_act (claims, t) != due)
            {
              CU_ASSERT_EQUAL (may_act (claims, t), due);
              break;
            }
        }
      claims_free (claims);
    }
}

/* Guards against a confirmation by holds without a majority or by an
   incarnation that is no witness, and against a lease counted from the arrival
   of a hold instead of the request. */
static void
test_holds_confirm (void)
{
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 1, 11); /* witnesses 12, 13, 14 */
  grant_hold (claims, 500 * MS, 100 * MS, 12, 1);
  grant_hold (claims, 500 * MS, 100 * MS, 99, 1);
  CU_ASSERT_FALSE (may_act (claims, 500 * MS));
  grant_hold (claims, 500 * MS, 200 * MS, 13, 1);
  CU_ASSERT_TRUE (may_act (claims, 500 * MS));
  CU_ASSERT_TRUE (may_act (claims, 100 * MS + LEASE - 1));
  CU_ASSERT_FALSE (may_act (claims, 100 * MS + LEASE));
  grant_hold (claims, 500 * MS, 300 * MS, 14, 1);
  CU_ASSERT_TRUE (may_act (claims, 200 * MS + LEASE - 1));
  CU_ASSERT_FALSE (may_act (claims, 200 * MS + LEASE));
  claims_free (claims);
}

/* Guards against a relay answer that confirms a claim that was applied only
   after the request was sent, or that was superseded. */
static void
test_relay_confirms (void)
{
  claims_t *claims = new_registered ();
  uint64_t pair[] = { 0, 2 };
  u64_list_t none = { 0, NULL };
  u64_list_t superseded = { 2, pair };

  apply_claim (claims, 100 * MS, 1, 11);
  claims_relay_confirmed (claims, 200 * MS, 100 * MS, &none);
  CU_ASSERT_FALSE (may_act (claims, 200 * MS));
  claims_relay_confirmed (claims, 200 * MS, 150 * MS, &superseded);
  CU_ASSERT_FALSE (may_act (claims, 200 * MS));
  claims_relay_confirmed (claims, 200 * MS, 150 * MS, &none);
  CU_ASSERT_TRUE (may_act (claims, 150 * MS + LEASE - 1));
  CU_ASSERT_FALSE (may_act (claims, 150 * MS + LEASE));
  claims_log_confirmed (claims, 3000 * MS, 3000 * MS);
  claims_relay_confirmed (claims, 3001 * MS, 3001 * MS, &none);
  CU_ASSERT_FALSE (may_act (claims, 3000 * MS + LEASE));
  claims_free (claims);
}

/* Guards against a witness that grants a hold after a newer claim or while it
   drains, or that reports a claim as applied that is not. */
static void
test_witness_refuses_superseded (void)
{
  claims_t *claims = new_registered ();
  uint64_t pairs[] = { 0, 1, 0, 2, 1ULL << 32, 1, 1ULL << 32, 2, 7, 1 };
  u64_list_t asked = { 10, pairs };
  u64_list_t granted;

  apply_claim (claims, 0, 1, 12);
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
  CU_ASSERT_EQUAL (observed.sent, MSG_CLAIM_ACK);
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

/* Guards against processes that disagree on which claims are valid: that
   depends on the epochs of the shard's records, not on MEMBER entries or on
   evidence of an end. */
static void
test_void_claims (void)
{
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 2, 12);
  CU_ASSERT_EQUAL (claims_epoch (claims, 0), 0);
  apply_member (claims, 0, 3, 23, "c:1");
  claims_incarnation_ended (claims, 0, 13);
  apply_claim (claims, 0, 1, 13);
  apply_claim (claims, 0, 1, 14);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  apply_release (claims, 0, 2);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  apply_release (claims, 0, 1);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 0);
  CU_ASSERT_EQUAL (claims_epoch (claims, 0), 1);
  claims_free (claims);
}

/* Guards against an incarnation taken as ended because of the order of MEMBER
   entries, a process at another address, or a process at its address that was
   not heard from after its MEMBER entry. */
static void
test_evidence_by_address (void)
{
  claims_t *claims = new_registered ();
  u64_list_t none = { 0, NULL };
  usec_t now = 10 * MS;

  apply_claim (claims, 0, 1, 12);
  apply_claim (claims, 0, 2, 11);
  apply_member (claims, 5 * MS, 2, 22, "e:1");
  apply_member (claims, 5 * MS, 2, 32, "b:1");
  claims_holds_granted (claims, now, now, 22, &none);
  claims_holds_granted (claims, now, 0, 32, &none);
  claims_log_confirmed (claims, now + EVIDENCE_WAIT, now + EVIDENCE_WAIT);
  CU_ASSERT_FALSE (may_act (claims, now + EVIDENCE_WAIT));
  claims_holds_granted (claims, now, now, 32, &none);
  claims_log_confirmed (claims, now + EVIDENCE_WAIT - 1,
                        now + EVIDENCE_WAIT - 1);
  CU_ASSERT_FALSE (may_act (claims, now + EVIDENCE_WAIT - 1));
  claims_log_confirmed (claims, now + EVIDENCE_WAIT, now + EVIDENCE_WAIT);
  CU_ASSERT_TRUE (may_act (claims, now + EVIDENCE_WAIT));
  claims_free (claims);
}

/* Guards against a confirmation by only one of the two witness lists while a
   renewal is pending, and against a wait after the renewal. */
static void
test_renewal (void)
{
  claims_t *claims = new_registered ();
  usec_t now = 100 * MS;

  apply_claim (claims, 0, 1, 11); /* witnesses 12, 13, 14 */
  set_candidates (claims, now, (1U << 1) | (1U << 4));
  for (; observed.appended != MSG_CLAIM; now += 100 * MS)
    {
      claims_log_confirmed (claims, now, now);
      claims_tick (claims, now);
      CU_ASSERT_TRUE_FATAL (now < 10000 * MS);
    }
  CU_ASSERT_EQUAL (observed.appended_epoch, 2);
  CU_ASSERT_EQUAL (observed.witnesses, 1);
  now += LEASE;
  grant_hold (claims, now, now, 12, 1);
  grant_hold (claims, now, now, 13, 1);
  CU_ASSERT_FALSE (may_act (claims, now));
  grant_hold (claims, now, now, 14, 1);
  CU_ASSERT_TRUE (may_act (claims, now));
  observed.lost = 0; /* the lease lapsed above */
  claims_apply (
      claims, now,
      &(message_t){ .type = MSG_CLAIM,
                    .u.claim = { .epoch = 2,
                                 .node = 1,
                                 .incarnation = 11,
                                 .witnesses = { 1, (uint64_t[]){ 14 } } } });
  CU_ASSERT_TRUE (may_act (claims, now));
  CU_ASSERT_EQUAL (observed.lost, 0);
  claims_free (claims);
}

/* Guards against a superseded owner that goes on acting, a release that does
   not let its successor act at once, and a release by an owner that never
   could act. */
static void
test_superseded_and_release (void)
{
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 1, 12);
  apply_claim (claims, 0, 2, 11);
  claims_release (claims, 0, 0);
  CU_ASSERT_EQUAL (observed.appended, 0);
  apply_release (claims, 1, 1);
  claims_log_confirmed (claims, 1, 1);
  CU_ASSERT_TRUE (may_act (claims, 1));
  apply_claim (claims, 2, 3, 13);
  CU_ASSERT_FALSE (may_act (claims, 2));
  CU_ASSERT_EQUAL (observed.lost, 1);
  claims_release (claims, 3, 0);
  CU_ASSERT_EQUAL (observed.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (observed.appended_epoch, 2);
  apply_release (claims, 4, 2);
  CU_ASSERT_EQUAL (claims_owner (claims, 0), 3);
  claims_free (claims);
}

/* Guards against releasing a pending claim together with the epoch that was
   lost, as if the claim were a renewal. */
static void
test_release_with_pending_claim (void)
{
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 1, 1);
  apply_claim (claims, 2, 2, 13);
  claims_incarnation_ended (claims, 2, 13);
  set_candidates (claims, 2, (1U << 1) | (1U << 2));
  for (usec_t now = 3; observed.appended_epoch != 3 && now < LEASE;
       now += 100 * MS)
    {
      claims_log_confirmed (claims, now, now);
      claims_tick (claims, now);
    }
  CU_ASSERT_EQUAL (observed.appended_epoch, 3);
  claims_release (claims, LEASE, 0);
  CU_ASSERT_EQUAL (observed.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (observed.appended_epoch, 1);
  CU_ASSERT_EQUAL (observed.released, 2);
  claims_free (claims);
}

/* Guards against a shard on which nobody acts because its owner, still live to
   its peers, can confirm its claim neither by the log nor by witnesses. */
static void
test_unconfirmed_owner_releases (void)
{
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 0, 0);
  set_candidates (claims, 0, (1U << 1) | (1U << 2));
  for (usec_t now = 0; now < LEASE + LEASE + DRAIN_TIME; now += 100 * MS)
    {
      claims_tick (claims, now);
      CU_ASSERT_NOT_EQUAL (observed.appended, MSG_RELEASE);
    }
  claims_tick (claims, LEASE + LEASE + DRAIN_TIME);
  CU_ASSERT_EQUAL (observed.appended, MSG_RELEASE);
  CU_ASSERT_EQUAL (observed.sent, MSG_PEER_RELEASE);
  claims_log_confirmed (claims, 6000 * MS, 6000 * MS);
  CU_ASSERT_FALSE (may_act (claims, 6000 * MS));
  claims_free (claims);
}

/* Guards against an owner that stops acting while the log is unreachable for
   all: holds of two of its three witnesses must suffice. */
static void
test_log_down_half_hour (void)
{
  static const usec_t half_hour = 1800 * USEC_PER_SEC;
  claims_t *claims = new_registered ();

  apply_claim (claims, 0, 1, 11);
  claims_log_confirmed (claims, 1, 1);
  for (usec_t now = 250 * MS; now <= half_hour; now += 250 * MS)
    {
      grant_hold (claims, now, now - 5 * MS, 12, 1);
      grant_hold (claims, now, now - 5 * MS, 13, 1);
      claims_tick (claims, now);
      if (!may_act (claims, now))
        CU_FAIL_FATAL ("owner stopped");
    }
  CU_ASSERT_TRUE (may_act (claims, half_hour));
  CU_ASSERT_FALSE (may_act (claims, half_hour + LEASE + MS));
  claims_free (claims);
}

/* A process that has applied epochs 1 to 5 of shard 0, all by node 2. */
static claims_t *
new_at_epoch_5 (void)
{
  claims_t *claims = new_registered ();

  for (uint64_t epoch = 1; epoch <= 5; epoch++)
    apply_claim (claims, 0, epoch, 12);
  return claims;
}

/* Guards against processes that disagree on which claims are valid because the
   older records had expired before one of them started.  Without the SHARD
   entry that process would claim epoch 1. */
static void
test_expired_claims (void)
{
  claims_t *full_reader = new_at_epoch_5 ();
  message_t entry = { .type = MSG_SHARD };
  claims_t *late_reader;

  CU_ASSERT_TRUE (claims_snapshot_shard (full_reader, 0, 100, &entry.u.shard));
  apply_claim (full_reader, 0, 6, 13);
  late_reader = new_registered ();
  claims_set_first_offset (late_reader, 50);
  claims_tick (late_reader, 10);
  CU_ASSERT_EQUAL (observed.appended, 0);
  /* Lies between the snapshot's as_of and its entry. */
  apply_claim (late_reader, 20, 6, 13);
  claims_apply (late_reader, 30, &entry);
  apply_claim (late_reader, 40, 6, 14);
  claims_log_confirmed (late_reader, 50, 50);
  CU_ASSERT_EQUAL (claims_epoch (late_reader, 0),
                   claims_epoch (full_reader, 0));
  CU_ASSERT_EQUAL (claims_owner (late_reader, 0), 3);
  claims_free (late_reader);

  /* A snapshot as of an offset before the first one read is ignored. */
  late_reader = new_registered ();
  claims_set_first_offset (late_reader, 200);
  claims_apply (late_reader, 30, &entry);
  CU_ASSERT_EQUAL (claims_epoch (late_reader, 0), 0);
  apply_claim (late_reader, 40, 9, 13);
  claims_log_confirmed (late_reader, 50, 50);
  CU_ASSERT_EQUAL (claims_epoch (late_reader, 0), 9);
  claims_free (late_reader);
  g_free (entry.u.shard.chain.items);
  claims_free (full_reader);
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
    { "release, pending claim", test_release_with_pending_claim },
    { "unconfirmed owner", test_unconfirmed_owner_releases },
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

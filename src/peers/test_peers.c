/* Tests of the peers module on a paused clock. */
#include "peers/peers.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <string.h>

#define MS USEC_PER_MSEC

static const peers_config_t config = { .node = 1,
                                       .incarnation = 11,
                                       .heartbeat_interval = 250 * MS,
                                       .suspect_after = 1000 * MS,
                                       .list_lag = 10000 * MS };

static struct
{
  uint64_t last_seq;
  unsigned sent;
  incarnation_t ended;
  usec_t acked_sent_at;
} seen;

static void
on_send (void *ctx, node_id_t node, const message_t *message)
{
  (void)ctx;
  (void)node;
  seen.sent++;
  seen.last_seq = message->u.heartbeat.seq;
}

static void
on_fill (void *ctx, const peer_t *peer, msg_heartbeat_t *heartbeat)
{
  (void)ctx;
  (void)peer;
  heartbeat->queued = 1;
}

static void
on_changed (void *ctx, usec_t now, const peer_t *peer, peer_state_t before)
{
  (void)ctx;
  (void)now;
  CU_ASSERT_NOT_EQUAL (peer->state, before);
}

static void
on_ended (void *ctx, usec_t now, node_id_t node, incarnation_t incarnation)
{
  (void)ctx;
  (void)now;
  (void)node;
  seen.ended = incarnation;
}

static void
on_acknowledged (void *ctx, usec_t now, usec_t sent_at, const peer_t *peer,
                 const msg_heartbeat_ack_t *ack)
{
  (void)ctx;
  (void)now;
  (void)peer;
  (void)ack;
  seen.acked_sent_at = sent_at;
}

static const peers_ops_t ops
    = { on_send, on_fill, on_changed, on_ended, on_acknowledged };

static void
hello (peers_t *peers, usec_t now, incarnation_t incarnation,
       const char *address)
{
  message_t message = { .type = MSG_HELLO,
                        .u.hello = { .node = 2,
                                     .incarnation = incarnation,
                                     .address = blob_of (address) } };

  peers_receive (peers, now, 2, &message);
}

static void
ack (peers_t *peers, usec_t now, uint64_t seq)
{
  message_t message = { .type = MSG_HEARTBEAT_ACK,
                        .u.heartbeat_ack = { .seq = seq, .log_ok = 1 } };

  peers_receive (peers, now, 2, &message);
}

/* Node 2 is known, has said HELLO as 21 and is live at time 1 ms. */
static peers_t *
with_live_peer (void)
{
  peers_t *peers = peers_new (&config, &ops, NULL);

  memset (&seen, 0, sizeof seen);
  peers_add (peers, 0, 2, 0);
  hello (peers, 0, 21, "10.0.0.2:1");
  peers_tick (peers, 0);
  ack (peers, 1 * MS, seen.last_seq);
  return peers;
}

static peer_state_t
state (const peers_t *peers)
{
  return peers_get (peers, 2)->state;
}

/* Guards against a peer that counts as live with one direction cut. */
static void
test_live_needs_both_directions (void)
{
  peers_t *peers = with_live_peer ();
  message_t heartbeat = { .type = MSG_HEARTBEAT, .u.heartbeat = { .seq = 1 } };

  CU_ASSERT_EQUAL (state (peers), PEER_LIVE);
  CU_ASSERT_EQUAL (seen.acked_sent_at, 0);
  for (usec_t now = 250 * MS; now <= 1000 * MS; now += 250 * MS)
    {
      peers_receive (peers, now, 2, &heartbeat);
      CU_ASSERT_EQUAL (peers_tick (peers, now), now + 250 * MS);
    }
  CU_ASSERT_EQUAL (state (peers), PEER_SUSPECT);
  ack (peers, 1001 * MS, seen.last_seq);
  CU_ASSERT_EQUAL (state (peers), PEER_LIVE);
  peers_free (peers);
}

/* Guards against an acknowledgement that is counted from its arrival. */
static void
test_ack_counts_from_send_time (void)
{
  peers_t *peers = with_live_peer ();

  peers_tick (peers, 250 * MS);
  CU_ASSERT_EQUAL (peers_sent_at (peers, 2, seen.last_seq), 250 * MS);
  CU_ASSERT_EQUAL (peers_sent_at (peers, 2, seen.last_seq + 1), USEC_NEVER);
  ack (peers, 5000 * MS, seen.last_seq);
  CU_ASSERT_EQUAL (seen.acked_sent_at, 250 * MS);
  CU_ASSERT_EQUAL (state (peers), PEER_SUSPECT);
  peers_free (peers);
}

/* Guards against evidence from a node number that moved to another VM, from
   a delayed HELLO of an older incarnation, and against messages of an
   incarnation after evidence of its end. */
static void
test_evidence_by_incarnation (void)
{
  peers_t *peers = with_live_peer ();

  hello (peers, 2 * MS, 22, "10.0.0.9:1");
  peers_tick (peers, 2 * MS);
  ack (peers, 3 * MS, seen.last_seq);
  CU_ASSERT_EQUAL (seen.ended, 0);
  hello (peers, 4 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (state (peers), PEER_UNKNOWN);
  hello (peers, 5 * MS, 22, "10.0.0.9:1");
  hello (peers, 6 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (seen.ended, 0);
  peers_tick (peers, 6 * MS);
  ack (peers, 7 * MS, seen.last_seq);
  CU_ASSERT_EQUAL (seen.ended, 22);
  hello (peers, 8 * MS, 22, "10.0.0.9:1");
  CU_ASSERT_EQUAL (state (peers), PEER_LIVE);
  peers_connect_refused (peers, 1900 * MS, 2);
  peers_connect_refused (peers, 2000 * MS, 2);
  CU_ASSERT_EQUAL (seen.ended, 23);
  ack (peers, 2001 * MS, seen.last_seq);
  hello (peers, 2002 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (state (peers), PEER_ENDED);
  peers_free (peers);
}

/* Guards against a refusal of an older connect that ends a fresh process. */
static void
test_second_refusal_ends (void)
{
  peers_t *peers = with_live_peer ();

  peers_connect_refused (peers, 2 * MS, 2);
  hello (peers, 3 * MS, 22, "10.0.0.9:1");
  peers_connect_refused (peers, 4 * MS, 2);
  CU_ASSERT_EQUAL (seen.ended, 0);
  peers_connect_refused (peers, 5 * MS, 2);
  CU_ASSERT_EQUAL (seen.ended, 22);
  peers_free (peers);
}

/* Guards against a late or faulty list that ends a peer which is heard. */
static void
test_list_absence (void)
{
  peers_t *peers = with_live_peer ();
  node_id_t listed[] = { 1, 2 };

  peers_apply_vm_list (peers, 0, listed, 1);
  peers_apply_vm_list (peers, 9000 * MS, listed, 2);
  peers_apply_vm_list (peers, 9500 * MS, listed, 1);
  peers_apply_vm_list (peers, 19400 * MS, listed, 1);
  CU_ASSERT_EQUAL (seen.ended, 0);
  ack (peers, 19500 * MS, seen.last_seq);
  peers_apply_vm_list (peers, 19600 * MS, listed, 1);
  CU_ASSERT_EQUAL (seen.ended, 0);
  peers_apply_vm_list (peers, 20600 * MS, listed, 1);
  CU_ASSERT_EQUAL (seen.ended, 21);
  peers_free (peers);
}

/* Guards against a silent link that makes a peer suspect which others hear.
 */
static void
test_seen_by_others (void)
{
  peers_t *peers = with_live_peer ();
  message_t heartbeat
      = { .type = MSG_HEARTBEAT, .u.heartbeat = { .live = 1U << 3 } };

  peers_add (peers, 0, 3, 0);
  CU_ASSERT_FALSE (peers_reported_live (peers, 3));
  peers_receive (peers, 2 * MS, 2, &heartbeat);
  CU_ASSERT_TRUE (peers_reported_live (peers, 3));
  CU_ASSERT_FALSE (peers_reported_live (peers, 2));
  peers_tick (peers, 2000 * MS);
  CU_ASSERT_FALSE (peers_reported_live (peers, 3));
  peers_free (peers);
}

static const suite_test_t tests[] = {
  { "both directions", test_live_needs_both_directions },
  { "send time", test_ack_counts_from_send_time },
  { "evidence", test_evidence_by_incarnation },
  { "refusal", test_second_refusal_ends },
  { "list absence", test_list_absence },
  { "seen by others", test_seen_by_others },
};

int
main (void)
{
  return suite_main ("peers", tests, G_N_ELEMENTS (tests));
}

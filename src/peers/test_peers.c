/* Unit tests of the peers module.  The tests pass the time explicitly. */
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
} observed;

static void
on_send (void *ctx, node_id_t node, const message_t *message)
{
  (void)ctx;
  (void)node;
  observed.sent++;
  observed.last_seq = message->u.heartbeat.seq;
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
  observed.ended = incarnation;
}

static void
on_acknowledged (void *ctx, usec_t now, usec_t sent_at, const peer_t *peer,
                 const msg_heartbeat_ack_t *ack)
{
  (void)ctx;
  (void)now;
  (void)peer;
  (void)ack;
  observed.acked_sent_at = sent_at;
}

static const peers_ops_t ops
    = { on_send, on_fill, on_changed, on_ended, on_acknowledged };

static void
receive_hello (peers_t *peers, usec_t now, incarnation_t incarnation,
               const char *address)
{
  message_t message = { .type = MSG_HELLO,
                        .u.hello = { .node = 2,
                                     .incarnation = incarnation,
                                     .address = blob_of (address) } };

  peers_receive (peers, now, 2, &message);
}

static void
receive_ack (peers_t *peers, usec_t now, uint64_t seq)
{
  message_t message = { .type = MSG_HEARTBEAT_ACK,
                        .u.heartbeat_ack = { .seq = seq, .log_ok = 1 } };

  peers_receive (peers, now, 2, &message);
}

/* Node 2 has said HELLO as incarnation 21 and is live at time 1 ms. */
static peers_t *
new_with_live_peer (void)
{
  peers_t *peers = peers_new (&config, &ops, NULL);

  memset (&observed, 0, sizeof observed);
  peers_add (peers, 0, 2, 0);
  receive_hello (peers, 0, 21, "10.0.0.2:1");
  peers_tick (peers, 0);
  receive_ack (peers, 1 * MS, observed.last_seq);
  return peers;
}

static peer_state_t
peer_state (const peers_t *peers)
{
  return peers_get (peers, 2)->state;
}

/* Guards against a peer that counts as live while only one direction of its
   link works. */
static void
test_live_needs_both_directions (void)
{
  peers_t *peers = new_with_live_peer ();
  message_t heartbeat = { .type = MSG_HEARTBEAT, .u.heartbeat = { .seq = 1 } };

  CU_ASSERT_EQUAL (peer_state (peers), PEER_LIVE);
  CU_ASSERT_EQUAL (observed.acked_sent_at, 0);
  for (usec_t now = 250 * MS; now <= 1000 * MS; now += 250 * MS)
    {
      peers_receive (peers, now, 2, &heartbeat);
      CU_ASSERT_EQUAL (peers_tick (peers, now), now + 250 * MS);
    }
  CU_ASSERT_EQUAL (peer_state (peers), PEER_SUSPECT);
  receive_ack (peers, 1001 * MS, observed.last_seq);
  CU_ASSERT_EQUAL (peer_state (peers), PEER_LIVE);
  peers_free (peers);
}

/* Guards against a liveness period that starts when a heartbeat is
   acknowledged instead of when it was sent. */
static void
test_ack_counts_from_send_time (void)
{
  peers_t *peers = new_with_live_peer ();

  peers_tick (peers, 250 * MS);
  CU_ASSERT_EQUAL (peers_sent_at (peers, 2, observed.last_seq), 250 * MS);
  CU_ASSERT_EQUAL (peers_sent_at (peers, 2, observed.last_seq + 1),
                   USEC_NEVER);
  receive_ack (peers, 5000 * MS, observed.last_seq);
  CU_ASSERT_EQUAL (observed.acked_sent_at, 250 * MS);
  CU_ASSERT_EQUAL (peer_state (peers), PEER_SUSPECT);
  peers_free (peers);
}

/* Guards against an incarnation that is reported as ended because its node
   number moved to another VM, or after a delayed HELLO of an older
   incarnation; and against messages of an ended incarnation that revive it. */
static void
test_evidence_by_incarnation (void)
{
  peers_t *peers = new_with_live_peer ();

  receive_hello (peers, 2 * MS, 22, "10.0.0.9:1");
  peers_tick (peers, 2 * MS);
  receive_ack (peers, 3 * MS, observed.last_seq);
  CU_ASSERT_EQUAL (observed.ended, 0);
  receive_hello (peers, 4 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (peer_state (peers), PEER_UNKNOWN);
  receive_hello (peers, 5 * MS, 22, "10.0.0.9:1");
  receive_hello (peers, 6 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (observed.ended, 0);
  peers_tick (peers, 6 * MS);
  receive_ack (peers, 7 * MS, observed.last_seq);
  CU_ASSERT_EQUAL (observed.ended, 22);
  receive_hello (peers, 8 * MS, 22, "10.0.0.9:1");
  CU_ASSERT_EQUAL (peer_state (peers), PEER_LIVE);
  peers_connect_refused (peers, 1900 * MS, 2);
  peers_connect_refused (peers, 2000 * MS, 2);
  CU_ASSERT_EQUAL (observed.ended, 23);
  receive_ack (peers, 2001 * MS, observed.last_seq);
  receive_hello (peers, 2002 * MS, 23, "10.0.0.9:1");
  CU_ASSERT_EQUAL (peer_state (peers), PEER_ENDED);
  peers_free (peers);
}

/* Guards against a refused connect that began before a new incarnation bound
   its port and is taken as proof of the end of this incarnation. */
static void
test_second_refusal_ends (void)
{
  peers_t *peers = new_with_live_peer ();

  peers_connect_refused (peers, 2 * MS, 2);
  receive_hello (peers, 3 * MS, 22, "10.0.0.9:1");
  peers_connect_refused (peers, 4 * MS, 2);
  CU_ASSERT_EQUAL (observed.ended, 0);
  peers_connect_refused (peers, 5 * MS, 2);
  CU_ASSERT_EQUAL (observed.ended, 22);
  peers_free (peers);
}

/* Guards against a late or faulty VM list that ends a peer whose messages
   still arrive. */
static void
test_list_absence (void)
{
  peers_t *peers = new_with_live_peer ();
  node_id_t listed[] = { 1, 2 };

  peers_apply_vm_list (peers, 0, listed, 1);
  peers_apply_vm_list (peers, 9000 * MS, listed, 2);
  peers_apply_vm_list (peers, 9500 * MS, listed, 1);
  peers_apply_vm_list (peers, 19400 * MS, listed, 1);
  CU_ASSERT_EQUAL (observed.ended, 0);
  receive_ack (peers, 19500 * MS, observed.last_seq);
  peers_apply_vm_list (peers, 19600 * MS, listed, 1);
  CU_ASSERT_EQUAL (observed.ended, 0);
  peers_apply_vm_list (peers, 20600 * MS, listed, 1);
  CU_ASSERT_EQUAL (observed.ended, 21);
  peers_free (peers);
}

/* Guards against treating a peer as lost because its link to this process is
   silent, although other peers report it as live. */
static void
test_seen_by_others (void)
{
  peers_t *peers = new_with_live_peer ();
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

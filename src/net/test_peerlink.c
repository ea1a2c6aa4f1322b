/* Tests of the links between processes, over loopback. */
#include "base/counters.h"
#include "base/log.h"
#include "net/address.h"
#include "net/peerlink.h"
#include "support/addresses.h"
#include "support/paused_loop.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OWN_NODE 1U
#define PEER_NODE 2U
#define PEER_COUNT 400
#define PEERS_AT_ONCE 30

typedef struct
{
  struct ev_loop *loop;
  peerlink_t *own;
  peerlink_t *peer;
  char own_address[TEST_ADDRESS_SIZE];
  char peer_address[TEST_ADDRESS_SIZE];
  uint32_t hellos_received; /* by either link */
  uint32_t connections_refused;
  uint32_t owners_left; /* messages received */
} fixture_t;

static fixture_t fixture;

static void
on_message (void *ctx, node_id_t node, incarnation_t incarnation,
            const message_t *message)
{
  fixture_t *counts = ctx;

  (void)node;
  (void)incarnation;
  counts->hellos_received += message->type == MSG_HELLO;
  counts->owners_left += message->type == MSG_OWNER_LEFT;
}

static void
on_connected (void *ctx, node_id_t node)
{
  (void)ctx;
  (void)node;
}

static void
on_refused (void *ctx, node_id_t node)
{
  fixture_t *counts = ctx;

  (void)node;
  counts->connections_refused++;
}

static const peerlink_ops_t ops = { on_message, on_connected, on_refused };
static const peerlink_ops_t peer_ops
    = { on_message, on_connected, on_refused };

static peerlink_t *
open_link (const char *address, node_id_t node, const peerlink_ops_t *link_ops,
           void *ctx)
{
  const msg_hello_t hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                              .node = node,
                              .incarnation = node,
                              .address = blob_of (address) };
  err_t err = { 0 };
  peerlink_t *link
      = peerlink_new (fixture.loop, address, &hello, link_ops, ctx, &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (link);
  return link;
}

static void
set_up (void)
{
  memset (&fixture, 0, sizeof fixture);
  fixture.loop = paused_loop_new ();
  test_address (0, fixture.own_address);
  test_address (1, fixture.peer_address);
  fixture.own = open_link (fixture.own_address, OWN_NODE, &ops, &fixture);
}

static void
tear_down (void)
{
  peerlink_free (fixture.peer);
  peerlink_free (fixture.own);
  paused_loop_free (fixture.loop);
}

/* Sends a frame, which takes over the reference to BYTES.  */
static void
send_frame (int fd, GByteArray *bytes)
{
  uint32_t len = htonl (bytes->len);

  g_byte_array_prepend (bytes, (const guint8 *)&len, sizeof len);
  CU_ASSERT_EQUAL (send (fd, bytes->data, bytes->len, MSG_NOSIGNAL),
                   (ssize_t)bytes->len);
  g_byte_array_unref (bytes);
}

static int
connect_without_hello (void)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL (address_parse (fixture.own_address, &address), 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  return fd;
}

/* Connects to the own link and sends HELLO as a node.  */
static int
connect_raw (node_id_t node)
{
  message_t message
      = { .type = MSG_HELLO,
          .u.hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                       .node = node,
                       .incarnation = node,
                       .address = blob_of ("127.0.0.3:18171") } };
  GByteArray *bytes = g_byte_array_new ();
  int fd = connect_without_hello ();

  message_encode (&message, bytes);
  send_frame (fd, bytes);
  return fd;
}

/* @return whether the remote end has closed the connection */
static bool
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_DONTWAIT) == 0 || errno != EAGAIN;
}

/* Guards against a limit on inbound connections below the size of a large
   fleet: an owner closed connections beyond 256, and each peer reconnected ten
   times per second. */
static void
test_many_peers (void)
{
  int fds[PEER_COUNT];
  uint32_t closed = 0;

  set_up ();
  for (int i = 0; i < PEER_COUNT; i++)
    {
      fds[i] = connect_raw (10 + (node_id_t)i);
      if (i % 20 == 19)
        paused_loop_run (fixture.loop, 5 * USEC_PER_MSEC);
    }
  paused_loop_run (fixture.loop, 100 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.hellos_received, PEER_COUNT);
  for (int i = 0; i < PEER_COUNT; i++)
    {
      closed += is_closed (fds[i]);
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (closed, 0);
  tear_down ();
}

/* Guards against an owner under load that accepts one connection in each round
   of its loop: with 30 peers whose queries had timed out, connections waited
   longer than a query (ruedas-plata-grown full-workers-store-in-trouble). */
static void
test_connections_at_once (void)
{
  int fds[PEERS_AT_ONCE];

  set_up ();
  for (int i = 0; i < PEERS_AT_ONCE; i++)
    fds[i] = connect_raw (10 + (node_id_t)i);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (fixture.hellos_received, PEERS_AT_ONCE);
  for (int i = 0; i < PEERS_AT_ONCE; i++)
    close (fds[i]);
  tear_down ();
}

/* Guards against a connection that is closed for an older one of the same
   peer, whose HELLO is read later. */
static void
test_older_hello_is_last (void)
{
  message_t message
      = { .type = MSG_HELLO,
          .u.hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                       .node = 10,
                       .incarnation = 10,
                       .address = blob_of ("127.0.0.3:18171") } };
  GByteArray *bytes = g_byte_array_new ();
  int older;
  int newer;

  set_up ();
  older = connect_without_hello ();
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  newer = connect_raw (10);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  message_encode (&message, bytes);
  send_frame (older, bytes);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (newer));
  CU_ASSERT (is_closed (older));
  close (older);
  close (newer);
  tear_down ();
}

/* Guards against connections of peers that lost power: they were kept forever
   and exhausted the limit, so that new peers were rejected. */
static void
test_newer_connection (void)
{
  int older;
  int newer;

  set_up ();
  older = connect_raw (10);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (older));
  newer = connect_raw (10);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (is_closed (older));
  CU_ASSERT (!is_closed (newer));
  close (older);
  close (newer);
  tear_down ();
}

/* Guards against a connection that fails in one direction: the peer replaced
   its connection, but answers were still written to the old one.  Both ends
   must replace theirs, once. */
static void
test_silent_connection (void)
{
  uint64_t before;

  set_up ();
  fixture.peer
      = open_link (fixture.peer_address, PEER_NODE, &peer_ops, &fixture);
  peerlink_add (fixture.own, PEER_NODE, fixture.peer_address);
  peerlink_add (fixture.peer, OWN_NODE, fixture.own_address);
  paused_loop_run (fixture.loop, 1200 * USEC_PER_MSEC);
  before = counter_get (COUNTER_PEER_CONNECTS);
  peerlink_reset (fixture.peer, OWN_NODE);
  paused_loop_run (fixture.loop, 500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_CONNECTS), before + 2);
  tear_down ();
}

/* Guards against reconnecting to a removed VM ten times per second; a VM that
   returns must be connected to at once. */
static void
test_dead_peer (void)
{
  set_up ();
  peerlink_add (fixture.own, PEER_NODE, fixture.peer_address);
  paused_loop_run (fixture.loop, 2 * USEC_PER_SEC);
  CU_ASSERT (fixture.connections_refused >= 3);
  CU_ASSERT (fixture.connections_refused <= 8);
  fixture.peer
      = open_link (fixture.peer_address, PEER_NODE, &peer_ops, &fixture);
  peerlink_add (fixture.own, PEER_NODE, fixture.peer_address);
  paused_loop_run (fixture.loop, 50 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  tear_down ();
}

/* A message of a type that this build does not know.  */
static void
send_unknown (int fd)
{
  const guint8 frame[] = { 0x92, 0x3f, 0x01 };
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, frame, sizeof frame);
  send_frame (fd, bytes);
}

/* Guards against a link between builds that breaks, with the queries on it, at
   each message that only the later one knows.  */
static void
test_later_build (void)
{
  message_t known = { .type = MSG_OWNER_LEFT };
  GByteArray *bytes = g_byte_array_new ();
  uint64_t bad;
  int fd;
  int stranger;

  set_up ();
  bad = counter_get (COUNTER_PEER_BAD_FRAMES);
  fd = connect_raw (10);
  send_unknown (fd);
  message_encode (&known, bytes);
  send_frame (fd, bytes);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (fd));
  CU_ASSERT_EQUAL (fixture.owners_left, 1);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_BAD_FRAMES), bad);
  stranger = connect_without_hello ();
  send_unknown (stranger);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (is_closed (stranger));
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_BAD_FRAMES), bad + 1);
  close (fd);
  close (stranger);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "many peers", test_many_peers },
    { "connections at once", test_connections_at_once },
    { "newer connection", test_newer_connection },
    { "older HELLO is last", test_older_hello_is_last },
    { "silent connection", test_silent_connection },
    { "dead peer", test_dead_peer },
    { "later build", test_later_build },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("peerlink", tests, sizeof tests / sizeof *tests);
}

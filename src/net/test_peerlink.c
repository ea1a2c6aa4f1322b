/* Links between processes over loopback. */
#include "base/counters.h"
#include "base/log.h"
#include "net/address.h"
#include "net/peerlink.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OWN "127.0.0.1:18171"
#define PEER "127.0.0.2:18171"
#define OWN_NODE 1U
#define PEER_NODE 2U
#define MANY 400

typedef struct
{
  struct ev_loop *loop;
  peerlink_t *own;
  peerlink_t *peer;
  uint32_t heard; /* frames that came to OWN */
  uint32_t refused;
} net_t;

static net_t net;

static void
on_message (void *ctx, node_id_t node, incarnation_t incarnation,
            const message_t *message)
{
  net_t *n = ctx;

  (void)node;
  (void)incarnation;
  n->heard += message->type == MSG_HELLO;
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
  net_t *n = ctx;

  (void)node;
  n->refused++;
}

static const peerlink_ops_t ops = { on_message, on_connected, on_refused };
static const peerlink_ops_t peer_ops
    = { on_message, on_connected, on_refused };

static peerlink_t *
open_link (const char *address, node_id_t node, const peerlink_ops_t *with,
           void *ctx)
{
  const msg_hello_t hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                              .node = node,
                              .incarnation = node,
                              .address = blob_of (address) };
  err_t err = { 0 };
  peerlink_t *link = peerlink_new (net.loop, address, &hello, with, ctx, &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (link);
  return link;
}

static void
begin (void)
{
  memset (&net, 0, sizeof net);
  net.loop = ev_loop_new (EVFLAG_AUTO);
  net.own = open_link (OWN, OWN_NODE, &ops, &net);
}

static void
finish (void)
{
  peerlink_free (net.peer);
  peerlink_free (net.own);
  ev_loop_destroy (net.loop);
}

static void
on_over (EV_P_ ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

static void
run_for (double seconds)
{
  ev_timer over;

  ev_timer_init (&over, on_over, seconds, 0.);
  ev_now_update (net.loop);
  ev_timer_start (net.loop, &over);
  ev_run (net.loop, 0);
  ev_timer_stop (net.loop, &over);
}

/* Connects to OWN and says HELLO as a node.  */
static int
connect_raw (node_id_t node)
{
  struct sockaddr_in address;
  message_t message
      = { .type = MSG_HELLO,
          .u.hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                       .node = node,
                       .incarnation = node,
                       .address = blob_of ("127.0.0.3:18171") } };
  GByteArray *bytes = g_byte_array_new ();
  uint32_t len = 0;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL (address_parse (OWN, &address), 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  g_byte_array_append (bytes, (const guint8 *)&len, sizeof len);
  message_encode (&message, bytes);
  len = htonl (bytes->len - (uint32_t)sizeof len);
  memcpy (bytes->data, &len, sizeof len);
  CU_ASSERT_EQUAL (send (fd, bytes->data, bytes->len, MSG_NOSIGNAL),
                   (ssize_t)bytes->len);
  g_byte_array_unref (bytes);
  return fd;
}

/* @return whether the other end has closed the connection */
static bool
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_DONTWAIT) == 0 || errno != EAGAIN;
}

/* Guards against a large fleet whose processes connect to an owner by turns:
   it closed what it accepted beyond 256, ten times a second from each. */
static void
test_many_peers (void)
{
  int fds[MANY];
  uint32_t closed = 0;

  begin ();
  for (int i = 0; i < MANY; i++)
    {
      fds[i] = connect_raw (10 + (node_id_t)i);
      if (i % 20 == 19)
        run_for (0.005);
    }
  run_for (0.1);
  CU_ASSERT_EQUAL (net.heard, MANY);
  for (int i = 0; i < MANY; i++)
    {
      closed += is_closed (fds[i]);
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (closed, 0);
  finish ();
}

/* Guards against connections of peers that lost power: they were kept for
   ever, and new peers were turned away in the end. */
static void
test_newer_connection (void)
{
  int older;
  int newer;

  begin ();
  older = connect_raw (10);
  run_for (0.02);
  CU_ASSERT (!is_closed (older));
  newer = connect_raw (10);
  run_for (0.02);
  CU_ASSERT (is_closed (older));
  CU_ASSERT (!is_closed (newer));
  close (older);
  close (newer);
  finish ();
}

/* Guards against a connection that has gone silent in one direction: the peer
   replaced its own one, but the answers went on being written into the old
   one.  Both ends replace theirs once. */
static void
test_silent_connection (void)
{
  uint64_t before;

  begin ();
  net.peer = open_link (PEER, PEER_NODE, &peer_ops, &net);
  peerlink_add (net.own, PEER_NODE, PEER);
  peerlink_add (net.peer, OWN_NODE, OWN);
  run_for (1.2);
  before = counter_get (COUNTER_PEER_CONNECTS);
  peerlink_reset (net.peer, OWN_NODE);
  run_for (0.5);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_CONNECTS), before + 2);
  finish ();
}

/* Guards against connections that are tried ten times a second for as long as
   a removed VM is remembered; it is connected to at once when it is back. */
static void
test_dead_peer (void)
{
  begin ();
  peerlink_add (net.own, PEER_NODE, PEER);
  run_for (2.);
  CU_ASSERT (net.refused >= 3);
  CU_ASSERT (net.refused <= 8);
  net.peer = open_link (PEER, PEER_NODE, &peer_ops, &net);
  peerlink_add (net.own, PEER_NODE, PEER);
  run_for (0.05);
  CU_ASSERT_EQUAL (net.heard, 1);
  finish ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "many peers", test_many_peers },
    { "newer connection", test_newer_connection },
    { "silent connection", test_silent_connection },
    { "dead peer", test_dead_peer },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("peerlink", tests, sizeof tests / sizeof *tests);
}

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
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define OWN_NODE 1U
#define PEER_NODE 2U
#define PEER_COUNT 400
#define PEERS_AT_ONCE 30
/* Documented bounds of a link. */
#define WITHOUT_HELLO_MAX 64
#define HELLO_FRAME_MAX 4096U
#define INCOMPLETE_MAX (32U << 20)
#define STRANGERS (WITHOUT_HELLO_MAX + 30)
#define LARGE_FRAMES 40
#define LARGE_PART 900000U
#define SMALLER_PART 500000U
#define LOG_LINES_MAX 16384

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
connect_from (const char *source)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr (source) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (address_parse (fixture.own_address, &address), 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  return fd;
}

static int
connect_without_hello (void)
{
  return connect_from ("127.0.0.1");
}

static void
send_hello (int fd, node_id_t node)
{
  message_t message
      = { .type = MSG_HELLO,
          .u.hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                       .node = node,
                       .incarnation = node,
                       .address = blob_of ("127.0.0.3:18171") } };
  GByteArray *bytes = g_byte_array_new ();

  message_encode (&message, bytes);
  send_frame (fd, bytes);
}

/* Connects to the own link and sends HELLO as a node.  */
static int
connect_raw (node_id_t node)
{
  int fd = connect_without_hello ();

  send_hello (fd, node);
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

/* Sends the start of a frame that has LEN bytes without its prefix. */
static void
send_part (int fd, uint32_t len, uint32_t part)
{
  guint8 *bytes = g_malloc0 (sizeof len + part);
  uint32_t sent = 0;
  uint32_t prefix = htonl (len);

  memcpy (bytes, &prefix, sizeof prefix);
  while (sent < sizeof prefix + part)
    {
      ssize_t written = send (fd, bytes + sent, sizeof prefix + part - sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);

      if (written > 0)
        sent += (uint32_t)written;
      else if (errno != EAGAIN)
        break;
      else
        ev_run (fixture.loop, EVRUN_NOWAIT);
    }
  g_free (bytes);
}

static uint32_t
close_all (const int *fds, int count)
{
  uint32_t closed = 0;

  for (int i = 0; i < count; i++)
    {
      closed += is_closed (fds[i]);
      close (fds[i]);
    }
  return closed;
}

/* Guards against connections without HELLO that take up descriptors and
   memory, and against a limit on them that closes a peer. */
static void
test_connections_without_hello (void)
{
  uint64_t evicted = counter_get (COUNTER_PEER_HELLO_EVICTED);
  int fds[STRANGERS];
  int peer;

  set_up ();
  peer = connect_raw (10);
  for (int i = 0; i < STRANGERS; i++)
    {
      fds[i] = connect_without_hello ();
      paused_loop_run (fixture.loop, USEC_PER_MSEC);
    }
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  CU_ASSERT (!is_closed (peer));
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_HELLO_EVICTED) - evicted,
                   STRANGERS - WITHOUT_HELLO_MAX);
  CU_ASSERT (is_closed (fds[STRANGERS - WITHOUT_HELLO_MAX - 1]));
  CU_ASSERT (!is_closed (fds[STRANGERS - WITHOUT_HELLO_MAX]));
  CU_ASSERT_EQUAL (close_all (fds, STRANGERS), STRANGERS - WITHOUT_HELLO_MAX);
  close (peer);
  tear_down ();
}

/* Guards against a peer that is closed in favor of connections without HELLO
   although its HELLO has arrived: all were accepted in one round. */
static void
test_hello_arrived (void)
{
  int fds[STRANGERS];
  int peer;

  set_up ();
  peer = connect_raw (10);
  for (int i = 0; i < STRANGERS; i++)
    fds[i] = connect_without_hello ();
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  CU_ASSERT (!is_closed (peer));
  close (peer);
  CU_ASSERT_EQUAL (close_all (fds, STRANGERS), STRANGERS - WITHOUT_HELLO_MAX);
  tear_down ();
}

/* Guards against a peer whose HELLO is on the way and that is closed in favor
   of many connections from another machine. */
static void
test_hello_on_the_way (void)
{
  int fds[STRANGERS];
  int peer;

  set_up ();
  peer = connect_from ("127.0.0.9");
  for (int i = 0; i < STRANGERS; i++)
    fds[i] = connect_without_hello ();
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (peer));
  send_hello (peer, 10);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  close (peer);
  close_all (fds, STRANGERS);
  tear_down ();
}

/* Guards against buffering a large frame of anybody, and against refusing one
   of a peer. */
static void
test_frame_before_hello (void)
{
  uint64_t oversize = counter_get (COUNTER_PEER_HELLO_OVERSIZE);
  int within;
  int over;
  int peer;

  set_up ();
  within = connect_without_hello ();
  over = connect_without_hello ();
  peer = connect_raw (10);
  send_part (within, HELLO_FRAME_MAX, 100);
  send_part (over, HELLO_FRAME_MAX + 1, 0);
  send_part (peer, PEERLINK_MAX_FRAME_BYTES, 100);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (within));
  CU_ASSERT (is_closed (over));
  CU_ASSERT (!is_closed (peer));
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_HELLO_OVERSIZE), oversize + 1);
  close (within);
  close (over);
  close (peer);
  tear_down ();
}

/* Guards against HELLO of node 0, the number that stands for no HELLO: it
   closed all older connections without one. */
static void
test_node_zero (void)
{
  int waiting;
  int zero;

  set_up ();
  waiting = connect_without_hello ();
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  zero = connect_raw (0);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (is_closed (zero));
  CU_ASSERT (!is_closed (waiting));
  CU_ASSERT_EQUAL (fixture.hellos_received, 0);
  close (waiting);
  close (zero);
  tear_down ();
}

/* Guards against connections that never send HELLO and are kept forever. */
static void
test_late_hello (void)
{
  uint64_t late = counter_get (COUNTER_PEER_HELLO_LATE);
  int silent;
  int part;
  int peer;

  set_up ();
  silent = connect_without_hello ();
  part = connect_without_hello ();
  peer = connect_without_hello ();
  send_part (part, HELLO_FRAME_MAX, 1);
  paused_loop_run (fixture.loop, 4900 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (silent));
  send_hello (peer, 10);
  CU_ASSERT_EQUAL (send (part, "", 1, MSG_NOSIGNAL), 1);
  paused_loop_run (fixture.loop, 700 * USEC_PER_MSEC);
  CU_ASSERT (is_closed (silent));
  CU_ASSERT (is_closed (part));
  CU_ASSERT (!is_closed (peer));
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_HELLO_LATE), late + 2);
  paused_loop_run (fixture.loop, 60 * USEC_PER_SEC);
  CU_ASSERT (!is_closed (peer));
  close (silent);
  close (part);
  close (peer);
  tear_down ();
}

/* Guards against a process that was frozen and closes peers whose HELLO it had
   no time to read, or that had no time to send it. */
static void
test_hello_after_freeze (void)
{
  int arrived;
  int coming;

  set_up ();
  arrived = connect_without_hello ();
  coming = connect_without_hello ();
  paused_loop_run (fixture.loop, USEC_PER_SEC);
  send_hello (arrived, 10);
  clock_skip (60 * USEC_PER_SEC);
  paused_loop_run (fixture.loop, 3 * USEC_PER_SEC);
  CU_ASSERT (!is_closed (coming));
  send_hello (coming, 11);
  paused_loop_run (fixture.loop, 10 * USEC_PER_SEC);
  CU_ASSERT (!is_closed (arrived));
  CU_ASSERT (!is_closed (coming));
  CU_ASSERT_EQUAL (fixture.hellos_received, 2);
  close (arrived);
  close (coming);
  tear_down ();
}

/* Guards against a peer that is closed at the end of its time although its
   HELLO has arrived: a busy process may serve the timer first. */
static void
test_hello_at_last (void)
{
  int fd;

  set_up ();
  fd = connect_without_hello ();
  paused_loop_run (fixture.loop, 5200 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (fd));
  send_hello (fd, 10);
  CU_ASSERT (clock_step ());
  CU_ASSERT (!is_closed (fd));
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  close (fd);
  tear_down ();
}

/* Guards against incomplete frames that exhaust the memory, each within its
   limit, and against a limit on them that closes a peer with a small one. */
static void
test_incomplete_frames (void)
{
  uint64_t evicted = counter_get (COUNTER_PEER_BYTES_EVICTED);
  message_t known = { .type = MSG_OWNER_LEFT };
  GByteArray *bytes = g_byte_array_new ();
  int fds[LARGE_FRAMES];
  int smaller[2];
  uint32_t closed;
  uint32_t prefix;
  int peer;

  set_up ();
  message_encode (&known, bytes);
  prefix = htonl (bytes->len);
  g_byte_array_prepend (bytes, (const guint8 *)&prefix, sizeof prefix);
  peer = connect_raw (10);
  CU_ASSERT_EQUAL (send (peer, bytes->data, 5, MSG_NOSIGNAL), 5);
  for (int i = 0; i < LARGE_FRAMES; i++)
    {
      fds[i] = connect_raw (20 + (node_id_t)i);
      send_part (fds[i], PEERLINK_MAX_FRAME_BYTES, LARGE_PART);
      paused_loop_run (fixture.loop, 5 * USEC_PER_MSEC);
    }
  for (int i = 0; i < 2; i++)
    {
      smaller[i] = connect_raw (100 + (node_id_t)i);
      send_part (smaller[i], PEERLINK_MAX_FRAME_BYTES, SMALLER_PART);
      paused_loop_run (fixture.loop, 5 * USEC_PER_MSEC);
    }
  CU_ASSERT_EQUAL (send (peer, bytes->data + 5, bytes->len - 5, MSG_NOSIGNAL),
                   (ssize_t)bytes->len - 5);
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (peer));
  CU_ASSERT_EQUAL (fixture.owners_left, 1);
  CU_ASSERT_EQUAL (close_all (smaller, 2), 0);
  closed = close_all (fds, LARGE_FRAMES);
  CU_ASSERT ((LARGE_FRAMES - closed) * LARGE_PART + 2 * SMALLER_PART
             <= INCOMPLETE_MAX);
  /* Not more than needed. */
  CU_ASSERT ((LARGE_FRAMES - closed + 2)
                 * (PEERLINK_MAX_FRAME_BYTES + sizeof prefix)
             > INCOMPLETE_MAX);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_BYTES_EVICTED) - evicted, closed);
  close (peer);
  g_byte_array_unref (bytes);
  tear_down ();
}

/* Guards against bytes of frames that are complete and count on: the peers of
   a link would be closed in turn after 32 MiB. */
static void
test_complete_frames (void)
{
  uint64_t evicted = counter_get (COUNTER_PEER_BYTES_EVICTED);
  uint64_t unknown = counter_get (COUNTER_PEER_UNKNOWN_FRAMES);
  const guint8 start[] = { 0x92, 0x3f, 0xc6, 0x00, 0x0f, 0xff, 0xf0 };
  guint8 *rest = g_malloc0 (PEERLINK_MAX_FRAME_BYTES);
  int fd;

  set_up ();
  fd = connect_raw (10);
  for (int i = 0; i < LARGE_FRAMES; i++)
    {
      uint32_t prefix = htonl (sizeof start + 0xffff0);
      uint32_t sent = 0;

      send (fd, &prefix, sizeof prefix, MSG_NOSIGNAL);
      send (fd, start, sizeof start, MSG_NOSIGNAL);
      while (sent < 0xffff0)
        {
          ssize_t written = send (fd, rest + sent, 0xffff0 - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);

          if (written < 0 && errno != EAGAIN)
            break;
          sent += written > 0 ? (uint32_t)written : 0;
          ev_run (fixture.loop, EVRUN_NOWAIT);
        }
    }
  paused_loop_run (fixture.loop, 20 * USEC_PER_MSEC);
  CU_ASSERT (!is_closed (fd));
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_UNKNOWN_FRAMES) - unknown,
                   LARGE_FRAMES);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_BYTES_EVICTED), evicted);
  close (fd);
  g_free (rest);
  tear_down ();
}

/* Guards against frames that are lost, or put together wrongly, where the
   bytes arrive one by one or many frames at once. */
static void
test_pieces (void)
{
  message_t hello = { .type = MSG_HELLO,
                      .u.hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                                   .node = 10,
                                   .incarnation = 10,
                                   .address = blob_of ("127.0.0.3:18171") } };
  message_t known = { .type = MSG_OWNER_LEFT };
  GByteArray *all = g_byte_array_new ();
  int fd;

  set_up ();
  for (int i = 0; i < 4; i++)
    {
      GByteArray *bytes = g_byte_array_new ();
      uint32_t prefix;

      message_encode (i ? &known : &hello, bytes);
      prefix = htonl (bytes->len);
      g_byte_array_append (all, (const guint8 *)&prefix, sizeof prefix);
      g_byte_array_append (all, bytes->data, bytes->len);
      g_byte_array_unref (bytes);
    }
  fd = connect_without_hello ();
  for (guint i = 0; i < all->len; i++)
    {
      CU_ASSERT_EQUAL (send (fd, all->data + i, 1, MSG_NOSIGNAL), 1);
      paused_loop_run (fixture.loop, USEC_PER_MSEC);
    }
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  CU_ASSERT_EQUAL (fixture.owners_left, 3);
  close (fd);
  fd = connect_without_hello ();
  CU_ASSERT_EQUAL (send (fd, all->data, all->len - 2, MSG_NOSIGNAL),
                   (ssize_t)all->len - 2);
  paused_loop_run (fixture.loop, USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.owners_left, 5);
  CU_ASSERT_EQUAL (send (fd, all->data + all->len - 2, 2, MSG_NOSIGNAL), 2);
  paused_loop_run (fixture.loop, USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.owners_left, 6);
  CU_ASSERT (!is_closed (fd));
  close (fd);
  g_byte_array_unref (all);
  tear_down ();
}

/* Guards against a loop that spins while the process has no descriptors for a
   connection that waits, and against a listener that stays paused. */
static void
test_no_descriptors (void)
{
  uint64_t pauses = counter_get (COUNTER_PEER_ACCEPT_PAUSES);
  struct rlimit limit;
  struct rlimit lowered;
  int fd;
  int unused;

  set_up ();
  fd = connect_raw (10);
  unused = dup (fd);
  close (unused);
  CU_ASSERT_EQUAL (getrlimit (RLIMIT_NOFILE, &limit), 0);
  lowered = limit;
  lowered.rlim_cur = (rlim_t)unused;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &lowered), 0);
  for (int i = 0; i < 10; i++)
    ev_run (fixture.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_ACCEPT_PAUSES), pauses + 1);
  /* The clock does not move while the loop spins. */
  if (counter_get (COUNTER_PEER_ACCEPT_PAUSES) == pauses + 1)
    paused_loop_run (fixture.loop, 950 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_ACCEPT_PAUSES), pauses + 10);
  CU_ASSERT_EQUAL (fixture.hellos_received, 0);
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  paused_loop_run (fixture.loop, 150 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.hellos_received, 1);
  close (fd);
  tear_down ();
}

static uint32_t
count_lines (const char *text, const char *step)
{
  uint32_t count = 0;

  for (const char *at = strstr (text, step); at; at = strstr (at + 1, step))
    count++;
  return count;
}

/* Guards against a log line for each connection of clients that open very
   many, and against a close that no line tells. */
static void
test_log_volume (void)
{
  char text[LOG_LINES_MAX] = "";
  int saved = dup (STDERR_FILENO);
  FILE *file = tmpfile ();
  ssize_t len;

  set_up ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  log_open ("test", LOG_LEVEL_WARNING);
  dup2 (fileno (file), STDERR_FILENO);
  for (int i = 0; i < 300; i++)
    {
      int fd = connect_without_hello ();

      send_part (fd, PEERLINK_MAX_FRAME_BYTES, 0);
      paused_loop_run (fixture.loop, USEC_PER_MSEC);
      close (fd);
    }
  paused_loop_run (fixture.loop, 2 * USEC_PER_SEC);
  dup2 (saved, STDERR_FILENO);
  close (saved);
  log_open ("test", LOG_LEVEL_ERR);
  len = pread (fileno (file), text, sizeof text - 1, 0);
  CU_ASSERT (len > 0);
  CU_ASSERT_EQUAL (count_lines (text, "step=peer-frame"), 10);
  CU_ASSERT_EQUAL (count_lines (text, "step=peer.limit"), 2);
  CU_ASSERT_EQUAL (count_lines (text, "hello_oversize=1 "), 0);
  CU_ASSERT_EQUAL (count_lines (text, "hello_oversize=299 "), 1);
  CU_ASSERT_EQUAL (count_lines (text, "bad_frames_not_logged=290"), 1);
  fclose (file);
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
    { "connections without HELLO", test_connections_without_hello },
    { "HELLO arrived", test_hello_arrived },
    { "HELLO on the way", test_hello_on_the_way },
    { "frame before HELLO", test_frame_before_hello },
    { "node 0", test_node_zero },
    { "late HELLO", test_late_hello },
    { "HELLO after a freeze", test_hello_after_freeze },
    { "HELLO at last", test_hello_at_last },
    { "incomplete frames", test_incomplete_frames },
    { "complete frames", test_complete_frames },
    { "pieces", test_pieces },
    { "no descriptors", test_no_descriptors },
    { "log volume", test_log_volume },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("peerlink", tests, sizeof tests / sizeof *tests);
}

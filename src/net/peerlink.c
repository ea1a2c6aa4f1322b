/** @file
 * Links between entry processes: length-prefixed frames over TCP.
 */
#include "net/peerlink.h"
#include "base/counters.h"
#include "base/log.h"
#include "net/address.h"
#include "net/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PREFIX_BYTES 4U
#define READ_CHUNK (64U << 10)
/* Delay before a failed connect is retried, doubled after each failure. */
#define RECONNECT_MIN_DELAY (100 * USEC_PER_MSEC)
#define RECONNECT_MAX_DELAY (2 * USEC_PER_SEC)
#define CONNECT_TIMEOUT (500 * USEC_PER_MSEC)
#define LISTEN_BACKLOG 1024
/* Most connections accepted in one round of the loop. */
#define ACCEPTS_MAX 256U
/* Every other process of the site may connect to a shard owner. */
#define MAX_INBOUND 4096U
/* A peer that opens a new connection has usually lost the old one, so the
   outbound connection is renewed as well.  A younger one is kept: opening it
   is what made the peer connect. */
#define RENEW_MIN_AGE_US (USEC_PER_SEC)
/* A connection fails if sent data stays unacknowledged for this long
   (TCP_USER_TIMEOUT). */
#define USER_TIMEOUT_MS 3000
/* TCP keepalive, which detects lost peers on idle inbound connections. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 3

typedef enum
{
  OUTBOUND_IDLE,
  OUTBOUND_CONNECTING,
  OUTBOUND_OPEN
} outbound_state_t;

/* Connection that this process opened; only written to. */
typedef struct
{
  peerlink_t *link;
  node_id_t node;
  char address_text[64];
  struct sockaddr_in address;
  outbound_state_t state;
  int fd;
  ev_io io;
  clock_timer_t timer;    /* reconnect delay or connect timeout */
  usec_t reconnect_delay; /* before the next connect */
  usec_t opened_at;
  GByteArray *queue;
  size_t sent; /* bytes of the queue already written */
} outbound_t;

/* Connection that a peer opened; only read from. */
typedef struct
{
  peerlink_t *link;
  int fd;
  ev_io io;
  GByteArray *buffer;
  uint64_t number; /* in the order of their accepts */
  node_id_t node;  /* 0 before HELLO */
  incarnation_t incarnation;
  char peer_address[64];
} inbound_t;

struct peerlink
{
  struct ev_loop *loop;
  const peerlink_ops_t *ops;
  void *ctx;
  msg_hello_t hello;
  int listen_fd;
  ev_io listen_io;
  GHashTable *outbound; /* node -> outbound_t */
  GHashTable *inbound;  /* set of inbound_t */
  uint64_t accepted;    /* connections so far */
  guint8 chunk[READ_CHUNK];
};

static int listen_on (const char *address, err_t *err);
static void set_nonblocking (int fd);
static void set_keepalive (int fd);
static void on_accept (EV_P_ ev_io *io, int events);
static bool accept_one (peerlink_t *link, int listen_fd);
static void on_inbound_readable (EV_P_ ev_io *io, int events);
static bool process_frames (inbound_t *in);
static bool process_message (inbound_t *in, blob_t frame);
static bool close_older_inbound (const inbound_t *in);
static void renew_outbound (peerlink_t *link, node_id_t node);
static void inbound_free (void *data);
static void outbound_free (void *data);
static void outbound_connect (outbound_t *out);
static void outbound_opened (outbound_t *out);
static void outbound_close (outbound_t *out, bool refused);
static void outbound_flush (outbound_t *out);
static void outbound_queue (outbound_t *out, const message_t *message);
static void on_outbound_io (EV_P_ ev_io *io, int events);
static void on_outbound_timer (void *ctx);

peerlink_t *
peerlink_new (struct ev_loop *loop, const char *address,
              const msg_hello_t *hello, const peerlink_ops_t *ops, void *ctx,
              err_t *err)
{
  int fd = listen_on (address, err);
  peerlink_t *link;

  if (fd < 0)
    return NULL;
  link = g_new0 (peerlink_t, 1);
  link->loop = loop;
  link->ops = ops;
  link->ctx = ctx;
  link->hello = *hello;
  link->listen_fd = fd;
  link->outbound = g_hash_table_new_full (NULL, NULL, NULL, outbound_free);
  link->inbound = g_hash_table_new_full (NULL, NULL, inbound_free, NULL);
  ev_io_init (&link->listen_io, on_accept, fd, EV_READ);
  link->listen_io.data = link;
  ev_io_start (loop, &link->listen_io);
  return link;
}

void
peerlink_free (peerlink_t *link)
{
  if (!link)
    return;
  ev_io_stop (link->loop, &link->listen_io);
  close (link->listen_fd);
  g_hash_table_destroy (link->outbound);
  g_hash_table_destroy (link->inbound);
  g_free (link);
}

int
peerlink_add (peerlink_t *link, node_id_t node, const char *address)
{
  outbound_t *out
      = g_hash_table_lookup (link->outbound, GUINT_TO_POINTER (node));
  struct sockaddr_in parsed;

  if (address_parse (address, &parsed))
    return -EINVAL;
  if (out && strcmp (out->address_text, address) == 0)
    {
      if (out->state == OUTBOUND_IDLE)
        outbound_connect (out);
      return 0;
    }
  out = g_new0 (outbound_t, 1);
  out->link = link;
  out->node = node;
  out->address = parsed;
  out->fd = -1;
  out->reconnect_delay = RECONNECT_MIN_DELAY;
  g_strlcpy (out->address_text, address, sizeof out->address_text);
  out->queue = g_byte_array_new ();
  ev_init (&out->io, on_outbound_io);
  clock_timer_init (&out->timer, link->loop, on_outbound_timer, out);
  out->io.data = out;
  g_hash_table_replace (link->outbound, GUINT_TO_POINTER (node), out);
  outbound_connect (out);
  return 0;
}

int
peerlink_send (peerlink_t *link, node_id_t node, const message_t *message)
{
  outbound_t *out
      = g_hash_table_lookup (link->outbound, GUINT_TO_POINTER (node));

  if (!out || out->state != OUTBOUND_OPEN)
    return -ENOTCONN;
  if (out->queue->len - out->sent > PEERLINK_MAX_QUEUE_BYTES)
    return -ENOBUFS;
  outbound_queue (out, message);
  outbound_flush (out);
  return 0;
}

void
peerlink_broadcast (peerlink_t *link, const message_t *message)
{
  GList *nodes = g_hash_table_get_keys (link->outbound);

  /* A failed send closes its connection but does not change the table.  */
  for (GList *l = nodes; l; l = l->next)
    peerlink_send (link, GPOINTER_TO_UINT (l->data), message);
  g_list_free (nodes);
}

void
peerlink_reset (peerlink_t *link, node_id_t node)
{
  outbound_t *out
      = g_hash_table_lookup (link->outbound, GUINT_TO_POINTER (node));

  if (out && out->state == OUTBOUND_OPEN)
    {
      outbound_close (out, false);
      outbound_connect (out);
    }
}

bool
peerlink_reset_older (peerlink_t *link, node_id_t node, usec_t before)
{
  const outbound_t *out
      = g_hash_table_lookup (link->outbound, GUINT_TO_POINTER (node));

  if (!out || out->state != OUTBOUND_OPEN || out->opened_at > before)
    return false;
  peerlink_reset (link, node);
  return true;
}

static int
listen_on (const char *address, err_t *err)
{
  struct sockaddr_in parsed;
  int one = 1;
  int fd;

  if (address_parse (address, &parsed))
    return err_set (err, -EINVAL, "listen", address, "not an IP:port");
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return err_set (err, -errno, "listen", address, "socket: %s",
                    g_strerror (errno));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&parsed, sizeof parsed) < 0
      || listen (fd, LISTEN_BACKLOG) < 0)
    {
      int code = -errno;

      close (fd);
      return err_set (err, code, "listen", address, "%s", g_strerror (-code));
    }
  set_nonblocking (fd);
  return fd;
}

static void
set_nonblocking (int fd)
{
  int one = 1;

  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static void
set_keepalive (int fd)
{
  int one = 1;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static void
on_accept (EV_P_ ev_io *io, int events)
{
  (void)loop;
  (void)events;
  for (uint32_t i = 0; i < ACCEPTS_MAX && accept_one (io->data, io->fd); i++)
    ;
}

/* @return false if no connection is waiting */
static bool
accept_one (peerlink_t *link, int listen_fd)
{
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  int fd = accept4 (listen_fd, (struct sockaddr *)&from, &len, SOCK_CLOEXEC);
  inbound_t *in;

  if (fd < 0)
    return false;
  if (g_hash_table_size (link->inbound) >= MAX_INBOUND)
    {
      close (fd);
      return true;
    }
  set_nonblocking (fd);
  set_keepalive (fd);
  in = g_new0 (inbound_t, 1);
  in->link = link;
  in->fd = fd;
  in->number = ++link->accepted;
  in->buffer = g_byte_array_new ();
  g_snprintf (in->peer_address, sizeof in->peer_address, "%s:%u",
              inet_ntoa (from.sin_addr), ntohs (from.sin_port));
  ev_io_init (&in->io, on_inbound_readable, fd, EV_READ);
  in->io.data = in;
  ev_io_start (link->loop, &in->io);
  g_hash_table_add (link->inbound, in);
  return true;
}

static void
on_inbound_readable (EV_P_ ev_io *io, int events)
{
  inbound_t *in = io->data;
  guint8 *chunk = in->link->chunk;
  ssize_t received = read (in->fd, chunk, READ_CHUNK);

  (void)loop;
  (void)events;
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received > 0)
    g_byte_array_append (in->buffer, chunk, (guint)received);
  if (received <= 0 || !process_frames (in))
    g_hash_table_remove (in->link->inbound, in);
}

static bool
process_frames (inbound_t *in)
{
  guint done = 0;

  while (in->buffer->len - done >= PREFIX_BYTES)
    {
      uint32_t len;

      memcpy (&len, in->buffer->data + done, PREFIX_BYTES);
      len = ntohl (len);
      if (len > PEERLINK_MAX_FRAME_BYTES)
        {
          counter_add (COUNTER_PEER_BAD_FRAMES, 1);
          log_line (LOG_LEVEL_WARNING, "peer-frame", in->peer_address,
                    "frame of %u bytes is too large", len);
          return false;
        }
      if (in->buffer->len - done < PREFIX_BYTES + len)
        break;
      if (!process_message (
              in,
              (blob_t){ (char *)in->buffer->data + done + PREFIX_BYTES, len }))
        return false;
      done += PREFIX_BYTES + len;
    }
  if (done)
    g_byte_array_remove_range (in->buffer, 0, done);
  return true;
}

static bool
process_message (inbound_t *in, blob_t frame)
{
  message_t message;
  err_t err = { 0 };
  int code = message_decode (frame, &message, &err);
  bool valid = code == 0;

  /* A later build may send more types of messages. */
  if (code == -ENOMSG && in->node)
    {
      counter_add (COUNTER_PEER_UNKNOWN_FRAMES, 1);
      return true;
    }
  if (valid && message.type == MSG_HELLO)
    {
      valid = message.u.hello.protocol == MESSAGE_PROTOCOL_VERSION;
      if (!valid)
        err_set (&err, -EPROTO, "decode", in->peer_address,
                 "protocol version %u is not supported",
                 (unsigned)message.u.hello.protocol);
      in->node = (node_id_t)message.u.hello.node;
      in->incarnation = message.u.hello.incarnation;
      if (valid && !close_older_inbound (in))
        {
          message_clear (&message);
          return false;
        }
      if (valid)
        renew_outbound (in->link, in->node);
    }
  else if (valid && !in->node)
    {
      valid = false;
      err_set (&err, -EPROTO, "decode", in->peer_address,
               "message before HELLO");
    }
  if (valid)
    {
      counter_add (COUNTER_PEER_FRAMES_IN, 1);
      in->link->ops->message (in->link->ctx, in->node, in->incarnation,
                              &message);
    }
  else
    {
      counter_add (COUNTER_PEER_BAD_FRAMES, 1);
      log_line (LOG_LEVEL_WARNING, "peer-frame", in->peer_address, "%s",
                err.text);
    }
  message_clear (&message);
  return valid;
}

/* A peer has one connection at a time; an older one belongs to a process or VM
   that no longer exists, or was replaced before its HELLO was read.
   @return false if the connection is itself older than another one */
static bool
close_older_inbound (const inbound_t *in)
{
  GHashTableIter iter;
  gpointer key;
  bool newest = true;

  g_hash_table_iter_init (&iter, in->link->inbound);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const inbound_t *other = key;

      if (other->node != in->node)
        continue;
      if (other->number < in->number)
        g_hash_table_iter_remove (&iter);
      else
        newest &= other == in;
    }
  return newest;
}

static void
renew_outbound (peerlink_t *link, node_id_t node)
{
  const outbound_t *out
      = g_hash_table_lookup (link->outbound, GUINT_TO_POINTER (node));

  if (out && out->state == OUTBOUND_OPEN
      && clock_now () - out->opened_at > RENEW_MIN_AGE_US)
    peerlink_reset (link, node);
}

static void
inbound_free (void *data)
{
  inbound_t *in = data;

  ev_io_stop (in->link->loop, &in->io);
  close (in->fd);
  g_byte_array_free (in->buffer, TRUE);
  g_free (in);
}

static void
outbound_free (void *data)
{
  outbound_t *out = data;

  ev_io_stop (out->link->loop, &out->io);
  clock_timer_stop (&out->timer);
  if (out->fd >= 0)
    close (out->fd);
  g_byte_array_free (out->queue, TRUE);
  g_free (out);
}

static void
outbound_connect (outbound_t *out)
{
  struct ev_loop *loop = out->link->loop;
  unsigned user_timeout_ms = USER_TIMEOUT_MS;
  int result;

  clock_timer_stop (&out->timer);
  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (out->fd < 0)
    {
      outbound_close (out, false);
      return;
    }
  set_nonblocking (out->fd);
  setsockopt (out->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  result = connect (out->fd, (struct sockaddr *)&out->address,
                    sizeof out->address);
  if (result < 0 && errno != EINPROGRESS)
    {
      outbound_close (out, errno == ECONNREFUSED);
      return;
    }
  out->state = OUTBOUND_CONNECTING;
  ev_io_set (&out->io, out->fd, EV_WRITE);
  ev_io_start (loop, &out->io);
  clock_timer_start (&out->timer, CONNECT_TIMEOUT);
}

static void
outbound_opened (outbound_t *out)
{
  message_t hello = { .type = MSG_HELLO, .u.hello = out->link->hello };

  clock_timer_stop (&out->timer);
  out->state = OUTBOUND_OPEN;
  out->opened_at = clock_now ();
  out->reconnect_delay = RECONNECT_MIN_DELAY;
  counter_add (COUNTER_PEER_CONNECTS, 1);
  outbound_queue (out, &hello);
  outbound_flush (out);
  if (out->state == OUTBOUND_OPEN)
    out->link->ops->connected (out->link->ctx, out->node);
}

/* Closes the connection and schedules a reconnect. */
static void
outbound_close (outbound_t *out, bool refused)
{
  struct ev_loop *loop = out->link->loop;

  ev_io_stop (loop, &out->io);
  clock_timer_stop (&out->timer);
  if (out->fd >= 0)
    close (out->fd);
  out->fd = -1;
  out->state = OUTBOUND_IDLE;
  out->sent = 0;
  g_byte_array_set_size (out->queue, 0);
  clock_timer_start (&out->timer, out->reconnect_delay);
  out->reconnect_delay = MIN (2 * out->reconnect_delay, RECONNECT_MAX_DELAY);
  if (refused)
    out->link->ops->refused (out->link->ctx, out->node);
}

static void
outbound_queue (outbound_t *out, const message_t *message)
{
  guint start = out->queue->len;
  uint32_t len = 0;

  g_byte_array_append (out->queue, (const guint8 *)&len, PREFIX_BYTES);
  message_encode (message, out->queue);
  len = htonl (out->queue->len - start - PREFIX_BYTES);
  memcpy (out->queue->data + start, &len, PREFIX_BYTES);
}

static void
outbound_flush (outbound_t *out)
{
  struct ev_loop *loop = out->link->loop;

  while (out->sent < out->queue->len)
    {
      ssize_t written = send (out->fd, out->queue->data + out->sent,
                              out->queue->len - out->sent, MSG_NOSIGNAL);

      if (written < 0 && errno != EAGAIN && errno != EINTR)
        {
          outbound_close (out, false);
          return;
        }
      if (written <= 0)
        break;
      out->sent += (size_t)written;
      counter_add (COUNTER_PEER_BYTES_OUT, (uint64_t)written);
    }
  if (out->sent == out->queue->len)
    {
      g_byte_array_set_size (out->queue, 0);
      out->sent = 0;
    }
  /* Reads are watched as well, to detect a close by the peer. */
  ev_io_stop (loop, &out->io);
  ev_io_set (&out->io, out->fd,
             out->queue->len ? EV_READ | EV_WRITE : EV_READ);
  ev_io_start (loop, &out->io);
}

static void
on_outbound_io (EV_P_ ev_io *io, int events)
{
  outbound_t *out = io->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)loop;
  if (out->state == OUTBOUND_CONNECTING)
    {
      getsockopt (out->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error)
        outbound_close (out, error == ECONNREFUSED);
      else
        outbound_opened (out);
      return;
    }
  if (events & EV_READ)
    {
      char discarded[64];
      ssize_t received = read (out->fd, discarded, sizeof discarded);

      if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR))
        {
          outbound_close (out, false);
          outbound_connect (out);
          return;
        }
    }
  if (events & EV_WRITE)
    outbound_flush (out);
}

static void
on_outbound_timer (void *ctx)
{
  outbound_t *out = ctx;

  if (out->state == OUTBOUND_CONNECTING)
    outbound_close (out, false);
  else if (out->state == OUTBOUND_IDLE)
    outbound_connect (out);
}

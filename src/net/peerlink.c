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
/* A connection that could not be opened is tried again after this long,
   doubled each time. */
#define RECONNECT_S 0.1
#define RECONNECT_MOST_S 2.0
#define CONNECT_LIMIT_S 0.5
#define BACKLOG 1024
/* An owner hears from every other process of its site. */
#define MAX_ACCEPTED 4096U
/* A peer that opens a new connection found ours silent, unless we opened it
   just now: that is what made the peer open its own. */
#define RENEW_AFTER (USEC_PER_SEC)
/* Sent bytes that are not acknowledged for so long, in ms: the peer is gone.
 */
#define UNACKNOWLEDGED_MS 3000
/* The same of idle connections that a peer opened, in s. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 3

typedef enum
{
  OUT_IDLE,
  OUT_CONNECTING,
  OUT_OPEN
} out_state_t;

/* Connection that this process opened; only written to. */
typedef struct
{
  peerlink_t *link;
  node_id_t node;
  char text[64];
  struct sockaddr_in address;
  out_state_t state;
  int fd;
  ev_io io;
  ev_timer timer; /* reconnect, or limit of a connect */
  double pause;   /* before the next connect, in s */
  usec_t opened;  /* when */
  GByteArray *queue;
  size_t sent; /* bytes of the queue already written */
} out_t;

/* Connection that a peer opened; only read from. */
typedef struct
{
  peerlink_t *link;
  int fd;
  ev_io io;
  GByteArray *buffer;
  node_id_t node; /* 0 before HELLO */
  incarnation_t incarnation;
  char peer[64];
} in_t;

struct peerlink
{
  struct ev_loop *loop;
  const peerlink_ops_t *ops;
  void *ctx;
  msg_hello_t hello;
  int listen_fd;
  ev_io listen_io;
  GHashTable *outs; /* node -> out_t */
  GHashTable *ins;  /* set of in_t */
  guint8 chunk[READ_CHUNK];
};

static int listen_on (const char *address, err_t *err);
static void set_nonblocking (int fd);
static void set_keepalive (int fd);
static void on_accept (EV_P_ ev_io *io, int events);
static void on_in_readable (EV_P_ ev_io *io, int events);
static bool take_frames (in_t *in);
static bool take_message (in_t *in, blob_t frame);
static void drop_older (const in_t *in);
static void renew_out (peerlink_t *link, node_id_t node);
static void in_free (void *data);
static void out_free (void *data);
static void out_connect (out_t *out);
static void out_opened (out_t *out);
static void out_close (out_t *out, bool refused);
static void out_flush (out_t *out);
static void out_queue (out_t *out, const message_t *message);
static void on_out_io (EV_P_ ev_io *io, int events);
static void on_out_timer (EV_P_ ev_timer *timer, int events);

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
  link->outs = g_hash_table_new_full (NULL, NULL, NULL, out_free);
  link->ins = g_hash_table_new_full (NULL, NULL, in_free, NULL);
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
  g_hash_table_destroy (link->outs);
  g_hash_table_destroy (link->ins);
  g_free (link);
}

int
peerlink_add (peerlink_t *link, node_id_t node, const char *address)
{
  out_t *out = g_hash_table_lookup (link->outs, GUINT_TO_POINTER (node));
  struct sockaddr_in parsed;

  if (address_parse (address, &parsed))
    return -EINVAL;
  if (out && strcmp (out->text, address) == 0)
    {
      if (out->state == OUT_IDLE)
        out_connect (out);
      return 0;
    }
  out = g_new0 (out_t, 1);
  out->link = link;
  out->node = node;
  out->address = parsed;
  out->fd = -1;
  out->pause = RECONNECT_S;
  g_strlcpy (out->text, address, sizeof out->text);
  out->queue = g_byte_array_new ();
  ev_init (&out->io, on_out_io);
  ev_init (&out->timer, on_out_timer);
  out->io.data = out;
  out->timer.data = out;
  g_hash_table_replace (link->outs, GUINT_TO_POINTER (node), out);
  out_connect (out);
  return 0;
}

int
peerlink_send (peerlink_t *link, node_id_t node, const message_t *message)
{
  out_t *out = g_hash_table_lookup (link->outs, GUINT_TO_POINTER (node));

  if (!out || out->state != OUT_OPEN)
    return -ENOTCONN;
  if (out->queue->len - out->sent > PEERLINK_MAX_QUEUE)
    return -ENOBUFS;
  out_queue (out, message);
  out_flush (out);
  return 0;
}

void
peerlink_broadcast (peerlink_t *link, const message_t *message)
{
  GList *nodes = g_hash_table_get_keys (link->outs);

  /* A connection that fails is closed, which leaves the table alone.  */
  for (GList *l = nodes; l; l = l->next)
    peerlink_send (link, GPOINTER_TO_UINT (l->data), message);
  g_list_free (nodes);
}

void
peerlink_reset (peerlink_t *link, node_id_t node)
{
  out_t *out = g_hash_table_lookup (link->outs, GUINT_TO_POINTER (node));

  if (out && out->state == OUT_OPEN)
    {
      out_close (out, false);
      out_connect (out);
    }
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
      || listen (fd, BACKLOG) < 0)
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
  peerlink_t *link = io->data;
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  int fd = accept4 (io->fd, (struct sockaddr *)&from, &len, SOCK_CLOEXEC);
  in_t *in;

  (void)events;
  if (fd < 0)
    return;
  if (g_hash_table_size (link->ins) >= MAX_ACCEPTED)
    {
      close (fd);
      return;
    }
  set_nonblocking (fd);
  set_keepalive (fd);
  in = g_new0 (in_t, 1);
  in->link = link;
  in->fd = fd;
  in->buffer = g_byte_array_new ();
  g_snprintf (in->peer, sizeof in->peer, "%s:%u", inet_ntoa (from.sin_addr),
              ntohs (from.sin_port));
  ev_io_init (&in->io, on_in_readable, fd, EV_READ);
  in->io.data = in;
  ev_io_start (EV_A_ & in->io);
  g_hash_table_add (link->ins, in);
}

static void
on_in_readable (EV_P_ ev_io *io, int events)
{
  in_t *in = io->data;
  guint8 *chunk = in->link->chunk;
  ssize_t got = read (in->fd, chunk, READ_CHUNK);

  (void)loop;
  (void)events;
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got > 0)
    g_byte_array_append (in->buffer, chunk, (guint)got);
  if (got <= 0 || !take_frames (in))
    g_hash_table_remove (in->link->ins, in);
}

static bool
take_frames (in_t *in)
{
  guint done = 0;

  while (in->buffer->len - done >= PREFIX_BYTES)
    {
      uint32_t len;

      memcpy (&len, in->buffer->data + done, PREFIX_BYTES);
      len = ntohl (len);
      if (len > PEERLINK_MAX_FRAME)
        {
          counter_add (COUNTER_PEER_BAD_FRAMES, 1);
          log_line (LOG_LEVEL_WARNING, "peer-frame", in->peer,
                    "frame of %u bytes refused", len);
          return false;
        }
      if (in->buffer->len - done < PREFIX_BYTES + len)
        break;
      if (!take_message (
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
take_message (in_t *in, blob_t frame)
{
  message_t message;
  err_t err = { 0 };
  bool good = message_decode (frame, &message, &err) == 0;

  if (good && message.type == MSG_HELLO)
    {
      good = message.u.hello.protocol == MESSAGE_PROTOCOL_VERSION;
      if (!good)
        err_set (&err, -EPROTO, "decode", in->peer, "protocol %u refused",
                 (unsigned)message.u.hello.protocol);
      in->node = (node_id_t)message.u.hello.node;
      in->incarnation = message.u.hello.incarnation;
      if (good)
        {
          drop_older (in);
          renew_out (in->link, in->node);
        }
    }
  else if (good && !in->node)
    {
      good = false;
      err_set (&err, -EPROTO, "decode", in->peer, "no HELLO");
    }
  if (good)
    {
      counter_add (COUNTER_PEER_FRAMES_IN, 1);
      in->link->ops->message (in->link->ctx, in->node, in->incarnation,
                              &message);
    }
  else
    {
      counter_add (COUNTER_PEER_BAD_FRAMES, 1);
      log_line (LOG_LEVEL_WARNING, "peer-frame", in->peer, "%s", err.text);
    }
  message_clear (&message);
  return good;
}

/* A peer has one connection at a time; an older one is of a process or a VM
   that is gone.  */
static void
drop_older (const in_t *in)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, in->link->ins);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const in_t *other = key;

      if (other != in && other->node == in->node)
        g_hash_table_iter_remove (&iter);
    }
}

static void
renew_out (peerlink_t *link, node_id_t node)
{
  const out_t *out = g_hash_table_lookup (link->outs, GUINT_TO_POINTER (node));

  if (out && out->state == OUT_OPEN
      && clock_now () - out->opened > RENEW_AFTER)
    peerlink_reset (link, node);
}

static void
in_free (void *data)
{
  in_t *in = data;

  ev_io_stop (in->link->loop, &in->io);
  close (in->fd);
  g_byte_array_free (in->buffer, TRUE);
  g_free (in);
}

static void
out_free (void *data)
{
  out_t *out = data;

  ev_io_stop (out->link->loop, &out->io);
  ev_timer_stop (out->link->loop, &out->timer);
  if (out->fd >= 0)
    close (out->fd);
  g_byte_array_free (out->queue, TRUE);
  g_free (out);
}

static void
out_connect (out_t *out)
{
  struct ev_loop *loop = out->link->loop;
  unsigned limit = UNACKNOWLEDGED_MS;
  int result;

  ev_timer_stop (loop, &out->timer);
  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (out->fd < 0)
    {
      out_close (out, false);
      return;
    }
  set_nonblocking (out->fd);
  setsockopt (out->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  result = connect (out->fd, (struct sockaddr *)&out->address,
                    sizeof out->address);
  if (result < 0 && errno != EINPROGRESS)
    {
      out_close (out, errno == ECONNREFUSED);
      return;
    }
  out->state = OUT_CONNECTING;
  ev_io_set (&out->io, out->fd, EV_WRITE);
  ev_io_start (loop, &out->io);
  ev_timer_set (&out->timer, CONNECT_LIMIT_S, 0.);
  ev_timer_start (loop, &out->timer);
}

static void
out_opened (out_t *out)
{
  message_t hello = { .type = MSG_HELLO, .u.hello = out->link->hello };

  ev_timer_stop (out->link->loop, &out->timer);
  out->state = OUT_OPEN;
  out->opened = clock_now ();
  out->pause = RECONNECT_S;
  counter_add (COUNTER_PEER_CONNECTS, 1);
  out_queue (out, &hello);
  out_flush (out);
  if (out->state == OUT_OPEN)
    out->link->ops->connected (out->link->ctx, out->node);
}

/* Closes the connection and tries again a little later. */
static void
out_close (out_t *out, bool refused)
{
  struct ev_loop *loop = out->link->loop;

  ev_io_stop (loop, &out->io);
  ev_timer_stop (loop, &out->timer);
  if (out->fd >= 0)
    close (out->fd);
  out->fd = -1;
  out->state = OUT_IDLE;
  out->sent = 0;
  g_byte_array_set_size (out->queue, 0);
  ev_timer_set (&out->timer, out->pause, 0.);
  ev_timer_start (loop, &out->timer);
  out->pause = MIN (2 * out->pause, RECONNECT_MOST_S);
  if (refused)
    out->link->ops->refused (out->link->ctx, out->node);
}

static void
out_queue (out_t *out, const message_t *message)
{
  guint start = out->queue->len;
  uint32_t len = 0;

  g_byte_array_append (out->queue, (const guint8 *)&len, PREFIX_BYTES);
  message_encode (message, out->queue);
  len = htonl (out->queue->len - start - PREFIX_BYTES);
  memcpy (out->queue->data + start, &len, PREFIX_BYTES);
}

static void
out_flush (out_t *out)
{
  struct ev_loop *loop = out->link->loop;

  while (out->sent < out->queue->len)
    {
      ssize_t wrote = send (out->fd, out->queue->data + out->sent,
                            out->queue->len - out->sent, MSG_NOSIGNAL);

      if (wrote < 0 && errno != EAGAIN && errno != EINTR)
        {
          out_close (out, false);
          return;
        }
      if (wrote <= 0)
        break;
      out->sent += (size_t)wrote;
      counter_add (COUNTER_PEER_BYTES_OUT, (uint64_t)wrote);
    }
  if (out->sent == out->queue->len)
    {
      g_byte_array_set_size (out->queue, 0);
      out->sent = 0;
    }
  /* Reading is watched as well, so that the other end's close is noticed. */
  ev_io_stop (loop, &out->io);
  ev_io_set (&out->io, out->fd,
             out->queue->len ? EV_READ | EV_WRITE : EV_READ);
  ev_io_start (loop, &out->io);
}

static void
on_out_io (EV_P_ ev_io *io, int events)
{
  out_t *out = io->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)loop;
  if (out->state == OUT_CONNECTING)
    {
      getsockopt (out->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error)
        out_close (out, error == ECONNREFUSED);
      else
        out_opened (out);
      return;
    }
  if (events & EV_READ)
    {
      char drop[64];
      ssize_t got = read (out->fd, drop, sizeof drop);

      if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
        {
          out_close (out, false);
          out_connect (out);
          return;
        }
    }
  if (events & EV_WRITE)
    out_flush (out);
}

static void
on_out_timer (EV_P_ ev_timer *timer, int events)
{
  out_t *out = timer->data;

  (void)loop;
  (void)events;
  if (out->state == OUT_CONNECTING)
    out_close (out, false);
  else if (out->state == OUT_IDLE)
    out_connect (out);
}

/** @file
 * A persistent HTTP connection that tells a request that was read and not
 * answered from one that did not reach the process.
 */
#include "net/address.h"
#include "net/clock.h"
#include "soak.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECONNECT_AFTER (100 * USEC_PER_MSEC)
#define REPLY_TIMEOUT (4 * USEC_PER_SEC)
/* A process may close a connection on which a request is on its way. */
#define LOSS_SLACK (200 * USEC_PER_MSEC)
#define REPLY_MAX 65536U

typedef enum
{
  CLOSED,
  CONNECTING,
  IDLE,
  WAITING
} state_t;

struct connection
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  reply_fn done;
  void *ctx;
  state_t state;
  int fd;
  ev_io io;
  usec_t retry_at;
  usec_t sent;
  gint64 sent_wall;
  GString *in;
};

static void on_io (EV_P_ ev_io *io, int events);

connection_t *
connection_new (struct ev_loop *loop, const char *address, reply_fn done,
                void *ctx)
{
  connection_t *c = g_new0 (connection_t, 1);

  c->loop = loop;
  c->done = done;
  c->ctx = ctx;
  c->fd = -1;
  c->in = g_string_new (NULL);
  if (address_parse (address, &c->address))
    fprintf (stderr, "%s: not an address\n", address);
  return c;
}

static void
disconnect (connection_t *c)
{
  if (c->state == CLOSED)
    return;
  ev_io_stop (c->loop, &c->io);
  close (c->fd);
  c->state = CLOSED;
  c->retry_at = clock_now () + RECONNECT_AFTER;
}

void
connection_free (connection_t *c)
{
  disconnect (c);
  g_string_free (c->in, TRUE);
  g_free (c);
}

static void
watch (connection_t *c, int events)
{
  ev_io_stop (c->loop, &c->io);
  ev_io_set (&c->io, c->fd, events);
  ev_io_start (c->loop, &c->io);
}

bool
connection_is_ready (connection_t *c, usec_t now)
{
  int on = 1;

  if (c->state != CLOSED || now < c->retry_at)
    return c->state == IDLE;
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (c->fd < 0)
    return false;
  setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_io_init (&c->io, on_io, c->fd, EV_WRITE);
  c->io.data = c;
  c->state = CONNECTING;
  if (connect (c->fd, (struct sockaddr *)&c->address, sizeof c->address)
      && errno != EINPROGRESS)
    disconnect (c);
  else
    watch (c, EV_WRITE);
  return false;
}

static void
finish (connection_t *c, reply_t *reply)
{
  reply->sent = c->sent_wall;
  if (reply->kind != REPLY_WHOLE)
    disconnect (c);
  else
    c->state = IDLE;
  c->done (c->ctx, c, reply);
  g_string_truncate (c->in, 0);
}

void
connection_send (connection_t *c, const char *method, const char *path,
                 const char *body, usec_t now)
{
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: jobs.example\r\nRequest-Deadline: 2500\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      method, path, strlen (body), body);
  ssize_t len = (ssize_t)strlen (text);
  reply_t reply = { .kind = REPLY_NONE };

  c->state = WAITING;
  c->sent = now;
  c->sent_wall = g_get_real_time ();
  /* Requests are smaller than the socket's buffer. */
  if (send (c->fd, text, (size_t)len, MSG_NOSIGNAL) != len)
    finish (c, &reply);
  g_free (text);
}

void
connection_tick (connection_t *c, usec_t now)
{
  reply_t reply = { .kind = REPLY_TIMED_OUT };

  if (c->state == WAITING && now - c->sent > REPLY_TIMEOUT)
    finish (c, &reply);
}

/* @return whether the reply is complete; a header's name is found in any
   case */
static bool
parse (const GString *in, reply_t *reply, bool *closes)
{
  char *end = strstr (in->str, "\r\n\r\n");
  char *head;
  const char *length;
  bool whole = false;

  if (!end || sscanf (in->str, "HTTP/1.1 %d", &reply->status) != 1)
    return false;
  head = g_ascii_strdown (in->str, end + 2 - in->str);
  length = strstr (head, "\r\ncontent-length:");
  reply->retry_after = strstr (head, "\r\nretry-after:") != NULL;
  *closes = strstr (head, "\r\nconnection: close") != NULL;
  reply->body = end + 4;
  if (length)
    whole = strlen (reply->body) >= g_ascii_strtoull (
                length + strlen ("\r\ncontent-length:"), NULL, 10);
  g_free (head);
  return whole;
}

static void
on_end (connection_t *c)
{
  reply_t reply = { .kind = REPLY_NONE };

  if (c->state != WAITING)
    {
      disconnect (c);
      return;
    }
  if (c->in->len || clock_now () - c->sent > LOSS_SLACK)
    reply.kind = REPLY_CUT;
  finish (c, &reply);
}

static void
on_io (EV_P_ ev_io *io, int events)
{
  connection_t *c = io->data;
  char buffer[4096];
  reply_t reply = { .kind = REPLY_WHOLE };
  bool closes = false;
  ssize_t got;

  (void)loop;
  (void)events;
  if (c->state == CONNECTING)
    {
      int error = 0;
      socklen_t len = sizeof error;

      getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error)
        disconnect (c);
      else
        {
          c->state = IDLE;
          watch (c, EV_READ);
        }
      return;
    }
  got = recv (c->fd, buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0 || c->state != WAITING || c->in->len > REPLY_MAX)
    {
      on_end (c);
      return;
    }
  g_string_append_len (c->in, buffer, got);
  if (!parse (c->in, &reply, &closes))
    return;
  if (closes)
    disconnect (c);
  finish (c, &reply);
  if (closes)
    c->state = CLOSED;
}

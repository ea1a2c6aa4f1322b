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
#include <inttypes.h>
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
/* Pause of accepting after a failure for want of descriptors or memory. */
#define ACCEPT_PAUSE (100 * USEC_PER_MSEC)
/* Connections and frames before HELLO, which anybody may send.  HELLO has less
   than 200 bytes. */
#define MAX_WITHOUT_HELLO 64U
#define MAX_HELLO_FRAME_BYTES 4096U
/* HELLO is due before the eleventh tick, which is 5 s or more of running time
   after the accept.  A process that was frozen counts one tick for the whole
   freeze. */
#define TICK_INTERVAL (500 * USEC_PER_MSEC)
#define HELLO_TICKS 10U
/* Incomplete frames of all connections together. */
#define MAX_INCOMPLETE_BYTES (32U << 20)
/* First allocation for an incomplete frame, unless the frame is smaller. */
#define BUFFER_MIN_BYTES 512U
/* Log lines about bad frames a second; the others are only counted. */
#define FRAME_LINES_MAX 10U
#define LOG_INTERVAL (USEC_PER_SEC)
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
  guint8 *buffer;       /* of an incomplete frame, or NULL */
  uint32_t buffer_len;  /* bytes received of it, prefix included */
  uint32_t buffer_size; /* bytes allocated */
  uint64_t number;      /* in the order of their accepts */
  node_id_t node;       /* 0 before HELLO */
  incarnation_t incarnation;
  GList without_hello; /* in the queue of the link while node is 0 */
  uint32_t ticks;      /* since the accept, while node is 0 */
  in_addr_t source;
  char peer_address[64];
} inbound_t;

/* What a limit made the link do. */
typedef enum
{
  LIMIT_REFUSED,
  LIMIT_HELLO_EVICTED,
  LIMIT_HELLO_LATE,
  LIMIT_HELLO_OVERSIZE,
  LIMIT_BYTES_EVICTED,
  LIMIT_ACCEPT_PAUSED,
  LIMIT_FRAMES_NOT_LOGGED,
  LIMIT_EVENTS
} limit_event_t;

static const struct
{
  const char *name; /* on the log line */
  counter_t counter;
} limit_events[LIMIT_EVENTS] = {
  [LIMIT_REFUSED] = { "refused", COUNTER_PEER_REFUSED },
  [LIMIT_HELLO_EVICTED] = { "hello_evicted", COUNTER_PEER_HELLO_EVICTED },
  [LIMIT_HELLO_LATE] = { "hello_late", COUNTER_PEER_HELLO_LATE },
  [LIMIT_HELLO_OVERSIZE] = { "hello_oversize", COUNTER_PEER_HELLO_OVERSIZE },
  [LIMIT_BYTES_EVICTED] = { "bytes_evicted", COUNTER_PEER_BYTES_EVICTED },
  [LIMIT_ACCEPT_PAUSED] = { "accept_paused", COUNTER_PEER_ACCEPT_PAUSES },
  [LIMIT_FRAMES_NOT_LOGGED]
  = { "bad_frames_not_logged", COUNTER_PEER_BAD_FRAMES_UNLOGGED },
};

struct peerlink
{
  struct ev_loop *loop;
  const peerlink_ops_t *ops;
  void *ctx;
  msg_hello_t hello;
  int listen_fd;
  ev_io listen_io;
  GHashTable *outbound;      /* node -> outbound_t */
  GHashTable *inbound;       /* set of inbound_t */
  GQueue without_hello;      /* of inbound_t, in the order of their accepts */
  uint64_t accepted;         /* connections so far */
  uint64_t incomplete_bytes; /* allocated for incomplete frames */
  clock_timer_t accept_timer;
  clock_timer_t tick;
  bool tick_started;
  uint32_t events[LIMIT_EVENTS]; /* since the last log line */
  char event_address[64];        /* peer of the latest of them, or empty */
  usec_t events_logged_at;
  uint32_t frame_lines; /* log lines since frame_lines_since */
  usec_t frame_lines_since;
  guint8 chunk[READ_CHUNK];
};

static int listen_on (const char *address, err_t *err);
static void set_nonblocking (int fd);
static void set_keepalive (int fd);
static void on_accept (EV_P_ ev_io *io, int events);
static bool accept_one (peerlink_t *link, int listen_fd);
static void pause_accepting (peerlink_t *link);
static void on_accept_timer (void *ctx);
static void evict_without_hello (peerlink_t *link);
static inbound_t *busiest_source (const peerlink_t *link);
static void on_tick (void *ctx);
static void start_tick (peerlink_t *link);
static void count_event (peerlink_t *link, limit_event_t event,
                         const char *address);
static bool log_events (peerlink_t *link);
static void bad_frame (const inbound_t *in, const char *why);
static void on_inbound_readable (EV_P_ ev_io *io, int events);
static bool read_inbound (inbound_t *in);
static bool receive (inbound_t *in, const guint8 *bytes, uint32_t len);
static bool receive_part (inbound_t *in, const guint8 **bytes, uint32_t *len);
static uint64_t frame_bytes (const guint8 *bytes);
static bool check_frame_size (const inbound_t *in, uint64_t len);
static bool reserve_buffer (inbound_t *in, uint32_t need);
static bool reserve_bytes (const inbound_t *in, uint32_t more);
static void release_buffer (inbound_t *in);
static bool process_message (inbound_t *in, blob_t frame);
static bool process_hello (inbound_t *in, const msg_hello_t *hello,
                           err_t *err);
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
  g_queue_init (&link->without_hello);
  clock_timer_init (&link->accept_timer, loop, on_accept_timer, link);
  clock_timer_init (&link->tick, loop, on_tick, link);
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
  clock_timer_stop (&link->accept_timer);
  clock_timer_stop (&link->tick);
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

/* @return false if no connection is waiting, or none can be accepted now */
static bool
accept_one (peerlink_t *link, int listen_fd)
{
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  int fd = accept4 (listen_fd, (struct sockaddr *)&from, &len, SOCK_CLOEXEC);
  inbound_t *in;

  if (fd < 0)
    {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
          || errno == ENOMEM)
        pause_accepting (link);
      return false;
    }
  evict_without_hello (link);
  if (g_hash_table_size (link->inbound) >= MAX_INBOUND)
    {
      close (fd);
      count_event (link, LIMIT_REFUSED, inet_ntoa (from.sin_addr));
      return true;
    }
  set_nonblocking (fd);
  set_keepalive (fd);
  in = g_new0 (inbound_t, 1);
  in->link = link;
  in->fd = fd;
  in->number = ++link->accepted;
  in->source = from.sin_addr.s_addr;
  in->without_hello.data = in;
  g_snprintf (in->peer_address, sizeof in->peer_address, "%s:%u",
              inet_ntoa (from.sin_addr), ntohs (from.sin_port));
  ev_io_init (&in->io, on_inbound_readable, fd, EV_READ);
  in->io.data = in;
  ev_io_start (link->loop, &in->io);
  g_hash_table_add (link->inbound, in);
  g_queue_push_tail_link (&link->without_hello, &in->without_hello);
  start_tick (link);
  return true;
}

/* The listener stays readable while descriptors are missing, and would have
   the loop spin. */
static void
pause_accepting (peerlink_t *link)
{
  ev_io_stop (link->loop, &link->listen_io);
  clock_timer_start (&link->accept_timer, ACCEPT_PAUSE);
  count_event (link, LIMIT_ACCEPT_PAUSED, "");
}

static void
on_accept_timer (void *ctx)
{
  peerlink_t *link = ctx;

  ev_io_start (link->loop, &link->listen_io);
}

/* Makes room for one more connection without HELLO.  What a connection has
   sent is read before it is closed, since its HELLO may have arrived. */
static void
evict_without_hello (peerlink_t *link)
{
  while (link->without_hello.length >= MAX_WITHOUT_HELLO)
    {
      inbound_t *in = busiest_source (link);

      if (read_inbound (in) && !in->node)
        {
          count_event (link, LIMIT_HELLO_EVICTED, in->peer_address);
          g_hash_table_remove (link->inbound, in);
        }
    }
}

/* @return the oldest connection without HELLO from the address that has the
   most of them: a peer, which opens one, is not evicted in favor of many from
   elsewhere */
static inbound_t *
busiest_source (const peerlink_t *link)
{
  inbound_t *found = NULL;
  uint32_t most = 0;

  for (const GList *l = link->without_hello.head; l; l = l->next)
    {
      inbound_t *in = l->data;
      uint32_t count = 0;

      for (const GList *other = l; other; other = other->next)
        count += ((const inbound_t *)other->data)->source == in->source;
      if (count > most)
        {
          most = count;
          found = in;
        }
    }
  return found;
}

static void
on_tick (void *ctx)
{
  peerlink_t *link = ctx;
  GList *next;

  link->tick_started = false;
  for (GList *l = link->without_hello.head; l; l = next)
    {
      inbound_t *in = l->data;

      next = l->next;
      if (++in->ticks <= HELLO_TICKS)
        continue;
      /* HELLO may have arrived in a freeze.  Reading closes no other
         connection without HELLO, such as the next: an older one of the same
         node has one, and so has the one with the largest buffer. */
      if (read_inbound (in) && !in->node)
        {
          count_event (link, LIMIT_HELLO_LATE, in->peer_address);
          g_hash_table_remove (link->inbound, in);
        }
    }
  if (!log_events (link) || link->without_hello.length)
    start_tick (link);
}

/* The timer runs while connections have no HELLO or events are to be
   logged. */
static void
start_tick (peerlink_t *link)
{
  if (link->tick_started)
    return;
  link->tick_started = true;
  clock_timer_start (&link->tick, TICK_INTERVAL);
}

static void
count_event (peerlink_t *link, limit_event_t event, const char *address)
{
  counter_add (limit_events[event].counter, 1);
  link->events[event]++;
  g_strlcpy (link->event_address, address, sizeof link->event_address);
  if (!log_events (link))
    start_tick (link);
}

/* Writes at most one line in LOG_INTERVAL.
   @return whether all events are logged */
static bool
log_events (peerlink_t *link)
{
  usec_t now = clock_now ();
  GString *text = g_string_new ("");
  bool logged = true;

  for (int i = 0; i < LIMIT_EVENTS; i++)
    if (link->events[i])
      g_string_append_printf (text, "%s%s=%u", text->len ? " " : "",
                              limit_events[i].name, link->events[i]);
  if (text->len && link->events_logged_at
      && now - link->events_logged_at < LOG_INTERVAL)
    logged = false;
  else if (text->len)
    {
      log_line (LOG_LEVEL_WARNING, "peer.limit",
                *link->event_address ? link->event_address : NULL, "%s",
                text->str);
      link->events_logged_at = now;
      memset (link->events, 0, sizeof link->events);
    }
  g_string_free (text, TRUE);
  return logged;
}

static void
bad_frame (const inbound_t *in, const char *why)
{
  peerlink_t *link = in->link;
  usec_t now = clock_now ();

  counter_add (COUNTER_PEER_BAD_FRAMES, 1);
  if (now - link->frame_lines_since >= LOG_INTERVAL)
    {
      link->frame_lines_since = now;
      link->frame_lines = 0;
    }
  if (link->frame_lines >= FRAME_LINES_MAX)
    {
      count_event (link, LIMIT_FRAMES_NOT_LOGGED, in->peer_address);
      return;
    }
  link->frame_lines++;
  log_line (LOG_LEVEL_WARNING, "peer-frame", in->peer_address, "%s", why);
}

static void
on_inbound_readable (EV_P_ ev_io *io, int events)
{
  (void)loop;
  (void)events;
  read_inbound (io->data);
}

/* Reads once.  @return whether the connection is still open, else IN is
   freed */
static bool
read_inbound (inbound_t *in)
{
  guint8 *chunk = in->link->chunk;
  ssize_t received = read (in->fd, chunk, READ_CHUNK);

  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return true;
  if (received > 0 && receive (in, chunk, (uint32_t)received))
    return true;
  g_hash_table_remove (in->link->inbound, in);
  return false;
}

/* @return false if the connection is to be closed */
static bool
receive (inbound_t *in, const guint8 *bytes, uint32_t len)
{
  while (len)
    {
      uint64_t frame = len >= PREFIX_BYTES ? frame_bytes (bytes) : UINT64_MAX;

      if (in->buffer_len || frame > len)
        {
          if (!receive_part (in, &bytes, &len))
            return false;
          continue;
        }
      /* A complete frame is not copied. */
      if (!check_frame_size (in, frame - PREFIX_BYTES)
          || !process_message (in,
                               (blob_t){ (const char *)bytes + PREFIX_BYTES,
                                         (uint32_t)frame - PREFIX_BYTES }))
        return false;
      bytes += frame;
      len -= (uint32_t)frame;
    }
  return true;
}

/* Buffers bytes up to the end of the prefix or of the frame.
   @return false if the connection is to be closed */
static bool
receive_part (inbound_t *in, const guint8 **bytes, uint32_t *len)
{
  uint64_t end = in->buffer_len < PREFIX_BYTES ? PREFIX_BYTES
                                               : frame_bytes (in->buffer);
  uint32_t part = (uint32_t)MIN (end - in->buffer_len, *len);

  if (!reserve_buffer (in, in->buffer_len + part))
    return false;
  memcpy (in->buffer + in->buffer_len, *bytes, part);
  in->buffer_len += part;
  *bytes += part;
  *len -= part;
  if (in->buffer_len < PREFIX_BYTES)
    return true;
  end = frame_bytes (in->buffer);
  if (!check_frame_size (in, end - PREFIX_BYTES))
    return false;
  if (in->buffer_len < end)
    return true;
  if (!process_message (in, (blob_t){ (const char *)in->buffer + PREFIX_BYTES,
                                      (uint32_t)end - PREFIX_BYTES }))
    return false;
  release_buffer (in);
  return true;
}

/* @return the length of a frame by its prefix, prefix included */
static uint64_t
frame_bytes (const guint8 *bytes)
{
  uint32_t len;

  memcpy (&len, bytes, PREFIX_BYTES);
  return (uint64_t)PREFIX_BYTES + ntohl (len);
}

static bool
check_frame_size (const inbound_t *in, uint64_t len)
{
  char why[64];

  if (len <= (in->node ? PEERLINK_MAX_FRAME_BYTES : MAX_HELLO_FRAME_BYTES))
    return true;
  g_snprintf (why, sizeof why, "frame of %" PRIu64 " bytes is too large%s",
              len, in->node ? "" : " before HELLO");
  bad_frame (in, why);
  if (!in->node)
    count_event (in->link, LIMIT_HELLO_OVERSIZE, in->peer_address);
  return false;
}

/* Doubles the buffer until it holds NEED bytes, up to the length of the frame.
   @return false if the connection is to be closed */
static bool
reserve_buffer (inbound_t *in, uint32_t need)
{
  uint32_t size = MAX (in->buffer_size, BUFFER_MIN_BYTES);

  if (need <= in->buffer_size)
    return true;
  while (size < need)
    size *= 2;
  if (in->buffer_len >= PREFIX_BYTES)
    size = (uint32_t)MIN (size, frame_bytes (in->buffer));
  if (!reserve_bytes (in, size - in->buffer_size))
    return false;
  in->link->incomplete_bytes += size - in->buffer_size;
  in->buffer = g_realloc (in->buffer, size);
  in->buffer_size = size;
  return true;
}

/* Closes the connections with the largest incomplete frames until MORE bytes
   can be allocated.
   @return false if IN has the largest */
static bool
reserve_bytes (const inbound_t *in, uint32_t more)
{
  peerlink_t *link = in->link;

  while (link->incomplete_bytes + more > MAX_INCOMPLETE_BYTES)
    {
      const inbound_t *largest = in;
      GHashTableIter iter;
      gpointer key;

      g_hash_table_iter_init (&iter, link->inbound);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        if (((const inbound_t *)key)->buffer_size > largest->buffer_size)
          largest = key;
      count_event (link, LIMIT_BYTES_EVICTED, largest->peer_address);
      if (largest == in)
        return false;
      g_hash_table_remove (link->inbound, largest);
    }
  return true;
}

static void
release_buffer (inbound_t *in)
{
  in->link->incomplete_bytes -= in->buffer_size;
  g_clear_pointer (&in->buffer, g_free);
  in->buffer_len = in->buffer_size = 0;
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
      valid = process_hello (in, &message.u.hello, &err);
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
    bad_frame (in, err.text);
  message_clear (&message);
  return valid;
}

/* Notes which node the connection belongs to.
   @return false with ERR filled if it is to be closed */
static bool
process_hello (inbound_t *in, const msg_hello_t *hello, err_t *err)
{
  if (hello->protocol != MESSAGE_PROTOCOL_VERSION)
    {
      err_set (err, -EPROTO, "decode", in->peer_address,
               "protocol version %u is not supported",
               (unsigned)hello->protocol);
      return false;
    }
  /* Node 0 stands for no HELLO. */
  if (!(node_id_t)hello->node)
    {
      err_set (err, -EPROTO, "decode", in->peer_address, "HELLO of node 0");
      return false;
    }
  if (!in->node)
    g_queue_unlink (&in->link->without_hello, &in->without_hello);
  in->node = (node_id_t)hello->node;
  in->incarnation = hello->incarnation;
  return true;
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
  if (!in->node)
    g_queue_unlink (&in->link->without_hello, &in->without_hello);
  release_buffer (in);
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

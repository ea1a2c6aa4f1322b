/** @file
 * Clients that do not keep the limits: incomplete, oversize and slow requests,
 * and answers that are not read.
 *
 * A client connects again when its connection is closed.
 */
#include "net/address.h"
#include "soak.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_S 0.05
#define RECONNECT_TICKS 20
/* Just below the largest body that is accepted, 262144 bytes. */
#define BODY_BYTES 262000U
#define OVERSIZE_BODIES 64U
#define PIECE_BYTES 1000U
#define REQUESTS_AHEAD 8000U
#define SLOW_BODY_BYTES 100000U
#define FRAME_BYTES (1U << 20)
/* Bytes a tick of clients that send in pieces: a body takes two seconds. */
#define PIECES_A_TICK 8

/* What a client sends on each connection. */
typedef GString *(*text_fn) (const crowd_config_t *config);

typedef struct
{
  const char *name;
  text_fn text;
  uint32_t bytes_a_tick; /* 0: as fast as possible */
  bool reads;            /* reads the answers */
  bool closes;           /* every second client closes after half */
} behaviour_t;

typedef struct
{
  crowd_t *crowd;
  uint32_t number;
  int fd;
  ev_io io;
  size_t sent;
  size_t allowed;   /* bytes that may be sent so far */
  int reconnect_in; /* ticks */
} client_t;

struct crowd
{
  struct ev_loop *loop;
  const behaviour_t *behaviour;
  struct sockaddr_in address;
  GString *text;
  GPtrArray *clients;
  ev_timer tick;
  uint32_t connects;
  uint64_t bytes_sent;
};

static GString *incomplete_text (const crowd_config_t *config);
static GString *chunked_text (const crowd_config_t *config);
static GString *oversize_text (const crowd_config_t *config);
static GString *fields_text (const crowd_config_t *config);
static GString *ahead_text (const crowd_config_t *config);
static GString *head_text (const crowd_config_t *config);
static GString *slow_text (const crowd_config_t *config);
static GString *frame_text (const crowd_config_t *config);
static GString *request_head (const crowd_config_t *config,
                              const char *framing);
static void client_connect (client_t *client);
static void client_close (client_t *client);
static void client_send (client_t *client);
static void client_tick (client_t *client);
static void client_watch (client_t *client);
static void on_client_io (EV_P_ ev_io *io, int events);
static void on_tick (EV_P_ ev_timer *timer, int events);

static const behaviour_t behaviours[] = {
  { .name = "body", .text = incomplete_text, .reads = true },
  { .name = "pieces",
    .text = incomplete_text,
    .bytes_a_tick = PIECES_A_TICK * PIECE_BYTES,
    .reads = true },
  { .name = "chunks", .text = chunked_text, .reads = true },
  { .name = "oversize", .text = oversize_text, .reads = true },
  { .name = "fields", .text = fields_text, .reads = true },
  { .name = "ahead", .text = ahead_text },
  { .name = "head", .text = head_text, .bytes_a_tick = 1, .reads = true },
  { .name = "slow", .text = slow_text, .bytes_a_tick = 1, .reads = true },
  { .name = "half",
    .text = slow_text,
    .bytes_a_tick = PIECE_BYTES,
    .reads = true,
    .closes = true },
  { .name = "frame", .text = frame_text },
};

crowd_t *
crowd_new (struct ev_loop *loop, const crowd_config_t *config)
{
  crowd_t *crowd = g_new0 (crowd_t, 1);

  crowd->loop = loop;
  for (size_t i = 0; i < G_N_ELEMENTS (behaviours); i++)
    if (strcmp (behaviours[i].name, config->kind) == 0)
      crowd->behaviour = &behaviours[i];
  if (!crowd->behaviour || address_parse (config->address, &crowd->address))
    {
      g_free (crowd);
      return NULL;
    }
  crowd->text = crowd->behaviour->text (config);
  crowd->clients = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < config->count; i++)
    {
      client_t *client = g_new0 (client_t, 1);

      client->crowd = crowd;
      client->number = i;
      client->fd = -1;
      g_ptr_array_add (crowd->clients, client);
      client_connect (client);
    }
  ev_timer_init (&crowd->tick, on_tick, TICK_S, TICK_S);
  crowd->tick.data = crowd;
  ev_timer_start (loop, &crowd->tick);
  return crowd;
}

void
crowd_free (crowd_t *crowd)
{
  ev_timer_stop (crowd->loop, &crowd->tick);
  for (guint i = 0; i < crowd->clients->len; i++)
    client_close (crowd->clients->pdata[i]);
  printf ("crowd: %u clients, %u connects, %" G_GUINT64_FORMAT " bytes\n",
          crowd->clients->len, crowd->connects, crowd->bytes_sent);
  g_ptr_array_free (crowd->clients, TRUE);
  g_string_free (crowd->text, TRUE);
  g_free (crowd);
}

static GString *
request_head (const crowd_config_t *config, const char *framing)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "POST %s HTTP/1.1\r\nHost: jobs.example\r\n"
                   "Content-Type: application/json\r\n%s\r\n",
                   config->path, framing);
  return text;
}

/* A body without its last byte. */
static GString *
incomplete_text (const crowd_config_t *config)
{
  char framing[64];
  GString *text;

  g_snprintf (framing, sizeof framing, "Content-Length: %u\r\n", BODY_BYTES);
  text = request_head (config, framing);
  for (uint32_t i = 0; i + 1 < BODY_BYTES; i++)
    g_string_append_c (text, ' ');
  return text;
}

static GString *
chunked_text (const crowd_config_t *config)
{
  GString *text = request_head (config, "Transfer-Encoding: chunked\r\n");

  for (uint32_t sent = 0; sent + PIECE_BYTES < BODY_BYTES; sent += PIECE_BYTES)
    g_string_append_printf (text, "%x\r\n%*s\r\n", PIECE_BYTES,
                            (int)PIECE_BYTES, "");
  return text;
}

static GString *
oversize_text (const crowd_config_t *config)
{
  char framing[64];
  GString *text;

  g_snprintf (framing, sizeof framing, "Content-Length: %u\r\n",
              OVERSIZE_BODIES * BODY_BYTES);
  text = request_head (config, framing);
  for (uint32_t i = 0; i + 1 < OVERSIZE_BODIES * BODY_BYTES; i++)
    g_string_append_c (text, ' ');
  return text;
}

/* A whole body that is legal in size, with one empty object after the
   other. */
static GString *
fields_text (const crowd_config_t *config)
{
  GString *body = g_string_new ("{\"spec\":\"1\",\"steps\":[{\"count\":1,"
                                "\"cpu\":1000,\"estimated_ms\":400}],\"x\":[");
  char framing[64];
  GString *text;

  while (body->len + sizeof "{},{}]}" < BODY_BYTES)
    g_string_append (body, "{},");
  g_string_append (body, "{}]}");
  g_snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", body->len);
  text = request_head (config, framing);
  g_string_append_len (text, body->str, (gssize)body->len);
  g_string_free (body, TRUE);
  return text;
}

static GString *
ahead_text (const crowd_config_t *config)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < REQUESTS_AHEAD; i++)
    g_string_append_printf (
        text, "GET %s HTTP/1.1\r\nHost: jobs.example\r\n\r\n", config->path);
  return text;
}

static GString *
head_text (const crowd_config_t *config)
{
  GString *text = request_head (config, "");

  /* Without the empty line that ends the head. */
  g_string_truncate (text, text->len - 2);
  while (text->len < SLOW_BODY_BYTES)
    g_string_append (text, "A: b\r\n");
  return text;
}

static GString *
slow_text (const crowd_config_t *config)
{
  char framing[64];
  GString *text;

  g_snprintf (framing, sizeof framing, "Content-Length: %u\r\n",
              SLOW_BODY_BYTES);
  text = request_head (config, framing);
  for (uint32_t i = 0; i + 1 < SLOW_BODY_BYTES; i++)
    g_string_append_c (text, ' ');
  return text;
}

/* A frame between processes without its last byte. */
static GString *
frame_text (const crowd_config_t *config)
{
  GString *text = g_string_new_len ("\0\x10\0\0", 4);

  (void)config;
  for (uint32_t i = 0; i + 1 < FRAME_BYTES; i++)
    g_string_append_c (text, ' ');
  return text;
}

static void
client_connect (client_t *client)
{
  crowd_t *crowd = client->crowd;

  client->sent = 0;
  client->allowed = crowd->behaviour->bytes_a_tick ? 0 : crowd->text->len;
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client->fd < 0
      || (connect (client->fd, (struct sockaddr *)&crowd->address,
                   sizeof crowd->address)
              < 0
          && errno != EINPROGRESS))
    {
      client_close (client);
      return;
    }
  crowd->connects++;
  /* The head goes out at once, so that slow clients occupy a request. */
  if (crowd->behaviour->bytes_a_tick)
    client->allowed = MIN (crowd->text->len, 100);
  ev_io_init (&client->io, on_client_io, client->fd, EV_WRITE);
  client->io.data = client;
  ev_io_start (crowd->loop, &client->io);
}

static void
client_close (client_t *client)
{
  if (client->fd >= 0)
    {
      ev_io_stop (client->crowd->loop, &client->io);
      close (client->fd);
    }
  client->fd = -1;
  client->reconnect_in = RECONNECT_TICKS;
}

static void
client_send (client_t *client)
{
  crowd_t *crowd = client->crowd;
  size_t end = MIN (client->allowed, crowd->text->len);

  while (client->sent < end)
    {
      ssize_t sent = send (client->fd, crowd->text->str + client->sent,
                           end - client->sent, MSG_NOSIGNAL);

      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent < 0)
        {
          client_close (client);
          return;
        }
      client->sent += (size_t)sent;
      crowd->bytes_sent += (uint64_t)sent;
    }
  client_watch (client);
}

static void
client_watch (client_t *client)
{
  crowd_t *crowd = client->crowd;
  int events = crowd->behaviour->reads ? EV_READ : 0;

  if (client->sent < MIN (client->allowed, crowd->text->len))
    events |= EV_WRITE;
  ev_io_stop (crowd->loop, &client->io);
  ev_io_set (&client->io, client->fd, events);
  if (events)
    ev_io_start (crowd->loop, &client->io);
}

static void
on_client_io (EV_P_ ev_io *io, int events)
{
  client_t *client = io->data;
  char discarded[4096];

  (void)loop;
  if (events & EV_READ)
    {
      ssize_t received = read (client->fd, discarded, sizeof discarded);

      if (received == 0 || (received < 0 && errno != EAGAIN))
        {
          client_close (client);
          return;
        }
    }
  if (events & EV_WRITE)
    client_send (client);
}

static void
client_tick (client_t *client)
{
  const behaviour_t *behaviour = client->crowd->behaviour;

  if (client->fd < 0)
    {
      if (--client->reconnect_in <= 0)
        client_connect (client);
      return;
    }
  if (!behaviour->bytes_a_tick)
    return;
  client->allowed += behaviour->bytes_a_tick;
  if (behaviour->closes && client->allowed > client->crowd->text->len / 2)
    {
      client->allowed = client->sent;
      if (client->number % 2)
        client_close (client);
      return;
    }
  client_send (client);
}

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  crowd_t *crowd = timer->data;

  (void)loop;
  (void)events;
  for (guint i = 0; i < crowd->clients->len; i++)
    client_tick (crowd->clients->pdata[i]);
}

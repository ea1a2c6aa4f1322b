/** @file
 * A proxy between the scheduling processes and one minion:
 *   review-proxy LISTEN_IP PORT TO_IP PORT DELAY_MS
 *
 * SIGUSR1 has it deliver the answers to holds DELAY_MS late, each channel by
 * itself, until SIGUSR2.  What a minion has sent before it crashes is
 * delivered, as by a network; then the channel is closed.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK 65536

typedef struct
{
  int client;
  int server;
  ev_io client_io;
  ev_io server_io;
  ev_timer timer;
  bool holds;       /* the last request is a hold */
  bool server_gone; /* closed by the minion */
  char *late;       /* answer that is under way */
  size_t late_len;
} channel_t;

static struct sockaddr_in target;
static double delay;
static volatile sig_atomic_t slow;

static void
set_nonblocking (int fd)
{
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

static void
send_all (int fd, const char *data, size_t len)
{
  while (len)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent < 0 && errno == EAGAIN)
        {
          usleep (200);
          continue;
        }
      if (sent <= 0)
        return;
      data += sent;
      len -= (size_t)sent;
    }
}

static void
close_channel (channel_t *c)
{
  struct ev_loop *loop = ev_default_loop (0);

  ev_io_stop (loop, &c->client_io);
  ev_io_stop (loop, &c->server_io);
  ev_timer_stop (loop, &c->timer);
  close (c->client);
  close (c->server);
  free (c->late);
  free (c);
}

static void
on_late (EV_P_ ev_timer *timer, int events)
{
  channel_t *c = timer->data;

  (void)loop;
  (void)events;
  send_all (c->client, c->late, c->late_len);
  c->late_len = 0;
  if (c->server_gone)
    close_channel (c);
}

static void
on_server (EV_P_ ev_io *io, int events)
{
  channel_t *c = io->data;
  static char chunk[CHUNK];
  ssize_t got = recv (c->server, chunk, sizeof chunk, 0);

  (void)events;
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      c->server_gone = true;
      ev_io_stop (EV_A_ & c->server_io);
      if (!c->late_len)
        close_channel (c);
      return;
    }
  if (!c->late_len && !(slow && c->holds))
    {
      send_all (c->client, chunk, (size_t)got);
      return;
    }
  c->late = realloc (c->late, c->late_len + (size_t)got);
  memcpy (c->late + c->late_len, chunk, (size_t)got);
  c->late_len += (size_t)got;
  if (!ev_is_active (&c->timer))
    {
      ev_timer_set (&c->timer, delay, 0.);
      ev_timer_start (EV_A_ & c->timer);
    }
}

static void
on_client (EV_P_ ev_io *io, int events)
{
  channel_t *c = io->data;
  static char chunk[CHUNK];
  ssize_t got = recv (c->client, chunk, sizeof chunk, 0);

  (void)loop;
  (void)events;
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      close_channel (c);
      return;
    }
  if (got > 5 && memcmp (chunk, "POST ", 5) == 0)
    c->holds = strncmp (chunk + 5, "/-/hold", 7) == 0;
  send_all (c->server, chunk, (size_t)got);
}

static void
on_accept (EV_P_ ev_io *io, int events)
{
  int client = accept (io->fd, NULL, NULL);
  channel_t *c;

  (void)events;
  if (client < 0)
    return;
  c = calloc (1, sizeof *c);
  c->client = client;
  c->server = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (c->server, (struct sockaddr *)&target, sizeof target) < 0)
    {
      struct linger none = { 1, 0 };

      setsockopt (client, SOL_SOCKET, SO_LINGER, &none, sizeof none);
      close (client);
      close (c->server);
      free (c);
      return;
    }
  set_nonblocking (c->client);
  set_nonblocking (c->server);
  ev_io_init (&c->client_io, on_client, c->client, EV_READ);
  ev_io_init (&c->server_io, on_server, c->server, EV_READ);
  ev_init (&c->timer, on_late);
  c->client_io.data = c->server_io.data = c->timer.data = c;
  ev_io_start (EV_A_ & c->client_io);
  ev_io_start (EV_A_ & c->server_io);
}

static void
on_signal (int number)
{
  slow = number == SIGUSR1;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  struct ev_loop *loop = ev_default_loop (0);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;
  ev_io io;

  if (argc != 6)
    return 64;
  own.sin_addr.s_addr = inet_addr (argv[1]);
  own.sin_port = htons ((uint16_t)atoi (argv[2]));
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = inet_addr (argv[3]);
  target.sin_port = htons ((uint16_t)atoi (argv[4]));
  delay = atoi (argv[5]) / 1e3;
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *)&own, sizeof own) < 0
      || listen (listener, 64) < 0)
    {
      perror ("review-proxy");
      return 1;
    }
  signal (SIGUSR1, on_signal);
  signal (SIGUSR2, on_signal);
  set_nonblocking (listener);
  ev_io_init (&io, on_accept, listener, EV_READ);
  ev_io_start (loop, &io);
  ev_run (loop, 0);
  return 0;
}

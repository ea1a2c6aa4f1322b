/** @file
 * A listening TCP socket on a libev loop.
 */
#include "net/acceptor.h"
#include "net/address.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Without a pause the loop would spin for as long as no descriptor is left. */
#define PAUSE_S 0.1
/* Bounds acceptor_finish while connections keep arriving: more than a backlog
   of SOMAXCONN. */
#define FINISH_ROUNDS_MAX 128

struct acceptor
{
  struct ev_loop *loop;
  const acceptor_ops_t *ops;
  void *ctx;
  ev_io io;
  ev_timer resume;
};

static int open_socket (const acceptor_config_t *config);
static int configure (int fd, const acceptor_config_t *config,
                      const struct sockaddr_in *address);
static int set_buffers (int fd, uint32_t bytes);
static void on_readable (EV_P_ ev_io *io, int events);
static void on_resume (EV_P_ ev_timer *timer, int events);
static bool is_transient (int error);

acceptor_t *
acceptor_new (struct ev_loop *loop, const acceptor_config_t *config,
              const acceptor_ops_t *ops, void *ctx, err_t *err)
{
  int fd = open_socket (config);
  acceptor_t *acceptor;

  if (fd < 0)
    {
      err_set (err, fd, "listen", config->address, "cannot listen there: %s",
               strerror (-fd));
      return NULL;
    }
  acceptor = g_new0 (acceptor_t, 1);
  acceptor->loop = loop;
  acceptor->ops = ops;
  acceptor->ctx = ctx;
  ev_io_init (&acceptor->io, on_readable, fd, EV_READ);
  ev_timer_init (&acceptor->resume, on_resume, PAUSE_S, 0.);
  acceptor->io.data = acceptor->resume.data = acceptor;
  ev_io_start (loop, &acceptor->io);
  return acceptor;
}

/* Returns a negative error number for none. */
static int
open_socket (const acceptor_config_t *config)
{
  struct sockaddr_in address;
  int code;
  int fd;

  if (address_parse (config->address, &address))
    return -EINVAL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -errno;
  code = configure (fd, config, &address);
  if (code)
    {
      close (fd);
      return code;
    }
  return fd;
}

static int
configure (int fd, const acceptor_config_t *config,
           const struct sockaddr_in *address)
{
  int yes = 1;
  int code = 0;

  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes))
    return -errno;
  if (config->receive_buffer)
    code = set_buffers (fd, config->receive_buffer);
  if (code)
    return code;
  if (bind (fd, (const struct sockaddr *)address, sizeof *address)
      || listen (fd, config->backlog ? (int)config->backlog : SOMAXCONN))
    return -errno;
  return 0;
}

/* Accepted connections inherit the sizes, those in the backlog too.  The send
   buffer would otherwise grow to megabytes for a client that does not read the
   responses of pipelined requests. */
static int
set_buffers (int fd, uint32_t bytes)
{
  int size = (int)MIN (bytes, (uint32_t)G_MAXINT);

  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size)
      || setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size))
    return -errno;
  return 0;
}

void
acceptor_finish (acceptor_t *acceptor)
{
  for (int i = 0; acceptor && i < FINISH_ROUNDS_MAX; i++)
    if (!acceptor_round (acceptor))
      break;
  acceptor_free (acceptor);
}

void
acceptor_free (acceptor_t *acceptor)
{
  if (!acceptor)
    return;
  ev_io_stop (acceptor->loop, &acceptor->io);
  ev_timer_stop (acceptor->loop, &acceptor->resume);
  close (acceptor->io.fd);
  g_free (acceptor);
}

bool
acceptor_round (acceptor_t *acceptor)
{
  struct sockaddr_in from;
  uint32_t count = 0;

  while (count < ACCEPTOR_ROUND_MAX)
    {
      socklen_t len = sizeof from;
      int fd = accept4 (acceptor->io.fd, (struct sockaddr *)&from, &len,
                        SOCK_CLOEXEC | SOCK_NONBLOCK);

      if (fd < 0 && is_transient (errno))
        continue;
      if (fd < 0)
        break;
      count++;
      acceptor->ops->accepted (acceptor->ctx, fd, &from);
    }
  if (count < ACCEPTOR_ROUND_MAX && errno != EAGAIN)
    {
      acceptor->ops->paused (acceptor->ctx, errno);
      ev_io_stop (acceptor->loop, &acceptor->io);
      ev_timer_stop (acceptor->loop, &acceptor->resume);
      ev_timer_set (&acceptor->resume, PAUSE_S, 0.);
      ev_timer_start (acceptor->loop, &acceptor->resume);
    }
  if (count)
    acceptor->ops->round_ended (acceptor->ctx);
  return count > 0;
}

/* Errors of the one connection, not of the socket or the process. */
static bool
is_transient (int error)
{
  return error == ECONNABORTED || error == EINTR || error == EPROTO;
}

static void
on_readable (EV_P_ ev_io *io, int events)
{
  (void)loop;
  (void)events;
  acceptor_round (io->data);
}

static void
on_resume (EV_P_ ev_timer *timer, int events)
{
  acceptor_t *acceptor = timer->data;

  (void)events;
  ev_io_start (EV_A_ & acceptor->io);
}

/** @file
 * Closes connections whose client is still sending.
 */
#include "net/linger.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_S 2.
#define DISCARD_MAX_BYTES (1U << 20)

typedef struct
{
  linger_set_t *set;
  bool used;
  ev_io io;
  ev_timer timer;
  uint32_t discarded;
} slot_t;

struct linger_set
{
  struct ev_loop *loop;
  slot_t slots[LINGER_MAX];
};

static slot_t *find_free (linger_set_t *linger);
static void on_readable (EV_P_ ev_io *io, int events);
static void on_timeout (EV_P_ ev_timer *timer, int events);
static void release (slot_t *slot);

linger_set_t *
linger_new (struct ev_loop *loop)
{
  linger_set_t *linger = g_new0 (linger_set_t, 1);

  linger->loop = loop;
  return linger;
}

void
linger_free (linger_set_t *linger)
{
  for (size_t i = 0; linger && i < LINGER_MAX; i++)
    if (linger->slots[i].used)
      release (&linger->slots[i]);
  g_free (linger);
}

void
linger_add (linger_set_t *linger, int fd)
{
  slot_t *slot = find_free (linger);
  int copy = slot ? fcntl (fd, F_DUPFD_CLOEXEC, 0) : -1;

  if (copy < 0)
    return;
  /* The copy keeps the kernel from doing so when the caller closes FD. */
  shutdown (copy, SHUT_WR);
  slot->set = linger;
  slot->used = true;
  slot->discarded = 0;
  ev_io_init (&slot->io, on_readable, copy, EV_READ);
  ev_timer_init (&slot->timer, on_timeout, TIMEOUT_S, 0.);
  slot->io.data = slot->timer.data = slot;
  ev_io_start (linger->loop, &slot->io);
  ev_timer_start (linger->loop, &slot->timer);
}

static slot_t *
find_free (linger_set_t *linger)
{
  for (size_t i = 0; i < LINGER_MAX; i++)
    if (!linger->slots[i].used)
      return &linger->slots[i];
  return NULL;
}

static void
release (slot_t *slot)
{
  ev_io_stop (slot->set->loop, &slot->io);
  ev_timer_stop (slot->set->loop, &slot->timer);
  close (slot->io.fd);
  slot->used = false;
}

static void
on_readable (EV_P_ ev_io *io, int events)
{
  slot_t *slot = io->data;
  char discarded[16384];
  ssize_t len = recv (io->fd, discarded, sizeof discarded, 0);

  (void)loop;
  (void)events;
  if (len < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (len > 0)
    slot->discarded += (uint32_t)len;
  if (len <= 0 || slot->discarded >= DISCARD_MAX_BYTES)
    release (slot);
}

static void
on_timeout (EV_P_ ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  release (timer->data);
}

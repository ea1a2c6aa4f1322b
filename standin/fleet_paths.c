/** @file
 * The paths to the stand-in's workers.  Connections pass through it, so that
 * those of some owners can be reset or refused while the worker runs on and
 * serves others.  Owners are told apart by their fencing tokens.
 */
#include "fleet.h"
#include "net/address.h"
#include "net/clock.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 128
#define CHUNK 16384
/* Of the cuts, half are as short as one call, a quarter may last longer than a
   lease. */
#define SHORT_LEAST_MS 20
#define SHORT_MOST_MS 500
#define MEDIUM_MOST_MS 3000
#define LONG_MOST_MS 9000
/* Of the workers, when a new owner does not reach some. */
#define TAKEOVER_SHARE 0.5

typedef enum
{
  CUT_REQUESTS, /* reset as a request arrives, which is not executed */
  CUT_ANSWERS,  /* reset as the answer is due */
  CUT_REFUSES,  /* as CUT_REQUESTS; no connection is accepted */
  CUT_MODES
} cut_mode_t;

typedef struct
{
  cut_mode_t mode;
  usec_t until;
  uint64_t least; /* tokens that it concerns */
  uint64_t most;
} cut_t;

typedef enum
{
  CALLER,
  WORKER
} end_of_link_t;

typedef struct
{
  struct link *link;
  int fd;
  ev_io io;
  GByteArray *out;
} side_t;

typedef struct link
{
  struct path *path;
  uint64_t token; /* of the last request */
  side_t sides[2];
} link_t;

typedef struct path
{
  paths_t *paths;
  struct sockaddr_in address;
  struct sockaddr_in worker;
  bool up; /* the worker */
  int listener;
  ev_io io;
  GPtrArray *links; /* link_t */
  cut_t cut;
} path_t;

struct paths
{
  fleet_t *fleet;
  path_t *rows; /* by worker */
  usec_t due;
  uint64_t token; /* highest */
  uint32_t resets;
};

static void free_link (void *data);
static void on_accept (EV_P_ ev_io *io, int events);
static void on_side (EV_P_ ev_io *io, int events);

paths_t *
fleet_paths_new (fleet_t *fleet)
{
  paths_t *paths = g_new0 (paths_t, 1);

  paths->fleet = fleet;
  paths->due = clock_now () + fleet->config.cut_every * USEC_PER_MSEC;
  paths->rows = g_new0 (path_t, fleet->config.workers);
  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      paths->rows[i].paths = paths;
      paths->rows[i].listener = -1;
      paths->rows[i].links = g_ptr_array_new_with_free_func (free_link);
    }
  return paths;
}

void
fleet_paths_free (paths_t *paths)
{
  for (uint32_t i = 0; i < paths->fleet->config.workers; i++)
    {
      fleet_path_close (paths, i);
      g_ptr_array_free (paths->rows[i].links, TRUE);
    }
  g_free (paths->rows);
  g_free (paths);
}

uint32_t
fleet_paths_resets (const paths_t *paths)
{
  return paths->resets;
}

/* --- Connections --- */

static void
free_link (void *data)
{
  link_t *link = data;

  for (int i = CALLER; i <= WORKER; i++)
    {
      ev_io_stop (link->path->paths->fleet->loop, &link->sides[i].io);
      close (link->sides[i].fd);
      g_byte_array_unref (link->sides[i].out);
    }
  g_free (link);
}

static void
close_link (link_t *link)
{
  g_ptr_array_remove_fast (link->path->links, link);
}

/* The caller's connection is reset. */
static void
reset_link (link_t *link)
{
  struct linger none = { 1, 0 };

  link->path->paths->resets++;
  setsockopt (link->sides[CALLER].fd, SOL_SOCKET, SO_LINGER, &none,
              sizeof none);
  close_link (link);
}

static void
add_side (link_t *link, end_of_link_t end, int fd)
{
  side_t *side = &link->sides[end];

  side->link = link;
  side->fd = fd;
  side->out = g_byte_array_new ();
  ev_io_init (&side->io, on_side, fd, EV_READ);
  side->io.data = side;
  ev_io_start (link->path->paths->fleet->loop, &side->io);
}

static void
on_accept (EV_P_ ev_io *io, int events)
{
  path_t *path = io->data;
  int caller
      = accept4 (path->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int worker;
  link_t *link;

  (void)loop;
  (void)events;
  if (caller < 0)
    return;
  worker = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (worker < 0
      || (connect (worker, (struct sockaddr *)&path->worker,
                   sizeof path->worker)
          && errno != EINPROGRESS))
    {
      close (caller);
      if (worker >= 0)
        close (worker);
      return;
    }
  link = g_new0 (link_t, 1);
  link->path = path;
  add_side (link, CALLER, caller);
  add_side (link, WORKER, worker);
  g_ptr_array_add (path->links, link);
}

static void
listen_at (path_t *path)
{
  int on = 1;

  path->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (path->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (path->listener, (struct sockaddr *)&path->address,
            sizeof path->address)
      || listen (path->listener, BACKLOG))
    {
      perror ("fleet_paths: listen");
      close (path->listener);
      path->listener = -1;
      return;
    }
  ev_io_init (&path->io, on_accept, path->listener, EV_READ);
  path->io.data = path;
  ev_io_start (path->paths->fleet->loop, &path->io);
}

static void
stop_listening (path_t *path)
{
  if (path->listener < 0)
    return;
  ev_io_stop (path->paths->fleet->loop, &path->io);
  close (path->listener);
  path->listener = -1;
}

void
fleet_path_open (paths_t *paths, uint32_t worker, const char *address,
                 const char *inner)
{
  path_t *path = &paths->rows[worker];

  if (address_parse (address, &path->address)
      || address_parse (inner, &path->worker))
    fprintf (stderr, "%s, %s: not addresses\n", address, inner);
  path->up = true;
  path->cut.until = 0;
  listen_at (path);
}

void
fleet_path_close (paths_t *paths, uint32_t worker)
{
  path_t *path = &paths->rows[worker];

  path->up = false;
  stop_listening (path);
  g_ptr_array_set_size (path->links, 0);
}

/* --- Cuts --- */

static bool
concerns (const cut_t *cut, const link_t *link)
{
  return clock_now () < cut->until && link->token >= cut->least
         && link->token <= cut->most;
}

static usec_t
draw_length (fleet_t *fleet)
{
  static const int most[]
      = { SHORT_MOST_MS, SHORT_MOST_MS, MEDIUM_MOST_MS, LONG_MOST_MS };
  int kind = g_rand_int_range (fleet->random, 0, G_N_ELEMENTS (most));

  return g_rand_int_range (fleet->random, SHORT_LEAST_MS, most[kind])
         * USEC_PER_MSEC;
}

static void
begin_cut (path_t *path, usec_t now, uint64_t least, uint64_t most)
{
  fleet_t *fleet = path->paths->fleet;
  cut_t cut = { (cut_mode_t)g_rand_int_range (fleet->random, 0, CUT_MODES),
                now + draw_length (fleet), least, most };

  fleet_log ("worker %u cut, kind %d, %d ms, tokens %" G_GUINT64_FORMAT
             " to %" G_GUINT64_FORMAT,
             (uint32_t)(path - path->paths->rows), (int)cut.mode,
             (int)usec_to_msec (cut.until - now), least, most);
  path->cut = cut;
  if (cut.mode == CUT_REFUSES)
    stop_listening (path);
  for (guint i = path->links->len; cut.mode != CUT_ANSWERS && i > 0; i--)
    {
      link_t *link = path->links->pdata[i - 1];

      if (concerns (&cut, link))
        reset_link (link);
    }
}

/* A new owner does not reach some workers.  The link that shows it is checked
   by the caller. */
static void
note_owner (paths_t *paths, uint64_t token)
{
  fleet_t *fleet = paths->fleet;
  uint64_t former = paths->token;

  if (token <= former)
    return;
  paths->token = token;
  if (!former || fleet->spells_over
      || !fleet_chance (fleet, fleet->config.takeover_cut))
    return;
  for (uint32_t i = 0; i < fleet->config.workers; i++)
    if (paths->rows[i].up && fleet_chance (fleet, TAKEOVER_SHARE))
      begin_cut (&paths->rows[i], clock_now (), token, UINT64_MAX);
}

/* Half of them are workers that are leaving, if there are any. */
static uint32_t
draw_worker (fleet_t *fleet)
{
  uint32_t workers = fleet->config.workers;
  uint32_t first
      = (uint32_t)g_rand_int_range (fleet->random, 0, (gint32)workers);

  if (g_rand_boolean (fleet->random))
    return first;
  for (uint32_t i = 0; i < workers; i++)
    if (fleet_leaving_is_told (fleet->leaving, (first + i) % workers))
      return (first + i) % workers;
  return first;
}

/* Cuts off the present owner and its predecessors, its successors, or all. */
static void
draw_cut (paths_t *paths, usec_t now)
{
  fleet_t *fleet = paths->fleet;
  path_t *path = &paths->rows[draw_worker (fleet)];
  int scope = g_rand_int_range (fleet->random, 0, 3);

  if (path->up)
    begin_cut (path, now, scope == 1 ? paths->token + 1 : 0,
               scope == 2 ? paths->token : UINT64_MAX);
}

void
fleet_paths_tick (paths_t *paths, usec_t now)
{
  fleet_t *fleet = paths->fleet;

  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      path_t *path = &paths->rows[i];

      if (fleet->spells_over)
        path->cut.until = 0;
      if (path->up && path->listener < 0 && now >= path->cut.until)
        listen_at (path);
    }
  if (!fleet->config.cut_every || fleet->spells_over || now < paths->due)
    return;
  paths->due = now + fleet->config.cut_every * USEC_PER_MSEC;
  draw_cut (paths, now);
}

/* --- Transfer --- */

/* @return false if the connection is lost */
static bool
flush (side_t *side)
{
  struct ev_loop *loop = side->link->path->paths->fleet->loop;
  ssize_t sent = 0;

  if (side->out->len)
    sent = send (side->fd, side->out->data, side->out->len, MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    return false;
  if (sent > 0)
    g_byte_array_remove_range (side->out, 0, (guint)sent);
  ev_io_stop (loop, &side->io);
  ev_io_set (&side->io, side->fd,
             side->out->len ? EV_READ | EV_WRITE : EV_READ);
  ev_io_start (loop, &side->io);
  return true;
}

/* Takes note of the owner that calls, before its request is passed on. */
static void
note_token (link_t *link, const char *text)
{
  static const char field[] = "\"fencing_token\":";
  const char *at = strstr (text, field);
  uint64_t token;

  if (!at)
    return;
  token = g_ascii_strtoull (at + strlen (field), NULL, 10);
  note_owner (link->path->paths, token);
  link->token = token;
}

static bool
is_cut (const link_t *link, end_of_link_t from)
{
  const cut_t *cut = &link->path->cut;

  return concerns (cut, link)
         && (cut->mode == CUT_ANSWERS) == (from == WORKER);
}

static void
transfer (link_t *link, end_of_link_t from)
{
  side_t *to = &link->sides[from == CALLER ? WORKER : CALLER];
  char text[CHUNK + 1];
  ssize_t got = recv (link->sides[from].fd, text, CHUNK, 0);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      close_link (link);
      return;
    }
  text[got] = '\0';
  if (from == CALLER)
    note_token (link, text);
  if (is_cut (link, from))
    {
      reset_link (link);
      return;
    }
  g_byte_array_append (to->out, (guint8 *)text, (guint)got);
  if (!flush (to))
    close_link (link);
}

static void
on_side (EV_P_ ev_io *io, int events)
{
  side_t *side = io->data;
  link_t *link = side->link;

  (void)loop;
  if ((events & EV_WRITE) && !flush (side))
    close_link (link);
  else if (events & EV_READ)
    transfer (link, side == &link->sides[CALLER] ? CALLER : WORKER);
}

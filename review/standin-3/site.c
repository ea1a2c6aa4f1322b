/** @file
 * Stand-ins of a small site: sockets, HTTP and the command line.
 */
#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Channels of a worker (SYSTEM.md, Services). */
#ifndef CHANNELS
#define CHANNELS 64
#endif

options_t opt = { .nodes = 3, .workers = 8, .net = "127.77.1", .port = 30000,
                  .seconds = 60, .settle = 20, .jobs_per_s = 10, .tasks = 4,
                  .task_cpu = 500, .worker_cpu = 16000, .rack = 4, .task_ms_least = 150, .task_ms_most = 800,
                  .store_ms = 4, .crash_only = -1, .seed = 1 };
pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t changed;
bool trouble;
static FILE *record_file;
static int64_t started_ms;
static unsigned random_state = 1;

typedef struct
{
  int fd;
  int worker; /* -1: the store */
  unsigned life;
} channel_t;

static int listeners[WORKERS_MAX + 1];
static int open_channels[WORKERS_MAX + 1];

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
record (const char *format, ...)
{
  static pthread_mutex_t file_lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;

  pthread_mutex_lock (&file_lock);
  fprintf (record_file, "%9.3f ", (double)(now_ms () - started_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&file_lock);
}

void
sleep_ms (int ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&t, NULL);
}

void
wait_changed (void)
{
  pthread_cond_wait (&changed, &lock);
}

unsigned
draw (unsigned below)
{
  random_state = random_state * 1103515245u + 12345u;
  return below ? (random_state >> 8) % below : 0;
}

const char *
query_text (const request_t *request, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  const char *at = request->query;
  size_t used = 0;

  while (*at && !(strncmp (at, name, len) == 0 && at[len] == '='))
    {
      at = strchr (at, '&');
      if (!at)
        return NULL;
      at++;
    }
  if (!*at)
    return NULL;
  for (at += len + 1; *at && *at != '&' && used + 1 < size; at++)
    {
      unsigned byte = (unsigned char)*at;

      if (*at == '%' && sscanf (at + 1, "%2x", &byte) == 1)
        at += 2;
      out[used++] = (char)byte;
    }
  out[used] = '\0';
  return out;
}

int64_t
query_number (const request_t *request, const char *name, int64_t preset)
{
  char text[64];

  return query_text (request, name, text, sizeof text) ? atoll (text) : preset;
}

void
answer_json (answer_t *answer, int status, json_t *body)
{
  answer->status = status;
  answer->body = json_dumps (body, JSON_COMPACT);
  answer->len = strlen (answer->body);
  json_decref (body);
}

/* --- Connections --- */

static bool
is_stale (const channel_t *channel)
{
  bool stale;

  if (channel->worker < 0)
    return false;
  pthread_mutex_lock (&lock);
  stale = worker_life (channel->worker) != channel->life;
  pthread_mutex_unlock (&lock);
  return stale;
}

/* A machine that has lost its power does not close its connections.  Back, it
   resets those on which something arrives, such as what their peers have sent
   again and again meanwhile. */
static void
end_stale (channel_t *channel)
{
  struct linger none = { 1, 0 };
  struct pollfd input = { channel->fd, POLLIN, 0 };
  int64_t until = now_ms () + 15000;
  bool down = true;
  bool arrived = false;

  while (opt.crash_dark && now_ms () < until && down)
    {
      pthread_mutex_lock (&lock);
      down = !worker_life (channel->worker);
      pthread_mutex_unlock (&lock);
      if (down)
        sleep_ms (2);
    }
  while (opt.crash_dark && now_ms () < until && !arrived)
    arrived = poll (&input, 1, 100) > 0;
  setsockopt (channel->fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

/* Reads one request.  @return false at the end of the connection */
static bool
read_request (channel_t *channel, request_t *request, char *head, size_t size)
{
  static const char *const methods[] = { "GET", "POST", "DELETE" };
  size_t used = 0;
  size_t body_len = 0;
  int64_t idle_until;
  char *end = NULL;
  char *line;
  char method[16];
  char target[1500];

  memset (request, 0, sizeof *request);
  idle_until = now_ms () + opt.idle_ms;
  while (!end)
    {
      struct pollfd input = { channel->fd, POLLIN, 0 };
      ssize_t got;

      if (poll (&input, 1, 20) == 0)
        {
          if (is_stale (channel)
              || (channel->worker >= 0 && opt.idle_ms && !used
                  && now_ms () > idle_until))
            return false;
          continue;
        }
      if (is_stale (channel))
        return false;
      got = recv (channel->fd, head + used, size - 1 - used, 0);
      if (got <= 0 || used + (size_t)got >= size - 1)
        return false;
      used += (size_t)got;
      head[used] = '\0';
      end = strstr (head, "\r\n\r\n");
    }
  *end = '\0';
  if (sscanf (head, "%15s %1499s", method, target) != 2)
    return false;
  for (size_t i = 0; i < 3; i++)
    if (strcmp (method, methods[i]) == 0)
      request->method = methods[i];
  if (!request->method)
    return false;
  snprintf (request->path, sizeof request->path, "%.*s",
            (int)strcspn (target, "?"), target);
  if (strchr (target, '?'))
    snprintf (request->query, sizeof request->query, "%s",
              strchr (target, '?') + 1);
  for (line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n"))
    {
      if (strncasecmp (line + 2, "Content-Length:", 15) == 0)
        body_len = strtoul (line + 17, NULL, 10);
      if (strncasecmp (line + 2, "Expected-Instance:", 18) == 0)
        sscanf (line + 20, " %79[^\r\n]", request->instance);
    }
  request->body = malloc (body_len + 1);
  request->body_len = body_len;
  used -= (size_t)(end + 4 - head);
  memcpy (request->body, end + 4, used < body_len ? used : body_len);
  while (used < body_len)
    {
      ssize_t got = recv (channel->fd, request->body + used, body_len - used, 0);

      if (got <= 0)
        {
          free (request->body);
          return false;
        }
      used += (size_t)got;
    }
  request->body[body_len] = '\0';
  return true;
}

static bool
send_answer (int fd, const answer_t *answer)
{
  char head[256];
  size_t sent = 0;
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                      "Content-Length: %zu\r\n\r\n",
                      answer->status, answer->len);
  char *all = malloc ((size_t)len + answer->len);
  size_t size = (size_t)len + answer->len;

  memcpy (all, head, (size_t)len);
  if (answer->len)
    memcpy (all + len, answer->body, answer->len);
  while (sent < size)
    {
      ssize_t put = send (fd, all + sent, size - sent, MSG_NOSIGNAL);

      if (put <= 0)
        break;
      sent += (size_t)put;
    }
  free (all);
  return sent == size;
}

static void *
serve_channel (void *data)
{
  channel_t *channel = data;
  enum { HEAD = 65536 };
  char *head = malloc (HEAD);
  request_t request;

  while (read_request (channel, &request, head, HEAD))
    {
      answer_t answer = { 0 };
      bool sent = false;

      pthread_mutex_lock (&lock);
      if (channel->worker < 0)
        store_serve (&request, &answer);
      else if (worker_life (channel->worker) != channel->life)
        answer.none = true;
      else
        worker_serve (channel->worker, &request, &answer);
      pthread_mutex_unlock (&lock);
      free (request.body);
      if (!answer.none && !is_stale (channel))
        sent = send_answer (channel->fd, &answer);
      free (answer.body);
      if (!sent)
        break;
    }
  if (is_stale (channel))
    end_stale (channel);
  close (channel->fd);
  pthread_mutex_lock (&lock);
  open_channels[channel->worker + 1]--;
  pthread_mutex_unlock (&lock);
  free (head);
  free (channel);
  return NULL;
}

static int
listen_at (int worker)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[32];
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  snprintf (host, sizeof host, "%s.%d", opt.net, worker < 0 ? 1 : 100 + worker);
  inet_pton (AF_INET, host, &address.sin_addr);
  address.sin_port = htons ((uint16_t)opt.port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address)
      || listen (fd, worker < 0 ? 512 : 128))
    {
      perror (host);
      exit (2);
    }
  return fd;
}

/* Accepts the channels of the store or of a worker, in each of its lives. */
static void *
accept_channels (void *data)
{
  int worker = (int)(intptr_t)data - 1;
  unsigned life = 0;
  pthread_attr_t small;

  pthread_attr_init (&small);
  pthread_attr_setstacksize (&small, 256 * 1024);
  pthread_attr_setdetachstate (&small, PTHREAD_CREATE_DETACHED);
  for (;;)
    {
      int *fd = &listeners[worker + 1];
      unsigned present = 1;
      int count;
      struct pollfd input;
      channel_t *channel;
      pthread_t thread;
      int one = 1;

      pthread_mutex_lock (&lock);
      if (worker >= 0)
        present = worker_life (worker);
      count = open_channels[worker + 1];
      pthread_mutex_unlock (&lock);
      if (present && present != life)
        {
          /* Who has connected to the former life finds a reset. */
          if (life)
            close (*fd);
          *fd = listen_at (worker);
          life = present;
        }
      if (!present && life && !opt.crash_dark)
        {
          close (*fd);
          life = 0;
        }
      if (!present || (worker >= 0 && count >= CHANNELS))
        {
          sleep_ms (2);
          continue;
        }
      input = (struct pollfd){ *fd, POLLIN, 0 };
      if (poll (&input, 1, 5) <= 0)
        continue;
      channel = calloc (1, sizeof *channel);
      channel->worker = worker;
      channel->life = present;
      channel->fd = accept4 (*fd, NULL, NULL, SOCK_CLOEXEC);
      if (channel->fd < 0)
        {
          free (channel);
          continue;
        }
      setsockopt (channel->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      pthread_mutex_lock (&lock);
      open_channels[worker + 1]++;
      pthread_mutex_unlock (&lock);
      if (pthread_create (&thread, &small, serve_channel, channel))
        {
          close (channel->fd);
          free (channel);
        }
    }
  return NULL;
}

static void *
tick (void *data)
{
  (void)data;
  for (;;)
    {
      sleep_ms (5);
      pthread_mutex_lock (&lock);
      store_tick ();
      workers_tick ();
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static void
read_options (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      const char *value = strchr (argv[i], '=');
      size_t len = value ? (size_t)(value - argv[i]) : 0;

#define IS(name) (len == strlen (name) && strncmp (argv[i], name, len) == 0)
      if (!value)
        exit (2);
      value++;
      if (IS ("net")) opt.net = value;
      else if (IS ("record")) record_file = fopen (value, "w");
      else if (IS ("nodes")) opt.nodes = atoi (value);
      else if (IS ("workers")) opt.workers = atoi (value);
      else if (IS ("port")) opt.port = atoi (value);
      else if (IS ("seconds")) opt.seconds = atoi (value);
      else if (IS ("settle")) opt.settle = atoi (value);
      else if (IS ("jobs_per_s")) opt.jobs_per_s = atof (value);
      else if (IS ("tasks")) opt.tasks = atoi (value);
      else if (IS ("task_cpu")) opt.task_cpu = atoi (value);
      else if (IS ("worker_cpu")) opt.worker_cpu = atoi (value);
      else if (IS ("wide")) opt.wide = atoi (value);
      else if (IS ("idle_ms")) opt.idle_ms = atoi (value);
      else if (IS ("rack")) opt.rack = atoi (value);
      else if (IS ("burst")) opt.burst = atoi (value);
      else if (IS ("task_ms_least")) opt.task_ms_least = atoi (value);
      else if (IS ("task_ms_most")) opt.task_ms_most = atoi (value);
      else if (IS ("store_ms")) opt.store_ms = atoi (value);
      else if (IS ("slow_ms")) opt.slow_ms = atoi (value);
      else if (IS ("slow_every_ms")) opt.slow_every_ms = atoi (value);
      else if (IS ("slow_for_ms")) opt.slow_for_ms = atoi (value);
      else if (IS ("deal_every_ms")) opt.deal_every_ms = atoi (value);
      else if (IS ("crash_every_ms")) opt.crash_every_ms = atoi (value);
      else if (IS ("crash_down_ms")) opt.crash_down_ms = atoi (value);
      else if (IS ("crash_dark")) opt.crash_dark = atoi (value);
      else if (IS ("crash_keeps_id")) opt.crash_keeps_id = atoi (value);
      else if (IS ("report_lag_ms")) opt.report_lag_ms = atoi (value);
      else if (IS ("crash_listed")) opt.crash_listed = atoi (value);
      else if (IS ("crash_only")) opt.crash_only = atoi (value);
      else if (IS ("crash_most")) opt.crash_most = atoi (value);
      else if (IS ("upper_every")) opt.upper_every = atoi (value);
      else if (IS ("grey")) opt.grey = atoi (value);
      else if (IS ("grey_ms")) opt.grey_ms = atoi (value);
      else if (IS ("apart")) opt.apart = atoi (value);
      else if (IS ("gang_every")) opt.gang_every = atoi (value);
      else if (IS ("special_every")) opt.special_every = atoi (value);
      else if (IS ("seed")) opt.seed = (unsigned)atoi (value);
      else
        {
          fprintf (stderr, "%s: no such option\n", argv[i]);
          exit (2);
        }
#undef IS
    }
  if (!record_file || opt.workers > WORKERS_MAX || opt.nodes > NODES_MAX
      || opt.tasks > TASKS_PER_JOB_MAX)
    exit (2);
}

int
main (int argc, char **argv)
{
  pthread_condattr_t clock;
  pthread_t thread;
  json_t *report = json_object ();
  char *text;

  started_ms = now_ms ();
  read_options (argc, argv);
  random_state = opt.seed;
  signal (SIGPIPE, SIG_IGN);
  pthread_condattr_init (&clock);
  pthread_condattr_setclock (&clock, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &clock);
  store_init ();
  workers_init ();
  for (intptr_t i = 0; i <= opt.workers; i++)
    pthread_create (&thread, NULL, accept_channels, (void *)i);
  pthread_create (&thread, NULL, tick, NULL);
  callers_run (report);
  pthread_mutex_lock (&lock);
  workers_report (report);
  pthread_mutex_unlock (&lock);
  text = json_dumps (report, JSON_SORT_KEYS);
  record ("report %s", text);
  printf ("%s\n", text);
  fflush (stdout);
  _exit (0);
}

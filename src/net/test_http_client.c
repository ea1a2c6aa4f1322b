/* Requests to a server whose connections go silent. */
#include "net/clock.h"
#include "net/http_client.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECTIONS 64
/* Of requests that get no answer. */
#define SHORT_TIMEOUT (150 * USEC_PER_MSEC)
/* Of all others: not reached, however slow the machine is. */
#define LONG_TIMEOUT (20 * USEC_PER_SEC)
/* Requests at a time, and the longest time until all of them have ended. */
#define MANY_REQUESTS 40U
#define ALL_ENDED_S 5.
/* libcurl counts the age of connections in whole seconds. */
#define NEXT_SECOND_US 1050000U

static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/* A server that answers on the connections that are not silent. */
typedef struct
{
  struct ev_loop *loop;
  int socket;
  ev_io accept;
  ev_io connections[MAX_CONNECTIONS];
  uint32_t connection_count;
  uint32_t closed_count; /* connections that the client has closed */
  uint32_t silent_count; /* the first connections do not answer */
  char url[64];
  http_client_t *client;
  uint32_t answered;
  uint32_t timed_out;
  uint32_t refused;
  uint32_t resent;
  bool new_connections; /* each request asks for one */
  bool ends;            /* the server ends as it has read the next request */
  bool breaks; /* the server closes the connection instead of an answer */
} fixture_t;

static fixture_t f;

static void
end_server (EV_P_ ev_io *io)
{
  ev_io_stop (EV_A_ & f.accept);
  close (f.socket);
  ev_io_stop (EV_A_ io);
  close (io->fd);
  f.socket = io->fd = -1;
}

static void
on_readable (EV_P_ ev_io *io, int events)
{
  char buffer[4096];
  ssize_t len = recv (io->fd, buffer, sizeof buffer, 0);

  (void)events;
  if (len <= 0)
    {
      ev_io_stop (EV_A_ io);
      f.closed_count++;
      return;
    }
  if (f.ends)
    {
      end_server (EV_A_ io);
      return;
    }
  if (f.breaks)
    {
      f.breaks = false;
      ev_io_stop (EV_A_ io);
      close (io->fd);
      io->fd = -1;
      return;
    }
  if (io - f.connections >= f.silent_count)
    CU_ASSERT_EQUAL (send (io->fd, response, sizeof response - 1, 0),
                     (ssize_t)(sizeof response - 1));
}

static void
on_connection (EV_P_ ev_io *io, int events)
{
  int fd = accept (io->fd, NULL, NULL);
  ev_io *watch = &f.connections[f.connection_count];

  (void)events;
  CU_ASSERT_FATAL (f.connection_count < MAX_CONNECTIONS);
  f.connection_count++;
  ev_io_init (watch, on_readable, fd, EV_READ);
  ev_io_start (EV_A_ watch);
}

static void
set_up (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;

  memset (&f, 0, sizeof f);
  f.loop = ev_loop_new (EVFLAG_AUTO);
  f.socket = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (f.socket, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (f.socket, MAX_CONNECTIONS), 0);
  getsockname (f.socket, (struct sockaddr *)&address, &len);
  g_snprintf (f.url, sizeof f.url, "http://127.0.0.1:%u/",
              ntohs (address.sin_port));
  ev_io_init (&f.accept, on_connection, f.socket, EV_READ);
  ev_io_start (f.loop, &f.accept);
  f.client = http_client_new (f.loop, COUNTER_UPSTREAM_BYTES);
}

static void
tear_down (void)
{
  http_client_free (f.client);
  ev_io_stop (f.loop, &f.accept);
  for (uint32_t i = 0; i < f.connection_count; i++)
    {
      ev_io_stop (f.loop, &f.connections[i]);
      close (f.connections[i].fd);
    }
  close (f.socket);
  ev_loop_destroy (f.loop);
}

static void
on_done (void *ctx, const http_answer_t *answer)
{
  uint32_t *open = ctx;

  f.answered += answer->transfer_result == HTTP_ANSWERED;
  f.timed_out += answer->transfer_result != HTTP_ANSWERED;
  f.refused += answer->connection_refused;
  f.resent += answer->resent;
  if (!--*open)
    ev_break (f.loop, EVBREAK_ALL);
}

/* Sends requests at once and waits for their results. */
static void
request_within (usec_t timeout, uint32_t count)
{
  const http_request_t request = { .method = "POST",
                                   .url = f.url,
                                   .body = blob_of ("{}"),
                                   .timeout = timeout,
                                   .new_connection = f.new_connections,
                                   .repeatable = true };
  uint32_t open = count;

  for (uint32_t i = 0; i < count; i++)
    http_client_send (f.client, &request, on_done, &open);
  ev_run (f.loop, 0);
}

static void
request (uint32_t count)
{
  request_within (LONG_TIMEOUT, count);
}

static void
request_unanswered (void)
{
  uint32_t timed_out = f.timed_out;

  request_within (SHORT_TIMEOUT, 1);
  CU_ASSERT_EQUAL (f.timed_out, timed_out + 1);
}

/* Guards against a peer that is taken for dead because each request goes to
   the next of its connections, all of which went silent at once. */
static void
test_silent_connections (void)
{
  set_up ();
  request (3);
  CU_ASSERT_EQUAL (f.answered, 3);
  CU_ASSERT_EQUAL (f.connection_count, 3);
  f.silent_count = 3;
  request_unanswered ();
  request (1);
  CU_ASSERT_EQUAL (f.answered, 4);
  CU_ASSERT_EQUAL (f.timed_out, 1);
  tear_down ();
}

/* Guards against connections that pile up: those opened beside idle ones that
   are not used must not become idle ones themselves. */
static void
test_new_connections_closed (void)
{
  static const struct
  {
    bool new_connections;
    uint32_t silent_count;
  } rows[] = { { false, 1 }, { true, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      set_up ();
      f.silent_count = rows[i].silent_count;
      if (f.silent_count)
        request_unanswered ();
      else
        request (1);
      f.new_connections = rows[i].new_connections;
      for (int k = 0; k < 5; k++)
        request (1);
      ev_run (f.loop, EVRUN_NOWAIT);
      CU_ASSERT_EQUAL (f.answered + f.timed_out, 6);
      CU_ASSERT (f.connection_count - f.closed_count <= 1);
      tear_down ();
    }
}

/* Guards against reuse of a connection that is older than the timeout by less
   than a second. */
static void
test_age_in_whole_seconds (void)
{
  set_up ();
  request (2);
  CU_ASSERT_EQUAL (f.answered, 2);
  f.silent_count = 2;
  request_unanswered ();
  g_usleep (NEXT_SECOND_US);
  request (1);
  CU_ASSERT_EQUAL (f.answered, 3);
  CU_ASSERT_EQUAL (f.timed_out, 1);
  tear_down ();
}

/* Guards against a new connection for each request. */
static void
test_connection_reused (void)
{
  set_up ();
  request (1);
  request (1);
  request (1);
  CU_ASSERT_EQUAL (f.answered, 3);
  CU_ASSERT_EQUAL (f.connection_count, 1);
  tear_down ();
}

/* Guards against a request that counts as not executed although a server has
   read it: the connection broke, and its repetition was refused. */
static void
test_refused_after_sent (void)
{
  set_up ();
  request (1);
  CU_ASSERT_EQUAL (f.answered, 1);
  f.ends = true;
  request (1);
  CU_ASSERT_EQUAL (f.answered, 1);
  CU_ASSERT_EQUAL (f.refused, 0);
  request (1);
  CU_ASSERT_EQUAL (f.refused, 1);
  tear_down ();
}

/* Guards against an answer that is taken for the only one: the server has read
   the request before, on a connection that broke. */
static void
test_answer_to_repetition (void)
{
  set_up ();
  request (1);
  f.breaks = true;
  request (1);
  CU_ASSERT_EQUAL (f.answered, 2);
  CU_ASSERT_EQUAL (f.connection_count, 2);
  CU_ASSERT_EQUAL (f.resent, 1);
  request (1);
  CU_ASSERT_EQUAL (f.answered, 3);
  CU_ASSERT_EQUAL (f.resent, 1);
  tear_down ();
}

static void
on_all_ended (EV_P_ ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

/* Guards against requests that never end, and with them all appends of an
   owner (LOST): timeouts just above that of the connect (review/6). */
static void
test_timeouts_near_connect (void)
{
  for (usec_t ms = 498; ms <= 504; ms++)
    {
      uint64_t overdue = counter_get (COUNTER_REQUESTS_OVERDUE);
      ev_timer timer;

      set_up ();
      f.silent_count = MAX_CONNECTIONS;
      ev_timer_init (&timer, on_all_ended, ALL_ENDED_S, 0.);
      ev_timer_start (f.loop, &timer);
      request_within (ms * USEC_PER_MSEC, MANY_REQUESTS);
      CU_ASSERT_EQUAL (f.timed_out, MANY_REQUESTS);
      CU_ASSERT_EQUAL (counter_get (COUNTER_REQUESTS_OVERDUE), overdue);
      ev_timer_stop (f.loop, &timer);
      tear_down ();
    }
}

/* Guards against requests that only libcurl ends: its timers do not fire
   here. */
static void
test_overdue (void)
{
  const http_request_t request
      = { .method = "GET", .url = f.url, .timeout = LONG_TIMEOUT };
  uint64_t overdue = counter_get (COUNTER_REQUESTS_OVERDUE);
  uint32_t open = 1;

  clock_pause (USEC_PER_SEC);
  set_up ();
  f.silent_count = MAX_CONNECTIONS;
  http_client_send (f.client, &request, on_done, &open);
  ev_run (f.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (open, 1);
  CU_ASSERT (clock_step ());
  CU_ASSERT_EQUAL (open, 0);
  CU_ASSERT_EQUAL (f.timed_out, 1);
  CU_ASSERT (clock_now () >= USEC_PER_SEC + LONG_TIMEOUT);
  CU_ASSERT (clock_now () <= 2 * USEC_PER_SEC + LONG_TIMEOUT);
  CU_ASSERT_EQUAL (counter_get (COUNTER_REQUESTS_OVERDUE), overdue + 1);
  CU_ASSERT (!clock_step ());
  tear_down ();
  clock_resume ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "silent connections", test_silent_connections },
    { "new connections closed", test_new_connections_closed },
    { "age in whole seconds", test_age_in_whole_seconds },
    { "connection reused", test_connection_reused },
    { "refused after sent", test_refused_after_sent },
    { "answer to a repetition", test_answer_to_repetition },
    { "timeouts near that of the connect", test_timeouts_near_connect },
    { "overdue", test_overdue },
  };

  return suite_main ("http client", tests, sizeof tests / sizeof *tests);
}

/* The limits of the HTTP server, with clients on loopback that exceed them.
   The waits have no bound that a slow machine reaches. */
#include "base/counters.h"
#include "net/acceptor.h"
#include "net/address.h"
#include "net/httpd.h"
#include "support/addresses.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <dirent.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_LIMIT_US (20 * USEC_PER_SEC)
#define LONG_TIMEOUT (600 * USEC_PER_SEC)
#define MAX_BODY 32768U
#define BUDGET 131072U
#define MANY 12U
#define RECEIVE_BUFFER 16384U
#define LARGE_ANSWER (4U << 20)

typedef struct
{
  int fd;
  GString *received;
  bool closed; /* by the server */
} peer_t;

typedef struct
{
  struct ev_loop *loop;
  httpd_t *httpd;
  char address[TEST_ADDRESS_SIZE];
  uint32_t dispatched;
  uint32_t body_len; /* of the last request */
  handle_t held;     /* the last request on /hold */
  uint32_t held_count;
  uint32_t descriptors;
} fixture_t;

static fixture_t f;

static uint32_t
count_descriptors (void)
{
  DIR *dir = opendir ("/proc/self/fd");
  uint32_t count = 0;

  while (readdir (dir))
    count++;
  closedir (dir);
  return count;
}

static void
answer_text (handle_t handle, int status, const char *text, uint32_t len)
{
  httpd_answer_t answer = { .status = status, .body = { text, len } };

  httpd_answer (f.httpd, handle, &answer);
}

static void
on_head (void *ctx, const httpd_request_t *request)
{
  (void)ctx;
  if (strcmp (request->path, "/none") == 0)
    answer_text (request->handle, 404, "{}", 2);
}

static void
on_request (void *ctx, const httpd_request_t *request)
{
  static char large[LARGE_ANSWER];

  (void)ctx;
  f.dispatched++;
  f.body_len = request->body.len;
  if (strcmp (request->path, "/hold") == 0)
    {
      f.held = request->handle;
      f.held_count++;
    }
  else if (strcmp (request->path, "/large") == 0)
    answer_text (request->handle, 200, large, sizeof large);
  else
    answer_text (request->handle, 200, "{}", 2);
}

static void
setup (uint32_t max_connections, uint32_t budget, usec_t timeout)
{
  static const httpd_ops_t ops = { .request = on_request, .head = on_head };
  httpd_config_t config = { .address = f.address,
                            .max_connections = max_connections,
                            .max_body = MAX_BODY,
                            .budget_bytes = budget,
                            .receive_buffer = RECEIVE_BUFFER,
                            .backlog = 64,
                            .timeout = timeout };
  err_t err = { 0 };

  memset (&f, 0, sizeof f);
  f.loop = ev_loop_new (EVFLAG_AUTO);
  f.descriptors = count_descriptors ();
  test_address (0, f.address);
  f.httpd = httpd_new (f.loop, &config, &ops, NULL, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f.httpd);
}

/* Guards against descriptors that are not closed. */
static void
teardown (void)
{
  httpd_free (f.httpd);
  CU_ASSERT_EQUAL (count_descriptors (), f.descriptors);
  ev_loop_destroy (f.loop);
}

static peer_t *
peer_connect (void)
{
  peer_t *peer = g_new0 (peer_t, 1);
  struct sockaddr_in address;
  int size = 4096;

  CU_ASSERT_EQUAL_FATAL (address_parse (f.address, &address), 0);
  peer->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_TRUE_FATAL (peer->fd >= 0);
  setsockopt (peer->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (peer->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  CU_ASSERT_EQUAL_FATAL (
      connect (peer->fd, (struct sockaddr *)&address, sizeof address), 0);
  peer->received = g_string_new (NULL);
  return peer;
}

static void
peer_free (peer_t *peer)
{
  close (peer->fd);
  g_string_free (peer->received, TRUE);
  g_free (peer);
}

static void
turn (void)
{
  ev_run (f.loop, EVRUN_NOWAIT);
  g_usleep (200);
}

static void
peer_read (peer_t *peer)
{
  char data[65536];
  ssize_t len = recv (peer->fd, data, sizeof data, MSG_DONTWAIT);

  if (len > 0)
    g_string_append_len (peer->received, data, len);
  else if (!len || errno == ECONNRESET || errno == EPIPE)
    peer->closed = true;
}

/* Sends while the server takes it.  @return bytes sent; less than LEN if the
   connection broke, or if BLOCKED_TURNS turns of the server took nothing */
static size_t
peer_send (peer_t *peer, const char *data, size_t len, uint32_t blocked_turns)
{
  size_t sent = 0;
  uint32_t blocked = 0;

  while (sent < len && blocked < blocked_turns)
    {
      ssize_t n = send (peer->fd, data + sent, len - sent,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

      if (n < 0 && errno != EAGAIN)
        break;
      blocked = n < 0 ? blocked + 1 : 0;
      sent += n > 0 ? (size_t)n : 0;
      if (n < 0)
        turn ();
    }
  return sent;
}

static void
peer_send_text (peer_t *peer, const char *text)
{
  CU_ASSERT_EQUAL (peer_send (peer, text, strlen (text), G_MAXUINT32),
                   strlen (text));
}

/* @return bytes of the body that were sent */
static size_t
peer_post (peer_t *peer, const char *path, uint32_t declared, uint32_t sent)
{
  g_autofree char *head = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: x\r\n"
                                           "Content-Length: %u\r\n\r\n",
                                           path, declared);
  static const char body[8 * MAX_BODY];

  CU_ASSERT_TRUE_FATAL (sent <= sizeof body);
  peer_send_text (peer, head);
  return peer_send (peer, body, sent, G_MAXUINT32);
}

/* The status of the first response, 0 if the connection ended before. */
static int
peer_status (peer_t *peer)
{
  int status = 0;

  for (gint64 end = g_get_monotonic_time () + WAIT_LIMIT_US;
       !peer->closed && !status && g_get_monotonic_time () < end;)
    {
      turn ();
      peer_read (peer);
      if (peer->received->len >= 12)
        status = atoi (peer->received->str + 9);
    }
  return status;
}

static bool
await_closed (peer_t *peer)
{
  for (gint64 end = g_get_monotonic_time () + WAIT_LIMIT_US;
       !peer->closed && g_get_monotonic_time () < end;)
    {
      turn ();
      peer_read (peer);
    }
  return peer->closed;
}

static bool
await_counter (counter_t counter, uint64_t value)
{
  for (gint64 end = g_get_monotonic_time () + WAIT_LIMIT_US;
       counter_get (counter) < value && g_get_monotonic_time () < end;)
    turn ();
  return counter_get (counter) >= value;
}

static void
check_ordinary (void)
{
  peer_t *peer = peer_connect ();
  uint32_t before = f.dispatched;

  peer_post (peer, "/job", 1000, 1000);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  CU_ASSERT_TRUE (f.dispatched > before);
  CU_ASSERT_EQUAL (f.body_len, 1000);
  peer_free (peer);
}

/* Guards against bodies that stop before their end and take the memory of the
   process. */
static void
test_incomplete_bodies (void)
{
  uint64_t closed = counter_get (COUNTER_HTTP_CLOSED_BUDGET);
  peer_t *peers[MANY];
  uint32_t open = 0;

  setup (100, BUDGET, LONG_TIMEOUT);
  for (uint32_t i = 0; i < MANY; i++)
    {
      peers[i] = peer_connect ();
      peer_post (peers[i], "/job", MAX_BODY, MAX_BODY - 1);
    }
  /* Four bodies fit. */
  CU_ASSERT_TRUE (
      await_counter (COUNTER_HTTP_CLOSED_BUDGET, closed + MANY - 4));
  CU_ASSERT_EQUAL (f.dispatched, 0);
  check_ordinary ();
  CU_ASSERT_EQUAL (f.dispatched, 1);
  for (uint32_t i = 0; i < MANY; i++)
    {
      peer_read (peers[i]);
      CU_ASSERT_EQUAL (peers[i]->received->len, 0);
      open += !peers[i]->closed;
    }
  CU_ASSERT_TRUE (open <= 4);
  CU_ASSERT_TRUE (open >= 2);
  /* An evicted request never runs, a remaining one does. */
  for (uint32_t i = 0; i < MANY; i++)
    peer_send (peers[i], "x", 1, G_MAXUINT32);
  for (uint32_t i = 0; i < MANY; i++)
    if (!peers[i]->closed)
      CU_ASSERT_EQUAL (peer_status (peers[i]), 200);
  CU_ASSERT_EQUAL (f.dispatched, 1 + open);
  for (uint32_t i = 0; i < MANY; i++)
    peer_free (peers[i]);
  teardown ();
}

/* Guards against the bytes of a request that has ended staying reserved. */
static void
test_released (void)
{
  peer_t *peer;

  setup (100, BUDGET, LONG_TIMEOUT);
  peer = peer_connect ();
  for (uint32_t i = 0; i < 3 * BUDGET / MAX_BODY; i++)
    {
      g_string_truncate (peer->received, 0);
      peer_post (peer, "/job", MAX_BODY, MAX_BODY);
      CU_ASSERT_EQUAL (peer_status (peer), 200);
      CU_ASSERT_EQUAL (f.body_len, MAX_BODY);
    }
  peer_free (peer);
  for (uint32_t i = 0; i < 3 * BUDGET / MAX_BODY; i++)
    {
      peer = peer_connect ();
      peer_post (peer, "/job", MAX_BODY, MAX_BODY - 1);
      turn ();
      peer_free (peer);
      turn ();
    }
  check_ordinary ();
  teardown ();
}

/* Guards against a refusal that waits for the body, and against a reset of a
   client that is still sending, which may not read the response then. */
static void
test_oversize (void)
{
  uint64_t refused = counter_get (COUNTER_HTTP_HEAD_OVERSIZE);
  peer_t *peer;

  setup (100, BUDGET, LONG_TIMEOUT);
  peer = peer_connect ();
  peer_post (peer, "/job", MAX_BODY + 1, 0);
  CU_ASSERT_EQUAL (peer_status (peer), 413);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (peer->received->str, "Limpethinge-Outcome: not-run"));
  CU_ASSERT_TRUE (await_closed (peer));
  peer_free (peer);
  peer = peer_connect ();
  CU_ASSERT_EQUAL (peer_post (peer, "/job", 8 * MAX_BODY, 8 * MAX_BODY),
                   8 * (size_t)MAX_BODY);
  CU_ASSERT_EQUAL (peer_status (peer), 413);
  peer_free (peer);
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_HEAD_OVERSIZE), refused + 2);
  CU_ASSERT_EQUAL (f.dispatched, 0);
  teardown ();
}

/* Sends a body without its end. */
static void
send_chunks (peer_t *peer, const char *method, uint32_t count)
{
  g_autofree char *head
      = g_strdup_printf ("%s /job HTTP/1.1\r\nHost: x\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         method);
  g_autoptr (GString) chunk = g_string_new ("400\r\n");

  g_string_set_size (chunk, chunk->len + 1024);
  memset (chunk->str + 5, 'x', 1024);
  g_string_append (chunk, "\r\n");
  peer_send_text (peer, head);
  for (uint32_t i = 0; i < count; i++)
    if (peer_send (peer, chunk->str, chunk->len, G_MAXUINT32) < chunk->len)
      return;
}

static void
end_chunks (peer_t *peer)
{
  peer_send (peer, "0\r\n\r\n", 5, G_MAXUINT32);
}

/* Guards against the bytes of a body that has become too large staying
   reserved: other bodies then have no room. */
static void
test_chunked_released (void)
{
  uint64_t closed = counter_get (COUNTER_HTTP_CLOSED_BUDGET);
  peer_t *large;
  peer_t *peers[BUDGET / MAX_BODY];

  setup (100, BUDGET, LONG_TIMEOUT);
  large = peer_connect ();
  send_chunks (large, "POST", MAX_BODY / 1024 + 2);
  for (uint32_t i = 0; i < G_N_ELEMENTS (peers); i++)
    {
      peers[i] = peer_connect ();
      peer_post (peers[i], "/hold", MAX_BODY, MAX_BODY);
      while (f.held_count <= i)
        turn ();
    }
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_CLOSED_BUDGET), closed);
  end_chunks (large);
  CU_ASSERT_EQUAL (peer_status (large), 413);
  peer_free (large);
  for (uint32_t i = 0; i < G_N_ELEMENTS (peers); i++)
    peer_free (peers[i]);
  teardown ();
}

/* Guards against a body without a declared length that is stored beyond the
   limit, or read without end. */
static void
test_chunked (void)
{
  uint64_t closed = counter_get (COUNTER_HTTP_CLOSED_OVERSIZE);
  peer_t *peer;

  setup (100, BUDGET, LONG_TIMEOUT);
  peer = peer_connect ();
  send_chunks (peer, "POST", MAX_BODY / 1024);
  end_chunks (peer);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  CU_ASSERT_EQUAL (f.body_len, MAX_BODY);
  g_string_truncate (peer->received, 0);
  send_chunks (peer, "POST", MAX_BODY / 1024 + 1);
  end_chunks (peer);
  CU_ASSERT_EQUAL (peer_status (peer), 413);
  peer_free (peer);
  peer = peer_connect ();
  send_chunks (peer, "POST", 8 * MAX_BODY / 1024);
  CU_ASSERT_EQUAL (peer_status (peer), 0);
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_CLOSED_OVERSIZE), closed + 1);
  peer_free (peer);
  CU_ASSERT_EQUAL (f.dispatched, 1);
  check_ordinary ();
  teardown ();
}

/* Guards against bodies on paths without a route, and against bodies of
   requests that have none by their method. */
static void
test_head (void)
{
  uint64_t refused = counter_get (COUNTER_HTTP_HEAD_REJECTED);
  peer_t *peer;

  setup (100, BUDGET, LONG_TIMEOUT);
  peer = peer_connect ();
  peer_post (peer, "/none", 1000, 1);
  CU_ASSERT_EQUAL (peer_status (peer), 404);
  CU_ASSERT_TRUE (await_closed (peer));
  peer_free (peer);
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_HEAD_REJECTED), refused + 1);
  CU_ASSERT_EQUAL (f.dispatched, 0);
  peer = peer_connect ();
  f.body_len = 1;
  send_chunks (peer, "GET", 4);
  end_chunks (peer);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  CU_ASSERT_EQUAL (f.body_len, 0);
  peer_free (peer);
  teardown ();
}

/* Guards against closing a connection whose request may have run, and against
   a budget that such requests are evicted for. */
static void
test_running (void)
{
  uint64_t refused = counter_get (COUNTER_HTTP_HEAD_BUDGET);
  peer_t *running[BUDGET / MAX_BODY];
  handle_t held[BUDGET / MAX_BODY];
  peer_t *peer;

  setup (BUDGET / MAX_BODY + 2, BUDGET, LONG_TIMEOUT);
  for (uint32_t i = 0; i < G_N_ELEMENTS (running); i++)
    {
      running[i] = peer_connect ();
      peer_post (running[i], "/hold", MAX_BODY, MAX_BODY);
      while (f.held_count <= i)
        turn ();
      held[i] = f.held;
    }
  for (uint32_t i = 0; i < MANY; i++)
    {
      peer = peer_connect ();
      peer_post (peer, "/job", 1000, 1);
      CU_ASSERT_EQUAL (peer_status (peer), 503);
      CU_ASSERT_PTR_NOT_NULL (strstr (peer->received->str, "Retry-After: 1"));
      peer_free (peer);
    }
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_HEAD_BUDGET), refused + MANY);
  CU_ASSERT_EQUAL (f.dispatched, G_N_ELEMENTS (running));
  for (uint32_t i = 0; i < G_N_ELEMENTS (running); i++)
    {
      answer_text (held[i], 200, "{}", 2);
      CU_ASSERT_EQUAL (peer_status (running[i]), 200);
      peer_free (running[i]);
    }
  check_ordinary ();
  teardown ();
}

/* Guards against connections that send nothing and keep others waiting in the
   backlog, and against evicted connections that keep their descriptor. */
static void
test_connection_limit (void)
{
  enum
  {
    LIMIT = 8,
    CONNECTIONS = 300
  };
  uint64_t closed = counter_get (COUNTER_HTTP_CLOSED_FULL);
  peer_t *peers[CONNECTIONS];
  peer_t *kept;
  peer_t *held;

  setup (LIMIT, BUDGET, LONG_TIMEOUT);
  kept = peer_connect ();
  peer_post (kept, "/job", 10, 10);
  CU_ASSERT_EQUAL (peer_status (kept), 200);
  held = peer_connect ();
  peer_post (held, "/hold", 10, 10);
  while (!f.held_count)
    turn ();
  for (int i = 0; i < CONNECTIONS; i++)
    {
      peers[i] = peer_connect ();
      peer_send_text (peers[i], "POST /job HTTP/1.1\r\n");
      turn ();
    }
  CU_ASSERT_TRUE (await_counter (COUNTER_HTTP_CLOSED_FULL,
                                 closed + CONNECTIONS + 2 - LIMIT));
  turn ();
  turn ();
  /* Both ends are in this process. */
  CU_ASSERT_TRUE (count_descriptors () - f.descriptors
                  <= CONNECTIONS + 2 + LIMIT + 8);
  g_string_truncate (kept->received, 0);
  peer_post (kept, "/job", 10, 10);
  CU_ASSERT_EQUAL (peer_status (kept), 200);
  check_ordinary ();
  answer_text (f.held, 200, "{}", 2);
  CU_ASSERT_EQUAL (peer_status (held), 200);
  for (int i = 0; i < CONNECTIONS; i++)
    peer_free (peers[i]);
  peer_free (kept);
  peer_free (held);
  teardown ();
}

/* Guards against a request that runs although its connection was closed for
   the limit: its last bytes have arrived when the connection is chosen. */
static void
test_evicted_never_runs (void)
{
  uint64_t closed = counter_get (COUNTER_HTTP_CLOSED_FULL);
  peer_t *evicted;
  peer_t *peer;

  setup (1, BUDGET, LONG_TIMEOUT);
  evicted = peer_connect ();
  peer_post (evicted, "/job", 10, 9);
  while (!httpd_open_requests (f.httpd))
    turn ();
  peer = peer_connect ();
  peer_send_text (evicted, "x");
  /* Accepts before it receives. */
  httpd_catch_up (f.httpd);
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_CLOSED_FULL), closed + 1);
  CU_ASSERT_TRUE (await_closed (evicted));
  CU_ASSERT_EQUAL (evicted->received->len, 0);
  CU_ASSERT_EQUAL (f.dispatched, 0);
  peer_post (peer, "/job", 10, 10);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  peer_free (evicted);
  peer_free (peer);
  teardown ();
}

/* Completes bodies that fill the budget while another request needs a part of
   it, so that the server sees both in one pass.
   @param first whether the other request is sent first */
static void
complete_and_evict (bool first)
{
  peer_t *peers[BUDGET / MAX_BODY];
  peer_t *other;
  uint32_t answered = 0;

  setup (100, BUDGET, LONG_TIMEOUT);
  for (uint32_t i = 0; i < G_N_ELEMENTS (peers); i++)
    {
      peers[i] = peer_connect ();
      peer_post (peers[i], "/job", MAX_BODY, MAX_BODY - 1);
    }
  other = peer_connect ();
  httpd_catch_up (f.httpd);
  CU_ASSERT_EQUAL (httpd_open_requests (f.httpd), G_N_ELEMENTS (peers));
  if (first)
    peer_post (other, "/job", MAX_BODY, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (peers); i++)
    peer_send_text (peers[i], "x");
  if (!first)
    peer_post (other, "/job", MAX_BODY, 1);
  httpd_catch_up (f.httpd);
  for (uint32_t i = 0; i < G_N_ELEMENTS (peers); i++)
    {
      answered += peer_status (peers[i]) == 200;
      peer_free (peers[i]);
    }
  CU_ASSERT_EQUAL (f.dispatched, answered);
  CU_ASSERT_TRUE (answered >= G_N_ELEMENTS (peers) - 1);
  peer_free (other);
  teardown ();
}

/* Guards against a request that runs although it was evicted for the budget:
   it is completed in the same pass. */
static void
test_evicted_body_never_runs (void)
{
  complete_and_evict (true);
  complete_and_evict (false);
}

typedef struct
{
  int receive;
  int send;
} buffers_t;

static void
read_buffers (void *ctx, int fd, const struct sockaddr_in *from)
{
  buffers_t *buffers = ctx;
  socklen_t len = sizeof buffers->receive;

  (void)from;
  getsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffers->receive, &len);
  getsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffers->send, &len);
  close (fd);
}

static void
ignore_round (void *ctx)
{
  (void)ctx;
}

static void
ignore_pause (void *ctx, int error)
{
  (void)ctx;
  (void)error;
}

/* Guards against buffers of the kernel's default size, which grow to
   megabytes. */
static void
test_buffers (void)
{
  static const acceptor_ops_t ops
      = { read_buffers, ignore_round, ignore_pause };
  acceptor_config_t config
      = { .address = f.address, .receive_buffer = RECEIVE_BUFFER };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  buffers_t buffers = { 0 };
  err_t err = { 0 };
  acceptor_t *acceptor;
  peer_t *peer;

  test_address (0, f.address);
  acceptor = acceptor_new (loop, &config, &ops, &buffers, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (acceptor);
  peer = peer_connect ();
  while (!acceptor_round (acceptor))
    g_usleep (200);
  /* The kernel doubles them. */
  CU_ASSERT_EQUAL (buffers.receive, 2 * (int)RECEIVE_BUFFER);
  CU_ASSERT_EQUAL (buffers.send, 2 * (int)RECEIVE_BUFFER);
  peer_free (peer);
  acceptor_free (acceptor);
  ev_loop_destroy (loop);
}

/* Guards against a log line for each closed connection, and against causes
   that are not logged. */
static void
test_log (void)
{
  const uint32_t requests = 120;
  char path[] = "/tmp/test_httpd-XXXXXX";
  int file = mkstemp (path);
  int saved = dup (STDERR_FILENO);
  gint64 start = g_get_monotonic_time ();
  g_autofree char *text = NULL;
  uint32_t lines = 0;
  uint64_t logged = 0;

  dup2 (file, STDERR_FILENO);
  setup (1, BUDGET, USEC_PER_SEC);
  for (uint32_t i = 0; i < requests; i++)
    {
      peer_t *peer = peer_connect ();

      peer_post (peer, "/none", 1000, 1);
      CU_ASSERT_EQUAL (peer_status (peer), 404);
      peer_free (peer);
      g_usleep (20000);
    }
  teardown ();
  dup2 (saved, STDERR_FILENO);
  close (saved);
  close (file);
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  unlink (path);
  for (char *at = text; (at = strstr (at, "step=http.limit")); lines++)
    {
      at = strstr (at, "head_rejected=");
      CU_ASSERT_PTR_NOT_NULL_FATAL (at);
      logged += strtoul (at + strlen ("head_rejected="), NULL, 10);
    }
  CU_ASSERT_EQUAL (logged, requests);
  CU_ASSERT_TRUE (
      lines <= 2 + (uint64_t)(g_get_monotonic_time () - start) / USEC_PER_SEC);
  CU_ASSERT_TRUE (lines >= 2);
}

/* Guards against a limit that running requests are closed for: the new
   connection is closed. */
static void
test_all_running (void)
{
  peer_t *held;
  peer_t *peer;

  setup (1, BUDGET, LONG_TIMEOUT);
  held = peer_connect ();
  peer_post (held, "/hold", 10, 10);
  while (!f.held_count)
    turn ();
  peer = peer_connect ();
  CU_ASSERT_TRUE (await_closed (peer));
  peer_free (peer);
  answer_text (f.held, 200, "{}", 2);
  CU_ASSERT_EQUAL (peer_status (held), 200);
  check_ordinary ();
  peer_free (held);
  teardown ();
}

/* Guards against pipelined requests and responses that collect in the process
   or the kernel while the client reads none, and against such a connection
   that stays for good. */
static void
test_pipelining (void)
{
  static const char request[] = "GET /job HTTP/1.1\r\nHost: x\r\n\r\n";
  enum
  {
    REQUESTS = 100000,
    TURNS = 200
  };
  uint64_t slow = counter_get (COUNTER_HTTP_CLOSED_SLOW);
  GString *all = g_string_new (NULL);
  peer_t *peer;
  size_t sent;

  setup (10, BUDGET, 2 * USEC_PER_SEC);
  for (int i = 0; i < REQUESTS; i++)
    g_string_append (all, request);
  peer = peer_connect ();
  sent = peer_send (peer, all->str, all->len, TURNS);
  CU_ASSERT_TRUE (sent < all->len);
  /* The responses are four times as long as the requests. */
  CU_ASSERT_TRUE (f.dispatched < REQUESTS / 20);
  CU_ASSERT_TRUE (httpd_open_requests (f.httpd) <= 1);
  check_ordinary ();
  CU_ASSERT_TRUE (await_counter (COUNTER_HTTP_CLOSED_SLOW, slow + 1));
  CU_ASSERT_TRUE (await_closed (peer));
  peer_free (peer);
  g_string_free (all, TRUE);
  teardown ();
}

/* Guards against large responses that are not read and exceed the budget, and
   against their bytes staying reserved. */
static void
test_unread_answers (void)
{
  static const char request[] = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n";
  peer_t *unread;
  peer_t *peer;

  setup (10, BUDGET, LONG_TIMEOUT);
  unread = peer_connect ();
  peer_send_text (unread, request);
  while (!f.dispatched)
    turn ();
  peer = peer_connect ();
  peer_send_text (peer, request);
  CU_ASSERT_EQUAL (peer_status (peer), 503);
  peer_free (peer);
  peer = peer_connect ();
  peer_post (peer, "/job", 10, 10);
  CU_ASSERT_EQUAL (peer_status (peer), 503);
  peer_free (peer);
  CU_ASSERT_EQUAL (f.dispatched, 1);
  for (gint64 end = g_get_monotonic_time () + WAIT_LIMIT_US;
       unread->received->len <= LARGE_ANSWER && g_get_monotonic_time () < end;)
    {
      ev_run (f.loop, EVRUN_NOWAIT);
      peer_read (unread);
    }
  CU_ASSERT_TRUE (unread->received->len > LARGE_ANSWER);
  check_ordinary ();
  peer_free (unread);
  teardown ();
}

/* Guards against a timeout that each byte renews, of heads and of bodies. */
static void
test_trickle (void)
{
  uint64_t slow = counter_get (COUNTER_HTTP_CLOSED_SLOW);
  peer_t *head;
  peer_t *body;

  setup (10, BUDGET, USEC_PER_SEC / 2);
  head = peer_connect ();
  body = peer_connect ();
  peer_send_text (head, "POST /job HTTP/1.1\r\nX-A: ");
  peer_post (body, "/job", MAX_BODY, 0);
  for (gint64 end = g_get_monotonic_time () + WAIT_LIMIT_US;
       (!head->closed || !body->closed) && g_get_monotonic_time () < end;)
    {
      send (head->fd, "x", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
      send (body->fd, "x", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
      g_usleep (1000);
      turn ();
      peer_read (head);
      peer_read (body);
    }
  CU_ASSERT_TRUE (head->closed);
  CU_ASSERT_TRUE (body->closed);
  CU_ASSERT_EQUAL (counter_get (COUNTER_HTTP_CLOSED_SLOW), slow + 2);
  CU_ASSERT_EQUAL (f.dispatched, 0);
  peer_free (head);
  peer_free (body);
  teardown ();
}

/* Guards against a process that was frozen and closes what it had no turn to
   read. */
static void
test_frozen (void)
{
  enum
  {
    FREEZES = 4
  };
  peer_t *peer;

  setup (10, BUDGET, USEC_PER_SEC / 4);
  peer = peer_connect ();
  peer_post (peer, "/job", 100, 50);
  for (int i = 0; i < FREEZES; i++)
    {
      ev_run (f.loop, EVRUN_NOWAIT);
      g_usleep (300000);
    }
  peer_send_text (peer, "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx");
  ev_run (f.loop, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (f.dispatched, 1);
  CU_ASSERT_EQUAL (f.body_len, 100);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  peer_free (peer);
  teardown ();
}

/* Guards against a loop that spins while no descriptor is left. */
static void
test_no_descriptors (void)
{
  uint64_t pauses = counter_get (COUNTER_HTTP_ACCEPT_PAUSES);
  struct rlimit limit;
  struct rlimit lowered;
  peer_t *peer;
  gint64 start;
  uint32_t turns = 0;

  setup (10, BUDGET, LONG_TIMEOUT);
  peer = peer_connect ();
  getrlimit (RLIMIT_NOFILE, &limit);
  lowered = limit;
  lowered.rlim_cur = (rlim_t)peer->fd + 1;
  setrlimit (RLIMIT_NOFILE, &lowered);
  start = g_get_monotonic_time ();
  while (counter_get (COUNTER_HTTP_ACCEPT_PAUSES) < pauses + 3
         && g_get_monotonic_time () < start + WAIT_LIMIT_US)
    {
      ev_run (f.loop, EVRUN_ONCE);
      turns++;
    }
  CU_ASSERT_TRUE (counter_get (COUNTER_HTTP_ACCEPT_PAUSES) >= pauses + 3);
  /* Two pauses of 0.1 s have passed, with a few turns each. */
  CU_ASSERT_TRUE (g_get_monotonic_time () - start >= 190000);
  CU_ASSERT_TRUE (turns <= 20);
  setrlimit (RLIMIT_NOFILE, &limit);
  peer_post (peer, "/job", 10, 10);
  CU_ASSERT_EQUAL (peer_status (peer), 200);
  peer_free (peer);
  teardown ();
}

/* Guards against connections that are reset since they were not accepted when
   the listener closed. */
static void
test_quiesce (void)
{
  peer_t *peers[MANY];

  setup (100, BUDGET, LONG_TIMEOUT);
  httpd_close_connections (f.httpd);
  for (uint32_t i = 0; i < MANY; i++)
    {
      peers[i] = peer_connect ();
      peer_post (peers[i], "/job", 10, 10);
    }
  CU_ASSERT_EQUAL (f.dispatched, 0);
  httpd_quiesce (f.httpd);
  httpd_catch_up (f.httpd);
  CU_ASSERT_EQUAL (f.dispatched, MANY);
  for (uint32_t i = 0; i < MANY; i++)
    {
      CU_ASSERT_EQUAL (peer_status (peers[i]), 200);
      CU_ASSERT_TRUE (await_closed (peers[i]));
      peer_free (peers[i]);
    }
  teardown ();
}

int
main (void)
{
  static const suite_test_t tests[] = {
    { "incomplete bodies", test_incomplete_bodies },
    { "bytes are released", test_released },
    { "declared oversize body", test_oversize },
    { "chunked bodies", test_chunked },
    { "oversize chunked bodies are released", test_chunked_released },
    { "decisions by the head", test_head },
    { "running requests stay", test_running },
    { "connection limit", test_connection_limit },
    { "an evicted request never runs", test_evicted_never_runs },
    { "an evicted body never runs", test_evicted_body_never_runs },
    { "buffers of connections", test_buffers },
    { "log lines", test_log },
    { "all connections run", test_all_running },
    { "pipelining without reading", test_pipelining },
    { "unread answers", test_unread_answers },
    { "trickling clients", test_trickle },
    { "frozen process", test_frozen },
    { "no descriptors", test_no_descriptors },
    { "quiesce", test_quiesce },
  };

  return suite_main ("httpd", tests, G_N_ELEMENTS (tests));
}

/** @file
 * HTTP requests by libcurl's multi interface on a libev loop.
 */
#include "net/http_client.h"
#include "net/clock.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define CONNECT_TIMEOUT_MS 500L
/* libcurl 7.88 drops the timeout of a request that is due a millisecond or two
   after that of its connect, so that the request never ends.  If it is due
   within this span, the connect has the same one. */
#define TIMEOUT_GAP_MS 20L
/* How long after its timeout a request is ended that libcurl has not ended. */
#define OVERDUE_AFTER (100 * USEC_PER_MSEC)
#define IDLE_CONNECTION_MAX_AGE_S 20L
#define MAX_IDLE_CONNECTIONS 2048L
/* libcurl scans all connections of a multi handle whenever a peer closes one;
   with 2,000 connections this took a tenth of a shard owner's CPU time.  Peers
   are therefore divided among several handles. */
#define POOL_COUNT 16U
#define MAX_ANSWER_BYTES (64U << 20)
#define MAX_IDLE_HANDLES 256U
#define ETAG_BYTES 72U
/* Longest host and port of a URL. */
#define PEER_TEXT_SIZE 80U

typedef struct transfer transfer_t;

/* A multi handle with its timer.  */
typedef struct
{
  http_client_t *client;
  CURLM *multi;
  ev_timer timer;
} pool_t;

struct http_client
{
  struct ev_loop *loop;
  pool_t pools[POOL_COUNT];
  counter_t bytes_counter;
  GPtrArray *idle_handles;      /* CURL handles for reuse */
  GHashTable *active_transfers; /* transfer_t set */
  GHashTable *timeouts;         /* peer -> usec_t of its last timeout */
};

struct transfer
{
  http_client_t *client;
  pool_t *pool;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  size_t body_len;
  size_t body_sent;
  bool body_ended;  /* the whole body was handed to libcurl */
  uint32_t sending; /* how often libcurl has begun to send the request */
  GByteArray *answer;
  bool leaving;
  char etag[ETAG_BYTES];
  char peer[PEER_TEXT_SIZE];
  clock_timer_t overdue_timer;
  usec_t overdue_at;
  http_done_t done;
  void *ctx;
};

typedef struct
{
  ev_io io;
  pool_t *pool;
} socket_watch_t;

static void open_pool (http_client_t *client, pool_t *pool);
static void copy_peer (const char *url, char peer[PEER_TEXT_SIZE]);
static void use_new_connection (const transfer_t *transfer);
static void set_connection_age (const transfer_t *transfer);
static void record_timeout (http_client_t *client, const char *peer);
static int on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx,
                      void *socket_ctx);
static int on_timer (CURLM *multi, long timeout_ms, void *ctx);
static void on_timer_fired (EV_P_ ev_timer *timer, int events);
static void on_io (EV_P_ ev_io *io, int events);
static void on_overdue (void *ctx);
static long connect_timeout_ms (long timeout_ms);
static void finish_transfers (pool_t *pool);
static void finish_transfer (http_client_t *client, transfer_t *transfer,
                             CURLcode code);
static size_t on_body_read (char *buffer, size_t size, size_t count,
                            void *ctx);
static int on_sending (void *ctx, char *peer, char *local, int peer_port,
                       int local_port);
static size_t on_answer (char *data, size_t size, size_t count, void *ctx);
static size_t on_header (char *data, size_t size, size_t count, void *ctx);
static void count_bytes (const http_client_t *client,
                         const transfer_t *transfer);
static void transfer_free (void *data);
static void set_options (transfer_t *transfer, const http_request_t *request);

http_client_t *
http_client_new (struct ev_loop *loop, counter_t bytes_counter)
{
  http_client_t *client = g_new0 (http_client_t, 1);

  client->loop = loop;
  client->bytes_counter = bytes_counter;
  client->idle_handles = g_ptr_array_new ();
  client->active_transfers
      = g_hash_table_new_full (NULL, NULL, transfer_free, NULL);
  client->timeouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (size_t i = 0; i < POOL_COUNT; i++)
    open_pool (client, &client->pools[i]);
  return client;
}

static void
open_pool (http_client_t *client, pool_t *pool)
{
  pool->client = client;
  pool->multi = curl_multi_init ();
  ev_init (&pool->timer, on_timer_fired);
  pool->timer.data = pool;
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_MAXCONNECTS,
                     MAX_IDLE_CONNECTIONS / POOL_COUNT);
  curl_multi_setopt (pool->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

/* Copies host and port of a URL.  */
static void
copy_peer (const char *url, char peer[PEER_TEXT_SIZE])
{
  const char *host = strstr (url, "://");

  host = host ? host + 3 : url;
  g_strlcpy (peer, host, MIN (strcspn (host, "/") + 1, PEER_TEXT_SIZE));
}

/* Opens a connection for this request alone.  Kept after the request, it would
   add to those that the peer holds open for us, one for each such request.  */
static void
use_new_connection (const transfer_t *transfer)
{
  curl_easy_setopt (transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (transfer->easy, CURLOPT_FORBID_REUSE, 1L);
}

/* A connection may go silent for good while new ones work, and its peer's
   other connections with it.  After a request has timed out, connections that
   are older are not used again.  libcurl compares whole seconds, rounded
   down, and uses connections that are as old as the limit.  */
static void
set_connection_age (const transfer_t *transfer)
{
  const usec_t *timeout
      = g_hash_table_lookup (transfer->client->timeouts, transfer->peer);
  long age_s = timeout ? (long)((clock_now () - *timeout) / USEC_PER_SEC) : 0;

  if (!timeout)
    return;
  if (age_s > IDLE_CONNECTION_MAX_AGE_S)
    g_hash_table_remove (transfer->client->timeouts, transfer->peer);
  else if (age_s > 1)
    curl_easy_setopt (transfer->easy, CURLOPT_MAXLIFETIME_CONN, age_s - 1);
  else
    use_new_connection (transfer);
}

static void
record_timeout (http_client_t *client, const char *peer)
{
  usec_t *at = g_hash_table_lookup (client->timeouts, peer);

  if (!at)
    {
      at = g_new (usec_t, 1);
      g_hash_table_insert (client->timeouts, g_strdup (peer), at);
    }
  *at = clock_now ();
}

void
http_client_free (http_client_t *client)
{
  if (!client)
    return;
  g_hash_table_destroy (client->active_transfers);
  for (guint i = 0; i < client->idle_handles->len; i++)
    curl_easy_cleanup (client->idle_handles->pdata[i]);
  g_ptr_array_free (client->idle_handles, TRUE);
  g_hash_table_destroy (client->timeouts);
  for (size_t i = 0; i < POOL_COUNT; i++)
    {
      curl_multi_cleanup (client->pools[i].multi);
      ev_timer_stop (client->loop, &client->pools[i].timer);
    }
  g_free (client);
}

void
http_client_send (http_client_t *client, const http_request_t *request,
                  http_done_t done, void *ctx)
{
  transfer_t *transfer = g_new0 (transfer_t, 1);

  transfer->client = client;
  copy_peer (request->url, transfer->peer);
  /* Requests to one peer share a pool, so that they can reuse its idle
     connections.  */
  transfer->pool
      = &client->pools[XXH64 (transfer->peer, strlen (transfer->peer), 0)
                       % POOL_COUNT];
  transfer->done = done;
  transfer->ctx = ctx;
  transfer->body = g_memdup2 (request->body.data, request->body.len);
  transfer->body_len = request->body.len;
  transfer->answer = g_byte_array_new ();
  if (client->idle_handles->len)
    transfer->easy = g_ptr_array_remove_index_fast (
        client->idle_handles, client->idle_handles->len - 1);
  else
    transfer->easy = curl_easy_init ();
  set_options (transfer, request);
  g_hash_table_add (client->active_transfers, transfer);
  transfer->overdue_at = clock_now () + request->timeout + OVERDUE_AFTER;
  clock_timer_init (&transfer->overdue_timer, client->loop, on_overdue,
                    transfer);
  if (request->timeout)
    clock_timer_start (&transfer->overdue_timer,
                       request->timeout + OVERDUE_AFTER);
  curl_multi_add_handle (transfer->pool->multi, transfer->easy);
}

/* Ends a request that libcurl has not ended, whatever it waits for.  The
   loop's timers may fire early, since they count from the start of its turn.
 */
static void
on_overdue (void *ctx)
{
  transfer_t *transfer = ctx;
  usec_t left = transfer->overdue_at - clock_now ();

  if (left > 0)
    {
      clock_timer_start (&transfer->overdue_timer, left);
      return;
    }
  counter_add (COUNTER_REQUESTS_OVERDUE, 1);
  finish_transfer (transfer->client, transfer, CURLE_OPERATION_TIMEDOUT);
}

static long
connect_timeout_ms (long timeout_ms)
{
  return timeout_ms > CONNECT_TIMEOUT_MS
                 && timeout_ms < CONNECT_TIMEOUT_MS + TIMEOUT_GAP_MS
             ? timeout_ms
             : CONNECT_TIMEOUT_MS;
}

static void
set_options (transfer_t *transfer, const http_request_t *request)
{
  CURL *easy = transfer->easy;
  long timeout_ms = (long)(request->timeout / USEC_PER_MSEC);

  /* Suppresses "Expect: 100-continue", so that the body is sent together with
     the headers. */
  transfer->headers = curl_slist_append (NULL, "Expect:");
  for (const char *const *h = request->headers; h && *h; h++)
    transfer->headers = curl_slist_append (transfer->headers, *h);
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    connect_timeout_ms (timeout_ms));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_AGE_S);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_sending);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  if (strcmp (request->method, "GET") != 0)
    {
      /* libcurl cannot resend a body from a read callback that does not
         rewind, so it does not retry when a reused connection breaks.  An
         empty body gives no such protection. */
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)request->body.len);
      if (request->repeatable)
        curl_easy_setopt (easy, CURLOPT_POSTFIELDS, transfer->body);
      else
        {
          curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_body_read);
          curl_easy_setopt (easy, CURLOPT_READDATA, transfer);
        }
      if (request->new_connection
          || (!request->body.len && !request->repeatable))
        use_new_connection (transfer);
    }
  set_connection_age (transfer);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
  pool_t *pool = ctx;
  socket_watch_t *watch = socket_ctx;
  int events = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (watch)
        ev_io_stop (pool->client->loop, &watch->io);
      g_free (watch);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  if (!watch)
    {
      watch = g_new0 (socket_watch_t, 1);
      watch->pool = pool;
      ev_init (&watch->io, on_io);
      watch->io.data = watch;
      curl_multi_assign (pool->multi, fd, watch);
    }
  ev_io_stop (pool->client->loop, &watch->io);
  ev_io_set (&watch->io, fd, events);
  ev_io_start (pool->client->loop, &watch->io);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  pool_t *pool = ctx;

  (void)multi;
  ev_timer_stop (pool->client->loop, &pool->timer);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&pool->timer, (double)timeout_ms / 1e3, 0.);
      ev_timer_start (pool->client->loop, &pool->timer);
    }
  return 0;
}

static void
on_timer_fired (EV_P_ ev_timer *timer, int events)
{
  pool_t *pool = timer->data;
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_transfers (pool);
}

static void
on_io (EV_P_ ev_io *io, int events)
{
  socket_watch_t *watch = io->data;
  pool_t *pool = watch->pool;
  int flags = 0;
  int running;

  (void)loop;
  if (events & EV_READ)
    flags |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (pool->multi, io->fd, flags, &running);
  finish_transfers (pool);
}

static void
finish_transfers (pool_t *pool)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (pool->multi, &remaining)))
    {
      char *private_data = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                         &private_data);
      finish_transfer (pool->client, (transfer_t *)private_data,
                       message->data.result);
    }
}

static void
finish_transfer (http_client_t *client, transfer_t *transfer, CURLcode code)
{
  http_answer_t answer = { .transfer_result = HTTP_INCOMPLETE };
  long status = 0;
  long request_bytes = 0;
  long os_error = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (transfer->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo (transfer->easy, CURLINFO_OS_ERRNO, &os_error);
  if (code == CURLE_OK)
    answer.transfer_result = HTTP_ANSWERED;
  else if (!request_bytes)
    answer.transfer_result = HTTP_NOT_SENT;
  if (code == CURLE_OPERATION_TIMEDOUT)
    record_timeout (client, transfer->peer);
  answer.connection_refused = code == CURLE_COULDNT_CONNECT
                              && os_error == ECONNREFUSED && !request_bytes;
  answer.resent = transfer->sending > 1;
  answer.status = answer.transfer_result == HTTP_ANSWERED ? (int)status : 0;
  answer.body
      = (blob_t){ (char *)transfer->answer->data, transfer->answer->len };
  answer.leaving = transfer->leaving;
  answer.etag = transfer->etag;
  count_bytes (client, transfer);
  answer.error = curl_easy_strerror (code);
  g_hash_table_steal (client->active_transfers, transfer);
  curl_multi_remove_handle (transfer->pool->multi, transfer->easy);
  transfer->done (transfer->ctx, &answer);
  transfer_free (transfer);
}

static void
count_bytes (const http_client_t *client, const transfer_t *transfer)
{
  long request = 0;
  long header = 0;
  curl_off_t upload = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo (transfer->easy, CURLINFO_HEADER_SIZE, &header);
  curl_easy_getinfo (transfer->easy, CURLINFO_SIZE_UPLOAD_T, &upload);
  counter_add (client->bytes_counter, (uint64_t)request + (uint64_t)header
                                          + (uint64_t)upload
                                          + transfer->answer->len);
}

static void
transfer_free (void *data)
{
  transfer_t *transfer = data;
  http_client_t *client = transfer->client;

  clock_timer_stop (&transfer->overdue_timer);
  if (client->idle_handles->len < MAX_IDLE_HANDLES)
    {
      curl_multi_remove_handle (transfer->pool->multi, transfer->easy);
      curl_easy_reset (transfer->easy);
      g_ptr_array_add (client->idle_handles, transfer->easy);
    }
  else
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  g_byte_array_free (transfer->answer, TRUE);
  g_free (transfer->body);
  g_free (transfer);
}

static size_t
on_body_read (char *buffer, size_t size, size_t count, void *ctx)
{
  transfer_t *transfer = ctx;
  size_t remaining = transfer->body_len - transfer->body_sent;
  size_t len = MIN (remaining, size * count);

  /* libcurl reads the body again only to resend the request. */
  if (!len && transfer->body_ended)
    return CURL_READFUNC_ABORT;
  memcpy (buffer, transfer->body + transfer->body_sent, len);
  transfer->body_sent += len;
  if (!len)
    transfer->body_ended = true;
  return len;
}

static int
on_sending (void *ctx, char *peer, char *local, int peer_port, int local_port)
{
  transfer_t *transfer = ctx;

  (void)peer;
  (void)local;
  (void)peer_port;
  (void)local_port;
  transfer->sending++;
  return CURL_PREREQFUNC_OK;
}

static size_t
on_answer (char *data, size_t size, size_t count, void *ctx)
{
  transfer_t *transfer = ctx;

  if (transfer->answer->len + size * count > MAX_ANSWER_BYTES)
    return 0;
  g_byte_array_append (transfer->answer, (const guint8 *)data,
                       (guint)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *ctx)
{
  static const char leaving[] = "limpethinge-leaving:";
  static const char etag[] = "etag:";
  transfer_t *transfer = ctx;
  size_t len = size * count;

  if (len >= sizeof leaving - 1
      && g_ascii_strncasecmp (data, leaving, sizeof leaving - 1) == 0)
    transfer->leaving = true;
  if (len >= sizeof etag - 1
      && g_ascii_strncasecmp (data, etag, sizeof etag - 1) == 0)
    {
      size_t value = MIN (len - (sizeof etag - 1), ETAG_BYTES - 1);

      memcpy (transfer->etag, data + sizeof etag - 1, value);
      transfer->etag[value] = '\0';
      g_strstrip (transfer->etag);
    }
  return len;
}

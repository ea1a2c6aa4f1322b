/** @file
 * HTTP server by libmicrohttpd on a libev loop.
 */
#include "net/httpd.h"
#include "base/counters.h"
#include "base/log.h"
#include "net/acceptor.h"
#include "net/conn_limits.h"
#include "net/linger.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES (16U << 10)
#define MAX_RUN_PASSES 3
/* A pass accepts or receives from all connections that are ready. */
#define MAX_CATCH_UP_PASSES 100
/* libmicrohttpd counts connections that are being closed; at most those of one
   round of accepting are. */
#define CONNECTIONS_CLOSING_MAX (2 * ACCEPTOR_ROUND_MAX)
#define SWEEP_INTERVAL_MAX USEC_PER_SEC
#define SWEEPS_PER_TIMEOUT 10
#define LOG_INTERVAL_S 1.
/* Reserved for a body before it arrives, and what its buffer grows by at
   least: bodies of ordinary jobs fit. */
#define BODY_STEP_BYTES 8192U
#define RETRY_AFTER_S 1U
#define BODY_NONE 0U
#define BODY_UNDECLARED UINT64_MAX

/* Causes of closing a connection or refusing a request. */
#define LIMIT_TABLE(X)                                                        \
  X (CLOSED_FULL, "closed_full")                                              \
  X (CLOSED_BUDGET, "closed_budget")                                          \
  X (CLOSED_SLOW, "closed_slow")                                              \
  X (CLOSED_OVERSIZE, "closed_oversize")                                      \
  X (HEAD_OVERSIZE, "head_oversize")                                          \
  X (HEAD_REJECTED, "head_rejected")                                          \
  X (HEAD_BUDGET, "head_budget")                                              \
  X (ACCEPT_PAUSES, "accept_pauses")

typedef enum
{
#define LIMIT_ENUM(id, name) LIMIT_##id,
  LIMIT_TABLE (LIMIT_ENUM)
#undef LIMIT_ENUM
      LIMIT_COUNT
} limit_t;

static const struct
{
  const char *name; /* in the log line */
  counter_t counter;
} limit_infos[LIMIT_COUNT] = {
#define LIMIT_INFO(id, name) [LIMIT_##id] = { name, COUNTER_HTTP_##id },
  LIMIT_TABLE (LIMIT_INFO)
#undef LIMIT_INFO
};

typedef struct
{
  httpd_t *httpd;
  struct MHD_Connection *connection;
  conn_t *conn;
  handle_t request; /* HANDLE_NONE between requests */
  bool closing;     /* no further callback is served */
  bool linger;      /* answered while the client may still be sending */
} client_t;

typedef struct
{
  client_t *client;
  char *body;
  uint32_t body_len;
  uint32_t body_size; /* allocated */
  uint32_t reserved;  /* at least body_size */
  uint64_t received;  /* of the body, discarded bytes included */
  uint64_t declared;  /* Content-Length, or BODY_UNDECLARED */
  bool discards;      /* the body is not stored */
  bool too_large;
  bool dispatched; /* passed to the request callback */
  bool suspended;
  bool answered;
  struct MHD_Response *response; /* to be queued after the resume */
  int status;
} pending_request_t;

/* Per-request data stored by libmicrohttpd. */
typedef struct
{
  httpd_t *httpd;
  handle_t handle;
} request_tag_t;

struct httpd
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  const httpd_ops_t *ops;
  void *ctx;
  char *address;
  uint32_t max_body;
  table_t *requests;
  conn_limits_t *limits;
  acceptor_t *acceptor; /* NULL after httpd_quiesce */
  linger_set_t *linger;
  ev_io io;
  ev_timer timer;
  ev_timer sweep;
  ev_prepare prepare;
  bool close_connections; /* each answer closes its connection */
  bool resumed;           /* MHD_get_timeout ignores resumed connections */
  bool closed;            /* connections to be removed by the next MHD_run */
  bool freeing;
  uint32_t limited[LIMIT_COUNT]; /* since the last log line */
  bool limits_unlogged;
  ev_tstamp logged_at;
};

static int start_daemon (httpd_t *httpd, const httpd_config_t *config,
                         err_t *err);
static void init_limits (httpd_t *httpd, const httpd_config_t *config);
static void init_watchers (httpd_t *httpd);
static void on_accepted (void *ctx, int fd, const struct sockaddr_in *from);
static void on_round_ended (void *ctx);
static void on_accept_paused (void *ctx, int error);
static void on_connection (void *ctx, struct MHD_Connection *connection,
                           void **slot,
                           enum MHD_ConnectionNotificationCode code);
static int fd_of (const client_t *client);
static void close_client (httpd_t *httpd, client_t *client, limit_t cause);
static void count_limit (httpd_t *httpd, limit_t cause);
static void log_limits (httpd_t *httpd);
static enum MHD_Result on_request (void *ctx,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *size, void **tag_slot);
static void on_completed (void *ctx, struct MHD_Connection *connection,
                          void **tag_slot,
                          enum MHD_RequestTerminationCode code);
static void on_readable (EV_P_ ev_io *io, int events);
static void on_prepare (EV_P_ ev_prepare *prepare, int events);
static void on_timer (EV_P_ ev_timer *timer, int events);
static void on_sweep (EV_P_ ev_timer *timer, int events);
static bool has_work (const httpd_t *httpd);
static client_t *client_of (struct MHD_Connection *connection);
static enum MHD_Result begin_request (httpd_t *httpd, client_t *client,
                                      const char *url, const char *method,
                                      void **tag_slot);
static request_tag_t *add_request (httpd_t *httpd, client_t *client);
static uint64_t declared_body (struct MHD_Connection *connection);
static enum MHD_Result begin_body (httpd_t *httpd, handle_t handle,
                                   const char *url, const char *method);
static enum MHD_Result refuse_head (httpd_t *httpd, handle_t handle,
                                    limit_t cause);
static enum MHD_Result take_body (httpd_t *httpd, pending_request_t *pending,
                                  const char *data, size_t *size);
static bool reserve_body (httpd_t *httpd, pending_request_t *pending,
                          uint32_t needed);
static void store_body (pending_request_t *pending, const char *data,
                        uint32_t len);
static void free_body (pending_request_t *pending);
static enum MHD_Result dispatch_request (httpd_t *httpd, handle_t handle,
                                         const char *url, const char *method);
static void answer_oversize (httpd_t *httpd, handle_t handle);
static void answer_overload (httpd_t *httpd, handle_t handle);
static enum MHD_Result queue_response (pending_request_t *pending);
static struct MHD_Response *make_response (const httpd_answer_t *answer);

static const acceptor_ops_t acceptor_ops
    = { on_accepted, on_round_ended, on_accept_paused };

httpd_t *
httpd_new (struct ev_loop *loop, const httpd_config_t *config,
           const httpd_ops_t *ops, void *ctx, err_t *err)
{
  httpd_t *httpd = g_new0 (httpd_t, 1);
  acceptor_config_t listener = { .address = config->address,
                                 .receive_buffer = config->receive_buffer,
                                 .backlog = config->backlog };

  httpd->loop = loop;
  httpd->ops = ops;
  httpd->ctx = ctx;
  httpd->address = g_strdup (config->address);
  httpd->max_body = config->max_body;
  httpd->requests = table_new (sizeof (pending_request_t));
  httpd->linger = linger_new (loop);
  init_limits (httpd, config);
  init_watchers (httpd);
  httpd->acceptor = acceptor_new (loop, &listener, &acceptor_ops, httpd, err);
  if (!httpd->acceptor || start_daemon (httpd, config, err))
    {
      httpd_free (httpd);
      return NULL;
    }
  return httpd;
}

static void
init_limits (httpd_t *httpd, const httpd_config_t *config)
{
  conn_limits_config_t limits = { .max_connections = config->max_connections,
                                  .budget_bytes = config->budget_bytes };
  usec_t interval = SWEEP_INTERVAL_MAX;

  if (config->timeout)
    {
      interval = CLAMP (config->timeout / SWEEPS_PER_TIMEOUT, USEC_PER_MSEC,
                        SWEEP_INTERVAL_MAX);
      limits.timeout_sweeps
          = (uint32_t)((config->timeout + interval - 1) / interval);
    }
  httpd->limits = conn_limits_new (&limits);
  ev_timer_init (&httpd->sweep, on_sweep, (double)interval / USEC_PER_SEC,
                 (double)interval / USEC_PER_SEC);
}

static void
init_watchers (httpd_t *httpd)
{
  ev_init (&httpd->io, on_readable);
  ev_init (&httpd->timer, on_timer);
  ev_prepare_init (&httpd->prepare, on_prepare);
  httpd->io.data = httpd->timer.data = httpd;
  httpd->sweep.data = httpd->prepare.data = httpd;
}

/* Returns 0 or a negative error number.  The timeout of libmicrohttpd is not
   used, since any received byte renews it. */
static int
start_daemon (httpd_t *httpd, const httpd_config_t *config, err_t *err)
{
  const union MHD_DaemonInfo *info;

  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
      NULL, NULL, on_request, httpd, MHD_OPTION_CONNECTION_LIMIT,
      config->max_connections + CONNECTIONS_CLOSING_MAX,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd, MHD_OPTION_END);
  if (!httpd->daemon)
    return err_set (err, -ENOMEM, "listen", config->address,
                    "the HTTP server cannot start");
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_set (&httpd->io, info->epoll_fd, EV_READ);
  ev_io_start (httpd->loop, &httpd->io);
  ev_prepare_start (httpd->loop, &httpd->prepare);
  ev_timer_start (httpd->loop, &httpd->sweep);
  return 0;
}

static void
on_accepted (void *ctx, int fd, const struct sockaddr_in *from)
{
  httpd_t *httpd = ctx;

  if (conn_limits_full (httpd->limits))
    {
      conn_t *victim = conn_limits_evictable (httpd->limits);

      if (!victim)
        {
          count_limit (httpd, LIMIT_CLOSED_FULL);
          close (fd);
          return;
        }
      close_client (httpd, conn_owner (victim), LIMIT_CLOSED_FULL);
    }
  /* Closes the descriptor if it fails. */
  if (MHD_add_connection (httpd->daemon, fd, (const struct sockaddr *)from,
                          sizeof *from)
      != MHD_YES)
    count_limit (httpd, LIMIT_CLOSED_FULL);
}

static void
on_round_ended (void *ctx)
{
  httpd_t *httpd = ctx;

  /* httpd_quiesce runs no request callbacks, unless connections have to be
     removed to make room. */
  if (!httpd->acceptor && !httpd->closed)
    return;
  httpd->closed = false;
  MHD_run (httpd->daemon);
}

static void
on_accept_paused (void *ctx, int error)
{
  (void)error;
  count_limit (ctx, LIMIT_ACCEPT_PAUSES);
}

static void
on_connection (void *ctx, struct MHD_Connection *connection, void **slot,
               enum MHD_ConnectionNotificationCode code)
{
  httpd_t *httpd = ctx;
  client_t *client = *slot;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      client = g_new0 (client_t, 1);
      client->httpd = httpd;
      client->connection = connection;
      client->conn = conn_limits_add (httpd->limits, client);
      *slot = client;
      return;
    }
  if (client->linger && !client->closing && !httpd->freeing)
    linger_add (httpd->linger, fd_of (client));
  conn_limits_remove (httpd->limits, client->conn);
  g_free (client);
  *slot = NULL;
}

static int
fd_of (const client_t *client)
{
  return MHD_get_connection_info (client->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Closes the connection without a response, or in the middle of one.
   libmicrohttpd notices the shutdown when it runs next. */
static void
close_client (httpd_t *httpd, client_t *client, limit_t cause)
{
  pending_request_t *pending = table_get (httpd->requests, client->request);

  count_limit (httpd, cause);
  client->closing = true;
  if (pending)
    free_body (pending);
  conn_limits_close (httpd->limits, client->conn);
  shutdown (fd_of (client), SHUT_RDWR);
  httpd->closed = true;
}

static void
count_limit (httpd_t *httpd, limit_t cause)
{
  counter_add (limit_infos[cause].counter, 1);
  httpd->limited[cause]++;
  httpd->limits_unlogged = true;
}

/* At most one line in LOG_INTERVAL_S. */
static void
log_limits (httpd_t *httpd)
{
  ev_tstamp now = ev_now (httpd->loop);
  GString *counts;

  if (!httpd->limits_unlogged || now - httpd->logged_at < LOG_INTERVAL_S)
    return;
  counts = g_string_new (NULL);
  for (int i = 0; i < LIMIT_COUNT; i++)
    if (httpd->limited[i])
      g_string_append_printf (counts, " %s=%" PRIu32, limit_infos[i].name,
                              httpd->limited[i]);
  log_line (LOG_LEVEL_NOTICE, "http.limit", NULL,
            "listener=%s connections=%" PRIu32 " bytes=%" PRIu64 "%s",
            httpd->address, conn_limits_count (httpd->limits),
            conn_limits_bytes (httpd->limits), counts->str);
  g_string_free (counts, TRUE);
  memset (httpd->limited, 0, sizeof httpd->limited);
  httpd->limits_unlogged = false;
  httpd->logged_at = now;
}

void
httpd_close_connections (httpd_t *httpd)
{
  httpd->close_connections = true;
}

void
httpd_quiesce (httpd_t *httpd)
{
  acceptor_t *acceptor = httpd->acceptor;

  httpd->acceptor = NULL;
  acceptor_finish (acceptor);
}

void
httpd_catch_up (httpd_t *httpd)
{
  for (int pass = 0; pass < MAX_CATCH_UP_PASSES; pass++)
    {
      bool accepted = httpd->acceptor && acceptor_round (httpd->acceptor);

      if (!accepted && !has_work (httpd))
        return;
      httpd->resumed = httpd->closed = false;
      MHD_run (httpd->daemon);
    }
}

static bool
has_work (const httpd_t *httpd)
{
  struct pollfd ready = { .fd = httpd->io.fd, .events = POLLIN };
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  if (httpd->resumed || httpd->closed || poll (&ready, 1, 0) > 0)
    return true;
  return MHD_get_timeout (httpd->daemon, &timeout_ms) == MHD_YES
         && !timeout_ms;
}

void
httpd_free (httpd_t *httpd)
{
  if (!httpd)
    return;
  httpd->freeing = true;
  httpd->logged_at = 0.;
  log_limits (httpd);
  ev_io_stop (httpd->loop, &httpd->io);
  ev_timer_stop (httpd->loop, &httpd->timer);
  ev_timer_stop (httpd->loop, &httpd->sweep);
  ev_prepare_stop (httpd->loop, &httpd->prepare);
  acceptor_free (httpd->acceptor);
  for (handle_t h = table_next (httpd->requests, HANDLE_NONE);
       h != HANDLE_NONE; h = table_next (httpd->requests, h))
    {
      pending_request_t *pending = table_get (httpd->requests, h);

      if (pending->suspended)
        MHD_resume_connection (pending->client->connection);
      pending->suspended = false;
    }
  if (httpd->daemon)
    MHD_stop_daemon (httpd->daemon);
  linger_free (httpd->linger);
  table_free (httpd->requests);
  conn_limits_free (httpd->limits);
  g_free (httpd->address);
  g_free (httpd);
}

const char *
httpd_header (httpd_t *httpd, handle_t handle, const char *name)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending)
    return NULL;
  return MHD_lookup_connection_value (pending->client->connection,
                                      MHD_HEADER_KIND, name);
}

const char *
httpd_query (httpd_t *httpd, handle_t handle, const char *name)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending)
    return NULL;
  return MHD_lookup_connection_value (pending->client->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

void
httpd_answer (httpd_t *httpd, handle_t handle, const httpd_answer_t *answer)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending || pending->answered)
    return;
  conn_limits_hold_answer (httpd->limits, pending->client->conn,
                           answer->body.len);
  conn_limits_enter (httpd->limits, pending->client->conn, CONN_ANSWERING);
  pending->answered = true;
  pending->status = answer->status;
  pending->response = make_response (answer);
  if (httpd->close_connections || !pending->dispatched)
    MHD_add_response_header (pending->response, "Connection", "close");
  if (pending->suspended)
    {
      pending->suspended = false;
      httpd->resumed = true;
      MHD_resume_connection (pending->client->connection);
    }
}

size_t
httpd_open_requests (const httpd_t *httpd)
{
  return table_count (httpd->requests);
}

static struct MHD_Response *
make_response (const httpd_answer_t *answer)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      answer->body.len, (void *)answer->body.data, MHD_RESPMEM_MUST_COPY);
  char number[16];

  MHD_add_response_header (response, "Content-Type",
                           answer->content_type ? answer->content_type
                                                : "application/json");
  if (answer->outcome)
    MHD_add_response_header (response, "Limpethinge-Outcome", answer->outcome);
  if (answer->retry_after_s)
    {
      g_snprintf (number, sizeof number, "%u", answer->retry_after_s);
      MHD_add_response_header (response, "Retry-After", number);
    }
  return response;
}

static client_t *
client_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **tag_slot)
{
  httpd_t *httpd = ctx;
  client_t *client = client_of (connection);
  request_tag_t *tag = *tag_slot;
  pending_request_t *pending;

  (void)version;
  if (client->closing)
    return MHD_NO;
  if (!tag)
    return begin_request (httpd, client, url, method, tag_slot);
  pending = table_get (httpd->requests, tag->handle);
  if (!pending)
    return MHD_NO;
  if (*size)
    return take_body (httpd, pending, data, size);
  if (pending->answered)
    return queue_response (pending);
  if (pending->dispatched)
    return MHD_YES;
  return dispatch_request (httpd, tag->handle, url, method);
}

static enum MHD_Result
begin_request (httpd_t *httpd, client_t *client, const char *url,
               const char *method, void **tag_slot)
{
  request_tag_t *tag = add_request (httpd, client);
  pending_request_t *pending;

  if (!tag)
    return MHD_NO;
  *tag_slot = tag;
  pending = table_get (httpd->requests, tag->handle);
  pending->declared = declared_body (client->connection);
  pending->discards
      = strcmp (method, "GET") == 0 || strcmp (method, "DELETE") == 0;
  if (pending->declared != BODY_NONE)
    return begin_body (httpd, tag->handle, url, method);
  conn_limits_enter (httpd->limits, client->conn, CONN_BODY);
  return MHD_YES;
}

static request_tag_t *
add_request (httpd_t *httpd, client_t *client)
{
  request_tag_t *tag;
  pending_request_t *pending;
  handle_t handle = table_add (httpd->requests);

  if (handle == HANDLE_NONE)
    return NULL;
  pending = table_get (httpd->requests, handle);
  pending->client = client;
  client->request = handle;
  tag = g_new0 (request_tag_t, 1);
  tag->httpd = httpd;
  tag->handle = handle;
  return tag;
}

/* libmicrohttpd refuses a Content-Length that is not a number. */
static uint64_t
declared_body (struct MHD_Connection *connection)
{
  const char *text;
  guint64 length;

  if (MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                   MHD_HTTP_HEADER_TRANSFER_ENCODING))
    return BODY_UNDECLARED;
  text = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                      MHD_HTTP_HEADER_CONTENT_LENGTH);
  if (!text)
    return BODY_NONE;
  if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &length, NULL))
    return BODY_UNDECLARED;
  return length;
}

/* Decides by the head whether the body is read.  A response that is queued now
   is sent at once, and the connection is closed after it. */
static enum MHD_Result
begin_body (httpd_t *httpd, handle_t handle, const char *url,
            const char *method)
{
  pending_request_t *pending = table_get (httpd->requests, handle);
  httpd_request_t request = { handle, method, url, { "", 0 } };
  uint32_t first;

  if (pending->declared != BODY_UNDECLARED
      && pending->declared > httpd->max_body)
    {
      answer_oversize (httpd, handle);
      return refuse_head (httpd, handle, LIMIT_HEAD_OVERSIZE);
    }
  if (httpd->ops->head)
    httpd->ops->head (httpd->ctx, &request);
  pending = table_get (httpd->requests, handle);
  if (pending->answered)
    return refuse_head (httpd, handle, LIMIT_HEAD_REJECTED);
  first = (uint32_t)MIN (pending->declared, BODY_STEP_BYTES);
  if (!conn_limits_admits (httpd->limits)
      || (!pending->discards && !reserve_body (httpd, pending, first)))
    {
      answer_overload (httpd, handle);
      return refuse_head (httpd, handle, LIMIT_HEAD_BUDGET);
    }
  conn_limits_enter (httpd->limits, pending->client->conn, CONN_BODY);
  return MHD_YES;
}

static enum MHD_Result
refuse_head (httpd_t *httpd, handle_t handle, limit_t cause)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (pending->status >= MHD_HTTP_BAD_REQUEST)
    count_limit (httpd, cause);
  pending->client->linger = true;
  return queue_response (pending);
}

static enum MHD_Result
take_body (httpd_t *httpd, pending_request_t *pending, const char *data,
           size_t *size)
{
  uint32_t len = (uint32_t)*size;

  *size = 0;
  pending->received += len;
  conn_limits_received (pending->client->conn, len);
  if (pending->received > httpd->max_body && !pending->too_large)
    {
      pending->too_large = true;
      free_body (pending);
      conn_limits_release (httpd->limits, pending->client->conn);
    }
  /* The rest of a body that is a little too large is discarded, so that the
     client gets the response. */
  if (pending->received > 2ULL * httpd->max_body)
    {
      count_limit (httpd, LIMIT_CLOSED_OVERSIZE);
      return MHD_NO;
    }
  if (pending->too_large || pending->discards)
    return MHD_YES;
  if (!reserve_body (httpd, pending, pending->body_len + len))
    {
      if (!pending->client->closing)
        close_client (httpd, pending->client, LIMIT_CLOSED_BUDGET);
      return MHD_NO;
    }
  store_body (pending, data, len);
  return MHD_YES;
}

/* Reserves the bytes of a buffer of at least NEEDED bytes, in place of those
   of the slowest requests if need be, which may be this one.  The buffer is
   doubled, so that a body is copied a few times only. */
static bool
reserve_body (httpd_t *httpd, pending_request_t *pending, uint32_t needed)
{
  uint64_t limit = MIN (pending->declared, httpd->max_body);
  uint64_t size = MAX (needed, 2ULL * pending->reserved);

  size = MAX (size, BODY_STEP_BYTES);
  size = MAX (MIN (size, limit), needed);
  if (needed <= pending->reserved)
    return true;
  while (!conn_limits_reserve (httpd->limits, pending->client->conn,
                               (uint32_t)size - pending->reserved))
    {
      conn_t *victim = conn_limits_slowest (httpd->limits);
      client_t *client = victim ? conn_owner (victim) : NULL;

      if (!client)
        return false;
      close_client (httpd, client, LIMIT_CLOSED_BUDGET);
      if (client == pending->client)
        return false;
    }
  pending->reserved = (uint32_t)size;
  return true;
}

static void
store_body (pending_request_t *pending, const char *data, uint32_t len)
{
  if (pending->body_size < pending->reserved)
    {
      pending->body = g_realloc (pending->body, pending->reserved);
      pending->body_size = pending->reserved;
    }
  memcpy (pending->body + pending->body_len, data, len);
  pending->body_len += len;
}

static void
free_body (pending_request_t *pending)
{
  g_free (pending->body);
  pending->body = NULL;
  pending->body_len = pending->body_size = 0;
}

static enum MHD_Result
dispatch_request (httpd_t *httpd, handle_t handle, const char *url,
                  const char *method)
{
  pending_request_t *pending = table_get (httpd->requests, handle);
  httpd_request_t request = { handle, method, url, { 0 } };

  pending->dispatched = true;
  conn_limits_enter (httpd->limits, pending->client->conn, CONN_RUNNING);
  if (pending->too_large)
    {
      answer_oversize (httpd, handle);
      return queue_response (pending);
    }
  if (!conn_limits_admits (httpd->limits))
    {
      count_limit (httpd, LIMIT_HEAD_BUDGET);
      answer_overload (httpd, handle);
      return queue_response (pending);
    }
  request.body = (blob_t){ pending->body, pending->body_len };
  httpd->ops->request (httpd->ctx, &request);
  pending = table_get (httpd->requests, handle);
  if (!pending)
    return MHD_NO;
  /* What the request has taken from the budget is released when it ends: its
     decoded form lives until then. */
  free_body (pending);
  if (pending->answered)
    return queue_response (pending);
  pending->suspended = true;
  MHD_suspend_connection (pending->client->connection);
  return MHD_YES;
}

static void
answer_oversize (httpd_t *httpd, handle_t handle)
{
  httpd_answer_t refusal
      = { .status = MHD_HTTP_CONTENT_TOO_LARGE,
          .outcome = "not-run",
          .body = blob_of ("{\"outcome\": \"not-run\", \"error\": "
                           "\"body too large\"}\n") };

  counter_add (COUNTER_HTTP_REFUSED, 1);
  httpd_answer (httpd, handle, &refusal);
}

static void
answer_overload (httpd_t *httpd, handle_t handle)
{
  httpd_answer_t refusal
      = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
          .outcome = "not-run",
          .retry_after_s = RETRY_AFTER_S,
          .body = blob_of ("{\"outcome\": \"not-run\", \"error\": "
                           "\"too many bytes of requests\"}\n") };

  httpd_answer (httpd, handle, &refusal);
}

static enum MHD_Result
queue_response (pending_request_t *pending)
{
  enum MHD_Result result;

  if (!pending->response)
    return MHD_YES;
  result = MHD_queue_response (pending->client->connection,
                               (unsigned)pending->status, pending->response);
  MHD_destroy_response (pending->response);
  pending->response = NULL;
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **tag_slot,
              enum MHD_RequestTerminationCode code)
{
  httpd_t *httpd = ctx;
  request_tag_t *tag = *tag_slot;
  pending_request_t *pending;

  (void)connection;
  if (!tag)
    return;
  *tag_slot = NULL;
  pending = table_get (httpd->requests, tag->handle);
  if (pending)
    {
      bool abandoned = pending->dispatched && !pending->answered;
      client_t *client = pending->client;

      if (pending->response)
        MHD_destroy_response (pending->response);
      free_body (pending);
      table_remove (httpd->requests, tag->handle);
      client->request = HANDLE_NONE;
      conn_limits_end_request (httpd->limits, client->conn,
                               code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
      if (abandoned && httpd->ops->abandoned)
        httpd->ops->abandoned (httpd->ctx, tag->handle);
    }
  g_free (tag);
}

static void
on_readable (EV_P_ ev_io *io, int events)
{
  httpd_t *httpd = io->data;

  (void)loop;
  (void)events;
  httpd->closed = false;
  MHD_run (httpd->daemon);
}

/* Handles resumed connections and timeouts before the loop blocks.  A resumed
   connection may need two passes. */
static void
on_prepare (EV_P_ ev_prepare *prepare, int events)
{
  httpd_t *httpd = prepare->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  (void)events;
  ev_timer_stop (EV_A_ & httpd->timer);
  for (int pass = 0; pass < MAX_RUN_PASSES; pass++)
    {
      bool timed = MHD_get_timeout (httpd->daemon, &timeout_ms) == MHD_YES;
      bool waits = httpd->resumed || httpd->closed;

      if (!waits && !timed)
        return;
      if (!waits && timeout_ms)
        break;
      httpd->resumed = httpd->closed = false;
      MHD_run (httpd->daemon);
    }
  ev_timer_set (&httpd->timer, (double)MAX (timeout_ms, 1) / 1e3, 0.);
  ev_timer_start (EV_A_ & httpd->timer);
}

static void
on_timer (EV_P_ ev_timer *timer, int events)
{
  httpd_t *httpd = timer->data;

  (void)loop;
  (void)events;
  MHD_run (httpd->daemon);
}

/* After a freeze libev runs a repeating timer once.  What has arrived is read
   before it is decided which connections are too slow. */
static void
on_sweep (EV_P_ ev_timer *timer, int events)
{
  httpd_t *httpd = timer->data;
  conn_t *overdue;

  (void)loop;
  (void)events;
  MHD_run (httpd->daemon);
  conn_limits_sweep (httpd->limits);
  while ((overdue = conn_limits_overdue (httpd->limits)))
    close_client (httpd, conn_owner (overdue), LIMIT_CLOSED_SLOW);
  log_limits (httpd);
}

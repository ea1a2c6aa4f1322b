/** @file
 * HTTP server by libmicrohttpd on a libev loop.
 */
#include "net/httpd.h"
#include "base/counters.h"
#include "net/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES (16U << 10)
#define MAX_RUN_PASSES 3
/* A pass accepts or receives from all connections that are ready. */
#define MAX_CATCH_UP_PASSES 100

typedef struct
{
  struct MHD_Connection *connection;
  char *method;
  char *path;
  GByteArray *body;
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
  uint32_t max_body;
  table_t *requests;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  bool close_connections; /* each answer closes its connection */
  bool resumed;           /* MHD_get_timeout ignores resumed connections */
};

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
static bool has_work (const httpd_t *httpd);
static request_tag_t *add_request (httpd_t *httpd,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method);
static enum MHD_Result dispatch_request (httpd_t *httpd, handle_t handle);
static enum MHD_Result queue_response (pending_request_t *pending);
static struct MHD_Response *make_response (const httpd_answer_t *answer);

httpd_t *
httpd_new (struct ev_loop *loop, const httpd_config_t *config,
           const httpd_ops_t *ops, void *ctx, err_t *err)
{
  httpd_t *httpd = g_new0 (httpd_t, 1);
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;

  httpd->loop = loop;
  httpd->ops = ops;
  httpd->ctx = ctx;
  httpd->max_body = config->max_body;
  httpd->requests = table_new (sizeof (pending_request_t));
  if (address_parse (config->address, &address))
    err_set (err, -EINVAL, "listen", config->address, "not an IP:port");
  else
    httpd->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
        httpd, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_CONNECTION_LIMIT,
        config->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)(config->timeout / USEC_PER_SEC),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd, MHD_OPTION_END);
  if (!httpd->daemon)
    {
      err_set (err, -EADDRINUSE, "listen", config->address,
               "cannot listen there");
      table_free (httpd->requests);
      g_free (httpd);
      return NULL;
    }
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&httpd->io, on_readable, info->epoll_fd, EV_READ);
  ev_init (&httpd->timer, on_timer);
  ev_prepare_init (&httpd->prepare, on_prepare);
  httpd->io.data = httpd;
  httpd->timer.data = httpd;
  httpd->prepare.data = httpd;
  ev_io_start (loop, &httpd->io);
  ev_prepare_start (loop, &httpd->prepare);
  return httpd;
}

void
httpd_close_connections (httpd_t *httpd)
{
  httpd->close_connections = true;
}

void
httpd_quiesce (httpd_t *httpd)
{
  MHD_socket listener = MHD_quiesce_daemon (httpd->daemon);
  struct sockaddr_in from;
  socklen_t len = sizeof from;
  int fd;

  if (listener == MHD_INVALID_SOCKET)
    return;
  /* close would reset the connections that are not yet accepted. */
  while ((fd = accept4 (listener, (struct sockaddr *)&from, &len,
                        SOCK_CLOEXEC | SOCK_NONBLOCK))
         >= 0)
    {
      MHD_add_connection (httpd->daemon, fd, (struct sockaddr *)&from, len);
      len = sizeof from;
    }
  close (listener);
}

void
httpd_catch_up (httpd_t *httpd)
{
  for (int pass = 0; pass < MAX_CATCH_UP_PASSES && has_work (httpd); pass++)
    {
      httpd->resumed = false;
      MHD_run (httpd->daemon);
    }
}

static bool
has_work (const httpd_t *httpd)
{
  struct pollfd ready = { .fd = httpd->io.fd, .events = POLLIN };
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  if (httpd->resumed || poll (&ready, 1, 0) > 0)
    return true;
  return MHD_get_timeout (httpd->daemon, &timeout_ms) == MHD_YES
         && !timeout_ms;
}

void
httpd_free (httpd_t *httpd)
{
  if (!httpd)
    return;
  ev_io_stop (httpd->loop, &httpd->io);
  ev_timer_stop (httpd->loop, &httpd->timer);
  ev_prepare_stop (httpd->loop, &httpd->prepare);
  for (handle_t h = table_next (httpd->requests, HANDLE_NONE);
       h != HANDLE_NONE; h = table_next (httpd->requests, h))
    {
      pending_request_t *pending = table_get (httpd->requests, h);

      if (pending->suspended)
        MHD_resume_connection (pending->connection);
      pending->suspended = false;
    }
  MHD_stop_daemon (httpd->daemon);
  table_free (httpd->requests);
  g_free (httpd);
}

const char *
httpd_header (httpd_t *httpd, handle_t handle, const char *name)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending)
    return NULL;
  return MHD_lookup_connection_value (pending->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
httpd_query (httpd_t *httpd, handle_t handle, const char *name)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending)
    return NULL;
  return MHD_lookup_connection_value (pending->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

void
httpd_answer (httpd_t *httpd, handle_t handle, const httpd_answer_t *answer)
{
  pending_request_t *pending = table_get (httpd->requests, handle);

  if (!pending || pending->answered)
    return;
  pending->answered = true;
  pending->status = answer->status;
  pending->response = make_response (answer);
  if (httpd->close_connections)
    MHD_add_response_header (pending->response, "Connection", "close");
  if (pending->suspended)
    {
      pending->suspended = false;
      httpd->resumed = true;
      MHD_resume_connection (pending->connection);
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

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **tag_slot)
{
  httpd_t *httpd = ctx;
  request_tag_t *tag = *tag_slot;
  pending_request_t *pending;

  (void)version;
  if (!tag)
    {
      tag = add_request (httpd, connection, url, method);
      if (!tag)
        return MHD_NO;
      *tag_slot = tag;
      return MHD_YES;
    }
  pending = table_get (httpd->requests, tag->handle);
  if (!pending)
    return MHD_NO;
  if (*size)
    {
      if (pending->body->len + *size > httpd->max_body)
        pending->too_large = true;
      else
        g_byte_array_append (pending->body, (const guint8 *)data,
                             (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (pending->answered)
    return queue_response (pending);
  if (pending->dispatched)
    return MHD_YES;
  return dispatch_request (httpd, tag->handle);
}

static request_tag_t *
add_request (httpd_t *httpd, struct MHD_Connection *connection,
             const char *url, const char *method)
{
  request_tag_t *tag;
  pending_request_t *pending;
  handle_t handle = table_add (httpd->requests);

  if (handle == HANDLE_NONE)
    return NULL;
  pending = table_get (httpd->requests, handle);
  pending->connection = connection;
  pending->method = g_strdup (method);
  pending->path = g_strdup (url);
  pending->body = g_byte_array_new ();
  tag = g_new0 (request_tag_t, 1);
  tag->httpd = httpd;
  tag->handle = handle;
  return tag;
}

static enum MHD_Result
dispatch_request (httpd_t *httpd, handle_t handle)
{
  pending_request_t *pending = table_get (httpd->requests, handle);
  httpd_request_t request = { handle, pending->method, pending->path, { 0 } };

  pending->dispatched = true;
  if (pending->too_large)
    {
      httpd_answer_t refusal
          = { .status = MHD_HTTP_CONTENT_TOO_LARGE,
              .outcome = "not-run",
              .body = blob_of ("{\"outcome\": \"not-run\", \"error\": "
                               "\"body too large\"}\n") };

      counter_add (COUNTER_HTTP_REFUSED, 1);
      httpd_answer (httpd, handle, &refusal);
      return queue_response (pending);
    }
  request.body = (blob_t){ (char *)pending->body->data, pending->body->len };
  httpd->ops->request (httpd->ctx, &request);
  pending = table_get (httpd->requests, handle);
  if (!pending)
    return MHD_NO;
  if (pending->answered)
    return queue_response (pending);
  pending->suspended = true;
  MHD_suspend_connection (pending->connection);
  return MHD_YES;
}

static enum MHD_Result
queue_response (pending_request_t *pending)
{
  enum MHD_Result result;

  if (!pending->response)
    return MHD_YES;
  result = MHD_queue_response (pending->connection, (unsigned)pending->status,
                               pending->response);
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
  (void)code;
  if (!tag)
    return;
  *tag_slot = NULL;
  pending = table_get (httpd->requests, tag->handle);
  if (pending)
    {
      bool abandoned = pending->dispatched && !pending->answered;

      if (pending->response)
        MHD_destroy_response (pending->response);
      g_free (pending->method);
      g_free (pending->path);
      g_byte_array_free (pending->body, TRUE);
      table_remove (httpd->requests, tag->handle);
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

      if (!httpd->resumed && !timed)
        return;
      if (!httpd->resumed && timeout_ms)
        break;
      httpd->resumed = false;
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

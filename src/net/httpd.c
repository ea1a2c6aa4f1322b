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
#include <string.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES (16U << 10)
#define RUN_PASSES 3

typedef struct
{
  struct MHD_Connection *connection;
  char *method;
  char *path;
  GByteArray *body;
  bool too_large;
  bool handed_over; /* to the request callback */
  bool suspended;
  bool answered;
  struct MHD_Response *response; /* to be queued after the resume */
  int status;
} open_t;

/* What libmicrohttpd keeps for us with each request. */
typedef struct
{
  httpd_t *httpd;
  handle_t handle;
} tag_t;

struct httpd
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  const httpd_ops_t *ops;
  void *ctx;
  uint32_t max_body;
  table_t *open;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  bool closing; /* each answer closes its connection */
  bool resumed; /* MHD_get_timeout does not tell of resumed connections */
};

static enum MHD_Result on_request (void *ctx, struct MHD_Connection *c,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *size, void **tag_place);
static void on_completed (void *ctx, struct MHD_Connection *c,
                          void **tag_place,
                          enum MHD_RequestTerminationCode code);
static void on_readable (EV_P_ ev_io *io, int events);
static void on_prepare (EV_P_ ev_prepare *prepare, int events);
static void on_timer (EV_P_ ev_timer *timer, int events);
static tag_t *open_request (httpd_t *httpd, struct MHD_Connection *c,
                            const char *url, const char *method);
static enum MHD_Result hand_over (httpd_t *httpd, handle_t handle);
static enum MHD_Result queue_response (open_t *open);
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
  httpd->open = table_new (sizeof (open_t));
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
      table_free (httpd->open);
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
  httpd->closing = true;
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
  /* A connection that waits to be accepted would be reset by the close. */
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
httpd_free (httpd_t *httpd)
{
  if (!httpd)
    return;
  ev_io_stop (httpd->loop, &httpd->io);
  ev_timer_stop (httpd->loop, &httpd->timer);
  ev_prepare_stop (httpd->loop, &httpd->prepare);
  for (handle_t h = table_next (httpd->open, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (httpd->open, h))
    {
      open_t *open = table_get (httpd->open, h);

      if (open->suspended)
        MHD_resume_connection (open->connection);
      open->suspended = false;
    }
  MHD_stop_daemon (httpd->daemon);
  table_free (httpd->open);
  g_free (httpd);
}

const char *
httpd_header (httpd_t *httpd, handle_t handle, const char *name)
{
  open_t *open = table_get (httpd->open, handle);

  if (!open)
    return NULL;
  return MHD_lookup_connection_value (open->connection, MHD_HEADER_KIND, name);
}

const char *
httpd_query (httpd_t *httpd, handle_t handle, const char *name)
{
  open_t *open = table_get (httpd->open, handle);

  if (!open)
    return NULL;
  return MHD_lookup_connection_value (open->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

void
httpd_answer (httpd_t *httpd, handle_t handle, const httpd_answer_t *answer)
{
  open_t *open = table_get (httpd->open, handle);

  if (!open || open->answered)
    return;
  open->answered = true;
  open->status = answer->status;
  open->response = make_response (answer);
  if (httpd->closing)
    MHD_add_response_header (open->response, "Connection", "close");
  if (open->suspended)
    {
      open->suspended = false;
      httpd->resumed = true;
      MHD_resume_connection (open->connection);
    }
}

size_t
httpd_open_requests (const httpd_t *httpd)
{
  return table_count (httpd->open);
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
on_request (void *ctx, struct MHD_Connection *c, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **tag_place)
{
  httpd_t *httpd = ctx;
  tag_t *tag = *tag_place;
  open_t *open;

  (void)version;
  if (!tag)
    {
      tag = open_request (httpd, c, url, method);
      if (!tag)
        return MHD_NO;
      *tag_place = tag;
      return MHD_YES;
    }
  open = table_get (httpd->open, tag->handle);
  if (!open)
    return MHD_NO;
  if (*size)
    {
      if (open->body->len + *size > httpd->max_body)
        open->too_large = true;
      else
        g_byte_array_append (open->body, (const guint8 *)data, (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (open->answered)
    return queue_response (open);
  if (open->handed_over)
    return MHD_YES;
  return hand_over (httpd, tag->handle);
}

static tag_t *
open_request (httpd_t *httpd, struct MHD_Connection *c, const char *url,
              const char *method)
{
  tag_t *tag;
  open_t *open;
  handle_t handle = table_add (httpd->open);

  if (handle == HANDLE_NONE)
    return NULL;
  open = table_get (httpd->open, handle);
  open->connection = c;
  open->method = g_strdup (method);
  open->path = g_strdup (url);
  open->body = g_byte_array_new ();
  tag = g_new0 (tag_t, 1);
  tag->httpd = httpd;
  tag->handle = handle;
  return tag;
}

static enum MHD_Result
hand_over (httpd_t *httpd, handle_t handle)
{
  open_t *open = table_get (httpd->open, handle);
  httpd_request_t request = { handle, open->method, open->path, { 0 } };

  open->handed_over = true;
  if (open->too_large)
    {
      httpd_answer_t refusal
          = { .status = MHD_HTTP_CONTENT_TOO_LARGE,
              .outcome = "not-run",
              .body = blob_of ("{\"outcome\": \"not-run\", \"error\": "
                               "\"body too large\"}\n") };

      counter_add (COUNTER_HTTP_REFUSED, 1);
      httpd_answer (httpd, handle, &refusal);
      return queue_response (open);
    }
  request.body = (blob_t){ (char *)open->body->data, open->body->len };
  httpd->ops->request (httpd->ctx, &request);
  open = table_get (httpd->open, handle);
  if (!open)
    return MHD_NO;
  if (open->answered)
    return queue_response (open);
  open->suspended = true;
  MHD_suspend_connection (open->connection);
  return MHD_YES;
}

static enum MHD_Result
queue_response (open_t *open)
{
  enum MHD_Result result;

  if (!open->response)
    return MHD_YES;
  result = MHD_queue_response (open->connection, (unsigned)open->status,
                               open->response);
  MHD_destroy_response (open->response);
  open->response = NULL;
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *c, void **tag_place,
              enum MHD_RequestTerminationCode code)
{
  httpd_t *httpd = ctx;
  tag_t *tag = *tag_place;
  open_t *open;

  (void)c;
  (void)code;
  if (!tag)
    return;
  *tag_place = NULL;
  open = table_get (httpd->open, tag->handle);
  if (open)
    {
      bool abandoned = open->handed_over && !open->answered;

      if (open->response)
        MHD_destroy_response (open->response);
      g_free (open->method);
      g_free (open->path);
      g_byte_array_free (open->body, TRUE);
      table_remove (httpd->open, tag->handle);
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

/* Resumed connections and time limits are handled before the loop sleeps.
   A resumed connection may need two passes. */
static void
on_prepare (EV_P_ ev_prepare *prepare, int events)
{
  httpd_t *httpd = prepare->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  (void)events;
  ev_timer_stop (EV_A_ & httpd->timer);
  for (int pass = 0; pass < RUN_PASSES; pass++)
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

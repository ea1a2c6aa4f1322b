/** @file
 * HTTP server of the stand-ins.
 */
#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
#define MAX_CONNECTIONS 30000

struct server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io watcher;
  ev_prepare prepare;
  bool resumed; /* a request was resumed since the last pump */
  GHashTable *ports;
};

static void pump (server_t *server);
static void on_epoll (struct ev_loop *loop, ev_io *watcher, int events);
static void on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_connection (void *cls, struct MHD_Connection *connection,
                           void **socket_context,
                           enum MHD_ConnectionNotificationCode code);
static void on_completed (void *cls, struct MHD_Connection *connection,
                          void **con_cls,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result on_access (void *cls, struct MHD_Connection *connection,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *size, void **con_cls);
static request_t *request_new (server_t *server,
                               struct MHD_Connection *connection,
                               const char *url, const char *method);
static void request_set (request_t *request);

server_t *
server_new (struct ev_loop *loop)
{
  server_t *server = g_new0 (server_t, 1);
  const union MHD_DaemonInfo *info;

  server->loop = loop;
  server->ports = g_hash_table_new (NULL, NULL);
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME
          | MHD_USE_TURBO,
      0, NULL, NULL, on_access, server, MHD_OPTION_NOTIFY_CONNECTION,
      on_connection, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS, MHD_OPTION_END);
  if (!server->daemon)
    {
      g_free (server);
      return NULL;
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&server->watcher, on_epoll, info->epoll_fd, EV_READ);
  server->watcher.data = server;
  ev_io_start (loop, &server->watcher);
  ev_prepare_init (&server->prepare, on_prepare);
  server->prepare.data = server;
  ev_prepare_start (loop, &server->prepare);
  return server;
}

port_t *
server_listen (server_t *server, uint16_t number, request_fn handler,
               void *ctx)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  port_t *port;

  if (fd < 0)
    return NULL;
  address.sin_port = htons (number);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address)
      || listen (fd, LISTEN_BACKLOG))
    {
      close (fd);
      return NULL;
    }
  port = g_new0 (port_t, 1);
  port->server = server;
  port->number = number;
  port->fd = fd;
  port->handler = handler;
  port->ctx = ctx;
  port->conns = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (server->ports, GUINT_TO_POINTER (number), port);
  ev_io_init (&port->watcher, on_accept, fd, EV_READ);
  port->watcher.data = port;
  ev_io_start (server->loop, &port->watcher);
  return port;
}

void
port_close (port_t *port)
{
  GHashTableIter iter;
  gpointer key;

  if (port->fd < 0)
    return;
  ev_io_stop (port->server->loop, &port->watcher);
  close (port->fd);
  port->fd = -1;
  g_hash_table_iter_init (&iter, port->conns);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    shutdown (((conn_t *)key)->fd, SHUT_RDWR);
}

void
request_reply (request_t *request, unsigned status, void *bytes, size_t len)
{
  request->status = status;
  request->response
      = MHD_create_response_from_buffer (len, bytes, MHD_RESPMEM_MUST_FREE);
  request_set (request);
}

void
request_json (request_t *request, unsigned status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  json_decref (value);
  request_reply (request, status, text, strlen (text));
}

void
request_status (request_t *request, unsigned status)
{
  request_reply (request, status, g_malloc (1), 0);
}

void
request_drop (request_t *request)
{
  request->drop = true;
  request_set (request);
}

void
request_wait (request_t *request, double ms, request_fn after)
{
  request->on_timer = after;
  ev_timer_stop (request->server->loop, &request->timer);
  ev_timer_set (&request->timer, ms / 1000.0, 0.0);
  ev_timer_start (request->server->loop, &request->timer);
}

const char *
request_query (const request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
request_header (const request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

uint64_t
number_or (const char *text, uint64_t fallback)
{
  return text ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

usec_t
now_usec (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}

static void
pump (server_t *server)
{
  MHD_UNSIGNED_LONG_LONG timeout = 0;

  do
    {
      server->resumed = false;
      MHD_run (server->daemon);
    }
  while (server->resumed
         || (MHD_get_timeout (server->daemon, &timeout) == MHD_YES
             && timeout == 0));
}

static void
on_epoll (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  pump (watcher->data);
}

/* Runs before each wait, so that answers set by timers are sent. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  server_t *server = watcher->data;

  (void)loop;
  (void)events;
  if (server->resumed)
    pump (server);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  port_t *port = watcher->data;
  struct sockaddr_in peer;
  socklen_t len = sizeof peer;
  int one = 1;
  int fd;

  (void)loop;
  (void)events;
  while ((fd = accept4 (port->fd, (struct sockaddr *)&peer, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      MHD_add_connection (port->server->daemon, fd, (struct sockaddr *)&peer,
                          len);
      len = sizeof peer;
    }
  port->server->resumed = true;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  request_t *request = watcher->data;

  (void)loop;
  (void)events;
  request->on_timer (request->ctx, request);
}

static void
on_connection (void *cls, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  server_t *server = cls;
  conn_t *conn = *socket_context;
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      if (conn && conn->port)
        g_hash_table_remove (conn->port->conns, conn);
      g_free (conn);
      return;
    }
  conn = g_new0 (conn_t, 1);
  conn->born = now_usec ();
  conn->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  getsockname (conn->fd, (struct sockaddr *)&address, &len);
  conn->port = g_hash_table_lookup (
      server->ports, GUINT_TO_POINTER (ntohs (address.sin_port)));
  if (conn->port)
    g_hash_table_add (conn->port->conns, conn);
  *socket_context = conn;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  server_t *server = cls;
  request_t *request = *con_cls;

  (void)connection;
  (void)code;
  if (!request)
    return;
  ev_timer_stop (server->loop, &request->timer);
  if (request->on_end)
    request->on_end (request->ctx, request);
  if (request->response)
    MHD_destroy_response (request->response);
  g_byte_array_free (request->body, TRUE);
  g_free (request);
  *con_cls = NULL;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **con_cls)
{
  request_t *request = *con_cls;

  (void)version;
  if (!request)
    {
      *con_cls = request_new (cls, connection, url, method);
      return *con_cls ? MHD_YES : MHD_NO;
    }
  if (*size > 0)
    {
      if (request->body->len + *size > SERVER_MAX_BODY)
        return MHD_NO;
      g_byte_array_append (request->body, (const guint8 *)data, (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (!request->dispatched)
    {
      request->dispatched = true;
      request->conn->port->handler (request->ctx, request);
    }
  if (request->drop)
    return MHD_NO;
  if (!request->ready)
    {
      request->suspended = true;
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  if (request->etag[0])
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_ETAG,
                             request->etag);
  if (request->leaving)
    MHD_add_response_header (request->response, "Limpethinge-Leaving", "1");
  return MHD_queue_response (connection, request->status, request->response);
}

static request_t *
request_new (server_t *server, struct MHD_Connection *connection,
             const char *url, const char *method)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  conn_t *conn = info->socket_context;
  request_t *request;

  if (!conn || !conn->port || conn->port->fd < 0)
    return NULL;
  request = g_new0 (request_t, 1);
  request->server = server;
  request->connection = connection;
  request->conn = conn;
  request->ctx = conn->port->ctx;
  request->method = method;
  request->path = url;
  request->body = g_byte_array_new ();
  ev_timer_init (&request->timer, on_timer, 0.0, 0.0);
  request->timer.data = request;
  return request;
}

static void
request_set (request_t *request)
{
  ev_timer_stop (request->server->loop, &request->timer);
  request->ready = true;
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  request->server->resumed = true;
}

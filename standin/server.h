/** @file
 * HTTP server of the stand-ins: many listening ports, one libmicrohttpd
 * daemon, one libev loop, one thread.  A request that waits is suspended and
 * costs a timer only.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "base/types.h"

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

#define SERVER_MAX_BODY (1U << 20)

typedef struct server server_t;
typedef struct port port_t;
typedef struct request request_t;
typedef void (*request_fn) (void *ctx, request_t *request);

/** A connection; kept in the list of its port. */
typedef struct
{
  port_t *port;
  int fd;
  usec_t born;
} conn_t;

struct port
{
  server_t *server;
  uint16_t number;
  int fd; /**< -1 once closed */
  ev_io watcher;
  request_fn handler; /**< called once for each whole request */
  void *ctx;
  GHashTable *conns; /**< set of conn_t */
};

struct request
{
  server_t *server;
  struct MHD_Connection *connection;
  conn_t *conn;
  const char *method;
  const char *path;
  GByteArray *body;
  ev_timer timer;
  request_fn on_timer; /**< also called with the handler's ctx */
  request_fn on_end;   /**< called when the request is freed, may be NULL */
  void *ctx;
  void *work; /**< for the handler */
  bool dispatched;
  bool ready;
  bool suspended;
  bool drop;
  unsigned status;
  bool leaving;  /**< answer with Limpethinge-Leaving: 1 */
  char etag[24]; /**< entity tag of the answer, empty for none */
  struct MHD_Response *response;
};

server_t *server_new (struct ev_loop *loop);

/** Listens on 127.0.0.1. @return NULL if the port is taken */
port_t *server_listen (server_t *server, uint16_t number, request_fn handler,
                       void *ctx);

/** Stops listening and shuts down all connections of the port. */
void port_close (port_t *port);

/** Answers; takes BYTES (from g_malloc). */
void request_reply (request_t *request, unsigned status, void *bytes,
                    size_t len);
/** Answers with JSON; takes VALUE. */
void request_json (request_t *request, unsigned status, json_t *value);
/** Answers with an empty body. */
void request_status (request_t *request, unsigned status);
/** Closes the connection without an answer. */
void request_drop (request_t *request);
/** Calls AFTER in MS milliseconds, unless the request ends before. */
void request_wait (request_t *request, double ms, request_fn after);

/** @return the query parameter, NULL if absent */
const char *request_query (const request_t *request, const char *name);
/** @return the header, NULL if absent */
const char *request_header (const request_t *request, const char *name);
/** @return the number in TEXT, FALLBACK if TEXT is NULL */
uint64_t number_or (const char *text, uint64_t fallback);

/** @return CLOCK_MONOTONIC */
usec_t now_usec (void);

#endif

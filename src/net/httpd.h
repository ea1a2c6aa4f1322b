/** @file
 * HTTP server by libmicrohttpd on a libev loop.
 *
 * A request is dispatched once its body is complete.  It may be answered at
 * once or later; until then its connection is suspended.
 *
 * Connections, bytes and time are limited (net/conn_limits.h).  A connection
 * is closed only while no request of it has been dispatched, or if its client
 * does not read the response within the timeout.
 */
#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include "base/table.h"

#include <ev.h>

typedef struct httpd httpd_t;

typedef struct
{
  handle_t handle; /**< for httpd_answer */
  const char *method;
  const char *path;
  blob_t body;
} httpd_request_t;

typedef struct
{
  int status;
  const char *content_type; /**< NULL for application/json */
  const char *outcome;      /**< Limpethinge-Outcome, NULL for none */
  uint32_t retry_after_s;   /**< Retry-After, 0 for none */
  blob_t body;              /**< copied */
} httpd_answer_t;

typedef struct
{
  /** A complete request has arrived; call httpd_answer for its handle now or
      later, exactly once.  REQUEST is valid during the call.  The body of a
      GET or DELETE request is discarded. */
  void (*request) (void *ctx, const httpd_request_t *request);
  /** The client disconnected before it was answered; HANDLE is stale. */
  void (*abandoned) (void *ctx, handle_t handle);
  /** The head of a request with a body has arrived; may be NULL.  A call of
      httpd_answer for its handle refuses the request: its body is not read,
     its connection is closed after the response and `request` is not called.
     The body of REQUEST is empty.  Not called for requests without a body. */
  void (*head) (void *ctx, const httpd_request_t *request);
} httpd_ops_t;

typedef struct
{
  const char *address;      /**< IP:port */
  uint32_t max_connections; /**< at which one connection is closed in favour
                               of a new one */
  uint32_t max_body;        /**< bytes; larger bodies are answered with 413 */
  uint32_t budget_bytes; /**< of request bodies and unread answers, 0: no bound
                          */
  uint32_t receive_buffer; /**< SO_RCVBUF in bytes, 0: the kernel's */
  uint32_t backlog;        /**< of the listener, 0: SOMAXCONN */
  usec_t timeout; /**< of each whole phase of a connection: until its next head
                     is complete, until the body is, and until the response is
                     sent; 0: no bound.  Counted in sweeps that have run, so
                     that a process that was frozen closes nothing for that. */
} httpd_config_t;

/** @return NULL with ERR filled if the address cannot be bound */
httpd_t *httpd_new (struct ev_loop *loop, const httpd_config_t *config,
                    const httpd_ops_t *ops, void *ctx, err_t *err);

/** Closes each connection after its next answer ("Connection: close"). */
void httpd_close_connections (httpd_t *httpd);

/** Closes the listening socket; existing connections stay open, those not yet
    accepted included. */
void httpd_quiesce (httpd_t *httpd);

/** Receives and sends all that can be without waiting, for a process that may
    have had no turn: requests that have arrived are dispatched and answers
    that are ready are sent. */
void httpd_catch_up (httpd_t *httpd);
void httpd_free (httpd_t *httpd);

/** @return a header of a request during its request callback, or NULL */
const char *httpd_header (httpd_t *httpd, handle_t handle, const char *name);

/** @return a query parameter of a request during its request callback, or
    NULL */
const char *httpd_query (httpd_t *httpd, handle_t handle, const char *name);

/** Answers a request; a stale handle is ignored. */
void httpd_answer (httpd_t *httpd, handle_t handle,
                   const httpd_answer_t *answer);

/** @return number of requests whose answer is not fully sent */
size_t httpd_open_requests (const httpd_t *httpd);

#endif

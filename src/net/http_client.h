/** @file
 * HTTP requests by libcurl's multi interface on a libev loop.
 *
 * Unless it is repeatable a request is sent at most once: libcurl's own
 * repetition on a connection that broke is prevented, so that the caller alone
 * decides on retries.
 */
#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

#include "base/counters.h"
#include "base/types.h"

#include <ev.h>

typedef struct http_client http_client_t;

/** How far a request got. */
typedef enum
{
  HTTP_ANSWERED,  /**< a complete answer arrived */
  HTTP_NOT_SENT,  /**< no connection; the other end never saw it */
  HTTP_INCOMPLETE /**< no complete answer; the other end may have acted */
} http_end_t;

typedef struct
{
  http_end_t transfer_result;
  bool connection_refused; /**< no process listens at the address */
  int status;              /**< HTTP status, 0 unless answered */
  blob_t body;             /**< valid during the callback */
  bool leaving;            /**< header Limpethinge-Leaving was set */
  const char *etag;        /**< header ETag, "" for none */
  const char *error;       /**< text for a log line unless answered */
} http_answer_t;

typedef void (*http_done_t) (void *ctx, const http_answer_t *answer);

typedef struct
{
  const char *method; /**< "GET", "POST", "DELETE" */
  const char *url;
  const char *const *headers; /**< "Name: value", NULL-terminated, or NULL */
  blob_t body;                /**< copied */
  usec_t timeout;
  bool new_connection; /**< on a new connection */
  bool repeatable;     /**< may be sent twice; head and body go out together */
} http_request_t;

/** @param bytes counter to which all bytes sent and received are added */
http_client_t *http_client_new (struct ev_loop *loop, counter_t bytes);

/** Drops requests under way without calling back. */
void http_client_free (http_client_t *client);

/** Sends a request; DONE runs once, not before this returns. */
void http_client_send (http_client_t *client, const http_request_t *request,
                       http_done_t done, void *ctx);

#endif

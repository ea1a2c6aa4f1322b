/** @file
 * HTTP requests by libcurl's multi interface on a libev loop.
 *
 * A request is sent at most once unless it is marked repeatable: libcurl's own
 * retry after a broken connection is disabled, so that retries are decided by
 * the caller alone.
 */
#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

#include "base/counters.h"
#include "base/types.h"

#include <ev.h>

typedef struct http_client http_client_t;

/** Result of a request. */
typedef enum
{
  HTTP_ANSWERED,  /**< a complete answer arrived */
  HTTP_NOT_SENT,  /**< no connection; the server did not see it */
  HTTP_INCOMPLETE /**< no complete answer; the server may have acted */
} http_result_t;

typedef struct
{
  http_result_t transfer_result;
  bool connection_refused; /**< nothing listens at the address, and no request
                                was sent on a former connection */
  bool resent;             /**< sent again after its connection broke: the
                                server may have acted before */
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
  bool new_connection; /**< open a new connection */
  bool repeatable;     /**< may be sent twice; headers and body are sent
                           together */
} http_request_t;

/** @param bytes_counter counts all bytes sent and received */
http_client_t *http_client_new (struct ev_loop *loop, counter_t bytes_counter);

/** Drops unfinished requests without calling their callbacks. */
void http_client_free (http_client_t *client);

/** Sends a request; DONE is called once, after this function has returned. */
void http_client_send (http_client_t *client, const http_request_t *request,
                       http_done_t done, void *ctx);

#endif

/** @file
 * HTTP client of the load generator: libcurl multi under libev.
 */
#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

#include "base/types.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

typedef struct caller caller_t;

typedef struct
{
  CURLcode code;        /**< CURLE_OK if there is a whole answer */
  bool sent;            /**< false: the connection never came up */
  long status;          /**< 0 without an answer */
  const char *outcome;  /**< header Limpethinge-Outcome, NULL if absent */
  double retry_after_s; /**< 0 if absent */
  const GByteArray *body;
} answer_t;

typedef void (*answer_fn) (void *ctx, const answer_t *answer);

typedef struct
{
  const char *method;
  const char *url;
  struct curl_slist *headers; /**< freed when the call has ended */
  const void *body;           /**< must outlive the call */
  size_t body_len;
  long timeout_ms;
  answer_fn done;
  void *ctx;
} call_t;

caller_t *caller_new (struct ev_loop *loop);
void caller_free (caller_t *caller);

/** Starts a call; DONE is called once, later, from the loop. */
void caller_start (caller_t *caller, const call_t *call);

#endif

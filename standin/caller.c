/** @file
 * HTTP client of the load generator.
 */
#include "caller.h"

#include <string.h>

#define POOLED_CONNECTIONS 4096L

struct caller
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  GQueue *idle; /* exchange_t with an easy handle to use again */
};

typedef struct
{
  caller_t *caller;
  CURL *easy;
  call_t call;
  GByteArray *body;
} exchange_t;

typedef struct
{
  caller_t *caller;
  ev_io watcher;
} socket_t;

static int on_socket_change (CURL *easy, curl_socket_t fd, int what,
                             void *clientp, void *socketp);
static int on_timer_change (CURLM *multi, long timeout_ms, void *clientp);
static void on_ready (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout (struct ev_loop *loop, ev_timer *watcher, int events);
static size_t on_body (char *data, size_t size, size_t count, void *ctx);
static void collect (caller_t *caller);
static void finish (exchange_t *exchange, CURLcode code);
static exchange_t *exchange_new (caller_t *caller);
static void exchange_free (gpointer data);

caller_t *
caller_new (struct ev_loop *loop)
{
  caller_t *caller = g_new0 (caller_t, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  caller->loop = loop;
  caller->idle = g_queue_new ();
  caller->multi = curl_multi_init ();
  ev_timer_init (&caller->timer, on_timeout, 0.0, 0.0);
  caller->timer.data = caller;
  curl_multi_setopt (caller->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (caller->multi, CURLMOPT_SOCKETDATA, caller);
  curl_multi_setopt (caller->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (caller->multi, CURLMOPT_TIMERDATA, caller);
  curl_multi_setopt (caller->multi, CURLMOPT_MAXCONNECTS, POOLED_CONNECTIONS);
  return caller;
}

void
caller_free (caller_t *caller)
{
  g_queue_free_full (caller->idle, exchange_free);
  curl_multi_cleanup (caller->multi);
  g_free (caller);
}

void
caller_start (caller_t *caller, const call_t *call)
{
  exchange_t *exchange = g_queue_pop_head (caller->idle);
  CURL *easy;

  if (!exchange)
    exchange = exchange_new (caller);
  exchange->call = *call;
  easy = exchange->easy;
  curl_easy_setopt (easy, CURLOPT_URL, call->url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
  if (call->body)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)call->body_len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    }
  else
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
  curl_multi_add_handle (caller->multi, easy);
}

static exchange_t *
exchange_new (caller_t *caller)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);

  exchange->caller = caller;
  exchange->body = g_byte_array_new ();
  exchange->easy = curl_easy_init ();
  curl_easy_setopt (exchange->easy, CURLOPT_PRIVATE, exchange);
  curl_easy_setopt (exchange->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (exchange->easy, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt (exchange->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (exchange->easy, CURLOPT_PROXY, "");
  return exchange;
}

static void
exchange_free (gpointer data)
{
  exchange_t *exchange = data;

  curl_easy_cleanup (exchange->easy);
  g_byte_array_free (exchange->body, TRUE);
  g_free (exchange);
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *clientp,
                  void *socketp)
{
  caller_t *caller = clientp;
  socket_t *sock = socketp;

  (void)easy;
  if (sock)
    ev_io_stop (caller->loop, &sock->watcher);
  if (what == CURL_POLL_REMOVE)
    {
      g_free (sock);
      curl_multi_assign (caller->multi, fd, NULL);
      return 0;
    }
  if (!sock)
    {
      sock = g_new0 (socket_t, 1);
      sock->caller = caller;
      curl_multi_assign (caller->multi, fd, sock);
    }
  ev_io_init (&sock->watcher, on_ready, fd,
              (what & CURL_POLL_IN ? EV_READ : 0)
                  | (what & CURL_POLL_OUT ? EV_WRITE : 0));
  sock->watcher.data = sock;
  ev_io_start (caller->loop, &sock->watcher);
  return 0;
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *clientp)
{
  caller_t *caller = clientp;

  (void)multi;
  ev_timer_stop (caller->loop, &caller->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&caller->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (caller->loop, &caller->timer);
  return 0;
}

static void
on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  caller_t *caller = ((socket_t *)watcher->data)->caller;
  int running;
  int mask = (events & EV_READ ? CURL_CSELECT_IN : 0)
             | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void)loop;
  curl_multi_socket_action (caller->multi, watcher->fd, mask, &running);
  collect (caller);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  caller_t *caller = watcher->data;
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (caller->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  collect (caller);
}

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  exchange_t *exchange = ctx;

  g_byte_array_append (exchange->body, (guint8 *)data, (guint)(size * count));
  return size * count;
}

static void
collect (caller_t *caller)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (caller->multi, &left)))
    {
      exchange_t *exchange;
      CURL *easy = message->easy_handle;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, &exchange);
      curl_multi_remove_handle (caller->multi, easy);
      finish (exchange, code);
    }
}

static void
finish (exchange_t *exchange, CURLcode code)
{
  caller_t *caller = exchange->caller;
  struct curl_header *header;
  answer_t answer = { .code = code, .body = exchange->body };
  curl_off_t sent = 0;

  if (!code)
    curl_easy_getinfo (exchange->easy, CURLINFO_RESPONSE_CODE, &answer.status);
  curl_easy_getinfo (exchange->easy, CURLINFO_PRETRANSFER_TIME_T, &sent);
  answer.sent = sent > 0;
  if (!curl_easy_header (exchange->easy, "Limpethinge-Outcome", 0,
                         CURLH_HEADER, -1, &header))
    answer.outcome = header->value;
  if (!curl_easy_header (exchange->easy, "Retry-After", 0, CURLH_HEADER, -1,
                         &header))
    answer.retry_after_s = g_ascii_strtod (header->value, NULL);
  exchange->call.done (exchange->call.ctx, &answer);
  curl_slist_free_all (exchange->call.headers);
  g_byte_array_set_size (exchange->body, 0);
  g_queue_push_head (caller->idle, exchange);
}

/** @file
 * The callers' HTTP interface: latency-critical requests and batch orders.
 */
#include "base/counters.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <inttypes.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_CREATED 201
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_FORBIDDEN 403
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNPROCESSABLE 422
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define MAX_IDEMPOTENCY_KEY_BYTES 128U
#define MAX_LISTED_ORDERS 100U
#define READ_BACK_TIMEOUT (5 * USEC_PER_SEC)
#define ORDER_WAIT_TIMEOUT (20 * USEC_PER_SEC)

/* An authenticated request of a member. */
typedef struct
{
  node_t *node;
  usec_t now;
  const httpd_request_t *http;
  const bundle_t *bundle;
  const member_t *member;
  const char *path_tail; /* of the path, after the route's prefix */
} api_call_t;

typedef struct
{
  const char *method;
  const char *prefix;
  const char *suffix; /* NULL for none */
  void (*handle) (const api_call_t *call);
} route_t;

static void on_head (void *ctx, const httpd_request_t *request);
static void on_request (void *ctx, const httpd_request_t *request);
static const route_t *admit (api_call_t *call);
static void on_abandoned (void *ctx, handle_t handle);
static const route_t *find_route (const httpd_request_t *request);
static const member_t *find_member (node_t *node, const bundle_t *bundle,
                                    handle_t http);
static const work_class_t *
find_class (const api_call_t *call, const char *name, bool latency_critical);
static void handle_run (const api_call_t *call);
static void handle_submit (const api_call_t *call);
static void handle_show (const api_call_t *call);
static void handle_list (const api_call_t *call);
static void handle_wait (const api_call_t *call);
static void handle_cancel (const api_call_t *call);
static const order_t *find_order (const api_call_t *call);
static bool answer_known_key (const api_call_t *call, const char *key,
                              const work_class_t *class_info);
static void answer_order (node_t *node, handle_t http, int status,
                          const order_t *order);
static void append_or_reject (const api_call_t *call, const message_t *entry);
static uint64_t number_header (const api_call_t *call, const char *name,
                               uint64_t fallback);
static void append_order_json (void *ctx, const order_t *order);
static void reject (const api_call_t *call, int status, const char *text);

const httpd_ops_t node_caller_ops
    = { .request = on_request, .abandoned = on_abandoned, .head = on_head };

static const route_t routes[] = {
  { "POST", "/run/", NULL, handle_run },
  { "POST", "/orders", NULL, handle_submit },
  { "GET", "/orders/", "/wait", handle_wait },
  { "GET", "/orders/", NULL, handle_show },
  { "GET", "/orders", NULL, handle_list },
  { "DELETE", "/orders/", NULL, handle_cancel },
};

void
node_order_read_back (node_t *node, uint64_t ticket,
                      order_apply_result_t verdict, order_id_t order)
{
  read_back_waiter_t *waiter = g_hash_table_lookup (node->waiters, &ticket);
  const order_t *found = orders_get (node->orders, order);

  if (!waiter)
    return;
  if (found && verdict != ORDER_IGNORED)
    answer_order (node, waiter->http,
                  verdict == ORDER_APPLIED ? STATUS_CREATED : STATUS_OK,
                  found);
  else
    node_answer_error (node->callers, waiter->http, STATUS_NOT_FOUND,
                       "not-run", 0, "no such order");
  g_hash_table_remove (node->waiters, &ticket);
}

void
node_order_changed (node_t *node, const order_t *order)
{
  if (order->state != ORDER_ENDED)
    return;
  for (guint i = 0; i < node->order_waits->len;)
    {
      order_wait_t *wait = &g_array_index (node->order_waits, order_wait_t, i);

      if (wait->order != order->id)
        {
          i++;
          continue;
        }
      answer_order (node, wait->http, STATUS_OK, order);
      g_array_remove_index_fast (node->order_waits, i);
    }
}

void
node_callers_tick (node_t *node, usec_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->waiters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const read_back_waiter_t *waiter = value;

      if (now < waiter->deadline)
        continue;
      node_answer_error (waiter->is_bundle ? node->operators : node->callers,
                         waiter->http, STATUS_BAD_GATEWAY, "unknown",
                         RETRY_AFTER_LOG_DOWN_S,
                         "the log has not confirmed the entry; ask by key");
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < node->order_waits->len;)
    {
      order_wait_t *wait = &g_array_index (node->order_waits, order_wait_t, i);
      const order_t *order;

      if (now < wait->deadline)
        {
          i++;
          continue;
        }
      order = orders_get (node->orders, wait->order);
      if (order)
        answer_order (node, wait->http, STATUS_OK, order);
      g_array_remove_index_fast (node->order_waits, i);
    }
}

static void
on_head (void *ctx, const httpd_request_t *request)
{
  node_t *node = ctx;
  api_call_t call = { .node = node, .now = clock_now (), .http = request };

  admit (&call);
}

static void
on_request (void *ctx, const httpd_request_t *request)
{
  node_t *node = ctx;
  api_call_t call = { .node = node, .now = clock_now (), .http = request };
  const route_t *route = admit (&call);

  if (route)
    route->handle (&call);
}

/* Completes CALL by the head of its request, or answers that it is refused.
   @return its route, NULL if it is refused */
static const route_t *
admit (api_call_t *call)
{
  node_t *node = call->node;
  const route_t *route = find_route (call->http);

  call->bundle = node_bundle (node);
  if (!route)
    {
      reject (call, STATUS_NOT_FOUND, "no such path or method");
      return NULL;
    }
  if (!call->bundle || node->draining)
    {
      node_answer_error (node->callers, call->http->handle, STATUS_UNAVAILABLE,
                         "not-run", 1,
                         node->draining ? "stopping" : "not ready");
      return NULL;
    }
  call->member = find_member (node, call->bundle, call->http->handle);
  if (!call->member)
    {
      reject (call, STATUS_UNAUTHORIZED, "no such key");
      return NULL;
    }
  call->path_tail = call->http->path + strlen (route->prefix);
  return route;
}

static void
on_abandoned (void *ctx, handle_t handle)
{
  node_t *node = ctx;

  node_lc_abandoned (node, clock_now (), handle);
}

static const route_t *
find_route (const httpd_request_t *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const route_t *route = &routes[i];
      bool is_prefix_route = g_str_has_suffix (route->prefix, "/");

      if (strcmp (route->method, request->method) != 0)
        continue;
      if (is_prefix_route ? !g_str_has_prefix (request->path, route->prefix)
                          : strcmp (request->path, route->prefix) != 0)
        continue;
      if (route->suffix && !g_str_has_suffix (request->path, route->suffix))
        continue;
      return route;
    }
  return NULL;
}

static const member_t *
find_member (node_t *node, const bundle_t *bundle, handle_t http)
{
  static const char scheme[] = "Bearer ";
  const char *header = httpd_header (node->callers, http, "Authorization");

  if (!header || strncmp (header, scheme, sizeof scheme - 1) != 0)
    return NULL;
  return bundle_member_by_key (bundle, blob_of (header + sizeof scheme - 1));
}

static const work_class_t *
find_class (const api_call_t *call, const char *name, bool latency_critical)
{
  const work_class_t *class_info
      = name ? bundle_class (call->bundle, name) : NULL;

  if (!class_info || class_info->latency_critical != latency_critical
      || !member_may_send (call->member, name))
    {
      reject (call, STATUS_FORBIDDEN, "class not allowed for this member");
      return NULL;
    }
  return class_info;
}

static void
handle_run (const api_call_t *call)
{
  const work_class_t *class_info = find_class (call, call->path_tail, true);
  lc_request_t lc = { .http = call->http->handle };

  if (!class_info)
    return;
  lc.class_name = g_strdup (class_info->name);
  lc.member = g_strdup (call->member->name);
  lc.body = g_bytes_new (call->http->body.data, call->http->body.len);
  lc.deadline = call->now + class_info->deadline;
  node_lc_submit (call->node, call->now, &lc, class_info, call->member, 0);
}

static void
handle_submit (const api_call_t *call)
{
  node_t *node = call->node;
  handle_t http = call->http->handle;
  const char *key = httpd_header (node->callers, http, "Idempotency-Key");
  const work_class_t *class_info = find_class (
      call, httpd_header (node->callers, http, "Limpethinge-Class"), false);
  message_t entry = { .type = MSG_ORDER_ACCEPT };
  msg_order_accept_t *accept = &entry.u.order_accept;

  if (!class_info)
    return;
  if (!key || !*key || strlen (key) > MAX_IDEMPOTENCY_KEY_BYTES)
    {
      reject (call, STATUS_BAD_REQUEST, "Idempotency-Key of 1 to 128 bytes");
      return;
    }
  if (answer_known_key (call, key, class_info))
    return;
  accept->order = node_new_id (node);
  accept->member = blob_of (call->member->name);
  accept->key = blob_of (key);
  accept->class_name = blob_of (class_info->name);
  accept->team = blob_of (call->member->team ? call->member->team : "");
  accept->millicores
      = number_header (call, "Limpethinge-Millicores", class_info->millicores);
  accept->memory_mb
      = number_header (call, "Limpethinge-Memory-Mb", class_info->memory_mb);
  accept->accelerators = number_header (call, "Limpethinge-Accelerators",
                                        class_info->accelerators);
  accept->declared_ms = number_header (call, "Limpethinge-Declared-Ms", 0);
  accept->urgent = number_header (call, "Limpethinge-Urgent", 0) != 0;
  accept->body = call->http->body;
  append_or_reject (call, &entry);
}

/* Answers a repeated idempotency key with its order, or with an error if the
   class or the body differ from the first use. */
static bool
answer_known_key (const api_call_t *call, const char *key,
                  const work_class_t *class_info)
{
  const order_t *known
      = orders_by_key (call->node->orders, call->member->name, key);

  if (!known)
    return false;
  if (strcmp (known->class_name, class_info->name) != 0
      || known->body_digest != orders_body_digest (call->http->body))
    reject (call, STATUS_UNPROCESSABLE,
            "key was used for another class or body");
  else
    answer_order (call->node, call->http->handle, STATUS_OK, known);
  return true;
}

static void
append_or_reject (const api_call_t *call, const message_t *entry)
{
  node_t *node = call->node;
  uint64_t ticket = 0;
  uint64_t *key;
  read_back_waiter_t *waiter;

  if (journal_healthy (node->journal))
    ticket = journal_put (node->journal, call->now, entry, false);
  if (!ticket)
    {
      node_answer_error (node->callers, call->http->handle, STATUS_UNAVAILABLE,
                         "not-run", RETRY_AFTER_LOG_DOWN_S,
                         "the log cannot be reached");
      return;
    }
  key = g_new (uint64_t, 1);
  *key = ticket;
  waiter = g_new0 (read_back_waiter_t, 1);
  waiter->http = call->http->handle;
  waiter->deadline = call->now + READ_BACK_TIMEOUT;
  g_hash_table_insert (node->waiters, key, waiter);
  node_wake (node);
}

static void
handle_show (const api_call_t *call)
{
  const order_t *order = find_order (call);

  if (order)
    answer_order (call->node, call->http->handle, STATUS_OK, order);
}

static void
handle_list (const api_call_t *call)
{
  const char *key
      = httpd_query (call->node->callers, call->http->handle, "key");
  json_t *list = json_array ();

  if (key)
    {
      const order_t *order
          = orders_by_key (call->node->orders, call->member->name, key);

      if (order)
        append_order_json (list, order);
    }
  else
    orders_each_of_member (call->node->orders, call->member->name,
                           MAX_LISTED_ORDERS, append_order_json, list);
  node_answer_json (call->node->callers, call->http->handle, STATUS_OK, NULL,
                    0, list);
}

static void
handle_wait (const api_call_t *call)
{
  const order_t *order = find_order (call);
  order_wait_t wait = { .http = call->http->handle,
                        .deadline = call->now + ORDER_WAIT_TIMEOUT };

  if (!order)
    return;
  if (order->state == ORDER_ENDED)
    {
      answer_order (call->node, call->http->handle, STATUS_OK, order);
      return;
    }
  wait.order = order->id;
  g_array_append_val (call->node->order_waits, wait);
}

static void
handle_cancel (const api_call_t *call)
{
  const order_t *order = find_order (call);
  message_t entry = { .type = MSG_ORDER_CANCEL };

  if (!order)
    return;
  if (order->state == ORDER_ENDED || order->cancelled)
    {
      answer_order (call->node, call->http->handle, STATUS_OK, order);
      return;
    }
  entry.u.order_cancel.order = order->id;
  entry.u.order_cancel.member = blob_of (order->member);
  append_or_reject (call, &entry);
}

static const order_t *
find_order (const api_call_t *call)
{
  const order_t *order;
  char *end = NULL;
  order_id_t id = g_ascii_strtoull (call->path_tail, &end, 16);

  if (*end && strcmp (end, "/wait") != 0)
    id = 0;
  order = orders_get_of_member (call->node->orders, id, call->member->name);
  if (!order)
    reject (call, STATUS_NOT_FOUND, "no such order");
  return order;
}

static void
answer_order (node_t *node, handle_t http, int status, const order_t *order)
{
  const char *outcome
      = order->state == ORDER_ENDED ? outcome_name (order->outcome) : NULL;

  node_answer_json (node->callers, http, status, outcome, 0,
                    order_to_json (order));
}

static uint64_t
number_header (const api_call_t *call, const char *name, uint64_t fallback)
{
  const char *text
      = httpd_header (call->node->callers, call->http->handle, name);
  guint64 number;

  if (!text
      || !g_ascii_string_to_unsigned (text, 10, 0, UINT32_MAX, &number, NULL))
    return fallback;
  return number;
}

static void
append_order_json (void *ctx, const order_t *order)
{
  json_array_append_new (ctx, order_to_json (order));
}

static void
reject (const api_call_t *call, int status, const char *text)
{
  counter_add (COUNTER_HTTP_REFUSED, 1);
  node_answer_error (call->node->callers, call->http->handle, status,
                     "not-run", 0, text);
}

/** @file
 * The operators' HTTP interface: status, dump, counters, roll and drain.
 */
#include "base/counters.h"
#include "base/log.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <inttypes.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNPROCESSABLE 422
#define STATUS_UNAVAILABLE 503
#define ROLL_TIMEOUT (8 * USEC_PER_SEC)

typedef struct
{
  const char *method;
  const char *path;
  void (*handle) (node_t *node, const httpd_request_t *request);
} route_t;

static void on_head (void *ctx, const httpd_request_t *request);
static void on_request (void *ctx, const httpd_request_t *request);
static const route_t *find_route (node_t *node,
                                  const httpd_request_t *request);
static void show_status (node_t *node, const httpd_request_t *request);
static void show_dump (node_t *node, const httpd_request_t *request);
static void show_counters (node_t *node, const httpd_request_t *request);
static void handle_roll (node_t *node, const httpd_request_t *request);
static void handle_drain (node_t *node, const httpd_request_t *request);
static json_t *status_json (node_t *node, usec_t now);
static json_t *shards_json (node_t *node, usec_t now);
static json_t *peers_json (node_t *node);
static bool reject_invalid_roll (node_t *node, const httpd_request_t *request,
                                 const msg_bundle_t *entry);
static void set_gauges (node_t *node, usec_t now);

const httpd_ops_t node_operator_ops
    = { .request = on_request, .head = on_head };

static const route_t routes[] = {
  { "GET", "/status", show_status },     { "GET", "/dump", show_dump },
  { "GET", "/counters", show_counters }, { "POST", "/roll", handle_roll },
  { "POST", "/drain", handle_drain },
};

void
node_bundle_read_back (node_t *node, uint64_t ticket, int code,
                       const err_t *err)
{
  read_back_waiter_t *waiter = g_hash_table_lookup (node->waiters, &ticket);
  const bundle_t *bundle = bundle_store_current (node->bundles);
  json_int_t version = bundle ? (json_int_t)bundle->version : 0;

  if (!waiter)
    return;
  if (code == 0)
    node_answer_json (node->operators, waiter->http, STATUS_OK, NULL, 0,
                      json_pack ("{s:I}", "version", version));
  else if (code == -ESTALE)
    node_answer_json (node->operators, waiter->http, STATUS_CONFLICT, NULL, 0,
                      json_pack ("{s:I, s:s}", "version", version, "error",
                                 "another bundle was rolled first"));
  else
    node_answer_error (node->operators, waiter->http, STATUS_UNPROCESSABLE,
                       NULL, 0, err->text);
  g_hash_table_remove (node->waiters, &ticket);
}

static void
on_head (void *ctx, const httpd_request_t *request)
{
  find_route (ctx, request);
}

static void
on_request (void *ctx, const httpd_request_t *request)
{
  const route_t *route = find_route (ctx, request);

  if (route)
    route->handle (ctx, request);
}

/* Answers that there is none. */
static const route_t *
find_route (node_t *node, const httpd_request_t *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].method, request->method) == 0
        && strcmp (routes[i].path, request->path) == 0)
      return &routes[i];
  counter_add (COUNTER_HTTP_REFUSED, 1);
  node_answer_error (node->operators, request->handle, STATUS_NOT_FOUND, NULL,
                     0, "no such path or method");
  return NULL;
}

static void
show_status (node_t *node, const httpd_request_t *request)
{
  node_answer_json (node->operators, request->handle, STATUS_OK, NULL, 0,
                    status_json (node, clock_now ()));
}

static void
show_dump (node_t *node, const httpd_request_t *request)
{
  usec_t now = clock_now ();
  json_t *dump = status_json (node, now);

  json_object_set_new (dump, "journal", journal_dump (node->journal, now));
  json_object_set_new (dump, "claims", claims_dump (node->claims, now));
  json_object_set_new (dump, "limits", limits_dump (node->limits));
  json_object_set_new (dump, "routing", routing_dump (node->routing, now));
  json_object_set_new (dump, "attempts", attempts_dump (node->attempts, now));
  json_object_set_new (dump, "placement", placement_dump (node->placement));
  json_object_set_new (
      dump, "orders",
      json_pack (
          "{s:I, s:I, s:I}", "waiting",
          (json_int_t)orders_count (node->orders, ORDER_WAITING), "started",
          (json_int_t)orders_count (node->orders, ORDER_STARTED), "ended",
          (json_int_t)orders_count (node->orders, ORDER_ENDED)));
  node_answer_json (node->operators, request->handle, STATUS_OK, NULL, 0,
                    dump);
}

static void
show_counters (node_t *node, const httpd_request_t *request)
{
  g_autofree char *text = NULL;
  httpd_answer_t answer
      = { .status = STATUS_OK, .content_type = "text/plain; version=0.0.4" };

  set_gauges (node, clock_now ());
  text = counters_text ();
  answer.body = blob_of (text);
  httpd_answer (node->operators, request->handle, &answer);
}

static void
set_gauges (node_t *node, usec_t now)
{
  uint32_t shards = settings_shard_count (node->settings);
  const bundle_t *bundle = bundle_store_current (node->bundles);
  uint64_t owned = 0;

  for (uint32_t shard = 0; shard < shards; shard++)
    owned += node_may_act (node, now, shard);
  counter_set (COUNTER_OWNED_SHARDS, owned);
  counter_set (COUNTER_BUNDLE_VERSION, bundle ? bundle->version : 0);
  counter_set (COUNTER_QUEUED, routing_queued (node->routing));
  counter_set (COUNTER_IN_FLIGHT, table_count (node->lc_requests));
}

static void
handle_roll (node_t *node, const httpd_request_t *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  json_int_t version = 0;
  json_int_t parent = 0;
  const char *text = NULL;
  const char *signature = NULL;
  message_t entry = { .type = MSG_BUNDLE };
  uint64_t ticket;

  if (json_unpack (body, "{s:I, s:I, s:s, s:s}", "version", &version, "parent",
                   &parent, "text", &text, "signature", &signature)
      || version <= 0 || parent < 0)
    {
      node_answer_error (node->operators, request->handle, STATUS_BAD_REQUEST,
                         NULL, 0, "not {version, parent, text, signature}");
      json_decref (body);
      return;
    }
  entry.u.bundle.version = (uint64_t)version;
  entry.u.bundle.parent = (uint64_t)parent;
  entry.u.bundle.text = blob_of (text);
  entry.u.bundle.signature = blob_of (signature);
  if (!reject_invalid_roll (node, request, &entry.u.bundle))
    {
      ticket = journal_put (node->journal, clock_now (), &entry, true);
      if (ticket)
        {
          read_back_waiter_t *waiter = g_new0 (read_back_waiter_t, 1);

          waiter->is_bundle = true;
          waiter->http = request->handle;
          waiter->deadline = clock_now () + ROLL_TIMEOUT;
          g_hash_table_insert (node->waiters,
                               g_memdup2 (&ticket, sizeof ticket), waiter);
        }
      else
        node_answer_error (node->operators, request->handle,
                           STATUS_UNAVAILABLE, NULL, RETRY_AFTER_LOG_DOWN_S,
                           "the log cannot be reached");
      node_wake (node);
    }
  json_decref (body);
}

/* Checks a bundle before it is appended, as every reader of the log will.
   Returns true if the operator was answered with an error. */
static bool
reject_invalid_roll (node_t *node, const httpd_request_t *request,
                     const msg_bundle_t *entry)
{
  const bundle_t *current = bundle_store_current (node->bundles);
  err_t err = { 0 };
  int code;

  if (!journal_healthy (node->journal))
    {
      node_answer_error (node->operators, request->handle, STATUS_UNAVAILABLE,
                         NULL, RETRY_AFTER_LOG_DOWN_S,
                         "the log cannot be reached");
      return true;
    }
  code = bundle_store_check_roll (node->bundles, entry, &err);
  if (code == -ESTALE)
    node_answer_json (
        node->operators, request->handle, STATUS_CONFLICT, NULL, 0,
        json_pack ("{s:I, s:s}", "version",
                   current ? (json_int_t)current->version : (json_int_t)0,
                   "error", err.text));
  else if (code)
    node_answer_error (node->operators, request->handle, STATUS_UNPROCESSABLE,
                       NULL, 0, err.text);
  return code != 0;
}

static void
handle_drain (node_t *node, const httpd_request_t *request)
{
  node_start_drain (node, "operator asked");
  node_answer_json (node->operators, request->handle, STATUS_ACCEPTED, NULL, 0,
                    json_pack ("{s:b}", "draining", 1));
}

static json_t *
status_json (node_t *node, usec_t now)
{
  const bundle_t *bundle = bundle_store_current (node->bundles);
  char incarnation[32];

  g_snprintf (incarnation, sizeof incarnation, "%016" PRIx64,
              node->incarnation);
  return json_pack (
      "{s:i, s:s, s:s, s:s, s:b, s:b, s:I, s:{s:I, s:b}, s:o, s:o}", "node",
      (int)node->settings->node, "version", VERSION, "incarnation",
      incarnation, "zone", node->settings->zones[node->settings->zone],
      "ready", node_bundle (node) != NULL, "draining", node->draining,
      "bundle", bundle ? (json_int_t)bundle->version : (json_int_t)0, "log",
      "offset", (json_int_t)journal_offset (node->journal), "healthy",
      journal_healthy (node->journal), "shards", shards_json (node, now),
      "peers", peers_json (node));
}

static json_t *
shards_json (node_t *node, usec_t now)
{
  json_t *list = json_array ();
  uint32_t shards = settings_shard_count (node->settings);

  for (uint32_t shard = 0; shard < shards; shard++)
    json_array_append_new (
        list, json_pack ("{s:i, s:i, s:I, s:b}", "shard", (int)shard, "owner",
                         (int)claims_owner (node->claims, shard), "epoch",
                         (json_int_t)claims_epoch (node->claims, shard),
                         "active", node_may_act (node, now, shard)));
  return list;
}

static json_t *
peers_json (node_t *node)
{
  static const char *const state_names[]
      = { "unknown", "live", "suspect", "ended" };
  const peer_t *peers[PEERS_MAX];
  size_t count = peers_list (node->peers, peers, PEERS_MAX);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{s:i, s:s, s:I}", "node", (int)peers[i]->node,
                         "state", state_names[peers[i]->state], "bundle",
                         (json_int_t)peers[i]->bundle_version));
  return list;
}

/** @file
 * Batch orders: calls to workers, choice of the node that places an order,
 * team quotas.
 */
#include "base/counters.h"
#include "base/log.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#define WORKER_CALL_TIMEOUT (2 * USEC_PER_SEC)
#define TASK_LEASE (10 * USEC_PER_SEC)
#define TASK_RENEW_INTERVAL (3 * USEC_PER_SEC)
#define WORKER_POLL_INTERVAL (500 * USEC_PER_MSEC)
#define IDLE_WORKER_POLL_INTERVAL (2 * USEC_PER_SEC)
#define WORKER_SILENT_AFTER (5 * USEC_PER_SEC)
#define CALL_RETRY_DELAY (500 * USEC_PER_MSEC)
#define PLACEMENT_INTERVAL (20 * USEC_PER_MSEC)
/* Time for which one node may place a waiting order; then it is the turn of
   the next node by rank. */
#define TURN_INTERVAL (500 * USEC_PER_MSEC)
#define MAX_FAILED_ATTEMPTS 3U
/* Callers may rely on fewer than three starts after three crashes. */
#define MAX_EARLY_LOSSES 5U
#define URL_BYTES 256
#define HEADER_BYTES 64

/* An HTTP call to a worker under way. */
typedef struct
{
  node_t *node;
  uint64_t id;
  worker_call_kind_t kind;
} worker_http_call_t;

/* Millicores of a team's quota that a started order uses. */
typedef struct
{
  char *team;
  uint64_t millicores;
} quota_reservation_t;

static void call_worker (void *ctx, const worker_call_t *call);
static void on_worker_answer (void *ctx, const http_answer_t *answer);
static bool may_act (void *ctx, uint32_t shard, uint64_t *epoch);
static uint64_t append_entry (void *ctx, usec_t now, const message_t *entry);
static bool is_turn (void *ctx, usec_t now, const order_t *order);
static bool never_fits (void *ctx, const order_t *order);
static retry_rules_t class_rules (void *ctx, const char *class_name);
static void apply_relief (void *ctx, usec_t now, const char *worker,
                          uint64_t order, uint64_t attempt,
                          relief_action_t relief);
static size_t rank_live_nodes (const node_t *node, order_id_t order,
                               node_id_t *out);
static bool within_quota (const node_t *node, const order_t *order);
static void reserve_quota (node_t *node, const order_t *order);
static void release_quota (node_t *node, order_id_t order);
static void add_team_usage (node_t *node, const char *team,
                            int64_t millicores);
static void quota_reservation_free (void *data);

static const attempts_ops_t attempts_ops
    = { call_worker, may_act, append_entry, is_turn, never_fits, class_rules };
static const placement_ops_t placement_ops = { apply_relief };

void
node_batch_init (node_t *node)
{
  static const attempts_config_t config
      = { .lease = TASK_LEASE,
          .renew_interval = TASK_RENEW_INTERVAL,
          .poll_interval = WORKER_POLL_INTERVAL,
          .idle_poll_interval = IDLE_WORKER_POLL_INTERVAL,
          .silence_timeout = WORKER_SILENT_AFTER,
          .retry_interval = CALL_RETRY_DELAY,
          .placement_interval = PLACEMENT_INTERVAL,
          .turn_check_interval = TURN_INTERVAL,
          .max_failures = MAX_FAILED_ATTEMPTS,
          .max_early_losses = MAX_EARLY_LOSSES };

  node->placement = placement_new (node->random, &placement_ops, node);
  node->attempts = attempts_new (&config, &attempts_ops, node, node->orders,
                                 node->placement);
  node->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->quota_reservations = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, quota_reservation_free);
  node->team_used_millicores
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
node_batch_free (node_t *node)
{
  if (!node->attempts)
    return;
  attempts_free (node->attempts);
  placement_free (node->placement);
  g_hash_table_destroy (node->workers);
  g_hash_table_destroy (node->quota_reservations);
  g_hash_table_destroy (node->team_used_millicores);
}

void
node_batch_order_changed (node_t *node, usec_t now, const order_t *order)
{
  if (order->state == ORDER_STARTED)
    reserve_quota (node, order);
  else
    release_quota (node, order->id);
  attempts_order_changed (node->attempts, now, order);
}

bool
node_ranks_first (const node_t *node, order_id_t order)
{
  node_id_t ranked[PEERS_MAX + 1];

  return rank_live_nodes (node, order, ranked)
         && ranked[0] == node->settings->node;
}

static void
call_worker (void *ctx, const worker_call_t *call)
{
  node_t *node = ctx;
  const worker_t *worker = g_hash_table_lookup (node->workers, call->worker);
  worker_http_call_t *http = g_new0 (worker_http_call_t, 1);
  g_autofree char *path = worker_call_path (call);
  char *body = worker_call_json (call);
  char url[URL_BYTES];
  char shard[HEADER_BYTES];
  char epoch[HEADER_BYTES];
  const char *headers[] = { shard, epoch, NULL };
  http_request_t request = { .method = body ? "POST" : "GET",
                             .url = url,
                             .headers = headers,
                             .body = blob_of (body ? body : ""),
                             .timeout = WORKER_CALL_TIMEOUT,
                             .new_connection = call->kind == CALL_START };

  http->node = node;
  http->id = call->id;
  http->kind = call->kind;
  g_snprintf (shard, sizeof shard, "Limpethinge-Shard: %u", call->shard);
  g_snprintf (epoch, sizeof epoch, "Limpethinge-Epoch: %" PRIu64, call->epoch);
  g_snprintf (url, sizeof url, "http://%s%s",
              worker ? worker->address : "0.0.0.0:1", path);
  http_client_send (node->upstreams, &request, on_worker_answer, http);
  free (body);
}

static void
on_worker_answer (void *ctx, const http_answer_t *answer)
{
  static const reply_outcome_t ends[] = { [HTTP_ANSWERED] = REPLY_ANSWERED,
                                          [HTTP_NOT_SENT] = REPLY_NOT_SENT,
                                          [HTTP_INCOMPLETE] = REPLY_LOST };
  worker_http_call_t *http = ctx;
  node_t *node = http->node;
  GArray *reports = g_array_new (FALSE, TRUE, sizeof (attempt_report_t));
  worker_reply_t reply = { .outcome = ends[answer->transfer_result],
                           .status = answer->status,
                           .leaving = answer->leaving };
  json_t *body = NULL;

  if (answer->transfer_result == HTTP_ANSWERED)
    {
      body = worker_reports_parse (answer->body, reports);
      if (!body && http->kind == CALL_LIST)
        reply.outcome = REPLY_LOST;
    }
  if (body)
    {
      reply.reports = (const attempt_report_t *)(void *)reports->data;
      reply.count = reports->len;
    }
  attempts_handle_reply (node->attempts, clock_now (), http->id, &reply);
  json_decref (body);
  g_array_free (reports, TRUE);
  g_free (http);
  node_wake (node);
}

static bool
may_act (void *ctx, uint32_t shard, uint64_t *epoch)
{
  node_t *node = ctx;

  return claims_may_act (node->claims, clock_now (), shard, epoch);
}

static uint64_t
append_entry (void *ctx, usec_t now, const message_t *entry)
{
  node_t *node = ctx;

  node_wake (node);
  return journal_put (node->journal, now, entry, false);
}

/* Nodes take turns by their rank for the order, so that two of them seldom
   start the same order; if they do, the first ORDER_START in the log is the
   valid one. */
static bool
is_turn (void *ctx, usec_t now, const order_t *order)
{
  node_t *node = ctx;
  node_id_t ranked[PEERS_MAX + 1];
  size_t count;
  usec_t age = MAX (now - order->accepted_at, 0);

  if (node->draining || !node_bundle (node))
    return false;
  if (!order->cancelled && !within_quota (node, order))
    return false;
  count = rank_live_nodes (node, order->id, ranked);
  return count
         && ranked[(size_t)(age / TURN_INTERVAL) % count]
                == node->settings->node;
}

/* Fills OUT with this node and the live peers that do not drain, by descending
   rendezvous weight for an order.  Returns their number. */
static size_t
rank_live_nodes (const node_t *node, order_id_t order, node_id_t *out)
{
  const peer_t *peers[PEERS_MAX];
  uint64_t weights[PEERS_MAX + 1];
  size_t known = peers_list (node->peers, peers, PEERS_MAX);
  size_t count = 0;

  for (size_t i = 0; i <= known; i++)
    {
      node_id_t id = i < known ? peers[i]->node : node->settings->node;
      uint64_t seed[2] = { order, id };
      uint64_t weight = XXH64 (seed, sizeof seed, 0);
      size_t place = count;

      if (i < known && (peers[i]->state != PEER_LIVE || peers[i]->draining))
        continue;
      for (; place && weights[place - 1] < weight; place--)
        {
          weights[place] = weights[place - 1];
          out[place] = out[place - 1];
        }
      weights[place] = weight;
      out[place] = id;
      count++;
    }
  return count;
}

static bool
never_fits (void *ctx, const order_t *order)
{
  node_t *node = ctx;
  GHashTableIter iter;
  gpointer value;

  if (!g_hash_table_size (node->workers))
    return false;
  g_hash_table_iter_init (&iter, node->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      if (order->millicores <= worker->millicores
          && order->memory_mb <= worker->memory_mb
          && order->accelerators <= worker->accelerators)
        return false;
    }
  return true;
}

static retry_rules_t
class_rules (void *ctx, const char *class_name)
{
  node_t *node = ctx;
  const bundle_t *bundle = node_bundle (node);
  const work_class_t *class_info
      = bundle ? bundle_class (bundle, class_name) : NULL;
  retry_rules_t rules = { false, false };

  if (class_info)
    {
      rules.idempotent = class_info->idempotent;
      rules.resumable = class_info->resumable;
    }
  return rules;
}

static void
apply_relief (void *ctx, usec_t now, const char *worker, uint64_t order,
              uint64_t attempt, relief_action_t relief)
{
  node_t *node = ctx;

  attempts_relieve (node->attempts, now, worker, order, attempt, relief);
}

/* The order table holds the started orders of the whole site, not only those
   on workers of this process, so quotas apply site-wide.  Nodes that start
   tasks at the same moment may exceed a quota by one task each. */
static bool
within_quota (const node_t *node, const order_t *order)
{
  const bundle_t *bundle = node_bundle (node);
  const int64_t *used
      = g_hash_table_lookup (node->team_used_millicores, order->team);

  for (guint i = 0; bundle && i < bundle->teams->len; i++)
    {
      const team_t *team = bundle->teams->pdata[i];

      if (strcmp (team->name, order->team) == 0 && team->millicores)
        return (uint64_t)(used ? *used : 0) + order->millicores
               <= team->millicores;
    }
  return true;
}

static void
reserve_quota (node_t *node, const order_t *order)
{
  quota_reservation_t *reservation;

  if (g_hash_table_contains (node->quota_reservations, &order->id))
    return;
  reservation = g_new0 (quota_reservation_t, 1);
  reservation->team = g_strdup (order->team);
  reservation->millicores = order->millicores;
  g_hash_table_insert (node->quota_reservations,
                       g_memdup2 (&order->id, sizeof order->id), reservation);
  add_team_usage (node, reservation->team, (int64_t)reservation->millicores);
}

static void
release_quota (node_t *node, order_id_t order)
{
  const quota_reservation_t *reservation
      = g_hash_table_lookup (node->quota_reservations, &order);

  if (!reservation)
    return;
  add_team_usage (node, reservation->team, -(int64_t)reservation->millicores);
  g_hash_table_remove (node->quota_reservations, &order);
}

static void
add_team_usage (node_t *node, const char *team, int64_t millicores)
{
  int64_t *used = g_hash_table_lookup (node->team_used_millicores, team);

  if (!used)
    {
      used = g_new0 (int64_t, 1);
      g_hash_table_insert (node->team_used_millicores, g_strdup (team), used);
    }
  *used += millicores;
}

static void
quota_reservation_free (void *data)
{
  quota_reservation_t *reservation = data;

  g_free (reservation->team);
  g_free (reservation);
}

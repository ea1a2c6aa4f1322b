/** @file
 * The entry process: start, timers and planned stop.
 */
#include "node/node.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/signals.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <sodium.h>
#include <string.h>

#define LOOP_SLEEP_MAX (100 * USEC_PER_MSEC)
#define LOOP_SLEEP_MIN (1 * USEC_PER_MSEC)
/* Interval of routing_tick while requests are open: it gives up requests past
   their deadline and decides on load reports. */
#define LOOP_SLEEP_BUSY (5 * USEC_PER_MSEC)
#define DRAIN_TIMEOUT (30 * USEC_PER_SEC)
#define LEAVE_TIMEOUT (3 * USEC_PER_SEC)
/* Least time between the append of LEAVE and the close of the callers' port.
   Clients reuse open connections; most of them get an answer that closes
   theirs within this time. */
#define CONNECTION_CLOSE_GRACE (500 * USEC_PER_MSEC)
/* Time for requests on connections accepted just before the port closed. */
#define QUIESCE_GRACE (100 * USEC_PER_MSEC)
#define JOURNAL_RETRY_DELAY_MIN (100 * USEC_PER_MSEC)
#define JOURNAL_RETRY_DELAY_MAX (1 * USEC_PER_SEC)
#define JOURNAL_POLL_WAIT_MS 400U
#define JOURNAL_MAX_RECORD_BYTES (512U << 10)
#define JOURNAL_MAX_QUEUE_BYTES (32U << 20)
#define JOURNAL_MAX_READ_RECORDS 1000U
#define ROUTING_RETRY_DELAY_MIN (20 * USEC_PER_MSEC)
#define ROUTING_RETRY_BUDGET_PERCENT 10U
#define CLAIM_RETRY_DELAY (500 * USEC_PER_MSEC)
#define OPERATOR_MAX_CONNECTIONS 64U
#define OPERATOR_MAX_BODY_BYTES (1U << 20)
#define CALLER_BUDGET_BYTES (32U << 20)
#define CALLER_BACKLOG 1024U
/* The kernel doubles it.  Unread bytes count as memory of the process. */
#define RECEIVE_BUFFER_BYTES 16384U
/* The state dump may have megabytes. */
#define OPERATOR_BUDGET_BYTES (8U << 20)
#define OPERATOR_BACKLOG 64U

static int node_start (node_t *node, err_t *err);
static void node_init_modules (node_t *node);
static int node_init_sockets (node_t *node, err_t *err);
static void node_init_watchers (node_t *node);
static void node_free (node_t *node);
static void add_configured_peers (node_t *node);
static void on_timer (EV_P_ ev_timer *timer, int events);
static void on_prepare (EV_P_ ev_prepare *prepare, int events);
static void on_signal (EV_P_ ev_signal *signal, int events);
/* B is USEC_NEVER if a module has nothing due. */
static usec_t earlier (usec_t a, usec_t b);
static usec_t run_ticks (node_t *node, usec_t now);
static void report_log_health (node_t *node);
static void drain_tick (node_t *node, usec_t now);
static bool shards_released (node_t *node, usec_t now);
static void on_order_changed (void *ctx, usec_t now, const order_t *order);
static uint64_t shard_epoch (void *ctx, uint32_t shard);

static const orders_ops_t orders_ops = { on_order_changed, shard_epoch };

int
node_main (const settings_t *settings)
{
  node_t *node = g_new0 (node_t, 1);
  err_t err = { 0 };
  int code;

  node->settings = settings;
  code = node_start (node, &err);
  if (code)
    {
      log_err (LOG_LEVEL_ERR, &err);
      node_free (node);
      return code;
    }
  log_line (LOG_LEVEL_NOTICE, "start", NULL, "node %u started, version %s",
            settings->node, VERSION);
  ev_run (node->loop, 0);
  log_line (LOG_LEVEL_NOTICE, "stop", NULL, "node %u stopped", settings->node);
  node_free (node);
  return 0;
}

void
node_wake (node_t *node)
{
  node->ticks_due = true;
}

uint64_t
node_new_id (node_t *node)
{
  /* The multiplier is odd, so that the products do not repeat within 2^64
     calls; it is 2^64 divided by the golden ratio. */
  node->next_id++;
  return (node->incarnation ^ node->next_id * 0x9e3779b97f4a7c15ULL) | 1U;
}

bool
node_may_act (node_t *node, usec_t now, uint32_t shard)
{
  uint64_t epoch;

  return claims_may_act (node->claims, now, shard, &epoch);
}

void
node_start_drain (node_t *node, const char *why)
{
  if (node->draining)
    return;
  node->draining = true;
  node->drain_deadline = clock_now () + DRAIN_TIMEOUT;
  log_line (LOG_LEVEL_NOTICE, "drain", NULL, "planned stop started: %s", why);
  /* USEC_NEVER precedes every time, so the next tick answers all callers that
     wait for an order. */
  for (guint i = 0; i < node->order_waits->len; i++)
    g_array_index (node->order_waits, order_wait_t, i).deadline = USEC_NEVER;
  httpd_close_connections (node->callers);
  claims_drain (node->claims);
  node_update_candidates (node, clock_now ());
  node_wake (node);
}

const bundle_t *
node_bundle (const node_t *node)
{
  /* Until the log has been read to its end, the bundle read from it may be
     superseded. */
  if (!journal_ready (node->journal) && !node->bundle_known)
    return NULL;
  return bundle_store_current (node->bundles);
}

void
node_bundle_changed (node_t *node)
{
  const bundle_t *bundle = bundle_store_current (node->bundles);

  if (!bundle || bundle->version == node->logged_bundle_version)
    return;
  node->logged_bundle_version = bundle->version;
  log_line (LOG_LEVEL_NOTICE, "bundle", NULL, "version %lu in force",
            (unsigned long)bundle->version);
  routing_refresh (node->routing, clock_now ());
  node_wake (node);
}

void
node_answer_json (httpd_t *httpd, handle_t http, int status,
                  const char *outcome, uint32_t retry_after_s, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  httpd_answer_t answer = { .status = status,
                            .outcome = outcome,
                            .retry_after_s = retry_after_s,
                            .body = blob_of (text ? text : "") };

  httpd_answer (httpd, http, &answer);
  free (text);
  json_decref (body);
}

void
node_answer_error (httpd_t *httpd, handle_t http, int status,
                   const char *outcome, uint32_t retry_after_s,
                   const char *text)
{
  json_t *body = json_pack ("{s:s}", "error", text);

  if (outcome)
    json_object_set_new (body, "outcome", json_string (outcome));
  node_answer_json (httpd, http, status, outcome, retry_after_s, body);
}

static int
node_start (node_t *node, err_t *err)
{
  int code;

  if (sodium_init () < 0)
    return err_set (err, -EIO, "start", NULL, "cannot initialize libsodium");
  node->loop = ev_default_loop (0);
  randombytes_buf (&node->incarnation, sizeof node->incarnation);
  node->random = g_rand_new_with_seed (randombytes_random ());
  node->bundle_due = USEC_NEVER;
  node_init_modules (node);
  code = node_init_sockets (node, err);
  if (code)
    return code;
  add_configured_peers (node);
  node_init_watchers (node);
  return 0;
}

static void
node_init_modules (node_t *node)
{
  const settings_t *settings = node->settings;
  journal_config_t journal
      = { .group_interval = settings->journal_group_interval,
          .retry_min = JOURNAL_RETRY_DELAY_MIN,
          .retry_max = JOURNAL_RETRY_DELAY_MAX,
          .poll_wait_ms = JOURNAL_POLL_WAIT_MS,
          .max_record_bytes = JOURNAL_MAX_RECORD_BYTES,
          .max_queue_bytes = JOURNAL_MAX_QUEUE_BYTES,
          .max_read_records = JOURNAL_MAX_READ_RECORDS };
  peers_config_t peers = { .node = settings->node,
                           .incarnation = node->incarnation,
                           .zone = settings->zone,
                           .heartbeat_interval = settings->heartbeat,
                           .suspect_after = settings->suspect_after,
                           .list_lag = settings->list_lag };
  claims_config_t claims = { .node = settings->node,
                             .incarnation = node->incarnation,
                             .zone = settings->zone,
                             .shard_count = settings_shard_count (settings),
                             .lease = settings->lease,
                             .drain_time = settings->drain,
                             .list_lag = settings->list_lag,
                             .claim_retry_delay = CLAIM_RETRY_DELAY };
  routing_config_t routing = { .zone = settings->zone,
                               .max_queue = settings->max_queued_requests,
                               .retry_min = ROUTING_RETRY_DELAY_MIN,
                               .retry_percent = ROUTING_RETRY_BUDGET_PERCENT };

  node->journal
      = journal_new (&journal, node->incarnation, &node_journal_ops, node);
  node->peers = peers_new (&peers, &node_peers_ops, node);
  node->claims = claims_new (&claims, &node_claims_ops, node);
  node->limits = limits_new ();
  node->routing = routing_new (&routing, node->limits, node->random,
                               &node_routing_ops, node);
  node->orders = orders_new (&orders_ops, node);
  node->bundles = bundle_store_new (settings->signers, settings->signer_count);
  node_batch_init (node);
  node->lc_requests = table_new (sizeof (lc_request_t));
  node->forwards
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  node->unsent = g_array_new (FALSE, FALSE, sizeof (unsent_t));
  node->waiters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  node->order_waits = g_array_new (FALSE, FALSE, sizeof (order_wait_t));
  node->log_samples = g_array_new (FALSE, FALSE, sizeof (log_sample_t));
  node->listed_addresses = g_ptr_array_new_with_free_func (g_free);
  node->relay_requests = g_array_new (FALSE, FALSE, sizeof (relay_request_t));
  node->releasing = g_new0 (bool, claims.shard_count);
  node->lost_unreleased = g_new0 (bool, claims.shard_count);
  node->attempt_epochs = g_new0 (uint64_t, claims.shard_count);
}

static int
node_init_sockets (node_t *node, err_t *err)
{
  const settings_t *settings = node->settings;
  httpd_config_t callers = { .address = settings->listen_callers,
                             .max_connections = settings->max_connections,
                             .max_body = settings->max_body_bytes,
                             .budget_bytes = CALLER_BUDGET_BYTES,
                             .receive_buffer = RECEIVE_BUFFER_BYTES,
                             .backlog = CALLER_BACKLOG,
                             .timeout = settings->caller_timeout };
  httpd_config_t operators = { .address = settings->listen_operators,
                               .max_connections = OPERATOR_MAX_CONNECTIONS,
                               .max_body = OPERATOR_MAX_BODY_BYTES,
                               .budget_bytes = OPERATOR_BUDGET_BYTES,
                               .backlog = OPERATOR_BACKLOG,
                               .timeout = settings->caller_timeout };
  msg_hello_t hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                        .node = settings->node,
                        .incarnation = node->incarnation,
                        .zone = settings->zone,
                        .address = blob_of (settings->listen_peers) };

  node->link = peerlink_new (node->loop, settings->listen_peers, &hello,
                             &node_peerlink_ops, node, err);
  if (!node->link)
    return err->code;
  node->callers
      = httpd_new (node->loop, &callers, &node_caller_ops, node, err);
  if (!node->callers)
    return err->code;
  node->operators
      = httpd_new (node->loop, &operators, &node_operator_ops, node, err);
  if (!node->operators)
    return err->code;
  node->platform = http_client_new (node->loop, COUNTER_PLATFORM_BYTES);
  node->upstreams = http_client_new (node->loop, COUNTER_UPSTREAM_BYTES);
  return 0;
}

static void
add_configured_peers (node_t *node)
{
  const settings_t *settings = node->settings;

  for (size_t i = 0; i < settings->peer_count; i++)
    {
      const settings_peer_t *peer = &settings->peers[i];

      if (peer->node == settings->node)
        continue;
      peers_add (node->peers, clock_now (), peer->node, peer->zone);
      peerlink_add (node->link, peer->node, peer->address);
    }
}

static void
node_init_watchers (node_t *node)
{
  ev_init (&node->timer, on_timer);
  ev_prepare_init (&node->prepare, on_prepare);
  ev_signal_init (&node->sigterm, on_signal, SIGTERM);
  ev_signal_init (&node->sigint, on_signal, SIGINT);
  ev_signal_init (&node->sighup, on_signal, SIGHUP);
  node->timer.data = node;
  node->prepare.data = node;
  node->sigterm.data = node;
  node->sigint.data = node;
  node->sighup.data = node;
  node->ticks_due = true;
  ev_prepare_start (node->loop, &node->prepare);
  ev_signal_start (node->loop, &node->sigterm);
  ev_signal_start (node->loop, &node->sigint);
  ev_signal_start (node->loop, &node->sighup);
  signals_ignore_pipe ();
  signals_unblock ();
}

static void
node_free (node_t *node)
{
  if (!node->journal)
    {
      g_free (node);
      return;
    }
  http_client_free (node->upstreams);
  http_client_free (node->platform);
  httpd_free (node->callers);
  httpd_free (node->operators);
  peerlink_free (node->link);
  node_batch_free (node);
  routing_free (node->routing);
  limits_free (node->limits);
  orders_free (node->orders);
  claims_free (node->claims);
  peers_free (node->peers);
  journal_free (node->journal);
  bundle_store_free (node->bundles);
  table_free (node->lc_requests);
  g_hash_table_destroy (node->forwards);
  g_hash_table_destroy (node->waiters);
  g_array_unref (node->unsent);
  g_array_unref (node->order_waits);
  g_array_unref (node->relay_requests);
  g_array_unref (node->log_samples);
  g_ptr_array_unref (node->listed_addresses);
  g_rand_free (node->random);
  g_free (node->list_etag);
  g_free (node->releasing);
  g_free (node->lost_unreleased);
  g_free (node->attempt_epochs);
  g_free (node);
}

static void
on_timer (EV_P_ ev_timer *timer, int events)
{
  node_t *node = timer->data;

  (void)loop;
  (void)events;
  node->ticks_due = true;
}

static void
on_prepare (EV_P_ ev_prepare *prepare, int events)
{
  node_t *node = prepare->data;
  usec_t now;
  usec_t sleep;

  (void)events;
  if (!node->ticks_due)
    return;
  node->ticks_due = false;
  now = clock_now ();
  sleep = run_ticks (node, now) - now;
  sleep = CLAMP (sleep, LOOP_SLEEP_MIN, LOOP_SLEEP_MAX);
  ev_timer_stop (EV_A_ & node->timer);
  ev_timer_set (&node->timer, (double)sleep / USEC_PER_SEC, 0.);
  ev_timer_start (EV_A_ & node->timer);
}

static void
on_signal (EV_P_ ev_signal *signal, int events)
{
  node_t *node = signal->data;

  (void)loop;
  (void)events;
  if (signal->signum == SIGHUP)
    log_line (LOG_LEVEL_NOTICE, "reload", NULL,
              "settings take effect at the next start");
  else
    node_start_drain (node, "received SIGTERM or SIGINT");
}

static usec_t
earlier (usec_t a, usec_t b)
{
  return b == USEC_NEVER ? a : MIN (a, b);
}

static usec_t
run_ticks (node_t *node, usec_t now)
{
  usec_t next = now + LOOP_SLEEP_MAX;

  node_renew_tick (node, now);
  next = earlier (next, journal_tick (node->journal, now));
  next = earlier (next, peers_tick (node->peers, now));
  next = earlier (next, claims_tick (node->claims, now));
  report_log_health (node);
  node_lc_tick (node, now);
  next = earlier (next, routing_tick (node->routing, now));
  next = earlier (next, attempts_tick (node->attempts, now));
  node_vms_tick (node, now);
  node_callers_tick (node, now);
  node_peers_tick (node, now);
  if (node->draining)
    drain_tick (node, now);
  if (table_count (node->lc_requests))
    next = MIN (next, now + LOOP_SLEEP_BUSY);
  return next;
}

static void
report_log_health (node_t *node)
{
  bool healthy = journal_healthy (node->journal);

  if (healthy == node->log_was_healthy)
    return;
  node->log_was_healthy = healthy;
  log_line (LOG_LEVEL_NOTICE, "log", node->settings->log_url, "%s",
            healthy ? "the log is reachable" : "the log is not reachable");
}

/* Steps of the planned stop: finish running requests and release the shards,
   append LEAVE, give clients time to close their connections, close the
   callers' port, end the loop.  Clients close first because a request sent on
   a connection that this process closes would be lost. */
static void
drain_tick (node_t *node, usec_t now)
{
  bool timed_out = now >= node->drain_deadline;
  message_t entry = { .type = MSG_LEAVE };

  if (!node->released)
    {
      if (!timed_out
          && (table_count (node->lc_requests)
              || g_hash_table_size (node->waiters)
              || !shards_released (node, now)))
        return;
      /* Shards still held at the deadline are released all the same: LEAVE
         states that this process acts on none. */
      for (uint32_t shard = 0;
           timed_out && shard < settings_shard_count (node->settings); shard++)
        claims_release (node->claims, now, shard);
      node->released = true;
      node->drain_deadline = now + LEAVE_TIMEOUT;
      entry.u.leave.node = node->settings->node;
      entry.u.leave.incarnation = node->incarnation;
      node->leave_ticket = journal_put (node->journal, now, &entry, true);
      node->next_stop_step_at = now + CONNECTION_CLOSE_GRACE;
      return;
    }
  if (now < node->next_stop_step_at || (!node->leave_confirmed && !timed_out))
    return;
  if (!node->quiesced)
    {
      node->quiesced = true;
      node->next_stop_step_at = now + QUIESCE_GRACE;
      httpd_quiesce (node->callers);
      return;
    }
  if (!httpd_open_requests (node->callers) || timed_out)
    ev_break (node->loop, EVBREAK_ALL);
}

static bool
shards_released (node_t *node, usec_t now)
{
  uint32_t shards = settings_shard_count (node->settings);

  for (uint32_t shard = 0; shard < shards; shard++)
    if (node_may_act (node, now, shard))
      return false;
  return true;
}

static void
on_order_changed (void *ctx, usec_t now, const order_t *order)
{
  node_t *node = ctx;

  if (order->state == ORDER_ENDED)
    counter_add (COUNTER_ORDERS_ENDED, 1);
  else if (order->state == ORDER_WAITING && !order->attempt)
    counter_add (COUNTER_ORDERS_ACCEPTED, 1);
  node_batch_order_changed (node, now, order);
  node_order_changed (node, order);
}

static uint64_t
shard_epoch (void *ctx, uint32_t shard)
{
  node_t *node = ctx;

  if (shard >= settings_shard_count (node->settings))
    return 0;
  return claims_epoch (node->claims, shard);
}

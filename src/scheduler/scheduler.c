/** @file
 * The scheduling process: start, event loop, planned stop.
 */
#include "base/signals.h"
#include "scheduler/sched_private.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <sys/resource.h>

#define SLEEP_MAX (100 * USEC_PER_MSEC)
#define SLEEP_MIN (USEC_PER_MSEC)
#define CALLER_BACKLOG 1024U
#define ADMIN_TIMEOUT (30 * USEC_PER_SEC)
#define ADMIN_CONNECTIONS_MAX 32U
#define ADMIN_BODY_MAX_BYTES 4096U
#define ADMIN_BACKLOG 64U
/* Readiness requests have no body, and their answers are short.  */
#define READY_BUDGET_BYTES (1U << 20)
/* The state dump, which operators read, is megabytes in size.  */
#define OPERATORS_BUDGET_BYTES (8U << 20)

/* How long a worker holds a long poll open while it waits for a run to end:
   POLL_BUSY with runs, POLL_IDLE without.  Each poll extends the leases, so
   that with POLL_BUSY five sixths of a lease of 6 s remain when an owner
   freezes. */
#define POLL_BUSY (1000 * USEC_PER_MSEC)
/* Interference between tasks has to be found and ended well within the
   platform's 4 s. */
#define POLL_SHARED (400 * USEC_PER_MSEC)
#define POLL_IDLE (2000 * USEC_PER_MSEC)
/* Over ten times the duration of a worker call on the slowest link. */
#define WORKER_CALL_TIMEOUT (700 * USEC_PER_MSEC)
/* An owner that does not reach the store extends leases for this long. */
#define STALE_LIMIT (3 * USEC_PER_SEC)
/* Runs survive an outage of the store of about this length.  A task whose
   worker has gone waits until all leases there have ended, and the platform
   asks for its next run within 9 s of the last: this leaves time for a
   takeover, the margins of clocks and stops, and the start. */
#define LEASE_HORIZON (6500 * USEC_PER_MSEC)

/* The store counts as unhealthy when calls have failed for this long without
   a later one that succeeded. */
#define STORE_UNHEALTHY_AFTER (1200 * USEC_PER_MSEC)

/* A stopping owner waits this long for calls in flight, which the next owner
   would have to repeat. */
#define HANDOVER_TIMEOUT (300 * USEC_PER_MSEC)
/* A stopping process accepts connections for this long: the load balancer
   opens new ones until two readiness checks, one a second, have failed, and
   requests may arrive on them shortly after. */
#define STOP_ACCEPT_TIME (2600 * USEC_PER_MSEC)
/* A connection is open for this long before its first request arrives. */
#define STOP_READ_TIME (20 * USEC_PER_MSEC)
/* The process exits this long before the platform would kill it. */
#define STOP_MARGIN (800 * USEC_PER_MSEC)
/* Requests that are open this long before the stop deadline are answered with
   an error and sent in that time, so that no connection is closed without an
   answer. */
#define STOP_ANSWER_TIME (200 * USEC_PER_MSEC)

static int start (scheduler_t *s, err_t *err);
static int open_sockets (scheduler_t *s, err_t *err);
static void derive_limits (scheduler_t *s);
static httpd_config_t admin_config (const char *address);
static void open_watchers (scheduler_t *s);
static void scheduler_free (scheduler_t *s);
static void on_timer (void *ctx);
static void on_prepare (EV_P_ ev_prepare *prepare, int events);
static void on_signal (EV_P_ ev_signal *signal, int events);
static usec_t run_ticks (scheduler_t *s, usec_t now);
static usec_t stop_tick (scheduler_t *s, usec_t now);
static bool is_ready_to_hand_over (scheduler_t *s, usec_t now);

int
scheduler_main (struct ev_loop *loop, const scheduler_settings_t *settings,
                const backend_t *backend)
{
  scheduler_t *s = g_new0 (scheduler_t, 1);
  err_t err = { 0 };
  int code;

  s->loop = loop;
  s->settings = settings;
  s->backend = backend;
  code = start (s, &err);
  if (code)
    log_err (LOG_LEVEL_ERR, &err);
  else
    {
      log_line (LOG_LEVEL_NOTICE, "start", NULL,
                "node=%s zone=%s member=%s version=%s", settings->name,
                settings->zone, s->member, VERSION);
      ev_run (loop, 0);
      log_line (LOG_LEVEL_NOTICE, "stop", NULL, "node=%s took_ms=%" PRId64,
                settings->name,
                usec_to_msec (clock_now () - s->stop_started_at));
    }
  scheduler_free (s);
  return code;
}

static int
start (scheduler_t *s, err_t *err)
{
  const scheduler_settings_t *settings = s->settings;
  char host[48];
  uint16_t port;
  usec_t now = clock_now ();

  randombytes_buf (&s->incarnation, sizeof s->incarnation);
  if (ini_split_address (settings->listen_peers, host, &port))
    return err_set (err, -EINVAL, "start", settings->listen_peers,
                    "not an IP:port");
  s->node = ntohl (inet_addr (host));
  g_snprintf (s->member, sizeof s->member, "%s/%016" PRIx64,
              settings->listen_peers, s->incarnation);
  s->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       request_free);
  s->requests_by_http = g_hash_table_new (NULL, NULL);
  s->worker_racks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->zones = zones_new ();
  s->succession.peers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->deferred_queries = g_array_new (FALSE, FALSE, sizeof (deferred_query_t));
  s->store_last_ok = s->started_at = now;
  s->may_own = true;
  if (settings->shards)
    sched_set_shards (s, settings->shards);
  open_watchers (s);
  derive_limits (s);
  return open_sockets (s, err);
}

static void
derive_limits (scheduler_t *s)
{
  const scheduler_settings_t *settings = s->settings;
  struct rlimit limit = { .rlim_cur = RLIM_INFINITY };
  uint32_t descriptors;

  if (getrlimit (RLIMIT_NOFILE, &limit))
    log_line (LOG_LEVEL_WARNING, "limits", NULL, "RLIMIT_NOFILE: %s",
              g_strerror (errno));
  descriptors = (uint32_t)MIN (limit.rlim_cur, UINT32_MAX);
  sched_limits_derive (settings, descriptors, &s->limits);
  log_line (LOG_LEVEL_NOTICE, "limits", NULL,
            "connections=%u configured=%u request_bytes=%u "
            "request_timeout_ms=%" PRId64
            " receive_buffer=%u job_bytes=%" PRIu64
            " memory_mb=%u descriptors=%u rlimit=%u",
            s->limits.connections, settings->max_connections,
            s->limits.request_bytes, usec_to_msec (s->limits.request_timeout),
            s->limits.receive_buffer, s->limits.job_bytes, settings->memory_mb,
            settings->descriptors, descriptors);
}

void
sched_set_shards (scheduler_t *s, uint32_t count)
{
  const scheduler_settings_t *settings = s->settings;
  shard_config_t config
      = { .lease = settings->lease,
          .lease_horizon = LEASE_HORIZON,
          .stop_limit = settings->stop_limit,
          .poll_busy = POLL_BUSY,
          .poll_shared = POLL_SHARED,
          .poll_idle = POLL_IDLE,
          .call_timeout = WORKER_CALL_TIMEOUT,
          .stale_limit = STALE_LIMIT,
          .keep_ended = settings->keep_ended,
          .append_bytes = settings->append_bytes / 2,
          .job_bytes = s->limits.job_bytes,
          .copy_percent = settings->copy_percent,
          .zones = s->zones,
          .zones_max_age = settings->evacuate - WORKER_CALL_TIMEOUT,
          .workers_max_age = settings->shrunk - WORKER_CALL_TIMEOUT };

  s->shard_count = count;
  s->shards = g_new0 (shard_state_t, count);
  s->owners = g_new0 (shard_owner_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      s->shards[i].scheduler = s;
      s->shards[i].number = i;
      s->shards[i].shard
          = shard_new (&config, &sched_shard_ops, &s->shards[i], i);
    }
  log_line (LOG_LEVEL_NOTICE, "layout", NULL, "shards=%u", count);
}

static int
open_sockets (scheduler_t *s, err_t *err)
{
  const scheduler_settings_t *settings = s->settings;
  httpd_config_t callers = { .address = settings->listen_callers,
                             .max_connections = s->limits.connections,
                             .max_body = SCHED_BODY_MAX_BYTES,
                             .timeout = s->limits.request_timeout,
                             .budget_bytes = s->limits.request_bytes,
                             .receive_buffer = s->limits.receive_buffer,
                             .backlog = CALLER_BACKLOG };
  httpd_config_t ready = admin_config (settings->listen_ready);
  httpd_config_t operators = admin_config (settings->listen_operators);
  msg_hello_t hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                        .node = s->node,
                        .incarnation = s->incarnation,
                        .zone = succession_describe (settings),
                        .address = blob_of (settings->listen_peers) };

  ready.budget_bytes = READY_BUDGET_BYTES;
  ready.receive_buffer = s->limits.receive_buffer;
  operators.budget_bytes = OPERATORS_BUDGET_BYTES;
  operators.receive_buffer = s->limits.receive_buffer;
  s->link = peerlink_new (s->loop, settings->listen_peers, &hello,
                          &sched_peerlink_ops, s, err);
  if (!s->link)
    return err->code;
  s->callers = httpd_new (s->loop, &callers, &sched_caller_ops, s, err);
  if (!s->callers)
    return err->code;
  s->ready = httpd_new (s->loop, &ready, &sched_ready_ops, s, err);
  if (!s->ready)
    return err->code;
  s->operators = httpd_new (s->loop, &operators, &sched_operator_ops, s, err);
  return s->operators ? 0 : err->code;
}

static httpd_config_t
admin_config (const char *address)
{
  return (httpd_config_t){ .address = address,
                           .max_connections = ADMIN_CONNECTIONS_MAX,
                           .max_body = ADMIN_BODY_MAX_BYTES,
                           .timeout = ADMIN_TIMEOUT,
                           .backlog = ADMIN_BACKLOG };
}

static void
open_watchers (scheduler_t *s)
{
  clock_timer_init (&s->timer, s->loop, on_timer, s);
  ev_prepare_init (&s->prepare, on_prepare);
  s->prepare.data = s;
  ev_prepare_start (s->loop, &s->prepare);
  ev_signal_init (&s->term, on_signal, SIGTERM);
  ev_signal_init (&s->interrupt, on_signal, SIGINT);
  ev_signal_init (&s->hup, on_signal, SIGHUP);
  s->term.data = s->interrupt.data = s->hup.data = s;
  ev_signal_start (s->loop, &s->term);
  ev_signal_start (s->loop, &s->interrupt);
  ev_signal_start (s->loop, &s->hup);
  signals_ignore_pipe ();
  signals_unblock ();
  s->tick_due = true;
}

static void
scheduler_free (scheduler_t *s)
{
  /* libev restores the default action of a signal that it no longer
     watches.  */
  signals_block ();
  clock_timer_stop (&s->timer);
  ev_prepare_stop (s->loop, &s->prepare);
  ev_signal_stop (s->loop, &s->term);
  ev_signal_stop (s->loop, &s->interrupt);
  ev_signal_stop (s->loop, &s->hup);
  httpd_free (s->callers);
  httpd_free (s->ready);
  httpd_free (s->operators);
  peerlink_free (s->link);
  for (uint32_t i = 0; s->shards && i < s->shard_count; i++)
    shard_free (s->shards[i].shard);
  g_free (s->shards);
  g_free (s->owners);
  queues_free (s->queues);
  zones_free (s->zones);
  if (s->requests)
    {
      g_hash_table_destroy (s->requests);
      g_hash_table_destroy (s->requests_by_http);
      g_hash_table_destroy (s->worker_racks);
      g_hash_table_destroy (s->succession.peers);
      g_array_free (s->deferred_queries, TRUE);
    }
  g_free (s);
}

void
sched_wake (scheduler_t *s)
{
  s->tick_due = true;
}

bool
sched_owns_any_shard (const scheduler_t *s)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->shards[i].owned)
      return true;
  return false;
}

uint32_t
sched_shard_of (const scheduler_t *s, job_id_t job)
{
  /* Hashes the identifier, since callers choose it and need not choose it at
     random.  */
  return (uint32_t)((job_id_number (job) * 0x9e3779b97f4a7c15ULL >> 32)
                    % s->shard_count);
}

uint32_t
sched_partition_of (const scheduler_t *s, uint32_t shard)
{
  return (uint32_t)((uint64_t)shard * s->settings->partitions
                    / s->shard_count);
}

void
sched_store_result (scheduler_t *s, usec_t sent, store_result_t result,
                    const char *step, const char *error)
{
  counter_add (COUNTER_STORE_CALLS, 1);
  if (result != STORE_REFUSED && result != STORE_UNKNOWN)
    {
      if (s->store_failing_since && sent > s->store_last_failed)
        {
          log_line (LOG_LEVEL_NOTICE, "store.back", NULL,
                    "step=%s away_ms=%" PRId64, step,
                    usec_to_msec (clock_now () - s->store_failing_since));
          s->store_failing_since = 0;
        }
      s->store_last_ok = MAX (s->store_last_ok, sent);
      return;
    }
  counter_add (COUNTER_STORE_ERRORS, 1);
  s->store_last_failed = MAX (s->store_last_failed, sent);
  if (s->store_failing_since || sent < s->store_last_ok)
    return;
  s->store_failing_since = clock_now ();
  /* Sends a call to the store soon, to find out whether it works again.  */
  group_refresh_owners (s, s->store_failing_since);
  log_line (LOG_LEVEL_NOTICE, "store.failed", NULL, "step=%s error=\"%s\"",
            step, error ? error : "");
}

bool
sched_store_healthy (const scheduler_t *s, usec_t now)
{
  return !s->store_failing_since
         || now - s->store_failing_since < STORE_UNHEALTHY_AFTER;
}

static void
on_timer (void *ctx)
{
  scheduler_t *s = ctx;

  s->tick_due = true;
}

static void
on_prepare (EV_P_ ev_prepare *prepare, int events)
{
  scheduler_t *s = prepare->data;
  usec_t now;
  usec_t next;

  (void)loop;
  (void)events;
  log_flush ();
  if (!s->tick_due)
    return;
  s->tick_due = false;
  now = clock_now ();
  next = run_ticks (s, now);
  next = CLAMP (next, now + SLEEP_MIN, now + SLEEP_MAX);
  clock_timer_start (&s->timer, next - now);
}

static usec_t
run_ticks (scheduler_t *s, usec_t now)
{
  usec_t next = layout_tick (s, now);
  usec_t due = group_tick (s, now);

  next = MIN (next, due);
  due = operator_tick (s, now);
  next = MIN (next, due);
  due = workers_tick (s, now);
  next = MIN (next, due);
  due = store_tick (s, now);
  next = MIN (next, due);
  due = callers_tick (s, now);
  next = MIN (next, due);
  due = queries_tick (s, now);
  next = MIN (next, due);
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      due = shard_tick (s->shards[i].shard, now);
      next = MIN (next, due);
    }
  if (s->stopping)
    {
      due = stop_tick (s, now);
      next = MIN (next, due);
    }
  return next;
}

static void
on_signal (EV_P_ ev_signal *signal, int events)
{
  scheduler_t *s = signal->data;

  (void)loop;
  (void)events;
  s->tick_due = true;
  if (signal->signum == SIGHUP)
    {
      /* All settings concern sockets and addresses that are fixed until the
         process exits.  */
      log_line (LOG_LEVEL_NOTICE, "reload", NULL,
                "settings take effect at the next start");
      return;
    }
  if (s->stopping)
    return;
  s->stopping = true;
  s->stop_started_at = clock_now ();
  s->stop_deadline = s->stop_started_at + s->settings->grace - STOP_MARGIN;
  log_line (LOG_LEVEL_NOTICE, "stopping", NULL, "signal=%d open_requests=%zu",
            signal->signum, httpd_open_requests (s->callers));
  httpd_close_connections (s->callers);
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_quiesce (s->shards[i].shard);
}

/* Leaves the group as soon as the shards can be handed over, then waits for
   open requests.  */
static usec_t
stop_tick (scheduler_t *s, usec_t now)
{
  if (!s->left_group
      && (is_ready_to_hand_over (s, now) || now >= s->stop_deadline))
    {
      s->left_group = true;
      group_leave (s);
    }
  if (!s->left_group)
    return now + 5 * USEC_PER_MSEC;
  if (now < s->stop_started_at + STOP_ACCEPT_TIME
      && now < s->stop_deadline - STOP_ANSWER_TIME)
    return MIN (s->stop_started_at + STOP_ACCEPT_TIME,
                s->stop_deadline - STOP_ANSWER_TIME);
  if (!s->callers_quiesced_at)
    {
      s->callers_quiesced_at = now;
      httpd_quiesce (s->callers);
    }
  /* The process may have had no turn since well before. */
  httpd_catch_up (s->callers);
  if (now >= s->stop_deadline - STOP_ANSWER_TIME)
    {
      callers_fail_all (s);
      httpd_catch_up (s->callers);
    }
  if (now >= s->stop_deadline
      || (now >= s->callers_quiesced_at + STOP_READ_TIME
          && !httpd_open_requests (s->callers)))
    ev_break (s->loop, EVBREAK_ALL);
  return now + 10 * USEC_PER_MSEC;
}

/* @return whether no call is in flight that the next owner would have to
   repeat, or HANDOVER_TIMEOUT is over */
static bool
is_ready_to_hand_over (scheduler_t *s, usec_t now)
{
  if (s->join_busy && now < s->stop_started_at + HANDOVER_TIMEOUT)
    return false;
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->shards[i].owned && shard_is_active (s->shards[i].shard)
        && !shard_is_idle (s->shards[i].shard)
        && now < s->stop_started_at + HANDOVER_TIMEOUT)
      return false;
  return true;
}

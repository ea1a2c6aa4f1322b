/** @file
 * The scheduling process: start, timers, planned stop.
 */
#include "scheduler/sched_private.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>

#define MAX_SLEEP (100 * USEC_PER_MSEC)
#define MIN_SLEEP (USEC_PER_MSEC)
#define CALLER_BODY (262144U)
#define CALLER_TIMEOUT (30 * USEC_PER_SEC)
#define SIDE_CONNECTIONS 32U
#define SIDE_BODY 4096U

/* Waits for an end at a worker with and without runs.  The shorter one keeps
   five sixths of a lease of 6 s ahead of a frozen owner.  */
#define POLL_BUSY (1000 * USEC_PER_MSEC)
/* Harm has to be found and ended well within the platform's 4 s. */
#define POLL_SHARED (400 * USEC_PER_MSEC)
#define POLL_IDLE (2000 * USEC_PER_MSEC)
/* Of a worker call; over ten times a call on the slowest link. */
#define WORKER_TIMEOUT (700 * USEC_PER_MSEC)
/* An owner without contact to the store extends leases for this long, so that
   runs outlive an outage of this and a lease.  A successor has to wait as long
   for workers that it does not reach. */
#define STALE_LIMIT (3 * USEC_PER_SEC)

/* The store is away when calls have failed, and none sent later has succeeded,
   for this long. */
#define STORE_AWAY (1200 * USEC_PER_MSEC)

/* What is under way when the process stops is waited for so long; the
   successor would repeat it. */
#define HAND_OVER_LIMIT (300 * USEC_PER_MSEC)
/* The balancer sends new connections until two checks, one a second, have
   missed; requests may still come on them for a moment. */
#define STOP_QUIET (2600 * USEC_PER_MSEC)
/* Before the platform's own limit, so that the process ends by itself. */
#define STOP_MARGIN (800 * USEC_PER_MSEC)
/* What is still open then is answered, so that no connection is closed without
   an answer; the rest is for the answers to leave. */
#define STOP_ANSWERS (200 * USEC_PER_MSEC)

static int start (scheduler_t *s, err_t *err);
static int open_sockets (scheduler_t *s, err_t *err);
static httpd_t *open_side (scheduler_t *s, const char *address,
                           const httpd_ops_t *ops, err_t *err);
static void open_watchers (scheduler_t *s);
static void scheduler_free (scheduler_t *s);
static void on_timer (EV_P_ ev_timer *timer, int events);
static void on_prepare (EV_P_ ev_prepare *prepare, int events);
static void on_signal (EV_P_ ev_signal *signal, int events);
static usec_t run_ticks (scheduler_t *s, usec_t now);
static usec_t stop_tick (scheduler_t *s, usec_t now);
static bool hand_over (scheduler_t *s, usec_t now);

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
                settings->name, usec_to_msec (clock_now () - s->stop_began));
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
  s->by_http = g_hash_table_new (NULL, NULL);
  s->worker_shards
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->parked = g_array_new (FALSE, FALSE, sizeof (parked_t));
  s->store_ok = s->began = now;
  s->may_own = true;
  if (settings->shards)
    sched_set_shards (s, settings->shards);
  open_watchers (s);
  return open_sockets (s, err);
}

void
sched_set_shards (scheduler_t *s, uint32_t count)
{
  const scheduler_settings_t *settings = s->settings;
  shard_config_t config = { .lease = settings->lease,
                            .stop_limit = settings->stop_limit,
                            .poll_busy = POLL_BUSY,
                            .poll_shared = POLL_SHARED,
                            .poll_idle = POLL_IDLE,
                            .call_timeout = WORKER_TIMEOUT,
                            .stale_limit = STALE_LIMIT,
                            .keep_ended = settings->keep_ended,
                            .append_bytes = settings->append_bytes / 2 };

  s->shard_count = count;
  s->parts = g_new0 (part_t, count);
  s->owners = g_new0 (owner_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      s->parts[i].scheduler = s;
      s->parts[i].number = i;
      s->parts[i].shard
          = shard_new (&config, &sched_shard_ops, &s->parts[i], i);
    }
  log_line (LOG_LEVEL_NOTICE, "layout", NULL, "shards=%u", count);
}

static int
open_sockets (scheduler_t *s, err_t *err)
{
  const scheduler_settings_t *settings = s->settings;
  httpd_config_t callers = { .address = settings->listen_callers,
                             .max_connections = settings->max_connections,
                             .max_body = CALLER_BODY,
                             .timeout = CALLER_TIMEOUT };
  msg_hello_t hello = { .protocol = MESSAGE_PROTOCOL_VERSION,
                        .node = s->node,
                        .incarnation = s->incarnation,
                        .address = blob_of (settings->listen_peers) };

  s->link = peerlink_new (s->loop, settings->listen_peers, &hello,
                          &sched_peerlink_ops, s, err);
  if (!s->link)
    return err->code;
  s->callers = httpd_new (s->loop, &callers, &sched_caller_ops, s, err);
  if (!s->callers)
    return err->code;
  s->ready = open_side (s, settings->listen_ready, &sched_ready_ops, err);
  if (!s->ready)
    return err->code;
  s->operators
      = open_side (s, settings->listen_operators, &sched_operator_ops, err);
  return s->operators ? 0 : err->code;
}

static httpd_t *
open_side (scheduler_t *s, const char *address, const httpd_ops_t *ops,
           err_t *err)
{
  httpd_config_t config = { .address = address,
                            .max_connections = SIDE_CONNECTIONS,
                            .max_body = SIDE_BODY,
                            .timeout = CALLER_TIMEOUT };

  return httpd_new (s->loop, &config, ops, s, err);
}

static void
open_watchers (scheduler_t *s)
{
  ev_init (&s->timer, on_timer);
  s->timer.data = s;
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
  s->due = true;
}

static void
scheduler_free (scheduler_t *s)
{
  ev_timer_stop (s->loop, &s->timer);
  ev_prepare_stop (s->loop, &s->prepare);
  ev_signal_stop (s->loop, &s->term);
  ev_signal_stop (s->loop, &s->interrupt);
  ev_signal_stop (s->loop, &s->hup);
  httpd_free (s->callers);
  httpd_free (s->ready);
  httpd_free (s->operators);
  peerlink_free (s->link);
  for (uint32_t i = 0; s->parts && i < s->shard_count; i++)
    shard_free (s->parts[i].shard);
  g_free (s->parts);
  g_free (s->owners);
  queues_free (s->queues);
  if (s->requests)
    {
      g_hash_table_destroy (s->requests);
      g_hash_table_destroy (s->by_http);
      g_hash_table_destroy (s->worker_shards);
      g_array_free (s->parked, TRUE);
    }
  g_free (s);
}

void
sched_wake (scheduler_t *s)
{
  s->due = true;
}

uint32_t
sched_shard_of (const scheduler_t *s, job_id_t job)
{
  /* Callers choose identifiers at random, but only their own.  */
  return (uint32_t)((job * 0x9e3779b97f4a7c15ULL >> 32) % s->shard_count);
}

uint32_t
sched_part_of (const scheduler_t *s, uint32_t shard)
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
      if (s->store_failing && sent > s->store_failed)
        {
          log_line (LOG_LEVEL_NOTICE, "store.back", NULL,
                    "step=%s away_ms=%" PRId64, step,
                    usec_to_msec (clock_now () - s->store_failing));
          s->store_failing = 0;
        }
      s->store_ok = MAX (s->store_ok, sent);
      return;
    }
  counter_add (COUNTER_STORE_ERRORS, 1);
  s->store_failed = MAX (s->store_failed, sent);
  if (s->store_failing || sent < s->store_ok)
    return;
  s->store_failing = clock_now ();
  /* Asks again soon, to know whether it is back.  */
  group_doubt_owner (s, s->store_failing);
  log_line (LOG_LEVEL_NOTICE, "store.failed", NULL, "step=%s error=\"%s\"",
            step, error ? error : "");
}

bool
sched_store_healthy (const scheduler_t *s, usec_t now)
{
  return !s->store_failing || now - s->store_failing < STORE_AWAY;
}

static void
on_timer (EV_P_ ev_timer *timer, int events)
{
  scheduler_t *s = timer->data;

  (void)loop;
  (void)events;
  s->due = true;
}

static void
on_prepare (EV_P_ ev_prepare *prepare, int events)
{
  scheduler_t *s = prepare->data;
  usec_t now;
  usec_t next;

  (void)events;
  log_flush ();
  if (!s->due)
    return;
  s->due = false;
  now = clock_now ();
  next = run_ticks (s, now);
  next = CLAMP (next, now + MIN_SLEEP, now + MAX_SLEEP);
  ev_timer_stop (EV_A_ & s->timer);
  ev_timer_set (&s->timer, (double)(next - now) / USEC_PER_SEC, 0.);
  ev_timer_start (EV_A_ & s->timer);
}

static usec_t
run_ticks (scheduler_t *s, usec_t now)
{
  usec_t next = layout_tick (s, now);
  usec_t due = group_tick (s, now);

  next = MIN (next, due);
  due = store_tick (s, now);
  next = MIN (next, due);
  due = callers_tick (s, now);
  next = MIN (next, due);
  due = asks_tick (s, now);
  next = MIN (next, due);
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      due = shard_tick (s->parts[i].shard, now);
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
  s->due = true;
  if (signal->signum == SIGHUP)
    {
      /* All settings belong to sockets and addresses that stay for the life
         of the process.  */
      log_line (LOG_LEVEL_NOTICE, "reload", NULL,
                "settings take effect at the next start");
      return;
    }
  if (s->stopping)
    return;
  s->stopping = true;
  s->stop_began = clock_now ();
  s->stop_limit = s->stop_began + s->settings->grace - STOP_MARGIN;
  log_line (LOG_LEVEL_NOTICE, "stopping", NULL, "signal=%d open_requests=%zu",
            signal->signum, httpd_open_requests (s->callers));
  httpd_close_connections (s->callers);
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_quiesce (s->parts[i].shard);
}

/* Hands the shards over at once, then waits for the last callers.  */
static usec_t
stop_tick (scheduler_t *s, usec_t now)
{
  if (!s->left && (hand_over (s, now) || now >= s->stop_limit))
    {
      s->left = true;
      group_leave (s);
    }
  if (!s->left)
    return now + 5 * USEC_PER_MSEC;
  if (now < s->stop_began + STOP_QUIET && now < s->stop_limit - STOP_ANSWERS)
    return MIN (s->stop_began + STOP_QUIET, s->stop_limit - STOP_ANSWERS);
  if (!s->quiesced)
    {
      s->quiesced = true;
      httpd_quiesce (s->callers);
    }
  if (now >= s->stop_limit - STOP_ANSWERS)
    callers_give_up (s);
  if (!httpd_open_requests (s->callers) || now >= s->stop_limit)
    ev_break (s->loop, EVBREAK_ALL);
  return now + 10 * USEC_PER_MSEC;
}

/* @return whether nothing is under way that the successor would wait for */
static bool
hand_over (scheduler_t *s, usec_t now)
{
  if (s->join_busy && now < s->stop_began + HAND_OVER_LIMIT)
    return false;
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->parts[i].owned && shard_is_active (s->parts[i].shard)
        && !shard_is_idle (s->parts[i].shard)
        && now < s->stop_began + HAND_OVER_LIMIT)
      return false;
  return true;
}

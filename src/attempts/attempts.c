/** @file
 * Attempts of orders on the workers of owned shards: ownership of shards,
 * polling of workers, placement of waiting orders, dispatch of replies and of
 * log entries.  The state machine of one attempt is in attempt.c.
 */
#include "attempts/attempts_private.h"

#include "base/log.h"

#include <inttypes.h>

/* These limits bound the time of one tick, which delays latency-critical
   requests.  A visit takes up to 19 us with 14,000 workers. */
#define MAX_VISITS_PER_PASS 64U
#define MAX_TURN_CHECKS_PER_BATCH 256U
#define TURN_BATCH_PAUSE_USEC (5 * USEC_PER_MSEC)
#define FULL_SPEED_PERCENT 100U
#define THROTTLED_SPEED_PERCENT 50U

typedef struct
{
  attempts_t *attempts;
  usec_t now;
} visit_ctx_t;

static void adopt (void *ctx, const order_t *order);
static void enqueue (attempts_t *attempts, usec_t now, const order_t *order);
static usec_t poll_interval (const attempts_t *attempts,
                             const worker_t *worker);
static void worker_tick (attempts_t *attempts, usec_t now, worker_t *worker);
static void handle_list_reply (attempts_t *attempts, usec_t now,
                               worker_t *worker, const call_t *call,
                               uint64_t id, const worker_reply_t *reply);
static void handle_listed_report (attempts_t *attempts, usec_t now,
                                  worker_t *worker,
                                  const attempt_report_t *report,
                                  const call_t *call, uint64_t id);
static bool is_orphan (const attempts_t *attempts,
                       const attempt_report_t *report);
static void check_turns (attempts_t *attempts, usec_t now);
static void run_placement_pass (attempts_t *attempts, usec_t now);
static void schedule_pass (attempts_t *attempts, usec_t now);
static waiting_visit_t try_place (void *ctx, order_id_t id);
static attempt_t *propose (attempts_t *attempts, usec_t now,
                           const order_t *order, worker_t *worker);
static void end_waiting (attempts_t *attempts, usec_t now,
                         const order_t *order, uint64_t status);
static task_t task_of (const attempts_t *attempts, const order_t *order);
static bool matches_ledger (const attempt_t *attempt, const order_t *order);
static attempt_t *find_attempt (const attempts_t *attempts, order_id_t order);
static worker_t *find_worker (const attempts_t *attempts, const char *id);
static worker_t *worker_new (attempts_t *attempts, const char *id,
                             uint32_t shard);
static shard_t *get_shard (attempts_t *attempts, uint32_t number);
static bool worker_silent (const attempts_t *attempts, usec_t now,
                           const worker_t *worker);
static int compare_due (gconstpointer a, gconstpointer b, gpointer ctx);
static void worker_free (gpointer data);
static void attempt_free (gpointer data);

attempts_t *
attempts_new (const attempts_config_t *config, const attempts_ops_t *ops,
              void *ctx, const orders_t *orders, placement_t *placement)
{
  attempts_t *attempts = g_new0 (attempts_t, 1);

  attempts->config = *config;
  attempts->ops = ops;
  attempts->ctx = ctx;
  attempts->orders = orders;
  attempts->placement = placement;
  attempts->waiting = waiting_new ();
  attempts->shards = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  attempts->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
  attempts->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, attempt_free);
  attempts->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  attempts->tickets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  attempts->timers = g_sequence_new (NULL);
  attempts->next_call = 1;
  attempts->due = USEC_NEVER;
  attempts->pass_due = DUE_NEVER;
  attempts->last_pass_at = USEC_NEVER / 2;
  attempts->turn_checks_due = USEC_NEVER;
  attempts->turn_checks_resume_at = USEC_NEVER;
  return attempts;
}

void
attempts_free (attempts_t *attempts)
{
  if (!attempts)
    return;
  g_sequence_free (attempts->timers);
  g_hash_table_destroy (attempts->tickets);
  g_hash_table_destroy (attempts->calls);
  g_hash_table_destroy (attempts->attempts);
  g_hash_table_destroy (attempts->workers);
  g_hash_table_destroy (attempts->shards);
  waiting_free (attempts->waiting);
  g_free (attempts);
}

void
attempts_update_worker (attempts_t *attempts, usec_t now,
                        const worker_info_t *info, uint32_t shard)
{
  worker_t *worker = find_worker (attempts, info->id);

  if (!worker)
    worker = worker_new (attempts, info->id, shard);
  worker->removed = false;
  worker->info = *info;
  worker->info.id = worker->id;
  attempts_worker_sync (attempts, now, worker);
  attempts_wake (attempts, now);
}

void
attempts_remove_worker (attempts_t *attempts, usec_t now, const char *id)
{
  worker_t *worker = find_worker (attempts, id);

  if (!worker)
    return;
  worker->removed = true;
  worker->list_answered = false;
  attempts_worker_sync (attempts, now, worker);
}

void
attempts_shard_gained (attempts_t *attempts, usec_t now, uint32_t number,
                       uint64_t epoch)
{
  shard_t *shard = get_shard (attempts, number);
  visit_ctx_t visit_ctx = { attempts, now };
  GHashTableIter iter;
  gpointer value;

  shard->epoch = epoch;
  if (shard->owned)
    return;
  shard->owned = true;
  shard->quiesced = false;
  shard->gained_at = now;
  g_hash_table_iter_init (&iter, attempts->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *worker = (worker_t *)value;

      if (worker->shard != shard)
        continue;
      worker->list_answered = MUTATED (NO_ASK);
      worker->answered_at = now;
      worker->list_due = now;
      worker->pending_list_call = 0;
      attempts_worker_sync (attempts, now, worker);
    }
  orders_each_on_shard (attempts->orders, number, adopt, &visit_ctx);
  attempts_wake (attempts, now);
  attempts_request_pass (attempts, now);
}

void
attempts_shard_lost (attempts_t *attempts, usec_t now, uint32_t number)
{
  shard_t *shard = get_shard (attempts, number);
  GHashTableIter iter;
  gpointer value;

  if (!shard->owned || MUTATED (KEEP_LOST))
    return;
  shard->owned = false;
  g_hash_table_iter_init (&iter, attempts->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *worker = (worker_t *)value;

      if (worker->shard != shard)
        continue;
      while (worker->attempts->len)
        attempts_drop (attempts, now,
                       (attempt_t *)g_ptr_array_index (worker->attempts, 0));
      worker->list_answered = false;
      worker->has_orphans = false;
      if (worker->in_placement)
        placement_remove_worker (attempts->placement, worker->id);
      worker->in_placement = false;
    }
}

void
attempts_quiesce_shard (attempts_t *attempts, usec_t now, uint32_t number,
                        bool on)
{
  shard_t *shard = get_shard (attempts, number);
  GHashTableIter iter;
  gpointer value;

  shard->quiesced = on;
  g_hash_table_iter_init (&iter, attempts->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((worker_t *)value)->shard == shard)
      attempts_worker_sync (attempts, now, (worker_t *)value);
}

bool
attempts_shard_idle (const attempts_t *attempts, uint32_t number)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, attempts->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const attempt_t *attempt = (const attempt_t *)value;

      if (attempt->worker && attempt->worker->shard->number == number
          && (attempt->phase == PHASE_PROPOSED
              || (attempt->phase == PHASE_STARTING && !attempt->start_sent)))
        return false;
    }
  g_hash_table_iter_init (&iter, attempts->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const call_t *)value)->worker->shard->number == number)
      return false;
  return true;
}

void
attempts_order_changed (attempts_t *attempts, usec_t now, const order_t *order)
{
  attempt_t *attempt = find_attempt (attempts, order->id);
  const worker_t *worker = attempt ? attempt->worker : NULL;
  visit_ctx_t visit_ctx = { attempts, now };

  if (attempt && !matches_ledger (attempt, order))
    {
      attempts_drop (attempts, now, attempt);
      attempt = NULL;
    }
  if (order->state == ORDER_WAITING && !attempt)
    enqueue (attempts, now, order);
  if (order->state != ORDER_WAITING)
    waiting_remove (attempts->waiting, order->id);
  if (order->state != ORDER_STARTED)
    return;
  if (!attempt && get_shard (attempts, order->shard)->owned)
    adopt (&visit_ctx, order);
  if (attempt && attempt->phase == PHASE_PROPOSED && worker)
    {
      attempt->phase = PHASE_STARTING;
      attempt->retry_at = now;
    }
  if (attempt)
    attempt_step (attempts, now, attempt);
}

void
attempts_entry_applied (attempts_t *attempts, usec_t now, uint64_t ticket,
                        order_apply_result_t verdict)
{
  const order_id_t *id
      = (const order_id_t *)g_hash_table_lookup (attempts->tickets, &ticket);
  attempt_t *attempt = id ? find_attempt (attempts, *id) : NULL;
  const order_t *order = id ? orders_get (attempts->orders, *id) : NULL;

  g_hash_table_remove (attempts->tickets, &ticket);
  if (!attempt || attempt->ticket != ticket)
    return;
  attempt->ticket = 0;
  attempt->retry_at = now + attempts->config.retry_interval;
  if (verdict == ORDER_APPLIED)
    return;
  /* The entry was void.  If it only carried an older epoch of this process,
     the attempt is still valid and the entry is appended again; otherwise the
     log has superseded the attempt. */
  if (order && matches_ledger (attempt, order)
      && !(attempt->phase == PHASE_PROPOSED && order->cancelled))
    {
      attempt_step (attempts, now, attempt);
      return;
    }
  attempts_drop (attempts, now, attempt);
  if (order && order->state == ORDER_WAITING)
    enqueue (attempts, now, order);
}

void
attempts_append_failed (attempts_t *attempts, usec_t now, uint64_t ticket)
{
  const order_id_t *id
      = (const order_id_t *)g_hash_table_lookup (attempts->tickets, &ticket);
  attempt_t *attempt = id ? find_attempt (attempts, *id) : NULL;

  if (MUTATED (APPEND_ONCE))
    return;
  g_hash_table_remove (attempts->tickets, &ticket);
  if (!attempt || attempt->ticket != ticket)
    return;
  attempt->ticket = 0;
  attempt->retry_at = now + attempts->config.retry_interval;
  attempts_set_timer (attempts, attempt, attempt->retry_at);
}

void
attempts_handle_reply (attempts_t *attempts, usec_t now, uint64_t id,
                       const worker_reply_t *reply)
{
  const call_t *found
      = (const call_t *)g_hash_table_lookup (attempts->calls, &id);
  attempt_t *attempt;
  call_t call;

  if (!found)
    return;
  call = *found;
  g_hash_table_remove (attempts->calls, &id);
  if (reply->leaving)
    {
      call.worker->info.leaving = true;
      attempts_worker_sync (attempts, now, call.worker);
    }
  if (call.kind == CALL_LIST)
    {
      handle_list_reply (attempts, now, call.worker, &call, id, reply);
      return;
    }
  attempt = find_attempt (attempts, call.order);
  if (!attempt || attempt->number != call.attempt
      || attempt->worker != call.worker)
    return;
  if (attempt->pending_call != id && attempt->pending_renewal != id)
    return;
  if (attempt->pending_renewal == id)
    attempt->pending_renewal = 0;
  else
    attempt->pending_call = 0;
  attempt_replied (attempts, now, attempt, &call, reply);
}

void
attempts_live_nodes_changed (attempts_t *attempts, usec_t now)
{
  attempts->turn_checks_left = waiting_other_count (attempts->waiting);
  attempts->turn_checks_due = now;
  attempts_wake (attempts, now);
  attempts_request_pass (attempts, now);
}

void
attempts_relieve (void *ctx, usec_t now, const char *worker, uint64_t order,
                  uint64_t number, relief_action_t relief)
{
  attempts_t *attempts = (attempts_t *)ctx;
  attempt_t *attempt = find_attempt (attempts, order);
  const order_t *ledger_order = orders_get (attempts->orders, order);

  (void)worker;
  if (!attempt || attempt->number != number || !ledger_order)
    return;
  if (relief == ACTION_THROTTLE)
    attempt->target_speed_percent = THROTTLED_SPEED_PERCENT;
  else if (relief == ACTION_UNTHROTTLE)
    attempt->target_speed_percent = FULL_SPEED_PERCENT;
  else if (relief == ACTION_EVICT && attempt->phase == PHASE_RUNNING
           && attempts->ops->rules_of (attempts->ctx, ledger_order->class_name)
                  .resumable)
    attempt->evicting = true;
  attempts_set_timer (attempts, attempt, now);
}

usec_t
attempts_tick (attempts_t *attempts, usec_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < attempts->due)
    return attempts->due;
  attempts->due = placement_tick (attempts->placement, now);
  g_hash_table_iter_init (&iter, attempts->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    worker_tick (attempts, now, (worker_t *)value);
  while (!g_sequence_is_empty (attempts->timers))
    {
      attempt_t *attempt = (attempt_t *)g_sequence_get (
          g_sequence_get_begin_iter (attempts->timers));

      if (attempt->due > now)
        break;
      attempts_set_timer (attempts, attempt, DUE_NEVER);
      attempt_step (attempts, now, attempt);
      if (attempt->due <= now)
        attempts_set_timer (attempts, attempt, now + 1);
    }
  check_turns (attempts, now);
  run_placement_pass (attempts, now);
  if (!g_sequence_is_empty (attempts->timers))
    attempts_wake (attempts,
                   ((const attempt_t *)g_sequence_get (
                        g_sequence_get_begin_iter (attempts->timers)))
                       ->due);
  return attempts->due;
}

json_t *
attempts_dump (const attempts_t *attempts, usec_t now)
{
  static const char *const phase_names[PHASE_COUNT]
      = { "proposed",      "starting", "running",
          "checkpointing", "stopping", "decided" };
  json_t *array = json_array ();
  GHashTableIter iter;
  gpointer value;
  char id[17];

  g_hash_table_iter_init (&iter, attempts->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const attempt_t *attempt = (const attempt_t *)value;

      g_snprintf (id, sizeof id, "%016" PRIx64, attempt->order);
      json_array_append_new (
          array, json_pack ("{s:s, s:I, s:s, s:s, s:b, s:I}", "order", id,
                            "attempt", (json_int_t)attempt->number, "worker",
                            attempt->worker ? attempt->worker->id : "",
                            "phase", phase_names[attempt->phase], "missing",
                            attempt->missing, "silent_ms",
                            (json_int_t)((now - attempt->last_seen_at)
                                         / USEC_PER_MSEC)));
    }
  return json_pack ("{s:o, s:I, s:I}", "attempts", array, "waiting",
                    (json_int_t)waiting_own_count (attempts->waiting),
                    "waiting_elsewhere",
                    (json_int_t)waiting_other_count (attempts->waiting));
}

void
attempts_set_timer (attempts_t *attempts, attempt_t *attempt, usec_t at)
{
  if (attempt->timer && attempt->due == at)
    return;
  if (attempt->timer)
    g_sequence_remove (attempt->timer);
  attempt->timer = NULL;
  attempt->due = at;
  if (at == DUE_NEVER)
    return;
  attempt->timer = g_sequence_insert_sorted (attempts->timers, attempt,
                                             compare_due, NULL);
  attempts_wake (attempts, at);
}

void
attempts_wake (attempts_t *attempts, usec_t at)
{
  attempts->due = MIN (attempts->due, at);
}

void
attempts_request_pass (attempts_t *attempts, usec_t now)
{
  attempts->needs_another_round = true;
  schedule_pass (attempts, now);
}

static void
schedule_pass (attempts_t *attempts, usec_t now)
{
  usec_t at = MAX (now, attempts->last_pass_at
                            + attempts->config.placement_interval);

  attempts->pass_due = MIN (attempts->pass_due, at);
  attempts_wake (attempts, attempts->pass_due);
}

uint64_t
attempts_send (attempts_t *attempts, usec_t now, worker_t *worker,
               worker_call_t *call)
{
  call_t *record;

  if (!worker->shard->owned
      || (worker->shard->quiesced && call->kind != CALL_START))
    return 0;
  call->epoch = worker->shard->epoch;
  if (!MUTATED (NO_MAY_ACT)
      && !attempts->ops->may_act (attempts->ctx, worker->shard->number,
                                  &call->epoch))
    return 0;
  call->id = attempts->next_call++;
  call->worker = worker->id;
  call->shard = worker->shard->number;
  record = g_new (call_t, 1);
  *record = (call_t){ call->kind, worker, call->order, call->attempt, now };
  g_hash_table_insert (attempts->calls, g_memdup2 (&call->id, sizeof call->id),
                       record);
  attempts->ops->call (attempts->ctx, call);
  return call->id;
}

/* A worker takes new work only if it has answered a list call since the shard
   was gained and answered one recently. */
void
attempts_worker_sync (attempts_t *attempts, usec_t now, worker_t *worker)
{
  worker_info_t info = worker->info;
  bool accepting = worker->list_answered && !worker->removed
                   && !worker->has_orphans && !worker->info.leaving
                   && !worker->shard->quiesced
                   && !worker_silent (attempts, now, worker);

  if (!worker->shard->owned)
    return;
  info.leaving = !accepting;
  placement_set_worker (attempts->placement, now, &info);
  if (accepting && !worker->accepting)
    attempts_request_pass (attempts, now);
  worker->in_placement = true;
  worker->accepting = accepting;
}

void
attempts_drop (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  order_id_t order = attempt->order;

  attempts_set_timer (attempts, attempt, DUE_NEVER);
  attempt_unreserve (attempts, now, attempt, true, 0);
  if (attempt->worker)
    g_ptr_array_remove_fast (attempt->worker->attempts, attempt);
  g_hash_table_remove (attempts->attempts, &order);
}

/* Takes over an attempt that this process did not start.  The remaining lease
   is unknown, so a full one is assumed to begin now. */
static void
adopt (void *ctx, const order_t *order)
{
  attempts_t *attempts = ((const visit_ctx_t *)ctx)->attempts;
  usec_t now = ((const visit_ctx_t *)ctx)->now;
  worker_t *worker = find_worker (attempts, order->worker);
  attempt_t *attempt = find_attempt (attempts, order->id);
  task_t task = task_of (attempts, order);

  if (attempt)
    attempts_drop (attempts, now, attempt);
  if (!worker)
    {
      worker = worker_new (attempts, order->worker, order->shard);
      worker->removed = true;
      attempts_worker_sync (attempts, now, worker);
    }
  attempt = propose (attempts, now, order, worker);
  attempt->number = order->attempt;
  attempt->phase = PHASE_RUNNING;
  attempt->start_sent = true;
  attempt->started_at = now;
  attempt->lease_from
      = MUTATED (ADOPT_AS_LAPSED) ? now - attempts->config.lease * 2 : now;
  attempt->expect_listed_from = now;
  attempt->renew_at = now;
  task.attempt = order->attempt;
  placement_adopt (attempts->placement, now, worker->id, &task);
  attempts_set_timer (attempts, attempt, now);
}

static void
enqueue (attempts_t *attempts, usec_t now, const order_t *order)
{
  bool own_turn = attempts->ops->is_turn (attempts->ctx, now, order);

  if (order->cancelled && own_turn)
    {
      waiting_remove (attempts->waiting, order->id);
      end_waiting (attempts, now, order, ATTEMPTS_STATUS_CANCELLED);
      return;
    }
  waiting_add (attempts->waiting, order, own_turn);
  if (own_turn)
    attempts_request_pass (attempts, now);
}

static usec_t
poll_interval (const attempts_t *attempts, const worker_t *worker)
{
  const attempts_config_t *config = &attempts->config;

  if (!worker->attempts->len && worker->accepting
      && config->idle_poll_interval)
    return config->idle_poll_interval;
  return config->poll_interval;
}

static void
worker_tick (attempts_t *attempts, usec_t now, worker_t *worker)
{
  worker_call_t call = { .kind = CALL_LIST };
  usec_t silent_at = worker->answered_at + attempts->config.silence_timeout;

  if (!worker->shard->owned || (worker->removed && !worker->attempts->len))
    return;
  if (worker->accepting && now >= silent_at)
    {
      log_line (LOG_LEVEL_WARNING, "poll", worker->id,
                "no answer to list calls for %lld ms; placing no new work",
                (now - worker->answered_at) / USEC_PER_MSEC);
      attempts_worker_sync (attempts, now, worker);
    }
  if (worker->accepting)
    attempts_wake (attempts, silent_at);
  if (worker->pending_list_call || MUTATED (NO_POLL))
    return;
  if (now >= worker->list_due)
    {
      worker->pending_list_call = attempts_send (attempts, now, worker, &call);
      worker->list_due
          = now
            + (worker->pending_list_call ? poll_interval (attempts, worker)
                                         : attempts->config.retry_interval);
    }
  if (!worker->pending_list_call)
    attempts_wake (attempts, worker->list_due);
}

static void
handle_list_reply (attempts_t *attempts, usec_t now, worker_t *worker,
                   const call_t *call, uint64_t id,
                   const worker_reply_t *reply)
{
  GPtrArray *worker_attempts;

  if (worker->pending_list_call == id)
    worker->pending_list_call = 0;
  attempts_wake (attempts, worker->list_due);
  if (!worker->shard->owned || call->sent_at < worker->shard->gained_at
      || reply->outcome != REPLY_ANSWERED || reply->status != 200)
    return;
  worker->list_answered = true;
  worker->answered_at = MAX (worker->answered_at, call->sent_at);
  worker->has_orphans = false;
  for (size_t i = 0; i < reply->count; i++)
    handle_listed_report (attempts, now, worker, &reply->reports[i], call, id);
  worker_attempts = g_ptr_array_copy (worker->attempts, NULL, NULL);
  for (guint i = 0; i < worker_attempts->len; i++)
    {
      attempt_t *attempt = (attempt_t *)g_ptr_array_index (worker_attempts, i);

      if (attempt->last_list_call != id
          && attempt->expect_listed_from <= call->sent_at)
        attempt->missing = true;
      attempt_step (attempts, now, attempt);
    }
  g_ptr_array_free (worker_attempts, TRUE);
  attempts_worker_sync (attempts, now, worker);
}

static void
handle_listed_report (attempts_t *attempts, usec_t now, worker_t *worker,
                      const attempt_report_t *report, const call_t *call,
                      uint64_t id)
{
  attempt_t *attempt = find_attempt (attempts, report->order);
  worker_call_t stop = { .kind = CALL_STOP,
                         .order = report->order,
                         .attempt = report->attempt };

  if (attempt && attempt->number == report->attempt
      && attempt->worker == worker)
    {
      attempt->last_list_call = id;
      attempt_report (attempts, now, attempt, report, call->sent_at);
    }
  else if (report->state == REPORT_RUNNING && is_orphan (attempts, report))
    {
      worker->has_orphans = true;
      attempts_send (attempts, now, worker, &stop);
    }
}

/* Returns whether the worker runs an attempt that the log has superseded,
   for example because the worker did not enforce the lease.  It must be
   stopped (invariant 2). */
static bool
is_orphan (const attempts_t *attempts, const attempt_report_t *report)
{
  const order_t *order = orders_get (attempts->orders, report->order);

  if (!order || MUTATED (KEEP_ORPHANS))
    return false;
  return report->attempt < order->attempt
         || (report->attempt == order->attempt
             && order->state != ORDER_STARTED);
}

static void
check_turns (attempts_t *attempts, usec_t now)
{
  order_id_t id;

  if (now >= attempts->turn_checks_due && !attempts->turn_checks_left)
    {
      attempts->turn_checks_left = waiting_other_count (attempts->waiting);
      attempts->turn_checks_due = now + attempts->config.turn_check_interval;
    }
  if (attempts->turn_checks_left && now < attempts->turn_checks_resume_at)
    {
      attempts_wake (attempts, attempts->turn_checks_resume_at);
      return;
    }
  attempts->turn_checks_resume_at = now + TURN_BATCH_PAUSE_USEC;
  for (unsigned i = 0;
       i < MAX_TURN_CHECKS_PER_BATCH && attempts->turn_checks_left; i++)
    {
      const order_t *order;

      attempts->turn_checks_left--;
      if (!waiting_next_other (attempts->waiting, &id))
        break;
      order = orders_get (attempts->orders, id);
      if (order && order->state == ORDER_WAITING)
        enqueue (attempts, now, order);
      else
        waiting_remove (attempts->waiting, id);
    }
  if (waiting_other_count (attempts->waiting))
    attempts_wake (attempts, attempts->turn_checks_left
                                 ? attempts->turn_checks_resume_at
                                 : attempts->turn_checks_due);
}

static void
run_placement_pass (attempts_t *attempts, usec_t now)
{
  visit_ctx_t visit_ctx = { attempts, now };

  if (now < attempts->pass_due)
    {
      attempts_wake (attempts, attempts->pass_due);
      return;
    }
  attempts->last_pass_at = now;
  attempts->pass_due = DUE_NEVER;
  if (!attempts->round_incomplete)
    attempts->needs_another_round = false;
  attempts->round_incomplete = !waiting_pass (
      attempts->waiting, MAX_VISITS_PER_PASS, try_place, &visit_ctx);
  if (attempts->round_incomplete || attempts->needs_another_round)
    schedule_pass (attempts, now);
}

static waiting_visit_t
try_place (void *ctx, order_id_t id)
{
  attempts_t *attempts = ((const visit_ctx_t *)ctx)->attempts;
  usec_t now = ((const visit_ctx_t *)ctx)->now;
  const order_t *order = orders_get (attempts->orders, id);
  const char *worker_id = NULL;
  place_result_t result;
  attempt_t *attempt;
  task_t task;

  if (!order || order->state != ORDER_WAITING || find_attempt (attempts, id))
    return WAITING_DONE;
  if (!attempts->ops->is_turn (attempts->ctx, now, order))
    return WAITING_OTHER_NODE;
  task = task_of (attempts, order);
  result = placement_choose (attempts->placement, now, &task, &worker_id);
  if (result == PLACE_NEVER_FITS && !MUTATED (NEVER_FITS_WAITS)
      && attempts->ops->never_fits (attempts->ctx, order))
    {
      end_waiting (attempts, now, order, ATTEMPTS_STATUS_NEVER_FITS);
      return WAITING_DONE;
    }
  if (result != PLACE_OK)
    return WAITING_NO_ROOM;
  attempt = propose (attempts, now, order, find_worker (attempts, worker_id));
  attempt_step (attempts, now, attempt);
  return WAITING_DONE;
}

static attempt_t *
propose (attempts_t *attempts, usec_t now, const order_t *order,
         worker_t *worker)
{
  attempt_t *attempt = g_new0 (attempt_t, 1);

  attempt->order = order->id;
  attempt->number = order->attempt + 1;
  attempt->worker = worker;
  attempt->phase = PHASE_PROPOSED;
  attempt->reserved = worker != NULL;
  attempt->last_seen_at = now;
  attempt->lease_from = now;
  attempt->expect_listed_from = INT64_MAX;
  attempt->retry_at = now;
  attempt->speed_percent = FULL_SPEED_PERCENT;
  attempt->target_speed_percent = FULL_SPEED_PERCENT;
  g_hash_table_replace (attempts->attempts, &attempt->order, attempt);
  if (worker)
    g_ptr_array_add (worker->attempts, attempt);
  return attempt;
}

/* A waiting order belongs to no shard, so the node whose turn it is ends it.
   The outcome is not-run only if no earlier attempt may have run
   (invariant 5). */
static void
end_waiting (attempts_t *attempts, usec_t now, const order_t *order,
             uint64_t status)
{
  attempt_t *attempt = propose (attempts, now, order, NULL);

  attempt->number = order->attempt;
  attempt_end (now, attempt,
               order->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, status,
               blob_of (""));
  attempt_step (attempts, now, attempt);
}

static task_t
task_of (const attempts_t *attempts, const order_t *order)
{
  return (task_t){
    .order = order->id,
    .attempt = order->attempt + 1,
    .class_name = order->class_name,
    .team = order->team,
    .millicores = order->millicores,
    .memory_mb = order->memory_mb,
    .accelerators = order->accelerators,
    .declared_ms = order->declared_ms,
    .urgent = order->urgent,
    .accepted_at = order->accepted_at,
    .resumable
    = attempts->ops->rules_of (attempts->ctx, order->class_name).resumable,
    .avoid = order->failures && !MUTATED (SAME_WORKER) ? order->worker : NULL,
  };
}

/* Returns whether the attempt is still the current or next one of its order
   in the table of orders. */
static bool
matches_ledger (const attempt_t *attempt, const order_t *order)
{
  if (order->state == ORDER_ENDED)
    return false;
  if (!attempt->worker)
    return order->state == ORDER_WAITING && order->attempt == attempt->number;
  if (order->state == ORDER_WAITING)
    return attempt->phase == PHASE_PROPOSED
           && order->attempt + 1 == attempt->number;
  return order->attempt == attempt->number
         && g_strcmp0 (order->worker, attempt->worker->id) == 0;
}

static attempt_t *
find_attempt (const attempts_t *attempts, order_id_t order)
{
  return (attempt_t *)g_hash_table_lookup (attempts->attempts, &order);
}

static worker_t *
find_worker (const attempts_t *attempts, const char *id)
{
  return id ? (worker_t *)g_hash_table_lookup (attempts->workers, id) : NULL;
}

static worker_t *
worker_new (attempts_t *attempts, const char *id, uint32_t shard)
{
  worker_t *worker = g_new0 (worker_t, 1);

  worker->id = g_strdup (id);
  worker->info.id = worker->id;
  worker->shard = get_shard (attempts, shard);
  worker->answered_at = worker->shard->gained_at;
  worker->list_due = USEC_NEVER;
  worker->attempts = g_ptr_array_new ();
  g_hash_table_insert (attempts->workers, worker->id, worker);
  return worker;
}

static shard_t *
get_shard (attempts_t *attempts, uint32_t number)
{
  gpointer key = GUINT_TO_POINTER (number);
  shard_t *shard = (shard_t *)g_hash_table_lookup (attempts->shards, key);

  if (!shard)
    {
      shard = g_new0 (shard_t, 1);
      shard->number = number;
      g_hash_table_insert (attempts->shards, key, shard);
    }
  return shard;
}

static bool
worker_silent (const attempts_t *attempts, usec_t now, const worker_t *worker)
{
  return now >= worker->answered_at + attempts->config.silence_timeout;
}

static int
compare_due (gconstpointer a, gconstpointer b, gpointer ctx)
{
  usec_t first = ((const attempt_t *)a)->due;
  usec_t second = ((const attempt_t *)b)->due;

  (void)ctx;
  return (first > second) - (first < second);
}

static void
worker_free (gpointer data)
{
  worker_t *worker = (worker_t *)data;

  g_ptr_array_free (worker->attempts, TRUE);
  g_free (worker->id);
  g_free (worker);
}

static void
attempt_free (gpointer data)
{
  attempt_t *attempt = (attempt_t *)data;

  if (attempt->checkpoint)
    g_bytes_unref (attempt->checkpoint);
  if (attempt->result)
    g_bytes_unref (attempt->result);
  g_free (attempt);
}

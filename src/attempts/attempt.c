/** @file
 * State machine of one attempt, from ORDER_START to ORDER_END or
 * ORDER_REQUEUE.
 */
#include "attempts/attempts_private.h"

#include "base/counters.h"
#include "base/log.h"

#include <inttypes.h>

#define MAX_CHECKPOINT_TRIES 3U
/* A lease is waited out for 1/100 longer than its length: the rates of two
   clocks differ by less than 1% (assumption A2). */
#define CLOCK_DRIFT_DIVISOR 100

typedef usec_t (*step_fn_t) (attempts_t *attempts, usec_t now,
                             attempt_t *attempt);
typedef void (*reply_fn_t) (attempts_t *attempts, usec_t now,
                            attempt_t *attempt, const call_t *call,
                            const worker_reply_t *reply);

static usec_t step_proposed (attempts_t *attempts, usec_t now,
                             attempt_t *attempt);
static usec_t step_starting (attempts_t *attempts, usec_t now,
                             attempt_t *attempt);
static usec_t step_running (attempts_t *attempts, usec_t now,
                            attempt_t *attempt);
static usec_t step_checkpointing (attempts_t *attempts, usec_t now,
                                  attempt_t *attempt);
static usec_t step_stopping (attempts_t *attempts, usec_t now,
                             attempt_t *attempt);
static usec_t step_decided (attempts_t *attempts, usec_t now,
                            attempt_t *attempt);
static usec_t step_lapse (attempts_t *attempts, usec_t now,
                          attempt_t *attempt);
static usec_t step_renewal (attempts_t *attempts, usec_t now,
                            attempt_t *attempt);
static usec_t step_call (attempts_t *attempts, usec_t now, attempt_t *attempt,
                         worker_call_kind_t kind);
static void replied_start (attempts_t *attempts, usec_t now,
                           attempt_t *attempt, const call_t *call,
                           const worker_reply_t *reply);
static void replied_renew (attempts_t *attempts, usec_t now,
                           attempt_t *attempt, const call_t *call,
                           const worker_reply_t *reply);
static void replied_checkpoint (attempts_t *attempts, usec_t now,
                                attempt_t *attempt, const call_t *call,
                                const worker_reply_t *reply);
static void replied_stop (attempts_t *attempts, usec_t now, attempt_t *attempt,
                          const call_t *call, const worker_reply_t *reply);
static void replied_throttle (attempts_t *attempts, usec_t now,
                              attempt_t *attempt, const call_t *call,
                              const worker_reply_t *reply);
static bool is_success (const worker_reply_t *reply);
static bool is_in_doubt (const attempts_t *attempts, usec_t now,
                         const attempt_t *attempt);
static void send_start (attempts_t *attempts, usec_t now, attempt_t *attempt,
                        const order_t *order);
static void set_phase (attempt_t *attempt, usec_t now, phase_t phase);
static void handle_not_started (attempts_t *attempts, usec_t now,
                                attempt_t *attempt,
                                const worker_reply_t *reply);
static void handle_ended (attempts_t *attempts, usec_t now, attempt_t *attempt,
                          const attempt_report_t *report);
static void handle_stopped (attempts_t *attempts, usec_t now,
                            attempt_t *attempt);
static void conclude_interrupted (attempts_t *attempts, usec_t now,
                                  attempt_t *attempt, requeue_reason_t reason);
static requeue_reason_t reason_of_loss (const attempts_t *attempts,
                                        const attempt_t *attempt);
static void requeue (usec_t now, attempt_t *attempt, requeue_reason_t reason);
static message_t start_entry (const attempt_t *attempt, uint64_t epoch);
static message_t decision_entry (const attempt_t *attempt, uint64_t epoch);
static usec_t append_entry (attempts_t *attempts, usec_t now,
                            attempt_t *attempt, const message_t *entry);
static bool is_cancelled (const attempts_t *attempts,
                          const attempt_t *attempt);
static bool is_last_loss (const attempts_t *attempts, const attempt_t *attempt,
                          requeue_reason_t reason);
static bool may_repeat (const attempts_t *attempts, const attempt_t *attempt);
static void store_checkpoint (attempt_t *attempt, blob_t checkpoint);

static const step_fn_t steps[PHASE_COUNT] = {
  [PHASE_PROPOSED] = step_proposed, [PHASE_STARTING] = step_starting,
  [PHASE_RUNNING] = step_running,   [PHASE_CHECKPOINTING] = step_checkpointing,
  [PHASE_STOPPING] = step_stopping, [PHASE_DECIDED] = step_decided
};

static const reply_fn_t replies[] = { [CALL_START] = replied_start,
                                      [CALL_RENEW] = replied_renew,
                                      [CALL_CHECKPOINT] = replied_checkpoint,
                                      [CALL_STOP] = replied_stop,
                                      [CALL_THROTTLE] = replied_throttle };

void
attempt_step (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  phase_t phase;
  usec_t due;

  do
    {
      phase = attempt->phase;
      due = steps[phase](attempts, now, attempt);
    }
  while (attempt->phase != phase);
  attempts_set_timer (attempts, attempt, due);
}

void
attempt_replied (attempts_t *attempts, usec_t now, attempt_t *attempt,
                 const call_t *call, const worker_reply_t *reply)
{
  bool may_have_arrived = reply->outcome == REPLY_LOST || is_success (reply);

  if ((call->kind == CALL_START || call->kind == CALL_RENEW)
      && may_have_arrived)
    attempt->lease_from = MUTATED (LEASE_FROM_SEND) ? call->sent_at : now;
  if (attempt->phase == PHASE_DECIDED)
    return;
  if (is_success (reply) && reply->count == 1
      && reply->reports[0].order == attempt->order
      && reply->reports[0].attempt == attempt->number)
    attempt_report (attempts, now, attempt, &reply->reports[0], call->sent_at);
  if (attempt->phase != PHASE_DECIDED)
    replies[call->kind](attempts, now, attempt, call, reply);
  attempt_step (attempts, now, attempt);
}

void
attempt_report (attempts_t *attempts, usec_t now, attempt_t *attempt,
                const attempt_report_t *report, usec_t sent_at)
{
  if (attempt->phase == PHASE_DECIDED || attempt->phase == PHASE_PROPOSED)
    return;
  store_checkpoint (attempt, report->checkpoint);
  if (report->state == REPORT_ENDED)
    handle_ended (attempts, now, attempt, report);
  else if (report->state == REPORT_STOPPED)
    handle_stopped (attempts, now, attempt);
  else
    {
      attempt->missing = false;
      attempt->last_seen_at = MAX (attempt->last_seen_at, sent_at);
      attempt->expect_listed_from = MIN (attempt->expect_listed_from, now);
      if (attempt->phase == PHASE_STARTING && !attempt->pending_call)
        set_phase (attempt, now, PHASE_RUNNING);
      placement_record_usage (attempts->placement, now, attempt->worker->id,
                              attempt->order, attempt->number,
                              report->millicores, report->memory_mb);
    }
}

void
attempt_end (usec_t now, attempt_t *attempt, outcome_t outcome,
             uint64_t status, blob_t result)
{
  set_phase (attempt, now, PHASE_DECIDED);
  attempt->decision = MSG_ORDER_END;
  attempt->outcome = outcome;
  attempt->status = status;
  attempt->result = g_bytes_new (result.data, result.len);
  if (outcome == OUTCOME_UNKNOWN)
    log_line (
        LOG_LEVEL_WARNING, "end", attempt->worker ? attempt->worker->id : NULL,
        "order %016" PRIx64 " attempt %" PRIu64 " ended with unknown outcome",
        attempt->order, attempt->number);
}

void
attempt_unreserve (attempts_t *attempts, usec_t now, attempt_t *attempt,
                   bool ok, usec_t run_time)
{
  if (!attempt->reserved)
    return;
  attempt->reserved = false;
  placement_attempt_ended (attempts->placement, now, attempt->worker->id,
                           attempt->order, attempt->number, ok, run_time);
  attempts_request_pass (attempts, now);
}

static usec_t
step_proposed (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  message_t entry = start_entry (attempt, attempt->worker->shard->epoch);
  usec_t due = append_entry (attempts, now, attempt, &entry);

  if (MUTATED (START_BEFORE_APPLIED))
    set_phase (attempt, now, PHASE_STARTING);
  return due;
}

/* The start is sent at most once.  If it certainly did not reach the worker,
   the attempt has not run (invariants 5 and 6). */
static usec_t
step_starting (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);

  if (attempt->start_sent)
    return step_lapse (attempts, now, attempt);
  if (now < attempt->retry_at)
    return attempt->retry_at;
  if (order && order->cancelled)
    {
      attempt_unreserve (attempts, now, attempt, true, 0);
      attempt_end (now, attempt,
                   order->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                   ATTEMPTS_STATUS_CANCELLED, blob_of (""));
      return now;
    }
  if (order)
    send_start (attempts, now, attempt, order);
  if (attempt->start_sent)
    return DUE_NEVER;
  attempt->retry_at = now + attempts->config.retry_interval;
  return attempt->retry_at;
}

static usec_t
step_running (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  usec_t due;

  if (is_cancelled (attempts, attempt))
    {
      if (MUTATED (CANCEL_WITHOUT_STOP))
        attempt_end (now, attempt, OUTCOME_NOT_RUN, ATTEMPTS_STATUS_CANCELLED,
                     blob_of (""));
      else
        set_phase (attempt, now, PHASE_STOPPING);
      return now;
    }
  if (attempt->evicting)
    {
      set_phase (attempt, now, PHASE_CHECKPOINTING);
      return now;
    }
  due = step_renewal (attempts, now, attempt);
  if (attempt->speed_percent != attempt->target_speed_percent
      && !is_in_doubt (attempts, now, attempt))
    due = MIN (due, step_call (attempts, now, attempt, CALL_THROTTLE));
  return MIN (due, step_lapse (attempts, now, attempt));
}

static usec_t
step_checkpointing (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  usec_t due;

  if (is_cancelled (attempts, attempt))
    {
      attempt->evicting = false;
      set_phase (attempt, now, PHASE_STOPPING);
      return now;
    }
  due = step_renewal (attempts, now, attempt);
  due = MIN (due, step_call (attempts, now, attempt, CALL_CHECKPOINT));
  return MIN (due, step_lapse (attempts, now, attempt));
}

/* The lease is not renewed, so that it expires if the stop calls are lost. */
static usec_t
step_stopping (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  usec_t due;

  if (MUTATED (EVICT_UNCONFIRMED) && attempt->evicting)
    {
      requeue (now, attempt, REQUEUE_EVICTED);
      return now;
    }
  due = step_call (attempts, now, attempt, CALL_STOP);
  return MIN (due, step_lapse (attempts, now, attempt));
}

static usec_t
step_decided (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  message_t entry = decision_entry (
      attempt, attempt->worker ? attempt->worker->shard->epoch : 0);

  return append_entry (attempts, now, attempt, &entry);
}

/* If the worker does not report the attempt, waits until its lease has
   certainly expired, counted from the latest time at which a start or renewal
   may have reached the worker. */
static usec_t
step_lapse (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  usec_t margin = MUTATED (NO_CLOCK_MARGIN)
                      ? 0
                      : attempts->config.lease / CLOCK_DRIFT_DIVISOR;
  usec_t lapse = attempt->lease_from + attempts->config.lease + margin;

  if (MUTATED (NO_LAPSE_WAIT))
    lapse = now;
  if (!is_in_doubt (attempts, now, attempt))
    return attempt->last_seen_at + attempts->config.silence_timeout;
  if (attempt->pending_renewal
      || (attempt->phase == PHASE_STARTING && attempt->pending_call))
    return DUE_NEVER;
  if (now < lapse)
    return lapse;
  attempt_unreserve (attempts, now, attempt, false, 0);
  conclude_interrupted (attempts, now, attempt,
                        reason_of_loss (attempts, attempt));
  return now;
}

static usec_t
step_renewal (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  worker_call_t call = { .kind = CALL_RENEW,
                         .order = attempt->order,
                         .attempt = attempt->number,
                         .lease = attempts->config.lease };

  if (MUTATED (NO_RENEWAL) || attempt->pending_renewal
      || is_in_doubt (attempts, now, attempt))
    return DUE_NEVER;
  if (now < attempt->renew_at)
    return attempt->renew_at;
  attempt->pending_renewal
      = attempts_send (attempts, now, attempt->worker, &call);
  attempt->renew_at
      = now
        + (attempt->pending_renewal ? attempts->config.renew_interval
                                    : attempts->config.retry_interval);
  return attempt->renew_at;
}

static usec_t
step_call (attempts_t *attempts, usec_t now, attempt_t *attempt,
           worker_call_kind_t kind)
{
  worker_call_t call = { .kind = kind,
                         .order = attempt->order,
                         .attempt = attempt->number,
                         .percent = attempt->target_speed_percent };

  if (attempt->pending_call)
    return DUE_NEVER;
  if (now < attempt->retry_at)
    return attempt->retry_at;
  attempt->pending_call
      = attempts_send (attempts, now, attempt->worker, &call);
  attempt->retry_at = now + attempts->config.retry_interval;
  return attempt->retry_at;
}

static void
replied_start (attempts_t *attempts, usec_t now, attempt_t *attempt,
               const call_t *call, const worker_reply_t *reply)
{
  bool refused = reply->outcome == REPLY_ANSWERED
                 && (reply->status == 503
                     || (reply->status >= 400 && reply->status < 500));

  (void)call;
  attempt->expect_listed_from = now;
  if (is_success (reply))
    {
      attempt->started_at = now;
      attempt->last_seen_at = now;
      attempt->renew_at = now + attempts->config.renew_interval;
      set_phase (attempt, now, PHASE_RUNNING);
    }
  else if (refused || reply->outcome == REPLY_NOT_SENT
           || MUTATED (CUT_IS_REFUSED))
    handle_not_started (attempts, now, attempt, reply);
  else
    attempt->missing = true;
}

static void
replied_renew (attempts_t *attempts, usec_t now, attempt_t *attempt,
               const call_t *call, const worker_reply_t *reply)
{
  (void)attempts;
  (void)now;
  if (is_success (reply))
    attempt->last_seen_at = MAX (attempt->last_seen_at, call->sent_at);
  else if (reply->outcome == REPLY_ANSWERED && reply->status == 404)
    attempt->missing = true;
}

static void
replied_checkpoint (attempts_t *attempts, usec_t now, attempt_t *attempt,
                    const call_t *call, const worker_reply_t *reply)
{
  if (attempt->phase != PHASE_CHECKPOINTING)
    return;
  if (is_success (reply))
    {
      set_phase (attempt, now, PHASE_STOPPING);
      return;
    }
  replied_renew (attempts, now, attempt, call, reply);
  if (++attempt->checkpoint_tries < MAX_CHECKPOINT_TRIES)
    return;
  attempt->checkpoint_tries = 0;
  attempt->evicting = false;
  set_phase (attempt, now, PHASE_RUNNING);
}

static void
replied_stop (attempts_t *attempts, usec_t now, attempt_t *attempt,
              const call_t *call, const worker_reply_t *reply)
{
  if (is_success (reply) && !reply->count)
    handle_stopped (attempts, now, attempt);
  else
    replied_renew (attempts, now, attempt, call, reply);
}

static void
replied_throttle (attempts_t *attempts, usec_t now, attempt_t *attempt,
                  const call_t *call, const worker_reply_t *reply)
{
  (void)call;
  if (is_success (reply))
    attempt->speed_percent = attempt->target_speed_percent;
  else
    attempt->retry_at = now + attempts->config.retry_interval;
}

static bool
is_success (const worker_reply_t *reply)
{
  return reply->outcome == REPLY_ANSWERED && reply->status >= 200
         && reply->status < 300;
}

static bool
is_in_doubt (const attempts_t *attempts, usec_t now, const attempt_t *attempt)
{
  return attempt->missing
         || now >= attempt->last_seen_at + attempts->config.silence_timeout;
}

static void
send_start (attempts_t *attempts, usec_t now, attempt_t *attempt,
            const order_t *order)
{
  gsize body_len = 0;
  gsize checkpoint_len = 0;
  worker_call_t call = {
    .kind = CALL_START,
    .order = order->id,
    .attempt = attempt->number,
    .lease = attempts->config.lease,
    .class_name = order->class_name,
    .millicores = order->millicores,
    .memory_mb = order->memory_mb,
    .accelerators = order->accelerators,
  };

  if (order->body)
    call.body.data = (const char *)g_bytes_get_data (order->body, &body_len);
  if (order->checkpoint && !MUTATED (NO_CHECKPOINT))
    call.checkpoint.data
        = (const char *)g_bytes_get_data (order->checkpoint, &checkpoint_len);
  call.body.len = (uint32_t)body_len;
  call.checkpoint.len = (uint32_t)checkpoint_len;
  attempt->pending_call
      = attempts_send (attempts, now, attempt->worker, &call);
  attempt->start_sent = attempt->pending_call != 0;
  attempt->lease_from = now;
  attempt->last_seen_at = now;
  if (attempt->start_sent)
    counter_add (COUNTER_ATTEMPTS_STARTED, 1);
}

/* The reply to a call of the previous phase is ignored. */
static void
set_phase (attempt_t *attempt, usec_t now, phase_t phase)
{
  attempt->phase = phase;
  attempt->pending_call = 0;
  attempt->retry_at = now;
}

static void
handle_not_started (attempts_t *attempts, usec_t now, attempt_t *attempt,
                    const worker_reply_t *reply)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);
  bool rejected = reply->outcome == REPLY_ANSWERED && reply->status != 503
                  && reply->status != 404 && reply->status != 409
                  && reply->status != 429;

  attempt_unreserve (attempts, now, attempt, false, 0);
  if (reply->outcome == REPLY_NOT_SENT)
    {
      attempt->worker->list_answered = false;
      attempt->worker->list_due = now;
      attempts_wake (attempts, now);
    }
  if (order && (order->cancelled || rejected))
    attempt_end (
        now, attempt, order->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
        rejected ? (uint64_t)reply->status : ATTEMPTS_STATUS_CANCELLED,
        blob_of (""));
  else
    requeue (now, attempt, REQUEUE_NOT_STARTED);
  attempts_worker_sync (attempts, now, attempt->worker);
}

/* A failed attempt of an idempotent class is repeated on another worker. */
static void
handle_ended (attempts_t *attempts, usec_t now, attempt_t *attempt,
              const attempt_report_t *report)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);
  bool ok = report->status < 500;
  usec_t run_time = MAX (now - attempt->started_at, 1);

  attempt_unreserve (attempts, now, attempt, ok, run_time);
  if (!ok && order && !order->cancelled
      && order->failures + 1 < attempts->config.max_failures
      && (MUTATED (RETRY_ALL)
          || attempts->ops->rules_of (attempts->ctx, order->class_name)
                 .idempotent))
    requeue (now, attempt, REQUEUE_FAILED);
  else
    attempt_end (now, attempt, OUTCOME_RAN, report->status, report->result);
}

/* The worker reports that the attempt was stopped before it finished. */
static void
handle_stopped (attempts_t *attempts, usec_t now, attempt_t *attempt)
{
  attempt_unreserve (attempts, now, attempt, true, 0);
  if (is_cancelled (attempts, attempt))
    attempt_end (now, attempt, OUTCOME_RAN, ATTEMPTS_STATUS_CANCELLED,
                 blob_of (""));
  else if (attempt->phase == PHASE_STOPPING && attempt->evicting)
    {
      counter_add (COUNTER_EVICTIONS, 1);
      requeue (now, attempt, REQUEUE_EVICTED);
    }
  else
    conclude_interrupted (attempts, now, attempt, REQUEUE_LEASE_LAPSED);
}

/* The attempt has certainly stopped, but its progress is unknown. */
static void
conclude_interrupted (attempts_t *attempts, usec_t now, attempt_t *attempt,
                      requeue_reason_t reason)
{
  if (is_cancelled (attempts, attempt))
    attempt_end (now, attempt, OUTCOME_UNKNOWN, ATTEMPTS_STATUS_CANCELLED,
                 blob_of (""));
  else if (may_repeat (attempts, attempt)
           && !is_last_loss (attempts, attempt, reason))
    requeue (now, attempt, reason);
  else
    attempt_end (now, attempt, OUTCOME_UNKNOWN, 0, blob_of (""));
}

/* An order may take its worker down as soon as it is started. */
static requeue_reason_t
reason_of_loss (const attempts_t *attempts, const attempt_t *attempt)
{
  return !attempt->started_at
                 || attempt->last_seen_at - attempt->started_at
                        < attempts->config.renew_interval
             ? REQUEUE_LOST_EARLY
             : REQUEUE_LEASE_LAPSED;
}

static bool
is_last_loss (const attempts_t *attempts, const attempt_t *attempt,
              requeue_reason_t reason)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);

  return reason == REQUEUE_LOST_EARLY && order
         && order->early_losses + 1 >= attempts->config.max_early_losses;
}

static void
requeue (usec_t now, attempt_t *attempt, requeue_reason_t reason)
{
  set_phase (attempt, now, PHASE_DECIDED);
  attempt->decision = MSG_ORDER_REQUEUE;
  attempt->requeue_reason = reason;
}

static message_t
start_entry (const attempt_t *attempt, uint64_t epoch)
{
  return (message_t){ .type = MSG_ORDER_START,
                      .u.order_start
                      = { .order = attempt->order,
                          .attempt = attempt->number,
                          .worker = blob_of (attempt->worker->id),
                          .shard = attempt->worker->shard->number,
                          .epoch = epoch } };
}

static message_t
decision_entry (const attempt_t *attempt, uint64_t epoch)
{
  message_t entry = { .type = attempt->decision };
  uint64_t shard = attempt->worker ? attempt->worker->shard->number : 0;
  GBytes *bytes = attempt->decision == MSG_ORDER_END ? attempt->result
                                                     : attempt->checkpoint;
  gsize len = 0;
  blob_t blob = { NULL, 0 };

  if (bytes)
    blob.data = (const char *)g_bytes_get_data (bytes, &len);
  blob.len = (uint32_t)len;
  if (attempt->decision == MSG_ORDER_END)
    entry.u.order_end = (msg_order_end_t){ .order = attempt->order,
                                           .attempt = attempt->number,
                                           .shard = shard,
                                           .epoch = epoch,
                                           .outcome = attempt->outcome,
                                           .status = attempt->status,
                                           .result = blob };
  else
    entry.u.order_requeue
        = (msg_order_requeue_t){ .order = attempt->order,
                                 .attempt = attempt->number,
                                 .shard = shard,
                                 .epoch = epoch,
                                 .reason = attempt->requeue_reason,
                                 .checkpoint = blob };
  return entry;
}

/* At most one entry of an attempt is being appended at a time. */
static usec_t
append_entry (attempts_t *attempts, usec_t now, attempt_t *attempt,
              const message_t *entry)
{
  if (attempt->ticket)
    return DUE_NEVER;
  if (now < attempt->retry_at)
    return attempt->retry_at;
  attempt->retry_at = now + attempts->config.retry_interval;
  attempt->ticket = attempts->ops->append (attempts->ctx, now, entry);
  if (!attempt->ticket)
    return attempt->retry_at;
  g_hash_table_replace (attempts->tickets,
                        g_memdup2 (&attempt->ticket, sizeof attempt->ticket),
                        g_memdup2 (&attempt->order, sizeof attempt->order));
  return DUE_NEVER;
}

static bool
is_cancelled (const attempts_t *attempts, const attempt_t *attempt)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);

  return order && order->cancelled;
}

static bool
may_repeat (const attempts_t *attempts, const attempt_t *attempt)
{
  const order_t *order = orders_get (attempts->orders, attempt->order);
  retry_rules_t rules = { false, false };

  if (order)
    rules = attempts->ops->rules_of (attempts->ctx, order->class_name);
  return rules.idempotent || rules.resumable || MUTATED (REPEAT_ALL);
}

static void
store_checkpoint (attempt_t *attempt, blob_t checkpoint)
{
  if (!checkpoint.len)
    return;
  if (attempt->checkpoint)
    g_bytes_unref (attempt->checkpoint);
  attempt->checkpoint = g_bytes_new (checkpoint.data, checkpoint.len);
}

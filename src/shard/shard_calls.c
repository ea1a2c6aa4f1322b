/** @file
 * Calls to workers and their replies.
 */
#include "shard/shard_private.h"

#define START_RETRY (300 * USEC_PER_MSEC)
/* A start that is not answered for this long is withdrawn, so that the task is
   started elsewhere. */
#define START_LIMIT (2 * USEC_PER_SEC)
/* A stop is idempotent and its task may not run on: unlike a start it is soon
   taken for lost, and repeated at once for the first STOPS_IN_A_ROW times.
   After STOPS_WITHOUT_ANSWER its worker may be slow, and it waits as long as
   other calls. */
#define STOP_TIMEOUT (250 * USEC_PER_MSEC)
#define STOPS_IN_A_ROW 3U
#define STOPS_WITHOUT_ANSWER 6U
#define STOP_RETRY (500 * USEC_PER_MSEC)
/* After an answered stop, in addition to the time that stopping takes. */
#define STOP_MARGIN (100 * USEC_PER_MSEC)
#define HOLD_RETRY (250 * USEC_PER_MSEC)
/* Interval of holds while reported ends are not stored; such holds do not
   wait. */
#define HOLD_INTERVAL_UNSTORED (USEC_PER_SEC)
#define NO_ROOM_PAUSE (200 * USEC_PER_MSEC)
#define UNHEALTHY_PAUSE (1500 * USEC_PER_MSEC)
/* A worker whose leases have expired is taken to have crashed if it is no
   longer listed and has refused connections so many times over at least this
   time.  Before that it may run on: a device between may refuse for it, and
   its entry expires if it does not reach the store.  A single refusal may come
   from a process that is still starting. */
#define DEAD_AFTER_REFUSALS 2U
#define DEAD_AFTER_REFUSED_SPAN (400 * USEC_PER_MSEC)
/* A run whose reported percentage has not changed for this long is stalled.
   Runs of up to 200 s advance by at least one percent in this time. */
#define STALLED_AFTER (2 * USEC_PER_SEC)
#define STALLED_PAUSE (4 * USEC_PER_SEC)
#define MAX_STALLS 2U
/* Longest interval between lists of a worker with runs.  After a longer one it
   is not known whether the runs advanced. */
#define MAX_LIST_GAP (1500 * USEC_PER_MSEC)
/* A run is taken to have ended after it is missing from this many consecutive
   lists. */
#define MISSING_AFTER_LISTS 2U

static bool seems_crashed (const worker_t *worker, usec_t now);
static void mark_ends_stored (usec_t now, worker_t *worker);
static void send_hold (shard_t *shard, usec_t now, handle_t handle);
static void send_run_calls (shard_t *shard, usec_t now);
static usec_t send_run_call (shard_t *shard, usec_t now, handle_t handle);
static void send_start (shard_t *shard, usec_t now, handle_t handle);
static void send_stop (shard_t *shard, usec_t now, handle_t worker,
                       const run_id_t *run_id, handle_t run);
static int64_t lease_until (const shard_t *shard, const worker_t *worker,
                            usec_t now);
static uint64_t add_pending_call (shard_t *shard, usec_t now,
                                  shard_call_kind_t kind, handle_t worker,
                                  handle_t run, bool has_lease);
static void on_hold (shard_t *shard, usec_t now, const pending_call_t *pending,
                     const shard_reply_t *reply, bool restarted);
static void on_failed_hold (shard_t *shard, usec_t now, handle_t handle,
                            shard_reply_kind_t kind);
static void repeat_start (shard_t *shard, usec_t now, handle_t handle);
static void on_start (shard_t *shard, usec_t now, handle_t handle,
                      const shard_reply_t *reply);
static void on_stop (shard_t *shard, usec_t now, handle_t handle,
                     const shard_reply_t *reply);
static bool is_from_its_address (const worker_t *worker,
                                 const pending_call_t *pending);
static void on_no_answer (shard_t *shard, usec_t now, handle_t handle,
                          shard_reply_kind_t kind);
static void on_restart (const shard_t *shard, usec_t now, worker_t *worker,
                        int64_t started_ms);
static bool is_from_former_incarnation (const worker_t *worker,
                                        const pending_call_t *pending,
                                        const shard_reply_t *reply);
static bool is_from_next_incarnation (const worker_t *worker,
                                      const pending_call_t *pending,
                                      const shard_reply_t *reply);
static void restart_stall_timers (const shard_t *shard, usec_t now,
                                  const worker_t *worker);
static void apply_ends (shard_t *shard, usec_t now, handle_t handle,
                        const shard_reply_t *reply);
static uint32_t newer_run (const shard_t *shard, const run_id_t *run_id);
static void apply_runs (shard_t *shard, usec_t now, handle_t handle,
                        const shard_reply_t *reply);
static void check_stalled (shard_t *shard, usec_t now, handle_t handle);
static bool may_be_accepted_since (const run_t *run, usec_t sent);
static void requeue_missing_runs (shard_t *shard, usec_t now, handle_t handle,
                                  const shard_reply_t *reply, usec_t sent,
                                  bool restarted);
static handle_t find_run (const shard_t *shard, handle_t worker,
                          const run_id_t *run_id);
static usec_t check_lease_expiry (shard_t *shard, usec_t now, handle_t handle);

const char *
shard_reply_name (shard_reply_kind_t kind)
{
  static const char *const names[] = { "ok",
                                       "higher token",
                                       "run already ended",
                                       "lease expired",
                                       "no room",
                                       "unhealthy",
                                       "invalid",
                                       "another worker",
                                       "connection refused",
                                       "no answer" };

  return names[kind];
}

usec_t
calls_tick (shard_t *shard, usec_t now)
{
  usec_t next = INT64_MAX;
  bool unstored = shard_has_unstored (shard);

  /* An owner that the store has not confirmed for long may have a successor,
     which assumes that the leases of its runs have expired: it must not
     extend them. */
  if (now - shard->confirmed_at > shard->config.stale_limit)
    return now + HOLD_RETRY;
  if (now >= shard->run_calls_due)
    send_run_calls (shard, now);
  next = shard->run_calls_due;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);
      usec_t due = check_lease_expiry (shard, now, h);

      next = MIN (next, due);
      if (!unstored)
        mark_ends_stored (now, worker);
      if (worker->hold_in_flight || !worker->address[0])
        continue;
      if (now >= worker->hold_due)
        send_hold (shard, now, h);
      else
        next = MIN (next, worker->hold_due);
    }
  return next;
}

/* Requeues the tasks of a worker in doubt once its leases have expired.
   @return when to call again */
static usec_t
check_lease_expiry (shard_t *shard, usec_t now, handle_t handle)
{
  static const char why[] = "lease expired";
  const worker_t *worker = worker_get (shard, handle);

  if (!worker->in_doubt || !worker->runs->len)
    return INT64_MAX;
  if (now < worker->leases_expired_at)
    return worker->leases_expired_at;
  if (seems_crashed (worker, now))
    crashes_worker_lost (shard, now, handle, why);
  else
    crashes_leases_expired (shard, now, handle);
  return INT64_MAX;
}

/* @return whether the worker is no longer listed and refuses connections */
static bool
seems_crashed (const worker_t *worker, usec_t now)
{
  return !worker->listed && worker->refused_holds >= DEAD_AFTER_REFUSALS
         && now - worker->refused_since >= DEAD_AFTER_REFUSED_SPAN;
}

static int64_t
lease_until (const shard_t *shard, const worker_t *worker, usec_t now)
{
  usec_t horizon = shard->confirmed_at + shard->config.lease_horizon - now;

  if (!worker->clock_at)
    return 0;
  return worker_clock (worker, now)
         + usec_to_msec (MIN (shard->config.lease, horizon));
}

static uint64_t
add_pending_call (shard_t *shard, usec_t now, shard_call_kind_t kind,
                  handle_t worker, handle_t run, bool has_lease)
{
  pending_call_t *pending = g_new0 (pending_call_t, 1);
  uint64_t id = ++shard->last_call_id;

  pending->kind = kind;
  pending->worker = worker;
  pending->address_changes = worker_get (shard, worker)->address_changes;
  pending->started_ms = worker_get (shard, worker)->started_ms;
  pending->run = run;
  pending->has_lease = has_lease;
  pending->sent = now;
  g_hash_table_insert (shard->pending_calls, g_memdup2 (&id, sizeof id),
                       pending);
  return id;
}

/* @return whether lists of the worker have to tell what became of a stopped
   run, or of one that it has without a record */
static bool
awaits_stopped_run (const shard_t *shard, const worker_t *worker)
{
  if (worker->stray_runs)
    return true;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->stop_requested && run->stops_answered)
        return true;
    }
  return false;
}

static usec_t
hold_wait (const shard_t *shard, const worker_t *worker)
{
  /* A run that the worker never had ends without an end, which would have the
     hold return early, and only lists clear suspects.  A run without a record
     is stopped again if the next list still has it. */
  if (awaits_stopped_run (shard, worker) || worker->unproven[SUSPICION_STRONG])
    return MIN (shard->config.poll_busy, shard->config.stop_limit);
  if (!worker->runs->len)
    return shard->config.poll_idle;
  return worker->serving_runs && worker->best_effort_runs
             ? shard->config.poll_shared
             : shard->config.poll_busy;
}

/* With nothing left to be stored, all ends that were applied are stored, those
   that changed no job included. */
static void
mark_ends_stored (usec_t now, worker_t *worker)
{
  if (worker->ends_stored == worker->ends_applied)
    return;
  worker->ends_stored = worker->ends_applied;
  worker->hold_due = MIN (worker->hold_due, now);
}

static void
send_hold (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  shard_call_t call = { .kind = SHARD_HOLD };
  bool unstored = worker->ends_applied != worker->ends_stored;

  call.address = worker->address;
  call.worker = worker->id;
  call.token = shard->token;
  /* No lease is extended at a worker that does not answer, so that its runs
     can be started elsewhere once their leases have expired. */
  if (!worker->in_doubt && !worker->lapsing)
    call.lease_until = lease_until (shard, worker, now);
  /* A restarted worker numbers its ends from 1 again, and the restart may not
     be known yet: ends are acknowledged only while the worker lists some, and
     not to a worker in doubt. */
  call.acknowledged_end
      = worker->in_doubt || !worker->ends_listed ? 0 : worker->ends_stored;
  if (!worker->in_doubt && !worker->lapsing && !unstored)
    call.wait = hold_wait (shard, worker);
  call.timeout = shard->config.call_timeout + call.wait;
  call.id = add_pending_call (shard, now, SHARD_HOLD, handle, HANDLE_NONE,
                              call.lease_until != 0);
  worker->hold_in_flight = true;
  if (call.lease_until)
    worker_lease_sent (shard, worker, now, call.lease_until);
  counter_add (COUNTER_WORKER_HOLDS, 1);
  shard->ops->call (shard->ctx, &call);
}

static void
send_run_calls (shard_t *shard, usec_t now)
{
  shard->run_calls_due = INT64_MAX;
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      usec_t due = send_run_call (shard, now, h);

      shard->run_calls_due = MIN (shard->run_calls_due, due);
    }
}

static usec_t
send_run_call (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);

  if (now < run->call_due)
    return run->call_due;
  run->call_due = INT64_MAX;
  if (run->stop_requested)
    {
      if (!run->stop_in_flight)
        {
          run->stop_in_flight = true;
          send_stop (shard, now, run->worker, &run->run_id, handle);
        }
    }
  else if (run->state == RUN_STARTING && !run->start_in_flight)
    send_start (shard, now, handle);
  run = run_get (shard, handle);
  return run ? run->call_due : INT64_MAX;
}

static void
send_start (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);
  worker_t *worker = worker_get (shard, run->worker);
  const job_entry_t *entry = shard_entry (shard, run->run_id.job);
  const task_t *task = job_task (entry->job, run->run_id.occurrence,
                                 run->run_id.step, run->run_id.index);
  shard_call_t call = { .kind = SHARD_START };
  char text[64];

  /* A start extends all leases of the worker, so none is sent to a worker in
     doubt. */
  if (!worker->clock_at || worker->in_doubt || worker->lapsing
      || !zones_are_current (shard, now)
      || !worker_capacity_is_known (shard, now, worker))
    {
      run->call_due = now + HOLD_RETRY;
      return;
    }
  if (withdraw_start (shard, now, handle))
    return;
  call.id
      = add_pending_call (shard, now, SHARD_START, run->worker, handle, true);
  call.address = worker->address;
  call.worker = worker->id;
  call.token = shard->token;
  call.lease_until = lease_until (shard, worker, now);
  call.timeout = shard->config.call_timeout;
  call.run_id = run->run_id;
  call.spec = entry->job->submission->spec;
  call.checkpoint = task->checkpoint;
  run->start_in_flight = true;
  run->start_expires_ms = MAX (run->start_expires_ms, call.lease_until);
  if (!run->start_sent)
    log_item (LOG_LEVEL_INFO, run->run_id.job, "run.start", worker->address,
              "task=%s run=%u worker=%s token=%" PRIu64 " used=%" PRIu64
              "/%u heard_ms=%" PRId64 " resumed=%d",
              run_format_id (&run->run_id, text), run->run_id.run, worker->id,
              shard->token, worker->used_millicores, worker->millicores,
              usec_to_msec (now - worker->last_answer),
              task->checkpoint != NULL);
  if (!run->start_sent)
    run->unsettled_since = run->started_at = now;
  run->start_sent = true;
  worker_lease_sent (shard, worker, now, call.lease_until);
  counter_add (COUNTER_RUNS_STARTED, 1);
  shard->ops->call (shard->ctx, &call);
}

static void
send_stop (shard_t *shard, usec_t now, handle_t worker_handle,
           const run_id_t *run_id, handle_t run)
{
  const worker_t *worker = worker_get (shard, worker_handle);
  const run_t *stopped = run_get (shard, run);
  shard_call_t call = { .kind = SHARD_STOP };

  call.id
      = add_pending_call (shard, now, SHARD_STOP, worker_handle, run, false);
  call.address = worker->address;
  call.worker = worker->id;
  call.token = shard->token;
  call.timeout = shard->config.call_timeout;
  if (!stopped || stopped->stops_unanswered < STOPS_WITHOUT_ANSWER)
    call.timeout = MIN (call.timeout, STOP_TIMEOUT);
  call.run_id = *run_id;
  shard->ops->call (shard->ctx, &call);
}

void
shard_reply (shard_t *shard, usec_t now, uint64_t id,
             const shard_reply_t *reply)
{
  static const shard_reply_t no_answer = { .kind = SHARD_REPLY_NONE };
  pending_call_t *found = g_hash_table_lookup (shard->pending_calls, &id);
  pending_call_t pending;
  worker_t *worker;

  if (!found)
    return;
  pending = *found;
  g_hash_table_remove (shard->pending_calls, &id);
  worker = worker_get (shard, pending.worker);
  if (!worker || !shard->active)
    return;
  if (pending.kind == SHARD_HOLD)
    worker->hold_in_flight = false;
  if (reply->kind == SHARD_REPLY_FENCED)
    {
      shard_supersede (shard, worker->id);
      return;
    }
  if (reply->kind == SHARD_REPLY_OTHER_WORKER
      && !is_from_its_address (worker, &pending))
    reply = &no_answer;
  if (reply->kind == SHARD_REPLY_OTHER_WORKER)
    {
      worker->hold_due = now + HOLD_RETRY;
      worker_doubt (worker, now);
      worker->unanswered_holds++;
      crashes_worker_lost (shard, now, pending.worker,
                           "another worker answers at its address");
      return;
    }
  if (pending.has_lease && pending.started_ms != worker->started_ms)
    stray_note (shard, now, worker);
  if (reply->kind == SHARD_REPLY_NONE || reply->kind == SHARD_REPLY_REFUSED)
    on_no_answer (shard, now, pending.worker, reply->kind);
  if (is_from_former_incarnation (worker, &pending, reply))
    reply = &no_answer;
  /* Before the first answer the start is that of the entry, which another
     writer may have left: a later one than the worker's is not true. */
  if (reply->started_ms && reply->started_ms < worker->started_ms
      && !worker->fenced && !worker->runs->len)
    worker->started_ms = 0;
  worker->restarted |= reply->started_ms && worker->started_ms
                       && reply->started_ms != worker->started_ms;
  if (reply->started_ms && reply->started_ms != worker->started_ms)
    on_restart (shard, now, worker, reply->started_ms);
  if (!reply->started_ms && is_from_next_incarnation (worker, &pending, reply))
    stray_note (shard, now, worker);
  if (reply->clock_ms)
    worker_set_clock (worker, now, reply->clock_ms);
  if (pending.kind == SHARD_HOLD)
    on_hold (shard, now, &pending, reply, worker->restarted);
  else if (pending.kind == SHARD_START)
    {
      histogram_add (HISTOGRAM_START_CALL, now - pending.sent);
      on_start (shard, now, pending.run, reply);
    }
  else if (pending.kind == SHARD_STOP)
    on_stop (shard, now, pending.run, reply);
}

/* An answer of another worker at an address where this one was reached shows
   that it has ended.  At any other, such as a former one or one that another
   writer has put into its entry, it shows only that the call did not arrive.
 */
static bool
is_from_its_address (const worker_t *worker, const pending_call_t *pending)
{
  return worker->reached
         && pending->address_changes == worker->address_changes;
}

static void
on_no_answer (shard_t *shard, usec_t now, handle_t handle,
              shard_reply_kind_t kind)
{
  worker_t *worker = worker_get (shard, handle);

  if (!worker->in_doubt)
    log_line (LOG_LEVEL_NOTICE, "worker.silent", worker->address,
              "worker=%s runs=%u answered_ms_ago=%" PRId64 " refused=%d",
              worker->id, worker->runs->len,
              usec_to_msec (now - worker->last_answer),
              kind == SHARD_REPLY_REFUSED);
  worker_doubt (worker, now);
  if (!worker->hold_in_flight)
    worker->hold_due = MIN (worker->hold_due, now);
}

static void
on_hold (shard_t *shard, usec_t now, const pending_call_t *pending,
         const shard_reply_t *reply, bool restarted)
{
  handle_t handle = pending->worker;
  worker_t *worker = worker_get (shard, handle);
  GArray *given_up = NULL;

  if (reply->kind != SHARD_REPLY_OK || !reply->has_lists)
    {
      on_failed_hold (shard, now, handle, reply->kind);
      return;
    }
  if (!worker->fenced)
    {
      worker->fenced = true;
      worker->leases_expired_at = MIN (worker->leases_expired_at,
                                       now + worker_max_lease_duration (shard)
                                           + shard->config.stop_limit);
      stray_note_taken_over (shard, now, worker);
    }
  if (worker->in_doubt && worker->unanswered_holds)
    log_line (LOG_LEVEL_NOTICE, "worker.back", worker->address,
              "worker=%s silent_ms=%" PRId64 " runs=%zu ends=%zu", worker->id,
              usec_to_msec (now - worker->last_answer), reply->run_count,
              reply->end_count);
  if (worker->in_doubt)
    shard->placement_needed = true;
  if (restarted)
    {
      worker_doubt (worker, now);
      given_up = crashes_note (shard, now, handle);
    }
  restart_stall_timers (shard, now, worker);
  worker->reached |= pending->address_changes == worker->address_changes;
  worker->in_doubt = !worker->reached;
  worker->unanswered_holds = 0;
  worker->refused_holds = 0;
  worker->last_answer = now - worker_answer_age (worker, now, reply->clock_ms);
  worker->ends_listed = reply->end_count != 0;
  apply_ends (shard, now, handle, reply);
  apply_runs (shard, now, handle, reply);
  requeue_missing_runs (shard, now, handle, reply, pending->sent, restarted);
  if (given_up)
    crashes_give_up (shard, now, given_up);
  sharing_apply_list (shard, now, handle);
  check_stalled (shard, now, handle);
  worker = worker_get (shard, handle);
  worker->restarted &= reply->has_more_ends;
  worker->hold_due = now;
  if (worker->lapsing)
    worker->hold_due += HOLD_RETRY;
  else if (worker->ends_applied != worker->ends_stored)
    worker->hold_due += HOLD_INTERVAL_UNSTORED;
}

/* A rejected hold is treated as one without an answer: its worker may not be
   able to extend leases. */
static void
on_failed_hold (shard_t *shard, usec_t now, handle_t handle,
                shard_reply_kind_t kind)
{
  worker_t *worker = worker_get (shard, handle);

  on_no_answer (shard, now, handle, kind);
  worker->unanswered_holds++;
  worker->hold_due = now + HOLD_RETRY;
  if (kind != SHARD_REPLY_REFUSED)
    {
      worker->refused_holds = 0;
      return;
    }
  if (!worker->refused_holds++)
    worker->refused_since = now;
}

/* The worker answers in another incarnation: the numbers of its ends start at
   1 again and its clock is unknown. */
static void
on_restart (const shard_t *shard, usec_t now, worker_t *worker,
            int64_t started_ms)
{
  log_line (LOG_LEVEL_NOTICE, "worker.reborn", worker->address,
            "worker=%s life_ms=%" PRId64 " former=%" PRId64
            " runs=%u former_clock_ms=%" PRId64 " leases_left_ms=%" PRId64,
            worker->id, started_ms, worker->started_ms, worker->runs->len,
            worker->clock_at ? worker_clock (worker, now) : 0,
            usec_to_msec (MAX (worker->leases_expired_at - now, 0)));
  stray_note (shard, now, worker);
  worker->started_ms = started_ms;
  worker->started_known_at = now;
  worker->ends_applied = 0;
  worker->ends_stored = 0;
  worker->clock_at = 0;
}

/* Answers may arrive out of order.  Incarnations are told apart by the time of
   their start, which may be earlier than that of their predecessor if the
   worker's clock was set back.  An answer with an earlier start is therefore
   stale only if its call was sent before the current incarnation was known.
   Answers to starts and stops do not tell their incarnation: they count for
   the current one only if the call was sent since it is known. */
static bool
is_from_former_incarnation (const worker_t *worker,
                            const pending_call_t *pending,
                            const shard_reply_t *reply)
{
  if (pending->sent >= worker->started_known_at)
    return false;
  if (!reply->started_ms)
    return pending->kind != SHARD_HOLD;
  return worker->started_ms && reply->started_ms < worker->started_ms;
}

/* Answers to starts and stops do not tell their incarnation, but the clock: at
   the answer it has reached what it was at least when the call was sent,
   unless another incarnation has started it anew. */
static bool
is_from_next_incarnation (const worker_t *worker,
                          const pending_call_t *pending,
                          const shard_reply_t *reply)
{
  return reply->clock_ms && worker->clock_at
         && reply->clock_ms < worker_clock_since (worker, pending->sent);
}

/* Does not count the time without lists as time without progress. */
static void
restart_stall_timers (const shard_t *shard, usec_t now, const worker_t *worker)
{
  bool silent = now - worker->last_answer > MAX_LIST_GAP;

  for (guint i = 0; silent && i < worker->runs->len; i++)
    run_get (shard, g_array_index (worker->runs, handle_t, i))->progressed_at
        = now;
}

static bool
is_run (const run_t *run, handle_t worker, const run_id_t *run_id)
{
  return run && run->worker == worker && run->run_id.job == run_id->job
         && run->run_id.occurrence == run_id->occurrence
         && run->run_id.step == run_id->step
         && run->run_id.index == run_id->index
         && run->run_id.run == run_id->run;
}

/* A lost run has no task that refers to it.  @return HANDLE_NONE for none */
static handle_t
find_lost_run (const shard_t *shard, handle_t worker, const run_id_t *run_id)
{
  const GArray *runs = worker_get (shard, worker)->runs;

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      const run_t *run = run_get (shard, h);

      if (run->lost && is_run (run, worker, run_id))
        return h;
    }
  return HANDLE_NONE;
}

static handle_t
find_run (const shard_t *shard, handle_t worker, const run_id_t *run_id)
{
  const job_entry_t *entry = shard_entry (shard, run_id->job);
  const task_t *task = NULL;

  if (entry && entry->job && entry->job->submission)
    task = job_task (entry->job, run_id->occurrence, run_id->step,
                     run_id->index);
  if (task && task->state == TASK_PLACED)
    {
      handle_t copy = task->copy ? task->copy->run_handle : HANDLE_NONE;

      if (is_run (run_get (shard, task->run_handle), worker, run_id))
        return task->run_handle;
      if (is_run (run_get (shard, copy), worker, run_id))
        return copy;
    }
  return find_lost_run (shard, worker, run_id);
}

static void
apply_ends (shard_t *shard, usec_t now, handle_t handle,
            const shard_reply_t *reply)
{
  uint64_t last = worker_get (shard, handle)->ends_applied;

  for (size_t i = 0; i < reply->end_count; i++)
    {
      const end_report_t *end = &reply->ends[i];
      handle_t run;

      if (end->number <= worker_get (shard, handle)->ends_applied)
        continue;
      last = MAX (last, end->number);
      run = find_run (shard, handle, &end->run_id);
      if (run != HANDLE_NONE)
        run_ended (shard, now, run, end);
    }
  if (last == worker_get (shard, handle)->ends_applied)
    return;
  worker_get (shard, handle)->ends_applied = last;
}

/* @return the number of a newer run of the task, 0 if none is placed: with
   one, the task has two */
static uint32_t
newer_run (const shard_t *shard, const run_id_t *run_id)
{
  const job_entry_t *entry = shard_entry (shard, run_id->job);
  const task_t *task = NULL;

  if (entry && entry->job && entry->job->submission)
    task = job_task (entry->job, run_id->occurrence, run_id->step,
                     run_id->index);
  return task && task->state == TASK_PLACED && task->run > run_id->run
             ? task->run
             : 0;
}

static void
apply_runs (shard_t *shard, usec_t now, handle_t handle,
            const shard_reply_t *reply)
{
  worker_t *worker = worker_get (shard, handle);

  shard->placement_needed |= worker->stray_runs != 0;
  worker->stray_runs = 0;
  for (size_t i = 0; i < reply->run_count; i++)
    {
      const run_report_t *report = &reply->runs[i];
      handle_t found = find_run (shard, handle, &report->run_id);
      run_t *run = run_get (shard, found);
      task_t *task;
      char text[64];

      if (!run)
        {
          uint32_t newer = newer_run (shard, &report->run_id);

          counter_add (COUNTER_RUNS_DOUBLED, newer != 0);
          log_line (LOG_LEVEL_NOTICE, "run.stray", worker->address,
                    "task=%s run=%u worker=%s newer=%u not known to this"
                    " owner, stopping it",
                    run_format_id (&report->run_id, text), report->run_id.run,
                    worker->id, newer);
          worker->stray_runs++;
          send_stop (shard, now, handle, &report->run_id, HANDLE_NONE);
          continue;
        }
      if (run->state != RUN_ACKNOWLEDGED)
        run_acknowledge (shard, now, run);
      run->lists_missed = 0;
      if (report->percent != run->percent)
        run->progressed_at = now;
      run->percent = report->percent;
      run->measure = report->measure;
      run->in_list = true;
      task = run_task (shard, run);
      if (!task)
        continue;
      /* The two runs of a task may have got on differently: its checkpoint is
         that of one of them. */
      if (!run->copy)
        task_set_checkpoint (task, report->checkpoint);
      crashes_run_listed (shard, reply->clock_ms, run, task);
    }
}

/* Stops runs without progress, so that their tasks are started elsewhere, and
   pauses the worker.  A task that has stalled MAX_STALLS times is left
   running. */
static void
check_stalled (shard_t *shard, usec_t now, handle_t handle)
{
  GArray *runs = g_array_copy (worker_get (shard, handle)->runs);

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      const run_t *run = run_get (shard, h);
      const job_t *job;
      const step_t *step;
      task_t *task;

      if (!run || run->state != RUN_ACKNOWLEDGED || run->stop_requested
          || now - run->progressed_at < STALLED_AFTER)
        continue;
      job = shard_entry (shard, run->run_id.job)->job;
      step = &job->submission->steps[run->run_id.step];
      task = job_task (job, run->run_id.occurrence, run->run_id.step,
                       run->run_id.index);
      if (step->long_running || step->gang || task->stalls >= MAX_STALLS)
        continue;
      task->stalls++;
      task->avoid = handle;
      counter_add (COUNTER_RUNS_STALLED, 1);
      worker_avoid (worker_get (shard, handle), now + STALLED_PAUSE);
      run_stop (shard, now, h, "no progress");
    }
  g_array_free (runs, TRUE);
}

/* @return whether the incarnation that answers may have accepted the run after
   it was asked for its list */
static bool
may_be_accepted_since (const run_t *run, usec_t sent)
{
  return run->state == RUN_ACKNOWLEDGED && run->acknowledged_at >= sent
         && !run->start_unanswered;
}

/* Handles runs that are missing from the list.  Apart from restarts and
   takeovers, a list counts only if requested after the worker acknowledged
   the run. */
static void
requeue_missing_runs (shard_t *shard, usec_t now, handle_t handle,
                      const shard_reply_t *reply, usec_t sent, bool restarted)
{
  GArray *runs = g_array_copy (worker_get (shard, handle)->runs);

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      run_t *run = run_get (shard, h);

      if (!run)
        continue;
      if (run->in_list)
        {
          run->in_list = false;
          continue;
        }
      /* Its end may be among those that are not listed yet. */
      if (reply->has_more_ends)
        continue;
      if (restarted && run->state != RUN_UNSTORED
          && !may_be_accepted_since (run, sent))
        {
          run_worker_restarted (shard, now, h);
          continue;
        }
      if (run->state == RUN_ADOPTED)
        {
          run_requeue (shard, now, h,
                       "not listed by its worker after the takeover");
          continue;
        }
      /* The worker rejects a start that arrives after its lease. */
      if (run->state == RUN_STARTING && run->start_sent
          && reply->clock_ms > run->start_expires_ms)
        {
          run_requeue (shard, now, h,
                       "not listed after the lease of its start");
          continue;
        }
      if (run->state != RUN_ACKNOWLEDGED || run->acknowledged_at >= sent
          || ++run->lists_missed < MISSING_AFTER_LISTS)
        continue;
      run_requeue (shard, now, h, "missing from consecutive lists");
    }
  g_array_free (runs, TRUE);
}

/* Schedules the next call for a run whose start was not answered. */
static void
repeat_start (shard_t *shard, usec_t now, handle_t handle)
{
  static const char why[] = "start not answered";
  run_t *run = run_get (shard, handle);

  /* A lost run is always being stopped. */
  if (run->stop_requested || run->state != RUN_STARTING
      || now - run->unsettled_since < START_LIMIT)
    {
      run_set_due (shard, run, now + START_RETRY);
      return;
    }
  run_task (shard, run)->avoid = run->worker;
  if (run->start_unanswered)
    run_stop (shard, now, handle, why);
  else
    run_requeue (shard, now, handle, why);
}

static void
on_start (shard_t *shard, usec_t now, handle_t handle,
          const shard_reply_t *reply)
{
  run_t *run = run_get (shard, handle);
  worker_t *worker;
  char text[64];

  if (!run)
    return;
  worker = worker_get (shard, run->worker);
  run->start_in_flight = false;
  switch (reply->kind)
    {
    case SHARD_REPLY_OK:
    case SHARD_REPLY_STALE:
      run_acknowledge (shard, now, run);
      if (run->stop_requested)
        run_set_due (shard, run, now);
      return;
    case SHARD_REPLY_NONE:
      run->start_unanswered = true;
      repeat_start (shard, now, handle);
      return;
    case SHARD_REPLY_REFUSED:
      repeat_start (shard, now, handle);
      return;
    case SHARD_REPLY_NO_ROOM:
      worker_avoid (worker, now + NO_ROOM_PAUSE);
      counter_add (COUNTER_RUNS_NO_ROOM, 1);
      break;
    case SHARD_REPLY_EXPIRED:
      worker->clock_at = 0;
      break;
    default:
      worker_avoid (worker, now + UNHEALTHY_PAUSE);
      break;
    }
  log_line (LOG_LEVEL_NOTICE, "run.rejected", worker->address,
            "task=%s run=%u worker=%s reply=\"%s\" used=%" PRIu64 "/%u",
            run_format_id (&run->run_id, text), run->run_id.run, worker->id,
            shard_reply_name (reply->kind), worker->used_millicores,
            worker->millicores);
  if (run->start_unanswered)
    run_stop (shard, now, handle, "rejected after an unanswered start");
  else
    run_requeue (shard, now, handle, "rejected");
}

static void
on_stop (shard_t *shard, usec_t now, handle_t handle,
         const shard_reply_t *reply)
{
  run_t *run = run_get (shard, handle);

  if (!run)
    return;
  run->stop_in_flight = false;
  if (reply->kind == SHARD_REPLY_OK)
    {
      /* From the first answer on the worker does not start the run any more.
         Later answers tell nothing new: if they delayed the time from which
         lists count, stops that are repeated faster than lists arrive would
         keep the run for good. */
      if (!run->stops_answered)
        {
          run->state = RUN_ACKNOWLEDGED;
          run->acknowledged_at = now;
          run->lists_missed = 0;
        }
      run->stops_unanswered = 0;
      run->stops_answered++;
      run_set_due (shard, run, now + shard->config.stop_limit + STOP_MARGIN);
      return;
    }
  run->stops_unanswered++;
  run_set_due (shard, run,
               run->stops_unanswered < STOPS_IN_A_ROW ? now
                                                      : now + STOP_RETRY);
}

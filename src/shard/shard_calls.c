/** @file
 * Calls to workers and their replies.
 */
#include "shard/shard_private.h"

#define START_RETRY (300 * USEC_PER_MSEC)
#define STOP_RETRY (400 * USEC_PER_MSEC)
#define HOLD_RETRY (250 * USEC_PER_MSEC)
/* While ends are not stored yet, holds only extend leases. */
#define HOLD_UNSTORED (USEC_PER_SEC)
#define NO_ROOM_PAUSE (200 * USEC_PER_MSEC)
#define UNHEALTHY_PAUSE (1500 * USEC_PER_MSEC)
/* A worker whose process ended refuses connections; one refusal may be a
   listener that is just being set up. */
#define REFUSALS_OF_DEAD 2U
#define REFUSED_FOR (400 * USEC_PER_MSEC)
/* A run of up to 200 s advances by a percent in this time. */
#define STALLED_AFTER (2 * USEC_PER_SEC)
#define STALLED_PAUSE (4 * USEC_PER_SEC)
#define STALLS_MOST 2U
/* Lists of a worker that runs something come at least this often; a longer
   pause is silence, during which nobody knows whether runs advance. */
#define LIST_GAP_MOST (1500 * USEC_PER_MSEC)
/* Lists without a run after which it is known not to be there. */
#define LISTS_OF_MISSING 2U

static void send_hold (shard_t *shard, usec_t now, handle_t handle);
static void send_run_calls (shard_t *shard, usec_t now);
static usec_t send_run_call (shard_t *shard, usec_t now, handle_t handle);
static void send_start (shard_t *shard, usec_t now, handle_t handle);
static void send_stop (shard_t *shard, usec_t now, handle_t worker,
                       const run_id_t *name, handle_t run);
static int64_t lease_until (const shard_t *shard, const worker_t *worker,
                            usec_t now);
static uint64_t note_call (shard_t *shard, usec_t now, shard_call_kind_t kind,
                           handle_t worker, handle_t run);
static void on_hold (shard_t *shard, usec_t now, handle_t handle,
                     const shard_reply_t *reply, usec_t sent, bool reborn);
static void on_start (shard_t *shard, usec_t now, handle_t handle,
                      const shard_reply_t *reply);
static void on_stop (shard_t *shard, usec_t now, handle_t handle,
                     const shard_reply_t *reply);
static void on_silence (shard_t *shard, usec_t now, handle_t handle,
                        shard_reply_kind_t kind);
static void on_life (worker_t *worker, usec_t now, int64_t life_ms);
static bool is_of_former_life (const worker_t *worker,
                               const pending_call_t *pending,
                               const shard_reply_t *reply);
static void excuse_silence (const shard_t *shard, usec_t now,
                            const worker_t *worker);
static void apply_ends (shard_t *shard, usec_t now, handle_t handle,
                        const shard_reply_t *reply);
static void apply_runs (shard_t *shard, usec_t now, handle_t handle,
                        const shard_reply_t *reply);
static void check_stalled (shard_t *shard, usec_t now, handle_t handle);
static void miss_runs (shard_t *shard, usec_t now, handle_t handle,
                       usec_t sent, bool reborn);
static handle_t find_run (const shard_t *shard, handle_t worker,
                          const run_id_t *name);
static usec_t check_silent (shard_t *shard, usec_t now, handle_t handle);

const char *
shard_reply_name (shard_reply_kind_t kind)
{
  static const char *const names[]
      = { "ok",          "higher token", "older run", "lease over",
          "no room",     "unhealthy",    "invalid",   "another worker",
          "no listener", "no answer" };

  return names[kind];
}

usec_t
calls_tick (shard_t *shard, usec_t now)
{
  usec_t next = INT64_MAX;

  /* An owner that the store has not confirmed for long must not keep runs
     alive that its successor believes to have lapsed.  */
  if (now - shard->confirmed > shard->config.stale_limit)
    return now + HOLD_RETRY;
  if (now >= shard->runs_due)
    send_run_calls (shard, now);
  next = shard->runs_due;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      usec_t due = check_silent (shard, now, h);

      next = MIN (next, due);
      if (worker->hold_busy || !worker->address[0])
        continue;
      if (now >= worker->hold_due)
        send_hold (shard, now, h);
      else
        next = MIN (next, worker->hold_due);
    }
  return next;
}

/* The leases of a worker that does not answer run out.  */
static usec_t
check_silent (shard_t *shard, usec_t now, handle_t handle)
{
  const worker_t *worker = worker_get (shard, handle);

  if (!worker->in_doubt || !worker->runs->len)
    return INT64_MAX;
  if (now < worker->lapsed_at)
    return worker->lapsed_at;
  run_lose_all (shard, now, handle, "lease lapsed");
  return INT64_MAX;
}

static int64_t
lease_until (const shard_t *shard, const worker_t *worker, usec_t now)
{
  if (!worker->clock_at)
    return 0;
  return worker_clock (worker, now) + usec_to_msec (shard->config.lease);
}

static uint64_t
note_call (shard_t *shard, usec_t now, shard_call_kind_t kind, handle_t worker,
           handle_t run)
{
  pending_call_t *pending = g_new0 (pending_call_t, 1);
  uint64_t id = ++shard->next_call;

  pending->kind = kind;
  pending->worker = worker;
  pending->run = run;
  pending->sent = now;
  g_hash_table_insert (shard->calls, g_memdup2 (&id, sizeof id), pending);
  return id;
}

static usec_t
hold_wait (const shard_t *shard, const worker_t *worker)
{
  if (!worker->runs->len)
    return shard->config.poll_idle;
  return worker->serving && worker->filling ? shard->config.poll_shared
                                            : shard->config.poll_busy;
}

static void
send_hold (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  shard_call_t call = { .kind = SHARD_HOLD };
  bool unstored = worker->ends_seen != worker->ends_kept;

  call.id = note_call (shard, now, SHARD_HOLD, handle, HANDLE_NONE);
  call.address = worker->address;
  call.worker = worker->id;
  call.token = shard->token;
  /* A worker that does not answer is not given more time: its runs are to be
     started elsewhere once their leases have lapsed.  */
  if (!worker->in_doubt)
    call.lease_until = lease_until (shard, worker, now);
  /* Another life at the address numbers its ends anew: nothing is confirmed
     before it is known that the former one still answers.  */
  call.acknowledged_end = worker->in_doubt ? 0 : worker->ends_kept;
  if (!worker->in_doubt && !unstored)
    call.wait = hold_wait (shard, worker);
  call.timeout = shard->config.call_timeout + call.wait;
  worker->hold_busy = true;
  if (call.lease_until)
    worker_lease_sent (shard, worker, now, call.lease_until);
  counter_add (COUNTER_WORKER_HOLDS, 1);
  shard->ops->call (shard->ctx, &call);
}

static void
send_run_calls (shard_t *shard, usec_t now)
{
  shard->runs_due = INT64_MAX;
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      usec_t due = send_run_call (shard, now, h);

      shard->runs_due = MIN (shard->runs_due, due);
    }
}

static usec_t
send_run_call (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);

  if (now < run->due)
    return run->due;
  run->due = INT64_MAX;
  if (run->unneeded)
    {
      if (!run->stop_busy)
        {
          run->stop_busy = true;
          send_stop (shard, now, run->worker, &run->name, handle);
        }
    }
  else if (run->state == RUN_SENDING && !run->start_busy)
    send_start (shard, now, handle);
  return run->due;
}

static void
send_start (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);
  worker_t *worker = worker_get (shard, run->worker);
  const entry_t *entry = shard_entry (shard, run->name.job);
  const task_t *task = job_task (entry->job, run->name.occurrence,
                                 run->name.step, run->name.index);
  shard_call_t call = { .kind = SHARD_START };
  char text[64];

  /* A start extends all leases there, so a worker in doubt gets none.  */
  if (!worker->clock_at || worker->in_doubt)
    {
      run->due = now + HOLD_RETRY;
      return;
    }
  call.id = note_call (shard, now, SHARD_START, run->worker, handle);
  call.address = worker->address;
  call.worker = worker->id;
  call.token = shard->token;
  call.lease_until = lease_until (shard, worker, now);
  call.timeout = shard->config.call_timeout;
  call.run_id = run->name;
  call.spec = entry->job->submission->spec;
  call.checkpoint = task->checkpoint;
  run->start_busy = true;
  if (!run->sent)
    log_line (LOG_LEVEL_INFO, "run.start", worker->address,
              "task=%s run=%u worker=%s token=%" PRIu64 " used=%" PRIu64
              "/%u heard_ms=%" PRId64 " resumed=%d",
              run_text (&run->name, text), run->name.run, worker->id,
              shard->token, worker->used_millicores, worker->millicores,
              usec_to_msec (now - worker->last_answer),
              task->checkpoint != NULL);
  run->sent = true;
  worker_lease_sent (shard, worker, now, call.lease_until);
  counter_add (COUNTER_RUNS_STARTED, 1);
  shard->ops->call (shard->ctx, &call);
}

static void
send_stop (shard_t *shard, usec_t now, handle_t worker, const run_id_t *name,
           handle_t run)
{
  const worker_t *w = worker_get (shard, worker);
  shard_call_t call = { .kind = SHARD_STOP };

  call.id = note_call (shard, now, SHARD_STOP, worker, run);
  call.address = w->address;
  call.worker = w->id;
  call.token = shard->token;
  call.timeout = shard->config.call_timeout;
  call.run_id = *name;
  shard->ops->call (shard->ctx, &call);
}

void
shard_reply (shard_t *shard, usec_t now, uint64_t id,
             const shard_reply_t *reply)
{
  static const shard_reply_t nothing = { .kind = SHARD_REPLY_NONE };
  pending_call_t *found = g_hash_table_lookup (shard->calls, &id);
  pending_call_t pending;
  worker_t *worker;
  bool reborn;

  if (!found)
    return;
  pending = *found;
  g_hash_table_remove (shard->calls, &id);
  worker = worker_get (shard, pending.worker);
  if (!worker || !shard->active)
    return;
  if (pending.kind == SHARD_HOLD)
    worker->hold_busy = false;
  if (reply->kind == SHARD_REPLY_FENCED)
    {
      shard_supersede (shard, worker->id);
      return;
    }
  if (reply->kind == SHARD_REPLY_OTHER_WORKER)
    {
      worker->hold_due = now + HOLD_RETRY;
      worker->in_doubt = true;
      worker->silent++;
      run_lose_all (shard, now, pending.worker, "another worker answers");
      return;
    }
  if (reply->kind == SHARD_REPLY_NONE || reply->kind == SHARD_REPLY_REFUSED)
    on_silence (shard, now, pending.worker, reply->kind);
  if (is_of_former_life (worker, &pending, reply))
    reply = &nothing;
  reborn = reply->started_ms && worker->life_ms
           && reply->started_ms != worker->life_ms;
  if (reply->started_ms && reply->started_ms != worker->life_ms)
    on_life (worker, now, reply->started_ms);
  if (reply->clock_ms)
    worker_clock_seen (worker, now, reply->clock_ms);
  if (pending.kind == SHARD_HOLD)
    on_hold (shard, now, pending.worker, reply, pending.sent, reborn);
  else if (pending.kind == SHARD_START)
    {
      histogram_add (HISTOGRAM_START_CALL, now - pending.sent);
      on_start (shard, now, pending.run, reply);
    }
  else if (pending.kind == SHARD_STOP)
    on_stop (shard, now, pending.run, reply);
}

static void
on_silence (shard_t *shard, usec_t now, handle_t handle,
            shard_reply_kind_t kind)
{
  worker_t *worker = worker_get (shard, handle);

  if (!worker->in_doubt)
    log_line (LOG_LEVEL_NOTICE, "worker.silent", worker->address,
              "worker=%s runs=%u answered_ms_ago=%" PRId64 " refused=%d",
              worker->id, worker->runs->len,
              usec_to_msec (now - worker->last_answer),
              kind == SHARD_REPLY_REFUSED);
  worker->in_doubt = true;
  if (!worker->hold_busy)
    worker->hold_due = MIN (worker->hold_due, now);
}

static void
on_hold (shard_t *shard, usec_t now, handle_t handle,
         const shard_reply_t *reply, usec_t sent, bool reborn)
{
  worker_t *worker = worker_get (shard, handle);

  if (reply->kind != SHARD_REPLY_OK || !reply->has_lists)
    {
      worker->silent++;
      worker->hold_due = now + HOLD_RETRY;
      if (worker_has_left (worker))
        run_lose_all (shard, now, handle, "left");
      worker = worker_get (shard, handle);
      if (reply->kind != SHARD_REPLY_REFUSED)
        {
          worker->refused = 0;
          return;
        }
      if (!worker->refused++)
        worker->refused_since = now;
      else if (worker->refused >= REFUSALS_OF_DEAD
               && now - worker->refused_since >= REFUSED_FOR)
        run_lose_all (shard, now, handle, "no process listens");
      return;
    }
  if (!worker->fenced)
    {
      worker->fenced = true;
      worker->lapsed_at
          = now + worker_lease_span (shard) + shard->config.stop_limit;
    }
  if (worker->in_doubt && worker->silent)
    log_line (LOG_LEVEL_NOTICE, "worker.back", worker->address,
              "worker=%s silent_ms=%" PRId64 " runs=%zu ends=%zu", worker->id,
              usec_to_msec (now - worker->last_answer), reply->run_count,
              reply->end_count);
  if (worker->in_doubt)
    shard->place_due = true;
  excuse_silence (shard, now, worker);
  worker->in_doubt = false;
  worker->silent = 0;
  worker->refused = 0;
  worker->last_answer = now;
  apply_ends (shard, now, handle, reply);
  apply_runs (shard, now, handle, reply);
  miss_runs (shard, now, handle, sent, reborn);
  sharing_listed (shard, now, handle);
  check_stalled (shard, now, handle);
  worker = worker_get (shard, handle);
  worker->hold_due
      = worker->ends_seen != worker->ends_kept ? now + HOLD_UNSTORED : now;
}

/* Another life of the worker answers; its ends and its clock start anew.  */
static void
on_life (worker_t *worker, usec_t now, int64_t life_ms)
{
  log_line (LOG_LEVEL_NOTICE, "worker.reborn", worker->address,
            "worker=%s life_ms=%" PRId64 " former=%" PRId64 " runs=%u",
            worker->id, life_ms, worker->life_ms, worker->runs->len);
  worker->life_ms = life_ms;
  worker->life_at = now;
  worker->ends_seen = 0;
  worker->ends_kept = 0;
  worker->clock_at = 0;
}

/* Answers overtake each other.  Lives are told apart by the time of their
   start, which goes back when a worker's clock does: only the answer to a call
   that was sent since the present life is known can tell of another one.  */
static bool
is_of_former_life (const worker_t *worker, const pending_call_t *pending,
                   const shard_reply_t *reply)
{
  return reply->started_ms && worker->life_ms
         && reply->started_ms < worker->life_ms
         && pending->sent < worker->life_at;
}

/* Runs that nobody looked at did not stand still meanwhile.  */
static void
excuse_silence (const shard_t *shard, usec_t now, const worker_t *worker)
{
  bool silent = now - worker->last_answer > LIST_GAP_MOST;

  for (guint i = 0; silent && i < worker->runs->len; i++)
    run_get (shard, g_array_index (worker->runs, handle_t, i))->moved = now;
}

static handle_t
find_run (const shard_t *shard, handle_t worker, const run_id_t *name)
{
  const entry_t *entry = shard_entry (shard, name->job);
  const task_t *task;
  const run_t *run;

  if (!entry || !entry->job || !entry->job->submission)
    return HANDLE_NONE;
  task = job_task (entry->job, name->occurrence, name->step, name->index);
  run = task && task->state == TASK_PLACED ? run_get (shard, task->run_handle)
                                           : NULL;
  if (!run || run->worker != worker || run->name.run != name->run)
    return HANDLE_NONE;
  return task->run_handle;
}

static void
apply_ends (shard_t *shard, usec_t now, handle_t handle,
            const shard_reply_t *reply)
{
  uint64_t last = worker_get (shard, handle)->ends_seen;

  for (size_t i = 0; i < reply->end_count; i++)
    {
      const end_report_t *end = &reply->ends[i];
      handle_t run;

      if (end->number <= worker_get (shard, handle)->ends_seen)
        continue;
      last = MAX (last, end->number);
      run = find_run (shard, handle, &end->run_id);
      if (run != HANDLE_NONE)
        run_ended (shard, now, run, end);
    }
  if (last == worker_get (shard, handle)->ends_seen)
    return;
  worker_get (shard, handle)->ends_seen = last;
  /* Ends that change no job need no record.  */
  if (!shard->dirty->len && !shard->append_busy && !shard->append_again)
    worker_get (shard, handle)->ends_kept = last;
}

static void
apply_runs (shard_t *shard, usec_t now, handle_t handle,
            const shard_reply_t *reply)
{
  for (size_t i = 0; i < reply->run_count; i++)
    {
      const run_report_t *report = &reply->runs[i];
      handle_t found = find_run (shard, handle, &report->run_id);
      run_t *run = run_get (shard, found);
      char text[64];

      if (!run)
        {
          log_line (LOG_LEVEL_NOTICE, "run.stray",
                    worker_get (shard, handle)->address,
                    "task=%s run=%u stopped", run_text (&report->run_id, text),
                    report->run_id.run);
          send_stop (shard, now, handle, &report->run_id, HANDLE_NONE);
          continue;
        }
      if (run->state != RUN_LIVE)
        run_begun (shard, now, run);
      run->missing = 0;
      if (report->percent != run->percent)
        run->moved = now;
      run->percent = report->percent;
      run->measure = report->measure;
      task_set_checkpoint (job_task (shard_entry (shard, run->name.job)->job,
                                     run->name.occurrence, run->name.step,
                                     run->name.index),
                           report->checkpoint);
      run->listed = true;
    }
}

/* A run whose progress stands still is started elsewhere, and its worker gets
   nothing new for a while.  A task that stands still everywhere is left
   alone.  */
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

      if (!run || run->state != RUN_LIVE || run->unneeded
          || now - run->moved < STALLED_AFTER)
        continue;
      job = shard_entry (shard, run->name.job)->job;
      step = &job->submission->steps[run->name.step];
      task = job_task (job, run->name.occurrence, run->name.step,
                       run->name.index);
      if (step->long_running || step->gang || task->stalls >= STALLS_MOST)
        continue;
      task->stalls++;
      task->avoid = handle;
      counter_add (COUNTER_RUNS_STALLED, 1);
      worker_avoid (worker_get (shard, handle), now + STALLED_PAUSE);
      run_stop (shard, now, h, "does not advance");
    }
  g_array_free (runs, TRUE);
}

/* Runs that a list sent after their start was answered does not name.  */
static void
miss_runs (shard_t *shard, usec_t now, handle_t handle, usec_t sent,
           bool reborn)
{
  GArray *runs = g_array_copy (worker_get (shard, handle)->runs);

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      run_t *run = run_get (shard, h);

      if (!run)
        continue;
      if (run->listed)
        {
          run->listed = false;
          continue;
        }
      if (reborn && run->state != RUN_UNWRITTEN)
        {
          run_lose (shard, now, h);
          continue;
        }
      if (run->state == RUN_ADOPTED)
        {
          run_requeue (shard, now, h, "not listed after the takeover");
          continue;
        }
      if (run->state != RUN_LIVE || run->answered >= sent
          || ++run->missing < LISTS_OF_MISSING)
        continue;
      run_requeue (shard, now, h, "not listed twice");
    }
  g_array_free (runs, TRUE);
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
  run->start_busy = false;
  switch (reply->kind)
    {
    case SHARD_REPLY_OK:
    case SHARD_REPLY_STALE:
      run_begun (shard, now, run);
      if (run->unneeded)
        run_set_due (shard, run, now);
      return;
    case SHARD_REPLY_NONE:
      run->loose = true;
      run_set_due (shard, run, now + START_RETRY);
      return;
    case SHARD_REPLY_REFUSED:
      run_set_due (shard, run, now + START_RETRY);
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
            run_text (&run->name, text), run->name.run, worker->id,
            shard_reply_name (reply->kind), worker->used_millicores,
            worker->millicores);
  if (run->loose)
    run_stop (shard, now, handle, "rejected after a start without an answer");
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
  run->stop_busy = false;
  if (reply->kind == SHARD_REPLY_OK)
    {
      /* From now on a list without the run shows that it is over.  */
      run->state = RUN_LIVE;
      run->answered = now;
    }
  run_set_due (shard, run, now + STOP_RETRY);
}

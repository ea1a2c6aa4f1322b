/** @file
 * A shard whose workers are full.
 */
#include "support/full_shard.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEP (10 * USEC_PER_MSEC)
#define ROUND_TRIP (10 * USEC_PER_MSEC)
#define APPEND_TIME (20 * USEC_PER_MSEC)
#define LIST_INTERVAL (350 * USEC_PER_MSEC)

typedef struct
{
  char id[16];
  char address[32];
  uint32_t index;
  bool ended;
  GArray *runs;     /* full_run_t */
  GArray *stopping; /* full_stop_t, executed stop_time later */
  GArray *ends;     /* end_report_t */
  uint64_t last_end;
  int64_t lease_until; /* ms */
} sim_worker_t;

/* A call whose reply is due. */
typedef struct
{
  shard_call_t call;
  sim_worker_t *worker;
  usec_t due;
} sim_reply_t;

/* A record in the append in flight. */
typedef struct
{
  char key[24];
  GByteArray *value;
} sim_record_t;

static sim_worker_t *find_worker (const full_shard_t *full, const char *id);
static void on_call (void *ctx, const shard_call_t *call);
static void on_append (void *ctx, uint64_t sequence,
                       const shard_record_t *records, size_t count);
static void on_settled (void *ctx, job_id_t job);
static void on_superseded (void *ctx);
static int64_t wall_ms (void *ctx);
static bool rejects_overload (void *ctx, const char *service);
static void list_worker (full_shard_t *full, const sim_worker_t *worker);
static void store (full_shard_t *full, const char *key, const guint8 *bytes,
                   guint len);
static void finish_append (full_shard_t *full);
static void work (full_shard_t *full, sim_worker_t *worker);
static void end_run (sim_worker_t *worker, guint index, run_end_t how);
static void answer (full_shard_t *full, const sim_reply_t *reply);
static uint32_t percent_done (const full_shard_t *full, const full_run_t *run);
static void answer_hold (full_shard_t *full, const sim_reply_t *reply);
static shard_reply_kind_t start (full_shard_t *full, sim_worker_t *worker,
                                 const shard_call_t *call);
static void note_restart (full_shard_t *full, const run_id_t *run_id);
static bool has_unread_ends (const sim_worker_t *worker,
                             uint64_t acknowledged);
static void step_full (full_shard_t *full);

static const shard_ops_t ops = { on_call,       on_append, on_settled,
                                 on_superseded, wall_ms,   rejects_overload };

static void
sim_worker_free (void *data)
{
  sim_worker_t *worker = data;

  g_array_free (worker->runs, TRUE);
  g_array_free (worker->stopping, TRUE);
  g_array_free (worker->ends, TRUE);
  g_free (worker);
}

static void
sim_record_free (void *data)
{
  sim_record_t *record = data;

  g_byte_array_unref (record->value);
  g_free (record);
}

full_shard_t *
full_shard_new (uint32_t workers)
{
  static const shard_config_t config = { .lease = 6 * USEC_PER_SEC,
                                         .lease_horizon = 6500 * USEC_PER_MSEC,
                                         .stop_limit = 200 * USEC_PER_MSEC,
                                         .poll_busy = USEC_PER_SEC,
                                         .poll_shared = 400 * USEC_PER_MSEC,
                                         .poll_idle = 2 * USEC_PER_SEC,
                                         .call_timeout = 700 * USEC_PER_MSEC,
                                         .stale_limit = 3 * USEC_PER_SEC,
                                         .keep_ended = 60 * USEC_PER_SEC,
                                         .append_bytes = 1 << 20,
                                         .workers_max_age = 2 * USEC_PER_SEC };
  full_shard_t *full = g_new0 (full_shard_t, 1);

  full->now = 20 * USEC_PER_SEC;
  full->stop_time = 50 * USEC_PER_MSEC;
  full->workers = g_ptr_array_new_with_free_func (sim_worker_free);
  full->submissions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             (GDestroyNotify)submission_free);
  full->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_byte_array_unref);
  full->replies = g_array_new (FALSE, FALSE, sizeof (sim_reply_t));
  full->append = g_ptr_array_new_with_free_func (sim_record_free);
  full->append_due = INT64_MAX;
  full->stops = g_array_new (FALSE, FALSE, sizeof (full_stop_t));
  full->losses = g_array_new (FALSE, FALSE, sizeof (full_loss_t));
  full->shard = shard_new (&config, &ops, full, 0);
  shard_acquire (full->shard, full->now, ++full->token);
  shard_loaded (full->shard, full->now);
  for (uint32_t i = 0; i < workers; i++)
    {
      sim_worker_t *worker = g_new0 (sim_worker_t, 1);

      g_snprintf (worker->id, sizeof worker->id, "w%u", i);
      g_snprintf (worker->address, sizeof worker->address, "10.0.%u.%u:1",
                  i / 200, i % 200 + 1);
      worker->index = i;
      worker->runs = g_array_new (FALSE, FALSE, sizeof (full_run_t));
      worker->stopping = g_array_new (FALSE, FALSE, sizeof (full_stop_t));
      worker->ends = g_array_new (FALSE, FALSE, sizeof (end_report_t));
      g_ptr_array_add (full->workers, worker);
      list_worker (full, worker);
    }
  return full;
}

void
full_shard_free (full_shard_t *full)
{
  shard_free (full->shard);
  g_ptr_array_free (full->workers, TRUE);
  g_hash_table_destroy (full->submissions);
  g_hash_table_destroy (full->records);
  g_array_free (full->replies, TRUE);
  g_ptr_array_free (full->append, TRUE);
  g_array_free (full->stops, TRUE);
  g_array_free (full->losses, TRUE);
  g_free (full);
}

submission_t *
full_submission (job_id_t id, uint32_t tasks, uint32_t duration_ms)
{
  submission_t *submission = g_new0 (submission_t, 1);

  submission->id = id;
  submission->queue = g_strdup ("queue");
  submission->service = g_strdup ("service");
  submission->spec = g_strdup ("spec");
  submission->max_attempts = 2;
  submission->stretch_percent = 150;
  submission->target_ms = 300000;
  submission->accepted_ms = FULL_START_WALL_MS;
  submission->step_count = 1;
  submission->steps = g_new0 (step_t, 1);
  submission->steps[0].count = tasks;
  submission->steps[0].millicores = 1000;
  submission->steps[0].memory_mb = 100;
  submission->steps[0].declared_ms = duration_ms;
  return submission;
}

submission_t *
full_long_running (job_id_t id, uint32_t millicores)
{
  submission_t *submission = full_submission (id, 1, 0);

  submission->steps[0].long_running = true;
  submission->steps[0].millicores = millicores;
  return submission;
}

void
full_store (full_shard_t *full, record_kind_t kind, job_id_t job,
            const GByteArray *value)
{
  char key[24];

  g_snprintf (key, sizeof key, "%c%016" G_GINT64_MODIFIER "x", kind, job);
  store (full, key, value->data, value->len);
}

void
full_submit (full_shard_t *full, submission_t *submission)
{
  GByteArray *bytes = g_byte_array_new ();

  submission->accepted_ms = wall_ms (full);
  submission_encode (submission, bytes);
  full_store (full, RECORD_SUBMISSION, submission->id, bytes);
  shard_apply_record (full->shard, full->now, RECORD_SUBMISSION,
                      submission->id,
                      (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  g_hash_table_insert (full->submissions, &submission->id, submission);
}

static void
list_worker (full_shard_t *full, const sim_worker_t *worker)
{
  const shard_worker_t info = { .id = worker->id,
                                .started_ms = FULL_START_WALL_MS,
                                .address = worker->address,
                                .service = "service",
                                .label = "a",
                                .rack = "r",
                                .zone = "z1",
                                .millicores = FULL_MILLICORES,
                                .memory_mb = FULL_MEMORY_MB };

  shard_worker_listed (full->shard, full->now, &info);
}

static sim_worker_t *
find_worker (const full_shard_t *full, const char *id)
{
  for (guint i = 0; i < full->workers->len; i++)
    if (strcmp (((sim_worker_t *)full->workers->pdata[i])->id, id) == 0)
      return full->workers->pdata[i];
  return NULL;
}

static void
on_call (void *ctx, const shard_call_t *call)
{
  full_shard_t *full = ctx;
  sim_worker_t *worker = find_worker (full, call->worker);
  sim_reply_t reply
      = { .call = *call, .worker = worker, .due = full->now + ROUND_TRIP };

  CU_ASSERT_PTR_NOT_NULL_FATAL (worker);
  if (!worker)
    return;
  if (worker->ended)
    reply.due = full->now + call->timeout;
  else if (call->kind == SHARD_HOLD)
    reply.due = full->now + ROUND_TRIP + call->wait;
  if (call->kind == SHARD_HOLD && call->lease_until)
    worker->lease_until = call->lease_until;
  g_array_append_val (full->replies, reply);
}

static void
on_append (void *ctx, uint64_t sequence, const shard_record_t *records,
           size_t count)
{
  full_shard_t *full = ctx;

  (void)sequence;
  CU_ASSERT_FATAL (!full->append->len);
  for (size_t i = 0; i < count; i++)
    {
      sim_record_t *record = g_new0 (sim_record_t, 1);

      g_snprintf (record->key, sizeof record->key,
                  "%c%016" G_GINT64_MODIFIER "x", records[i].kind,
                  records[i].job);
      record->value = g_byte_array_new ();
      g_byte_array_append (record->value,
                           (const guint8 *)records[i].value.data,
                           records[i].value.len);
      g_ptr_array_add (full->append, record);
    }
  full->append_due = full->now + APPEND_TIME;
}

static void
on_settled (void *ctx, job_id_t job)
{
  (void)ctx;
  (void)job;
}

static void
on_superseded (void *ctx)
{
  (void)ctx;
  CU_FAIL ("superseded");
}

static int64_t
wall_ms (void *ctx)
{
  const full_shard_t *full = ctx;

  return FULL_START_WALL_MS + usec_to_msec (full->now);
}

static bool
rejects_overload (void *ctx, const char *service)
{
  (void)ctx;
  (void)service;
  return false;
}

static void
store (full_shard_t *full, const char *key, const guint8 *bytes, guint len)
{
  GByteArray *value = g_byte_array_new ();

  if (!len)
    {
      g_byte_array_unref (value);
      g_hash_table_remove (full->records, key);
      return;
    }
  g_byte_array_append (value, bytes, len);
  g_hash_table_replace (full->records, g_strdup (key), value);
}

static void
finish_append (full_shard_t *full)
{
  GPtrArray *records = full->append;

  for (guint i = 0; i < records->len && !full->store_down; i++)
    {
      const sim_record_t *record = records->pdata[i];

      store (full, record->key, record->value->data, record->value->len);
    }
  full->append = g_ptr_array_new_with_free_func (sim_record_free);
  full->append_due = INT64_MAX;
  g_ptr_array_free (records, TRUE);
  shard_append_done (full->shard, full->now,
                     full->store_down ? SHARD_NOT_STORED : SHARD_STORED);
}

/* Ends the runs of a worker that are done, stopped or without a lease. */
static void
work (full_shard_t *full, sim_worker_t *worker)
{
  bool expired
      = worker->lease_until && worker->lease_until < usec_to_msec (full->now);

  for (guint i = worker->runs->len; i > 0 && !worker->ended; i--)
    {
      const full_run_t *run = &g_array_index (worker->runs, full_run_t, i - 1);
      bool stopped = false;

      for (guint k = 0; k < worker->stopping->len; k++)
        {
          const full_stop_t *stop
              = &g_array_index (worker->stopping, full_stop_t, k);

          stopped
              |= full->now
                     >= stop->at + full->stop_time + k * full->stop_spread
                 && memcmp (&stop->run_id, &run->run_id, sizeof run->run_id)
                        == 0;
        }
      if (run->ends_at <= full->now)
        end_run (worker, i - 1, RUN_DONE);
      else if (stopped)
        end_run (worker, i - 1, RUN_STOPPED);
      else if (expired)
        end_run (worker, i - 1, RUN_LEASE_EXPIRED);
    }
}

static void
end_run (sim_worker_t *worker, guint index, run_end_t how)
{
  const end_report_t end
      = { .number = ++worker->last_end,
          .run_id = g_array_index (worker->runs, full_run_t, index).run_id,
          .end = how,
          .checkpoint = "" };

  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, index);
}

static void
answer (full_shard_t *full, const sim_reply_t *reply)
{
  sim_worker_t *worker = reply->worker;
  shard_reply_t result = { .kind = SHARD_REPLY_OK,
                           .clock_ms = usec_to_msec (full->now),
                           .started_ms = FULL_START_WALL_MS };

  if (worker->ended)
    result = (shard_reply_t){ .kind = SHARD_REPLY_NONE };
  else if (reply->call.kind == SHARD_HOLD)
    {
      answer_hold (full, reply);
      return;
    }
  else if (reply->call.kind == SHARD_START)
    result.kind = start (full, worker, &reply->call);
  else
    {
      full_stop_t stop = { .run_id = reply->call.run_id,
                           .worker = worker->index,
                           .at = full->now };
      const submission_t *submission
          = g_hash_table_lookup (full->submissions, &stop.run_id.job);

      stop.long_running = submission->steps[0].long_running;
      g_array_append_val (worker->stopping, stop);
      g_array_append_val (full->stops, stop);
    }
  shard_reply (full->shard, full->now, reply->call.id, &result);
}

static uint32_t
percent_done (const full_shard_t *full, const full_run_t *run)
{
  if (run->long_running)
    return 100;
  return (uint32_t)((full->now - run->started_at) * 100
                    / MAX (run->ends_at - run->started_at, 1));
}

static void
answer_hold (full_shard_t *full, const sim_reply_t *reply)
{
  sim_worker_t *worker = reply->worker;
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (run_report_t));
  shard_reply_t result = { .kind = SHARD_REPLY_OK,
                           .clock_ms = usec_to_msec (full->now),
                           .started_ms = FULL_START_WALL_MS,
                           .has_lists = true };

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const full_run_t *run = &g_array_index (worker->runs, full_run_t, i);
      const run_report_t report
          = { .run_id = run->run_id,
              .checkpoint = run->checkpoints ? "saved" : "",
              .percent = percent_done (full, run) };

      g_array_append_val (runs, report);
    }
  while (worker->ends->len
         && g_array_index (worker->ends, end_report_t, 0).number
                <= reply->call.acknowledged_end)
    g_array_remove_index (worker->ends, 0);
  result.runs = (const run_report_t *)runs->data;
  result.run_count = runs->len;
  result.ends = (const end_report_t *)worker->ends->data;
  result.end_count = worker->ends->len;
  shard_reply (full->shard, full->now, reply->call.id, &result);
  g_array_free (runs, TRUE);
}

static shard_reply_kind_t
start (full_shard_t *full, sim_worker_t *worker, const shard_call_t *call)
{
  const submission_t *submission
      = g_hash_table_lookup (full->submissions, &call->run_id.job);
  const step_t *step = &submission->steps[call->run_id.step];
  full_run_t run
      = { .run_id = call->run_id,
          .started_at = full->now,
          .ends_at = full->now + (usec_t)step->declared_ms * USEC_PER_MSEC,
          .millicores = step->millicores,
          .long_running = step->long_running,
          .best_effort = step->best_effort,
          .checkpoints = step->checkpoints };
  uint32_t used = step->best_effort ? 0 : run.millicores;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const full_run_t *other = &g_array_index (worker->runs, full_run_t, i);

      used += other->best_effort ? 0 : other->millicores;
    }
  CU_ASSERT (used <= FULL_MILLICORES);
  for (guint w = 0; w < full->workers->len; w++)
    for (guint i = 0; i < full_runs (full, w)->len; i++)
      {
        run_id_t other
            = g_array_index (full_runs (full, w), full_run_t, i).run_id;

        other.run = run.run_id.run;
        CU_ASSERT (memcmp (&other, &run.run_id, sizeof other) != 0);
      }
  if (step->long_running)
    {
      run.ends_at = INT64_MAX;
      note_restart (full, &run.run_id);
    }
  full->starts++;
  g_array_append_val (worker->runs, run);
  return SHARD_REPLY_OK;
}

static void
note_restart (full_shard_t *full, const run_id_t *run_id)
{
  for (guint i = 0; i < full->losses->len; i++)
    {
      full_loss_t *loss = &g_array_index (full->losses, full_loss_t, i);

      if (loss->run_id.job == run_id->job && loss->run_id.step == run_id->step
          && loss->run_id.index == run_id->index && !loss->restarted_at)
        loss->restarted_at = full->now;
    }
}

static bool
has_unread_ends (const sim_worker_t *worker, uint64_t acknowledged)
{
  return !worker->ended && worker->ends->len
         && g_array_index (worker->ends, end_report_t, worker->ends->len - 1)
                    .number
                > acknowledged;
}

static void
step_full (full_shard_t *full)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);

  full->now += STEP;
  for (guint i = 0; i < full->workers->len; i++)
    {
      sim_worker_t *worker = full->workers->pdata[i];

      work (full, worker);
      if (!worker->ended)
        g_hash_table_add (listed, worker->id);
    }
  if (full->now % LIST_INTERVAL < STEP)
    shard_worker_list_read (full->shard, full->now, listed);
  g_hash_table_destroy (listed);
  shard_workers_confirmed (full->shard, full->now);
  shard_ownership_confirmed (full->shard, full->now);
  if (full->now >= full->append_due)
    finish_append (full);
  for (guint i = 0; i < full->replies->len;)
    {
      const sim_reply_t reply = g_array_index (full->replies, sim_reply_t, i);
      bool early
          = reply.call.kind == SHARD_HOLD
            && has_unread_ends (reply.worker, reply.call.acknowledged_end);

      if (!early && full->now < reply.due)
        {
          i++;
          continue;
        }
      g_array_remove_index (full->replies, i);
      answer (full, &reply);
    }
  shard_tick (full->shard, full->now);
}

void
full_run_until (full_shard_t *full, usec_t end)
{
  while (full->now < end)
    step_full (full);
}

void
full_end_worker (full_shard_t *full, uint32_t index)
{
  sim_worker_t *worker = full->workers->pdata[index];

  worker->ended = true;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const full_run_t *run = &g_array_index (worker->runs, full_run_t, i);
      const full_loss_t loss = { .run_id = run->run_id, .lost_at = full->now };

      if (run->long_running)
        g_array_append_val (full->losses, loss);
    }
  g_array_set_size (worker->runs, 0);
  /* Calls on the way are lost too. */
  for (guint i = 0; i < full->replies->len; i++)
    {
      sim_reply_t *reply = &g_array_index (full->replies, sim_reply_t, i);

      if (reply->worker == worker)
        reply->due = MAX (reply->due, full->now + USEC_PER_MSEC * 700);
    }
}

void
full_replace_owner (full_shard_t *full, usec_t gap)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  shard_release (full->shard);
  g_array_set_size (full->replies, 0);
  g_ptr_array_set_size (full->append, 0);
  full->append_due = INT64_MAX;
  for (usec_t end = full->now + gap; full->now < end; full->now += STEP)
    for (guint i = 0; i < full->workers->len; i++)
      work (full, full->workers->pdata[i]);
  shard_acquire (full->shard, full->now, ++full->token);
  g_hash_table_iter_init (&iter, full->records);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *name = key;
      const GByteArray *bytes = value;

      shard_apply_record (full->shard, full->now, (record_kind_t)name[0],
                          g_ascii_strtoull (name + 1, NULL, 16),
                          (blob_t){ (char *)bytes->data, bytes->len });
    }
  shard_loaded (full->shard, full->now);
  for (guint i = 0; i < full->workers->len; i++)
    if (!((sim_worker_t *)full->workers->pdata[i])->ended)
      list_worker (full, full->workers->pdata[i]);
}

const GArray *
full_runs (const full_shard_t *full, uint32_t worker)
{
  return ((sim_worker_t *)full->workers->pdata[worker])->runs;
}

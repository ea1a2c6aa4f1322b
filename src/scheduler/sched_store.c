/** @file
 * Reads and appends of the records of owned shards.
 */
#include "scheduler/sched_private.h"

#define READ_WAIT (400 * USEC_PER_MSEC)
/* A busy process receives one window of a connection in each round of its
   loop.  Reads that are not answered in time are repeated with less data and
   more time, but with more data than the largest record has. */
#define READ_BYTES_LARGE (1U << 20)
#define READ_BYTES_MIN (288U << 10)
#define READ_TIMEOUT_SHIFT_MAX 2U
/* An owner's append times out after APPEND_TIMEOUT_FACTOR times its usual
   latency and is repeated.  The store recognizes repetitions by their
   sequence number; the shard stores and starts nothing else meanwhile. */
#define APPEND_TIMEOUT_MAX (1200 * USEC_PER_MSEC)
/* Upper limit while appends go unanswered, so that the end of an outage is
   noticed soon.  After UNANSWERED_APPENDS_MAX of them the store may be slow
   rather than down, and APPEND_TIMEOUT_MAX applies. */
#define APPEND_TIMEOUT_OUTAGE_MAX (600 * USEC_PER_MSEC)
#define UNANSWERED_APPENDS_MAX 8U
#define APPEND_TIMEOUT_MIN (300 * USEC_PER_MSEC)
#define APPEND_TIMEOUT_FACTOR 6
/* A faster append lowers the latency estimate by this fraction of the
   difference. */
#define APPEND_LATENCY_DIVISOR 8
#define RECORD_KEY_HEX_DIGITS 16U
/* Producer name in the appends of a shard's owner. */
#define OWNER_PRODUCER "owner"

static usec_t append_timeout (const shard_state_t *state);
static bool was_awaited (store_result_t result, usec_t sent);
static void record_append_result (shard_state_t *state, usec_t sent,
                                  store_result_t result);
static void fence (shard_state_t *state);
static void on_fenced (void *ctx, store_result_t result, const char *error);
static void load_page (shard_state_t *state);
static void on_page (void *ctx, const store_records_t *records);
static usec_t read_timeout (const shard_state_t *state, usec_t timeout);
static void record_read_result (shard_state_t *state, store_result_t result,
                                bool has_more);
static void read_next (shard_state_t *state);
static void on_read (void *ctx, const store_records_t *records);
static void deliver_record (shard_state_t *state, usec_t now,
                            const store_record_t *record);
static usec_t shard_state_tick (shard_state_t *state, usec_t now);
static void shard_call (void *ctx, const shard_call_t *call);
static void on_worker_reply (void *ctx, uint64_t call,
                             const shard_reply_t *reply);
static void shard_append (void *ctx, uint64_t sequence,
                          const shard_record_t *records, size_t count);
static void on_appended (void *ctx, store_result_t result, const char *error);
static void shard_settled (void *ctx, job_id_t job);
static void shard_superseded (void *ctx);
static int64_t wall_ms (void *ctx);
static bool rejects_overload (void *ctx, const char *service);
static const char *service_of_queue (void *ctx, const char *queue,
                                     uint64_t *version);

const shard_ops_t sched_shard_ops
    = { shard_call, shard_append,     shard_settled,   shard_superseded,
        wall_ms,    rejects_overload, service_of_queue };

static const char record_kinds[]
    = { RECORD_SUBMISSION, RECORD_PROGRESS, RECORD_INTERFERENCE,
        RECORD_LAPSING, RECORD_LEASE_BOUND };

/* Context of a store call that is made as the owner of a shard.  */
typedef struct
{
  shard_state_t *state;
  uint64_t ownership_id;
  usec_t sent;
} ownership_call_t;

static ownership_call_t *
new_ownership_call (shard_state_t *state)
{
  ownership_call_t *call = g_new0 (ownership_call_t, 1);

  call->state = state;
  call->ownership_id = state->ownership_id;
  call->sent = clock_now ();
  return call;
}

/* Frees the context of a finished store call and records the result.
   @param sent set to the time at which the call was sent
   @return the shard's state, NULL if the ownership has ended or changed since
   the call */
static shard_state_t *
finish_ownership_call (void *ctx, store_result_t result, const char *step,
                       const char *error, usec_t *sent)
{
  ownership_call_t call = *(ownership_call_t *)ctx;

  g_free (ctx);
  *sent = call.sent;
  sched_store_result (call.state->scheduler, call.sent, result, step, error);
  sched_wake (call.state->scheduler);
  return call.ownership_id == call.state->ownership_id ? call.state : NULL;
}

uint32_t
record_key (record_kind_t kind, job_id_t job, char key[RECORD_KEY_MAX + 1])
{
  uint32_t len = (uint32_t)g_snprintf (key, RECORD_KEY_MAX + 1, "%c%s",
                                       (char)kind, JOB_ID_TEXT (job));

  if (job_id_capitals (job))
    key[len++] = RECORD_KEY_MARK;
  key[len] = '\0';
  return len;
}

bool
record_key_parse (blob_t key, record_kind_t *kind, job_id_t *job)
{
  bool marked = key.len == RECORD_KEY_MAX
                && key.data[RECORD_KEY_MAX - 1] == RECORD_KEY_MARK;

  if (key.len != RECORD_KEY_MAX - !marked
      || !memchr (record_kinds, key.data[0], sizeof record_kinds)
      || !job_id_parse (key.data + 1, JOB_ID_DIGITS, job))
    return false;
  *kind = (record_kind_t)key.data[0];
  return marked == (job_id_capitals (*job) != 0);
}

usec_t
store_tick (scheduler_t *s, usec_t now)
{
  usec_t next = INT64_MAX;

  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      usec_t due = shard_state_tick (&s->shards[i], now);

      next = MIN (next, due);
    }
  return next;
}

/* --- Records of a shard --- */

void
store_load (scheduler_t *s, shard_state_t *state, usec_t now)
{
  state->loading = true;
  state->load_busy = false;
  state->last_key[0] = '\0';
  state->next_offset_known = false;
  state->lapsing_end = state->lease_bound_end = state->progress_offset = 0;
  state->read_busy = false;
  state->unanswered_reads = 0;
  state->read_due = now;
  workers_reload (s, now);
  sched_wake (s);
}

static usec_t
shard_state_tick (shard_state_t *state, usec_t now)
{
  if (!state->owned)
    return INT64_MAX;
  if (now < state->read_due)
    return state->read_due;
  if (state->loading && !state->load_busy)
    {
      if (state->fenced)
        load_page (state);
      else
        fence (state);
    }
  else if (!state->loading && !state->read_busy)
    read_next (state);
  return INT64_MAX;
}

static usec_t
append_timeout (const shard_state_t *state)
{
  usec_t base
      = CLAMP (state->scheduler->append_latency * APPEND_TIMEOUT_FACTOR,
               APPEND_TIMEOUT_MIN, APPEND_TIMEOUT_MAX);
  usec_t limit = state->unanswered_appends < UNANSWERED_APPENDS_MAX
                     ? APPEND_TIMEOUT_OUTAGE_MAX
                     : APPEND_TIMEOUT_MAX;

  return CLAMP (
      base << MIN (state->unanswered_appends / 2, UNANSWERED_APPENDS_MAX),
      base, MAX (base, limit));
}

static void
record_append_result (shard_state_t *state, usec_t sent, store_result_t result)
{
  scheduler_t *s = state->scheduler;
  usec_t difference = clock_now () - sent - s->append_latency;

  state->unanswered_appends
      = result == STORE_UNKNOWN ? state->unanswered_appends + 1 : 0;
  /* The estimate rises at once, since repetitions would lengthen the queue of
     a slow store.  */
  if (result == STORE_OK)
    s->append_latency
        += difference > 0 ? difference : difference / APPEND_LATENCY_DIVISOR;
}

/* @return whether an unanswered call has lasted at least APPEND_TIMEOUT_MIN,
   so that it may be repeated without a delay; a connection that was closed
   early has not */
static bool
was_awaited (store_result_t result, usec_t sent)
{
  return result == STORE_UNKNOWN && clock_now () - sent >= APPEND_TIMEOUT_MIN;
}

/* Sends an empty append under the new epoch.  Once it is stored, the store
   refuses appends of former owners, so that the load that follows sees all
   their records.  */
static void
fence (shard_state_t *state)
{
  const scheduler_t *s = state->scheduler;
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_partition_of (s, state->number),
                            .producer = OWNER_PRODUCER,
                            .epoch = state->ownership_generation,
                            .timeout = append_timeout (state) };

  state->load_busy = true;
  s->backend->ops->append (s->backend->ctx, &append, on_fenced,
                           new_ownership_call (state));
}

static void
on_fenced (void *ctx, store_result_t result, const char *error)
{
  usec_t sent;
  shard_state_t *state
      = finish_ownership_call (ctx, result, "fence", error, &sent);

  if (!state)
    return;
  record_append_result (state, sent, result);
  state->load_busy = false;
  state->fenced = result == STORE_OK;
  state->read_due = clock_now ();
  if (!state->fenced && !was_awaited (result, sent))
    state->read_due += READ_RETRY;
  if (result == STORE_FENCED)
    state->superseded = true;
}

static void
load_page (shard_state_t *state)
{
  const scheduler_t *s = state->scheduler;

  state->load_busy = true;
  s->backend->ops->read_latest (
      s->backend->ctx, TOPIC_WORK, sched_partition_of (s, state->number),
      state->last_key, read_timeout (state, PAGE_TIMEOUT), on_page,
      new_ownership_call (state));
}

static void
on_page (void *ctx, const store_records_t *records)
{
  usec_t now = clock_now ();
  usec_t sent;
  shard_state_t *state = finish_ownership_call (ctx, records->result, "newest",
                                                records->error, &sent);

  if (!state)
    return;
  state->load_busy = false;
  state->unanswered_reads
      = records->result == STORE_UNKNOWN ? state->unanswered_reads + 1 : 0;
  if (records->result != STORE_OK)
    {
      state->read_due = now + READ_RETRY;
      return;
    }
  /* The pages are not a snapshot.  Records appended during the load are read
     again, from the offset that the first page returned.  */
  if (!state->next_offset_known)
    state->next_offset = records->next_offset;
  state->next_offset_known = true;
  for (size_t i = 0; i < records->count; i++)
    deliver_record (state, now, &records->records[i]);
  if (records->count)
    blob_copy (records->records[records->count - 1].key, state->last_key,
               sizeof state->last_key);
  state->read_due = now;
  if (records->has_more && records->count)
    return;
  state->loading = false;
  if (shard_is_active (state->shard))
    return; /* reload after STORE_EXPIRED; the shard stays active */
  if (state->lapsing_end && state->lapsing_end <= state->progress_offset)
    shard_discard_lapsing (state->shard);
  if (state->lease_bound_end
      && state->lease_bound_end <= state->progress_offset)
    shard_discard_lease_bound (state->shard);
  shard_loaded (state->shard, now);
}

static void
deliver_record (shard_state_t *state, usec_t now, const store_record_t *record)
{
  record_kind_t kind;
  job_id_t job;

  if (!record_key_parse (record->key, &kind, &job))
    {
      log_line (LOG_LEVEL_WARNING, "record.unreadable", NULL,
                "shard=%u offset=%" PRIu64 " key of %u bytes", state->number,
                record->offset, record->key.len);
      return;
    }
  if (kind == RECORD_LAPSING)
    state->lapsing_end = record->offset + 1;
  else if (kind == RECORD_LEASE_BOUND)
    state->lease_bound_end = record->offset + 1;
  else if (kind != RECORD_INTERFERENCE
           && sched_shard_of (state->scheduler, job) != state->number)
    return;
  if (kind == RECORD_PROGRESS)
    state->progress_offset = MAX (state->progress_offset, record->offset);
  shard_apply_record (state->shard, now, kind, job, record->value);
  if (kind == RECORD_SUBMISSION && shard_is_active (state->shard))
    queries_job_changed (state->scheduler, now, job);
}

static usec_t
read_timeout (const shard_state_t *state, usec_t timeout)
{
  return timeout << MIN (state->unanswered_reads, READ_TIMEOUT_SHIFT_MAX);
}

/* Once a read needed more time, so do the next ones until all is read.  */
static void
record_read_result (shard_state_t *state, store_result_t result, bool has_more)
{
  if (result == STORE_UNKNOWN)
    state->unanswered_reads++;
  else if (result == STORE_OK && !has_more)
    state->unanswered_reads = 0;
}

static void
read_next (shard_state_t *state)
{
  const scheduler_t *s = state->scheduler;
  uint32_t halvings = MIN (state->unanswered_reads, 8U);
  store_read_t read
      = { .topic = TOPIC_WORK,
          .part = sched_partition_of (s, state->number),
          .from = state->next_offset,
          .wait = queries_await_read (s, state->number) ? 0 : READ_WAIT,
          .timeout = READ_WAIT + read_timeout (state, READ_TIMEOUT),
          .max_bytes = halvings
                           ? MAX (READ_BYTES_LARGE >> halvings, READ_BYTES_MIN)
                           : 0 };

  state->read_busy = true;
  s->backend->ops->read (s->backend->ctx, &read, on_read,
                         new_ownership_call (state));
}

static void
on_read (void *ctx, const store_records_t *records)
{
  usec_t now = clock_now ();
  usec_t sent;
  shard_state_t *state = finish_ownership_call (ctx, records->result, "read",
                                                records->error, &sent);

  if (!state)
    return;
  state->read_busy = false;
  record_read_result (state, records->result, records->has_more);
  if (records->result == STORE_EXPIRED)
    {
      log_line (LOG_LEVEL_NOTICE, "shard.reload", NULL,
                "shard=%u offset=%" PRIu64 " has expired", state->number,
                state->next_offset);
      store_load (state->scheduler, state, now);
      return;
    }
  if (records->result != STORE_OK)
    {
      state->read_due = now + READ_RETRY;
      return;
    }
  state->next_offset = records->next_offset;
  for (size_t i = 0; i < records->count; i++)
    deliver_record (state, now, &records->records[i]);
  state->read_due = now;
  if (records->has_more)
    return;
  state->read_as_of = sent;
  queries_read_complete (state->scheduler, now, state->number);
}

/* --- Operations for a shard --- */

static void
shard_call (void *ctx, const shard_call_t *call)
{
  shard_state_t *state = ctx;
  const scheduler_t *s = state->scheduler;

  s->backend->ops->call_worker (s->backend->ctx, call, on_worker_reply, state);
}

static void
on_worker_reply (void *ctx, uint64_t call, const shard_reply_t *reply)
{
  shard_state_t *state = ctx;

  shard_reply (state->shard, clock_now (), call, reply);
  sched_wake (state->scheduler);
}

static void
shard_append (void *ctx, uint64_t sequence, const shard_record_t *records,
              size_t count)
{
  shard_state_t *state = ctx;
  const scheduler_t *s = state->scheduler;
  store_record_t *rows = g_new0 (store_record_t, count);
  char (*keys)[RECORD_KEY_MAX + 1] = g_malloc (count * sizeof *keys);
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_partition_of (s, state->number),
                            .producer = OWNER_PRODUCER,
                            .epoch = state->ownership_generation,
                            .sequence = sequence,
                            .records = rows,
                            .count = count,
                            .timeout = append_timeout (state) };

  for (size_t i = 0; i < count; i++)
    {
      rows[i].key = (blob_t){ keys[i], record_key (records[i].kind,
                                                   records[i].job, keys[i]) };
      rows[i].value = records[i].value;
    }
  s->backend->ops->append (s->backend->ctx, &append, on_appended,
                           new_ownership_call (state));
  g_free (keys);
  g_free (rows);
}

static void
on_appended (void *ctx, store_result_t result, const char *error)
{
  usec_t sent;
  shard_state_t *state
      = finish_ownership_call (ctx, result, "append", error, &sent);
  shard_append_result_t stored = SHARD_NOT_STORED;

  if (!state)
    return;
  record_append_result (state, sent, result);
  if (result == STORE_OK)
    stored = SHARD_STORED;
  else if (was_awaited (result, sent))
    stored = SHARD_STORE_TIMEOUT;
  else if (result == STORE_FENCED)
    stored = SHARD_SUPERSEDED;
  else if (result == STORE_INVALID)
    log_line (LOG_LEVEL_ERR, "append", NULL, "shard=%u rejected: %s",
              state->number, error ? error : "");
  shard_append_done (state->shard, clock_now (), stored);
}

static void
shard_settled (void *ctx, job_id_t job)
{
  shard_state_t *state = ctx;

  queries_job_changed (state->scheduler, clock_now (), job);
}

static void
shard_superseded (void *ctx)
{
  shard_state_t *state = ctx;

  state->scheduler->join_due = 0;
  state->superseded = true;
  sched_wake (state->scheduler);
}

static int64_t
wall_ms (void *ctx)
{
  (void)ctx;
  return usec_to_msec (g_get_real_time ());
}

static bool
rejects_overload (void *ctx, const char *service)
{
  const shard_state_t *state = ctx;
  const queues_t *queues = state->scheduler->queues;

  return queues && queues_rejects_overload (queues, service);
}

static const char *
service_of_queue (void *ctx, const char *queue, uint64_t *version)
{
  const shard_state_t *state = ctx;
  const queues_t *queues = state->scheduler->queues;
  const queue_rules_t *rules = queues ? queues_get (queues, queue) : NULL;

  if (!rules)
    return NULL;
  *version = queues_version (queues);
  return rules->service;
}

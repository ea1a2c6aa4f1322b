/** @file
 * Records of the store: loading and following shards, the configuration and
 * the list of workers.
 */
#include "scheduler/sched_private.h"

#include <xxhash.h>

#define PAGE_TIMEOUT (1500 * USEC_PER_MSEC)
#define READ_WAIT (400 * USEC_PER_MSEC)
#define READ_TIMEOUT (900 * USEC_PER_MSEC)
#define READ_RETRY (150 * USEC_PER_MSEC)
/* An owner's append is repeated when it has taken several times as long as
   usual: repetitions are recognized, and nothing is stored or started
   meanwhile. */
#define APPEND_TIMEOUT_MOST (1200 * USEC_PER_MSEC)
/* A store that is away is tried this often; after so many tries without an
   answer it may be one whose answers take that long. */
#define APPEND_TIMEOUT_AWAY (600 * USEC_PER_MSEC)
#define MUTE_LONG 8U
#define APPEND_TIMEOUT_LEAST (300 * USEC_PER_MSEC)
#define APPEND_SPANS 6
/* Weight of the newest append in what is usual, as a divisor. */
#define APPEND_WEIGHT 8
#define CONFIG_WAIT (1500 * USEC_PER_MSEC)
/* Workers write every second or so; a leaving one gets work for this long
   after it said so. */
#define WORKERS_INTERVAL (350 * USEC_PER_MSEC)
#define KEY_HEX 16U
/* Producer of the records of a shard's owner. */
#define OWNER "owner"

static usec_t append_timeout (const part_t *part);
static bool was_waited_for (store_result_t result, usec_t sent);
static void append_answered (part_t *part, usec_t sent, store_result_t result);
static void fence (part_t *part);
static void on_fenced (void *ctx, store_result_t result, const char *error);
static void load_page (part_t *part);
static void on_page (void *ctx, const store_records_t *records);
static void follow (part_t *part);
static void on_read (void *ctx, const store_records_t *records);
static bool parse_key (blob_t key, record_kind_t *kind, job_id_t *job);
static void pass_record (part_t *part, usec_t now,
                         const store_record_t *record);
static usec_t part_tick (part_t *part, usec_t now);
static usec_t config_tick (scheduler_t *s, usec_t now);
static void on_config (void *ctx, const store_records_t *records);
static void take_config (scheduler_t *s, const store_record_t *record);
static usec_t workers_tick (scheduler_t *s, usec_t now);
static void on_workers (void *ctx, const store_records_t *records);
static void take_worker (scheduler_t *s, usec_t now,
                         const store_record_t *record);
static void drop_unlisted (scheduler_t *s, usec_t now);
static bool owns_any (const scheduler_t *s);
static void shard_call (void *ctx, const shard_call_t *call);
static void on_worker_reply (void *ctx, uint64_t call,
                             const shard_reply_t *reply);
static void shard_append (void *ctx, uint64_t sequence,
                          const shard_record_t *records, size_t count);
static void on_appended (void *ctx, store_result_t result, const char *error);
static void shard_settled (void *ctx, job_id_t job);
static void shard_superseded (void *ctx);
static int64_t wall_ms (void *ctx);

const shard_ops_t sched_shard_ops
    = { shard_call, shard_append, shard_settled, shard_superseded, wall_ms };

/* Which ownership a store call belongs to.  */
typedef struct
{
  part_t *part;
  uint64_t life;
  usec_t sent;
} part_call_t;

static part_call_t *
part_call (part_t *part)
{
  part_call_t *call = g_new0 (part_call_t, 1);

  call->part = part;
  call->life = part->life;
  call->sent = clock_now ();
  return call;
}

/* Takes a store call's answer: frees the call and notes how the store did.
   @param sent set to when the call was sent
   @return the shard's row, NULL if its ownership is another by now */
static part_t *
part_answered (void *ctx, store_result_t result, const char *step,
               const char *error, usec_t *sent)
{
  part_call_t call = *(part_call_t *)ctx;

  g_free (ctx);
  *sent = call.sent;
  sched_store_result (call.part->scheduler, call.sent, result, step, error);
  sched_wake (call.part->scheduler);
  return call.life == call.part->life ? call.part : NULL;
}

void
record_key (record_kind_t kind, job_id_t job, char key[KEY_CHARS + 1])
{
  g_snprintf (key, KEY_CHARS + 1, "%c%016" PRIx64, (char)kind, job);
}

static bool
parse_key (blob_t key, record_kind_t *kind, job_id_t *job)
{
  if (key.len != KEY_CHARS
      || (key.data[0] != RECORD_SUBMISSION && key.data[0] != RECORD_PROGRESS
          && key.data[0] != RECORD_INTERFERENCE))
    return false;
  *kind = (record_kind_t)key.data[0];
  return job_id_parse (key.data + 1, KEY_HEX, job);
}

usec_t
store_tick (scheduler_t *s, usec_t now)
{
  usec_t next = config_tick (s, now);
  usec_t due = workers_tick (s, now);

  next = MIN (next, due);
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      due = part_tick (&s->parts[i], now);
      next = MIN (next, due);
    }
  return next;
}

/* --- Jobs of a shard --- */

void
store_load (scheduler_t *s, part_t *part, usec_t now)
{
  part->loading = true;
  part->paging = false;
  part->after[0] = '\0';
  part->next_known = false;
  part->read_busy = false;
  part->read_due = now;
  /* The shard has not seen the workers that are listed already.  */
  s->workers_loaded = false;
  s->workers_more = false;
  s->workers_due = MIN (s->workers_due, now);
  sched_wake (s);
}

static usec_t
part_tick (part_t *part, usec_t now)
{
  if (!part->owned)
    return INT64_MAX;
  if (now < part->read_due)
    return part->read_due;
  if (part->loading && !part->paging)
    {
      if (part->fenced)
        load_page (part);
      else
        fence (part);
    }
  else if (!part->loading && !part->read_busy)
    follow (part);
  return INT64_MAX;
}

static usec_t
append_timeout (const part_t *part)
{
  usec_t usual = CLAMP (part->scheduler->append_span * APPEND_SPANS,
                        APPEND_TIMEOUT_LEAST, APPEND_TIMEOUT_MOST);
  usec_t most
      = part->mute < MUTE_LONG ? APPEND_TIMEOUT_AWAY : APPEND_TIMEOUT_MOST;

  return CLAMP (usual << MIN (part->mute / 2, MUTE_LONG), usual,
                MAX (usual, most));
}

static void
append_answered (part_t *part, usec_t sent, store_result_t result)
{
  scheduler_t *s = part->scheduler;
  usec_t more = clock_now () - sent - s->append_span;

  part->mute = result == STORE_UNKNOWN ? part->mute + 1 : 0;
  /* A store that has become slow is believed at once: repetitions would add to
     its queue.  */
  if (result == STORE_OK)
    s->append_span += more > 0 ? more : more / APPEND_WEIGHT;
}

/* @return whether a call without an answer has taken as long as a pause; a
   connection that is cut at once has not */
static bool
was_waited_for (store_result_t result, usec_t sent)
{
  return result == STORE_UNKNOWN
         && clock_now () - sent >= APPEND_TIMEOUT_LEAST;
}

/* An empty append under the new epoch: whatever a former owner appends after
   it is refused, so that what is read next is all there is.  */
static void
fence (part_t *part)
{
  const scheduler_t *s = part->scheduler;
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_part_of (s, part->number),
                            .producer = OWNER,
                            .epoch = part->token,
                            .timeout = append_timeout (part) };

  part->paging = true;
  s->backend->ops->append (s->backend->ctx, &append, on_fenced,
                           part_call (part));
}

static void
on_fenced (void *ctx, store_result_t result, const char *error)
{
  usec_t sent;
  part_t *part = part_answered (ctx, result, "fence", error, &sent);

  if (!part)
    return;
  append_answered (part, sent, result);
  part->paging = false;
  part->fenced = result == STORE_OK;
  part->read_due = clock_now ();
  if (!part->fenced && !was_waited_for (result, sent))
    part->read_due += READ_RETRY;
  if (result == STORE_FENCED)
    part->lost = true;
}

static void
load_page (part_t *part)
{
  const scheduler_t *s = part->scheduler;

  part->paging = true;
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORK,
                                sched_part_of (s, part->number), part->after,
                                PAGE_TIMEOUT, on_page, part_call (part));
}

static void
on_page (void *ctx, const store_records_t *records)
{
  usec_t now = clock_now ();
  usec_t sent;
  part_t *part
      = part_answered (ctx, records->result, "newest", records->error, &sent);

  if (!part)
    return;
  part->paging = false;
  if (records->result != STORE_OK)
    {
      part->read_due = now + READ_RETRY;
      return;
    }
  /* Pages are no snapshot: what changes meanwhile is read again from the end
     that the first page told.  */
  if (!part->next_known)
    part->next = records->next_offset;
  part->next_known = true;
  for (size_t i = 0; i < records->count; i++)
    pass_record (part, now, &records->records[i]);
  if (records->count)
    blob_copy (records->records[records->count - 1].key, part->after,
               sizeof part->after);
  part->read_due = now;
  if (records->has_more && records->count)
    return;
  part->loading = false;
  if (shard_is_active (part->shard))
    return; /* the history was gone; the shard goes on */
  part->read_ok = sent;
  shard_loaded (part->shard, now);
}

static void
pass_record (part_t *part, usec_t now, const store_record_t *record)
{
  record_kind_t kind;
  job_id_t job;

  if (!parse_key (record->key, &kind, &job))
    {
      log_line (LOG_LEVEL_WARNING, "record.unreadable", NULL,
                "shard=%u offset=%" PRIu64 " key of %u bytes", part->number,
                record->offset, record->key.len);
      return;
    }
  if (kind != RECORD_INTERFERENCE
      && sched_shard_of (part->scheduler, job) != part->number)
    return;
  shard_apply_record (part->shard, now, kind, job, record->value);
  if (kind == RECORD_SUBMISSION && shard_is_active (part->shard))
    asks_job_changed (part->scheduler, now, job);
}

static void
follow (part_t *part)
{
  const scheduler_t *s = part->scheduler;
  store_read_t read = { .topic = TOPIC_WORK,
                        .part = sched_part_of (s, part->number),
                        .from = part->next,
                        .wait = READ_WAIT,
                        .timeout = READ_WAIT + READ_TIMEOUT };

  part->read_busy = true;
  s->backend->ops->read (s->backend->ctx, &read, on_read, part_call (part));
}

static void
on_read (void *ctx, const store_records_t *records)
{
  usec_t now = clock_now ();
  usec_t sent;
  part_t *part
      = part_answered (ctx, records->result, "read", records->error, &sent);

  if (!part)
    return;
  part->read_busy = false;
  if (records->result == STORE_EXPIRED)
    {
      log_line (LOG_LEVEL_NOTICE, "shard.reload", NULL,
                "shard=%u offset=%" PRIu64 " is gone", part->number,
                part->next);
      store_load (part->scheduler, part, now);
      return;
    }
  if (records->result != STORE_OK)
    {
      part->read_due = now + READ_RETRY;
      return;
    }
  part->read_ok = sent;
  part->next = records->next_offset;
  for (size_t i = 0; i < records->count; i++)
    pass_record (part, now, &records->records[i]);
  part->read_due = now;
}

/* --- Configuration --- */

static usec_t
config_tick (scheduler_t *s, usec_t now)
{
  store_read_t read = { .topic = TOPIC_CONFIG,
                        .from = s->config_next,
                        .wait = CONFIG_WAIT,
                        .timeout = CONFIG_WAIT + READ_TIMEOUT };

  if (s->config_busy || now < s->config_due)
    return s->config_due;
  s->config_busy = true;
  s->config_due = INT64_MAX;
  if (s->config_loaded)
    s->backend->ops->read (s->backend->ctx, &read, on_config, s);
  else
    s->backend->ops->read_latest (s->backend->ctx, TOPIC_CONFIG, 0, "",
                                  PAGE_TIMEOUT, on_config, s);
  return INT64_MAX;
}

static void
on_config (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();

  sched_wake (s);
  counter_add (COUNTER_STORE_CALLS, 1);
  s->config_busy = false;
  s->config_due = now;
  if (records->result != STORE_OK)
    {
      s->config_loaded &= records->result != STORE_EXPIRED;
      s->config_due = now + READ_RETRY;
      return;
    }
  s->config_loaded = true;
  s->config_next = records->next_offset;
  for (size_t i = 0; i < records->count; i++)
    take_config (s, &records->records[i]);
}

static void
take_config (scheduler_t *s, const store_record_t *record)
{
  err_t err = { 0 };
  queues_t *queues
      = s->backend->ops->decode_config (s->backend->ctx, record, &err);

  if (!queues)
    {
      if (err.code)
        log_err (LOG_LEVEL_ERR, &err);
      return;
    }
  /* Versions only rise: an older one never comes into force again.  */
  if (s->queues && queues_version (queues) <= queues_version (s->queues))
    {
      queues_free (queues);
      return;
    }
  log_line (LOG_LEVEL_NOTICE, "config", NULL,
            "version=%" PRIu64 " offset=%" PRIu64 " in force",
            queues_version (queues), record->offset);
  counter_set (COUNTER_BUNDLE_VERSION, queues_version (queues));
  queues_free (s->queues);
  s->queues = queues;
}

/* --- Workers --- */

static bool
owns_any (const scheduler_t *s)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->parts[i].owned)
      return true;
  return false;
}

static usec_t
workers_tick (scheduler_t *s, usec_t now)
{
  store_read_t read = { .topic = TOPIC_WORKERS,
                        .from = s->workers_next,
                        .timeout = READ_TIMEOUT };

  if (!owns_any (s))
    {
      s->workers_loaded = false;
      g_hash_table_remove_all (s->worker_shards);
      return INT64_MAX;
    }
  if (s->workers_busy)
    return INT64_MAX;
  if (now < s->workers_due)
    return s->workers_due;
  s->workers_busy = true;
  s->workers_due = now + WORKERS_INTERVAL;
  if (s->workers_loaded)
    {
      s->backend->ops->read (s->backend->ctx, &read, on_workers, s);
      return s->workers_due;
    }
  if (!s->workers_more)
    {
      s->workers_after[0] = '\0';
      s->workers_next_known = false;
      g_hash_table_remove_all (s->worker_shards);
    }
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0,
                                s->workers_after, PAGE_TIMEOUT, on_workers, s);
  return s->workers_due;
}

static void
on_workers (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();

  s->workers_busy = false;
  sched_wake (s);
  counter_add (COUNTER_STORE_CALLS, 1);
  if (records->result != STORE_OK)
    {
      if (records->result == STORE_EXPIRED)
        s->workers_loaded = false;
      s->workers_more = false;
      return;
    }
  for (size_t i = 0; i < records->count; i++)
    take_worker (s, now, &records->records[i]);
  if (s->workers_loaded)
    {
      s->workers_next = records->next_offset;
      return;
    }
  if (!s->workers_next_known)
    s->workers_next = records->next_offset;
  s->workers_next_known = true;
  s->workers_more = records->has_more && records->count;
  if (s->workers_more)
    {
      blob_copy (records->records[records->count - 1].key, s->workers_after,
                 sizeof s->workers_after);
      s->workers_due = now;
      return;
    }
  s->workers_loaded = true;
  drop_unlisted (s, now);
}

/* Workers of one rack belong to one shard.  */
static uint32_t
shard_of_worker (const scheduler_t *s, const shard_worker_t *info)
{
  const char *unit = *info->rack ? info->rack : info->id;

  return (uint32_t)(XXH64 (unit, strlen (unit), 0) % s->shard_count);
}

/* @return shard + 1 of a worker that is known, else 0 */
static uint32_t
worker_shard (const scheduler_t *s, const store_record_t *record)
{
  char id[256];

  blob_copy (record->key, id, sizeof id);
  return GPOINTER_TO_UINT (g_hash_table_lookup (s->worker_shards, id));
}

static void
take_worker (scheduler_t *s, usec_t now, const store_record_t *record)
{
  shard_worker_t info = { 0 };
  uint32_t known = worker_shard (s, record);
  uint32_t shard;
  int code;

  /* A machine stays in its rack, so an entry of another shard's worker is
     not decoded again.  */
  if (known && record->value.len && !s->parts[known - 1].owned)
    return;
  code = s->backend->ops->decode_worker (s->backend->ctx, record, &info);

  if (code == -EBADMSG)
    log_line (LOG_LEVEL_WARNING, "worker.unreadable", NULL,
              "worker=%s offset=%" PRIu64 " bytes=%u known=%d", info.id,
              record->offset, record->value.len, known != 0);
  /* An entry that is unreadable names no worker that may be used.  */
  if (code)
    {
      if (known)
        shard_worker_unlisted (s->parts[known - 1].shard, now, info.id);
      g_hash_table_remove (s->worker_shards, info.id);
      return;
    }
  shard = shard_of_worker (s, &info);
  if (!known)
    g_hash_table_insert (s->worker_shards, g_strdup (info.id),
                         GUINT_TO_POINTER (shard + 1));
  if (s->parts[shard].owned)
    shard_worker_listed (s->parts[shard].shard, now, &info);
}

/* After the whole list was read anew.  */
static void
drop_unlisted (scheduler_t *s, usec_t now)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_worker_list_read (s->parts[i].shard, now, s->worker_shards);
}

/* --- What a shard asks for --- */

static void
shard_call (void *ctx, const shard_call_t *call)
{
  part_t *part = ctx;
  const scheduler_t *s = part->scheduler;

  s->backend->ops->call_worker (s->backend->ctx, call, on_worker_reply, part);
}

static void
on_worker_reply (void *ctx, uint64_t call, const shard_reply_t *reply)
{
  part_t *part = ctx;

  shard_reply (part->shard, clock_now (), call, reply);
  sched_wake (part->scheduler);
}

static void
shard_append (void *ctx, uint64_t sequence, const shard_record_t *records,
              size_t count)
{
  part_t *part = ctx;
  const scheduler_t *s = part->scheduler;
  store_record_t *rows = g_new0 (store_record_t, count);
  char (*keys)[KEY_CHARS + 1] = g_malloc (count * sizeof *keys);
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_part_of (s, part->number),
                            .producer = OWNER,
                            .epoch = part->token,
                            .sequence = sequence,
                            .records = rows,
                            .count = count,
                            .timeout = append_timeout (part) };

  for (size_t i = 0; i < count; i++)
    {
      record_key (records[i].kind, records[i].job, keys[i]);
      rows[i].key = (blob_t){ keys[i], KEY_CHARS };
      rows[i].value = records[i].value;
    }
  s->backend->ops->append (s->backend->ctx, &append, on_appended,
                           part_call (part));
  g_free (keys);
  g_free (rows);
}

static void
on_appended (void *ctx, store_result_t result, const char *error)
{
  usec_t sent;
  part_t *part = part_answered (ctx, result, "append", error, &sent);
  shard_append_result_t stored = SHARD_NOT_STORED;

  if (!part)
    return;
  append_answered (part, sent, result);
  if (result == STORE_OK)
    stored = SHARD_STORED;
  else if (was_waited_for (result, sent))
    stored = SHARD_STORE_TIMEOUT;
  else if (result == STORE_FENCED)
    stored = SHARD_SUPERSEDED;
  else if (result == STORE_INVALID)
    log_line (LOG_LEVEL_ERR, "append", NULL, "shard=%u rejected: %s",
              part->number, error ? error : "");
  shard_append_done (part->shard, clock_now (), stored);
}

static void
shard_settled (void *ctx, job_id_t job)
{
  part_t *part = ctx;

  asks_job_changed (part->scheduler, clock_now (), job);
}

static void
shard_superseded (void *ctx)
{
  part_t *part = ctx;

  part->scheduler->join_due = 0;
  part->lost = true;
  sched_wake (part->scheduler);
}

static int64_t
wall_ms (void *ctx)
{
  (void)ctx;
  return usec_to_msec (g_get_real_time ());
}

/** @file
 * The platform's list of workers, which owners of shards follow.
 */
#include "scheduler/sched_private.h"

#include <xxhash.h>

/* Workers update their entries about once a second.  A leaving worker may be
   assigned work until the next read. */
#define WORKERS_INTERVAL (350 * USEC_PER_MSEC)

static void on_workers (void *ctx, const store_records_t *records);
static void apply_worker (scheduler_t *s, usec_t now,
                          const store_record_t *record);
static void drop_unlisted (scheduler_t *s, usec_t now);
static void confirm_list (scheduler_t *s, usec_t as_of);

void
workers_reload (scheduler_t *s, usec_t now)
{
  s->workers_loaded = false;
  s->workers_more_pages = false;
  s->workers_due = MIN (s->workers_due, now);
}

usec_t
workers_tick (scheduler_t *s, usec_t now)
{
  store_read_t read = { .topic = TOPIC_WORKERS,
                        .from = s->workers_next_offset,
                        .timeout = READ_TIMEOUT };

  if (!sched_owns_any_shard (s))
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
  s->workers_sent = now;
  if (s->workers_loaded)
    {
      s->backend->ops->read (s->backend->ctx, &read, on_workers, s);
      return s->workers_due;
    }
  if (!s->workers_more_pages)
    {
      s->workers_last_key[0] = '\0';
      s->workers_list_sent = now;
      s->workers_next_offset_known = false;
      g_hash_table_remove_all (s->worker_shards);
    }
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0,
                                s->workers_last_key, PAGE_TIMEOUT, on_workers,
                                s);
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
      s->workers_more_pages = false;
      return;
    }
  for (size_t i = 0; i < records->count; i++)
    apply_worker (s, now, &records->records[i]);
  if (s->workers_loaded)
    {
      s->workers_next_offset = records->next_offset;
      if (!records->has_more)
        confirm_list (s, s->workers_sent);
      return;
    }
  if (!s->workers_next_offset_known)
    s->workers_next_offset = records->next_offset;
  s->workers_next_offset_known = true;
  s->workers_more_pages = records->has_more && records->count;
  if (s->workers_more_pages)
    {
      blob_copy (records->records[records->count - 1].key, s->workers_last_key,
                 sizeof s->workers_last_key);
      s->workers_due = now;
      return;
    }
  s->workers_loaded = true;
  drop_unlisted (s, now);
  confirm_list (s, s->workers_list_sent);
}

/* All workers of a rack belong to the same shard.  */
static uint32_t
shard_of_worker (const scheduler_t *s, const shard_worker_t *info)
{
  const char *unit = *info->rack ? info->rack : info->id;

  return (uint32_t)(XXH64 (unit, strlen (unit), 0) % s->shard_count);
}

/* @return shard + 1 of a listed worker, else 0 */
static uint32_t
known_worker_shard (const scheduler_t *s, const store_record_t *record)
{
  char id[256];

  blob_copy (record->key, id, sizeof id);
  return GPOINTER_TO_UINT (g_hash_table_lookup (s->worker_shards, id));
}

static void
apply_worker (scheduler_t *s, usec_t now, const store_record_t *record)
{
  shard_worker_t info = { 0 };
  uint32_t known = known_worker_shard (s, record);
  uint32_t shard;
  int code;

  /* A worker's rack never changes, so entries of workers that belong to shards
     of other owners are not decoded again.  */
  if (known && record->value.len && !s->shards[known - 1].owned)
    return;
  code = s->backend->ops->decode_worker (s->backend->ctx, record, &info);

  if (code == -EBADMSG)
    log_line (LOG_LEVEL_WARNING, "worker.unreadable", NULL,
              "worker=%s offset=%" PRIu64 " bytes=%u known=%d", info.id,
              record->offset, record->value.len, known != 0);
  /* A worker whose entry is dropped or unreadable is not used.  */
  if (code)
    {
      if (known)
        shard_worker_unlisted (s->shards[known - 1].shard, now, info.id);
      g_hash_table_remove (s->worker_shards, info.id);
      return;
    }
  shard = shard_of_worker (s, &info);
  if (!known)
    g_hash_table_insert (s->worker_shards, g_strdup (info.id),
                         GUINT_TO_POINTER (shard + 1));
  if (s->shards[shard].owned)
    shard_worker_listed (s->shards[shard].shard, now, &info);
}

/* Removes workers that are missing from the list that was just read.  */
static void
drop_unlisted (scheduler_t *s, usec_t now)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_worker_list_read (s->shards[i].shard, now, s->worker_shards);
}

static void
confirm_list (scheduler_t *s, usec_t as_of)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_workers_confirmed (s->shards[i].shard, as_of);
}

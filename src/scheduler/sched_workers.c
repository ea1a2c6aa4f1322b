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
static const shard_state_t *shard_of_worker (const scheduler_t *s,
                                             const char *id, const char *rack);
static bool contains (blob_t text, const char *part);
static bool check_shard (scheduler_t *s, usec_t now,
                         const shard_worker_t *info,
                         const shard_state_t *known);
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
      g_hash_table_remove_all (s->worker_racks);
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
      g_hash_table_remove_all (s->worker_racks);
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
static const shard_state_t *
shard_of_worker (const scheduler_t *s, const char *id, const char *rack)
{
  const char *unit = *rack ? rack : id;

  return &s->shards[XXH64 (unit, strlen (unit), 0) % s->shard_count];
}

static bool
contains (blob_t text, const char *part)
{
  return text.len && memmem (text.data, text.len, part, strlen (part));
}

/* A worker's rack never changes.  An entry with the rack of another shard than
   the one before is not used, and the next one is taken as it is: either of
   the two may have been left by another writer.
   @return whether the entry is to be used */
static bool
check_shard (scheduler_t *s, usec_t now, const shard_worker_t *info,
             const shard_state_t *known)
{
  if (!known || known == shard_of_worker (s, info->id, info->rack))
    return true;
  log_line (LOG_LEVEL_WARNING, "worker.moved", info->address,
            "worker=%s shard=%u rack=%s is of another shard", info->id,
            known->number, info->rack);
  shard_worker_moved (known->shard, now, info->id);
  g_hash_table_remove (s->worker_racks, info->id);
  return false;
}

static void
apply_worker (scheduler_t *s, usec_t now, const store_record_t *record)
{
  shard_worker_t info = { 0 };
  const shard_state_t *known = NULL;
  const char *rack;
  char id[256];
  int code;

  blob_copy (record->key, id, sizeof id);
  rack = g_hash_table_lookup (s->worker_racks, id);
  if (rack)
    known = shard_of_worker (s, id, rack);
  /* Entries of workers that belong to shards of other owners are not decoded
     again while they contain the same rack.  */
  if (known && !known->owned && *rack && contains (record->value, rack))
    return;
  code = s->backend->ops->decode_worker (s->backend->ctx, record, &info);

  if (code == -EBADMSG)
    log_line (LOG_LEVEL_WARNING, "worker.unreadable", NULL,
              "worker=%s offset=%" PRIu64 " bytes=%u known=%d", info.id,
              record->offset, record->value.len, known != NULL);
  /* A worker whose entry is dropped or unreadable is not used.  */
  if (code)
    {
      if (known)
        shard_worker_unlisted (known->shard, now, info.id);
      g_hash_table_remove (s->worker_racks, info.id);
      return;
    }
  if (!check_shard (s, now, &info, known))
    return;
  if (!known)
    g_hash_table_insert (s->worker_racks, g_strdup (info.id),
                         g_strdup (info.rack));
  known = shard_of_worker (s, info.id, info.rack);
  if (known->owned)
    shard_worker_listed (known->shard, now, &info);
}

/* Removes workers that are missing from the list that was just read.  */
static void
drop_unlisted (scheduler_t *s, usec_t now)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_worker_list_read (s->shards[i].shard, now, s->worker_racks);
}

static void
confirm_list (scheduler_t *s, usec_t as_of)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_workers_confirmed (s->shards[i].shard, as_of);
}

/** @file
 * The operator's records, which every process follows: the configuration and
 * the availability zones that are evacuated.
 */
#include "scheduler/sched_private.h"

/* Longest wait of a read for a record.  */
#define OPERATOR_READ_WAIT (1500 * USEC_PER_MSEC)

static void request_latest (scheduler_t *s);
static void request_next (scheduler_t *s);
static void on_latest (void *ctx, const store_records_t *records);
static void on_next (void *ctx, const store_records_t *records);
static bool finish_read (scheduler_t *s, usec_t now,
                         const store_records_t *records);
static void apply_record (scheduler_t *s, usec_t now,
                          const store_record_t *record);
static void apply_config (scheduler_t *s, const store_record_t *record);
static bool apply_zone (scheduler_t *s, usec_t now,
                        const store_record_t *record);
static void zones_changed (scheduler_t *s);

usec_t
operator_tick (scheduler_t *s, usec_t now)
{
  operator_log_t *log = &s->operator_log;

  if (log->busy || now < log->due)
    return log->due;
  log->busy = true;
  log->due = INT64_MAX;
  log->sent = now;
  if (log->loaded)
    request_next (s);
  else
    request_latest (s);
  return INT64_MAX;
}

/* Reads the next page of the records in force.  */
static void
request_latest (scheduler_t *s)
{
  operator_log_t *log = &s->operator_log;

  if (!log->more_pages)
    {
      log->last_key[0] = '\0';
      log->list_sent = log->sent;
      zones_begin_list (s->zones);
    }
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_CONFIG, 0,
                                log->last_key, PAGE_TIMEOUT, on_latest, s);
}

static void
request_next (scheduler_t *s)
{
  /* After a failed read the state may be old: the next one does not wait for
     a record.  */
  usec_t wait = s->operator_log.failed
                    ? 0
                    : MIN (OPERATOR_READ_WAIT, s->settings->evacuate / 3);
  const store_read_t read = { .topic = TOPIC_CONFIG,
                              .from = s->operator_log.next_offset,
                              .wait = wait,
                              .timeout = wait + READ_TIMEOUT };

  s->backend->ops->read (s->backend->ctx, &read, on_next, s);
}

/* @return whether the read has succeeded; else it is repeated */
static bool
finish_read (scheduler_t *s, usec_t now, const store_records_t *records)
{
  operator_log_t *log = &s->operator_log;

  sched_wake (s);
  counter_add (COUNTER_STORE_CALLS, 1);
  log->busy = false;
  log->due = now;
  log->failed = records->result != STORE_OK;
  if (!log->failed)
    return true;
  log->due = now + READ_RETRY;
  log->more_pages = false;
  log->loaded &= records->result != STORE_EXPIRED;
  return false;
}

static void
on_latest (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  operator_log_t *log = &s->operator_log;
  usec_t now = clock_now ();

  if (!finish_read (s, now, records))
    return;
  /* The pages are not a snapshot: records appended meanwhile are read from
     the offset that the first page returned.  */
  if (!log->more_pages)
    log->next_offset = records->next_offset;
  for (size_t i = 0; i < records->count; i++)
    apply_record (s, now, &records->records[i]);
  log->more_pages = records->has_more && records->count;
  if (log->more_pages)
    {
      blob_copy (records->records[records->count - 1].key, log->last_key,
                 sizeof log->last_key);
      return;
    }
  log->loaded = true;
  if (zones_end_list (s->zones, now, log->next_offset))
    zones_changed (s);
  zones_confirm (s->zones, log->list_sent);
}

static void
on_next (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  operator_log_t *log = &s->operator_log;
  usec_t now = clock_now ();

  if (!finish_read (s, now, records))
    return;
  log->next_offset = records->next_offset;
  for (size_t i = 0; i < records->count; i++)
    apply_record (s, now, &records->records[i]);
  if (!records->has_more)
    zones_confirm (s->zones, log->sent);
}

static void
apply_record (scheduler_t *s, usec_t now, const store_record_t *record)
{
  if (apply_zone (s, now, record))
    return;
  apply_config (s, record);
}

static void
apply_config (scheduler_t *s, const store_record_t *record)
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
  /* A configuration comes into force only if its version is higher.  */
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
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_queues_changed (s->shards[i].shard);
}

/* @return whether the record concerns a zone */
static bool
apply_zone (scheduler_t *s, usec_t now, const store_record_t *record)
{
  zone_record_t zone = { 0 };
  int code = s->backend->ops->decode_zone (s->backend->ctx, record, &zone);

  if (code == -ENOENT)
    return false;
  if (code)
    log_line (LOG_LEVEL_WARNING, "zone.ignored", NULL,
              "offset=%" PRIu64 " names no zone, key of %u bytes",
              record->offset, record->key.len);
  else if (zones_apply (s->zones, now, &zone, record->offset))
    zones_changed (s);
  return true;
}

static void
zones_changed (scheduler_t *s)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    shard_zones_changed (s->shards[i].shard);
}

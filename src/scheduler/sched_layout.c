/** @file
 * The layout of a site: how many shards its jobs and workers are divided
 * into.
 *
 * It is decided once, when the site starts for the first time, from the
 * number of workers and the processor time of the entry VM that decides, and
 * kept in the store: an identifier belongs to one shard
 * for good.  Of several processes that decide at once, the first append
 * counts.
 */
#include "scheduler/sched_private.h"

#include <stdio.h>

/* What an owner needs of a core.  Owners of 350 and 490 workers used at most
   0.13 and 0.34 cores on days with bursts. */
#define CORES_OF_OWNER 0.02
#define CORES_PER_WORKER 0.0008
/* A process that would divide the site further than a larger VM would lets
   larger ones decide first. */
#define DEFER_PER_SHARD (300 * USEC_PER_MSEC)
#define DEFER_MOST (3 * USEC_PER_SEC)
#define LOOK_INTERVAL (200 * USEC_PER_MSEC)
/* Workers of a site that starts register within seconds; the count must have
   stood still for so long. */
#define SETTLED_AFTER (700 * USEC_PER_MSEC)
#define LOOK_TIMEOUT (1000 * USEC_PER_MSEC)
#define KEY "layout"

static void on_layout (void *ctx, const store_records_t *records);
static void count_workers (scheduler_t *s);
static void on_counted (void *ctx, const store_records_t *records);
static void decide (scheduler_t *s, uint32_t shards);
static void on_decided (void *ctx, store_result_t result, const char *error);

uint32_t
layout_capacity (double cores)
{
  return cores <= CORES_OF_OWNER
             ? 0
             : (uint32_t)((cores - CORES_OF_OWNER) / CORES_PER_WORKER);
}

uint32_t
layout_shards (uint32_t workers, uint32_t parts, double cores)
{
  uint32_t capacity = layout_capacity (cores);
  uint32_t shards;

  if (!capacity)
    return parts;
  shards = (workers + capacity - 1) / capacity;
  return CLAMP (shards, 1, parts);
}

usec_t
layout_deferral (uint32_t shards)
{
  return MIN ((shards - 1) * DEFER_PER_SHARD, DEFER_MOST);
}

void
layout_format (uint32_t shards, uint32_t workers, char text[LAYOUT_TEXT_MAX])
{
  g_snprintf (text, LAYOUT_TEXT_MAX, "%u %u", shards, workers);
}

bool
layout_parse (const char *text, uint32_t parts, uint32_t *shards,
              uint32_t *workers)
{
  return sscanf (text, "%u %u", shards, workers) == 2 && *shards
         && *shards <= parts;
}

bool
layout_may_own (double cores, uint32_t workers, uint32_t shards)
{
  return layout_capacity (cores) >= workers / MAX (shards, 1);
}

usec_t
layout_tick (scheduler_t *s, usec_t now)
{
  if (s->shard_count || s->layout_busy)
    return INT64_MAX;
  if (now < s->layout_due)
    return s->layout_due;
  s->layout_busy = true;
  s->layout_due = now + LOOK_INTERVAL;
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_LAYOUT, 0, "",
                                LOOK_TIMEOUT, on_layout, s);
  return s->layout_due;
}

static void
on_layout (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  uint32_t shards;
  uint32_t workers;

  s->layout_busy = false;
  sched_wake (s);
  sched_store_result (s, clock_now (), records->result, "layout",
                      records->error);
  if (records->result != STORE_OK || s->shard_count)
    return;
  for (size_t i = 0; i < records->count; i++)
    {
      char *text = blob_dup (records->records[i].value);

      if (blob_equals (records->records[i].key, KEY)
          && layout_parse (text, s->settings->partitions, &shards, &workers))
        {
          s->may_own
              = layout_may_own (s->settings->cpu_share, workers, shards);
          sched_set_shards (s, shards);
        }
      g_free (text);
    }
  if (!s->shard_count && s->queues)
    count_workers (s);
}

static void
count_workers (scheduler_t *s)
{
  s->layout_busy = true;
  s->counting = 0;
  s->count_after[0] = '\0';
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0, "",
                                LOOK_TIMEOUT, on_counted, s);
}

static void
on_counted (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  uint32_t shards;

  s->layout_busy = false;
  sched_wake (s);
  if (records->result != STORE_OK)
    return;
  s->counting += (uint32_t)records->count;
  if (records->has_more && records->count)
    {
      blob_copy (records->records[records->count - 1].key, s->count_after,
                 sizeof s->count_after);
      s->layout_busy = true;
      s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0,
                                    s->count_after, LOOK_TIMEOUT, on_counted,
                                    s);
      return;
    }
  if (s->counting != s->counted)
    s->counted_since = now;
  s->counted = s->counting;
  shards = layout_shards (s->counted, s->settings->partitions,
                          s->settings->cpu_share);
  if (s->counted
      && now - s->counted_since >= SETTLED_AFTER + layout_deferral (shards))
    decide (s, shards);
}

static void
decide (scheduler_t *s, uint32_t shards)
{
  char value[LAYOUT_TEXT_MAX];
  store_record_t record = { .key = blob_of (KEY), .value = { value, 0 } };
  store_append_t append = { .topic = TOPIC_LAYOUT,
                            .expect_empty = true,
                            .records = &record,
                            .count = 1,
                            .timeout = LOOK_TIMEOUT };

  layout_format (shards, s->counted, value);
  record.value.len = (uint32_t)strlen (value);
  log_line (LOG_LEVEL_NOTICE, "layout.decide", NULL,
            "shards=%u workers=%u cores=%.3f", shards, s->counted,
            s->settings->cpu_share);
  s->layout_busy = true;
  s->backend->ops->append (s->backend->ctx, &append, on_decided, s);
}

/* Whoever was first, the layout is read next.  */
static void
on_decided (void *ctx, store_result_t result, const char *error)
{
  scheduler_t *s = ctx;

  (void)result;
  (void)error;
  s->layout_busy = false;
  s->layout_due = 0;
  sched_wake (s);
}

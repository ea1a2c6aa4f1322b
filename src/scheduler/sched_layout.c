/** @file
 * The layout of a site: the number of shards its jobs and workers are divided
 * into.
 *
 * The layout is decided once, when the site first starts, from the number of
 * workers and the cpu_share of the process that decides, and kept in the
 * store, since a job identifier belongs to the same shard for good.  If
 * several processes propose a layout, the first append to the empty topic
 * takes effect and the store refuses the others.
 */
#include "scheduler/sched_private.h"

#include <stdio.h>

/* Cores that an owner needs.  Owners of 350 and 490 workers used at most 0.13
   and 0.34 cores on days with bursts. */
#define OWNER_BASE_CORES 0.02
#define OWNER_CORES_PER_WORKER 0.0008
/* A process waits longer the more shards it would propose, so that processes
   on larger VMs, which propose fewer, come first. */
#define DEFERRAL_PER_SHARD (300 * USEC_PER_MSEC)
#define DEFERRAL_MAX (3 * USEC_PER_SEC)
#define LAYOUT_INTERVAL (200 * USEC_PER_MSEC)
/* Workers of a site that starts register within seconds.  The layout is
   decided once their number has been stable for this long, or this long after
   the first one if it keeps changing. */
#define WORKER_COUNT_STABLE_TIME (700 * USEC_PER_MSEC)
#define WORKER_COUNT_TIME_MAX (5 * USEC_PER_SEC)
#define LAYOUT_TIMEOUT (1000 * USEC_PER_MSEC)
#define LAYOUT_KEY "layout"
#define MILLICORES_PER_CORE 1000

static void on_layout (void *ctx, const store_records_t *records);
static void count_workers (scheduler_t *s);
static void on_workers_counted (void *ctx, const store_records_t *records);
static void propose_layout (scheduler_t *s, uint32_t shards);
static void on_proposed (void *ctx, store_result_t result, const char *error);

uint32_t
layout_capacity (double cores)
{
  return cores <= OWNER_BASE_CORES
             ? 0
             : (uint32_t)((cores - OWNER_BASE_CORES) / OWNER_CORES_PER_WORKER);
}

uint32_t
layout_shards (uint32_t workers, uint32_t partitions, double cores)
{
  uint32_t capacity = layout_capacity (cores);
  uint32_t shards;

  if (!capacity)
    return partitions;
  shards = (workers + capacity - 1) / capacity;
  return CLAMP (shards, 1, partitions);
}

usec_t
layout_deferral (uint32_t shards)
{
  return MIN ((shards - 1) * DEFERRAL_PER_SHARD, DEFERRAL_MAX);
}

void
layout_format (const layout_t *layout, char text[LAYOUT_TEXT_MAX])
{
  g_snprintf (text, LAYOUT_TEXT_MAX, "%u %u %u", layout->shards,
              layout->workers, layout->millicores);
}

bool
layout_parse (const char *text, uint32_t partitions, layout_t *layout)
{
  layout->millicores = 0;
  return sscanf (text, "%u %u %u", &layout->shards, &layout->workers,
                 &layout->millicores)
             >= 2
         && layout->shards && layout->shards <= partitions;
}

/* The process that decided is of the largest, since larger ones decide first.
   The number of partitions may have kept it from shards of its size. */
bool
layout_may_own (double cores, const layout_t *layout)
{
  return layout_capacity (cores) >= layout->workers / MAX (layout->shards, 1)
         || (layout->millicores
             && cores * MILLICORES_PER_CORE >= layout->millicores);
}

usec_t
layout_tick (scheduler_t *s, usec_t now)
{
  if (s->shard_count || s->layout_busy)
    return INT64_MAX;
  if (now < s->layout_due)
    return s->layout_due;
  s->layout_busy = true;
  s->layout_due = now + LAYOUT_INTERVAL;
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_LAYOUT, 0, "",
                                LAYOUT_TIMEOUT, on_layout, s);
  return s->layout_due;
}

static void
on_layout (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  layout_t layout;

  s->layout_busy = false;
  sched_wake (s);
  sched_store_result (s, clock_now (), records->result, "layout",
                      records->error);
  if (records->result != STORE_OK || s->shard_count)
    return;
  for (size_t i = 0; i < records->count; i++)
    {
      char *text = blob_dup (records->records[i].value);

      if (blob_equals (records->records[i].key, LAYOUT_KEY)
          && layout_parse (text, s->settings->partitions, &layout))
        {
          s->may_own = layout_may_own (s->settings->cpu_share, &layout);
          sched_set_shards (s, layout.shards);
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
  s->partial_worker_count = 0;
  s->worker_count_last_key[0] = '\0';
  s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0, "",
                                LAYOUT_TIMEOUT, on_workers_counted, s);
}

static void
on_workers_counted (void *ctx, const store_records_t *records)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  usec_t ready_at;
  uint32_t shards;

  s->layout_busy = false;
  sched_wake (s);
  if (records->result != STORE_OK)
    return;
  s->partial_worker_count += (uint32_t)records->count;
  if (records->has_more && records->count)
    {
      blob_copy (records->records[records->count - 1].key,
                 s->worker_count_last_key, sizeof s->worker_count_last_key);
      s->layout_busy = true;
      s->backend->ops->read_latest (s->backend->ctx, TOPIC_WORKERS, 0,
                                    s->worker_count_last_key, LAYOUT_TIMEOUT,
                                    on_workers_counted, s);
      return;
    }
  if (s->partial_worker_count != s->worker_count)
    s->worker_count_since = now;
  s->worker_count = s->partial_worker_count;
  if (s->worker_count && !s->first_workers_at)
    s->first_workers_at = now;
  shards = layout_shards (s->worker_count, s->settings->partitions,
                          s->settings->cpu_share);
  ready_at = MIN (s->worker_count_since + WORKER_COUNT_STABLE_TIME,
                  s->first_workers_at + WORKER_COUNT_TIME_MAX);
  if (s->worker_count && now >= ready_at + layout_deferral (shards))
    propose_layout (s, shards);
}

static void
propose_layout (scheduler_t *s, uint32_t shards)
{
  char value[LAYOUT_TEXT_MAX];
  store_record_t record
      = { .key = blob_of (LAYOUT_KEY), .value = { value, 0 } };
  store_append_t append = { .topic = TOPIC_LAYOUT,
                            .expect_empty = true,
                            .records = &record,
                            .count = 1,
                            .timeout = LAYOUT_TIMEOUT };

  layout_format (
      &(layout_t){ shards, s->worker_count,
                   (uint32_t)(s->settings->cpu_share * MILLICORES_PER_CORE) },
      value);
  record.value.len = (uint32_t)strlen (value);
  log_line (LOG_LEVEL_NOTICE, "layout.decide", NULL,
            "shards=%u workers=%u cores=%.3f", shards, s->worker_count,
            s->settings->cpu_share);
  s->layout_busy = true;
  s->backend->ops->append (s->backend->ctx, &append, on_proposed, s);
}

/* Reads the layout next, whether this proposal took effect or another one.  */
static void
on_proposed (void *ctx, store_result_t result, const char *error)
{
  scheduler_t *s = ctx;

  (void)result;
  (void)error;
  s->layout_busy = false;
  s->layout_due = 0;
  sched_wake (s);
}

/* The product's owner of a shard on the same jobs: one shard, its store and
   its workers with their lag, no faults. */
#include "jobs_world.h"

#include "shard/shard.h"

#include <string.h>

/* Half of a call's round trip between zones, and an append at the store with
   its way there and back, as on the users' sites. */
#define CALL_LAG (4 * USEC_PER_MSEC)
#define APPEND_LAG (14 * USEC_PER_MSEC)
#define ENDS_MOST 64U
/* Jobs that wait for room longer than this are not waited for. */
#define DRAIN_SPAN (120 * USEC_PER_SEC)

typedef struct
{
  run_id_t name;
  usec_t ends;
} sim_run_t;

typedef struct
{
  char id[16];
  GArray *runs; /* sim_run_t */
  GArray *ends; /* end_report_t */
  uint64_t last_end;
  uint64_t hold; /* waiting call, 0 for none */
  usec_t hold_until;
} sim_worker_t;

typedef enum
{
  EVENT_START, /* a start arrives at its worker */
  EVENT_STARTED,
  EVENT_HOLD,
  EVENT_HELD,
  EVENT_STORED
} event_kind_t;

typedef struct
{
  usec_t at;
  event_kind_t kind;
  uint64_t call;
  uint32_t worker;
  run_id_t name;
  uint64_t seen;
  usec_t wait;
} event_t;

typedef struct
{
  jobs_world_t *world;
  shard_t *shard;
  sim_worker_t *workers;
  GArray *events; /* event_t */
  usec_t now;
  uint32_t open;
} product_t;

static void
add_event (product_t *p, const event_t *event)
{
  g_array_append_val (p->events, *event);
}

static void
on_call (void *ctx, const shard_call_t *call)
{
  product_t *p = ctx;
  event_t event
      = { .at = p->now + CALL_LAG,
          .kind = call->kind == SHARD_START ? EVENT_START : EVENT_HOLD,
          .call = call->id,
          .worker = (uint32_t)atoi (call->worker),
          .name = call->run_id,
          .seen = call->acknowledged_end,
          .wait = call->wait };

  add_event (p, &event);
}

static void
on_append (void *ctx, uint64_t sequence, const shard_record_t *records,
           size_t count)
{
  product_t *p = ctx;
  event_t event = { .at = p->now + APPEND_LAG, .kind = EVENT_STORED };

  (void)sequence;
  (void)records;
  (void)count;
  add_event (p, &event);
}

static void
on_settled (void *ctx, job_id_t id)
{
  product_t *p = ctx;
  world_job_t *job = p->world->jobs->pdata[id - 1];
  job_status_t status;

  if (shard_status (p->shard, id, &status) || status != JOB_COMPLETED
      || job->ended)
    return;
  job->ended = p->now;
  p->open--;
}

static void
on_superseded (void *ctx)
{
  (void)ctx;
  g_assert_not_reached ();
}

static int64_t
wall_ms (void *ctx)
{
  const product_t *p = ctx;

  return p->now / USEC_PER_MSEC;
}

static bool
rejects_overload (void *ctx, const char *service)
{
  (void)ctx;
  (void)service;
  return true;
}

static const char *
service_of_queue (void *ctx, const char *queue, uint64_t *version)
{
  (void)ctx;
  (void)queue;
  (void)version;
  return NULL;
}

static const shard_ops_t ops
    = { on_call, on_append,        on_settled,      on_superseded,
        wall_ms, rejects_overload, service_of_queue };

static void
start_run (product_t *p, const event_t *event)
{
  const world_job_t *job = p->world->jobs->pdata[event->name.job - 1];
  sim_run_t run = { event->name,
                    p->now + job->work[event->name.step][event->name.index] };
  event_t answer = *event;

  g_array_append_val (p->workers[event->worker].runs, run);
  answer.at = p->now + CALL_LAG;
  answer.kind = EVENT_STARTED;
  add_event (p, &answer);
}

static void
take_hold (product_t *p, const event_t *event)
{
  sim_worker_t *worker = &p->workers[event->worker];

  while (worker->ends->len
         && g_array_index (worker->ends, end_report_t, 0).number
                <= event->seen)
    g_array_remove_index (worker->ends, 0);
  worker->hold = event->call;
  worker->hold_until = p->now + event->wait;
}

/* The answer of a hold is on its way.  */
static void
release_hold (product_t *p, uint32_t index)
{
  event_t answer = { .at = p->now + CALL_LAG,
                     .kind = EVENT_HELD,
                     .call = p->workers[index].hold,
                     .worker = index };

  p->workers[index].hold = 0;
  add_event (p, &answer);
}

static void
reply (product_t *p, const event_t *event)
{
  const sim_worker_t *worker = &p->workers[event->worker];
  run_report_t *runs = g_new0 (run_report_t, worker->runs->len + 1);
  shard_reply_t answer
      = { .kind = SHARD_REPLY_OK,
          .clock_ms = p->now / USEC_PER_MSEC,
          .started_ms = 1,
          .has_lists = event->kind == EVENT_HELD,
          .runs = runs,
          .run_count = worker->runs->len,
          .ends = (const end_report_t *)(void *)worker->ends->data,
          .end_count = worker->ends->len };

  for (guint i = 0; i < worker->runs->len; i++)
    runs[i] = (run_report_t){
      .run_id = g_array_index (worker->runs, sim_run_t, i).name,
      .checkpoint = "",
      /* Shows progress; the world has no task that stands still.  */
      .percent = (uint32_t)(p->now / USEC_PER_SEC % 100)
    };
  shard_reply (p->shard, p->now, event->call, &answer);
  g_free (runs);
}

static void
end_runs (product_t *p, uint32_t index)
{
  sim_worker_t *worker = &p->workers[index];

  for (guint i = worker->runs->len; i > 0; i--)
    {
      const sim_run_t *run = &g_array_index (worker->runs, sim_run_t, i - 1);
      end_report_t end = { worker->last_end + 1, run->name, RUN_DONE, "" };

      if (run->ends > p->now)
        continue;
      worker->last_end++;
      g_array_append_val (worker->ends, end);
      g_array_remove_index_fast (worker->runs, i - 1);
    }
  if (worker->hold && (worker->ends->len || p->now >= worker->hold_until))
    release_hold (p, index);
}

static void
handle (product_t *p, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_START:
      start_run (p, event);
      break;
    case EVENT_HOLD:
      take_hold (p, event);
      break;
    case EVENT_STORED:
      shard_append_done (p->shard, p->now, SHARD_STORED);
      break;
    case EVENT_STARTED:
    case EVENT_HELD:
      reply (p, event);
      break;
    }
}

/* Handles what is due. @return when something is due next */
static usec_t
play (product_t *p)
{
  usec_t next = INT64_MAX;

  for (uint32_t w = 0; w < p->world->config.workers; w++)
    end_runs (p, w);
  for (guint i = 0; i < p->events->len;)
    {
      event_t event = g_array_index (p->events, event_t, i);

      if (event.at > p->now)
        {
          next = MIN (next, event.at);
          i++;
          continue;
        }
      g_array_remove_index_fast (p->events, i);
      handle (p, &event);
    }
  for (uint32_t w = 0; w < p->world->config.workers; w++)
    {
      const sim_worker_t *worker = &p->workers[w];

      if (worker->hold)
        next = MIN (next, worker->hold_until);
      for (guint i = 0; i < worker->runs->len; i++)
        next = MIN (next, g_array_index (worker->runs, sim_run_t, i).ends);
    }
  return next;
}

static void
submit (product_t *p, const world_job_t *job)
{
  GByteArray *bytes = g_byte_array_new ();

  submission_encode (job->order, bytes);
  shard_submit (p->shard, p->now, job->order->id,
                (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  p->open++;
}

static void
open_workers (product_t *p)
{
  p->workers = g_new0 (sim_worker_t, p->world->config.workers);
  for (uint32_t w = 0; w < p->world->config.workers; w++)
    {
      sim_worker_t *worker = &p->workers[w];
      shard_worker_t info = { .id = worker->id,
                              .started_ms = 1,
                              .address = "10.0.0.1:1",
                              .service = "service",
                              .label = "a",
                              .rack = "r",
                              .zone = "z",
                              .millicores = p->world->config.millicores,
                              .memory_mb = 1 << 20 };

      g_snprintf (worker->id, sizeof worker->id, "%u", w);
      worker->runs = g_array_new (FALSE, FALSE, sizeof (sim_run_t));
      worker->ends = g_array_new (FALSE, FALSE, sizeof (end_report_t));
      shard_worker_listed (p->shard, p->now, &info);
    }
}

static void
close_workers (product_t *p)
{
  for (uint32_t w = 0; w < p->world->config.workers; w++)
    {
      g_array_free (p->workers[w].runs, TRUE);
      g_array_free (p->workers[w].ends, TRUE);
    }
  g_free (p->workers);
}

void
jobs_run_product (jobs_world_t *world)
{
  static const shard_config_t config = { .lease = 6 * USEC_PER_SEC,
                                         .stop_limit = 200 * USEC_PER_MSEC,
                                         .poll_busy = USEC_PER_SEC,
                                         .poll_shared = 400 * USEC_PER_MSEC,
                                         .poll_idle = 2 * USEC_PER_SEC,
                                         .call_timeout = USEC_PER_SEC,
                                         .stale_limit = 3 * USEC_PER_SEC,
                                         .lease_horizon = 6500 * USEC_PER_MSEC,
                                         .keep_ended = 600 * USEC_PER_SEC,
                                         .append_bytes = 1 << 20 };
  product_t p = { .world = world };
  guint arrived = 0;

  p.events = g_array_new (FALSE, FALSE, sizeof (event_t));
  p.shard = shard_new (&config, &ops, &p, 0);
  shard_acquire (p.shard, 0, 1);
  shard_loaded (p.shard, 0);
  open_workers (&p);
  while ((arrived < world->jobs->len || p.open)
         && p.now < world->config.span + DRAIN_SPAN)
    {
      usec_t next = play (&p);
      usec_t due;

      while (arrived < world->jobs->len
             && ((world_job_t *)world->jobs->pdata[arrived])->at <= p.now)
        submit (&p, world->jobs->pdata[arrived++]);
      shard_ownership_confirmed (p.shard, p.now);
      due = shard_tick (p.shard, p.now);
      next = MIN (next, due);
      if (arrived < world->jobs->len)
        next = MIN (next, ((world_job_t *)world->jobs->pdata[arrived])->at);
      for (guint i = 0; i < p.events->len; i++)
        next = MIN (next, g_array_index (p.events, event_t, i).at);
      p.now = MAX (next, p.now + USEC_PER_MSEC / 10);
    }
  close_workers (&p);
  shard_free (p.shard);
  g_array_free (p.events, TRUE);
}

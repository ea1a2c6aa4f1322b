/** @file
 * Admission, queueing and choice of the VM or peer.
 */
#include "routing/routing.h"

#include "base/counters.h"
#include "base/messages.h"
#include "routing/health.h"
#include "routing/lanes.h"
#include "routing/queue.h"
#include "routing/run_times.h"
#include "routing/speeds.h"

#include <string.h>

/* Groups of the limits module: VMs of the own availability zone come first. */
#define GROUP_NEAR 1U
#define GROUP_FAR 2U
#define GROUP_SLOW 3U
#define GROUP_SUSPECT 4U

#define RETRY_COST 100U          /* tokens; a request earns retry_percent */
#define RETRY_TOKENS_MAX 10000U  /* 100 retries in a burst */
#define RETRY_TOKENS_START 1000U /* 10 retries before any load */
#define RETRY_DOUBLINGS 6U       /* of the backoff, at most */
#define LONG_FACTOR 4     /* times the median of all work: a long class */
#define OVERRUN_FACTOR 8  /* times the median of its class: an overrun */
#define BUDGET_DECAY 1024 /* requests until a shorter deadline is believed */
#define SLOW_COST_PART 2  /* a slow VM costs half of a run time more */
#define RETRY_AFTER_MIN (100 * USEC_PER_MSEC)
#define RETRY_AFTER_MAX (30 * USEC_PER_SEC)
#define RETURN_PART 8 /* refused callers come back at 1/8 of full load */
#define RUN_TIME_GUESS (10 * USEC_PER_MSEC) /* until one is known */
#define REPORT_GAP (25 * USEC_PER_MSEC)
#define REPORT_STEP 16U /* part of the slots that is worth a report */
#define RECHECK_INTERVAL (50 * USEC_PER_MSEC)

typedef enum
{
  REQUEST_WAITING,
  REQUEST_BACKOFF,
  REQUEST_RUNNING,
  REQUEST_FORWARDED
} request_state_t;

/** What was learned of a class of work. */
typedef struct
{
  char *name;
  usec_t budget; /* most time that a request had at its arrival */
  run_times_t times;
} class_t;

typedef struct
{
  usec_t due;
  handle_t request;
} due_t;

typedef struct
{
  class_t *class;
  queue_item_t item;    /* as pushed into the queue */
  queue_item_t *queued; /* NULL unless it waits */
  GSequenceIter *timer; /* of a due_t */
  usec_t run_limit;
  uint64_t tag;
  handle_t vm;
  usec_t arrived_at;
  usec_t started_at;
  lane_t lane;     /* of the running attempt */
  node_id_t peer;  /* that it was forwarded to */
  uint64_t report; /* of the peer, the last one then */
  uint32_t attempts;
  uint32_t rerouted; /* forwards that came back */
  request_state_t state;
  bool idempotent;
  bool may_have_run;
  bool abandoned;
} request_t;

typedef struct
{
  node_id_t node;
  uint32_t zone;
  uint64_t free_slots; /* reported */
  uint64_t reports;
  uint64_t sent; /* forwarded there since the report and not ended */
  uint64_t queued;
  uint64_t capacity; /* most free slots ever reported: its slots at least */
  usec_t delay;
  bool usable;
} peer_t;

/** A start of short work, until it has ended or overrun its class. */
typedef struct
{
  handle_t request;
  usec_t at;
  usec_t overrun_at;
} started_t;

struct routing
{
  routing_config_t config;
  limits_t *limits;
  GRand *random;
  routing_ops_t ops;
  void *ctx;
  table_t *requests;
  GHashTable *classes; /* name -> class_t */
  queue_t *queue;
  health_t *health;
  speeds_t *speeds;
  GSequence *timers; /* due_t */
  GArray *peers;     /* peer_t */
  uint64_t sequence;
  uint64_t tokens;
  run_times_t times; /* of all classes */
  run_times_t lane_times[LANE_COUNT];
  lanes_t lanes;
  GQueue *started; /* started_t of short work, in order of time */
  usec_t reported_at;
  uint64_t reported_free;
  uint64_t reported_backlog;
  usec_t recheck_at;
  usec_t return_at; /* of the last caller told to come back */
  bool pumping;
};

static request_t *request_of (const routing_t *routing, handle_t request);
static request_t *request_new (routing_t *routing, usec_t now,
                               const request_info_t *info);
static bool differ_less (uint64_t a, uint64_t b, uint64_t step);
static const due_t *first_due (const routing_t *routing);
static usec_t earlier (usec_t a, usec_t b);
static void request_remove (routing_t *routing, handle_t request);
static class_t *class_of (routing_t *routing, const char *name);
static void class_free (gpointer data);
static usec_t expected_run (const class_t *class);
static usec_t latest_start (const request_t *r);
static uint64_t own_slots (const routing_t *routing);
static lane_t lane_of (const routing_t *routing, const class_t *class);
static bool may_start (const routing_t *routing, usec_t now,
                       const request_t *r);
static void note_start (routing_t *routing, usec_t now, request_t *r);
static void move_overruns (routing_t *routing, usec_t now);
static usec_t expected_wait (const routing_t *routing, const request_t *r);
static usec_t retry_after (routing_t *routing, usec_t now);
static void give_up (routing_t *routing, usec_t now, handle_t request);
static void enqueue (routing_t *routing, handle_t request);
static void dequeue (routing_t *routing, request_t *r);
static void set_timer (routing_t *routing, handle_t request, usec_t due);
static bool place_on_vm (routing_t *routing, usec_t now, handle_t request,
                         uint32_t last);
static bool place_on_peer (routing_t *routing, usec_t now, handle_t request,
                           peer_t *(*pick) (const routing_t *,
                                            const request_t *, usec_t));
static handle_t pick_vm (routing_t *routing, usec_t now, uint32_t last);
static peer_t *pick_peer (const routing_t *routing, const request_t *r,
                          usec_t wait);
static peer_t *pick_shorter_queue (const routing_t *routing,
                                   const request_t *r, usec_t wait);
static usec_t peer_wait (const routing_t *routing, const peer_t *peer);
static peer_t *find_peer (const routing_t *routing, node_id_t node);
static int64_t peer_free (const peer_t *peer);
static peer_t *draw_peer (const routing_t *routing, bool near,
                          const peer_t *except);
static const queue_item_t *next_to_start (const routing_t *routing,
                                          usec_t now);
static bool place_late (routing_t *routing, usec_t now, handle_t request);
static void run_timers (routing_t *routing, usec_t now);
static void start_waiting (routing_t *routing, usec_t now, uint32_t last);
static void pump (routing_t *routing, usec_t now);
static void retry (routing_t *routing, usec_t now, handle_t request,
                   usec_t wait);
static void learn (routing_t *routing, usec_t now, const request_t *r,
                   usec_t run_time);
static void reassign (void *ctx, handle_t vm);
static void leave_vm (routing_t *routing, usec_t now, request_t *r,
                      attempt_end_t end);
static void return_hopped (routing_t *routing, usec_t now);
static void refresh_groups (routing_t *routing);
static bool assign (routing_t *routing, handle_t vm);
static void drop_shard (routing_t *routing, usec_t now, uint32_t shard);
static gint by_due (gconstpointer a, gconstpointer b, gpointer data);

routing_t *
routing_new (const routing_config_t *config, limits_t *limits, GRand *random,
             const routing_ops_t *ops, void *ctx)
{
  routing_t *routing = g_new0 (routing_t, 1);

  routing->config = *config;
  routing->limits = limits;
  routing->random = random;
  routing->ops = *ops;
  routing->ctx = ctx;
  routing->requests = table_new (sizeof (request_t));
  routing->classes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, class_free);
  routing->queue = queue_new ();
  routing->health = health_new ();
  routing->started = g_queue_new ();
  routing->speeds = speeds_new ();
  routing->timers = g_sequence_new (g_free);
  routing->peers = g_array_new (FALSE, TRUE, sizeof (peer_t));
  routing->tokens = RETRY_TOKENS_START;
  routing->recheck_at = USEC_NEVER;
  refresh_groups (routing);
  return routing;
}

void
routing_free (routing_t *routing)
{
  if (!routing)
    return;
  table_free (routing->requests);
  g_hash_table_destroy (routing->classes);
  queue_free (routing->queue);
  health_free (routing->health);
  speeds_free (routing->speeds);
  g_queue_free_full (routing->started, g_free);
  g_sequence_free (routing->timers);
  g_array_free (routing->peers, TRUE);
  g_free (routing);
}

handle_t
routing_submit (routing_t *routing, usec_t now, const request_info_t *info)
{
  request_t *r = request_new (routing, now, info);
  handle_t request;

  if (!r)
    return HANDLE_NONE;
  request = r->item.request;
  /* A forwarded request has earned its part where it came in. */
  if (!info->hops)
    routing->tokens = MIN (routing->tokens + routing->config.retry_percent,
                           RETRY_TOKENS_MAX);
  if (now + expected_run (r->class) > r->item.deadline
      || (info->hops && !own_slots (routing)))
    {
      give_up (routing, now, request);
      return HANDLE_NONE;
    }
  if (!routing_queued (routing)
      && ((may_start (routing, now, r)
           && place_on_vm (routing, now, request, GROUP_FAR))
          || place_on_peer (routing, now, request, pick_peer)
          || (may_start (routing, now, r)
              && place_on_vm (routing, now, request, GROUP_SLOW))))
    return request_of (routing, request) ? request : HANDLE_NONE;
  enqueue (routing, request);
  pump (routing, now);
  r = request_of (routing, request);
  if (!r || r->state != REQUEST_WAITING)
    return r ? request : HANDLE_NONE;
  if (own_slots (routing)
      && now + expected_wait (routing, r) > latest_start (r))
    {
      give_up (routing, now, request);
      return HANDLE_NONE;
    }
  if (routing_queued (routing) > routing->config.max_queue)
    give_up (routing, now,
             queue_worst (routing->queue, LANE_ANY, false)->request);
  return request_of (routing, request) ? request : HANDLE_NONE;
}

uint64_t
routing_tag (const routing_t *routing, handle_t request)
{
  const request_t *r = request_of (routing, request);

  return r ? r->tag : 0;
}

void
routing_abandon (routing_t *routing, usec_t now, handle_t request)
{
  request_t *r = request_of (routing, request);

  (void)now;
  if (!r)
    return;
  r->abandoned = true;
  if (r->state == REQUEST_WAITING || r->state == REQUEST_BACKOFF)
    request_remove (routing, request);
}

void
routing_attempt_ended (routing_t *routing, usec_t now, handle_t request,
                       attempt_end_t end, usec_t run_time)
{
  request_t *r = request_of (routing, request);

  if (!r || r->state != REQUEST_RUNNING)
    return;
  if (end == ATTEMPT_RAN)
    learn (routing, now, r, run_time);
  leave_vm (routing, now, r, end);
  lanes_count (&routing->lanes, now, r->lane, -1);
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    request_remove (routing, request);
  else if (end == ATTEMPT_NOT_STARTED)
    {
      uint32_t doublings = MIN (r->attempts - 1, RETRY_DOUBLINGS);
      usec_t backoff = routing->config.retry_min << doublings;

      retry (routing, now, request,
             (usec_t)((double)backoff
                      * g_rand_double_range (routing->random, 0.5, 1.5)));
    }
  else
    {
      r->may_have_run = true;
      if (r->idempotent)
        retry (routing, now, request, r->run_limit);
      else
        give_up (routing, now, request);
    }
  pump (routing, now);
}

void
routing_forward_ended (routing_t *routing, usec_t now, handle_t request,
                       attempt_end_t end)
{
  request_t *r = request_of (routing, request);
  peer_t *peer;

  if (!r || r->state != REQUEST_FORWARDED)
    return;
  peer = find_peer (routing, r->peer);
  if (peer && peer->reports == r->report)
    peer->sent--;
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    {
      request_remove (routing, request);
      pump (routing, now);
      return;
    }
  /* After a cut the peer may still start the work at any time until the
     deadline, so that a second attempt could overlap it. */
  if (end == ATTEMPT_NO_ANSWER)
    {
      r->may_have_run = true;
      give_up (routing, now, request);
      return;
    }
  if (r->rerouted++)
    give_up (routing, now, request);
  else
    retry (routing, now, request, 0);
  pump (routing, now);
}

void
routing_update_peer (routing_t *routing, usec_t now, node_id_t peer,
                     uint32_t zone, uint64_t free_slots, uint64_t queued,
                     usec_t link_delay, bool usable)
{
  peer_t *row = find_peer (routing, peer);

  if (!row)
    {
      peer_t fresh = { .node = peer };

      g_array_append_val (routing->peers, fresh);
      refresh_groups (routing);
      row = find_peer (routing, peer);
    }
  row->zone = zone;
  row->free_slots = free_slots;
  row->queued = queued;
  row->capacity = MAX (row->capacity, free_slots);
  row->delay = link_delay;
  row->usable = usable;
  row->reports++;
  row->sent = 0;
  pump (routing, now);
}

void
routing_refresh (routing_t *routing, usec_t now)
{
  refresh_groups (routing);
  return_hopped (routing, now);
  pump (routing, now);
}

uint64_t
routing_free_slots (const routing_t *routing)
{
  return limits_free_slots (routing->limits, GROUP_NEAR)
         + limits_free_slots (routing->limits, GROUP_FAR);
}

uint64_t
routing_queued (const routing_t *routing)
{
  return queue_length (routing->queue);
}

uint64_t
routing_backlog (const routing_t *routing)
{
  return queue_within (routing->queue);
}

bool
routing_report_due (routing_t *routing, usec_t now)
{
  uint64_t free_slots = routing_free_slots (routing);
  uint64_t backlog = routing_backlog (routing);
  uint64_t step = MAX (own_slots (routing) / REPORT_STEP, 2);

  if (now - routing->reported_at < REPORT_GAP
      || (differ_less (free_slots, routing->reported_free, step)
          && differ_less (backlog, routing->reported_backlog, 2 * step)
          && !free_slots == !routing->reported_free))
    return false;
  routing->reported_at = now;
  routing->reported_free = free_slots;
  routing->reported_backlog = backlog;
  return true;
}

usec_t
routing_tick (routing_t *routing, usec_t now)
{
  usec_t next = limits_tick (routing->limits, now);
  const due_t *first;
  handle_t vm;

  while ((vm = health_due (routing->health, now)) != HANDLE_NONE)
    if (limits_vm (routing->limits, vm))
      assign (routing, vm);
    else
      health_forget (routing->health, vm);
  if (routing->recheck_at != USEC_NEVER && routing->recheck_at <= now)
    {
      routing->recheck_at = USEC_NEVER;
      refresh_groups (routing);
      return_hopped (routing, now);
    }
  pump (routing, now);
  first = first_due (routing);
  if (first)
    next = earlier (next, first->due);
  next = earlier (next, speeds_tick (routing->speeds, now, reassign, routing));
  next = earlier (next, health_next (routing->health));
  return earlier (next, routing->recheck_at);
}

json_t *
routing_dump (const routing_t *routing, usec_t now)
{
  json_t *peers = json_array ();
  json_t *classes = json_array ();
  GHashTableIter iter;
  gpointer value;

  (void)now;
  for (guint i = 0; i < routing->peers->len; i++)
    {
      const peer_t *p = &g_array_index (routing->peers, peer_t, i);

      json_array_append_new (
          peers,
          json_pack ("{s:I,s:I,s:I,s:I,s:b}", "node", (json_int_t)p->node,
                     "free_slots", (json_int_t)p->free_slots, "queued",
                     (json_int_t)p->queued, "link_delay_us",
                     (json_int_t)p->delay, "usable", (int)p->usable));
    }
  g_hash_table_iter_init (&iter, routing->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const class_t *class = value;

      json_array_append_new (
          classes, json_pack ("{s:s,s:I,s:I,s:I,s:I}", "name", class->name,
                              "samples", (json_int_t) class->times.samples,
                              "mean_us", (json_int_t) class->times.mean,
                              "median_us", (json_int_t) class->times.median,
                              "high_us", (json_int_t) class->times.high));
    }
  return json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "requests",
                    (json_int_t)table_count (routing->requests), "queued",
                    (json_int_t)routing_queued (routing), "free_slots",
                    (json_int_t)routing_free_slots (routing), "retry_tokens",
                    (json_int_t)routing->tokens, "aside",
                    (json_int_t)health_aside (routing->health), "peers", peers,
                    "classes", classes);
}

static request_t *
request_of (const routing_t *routing, handle_t request)
{
  return table_get (routing->requests, request);
}

static request_t *
request_new (routing_t *routing, usec_t now, const request_info_t *info)
{
  handle_t request = table_add (routing->requests);
  request_t *r = request_of (routing, request);

  if (!r)
    return NULL;
  r->item.request = request;
  r->class = class_of (routing, info->class_name);
  r->arrived_at = now;
  r->class->budget -= r->class->budget / BUDGET_DECAY;
  r->class->budget = MAX (r->class->budget, info->deadline - now);
  r->item.lane = lane_of (routing, r->class);
  r->item.priority = info->priority;
  r->item.hopped = info->hops > 0;
  r->item.deadline = info->deadline;
  r->item.sequence = routing->sequence++;
  r->item.share = queue_share (routing->queue, info->member, info->weight);
  r->run_limit = info->run_limit;
  r->idempotent = info->idempotent;
  r->tag = info->tag;
  r->state = REQUEST_WAITING;
  return r;
}

static bool
differ_less (uint64_t a, uint64_t b, uint64_t step)
{
  return a < b + step && b < a + step;
}

/** @return the first timer, NULL if there is none */
static const due_t *
first_due (const routing_t *routing)
{
  if (g_sequence_is_empty (routing->timers))
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (routing->timers));
}

/** @return the earlier of two times of which each may be USEC_NEVER */
static usec_t
earlier (usec_t a, usec_t b)
{
  if (a == USEC_NEVER || b == USEC_NEVER)
    return a == USEC_NEVER ? b : a;
  return MIN (a, b);
}

static void
request_remove (routing_t *routing, handle_t request)
{
  request_t *r = request_of (routing, request);

  dequeue (routing, r);
  table_remove (routing->requests, request);
}

static class_t *
class_of (routing_t *routing, const char *name)
{
  class_t *class = g_hash_table_lookup (routing->classes, name);

  if (class)
    return class;
  class = g_new0 (class_t, 1);
  class->name = g_strdup (name);
  g_hash_table_insert (routing->classes, class->name, class);
  return class;
}

static void
class_free (gpointer data)
{
  class_t *class = data;

  g_free (class->name);
  g_free (class);
}

/** @return 0 until enough run times of the class have been seen */
static usec_t
expected_run (const class_t *class)
{
  return run_times_known (&class->times) ? class->times.median : 0;
}

/** The latest start after which the work would probably miss its deadline.
    What waits is nearly always started just before this when the queue is
    long, so that a start with the median run time left would waste half of
    the starts.  Work whose long runs exceed its deadline may wait for half of
    the time that its class has; the time left would not do, since a request
    that was handed on has little of it.  Until run times are known the run
    limit stands for them. */
static usec_t
latest_start (const request_t *r)
{
  const run_times_t *times = &r->class->times;

  if (!run_times_known (times))
    return r->item.deadline
           - MIN (r->run_limit, (r->item.deadline - r->arrived_at) / 2);
  return r->item.deadline
         - MIN (times->high, MAX (r->class->budget / 2, times->median));
}

/** @return slots of the VMs in use by this process, taken ones included */
static uint64_t
own_slots (const routing_t *routing)
{
  return limits_capacity (routing->limits, GROUP_NEAR)
         + limits_capacity (routing->limits, GROUP_FAR)
         + limits_capacity (routing->limits, GROUP_SLOW);
}

/** Work is long if it usually runs several times as long as all work. */
static lane_t
lane_of (const routing_t *routing, const class_t *class)
{
  return run_times_known (&class->times)
                 && class->times.median > LONG_FACTOR * routing->times.median
             ? LANE_LONG
             : LANE_SHORT;
}

/** @return whether a request may take a free slot: a long one leaves those
    kept for short work, unless its priority is the highest */
static bool
may_start (const routing_t *routing, usec_t now, const request_t *r)
{
  usec_t last = latest_start (r);
  double slack;

  if (r->item.lane == LANE_SHORT || r->item.priority == 0
      || routing->lanes.running[LANE_LONG]
             < lanes_long_floor (own_slots (routing)))
    return true;
  slack = (double)(last - now) / (double)MAX (last - r->arrived_at, 1);
  return routing_free_slots (routing)
         > lanes_kept (&routing->lanes, CLAMP (slack, 0.0, 1.0));
}

/** Counts a started attempt in its lane, and moves those of short work that
    have run for several times the usual into the long one. */
static void
note_start (routing_t *routing, usec_t now, request_t *r)
{
  r->lane = r->item.lane;
  r->started_at = now;
  lanes_count (&routing->lanes, now, r->lane, 1);
  if (r->lane == LANE_SHORT && run_times_known (&r->class->times))
    {
      started_t *start = g_new (started_t, 1);

      *start = (started_t){ r->item.request, now,
                            now + OVERRUN_FACTOR * r->class->times.median };
      g_queue_push_tail (routing->started, start);
    }
  move_overruns (routing, now);
}

static void
move_overruns (routing_t *routing, usec_t now)
{
  const started_t *first;

  while ((first = g_queue_peek_head (routing->started)))
    {
      request_t *r = request_of (routing, first->request);

      if (r && r->state == REQUEST_RUNNING && r->started_at == first->at)
        {
          if (first->overrun_at > now)
            return;
          r->lane = LANE_LONG;
          lanes_count (&routing->lanes, now, LANE_SHORT, -1);
          lanes_count (&routing->lanes, now, LANE_LONG, 1);
        }
      g_free (g_queue_pop_head (routing->started));
    }
}

/** Time until the requests before R have got a slot, from the run times and
    the slots that its lane has in this process; without end while it has
    none. */
static usec_t
expected_wait (const routing_t *routing, const request_t *r)
{
  uint64_t slots = own_slots (routing);
  uint64_t longs = routing->lanes.running[LANE_LONG];
  usec_t ahead = r->queued ? (usec_t)queue_ahead (routing->queue, r->queued)
                           : (usec_t)queue_length (routing->queue);
  usec_t mean = routing->lane_times[r->item.lane].mean;

  if (!slots)
    return INT64_MAX / 2;
  if (r->item.lane == LANE_LONG)
    slots = MAX (longs, lanes_long_floor (slots));
  else
    /* Long work may still run on VMs that are not in use here any more. */
    slots = MAX (slots - MIN (longs, slots), slots / 4 + 1);
  return (ahead + 1) * mean / (usec_t)slots;
}

/** When a refused caller may come back.  Returns are given out one after the
    other at a part of the rate that the slots can carry, so that the callers
    of a peak do not make the next one. */
static usec_t
retry_after (routing_t *routing, usec_t now)
{
  usec_t slots = (usec_t)own_slots (routing);
  usec_t mean = MAX (routing->times.mean, RUN_TIME_GUESS);
  usec_t gap = slots ? mean * RETURN_PART / slots : mean;
  usec_t wait;

  routing->return_at = MAX (routing->return_at, now + RETRY_AFTER_MIN) + gap;
  routing->return_at = MIN (routing->return_at, now + RETRY_AFTER_MAX);
  wait = routing->return_at - now;
  return (usec_t)((double)wait
                  * g_rand_double_range (routing->random, 0.75, 1.25));
}

static void
give_up (routing_t *routing, usec_t now, handle_t request)
{
  request_t *r = request_of (routing, request);
  bool may_have_run = r->may_have_run;
  bool abandoned = r->abandoned;

  dequeue (routing, r);
  if (!abandoned)
    routing->ops.give_up (routing->ctx, now, request,
                          may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                          may_have_run ? 0 : retry_after (routing, now));
  table_remove (routing->requests, request);
}

/** Puts the request into the queue; its timer is the latest start that can
    meet the deadline. */
static void
enqueue (routing_t *routing, handle_t request)
{
  request_t *r = request_of (routing, request);

  dequeue (routing, r);
  r->state = REQUEST_WAITING;
  r->queued = queue_push (routing->queue, &r->item);
  set_timer (routing, request, latest_start (r) + 1);
}

static void
dequeue (routing_t *routing, request_t *r)
{
  if (r->queued)
    queue_remove (routing->queue, r->queued);
  if (r->timer)
    g_sequence_remove (r->timer);
  r->queued = NULL;
  r->timer = NULL;
}

static void
set_timer (routing_t *routing, handle_t request, usec_t due)
{
  request_t *r = request_of (routing, request);

  due_t *timer = g_new (due_t, 1);

  *timer = (due_t){ due, request };
  r->timer = g_sequence_insert_sorted (routing->timers, timer, by_due, NULL);
}

/** @return false if no VM has room */
static bool
place_on_vm (routing_t *routing, usec_t now, handle_t request, uint32_t last)
{
  handle_t vm = pick_vm (routing, now, last);
  request_t *r = request_of (routing, request);

  if (vm == HANDLE_NONE)
    return false;
  dequeue (routing, r);
  r->state = REQUEST_RUNNING;
  r->vm = vm;
  r->attempts++;
  note_start (routing, now, r);
  queue_charge (routing->queue, now, r->item.share, expected_run (r->class));
  routing->ops.dispatch (routing->ctx, now, request, vm);
  return true;
}

/** @return false if no peer is the better choice */
static bool
place_on_peer (routing_t *routing, usec_t now, handle_t request,
               peer_t *(*pick) (const routing_t *, const request_t *, usec_t))
{
  request_t *r = request_of (routing, request);
  usec_t wait = routing->times.mean ? expected_wait (routing, r) : INT64_MAX;
  peer_t *peer = r->item.hopped ? NULL : pick (routing, r, wait);

  if (!peer || now + peer->delay > latest_start (r))
    return false;
  dequeue (routing, r);
  r->state = REQUEST_FORWARDED;
  r->peer = peer->node;
  r->report = peer->reports;
  peer->sent++;
  routing->ops.forward (routing->ctx, now, request, peer->node);
  return true;
}

/** @param last group to look at, after those before it; GROUP_SUSPECT for
    that one alone
    @return a VM of which a slot was taken, HANDLE_NONE if all are full */
static handle_t
pick_vm (routing_t *routing, usec_t now, uint32_t last)
{
  uint32_t first = last == GROUP_SUSPECT ? GROUP_SUSPECT : GROUP_NEAR;

  for (uint32_t group = first; group <= last; group++)
    {
      handle_t vm = limits_pick (routing->limits, group);

      while (vm != HANDLE_NONE)
        {
          uint32_t shard = limits_vm (routing->limits, vm)->shard;

          if (routing->ops.may_act (routing->ctx, shard)
              && limits_acquire (routing->limits, vm) == 0)
            return vm;
          drop_shard (routing, now, shard);
          vm = limits_pick (routing->limits, group);
        }
    }
  return HANDLE_NONE;
}

/** Of two peers drawn at random the one with more free slots is taken, so
    that the processes do not all choose the same one between two reports.
    @param wait what the request is expected to wait here
    @return NULL if no peer is the better choice */
static peer_t *
pick_peer (const routing_t *routing, const request_t *r, usec_t wait)
{
  usec_t detour = routing->times.mean / SLOW_COST_PART;
  int64_t kept = r->item.lane == LANE_LONG
                     ? (int64_t)lanes_kept (&routing->lanes, 1.0)
                     : 0;

  if (limits_free_slots (routing->limits, GROUP_SLOW))
    wait = MAX (wait, detour);
  for (int near = 1; near >= 0; near--)
    {
      peer_t *a = draw_peer (routing, near, NULL);
      peer_t *b = draw_peer (routing, near, a);

      if (b && peer_free (b) > peer_free (a))
        a = b;
      if (a && peer_free (a) > kept && 2 * a->delay < wait)
        return a;
    }
  return NULL;
}

static peer_t *
find_peer (const routing_t *routing, node_id_t node)
{
  for (guint i = 0; i < routing->peers->len; i++)
    if (g_array_index (routing->peers, peer_t, i).node == node)
      return &g_array_index (routing->peers, peer_t, i);
  return NULL;
}

/** Where no peer has free slots: one whose queue promises a start in less
    than half of the time. @param wait as for pick_peer */
static peer_t *
pick_shorter_queue (const routing_t *routing, const request_t *r, usec_t wait)
{
  (void)r;
  for (int near = routing->times.mean ? 1 : -1; near >= 0; near--)
    {
      peer_t *a = draw_peer (routing, near, NULL);
      peer_t *b = draw_peer (routing, near, a);

      if (b && peer_wait (routing, b) < peer_wait (routing, a))
        a = b;
      if (a && peer_wait (routing, a) < wait / 2)
        return a;
    }
  return NULL;
}

/** @return time until a request sent to the peer now would start */
static usec_t
peer_wait (const routing_t *routing, const peer_t *peer)
{
  usec_t ahead = (usec_t)(peer->queued + peer->sent) + 1;

  return 2 * peer->delay
         + ahead * routing->times.mean / MAX ((usec_t)peer->capacity, 1);
}

/** @return free slots by the last report, less what was sent there since */
static int64_t
peer_free (const peer_t *peer)
{
  return (int64_t)peer->free_slots - (int64_t)peer->sent;
}

/** @param near in the own availability zone, or else in another
    @return a random usable peer that is not EXCEPT, NULL if there is none */
static peer_t *
draw_peer (const routing_t *routing, bool near, const peer_t *except)
{
  peer_t *drawn = NULL;
  gint32 seen = 0;

  for (guint i = 0; i < routing->peers->len; i++)
    {
      peer_t *peer = &g_array_index (routing->peers, peer_t, i);

      if (peer->usable && peer != except
          && (peer->zone == routing->config.zone) == near
          && g_rand_int_range (routing->random, 0, ++seen) == 0)
        drawn = peer;
    }
  return drawn;
}

/** Starts a request at its latest start on a slot kept for short work if
    none of that waits, or on a VM that is suspected to fail. */
static bool
place_late (routing_t *routing, usec_t now, handle_t request)
{
  if (!queue_best (routing->queue, LANE_SHORT, false)
      && place_on_vm (routing, now, request, GROUP_FAR))
    return true;
  return place_on_vm (routing, now, request, GROUP_SUSPECT);
}

/** Runs due retries; gives up what could not start in time. */
static void
run_timers (routing_t *routing, usec_t now)
{
  const due_t *first;

  while ((first = first_due (routing)) && first->due <= now)
    {
      handle_t request = first->request;
      const request_t *r = request_of (routing, request);

      if (r->state == REQUEST_BACKOFF)
        enqueue (routing, request);
      else if (now + expected_run (r->class) > r->item.deadline
               || !place_late (routing, now, request))
        give_up (routing, now, request);
    }
}

/** Starts waiting requests on free slots up to the group LAST. */
static void
start_waiting (routing_t *routing, usec_t now, uint32_t last)
{
  const queue_item_t *item;

  while ((routing_free_slots (routing)
          || (last == GROUP_SLOW
              && limits_free_slots (routing->limits, GROUP_SLOW)))
         && (item = next_to_start (routing, now))
         && place_on_vm (routing, now, item->request, last))
    ;
}

/** Places waiting requests as long as there is room.  A callback that calls
    back in finds the guard set, and the loop here goes on for it. */
static void
pump (routing_t *routing, usec_t now)
{
  const queue_item_t *item;

  if (routing->pumping)
    return;
  routing->pumping = true;
  run_timers (routing, now);
  start_waiting (routing, now, GROUP_FAR);
  for (lane_t lane = LANE_SHORT; lane < LANE_COUNT && routing->peers->len;
       lane++)
    while ((item = queue_worst (routing->queue, lane, true))
           && place_on_peer (routing, now, item->request, pick_peer))
      ;
  start_waiting (routing, now, GROUP_SLOW);
  for (lane_t lane = LANE_SHORT; lane < LANE_COUNT && routing->peers->len;
       lane++)
    while ((item = queue_best (routing->queue, lane, true))
           && !queue_is_over (item)
           && place_on_peer (routing, now, item->request, pick_shorter_queue))
      ;
  routing->pumping = false;
}

/** @return the waiting request that gets the next slot here, NULL if none
    may start.  Up to its floor long work goes first: by deadline alone it
    would never start while short work waits. */
static const queue_item_t *
next_to_start (const routing_t *routing, usec_t now)
{
  const queue_item_t *first = queue_best (routing->queue, LANE_SHORT, false);
  const queue_item_t *other = queue_best (routing->queue, LANE_LONG, false);

  if (!other || !may_start (routing, now, request_of (routing, other->request))
      || (first && first->priority < other->priority))
    return first;
  if (!first || other->priority < first->priority
      || routing->lanes.running[LANE_LONG]
             < lanes_long_floor (own_slots (routing)))
    return other;
  return first;
}

/** Lets the request wait and then try again, if its deadline and the retry
    budget allow that; else gives it up. */
static void
retry (routing_t *routing, usec_t now, handle_t request, usec_t wait)
{
  request_t *r = request_of (routing, request);

  if (r->abandoned || routing->tokens < RETRY_COST
      || now + wait + expected_run (r->class) > r->item.deadline)
    {
      give_up (routing, now, request);
      return;
    }
  routing->tokens -= RETRY_COST;
  counter_add (COUNTER_RETRIES, 1);
  r->state = REQUEST_BACKOFF;
  set_timer (routing, request, now + wait);
}

static void
learn (routing_t *routing, usec_t now, const request_t *r, usec_t run_time)
{
  if (run_times_known (&r->class->times)
      && speeds_note (routing->speeds, now, r->vm, run_time,
                      r->class->times.median))
    reassign (routing, r->vm);
  run_times_add (&r->class->times, run_time);
  run_times_add (&routing->times, run_time);
  run_times_add (&routing->lane_times[r->lane], run_time);
}

static void
reassign (void *ctx, handle_t vm)
{
  routing_t *routing = ctx;

  if (limits_vm (routing->limits, vm))
    assign (routing, vm);
}

/** Gives back the slot of an attempt that ended. */
static void
leave_vm (routing_t *routing, usec_t now, request_t *r, attempt_end_t end)
{
  handle_t vm = r->vm;
  const vm_t *row = limits_vm (routing->limits, vm);

  r->vm = HANDLE_NONE;
  if (row && row->state == VM_LIVE
      && health_note (routing->health, now, vm, end == ATTEMPT_RAN))
    assign (routing, vm);
  if (end == ATTEMPT_NO_ANSWER)
    limits_release_at (routing->limits, vm, now + r->run_limit);
  else
    limits_release (routing->limits, vm);
  if (!limits_vm (routing->limits, vm))
    {
      health_forget (routing->health, vm);
      speeds_forget (routing->speeds, vm);
    }
}

/** Puts each VM into the group from which it may be picked. */
/* What came over the peer link may not be handed on, so without an own VM it
   would wait here until its deadline; the process it came from can still
   find another place. */
static void
return_hopped (routing_t *routing, usec_t now)
{
  handle_t next;

  if (own_slots (routing))
    return;
  for (handle_t h = table_next (routing->requests, HANDLE_NONE);
       h != HANDLE_NONE; h = next)
    {
      const request_t *r = request_of (routing, h);

      next = table_next (routing->requests, h);
      if (r->item.hopped
          && (r->state == REQUEST_WAITING || r->state == REQUEST_BACKOFF))
        give_up (routing, now, h);
    }
}

static void
refresh_groups (routing_t *routing)
{
  uint32_t fleet = 0;

  for (handle_t h = limits_next (routing->limits, HANDLE_NONE);
       h != HANDLE_NONE; h = limits_next (routing->limits, h))
    fleet += assign (routing, h);
  health_set_fleet (routing->health, fleet, routing->peers->len > 0);
}

/** Puts one VM into its group. @return whether this process may act on it */
static bool
assign (routing_t *routing, handle_t vm)
{
  const vm_t *row = limits_vm (routing->limits, vm);
  bool acts = routing->ops.may_act (routing->ctx, row->shard);
  uint32_t group = row->zone == routing->config.zone ? GROUP_NEAR : GROUP_FAR;

  if (speeds_slow (routing->speeds, vm))
    group = GROUP_SLOW;
  if (health_state (routing->health, vm) == HEALTH_SUSPECT)
    group = GROUP_SUSPECT;
  if (!acts || health_state (routing->health, vm) == HEALTH_ASIDE)
    group = LIMITS_GROUP_NONE;
  limits_set_group (routing->limits, vm, group,
                    health_cap (routing->health, vm));
  return acts && row->state == VM_LIVE;
}

/** Stops choosing VMs of a shard on which this process may not act; looked
    at again by the next kick, or by a tick after RECHECK_INTERVAL. */
static void
drop_shard (routing_t *routing, usec_t now, uint32_t shard)
{
  routing->recheck_at = now + RECHECK_INTERVAL;
  for (handle_t h = limits_next (routing->limits, HANDLE_NONE);
       h != HANDLE_NONE; h = limits_next (routing->limits, h))
    if (limits_vm (routing->limits, h)->shard == shard)
      limits_set_group (routing->limits, h, LIMITS_GROUP_NONE, 0);
}

static gint
by_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const due_t *x = a;
  const due_t *y = b;

  (void)data;
  return (x->due > y->due) - (x->due < y->due);
}

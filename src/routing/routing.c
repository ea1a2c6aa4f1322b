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

/* VM groups of the limits module, in the order in which pick_vm tries them;
   GROUP_SUSPECT is tried alone. */
#define GROUP_SAME_ZONE 1U
#define GROUP_OTHER_ZONE 2U
#define GROUP_SLOW 3U
#define GROUP_SUSPECT 4U

#define RETRY_COST_TOKENS 100U   /* each request adds retry_percent tokens */
#define RETRY_TOKENS_MAX 10000U  /* 100 retries in a burst */
#define RETRY_TOKENS_START 1000U /* 10 retries before any load */
#define RETRY_DOUBLINGS_MAX 6U   /* of the backoff */
/* Ratio of the median run time of a long class to that of all work. */
#define LONG_CLASS_FACTOR 4
/* Ratio of the run time of an overrun to the median of its class. */
#define OVERRUN_FACTOR 8
#define BUDGET_DECAY_REQUESTS 1024 /* to adapt to shorter deadlines */
/* Expected extra time on a slow VM: half of the mean run time. */
#define SLOW_VM_COST_DIVISOR 2
#define RETRY_AFTER_MIN (100 * USEC_PER_MSEC)
#define RETRY_AFTER_MAX (30 * USEC_PER_SEC)
#define RETURN_RATE_DIVISOR 8 /* refused callers retry at 1/8 of full load */
#define DEFAULT_RUN_TIME (10 * USEC_PER_MSEC) /* until one is measured */
#define REPORT_INTERVAL_MIN (25 * USEC_PER_MSEC)
#define REPORT_STEP_DIVISOR 16U /* reports a change by 1/16 of the slots */
#define RECHECK_INTERVAL (50 * USEC_PER_MSEC) /* of an excluded shard */

typedef enum
{
  REQUEST_WAITING,
  REQUEST_BACKOFF,
  REQUEST_RUNNING,
  REQUEST_FORWARDED
} request_state_t;

/** Statistics of a class of work. */
typedef struct
{
  char *name;
  usec_t time_budget; /* maximum time to the deadline at arrival, decays */
  run_times_t times;
} class_t;

typedef struct
{
  usec_t due;
  handle_t request;
} request_timer_t;

typedef struct
{
  class_t *class;
  queue_item_t item;    /* template for queue_push */
  queue_item_t *queued; /* NULL unless the request waits */
  GSequenceIter *timer; /* of a request_timer_t */
  usec_t run_limit;
  uint64_t tag;
  handle_t vm;
  usec_t arrived_at;
  usec_t started_at;
  lane_t lane;          /* of the running attempt */
  node_id_t peer;       /* to which the request was forwarded */
  uint64_t peer_report; /* peer_t.reports when the request was forwarded */
  uint32_t attempts;
  uint32_t forward_refusals; /* by peers, or by a broken link */
  request_state_t state;
  bool idempotent;
  bool may_have_run;
  bool abandoned;
} request_t;

typedef struct
{
  node_id_t node;
  uint32_t zone;
  uint64_t free_slots; /* in the last report */
  uint64_t reports;    /* received so far */
  uint64_t sent;       /* open requests forwarded since the last report */
  uint64_t queued;
  uint64_t capacity; /* maximum of free_slots so far, at most its slots */
  usec_t delay;      /* one way */
  bool usable;
} peer_t;

/** A started attempt of short work, until it has ended or is an overrun. */
typedef struct
{
  handle_t request;
  usec_t started_at;
  usec_t overrun_at;
} short_start_t;

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
  GSequence *timers; /* request_timer_t */
  GArray *peers;     /* peer_t */
  uint64_t sequence;
  uint64_t retry_tokens;
  run_times_t times; /* of all classes */
  run_times_t lane_times[LANE_COUNT];
  lanes_t lanes;
  GQueue *short_starts; /* short_start_t, oldest first */
  usec_t reported_at;
  uint64_t reported_free;
  uint64_t reported_backlog;
  usec_t recheck_at;
  usec_t last_return_at; /* retry time of the last refused caller */
  bool placing;          /* place_waiting is running */
};

static request_t *request_of (const routing_t *routing, handle_t request);
static request_t *request_new (routing_t *routing, usec_t now,
                               const request_info_t *info);
static bool differ_by_less (uint64_t a, uint64_t b, uint64_t step);
static const request_timer_t *first_timer (const routing_t *routing);
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
static void record_start (routing_t *routing, usec_t now, request_t *r);
static void reclassify_overruns (routing_t *routing, usec_t now);
static usec_t expected_wait (const routing_t *routing, const request_t *r);
static usec_t retry_after (routing_t *routing, usec_t now);
static void give_up (routing_t *routing, usec_t now, handle_t request);
static void enqueue (routing_t *routing, handle_t request);
static void dequeue (routing_t *routing, request_t *r);
static void set_timer (routing_t *routing, handle_t request, usec_t due);
static bool place_on_vm (routing_t *routing, usec_t now, handle_t request,
                         uint32_t last_group);
static bool place_on_peer (routing_t *routing, usec_t now, handle_t request,
                           peer_t *(*pick) (const routing_t *,
                                            const request_t *, usec_t));
static handle_t pick_vm (routing_t *routing, usec_t now, uint32_t last_group);
static peer_t *pick_peer (const routing_t *routing, const request_t *r,
                          usec_t wait);
static peer_t *pick_shorter_queue (const routing_t *routing,
                                   const request_t *r, usec_t wait);
static usec_t peer_wait (const routing_t *routing, const peer_t *peer);
static peer_t *find_peer (const routing_t *routing, node_id_t node);
static int64_t peer_free (const peer_t *peer);
static peer_t *pick_random_peer (const routing_t *routing, bool same_zone,
                                 const peer_t *except);
static const queue_item_t *next_to_start (const routing_t *routing,
                                          usec_t now);
static bool place_at_latest_start (routing_t *routing, usec_t now,
                                   handle_t request);
static void run_timers (routing_t *routing, usec_t now);
static void place_waiting_on_vms (routing_t *routing, usec_t now,
                                  uint32_t last_group);
static void place_waiting (routing_t *routing, usec_t now);
static void schedule_retry (routing_t *routing, usec_t now, handle_t request,
                            usec_t wait);
static void record_run_time (routing_t *routing, usec_t now,
                             const request_t *r, usec_t run_time);
static void on_speed_changed (void *ctx, handle_t vm);
static void release_slot (routing_t *routing, usec_t now, request_t *r,
                          attempt_end_t end);
static void give_up_from_peers (routing_t *routing, usec_t now);
static void assign_groups (routing_t *routing);
static bool assign_group (routing_t *routing, handle_t vm);
static void exclude_shard (routing_t *routing, usec_t now, uint32_t shard);
static gint compare_timers (gconstpointer a, gconstpointer b, gpointer data);

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
  routing->short_starts = g_queue_new ();
  routing->speeds = speeds_new ();
  routing->timers = g_sequence_new (g_free);
  routing->peers = g_array_new (FALSE, TRUE, sizeof (peer_t));
  routing->retry_tokens = RETRY_TOKENS_START;
  routing->recheck_at = USEC_NEVER;
  assign_groups (routing);
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
  g_queue_free_full (routing->short_starts, g_free);
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
  /* The process that forwarded a request has added its tokens already. */
  if (!info->hops)
    routing->retry_tokens
        = MIN (routing->retry_tokens + routing->config.retry_percent,
               RETRY_TOKENS_MAX);
  if (now + expected_run (r->class) > r->item.deadline
      || (info->hops && !own_slots (routing)))
    {
      give_up (routing, now, request);
      return HANDLE_NONE;
    }
  if (!routing_queued (routing)
      && ((may_start (routing, now, r)
           && place_on_vm (routing, now, request, GROUP_OTHER_ZONE))
          || place_on_peer (routing, now, request, pick_peer)
          || (may_start (routing, now, r)
              && place_on_vm (routing, now, request, GROUP_SLOW))))
    return request_of (routing, request) ? request : HANDLE_NONE;
  enqueue (routing, request);
  place_waiting (routing, now);
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
             queue_last (routing->queue, LANE_ANY, false)->request);
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
    record_run_time (routing, now, r, run_time);
  release_slot (routing, now, r, end);
  lanes_update (&routing->lanes, now, r->lane, -1);
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    request_remove (routing, request);
  else if (end == ATTEMPT_NOT_STARTED)
    {
      uint32_t doublings = MIN (r->attempts - 1, RETRY_DOUBLINGS_MAX);
      usec_t backoff = routing->config.retry_min << doublings;

      schedule_retry (
          routing, now, request,
          (usec_t)((double)backoff
                   * g_rand_double_range (routing->random, 0.5, 1.5)));
    }
  else
    {
      r->may_have_run = true;
      if (r->idempotent)
        schedule_retry (routing, now, request, r->run_limit);
      else
        give_up (routing, now, request);
    }
  place_waiting (routing, now);
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
  if (peer && peer->reports == r->peer_report)
    peer->sent--;
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    {
      request_remove (routing, request);
      place_waiting (routing, now);
      return;
    }
  /* Without a complete answer the peer may still start the work at any time
     until the deadline, and a second attempt could overlap it. */
  if (end == ATTEMPT_NO_ANSWER)
    {
      r->may_have_run = true;
      give_up (routing, now, request);
      return;
    }
  if (r->forward_refusals++)
    give_up (routing, now, request);
  else
    schedule_retry (routing, now, request, 0);
  place_waiting (routing, now);
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
      assign_groups (routing);
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
  place_waiting (routing, now);
}

void
routing_refresh (routing_t *routing, usec_t now)
{
  assign_groups (routing);
  give_up_from_peers (routing, now);
  place_waiting (routing, now);
}

uint64_t
routing_free_slots (const routing_t *routing)
{
  return limits_free_slots (routing->limits, GROUP_SAME_ZONE)
         + limits_free_slots (routing->limits, GROUP_OTHER_ZONE);
}

uint64_t
routing_queued (const routing_t *routing)
{
  return queue_length (routing->queue);
}

uint64_t
routing_backlog (const routing_t *routing)
{
  return queue_count_within_share (routing->queue);
}

bool
routing_report_due (routing_t *routing, usec_t now)
{
  uint64_t free_slots = routing_free_slots (routing);
  uint64_t backlog = routing_backlog (routing);
  uint64_t step = MAX (own_slots (routing) / REPORT_STEP_DIVISOR, 2);

  if (now - routing->reported_at < REPORT_INTERVAL_MIN
      || (differ_by_less (free_slots, routing->reported_free, step)
          && differ_by_less (backlog, routing->reported_backlog, 2 * step)
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
  const request_timer_t *first;
  handle_t vm;

  while ((vm = health_readmit (routing->health, now)) != HANDLE_NONE)
    if (limits_vm (routing->limits, vm))
      assign_group (routing, vm);
    else
      health_forget (routing->health, vm);
  if (routing->recheck_at != USEC_NEVER && routing->recheck_at <= now)
    {
      routing->recheck_at = USEC_NEVER;
      assign_groups (routing);
      give_up_from_peers (routing, now);
    }
  place_waiting (routing, now);
  first = first_timer (routing);
  if (first)
    next = earlier (next, first->due);
  next = earlier (
      next, speeds_tick (routing->speeds, now, on_speed_changed, routing));
  next = earlier (next, health_next_readmission (routing->health));
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
                              "high_us", (json_int_t) class->times.p98));
    }
  return json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "requests",
                    (json_int_t)table_count (routing->requests), "queued",
                    (json_int_t)routing_queued (routing), "free_slots",
                    (json_int_t)routing_free_slots (routing), "retry_tokens",
                    (json_int_t)routing->retry_tokens, "aside",
                    (json_int_t)health_ejected (routing->health), "peers",
                    peers, "classes", classes);
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
  r->class->time_budget -= r->class->time_budget / BUDGET_DECAY_REQUESTS;
  r->class->time_budget = MAX (r->class->time_budget, info->deadline - now);
  r->item.lane = lane_of (routing, r->class);
  r->item.priority = info->priority;
  r->item.from_peer = info->hops > 0;
  r->item.deadline = info->deadline;
  r->item.sequence = routing->sequence++;
  r->item.member = queue_member (routing->queue, info->member, info->weight);
  r->run_limit = info->run_limit;
  r->idempotent = info->idempotent;
  r->tag = info->tag;
  r->state = REQUEST_WAITING;
  return r;
}

static bool
differ_by_less (uint64_t a, uint64_t b, uint64_t step)
{
  return a < b + step && b < a + step;
}

/** @return the first timer, NULL if there is none */
static const request_timer_t *
first_timer (const routing_t *routing)
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

/** @return the median run time, 0 until enough run times are known */
static usec_t
expected_run (const class_t *class)
{
  return run_times_known (&class->times) ? class->times.median : 0;
}

/** @return the time after which a start would probably miss the deadline.

    In a long queue most requests start shortly before this time.  If only the
    median run time were left then, half of them would miss their deadline;
    hence the 98th percentile.  Where that is too long for the deadline, the
    time left is half of the time budget of the class, or the median run time
    if that is longer.  The remaining time of the request is no suitable
    budget, since a forwarded request has little left.  Until run times are
    known the run limit is used instead. */
static usec_t
latest_start (const request_t *r)
{
  const run_times_t *times = &r->class->times;

  if (!run_times_known (times))
    return r->item.deadline
           - MIN (r->run_limit, (r->item.deadline - r->arrived_at) / 2);
  return r->item.deadline
         - MIN (times->p98, MAX (r->class->time_budget / 2, times->median));
}

/** @return free and taken slots of the VMs that this process uses */
static uint64_t
own_slots (const routing_t *routing)
{
  return limits_capacity (routing->limits, GROUP_SAME_ZONE)
         + limits_capacity (routing->limits, GROUP_OTHER_ZONE)
         + limits_capacity (routing->limits, GROUP_SLOW);
}

/** Work is long if its median run time is a multiple of that of all work. */
static lane_t
lane_of (const routing_t *routing, const class_t *class)
{
  return run_times_known (&class->times)
                 && class->times.median
                        > LONG_CLASS_FACTOR * routing->times.median
             ? LANE_LONG
             : LANE_SHORT;
}

/** @return whether a request may take a free slot.  Long work leaves the slots
    reserved for short work free unless its priority is the highest. */
static bool
may_start (const routing_t *routing, usec_t now, const request_t *r)
{
  usec_t latest = latest_start (r);
  double slack;

  if (r->item.lane == LANE_SHORT || r->item.priority == 0
      || routing->lanes.running[LANE_LONG]
             < lanes_long_floor (own_slots (routing)))
    return true;
  slack = (double)(latest - now) / (double)MAX (latest - r->arrived_at, 1);
  return routing_free_slots (routing)
         > lanes_reserved (&routing->lanes, CLAMP (slack, 0.0, 1.0));
}

/** Counts a started attempt in its lane and reclassifies overruns. */
static void
record_start (routing_t *routing, usec_t now, request_t *r)
{
  r->lane = r->item.lane;
  r->started_at = now;
  lanes_update (&routing->lanes, now, r->lane, 1);
  if (r->lane == LANE_SHORT && run_times_known (&r->class->times))
    {
      short_start_t *start = g_new (short_start_t, 1);

      *start
          = (short_start_t){ r->item.request, now,
                             now + OVERRUN_FACTOR * r->class->times.median };
      g_queue_push_tail (routing->short_starts, start);
    }
  reclassify_overruns (routing, now);
}

/** Moves attempts of short work that exceeded OVERRUN_FACTOR times the median
    of their class to the long lane. */
static void
reclassify_overruns (routing_t *routing, usec_t now)
{
  const short_start_t *first;

  while ((first = g_queue_peek_head (routing->short_starts)))
    {
      request_t *r = request_of (routing, first->request);

      if (r && r->state == REQUEST_RUNNING
          && r->started_at == first->started_at)
        {
          if (first->overrun_at > now)
            return;
          r->lane = LANE_LONG;
          lanes_update (&routing->lanes, now, LANE_SHORT, -1);
          lanes_update (&routing->lanes, now, LANE_LONG, 1);
        }
      g_free (g_queue_pop_head (routing->short_starts));
    }
}

/** @return estimated time until R gets a slot in this process, from the mean
    run time and the slots of its lane; INT64_MAX / 2 without slots */
static usec_t
expected_wait (const routing_t *routing, const request_t *r)
{
  uint64_t slots = own_slots (routing);
  uint64_t longs = routing->lanes.running[LANE_LONG];
  usec_t ahead = r->queued
                     ? (usec_t)queue_count_ahead (routing->queue, r->queued)
                     : (usec_t)queue_length (routing->queue);
  usec_t mean = routing->lane_times[r->item.lane].mean;

  if (!slots)
    return INT64_MAX / 2;
  if (r->item.lane == LANE_LONG)
    slots = MAX (longs, lanes_long_floor (slots));
  else
    /* LONGS may exceed SLOTS: long work may still run on VMs that this process
       has stopped using. */
    slots = MAX (slots - MIN (longs, slots), slots / 4 + 1);
  return (ahead + 1) * mean / (usec_t)slots;
}

/** @return the time after which a refused caller may retry.  The times
    given to successive callers are spaced so that the callers return at a
    fraction of the rate that the slots can serve: callers refused in a load
    peak must not cause another peak. */
static usec_t
retry_after (routing_t *routing, usec_t now)
{
  usec_t slots = (usec_t)own_slots (routing);
  usec_t mean = MAX (routing->times.mean, DEFAULT_RUN_TIME);
  usec_t gap = slots ? mean * RETURN_RATE_DIVISOR / slots : mean;
  usec_t wait;

  routing->last_return_at
      = MAX (routing->last_return_at, now + RETRY_AFTER_MIN) + gap;
  routing->last_return_at
      = MIN (routing->last_return_at, now + RETRY_AFTER_MAX);
  wait = routing->last_return_at - now;
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

/** Puts the request into the queue and sets its timer to the latest start. */
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

  request_timer_t *timer = g_new (request_timer_t, 1);

  *timer = (request_timer_t){ due, request };
  r->timer = g_sequence_insert_sorted (routing->timers, timer, compare_timers,
                                       NULL);
}

/** Dispatches the request to a VM.
    @param last_group as for pick_vm
    @return false if no VM has a free slot */
static bool
place_on_vm (routing_t *routing, usec_t now, handle_t request,
             uint32_t last_group)
{
  handle_t vm = pick_vm (routing, now, last_group);
  request_t *r = request_of (routing, request);

  if (vm == HANDLE_NONE)
    return false;
  dequeue (routing, r);
  r->state = REQUEST_RUNNING;
  r->vm = vm;
  r->attempts++;
  record_start (routing, now, r);
  queue_charge (routing->queue, now, r->item.member, expected_run (r->class));
  routing->ops.dispatch (routing->ctx, now, request, vm);
  return true;
}

/** Forwards the request to a peer.
    @return false if PICK finds no suitable peer */
static bool
place_on_peer (routing_t *routing, usec_t now, handle_t request,
               peer_t *(*pick) (const routing_t *, const request_t *, usec_t))
{
  request_t *r = request_of (routing, request);
  usec_t wait = routing->times.mean ? expected_wait (routing, r) : INT64_MAX;
  peer_t *peer = r->item.from_peer ? NULL : pick (routing, r, wait);

  if (!peer || now + peer->delay > latest_start (r))
    return false;
  dequeue (routing, r);
  r->state = REQUEST_FORWARDED;
  r->peer = peer->node;
  r->peer_report = peer->reports;
  peer->sent++;
  routing->ops.forward (routing->ctx, now, request, peer->node);
  return true;
}

/** Picks a VM and takes one of its slots.
    @param last_group the groups up to this one are tried in order; but
    GROUP_SUSPECT is tried alone
    @return the VM, HANDLE_NONE if all are full */
static handle_t
pick_vm (routing_t *routing, usec_t now, uint32_t last_group)
{
  uint32_t first
      = last_group == GROUP_SUSPECT ? GROUP_SUSPECT : GROUP_SAME_ZONE;

  for (uint32_t group = first; group <= last_group; group++)
    {
      handle_t vm = limits_pick (routing->limits, group);

      while (vm != HANDLE_NONE)
        {
          uint32_t shard = limits_vm (routing->limits, vm)->shard;

          if (routing->ops.may_act (routing->ctx, shard)
              && limits_acquire (routing->limits, vm) == 0)
            return vm;
          exclude_shard (routing, now, shard);
          vm = limits_pick (routing->limits, group);
        }
    }
  return HANDLE_NONE;
}

/** Picks the peer with more free slots out of two random ones, so that the
    processes do not all choose the same peer between two reports.
    @param wait estimated waiting time of the request in this process
    @return NULL if no peer is expected to start the request sooner */
static peer_t *
pick_peer (const routing_t *routing, const request_t *r, usec_t wait)
{
  usec_t slow_vm_cost = routing->times.mean / SLOW_VM_COST_DIVISOR;
  int64_t reserved = r->item.lane == LANE_LONG
                         ? (int64_t)lanes_reserved (&routing->lanes, 1.0)
                         : 0;

  if (limits_free_slots (routing->limits, GROUP_SLOW))
    wait = MAX (wait, slow_vm_cost);
  for (int same_zone = 1; same_zone >= 0; same_zone--)
    {
      peer_t *a = pick_random_peer (routing, same_zone, NULL);
      peer_t *b = pick_random_peer (routing, same_zone, a);

      if (b && peer_free (b) > peer_free (a))
        a = b;
      if (a && peer_free (a) > reserved && 2 * a->delay < wait)
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

/** Picks a peer by its expected wait, used when no peer has free slots: one
    where the request is expected to start in less than half of WAIT.
    @param wait as for pick_peer */
static peer_t *
pick_shorter_queue (const routing_t *routing, const request_t *r, usec_t wait)
{
  (void)r;
  for (int same_zone = routing->times.mean ? 1 : -1; same_zone >= 0;
       same_zone--)
    {
      peer_t *a = pick_random_peer (routing, same_zone, NULL);
      peer_t *b = pick_random_peer (routing, same_zone, a);

      if (b && peer_wait (routing, b) < peer_wait (routing, a))
        a = b;
      if (a && peer_wait (routing, a) < wait / 2)
        return a;
    }
  return NULL;
}

/** @return estimated time until a request forwarded to the peer now starts */
static usec_t
peer_wait (const routing_t *routing, const peer_t *peer)
{
  usec_t ahead = (usec_t)(peer->queued + peer->sent) + 1;

  return 2 * peer->delay
         + ahead * routing->times.mean / MAX ((usec_t)peer->capacity, 1);
}

/** @return free slots of the last report, less the requests sent since */
static int64_t
peer_free (const peer_t *peer)
{
  return (int64_t)peer->free_slots - (int64_t)peer->sent;
}

/** @param same_zone whether to pick from the own availability zone or from the
    other ones
    @return a random usable peer other than EXCEPT, NULL if there is none */
static peer_t *
pick_random_peer (const routing_t *routing, bool same_zone,
                  const peer_t *except)
{
  peer_t *picked = NULL;
  gint32 candidates = 0;

  for (guint i = 0; i < routing->peers->len; i++)
    {
      peer_t *peer = &g_array_index (routing->peers, peer_t, i);

      if (peer->usable && peer != except
          && (peer->zone == routing->config.zone) == same_zone
          && g_rand_int_range (routing->random, 0, ++candidates) == 0)
        picked = peer;
    }
  return picked;
}

/** Dispatches a request whose latest start has come: to a slot reserved for
    short work if no short work waits, or else to a suspect VM.
    @return false if it was not dispatched */
static bool
place_at_latest_start (routing_t *routing, usec_t now, handle_t request)
{
  if (!queue_first (routing->queue, LANE_SHORT, false)
      && place_on_vm (routing, now, request, GROUP_OTHER_ZONE))
    return true;
  return place_on_vm (routing, now, request, GROUP_SUSPECT);
}

/** Queues due retries; places or gives up requests at their latest start. */
static void
run_timers (routing_t *routing, usec_t now)
{
  const request_timer_t *first;

  while ((first = first_timer (routing)) && first->due <= now)
    {
      handle_t request = first->request;
      const request_t *r = request_of (routing, request);

      if (r->state == REQUEST_BACKOFF)
        enqueue (routing, request);
      else if (now + expected_run (r->class) > r->item.deadline
               || !place_at_latest_start (routing, now, request))
        give_up (routing, now, request);
    }
}

/** Dispatches waiting requests to the VMs of the groups up to LAST_GROUP. */
static void
place_waiting_on_vms (routing_t *routing, usec_t now, uint32_t last_group)
{
  const queue_item_t *item;

  while ((routing_free_slots (routing)
          || (last_group == GROUP_SLOW
              && limits_free_slots (routing->limits, GROUP_SLOW)))
         && (item = next_to_start (routing, now))
         && place_on_vm (routing, now, item->request, last_group))
    ;
}

/** Places waiting requests while there are free slots.  A nested call from a
    callback returns at once; the outer call handles its changes.

    A request of a member over its share is not sent to the queue of a peer
    unless this process has no slots: then it would wait until a peer reports
    free slots, which a peer whose idle VMs are all regarded as slow does not
    do. */
static void
place_waiting (routing_t *routing, usec_t now)
{
  const queue_item_t *item;

  if (routing->placing)
    return;
  routing->placing = true;
  run_timers (routing, now);
  place_waiting_on_vms (routing, now, GROUP_OTHER_ZONE);
  for (lane_t lane = LANE_SHORT; lane < LANE_COUNT && routing->peers->len;
       lane++)
    while ((item = queue_last (routing->queue, lane, true))
           && place_on_peer (routing, now, item->request, pick_peer))
      ;
  place_waiting_on_vms (routing, now, GROUP_SLOW);
  for (lane_t lane = LANE_SHORT; lane < LANE_COUNT && routing->peers->len;
       lane++)
    while ((item = queue_first (routing->queue, lane, true))
           && (!queue_over_share (item) || !own_slots (routing))
           && place_on_peer (routing, now, item->request, pick_shorter_queue))
      ;
  routing->placing = false;
}

/** @return the waiting request that gets the next slot in this process, NULL
    if none may start.  Long work goes first until it uses lanes_long_floor
    slots: by deadline alone it would never start while short work waits. */
static const queue_item_t *
next_to_start (const routing_t *routing, usec_t now)
{
  const queue_item_t *short_item
      = queue_first (routing->queue, LANE_SHORT, false);
  const queue_item_t *long_item
      = queue_first (routing->queue, LANE_LONG, false);

  if (!long_item
      || !may_start (routing, now, request_of (routing, long_item->request))
      || (short_item && short_item->priority < long_item->priority))
    return short_item;
  if (!short_item || long_item->priority < short_item->priority
      || routing->lanes.running[LANE_LONG]
             < lanes_long_floor (own_slots (routing)))
    return long_item;
  return short_item;
}

/** Schedules a retry if the deadline and the retry budget allow one, or else
    gives the request up. */
static void
schedule_retry (routing_t *routing, usec_t now, handle_t request, usec_t wait)
{
  request_t *r = request_of (routing, request);

  if (r->abandoned || routing->retry_tokens < RETRY_COST_TOKENS
      || now + wait + expected_run (r->class) > r->item.deadline)
    {
      give_up (routing, now, request);
      return;
    }
  routing->retry_tokens -= RETRY_COST_TOKENS;
  counter_add (COUNTER_RETRIES, 1);
  r->state = REQUEST_BACKOFF;
  set_timer (routing, request, now + wait);
}

static void
record_run_time (routing_t *routing, usec_t now, const request_t *r,
                 usec_t run_time)
{
  if (run_times_known (&r->class->times)
      && speeds_record (routing->speeds, now, r->vm, run_time,
                        r->class->times.median))
    on_speed_changed (routing, r->vm);
  run_times_add (&r->class->times, run_time);
  run_times_add (&routing->times, run_time);
  run_times_add (&routing->lane_times[r->lane], run_time);
}

static void
on_speed_changed (void *ctx, handle_t vm)
{
  routing_t *routing = ctx;

  if (limits_vm (routing->limits, vm))
    assign_group (routing, vm);
}

/** Returns the slot of an ended attempt and records its result for the VM. */
static void
release_slot (routing_t *routing, usec_t now, request_t *r, attempt_end_t end)
{
  handle_t vm = r->vm;
  const vm_t *row = limits_vm (routing->limits, vm);

  r->vm = HANDLE_NONE;
  if (row && row->state == VM_LIVE
      && health_record (routing->health, now, vm, end == ATTEMPT_RAN))
    assign_group (routing, vm);
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

/** Gives up the waiting requests that peers forwarded if this process has no
    VM.  They may not be forwarded again and would wait until their deadline;
    the peer can still place them elsewhere. */
static void
give_up_from_peers (routing_t *routing, usec_t now)
{
  handle_t next;

  if (own_slots (routing))
    return;
  for (handle_t h = table_next (routing->requests, HANDLE_NONE);
       h != HANDLE_NONE; h = next)
    {
      const request_t *r = request_of (routing, h);

      next = table_next (routing->requests, h);
      if (r->item.from_peer
          && (r->state == REQUEST_WAITING || r->state == REQUEST_BACKOFF))
        give_up (routing, now, h);
    }
}

/** Puts each VM into the group from which it may be picked. */
static void
assign_groups (routing_t *routing)
{
  uint32_t vm_count = 0;

  for (handle_t h = limits_next (routing->limits, HANDLE_NONE);
       h != HANDLE_NONE; h = limits_next (routing->limits, h))
    vm_count += assign_group (routing, h);
  health_set_vm_count (routing->health, vm_count, routing->peers->len > 0);
}

/** Puts one VM into its group. @return whether this process may act on it */
static bool
assign_group (routing_t *routing, handle_t vm)
{
  const vm_t *row = limits_vm (routing->limits, vm);
  bool allowed = routing->ops.may_act (routing->ctx, row->shard);
  uint32_t group
      = row->zone == routing->config.zone ? GROUP_SAME_ZONE : GROUP_OTHER_ZONE;

  if (speeds_is_slow (routing->speeds, vm))
    group = GROUP_SLOW;
  if (health_state (routing->health, vm) == HEALTH_SUSPECT)
    group = GROUP_SUSPECT;
  if (!allowed || health_state (routing->health, vm) == HEALTH_EJECTED)
    group = LIMITS_GROUP_NONE;
  limits_set_group (routing->limits, vm, group,
                    health_cap (routing->health, vm));
  return allowed && row->state == VM_LIVE;
}

/** Stops picking VMs of a shard on which this process may not act, until the
    next routing_refresh or a tick after RECHECK_INTERVAL. */
static void
exclude_shard (routing_t *routing, usec_t now, uint32_t shard)
{
  routing->recheck_at = now + RECHECK_INTERVAL;
  for (handle_t h = limits_next (routing->limits, HANDLE_NONE);
       h != HANDLE_NONE; h = limits_next (routing->limits, h))
    if (limits_vm (routing->limits, h)->shard == shard)
      limits_set_group (routing->limits, h, LIMITS_GROUP_NONE, 0);
}

static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_timer_t *x = a;
  const request_timer_t *y = b;

  (void)data;
  return (x->due > y->due) - (x->due < y->due);
}

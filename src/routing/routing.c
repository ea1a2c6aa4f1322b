/** @file
 * Admission, queueing and choice of the VM or peer.
 */
#include "routing/routing.h"

#include "base/counters.h"
#include "base/messages.h"

#include <string.h>

/* Groups of the limits module: VMs of the own availability zone come first. */
#define GROUP_NEAR 1U
#define GROUP_FAR 2U

#define RETRY_COST 100U          /* tokens; a request earns retry_percent */
#define RETRY_TOKENS_MAX 10000U  /* 100 retries in a burst */
#define RETRY_TOKENS_START 1000U /* 10 retries before any load */
#define RETRY_DOUBLINGS 6U       /* of the backoff, at most */
#define MIN_SAMPLES 8U           /* run times before a class is known */
#define RUN_TIME_SHIFT 4         /* a new run time counts a sixteenth */
#define RETRY_AFTER_MIN (100 * USEC_PER_MSEC)
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
  uint64_t samples;
  usec_t mean;
} class_t;

typedef struct
{
  class_t *class;
  uint32_t priority;
  uint32_t hops;
  usec_t deadline;
  usec_t run_limit;
  uint64_t sequence; /* order of arrival */
  GSequenceIter *queued;
  GSequenceIter *timer;
  usec_t due; /* of the timer */
  handle_t self;
  handle_t vm;
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
  uint64_t free_slots; /* reported, less what was forwarded since */
  uint64_t queued;
  usec_t delay;
  bool usable;
} peer_t;

struct routing
{
  routing_config_t config;
  limits_t *limits;
  GRand *random;
  routing_ops_t ops;
  void *ctx;
  table_t *requests;
  GHashTable *classes; /* name -> class_t */
  GSequence *queue;    /* handles by priority, deadline */
  GSequence *timers;   /* handles by due time */
  GArray *peers;       /* peer_t */
  uint64_t sequence;
  uint64_t tokens;
  usec_t mean; /* run time over all classes */
  usec_t recheck_at;
  bool pumping;
};

static request_t *request_of (const routing_t *routing, handle_t request);
static request_t *request_new (routing_t *routing, const request_info_t *info);
static void request_remove (routing_t *routing, handle_t request);
static class_t *class_of (routing_t *routing, const char *name);
static void class_free (gpointer data);
static void learn (routing_t *routing, class_t *class, usec_t run_time);
static usec_t expected_run (const class_t *class);
static usec_t expected_wait (const routing_t *routing, const request_t *r);
static usec_t retry_after (const routing_t *routing);
static void give_up (routing_t *routing, usec_t now, handle_t request);
static void enqueue (routing_t *routing, handle_t request);
static void dequeue (request_t *r);
static void set_timer (routing_t *routing, handle_t request, usec_t due);
static bool place (routing_t *routing, usec_t now, handle_t request);
static handle_t pick_vm (routing_t *routing, usec_t now);
static peer_t *pick_peer (const routing_t *routing);
static void pump (routing_t *routing, usec_t now);
static void retry (routing_t *routing, usec_t now, handle_t request,
                   usec_t wait);
static void refresh_groups (routing_t *routing);
static void drop_shard (routing_t *routing, usec_t now, uint32_t shard);
static gint by_order (gconstpointer a, gconstpointer b, gpointer data);
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
  routing->queue = g_sequence_new (NULL);
  routing->timers = g_sequence_new (NULL);
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
  g_sequence_free (routing->queue);
  g_sequence_free (routing->timers);
  g_array_free (routing->peers, TRUE);
  g_free (routing);
}

handle_t
routing_submit (routing_t *routing, usec_t now, const request_info_t *info)
{
  request_t *r = request_new (routing, info);
  handle_t request;

  if (!r)
    return HANDLE_NONE;
  request = r->self;
  routing->tokens = MIN (routing->tokens + routing->config.retry_percent,
                         RETRY_TOKENS_MAX);
  if (now + expected_run (r->class) > r->deadline)
    {
      give_up (routing, now, request);
      return HANDLE_NONE;
    }
  if (!routing_queued (routing) && place (routing, now, request))
    return request;
  enqueue (routing, request);
  pump (routing, now);
  r = request_of (routing, request);
  if (!r || r->state != REQUEST_WAITING)
    return r ? request : HANDLE_NONE;
  if (now + expected_wait (routing, r) + expected_run (r->class) > r->deadline)
    {
      give_up (routing, now, request);
      return HANDLE_NONE;
    }
  if (routing_queued (routing) > routing->config.max_queue)
    {
      GSequenceIter *end = g_sequence_get_end_iter (routing->queue);
      GSequenceIter *last = g_sequence_iter_prev (end);

      give_up (routing, now, GPOINTER_TO_UINT (g_sequence_get (last)));
    }
  return request_of (routing, request) ? request : HANDLE_NONE;
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
  if (end == ATTEMPT_CUT)
    limits_linger (routing->limits, r->vm, now + r->run_limit);
  else
    limits_give (routing->limits, r->vm);
  r->vm = HANDLE_NONE;
  if (end == ATTEMPT_RAN)
    learn (routing, r->class, run_time);
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

  if (!r || r->state != REQUEST_FORWARDED)
    return;
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    {
      request_remove (routing, request);
      return;
    }
  /* After a cut the peer may still start the work at any time until the
     deadline, so that a second attempt could overlap it. */
  if (end == ATTEMPT_CUT)
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
routing_peer (routing_t *routing, usec_t now, node_id_t peer, uint32_t zone,
              uint64_t free_slots, uint64_t queued, usec_t link_delay,
              bool usable)
{
  peer_t row = { .node = peer,
                 .zone = zone,
                 .free_slots = free_slots,
                 .queued = queued,
                 .delay = link_delay,
                 .usable = usable };
  guint i = 0;

  while (i < routing->peers->len
         && g_array_index (routing->peers, peer_t, i).node != peer)
    i++;
  if (i == routing->peers->len)
    g_array_append_val (routing->peers, row);
  else
    g_array_index (routing->peers, peer_t, i) = row;
  pump (routing, now);
}

void
routing_kick (routing_t *routing, usec_t now)
{
  refresh_groups (routing);
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
  return (uint64_t)g_sequence_get_length (routing->queue);
}

usec_t
routing_tick (routing_t *routing, usec_t now)
{
  usec_t next = limits_tick (routing->limits, now);

  if (routing->recheck_at != USEC_NEVER && routing->recheck_at <= now)
    {
      routing->recheck_at = USEC_NEVER;
      refresh_groups (routing);
    }
  while (!g_sequence_is_empty (routing->timers))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (routing->timers);
      handle_t request = GPOINTER_TO_UINT (g_sequence_get (first));
      request_t *r = request_of (routing, request);

      if (r->due > now)
        break;
      if (r->state == REQUEST_BACKOFF)
        enqueue (routing, request);
      else
        give_up (routing, now, request);
    }
  pump (routing, now);
  if (!g_sequence_is_empty (routing->timers))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (routing->timers);
      handle_t request = GPOINTER_TO_UINT (g_sequence_get (first));
      usec_t due = request_of (routing, request)->due;

      next = next == USEC_NEVER ? due : MIN (next, due);
    }
  if (routing->recheck_at != USEC_NEVER)
    next = next == USEC_NEVER ? routing->recheck_at
                              : MIN (next, routing->recheck_at);
  return next;
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
          classes, json_pack ("{s:s,s:I,s:I}", "name", class->name, "samples",
                              (json_int_t) class->samples, "run_time_us",
                              (json_int_t) class->mean));
    }
  return json_pack ("{s:I,s:I,s:I,s:I,s:o,s:o}", "requests",
                    (json_int_t)table_count (routing->requests), "queued",
                    (json_int_t)routing_queued (routing), "free_slots",
                    (json_int_t)routing_free_slots (routing), "retry_tokens",
                    (json_int_t)routing->tokens, "peers", peers, "classes",
                    classes);
}

static request_t *
request_of (const routing_t *routing, handle_t request)
{
  return table_get (routing->requests, request);
}

static request_t *
request_new (routing_t *routing, const request_info_t *info)
{
  handle_t request = table_add (routing->requests);
  request_t *r = request_of (routing, request);

  if (!r)
    return NULL;
  r->self = request;
  r->class = class_of (routing, info->class_name);
  r->priority = info->priority;
  r->hops = info->hops;
  r->deadline = info->deadline;
  r->run_limit = info->run_limit;
  r->idempotent = info->idempotent;
  r->sequence = routing->sequence++;
  r->state = REQUEST_WAITING;
  return r;
}

static void
request_remove (routing_t *routing, handle_t request)
{
  request_t *r = request_of (routing, request);

  dequeue (r);
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

static void
learn (routing_t *routing, class_t *class, usec_t run_time)
{
  if (!class->samples++)
    class->mean = run_time;
  class->mean += (run_time - class->mean) >> RUN_TIME_SHIFT;
  if (!routing->mean)
    routing->mean = run_time;
  routing->mean += (run_time - routing->mean) >> RUN_TIME_SHIFT;
}

/** @return 0 until enough run times of the class have been seen */
static usec_t
expected_run (const class_t *class)
{
  return class->samples < MIN_SAMPLES ? 0 : class->mean;
}

/** Time until the requests before R have got a slot, from the run times and
    the slots of this process; 0 while it has none. */
static usec_t
expected_wait (const routing_t *routing, const request_t *r)
{
  uint64_t slots = limits_capacity (routing->limits, GROUP_NEAR)
                   + limits_capacity (routing->limits, GROUP_FAR);
  gint ahead = r->queued ? g_sequence_iter_get_position (r->queued) : 0;

  return slots ? (ahead + 1) * routing->mean / (usec_t)slots : 0;
}

/** When a refused caller may come back: after the queue has drained, spread
    over twice that time. */
static usec_t
retry_after (const routing_t *routing)
{
  uint64_t slots = limits_capacity (routing->limits, GROUP_NEAR)
                   + limits_capacity (routing->limits, GROUP_FAR);
  usec_t drain = slots ? (usec_t)routing_queued (routing) * routing->mean
                             / (usec_t)slots
                       : USEC_PER_SEC;

  drain = MAX (drain, RETRY_AFTER_MIN);
  return (usec_t)((double)drain
                  * g_rand_double_range (routing->random, 1.0, 3.0));
}

static void
give_up (routing_t *routing, usec_t now, handle_t request)
{
  request_t *r = request_of (routing, request);
  bool may_have_run = r->may_have_run;
  bool abandoned = r->abandoned;

  dequeue (r);
  if (!abandoned)
    routing->ops.give_up (routing->ctx, now, request,
                          may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                          may_have_run ? 0 : retry_after (routing));
  table_remove (routing->requests, request);
}

/** Puts the request into the queue; its timer is the latest start that can
    meet the deadline. */
static void
enqueue (routing_t *routing, handle_t request)
{
  request_t *r = request_of (routing, request);

  dequeue (r);
  r->state = REQUEST_WAITING;
  r->queued = g_sequence_insert_sorted (
      routing->queue, GUINT_TO_POINTER (request), by_order, routing);
  set_timer (routing, request, r->deadline - expected_run (r->class) + 1);
}

static void
dequeue (request_t *r)
{
  if (r->queued)
    g_sequence_remove (r->queued);
  if (r->timer)
    g_sequence_remove (r->timer);
  r->queued = NULL;
  r->timer = NULL;
}

static void
set_timer (routing_t *routing, handle_t request, usec_t due)
{
  request_t *r = request_of (routing, request);

  r->due = due;
  r->timer = g_sequence_insert_sorted (
      routing->timers, GUINT_TO_POINTER (request), by_due, routing);
}

/** Sends a request to a VM or a peer. @return false if none has room */
static bool
place (routing_t *routing, usec_t now, handle_t request)
{
  handle_t vm = pick_vm (routing, now);
  request_t *r = request_of (routing, request);
  peer_t *peer;

  if (vm != HANDLE_NONE)
    {
      dequeue (r);
      r->state = REQUEST_RUNNING;
      r->vm = vm;
      r->attempts++;
      routing->ops.dispatch (routing->ctx, now, request, vm);
      return true;
    }
  peer = r->hops ? NULL : pick_peer (routing);
  if (!peer)
    return false;
  dequeue (r);
  r->state = REQUEST_FORWARDED;
  peer->free_slots--;
  routing->ops.forward (routing->ctx, now, request, peer->node);
  return true;
}

/** @return a VM of which a slot was taken, HANDLE_NONE if all are full */
static handle_t
pick_vm (routing_t *routing, usec_t now)
{
  for (uint32_t group = GROUP_NEAR; group <= GROUP_FAR; group++)
    {
      handle_t vm = limits_pick (routing->limits, group);

      while (vm != HANDLE_NONE)
        {
          uint32_t shard = limits_vm (routing->limits, vm)->shard;

          if (routing->ops.may_act (routing->ctx, shard)
              && limits_take (routing->limits, vm) == 0)
            return vm;
          drop_shard (routing, now, shard);
          vm = limits_pick (routing->limits, group);
        }
    }
  return HANDLE_NONE;
}

static peer_t *
pick_peer (const routing_t *routing)
{
  peer_t *best = NULL;

  for (guint i = 0; i < routing->peers->len; i++)
    {
      peer_t *peer = &g_array_index (routing->peers, peer_t, i);

      if (peer->usable && peer->free_slots
          && (!best || peer->free_slots > best->free_slots))
        best = peer;
    }
  return best;
}

/** Places waiting requests as long as there is room.  A callback that calls
    back in finds the guard set, and the loop here goes on for it. */
static void
pump (routing_t *routing, usec_t now)
{
  if (routing->pumping)
    return;
  routing->pumping = true;
  while (!g_sequence_is_empty (routing->queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (routing->queue);

      if (!place (routing, now, GPOINTER_TO_UINT (g_sequence_get (first))))
        break;
    }
  routing->pumping = false;
}

/** Lets the request wait and then try again, if its deadline and the retry
    budget allow that; else gives it up. */
static void
retry (routing_t *routing, usec_t now, handle_t request, usec_t wait)
{
  request_t *r = request_of (routing, request);

  if (r->abandoned || routing->tokens < RETRY_COST
      || now + wait + expected_run (r->class) > r->deadline)
    {
      give_up (routing, now, request);
      return;
    }
  routing->tokens -= RETRY_COST;
  counter_add (COUNTER_RETRIES, 1);
  r->state = REQUEST_BACKOFF;
  set_timer (routing, request, now + wait);
}

/** Puts each VM into the group from which it may be picked. */
static void
refresh_groups (routing_t *routing)
{
  for (handle_t h = limits_next (routing->limits, HANDLE_NONE);
       h != HANDLE_NONE; h = limits_next (routing->limits, h))
    {
      const vm_t *vm = limits_vm (routing->limits, h);
      uint32_t group
          = vm->zone == routing->config.zone ? GROUP_NEAR : GROUP_FAR;

      if (!routing->ops.may_act (routing->ctx, vm->shard))
        group = LIMITS_GROUP_NONE;
      limits_assign (routing->limits, h, group, 0);
    }
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
      limits_assign (routing->limits, h, LIMITS_GROUP_NONE, 0);
}

static gint
by_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = request_of (data, GPOINTER_TO_UINT (a));
  const request_t *y = request_of (data, GPOINTER_TO_UINT (b));

  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static gint
by_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = request_of (data, GPOINTER_TO_UINT (a));
  const request_t *y = request_of (data, GPOINTER_TO_UINT (b));

  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

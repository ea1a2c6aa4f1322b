/** @file
 * The real routing_t and limits_t of every entry process of a site, each
 * with its own shards, and load reports that arrive late.
 */
#include "routing_policies.h"

#include "base/messages.h"

#include <stdio.h>
#include <xxhash.h>

#define REPORT_INTERVAL (250 * USEC_PER_MSEC) /* heartbeat */
#define TICK_INTERVAL (5 * USEC_PER_MSEC)
#define DRAIN_TIME (1500 * USEC_PER_MSEC)
#define MAX_QUEUE 2000U
#define MAX_SHARDS 64U
#define NO_OWNER UINT32_MAX

typedef struct
{
  world_t *world;
  uint32_t id;
  limits_t *limits;
  routing_t *routing;
  GRand *random;
  handle_t vms[WORLD_MAX_INSTANCES];
} node_t;

typedef struct
{
  node_t nodes[WORLD_MAX_NODES];
  uint32_t owner[MAX_SHARDS];
  usec_t acts_from[MAX_SHARDS];
} site_state_t;

static void start (world_t *world);
static void stop (world_t *world);
static void submit (world_t *world, uint32_t job);
static void ended (world_t *world, uint32_t job, attempt_end_t end);
static void event (world_t *world, const event_t *event);
static void on_report_due (world_t *world, const event_t *event);
static void report (world_t *world, uint32_t from);
static void on_detected (world_t *world, const event_t *event);
static handle_t submit_at (world_t *world, uint32_t node, uint32_t job,
                           uint32_t hops, usec_t deadline);
static void assign_shards (world_t *world, usec_t wait);
static void lose_peer (world_t *world, uint32_t node, uint32_t peer);
static void result (world_t *world, uint32_t job, attempt_end_t end);
static void dispatch (void *ctx, usec_t now, handle_t request, handle_t vm);
static void forward (void *ctx, usec_t now, handle_t request, node_id_t peer);
static void give_up (void *ctx, usec_t now, handle_t request, int outcome,
                     usec_t retry_after);
static bool may_act (void *ctx, uint32_t shard);
static node_t *node_of (const world_t *world, uint32_t node);

const policy_t routing_nodes_policy
    = { "limpethinge", start, stop, submit, ended, event };

static void
start (world_t *world)
{
  static const routing_ops_t ops = { dispatch, forward, give_up, may_act };
  site_state_t *state = g_new0 (site_state_t, 1);

  world->state = state;
  assign_shards (world, 0);
  for (uint32_t i = 0; i < world->site->nodes; i++)
    {
      routing_config_t config = { .zone = world_node_zone (world, i),
                                  .max_queue = MAX_QUEUE,
                                  .retry_min = 5 * USEC_PER_MSEC,
                                  .retry_percent = 10 };
      node_t *node = &state->nodes[i];

      node->world = world;
      node->id = i;
      node->limits = limits_new ();
      node->random = g_rand_new_with_seed (g_rand_int (world->random));
      for (uint32_t k = 0; k < world->site->instances; k++)
        {
          const instance_t *instance = &world->instances[k];
          vm_t vm = { .zone = instance->zone,
                      .shard = instance->shard,
                      .slots = world->site->slots,
                      .connections = 64,
                      .state = instance->away ? VM_GONE : VM_LIVE };

          snprintf (vm.id, sizeof vm.id, "%s", instance->id);
          snprintf (vm.address, sizeof vm.address, "%u", k);
          node->vms[k] = limits_set_vm (node->limits, &vm);
        }
      node->routing
          = routing_new (&config, node->limits, node->random, &ops, node);
      world_post (world, i * REPORT_INTERVAL / world->site->nodes,
                  EVENT_REPORT_DUE, i, 0, 0, 0);
      world_post (world, (usec_t)i * 100, EVENT_TICK, i, 0, 0, 0);
    }
}

static void
stop (world_t *world)
{
  site_state_t *state = world->state;

  for (uint32_t i = 0; i < world->site->nodes; i++)
    {
      routing_free (state->nodes[i].routing);
      limits_free (state->nodes[i].limits);
      g_rand_free (state->nodes[i].random);
    }
  g_free (state);
}

static void
submit (world_t *world, uint32_t job)
{
  const job_t *j = world_job (world, job);

  submit_at (world, j->origin, job, 0, j->deadline);
}

static void
ended (world_t *world, uint32_t job, attempt_end_t end)
{
  const job_t *j = world_job (world, job);
  uint32_t sender = j->sender;
  usec_t run_time = world->now - j->started;

  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    result (world, job, end);
  routing_attempt_ended (node_of (world, sender)->routing, world->now,
                         j->run_handle, end, run_time);
}

static void
event (world_t *world, const event_t *event)
{
  const job_t *j;
  uint32_t node = event->a;

  switch (event->kind)
    {
    case EVENT_TICK:
      if (!world->alive[node])
        break;
      routing_tick (node_of (world, node)->routing, world->now);
      if (routing_report_due (node_of (world, node)->routing, world->now))
        report (world, node);
      world_post (world, world->now + TICK_INTERVAL, EVENT_TICK, node, 0, 0,
                  0);
      break;
    case EVENT_REPORT_DUE:
      on_report_due (world, event);
      break;
    case EVENT_REPORT:
      if (world->alive[event->b])
        routing_update_peer (node_of (world, event->b)->routing, world->now,
                             event->a, world_node_zone (world, event->a),
                             event->c, event->d,
                             world_node_zone (world, event->a)
                                     == world_node_zone (world, event->b)
                                 ? world->site->local_delay
                                 : world->site->zone_delay,
                             true);
      break;
    case EVENT_FORWARD:
      if (world->alive[event->b])
        submit_at (world, event->b, event->a, 1,
                   world->now + (usec_t)event->c);
      break;
    case EVENT_RESULT:
      j = world_job (world, event->a);
      if (!world->alive[j->origin])
        break;
      if (event->b == ATTEMPT_RAN || event->b == ATTEMPT_FAILED)
        world_finish (world, event->a,
                      event->b == ATTEMPT_RAN ? JOB_RAN : JOB_FAILED);
      routing_forward_ended (node_of (world, j->origin)->routing, world->now,
                             j->forward_handle, (attempt_end_t)event->b);
      break;
    case EVENT_DETECTED:
      on_detected (world, event);
      break;
    case EVENT_TAKEOVER:
      for (uint32_t i = 0; i < world->site->nodes; i++)
        if (world->alive[i])
          routing_refresh (node_of (world, i)->routing, world->now);
      break;
    default:
      break;
    }
}

static void
on_report_due (world_t *world, const event_t *event)
{
  if (!world->alive[event->a])
    return;
  report (world, event->a);
  world_post (world, world->now + REPORT_INTERVAL, EVENT_REPORT_DUE, event->a,
              0, 0, 0);
}

/** Sends a load report to all peers. */
static void
report (world_t *world, uint32_t from)
{
  const routing_t *routing = node_of (world, from)->routing;

  for (uint32_t to = 0; to < world->site->nodes; to++)
    {
      usec_t delay = world_link (world, world_node_zone (world, from),
                                 world_node_zone (world, to));

      if (to == from || delay < 0)
        continue;
      world->reports++;
      world_post (world, world->now + delay, EVENT_REPORT, from, to,
                  (uint32_t)routing_free_slots (routing),
                  (uint32_t)routing_backlog (routing));
    }
}

/** Peers noticed a fault: killed processes lose their shards, a zone that is
    cut off keeps them. */
static void
on_detected (world_t *world, const event_t *event)
{
  bool killed = world->scenario->fault == FAULT_KILL;

  for (uint32_t a = 0; a < world->site->nodes; a++)
    for (uint32_t b = 0; b < world->site->nodes; b++)
      {
        bool apart = (world_node_zone (world, a) == 0)
                     != (world_node_zone (world, b) == 0);

        if (world->alive[a] && a != b
            && ((killed && !world->alive[b])
                || (!killed && apart && !event->a)))
          lose_peer (world, a, b);
      }
  if (!killed)
    return;
  assign_shards (world, DRAIN_TIME);
  world_post (world, world->now + DRAIN_TIME, EVENT_TAKEOVER, 0, 0, 0, 0);
}

static void
lose_peer (world_t *world, uint32_t node, uint32_t peer)
{
  routing_t *routing = node_of (world, node)->routing;

  routing_update_peer (routing, world->now, peer,
                       world_node_zone (world, peer), 0, 0,
                       world->site->zone_delay, false);
  for (uint32_t i = 0; i < world->jobs->len; i++)
    {
      const job_t *j = world_job (world, i);

      if (j->state == JOB_OPEN && j->origin == node && j->forwarded
          && j->peer == peer)
        routing_forward_ended (routing, world->now, j->forward_handle,
                               ATTEMPT_NO_ANSWER);
    }
}

static handle_t
submit_at (world_t *world, uint32_t node, uint32_t job, uint32_t hops,
           usec_t deadline)
{
  static const char *const members[WORLD_MEMBERS]
      = { "a", "b", "c", "d", "e", "f" };
  const job_t *j = world_job (world, job);
  const work_t *work = &world->site->work[j->kind];
  request_info_t info = { .class_name = work->name,
                          .member = members[j->member],
                          .priority = work->priority,
                          .weight = 1,
                          .deadline = deadline,
                          .run_limit = work->run_limit,
                          .idempotent = work->idempotent,
                          .hops = hops,
                          .tag = job };

  return routing_submit (node_of (world, node)->routing, world->now, &info);
}

/** Gives every shard to the live node with the highest weight in its zone,
    else anywhere.  A new owner acts after WAIT. */
static void
assign_shards (world_t *world, usec_t wait)
{
  site_state_t *state = world->state;

  for (uint32_t shard = 0; shard < MAX_SHARDS; shard++)
    {
      uint32_t zone = shard / WORLD_SHARDS_PER_ZONE;
      uint32_t best = NO_OWNER;
      uint64_t best_weight = 0;

      for (uint32_t n = 0; n < world->site->nodes; n++)
        {
          uint32_t key[] = { shard, n };
          bool near = world_node_zone (world, n) == zone;
          uint64_t weight
              = (XXH64 (key, sizeof key, 0) >> 1) | ((uint64_t)near << 63);

          if (world->alive[n] && (best == NO_OWNER || weight > best_weight))
            {
              best = n;
              best_weight = weight;
            }
        }
      if (best != state->owner[shard])
        state->acts_from[shard] = world->now + wait;
      state->owner[shard] = best;
    }
}

/** An answer goes back to the process that the job came to. */
static void
result (world_t *world, uint32_t job, attempt_end_t end)
{
  const job_t *j = world_job (world, job);
  usec_t delay;

  if (j->sender == j->origin)
    {
      world_finish (world, job, end == ATTEMPT_RAN ? JOB_RAN : JOB_FAILED);
      return;
    }
  delay = world_link (world, world_node_zone (world, j->sender),
                      world_node_zone (world, j->origin));
  if (delay >= 0)
    world_post (world, world->now + delay, EVENT_RESULT, job, end, 0, 0);
}

static void
dispatch (void *ctx, usec_t now, handle_t request, handle_t vm)
{
  node_t *node = ctx;
  uint32_t job = (uint32_t)routing_tag (node->routing, request);
  const char *address = limits_vm (node->limits, vm)->address;

  (void)now;
  world_job (node->world, job)->run_handle = request;
  world_send (node->world, job, (uint32_t)g_ascii_strtoull (address, NULL, 10),
              node->id);
}

static void
forward (void *ctx, usec_t now, handle_t request, node_id_t peer)
{
  node_t *node = ctx;
  world_t *world = node->world;
  uint32_t job = (uint32_t)routing_tag (node->routing, request);
  job_t *j = world_job (world, job);
  usec_t delay = world_link (world, world_node_zone (world, node->id),
                             world_node_zone (world, peer));

  j->forward_handle = request;
  j->forwarded = true;
  j->peer = peer;
  j->sender = peer;
  world->forwards++;
  if (delay >= 0)
    world_post (world, now + delay, EVENT_FORWARD, job, peer,
                (uint32_t)MAX (j->deadline - now, 0), 0);
}

static void
give_up (void *ctx, usec_t now, handle_t request, int outcome,
         usec_t retry_after)
{
  node_t *node = ctx;
  world_t *world = node->world;
  uint32_t job = (uint32_t)routing_tag (node->routing, request);
  job_t *j = world_job (world, job);

  (void)now;
  j->retry_after = retry_after;
  if (j->origin == node->id)
    {
      world_finish (world, job,
                    outcome == OUTCOME_NOT_RUN ? JOB_REFUSED : JOB_UNKNOWN);
      return;
    }
  j->sender = node->id;
  result (world, job,
          outcome == OUTCOME_NOT_RUN ? ATTEMPT_NOT_STARTED
                                     : ATTEMPT_NO_ANSWER);
}

static bool
may_act (void *ctx, uint32_t shard)
{
  const node_t *node = ctx;
  const site_state_t *state = node->world->state;

  return state->owner[shard] == node->id
         && node->world->now >= state->acts_from[shard];
}

static node_t *
node_of (const world_t *world, uint32_t node)
{
  return &((site_state_t *)world->state)->nodes[node];
}

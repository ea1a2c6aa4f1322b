/* Fault matrix of attempts: every fault at every step of an order and of an
   eviction, then all pairs, on a paused clock with two nodes, four fake
   workers and a fake log.  The oracle counts runs on the workers. */
#include "attempts/attempts.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define NODES 2
#define SHARDS 2
#define WORKERS 4
#define MAX_ORDERS 24
#define MAX_RUNS 64
#define MAX_EVENTS 400
#define MAX_LOG 500
#define MAX_ATTEMPT 12
#define TARGET 2U /* order on which the points are hit */
#define OTHERS 1U /* further orders of the same class */

#define LINK_DELAY (1 * MS)
#define CALL_TIMEOUT (1000 * MS)
/* The clocks of the workers are slow, by nearly as much as A2 allows. */
#define WORKER_TIME(time) ((time) + (time)*9 / 1000)
#define RUN_TIME (5000 * MS) /* longer than a lease */
#define LONG_RUN (30000 * MS)
#define EVICT_AFTER (1200 * MS)
#define TAKEOVER_KILL (1600 * MS)
#define TAKEOVER_FREEZE (3600 * MS)
#define RESTART (5000 * MS)
#define FREEZE_SHORT (1500 * MS)
#define FREEZE_LONG (12000 * MS)
#define FAULT_TIME (8000 * MS)
#define HANDOVER_BACK (3000 * MS)
#define OVERLAP_MAX (1700 * MS) /* two polls */
#define TURN_TIME (3000 * MS)
#define END_OF_RUN (240000 * MS)

static const attempts_config_t config = { .lease = 4000 * MS,
                                          .renew_interval = 1200 * MS,
                                          .poll_interval = 800 * MS,
                                          .silence_timeout = 2000 * MS,
                                          .retry_interval = 200 * MS,
                                          .placement_interval = 10 * MS,
                                          .turn_check_interval = 1000 * MS,
                                          .max_failures = 3 };

/* Steps at which a fault can strike. */
typedef enum
{
  AT_ACCEPT,
  AT_START_PUT,   /* START goes to the journal */
  AT_START_READ,  /* START was applied by its writer */
  AT_START_SEND,  /* between check and send */
  AT_START_REPLY, /* worker has acted, reply not yet out */
  AT_RUNNING,
  AT_RENEW_SEND,
  AT_RENEW_REPLY,
  AT_RUN_END,
  AT_END_PUT,
  AT_CHECKPOINT_SEND,
  AT_CHECKPOINT_REPLY,
  AT_STOP_SEND,
  AT_STOP_REPLY,
  AT_REQUEUE_PUT,
  AT_RESTART_SEND, /* start of the attempt after the eviction */
  POINT_COUNT
} point_t;

typedef struct world world_t;
typedef struct node node_t;
typedef struct worker worker_t;

typedef struct
{
  const char *name;
  void (*strike) (world_t *world, node_t *node, worker_t *worker);
} fault_t;

typedef enum
{
  CLASS_ONCE,
  CLASS_IDEMPOTENT,
  CLASS_RESUMABLE,
  CLASS_COUNT
} class_t;

static const char *const class_names[] = { "once", "idem", "resumable" };
static const retry_rules_t class_rules[]
    = { { false, false }, { true, false }, { false, true } };

typedef enum
{
  EV_TICK,   /* node */
  EV_ARRIVE, /* call at a worker */
  EV_REPLY,  /* to a node */
  EV_LOG,    /* entry reaches the log */
  EV_READ,   /* node reads up to the end */
  EV_FAILED, /* node is told that an append failed */
  EV_TASK,   /* a task may have ended or lost its lease */
  EV_CLAIM,  /* shards of dead or frozen owners */
  EV_RESTART,
  EV_HANDOVER, /* of a worker's shard, and back */
  EV_MIDRUN,
  EV_EVICT
} event_kind_t;

typedef struct
{
  usec_t at;
  uint64_t seq;
  event_kind_t kind;
  int node;
  unsigned life; /* of the node */
  int worker;
  worker_call_t call;
  bool resumes; /* the call carries a checkpoint */
  reply_outcome_t end;
  int status;
  GBytes *entry;
  uint64_t ticket;
} event_t;

typedef struct
{
  order_id_t order;
  uint64_t attempt;
  report_state_t state;
  uint64_t status;
  usec_t lease_until;
  usec_t run_until;
  bool saved;
} run_t;

struct worker
{
  char id[4];
  uint32_t shard;
  run_t runs[MAX_RUNS];
  size_t run_count;
  uint64_t epoch;
  usec_t watch_at; /* next EV_TASK */
  usec_t silent_until;
  usec_t dead_until;
  usec_t no_lists_until;
  usec_t cut_off_until; /* runs on, but cannot be reached */
  unsigned asked_in;    /* tenure in which it was last asked */
  usec_t fails_until;
  usec_t no_renew_until;
  usec_t leaving_until;
  bool lose_reply;
  bool reply_twice;
  bool reply_late;
};

struct node
{
  world_t *world;
  int index;
  unsigned life;
  bool dead;
  usec_t frozen_until;
  size_t read; /* entries applied */
  orders_t *orders;
  placement_t *placement;
  attempts_t *attempts;
  GRand *random;
  uint64_t epochs[SHARDS];
  bool owns[SHARDS];
  usec_t tick_at;
  bool fail_append; /* the next one is said to have failed */
  bool drop_append; /* and has */
};

typedef struct
{
  GBytes *entry; /* NULL: a claim */
  int node;
  unsigned life;
  uint64_t ticket;
  uint32_t shard;
  uint64_t epoch;
  bool seen; /* its verdict was counted */
} record_t;

typedef struct
{
  unsigned active;
  unsigned starts;
  unsigned finished;
  unsigned starts_of[MAX_ATTEMPT]; /* by attempt */
  int failed_on;                   /* worker, -1 for none */
  uint64_t failed_attempt;
  usec_t overlap_since;
  bool resumed[MAX_ATTEMPT];
  bool evicted[MAX_ATTEMPT];
} runs_t;

struct world
{
  usec_t now;
  uint64_t seq;
  usec_t at[MAX_EVENTS]; /* of the events; apart for quick scans */
  event_t events[MAX_EVENTS];
  size_t event_count;
  record_t log[MAX_LOG];
  size_t log_count;
  usec_t log_down_until;
  node_t nodes[NODES];
  worker_t workers[WORKERS];
  int owner[SHARDS];
  uint64_t epoch[SHARDS];
  runs_t runs[MAX_ORDERS + 1];
  order_id_t next_order;
  class_t class_;
  unsigned owner_life[SHARDS];
  unsigned tenure[SHARDS]; /* counts changes of the owner */
  bool checks_epochs;
  bool exposed; /* two at once are possible, for a short time */
  bool cancelled;
  bool evicted;
  struct
  {
    const fault_t *fault;
    point_t point;
    bool done;
  } plan[2];
  uint64_t next_ticket;
  char problem[120];
};

static void at_point (world_t *world, point_t point, order_id_t order,
                      node_t *node, worker_t *worker);
static void node_tick (node_t *node);
static void workers_watch (world_t *world, worker_t *worker);

static void
complain (world_t *world, const char *what, order_id_t order)
{
  if (!world->problem[0])
    snprintf (world->problem, sizeof world->problem, "%s, order %u", what,
              (unsigned)order);
}

static event_t *
post (world_t *world, usec_t at, event_kind_t kind)
{
  event_t *event;

  if (world->event_count == MAX_EVENTS)
    {
      complain (world, "too many events", 0);
      world->event_count--;
    }
  world->at[world->event_count] = at;
  event = &world->events[world->event_count++];
  *event = (event_t){ .at = at, .seq = world->seq++, .kind = kind };
  return event;
}

static void
post_node (node_t *node, usec_t at, event_kind_t kind)
{
  event_t *event = post (node->world, at, kind);

  event->node = node->index;
  event->life = node->life;
}

static bool
frozen (const node_t *node)
{
  return node->frozen_until > node->world->now;
}

/* ---- callbacks of the node ---- */

static uint64_t
epoch_of (void *ctx, uint32_t shard)
{
  return ((node_t *)ctx)->epochs[shard];
}

static void
order_changed (void *ctx, usec_t now, const order_t *order)
{
  attempts_order_changed (((node_t *)ctx)->attempts, now, order);
}

static bool
may_act (void *ctx, uint32_t shard, uint64_t *epoch)
{
  const node_t *node = (const node_t *)ctx;

  *epoch = node->epochs[shard];
  return !node->dead && !frozen (node)
         && node->world->owner[shard] == node->index;
}

static uint64_t
append (void *ctx, usec_t now, const message_t *entry)
{
  node_t *node = (node_t *)ctx;
  world_t *world = node->world;
  GByteArray *bytes = g_byte_array_new ();
  uint64_t ticket = ++world->next_ticket;
  static const struct
  {
    message_type_t type;
    point_t point;
  } points[] = { { MSG_ORDER_START, AT_START_PUT },
                 { MSG_ORDER_END, AT_END_PUT },
                 { MSG_ORDER_REQUEUE, AT_REQUEUE_PUT } };
  event_t *event;

  message_encode (entry, bytes);
  for (size_t i = 0; i < G_N_ELEMENTS (points); i++)
    if (points[i].type == entry->type) /* order is the first field of each */
      at_point (world, points[i].point, entry->u.order_end.order, node, NULL);
  if (node->dead)
    {
      g_byte_array_free (bytes, TRUE);
      return ticket;
    }
  if (node->drop_append)
    g_byte_array_free (bytes, TRUE);
  else
    {
      event = post (world, MAX (now, node->frozen_until) + LINK_DELAY, EV_LOG);
      event->node = node->index;
      event->life = node->life;
      event->ticket = ticket;
      event->entry = g_byte_array_free_to_bytes (bytes);
    }
  if (node->fail_append || node->drop_append)
    {
      node->fail_append = node->drop_append = false;
      event = post (world, now + 10 * MS, EV_FAILED);
      event->node = node->index;
      event->life = node->life;
      event->ticket = ticket;
    }
  return ticket;
}

static bool
is_turn (void *ctx, usec_t now, const order_t *order)
{
  const node_t *node = (const node_t *)ctx;
  usec_t round = (now - order->accepted_at) / TURN_TIME;
  const node_t *first
      = &node->world->nodes[(order->id + (uint64_t)round) % NODES];

  return first == node || first->dead || frozen (first);
}

static bool
never_fits (void *ctx, const order_t *order)
{
  (void)ctx;
  return order->accelerators > 0;
}

static retry_rules_t
rules_of (void *ctx, const char *name)
{
  (void)ctx;
  for (int i = 0; i < CLASS_COUNT; i++)
    if (strcmp (class_names[i], name) == 0)
      return class_rules[i];
  return class_rules[CLASS_ONCE];
}

static void
send_call (void *ctx, const worker_call_t *call)
{
  node_t *node = (node_t *)ctx;
  world_t *world = node->world;
  worker_t *worker = &world->workers[call->worker[1] - '0'];
  static const int points[] = { [CALL_LIST] = -1,
                                [CALL_START] = AT_START_SEND,
                                [CALL_RENEW] = AT_RENEW_SEND,
                                [CALL_CHECKPOINT] = AT_CHECKPOINT_SEND,
                                [CALL_STOP] = AT_STOP_SEND,
                                [CALL_THROTTLE] = -1 };
  event_t *event;

  if (points[call->kind] >= 0)
    at_point (world, (point_t)points[call->kind], call->order, node, worker);
  if (call->kind == CALL_START && call->attempt > 1)
    at_point (world, AT_RESTART_SEND, call->order, node, worker);
  if (node->dead)
    return;
  event = post (world, MAX (world->now, node->frozen_until) + LINK_DELAY,
                EV_ARRIVE);
  event->node = node->index;
  event->life = node->life;
  event->worker = (int)(worker - world->workers);
  event->call = *call;
  event->resumes = call->checkpoint.len > 0;
}

static const orders_ops_t orders_ops = { order_changed, epoch_of };
static const attempts_ops_t attempts_ops
    = { send_call, may_act, append, is_turn, never_fits, rules_of };
static const placement_ops_t placement_ops = { NULL };

/* ---- nodes and log ---- */

static void
node_begin (node_t *node)
{
  node->life++;
  node->dead = false;
  node->read = 0;
  node->frozen_until = 0;
  node->fail_append = node->drop_append = false;
  node->random = g_rand_new_with_seed (7);
  node->placement = placement_new (node->random, &placement_ops, node);
  node->orders = orders_new (&orders_ops, node);
  node->attempts = attempts_new (&config, &attempts_ops, node, node->orders,
                                 node->placement);
  memset (node->epochs, 0, sizeof node->epochs);
  memset (node->owns, 0, sizeof node->owns);
  node->tick_at = USEC_NEVER;
  for (int i = 0; i < WORKERS; i++)
    {
      const worker_t *worker = &node->world->workers[i];
      worker_info_t info
          = { worker->id, worker->shard, (uint32_t)i, 3000, 3000, 0, false };

      attempts_update_worker (node->attempts, node->world->now, &info,
                              worker->shard);
    }
  post_node (node, node->world->now, EV_READ);
}

/* A fault only marks the node, since it strikes inside a callback. */
static void
node_end (node_t *node)
{
  node->dead = true;
  attempts_free (node->attempts);
  orders_free (node->orders);
  placement_free (node->placement);
  if (node->random)
    g_rand_free (node->random);
  node->attempts = NULL;
  node->orders = NULL;
  node->placement = NULL;
  node->random = NULL;
}

static void
node_claim (node_t *node, const record_t *record)
{
  bool before = node->owns[record->shard];

  node->epochs[record->shard] = record->epoch;
  node->owns[record->shard]
      = record->node == node->index && record->life == node->life;
  if (node->owns[record->shard])
    attempts_shard_gained (node->attempts, node->world->now, record->shard,
                           record->epoch);
  else if (before)
    attempts_shard_lost (node->attempts, node->world->now, record->shard);
}

static void
node_entry (node_t *node, record_t *record)
{
  world_t *world = node->world;
  bool own = record->node == node->index && record->life == node->life;
  message_t message;
  order_apply_result_t verdict;
  order_id_t id;
  gsize len;
  const char *data = (const char *)g_bytes_get_data (record->entry, &len);

  message_decode ((blob_t){ data, (uint32_t)len }, &message, NULL);
  if (own && message.type == MSG_ORDER_START)
    at_point (world, AT_START_READ, message.u.order_start.order, node, NULL);
  if (node->dead || frozen (node))
    return;
  verdict = orders_apply (node->orders, world->now,
                          (uint64_t)(record - world->log), &message, &id);
  node->read++;
  if (own)
    attempts_entry_applied (node->attempts, world->now, record->ticket,
                            verdict);
  if (!record->seen && verdict == ORDER_APPLIED
      && message.type == MSG_ORDER_REQUEUE
      && message.u.order_requeue.reason == REQUEUE_EVICTED)
    {
      world->runs[id].evicted[message.u.order_requeue.attempt] = true;
      world->evicted = true;
    }
  record->seen = true;
}

static void
node_read (node_t *node)
{
  while (!node->dead && !frozen (node) && node->read < node->world->log_count)
    {
      record_t *record = &node->world->log[node->read];

      if (record->entry)
        node_entry (node, record);
      else
        {
          node->read++;
          node_claim (node, record);
        }
    }
}

static void
node_tick (node_t *node)
{
  usec_t at;

  if (node->dead || frozen (node))
    return;
  at = MAX (attempts_tick (node->attempts, node->world->now),
            node->world->now + MS);
  if (node->tick_at > node->world->now && node->tick_at <= at)
    return;
  node->tick_at = at;
  post_node (node, at, EV_TICK);
}

static record_t *
log_add (world_t *world)
{
  if (world->log_count == MAX_LOG)
    {
      complain (world, "too many log entries", 0);
      world->log_count--;
    }
  for (int i = 0; i < NODES; i++)
    if (!world->nodes[i].dead)
      post_node (&world->nodes[i], world->now + LINK_DELAY, EV_READ);
  return &world->log[world->log_count++];
}

static void
claim (world_t *world, uint32_t shard, node_t *node)
{
  if (world->owner[shard] != node->index
      || world->owner_life[shard] != node->life)
    world->tenure[shard]++;
  world->owner[shard] = node->index;
  world->owner_life[shard] = node->life;
  *log_add (world) = (record_t){ .node = node->index,
                                 .life = node->life,
                                 .shard = shard,
                                 .epoch = ++world->epoch[shard] };
}

static bool
usable (const node_t *node)
{
  return !node->dead && !frozen (node);
}

/* Shards whose owner is dead, frozen or restarted go to a usable node. */
static void
reclaim (world_t *world)
{
  bool again = false;

  for (uint32_t shard = 0; shard < SHARDS; shard++)
    {
      node_t *owner = &world->nodes[world->owner[shard]];
      node_t *other = &world->nodes[!world->owner[shard]];

      if (usable (owner) && owner->life == world->owner_life[shard])
        continue;
      if (world->log_down_until <= world->now && usable (other))
        claim (world, shard, other);
      else if (world->log_down_until <= world->now && usable (owner))
        claim (world, shard, owner);
      else
        again = true;
    }
  if (again)
    post (world, world->now + 500 * MS, EV_CLAIM);
}

static void
order_add (world_t *world, class_t class_, uint64_t accelerators)
{
  char key[16];
  order_id_t id = ++world->next_order;
  GByteArray *bytes = g_byte_array_new ();
  message_t message
      = { .type = MSG_ORDER_ACCEPT,
          .u.order_accept = { .order = id,
                              .member = blob_of ("m"),
                              .key = blob_of (key),
                              .class_name = blob_of (class_names[class_]),
                              .team = blob_of ("t"),
                              .millicores = 1000,
                              .memory_mb = 1000,
                              .accelerators = accelerators } };
  event_t *event;

  snprintf (key, sizeof key, "k%u", (unsigned)id);
  message.u.order_accept.key = blob_of (key);
  message_encode (&message, bytes);
  event = post (world, world->now, EV_LOG);
  event->node = -1;
  event->entry = g_byte_array_free_to_bytes (bytes);
}

static void
order_cancel (world_t *world, order_id_t id)
{
  GByteArray *bytes = g_byte_array_new ();
  message_t message
      = { .type = MSG_ORDER_CANCEL, .u.order_cancel = { id, blob_of ("m") } };
  event_t *event;

  message_encode (&message, bytes);
  event = post (world, world->now + 1, EV_LOG);
  event->node = -1;
  event->entry = g_byte_array_free_to_bytes (bytes);
}

/* ---- workers ---- */

static void
run_finish (world_t *world, worker_t *worker, run_t *run, report_state_t state)
{
  runs_t *runs = &world->runs[run->order];

  run->state = state;
  if (runs->active-- > 1 && world->now > runs->overlap_since + OVERLAP_MAX)
    complain (world, "ran in two places for long", run->order);
  if (state != REPORT_ENDED)
    return;
  runs->finished += run->status == 200;
  if (run->status != 200)
    {
      runs->failed_on = (int)(worker - world->workers);
      runs->failed_attempt = run->attempt;
    }
  at_point (world, AT_RUN_END, run->order,
            &world->nodes[world->owner[worker->shard]], worker);
}

static void
worker_update (world_t *world, worker_t *worker)
{
  for (size_t i = 0; i < worker->run_count; i++)
    {
      run_t *run = &worker->runs[i];

      if (run->state != REPORT_RUNNING)
        continue;
      if (world->now >= run->lease_until)
        run_finish (world, worker, run, REPORT_STOPPED);
      else if (world->now >= run->run_until)
        run_finish (world, worker, run, REPORT_ENDED);
    }
  workers_watch (world, worker);
}

static void
workers_watch (world_t *world, worker_t *worker)
{
  usec_t at = INT64_MAX;

  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].state == REPORT_RUNNING)
      at = MIN (at,
                MIN (worker->runs[i].lease_until, worker->runs[i].run_until));
  if (at == INT64_MAX
      || (worker->watch_at > world->now && worker->watch_at <= at))
    return;
  worker->watch_at = at;
  post (world, at, EV_TASK)->worker = (int)(worker - world->workers);
}

static run_t *
run_find (worker_t *worker, order_id_t order, uint64_t attempt)
{
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].order == order && worker->runs[i].attempt == attempt)
      return &worker->runs[i];
  return NULL;
}

/* The oracle: what must never be seen at a worker. */
static void
audit_start (world_t *world, const event_t *event)
{
  runs_t *runs = &world->runs[event->call.order];
  const worker_t *worker = &world->workers[event->worker];
  uint64_t attempt = event->call.attempt;
  unsigned used = 0;

  if (attempt >= MAX_ATTEMPT)
    {
      complain (world, "too many attempts", event->call.order);
      return;
    }
  if (runs->active++)
    {
      runs->overlap_since = world->now;
      if (!world->exposed)
        complain (world, "runs in two places", event->call.order);
    }
  if (runs->failed_on == event->worker && runs->failed_attempt + 1 == attempt)
    complain (world, "tried again where it failed", event->call.order);
  if (worker->asked_in != world->tenure[worker->shard]
      && world->owner[worker->shard] == event->node)
    complain (world, "started before the worker was asked", event->call.order);
  if (runs->starts_of[attempt]++)
    complain (world, "attempt started twice", event->call.order);
  if (runs->starts++ && world->class_ == CLASS_ONCE)
    complain (world, "non-idempotent order run twice", event->call.order);
  runs->resumed[attempt] = event->resumes;
  for (size_t i = 0; i < worker->run_count; i++)
    used += worker->runs[i].state == REPORT_RUNNING;
  if (used >= 3 && !world->exposed)
    complain (world, "worker given more than it holds", event->call.order);
}

static int
worker_start (world_t *world, worker_t *worker, const event_t *event)
{
  run_t *run = run_find (worker, event->call.order, event->call.attempt);
  bool fails = worker->fails_until > world->now;

  if (run)
    return 200;
  if (worker->leaving_until > world->now)
    return 503;
  if (worker->run_count == MAX_RUNS)
    return 503;
  audit_start (world, event);
  run = &worker->runs[worker->run_count++];
  *run = (run_t){ .order = event->call.order,
                  .attempt = event->call.attempt,
                  .status = fails ? 500 : 200,
                  .lease_until = world->now + WORKER_TIME (event->call.lease),
                  .run_until = world->now + (fails ? 100 * MS : RUN_TIME) };
  if (run->order == TARGET && world->runs[TARGET].starts == 1)
    {
      post (world, world->now + EVICT_AFTER / 2, EV_MIDRUN)->worker
          = event->worker;
      if (world->class_ == CLASS_RESUMABLE)
        post (world, world->now + EVICT_AFTER, EV_EVICT);
    }
  return 200;
}

static int
worker_act (world_t *world, worker_t *worker, const event_t *event)
{
  run_t *run = run_find (worker, event->call.order, event->call.attempt);

  if (world->checks_epochs && event->call.epoch < worker->epoch)
    return 409;
  worker->epoch = MAX (worker->epoch, event->call.epoch);
  if (event->call.kind == CALL_LIST)
    {
      if (world->owner[worker->shard] == event->node
          && world->owner_life[worker->shard] == event->life)
        worker->asked_in = world->tenure[worker->shard];
      return 200;
    }
  if (event->call.kind == CALL_START)
    return worker_start (world, worker, event);
  if (!run)
    return 404;
  if (run->state != REPORT_RUNNING)
    return 200;
  if (event->call.kind == CALL_RENEW)
    run->lease_until = world->now + WORKER_TIME (event->call.lease);
  if (event->call.kind == CALL_CHECKPOINT)
    run->saved = true;
  if (event->call.kind == CALL_STOP)
    run_finish (world, worker, run, REPORT_STOPPED);
  return 200;
}

static void
worker_arrive (world_t *world, const event_t *call)
{
  worker_t *worker = &world->workers[call->worker];
  static const int points[] = { [CALL_LIST] = -1,
                                [CALL_START] = AT_START_REPLY,
                                [CALL_RENEW] = AT_RENEW_REPLY,
                                [CALL_CHECKPOINT] = AT_CHECKPOINT_REPLY,
                                [CALL_STOP] = AT_STOP_REPLY,
                                [CALL_THROTTLE] = -1 };
  node_t *node = &world->nodes[call->node];
  event_t reply = *call;
  bool lost;

  worker_update (world, worker);
  reply.kind = EV_REPLY;
  reply.end = REPLY_ANSWERED;
  reply.at = world->now + LINK_DELAY;
  lost = worker->silent_until > world->now
         || (call->call.kind == CALL_RENEW
             && worker->no_renew_until > world->now)
         || (call->call.kind == CALL_LIST
             && worker->no_lists_until > world->now);
  if (worker->dead_until > world->now || worker->cut_off_until > world->now)
    reply.end = REPLY_NOT_SENT;
  else if (!lost)
    {
      reply.status = worker_act (world, worker, call);
      workers_watch (world, worker);
      if (points[call->call.kind] >= 0)
        at_point (world, (point_t)points[call->call.kind], call->call.order,
                  node, worker);
      lost = worker->silent_until > world->now;
    }
  if (lost || (worker->lose_reply && call->call.kind != CALL_LIST))
    {
      worker->lose_reply = lost && worker->lose_reply;
      reply.end = REPLY_LOST;
      reply.at = world->now + CALL_TIMEOUT;
    }
  reply.seq = world->seq;
  *post (world, reply.at, EV_REPLY) = reply;
  if (worker->reply_twice || worker->reply_late)
    {
      reply.at += worker->reply_late ? 3 * CALL_TIMEOUT : 5 * MS;
      reply.end = REPLY_ANSWERED;
      reply.status = reply.status ? reply.status : 200;
      reply.seq = world->seq;
      *post (world, reply.at, EV_REPLY) = reply;
      worker->reply_twice = worker->reply_late = false;
    }
}

static void
reply_deliver (world_t *world, const event_t *event)
{
  node_t *node = &world->nodes[event->node];
  worker_t *worker = &world->workers[event->worker];
  attempt_report_t reports[MAX_RUNS];
  worker_reply_t reply
      = { event->end, event->status, event->status == 503, reports, 0 };

  for (size_t i = 0; i < worker->run_count && event->status == 200
                     && event->end == REPLY_ANSWERED;
       i++)
    {
      const run_t *run = &worker->runs[i];

      if (event->call.kind == CALL_LIST
          || (run->order == event->call.order
              && run->attempt == event->call.attempt))
        reports[reply.count++] = (attempt_report_t){
          .order = run->order,
          .attempt = run->attempt,
          .state = run->state,
          .status = run->status,
          .result = blob_of ("ok"),
          .checkpoint = run->saved ? blob_of ("cp") : (blob_t){ NULL, 0 },
        };
    }
  attempts_handle_reply (node->attempts, world->now, event->call.id, &reply);
}

/* ---- faults ---- */

static void
kill_node (world_t *world, node_t *node, worker_t *worker)
{
  (void)worker;
  if (node->dead)
    return;
  node->dead = true;
  post_node (node, world->now + RESTART, EV_RESTART);
  post (world, world->now + TAKEOVER_KILL, EV_CLAIM);
}

static void
freeze_for (world_t *world, node_t *node, usec_t time)
{
  node->frozen_until = MAX (node->frozen_until, world->now + time);
  post (world, world->now + TAKEOVER_FREEZE, EV_CLAIM);
}

static void
freeze_short (world_t *world, node_t *node, worker_t *worker)
{
  (void)worker;
  freeze_for (world, node, FREEZE_SHORT);
}

static void
freeze_long (world_t *world, node_t *node, worker_t *worker)
{
  (void)worker;
  freeze_for (world, node, FREEZE_LONG);
}

static void
worker_silent (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->silent_until = world->now + FAULT_TIME;
}

static void
worker_dead (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->dead_until = world->now + FAULT_TIME;
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].state == REPORT_RUNNING)
      world->runs[worker->runs[i].order].active--;
  worker->run_count = 0;
  worker->epoch = 0;
}

static void
lose_reply (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)node;
  worker->lose_reply = true;
}

static void
log_down (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  (void)worker;
  world->log_down_until = world->now + FAULT_TIME;
}

static void
append_said_failed (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)worker;
  node->fail_append = true;
}

static void
append_dropped (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)worker;
  node->drop_append = true;
}

static void
worker_cut_off (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->cut_off_until = world->now + FAULT_TIME;
}

static void
hand_over (world_t *world, node_t *node, worker_t *worker)
{
  event_t *event = post (world, world->now + MS, EV_HANDOVER);

  (void)node;
  event->worker = (int)(worker - world->workers);
  event->call.attempt = 2;
}

static void
reply_twice (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)node;
  worker->reply_twice = true;
}

static void
reply_late (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)node;
  worker->lose_reply = worker->reply_late = true;
}

static void
renewals_lost (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->no_renew_until = world->now + FAULT_TIME;
}

static void
lists_lost (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->no_lists_until = world->now + FAULT_TIME;
}

static void
cancel_burst (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  (void)worker;
  world->cancelled = true;
  for (order_id_t id = 1; id <= world->next_order; id++)
    order_cancel (world, id);
}

static void
worker_fails (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->fails_until = world->now + FAULT_TIME;
  for (size_t i = 0; i < worker->run_count; i++)
    worker->runs[i].status = worker->runs[i].state == REPORT_RUNNING
                                 ? 500
                                 : worker->runs[i].status;
}

static void
impossible (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  (void)worker;
  for (int i = 0; i < 3 && world->next_order < MAX_ORDERS; i++)
    order_add (world, world->class_, 1);
}

static void
straggler (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].state == REPORT_RUNNING)
      worker->runs[i].run_until = world->now + LONG_RUN;
}

static void
claim_renewed (world_t *world, node_t *node, worker_t *worker)
{
  uint32_t shard = worker->shard;

  if (world->owner[shard] == node->index && usable (node)
      && world->log_down_until <= world->now)
    claim (world, shard, node);
}

static void
worker_leaves (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->leaving_until = world->now + FAULT_TIME;
}

static const fault_t faults[] = {
  { "owner killed", kill_node },
  { "owner frozen 1.5 s", freeze_short },
  { "owner frozen 12 s", freeze_long },
  { "worker silent", worker_silent },
  { "worker dead", worker_dead },
  { "reply lost after effect", lose_reply },
  { "log down", log_down },
  { "append said to have failed", append_said_failed },
  { "append dropped", append_dropped },
  { "worker cut off", worker_cut_off },
  { "shard handed over and back", hand_over },
  { "reply repeated", reply_twice },
  { "reply late", reply_late },
  { "renewals lost", renewals_lost },
  { "lists lost", lists_lost },
  { "cancel burst", cancel_burst },
  { "worker fails all", worker_fails },
  { "impossible jobs", impossible },
  { "straggler", straggler },
  { "own claim renewed", claim_renewed },
  { "worker leaves", worker_leaves },
};

static const char *const point_names[POINT_COUNT]
    = { "accept",      "start put",  "start read",      "start send",
        "start reply", "running",    "renew send",      "renew reply",
        "run end",     "end put",    "checkpoint send", "checkpoint reply",
        "stop send",   "stop reply", "requeue put",     "restart send" };

static void
at_point (world_t *world, point_t point, order_id_t order, node_t *node,
          worker_t *worker)
{
  if (order != TARGET)
    return;
  if (!worker)
    worker = &world->workers[node->owns[0] ? 0 : 2];
  for (size_t i = 0; i < G_N_ELEMENTS (world->plan); i++)
    if (world->plan[i].fault && !world->plan[i].done
        && world->plan[i].point == point)
      {
        world->plan[i].done = true;
        world->plan[i].fault->strike (world, node, worker);
      }
}

/* ---- running one case ---- */

static void
evict (world_t *world)
{
  for (int i = 0; i < NODES && !world->evicted; i++)
    {
      node_t *node = &world->nodes[i];
      const order_t *order
          = usable (node) ? orders_get (node->orders, TARGET) : NULL;

      if (order && order->state == ORDER_STARTED && node->owns[order->shard])
        attempts_relieve (node->attempts, world->now, order->worker, TARGET,
                          order->attempt, ACTION_EVICT);
    }
}

/* Call.attempt counts the handovers left, call.order the tries. */
static void
handover_step (world_t *world, const event_t *event)
{
  uint32_t shard = world->workers[event->worker].shard;
  node_t *owner = &world->nodes[world->owner[shard]];
  node_t *other = &world->nodes[!world->owner[shard]];
  event_t again = *event;

  if (!usable (owner) || !owner->owns[shard])
    return;
  if (!usable (other) || world->log_down_until > world->now
      || event->call.order > 200)
    {
      attempts_quiesce_shard (owner->attempts, world->now, shard, false);
      return;
    }
  attempts_quiesce_shard (owner->attempts, world->now, shard, true);
  again.call.order++;
  again.at = world->now + 20 * MS;
  if (attempts_shard_idle (owner->attempts, shard))
    {
      owner->owns[shard] = false;
      attempts_shard_lost (owner->attempts, world->now, shard);
      claim (world, shard, other);
      again.at = world->now + HANDOVER_BACK;
      again.call.order = 0;
      if (!--again.call.attempt)
        return;
    }
  again.seq = world->seq;
  *post (world, again.at, EV_HANDOVER) = again;
}

static void
log_arrive (world_t *world, const event_t *event)
{
  node_t *node = event->node < 0 ? NULL : &world->nodes[event->node];
  event_t again = *event;

  if (world->log_down_until > world->now)
    {
      if (node && (node->dead || node->life != event->life))
        {
          g_bytes_unref (event->entry);
          return;
        }
      again.at = world->log_down_until + MS;
      again.seq = world->seq;
      *post (world, again.at, EV_LOG) = again;
      return;
    }
  *log_add (world) = (record_t){ .entry = event->entry,
                                 .node = event->node,
                                 .life = event->life,
                                 .ticket = event->ticket };
}

static void
node_event (world_t *world, node_t *node, const event_t *event)
{
  if (event->kind == EV_READ && world->log_down_until > world->now)
    post_node (node, world->log_down_until + MS, EV_READ);
  else if (event->kind == EV_READ)
    node_read (node);
  else if (event->kind == EV_REPLY)
    reply_deliver (world, event);
  else if (event->kind == EV_FAILED)
    attempts_append_failed (node->attempts, world->now, event->ticket);
  else if (event->kind == EV_TICK && node->tick_at == event->at)
    node->tick_at = USEC_NEVER;
  else if (event->kind == EV_TICK)
    return;
  node_tick (node);
}

static void
world_event (world_t *world, const event_t *event)
{
  worker_t *worker = &world->workers[event->worker];

  switch (event->kind)
    {
    case EV_ARRIVE:
      worker_arrive (world, event);
      break;
    case EV_LOG:
      log_arrive (world, event);
      break;
    case EV_TASK:
      if (worker->watch_at == event->at)
        worker_update (world, worker);
      break;
    case EV_CLAIM:
      reclaim (world);
      break;
    case EV_HANDOVER:
      handover_step (world, event);
      break;
    case EV_RESTART:
      node_begin (&world->nodes[event->node]);
      post (world, world->now + TAKEOVER_KILL, EV_CLAIM);
      break;
    case EV_MIDRUN:
      at_point (world, AT_RUNNING, TARGET,
                &world->nodes[world->owner[worker->shard]], worker);
      break;
    default:
      evict (world);
      if (!world->evicted && world->now < END_OF_RUN / 2)
        post (world, world->now + 500 * MS, EV_EVICT);
    }
}

static bool
all_ended (const world_t *world)
{
  for (int i = 0; i < NODES; i++)
    {
      const node_t *node = &world->nodes[i];

      if (!usable (node) || node->read != world->log_count)
        return false;
      for (order_id_t id = 1; id <= world->next_order; id++)
        if (!orders_get (node->orders, id)
            || orders_get (node->orders, id)->state != ORDER_ENDED)
          return false;
    }
  for (int i = 0; i < WORKERS; i++)
    for (size_t j = 0; j < world->workers[i].run_count; j++)
      if (world->workers[i].runs[j].state == REPORT_RUNNING)
        return false;
  return true;
}

static void
audit_order (world_t *world, order_id_t id)
{
  const order_t *order = orders_get (world->nodes[0].orders, id);
  const order_t *twin = orders_get (world->nodes[1].orders, id);
  const runs_t *runs = &world->runs[id];

  if (order->outcome != twin->outcome || order->status != twin->status)
    complain (world, "two outcomes", id);
  if (order->outcome == OUTCOME_NOT_RUN && runs->starts)
    complain (world, "told not-run but ran", id);
  if (order->outcome == OUTCOME_RAN && order->status == 200 && !runs->finished)
    complain (world, "told ran but did not finish", id);
  if (order->outcome == OUTCOME_RAN && order->status == 500
      && world->class_ == CLASS_IDEMPOTENT && order->attempt < 3
      && !order->cancelled)
    complain (world, "failed order not tried again", id);
  if (order->accelerators && order->outcome != OUTCOME_NOT_RUN)
    complain (world, "impossible order not refused", id);
  for (unsigned i = 1; i < MAX_ATTEMPT; i++)
    {
      unsigned next = i + 1;

      if (!runs->evicted[i])
        continue;
      while (next < MAX_ATTEMPT && !runs->starts_of[next])
        next++;
      if (next < MAX_ATTEMPT && !runs->resumed[next])
        complain (world, "evicted order begun anew", id);
      if (next == MAX_ATTEMPT && !order->cancelled)
        complain (world, "evicted order not resumed", id);
    }
}

static void
world_begin (world_t *world)
{
  for (size_t i = 0; i <= MAX_ORDERS; i++)
    world->runs[i].failed_on = -1;
  for (int i = 0; i < WORKERS; i++)
    {
      snprintf (world->workers[i].id, sizeof world->workers[i].id, "w%d", i);
      world->workers[i].shard = (uint32_t)i / (WORKERS / SHARDS);
    }
  for (int i = 0; i < NODES; i++)
    {
      world->nodes[i].world = world;
      world->nodes[i].index = i;
      node_begin (&world->nodes[i]);
    }
  for (int i = 0; i < NODES; i++)
    claim (world, (uint32_t)i, &world->nodes[i]);
  for (unsigned i = 0; i < TARGET + OTHERS; i++)
    order_add (world, world->class_, 0);
  at_point (world, AT_ACCEPT, TARGET, &world->nodes[TARGET % NODES], NULL);
}

static void
world_end (world_t *world)
{
  for (int i = 0; i < NODES; i++)
    node_end (&world->nodes[i]);
  for (size_t i = 0; i < world->log_count; i++)
    if (world->log[i].entry)
      g_bytes_unref (world->log[i].entry);
  for (size_t i = 0; i < world->event_count; i++)
    if (world->events[i].kind == EV_LOG)
      g_bytes_unref (world->events[i].entry);
}

static event_t
next_event (world_t *world)
{
  size_t first = 0;
  event_t event;

  for (size_t i = 1; i < world->event_count; i++)
    if (world->at[i] < world->at[first]
        || (world->at[i] == world->at[first]
            && world->events[i].seq < world->events[first].seq))
      first = i;
  event = world->events[first];
  world->at[first] = world->at[--world->event_count];
  world->events[first] = world->events[world->event_count];
  return event;
}

static bool
of_node (event_kind_t kind)
{
  return kind == EV_TICK || kind == EV_REPLY || kind == EV_READ
         || kind == EV_FAILED;
}

static void
step (world_t *world)
{
  event_t event = next_event (world);
  node_t *node = of_node (event.kind) ? &world->nodes[event.node] : NULL;

  world->now = MAX (world->now, event.at);
  if (node && (node->dead || node->life != event.life))
    return;
  if (node && frozen (node))
    {
      if (event.kind == EV_TICK)
        node->tick_at = node->frozen_until;
      event.at = node->frozen_until;
      event.seq = world->seq;
      *post (world, event.at, event.kind) = event;
    }
  else if (node)
    node_event (world, node, &event);
  else
    world_event (world, &event);
  for (int i = 0; i < NODES; i++)
    if (world->nodes[i].dead)
      node_end (&world->nodes[i]);
}

typedef enum
{
  CASE_PASSED,
  CASE_FAILED,
  CASE_NOT_COVERED
} verdict_t;

static verdict_t
run_case (world_t *world)
{
  verdict_t verdict = CASE_PASSED;

  world_begin (world);
  while (world->now < END_OF_RUN && !world->problem[0]
         && !(world->now > 100 * MS && all_ended (world)))
    step (world);
  if (!world->problem[0] && !all_ended (world))
    complain (world, "no final outcome", 0);
  for (order_id_t id = 1; id <= world->next_order && !world->problem[0]; id++)
    audit_order (world, id);
  if (world->problem[0])
    verdict = CASE_FAILED;
  else
    for (size_t i = 0; i < G_N_ELEMENTS (world->plan); i++)
      if (world->plan[i].fault && !world->plan[i].done)
        verdict = CASE_NOT_COVERED;
  world_end (world);
  return verdict;
}

typedef struct
{
  unsigned of[CASE_NOT_COVERED + 1];
  unsigned shown;
} tally_t;

/* Without epoch checks at the worker, a start that left a frozen owner late
   can run beside a newer attempt (assumption A5).  It must be stopped soon. */
static bool
is_exposed (bool checks_epochs, const fault_t *fault, point_t point)
{
  return !checks_epochs && fault && fault->strike == freeze_long
         && (point == AT_START_SEND || point == AT_RESTART_SEND);
}

static void
run_and_count (tally_t *tally, class_t class_, bool checks_epochs,
               const fault_t *first, point_t first_point,
               const fault_t *second, point_t second_point)
{
  world_t *world;
  verdict_t verdict;

  /* For mutants the first failure will do. */
  if (tally->of[CASE_FAILED] && getenv ("MATRIX_STOP"))
    return;
  world = g_new0 (world_t, 1);
  world->class_ = class_;
  world->checks_epochs = checks_epochs;
  world->plan[0].fault = first;
  world->plan[0].point = first_point;
  world->plan[1].fault = second;
  world->plan[1].point = second_point;
  world->exposed = is_exposed (checks_epochs, first, first_point)
                   || is_exposed (checks_epochs, second, second_point);
  verdict = run_case (world);
  tally->of[verdict]++;
  if (verdict == CASE_FAILED && tally->shown++ < 10)
    printf ("  FAILED %s, epochs %s: %s at %s, %s at %s: %s\n",
            class_names[class_], checks_epochs ? "checked" : "not checked",
            first ? first->name : "-", point_names[first_point],
            second ? second->name : "-", point_names[second_point],
            world->problem);
  g_free (world);
}

static unsigned
points_of (class_t class_)
{
  return class_ == CLASS_RESUMABLE ? POINT_COUNT : AT_CHECKPOINT_SEND;
}

static void
report (const char *name, const tally_t *tally)
{
  printf ("  %s: %u passed, %u failed, %u not covered\n", name,
          tally->of[CASE_PASSED], tally->of[CASE_FAILED],
          tally->of[CASE_NOT_COVERED]);
  CU_ASSERT_EQUAL (tally->of[CASE_FAILED], 0);
  CU_ASSERT_TRUE (tally->of[CASE_PASSED] > 10 * tally->of[CASE_NOT_COVERED]);
}

/* Guards against one fault at any step that doubles, loses or misreports an
   order. */
static void
test_single_faults (void)
{
  tally_t tally = { { 0 }, 0 };

  for (int class_ = 0; class_ < CLASS_COUNT; class_++)
    for (int checks = 0; checks < 2; checks++)
      {
        run_and_count (&tally, class_, checks, NULL, 0, NULL, 0);
        for (unsigned point = 0; point < points_of (class_); point++)
          for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
            run_and_count (&tally, class_, checks, &faults[i], point, NULL, 0);
      }
  report ("single faults", &tally);
}

/* Guards against two faults that each pass alone. */
static void
test_pairs (void)
{
  tally_t tally = { { 0 }, 0 };
  const unsigned count = G_N_ELEMENTS (faults);
  unsigned number = 0;

  for (int class_ = 0; class_ < CLASS_COUNT; class_++)
    for (unsigned i = 0; i < count * points_of (class_); i++)
      for (unsigned j = i; j < count * points_of (class_); j++)
        run_and_count (&tally, class_, number++ % 2, &faults[i % count],
                       i / count, &faults[j % count], j / count);
  report ("pairs", &tally);
}

static const suite_test_t tests[] = {
  { "single faults", test_single_faults },
  { "pairs", test_pairs },
};

int
main (void)
{
  return suite_main ("attempts matrix", tests, G_N_ELEMENTS (tests));
}

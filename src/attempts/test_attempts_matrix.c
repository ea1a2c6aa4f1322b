/* Fault matrix of attempts: every fault at every step of an order and of an
   eviction, then all pairs of these, on a simulated clock with two nodes, four
   simulated workers and a simulated log.  The test oracle counts the runs on
   the workers. */
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
#define MAX_RUNS_PER_WORKER 64
#define MAX_EVENTS 400
#define MAX_LOG_ENTRIES 500
#define MAX_ATTEMPTS_PER_ORDER 12
#define TARGET_ORDER 2U /* order at whose steps faults are injected */
#define OTHER_ORDERS 1U /* number of further orders of the class */

#define LINK_DELAY (1 * MS)
#define CALL_TIMEOUT (1000 * MS)
/* The clocks of the workers are slow by 0.9%; assumption A2 allows less than
   1%. */
#define WORKER_TIME(time) ((time) + (time)*9 / 1000)
#define RUN_TIME (5000 * MS) /* longer than a lease */
#define LONG_RUN_TIME (30000 * MS)
#define EVICT_DELAY (1200 * MS)
#define TAKEOVER_AFTER_KILL (1600 * MS)
#define TAKEOVER_AFTER_FREEZE (3600 * MS)
#define RESTART_DELAY (5000 * MS)
#define SHORT_FREEZE_TIME (1500 * MS)
#define LONG_FREEZE_TIME (12000 * MS)
#define FAULT_DURATION (8000 * MS)
#define HANDOVER_BACK_DELAY (3000 * MS)
#define MAX_OVERLAP (1700 * MS) /* two poll intervals and some delay */
#define TURN_TIME (3000 * MS)
#define MAX_CASE_TIME (240000 * MS)

static const attempts_config_t config = { .lease = 4000 * MS,
                                          .renew_interval = 1200 * MS,
                                          .poll_interval = 800 * MS,
                                          .silence_timeout = 2000 * MS,
                                          .retry_interval = 200 * MS,
                                          .placement_interval = 10 * MS,
                                          .turn_check_interval = 1000 * MS,
                                          .max_failures = 3,
                                          .max_early_losses = 5 };

/* Steps at which a fault can be injected. */
typedef enum
{
  AT_ACCEPT,
  AT_START_APPEND, /* ORDER_START is passed to the journal */
  AT_START_READ,   /* ORDER_START is about to be applied by its writer */
  AT_START_SEND,   /* between may_act and the send */
  AT_START_REPLY,  /* the worker has acted, its reply is not yet sent */
  AT_RUNNING,
  AT_RENEW_SEND,
  AT_RENEW_REPLY,
  AT_RUN_END,
  AT_END_APPEND,
  AT_CHECKPOINT_SEND,
  AT_CHECKPOINT_REPLY,
  AT_STOP_SEND,
  AT_STOP_REPLY,
  AT_REQUEUE_APPEND,
  AT_RESTART_SEND, /* start of a later attempt, as after an eviction */
  POINT_COUNT
} point_t;

typedef struct world world_t;
typedef struct node node_t;
typedef struct worker worker_t;

typedef struct
{
  const char *name;
  void (*inject) (world_t *world, node_t *node, worker_t *worker);
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
  EV_TICK,          /* attempts_tick of a node is due */
  EV_CALL,          /* call reaches a worker */
  EV_REPLY,         /* reply reaches a node */
  EV_APPEND,        /* entry reaches the log */
  EV_READ,          /* node reads the log up to its end */
  EV_APPEND_FAILED, /* node learns that an append failed */
  EV_RUN_CHECK,     /* a run may be finished or its lease expired */
  EV_RECLAIM,       /* shards of dead or frozen owners are claimed */
  EV_RESTART,
  EV_HANDOVER, /* of a worker's shard, and back */
  EV_DURING_RUN,
  EV_EVICT
} event_kind_t;

typedef struct
{
  usec_t at;
  uint64_t seq;
  event_kind_t kind;
  int node;
  unsigned incarnation; /* of the node; events of earlier ones are dropped */
  int worker;
  worker_call_t call;
  bool resumes; /* the call carries a checkpoint to resume from */
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
  bool checkpointed;
} run_t;

struct worker
{
  char id[4];
  uint32_t shard;
  run_t runs[MAX_RUNS_PER_WORKER];
  size_t run_count;
  uint64_t epoch;
  usec_t run_check_at; /* time of the scheduled EV_RUN_CHECK */
  usec_t silent_until;
  usec_t dead_until;
  usec_t lists_lost_until;
  usec_t unreachable_until;       /* runs continue, no call arrives */
  unsigned owner_changes_at_list; /* owner_changes when the owner last listed
                                     the runs */
  usec_t runs_fail_until;
  usec_t renewals_lost_until;
  usec_t leaving_until;
  bool lose_reply;
  bool duplicate_reply;
  bool delay_reply;
};

struct node
{
  world_t *world;
  int index;
  unsigned incarnation;
  bool dead;
  usec_t frozen_until;
  size_t entries_applied;
  orders_t *orders;
  placement_t *placement;
  attempts_t *attempts;
  GRand *random;
  uint64_t epochs[SHARDS];
  bool owns[SHARDS];
  usec_t tick_at;
  bool report_append_failed; /* the next append is reported as failed */
  bool drop_append;          /* the next append fails and is reported so */
};

typedef struct
{
  GBytes *entry; /* NULL: claim of a shard */
  int node;
  unsigned incarnation;
  uint64_t ticket;
  uint32_t shard;
  uint64_t epoch;
  bool verdict_counted; /* the first verdict on the entry was evaluated */
} record_t;

typedef struct
{
  unsigned active;
  unsigned starts;
  unsigned succeeded;
  unsigned starts_per_attempt[MAX_ATTEMPTS_PER_ORDER];
  int failed_worker; /* worker, -1 for none */
  uint64_t failed_attempt;
  usec_t overlap_since;
  bool resumed[MAX_ATTEMPTS_PER_ORDER];
  bool evicted[MAX_ATTEMPTS_PER_ORDER];
} order_runs_t;

struct world
{
  usec_t now;
  uint64_t seq;
  usec_t event_times[MAX_EVENTS]; /* of events[], kept apart for a fast scan */
  event_t events[MAX_EVENTS];
  size_t event_count;
  record_t log[MAX_LOG_ENTRIES];
  size_t log_count;
  usec_t log_down_until;
  node_t nodes[NODES];
  worker_t workers[WORKERS];
  int owner[SHARDS];
  uint64_t epoch[SHARDS];
  order_runs_t runs[MAX_ORDERS + 1];
  order_id_t next_order;
  class_t class_;
  unsigned owner_incarnation[SHARDS];
  unsigned owner_changes[SHARDS]; /* a restart of the owner counts, too */
  bool checks_epochs;
  bool overlap_allowed; /* two runs at once may occur for a short time */
  bool cancelled;
  bool evicted;
  bool faults_recur;
  struct
  {
    const fault_t *fault;
    point_t point;
    bool injected;
  } planned_faults[2];
  uint64_t next_ticket;
  char failure[120];
};

static void inject_faults_at (world_t *world, point_t point, order_id_t order,
                              node_t *node, worker_t *worker);
static worker_t *worker_of_node (node_t *node);
static void node_tick (node_t *node);
static void schedule_run_check (world_t *world, worker_t *worker);

static void
record_failure (world_t *world, const char *description, order_id_t order)
{
  if (!world->failure[0])
    snprintf (world->failure, sizeof world->failure, "%s, order %u",
              description, (unsigned)order);
}

static event_t *
schedule_event (world_t *world, usec_t at, event_kind_t kind)
{
  event_t *event;

  if (world->event_count == MAX_EVENTS)
    {
      record_failure (world, "too many events", 0);
      world->event_count--;
    }
  world->event_times[world->event_count] = at;
  event = &world->events[world->event_count++];
  *event = (event_t){ .at = at, .seq = world->seq++, .kind = kind };
  return event;
}

static void
schedule_node_event (node_t *node, usec_t at, event_kind_t kind)
{
  event_t *event = schedule_event (node->world, at, kind);

  event->node = node->index;
  event->incarnation = node->incarnation;
}

static bool
is_frozen (const node_t *node)
{
  return node->frozen_until > node->world->now;
}

/* ---- callbacks of a node ---- */

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
  return !node->dead && !is_frozen (node)
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
  } points[] = { { MSG_ORDER_START, AT_START_APPEND },
                 { MSG_ORDER_END, AT_END_APPEND },
                 { MSG_ORDER_REQUEUE, AT_REQUEUE_APPEND } };
  event_t *event;

  message_encode (entry, bytes);
  for (size_t i = 0; i < G_N_ELEMENTS (points); i++)
    /* All three entries begin with the field order. */
    if (points[i].type == entry->type)
      inject_faults_at (world, points[i].point, entry->u.order_end.order, node,
                        worker_of_node (node));
  if (node->dead)
    {
      g_byte_array_free (bytes, TRUE);
      return ticket;
    }
  if (node->drop_append)
    g_byte_array_free (bytes, TRUE);
  else
    {
      event = schedule_event (
          world, MAX (now, node->frozen_until) + LINK_DELAY, EV_APPEND);
      event->node = node->index;
      event->incarnation = node->incarnation;
      event->ticket = ticket;
      event->entry = g_byte_array_free_to_bytes (bytes);
    }
  if (node->report_append_failed || node->drop_append)
    {
      node->report_append_failed = node->drop_append = false;
      event = schedule_event (world, now + 10 * MS, EV_APPEND_FAILED);
      event->node = node->index;
      event->incarnation = node->incarnation;
      event->ticket = ticket;
    }
  return ticket;
}

static bool
is_turn (void *ctx, usec_t now, const order_t *order)
{
  const node_t *node = (const node_t *)ctx;
  usec_t round = (now - order->accepted_at) / TURN_TIME;
  const node_t *preferred
      = &node->world->nodes[(order->id + (uint64_t)round) % NODES];

  return preferred == node || preferred->dead || is_frozen (preferred);
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
    inject_faults_at (world, (point_t)points[call->kind], call->order, node,
                      worker);
  if (call->kind == CALL_START && call->attempt > 1)
    inject_faults_at (world, AT_RESTART_SEND, call->order, node, worker);
  if (node->dead)
    return;
  event = schedule_event (
      world, MAX (world->now, node->frozen_until) + LINK_DELAY, EV_CALL);
  event->node = node->index;
  event->incarnation = node->incarnation;
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
node_start (node_t *node)
{
  node->incarnation++;
  node->dead = false;
  node->entries_applied = 0;
  node->frozen_until = 0;
  node->report_append_failed = node->drop_append = false;
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
  schedule_node_event (node, node->world->now, EV_READ);
}

/* Not called by faults: they are injected inside callbacks and only mark the
   node as dead. */
static void
node_destroy (node_t *node)
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
node_apply_claim (node_t *node, const record_t *record)
{
  bool owned_before = node->owns[record->shard];

  node->epochs[record->shard] = record->epoch;
  node->owns[record->shard] = record->node == node->index
                              && record->incarnation == node->incarnation;
  if (node->owns[record->shard])
    attempts_shard_gained (node->attempts, node->world->now, record->shard,
                           record->epoch);
  else if (owned_before)
    attempts_shard_lost (node->attempts, node->world->now, record->shard);
}

static void
node_apply_entry (node_t *node, record_t *record)
{
  world_t *world = node->world;
  bool own = record->node == node->index
             && record->incarnation == node->incarnation;
  message_t message;
  order_apply_result_t verdict;
  order_id_t id;
  gsize len;
  const char *data = (const char *)g_bytes_get_data (record->entry, &len);

  message_decode ((blob_t){ data, (uint32_t)len }, &message, NULL);
  if (own && message.type == MSG_ORDER_START)
    inject_faults_at (world, AT_START_READ, message.u.order_start.order, node,
                      worker_of_node (node));
  if (node->dead || is_frozen (node))
    return;
  verdict = orders_apply (node->orders, world->now,
                          (uint64_t)(record - world->log), &message, &id);
  node->entries_applied++;
  if (own)
    attempts_entry_applied (node->attempts, world->now, record->ticket,
                            verdict);
  if (!record->verdict_counted && verdict == ORDER_APPLIED
      && message.type == MSG_ORDER_REQUEUE
      && message.u.order_requeue.reason == REQUEUE_EVICTED)
    {
      world->runs[id].evicted[message.u.order_requeue.attempt] = true;
      world->evicted = true;
    }
  record->verdict_counted = true;
}

static void
node_read_log (node_t *node)
{
  while (!node->dead && !is_frozen (node)
         && node->entries_applied < node->world->log_count)
    {
      record_t *record = &node->world->log[node->entries_applied];

      if (record->entry)
        node_apply_entry (node, record);
      else
        {
          node->entries_applied++;
          node_apply_claim (node, record);
        }
    }
}

static void
node_tick (node_t *node)
{
  usec_t at;

  if (node->dead || is_frozen (node))
    return;
  at = MAX (attempts_tick (node->attempts, node->world->now),
            node->world->now + MS);
  if (node->tick_at > node->world->now && node->tick_at <= at)
    return;
  node->tick_at = at;
  schedule_node_event (node, at, EV_TICK);
}

static record_t *
log_add (world_t *world)
{
  if (world->log_count == MAX_LOG_ENTRIES)
    {
      record_failure (world, "too many log entries", 0);
      world->log_count--;
    }
  for (int i = 0; i < NODES; i++)
    if (!world->nodes[i].dead)
      schedule_node_event (&world->nodes[i], world->now + LINK_DELAY, EV_READ);
  return &world->log[world->log_count++];
}

static void
claim (world_t *world, uint32_t shard, node_t *node)
{
  if (world->owner[shard] != node->index
      || world->owner_incarnation[shard] != node->incarnation)
    world->owner_changes[shard]++;
  world->owner[shard] = node->index;
  world->owner_incarnation[shard] = node->incarnation;
  *log_add (world) = (record_t){ .node = node->index,
                                 .incarnation = node->incarnation,
                                 .shard = shard,
                                 .epoch = ++world->epoch[shard] };
}

static bool
is_running (const node_t *node)
{
  return !node->dead && !is_frozen (node);
}

/* Shards whose owner is dead, frozen or restarted are claimed by a running
   node. */
static void
reclaim (world_t *world)
{
  bool retry_needed = false;

  for (uint32_t shard = 0; shard < SHARDS; shard++)
    {
      node_t *owner = &world->nodes[world->owner[shard]];
      node_t *other = &world->nodes[!world->owner[shard]];

      if (is_running (owner)
          && owner->incarnation == world->owner_incarnation[shard])
        continue;
      if (world->log_down_until <= world->now && is_running (other))
        claim (world, shard, other);
      else if (world->log_down_until <= world->now && is_running (owner))
        claim (world, shard, owner);
      else
        retry_needed = true;
    }
  if (retry_needed)
    schedule_event (world, world->now + 500 * MS, EV_RECLAIM);
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
  event = schedule_event (world, world->now, EV_APPEND);
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
  event = schedule_event (world, world->now + 1, EV_APPEND);
  event->node = -1;
  event->entry = g_byte_array_free_to_bytes (bytes);
}

/* ---- workers ---- */

static void
finish_run (world_t *world, worker_t *worker, run_t *run, report_state_t state)
{
  order_runs_t *runs = &world->runs[run->order];

  run->state = state;
  if (runs->active-- > 1 && world->now > runs->overlap_since + MAX_OVERLAP)
    record_failure (world, "two attempts ran concurrently for too long",
                    run->order);
  if (state != REPORT_ENDED)
    return;
  runs->succeeded += run->status == 200;
  if (run->status != 200)
    {
      runs->failed_worker = (int)(worker - world->workers);
      runs->failed_attempt = run->attempt;
    }
  inject_faults_at (world, AT_RUN_END, run->order,
                    &world->nodes[world->owner[worker->shard]], worker);
}

static void
finish_due_runs (world_t *world, worker_t *worker)
{
  for (size_t i = 0; i < worker->run_count; i++)
    {
      run_t *run = &worker->runs[i];

      if (run->state != REPORT_RUNNING)
        continue;
      if (world->now >= run->lease_until)
        finish_run (world, worker, run, REPORT_STOPPED);
      else if (world->now >= run->run_until)
        finish_run (world, worker, run, REPORT_ENDED);
    }
  schedule_run_check (world, worker);
}

static void
schedule_run_check (world_t *world, worker_t *worker)
{
  usec_t at = INT64_MAX;

  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].state == REPORT_RUNNING)
      at = MIN (at,
                MIN (worker->runs[i].lease_until, worker->runs[i].run_until));
  if (at == INT64_MAX
      || (worker->run_check_at > world->now && worker->run_check_at <= at))
    return;
  worker->run_check_at = at;
  schedule_event (world, at, EV_RUN_CHECK)->worker
      = (int)(worker - world->workers);
}

static run_t *
find_run (worker_t *worker, order_id_t order, uint64_t attempt)
{
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].order == order && worker->runs[i].attempt == attempt)
      return &worker->runs[i];
  return NULL;
}

/* Test oracle: checks a start at the worker that accepts it. */
static void
check_start (world_t *world, const event_t *event)
{
  order_runs_t *runs = &world->runs[event->call.order];
  const worker_t *worker = &world->workers[event->worker];
  uint64_t attempt = event->call.attempt;
  unsigned running = 0;

  if (attempt >= MAX_ATTEMPTS_PER_ORDER)
    {
      record_failure (world, "too many attempts", event->call.order);
      return;
    }
  if (runs->active++)
    {
      runs->overlap_since = world->now;
      if (!world->overlap_allowed)
        record_failure (world, "two attempts run concurrently",
                        event->call.order);
    }
  if (runs->failed_worker == event->worker
      && runs->failed_attempt + 1 == attempt)
    record_failure (world, "repeated on the worker on which it failed",
                    event->call.order);
  if (worker->owner_changes_at_list != world->owner_changes[worker->shard]
      && world->owner[worker->shard] == event->node)
    record_failure (
        world, "started before the new owner listed the worker's attempts",
        event->call.order);
  if (runs->starts_per_attempt[attempt]++)
    record_failure (world, "attempt started twice", event->call.order);
  if (runs->starts++ && world->class_ == CLASS_ONCE)
    record_failure (world, "non-idempotent order started twice",
                    event->call.order);
  runs->resumed[attempt] = event->resumes;
  for (size_t i = 0; i < worker->run_count; i++)
    running += worker->runs[i].state == REPORT_RUNNING;
  if (running >= 3 && !world->overlap_allowed)
    record_failure (world, "worker capacity exceeded", event->call.order);
}

static int
start_run (world_t *world, worker_t *worker, const event_t *event)
{
  run_t *run = find_run (worker, event->call.order, event->call.attempt);
  bool fails = worker->runs_fail_until > world->now;

  if (run)
    return 200;
  if (worker->leaving_until > world->now)
    return 503;
  if (worker->run_count == MAX_RUNS_PER_WORKER)
    return 503;
  check_start (world, event);
  run = &worker->runs[worker->run_count++];
  *run = (run_t){ .order = event->call.order,
                  .attempt = event->call.attempt,
                  .status = fails ? 500 : 200,
                  .lease_until = world->now + WORKER_TIME (event->call.lease),
                  .run_until = world->now + (fails ? 100 * MS : RUN_TIME) };
  if (run->order == TARGET_ORDER && world->runs[TARGET_ORDER].starts == 1)
    {
      schedule_event (world, world->now + EVICT_DELAY / 2, EV_DURING_RUN)
          ->worker
          = event->worker;
      if (world->class_ == CLASS_RESUMABLE)
        schedule_event (world, world->now + EVICT_DELAY, EV_EVICT);
    }
  return 200;
}

static int
apply_call (world_t *world, worker_t *worker, const event_t *event)
{
  run_t *run = find_run (worker, event->call.order, event->call.attempt);

  if (world->checks_epochs && event->call.epoch < worker->epoch)
    return 409;
  worker->epoch = MAX (worker->epoch, event->call.epoch);
  if (event->call.kind == CALL_LIST)
    {
      if (world->owner[worker->shard] == event->node
          && world->owner_incarnation[worker->shard] == event->incarnation)
        worker->owner_changes_at_list = world->owner_changes[worker->shard];
      return 200;
    }
  if (event->call.kind == CALL_START)
    return start_run (world, worker, event);
  if (!run)
    return 404;
  if (run->state != REPORT_RUNNING)
    return 200;
  if (event->call.kind == CALL_RENEW)
    run->lease_until = world->now + WORKER_TIME (event->call.lease);
  if (event->call.kind == CALL_CHECKPOINT)
    run->checkpointed = true;
  if (event->call.kind == CALL_STOP)
    finish_run (world, worker, run, REPORT_STOPPED);
  return 200;
}

static void
handle_call (world_t *world, const event_t *call)
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

  finish_due_runs (world, worker);
  reply.kind = EV_REPLY;
  reply.end = REPLY_ANSWERED;
  reply.at = world->now + LINK_DELAY;
  lost = worker->silent_until > world->now
         || (call->call.kind == CALL_RENEW
             && worker->renewals_lost_until > world->now)
         || (call->call.kind == CALL_LIST
             && worker->lists_lost_until > world->now);
  if (worker->dead_until > world->now
      || worker->unreachable_until > world->now)
    reply.end = REPLY_NOT_SENT;
  else if (!lost)
    {
      reply.status = apply_call (world, worker, call);
      schedule_run_check (world, worker);
      if (points[call->call.kind] >= 0)
        inject_faults_at (world, (point_t)points[call->call.kind],
                          call->call.order, node, worker);
      lost = worker->silent_until > world->now;
    }
  if (lost || (worker->lose_reply && call->call.kind != CALL_LIST))
    {
      worker->lose_reply = lost && worker->lose_reply;
      reply.end = REPLY_LOST;
      reply.at = world->now + CALL_TIMEOUT;
    }
  reply.seq = world->seq;
  *schedule_event (world, reply.at, EV_REPLY) = reply;
  if (worker->duplicate_reply || worker->delay_reply)
    {
      reply.at += worker->delay_reply ? 3 * CALL_TIMEOUT : 5 * MS;
      reply.end = REPLY_ANSWERED;
      reply.status = reply.status ? reply.status : 200;
      reply.seq = world->seq;
      *schedule_event (world, reply.at, EV_REPLY) = reply;
      worker->duplicate_reply = worker->delay_reply = false;
    }
}

static void
reply_deliver (world_t *world, const event_t *event)
{
  node_t *node = &world->nodes[event->node];
  worker_t *worker = &world->workers[event->worker];
  attempt_report_t reports[MAX_RUNS_PER_WORKER];
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
          .checkpoint
          = run->checkpointed ? blob_of ("cp") : (blob_t){ NULL, 0 },
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
  schedule_node_event (node, world->now + RESTART_DELAY, EV_RESTART);
  schedule_event (world, world->now + TAKEOVER_AFTER_KILL, EV_RECLAIM);
}

static void
freeze_node (world_t *world, node_t *node, usec_t duration)
{
  node->frozen_until = MAX (node->frozen_until, world->now + duration);
  schedule_event (world, world->now + TAKEOVER_AFTER_FREEZE, EV_RECLAIM);
}

static void
freeze_short (world_t *world, node_t *node, worker_t *worker)
{
  (void)worker;
  freeze_node (world, node, SHORT_FREEZE_TIME);
}

static void
freeze_long (world_t *world, node_t *node, worker_t *worker)
{
  (void)worker;
  freeze_node (world, node, LONG_FREEZE_TIME);
}

static void
worker_stops_answering (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->silent_until = world->now + FAULT_DURATION;
}

static void
worker_crashes (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->dead_until = world->now + FAULT_DURATION;
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
  world->log_down_until = world->now + FAULT_DURATION;
}

static void
append_falsely_failed (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)worker;
  node->report_append_failed = true;
}

static void
append_dropped (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)worker;
  node->drop_append = true;
}

static void
worker_unreachable (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->unreachable_until = world->now + FAULT_DURATION;
}

static void
hand_over (world_t *world, node_t *node, worker_t *worker)
{
  event_t *event = schedule_event (world, world->now + MS, EV_HANDOVER);

  (void)node;
  event->worker = (int)(worker - world->workers);
  event->call.attempt = 2;
}

static void
reply_duplicated (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)node;
  worker->duplicate_reply = true;
}

static void
reply_delayed (world_t *world, node_t *node, worker_t *worker)
{
  (void)world;
  (void)node;
  worker->lose_reply = worker->delay_reply = true;
}

static void
renewals_lost (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->renewals_lost_until = world->now + FAULT_DURATION;
}

static void
lists_lost (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->lists_lost_until = world->now + FAULT_DURATION;
}

static void
cancel_all_orders (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  (void)worker;
  world->cancelled = true;
  for (order_id_t id = 1; id <= world->next_order; id++)
    order_cancel (world, id);
}

static void
fail_runs (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->runs_fail_until = world->now + FAULT_DURATION;
  for (size_t i = 0; i < worker->run_count; i++)
    worker->runs[i].status = worker->runs[i].state == REPORT_RUNNING
                                 ? 500
                                 : worker->runs[i].status;
}

static void
add_unplaceable_orders (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  (void)worker;
  for (int i = 0; i < 3 && world->next_order < MAX_ORDERS; i++)
    order_add (world, world->class_, 1);
}

static void
slow_down_runs (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  for (size_t i = 0; i < worker->run_count; i++)
    if (worker->runs[i].state == REPORT_RUNNING)
      worker->runs[i].run_until = world->now + LONG_RUN_TIME;
}

static void
claim_own_shard (world_t *world, node_t *node, worker_t *worker)
{
  uint32_t shard = worker->shard;

  if (world->owner[shard] == node->index && is_running (node)
      && world->log_down_until <= world->now)
    claim (world, shard, node);
}

static void
worker_leaves (world_t *world, node_t *node, worker_t *worker)
{
  (void)node;
  worker->leaving_until = world->now + FAULT_DURATION;
}

static const fault_t faults[] = {
  { "owner killed", kill_node },
  { "owner frozen 1.5 s", freeze_short },
  { "owner frozen 12 s", freeze_long },
  { "worker stops answering", worker_stops_answering },
  { "worker crashes", worker_crashes },
  { "reply lost after effect", lose_reply },
  { "log down", log_down },
  { "append falsely reported as failed", append_falsely_failed },
  { "append dropped", append_dropped },
  { "worker unreachable", worker_unreachable },
  { "shard handed over and back", hand_over },
  { "reply duplicated", reply_duplicated },
  { "reply delayed", reply_delayed },
  { "renewals lost", renewals_lost },
  { "list calls lost", lists_lost },
  { "all orders cancelled", cancel_all_orders },
  { "worker fails every run", fail_runs },
  { "orders that fit no worker", add_unplaceable_orders },
  { "straggler", slow_down_runs },
  { "owner claims its shard again", claim_own_shard },
  { "worker leaves", worker_leaves },
};

static const char *const point_names[POINT_COUNT]
    = { "accept",      "start append", "start read",      "start send",
        "start reply", "running",      "renew send",      "renew reply",
        "run end",     "end append",   "checkpoint send", "checkpoint reply",
        "stop send",   "stop reply",   "requeue append",  "restart send" };

/* @return a worker of a shard that the node owns */
static worker_t *
worker_of_node (node_t *node)
{
  return &node->world->workers[node->owns[0] ? 0 : 2];
}

static void
inject_faults_at (world_t *world, point_t point, order_id_t order,
                  node_t *node, worker_t *worker)
{
  if (order != TARGET_ORDER)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (world->planned_faults); i++)
    if (world->planned_faults[i].fault
        && (!world->planned_faults[i].injected || world->faults_recur)
        && world->planned_faults[i].point == point)
      {
        world->planned_faults[i].injected = true;
        world->planned_faults[i].fault->inject (world, node, worker);
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
          = is_running (node) ? orders_get (node->orders, TARGET_ORDER) : NULL;

      if (order && order->state == ORDER_STARTED && node->owns[order->shard])
        attempts_relieve (node->attempts, world->now, order->worker,
                          TARGET_ORDER, order->attempt, ACTION_EVICT);
    }
}

/* The event uses call.attempt as the number of handovers left and call.order
   as the number of tries. */
static void
continue_handover (world_t *world, const event_t *event)
{
  uint32_t shard = world->workers[event->worker].shard;
  node_t *owner = &world->nodes[world->owner[shard]];
  node_t *other = &world->nodes[!world->owner[shard]];
  event_t next = *event;

  if (!is_running (owner) || !owner->owns[shard])
    return;
  if (!is_running (other) || world->log_down_until > world->now
      || event->call.order > 200)
    {
      attempts_quiesce_shard (owner->attempts, world->now, shard, false);
      return;
    }
  attempts_quiesce_shard (owner->attempts, world->now, shard, true);
  next.call.order++;
  next.at = world->now + 20 * MS;
  if (attempts_shard_idle (owner->attempts, shard))
    {
      owner->owns[shard] = false;
      attempts_shard_lost (owner->attempts, world->now, shard);
      claim (world, shard, other);
      next.at = world->now + HANDOVER_BACK_DELAY;
      next.call.order = 0;
      if (!--next.call.attempt)
        return;
    }
  next.seq = world->seq;
  *schedule_event (world, next.at, EV_HANDOVER) = next;
}

static void
handle_log_event (world_t *world, const event_t *event)
{
  node_t *node = event->node < 0 ? NULL : &world->nodes[event->node];
  event_t retry = *event;

  if (world->log_down_until > world->now)
    {
      if (node && (node->dead || node->incarnation != event->incarnation))
        {
          g_bytes_unref (event->entry);
          return;
        }
      retry.at = world->log_down_until + MS;
      retry.seq = world->seq;
      *schedule_event (world, retry.at, EV_APPEND) = retry;
      return;
    }
  *log_add (world) = (record_t){ .entry = event->entry,
                                 .node = event->node,
                                 .incarnation = event->incarnation,
                                 .ticket = event->ticket };
}

static void
node_event (world_t *world, node_t *node, const event_t *event)
{
  if (event->kind == EV_READ && world->log_down_until > world->now)
    schedule_node_event (node, world->log_down_until + MS, EV_READ);
  else if (event->kind == EV_READ)
    node_read_log (node);
  else if (event->kind == EV_REPLY)
    reply_deliver (world, event);
  else if (event->kind == EV_APPEND_FAILED)
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
    case EV_CALL:
      handle_call (world, event);
      break;
    case EV_APPEND:
      handle_log_event (world, event);
      break;
    case EV_RUN_CHECK:
      if (worker->run_check_at == event->at)
        finish_due_runs (world, worker);
      break;
    case EV_RECLAIM:
      reclaim (world);
      break;
    case EV_HANDOVER:
      continue_handover (world, event);
      break;
    case EV_RESTART:
      node_start (&world->nodes[event->node]);
      schedule_event (world, world->now + TAKEOVER_AFTER_KILL, EV_RECLAIM);
      break;
    case EV_DURING_RUN:
      inject_faults_at (world, AT_RUNNING, TARGET_ORDER,
                        &world->nodes[world->owner[worker->shard]], worker);
      break;
    default:
      evict (world);
      if (!world->evicted && world->now < MAX_CASE_TIME / 2)
        schedule_event (world, world->now + 500 * MS, EV_EVICT);
    }
}

static bool
all_ended (const world_t *world)
{
  for (int i = 0; i < NODES; i++)
    {
      const node_t *node = &world->nodes[i];

      if (!is_running (node) || node->entries_applied != world->log_count)
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
check_order (world_t *world, order_id_t id)
{
  const order_t *order = orders_get (world->nodes[0].orders, id);
  const order_t *other_order = orders_get (world->nodes[1].orders, id);
  const order_runs_t *runs = &world->runs[id];

  if (order->outcome != other_order->outcome
      || order->status != other_order->status)
    record_failure (world, "nodes disagree on the outcome", id);
  if (order->outcome == OUTCOME_NOT_RUN && runs->starts)
    record_failure (world, "reported as not-run but was started", id);
  if (order->outcome == OUTCOME_RAN && order->status == 200
      && !runs->succeeded)
    record_failure (world, "reported as ran but did not finish", id);
  if (order->outcome == OUTCOME_RAN && order->status == 500
      && world->class_ == CLASS_IDEMPOTENT && order->attempt < 3
      && !order->cancelled)
    record_failure (world, "failed order not repeated", id);
  if (order->accelerators && order->outcome != OUTCOME_NOT_RUN)
    record_failure (world, "order that fits no worker not refused", id);
  for (unsigned i = 1; i < MAX_ATTEMPTS_PER_ORDER; i++)
    {
      unsigned next = i + 1;

      if (!runs->evicted[i])
        continue;
      while (next < MAX_ATTEMPTS_PER_ORDER && !runs->starts_per_attempt[next])
        next++;
      if (next < MAX_ATTEMPTS_PER_ORDER && !runs->resumed[next])
        record_failure (world, "evicted order started without its checkpoint",
                        id);
      if (next == MAX_ATTEMPTS_PER_ORDER && !order->cancelled)
        record_failure (world, "evicted order not resumed", id);
    }
}

static void
world_init (world_t *world)
{
  for (size_t i = 0; i <= MAX_ORDERS; i++)
    world->runs[i].failed_worker = -1;
  for (int i = 0; i < WORKERS; i++)
    {
      snprintf (world->workers[i].id, sizeof world->workers[i].id, "w%d", i);
      world->workers[i].shard = (uint32_t)i / (WORKERS / SHARDS);
    }
  for (int i = 0; i < NODES; i++)
    {
      world->nodes[i].world = world;
      world->nodes[i].index = i;
      node_start (&world->nodes[i]);
    }
  for (int i = 0; i < NODES; i++)
    claim (world, (uint32_t)i, &world->nodes[i]);
  for (unsigned i = 0; i < TARGET_ORDER + OTHER_ORDERS; i++)
    order_add (world, world->class_, 0);
  inject_faults_at (world, AT_ACCEPT, TARGET_ORDER,
                    &world->nodes[TARGET_ORDER % NODES],
                    worker_of_node (&world->nodes[TARGET_ORDER % NODES]));
}

static void
world_destroy (world_t *world)
{
  for (int i = 0; i < NODES; i++)
    node_destroy (&world->nodes[i]);
  for (size_t i = 0; i < world->log_count; i++)
    if (world->log[i].entry)
      g_bytes_unref (world->log[i].entry);
  for (size_t i = 0; i < world->event_count; i++)
    if (world->events[i].kind == EV_APPEND)
      g_bytes_unref (world->events[i].entry);
}

static event_t
next_event (world_t *world)
{
  size_t first = 0;
  event_t event;

  for (size_t i = 1; i < world->event_count; i++)
    if (world->event_times[i] < world->event_times[first]
        || (world->event_times[i] == world->event_times[first]
            && world->events[i].seq < world->events[first].seq))
      first = i;
  event = world->events[first];
  world->event_times[first] = world->event_times[--world->event_count];
  world->events[first] = world->events[world->event_count];
  return event;
}

static bool
is_node_event (event_kind_t kind)
{
  return kind == EV_TICK || kind == EV_REPLY || kind == EV_READ
         || kind == EV_APPEND_FAILED;
}

static void
process_next_event (world_t *world)
{
  event_t event = next_event (world);
  node_t *node = is_node_event (event.kind) ? &world->nodes[event.node] : NULL;

  world->now = MAX (world->now, event.at);
  if (node && (node->dead || node->incarnation != event.incarnation))
    return;
  if (node && is_frozen (node))
    {
      if (event.kind == EV_TICK)
        node->tick_at = node->frozen_until;
      event.at = node->frozen_until;
      event.seq = world->seq;
      *schedule_event (world, event.at, event.kind) = event;
    }
  else if (node)
    node_event (world, node, &event);
  else
    world_event (world, &event);
  for (int i = 0; i < NODES; i++)
    if (world->nodes[i].dead)
      node_destroy (&world->nodes[i]);
}

typedef enum
{
  CASE_PASSED,
  CASE_FAILED,
  CASE_NOT_COVERED
} case_result_t;

static case_result_t
run_case (world_t *world)
{
  case_result_t verdict = CASE_PASSED;

  world_init (world);
  while (world->now < MAX_CASE_TIME && !world->failure[0]
         && !(world->now > 100 * MS && all_ended (world)))
    process_next_event (world);
  if (!world->failure[0] && !all_ended (world))
    record_failure (world, "no final outcome", 0);
  for (order_id_t id = 1; id <= world->next_order && !world->failure[0]; id++)
    check_order (world, id);
  if (world->failure[0])
    verdict = CASE_FAILED;
  else
    for (size_t i = 0; i < G_N_ELEMENTS (world->planned_faults); i++)
      if (world->planned_faults[i].fault && !world->planned_faults[i].injected)
        verdict = CASE_NOT_COVERED;
  world_destroy (world);
  return verdict;
}

typedef struct
{
  unsigned counts[CASE_NOT_COVERED + 1];
  unsigned failures_printed;
} tally_t;

/* Without epoch checks at the worker, a start that a frozen owner sends late
   can run concurrently with a newer attempt (assumption A5).  It must be
   stopped soon. */
static bool
may_overlap (bool checks_epochs, const fault_t *fault, point_t point)
{
  return !checks_epochs && fault && fault->inject == freeze_long
         && (point == AT_START_SEND || point == AT_RESTART_SEND);
}

static void
run_and_count (tally_t *tally, class_t class_, bool checks_epochs,
               const fault_t *first, point_t first_point,
               const fault_t *second, point_t second_point)
{
  world_t *world;
  case_result_t verdict;

  /* Mutation testing needs only the first failure. */
  if (tally->counts[CASE_FAILED] && getenv ("MATRIX_STOP"))
    return;
  world = g_new0 (world_t, 1);
  world->class_ = class_;
  world->checks_epochs = checks_epochs;
  world->planned_faults[0].fault = first;
  world->planned_faults[0].point = first_point;
  world->planned_faults[1].fault = second;
  world->planned_faults[1].point = second_point;
  world->overlap_allowed
      = may_overlap (checks_epochs, first, first_point)
        || may_overlap (checks_epochs, second, second_point);
  verdict = run_case (world);
  tally->counts[verdict]++;
  if (verdict == CASE_FAILED && tally->failures_printed++ < 10)
    printf ("  FAILED %s, epochs %s: %s at %s, %s at %s: %s\n",
            class_names[class_], checks_epochs ? "checked" : "not checked",
            first ? first->name : "-", point_names[first_point],
            second ? second->name : "-", point_names[second_point],
            world->failure);
  g_free (world);
}

static unsigned
point_count (class_t class_)
{
  return class_ == CLASS_RESUMABLE ? POINT_COUNT : AT_CHECKPOINT_SEND;
}

static void
check_tally (const char *name, const tally_t *tally)
{
  printf ("  %s: %u passed, %u failed, %u not covered\n", name,
          tally->counts[CASE_PASSED], tally->counts[CASE_FAILED],
          tally->counts[CASE_NOT_COVERED]);
  CU_ASSERT_EQUAL (tally->counts[CASE_FAILED], 0);
  CU_ASSERT_TRUE (tally->counts[CASE_PASSED]
                  > 10 * tally->counts[CASE_NOT_COVERED]);
}

/* Guards against a single fault at any step that causes an order to run twice,
   to be lost or to be misreported. */
static void
test_single_faults (void)
{
  tally_t tally = { { 0 }, 0 };

  for (int class_ = 0; class_ < CLASS_COUNT; class_++)
    for (int checks_epochs = 0; checks_epochs < 2; checks_epochs++)
      {
        run_and_count (&tally, class_, checks_epochs, NULL, 0, NULL, 0);
        for (unsigned point = 0; point < point_count (class_); point++)
          for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
            run_and_count (&tally, class_, checks_epochs, &faults[i], point,
                           NULL, 0);
      }
  check_tally ("single faults", &tally);
}

/* Guards against failures that occur only when two faults are combined. */
static void
test_pairs (void)
{
  tally_t tally = { { 0 }, 0 };
  const unsigned count = G_N_ELEMENTS (faults);
  unsigned case_number = 0;

  for (int class_ = 0; class_ < CLASS_COUNT; class_++)
    for (unsigned i = 0; i < count * point_count (class_); i++)
      for (unsigned j = i; j < count * point_count (class_); j++)
        run_and_count (&tally, class_, case_number++ % 2, &faults[i % count],
                       i / count, &faults[j % count], j / count);
  check_tally ("pairs", &tally);
}

/* Guards against an order that takes down one worker after another. */
static void
test_order_crashes_workers (void)
{
  static const fault_t crash = { "worker crashes", worker_crashes };

  for (int class_ = CLASS_IDEMPOTENT; class_ < CLASS_COUNT; class_++)
    {
      world_t *world = g_new0 (world_t, 1);

      world->class_ = (class_t)class_;
      world->faults_recur = true;
      world->planned_faults[0].fault = &crash;
      world->planned_faults[0].point = AT_START_REPLY;
      CU_ASSERT_EQUAL (run_case (world), CASE_PASSED);
      CU_ASSERT_EQUAL (world->runs[TARGET_ORDER].starts, 5);
      g_free (world);
    }
}

static const suite_test_t tests[] = {
  { "single faults", test_single_faults },
  { "order crashes workers", test_order_crashes_workers },
  { "pairs", test_pairs },
};

int
main (void)
{
  return suite_main ("attempts matrix", tests, G_N_ELEMENTS (tests));
}

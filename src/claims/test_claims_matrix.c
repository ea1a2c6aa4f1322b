/* Discrete event simulation of the claims and peers modules of 2 to 8 nodes
   under a matrix of faults.

   The simulation has a log, links, and node clocks of different rates.  After
   every event an oracle checks that at most one node may act on a shard, and
   that a node starts to act only when no work of the previous actor can still
   run.  After the faults end, some node must act on each shard within
   RECOVERY_BOUND.  A failure prints the case and its seed.  CLAIMS_TRACE=1
   prints the events of all cases; CLAIMS_STOP=1 exits at the first violation
   of exclusive ownership; CLAIMS_SEEDS and CLAIMS_FIRST_SEED set the number
   and the first of the random cases. */
#include "claims/claims.h"
#include "peers/peers.h"

#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define NODES_MAX 8U
#define SHARDS 2U
#define LEASE (2000 * MS)
#define DRAIN_TIME (1500 * MS)
#define HEARTBEAT_INTERVAL (250 * MS)
#define SUSPECT_AFTER (1000 * MS)
#define LIST_LAG (10000 * MS)
#define CLAIM_RETRY_DELAY (250 * MS)
#define LOG_POLL_INTERVAL (50 * MS)
#define LOG_TIMEOUT (500 * MS)
/* Run time of the work that remains on a shard lost or to be handed over. */
#define WORK_DURATION (300 * MS)
#define FAULT_DURATION (5000 * MS)
#define SETTLE_TIME (4000 * MS)
#define WITNESS_WAIT ((LEASE + DRAIN_TIME) * 101 / 100)
/* Time after the last fault for these steps in turn: a restarted process waits
   for a lease before it claims; an owner that its peers take as live lapses
   and releases; its successor pauses if the claim is contested
   (CONTEST_PAUSES_MAX in claims_take.c), claims in rendezvous order and waits
   for rule (w). */
#define RECOVERY_BOUND                                                        \
  (LEASE + (LEASE + LEASE + DRAIN_TIME) + SUSPECT_AFTER + HEARTBEAT_INTERVAL  \
   + 2 * (WITNESS_WAIT + LEASE) + NODES_MAX * CLAIM_RETRY_DELAY               \
   + WITNESS_WAIT + 2 * LOG_TIMEOUT)
/* The only evidence of the end of a replaced VM is its absence from the
   platform's list, which is read once a second; then rule (d) applies. */
#define LIST_BOUND (LIST_LAG + 2000 * MS + DRAIN_TIME * 101 / 100)

typedef enum
{
  EV_TICK,
  EV_PEER_MESSAGE,
  EV_APPEND,
  EV_APPENDED,
  EV_READ,
  EV_READ_DONE,
  EV_REFUSED,
  EV_VM_LIST,
  EV_FAULT_END
} event_kind_t;

typedef struct
{
  usec_t at;
  uint64_t order; /* of events at the same time */
  event_kind_t kind;
  unsigned from, to;      /* node indices */
  incarnation_t sender;   /* incarnation of FROM when sent */
  incarnation_t receiver; /* incarnation of TO when sent, 0 for any */
  /* EV_APPEND, EV_APPENDED: ARG is the sequence number.  EV_READ,
     EV_READ_DONE: the records from ARG, before ARG2.  EV_FAULT_END: ARG points
     to the fault_t, ARG2 is the set of targets. */
  uint64_t arg, arg2;
  usec_t sent_at; /* local time of the request */
  GByteArray *bytes;
} event_t;

typedef struct
{
  incarnation_t incarnation;
  uint64_t seq;
  bool duplicate;
  GByteArray *bytes;
} record_t;

typedef struct
{
  uint64_t seq;
  usec_t received_at; /* local time, USEC_NEVER for none */
  u64_list_t asked;
} relay_request_t;

typedef struct sim sim_t;

typedef struct
{
  sim_t *sim;
  unsigned index;
  incarnation_t incarnation;
  unsigned address;
  bool alive;
  bool vm_dead;
  bool frozen;
  bool stopping;
  bool leave_applied;
  double clock_rate;
  usec_t clock_offset;
  peers_t *peers;
  claims_t *claims;
  uint64_t applied_offset;
  uint64_t tick_order; /* of the only EV_TICK that is not obsolete */
  usec_t tick_at;      /* simulated time of that event, USEC_NEVER for none */
  GQueue *pending_appends;
  uint64_t append_seq;
  uint64_t renewal_seq; /* append_seq of the newest renewal + 1 */
  usec_t append_sent_at;
  usec_t read_sent_at;
  usec_t log_confirmed_at; /* local send time of the newest read */
  relay_request_t relay_requests[NODES_MAX];
  usec_t handover_since[SHARDS]; /* start of a handover: no new work */
  uint64_t lost_epoch[SHARDS];
  usec_t lost_at[SHARDS];
  GPtrArray *deferred_events; /* event_t that arrived while frozen */
} node_t;

typedef struct
{
  incarnation_t last_actor; /* newest incarnation that could act */
  usec_t last_act_at;       /* simulated time */
  bool handed_over;         /* last_actor released the shard after its work */
  usec_t recovered_at;      /* first act after the faults, or USEC_NEVER */
} shard_oracle_t;

typedef enum
{
  STEP_BEFORE_APPEND,
  STEP_APPENDED,
  STEP_WAITING,
  STEP_ACTIVE,
  STEP_RENEWING,
  STEP_RELEASING,
  STEP_COUNT
} step_t;

static const char *const step_names[]
    = { "before append", "appended", "waiting",
        "active",        "renewing", "releasing" };

struct sim
{
  GRand *rand;
  usec_t now;
  uint64_t order;
  uint64_t next_incarnation;
  GArray *events; /* event_t */
  GArray *log;    /* record_t */
  unsigned node_count;
  node_t nodes[NODES_MAX];
  shard_oracle_t oracles[SHARDS];
  /* Active faults; sets of nodes are bit masks of indices. */
  unsigned links_cut[NODES_MAX]; /* receivers that node I does not reach */
  unsigned log_cut;              /* nodes that do not reach the log */
  unsigned log_slow;
  unsigned reply_lost;
  usec_t delay;
  unsigned drop_percent;
  unsigned duplicate_percent;
  usec_t list_delay;
  usec_t vm_ended_at[NODES_MAX]; /* USEC_NEVER while the VM runs */
  /* Progress of the case. */
  int owner;    /* index of the owner before the cause, -1 for none */
  int claimant; /* index of the first claimant after the cause, -1 for none */
  usec_t reached_at[STEP_COUNT];
  step_t wanted;
  usec_t faults_ended_at; /* USEC_NEVER before */
  bool vm_lost;
  unsigned owner_renewals; /* renewals in the log */
  const char *violation;
  bool trace;
};

typedef struct
{
  const char *name;
  void (*begin) (sim_t *sim, unsigned targets);
  void (*end) (sim_t *sim, unsigned targets);
  enum
  {
    TARGET_CLAIMANT,
    TARGET_OWNER,
    TARGET_OTHER, /* the first node that is neither owner nor claimant */
    TARGET_ALL_BUT_CLAIMANT,
    TARGET_OWNER_SIDE,    /* the owner and others with even index */
    TARGET_CLAIMANT_SIDE, /* the claimant and others with even index */
    TARGET_ALL
  } target;
} fault_t;

static void node_start (sim_t *sim, unsigned index);
static void node_stop (node_t *node);
static void node_tick (node_t *node);
static void schedule_tick (node_t *node, usec_t at);
static void step_reached (node_t *node, step_t step, uint32_t shard);
static void trace (const sim_t *sim, const node_t *node, const char *text,
                   uint64_t arg, uint64_t arg2);

/* Clocks and events. */

static usec_t
local_time (const node_t *node)
{
  return node->clock_offset
         + (usec_t)((double)node->sim->now * node->clock_rate);
}

static usec_t
simulated_time (const node_t *node, usec_t at)
{
  return (usec_t)((double)(at - node->clock_offset) / node->clock_rate) + 1;
}

static event_t *
event_at (const sim_t *sim, guint index)
{
  return &g_array_index (sim->events, event_t, index);
}

static bool
event_earlier (const event_t *a, const event_t *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static uint64_t
event_push (sim_t *sim, event_t event)
{
  guint i = sim->events->len;

  event.order = ++sim->order;
  event.at = MAX (event.at, sim->now);
  g_array_append_val (sim->events, event);
  while (i && event_earlier (event_at (sim, i), event_at (sim, (i - 1) / 2)))
    {
      event_t swap = *event_at (sim, i);

      *event_at (sim, i) = *event_at (sim, (i - 1) / 2);
      *event_at (sim, (i - 1) / 2) = swap;
      i = (i - 1) / 2;
    }
  return event.order;
}

static event_t
event_pop (sim_t *sim)
{
  event_t first = *event_at (sim, 0);
  guint i = 0;

  *event_at (sim, 0) = *event_at (sim, sim->events->len - 1);
  g_array_set_size (sim->events, sim->events->len - 1);
  for (;;)
    {
      guint least = i;
      event_t swap;

      for (guint c = 2 * i + 1; c <= 2 * i + 2; c++)
        if (c < sim->events->len
            && event_earlier (event_at (sim, c), event_at (sim, least)))
          least = c;
      if (least == i)
        return first;
      swap = *event_at (sim, i);
      *event_at (sim, i) = *event_at (sim, least);
      *event_at (sim, least) = swap;
      i = least;
    }
}

static usec_t
random_latency (sim_t *sim, usec_t extra)
{
  usec_t base = g_rand_int_range (sim->rand, 500, 6000);

  return base + (extra ? g_rand_int_range (sim->rand, 0, (gint32)extra) : 0);
}

static void
trace (const sim_t *sim, const node_t *node, const char *text, uint64_t arg,
       uint64_t arg2)
{
  if (sim->trace)
    printf ("%8.3f node %u %s %" PRIu64 " %" PRIu64 "\n",
            (double)sim->now / 1e6, node->index + 1, text, arg, arg2);
}

/* Links. */

static void
link_send (node_t *node, unsigned to, incarnation_t receiver,
           const message_t *message)
{
  sim_t *sim = node->sim;
  unsigned copies = 1;

  if (to >= sim->node_count || (sim->links_cut[node->index] & (1U << to))
      || (unsigned)g_rand_int_range (sim->rand, 0, 100) < sim->drop_percent)
    return;
  if ((unsigned)g_rand_int_range (sim->rand, 0, 100) < sim->duplicate_percent)
    copies = 2;
  for (unsigned i = 0; i < copies; i++)
    {
      event_t event = { .kind = EV_PEER_MESSAGE,
                        .at = sim->now + random_latency (sim, sim->delay),
                        .from = node->index,
                        .to = to,
                        .sender = node->incarnation,
                        .receiver = receiver,
                        .bytes = g_byte_array_new () };

      message_encode (message, event.bytes);
      event_push (sim, event);
    }
}

static void
on_peer_send (void *ctx, node_id_t to, const message_t *message)
{
  node_t *node = ctx;
  const peer_t *peer = peers_get (node->peers, to);
  char address[16];
  message_t hello = { .type = MSG_HELLO,
                      .u.hello = { .node = node->index + 1,
                                   .incarnation = node->incarnation } };

  snprintf (address, sizeof address, "vm%u", node->address);
  hello.u.hello.address = blob_of (address);
  if (!peer || peer->state != PEER_LIVE)
    link_send (node, to - 1, 0, &hello);
  link_send (node, to - 1, 0, message);
}

static void
on_fill_heartbeat (void *ctx, const peer_t *peer, msg_heartbeat_t *heartbeat)
{
  node_t *node = ctx;

  heartbeat->draining = node->stopping;
  heartbeat->holds_asked = claims_holds_wanted (
      node->claims, local_time (node), peer->incarnation);
}

static void
on_peer_changed (void *ctx, usec_t now, const peer_t *peer,
                 peer_state_t before)
{
  (void)now;
  (void)before;
  trace (((node_t *)ctx)->sim, ctx, "sees peer in state", peer->node,
         peer->state);
}

static void
on_peer_ended (void *ctx, usec_t now, node_id_t peer,
               incarnation_t incarnation)
{
  node_t *node = ctx;

  trace (node->sim, node, "has evidence of end of", peer, incarnation);
  claims_incarnation_ended (node->claims, now, incarnation);
}

static void
on_acknowledged (void *ctx, usec_t now, usec_t sent_at, const peer_t *peer,
                 const msg_heartbeat_ack_t *ack)
{
  claims_holds_granted (((node_t *)ctx)->claims, now, sent_at,
                        peer->incarnation, &ack->holds_granted);
}

static const peers_ops_t peers_ops
    = { on_peer_send, on_fill_heartbeat, on_peer_changed, on_peer_ended,
        on_acknowledged };

static bool
log_ok (const node_t *node)
{
  return node->log_confirmed_at != USEC_NEVER
         && local_time (node) - node->log_confirmed_at < SUSPECT_AFTER;
}

static void
answer_heartbeat (node_t *node, unsigned from, const msg_heartbeat_t *asked)
{
  relay_request_t *request = &node->relay_requests[from];
  message_t ack = { .type = MSG_HEARTBEAT_ACK };
  const u64_list_t *holds = &asked->holds_asked;

  ack.u.heartbeat_ack.seq = asked->seq;
  ack.u.heartbeat_ack.log_ok = log_ok (node);
  ack.u.heartbeat_ack.log_offset = node->applied_offset;
  ack.u.heartbeat_ack.holds_granted = claims_grant_holds (node->claims, holds);
  link_send (node, from, 0, &ack);
  message_clear (&ack);
  g_free (request->asked.items);
  request->seq = asked->seq;
  request->received_at = local_time (node);
  request->asked.count = holds->count;
  request->asked.items
      = g_memdup2 (holds->items, holds->count * sizeof *holds->items);
}

/* Sends log relays, confirmation (b), to peers that cannot reach the log. */
static void
answer_relays (node_t *node, usec_t read_sent_at)
{
  for (unsigned i = 0; i < node->sim->node_count; i++)
    {
      relay_request_t *request = &node->relay_requests[i];
      const peer_t *peer = peers_get (node->peers, i + 1);
      message_t relay = { .type = MSG_LOG_RELAY };

      if (request->received_at == USEC_NEVER
          || request->received_at >= read_sent_at || !peer || peer->log_ok)
        continue;
      relay.u.log_relay.seq = request->seq;
      relay.u.log_relay.superseded
          = claims_find_superseded (node->claims, &request->asked);
      link_send (node, i, 0, &relay);
      message_clear (&relay);
      request->received_at = USEC_NEVER;
    }
}

static void
on_peer_message (node_t *node, const event_t *event)
{
  const peer_t *peer;
  usec_t now = local_time (node);
  usec_t sent_at;
  message_t received;

  message_decode ((blob_t){ (char *)event->bytes->data, event->bytes->len },
                  &received, NULL);
  if (received.type == MSG_HELLO)
    peers_receive (node->peers, now, event->from + 1, &received);
  peer = peers_get (node->peers, event->from + 1);
  if (peer && peer->incarnation == event->sender && received.type != MSG_HELLO)
    {
      peers_receive (node->peers, now, event->from + 1, &received);
      if (received.type == MSG_HEARTBEAT)
        answer_heartbeat (node, event->from, &received.u.heartbeat);
      else if (received.type == MSG_CLAIM_ACK)
        claims_acknowledged (node->claims, now, event->sender,
                             (uint32_t)received.u.claim_ack.shard,
                             received.u.claim_ack.epoch);
      else if (received.type == MSG_PEER_RELEASE)
        claims_peer_released (node->claims, now, event->sender,
                              &received.u.peer_release.released);
      else if (received.type == MSG_LOG_RELAY)
        {
          sent_at = peers_sent_at (node->peers, event->from + 1,
                                   received.u.log_relay.seq);
          if (sent_at != USEC_NEVER)
            claims_relay_confirmed (node->claims, now, sent_at,
                                    &received.u.log_relay.superseded);
        }
    }
  message_clear (&received);
}

/* The log and the journal of each node, which sends one append at a time and
   repeats it with the same sequence number until it is acknowledged. */

static void
log_send (node_t *node, event_t event)
{
  sim_t *sim = node->sim;
  bool slow = sim->log_slow & (1U << node->index);

  event.from = event.to = node->index;
  event.sender = event.receiver = node->incarnation;
  event.at = sim->now + random_latency (sim, slow ? 2500 * MS : 0);
  if (!(sim->log_cut & (1U << node->index)))
    event_push (sim, event);
  else if (event.bytes)
    g_byte_array_free (event.bytes, TRUE);
}

static void
journal_append (node_t *node, const message_t *entry)
{
  GByteArray *bytes = g_byte_array_new ();

  message_encode (entry, bytes);
  g_queue_push_tail (node->pending_appends, bytes);
}

static void
journal_tick (node_t *node)
{
  usec_t now = local_time (node);
  GByteArray *first = g_queue_peek_head (node->pending_appends);

  if (first
      && (node->append_sent_at == USEC_NEVER
          || now - node->append_sent_at >= LOG_TIMEOUT))
    {
      event_t event = { .kind = EV_APPEND, .arg = node->append_seq };

      event.bytes = g_byte_array_new ();
      g_byte_array_append (event.bytes, first->data, first->len);
      node->append_sent_at = now;
      log_send (node, event);
    }
  if (node->read_sent_at == USEC_NEVER
      || now - node->read_sent_at >= LOG_TIMEOUT)
    {
      event_t event
          = { .kind = EV_READ, .arg = node->applied_offset, .sent_at = now };

      node->read_sent_at = now;
      log_send (node, event);
    }
}

static void
server_append (sim_t *sim, event_t *event)
{
  record_t record = { event->sender, event->arg, false, event->bytes };
  event_t reply = { .kind = EV_APPENDED, .arg = event->arg };

  for (guint i = 0; i < sim->log->len; i++)
    {
      const record_t *other = &g_array_index (sim->log, record_t, i);

      record.duplicate = record.duplicate
                         || (other->incarnation == record.incarnation
                             && other->seq == record.seq);
    }
  if (sim->nodes[event->from].incarnation == event->sender)
    sim->owner_renewals
        += sim->nodes[event->from].renewal_seq == event->arg + 1;
  event->bytes = NULL;
  g_array_append_val (sim->log, record);
  if (!(sim->reply_lost & (1U << event->from))
      && sim->nodes[event->from].incarnation == event->sender)
    log_send (&sim->nodes[event->from], reply);
}

static void
server_read (sim_t *sim, const event_t *event)
{
  event_t reply = { .kind = EV_READ_DONE,
                    .arg = event->arg,
                    .arg2 = sim->log->len,
                    .sent_at = event->sent_at };

  if (sim->nodes[event->from].incarnation == event->sender)
    log_send (&sim->nodes[event->from], reply);
}

static void
apply_record (node_t *node, const record_t *record)
{
  message_t entry;

  if (record->duplicate)
    return;
  message_decode ((blob_t){ (char *)record->bytes->data, record->bytes->len },
                  &entry, NULL);
  if (entry.type == MSG_MEMBER)
    peers_add (node->peers, local_time (node), (node_id_t)entry.u.member.node,
               0);
  claims_apply (node->claims, local_time (node), &entry);
  if (entry.type == MSG_CLAIM && entry.u.claim.incarnation == node->incarnation
      && claims_epoch (node->claims, (uint32_t)entry.u.claim.shard)
             == entry.u.claim.epoch)
    step_reached (node, STEP_WAITING, (uint32_t)entry.u.claim.shard);
  if (entry.type == MSG_LEAVE
      && entry.u.leave.incarnation == node->incarnation)
    node->leave_applied = true;
  message_clear (&entry);
}

static void
on_read_done (node_t *node, const event_t *event)
{
  if (event->arg > node->applied_offset)
    return;
  for (; node->applied_offset < event->arg2; node->applied_offset++)
    apply_record (node, &g_array_index (node->sim->log, record_t,
                                        (guint)node->applied_offset));
  node->read_sent_at = MIN (node->read_sent_at, local_time (node) - LOG_TIMEOUT
                                                    + LOG_POLL_INTERVAL);
  node->log_confirmed_at = MAX (node->log_confirmed_at, event->sent_at);
  claims_log_confirmed (node->claims, local_time (node), event->sent_at);
  answer_relays (node, event->sent_at);
}

/* Claims callbacks. */

static void
on_append (void *ctx, const message_t *entry)
{
  node_t *node = ctx;
  bool claim = entry->type == MSG_CLAIM;
  uint32_t shard
      = (uint32_t)(claim ? entry->u.claim.shard : entry->u.release.shard);
  bool renewal
      = claim && claims_owner (node->claims, shard) == node->index + 1;

  trace (node->sim, node, claim ? "appends claim" : "appends release", shard,
         claim ? entry->u.claim.epoch : entry->u.release.epoch);
  if (claim && !renewal)
    step_reached (node, STEP_BEFORE_APPEND, shard);
  if (renewal)
    node->renewal_seq
        = node->append_seq + g_queue_get_length (node->pending_appends) + 1;
  journal_append (node, entry);
  if (claim)
    step_reached (node, renewal ? STEP_RENEWING : STEP_APPENDED, shard);
  else
    step_reached (node, STEP_RELEASING, shard);
}

static void
on_claims_send (void *ctx, node_id_t to, incarnation_t incarnation,
                const message_t *message)
{
  link_send (ctx, to - 1, incarnation, message);
}

static void
on_gained (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  node_t *node = ctx;

  (void)now;
  trace (node->sim, node, "gained", shard, epoch);
  node->handover_since[shard] = USEC_NEVER;
  node->lost_at[shard] = USEC_NEVER;
  step_reached (node, STEP_ACTIVE, shard);
}

static void
on_lost (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  node_t *node = ctx;

  trace (node->sim, node, "lost", shard, epoch);
  node->lost_at[shard] = now;
  node->lost_epoch[shard] = epoch;
}

static uint32_t
on_preferred_zone (void *ctx, uint32_t shard)
{
  (void)ctx;
  return shard % 2;
}

static const claims_ops_t claims_ops
    = { on_append, on_claims_send, on_gained, on_lost, on_preferred_zone };

/* Nodes. */

static void
node_start (sim_t *sim, unsigned index)
{
  node_t *node = &sim->nodes[index];
  char address[16];
  peers_config_t peers_config = { .node = index + 1,
                                  .heartbeat_interval = HEARTBEAT_INTERVAL,
                                  .suspect_after = SUSPECT_AFTER,
                                  .list_lag = LIST_LAG };
  claims_config_t claims_config = { .node = index + 1,
                                    .zone = index % 2,
                                    .shard_count = SHARDS,
                                    .list_lag = LIST_LAG,
                                    .lease = LEASE,
                                    .drain_time = DRAIN_TIME,
                                    .claim_retry_delay = CLAIM_RETRY_DELAY };
  message_t member = { .type = MSG_MEMBER };

  memset (node, 0, sizeof *node);
  node->sim = sim;
  node->index = index;
  node->alive = true;
  node->address
      = index + (sim->vm_ended_at[index] != USEC_NEVER ? NODES_MAX : 0);
  sim->vm_ended_at[index] = USEC_NEVER;
  node->incarnation = ++sim->next_incarnation;
  node->clock_rate = 0.9955 + 0.009 * g_rand_double (sim->rand);
  node->clock_offset = g_rand_int_range (sim->rand, 0, 1000000000);
  node->append_sent_at = node->read_sent_at = node->log_confirmed_at
      = USEC_NEVER;
  node->tick_at = USEC_NEVER;
  node->pending_appends = g_queue_new ();
  node->deferred_events = g_ptr_array_new ();
  for (unsigned i = 0; i < NODES_MAX; i++)
    node->relay_requests[i].received_at = USEC_NEVER;
  for (unsigned s = 0; s < SHARDS; s++)
    node->handover_since[s] = node->lost_at[s] = USEC_NEVER;
  peers_config.incarnation = claims_config.incarnation = node->incarnation;
  node->peers = peers_new (&peers_config, &peers_ops, node);
  node->claims = claims_new (&claims_config, &claims_ops, node);
  for (unsigned i = 0; i < sim->node_count; i++)
    peers_add (node->peers, local_time (node), i + 1, i % 2);
  snprintf (address, sizeof address, "vm%u", node->address);
  member.u.member = (msg_member_t){ .node = index + 1,
                                    .incarnation = node->incarnation,
                                    .address = blob_of (address) };
  journal_append (node, &member);
  schedule_tick (node, sim->now);
}

static void
event_free (event_t *event)
{
  if (event->bytes)
    g_byte_array_free (event->bytes, TRUE);
  event->bytes = NULL;
}

static void
node_stop (node_t *node)
{
  GByteArray *bytes;

  if (!node->alive)
    return;
  trace (node->sim, node, "ends", node->incarnation, 0);
  while ((bytes = g_queue_pop_head (node->pending_appends)))
    g_byte_array_free (bytes, TRUE);
  g_queue_free (node->pending_appends);
  for (guint i = 0; i < node->deferred_events->len; i++)
    {
      event_free (node->deferred_events->pdata[i]);
      g_free (node->deferred_events->pdata[i]);
    }
  g_ptr_array_free (node->deferred_events, TRUE);
  for (unsigned i = 0; i < NODES_MAX; i++)
    g_free (node->relay_requests[i].asked.items);
  peers_free (node->peers);
  claims_free (node->claims);
  node->alive = false;
  node->frozen = false;
}

static void
schedule_tick (node_t *node, usec_t at)
{
  if (node->tick_at != USEC_NEVER && node->tick_at <= at)
    return;
  node->tick_at = at;
  node->tick_order
      = event_push (node->sim, (event_t){ .kind = EV_TICK,
                                          .at = at,
                                          .to = node->index,
                                          .receiver = node->incarnation });
}

static void
update_candidates (node_t *node)
{
  claims_candidate_t list[NODES_MAX];
  size_t count = 0;

  list[count++] = (claims_candidate_t){ .node = node->index + 1,
                                        .incarnation = node->incarnation,
                                        .zone = node->index % 2,
                                        .no_new_shards
                                        = node->stopping || !log_ok (node) };
  for (unsigned i = 0; i < node->sim->node_count; i++)
    {
      const peer_t *peer = peers_get (node->peers, i + 1);

      if (peer && peer->incarnation
          && (peer->state == PEER_LIVE
              || (peer->state != PEER_ENDED
                  && peers_reported_live (node->peers, i + 1))))
        list[count++]
            = (claims_candidate_t){ .node = i + 1,
                                    .incarnation = peer->incarnation,
                                    .zone = i % 2,
                                    .no_new_shards = peer->state != PEER_LIVE
                                                     || peer->draining
                                                     || !peer->log_ok };
    }
  claims_set_candidates (node->claims, local_time (node), list, count);
}

/* Releases shards to be handed over, and lost ones, once their work has
   ended. */
static void
release_shards (node_t *node)
{
  usec_t now = local_time (node);

  for (uint32_t s = 0; s < SHARDS; s++)
    {
      shard_oracle_t *oracle = &node->sim->oracles[s];
      bool superseded
          = node->lost_at[s] != USEC_NEVER
            && now - node->lost_at[s] >= WORK_DURATION
            && claims_epoch (node->claims, s) > node->lost_epoch[s];
      bool done = node->handover_since[s] != USEC_NEVER
                  && now - node->handover_since[s] >= WORK_DURATION;

      if (node->handover_since[s] == USEC_NEVER
          && claims_should_release (node->claims, s))
        node->handover_since[s] = now;
      if (!superseded && !done)
        continue;
      node->handover_since[s] = node->lost_at[s] = USEC_NEVER;
      oracle->handed_over
          = oracle->handed_over || oracle->last_actor == node->incarnation;
      claims_release (node->claims, now, s);
    }
}

static void
begin_stop (node_t *node)
{
  node->stopping = true;
  claims_drain (node->claims);
}

/* A stopping node appends LEAVE once it owns no shard, and ends when it has
   read LEAVE back. */
static void
tick_stopping (node_t *node)
{
  message_t leave = { .type = MSG_LEAVE,
                      .u.leave = { node->index + 1, node->incarnation } };
  bool owns = false;

  if (!node->stopping)
    return;
  for (uint32_t s = 0; s < SHARDS; s++)
    owns = owns || claims_owner (node->claims, s) == node->index + 1;
  if (owns || !g_queue_is_empty (node->pending_appends))
    return;
  if (!node->leave_applied && log_ok (node))
    journal_append (node, &leave);
}

static void
node_tick (node_t *node)
{
  usec_t next;

  update_candidates (node);
  next = claims_tick (node->claims, local_time (node));
  if (!node->alive)
    return;
  next = MIN (next, peers_tick (node->peers, local_time (node)));
  next = MIN (next, local_time (node) + LOG_POLL_INTERVAL);
  release_shards (node);
  tick_stopping (node);
  journal_tick (node);
  if (node->leave_applied)
    node_stop (node);
  else
    schedule_tick (node, simulated_time (node, next));
}

/* The oracle. */

static bool
may_act (node_t *node, uint32_t shard)
{
  uint64_t epoch;

  return node->alive && !node->frozen
         && node->handover_since[shard] == USEC_NEVER
         && claims_may_act (node->claims, local_time (node), shard, &epoch);
}

static void
record_violation (sim_t *sim, const char *text, unsigned node, uint32_t shard)
{
  if (!sim->violation)
    sim->violation = text;
  trace (sim, &sim->nodes[node], text, shard, 0);
}

static void
check_ownership (sim_t *sim)
{
  for (uint32_t s = 0; s < SHARDS; s++)
    {
      shard_oracle_t *oracle = &sim->oracles[s];
      unsigned actors = 0;

      for (unsigned i = 0; i < sim->node_count; i++)
        {
          node_t *node = &sim->nodes[i];

          if (!may_act (node, s))
            continue;
          if (++actors > 1)
            record_violation (sim, "second node may act on shard", i, s);
          if (oracle->last_actor && oracle->last_actor != node->incarnation
              && !oracle->handed_over
              && sim->now - oracle->last_act_at < DRAIN_TIME)
            record_violation (sim, "acts while work may still run on shard", i,
                              s);
          if (oracle->last_actor != node->incarnation)
            oracle->handed_over = false;
          oracle->last_actor = node->incarnation;
          oracle->last_act_at = sim->now;
          if (sim->faults_ended_at != USEC_NEVER
              && oracle->recovered_at == USEC_NEVER)
            oracle->recovered_at = sim->now;
        }
    }
}

/* Faults.  TARGETS is a bit mask of node indices. */

static void
for_each_node (sim_t *sim, unsigned targets, void (*act) (node_t *node))
{
  for (unsigned i = 0; i < sim->node_count; i++)
    if (targets & (1U << i))
      act (&sim->nodes[i]);
}

static void
refuse_connects (sim_t *sim, unsigned index)
{
  for (unsigned i = 0; i < sim->node_count; i++)
    if (i != index && !(sim->links_cut[i] & (1U << index))
        && !(sim->links_cut[index] & (1U << i)))
      event_push (
          sim, (event_t){ .kind = EV_REFUSED,
                          .at = sim->now + 20 * MS + random_latency (sim, 0),
                          .from = index,
                          .to = i,
                          .receiver = sim->nodes[i].incarnation });
}

static void
kill_node (node_t *node)
{
  node_stop (node);
  refuse_connects (node->sim, node->index);
}

static void
kill_vm (node_t *node)
{
  node_stop (node);
  node->vm_dead = true;
  node->sim->vm_lost = true;
  node->sim->vm_ended_at[node->index] = node->sim->now;
}

static void
restart_node (node_t *node)
{
  if (!node->alive)
    node_start (node->sim, node->index);
}

static void
freeze_node (node_t *node)
{
  node->frozen = node->alive;
}

static void
resume_node (node_t *node)
{
  sim_t *sim = node->sim;

  if (!node->alive || !node->frozen)
    return;
  node->frozen = false;
  trace (sim, node, "resumes", 0, 0);
  for (guint i = 0; i < node->deferred_events->len; i++)
    {
      event_t *event = node->deferred_events->pdata[i];

      event->at = sim->now;
      event_push (sim, *event);
      g_free (event);
    }
  g_ptr_array_set_size (node->deferred_events, 0);
  node->tick_at = USEC_NEVER;
  schedule_tick (node, sim->now);
}

static void
stop_node (node_t *node)
{
  if (node->alive)
    begin_stop (node);
}

#define NODE_FAULT(name, act)                                                 \
  static void name (sim_t *sim, unsigned targets)                             \
  {                                                                           \
    for_each_node (sim, targets, act);                                        \
  }
NODE_FAULT (begin_kill, kill_node)
NODE_FAULT (begin_kill_vm, kill_vm)
NODE_FAULT (end_restart, restart_node)
NODE_FAULT (begin_freeze, freeze_node)
NODE_FAULT (end_freeze, resume_node)
NODE_FAULT (begin_planned_stop, stop_node)

static void
cut_links (sim_t *sim, unsigned from, unsigned to, bool on)
{
  for (unsigned i = 0; i < sim->node_count; i++)
    if (from & (1U << i))
      sim->links_cut[i] = on ? sim->links_cut[i] | (to & ~(1U << i))
                             : sim->links_cut[i] & ~to;
}

#define LINK_FAULT(name, from, to)                                            \
  static void begin_##name (sim_t *sim, unsigned targets)                     \
  {                                                                           \
    cut_links (sim, from, to, true);                                          \
  }                                                                           \
  static void end_##name (sim_t *sim, unsigned targets)                       \
  {                                                                           \
    cut_links (sim, from, to, false);                                         \
  }
LINK_FAULT (cut_out, targets, ~0U)
LINK_FAULT (cut_in, ~0U, targets)

static void
begin_cut_both (sim_t *sim, unsigned targets)
{
  begin_cut_out (sim, targets);
  begin_cut_in (sim, targets);
}

static void
end_cut_both (sim_t *sim, unsigned targets)
{
  end_cut_out (sim, targets);
  end_cut_in (sim, targets);
}

/* Cuts the links between the owner and the claimant, or the node after the
   owner if there is no claimant. */
static void
cut_owner_from_claimant (sim_t *sim, bool on)
{
  unsigned owner = 1U << MAX (sim->owner, 0);
  unsigned next = (unsigned)(MAX (sim->owner, 0) + 1) % sim->node_count;
  unsigned other = 1U << (sim->claimant >= 0 ? (unsigned)sim->claimant : next);

  cut_links (sim, owner, other, on);
  cut_links (sim, other, owner, on);
}

static void
begin_pair_cut (sim_t *sim, unsigned targets)
{
  (void)targets;
  cut_owner_from_claimant (sim, true);
}

static void
end_pair_cut (sim_t *sim, unsigned targets)
{
  end_cut_both (sim, targets | ~0U);
}

static void
begin_isolate (sim_t *sim, unsigned targets)
{
  begin_cut_both (sim, targets);
  sim->log_cut |= targets;
}

static void
end_isolate (sim_t *sim, unsigned targets)
{
  end_cut_both (sim, targets);
  sim->log_cut &= ~targets;
}

/* Second phase of begin_isolate_then_restore: the owner was isolated until its
   shard could be claimed.  Now it reaches all peers but the claimant, and
   still not the log. */
static void
end_restore_links (sim_t *sim, unsigned targets)
{
  end_cut_both (sim, targets);
  cut_owner_from_claimant (sim, true);
}

static void
end_nothing (sim_t *sim, unsigned targets)
{
  (void)sim;
  (void)targets;
}

/* Only ends the partition; run_growth begins it. */
static const fault_t partition_of_old_nodes
    = { "partition of old nodes", end_nothing, end_isolate, TARGET_ALL };

static const fault_t restore_links
    = { "restore links", NULL, end_restore_links, 0 };

static void
begin_isolate_then_restore (sim_t *sim, unsigned targets)
{
  begin_isolate (sim, targets);
  event_push (sim, (event_t){ .kind = EV_FAULT_END,
                              .at = sim->now + SUSPECT_AFTER
                                    + HEARTBEAT_INTERVAL + 350 * MS,
                              .arg = (uint64_t)(uintptr_t)&restore_links,
                              .arg2 = targets });
}

#define NODE_SET_FAULT(name, field)                                           \
  static void begin_##name (sim_t *sim, unsigned targets)                     \
  {                                                                           \
    sim->field |= targets;                                                    \
  }                                                                           \
  static void end_##name (sim_t *sim, unsigned targets)                       \
  {                                                                           \
    sim->field &= ~targets;                                                   \
  }
NODE_SET_FAULT (log_cut, log_cut)
NODE_SET_FAULT (log_slow, log_slow)
NODE_SET_FAULT (reply_lost, reply_lost)

#define VALUE_FAULT(name, field, value)                                       \
  static void begin_##name (sim_t *sim, unsigned targets)                     \
  {                                                                           \
    (void)targets;                                                            \
    sim->field = (value);                                                     \
  }                                                                           \
  static void end_##name (sim_t *sim, unsigned targets)                       \
  {                                                                           \
    (void)targets;                                                            \
    sim->field = 0;                                                           \
  }
VALUE_FAULT (delay, delay, 3000 * MS)
VALUE_FAULT (reorder, delay, 200 * MS)
VALUE_FAULT (drop, drop_percent, 40)
VALUE_FAULT (duplicate, duplicate_percent, 50)
VALUE_FAULT (late_list, list_delay, 9000 * MS)

/* Appends a claim of the newest epoch, as if its append had been delayed.  It
   is void, because another claim of that epoch precedes it. */
static void
append_stale_claim (node_t *node)
{
  sim_t *sim = node->sim;
  uint64_t witnesses[NODES_MAX];
  message_t entry = { .type = MSG_CLAIM,
                      .u.claim = { .node = node->index + 1,
                                   .incarnation = node->incarnation,
                                   .witnesses = { 0, witnesses } } };
  record_t record = { .bytes = g_byte_array_new () };

  for (unsigned i = 0; i < sim->node_count; i++)
    {
      if (!sim->nodes[i].alive || i == node->index)
        continue;
      witnesses[entry.u.claim.witnesses.count++] = sim->nodes[i].incarnation;
      entry.u.claim.epoch
          = MAX (entry.u.claim.epoch, claims_epoch (sim->nodes[i].claims, 0));
    }
  message_encode (&entry, record.bytes);
  g_array_append_val (sim->log, record);
}

NODE_FAULT (begin_stale_claim, append_stale_claim)

/* The targets reach each other, but neither the other nodes nor the log. */
static void
begin_partition (sim_t *sim, unsigned targets)
{
  cut_links (sim, targets, ~targets, true);
  cut_links (sim, ~targets, targets, true);
  sim->log_cut |= targets;
}

/* The faults of the matrix. */
static const fault_t faults[] = {
  { "kill claimant", begin_kill, end_restart, TARGET_CLAIMANT },
  { "kill owner", begin_kill, end_restart, TARGET_OWNER },
  { "kill witness", begin_kill, end_restart, TARGET_OTHER },
  { "kill VM of claimant", begin_kill_vm, end_restart, TARGET_CLAIMANT },
  { "kill VM of witness", begin_kill_vm, end_restart, TARGET_OTHER },
  { "freeze claimant", begin_freeze, end_freeze, TARGET_CLAIMANT },
  { "freeze owner", begin_freeze, end_freeze, TARGET_OWNER },
  { "freeze others", begin_freeze, end_freeze, TARGET_ALL_BUT_CLAIMANT },
  { "cut claimant outgoing", begin_cut_out, end_cut_out, TARGET_CLAIMANT },
  { "cut claimant incoming", begin_cut_in, end_cut_in, TARGET_CLAIMANT },
  { "cut claimant", begin_cut_both, end_cut_both, TARGET_CLAIMANT },
  { "cut owner", begin_cut_both, end_cut_both, TARGET_OWNER },
  { "cut owner from claimant", begin_pair_cut, end_pair_cut, TARGET_OWNER },
  { "isolate claimant", begin_isolate, end_isolate, TARGET_CLAIMANT },
  { "log down for all", begin_log_cut, end_log_cut, TARGET_ALL },
  { "log down for claimant", begin_log_cut, end_log_cut, TARGET_CLAIMANT },
  { "log down for owner", begin_log_cut, end_log_cut, TARGET_OWNER },
  { "log down for others", begin_log_cut, end_log_cut,
    TARGET_ALL_BUT_CLAIMANT },
  { "log slow", begin_log_slow, end_log_slow, TARGET_ALL },
  { "append replies lost", begin_reply_lost, end_reply_lost, TARGET_ALL },
  { "messages delayed", begin_delay, end_delay, TARGET_ALL },
  { "messages reordered", begin_reorder, end_reorder, TARGET_ALL },
  { "messages dropped", begin_drop, end_drop, TARGET_ALL },
  { "messages duplicated", begin_duplicate, end_duplicate, TARGET_ALL },
  { "list late", begin_late_list, end_late_list, TARGET_ALL },
  { "planned stop of claimant", begin_planned_stop, end_restart,
    TARGET_CLAIMANT },
  { "planned stop of witness", begin_planned_stop, end_restart, TARGET_OTHER },
  { "stale claim of another", begin_stale_claim, end_nothing, TARGET_OTHER },
  { "partition with owner", begin_partition, end_isolate, TARGET_OWNER_SIDE },
  { "partition with claimant", begin_partition, end_isolate,
    TARGET_CLAIMANT_SIDE },
};

/* Faults that make another node claim the shard. */
static const fault_t causes[] = {
  { "freeze owner", begin_freeze, end_freeze, TARGET_OWNER },
  { "kill owner", begin_kill, end_restart, TARGET_OWNER },
  { "kill VM of owner", begin_kill_vm, end_restart, TARGET_OWNER },
  { "isolate owner", begin_isolate, end_isolate, TARGET_OWNER },
  { "isolate owner, then restore links", begin_isolate_then_restore,
    end_isolate, TARGET_OWNER },
  { "planned stop of owner", begin_planned_stop, end_restart, TARGET_OWNER },
};

static unsigned
target_set (const sim_t *sim, int target)
{
  unsigned all = (1U << sim->node_count) - 1;
  unsigned owner = sim->owner >= 0 ? 1U << sim->owner : 1U;
  unsigned claimant = sim->claimant >= 0 ? 1U << sim->claimant : owner;
  unsigned others = all & ~owner & ~claimant;
  unsigned sets[] = { [TARGET_CLAIMANT] = claimant,
                      [TARGET_OWNER] = owner,
                      [TARGET_OTHER] = others & (~others + 1),
                      [TARGET_ALL_BUT_CLAIMANT] = all & ~claimant,
                      [TARGET_OWNER_SIDE] = owner | (others & 0x55),
                      [TARGET_CLAIMANT_SIDE] = claimant | (others & 0x55),
                      [TARGET_ALL] = all };

  return sets[target];
}

/* Cases. */

typedef struct
{
  unsigned node_count;
  const fault_t *cause; /* NULL for a random run */
  const fault_t *first_fault, *second_fault;
  step_t step;
  uint32_t seed;
} case_t;

typedef enum
{
  RESULT_PASSED,
  RESULT_FAILED,
  RESULT_NOT_COVERED
} result_t;

static usec_t worst_recovery[2]; /* without and with a lost VM */

static void
start_fault (sim_t *sim, const fault_t *fault, usec_t duration)
{
  unsigned targets = target_set (sim, fault->target);

  if (sim->trace)
    printf ("%8.3f fault %s on %x\n", (double)sim->now / 1e6, fault->name,
            targets);
  fault->begin (sim, targets);
  event_push (sim, (event_t){ .kind = EV_FAULT_END,
                              .at = sim->now + duration,
                              .arg = (uint64_t)(uintptr_t)fault,
                              .arg2 = targets });
}

static void
step_reached (node_t *node, step_t step, uint32_t shard)
{
  sim_t *sim = node->sim;

  if (shard != 0 || sim->owner < 0 || (int)node->index == sim->owner)
    return;
  if (step == STEP_BEFORE_APPEND && sim->claimant < 0)
    sim->claimant = (int)node->index;
  if ((int)node->index == sim->claimant && sim->reached_at[step] == USEC_NEVER)
    sim->reached_at[step] = sim->now;
}

static void
deliver_vm_list (sim_t *sim)
{
  node_id_t listed[NODES_MAX];
  char address_text[NODES_MAX][16];
  const char *addresses[NODES_MAX];
  size_t count = 0;

  for (unsigned i = 0; i < sim->node_count; i++)
    if (sim->vm_ended_at[i] == USEC_NEVER
        || sim->now < sim->vm_ended_at[i] + 500 * MS + sim->list_delay)
      {
        snprintf (address_text[count], sizeof address_text[0], "vm%u",
                  sim->nodes[i].address);
        addresses[count] = address_text[count];
        listed[count++] = i + 1;
      }
  for (unsigned i = 0; i < sim->node_count; i++)
    if (sim->nodes[i].alive && !sim->nodes[i].frozen)
      {
        usec_t now = local_time (&sim->nodes[i]);

        peers_apply_vm_list (sim->nodes[i].peers, now, listed, count);
        claims_vm_list_received (sim->nodes[i].claims, now, addresses, count);
      }
  event_push (sim,
              (event_t){ .kind = EV_VM_LIST, .at = sim->now + 1000 * MS });
}

static void
deliver_refusal (node_t *node, const event_t *event)
{
  sim_t *sim = node->sim;

  if (sim->nodes[event->from].alive || sim->nodes[event->from].vm_dead)
    return;
  peers_connect_refused (node->peers, local_time (node), event->from + 1);
  event_push (sim, (event_t){ .kind = EV_REFUSED,
                              .at = sim->now + 100 * MS,
                              .from = event->from,
                              .to = event->to,
                              .receiver = event->receiver });
}

static void
on_appended (node_t *node, const event_t *event)
{
  GByteArray *first;

  if (event->arg != node->append_seq
      || !(first = g_queue_pop_head (node->pending_appends)))
    return;
  g_byte_array_free (first, TRUE);
  node->append_seq++;
  node->append_sent_at = USEC_NEVER;
}

static void
node_handle_event (node_t *node, event_t *event)
{
  if (event->kind == EV_TICK && event->order != node->tick_order)
    return;
  if (event->kind == EV_TICK)
    node->tick_at = USEC_NEVER;
  if (event->kind == EV_PEER_MESSAGE)
    on_peer_message (node, event);
  else if (event->kind == EV_APPENDED)
    on_appended (node, event);
  else if (event->kind == EV_READ_DONE)
    on_read_done (node, event);
  else if (event->kind == EV_REFUSED)
    deliver_refusal (node, event);
  node_tick (node);
}

/* Runs one event.  Events of a frozen node are deferred until it resumes. */
static void
run_next_event (sim_t *sim)
{
  event_t event = event_pop (sim);
  node_t *node = &sim->nodes[event.to];
  const fault_t *fault = (const fault_t *)(uintptr_t)event.arg;

  sim->now = event.at;
  check_ownership (sim);
  if (event.kind == EV_APPEND)
    server_append (sim, &event);
  else if (event.kind == EV_READ)
    server_read (sim, &event);
  else if (event.kind == EV_VM_LIST)
    deliver_vm_list (sim);
  else if (event.kind == EV_FAULT_END)
    fault->end (sim, (unsigned)event.arg2);
  else if (node->alive
           && (!event.receiver || event.receiver == node->incarnation))
    {
      if (node->frozen)
        {
          g_ptr_array_add (node->deferred_events,
                           g_memdup2 (&event, sizeof event));
          event.bytes = NULL;
        }
      else
        node_handle_event (node, &event);
    }
  event_free (&event);
  check_ownership (sim);
}

static void
run_until (sim_t *sim, usec_t until)
{
  while (sim->events->len && event_at (sim, 0)->at <= until && !sim->violation)
    run_next_event (sim);
  sim->now = MAX (sim->now, until);
}

static void
run_until_step (sim_t *sim, step_t step, usec_t until)
{
  while (sim->now < until && sim->reached_at[step] == USEC_NEVER
         && !sim->violation)
    run_next_event (sim);
}

static sim_t *
sim_new (unsigned nodes, unsigned started, uint32_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);

  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_array_new (FALSE, TRUE, sizeof (event_t));
  sim->log = g_array_new (FALSE, TRUE, sizeof (record_t));
  sim->node_count = nodes;
  sim->owner = sim->claimant = -1;
  sim->faults_ended_at = USEC_NEVER;
  sim->next_incarnation = 100;
  sim->trace = getenv ("CLAIMS_TRACE") != NULL;
  for (unsigned i = 0; i < STEP_COUNT; i++)
    sim->reached_at[i] = USEC_NEVER;
  for (unsigned i = 0; i < NODES_MAX; i++)
    sim->vm_ended_at[i] = USEC_NEVER;
  for (unsigned s = 0; s < SHARDS; s++)
    sim->oracles[s].recovered_at = USEC_NEVER;
  for (unsigned i = 0; i < started; i++)
    node_start (sim, i);
  deliver_vm_list (sim);
  return sim;
}

static void
sim_free (sim_t *sim)
{
  for (unsigned i = 0; i < sim->node_count; i++)
    node_stop (&sim->nodes[i]);
  for (guint i = 0; i < sim->events->len; i++)
    event_free (event_at (sim, i));
  for (guint i = 0; i < sim->log->len; i++)
    g_byte_array_free (g_array_index (sim->log, record_t, i).bytes, TRUE);
  g_array_free (sim->events, TRUE);
  g_array_free (sim->log, TRUE);
  g_rand_free (sim->rand);
  g_free (sim);
}

static bool
all_recovered (const sim_t *sim)
{
  for (unsigned s = 0; s < SHARDS; s++)
    if (sim->oracles[s].recovered_at == USEC_NEVER)
      return false;
  return true;
}

/* Lets all faults end, restarts stopped nodes and checks the recovery. */
static void
finish_case (sim_t *sim)
{
  usec_t last = sim->now;
  usec_t bound;

  for (guint i = 0; i < sim->events->len; i++)
    if (event_at (sim, i)->kind == EV_FAULT_END)
      last = MAX (last, event_at (sim, i)->at);
  run_until (sim, last);
  for (unsigned i = 0; i < sim->node_count; i++)
    {
      if (sim->nodes[i].stopping)
        node_stop (&sim->nodes[i]);
      restart_node (&sim->nodes[i]);
    }
  sim->faults_ended_at = sim->now;
  bound = RECOVERY_BOUND + (sim->vm_lost ? LIST_BOUND : 0);
  while (sim->now < sim->faults_ended_at + bound && !all_recovered (sim)
         && !sim->violation)
    run_next_event (sim);
  for (unsigned s = 0; s < SHARDS && !sim->violation; s++)
    if (sim->oracles[s].recovered_at == USEC_NEVER)
      record_violation (sim, "shard is not owned after the faults", 0, s);
    else
      worst_recovery[sim->vm_lost]
          = MAX (worst_recovery[sim->vm_lost],
                 sim->oracles[s].recovered_at - sim->faults_ended_at);
  run_until (sim, sim->now + LEASE + DRAIN_TIME);
}

static int
find_actor (sim_t *sim, uint32_t shard)
{
  for (unsigned i = 0; i < sim->node_count; i++)
    if (may_act (&sim->nodes[i], shard))
      return (int)i;
  return -1;
}

static result_t
report_case (sim_t *sim, const case_t *test_case, result_t result)
{
  if (sim->violation)
    {
      printf ("FAILED %s: cause=%s step=%s first=%s second=%s nodes=%u "
              "seed=%u at %.3f s\n",
              sim->violation,
              test_case->cause ? test_case->cause->name : "random",
              step_names[test_case->step],
              test_case->first_fault ? test_case->first_fault->name : "-",
              test_case->second_fault ? test_case->second_fault->name : "-",
              test_case->node_count, test_case->seed, (double)sim->now / 1e6);
      result = RESULT_FAILED;
      if (getenv ("CLAIMS_STOP") && strstr (sim->violation, " may "))
        exit (1);
    }
  sim_free (sim);
  return result;
}

static result_t
run_case (const case_t *test_case)
{
  static const usec_t gaps[] = { 0, 700 * MS, 2500 * MS };
  sim_t *sim = sim_new (test_case->node_count, test_case->node_count,
                        test_case->seed);
  usec_t gap = gaps[test_case->seed % G_N_ELEMENTS (gaps)];

  run_until (sim, SETTLE_TIME);
  sim->owner = find_actor (sim, 0);
  if (sim->owner < 0)
    record_violation (sim, "no owner before the cause", 0, 0);
  else
    start_fault (sim, test_case->cause, 3 * FAULT_DURATION);
  if (test_case->step == STEP_RELEASING && !sim->violation)
    {
      run_until_step (sim, STEP_ACTIVE, sim->now + 2 * FAULT_DURATION);
      if (sim->claimant >= 0)
        stop_node (&sim->nodes[sim->claimant]);
    }
  run_until_step (sim, test_case->step, sim->now + 3 * FAULT_DURATION);
  if (sim->reached_at[test_case->step] == USEC_NEVER)
    return report_case (sim, test_case, RESULT_NOT_COVERED);
  start_fault (sim, test_case->first_fault, FAULT_DURATION);
  run_until (sim, sim->now + gap);
  if (test_case->second_fault)
    start_fault (sim, test_case->second_fault, FAULT_DURATION);
  finish_case (sim);
  return report_case (sim, test_case, RESULT_PASSED);
}

static result_t
run_random (const case_t *test_case)
{
  sim_t *sim = sim_new (test_case->node_count, test_case->node_count,
                        test_case->seed);

  run_until (sim, SETTLE_TIME);
  for (int i = 0; i < 10 && !sim->violation; i++)
    {
      sim->owner
          = g_rand_int_range (sim->rand, 0, (gint32)test_case->node_count);
      sim->claimant = find_actor (sim, 0);
      start_fault (
          sim, &faults[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (faults))],
          g_rand_int_range (sim->rand, 1, 12000) * MS);
      run_until (sim, sim->now + g_rand_int_range (sim->rand, 0, 4000) * MS);
    }
  finish_case (sim);
  return report_case (sim, test_case, RESULT_PASSED);
}

/* Half of the nodes run, then the other half starts.  Once a renewal that
   makes the new nodes witnesses is in the log, the old nodes are cut off from
   the new ones and from the log before they read it. */
static result_t
run_growth (const case_t *test_case)
{
  sim_t *sim = sim_new (test_case->node_count, test_case->node_count / 2,
                        test_case->seed);
  unsigned old_nodes = (1U << test_case->node_count / 2) - 1;

  run_until (sim, SETTLE_TIME);
  for (unsigned i = test_case->node_count / 2; i < test_case->node_count; i++)
    node_start (sim, i);
  sim->owner_renewals = 0;
  while (!sim->owner_renewals && sim->now < 4 * SETTLE_TIME && !sim->violation)
    run_next_event (sim);
  if (!sim->owner_renewals && !sim->violation)
    return report_case (sim, test_case, RESULT_NOT_COVERED);
  start_fault (sim, &partition_of_old_nodes, 2 * FAULT_DURATION);
  begin_partition (sim, old_nodes);
  finish_case (sim);
  return report_case (sim, test_case, RESULT_PASSED);
}

static void
print_counts (const char *name, const unsigned *counts)
{
  const usec_t bounds[] = { RECOVERY_BOUND, RECOVERY_BOUND + LIST_BOUND };

  printf ("%s: %u passed, %u failed, %u not covered\n", name,
          counts[RESULT_PASSED], counts[RESULT_FAILED],
          counts[RESULT_NOT_COVERED]);
  for (int i = 0; i < 2; i++)
    printf ("  worst recovery %s: %lld of %lld ms\n",
            i ? "with a lost VM" : "without a lost VM", worst_recovery[i] / MS,
            bounds[i] / MS);
  CU_ASSERT_EQUAL (counts[RESULT_FAILED], 0);
  CU_ASSERT_TRUE (counts[RESULT_PASSED] > 0);
}

/* Guards against two owners or none after one fault at each step of a claim.
 */
static void
test_matrix (void)
{
  unsigned counts[3] = { 0 };
  uint32_t seed = 1;

  for (unsigned c = 0; c < G_N_ELEMENTS (causes); c++)
    for (unsigned s = 0; s < STEP_COUNT; s++)
      for (unsigned f = 0; f < G_N_ELEMENTS (faults); f++, seed++)
        counts[run_case (&(case_t){ .node_count = 3 + seed % 3,
                                    .cause = &causes[c],
                                    .first_fault = &faults[f],
                                    .step = s,
                                    .seed = seed })]++;
  print_counts ("matrix", counts);
}

/* Pairs of faults that are run with every cause at every step: the claimant
   cannot read the log, and a stale claim is appended meanwhile. */
static const fault_t log_down
    = { "log down for claimant", begin_log_cut, end_log_cut, TARGET_CLAIMANT };
static const fault_t stale_claim
    = { "stale claim of another", begin_stale_claim, end_nothing,
        TARGET_OTHER };
static const struct
{
  const fault_t *first, *second;
} at_every_step[] = { { &log_down, &stale_claim } };

/* Guards against two owners or none after two overlapping faults. */
static void
test_pairs (void)
{
  unsigned counts[3] = { 0 };
  uint32_t seed = 10001;

  for (unsigned a = 0; a < G_N_ELEMENTS (faults); a++)
    for (unsigned b = 0; b < G_N_ELEMENTS (faults); b++, seed++)
      counts[run_case (
          &(case_t){ .node_count = 3 + seed % 3,
                     .cause = &causes[seed / 3 % G_N_ELEMENTS (causes)],
                     .first_fault = &faults[a],
                     .second_fault = &faults[b],
                     .step = seed % STEP_COUNT,
                     .seed = seed })]++;
  for (unsigned c = 0; c < G_N_ELEMENTS (causes); c++)
    for (unsigned s = 0; s < STEP_COUNT; s++)
      for (unsigned p = 0; p < G_N_ELEMENTS (at_every_step); p++, seed++)
        counts[run_case (&(case_t){ .node_count = 3 + seed % 3,
                                    .cause = &causes[c],
                                    .first_fault = at_every_step[p].first,
                                    .second_fault = at_every_step[p].second,
                                    .step = s,
                                    .seed = seed })]++;
  print_counts ("pairs", counts);
}

/* Guards against an owner whose claim is confirmed by the old witnesses alone
   after its renewal reached the log. */
static void
test_growth (void)
{
  unsigned counts[3] = { 0 };

  for (uint32_t seed = 1; seed <= 20; seed++)
    counts[run_growth (&(case_t){ .node_count = NODES_MAX, .seed = seed })]++;
  print_counts ("growth", counts);
}

/* Guards against two owners or none after random sequences of faults. */
static void
test_random (void)
{
  static const uint32_t regressions[]
      = { 22432, 30389, 38252, 27031, 30865, 33,
          131,   171,   44608, 56508, 40798, 36316 };
  const char *text = getenv ("CLAIMS_SEEDS");
  unsigned seeds = text ? (unsigned)strtoul (text, NULL, 10) : 200;
  const char *start = getenv ("CLAIMS_FIRST_SEED");
  uint32_t first = start ? (uint32_t)strtoul (start, NULL, 10) : 1;
  unsigned counts[3] = { 0 };

  /* Seeds that exposed faults of the protocol. */
  for (unsigned i = 0; !start && i < G_N_ELEMENTS (regressions); i++)
    counts[run_random (
        &(case_t){ .node_count = 2 + regressions[i] % (NODES_MAX - 1),
                   .seed = regressions[i] })]++;
  for (uint32_t seed = first; seed < first + seeds; seed++)
    counts[run_random (&(case_t){ .node_count = 2 + seed % (NODES_MAX - 1),
                                  .seed = seed })]++;
  print_counts ("random", counts);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("claims matrix", NULL, NULL);
  if (!getenv ("CLAIMS_FIRST_SEED"))
    CU_add_test (suite, "matrix", test_matrix);
  if (!getenv ("CLAIMS_FIRST_SEED"))
    CU_add_test (suite, "pairs", test_pairs);
  CU_add_test (suite, "growth", test_growth);
  CU_add_test (suite, "random", test_random);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}

/** @file
 * Entry processes as seen by this one.
 *
 * A peer is live while both directions work: something was heard from it and
 * one of our heartbeats, sent within suspect_after, was acknowledged.
 * Evidence that an incarnation ended is handed out once and never withdrawn,
 * so messages of an ended incarnation are ignored.
 */
#include "peers/peers.h"

#include <string.h>

#define LIVE_BITS 64U
/* Heartbeats whose send times are remembered: 16 s at 250 ms, longer than
   any lease, so that an older acknowledgement proves nothing. */
#define SENT_RING 64U
/* A smoothed round trip moves by 1/8 of each new sample. */
#define ROUND_TRIP_SHIFT 3
#define ADDRESS_MAX 64U
/* Ended incarnations remembered for each node, against late HELLOs. */
#define ENDED_RING 16U
/* Incarnations of a node whose end is not proved yet. */
#define FORMER_MAX 4U

typedef struct
{
  uint64_t seq;
  usec_t at;
} sent_t;

typedef struct
{
  peer_t peer;
  char address[ADDRESS_MAX];
  incarnation_t former[FORMER_MAX]; /* at the same address, 0 for none */
  incarnation_t ended[ENDED_RING];
  incarnation_t refused; /* known at the newest refusal, 0 for none */
  size_t ended_count;
  usec_t acked_at;     /* send time of the newest acknowledged heartbeat */
  usec_t absent_since; /* first list without it, USEC_NEVER if named */
  usec_t next_heartbeat;
  uint64_t seq; /* of the newest heartbeat sent */
  sent_t sent[SENT_RING];
} row_t;

struct peers
{
  peers_config_t config;
  peers_ops_t ops;
  void *ctx;
  size_t count;
  row_t *rows[PEERS_MAX];
};

static row_t *find (const peers_t *peers, node_id_t node);
static void set_state (peers_t *peers, usec_t now, row_t *row,
                       peer_state_t state);
static bool has_ended (const row_t *row, incarnation_t incarnation);
static void end_incarnation (peers_t *peers, usec_t now, row_t *row,
                             incarnation_t incarnation);
static void replace_former (row_t *row, incarnation_t out, incarnation_t in);
static void on_hello (peers_t *peers, usec_t now, row_t *row,
                      const message_t *message);
static void on_heartbeat (peers_t *peers, usec_t now, row_t *row,
                          const message_t *message);
static void on_ack (peers_t *peers, usec_t now, row_t *row,
                    const message_t *message);
static void send_heartbeat (peers_t *peers, usec_t now, row_t *row);
static bool within (usec_t now, usec_t since, usec_t span);
static void review (peers_t *peers, usec_t now, row_t *row);

static const struct
{
  message_type_t type;
  void (*handle) (peers_t *, usec_t, row_t *, const message_t *);
} handlers[] = {
  { MSG_HELLO, on_hello },
  { MSG_HEARTBEAT, on_heartbeat },
  { MSG_HEARTBEAT_ACK, on_ack },
};

peers_t *
peers_new (const peers_config_t *config, const peers_ops_t *ops, void *ctx)
{
  peers_t *peers = g_new0 (peers_t, 1);

  peers->config = *config;
  peers->ops = *ops;
  peers->ctx = ctx;
  return peers;
}

void
peers_free (peers_t *peers)
{
  if (!peers)
    return;
  for (size_t i = 0; i < peers->count; i++)
    g_free (peers->rows[i]);
  g_free (peers);
}

void
peers_add (peers_t *peers, usec_t now, node_id_t node, uint32_t zone)
{
  row_t *row = find (peers, node);

  if (node == peers->config.node)
    return;
  if (!row)
    {
      if (peers->count == PEERS_MAX)
        return;
      row = g_new0 (row_t, 1);
      row->peer.node = node;
      row->peer.heard_at = USEC_NEVER;
      row->peer.load_at = USEC_NEVER;
      row->acked_at = USEC_NEVER;
      row->absent_since = USEC_NEVER;
      row->next_heartbeat = now;
      peers->rows[peers->count++] = row;
    }
  row->peer.zone = zone;
}

void
peers_receive (peers_t *peers, usec_t now, node_id_t node,
               const message_t *message)
{
  row_t *row = find (peers, node);

  if (!row)
    return;
  if (row->peer.state == PEER_ENDED && message->type != MSG_HELLO)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (handlers[i].type == message->type)
      handlers[i].handle (peers, now, row, message);
}

void
peers_connect_refused (peers_t *peers, usec_t now, node_id_t node)
{
  row_t *row = find (peers, node);

  if (!row || !row->peer.incarnation)
    return;
  /* The first refusal may answer a connect that began before this incarnation
     bound its port; the second one's connect began after the first. */
  if (row->refused == row->peer.incarnation)
    end_incarnation (peers, now, row, row->refused);
  row->refused = row->peer.incarnation;
}

void
peers_apply_vm_list (peers_t *peers, usec_t now, const node_id_t *nodes,
                     size_t count)
{
  for (size_t i = 0; i < peers->count; i++)
    {
      row_t *row = peers->rows[i];
      bool named = false;

      for (size_t n = 0; n < count && !named; n++)
        named = nodes[n] == row->peer.node;
      if (named)
        row->absent_since = USEC_NEVER;
      else if (row->absent_since == USEC_NEVER)
        row->absent_since = now;
      else if (now - row->absent_since > peers->config.list_lag
               && !within (now, row->peer.heard_at,
                           peers->config.suspect_after))
        end_incarnation (peers, now, row, row->peer.incarnation);
    }
}

usec_t
peers_tick (peers_t *peers, usec_t now)
{
  usec_t next = now + peers->config.heartbeat_interval;

  for (size_t i = 0; i < peers->count; i++)
    {
      row_t *row = peers->rows[i];
      usec_t silent_at;

      review (peers, now, row);
      if (row->peer.state != PEER_ENDED && row->next_heartbeat <= now)
        send_heartbeat (peers, now, row);
      if (row->peer.state != PEER_ENDED)
        next = MIN (next, row->next_heartbeat);
      if (row->peer.state != PEER_LIVE)
        continue;
      silent_at = MIN (row->peer.heard_at, row->acked_at)
                  + peers->config.suspect_after;
      next = MIN (next, silent_at);
    }
  return next;
}

const peer_t *
peers_get (const peers_t *peers, node_id_t node)
{
  const row_t *row = find (peers, node);

  return row ? &row->peer : NULL;
}

usec_t
peers_sent_at (const peers_t *peers, node_id_t node, uint64_t seq)
{
  const row_t *row = find (peers, node);
  const sent_t *sent;

  if (!row || !seq)
    return USEC_NEVER;
  sent = &row->sent[seq % SENT_RING];
  return sent->seq == seq ? sent->at : USEC_NEVER;
}

bool
peers_reported_live (const peers_t *peers, node_id_t node)
{
  for (size_t i = 0; i < peers->count; i++)
    {
      const peer_t *other = &peers->rows[i]->peer;

      if (other->state == PEER_LIVE && other->node != node && node < LIVE_BITS
          && (other->live_nodes >> node & 1))
        return true;
    }
  return false;
}

size_t
peers_list (const peers_t *peers, const peer_t **out, size_t max)
{
  size_t count = MIN (max, peers->count);

  for (size_t i = 0; i < count; i++)
    out[i] = &peers->rows[i]->peer;
  return count;
}

static row_t *
find (const peers_t *peers, node_id_t node)
{
  for (size_t i = 0; i < peers->count; i++)
    if (peers->rows[i]->peer.node == node)
      return peers->rows[i];
  return NULL;
}

static void
set_state (peers_t *peers, usec_t now, row_t *row, peer_state_t state)
{
  peer_state_t before = row->peer.state;

  if (before == state)
    return;
  row->peer.state = state;
  peers->ops.changed (peers->ctx, now, &row->peer, before);
}

static bool
has_ended (const row_t *row, incarnation_t incarnation)
{
  for (size_t i = 0; i < ENDED_RING; i++)
    if (row->ended[i] == incarnation)
      return true;
  return false;
}

static void
end_incarnation (peers_t *peers, usec_t now, row_t *row,
                 incarnation_t incarnation)
{
  if (!incarnation || has_ended (row, incarnation))
    return;
  row->ended[row->ended_count++ % ENDED_RING] = incarnation;
  if (incarnation == row->peer.incarnation)
    set_state (peers, now, row, PEER_ENDED);
  peers->ops.ended (peers->ctx, now, row->peer.node, incarnation);
}

/* A new incarnation at the same address makes the present one a former one;
   at another address nothing is known of the present one: the platform may
   have replaced a VM that is only frozen or cut off. */
static void
on_hello (peers_t *peers, usec_t now, row_t *row, const message_t *message)
{
  const msg_hello_t *hello = &message->u.hello;
  incarnation_t before = row->peer.incarnation;
  char address[ADDRESS_MAX] = "";

  if (has_ended (row, hello->incarnation))
    return;
  if (hello->incarnation == before)
    {
      row->peer.heard_at = now;
      return;
    }
  memcpy (address, hello->address.data ? hello->address.data : "",
          MIN (hello->address.len, ADDRESS_MAX - 1));
  if (strcmp (address, row->address) != 0)
    memset (row->former, 0, sizeof row->former);
  else
    replace_former (row, hello->incarnation, before);
  memcpy (row->address, address, sizeof address);
  row->peer.incarnation = hello->incarnation;
  row->peer.zone = (uint32_t)hello->zone;
  row->peer.heard_at = now;
  row->acked_at = USEC_NEVER;
  row->next_heartbeat = now;
  row->refused = 0;
  memset (row->sent, 0, sizeof row->sent);
  set_state (peers, now, row, PEER_UNKNOWN);
}

/* Takes OUT off the former incarnations and puts IN among them.  With all
   places in use IN is not remembered: evidence is missed, not invented. */
static void
replace_former (row_t *row, incarnation_t out, incarnation_t in)
{
  for (size_t i = 0; i < FORMER_MAX; i++)
    if (row->former[i] == out)
      row->former[i] = 0;
  for (size_t i = 0; i < FORMER_MAX; i++)
    if (!row->former[i])
      {
        row->former[i] = in;
        return;
      }
}

static void
on_heartbeat (peers_t *peers, usec_t now, row_t *row, const message_t *message)
{
  const msg_heartbeat_t *heartbeat = &message->u.heartbeat;

  row->peer.heard_at = now;
  row->peer.load_at = now;
  row->peer.free_slots = heartbeat->free_slots;
  row->peer.queued = heartbeat->queued;
  row->peer.free_millicores = heartbeat->free_millicores;
  row->peer.bundle_version = heartbeat->bundle_version;
  row->peer.log_offset = heartbeat->log_offset;
  row->peer.draining = heartbeat->draining != 0;
  row->peer.live_nodes = heartbeat->live;
  review (peers, now, row);
}

static void
on_ack (peers_t *peers, usec_t now, row_t *row, const message_t *message)
{
  const msg_heartbeat_ack_t *ack = &message->u.heartbeat_ack;
  usec_t sent_at = peers_sent_at (peers, row->peer.node, ack->seq);
  usec_t sample;

  row->peer.heard_at = now;
  if (sent_at == USEC_NEVER)
    return;
  sample = now - sent_at;
  if (row->peer.round_trip)
    sample = row->peer.round_trip
             + (sample - row->peer.round_trip) / (1 << ROUND_TRIP_SHIFT);
  row->peer.round_trip = MAX (sample, 1);
  row->acked_at = MAX (row->acked_at, sent_at);
  row->peer.log_ok = ack->log_ok != 0;
  row->peer.log_offset = ack->log_offset;
  /* The heartbeat was sent after the HELLO of this incarnation, so it was
     alive when the former ones were already known: they ended before. */
  for (size_t i = 0; i < FORMER_MAX; i++)
    {
      end_incarnation (peers, now, row, row->former[i]);
      row->former[i] = 0;
    }
  review (peers, now, row);
  peers->ops.acknowledged (peers->ctx, now, sent_at, &row->peer, ack);
}

static void
send_heartbeat (peers_t *peers, usec_t now, row_t *row)
{
  message_t message = { .type = MSG_HEARTBEAT };
  msg_heartbeat_t *heartbeat = &message.u.heartbeat;

  row->next_heartbeat = now + peers->config.heartbeat_interval;
  heartbeat->seq = ++row->seq;
  row->sent[heartbeat->seq % SENT_RING] = (sent_t){ heartbeat->seq, now };
  for (size_t i = 0; i < peers->count; i++)
    if (peers->rows[i]->peer.state == PEER_LIVE
        && peers->rows[i]->peer.node < LIVE_BITS)
      heartbeat->live |= 1ULL << peers->rows[i]->peer.node;
  peers->ops.fill_heartbeat (peers->ctx, &row->peer, heartbeat);
  peers->ops.send (peers->ctx, row->peer.node, &message);
  g_free (heartbeat->holds_asked.items);
}

static bool
within (usec_t now, usec_t since, usec_t span)
{
  return since != USEC_NEVER && now - since < span;
}

/* Live needs both directions; suspect needs to have been live. */
static void
review (peers_t *peers, usec_t now, row_t *row)
{
  usec_t span = peers->config.suspect_after;
  bool live = within (now, row->peer.heard_at, span)
              && within (now, row->acked_at, span);

  if (row->peer.state == PEER_ENDED)
    return;
  if (live)
    set_state (peers, now, row, PEER_LIVE);
  else if (row->peer.state == PEER_LIVE)
    set_state (peers, now, row, PEER_SUSPECT);
}

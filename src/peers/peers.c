/** @file
 * Liveness of the other entry processes.
 *
 * A peer is live while both directions of the link work: within suspect_after
 * a message arrived from it, and a heartbeat was sent to it that it has
 * acknowledged.  The end of an incarnation is reported once and is final, so
 * messages of an ended incarnation are ignored.
 */
#include "peers/peers.h"

#include <string.h>

#define LIVE_BITMAP_BITS 64U
/* Heartbeats whose send times are kept: 16 s at 250 ms, longer than any lease.
   An acknowledgement of an older heartbeat could not extend a lease and is
   ignored. */
#define SENT_RING_SIZE 64U
/* The smoothed round trip moves by 1/8 of its difference to each sample. */
#define ROUND_TRIP_SHIFT 3
#define ADDRESS_BYTES 64U
/* Ended incarnations kept per node, to ignore delayed HELLOs. */
#define ENDED_RING_SIZE 16U
/* Earlier incarnations per node whose end is not proved yet. */
#define MAX_PREDECESSORS 4U

typedef struct
{
  uint64_t seq;
  usec_t sent_at;
} sent_heartbeat_t;

typedef struct
{
  peer_t peer;
  char address[ADDRESS_BYTES];
  /* Earlier incarnations at the same address, 0 for none. */
  incarnation_t predecessors[MAX_PREDECESSORS];
  incarnation_t ended_incarnations[ENDED_RING_SIZE];
  incarnation_t refused_incarnation; /* known at the newest refusal, 0: none */
  size_t ended_count;
  usec_t acked_at;       /* send time of the newest acknowledged heartbeat */
  usec_t unlisted_since; /* first VM list without it, or USEC_NEVER */
  usec_t next_heartbeat;
  uint64_t seq; /* of the newest heartbeat sent */
  sent_heartbeat_t sent[SENT_RING_SIZE];
} peer_record_t;

struct peers
{
  peers_config_t config;
  peers_ops_t ops;
  void *ctx;
  size_t count;
  peer_record_t *records[PEERS_MAX];
};

static peer_record_t *find_record (const peers_t *peers, node_id_t node);
static void set_state (peers_t *peers, usec_t now, peer_record_t *record,
                       peer_state_t state);
static bool has_ended (const peer_record_t *record, incarnation_t incarnation);
static void end_incarnation (peers_t *peers, usec_t now, peer_record_t *record,
                             incarnation_t incarnation);
static void replace_predecessor (peer_record_t *record, incarnation_t removed,
                                 incarnation_t added);
static void on_hello (peers_t *peers, usec_t now, peer_record_t *record,
                      const message_t *message);
static void on_heartbeat (peers_t *peers, usec_t now, peer_record_t *record,
                          const message_t *message);
static void on_ack (peers_t *peers, usec_t now, peer_record_t *record,
                    const message_t *message);
static void send_heartbeat (peers_t *peers, usec_t now, peer_record_t *record);
static bool is_within (usec_t now, usec_t since, usec_t span);
static void update_liveness (peers_t *peers, usec_t now,
                             peer_record_t *record);

static const struct
{
  message_type_t type;
  void (*handle) (peers_t *, usec_t, peer_record_t *, const message_t *);
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
    g_free (peers->records[i]);
  g_free (peers);
}

void
peers_add (peers_t *peers, usec_t now, node_id_t node, uint32_t zone)
{
  peer_record_t *record = find_record (peers, node);

  if (node == peers->config.node)
    return;
  if (!record)
    {
      if (peers->count == PEERS_MAX)
        return;
      record = g_new0 (peer_record_t, 1);
      record->peer.node = node;
      record->peer.heard_at = USEC_NEVER;
      record->peer.load_at = USEC_NEVER;
      record->acked_at = USEC_NEVER;
      record->unlisted_since = USEC_NEVER;
      record->next_heartbeat = now;
      peers->records[peers->count++] = record;
    }
  record->peer.zone = zone;
}

void
peers_receive (peers_t *peers, usec_t now, node_id_t node,
               const message_t *message)
{
  peer_record_t *record = find_record (peers, node);

  if (!record)
    return;
  if (record->peer.state == PEER_ENDED && message->type != MSG_HELLO)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (handlers[i].type == message->type)
      handlers[i].handle (peers, now, record, message);
}

void
peers_connect_refused (peers_t *peers, usec_t now, node_id_t node)
{
  peer_record_t *record = find_record (peers, node);

  if (!record || !record->peer.incarnation)
    return;
  /* The first refusal may answer a connect that began before this incarnation
     bound its port; the connect refused second began after that. */
  if (record->refused_incarnation == record->peer.incarnation)
    end_incarnation (peers, now, record, record->refused_incarnation);
  record->refused_incarnation = record->peer.incarnation;
}

void
peers_apply_vm_list (peers_t *peers, usec_t now, const node_id_t *nodes,
                     size_t count)
{
  for (size_t i = 0; i < peers->count; i++)
    {
      peer_record_t *record = peers->records[i];
      bool listed = false;

      for (size_t n = 0; n < count && !listed; n++)
        listed = nodes[n] == record->peer.node;
      if (listed)
        record->unlisted_since = USEC_NEVER;
      else if (record->unlisted_since == USEC_NEVER)
        record->unlisted_since = now;
      else if (now - record->unlisted_since > peers->config.list_lag
               && !is_within (now, record->peer.heard_at,
                              peers->config.suspect_after))
        end_incarnation (peers, now, record, record->peer.incarnation);
    }
}

usec_t
peers_tick (peers_t *peers, usec_t now)
{
  usec_t next = now + peers->config.heartbeat_interval;

  for (size_t i = 0; i < peers->count; i++)
    {
      peer_record_t *record = peers->records[i];
      usec_t silent_at;

      update_liveness (peers, now, record);
      if (record->peer.state != PEER_ENDED && record->next_heartbeat <= now)
        send_heartbeat (peers, now, record);
      if (record->peer.state != PEER_ENDED)
        next = MIN (next, record->next_heartbeat);
      if (record->peer.state != PEER_LIVE)
        continue;
      silent_at = MIN (record->peer.heard_at, record->acked_at)
                  + peers->config.suspect_after;
      next = MIN (next, silent_at);
    }
  return next;
}

const peer_t *
peers_get (const peers_t *peers, node_id_t node)
{
  const peer_record_t *record = find_record (peers, node);

  return record ? &record->peer : NULL;
}

usec_t
peers_sent_at (const peers_t *peers, node_id_t node, uint64_t seq)
{
  const peer_record_t *record = find_record (peers, node);
  const sent_heartbeat_t *sent;

  if (!record || !seq)
    return USEC_NEVER;
  sent = &record->sent[seq % SENT_RING_SIZE];
  return sent->seq == seq ? sent->sent_at : USEC_NEVER;
}

bool
peers_reported_live (const peers_t *peers, node_id_t node)
{
  for (size_t i = 0; i < peers->count; i++)
    {
      const peer_t *other = &peers->records[i]->peer;

      if (other->state == PEER_LIVE && other->node != node
          && node < LIVE_BITMAP_BITS && (other->live_nodes >> node & 1))
        return true;
    }
  return false;
}

size_t
peers_list (const peers_t *peers, const peer_t **out, size_t max)
{
  size_t count = MIN (max, peers->count);

  for (size_t i = 0; i < count; i++)
    out[i] = &peers->records[i]->peer;
  return count;
}

static peer_record_t *
find_record (const peers_t *peers, node_id_t node)
{
  for (size_t i = 0; i < peers->count; i++)
    if (peers->records[i]->peer.node == node)
      return peers->records[i];
  return NULL;
}

static void
set_state (peers_t *peers, usec_t now, peer_record_t *record,
           peer_state_t state)
{
  peer_state_t before = record->peer.state;

  if (before == state)
    return;
  record->peer.state = state;
  peers->ops.changed (peers->ctx, now, &record->peer, before);
}

static bool
has_ended (const peer_record_t *record, incarnation_t incarnation)
{
  for (size_t i = 0; i < ENDED_RING_SIZE; i++)
    if (record->ended_incarnations[i] == incarnation)
      return true;
  return false;
}

static void
end_incarnation (peers_t *peers, usec_t now, peer_record_t *record,
                 incarnation_t incarnation)
{
  if (!incarnation || has_ended (record, incarnation))
    return;
  record->ended_incarnations[record->ended_count++ % ENDED_RING_SIZE]
      = incarnation;
  if (incarnation == record->peer.incarnation)
    set_state (peers, now, record, PEER_ENDED);
  peers->ops.ended (peers->ctx, now, record->peer.node, incarnation);
}

/* A new incarnation at the same address makes the known one a predecessor.  A
   new one at another address tells nothing about the known one: the platform
   may have replaced a VM that is only suspended or cut off. */
static void
on_hello (peers_t *peers, usec_t now, peer_record_t *record,
          const message_t *message)
{
  const msg_hello_t *hello = &message->u.hello;
  incarnation_t before = record->peer.incarnation;
  char address[ADDRESS_BYTES] = "";

  if (has_ended (record, hello->incarnation))
    return;
  if (hello->incarnation == before)
    {
      record->peer.heard_at = now;
      return;
    }
  memcpy (address, hello->address.data ? hello->address.data : "",
          MIN (hello->address.len, ADDRESS_BYTES - 1));
  if (strcmp (address, record->address) != 0)
    memset (record->predecessors, 0, sizeof record->predecessors);
  else
    replace_predecessor (record, hello->incarnation, before);
  memcpy (record->address, address, sizeof address);
  record->peer.incarnation = hello->incarnation;
  record->peer.zone = (uint32_t)hello->zone;
  record->peer.heard_at = now;
  record->acked_at = USEC_NEVER;
  record->next_heartbeat = now;
  record->refused_incarnation = 0;
  memset (record->sent, 0, sizeof record->sent);
  set_state (peers, now, record, PEER_UNKNOWN);
}

/* Removes one incarnation from the predecessors and adds another.  If the list
   is full, ADDED is dropped: its end may go unnoticed, which is safe. */
static void
replace_predecessor (peer_record_t *record, incarnation_t removed,
                     incarnation_t added)
{
  for (size_t i = 0; i < MAX_PREDECESSORS; i++)
    if (record->predecessors[i] == removed)
      record->predecessors[i] = 0;
  for (size_t i = 0; i < MAX_PREDECESSORS; i++)
    if (!record->predecessors[i])
      {
        record->predecessors[i] = added;
        return;
      }
}

static void
on_heartbeat (peers_t *peers, usec_t now, peer_record_t *record,
              const message_t *message)
{
  const msg_heartbeat_t *heartbeat = &message->u.heartbeat;

  record->peer.heard_at = now;
  record->peer.load_at = now;
  record->peer.free_slots = heartbeat->free_slots;
  record->peer.queued = heartbeat->queued;
  record->peer.free_millicores = heartbeat->free_millicores;
  record->peer.bundle_version = heartbeat->bundle_version;
  record->peer.log_offset = heartbeat->log_offset;
  record->peer.draining = heartbeat->draining != 0;
  record->peer.live_nodes = heartbeat->live;
  update_liveness (peers, now, record);
}

static void
on_ack (peers_t *peers, usec_t now, peer_record_t *record,
        const message_t *message)
{
  const msg_heartbeat_ack_t *ack = &message->u.heartbeat_ack;
  usec_t sent_at = peers_sent_at (peers, record->peer.node, ack->seq);
  usec_t sample;

  record->peer.heard_at = now;
  if (sent_at == USEC_NEVER)
    return;
  sample = now - sent_at;
  if (record->peer.round_trip)
    sample = record->peer.round_trip
             + (sample - record->peer.round_trip) / (1 << ROUND_TRIP_SHIFT);
  record->peer.round_trip = MAX (sample, 1);
  record->acked_at = MAX (record->acked_at, sent_at);
  record->peer.log_ok = ack->log_ok != 0;
  record->peer.log_offset = ack->log_offset;
  /* The heartbeat was sent after the HELLO of this incarnation, so this one
     was alive when its predecessors were already known: they ended before. */
  for (size_t i = 0; i < MAX_PREDECESSORS; i++)
    {
      end_incarnation (peers, now, record, record->predecessors[i]);
      record->predecessors[i] = 0;
    }
  update_liveness (peers, now, record);
  peers->ops.acknowledged (peers->ctx, now, sent_at, &record->peer, ack);
}

static void
send_heartbeat (peers_t *peers, usec_t now, peer_record_t *record)
{
  message_t message = { .type = MSG_HEARTBEAT };
  msg_heartbeat_t *heartbeat = &message.u.heartbeat;

  record->next_heartbeat = now + peers->config.heartbeat_interval;
  heartbeat->seq = ++record->seq;
  record->sent[heartbeat->seq % SENT_RING_SIZE]
      = (sent_heartbeat_t){ heartbeat->seq, now };
  for (size_t i = 0; i < peers->count; i++)
    if (peers->records[i]->peer.state == PEER_LIVE
        && peers->records[i]->peer.node < LIVE_BITMAP_BITS)
      heartbeat->live |= 1ULL << peers->records[i]->peer.node;
  peers->ops.fill_heartbeat (peers->ctx, &record->peer, heartbeat);
  peers->ops.send (peers->ctx, record->peer.node, &message);
  g_free (heartbeat->holds_asked.items);
}

static bool
is_within (usec_t now, usec_t since, usec_t span)
{
  return since != USEC_NEVER && now - since < span;
}

/* A peer becomes live if both directions work, and suspect only from live. */
static void
update_liveness (peers_t *peers, usec_t now, peer_record_t *record)
{
  usec_t span = peers->config.suspect_after;
  bool live = is_within (now, record->peer.heard_at, span)
              && is_within (now, record->acked_at, span);

  if (record->peer.state == PEER_ENDED)
    return;
  if (live)
    set_state (peers, now, record, PEER_LIVE);
  else if (record->peer.state == PEER_LIVE)
    set_state (peers, now, record, PEER_SUSPECT);
}

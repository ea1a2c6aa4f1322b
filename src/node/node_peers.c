/** @file
 * Peers and claims of the entry process: messages received, links, handover
 * of shards.
 */
#include "base/counters.h"
#include "base/log.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <string.h>
#include <xxhash.h>

#define BUNDLE_REPEAT (500 * USEC_PER_MSEC)
#define SILENT_LINK_HEARTBEATS 4

typedef void (*message_handler_t) (node_t *node, usec_t now, node_id_t from,
                                   incarnation_t incarnation,
                                   const message_t *message);

static void fill_candidate (claims_candidate_t *candidate, node_id_t id,
                            incarnation_t incarnation, uint32_t zone,
                            bool no_new_shards);
static void on_message (void *ctx, node_id_t from, incarnation_t incarnation,
                        const message_t *message);
static void on_connected (void *ctx, node_id_t peer);
static void on_refused (void *ctx, node_id_t peer);
static void send_to_node (void *ctx, node_id_t peer, const message_t *message);
static void fill_heartbeat (void *ctx, const peer_t *peer,
                            msg_heartbeat_t *heartbeat);
static void peer_changed (void *ctx, usec_t now, const peer_t *peer,
                          peer_state_t before);
static void peer_ended (void *ctx, usec_t now, node_id_t peer,
                        incarnation_t incarnation);
static void peer_acknowledged (void *ctx, usec_t now, usec_t sent_at,
                               const peer_t *peer,
                               const msg_heartbeat_ack_t *ack);
static void claim_append (void *ctx, const message_t *entry);
static void claim_send (void *ctx, node_id_t peer, incarnation_t incarnation,
                        const message_t *message);
static void claim_gained (void *ctx, usec_t now, uint32_t shard,
                          uint64_t epoch);
static void claim_lost (void *ctx, usec_t now, uint32_t shard, uint64_t epoch);
static uint32_t claim_zone_of (void *ctx, uint32_t shard);
static void pass_to_peers (node_t *node, usec_t now, node_id_t from,
                           incarnation_t incarnation,
                           const message_t *message);
static void handle_heartbeat (node_t *node, usec_t now, node_id_t from,
                              incarnation_t incarnation,
                              const message_t *message);
static void handle_relay (node_t *node, usec_t now, node_id_t from,
                          incarnation_t incarnation, const message_t *message);
static void handle_claim_ack (node_t *node, usec_t now, node_id_t from,
                              incarnation_t incarnation,
                              const message_t *message);
static void handle_release (node_t *node, usec_t now, node_id_t from,
                            incarnation_t incarnation,
                            const message_t *message);
static void handle_work (node_t *node, usec_t now, node_id_t from,
                         incarnation_t incarnation, const message_t *message);
static void handle_result (node_t *node, usec_t now, node_id_t from,
                           incarnation_t incarnation,
                           const message_t *message);
static void handle_bundle (node_t *node, usec_t now, node_id_t from,
                           incarnation_t incarnation,
                           const message_t *message);
static void handle_load (node_t *node, usec_t now, node_id_t from,
                         incarnation_t incarnation, const message_t *message);
static void queue_relay_request (node_t *node, usec_t now, node_id_t from,
                                 const msg_heartbeat_t *heartbeat);
static void send_bundle (node_t *node, node_id_t peer);
static void update_routing_peer (node_t *node, usec_t now, const peer_t *peer);
static void send_load_reports (node_t *node, usec_t now);
static void replace_silent_links (node_t *node, usec_t now);
static void release_shards (node_t *node, usec_t now);
static bool should_hand_over (const node_t *node, uint32_t shard);
static void set_releasing (node_t *node, usec_t now, uint32_t shard, bool on);
static uint32_t slots_in_use (const node_t *node, uint32_t shard);

const peerlink_ops_t node_peerlink_ops
    = { on_message, on_connected, on_refused };
const peers_ops_t node_peers_ops
    = { send_to_node, fill_heartbeat, peer_changed, peer_ended,
        peer_acknowledged };
const claims_ops_t node_claims_ops
    = { claim_append, claim_send, claim_gained, claim_lost, claim_zone_of };

static const message_handler_t handlers[MSG_TYPE_LIMIT] = {
  [MSG_HELLO] = pass_to_peers,
  [MSG_HEARTBEAT] = handle_heartbeat,
  [MSG_HEARTBEAT_ACK] = pass_to_peers,
  [MSG_LOG_RELAY] = handle_relay,
  [MSG_CLAIM_ACK] = handle_claim_ack,
  [MSG_PEER_RELEASE] = handle_release,
  [MSG_WORK] = handle_work,
  [MSG_RESULT] = handle_result,
  [MSG_PEER_BUNDLE] = handle_bundle,
  [MSG_LOAD] = handle_load,
};

void
node_update_candidates (node_t *node, usec_t now)
{
  const peer_t *peers[PEERS_MAX];
  claims_candidate_t candidates[PEERS_MAX + 1];
  size_t known = peers_list (node->peers, peers, PEERS_MAX);
  size_t count = 0;
  uint64_t digest;

  memset (candidates, 0, sizeof candidates);
  for (size_t i = 0; i < known; i++)
    if (peers[i]->state == PEER_LIVE
        || (peers[i]->state != PEER_ENDED && peers[i]->incarnation
            && peers_reported_live (node->peers, peers[i]->node)))
      fill_candidate (&candidates[count++], peers[i]->node,
                      peers[i]->incarnation, peers[i]->zone,
                      peers[i]->state != PEER_LIVE || peers[i]->draining
                          || !peers[i]->log_ok);
  if (node->registered)
    fill_candidate (&candidates[count++], node->settings->node,
                    node->incarnation, node->settings->zone,
                    node->draining || !journal_healthy (node->journal));
  digest = XXH64 (candidates, count * sizeof candidates[0], 0);
  if (digest == node->candidates_digest)
    return;
  node->candidates_digest = digest;
  claims_set_candidates (node->claims, now, candidates, count);
  attempts_live_nodes_changed (node->attempts, now);
  node_wake (node);
}

void
node_answer_relays (node_t *node, usec_t sent_at)
{
  for (guint i = 0; i < node->relay_requests->len;)
    {
      relay_request_t *relay
          = &g_array_index (node->relay_requests, relay_request_t, i);
      message_t message = { .type = MSG_LOG_RELAY };

      if (relay->received_at > sent_at)
        {
          i++;
          continue;
        }
      message.u.log_relay.seq = relay->seq;
      message.u.log_relay.log_offset = journal_offset (node->journal);
      message.u.log_relay.superseded
          = claims_find_superseded (node->claims, &relay->claimed_pairs);
      peerlink_send (node->link, relay->node, &message);
      g_free (message.u.log_relay.superseded.items);
      g_free (relay->claimed_pairs.items);
      g_array_remove_index (node->relay_requests, i);
    }
}

void
node_peers_tick (node_t *node, usec_t now)
{
  node_update_candidates (node, now);
  send_load_reports (node, now);
  replace_silent_links (node, now);
  release_shards (node, now);
}

static void
fill_candidate (claims_candidate_t *candidate, node_id_t id,
                incarnation_t incarnation, uint32_t zone, bool no_new_shards)
{
  candidate->node = id;
  candidate->incarnation = incarnation;
  candidate->zone = zone;
  candidate->no_new_shards = no_new_shards;
}

static void
on_message (void *ctx, node_id_t from, incarnation_t incarnation,
            const message_t *message)
{
  node_t *node = ctx;
  message_handler_t handler = handlers[message->type];
  const peer_t *peer = peers_get (node->peers, from);

  /* A connection of a replaced incarnation may still deliver messages sent
     before the replacement. */
  if (message->type != MSG_HELLO && peer && peer->incarnation != incarnation)
    return;
  if (!handler)
    {
      counter_add (COUNTER_PEER_BAD_FRAMES, 1);
      return;
    }
  handler (node, clock_now (), from, incarnation, message);
}

static void
on_connected (void *ctx, node_id_t peer)
{
  (void)peer;
  node_wake (ctx);
}

static void
on_refused (void *ctx, node_id_t peer)
{
  node_t *node = ctx;

  peers_connect_refused (node->peers, clock_now (), peer);
  node_wake (node);
}

static void
send_to_node (void *ctx, node_id_t peer, const message_t *message)
{
  node_t *node = ctx;

  peerlink_send (node->link, peer, message);
}

static void
fill_heartbeat (void *ctx, const peer_t *peer, msg_heartbeat_t *heartbeat)
{
  node_t *node = ctx;
  const bundle_t *bundle = bundle_store_current (node->bundles);

  heartbeat->free_slots = routing_free_slots (node->routing);
  heartbeat->free_millicores = placement_free_millicores (node->placement);
  heartbeat->queued = routing_backlog (node->routing);
  heartbeat->bundle_version = bundle ? bundle->version : 0;
  heartbeat->log_offset = journal_offset (node->journal);
  heartbeat->log_ok = journal_healthy (node->journal);
  heartbeat->draining = node->draining;
  heartbeat->holds_asked
      = claims_holds_wanted (node->claims, clock_now (), peer->incarnation);
}

static void
peer_changed (void *ctx, usec_t now, const peer_t *peer, peer_state_t before)
{
  static const char *const state_names[]
      = { "unknown", "live", "suspect", "ended" };
  node_t *node = ctx;
  char name[16];

  g_snprintf (name, sizeof name, "node-%u", peer->node);
  log_line (LOG_LEVEL_NOTICE, "peers", name, "%s, was %s",
            state_names[peer->state], state_names[before]);
  update_routing_peer (node, now, peer);
  node_update_candidates (node, now);
}

static void
peer_ended (void *ctx, usec_t now, node_id_t peer, incarnation_t incarnation)
{
  node_t *node = ctx;

  claims_incarnation_ended (node->claims, now, incarnation);
  node_lc_peer_ended (node, now, peer);
  node_wake (node);
}

static void
peer_acknowledged (void *ctx, usec_t now, usec_t sent_at, const peer_t *peer,
                   const msg_heartbeat_ack_t *ack)
{
  node_t *node = ctx;

  claims_holds_granted (node->claims, now, sent_at, peer->incarnation,
                        &ack->holds_granted);
}

static void
claim_append (void *ctx, const message_t *entry)
{
  node_t *node = ctx;

  journal_put (node->journal, clock_now (), entry, true);
  node_wake (node);
}

static void
claim_send (void *ctx, node_id_t peer, incarnation_t incarnation,
            const message_t *message)
{
  node_t *node = ctx;

  (void)incarnation;
  peerlink_send (node->link, peer, message);
}

static void
claim_gained (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  node_t *node = ctx;

  counter_add (COUNTER_CLAIMS_GAINED, 1);
  log_line (LOG_LEVEL_NOTICE, "claims", NULL, "acting on shard %u, epoch %lu",
            shard, (unsigned long)epoch);
  node->releasing[shard] = false;
  node->lost_unreleased[shard] = false;
  node->attempt_epochs[shard] = epoch;
  attempts_shard_gained (node->attempts, now, shard, epoch);
  routing_refresh (node->routing, now);
  node_wake (node);
}

static void
claim_lost (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  node_t *node = ctx;

  counter_add (COUNTER_CLAIMS_LOST, 1);
  log_line (LOG_LEVEL_NOTICE, "claims", NULL,
            "no longer acting on shard %u, epoch %lu", shard,
            (unsigned long)epoch);
  node->lost_unreleased[shard] = true;
  attempts_shard_lost (node->attempts, now, shard);
  node_wake (node);
}

static uint32_t
claim_zone_of (void *ctx, uint32_t shard)
{
  const node_t *node = ctx;

  return shard / node->settings->shards_per_zone;
}

static void
pass_to_peers (node_t *node, usec_t now, node_id_t from,
               incarnation_t incarnation, const message_t *message)
{
  (void)incarnation;
  if (message->type == MSG_HELLO && message->u.hello.address.len)
    {
      g_autofree char *address = blob_dup (message->u.hello.address);

      peerlink_add (node->link, from, address);
      peers_add (node->peers, now, from, (uint32_t)message->u.hello.zone);
    }
  peers_receive (node->peers, now, from, message);
  node_wake (node);
}

static void
handle_heartbeat (node_t *node, usec_t now, node_id_t from,
                  incarnation_t incarnation, const message_t *message)
{
  const msg_heartbeat_t *heartbeat = &message->u.heartbeat;
  const peer_t *peer;
  const bundle_t *bundle = bundle_store_current (node->bundles);
  message_t ack = { .type = MSG_HEARTBEAT_ACK };

  pass_to_peers (node, now, from, incarnation, message);
  ack.u.heartbeat_ack.seq = heartbeat->seq;
  ack.u.heartbeat_ack.log_ok = journal_healthy (node->journal);
  ack.u.heartbeat_ack.log_offset = journal_offset (node->journal);
  ack.u.heartbeat_ack.holds_granted
      = claims_grant_holds (node->claims, &heartbeat->holds_asked);
  peerlink_send (node->link, from, &ack);
  g_free (ack.u.heartbeat_ack.holds_granted.items);
  if (!heartbeat->log_ok && heartbeat->holds_asked.count
      && journal_healthy (node->journal))
    queue_relay_request (node, now, from, heartbeat);
  if (bundle && heartbeat->bundle_version < bundle->version)
    send_bundle (node, from);
  peer = peers_get (node->peers, from);
  if (peer)
    update_routing_peer (node, now, peer);
}

static void
handle_relay (node_t *node, usec_t now, node_id_t from,
              incarnation_t incarnation, const message_t *message)
{
  const msg_log_relay_t *relay = &message->u.log_relay;
  usec_t sent_at = peers_sent_at (node->peers, from, relay->seq);

  (void)incarnation;
  if (sent_at != USEC_NEVER)
    claims_relay_confirmed (node->claims, now, sent_at, &relay->superseded);
}

static void
handle_claim_ack (node_t *node, usec_t now, node_id_t from,
                  incarnation_t incarnation, const message_t *message)
{
  (void)from;
  claims_acknowledged (node->claims, now, incarnation,
                       (uint32_t)message->u.claim_ack.shard,
                       message->u.claim_ack.epoch);
  node_wake (node);
}

static void
handle_release (node_t *node, usec_t now, node_id_t from,
                incarnation_t incarnation, const message_t *message)
{
  (void)from;
  claims_peer_released (node->claims, now, incarnation,
                        &message->u.peer_release.released);
  node_wake (node);
}

static void
handle_work (node_t *node, usec_t now, node_id_t from,
             incarnation_t incarnation, const message_t *message)
{
  (void)incarnation;
  node_lc_receive_work (node, now, from, &message->u.work);
}

static void
handle_result (node_t *node, usec_t now, node_id_t from,
               incarnation_t incarnation, const message_t *message)
{
  (void)from;
  (void)incarnation;
  node_lc_receive_result (node, now, &message->u.result);
}

static void
handle_bundle (node_t *node, usec_t now, node_id_t from,
               incarnation_t incarnation, const message_t *message)
{
  const msg_peer_bundle_t *offered = &message->u.peer_bundle;
  msg_bundle_t bundle = { offered->version, offered->parent, offered->text,
                          offered->signature };
  err_t err = { 0 };
  int code = bundle_store_offer (node->bundles, &bundle, &err);

  (void)now;
  (void)from;
  (void)incarnation;
  if (code == 0 || code == -EALREADY)
    node->bundle_known = true;
  if (code && code != -EALREADY)
    log_err (LOG_LEVEL_WARNING, &err);
  node_bundle_changed (node);
}

/* Load report between heartbeats, sent when the load of the peer changed
   considerably. */
static void
handle_load (node_t *node, usec_t now, node_id_t from,
             incarnation_t incarnation, const message_t *message)
{
  const peer_t *peer = peers_get (node->peers, from);

  if (!peer || peer->incarnation != incarnation)
    return;
  routing_update_peer (node->routing, now, from, peer->zone,
                       message->u.load.free_slots, message->u.load.queued,
                       peer->round_trip / 2,
                       peer->state == PEER_LIVE && !peer->draining);
}

static void
queue_relay_request (node_t *node, usec_t now, node_id_t from,
                     const msg_heartbeat_t *heartbeat)
{
  relay_request_t relay
      = { .node = from, .seq = heartbeat->seq, .received_at = now };

  for (guint i = 0; i < node->relay_requests->len; i++)
    if (g_array_index (node->relay_requests, relay_request_t, i).node == from)
      return;
  relay.claimed_pairs.count = heartbeat->holds_asked.count;
  relay.claimed_pairs.items
      = g_memdup2 (heartbeat->holds_asked.items,
                   heartbeat->holds_asked.count * sizeof (uint64_t));
  g_array_append_val (node->relay_requests, relay);
}

static void
send_bundle (node_t *node, node_id_t peer)
{
  message_t message = { .type = MSG_PEER_BUNDLE };
  msg_bundle_t bundle;

  if (!bundle_store_message (node->bundles, &bundle))
    return;
  message.u.peer_bundle.version = bundle.version;
  message.u.peer_bundle.parent = bundle.parent;
  message.u.peer_bundle.text = bundle.text;
  message.u.peer_bundle.signature = bundle.signature;
  peerlink_send (node->link, peer, &message);
}

static void
update_routing_peer (node_t *node, usec_t now, const peer_t *peer)
{
  bool usable = peer->state == PEER_LIVE && !peer->draining;

  routing_update_peer (node->routing, now, peer->node, peer->zone,
                       peer->free_slots, peer->queued, peer->round_trip / 2,
                       usable);
}

static void
send_load_reports (node_t *node, usec_t now)
{
  const peer_t *peers[PEERS_MAX];
  message_t message = { .type = MSG_LOAD };
  size_t count;

  if (!routing_report_due (node->routing, now))
    return;
  count = peers_list (node->peers, peers, PEERS_MAX);
  message.u.load.free_slots = routing_free_slots (node->routing);
  message.u.load.queued = routing_backlog (node->routing);
  for (size_t i = 0; i < count; i++)
    if (peers[i]->state == PEER_LIVE)
      peerlink_send (node->link, peers[i]->node, &message);
}

/* A connection may stay open although it no longer carries data.  The
   connection to a peer that was heard before is replaced once the peer has
   been silent for SILENT_LINK_HEARTBEATS intervals. */
static void
replace_silent_links (node_t *node, usec_t now)
{
  const peer_t *peers[PEERS_MAX];
  size_t count = peers_list (node->peers, peers, PEERS_MAX);
  usec_t limit = SILENT_LINK_HEARTBEATS * node->settings->heartbeat;

  for (size_t i = 0; i < count; i++)
    {
      usec_t *reset_at = &node->link_reset_at[peers[i]->node % PEERS_MAX];

      if (peers[i]->heard_at == USEC_NEVER
          || now - MAX (peers[i]->heard_at, *reset_at) < limit)
        continue;
      *reset_at = now;
      peerlink_reset (node->link, peers[i]->node);
    }
}

/* Releases shards that are drained or belong to another node, each only after
   its last request has ended. */
static void
release_shards (node_t *node, usec_t now)
{
  uint32_t shards = settings_shard_count (node->settings);

  for (uint32_t shard = 0; shard < shards; shard++)
    {
      uint64_t epoch;

      if (!claims_may_act (node->claims, now, shard, &epoch))
        {
          node->releasing[shard] = false;
          /* The last request has ended.  After a release the next owner need
             not wait for rule (w) of claims.h. */
          if (node->lost_unreleased[shard] && slots_in_use (node, shard) == 0)
            {
              node->lost_unreleased[shard] = false;
              claims_release (node->claims, now, shard);
            }
          continue;
        }
      if (epoch != node->attempt_epochs[shard])
        {
          node->attempt_epochs[shard] = epoch;
          attempts_shard_gained (node->attempts, now, shard, epoch);
        }
      if (!node->draining && !should_hand_over (node, shard))
        {
          set_releasing (node, now, shard, false);
          continue;
        }
      set_releasing (node, now, shard, true);
      if (slots_in_use (node, shard) == 0
          && attempts_shard_idle (node->attempts, shard))
        claims_release (node->claims, now, shard);
    }
}

/* A shard is handed over only while the log is reachable: without the log no
   successor could claim it. */
static bool
should_hand_over (const node_t *node, uint32_t shard)
{
  return journal_healthy (node->journal)
         && claims_should_release (node->claims, shard);
}

static void
set_releasing (node_t *node, usec_t now, uint32_t shard, bool on)
{
  if (node->releasing[shard] == on)
    return;
  node->releasing[shard] = on;
  attempts_quiesce_shard (node->attempts, now, shard, on);
}

static uint32_t
slots_in_use (const node_t *node, uint32_t shard)
{
  uint32_t used = 0;

  for (handle_t h = limits_next (node->limits, HANDLE_NONE); h != HANDLE_NONE;
       h = limits_next (node->limits, h))
    {
      const vm_t *vm = limits_vm (node->limits, h);

      if (vm->shard == shard)
        used += vm->in_use;
    }
  return used;
}

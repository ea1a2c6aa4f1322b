/** @file
 * Cost of ownership against its size: processor time of the claims slice
 * and bytes of the heartbeats that carry hold requests.
 *
 * One owner holds an eighth of the shards and seven witnesses grant holds.
 * A round is one tick of the owner, one heartbeat to and one acknowledgement
 * from each witness; a process does four rounds a second.
 */
#include "claims/claims.h"
#include "net/clock.h"

#include <stdio.h>

#define WITNESSES 7U
#define OWNED_PART 8U
#define ROUNDS 400U
#define ROUNDS_PER_SECOND 4.0
#define HEARTBEAT_INTERVAL (250 * USEC_PER_MSEC)
#define OWNER 1U
#define FIRST_INCARNATION 1000U

typedef struct
{
  uint64_t heartbeat_bytes;
  uint64_t ack_bytes;
} traffic_t;

static void
ignore_append (void *ctx, const message_t *entry)
{
  (void)ctx;
  (void)entry;
}

static void
ignore_send (void *ctx, node_id_t node, incarnation_t incarnation,
             const message_t *message)
{
  (void)ctx;
  (void)node;
  (void)incarnation;
  (void)message;
}

static void
ignore_change (void *ctx, usec_t now, uint32_t shard, uint64_t epoch)
{
  (void)ctx;
  (void)now;
  (void)shard;
  (void)epoch;
}

static uint32_t
no_zone (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return UINT32_MAX;
}

static const claims_ops_t ops
    = { ignore_append, ignore_send, ignore_change, ignore_change, no_zone };

static claims_t *
claims_of (node_id_t node, uint32_t shards)
{
  claims_config_t config = { .node = node,
                             .incarnation = FIRST_INCARNATION + node,
                             .shard_count = shards,
                             .lease = 2 * USEC_PER_SEC,
                             .drain_time = 1500 * USEC_PER_MSEC,
                             .claim_retry_delay = 500 * USEC_PER_MSEC };

  return claims_new (&config, &ops, NULL);
}

static void
fill (claims_t *claims, uint32_t shards)
{
  claims_candidate_t candidates[WITNESSES + 1];
  uint64_t witnesses[WITNESSES];

  for (node_id_t node = OWNER; node <= OWNER + WITNESSES; node++)
    {
      char address[32];
      message_t entry = { .type = MSG_MEMBER };

      g_snprintf (address, sizeof address, "10.0.0.%u:7000", node);
      entry.u.member.node = node;
      entry.u.member.incarnation = FIRST_INCARNATION + node;
      entry.u.member.address = blob_of (address);
      claims_apply (claims, 0, &entry);
      candidates[node - OWNER]
          = (claims_candidate_t){ node, FIRST_INCARNATION + node, 0, false };
    }
  claims_set_candidates (claims, 0, candidates, WITNESSES + 1);
  for (uint32_t shard = 0; shard < shards; shard++)
    {
      node_id_t node = OWNER + shard % OWNED_PART;
      message_t entry = { .type = MSG_CLAIM };
      uint32_t count = 0;

      for (node_id_t n = OWNER; n <= OWNER + WITNESSES; n++)
        if (n != node)
          witnesses[count++] = FIRST_INCARNATION + n;
      entry.u.claim.shard = shard;
      entry.u.claim.epoch = 1;
      entry.u.claim.node = node;
      entry.u.claim.incarnation = FIRST_INCARNATION + node;
      entry.u.claim.witnesses = (u64_list_t){ count, witnesses };
      claims_apply (claims, 0, &entry);
    }
}

static uint32_t
encoded (const message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();
  uint32_t len;

  message_encode (message, bytes);
  len = bytes->len;
  g_byte_array_free (bytes, TRUE);
  return len;
}

static void
exchange (claims_t *owner, claims_t *witness, node_id_t node, usec_t now,
          traffic_t *traffic)
{
  message_t heartbeat = { .type = MSG_HEARTBEAT };
  message_t ack = { .type = MSG_HEARTBEAT_ACK };
  incarnation_t incarnation = FIRST_INCARNATION + node;

  heartbeat.u.heartbeat.holds_asked
      = claims_holds_wanted (owner, now, incarnation);
  ack.u.heartbeat_ack.holds_granted
      = claims_grant_holds (witness, &heartbeat.u.heartbeat.holds_asked);
  claims_holds_granted (owner, now, now, incarnation,
                        &ack.u.heartbeat_ack.holds_granted);
  traffic->heartbeat_bytes += encoded (&heartbeat);
  traffic->ack_bytes += encoded (&ack);
  g_free (heartbeat.u.heartbeat.holds_asked.items);
  g_free (ack.u.heartbeat_ack.holds_granted.items);
}

/* @param log_up whether reads of the log confirm the claims meanwhile */
static bool
measure (uint32_t shards, bool log_up)
{
  claims_t *owner = claims_of (OWNER, shards);
  claims_t *witness = claims_of (OWNER + 1, shards);
  traffic_t traffic = { 0, 0 };
  usec_t now = 0;
  usec_t start;
  usec_t spent;
  uint64_t epoch;
  bool acts;

  fill (owner, shards);
  fill (witness, shards);
  claims_log_confirmed (owner, now, now);
  start = clock_now ();
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      now += HEARTBEAT_INTERVAL;
      if (log_up)
        claims_log_confirmed (owner, now, now);
      claims_tick (owner, now);
      for (node_id_t n = OWNER + 1; n <= OWNER + WITNESSES; n++)
        exchange (owner, witness, n, now, &traffic);
    }
  spent = clock_now () - start;
  acts = claims_may_act (owner, now, 0, &epoch);
  printf ("%7u %9u  %-4s %9.1f %9.3f %10.0f %9.2f\n", shards,
          shards / OWNED_PART, log_up ? "up" : "down", (double)spent / ROUNDS,
          (double)spent / ROUNDS * ROUNDS_PER_SECOND / USEC_PER_SEC * 100,
          (double)traffic.heartbeat_bytes / ROUNDS / WITNESSES,
          (double)(traffic.heartbeat_bytes + traffic.ack_bytes) / ROUNDS
              * ROUNDS_PER_SECOND / 1000);
  claims_free (owner);
  claims_free (witness);
  return acts;
}

int
main (void)
{
  static const uint32_t sizes[] = { 32, 128, 304, 1024, 4096 };
  bool good = true;

  printf ("Ownership: one owner of an eighth of the shards, 7 witnesses\n");
  printf (
      " shards     owned  log  us/round     cpu %%  heartbeat  KB/s sent\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      good = measure (sizes[i], true) && good;
      good = measure (sizes[i], false) && good;
    }
  if (!good)
    printf ("an owner lost a shard although all witnesses granted holds\n");
  return good ? 0 : 1;
}

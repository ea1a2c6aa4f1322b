/** @file
 * Claims: entries of the log.  Every process reaches the same verdict.
 */
#include "claims/claims_private.h"

#include <string.h>

static void apply_member (claims_t *claims, usec_t now, const message_t *m);
static void apply_leave (claims_t *claims, usec_t now, const message_t *m);
static void apply_claim (claims_t *claims, usec_t now, const message_t *m);
static void apply_release (claims_t *claims, usec_t now, const message_t *m);
static bool claim_valid (const claims_t *claims, const msg_claim_t *entry);
static void push_claim (claims_t *claims, usec_t now, shard_t *shard,
                        const msg_claim_t *entry);
static void own_claim_applied (claims_t *claims, usec_t now, shard_t *shard,
                               bool renewal);
static void other_claim_applied (claims_t *claims, usec_t now, shard_t *shard);

static const struct
{
  message_type_t type;
  void (*apply) (claims_t *, usec_t, const message_t *);
} entries[] = {
  { MSG_MEMBER, apply_member },        { MSG_LEAVE, apply_leave },
  { MSG_CLAIM, apply_claim },          { MSG_RELEASE, apply_release },
  { MSG_SHARD, claims_restore_shard },
};

void
claims_apply (claims_t *claims, usec_t now, const message_t *entry)
{
  if (claims_restore_defer (claims, entry))
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    if (entries[i].type == entry->type)
      entries[i].apply (claims, now, entry);
}

/* The order of two MEMBER entries proves nothing: the append of a process that
   has ended may land after the one of its successor. */
static void
apply_member (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_member_t *entry = &m->u.member;
  member_t *member;

  if (claims_member (claims, entry->incarnation))
    return;
  member = g_new0 (member_t, 1);
  member->applied_at = now;
  member->absent_since = USEC_NEVER;
  memcpy (member->address, entry->address.data ? entry->address.data : "",
          MIN (entry->address.len, ADDRESS_MAX - 1));
  g_hash_table_insert (
      claims->members,
      g_memdup2 (&entry->incarnation, sizeof entry->incarnation), member);
}

static void
apply_leave (claims_t *claims, usec_t now, const message_t *m)
{
  claims_incarnation_ended (claims, now, m->u.leave.incarnation);
}

/* The incarnation was alive at ALIVE_AT or later, so whoever was registered
   at its address before that has ended: a process binds its port before it
   appends MEMBER.  At another address nothing is known: the node number of a
   VM that is only frozen may be given to its replacement. */
void
claims_end_predecessors (claims_t *claims, usec_t now,
                         incarnation_t incarnation, usec_t alive_at)
{
  const member_t *alive = claims_member (claims, incarnation);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!alive)
    return;
  g_hash_table_iter_init (&iter, claims->members);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const member_t *member = value;

      if (member != alive && member->applied_at < alive_at
          && strcmp (member->address, alive->address) == 0)
        claims_incarnation_ended (claims, now, *(const incarnation_t *)key);
    }
}

member_t *
claims_member (const claims_t *claims, incarnation_t incarnation)
{
  return g_hash_table_lookup (claims->members, &incarnation);
}

static void
apply_claim (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_claim_t *entry = &m->u.claim;
  shard_t *shard = claims_shard (claims, entry->shard);
  bool ours = entry->incarnation == claims->config.incarnation;

  if (!shard)
    return;
  if (ours && entry->epoch == shard->pending.epoch
      && !claim_valid (claims, entry))
    {
      shard->pending.epoch = 0;
      shard->retry_at = now + claims->config.claim_retry_delay;
    }
  if (claim_valid (claims, entry))
    push_claim (claims, now, shard, entry);
}

static void
apply_release (claims_t *claims, usec_t now, const message_t *m)
{
  const msg_release_t *entry = &m->u.release;
  shard_t *shard = claims_shard (claims, entry->shard);

  if (shard && entry->epoch <= shard->epoch)
    shard_forget_released (claims, now, shard, entry->epoch);
}

/* Compares addresses IP:port without the port: the list names another port
   than the one peers use. */
bool
address_same_host (const char *a, const char *b)
{
  const char *a_port = strrchr (a, ':');
  const char *b_port = strrchr (b, ':');
  size_t a_len = a_port ? (size_t)(a_port - a) : strlen (a);
  size_t b_len = b_port ? (size_t)(b_port - b) : strlen (b);

  return a_len == b_len && memcmp (a, b, a_len) == 0;
}

static bool
claim_valid (const claims_t *claims, const msg_claim_t *entry)
{
  const shard_t *shard = claims_shard (claims, entry->shard);

  return shard
         && (entry->epoch == shard->epoch + 1
             || (MUTATED (NO_EPOCH_CHECK) && entry->epoch >= shard->epoch))
         && entry->witnesses.count <= CLAIMS_MAX_WITNESSES;
}

static void
push_claim (claims_t *claims, usec_t now, shard_t *shard,
            const msg_claim_t *entry)
{
  claim_t claim = { .epoch = entry->epoch,
                    .node = (node_id_t)entry->node,
                    .incarnation = entry->incarnation,
                    .applied_at = now,
                    .count = entry->witnesses.count };
  bool listed = false;
  bool renewal = shard->chain->len
                 && shard_current (shard)->incarnation == claim.incarnation;

  for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
    claim.held[i] = USEC_NEVER;
  for (uint32_t i = 0; i < claim.count; i++)
    claim.witnesses[i] = entry->witnesses.items[i];
  shard->epoch = claim.epoch;
  g_array_append_val (shard->chain, claim);
  for (guint c = 0; c < shard->chain->len; c++)
    {
      claim_t *former = shard_claim (shard, c);
      int index = claim_witness (former, claims->config.incarnation);

      for (uint32_t i = 0; i < CLAIMS_MAX_WITNESSES; i++)
        former->acked[i] = USEC_NEVER;
      if (index >= 0)
        former->acked[index] = now;
      listed = listed || index >= 0;
    }
  if (renewal)
    g_array_remove_range (shard->chain, 0, shard->chain->len - 1);
  if (claim.incarnation == claims->config.incarnation)
    {
      own_claim_applied (claims, now, shard, renewal);
      return;
    }
  other_claim_applied (claims, now, shard);
  if (listed)
    {
      message_t ack
          = { .type = MSG_CLAIM_ACK,
              .u.claim_ack = { shard_number (claims, shard), shard->epoch } };

      claims->ops.send (claims->ctx, claim.node, claim.incarnation, &ack);
    }
}

/* Holds granted for the former epoch while the renewal was on its way show
   that the witness knew of no newer claim, so they count for the new one. */
static void
own_claim_applied (claims_t *claims, usec_t now, shard_t *shard, bool renewal)
{
  own_t *own = &shard->own;

  if (!renewal)
    *own = (own_t){ .confirmed = USEC_NEVER, .lapsed_since = USEC_NEVER };
  else if (shard->pending.epoch == shard->epoch)
    memcpy (shard_current (shard)->held, shard->pending.held,
            sizeof shard->pending.held);
  own->epoch = shard->epoch;
  own->release_appended = false;
  shard->pending.epoch = 0;
  shard->claimable_at = USEC_NEVER;
  if (own->given_up)
    shard_announce_release (claims, now, shard);
  shard_refresh (claims, now, shard);
}

static void
other_claim_applied (claims_t *claims, usec_t now, shard_t *shard)
{
  shard_stop_acting (claims, now, shard);
  if (shard->pending.epoch && shard->pending.epoch <= shard->epoch)
    {
      shard->pending.epoch = 0;
      shard->retry_at = now + claims->config.claim_retry_delay;
    }
  shard->claimable_at = USEC_NEVER;
}

/* A release of an epoch resolves that epoch and all older ones, since only
   an owner that was active releases. */
void
shard_forget_released (claims_t *claims, usec_t now, shard_t *shard,
                       uint64_t epoch)
{
  guint count = 0;

  while (count < shard->chain->len
         && shard_claim (shard, count)->epoch <= epoch)
    count++;
  if (count)
    g_array_remove_range (shard->chain, 0, count);
  shard_refresh (claims, now, shard);
}

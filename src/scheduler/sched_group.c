/** @file
 * Ownership of shards: membership in the group that assigns partitions, and
 * the list of owners.
 */
#include "scheduler/sched_private.h"

#define GROUP "scheduler"
#define JOIN_INTERVAL (250 * USEC_PER_MSEC)
#define JOIN_TIMEOUT (600 * USEC_PER_MSEC)
/* The store removes a member after this long without a join.  Six joins may be
   lost, and a process that freezes for a second keeps its shards. */
#define MEMBER_LIFETIME (1500 * USEC_PER_MSEC)
/* A member whose VM has refused connections for this long has ended: a
   process listens before it joins. */
#define EVICT_AFTER_REFUSED (100 * USEC_PER_MSEC)
/* At most one member is evicted in this time, so that a live member behind a
   network that refuses connections is not evicted again and again. */
#define EVICT_INTERVAL_MIN (3 * USEC_PER_SEC)
#define LEAVE_RETRY (100 * USEC_PER_MSEC)
#define OWNERS_INTERVAL (1000 * USEC_PER_MSEC)
/* Interval of the processes that would take over first. */
#define OWNERS_INTERVAL_SUCCESSOR (250 * USEC_PER_MSEC)
#define OWNERS_RETRY (150 * USEC_PER_MSEC)

static bool may_rejoin (scheduler_t *s, usec_t now);
static void leave_group (scheduler_t *s);
static void send_join (scheduler_t *s, usec_t now);
static void on_joined (void *ctx, const store_parts_t *parts);
static void apply_assignment (scheduler_t *s, usec_t now,
                              const store_parts_t *parts);
static void acquire_shard (scheduler_t *s, shard_state_t *state, usec_t now);
static void send_owners (scheduler_t *s, usec_t now);
static void on_owners (void *ctx, const store_parts_t *parts);
static void decide_join (scheduler_t *s, usec_t now, uint32_t members);
static void update_owner (scheduler_t *s, usec_t now, uint32_t shard,
                          const char *member);
static bool is_stale_member (const scheduler_t *s, const char *member);
static uint32_t count_members (const store_parts_t *parts);
static void set_owner (scheduler_t *s, uint32_t shard, const char *member);
static void evict (scheduler_t *s, usec_t now, const char *member,
                   const char *why);
static void on_evicted (void *ctx, store_result_t result, const char *error);
static bool is_former_process (const scheduler_t *s, const char *member);
static void send_leave (scheduler_t *s);
static void on_left (void *ctx, store_result_t result, const char *error);
static int shard_of_partition (const scheduler_t *s, uint32_t partition);
static store_join_t join_params (const scheduler_t *s);

usec_t
group_tick (scheduler_t *s, usec_t now)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->shards[i].superseded && s->shards[i].owned)
      group_release_shard (s, &s->shards[i]);
  if (s->leave_due && now >= s->leave_due && !s->leave_busy)
    send_leave (s);
  if (s->left_group || !s->shard_count)
    return s->leave_due ? s->leave_due : INT64_MAX;
  /* No join while a leave is in flight: the store may serve the join last.  */
  if (s->joined && !s->stopping && !s->join_busy && !s->leave_busy
      && now >= s->join_due)
    {
      if (!member_stays (s, now))
        leave_group (s);
      else if (may_rejoin (s, now))
        send_join (s, now);
      else
        s->join_due = now + JOIN_INTERVAL;
    }
  if (!s->owners_busy && now >= s->owners_due)
    send_owners (s, now);
  if (s->leave_due)
    return MIN (s->leave_due, s->owners_due);
  return MIN (s->stopping || !s->joined ? INT64_MAX : s->join_due,
              s->owners_due);
}

/* A member that has not reached the store for its lifetime may have been
   replaced.  It reads the list of owners first, since a join by a replaced
   member would cause a rebalance.  */
static bool
may_rejoin (scheduler_t *s, usec_t now)
{
  if (s->last_owners_ok > s->last_join_ok
      || now - s->last_join_ok < MEMBER_LIFETIME)
    return true;
  s->owners_due = MIN (s->owners_due, now);
  return false;
}

static store_join_t
join_params (const scheduler_t *s)
{
  return (store_join_t){
    .group = GROUP,
    .member = s->member,
    .generation = s->generation,
    .session_timeout = MAX (MEMBER_LIFETIME, s->settings->member_lifetime_min),
    .timeout = JOIN_TIMEOUT
  };
}

static void
send_join (scheduler_t *s, usec_t now)
{
  store_join_t join = join_params (s);

  s->leave_due = 0;
  s->join_busy = true;
  s->join_sent = now;
  s->join_due = INT64_MAX;
  s->backend->ops->join (s->backend->ctx, &join, on_joined, s);
}

static void
on_joined (void *ctx, const store_parts_t *parts)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();

  s->join_busy = false;
  s->join_due = MAX (now, s->join_sent + JOIN_INTERVAL);
  sched_store_result (s, s->join_sent, parts->result, "join", parts->error);
  sched_wake (s);
  if (s->left_group)
    {
      /* The store may have served the join after the leave.  */
      s->leave_due = now;
      return;
    }
  if (parts->result != STORE_OK)
    return;
  if (!s->joined)
    {
      /* Left meanwhile; the store may have served the join after the leave.
       */
      s->leave_due = now;
      return;
    }
  s->last_join_ok = s->join_sent;
  if (parts->generation != s->generation)
    s->owners_due = MIN (s->owners_due, now);
  s->generation = parts->generation;
  apply_assignment (s, now, parts);
}

static int
shard_of_partition (const scheduler_t *s, uint32_t partition)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (sched_partition_of (s, i) == partition)
      return (int)i;
  return -ENOENT;
}

static void
apply_assignment (scheduler_t *s, usec_t now, const store_parts_t *parts)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      shard_state_t *state = &s->shards[i];
      bool listed = false;

      for (size_t p = 0; p < parts->count; p++)
        listed |= shard_of_partition (s, parts->parts[p].part) == (int)i;
      if (listed && state->owned)
        shard_ownership_confirmed (state->shard, s->join_sent);
      else if (listed && !s->stopping
               && s->generation > state->lost_generation)
        acquire_shard (s, state, now);
      else if (!listed && state->owned)
        group_release_shard (s, state);
    }
}

static void
acquire_shard (scheduler_t *s, shard_state_t *state, usec_t now)
{
  state->owned = true;
  state->fenced = false;
  state->ownership_generation = s->generation;
  state->ownership_id++;
  shard_acquire (state->shard, now, state->ownership_generation);
  shard_ownership_confirmed (state->shard, s->join_sent);
  set_owner (s, state->number, s->member);
  store_load (s, state, now);
}

void
group_release_shard (scheduler_t *s, shard_state_t *state)
{
  state->owned = false;
  state->superseded = false;
  state->loading = false;
  state->ownership_id++;
  state->lost_generation
      = MAX (state->lost_generation, state->ownership_generation);
  s->unassigned_since = clock_now ();
  shard_release (state->shard);
  s->owners_due = 0;
  if (s->owners[state->number].self)
    set_owner (s, state->number, NULL);
}

void
group_refresh_owners (scheduler_t *s, usec_t now)
{
  s->owners_due = MIN (s->owners_due, now + OWNERS_RETRY);
  sched_wake (s);
}

static usec_t
owners_interval (const scheduler_t *s, usec_t now)
{
  uint32_t rank = succession_own_rank (s, now);

  return rank && rank <= SUCCESSORS_MAX ? OWNERS_INTERVAL_SUCCESSOR
                                        : OWNERS_INTERVAL;
}

static void
send_owners (scheduler_t *s, usec_t now)
{
  s->owners_busy = true;
  s->owners_sent = now;
  s->owners_due = now + owners_interval (s, now);
  s->backend->ops->list_owners (s->backend->ctx, GROUP, JOIN_TIMEOUT,
                                on_owners, s);
}

static void
on_owners (void *ctx, const store_parts_t *parts)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  uint32_t members = count_members (parts);

  s->owners_busy = false;
  sched_wake (s);
  sched_store_result (s, s->owners_sent, parts->result, "owners",
                      parts->error);
  if (parts->result != STORE_OK)
    {
      group_refresh_owners (s, now);
      return;
    }
  s->last_owners_ok = s->owners_sent;
  s->unowned = false;
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      const char *member = NULL;

      for (size_t p = 0; p < parts->count; p++)
        if (shard_of_partition (s, parts->parts[p].part) == (int)i)
          member = parts->parts[p].member;
      update_owner (s, now, i, member);
      s->unowned |= !member;
    }
  if (!s->joined && !s->left_group && !s->stopping
      && member_joins (s, now, members))
    decide_join (s, now, members);
}

static void
decide_join (scheduler_t *s, usec_t now, uint32_t members)
{
  log_line (LOG_LEVEL_NOTICE, "group.join", NULL,
            "unowned=%d members=%u waited_ms=%" PRId64, s->unowned, members,
            usec_to_msec (now - s->unowned_since));
  s->joined = true;
  s->unassigned_since = s->last_join_ok = now;
  s->unowned_since = 0;
  s->join_due = 0;
}

/* Applies the list of owners to one shard.  */
static void
update_owner (scheduler_t *s, usec_t now, uint32_t shard, const char *member)
{
  shard_state_t *state = &s->shards[shard];

  if (state->owned && member && strcmp (member, s->member) != 0
      && s->owners_sent - s->last_join_ok >= MEMBER_LIFETIME)
    {
      log_line (LOG_LEVEL_NOTICE, "owner.replaced", NULL,
                "shard=%u by=%s joined_ms_ago=%" PRId64, shard, member,
                usec_to_msec (now - s->last_join_ok));
      group_release_shard (s, state);
    }
  if (!state->owned)
    set_owner (s, shard, member);
  if (member && is_former_process (s, member))
    evict (s, now, member, "former process of this address");
  if (member && is_stale_member (s, member))
    {
      log_line (LOG_LEVEL_NOTICE, "group.leave", NULL,
                "shard=%u is assigned to this process, which has left", shard);
      s->leave_due = now;
    }
}

/* @return whether the member is this process although it is none: the store
   has served a join of it late, and would leave the shard without an owner
   until the membership ends */
static bool
is_stale_member (const scheduler_t *s, const char *member)
{
  return !s->joined && !s->join_busy && !s->leave_busy && !s->leave_due
         && s->owners_sent >= s->left_at && strcmp (member, s->member) == 0;
}

static uint32_t
count_members (const store_parts_t *parts)
{
  GHashTable *members = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t count;

  for (size_t p = 0; p < parts->count; p++)
    g_hash_table_add (members, (gpointer)parts->parts[p].member);
  count = g_hash_table_size (members);
  g_hash_table_destroy (members);
  return count;
}

/* Parses a member's name: peer address, slash, incarnation.  */
static void
set_owner (scheduler_t *s, uint32_t shard, const char *member)
{
  shard_owner_t *owner = &s->owners[shard];
  char address[64];
  char host[48];
  uint16_t port;
  const char *slash = member ? strchr (member, '/') : NULL;

  if (member && strcmp (owner->member, member) == 0)
    return;
  memset (owner, 0, sizeof *owner);
  if (!slash)
    return;
  g_strlcpy (address, member,
             MIN (sizeof address, (size_t)(slash - member) + 1));
  if (ini_split_address (address, host, &port))
    {
      log_line (LOG_LEVEL_WARNING, "owner.unreadable", NULL,
                "shard=%u member=%s", shard, member);
      return;
    }
  g_strlcpy (owner->member, member, sizeof owner->member);
  owner->self = strcmp (member, s->member) == 0;
  owner->node = ntohl (inet_addr (host));
  log_line (LOG_LEVEL_INFO, "owner.changed", address, "shard=%u self=%d",
            shard, owner->self);
  if (!owner->self)
    peerlink_add (s->link, owner->node, address);
}

/* @return whether the member is an earlier process on this one's address: no
   other process can listen there now */
static bool
is_former_process (const scheduler_t *s, const char *member)
{
  size_t len = strlen (s->settings->listen_peers);

  return strncmp (member, s->settings->listen_peers, len) == 0
         && member[len] == '/' && strcmp (member, s->member) != 0;
}

void
group_set_refused (scheduler_t *s, usec_t now, node_id_t node, bool refused)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      shard_owner_t *owner = &s->owners[i];

      if (owner->node != node || owner->self)
        continue;
      if (!refused)
        {
          owner->refused_since = 0;
          continue;
        }
      group_refresh_owners (s, now);
      if (!owner->refused_since)
        owner->refused_since = now;
      else if (now - owner->refused_since >= EVICT_AFTER_REFUSED)
        evict (s, now, owner->member, "refuses connections");
    }
}

/* Removes a member that has ended, so that its shards are reassigned at once
   and not after its lifetime.  If the member is alive after all, it joins
   again; until then the store and the workers refuse its calls, as after any
   rebalance.  */
static void
evict (scheduler_t *s, usec_t now, const char *member, const char *why)
{
  store_join_t join = join_params (s);

  if (s->left_group || s->stopping || !s->may_own
      || (s->last_eviction && now - s->last_eviction < EVICT_INTERVAL_MIN))
    return;
  s->last_eviction = now;
  join.member = member;
  log_line (LOG_LEVEL_NOTICE, "group.evict", NULL, "member=%s why=\"%s\"",
            member, why);
  s->backend->ops->leave (s->backend->ctx, &join, on_evicted, s);
}

static void
on_evicted (void *ctx, store_result_t result, const char *error)
{
  scheduler_t *s = ctx;

  if (result == STORE_OK)
    {
      s->owners_due = 0;
      sched_wake (s);
      return;
    }
  log_line (LOG_LEVEL_NOTICE, "group.evict", NULL, "not confirmed: %s",
            error ? error : "refused");
}

void
group_leave (scheduler_t *s)
{
  if (s->shard_count && s->joined)
    leave_group (s);
}

void
group_owner_left (scheduler_t *s, usec_t now, node_id_t node)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->owners[i].node == node && !s->owners[i].self)
      s->owners_due = now;
  sched_wake (s);
}

static void
leave_group (scheduler_t *s)
{
  s->joined = false;
  s->fallback_until = 0;
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->shards[i].owned)
      group_release_shard (s, &s->shards[i]);
  send_leave (s);
  log_line (LOG_LEVEL_NOTICE, "group.leave", NULL, "generation=%" PRIu64,
            s->generation);
}

static void
send_leave (scheduler_t *s)
{
  store_join_t join = join_params (s);

  s->leave_busy = true;
  s->leave_due = 0;
  s->backend->ops->leave (s->backend->ctx, &join, on_left, s);
}

static void
on_left (void *ctx, store_result_t result, const char *error)
{
  scheduler_t *s = ctx;
  message_t message = { .type = MSG_OWNER_LEFT };

  s->leave_busy = false;
  sched_wake (s);
  if (result == STORE_OK)
    {
      s->left_at = clock_now ();
      message.u.owner_left.generation = s->generation;
      peerlink_broadcast (s->link, &message);
      return;
    }
  log_line (LOG_LEVEL_WARNING, "group.leave", NULL,
            "not confirmed: %s; sent again", error ? error : "refused");
  if (s->joined)
    return;
  s->leave_due = clock_now () + LEAVE_RETRY;
}

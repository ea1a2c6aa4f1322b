/** @file
 * Ownership of shards: the group that deals out partitions, and who owns
 * what.
 */
#include "scheduler/sched_private.h"

#define GROUP "scheduler"
#define JOIN_INTERVAL (250 * USEC_PER_MSEC)
#define JOIN_TIMEOUT (600 * USEC_PER_MSEC)
/* A member is out after this long without a call: six calls may be lost, and
   a freeze of a second moves nothing. */
#define MEMBER_LIFETIME (1500 * USEC_PER_MSEC)
/* A member whose VM has refused connections for so long has ended: a process
   that starts listens before it joins. */
#define REFUSED_FOR (100 * USEC_PER_MSEC)
/* At most one member is taken out in this time, so that one that lives behind
   a network that refuses connections is not taken out in turns. */
#define EVICT_PAUSE (3 * USEC_PER_SEC)
#define LEAVE_RETRY (100 * USEC_PER_MSEC)
#define OWNERS_INTERVAL (1000 * USEC_PER_MSEC)
#define OWNERS_RETRY (150 * USEC_PER_MSEC)

static bool may_join (scheduler_t *s, usec_t now);
static void leave_group (scheduler_t *s);
static void send_join (scheduler_t *s, usec_t now);
static void on_joined (void *ctx, const store_parts_t *parts);
static void apply_parts (scheduler_t *s, usec_t now,
                         const store_parts_t *parts);
static void gain (scheduler_t *s, part_t *part, usec_t now);
static void send_owners (scheduler_t *s, usec_t now);
static void on_owners (void *ctx, const store_parts_t *parts);
static void enter_group (scheduler_t *s, usec_t now, uint32_t members);
static void take_owner (scheduler_t *s, usec_t now, uint32_t shard,
                        const char *member);
static uint32_t count_members (const store_parts_t *parts);
static void set_owner (scheduler_t *s, uint32_t shard, const char *member);
static void evict (scheduler_t *s, usec_t now, const char *member,
                   const char *why);
static void on_evicted (void *ctx, store_result_t result, const char *error);
static bool is_former_self (const scheduler_t *s, const char *member);
static void send_leave (scheduler_t *s);
static void on_left (void *ctx, store_result_t result, const char *error);
static int shard_of_part (const scheduler_t *s, uint32_t part);
static store_join_t join_of (const scheduler_t *s);

usec_t
group_tick (scheduler_t *s, usec_t now)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->parts[i].lost && s->parts[i].owned)
      group_lose (s, &s->parts[i]);
  if (s->leave_due && now >= s->leave_due && !s->leave_busy)
    send_leave (s);
  if (s->left || !s->shard_count)
    return s->leave_due ? s->leave_due : INT64_MAX;
  /* A join that is under way when the group is left may be served last.  */
  if (s->joined && !s->stopping && !s->join_busy && !s->leave_busy
      && now >= s->join_due)
    {
      if (!member_stays (s, now))
        leave_group (s);
      else if (may_join (s, now))
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

/* A member that was out of touch for its lifetime may have been replaced: it
   joins again only if the owners are not known to be others, since its join
   would have the partitions dealt anew.  */
static bool
may_join (scheduler_t *s, usec_t now)
{
  if (s->owners_ok > s->join_ok || now - s->join_ok < MEMBER_LIFETIME)
    return true;
  s->owners_due = MIN (s->owners_due, now);
  return false;
}

static store_join_t
join_of (const scheduler_t *s)
{
  return (store_join_t){ .group = GROUP,
                         .member = s->member,
                         .generation = s->generation,
                         .session_timeout
                         = MAX (MEMBER_LIFETIME, s->settings->member_min),
                         .timeout = JOIN_TIMEOUT };
}

static void
send_join (scheduler_t *s, usec_t now)
{
  store_join_t join = join_of (s);

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
  if (s->left)
    {
      /* The store may have served the join after the leave.  */
      s->leave_due = now;
      return;
    }
  if (parts->result != STORE_OK)
    return;
  if (!s->joined)
    {
      /* It has left meanwhile; the store may have served the join last.  */
      s->leave_due = now;
      return;
    }
  s->join_ok = s->join_sent;
  if (parts->generation != s->generation)
    s->owners_due = MIN (s->owners_due, now);
  s->generation = parts->generation;
  apply_parts (s, now, parts);
}

static int
shard_of_part (const scheduler_t *s, uint32_t part)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (sched_part_of (s, i) == part)
      return (int)i;
  return -ENOENT;
}

static void
apply_parts (scheduler_t *s, usec_t now, const store_parts_t *parts)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      part_t *part = &s->parts[i];
      bool listed = false;

      for (size_t p = 0; p < parts->count; p++)
        listed |= shard_of_part (s, parts->parts[p].part) == (int)i;
      if (listed && part->owned)
        shard_ownership_confirmed (part->shard, s->join_sent);
      else if (listed && !s->stopping && s->generation > part->epoch_lost)
        gain (s, part, now);
      else if (!listed && part->owned)
        group_lose (s, part);
    }
}

static void
gain (scheduler_t *s, part_t *part, usec_t now)
{
  part->owned = true;
  part->fenced = false;
  part->token = s->generation;
  part->life++;
  shard_acquire (part->shard, now, part->token);
  shard_ownership_confirmed (part->shard, s->join_sent);
  set_owner (s, part->number, s->member);
  store_load (s, part, now);
}

void
group_lose (scheduler_t *s, part_t *part)
{
  part->owned = false;
  part->lost = false;
  part->loading = false;
  part->life++;
  part->epoch_lost = MAX (part->epoch_lost, part->token);
  s->joined_at = clock_now ();
  shard_release (part->shard);
  s->owners_due = 0;
  if (s->owners[part->number].self)
    set_owner (s, part->number, NULL);
}

void
group_doubt_owner (scheduler_t *s, usec_t now)
{
  s->owners_due = MIN (s->owners_due, now + OWNERS_RETRY);
  sched_wake (s);
}

static void
send_owners (scheduler_t *s, usec_t now)
{
  s->owners_busy = true;
  s->owners_sent = now;
  s->owners_due = now + OWNERS_INTERVAL;
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
      group_doubt_owner (s, now);
      return;
    }
  s->owners_ok = s->owners_sent;
  s->unowned = false;
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      const char *member = NULL;

      for (size_t p = 0; p < parts->count; p++)
        if (shard_of_part (s, parts->parts[p].part) == (int)i)
          member = parts->parts[p].member;
      take_owner (s, now, i, member);
      s->unowned |= !member;
    }
  if (!s->joined && !s->left && !s->stopping && member_joins (s, now, members))
    enter_group (s, now, members);
}

static void
enter_group (scheduler_t *s, usec_t now, uint32_t members)
{
  log_line (LOG_LEVEL_NOTICE, "group.join", NULL,
            "unowned=%d members=%u waited_ms=%" PRId64, s->unowned, members,
            usec_to_msec (now - s->unowned_since));
  s->joined = true;
  s->joined_at = s->join_ok = now;
  s->unowned_since = 0;
  s->join_due = 0;
}

/* What the list of owners says of one shard.  */
static void
take_owner (scheduler_t *s, usec_t now, uint32_t shard, const char *member)
{
  part_t *part = &s->parts[shard];

  if (part->owned && member && strcmp (member, s->member) != 0
      && s->owners_sent - s->join_ok >= MEMBER_LIFETIME)
    {
      log_line (LOG_LEVEL_NOTICE, "owner.replaced", NULL,
                "shard=%u by=%s joined_ms_ago=%" PRId64, shard, member,
                usec_to_msec (now - s->join_ok));
      group_lose (s, part);
    }
  if (!part->owned)
    set_owner (s, shard, member);
  if (member && is_former_self (s, member))
    evict (s, now, member, "former process of this address");
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

/* A member's name is its peer address and its incarnation.  */
static void
set_owner (scheduler_t *s, uint32_t shard, const char *member)
{
  owner_t *owner = &s->owners[shard];
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

/* Nobody else can listen at this process's address.  */
static bool
is_former_self (const scheduler_t *s, const char *member)
{
  size_t len = strlen (s->settings->listen_peers);

  return strncmp (member, s->settings->listen_peers, len) == 0
         && member[len] == '/' && strcmp (member, s->member) != 0;
}

void
group_refused (scheduler_t *s, usec_t now, node_id_t node, bool refused)
{
  for (uint32_t i = 0; i < s->shard_count; i++)
    {
      owner_t *owner = &s->owners[i];

      if (owner->node != node || owner->self)
        continue;
      if (!refused)
        {
          owner->refused_at = 0;
          continue;
        }
      group_doubt_owner (s, now);
      if (!owner->refused_at)
        owner->refused_at = now;
      else if (now - owner->refused_at >= REFUSED_FOR)
        evict (s, now, owner->member, "refuses connections");
    }
}

/* The shards of a member that has ended are dealt out at once, not when its
   lifetime is over.  If it lives after all, it joins again; the store and the
   workers take nothing more from it meanwhile, as after any deal.  */
static void
evict (scheduler_t *s, usec_t now, const char *member, const char *why)
{
  store_join_t join = join_of (s);

  if (s->left || s->stopping || !s->may_own
      || (s->evicted && now - s->evicted < EVICT_PAUSE))
    return;
  s->evicted = now;
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
  s->helps_until = 0;
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->parts[i].owned)
      group_lose (s, &s->parts[i]);
  send_leave (s);
  log_line (LOG_LEVEL_NOTICE, "group.leave", NULL, "generation=%" PRIu64,
            s->generation);
}

static void
send_leave (scheduler_t *s)
{
  store_join_t join = join_of (s);

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

/** @file
 * Decides when a process is a member of the group that assigns shards.
 *
 * The store rebalances all partitions whenever a member joins, and may take a
 * shard from a healthy owner.  So a process joins only while a shard has no
 * owner or the group has fewer members than there are shards, and leaves again
 * if no shard is assigned to it.
 */
#include "scheduler/sched_private.h"

/* Delays by incarnation and by age, so that processes that find a shard
   without an owner join one after the other. */
#define JOIN_DELAY_SPREAD (150 * USEC_PER_MSEC)
#define JOIN_DELAY_PER_SECOND (15 * USEC_PER_MSEC)
#define JOIN_DELAY_MAX_AGE (10 * USEC_PER_SEC)
/* Delay between two successors of an owner: longer than a join and a list of
   owners take, so that the next one finds the shard owned. */
#define RANK_DELAY (200 * USEC_PER_MSEC)
/* A process without sufficient cpu_share joins after this long without an
   owner: longer than the owners of all shards take to recover from a loss. */
#define FALLBACK_DELAY (6 * USEC_PER_SEC)
#define FALLBACK_SPAN (20 * USEC_PER_SEC)
/* A new member is assigned a shard within this time or not at all: partitions
   of a lost member are reassigned when its lifetime ends. */
#define ASSIGNMENT_TIMEOUT (2500 * USEC_PER_MSEC)

usec_t
member_join_delay (usec_t age, incarnation_t incarnation)
{
  return CLAMP (age, 0, JOIN_DELAY_MAX_AGE) / USEC_PER_MSEC
             * JOIN_DELAY_PER_SECOND / (USEC_PER_SEC / USEC_PER_MSEC)
         + (usec_t)(incarnation % (uint64_t)JOIN_DELAY_SPREAD);
}

/* @return time between the loss of an owner and the join of this process */
static usec_t
join_delay (const scheduler_t *s, usec_t now)
{
  uint32_t rank = succession_own_rank (s, now);
  usec_t delay
      = member_join_delay (s->unowned_since - s->started_at, s->incarnation);

  if (!s->may_own)
    return FALLBACK_DELAY;
  if (!rank)
    return delay;
  return rank <= SUCCESSORS_MAX ? (rank - 1) * RANK_DELAY
                                : SUCCESSORS_MAX * RANK_DELAY + delay;
}

bool
member_joins (scheduler_t *s, usec_t now, uint32_t members)
{
  usec_t due;

  /* A process without sufficient cpu_share does not join only because the
     group has fewer members than there are shards.  */
  if (!s->unowned && (!s->may_own || members >= s->shard_count))
    {
      s->unowned_since = 0;
      return false;
    }
  if (!s->unowned_since)
    s->unowned_since = now;
  due = s->unowned_since + join_delay (s, now);
  if (now < due)
    {
      s->owners_due = MIN (s->owners_due, due);
      return false;
    }
  if (!s->may_own && !s->fallback_until)
    {
      s->fallback_until = now + FALLBACK_SPAN;
      log_line (LOG_LEVEL_NOTICE, "group.help", NULL,
                "a shard has had no owner for ms=%" PRId64,
                usec_to_msec (now - s->unowned_since));
    }
  return true;
}

bool
member_stays (const scheduler_t *s, usec_t now)
{
  if (s->fallback_until && now >= s->fallback_until)
    return false;
  return sched_owns_any_shard (s)
         || now - s->unassigned_since < ASSIGNMENT_TIMEOUT;
}

/** @file
 * Requests that wait for a slot, in the order in which they are served.
 *
 * Requests are kept by member and by lane (short or long work).  Does no I/O.
 */
#ifndef ROUTING_QUEUE_H
#define ROUTING_QUEUE_H

#include "base/table.h"

#include <glib.h>

typedef enum
{
  LANE_SHORT,
  LANE_LONG,
  LANE_COUNT,
  LANE_ANY = LANE_COUNT
} lane_t;

/** A member, its waiting requests and its use of slots. */
typedef struct queue_member queue_member_t;
typedef struct queue queue_t;

typedef struct
{
  handle_t request;
  uint32_t priority; /**< 0 is the most important */
  usec_t deadline;
  uint64_t sequence; /**< order of arrival */
  queue_member_t *member;
  lane_t lane;
  bool from_peer;          /**< forwarded by a peer */
  GSequenceIter *position; /**< set by queue_push */
} queue_item_t;

queue_t *queue_new (void);
void queue_free (queue_t *queue);

/** @return the member of this name, added if it is new */
queue_member_t *queue_member (queue_t *queue, const char *name,
                              uint32_t weight);

/** Adds COST microseconds of slot time to the use of a member. */
void queue_charge (queue_t *queue, usec_t now, queue_member_t *member,
                   usec_t cost);

/** Adds a copy of ITEM. @return the copy, valid until queue_remove */
queue_item_t *queue_push (queue_t *queue, const queue_item_t *item);
void queue_remove (queue_t *queue, queue_item_t *item);

/** @param forwardable_only skip the requests that a peer forwarded, which may
    not be forwarded again
    @return the next request to serve, NULL if none waits */
const queue_item_t *queue_first (const queue_t *queue, lane_t lane,
                                 bool forwardable_only);

/** @param forwardable_only as for queue_first
    @return the last request to serve, NULL if none waits */
const queue_item_t *queue_last (const queue_t *queue, lane_t lane,
                                bool forwardable_only);

/** @return estimated number of requests before ITEM in its lane, at most all
    requests of members that are not ranked behind its member; the order within
    these is not looked up */
uint64_t queue_count_ahead (const queue_t *queue, const queue_item_t *item);
uint64_t queue_length (const queue_t *queue);

/** @return number of waiting requests whose member is within its fair share */
uint64_t queue_count_within_share (const queue_t *queue);
/** @return whether the member of ITEM has used more than its fair share */
bool queue_over_share (const queue_item_t *item);

/** Orders by priority, then members within their fair share before those over
    it, then by deadline, then by arrival.
    @return -1, 0 or 1 if A is served before, with or after B */
int queue_compare (const queue_t *queue, const queue_item_t *a,
                   const queue_item_t *b);

#endif

/** @file
 * Requests that wait for a slot, in the order in which they are served.
 *
 * A request is in one of two lanes (short and long work), under the member
 * that sent it.  Does no I/O.
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

typedef struct share share_t; /**< what one member has had */
typedef struct queue queue_t;

typedef struct
{
  handle_t request;
  uint32_t priority; /**< 0 is the most important */
  usec_t deadline;
  uint64_t sequence; /**< order of arrival */
  share_t *share;
  lane_t lane;
  bool hopped;          /**< came over the peer link */
  GSequenceIter *place; /**< set by queue_push */
} queue_item_t;

queue_t *queue_new (void);
void queue_free (queue_t *queue);

/** @return the share of a member, made when first seen */
share_t *queue_share (queue_t *queue, const char *member, uint32_t weight);

/** Notes that a member got COST microseconds of slot time. */
void queue_charge (queue_t *queue, usec_t now, share_t *share, usec_t cost);

/** Adds a copy of ITEM. @return the copy, valid until queue_remove */
queue_item_t *queue_push (queue_t *queue, const queue_item_t *item);
void queue_remove (queue_t *queue, queue_item_t *item);

/** @param own_only leave out what came over the peer link, which may not be
    handed on
    @return the next one to serve, NULL if none waits */
const queue_item_t *queue_best (const queue_t *queue, lane_t lane,
                                bool own_only);

/** @param own_only as for queue_best
    @return the last one to be served, NULL if none waits */
const queue_item_t *queue_worst (const queue_t *queue, lane_t lane,
                                 bool own_only);

/** @return how many wait before ITEM in its lane, at most (the exact place of
   those of other members is not looked up) */
uint64_t queue_ahead (const queue_t *queue, const queue_item_t *item);
uint64_t queue_length (const queue_t *queue);

/** @return how many wait whose member has not had more than its share */
uint64_t queue_within (const queue_t *queue);
bool queue_is_over (const queue_item_t *item);

/** By priority; then members that have had more than their fair share come
    after the others; then by deadline.
    @return -1, 0 or 1 as A is served before, with or after B */
int queue_compare (const queue_t *queue, const queue_item_t *a,
                   const queue_item_t *b);

#endif

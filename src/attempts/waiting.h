/** @file
 * Waiting orders, in groups of like size, so that one that finds no room
 * holds up neither other groups nor the walk.
 */
#ifndef ATTEMPTS_WAITING_H
#define ATTEMPTS_WAITING_H

#include "orders/orders.h"

typedef enum
{
  WAITING_TAKEN, /**< placed, ended or not waiting any more */
  WAITING_OTHER, /**< another node's turn */
  WAITING_MISS   /**< stays, found no room */
} waiting_visit_t;

typedef struct waiting waiting_t;

waiting_t *waiting_new (void);
void waiting_free (waiting_t *waiting);

/** Adds an order or moves it. @param mine whether it is this node's turn */
void waiting_add (waiting_t *waiting, const order_t *order, bool mine);
void waiting_remove (waiting_t *waiting, order_id_t order);

/** Walks own orders: urgent ones first, then one of each group in turn, in
    each group the oldest first.
    @return false if BUDGET visits were used up before the end; the next pass
    then leaves out the groups that this one has done with */
bool waiting_pass (waiting_t *waiting, unsigned budget,
                   waiting_visit_t (*visit) (void *ctx, order_id_t order),
                   void *ctx);

/** Takes the next order of another node's turn for a second look; it goes to
    the end of the others. @return false if there is none */
bool waiting_next_other (waiting_t *waiting, order_id_t *order);

/** @return orders of other nodes' turns */
size_t waiting_others (const waiting_t *waiting);
size_t waiting_own (const waiting_t *waiting);

#endif

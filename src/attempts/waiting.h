/** @file
 * Queue of waiting orders, in groups of similar size, so that an order that
 * finds no room blocks neither other groups nor the rest of a pass.
 */
#ifndef ATTEMPTS_WAITING_H
#define ATTEMPTS_WAITING_H

#include "orders/orders.h"

typedef enum
{
  WAITING_DONE,       /**< placed, ended or no longer waiting */
  WAITING_OTHER_NODE, /**< another node's turn */
  WAITING_NO_ROOM     /**< found no room, stays in the queue */
} waiting_visit_t;

typedef struct waiting waiting_t;

waiting_t *waiting_new (void);
void waiting_free (waiting_t *waiting);

/** Adds an order, or moves it if the turn has changed.
    @param own_turn whether it is this node's turn */
void waiting_add (waiting_t *waiting, const order_t *order, bool own_turn);
void waiting_remove (waiting_t *waiting, order_id_t order);

/** Visits the orders of this node's turn: urgent groups first, round-robin
    over the groups, oldest order first within a group.
    @return false if BUDGET visits did not suffice for all groups; the next
    pass then skips the groups that this one has finished */
bool waiting_pass (waiting_t *waiting, unsigned budget,
                   waiting_visit_t (*visit) (void *ctx, order_id_t order),
                   void *ctx);

/** Gets the next order of another node's turn and moves it to the end of that
    list, so that repeated calls go through all of them.
    @return false if there is none */
bool waiting_next_other (waiting_t *waiting, order_id_t *order);

/** @return number of orders of other nodes' turns */
size_t waiting_other_count (const waiting_t *waiting);
/** @return number of orders of this node's turn */
size_t waiting_own_count (const waiting_t *waiting);

#endif

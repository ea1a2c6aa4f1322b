/** @file
 * The table of batch orders, which every process rebuilds from the log.
 *
 * An order is known once its ORDER_ACCEPT or a snapshot of it has been
 * applied.  Of the ORDER_START entries of an attempt, the first in log order
 * that carries the shard's epoch at its offset takes effect.  This module does
 * no I/O.
 */
#ifndef ORDERS_ORDERS_H
#define ORDERS_ORDERS_H

#include "base/messages.h"
#include "base/table.h"

#include <jansson.h>

typedef uint64_t order_id_t;

typedef enum
{
  ORDER_WAITING = 0, /**< accepted, no attempt under way */
  ORDER_STARTED = 1, /**< ORDER_START of the current attempt is in the log */
  ORDER_ENDED = 2    /**< its outcome is final */
} order_state_t;

typedef enum
{
  REQUEUE_EVICTED = 1,      /**< checkpointed and stopped, confirmed */
  REQUEUE_NOT_STARTED = 2,  /**< known not to have started */
  REQUEUE_LEASE_LAPSED = 3, /**< idempotent or resumable, lease expired */
  REQUEUE_FAILED = 4,       /**< ended in failure, to be retried */
  REQUEUE_LOST_EARLY = 5    /**< as REQUEUE_LEASE_LAPSED, and not known to
                                 have run for a while */
} requeue_reason_t;

typedef struct
{
  order_id_t id;
  char *member;
  char *key;
  char *class_name;
  char *team;
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  uint64_t declared_ms;
  bool urgent;
  bool cancelled;    /**< a cancel is in the log */
  bool may_have_run; /**< an earlier attempt was requeued for a reason other
                          than REQUEUE_NOT_STARTED, so the order cannot end
                          as not-run */
  order_state_t state;
  uint64_t failures;     /**< attempts requeued as failed */
  uint64_t early_losses; /**< consecutive attempts requeued as
                              REQUEUE_LOST_EARLY */
  uint64_t attempt; /**< number of the newest attempt, 0 before the first */
  char *worker;     /**< of the newest attempt */
  uint32_t shard;   /**< of the newest attempt's worker */
  uint64_t epoch;   /**< of the newest attempt */
  outcome_t outcome;
  uint64_t status; /**< status of the response if OUTCOME_RAN */
  GBytes *body;    /**< freed when the order ends */
  uint64_t
      body_digest; /**< orders_body_digest, kept after the body is freed */
  GBytes *result;
  GBytes *checkpoint; /**< NULL for none */
  usec_t accepted_at; /**< local time when the acceptance was applied */
  uint64_t full_entry_offset; /**< of the newest entry with the whole order */
  uint64_t
      last_entry_offset; /**< offset of the newest entry about the order */
} order_t;

typedef enum
{
  ORDER_APPLIED,   /**< the entry took effect */
  ORDER_DUPLICATE, /**< ACCEPT whose (member, key) was accepted before */
  ORDER_IGNORED    /**< ignored: stale epoch, wrong attempt, unknown order */
} order_apply_result_t;

typedef struct
{
  /** Called for each ACCEPT, START, END, REQUEUE, CANCEL and snapshot entry
      that changed an order. */
  void (*changed) (void *ctx, usec_t now, const order_t *order);
  /** @return the shard's epoch at the current offset of the log */
  uint64_t (*epoch_of) (void *ctx, uint32_t shard);
} orders_ops_t;

typedef struct orders orders_t;

orders_t *orders_new (const orders_ops_t *ops, void *ctx);
void orders_free (orders_t *orders);

/** Applies an ORDER_* entry in log order.
    @param offset of the record in the log
    @param id set to the order of the entry; for a duplicate, to the order that
    was accepted first */
order_apply_result_t orders_apply (orders_t *orders, usec_t now,
                                   uint64_t offset, const message_t *entry,
                                   order_id_t *id);

/** @return digest that tells whether a request with a known key has the same
    body */
uint64_t orders_body_digest (blob_t body);

/** @return the order, NULL if not known */
const order_t *orders_get (const orders_t *orders, order_id_t id);

/** @return the order if it belongs to MEMBER, else NULL, so that a member
    cannot detect the orders of other members */
const order_t *orders_get_of_member (const orders_t *orders, order_id_t id,
                                     const char *member);

/** @return the order accepted under (member, key), NULL for none */
const order_t *orders_by_key (const orders_t *orders, const char *member,
                              const char *key);

/** Iterates over the orders in STATE: the oldest first, or for ended orders
    the one that ended first.  VISIT returns false to stop; it may apply
    entries to the order that is passed to it, not to others. */
void orders_each (const orders_t *orders, order_state_t state,
                  bool (*visit) (void *ctx, const order_t *order), void *ctx);

/** Iterates over the newest MAX orders of a member, newest first. */
void orders_each_of_member (const orders_t *orders, const char *member,
                            size_t max,
                            void (*visit) (void *ctx, const order_t *order),
                            void *ctx);

/** Iterates over the started orders on workers of the shard. */
void orders_each_on_shard (const orders_t *orders, uint32_t shard,
                           void (*visit) (void *ctx, const order_t *order),
                           void *ctx);

/** Fills in a snapshot entry; its blobs point into the order. */
void orders_snapshot (const order_t *order, msg_order_snapshot_t *entry);

/** Lists the orders whose newest entry with the whole order is before OFFSET:
    they must be appended again before their records expire.  An ended order is
    included until orders_remove_ended removes it.
    @return number of orders stored in OUT, at most MAX */
size_t orders_expiring (const orders_t *orders, uint64_t offset,
                        order_id_t *out, size_t max);

/** Removes the orders that ended before ENDED_BEFORE (local time). */
void orders_remove_ended (orders_t *orders, usec_t ended_before);

size_t orders_count (const orders_t *orders, order_state_t state);

json_t *order_to_json (const order_t *order);

#endif

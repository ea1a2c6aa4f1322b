/** @file
 * The ledger of batch orders, rebuilt by every process from the log.
 *
 * An order is known once its ORDER_ACCEPT has been applied.  An attempt
 * counts only if its ORDER_START was the first valid one in log order, under
 * the shard's epoch at that place.  Does no I/O.
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
  ORDER_ENDED = 2    /**< has its final outcome */
} order_state_t;

typedef enum
{
  REQUEUE_EVICTED = 1,      /**< checkpointed and stopped, confirmed */
  REQUEUE_NOT_STARTED = 2,  /**< the worker surely never started it */
  REQUEUE_LEASE_LAPSED = 3, /**< idempotent or resumable, lease lapsed */
  REQUEUE_FAILED = 4        /**< ended in failure, may be tried again */
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
  bool may_have_run; /**< an earlier attempt was requeued other than as not
                          started, so the order cannot end as not-run */
  order_state_t state;
  uint64_t failures; /**< attempts requeued as failed */
  uint64_t attempt;  /**< number of the newest attempt, 0 before the first */
  char *worker;      /**< of the newest attempt */
  uint32_t shard;    /**< of the newest attempt's worker */
  uint64_t epoch;    /**< of the newest attempt */
  outcome_t outcome;
  uint64_t status;      /**< status of the answer when OUTCOME_RAN */
  GBytes *body;         /**< dropped at the end */
  uint64_t body_digest; /**< orders_body_digest, kept with the key */
  GBytes *result;
  GBytes *checkpoint;         /**< NULL for none */
  usec_t accepted_at;         /**< local time at which it was applied */
  uint64_t full_entry_offset; /**< of the newest entry that carries it whole */
  uint64_t last_entry_offset; /**< offset of the newest entry that names it */
} order_t;

typedef enum
{
  ORDER_APPLIED,   /**< the entry took effect */
  ORDER_DUPLICATE, /**< ACCEPT whose (member, key) was accepted before */
  ORDER_IGNORED    /**< stale epoch, wrong attempt, or not known */
} order_apply_result_t;

typedef struct
{
  /** An order's state changed; fired for ACCEPT, START, END, REQUEUE, CANCEL
      and snapshot entries that took effect. */
  void (*changed) (void *ctx, usec_t now, const order_t *order);
  /** @return the shard's epoch at this place of the log */
  uint64_t (*epoch_of) (void *ctx, uint32_t shard);
} orders_ops_t;

typedef struct orders orders_t;

orders_t *orders_new (const orders_ops_t *ops, void *ctx);
void orders_free (orders_t *orders);

/** Applies an ORDER_* entry in log order.
    @param offset place in the log
    @param id set to the order concerned; for a duplicate, the first one */
order_apply_result_t orders_apply (orders_t *orders, usec_t now,
                                   uint64_t offset, const message_t *entry,
                                   order_id_t *id);

/** Digest by which a repeated key is checked for the same body. */
uint64_t orders_body_digest (blob_t body);

/** @return the order, NULL if not known */
const order_t *orders_get (const orders_t *orders, order_id_t id);

/** @return the order if MEMBER owns it; NULL also if another member does, so
    that a member never learns of other members' orders */
const order_t *orders_get_of_member (const orders_t *orders, order_id_t id,
                                     const char *member);

/** @return the order accepted under (member, key), NULL for none */
const order_t *orders_by_key (const orders_t *orders, const char *member,
                              const char *key);

/** Walks orders in the given state, oldest first (ended ones in the order of
    their ends).  VISIT returns false to stop; it may apply entries to the
    order it is given, not to others. */
void orders_each (const orders_t *orders, order_state_t state,
                  bool (*visit) (void *ctx, const order_t *order), void *ctx);

/** Walks one member's orders, newest first, at most MAX. */
void orders_each_of_member (const orders_t *orders, const char *member,
                            size_t max,
                            void (*visit) (void *ctx, const order_t *order),
                            void *ctx);

/** Walks the attempts started on shards' workers. */
void orders_each_on_shard (const orders_t *orders, uint32_t shard,
                           void (*visit) (void *ctx, const order_t *order),
                           void *ctx);

/** Fills a snapshot entry; its blobs point into the order. */
void orders_snapshot (const order_t *order, msg_order_snapshot_t *entry);

/** Lists orders whose newest whole entry lies before OFFSET and that are not
    ended, or ended within keep: they must be appended again before their
    records expire. @return how many were written, at most MAX */
size_t orders_expiring (const orders_t *orders, uint64_t offset,
                        order_id_t *out, size_t max);

/** Drops orders that ended before ENDED_BEFORE (local time). */
void orders_remove_ended (orders_t *orders, usec_t ended_before);

size_t orders_count (const orders_t *orders, order_state_t state);

json_t *order_to_json (const order_t *order);

#endif

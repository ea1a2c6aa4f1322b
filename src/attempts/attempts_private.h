/** @file
 * What the files of the slice share.
 */
#ifndef ATTEMPTS_ATTEMPTS_PRIVATE_H
#define ATTEMPTS_ATTEMPTS_PRIVATE_H

#include "attempts/attempts.h"
#include "attempts/waiting.h"

/* MUTATED (NAME) is 1 in a build with -DATTEMPTS_MUTATE_NAME, else 0.  Such
   builds disable one mechanism each, to show that the tests notice. */
#define MUTATED(name) MUTATED_1 (ATTEMPTS_MUTATE_##name)
#define MUTATED_1(value) MUTATED_2 (value)
#define MUTATED_2(value) MUTATED_3 (MUTATED_SET_##value)
#define MUTATED_3(set) MUTATED_4 (set 1, 0, 0)
#define MUTATED_4(first, second, ...) second
#define MUTATED_SET_1 0,

#define DUE_NEVER INT64_MAX

typedef struct
{
  uint32_t number;
  bool owned;
  bool quiesced; /**< about to be handed over */
  uint64_t epoch;
  usec_t gained_at;
} shard_t;

typedef struct
{
  char *id;
  worker_info_t info;
  shard_t *shard;
  bool gone;    /**< not in the list any more */
  bool asked;   /**< answered a list call since the shard was gained, or since
                     a start could not be sent */
  bool orphans; /**< runs attempts that are not in the ledger any more */
  bool placed;  /**< known to the placement */
  bool open;    /**< as told to the placement */
  usec_t answered_at;
  usec_t list_due;
  uint64_t list_call;  /**< under way, 0 for none */
  GPtrArray *attempts; /**< attempt_t, not owned */
} worker_t;

typedef enum
{
  PHASE_PROPOSED,      /**< START not yet read back */
  PHASE_STARTING,      /**< START is valid; the start call follows */
  PHASE_RUNNING,       /**< the worker knows it, or may */
  PHASE_CHECKPOINTING, /**< first step of an eviction */
  PHASE_STOPPING,      /**< last step of an eviction, or a cancel */
  PHASE_DECIDED,       /**< END or REQUEUE not yet read back */
  PHASE_COUNT
} phase_t;

typedef struct
{
  order_id_t order;
  uint64_t number;
  worker_t *worker; /**< NULL: ends a waiting order */
  phase_t phase;
  bool reserved;     /**< room is taken in the placement */
  bool sent;         /**< the start call was sent */
  bool evicting;     /**< PHASE_STOPPING is part of an eviction */
  bool missing;      /**< the worker answers but does not know it */
  usec_t begun_at;   /**< when the worker confirmed the start */
  usec_t lease_from; /**< latest time at which a start or renewal may have
                          reached the worker */
  usec_t heard_at;   /**< send time of the newest call whose answer showed
                          that it runs */
  usec_t known_from; /**< lists asked for from then on must name it */
  usec_t retry_at;
  usec_t renew_at;
  uint64_t call;    /**< under way, renewals aside; 0 for none */
  uint64_t renewal; /**< under way, 0 for none */
  uint64_t listed;  /**< newest list call that named it */
  uint32_t tries;   /**< of the checkpoint call */
  uint32_t percent; /**< speed confirmed by the worker */
  uint32_t percent_wanted;
  GBytes *checkpoint;
  uint64_t ticket;      /**< of the entry under way, 0 for none */
  usec_t due;           /**< of the next step */
  GSequenceIter *timer; /**< NULL: no step is due */
  /* In PHASE_DECIDED: */
  message_type_t decision; /**< MSG_ORDER_END or MSG_ORDER_REQUEUE */
  outcome_t outcome;
  uint64_t status;
  GBytes *result;
  requeue_reason_t reason;
} attempt_t;

typedef struct
{
  worker_call_kind_t kind;
  worker_t *worker;
  order_id_t order;
  uint64_t attempt;
  usec_t sent_at;
} call_t;

struct attempts
{
  attempts_config_t config;
  const attempts_ops_t *ops;
  void *ctx;
  const orders_t *orders;
  placement_t *placement;
  waiting_t *waiting;
  GHashTable *shards;   /**< number -> shard_t */
  GHashTable *workers;  /**< id -> worker_t */
  GHashTable *attempts; /**< order -> attempt_t */
  GHashTable *calls;    /**< id -> call_t */
  GHashTable *tickets;  /**< ticket -> order */
  GSequence *timers;    /**< attempt_t by due; not owned */
  uint64_t next_call;
  usec_t due;       /**< nothing is due before */
  usec_t place_due; /**< DUE_NEVER: nothing changed since the last pass */
  usec_t placed_at;
  bool round_open;  /**< the last pass did not reach all groups */
  bool place_again; /**< something changed since the round began */
  usec_t turn_due;
  usec_t turn_pause; /**< until then no more is_turn are asked */
  size_t turns_left; /**< orders to ask is_turn for in this round */
};

/** Has the attempt stepped at AT, DUE_NEVER for not before the next event. */
void attempts_set_timer (attempts_t *attempts, attempt_t *attempt, usec_t at);
/** Has the next tick run no later than AT. */
void attempts_wake (attempts_t *attempts, usec_t at);
/** Room or waiting orders changed: a pass follows. */
void attempts_place_soon (attempts_t *attempts, usec_t now);
/** Sends a call if this process may act.  @return its identifier, else 0 */
uint64_t attempts_send (attempts_t *attempts, usec_t now, worker_t *worker,
                        worker_call_t *call);
/** Tells the placement whether the worker takes new work. */
void attempts_worker_sync (attempts_t *attempts, usec_t now, worker_t *worker);
void attempts_drop (attempts_t *attempts, usec_t now, attempt_t *attempt);

/* attempt.c: one attempt. */
/** Does what is due. */
void attempt_step (attempts_t *attempts, usec_t now, attempt_t *attempt);
/** A call for the attempt ended. */
void attempt_replied (attempts_t *attempts, usec_t now, attempt_t *attempt,
                      const call_t *call, const worker_reply_t *reply);
/** The worker reported the attempt in an answer to a call sent at SENT_AT. */
void attempt_report (attempts_t *attempts, usec_t now, attempt_t *attempt,
                     const attempt_report_t *report, usec_t sent_at);
void attempt_end (usec_t now, attempt_t *attempt, outcome_t outcome,
                  uint64_t status, blob_t result);
/** Gives the reserved room back. */
void attempt_unreserve (attempts_t *attempts, usec_t now, attempt_t *attempt,
                        bool ok, usec_t run_time);

#endif

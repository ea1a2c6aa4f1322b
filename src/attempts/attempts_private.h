/** @file
 * Declarations shared by attempts.c and attempt.c.
 */
#ifndef ATTEMPTS_ATTEMPTS_PRIVATE_H
#define ATTEMPTS_ATTEMPTS_PRIVATE_H

#include "attempts/attempts.h"
#include "attempts/waiting.h"

/* MUTATED (NAME) is 1 in a build with -DATTEMPTS_MUTATE_NAME, else 0.  Each
   such build disables one mechanism for mutation testing: the tests must then
   fail. */
#define MUTATED(name) MUTATED_1 (ATTEMPTS_MUTATE_##name)
#define MUTATED_1(value) MUTATED_2 (value)
#define MUTATED_2(value) MUTATED_3 (MUTATED_SET_##value)
#define MUTATED_3(set) MUTATED_4 (set 1, 0, 0)
#define MUTATED_4(first, second, ...) second
#define MUTATED_SET_1 0,

/* A time that is never reached: no timer is set. */
#define DUE_NEVER INT64_MAX

typedef struct
{
  uint32_t number;
  bool owned;
  bool quiesced; /**< a handover is in progress */
  uint64_t epoch;
  usec_t gained_at;
} shard_t;

typedef struct
{
  char *id;
  worker_info_t info;
  shard_t *shard;
  bool removed;       /**< not in the list of VMs any more */
  bool list_answered; /**< answered a list call since the shard was gained and
                           since a start last failed with REPLY_NOT_SENT */
  bool has_orphans;   /**< runs attempts that the log has superseded */
  bool in_placement;  /**< was added to the placement */
  bool accepting;     /**< takes new work, as last told to the placement */
  usec_t answered_at; /**< send time of the newest answered list call, at first
                           the time at which the shard was gained */
  usec_t list_due;    /**< time of the next list call */
  uint64_t pending_list_call; /**< id of the list call in flight, 0: none */
  GPtrArray *attempts;        /**< attempt_t, not owned */
} worker_t;

typedef enum
{
  PHASE_PROPOSED,      /**< ORDER_START not yet read back from the log */
  PHASE_STARTING,      /**< ORDER_START is valid; the start call is due or in
                            flight, or its reply was lost */
  PHASE_RUNNING,       /**< runs on the worker; may be unconfirmed after a
                            change of owner */
  PHASE_CHECKPOINTING, /**< first step of an eviction */
  PHASE_STOPPING,      /**< last step of an eviction, or cancelled */
  PHASE_DECIDED,       /**< ORDER_END or ORDER_REQUEUE not yet read back */
  PHASE_COUNT
} phase_t;

typedef struct
{
  order_id_t order;
  uint64_t number;
  worker_t *worker; /**< NULL: only carries the ORDER_END of a waiting order */
  phase_t phase;
  bool reserved;     /**< holds a reservation in the placement */
  bool start_sent;   /**< the start call was sent */
  bool evicting;     /**< an eviction was requested or is in progress */
  bool missing;      /**< the worker does not report the attempt, or the reply
                          to the start was lost */
  usec_t started_at; /**< when the worker confirmed the start, or when the
                          attempt was adopted */
  usec_t lease_from; /**< latest time at which a start or renewal may have
                          reached the worker */
  usec_t last_seen_at; /**< send time of the newest call whose answer showed
                            that the attempt runs */
  usec_t expect_listed_from; /**< the answer to a list call sent at or after
                                  this time must include the attempt */
  usec_t retry_at; /**< earliest time of the next call or append, except for
                        renewals */
  usec_t renew_at;
  uint64_t pending_call;     /**< id of the call in flight other than a
                                  renewal, 0: none */
  uint64_t pending_renewal;  /**< id of the renewal in flight, 0: none */
  uint64_t last_list_call;   /**< newest list call that reported the attempt */
  uint32_t checkpoint_tries; /**< failed checkpoint calls of this eviction */
  uint32_t speed_percent;    /**< speed confirmed by the worker */
  uint32_t target_speed_percent;
  GBytes *checkpoint;
  uint64_t ticket;      /**< of the entry being appended, 0: none */
  usec_t due;           /**< time of the next step, DUE_NEVER: none */
  GSequenceIter *timer; /**< position in attempts_t.timers, NULL: none */
  /* In PHASE_DECIDED: */
  message_type_t decision; /**< MSG_ORDER_END or MSG_ORDER_REQUEUE */
  outcome_t outcome;
  uint64_t status;
  GBytes *result;
  requeue_reason_t requeue_reason;
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
  GHashTable *tickets;  /**< ticket of an entry being appended -> order */
  GSequence *timers;    /**< attempt_t sorted by due; not owned */
  uint64_t next_call;
  usec_t due;      /**< time of the next tick that has work to do */
  usec_t pass_due; /**< time of the next pass over the waiting orders,
                        DUE_NEVER: nothing changed since the last one */
  usec_t last_pass_at;
  bool round_incomplete;    /**< the last pass did not reach all groups */
  bool needs_another_round; /**< free room or waiting orders changed since the
                                 round began */
  usec_t turn_checks_due;   /**< start of the next round of is_turn checks */
  usec_t turn_checks_resume_at; /**< start of the next batch of the round */
  size_t turn_checks_left;      /**< orders still to check in this round */
};

/** Schedules attempt_step for the attempt at AT; DUE_NEVER removes the timer.
 */
void attempts_set_timer (attempts_t *attempts, attempt_t *attempt, usec_t at);
/** Makes the next tick run no later than AT. */
void attempts_wake (attempts_t *attempts, usec_t at);
/** Schedules a pass over the waiting orders after a change of free room or of
    the waiting orders. */
void attempts_request_pass (attempts_t *attempts, usec_t now);
/** Sends a call if this process may act on the worker's shard.
    @return identifier of the call, 0 if it was not sent */
uint64_t attempts_send (attempts_t *attempts, usec_t now, worker_t *worker,
                        worker_call_t *call);
/** Tells the placement whether the worker takes new work. */
void attempts_worker_sync (attempts_t *attempts, usec_t now, worker_t *worker);
/** Releases an attempt and its reservation; appends nothing. */
void attempts_drop (attempts_t *attempts, usec_t now, attempt_t *attempt);

/* Defined in attempt.c. */
/** Carries out the due steps of the attempt's phase and sets its timer. */
void attempt_step (attempts_t *attempts, usec_t now, attempt_t *attempt);
/** Handles the reply to a call for the attempt. */
void attempt_replied (attempts_t *attempts, usec_t now, attempt_t *attempt,
                      const call_t *call, const worker_reply_t *reply);
/** Handles a report about the attempt in the answer to a call sent at
    SENT_AT. */
void attempt_report (attempts_t *attempts, usec_t now, attempt_t *attempt,
                     const attempt_report_t *report, usec_t sent_at);
/** Decides the final outcome of the order; ORDER_END is appended next. */
void attempt_end (usec_t now, attempt_t *attempt, outcome_t outcome,
                  uint64_t status, blob_t result);
/** Releases the attempt's reservation in the placement.
    @param ok false if the attempt failed, was lost or could not be started,
    which counts against the worker
    @param run_time 0 if the attempt did not run to its end */
void attempt_unreserve (attempts_t *attempts, usec_t now, attempt_t *attempt,
                        bool ok, usec_t run_time);

#endif

/** @file
 * Simulated environment of a shard: store, workers, callers and faults between
 * them, driven by a simulated clock.
 *
 * All random choices derive from one seed.  The simulation checks every start
 * at a worker: no task has two runs at a time (with SPECULATIVE, three), and
 * none is started after its
 * end was acknowledged, before the steps that it depends on are done, after
 * its attempts are used up, after the cancellation of its job was confirmed,
 * in an evacuated availability zone, or beyond the capacity of its worker,
 * where a smaller one counts 4.5 s after it has shrunk.  A job that was
 * canceled while it was unknown has no start at all, and one that was accepted
 * stays known.  Once the faults are over, no task whose turn has come is
 * without a run for longer than 3 s while there is capacity for it twice over
 * and less than half of all capacity is in use.
 */
#ifndef SUPPORT_SHARD_WORLD_H
#define SUPPORT_SHARD_WORLD_H

#include "shard/shard.h"

typedef struct shard_world shard_world_t;

typedef struct
{
  uint32_t seed;
  uint32_t workers;
  uint32_t jobs;                  /**< submitted at a constant rate over 8 s */
  double lost_reply_share;        /**< share of calls whose reply is lost */
  double delayed_call_share;      /**< share of calls executed 2 to 9 s late,
                                     without a reply */
  double lost_append_reply_share; /**< share of appends whose reply is lost */
  double lost_start_share;        /**< share of starts that never arrive at
                                     their worker */
  double failed_run_share;        /**< share of runs that fail */
  double canceled_job_share;      /**< share of jobs that are canceled */
  usec_t takeover_interval;       /**< between changes of owner, 0 for none */
  bool keep_former_owner;         /**< former owners run on after a takeover */
  usec_t worker_crash_interval; /**< between crashes of workers, 0 for none */
  usec_t unhealthy_interval; /**< between times of up to 3 s in which a worker
                                rejects all starts, 0 for none */
  usec_t store_outage_interval; /**< between outages of 4 s of the store, 0 for
                                   none */
  usec_t evacuation_interval;   /**< between evacuations of an availability
                                   zone, 0 for none */
  usec_t resize_interval;       /**< between changes of the capacity of a
                                   worker, 0 for none; then a crashed worker
                                   is back with another one */
  usec_t worker_cut_interval;   /**< between cuts of a worker from all owners
                                   for 4 to 5.7 s, 0 for none; with
                                   RESIZE_INTERVAL it is resized as well */
  usec_t lease;            /**< longest lease that workers grant, 0: 6 s */
  bool recuts;             /**< a crashed worker is back 0.6 s later, gets what
                              was sent to it meanwhile, and is cut off up to
                              4 s after that, for up to 14 s */
  bool long_cuts;          /**< cuts last up to 14 s, longer than leases; some
                              refuse connections, some let calls pass and lose
                              the replies, some cut off one owner only */
  double reset_call_share; /**< share of calls whose connection is reset, half
                              of them after the call was executed */
  usec_t list_outage_interval; /**< between outages of 7 s of the list of
                                  workers, 0 for none */
  usec_t unlist_interval;      /**< between removals of the entry of a worker
                                  that goes on; it is back up to 2 s later.
                                  Half of the entries are also missing after
                                  an outage of the store, and former owners
                                  go on reading the list.  0 for none */
  usec_t departure_interval;   /**< between announcements that a worker leaves:
                                  it ends 1 to 6.5 s later, its entry goes up to
                                  1.5 s earlier or later, and another one, or
                                  another incarnation, takes its place.  Tasks
                                  without a run are looked for from 18.6 s after
                                  the faults on, when all leases have expired.
                                  0 for none */
  usec_t mislead_interval; /**< between times of up to 4 s in which the entry
                              of a worker has another one's address, where
                              calls to it are rejected and do nothing; with
                              DEPARTURE_INTERVAL half of the new workers have
                              the address of the former one.  0 for none */
  /** Between times of 1 to 8 s in which the process of an owner does nothing
      and then goes on with what was queued for it; every other time the shard
      gets another owner at the same moment, and every fourth new owner is
      frozen at once.  0 for none.  */
  usec_t freeze_interval;
  /** Share of replies that take nearly as long as their call may, so that they
      arrive in another order.  */
  double slow_reply_share;
  /** Of the owners, which the store then does not confirm during its outages.
      0: 12 s, and it does.  */
  usec_t stale_limit;
  /** With each takeover the network splits for 10 to 14 s: a worker is reached
      by one of the owners, the store by the new one.  */
  bool splits;
  bool best_effort;    /**< every other step is best effort */
  bool speculative;    /**< all steps may get copies, and a third of the
                          workers are 6.5 times as slow as the others: a task
                          may have two runs at a time, and one may be started
                          up to 1 s after its end was acknowledged */
  bool check_capacity; /**< workers reject starts beyond their capacity */
  bool gangs;          /**< a third of the steps are gangs */
  bool lasting;        /**< the tasks of all jobs are long-running, and each
                          job is canceled */
  /** Share of jobs that their callers cancel at about the time at which their
      submission arrives, mostly before it.  Copies of the submission are under
      way for up to 12 s: each is offered to an owner or appended by a front.
      In the end the caller submits the job again until it is accepted.  Owners
      then read these submissions from a log, with a delay, and new owners need
      up to 0.4 s to load their shard.  */
  double early_cancel_share;
  usec_t discard_interval; /**< between times at which the store discards the
                              history of its log, 0 for none */
  usec_t move_interval; /**< between moves of the queue to the other one of two
                           services, each with half of the workers.  Those of
                           the former service end 1 s later, and others take
                           their place once the queue is moved back.  Owners
                           learn of a move up to 0.4 s late.  After the faults
                           the queue is dropped, and then the shard gets
                           another owner.  0 for none */
  /** How long owners keep ended jobs, 0: for good.  Jobs that are canceled
      early are canceled again within this time, and last submitted after it.
      Then all jobs must be canceled early.  */
  usec_t keep_ended;
} world_config_t;

shard_world_t *world_new (const world_config_t *config);
void world_free (shard_world_t *world);

/** Runs the simulation until UNTIL, with faults until FAULTS_UNTIL, and checks
    that all jobs have ended.
    @return number of violations; the first ones are printed */
uint32_t world_run (shard_world_t *world, usec_t faults_until, usec_t until);

/** @return number of jobs that were canceled while no submission of them was
    known, and of which a submission arrived later */
uint32_t world_count_late (const shard_world_t *world);

/** @return number of jobs that are completed, failed or canceled */
uint32_t world_count_ended (const shard_world_t *world);
/** @return number of jobs that are completed */
uint32_t world_count_completed (const shard_world_t *world);

#endif

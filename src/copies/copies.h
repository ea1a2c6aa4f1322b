/** @file
 * When to start a copy of a late run: the durations of the finished runs of
 * each step, and the limits on copies.  Does no I/O and reads no clock.
 */
#ifndef COPIES_COPIES_H
#define COPIES_COPIES_H

#include "jobs/jobs.h"

typedef struct copies copies_t;

/** A step of an occurrence of a job. */
typedef struct
{
  job_id_t job;
  uint32_t occurrence;
  uint32_t step;
} copies_step_t;

/** What is known of a run that may get a copy. */
typedef struct
{
  int64_t ran_ms;
  uint32_t expected_ms;      /**< 0: unknown */
  uint32_t failures;         /**< failed runs of its task */
  uint32_t max_attempts;     /**< failed runs at which the job fails */
  uint64_t copy_millicores;  /**< of all copies that run */
  uint64_t used_millicores;  /**< of all runs */
  int64_t ms_since_takeover; /**< of the shard */
  uint32_t waiting_tasks;    /**< tasks without a run in the shard */
  uint32_t budget_percent;   /**< of used_millicores, for all copies */
} copies_case_t;

copies_t *copies_new (void);
void copies_free (copies_t *copies);

/** Notes that a run has ended as done. */
void copies_note_done (copies_t *copies, const copies_step_t *step,
                       uint32_t ran_ms);

/** @param declared_ms the step's estimate, 0 for none
    @return the median duration of the step's runs that are done, DECLARED_MS
    if there are too few */
uint32_t copies_expected_ms (const copies_t *copies, const copies_step_t *step,
                             uint32_t declared_ms);

/** @return whether the run is late and the limits allow a copy */
bool copies_allow (const copies_case_t *c);

/** The step is done. */
void copies_forget_step (copies_t *copies, const copies_step_t *step);
/** The job has ended. */
void copies_forget_job (copies_t *copies, job_id_t job);
void copies_clear (copies_t *copies);

#endif

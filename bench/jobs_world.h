/** @file
 * Jobs for the comparison of orders: what callers submit, how long it really
 * takes, and what its end is worth to them.
 */
#ifndef BENCH_JOBS_WORLD_H
#define BENCH_JOBS_WORLD_H

#include "jobs/jobs.h"

/** A job with what only the world knows of it. */
typedef struct
{
  submission_t *order;
  usec_t at;      /**< submitted */
  usec_t **work;  /**< per step and task: its real run time */
  usec_t chain;   /**< longest chain of real run times */
  double worth;   /**< of an end within the objective */
  double density; /**< WORTH for each core-second of real work */
  usec_t ended;   /**< 0: not ended */
  uint32_t tasks; /**< in all steps */
} world_job_t;

typedef struct
{
  uint32_t workers;
  uint32_t millicores; /**< of each worker */
  usec_t span;         /**< of arrivals */
  double load;         /**< demanded share of all cores */
  uint32_t seed;
} world_config_t;

typedef struct
{
  world_config_t config;
  GPtrArray *jobs; /**< world_job_t in order of arrival; the identifier of the
                        first is 1 */
} jobs_world_t;

/** What callers got. */
typedef struct
{
  double earned;        /**< share of what was owed */
  double largest_tenth; /**< the same of the largest tenth of the jobs */
  double worst_window;  /**< the same of the worst five seconds */
} world_result_t;

jobs_world_t *jobs_world_new (const world_config_t *config);
void jobs_world_free (jobs_world_t *world);

/** Forgets the ends, for the next order. */
void jobs_world_reset (jobs_world_t *world);
world_result_t jobs_world_result (const jobs_world_t *world);

/** Runs the jobs under the product's own decisions, with the lag of its store
    and of its calls. */
void jobs_run_product (jobs_world_t *world);

/** A waiting step, as a simple order sees it. */
typedef struct
{
  const world_job_t *job;
  uint32_t step;
  usec_t declared_left; /**< declared chain of the steps that are not done */
  usec_t real_left;     /**< the same with real run times */
  bool begun;
  usec_t now;
} world_step_t;

typedef int (*world_order_t) (const world_step_t *a, const world_step_t *b);

/** Runs the jobs in a fixed order with first fit and without lag. */
void jobs_run_order (jobs_world_t *world, world_order_t order);

#endif

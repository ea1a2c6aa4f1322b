/** @file
 * Run times of a class of work as measured: mean and quantiles.
 */
#ifndef ROUTING_RUN_TIMES_H
#define ROUTING_RUN_TIMES_H

#include "base/types.h"

/* Four buckets an octave from 128 us up to 8 s. */
#define RUN_TIME_BUCKETS 64U

typedef struct
{
  uint32_t counts[RUN_TIME_BUCKETS];
  uint32_t total;   /**< sum of the counts, halved from time to time */
  uint32_t fresh;   /**< run times since the quantiles were computed */
  uint64_t samples; /**< run times ever added */
  usec_t mean;      /**< exponentially weighted */
  usec_t median;
  usec_t high; /**< 98th percentile */
} run_times_t;

/** Adds one run time; old ones count less and less. */
void run_times_add (run_times_t *times, usec_t run_time);

/** @return whether there are enough run times to rely on the figures */
bool run_times_known (const run_times_t *times);

#endif

/** @file
 * Measured run times: mean and quantiles.
 */
#ifndef ROUTING_RUN_TIMES_H
#define ROUTING_RUN_TIMES_H

#include "base/types.h"

/* Four buckets per factor of two, from 128 us to 8 s. */
#define RUN_TIME_BUCKETS 64U

typedef struct
{
  uint32_t counts[RUN_TIME_BUCKETS];
  uint32_t total;        /**< sum of counts; all are halved periodically */
  uint32_t since_update; /**< run times since the quantiles were computed */
  uint64_t samples;      /**< number of run times added so far */
  usec_t mean;           /**< exponentially weighted */
  usec_t median;
  usec_t p98; /**< 98th percentile */
} run_times_t;

/** Adds one run time.  Older ones lose weight with each addition. */
void run_times_add (run_times_t *times, usec_t run_time);

/** @return whether there are enough run times for the mean and quantiles */
bool run_times_known (const run_times_t *times);

#endif

/** @file
 * Measured run times: mean and quantiles.
 */
#include "routing/run_times.h"

#include <glib.h>

#define LOWEST_BUCKET_BIT 7U /* 128 us */
#define MIN_SAMPLES 8U       /* before the statistics are used */
#define QUANTILE_UPDATE_SAMPLES 64U
/* Bucket counts are halved at this total, so that the quantiles adapt to a
   change within as many run times. */
#define HALVE_AT_TOTAL 4096U
#define MEAN_SHIFT 5 /* a new run time has weight 1/32 */
#define MEDIAN_PERMILLE 500U
#define P98_PERMILLE 980U

static uint32_t bucket_of (usec_t run_time);
static usec_t upper_bound (uint32_t bucket);
static usec_t quantile (const run_times_t *times, uint32_t permille);

void
run_times_add (run_times_t *times, usec_t run_time)
{
  run_time = MAX (run_time, 0);
  if (!times->samples++)
    times->mean = run_time;
  times->mean += (run_time - times->mean) >> MEAN_SHIFT;
  times->counts[bucket_of (run_time)]++;
  if (++times->total >= HALVE_AT_TOTAL)
    {
      times->total = 0;
      for (uint32_t i = 0; i < RUN_TIME_BUCKETS; i++)
        times->total += times->counts[i] /= 2;
    }
  if (++times->since_update < QUANTILE_UPDATE_SAMPLES
      && times->samples >= QUANTILE_UPDATE_SAMPLES)
    return;
  times->since_update = 0;
  times->median = quantile (times, MEDIAN_PERMILLE);
  times->p98 = quantile (times, P98_PERMILLE);
}

bool
run_times_known (const run_times_t *times)
{
  return times->samples >= MIN_SAMPLES;
}

static uint32_t
bucket_of (usec_t run_time)
{
  uint32_t bit;

  if (run_time < 1 << LOWEST_BUCKET_BIT)
    return 0;
  bit = 63U - (uint32_t)__builtin_clzll ((unsigned long long)run_time);
  return MIN ((bit - LOWEST_BUCKET_BIT) * 4
                  + (uint32_t)((run_time >> (bit - 2)) & 3),
              RUN_TIME_BUCKETS - 1);
}

static usec_t
upper_bound (uint32_t bucket)
{
  usec_t base = 1LL << (bucket / 4 + LOWEST_BUCKET_BIT);

  return base + base * (usec_t)(bucket % 4 + 1) / 4;
}

static usec_t
quantile (const run_times_t *times, uint32_t permille)
{
  uint64_t wanted = (uint64_t)times->total * permille / 1000;
  uint64_t seen = 0;
  uint32_t bucket = 0;

  while (bucket < RUN_TIME_BUCKETS - 1
         && seen + times->counts[bucket] <= wanted)
    seen += times->counts[bucket++];
  return upper_bound (bucket);
}

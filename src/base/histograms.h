/** @file
 * Latency histograms of the process, listed in one table.
 */
#ifndef BASE_HISTOGRAMS_H
#define BASE_HISTOGRAMS_H

#include "base/types.h"

#include <glib.h>

/* X (identifier, name, meaning) */
#define HISTOGRAM_TABLE(X)                                                    \
  X (SUBMIT, "submit_seconds",                                                \
     "from a submission's arrival to its acceptance")                         \
  X (FIRST_START, "first_start_seconds",                                      \
     "from a job's acceptance to the first run that a worker has taken")      \
  X (JOB, "job_seconds", "from a job's acceptance to its end")                \
  X (START_CALL, "start_call_seconds",                                        \
     "from a start of a run to its worker's answer")                          \
  X (APPEND, "append_seconds",                                                \
     "from an append of a shard's records to the store's answer")

typedef enum
{
#define HISTOGRAM_ENUM(id, name, meaning) HISTOGRAM_##id,
  HISTOGRAM_TABLE (HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
      HISTOGRAM_COUNT
} histogram_t;

/** Records a latency; a negative latency is recorded as 0. */
void histogram_add (histogram_t histogram, usec_t latency);

/** @return number of latencies recorded */
uint64_t histogram_count (histogram_t histogram);

/** Appends all histograms in the Prometheus text format. */
void histograms_text (GString *out);

#endif

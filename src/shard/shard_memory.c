/** @file
 * Estimate of the memory of a shard's jobs, and the bound on it.
 *
 * The estimate follows the allocations of a job: it is updated where its
 * details are registered, change or are freed.  Only jobs that are not known
 * are refused, so that a shard that was loaded may exceed the bound.
 */
#include "shard/shard_private.h"

/* Of a job besides its entry, submission and occurrences: its identifier as
   the key, two slots of the hash table, which is up to twice as large as its
   contents, its place in the list of open jobs and in the list of changes, and
   the array of its occurrences, which starts with 16 pointers. */
#define JOB_OVERHEAD_BYTES (32U + 2 * 20U + 32U + 16U + 64U + 144U)

static uint64_t entry_bytes (void);
static uint64_t record_bytes (uint64_t len);
static bool fits (const shard_t *shard, uint64_t added);

static uint64_t
entry_bytes (void)
{
  return heap_bytes (sizeof (job_entry_t)) + heap_bytes (sizeof (job_t))
         + JOB_OVERHEAD_BYTES;
}

/* @return bytes of a record that is kept until it is stored */
static uint64_t
record_bytes (uint64_t len)
{
  return heap_bytes (len) + heap_bytes (5 * sizeof (void *));
}

static bool
fits (const shard_t *shard, uint64_t added)
{
  return !shard->config.job_bytes
         || (added <= shard->config.job_bytes
             && shard->job_bytes <= shard->config.job_bytes - added);
}

void
memory_update (shard_t *shard, job_entry_t *entry)
{
  const submission_t *submission = entry->job ? entry->job->submission : NULL;
  uint64_t bytes = entry_bytes ();

  if (submission)
    {
      if (!entry->submission_bytes)
        {
          entry->submission_bytes = submission_heap_bytes (submission);
          entry->occurrence_bytes = occurrence_heap_bytes (submission);
        }
      bytes
          += entry->submission_bytes
             + MAX (entry->job->occurrences->len, 1) * entry->occurrence_bytes;
    }
  if (entry->unstored_submission)
    bytes += record_bytes (g_bytes_get_size (entry->unstored_submission));
  shard->job_bytes += bytes - entry->counted_bytes;
  entry->counted_bytes = bytes;
}

void
memory_remove (shard_t *shard, job_entry_t *entry)
{
  shard->job_bytes -= entry->counted_bytes;
  entry->counted_bytes = 0;
}

void
memory_clear (shard_t *shard)
{
  shard->job_bytes = 0;
}

bool
memory_admits_record (const shard_t *shard, uint32_t record_len)
{
  return fits (shard, entry_bytes () + record_bytes (record_len));
}

bool
memory_admits (const shard_t *shard, const submission_t *submission,
               uint32_t record_len)
{
  return fits (shard, entry_bytes () + record_bytes (record_len)
                          + submission_heap_bytes (submission)
                          + occurrence_heap_bytes (submission));
}

bool
memory_admits_occurrence (const shard_t *shard, const job_entry_t *entry)
{
  return !entry->job->occurrences->len
         || fits (shard, entry->occurrence_bytes);
}

uint64_t
shard_job_bytes (const shard_t *shard)
{
  return shard->job_bytes;
}

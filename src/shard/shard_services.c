/** @file
 * Services that run the jobs of a shard.
 *
 * A job has the service that the newest configuration known to an owner names
 * for its queue.  It is stored with the job's progress, since a later
 * configuration may not have the queue any more.
 */
#include "shard/shard_private.h"

void
services_follow (shard_t *shard, job_entry_t *entry)
{
  job_t *job = entry->job;
  uint64_t version = 0;
  const char *service = shard->ops->service_of_queue (
      shard->ctx, job->submission->queue, &version);

  if (!service || !job_set_service (job, service, version))
    return;
  log_item (LOG_LEVEL_INFO, job->id, "job.moved", NULL,
            "job=%s queue=%s service=%s version=%" PRIu64 " placed=%u",
            JOB_ID_TEXT (job->id), job->submission->queue, service, version,
            job->placed);
  entry->submission_bytes = 0;
  memory_update (shard, entry);
  shard_mark_dirty (shard, entry);
}

void
shard_queues_changed (shard_t *shard)
{
  if (!shard_is_active (shard))
    return;
  for (GList *l = shard->open_jobs->head; l; l = l->next)
    {
      const job_t *job = l->data;

      services_follow (shard, shard_entry (shard, job->id));
    }
  shard->placement_needed = true;
}

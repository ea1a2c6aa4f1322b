/** @file
 * Ownership, jobs and queries of a shard.
 */
#include "shard/shard_private.h"

#define LOAD_LOG_INTERVAL (USEC_PER_SEC)
#define FORGET_INTERVAL (5 * USEC_PER_SEC)
/* Interval of placement passes while tasks wait: there is no event when the
   load of a worker falls or its pause ends. */
#define PLACE_INTERVAL (100 * USEC_PER_MSEC)
/* Jobs that are canceled, but not submitted, are kept for the sake of callers
   whose submissions are under way; anybody may ask for more. */
#define UNSUBMITTED_JOBS_MAX 10000U
/* A cancellation of an ended job is acknowledged at once during the first half
   of keep_ended, so that most of them do not wait for the store. */
#define RENEW_AFTER_DIVISOR 2
/* Shortest interval between passes that create due occurrences. */
#define OCCURRENCE_INTERVAL (20 * USEC_PER_MSEC)

static void entry_free (void *data);
static void clear_jobs (shard_t *shard);
static void clear_workers (shard_t *shard);
static void load_submission (shard_t *shard, usec_t now, job_entry_t *entry,
                             job_id_t job, blob_t value);
static void load_progress (job_entry_t *entry, blob_t value);
static job_entry_t *entry_of_caller (const shard_t *shard, job_id_t job);
static job_entry_t *new_entry (shard_t *shard, job_id_t job);
static void register_job (shard_t *shard, usec_t now, job_entry_t *entry);
static job_end_t apply_progress (job_entry_t *entry);
static int refuse_job (const shard_t *shard, job_id_t job,
                       uint32_t record_len);
static void job_submitted (shard_t *shard, job_entry_t *entry);
static void add_open_job (shard_t *shard, job_entry_t *entry);
static bool renew_end (shard_t *shard, job_entry_t *entry);
static void forget_ended_jobs (shard_t *shard, usec_t now);
static usec_t create_due_occurrences (shard_t *shard, usec_t now);
static bool create_occurrences (shard_t *shard, job_t *job, int64_t wall);
static void log_load (shard_t *shard, usec_t now);

shard_t *
shard_new (const shard_config_t *config, const shard_ops_t *ops, void *ctx,
           uint32_t number)
{
  shard_t *shard = g_new0 (shard_t, 1);

  shard->config = *config;
  shard->ops = ops;
  shard->ctx = ctx;
  shard->number = number;
  shard->jobs
      = g_hash_table_new_full (job_id_hash, job_id_equal, g_free, entry_free);
  shard->open_jobs = g_queue_new ();
  shard->dirty_entries = g_ptr_array_new ();
  shard->workers_by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  shard->workers = table_new (sizeof (worker_t));
  shard->runs = table_new (sizeof (run_t));
  shard->pending_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  shard->copies = copies_new ();
  shard->interference = interference_new ();
  shard->unplaceable = g_array_new (FALSE, FALSE, sizeof (unplaceable_t));
  shard->reserves = reserves_new ();
  shard->fitting = g_array_new (FALSE, FALSE, sizeof (fitting_t));
  shard->batch_blobs
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  shard->batch_records = g_array_new (FALSE, FALSE, sizeof (shard_record_t));
  shard->batch_runs = g_array_new (FALSE, FALSE, sizeof (handle_t));
  shard->batch_end_acks = g_array_new (FALSE, FALSE, sizeof (end_ack_t));
  shard->batch_ends = g_array_new (FALSE, FALSE, sizeof (stored_end_t));
  shard->batch_submits = g_array_new (FALSE, FALSE, sizeof (job_id_t));
  shard->batch_drops = g_ptr_array_new ();
  shard->loaded_stray
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  shard->loaded_lapsing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return shard;
}

void
shard_free (shard_t *shard)
{
  if (!shard)
    return;
  clear_workers (shard);
  clear_jobs (shard);
  g_hash_table_destroy (shard->jobs);
  copies_free (shard->copies);
  interference_free (shard->interference);
  g_array_free (shard->unplaceable, TRUE);
  g_array_free (shard->fitting, TRUE);
  g_array_free (shard->reserves, TRUE);
  g_queue_free (shard->open_jobs);
  g_ptr_array_free (shard->dirty_entries, TRUE);
  g_hash_table_destroy (shard->workers_by_id);
  table_free (shard->workers);
  table_free (shard->runs);
  g_hash_table_destroy (shard->pending_calls);
  g_ptr_array_free (shard->batch_blobs, TRUE);
  g_array_free (shard->batch_records, TRUE);
  g_array_free (shard->batch_runs, TRUE);
  g_array_free (shard->batch_end_acks, TRUE);
  g_array_free (shard->batch_ends, TRUE);
  g_array_free (shard->batch_submits, TRUE);
  g_ptr_array_free (shard->batch_drops, TRUE);
  g_hash_table_destroy (shard->loaded_stray);
  g_hash_table_destroy (shard->loaded_lapsing);
  g_free (shard);
}

static void
entry_free (void *data)
{
  job_entry_t *entry = data;

  if (entry->job)
    job_free (entry->job);
  if (entry->early_progress)
    g_bytes_unref (entry->early_progress);
  if (entry->unstored_submission)
    g_bytes_unref (entry->unstored_submission);
  g_free (entry);
}

static void
clear_jobs (shard_t *shard)
{
  g_queue_clear (shard->open_jobs);
  g_ptr_array_set_size (shard->dirty_entries, 0);
  shard_reset_batch (shard);
  g_hash_table_remove_all (shard->jobs);
  copies_clear (shard->copies);
  memory_clear (shard);
  shard->unsubmitted_jobs = 0;
}

static void
clear_workers (shard_t *shard)
{
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    worker_free (table_get (shard->workers, h));
  table_free (shard->workers);
  table_free (shard->runs);
  shard->workers = table_new (sizeof (worker_t));
  shard->runs = table_new (sizeof (run_t));
  shard->speculative_runs = 0;
  reserves_clear (shard);
  g_hash_table_remove_all (shard->workers_by_id);
  g_hash_table_remove_all (shard->pending_calls);
}

void
shard_acquire (shard_t *shard, usec_t now, uint64_t token)
{
  shard_release (shard);
  shard->owned = true;
  shard->quiesced = false;
  shard->token = token;
  shard->owned_since = now;
  shard->confirmed_at = now;
  /* Without a record a former owner may have extended leases until its
     stale_limit was over. */
  shard->former_leases_expired_at
      = now + shard->config.stale_limit + worker_max_lease_duration (shard);
  shard->loaded_lease_bound = 0;
  g_hash_table_remove_all (shard->loaded_stray);
  shard->stray_encoded_at = 0;
  shard->has_predecessor = false;
  shard->lease_bound_stored = false;
  shard->sequence = 0;
  log_line (LOG_LEVEL_NOTICE, "shard.begin", NULL,
            "shard=%u token=%" PRIu64 " loading records", shard->number,
            token);
}

void
shard_release (shard_t *shard)
{
  if (!shard->owned)
    return;
  log_line (LOG_LEVEL_NOTICE, "shard.end", NULL,
            "shard=%u token=%" PRIu64 " jobs=%u runs=%zu", shard->number,
            shard->token, g_hash_table_size (shard->jobs),
            table_count (shard->runs));
  shard->owned = false;
  shard->active = false;
  shard->worker_list_complete = false;
  shard->workers_known_at = 0;
  shard->append_in_flight = false;
  shard->append_retry = false;
  shard->lapsing_on_record = false;
  shard->lapsing_encoded_at = 0;
  g_hash_table_remove_all (shard->loaded_lapsing);
  clear_jobs (shard);
  clear_workers (shard);
}

void
shard_supersede (shard_t *shard, const char *why)
{
  if (!shard->owned)
    return;
  log_line (LOG_LEVEL_WARNING, "shard.superseded", NULL,
            "shard=%u token=%" PRIu64 " by=%s", shard->number, shard->token,
            why);
  shard->active = false;
  shard->ops->superseded (shard->ctx);
}

bool
shard_is_active (const shard_t *shard)
{
  return shard->owned && shard->active;
}

void
shard_quiesce (shard_t *shard)
{
  shard->quiesced = true;
}

bool
shard_is_idle (const shard_t *shard)
{
  if (shard->append_in_flight || shard->dirty_entries->len)
    return false;
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    if (run_get (shard, h)->start_in_flight)
      return false;
  return true;
}

void
shard_ownership_confirmed (shard_t *shard, usec_t now)
{
  shard->confirmed_at = now;
}

job_entry_t *
shard_entry (const shard_t *shard, job_id_t job)
{
  return g_hash_table_lookup (shard->jobs, &job);
}

/* @return the entry of the job that callers name, NULL for none.  A job stored
   by a build that does not keep the letters of identifiers is known under
   small ones; its caller may have written others. */
static job_entry_t *
entry_of_caller (const shard_t *shard, job_id_t job)
{
  job_entry_t *entry = shard_entry (shard, job);

  if (entry || !job_id_capitals (job))
    return entry;
  entry = shard_entry (shard, job_id_make (job_id_number (job), 0));
  return entry && entry->job && entry->job->letters_unknown ? entry : NULL;
}

void
shard_mark_dirty (shard_t *shard, job_entry_t *entry)
{
  if (entry->dirty)
    return;
  entry->dirty = true;
  g_ptr_array_add (shard->dirty_entries, entry);
}

void
shard_unmark_dirty (shard_t *shard, job_entry_t *entry)
{
  if (!entry->dirty)
    return;
  entry->dirty = false;
  g_ptr_array_remove (shard->dirty_entries, entry);
}

void
shard_apply_record (shard_t *shard, usec_t now, record_kind_t kind,
                    job_id_t job, blob_t value)
{
  job_entry_t *entry = shard_entry (shard, job);

  if (!shard->owned || !value.len)
    return;
  if (shard->active && kind != RECORD_SUBMISSION)
    return; /* written by this owner */
  shard->has_predecessor |= !shard->active;
  if (kind == RECORD_INTERFERENCE)
    {
      if (interference_decode (shard->interference, value))
        log_line (LOG_LEVEL_ERR, "learned.unreadable", NULL,
                  "shard=%u bytes=%u", shard->number, value.len);
      return;
    }
  if (kind == RECORD_LAPSING)
    {
      if (lapsing_load (shard, value))
        log_line (LOG_LEVEL_ERR, "lapsing.unreadable", NULL,
                  "shard=%u bytes=%u", shard->number, value.len);
      return;
    }
  if (kind == RECORD_LEASE_BOUND)
    {
      if (lease_bound_load (shard, value))
        log_line (LOG_LEVEL_ERR, "lease_bound.unreadable", NULL,
                  "shard=%u bytes=%u", shard->number, value.len);
      return;
    }
  if (!entry)
    entry = new_entry (shard, job);
  if (kind == RECORD_SUBMISSION)
    load_submission (shard, now, entry, job, value);
  else
    load_progress (entry, value);
  if (shard->active && entry->job && entry->job->submission)
    shard->placement_needed = true;
}

static job_entry_t *
new_entry (shard_t *shard, job_id_t job)
{
  job_entry_t *entry = g_new0 (job_entry_t, 1);

  g_hash_table_insert (shard->jobs, g_memdup2 (&job, sizeof job), entry);
  return entry;
}

int
shard_submit (shard_t *shard, usec_t now, job_id_t job, blob_t record)
{
  submission_t *order;
  job_entry_t *entry;
  int known;

  if (!shard_is_active (shard) || shard->quiesced)
    return -EAGAIN;
  known = shard_submission_state (shard, job);
  if (known != -ENOENT)
    return known;
  if (record.len > SHARD_VALUE_MAX_BYTES)
    return -EBADMSG;
  if (shard_check_room (shard, job, record.len))
    return -ENOSPC;
  order = submission_decode (record);
  if (!order || order->id != job)
    {
      submission_free (order);
      return -EBADMSG;
    }
  entry = shard_entry (shard, job);
  if (entry && entry->job)
    {
      submission_free (order);
      job_submitted (shard, entry);
      entry->unstored_submission = g_bytes_new (NULL, 0);
      memory_update (shard, entry);
      return -EINPROGRESS;
    }
  if (!memory_admits (shard, order, record.len))
    {
      submission_free (order);
      return refuse_job (shard, job, record.len);
    }
  if (!entry)
    entry = new_entry (shard, job);
  entry->job = job_new (order);
  entry->unstored_submission = g_bytes_new (record.data, record.len);
  memory_update (shard, entry);
  register_job (shard, now, entry);
  shard_mark_dirty (shard, entry);
  shard->placement_needed = true;
  return -EINPROGRESS;
}

int
shard_check_room (const shard_t *shard, job_id_t job, uint32_t record_len)
{
  const job_entry_t *entry = entry_of_caller (shard, job);

  if (!shard_is_active (shard) || (entry && entry->job)
      || memory_admits_record (shard, record_len))
    return 0;
  return refuse_job (shard, job, record_len);
}

/* @return -ENOSPC */
static int
refuse_job (const shard_t *shard, job_id_t job, uint32_t record_len)
{
  counter_add (COUNTER_JOBS_NO_MEMORY, 1);
  log_item (LOG_LEVEL_INFO, job, "job.full", NULL,
            "job=%s shard=%u bytes=%u job_bytes=%" PRIu64 "/%" PRIu64,
            JOB_ID_TEXT (job), shard->number, record_len, shard->job_bytes,
            shard->config.job_bytes);
  return -ENOSPC;
}

/* The submission of a canceled job has arrived: callers see that it has
   ended. */
static void
job_submitted (shard_t *shard, job_entry_t *entry)
{
  log_item (LOG_LEVEL_INFO, entry->job->id, "job.late", NULL,
            "job=%s canceled_ms_ago=%" PRId64 " its submission arrives",
            JOB_ID_TEXT (entry->job->id),
            shard->ops->wall_ms (shard->ctx) - entry->end_time_ms);
  entry->job->unsubmitted = false;
  shard->unsubmitted_jobs--;
  shard_mark_dirty (shard, entry);
}

int
shard_submission_state (const shard_t *shard, job_id_t job)
{
  const job_entry_t *entry = entry_of_caller (shard, job);

  if (!entry || !entry->job)
    return -ENOENT;
  if (entry->job->unsubmitted)
    return entry->stored_end == JOB_QUEUED ? -EINPROGRESS : -ENOENT;
  return entry->unstored_submission ? -EINPROGRESS : 0;
}

int
shard_withdraw (shard_t *shard, usec_t now, job_id_t id)
{
  job_entry_t *entry = entry_of_caller (shard, id);
  job_t *job = entry ? entry->job : NULL;

  if (!job)
    return -ENOENT;
  if (!entry->unstored_submission)
    return -EALREADY;
  if (job->end_status != JOB_QUEUED || shard_append_has_submission (shard, id))
    return -EBUSY;
  /* None of its runs was started: a start needs a stored record, and no
     append has contained this job. */
  run_stop_job (shard, now, job, "submission withdrawn");
  g_queue_remove (shard->open_jobs, job);
  g_ptr_array_remove (shard->dirty_entries, entry);
  memory_remove (shard, entry);
  id = job->id;
  g_hash_table_remove (shard->jobs, &id);
  return 0;
}

static void
load_submission (shard_t *shard, usec_t now, job_entry_t *entry, job_id_t job,
                 blob_t value)
{
  submission_t *order;

  if (entry->job)
    {
      /* A caller's process has stored the same submission, or it was stored
         again, since a call was repeated or its answer was lost.  If the job
         has ended, the record is deleted. */
      if (entry->unstored_submission)
        {
          g_bytes_unref (entry->unstored_submission);
          entry->unstored_submission = NULL;
          memory_update (shard, entry);
        }
      if (entry->job->unsubmitted)
        job_submitted (shard, entry);
      if (shard->active && !entry->job->submission)
        {
          entry->drop_submission = true;
          shard_mark_dirty (shard, entry);
        }
      return;
    }
  order = submission_decode (value);
  if (!order || order->id != job)
    {
      log_line (LOG_LEVEL_ERR, "job.unreadable", NULL, "job=%s bytes=%u",
                JOB_ID_TEXT (job), value.len);
      submission_free (order);
      return;
    }
  entry->job = job_new (order);
  memory_update (shard, entry);
  if (shard->active)
    register_job (shard, now, entry);
}

/* Opens a job that was submitted to the active owner. */
static void
register_job (shard_t *shard, usec_t now, job_entry_t *entry)
{
  const submission_t *order = entry->job->submission;

  add_open_job (shard, entry);
  shard->occurrences_due = now;
  counter_add (COUNTER_JOBS_KNOWN, 1);
  log_item (LOG_LEVEL_INFO, order->id, "job.known", NULL,
            "job=%s queue=%s steps=%u age_ms=%" PRId64 " stored=%d",
            JOB_ID_TEXT (order->id), order->queue, order->step_count,
            shard->ops->wall_ms (shard->ctx) - order->accepted_ms,
            !entry->unstored_submission);
}

static void
load_progress (job_entry_t *entry, blob_t value)
{
  if (entry->early_progress)
    g_bytes_unref (entry->early_progress);
  entry->early_progress = g_bytes_new (value.data, value.len);
}

/* Applies the progress record to a loaded job.  @return what it tells of the
   end */
static job_end_t
apply_progress (job_entry_t *entry)
{
  gsize len = 0;
  const char *data = entry->early_progress
                         ? g_bytes_get_data (entry->early_progress, &len)
                         : "";
  blob_t value = { data, (uint32_t)len };
  job_end_t end;

  job_decode_end (value, &end);
  if (entry->job && len && job_decode (entry->job, value))
    log_line (LOG_LEVEL_ERR, "job.unreadable", NULL,
              "job=%s progress of %zu bytes", JOB_ID_TEXT (entry->job->id),
              len);
  entry->stored_end = end.status;
  if (end.status != JOB_QUEUED)
    entry->end_time_ms = end.ended_ms;
  return end;
}

void
shard_loaded (shard_t *shard, usec_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer data;
  uint32_t open = 0;

  if (!shard->owned || shard->active)
    return;
  shard->active = true;
  g_hash_table_iter_init (&iter, shard->jobs);
  while (g_hash_table_iter_next (&iter, &key, &data))
    {
      job_entry_t *entry = data;
      job_end_t end = apply_progress (entry);

      if (!entry->job)
        {
          if (end.status == JOB_QUEUED)
            end.status = JOB_FAILED;
          end.ended_ms = entry->end_time_ms;
          entry->job = job_new_ended (*(job_id_t *)key, &end);
          shard->unsubmitted_jobs += end.unsubmitted;
        }
      if (entry->early_progress)
        g_bytes_unref (entry->early_progress);
      entry->early_progress = NULL;
      memory_update (shard, entry);
      if (!entry->job->submission)
        continue;
      add_open_job (shard, entry);
      run_adopt_job (shard, entry->job);
      if (entry->job->end_status != JOB_QUEUED)
        run_stop_job (shard, now, entry->job, "ended");
      else
        open++;
      shard_shrink_ended (shard, entry);
    }
  lease_bound_apply (shard);
  lapsing_apply (shard, now);
  shard->placement_needed = true;
  shard->occurrences_due = now;
  shard->forget_due = now + FORGET_INTERVAL;
  log_line (LOG_LEVEL_NOTICE, "shard.loaded", NULL,
            "shard=%u token=%" PRIu64
            " jobs=%u open=%u runs=%zu took_ms=%" PRId64
            " former_leases_ms=%" PRId64,
            shard->number, shard->token, g_hash_table_size (shard->jobs), open,
            table_count (shard->runs), usec_to_msec (now - shard->owned_since),
            usec_to_msec (MAX (shard->former_leases_expired_at - now, 0)));
}

static void
add_open_job (shard_t *shard, job_entry_t *entry)
{
  if (entry->job->end_status != JOB_QUEUED)
    return;
  g_queue_push_tail (shard->open_jobs, entry->job);
  services_follow (shard, entry);
}

void
shard_end_job (shard_t *shard, usec_t now, job_entry_t *entry,
               job_status_t end)
{
  job_t *job = entry->job;
  int64_t wall = shard->ops->wall_ms (shard->ctx);

  job_end (job, end, wall);
  copies_forget_job (shard->copies, job->id);
  g_queue_remove (shard->open_jobs, job);
  counter_add (COUNTER_JOBS_ENDED, 1);
  histogram_add (HISTOGRAM_JOB,
                 (wall - job->submission->accepted_ms) * USEC_PER_MSEC);
  log_item (LOG_LEVEL_INFO, job->id, "job.end", NULL,
            "job=%s queue=%s end=%s age_ms=%" PRId64, JOB_ID_TEXT (job->id),
            job->submission->queue, job_status_name (end),
            wall - job->submission->accepted_ms);
  shard_mark_dirty (shard, entry);
  /* The submission record is deleted once the last run of the job is
     removed. */
  run_stop_job (shard, now, job, job_status_name (end));
  shard_shrink_ended (shard, entry);
}

void
shard_shrink_ended (shard_t *shard, job_entry_t *entry)
{
  job_t *job = entry->job;

  if (job->end_status == JOB_QUEUED || job->placed || !job->submission)
    return;
  job_free_details (job);
  memory_update (shard, entry);
  entry->end_time_ms = job->ended_ms;
  entry->drop_submission = true;
  shard_mark_dirty (shard, entry);
}

int
shard_status (const shard_t *shard, job_id_t job, job_status_t *status)
{
  const job_entry_t *entry = entry_of_caller (shard, job);

  if (!entry || !entry->job || entry->job->unsubmitted)
    return -ENOENT;
  *status = job_status (entry->job);
  if (entry->job->end_status != JOB_QUEUED && entry->stored_end == JOB_QUEUED)
    return -EAGAIN;
  return 0;
}

bool
shard_is_finishing (const shard_t *shard, job_id_t id)
{
  const job_entry_t *entry = entry_of_caller (shard, id);
  const job_t *job = entry ? entry->job : NULL;
  const occurrence_t *occurrence;

  if (!job || !job->submission || job->end_status != JOB_QUEUED
      || job->occurrences->len != 1 || job_next_due (job) != INT64_MAX)
    return false;
  occurrence = job->occurrences->pdata[0];
  for (uint32_t s = 0; s < job->submission->step_count; s++)
    if (job->submission->steps[s].long_running
        || occurrence->placed[s] != occurrence->unfinished[s])
      return false;
  return true;
}

int
shard_cancel (shard_t *shard, usec_t now, job_id_t job)
{
  job_entry_t *entry = entry_of_caller (shard, job);

  if (!entry || !entry->job)
    return -ENOENT;
  if (entry->job->end_status == JOB_QUEUED)
    shard_end_job (shard, now, entry, JOB_CANCELED);
  if (entry->stored_end == JOB_QUEUED)
    return -EAGAIN;
  if (renew_end (shard, entry))
    return -EAGAIN;
  return entry->job->end_status == JOB_CANCELED && !entry->job->unsubmitted
             ? 0
             : -EALREADY;
}

/* A copy of the submission of an ended job may still be under way, and would
   be taken for a new job once this one is forgotten.  An acknowledged
   cancellation must be kept, so one that is repeated late keeps the job known
   for longer.
   @return whether that is not stored yet */
static bool
renew_end (shard_t *shard, job_entry_t *entry)
{
  job_t *job = entry->job;
  int64_t wall = shard->ops->wall_ms (shard->ctx);

  if (wall - job->ended_ms
      < shard->config.keep_ended / USEC_PER_MSEC / RENEW_AFTER_DIVISOR)
    return entry->renewed;
  job->ended_ms = wall;
  if (!job->submission)
    entry->end_time_ms = wall;
  entry->renewed = true;
  shard_mark_dirty (shard, entry);
  return true;
}

int
shard_cancel_unknown (shard_t *shard, usec_t now, job_id_t job)
{
  int known = shard_cancel (shard, now, job);
  job_entry_t *entry = shard_entry (shard, job);
  job_end_t end = { .status = JOB_CANCELED, .unsubmitted = true };

  if (known != -ENOENT)
    return known;
  if (shard->unsubmitted_jobs >= UNSUBMITTED_JOBS_MAX)
    {
      log_item (LOG_LEVEL_WARNING, job, "job.cancel", NULL,
                "job=%s refused, unsubmitted=%u", JOB_ID_TEXT (job),
                shard->unsubmitted_jobs);
      return -ENOSPC;
    }
  if (!entry)
    entry = new_entry (shard, job);
  end.ended_ms = entry->end_time_ms = shard->ops->wall_ms (shard->ctx);
  entry->job = job_new_ended (job, &end);
  memory_update (shard, entry);
  shard->unsubmitted_jobs++;
  shard_mark_dirty (shard, entry);
  log_item (LOG_LEVEL_INFO, job, "job.cancel", NULL,
            "job=%s not submitted yet, unsubmitted=%u", JOB_ID_TEXT (job),
            shard->unsubmitted_jobs);
  return -EAGAIN;
}

uint32_t
shard_pending (const shard_t *shard, const char *queue)
{
  uint32_t pending = 0;

  for (GList *l = shard->open_jobs->head; l; l = l->next)
    {
      const job_t *job = l->data;

      if (!job->started && strcmp (job->submission->queue, queue) == 0)
        pending++;
    }
  return pending;
}

static void
log_load (shard_t *shard, usec_t now)
{
  uint64_t total = 0;
  uint64_t used = 0;
  uint64_t serving = 0;
  uint64_t filling = 0;
  uint32_t workers = 0;
  int64_t leftover = 0;
  unsettled_t unsettled;

  unsettled_count (shard, now, &unsettled);
  shard->load_log_due = now + LOAD_LOG_INTERVAL;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (!worker->listed || worker->in_doubt)
        continue;
      workers++;
      total += worker->millicores;
      used += worker->used_millicores;
      serving += worker->serving_millicores;
      filling += worker->best_effort_millicores;
      leftover += MAX (sharing_leftover (worker), 0);
    }
  log_line (LOG_LEVEL_INFO, "shard.load", NULL,
            "shard=%u workers=%u open=%u runs=%zu waiting=%u starting=%u"
            " stopping=%u unsettled_ms=%" PRId64 " cores=%" PRIu64
            " used=%" PRIu64 " serving=%" PRIu64 " filling=%" PRIu64
            " leftover=%" PRId64 " job_bytes=%" PRIu64,
            shard->number, workers, g_queue_get_length (shard->open_jobs),
            table_count (shard->runs), shard->waiting_tasks,
            unsettled.starting, unsettled.stopping,
            usec_to_msec (unsettled.oldest), total / 1000, used / 1000,
            serving / 1000, filling / 1000, leftover / 1000, shard->job_bytes);
}

usec_t
shard_tick (shard_t *shard, usec_t now)
{
  usec_t due;
  usec_t next;

  if (!shard_is_active (shard))
    return INT64_MAX;
  if (now >= shard->load_log_due)
    log_load (shard, now);
  if (now >= shard->forget_due)
    forget_ended_jobs (shard, now);
  next = create_due_occurrences (shard, now);
  if (!shard->append_in_flight)
    {
      if (shard->waiting_tasks
          && now >= shard->last_placement + PLACE_INTERVAL)
        shard->placement_needed = true;
      if (shard->placement_needed && !shard->quiesced
          && zones_are_current (shard, now))
        {
          place_all (shard, now);
          shard->placement_needed = false;
          shard->last_placement = now;
        }
      if (shard->speculative_runs)
        {
          due = copies_tick (shard, now);
          next = MIN (next, due);
        }
      shard_flush (shard, now);
    }
  if (shard->append_retry && shard->append_due > now)
    next = MIN (next, shard->append_due);
  if (shard->waiting_tasks && !shard->append_in_flight && !shard->quiesced)
    next = MIN (next, shard->last_placement + PLACE_INTERVAL);
  due = calls_tick (shard, now);
  next = MIN (next, due);
  return MIN (next, shard->forget_due);
}

/* Creates the occurrences that are due. @return when to call again */
static usec_t
create_due_occurrences (shard_t *shard, usec_t now)
{
  int64_t wall;
  int64_t earliest = INT64_MAX;

  if (now < shard->occurrences_due)
    return shard->occurrences_due;
  wall = shard->ops->wall_ms (shard->ctx);
  for (GList *l = shard->open_jobs->head; l; l = l->next)
    {
      job_t *job = l->data;

      if (create_occurrences (shard, job, wall))
        shard->placement_needed = true;
      earliest = MIN (earliest, job_next_due (job));
    }
  if (earliest == INT64_MAX)
    shard->occurrences_due = INT64_MAX;
  else
    shard->occurrences_due
        = now
          + MAX (OCCURRENCE_INTERVAL,
                 MIN ((earliest - wall) * USEC_PER_MSEC, USEC_PER_SEC));
  return shard->occurrences_due;
}

/* @return whether an occurrence was created */
static bool
create_occurrences (shard_t *shard, job_t *job, int64_t wall)
{
  job_entry_t *entry;
  bool created = false;

  if (job_next_due (job) > wall)
    return false;
  entry = shard_entry (shard, job->id);
  while (memory_admits_occurrence (shard, entry)
         && job_create_due_occurrence (job, wall))
    {
      memory_update (shard, entry);
      created = true;
    }
  return created;
}

/* Has the records of jobs deleted that ended long ago. */
static void
forget_ended_jobs (shard_t *shard, usec_t now)
{
  int64_t cutoff_ms = shard->ops->wall_ms (shard->ctx)
                      - shard->config.keep_ended / USEC_PER_MSEC;
  GHashTableIter iter;
  gpointer data;

  shard->forget_due = now + FORGET_INTERVAL;
  g_hash_table_iter_init (&iter, shard->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      job_entry_t *entry = data;

      if (!entry->job || entry->job->submission || entry->dirty
          || entry->stored_end == JOB_QUEUED || entry->end_time_ms > cutoff_ms)
        continue;
      entry->end_time_ms = 0;
      shard_mark_dirty (shard, entry);
    }
  worker_remove_unlisted (shard);
}

json_t *
shard_dump (const shard_t *shard, usec_t now)
{
  json_t *dump = json_object ();
  json_t *workers = json_array ();

  json_object_set_new (dump, "shard", json_integer (shard->number));
  json_object_set_new (dump, "active", json_boolean (shard->active));
  json_object_set_new (dump, "token", json_integer ((json_int_t)shard->token));
  json_object_set_new (dump, "jobs",
                       json_integer (g_hash_table_size (shard->jobs)));
  json_object_set_new (dump, "open",
                       json_integer (g_queue_get_length (shard->open_jobs)));
  json_object_set_new (dump, "runs",
                       json_integer ((json_int_t)table_count (shard->runs)));
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *w = worker_get (shard, h);

      json_array_append_new (
          workers,
          json_pack ("{s:s, s:s, s:b, s:b, s:b, s:b, s:b, s:I, s:I, s:I, s:i, "
                     "s:I}",
                     "id", w->id, "zone", w->zone, "listed", w->listed,
                     "evacuated", w->evacuated, "fenced", w->fenced,
                     "in_doubt", w->in_doubt, "leaving", w->leaving,
                     "millicores", (json_int_t)w->millicores,
                     "used_millicores", (json_int_t)w->used_millicores,
                     "fill_millicores", (json_int_t)w->best_effort_millicores,
                     "runs", (int)w->runs->len, "silent_ms",
                     (json_int_t)usec_to_msec (now - w->last_answer)));
    }
  json_object_set_new (
      dump, "workers_age_ms",
      json_integer (usec_to_msec (now - shard->workers_known_at)));
  json_object_set_new (dump, "workers", workers);
  return dump;
}

/** @file
 * Appends of a shard's records.  One is in flight at a time; each contains the
 * records that have changed since, up to its size limit.
 */
#include "shard/shard_private.h"

#define APPEND_RETRY (100 * USEC_PER_MSEC)

/* Of the length and the key that the store has for each record. */
#define RECORD_OVERHEAD_BYTES 22U

/* Shortest interval between appends of the interference model.  A new owner
   lacks the measurements made after the last of them. */
#define INTERFERENCE_STORE_INTERVAL (USEC_PER_SEC)
/* The platform accepts records of up to 256 KiB.  It would refuse a larger one
   in every repetition of its append, and with it all other records. */
#define INTERFERENCE_MAX_BYTES 200000U

static void add_interference (shard_t *shard, usec_t now);
static void add_lapsing (shard_t *shard, usec_t now);
static void add_lease_bound (shard_t *shard, usec_t now);
static void add_record (shard_t *shard, record_kind_t kind, job_id_t job,
                        GByteArray *value);
static void add_entry (shard_t *shard, job_entry_t *entry);
static GByteArray *encode_progress (const job_t *job);
static void add_submission (shard_t *shard, job_entry_t *entry);
static void send_append (shard_t *shard, usec_t now);
static void apply_stored (shard_t *shard, usec_t now);
static void submission_stored (shard_t *shard, job_id_t job);
static void remove_dropped_jobs (shard_t *shard);

void
shard_reset_batch (shard_t *shard)
{
  shard->batch_bytes = 0;
  g_array_set_size (shard->batch_records, 0);
  g_ptr_array_set_size (shard->batch_blobs, 0);
  g_array_set_size (shard->batch_runs, 0);
  g_array_set_size (shard->batch_end_acks, 0);
  g_array_set_size (shard->batch_ends, 0);
  g_array_set_size (shard->batch_submits, 0);
  g_ptr_array_set_size (shard->batch_drops, 0);
  shard->batch_has_lapsing = false;
}

int
shard_append_bytes (void *data, const char *buffer, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buffer, (guint)len);
  return 0;
}

bool
shard_has_unstored (const shard_t *shard)
{
  return shard->append_in_flight || shard->append_retry
         || shard->dirty_entries->len;
}

bool
shard_append_has_submission (const shard_t *shard, job_id_t job)
{
  for (guint i = 0; i < shard->batch_submits->len; i++)
    if (g_array_index (shard->batch_submits, job_id_t, i) == job)
      return true;
  return false;
}

void
shard_flush (shard_t *shard, usec_t now)
{
  guint taken = 0;

  if (shard->append_retry)
    {
      if (now >= shard->append_due)
        send_append (shard, now);
      return;
    }
  if (!shard->dirty_entries->len && !lapsing_is_due (shard, now)
      && !lease_bound_is_due (shard, now))
    return;
  shard_reset_batch (shard);
  while (taken < shard->dirty_entries->len
         && shard->batch_bytes < shard->config.append_bytes)
    add_entry (shard, shard->dirty_entries->pdata[taken++]);
  g_ptr_array_remove_range (shard->dirty_entries, 0, taken);
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      const run_t *run = run_get (shard, h);

      if (run->state == RUN_UNSTORED
          && !shard_entry (shard, run->run_id.job)->dirty)
        g_array_append_val (shard->batch_runs, h);
    }
  for (handle_t h = table_next (shard->workers, HANDLE_NONE);
       !shard->dirty_entries->len && h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      end_ack_t ack = { h, worker->started_ms, worker->ends_applied };

      if (worker->ends_applied != worker->ends_stored)
        g_array_append_val (shard->batch_end_acks, ack);
    }
  if (shard->interference_changed && now >= shard->interference_store_due)
    add_interference (shard, now);
  add_lapsing (shard, now);
  add_lease_bound (shard, now);
  shard->sequence++;
  send_append (shard, now);
}

/* The model is stored together with other records, not by itself. */
static void
add_interference (shard_t *shard, usec_t now)
{
  GByteArray *value = g_byte_array_new ();

  interference_encode (shard->interference, value);
  shard->interference_changed = false;
  shard->interference_store_due = now + INTERFERENCE_STORE_INTERVAL;
  if (value->len <= INTERFERENCE_MAX_BYTES)
    {
      add_record (shard, RECORD_INTERFERENCE, 0, value);
      return;
    }
  log_line (LOG_LEVEL_WARNING, "learned.large", NULL,
            "shard=%u bytes=%u not stored", shard->number, value->len);
  g_byte_array_unref (value);
}

/* The record is the last one of each batch while it names workers: one that
   is older than a progress record was written before another owner, of a build
   without it, has extended leases. */
static void
add_lapsing (shard_t *shard, usec_t now)
{
  GByteArray *value = g_byte_array_new ();

  if (!lapsing_encode (shard, now, value) && !shard->lapsing_on_record)
    {
      g_byte_array_unref (value);
      return;
    }
  shard->batch_has_lapsing = true;
  add_record (shard, RECORD_LAPSING, 0, value);
}

static void
add_lease_bound (shard_t *shard, usec_t now)
{
  GByteArray *value = g_byte_array_new ();

  lease_bound_encode (shard, now, value);
  add_record (shard, RECORD_LEASE_BOUND, 0, value);
}

static void
add_entry (shard_t *shard, job_entry_t *entry)
{
  const job_t *job = entry->job;
  stored_end_t end = { job->id, job->end_status };

  entry->dirty = false;
  if (job->end_status != JOB_QUEUED && !job->submission && !entry->end_time_ms)
    {
      g_ptr_array_add (shard->batch_drops, entry);
      add_record (shard, RECORD_SUBMISSION, job->id, g_byte_array_new ());
      add_record (shard, RECORD_PROGRESS, job->id, g_byte_array_new ());
      return;
    }
  if (entry->unstored_submission)
    add_submission (shard, entry);
  /* The progress comes before the deletion of the submission: without either
     record the job would be unknown. */
  add_record (shard, RECORD_PROGRESS, job->id, encode_progress (job));
  if (entry->drop_submission)
    add_record (shard, RECORD_SUBMISSION, job->id, g_byte_array_new ());
  entry->drop_submission = false;
  if (job->end_status != entry->stored_end || entry->renewed)
    g_array_append_val (shard->batch_ends, end);
}

/* Leaves out all checkpoints if the record were too large with them: a new
   owner then has them only from the lists of the workers. */
static GByteArray *
encode_progress (const job_t *job)
{
  GByteArray *value = g_byte_array_new ();

  job_encode (job, value);
  if (value->len <= SHARD_VALUE_MAX_BYTES)
    return value;
  log_item (LOG_LEVEL_WARNING, job->id, "job.large", NULL,
            "job=%s bytes=%u stored without checkpoints",
            JOB_ID_TEXT (job->id), value->len);
  g_byte_array_set_size (value, 0);
  job_encode_without_checkpoints (job, value);
  return value;
}

static void
add_submission (shard_t *shard, job_entry_t *entry)
{
  gsize len;
  const guint8 *data = g_bytes_get_data (entry->unstored_submission, &len);

  if (len)
    {
      GByteArray *value = g_byte_array_new ();

      g_byte_array_append (value, data, (guint)len);
      add_record (shard, RECORD_SUBMISSION, entry->job->id, value);
    }
  g_array_append_val (shard->batch_submits, entry->job->id);
}

/* Takes over the reference to VALUE. */
static void
add_record (shard_t *shard, record_kind_t kind, job_id_t job,
            GByteArray *value)
{
  shard_record_t record
      = { kind, job, { (const char *)value->data, value->len } };

  shard->batch_bytes += RECORD_OVERHEAD_BYTES + value->len;
  g_ptr_array_add (shard->batch_blobs, value);
  g_array_append_val (shard->batch_records, record);
}

static void
send_append (shard_t *shard, usec_t now)
{
  shard->append_in_flight = true;
  shard->append_sent = now;
  shard->append_retry = false;
  counter_add (COUNTER_SHARD_APPENDS, 1);
  shard->ops->append (
      shard->ctx, shard->sequence,
      (const shard_record_t *)(void *)shard->batch_records->data,
      shard->batch_records->len);
}

void
shard_append_done (shard_t *shard, usec_t now, shard_append_result_t result)
{
  if (!shard->append_in_flight)
    return;
  shard->append_in_flight = false;
  histogram_add (HISTOGRAM_APPEND, now - shard->append_sent);
  switch (result)
    {
    case SHARD_STORED:
      apply_stored (shard, now);
      break;
    case SHARD_NOT_STORED:
    case SHARD_STORE_TIMEOUT:
      shard->append_retry = true;
      shard->append_due
          = result == SHARD_STORE_TIMEOUT ? now : now + APPEND_RETRY;
      break;
    case SHARD_SUPERSEDED:
      shard_supersede (shard, "append");
      break;
    }
}

static void
apply_stored (shard_t *shard, usec_t now)
{
  for (guint i = 0; i < shard->batch_runs->len; i++)
    {
      run_t *run
          = run_get (shard, g_array_index (shard->batch_runs, handle_t, i));

      if (!run || run->state != RUN_UNSTORED)
        continue;
      run->state = RUN_STARTING;
      run_set_due (shard, run, now);
    }
  shard->lease_bound_stored = true;
  if (shard->batch_has_lapsing)
    lapsing_stored (shard, now);
  for (guint i = 0; i < shard->batch_end_acks->len; i++)
    {
      const end_ack_t *ack
          = &g_array_index (shard->batch_end_acks, end_ack_t, i);
      worker_t *worker = worker_get (shard, ack->worker);

      if (!worker || worker->started_ms != ack->started_ms)
        continue;
      worker->ends_stored = ack->ends_applied;
      if (worker->ends_stored == worker->ends_applied)
        worker->hold_due = MIN (worker->hold_due, now);
    }
  for (guint i = 0; i < shard->batch_ends->len; i++)
    {
      const stored_end_t *end
          = &g_array_index (shard->batch_ends, stored_end_t, i);
      job_entry_t *entry = shard_entry (shard, end->job);

      if (!entry)
        continue;
      entry->stored_end = end->end;
      entry->renewed &= entry->dirty;
      shard->ops->settled (shard->ctx, end->job);
    }
  for (guint i = 0; i < shard->batch_submits->len; i++)
    submission_stored (shard,
                       g_array_index (shard->batch_submits, job_id_t, i));
  remove_dropped_jobs (shard);
  shard_reset_batch (shard);
}

static void
submission_stored (shard_t *shard, job_id_t job)
{
  job_entry_t *entry = shard_entry (shard, job);

  if (!entry || !entry->unstored_submission)
    return;
  g_bytes_unref (entry->unstored_submission);
  entry->unstored_submission = NULL;
  memory_update (shard, entry);
  shard->ops->settled (shard->ctx, job);
}

static void
remove_dropped_jobs (shard_t *shard)
{
  for (guint i = 0; i < shard->batch_drops->len; i++)
    {
      job_entry_t *entry = shard->batch_drops->pdata[i];
      job_id_t job = entry->job->id;

      if (entry->dirty)
        continue;
      shard->unsubmitted_jobs -= entry->job->unsubmitted;
      memory_remove (shard, entry);
      g_hash_table_remove (shard->jobs, &job);
    }
}

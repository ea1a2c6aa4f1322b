/** @file
 * Appends of a shard's records: one at a time, each with all that changed.
 */
#include "shard/shard_private.h"

#define APPEND_RETRY (100 * USEC_PER_MSEC)

/* What was learned since is learned anew after a takeover. */
#define LEARNED_INTERVAL (USEC_PER_SEC)

static void add_learned (shard_t *shard, usec_t now);
static void add_record (shard_t *shard, record_kind_t kind, job_id_t job,
                        GByteArray *value);
static size_t add_entry (shard_t *shard, entry_t *entry);
static size_t add_submission (shard_t *shard, entry_t *entry);
static void send (shard_t *shard, usec_t now);
static void apply_stored (shard_t *shard, usec_t now);
static void submission_stored (shard_t *shard, job_id_t job);
static void forget_dropped (shard_t *shard);

void
shard_store_reset (shard_t *shard)
{
  g_array_set_size (shard->batch, 0);
  g_ptr_array_set_size (shard->batch_blobs, 0);
  g_array_set_size (shard->batch_runs, 0);
  g_array_set_size (shard->batch_kept, 0);
  g_array_set_size (shard->batch_ends, 0);
  g_array_set_size (shard->batch_submits, 0);
  g_ptr_array_set_size (shard->batch_drops, 0);
}

bool
shard_append_carries (const shard_t *shard, job_id_t job)
{
  for (guint i = 0; i < shard->batch_submits->len; i++)
    if (g_array_index (shard->batch_submits, job_id_t, i) == job)
      return true;
  return false;
}

void
shard_flush (shard_t *shard, usec_t now)
{
  size_t bytes = 0;
  guint taken = 0;

  if (shard->append_again)
    {
      if (now >= shard->append_due)
        send (shard, now);
      return;
    }
  if (!shard->dirty->len)
    return;
  shard_store_reset (shard);
  while (taken < shard->dirty->len && bytes < shard->config.append_bytes)
    bytes += add_entry (shard, shard->dirty->pdata[taken++]);
  g_ptr_array_remove_range (shard->dirty, 0, taken);
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      const run_t *run = run_get (shard, h);

      if (run->state == RUN_UNWRITTEN
          && !shard_entry (shard, run->name.job)->dirty)
        g_array_append_val (shard->batch_runs, h);
    }
  for (handle_t h = table_next (shard->workers, HANDLE_NONE);
       !shard->dirty->len && h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      kept_t kept = { h, worker->ends_seen };

      if (worker->ends_seen != worker->ends_kept)
        g_array_append_val (shard->batch_kept, kept);
    }
  if (shard->learned_more && now >= shard->learned_due)
    add_learned (shard, now);
  shard->sequence++;
  send (shard, now);
}

/* What was learned goes along with other records now and then.  */
static void
add_learned (shard_t *shard, usec_t now)
{
  GByteArray *value = g_byte_array_new ();

  interference_encode (shard->interference, value);
  add_record (shard, RECORD_INTERFERENCE, 0, value);
  shard->learned_more = false;
  shard->learned_due = now + LEARNED_INTERVAL;
}

/* @return bytes added to the batch */
static size_t
add_entry (shard_t *shard, entry_t *entry)
{
  const job_t *job = entry->job;
  GByteArray *value = g_byte_array_new ();
  stored_end_t end = { job->id, job->end_status };
  size_t bytes = 0;

  entry->dirty = false;
  if (job->end_status != JOB_QUEUED && !job->submission && !entry->forget_ms)
    {
      g_ptr_array_add (shard->batch_drops, entry);
      add_record (shard, RECORD_SUBMISSION, job->id, g_byte_array_new ());
      add_record (shard, RECORD_PROGRESS, job->id, value);
      return 0;
    }
  if (entry->unstored)
    bytes = add_submission (shard, entry);
  job_encode (job, value);
  /* The progress comes first: with the submission gone and without it the
     job would not be known.  */
  add_record (shard, RECORD_PROGRESS, job->id, value);
  if (entry->drop_submission)
    add_record (shard, RECORD_SUBMISSION, job->id, g_byte_array_new ());
  entry->drop_submission = false;
  if (job->end_status != entry->stored_end)
    g_array_append_val (shard->batch_ends, end);
  return bytes + value->len;
}

/* @return bytes added to the batch */
static size_t
add_submission (shard_t *shard, entry_t *entry)
{
  GByteArray *value = g_byte_array_new ();
  gsize len;
  const guint8 *data = g_bytes_get_data (entry->unstored, &len);

  g_byte_array_append (value, data, (guint)len);
  add_record (shard, RECORD_SUBMISSION, entry->job->id, value);
  g_array_append_val (shard->batch_submits, entry->job->id);
  return len;
}

/* Takes the reference to VALUE.  */
static void
add_record (shard_t *shard, record_kind_t kind, job_id_t job,
            GByteArray *value)
{
  shard_record_t record
      = { kind, job, { (const char *)value->data, value->len } };

  g_ptr_array_add (shard->batch_blobs, value);
  g_array_append_val (shard->batch, record);
}

static void
send (shard_t *shard, usec_t now)
{
  shard->append_busy = true;
  shard->append_sent = now;
  shard->append_again = false;
  counter_add (COUNTER_SHARD_APPENDS, 1);
  shard->ops->append (shard->ctx, shard->sequence,
                      (const shard_record_t *)(void *)shard->batch->data,
                      shard->batch->len);
}

void
shard_append_done (shard_t *shard, usec_t now, shard_append_result_t result)
{
  if (!shard->append_busy)
    return;
  shard->append_busy = false;
  histogram_add (HISTOGRAM_APPEND, now - shard->append_sent);
  switch (result)
    {
    case SHARD_STORED:
      apply_stored (shard, now);
      break;
    case SHARD_NOT_STORED:
    case SHARD_STORE_TIMEOUT:
      shard->append_again = true;
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

      if (!run || run->state != RUN_UNWRITTEN)
        continue;
      run->state = RUN_SENDING;
      run_set_due (shard, run, now);
    }
  for (guint i = 0; i < shard->batch_kept->len; i++)
    {
      const kept_t *kept = &g_array_index (shard->batch_kept, kept_t, i);
      worker_t *worker = worker_get (shard, kept->worker);

      if (!worker || worker->ends_seen < kept->ends_seen)
        continue;
      worker->ends_kept = kept->ends_seen;
      if (worker->ends_kept == worker->ends_seen)
        worker->hold_due = MIN (worker->hold_due, now);
    }
  for (guint i = 0; i < shard->batch_ends->len; i++)
    {
      const stored_end_t *end
          = &g_array_index (shard->batch_ends, stored_end_t, i);
      entry_t *entry = shard_entry (shard, end->job);

      if (!entry)
        continue;
      entry->stored_end = end->end;
      shard->ops->settled (shard->ctx, end->job);
    }
  for (guint i = 0; i < shard->batch_submits->len; i++)
    submission_stored (shard,
                       g_array_index (shard->batch_submits, job_id_t, i));
  forget_dropped (shard);
  shard_store_reset (shard);
}

static void
submission_stored (shard_t *shard, job_id_t job)
{
  entry_t *entry = shard_entry (shard, job);

  if (!entry || !entry->unstored)
    return;
  g_bytes_unref (entry->unstored);
  entry->unstored = NULL;
  shard->ops->settled (shard->ctx, job);
}

static void
forget_dropped (shard_t *shard)
{
  for (guint i = 0; i < shard->batch_drops->len; i++)
    {
      const entry_t *entry = shard->batch_drops->pdata[i];
      job_id_t job = entry->job->id;

      if (!entry->dirty)
        g_hash_table_remove (shard->jobs, &job);
    }
}

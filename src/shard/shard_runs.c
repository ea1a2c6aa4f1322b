/** @file
 * Runs of tasks: start, end and takeover from a former owner.
 */
#include "shard/shard_private.h"

static void run_remove (shard_t *shard, usec_t now, handle_t handle);
static void finish_task (shard_t *shard, usec_t now, job_entry_t *entry,
                         occurrence_t *occurrence, handle_t handle);
static void finish_gang (shard_t *shard, usec_t now, job_entry_t *entry,
                         occurrence_t *occurrence, uint32_t step);
static void break_gang (shard_t *shard, usec_t now, const run_id_t *run_id);
static handle_t lose_other_run (const shard_t *shard, const task_t *task,
                                const run_t *winner);
static void apply_end (shard_t *shard, usec_t now, handle_t handle,
                       const end_report_t *report);

const char *
run_end_name (run_end_t end)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return names[end];
}

run_t *
run_get (const shard_t *shard, handle_t handle)
{
  return table_get (shard->runs, handle);
}

job_entry_t *
run_entry (const shard_t *shard, const run_t *run)
{
  return run->lost ? NULL : shard_entry (shard, run->run_id.job);
}

task_t *
run_task (const shard_t *shard, const run_t *run)
{
  const job_entry_t *entry = run_entry (shard, run);

  return entry ? job_task (entry->job, run->run_id.occurrence,
                           run->run_id.step, run->run_id.index)
               : NULL;
}

void
run_set_worker_leaves (shard_t *shard, const run_t *run, bool leaves)
{
  task_t *task = run_task (shard, run);

  if (!task)
    return;
  *(run->copy ? &task->copy->worker_leaves : &task->worker_leaves) = leaves;
  shard_mark_dirty (shard, run_entry (shard, run));
}

const char *
run_format_id (const run_id_t *run_id, char out[64])
{
  g_snprintf (out, 64, "%s.%u.%u.%u", JOB_ID_TEXT (run_id->job),
              run_id->occurrence, run_id->step, run_id->index);
  return out;
}

void
run_set_due (shard_t *shard, run_t *run, usec_t due)
{
  run->call_due = due;
  shard->run_calls_due = MIN (shard->run_calls_due, due);
}

handle_t
run_add (shard_t *shard, job_t *job, occurrence_t *occurrence, uint32_t step,
         uint32_t index, handle_t worker_handle, run_state_t state, bool copy)
{
  const step_t *s = &job->submission->steps[step];
  task_t *task = &occurrence->tasks[step][index];
  worker_t *worker = worker_get (shard, worker_handle);
  handle_t handle = table_add (shard->runs);
  run_t *run = run_get (shard, handle);

  run->copy = copy;
  run->run_id = (run_id_t){ job->id, occurrence->number, step, index,
                            copy ? task->copy->run : task->placed_run };
  run->worker = worker_handle;
  run->state = state;
  run->millicores = s->millicores;
  run->memory_mb = s->memory_mb;
  run->accelerators = s->accelerators;
  run->best_effort = s->best_effort;
  run->long_running = s->long_running;
  run->image = interference_image_id (s->image);
  run->target_ms = s->target_latency_ms;
  run->speculative = shard->config.copy_percent && step_allows_copies (s);
  shard->speculative_runs += run->speculative;
  run->call_due = INT64_MAX;
  if (run->copy)
    task->copy->run_handle = handle;
  else
    task->run_handle = handle;
  worker_reserve (worker, run);
  reserve_run_added (shard, job->submission, run);
  g_array_append_val (worker->runs, handle);
  if (run->target_ms)
    sharing_update_use (shard, worker);
  return handle;
}

void
run_acknowledge (shard_t *shard, usec_t now, run_t *run)
{
  const job_entry_t *entry = run_entry (shard, run);
  job_t *job = entry ? entry->job : NULL;

  if (job && !job->started)
    histogram_add (HISTOGRAM_FIRST_START, (shard->ops->wall_ms (shard->ctx)
                                           - job->submission->accepted_ms)
                                              * USEC_PER_MSEC);
  if (job)
    job->started = true;
  if (run->state != RUN_ACKNOWLEDGED)
    run->accepted_at = run->progressed_at = now;
  run->state = RUN_ACKNOWLEDGED;
  run->acknowledged_at = now;
  if (!run->stop_requested)
    run->unsettled_since = 0;
}

static void
run_remove (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);
  worker_t *worker = worker_get (shard, run->worker);

  worker_release (worker, run);
  reserve_run_removed (shard, run);
  crashes_run_settled (worker, run);
  if (run->best_effort && run->state == RUN_ACKNOWLEDGED)
    sharing_run_ended (worker, now, run);
  if (run->imposed)
    sharing_imposed_ended (worker, now);
  for (guint i = 0; i < worker->runs->len; i++)
    if (g_array_index (worker->runs, handle_t, i) == handle)
      {
        g_array_remove_index_fast (worker->runs, i);
        break;
      }
  if (run->target_ms)
    sharing_update_use (shard, worker);
  shard->speculative_runs -= run->speculative;
  table_remove (shard->runs, handle);
  shard->placement_needed = true;
}

void
run_requeue (shard_t *shard, usec_t now, handle_t handle, const char *why)
{
  run_t *run = run_get (shard, handle);
  job_entry_t *entry;
  occurrence_t *occurrence;
  run_id_t run_id;
  task_t *task;
  bool lost;
  char text[64];

  if (!run)
    return;
  run_id = run->run_id;
  lost = run->lost;
  log_item (
      LOG_LEVEL_INFO, run_id.job, "run.over", NULL,
      "task=%s run=%u worker=%s state=%d loose=%d answered_ms_ago=%" PRId64
      " why=\"%s\"",
      run_format_id (&run_id, text), run_id.run,
      worker_get (shard, run->worker)->id, (int)run->state,
      run->start_unanswered,
      run->acknowledged_at ? usec_to_msec (now - run->acknowledged_at) : -1,
      why);
  run_remove (shard, now, handle);
  entry = lost ? NULL : shard_entry (shard, run_id.job);
  occurrence = entry ? job_occurrence (entry->job, run_id.occurrence) : NULL;
  if (!occurrence)
    return;
  task = &occurrence->tasks[run_id.step][run_id.index];
  if (task->copy)
    {
      task_drop_run (task, run_id.run);
      run_get (shard, task->run_handle)->copy = false;
      shard_mark_dirty (shard, entry);
      return;
    }
  task->run_handle = HANDLE_NONE;
  task_requeue (entry->job, occurrence, run_id.step, run_id.index);
  shard_mark_dirty (shard, entry);
  break_gang (shard, now, &run_id);
  shard_shrink_ended (shard, entry);
}

void
run_ended (shard_t *shard, usec_t now, handle_t handle,
           const end_report_t *report)
{
  const run_t *run = run_get (shard, handle);
  run_id_t run_id = run->run_id;
  bool failed = report->end == RUN_FAILED;
  char text[64];

  log_item (failed || report->end == RUN_LEASE_EXPIRED ? LOG_LEVEL_NOTICE
                                                       : LOG_LEVEL_INFO,
            run_id.job, "run.end", NULL,
            "task=%s run=%u worker=%s how=%s ran_ms=%" PRId64,
            run_format_id (&run_id, text), run_id.run,
            worker_get (shard, run->worker)->id, run_end_name (report->end),
            run->acknowledged_at ? usec_to_msec (now - run->acknowledged_at)
                                 : -1);
  counter_add (failed ? COUNTER_RUNS_FAILED : COUNTER_RUNS_ENDED, 1);
  if (run->lost)
    run_remove (shard, now, handle);
  else
    apply_end (shard, now, handle, report);
}

static void
apply_end (shard_t *shard, usec_t now, handle_t handle,
           const end_report_t *report)
{
  const run_t *run = run_get (shard, handle);
  run_id_t run_id = run->run_id;
  handle_t worker = run->worker;
  job_entry_t *entry = shard_entry (shard, run_id.job);
  job_t *job = entry->job;
  occurrence_t *occurrence = job_occurrence (job, run_id.occurrence);
  const step_t *step = &job->submission->steps[run_id.step];
  task_t *task = &occurrence->tasks[run_id.step][run_id.index];
  bool failed = report->end == RUN_FAILED;
  uint32_t failures = 0;

  if (!run->copy)
    task_set_checkpoint (task, report->checkpoint);
  job->started = true;
  if (failed || report->end == RUN_DONE)
    worker_record_result (worker_get (shard, worker), now, run_id.job, failed);
  if (report->end == RUN_DONE && !step->long_running)
    {
      finish_task (shard, now, entry, occurrence, handle);
      return;
    }
  if (failed)
    {
      failures = task_count_failure (job, occurrence, run_id.step,
                                     run_id.index, run_id.run);
      task->avoid = worker;
    }
  if (failed && !step->long_running && job->end_status == JOB_QUEUED
      && failures >= MAX (job->submission->max_attempts, 1))
    {
      run_requeue (shard, now, handle, "ended");
      shard_end_job (shard, now, entry, JOB_FAILED);
      return;
    }
  run_requeue (shard, now, handle, "ended");
}

static void
finish_task (shard_t *shard, usec_t now, job_entry_t *entry,
             occurrence_t *occurrence, handle_t handle)
{
  job_t *job = entry->job;
  const run_t *run = run_get (shard, handle);
  run_id_t run_id = run->run_id;
  handle_t other;

  if (job->end_status != JOB_QUEUED)
    {
      run_requeue (shard, now, handle, "ended");
      return;
    }
  shard_mark_dirty (shard, entry);
  if (job->submission->steps[run_id.step].gang)
    {
      finish_gang (shard, now, entry, occurrence, run_id.step);
      return;
    }
  copies_run_done (shard, now, run);
  other = lose_other_run (shard, &occurrence->tasks[run_id.step][run_id.index],
                          run);
  occurrence->tasks[run_id.step][run_id.index].run_handle = HANDLE_NONE;
  run_remove (shard, now, handle);
  if (occurrence->unfinished[run_id.step] == 1)
    copies_step_done (shard, &run_id);
  if (task_done (job, occurrence, run_id.step, run_id.index))
    shard_end_job (shard, now, entry, JOB_COMPLETED);
  run_stop (shard, now, other, "another run of the task is done");
  memory_update (shard, entry);
}

/* The other run of a task with two loses its task, so that its end or the loss
   of its worker no longer matters.  It keeps its place on its worker until it
   is known to have ended.
   @return the other run, HANDLE_NONE for none */
static handle_t
lose_other_run (const shard_t *shard, const task_t *task, const run_t *winner)
{
  handle_t other;

  if (!task->copy)
    return HANDLE_NONE;
  counter_add (COUNTER_COPIES_WON, winner->copy);
  other = winner->copy ? task->run_handle : task->copy->run_handle;
  run_get (shard, other)->lost = true;
  return other;
}

/* The first member that is done completes the whole gang. */
static void
finish_gang (shard_t *shard, usec_t now, job_entry_t *entry,
             occurrence_t *occurrence, uint32_t step)
{
  job_t *job = entry->job;
  uint32_t count = job->submission->steps[step].count;
  bool completed = false;

  for (uint32_t i = 0; i < count; i++)
    {
      handle_t handle = occurrence->tasks[step][i].run_handle;

      occurrence->tasks[step][i].run_handle = HANDLE_NONE;
      if (run_get (shard, handle))
        run_remove (shard, now, handle);
      completed = task_done (job, occurrence, step, i);
    }
  if (completed)
    shard_end_job (shard, now, entry, JOB_COMPLETED);
  memory_update (shard, entry);
}

/* Stops the other members if the run was of a gang: they would wait at their
   workers for one that does not come. */
static void
break_gang (shard_t *shard, usec_t now, const run_id_t *run_id)
{
  const job_entry_t *entry = shard_entry (shard, run_id->job);
  const job_t *job = entry->job;
  occurrence_t *occurrence = job_occurrence (job, run_id->occurrence);
  const step_t *step = &job->submission->steps[run_id->step];

  if (!step->gang || job->end_status != JOB_QUEUED)
    return;
  for (uint32_t i = 0; i < step->count; i++)
    run_stop (shard, now, occurrence->tasks[run_id->step][i].run_handle,
              "another member of the gang ended");
}

void
run_requeue_all (shard_t *shard, usec_t now, handle_t worker_handle,
                 const char *why)
{
  worker_t *worker = worker_get (shard, worker_handle);
  GArray *runs = g_array_copy (worker->runs);

  if (runs->len)
    log_line (LOG_LEVEL_NOTICE, "worker.lost", worker->address,
              "worker=%s runs=%u why=\"%s\" silent_ms=%" PRId64
              " leases_left_ms=%" PRId64 " listed=%d answered=%d leaving=%d",
              worker->id, runs->len, why,
              usec_to_msec (now - worker->last_answer),
              usec_to_msec (MAX (worker->leases_expired_at - now, 0)),
              worker->listed, worker->fenced, worker->leaving);
  for (guint i = 0; i < runs->len; i++)
    run_requeue (shard, now, g_array_index (runs, handle_t, i), why);
  g_array_free (runs, TRUE);
}

void
run_worker_restarted (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);
  task_t *task = run_task (shard, run);

  if (!run->start_unanswered && !run->start_in_flight)
    {
      run_requeue (shard, now, handle, "worker restarted");
      return;
    }
  /* The new incarnation may still execute the start, until it has answered a
     stop itself.  To a successor the run is one of that incarnation, whose
     predecessor's crash is counted. */
  if (task)
    {
      task_run_place (task, run->run_id.run)->life_ms
          = worker_get (shard, run->worker)->started_ms;
      shard_mark_dirty (shard, run_entry (shard, run));
    }
  run->state = RUN_STARTING;
  run->stops_answered = 0;
  run->start_expires_ms = INT64_MAX; /* its clock starts anew */
  run_set_due (shard, run, now);
  run_stop (shard, now, handle, "worker restarted, start not answered");
}

void
run_stop (shard_t *shard, usec_t now, handle_t handle, const char *why)
{
  run_t *run = run_get (shard, handle);
  run_id_t run_id;
  char text[64];

  if (!run || run->stop_requested)
    return;
  if (run->state == RUN_UNSTORED
      || (run->state == RUN_STARTING && !run->start_sent))
    {
      run_requeue (shard, now, handle, why);
      return;
    }
  run_id = run->run_id;
  run->stop_requested = true;
  run->unsettled_since = now;
  run_set_due (shard, run, now);
  log_item (LOG_LEVEL_INFO, run_id.job, "run.stop", NULL,
            "task=%s run=%u why=\"%s\"", run_format_id (&run_id, text),
            run_id.run, why);
  if (!run->lost)
    break_gang (shard, now, &run_id);
}

static void
add_handles (const task_t *task, GArray *handles)
{
  g_array_append_val (handles, task->run_handle);
  if (task->copy)
    g_array_append_val (handles, task->copy->run_handle);
}

void
run_stop_job (shard_t *shard, usec_t now, const job_t *job, const char *why)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (handle_t));

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const occurrence_t *occurrence = job->occurrences->pdata[k];

      for (uint32_t s = 0; s < job->submission->step_count; s++)
        for (uint32_t i = 0;
             occurrence->placed[s] && i < job->submission->steps[s].count; i++)
          if (occurrence->tasks[s][i].state == TASK_PLACED)
            add_handles (&occurrence->tasks[s][i], handles);
    }
  for (guint i = 0; i < handles->len; i++)
    run_stop (shard, now, g_array_index (handles, handle_t, i), why);
  g_array_free (handles, TRUE);
}

static void
adopt_run (shard_t *shard, job_t *job, occurrence_t *occurrence, uint32_t step,
           uint32_t index, bool copy)
{
  task_t *task = &occurrence->tasks[step][index];
  const place_t *place = copy ? &task->copy->place : &task->place;
  handle_t worker_handle = worker_find (shard, place->worker);
  worker_t *worker;
  run_t *run;

  if (worker_handle == HANDLE_NONE)
    worker_handle = worker_add (shard, place->worker);
  worker = worker_get (shard, worker_handle);
  /* The list may already have the next incarnation.  Its first answer must
     count as a restart. */
  if (!worker->runs->len || worker->started_ms < place->life_ms)
    worker->started_ms = place->life_ms;
  if (!worker->address[0])
    worker_set_address (worker, place->address);
  worker->reached |= strcmp (worker->address, place->address) == 0;
  /* If the list is read later, that looks for workers that were leaving. */
  if (shard->worker_list_complete && !worker->listed)
    worker->leaving |= copy ? task->copy->worker_leaves : task->worker_leaves;
  run = run_get (shard, run_add (shard, job, occurrence, step, index,
                                 worker_handle, RUN_ADOPTED, copy));
  run->started_at = shard->owned_since;
  crashes_run_placed (worker, run, task);
}

void
run_adopt_job (shard_t *shard, job_t *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      occurrence_t *occurrence = job->occurrences->pdata[k];

      for (uint32_t s = 0; s < job->submission->step_count; s++)
        for (uint32_t i = 0; i < job->submission->steps[s].count; i++)
          if (occurrence->tasks[s][i].state == TASK_PLACED)
            {
              adopt_run (shard, job, occurrence, s, i, false);
              if (occurrence->tasks[s][i].copy)
                adopt_run (shard, job, occurrence, s, i, true);
            }
    }
}

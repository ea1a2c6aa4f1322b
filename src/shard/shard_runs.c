/** @file
 * Runs of tasks: how they begin, end and are taken over.
 */
#include "shard/shard_private.h"

static void run_remove (shard_t *shard, usec_t now, handle_t handle);
static void finish_task (shard_t *shard, usec_t now, entry_t *entry,
                         occurrence_t *o, const run_id_t *name);
static void finish_gang (shard_t *shard, usec_t now, entry_t *entry,
                         occurrence_t *o, uint32_t step);
static void break_gang (shard_t *shard, usec_t now, occurrence_t *o,
                        const job_t *job, uint32_t step);

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

const char *
run_text (const run_id_t *name, char out[64])
{
  g_snprintf (out, 64, "%016" PRIx64 ".%u.%u.%u", name->job, name->occurrence,
              name->step, name->index);
  return out;
}

void
run_set_due (shard_t *shard, run_t *run, usec_t due)
{
  run->due = due;
  shard->runs_due = MIN (shard->runs_due, due);
}

handle_t
run_add (shard_t *shard, job_t *job, occurrence_t *o, uint32_t step,
         uint32_t index, handle_t worker, run_state_t state)
{
  const step_t *s = &job->submission->steps[step];
  task_t *task = &o->tasks[step][index];
  worker_t *w = worker_get (shard, worker);
  handle_t handle = table_add (shard->runs);
  run_t *run = run_get (shard, handle);

  run->name = (run_id_t){ job->id, o->number, step, index, task->run };
  run->worker = worker;
  run->state = state;
  run->millicores = s->millicores;
  run->memory_mb = s->memory_mb;
  run->accelerators = s->accelerators;
  run->fills = s->best_effort;
  run->image = interference_image_id (s->image);
  run->target_ms = s->target_latency_ms;
  run->due = INT64_MAX;
  task->run_handle = handle;
  worker_reserve (w, run);
  g_array_append_val (w->runs, handle);
  if (run->target_ms)
    sharing_count_use (shard, w);
  return handle;
}

void
run_begun (shard_t *shard, usec_t now, run_t *run)
{
  job_t *job = shard_entry (shard, run->name.job)->job;

  if (!job->started)
    histogram_add (HISTOGRAM_FIRST_START, (shard->ops->wall_ms (shard->ctx)
                                           - job->submission->accepted_ms)
                                              * USEC_PER_MSEC);
  job->started = true;
  if (run->state != RUN_LIVE)
    run->since = run->moved = now;
  run->state = RUN_LIVE;
  run->answered = now;
}

static void
run_remove (shard_t *shard, usec_t now, handle_t handle)
{
  run_t *run = run_get (shard, handle);
  worker_t *worker = worker_get (shard, run->worker);

  worker_release (worker, run);
  if (run->fills && run->state == RUN_LIVE)
    sharing_ended (worker, now, run);
  for (guint i = 0; i < worker->runs->len; i++)
    if (g_array_index (worker->runs, handle_t, i) == handle)
      {
        g_array_remove_index_fast (worker->runs, i);
        break;
      }
  if (run->target_ms)
    sharing_count_use (shard, worker);
  table_remove (shard->runs, handle);
  shard->place_due = true;
}

void
run_requeue (shard_t *shard, usec_t now, handle_t handle, const char *why)
{
  run_t *run = run_get (shard, handle);
  entry_t *entry;
  occurrence_t *o;
  run_id_t name;

  char text[64];

  if (!run)
    return;
  name = run->name;
  log_line (
      LOG_LEVEL_INFO, "run.over", NULL,
      "task=%s run=%u worker=%s state=%d loose=%d answered_ms_ago=%" PRId64
      " why=\"%s\"",
      run_text (&name, text), name.run, worker_get (shard, run->worker)->id,
      (int)run->state, run->loose,
      run->answered ? usec_to_msec (now - run->answered) : -1, why);
  run_remove (shard, now, handle);
  entry = shard_entry (shard, name.job);
  o = entry ? job_occurrence (entry->job, name.occurrence) : NULL;
  if (!o)
    return;
  o->tasks[name.step][name.index].run_handle = HANDLE_NONE;
  task_requeue (entry->job, o, name.step, name.index);
  shard_mark_dirty (shard, entry);
  shard_settle (shard, entry);
}

void
run_ended (shard_t *shard, usec_t now, handle_t handle,
           const end_report_t *report)
{
  run_t *run = run_get (shard, handle);
  run_id_t name = run->name;
  handle_t worker = run->worker;
  entry_t *entry = shard_entry (shard, name.job);
  job_t *job = entry->job;
  occurrence_t *o = job_occurrence (job, name.occurrence);
  const step_t *step = &job->submission->steps[name.step];
  task_t *task = &o->tasks[name.step][name.index];
  task_t *counted = step->gang ? &o->tasks[name.step][0] : task;
  bool failed = report->end == RUN_FAILED;
  char text[64];

  log_line (failed || report->end == RUN_LEASE_EXPIRED ? LOG_LEVEL_NOTICE
                                                       : LOG_LEVEL_INFO,
            "run.end", NULL, "task=%s run=%u worker=%s how=%s ran_ms=%" PRId64,
            run_text (&name, text), name.run, worker_get (shard, worker)->id,
            run_end_name (report->end),
            run->answered ? usec_to_msec (now - run->answered) : -1);
  counter_add (failed ? COUNTER_RUNS_FAILED : COUNTER_RUNS_ENDED, 1);
  task_set_checkpoint (task, report->checkpoint);
  job->started = true;
  if (failed || report->end == RUN_DONE)
    worker_judge (worker_get (shard, worker), now, name.job, failed);
  if (report->end == RUN_DONE && !step->long_running)
    {
      finish_task (shard, now, entry, o, &name);
      return;
    }
  if (failed)
    {
      counted->failures++;
      task->avoid = worker;
    }
  if (step->gang && job->end_status == JOB_QUEUED)
    break_gang (shard, now, o, job, name.step);
  if (failed && !step->long_running && job->end_status == JOB_QUEUED
      && counted->failures >= MAX (job->submission->max_attempts, 1))
    {
      run_requeue (shard, now, handle, "ended");
      shard_end_job (shard, now, entry, JOB_FAILED);
      return;
    }
  run_requeue (shard, now, handle, "ended");
}

static void
finish_task (shard_t *shard, usec_t now, entry_t *entry, occurrence_t *o,
             const run_id_t *name)
{
  job_t *job = entry->job;
  handle_t handle = o->tasks[name->step][name->index].run_handle;

  if (job->end_status != JOB_QUEUED)
    {
      run_requeue (shard, now, handle, "ended");
      return;
    }
  shard_mark_dirty (shard, entry);
  if (job->submission->steps[name->step].gang)
    {
      finish_gang (shard, now, entry, o, name->step);
      return;
    }
  o->tasks[name->step][name->index].run_handle = HANDLE_NONE;
  run_remove (shard, now, handle);
  if (task_done (job, o, name->step, name->index))
    shard_end_job (shard, now, entry, JOB_COMPLETED);
}

/* The end of one member stands for all of them.  */
static void
finish_gang (shard_t *shard, usec_t now, entry_t *entry, occurrence_t *o,
             uint32_t step)
{
  job_t *job = entry->job;
  uint32_t count = job->submission->steps[step].count;
  bool completed = false;

  for (uint32_t i = 0; i < count; i++)
    {
      handle_t handle = o->tasks[step][i].run_handle;

      o->tasks[step][i].run_handle = HANDLE_NONE;
      if (run_get (shard, handle))
        run_remove (shard, now, handle);
      completed = task_done (job, o, step, i);
    }
  if (completed)
    shard_end_job (shard, now, entry, JOB_COMPLETED);
}

static void
break_gang (shard_t *shard, usec_t now, occurrence_t *o, const job_t *job,
            uint32_t step)
{
  for (uint32_t i = 0; i < job->submission->steps[step].count; i++)
    {
      const run_t *run = run_get (shard, o->tasks[step][i].run_handle);

      if (run && !run->unneeded)
        run_stop (shard, now, o->tasks[step][i].run_handle, "gang broken");
    }
}

void
run_lose_all (shard_t *shard, usec_t now, handle_t worker, const char *why)
{
  worker_t *w = worker_get (shard, worker);
  GArray *runs = g_array_copy (w->runs);

  if (runs->len)
    log_line (LOG_LEVEL_NOTICE, "worker.lost", w->address,
              "worker=%s runs=%u why=\"%s\" silent_ms=%" PRId64, w->id,
              runs->len, why, usec_to_msec (now - w->last_answer));
  for (guint i = 0; i < runs->len; i++)
    run_requeue (shard, now, g_array_index (runs, handle_t, i), why);
  g_array_free (runs, TRUE);
}

void
run_lose (shard_t *shard, usec_t now, handle_t handle)
{
  const run_t *run = run_get (shard, handle);

  /* The next life may yet carry the start out, until it has taken a stop.  */
  if (run->loose || run->start_busy)
    run_stop (shard, now, handle, "start of a former life not answered");
  else
    run_requeue (shard, now, handle, "life over");
}

void
run_stop (shard_t *shard, usec_t now, handle_t handle, const char *why)
{
  run_t *run = run_get (shard, handle);
  char text[64];

  if (!run || run->unneeded)
    return;
  if (run->state == RUN_UNWRITTEN || (run->state == RUN_SENDING && !run->sent))
    {
      run_requeue (shard, now, handle, why);
      return;
    }
  run->unneeded = true;
  run_set_due (shard, run, now);
  log_line (LOG_LEVEL_INFO, "run.stop", NULL, "task=%s run=%u why=\"%s\"",
            run_text (&run->name, text), run->name.run, why);
}

void
run_stop_job (shard_t *shard, usec_t now, const job_t *job, const char *why)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (handle_t));

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const occurrence_t *o = job->occurrences->pdata[k];

      for (uint32_t s = 0; s < job->submission->step_count; s++)
        for (uint32_t i = 0;
             o->placed[s] && i < job->submission->steps[s].count; i++)
          if (o->tasks[s][i].state == TASK_PLACED)
            g_array_append_val (handles, o->tasks[s][i].run_handle);
    }
  for (guint i = 0; i < handles->len; i++)
    run_stop (shard, now, g_array_index (handles, handle_t, i), why);
  g_array_free (handles, TRUE);
}

static void
adopt (shard_t *shard, job_t *job, occurrence_t *o, uint32_t step,
       uint32_t index)
{
  task_t *task = &o->tasks[step][index];
  handle_t worker = worker_find (shard, task->place.worker);
  worker_t *w;

  if (worker == HANDLE_NONE)
    worker = worker_add (shard, task->place.worker);
  w = worker_get (shard, worker);
  if (!w->life_ms)
    w->life_ms = task->place.life_ms;
  if (!w->address[0])
    {
      g_free (w->address);
      w->address = g_strdup (task->place.address);
    }
  run_add (shard, job, o, step, index, worker, RUN_ADOPTED);
}

void
run_adopt_job (shard_t *shard, job_t *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      occurrence_t *o = job->occurrences->pdata[k];

      for (uint32_t s = 0; s < job->submission->step_count; s++)
        for (uint32_t i = 0; i < job->submission->steps[s].count; i++)
          if (o->tasks[s][i].state == TASK_PLACED)
            adopt (shard, job, o, s, i);
    }
}

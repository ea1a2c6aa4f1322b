/** @file
 * Placement of the waiting tasks, in the order of shard_order.c on the workers
 * of shard_choose.c.
 */
#include "shard/shard_private.h"

static void place_step (shard_t *shard, usec_t now, candidate_t *c);
static bool place_task (shard_t *shard, usec_t now, const candidate_t *c,
                        uint32_t index);
static void impose (const shard_t *shard, usec_t now, const candidate_t *c,
                    run_t *run);
static void note_placed (const shard_t *shard, const candidate_t *c,
                         uint32_t index);
static void place_gang (shard_t *shard, usec_t now, const candidate_t *c);
static void undo_gang_placement (shard_t *shard, usec_t now,
                                 const candidate_t *c, uint32_t count);

void
place_all (shard_t *shard, usec_t now)
{
  GArray *candidates = order_candidates (shard);

  g_array_set_size (shard->unplaceable, 0);
  reserve_begin_pass (shard, now);
  shard->waiting_tasks = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      candidate_t *c = &g_array_index (candidates, candidate_t, i);

      c->starved = waits_is_starved (now, c);
      place_step (shard, now, c);
      waits_note (shard, now, c);
      shard->waiting_tasks += c->occurrence->unfinished[c->step]
                              - c->occurrence->placed[c->step];
    }
  g_array_free (candidates, TRUE);
}

static void
place_step (shard_t *shard, usec_t now, candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];

  choose_reset (shard);
  if (step->gang)
    {
      place_gang (shard, now, c);
      return;
    }
  for (uint32_t i = 0; i < step->count; i++)
    {
      const task_t *task = &c->occurrence->tasks[c->step][i];

      if (task->state != TASK_WAITING || crashes_delay (now, task)
          || (shard->held_back && reserve_concerns (step, task)))
        continue;
      if (place_task (shard, now, c, i))
        {
          note_placed (shard, c, i);
          c->starved = false;
        }
      else if (crashes_suspicion (task) == SUSPICION_NONE && !shard->held_back)
        return;
    }
}

static bool
place_task (shard_t *shard, usec_t now, const candidate_t *c, uint32_t index)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t handle = choose_worker (shard, now, c, index);
  worker_t *worker = worker_get (shard, handle);
  bool imposed;
  place_t place;
  run_t *run;

  if (!worker)
    return false;
  imposed = c->starved && !sharing_allows (shard, now, worker, step, c->image);
  place = (place_t){ worker->id, worker->started_ms, worker->address };
  task_place (c->entry->job, c->occurrence, c->step, index, &place);
  run = run_get (shard, run_add (shard, c->entry->job, c->occurrence, c->step,
                                 index, handle, RUN_UNSTORED, false));
  sharing_task_placed (shard, now, worker, step);
  reserve_placed (shard, worker, run);
  if (imposed)
    impose (shard, now, c, run);
  shard_mark_dirty (shard, c->entry);
  choose_placed (shard, now, c, handle);
  return true;
}

/* The task runs although it is expected to raise a tail latency over its
   target. */
static void
impose (const shard_t *shard, usec_t now, const candidate_t *c, run_t *run)
{
  worker_t *worker = worker_get (shard, run->worker);
  char text[64];

  sharing_impose (now, worker, run);
  counter_add (COUNTER_RUNS_IMPOSED, 1);
  log_item (LOG_LEVEL_INFO, run->run_id.job, "run.imposed", worker->address,
            "task=%s run=%u worker=%s idle_ms=%" PRId64
            " beside=%u disturbs all workers with room",
            run_format_id (&run->run_id, text), run->run_id.run, worker->id,
            usec_to_msec (now - c->entry->idle_since), worker->serving_runs);
}

static void
note_placed (const shard_t *shard, const candidate_t *c, uint32_t index)
{
  const task_t *task = &c->occurrence->tasks[c->step][index];
  run_t *run = run_get (shard, task->run_handle);

  c->entry->idle_since = 0;
  crashes_run_placed (worker_get (shard, run->worker), run, task);
}

/* Places all members of a gang or none, with the same run number.  Members
   under suspicion are not kept apart from each other. */
static void
place_gang (shard_t *shard, usec_t now, const candidate_t *c)
{
  uint32_t count = c->entry->job->submission->steps[c->step].count;
  task_t *tasks = c->occurrence->tasks[c->step];
  uint32_t highest = 0;
  const char *saved = NULL;
  bool was_dirty = c->entry->dirty;

  if (c->occurrence->placed[c->step])
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      if (crashes_delay (now, &tasks[i]))
        return;
      highest = MAX (highest, tasks[i].run);
      saved = tasks[i].checkpoint ? tasks[i].checkpoint : saved;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].run = highest;
      if (place_task (shard, now, c, i))
        continue;
      tasks[i].run = highest;
      undo_gang_placement (shard, now, c, i);
      if (!was_dirty)
        shard_unmark_dirty (shard, c->entry);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      task_set_checkpoint (&tasks[i], saved);
      note_placed (shard, c, i);
    }
}

/* Undoes the placement of the first COUNT members of a gang.  */
static void
undo_gang_placement (shard_t *shard, usec_t now, const candidate_t *c,
                     uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      run_requeue (shard, now, c->occurrence->tasks[c->step][i].run_handle,
                   "too little capacity for the whole gang");
      c->occurrence->tasks[c->step][i].run--;
    }
  /* The freed capacity may be sufficient for steps that did not fit before. */
  g_array_set_size (shard->unplaceable, 0);
  shard->kept.service = NULL;
  choose_reset (shard);
}

/** @file
 * Copies of late runs.
 *
 * The first run of a task that is done ends the task.  The other one then has
 * no task any more (run_t.lost): it is stopped, and only keeps its capacity
 * reserved until it is known to have ended.  It is not on record: a new owner
 * stops it when its worker lists it.
 */
#include "shard/shard_private.h"

/* Interval of the passes over the runs that may get a copy. */
#define COPIES_INTERVAL (100 * USEC_PER_MSEC)

/* Millicores of all runs, and of copies and lost runs among them. */
typedef struct
{
  uint64_t used;
  uint64_t copies;
} load_t;

static load_t measure_load (const shard_t *shard);
static bool may_get_copy (const run_t *run, const task_t *task);
static bool is_late (const shard_t *shard, usec_t now, const run_t *run,
                     const load_t *load, copies_case_t *found);
static bool start_copy (shard_t *shard, usec_t now, handle_t handle,
                        const copies_case_t *found);
static void log_copy (const shard_t *shard, const run_t *copy, handle_t own,
                      const copies_case_t *found);

static copies_step_t
step_of (const run_id_t *run_id)
{
  return (copies_step_t){ run_id->job, run_id->occurrence, run_id->step };
}

/* The time of a run that a former owner started is not known. */
void
copies_run_done (shard_t *shard, usec_t now, const run_t *run)
{
  copies_step_t step = step_of (&run->run_id);

  if (run->speculative && run->start_sent && run->accepted_at)
    copies_note_done (shard->copies, &step,
                      (uint32_t)usec_to_msec (now - run->accepted_at));
}

void
copies_step_done (shard_t *shard, const run_id_t *run_id)
{
  copies_step_t step = step_of (run_id);

  copies_forget_step (shard->copies, &step);
}

usec_t
copies_tick (shard_t *shard, usec_t now)
{
  load_t load;

  if (now < shard->copies_due)
    return shard->copies_due;
  shard->copies_due = now + COPIES_INTERVAL;
  load = measure_load (shard);
  if (shard->append_retry || shard->quiesced || shard->placement_needed
      || !zones_are_current (shard, now))
    return shard->copies_due;
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      const run_t *run = run_get (shard, h);
      copies_case_t found;

      if (!run->speculative || !may_get_copy (run, run_task (shard, run)))
        continue;
      if (is_late (shard, now, run, &load, &found)
          && start_copy (shard, now, h, &found))
        load.copies += run_get (shard, h)->millicores;
    }
  return shard->copies_due;
}

static load_t
measure_load (const shard_t *shard)
{
  load_t load = { 0 };

  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      const run_t *run = run_get (shard, h);

      load.used += run->millicores;
      load.copies += run->copy || run->lost ? run->millicores : 0;
    }
  return load;
}

/* A task that may crash its worker gets no copy. */
static bool
may_get_copy (const run_t *run, const task_t *task)
{
  return task && !task->copy && run->state == RUN_ACKNOWLEDGED
         && !run->stop_requested && crashes_suspicion (task) == SUSPICION_NONE;
}

static bool
is_late (const shard_t *shard, usec_t now, const run_t *run,
         const load_t *load, copies_case_t *found)
{
  const submission_t *order = run_entry (shard, run)->job->submission;
  copies_step_t step = step_of (&run->run_id);

  *found = (copies_case_t){
    .ran_ms = usec_to_msec (now - run->accepted_at),
    .expected_ms = copies_expected_ms (
        shard->copies, &step, order->steps[run->run_id.step].declared_ms),
    .failures = run_task (shard, run)->failures,
    .max_attempts = order->max_attempts,
    .copy_millicores = load->copies,
    .budget_percent = shard->config.copy_percent,
    .used_millicores = load->used,
    .ms_since_takeover = usec_to_msec (now - shard->owned_since),
    .waiting_tasks = shard->waiting_tasks
  };
  return copies_allow (found);
}

/* @return whether a worker fits */
static bool
start_copy (shard_t *shard, usec_t now, handle_t handle,
            const copies_case_t *found)
{
  const run_t *run = run_get (shard, handle);
  run_id_t id = run->run_id;
  handle_t own = run->worker;
  job_entry_t *entry = run_entry (shard, run);
  const step_t *step = &entry->job->submission->steps[id.step];
  candidate_t c = { .entry = entry,
                    .occurrence = job_occurrence (entry->job, id.occurrence),
                    .step = id.step,
                    .image = interference_image_id (step->image) };
  handle_t other = choose_worker_for_copy (shard, now, &c, id.index, own);
  worker_t *worker = worker_get (shard, other);
  task_t *task = run_task (shard, run);
  place_t place;
  run_t *copy;

  if (!worker)
    return false;
  place = (place_t){ worker->id, worker->started_ms, worker->address };
  task_place_copy (task, &place);
  copy = run_get (shard, run_add (shard, entry->job, c.occurrence, id.step,
                                  id.index, other, RUN_UNSTORED, true));
  copy->placed_at = now;
  sharing_task_placed (shard, now, worker, step);
  crashes_run_placed (worker, copy, task);
  shard_mark_dirty (shard, entry);
  counter_add (COUNTER_COPIES, 1);
  log_copy (shard, copy, own, found);
  return true;
}

static void
log_copy (const shard_t *shard, const run_t *copy, handle_t own,
          const copies_case_t *found)
{
  const worker_t *worker = worker_get (shard, copy->worker);
  char text[64];

  log_item (LOG_LEVEL_INFO, copy->run_id.job, "run.copy", worker->address,
            "task=%s run=%u worker=%s late_on=%s ran_ms=%" PRId64
            " expected_ms=%u copies=%" PRIu64 "/%" PRIu64,
            run_format_id (&copy->run_id, text), copy->run_id.run, worker->id,
            worker_get (shard, own)->id, found->ran_ms, found->expected_ms,
            found->copy_millicores, found->used_millicores);
}

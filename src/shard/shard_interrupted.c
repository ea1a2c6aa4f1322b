/** @file
 * Long-running tasks that have lost their run.
 *
 * They are placed before all other work, of any priority, and if no worker has
 * room for one in time, runs that can wait are stopped for it.  Which ones,
 * and the load that this answers, are in preemption.h.  Without such tasks
 * nothing here has an effect.
 *
 * Neither gangs nor best-effort tasks have runs stopped for them, nor tasks
 * that are suspected of crashing workers: they would cost others their work
 * each time.
 */
#include "shard/preemption.h"
#include "shard/shard_private.h"

/* A worker on which room can be made. */
typedef struct
{
  handle_t worker;
  resources_t free; /* with what stopped runs leave, less what is held */
  resources_t most; /* the same with all of RUNS */
  GArray *runs;     /* preemptible_t, sorted */
} room_t;

/* A task for which room was found in the current pass. */
typedef struct
{
  const occurrence_t *occurrence;
  uint32_t step;
  handle_t worker;
} held_t;

/* The rooms of a pass. */
typedef struct
{
  GArray *rooms;    /* room_t */
  GArray *held;     /* held_t */
  resources_t most; /* of each resource, no worker has more */
} plan_t;

static bool find_interrupted (const candidate_t *c, usec_t *last_ran);
static gint compare_interrupted (gconstpointer left, gconstpointer right);
static bool may_have_room_made (const candidate_t *c);
static void drop_held (shard_t *shard);
static void find_rooms (const shard_t *shard, usec_t now, plan_t *plan);
static void room_clear (void *data);
static void add_run (const shard_t *shard, usec_t now, handle_t handle,
                     room_t *room);
static uint64_t work_done_ms (usec_t now, const run_t *run,
                              const step_t *step);
static void make_room_for_step (shard_t *shard, usec_t now,
                                const candidate_t *c, plan_t *plan);
static bool may_preempt (const shard_t *shard, usec_t now, const task_t *task);
static room_t *find_room (const shard_t *shard, usec_t now,
                          const candidate_t *c, uint32_t index, plan_t *plan,
                          bool preempt);
static bool is_limited (const candidate_t *c, handle_t worker,
                        const GArray *held);
static void preempt (shard_t *shard, usec_t now, const candidate_t *c,
                     uint32_t index, room_t *room);
static void hold_room (shard_t *shard, const candidate_t *c, room_t *room,
                       GArray *held);
static resources_t needs_of (const step_t *step);

void
interrupted_note (usec_t now, const run_t *run, task_t *task)
{
  usec_t last_ran = MAX (run->listed_at, run->acknowledged_at);

  if (!last_ran && run->state != RUN_ADOPTED)
    return;
  /* A run was not over for longer than its leases may have lasted.  Of one
     that its worker has not listed since the takeover nothing else is
     known. */
  task->has_run = true;
  task->last_ran = MAX (last_ran, now - PREEMPTION_LEASE_TIME);
}

/* The records do not tell when the last run was under way: its leases may have
   expired just before the takeover. */
void
interrupted_note_loaded (usec_t now, job_t *job)
{
  for (guint k = 0; job->started && k < job->occurrences->len; k++)
    {
      occurrence_t *occurrence = job->occurrences->pdata[k];

      for (uint32_t s = 0; s < job->submission->step_count; s++)
        for (uint32_t i = 0; i < job->submission->steps[s].count; i++)
          {
            task_t *task = &occurrence->tasks[s][i];

            if (task->state != TASK_WAITING || !task->run)
              continue;
            task->has_run = true;
            task->last_ran = now - PREEMPTION_LEASE_TIME;
          }
    }
}

bool
interrupted_is (const step_t *step, const task_t *task)
{
  return step->long_running && task->has_run && task->state == TASK_WAITING;
}

void
interrupted_prefer (shard_t *shard, GArray *candidates)
{
  GArray *first = g_array_new (FALSE, FALSE, sizeof (candidate_t));

  drop_held (shard);
  for (guint i = 0; i < candidates->len; i++)
    {
      candidate_t c = g_array_index (candidates, candidate_t, i);

      c.interrupted = find_interrupted (&c, &c.last_ran);
      if (c.interrupted)
        g_array_append_val (first, c);
    }
  g_array_sort (first, compare_interrupted);
  if (first->len)
    g_array_prepend_vals (candidates, first->data, first->len);
  g_array_free (first, TRUE);
}

static bool
find_interrupted (const candidate_t *c, usec_t *last_ran)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  bool found = false;

  for (uint32_t i = 0; step->long_running && i < step->count; i++)
    {
      const task_t *task = &c->occurrence->tasks[c->step][i];

      if (!interrupted_is (step, task))
        continue;
      *last_ran = found ? MIN (*last_ran, task->last_ran) : task->last_ran;
      found = true;
    }
  return found;
}

/* The sort is stable: steps whose runs were lost at the same moment stay in
   the order of their priorities. */
static gint
compare_interrupted (gconstpointer left, gconstpointer right)
{
  const candidate_t *a = left;
  const candidate_t *b = right;

  return (a->last_ran > b->last_ran) - (a->last_ran < b->last_ran);
}

static void
drop_held (shard_t *shard)
{
  for (handle_t h = table_next (shard->workers, HANDLE_NONE);
       shard->room_held && h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);

      worker->held_millicores = 0;
      worker->held_memory_mb = 0;
      worker->held_accelerators = 0;
    }
  shard->room_held = false;
}

void
interrupted_make_room (shard_t *shard, usec_t now, const GArray *candidates)
{
  plan_t plan = { .rooms = NULL };

  for (guint i = 0; i < candidates->len; i++)
    {
      const candidate_t *c = &g_array_index (candidates, candidate_t, i);
      usec_t last_ran;

      if (!c->interrupted)
        break;
      if (!may_have_room_made (c) || !find_interrupted (c, &last_ran))
        continue;
      if (!plan.rooms)
        find_rooms (shard, now, &plan);
      make_room_for_step (shard, now, c, &plan);
    }
  if (!plan.rooms)
    return;
  g_array_free (plan.rooms, TRUE);
  g_array_free (plan.held, TRUE);
}

static bool
may_have_room_made (const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];

  return !step->gang && !step->best_effort;
}

static void
find_rooms (const shard_t *shard, usec_t now, plan_t *plan)
{
  plan->held = g_array_new (FALSE, FALSE, sizeof (held_t));
  plan->rooms = g_array_new (FALSE, FALSE, sizeof (room_t));
  g_array_set_clear_func (plan->rooms, room_clear);
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      room_t room = { .worker = h };

      if (!worker->listed || worker->in_doubt || worker->leaving)
        continue;
      room.runs = g_array_new (FALSE, FALSE, sizeof (preemptible_t));
      room.free = (resources_t){
        (int64_t)worker->millicores - (int64_t)worker->used_millicores,
        (int64_t)worker->memory_mb - (int64_t)worker->used_memory_mb,
        (int64_t)worker->accelerators - (int64_t)worker->used_accelerators
      };
      for (guint i = 0; i < worker->runs->len; i++)
        add_run (shard, now, g_array_index (worker->runs, handle_t, i), &room);
      preemption_sort ((preemptible_t *)room.runs->data, room.runs->len);
      resources_add (&room.most, &room.free);
      resources_raise (&plan->most, &room.most);
      g_array_append_val (plan->rooms, room);
    }
}

static void
room_clear (void *data)
{
  g_array_free (((room_t *)data)->runs, TRUE);
}

/* A run that is being stopped counts as free for as long as a stop should
   take.  One whose start was not answered cannot be stopped as fast. */
static void
add_run (const shard_t *shard, usec_t now, handle_t handle, room_t *room)
{
  const run_t *run = run_get (shard, handle);
  const job_entry_t *entry = shard_entry (shard, run->run_id.job);
  const step_t *step = &entry->job->submission->steps[run->run_id.step];
  const task_t *task;
  preemptible_t row = { .handle = handle };

  /* Best-effort runs use no reserved cores. */
  row.frees = (resources_t){ run->best_effort ? 0 : run->millicores,
                             run->memory_mb, run->accelerators };
  if (run->stop_requested)
    {
      if (now - run->unsettled_since < PREEMPTION_INTERVAL)
        resources_add (&room->free, &row.frees);
      return;
    }
  if (!run->can_wait || run->start_in_flight || run->start_unanswered
      || run->state == RUN_ADOPTED)
    return;
  task = job_task (entry->job, run->run_id.occurrence, run->run_id.step,
                   run->run_id.index);
  row.checkpointed = task->checkpoint != NULL;
  row.loss = (uint64_t)run->millicores * work_done_ms (now, run, step);
  resources_add (&room->most, &row.frees);
  g_array_append_val (room->runs, row);
}

/* @return what the run has worked, in ms.  A new owner knows only its share of
   the declared time. */
static uint64_t
work_done_ms (usec_t now, const run_t *run, const step_t *step)
{
  uint64_t listed = (uint64_t)step->declared_ms * run->percent / 100;
  uint64_t known = 0;

  if (run->acknowledged_at)
    known = (uint64_t)usec_to_msec (now - run->acknowledged_at);
  return MAX (listed, known);
}

static void
make_room_for_step (shard_t *shard, usec_t now, const candidate_t *c,
                    plan_t *plan)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  bool has_free_room = true;

  for (uint32_t i = 0; i < step->count; i++)
    {
      const task_t *task = &c->occurrence->tasks[c->step][i];
      room_t *room = NULL;

      if (!interrupted_is (step, task)
          || crashes_suspicion (task) != SUSPICION_NONE)
        continue;
      if (has_free_room)
        room = find_room (shard, now, c, i, plan, false);
      has_free_room = room != NULL;
      if (!room && may_preempt (shard, now, task))
        {
          room = find_room (shard, now, c, i, plan, true);
          /* The other tasks of the step need as much. */
          if (!room)
            return;
          preempt (shard, now, c, i, room);
        }
      if (room)
        hold_room (shard, c, room, plan->held);
    }
}

/* While the store refuses appends, the task could not be started. */
static bool
may_preempt (const shard_t *shard, usec_t now, const task_t *task)
{
  return !shard->append_retry && now >= preemption_due (task->last_ran)
         && (!task->room_made || now - task->room_made >= PREEMPTION_INTERVAL);
}

/* @param preempt whether runs may be stopped; they are marked then
   @return the worker where room for the task costs least, NULL for none */
static room_t *
find_room (const shard_t *shard, usec_t now, const candidate_t *c,
           uint32_t index, plan_t *plan, bool preempt)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  const task_t *task = &c->occurrence->tasks[c->step][index];
  resources_t needs = needs_of (step);
  preemption_cost_t best_cost = { 0 };
  room_t *best = NULL;

  if (!resources_suffice (&plan->most, &needs))
    return NULL;
  for (guint i = 0; i < plan->rooms->len; i++)
    {
      room_t *room = &g_array_index (plan->rooms, room_t, i);
      const worker_t *worker = worker_get (shard, room->worker);
      preemptible_t *runs = (preemptible_t *)room->runs->data;
      preemption_cost_t cost;

      if (!resources_suffice (preempt ? &room->most : &room->free, &needs)
          || !preemption_plan (&needs, &room->free, runs,
                               preempt ? room->runs->len : 0, &cost)
          || room->worker == task->avoid || crashes_keep_apart (worker, task)
          || !worker_suits (shard, now, worker, c)
          || is_limited (c, room->worker, plan->held))
        continue;
      /* As where there is room: a worker where a tail latency exceeds its
         target is the last choice. */
      cost.disturbed = !sharing_allows (shard, now, worker, step, c->image);
      if (best && preemption_compare (&cost, &best_cost) >= 0)
        continue;
      best = room;
      best_cost = cost;
    }
  return best;
}

/* A pass makes room for one task of a step with a limit of tasks per worker on
   each worker. */
static bool
is_limited (const candidate_t *c, handle_t worker, const GArray *held)
{
  if (!c->entry->job->submission->steps[c->step].max_per_worker)
    return false;
  for (guint i = 0; i < held->len; i++)
    {
      const held_t *row = &g_array_index (held, held_t, i);

      if (row->occurrence == c->occurrence && row->step == c->step
          && row->worker == worker)
        return true;
    }
  return false;
}

/* Stops the runs that are marked in the room. */
static void
preempt (shard_t *shard, usec_t now, const candidate_t *c, uint32_t index,
         room_t *room)
{
  task_t *task = &c->occurrence->tasks[c->step][index];
  const worker_t *worker = worker_get (shard, room->worker);
  const run_id_t run_id = { c->entry->job->id, c->occurrence->number, c->step,
                            index, task->run };
  char text[64];
  uint32_t stopped = 0;
  guint kept = 0;

  for (guint i = 0; i < room->runs->len; i++)
    {
      preemptible_t row = g_array_index (room->runs, preemptible_t, i);

      if (!row.chosen)
        {
          g_array_index (room->runs, preemptible_t, kept++) = row;
          continue;
        }
      resources_add (&room->free, &row.frees);
      run_stop (shard, now, row.handle,
                "makes room for a long-running task that lost its run");
      stopped++;
    }
  g_array_set_size (room->runs, kept);
  task->room_made = now;
  counter_add (COUNTER_RUNS_PREEMPTED, stopped);
  log_item (LOG_LEVEL_NOTICE, run_id.job, "task.preempts", worker->address,
            "task=%s worker=%s stopped=%u last_ran_ms_ago=%" PRId64,
            run_format_id (&run_id, text), worker->id, stopped,
            usec_to_msec (now - task->last_ran));
}

static void
hold_room (shard_t *shard, const candidate_t *c, room_t *room, GArray *held)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  worker_t *worker = worker_get (shard, room->worker);
  const resources_t needs = needs_of (step);
  const held_t row = { c->occurrence, c->step, room->worker };

  worker->held_millicores += step->millicores;
  worker->held_memory_mb += step->memory_mb;
  worker->held_accelerators += step->accelerators;
  shard->room_held = true;
  resources_subtract (&room->free, &needs);
  resources_subtract (&room->most, &needs);
  g_array_append_val (held, row);
}

static resources_t
needs_of (const step_t *step)
{
  return (resources_t){ step->millicores, step->memory_mb,
                        step->accelerators };
}

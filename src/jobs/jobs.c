/** @file
 * State of a job and its tasks.
 */
#include "jobs/jobs.h"

#include <errno.h>
#include <string.h>

#define ID_DIGITS 16U

static const char *const status_names[]
    = { "queued", "running", "completed", "failed", "canceled" };

static occurrence_t *occurrence_new (const submission_t *order,
                                     uint32_t number);
static void occurrence_free (const submission_t *order, occurrence_t *o);
static void place_clear (place_t *place);
static int check_step (const submission_t *order, uint32_t index, err_t *err);
static bool may_unfold (const job_t *job);

const char *
job_status_name (job_status_t status)
{
  return status_names[status];
}

bool
job_id_parse (const char *text, size_t len, job_id_t *id)
{
  *id = 0;
  if (len != ID_DIGITS)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      *id = *id << 4 | (unsigned)digit;
    }
  return true;
}

int
submission_check (const submission_t *order, err_t *err)
{
  uint64_t tasks = 0;

  if (!order->step_count || order->step_count > JOB_MAX_STEPS)
    return err_set (err, -EINVAL, "job", "", "a job has 1 to %u steps",
                    JOB_MAX_STEPS);
  if (!order->spec || strlen (order->spec) > JOB_MAX_SPEC_BYTES)
    return err_set (err, -EINVAL, "job", "", "spec is missing or too long");
  for (uint32_t i = 0; i < order->step_count; i++)
    {
      int code = check_step (order, i, err);

      if (code)
        return code;
      tasks += order->steps[i].count;
    }
  if (tasks > JOB_MAX_TASKS)
    return err_set (err, -EINVAL, "job", "", "more than %u tasks",
                    JOB_MAX_TASKS);
  if (order->first_due_ms < 0 || order->first_due_ms > JOB_MAX_DUE_MS
      || order->interval_ms < 0
      || order->interval_ms > (JOB_MAX_DUE_MS - order->first_due_ms)
                                  / MAX (order->occurrence_count, 1))
    return err_set (err, -EINVAL, "job", "", "a time is out of range");
  return 0;
}

static int
check_step (const submission_t *order, uint32_t index, err_t *err)
{
  const step_t *step = &order->steps[index];

  if (!step->count || step->count > JOB_MAX_TASKS)
    return err_set (err, -EINVAL, "job", "", "step %u has %u tasks", index,
                    step->count);
  for (uint32_t i = 0; i < step->depends_on_count; i++)
    if (step->depends_on[i] >= index)
      return err_set (err, -EINVAL, "job", "",
                      "step %u depends on step %u, which is not earlier",
                      index, step->depends_on[i]);
  return 0;
}

void
submission_free (submission_t *order)
{
  if (!order)
    return;
  for (uint32_t i = 0; i < order->step_count; i++)
    {
      g_free (order->steps[i].depends_on);
      g_free (order->steps[i].required_label);
      g_free (order->steps[i].data_rack);
      g_free (order->steps[i].image);
    }
  g_free (order->steps);
  g_free (order->queue);
  g_free (order->service);
  g_free (order->spec);
  g_free (order);
}

job_t *
job_new (submission_t *order)
{
  job_t *job = g_new0 (job_t, 1);

  job->id = order->id;
  job->submission = order;
  job->occurrences = g_ptr_array_new ();
  return job;
}

job_t *
job_new_ended (job_id_t id, job_status_t end, int64_t ended_ms)
{
  job_t *job = g_new0 (job_t, 1);

  job->id = id;
  job->end_status = end;
  job->ended_ms = ended_ms;
  job->occurrences = g_ptr_array_new ();
  return job;
}

void
job_free (job_t *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    occurrence_free (job->submission, job->occurrences->pdata[i]);
  g_ptr_array_free (job->occurrences, TRUE);
  submission_free (job->submission);
  g_free (job);
}

static occurrence_t *
occurrence_new (const submission_t *order, uint32_t number)
{
  occurrence_t *o = g_new0 (occurrence_t, 1);

  o->number = number;
  o->due_ms = order->occurrence_count
                  ? order->first_due_ms + number * order->interval_ms
                  : order->accepted_ms;
  o->tasks = g_new0 (task_t *, order->step_count);
  o->unfinished = g_new0 (uint32_t, order->step_count);
  o->placed = g_new0 (uint32_t, order->step_count);
  for (uint32_t s = 0; s < order->step_count; s++)
    {
      o->unfinished[s] = order->steps[s].count;
      o->tasks[s] = g_new0 (task_t, order->steps[s].count);
    }
  return o;
}

static void
occurrence_free (const submission_t *order, occurrence_t *o)
{
  for (uint32_t s = 0; s < order->step_count; s++)
    {
      for (uint32_t i = 0; i < order->steps[s].count; i++)
        {
          place_clear (&o->tasks[s][i].place);
          g_free (o->tasks[s][i].checkpoint);
        }
      g_free (o->tasks[s]);
    }
  g_free (o->tasks);
  g_free (o->unfinished);
  g_free (o->placed);
  g_free (o);
}

static void
place_clear (place_t *place)
{
  g_clear_pointer (&place->worker, g_free);
  g_clear_pointer (&place->address, g_free);
  place->life_ms = 0;
}

/* Occurrences that are long overdue, or due all at once, wait for room.  */
static bool
may_unfold (const job_t *job)
{
  uint64_t tasks = 0;

  for (uint32_t s = 0; s < job->submission->step_count; s++)
    tasks += job->submission->steps[s].count;
  return !job->occurrences->len
         || (job->occurrences->len + 1) * tasks <= JOB_MAX_TASKS;
}

uint32_t
job_create_due_occurrences (job_t *job, int64_t wall_ms)
{
  uint32_t made = 0;

  while (job_next_due (job) <= wall_ms && may_unfold (job))
    {
      g_ptr_array_add (
          job->occurrences,
          occurrence_new (job->submission, job->next_occurrence++));
      made++;
    }
  return made;
}

int64_t
job_next_due (const job_t *job)
{
  const submission_t *order = job->submission;

  if (!order || job->end_status != JOB_QUEUED
      || job->next_occurrence >= MAX (order->occurrence_count, 1))
    return INT64_MAX;
  if (!order->occurrence_count)
    return INT64_MIN;
  return order->first_due_ms + job->next_occurrence * order->interval_ms;
}

occurrence_t *
job_occurrence (const job_t *job, uint32_t number)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      occurrence_t *o = job->occurrences->pdata[i];

      if (o->number == number)
        return o;
    }
  return NULL;
}

task_t *
job_task (const job_t *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
  occurrence_t *o = job_occurrence (job, occurrence);

  if (!o || step >= job->submission->step_count
      || index >= job->submission->steps[step].count)
    return NULL;
  return &o->tasks[step][index];
}

bool
step_is_ready (const job_t *job, const occurrence_t *occurrence, uint32_t step)
{
  const step_t *s = &job->submission->steps[step];

  if (!occurrence->unfinished[step])
    return false;
  for (uint32_t i = 0; i < s->depends_on_count; i++)
    if (occurrence->unfinished[s->depends_on[i]])
      return false;
  return true;
}

void
task_place (job_t *job, occurrence_t *occurrence, uint32_t step,
            uint32_t index, const place_t *place)
{
  task_t *task = &occurrence->tasks[step][index];

  task->state = TASK_PLACED;
  task->run++;
  place_clear (&task->place);
  task->place.worker = g_strdup (place->worker);
  task->place.life_ms = place->life_ms;
  task->place.address = g_strdup (place->address ? place->address : "");
  occurrence->placed[step]++;
  job->placed++;
}

static void
unplace (job_t *job, occurrence_t *occurrence, uint32_t step, uint32_t index)
{
  task_t *task = &occurrence->tasks[step][index];

  if (task->state != TASK_PLACED)
    return;
  place_clear (&task->place);
  occurrence->placed[step]--;
  job->placed--;
}

void
task_set_checkpoint (task_t *task, const char *saved)
{
  if (!saved || !*saved || g_strcmp0 (task->checkpoint, saved) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (saved);
}

void
task_requeue (job_t *job, occurrence_t *occurrence, uint32_t step,
              uint32_t index)
{
  unplace (job, occurrence, step, index);
  occurrence->tasks[step][index].state = TASK_WAITING;
}

bool
task_done (job_t *job, occurrence_t *occurrence, uint32_t step, uint32_t index)
{
  unplace (job, occurrence, step, index);
  occurrence->tasks[step][index].state = TASK_DONE;
  g_clear_pointer (&occurrence->tasks[step][index].checkpoint, g_free);
  occurrence->unfinished[step]--;
  for (uint32_t s = 0; s < job->submission->step_count; s++)
    if (occurrence->unfinished[s])
      return false;
  g_ptr_array_remove (job->occurrences, occurrence);
  occurrence_free (job->submission, occurrence);
  return !job->occurrences->len
         && job->next_occurrence >= MAX (job->submission->occurrence_count, 1);
}

void
job_end (job_t *job, job_status_t end, int64_t wall_ms)
{
  job->end_status = end;
  job->ended_ms = wall_ms;
}

void
job_free_details (job_t *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    occurrence_free (job->submission, job->occurrences->pdata[i]);
  g_ptr_array_set_size (job->occurrences, 0);
  submission_free (job->submission);
  job->submission = NULL;
}

job_status_t
job_status (const job_t *job)
{
  if (job->end_status != JOB_QUEUED)
    return job->end_status;
  return job->started ? JOB_RUNNING : JOB_QUEUED;
}

uint64_t
job_critical_path_ms (const job_t *job, const occurrence_t *occurrence)
{
  const submission_t *order = job->submission;
  uint64_t *upto = g_new0 (uint64_t, order->step_count);
  uint64_t longest = 0;

  for (uint32_t s = 0; s < order->step_count; s++)
    {
      const step_t *step = &order->steps[s];

      for (uint32_t i = 0; i < step->depends_on_count; i++)
        upto[s] = MAX (upto[s], upto[step->depends_on[i]]);
      if (!occurrence || occurrence->unfinished[s])
        upto[s] += step->declared_ms;
      longest = MAX (longest, upto[s]);
    }
  g_free (upto);
  return longest;
}

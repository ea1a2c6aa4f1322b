/** @file
 * State transitions of jobs and their tasks.
 */
#include "jobs/jobs.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#define BITS_PER_DIGIT 4U
#define JOB_ID_NUMBER_BITS 64U
/* Of malloc: the header of a chunk, the multiple to which its size is rounded
   up, and the least size. */
#define HEAP_HEADER_BYTES 8U
#define HEAP_ALIGNMENT 16U
#define HEAP_MIN_BYTES 32U

static const char *const status_names[]
    = { "queued", "running", "completed", "failed", "canceled" };

static uint64_t string_heap_bytes (const char *text);
static occurrence_t *occurrence_new (const submission_t *submission,
                                     uint32_t number);
static void occurrence_free (const submission_t *submission,
                             occurrence_t *occurrence);
static void place_clear (place_t *place);
static void place_copy (place_t *to, const place_t *from);
static void drop_copy (task_t *task);
static int check_step (const submission_t *submission, uint32_t index,
                       err_t *err);
static bool has_room_for_occurrence (const job_t *job);

const char *
job_status_name (job_status_t status)
{
  return status_names[status];
}

bool
job_id_parse (const char *text, size_t len, job_id_t *id)
{
  uint64_t number = 0;
  uint64_t capitals = 0;

  *id = 0;
  if (len != JOB_ID_DIGITS)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      number = number << BITS_PER_DIGIT | (unsigned)digit;
      capitals = capitals << 1 | g_ascii_isupper (text[i]);
    }
  *id = job_id_make (number, capitals);
  return true;
}

job_id_t
job_id_make (uint64_t number, uint64_t capitals)
{
  uint64_t letters = 0;

  for (uint32_t i = 0; i < JOB_ID_DIGITS; i++)
    if ((number >> i * BITS_PER_DIGIT & 0xf) > 9)
      letters |= UINT64_C (1) << i;
  return (job_id_t)(capitals & letters) << JOB_ID_NUMBER_BITS | number;
}

uint64_t
job_id_number (job_id_t id)
{
  return (uint64_t)id;
}

uint32_t
job_id_capitals (job_id_t id)
{
  return (uint32_t)(id >> JOB_ID_NUMBER_BITS);
}

const char *
job_id_format (job_id_t id, char out[JOB_ID_TEXT_SIZE])
{
  g_snprintf (out, JOB_ID_TEXT_SIZE, "%016" PRIx64, job_id_number (id));
  for (uint32_t i = 0; i < JOB_ID_DIGITS; i++)
    if (job_id_capitals (id) >> i & 1)
      out[JOB_ID_DIGITS - 1 - i]
          = g_ascii_toupper (out[JOB_ID_DIGITS - 1 - i]);
  return out;
}

guint
job_id_hash (gconstpointer id)
{
  uint64_t number = job_id_number (*(const job_id_t *)id);

  return g_int64_hash (&number);
}

gboolean
job_id_equal (gconstpointer left, gconstpointer right)
{
  return *(const job_id_t *)left == *(const job_id_t *)right;
}

int
submission_check (const submission_t *submission, err_t *err)
{
  uint64_t tasks = 0;

  if (!submission->step_count || submission->step_count > JOB_MAX_STEPS)
    return err_set (err, -EINVAL, "job", "", "a job has 1 to %u steps",
                    JOB_MAX_STEPS);
  if (!submission->spec || strlen (submission->spec) > JOB_MAX_SPEC_BYTES)
    return err_set (err, -EINVAL, "job", "", "spec is missing or too long");
  for (uint32_t i = 0; i < submission->step_count; i++)
    {
      int code = check_step (submission, i, err);

      if (code)
        return code;
      tasks += submission->steps[i].count;
    }
  if (tasks > JOB_MAX_TASKS)
    return err_set (err, -EINVAL, "job", "", "more than %u tasks",
                    JOB_MAX_TASKS);
  if (submission->first_due_ms < 0 || submission->first_due_ms > JOB_MAX_DUE_MS
      || submission->interval_ms < 0
      || submission->interval_ms > (JOB_MAX_DUE_MS - submission->first_due_ms)
                                       / MAX (submission->occurrence_count, 1))
    return err_set (err, -EINVAL, "job", "", "a time is out of range");
  return 0;
}

static int
check_step (const submission_t *submission, uint32_t index, err_t *err)
{
  const step_t *step = &submission->steps[index];

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
submission_free (submission_t *submission)
{
  if (!submission)
    return;
  for (uint32_t i = 0; i < submission->step_count; i++)
    {
      g_free (submission->steps[i].depends_on);
      g_free (submission->steps[i].required_label);
      g_free (submission->steps[i].data_rack);
      g_free (submission->steps[i].image);
    }
  g_free (submission->steps);
  g_free (submission->queue);
  g_free (submission->service);
  g_free (submission->spec);
  g_free (submission);
}

uint64_t
heap_bytes (uint64_t size)
{
  uint64_t chunk = (size + HEAP_HEADER_BYTES + HEAP_ALIGNMENT - 1)
                   / HEAP_ALIGNMENT * HEAP_ALIGNMENT;

  return MAX (chunk, HEAP_MIN_BYTES);
}

static uint64_t
string_heap_bytes (const char *text)
{
  return text ? heap_bytes (strlen (text) + 1) : 0;
}

uint64_t
submission_heap_bytes (const submission_t *submission)
{
  uint64_t bytes = heap_bytes (sizeof *submission)
                   + heap_bytes (submission->step_count * sizeof (step_t))
                   + string_heap_bytes (submission->queue)
                   + string_heap_bytes (submission->service)
                   + string_heap_bytes (submission->spec);

  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      const step_t *step = &submission->steps[s];

      bytes += string_heap_bytes (step->required_label)
               + string_heap_bytes (step->data_rack)
               + string_heap_bytes (step->image);
      if (step->depends_on)
        bytes += heap_bytes (step->depends_on_count * sizeof (uint32_t));
    }
  return bytes;
}

uint64_t
occurrence_heap_bytes (const submission_t *submission)
{
  uint64_t steps = submission->step_count;
  uint64_t bytes = heap_bytes (sizeof (occurrence_t))
                   + heap_bytes (steps * sizeof (task_t *))
                   + 3 * heap_bytes (steps * sizeof (uint32_t));

  for (uint32_t s = 0; s < submission->step_count; s++)
    bytes += heap_bytes (submission->steps[s].count * sizeof (task_t));
  return bytes;
}

job_t *
job_new (submission_t *submission)
{
  job_t *job = g_new0 (job_t, 1);

  job->id = submission->id;
  job->letters_unknown = submission->letters_unknown;
  job->submission = submission;
  job->occurrences = g_ptr_array_new ();
  return job;
}

job_t *
job_new_ended (job_id_t id, const job_end_t *end)
{
  job_t *job = g_new0 (job_t, 1);

  job->id = id;
  job->end_status = end->status;
  job->ended_ms = end->ended_ms;
  job->unsubmitted = end->unsubmitted;
  job->letters_unknown = end->letters_unknown;
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

bool
job_set_service (job_t *job, const char *service, uint64_t version)
{
  submission_t *submission = job->submission;

  if (version <= submission->config_version)
    return false;
  submission->config_version = version;
  if (strcmp (submission->service, service) == 0)
    return false;
  g_free (submission->service);
  submission->service = g_strdup (service);
  job->moved = true;
  return true;
}

static occurrence_t *
occurrence_new (const submission_t *submission, uint32_t number)
{
  occurrence_t *occurrence = g_new0 (occurrence_t, 1);

  occurrence->number = number;
  occurrence->due_ms
      = submission->occurrence_count
            ? submission->first_due_ms + number * submission->interval_ms
            : submission->accepted_ms;
  occurrence->tasks = g_new0 (task_t *, submission->step_count);
  occurrence->unfinished = g_new0 (uint32_t, submission->step_count);
  occurrence->placed = g_new0 (uint32_t, submission->step_count);
  occurrence->failed_run = g_new0 (uint32_t, submission->step_count);
  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      occurrence->unfinished[s] = submission->steps[s].count;
      occurrence->tasks[s] = g_new0 (task_t, submission->steps[s].count);
    }
  return occurrence;
}

static void
occurrence_free (const submission_t *submission, occurrence_t *occurrence)
{
  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      for (uint32_t i = 0; i < submission->steps[s].count; i++)
        {
          drop_copy (&occurrence->tasks[s][i]);
          place_clear (&occurrence->tasks[s][i].place);
          g_free (occurrence->tasks[s][i].checkpoint);
        }
      g_free (occurrence->tasks[s]);
    }
  g_free (occurrence->tasks);
  g_free (occurrence->unfinished);
  g_free (occurrence->placed);
  g_free (occurrence->failed_run);
  g_free (occurrence);
}

static void
place_clear (place_t *place)
{
  g_clear_pointer (&place->worker, g_free);
  g_clear_pointer (&place->address, g_free);
  place->life_ms = 0;
}

static void
place_copy (place_t *to, const place_t *from)
{
  place_clear (to);
  to->worker = g_strdup (from->worker);
  to->life_ms = from->life_ms;
  to->address = g_strdup (from->address ? from->address : "");
}

static void
drop_copy (task_t *task)
{
  if (task->copy)
    place_clear (&task->copy->place);
  g_free (task->copy);
  task->copy = NULL;
}

/* Bounds the memory of a job with many overdue occurrences: they are created
   as earlier ones get done. */
static bool
has_room_for_occurrence (const job_t *job)
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
  uint32_t created = 0;

  while (job_create_due_occurrence (job, wall_ms))
    created++;
  return created;
}

bool
job_create_due_occurrence (job_t *job, int64_t wall_ms)
{
  if (job_next_due (job) > wall_ms || !has_room_for_occurrence (job))
    return false;
  g_ptr_array_add (job->occurrences,
                   occurrence_new (job->submission, job->next_occurrence++));
  return true;
}

int64_t
job_next_due (const job_t *job)
{
  const submission_t *submission = job->submission;

  if (!submission || job->end_status != JOB_QUEUED
      || job->next_occurrence >= MAX (submission->occurrence_count, 1))
    return INT64_MAX;
  if (!submission->occurrence_count)
    return INT64_MIN;
  return submission->first_due_ms
         + job->next_occurrence * submission->interval_ms;
}

occurrence_t *
job_occurrence (const job_t *job, uint32_t number)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      occurrence_t *occurrence = job->occurrences->pdata[i];

      if (occurrence->number == number)
        return occurrence;
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
  task->placed_run = task->run;
  place_copy (&task->place, place);
  task->worker_leaves = false;
  occurrence->placed[step]++;
  job->placed++;
}

bool
step_allows_copies (const step_t *step)
{
  return step->speculative && !step->gang && !step->long_running;
}

void
task_place_copy (task_t *task, const place_t *place)
{
  task->copy = g_new0 (task_copy_t, 1);
  task->copy->run = ++task->run;
  place_copy (&task->copy->place, place);
}

void
task_drop_run (task_t *task, uint32_t run)
{
  if (run == task->placed_run)
    {
      place_copy (&task->place, &task->copy->place);
      task->placed_run = task->copy->run;
      task->worker_leaves = task->copy->worker_leaves;
      task->run_handle = task->copy->run_handle;
    }
  drop_copy (task);
}

place_t *
task_run_place (task_t *task, uint32_t run)
{
  if (task->state != TASK_PLACED)
    return NULL;
  if (run == task->placed_run)
    return &task->place;
  return task->copy && run == task->copy->run ? &task->copy->place : NULL;
}

static void
clear_placement (job_t *job, occurrence_t *occurrence, uint32_t step,
                 uint32_t index)
{
  task_t *task = &occurrence->tasks[step][index];

  if (task->state != TASK_PLACED)
    return;
  place_clear (&task->place);
  drop_copy (task);
  occurrence->placed[step]--;
  job->placed--;
}

uint32_t
task_count_failure (const job_t *job, occurrence_t *occurrence, uint32_t step,
                    uint32_t index, uint32_t run)
{
  task_t *tasks = occurrence->tasks[step];

  if (!job->submission->steps[step].gang)
    return ++tasks[index].failures;
  if (run > occurrence->failed_run[step])
    {
      occurrence->failed_run[step] = run;
      tasks[0].failures++;
    }
  return tasks[0].failures;
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
  clear_placement (job, occurrence, step, index);
  occurrence->tasks[step][index].state = TASK_WAITING;
}

bool
task_done (job_t *job, occurrence_t *occurrence, uint32_t step, uint32_t index)
{
  clear_placement (job, occurrence, step, index);
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
  const submission_t *submission = job->submission;
  uint64_t *path_ms = g_new0 (uint64_t, submission->step_count);
  uint64_t longest = 0;

  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      const step_t *step = &submission->steps[s];

      for (uint32_t i = 0; i < step->depends_on_count; i++)
        path_ms[s] = MAX (path_ms[s], path_ms[step->depends_on[i]]);
      if (!occurrence || occurrence->unfinished[s])
        path_ms[s] += step->declared_ms;
      longest = MAX (longest, path_ms[s]);
    }
  g_free (path_ms);
  return longest;
}

/** @file
 * Encoding of the stored records of a job in MessagePack.
 *
 * Fields are only ever appended to an array, and a missing field is read as
 * zero.  Decoding checks every type and limit, since a damaged record must
 * not crash the process.
 */
#include "jobs/jobs.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

/* Bits of the flags field of a step. */
enum
{
  STEP_CHECKPOINTS = 1 << 0,
  STEP_GANG = 1 << 1,
  STEP_TIGHTLY_COUPLED = 1 << 2,
  STEP_SPECULATIVE = 1 << 3,
  STEP_LONG_RUNNING = 1 << 4,
  STEP_BEST_EFFORT = 1 << 5
};

#define SUBMISSION_FIELDS 15
#define STEP_FIELDS 13
#define PROGRESS_FIELDS 7
/* With the service and its configuration, which are left out while the job has
   the service of its submission. */
#define PROGRESS_FIELDS_WITH_SERVICE 9
/* With the letters of the identifier, which the record of a job that has not
   ended leaves to that of its submission. */
#define PROGRESS_FIELDS_WITH_LETTERS 10
/* Added to job_id_capitals: a record of a build that does not keep the letters
   of identifiers has no such field, which is read as 0. */
#define LETTERS_KNOWN 1U
#define TASK_FIELDS 10
/* With the field of the older run, which is left out if there is none: the
   number of the task's run before the newest one, and where it is under way
   beside the newest one, its place. */
#define TASK_FIELDS_WITH_OLDER 11
/* With the newest run of a gang that counts as failed, which only the first
   task of a gang has. */
#define TASK_FIELDS_WITH_FAILED_RUN 12
#define OLDER_FIELDS 1
#define OLDER_FIELDS_WITH_PLACE 5
#define MAX_ASSUMED_LOSSES 2U

static void pack_step (msgpack_packer *packer, const step_t *step);
static void pack_string (msgpack_packer *packer, const char *text);
static void pack_occurrence (msgpack_packer *packer,
                             const submission_t *submission,
                             const occurrence_t *occurrence, bool checkpoints);
static void pack_task (msgpack_packer *packer, const task_t *task,
                       uint32_t failed_run, bool checkpoints);
static void encode_progress (const job_t *job, bool checkpoints,
                             GByteArray *out);
static uint32_t uncounted_runs (const task_t *task, uint64_t state);
static uint32_t read_losses (const task_t *task, uint64_t state,
                             const msgpack_object *fields);
static uint32_t read_crashes (const task_t *task, uint64_t state,
                              const msgpack_object *fields);
static const msgpack_object *element_at (const msgpack_object *array,
                                         uint32_t i);
static uint64_t uint_at (const msgpack_object *array, uint32_t i);
static int64_t int_at (const msgpack_object *array, uint32_t i);
static job_id_t job_id_at (const msgpack_object *array, uint32_t number,
                           uint32_t letters);
static char *string_at (const msgpack_object *array, uint32_t i);
static bool read_steps (submission_t *submission, const msgpack_object *list);
static void read_step (step_t *step, const msgpack_object *fields);
static void read_service (job_t *job, const msgpack_object *record);
static bool read_occurrences (job_t *job, const msgpack_object *list);
static bool read_occurrence (job_t *job, const msgpack_object *fields);
static void pack_older_run (msgpack_packer *packer, const task_t *task);
static void read_older_run (task_t *task, const place_t *place,
                            const msgpack_object *older);
static bool read_runs (job_t *job, occurrence_t *occurrence, uint32_t step,
                       uint32_t index, const msgpack_object *fields);
static void assume_failed_run (const occurrence_t *occurrence, uint32_t step,
                               uint32_t count);
static bool read_task (job_t *job, occurrence_t *occurrence, uint32_t step,
                       uint32_t index, const msgpack_object *fields);

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

void
submission_encode (const submission_t *submission, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append_bytes);
  msgpack_pack_array (&packer, SUBMISSION_FIELDS);
  msgpack_pack_uint64 (&packer, job_id_number (submission->id));
  pack_string (&packer, submission->queue);
  pack_string (&packer, submission->service);
  pack_string (&packer, submission->spec);
  msgpack_pack_uint32 (&packer, submission->priority);
  msgpack_pack_uint32 (&packer, submission->max_attempts);
  msgpack_pack_uint32 (&packer, submission->stretch_percent);
  msgpack_pack_uint32 (&packer, submission->target_ms);
  msgpack_pack_int64 (&packer, submission->accepted_ms);
  msgpack_pack_uint32 (&packer, submission->occurrence_count);
  msgpack_pack_int64 (&packer, submission->first_due_ms);
  msgpack_pack_int64 (&packer, submission->interval_ms);
  msgpack_pack_array (&packer, submission->step_count);
  for (uint32_t i = 0; i < submission->step_count; i++)
    pack_step (&packer, &submission->steps[i]);
  msgpack_pack_uint64 (&packer, submission->config_version);
  msgpack_pack_uint32 (&packer,
                       submission->letters_unknown
                           ? 0
                           : job_id_capitals (submission->id) + LETTERS_KNOWN);
}

static void
pack_step (msgpack_packer *packer, const step_t *step)
{
  uint32_t flags = (step->checkpoints ? STEP_CHECKPOINTS : 0)
                   | (step->gang ? STEP_GANG : 0)
                   | (step->tightly_coupled ? STEP_TIGHTLY_COUPLED : 0)
                   | (step->speculative ? STEP_SPECULATIVE : 0)
                   | (step->long_running ? STEP_LONG_RUNNING : 0)
                   | (step->best_effort ? STEP_BEST_EFFORT : 0);

  msgpack_pack_array (packer, STEP_FIELDS);
  msgpack_pack_uint32 (packer, step->count);
  msgpack_pack_uint32 (packer, step->millicores);
  msgpack_pack_uint32 (packer, step->memory_mb);
  msgpack_pack_uint32 (packer, step->accelerators);
  msgpack_pack_uint32 (packer, step->declared_ms);
  msgpack_pack_uint32 (packer, flags);
  msgpack_pack_uint32 (packer, step->max_per_worker);
  msgpack_pack_uint32 (packer, step->target_latency_ms);
  msgpack_pack_uint32 (packer, step->max_unavailable);
  pack_string (packer, step->required_label);
  pack_string (packer, step->data_rack);
  pack_string (packer, step->image);
  msgpack_pack_array (packer, step->depends_on_count);
  for (uint32_t i = 0; i < step->depends_on_count; i++)
    msgpack_pack_uint32 (packer, step->depends_on[i]);
}

static void
pack_string (msgpack_packer *packer, const char *value)
{
  if (!value)
    {
      msgpack_pack_nil (packer);
      return;
    }
  msgpack_pack_str (packer, strlen (value));
  msgpack_pack_str_body (packer, value, strlen (value));
}

submission_t *
submission_decode (blob_t bytes)
{
  msgpack_unpacked unpacked;
  submission_t *submission = NULL;
  const msgpack_object *record = &unpacked.data;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && record->type == MSGPACK_OBJECT_ARRAY)
    {
      submission = g_new0 (submission_t, 1);
      submission->letters_unknown = !uint_at (record, 14);
      submission->id = job_id_at (record, 0, 14);
      submission->queue = string_at (record, 1);
      submission->service = string_at (record, 2);
      submission->spec = string_at (record, 3);
      submission->priority = (uint32_t)uint_at (record, 4);
      submission->max_attempts = (uint32_t)uint_at (record, 5);
      submission->stretch_percent = (uint32_t)uint_at (record, 6);
      submission->target_ms = (uint32_t)uint_at (record, 7);
      submission->accepted_ms = int_at (record, 8);
      submission->occurrence_count = (uint32_t)uint_at (record, 9);
      submission->first_due_ms = int_at (record, 10);
      submission->interval_ms = int_at (record, 11);
      submission->config_version = uint_at (record, 13);
      if (!read_steps (submission, element_at (record, 12))
          || !submission->queue || !submission->service
          || submission_check (submission, NULL))
        {
          submission_free (submission);
          submission = NULL;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return submission;
}

static bool
read_steps (submission_t *submission, const msgpack_object *list)
{
  if (!list || list->type != MSGPACK_OBJECT_ARRAY
      || list->via.array.size > JOB_MAX_STEPS)
    return false;
  submission->step_count = list->via.array.size;
  submission->steps = g_new0 (step_t, MAX (submission->step_count, 1));
  for (uint32_t i = 0; i < submission->step_count; i++)
    read_step (&submission->steps[i], &list->via.array.ptr[i]);
  return true;
}

static void
read_step (step_t *step, const msgpack_object *fields)
{
  uint64_t flags = uint_at (fields, 5);
  const msgpack_object *after = element_at (fields, 12);

  step->count = (uint32_t)uint_at (fields, 0);
  step->millicores = (uint32_t)uint_at (fields, 1);
  step->memory_mb = (uint32_t)uint_at (fields, 2);
  step->accelerators = (uint32_t)uint_at (fields, 3);
  step->declared_ms = (uint32_t)uint_at (fields, 4);
  step->checkpoints = flags & STEP_CHECKPOINTS;
  step->gang = flags & STEP_GANG;
  step->tightly_coupled = flags & STEP_TIGHTLY_COUPLED;
  step->speculative = flags & STEP_SPECULATIVE;
  step->long_running = flags & STEP_LONG_RUNNING;
  step->best_effort = flags & STEP_BEST_EFFORT;
  step->max_per_worker = (uint32_t)uint_at (fields, 6);
  step->target_latency_ms = (uint32_t)uint_at (fields, 7);
  step->max_unavailable = (uint32_t)uint_at (fields, 8);
  step->required_label = string_at (fields, 9);
  step->data_rack = string_at (fields, 10);
  step->image = string_at (fields, 11);
  if (!after || after->type != MSGPACK_OBJECT_ARRAY
      || after->via.array.size > JOB_MAX_STEPS)
    return;
  step->depends_on_count = after->via.array.size;
  step->depends_on = g_new0 (uint32_t, MAX (step->depends_on_count, 1));
  for (uint32_t i = 0; i < step->depends_on_count; i++)
    step->depends_on[i] = (uint32_t)uint_at (after, i);
}

/* A progress record: job identifier, final status, time of the end, started,
   next occurrence, the occurrences that are not done, whether the job was
   canceled before it was submitted, the service and its configuration, the
   letters of the identifier. */
static void
encode_progress (const job_t *job, bool checkpoints, GByteArray *out)
{
  bool moved = job->moved && job->submission;
  bool letters = job->end_status != JOB_QUEUED && !job->letters_unknown;
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append_bytes);
  msgpack_pack_array (&packer, letters ? PROGRESS_FIELDS_WITH_LETTERS
                               : moved ? PROGRESS_FIELDS_WITH_SERVICE
                                       : PROGRESS_FIELDS);
  msgpack_pack_uint64 (&packer, job_id_number (job->id));
  msgpack_pack_uint32 (&packer, job->end_status);
  msgpack_pack_int64 (&packer, job->ended_ms);
  msgpack_pack_uint32 (&packer, job->started);
  msgpack_pack_uint32 (&packer, job->next_occurrence);
  msgpack_pack_array (&packer, job->occurrences->len);
  for (guint i = 0; i < job->occurrences->len; i++)
    pack_occurrence (&packer, job->submission, job->occurrences->pdata[i],
                     checkpoints);
  msgpack_pack_uint32 (&packer, job->unsubmitted);
  if (!moved && !letters)
    return;
  pack_string (&packer, moved ? job->submission->service : NULL);
  msgpack_pack_uint64 (&packer, moved ? job->submission->config_version : 0);
  if (letters)
    msgpack_pack_uint32 (&packer, job_id_capitals (job->id) + LETTERS_KNOWN);
}

void
job_encode (const job_t *job, GByteArray *out)
{
  encode_progress (job, true, out);
}

void
job_encode_without_checkpoints (const job_t *job, GByteArray *out)
{
  encode_progress (job, false, out);
}

static void
pack_occurrence (msgpack_packer *packer, const submission_t *submission,
                 const occurrence_t *occurrence, bool checkpoints)
{
  msgpack_pack_array (packer, submission->step_count + 1);
  msgpack_pack_uint32 (packer, occurrence->number);
  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      /* A step whose tasks are all done, or were never placed, is encoded
         as the one state of all its tasks. */
      bool ever_placed
          = occurrence->placed[s]
            || occurrence->unfinished[s] != submission->steps[s].count;

      for (uint32_t i = 0; !ever_placed && i < submission->steps[s].count; i++)
        ever_placed = occurrence->tasks[s][i].run != 0;
      if (!occurrence->unfinished[s] || !ever_placed)
        {
          msgpack_pack_uint32 (packer, occurrence->unfinished[s] ? TASK_WAITING
                                                                 : TASK_DONE);
          continue;
        }
      msgpack_pack_array (packer, submission->steps[s].count);
      for (uint32_t i = 0; i < submission->steps[s].count; i++)
        pack_task (packer, &occurrence->tasks[s][i],
                   i ? 0 : occurrence->failed_run[s], checkpoints);
    }
}

/* The first fields tell the newest run, the copy of two: a build without the
   field of the older run goes on with it, and gives no number twice. */
static void
pack_task (msgpack_packer *packer, const task_t *task, uint32_t failed_run,
           bool checkpoints)
{
  const place_t *place = task->copy ? &task->copy->place : &task->place;
  bool older = task->state == TASK_PLACED && task->run != task->placed_run;

  if (task->state != TASK_PLACED && !task->run)
    {
      msgpack_pack_uint32 (packer, task->state);
      return;
    }
  if (task->state == TASK_DONE)
    {
      msgpack_pack_uint32 (packer, TASK_DONE);
      return;
    }
  msgpack_pack_array (packer, failed_run ? TASK_FIELDS_WITH_FAILED_RUN
                              : older    ? TASK_FIELDS_WITH_OLDER
                                         : TASK_FIELDS);
  msgpack_pack_uint32 (packer, task->state);
  msgpack_pack_uint32 (packer, task->run);
  msgpack_pack_uint32 (packer, task->failures);
  pack_string (packer, place->worker);
  msgpack_pack_int64 (packer, place->life_ms);
  pack_string (packer, checkpoints ? task->checkpoint : NULL);
  pack_string (packer, place->address);
  msgpack_pack_uint32 (packer, task->crashes);
  msgpack_pack_uint32 (packer, task->copy ? task->copy->worker_leaves
                                          : task->worker_leaves);
  msgpack_pack_uint32 (packer, task->losses);
  if (older)
    pack_older_run (packer, task);
  if (!failed_run)
    return;
  if (!older)
    msgpack_pack_nil (packer);
  msgpack_pack_uint32 (packer, failed_run);
}

/* Without its place if the newest run has ended and this one goes on. */
static void
pack_older_run (msgpack_packer *packer, const task_t *task)
{
  msgpack_pack_array (packer,
                      task->copy ? OLDER_FIELDS_WITH_PLACE : OLDER_FIELDS);
  msgpack_pack_uint32 (packer, task->placed_run);
  if (!task->copy)
    return;
  pack_string (packer, task->place.worker);
  msgpack_pack_int64 (packer, task->place.life_ms);
  pack_string (packer, task->place.address);
  msgpack_pack_uint32 (packer, task->worker_leaves);
}

int
job_decode (job_t *job, blob_t bytes)
{
  msgpack_unpacked unpacked;
  const msgpack_object *record = &unpacked.data;
  int code = -EBADMSG;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && record->type == MSGPACK_OBJECT_ARRAY
      && uint_at (record, 0) == job_id_number (job->id)
      && uint_at (record, 1) <= JOB_CANCELED
      && uint_at (record, 4) <= MAX (job->submission->occurrence_count, 1))
    {
      job->end_status = (job_status_t)uint_at (record, 1);
      job->ended_ms = int_at (record, 2);
      job->started = uint_at (record, 3) != 0;
      job->next_occurrence = (uint32_t)uint_at (record, 4);
      read_service (job, record);
      code = read_occurrences (job, element_at (record, 5)) ? 0 : -EBADMSG;
    }
  msgpack_unpacked_destroy (&unpacked);
  return code;
}

void
job_decode_end (blob_t bytes, job_end_t *end)
{
  msgpack_unpacked unpacked;
  const msgpack_object *record = &unpacked.data;

  *end = (job_end_t){ .status = JOB_QUEUED };
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && record->type == MSGPACK_OBJECT_ARRAY
      && uint_at (record, 1) <= JOB_CANCELED)
    *end = (job_end_t){ .status = (job_status_t)uint_at (record, 1),
                        .ended_ms = int_at (record, 2),
                        .unsubmitted = uint_at (record, 6) != 0,
                        .letters_unknown = !uint_at (record, 9) };
  msgpack_unpacked_destroy (&unpacked);
}

static void
read_service (job_t *job, const msgpack_object *record)
{
  char *service = string_at (record, 7);

  if (service)
    job_set_service (job, service, uint_at (record, 8));
  g_free (service);
}

static bool
read_occurrences (job_t *job, const msgpack_object *list)
{
  uint32_t next = job->next_occurrence;
  bool ok = true;

  if (!list || list->type != MSGPACK_OBJECT_ARRAY)
    return false;
  for (uint32_t i = 0; ok && i < list->via.array.size; i++)
    ok = read_occurrence (job, &list->via.array.ptr[i]);
  job->next_occurrence = next;
  return ok;
}

static bool
read_occurrence (job_t *job, const msgpack_object *fields)
{
  const submission_t *submission = job->submission;
  job_status_t end = job->end_status;
  occurrence_t *occurrence;

  if (fields->type != MSGPACK_OBJECT_ARRAY
      || fields->via.array.size != submission->step_count + 1
      || uint_at (fields, 0) >= MAX (submission->occurrence_count, 1))
    return false;
  job->next_occurrence = (uint32_t)uint_at (fields, 0);
  job->end_status = JOB_QUEUED;
  occurrence = NULL;
  if (job_occurrence (job, job->next_occurrence) == NULL)
    {
      uint32_t repeat = submission->occurrence_count;
      int64_t due = job_next_due (job);

      /* Makes job_create_due_occurrences create only this occurrence. */
      job->submission->occurrence_count
          = repeat ? job->next_occurrence + 1 : 0;
      if (job_create_due_occurrences (job, due))
        occurrence = job->occurrences->pdata[job->occurrences->len - 1];
      job->submission->occurrence_count = repeat;
    }
  job->end_status = end;
  if (!occurrence)
    return false;
  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      const msgpack_object *tasks = element_at (fields, s + 1);

      if (tasks->type == MSGPACK_OBJECT_ARRAY
          && tasks->via.array.size != submission->steps[s].count)
        return false;
      for (uint32_t i = 0; i < submission->steps[s].count; i++)
        if (!read_task (job, occurrence, s, i,
                        tasks->type == MSGPACK_OBJECT_ARRAY
                            ? &tasks->via.array.ptr[i]
                            : tasks))
          return false;
      if (submission->steps[s].gang)
        assume_failed_run (occurrence, s, submission->steps[s].count);
    }
  return true;
}

/* A build without the field counts each member that has failed, and does not
   tell of which runs.  Those that have ended are the most that can have
   failed, the newest of them included: a gang that is not placed as a whole
   has begun to end. */
static void
assume_failed_run (const occurrence_t *occurrence, uint32_t step,
                   uint32_t count)
{
  task_t *first = &occurrence->tasks[step][0];
  uint32_t ended = 0;

  if (!first->failures || occurrence->failed_run[step])
    return;
  for (uint32_t i = 0; i < count; i++)
    ended = MAX (ended, occurrence->tasks[step][i].run);
  if (ended && occurrence->placed[step] == count)
    ended--;
  occurrence->failed_run[step] = ended;
  first->failures = MIN (first->failures, ended);
}

static bool
read_task (job_t *job, occurrence_t *occurrence, uint32_t step, uint32_t index,
           const msgpack_object *fields)
{
  task_t *task = &occurrence->tasks[step][index];
  uint64_t state;

  if (fields->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      if (fields->via.u64 == TASK_DONE)
        {
          task->state = TASK_DONE;
          occurrence->unfinished[step]--;
        }
      return fields->via.u64 != TASK_PLACED;
    }
  state = uint_at (fields, 0);
  if (fields->type != MSGPACK_OBJECT_ARRAY || state > TASK_PLACED)
    return false;
  task->run = (uint32_t)uint_at (fields, 1);
  task->failures = (uint32_t)uint_at (fields, 2);
  if (!index)
    occurrence->failed_run[step] = (uint32_t)uint_at (fields, 11);
  task->checkpoint = string_at (fields, 5);
  task->crashes = read_crashes (task, state, fields);
  task->losses = read_losses (task, state, fields);
  return state != TASK_PLACED
         || read_runs (job, occurrence, step, index, fields);
}

/* Reads the runs of a placed task.  A field of the older run that is not
   understood is one of a later build, or damaged. */
static bool
read_runs (job_t *job, occurrence_t *occurrence, uint32_t step, uint32_t index,
           const msgpack_object *fields)
{
  task_t *task = &occurrence->tasks[step][index];
  const msgpack_object *older = element_at (fields, 10);
  uint32_t newest = task->run;
  bool leaves = uint_at (fields, 8) != 0;
  place_t place
      = { string_at (fields, 3), int_at (fields, 4), string_at (fields, 6) };

  if (!place.worker)
    return false;
  task->run--;
  task_place (job, occurrence, step, index, &place);
  task->worker_leaves = leaves;
  if (older && step_allows_copies (&job->submission->steps[step])
      && uint_at (older, 0) && uint_at (older, 0) < newest)
    read_older_run (task, &place, older);
  g_free (place.worker);
  g_free (place.address);
  return true;
}

/* @param place of the newest run */
static void
read_older_run (task_t *task, const place_t *place,
                const msgpack_object *older)
{
  uint32_t number = (uint32_t)uint_at (older, 0);
  char *worker = string_at (older, 1);

  if (!worker)
    {
      task->placed_run = number;
      return;
    }
  task->run--;
  task_place_copy (task, place);
  task->copy->worker_leaves = task->worker_leaves;
  task->placed_run = number;
  task->worker_leaves = uint_at (older, 4) != 0;
  g_free (task->place.worker);
  g_free (task->place.address);
  task->place.worker = worker;
  task->place.life_ms = int_at (older, 2);
  task->place.address = string_at (older, 3);
  if (!task->place.address)
    task->place.address = g_strdup ("");
}

/* A build without this field does not count crashes.  A former run that has
   not failed may have ended with one; a single crash is assumed, so that the
   task is given up only after two that this build has seen. */
static uint32_t
read_crashes (const task_t *task, uint64_t state, const msgpack_object *fields)
{
  if (element_at (fields, 7))
    return (uint32_t)uint_at (fields, 7);
  return MIN (uncounted_runs (task, state), 1U);
}

/* Where losses are not counted, former runs that have not failed may have been
   lost.  The number assumed has the task start apart from others, no more. */
static uint32_t
read_losses (const task_t *task, uint64_t state, const msgpack_object *fields)
{
  if (element_at (fields, 9))
    return (uint32_t)uint_at (fields, 9);
  if (element_at (fields, 7))
    return task->crashes;
  return MIN (uncounted_runs (task, state), MAX_ASSUMED_LOSSES);
}

/* @return former runs that have not failed */
static uint32_t
uncounted_runs (const task_t *task, uint64_t state)
{
  uint32_t ended = task->run - (state == TASK_PLACED && task->run);

  return ended > task->failures ? ended - task->failures : 0;
}

static const msgpack_object *
element_at (const msgpack_object *array, uint32_t i)
{
  if (array->type != MSGPACK_OBJECT_ARRAY || i >= array->via.array.size)
    return NULL;
  return &array->via.array.ptr[i];
}

static uint64_t
uint_at (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *element = element_at (array, i);

  return element && element->type == MSGPACK_OBJECT_POSITIVE_INTEGER
             ? element->via.u64
             : 0;
}

static int64_t
int_at (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *element = element_at (array, i);

  if (element && element->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return element->via.i64;
  return (int64_t)uint_at (array, i);
}

static job_id_t
job_id_at (const msgpack_object *array, uint32_t number, uint32_t letters)
{
  uint64_t field = uint_at (array, letters);

  return job_id_make (uint_at (array, number),
                      field ? field - LETTERS_KNOWN : 0);
}

static char *
string_at (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *element = element_at (array, i);

  if (!element || element->type != MSGPACK_OBJECT_STR)
    return NULL;
  return g_strndup (element->via.str.ptr, element->via.str.size);
}

/** @file
 * Stored records of a job in msgpack.
 *
 * Fields of an array are only ever appended; a reader takes a missing one as
 * zero.  Decoding checks every type and bound, since a damaged record must
 * not bring the process down.
 */
#include "jobs/jobs.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

/* Flags of a step. */
enum
{
  STEP_CHECKPOINTS = 1 << 0,
  STEP_GANG = 1 << 1,
  STEP_TIGHT = 1 << 2,
  STEP_COPIES = 1 << 3,
  STEP_LASTING = 1 << 4,
  STEP_FILLS = 1 << 5
};

#define SUBMISSION_FIELDS 13
#define STEP_FIELDS 13
#define PROGRESS_FIELDS 6
#define TASK_FIELDS 7

static void pack_step (msgpack_packer *p, const step_t *step);
static void pack_text (msgpack_packer *p, const char *text);
static void pack_occurrence (msgpack_packer *p, const submission_t *order,
                             const occurrence_t *o);
static void pack_task (msgpack_packer *p, const task_t *task);
static const msgpack_object *item (const msgpack_object *array, uint32_t i);
static uint64_t number (const msgpack_object *array, uint32_t i);
static int64_t signed_number (const msgpack_object *array, uint32_t i);
static char *text (const msgpack_object *array, uint32_t i);
static bool read_steps (submission_t *order, const msgpack_object *list);
static void read_step (step_t *step, const msgpack_object *fields);
static bool read_occurrences (job_t *job, const msgpack_object *list);
static bool read_occurrence (job_t *job, const msgpack_object *fields);
static bool read_task (job_t *job, occurrence_t *o, uint32_t step,
                       uint32_t index, const msgpack_object *fields);

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

void
submission_encode (const submission_t *order, GByteArray *out)
{
  msgpack_packer p;

  msgpack_packer_init (&p, out, append_bytes);
  msgpack_pack_array (&p, SUBMISSION_FIELDS);
  msgpack_pack_uint64 (&p, order->id);
  pack_text (&p, order->queue);
  pack_text (&p, order->service);
  pack_text (&p, order->spec);
  msgpack_pack_uint32 (&p, order->priority);
  msgpack_pack_uint32 (&p, order->max_attempts);
  msgpack_pack_uint32 (&p, order->stretch_percent);
  msgpack_pack_uint32 (&p, order->target_ms);
  msgpack_pack_int64 (&p, order->accepted_ms);
  msgpack_pack_uint32 (&p, order->occurrence_count);
  msgpack_pack_int64 (&p, order->first_due_ms);
  msgpack_pack_int64 (&p, order->interval_ms);
  msgpack_pack_array (&p, order->step_count);
  for (uint32_t i = 0; i < order->step_count; i++)
    pack_step (&p, &order->steps[i]);
}

static void
pack_step (msgpack_packer *p, const step_t *step)
{
  uint32_t flags = (step->checkpoints ? STEP_CHECKPOINTS : 0)
                   | (step->gang ? STEP_GANG : 0)
                   | (step->tightly_coupled ? STEP_TIGHT : 0)
                   | (step->speculative ? STEP_COPIES : 0)
                   | (step->long_running ? STEP_LASTING : 0)
                   | (step->best_effort ? STEP_FILLS : 0);

  msgpack_pack_array (p, STEP_FIELDS);
  msgpack_pack_uint32 (p, step->count);
  msgpack_pack_uint32 (p, step->millicores);
  msgpack_pack_uint32 (p, step->memory_mb);
  msgpack_pack_uint32 (p, step->accelerators);
  msgpack_pack_uint32 (p, step->declared_ms);
  msgpack_pack_uint32 (p, flags);
  msgpack_pack_uint32 (p, step->max_per_worker);
  msgpack_pack_uint32 (p, step->target_latency_ms);
  msgpack_pack_uint32 (p, step->max_unavailable);
  pack_text (p, step->required_label);
  pack_text (p, step->data_rack);
  pack_text (p, step->image);
  msgpack_pack_array (p, step->depends_on_count);
  for (uint32_t i = 0; i < step->depends_on_count; i++)
    msgpack_pack_uint32 (p, step->depends_on[i]);
}

static void
pack_text (msgpack_packer *p, const char *value)
{
  if (!value)
    {
      msgpack_pack_nil (p);
      return;
    }
  msgpack_pack_str (p, strlen (value));
  msgpack_pack_str_body (p, value, strlen (value));
}

submission_t *
submission_decode (blob_t bytes)
{
  msgpack_unpacked unpacked;
  submission_t *order = NULL;
  const msgpack_object *o = &unpacked.data;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && o->type == MSGPACK_OBJECT_ARRAY)
    {
      order = g_new0 (submission_t, 1);
      order->id = number (o, 0);
      order->queue = text (o, 1);
      order->service = text (o, 2);
      order->spec = text (o, 3);
      order->priority = (uint32_t)number (o, 4);
      order->max_attempts = (uint32_t)number (o, 5);
      order->stretch_percent = (uint32_t)number (o, 6);
      order->target_ms = (uint32_t)number (o, 7);
      order->accepted_ms = signed_number (o, 8);
      order->occurrence_count = (uint32_t)number (o, 9);
      order->first_due_ms = signed_number (o, 10);
      order->interval_ms = signed_number (o, 11);
      if (!read_steps (order, item (o, 12)) || !order->queue || !order->service
          || submission_check (order, NULL))
        {
          submission_free (order);
          order = NULL;
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return order;
}

static bool
read_steps (submission_t *order, const msgpack_object *list)
{
  if (!list || list->type != MSGPACK_OBJECT_ARRAY
      || list->via.array.size > JOB_MAX_STEPS)
    return false;
  order->step_count = list->via.array.size;
  order->steps = g_new0 (step_t, MAX (order->step_count, 1));
  for (uint32_t i = 0; i < order->step_count; i++)
    read_step (&order->steps[i], &list->via.array.ptr[i]);
  return true;
}

static void
read_step (step_t *step, const msgpack_object *fields)
{
  uint64_t flags = number (fields, 5);
  const msgpack_object *after = item (fields, 12);

  step->count = (uint32_t)number (fields, 0);
  step->millicores = (uint32_t)number (fields, 1);
  step->memory_mb = (uint32_t)number (fields, 2);
  step->accelerators = (uint32_t)number (fields, 3);
  step->declared_ms = (uint32_t)number (fields, 4);
  step->checkpoints = flags & STEP_CHECKPOINTS;
  step->gang = flags & STEP_GANG;
  step->tightly_coupled = flags & STEP_TIGHT;
  step->speculative = flags & STEP_COPIES;
  step->long_running = flags & STEP_LASTING;
  step->best_effort = flags & STEP_FILLS;
  step->max_per_worker = (uint32_t)number (fields, 6);
  step->target_latency_ms = (uint32_t)number (fields, 7);
  step->max_unavailable = (uint32_t)number (fields, 8);
  step->required_label = text (fields, 9);
  step->data_rack = text (fields, 10);
  step->image = text (fields, 11);
  if (!after || after->type != MSGPACK_OBJECT_ARRAY
      || after->via.array.size > JOB_MAX_STEPS)
    return;
  step->depends_on_count = after->via.array.size;
  step->depends_on = g_new0 (uint32_t, MAX (step->depends_on_count, 1));
  for (uint32_t i = 0; i < step->depends_on_count; i++)
    step->depends_on[i] = (uint32_t)number (after, i);
}

/* A progress record: end, its time, started, next occurrence, then the
   occurrences that are not done.  */
void
job_encode (const job_t *job, GByteArray *out)
{
  msgpack_packer p;

  msgpack_packer_init (&p, out, append_bytes);
  msgpack_pack_array (&p, PROGRESS_FIELDS);
  msgpack_pack_uint64 (&p, job->id);
  msgpack_pack_uint32 (&p, job->end_status);
  msgpack_pack_int64 (&p, job->ended_ms);
  msgpack_pack_uint32 (&p, job->started);
  msgpack_pack_uint32 (&p, job->next_occurrence);
  msgpack_pack_array (&p, job->occurrences->len);
  for (guint i = 0; i < job->occurrences->len; i++)
    pack_occurrence (&p, job->submission, job->occurrences->pdata[i]);
}

static void
pack_occurrence (msgpack_packer *p, const submission_t *order,
                 const occurrence_t *o)
{
  msgpack_pack_array (p, order->step_count + 1);
  msgpack_pack_uint32 (p, o->number);
  for (uint32_t s = 0; s < order->step_count; s++)
    {
      /* A step whose tasks are all done, or all untouched, is a number.  */
      bool touched = o->placed[s] || o->unfinished[s] != order->steps[s].count;

      for (uint32_t i = 0; !touched && i < order->steps[s].count; i++)
        touched = o->tasks[s][i].run != 0;
      if (!o->unfinished[s] || !touched)
        {
          msgpack_pack_uint32 (p, o->unfinished[s] ? TASK_WAITING : TASK_DONE);
          continue;
        }
      msgpack_pack_array (p, order->steps[s].count);
      for (uint32_t i = 0; i < order->steps[s].count; i++)
        pack_task (p, &o->tasks[s][i]);
    }
}

static void
pack_task (msgpack_packer *p, const task_t *task)
{
  if (task->state != TASK_PLACED && !task->run)
    {
      msgpack_pack_uint32 (p, task->state);
      return;
    }
  if (task->state == TASK_DONE)
    {
      msgpack_pack_uint32 (p, TASK_DONE);
      return;
    }
  msgpack_pack_array (p, TASK_FIELDS);
  msgpack_pack_uint32 (p, task->state);
  msgpack_pack_uint32 (p, task->run);
  msgpack_pack_uint32 (p, task->failures);
  pack_text (p, task->place.worker);
  msgpack_pack_int64 (p, task->place.life_ms);
  pack_text (p, task->checkpoint);
  pack_text (p, task->place.address);
}

int
job_decode (job_t *job, blob_t bytes)
{
  msgpack_unpacked unpacked;
  const msgpack_object *o = &unpacked.data;
  int code = -EBADMSG;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && o->type == MSGPACK_OBJECT_ARRAY && number (o, 0) == job->id
      && number (o, 1) <= JOB_CANCELED
      && number (o, 4) <= MAX (job->submission->occurrence_count, 1))
    {
      job->end_status = (job_status_t)number (o, 1);
      job->ended_ms = signed_number (o, 2);
      job->started = number (o, 3) != 0;
      job->next_occurrence = (uint32_t)number (o, 4);
      code = read_occurrences (job, item (o, 5)) ? 0 : -EBADMSG;
    }
  msgpack_unpacked_destroy (&unpacked);
  return code;
}

job_status_t
job_decode_end (blob_t bytes, int64_t *ended_ms)
{
  msgpack_unpacked unpacked;
  const msgpack_object *o = &unpacked.data;
  job_status_t end = JOB_QUEUED;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
          == MSGPACK_UNPACK_SUCCESS
      && o->type == MSGPACK_OBJECT_ARRAY && number (o, 1) <= JOB_CANCELED)
    {
      end = (job_status_t)number (o, 1);
      *ended_ms = signed_number (o, 2);
    }
  msgpack_unpacked_destroy (&unpacked);
  return end;
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
  const submission_t *order = job->submission;
  job_status_t end = job->end_status;
  occurrence_t *o;

  if (fields->type != MSGPACK_OBJECT_ARRAY
      || fields->via.array.size != order->step_count + 1
      || number (fields, 0) >= MAX (order->occurrence_count, 1))
    return false;
  job->next_occurrence = (uint32_t)number (fields, 0);
  job->end_status = JOB_QUEUED;
  o = NULL;
  if (job_occurrence (job, job->next_occurrence) == NULL)
    {
      uint32_t repeat = order->occurrence_count;
      int64_t due = job_next_due (job);

      /* Creates just this occurrence.  */
      job->submission->occurrence_count
          = repeat ? job->next_occurrence + 1 : 0;
      if (job_create_due_occurrences (job, due))
        o = job->occurrences->pdata[job->occurrences->len - 1];
      job->submission->occurrence_count = repeat;
    }
  job->end_status = end;
  if (!o)
    return false;
  for (uint32_t s = 0; s < order->step_count; s++)
    {
      const msgpack_object *tasks = item (fields, s + 1);

      if (tasks->type == MSGPACK_OBJECT_ARRAY
          && tasks->via.array.size != order->steps[s].count)
        return false;
      for (uint32_t i = 0; i < order->steps[s].count; i++)
        if (!read_task (job, o, s, i,
                        tasks->type == MSGPACK_OBJECT_ARRAY
                            ? &tasks->via.array.ptr[i]
                            : tasks))
          return false;
    }
  return true;
}

static bool
read_task (job_t *job, occurrence_t *o, uint32_t step, uint32_t index,
           const msgpack_object *fields)
{
  task_t *task = &o->tasks[step][index];
  uint64_t state;

  if (fields->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      if (fields->via.u64 == TASK_DONE)
        {
          task->state = TASK_DONE;
          o->unfinished[step]--;
        }
      return fields->via.u64 != TASK_PLACED;
    }
  state = number (fields, 0);
  if (fields->type != MSGPACK_OBJECT_ARRAY || state > TASK_PLACED)
    return false;
  task->run = (uint32_t)number (fields, 1);
  task->failures = (uint32_t)number (fields, 2);
  task->checkpoint = text (fields, 5);
  if (state == TASK_PLACED)
    {
      place_t place
          = { text (fields, 3), signed_number (fields, 4), text (fields, 6) };

      if (!place.worker)
        return false;
      task->run--;
      task_place (job, o, step, index, &place);
      g_free (place.worker);
      g_free (place.address);
    }
  return true;
}

static const msgpack_object *
item (const msgpack_object *array, uint32_t i)
{
  if (array->type != MSGPACK_OBJECT_ARRAY || i >= array->via.array.size)
    return NULL;
  return &array->via.array.ptr[i];
}

static uint64_t
number (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *o = item (array, i);

  return o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? o->via.u64 : 0;
}

static int64_t
signed_number (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *o = item (array, i);

  if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  return (int64_t)number (array, i);
}

static char *
text (const msgpack_object *array, uint32_t i)
{
  const msgpack_object *o = item (array, i);

  if (!o || o->type != MSGPACK_OBJECT_STR)
    return NULL;
  return g_strndup (o->via.str.ptr, o->via.str.size);
}

/** @file
 * Stored records and peer frames for tests of builds that run side by side.
 */
#include "support/records.h"
#include "base/messages.h"
#include "interference/interference.h"
#include "jobs/jobs.h"

#include <errno.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

#define WALL_MS 1700000000000LL
#define JOB_ID 0xfedcba9876543210ULL
#define OBSERVATIONS 40
#define REPORT_INTERVAL (500 * USEC_PER_MSEC)

static const char *const frame_names[]
    = { "hello", "job_ask", "job_submit", "job_tell", "owner_left" };

/* Records, and the depths at which their arrays may grow. */
static const struct
{
  const char *name;
  uint32_t growing_depths;
  bool same_values;
} records[] = {
  { "submission", 1U << 0 | 1U << 2, true }, /* submission, step */
  { "progress", 1U << 0 | 1U << 4, true },   /* progress, task */
  { "ended", 1U << 0 | 1U << 4, true },
  { "interference", 0, false },
};

static const place_t place
    = { (char *)"i-7f3a91c2", WALL_MS + 5, (char *)"10.128.1.2:8367" };

/* Steps with each flag, a dependency and each kind of text. */
static submission_t *
new_submission (void)
{
  submission_t *submission = g_new0 (submission_t, 1);
  step_t *steps = g_new0 (step_t, 3);

  *submission = (submission_t){ .id = JOB_ID,
                                .queue = g_strdup ("r-1"),
                                .service = g_strdup ("service"),
                                .spec = g_strdup ("{\"text\": 1}"),
                                .priority = 2,
                                .max_attempts = 3,
                                .stretch_percent = 150,
                                .target_ms = 250,
                                .accepted_ms = WALL_MS,
                                .occurrence_count = 4,
                                .first_due_ms = WALL_MS + 1000,
                                .interval_ms = 500,
                                .steps = steps,
                                .step_count = 3 };
  steps[0] = (step_t){ .count = 4,
                       .millicores = 2300,
                       .memory_mb = 4600,
                       .accelerators = 1,
                       .declared_ms = 680,
                       .checkpoints = true,
                       .tightly_coupled = true,
                       .max_per_worker = 2,
                       .required_label = g_strdup ("kind-a"),
                       .data_rack = g_strdup ("r1-3"),
                       .image = g_strdup ("image-1") };
  steps[1] = (step_t){ .count = 2,
                       .gang = true,
                       .best_effort = true,
                       .depends_on = g_new0 (uint32_t, 1),
                       .depends_on_count = 1 };
  steps[2] = (step_t){ .count = 1,
                       .speculative = true,
                       .long_running = true,
                       .target_latency_ms = 18,
                       .max_unavailable = 1 };
  return submission;
}

/* Tasks in each state, of one occurrence that is under way and of one that
   has not begun. */
static job_t *
new_job (void)
{
  job_t *job = job_new (new_submission ());
  occurrence_t *occurrence;

  job_create_due_occurrences (job, WALL_MS + 1600);
  occurrence = job_occurrence (job, 0);
  for (uint32_t i = 0; i < 3; i++)
    task_place (job, occurrence, 0, i, &place);
  task_done (job, occurrence, 0, 0);
  task_requeue (job, occurrence, 0, 1);
  occurrence->tasks[0][1].failures = 2;
  task_set_checkpoint (&occurrence->tasks[0][1], "00000bb87a21d94b");
  task_requeue (job, occurrence, 0, 2);
  task_place (job, occurrence, 0, 2, &place);
  job->started = true;
  return job;
}

static interference_t *
new_model (void)
{
  interference_t *model = interference_new ();
  own_load_t own = { 0 };
  disturbance_t disturbance = { interference_image_id ("image-2"), 3.5 };

  for (int i = 0; i < OBSERVATIONS; i++)
    interference_observe (model, interference_image_id ("image-1"), &own,
                          REPORT_INTERVAL, i % 2 ? 9 : 4, &disturbance, i % 2);
  return model;
}

static message_t
new_frame (const char *name, const GByteArray *submission)
{
  if (strcmp (name, "hello") == 0)
    return (message_t){ .type = MSG_HELLO,
                        .u.hello
                        = { .protocol = MESSAGE_PROTOCOL_VERSION,
                            .node = 0x0a800102,
                            .incarnation = 0x316bb3cca125170cULL,
                            .zone = 100ULL << 32 | 0x7a21d94b,
                            .address = blob_of ("10.128.1.2:7100") } };
  if (strcmp (name, "job_ask") == 0)
    return (message_t){
      .type = MSG_JOB_ASK,
      .u.job_ask
      = { .id = 77, .kind = 1, .job = JOB_ID, .queue = blob_of ("r-1") }
    };
  if (strcmp (name, "job_submit") == 0)
    return (message_t){
      .type = MSG_JOB_SUBMIT,
      .u.job_submit
      = { .id = 78, .job = JOB_ID, .record = records_blob (submission) }
    };
  if (strcmp (name, "job_tell") == 0)
    return (message_t){
      .type = MSG_JOB_TELL,
      .u.job_tell
      = { .id = 77, .code = 1, .status = JOB_RUNNING, .pending = 12 }
    };
  return (message_t){ .type = MSG_OWNER_LEFT,
                      .u.owner_left = { .generation = 9 } };
}

/* Takes over the reference to BYTES. */
static int
write_file (const char *dir, const char *name, GByteArray *bytes)
{
  char *path = g_build_filename (dir, name, NULL);
  gboolean ok = g_file_set_contents (path, (const char *)bytes->data,
                                     bytes->len, NULL);

  g_free (path);
  g_byte_array_unref (bytes);
  return ok ? 0 : -EIO;
}

GByteArray *
records_read (const char *dir, const char *name)
{
  char *path = g_build_filename (dir, name, NULL);
  GByteArray *bytes = g_byte_array_new ();
  char *text;
  gsize len;

  if (g_file_get_contents (path, &text, &len, NULL))
    {
      g_byte_array_append (bytes, (const guint8 *)text, (guint)len);
      g_free (text);
    }
  g_free (path);
  return bytes;
}

blob_t
records_blob (const GByteArray *bytes)
{
  return (blob_t){ (const char *)bytes->data, bytes->len };
}

static int
write_job (const char *dir, const char *name, const job_t *job)
{
  GByteArray *bytes = g_byte_array_new ();

  job_encode (job, bytes);
  return write_file (dir, name, bytes);
}

static int
write_model (const char *dir, const interference_t *model)
{
  GByteArray *bytes = g_byte_array_new ();

  interference_encode (model, bytes);
  return write_file (dir, "interference", bytes);
}

int
records_write (const char *dir)
{
  submission_t *submission = new_submission ();
  interference_t *model = new_model ();
  job_t *job = new_job ();
  GByteArray *bytes = g_byte_array_new ();
  int code;

  submission_encode (submission, bytes);
  code = write_job (dir, "progress", job);
  job_end (job, JOB_CANCELED, WALL_MS + 2000);
  code |= write_job (dir, "ended", job);
  code |= write_model (dir, model);
  for (size_t i = 0; i < G_N_ELEMENTS (frame_names); i++)
    {
      message_t frame = new_frame (frame_names[i], bytes);
      GByteArray *encoded = g_byte_array_new ();

      message_encode (&frame, encoded);
      code |= write_file (dir, frame_names[i], encoded);
    }
  code |= write_file (dir, "submission", bytes);
  submission_free (submission);
  interference_free (model);
  job_free (job);
  return code ? -EIO : 0;
}

/* @return the job of two records, NULL if one of them cannot be read */
static job_t *
read_job (const char *dir, const char *progress_name)
{
  GByteArray *bytes = records_read (dir, "submission");
  GByteArray *progress = records_read (dir, progress_name);
  submission_t *submission = submission_decode (records_blob (bytes));
  job_t *job = submission ? job_new (submission) : NULL;

  if (job && job_decode (job, records_blob (progress)))
    {
      job_free (job);
      job = NULL;
    }
  g_byte_array_unref (bytes);
  g_byte_array_unref (progress);
  return job;
}

static interference_t *
read_model (const char *dir)
{
  interference_t *model = interference_new ();
  GByteArray *bytes = records_read (dir, "interference");

  if (interference_decode (model, records_blob (bytes)))
    {
      interference_free (model);
      model = NULL;
    }
  g_byte_array_unref (bytes);
  return model;
}

int
records_rewrite (const char *from, const char *to)
{
  job_t *job = read_job (from, "progress");
  job_t *ended = read_job (from, "ended");
  interference_t *model = read_model (from);
  int code = -EBADMSG;

  if (job && ended && model)
    {
      GByteArray *bytes = g_byte_array_new ();

      submission_encode (job->submission, bytes);
      code = write_file (to, "submission", bytes);
      code |= write_job (to, "progress", job);
      code |= write_job (to, "ended", ended);
      code |= write_model (to, model);
      /* Frames are not passed on. */
      for (size_t i = 0; i < G_N_ELEMENTS (frame_names); i++)
        code |= write_file (to, frame_names[i],
                            records_read (from, frame_names[i]));
    }
  if (job)
    job_free (job);
  if (ended)
    job_free (ended);
  interference_free (model);
  return code;
}

static const char *
text_or_dash (const char *text)
{
  return text ? text : "-";
}

static void
print_submission (const submission_t *submission, GString *text)
{
  g_string_append_printf (
      text,
      "submission %016" G_GINT64_MODIFIER "x queue=%s service=%s spec=%s"
      " priority=%u attempts=%u stretch=%u target=%u "
      "accepted=%" G_GINT64_FORMAT " occurrences=%u due=%" G_GINT64_FORMAT
      " interval=%" G_GINT64_FORMAT "\n",
      (guint64)submission->id, submission->queue, submission->service,
      submission->spec, submission->priority, submission->max_attempts,
      submission->stretch_percent, submission->target_ms,
      submission->accepted_ms, submission->occurrence_count,
      submission->first_due_ms, submission->interval_ms);
  for (uint32_t s = 0; s < submission->step_count; s++)
    {
      const step_t *step = &submission->steps[s];

      g_string_append_printf (
          text,
          "step %u count=%u cpu=%u memory=%u accelerators=%u declared=%u"
          " checkpoints=%d gang=%d coupled=%d speculative=%d long=%d"
          " best_effort=%d per_worker=%u target=%u unavailable=%u label=%s"
          " rack=%s image=%s after",
          s, step->count, step->millicores, step->memory_mb,
          step->accelerators, step->declared_ms, step->checkpoints, step->gang,
          step->tightly_coupled, step->speculative, step->long_running,
          step->best_effort, step->max_per_worker, step->target_latency_ms,
          step->max_unavailable, text_or_dash (step->required_label),
          text_or_dash (step->data_rack), text_or_dash (step->image));
      for (uint32_t i = 0; i < step->depends_on_count; i++)
        g_string_append_printf (text, " %u", step->depends_on[i]);
      g_string_append_c (text, '\n');
    }
}

static void
print_tasks (const job_t *job, const occurrence_t *occurrence, GString *text)
{
  for (uint32_t s = 0; s < job->submission->step_count; s++)
    for (uint32_t i = 0; i < job->submission->steps[s].count; i++)
      {
        const task_t *task = &occurrence->tasks[s][i];

        g_string_append_printf (
            text,
            "task %u.%u.%u state=%u run=%u failures=%u checkpoint=%s"
            " worker=%s life=%" G_GINT64_FORMAT " address=%s\n",
            occurrence->number, s, i, task->state, task->run, task->failures,
            text_or_dash (task->checkpoint), text_or_dash (task->place.worker),
            task->place.life_ms, text_or_dash (task->place.address));
      }
}

static void
print_job (const char *dir, const char *name, GString *text)
{
  job_t *job = read_job (dir, name);

  if (!job)
    {
      g_string_append_printf (text, "%s cannot be read\n", name);
      return;
    }
  if (strcmp (name, "progress") == 0)
    print_submission (job->submission, text);
  g_string_append_printf (
      text, "%s status=%s ended=%" G_GINT64_FORMAT " started=%d next=%u\n",
      name, job_status_name (job_status (job)), job->ended_ms, job->started,
      job->next_occurrence);
  for (guint i = 0; i < job->occurrences->len; i++)
    print_tasks (job, job->occurrences->pdata[i], text);
  job_free (job);
}

static void
print_model (const char *dir, GString *text)
{
  interference_t *model = read_model (dir);
  image_id_t victim = interference_image_id ("image-1");

  if (!model)
    {
      g_string_append (text, "interference cannot be read\n");
      return;
    }
  g_string_append_printf (
      text, "interference slope=%.5f known=%d utilization=%.5f\n",
      interference_slope (model, victim, interference_image_id ("image-2")),
      interference_slope_is_known (model, victim,
                                   interference_image_id ("image-2")),
      interference_max_utilization (model, victim, 18));
  interference_free (model);
}

/* What a build reads in the submission that a frame carries: its length may
   grow by fields that are appended. */
static void
print_record (blob_t record, GString *text)
{
  submission_t *submission = submission_decode (record);

  g_string_append (text, " record=\n");
  if (submission)
    print_submission (submission, text);
  submission_free (submission);
}

static void
print_fields (const message_t *frame, GString *text)
{
  const wire_schema_t *schema = message_schema ((int)frame->type);

  for (size_t i = 0; i < schema->field_count; i++)
    {
      const wire_field_t *field = &schema->fields[i];
      const char *value = (const char *)&frame->u + field->offset;

      if (field->kind == WIRE_U64)
        g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, field->name,
                                *(const uint64_t *)(const void *)value);
      else if (strcmp (field->name, "record") == 0)
        print_record (*(const blob_t *)(const void *)value, text);
      else if (field->kind == WIRE_BLOB)
        g_string_append_printf (text, " %s=%u bytes", field->name,
                                ((const blob_t *)(const void *)value)->len);
    }
}

static void
print_frame (const char *dir, const char *name, GString *text)
{
  GByteArray *bytes = records_read (dir, name);
  message_t frame;
  int code = message_decode (records_blob (bytes), &frame, NULL);

  g_string_append_printf (text, "frame %s", name);
  if (code)
    g_string_append (text, " cannot be read");
  else
    print_fields (&frame, text);
  g_string_append_c (text, '\n');
  message_clear (&frame);
  g_byte_array_unref (bytes);
}

void
records_print (const char *dir, GString *text)
{
  print_job (dir, "progress", text);
  print_job (dir, "ended", text);
  print_model (dir, text);
  for (size_t i = 0; i < G_N_ELEMENTS (frame_names); i++)
    print_frame (dir, frame_names[i], text);
}

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_extended (msgpack_packer *packer, const msgpack_object *object,
               uint32_t depth, uint32_t growing_depths)
{
  bool grows = growing_depths >> depth & 1;
  uint32_t size;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    {
      msgpack_pack_object (packer, *object);
      return;
    }
  size = object->via.array.size;
  msgpack_pack_array (packer, size + grows);
  for (uint32_t i = 0; i < size; i++)
    pack_extended (packer, &object->via.array.ptr[i], depth + 1,
                   growing_depths);
  if (grows)
    msgpack_pack_uint32 (packer, 3);
}

static int
extend_record (const char *from, const char *to, size_t record)
{
  GByteArray *bytes = records_read (from, records[record].name);
  GByteArray *extended = g_byte_array_new ();
  msgpack_packer packer;
  msgpack_unpacked unpacked;
  int code = -EBADMSG;

  msgpack_packer_init (&packer, extended, append_bytes);
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)bytes->data, bytes->len,
                           NULL)
      == MSGPACK_UNPACK_SUCCESS)
    {
      pack_extended (&packer, &unpacked.data, 0,
                     records[record].growing_depths);
      code = write_file (to, records[record].name, extended);
    }
  else
    g_byte_array_unref (extended);
  msgpack_unpacked_destroy (&unpacked);
  g_byte_array_unref (bytes);
  return code;
}

int
records_extend (const char *from, const char *to)
{
  int code = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (records) && !code; i++)
    code = extend_record (from, to, i);
  for (size_t i = 0; i < G_N_ELEMENTS (frame_names) && !code; i++)
    code
        = write_file (to, frame_names[i], records_read (from, frame_names[i]));
  return code;
}

static bool
is_extension (const msgpack_object *former, const msgpack_object *object,
              uint32_t depth, size_t record)
{
  uint32_t size;

  if (former->type != object->type)
    return false;
  if (former->type != MSGPACK_OBJECT_ARRAY)
    return !records[record].same_values
           || msgpack_object_equal (*former, *object);
  size = former->via.array.size;
  if (object->via.array.size != size
      && (object->via.array.size < size
          || !(records[record].growing_depths >> depth & 1)))
    return false;
  for (uint32_t i = 0; i < size; i++)
    if (!is_extension (&former->via.array.ptr[i], &object->via.array.ptr[i],
                       depth + 1, record))
      return false;
  return true;
}

static bool
record_is_extension (const char *former, const char *dir, size_t record)
{
  GByteArray *first = records_read (former, records[record].name);
  GByteArray *second = records_read (dir, records[record].name);
  msgpack_unpacked a;
  msgpack_unpacked b;
  bool ok;

  msgpack_unpacked_init (&a);
  msgpack_unpacked_init (&b);
  ok = msgpack_unpack_next (&a, (const char *)first->data, first->len, NULL)
           == MSGPACK_UNPACK_SUCCESS
       && msgpack_unpack_next (&b, (const char *)second->data, second->len,
                               NULL)
              == MSGPACK_UNPACK_SUCCESS
       && is_extension (&a.data, &b.data, 0, record);
  msgpack_unpacked_destroy (&a);
  msgpack_unpacked_destroy (&b);
  g_byte_array_unref (first);
  g_byte_array_unref (second);
  return ok;
}

static bool
frame_is_same (const char *former, const char *dir, const char *name)
{
  GByteArray *first = records_read (former, name);
  GByteArray *second = records_read (dir, name);
  bool same = first->len && first->len == second->len
              && memcmp (first->data, second->data, first->len) == 0;

  /* The record in a frame may have more fields. */
  if (strcmp (name, "job_submit") == 0)
    same = first->len && second->len >= first->len;
  g_byte_array_unref (first);
  g_byte_array_unref (second);
  return same;
}

bool
records_are_extensions (const char *former, const char *dir)
{
  bool ok = true;

  for (size_t i = 0; i < G_N_ELEMENTS (records); i++)
    if (!record_is_extension (former, dir, i))
      {
        fprintf (stderr, "%s/%s is no extension\n", dir, records[i].name);
        ok = false;
      }
  for (size_t i = 0; i < G_N_ELEMENTS (frame_names); i++)
    if (!frame_is_same (former, dir, frame_names[i]))
      {
        fprintf (stderr, "%s/%s differs\n", dir, frame_names[i]);
        ok = false;
      }
  return ok;
}

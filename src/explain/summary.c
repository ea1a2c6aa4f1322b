/** @file
 * Where the time of jobs goes, by queue and stage.
 */
#include "explain/summary.h"
#include "explain/line.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define JOB_ID_DIGITS 16U

typedef enum
{
  STAGE_STORE,   /* from a job's arrival at its owner to its first start */
  STAGE_PLACE,   /* waits of the deciding tasks before their first start */
  STAGE_AGAIN,   /* from their first start to that of their last run */
  STAGE_RUN,     /* their last runs */
  STAGE_HANDOFF, /* ends of steps to starts of the next, and to the job's end
                  */
  STAGE_ALL,     /* from the job's acceptance to its end */
  STAGE_COUNT
} stage_t;

static const char *const stage_names[STAGE_COUNT]
    = { "first start", "wait", "again", "run", "handoff", "all" };

typedef struct
{
  usec_t first_start; /* 0: none */
  usec_t last_start;
  usec_t done; /* 0: not yet */
  guint step;
} task_t;

typedef struct
{
  char *queue;
  usec_t known;
  usec_t end;        /* 0: not yet, or not completed */
  GHashTable *tasks; /* "K.STEP.INDEX" -> task_t */
} job_t;

typedef struct
{
  guint jobs;
  guint completed;
  GArray *times[STAGE_COUNT]; /* of double, in ms */
} queue_t;

struct summary
{
  GHashTable *jobs; /* id -> job_t */
};

static void job_free (void *data);
static job_t *find_job (summary_t *summary, const char *id);
static void add_known (summary_t *summary, const char *fields, usec_t time);
static void add_end (summary_t *summary, const char *fields, usec_t time);
static void add_start (summary_t *summary, const char *fields, usec_t time);
static void add_run_end (summary_t *summary, const char *fields, usec_t time);
static task_t *find_task (summary_t *summary, const char *fields, bool add);
static bool job_stages (const job_t *job, double times[STAGE_COUNT]);
static void queue_free (void *data);
static void write_queue (const char *name, const queue_t *queue, GString *out);
static double percentile (const GArray *sorted, double share);

static const struct
{
  const char *step;
  void (*add) (summary_t *summary, const char *fields, usec_t time);
} line_kinds[] = {
  { "job.known", add_known },
  { "job.end", add_end },
  { "run.start", add_start },
  { "run.end", add_run_end },
};

summary_t *
summary_new (void)
{
  summary_t *summary = g_new0 (summary_t, 1);

  summary->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_free);
  return summary;
}

void
summary_free (summary_t *summary)
{
  g_hash_table_destroy (summary->jobs);
  g_free (summary);
}

static void
job_free (void *data)
{
  job_t *job = data;

  g_free (job->queue);
  g_hash_table_destroy (job->tasks);
  g_free (job);
}

void
summary_add_line (summary_t *summary, const char *line)
{
  usec_t time = 0;
  const char *fields = line_fields (line, &time);
  char *step = fields ? line_field (fields, "step") : NULL;

  for (size_t i = 0; step && i < G_N_ELEMENTS (line_kinds); i++)
    if (strcmp (step, line_kinds[i].step) == 0)
      line_kinds[i].add (summary, fields, time);
  g_free (step);
}

static job_t *
find_job (summary_t *summary, const char *id)
{
  char *key = g_strndup (id, JOB_ID_DIGITS);
  job_t *job = g_hash_table_lookup (summary->jobs, key);

  if (job)
    {
      g_free (key);
      return job;
    }
  job = g_new0 (job_t, 1);
  job->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (summary->jobs, key, job);
  return job;
}

static void
add_known (summary_t *summary, const char *fields, usec_t time)
{
  char *id = line_field (fields, "job");
  char *age = line_field (fields, "age_ms");
  job_t *job = id ? find_job (summary, id) : NULL;

  if (job && !job->queue)
    {
      job->queue = line_field (fields, "queue");
      job->known = time;
      if (age)
        job->known -= g_ascii_strtoll (age, NULL, 10) * USEC_PER_MSEC;
    }
  g_free (id);
  g_free (age);
}

static void
add_end (summary_t *summary, const char *fields, usec_t time)
{
  char *id = line_field (fields, "job");
  char *end = line_field (fields, "end");

  if (id && end && strcmp (end, "completed") == 0)
    find_job (summary, id)->end = time;
  g_free (id);
  g_free (end);
}

static task_t *
find_task (summary_t *summary, const char *fields, bool add)
{
  char *name = line_field (fields, "task");
  job_t *job;
  task_t *task = NULL;
  unsigned step;

  if (name && strlen (name) > JOB_ID_DIGITS
      && sscanf (name + JOB_ID_DIGITS, ".%*u.%u", &step) == 1)
    {
      job = find_job (summary, name);
      task = g_hash_table_lookup (job->tasks, name + JOB_ID_DIGITS);
      if (!task && add)
        {
          task = g_new0 (task_t, 1);
          task->step = step;
          g_hash_table_insert (job->tasks, g_strdup (name + JOB_ID_DIGITS),
                               task);
        }
    }
  g_free (name);
  return task;
}

static void
add_start (summary_t *summary, const char *fields, usec_t time)
{
  task_t *task = find_task (summary, fields, true);

  if (!task)
    return;
  if (!task->first_start)
    task->first_start = time;
  task->last_start = time;
}

static void
add_run_end (summary_t *summary, const char *fields, usec_t time)
{
  task_t *task = find_task (summary, fields, false);
  char *how = line_field (fields, "how");

  if (task && how && strcmp (how, "done") == 0)
    task->done = time;
  g_free (how);
}

/* @return the task that was done last, of the first step after AFTER that has
   tasks; NULL if there is no such step */
static const task_t *
deciding_task (const job_t *job, int after)
{
  const task_t *last = NULL;
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const task_t *task = data;

      if ((int)task->step <= after || (last && task->step > last->step))
        continue;
      if (!last || task->step < last->step || task->done > last->done)
        last = task;
    }
  return last;
}

/* @return false if the job has not completed or lines are missing */
static bool
job_stages (const job_t *job, double times[STAGE_COUNT])
{
  usec_t spans[STAGE_COUNT] = { 0 };
  usec_t ready = job->known;
  usec_t first_start = INT64_MAX;
  int step = -1;
  const task_t *task;
  GHashTableIter iter;
  gpointer data;

  if (!job->queue || !job->end)
    return false;
  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    first_start = MIN (first_start, ((const task_t *)data)->first_start);
  while ((task = deciding_task (job, step)))
    {
      usec_t step_start = INT64_MAX;

      if (!task->done)
        return false;
      g_hash_table_iter_init (&iter, job->tasks);
      while (g_hash_table_iter_next (&iter, NULL, &data))
        if (((const task_t *)data)->step == task->step)
          step_start = MIN (step_start, ((const task_t *)data)->first_start);
      spans[step < 0 ? STAGE_STORE : STAGE_HANDOFF] += step_start - ready;
      spans[STAGE_PLACE] += task->first_start - step_start;
      spans[STAGE_AGAIN] += task->last_start - task->first_start;
      spans[STAGE_RUN] += task->done - task->last_start;
      ready = task->done;
      step = (int)task->step;
    }
  if (step < 0)
    return false;
  spans[STAGE_HANDOFF] += job->end - ready;
  spans[STAGE_ALL] = job->end - job->known;
  for (int i = 0; i < STAGE_COUNT; i++)
    times[i] = (double)spans[i] / USEC_PER_MSEC;
  return true;
}

static void
queue_free (void *data)
{
  queue_t *queue = data;

  for (int i = 0; i < STAGE_COUNT; i++)
    g_array_free (queue->times[i], TRUE);
  g_free (queue);
}

static queue_t *
find_queue (GHashTable *queues, const char *name)
{
  queue_t *queue = g_hash_table_lookup (queues, name);

  if (queue)
    return queue;
  queue = g_new0 (queue_t, 1);
  for (int i = 0; i < STAGE_COUNT; i++)
    queue->times[i] = g_array_new (FALSE, FALSE, sizeof (double));
  g_hash_table_insert (queues, g_strdup (name), queue);
  return queue;
}

static gint
compare_doubles (gconstpointer left, gconstpointer right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return a < b ? -1 : a > b;
}

static double
percentile (const GArray *sorted, double share)
{
  return sorted->len ? g_array_index (sorted, double,
                                      (guint)(share * (sorted->len - 1)))
                     : 0;
}

static void
write_queue (const char *name, const queue_t *queue, GString *out)
{
  g_string_append_printf (out, "%s: %u jobs, %u completed\n", name,
                          queue->jobs, queue->completed);
  g_string_append_printf (out, "  %-12s %8s %8s %8s %8s\n", "ms", "mean",
                          "p50", "p90", "p99");
  for (int i = 0; i < STAGE_COUNT; i++)
    {
      GArray *times = queue->times[i];
      double sum = 0;

      g_array_sort (times, compare_doubles);
      for (guint k = 0; k < times->len; k++)
        sum += g_array_index (times, double, k);
      g_string_append_printf (out, "  %-12s %8.0f %8.0f %8.0f %8.0f\n",
                              stage_names[i], sum / MAX (times->len, 1U),
                              percentile (times, 0.5), percentile (times, 0.9),
                              percentile (times, 0.99));
    }
}

guint
summary_write (const summary_t *summary, GString *out)
{
  GHashTable *queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  GHashTableIter iter;
  gpointer data;
  GList *names;
  guint jobs = 0;

  g_hash_table_iter_init (&iter, summary->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const job_t *job = data;
      double times[STAGE_COUNT];
      queue_t *queue;

      if (!job->queue)
        continue;
      queue = find_queue (queues, job->queue);
      queue->jobs++;
      jobs++;
      if (!job_stages (job, times))
        continue;
      queue->completed++;
      for (int i = 0; i < STAGE_COUNT; i++)
        g_array_append_val (queue->times[i], times[i]);
    }
  names = g_list_sort (g_hash_table_get_keys (queues), (GCompareFunc)strcmp);
  for (GList *item = names; item; item = item->next)
    write_queue (item->data, g_hash_table_lookup (queues, item->data), out);
  g_list_free (names);
  g_hash_table_destroy (queues);
  return jobs;
}

/** @file
 * History of one job, assembled from log lines.
 */
#include "explain/explain.h"
#include "explain/line.h"

#include <stdlib.h>
#include <string.h>

#define JOB_ID_DIGITS 16U
/* State changes of workers, shards and the store up to this long before the
   first line of the job are shown as well. */
#define CONTEXT_BEFORE_US (2 * USEC_PER_SEC)

/* Subject of a log line. */
typedef enum
{
  SUBJECT_JOB,
  SUBJECT_WORKER,
  SUBJECT_SITE /* a shard, the store, the group or a process */
} subject_t;

typedef struct
{
  usec_t time_us; /* since the Unix epoch */
  guint sequence; /* order of arrival, for entries of the same time */
  subject_t subject;
  char *source;
  char *step;
  char *text; /* rest of the line after the step */
} entry_t;

struct explain
{
  char *job;  /* "job=ID" */
  char *task; /* "task=" and the requested ID, a prefix of task names */
  GPtrArray *entries;
  GHashTable *workers; /* set of the workers on which the job ran */
  GHashTable *counts;  /* "step" or "step (reason)" -> number of lines */
};

static void entry_free (void *data);
static bool mentions_job (const explain_t *explain, const char *text);
static bool is_state_change (const char *step, subject_t *subject);
static void count_entry (explain_t *explain, const entry_t *entry);
static gint compare_entries (gconstpointer left, gconstpointer right);
static bool is_included (const explain_t *explain, const entry_t *entry,
                         usec_t first_us, usec_t last_us);
static void write_summary (explain_t *explain, GString *out, usec_t first_us,
                           usec_t last_us);

explain_t *
explain_new (const char *job)
{
  explain_t *explain = g_new0 (explain_t, 1);
  char *id = g_strndup (job, JOB_ID_DIGITS);

  explain->job = g_strconcat ("job=", id, NULL);
  explain->task = g_strconcat ("task=", job, NULL);
  explain->entries = g_ptr_array_new_with_free_func (entry_free);
  explain->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explain->counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_free (id);
  return explain;
}

void
explain_free (explain_t *explain)
{
  g_free (explain->job);
  g_free (explain->task);
  g_ptr_array_free (explain->entries, TRUE);
  g_hash_table_destroy (explain->workers);
  g_hash_table_destroy (explain->counts);
  g_free (explain);
}

static void
entry_free (void *data)
{
  entry_t *entry = data;

  g_free (entry->source);
  g_free (entry->step);
  g_free (entry->text);
  g_free (entry);
}

static bool
mentions_job (const explain_t *explain, const char *text)
{
  return strstr (text, explain->task)
         || (strlen (explain->task) == strlen (explain->job) + 1
             && strstr (text, explain->job));
}

static bool
is_state_change (const char *step, subject_t *subject)
{
  static const struct
  {
    const char *prefix;
    subject_t subject;
  } state_changes[]
      = { { "worker.", SUBJECT_WORKER }, { "shard.", SUBJECT_SITE },
          { "store.", SUBJECT_SITE },    { "group.", SUBJECT_SITE },
          { "zone.", SUBJECT_SITE },     { "start", SUBJECT_SITE },
          { "stop", SUBJECT_SITE } };

  for (size_t i = 0; i < G_N_ELEMENTS (state_changes); i++)
    if (g_str_has_prefix (step, state_changes[i].prefix)
        && strcmp (step, "shard.load") != 0)
      {
        *subject = state_changes[i].subject;
        return true;
      }
  return false;
}

void
explain_add_line (explain_t *explain, const char *source, const char *line)
{
  subject_t subject = SUBJECT_JOB;
  entry_t *entry;
  char *step;
  usec_t time_us;
  const char *message = line_fields (line, &time_us);

  if (!message)
    return;
  step = line_field (message, "step");
  if (!mentions_job (explain, message) && !is_state_change (step, &subject))
    {
      g_free (step);
      return;
    }
  entry = g_new0 (entry_t, 1);
  entry->time_us = time_us;
  entry->sequence = explain->entries->len;
  entry->subject = subject;
  entry->source = g_strdup (source);
  entry->step = step;
  entry->text
      = g_strstrip (g_strdup (message + 1 + strlen ("step=") + strlen (step)));
  g_ptr_array_add (explain->entries, entry);
  if (subject == SUBJECT_JOB)
    count_entry (explain, entry);
}

static void
count_entry (explain_t *explain, const entry_t *entry)
{
  char *padded = g_strconcat (" ", entry->text, NULL);
  char *worker = line_field (padded, "worker");
  char *reason = line_field (padded, "how");
  char *key;
  guint number;

  if (!reason)
    reason = line_field (padded, "why");
  key = reason ? g_strdup_printf ("%s (%s)", entry->step, reason)
               : g_strdup (entry->step);
  number = GPOINTER_TO_UINT (g_hash_table_lookup (explain->counts, key));
  g_hash_table_replace (explain->counts, key, GUINT_TO_POINTER (number + 1));
  if (worker)
    g_hash_table_add (explain->workers, worker);
  g_free (reason);
  g_free (padded);
}

static gint
compare_entries (gconstpointer left, gconstpointer right)
{
  const entry_t *a = *(entry_t *const *)left;
  const entry_t *b = *(entry_t *const *)right;

  if (a->time_us != b->time_us)
    return a->time_us < b->time_us ? -1 : 1;
  return a->sequence < b->sequence ? -1 : 1;
}

static bool
is_included (const explain_t *explain, const entry_t *entry, usec_t first_us,
             usec_t last_us)
{
  char *padded;
  char *worker;
  bool shown;

  if (entry->subject == SUBJECT_JOB)
    return true;
  if (entry->time_us < first_us - CONTEXT_BEFORE_US
      || entry->time_us > last_us)
    return false;
  if (entry->subject == SUBJECT_SITE)
    return true;
  padded = g_strconcat (" ", entry->text, NULL);
  worker = line_field (padded, "worker");
  shown = worker && g_hash_table_contains (explain->workers, worker);
  g_free (worker);
  g_free (padded);
  return shown;
}

static void
write_summary (explain_t *explain, GString *out, usec_t first_us,
               usec_t last_us)
{
  GList *keys = g_list_sort (g_hash_table_get_keys (explain->counts),
                             (GCompareFunc)strcmp);

  g_string_append_printf (
      out, "%s: %.3f s from first to last line, on %u workers\n", explain->job,
      (double)(last_us - first_us) / USEC_PER_SEC,
      g_hash_table_size (explain->workers));
  for (GList *item = keys; item; item = item->next)
    g_string_append_printf (
        out, "%6u  %s\n",
        GPOINTER_TO_UINT (g_hash_table_lookup (explain->counts, item->data)),
        (const char *)item->data);
  g_list_free (keys);
}

uint32_t
explain_write (explain_t *explain, GString *out)
{
  usec_t first_us = INT64_MAX;
  usec_t last_us = INT64_MIN;
  uint32_t job_lines = 0;

  g_ptr_array_sort (explain->entries, compare_entries);
  for (guint i = 0; i < explain->entries->len; i++)
    {
      const entry_t *entry = explain->entries->pdata[i];

      if (entry->subject != SUBJECT_JOB)
        continue;
      job_lines++;
      first_us = MIN (first_us, entry->time_us);
      last_us = MAX (last_us, entry->time_us);
    }
  if (!job_lines)
    return 0;
  write_summary (explain, out, first_us, last_us);
  for (guint i = 0; i < explain->entries->len; i++)
    {
      const entry_t *entry = explain->entries->pdata[i];

      if (is_included (explain, entry, first_us, last_us))
        g_string_append_printf (out, "%+9.3f %s %s %s %s\n",
                                (double)(entry->time_us - first_us)
                                    / USEC_PER_SEC,
                                entry->subject == SUBJECT_JOB ? "*" : " ",
                                entry->source, entry->step, entry->text);
    }
  return job_lines;
}

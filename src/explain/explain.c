/** @file
 * The story of one job, out of logs.
 */
#include "explain/explain.h"

#include <stdlib.h>
#include <string.h>

#define JOB_DIGITS 16U
/* What was believed of a worker or the store so long before still counts. */
#define BELIEFS_BEFORE_US (2 * USEC_PER_SEC)

/* What a line tells of.  */
typedef enum
{
  ABOUT_JOB,
  ABOUT_WORKER,
  ABOUT_SITE /* a shard, the store, the group */
} about_t;

typedef struct
{
  usec_t at; /* since 1970 */
  guint order;
  about_t about;
  char *source;
  char *step;
  char *text; /* what follows the step */
} row_t;

struct explain
{
  char *job;  /* as in "job=" */
  char *task; /* as in "task=", up to what was asked for */
  GPtrArray *rows;
  GHashTable *workers; /* on which the job ran */
  GHashTable *counts;  /* "step" or "step reason" -> number */
};

static void row_free (void *data);
static bool parse_time (const char *line, const char *program, usec_t *at);
static char *field (const char *text, const char *name);
static bool names_job (const explain_t *explain, const char *text);
static bool is_belief (const char *step, about_t *about);
static void count (explain_t *explain, const row_t *row);
static gint compare (gconstpointer left, gconstpointer right);
static bool is_shown (const explain_t *explain, const row_t *row, usec_t from,
                      usec_t to);
static void write_summary (explain_t *explain, GString *out, usec_t from,
                           usec_t to);

explain_t *
explain_new (const char *job)
{
  explain_t *explain = g_new0 (explain_t, 1);
  char *id = g_strndup (job, JOB_DIGITS);

  explain->job = g_strconcat ("job=", id, NULL);
  explain->task = g_strconcat ("task=", job, NULL);
  explain->rows = g_ptr_array_new_with_free_func (row_free);
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
  g_ptr_array_free (explain->rows, TRUE);
  g_hash_table_destroy (explain->workers);
  g_hash_table_destroy (explain->counts);
  g_free (explain);
}

static void
row_free (void *data)
{
  row_t *row = data;

  g_free (row->source);
  g_free (row->step);
  g_free (row->text);
  g_free (row);
}

/* The time is the word before the program's name.  */
static bool
parse_time (const char *line, const char *program, usec_t *at)
{
  const char *word = program;
  GDateTime *time;
  char *text;

  while (word > line && word[-1] == ' ')
    word--;
  while (word > line && word[-1] != ' ')
    word--;
  text = g_strndup (word, strcspn (word, " "));
  time = g_date_time_new_from_iso8601 (text, NULL);
  g_free (text);
  if (!time)
    return false;
  *at = g_date_time_to_unix (time) * USEC_PER_SEC
        + g_date_time_get_microsecond (time);
  g_date_time_unref (time);
  return true;
}

/* @return the value of NAME=VALUE, quotes removed; NULL if there is none */
static char *
field (const char *text, const char *name)
{
  char *key = g_strconcat (" ", name, "=", NULL);
  const char *value = strstr (text, key);
  size_t skip = strlen (key);

  g_free (key);
  if (!value)
    return NULL;
  value += skip;
  return *value == '"' ? g_strndup (value + 1, strcspn (value + 1, "\""))
                       : g_strndup (value, strcspn (value, " "));
}

static bool
names_job (const explain_t *explain, const char *text)
{
  return strstr (text, explain->task)
         || (strlen (explain->task) == strlen (explain->job) + 1
             && strstr (text, explain->job));
}

static bool
is_belief (const char *step, about_t *about)
{
  static const struct
  {
    const char *prefix;
    about_t about;
  } beliefs[] = { { "worker.", ABOUT_WORKER }, { "shard.", ABOUT_SITE },
                  { "store.", ABOUT_SITE },    { "group.", ABOUT_SITE },
                  { "start", ABOUT_SITE },     { "stop", ABOUT_SITE } };

  for (size_t i = 0; i < G_N_ELEMENTS (beliefs); i++)
    if (g_str_has_prefix (step, beliefs[i].prefix)
        && strcmp (step, "shard.load") != 0)
      {
        *about = beliefs[i].about;
        return true;
      }
  return false;
}

void
explain_line (explain_t *explain, const char *source, const char *line)
{
  const char *program = strstr (line, "limpethinge[");
  const char *words = program ? strstr (program, " step=") : NULL;
  about_t about = ABOUT_JOB;
  row_t *row;
  char *step;
  usec_t at;

  if (!words || !parse_time (line, program, &at))
    return;
  step = field (words, "step");
  if (!names_job (explain, words) && !is_belief (step, &about))
    {
      g_free (step);
      return;
    }
  row = g_new0 (row_t, 1);
  row->at = at;
  row->order = explain->rows->len;
  row->about = about;
  row->source = g_strdup (source);
  row->step = step;
  row->text
      = g_strstrip (g_strdup (words + 1 + strlen ("step=") + strlen (step)));
  g_ptr_array_add (explain->rows, row);
  if (about == ABOUT_JOB)
    count (explain, row);
}

static void
count (explain_t *explain, const row_t *row)
{
  char *padded = g_strconcat (" ", row->text, NULL);
  char *worker = field (padded, "worker");
  char *how = field (padded, "how");
  char *key;
  guint number;

  if (!how)
    how = field (padded, "why");
  key = how ? g_strdup_printf ("%s (%s)", row->step, how)
            : g_strdup (row->step);
  number = GPOINTER_TO_UINT (g_hash_table_lookup (explain->counts, key));
  g_hash_table_replace (explain->counts, key, GUINT_TO_POINTER (number + 1));
  if (worker)
    g_hash_table_add (explain->workers, worker);
  g_free (how);
  g_free (padded);
}

static gint
compare (gconstpointer left, gconstpointer right)
{
  const row_t *a = *(row_t *const *)left;
  const row_t *b = *(row_t *const *)right;

  if (a->at != b->at)
    return a->at < b->at ? -1 : 1;
  return a->order < b->order ? -1 : 1;
}

static bool
is_shown (const explain_t *explain, const row_t *row, usec_t from, usec_t to)
{
  char *padded;
  char *worker;
  bool shown;

  if (row->about == ABOUT_JOB)
    return true;
  if (row->at < from - BELIEFS_BEFORE_US || row->at > to)
    return false;
  if (row->about == ABOUT_SITE)
    return true;
  padded = g_strconcat (" ", row->text, NULL);
  worker = field (padded, "worker");
  shown = worker && g_hash_table_contains (explain->workers, worker);
  g_free (worker);
  g_free (padded);
  return shown;
}

static void
write_summary (explain_t *explain, GString *out, usec_t from, usec_t to)
{
  GList *keys = g_list_sort (g_hash_table_get_keys (explain->counts),
                             (GCompareFunc)strcmp);

  g_string_append_printf (
      out, "%s: %.3f s from first to last line, on %u workers\n", explain->job,
      (double)(to - from) / USEC_PER_SEC,
      g_hash_table_size (explain->workers));
  for (GList *l = keys; l; l = l->next)
    g_string_append_printf (
        out, "%6u  %s\n",
        GPOINTER_TO_UINT (g_hash_table_lookup (explain->counts, l->data)),
        (const char *)l->data);
  g_list_free (keys);
}

uint32_t
explain_text (explain_t *explain, GString *out)
{
  usec_t from = INT64_MAX;
  usec_t to = INT64_MIN;
  uint32_t own = 0;

  g_ptr_array_sort (explain->rows, compare);
  for (guint i = 0; i < explain->rows->len; i++)
    {
      const row_t *row = explain->rows->pdata[i];

      if (row->about != ABOUT_JOB)
        continue;
      own++;
      from = MIN (from, row->at);
      to = MAX (to, row->at);
    }
  if (!own)
    return 0;
  write_summary (explain, out, from, to);
  for (guint i = 0; i < explain->rows->len; i++)
    {
      const row_t *row = explain->rows->pdata[i];

      if (is_shown (explain, row, from, to))
        g_string_append_printf (out, "%+9.3f %s %s %s %s\n",
                                (double)(row->at - from) / USEC_PER_SEC,
                                row->about == ABOUT_JOB ? "*" : " ",
                                row->source, row->step, row->text);
    }
  return own;
}

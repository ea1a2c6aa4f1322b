/** @file
 * When to start a copy of a late run.
 */
#include "copies/copies.h"

/* With fewer runs done, their median is less reliable than the estimate of the
   caller. */
#define MIN_RUNS_DONE 3U
/* A run is late after this multiple of the expected duration, and by at least
   LATE_BY_MS: a copy takes the expected duration itself and is not worth its
   start for a shorter delay. */
#define LATE_FACTOR 2
#define LATE_BY_MS 600
/* A new owner knows the duration of the runs that it found, and what waits,
   only after a while. */
#define SETTLED_AFTER_MS 2000

struct copies
{
  GHashTable *durations; /* copies_step_t -> GArray of uint32_t, sorted */
};

static guint
hash_step (gconstpointer key)
{
  const copies_step_t *step = key;

  return (guint)(step->job ^ step->job >> 32) + step->occurrence * 31
         + step->step;
}

static gboolean
equal_steps (gconstpointer left, gconstpointer right)
{
  const copies_step_t *a = left;
  const copies_step_t *b = right;

  return a->job == b->job && a->occurrence == b->occurrence
         && a->step == b->step;
}

copies_t *
copies_new (void)
{
  copies_t *copies = g_new0 (copies_t, 1);

  copies->durations = g_hash_table_new_full (hash_step, equal_steps, g_free,
                                             (GDestroyNotify)g_array_unref);
  return copies;
}

void
copies_free (copies_t *copies)
{
  g_hash_table_destroy (copies->durations);
  g_free (copies);
}

void
copies_note_done (copies_t *copies, const copies_step_t *step, uint32_t ran_ms)
{
  GArray *durations = g_hash_table_lookup (copies->durations, step);
  guint i = 0;

  if (!durations)
    {
      durations = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_hash_table_insert (copies->durations, g_memdup2 (step, sizeof *step),
                           durations);
    }
  while (i < durations->len && g_array_index (durations, uint32_t, i) < ran_ms)
    i++;
  g_array_insert_val (durations, i, ran_ms);
}

uint32_t
copies_expected_ms (const copies_t *copies, const copies_step_t *step,
                    uint32_t declared_ms)
{
  const GArray *durations = g_hash_table_lookup (copies->durations, step);

  if (!durations || durations->len < MIN_RUNS_DONE)
    return declared_ms;
  return g_array_index (durations, uint32_t, durations->len / 2);
}

bool
copies_allow (const copies_case_t *c)
{
  if (!c->expected_ms || c->ran_ms <= LATE_FACTOR * (int64_t)c->expected_ms
      || c->ran_ms <= (int64_t)c->expected_ms + LATE_BY_MS)
    return false;
  if (c->waiting_tasks || c->ms_since_takeover < SETTLED_AFTER_MS)
    return false;
  /* If the late run fails while the copy is being started, the start must not
     arrive after the last attempt. */
  if (c->failures + 1 >= c->max_attempts)
    return false;
  return c->copy_millicores * 100 < c->used_millicores * c->budget_percent;
}

void
copies_forget_step (copies_t *copies, const copies_step_t *step)
{
  g_hash_table_remove (copies->durations, step);
}

static gboolean
is_of_job (gpointer key, gpointer value, gpointer job)
{
  (void)value;
  return ((const copies_step_t *)key)->job == *(const job_id_t *)job;
}

void
copies_forget_job (copies_t *copies, job_id_t job)
{
  g_hash_table_foreach_remove (copies->durations, is_of_job, &job);
}

void
copies_clear (copies_t *copies)
{
  g_hash_table_remove_all (copies->durations);
}

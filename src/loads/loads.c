/** @file
 * Forecast of the loads of tasks that serve users.
 */
#include "loads/loads.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SLOT (500 * USEC_PER_MSEC)
#define SLOTS 40U /* of a history */
#define REFIT_INTERVAL SLOT
#define SEARCH_INTERVAL (2 * USEC_PER_SEC)
#define FORGET_AFTER (30 * USEC_PER_SEC)
/* Slots with reports that a history needs for a curve. */
#define MIN_SLOTS 8U
/* Weight of a report with this variance is 1, that of a slot SLOT_WEIGHT_MAX
   at most: reports of one slot share an error. */
#define UNIT_VARIANCE 0.004
#define SLOT_WEIGHT_MAX 4.0
/* Weight of the mean of all histories, and of a flat curve, against that of
   one slot: histories that are short are fitted with care. */
#define PRIOR_WEIGHT 0.5
/* Periods that are tried, in seconds.  A longer one than the history could
   not be told from a trend. */
#define PERIOD_MIN 4.0
#define PERIOD_MAX ((double)SLOTS * SLOT / USEC_PER_SEC)
#define PERIOD_STEPS 20U
#define PERIOD_REFINEMENTS 4U
/* Share of the squared deviations from the means that a period may leave, and
   that a new period has to improve on the present one. */
#define UNEXPLAINED_MAX 0.5
#define SWITCH_GAIN 0.95

typedef struct
{
  int64_t number; /* of the slot since time 0 */
  double weight;
  double sum; /* of loads by their weight */
} slot_t;

typedef struct
{
  slot_t slots[SLOTS]; /* by number modulo SLOTS */
  usec_t last;
  bool fitted;
  double mean;
  double sine;
  double cosine;
} history_t;

/* Sums of a weighted linear fit of mean, sine and cosine. */
typedef struct
{
  double matrix[3][3];
  double vector[3];
} fit_t;

struct loads
{
  GHashTable *histories; /* load_key_t -> history_t */
  double period_s;       /* 0: none */
  double mean;           /* of all histories */
  usec_t refit_due;
  usec_t search_due;
};

static double slot_seconds (const slot_t *slot);
static double slot_weight (const slot_t *slot);
static bool slot_is_recent (const slot_t *slot, usec_t now);
static uint32_t fit_history (const loads_t *loads, usec_t now,
                             const history_t *history, double period_s,
                             double out[3]);
static void fit_add (fit_t *fit, const double row[3], double value,
                     double weight);
static void fit_solve (fit_t *fit, double out[3]);
static double curve_at (const double curve[3], double period_s,
                        double seconds);
static double unexplained (const loads_t *loads, usec_t now, double period_s);
static void update_mean (loads_t *loads, usec_t now);
static void search_period (loads_t *loads, usec_t now);
static gboolean is_stale (gpointer key, gpointer value, gpointer now);

loads_t *
loads_new (void)
{
  loads_t *loads = g_new0 (loads_t, 1);

  loads->histories
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return loads;
}

void
loads_free (loads_t *loads)
{
  if (!loads)
    return;
  g_hash_table_destroy (loads->histories);
  g_free (loads);
}

void
loads_observe (loads_t *loads, load_key_t key, usec_t now, double load,
               double variance)
{
  history_t *history = g_hash_table_lookup (loads->histories, &key);
  int64_t number = now / SLOT;
  double weight = UNIT_VARIANCE / MAX (variance, UNIT_VARIANCE);
  slot_t *slot;

  if (!history)
    {
      history = g_new0 (history_t, 1);
      g_hash_table_insert (loads->histories, g_memdup2 (&key, sizeof key),
                           history);
    }
  history->last = now;
  slot = &history->slots[number % SLOTS];
  if (slot->number != number)
    *slot = (slot_t){ .number = number };
  slot->weight += weight;
  slot->sum += weight * load;
}

/* @return the middle of the slot */
static double
slot_seconds (const slot_t *slot)
{
  return ((double)slot->number + 0.5) * SLOT / USEC_PER_SEC;
}

static double
slot_weight (const slot_t *slot)
{
  return MIN (slot->weight, SLOT_WEIGHT_MAX);
}

static bool
slot_is_recent (const slot_t *slot, usec_t now)
{
  return slot->weight > 0 && slot->number > now / SLOT - (int64_t)SLOTS;
}

static void
fit_add (fit_t *fit, const double row[3], double value, double weight)
{
  for (int i = 0; i < 3; i++)
    {
      fit->vector[i] += weight * row[i] * value;
      for (int k = 0; k < 3; k++)
        fit->matrix[i][k] += weight * row[i] * row[k];
    }
}

/* Gaussian elimination.  The matrix is positive definite because of the prior,
   so that no pivot is 0. */
static void
fit_solve (fit_t *fit, double out[3])
{
  for (int i = 0; i < 3; i++)
    for (int k = i + 1; k < 3; k++)
      {
        double factor = fit->matrix[k][i] / fit->matrix[i][i];

        for (int j = i; j < 3; j++)
          fit->matrix[k][j] -= factor * fit->matrix[i][j];
        fit->vector[k] -= factor * fit->vector[i];
      }
  for (int i = 2; i >= 0; i--)
    {
      out[i] = fit->vector[i];
      for (int j = i + 1; j < 3; j++)
        out[i] -= fit->matrix[i][j] * out[j];
      out[i] /= fit->matrix[i][i];
    }
}

/* @param out set to mean, sine and cosine
   @return number of slots with reports */
static uint32_t
fit_history (const loads_t *loads, usec_t now, const history_t *history,
             double period_s, double out[3])
{
  fit_t fit = { .matrix = { { PRIOR_WEIGHT, 0, 0 },
                            { 0, PRIOR_WEIGHT, 0 },
                            { 0, 0, PRIOR_WEIGHT } },
                .vector = { PRIOR_WEIGHT * loads->mean, 0, 0 } };
  uint32_t count = 0;

  for (uint32_t i = 0; i < SLOTS; i++)
    {
      const slot_t *slot = &history->slots[i];
      double angle = 2 * G_PI * slot_seconds (slot) / period_s;
      const double row[3] = { 1, sin (angle), cos (angle) };

      if (!slot_is_recent (slot, now))
        continue;
      fit_add (&fit, row, slot->sum / slot->weight, slot_weight (slot));
      count++;
    }
  fit_solve (&fit, out);
  return count;
}

static double
curve_at (const double curve[3], double period_s, double seconds)
{
  double angle = 2 * G_PI * seconds / period_s;

  return curve[0] + curve[1] * sin (angle) + curve[2] * cos (angle);
}

static void
update_mean (loads_t *loads, usec_t now)
{
  GHashTableIter iter;
  gpointer data;
  double sum = 0;
  double weight = 0;

  g_hash_table_iter_init (&iter, loads->histories);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    for (uint32_t i = 0; i < SLOTS; i++)
      {
        const slot_t *slot = &((const history_t *)data)->slots[i];

        if (!slot_is_recent (slot, now))
          continue;
        sum += slot->sum;
        weight += slot->weight;
      }
  loads->mean = weight > 0 ? sum / weight : 0;
}

/* @param period_s 0: the histories' means instead of curves
   @return squared deviations of all histories that have enough slots */
static double
unexplained (const loads_t *loads, usec_t now, double period_s)
{
  GHashTableIter iter;
  gpointer data;
  double sum = 0;

  g_hash_table_iter_init (&iter, loads->histories);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const history_t *history = data;
      double curve[3];
      double period = period_s > 0 ? period_s : PERIOD_MAX;

      if (fit_history (loads, now, history, period, curve) < 2 * MIN_SLOTS)
        continue;
      if (period_s <= 0)
        {
          double weight = 0;

          curve[0] = curve[1] = curve[2] = 0;
          for (uint32_t i = 0; i < SLOTS; i++)
            if (slot_is_recent (&history->slots[i], now))
              {
                curve[0] += slot_weight (&history->slots[i])
                            * history->slots[i].sum / history->slots[i].weight;
                weight += slot_weight (&history->slots[i]);
              }
          curve[0] /= weight;
        }
      for (uint32_t i = 0; i < SLOTS; i++)
        {
          const slot_t *slot = &history->slots[i];
          double error;

          if (!slot_is_recent (slot, now))
            continue;
          error = slot->sum / slot->weight
                  - curve_at (curve, period, slot_seconds (slot));
          sum += slot_weight (slot) * error * error;
        }
    }
  return sum;
}

/* Tries periods at a constant ratio, then ever closer to the best one. */
static void
search_period (loads_t *loads, usec_t now)
{
  double means = unexplained (loads, now, 0);
  double present = loads->period_s > 0
                       ? unexplained (loads, now, loads->period_s)
                       : means;
  double ratio = pow (PERIOD_MAX / PERIOD_MIN, 1.0 / (PERIOD_STEPS - 1));
  double best = INFINITY;
  double period = 0;

  for (uint32_t i = 0; i < PERIOD_STEPS; i++)
    {
      double tried = PERIOD_MIN * pow (ratio, i);
      double left = unexplained (loads, now, tried);

      if (left < best)
        {
          best = left;
          period = tried;
        }
    }
  for (uint32_t i = 0; i < PERIOD_REFINEMENTS; i++)
    {
      const double center = period;

      ratio = sqrt (ratio);
      for (int side = -1; side <= 1; side += 2)
        {
          double tried = center * pow (ratio, side);
          double left = unexplained (loads, now, tried);

          if (left < best)
            {
              best = left;
              period = tried;
            }
        }
    }
  if (best >= UNEXPLAINED_MAX * means)
    loads->period_s = 0;
  else if (loads->period_s <= 0 || best < SWITCH_GAIN * present)
    loads->period_s = period;
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return *(const usec_t *)now - ((const history_t *)value)->last
         > FORGET_AFTER;
}

void
loads_refit (loads_t *loads, usec_t now)
{
  GHashTableIter iter;
  gpointer data;

  if (now < loads->refit_due)
    return;
  loads->refit_due = now + REFIT_INTERVAL;
  g_hash_table_foreach_remove (loads->histories, is_stale, &now);
  update_mean (loads, now);
  if (now >= loads->search_due)
    {
      loads->search_due = now + SEARCH_INTERVAL;
      search_period (loads, now);
    }
  g_hash_table_iter_init (&iter, loads->histories);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      history_t *history = data;
      double curve[3];

      history->fitted
          = loads->period_s > 0
            && fit_history (loads, now, history, loads->period_s, curve)
                   >= MIN_SLOTS;
      if (!history->fitted)
        continue;
      history->mean = curve[0];
      history->sine = curve[1];
      history->cosine = curve[2];
    }
}

bool
loads_expected (const loads_t *loads, load_key_t key, usec_t at, double *load)
{
  const history_t *history = g_hash_table_lookup (loads->histories, &key);
  double curve[3];

  if (!history || !history->fitted)
    return false;
  curve[0] = history->mean;
  curve[1] = history->sine;
  curve[2] = history->cosine;
  *load = CLAMP (curve_at (curve, loads->period_s, (double)at / USEC_PER_SEC),
                 0, 1);
  return true;
}

bool
loads_expected_max (const loads_t *loads, load_key_t key, usec_t from,
                    usec_t to, double *load)
{
  const history_t *history = g_hash_table_lookup (loads->histories, &key);
  double turn = 2 * G_PI;
  double peak;
  double begin;
  double end;

  if (!loads_expected (loads, key, from, &begin)
      || !loads_expected (loads, key, to, &end))
    return false;
  *load = MAX (begin, end);
  /* The curve has its peak where its angle is that of (cosine, sine). */
  peak = fmod (atan2 (history->sine, history->cosine)
                   - turn * (double)from / USEC_PER_SEC / loads->period_s,
               turn);
  if (peak < 0)
    peak += turn;
  if (peak <= turn * (double)(to - from) / USEC_PER_SEC / loads->period_s)
    *load
        = CLAMP (history->mean + hypot (history->sine, history->cosine), 0, 1);
  return true;
}

double
loads_period_s (const loads_t *loads)
{
  return loads->period_s;
}

/** @file
 * What is learned: sizes of classes by measured use, and how much a batch
 * class slows a service beside it.
 */
#include "placement/placement_private.h"

#include <math.h>

#define ESTIMATE_MEMORY                                                       \
  500.0                  /* samples after which old ones are forgotten        \
                          */
#define MIN_SAMPLES 10.0 /* below, declared sizes are taken as a floor */
#define MIN_RATIO 0.1
#define MAX_RATIO 3.0
/* A new attempt is measured with a lag and grows at first. */
#define SETTLE_TIME (30 * USEC_PER_SEC)
/* Reports are older than what started since: learning from them would take
   new noisy work for harmless. */
#define REPORT_LAG (10 * USEC_PER_SEC)
#define MEASURED_MARGIN 1.15
#define SMOOTHING 0.3
/* Slowdown swings with the demand on the service.  What counts is the worst,
   so it is learned quickly and forgotten slowly. */
#define LEARNING_RATE 0.2
#define FORGETTING_RATE 0.005
#define LEAST_FACTOR 0.05
/* Factor of a class not yet seen beside a service: a quarter of a worker is
   risked at first. */
#define FIRST_FACTOR 1.0
/* Below this share of cores a slowdown says nothing about batch work. */
#define MIN_SHARE 0.02

/* Cores can be throttled, so the estimate may be exceeded now and then;
   memory cannot. */
static const double deviations[MEASURED_DIMENSIONS]
    = { [CORES] = 1.0, [MEMORY] = 3.0 };

static void add_sample (estimate_t *estimate, double ratio);
static double upper_ratio (const estimate_t *estimate, dimension_t dimension);
static double *slowdown_by (const service_class_t *service,
                            const batch_class_t *class_);
static double share_of (const worker_t *worker, const running_t *running);

batch_class_t *
placement_class (placement_t *placement, const char *name)
{
  batch_class_t *class_
      = (batch_class_t *)g_hash_table_lookup (placement->classes, name);

  if (class_)
    return class_;
  class_ = g_new0 (batch_class_t, 1);
  class_->name = g_strdup (name);
  class_->number = g_hash_table_size (placement->classes);
  class_->in_rack = g_hash_table_new (NULL, NULL);
  class_->in_zone = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (placement->classes, class_->name, class_);
  return class_;
}

service_class_t *
placement_service (placement_t *placement, const char *name)
{
  service_class_t *service
      = (service_class_t *)g_hash_table_lookup (placement->services, name);

  if (service)
    return service;
  service = g_new0 (service_class_t, 1);
  service->name = g_strdup (name);
  service->number = g_hash_table_size (placement->services);
  service->slowdown_by = g_array_new (FALSE, TRUE, sizeof (double));
  g_hash_table_insert (placement->services, service->name, service);
  return service;
}

void
batch_class_free (gpointer data)
{
  batch_class_t *class_ = (batch_class_t *)data;

  g_hash_table_destroy (class_->in_rack);
  g_hash_table_destroy (class_->in_zone);
  g_free (class_->name);
  g_free (class_);
}

void
service_class_free (gpointer data)
{
  service_class_t *service = (service_class_t *)data;

  g_array_free (service->slowdown_by, TRUE);
  g_free (service->name);
  g_free (service);
}

room_t
estimate_need (const placement_t *placement, const batch_class_t *class_,
               const room_t *declared)
{
  room_t need = *declared;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    {
      uint64_t largest = 0;

      need.of[i]
          = (uint64_t)ceil ((double)declared->of[i]
                            * upper_ratio (&class_->ratio[i], (dimension_t)i));
      for (guint k = 0; k < placement->kinds->len; k++)
        largest = MAX (largest,
                       g_array_index (placement->kinds, kind_t, k).size.of[i]);
      /* A wide estimate must not make a job impossible that fits as
         declared. */
      if (need.of[i] > largest)
        need.of[i] = MIN (need.of[i], MAX (declared->of[i], largest));
    }
  return need;
}

void
estimate_measured (running_t *running, usec_t now,
                   const uint64_t measured[MEASURED_DIMENSIONS])
{
  batch_class_t *class_ = running->class_;
  bool settled = now - running->since >= SETTLE_TIME;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    {
      double use = (double)measured[i];
      double declared = (double)MAX (running->declared.of[i], 1);
      double expected;

      if (i == MEMORY)
        running->measured[i] = MAX (running->measured[i], use);
      else
        running->measured[i]
            = running->seen ? running->measured[i]
                                  + SMOOTHING * (use - running->measured[i])
                            : use;
      /* Throttled work uses less than it would. */
      if (!running->throttled)
        add_sample (&class_->ratio[i], use / declared);
      expected = declared
                 * (settled ? MIN (class_->ratio[i].mean, 1.0)
                            : upper_ratio (&class_->ratio[i], i));
      if (settled && i == CORES)
        expected = 0;
      running->reserved.of[i] = (uint64_t)ceil (
          MAX (running->measured[i] * MEASURED_MARGIN, expected));
    }
  running->seen = true;
}

double
interference_of (const service_class_t *service, const batch_class_t *class_,
                 double share)
{
  return *slowdown_by (service, class_) * share;
}

void
interference_expect (worker_t *worker)
{
  for (guint i = 0; i < worker->services->len; i++)
    {
      presence_t *presence = &g_array_index (worker->services, presence_t, i);

      presence->expected = 0.0;
      for (guint r = 0; r < worker->running->len; r++)
        {
          const running_t *running
              = (const running_t *)g_ptr_array_index (worker->running, r);

          presence->expected += interference_of (
              presence->service, running->class_, share_of (worker, running));
        }
    }
}

/* Normalized least mean squares; the constant rates forget old behaviour.
   Each class is corrected in proportion to its factor, so that a class known
   to be harmless does not take the blame for one that is not. */
void
interference_learn (const service_class_t *service, usec_t now,
                    const worker_t *worker, double slowdown)
{
  double expected = 0.0;
  double norm = 0.0;
  double error;

  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_t *running
          = (const running_t *)g_ptr_array_index (worker->running, i);
      double factor = *slowdown_by (service, running->class_);
      double share = share_of (worker, running);

      if (now - running->since < REPORT_LAG)
        return;
      expected += factor * share;
      norm += share * share * (factor + LEAST_FACTOR);
    }
  if (norm < MIN_SHARE * MIN_SHARE * LEAST_FACTOR)
    return;
  error = slowdown - 1.0 - expected;
  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_t *running
          = (const running_t *)g_ptr_array_index (worker->running, i);
      double *factor = slowdown_by (service, running->class_);

      *factor += (error > 0 ? LEARNING_RATE : FORGETTING_RATE) * error
                 * share_of (worker, running) * (*factor + LEAST_FACTOR)
                 / norm;
      *factor = MAX (*factor, 0.0);
    }
}

static void
add_sample (estimate_t *estimate, double ratio)
{
  double weight;
  double error = ratio - estimate->mean;

  estimate->samples = MIN (estimate->samples + 1.0, ESTIMATE_MEMORY);
  weight = 1.0 / estimate->samples;
  estimate->mean += weight * error;
  estimate->variance
      = (1.0 - weight) * (estimate->variance + weight * error * error);
}

static double
upper_ratio (const estimate_t *estimate, dimension_t dimension)
{
  double ratio = estimate->mean
                 + deviations[dimension] * sqrt (estimate->variance)
                 + 1.0 / sqrt (MAX (estimate->samples, 1.0));

  if (estimate->samples < 1.0)
    return 1.0;
  if (estimate->samples < MIN_SAMPLES)
    ratio = MAX (ratio, 1.0);
  return CLAMP (ratio, MIN_RATIO, MAX_RATIO);
}

static double *
slowdown_by (const service_class_t *service, const batch_class_t *class_)
{
  double first = FIRST_FACTOR;

  while (class_->number >= service->slowdown_by->len)
    g_array_append_val (service->slowdown_by, first);
  return &g_array_index (service->slowdown_by, double, class_->number);
}

static double
share_of (const worker_t *worker, const running_t *running)
{
  double cores = running->seen ? running->measured[CORES]
                               : (double)running->reserved.of[CORES];

  return cores / (double)MAX (worker->size.of[CORES], 1);
}

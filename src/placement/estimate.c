/** @file
 * Estimates from measurements: the resource usage of batch classes, and the
 * slowdown of a service that shares a worker with a batch class.
 */
#include "placement/placement_private.h"

#include <math.h>

/* Bounds the weight of old samples in the moving averages. */
#define MAX_EFFECTIVE_SAMPLES 500.0
/* With fewer samples the estimate is at least the declared size. */
#define MIN_TRUSTED_SAMPLES 10.0
#define MIN_USAGE_RATIO 0.1
#define MAX_USAGE_RATIO 3.0
/* The usage of a new attempt is reported with a delay and increases at
   first. */
#define SETTLE_TIME (30 * USEC_PER_SEC)
/* Reports are delayed.  Learning from a report that predates the start of an
   attempt would underestimate the interference of its class. */
#define REPORT_LAG (10 * USEC_PER_SEC)
/* Reservation relative to the measured usage. */
#define USAGE_MARGIN 1.15
#define CORES_SMOOTHING 0.3
/* The slowdown varies with the load of the service.  Placement depends on the
   worst case, so factors rise quickly and fall slowly. */
#define LEARNING_RATE 0.2
#define FORGETTING_RATE 0.005
/* Added to the weight of each class, so that factors of zero can rise. */
#define FACTOR_OFFSET 0.05
/* Slowdown factor of a pair of classes without reports.  With the maximum
   expected slowdown it lets a new class use a quarter of a worker. */
#define INITIAL_FACTOR 1.0
/* With a smaller share of cores in use by batch work, a slowdown is not
   attributed to it. */
#define MIN_CORE_SHARE 0.02

/* Standard deviations added to the mean usage.  Usage of cores may exceed the
   estimate occasionally, since it can be throttled; memory cannot. */
static const double deviation_margins[MEASURED_DIMENSIONS]
    = { [CORES] = 1.0, [MEMORY] = 3.0 };

static void add_sample (usage_ratio_t *estimate, double ratio);
static double upper_ratio (const usage_ratio_t *estimate,
                           dimension_t dimension);
static double *slowdown_factor (const service_class_t *service,
                                const batch_class_t *class_);
static double core_share (const worker_t *worker,
                          const running_attempt_t *running);

batch_class_t *
placement_class (placement_t *placement, const char *name)
{
  batch_class_t *class_
      = (batch_class_t *)g_hash_table_lookup (placement->classes, name);

  if (class_)
    return class_;
  class_ = g_new0 (batch_class_t, 1);
  class_->name = g_strdup (name);
  class_->index = g_hash_table_size (placement->classes);
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
  service->index = g_hash_table_size (placement->services);
  service->slowdown_factors = g_array_new (FALSE, TRUE, sizeof (double));
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

  g_array_free (service->slowdown_factors, TRUE);
  g_free (service->name);
  g_free (service);
}

resources_t
estimate_need (const placement_t *placement, const batch_class_t *class_,
               const resources_t *declared)
{
  resources_t need = *declared;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    {
      uint64_t largest = 0;

      need.amount[i]
          = (uint64_t)ceil ((double)declared->amount[i]
                            * upper_ratio (&class_->ratio[i], (dimension_t)i));
      for (guint k = 0; k < placement->shapes->len; k++)
        largest = MAX (largest,
                       g_array_index (placement->shapes, worker_shape_t, k)
                           .size.amount[i]);
      /* An uncertain estimate must not make a task impossible to place whose
         declared size fits. */
      if (need.amount[i] > largest)
        need.amount[i]
            = MIN (need.amount[i], MAX (declared->amount[i], largest));
    }
  return need;
}

void
estimate_record_usage (running_attempt_t *running, usec_t now,
                       const uint64_t measured[MEASURED_DIMENSIONS])
{
  batch_class_t *class_ = running->class_;
  bool settled = now - running->placed_at >= SETTLE_TIME;

  for (int i = 0; i < MEASURED_DIMENSIONS; i++)
    {
      double use = (double)measured[i];
      double declared = (double)MAX (running->declared.amount[i], 1);
      double expected;

      if (i == MEMORY)
        running->measured[i] = MAX (running->measured[i], use);
      else
        running->measured[i]
            = running->has_measurement
                  ? running->measured[i]
                        + CORES_SMOOTHING * (use - running->measured[i])
                  : use;
      /* A throttled attempt uses less than it needs. */
      if (!running->throttled)
        add_sample (&class_->ratio[i], use / declared);
      expected = declared
                 * (settled ? MIN (class_->ratio[i].mean, 1.0)
                            : upper_ratio (&class_->ratio[i], i));
      if (settled && i == CORES)
        expected = 0;
      running->reserved.amount[i] = (uint64_t)ceil (
          MAX (running->measured[i] * USAGE_MARGIN, expected));
    }
  running->has_measurement = true;
}

double
estimate_slowdown (const service_class_t *service, const batch_class_t *class_,
                   double share)
{
  return *slowdown_factor (service, class_) * share;
}

void
estimate_worker_slowdowns (worker_t *worker)
{
  for (guint i = 0; i < worker->services->len; i++)
    {
      local_service_t *local_service
          = &g_array_index (worker->services, local_service_t, i);

      local_service->expected_excess = 0.0;
      for (guint r = 0; r < worker->running->len; r++)
        {
          const running_attempt_t *running
              = (const running_attempt_t *)g_ptr_array_index (worker->running,
                                                              r);

          local_service->expected_excess
              += estimate_slowdown (local_service->service, running->class_,
                                    core_share (worker, running));
        }
    }
}

/* Normalized least mean squares with constant rates, so that old measurements
   are forgotten.  Each class is corrected in proportion to its factor, so that
   slowdown is not attributed to a class known to be harmless. */
void
estimate_learn_slowdown (const service_class_t *service, usec_t now,
                         const worker_t *worker, double slowdown)
{
  double expected = 0.0;
  double norm = 0.0;
  double error;

  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_attempt_t *running
          = (const running_attempt_t *)g_ptr_array_index (worker->running, i);
      double factor = *slowdown_factor (service, running->class_);
      double share = core_share (worker, running);

      if (now - running->placed_at < REPORT_LAG)
        return;
      expected += factor * share;
      norm += share * share * (factor + FACTOR_OFFSET);
    }
  if (norm < MIN_CORE_SHARE * MIN_CORE_SHARE * FACTOR_OFFSET)
    return;
  error = slowdown - 1.0 - expected;
  for (guint i = 0; i < worker->running->len; i++)
    {
      const running_attempt_t *running
          = (const running_attempt_t *)g_ptr_array_index (worker->running, i);
      double *factor = slowdown_factor (service, running->class_);

      *factor += (error > 0 ? LEARNING_RATE : FORGETTING_RATE) * error
                 * core_share (worker, running) * (*factor + FACTOR_OFFSET)
                 / norm;
      *factor = MAX (*factor, 0.0);
    }
}

static void
add_sample (usage_ratio_t *estimate, double ratio)
{
  double weight;
  double error = ratio - estimate->mean;

  estimate->samples = MIN (estimate->samples + 1.0, MAX_EFFECTIVE_SAMPLES);
  weight = 1.0 / estimate->samples;
  estimate->mean += weight * error;
  estimate->variance
      = (1.0 - weight) * (estimate->variance + weight * error * error);
}

static double
upper_ratio (const usage_ratio_t *estimate, dimension_t dimension)
{
  double ratio = estimate->mean
                 + deviation_margins[dimension] * sqrt (estimate->variance)
                 + 1.0 / sqrt (MAX (estimate->samples, 1.0));

  if (estimate->samples < 1.0)
    return 1.0;
  if (estimate->samples < MIN_TRUSTED_SAMPLES)
    ratio = MAX (ratio, 1.0);
  return CLAMP (ratio, MIN_USAGE_RATIO, MAX_USAGE_RATIO);
}

static double *
slowdown_factor (const service_class_t *service, const batch_class_t *class_)
{
  double initial = INITIAL_FACTOR;

  while (class_->index >= service->slowdown_factors->len)
    g_array_append_val (service->slowdown_factors, initial);
  return &g_array_index (service->slowdown_factors, double, class_->index);
}

static double
core_share (const worker_t *worker, const running_attempt_t *running)
{
  double cores = running->has_measurement
                     ? running->measured[CORES]
                     : (double)running->reserved.amount[CORES];

  return cores / (double)MAX (worker->size.amount[CORES], 1);
}

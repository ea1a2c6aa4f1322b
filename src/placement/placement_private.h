/** @file
 * Declarations shared by the source files of the placement.
 */
#ifndef PLACEMENT_PLACEMENT_PRIVATE_H
#define PLACEMENT_PLACEMENT_PRIVATE_H

#include "placement/placement.h"

/** Resource dimensions of workers and tasks. */
typedef enum
{
  CORES,  /**< thousandths of a core */
  MEMORY, /**< MB */
  ACCELERATORS,
  DIMENSIONS
} dimension_t;

#define MEASURED_DIMENSIONS 2 /* usage is reported for cores and memory */

typedef struct
{
  uint64_t amount[DIMENSIONS];
} resources_t;

/** Moving average of the ratio of measured usage to declared size. */
typedef struct
{
  double mean;
  double variance;
  double samples; /**< number of samples, at most MAX_EFFECTIVE_SAMPLES */
} usage_ratio_t;

typedef struct
{
  char *name;
  uint32_t index;
  usage_ratio_t ratio[MEASURED_DIMENSIONS];
  GHashTable *in_rack; /**< rack -> running attempts */
  GHashTable *in_zone;
} batch_class_t;

/** A latency-critical service reported by workers. */
typedef struct
{
  char *name;
  uint32_t index;
  GArray *slowdown_factors; /**< double by index of the batch class: slowdown
                               beyond 1 per share of the worker's cores */
} service_class_t;

/** A service on one worker. */
typedef struct
{
  service_class_t *service;
  double slowdown;        /**< smoothed, 1 = usual */
  double expected_excess; /**< slowdown beyond 1 expected from the batch work
                             on the worker */
  usec_t reported_at;
} local_service_t;

typedef struct
{
  char *id;
  uint32_t index; /**< in the arrays of workers and of free resources */
  uint32_t zone;
  uint32_t rack;
  resources_t size;
  resources_t used;           /**< reserved */
  resources_t held_resources; /**< kept free for held_for_order while evictions
                                 are in progress */
  uint64_t held_for_order;
  usec_t held_until;
  bool leaving;
  GPtrArray *running; /**< running_attempt_t */
  GArray *services;   /**< local_service_t */
  uint32_t consecutive_failures;
  uint64_t last_failed_order;
  uint32_t consecutive_quarantines;
  bool quarantined; /**< every attempt fails: no work until quarantined_until,
                       then one attempt at a time until one succeeds */
  usec_t quarantined_until;
  usec_t overloaded_since; /**< USEC_NEVER if not overloaded */
  usec_t recovered_since;  /**< USEC_NEVER if not clearly below the limits */
  usec_t last_relief;
} worker_t;

typedef struct
{
  uint64_t order;
  uint64_t attempt;
} attempt_key_t;

typedef struct
{
  attempt_key_t key; /**< must be first: key in the table of attempts */
  worker_t *worker;
  batch_class_t *class_;
  uint64_t *team_used;
  uint64_t quota_millicores; /**< charged to the team's quota */
  resources_t declared;
  resources_t reserved;
  double measured[MEASURED_DIMENSIONS]; /**< cores smoothed, peak memory */
  usec_t placed_at;
  bool has_measurement;
  bool resumable;
  bool urgent;
  bool throttled;
  bool evicting;
  usec_t eviction_requested_at;
} running_attempt_t;

/** Free resources of one worker, in a compact array for fast scans; all zero
    if the worker accepts no new work. */
typedef struct
{
  uint32_t amount[DIMENSIONS];
} free_resources_t;

/** Number of workers of one size. */
typedef struct
{
  resources_t size;
  uint32_t count;
} worker_shape_t;

struct placement
{
  GRand *random;
  const placement_ops_t *ops;
  void *ctx;
  GPtrArray *workers; /**< worker_t */
  GArray *free;       /**< free_resources_t, by index of the worker */
  GArray *shapes;     /**< worker_shape_t */
  GHashTable *by_id;
  GHashTable *running; /**< attempt_key_t -> running_attempt_t */
  GHashTable *quotas;
  GHashTable *team_used;
  GHashTable *classes;        /**< name -> batch_class_t */
  GHashTable *services;       /**< name -> service_class_t */
  GPtrArray *holding_workers; /**< worker_t with held resources; some holds may
                                 have expired */
  uint32_t quarantined_count;
  usec_t tick_due;
  guint next_checked; /**< worker at which the next tick begins */
};

/* estimate.c: estimates of need and interference. */
batch_class_t *placement_class (placement_t *placement, const char *name);
service_class_t *placement_service (placement_t *placement, const char *name);
void batch_class_free (gpointer data);
void service_class_free (gpointer data);
/** @return upper estimate of the resources that a new attempt of the class
    needs */
resources_t estimate_need (const placement_t *placement,
                           const batch_class_t *class_,
                           const resources_t *declared);
/** Updates the estimates with a measurement and adjusts the attempt's
    reservation. */
void estimate_record_usage (running_attempt_t *running, usec_t now,
                            const uint64_t measured[MEASURED_DIMENSIONS]);
/** @return slowdown of the service beyond 1 that is expected if the class uses
    a share of the worker's cores */
double estimate_slowdown (const service_class_t *service,
                          const batch_class_t *class_, double share);
/** Recomputes expected_excess of each service on the worker. */
void estimate_worker_slowdowns (worker_t *worker);
/** Updates the slowdown factors of the classes that run on the worker from a
    measured slowdown of a service. */
void estimate_learn_slowdown (const service_class_t *service, usec_t now,
                              const worker_t *worker, double slowdown);

/* relief.c */
void relief_tick (placement_t *placement, usec_t now, worker_t *worker);
/** Evicts running tasks to free capacity for an urgent order. */
void relief_preempt (placement_t *placement, usec_t now, uint64_t order,
                     const resources_t *need);

/* placement.c */
/** Updates the entry of the worker in the array of free resources. */
void placement_update_free (placement_t *placement, usec_t now,
                            worker_t *worker);

#endif

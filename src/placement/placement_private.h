/** @file
 * What the files of the slice share.
 */
#ifndef PLACEMENT_PLACEMENT_PRIVATE_H
#define PLACEMENT_PLACEMENT_PRIVATE_H

#include "placement/placement.h"

/** Dimensions that limit a worker. */
typedef enum
{
  CORES,  /**< thousandths of a core */
  MEMORY, /**< MB */
  ACCELERATORS,
  DIMENSIONS
} dimension_t;

#define MEASURED_DIMENSIONS 2 /* cores and memory */

typedef struct
{
  uint64_t of[DIMENSIONS];
} room_t;

/** Ratio of measured to declared size, with forgetting. */
typedef struct
{
  double mean;
  double variance;
  double samples; /**< since the class became known, at most
                       ESTIMATE_MEMORY */
} estimate_t;

typedef struct
{
  char *name;
  uint32_t number;
  estimate_t ratio[MEASURED_DIMENSIONS];
  GHashTable *in_rack; /**< rack -> running attempts */
  GHashTable *in_zone;
} batch_class_t;

/** A latency-critical class that was reported by workers. */
typedef struct
{
  char *name;
  uint32_t number;
  GArray *slowdown_by; /**< double by number of the batch class: slowdown per
                            share of a worker's cores */
} service_class_t;

/** A service as seen on one worker. */
typedef struct
{
  service_class_t *service;
  double slowdown; /**< smoothed, 1 = usual */
  double expected; /**< slowdown beyond 1 expected from what runs beside it */
  usec_t at;
} presence_t;

typedef struct
{
  char *id;
  uint32_t index; /**< in the array of workers and in that of free room */
  uint32_t zone;
  uint32_t rack;
  room_t size;
  room_t used; /**< reserved */
  room_t held; /**< kept for one urgent order while evictions make room */
  uint64_t held_for;
  usec_t held_until;
  bool leaving;
  GPtrArray *running;    /**< running_t */
  GArray *services;      /**< presence_t */
  uint32_t failures;     /**< one after the other */
  uint64_t failed_order; /**< newest that failed here */
  uint32_t set_asides;   /**< one after the other */
  bool set_aside;        /**< fails everything: no work until aside_until, then
                              one attempt at a time until one succeeds */
  usec_t aside_until;
  usec_t hot_since;  /**< USEC_NEVER: not too slow or too full */
  usec_t cool_since; /**< USEC_NEVER: not clearly below the limits */
  usec_t relieved_at;
} worker_t;

typedef struct
{
  uint64_t order;
  uint64_t attempt;
} attempt_key_t;

typedef struct
{
  attempt_key_t key; /**< first: the key in the table of attempts */
  worker_t *worker;
  batch_class_t *class_;
  uint64_t *team_used;
  uint64_t charged; /**< to the team's quota */
  room_t declared;
  room_t reserved;
  double measured[MEASURED_DIMENSIONS]; /**< cores smoothed, memory peak */
  usec_t since;
  bool seen; /**< measured at least once */
  bool resumable;
  bool urgent;
  bool throttled;
  bool evicting;
  usec_t evict_at; /**< when the eviction was asked for */
} running_t;

/** Free room of one worker, packed so that a scan over all is quick; all
    zero if the worker takes no new work. */
typedef struct
{
  uint32_t of[DIMENSIONS];
} free_t;

/** Workers of one size. */
typedef struct
{
  room_t size;
  uint32_t count;
} kind_t;

struct placement
{
  GRand *random;
  const placement_ops_t *ops;
  void *ctx;
  GPtrArray *workers; /**< worker_t */
  GArray *free;       /**< free_t, by index of the worker */
  GArray *kinds;      /**< kind_t */
  GHashTable *by_id;
  GHashTable *running; /**< attempt_key_t -> running_t */
  GHashTable *quotas;
  GHashTable *team_used;
  GHashTable *classes;  /**< name -> batch_class_t */
  GHashTable *services; /**< name -> service_class_t */
  GPtrArray *holding;   /**< worker_t with room held, some expired */
  uint32_t set_aside;   /**< workers */
  usec_t tick_due;
  guint tick_next; /**< worker at which the next tick begins */
};

/* estimate.c: what is learned. */
batch_class_t *placement_class (placement_t *placement, const char *name);
service_class_t *placement_service (placement_t *placement, const char *name);
void batch_class_free (gpointer data);
void service_class_free (gpointer data);
/** Size that a new attempt of the class will hardly exceed. */
room_t estimate_need (const placement_t *placement,
                      const batch_class_t *class_, const room_t *declared);
/** Takes in a measurement and sets the attempt's reservation. */
void estimate_measured (running_t *running, usec_t now,
                        const uint64_t measured[MEASURED_DIMENSIONS]);
/** Slowdown of a service expected from a share of cores in use by a class. */
double interference_of (const service_class_t *service,
                        const batch_class_t *class_, double share);
/** Sets what the worker's services are expected to suffer. */
void interference_expect (worker_t *worker);
/** Learns from the slowdown of a service beside what runs on the worker. */
void interference_learn (const service_class_t *service, usec_t now,
                         const worker_t *worker, double slowdown);

/* relief.c */
void relief_tick (placement_t *placement, usec_t now, worker_t *worker);
/** Evicts what keeps an urgent order from starting. */
void relief_make_room (placement_t *placement, usec_t now, uint64_t order,
                       const room_t *need);

/* placement.c */
/** Brings the packed free room up to date. */
void placement_refresh (placement_t *placement, usec_t now, worker_t *worker);

#endif

/** @file
 * A site on a paused clock: arrivals, entry processes, links with delay and
 * instances with slots.  Used by bench_routing only; does no I/O.
 */
#ifndef BENCH_ROUTING_WORLD_H
#define BENCH_ROUTING_WORLD_H

#include "routing/routing.h"

#define WORLD_MAX_NODES 8U
#define WORLD_MAX_INSTANCES 128U
#define WORLD_MEMBERS 6U
#define WORLD_SHARDS_PER_ZONE 8U
#define WORLD_CENTRAL UINT32_MAX /**< sender without link delay */

enum
{
  WORK_SHORT,
  WORK_LONG,
  WORK_KINDS
};

/** Service times are log-normal; some overrun their class by a factor. */
typedef struct
{
  const char *name;
  double share; /**< of the requests */
  usec_t median;
  double sigma;
  double overrun_share;
  double overrun_factor;
  usec_t deadline;
  usec_t run_limit;
  uint32_t priority;
  bool idempotent;
} work_t;

typedef struct
{
  const char *name;
  uint32_t zones;
  uint32_t nodes;
  uint32_t instances;
  uint32_t slots;     /**< of each instance */
  usec_t zone_delay;  /**< one way, between zones */
  usec_t local_delay; /**< one way, inside a zone */
  work_t work[WORK_KINDS];
} site_t;

typedef enum
{
  FAULT_NONE,
  FAULT_THIRD_FAILS, /**< every third instance fails everything at once */
  FAULT_THIRD_AWAY,  /**< every third instance does not exist */
  FAULT_KILL,        /**< two entry processes end */
  FAULT_REFUSALS,    /**< all instances refuse 30% of the attempts */
  FAULT_ZONE_CUT     /**< zone 0 is cut off from the others for 3 s */
} fault_t;

typedef struct
{
  const char *name;
  const site_t *site;
  double load; /**< of the capacity of all instances */
  bool no_long;
  double surge; /**< demand during the surge, as a multiple of LOAD */
  bool surge_of_one_member;
  bool callers_return; /**< a refused caller comes back after Retry-After */
  fault_t fault;
  bool noisy; /**< batch work on the same VMs slows them in waves */
  usec_t duration;
} scenario_t;

/* Times of every run. */
#define WORLD_WARM_UP (3 * USEC_PER_SEC)
#define WORLD_EVENT_FROM (8 * USEC_PER_SEC) /**< of a surge or a fault */
#define WORLD_SURGE_TIME (4 * USEC_PER_SEC)
#define WORLD_SLOW_FACTOR 2 /**< of the run time on a noisy VM */
#define WORLD_QUIET_TIME (4 * USEC_PER_SEC) /**< mean */
#define WORLD_NOISY_TIME (1 * USEC_PER_SEC) /**< mean */
#define WORLD_CUT_TIME (3 * USEC_PER_SEC)

typedef enum
{
  JOB_OPEN,
  JOB_RAN, /**< good if within its deadline */
  JOB_REFUSED,
  JOB_UNKNOWN,
  JOB_FAILED,
  JOB_LOST /**< its entry process ended */
} job_state_t;

typedef struct
{
  usec_t arrival;
  usec_t deadline;
  usec_t service;
  usec_t started; /**< at the instance */
  usec_t latency;
  usec_t retry_after;
  handle_t run_handle;     /**< at the process that runs it */
  handle_t forward_handle; /**< at the process that it came to */
  uint32_t origin;
  uint32_t sender; /**< of the running attempt */
  uint32_t vm;
  uint32_t peer; /**< process that it was forwarded to */
  uint32_t attempts;
  uint8_t kind;
  uint8_t member;
  uint8_t returns; /**< times that its caller came back */
  bool forwarded;
  job_state_t state;
} job_t;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_AT_VM,
  EVENT_VM_DONE,
  EVENT_ANSWER,
  EVENT_FORWARD,
  EVENT_RESULT,
  EVENT_REPORT_DUE,
  EVENT_REPORT,
  EVENT_TICK,
  EVENT_FAULT,
  EVENT_DETECTED,
  EVENT_TAKEOVER,
  EVENT_RETURN,
  EVENT_NOISE
} event_kind_t;

typedef struct
{
  usec_t at;
  uint64_t order;
  event_kind_t kind;
  uint32_t a;
  uint32_t b;
  uint32_t c;
  uint32_t d;
} event_t;

typedef struct
{
  char id[32];
  uint32_t zone;
  uint32_t shard;
  uint32_t running;
  bool away;
  bool failing;
  bool slow;
  GQueue waiting; /**< job numbers, only where slots are not respected */
} instance_t;

typedef struct world world_t;

typedef struct
{
  const char *name;
  void (*start) (world_t *world);
  void (*stop) (world_t *world);
  void (*submit) (world_t *world, uint32_t job);
  /** The answer or the failure of an attempt reached its sender. */
  void (*ended) (world_t *world, uint32_t job, attempt_end_t end);
  /** All other events; may be NULL. */
  void (*event) (world_t *world, const event_t *event);
} policy_t;

struct world
{
  const scenario_t *scenario;
  const site_t *site;
  const policy_t *policy;
  void *state; /**< of the policy */
  usec_t now;
  GRand *arrivals; /**< the same for every policy */
  GRand *links;
  GRand *noise;  /**< the same for every policy */
  GRand *random; /**< of the policy */
  GArray *jobs;  /**< job_t */
  GArray *events;
  uint64_t order;
  double base_rate; /**< requests a microsecond at full load */
  instance_t instances[WORLD_MAX_INSTANCES];
  bool alive[WORLD_MAX_NODES];
  bool refusing;       /**< see FAULT_REFUSALS */
  bool cut;            /**< zone 0 is cut off */
  uint64_t over_slots; /**< attempts that found their instance full */
  uint64_t reports;    /**< load reports sent, one for each peer */
  uint64_t forwards;
  uint64_t retries; /**< attempts after the first */
};

/** Runs one scenario to its end; free with world_free. */
world_t *world_run (const scenario_t *scenario, const policy_t *policy,
                    uint32_t seed);
void world_free (world_t *world);

job_t *world_job (const world_t *world, uint32_t job);
uint32_t world_node_zone (const world_t *world, uint32_t node);

void world_post (world_t *world, usec_t at, event_kind_t kind, uint32_t a,
                 uint32_t b, uint32_t c, uint32_t d);

/** Sends an attempt of a job to an instance.
    @param sender process, or WORLD_CENTRAL for no delay */
void world_send (world_t *world, uint32_t job, uint32_t vm, uint32_t sender);

/** @return delay of one message, -1 if the link is cut */
usec_t world_link (world_t *world, uint32_t zone_a, uint32_t zone_b);

/** Records how a job ended, at the process that it came to. */
void world_finish (world_t *world, uint32_t job, job_state_t state);

#endif

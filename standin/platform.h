/** @file
 * State of the platform stand-in: VMs, log, faults and audit.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "server.h"

typedef struct log_service log_service_t;

/** What a class of work costs.  Times follow a bounded Pareto distribution:
    many short, a few many times longer. */
typedef struct
{
  const char *name;
  double least_ms;
  double alpha; /**< the smaller, the heavier the tail */
  double most_ms;
  uint64_t millicores; /**< batch: size unless the start declares one */
  uint64_t memory_mb;
  bool resumable;
  bool once; /**< a second start of an order is a fault (invariant 6) */
} work_kind_t;

typedef enum
{
  VM_INSTANCE,
  VM_WORKER,
  VM_ENTRY
} vm_type_t;

typedef struct platform platform_t;

typedef struct
{
  platform_t *platform;
  vm_type_t type;
  char id[24];
  char address[48];
  char zone[16];
  char rack[24];
  char host[24];
  uint64_t node;
  uint64_t slots;
  uint64_t connections;
  uint64_t cores;
  uint64_t memory_mb;
  uint64_t accelerators;
  port_t *port;
  usec_t leaving_at;   /**< 0: not leaving */
  bool refuses;        /**< leaving VM refuses work itself */
  usec_t gone_at;      /**< 0: not gone */
  usec_t silent_from;  /**< connections born before silent_until and used */
  usec_t silent_until; /**< after silent_from get no answer */
  bool fails_all;      /**< worker: each attempt ends in failure */
  uint64_t in_use;     /**< instance: slots */
  uint64_t most_in_use;
  uint64_t ran;
  uint64_t refused;
  uint64_t late; /**< work that came 3 s or more after it left */
  uint64_t over; /**< starts beyond what the VM holds */
  uint64_t over_connections;
  uint64_t millicores; /**< worker: given to running attempts */
  uint64_t memory_used;
  uint64_t stale_epochs; /**< starts refused for their epoch */
  GHashTable *attempts;  /**< worker: id to attempt */
  GHashTable *epochs;    /**< worker: shard to newest epoch */
} vm_t;

struct platform
{
  struct ev_loop *loop;
  server_t *server;
  GRand *random;
  GPtrArray *vms;
  log_service_t *log;
  usec_t list_lag;
  bool check_epochs;
  bool list_frozen;
  bool list_odd; /* rows that another writer left */
  char *frozen_list;
  double time_scale;    /**< factor on service and run times */
  GHashTable *works;    /**< hash of an LC body to work_run_t */
  GHashTable *orders;   /**< order to order_run_t */
  uint64_t double_lc;   /**< LC work begun while it ran elsewhere */
  uint64_t double_runs; /**< attempts begun while one of the order ran */
  uint64_t run_again;   /**< second starts of orders of a once class */
};

/** Bound of invariant 7. */
#define LEAVING_BOUND_USEC (3 * USEC_PER_SEC)

/** @return the kind of a class; one without a row gets the default */
const work_kind_t *work_kind (const char *class_name);
/** @return service time in ms; a body that starts with "run-ms=N" sets it */
double work_time_ms (platform_t *platform, const work_kind_t *kind,
                     const char *body, size_t len);

/** Adds VMs of one type; ports from BASE up. @return false if a port is
    taken */
bool vms_add (platform_t *platform, vm_type_t type, unsigned count,
              uint16_t base, char **zones, unsigned racks);
/** Adds an entry VM, "NODE=IP:PORT" or "NODE=IP:PORT,ZONE". */
bool vms_add_entry (platform_t *platform, const char *text, char **zones);
vm_t *vm_find (platform_t *platform, const char *id);
vm_t *vm_find_entry (platform_t *platform, uint64_t node);
/** @return the list as JSON text; free with g_free */
char *vms_list (platform_t *platform);
/** Counts work that comes to a VM that left long ago. */
void vm_note_late (vm_t *vm);
/** @return true if the request's connection is to get no answer */
bool vm_is_silent (const vm_t *vm, const request_t *request);

/** Handlers of the ports. */
void instance_handle (void *ctx, request_t *request);
void worker_handle (void *ctx, request_t *request);
void control_handle (void *ctx, request_t *request);
void log_handle (log_service_t *log, request_t *request, const char *client);

/** Ends all attempts of a worker that dies. */
void worker_kill (vm_t *vm);
json_t *worker_orders_json (platform_t *platform);
/** @return how many of the hashes (hex, one a line) ran on an instance */
uint64_t instance_count_ran (platform_t *platform, const char *text);

log_service_t *log_service_new (platform_t *platform, double latency_ms,
                                uint64_t retention);
json_t *log_service_json (const log_service_t *log);

typedef enum
{
  LOG_DOWN,         /**< 1: every call's connection is closed */
  LOG_SLOW_MS,      /**< added to each call */
  LOG_LOSE_REPLIES, /**< the next N appends take effect without an answer */
  LOG_RETENTION,    /**< records kept */
  LOG_FAULT_COUNT
} log_fault_t;

void log_service_fault (log_service_t *log, log_fault_t fault, uint64_t value);
/** Takes the log away from one client only, or gives it back. */
void log_service_down_for (log_service_t *log, const char *client, bool down);

#endif

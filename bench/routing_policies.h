/** @file
 * The policies that bench_routing compares.
 */
#ifndef BENCH_ROUTING_POLICIES_H
#define BENCH_ROUTING_POLICIES_H

#include "routing_world.h"

typedef enum
{
  POLICY_OURS, /**< routing_t and limits_t of every entry process */
  POLICY_RANDOM,
  POLICY_ROUND_ROBIN,
  POLICY_LEAST,     /**< connections, own counts only */
  POLICY_STATIC,    /**< slots of each VM divided between the processes */
  POLICY_FCFS,      /**< one process without delay, no admission */
  POLICY_REFERENCE, /**< one process without delay that knows run times */
  POLICY_COUNT
} policy_id_t;

/** The baselines; the row of POLICY_OURS is routing_nodes_policy. */
extern const policy_t baseline_policies[POLICY_COUNT];
extern const policy_t routing_nodes_policy;

#endif

/** @file
 * Table of the queues that callers may submit to, from one version of the
 * configuration.
 */
#ifndef QUEUES_QUEUES_H
#define QUEUES_QUEUES_H

#include "base/types.h"

typedef struct
{
  char *name;
  char *host;         /**< value of the Host header without the port */
  char *path_prefix;  /**< ends with a slash */
  char *service;      /**< workers of this service run the queue's jobs */
  uint32_t priority;  /**< 0 is served first */
  uint32_t attempts;  /**< failed runs after which a task has failed */
  uint32_t stretch;   /**< latency objective in percent of the duration of the
                           job's longest chain of steps */
  uint32_t target_ms; /**< constant part of the latency objective */
  usec_t timeout;     /**< longest time until a caller is answered */
} queue_rules_t;

typedef struct queues queues_t;

queues_t *queues_new (uint64_t version);
void queues_free (queues_t *queues);

/** Adds a queue unless its name is in use; takes ownership of the strings of
    RULES. */
void queues_add (queues_t *queues, const queue_rules_t *rules);

/** Records that the workers of a service reject starts beyond their capacity.
 */
void queues_add_guarded_service (queues_t *queues, const char *service);

/** @return whether the workers of the service reject starts beyond their
    capacity */
bool queues_rejects_overload (const queues_t *queues, const char *service);

/** @return version of the configuration */
uint64_t queues_version (const queues_t *queues);

/** @return the rules of the queue called NAME, NULL if there is none */
const queue_rules_t *queues_get (const queues_t *queues, const char *name);

/** Finds the queue of a request by its host and the longest matching path
    prefix.
    @param host value of the Host header; its port and case are ignored
    @param rest set to the path after the prefix
    @return NULL if no queue matches */
const queue_rules_t *queues_find (const queues_t *queues, const char *host,
                                  const char *path, const char **rest);

#endif

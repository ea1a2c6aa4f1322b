/** @file
 * Admission, queueing and choice of the VM or peer for latency-critical
 * requests.
 *
 * The caller passes requests and events; decisions come out through the
 * callbacks.  Work goes to an instance whose shard this process may act on,
 * or to a peer that reported free slots; one hop at most.  What cannot meet
 * its deadline is refused at once.  Does no I/O.
 */
#ifndef ROUTING_ROUTING_H
#define ROUTING_ROUTING_H

#include "base/table.h"
#include "limits/limits.h"

#include <glib.h>
#include <jansson.h>

typedef struct
{
  const char *class_name;
  const char *member;
  uint32_t priority; /**< 0 is the most important */
  uint32_t weight;   /**< fair share of the member, at least 1 */
  usec_t deadline;   /**< absolute */
  usec_t run_limit;  /**< of one attempt */
  bool idempotent;   /**< may be sent again after its run limit */
  uint32_t hops;     /**< 1 if it came over the peer link */
  uint64_t tag;      /**< the caller's own name of it, see routing_tag */
} request_info_t;

typedef struct
{
  uint32_t zone;
  uint32_t max_queue;     /**< requests */
  usec_t retry_min;       /**< first backoff, jittered */
  uint32_t retry_percent; /**< retry budget, percent of the load: 10 */
} routing_config_t;

/** How an attempt or a forwarded request ended. */
typedef enum
{
  ATTEMPT_RAN,         /**< complete answer */
  ATTEMPT_NOT_STARTED, /**< surely not run: refused or never sent */
  ATTEMPT_NO_ANSWER,   /**< sent, no complete answer: may have run */
  ATTEMPT_FAILED       /**< complete answer that says the work failed */
} attempt_end_t;

typedef struct
{
  /** Sends the request to an instance; the slot is taken. */
  void (*dispatch) (void *ctx, usec_t now, handle_t request, handle_t vm);
  /** Hands the request to the peer that owns free slots. */
  void (*forward) (void *ctx, usec_t now, handle_t request, node_id_t peer);
  /** The request ends here without (another) attempt.  OUTCOME_NOT_RUN
      (1) or OUTCOME_UNKNOWN (3); retry_after is 0 if it need not come back. */
  void (*give_up) (void *ctx, usec_t now, handle_t request, int outcome,
                   usec_t retry_after);
  /** @return whether this process may act on a shard right now; called just
      before each dispatch */
  bool (*may_act) (void *ctx, uint32_t shard);
} routing_ops_t;

typedef struct routing routing_t;

routing_t *routing_new (const routing_config_t *config, limits_t *limits,
                        GRand *random, const routing_ops_t *ops, void *ctx);
void routing_free (routing_t *routing);

/** Takes in a request; one of the callbacks runs for it now or later.  The
    strings of INFO are copied.  The callbacks may call routing functions.
    @return its handle, HANDLE_NONE if it has ended already (give_up was called
    with it) or, without a callback, if TABLE_MAX_ROWS requests are open */
handle_t routing_submit (routing_t *routing, usec_t now,
                         const request_info_t *info);

/** @return the tag given with the request, 0 if the handle is stale.  The
    callbacks may run before routing_submit has returned the handle; the tag
    tells them which request is meant. */
uint64_t routing_tag (const routing_t *routing, handle_t request);

/** The caller went away; a request that waits is dropped. */
void routing_abandon (routing_t *routing, usec_t now, handle_t request);

/** An attempt ended.  A VM that refused because it leaves is to be marked
    with limits_set_leaving first, so that this does not count as its failure.
   After ATTEMPT_RAN and ATTEMPT_FAILED the request is forgotten; after the
   others it is retried if safe and within budget, or given up. */
void routing_attempt_ended (routing_t *routing, usec_t now, handle_t request,
                            attempt_end_t end, usec_t run_time);

/** A forwarded request ended at the peer.  ATTEMPT_NOT_STARTED: the peer
    refused it or the link broke before it was sent. */
void routing_forward_ended (routing_t *routing, usec_t now, handle_t request,
                            attempt_end_t end);

/** Load report of a peer. @param queued its routing_backlog @param link_delay
   one way, microseconds
    @param usable false if it is not live or draining */
void routing_update_peer (routing_t *routing, usec_t now, node_id_t peer,
                          uint32_t zone, uint64_t free_slots, uint64_t queued,
                          usec_t link_delay, bool usable);

/** Shards owned or VMs changed: waiting requests are looked at again. */
void routing_refresh (routing_t *routing, usec_t now);

/** @return free slots on instances this process may use */
uint64_t routing_free_slots (const routing_t *routing);
uint64_t routing_queued (const routing_t *routing);

/** @return requests that wait and whose member is within its fair share: the
    QUEUED of the load report to peers */
uint64_t routing_backlog (const routing_t *routing);

/** @return whether the load differs so much from the last report that peers
    should get one now instead of at the next heartbeat; true at most every
    25 ms, and not while the load is steady.  Call it after routing_tick. */
bool routing_report_due (routing_t *routing, usec_t now);

/** Gives up what missed its deadline, runs due retries and limits_tick.
    @return when to call again, USEC_NEVER for no need; the other calls may
    bring that time forward, so that a fixed interval of 5 ms while work is
    open is the simplest */
usec_t routing_tick (routing_t *routing, usec_t now);

json_t *routing_dump (const routing_t *routing, usec_t now);

#endif

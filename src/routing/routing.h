/** @file
 * Admission, queueing and choice of the VM or peer for latency-critical
 * requests.
 *
 * The caller passes in requests and events and receives decisions through
 * callbacks.  A request is dispatched to a VM whose shard this process may act
 * on, or forwarded, at most once, to a peer that reported free slots.  A
 * request that cannot meet its deadline is refused at once.  Does no I/O.
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
  uint32_t weight;   /**< of the member in fair sharing, at least 1 */
  usec_t deadline;   /**< absolute */
  usec_t run_limit;  /**< of one attempt */
  bool idempotent;   /**< may be sent again after its run limit */
  uint32_t hops;     /**< 1 if a peer forwarded the request, else 0 */
  uint64_t tag;      /**< chosen by the caller, see routing_tag */
} request_info_t;

typedef struct
{
  uint32_t zone;
  uint32_t max_queue;     /**< requests */
  usec_t retry_min;       /**< first backoff, jittered */
  uint32_t retry_percent; /**< retries allowed, percent of requests: 10 */
} routing_config_t;

/** How an attempt or a forwarded request ended. */
typedef enum
{
  ATTEMPT_RAN,         /**< complete answer */
  ATTEMPT_NOT_STARTED, /**< certainly not run: refused or never sent */
  ATTEMPT_NO_ANSWER,   /**< sent but no complete answer: may have run */
  ATTEMPT_FAILED       /**< complete answer that says the work failed */
} attempt_end_t;

typedef struct
{
  /** Sends the request to a VM, of which a slot has been taken. */
  void (*dispatch) (void *ctx, usec_t now, handle_t request, handle_t vm);
  /** Forwards the request to a peer. */
  void (*forward) (void *ctx, usec_t now, handle_t request, node_id_t peer);
  /** The request ends without another attempt.
      @param outcome OUTCOME_NOT_RUN (1) or OUTCOME_UNKNOWN (3)
      @param retry_after 0 if the caller should not retry */
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

/** Submits a request; one of the callbacks runs for it now or later.  The
    strings of INFO are copied.  The callbacks may call routing functions.
    @return its handle; HANDLE_NONE if the request has ended already (give_up
    was called for it) or, without a callback, if TABLE_MAX_ROWS requests are
    open */
handle_t routing_submit (routing_t *routing, usec_t now,
                         const request_info_t *info);

/** @return the tag given with the request, 0 if the handle is stale.  The
    callbacks may run before routing_submit has returned the handle; they
    identify the request by its tag. */
uint64_t routing_tag (const routing_t *routing, handle_t request);

/** The caller no longer waits for the answer: a waiting request is dropped;
    a running one is not retried, and give_up is not called for it. */
void routing_abandon (routing_t *routing, usec_t now, handle_t request);

/** An attempt ended.  If the VM refused it because the VM is leaving, call
    limits_set_leaving first, so that this does not count as a failure of the
   VM. ATTEMPT_RAN and ATTEMPT_FAILED end the request; after the other results
   it is retried if that is safe and within the retry budget, or given up. */
void routing_attempt_ended (routing_t *routing, usec_t now, handle_t request,
                            attempt_end_t end, usec_t run_time);

/** A forwarded request ended at the peer.  ATTEMPT_NOT_STARTED: the peer
    refused it or the link broke before it was sent. */
void routing_forward_ended (routing_t *routing, usec_t now, handle_t request,
                            attempt_end_t end);

/** Updates a peer from its load report.
    @param queued its routing_backlog
    @param link_delay one way, microseconds
    @param usable false if the peer is draining or not live */
void routing_update_peer (routing_t *routing, usec_t now, node_id_t peer,
                          uint32_t zone, uint64_t free_slots, uint64_t queued,
                          usec_t link_delay, bool usable);

/** Places waiting requests after a change of the owned shards or the VMs. */
void routing_refresh (routing_t *routing, usec_t now);

/** @return free slots of the VMs that this process may use, without slow and
    suspect VMs */
uint64_t routing_free_slots (const routing_t *routing);
uint64_t routing_queued (const routing_t *routing);

/** @return number of waiting requests whose member is within its fair share:
    the queued field of the load report to peers */
uint64_t routing_backlog (const routing_t *routing);

/** @return whether the load has changed enough since the last report to send
    one now instead of at the next heartbeat; true at most every 25 ms.  Call
    this after routing_tick. */
bool routing_report_due (routing_t *routing, usec_t now);

/** Gives up requests that can no longer meet their deadline and runs due
    retries and limits_tick.
    @return when to call again, USEC_NEVER if there is no need.  Other calls
    may make an earlier time necessary; a fixed interval of 5 ms while
    requests are open avoids tracking that. */
usec_t routing_tick (routing_t *routing, usec_t now);

json_t *routing_dump (const routing_t *routing, usec_t now);

#endif

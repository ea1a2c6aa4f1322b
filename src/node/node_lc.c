/** @file
 * Latency-critical requests: received from callers and peers, sent to
 * instances and peers.
 */
#include "base/counters.h"
#include "base/log.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <inttypes.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define HEADER_COUNT 7
#define HEADER_BYTES 128

/* An attempt to run a request on an instance. */
typedef struct
{
  node_t *node;
  handle_t lc;
  handle_t routing_handle;
  handle_t vm;
  usec_t sent_at;
} lc_attempt_t;

static void on_dispatch (void *ctx, usec_t now, handle_t request, handle_t vm);
static void on_forward (void *ctx, usec_t now, handle_t request,
                        node_id_t peer);
static void on_give_up (void *ctx, usec_t now, handle_t request, int outcome,
                        usec_t retry_after);
static bool on_may_act (void *ctx, uint32_t shard);
static void on_attempt_answer (void *ctx, const http_answer_t *answer);
static attempt_end_t attempt_end_of (const http_answer_t *answer);
static void finish_request (node_t *node, handle_t handle, outcome_t outcome,
                            int status, usec_t retry_after, blob_t body);
static void answer_caller (node_t *node, const lc_request_t *lc,
                           outcome_t outcome, int status, usec_t retry_after,
                           blob_t body);
static void answer_peer (node_t *node, const lc_request_t *lc,
                         outcome_t outcome, int status, usec_t retry_after,
                         blob_t body);
static void queue_unsent (node_t *node, handle_t routing_handle, bool forward);
static handle_t lc_handle_of (node_t *node, handle_t routing_handle);
static void lc_remove (node_t *node, handle_t handle);
static void send_attempt (node_t *node, handle_t handle, const vm_t *vm,
                          handle_t vm_handle, uint64_t epoch);

const routing_ops_t node_routing_ops
    = { on_dispatch, on_forward, on_give_up, on_may_act };

void
node_lc_submit (node_t *node, usec_t now, lc_request_t *request,
                const work_class_t *class_info, const member_t *member,
                uint32_t hops)
{
  handle_t handle = table_add (node->lc_requests);
  lc_request_t *lc = table_get (node->lc_requests, handle);
  request_info_t info = { .class_name = class_info->name,
                          .member = request->member,
                          .priority = class_info->priority,
                          .weight = member ? member->weight : 1,
                          .deadline = request->deadline,
                          .run_limit = class_info->run_limit,
                          .idempotent = class_info->idempotent,
                          .hops = hops,
                          .tag = handle };
  handle_t routing_handle;

  if (!lc)
    {
      answer_caller (node, request, OUTCOME_NOT_RUN, STATUS_UNAVAILABLE,
                     USEC_PER_SEC, (blob_t){ 0 });
      return;
    }
  *lc = *request;
  lc->run_limit = class_info->run_limit;
  lc->idempotent = class_info->idempotent;
  counter_add (COUNTER_REQUESTS, 1);
  routing_handle = routing_submit (node->routing, now, &info);
  lc = table_get (node->lc_requests, handle);
  if (lc && routing_handle != HANDLE_NONE)
    lc->routing_handle = routing_handle;
}

void
node_lc_receive_work (node_t *node, usec_t now, node_id_t from,
                      const msg_work_t *work)
{
  const bundle_t *bundle = node_bundle (node);
  g_autofree char *class_name = blob_dup (work->class_name);
  const work_class_t *class_info
      = bundle ? bundle_class (bundle, class_name) : NULL;
  lc_request_t lc
      = { .from_peer = true, .from_node = from, .peer_request_id = work->id };

  if (!class_info || !class_info->latency_critical)
    {
      answer_peer (node, &lc, OUTCOME_NOT_RUN, STATUS_UNAVAILABLE,
                   USEC_PER_SEC, (blob_t){ 0 });
      return;
    }
  lc.class_name = g_steal_pointer (&class_name);
  lc.member = blob_dup (work->member);
  lc.body = g_bytes_new (work->body.data, work->body.len);
  lc.deadline = now + (usec_t)work->remaining_ms * USEC_PER_MSEC;
  node_lc_submit (node, now, &lc, class_info, NULL, 1);
}

void
node_lc_receive_result (node_t *node, usec_t now, const msg_result_t *result)
{
  static const attempt_end_t ends[]
      = { [OUTCOME_NONE] = ATTEMPT_NO_ANSWER,
          [OUTCOME_NOT_RUN] = ATTEMPT_NOT_STARTED,
          [OUTCOME_RAN] = ATTEMPT_RAN,
          [OUTCOME_UNKNOWN] = ATTEMPT_NO_ANSWER };
  gpointer found = g_hash_table_lookup (node->forwards, &result->id);
  handle_t handle = GPOINTER_TO_UINT (found);
  lc_request_t *lc = table_get (node->lc_requests, handle);
  handle_t routing_handle;

  if (!lc || result->outcome > OUTCOME_UNKNOWN)
    return;
  routing_handle = lc->routing_handle;
  g_hash_table_remove (node->forwards, &lc->forward_id);
  lc->forward_id = 0;
  if (result->outcome == OUTCOME_RAN)
    finish_request (node, handle, OUTCOME_RAN, (int)result->status, 0,
                    result->body);
  routing_forward_ended (node->routing, now, routing_handle,
                         ends[result->outcome]);
  node_wake (node);
}

void
node_lc_abandoned (node_t *node, usec_t now, handle_t http)
{
  for (handle_t h = table_next (node->lc_requests, HANDLE_NONE);
       h != HANDLE_NONE; h = table_next (node->lc_requests, h))
    {
      lc_request_t *lc = table_get (node->lc_requests, h);

      if (lc->from_peer || lc->http != http)
        continue;
      routing_abandon (node->routing, now, lc->routing_handle);
      if (!lc->running && !lc->forward_id)
        lc_remove (node, h);
      return;
    }
}

void
node_lc_peer_ended (node_t *node, usec_t now, node_id_t peer)
{
  GArray *cut = g_array_new (FALSE, FALSE, sizeof (handle_t));

  for (handle_t h = table_next (node->lc_requests, HANDLE_NONE);
       h != HANDLE_NONE; h = table_next (node->lc_requests, h))
    {
      lc_request_t *lc = table_get (node->lc_requests, h);

      if (!lc->forward_id || lc->forwarded_to != peer)
        continue;
      g_hash_table_remove (node->forwards, &lc->forward_id);
      lc->forward_id = 0;
      g_array_append_val (cut, lc->routing_handle);
    }
  for (guint i = 0; i < cut->len; i++)
    routing_forward_ended (node->routing, now,
                           g_array_index (cut, handle_t, i),
                           ATTEMPT_NO_ANSWER);
  g_array_free (cut, TRUE);
}

void
node_lc_tick (node_t *node, usec_t now)
{
  GArray *unsent = node->unsent;

  if (!unsent->len)
    return;
  node->unsent = g_array_new (FALSE, FALSE, sizeof (unsent_t));
  for (guint i = 0; i < unsent->len; i++)
    {
      const unsent_t *entry = &g_array_index (unsent, unsent_t, i);

      if (entry->forward)
        routing_forward_ended (node->routing, now, entry->routing_handle,
                               ATTEMPT_NOT_STARTED);
      else
        routing_attempt_ended (node->routing, now, entry->routing_handle,
                               ATTEMPT_NOT_STARTED, 0);
    }
  g_array_free (unsent, TRUE);
}

static void
queue_unsent (node_t *node, handle_t routing_handle, bool forward)
{
  unsent_t unsent = { routing_handle, forward };

  g_array_append_val (node->unsent, unsent);
  node_wake (node);
}

static void
on_dispatch (void *ctx, usec_t now, handle_t request, handle_t vm_handle)
{
  node_t *node = ctx;
  handle_t handle = lc_handle_of (node, request);
  const vm_t *vm = limits_vm (node->limits, vm_handle);
  lc_request_t *lc = table_get (node->lc_requests, handle);
  uint64_t epoch = 0;

  (void)now;
  if (!lc || !vm)
    {
      queue_unsent (node, request, false);
      return;
    }
  lc->routing_handle = request;
  claims_may_act (node->claims, clock_now (), vm->shard, &epoch);
  send_attempt (node, handle, vm, vm_handle, epoch);
}

static void
send_attempt (node_t *node, handle_t handle, const vm_t *vm,
              handle_t vm_handle, uint64_t epoch)
{
  lc_request_t *lc = table_get (node->lc_requests, handle);
  lc_attempt_t *attempt = g_new0 (lc_attempt_t, 1);
  char header_lines[HEADER_COUNT - 1][HEADER_BYTES];
  const char *headers[HEADER_COUNT] = { 0 };
  char url[HEADER_BYTES];
  gsize len = 0;
  const char *body = g_bytes_get_data (lc->body, &len);
  http_request_t request = { .method = "POST",
                             .url = url,
                             .headers = headers,
                             .body = { body, (uint32_t)len },
                             .timeout = lc->run_limit,
                             .new_connection = lc->attempts > 0 };

  attempt->node = node;
  attempt->lc = handle;
  attempt->routing_handle = lc->routing_handle;
  attempt->vm = vm_handle;
  attempt->sent_at = clock_now ();
  lc->running = true;
  lc->attempts++;
  counter_add (COUNTER_UPSTREAM_ATTEMPTS, 1);
  g_snprintf (url, sizeof url, "http://%s/work", vm->address);
  g_snprintf (header_lines[0], HEADER_BYTES, "Limpethinge-Attempt: %u",
              lc->attempts);
  g_snprintf (header_lines[1], HEADER_BYTES, "Limpethinge-Epoch: %" PRIu64,
              epoch);
  g_snprintf (header_lines[2], HEADER_BYTES, "Limpethinge-Shard: %u",
              vm->shard);
  g_snprintf (header_lines[3], HEADER_BYTES, "Limpethinge-Class: %s",
              lc->class_name);
  g_snprintf (header_lines[4], HEADER_BYTES,
              "Limpethinge-Run-Limit-Ms: %" PRId64,
              (int64_t)(lc->run_limit / USEC_PER_MSEC));
  g_strlcpy (header_lines[5], "Content-Type: application/octet-stream",
             HEADER_BYTES);
  for (int i = 0; i < HEADER_COUNT - 1; i++)
    headers[i] = header_lines[i];
  http_client_send (node->upstreams, &request, on_attempt_answer, attempt);
}

static void
on_attempt_answer (void *ctx, const http_answer_t *answer)
{
  lc_attempt_t *attempt = ctx;
  node_t *node = attempt->node;
  usec_t now = clock_now ();
  attempt_end_t end = attempt_end_of (answer);
  const vm_t *vm = limits_vm (node->limits, attempt->vm);
  lc_request_t *lc = table_get (node->lc_requests, attempt->lc);

  if (answer->leaving && vm && vm->state == VM_LIVE)
    {
      limits_set_leaving (node->limits, attempt->vm);
      log_line (LOG_LEVEL_NOTICE, "upstream", vm->id, "VM says it is leaving");
    }
  if (answer->transfer_result != HTTP_ANSWERED)
    counter_add (COUNTER_UPSTREAM_ERRORS, 1);
  if (lc)
    lc->running = false;
  if (end == ATTEMPT_RAN || end == ATTEMPT_FAILED)
    finish_request (node, attempt->lc, OUTCOME_RAN, answer->status, 0,
                    answer->body);
  routing_attempt_ended (node->routing, now, attempt->routing_handle, end,
                         now - attempt->sent_at);
  g_free (attempt);
  node_wake (node);
}

static attempt_end_t
attempt_end_of (const http_answer_t *answer)
{
  if (answer->transfer_result == HTTP_NOT_SENT)
    return ATTEMPT_NOT_STARTED;
  if (answer->transfer_result == HTTP_INCOMPLETE)
    return ATTEMPT_NO_ANSWER;
  if (answer->status == STATUS_UNAVAILABLE)
    return ATTEMPT_NOT_STARTED;
  return answer->status == STATUS_OK ? ATTEMPT_RAN : ATTEMPT_FAILED;
}

static void
on_forward (void *ctx, usec_t now, handle_t request, node_id_t peer)
{
  node_t *node = ctx;
  handle_t handle = lc_handle_of (node, request);
  lc_request_t *lc = table_get (node->lc_requests, handle);
  message_t message = { .type = MSG_WORK };
  gsize len = 0;
  const char *body;
  uint64_t *key;

  if (!lc)
    {
      queue_unsent (node, request, true);
      return;
    }
  lc->routing_handle = request;
  body = g_bytes_get_data (lc->body, &len);
  message.u.work.id = node_new_id (node);
  message.u.work.class_name = blob_of (lc->class_name);
  message.u.work.member = blob_of (lc->member);
  message.u.work.remaining_ms
      = (uint64_t)MAX (lc->deadline - now, 0) / USEC_PER_MSEC;
  message.u.work.hops = 1;
  message.u.work.body = (blob_t){ body, (uint32_t)len };
  if (peerlink_send (node->link, peer, &message))
    {
      queue_unsent (node, request, true);
      return;
    }
  counter_add (COUNTER_FORWARDED, 1);
  lc->forward_id = message.u.work.id;
  lc->forwarded_to = peer;
  key = g_new (uint64_t, 1);
  *key = lc->forward_id;
  g_hash_table_insert (node->forwards, key, GUINT_TO_POINTER (handle));
}

static void
on_give_up (void *ctx, usec_t now, handle_t request, int outcome,
            usec_t retry_after)
{
  node_t *node = ctx;
  handle_t handle = lc_handle_of (node, request);
  const lc_request_t *lc = table_get (node->lc_requests, handle);
  int status = STATUS_UNAVAILABLE;

  if (!lc)
    return;
  if (outcome == OUTCOME_UNKNOWN)
    status = STATUS_BAD_GATEWAY;
  else if (now >= lc->deadline)
    status = STATUS_GATEWAY_TIMEOUT;
  finish_request (node, handle, (outcome_t)outcome, status, retry_after,
                  (blob_t){ 0 });
}

/* Reads the clock again: if the process was suspended since the tick began,
   it must notice that its lease has lapsed before it sends. */
static bool
on_may_act (void *ctx, uint32_t shard)
{
  node_t *node = ctx;

  return !node->releasing[shard] && node_may_act (node, clock_now (), shard);
}

static void
finish_request (node_t *node, handle_t handle, outcome_t outcome, int status,
                usec_t retry_after, blob_t body)
{
  static const counter_t counters[] = { [OUTCOME_NOT_RUN] = COUNTER_NOT_RUN,
                                        [OUTCOME_RAN] = COUNTER_ANSWERED,
                                        [OUTCOME_UNKNOWN] = COUNTER_UNKNOWN };
  const lc_request_t *lc = table_get (node->lc_requests, handle);

  if (!lc)
    return;
  counter_add (counters[outcome], 1);
  if (lc->from_peer)
    answer_peer (node, lc, outcome, status, retry_after, body);
  else
    answer_caller (node, lc, outcome, status, retry_after, body);
  lc_remove (node, handle);
}

static void
answer_caller (node_t *node, const lc_request_t *lc, outcome_t outcome,
               int status, usec_t retry_after, blob_t body)
{
  char text[HEADER_BYTES];
  httpd_answer_t answer
      = { .status = status,
          .outcome = outcome_name (outcome),
          .retry_after_s
          = (uint32_t)((retry_after + USEC_PER_SEC - 1) / USEC_PER_SEC),
          .body = body };

  if (outcome == OUTCOME_RAN)
    answer.content_type = "application/octet-stream";
  else
    {
      g_snprintf (text, sizeof text,
                  "{\"outcome\": \"%s\", \"retry_after_ms\": %" PRId64 "}\n",
                  answer.outcome, (int64_t)(retry_after / USEC_PER_MSEC));
      answer.body = blob_of (text);
    }
  httpd_answer (node->callers, lc->http, &answer);
}

static void
answer_peer (node_t *node, const lc_request_t *lc, outcome_t outcome,
             int status, usec_t retry_after, blob_t body)
{
  message_t message
      = { .type = MSG_RESULT,
          .u.result
          = { .id = lc->peer_request_id,
              .outcome = outcome,
              .status = (uint64_t)status,
              .retry_after_ms = (uint64_t)(retry_after / USEC_PER_MSEC),
              .body = body } };

  peerlink_send (node->link, lc->from_node, &message);
}

static handle_t
lc_handle_of (node_t *node, handle_t routing_handle)
{
  return (handle_t)routing_tag (node->routing, routing_handle);
}

static void
lc_remove (node_t *node, handle_t handle)
{
  lc_request_t *lc = table_get (node->lc_requests, handle);

  if (lc->forward_id)
    g_hash_table_remove (node->forwards, &lc->forward_id);
  g_free (lc->class_name);
  g_free (lc->member);
  g_bytes_unref (lc->body);
  table_remove (node->lc_requests, handle);
}

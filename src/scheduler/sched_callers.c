/** @file
 * Requests of callers: submit, ask for and cancel jobs, count a queue.
 */
#include "scheduler/sched_private.h"

#define DEADLINE_DEFAULT (3 * USEC_PER_SEC)
/* An answer leaves this long before the caller gives up. */
#define ANSWER_MARGIN (150 * USEC_PER_MSEC)
/* A submission is offered to the shard's owner, whose appends carry many
   records; appends of each process one by one would fill a slow store's queue,
   and the next owner's first append would find no place there.  It is offered
   again if there is no owner or it has not loaded yet, until an append by this
   process just fits into the time that is left. */
#define APPEND_RESERVE (1000 * USEC_PER_MSEC)
#define OFFER_SPAN_LEAST (600 * USEC_PER_MSEC)
/* Over what the owner waits before it says that it cannot tell yet. */
#define OFFER_TIMEOUT (750 * USEC_PER_MSEC)
/* Nothing is offered to a silent owner for this long: about what it takes
   until another one is dealt its shard. */
#define OWNER_SILENT (1000 * USEC_PER_MSEC)
#define APPEND_TIMEOUT (900 * USEC_PER_MSEC)
#define APPEND_PAUSE (60 * USEC_PER_MSEC)
/* Refused by the store so often, a submission is refused. */
#define APPEND_TRIES 2U
/* The owner is asked again, and its connection replaced, without an answer
   for this long; over twice what an owner waits for its own store. */
#define ASK_TIMEOUT (800 * USEC_PER_MSEC)
#define ASK_PAUSE (60 * USEC_PER_MSEC)
#define RETRY_AFTER_S 1U
/* An owner that answered so recently is taken to be reachable: longer than the
   pauses between the questions of a process that takes requests. */
#define OWNER_RECENT (2 * USEC_PER_SEC)
#define MAX_OPEN_REQUESTS 20000U

/* A submission's append.  The request may be abandoned meanwhile.  */
typedef struct
{
  scheduler_t *scheduler;
  uint64_t request;
  usec_t sent;
} append_call_t;

static void on_request (void *ctx, const httpd_request_t *request);
static void on_abandoned (void *ctx, handle_t http);
static void on_ready (void *ctx, const httpd_request_t *request);
static void on_operator (void *ctx, const httpd_request_t *request);
static void ignore_abandoned (void *ctx, handle_t http);
static usec_t deadline_of (scheduler_t *s, handle_t http,
                           const queue_rules_t *rules, usec_t now);
static bool can_submit (const scheduler_t *s, usec_t now);
static void submit (scheduler_t *s, usec_t now, const httpd_request_t *http,
                    const queue_rules_t *rules, job_id_t job);
static void ask (scheduler_t *s, usec_t now, const httpd_request_t *http,
                 const queue_rules_t *rules, job_id_t job, ask_kind_t kind);
static request_t *open_request (scheduler_t *s, usec_t now,
                                const httpd_request_t *http,
                                const queue_rules_t *rules, job_id_t job);
static void step (scheduler_t *s, usec_t now, request_t *request);
static usec_t offer_end (const request_t *request, usec_t now);
static void offer (scheduler_t *s, usec_t now, request_t *request);
static void on_offer_told (scheduler_t *s, usec_t now, request_t *request,
                           tell_code_t code);
static void accepted (scheduler_t *s, usec_t now, request_t *request);
static void send_append (scheduler_t *s, usec_t now, request_t *request);
static void on_appended (void *ctx, store_result_t result, const char *error);
static void send_ask (scheduler_t *s, usec_t now, request_t *request);
static void give_up (scheduler_t *s, request_t *request);
static void finish (scheduler_t *s, request_t *request, int status,
                    uint32_t retry_after_s, char *body);
static void answer_now (scheduler_t *s, handle_t http, int status,
                        uint32_t retry_after_s, const char *error);

const httpd_ops_t sched_caller_ops = { on_request, on_abandoned };
const httpd_ops_t sched_ready_ops = { on_ready, ignore_abandoned };
const httpd_ops_t sched_operator_ops = { on_operator, ignore_abandoned };

void
request_free (void *data)
{
  request_t *request = data;

  g_free (request->queue);
  if (request->record)
    g_byte_array_unref (request->record);
  g_free (request);
}

static void
on_request (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  const char *host = httpd_header (s->callers, http->handle, "Host");
  const char *rest = NULL;
  const queue_rules_t *rules;
  job_id_t job = 0;

  sched_wake (s);
  if (!s->queues || !s->shard_count)
    {
      answer_now (s, http->handle, 503, RETRY_AFTER_S, "no configuration yet");
      return;
    }
  rules = queues_find (s->queues, host ? host : "", http->path, &rest);
  if (!rules)
    {
      answer_now (s, http->handle, 404, 0, "no such queue");
      return;
    }
  if (strcmp (http->method, "GET") == 0 && !*rest)
    {
      ask (s, now, http, rules, 0, ASK_PENDING);
      return;
    }
  if (!job_id_parse (rest, strlen (rest), &job))
    {
      answer_now (s, http->handle, 404, 0, "no job identifier");
      return;
    }
  if (strcmp (http->method, "POST") == 0)
    submit (s, now, http, rules, job);
  else if (strcmp (http->method, "GET") == 0)
    ask (s, now, http, rules, job, ASK_STATUS);
  else if (strcmp (http->method, "DELETE") == 0)
    ask (s, now, http, rules, job, ASK_CANCEL);
  else
    answer_now (s, http->handle, 405, 0, "method not allowed");
}

static usec_t
deadline_of (scheduler_t *s, handle_t http, const queue_rules_t *rules,
             usec_t now)
{
  const char *text
      = httpd_header (s->callers, http, s->backend->ops->deadline_header);
  usec_t wait = rules->timeout ? rules->timeout : DEADLINE_DEFAULT;
  guint64 ms;

  if (text && g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT32, &ms, NULL))
    wait = MIN (wait, (usec_t)ms * USEC_PER_MSEC);
  return now + MAX (wait - ANSWER_MARGIN, wait / 2);
}

static request_t *
open_request (scheduler_t *s, usec_t now, const httpd_request_t *http,
              const queue_rules_t *rules, job_id_t job)
{
  request_t *request = g_new0 (request_t, 1);

  request->id = s->incarnation + ++s->next_request;
  request->http = http->handle;
  request->job = job;
  request->queue = g_strdup (rules->name);
  request->shard = sched_shard_of (s, job);
  request->arrived = now;
  request->deadline = deadline_of (s, http->handle, rules, now);
  request->due = now;
  g_hash_table_insert (s->requests, &request->id, request);
  g_hash_table_insert (s->by_http, GUINT_TO_POINTER (http->handle), request);
  return request;
}

/* Without the store, submissions go through an owner that has it.  An owner
   without it still tells whether it knows the job.  */
static bool
can_submit (const scheduler_t *s, usec_t now)
{
  return sched_store_healthy (s, now)
         || (s->owner_told && now - s->owner_told < OWNER_RECENT);
}

static void
submit (scheduler_t *s, usec_t now, const httpd_request_t *http,
        const queue_rules_t *rules, job_id_t job)
{
  err_t err = { 0 };
  submission_t *order
      = s->backend->ops->decode_submission (s->backend->ctx, http->body, &err);
  request_t *request;

  if (!order)
    {
      counter_add (COUNTER_HTTP_REFUSED, 1);
      answer_now (s, http->handle, 400, 0, err.text);
      return;
    }
  if (g_hash_table_size (s->requests) >= MAX_OPEN_REQUESTS)
    {
      counter_add (COUNTER_JOBS_REFUSED, 1);
      log_line (LOG_LEVEL_INFO, "job.refused", NULL,
                "job=%016" PRIx64 " queue=%s open=%u", job, rules->name,
                g_hash_table_size (s->requests));
      answer_now (s, http->handle, 503, RETRY_AFTER_S, "too many requests");
      submission_free (order);
      return;
    }
  order->id = job;
  order->queue = g_strdup (rules->name);
  order->service = g_strdup (rules->service);
  order->priority = rules->priority;
  order->max_attempts = rules->attempts;
  order->stretch_percent = rules->stretch;
  order->target_ms = rules->target_ms;
  order->accepted_ms = usec_to_msec (g_get_real_time ());
  request = open_request (s, now, http, rules, job);
  request->kind = ASK_SUBMIT;
  request->offer_until = offer_end (request, now);
  request->record = g_byte_array_new ();
  submission_encode (order, request->record);
  submission_free (order);
  step (s, now, request);
}

static void
ask (scheduler_t *s, usec_t now, const httpd_request_t *http,
     const queue_rules_t *rules, job_id_t job, ask_kind_t kind)
{
  request_t *request = open_request (s, now, http, rules, job);

  request->kind = kind;
  if (kind == ASK_PENDING)
    request->shard = 0;
  step (s, now, request);
}

static void
step (scheduler_t *s, usec_t now, request_t *request)
{
  if (now >= request->deadline)
    give_up (s, request);
  else if (request->kind == ASK_SUBMIT)
    offer (s, now, request);
  else
    send_ask (s, now, request);
}

static usec_t
offer_end (const request_t *request, usec_t now)
{
  return MAX (now + OFFER_SPAN_LEAST, request->deadline - APPEND_RESERVE);
}

static void
offer (scheduler_t *s, usec_t now, request_t *request)
{
  uint64_t id = request->id;

  if (request->offered)
    {
      log_line (LOG_LEVEL_INFO, "job.offer", NULL,
                "job=%016" PRIx64 " shard=%u owner silent for ms=%" PRId64,
                request->job, request->shard,
                usec_to_msec (now - request->asked));
      request->offered = false;
      request->may_be_stored = true;
      request->offer_until = now;
      s->owners[request->shard].silent_until = now + OWNER_SILENT;
      peerlink_reset (s->link, request->peer);
      group_doubt_owner (s, now);
    }
  if (request->appends || now >= request->offer_until
      || now < s->owners[request->shard].silent_until)
    {
      if (request->appends || can_submit (s, now))
        send_append (s, now, request);
      else
        give_up (s, request);
      return;
    }
  request->offered = true;
  request->asked = now;
  request->due = now + OFFER_TIMEOUT;
  /* An own shard may answer at once, and the request is gone.  */
  if (!asks_submit (s, now, request)
      || !g_hash_table_contains (s->requests, &id))
    return;
  request->offered = false;
  request->due = now + ASK_PAUSE;
  group_doubt_owner (s, now);
  if (!can_submit (s, now))
    give_up (s, request);
}

static void
on_offer_told (scheduler_t *s, usec_t now, request_t *request,
               tell_code_t code)
{
  if (!request->offered)
    return; /* of an offer that was given up */
  request->offered = false;
  switch (code)
    {
    case TELL_KNOWN:
      accepted (s, now, request);
      return;
    case TELL_NOT_TAKEN:
      log_line (LOG_LEVEL_INFO, "job.offer", NULL,
                "job=%016" PRIx64 " shard=%u not taken store_ok=%d",
                request->job, request->shard, sched_store_healthy (s, now));
      if (!sched_store_healthy (s, now))
        {
          give_up (s, request);
          return;
        }
      request->due = now + ASK_PAUSE;
      group_doubt_owner (s, now);
      break;
    case TELL_WITHDRAWN:
      request->offer_until = offer_end (request, now);
      request->due = now;
      if (!can_submit (s, now))
        {
          give_up (s, request);
          return;
        }
      break;
    default:
      /* It is being stored, or its owner was replaced meanwhile.  */
      request->may_be_stored = true;
      request->offer_until = offer_end (request, now);
      request->due = now;
      break;
    }
  sched_wake (s);
}

static void
accepted (scheduler_t *s, usec_t now, request_t *request)
{
  counter_add (COUNTER_JOBS_ACCEPTED, 1);
  histogram_add (HISTOGRAM_SUBMIT, now - request->arrived);
  log_line (LOG_LEVEL_INFO, "job.accepted", NULL,
            "job=%016" PRIx64 " queue=%s appends=%u took_ms=%" PRId64,
            request->job, request->queue, request->appends,
            usec_to_msec (now - request->arrived));
  finish (s, request, 200, 0, NULL);
}

static void
send_append (scheduler_t *s, usec_t now, request_t *request)
{
  char key[KEY_CHARS + 1];
  append_call_t *call = g_new0 (append_call_t, 1);
  store_record_t record = { .key = { key, KEY_CHARS },
                            .value = { (const char *)request->record->data,
                                       request->record->len } };
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_part_of (s, request->shard),
                            .records = &record,
                            .count = 1,
                            .timeout = APPEND_TIMEOUT };

  call->scheduler = s;
  call->request = request->id;
  call->sent = now;
  record_key (RECORD_SUBMISSION, request->job, key);
  request->append_busy = true;
  request->appends++;
  request->due = INT64_MAX;
  s->backend->ops->append (s->backend->ctx, &append, on_appended, call);
}

static void
on_appended (void *ctx, store_result_t result, const char *error)
{
  append_call_t call = *(append_call_t *)ctx;
  scheduler_t *s = call.scheduler;
  request_t *request = g_hash_table_lookup (s->requests, &call.request);
  usec_t now = clock_now ();

  g_free (ctx);
  sched_store_result (s, call.sent, result, "submit", error);
  sched_wake (s);
  if (!request)
    return;
  request->append_busy = false;
  request->may_be_stored |= result == STORE_UNKNOWN;
  if (result == STORE_OK)
    accepted (s, now, request);
  else if (request->may_be_stored || request->appends < APPEND_TRIES)
    request->due = now + APPEND_PAUSE;
  else
    give_up (s, request);
}

static void
send_ask (scheduler_t *s, usec_t now, request_t *request)
{
  uint64_t id = request->id;
  int code;

  if (request->asked && now - request->asked >= ASK_TIMEOUT)
    {
      log_line (LOG_LEVEL_INFO, "job.ask", NULL,
                "job=%016" PRIx64 " shard=%u owner silent for ms=%" PRId64,
                request->job, request->shard,
                usec_to_msec (now - request->asked));
      peerlink_reset (s->link, request->peer);
      group_doubt_owner (s, now);
    }
  request->asked = now;
  request->due = now + ASK_TIMEOUT;
  code = asks_send (s, now, request);
  /* An own shard may have answered, and the request is gone.  */
  if (!code || !g_hash_table_contains (s->requests, &id))
    return;
  request->asked = 0;
  request->due = now + ASK_PAUSE;
  group_doubt_owner (s, now);
}

void
callers_told (scheduler_t *s, usec_t now, uint64_t id, const tell_t *tell)
{
  request_t *request = g_hash_table_lookup (s->requests, &id);
  const backend_ops_t *ops = s->backend->ops;

  if (!request)
    return;
  if (request->kind == ASK_SUBMIT)
    {
      on_offer_told (s, now, request, tell->code);
      return;
    }
  switch (tell->code)
    {
    case TELL_KNOWN:
      if (request->kind == ASK_CANCEL)
        finish (s, request, 200, 0, NULL);
      else if (request->kind == ASK_STATUS)
        finish (s, request, 200, 0,
                ops->status_body (s->backend->ctx, tell->status));
      else
        {
          request->pending += tell->pending;
          if (++request->shard < s->shard_count)
            {
              request->asked = 0;
              request->due = now;
              sched_wake (s);
            }
          else
            finish (s, request, 200, 0,
                    ops->pending_body (s->backend->ctx, request->pending));
        }
      break;
    case TELL_UNKNOWN:
      finish (s, request, 410, 0,
              ops->error_body (s->backend->ctx, "no such job"));
      break;
    default:
      request->asked = 0;
      request->due = now + ASK_PAUSE;
      if (tell->code == TELL_NOT_OWNER)
        group_doubt_owner (s, now);
      sched_wake (s);
      break;
    }
}

usec_t
callers_tick (scheduler_t *s, usec_t now)
{
  GHashTableIter iter;
  gpointer data;
  usec_t next = INT64_MAX;
  GPtrArray *ready = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, s->requests);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const request_t *request = data;

      if (now >= request->due || now >= request->deadline)
        g_ptr_array_add (ready, data);
      else
        next = MIN (next, MIN (request->due, request->deadline));
    }
  for (guint i = 0; i < ready->len; i++)
    step (s, now, ready->pdata[i]);
  if (ready->len)
    next = now;
  g_ptr_array_free (ready, TRUE);
  return next;
}

void
callers_give_up (scheduler_t *s)
{
  GHashTableIter iter;
  gpointer data;
  GPtrArray *open = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, s->requests);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    g_ptr_array_add (open, data);
  for (guint i = 0; i < open->len; i++)
    give_up (s, open->pdata[i]);
  g_ptr_array_free (open, TRUE);
}

/* An append whose outcome is not known must not be answered as a refusal:
   the job may run.  */
static void
give_up (scheduler_t *s, request_t *request)
{
  bool submits = request->kind == ASK_SUBMIT;
  bool unknown = submits
                 && (request->may_be_stored || request->append_busy
                     || request->offered);

  if (submits && !unknown)
    counter_add (COUNTER_JOBS_REFUSED, 1);
  log_line (LOG_LEVEL_NOTICE, unknown ? "job.unknown" : "request.refused",
            NULL,
            "job=%016" PRIx64 " queue=%s kind=%d appends=%u age_ms=%" PRId64
            " store_silent_ms=%" PRId64,
            request->job, request->queue, (int)request->kind, request->appends,
            usec_to_msec (clock_now () - request->arrived),
            usec_to_msec (clock_now () - s->store_ok));
  if (unknown)
    finish (s, request, 504, 0,
            s->backend->ops->error_body (s->backend->ctx,
                                         "may have been accepted"));
  else
    finish (s, request, 503, RETRY_AFTER_S,
            s->backend->ops->error_body (s->backend->ctx, "try again"));
}

/* Takes over BODY.  */
static void
finish (scheduler_t *s, request_t *request, int status, uint32_t retry_after_s,
        char *body)
{
  httpd_answer_t answer = { .status = status,
                            .retry_after_s = retry_after_s,
                            .body = blob_of (body ? body : "{}") };

  httpd_answer (s->callers, request->http, &answer);
  free (body);
  g_hash_table_remove (s->by_http, GUINT_TO_POINTER (request->http));
  g_hash_table_remove (s->requests, &request->id);
}

static void
answer_now (scheduler_t *s, handle_t http, int status, uint32_t retry_after_s,
            const char *error)
{
  char *body = s->backend->ops->error_body (s->backend->ctx, error);
  httpd_answer_t answer = { .status = status,
                            .retry_after_s = retry_after_s,
                            .body = blob_of (body) };

  httpd_answer (s->callers, http, &answer);
  free (body);
}

static void
on_abandoned (void *ctx, handle_t http)
{
  scheduler_t *s = ctx;
  const request_t *request
      = g_hash_table_lookup (s->by_http, GUINT_TO_POINTER (http));

  if (!request)
    return;
  g_hash_table_remove (s->by_http, GUINT_TO_POINTER (http));
  g_hash_table_remove (s->requests, &request->id);
}

static void
ignore_abandoned (void *ctx, handle_t http)
{
  (void)ctx;
  (void)http;
}

static void
on_ready (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  bool ready = s->queues && !s->stopping && can_submit (s, clock_now ());
  httpd_answer_t answer
      = { .status = ready ? 200 : 503, .body = blob_of ("{}") };

  httpd_answer (s->ready, http->handle, &answer);
}

/* Counters, then histograms; free with free.  */
static char *
metrics_text (void)
{
  char *counters = counters_text ();
  GString *all = g_string_new (counters);
  char *text;

  g_free (counters);
  histograms_text (all);
  text = strdup (all->str);
  g_string_free (all, TRUE);
  return text;
}

static void
on_operator (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  httpd_answer_t answer = { .status = 404, .body = blob_of ("{}") };
  char *text = NULL;

  if (strcmp (http->path, "/counters") == 0)
    {
      text = metrics_text ();
      answer = (httpd_answer_t){ .status = 200,
                                 .content_type = "text/plain; version=0.0.4",
                                 .body = blob_of (text) };
    }
  else if (strcmp (http->path, "/dump") == 0)
    {
      json_t *dump = json_array ();

      for (uint32_t i = 0; i < s->shard_count; i++)
        if (s->parts[i].owned)
          json_array_append_new (dump,
                                 shard_dump (s->parts[i].shard, clock_now ()));
      text = json_dumps (dump, JSON_INDENT (1));
      json_decref (dump);
      answer = (httpd_answer_t){ .status = 200, .body = blob_of (text) };
    }
  httpd_answer (s->operators, http->handle, &answer);
  free (text);
}

/** @file
 * HTTP requests: callers submit, query and cancel jobs and count the pending
 * jobs of a queue; readiness checks and operator pages.
 */
#include "scheduler/sched_private.h"

#define REQUEST_TIMEOUT_DEFAULT (3 * USEC_PER_SEC)
/* Requests are answered this long before the caller's own timeout. */
#define ANSWER_MARGIN (150 * USEC_PER_MSEC)
/* A submission is forwarded to the shard's owner, whose appends contain many
   records.  Single appends of each process would fill the queue of a slow
   store, and the first append of the next owner would be refused.  If there is
   no owner or the owner has not loaded the shard, forwarding is retried until
   the time left before the deadline is just enough for an append by this
   process. */
#define APPEND_RESERVE (1000 * USEC_PER_MSEC)
#define FORWARD_SPAN_MIN (600 * USEC_PER_MSEC)
/* Longer than the owner waits before it replies REPLY_TRY_LATER. */
#define FORWARD_TIMEOUT (750 * USEC_PER_MSEC)
/* No submissions are forwarded to an owner that did not reply for this long:
   about the time until its shard is reassigned. */
#define OWNER_BACKOFF (1000 * USEC_PER_MSEC)
#define APPEND_TIMEOUT (900 * USEC_PER_MSEC)
#define APPEND_RETRY_DELAY (60 * USEC_PER_MSEC)
/* A submission is refused after the store has refused this many appends. */
#define APPEND_ATTEMPTS_MAX 2U
/* Appends of submissions in flight at a time, each with a connection to the
   store and a copy of the record.  While an owner is silent they would take as
   many descriptors as all callers, and twice the memory of their bodies. */
#define APPENDS_MAX 256U
#define APPEND_BYTES_MAX (8U << 20)
/* Without a reply for this long, the query is sent again, on a new connection
   unless the owner has replied to others.
   Over twice as long as an owner waits for its store. */
#define QUERY_TIMEOUT (800 * USEC_PER_MSEC)
#define QUERY_RETRY_DELAY (60 * USEC_PER_MSEC)
#define RETRY_AFTER_S 1U
/* An owner counts as reachable for this long after a reply: longer than the
   intervals between the queries of a process that receives requests. */
#define OWNER_REPLY_RECENT (2 * USEC_PER_SEC)
#define OPEN_REQUESTS_MAX 20000U

/* Context of a submission's append.  The request may be abandoned before the
   append is answered.  */
typedef struct
{
  scheduler_t *scheduler;
  uint64_t request;
  uint32_t record_len;
  usec_t sent;
} append_call_t;

/* What a request names. */
typedef struct
{
  const queue_rules_t *rules;
  job_id_t job; /* 0 for the count of a queue */
  query_kind_t kind;
} target_t;

static void on_head (void *ctx, const httpd_request_t *request);
static void on_request (void *ctx, const httpd_request_t *request);
static bool find_target (scheduler_t *s, const httpd_request_t *http,
                         target_t *target);
static void on_abandoned (void *ctx, handle_t http);
static usec_t deadline_of (scheduler_t *s, handle_t http,
                           const queue_rules_t *rules, usec_t now);
static void handle_submit (scheduler_t *s, usec_t now,
                           const httpd_request_t *http,
                           const queue_rules_t *rules, job_id_t job);
static void handle_query (scheduler_t *s, usec_t now,
                          const httpd_request_t *http,
                          const queue_rules_t *rules, job_id_t job,
                          query_kind_t kind);
static caller_request_t *open_request (scheduler_t *s, usec_t now,
                                       const httpd_request_t *http,
                                       const queue_rules_t *rules,
                                       job_id_t job);
static void process_request (scheduler_t *s, usec_t now,
                             caller_request_t *request);
static usec_t forward_end (const caller_request_t *request, usec_t now);
static bool is_last_reply (const caller_request_t *request, usec_t now);
static void try_forward (scheduler_t *s, usec_t now,
                         caller_request_t *request);
static void on_owner_silent (scheduler_t *s, usec_t now,
                             const caller_request_t *request);
static void on_owner_full (scheduler_t *s, usec_t now,
                           caller_request_t *request);
static void on_forward_reply (scheduler_t *s, usec_t now,
                              caller_request_t *request, reply_code_t code);
static void finish_accepted (scheduler_t *s, usec_t now,
                             caller_request_t *request);
static void send_append (scheduler_t *s, usec_t now,
                         caller_request_t *request);
static bool may_append (const scheduler_t *s, uint32_t record_len);
static void on_appended (void *ctx, store_result_t result, const char *error);
static void send_query (scheduler_t *s, usec_t now, caller_request_t *request);
static void fail_request (scheduler_t *s, caller_request_t *request);
static void finish_request (scheduler_t *s, caller_request_t *request,
                            int status, uint32_t retry_after_s, char *body);
static void reject_now (scheduler_t *s, handle_t http, int status,
                        uint32_t retry_after_s, const char *error);

const httpd_ops_t sched_caller_ops
    = { .head = on_head, .request = on_request, .abandoned = on_abandoned };

void
request_free (void *data)
{
  caller_request_t *request = data;

  g_free (request->queue);
  if (request->record)
    g_byte_array_unref (request->record);
  g_free (request);
}

static void
on_head (void *ctx, const httpd_request_t *http)
{
  target_t target;

  find_target (ctx, http, &target);
}

static void
on_request (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  target_t target;

  sched_wake (s);
  if (!find_target (s, http, &target))
    return;
  if (target.kind == QUERY_SUBMIT)
    handle_submit (s, now, http, target.rules, target.job);
  else
    handle_query (s, now, http, target.rules, target.job, target.kind);
}

/* Fills TARGET by the head of a request, or answers that there is none. */
static bool
find_target (scheduler_t *s, const httpd_request_t *http, target_t *target)
{
  static const struct
  {
    const char *method;
    query_kind_t kind;
  } methods[] = {
    { "POST", QUERY_SUBMIT },
    { "GET", QUERY_STATUS },
    { "DELETE", QUERY_CANCEL },
  };
  const char *host = httpd_header (s->callers, http->handle, "Host");
  const char *rest = NULL;

  *target = (target_t){ .kind = QUERY_PENDING };
  if (!s->queues || !s->shard_count)
    {
      reject_now (s, http->handle, 503, RETRY_AFTER_S, "no configuration yet");
      return false;
    }
  target->rules = queues_find (s->queues, host ? host : "", http->path, &rest);
  if (!target->rules)
    {
      reject_now (s, http->handle, 404, 0, "no such queue");
      return false;
    }
  if (strcmp (http->method, "GET") == 0 && !*rest)
    return true;
  if (!job_id_parse (rest, strlen (rest), &target->job))
    {
      reject_now (s, http->handle, 404, 0, "no job identifier");
      return false;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (http->method, methods[i].method) == 0)
      {
        target->kind = methods[i].kind;
        return true;
      }
  reject_now (s, http->handle, 405, 0, "method not allowed");
  return false;
}

static usec_t
deadline_of (scheduler_t *s, handle_t http, const queue_rules_t *rules,
             usec_t now)
{
  const char *text
      = httpd_header (s->callers, http, s->backend->ops->deadline_header);
  usec_t wait = rules->timeout ? rules->timeout : REQUEST_TIMEOUT_DEFAULT;
  guint64 ms;

  if (text && g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT32, &ms, NULL))
    wait = MIN (wait, (usec_t)ms * USEC_PER_MSEC);
  return now + MAX (wait - ANSWER_MARGIN, wait / 2);
}

static caller_request_t *
open_request (scheduler_t *s, usec_t now, const httpd_request_t *http,
              const queue_rules_t *rules, job_id_t job)
{
  caller_request_t *request = g_new0 (caller_request_t, 1);

  request->id = s->incarnation + ++s->request_counter;
  request->http = http->handle;
  request->job = job;
  request->queue = g_strdup (rules->name);
  request->shard = sched_shard_of (s, job);
  request->arrived_at = now;
  request->deadline = deadline_of (s, http->handle, rules, now);
  request->due = now;
  g_hash_table_insert (s->requests, &request->id, request);
  g_hash_table_insert (s->requests_by_http, GUINT_TO_POINTER (http->handle),
                       request);
  return request;
}

/* If this process cannot reach the store, submissions are forwarded to an
   owner that can.  An owner that cannot reach the store either still replies
   to queries for jobs that it knows.  */
bool
callers_can_submit (const scheduler_t *s, usec_t now)
{
  return sched_store_healthy (s, now)
         || (s->owner_last_reply
             && now - s->owner_last_reply < OWNER_REPLY_RECENT);
}

static void
handle_submit (scheduler_t *s, usec_t now, const httpd_request_t *http,
               const queue_rules_t *rules, job_id_t job)
{
  err_t err = { 0 };
  submission_t *parsed
      = s->backend->ops->decode_submission (s->backend->ctx, http->body, &err);
  caller_request_t *request;
  GByteArray *record;

  if (!parsed)
    {
      counter_add (COUNTER_HTTP_REFUSED, 1);
      reject_now (s, http->handle, 400, 0, err.text);
      return;
    }
  if (g_hash_table_size (s->requests) >= OPEN_REQUESTS_MAX)
    {
      counter_add (COUNTER_JOBS_REFUSED, 1);
      log_line (LOG_LEVEL_INFO, "job.refused", NULL,
                "job=%s queue=%s cause=requests open=%u", JOB_ID_TEXT (job),
                rules->name, g_hash_table_size (s->requests));
      reject_now (s, http->handle, 503, RETRY_AFTER_S, "too many requests");
      submission_free (parsed);
      return;
    }
  parsed->id = job;
  parsed->queue = g_strdup (rules->name);
  parsed->service = g_strdup (rules->service);
  parsed->config_version = queues_version (s->queues);
  parsed->priority = rules->priority;
  parsed->max_attempts = rules->attempts;
  parsed->stretch_percent = rules->stretch;
  parsed->target_ms = rules->target_ms;
  parsed->accepted_ms = usec_to_msec (g_get_real_time ());
  record = g_byte_array_new ();
  submission_encode (parsed, record);
  submission_free (parsed);
  if (record->len > SHARD_VALUE_MAX_BYTES)
    {
      counter_add (COUNTER_HTTP_REFUSED, 1);
      reject_now (s, http->handle, 413, 0, "the job is too large");
      g_byte_array_unref (record);
      return;
    }
  request = open_request (s, now, http, rules, job);
  request->kind = QUERY_SUBMIT;
  request->forward_until = forward_end (request, now);
  request->record = record;
  process_request (s, now, request);
}

static void
handle_query (scheduler_t *s, usec_t now, const httpd_request_t *http,
              const queue_rules_t *rules, job_id_t job, query_kind_t kind)
{
  caller_request_t *request = open_request (s, now, http, rules, job);

  request->kind = kind;
  if (kind == QUERY_PENDING)
    request->shard = 0;
  process_request (s, now, request);
}

static void
process_request (scheduler_t *s, usec_t now, caller_request_t *request)
{
  if (now >= request->deadline)
    fail_request (s, request);
  else if (request->kind == QUERY_SUBMIT)
    try_forward (s, now, request);
  else
    send_query (s, now, request);
}

static usec_t
forward_end (const caller_request_t *request, usec_t now)
{
  return MAX (now + FORWARD_SPAN_MIN, request->deadline - APPEND_RESERVE);
}

/* @return whether a reply to a further forward would come after the deadline.
   The outcome would be unknown then, although the owner has withdrawn the
   submission until now. */
static bool
is_last_reply (const caller_request_t *request, usec_t now)
{
  return !request->may_be_stored && now + FORWARD_SPAN_MIN > request->deadline;
}

static void
try_forward (scheduler_t *s, usec_t now, caller_request_t *request)
{
  uint64_t id = request->id;

  if (request->forward_busy)
    {
      on_owner_silent (s, now, request);
      request->forward_busy = false;
      request->may_be_stored = true;
      request->forward_until = now;
      s->owners[request->shard].backoff_until = now + OWNER_BACKOFF;
    }
  if (request->append_count || now >= request->forward_until
      || now < s->owners[request->shard].backoff_until)
    {
      if (request->append_count || callers_can_submit (s, now))
        send_append (s, now, request);
      else
        fail_request (s, request);
      return;
    }
  request->forward_busy = true;
  request->query_sent = now;
  request->due = now + FORWARD_TIMEOUT;
  /* If this process owns the shard, the reply may already have been handled
     and the request freed.  */
  if (!forward_submission (s, now, request)
      || !g_hash_table_contains (s->requests, &id))
    return;
  request->forward_busy = false;
  request->due = now + QUERY_RETRY_DELAY;
  group_refresh_owners (s, now);
  if (!callers_can_submit (s, now))
    fail_request (s, request);
}

/* Replaces the connection on which the request was sent to the owner, if the
   owner has not replied to any request since.  Otherwise the owner is slow,
   and the requests of all callers would be lost with the connection. */
static void
on_owner_silent (scheduler_t *s, usec_t now, const caller_request_t *request)
{
  bool replaced
      = s->owners[request->shard].replied_at < request->query_sent
        && peerlink_reset_older (s->link, request->peer, request->query_sent);

  log_line (LOG_LEVEL_INFO, "owner.silent", NULL,
            "job=%s kind=%d shard=%u for_ms=%" PRId64 " reconnect=%d",
            JOB_ID_TEXT (request->job), (int)request->kind, request->shard,
            usec_to_msec (now - request->query_sent), replaced);
  group_refresh_owners (s, now);
}

/* The owner has no memory for a new job, and the submission is not appended
   past it: the owner would read the record and keep the job all the same.  A
   submission that may be stored is not refused, since its job may run. */
static void
on_owner_full (scheduler_t *s, usec_t now, caller_request_t *request)
{
  if (request->may_be_stored)
    {
      request->due = now + QUERY_RETRY_DELAY;
      return;
    }
  counter_add (COUNTER_JOBS_REFUSED, 1);
  log_item (LOG_LEVEL_INFO, request->job, "job.refused", NULL,
            "job=%s queue=%s cause=memory shard=%u age_ms=%" PRId64,
            JOB_ID_TEXT (request->job), request->queue, request->shard,
            usec_to_msec (now - request->arrived_at));
  finish_request (
      s, request, 503, RETRY_AFTER_S,
      s->backend->ops->error_body (s->backend->ctx, "too many jobs"));
}

static void
on_forward_reply (scheduler_t *s, usec_t now, caller_request_t *request,
                  reply_code_t code)
{
  if (!request->forward_busy)
    return; /* reply to a forward that has timed out */
  request->forward_busy = false;
  switch (code)
    {
    case REPLY_KNOWN:
      finish_accepted (s, now, request);
      return;
    case REPLY_NOT_STORED:
      log_line (LOG_LEVEL_INFO, "job.offer", NULL,
                "job=%s shard=%u not taken store_ok=%d",
                JOB_ID_TEXT (request->job), request->shard,
                sched_store_healthy (s, now));
      if (!sched_store_healthy (s, now))
        {
          fail_request (s, request);
          return;
        }
      request->due = now + QUERY_RETRY_DELAY;
      group_refresh_owners (s, now);
      break;
    case REPLY_WITHDRAWN:
      request->forward_until = forward_end (request, now);
      request->due = now;
      if (!callers_can_submit (s, now) || is_last_reply (request, now))
        {
          fail_request (s, request);
          return;
        }
      break;
    case REPLY_FULL:
      on_owner_full (s, now, request);
      break;
    default:
      /* The submission is being stored, or the owner was replaced.  */
      request->may_be_stored = true;
      request->forward_until = forward_end (request, now);
      request->due = now;
      break;
    }
  sched_wake (s);
}

static void
finish_accepted (scheduler_t *s, usec_t now, caller_request_t *request)
{
  counter_add (COUNTER_JOBS_ACCEPTED, 1);
  histogram_add (HISTOGRAM_SUBMIT, now - request->arrived_at);
  log_item (LOG_LEVEL_INFO, request->job, "job.accepted", NULL,
            "job=%s queue=%s appends=%u took_ms=%" PRId64,
            JOB_ID_TEXT (request->job), request->queue, request->append_count,
            usec_to_msec (now - request->arrived_at));
  finish_request (s, request, 200, 0, NULL);
}

static bool
may_append (const scheduler_t *s, uint32_t record_len)
{
  return s->appends_busy < APPENDS_MAX
         && s->append_bytes_busy + record_len <= APPEND_BYTES_MAX;
}

static void
send_append (scheduler_t *s, usec_t now, caller_request_t *request)
{
  char key[RECORD_KEY_MAX + 1];
  uint32_t key_len = record_key (RECORD_SUBMISSION, request->job, key);
  append_call_t *call;
  store_record_t record = { .key = { key, key_len },
                            .value = { (const char *)request->record->data,
                                       request->record->len } };
  store_append_t append = { .topic = TOPIC_WORK,
                            .part = sched_partition_of (s, request->shard),
                            .records = &record,
                            .count = 1,
                            .timeout = APPEND_TIMEOUT };

  if (!may_append (s, request->record->len))
    {
      request->due = now + APPEND_RETRY_DELAY;
      return;
    }
  call = g_new0 (append_call_t, 1);
  call->scheduler = s;
  call->request = request->id;
  call->record_len = request->record->len;
  call->sent = now;
  s->appends_busy++;
  s->append_bytes_busy += call->record_len;
  request->append_busy = true;
  request->append_count++;
  request->due = INT64_MAX;
  s->backend->ops->append (s->backend->ctx, &append, on_appended, call);
}

static void
on_appended (void *ctx, store_result_t result, const char *error)
{
  append_call_t call = *(append_call_t *)ctx;
  scheduler_t *s = call.scheduler;
  caller_request_t *request = g_hash_table_lookup (s->requests, &call.request);
  usec_t now = clock_now ();

  g_free (ctx);
  s->appends_busy--;
  s->append_bytes_busy -= call.record_len;
  sched_store_result (s, call.sent, result, "submit", error);
  sched_wake (s);
  if (!request)
    return;
  request->append_busy = false;
  request->may_be_stored |= result == STORE_UNKNOWN;
  if (result == STORE_OK)
    finish_accepted (s, now, request);
  else if (request->may_be_stored
           || request->append_count < APPEND_ATTEMPTS_MAX)
    request->due = now + APPEND_RETRY_DELAY;
  else
    fail_request (s, request);
}

static void
send_query (scheduler_t *s, usec_t now, caller_request_t *request)
{
  uint64_t id = request->id;
  int code;

  if (request->query_sent && now - request->query_sent >= QUERY_TIMEOUT)
    on_owner_silent (s, now, request);
  request->query_sent = now;
  request->due = now + QUERY_TIMEOUT;
  code = query_owner (s, now, request);
  /* If this process owns the shard, the reply may already have been handled
     and the request freed.  */
  if (!code || !g_hash_table_contains (s->requests, &id))
    return;
  request->query_sent = 0;
  request->due = now + QUERY_RETRY_DELAY;
  group_refresh_owners (s, now);
}

void
callers_on_reply (scheduler_t *s, usec_t now, uint64_t id,
                  const query_reply_t *reply)
{
  caller_request_t *request = g_hash_table_lookup (s->requests, &id);
  const backend_ops_t *ops = s->backend->ops;

  if (!request)
    return;
  if (request->kind == QUERY_SUBMIT)
    {
      on_forward_reply (s, now, request, reply->code);
      return;
    }
  switch (reply->code)
    {
    case REPLY_KNOWN:
      if (request->kind == QUERY_CANCEL)
        finish_request (s, request, 200, 0, NULL);
      else if (request->kind == QUERY_STATUS)
        finish_request (s, request, 200, 0,
                        ops->status_body (s->backend->ctx, reply->status));
      else
        {
          request->pending_sum += reply->pending;
          if (++request->shard < s->shard_count)
            {
              request->query_sent = 0;
              request->due = now;
              sched_wake (s);
            }
          else
            finish_request (
                s, request, 200, 0,
                ops->pending_body (s->backend->ctx, request->pending_sum));
        }
      break;
    case REPLY_UNKNOWN:
      log_item (LOG_LEVEL_INFO, request->job, "job.absent", NULL,
                "job=%s kind=%d age_ms=%" PRId64, JOB_ID_TEXT (request->job),
                (int)request->kind, usec_to_msec (now - request->arrived_at));
      finish_request (s, request, 410, 0,
                      ops->error_body (s->backend->ctx, "no such job"));
      break;
    case REPLY_NOT_STORED:
      fail_request (s, request);
      break;
    default:
      request->query_sent = 0;
      request->due = now + QUERY_RETRY_DELAY;
      if (reply->code == REPLY_NOT_OWNER)
        group_refresh_owners (s, now);
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
      const caller_request_t *request = data;

      if (now >= request->due || now >= request->deadline)
        g_ptr_array_add (ready, data);
      else
        next = MIN (next, MIN (request->due, request->deadline));
    }
  for (guint i = 0; i < ready->len; i++)
    process_request (s, now, ready->pdata[i]);
  if (ready->len)
    next = now;
  g_ptr_array_free (ready, TRUE);
  return next;
}

void
callers_fail_all (scheduler_t *s)
{
  GHashTableIter iter;
  gpointer data;
  GPtrArray *open = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, s->requests);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    g_ptr_array_add (open, data);
  for (guint i = 0; i < open->len; i++)
    fail_request (s, open->pdata[i]);
  g_ptr_array_free (open, TRUE);
}

/* A submission that may be stored must not be answered as refused: the job may
   run.  */
static void
fail_request (scheduler_t *s, caller_request_t *request)
{
  bool submits = request->kind == QUERY_SUBMIT;
  bool unknown = submits
                 && (request->may_be_stored || request->append_busy
                     || request->forward_busy);

  if (submits && !unknown)
    counter_add (COUNTER_JOBS_REFUSED, 1);
  log_line (
      LOG_LEVEL_NOTICE, unknown ? "job.unknown" : "request.refused", NULL,
      "job=%s queue=%s kind=%d appends=%u age_ms=%" PRId64
      " store_silent_ms=%" PRId64,
      JOB_ID_TEXT (request->job), request->queue, (int)request->kind,
      request->append_count, usec_to_msec (clock_now () - request->arrived_at),
      usec_to_msec (clock_now () - s->store_last_ok));
  if (unknown)
    finish_request (s, request, 504, 0,
                    s->backend->ops->error_body (s->backend->ctx,
                                                 "may have been accepted"));
  else
    finish_request (
        s, request, 503, RETRY_AFTER_S,
        s->backend->ops->error_body (s->backend->ctx, "try again"));
}

/* Answers and frees the request; takes ownership of BODY.  */
static void
finish_request (scheduler_t *s, caller_request_t *request, int status,
                uint32_t retry_after_s, char *body)
{
  httpd_answer_t answer = { .status = status,
                            .retry_after_s = retry_after_s,
                            .body = blob_of (body ? body : "{}") };

  httpd_answer (s->callers, request->http, &answer);
  free (body);
  g_hash_table_remove (s->requests_by_http, GUINT_TO_POINTER (request->http));
  g_hash_table_remove (s->requests, &request->id);
}

static void
reject_now (scheduler_t *s, handle_t http, int status, uint32_t retry_after_s,
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
  const caller_request_t *request
      = g_hash_table_lookup (s->requests_by_http, GUINT_TO_POINTER (http));

  if (!request)
    return;
  g_hash_table_remove (s->requests_by_http, GUINT_TO_POINTER (http));
  g_hash_table_remove (s->requests, &request->id);
}

/** @file
 * Queries about jobs to the owners of their shards, and the replies.
 */
#include "scheduler/sched_private.h"

/* How long a query for an unknown job is deferred: longer than the read in
   flight and the next one take, since the job's record may not have been read
   yet. */
#define UNKNOWN_JOB_WAIT (500 * USEC_PER_MSEC)
/* How long a query is deferred until the job's end is stored. */
#define END_STORED_WAIT (250 * USEC_PER_MSEC)
/* How long a query for the status of a job is deferred whose last tasks are
   all running.  Callers ask at intervals: one who asks a moment before the end
   is known would learn of it with the next query only. */
#define FINISHING_WAIT (200 * USEC_PER_MSEC)
/* How long the owner waits for the append that stores a submission.  The
   caller's process then forwards the submission again. */
#define SUBMISSION_STORED_WAIT (500 * USEC_PER_MSEC)
/* The platform accepts records of up to 256 KiB.  Larger submissions are left
   to the caller's process to append, since a refused record would block all
   others of the owner's batch. */
#define RECORD_MAX_BYTES 200000U

/* The upper half of the field `pending` of a reply has the receiver's rank as
   a successor of the owner. */
#define TELL_RANK_SHIFT 32U

static uint64_t capitals_field (job_id_t job);
static void on_message (void *ctx, node_id_t node, incarnation_t incarnation,
                        const message_t *message);
static void on_connected (void *ctx, node_id_t node);
static void on_refused (void *ctx, node_id_t node);
static void on_job_ask (scheduler_t *s, usec_t now, node_id_t node,
                        const msg_job_ask_t *ask);
static void on_job_tell (scheduler_t *s, usec_t now, node_id_t node,
                         const msg_job_tell_t *m);
static void on_job_submit (scheduler_t *s, usec_t now, node_id_t node,
                           const msg_job_submit_t *submit);
static bool defers_submission (const scheduler_t *s, reply_code_t code,
                               deferred_query_t *query);
static bool answer_submission (const shard_state_t *state,
                               const deferred_query_t *query,
                               query_reply_t *reply);
static int check_large_submission (const shard_t *shard, job_id_t job,
                                   uint32_t record_len);
static reply_code_t accept_submission (scheduler_t *s, usec_t now,
                                       uint32_t shard, job_id_t job,
                                       blob_t record);
static int cancel_job (const shard_state_t *state, usec_t now,
                       const deferred_query_t *query);
static bool answer_query (scheduler_t *s, usec_t now,
                          const deferred_query_t *query, bool timed_out,
                          query_reply_t *reply);
static void send_reply (scheduler_t *s, usec_t now, node_id_t peer,
                        uint64_t id, const query_reply_t *reply);
static void defer_query (scheduler_t *s, usec_t now, deferred_query_t *query);
static void retry_deferred (scheduler_t *s, usec_t now, guint index,
                            bool timed_out);
static bool withdraw_submission (scheduler_t *s, usec_t now,
                                 const deferred_query_t *query);
static bool awaits_read (const scheduler_t *s, guint index, uint32_t shard);

const peerlink_ops_t sched_peerlink_ops
    = { on_message, on_connected, on_refused };

/* @return the upper half of a field of a message, see CAPITALS_SHIFT */
static uint64_t
capitals_field (job_id_t job)
{
  return (uint64_t)job_id_capitals (job) << CAPITALS_SHIFT;
}

int
query_owner (scheduler_t *s, usec_t now, caller_request_t *request)
{
  const shard_owner_t *owner = &s->owners[request->shard];
  message_t message = { .type = MSG_JOB_ASK };
  deferred_query_t query = { .id = request->id,
                             .kind = request->kind,
                             .job = request->job,
                             .shard = request->shard,
                             .arrived_at = now };
  query_reply_t reply;

  if (s->shards[request->shard].owned)
    {
      g_strlcpy (query.queue, request->queue, sizeof query.queue);
      if (answer_query (s, now, &query, false, &reply))
        callers_on_reply (s, now, request->id, &reply);
      else
        defer_query (s, now, &query);
      return 0;
    }
  if (!owner->node || owner->self)
    return -ENOTCONN;
  message.u.job_ask.id = request->id;
  message.u.job_ask.kind = request->kind | capitals_field (request->job);
  message.u.job_ask.job = job_id_number (request->job);
  message.u.job_ask.shard = request->shard;
  message.u.job_ask.queue = blob_of (request->queue);
  counter_add (COUNTER_JOB_ASKS, 1);
  request->peer = owner->node;
  return peerlink_send (s->link, owner->node, &message);
}

int
forward_submission (scheduler_t *s, usec_t now, caller_request_t *request)
{
  const shard_owner_t *owner = &s->owners[request->shard];
  message_t message = { .type = MSG_JOB_SUBMIT };
  blob_t record
      = { (const char *)request->record->data, request->record->len };
  deferred_query_t query = { .id = request->id,
                             .kind = QUERY_SUBMIT,
                             .job = request->job,
                             .shard = request->shard,
                             .arrived_at = now };
  query_reply_t reply = { 0 };

  if (s->shards[request->shard].owned)
    {
      reply.code
          = accept_submission (s, now, request->shard, request->job, record);
      if (defers_submission (s, reply.code, &query))
        defer_query (s, now, &query);
      else
        callers_on_reply (s, now, request->id, &reply);
      return 0;
    }
  if (!owner->node || owner->self)
    return -ENOTCONN;
  message.u.job_submit.id = request->id;
  message.u.job_submit.job = job_id_number (request->job);
  message.u.job_submit.shard = request->shard | capitals_field (request->job);
  message.u.job_submit.record = record;
  request->peer = owner->node;
  return peerlink_send (s->link, owner->node, &message);
}

static void
on_job_submit (scheduler_t *s, usec_t now, node_id_t node,
               const msg_job_submit_t *submit)
{
  deferred_query_t query
      = { .peer = node,
          .id = submit->id,
          .kind = QUERY_SUBMIT,
          .job = job_id_make (submit->job, submit->shard >> CAPITALS_SHIFT),
          .shard = (uint32_t)submit->shard,
          .arrived_at = now };
  query_reply_t reply = { .code = REPLY_NOT_STORED };

  if (query.shard < s->shard_count && s->shards[query.shard].owned)
    reply.code
        = accept_submission (s, now, query.shard, query.job, submit->record);
  if (defers_submission (s, reply.code, &query))
    defer_query (s, now, &query);
  else
    send_reply (s, now, node, submit->id, &reply);
}

/* The job of a submission for which there is no memory may be stored by
   another process and not be read yet: it is refused once all that was stored
   before the query has been read. */
static bool
defers_submission (const scheduler_t *s, reply_code_t code,
                   deferred_query_t *query)
{
  query->full = code == REPLY_FULL;
  return code == REPLY_TRY_LATER
         || (query->full
             && s->shards[query->shard].read_as_of < query->arrived_at);
}

/* An accepted submission stays REPLY_TRY_LATER until it is stored.  After a
   change of ownership the new owner may not know it.
   @return false if the query is to be deferred */
static bool
answer_submission (const shard_state_t *state, const deferred_query_t *query,
                   query_reply_t *reply)
{
  int code = shard_submission_state (state->shard, query->job);

  if (!code)
    reply->code = REPLY_KNOWN;
  else if (code == -ENOENT && query->full
           && state->read_as_of >= query->arrived_at)
    reply->code = REPLY_FULL;
  return reply->code != REPLY_TRY_LATER;
}

/* The caller's process appends a large submission unless the owner, which will
   read it, has no memory for it.
   @return -ENOENT, or -ENOSPC */
static int
check_large_submission (const shard_t *shard, job_id_t job,
                        uint32_t record_len)
{
  int code = shard_check_room (shard, job, record_len);

  return code ? code : -ENOENT;
}

/* Passes a submission to the shard.
   @return REPLY_TRY_LATER while the submission is being stored */
static reply_code_t
accept_submission (scheduler_t *s, usec_t now, uint32_t shard, job_id_t job,
                   blob_t record)
{
  shard_t *own = s->shards[shard].shard;
  int code
      = shard_is_active (own) ? shard_submission_state (own, job) : -ENOENT;

  if (sched_shard_of (s, job) != shard)
    return REPLY_NOT_STORED;
  /* A known job is not refused even if the store is unhealthy: the job may
     have been accepted in an answer that was lost.  */
  if (code == -ENOENT && sched_store_healthy (s, now))
    code = record.len <= RECORD_MAX_BYTES
               ? shard_submit (own, now, job, record)
               : check_large_submission (own, job, record.len);
  switch (code)
    {
    case 0:
      return REPLY_KNOWN;
    case -EINPROGRESS:
      return REPLY_TRY_LATER;
    case -ENOSPC:
      return REPLY_FULL;
    default:
      return REPLY_NOT_STORED;
    }
}

static void
on_message (void *ctx, node_id_t node, incarnation_t incarnation,
            const message_t *message)
{
  scheduler_t *s = ctx;
  usec_t now = clock_now ();
  char address[64];

  (void)incarnation;
  succession_heard (s, now, node);
  if (message->type == MSG_HELLO)
    {
      succession_hello (s, now, node, message->u.hello.zone);
      blob_copy (message->u.hello.address, address, sizeof address);
      if (peerlink_add (s->link, node, address))
        log_line (LOG_LEVEL_WARNING, "peer.hello", NULL,
                  "address \"%s\" refused", address);
    }
  else if (message->type == MSG_OWNER_LEFT)
    group_owner_left (s, now, node);
  else if (message->type == MSG_JOB_ASK)
    on_job_ask (s, now, node, &message->u.job_ask);
  else if (message->type == MSG_JOB_SUBMIT)
    on_job_submit (s, now, node, &message->u.job_submit);
  else if (message->type == MSG_JOB_TELL)
    on_job_tell (s, now, node, &message->u.job_tell);
  sched_wake (s);
}

static void
on_job_tell (scheduler_t *s, usec_t now, node_id_t node,
             const msg_job_tell_t *m)
{
  query_reply_t reply = { (reply_code_t)m->code, (job_status_t)m->status,
                          (uint32_t)m->pending };

  if (m->code < REPLY_KNOWN || m->code > REPLY_FULL
      || m->status > JOB_CANCELED)
    {
      log_line (LOG_LEVEL_WARNING, "peer.tell", NULL,
                "node=%u id=%016" PRIx64 " code=%" PRIu64 " status=%" PRIu64
                " refused",
                node, m->id, m->code, m->status);
      return;
    }
  if (reply.code == REPLY_KNOWN)
    s->owner_last_reply = now;
  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->owners[i].node == node)
      s->owners[i].replied_at = now;
  succession_told (s, now, (uint32_t)(m->pending >> TELL_RANK_SHIFT));
  callers_on_reply (s, now, m->id, &reply);
}

static void
on_connected (void *ctx, node_id_t node)
{
  group_set_refused (ctx, clock_now (), node, false);
  sched_wake (ctx);
}

static void
on_refused (void *ctx, node_id_t node)
{
  group_set_refused (ctx, clock_now (), node, true);
}

static void
on_job_ask (scheduler_t *s, usec_t now, node_id_t node,
            const msg_job_ask_t *ask)
{
  uint32_t kind = (uint32_t)ask->kind;
  deferred_query_t query
      = { .peer = node,
          .id = ask->id,
          .kind = (query_kind_t)kind,
          .job = job_id_make (ask->job, ask->kind >> CAPITALS_SHIFT),
          .shard = (uint32_t)ask->shard,
          .arrived_at = now };
  query_reply_t reply = { .code = REPLY_NOT_OWNER };

  if (kind < QUERY_STATUS || kind > QUERY_SUBMIT)
    {
      log_line (LOG_LEVEL_WARNING, "peer.ask", NULL,
                "node=%u id=%016" PRIx64 " kind=%" PRIu64 " refused", node,
                ask->id, ask->kind);
      return;
    }
  blob_copy (ask->queue, query.queue, sizeof query.queue);
  if (ask->shard >= s->shard_count || !s->shards[ask->shard].owned
      || answer_query (s, now, &query, false, &reply))
    send_reply (s, now, node, ask->id, &reply);
  else
    defer_query (s, now, &query);
}

/* A job that is said to be unknown must not start later: once all that was
   stored before the query has been read, the cancellation is stored. */
static int
cancel_job (const shard_state_t *state, usec_t now,
            const deferred_query_t *query)
{
  return state->read_as_of >= query->arrived_at
             ? shard_cancel_unknown (state->shard, now, query->job)
             : shard_cancel (state->shard, now, query->job);
}

/* @param timed_out answer now, even if the result is not final
   @return false if the query is to be deferred */
static bool
answer_query (scheduler_t *s, usec_t now, const deferred_query_t *query,
              bool timed_out, query_reply_t *reply)
{
  shard_state_t *state = &s->shards[query->shard];
  query_kind_t kind = query->kind;
  job_id_t job = query->job;
  int code;

  *reply = (query_reply_t){ .code = REPLY_TRY_LATER };
  if (!shard_is_active (state->shard))
    return timed_out;
  if (kind == QUERY_SUBMIT)
    return answer_submission (state, query, reply) || timed_out;
  if (kind == QUERY_PENDING)
    {
      reply->code = REPLY_KNOWN;
      reply->pending = shard_pending (state->shard, query->queue);
      return true;
    }
  code = kind == QUERY_CANCEL
             ? cancel_job (state, now, query)
             : shard_status (state->shard, job, &reply->status);
  if (kind == QUERY_CANCEL)
    sched_wake (s);
  switch (code)
    {
    case 0:
      reply->code = REPLY_KNOWN;
      return timed_out || kind != QUERY_STATUS || reply->status != JOB_RUNNING
             || !shard_is_finishing (state->shard, job);
    case -EALREADY:
      reply->code = REPLY_UNKNOWN;
      return true;
    case -ENOENT:
      /* The job's submission may be stored and not read yet. */
      if (state->read_as_of >= query->arrived_at)
        reply->code = REPLY_UNKNOWN;
      return timed_out || reply->code == REPLY_UNKNOWN;
    case -ENOSPC:
      reply->code = REPLY_NOT_STORED;
      return true;
    default:
      /* An end that is not stored is not reported: a new owner might not know
         it.  */
      if (kind == QUERY_STATUS)
        {
          reply->code = REPLY_KNOWN;
          reply->status = JOB_RUNNING;
        }
      return timed_out;
    }
}

static void
send_reply (scheduler_t *s, usec_t now, node_id_t peer, uint64_t id,
            const query_reply_t *reply)
{
  message_t message = { .type = MSG_JOB_TELL };

  if (!peer)
    {
      callers_on_reply (s, now, id, reply);
      return;
    }
  message.u.job_tell.id = id;
  message.u.job_tell.code = reply->code;
  message.u.job_tell.status = reply->status;
  message.u.job_tell.pending
      = reply->pending
        | (uint64_t)(sched_owns_any_shard (s) ? succession_rank (s, now, peer)
                                              : 0)
              << TELL_RANK_SHIFT;
  if (peerlink_send (s->link, peer, &message))
    log_line (LOG_LEVEL_DEBUG, "job.tell", NULL,
              "id=%016" PRIx64 " not sent; the peer will query again", id);
}

/* Beyond the limit a query is answered at once and the caller's process sends
   it again.  REPLY_TRY_LATER would have it append a submission that does not
   fit into the memory. */
static void
defer_query (scheduler_t *s, usec_t now, deferred_query_t *query)
{
  const query_reply_t later
      = { .code = query->full ? REPLY_WITHDRAWN : REPLY_TRY_LATER };
  job_status_t status;
  int code = shard_status (s->shards[query->shard].shard, query->job, &status);

  if (s->deferred_queries->len >= DEFERRED_QUERIES_MAX)
    {
      send_reply (s, now, query->peer, query->id, &later);
      return;
    }
  query->deadline = now
                    + (query->kind == QUERY_SUBMIT ? SUBMISSION_STORED_WAIT
                       : code == -ENOENT           ? UNKNOWN_JOB_WAIT
                       : code                      ? END_STORED_WAIT
                                                   : FINISHING_WAIT);
  query->ownership_id = s->shards[query->shard].ownership_id;
  query->unknown_job
      = (query->kind != QUERY_SUBMIT || query->full) && code == -ENOENT;
  g_array_append_val (s->deferred_queries, *query);
  sched_wake (s);
}

static void
retry_deferred (scheduler_t *s, usec_t now, guint index, bool timed_out)
{
  deferred_query_t query
      = g_array_index (s->deferred_queries, deferred_query_t, index);
  query_reply_t reply = { .code = REPLY_NOT_OWNER };

  if (s->shards[query.shard].owned
      && !answer_query (s, now, &query, timed_out, &reply))
    return;
  if (timed_out && query.kind == QUERY_SUBMIT && reply.code == REPLY_TRY_LATER
      && withdraw_submission (s, now, &query))
    reply.code = REPLY_WITHDRAWN;
  g_array_remove_index_fast (s->deferred_queries, index);
  send_reply (s, now, query.peer, query.id, &reply);
}

/* Drops an accepted submission that no append contains yet, so that the
   caller's process may forward it again or refuse it.
   @return whether the submission will surely not be stored by this process */
static bool
withdraw_submission (scheduler_t *s, usec_t now, const deferred_query_t *query)
{
  shard_state_t *state = &s->shards[query->shard];
  int code;

  if (!state->owned || state->ownership_id != query->ownership_id
      || !shard_is_active (state->shard))
    return false;
  code = shard_withdraw (state->shard, now, query->job);
  if (!code)
    log_line (LOG_LEVEL_INFO, "job.withdrawn", NULL,
              "job=%s shard=%u waited_ms=%" PRId64, JOB_ID_TEXT (query->job),
              query->shard,
              usec_to_msec (now - query->deadline + SUBMISSION_STORED_WAIT));
  /* -ENOENT within the same ownership: the submission was withdrawn before,
     for another query.  */
  return !code || code == -ENOENT;
}

void
queries_job_changed (scheduler_t *s, usec_t now, job_id_t job)
{
  for (guint i = s->deferred_queries->len; i > 0; i--)
    if (i <= s->deferred_queries->len
        && g_array_index (s->deferred_queries, deferred_query_t, i - 1).job
               == job)
      retry_deferred (s, now, i - 1, false);
}

/* @return whether a deferred query is for a job that the shard does not know
 */
static bool
awaits_read (const scheduler_t *s, guint index, uint32_t shard)
{
  const deferred_query_t *query
      = &g_array_index (s->deferred_queries, deferred_query_t, index);

  return query->unknown_job && query->shard == shard;
}

void
queries_read_complete (scheduler_t *s, usec_t now, uint32_t shard)
{
  for (guint i = s->deferred_queries->len; i > 0; i--)
    if (i <= s->deferred_queries->len && awaits_read (s, i - 1, shard))
      retry_deferred (s, now, i - 1, false);
}

bool
queries_await_read (const scheduler_t *s, uint32_t shard)
{
  for (guint i = 0; i < s->deferred_queries->len; i++)
    if (awaits_read (s, i, shard)
        && g_array_index (s->deferred_queries, deferred_query_t, i).arrived_at
               > s->shards[shard].read_as_of)
      return true;
  return false;
}

usec_t
queries_tick (scheduler_t *s, usec_t now)
{
  usec_t next = INT64_MAX;

  for (guint i = s->deferred_queries->len; i > 0; i--)
    {
      const deferred_query_t *query
          = &g_array_index (s->deferred_queries, deferred_query_t, i - 1);

      if (now >= query->deadline || !s->shards[query->shard].owned)
        retry_deferred (s, now, i - 1, true);
      else
        next = MIN (next, query->deadline);
    }
  return next;
}

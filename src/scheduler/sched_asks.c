/** @file
 * Questions about jobs to the owners of their shards, and their answers.
 */
#include "scheduler/sched_private.h"

/* A job that is asked for before its record was read is waited for: longer
   than a read of the store takes. */
#define UNKNOWN_WAIT (500 * USEC_PER_MSEC)
/* An end that is not stored yet is waited for. */
#define END_WAIT (250 * USEC_PER_MSEC)
/* An append that stores a submission is waited for so long; the caller's
   process then offers it again. */
#define SUBMIT_WAIT (500 * USEC_PER_MSEC)
/* The platform takes records of 256 KiB.  Larger submissions are left to the
   caller's process: refused in a batch, one would hold up all others. */
#define RECORD_MOST 200000U
/* Without a successful read for this long, an unknown job may just be unread.
 */
#define READ_STALE (1000 * USEC_PER_MSEC)

static void on_message (void *ctx, node_id_t node, incarnation_t incarnation,
                        const message_t *message);
static void on_connected (void *ctx, node_id_t node);
static void on_refused (void *ctx, node_id_t node);
static void on_ask (scheduler_t *s, usec_t now, node_id_t node,
                    const msg_job_ask_t *ask);
static void on_tell (scheduler_t *s, usec_t now, node_id_t node,
                     const msg_job_tell_t *m);
static void on_submit (scheduler_t *s, usec_t now, node_id_t node,
                       const msg_job_submit_t *submit);
static tell_code_t take (scheduler_t *s, usec_t now, uint32_t shard,
                         job_id_t job, blob_t record);
static bool answer (scheduler_t *s, usec_t now, uint32_t shard,
                    ask_kind_t kind, job_id_t job, const char *queue,
                    bool last, tell_t *tell);
static void deliver (scheduler_t *s, usec_t now, node_id_t peer, uint64_t id,
                     const tell_t *tell);
static void park (scheduler_t *s, usec_t now, parked_t *parked);
static void retry_parked (scheduler_t *s, usec_t now, guint index, bool last);
static bool withdraw (scheduler_t *s, usec_t now, const parked_t *parked);

const peerlink_ops_t sched_peerlink_ops
    = { on_message, on_connected, on_refused };

int
asks_send (scheduler_t *s, usec_t now, request_t *request)
{
  const owner_t *owner = &s->owners[request->shard];
  message_t message = { .type = MSG_JOB_ASK };
  tell_t tell;

  if (s->parts[request->shard].owned)
    {
      if (answer (s, now, request->shard, request->kind, request->job,
                  request->queue, false, &tell))
        callers_told (s, now, request->id, &tell);
      else
        {
          parked_t parked = { .id = request->id,
                              .kind = request->kind,
                              .job = request->job,
                              .shard = request->shard };

          g_strlcpy (parked.queue, request->queue, sizeof parked.queue);
          park (s, now, &parked);
        }
      return 0;
    }
  if (!owner->node || owner->self)
    return -ENOTCONN;
  message.u.job_ask.id = request->id;
  message.u.job_ask.kind = request->kind;
  message.u.job_ask.job = request->job;
  message.u.job_ask.shard = request->shard;
  message.u.job_ask.queue = blob_of (request->queue);
  counter_add (COUNTER_JOB_ASKS, 1);
  request->peer = owner->node;
  return peerlink_send (s->link, owner->node, &message);
}

int
asks_submit (scheduler_t *s, usec_t now, request_t *request)
{
  const owner_t *owner = &s->owners[request->shard];
  message_t message = { .type = MSG_JOB_SUBMIT };
  blob_t record
      = { (const char *)request->record->data, request->record->len };
  parked_t parked = { .id = request->id,
                      .kind = ASK_SUBMIT,
                      .job = request->job,
                      .shard = request->shard };
  tell_t tell;

  if (s->parts[request->shard].owned)
    {
      tell.code = take (s, now, request->shard, request->job, record);
      if (tell.code == TELL_LATER)
        park (s, now, &parked);
      else
        callers_told (s, now, request->id, &tell);
      return 0;
    }
  if (!owner->node || owner->self)
    return -ENOTCONN;
  message.u.job_submit.id = request->id;
  message.u.job_submit.job = request->job;
  message.u.job_submit.shard = request->shard;
  message.u.job_submit.record = record;
  request->peer = owner->node;
  return peerlink_send (s->link, owner->node, &message);
}

static void
on_submit (scheduler_t *s, usec_t now, node_id_t node,
           const msg_job_submit_t *submit)
{
  parked_t parked = { .peer = node,
                      .id = submit->id,
                      .kind = ASK_SUBMIT,
                      .job = submit->job,
                      .shard = (uint32_t)submit->shard };
  tell_t tell = { .code = TELL_NOT_TAKEN };

  if (submit->shard < s->shard_count && s->parts[submit->shard].owned)
    tell.code = take (s, now, parked.shard, submit->job, submit->record);
  if (tell.code == TELL_LATER)
    park (s, now, &parked);
  else
    deliver (s, now, node, submit->id, &tell);
}

/* Gives a submission to the shard. @return TELL_LATER if it is being stored */
static tell_code_t
take (scheduler_t *s, usec_t now, uint32_t shard, job_id_t job, blob_t record)
{
  shard_t *own = s->parts[shard].shard;
  int code
      = shard_is_active (own) ? shard_submission_state (own, job) : -ENOENT;

  if (sched_shard_of (s, job) != shard)
    return TELL_NOT_TAKEN;
  /* A job that is known is not refused, whatever the store does: it may have
     been accepted by an answer that was lost.  */
  if (code == -ENOENT && sched_store_healthy (s, now)
      && record.len <= RECORD_MOST)
    code = shard_submit (own, now, job, record);
  switch (code)
    {
    case 0:
      return TELL_KNOWN;
    case -EINPROGRESS:
      return TELL_LATER;
    default:
      return TELL_NOT_TAKEN;
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
  if (message->type == MSG_HELLO)
    {
      blob_copy (message->u.hello.address, address, sizeof address);
      if (peerlink_add (s->link, node, address))
        log_line (LOG_LEVEL_WARNING, "peer.hello", NULL,
                  "address \"%s\" refused", address);
    }
  else if (message->type == MSG_OWNER_LEFT)
    group_owner_left (s, now, node);
  else if (message->type == MSG_JOB_ASK)
    on_ask (s, now, node, &message->u.job_ask);
  else if (message->type == MSG_JOB_SUBMIT)
    on_submit (s, now, node, &message->u.job_submit);
  else if (message->type == MSG_JOB_TELL)
    on_tell (s, now, node, &message->u.job_tell);
  sched_wake (s);
}

static void
on_tell (scheduler_t *s, usec_t now, node_id_t node, const msg_job_tell_t *m)
{
  tell_t tell = { (tell_code_t)m->code, (job_status_t)m->status,
                  (uint32_t)m->pending };

  if (m->code < TELL_KNOWN || m->code > TELL_WITHDRAWN
      || m->status > JOB_CANCELED)
    {
      log_line (LOG_LEVEL_WARNING, "peer.tell", NULL,
                "node=%u id=%016" PRIx64 " code=%" PRIu64 " status=%" PRIu64
                " refused",
                node, m->id, m->code, m->status);
      return;
    }
  if (tell.code == TELL_KNOWN)
    s->owner_told = now;
  callers_told (s, now, m->id, &tell);
}

static void
on_connected (void *ctx, node_id_t node)
{
  group_refused (ctx, clock_now (), node, false);
  sched_wake (ctx);
}

static void
on_refused (void *ctx, node_id_t node)
{
  group_refused (ctx, clock_now (), node, true);
}

static void
on_ask (scheduler_t *s, usec_t now, node_id_t node, const msg_job_ask_t *ask)
{
  parked_t parked = { .peer = node,
                      .id = ask->id,
                      .kind = (ask_kind_t)ask->kind,
                      .job = ask->job,
                      .shard = (uint32_t)ask->shard };
  uint32_t shard = parked.shard;
  tell_t tell = { .code = TELL_NOT_OWNER };

  if (ask->kind < ASK_STATUS || ask->kind > ASK_SUBMIT)
    {
      log_line (LOG_LEVEL_WARNING, "peer.ask", NULL,
                "node=%u id=%016" PRIx64 " kind=%" PRIu64 " refused", node,
                ask->id, ask->kind);
      return;
    }
  blob_copy (ask->queue, parked.queue, sizeof parked.queue);
  if (shard >= s->shard_count || !s->parts[shard].owned
      || answer (s, now, shard, parked.kind, ask->job, parked.queue, false,
                 &tell))
    deliver (s, now, node, ask->id, &tell);
  else
    park (s, now, &parked);
}

/* @param last no more waiting: answer with what is known
   @return false if the answer has to wait */
static bool
answer (scheduler_t *s, usec_t now, uint32_t shard, ask_kind_t kind,
        job_id_t job, const char *queue, bool last, tell_t *tell)
{
  part_t *part = &s->parts[shard];
  int code;

  *tell = (tell_t){ .code = TELL_LATER };
  if (!shard_is_active (part->shard))
    return last;
  if (kind == ASK_SUBMIT)
    {
      /* What was taken is being stored until it is known to be; a new
         ownership that does not know it cannot tell.  */
      if (!shard_submission_state (part->shard, job))
        tell->code = TELL_KNOWN;
      return last || tell->code == TELL_KNOWN;
    }
  if (kind == ASK_PENDING)
    {
      tell->code = TELL_KNOWN;
      tell->pending = shard_pending (part->shard, queue);
      return true;
    }
  code = kind == ASK_CANCEL ? shard_cancel (part->shard, now, job)
                            : shard_status (part->shard, job, &tell->status);
  if (kind == ASK_CANCEL)
    sched_wake (s);
  switch (code)
    {
    case 0:
      tell->code = TELL_KNOWN;
      return true;
    case -EALREADY:
      tell->code = TELL_UNKNOWN;
      return true;
    case -ENOENT:
      if (last && now - part->read_ok < READ_STALE + UNKNOWN_WAIT)
        tell->code = TELL_UNKNOWN;
      return last;
    default:
      /* An end that is not stored is not told as one: a successor might not
         know it.  */
      if (kind == ASK_STATUS)
        {
          tell->code = TELL_KNOWN;
          tell->status = JOB_RUNNING;
        }
      return last;
    }
}

static void
deliver (scheduler_t *s, usec_t now, node_id_t peer, uint64_t id,
         const tell_t *tell)
{
  message_t message = { .type = MSG_JOB_TELL };

  if (!peer)
    {
      callers_told (s, now, id, tell);
      return;
    }
  message.u.job_tell.id = id;
  message.u.job_tell.code = tell->code;
  message.u.job_tell.status = tell->status;
  message.u.job_tell.pending = tell->pending;
  if (peerlink_send (s->link, peer, &message))
    log_line (LOG_LEVEL_DEBUG, "job.tell", NULL,
              "id=%016" PRIx64 " not sent; the peer asks again", id);
}

static void
park (scheduler_t *s, usec_t now, parked_t *parked)
{
  job_status_t status;
  bool known
      = shard_status (s->parts[parked->shard].shard, parked->job, &status)
        != -ENOENT;

  parked->until = now
                  + (parked->kind == ASK_SUBMIT ? SUBMIT_WAIT
                     : known                    ? END_WAIT
                                                : UNKNOWN_WAIT);
  parked->life = s->parts[parked->shard].life;
  g_array_append_val (s->parked, *parked);
  sched_wake (s);
}

static void
retry_parked (scheduler_t *s, usec_t now, guint index, bool last)
{
  parked_t parked = g_array_index (s->parked, parked_t, index);
  tell_t tell = { .code = TELL_NOT_OWNER };

  if (s->parts[parked.shard].owned
      && !answer (s, now, parked.shard, parked.kind, parked.job, parked.queue,
                  last, &tell))
    return;
  if (last && parked.kind == ASK_SUBMIT && tell.code == TELL_LATER
      && withdraw (s, now, &parked))
    tell.code = TELL_WITHDRAWN;
  g_array_remove_index_fast (s->parked, index);
  deliver (s, now, parked.peer, parked.id, &tell);
}

/* A submission that no append has carried is not kept from a caller who may
   have to be refused.  @return whether it will surely not be stored */
static bool
withdraw (scheduler_t *s, usec_t now, const parked_t *parked)
{
  part_t *part = &s->parts[parked->shard];
  int code;

  if (!part->owned || part->life != parked->life
      || !shard_is_active (part->shard))
    return false;
  code = shard_withdraw (part->shard, now, parked->job);
  if (!code)
    log_line (LOG_LEVEL_INFO, "job.withdrawn", NULL,
              "job=%016" PRIx64 " shard=%u waited_ms=%" PRId64, parked->job,
              parked->shard, usec_to_msec (now - parked->until + SUBMIT_WAIT));
  /* Unknown to the ownership that took it: withdrawn for another caller.  */
  return !code || code == -ENOENT;
}

void
asks_job_changed (scheduler_t *s, usec_t now, job_id_t job)
{
  for (guint i = s->parked->len; i > 0; i--)
    if (i <= s->parked->len
        && g_array_index (s->parked, parked_t, i - 1).job == job)
      retry_parked (s, now, i - 1, false);
}

usec_t
asks_tick (scheduler_t *s, usec_t now)
{
  usec_t next = INT64_MAX;

  for (guint i = s->parked->len; i > 0; i--)
    {
      const parked_t *parked = &g_array_index (s->parked, parked_t, i - 1);

      if (now >= parked->until || !s->parts[parked->shard].owned)
        retry_parked (s, now, i - 1, true);
      else
        next = MIN (next, parked->until);
    }
  return next;
}

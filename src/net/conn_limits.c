/** @file
 * Limits of an HTTP server on connections, bytes and time.
 */
#include "net/conn_limits.h"

#include <glib.h>

/* Each connection is in one list.  All lists are in the order in which the
   connections entered their phase. */
typedef enum
{
  LIST_FRESH, /* WAITING or BODY, no request was answered yet */
  LIST_IDLE,  /* WAITING, a request was answered */
  LIST_BODY,  /* BODY, a request was answered */
  LIST_RUNNING,
  LIST_ANSWERING,
  LIST_CLOSING,
  LIST_COUNT
} list_t;

struct conn
{
  GList link; /* data: the connection */
  void *owner;
  conn_phase_t phase;
  list_t list;
  uint64_t entered; /* sweep at which the phase began */
  uint64_t received;
  uint64_t body_bytes;
  uint64_t answer_bytes;
  bool answered; /* a request was */
};

struct conn_limits
{
  conn_limits_config_t config;
  GQueue lists[LIST_COUNT];
  uint32_t count; /* without those being closed */
  uint64_t sweep;
  uint64_t body_bytes;
  uint64_t answer_bytes;
};

static void move_to (conn_limits_t *limits, conn_t *conn, list_t list);
static list_t list_of (const conn_t *conn);
static conn_t *slower_of (const conn_limits_t *limits, conn_t *a, conn_t *b);

conn_limits_t *
conn_limits_new (const conn_limits_config_t *config)
{
  conn_limits_t *limits = g_new0 (conn_limits_t, 1);

  limits->config = *config;
  for (int i = 0; i < LIST_COUNT; i++)
    g_queue_init (&limits->lists[i]);
  return limits;
}

void
conn_limits_free (conn_limits_t *limits)
{
  g_free (limits);
}

conn_t *
conn_limits_add (conn_limits_t *limits, void *owner)
{
  conn_t *conn = g_new0 (conn_t, 1);

  conn->link.data = conn;
  conn->owner = owner;
  conn->entered = limits->sweep;
  g_queue_push_tail_link (&limits->lists[LIST_FRESH], &conn->link);
  limits->count++;
  return conn;
}

void
conn_limits_remove (conn_limits_t *limits, conn_t *conn)
{
  conn_limits_release (limits, conn);
  limits->answer_bytes -= conn->answer_bytes;
  limits->count -= conn->list != LIST_CLOSING;
  g_queue_unlink (&limits->lists[conn->list], &conn->link);
  g_free (conn);
}

void *
conn_owner (const conn_t *conn)
{
  return conn->owner;
}

conn_phase_t
conn_phase (const conn_t *conn)
{
  return conn->phase;
}

void
conn_limits_enter (conn_limits_t *limits, conn_t *conn, conn_phase_t phase)
{
  conn->phase = phase;
  conn->entered = limits->sweep;
  if (conn->list != LIST_CLOSING)
    move_to (limits, conn, list_of (conn));
}

static list_t
list_of (const conn_t *conn)
{
  switch (conn->phase)
    {
    case CONN_RUNNING:
      return LIST_RUNNING;
    case CONN_ANSWERING:
      return LIST_ANSWERING;
    case CONN_BODY:
      return conn->answered ? LIST_BODY : LIST_FRESH;
    default:
      return conn->answered ? LIST_IDLE : LIST_FRESH;
    }
}

static void
move_to (conn_limits_t *limits, conn_t *conn, list_t list)
{
  g_queue_unlink (&limits->lists[conn->list], &conn->link);
  conn->list = list;
  g_queue_push_tail_link (&limits->lists[list], &conn->link);
}

void
conn_limits_end_request (conn_limits_t *limits, conn_t *conn, bool answered)
{
  conn_limits_release (limits, conn);
  limits->answer_bytes -= conn->answer_bytes;
  conn->answer_bytes = 0;
  conn->received = 0;
  conn->answered |= answered;
  conn_limits_enter (limits, conn, CONN_WAITING);
}

void
conn_limits_close (conn_limits_t *limits, conn_t *conn)
{
  conn_limits_release (limits, conn);
  if (conn->list == LIST_CLOSING)
    return;
  move_to (limits, conn, LIST_CLOSING);
  limits->count--;
}

bool
conn_limits_full (const conn_limits_t *limits)
{
  return limits->count >= limits->config.max_connections;
}

conn_t *
conn_limits_evictable (const conn_limits_t *limits)
{
  conn_t *conn = g_queue_peek_head ((GQueue *)&limits->lists[LIST_FRESH]);

  if (conn)
    return conn;
  return g_queue_peek_head ((GQueue *)&limits->lists[LIST_IDLE]);
}

bool
conn_limits_reserve (conn_limits_t *limits, conn_t *conn, uint32_t bytes)
{
  if (limits->config.budget_bytes
      && limits->body_bytes + limits->answer_bytes + bytes
             > limits->config.budget_bytes)
    return false;
  conn->body_bytes += bytes;
  limits->body_bytes += bytes;
  return true;
}

void
conn_limits_release (conn_limits_t *limits, conn_t *conn)
{
  limits->body_bytes -= conn->body_bytes;
  conn->body_bytes = 0;
}

void
conn_limits_received (conn_t *conn, uint32_t bytes)
{
  conn->received += bytes;
}

conn_t *
conn_limits_slowest (const conn_limits_t *limits)
{
  static const list_t searched[] = { LIST_FRESH, LIST_BODY };
  conn_t *slowest = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (searched); i++)
    for (GList *l = limits->lists[searched[i]].head; l; l = l->next)
      {
        conn_t *conn = l->data;

        if (conn->phase == CONN_BODY)
          slowest = slowest ? slower_of (limits, slowest, conn) : conn;
      }
  return slowest;
}

/* A is returned if both are as fast. */
static conn_t *
slower_of (const conn_limits_t *limits, conn_t *a, conn_t *b)
{
  uint64_t a_sweeps = limits->sweep - a->entered;
  uint64_t b_sweeps = limits->sweep - b->entered;

  if (!a_sweeps || !b_sweeps)
    return b_sweeps ? b : a;
  return b->received * a_sweeps < a->received * b_sweeps ? b : a;
}

void
conn_limits_hold_answer (conn_limits_t *limits, conn_t *conn, size_t bytes)
{
  conn->answer_bytes += bytes;
  limits->answer_bytes += bytes;
}

bool
conn_limits_admits (const conn_limits_t *limits)
{
  return !limits->config.budget_bytes
         || limits->answer_bytes < limits->config.budget_bytes;
}

void
conn_limits_sweep (conn_limits_t *limits)
{
  limits->sweep++;
}

conn_t *
conn_limits_overdue (const conn_limits_t *limits)
{
  static const list_t searched[]
      = { LIST_FRESH, LIST_IDLE, LIST_BODY, LIST_ANSWERING };

  if (!limits->config.timeout_sweeps)
    return NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (searched); i++)
    {
      conn_t *conn = g_queue_peek_head ((GQueue *)&limits->lists[searched[i]]);

      /* The first sweep of a phase may come at once. */
      if (conn
          && limits->sweep - conn->entered > limits->config.timeout_sweeps)
        return conn;
    }
  return NULL;
}

uint32_t
conn_limits_count (const conn_limits_t *limits)
{
  return limits->count;
}

uint64_t
conn_limits_bytes (const conn_limits_t *limits)
{
  return limits->body_bytes + limits->answer_bytes;
}

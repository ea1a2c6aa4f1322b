/** @file
 * Workers: attempts of orders under task leases.
 */
#include "platform.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_LEASE_MS 5000
#define ENDED_KEPT (120 * USEC_PER_SEC)
#define THROTTLED_PERCENT 50
#define MIN_PERCENT 1
#define STOP_MS 5.0 /* time that a task takes to stop */

typedef enum
{
  ATTEMPT_RUNNING,
  ATTEMPT_ENDED,
  ATTEMPT_STOPPED
} attempt_state_t;

static const char *const state_names[] = { "running", "ended", "stopped" };

/** Runs of one order over all workers. */
typedef struct
{
  const work_kind_t *kind;
  uint64_t starts;
  uint64_t active;
  uint64_t ended; /* attempts that ran to their end */
  uint64_t failed;
} order_run_t;

typedef struct
{
  vm_t *vm;
  char id[40];
  order_run_t *run;
  const work_kind_t *kind;
  attempt_state_t state;
  uint64_t shard;
  uint64_t epoch;
  char *body;
  double total_ms;
  double done_ms;
  double saved_ms;  /* progress in the newest checkpoint */
  uint64_t percent; /* speed */
  usec_t since;     /* of the newest change of done_ms */
  usec_t ended_at;
  uint64_t lease_ms;
  uint64_t millicores;
  uint64_t memory_mb;
  bool failed;
  ev_timer end_timer;
  ev_timer lease_timer;
} attempt_t;

typedef void (*attempt_call_fn) (attempt_t *attempt, request_t *request,
                                 json_t *args);

static void attempt_start (vm_t *vm, request_t *request, const char *id,
                           json_t *args);
static void attempt_begin (attempt_t *attempt, json_t *args);
static void attempt_call (vm_t *vm, request_t *request, const char *id,
                          const char *call, json_t *args);
static void call_renew (attempt_t *attempt, request_t *request, json_t *args);
static void call_stop (attempt_t *attempt, request_t *request, json_t *args);
static void call_checkpoint (attempt_t *attempt, request_t *request,
                             json_t *args);
static void call_throttle (attempt_t *attempt, request_t *request,
                           json_t *args);
static void stop_confirmed (void *ctx, request_t *request);
static bool is_stale (vm_t *vm, json_t *args);
static json_t *list_args (const request_t *request);
static void advance (attempt_t *attempt);
static void attempt_finish (attempt_t *attempt, attempt_state_t state);
static void on_end (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_lease (struct ev_loop *loop, ev_timer *watcher, int events);
static void lease_set (attempt_t *attempt);
static json_t *attempt_json (const attempt_t *attempt);
static void attempts_list (vm_t *vm, request_t *request);
static void attempt_free (gpointer data);
static order_run_t *order_run (platform_t *platform, const char *id,
                               const work_kind_t *kind);
static uint64_t json_number (json_t *args, const char *name,
                             uint64_t fallback);

static const struct
{
  const char *name;
  attempt_call_fn call;
} attempt_calls[] = { { "renew", call_renew },
                      { "stop", call_stop },
                      { "checkpoint", call_checkpoint },
                      { "throttle", call_throttle } };

void
worker_handle (void *ctx, request_t *request)
{
  vm_t *vm = ctx;
  char **parts = g_strsplit (request->path, "/", 4);
  guint count = g_strv_length (parts);
  bool post = !strcmp (request->method, "POST");
  json_t *args = post ? json_loadb ((char *)request->body->data,
                                    request->body->len, JSON_ALLOW_NUL, NULL)
                      : list_args (request);

  if (!vm->attempts)
    {
      vm->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            attempt_free);
      vm->epochs = g_hash_table_new (NULL, NULL);
    }
  if (vm->gone_at || vm_is_silent (vm, request))
    request_wait (request, 3600e3, stop_confirmed);
  else if (count == 2 && !strcmp (parts[1], "health"))
    request_status (request, MHD_HTTP_OK);
  else if (count < 2 || strcmp (parts[1], "attempts") != 0)
    request_status (request, MHD_HTTP_NOT_FOUND);
  else if (count == 2 && !post && is_stale (vm, args))
    request_status (request, MHD_HTTP_CONFLICT);
  else if (count == 2 && !post)
    attempts_list (vm, request);
  else if (count == 3 && post)
    attempt_start (vm, request, parts[2], args);
  else if (count == 4 && post)
    attempt_call (vm, request, parts[2], parts[3], args);
  else
    request_status (request, MHD_HTTP_METHOD_NOT_ALLOWED);
  json_decref (args);
  g_strfreev (parts);
}

void
worker_kill (vm_t *vm)
{
  GHashTableIter iter;
  gpointer value;

  if (!vm->attempts)
    return;
  g_hash_table_iter_init (&iter, vm->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    attempt_finish (value, ATTEMPT_STOPPED);
}

json_t *
worker_orders_json (platform_t *platform)
{
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  char name[24];

  g_hash_table_iter_init (&iter, platform->orders);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const order_run_t *run = value;

      snprintf (name, sizeof name, "%016llx", (unsigned long long)key);
      json_object_set_new (
          object, name,
          json_pack ("{s:I,s:I,s:I,s:I,s:b}", "starts",
                     (json_int_t)run->starts, "ended", (json_int_t)run->ended,
                     "failed", (json_int_t)run->failed, "active",
                     (json_int_t)run->active, "once", run->kind->once));
    }
  return object;
}

static void
attempt_start (vm_t *vm, request_t *request, const char *id, json_t *args)
{
  const char *class_name = json_string_value (json_object_get (args, "class"));
  attempt_t *attempt;

  vm_note_late (vm);
  if (!json_is_object (args) || !class_name || strlen (id) >= 40
      || !strchr (id, '-'))
    request_status (request, MHD_HTTP_BAD_REQUEST);
  else if (g_hash_table_contains (vm->attempts, id))
    request_json (request, MHD_HTTP_OK,
                  attempt_json (g_hash_table_lookup (vm->attempts, id)));
  else if (vm->leaving_at && vm->refuses)
    {
      vm->refused++;
      request->leaving = true;
      request_status (request, MHD_HTTP_SERVICE_UNAVAILABLE);
    }
  else if (is_stale (vm, args))
    request_status (request, MHD_HTTP_CONFLICT);
  else
    {
      attempt = g_new0 (attempt_t, 1);
      attempt->vm = vm;
      attempt->kind = work_kind (class_name);
      snprintf (attempt->id, sizeof attempt->id, "%s", id);
      g_hash_table_insert (vm->attempts, attempt->id, attempt);
      attempt_begin (attempt, args);
      request_json (request, MHD_HTTP_OK, attempt_json (attempt));
    }
}

static void
attempt_begin (attempt_t *attempt, json_t *args)
{
  vm_t *vm = attempt->vm;
  platform_t *platform = vm->platform;
  const work_kind_t *kind = attempt->kind;
  const char *body = json_string_value (json_object_get (args, "body"));
  const char *saved = json_string_value (json_object_get (args, "checkpoint"));

  attempt->body = g_strdup (body ? body : "");
  attempt->shard = json_number (args, "shard", 0);
  attempt->epoch = json_number (args, "epoch", 0);
  attempt->lease_ms = json_number (args, "lease_ms", DEFAULT_LEASE_MS);
  attempt->millicores = json_number (args, "millicores", kind->millicores);
  attempt->memory_mb = json_number (args, "memory_mb", kind->memory_mb);
  attempt->total_ms
      = work_time_ms (platform, kind, attempt->body, strlen (attempt->body));
  attempt->saved_ms
      = saved && kind->resumable ? g_ascii_strtod (saved, NULL) : 0.0;
  attempt->done_ms = attempt->saved_ms;
  attempt->percent = 100;
  attempt->since = now_usec ();
  attempt->run = order_run (platform, attempt->id, kind);
  if (attempt->run->active)
    platform->double_runs++;
  if (attempt->run->starts && kind->once)
    platform->run_again++;
  attempt->run->starts++;
  attempt->run->active++;
  vm->ran++;
  vm->in_use++;
  vm->most_in_use = MAX (vm->most_in_use, vm->in_use);
  vm->millicores += attempt->millicores;
  vm->memory_used += attempt->memory_mb;
  if (vm->millicores > vm->cores * 1000 || vm->memory_used > vm->memory_mb)
    vm->over++;
  ev_timer_init (&attempt->end_timer, on_end,
                 MAX (attempt->total_ms - attempt->done_ms, 0.0) / 1000.0,
                 0.0);
  attempt->end_timer.data = attempt;
  ev_timer_start (platform->loop, &attempt->end_timer);
  ev_timer_init (&attempt->lease_timer, on_lease, 0.0, 0.0);
  attempt->lease_timer.data = attempt;
  lease_set (attempt);
}

static void
attempt_call (vm_t *vm, request_t *request, const char *id, const char *call,
              json_t *args)
{
  attempt_t *attempt = g_hash_table_lookup (vm->attempts, id);
  size_t i;

  if (!attempt)
    {
      request_status (request, MHD_HTTP_NOT_FOUND);
      return;
    }
  if (is_stale (vm, args))
    {
      request_status (request, MHD_HTTP_CONFLICT);
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (attempt_calls); i++)
    if (!strcmp (attempt_calls[i].name, call))
      {
        attempt_calls[i].call (attempt, request, args);
        return;
      }
  request_status (request, MHD_HTTP_NOT_FOUND);
}

static void
call_renew (attempt_t *attempt, request_t *request, json_t *args)
{
  if (attempt->state == ATTEMPT_RUNNING)
    {
      attempt->lease_ms = json_number (args, "lease_ms", attempt->lease_ms);
      lease_set (attempt);
    }
  request_json (request, MHD_HTTP_OK, attempt_json (attempt));
}

static void
call_stop (attempt_t *attempt, request_t *request, json_t *args)
{
  (void)args;
  request->work = attempt;
  request_wait (request, STOP_MS, stop_confirmed);
}

static void
call_checkpoint (attempt_t *attempt, request_t *request, json_t *args)
{
  (void)args;
  if (!attempt->kind->resumable)
    {
      request_status (request, MHD_HTTP_CONFLICT);
      return;
    }
  if (attempt->state == ATTEMPT_RUNNING)
    {
      advance (attempt);
      attempt->saved_ms = attempt->done_ms;
    }
  request_json (request, MHD_HTTP_OK, attempt_json (attempt));
}

static void
call_throttle (attempt_t *attempt, request_t *request, json_t *args)
{
  json_t *on = json_object_get (args, "on");
  uint64_t percent = json_number (
      args, "percent", json_is_false (on) ? 100 : THROTTLED_PERCENT);

  if (attempt->state == ATTEMPT_RUNNING)
    {
      advance (attempt);
      attempt->percent = CLAMP (percent, MIN_PERCENT, 100);
      ev_timer_stop (attempt->vm->platform->loop, &attempt->end_timer);
      ev_timer_set (&attempt->end_timer,
                    MAX (attempt->total_ms - attempt->done_ms, 0.0) / 10.0
                        / (double)attempt->percent,
                    0.0);
      ev_timer_start (attempt->vm->platform->loop, &attempt->end_timer);
    }
  request_json (request, MHD_HTTP_OK, attempt_json (attempt));
}

/* Also ends calls to a VM that is gone or silent, without an answer. */
static void
stop_confirmed (void *ctx, request_t *request)
{
  vm_t *vm = ctx;
  attempt_t *attempt = request->work;

  if (!attempt || vm->gone_at || vm_is_silent (vm, request))
    {
      request_drop (request);
      return;
    }
  attempt_finish (attempt, ATTEMPT_STOPPED);
  request_json (request, MHD_HTTP_OK, attempt_json (attempt));
}

/* Epochs only go up for each shard; a call without one passes. */
static bool
is_stale (vm_t *vm, json_t *args)
{
  uint64_t shard = json_number (args, "shard", 0);
  uint64_t epoch = json_number (args, "epoch", 0);
  uint64_t newest
      = (uint64_t)g_hash_table_lookup (vm->epochs, (gpointer)shard);

  if (!json_object_get (args, "epoch"))
    return false;
  if (epoch >= newest)
    {
      g_hash_table_insert (vm->epochs, (gpointer)shard, (gpointer)epoch);
      return false;
    }
  vm->stale_epochs++;
  return vm->platform->check_epochs;
}

/* A list names shard and epoch in its query or its headers. */
static json_t *
list_args (const request_t *request)
{
  const char *shard = request_query (request, "shard");
  const char *epoch = request_query (request, "epoch");

  if (!shard)
    shard = request_header (request, "Limpethinge-Shard");
  if (!epoch)
    epoch = request_header (request, "Limpethinge-Epoch");
  if (!shard || !epoch)
    return NULL;
  return json_pack ("{s:I, s:I}", "shard", (json_int_t)number_or (shard, 0),
                    "epoch", (json_int_t)number_or (epoch, 0));
}

static void
advance (attempt_t *attempt)
{
  usec_t now = now_usec ();

  attempt->done_ms += (double)(now - attempt->since) / USEC_PER_MSEC
                      * (double)attempt->percent / 100.0;
  attempt->since = now;
}

static void
attempt_finish (attempt_t *attempt, attempt_state_t state)
{
  vm_t *vm = attempt->vm;

  if (attempt->state != ATTEMPT_RUNNING)
    return;
  advance (attempt);
  attempt->state = state;
  attempt->ended_at = attempt->since;
  attempt->run->active--;
  vm->in_use--;
  vm->millicores -= attempt->millicores;
  vm->memory_used -= attempt->memory_mb;
  ev_timer_stop (vm->platform->loop, &attempt->end_timer);
  ev_timer_stop (vm->platform->loop, &attempt->lease_timer);
}

static void
on_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  attempt_t *attempt = watcher->data;

  (void)loop;
  (void)events;
  attempt->failed = attempt->vm->fails_all;
  attempt_finish (attempt, ATTEMPT_ENDED);
  if (attempt->failed)
    attempt->run->failed++;
  else
    attempt->run->ended++;
}

/* Assumption A4: a task whose lease lapsed is stopped. */
static void
on_lease (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  attempt_finish (watcher->data, ATTEMPT_STOPPED);
}

static void
lease_set (attempt_t *attempt)
{
  struct ev_loop *loop = attempt->vm->platform->loop;

  ev_timer_stop (loop, &attempt->lease_timer);
  ev_timer_set (&attempt->lease_timer, (double)attempt->lease_ms / 1000.0,
                0.0);
  ev_timer_start (loop, &attempt->lease_timer);
}

static json_t *
attempt_json (const attempt_t *attempt)
{
  bool running = attempt->state == ATTEMPT_RUNNING;
  bool ended = attempt->state == ATTEMPT_ENDED;
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:I,s:s,s:I,s:I,s:{s:I,s:I}}", "id", attempt->id, "state",
      state_names[attempt->state], "outcome", ended ? "ran" : "none", "status",
      (json_int_t)(!ended            ? 0
                   : attempt->failed ? 500
                                     : 200),
      "result", ended && !attempt->failed ? attempt->body : "", "shard",
      (json_int_t)attempt->shard, "epoch", (json_int_t)attempt->epoch, "usage",
      "millicores", (json_int_t)(running ? attempt->millicores : 0),
      "memory_mb", (json_int_t)(running ? attempt->memory_mb : 0));
  char text[32];

  if (attempt->kind->resumable && attempt->saved_ms > 0.0)
    {
      g_ascii_dtostr (text, sizeof text, attempt->saved_ms);
      json_object_set_new (json, "checkpoint", json_string (text));
    }
  return json;
}

static void
attempts_list (vm_t *vm, request_t *request)
{
  usec_t keep_from = now_usec () - ENDED_KEPT;
  json_t *array = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, vm->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const attempt_t *attempt = value;

      if (attempt->state != ATTEMPT_RUNNING && attempt->ended_at < keep_from)
        g_hash_table_iter_remove (&iter);
      else
        json_array_append_new (array, attempt_json (attempt));
    }
  request_json (request, MHD_HTTP_OK, array);
}

static void
attempt_free (gpointer data)
{
  attempt_t *attempt = data;

  g_free (attempt->body);
  g_free (attempt);
}

static order_run_t *
order_run (platform_t *platform, const char *id, const work_kind_t *kind)
{
  gpointer key = (gpointer)g_ascii_strtoull (id, NULL, 16);
  order_run_t *run = g_hash_table_lookup (platform->orders, key);

  if (!run)
    {
      run = g_new0 (order_run_t, 1);
      run->kind = kind;
      g_hash_table_insert (platform->orders, key, run);
    }
  return run;
}

static uint64_t
json_number (json_t *args, const char *name, uint64_t fallback)
{
  json_t *value = json_object_get (args, name);

  return json_is_integer (value) ? (uint64_t)json_integer_value (value)
                                 : fallback;
}

/** @file
 * Service instances: slots, service times, echo.
 */
#include "platform.h"

#include <string.h>
#include <xxhash.h>

#define SILENCE_MS 3600e3

typedef struct
{
  const vm_t *vm; /* of the newest run */
  uint32_t active;
  uint32_t runs;
} work_run_t;

typedef struct
{
  vm_t *vm;
  work_run_t *run;
  bool held;
  bool cut; /* the run limit ends it before it is done */
} instance_work_t;

static void work_start (vm_t *vm, request_t *request);
static void work_done (void *ctx, request_t *request);
static void work_end (void *ctx, request_t *request);
static void work_release (instance_work_t *work);
static void work_silence (void *ctx, request_t *request);
static work_run_t *note_run (const vm_t *vm, const GByteArray *body);

void
instance_handle (void *ctx, request_t *request)
{
  vm_t *vm = ctx;

  if (vm->gone_at)
    request_drop (request);
  else if (vm_is_silent (vm, request))
    request_wait (request, SILENCE_MS, work_silence);
  else if (!strcmp (request->path, "/health"))
    request_status (request, MHD_HTTP_OK);
  else if (strcmp (request->path, "/work") != 0
           || strcmp (request->method, "POST") != 0)
    request_status (request, MHD_HTTP_NOT_FOUND);
  else
    work_start (vm, request);
}

uint64_t
instance_count_ran (platform_t *platform, const char *text)
{
  uint64_t count = 0;
  char *end;

  while (*text)
    {
      guint64 hash = g_ascii_strtoull (text, &end, 16);

      if (end == text)
        break;
      if (g_hash_table_contains (platform->works, (gpointer)hash))
        count++;
      text = end + strspn (end, "\r\n ");
    }
  return count;
}

static void
work_start (vm_t *vm, request_t *request)
{
  const char *limit = request_header (request, "Limpethinge-Run-Limit-Ms");
  const work_kind_t *kind
      = work_kind (request_header (request, "Limpethinge-Class"));
  double most = limit ? (double)number_or (limit, 0) : 0.0;
  double ms = work_time_ms (vm->platform, kind, (char *)request->body->data,
                            request->body->len);
  instance_work_t *work;

  vm_note_late (vm);
  if (vm->leaving_at && vm->refuses)
    {
      vm->refused++;
      request->leaving = true;
      request_status (request, MHD_HTTP_SERVICE_UNAVAILABLE);
      return;
    }
  if (g_hash_table_size (vm->port->conns) > vm->connections)
    vm->over_connections++;
  work = g_new0 (instance_work_t, 1);
  work->vm = vm;
  work->held = true;
  work->cut = limit && ms > most;
  work->run = note_run (vm, request->body);
  vm->ran++;
  vm->in_use++;
  vm->most_in_use = MAX (vm->most_in_use, vm->in_use);
  if (vm->in_use > vm->slots)
    vm->over++;
  request->work = work;
  request->on_end = work_end;
  request_wait (request, work->cut ? most : ms, work_done);
}

static void
work_done (void *ctx, request_t *request)
{
  vm_t *vm = ctx;
  instance_work_t *work = request->work;

  work_release (work);
  if (vm->gone_at)
    request_drop (request);
  else if (vm_is_silent (vm, request))
    request_wait (request, SILENCE_MS, work_silence);
  else if (work->cut)
    request_status (request, MHD_HTTP_GATEWAY_TIMEOUT);
  else
    request_reply (request, MHD_HTTP_OK,
                   g_memdup2 (request->body->data, request->body->len),
                   request->body->len);
}

/* The slot is held until the service time has passed, also if the caller's
   connection has ended before. */
static void
work_end (void *ctx, request_t *request)
{
  (void)ctx;
  work_release (request->work);
  g_free (request->work);
}

static void
work_release (instance_work_t *work)
{
  if (!work->held)
    return;
  work->held = false;
  work->vm->in_use--;
  work->run->active--;
}

static void
work_silence (void *ctx, request_t *request)
{
  (void)ctx;
  request_drop (request);
}

static work_run_t *
note_run (const vm_t *vm, const GByteArray *body)
{
  platform_t *platform = vm->platform;
  gpointer key = (gpointer)XXH64 (body->data, body->len, 0);
  work_run_t *run = g_hash_table_lookup (platform->works, key);

  if (!run)
    {
      run = g_new0 (work_run_t, 1);
      g_hash_table_insert (platform->works, key, run);
    }
  if (run->active && !run->vm->gone_at)
    platform->double_lc++;
  run->vm = vm;
  run->active++;
  run->runs++;
  return run;
}

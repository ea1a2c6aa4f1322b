/** @file
 * Control port of the platform stand-in: faults and audit.
 */
#include "platform.h"

#include <string.h>

typedef bool (*fault_fn) (platform_t *platform, request_t *request,
                          const char *value, unsigned arg);

static bool fault_log (platform_t *platform, request_t *request,
                       const char *value, unsigned arg);
static bool fault_log_client (platform_t *platform, request_t *request,
                              const char *value, unsigned arg);
static bool fault_list (platform_t *platform, request_t *request,
                        const char *value, unsigned arg);
static bool fault_odd_list (platform_t *platform, request_t *request,
                            const char *value, unsigned arg);
static bool fault_vm (platform_t *platform, request_t *request,
                      const char *value, unsigned arg);
static bool fault_entry (platform_t *platform, request_t *request,
                         const char *value, unsigned arg);
static void vm_apply (vm_t *vm, request_t *request, unsigned fault);
static bool control_fault (platform_t *platform, request_t *request);
static json_t *audit_json (platform_t *platform);
static json_t *vm_audit_json (const vm_t *vm);

enum
{
  VM_LEAVING,
  VM_KILL,
  VM_SILENT,
  VM_FAILS_ALL
};

static const struct
{
  const char *name;
  fault_fn apply;
  unsigned arg;
} faults[] = {
  { "log-down", fault_log, LOG_DOWN },
  { "log-slow-ms", fault_log, LOG_SLOW_MS },
  { "log-lose-replies", fault_log, LOG_LOSE_REPLIES },
  { "log-retention", fault_log, LOG_RETENTION },
  { "log-down-for", fault_log_client, true },
  { "log-up-for", fault_log_client, false },
  { "list-frozen", fault_list, 0 },
  { "list-odd", fault_odd_list, 0 },
  { "vm-leaving", fault_vm, VM_LEAVING },
  { "vm-kill", fault_vm, VM_KILL },
  { "vm-silent", fault_vm, VM_SILENT },
  { "worker-fails-all", fault_vm, VM_FAILS_ALL },
  { "entry-leaving", fault_entry, VM_LEAVING },
  { "entry-gone", fault_entry, VM_KILL },
};

void
control_handle (void *ctx, request_t *request)
{
  platform_t *platform = ctx;

  if (!strcmp (request->path, "/audit"))
    request_json (request, MHD_HTTP_OK, audit_json (platform));
  else if (!strcmp (request->path, "/ran"))
    {
      g_byte_array_append (request->body, (const guint8 *)"", 1);
      request_json (request, MHD_HTTP_OK,
                    json_pack ("{s:I}", "ran",
                               (json_int_t)instance_count_ran (
                                   platform, (char *)request->body->data)));
    }
  else if (!strcmp (request->path, "/control"))
    request_status (request, control_fault (platform, request)
                                 ? MHD_HTTP_OK
                                 : MHD_HTTP_BAD_REQUEST);
  else
    request_status (request, MHD_HTTP_NOT_FOUND);
}

static bool
control_fault (platform_t *platform, request_t *request)
{
  const char *name = request_query (request, "fault");
  const char *value = request_query (request, "value");
  size_t i;

  for (i = 0; name && value && i < G_N_ELEMENTS (faults); i++)
    if (!strcmp (faults[i].name, name))
      return faults[i].apply (platform, request, value, faults[i].arg);
  return false;
}

static bool
fault_log (platform_t *platform, request_t *request, const char *value,
           unsigned arg)
{
  (void)request;
  log_service_fault (platform->log, arg, number_or (value, 0));
  return true;
}

static bool
fault_log_client (platform_t *platform, request_t *request, const char *value,
                  unsigned arg)
{
  (void)request;
  log_service_down_for (platform->log, value, arg);
  return true;
}

static bool
fault_list (platform_t *platform, request_t *request, const char *value,
            unsigned arg)
{
  (void)request;
  (void)arg;
  g_free (platform->frozen_list);
  platform->list_frozen = number_or (value, 0);
  platform->frozen_list = platform->list_frozen ? vms_list (platform) : NULL;
  return true;
}

static bool
fault_odd_list (platform_t *platform, request_t *request, const char *value,
                unsigned arg)
{
  (void)request;
  (void)arg;
  platform->list_odd = number_or (value, 0);
  return true;
}

static bool
fault_vm (platform_t *platform, request_t *request, const char *value,
          unsigned arg)
{
  vm_t *vm = vm_find (platform, value);

  if (vm)
    vm_apply (vm, request, arg);
  return vm;
}

static bool
fault_entry (platform_t *platform, request_t *request, const char *value,
             unsigned arg)
{
  vm_t *vm = vm_find_entry (platform, number_or (value, 0));

  if (vm)
    vm_apply (vm, request, arg);
  return vm;
}

static void
vm_apply (vm_t *vm, request_t *request, unsigned fault)
{
  usec_t now = now_usec ();

  if (fault == VM_LEAVING)
    {
      vm->leaving_at = now;
      vm->refuses = number_or (request_query (request, "refuse"), 0);
    }
  else if (fault == VM_KILL)
    {
      vm->gone_at = now;
      worker_kill (vm);
      if (vm->port)
        port_close (vm->port);
    }
  else if (fault == VM_SILENT)
    {
      vm->silent_from = now;
      vm->silent_until = now
                         + (usec_t)number_or (request_query (request, "ms"), 0)
                               * USEC_PER_MSEC;
    }
  else
    vm->fails_all = number_or (request_query (request, "on"), 1);
}

static json_t *
audit_json (platform_t *platform)
{
  json_t *vms = json_object ();
  uint64_t ran = 0;
  uint64_t over = 0;
  uint64_t over_connections = 0;
  uint64_t late = 0;
  guint i;

  for (i = 0; i < platform->vms->len; i++)
    {
      const vm_t *vm = g_ptr_array_index (platform->vms, i);

      ran += vm->type == VM_INSTANCE ? vm->ran : 0;
      over += vm->over;
      over_connections += vm->over_connections;
      late += vm->late;
      if (vm->type != VM_ENTRY)
        json_object_set_new (vms, vm->id, vm_audit_json (vm));
    }
  return json_pack (
      "{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "log",
      log_service_json (platform->log), "lc_runs", (json_int_t)ran,
      "lc_distinct", (json_int_t)g_hash_table_size (platform->works),
      "capacity_violations", (json_int_t)over, "connection_violations",
      (json_int_t)over_connections, "late_work", (json_int_t)late, "double_lc",
      (json_int_t)platform->double_lc, "double_runs",
      (json_int_t)platform->double_runs, "run_again",
      (json_int_t)platform->run_again, "vms", vms, "orders",
      worker_orders_json (platform));
}

static json_t *
vm_audit_json (const vm_t *vm)
{
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "ran", (json_int_t)vm->ran,
      "in_use", (json_int_t)vm->in_use, "most_in_use",
      (json_int_t)vm->most_in_use, "violations", (json_int_t)vm->over,
      "refused", (json_int_t)vm->refused, "late", (json_int_t)vm->late,
      "stale_epochs", (json_int_t)vm->stale_epochs, "connections",
      (json_int_t)(vm->port ? g_hash_table_size (vm->port->conns) : 0));
}

/** @file
 * VMs of the platform, their list, and what classes of work cost.
 */
#include "platform.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define RUN_MS_PREFIX "run-ms="
#define MOST_DIGITS 12

/** Sizes by type, after the Magnolia site. */
static const struct
{
  const char *name;
  const char *prefix;
  uint64_t slots;
  uint64_t connections;
  uint64_t cores;
  uint64_t memory_mb;
  request_fn handler;
} vm_types[] = {
  [VM_INSTANCE] = { "instance", "i", 8, 64, 4, 8000, instance_handle },
  [VM_WORKER] = { "worker", "w", 0, 64, 32, 125000, worker_handle },
  [VM_ENTRY] = { "entry", "e", 0, 0, 2, 4000, NULL },
};

/* The last row is for all other classes. */
static const work_kind_t work_kinds[] = {
  { "proof", 4.0, 1.5, 400.0, 0, 0, false, false },
  { "quote", 1.0, 2.0, 100.0, 0, 0, false, false },
  { "plate", 200.0, 1.5, 4000.0, 2000, 4000, false, true },
  { "blend", 400.0, 1.5, 8000.0, 4000, 8000, false, true },
  { "watcher", 20000.0, 50.0, 30000.0, 500, 500, true, false },
  { "sort", 300.0, 1.2, 6000.0, 2000, 4000, true, false },
  { "", 5.0, 2.0, 100.0, 1000, 1000, false, false },
};

static char *add_odd_rows (char *list);
static json_t *vm_json (const vm_t *vm, usec_t now, usec_t lag);
static void vm_place (vm_t *vm, char **zones, unsigned racks, unsigned index);
static uint64_t zone_index (char **zones, const char *name);

const work_kind_t *
work_kind (const char *class_name)
{
  const work_kind_t *kind = work_kinds;

  while (kind->name[0]
         && (!class_name || strcmp (kind->name, class_name) != 0))
    kind++;
  return kind;
}

double
work_time_ms (platform_t *platform, const work_kind_t *kind, const char *body,
              size_t len)
{
  char *number;
  double value;

  if (len > strlen (RUN_MS_PREFIX)
      && !memcmp (body, RUN_MS_PREFIX, strlen (RUN_MS_PREFIX)))
    {
      number = g_strndup (body + strlen (RUN_MS_PREFIX),
                          MIN (len - strlen (RUN_MS_PREFIX), MOST_DIGITS));
      value = g_ascii_strtod (number, NULL);
      g_free (number);
      return value;
    }
  value = 1.0 - g_rand_double (platform->random);
  return platform->time_scale
         * MIN (kind->least_ms * pow (value, -1.0 / kind->alpha),
                kind->most_ms);
}

bool
vms_add (platform_t *platform, vm_type_t type, unsigned count, uint16_t base,
         char **zones, unsigned racks)
{
  unsigned i;

  for (i = 0; i < count; i++)
    {
      vm_t *vm = g_new0 (vm_t, 1);

      vm->platform = platform;
      vm->type = type;
      snprintf (vm->id, sizeof vm->id, "%s%u", vm_types[type].prefix, i + 1);
      snprintf (vm->address, sizeof vm->address, "127.0.0.1:%u", base + i);
      vm_place (vm, zones, racks, i);
      vm->port = server_listen (platform->server, (uint16_t)(base + i),
                                vm_types[type].handler, vm);
      g_ptr_array_add (platform->vms, vm);
      if (!vm->port)
        return false;
    }
  return true;
}

bool
vms_add_entry (platform_t *platform, const char *text, char **zones)
{
  char **parts = g_strsplit_set (text, "=,", 3);
  bool ok = g_strv_length (parts) >= 2;

  if (ok)
    {
      vm_t *vm = g_new0 (vm_t, 1);

      vm->platform = platform;
      vm->type = VM_ENTRY;
      vm->node = number_or (parts[0], 0);
      snprintf (vm->id, sizeof vm->id, "e%s", parts[0]);
      snprintf (vm->address, sizeof vm->address, "%s", parts[1]);
      vm_place (
          vm, zones, 1,
          (unsigned)(parts[2] ? zone_index (zones, parts[2]) : vm->node - 1));
      g_ptr_array_add (platform->vms, vm);
    }
  g_strfreev (parts);
  return ok;
}

vm_t *
vm_find (platform_t *platform, const char *id)
{
  guint i;

  for (i = 0; i < platform->vms->len; i++)
    {
      vm_t *vm = g_ptr_array_index (platform->vms, i);

      if (!strcmp (vm->id, id))
        return vm;
    }
  return NULL;
}

vm_t *
vm_find_entry (platform_t *platform, uint64_t node)
{
  guint i;

  for (i = 0; i < platform->vms->len; i++)
    {
      vm_t *vm = g_ptr_array_index (platform->vms, i);

      if (vm->type == VM_ENTRY && vm->node == node)
        return vm;
    }
  return NULL;
}

char *
vms_list (platform_t *platform)
{
  usec_t now = now_usec ();
  json_t *array = json_array ();
  char *text;
  guint i;

  for (i = 0; i < platform->vms->len; i++)
    {
      const vm_t *vm = g_ptr_array_index (platform->vms, i);

      if (!vm->gone_at || now < vm->gone_at + platform->list_lag)
        json_array_append_new (array, vm_json (vm, now, platform->list_lag));
    }
  text = json_dumps (array, JSON_COMPACT);
  json_decref (array);
  return platform->list_odd ? add_odd_rows (text) : text;
}

/* Rows that name no VM, before the others.  Consumes LIST.  */
static char *
add_odd_rows (char *list)
{
  static const char rows[]
      = "7,null,[[[[]]]],{\"kind\":7},{\"kind\":\"entry\",\"node\":-1},"
        "{\"kind\":\"entry\",\"node\":4294967297,\"address\":\"x:0\"},"
        "{\"kind\":\"worker\",\"id\":\"w1\\u0000x\",\"zone\":\"a\","
        "\"address\":\"127.0.0.1:1\",\"cores\":64},"
        "{\"kind\":\"worker\",\"id\":\"odd1\",\"zone\":\"a\",\"address\":"
        "\"127.0.0.1:70000\",\"cores\":1e300,\"memory_mb\":"
        "99999999999999999999},{\"kind\":\"worker\",\"id\":\"odd2\",\"zone\":"
        "\"a\",\"address\":\"127.0.0.1:0\",\"cores\":-1},"
        "{\"kind\":\"instance\",\"id\":\"odd3\",\"zone\":\"a\",\"address\":"
        "\"127.0.0.1:70000\",\"slots\":1000,\"connections\":1000},"
        "{\"kind\":\"instance\",\"id\":\"i1\\u0000x\",\"zone\":\"a\","
        "\"address\":\"127.0.0.1:1\",\"slots\":1000},"
        "{\"kind\":\"instance\",\"id\":\"odd 4\",\"zone\":\"a\",\"address\":"
        "\"0.0.0.0:1\",\"slots\":1000},";
  char *text;

  if (asprintf (&text, "[%s%s", rows, list + 1) < 0)
    text = NULL;
  free (list);
  return text;
}

/* The bound counts from when the list shows it or the VM says it. */
void
vm_note_late (vm_t *vm)
{
  usec_t said = vm->leaving_at + (vm->refuses ? 0 : vm->platform->list_lag);

  if (vm->leaving_at && now_usec () > said + LEAVING_BOUND_USEC)
    vm->late++;
}

bool
vm_is_silent (const vm_t *vm, const request_t *request)
{
  return vm->silent_from && request->conn->born < vm->silent_until;
}

static json_t *
vm_json (const vm_t *vm, usec_t now, usec_t lag)
{
  bool leaving = vm->leaving_at && now >= vm->leaving_at + lag;
  json_t *row = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:s}", "id", vm->id,
      "address", vm->address, "zone", vm->zone, "rack", vm->rack, "kind",
      vm_types[vm->type].name, "host", vm->host, "slots",
      (json_int_t)vm->slots, "connections", (json_int_t)vm->connections,
      "cores", (json_int_t)vm->cores, "memory_mb", (json_int_t)vm->memory_mb,
      "accelerators", (json_int_t)vm->accelerators, "state",
      leaving ? "leaving" : "live");

  if (vm->type == VM_ENTRY)
    json_object_set_new (row, "node", json_integer ((json_int_t)vm->node));
  return row;
}

/* Instance N and worker N share a host. */
static void
vm_place (vm_t *vm, char **zones, unsigned racks, unsigned index)
{
  unsigned zone_count = g_strv_length (zones);
  const char *zone = zones[index % zone_count];

  snprintf (vm->zone, sizeof vm->zone, "%s", zone);
  snprintf (vm->rack, sizeof vm->rack, "%s-%u", zone,
            index / zone_count % racks);
  snprintf (vm->host, sizeof vm->host, "%s%u",
            vm->type == VM_ENTRY ? "eh" : "h", index + 1);
  vm->slots = vm_types[vm->type].slots;
  vm->connections = vm_types[vm->type].connections;
  vm->cores = vm_types[vm->type].cores;
  vm->memory_mb = vm_types[vm->type].memory_mb;
}

static uint64_t
zone_index (char **zones, const char *name)
{
  uint64_t i;

  for (i = 0; zones[i]; i++)
    if (!strcmp (zones[i], name))
      return i;
  return 0;
}

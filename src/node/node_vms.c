/** @file
 * The platform's list of VMs.
 */
#include "base/log.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <string.h>

#define LIST_TIMEOUT (2 * USEC_PER_SEC)
#define URL_BYTES 256
#define STATUS_OK 200
#define STATUS_NOT_MODIFIED 304
#define MILLICORES_PER_CORE 1000.0

static void on_list (void *ctx, const http_answer_t *answer);
static void take_list (node_t *node, usec_t now, const json_t *list);
static void take_nodes (node_t *node, usec_t now);
static void take_entry (node_t *node, const json_t *row);
static void take_instance (node_t *node, const json_t *row, GHashTable *seen);
static void take_worker (node_t *node, usec_t now, const json_t *row,
                         GHashTable *seen);
static void mark_gone (node_t *node, GHashTable *seen);
static void mark_workers_gone (node_t *node, usec_t now, GHashTable *seen);
static const char *text_of (const json_t *row, const char *key);
static uint32_t number_of (const json_t *row, const char *key);

void
node_vms_tick (node_t *node, usec_t now)
{
  char url[URL_BYTES];
  char tag[URL_BYTES];
  const char *headers[] = { tag, NULL };
  http_request_t request = {
    .method = "GET", .url = url, .headers = headers, .timeout = LIST_TIMEOUT
  };

  if (node->list_busy || now < node->list_due)
    return;
  node->list_busy = true;
  node->list_due = now + node->settings->list_interval;
  g_snprintf (url, sizeof url, "%s/vms", node->settings->list_url);
  g_snprintf (tag, sizeof tag, "If-None-Match: %s",
              node->list_tag ? node->list_tag : "\"\"");
  http_client_send (node->platform, &request, on_list, node);
}

static void
on_list (void *ctx, const http_answer_t *answer)
{
  node_t *node = ctx;
  json_t *list;

  node->list_busy = false;
  if (answer->transfer_result != HTTP_ANSWERED)
    return;
  if (answer->status == STATUS_NOT_MODIFIED)
    {
      take_nodes (node, clock_now ());
      return;
    }
  if (answer->status != STATUS_OK)
    return;
  list = json_loadb (answer->body.data, answer->body.len, 0, NULL);
  if (json_is_array (list))
    {
      take_list (node, clock_now (), list);
      g_free (node->list_tag);
      node->list_tag = g_strdup (answer->etag);
    }
  json_decref (list);
  node_wake (node);
}

static void
take_list (node_t *node, usec_t now, const json_t *list)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  size_t i;
  json_t *row;

  node->listed_count = 0;
  g_ptr_array_set_size (node->listed_addresses, 0);

  json_array_foreach (list, i, row)
  {
    const char *kind = text_of (row, "kind");

    if (strcmp (kind, "entry") == 0)
      take_entry (node, row);
    else if (strcmp (kind, "instance") == 0)
      take_instance (node, row, seen);
    else if (strcmp (kind, "worker") == 0)
      take_worker (node, now, row, seen);
  }
  take_nodes (node, now);
  mark_gone (node, seen);
  mark_workers_gone (node, now, seen);
  routing_refresh (node->routing, now);
  g_hash_table_destroy (seen);
}

/* An unchanged list says once more which entry VMs there are. */
static void
take_nodes (node_t *node, usec_t now)
{
  if (!node->listed_count)
    return;
  peers_apply_vm_list (node->peers, now, node->listed, node->listed_count);
  claims_vm_list_received (node->claims, now,
                           (const char *const *)node->listed_addresses->pdata,
                           node->listed_addresses->len);
}

static void
take_entry (node_t *node, const json_t *row)
{
  node_id_t id = number_of (row, "node");

  if (node->listed_count < PEERS_MAX)
    node->listed[node->listed_count++] = id;
  g_ptr_array_add (node->listed_addresses,
                   g_strdup (text_of (row, "address")));
  if (id == node->settings->node
      && strcmp (text_of (row, "state"), "leaving") == 0)
    node_start_drain (node, "the list says this VM is leaving");
}

static void
take_instance (node_t *node, const json_t *row, GHashTable *seen)
{
  const char *id = text_of (row, "id");
  handle_t known = limits_find (node->limits, id);
  const vm_t *before = limits_vm (node->limits, known);
  int zone = settings_zone (node->settings, text_of (row, "zone"));
  vm_t vm = { 0 };

  if (!*id || zone < 0)
    return;
  g_strlcpy (vm.id, id, sizeof vm.id);
  g_strlcpy (vm.address, text_of (row, "address"), sizeof vm.address);
  vm.zone = (uint32_t)zone;
  vm.shard = settings_shard (node->settings, vm.zone, vm.id);
  vm.slots = number_of (row, "slots");
  vm.connections = number_of (row, "connections");
  vm.state
      = strcmp (text_of (row, "state"), "leaving") == 0 ? VM_LEAVING : VM_LIVE;
  /* The list lags: a VM that said itself that it leaves stays so. */
  if (before && before->state == VM_LEAVING)
    vm.state = VM_LEAVING;
  if (before && before->state != vm.state)
    log_line (LOG_LEVEL_NOTICE, "list", vm.id, "VM is %s",
              vm.state == VM_LEAVING ? "leaving" : "live");
  limits_set_vm (node->limits, &vm);
  g_hash_table_add (seen, (gpointer)id);
}

static void
mark_gone (node_t *node, GHashTable *seen)
{
  for (handle_t h = limits_next (node->limits, HANDLE_NONE); h != HANDLE_NONE;
       h = limits_next (node->limits, h))
    {
      vm_t vm = *limits_vm (node->limits, h);

      if (vm.state == VM_GONE || g_hash_table_contains (seen, vm.id))
        continue;
      vm.state = VM_GONE;
      log_line (LOG_LEVEL_NOTICE, "list", vm.id, "VM is gone");
      limits_set_vm (node->limits, &vm);
    }
}

static void
take_worker (node_t *node, usec_t now, const json_t *row, GHashTable *seen)
{
  const char *id = text_of (row, "id");
  int zone = settings_zone (node->settings, text_of (row, "zone"));
  worker_t *worker = g_hash_table_lookup (node->workers, id);
  const json_t *cores = json_object_get (row, "cores");
  worker_info_t info = { .id = id, .zone = (uint32_t)zone };

  if (!*id || zone < 0)
    return;
  if (!worker)
    {
      worker = g_new0 (worker_t, 1);
      g_hash_table_insert (node->workers, g_strdup (id), worker);
    }
  g_strlcpy (worker->address, text_of (row, "address"),
             sizeof worker->address);
  worker->millicores
      = (uint64_t)(json_number_value (cores) * MILLICORES_PER_CORE);
  worker->memory_mb = number_of (row, "memory_mb");
  worker->accelerators = number_of (row, "accelerators");
  info.rack = g_str_hash (text_of (row, "rack"));
  info.millicores = worker->millicores;
  info.memory_mb = worker->memory_mb;
  info.accelerators = worker->accelerators;
  info.leaving = strcmp (text_of (row, "state"), "leaving") == 0;
  attempts_update_worker (node->attempts, now, &info,
                          settings_shard (node->settings, (uint32_t)zone, id));
  g_hash_table_add (seen, (gpointer)id);
}

static void
mark_workers_gone (node_t *node, usec_t now, GHashTable *seen)
{
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, node->workers);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (g_hash_table_contains (seen, id))
        continue;
      log_line (LOG_LEVEL_NOTICE, "list", id, "worker is gone");
      attempts_remove_worker (node->attempts, now, id);
      g_hash_table_iter_remove (&iter);
    }
}

static const char *
text_of (const json_t *row, const char *key)
{
  const char *text = json_string_value (json_object_get (row, key));

  return text ? text : "";
}

static uint32_t
number_of (const json_t *row, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (row, key));

  return number > 0 && number <= UINT32_MAX ? (uint32_t)number : 0;
}

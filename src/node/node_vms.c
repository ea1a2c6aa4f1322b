/** @file
 * The platform's VM list: entry VMs, instances and workers.
 */
#include "base/log.h"
#include "net/address.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <string.h>

#define WORKER_ID_BYTES 256
#define LIST_TIMEOUT (2 * USEC_PER_SEC)
#define URL_BYTES 256
#define STATUS_OK 200
#define STATUS_NOT_MODIFIED 304
#define MILLICORES_PER_CORE 1000.0
/* No VM has more cores. */
#define MAX_CORES 10000.0
/* A row with a zero byte or a number that is too large leaves the others. */
#define PARSE_FLAGS (JSON_ALLOW_NUL | JSON_DECODE_INT_AS_REAL)

static void on_list_answer (void *ctx, const http_answer_t *answer);
static void apply_list (node_t *node, usec_t now, const json_t *list);
static void report_listed_nodes (node_t *node, usec_t now);
static void add_entry_vm (node_t *node, const json_t *row);
static void apply_instance (node_t *node, const json_t *row,
                            GHashTable *listed_ids);
static void apply_worker (node_t *node, usec_t now, const json_t *row,
                          GHashTable *listed_ids);
static void mark_unlisted_instances (node_t *node, GHashTable *listed_ids);
static void remove_unlisted_workers (node_t *node, usec_t now,
                                     GHashTable *listed_ids);
static bool has_id_and_address (const json_t *row, size_t id_bytes);
static uint64_t millicores_field (const json_t *row);
static const char *string_field (const json_t *row, const char *key);
static uint32_t number_field (const json_t *row, const char *key);

void
node_vms_tick (node_t *node, usec_t now)
{
  char url[URL_BYTES];
  char tag[URL_BYTES];
  const char *headers[] = { tag, NULL };
  http_request_t request = {
    .method = "GET", .url = url, .headers = headers, .timeout = LIST_TIMEOUT
  };

  if (node->list_in_flight || now < node->list_due)
    return;
  node->list_in_flight = true;
  node->list_due = now + node->settings->list_interval;
  g_snprintf (url, sizeof url, "%s/vms", node->settings->list_url);
  g_snprintf (tag, sizeof tag, "If-None-Match: %s",
              node->list_etag ? node->list_etag : "\"\"");
  http_client_send (node->platform, &request, on_list_answer, node);
}

static void
on_list_answer (void *ctx, const http_answer_t *answer)
{
  node_t *node = ctx;
  json_t *list;

  node->list_in_flight = false;
  if (answer->transfer_result != HTTP_ANSWERED)
    return;
  if (answer->status == STATUS_NOT_MODIFIED)
    {
      report_listed_nodes (node, clock_now ());
      return;
    }
  if (answer->status != STATUS_OK)
    return;
  list = json_loadb (answer->body.data, answer->body.len, PARSE_FLAGS, NULL);
  if (json_is_array (list))
    {
      apply_list (node, clock_now (), list);
      g_free (node->list_etag);
      node->list_etag = g_strdup (answer->etag);
    }
  json_decref (list);
  node_wake (node);
}

static void
apply_list (node_t *node, usec_t now, const json_t *list)
{
  GHashTable *listed_ids = g_hash_table_new (g_str_hash, g_str_equal);
  size_t i;
  json_t *row;

  node->listed_node_count = 0;
  g_ptr_array_set_size (node->listed_addresses, 0);

  json_array_foreach (list, i, row)
  {
    const char *kind = string_field (row, "kind");

    if (strcmp (kind, "entry") == 0)
      add_entry_vm (node, row);
    else if (strcmp (kind, "instance") == 0)
      apply_instance (node, row, listed_ids);
    else if (strcmp (kind, "worker") == 0)
      apply_worker (node, now, row, listed_ids);
  }
  report_listed_nodes (node, now);
  mark_unlisted_instances (node, listed_ids);
  remove_unlisted_workers (node, now, listed_ids);
  routing_refresh (node->routing, now);
  g_hash_table_destroy (listed_ids);
}

/* Called for unchanged lists as well: they confirm the entry VMs as of NOW. */
static void
report_listed_nodes (node_t *node, usec_t now)
{
  if (!node->listed_node_count)
    return;
  peers_apply_vm_list (node->peers, now, node->listed_nodes,
                       node->listed_node_count);
  claims_vm_list_received (node->claims, now,
                           (const char *const *)node->listed_addresses->pdata,
                           node->listed_addresses->len);
}

static void
add_entry_vm (node_t *node, const json_t *row)
{
  node_id_t id = number_field (row, "node");

  if (!id || !*string_field (row, "address"))
    return;
  if (node->listed_node_count < PEERS_MAX)
    node->listed_nodes[node->listed_node_count++] = id;
  g_ptr_array_add (node->listed_addresses,
                   g_strdup (string_field (row, "address")));
  if (id == node->settings->node
      && strcmp (string_field (row, "state"), "leaving") == 0)
    node_start_drain (node, "the platform's VM list shows this VM as leaving");
}

static void
apply_instance (node_t *node, const json_t *row, GHashTable *listed_ids)
{
  const char *id = string_field (row, "id");
  handle_t known = limits_find (node->limits, id);
  const vm_t *before = limits_vm (node->limits, known);
  int zone = settings_zone (node->settings, string_field (row, "zone"));
  vm_t vm = { 0 };

  if (!has_id_and_address (row, sizeof vm.id) || zone < 0)
    return;
  g_strlcpy (vm.id, id, sizeof vm.id);
  g_strlcpy (vm.address, string_field (row, "address"), sizeof vm.address);
  vm.zone = (uint32_t)zone;
  vm.shard = settings_shard (node->settings, vm.zone, vm.id);
  vm.slots = number_field (row, "slots");
  vm.connections = number_field (row, "connections");
  vm.state = strcmp (string_field (row, "state"), "leaving") == 0 ? VM_LEAVING
                                                                  : VM_LIVE;
  /* The list may lag, so a VM that answered with Limpethinge-Leaving stays
     VM_LEAVING even if it is listed as live. */
  if (before && before->state == VM_LEAVING)
    vm.state = VM_LEAVING;
  if (before && before->state != vm.state)
    log_line (LOG_LEVEL_NOTICE, "list", vm.id, "VM is %s",
              vm.state == VM_LEAVING ? "leaving" : "live");
  limits_set_vm (node->limits, &vm);
  g_hash_table_add (listed_ids, (gpointer)id);
}

static void
mark_unlisted_instances (node_t *node, GHashTable *listed_ids)
{
  for (handle_t h = limits_next (node->limits, HANDLE_NONE); h != HANDLE_NONE;
       h = limits_next (node->limits, h))
    {
      vm_t vm = *limits_vm (node->limits, h);

      if (vm.state == VM_GONE || g_hash_table_contains (listed_ids, vm.id))
        continue;
      vm.state = VM_GONE;
      log_line (LOG_LEVEL_NOTICE, "list", vm.id,
                "VM is no longer in the list");
      limits_set_vm (node->limits, &vm);
    }
}

static void
apply_worker (node_t *node, usec_t now, const json_t *row,
              GHashTable *listed_ids)
{
  const char *id = string_field (row, "id");
  int zone = settings_zone (node->settings, string_field (row, "zone"));
  worker_t *worker = g_hash_table_lookup (node->workers, id);
  worker_info_t info = { .id = id, .zone = (uint32_t)zone };

  if (!has_id_and_address (row, WORKER_ID_BYTES) || zone < 0)
    return;
  if (!worker)
    {
      worker = g_new0 (worker_t, 1);
      g_hash_table_insert (node->workers, g_strdup (id), worker);
    }
  g_strlcpy (worker->address, string_field (row, "address"),
             sizeof worker->address);
  worker->millicores = millicores_field (row);
  worker->memory_mb = number_field (row, "memory_mb");
  worker->accelerators = number_field (row, "accelerators");
  info.rack = g_str_hash (string_field (row, "rack"));
  info.millicores = worker->millicores;
  info.memory_mb = worker->memory_mb;
  info.accelerators = worker->accelerators;
  info.leaving = strcmp (string_field (row, "state"), "leaving") == 0;
  attempts_update_worker (node->attempts, now, &info,
                          settings_shard (node->settings, (uint32_t)zone, id));
  g_hash_table_add (listed_ids, (gpointer)id);
}

static void
remove_unlisted_workers (node_t *node, usec_t now, GHashTable *listed_ids)
{
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, node->workers);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (g_hash_table_contains (listed_ids, id))
        continue;
      log_line (LOG_LEVEL_NOTICE, "list", id,
                "worker is no longer in the list");
      attempts_remove_worker (node->attempts, now, id);
      g_hash_table_iter_remove (&iter);
    }
}

/* Ids are sent in headers and logged.
   @param id_bytes space for the id */
static bool
has_id_and_address (const json_t *row, size_t id_bytes)
{
  const char *id = string_field (row, "id");
  struct sockaddr_in address;

  if (!*id || strlen (id) >= id_bytes
      || address_parse (string_field (row, "address"), &address)
      || !address.sin_addr.s_addr)
    return false;
  while (g_ascii_isgraph (*id))
    id++;
  return !*id;
}

/* @return the text KEY of a row, "" if it is missing or contains a zero byte
 */
static const char *
string_field (const json_t *row, const char *key)
{
  const json_t *value = json_object_get (row, key);
  const char *text = json_string_value (value);

  return text && strlen (text) == json_string_length (value) ? text : "";
}

static uint32_t
number_field (const json_t *row, const char *key)
{
  double number = json_number_value (json_object_get (row, key));

  return number > 0 && number <= UINT32_MAX ? (uint32_t)number : 0;
}

static uint64_t
millicores_field (const json_t *row)
{
  double cores = json_number_value (json_object_get (row, "cores"));

  return cores > 0 && cores <= MAX_CORES
             ? (uint64_t)(cores * MILLICORES_PER_CORE)
             : 0;
}

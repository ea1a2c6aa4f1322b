/** @file
 * Table of the queues that callers may submit to.
 */
#include "queues/queues.h"

#include <glib.h>
#include <string.h>

struct queues
{
  uint64_t version;
  GHashTable *by_name; /* name -> queue_rules_t */
  GHashTable *by_host; /* host -> GPtrArray of queue_rules_t, not owned */
  GHashTable *guarded_services; /* names */
};

static void rules_free (void *data);
static void list_free (void *data);

queues_t *
queues_new (uint64_t version)
{
  queues_t *queues = g_new0 (queues_t, 1);

  queues->version = version;
  queues->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, rules_free);
  queues->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, list_free);
  queues->guarded_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return queues;
}

void
queues_free (queues_t *queues)
{
  if (!queues)
    return;
  g_hash_table_destroy (queues->by_host);
  g_hash_table_destroy (queues->by_name);
  g_hash_table_destroy (queues->guarded_services);
  g_free (queues);
}

void
queues_add (queues_t *queues, const queue_rules_t *rules)
{
  queue_rules_t *copy = g_memdup2 (rules, sizeof *rules);
  GPtrArray *list;

  if (g_hash_table_contains (queues->by_name, copy->name))
    {
      rules_free (copy);
      return;
    }
  g_hash_table_insert (queues->by_name, copy->name, copy);
  list = g_hash_table_lookup (queues->by_host, copy->host);
  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (queues->by_host, copy->host, list);
    }
  g_ptr_array_add (list, copy);
}

void
queues_add_guarded_service (queues_t *queues, const char *service)
{
  g_hash_table_add (queues->guarded_services, g_strdup (service));
}

bool
queues_rejects_overload (const queues_t *queues, const char *service)
{
  return g_hash_table_contains (queues->guarded_services, service);
}

uint64_t
queues_version (const queues_t *queues)
{
  return queues->version;
}

const queue_rules_t *
queues_get (const queues_t *queues, const char *name)
{
  return g_hash_table_lookup (queues->by_name, name);
}

const queue_rules_t *
queues_find (const queues_t *queues, const char *host, const char *path,
             const char **rest)
{
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  const GPtrArray *list = g_hash_table_lookup (queues->by_host, name);
  const queue_rules_t *best = NULL;

  for (guint i = 0; list && i < list->len; i++)
    {
      const queue_rules_t *rules = list->pdata[i];

      if (g_str_has_prefix (path, rules->path_prefix)
          && (!best
              || strlen (rules->path_prefix) > strlen (best->path_prefix)))
        best = rules;
    }
  if (best)
    *rest = path + strlen (best->path_prefix);
  g_free (name);
  return best;
}

static void
rules_free (void *data)
{
  queue_rules_t *rules = data;

  g_free (rules->name);
  g_free (rules->host);
  g_free (rules->path_prefix);
  g_free (rules->service);
  g_free (rules);
}

static void
list_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

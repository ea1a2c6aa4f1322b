/** @file
 * Settings of a process.
 */
#include "settings/settings.h"
#include "base/log.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define SETTINGS_FILE_MAX_BYTES 262144U

/* A heartbeat may ask for holds of all shards of a node; 4096 pairs of numbers
   are far below the limit of a peer frame.  */
#define SETTINGS_MAX_SHARDS 4096U

typedef struct
{
  node_id_t node;
  char address[INI_ADDRESS_MAX];
  char *zone;
} parsed_peer_t;

/* Settings as written in the file, before names of zones are resolved to
   indexes.  */
typedef struct
{
  settings_t settings;
  char *node_zone;
  char **zones;
  int level_index;
  parsed_peer_t peers[SETTINGS_MAX_PEERS];
} parsed_settings_t;

/* Values of [log] level, and the log levels in the same order.  */
#define LOG_LEVEL_WORDS "err warning notice info debug"
static const int log_levels[]
    = { LOG_LEVEL_ERR, LOG_LEVEL_WARNING, LOG_LEVEL_NOTICE, LOG_LEVEL_INFO,
        LOG_LEVEL_DEBUG };

static void *open_settings (void *context, const char *name, const char **why);
static void *open_peer (void *context, const char *name, const char **why);
static void *open_signer (void *context, const char *name, const char **why);
static void check_settings (void *context, ini_file_t *file);
static void resolve_zones (parsed_settings_t *parsed, ini_file_t *file);
static void resolve_peers (parsed_settings_t *parsed, ini_file_t *file);
static void check_addresses (const parsed_settings_t *parsed,
                             ini_file_t *file);
static void check_timing (const settings_t *settings, ini_file_t *file);
static void check_signers (const settings_t *settings, ini_file_t *file);
static void parsed_settings_free (parsed_settings_t *parsed);

#define KEY_FIELD(key_name, key_kind, member)                                 \
  .name = (key_name), .kind = (key_kind),                                     \
  .offset = offsetof (parsed_settings_t, member)
#define RANGE(low, high) .min = (low), .max = (high)

static const ini_key_t node_keys[] = {
  { KEY_FIELD ("id", INI_U32, settings.node), RANGE (1, UINT32_MAX) },
  { KEY_FIELD ("zone", INI_NAME, node_zone) },
};
static const ini_key_t site_keys[] = {
  { KEY_FIELD ("zones", INI_NAMES, zones), RANGE (1, SETTINGS_MAX_ZONES) },
  { KEY_FIELD ("shards_per_zone", INI_U32, settings.shards_per_zone),
    RANGE (1, 256), .default_text = "8" },
};
static const ini_key_t listen_keys[] = {
  { KEY_FIELD ("callers", INI_ADDRESS, settings.listen_callers) },
  { KEY_FIELD ("operators", INI_ADDRESS, settings.listen_operators) },
  { KEY_FIELD ("peers", INI_ADDRESS, settings.listen_peers) },
};
static const ini_key_t platform_keys[] = {
  { KEY_FIELD ("log", INI_URL, settings.log_url) },
  { KEY_FIELD ("list", INI_URL, settings.list_url) },
  { KEY_FIELD ("list_interval_ms", INI_MSEC, settings.list_interval),
    RANGE (100, 60000), .default_text = "1000", .unit = "ms" },
  { KEY_FIELD ("list_lag_ms", INI_MSEC, settings.list_lag),
    RANGE (1000, 600000), .default_text = "10000", .unit = "ms" },
  { KEY_FIELD ("log_retention_s", INI_U64, settings.log_retention_s),
    RANGE (6, 31536000), .default_text = "86400", .unit = "s" },
};
/* drain_ms may not be below the longest run limit that a bundle may state: a
   new owner of a shard waits drain_ms for the requests of the former owner to
   end.  */
static const ini_key_t timing_keys[] = {
  { KEY_FIELD ("heartbeat_ms", INI_MSEC, settings.heartbeat),
    RANGE (50, 10000), .default_text = "250", .unit = "ms" },
  { KEY_FIELD ("suspect_ms", INI_MSEC, settings.suspect_after),
    RANGE (100, 60000), .default_text = "1000", .unit = "ms" },
  { KEY_FIELD ("lease_ms", INI_MSEC, settings.lease), RANGE (200, 60000),
    .default_text = "2000", .unit = "ms" },
  { KEY_FIELD ("drain_ms", INI_MSEC, settings.drain),
    RANGE (BUNDLE_RUN_LIMIT_MAX_MS, 60000), .default_text = "1500",
    .unit = "ms" },
  { KEY_FIELD ("journal_group_ms", INI_MSEC, settings.journal_group_interval),
    RANGE (1, 1000), .default_text = "30", .unit = "ms" },
};
/* The body of an order, its result and its checkpoint have to fit into one
   snapshot record of the log (1 MiB).  */
static const ini_key_t limit_keys[] = {
  { KEY_FIELD ("caller_connections", INI_U32, settings.max_connections),
    RANGE (1, 65536), .default_text = "1024", .unit = "connections" },
  { KEY_FIELD ("body_bytes", INI_U32, settings.max_body_bytes),
    RANGE (1, 262144), .default_text = "262144", .unit = "bytes" },
  { KEY_FIELD ("queue", INI_U32, settings.max_queued_requests),
    RANGE (1, 1000000), .default_text = "10000", .unit = "requests" },
  { KEY_FIELD ("caller_timeout_ms", INI_MSEC, settings.caller_timeout),
    RANGE (100, 600000), .default_text = "10000", .unit = "ms" },
};
static const ini_key_t log_keys[] = {
  { KEY_FIELD ("level", INI_CHOICE, level_index), .default_text = "notice",
    .choices = LOG_LEVEL_WORDS },
};
static const ini_key_t peer_keys[] = {
  { .name = "address",
    .kind = INI_ADDRESS,
    .offset = offsetof (parsed_peer_t, address) },
  { .name = "zone",
    .kind = INI_NAME,
    .offset = offsetof (parsed_peer_t, zone) },
};
static const ini_key_t signer_keys[] = {
  { .name = "key", .kind = INI_HASH, .offset = offsetof (signer_t, key) },
};

#define KEYS(table) .keys = (table), .key_count = G_N_ELEMENTS (table)
static const ini_section_t sections[] = {
  { "node", KEYS (node_keys), .open = open_settings },
  { "site", KEYS (site_keys), .open = open_settings },
  { "listen", KEYS (listen_keys), .open = open_settings },
  { "platform", KEYS (platform_keys), .open = open_settings },
  { "timing", KEYS (timing_keys), .open = open_settings },
  { "limits", KEYS (limit_keys), .open = open_settings },
  { "log", KEYS (log_keys), .open = open_settings },
  { "peer", .named = true, KEYS (peer_keys), .open = open_peer },
  { "signer", .named = true, KEYS (signer_keys), .open = open_signer },
};

int
settings_load (const char *path, settings_t *settings, GArray *problems,
               err_t *err)
{
  gsize len;
  err_t why = { 0 };
  char *text = ini_load (path, SETTINGS_FILE_MAX_BYTES, &len, &why);
  int code;

  if (!text)
    {
      if (err)
        *err = why;
      return why.code;
    }
  code = settings_parse ((blob_t){ text, (uint32_t)len }, settings, problems,
                         err);
  g_free (text);
  return code;
}

int
settings_parse (blob_t text, settings_t *settings, GArray *problems,
                err_t *err)
{
  parsed_settings_t *parsed = g_new0 (parsed_settings_t, 1);
  guint before = problems->len;

  ini_read (text, sections, G_N_ELEMENTS (sections), parsed, check_settings,
            problems);
  *settings = parsed->settings;
  parsed_settings_free (parsed);
  if (problems->len == before)
    return 0;
  return err_set (err, -EINVAL, "settings", "", "%u problems",
                  problems->len - before);
}

const ini_section_t *
settings_sections (size_t *count)
{
  *count = G_N_ELEMENTS (sections);
  return sections;
}

int
settings_address (const char *text, char host[48], uint16_t *port)
{
  return ini_split_address (text, host, port);
}

uint32_t
settings_shard (const settings_t *settings, uint32_t zone, const char *vm)
{
  uint64_t hash = XXH64 (vm, strlen (vm), 0);

  return zone * settings->shards_per_zone
         + (uint32_t)(hash % settings->shards_per_zone);
}

uint32_t
settings_shard_count (const settings_t *settings)
{
  return (uint32_t)settings->zone_count * settings->shards_per_zone;
}

int
settings_zone (const settings_t *settings, const char *name)
{
  for (size_t i = 0; i < settings->zone_count; i++)
    if (strcmp (settings->zones[i], name) == 0)
      return (int)i;
  return -ENOENT;
}

static void *
open_settings (void *context, const char *name, const char **why)
{
  (void)name;
  (void)why;
  return context;
}

static void *
open_peer (void *context, const char *name, const char **why)
{
  parsed_settings_t *parsed = context;
  guint64 node;

  /* With leading zeros one node could be listed twice, as 1 and as 01.  */
  if (name[0] == '0'
      || !g_ascii_string_to_unsigned (name, 10, 1, UINT32_MAX, &node, NULL))
    {
      *why = "the name of a peer is its node id, a number from 1";
      return NULL;
    }
  if (parsed->settings.peer_count == SETTINGS_MAX_PEERS)
    {
      *why = "at most " G_STRINGIFY (SETTINGS_MAX_PEERS) " peers are allowed";
      return NULL;
    }
  parsed->peers[parsed->settings.peer_count].node = (node_id_t)node;
  return &parsed->peers[parsed->settings.peer_count++];
}

static void *
open_signer (void *context, const char *name, const char **why)
{
  parsed_settings_t *parsed = context;
  signer_t *signer;

  if (parsed->settings.signer_count == SETTINGS_MAX_SIGNERS)
    {
      *why = "at most " G_STRINGIFY (SETTINGS_MAX_SIGNERS) " are allowed";
      return NULL;
    }
  signer = &parsed->settings.signers[parsed->settings.signer_count++];
  g_strlcpy (signer->name, name, sizeof signer->name);
  return signer;
}

static void
check_settings (void *context, ini_file_t *file)
{
  parsed_settings_t *parsed = context;

  resolve_zones (parsed, file);
  resolve_peers (parsed, file);
  check_addresses (parsed, file);
  check_timing (&parsed->settings, file);
  check_signers (&parsed->settings, file);
  parsed->settings.log_level = log_levels[parsed->level_index];
}

static void
resolve_zones (parsed_settings_t *parsed, ini_file_t *file)
{
  settings_t *settings = &parsed->settings;
  int zone;

  for (size_t i = 0; parsed->zones && parsed->zones[i]; i++)
    g_strlcpy (settings->zones[settings->zone_count++], parsed->zones[i],
               sizeof settings->zones[0]);
  if (settings_shard_count (settings) > SETTINGS_MAX_SHARDS)
    ini_problem (file, "site", "shards_per_zone",
                 "%u shards in all zones; at most %u are allowed",
                 settings_shard_count (settings), SETTINGS_MAX_SHARDS);
  if (!parsed->node_zone)
    return;
  zone = settings_zone (settings, parsed->node_zone);
  settings->zone = zone < 0 ? 0 : (uint32_t)zone;
  if (zone < 0)
    ini_problem (file, "node", "zone",
                 "\"%s\" is not among the zones of [site]", parsed->node_zone);
}

static void
resolve_peers (parsed_settings_t *parsed, ini_file_t *file)
{
  for (size_t i = 0; i < parsed->settings.peer_count; i++)
    {
      const parsed_peer_t *row = &parsed->peers[i];
      settings_peer_t *peer = &parsed->settings.peers[i];
      int zone = row->zone ? settings_zone (&parsed->settings, row->zone) : 0;
      char title[32];

      g_snprintf (title, sizeof title, "peer %u", row->node);
      peer->node = row->node;
      peer->zone = zone < 0 ? 0 : (uint32_t)zone;
      g_strlcpy (peer->address, row->address, sizeof peer->address);
      if (zone < 0)
        ini_problem (file, title, "zone",
                     "\"%s\" is not among the zones of [site]", row->zone);
      if (row->node == parsed->settings.node)
        ini_problem (file, title, "",
                     "is this node itself; only other nodes are allowed");
    }
}

/* Each listener and peer needs its own IP:port, which can be bound only
   once.  */
static void
check_addresses (const parsed_settings_t *parsed, ini_file_t *file)
{
  const settings_t *settings = &parsed->settings;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  const struct
  {
    const char *key;
    const char *address;
  } listeners[] = { { "callers", settings->listen_callers },
                    { "operators", settings->listen_operators },
                    { "peers", settings->listen_peers } };

  for (size_t i = 0; i < G_N_ELEMENTS (listeners); i++)
    if (*listeners[i].address
        && !g_hash_table_add (seen, (char *)listeners[i].address))
      ini_problem (file, "listen", listeners[i].key,
                   "the address is used twice; each needs its own");
  for (size_t i = 0; i < settings->peer_count; i++)
    {
      const settings_peer_t *peer = &settings->peers[i];
      char title[32];

      g_snprintf (title, sizeof title, "peer %u", parsed->peers[i].node);
      if (*peer->address && !g_hash_table_add (seen, (char *)peer->address))
        ini_problem (file, title, "address",
                     "the address is used twice; each needs its own");
    }
  g_hash_table_destroy (seen);
}

static void
check_timing (const settings_t *settings, ini_file_t *file)
{
  if (settings->suspect_after < 2 * settings->heartbeat)
    ini_problem (file, "timing", "suspect_ms",
                 "must be at least twice heartbeat_ms, or one lost heartbeat "
                 "makes a peer suspect");
  if (settings->lease < settings->suspect_after)
    ini_problem (file, "timing", "lease_ms",
                 "must be at least suspect_ms, or the lease lapses before a "
                 "peer is suspected");
}

/* Rejects a key that is listed under two names: its owner could be the author
   of a bundle under one name and sign it under the other.  */
static void
check_signers (const settings_t *settings, ini_file_t *file)
{
  if (!settings->signer_count)
    ini_problem (file, "signer", "",
                 "missing; at least one [signer NAME] is required, or no "
                 "bundle can come into force");
  for (size_t i = 0; i < settings->signer_count; i++)
    for (size_t k = 0; k < i; k++)
      if (!sodium_is_zero (settings->signers[i].key,
                           sizeof settings->signers[i].key)
          && !memcmp (settings->signers[i].key, settings->signers[k].key,
                      sizeof settings->signers[i].key))
        {
          char title[64];

          g_snprintf (title, sizeof title, "signer %s",
                      settings->signers[i].name);
          ini_problem (file, title, "key",
                       "is the key of signer %s; each needs its own",
                       settings->signers[k].name);
        }
}

static void
parsed_settings_free (parsed_settings_t *parsed)
{
  g_free (parsed->node_zone);
  g_strfreev (parsed->zones);
  for (size_t i = 0; i < SETTINGS_MAX_PEERS; i++)
    g_free (parsed->peers[i].zone);
  g_free (parsed);
}

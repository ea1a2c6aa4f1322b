/** @file
 * Settings of a scheduling process on a platform.
 */
#include "scheduler/settings.h"
#include "base/log.h"
#include "scheduler/sched_limits.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#define SETTINGS_FILE_MAX 262144U

/* Values of [log] level, and their levels in the same order.  */
#define LOG_LEVEL_NAMES "err warning notice info debug"
static const int log_levels[]
    = { LOG_LEVEL_ERR, LOG_LEVEL_WARNING, LOG_LEVEL_NOTICE, LOG_LEVEL_INFO,
        LOG_LEVEL_DEBUG };

static void *open_settings (void *context, const char *name, const char **why);
static void check_settings (void *context, ini_file_t *file);
static void check_request_bytes (const scheduler_settings_t *settings,
                                 ini_file_t *file);

#define ROW(key_name, key_kind, member)                                       \
  .name = (key_name), .kind = (key_kind),                                     \
  .offset = offsetof (scheduler_settings_t, member)
#define RANGE(least, most) .min = (least), .max = (most)
#define KEYS(table) .keys = (table), .key_count = G_N_ELEMENTS (table)

static const ini_key_t node_keys[] = {
  { ROW ("name", INI_NAME, name) },
  { ROW ("zone", INI_NAME, zone) },
};
static const ini_key_t listen_keys[] = {
  { ROW ("callers", INI_ADDRESS, listen_callers) },
  { ROW ("ready", INI_ADDRESS, listen_ready) },
  { ROW ("peers", INI_ADDRESS, listen_peers) },
  { ROW ("operators", INI_ADDRESS, listen_operators) },
};
static const ini_key_t store_keys[] = {
  { ROW ("address", INI_ADDRESS, store_address) },
  { ROW ("partitions", INI_U32, partitions), RANGE (1, 4096),
    .default_text = "12" },
  { ROW ("member_min_ms", INI_MSEC, member_lifetime_min), RANGE (100, 60000),
    .default_text = "1000", .unit = "ms" },
  { ROW ("append_bytes", INI_U32, append_bytes), RANGE (65536, 67108864),
    .default_text = "1048576", .unit = "bytes" },
};
static const ini_key_t worker_keys[] = {
  { ROW ("lease_ms", INI_MSEC, lease), RANGE (1000, 600000),
    .default_text = "6000", .unit = "ms" },
  { ROW ("stop_ms", INI_MSEC, stop_limit), RANGE (1, 60000),
    .default_text = "500", .unit = "ms" },
  { ROW ("evacuate_ms", INI_MSEC, evacuate), RANGE (1000, 600000),
    .default_text = "5000", .unit = "ms" },
  { ROW ("shrunk_ms", INI_MSEC, shrunk), RANGE (1000, 600000),
    .default_text = "3000", .unit = "ms" },
};
static const ini_key_t scheduler_keys[] = {
  { ROW ("shards", INI_U32, shards), RANGE (0, 4096), .default_text = "0" },
  { ROW ("keep_ended_ms", INI_MSEC, keep_ended), RANGE (1000, 86400000),
    .default_text = "600000", .unit = "ms" },
  { ROW ("copy_percent", INI_U32, copy_percent), RANGE (0, 100),
    .default_text = "0", .unit = "percent" },
  { ROW ("grace_ms", INI_MSEC, grace), RANGE (500, 600000),
    .default_text = "6000", .unit = "ms" },
};
static const ini_key_t limit_keys[] = {
  { ROW ("cpu_share", INI_NAME, cpu_share_text), .default_text = "1" },
  { ROW ("connections", INI_U32, max_connections), RANGE (16, 65536),
    .default_text = "2048", .unit = "connections" },
  { ROW ("memory_mb", INI_U32, memory_mb), RANGE (0, 1048576),
    .default_text = "0", .unit = "MiB" },
  { ROW ("descriptors", INI_U32, descriptors), RANGE (0, 1048576),
    .default_text = "0", .unit = "descriptors" },
  { ROW ("request_bytes", INI_U32, request_bytes), RANGE (0, 1073741824),
    .default_text = "0", .unit = "bytes" },
  { ROW ("request_timeout_ms", INI_MSEC, request_timeout),
    RANGE (1000, 600000), .default_text = "30000", .unit = "ms" },
  { ROW ("receive_buffer_bytes", INI_U32, receive_buffer),
    RANGE (4096, 4194304), .default_text = "16384", .unit = "bytes" },
  { ROW ("job_bytes", INI_U64, job_bytes), RANGE (0, 1099511627776),
    .default_text = "0", .unit = "bytes" },
};
static const ini_key_t log_keys[] = {
  { ROW ("level", INI_CHOICE, log_level), .default_text = "info",
    .choices = LOG_LEVEL_NAMES },
};

static const ini_section_t sections[] = {
  { "node", KEYS (node_keys), .open = open_settings },
  { "listen", KEYS (listen_keys), .open = open_settings },
  { "store", KEYS (store_keys), .open = open_settings },
  { "workers", KEYS (worker_keys), .open = open_settings },
  { "scheduler", KEYS (scheduler_keys), .open = open_settings },
  { "limits", KEYS (limit_keys), .open = open_settings },
  { "log", KEYS (log_keys), .open = open_settings },
};

int
scheduler_settings_load (const char *path, scheduler_settings_t *settings,
                         GArray *problems, err_t *err)
{
  gsize len;
  err_t why = { 0 };
  char *text = ini_load (path, SETTINGS_FILE_MAX, &len, &why);

  if (!text)
    {
      if (err)
        *err = why;
      return why.code;
    }
  scheduler_settings_read ((blob_t){ text, (uint32_t)len }, settings,
                           problems);
  g_free (text);
  return 0;
}

void
scheduler_settings_read (blob_t text, scheduler_settings_t *settings,
                         GArray *problems)
{
  memset (settings, 0, sizeof *settings);
  ini_read (text, sections, G_N_ELEMENTS (sections), settings, check_settings,
            problems);
}

bool
scheduler_settings_usable (const GArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    if (!g_array_index (problems, problem_t, i).unknown)
      return false;
  return true;
}

const ini_section_t *
scheduler_settings_sections (size_t *count)
{
  *count = G_N_ELEMENTS (sections);
  return sections;
}

void
scheduler_settings_clear (scheduler_settings_t *settings)
{
  g_clear_pointer (&settings->name, g_free);
  g_clear_pointer (&settings->zone, g_free);
  g_clear_pointer (&settings->cpu_share_text, g_free);
}

static void *
open_settings (void *context, const char *name, const char **why)
{
  (void)name;
  (void)why;
  return context;
}

static void
check_settings (void *context, ini_file_t *file)
{
  scheduler_settings_t *settings = context;
  char *rest = NULL;

  if (settings->shards > settings->partitions)
    ini_problem (file, "scheduler", "shards",
                 "%u shards need as many partitions; [store] partitions is %u",
                 settings->shards, settings->partitions);
  settings->cpu_share = g_ascii_strtod (
      settings->cpu_share_text ? settings->cpu_share_text : "", &rest);
  if (!(settings->cpu_share > 0) || (rest && *rest))
    ini_problem (file, "limits", "cpu_share",
                 "is not a number of cores above 0, such as 0.25");
  settings->log_level = log_levels[settings->log_level];
  check_request_bytes (settings, file);
}

/* Values that are derived always fit; only an explicit one can be too large or
   too small.  */
static void
check_request_bytes (const scheduler_settings_t *settings, ini_file_t *file)
{
  sched_limits_t limits;
  uint64_t sum;

  if (!settings->request_bytes)
    return;
  if (settings->request_bytes < SCHED_BODY_MAX_BYTES)
    ini_problem (file, "limits", "request_bytes",
                 "is less than the largest request, %u bytes",
                 SCHED_BODY_MAX_BYTES);
  if (!settings->memory_mb)
    return;
  sched_limits_derive (settings, 0, &limits);
  sum = sched_limits_sum (&limits);
  if (sum > (uint64_t)settings->memory_mb << 20)
    ini_problem (file, "limits", "request_bytes",
                 "32 MiB for the process, %u connections and request_bytes "
                 "are %" PRIu64 " MiB; memory_mb is %u",
                 limits.connections, (sum + (1U << 20) - 1) >> 20,
                 settings->memory_mb);
}

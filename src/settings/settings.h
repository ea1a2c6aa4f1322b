/** @file
 * Settings of a process, read once from an INI file.
 */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "bundle/bundle.h"

#define SETTINGS_MAX_PEERS 64U
#define SETTINGS_MAX_SIGNERS 16U
#define SETTINGS_MAX_ZONES 64U

typedef struct
{
  node_id_t node;
  uint32_t zone;    /**< index into zones */
  char address[64]; /**< IP:port of its peer port */
} settings_peer_t;

/* Keys are [section] key; see docs/settings.md. */
typedef struct
{
  node_id_t node;                     /**< [node] id, from 1 */
  uint32_t zone;                      /**< [node] zone, index into zones */
  char zones[SETTINGS_MAX_ZONES][32]; /**< [site] zones, same on every node */
  size_t zone_count;
  uint32_t shards_per_zone;  /**< [site] shards_per_zone, same everywhere */
  char listen_callers[64];   /**< [listen] callers, IP:port */
  char listen_operators[64]; /**< [listen] operators, IP:port */
  char listen_peers[64];     /**< [listen] peers, IP:port */
  char log_url[128];         /**< [platform] log, http://IP:port */
  char list_url[128];        /**< [platform] list */
  usec_t list_interval;      /**< [platform] list_interval_ms */
  usec_t list_lag;           /**< [platform] list_lag_ms */
  uint64_t log_retention_s;  /**< [platform] log_retention_s */
  settings_peer_t peers[SETTINGS_MAX_PEERS]; /**< [peer N] address, zone */
  size_t peer_count;
  signer_t signers[SETTINGS_MAX_SIGNERS]; /**< [signer NAME] key (hex) */
  size_t signer_count;
  usec_t heartbeat;              /**< [timing] heartbeat_ms, 250 */
  usec_t suspect_after;          /**< [timing] suspect_ms, 1000 */
  usec_t lease;                  /**< [timing] lease_ms, 2000 */
  usec_t drain;                  /**< [timing] drain_ms, 1500 */
  usec_t journal_group_interval; /**< [timing] journal_group_ms, 30 */
  uint32_t max_connections;      /**< [limits] caller_connections */
  uint32_t max_body_bytes;       /**< [limits] body_bytes */
  uint32_t max_queued_requests;  /**< [limits] queue */
  usec_t caller_timeout;         /**< [limits] caller_timeout_ms */
  int log_level;                 /**< [log] level: err .. debug */
} settings_t;

/** Reads a settings file; all problems are reported at once.
    @param problems filled with problem_t rows
    @return 0; -EINVAL if there are problems; another negative error number
    if the file cannot be read */
int settings_load (const char *path, settings_t *settings, GArray *problems,
                   err_t *err);

/** Parses the text of a settings file.  @return 0, or -EINVAL with problems */
int settings_parse (blob_t text, settings_t *settings, GArray *problems,
                    err_t *err);

/** @return the table of sections and keys */
const ini_section_t *settings_sections (size_t *count);

/** Splits "IP:port". @return 0 or -EINVAL */
int settings_address (const char *text, char host[48], uint16_t *port);

/** @return the shard of a VM: by availability zone, then by hash of its id */
uint32_t settings_shard (const settings_t *settings, uint32_t zone,
                         const char *vm);

/** @return number of shards in all */
uint32_t settings_shard_count (const settings_t *settings);

/** @return index of a zone's name, -ENOENT */
int settings_zone (const settings_t *settings, const char *name);

#endif

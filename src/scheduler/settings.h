/** @file
 * Settings of a scheduling process on a platform.
 */
#ifndef SCHEDULER_SETTINGS_H
#define SCHEDULER_SETTINGS_H

#include "base/inifile.h"

/* Keys are [section] key; see docs/scheduler-settings.md. */
typedef struct
{
  char *name;                 /**< [node] name */
  char *zone;                 /**< [node] zone */
  char *cpu_share_text;       /**< [limits] cpu_share as written */
  char listen_callers[64];    /**< [listen] callers, IP:port */
  char listen_ready[64];      /**< [listen] ready, IP:port */
  char listen_peers[64];      /**< [listen] peers, IP:port */
  char listen_operators[64];  /**< [listen] operators, IP:port */
  char store_address[64];     /**< [store] address, IP:port */
  uint32_t partitions;        /**< [store] partitions of a topic */
  usec_t member_lifetime_min; /**< [store] member_min_ms */
  uint32_t append_bytes;      /**< [store] append_bytes */
  usec_t lease;               /**< [workers] lease_ms */
  usec_t stop_limit;          /**< [workers] stop_ms */
  usec_t evacuate;            /**< [workers] evacuate_ms, after which no
                                     task starts in an evacuated zone */
  usec_t shrunk;              /**< [workers] shrunk_ms, after which no start
                                     exceeds a capacity that was reported */
  uint32_t shards;            /**< [scheduler] shards, 0: derived
                                     from the number of workers when the
                                     site first starts */
  usec_t keep_ended;          /**< [scheduler] keep_ended_ms */
  uint32_t copy_percent;      /**< [scheduler] copy_percent */
  usec_t grace;               /**< [scheduler] grace_ms */
  double cpu_share;           /**< [limits] cpu_share, cores that the
                                 process may use */
  uint32_t max_connections;   /**< [limits] connections */
  uint32_t memory_mb;         /**< [limits] memory_mb of the machine, MiB,
                                 0: not known */
  uint32_t descriptors;       /**< [limits] descriptors of the process, 0:
                                 RLIMIT_NOFILE */
  uint32_t request_bytes;     /**< [limits] request_bytes, 0: derived from
                                 memory_mb */
  usec_t request_timeout;     /**< [limits] request_timeout_ms */
  uint32_t receive_buffer;    /**< [limits] receive_buffer_bytes */
  uint64_t job_bytes;         /**< [limits] job_bytes, 0: derived from
                                 memory_mb */
  int log_level;              /**< [log] level, a log_level_t */
} scheduler_settings_t;

/** Reads and checks a settings file.
    @param problems problem_t rows are appended here
    @return 0, or a negative error number if the file cannot be read */
int scheduler_settings_load (const char *path, scheduler_settings_t *settings,
                             GArray *problems, err_t *err);

/** Reads and checks the text of a settings file. */
void scheduler_settings_read (blob_t text, scheduler_settings_t *settings,
                              GArray *problems);

/** @return whether the process can run with these problems: unknown sections
    and keys are those of a later build before a rollback */
bool scheduler_settings_usable (const GArray *problems);

/** @return the table of sections, for the reference pages */
const ini_section_t *scheduler_settings_sections (size_t *count);

void scheduler_settings_clear (scheduler_settings_t *settings);

#endif

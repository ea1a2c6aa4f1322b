/** @file
 * What the scheduler needs of a platform: a partitioned log whose topics may
 * keep the newest record of each key, groups that deal out partitions, a list
 * of workers, and calls to workers.
 *
 * An implementation translates to the platform's own calls and formats.  It
 * decides nothing, repeats nothing and keeps nothing that must last.
 */
#ifndef BACKEND_BACKEND_H
#define BACKEND_BACKEND_H

#include "queues/queues.h"
#include "shard/shard.h"

typedef enum
{
  STORE_OK,
  STORE_REFUSED, /**< surely nothing was done; may be tried again */
  STORE_UNKNOWN, /**< no answer: may have been done, or be done later */
  STORE_FENCED,  /**< a later writer or generation was seen */
  STORE_EXPIRED, /**< read: the records asked for are gone */
  STORE_INVALID  /**< the store does not understand the call */
} store_result_t;

/** A topic of the store that the scheduler uses. */
typedef enum
{
  TOPIC_WORK,    /**< records of jobs, by shard; the scheduler's own */
  TOPIC_CONFIG,  /**< the operator's configuration; read only */
  TOPIC_WORKERS, /**< entries of workers; read only */
  TOPIC_LAYOUT,  /**< how the site is divided; the scheduler's own */
  TOPIC_COUNT
} topic_t;

typedef struct
{
  blob_t key;
  blob_t value;    /**< empty: the key is dropped */
  uint64_t offset; /**< of a record that was read */
} store_record_t;

typedef struct
{
  topic_t topic;
  uint32_t part;
  bool expect_empty;    /**< refused as fenced unless the partition is empty */
  const char *producer; /**< NULL for an append without order */
  uint64_t epoch;    /**< of the producer; a lower one than seen is fenced */
  uint64_t sequence; /**< of the producer in its epoch, from 1 */
  const store_record_t *records;
  size_t count;
  usec_t timeout;
} store_append_t;

typedef struct
{
  topic_t topic;
  uint32_t part;
  uint64_t from;
  usec_t wait; /**< for a record to arrive */
  usec_t timeout;
} store_read_t;

/** Records that were read; valid during the callback. */
typedef struct
{
  store_result_t result;
  const char *error;
  const store_record_t *records;
  size_t count;
  uint64_t next_offset; /**< offset to go on with */
  bool has_more;        /**< newest: go on behind the last key */
} store_records_t;

typedef struct
{
  const char *group;
  const char *member;
  uint64_t generation;    /**< last one received, 0 for none */
  usec_t session_timeout; /**< without a call for so long, the member is out */
  usec_t timeout;
} store_join_t;

typedef struct
{
  uint32_t part;
  const char *member; /**< owners only */
} store_part_t;

/** Partitions dealt out of TOPIC_WORK; valid during the callback. */
typedef struct
{
  store_result_t result;
  const char *error;
  uint64_t generation;
  const store_part_t *parts;
  size_t count;
} store_parts_t;

typedef void (*store_done_t) (void *ctx, store_result_t result,
                              const char *error);
typedef void (*store_records_done_t) (void *ctx,
                                      const store_records_t *records);
typedef void (*store_parts_done_t) (void *ctx, const store_parts_t *parts);
typedef void (*worker_done_t) (void *ctx, uint64_t call,
                               const shard_reply_t *reply);

typedef struct
{
  /** Appends records to one partition, all or nothing. */
  void (*append) (void *ctx, const store_append_t *append, store_done_t done,
                  void *done_ctx);
  /** Reads records in the order of the log. */
  void (*read) (void *ctx, const store_read_t *read, store_records_done_t done,
                void *done_ctx);
  /** Reads the newest record of each key.
      @param after last key of the page before, "" for the first page */
  void (*read_latest) (void *ctx, topic_t topic, uint32_t part,
                       const char *after, usec_t timeout,
                       store_records_done_t done, void *done_ctx);
  /** Joins a group over all partitions of TOPIC_WORK, or stays in it. */
  void (*join) (void *ctx, const store_join_t *join, store_parts_done_t done,
                void *done_ctx);
  void (*leave) (void *ctx, const store_join_t *join, store_done_t done,
                 void *done_ctx);
  /** Lists who owns which partition. */
  void (*list_owners) (void *ctx, const char *group, usec_t timeout,
                       store_parts_done_t done, void *done_ctx);

  /** Calls a worker; DONE runs once, not before this returns. */
  void (*call_worker) (void *ctx, const shard_call_t *call, worker_done_t done,
                       void *done_ctx);

  /** Reads a configuration out of a record of TOPIC_CONFIG.
      @return NULL if the record is none or is unreadable, with ERR filled in
      the second case */
  queues_t *(*decode_config) (void *ctx, const store_record_t *record,
                              err_t *err);
  /** Reads a worker's entry.  Strings are valid until the next call.
      @return 0; -ENOENT if the entry is dropped; -EBADMSG if it is
      unreadable. In each case info->id is set */
  int (*decode_worker) (void *ctx, const store_record_t *record,
                        shard_worker_t *info);
  /** Reads what a caller submits: spec, steps and schedule.
      @return NULL with ERR filled if the body is malformed */
  submission_t *(*decode_submission) (void *ctx, blob_t body, err_t *err);
  /** Writes the answers to callers; free with free. */
  char *(*status_body) (void *ctx, job_status_t status);
  char *(*pending_body) (void *ctx, uint32_t pending);
  char *(*error_body) (void *ctx, const char *text);
  /** Name of the header that states how long a caller waits, in ms. */
  const char *deadline_header;
} backend_ops_t;

typedef struct
{
  const backend_ops_t *ops;
  void *ctx;
} backend_t;

#endif

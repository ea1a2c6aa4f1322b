/** @file
 * Interface of the scheduler to a platform: a partitioned log with compacted
 * topics, consumer groups that assign partitions, a list of workers, and calls
 * to workers.
 *
 * An implementation translates to the calls and formats of the platform.  It
 * makes no scheduling decisions, does not retry and keeps no durable state.
 */
#ifndef BACKEND_BACKEND_H
#define BACKEND_BACKEND_H

#include "queues/queues.h"
#include "shard/shard.h"
#include "zones/zones.h"

typedef enum
{
  STORE_OK,
  STORE_REFUSED, /**< certainly not executed; may be retried */
  STORE_UNKNOWN, /**< no answer: may have been executed, or may be later */
  STORE_FENCED,  /**< a newer epoch or generation exists, or the partition is
                    not empty */
  STORE_EXPIRED, /**< read: the records are no longer stored */
  STORE_INVALID  /**< malformed or unsupported call */
} store_result_t;

/** Topics that the scheduler uses. */
typedef enum
{
  TOPIC_WORK,    /**< records of jobs, by shard; written by the scheduler */
  TOPIC_CONFIG,  /**< configuration and requests of the operator; read
                    only */
  TOPIC_WORKERS, /**< entries of workers; read only */
  TOPIC_LAYOUT,  /**< number of shards; written by the scheduler */
  TOPIC_COUNT
} topic_t;

typedef struct
{
  blob_t key;
  blob_t value;    /**< empty: tombstone, deletes the key */
  uint64_t offset; /**< set on read */
} store_record_t;

typedef struct
{
  topic_t topic;
  uint32_t part;
  bool expect_empty;    /**< STORE_FENCED unless the partition is empty */
  const char *producer; /**< NULL for an append without fencing and sequence */
  uint64_t epoch; /**< of the producer; lower than the latest: STORE_FENCED */
  uint64_t sequence; /**< in the epoch, from 1 */
  const store_record_t *records;
  size_t count;
  usec_t timeout;
} store_append_t;

typedef struct
{
  topic_t topic;
  uint32_t part;
  uint64_t from;
  usec_t wait; /**< maximum time to wait for a record */
  usec_t timeout;
  uint32_t max_bytes; /**< of records, 0: as many as the store returns */
} store_read_t;

/** Result of a read; valid during the callback. */
typedef struct
{
  store_result_t result;
  const char *error;
  const store_record_t *records;
  size_t count;
  uint64_t next_offset; /**< offset of the next read */
  bool has_more;        /**< further records or keys follow the last one */
} store_records_t;

typedef struct
{
  const char *group;
  const char *member;
  uint64_t generation;    /**< last generation received, 0 for none */
  usec_t session_timeout; /**< without a call for this time the member is
                             removed */
  usec_t timeout;
} store_join_t;

typedef struct
{
  uint32_t part;
  const char *member; /**< set by owners only */
} store_part_t;

/** Assigned partitions of TOPIC_WORK; valid during the callback. */
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
  /** Appends records to one partition atomically. */
  void (*append) (void *ctx, const store_append_t *append, store_done_t done,
                  void *done_ctx);
  /** Reads records in log order. */
  void (*read) (void *ctx, const store_read_t *read, store_records_done_t done,
                void *done_ctx);
  /** Reads the latest record of each key, page by page.
      @param after last key of the previous page, "" for the first page */
  void (*read_latest) (void *ctx, topic_t topic, uint32_t part,
                       const char *after, usec_t timeout,
                       store_records_done_t done, void *done_ctx);
  /** Joins the consumer group of TOPIC_WORK or renews the membership. */
  void (*join) (void *ctx, const store_join_t *join, store_parts_done_t done,
                void *done_ctx);
  void (*leave) (void *ctx, const store_join_t *join, store_done_t done,
                 void *done_ctx);
  /** Lists the owner of each partition. */
  void (*list_owners) (void *ctx, const char *group, usec_t timeout,
                       store_parts_done_t done, void *done_ctx);

  /** Calls a worker; DONE runs exactly once, after this function returned. */
  void (*call_worker) (void *ctx, const shard_call_t *call, worker_done_t done,
                       void *done_ctx);

  /** Decodes a record of TOPIC_CONFIG.
      @return NULL if the record is no configuration or is unreadable; ERR is
      set only if it is unreadable */
  queues_t *(*decode_config) (void *ctx, const store_record_t *record,
                              err_t *err);
  /** Decodes a record of TOPIC_CONFIG that has an availability zone evacuated
      or takes it back.
      @return 0; -ENOENT if the record concerns something else; -EBADMSG if it
      names no zone */
  int (*decode_zone) (void *ctx, const store_record_t *record,
                      zone_record_t *zone);
  /** Decodes a record of TOPIC_WORKERS.  Strings are valid until the next
      call.
      @return 0; -ENOENT if the entry was deleted; -EBADMSG if it is
      unreadable.  info->id is set in each case, to "" if the key can be no
      id. */
  int (*decode_worker) (void *ctx, const store_record_t *record,
                        shard_worker_t *info);
  /** Decodes a submitted job: spec, steps and schedule.
      @return NULL with ERR set if the body is malformed */
  submission_t *(*decode_submission) (void *ctx, blob_t body, err_t *err);
  /** Encode the bodies of answers to callers; release them with free(). */
  char *(*status_body) (void *ctx, job_status_t status);
  char *(*pending_body) (void *ctx, uint32_t pending);
  char *(*error_body) (void *ctx, const char *text);
  /** HTTP header with the time that the caller waits for an answer, in ms. */
  const char *deadline_header;
} backend_ops_t;

typedef struct
{
  const backend_ops_t *ops;
  void *ctx;
} backend_t;

#endif

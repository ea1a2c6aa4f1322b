/** @file
 * Table of all messages: frames between peers and entries of the log.
 *
 * Each message is listed once with its fields; its structure, field table and
 * type number are generated from the list.  Type numbers and the order of
 * fields are part of the protocol and must not change; new ones are appended.
 * A build ignores types and appended fields that it does not know, and refuses
 * messages without a field that it knows.
 */
#ifndef BASE_MESSAGES_H
#define BASE_MESSAGES_H

#include "base/wire.h"

/** Version of the peer protocol; peers of another version are rejected. */
#define MESSAGE_PROTOCOL_VERSION 1U

/* F (structure, kind, name).  Lists of pairs are flattened: a, b, a, b.  Times
   are in milliseconds, CPU in millicores. */
#define HELLO_FIELDS(F, S)                                                    \
  F (S, U64, protocol)                                                        \
  F (S, U64, node)                                                            \
  F (S, U64, incarnation) F (S, U64, zone) F (S, BLOB, address)
#define HEARTBEAT_FIELDS(F, S)                                                \
  F (S, U64, seq)                                                             \
  F (S, U64, free_slots)                                                      \
  F (S, U64, queued)                                                          \
  F (S, U64, free_millicores)                                                 \
  F (S, U64, bundle_version)                                                  \
  F (S, U64, log_offset)                                                      \
  F (S, U64, log_ok)                                                          \
  F (S, U64, draining) F (S, U64S, holds_asked) F (S, U64, live)
#define HEARTBEAT_ACK_FIELDS(F, S)                                            \
  F (S, U64, seq)                                                             \
  F (S, U64, log_ok) F (S, U64, log_offset) F (S, U64S, holds_granted)
#define LOG_RELAY_FIELDS(F, S)                                                \
  F (S, U64, seq) F (S, U64, log_offset) F (S, U64S, superseded)
#define CLAIM_ACK_FIELDS(F, S) F (S, U64, shard) F (S, U64, epoch)
#define PEER_RELEASE_FIELDS(F, S) F (S, U64S, released)
#define WORK_FIELDS(F, S)                                                     \
  F (S, U64, id)                                                              \
  F (S, BLOB, class_name)                                                     \
  F (S, BLOB, member)                                                         \
  F (S, U64, remaining_ms) F (S, U64, hops) F (S, BLOB, body)
#define RESULT_FIELDS(F, S)                                                   \
  F (S, U64, id)                                                              \
  F (S, U64, outcome)                                                         \
  F (S, U64, status) F (S, U64, retry_after_ms) F (S, BLOB, body)
#define PEER_BUNDLE_FIELDS(F, S)                                              \
  F (S, U64, version)                                                         \
  F (S, U64, parent) F (S, BLOB, text) F (S, BLOB, signature)
#define LOAD_FIELDS(F, S) F (S, U64, free_slots) F (S, U64, queued)

/* JOB_ASK queries the owner of a shard about a job; the owner replies with
   JOB_TELL. */
#define JOB_ASK_FIELDS(F, S)                                                  \
  F (S, U64, id)                                                              \
  F (S, U64, kind)                                                            \
  F (S, U64, job) F (S, U64, shard) F (S, BLOB, queue)
/* Forwards a submission to the shard owner for storage; also answered by
   JOB_TELL. */
#define JOB_SUBMIT_FIELDS(F, S)                                               \
  F (S, U64, id) F (S, U64, job) F (S, U64, shard) F (S, BLOB, record)
#define JOB_TELL_FIELDS(F, S)                                                 \
  F (S, U64, id) F (S, U64, code) F (S, U64, status) F (S, U64, pending)

/* The sender has left the group that assigns shards to owners. */
#define OWNER_LEFT_FIELDS(F, S) F (S, U64, generation)

#define MEMBER_FIELDS(F, S)                                                   \
  F (S, U64, node)                                                            \
  F (S, U64, incarnation) F (S, U64, zone) F (S, BLOB, address)
#define LEAVE_FIELDS(F, S) F (S, U64, node) F (S, U64, incarnation)
#define CLAIM_FIELDS(F, S)                                                    \
  F (S, U64, shard)                                                           \
  F (S, U64, epoch)                                                           \
  F (S, U64, node) F (S, U64, incarnation) F (S, U64S, witnesses)
#define RELEASE_FIELDS(F, S) F (S, U64, shard) F (S, U64, epoch)
/* Description of an order; common to ACCEPT and SNAPSHOT. */
#define ORDER_DATA_FIELDS(F, S)                                               \
  F (S, U64, order)                                                           \
  F (S, BLOB, member)                                                         \
  F (S, BLOB, key)                                                            \
  F (S, BLOB, class_name)                                                     \
  F (S, BLOB, team)                                                           \
  F (S, U64, millicores)                                                      \
  F (S, U64, memory_mb)                                                       \
  F (S, U64, accelerators)                                                    \
  F (S, U64, declared_ms)                                                     \
  F (S, U64, urgent) F (S, BLOB, body)
#define ORDER_ACCEPT_FIELDS(F, S) ORDER_DATA_FIELDS (F, S)
#define ORDER_START_FIELDS(F, S)                                              \
  F (S, U64, order)                                                           \
  F (S, U64, attempt) F (S, BLOB, worker) F (S, U64, shard) F (S, U64, epoch)
#define ORDER_END_FIELDS(F, S)                                                \
  F (S, U64, order)                                                           \
  F (S, U64, attempt)                                                         \
  F (S, U64, shard)                                                           \
  F (S, U64, epoch) F (S, U64, outcome) F (S, U64, status) F (S, BLOB, result)
#define ORDER_REQUEUE_FIELDS(F, S)                                            \
  F (S, U64, order)                                                           \
  F (S, U64, attempt)                                                         \
  F (S, U64, shard)                                                           \
  F (S, U64, epoch) F (S, U64, reason) F (S, BLOB, checkpoint)
#define ORDER_CANCEL_FIELDS(F, S) F (S, U64, order) F (S, BLOB, member)
#define ORDER_SNAPSHOT_FIELDS(F, S)                                           \
  ORDER_DATA_FIELDS (F, S)                                                    \
  F (S, U64, state)                                                           \
  F (S, U64, attempt)                                                         \
  F (S, BLOB, worker)                                                         \
  F (S, U64, shard)                                                           \
  F (S, U64, epoch)                                                           \
  F (S, U64, outcome)                                                         \
  F (S, U64, status)                                                          \
  F (S, U64, cancelled)                                                       \
  F (S, BLOB, result)                                                         \
  F (S, BLOB, checkpoint)                                                     \
  F (S, U64, may_have_run)                                                    \
  F (S, U64, as_of) F (S, U64, failures) F (S, U64, body_digest)
#define BUNDLE_FIELDS(F, S)                                                   \
  F (S, U64, version)                                                         \
  F (S, U64, parent) F (S, BLOB, text) F (S, BLOB, signature)

#define SHARD_FIELDS(F, S)                                                    \
  F (S, U64, shard) F (S, U64, epoch) F (S, U64, as_of) F (S, U64S, chain)
#define RECORD_FIELDS(F, S) F (S, U64, incarnation) F (S, U64, seq)

/* M (type number, identifier, structure) */
#define PEER_MESSAGES(M)                                                      \
  M (1, HELLO, hello)                                                         \
  M (2, HEARTBEAT, heartbeat)                                                 \
  M (3, HEARTBEAT_ACK, heartbeat_ack)                                         \
  M (4, LOG_RELAY, log_relay)                                                 \
  M (5, CLAIM_ACK, claim_ack)                                                 \
  M (6, PEER_RELEASE, peer_release)                                           \
  M (7, WORK, work)                                                           \
  M (8, RESULT, result)                                                       \
  M (9, PEER_BUNDLE, peer_bundle)                                             \
  M (11, LOAD, load)                                                          \
  M (12, JOB_ASK, job_ask)                                                    \
  M (13, JOB_TELL, job_tell)                                                  \
  M (14, JOB_SUBMIT, job_submit)                                              \
  M (15, OWNER_LEFT, owner_left)

#define LOG_ENTRY_MESSAGES(M)                                                 \
  M (32, MEMBER, member)                                                      \
  M (33, LEAVE, leave)                                                        \
  M (34, CLAIM, claim)                                                        \
  M (35, RELEASE, release)                                                    \
  M (36, ORDER_ACCEPT, order_accept)                                          \
  M (37, ORDER_START, order_start)                                            \
  M (38, ORDER_END, order_end)                                                \
  M (39, ORDER_REQUEUE, order_requeue)                                        \
  M (40, ORDER_CANCEL, order_cancel)                                          \
  M (41, ORDER_SNAPSHOT, order_snapshot)                                      \
  M (42, BUNDLE, bundle)                                                      \
  M (43, RECORD, record)                                                      \
  M (44, SHARD, shard)

#define MESSAGE_TABLE(M) PEER_MESSAGES (M) LOG_ENTRY_MESSAGES (M)

#define WIRE_TYPE_U64 uint64_t
#define WIRE_TYPE_I64 int64_t
#define WIRE_TYPE_BLOB blob_t
#define WIRE_TYPE_U64S u64_list_t

#define MESSAGE_MEMBER(structure, kind, name) WIRE_TYPE_##kind name;
#define MESSAGE_STRUCT(number, id, name)                                      \
  typedef struct                                                              \
  {                                                                           \
    id##_FIELDS (MESSAGE_MEMBER, msg_##name##_t)                              \
  } msg_##name##_t;
MESSAGE_TABLE (MESSAGE_STRUCT)
#undef MESSAGE_STRUCT
#undef MESSAGE_MEMBER

typedef enum
{
#define MESSAGE_TYPE(number, id, name) MSG_##id = (number),
  MESSAGE_TABLE (MESSAGE_TYPE)
#undef MESSAGE_TYPE
      MSG_TYPE_LIMIT
  = 64
} message_type_t;

/** Any decoded message. */
typedef struct
{
  message_type_t type;
  union
  {
#define MESSAGE_UNION(number, id, name) msg_##name##_t name;
    MESSAGE_TABLE (MESSAGE_UNION)
#undef MESSAGE_UNION
  } u;
} message_t;

/** Outcome of work as reported to the caller. */
typedef enum
{
  OUTCOME_NONE = 0,    /**< not ended */
  OUTCOME_NOT_RUN = 1, /**< certainly not run; safe to retry */
  OUTCOME_RAN = 2,     /**< ran to its end; the answer is included */
  OUTCOME_UNKNOWN = 3  /**< may have run; query by idempotency key */
} outcome_t;

/** @return "none", "not-run", "ran" or "unknown" */
const char *outcome_name (outcome_t outcome);

/** @return the schema of a type, NULL if there is none */
const wire_schema_t *message_schema (int type);

/** Appends the encoded message to OUT. */
void message_encode (const message_t *message, GByteArray *out);

/** Decodes any message; call message_clear afterwards, also after an error.
    @return 0, -EBADMSG, or -ENOMSG for a type that only a later build knows */
int message_decode (blob_t bytes, message_t *message, err_t *err);

/** Frees what message_decode allocated. */
void message_clear (message_t *message);

#endif

/** @file
 * The one table of messages.
 */
#include "base/messages.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#define FIELD_ROW(field_kind, field_name)                                     \
  { .name = #field_name,                                                      \
    .kind = WIRE_##field_kind,                                                \
    .offset = offsetof (FIELD_STRUCT, field_name) },

#define FIELD_STRUCT msg_hello_t
static const wire_field_t hello_fields[] = { HELLO_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_heartbeat_t
static const wire_field_t heartbeat_fields[]
    = { HEARTBEAT_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_heartbeat_ack_t
static const wire_field_t heartbeat_ack_fields[]
    = { HEARTBEAT_ACK_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_log_relay_t
static const wire_field_t log_relay_fields[]
    = { LOG_RELAY_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_claim_ack_t
static const wire_field_t claim_ack_fields[]
    = { CLAIM_ACK_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_peer_release_t
static const wire_field_t peer_release_fields[]
    = { PEER_RELEASE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_work_t
static const wire_field_t work_fields[] = { WORK_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_result_t
static const wire_field_t result_fields[] = { RESULT_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_peer_bundle_t
static const wire_field_t peer_bundle_fields[]
    = { PEER_BUNDLE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_hint_t
static const wire_field_t order_hint_fields[]
    = { ORDER_HINT_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_load_t
static const wire_field_t load_fields[] = { LOAD_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_member_t
static const wire_field_t member_fields[] = { MEMBER_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_leave_t
static const wire_field_t leave_fields[] = { LEAVE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_claim_t
static const wire_field_t claim_fields[] = { CLAIM_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_release_t
static const wire_field_t release_fields[] = { RELEASE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_accept_t
static const wire_field_t order_accept_fields[]
    = { ORDER_ACCEPT_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_start_t
static const wire_field_t order_start_fields[]
    = { ORDER_START_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_end_t
static const wire_field_t order_end_fields[]
    = { ORDER_END_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_requeue_t
static const wire_field_t order_requeue_fields[]
    = { ORDER_REQUEUE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_cancel_t
static const wire_field_t order_cancel_fields[]
    = { ORDER_CANCEL_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_order_snapshot_t
static const wire_field_t order_snapshot_fields[]
    = { ORDER_SNAPSHOT_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_bundle_t
static const wire_field_t bundle_fields[] = { BUNDLE_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_record_t
static const wire_field_t record_fields[] = { RECORD_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT
#define FIELD_STRUCT msg_shard_t
static const wire_field_t shard_fields[] = { SHARD_FIELDS (FIELD_ROW) };
#undef FIELD_STRUCT

static const wire_schema_t schemas[MSG_TYPE_LIMIT] = {
#define SCHEMA_ROW(number, id, schema_name)                                   \
  [number] = { .name = #id,                                                   \
               .type = (number),                                              \
               .size = sizeof (msg_##schema_name##_t),                        \
               .fields = schema_name##_fields,                                \
               .field_count = G_N_ELEMENTS (schema_name##_fields) },
  MESSAGE_TABLE (SCHEMA_ROW)
#undef SCHEMA_ROW
};

static const char *const outcome_names[]
    = { "none", "not-run", "ran", "unknown" };

const char *
outcome_name (outcome_t outcome)
{
  return outcome <= OUTCOME_UNKNOWN ? outcome_names[outcome] : "none";
}

const wire_schema_t *
message_schema (int type)
{
  if (type < 0 || type >= MSG_TYPE_LIMIT || !schemas[type].name)
    return NULL;
  return &schemas[type];
}

void
message_encode (const message_t *message, GByteArray *out)
{
  wire_encode (&schemas[message->type], &message->u, out);
}

int
message_decode (blob_t bytes, message_t *message, err_t *err)
{
  int type = wire_type (bytes);
  const wire_schema_t *schema = message_schema (type);

  memset (message, 0, sizeof *message);
  if (!schema)
    return err_set (err, -EBADMSG, "decode", NULL, "no such message: %d",
                    type);
  message->type = (message_type_t)type;
  return wire_decode (schema, bytes, &message->u, err);
}

void
message_clear (message_t *message)
{
  const wire_schema_t *schema = message_schema ((int)message->type);

  if (schema)
    wire_clear (schema, &message->u);
}

/** @file
 * Schemas, encoding and decoding of all messages.
 */
#include "base/messages.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#define FIELD_ROW(structure, field_kind, field_name)                          \
  { .name = #field_name,                                                      \
    .kind = WIRE_##field_kind,                                                \
    .offset = offsetof (structure, field_name) },
#define FIELD_TABLE(number, id, name)                                         \
  static const wire_field_t name##_fields[]                                   \
      = { id##_FIELDS (FIELD_ROW, msg_##name##_t) };
MESSAGE_TABLE (FIELD_TABLE)
#undef FIELD_TABLE
#undef FIELD_ROW

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
  if (type >= 0 && !schema)
    return err_set (err, -ENOMSG, "decode", NULL, "unknown message type %d",
                    type);
  if (!schema)
    return err_set (err, -EBADMSG, "decode", NULL, "not a message");
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

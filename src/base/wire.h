/** @file
 * Typed messages in msgpack, described by field tables.
 *
 * A message is one msgpack array: its type, then its fields in the order of
 * the table.  One encoder and one decoder serve all tables.
 */
#ifndef BASE_WIRE_H
#define BASE_WIRE_H

#include "base/types.h"

#include <glib.h>

typedef enum
{
  WIRE_U64,  /**< uint64_t */
  WIRE_I64,  /**< int64_t */
  WIRE_BLOB, /**< blob_t */
  WIRE_U64S  /**< u64_list_t */
} wire_kind_t;

/** List of numbers; a decoded list is freed by wire_clear. */
typedef struct
{
  uint32_t count;
  uint64_t *items;
} u64_list_t;

typedef struct
{
  const char *name;
  wire_kind_t kind;
  size_t offset; /* in the message structure */
} wire_field_t;

typedef struct
{
  const char *name;
  uint32_t type; /* first element of the array */
  size_t size;   /* bytes of the structure */
  const wire_field_t *fields;
  size_t field_count;
} wire_schema_t;

#define WIRE_MAX_LIST 65536U

/** Appends the encoded message to OUT. */
void wire_encode (const wire_schema_t *schema, const void *message,
                  GByteArray *out);

/** Reads the type of an encoded message.
    @return the type, -EBADMSG if the bytes are not a message */
int wire_type (blob_t bytes);

/** Decodes BYTES into MESSAGE (schema->size bytes).  Blobs of the message
    point into BYTES.  Appended fields that the schema lacks are ignored.  Call
    wire_clear afterwards, also after an error.
    @return 0; -EBADMSG if the bytes are not exactly one message of the schema
 */
int wire_decode (const wire_schema_t *schema, blob_t bytes, void *message,
                 err_t *err);

/** Frees what wire_decode allocated. */
void wire_clear (const wire_schema_t *schema, void *message);

/** Removes the first encoded message from a sequence of messages.
    @return its bytes, len 0 at the end or if the rest is malformed */
blob_t wire_next (blob_t *sequence);

#endif

/** @file
 * Typed messages in msgpack, described by field tables.
 */
#include "base/wire.h"
#include "base/wire_check.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

typedef void (*encode_t) (msgpack_packer *packer, const void *field);
typedef bool (*decode_t) (const msgpack_object *object, void *field);

static int append_bytes (void *out, const char *data, size_t len);
static void encode_u64 (msgpack_packer *packer, const void *field);
static void encode_i64 (msgpack_packer *packer, const void *field);
static void encode_blob (msgpack_packer *packer, const void *field);
static void encode_u64s (msgpack_packer *packer, const void *field);
static bool decode_u64 (const msgpack_object *object, void *field);
static bool decode_i64 (const msgpack_object *object, void *field);
static bool decode_blob (const msgpack_object *object, void *field);
static bool decode_u64s (const msgpack_object *object, void *field);
static int decode_fields (const wire_schema_t *schema,
                          const msgpack_object *object, char *message,
                          err_t *err);

static const struct
{
  encode_t encode;
  decode_t decode;
} codecs[] = {
  [WIRE_U64] = { encode_u64, decode_u64 },
  [WIRE_I64] = { encode_i64, decode_i64 },
  [WIRE_BLOB] = { encode_blob, decode_blob },
  [WIRE_U64S] = { encode_u64s, decode_u64s },
};

void
wire_encode (const wire_schema_t *schema, const void *message, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, append_bytes);
  msgpack_pack_array (&packer, schema->field_count + 1);
  msgpack_pack_uint32 (&packer, schema->type);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const wire_field_t *field = &schema->fields[i];

      codecs[field->kind].encode (&packer,
                                  (const char *)message + field->offset);
    }
}

int
wire_type (blob_t bytes)
{
  msgpack_unpacked unpacked;
  const msgpack_object *object;
  size_t used = 0;
  int type = -EBADMSG;

  if (!wire_check (bytes))
    return -EBADMSG;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, &used)
      == MSGPACK_UNPACK_SUCCESS)
    {
      object = &unpacked.data;
      if (object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size
          && object->via.array.ptr[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER
          && object->via.array.ptr[0].via.u64 <= INT32_MAX)
        type = (int)object->via.array.ptr[0].via.u64;
    }
  msgpack_unpacked_destroy (&unpacked);
  return type;
}

int
wire_decode (const wire_schema_t *schema, blob_t bytes, void *message,
             err_t *err)
{
  msgpack_unpacked unpacked;
  size_t used = 0;
  int code;

  memset (message, 0, schema->size);
  if (!bytes.len || wire_check (bytes) != bytes.len)
    return err_set (err, -EBADMSG, "decode", NULL,
                    "%s: not exactly one msgpack value", schema->name);
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, &used)
          == MSGPACK_UNPACK_SUCCESS
      && used == bytes.len)
    code = decode_fields (schema, &unpacked.data, message, err);
  else
    code = err_set (err, -EBADMSG, "decode", NULL,
                    "%s: not exactly one msgpack value", schema->name);
  msgpack_unpacked_destroy (&unpacked);
  return code;
}

void
wire_clear (const wire_schema_t *schema, void *message)
{
  for (size_t i = 0; i < schema->field_count; i++)
    {
      u64_list_t *list;

      if (schema->fields[i].kind != WIRE_U64S)
        continue;
      list = (u64_list_t *)((char *)message + schema->fields[i].offset);
      g_free (list->items);
      list->items = NULL;
      list->count = 0;
    }
}

blob_t
wire_next (blob_t *sequence)
{
  blob_t first = { sequence->data, wire_check (*sequence) };

  sequence->data += first.len;
  sequence->len -= first.len;
  return first;
}

static int
append_bytes (void *out, const char *data, size_t len)
{
  g_byte_array_append (out, (const guint8 *)data, (guint)len);
  return 0;
}

static void
encode_u64 (msgpack_packer *packer, const void *field)
{
  msgpack_pack_uint64 (packer, *(const uint64_t *)field);
}

static void
encode_i64 (msgpack_packer *packer, const void *field)
{
  msgpack_pack_int64 (packer, *(const int64_t *)field);
}

static void
encode_blob (msgpack_packer *packer, const void *field)
{
  const blob_t *blob = field;

  msgpack_pack_bin (packer, blob->len);
  msgpack_pack_bin_body (packer, blob->data, blob->len);
}

static void
encode_u64s (msgpack_packer *packer, const void *field)
{
  const u64_list_t *list = field;

  msgpack_pack_array (packer, list->count);
  for (uint32_t i = 0; i < list->count; i++)
    msgpack_pack_uint64 (packer, list->items[i]);
}

static bool
decode_u64 (const msgpack_object *object, void *field)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *(uint64_t *)field = object->via.u64;
  return true;
}

static bool
decode_i64 (const msgpack_object *object, void *field)
{
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *(int64_t *)field = object->via.i64;
  else if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
           && object->via.u64 <= INT64_MAX)
    *(int64_t *)field = (int64_t)object->via.u64;
  else
    return false;
  return true;
}

static bool
decode_blob (const msgpack_object *object, void *field)
{
  blob_t *blob = field;

  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  blob->data = object->via.bin.ptr;
  blob->len = object->via.bin.size;
  return true;
}

static bool
decode_u64s (const msgpack_object *object, void *field)
{
  u64_list_t *list = field;
  uint32_t count;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size > WIRE_MAX_LIST)
    return false;
  count = object->via.array.size;
  list->items = count ? g_new (uint64_t, count) : NULL;
  list->count = count;
  for (uint32_t i = 0; i < count; i++)
    if (!decode_u64 (&object->via.array.ptr[i], &list->items[i]))
      return false;
  return true;
}

static int
decode_fields (const wire_schema_t *schema, const msgpack_object *object,
               char *message, err_t *err)
{
  const msgpack_object *items;
  uint64_t type;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size < schema->field_count + 1)
    return err_set (err, -EBADMSG, "decode", NULL, "%s: too few fields",
                    schema->name);
  items = object->via.array.ptr;
  if (!decode_u64 (&items[0], &type) || type != schema->type)
    return err_set (err, -EBADMSG, "decode", NULL, "%s: wrong message type",
                    schema->name);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const wire_field_t *field = &schema->fields[i];

      if (!codecs[field->kind].decode (&items[i + 1], message + field->offset))
        return err_set (err, -EBADMSG, "decode", NULL, "%s: invalid field %s",
                        schema->name, field->name);
    }
  return 0;
}

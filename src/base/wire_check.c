/** @file
 * Validation of msgpack bytes before they are unpacked.
 */
#include "base/wire_check.h"

#include <glib.h>

/* Layout of a value whose first byte is FIRST to LAST. */
typedef struct
{
  uint8_t first;
  uint8_t last;
  uint8_t fixed_mask;   /* bits of the first byte that hold the length */
  uint8_t length_bytes; /* size of the length field that follows, big-endian */
  uint8_t payload;      /* bytes of a number that follow */
  bool array;           /* the length counts values, not bytes */
} header_t;

/* First bytes of the msgpack specification. */
static const header_t headers[] = {
  { 0x00, 0x7f, 0, 0, 0, false },    /* positive fixint */
  { 0x90, 0x9f, 0x0f, 0, 0, true },  /* fixarray */
  { 0xa0, 0xbf, 0x1f, 0, 0, false }, /* fixstr */
  { 0xc4, 0xc4, 0, 1, 0, false },    /* bin */
  { 0xc5, 0xc5, 0, 2, 0, false },
  { 0xc6, 0xc6, 0, 4, 0, false },
  { 0xcc, 0xcc, 0, 0, 1, false }, /* uint */
  { 0xcd, 0xcd, 0, 0, 2, false },
  { 0xce, 0xce, 0, 0, 4, false },
  { 0xcf, 0xcf, 0, 0, 8, false },
  { 0xd0, 0xd0, 0, 0, 1, false }, /* int */
  { 0xd1, 0xd1, 0, 0, 2, false },
  { 0xd2, 0xd2, 0, 0, 4, false },
  { 0xd3, 0xd3, 0, 0, 8, false },
  { 0xd9, 0xd9, 0, 1, 0, false }, /* str */
  { 0xda, 0xda, 0, 2, 0, false },
  { 0xdb, 0xdb, 0, 4, 0, false },
  { 0xdc, 0xdc, 0, 2, 0, true }, /* array */
  { 0xdd, 0xdd, 0, 4, 0, true },
  { 0xe0, 0xff, 0, 0, 0, false }, /* negative fixint */
};

static const header_t *find_header (uint8_t byte);

uint32_t
wire_check (blob_t bytes)
{
  uint64_t offset = 0;
  uint64_t pending = 1; /* values not yet read */

  while (pending)
    {
      const header_t *header;
      uint64_t length;

      /* Each pending value needs at least one byte. */
      if (pending > bytes.len - offset)
        return 0;
      header = find_header ((uint8_t)bytes.data[offset]);
      if (!header || header->length_bytes >= bytes.len - offset)
        return 0;
      length = (uint8_t)bytes.data[offset++] & header->fixed_mask;
      for (int i = 0; i < header->length_bytes; i++)
        length = length << 8 | (uint8_t)bytes.data[offset++];
      pending += header->array ? length : 0;
      pending--;
      offset += header->payload + (header->array ? 0 : length);
      if (offset > bytes.len)
        return 0;
    }
  return (uint32_t)offset;
}

static const header_t *
find_header (uint8_t byte)
{
  for (size_t i = 0; i < G_N_ELEMENTS (headers); i++)
    if (byte >= headers[i].first && byte <= headers[i].last)
      return &headers[i];
  return NULL;
}

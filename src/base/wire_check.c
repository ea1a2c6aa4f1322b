/** @file
 * Check of msgpack bytes before they are unpacked.
 */
#include "base/wire_check.h"

#include <glib.h>

/* Head of a value: how many bytes hold its length, and what is counted. */
typedef struct
{
  uint8_t first;
  uint8_t last;
  uint8_t fixed_mask;   /* bits of the head that hold the length */
  uint8_t length_bytes; /* behind the head, big-endian */
  uint8_t payload;      /* bytes behind the head, of numbers */
  bool array;           /* the length counts values, not bytes */
} head_t;

/* Type codes of the msgpack specification. */
static const head_t heads[] = {
  { 0x00, 0x7f, 0, 0, 0, false },    /* small number */
  { 0x90, 0x9f, 0x0f, 0, 0, true },  /* small array */
  { 0xa0, 0xbf, 0x1f, 0, 0, false }, /* small string */
  { 0xc4, 0xc4, 0, 1, 0, false },    /* bytes */
  { 0xc5, 0xc5, 0, 2, 0, false },
  { 0xc6, 0xc6, 0, 4, 0, false },
  { 0xcc, 0xcc, 0, 0, 1, false }, /* unsigned numbers */
  { 0xcd, 0xcd, 0, 0, 2, false },
  { 0xce, 0xce, 0, 0, 4, false },
  { 0xcf, 0xcf, 0, 0, 8, false },
  { 0xd0, 0xd0, 0, 0, 1, false }, /* signed numbers */
  { 0xd1, 0xd1, 0, 0, 2, false },
  { 0xd2, 0xd2, 0, 0, 4, false },
  { 0xd3, 0xd3, 0, 0, 8, false },
  { 0xd9, 0xd9, 0, 1, 0, false }, /* strings */
  { 0xda, 0xda, 0, 2, 0, false },
  { 0xdb, 0xdb, 0, 4, 0, false },
  { 0xdc, 0xdc, 0, 2, 0, true }, /* arrays */
  { 0xdd, 0xdd, 0, 4, 0, true },
  { 0xe0, 0xff, 0, 0, 0, false }, /* small negative number */
};

static const head_t *find_head (uint8_t byte);

uint32_t
wire_check (blob_t bytes)
{
  uint64_t at = 0;
  uint64_t open = 1; /* values still to come */

  while (open)
    {
      const head_t *head;
      uint64_t length;

      /* Each value has at least one byte. */
      if (open > bytes.len - at)
        return 0;
      head = find_head ((uint8_t)bytes.data[at]);
      if (!head || head->length_bytes >= bytes.len - at)
        return 0;
      length = (uint8_t)bytes.data[at++] & head->fixed_mask;
      for (int i = 0; i < head->length_bytes; i++)
        length = length << 8 | (uint8_t)bytes.data[at++];
      open += head->array ? length : 0;
      open--;
      at += head->payload + (head->array ? 0 : length);
      if (at > bytes.len)
        return 0;
    }
  return (uint32_t)at;
}

static const head_t *
find_head (uint8_t byte)
{
  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    if (byte >= heads[i].first && byte <= heads[i].last)
      return &heads[i];
  return NULL;
}

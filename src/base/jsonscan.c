/** @file
 * Scan of a JSON text for the number and depth of its values.
 */
#include "base/jsonscan.h"

#include <errno.h>
#include <string.h>

typedef struct
{
  uint32_t containers;
  uint32_t values;
  uint32_t depth;
} counts_t;

static uint32_t string_end (blob_t text, uint32_t i);
static uint32_t scalar_end (blob_t text, uint32_t i);
static uint32_t scan_token (blob_t text, uint32_t i, counts_t *counts);

int
jsonscan (blob_t text, const jsonscan_limits_t *limits)
{
  counts_t counts = { 0 };

  for (uint32_t i = 0; i < text.len;)
    {
      i = scan_token (text, i, &counts);
      if (counts.containers > limits->max_containers
          || counts.values > limits->max_values
          || counts.depth > limits->max_depth)
        return -E2BIG;
    }
  return 0;
}

/* Counts the token at I. @return index after it */
static uint32_t
scan_token (blob_t text, uint32_t i, counts_t *counts)
{
  switch (text.data[i])
    {
    case '{':
    case '[':
      counts->containers++;
      counts->values++;
      counts->depth++;
      return i + 1;
    case '}':
    case ']':
      counts->depth -= counts->depth > 0;
      return i + 1;
    case '"':
      counts->values++;
      return string_end (text, i + 1);
    case ':':
      /* The string before it was the name of a member. */
      counts->values -= counts->values > 0;
      return i + 1;
    case ',':
    case ' ':
    case '\t':
    case '\n':
    case '\r':
      return i + 1;
    default:
      counts->values++;
      return scalar_end (text, i + 1);
    }
}

/* @return index after the quotation mark that ends the string whose text is
   at I, the length of the text if none does */
static uint32_t
string_end (blob_t text, uint32_t i)
{
  for (; i < text.len; i++)
    if (text.data[i] == '"')
      return i + 1;
    else if (text.data[i] == '\\')
      i++;
  return text.len;
}

/* @return index of the first delimiter from I on */
static uint32_t
scalar_end (blob_t text, uint32_t i)
{
  while (i < text.len && !memchr ("{}[]\":, \t\n\r", text.data[i], 12))
    i++;
  return i;
}

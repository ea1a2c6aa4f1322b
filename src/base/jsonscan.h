/** @file
 * Size of a JSON text in values, measured before a document is built from it.
 */
#ifndef BASE_JSONSCAN_H
#define BASE_JSONSCAN_H

#include "base/types.h"

/** Limits on a JSON text. */
typedef struct
{
  uint32_t max_containers; /**< objects and arrays */
  uint32_t max_values;     /**< containers, strings, numbers and literals;
                              names of members do not count */
  uint32_t max_depth;      /**< containers within each other */
} jsonscan_limits_t;

/** Scans a JSON text (RFC 8259) once, without allocating.  A document takes
    many times the memory of its text if that consists of short values: an
    empty object is two bytes of text and 100 to 200 bytes of a document.
    The text need not be valid.  Up to its first error it has at most the
    values that were counted, and a parser builds no more.
    @return 0, -E2BIG if the text exceeds a limit */
int jsonscan (blob_t text, const jsonscan_limits_t *limits);

#endif

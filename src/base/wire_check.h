/** @file
 * Validation of msgpack bytes before they are unpacked.
 */
#ifndef BASE_WIRE_CHECK_H
#define BASE_WIRE_CHECK_H

#include "base/types.h"

/** Measures the first msgpack value of BYTES without allocating.
    msgpack-c allocates memory for all declared elements of an array before it
    reads them, so that 5 bytes of input can request 100 GB; a value passes
    only if every declared element and byte is present.  Maps, floats and
    extensions are not part of the protocol.
    @return length of the value, 0 if it is malformed, truncated or of a
    kind outside the protocol */
uint32_t wire_check (blob_t bytes);

#endif

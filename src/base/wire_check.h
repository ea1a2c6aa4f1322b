/** @file
 * Check of msgpack bytes before they are unpacked.
 */
#ifndef BASE_WIRE_CHECK_H
#define BASE_WIRE_CHECK_H

#include "base/types.h"

/** Measures the first msgpack value of BYTES without allocating.
    msgpack-c allocates room for all elements that an array declares before it
    reads them, so that 5 bytes can ask for 100 GB; a value passes only if
    every declared element and byte is there.  Maps, floats and extensions
    are no part of the protocol.
    @return length of the value, 0 if it is malformed, cut short or of
    another kind */
uint32_t wire_check (blob_t bytes);

#endif

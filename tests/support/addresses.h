/** @file
 * Loopback addresses of a test program.
 *
 * Each process has addresses of its own, so that programs that run at the same
 * time do not take each other's ports.
 */
#ifndef SUPPORT_ADDRESSES_H
#define SUPPORT_ADDRESSES_H

#include <stdint.h>

#define TEST_HOSTS 4U
#define TEST_ADDRESS_SIZE 64U

/** Writes IP:port of a host of this process, with a free port that the system
    has chosen.
    @param host 0 to TEST_HOSTS - 1 */
void test_address (uint32_t host, char out[TEST_ADDRESS_SIZE]);

#endif

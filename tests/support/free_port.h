/** @file free_port.h Ports on which test programs may listen. */

#pragma once

#include <cstdint>

namespace corianderrail {

/**
 * Reserves consecutive ports for this test process.
 * @param count Ports wanted.
 * @return The first of `count` ports on which nothing listens.
 */
std::uint16_t FreePorts(int count);

/** Reserves one port, see FreePorts(). */
inline std::uint16_t FreePort() { return FreePorts(1); }

}  // namespace corianderrail

/** @file free_port.h Allocates ports on which test programs may listen. */

#pragma once

#include <cstdint>

namespace corianderrail {

/**
 * Finds consecutive free ports on 127.0.0.1 for this test process.
 * @param count Number of ports.
 * @return The first of `count` ports on which nothing listens.
 * @throws std::runtime_error when there are not enough free ports.
 */
std::uint16_t FreePorts(int count);

/** Finds one port, see FreePorts(). */
inline std::uint16_t FreePort() { return FreePorts(1); }

}  // namespace corianderrail

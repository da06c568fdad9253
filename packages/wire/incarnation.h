/** @file incarnation.h Identifier of one life of a process. */

#pragma once

#include "core/id_type.h"

namespace corianderrail {

/**
 * A life that is larger than every earlier one of this host, as long as the
 * clock does not go back: unix time in milliseconds, shifted left by 20 bits,
 * plus 20 random bits.
 */
incarnation_id MakeIncarnation();

}  // namespace corianderrail

/** @file incarnation.h Identifier of one run of a host. */

#pragma once

#include "core/id_type.h"

namespace corianderrail {

/**
 * Creates an incarnation that is higher than all earlier ones of this host,
 * unless the clock was set back: Unix time in milliseconds, shifted left by 20
 * bits, plus 20 random bits.
 */
incarnation_id MakeIncarnation();

}  // namespace corianderrail

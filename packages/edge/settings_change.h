/** @file settings_change.h Settings that take effect without a restart. */

#pragma once

#include <string_view>
#include <vector>

#include "edge/edge_settings.h"

namespace corianderrail::edge {

/** Keys whose values differ and take effect only after a restart. */
std::vector<std::string_view> KeysRequiringRestart(const edge_settings& running,
                                                   const edge_settings& fresh);

/**
 * Copies the values that take effect at once: seeds, repeat limits,
 * drain and grace times, and the lifetime of lookup answers.
 */
void ApplyReloadableValues(const edge_settings& fresh, edge_settings& running);

}  // namespace corianderrail::edge

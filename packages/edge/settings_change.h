/** @file settings_change.h Settings that take effect without a restart. */

#pragma once

#include <string_view>
#include <vector>

#include "edge/edge_settings.h"

namespace corianderrail::edge {

/** How long a draining or removed leaf still gets requests when no other leaf
 *  has capacity. */
duration LastResortPeriod(const edge_settings& settings);

/** Keys whose values differ and take effect only after a restart. */
std::vector<std::string_view> KeysRequiringRestart(const edge_settings& running,
                                                   const edge_settings& fresh);

/**
 * Copies the values that take effect at once: seeds, repeat limits, and the
 * times of planned stops and of lookup answers.
 */
void ApplyReloadableValues(const edge_settings& fresh, edge_settings& running);

}  // namespace corianderrail::edge

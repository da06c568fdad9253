/** @file settings_change.h Settings that change while a process runs. */

#pragma once

#include <string_view>
#include <vector>

#include "edge/edge_settings.h"

namespace corianderrail::edge {

/** Time in which a leaf that leaves gets work when no other has room. */
duration LastResortPeriod(const edge_settings& settings);

/** Keys that differ and take effect at the next start only. */
std::vector<std::string_view> KeysRequiringRestart(const edge_settings& running,
                                                   const edge_settings& fresh);

/**
 * Copies the values that take effect at once: seeds, bounds of repeats and
 * times of planned stops.
 */
void ApplyReloadableValues(const edge_settings& fresh, edge_settings& running);

}  // namespace corianderrail::edge

/** @file attempt_log.h Record of order attempts received by an owner. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "core/id_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** Record of one order. */
struct attempt_record {
  std::uint32_t attempt = 0;  ///< Highest attempt number received.
  service_id service{};       ///< Index in the topology of the home.
  bool pending = true;        ///< Queued or at a leaf.
  run_state outcome{};        ///< Set when no longer pending.
  refusal_reason reason{};    ///< Set when it ended without having run.
  std::string payload;        ///< Upstream's answer; set when it ran.
};

/** How to handle an attempt that arrived. */
enum class attempt_verdict : std::uint8_t {
  run,       ///< First one, or a permitted retry; queue it.
  wait,      ///< Already queued or at a leaf; its result follows.
  recorded,  ///< Answer with the recorded outcome.
  unknown,   ///< Outside the window; answer `unknown`.
  ignore,    ///< Older than a recorded attempt; do not answer.
};

/**
 * Deduplicates orders by identifier, in a window for each home. An order is
 * recorded before it is sent to a leaf. An order outside the window may have
 * run already, so it is never run.
 */
class attempt_log {
 public:
  /** @param window Number of orders kept for each home. */
  explicit attempt_log(std::uint32_t window) : window_(window) {}

  /** Records an attempt and decides how to handle it. */
  attempt_verdict Register(const order_id& id, std::uint32_t attempt,
                           service_id service);

  /** @return Null when the order is not recorded. */
  const attempt_record* Find(const order_id& id) const;

  /** Records the outcome of a pending order; otherwise does nothing. */
  void Finish(const order_id& id, run_state outcome, refusal_reason reason,
              std::string payload);

 private:
  /** Orders of the newest known incarnation of one home. */
  struct home_window {
    incarnation_id incarnation{};  ///< Newest known incarnation.
    std::uint64_t highest = 0;     ///< Highest sequence recorded.
    std::uint64_t first_kept = 0;  ///< Lower ones may have been evicted.
    std::unordered_map<std::uint64_t, attempt_record> records;
    std::deque<std::uint64_t> arrived;  ///< Sequences, oldest first.
  };

  void Trim(home_window& home) const;
  bool OutsideWindow(const home_window& home, std::uint64_t sequence) const;

  std::uint32_t window_;
  std::map<host_id, home_window> homes_;
};

}  // namespace corianderrail

/** @file held_bytes.h Counts what the connections of a server or pool hold. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time_type.h"
#include "edge/connection_end.h"
#include "edge/process_time.h"
#include "gateway/admission/byte_budget.h"

namespace corianderrail::edge {

/**
 * A byte_budget with its counters and reports. It names the connections that
 * end; its user closes them.
 */
class held_bytes {
 public:
  held_bytes(held_kind kind, const gateway::byte_bounds& bounds,
             gateway::byte_flow flow)
      : kind_(kind), budget_(bounds, flow) {}

  /** Notes what a connection holds. @return The connections that end now. */
  std::vector<gateway::given_up_message> Update(gateway::message_id message,
                                                gateway::sender_id sender,
                                                std::size_t bytes,
                                                std::size_t moved,
                                                time_point now = Now()) {
    return budget_.Update(message, sender, {bytes, moved, now});
  }

  void Remove(gateway::message_id message) { budget_.Remove(message); }

  void SetBounds(const gateway::byte_bounds& bounds) {
    budget_.SetBounds(bounds);
  }

  /** Counts an end and reports it, if there is someone to report it to. */
  void Report(const connection_end_sink& sink, const connection_end& end) {
    ++ended_[static_cast<std::size_t>(end.cause)];
    if (sink) sink(end);
  }

  held_kind Kind() const { return kind_; }
  std::size_t Total() const { return budget_.Total(); }
  held_counters Counters() const { return {budget_.Total(), ended_}; }

 private:
  held_kind kind_;
  gateway::byte_budget budget_;
  std::array<std::uint64_t, kEndCauses> ended_{};
};

}  // namespace corianderrail::edge

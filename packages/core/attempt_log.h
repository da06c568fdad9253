/** @file attempt_log.h Order attempts that this incarnation has seen. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "core/id_type.h"
#include "core/query_type.h"

namespace corianderrail {

/** What is recorded of one order. */
struct attempt_record {
  std::uint32_t attempt = 0;  ///< Highest attempt taken.
  service_id service{};       ///< As the home numbered it.
  bool pending = true;        ///< Queued or at a leaf.
  run_state outcome{};        ///< Meaningful unless pending.
  refusal_reason reason{};    ///< Meaningful unless it ran.
  std::string payload;        ///< Upstream's answer when it ran.
};

/** What to do with an attempt that arrived. */
enum class attempt_verdict : std::uint8_t {
  run,       ///< Recorded now; queue it.
  wait,      ///< Already queued or at a leaf; its result follows.
  recorded,  ///< Answer with the recorded outcome.
  unknown,   ///< Outside the window; answer unknown.
  ignore,    ///< Older than an attempt already taken; nobody waits.
};

/**
 * Remembers each order by identifier before it is sent anywhere, in a window
 * per home. An identifier that the window no longer covers may have run, so
 * it never runs again.
 */
class attempt_log {
 public:
  /** @param window Orders kept for each home. */
  explicit attempt_log(std::uint32_t window) : window_(window) {}

  attempt_verdict Register(const order_id& id, std::uint32_t attempt,
                           service_id service);

  const attempt_record* Find(const order_id& id) const;

  /** Records the outcome; later calls for the same order change nothing. */
  void Finish(const order_id& id, run_state outcome, refusal_reason reason,
              std::string payload);

 private:
  /** Orders of the newest life seen of one home. */
  struct home_window {
    incarnation_id incarnation{};  ///< Newest life.
    std::uint64_t highest = 0;     ///< Highest sequence taken.
    std::uint64_t first_kept = 0;  ///< Lower sequences may have been dropped.
    std::unordered_map<std::uint64_t, attempt_record> records;
    std::deque<std::uint64_t> arrived;  ///< Sequences, oldest first.
  };

  void Trim(home_window& home) const;
  bool OutsideWindow(const home_window& home, std::uint64_t sequence) const;

  std::uint32_t window_;
  std::map<host_id, home_window> homes_;
};

}  // namespace corianderrail

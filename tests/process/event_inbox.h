/** @file event_inbox.h Collects the events that a client delivers. */

#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "core/event_type.h"

namespace corianderrail {

/** Queue of events in the order of arrival; thread-safe. */
class event_inbox {
 public:
  void Put(event incoming) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(incoming));
    changed_.notify_all();
  }

  /** Waits for the first event of a type that satisfies the condition, and
   *  removes it. @return The event; no value after 60 s. */
  template <typename Event, typename Condition>
  std::optional<Event> WaitFor(Condition condition) {
    std::optional<Event> result;
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(60), [&] {
      for (auto it = events_.begin(); it != events_.end(); ++it) {
        auto* found = std::get_if<Event>(&*it);
        if (found == nullptr || !condition(*found)) continue;
        result = std::move(*found);
        events_.erase(it);
        return true;
      }
      return false;
    });
    return result;
  }

  template <typename Event>
  std::optional<Event> WaitFor() {
    return WaitFor<Event>([](const Event&) { return true; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<event> events_;
};

}  // namespace corianderrail

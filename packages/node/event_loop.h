/** @file event_loop.h The thread that runs the reducer. */

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "core/host_reducer.h"

namespace corianderrail {

/** Counters of the event loop, all rising. */
struct event_loop_counters {
  std::uint64_t events = 0;   ///< Events reduced.
  std::uint64_t dropped = 0;  ///< Peer messages dropped, queue full.
  std::uint64_t queued = 0;   ///< Events waiting now.
};

/** Events of all threads in, effects out, in one thread. */
class event_loop {
 public:
  /** Carries out an effect on the loop's thread; must not block. */
  using effect_handler =
      std::function<void(effect&, const host_reducer& reducer)>;

  event_loop(host_settings settings, effect_handler handle);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /** Starts the thread. */
  void Start();

  /** Ends the thread; queued events are not handled any more. */
  void Stop();

  /** Queues an event. Safe for any thread. Peer messages are dropped when too
   *  many events wait, because their loss is part of the protocol. */
  void Post(event event);

  /** State of the host; waits for the loop's thread. */
  host_view View();

  host_phase Phase() const { return phase_.load(std::memory_order_relaxed); }
  event_loop_counters Counters() const;

  /** Time on the clock of the reducer. */
  static time_point Now();

 private:
  void Run();
  void ReduceBatch(std::vector<event>& batch);
  void ApplyEffects(effect_list& effects);

  host_reducer reducer_;
  effect_handler handle_;
  mutable std::mutex mutex_;  ///< Guards the members below it.
  std::condition_variable changed_;
  std::vector<event> queue_;
  std::vector<std::function<void(const host_reducer&)>> state_readers_;
  bool stopping_ = false;
  bool running_ = false;
  std::uint64_t dropped_ = 0;
  std::atomic<std::uint64_t> events_{0};
  std::atomic<host_phase> phase_{host_phase::starting};
  std::thread thread_;
};

}  // namespace corianderrail

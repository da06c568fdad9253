/** @file event_loop.h Event queue and thread that run the reducer. */

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

/** Counters of the event loop, for the metrics. */
struct event_loop_counters {
  std::uint64_t events = 0;   ///< Events handled since the start.
  std::uint64_t dropped = 0;  ///< Peer messages dropped by a full queue.
  std::uint64_t queued = 0;   ///< Events in the queue now.
};

/**
 * Queues the events of all threads, feeds them to the reducer on one thread
 * and passes on the effects that it returns.
 */
class event_loop {
 public:
  /** Executes an effect on the loop's thread; must not block. */
  using effect_handler =
      std::function<void(effect&, const host_reducer& reducer)>;

  event_loop(host_settings settings, effect_handler handle);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /** Starts the thread; events posted before are handled from then on. */
  void Start();

  /** Stops and joins the thread; events still queued are discarded. */
  void Stop();

  /** Queues an event. Safe for any thread. While the queue is full, peer
   *  messages are dropped; the peer protocol tolerates their loss. */
  void Post(event event);

  /** Snapshot of the host's state. Blocks until the loop's thread has created
   *  the snapshot, if the loop is running. */
  host_view View();

  host_phase Phase() const { return phase_.load(std::memory_order_relaxed); }
  event_loop_counters Counters() const;

  /** Present time on the monotonic clock that the reducer uses. */
  static time_point Now();

 private:
  void Run();
  void ReduceBatch(std::vector<event>& batch);
  void ApplyEffects(effect_list& effects);

  host_reducer reducer_;
  effect_handler handle_;
  mutable std::mutex mutex_;  ///< Guards the members below, up to `dropped_`.
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

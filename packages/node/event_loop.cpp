/** @file event_loop.cpp Event queue and thread that run the reducer. */

#include "node/event_loop.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace corianderrail {

namespace {

/** Queue length from which on peer messages are dropped. */
constexpr std::size_t kMaxQueuedEvents = 100'000;

/** Upper bound of a sleep. The loop compares the time with NextWake() at least
 *  this often, so that the reducer detects a gap in the clock. */
constexpr std::chrono::milliseconds kMaxSleep{500};

}  // namespace

event_loop::event_loop(host_settings settings, effect_handler handle)
    : reducer_(std::move(settings)), handle_(std::move(handle)) {}

event_loop::~event_loop() { Stop(); }

time_point event_loop::Now() {
  static const auto start = std::chrono::steady_clock::now();
  // The epoch is an hour before the first call, so that times shortly before
  // the start are not negative.
  return time_point(std::chrono::hours(1)) +
         std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() -
                                              start);
}

void event_loop::Start() {
  const std::lock_guard lock(mutex_);
  running_ = true;
  thread_ = std::thread([this] { Run(); });
}

void event_loop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
}

void event_loop::Post(event event) {
  const std::lock_guard lock(mutex_);
  if (queue_.size() >= kMaxQueuedEvents &&
      std::holds_alternative<peer_event>(event)) {
    ++dropped_;
    return;
  }
  queue_.push_back(std::move(event));
  changed_.notify_one();
}

host_view event_loop::View() {
  auto promise = std::make_shared<std::promise<host_view>>();
  auto view = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (!running_ || stopping_) return reducer_.View();
    state_readers_.push_back([promise](const host_reducer& reducer) {
      promise->set_value(reducer.View());
    });
    changed_.notify_one();
  }
  return view.get();
}

event_loop_counters event_loop::Counters() const {
  const std::lock_guard lock(mutex_);
  return {events_, dropped_, queue_.size()};
}

void event_loop::ApplyEffects(effect_list& effects) {
  for (auto& effect : effects) handle_(effect, reducer_);
  effects.clear();
}

void event_loop::ReduceBatch(std::vector<event>& batch) {
  effect_list effects;
  for (const auto& event : batch) {
    reducer_.Reduce(event, Now(), effects);
    ApplyEffects(effects);
  }
  events_ += batch.size();
  batch.clear();
  if (reducer_.NextWake() > Now()) return;
  reducer_.Reduce(tick_event{}, Now(), effects);
  ApplyEffects(effects);
}

void event_loop::Run() {
  effect_list effects;
  reducer_.Start(Now(), effects);
  ApplyEffects(effects);
  std::vector<event> batch;
  std::vector<std::function<void(const host_reducer&)>> state_readers;
  for (;;) {
    const auto wake = reducer_.NextWake();
    {
      std::unique_lock lock(mutex_);
      const auto now = Now();
      const auto sleep = std::clamp<duration>(
          wake == kNever ? duration(kMaxSleep) : wake - now, duration::zero(),
          kMaxSleep);
      changed_.wait_for(lock, sleep, [this] {
        return stopping_ || !queue_.empty() || !state_readers_.empty();
      });
      batch.swap(queue_);
      state_readers.swap(state_readers_);
      if (stopping_) break;
    }
    ReduceBatch(batch);
    for (const auto& read_state : state_readers) read_state(reducer_);
    state_readers.clear();
    phase_ = reducer_.Phase();
  }
  for (const auto& read_state : state_readers) read_state(reducer_);
}

}  // namespace corianderrail

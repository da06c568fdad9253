/** @file config_reader_test.cpp Reads whose answers are lost. */

#include "core/config_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

namespace corianderrail {

namespace {

using std::chrono::seconds;

/** A change must be known this long after it was published. */
constexpr duration kChangeLimit = seconds(15);

/** Time that a change takes to spread from a reader to all hosts. */
constexpr duration kSpreadTime = seconds(2);

/** A reader without peers that has read the head of the contracts. */
class reader_fixture {
 public:
  reader_fixture() {
    Tick();
    now_ += seconds(2);
    Tick();
    Answer(true);
    now_ += seconds(1);
    Tick();
  }

  void Tick() { reader_.OnTick(now_, effects_); }

  void Answer(bool reachable) {
    config_value_event value;
    value.key = kKey;
    value.reachable = reachable;
    value.found = reachable;
    value.version = 1;
    reader_.OnConfigValue(value, now_, effects_);
  }

  /** Number of reads of the head so far. */
  int Reads() const {
    int count = 0;
    for (const effect& one : effects_) {
      const auto* read = std::get_if<read_config_effect>(&one);
      if (read != nullptr && read->key == kKey) ++count;
    }
    return count;
  }

  /** Advances the time until the head is read again. */
  void RunUntilNextRead() {
    const int before = Reads();
    while (Reads() == before && now_ < time_point(seconds(1000))) {
      now_ = std::max(now_ + std::chrono::milliseconds(100),
                      std::min(reader_.NextWake(), now_ + seconds(1)));
      Tick();
    }
  }

 protected:
  static constexpr const char* kKey = "contracts/head";

  time_point now_{seconds(1)};
  effect_list effects_;
  config_reader reader_{{}, {}, 1};
};

}  // namespace

// Guards against a change that is known too late, because the service lost the
// answer of the read before it.
TEST_CASE_METHOD(reader_fixture,
                 "ConfigReader_AnswerLost_ReadsAgainWithinTheChangeLimit") {
  RunUntilNextRead();
  const time_point lost = now_;
  RunUntilNextRead();
  CHECK(now_ - lost <= kChangeLimit - kSpreadTime);
}

// Guards against a long backoff after which the return of the service is
// noticed later than a change is due.
TEST_CASE_METHOD(reader_fixture,
                 "ConfigReader_SilentForLong_ReadsAgainWithinTheChangeLimit") {
  for (int i = 0; i < 12; ++i) {
    const time_point before = now_;
    RunUntilNextRead();
    CHECK(now_ - before <= kChangeLimit - kSpreadTime);
  }
}

}  // namespace corianderrail

/** @file order_property_test.cpp Properties of the order table under faults. */

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "core/random.h"
#include "order_fixture.h"
#include "property.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Simulates owners, callers and a network that loses, duplicates and delays
 *  messages. */
struct order_simulation : order_fixture {
  explicit order_simulation(std::uint64_t seed, std::uint32_t max_orders)
      : order_fixture(SettingsFor(max_orders)), random(seed) {}

  static order_settings SettingsFor(std::uint32_t max_orders) {
    order_settings settings;
    settings.max_orders = max_orders;
    settings.unused_id_lifetime = seconds(5);
    settings.outcome_retention = seconds(8);
    return settings;
  }

  /** Executes one step of the given kind. */
  void Step(int kind) {
    switch (kind) {
      case 0:
        for (const order_id id : Issue(2)) known.push_back(id);
        break;
      case 1:
        known.push_back({kHome, random.Below(40)});
        break;
      case 2:
      case 3:
        SendCopy();
        break;
      case 4:
        SendForward();
        break;
      case 5:
      case 6:
        DeliverRandomResult();
        break;
      case 7:
        Tick(milliseconds(random.Below(500)));
        break;
      case 8:
        ChangeMembers();
        break;
      case 9:
        now += seconds(random.Below(4));
        if (random.Below(2) == 0)
          orders.OnClockGap(admission_control, now, effects);
        break;
      case 10:
        admission_control.SetContractStale(random.Below(3) == 0);
        break;
      default:
        break;
    }
    Observe();
  }

  order_id RandomId() { return known[random.Below(known.size())]; }

  void SendCopy() {
    if (known.empty()) return;
    const order_id id = RandomId();
    Order(id, ++calls, 0, random.Below(8) == 0 ? "other" : "acme");
  }

  void SendForward() {
    if (known.empty()) return;
    order_forward copy;
    copy.forward = ++forwards;
    copy.remaining = seconds(1);
    copy.status_only = random.Below(4) == 0;
    copy.request = RequestFor(RandomId(), 0);
    Forward(MakeMember(3).ref, copy);
  }

  void DeliverRandomResult() {
    if (attempts.empty()) return;
    const std::size_t index = random.Below(attempts.size());
    const sent_attempt sent = attempts[index];
    delivered.insert(index);
    ResultFrom(sent, outcomes[index]);
  }

  void ChangeMembers() {
    const std::size_t index = 1 + random.Below(2);
    members[index].ready = !members[index].ready;
    owners.SetMembers(members);
    orders.SetMembers(members);
  }

  /** Checks the effects of the last step. */
  void Observe() {
    for (; observed < effects.size(); ++observed) {
      const effect& each = effects[observed];
      if (const auto* answer = std::get_if<answer_order_effect>(&each)) {
        RC_ASSERT(answered.insert(Raw(answer->call)).second);
        OnStatus(answer->status);
      }
      const auto* send = std::get_if<send_peer_effect>(&each);
      if (send == nullptr) continue;
      if (const auto* reply = std::get_if<order_reply>(&send->body)) {
        RC_ASSERT(replied.insert(reply->forward).second);
        OnStatus(reply->status);
      }
      if (const auto* attempt = std::get_if<order_attempt>(&send->body)) {
        OnAttempt(*send, *attempt);
      }
    }
  }

  void OnAttempt(const send_peer_effect& send, const order_attempt& attempt) {
    RC_ASSERT_FALSE(reported_not_run.contains(attempt.id));
    RC_ASSERT(attempt.remaining > duration{});
    RC_ASSERT(attempt.attempt <= 2U);
    const auto last = last_attempt.find(attempt.id);
    if (last != last_attempt.end()) {
      // A second attempt requires that the first was answered `not_run`.
      RC_ASSERT(outcomes[last->second] == run_state::not_run);
      RC_ASSERT(delivered.contains(last->second));
    }
    last_attempt[attempt.id] = attempts.size();
    attempts.emplace_back(send, attempt);
    static constexpr std::array kOutcomes = {run_state::ran, run_state::not_run,
                                             run_state::not_run,
                                             run_state::unknown};
    outcomes.push_back(kOutcomes[random.Below(kOutcomes.size())]);
  }

  void OnStatus(const order_status& status) {
    const auto last = last_attempt.find(status.id);
    const bool attempted = last != last_attempt.end();
    if (status.state == order_state::not_run) {
      reported_not_run.insert(status.id);
      if (attempted) RC_ASSERT(outcomes[last->second] == run_state::not_run);
    }
    if (status.state == order_state::ran) {
      RC_ASSERT(attempted);
      RC_ASSERT(outcomes[last->second] == run_state::ran);
    }
  }

  random_source random;
  std::vector<order_id> known;
  std::uint64_t calls = 0;
  std::uint64_t forwards = 0;
  std::vector<sent_attempt> attempts;
  std::vector<run_state> outcomes;  ///< Decided by the owner, by attempt.
  std::set<std::size_t> delivered;  ///< Attempts whose result was delivered.
  std::map<order_id, std::size_t> last_attempt;
  std::set<order_id> reported_not_run;
  std::set<std::uint64_t> answered;
  std::set<std::uint64_t> replied;
  std::size_t observed = 0;
};

// Guards against a second run, a wrong `not_run` and a caller without an
// answer, under any sequence of copies, results, losses, pauses and owner
// changes.
TEST_CASE("OrderTable_AnyFaults_RunAtMostOnceAndNeverAfterNotRun") {
  CheckProperty(4, 1'000, [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto max_orders = *rc::gen::element<std::uint32_t>(8, 24, 1'000);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 11));
    order_simulation simulation(seed, max_orders);
    for (const int step : steps) simulation.Step(step);
    const bool stop = *rc::gen::arbitrary<bool>();
    if (stop) {
      simulation.orders.StopNow(simulation.now, simulation.effects);
    } else {
      simulation.Tick(seconds(60));
    }
    simulation.Observe();
    RC_ASSERT(simulation.answered.size() == simulation.calls);
    RC_ASSERT(simulation.replied.size() == simulation.forwards);
    RC_ASSERT(simulation.orders.Idle());
    // Copies that arrive after the end must not start an attempt.
    const std::size_t attempts = simulation.attempts.size();
    for (std::size_t i = 0; i < simulation.known.size(); ++i) {
      if (stop || simulation.reported_not_run.contains(simulation.known[i])) {
        simulation.Order(simulation.known[i], 1'000'000 + i);
      }
    }
    simulation.Observe();
    RC_ASSERT(simulation.attempts.size() == attempts);
  });
}

// Guards against faults that appear only after many steps on the same table.
TEST_CASE("OrderTable_TenThousandSteps_KeepsInvariants") {
  const auto seed = GENERATE(range(1, 9));
  CheckProperty(static_cast<std::uint64_t>(seed), 1, [seed] {
    order_simulation simulation(static_cast<std::uint64_t>(seed), 200);
    for (int i = 0; i < 10'000; ++i) {
      simulation.Step(static_cast<int>(simulation.random.Below(11)));
    }
    simulation.Tick(seconds(60));
    simulation.Observe();
    RC_ASSERT(simulation.answered.size() == simulation.calls);
  });
}

}  // namespace
}  // namespace corianderrail

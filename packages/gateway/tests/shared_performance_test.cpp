/** @file shared_performance_test.cpp Figures that hosts exchange about leafs.
 */

#include "gateway/leafs/shared_performance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "core/host_address.h"
#include "gateway/leafs/performance_report.h"
#include "gateway_fixture.h"

namespace corianderrail::gateway {

namespace {

using std::chrono::seconds;

constexpr leaf_boot kLeaf{77};

class shared_fixture {
 protected:
  void Send(std::uint64_t host, std::uint32_t slowness_permille,
            std::uint32_t age_ms = 100, leaf_boot boot = kLeaf) {
    const leaf_figure figure{boot, slowness_permille, 20, age_ms};
    shared_.OnFigures(host_id{host}, {&figure, 1}, now_);
  }

  double Slowness(std::optional<double> own = {}) const {
    return shared_.Slowness(kLeaf, own, now_).value_or(1);
  }

  shared_performance shared_;
  time_point now_{seconds(100)};
};

/** Members of two zones of region r and one of region s; the first is self. */
class receivers_fixture {
 protected:
  receivers_fixture() {
    for (int i = 0; i < 14; ++i) Add(i % 2 == 0 ? "r-1" : "r-2", "r");
    for (int i = 0; i < 4; ++i) Add("s-1", "s");
  }

  member_record& Add(const std::string& zone, const std::string& region) {
    member_record member;
    member.peer_address = "10.0.0.1:" + std::to_string(1000 + members_.size());
    member.caller_address = member.peer_address;
    member.ref = {HostIdOf(member.peer_address), incarnation_id{1}};
    member.zone = zone;
    member.region = region;
    member.capacity = members_.size() < 4 ? 500 : 100;
    member.ready = true;
    members_.push_back(member);
    return members_.back();
  }

  std::vector<std::string> Next() {
    now_ += seconds(1);
    std::vector<std::string> addresses;
    for (const member_record* one : receivers_.Next(members_, now_)) {
      addresses.push_back(one->peer_address);
    }
    return addresses;
  }

  std::vector<member_record> members_;
  figure_receivers receivers_{"10.0.0.1:1000", "r", entry_settings{}};
  time_point now_{seconds(100)};
};

}  // namespace

// Guards against one wrong host that makes a leaf look slow or fast.
TEST_CASE_METHOD(shared_fixture, "Shared_OneHost_HasNoEffect") {
  Send(1, 100'000);
  CHECK(Slowness() == 1);
  Send(1, 1);
  CHECK(Slowness() == 1);
  Send(1, 100'000);
  CHECK(Slowness(1.02) == Approx(1.02));
  CHECK(Slowness(0.9) == 1);
}

// Guards against one wrong host that prevails over others, by one message or by
// many.
TEST_CASE_METHOD(shared_fixture, "Shared_OneWrongAmongOthers_ChangesLittle") {
  for (int i = 0; i < 10; ++i) Send(1, 4'000'000'000);
  Send(2, 1400);
  CHECK(Slowness() == Approx(1.4));
  Send(3, 1000);
  CHECK(Slowness() == Approx(1.4));
  Send(4, 1000);
  CHECK(Slowness() == 1);
}

// Guards against figures that raise a prediction without a bound.
TEST_CASE_METHOD(shared_fixture, "Shared_ManyWrongHosts_StayWithinFactor") {
  for (std::uint64_t host = 1; host < 40; ++host) Send(host, 4'000'000'000);
  CHECK(Slowness() == kMaxSharedSlowness);
  CHECK(shared_.Hosts() <= 16);
  for (std::uint64_t host = 1; host < 40; ++host) Send(host, 0);
  CHECK(Slowness() == kMinSharedSlowness);
}

// Guards against figures that outlive what they describe.
TEST_CASE_METHOD(shared_fixture, "Shared_OldOrOtherBoot_HasNoEffect") {
  Send(1, 2000);
  Send(2, 2000);
  CHECK(Slowness() == Approx(2));
  now_ += seconds(3);
  CHECK(Slowness() == 1);
  Send(1, 2000, 2600);
  Send(2, 2000, 4'000'000'000);
  CHECK(Slowness() == 1);
  leaf_record leaf;
  leaf.instance = "i-1";
  leaf.born_unix_ms = 5;
  leaf_record restarted = leaf;
  restarted.born_unix_ms = 6;
  CHECK(BootOf(leaf) != BootOf(restarted));
  Send(1, 2000, 0, BootOf(leaf));
  Send(2, 2000, 0, BootOf(leaf));
  CHECK(shared_.Slowness(BootOf(leaf), {}, now_));
  CHECK_FALSE(shared_.Slowness(BootOf(restarted), {}, now_));
}

// Guards against figures of others that prevail over own answers.
TEST_CASE_METHOD(shared_fixture, "Shared_OwnAnswers_SupersedeFigures") {
  CHECK(CombineSlowness(1, 0, 3) == 3);
  CHECK(CombineSlowness(1, 0.25, 3) == Approx(2));
  CHECK(CombineSlowness(1, 0.8, 3) == 1);
  CHECK(SupersedesShared(0.8));
}

// Guards against a fleet whose hosts send to all others, to other regions or to
// hosts that take no clients.
TEST_CASE_METHOD(receivers_fixture, "Receivers_Entries_GetFiguresInTurn") {
  std::vector<std::string> all;
  for (int i = 0; i < 6; ++i) {
    const auto chosen = Next();
    CHECK(chosen.size() <= 3);
    all.insert(all.end(), chosen.begin(), chosen.end());
  }
  for (int i = 1; i < 14; ++i) {
    const auto count =
        std::count(all.begin(), all.end(),
                   members_[static_cast<std::size_t>(i)].peer_address);
    CHECK((i < 4) == (count > 0));
  }
  CHECK(std::count(all.begin(), all.end(), members_[0].peer_address) == 0);
}

// Guards against a restarted host that learns everything anew.
TEST_CASE_METHOD(receivers_fixture, "Receivers_HostRestarts_GetsFiguresFirst") {
  Next();
  members_[9].ref.incarnation = incarnation_id{2};
  CHECK(Next().front() == members_[9].peer_address);
  for (int i = 0; i < 4; ++i) Next();
  for (const std::string& one : Next()) CHECK(one != members_[9].peer_address);
}

// Guards against senders that all name the same few hosts after a power loss.
TEST_CASE_METHOD(receivers_fixture, "Receivers_AllRestart_AreReachedInTurn") {
  Next();
  for (member_record& one : members_) one.ref.incarnation = incarnation_id{2};
  std::vector<std::string> all;
  for (int i = 0; i < 3; ++i) {
    const auto chosen = Next();
    CHECK(chosen.size() == 3);
    all.insert(all.end(), chosen.begin(), chosen.end());
  }
  std::sort(all.begin(), all.end());
  CHECK(std::unique(all.begin(), all.end()) == all.end());
}

// Guards against figures of leafs that are as usual, and against a return to
// the usual that other hosts do not hear of.
TEST_CASE("Report_LeafDiffersThenReturns_SendsBoth") {
  leaf_directory leafs{{}};
  for (const char* instance : {"slow", "usual"}) {
    leaf_record record;
    record.instance = instance;
    record.service = "s";
    leafs.Apply({instance, 1, record, false}, {}, time_point{});
  }
  time_point now{seconds(100)};
  std::uint64_t calls = 0;
  const auto run = [&](double slow_factor) {
    for (int i = 0; i < 30; ++i) {
      now += milliseconds(100);
      leafs.Visit([&](leaf_state& leaf) {
        const double factor = leaf.record.instance == "slow" ? slow_factor : 1;
        const auto latency = milliseconds(static_cast<int>(20 * factor));
        open_call call;
        call.call = leaf_call{++calls};
        call.sent = now - latency;
        call.expected = milliseconds(20);
        leaf.monitor.OnSent(call);
        leaf.monitor.OnAnswer(call.call, now);
      });
    }
  };
  performance_report report;
  std::vector<performance_change> changes;
  run(2);
  auto figures = report.Take(leafs, now, changes);
  REQUIRE(figures.size() == 1);
  CHECK(figures[0].slowness_permille == 2000);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].differs);
  run(1);
  changes.clear();
  figures = report.Take(leafs, now, changes);
  REQUIRE(figures.size() == 1);
  CHECK(figures[0].slowness_permille == 1000);
  REQUIRE(changes.size() == 1);
  CHECK_FALSE(changes[0].differs);
  run(1);
  now += seconds(1);
  report.Take(leafs, now, changes);
  CHECK(report.Take(leafs, now, changes).empty());
}

// Guards against a host that ignores the figures it gets, and against one that
// trusts a single host.
TEST_CASE_METHOD(gateway_fixture, "Gateway_FiguresOfTwoHosts_ChangeTheChoice") {
  Configure(Config());
  const leaf_record slow = Leaf("plain", "a-1");
  leaf_record other = slow;
  other.instance = "plain@other";
  Register(slow);
  Register(other);
  const auto chosen = [&](std::uint64_t host) {
    Reduce(leaf_figures_event{host_id{host}, {{BootOf(slow), 3000, 20, 50}}});
    Request("/read/x");
    const auto sends = DrainSends();
    REQUIRE(sends.size() == 1);
    Fail(sends[0], leaf_failure::withdrawn);
    DrainSends();
    return sends[0].instance;
  };
  CHECK(chosen(1) == slow.instance);
  CHECK(Core().Counters().shared_choices == 0);
  CHECK(chosen(2) == other.instance);
  CHECK(Core().Counters().figures_received == 2);
}

// Guards against figures from a host that has no clients.
TEST_CASE_METHOD(gateway_fixture, "Gateway_OnlyEntryHosts_SendFigures") {
  Configure(Config());
  RegisterAll({"a-1", "b-1"});
  const auto run = [&] {
    for (int i = 0; i < 200; ++i) {
      const exchange_id id = Request("/read/x");
      AdvanceTime(milliseconds(i < 100 ? 10 : 30));
      for (const auto& call : DrainSends()) Reply(call, Success(call));
      CHECK(AnswersOf(id) == 1);
    }
    Reduce(report_event{});
  };
  Reduce(fleet_event{2, 2, false, {1, 1}, {1, 1}});
  run();
  CHECK(Figures().empty());
  Reduce(fleet_event{2, 2, true, {1, 1}, {1, 1}});
  Reduce(report_event{});
  CHECK_FALSE(Figures().empty());
  CHECK(std::count_if(Logged().begin(), Logged().end(), [](const auto& one) {
          return one.kind == decision::leaf_speed;
        }) > 0);
}

}  // namespace corianderrail::gateway

/** @file load_generator_test.cpp Tests of the load generator's checks. */

#include "driver/load_generator.h"

#include <catch2/catch.hpp>
#include <functional>

#include "driver/deployment.h"

namespace corianderrail::driver {
namespace {

using answer_maker = std::function<effect_list(const caller_query_event&)>;

/** Answers each query with the effects that the test supplies. */
class scripted_host : public fleet_host {
 public:
  explicit scripted_host(answer_maker make) : make_(std::move(make)) {}

  void Start(time_point, effect_list&) override {}
  void Reduce(const event& event, time_point, effect_list& effects) override {
    if (const auto* query = std::get_if<caller_query_event>(&event)) {
      effects = make_(*query);
    }
  }
  time_point NextWake() const override { return kNever; }
  peer_message Envelope(const send_peer_effect&) const override { return {}; }

 private:
  answer_maker make_;
};

/** Violations that the generator counts for a host with these answers. */
answer_violations ViolationsOf(const answer_maker& make) {
  const deployment_plan plan = SmallPlan();
  virtual_fleet fleet(
      {plan.hosts[0]}, plan.delays,
      [&](std::size_t, incarnation_id, time_point) {
        return std::make_unique<scripted_host>(make);
      },
      1);
  fleet.StartHost(0);
  load_generator load(fleet,
                      {{rank::normal, 0, "wide", 2 * kPartitionWidth, 1000.0}},
                      kDeadline, 1);
  load.Start();
  fleet.RunUntil(fleet.Now() + std::chrono::milliseconds(100));
  load.Stop();
  fleet.RunUntil(fleet.Now() + kDeadline);
  REQUIRE(load.Samples().size() > 10);
  answer_violations violations = load.Violations();
  violations.repeated += fleet.repeated_answers;
  return violations;
}

/** A correct answer over both partitions of snapshot 1. */
query_answer GoodAnswer(const caller_query_event& query) {
  query_answer answer;
  answer.request_id = query.request.request_id;
  answer.snapshot = snapshot_id{1};
  answer.coverage = kWholePpm;
  answer.parts = {
      {{0, kPartitionWidth}, "1 0 1000000 " + query.request.payload},
      {{kPartitionWidth, 2 * kPartitionWidth},
       "1 1000000 2000000 " + query.request.payload}};
  return answer;
}

// Guards against checks that count violations in correct answers.
TEST_CASE("LoadGenerator_CorrectAnswers_CountsNoFault") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    return effect_list{answer_query_effect{query.call, GoodAnswer(query)}};
  });
  CHECK(violations.mixed == 0);
  CHECK(violations.overstated == 0);
  CHECK(violations.crossed == 0);
  CHECK(violations.repeated == 0);
}

// Guards against a check that accepts a part of another snapshot.
TEST_CASE("LoadGenerator_PartOfOtherSnapshot_CountsMixed") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    query_answer answer = GoodAnswer(query);
    answer.parts[1].payload[0] = '2';
    return effect_list{answer_query_effect{query.call, answer}};
  });
  CHECK(violations.mixed > 0);
}

// Guards against a check that trusts the ranges stated by the tier instead of
// those that the leafs read.
TEST_CASE("LoadGenerator_LeafReadLessThanStated_CountsOverstated") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    query_answer answer = GoodAnswer(query);
    answer.parts[1].payload = "1 1000000 1999990 " + query.request.payload;
    return effect_list{answer_query_effect{query.call, answer}};
  });
  CHECK(violations.overstated > 0);
}

// Guards against a check that counts keys twice when parts overlap.
TEST_CASE("LoadGenerator_SamePartTwice_CountsOverstated") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    query_answer answer = GoodAnswer(query);
    answer.parts[1] = answer.parts[0];
    return effect_list{answer_query_effect{query.call, answer}};
  });
  CHECK(violations.overstated > 0);
}

// Guards against a check that accepts a part of another caller's query.
TEST_CASE("LoadGenerator_PartOfOtherQuery_CountsCrossed") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    query_answer answer = GoodAnswer(query);
    answer.parts[0].payload += '0';
    return effect_list{answer_query_effect{query.call, answer}};
  });
  CHECK(violations.crossed > 0);
}

// Guards against a simulation that does not count second answers to a call.
TEST_CASE("LoadGenerator_SecondAnswer_CountsRepeated") {
  const answer_violations violations = ViolationsOf([](const auto& query) {
    const answer_query_effect answer{query.call, GoodAnswer(query)};
    return effect_list{answer, answer};
  });
  CHECK(violations.repeated > 0);
}

}  // namespace
}  // namespace corianderrail::driver

/** @file gather_fixture.h query_gather with the components that it uses. */

#pragma once

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/query_gather.h"
#include "entry_fixture.h"

namespace corianderrail {

struct query_gather_fixture : entry_fixture {
  explicit query_gather_fixture(std::size_t services = 4)
      : entry_fixture(services) {
    gather.SetTopology(map, now);
    gather.SetMembers(members);
  }

  void Start(std::uint64_t call = 1, std::string_view customer = "acme") {
    RefreshShares();
    query_request request;
    request.request_id = "r" + std::to_string(call);
    request.customer = customer;
    request.kind = "search";
    request.payload = "text " + std::to_string(call);
    const auto ticket =
        admission_control.Admit(customer, "search", work_type::query, {}, {},
                                std::nullopt, shares, now, refused, effects);
    REQUIRE(ticket);
    gather.Start(call_id{call}, request, *ticket, owners, admission_control,
                 now, effects);
  }

  /** Results of all parts of a batch; each payload identifies its part. */
  static subquery_result ResultOf(const subquery_batch& batch,
                                  part_status status = part_status::ok) {
    subquery_result result{batch.query, batch.snapshot, {}};
    for (const subquery_part& part : batch.parts) {
      part_result each;
      each.partition = part.partition;
      each.service = part.service;
      each.status = status;
      each.newest = batch.snapshot;
      each.payload = PayloadOf(batch.snapshot, part.partition);
      result.parts.push_back(std::move(each));
    }
    return result;
  }

  static std::string PayloadOf(snapshot_id snapshot, partition_id partition) {
    return std::to_string(Raw(snapshot)) + "/" + std::to_string(Raw(partition));
  }

  void Deliver(const send_peer_effect& send, const subquery_result& result) {
    gather.OnSubqueryResult(From({send.to, send.to_incarnation}), result,
                            admission_control, owners, now, effects);
  }

  /** Answers all batches sent so far, except those to `excluded`. */
  void AnswerAllBut(host_id excluded = {}) {
    for (const auto& [send, batch] : Sent<subquery_batch>()) {
      if (send.to != excluded) Deliver(send, ResultOf(batch));
    }
  }

  query_answer OnlyAnswer() const {
    const auto answers = Collect<answer_query_effect>();
    REQUIRE(answers.size() == 1);
    return answers[0].answer;
  }

  void Tick(duration later) {
    now += later;
    gather.OnTick(owners, admission_control, now, effects);
  }

  query_gather gather{{host_id{1}, incarnation_id{101}}, 1};
};

}  // namespace corianderrail

/** @file order_fixture.h An order table with the components that it uses. */

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/order_table.h"
#include "entry_fixture.h"

namespace corianderrail {

/** The order table of host 1. */
struct order_fixture : entry_fixture {
  using sent_attempt = std::pair<send_peer_effect, order_attempt>;

  static constexpr host_ref kHome{host_id{1}, incarnation_id{101}};

  explicit order_fixture(order_settings settings = {})
      : orders(kHome, settings) {
    orders.SetMembers(members);
  }

  std::vector<order_id> Issue(std::uint32_t count,
                              std::string customer = "acme") {
    effect_list fresh;
    orders.OnIssue({call_id{0}, "i", std::move(customer), count},
                   revision_id{7}, now, fresh);
    if (auto* ids = std::get_if<answer_order_ids_effect>(&fresh.at(0))) {
      return ids->ids;
    }
    effects.insert(effects.end(), fresh.begin(), fresh.end());
    return {};
  }

  order_id IssueOne() { return Issue(1).at(0); }

  static order_request RequestFor(order_id id, std::uint64_t number,
                                  std::uint64_t key = 0,
                                  std::string customer = "acme") {
    order_request request;
    request.id = id;
    request.request_id = "r" + std::to_string(number);
    request.customer = std::move(customer);
    request.kind = "buy";
    request.key = key;
    request.payload = "text";
    return request;
  }

  void Order(order_id id, std::uint64_t call, std::uint64_t key = 0,
             std::string customer = "acme") {
    RefreshShares();
    orders.OnOrder(
        {call_id{call}, RequestFor(id, call, key, std::move(customer))},
        admission_control, shares, owners, revision_id{7}, now, effects);
  }

  void Forward(host_ref entry, const order_forward& body) {
    RefreshShares();
    orders.OnForward(From(entry), body, admission_control, shares, owners,
                     revision_id{7}, now, effects);
  }

  /** Delivers a result from the owner to which an attempt was sent. */
  void ResultFrom(const sent_attempt& sent, run_state outcome,
                  std::string payload = {}) {
    order_result result;
    result.id = sent.second.id;
    result.attempt = sent.second.attempt;
    result.service = sent.second.service;
    result.outcome = outcome;
    result.reason = refusal_reason::upstream_refused;
    result.payload = std::move(payload);
    orders.OnResult(From({sent.first.to, sent.first.to_incarnation}), result,
                    admission_control, owners, now, effects);
  }

  /** Delivers a result for the newest attempt. */
  void Result(run_state outcome, std::string payload = {}) {
    ResultFrom(Sent<order_attempt>().back(), outcome, std::move(payload));
  }

  order_status StatusOf(order_id id) {
    effect_list fresh;
    orders.OnStatus({call_id{0}, "q", id}, revision_id{7}, now, fresh);
    return std::get<answer_order_effect>(fresh.at(0)).status;
  }

  std::vector<answer_order_effect> Answers() const {
    return Collect<answer_order_effect>();
  }

  void Tick(duration later) {
    now += later;
    orders.OnTick(admission_control, now, effects);
  }

  void RemoveMember(host_id host) {
    std::erase_if(members, [&](const auto& m) { return m.ref.host == host; });
    owners.SetMembers(members);
    orders.SetMembers(members);
  }

  order_table orders;
};

}  // namespace corianderrail

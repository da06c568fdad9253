/** @file order_forward.cpp Copies and status requests for other homes. */

#include <algorithm>

#include "core/order_table.h"

namespace corianderrail {

namespace {

/// Maximum wait for a home, as a multiple of forward_timeout. The home answers
/// at the order's deadline at the latest, which may exceed one forward_timeout.
constexpr int kMaxForwardTimeouts = 10;

}  // namespace

void order_table::SetMembers(std::span<const member_record> members) {
  members_.clear();
  for (const member_record& member : members) {
    members_[member.ref.host] = member;
  }
}

/** Returns the member with exactly this incarnation; null if that incarnation
 *  is unknown or gone. */
const member_record* order_table::FindMember(host_ref ref) const {
  const auto member = members_.find(ref.host);
  if (member == members_.end()) return nullptr;
  const member_record& record = member->second;
  const bool lost = record.ref != ref || record.state == member_state::gone;
  return lost ? nullptr : &record;
}

std::string order_table::AddressOf(host_id host) const {
  const auto member = members_.find(host);
  return member == members_.end() ? std::string{} : member->second.peer_address;
}

void order_table::OnStatus(const caller_order_status_event& question,
                           revision_id revision, time_point now,
                           effect_list& effects) {
  revision_ = revision;
  if (question.id.home != self_) {
    order_request request;
    request.id = question.id;
    request.request_id = question.request_id;
    Forward(request, true, question.call, question.request_id, now, effects);
    return;
  }
  DropExpired(now);
  order_status status = Lookup(question.id);
  status.payload.clear();
  Reply({question.call, question.request_id, std::nullopt, {}, 0},
        std::move(status), effects);
}

/** Forwards a copy or status request to its home, or answers `home_lost`. */
void order_table::Forward(const order_request& request, bool status_only,
                          call_id call, const std::string& request_id,
                          time_point now, effect_list& effects) {
  const member_record* home = FindMember(request.id.home);
  forward copy{call, request_id, request.id, {}};
  if (home == nullptr || stopped_ || request.id.home.host == self_.host) {
    AnswerForward(copy,
                  UnknownStatus(request.id, refusal_reason::home_lost,
                                "the home of the order is gone; check with the "
                                "upstream before ordering again"),
                  effects);
    return;
  }
  const duration wait =
      request.deadline > duration{}
          ? std::min(request.deadline,
                     kMaxForwardTimeouts * settings_.forward_timeout)
          : settings_.forward_timeout;
  ++counters_.forwarded;
  const std::uint64_t id = next_forward_++;
  copy.expires = now + wait;
  forward_deadlines_.insert({copy.expires, id});
  forwards_.emplace(id, std::move(copy));
  effects.push_back(send_peer_effect{
      request.id.home.host, home->peer_address, request.id.home.incarnation,
      order_forward{id, status_only, wait, request}});
}

void order_table::AnswerForward(const forward& copy, order_status status,
                                effect_list& effects) const {
  status.request_id = copy.request_id;
  effects.push_back(answer_order_effect{copy.call, std::move(status)});
}

void order_table::OnReply(const peer_message& from, const order_reply& body,
                          time_point /*now*/, effect_list& effects) {
  const auto it = forwards_.find(body.forward);
  if (it == forwards_.end()) return;
  const forward& copy = it->second;
  // Only the home knows the outcome. A reply for another order or from another
  // host must not be used.
  if (copy.id != body.status.id || copy.id.home != from.from) return;
  AnswerForward(copy, body.status, effects);
  forward_deadlines_.erase({copy.expires, it->first});
  forwards_.erase(it);
}

void order_table::ExpireForwards(time_point now, effect_list& effects) {
  while (!forward_deadlines_.empty() &&
         forward_deadlines_.begin()->first <= now) {
    const auto it = forwards_.find(forward_deadlines_.begin()->second);
    AnswerForward(it->second,
                  UnknownStatus(it->second.id, refusal_reason::home_lost,
                                "the home of the order did not answer in time; "
                                "ask for the status later"),
                  effects);
    forwards_.erase(it);
    forward_deadlines_.erase(forward_deadlines_.begin());
  }
}

}  // namespace corianderrail

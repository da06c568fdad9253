/** @file order_table.cpp States of an order at its home. */

#include "core/order_table.h"

#include <algorithm>

namespace corianderrail {

namespace {

/// Maximum number of identifiers issued for one request.
constexpr std::uint32_t kMaxIdsPerRequest = 1'000;

/// The unused identifiers of one customer may fill the table divided by this
/// number, so that one customer cannot evict the orders of the others.
constexpr std::uint32_t kUnusedDivisor = 8;

/// Attempts per order: the first, and one more after the first owner answered
/// that it did not run the order.
constexpr std::uint32_t kMaxAttempts = 2;

/// Number of sequences refused before they were issued. Each takes memory until
/// that sequence is reached, so their number is bounded. Further ones are
/// answered `unknown`.
constexpr std::size_t kMaxRefusedAhead = 1'024;

constexpr duration kRetryDelay = std::chrono::seconds(1);

constexpr std::string_view kNewIdHint =
    "; obtain a new identifier to try again";

constexpr std::string_view kNeverIssued =
    "the identifier was never issued; obtain one from /v1/order-ids";

bool IsTerminal(order_state state) {
  return state == order_state::ran || state == order_state::not_run ||
         state == order_state::unknown;
}

std::string RefusalDetail(std::string_view detail) {
  return std::string(detail) + std::string(kNewIdHint);
}

}  // namespace

order_table::order_table(host_ref self, order_settings settings)
    : self_(self), settings_(settings) {}

void order_table::OnIssue(const caller_order_id_event& request,
                          revision_id revision, time_point now,
                          effect_list& effects) {
  revision_ = revision;
  DropExpired(now);
  const std::uint32_t count = std::clamp(request.count, 1U, kMaxIdsPerRequest);
  refusal refused;
  refused.request_id = request.request_id;
  refused.ran = run_state::not_run;
  refused.retry_after = kRetryDelay;
  refused.revision = revision;
  const std::uint32_t unused = unused_[request.customer];
  if (stopped_) {
    refused.reason = refusal_reason::stopping;
    refused.detail = "the host is stopping; ask for other addresses";
  } else if (request.customer.empty()) {
    refused.reason = refusal_reason::unknown_customer;
    refused.detail = "the customer is missing; send its name";
    refused.retry_after = {};
  } else if (unused + count >
             std::max(1U, settings_.max_orders / kUnusedDivisor)) {
    refused.reason = refusal_reason::rate_limit;
    refused.detail = "too many unused identifiers; use them or ask for fewer";
  } else if (!EvictFor(count)) {
    refused.reason = refusal_reason::overloaded;
    refused.detail = "the order table is full; try again later";
  } else {
    answer_order_ids_effect answer{request.call, request.request_id, {}};
    answer.ids.reserve(count);
    while (answer.ids.size() < count) {
      const std::uint64_t sequence = next_sequence_++;
      if (refused_ahead_.erase(sequence) != 0) {
        RecordRefused(sequence, now);
        continue;
      }
      AddEntry(sequence, request.customer, now);
      answer.ids.push_back({self_, sequence});
    }
    counters_.issued += count;
    effects.push_back(std::move(answer));
    return;
  }
  if (unused == 0) unused_.erase(request.customer);
  effects.push_back(refuse_effect{request.call, std::move(refused)});
}

void order_table::AddEntry(std::uint64_t sequence, std::string customer,
                           time_point now) {
  ++unused_[customer];
  entry order;
  order.customer = std::move(customer);
  order.state = order_state::issued;
  order.expires = now + settings_.unused_id_lifetime;
  orders_.emplace(sequence, std::move(order));
  issued_.push_back(sequence);
}

/** Records `not_run` for a sequence that was refused before it was issued. */
void order_table::RecordRefused(std::uint64_t sequence, time_point now) {
  entry order;
  order.state = order_state::not_run;
  order.reason = refusal_reason::unknown_order;
  order.detail = std::string(kNeverIssued);
  order.expires = now + settings_.outcome_retention;
  orders_.emplace(sequence, std::move(order));
  finished_.push_back(sequence);
}

/**
 * Evicts the oldest outcomes, then the oldest unused identifiers, until `count`
 * entries fit. An evicted sequence is below next_sequence_ and not in the
 * table, so it is answered `unknown` and cannot run.
 * @return False when the other entries are pending orders, which stay.
 */
bool order_table::EvictFor(std::uint32_t count) {
  for (auto* queue : {&finished_, &issued_}) {
    while (!queue->empty() && orders_.size() + count > settings_.max_orders) {
      const auto it = orders_.find(queue->front());
      queue->pop_front();
      if (it == orders_.end()) continue;
      const bool used = IsTerminal(it->second.state);
      if (used == (queue == &finished_) &&
          it->second.state != order_state::pending) {
        Erase(it);
      }
    }
  }
  return orders_.size() + count <= settings_.max_orders;
}

void order_table::Erase(entry_table::iterator it) {
  if (it->second.state == order_state::issued) {
    const auto count = unused_.find(it->second.customer);
    if (count != unused_.end() && --count->second == 0) unused_.erase(count);
  }
  orders_.erase(it);
}

/** Removes unused identifiers and outcomes that have expired. */
void order_table::DropExpired(time_point now) {
  for (auto* queue : {&finished_, &issued_}) {
    while (!queue->empty()) {
      const auto it = orders_.find(queue->front());
      const bool matches_queue =
          it != orders_.end() && it->second.state != order_state::pending &&
          IsTerminal(it->second.state) == (queue == &finished_);
      if (matches_queue && it->second.expires > now) break;
      queue->pop_front();
      if (matches_queue) Erase(it);
    }
  }
}

void order_table::OnOrder(const caller_order_event& order,
                          admission& admission_control, limit_share& shares,
                          const ownership& owners, revision_id revision,
                          time_point now, effect_list& effects) {
  revision_ = revision;
  const order_request& request = order.request;
  if (request.id.home != self_) {
    Forward(request, false, order.call, request.request_id, now, effects);
    return;
  }
  OnCopy(request, {order.call, request.request_id, std::nullopt, {}, 0},
         admission_control, shares, owners, now, effects);
}

void order_table::OnForward(const peer_message& from, const order_forward& body,
                            admission& admission_control, limit_share& shares,
                            const ownership& owners, revision_id revision,
                            time_point now, effect_list& effects) {
  revision_ = revision;
  waiter recipient{
      {}, body.request.request_id, from.from, from.from_address, body.forward};
  if (body.status_only) {
    DropExpired(now);
    order_status status = Lookup(body.request.id);
    status.payload.clear();
    Reply(recipient, std::move(status), effects);
    return;
  }
  order_request request = body.request;
  if (request.deadline > duration{}) {
    request.deadline = std::min(request.deadline, body.remaining);
  }
  OnCopy(request, std::move(recipient), admission_control, shares, owners, now,
         effects);
}

/** Handles a copy of an order at its home. The first copy starts the order. */
void order_table::OnCopy(const order_request& request, waiter recipient,
                         admission& admission_control, limit_share& shares,
                         const ownership& owners, time_point now,
                         effect_list& effects) {
  // The timer may be late, for example after the process was paused. An expired
  // identifier must not start an order, and no copy may wait for an expired
  // order.
  DropExpired(now);
  ExpirePending(&admission_control, now, effects);
  const auto it = request.id.home == self_ ? orders_.find(request.id.sequence)
                                           : orders_.end();
  if (it == orders_.end()) {
    Reply(recipient, Lookup(request.id), effects);
    return;
  }
  entry& order = it->second;
  const bool issued = !order.customer.empty();
  if (issued && order.customer != request.customer) {
    // If the caller only misspelled its own name, its order may have run, so
    // `not_run` would be wrong.
    Reply(recipient,
          UnknownStatus(request.id, refusal_reason::unknown_order,
                        "the identifier belongs to another customer; obtain "
                        "your own"),
          effects);
    return;
  }
  if (order.state == order_state::issued) {
    StartOrder(it, request, admission_control, shares, owners, now, effects);
  } else {
    ++counters_.copies;
  }
  if (order.state == order_state::pending) {
    order.waiters.push_back(std::move(recipient));
    return;
  }
  Reply(recipient, StatusOf(it->first, order), effects);
}

/** Admits and starts an issued order. A refusal is recorded as `not_run`. */
void order_table::StartOrder(entry_table::iterator it,
                             const order_request& request,
                             admission& admission_control, limit_share& shares,
                             const ownership& owners, time_point now,
                             effect_list& effects) {
  entry& order = it->second;
  if (stopped_) {
    Finish(it, order_state::not_run, refusal_reason::stopping,
           RefusalDetail("the host is stopping"), now, effects);
    return;
  }
  admission_refusal refused;
  auto ticket = admission_control.Admit(
      request.customer, request.kind, work_type::order, request.deadline,
      request.seen_revision, request.key, shares, now, refused, effects);
  if (!ticket) {
    order.retry_after = refused.retry_after;
    Finish(it, order_state::not_run, refused.reason,
           RefusalDetail(refused.detail), now, effects);
    return;
  }
  const auto owner = owners.OwnerOf(*ticket->service);
  if (!owner) {
    order.retry_after = kRetryDelay;
    Finish(it, order_state::not_run, refusal_reason::not_ready,
           RefusalDetail("no host is ready for the service of this key"), now,
           effects);
    admission_control.OnFinished(*ticket, false, now);
    return;
  }
  const auto unused = unused_.find(order.customer);
  if (unused != unused_.end() && --unused->second == 0) unused_.erase(unused);
  order.state = order_state::pending;
  order.payload = request.payload;
  order.key = request.key;
  order.started = now;
  order.expires = ticket->deadline;
  order.ticket = std::move(ticket);
  ++pending_;
  deadlines_.insert({order.expires, it->first});
  SendAttempt(it->first, order, *owner, now, effects);
}

/** Sends an attempt to one incarnation of an owner. */
void order_table::SendAttempt(std::uint64_t sequence, entry& order,
                              host_ref owner, time_point now,
                              effect_list& effects) {
  order.owner = owner;
  ++order.attempt;
  order_attempt body;
  body.id = {self_, sequence};
  body.attempt = order.attempt;
  body.service = *order.ticket->service;
  body.collection = order.ticket->work->collection;
  body.urgency = order.ticket->work->urgency;
  body.key = order.key;
  body.remaining = order.expires - now;
  body.payload = order.payload;
  effects.push_back(send_peer_effect{owner.host, AddressOf(owner.host),
                                     owner.incarnation, std::move(body)});
}

void order_table::OnResult(const peer_message& from, const order_result& body,
                           admission& admission_control,
                           const ownership& owners, time_point now,
                           effect_list& effects) {
  admission_control.OnServiceWait(body.service, body.wait, now);
  if (body.id.home != self_) return;
  const auto it = orders_.find(body.id.sequence);
  if (it == orders_.end()) return;
  entry& order = it->second;
  const bool matches = order.attempt != 0 && order.attempt == body.attempt &&
                       order.owner == from.from;
  if (!matches) return;
  if (order.state == order_state::unknown) {
    RecordLateOutcome(order, body);
    return;
  }
  if (order.state != order_state::pending) return;
  const admission_ticket ticket = *order.ticket;
  if (body.outcome == run_state::not_run) {
    if (RetryAtNewOwner(it, owners, now, effects)) return;
    order.retry_after = kRetryDelay;
    Finish(it, order_state::not_run, body.reason,
           RefusalDetail("the upstream did not run the order"), now, effects);
  } else if (body.outcome == run_state::ran) {
    order.payload = body.payload;
    Finish(it, order_state::ran, {}, {}, now, effects);
  } else {
    Finish(it, order_state::unknown, body.reason,
           "the order may have run; check with the upstream", now, effects);
  }
  const bool in_time = body.outcome == run_state::ran &&
                       now - order.started <= ticket.work->latency_target;
  admission_control.OnFinished(ticket, in_time, now);
}

/**
 * Records an outcome that arrived after the deadline. At most one attempt is
 * open, so the late outcome is final and replaces `unknown` in status answers.
 */
void order_table::RecordLateOutcome(entry& order, const order_result& body) {
  if (body.outcome == run_state::unknown) return;
  const bool ran = body.outcome == run_state::ran;
  order.state = ran ? order_state::ran : order_state::not_run;
  order.reason = ran ? refusal_reason{} : body.reason;
  order.detail =
      ran ? std::string{}
          : RefusalDetail("the upstream did not run the order in time");
  order.payload = ran ? body.payload : std::string{};
}

/** Sends a second attempt if the service has a new owner. */
bool order_table::RetryAtNewOwner(entry_table::iterator it,
                                  const ownership& owners, time_point now,
                                  effect_list& effects) {
  entry& order = it->second;
  if (stopped_ || order.attempt >= kMaxAttempts) return false;
  if (now >= order.expires) return false;
  const auto owner = owners.OwnerOf(*order.ticket->service);
  if (!owner || *owner == order.owner) return false;
  SendAttempt(it->first, order, *owner, now, effects);
  return true;
}

/** Records an outcome and answers all waiters. */
void order_table::Finish(entry_table::iterator it, order_state state,
                         refusal_reason reason, std::string detail,
                         time_point now, effect_list& effects) {
  entry& order = it->second;
  if (order.state == order_state::pending) {
    deadlines_.erase({order.expires, it->first});
    --pending_;
  } else {
    const auto unused = unused_.find(order.customer);
    if (unused != unused_.end() && --unused->second == 0) unused_.erase(unused);
  }
  order.state = state;
  order.reason = reason;
  order.detail = std::move(detail);
  if (state != order_state::ran) order.payload.clear();
  order.expires = now + settings_.outcome_retention;
  order.ticket.reset();
  finished_.push_back(it->first);
  if (state == order_state::ran) ++counters_.ran;
  if (state == order_state::not_run) ++counters_.not_run;
  if (state == order_state::unknown) ++counters_.unknown;
  for (const waiter& recipient : std::exchange(order.waiters, {})) {
    Reply(recipient, StatusOf(it->first, order), effects);
  }
}

order_status order_table::StatusOf(std::uint64_t sequence,
                                   const entry& order) const {
  order_status status;
  status.id = {self_, sequence};
  status.state = order.state;
  status.reason = order.reason;
  status.detail = order.detail;
  status.retry_after = order.retry_after;
  status.revision = revision_;
  if (order.state == order_state::ran) status.payload = order.payload;
  return status;
}

order_status order_table::UnknownStatus(const order_id& id,
                                        refusal_reason reason,
                                        std::string detail) const {
  order_status status;
  status.id = id;
  status.state = order_state::unknown;
  status.reason = reason;
  status.detail = std::move(detail);
  status.revision = revision_;
  return status;
}

/** Returns the status of an identifier at this home. */
order_status order_table::Lookup(const order_id& id) {
  if (id.home != self_) {
    return UnknownStatus(id, refusal_reason::home_lost,
                         "the home of the order restarted; check with the "
                         "upstream before ordering again");
  }
  const auto it = orders_.find(id.sequence);
  if (it != orders_.end()) return StatusOf(id.sequence, it->second);
  if (id.sequence == 0 || id.sequence >= next_sequence_) {
    return NeverIssued(id);
  }
  return UnknownStatus(id, refusal_reason::outcome_unknown,
                       "the order is no longer remembered and cannot run any "
                       "more; check with the upstream");
}

/**
 * Refuses a sequence that was never issued. It will not be issued later either,
 * so `not_run` remains correct.
 */
order_status order_table::NeverIssued(const order_id& id) {
  const bool known = id.sequence == 0 || refused_ahead_.contains(id.sequence);
  if (!known && refused_ahead_.size() >= kMaxRefusedAhead) {
    return UnknownStatus(id, refusal_reason::unknown_order,
                         "the identifier was not issued here; obtain one from "
                         "/v1/order-ids");
  }
  if (id.sequence != 0) refused_ahead_.insert(id.sequence);
  order_status status = UnknownStatus(id, refusal_reason::unknown_order,
                                      std::string(kNeverIssued));
  status.state = order_state::not_run;
  return status;
}

void order_table::Reply(const waiter& recipient, order_status status,
                        effect_list& effects) const {
  status.request_id = recipient.request_id;
  if (!recipient.entry) {
    effects.push_back(answer_order_effect{recipient.call, std::move(status)});
    return;
  }
  effects.push_back(send_peer_effect{
      recipient.entry->host, recipient.address, recipient.entry->incarnation,
      order_reply{recipient.forward, std::move(status)}});
}

void order_table::OnCallerGone(call_id call) {
  for (const auto& [expires, sequence] : deadlines_) {
    std::erase_if(orders_.at(sequence).waiters, [&](const waiter& recipient) {
      return !recipient.entry && recipient.call == call;
    });
  }
  std::erase_if(forwards_, [&](const auto& item) {
    if (item.second.call != call) return false;
    forward_deadlines_.erase({item.second.expires, item.first});
    return true;
  });
}

/** Ends pending orders at their deadline as `unknown`, because their attempt
 * may have run. */
void order_table::ExpirePending(admission* admission_control, time_point now,
                                effect_list& effects) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto it = orders_.find(deadlines_.begin()->second);
    const admission_ticket ticket = *it->second.ticket;
    Finish(it, order_state::unknown, refusal_reason::outcome_unknown,
           "no outcome before the deadline; ask for the status later", now,
           effects);
    if (admission_control != nullptr)
      admission_control->OnFinished(ticket, false, now);
  }
}

void order_table::OnTick(admission& admission_control, time_point now,
                         effect_list& effects) {
  ExpirePending(&admission_control, now, effects);
  ExpireForwards(now, effects);
  DropExpired(now);
}

time_point order_table::NextWake() const {
  time_point wake = kNever;
  if (!deadlines_.empty()) wake = deadlines_.begin()->first;
  if (!forward_deadlines_.empty()) {
    wake = std::min(wake, forward_deadlines_.begin()->first);
  }
  for (const auto* queue : {&finished_, &issued_}) {
    if (queue->empty()) continue;
    const auto it = orders_.find(queue->front());
    if (it != orders_.end()) wake = std::min(wake, it->second.expires);
  }
  return wake;
}

void order_table::OnClockGap(admission& admission_control, time_point now,
                             effect_list& effects) {
  OnTick(admission_control, now, effects);
}

void order_table::StopNow(time_point now, effect_list& effects) {
  stopped_ = true;
  while (!deadlines_.empty()) {
    Finish(orders_.find(deadlines_.begin()->second), order_state::unknown,
           refusal_reason::stopping,
           "the host stopped before the outcome was known; check with the "
           "upstream",
           now, effects);
  }
  for (const auto& [id, copy] : std::exchange(forwards_, {})) {
    AnswerForward(copy,
                  UnknownStatus(copy.id, refusal_reason::stopping,
                                "the host is stopping; ask another host for "
                                "the status"),
                  effects);
  }
  forward_deadlines_.clear();
}

}  // namespace corianderrail

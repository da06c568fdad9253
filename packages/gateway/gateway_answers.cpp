/** @file gateway_answers.cpp Handles requests from arrival to the answer. */

#include <algorithm>
#include <string_view>
#include <utility>

#include "gateway/admission/record_merge.h"
#include "gateway/gateway.h"
#include "gateway/gateway_state.h"
#include "gateway/http_status.h"
#include "gateway/leafs/answer_kind.h"

namespace corianderrail::gateway {

namespace {

/** Retry-After when leafs are full or did not run the request, and while the
 *  configuration is not loaded. A leaf has capacity again after about one
 *  request. */
constexpr duration kRetrySoon = std::chrono::milliseconds(50);
constexpr duration kRetryConfig = std::chrono::milliseconds(200);

/** Retry-After while neither the store nor a peer answers a host that knows no
 *  configuration. Clients with less time return earlier. */
constexpr duration kRetryDelayed = std::chrono::milliseconds(1000);

/** Time to read a request and to write an answer on a host without other work.
 */
constexpr duration kHandlingTime = std::chrono::milliseconds(5);

/** Maximum wait for the first configuration, and maximum number of requests
 *  that wait for it. */
constexpr duration kMaxStartupWait = std::chrono::milliseconds(400);
constexpr std::size_t kMaxUnrouted = 1000;

/** Retry-After when too few leafs are eligible. A leaf returns after a probe or
 *  when it is registered again. */
constexpr duration kRetryNoLeaf = std::chrono::milliseconds(400);

/** Parts up to this size wait as they are. */
constexpr std::size_t kMaxWaitingPartBytes = 4096;

std::string Micros(duration value) { return std::to_string(value.count()); }

answer_outcome OutcomeOf(const client_answer& answer) {
  if (answer.cause != refusal_cause::none) return answer_outcome::refused;
  return answer.missing_parts > 0 ? answer_outcome::partial
                                  : answer_outcome::whole;
}

client_answer Forwarded(leaf_answer& from) {
  client_answer answer;
  answer.status = from.status;
  answer.fields = std::move(from.fields);
  answer.body = std::move(from.body);
  return answer;
}

}  // namespace

void gateway::On(request_event& input, time_point now) {
  ++counters_.requests;
  const auto id = static_cast<std::uint64_t>(input.exchange);
  auto fresh = std::make_unique<exchange>();
  exchange& pending = *fresh;
  pending.id = input.exchange;
  pending.request = std::move(input.request);
  pending.arrived = now;
  pending.arrival = id;
  exchanges_.emplace(id, std::move(fresh));
  CheckSoon(now);
  if (stopping_) {
    Refuse(pending, refusal_cause::stopping, {}, now);
    return;
  }
  if (!CanServe()) {
    WaitForConfiguration(pending, now);
    return;
  }
  Begin(pending, now);
}

/**
 * Holds a request that arrived while this host starts. The configuration and
 * the leaf registry usually arrive within a fraction of a second, before a
 * client would retry.
 */
void gateway::WaitForConfiguration(exchange& pending, time_point now) {
  const duration left =
      pending.request->remaining_time.value_or(kMaxStartupWait);
  pending.deadline = now + std::min(left, kMaxStartupWait);
  if (startup_delayed_) {
    Refuse(pending, refusal_cause::no_configuration, kRetryDelayed, now);
    return;
  }
  if (unrouted_.size() >= kMaxUnrouted) {
    Refuse(pending, refusal_cause::no_configuration, kRetryConfig, now);
    return;
  }
  unrouted_.push_back(static_cast<std::uint64_t>(pending.id));
  Schedule(pending, pending.deadline);
}

/** While no source answers, no wait is expected to help: requests are refused
 * at once, and their clients can use the rest of their time. */
void gateway::On(startup_event& input, time_point now) {
  startup_delayed_ = input.delayed;
  if (!startup_delayed_ || CanServe()) return;
  for (const std::uint64_t id : std::exchange(unrouted_, {})) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    Refuse(*found->second, refusal_cause::no_configuration, kRetryDelayed, now);
  }
}

void gateway::On(leaving_event& input, time_point /*now*/) {
  finish_at_ = input.finish_at;
}

/** Ends the time of all open requests, so that each gets the answer that it
 *  would get at its deadline: the parts that arrived, or a refusal. */
void gateway::On(stop_event& input, time_point now) {
  stopping_ = true;
  if (!input.finish) return;
  std::vector<std::uint64_t> open;
  open.reserve(exchanges_.size());
  for (const auto& [id, pending] : exchanges_) open.push_back(id);
  for (const std::uint64_t id : open) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    exchange& pending = *found->second;
    pending.objective_at = std::min(pending.objective_at, now);
    pending.deadline = now;
    Advance(id, now);
  }
}

/** Starts the requests that waited for the configuration and the leafs. */
void gateway::BeginUnrouted(time_point now) {
  if (!CanServe()) return;
  for (const std::uint64_t id : std::exchange(unrouted_, {})) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end()) Begin(*found->second, now);
  }
}

/** Part of the latency that a client sees before this host reads its request
 * and after it has sent the answer. Called once for each request, which counts
 * in the statistics of its route's clients. */
duration gateway::TimeOutsideHost(const exchange& pending) {
  const client_request& request = *pending.request;
  const duration path = request.round_trip ? *request.round_trip + kHandlingTime
                                           : settings_.client_network_time;
  std::optional<duration> before;
  if (request.remaining_time) {
    before = pending.stats->clients.Add(*request.remaining_time,
                                        pending.matched->objective / 2);
  }
  // Without a known time limit, at least the opening of a connection is known.
  const bool opened = request.new_connection && request.round_trip;
  if (!before && opened) before = request.round_trip;
  return path + before.value_or(duration{}) + lag_.At(pending.arrived);
}

/** Finds the route of a request and sends its parts. */
void gateway::Begin(exchange& pending, time_point now) {
  const auto id = static_cast<std::uint64_t>(pending.id);
  pending.matched = routes_->Find(pending.request->host, pending.request->path);
  if (pending.matched == nullptr) {
    Refuse(pending, refusal_cause::no_route, {}, now);
    return;
  }
  pending.config = routes_->Shared();
  pending.homes.Require(HomesOf(pending.config, *pending.matched));
  if (!pending.homes.PermitsRegion(settings_.here.region))
    ++counters_.arrived_outside_homes;
  auto& stats = stats_[pending.matched->name];
  if (!stats) stats = std::make_shared<route_stats>();
  pending.stats = stats;
  const duration limit = pending.matched->timeout;
  pending.deadline =
      pending.arrived +
      std::min(pending.request->remaining_time.value_or(limit), limit);
  pending.returned =
      HasReturned(pending.request->remaining_time.value_or(limit), limit);
  // Its leaf could still work on it when this host exits, and its client could
  // not learn whether it ran. Another host can serve it in its whole time.
  if (!pending.Idempotent() && pending.deadline > finish_at_) {
    Refuse(pending, refusal_cause::stopping, {}, now);
    return;
  }
  pending.objective_at =
      pending.arrived +
      std::max(pending.matched->objective - TimeOutsideHost(pending),
               pending.matched->objective / 2);
  if (StartParts(pending, now)) Advance(id, now);
}

/** True when enough shards have an eligible leaf for a useful answer. */
bool gateway::EnoughLeafs(const exchange& pending, time_point now) const {
  gather_progress best_case;
  best_case.shards = static_cast<std::uint32_t>(pending.parts.size());
  best_case.min_ratio =
      pending.matched->Gathers() ? pending.matched->min_shard_ratio : 1.0;
  for (const part& piece : pending.parts) {
    const bool usable =
        selector_.HasUsable(piece.service->name, pending.homes, now);
    if (usable) ++best_case.answered;
  }
  return IsUseful(best_case);
}

/**
 * Sends or queues each part of a request.
 * @return False when the request was refused, because too few leafs are
 * eligible or its expected wait is too long.
 */
bool gateway::StartParts(exchange& pending, time_point now) {
  if (pending.matched->Gathers()) {
    pending.parts.resize(pending.matched->shards.size());
    for (std::size_t i = 0; i < pending.parts.size(); ++i) {
      pending.parts[i].service = Service(pending.matched->shards[i]);
    }
  } else {
    pending.parts.resize(1);
    const auto& targets = pending.matched->targets;
    const std::size_t target = pending.stats->split.Next(targets);
    pending.parts[0].service = Service(targets[target].service);
  }
  if (!EnoughLeafs(pending, now)) {
    RefuseFailed(pending, refusal_cause::no_leaf, now);
    return false;
  }
  if (!Admit(pending, now)) return false;
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    Place(pending, i, send_cause::first, now);
  }
  Schedule(pending, pending.objective_at);
  Schedule(pending, pending.deadline);
  return true;
}

/** Refuses a request that cannot be answered in time, or whose rank was served
 *  more often than a more urgent one while leafs are full. */
bool gateway::Admit(exchange& pending, time_point now) {
  if (pending.returned) ++counters_.returned;
  pending.estimate = EstimateWait(pending, now);
  const request_estimate& estimate = pending.estimate;
  // A request that this host held while it started is served even if it is late
  // by now: its client cannot get an earlier answer anywhere.
  const bool was_held = now > pending.arrived;
  const time_point useful_until =
      was_held ? pending.deadline : pending.objective_at;
  const duration usual = pending.stats->TailLatency(
      settings_.here.zone, settings_.here, pending.matched->objective, now);
  const bool in_time = IsWorthQueueing(estimate, usual, useful_until - now);
  const bool admitted = in_time && !YieldsToRank(pending, now);
  for (const part& piece : pending.parts) {
    piece.service->shares.Add(pending.matched->rank, admitted, now);
  }
  if (admitted) return true;
  ++(in_time ? counters_.refused_for_rank : counters_.refused_late);
  pending.admission =
      in_time ? admission_outcome::rank : admission_outcome::late;
  if (pending.returned) ++counters_.returned_refused;
  Refuse(pending, refusal_cause::overloaded,
         retry_schedule_.Next(estimate, now), now);
  return false;
}

/** True when a more urgent rank was served less often by a service that has no
 *  spare room. */
bool gateway::YieldsToRank(const exchange& pending, time_point now) const {
  return std::any_of(
      pending.parts.begin(), pending.parts.end(), [&](const part& piece) {
        return !piece.service->queue.HasSpareRoom(now) &&
               piece.service->shares.Yields(pending.matched->rank, now);
      });
}

void gateway::Schedule(exchange& pending, time_point at) {
  if (at == kNever) return;
  timers_.push({at, false, static_cast<std::uint64_t>(pending.id)});
}

void gateway::Advance(std::uint64_t id, time_point now) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  exchange& pending = *found->second;
  if (pending.matched == nullptr) {
    if (now < pending.deadline) return;
    Refuse(pending, refusal_cause::no_configuration, kRetryConfig, now);
    return;
  }
  if (now >= pending.objective_at) MarkWaitingLate(pending);
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    part& piece = pending.parts[i];
    if (piece.state == part::phase::open && piece.hedge_at <= now) {
      Hedge(pending, i, now);
    }
  }
  if (pending.matched->Gathers()) {
    FinishGather(pending, now);
  } else {
    FinishPlain(pending, now);
  }
}

/** A part waits for the others with the records that its answer can use only:
 *  large bodies of many parts would fill the memory meanwhile. */
void gateway::DropNeedlessRecords(const exchange& pending, part& piece) {
  std::string& body = piece.answer.body;
  if (body.size() <= kMaxWaitingPartBytes) return;
  const std::string_view whole = body;
  body = MergeGreatest(std::span(&whole, 1), pending.matched->top_records);
}

void gateway::HandleAnswer(exchange& pending, std::size_t index,
                           open_request& call, leaf_answer& answer,
                           time_point now) {
  part& piece = pending.parts[index];
  --piece.open;
  if (piece.state == part::phase::answered) return;
  const answer_kind kind = KindOf(answer);
  const bool final =
      kind == answer_kind::success ||
      (kind == answer_kind::client_fault && !pending.matched->Gathers());
  if (final) {
    Dequeue(pending, index);
    piece.state = part::phase::answered;
    piece.hedge_at = kNever;
    piece.answer = std::move(answer);
    if (pending.matched->Gathers()) DropNeedlessRecords(pending, piece);
    if (!piece.answer.not_run) pending.may_have_run = true;
    return;
  }
  // Another leaf answered at the address. The intended leaf did not get the
  // request, so the send is not counted as an attempt.
  if (kind == answer_kind::misdirected) std::erase(piece.asked, call.leaf);
  const bool forwardable = kind == answer_kind::failed &&
                           answer.status >= 500 &&
                           answer.status != kStatusUnavailable &&
                           !answer.signature.empty() && !answer.encoded;
  const bool ran = !answer.not_run && kind != answer_kind::misdirected;
  if (forwardable) pending.failure = std::move(answer);
  HandleFailure(pending, index, ran, now);
}

/** Sends a failed part to another leaf, if it may be repeated. */
void gateway::HandleFailure(exchange& pending, std::size_t index, bool ran,
                            time_point now) {
  part& piece = pending.parts[index];
  if (ran) pending.may_have_run = true;
  if (piece.state == part::phase::answered || piece.open > 0) return;
  const bool repeatable = pending.Idempotent() || !ran;
  piece.hedge_at = kNever;
  piece.state = part::phase::failed;
  if (!repeatable || piece.asked.size() >= pending.matched->attempts) return;
  const bool is_repeat = !piece.asked.empty();
  if (is_repeat && !SpendRepeat(pending, piece, repeat_reason::failure, now))
    return;
  Place(pending, index, is_repeat ? send_cause::retry : send_cause::first, now);
  if (!is_repeat) return;
  ++counters_.retries;
  LogRepeat(pending, piece, repeat_reason::failure, now);
}

void gateway::FinishPlain(exchange& pending, time_point now) {
  part& piece = pending.parts[0];
  if (piece.state == part::phase::answered) {
    ++counters_.forwarded;
    Answer(pending, Forwarded(piece.answer), now);
    return;
  }
  if (piece.state == part::phase::failed) {
    if (pending.failure) {
      Answer(pending, Forwarded(*pending.failure), now);
    } else {
      RefuseFailed(pending, refusal_cause::leaf_failed, now);
    }
    return;
  }
  if (now < pending.deadline) return;
  if (piece.open > 0) pending.may_have_run = true;
  RefuseFailed(pending, refusal_cause::timed_out, now);
}

void gateway::FinishGather(exchange& pending, time_point now) {
  gather_progress progress;
  progress.shards = static_cast<std::uint32_t>(pending.parts.size());
  progress.min_ratio = pending.matched->min_shard_ratio;
  progress.objective_at = pending.objective_at;
  progress.deadline = pending.deadline;
  for (const part& piece : pending.parts) {
    if (piece.state == part::phase::answered) ++progress.answered;
    const bool open =
        piece.state == part::phase::open || piece.state == part::phase::waiting;
    if (open) ++progress.open;
    if (piece.open > 0) pending.may_have_run = true;
  }
  const gather_step step = DecideGather(progress, now);
  if (step == gather_step::wait) return;
  if (step == gather_step::fail) {
    RefuseFailed(pending,
                 now >= pending.deadline ? refusal_cause::timed_out
                                         : refusal_cause::too_few_shards,
                 now);
    return;
  }
  client_answer answer;
  answer.status = kStatusOk;
  std::vector<std::string_view> bodies;
  for (const part& piece : pending.parts) {
    const bool answered = piece.state == part::phase::answered;
    // A duplicate signature would make the whole answer invalid.
    const bool unique =
        answered &&
        std::find(answer.part_signatures.begin(), answer.part_signatures.end(),
                  piece.answer.signature) == answer.part_signatures.end();
    if (!unique) {
      ++answer.missing_parts;
      continue;
    }
    answer.part_signatures.push_back(piece.answer.signature);
    bodies.push_back(piece.answer.body);
  }
  answer.body = MergeGreatest(bodies, pending.matched->top_records);
  ++counters_.gathered;
  if (answer.missing_parts > 0) ++counters_.partial;
  Answer(pending, std::move(answer), now);
}

/** Refuses with a Retry-After only if no leaf can have run the request. */
void gateway::RefuseFailed(exchange& pending, refusal_cause cause,
                           time_point now) {
  if (pending.may_have_run) {
    Refuse(pending, cause, {}, now);
    return;
  }
  bool asked = false;
  for (const part& piece : pending.parts) asked |= !piece.asked.empty();
  if (asked) {
    Refuse(pending, refusal_cause::not_run, kRetrySoon, now);
  } else if (EnoughLeafs(pending, now)) {
    Refuse(pending, refusal_cause::overloaded, kRetrySoon, now);
  } else {
    Refuse(pending, refusal_cause::no_leaf, kRetryNoLeaf, now);
  }
}

void gateway::Refuse(exchange& pending, refusal_cause cause,
                     duration retry_after, time_point now) {
  ++counters_.refused[static_cast<std::size_t>(cause)];
  client_answer answer;
  answer.cause = cause;
  switch (cause) {
    case refusal_cause::no_route:
      answer.status = kStatusNotFound;
      break;
    case refusal_cause::leaf_failed:
    case refusal_cause::too_few_shards:
      answer.status = kStatusBadGateway;
      break;
    case refusal_cause::timed_out:
      answer.status = kStatusGatewayTimeout;
      break;
    default:
      answer.status = kStatusUnavailable;
      answer.retry_after = retry_after;
  }
  std::uint32_t answered = 0;
  std::uint32_t sends = 0;
  for (const part& piece : pending.parts) {
    if (piece.state == part::phase::answered) ++answered;
    sends += static_cast<std::uint32_t>(piece.asked.size());
  }
  effects_->push_back(log_effect{
      decision::refused,
      pending.request->attempt,
      {{"cause", std::string(RefusalName(cause))},
       {"route", pending.matched == nullptr ? "" : pending.matched->name},
       {"homes", pending.homes.Names()},
       {"version", std::to_string(static_cast<std::uint64_t>(Version()))},
       {"status", std::to_string(answer.status)},
       {"elapsed_us", Micros(now - pending.arrived)},
       {"left_us",
        pending.matched == nullptr ? "" : Micros(pending.deadline - now)},
       {"wait_us", Micros(pending.estimate.wait)},
       {"finish_us", Micros(pending.estimate.Finish())},
       {"decides", DecidingService(pending)},
       {"because", std::string(AdmissionName(pending.admission))},
       {"returned", pending.returned ? "yes" : "no"},
       {"retry_after_us", Micros(retry_after)},
       {"parts", std::to_string(pending.parts.size())},
       {"answered", std::to_string(answered)},
       {"sends", std::to_string(sends)},
       {"missing", MissingParts(pending)}}});
  Answer(pending, std::move(answer), now);
}

/** Service that decided when the request could be answered. */
std::string gateway::DecidingService(const exchange& pending) {
  const std::size_t index = pending.estimate.part;
  return index < pending.parts.size() ? pending.parts[index].service->name : "";
}

/** Unanswered services, each with the state of its part. */
std::string gateway::MissingParts(const exchange& pending) {
  constexpr std::string_view kPhases[] = {"unsent", "waiting", "open",
                                          "answered", "failed"};
  std::string missing;
  for (const part& piece : pending.parts) {
    if (piece.state == part::phase::answered) continue;
    if (!missing.empty()) missing += ',';
    missing += piece.service->name;
    missing += ':';
    missing += kPhases[static_cast<std::size_t>(piece.state)];
  }
  return missing;
}

/** Logs that a client disconnected before its answer. */
void gateway::LogAbandoned(const exchange& pending, time_point now) {
  std::size_t sends = 0;
  for (const part& piece : pending.parts) sends += piece.asked.size();
  const bool routed = pending.matched != nullptr;
  effects_->push_back(
      log_effect{decision::abandoned,
                 pending.request->attempt,
                 {{"route", routed ? pending.matched->name : ""},
                  {"elapsed_us", Micros(now - pending.arrived)},
                  {"left_us", routed ? Micros(pending.deadline - now) : ""},
                  {"sends", std::to_string(sends)},
                  {"missing", MissingParts(pending)}}});
}

void gateway::Answer(exchange& pending, client_answer answer, time_point now) {
  for (std::size_t i = 0; i < pending.parts.size(); ++i) Dequeue(pending, i);
  if (pending.matched != nullptr) {
    answers_.Add(pending.matched->rank, OutcomeOf(answer),
                 now - pending.arrived);
  }
  if (answer.cause == refusal_cause::none) {
    const bool late = pending.matched != nullptr &&
                      now > pending.arrived + pending.matched->objective;
    if (late) ++counters_.late;
    if (late || answer.missing_parts > 0) {
      effects_->push_back(
          log_effect{late ? decision::late : decision::partial,
                     pending.request->attempt,
                     {{"route", pending.matched->name},
                      {"version", std::to_string(static_cast<std::uint64_t>(
                                      pending.config->version))},
                      {"elapsed_us", Micros(now - pending.arrived)},
                      {"goal_us", Micros(pending.matched->objective)},
                      {"missing", MissingParts(pending)}}});
    }
  }
  effects_->push_back(answer_effect{pending.id, std::move(answer)});
  exchanges_.erase(static_cast<std::uint64_t>(pending.id));
}

}  // namespace corianderrail::gateway

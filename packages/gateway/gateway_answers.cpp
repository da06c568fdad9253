/** @file gateway_answers.cpp From the arrival of a request to its answer. */

#include <algorithm>
#include <string_view>
#include <utility>

#include "gateway/answer_kind.h"
#include "gateway/gateway.h"
#include "gateway/gateway_state.h"
#include "gateway/http_status.h"
#include "gateway/record_merge.h"

namespace corianderrail::gateway {

namespace {

/** When a client may find what was missing: room at a leaf after about one
 *  request, leafs after a probe or the return of their entries. */
constexpr duration kRetrySoon = std::chrono::milliseconds(50);
constexpr duration kRetryConfig = std::chrono::milliseconds(200);

/** Longest wait of a request for the first configuration, and most of them. */
constexpr duration kStartPatience = std::chrono::milliseconds(400);
constexpr std::size_t kMostUnrouted = 1000;
constexpr duration kRetryNoLeaf = std::chrono::milliseconds(400);

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

void gateway::On(request_event& happening, time_point now) {
  ++counters_.requests;
  const auto id = static_cast<std::uint64_t>(happening.exchange);
  auto fresh = std::make_unique<exchange>();
  exchange& one = *fresh;
  one.id = happening.exchange;
  one.request = std::move(happening.request);
  one.arrived = now;
  one.arrival = id;
  exchanges_.emplace(id, std::move(fresh));
  if (!CanServe()) {
    WaitForConfiguration(one, now);
    return;
  }
  Begin(one, now);
}

/**
 * Keeps a request that arrived while this host starts. It knows its routes
 * within a fraction of a second, earlier than the client would come back.
 */
void gateway::WaitForConfiguration(exchange& one, time_point now) {
  const duration left = one.request->time_left.value_or(kStartPatience);
  one.deadline = now + std::min(left, kStartPatience);
  if (unrouted_.size() >= kMostUnrouted) {
    Refuse(one, refusal_cause::no_configuration, kRetryConfig, now);
    return;
  }
  unrouted_.push_back(static_cast<std::uint64_t>(one.id));
  Schedule(one, one.deadline);
}

/** Starts the requests that waited, once their routes are known. */
void gateway::BeginUnrouted(time_point now) {
  if (!CanServe()) return;
  for (const std::uint64_t id : std::exchange(unrouted_, {})) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end()) Begin(*found->second, now);
  }
}

/** Finds the route of a request and asks its leafs. */
void gateway::Begin(exchange& one, time_point now) {
  const auto id = static_cast<std::uint64_t>(one.id);
  one.matched = routes_->Find(one.request->host, one.request->path);
  if (one.matched == nullptr) {
    Refuse(one, refusal_cause::no_route, {}, now);
    return;
  }
  one.config = routes_->Shared();
  auto& stats = stats_[one.matched->name];
  if (!stats) stats = std::make_shared<route_stats>();
  one.stats = stats;
  const duration limit = one.matched->timeout;
  one.deadline =
      one.arrived + std::min(one.request->time_left.value_or(limit), limit);
  one.objective_at = one.arrived + std::max(one.matched->objective -
                                                settings_.caller_allowance,
                                            one.matched->objective / 2);
  if (StartParts(one, now)) Advance(id, now);
}

/** True when enough shards have a leaf that may be asked. */
bool gateway::EnoughLeafs(const exchange& one, time_point now) const {
  gather_progress hoped;
  hoped.shards = static_cast<std::uint32_t>(one.parts.size());
  hoped.min_ratio = one.matched->Gathers() ? one.matched->min_shard_ratio : 1.0;
  for (const part& piece : one.parts) {
    const auto leafs = directory_.Of(piece.service->name);
    const bool usable =
        std::any_of(leafs.begin(), leafs.end(), [&](const leaf_state* leaf) {
          return directory_.Standing(*leaf, now) != leaf_standing::unusable;
        });
    if (usable) ++hoped.answered;
  }
  return IsUseful(hoped);
}

/**
 * Asks a leaf for each part.
 * @return False when the request was refused: leafs would work for nothing.
 */
bool gateway::StartParts(exchange& one, time_point now) {
  if (one.matched->Gathers()) {
    one.parts.resize(one.matched->shards.size());
    for (std::size_t i = 0; i < one.parts.size(); ++i) {
      one.parts[i].service = Service(one.matched->shards[i]);
    }
  } else {
    one.parts.resize(1);
    const auto& targets = one.matched->targets;
    const std::size_t turn = one.stats->turn.Next(targets);
    one.parts[0].service = Service(targets[turn].service);
  }
  if (!EnoughLeafs(one, now)) {
    RefuseFailed(one, refusal_cause::no_leaf, now);
    return false;
  }
  const request_room room = RoomOf(one, now);
  one.expected_wait = room.wait;
  const duration usual = one.stats->Late(settings_.here.zone, settings_.here,
                                         one.matched->objective, now);
  if (!IsWorthQueueing(room, usual, one.objective_at - now)) {
    Refuse(one, refusal_cause::overloaded, returns_.Next(room, now), now);
    return false;
  }
  for (std::size_t i = 0; i < one.parts.size(); ++i) Place(one, i, now);
  Schedule(one, one.objective_at);
  Schedule(one, one.deadline);
  return true;
}

void gateway::Schedule(exchange& one, time_point at) {
  if (at == kNever) return;
  timers_.push({at, false, static_cast<std::uint64_t>(one.id)});
}

void gateway::Advance(std::uint64_t id, time_point now) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  exchange& one = *found->second;
  if (one.matched == nullptr) {
    if (now < one.deadline) return;
    Refuse(one, refusal_cause::no_configuration, kRetryConfig, now);
    return;
  }
  if (now >= one.objective_at) MoveWaitingBack(one);
  for (std::size_t i = 0; i < one.parts.size(); ++i) {
    part& piece = one.parts[i];
    if (piece.state == part::phase::open && piece.hedge_at <= now) {
      Hedge(one, i, now);
    }
  }
  if (one.matched->Gathers()) {
    FinishGather(one, now);
  } else {
    FinishPlain(one, now);
  }
}

void gateway::TakeAnswer(exchange& one, std::size_t index, open_request& call,
                         leaf_answer& answer, time_point now) {
  part& piece = one.parts[index];
  --piece.open;
  if (piece.state == part::phase::answered) return;
  const answer_kind kind = KindOf(answer);
  const bool final =
      kind == answer_kind::success ||
      (kind == answer_kind::client_fault && !one.matched->Gathers());
  if (final) {
    StopWaiting(one, index);
    piece.state = part::phase::answered;
    piece.hedge_at = kNever;
    piece.answer = std::move(answer);
    if (!piece.answer.not_run) one.may_have_run = true;
    return;
  }
  // The address belongs to another leaf, so this one was not asked.
  if (kind == answer_kind::misdirected) std::erase(piece.asked, call.leaf);
  const bool keeps = kind == answer_kind::failed && answer.status >= 500 &&
                     answer.status != kStatusUnavailable &&
                     !answer.proof.empty() && !answer.encoded;
  const bool ran = !answer.not_run && kind != answer_kind::misdirected;
  if (keeps) one.failure = std::move(answer);
  TakeFailure(one, index, ran, now);
}

/** Asks another leaf after a failure, if that is allowed. */
void gateway::TakeFailure(exchange& one, std::size_t index, bool ran,
                          time_point now) {
  part& piece = one.parts[index];
  if (ran) one.may_have_run = true;
  if (piece.state == part::phase::answered || piece.open > 0) return;
  const bool repeatable = one.Idempotent() || !ran;
  piece.hedge_at = kNever;
  piece.state = part::phase::failed;
  if (!repeatable || piece.asked.size() >= one.matched->attempts) return;
  const bool extra = !piece.asked.empty();
  if (extra && !TakeRepeat(one, piece, repeat_reason::failure, now)) return;
  Place(one, index, now);
  if (!extra) return;
  ++counters_.retries;
  LogRepeat(one, piece, repeat_reason::failure, now);
}

void gateway::FinishPlain(exchange& one, time_point now) {
  part& piece = one.parts[0];
  if (piece.state == part::phase::answered) {
    ++counters_.forwarded;
    Answer(one, Forwarded(piece.answer), now);
    return;
  }
  if (piece.state == part::phase::failed) {
    if (one.failure) {
      Answer(one, Forwarded(*one.failure), now);
    } else {
      RefuseFailed(one, refusal_cause::leaf_failed, now);
    }
    return;
  }
  if (now < one.deadline) return;
  if (piece.open > 0) one.may_have_run = true;
  RefuseFailed(one, refusal_cause::timed_out, now);
}

void gateway::FinishGather(exchange& one, time_point now) {
  gather_progress progress;
  progress.shards = static_cast<std::uint32_t>(one.parts.size());
  progress.min_ratio = one.matched->min_shard_ratio;
  progress.objective_at = one.objective_at;
  progress.deadline = one.deadline;
  for (const part& piece : one.parts) {
    if (piece.state == part::phase::answered) ++progress.answered;
    const bool open =
        piece.state == part::phase::open || piece.state == part::phase::waiting;
    if (open) ++progress.open;
    if (piece.open > 0) one.may_have_run = true;
  }
  const gather_step step = DecideGather(progress, now);
  if (step == gather_step::wait) return;
  if (step == gather_step::fail) {
    RefuseFailed(one,
                 now >= one.deadline ? refusal_cause::timed_out
                                     : refusal_cause::too_few_shards,
                 now);
    return;
  }
  client_answer answer;
  answer.status = kStatusOk;
  std::vector<std::string_view> bodies;
  for (const part& piece : one.parts) {
    const bool answered = piece.state == part::phase::answered;
    // A proof that stands twice would make the whole answer wrong.
    const bool fresh =
        answered &&
        std::find(answer.part_proofs.begin(), answer.part_proofs.end(),
                  piece.answer.proof) == answer.part_proofs.end();
    if (!fresh) {
      ++answer.missing_parts;
      continue;
    }
    answer.part_proofs.push_back(piece.answer.proof);
    bodies.push_back(piece.answer.body);
  }
  answer.body = MergeGreatest(bodies, one.matched->top_records);
  ++counters_.gathered;
  if (answer.missing_parts > 0) ++counters_.partial;
  Answer(one, std::move(answer), now);
}

/** Refuses after leafs were asked; only what never ran is called not run. */
void gateway::RefuseFailed(exchange& one, refusal_cause cause, time_point now) {
  if (one.may_have_run) {
    Refuse(one, cause, {}, now);
    return;
  }
  bool asked = false;
  for (const part& piece : one.parts) asked |= !piece.asked.empty();
  if (asked) {
    Refuse(one, refusal_cause::not_run, kRetrySoon, now);
  } else if (EnoughLeafs(one, now)) {
    Refuse(one, refusal_cause::overloaded, kRetrySoon, now);
  } else {
    Refuse(one, refusal_cause::no_leaf, kRetryNoLeaf, now);
  }
}

void gateway::Refuse(exchange& one, refusal_cause cause, duration retry_after,
                     time_point now) {
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
  for (const part& piece : one.parts) {
    if (piece.state == part::phase::answered) ++answered;
    sends += static_cast<std::uint32_t>(piece.asked.size());
  }
  effects_->push_back(log_effect{
      decision::refused,
      one.request->attempt,
      {{"cause", std::string(RefusalName(cause))},
       {"route", one.matched == nullptr ? "" : one.matched->name},
       {"version", std::to_string(static_cast<std::uint64_t>(Version()))},
       {"status", std::to_string(answer.status)},
       {"elapsed_us", Micros(now - one.arrived)},
       {"left_us", one.matched == nullptr ? "" : Micros(one.deadline - now)},
       {"wait_us", Micros(one.expected_wait)},
       {"retry_after_us", Micros(retry_after)},
       {"parts", std::to_string(one.parts.size())},
       {"answered", std::to_string(answered)},
       {"sends", std::to_string(sends)},
       {"missing", MissingParts(one)}}});
  Answer(one, std::move(answer), now);
}

/** Services without an answer, each with the progress of its part. */
std::string gateway::MissingParts(const exchange& one) {
  constexpr std::string_view kPhases[] = {"unsent", "waiting", "open",
                                          "answered", "failed"};
  std::string missing;
  for (const part& piece : one.parts) {
    if (piece.state == part::phase::answered) continue;
    if (!missing.empty()) missing += ',';
    missing += piece.service->name;
    missing += ':';
    missing += kPhases[static_cast<std::size_t>(piece.state)];
  }
  return missing;
}

/** Logs what a client did not wait for. */
void gateway::LogAbandoned(const exchange& one, time_point now) {
  std::size_t sends = 0;
  for (const part& piece : one.parts) sends += piece.asked.size();
  const bool routed = one.matched != nullptr;
  effects_->push_back(
      log_effect{decision::abandoned,
                 one.request->attempt,
                 {{"route", routed ? one.matched->name : ""},
                  {"elapsed_us", Micros(now - one.arrived)},
                  {"left_us", routed ? Micros(one.deadline - now) : ""},
                  {"sends", std::to_string(sends)},
                  {"missing", MissingParts(one)}}});
}

void gateway::Answer(exchange& one, client_answer answer, time_point now) {
  for (std::size_t i = 0; i < one.parts.size(); ++i) StopWaiting(one, i);
  if (one.matched != nullptr) {
    answers_.Add(one.matched->rank, OutcomeOf(answer), now - one.arrived);
  }
  if (answer.cause == refusal_cause::none) {
    const bool late =
        one.matched != nullptr && now > one.arrived + one.matched->objective;
    if (late) ++counters_.late;
    if (late || answer.missing_parts > 0) {
      effects_->push_back(log_effect{
          late ? decision::late : decision::partial,
          one.request->attempt,
          {{"route", one.matched->name},
           {"version",
            std::to_string(static_cast<std::uint64_t>(one.config->version))},
           {"elapsed_us", Micros(now - one.arrived)},
           {"goal_us", Micros(one.matched->objective)},
           {"missing", MissingParts(one)}}});
    }
  }
  effects_->push_back(answer_effect{one.id, std::move(answer)});
  exchanges_.erase(static_cast<std::uint64_t>(one.id));
}

}  // namespace corianderrail::gateway

/** @file load_generator.cpp Sends queries at random and checks the answers. */

#include "driver/load_generator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "driver/deployment.h"

namespace corianderrail::driver {

namespace {

/** All parts of a query start at different multiples of half a partition. The
 *  start of a part divided by kPartStep is therefore its number within the
 *  query; it is below kPartsPerQuery. */
constexpr std::uint64_t kPartStep = kPartitionWidth / 2;
constexpr std::uint64_t kPartsPerQuery = 1 << 13;

}  // namespace

load_generator::load_generator(virtual_fleet& fleet,
                               std::vector<load_stream> streams,
                               duration deadline, std::uint64_t seed)
    : fleet_(fleet), deadline_(deadline), random_(seed) {
  for (load_stream& stream : streams) streams_.push_back({std::move(stream)});
  fleet_.leafs.on_send = [this](const send_leaf_effect& sent) {
    if (sent.request.order) return;
    ++leaf_requests_;
    leaf_parts_.insert(std::stoull(sent.request.payload) * kPartsPerQuery +
                       sent.request.range.begin / kPartStep);
  };
}

void load_generator::Start() {
  for (std::size_t i = 0; i < streams_.size(); ++i) ScheduleNext(i);
}

void load_generator::SetFactor(rank urgency,
                               std::optional<std::uint32_t> collection,
                               double factor) {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    const load_stream& stream = streams_[i].stream;
    if (stream.urgency != urgency) continue;
    if (collection && stream.collection != *collection) continue;
    streams_[i].factor = factor;
    ++streams_[i].generation;
    ScheduleNext(i);
  }
}

void load_generator::Stop() {
  for (stream_state& state : streams_) ++state.generation;
}

void load_generator::ScheduleNext(std::size_t stream) {
  const stream_state& state = streams_[stream];
  const double rate = state.stream.rate_per_s * state.factor;
  if (rate <= 0) return;
  const double wait = -std::log(1 - random_.Unit()) * 1e6 / rate;
  fleet_.After(duration(static_cast<duration::rep>(wait)),
               [this, stream, generation = state.generation] {
                 if (streams_[stream].generation != generation) return;
                 SendQuery(stream);
                 ScheduleNext(stream);
               });
}

void load_generator::SendQuery(std::size_t stream) {
  const load_stream& from = streams_[stream].stream;
  const std::size_t sample = samples_.size();
  query_sample created;
  created.sent = fleet_.Now();
  created.urgency = from.urgency;
  created.collection = static_cast<std::uint8_t>(from.collection);
  samples_.push_back(created);
  caller_query_event query;
  query.request.request_id = std::to_string(sample);
  query.request.customer = CustomerOf(from.urgency);
  query.request.kind = QueryKind(from.name);
  query.request.deadline = deadline_;
  query.request.payload = query.request.request_id;
  fleet_.Call(random_.Below(fleet_.HostCount()), std::move(query),
              [this, sample, keys = from.key_space](const effect* answer) {
                OnAnswer(sample, keys, answer);
              });
}

void load_generator::OnAnswer(std::size_t sample, std::uint64_t keys,
                              const effect* answer) {
  query_sample& ended = samples_[sample];
  if (ended.outcome != query_outcome::open) {
    ++violations_.repeated;
    return;
  }
  ended.elapsed = fleet_.Now() - ended.sent;
  ended.outcome = query_outcome::lost;
  if (answer == nullptr) return;
  if (const auto* got = std::get_if<answer_query_effect>(answer)) {
    CheckAnswer(sample, keys, got->answer);
  } else {
    ended.outcome = query_outcome::refused;
  }
}

void load_generator::CheckAnswer(std::size_t sample, std::uint64_t keys,
                                 const query_answer& answer) {
  query_sample& ended = samples_[sample];
  ended.outcome = answer.status == answer_status::incomplete
                      ? query_outcome::incomplete
                      : query_outcome::answered;
  ended.coverage = answer.coverage;
  ended.parts = static_cast<std::uint32_t>(answer.parts.size());
  bool mixed = false;
  bool crossed = answer.request_id != std::to_string(sample);
  std::uint64_t covered = 0;
  std::uint64_t last_end = 0;
  for (const partition_answer& part : answer.parts) {
    const leaf_payload payload = ParseLeafPayload(part.payload);
    mixed |= payload.snapshot != answer.snapshot;
    crossed |= payload.query != answer.request_id;
    // Keys in two overlapping parts count once.
    const std::uint64_t begin = std::max(payload.range.begin, last_end);
    if (payload.range.end > begin) covered += payload.range.end - begin;
    last_end = std::max(last_end, payload.range.end);
  }
  violations_.mixed += mixed ? 1 : 0;
  violations_.crossed += crossed ? 1 : 0;
  const std::uint64_t true_coverage = covered * kWholePpm / keys;
  violations_.overstated += answer.coverage > true_coverage ? 1 : 0;
}

}  // namespace corianderrail::driver

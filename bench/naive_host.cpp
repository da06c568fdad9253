/** @file naive_host.cpp Baseline that sends each part to a random replica. */

#include "naive_host.h"

#include <utility>

namespace corianderrail::bench {

namespace {

/** Maximum number of requests per part; then the part has failed. */
constexpr std::uint32_t kAttempts = 3;

}  // namespace

void naive_host::Begin(const baseline_part& part, time_point now,
                       effect_list& effects) {
  const auto& replicas = Service(part.service).leafs;
  const leaf_id leaf = replicas[random_.Below(replicas.size())].id;
  leafs_[leaf].waiting.push_back(part);
  SendWaiting(leaf, now, effects);
}

void naive_host::SendWaiting(leaf_id leaf, time_point now,
                             effect_list& effects) {
  leaf_state& state = leafs_[leaf];
  // Without an open connection the request is sent as well, and fails.
  // Otherwise it would wait for a leaf that may be down.
  while (!state.waiting.empty() &&
         (state.used < state.open || state.open == 0)) {
    baseline_part part = state.waiting.front();
    state.waiting.pop_front();
    ++part.attempts;
    ++state.used;
    const leaf_call_id call = SendPart(part, leaf, now, effects);
    sent_[call] = {part, leaf};
  }
}

naive_host::sent_part naive_host::RemoveSent(leaf_call_id call) {
  const auto found = sent_.find(call);
  sent_part sent = found->second;
  sent_.erase(found);
  --leafs_[sent.leaf].used;
  return sent;
}

void naive_host::Retry(const baseline_part& part, time_point now,
                       effect_list& effects) {
  if (part.attempts >= kAttempts || !IsPartOpen(part)) {
    PartFailed(part, now, effects);
    return;
  }
  Begin(part, now, effects);
}

void naive_host::OnReply(leaf_call_id call, const leaf_reply& reply,
                         time_point now, effect_list& effects) {
  const sent_part sent = RemoveSent(call);
  if (reply.status == leaf_status::ok) {
    PartDone(sent.part, reply.payload, now, effects);
  } else {
    Retry(sent.part, now, effects);
  }
  SendWaiting(sent.leaf, now, effects);
}

void naive_host::OnFailure(leaf_call_id call, time_point now,
                           effect_list& effects) {
  const sent_part sent = RemoveSent(call);
  Retry(sent.part, now, effects);
  SendWaiting(sent.leaf, now, effects);
}

void naive_host::OnConnections(leaf_id leaf, std::uint32_t open, time_point now,
                               effect_list& effects) {
  leafs_[leaf].open = open;
  SendWaiting(leaf, now, effects);
}

void naive_host::OnTick(time_point, effect_list&) {}

}  // namespace corianderrail::bench

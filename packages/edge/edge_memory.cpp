/** @file edge_memory.cpp Bounds on what is held for slow clients and leafs. */

#include <string>

#include "edge/edge_state.h"
#include "gateway/admission/memory_shares.h"

namespace corianderrail::edge {

namespace {

/** Bounds of each server that has no clients: its requests are short, and its
 *  largest answer, an explained placement, has 200 KB, twice while it is
 *  written. */
constexpr gateway::byte_bounds kAuxiliaryBounds{1u << 20, 512u << 10,
                                                512u << 10};

}  // namespace

void edge_process::state::SetMemoryBounds() {
  const gateway::client_limits& limits = core.Limits();
  const gateway::memory_shares shares = gateway::SharesOf(
      settings.memory_limit, limits.header_bytes + limits.body_bytes);
  client_server.SetBounds(shares.answers, shares.client_requests);
  leafs.SetBounds(shares);
}

void edge_process::state::StartMemoryBounds() {
  SetMemoryBounds();
  leafs.OnEnd([this](const connection_end& end) { OnConnectionEnd(end); });
  for (http_server* one : {&ready_server, &lookup_server, &metrics_server}) {
    one->SetBounds(kAuxiliaryBounds, kAuxiliaryBounds);
  }
}

void edge_process::state::OnConnectionEnd(const connection_end& end) {
  gateway::log_effect line{gateway::decision::connection_ended, end.peer, {}};
  line.inputs = {{"held", std::string(HeldKindName(end.kind))},
                 {"cause", std::string(EndCauseName(end.cause))},
                 {"bytes", std::to_string(end.bytes)},
                 {"behind_us", std::to_string(end.behind.count())}};
  log.Write(line, Now());
}

}  // namespace corianderrail::edge

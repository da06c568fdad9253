/** @file peer_link.cpp Sends and receives membership messages as datagrams. */

#include "edge/peer_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>
#include <variant>

#include "edge/http_server.h"
#include "edge/process_time.h"
#include "wire/peer_codec.h"

namespace corianderrail::edge {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

udp::endpoint DatagramEndpoint(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return {endpoint.address(), endpoint.port()};
}

}  // namespace

peer_link::peer_link(boost::asio::io_context& io, const member_record& self,
                     membership_settings settings, std::string shared_key,
                     std::uint64_t seed)
    : socket_(io, DatagramEndpoint(self.peer_address)),
      timer_(io),
      members_(self, std::move(settings), seed),
      shared_key_(std::move(shared_key)) {}

void peer_link::Start(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
  effect_list effects;
  members_.Start(Now(), effects);
  // The platform publishes no list of hosts to edge processes, so the list is
  // empty; only the seeds are known.
  members_.OnHostList({}, Now(), effects);
  ExecuteEffects(effects);
  Receive();
  ScheduleTick();
}

void peer_link::SetReady(bool ready) {
  members_.SetReady(ready);
  Tick();
}

void peer_link::SetBusy(bool busy) {
  if (members_.Self().busy == busy) return;
  members_.SetBusy(busy);
  Tick();
}

void peer_link::SetLeaving() {
  members_.SetLeaving();
  Tick();
}

void peer_link::SetRevision(std::uint64_t revision) {
  members_.SetRevision(revision_id{revision});
}

void peer_link::SetSeeds(std::span<const std::string> seeds) {
  members_.SetSeeds(seeds);
}

void peer_link::OnClockGap() {
  effect_list effects;
  members_.OnClockGap(Now(), effects);
  ExecuteEffects(effects);
  ScheduleTick();
}

std::uint64_t peer_link::HighestRevision() const {
  return Raw(members_.HighestRevision());
}

void peer_link::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) OnDatagram({buffer_.data(), size});
        Receive();
      });
}

void peer_link::OnDatagram(std::string_view bytes) {
  ++counters_.received;
  counters_.bytes_received += bytes.size();
  peer_message message;
  try {
    message = DecodePeerMessage(bytes, shared_key_);
  } catch (const wire_error&) {
    ++counters_.refused;
    return;
  }
  effect_list effects;
  const time_point now = Now();
  if (const auto* one = std::get_if<probe>(&message.body)) {
    members_.OnProbe(message, *one, now, effects);
  } else if (const auto* one = std::get_if<probe_request>(&message.body)) {
    members_.OnProbeRequest(message, *one, now, effects);
  } else if (const auto* one = std::get_if<probe_ack>(&message.body)) {
    members_.OnProbeAck(message, *one, now, effects);
  } else if (const auto* one = std::get_if<member_sync>(&message.body)) {
    members_.OnMemberSync(message, *one, now, effects);
  } else if (const auto* one = std::get_if<member_digest>(&message.body)) {
    members_.OnMemberDigest(message, *one, now, effects);
  } else if (auto* one = std::get_if<leaf_figures>(&message.body);
             one == nullptr || !TakeFigures(message, *one)) {
    ++counters_.refused;
  }
  members_.OnTick(now, effects);
  ExecuteEffects(effects);
  ScheduleTick();
}

// Figures of hosts that are not known members cannot be told apart from those
// of a host that uses several addresses.
bool peer_link::TakeFigures(const peer_message& message, leaf_figures& body) {
  const member_record* sender = members_.Find(message.from.host);
  const bool valid = sender != nullptr &&
                     sender->region == members_.Self().region &&
                     body.figures.size() <= kMaxLeafFigures;
  if (valid && on_figures_) {
    on_figures_(message.from.host, std::move(body.figures));
  }
  return valid;
}

void peer_link::SendFigures(const std::vector<leaf_figure>& figures,
                            std::span<const member_record* const> receivers) {
  effect_list effects;
  for (const member_record* to : receivers) {
    effects.push_back(send_peer_effect{to->ref.host, to->peer_address,
                                       to->ref.incarnation,
                                       leaf_figures{figures}});
  }
  const std::uint64_t before = counters_.bytes_sent;
  ExecuteEffects(effects);
  counters_.figure_bytes_sent += counters_.bytes_sent - before;
}

void peer_link::ExecuteEffects(effect_list& effects) {
  for (effect& one : effects) {
    auto* send = std::get_if<send_peer_effect>(&one);
    if (send == nullptr) continue;
    peer_message message;
    message.from = members_.Self().ref;
    message.to_incarnation = send->to_incarnation;
    message.revision = members_.Self().revision;
    message.from_address = members_.Self().peer_address;
    message.body = std::move(send->body);
    const std::string bytes = EncodePeerMessage(message, shared_key_);
    error_code ignored;  // Treated like a lost datagram.
    socket_.send_to(boost::asio::buffer(bytes), DatagramEndpoint(send->address),
                    0, ignored);
    ++counters_.sent;
    counters_.bytes_sent += bytes.size();
    const member_record* receiver = members_.Find(send->to);
    if (receiver != nullptr && receiver->region != members_.Self().region) {
      counters_.bytes_sent_to_other_regions += bytes.size();
    }
  }
  effects.clear();
  if (members_.Generation() == seen_generation_) return;
  seen_generation_ = members_.Generation();
  if (on_change_) on_change_();
}

void peer_link::Tick() {
  effect_list effects;
  members_.OnTick(Now(), effects);
  ExecuteEffects(effects);
  ScheduleTick();
}

void peer_link::ScheduleTick() {
  timer_.expires_at(SteadyTime(members_.NextWake()));
  timer_.async_wait([this](error_code error) {
    if (!error) Tick();
  });
}

}  // namespace corianderrail::edge

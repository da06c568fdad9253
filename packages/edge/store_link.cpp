/** @file store_link.cpp Reads for a store_reader over HTTP. */

#include "edge/store_link.h"

#include <utility>
#include <variant>

#include "edge/process_time.h"
#include "platform/store_codec.h"

namespace corianderrail::edge {

namespace {

using gateway::store_failure;
using gateway::store_read;

constexpr std::string_view kStoreSource = "store";

store_failure FailureOf(get_failure failure) {
  return failure == get_failure::too_large ? store_failure::too_large
                                           : store_failure::unreachable;
}

std::variant<gateway::store_reply, store_failure> DecodeStoreOutcome(
    gateway::store_read_kind kind, const get_outcome& outcome) {
  if (const auto* failure = std::get_if<get_failure>(&outcome)) {
    return FailureOf(*failure);
  }
  const auto& result = std::get<http_result>(outcome);
  return platform::DecodeStoreReply(kind, result.status, result.body);
}

}  // namespace

store_link::store_link(boost::asio::io_context& io,
                       store_link_settings settings)
    : io_(io),
      settings_(std::move(settings)),
      timer_(io),
      probe_timer_(io),
      store_(io, settings_.store_address),
      probe_(io, settings_.store_address),
      reader_({settings_.self, settings_.zone, settings_.seed, settings_.reads,
               settings_.max_age}),
      reported_source_(kStoreSource) {}

void store_link::Start() { ReadNext(); }

// The open watch did not return the change, so its connection may be stalled.
bool store_link::SwitchSource(std::uint64_t missing) {
  if (store_.Receiving() || (peer_ && peer_->Receiving())) return false;
  reader_.OnOverdue(missing, Now());
  RestartRead();
  return true;
}

void store_link::Reconnect() {
  reconnecting_ = true;
  RestartRead();
  reconnecting_ = false;
}

/** Cancels the open read and starts another one. */
void store_link::RestartRead() {
  store_.Cancel();
  if (peer_) peer_->Cancel();
  reader_.ReadNow(Now());
  ReadNext();
}

void store_link::ReadNext() {
  const auto due = reader_.Next(settings_.members(), Now());
  if (due) {
    if (!reader_.Probing()) probe_.Cancel();
    ProbeNext();
    read_began_ = Now();
    if (due->peer) {
      ReadPeer(*due->peer, due->read);
    } else {
      ReadStore(due->read);
    }
    return;
  }
  if (reader_.NextWake() == kNever) return;
  timer_.expires_at(SteadyTime(reader_.NextWake()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ReadNext();
  });
}

/** Probes the store while a peer takes its place or the items are stale. */
void store_link::ProbeNext() {
  const auto due = reader_.NextProbe(Now());
  if (due) {
    ++store_calls_[static_cast<std::size_t>(due->cause)];
    probe_.Get(platform::EncodeStoreRead(*due), due->timeout,
               [this, kind = due->kind](const get_outcome& outcome) {
                 OnProbe(kind, outcome);
               });
    return;
  }
  if (reader_.NextProbeWake() == kNever) return;
  probe_timer_.expires_at(SteadyTime(reader_.NextProbeWake()));
  probe_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ProbeNext();
  });
}

void store_link::OnProbe(gateway::store_read_kind kind,
                         const get_outcome& outcome) {
  auto reply = DecodeStoreOutcome(kind, outcome);
  if (auto* items = std::get_if<gateway::store_reply>(&reply)) {
    settings_.on_update(reader_.OnProbeAnswered(std::move(*items), Now()));
  } else if (NeedsListing(std::get<store_failure>(reply))) {
    reader_.OnProbeCompacted(Now());
    if (reader_.ListsStore()) return;
  } else {
    reader_.OnProbeFailed(Now());
    ProbeNext();
    return;
  }
  // An answer that has begun is worth waiting for.
  if (store_.Receiving() || (peer_ && peer_->Receiving())) return;
  Reconnect();
}

void store_link::ReadStore(const store_read& read) {
  ++store_calls_[static_cast<std::size_t>(read.cause)];
  store_.Get(platform::EncodeStoreRead(read), read.timeout,
             [this, kind = read.kind](const get_outcome& outcome) {
               auto reply = DecodeStoreOutcome(kind, outcome);
               if (const auto* failed = std::get_if<store_failure>(&reply)) {
                 OnFailure(*failed);
                 return;
               }
               OnReply(std::get<gateway::store_reply>(std::move(reply)), {});
             });
}

void store_link::ReadPeer(const std::string& address, const store_read& read) {
  ++relay_calls_;
  if (!peer_ || peer_address_ != address) {
    peer_ = std::make_unique<http_getter>(io_, address);
    peer_address_ = address;
  }
  const relay_request request{read.kind, read.revision, read.wait};
  peer_->Get(EncodeRelayRequest(request), read.timeout,
             [this](const get_outcome& outcome) {
               if (const auto* failed = std::get_if<get_failure>(&outcome)) {
                 OnFailure(FailureOf(*failed));
                 return;
               }
               const auto& result = std::get<http_result>(outcome);
               auto reply = DecodeRelayReply(result.status, result.body);
               if (const auto* failed = std::get_if<store_failure>(&reply)) {
                 OnFailure(*failed);
                 return;
               }
               auto& relayed = std::get<relay_reply>(reply);
               OnReply(std::move(relayed.items), relayed.freshness);
             });
}

void store_link::OnReply(gateway::store_reply reply,
                         const gateway::reply_freshness& freshness) {
  const auto update = reader_.OnReply(std::move(reply), freshness, Now());
  ReportSource({});
  Finish(update);
}

void store_link::OnFailure(store_failure failure) {
  if (reconnecting_) {
    Finish(reader_.OnCanceled(Now()));
    return;
  }
  const auto update = reader_.OnFailure(failure, Now());
  ++failures_[static_cast<std::size_t>(failure)];
  if (NeedsListing(failure)) {
    settings_.on_relist(failure);
  } else {
    ReportSource(failure);
  }
  Finish(update);
}

void store_link::Finish(const std::optional<gateway::store_update>& update) {
  if (update) settings_.on_update(*update);
  ReadNext();
}

std::string_view store_link::Source() const {
  return reader_.ReadsStore() ? kStoreSource : std::string_view(peer_address_);
}

void store_link::ReportSource(std::optional<store_failure> failure) {
  const std::string_view source = Source();
  if (reported_reachable_ == !failure && reported_source_ == source) return;
  reported_reachable_ = !failure;
  reported_source_ = std::string(source);
  settings_.on_source({source, failure, Now() - read_began_});
}

}  // namespace corianderrail::edge

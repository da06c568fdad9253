/** @file store_link.cpp Reads of a store_follower over HTTP. */

#include "edge/store_link.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "edge/process_time.h"
#include "platform/store_codec.h"

namespace corianderrail::edge {

namespace {

using gateway::store_failure;
using gateway::store_read;

/** Longest wait at a peer; its answers tell how old its items are. */
constexpr duration kPeerWait = std::chrono::seconds(2);

/** Time for the answer of a peer beyond the wait. */
constexpr duration kPeerTimeout = std::chrono::milliseconds(1200);

constexpr std::string_view kStore = "store";

}  // namespace

store_link::store_link(boost::asio::io_context& io,
                       store_link_settings settings)
    : io_(io),
      settings_(std::move(settings)),
      timer_(io),
      store_(io, settings_.store_address),
      follower_(settings_.topic, {}, settings_.seed),
      sources_(settings_.self, {}),
      told_source_(kStore) {}

void store_link::Start() { Run(); }

// An open watch has not told of the change, so its connection may be silent.
void store_link::Hurry() {
  sources_.OnFailure(Now());
  Abandon();
}

void store_link::Renew() {
  renewing_ = true;
  Abandon();
  renewing_ = false;
}

/** Ends the open read and begins another one. */
void store_link::Abandon() {
  store_.Abandon();
  if (peer_) peer_->Abandon();
  follower_.ReadNow(Now());
  Run();
}

void store_link::Run() {
  const auto read = follower_.Next(Now());
  if (read) {
    const auto source =
        sources_.Choose(settings_.members(), settings_.zone, Now());
    if (source) {
      ReadPeer(*source, *read);
    } else {
      ReadStore(*read);
    }
    return;
  }
  if (follower_.NextWake() == kNever) return;
  timer_.expires_at(SteadyTime(follower_.NextWake()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Run();
  });
}

void store_link::ReadStore(const store_read& read) {
  ++calls_;
  store_.Get(platform::EncodeRead(read), read.timeout,
             [this, kind = read.kind](std::optional<http_result> result) {
               if (!result) {
                 OnFailure(store_failure::unreachable);
                 return;
               }
               auto reply =
                   platform::DecodeReply(kind, result->status, result->body);
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
  // A listing waits too: the peer may be starting as well.
  const duration wait = std::max(std::min(read.wait, kPeerWait), kPeerWait / 2);
  const relay_request request{read.kind, read.prefix, read.revision, wait};
  peer_->Get(EncodeRelayRequest(request), wait + kPeerTimeout,
             [this](std::optional<http_result> result) {
               if (!result) {
                 OnFailure(store_failure::unreachable);
                 return;
               }
               auto reply = DecodeRelayReply(result->status, result->body);
               if (const auto* failed = std::get_if<store_failure>(&reply)) {
                 OnFailure(*failed);
                 return;
               }
               auto& relayed = std::get<relay_reply>(reply);
               OnReply(std::move(relayed.items), relayed.age);
             });
}

void store_link::OnReply(gateway::store_reply reply, duration age) {
  const time_point now = Now();
  store_news news;
  news.changes = follower_.OnReply(std::move(reply), now);
  sources_.OnAnswer(age, now);
  if (!news.changes.empty()) {
    newest_ = std::max(newest_, news.changes.back().revision);
  }
  news.revision = follower_.Listed() ? follower_.Revision() : 0;
  news.confirmed = now - sources_.Age(now);
  TellSource(sources_.ReadsStore() ? kStore : std::string_view(peer_address_),
             true);
  settings_.on_news(news);
  Run();
}

void store_link::OnFailure(store_failure failure) {
  follower_.OnFailure(failure, Now());
  if (failure != store_failure::compacted && !renewing_) {
    ++failures_;
    sources_.OnFailure(Now());
    TellSource(sources_.ReadsStore() ? kStore : std::string_view(peer_address_),
               false);
  }
  Run();
}

void store_link::TellSource(std::string_view source, bool reachable) {
  if (told_reachable_ == reachable && told_source_ == source) return;
  told_reachable_ = reachable;
  told_source_ = std::string(source);
  settings_.on_source(source, reachable);
}

}  // namespace corianderrail::edge

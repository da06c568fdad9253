/** @file store_link.cpp Reads of a store_follower over HTTP. */

#include "edge/store_link.h"

#include <utility>
#include <variant>

#include "edge/process_time.h"
#include "platform/store_codec.h"

namespace corianderrail::edge {

namespace {

using gateway::store_read_kind;

}  // namespace

store_link::store_link(boost::asio::io_context& io, const std::string& address,
                       gateway::store_follower follower, handler receiver)
    : timer_(io),
      getter_(io, address),
      follower_(std::move(follower)),
      receiver_(std::move(receiver)) {}

void store_link::Start() { Run(); }

// An open watch has not told of the change, so its connection may be silent.
void store_link::Hurry() {
  getter_.Abandon();
  follower_.Hurry(Now());
  Run();
}

void store_link::Run() {
  const auto read = follower_.Next(Now());
  if (read) {
    ++calls_;
    getter_.Get(platform::EncodeRead(*read), read->timeout,
                [this, kind = read->kind](std::optional<http_result> result) {
                  OnResult(kind, std::move(result));
                });
    return;
  }
  if (follower_.NextWake() == kNever) return;
  timer_.expires_at(SteadyTime(follower_.NextWake()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Run();
  });
}

void store_link::OnResult(store_read_kind kind,
                          std::optional<http_result> result) {
  auto decoded =
      result ? platform::DecodeReply(kind, result->status, result->body)
             : std::variant<gateway::store_reply, gateway::store_failure>(
                   gateway::store_failure::unreachable);
  if (auto* reply = std::get_if<gateway::store_reply>(&decoded)) {
    auto changes = follower_.OnReply(std::move(*reply), Now());
    TellReachable(true);
    receiver_.on_changes(std::move(changes));
  } else {
    const auto failure = std::get<gateway::store_failure>(decoded);
    follower_.OnFailure(failure, Now());
    if (failure != gateway::store_failure::compacted) {
      ++failures_;
      TellReachable(false);
    }
  }
  Run();
}

void store_link::TellReachable(bool reachable) {
  if (std::exchange(reachable_, reachable) != reachable) {
    receiver_.on_reachable(reachable);
  }
}

}  // namespace corianderrail::edge

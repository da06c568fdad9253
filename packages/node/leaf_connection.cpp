/** @file leaf_connection.cpp One HTTP connection to a leaf. */

#include "node/leaf_connection.h"

#include <array>
#include <istream>
#include <ostream>
#include <utility>

#include "wire/leaf_codec.h"

namespace corianderrail {

namespace {

/** Request identifier in the cancellation that only opens a connection; it
 *  belongs to no request. */
constexpr const char* kConnectRequestId = "0";

constexpr std::size_t kReadBufferBytes = 16u << 10;

}  // namespace

leaf_connection::leaf_connection(cxxtools::SelectorBase& selector,
                                 const ip_endpoint& address,
                                 handler on_finished)
    : client_(selector, address.ip, address.port),
      on_finished_(std::move(on_finished)) {
  cxxtools::connect(client_.bodyAvailable, *this, &leaf_connection::OnBody);
  cxxtools::connect(client_.replyFinished, *this, &leaf_connection::OnFinished);
}

void leaf_connection::BeginRequest(time_point deadline, phase next) {
  body_.clear();
  body_too_large_ = false;
  deadline_ = deadline;
  phase_ = next;
  request_.method("POST");
  try {
    client_.beginExecute(request_);
  } catch (const std::exception&) {
    Abort(leaf_failure::not_sent);
  }
}

void leaf_connection::Open(time_point deadline) {
  request_.clear();
  request_.url(std::string(kLeafCancelPath));
  request_.setHeader(kLeafRequestIdHeader, kConnectRequestId);
  BeginRequest(deadline, phase::opening);
}

void leaf_connection::SendCancel(const std::string& request_id,
                                 time_point deadline) {
  request_.clear();
  request_.url(std::string(kLeafCancelPath));
  request_.setHeader(kLeafRequestIdHeader, request_id.c_str());
  BeginRequest(deadline, phase::busy);
}

void leaf_connection::Send(leaf_exchange exchange, time_point deadline) {
  request_.clear();
  request_.url(std::string(LeafPath(exchange.request)));
  for (const auto& header :
       LeafRequestHeaders(exchange.request, exchange.request_id)) {
    request_.setHeader(header.name.c_str(), header.value.c_str());
  }
  request_.body() << exchange.request.payload;
  exchange_ = std::move(exchange);
  BeginRequest(deadline, phase::busy);
}

std::size_t leaf_connection::OnBody(cxxtools::http::Client& client) {
  std::array<char, kReadBufferBytes> bytes{};
  const auto count = static_cast<std::size_t>(
      client.in().readsome(bytes.data(), bytes.size()));
  // The rest of a body that is too large is read and discarded.
  if (body_.size() + count > kMaxLeafReplyBytes) {
    body_too_large_ = true;
  } else {
    body_.append(bytes.data(), count);
  }
  return count;
}

leaf_connection::outcome leaf_connection::ReadOutcome() {
  outcome result;
  result.failure = leaf_failure::broken;
  result.exchange = std::exchange(exchange_, std::nullopt);
  client_.endExecute();
  result.failure = leaf_failure::malformed;
  if (body_too_large_) return result;
  const auto& header = client_.header();
  const auto lookup = [&](const char* name) -> std::optional<std::string> {
    const char* value = header.getHeader(name);
    if (value == nullptr) return std::nullopt;
    return std::string(value);
  };
  if (!result.exchange) {
    if (header.httpReturnCode() == 200) result.reply.emplace();
    return result;
  }
  result.reply =
      ReadLeafReply(header.httpReturnCode(), lookup, std::move(body_),
                    result.exchange->request_id, result.exchange->request);
  return result;
}

void leaf_connection::OnFinished(cxxtools::http::Client&) {
  const bool opening = phase_ == phase::opening;
  const auto exchange = exchange_;
  outcome result;
  try {
    result = ReadOutcome();
  } catch (const wire_error&) {
    result = {exchange, std::nullopt, leaf_failure::malformed};
  } catch (const std::exception&) {
    result = {exchange, std::nullopt,
              opening ? leaf_failure::not_sent : leaf_failure::broken};
  }
  const bool reusable = result.reply && client_.header().keepAlive();
  Finish(std::move(result), reusable ? phase::idle : phase::closed);
}

void leaf_connection::Finish(outcome result, phase next) {
  deadline_ = kNever;
  phase_ = next;
  if (next == phase::closed) {
    try {
      client_.close();
    } catch (const std::exception&) {
      // The connection counts as closed even when close() fails, because the
      // socket is unusable.
      deadline_ = kNever;
    }
  }
  on_finished_(*this, std::move(result));
}

void leaf_connection::Abort(leaf_failure failure) {
  try {
    client_.cancel();
  } catch (const std::exception&) {
    // Cancellation may fail on a broken connection, which is closed below.
    deadline_ = kNever;
  }
  outcome result{std::exchange(exchange_, std::nullopt), std::nullopt, failure};
  Finish(std::move(result), phase::closed);
}

}  // namespace corianderrail

/** @file address_client.cpp A caller that follows the address answers. */

#include "process/address_client.h"

#include <utility>

#include "wire/json_value.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

constexpr std::chrono::milliseconds kPeriod{20};
constexpr std::chrono::seconds kTimeout{20};

http_reply Execute(const std::string& address, http_request request) {
  request.timeout = kTimeout;
  return http_connection(address).Execute(request);
}

}  // namespace

address_client::address_client(std::string entry)
    : addresses_{std::move(entry)}, thread_([this] { Run(); }) {}

address_client::~address_client() { Finish(); }

address_client_result address_client::Finish() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  return result_;
}

void address_client::Run() {
  while (!stop_) {
    if (std::chrono::steady_clock::now() >= expires_) Renew();
    SendOne();
    std::this_thread::sleep_for(kPeriod);
  }
}

void address_client::Fail(const std::string& host, const std::string& what) {
  ++result_.failed;
  if (result_.first_failure.empty()) result_.first_failure = host + ' ' + what;
}

void address_client::Renew() {
  const auto asked = std::chrono::steady_clock::now();
  const std::string host = addresses_[sent_ % addresses_.size()];
  http_request request;
  request.path = "/v1/addresses";
  request.parameters = "customer=acme";
  try {
    const auto reply = Execute(host, request);
    if (reply.code != 200) return Fail(host, reply.body);
    const auto told = json_object::Parse(
        reply.body, {"addresses", "time_to_live_ms", "revision"});
    std::vector<std::string> named;
    for (const auto& one :
         told.Objects("addresses", {"address", "zone"}, 100)) {
      named.push_back(one.Text("address", 100));
    }
    if (named.empty()) return Fail(host, "named no address");
    addresses_ = std::move(named);
    // Counted from before the request, so that the caller never uses an
    // address longer than the host serves for it.
    expires_ = asked + std::chrono::milliseconds(
                           told.Unsigned("time_to_live_ms", 1'000'000));
  } catch (const wire_error& error) {
    Fail(host, error.what());
  }
}

void address_client::SendOne() {
  const std::string host = addresses_[sent_++ % addresses_.size()];
  http_request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = R"({"request_id":"r","customer":"acme","kind":"search",)"
                 R"("deadline_ms":15000,"payload":"q"})";
  try {
    const auto reply = Execute(host, request);
    if (reply.code == 200) {
      ++result_.answered;
    } else {
      Fail(host, reply.body);
    }
  } catch (const wire_error& error) {
    Fail(host, error.what());
  }
}

}  // namespace corianderrail

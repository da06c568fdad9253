/** @file address_client.cpp Sends queries to the hosts of address answers. */

#include "process/address_client.h"

#include <utility>

#include "wire/json_value.h"
#include "wire/wire_error.h"

namespace corianderrail {

namespace {

constexpr std::chrono::milliseconds kRequestPeriod{20};
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
    if (std::chrono::steady_clock::now() >= expires_) RefreshAddresses();
    SendOne();
    std::this_thread::sleep_for(kRequestPeriod);
  }
}

void address_client::RecordFailure(const std::string& host,
                                   const std::string& what) {
  ++result_.failed;
  if (result_.first_failure.empty()) result_.first_failure = host + ' ' + what;
}

void address_client::RefreshAddresses() {
  const auto requested_at = std::chrono::steady_clock::now();
  const std::string host = addresses_[sent_ % addresses_.size()];
  http_request request;
  request.path = "/v1/addresses";
  request.parameters = "customer=acme";
  try {
    const auto reply = Execute(host, request);
    if (reply.code != 200) return RecordFailure(host, reply.body);
    const auto answer = json_object::Parse(
        reply.body, {"addresses", "time_to_live_ms", "revision"});
    std::vector<std::string> addresses;
    for (const auto& entry :
         answer.Objects("addresses", {"address", "zone"}, 100)) {
      addresses.push_back(entry.Text("address", 100));
    }
    if (addresses.empty()) return RecordFailure(host, "listed no address");
    addresses_ = std::move(addresses);
    // Counted from before the request, so that no address is used longer than
    // the host has promised to serve.
    expires_ = requested_at + std::chrono::milliseconds(answer.Unsigned(
                                  "time_to_live_ms", 1'000'000));
  } catch (const wire_error& error) {
    RecordFailure(host, error.what());
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
      RecordFailure(host, reply.body);
    }
  } catch (const wire_error& error) {
    RecordFailure(host, error.what());
  }
}

}  // namespace corianderrail

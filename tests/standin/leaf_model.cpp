/** @file leaf_model.cpp Implements one stand-in leaf. */

#include "standin/leaf_model.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace corianderrail {

namespace {

/** Time that a hanging leaf delays its reply; longer than every test. */
constexpr std::chrono::seconds kHangTime{600};

std::string HeaderOr(const standin_request& request, const char* name,
                     const char* absent) {
  return request.header(name).value_or(absent);
}

void SetHeader(standin_reply& reply, const std::string& name,
               std::string value) {
  for (auto& header : reply.headers) {
    if (header.name == name) {
      header.value = std::move(value);
      return;
    }
  }
  reply.headers.push_back({name, std::move(value)});
}

}  // namespace

leaf_model::leaf_model(leaf_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {}

bool leaf_model::AcquireSlot() {
  std::unique_lock lock(mutex_);
  if (running_ >= settings_.slots) {
    if (waiting_ >= settings_.queue) return false;
    ++waiting_;
    freed_.wait(lock, [this] { return running_ < settings_.slots; });
    --waiting_;
  }
  ++running_;
  return true;
}

void leaf_model::ReleaseSlot() {
  const std::lock_guard lock(mutex_);
  --running_;
  freed_.notify_one();
}

std::uint64_t leaf_model::ServiceTimeUs() {
  const std::lock_guard lock(mutex_);
  // Half of the mean is fixed and half is exponential, as in an index lookup
  // that occasionally misses a cache.
  std::exponential_distribution<double> tail(2.0 / settings_.service_us);
  return (settings_.service_us / 2 +
          static_cast<std::uint64_t>(tail(random_))) *
         faults_.slow;
}

standin_reply leaf_model::Reply(const standin_request& request,
                                const char* status, const std::string& body) {
  const std::lock_guard lock(mutex_);
  standin_reply reply;
  reply.body = body;
  reply.headers = {
      {"X-Request-Id", HeaderOr(request, "X-Request-Id", "")},
      {"X-Status", status},
      {"X-Snapshot", HeaderOr(request, "X-Snapshot", "0")},
      {"X-Newest-Snapshot", std::to_string(settings_.snapshots.back())},
      {"X-Queued", std::to_string(waiting_)},
      {"X-Draining", draining_ ? "1" : "0"},
  };
  return reply;
}

void leaf_model::ApplyFaults(standin_reply& reply) {
  const std::lock_guard lock(mutex_);
  const std::string id = reply.headers.front().value;
  if (faults_.crossed) SetHeader(reply, "X-Request-Id", previous_id_);
  previous_id_ = id;
  if (faults_.wrong_snapshot) {
    SetHeader(reply, "X-Snapshot",
              std::to_string(settings_.snapshots.back() + 1'000'000));
  }
  const std::string size = std::to_string(reply.body.size());
  if (faults_.truncated) {
    SetHeader(reply, "Content-Length", std::to_string(reply.body.size() + 7));
    SetHeader(reply, "Connection", "close");
  }
  if (faults_.duplicate) {
    // The copy becomes a second reply on the same connection, because
    // Content-Length covers only the first.
    SetHeader(reply, "Content-Length", size);
    std::string copy = "HTTP/1.1 200 OK\r\n";
    for (const auto& header : reply.headers) {
      copy += header.name + ": " + header.value + "\r\n";
    }
    reply.body += copy + "\r\n" + reply.body;
  }
}

standin_reply leaf_model::Run(const standin_request& request, bool order) {
  bool hang = false;
  {
    const std::lock_guard lock(mutex_);
    hang = faults_.hang;
    const auto snapshot = std::strtoull(
        HeaderOr(request, "X-Snapshot", "0").c_str(), nullptr, 10);
    const auto& held = settings_.snapshots;
    if (!order && std::find(held.begin(), held.end(), snapshot) == held.end()) {
      hang = false;
    }
    if (order && !draining_) {
      orders_.push_back(HeaderOr(request, "X-Order-Id", "none"));
    }
  }
  if (hang) std::this_thread::sleep_for(kHangTime);
  std::this_thread::sleep_for(std::chrono::microseconds(ServiceTimeUs()));
  const std::string body = (order ? "taken " : "rows ") +
                           HeaderOr(request, "X-Key-Begin", "") + ".." +
                           HeaderOr(request, "X-Key-End", "") + " of " +
                           HeaderOr(request, "X-Collection", "");
  return Reply(request, "ok", body);
}

standin_reply leaf_model::Handle(const standin_request& request) {
  if (request.path == "/leaf/v1/cancel") return Reply(request, "ok", "");
  ++requests_;
  const bool order = request.path == "/leaf/v1/order";
  {
    std::unique_lock lock(mutex_);
    const auto& held = settings_.snapshots;
    const auto snapshot = std::strtoull(
        HeaderOr(request, "X-Snapshot", "0").c_str(), nullptr, 10);
    const bool holds =
        order || std::find(held.begin(), held.end(), snapshot) != held.end();
    lock.unlock();
    if (!holds) return Reply(request, "wrong_snapshot", "");
  }
  if (!AcquireSlot()) return Reply(request, "not_run", "");
  auto reply = Run(request, order);
  ReleaseSlot();
  ApplyFaults(reply);
  return reply;
}

void leaf_model::Configure(const standin_request& request) {
  const std::lock_guard lock(mutex_);
  const auto flag = [&](const char* name, bool& value) {
    value = request.Number(name, value ? 1 : 0) != 0;
  };
  flag("hang", faults_.hang);
  flag("crossed", faults_.crossed);
  flag("duplicate", faults_.duplicate);
  flag("truncated", faults_.truncated);
  flag("wrong_snapshot", faults_.wrong_snapshot);
  flag("draining", draining_);
  faults_.slow =
      static_cast<std::uint32_t>(request.Number("slow", faults_.slow));
  const auto added = request.Number("add_snapshot", 0);
  if (added != 0) settings_.snapshots.push_back(added);
  const auto removed = request.Number("remove_snapshot", 0);
  if (settings_.snapshots.size() > 1) {
    std::erase(settings_.snapshots, removed);
  }
}

std::string leaf_model::Orders() {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& id : orders_) text += id + '\n';
  return text;
}

}  // namespace corianderrail

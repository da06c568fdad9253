/** @file platform_client.cpp Reads from the configuration service. */

#include "node/platform_client.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "wire/http_client.h"
#include "wire/json_value.h"

namespace corianderrail {

namespace {

/** Enough for two watches, which occupy a thread each, and for reading the
 *  documents of a changed set in parallel. */
constexpr int kThreads = 5;

/** Largest number of queued jobs. Further jobs are dropped, and the reducer
 *  repeats the reads that got no result. */
constexpr std::size_t kMaxQueuedJobs = 4096;

/** Keys with this prefix, except kHeadKey, are not cached: the document of a
 *  revision never changes and is therefore never watched. */
constexpr std::string_view kUncachedPrefix = "contracts/";
constexpr std::string_view kHeadKey = "contracts/head";

constexpr std::size_t kMaxValueBytes = 4u << 20;
constexpr std::size_t kMaxHostListBytes = 4u << 20;
constexpr std::size_t kMaxHosts = 50'000;
/** Time limit of the connect and of each read; a watch adds its wait. */
constexpr std::chrono::milliseconds kRequestTimeout{2000};

}  // namespace

struct platform_client::state {
  using job = std::function<void(http_connection&)>;

  state(std::string given_address, sink given_sink)
      : address(std::move(given_address)), deliver(std::move(given_sink)) {}

  void Run();
  void Enqueue(job work);
  void Deliver(event result);
  void CacheValue(const config_value_event& value);
  void LoadCachedValue(std::uint64_t version, config_value_event& value);
  config_value_event ReadValue(http_connection& connection,
                               const read_config_effect& request);
  http_reply SendGet(http_connection& connection, const std::string& key,
                     std::uint64_t after, std::chrono::milliseconds wait);
  void DeliverHostList(http_connection& connection);

  std::string address;
  sink deliver;
  std::atomic<std::uint64_t> calls{0};
  bool stopping = false;
  std::mutex mutex;  ///< Guards `stopping`, `jobs` and `cached_values`.
  std::condition_variable changed;
  std::deque<job> jobs;
  std::map<std::string, config_value_event> cached_values;  ///< For HTTP 304.
};

void platform_client::state::Deliver(event result) {
  // Delivers under the lock, so that nothing is delivered after the destructor
  // has returned.
  const std::lock_guard lock(mutex);
  if (!stopping) deliver(std::move(result));
}

/** Caches the value if its key is watched. */
void platform_client::state::CacheValue(const config_value_event& value) {
  if (value.key.starts_with(kUncachedPrefix) && value.key != kHeadKey) return;
  const std::lock_guard lock(mutex);
  cached_values[value.key] = value;
}

/** Fills in the cached value after the service replied HTTP 304. */
void platform_client::state::LoadCachedValue(std::uint64_t version,
                                             config_value_event& value) {
  const std::lock_guard lock(mutex);
  const auto found = cached_values.find(value.key);
  value.reachable =
      found != cached_values.end() && found->second.version == version;
  if (value.reachable) value = found->second;
}

void platform_client::state::Enqueue(job work) {
  const std::lock_guard lock(mutex);
  if (jobs.size() >= kMaxQueuedJobs) return;
  jobs.push_back(std::move(work));
  changed.notify_one();
}

void platform_client::state::Run() {
  http_connection connection(address);
  for (;;) {
    job next;
    {
      std::unique_lock lock(mutex);
      changed.wait(lock, [this] { return stopping || !jobs.empty(); });
      if (stopping) return;
      next = std::move(jobs.front());
      jobs.pop_front();
    }
    next(connection);
  }
}

http_reply platform_client::state::SendGet(http_connection& connection,
                                           const std::string& key,
                                           std::uint64_t after,
                                           std::chrono::milliseconds wait) {
  calls.fetch_add(1, std::memory_order_relaxed);
  http_request request;
  request.path = "/v1/config/" + key;
  request.body_limit = kMaxValueBytes;
  request.timeout = kRequestTimeout + wait;
  if (after != 0) {
    request.parameters = "after=" + std::to_string(after) +
                         "&wait_ms=" + std::to_string(wait.count());
  }
  return connection.Execute(request);
}

config_value_event platform_client::state::ReadValue(
    http_connection& connection, const read_config_effect& request) {
  config_value_event result;
  result.key = request.key;
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
  try {
    const auto reply = SendGet(connection, request.key, request.after, wait);
    if (reply.code == 304) {
      LoadCachedValue(request.after, result);
      return result;
    }
    result.reachable = reply.code == 200 || reply.code == 404;
    result.found = reply.code == 200;
    if (!result.found) return result;
    result.version =
        ReadNumber("X-Version", reply.Header("X-Version").value_or(""),
                   std::numeric_limits<std::uint64_t>::max());
    result.bytes = reply.body;
    CacheValue(result);
  } catch (const wire_error&) {
    result.reachable = false;
    result.found = false;
  }
  return result;
}

void platform_client::state::DeliverHostList(http_connection& connection) {
  calls.fetch_add(1, std::memory_order_relaxed);
  host_list_event result;
  try {
    http_request request;
    request.path = "/v1/hosts";
    request.timeout = kRequestTimeout;
    request.body_limit = kMaxHostListBytes;
    const auto reply = connection.Execute(request);
    if (reply.code == 200) result = ReadHostListReply(reply.body);
  } catch (const wire_error&) {
    result = {};
  }
  Deliver(result);
}

platform_client::platform_client(std::string address, sink deliver)
    : state_(std::make_shared<state>(std::move(address), std::move(deliver))) {
  for (int i = 0; i < kThreads; ++i) {
    // Detached, because a watch may wait longer than the host may take to stop.
    std::thread([shared = state_] { shared->Run(); }).detach();
  }
}

platform_client::~platform_client() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->changed.notify_all();
}

void platform_client::Read(const read_config_effect& request) {
  auto* self = state_.get();
  state_->Enqueue([self, request](http_connection& connection) {
    self->Deliver(self->ReadValue(connection, request));
  });
}

void platform_client::ReadHostList() {
  auto* self = state_.get();
  state_->Enqueue([self](http_connection& connection) {
    self->DeliverHostList(connection);
  });
}

std::uint64_t platform_client::Calls() const { return state_->calls; }

host_list_event ReadHostListReply(std::string_view body) {
  const auto from = json_object::Parse(body, {"hosts"}, kMaxHostListBytes);
  host_list_event list;
  list.reachable = true;
  for (const auto& host :
       from.Objects("hosts", {"address", "leaving"}, kMaxHosts)) {
    list.entries.push_back(
        {host.Text("address", 64), host.OptionalBool("leaving", false)});
  }
  return list;
}

}  // namespace corianderrail

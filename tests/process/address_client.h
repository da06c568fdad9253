/** @file address_client.h Sends queries to the hosts of address answers. */

#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "wire/http_client.h"

namespace corianderrail {

/** Outcomes of the caller's requests. */
struct address_client_result {
  std::size_t answered = 0;   ///< Requests with status code 200.
  std::size_t failed = 0;     ///< Refused, disconnected or not answered.
  std::string first_failure;  ///< Host and reply of the first failure.
};

/** Sends a query every 20 ms in a separate thread until Finish(). */
class address_client {
 public:
  /** @param entry Address of a ready host, used for the first request. */
  explicit address_client(std::string entry);
  ~address_client();
  address_client(const address_client&) = delete;
  address_client& operator=(const address_client&) = delete;

  address_client_result Finish();

 private:
  void Run();
  void RefreshAddresses();
  void SendOne();
  void RecordFailure(const std::string& host, const std::string& what);

  std::vector<std::string> addresses_;
  std::chrono::steady_clock::time_point expires_;
  std::size_t sent_ = 0;
  address_client_result result_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace corianderrail

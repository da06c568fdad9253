/** @file path_bench.cpp Measures queries to a running host over TCP. */

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "wire/http_client.h"
#include "wire/wire_error.h"

namespace corianderrail {
namespace {

using clock = std::chrono::steady_clock;

/** Results of one client thread. */
struct client_result {
  std::vector<double> total_us;  ///< Latency of each answered query.
  std::vector<double> tier_us;   ///< Latency as stated in the answer.
  std::uint64_t refused = 0;     ///< Replies with a status code other than 200.
  std::uint64_t failed = 0;      ///< Requests without a complete reply.
};

/** Number after a member name in a JSON text; 0 without such a member. */
double NumberAfter(const std::string& text, const std::string& member) {
  const auto at = text.find('"' + member + "\":");
  if (at == std::string::npos) return 0;
  return std::strtod(text.c_str() + at + member.size() + 3, nullptr);
}

client_result RunClient(const std::string& address, const std::string& body,
                        int requests) {
  client_result result;
  http_connection connection(address);
  http_request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = body;
  request.timeout = std::chrono::seconds(10);
  for (int i = 0; i < requests; ++i) {
    const auto start = clock::now();
    try {
      const http_reply reply = connection.Execute(request);
      const std::chrono::duration<double, std::micro> elapsed =
          clock::now() - start;
      if (reply.code != 200) {
        ++result.refused;
        continue;
      }
      result.total_us.push_back(elapsed.count());
      result.tier_us.push_back(NumberAfter(reply.body, "elapsed_us"));
    } catch (const wire_error&) {
      ++result.failed;
    }
  }
  return result;
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

void Measure(const std::string& address, const std::string& body, int threads,
             int requests) {
  std::vector<client_result> results(static_cast<std::size_t>(threads));
  std::vector<std::thread> clients;
  clients.reserve(results.size());
  const auto start = clock::now();
  for (client_result& result : results) {
    clients.emplace_back([&] { result = RunClient(address, body, requests); });
  }
  for (std::thread& client : clients) client.join();
  const std::chrono::duration<double> elapsed = clock::now() - start;
  client_result all;
  for (const client_result& one : results) {
    all.total_us.insert(all.total_us.end(), one.total_us.begin(),
                        one.total_us.end());
    all.tier_us.insert(all.tier_us.end(), one.tier_us.begin(),
                       one.tier_us.end());
    all.refused += one.refused;
    all.failed += one.failed;
  }
  std::printf(
      "{\"bench\":\"path\",\"client_threads\":%d,\"answered\":%zu,"
      "\"refused\":%llu,\"failed\":%llu,\"queries_per_s\":%.0f,"
      "\"p50_us\":%.0f,\"p99_us\":%.0f,\"in_tier_p50_us\":%.0f,"
      "\"in_tier_p99_us\":%.0f}\n",
      threads, all.total_us.size(),
      static_cast<unsigned long long>(all.refused),
      static_cast<unsigned long long>(all.failed),
      static_cast<double>(all.total_us.size()) / elapsed.count(),
      Quantile(all.total_us, 0.5), Quantile(all.total_us, 0.99),
      Quantile(all.tier_us, 0.5), Quantile(all.tier_us, 0.99));
}

}  // namespace
}  // namespace corianderrail

int main(int argc, char** argv) {
  if (argc != 6) {
    std::fprintf(stderr,
                 "usage: path_bench IP:PORT CUSTOMER KIND THREADS REQUESTS\n");
    return 2;
  }
  const std::string body =
      std::string(R"({"request_id":"bench","customer":")") + argv[2] +
      R"(","kind":")" + argv[3] + R"(","payload":"any"})";
  corianderrail::Measure(argv[1], body, std::atoi(argv[4]), std::atoi(argv[5]));
  return 0;
}

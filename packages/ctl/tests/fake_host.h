/** @file fake_host.h HTTP server that replaces a host in tests. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace corianderrail {

/** A reply and the path that it belongs to. */
struct scripted_reply {
  std::string path;     ///< Path without parameters.
  unsigned code = 200;  ///< HTTP status code.
  std::string body;     ///< Sent as JSON.
};

/** A request that the server received. */
struct seen_request {
  std::string path;  ///< Path without parameters.
  std::string body;  ///< Empty for GET.
};

/** Listens on a free loopback port and sends scripted replies; a path that is
 *  not in the script gets HTTP 404. */
class fake_host {
 public:
  explicit fake_host(std::vector<scripted_reply> script);
  ~fake_host();
  fake_host(const fake_host&) = delete;
  fake_host& operator=(const fake_host&) = delete;

  std::string Address() const;
  /** Requests received so far, in order. */
  std::vector<seen_request> Seen() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/** A loopback address on which nothing listens. */
std::string ClosedAddress();

}  // namespace corianderrail

/** @file fake_host.h A host that gives scripted answers over HTTP. */

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace corianderrail {

/** One scripted reply. */
struct scripted_reply {
  std::string path;     ///< Path that it answers.
  unsigned code = 200;  ///< HTTP status code.
  std::string body;     ///< JSON.
};

/** A request as it arrived. */
struct seen_request {
  std::string path;  ///< Path without parameters.
  std::string body;  ///< Body.
};

/** Serves on a free loopback port until destroyed. */
class fake_host {
 public:
  explicit fake_host(std::vector<scripted_reply> script);
  ~fake_host();
  fake_host(const fake_host&) = delete;
  fake_host& operator=(const fake_host&) = delete;

  std::string Address() const;
  std::vector<seen_request> Seen() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/** A loopback address on which nothing listens. */
std::string ClosedAddress();

}  // namespace corianderrail

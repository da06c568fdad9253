/** @file platform_client.h Reads from the configuration service. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/effect_type.h"
#include "core/event_type.h"

namespace corianderrail {

/** Reads in a few threads; each result arrives as an event. */
class platform_client {
 public:
  /** Called with each result, on a thread of the client. */
  using sink = std::function<void(event)>;

  platform_client(std::string address, sink deliver);
  /** Nothing is delivered afterwards; threads end when their watch does. */
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  void Read(const read_config_effect& request);
  void ReadHostList();

  /** Requests sent so far. */
  std::uint64_t Calls() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/** Parses the host list. @throws wire_error. */
host_list_event ReadHostListReply(std::string_view body);

}  // namespace corianderrail

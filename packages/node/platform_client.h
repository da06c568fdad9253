/** @file platform_client.h Reads from the configuration service. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/effect_type.h"
#include "core/event_type.h"

namespace corianderrail {

/** Reads documents and the host list from the configuration service, on threads
 *  of its own; each result arrives as an event. */
class platform_client {
 public:
  /** Receives each result as an event, on a thread of the client. */
  using sink = std::function<void(event)>;

  platform_client(std::string address, sink deliver);
  /** No result is delivered after the destructor has returned. A thread that
   *  waits for a reply ends when its request has completed. */
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  /** Queue a read; the result is a config_value_event or a host_list_event. */
  void Read(const read_config_effect& request);
  void ReadHostList();

  /** Requests sent since the start. */
  std::uint64_t Calls() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/** Parses the body of GET /v1/hosts. @throws wire_error when malformed. */
host_list_event ReadHostListReply(std::string_view body);

}  // namespace corianderrail

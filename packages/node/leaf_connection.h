/** @file leaf_connection.h One HTTP connection to a leaf. */

#pragma once

#include "wire/cxxtools_compat.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <functional>
#include <optional>
#include <string>

#include "core/leaf_type.h"
#include "core/time_type.h"
#include "wire/http_client.h"

namespace corianderrail {

/** A request in flight on a connection. */
struct leaf_exchange {
  leaf_call_id call{};     ///< Identifies the request in events.
  leaf_request request;    ///< The request as sent.
  std::string request_id;  ///< Identifier that the leaf echoes.
};

/**
 * One HTTP connection, used for one request at a time. It is constructed and
 * used only on the thread of its event loop.
 */
class leaf_connection : public cxxtools::Connectable {
 public:
  /** Result of the request in flight. */
  struct outcome {
    std::optional<leaf_exchange> exchange;  ///< Empty for a cancellation.
    std::optional<leaf_reply> reply;  ///< Set for a valid, complete reply.
    leaf_failure failure{};           ///< Reason when `reply` is empty.
  };
  using handler = std::function<void(leaf_connection&, outcome)>;

  enum class phase : std::uint8_t { closed, opening, idle, busy };

  leaf_connection(cxxtools::SelectorBase& selector, const ip_endpoint& address,
                  handler on_finished);

  /** Connects by sending a cancellation for a request that does not exist. */
  void Open(time_point deadline);

  /** Sends a request; the connection must be idle. */
  void Send(leaf_exchange exchange, time_point deadline);

  /** Sends a cancellation; the connection must be idle. */
  void SendCancel(const std::string& request_id, time_point deadline);

  /** Closes the connection and reports the request in flight, if any, as
   *  failed. */
  void Abort(leaf_failure failure);

  phase Phase() const { return phase_; }
  time_point Deadline() const { return deadline_; }

  time_point reconnect_at{};   ///< When a closed connection is opened again.
  duration reconnect_delay{};  ///< Delay used for `reconnect_at`.

 private:
  void BeginRequest(time_point deadline, phase next);
  std::size_t OnBody(cxxtools::http::Client& client);
  void OnFinished(cxxtools::http::Client& client);
  outcome ReadOutcome();
  void Finish(outcome result, phase next);

  cxxtools::http::Client client_;
  cxxtools::http::Request request_;
  handler on_finished_;
  phase phase_ = phase::closed;
  std::optional<leaf_exchange> exchange_;
  std::string body_;
  bool body_too_large_ = false;
  time_point deadline_ = kNever;
};

}  // namespace corianderrail

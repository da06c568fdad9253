/** @file socket_state.h What the system knows and holds of a connection. */

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "core/time_type.h"
#include "gateway/admission/byte_budget.h"

namespace corianderrail::edge {

/** Parses "ip:port". @throws std::invalid_argument on any other text. */
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

/** Round trip time of a connection; empty if the system does not know it. */
std::optional<duration> RoundTripTime(boost::asio::ip::tcp::socket& socket);

/** Bytes that were written and that the peer's system has not confirmed. They
 *  take memory of this host. 0 for a closed socket. */
std::size_t UnconfirmedBytes(boost::asio::ip::tcp::socket& socket);

/** Closes a connection and drops what the peer has not received. After a plain
 *  close the system would keep these bytes while the peer does not read. */
void ResetConnection(boost::asio::ip::tcp::socket& socket);

/** IP address and port of the peer; empty if it has disconnected. */
std::string PeerName(const boost::asio::ip::tcp::socket& socket);

/** Identifies the address of the peer, without its port. For IPv6 that is its
 *  first half, of which a client may use any address. */
gateway::sender_id PeerAddressId(const boost::asio::ip::tcp::socket& socket);

}  // namespace corianderrail::edge

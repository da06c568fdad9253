/** @file stream_end.h Whether a connection ended in order. */

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>

namespace corianderrail::edge {

/** What the system knows of the peer's end of a connection. */
enum class peer_end : std::uint8_t {
  unknown,   ///< The system does not tell.
  in_order,  ///< The peer ended it after its last byte.
  closed,    ///< The connection is gone; it may have been reset.
};

/** Signs of how a connection ended. */
struct end_signs {
  boost::system::error_code read;   ///< Of the last read; end of file is none.
  boost::system::error_code write;  ///< Of the last write.
  boost::system::error_code pending;  ///< Not yet returned by a call.
  peer_end peer = peer_end::unknown;  ///< State of the connection.
};

/**
 * Whether the peer ended the connection after its last byte, so that a message
 * which is delimited by that end is complete.
 */
bool EndedInOrder(const end_signs& signs);

/** Collects the signs of a socket; takes its pending error. */
end_signs SignsOf(boost::asio::ip::tcp::socket& socket,
                  boost::system::error_code read,
                  boost::system::error_code write);

}  // namespace corianderrail::edge

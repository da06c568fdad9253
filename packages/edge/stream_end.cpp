/**
 * @file stream_end.cpp Signs of a reset that an end of file can hide.
 *
 * The system reports a reset once, to whichever call comes first. If a write
 * gets it, the next read returns end of file, as after an orderly end. A reset
 * that follows an orderly end is reported as a broken pipe instead, and the
 * bytes before that end were received.
 */

#include "edge/stream_end.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

namespace corianderrail::edge {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/** True for no error, and for the one that follows an orderly end. */
bool AllowsOrder(const error_code& error) {
  return !error || error == asio::error::broken_pipe;
}

error_code TakePendingError(int socket) {
  int value = 0;
  socklen_t size = sizeof value;
  if (getsockopt(socket, SOL_SOCKET, SO_ERROR, &value, &size) != 0) return {};
  return {value, asio::error::get_system_category()};
}

peer_end PeerEndOf(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return peer_end::unknown;
  }
  switch (info.tcpi_state) {
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
    case TCP_TIME_WAIT:
      return peer_end::in_order;
    case TCP_CLOSE:
      return peer_end::closed;
    default:
      return peer_end::unknown;
  }
}

}  // namespace

bool EndedInOrder(const end_signs& signs) {
  if (signs.read) return false;
  if (signs.peer == peer_end::in_order) return true;
  if (!AllowsOrder(signs.write) || !AllowsOrder(signs.pending)) return false;
  const bool ended_before = signs.write || signs.pending;
  // A connection that is gone without an error has lost its reset elsewhere.
  return signs.peer == peer_end::unknown || ended_before;
}

end_signs SignsOf(asio::ip::tcp::socket& socket, error_code read,
                  error_code write) {
  end_signs signs;
  signs.read = read;
  signs.write = write;
  if (!socket.is_open()) {
    signs.peer = peer_end::closed;
    return signs;
  }
  signs.peer = PeerEndOf(socket.native_handle());
  signs.pending = TakePendingError(socket.native_handle());
  return signs;
}

}  // namespace corianderrail::edge

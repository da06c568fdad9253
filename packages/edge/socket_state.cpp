/** @file socket_state.cpp Socket options and state of the system. */

#include "edge/socket_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <stdexcept>

namespace corianderrail::edge {

namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

/** Bytes of an IPv6 address that name the network. */
constexpr std::size_t kNetworkBytes = 8;

}  // namespace

tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  unsigned short port = 0;
  const char* end = address.data() + address.size();
  bool has_port = false;
  if (colon != std::string::npos) {
    const auto read = std::from_chars(address.data() + colon + 1, end, port);
    has_port = read.ptr == end && read.ec == std::errc();
  }
  error_code error;
  const auto ip = boost::asio::ip::make_address(
      has_port ? address.substr(0, colon) : std::string(), error);
  if (error) {
    throw std::invalid_argument("'" + address +
                                "' is not an address; write IP:PORT");
  }
  return {ip, port};
}

std::optional<duration> RoundTripTime(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result =
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (result != 0 || info.tcpi_rtt == 0) return std::nullopt;
  return std::chrono::microseconds(info.tcpi_rtt);
}

std::size_t UnconfirmedBytes(tcp::socket& socket) {
  if (!socket.is_open()) return 0;
  int bytes = 0;
  if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void ResetConnection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::string PeerName(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  if (error) return {};
  return peer.address().to_string() + ":" + std::to_string(peer.port());
}

gateway::sender_id PeerAddressId(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  if (error) return {};
  if (peer.address().is_v4()) {
    return gateway::sender_id{peer.address().to_v4().to_uint()};
  }
  const auto bytes = peer.address().to_v6().to_bytes();
  std::uint64_t network = 0;
  for (std::size_t i = 0; i < kNetworkBytes; ++i) {
    network = network << 8 | bytes[i];
  }
  return gateway::sender_id{network};
}

}  // namespace corianderrail::edge

/** @file line_writer.h Non-blocking writer of lines to a file descriptor. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <string>

namespace corianderrail::edge {

/**
 * Buffers lines while the reader of a descriptor is slow. When the buffer is
 * full, new lines are dropped and counted, so that a slow or stopped reader
 * never delays a request.
 */
class line_writer {
 public:
  /**
   * @param descriptor Stays open; it is set to non-blocking mode.
   * @param max_queued_bytes Size of the buffer.
   */
  line_writer(boost::asio::io_context& io, int descriptor,
              std::size_t max_queued_bytes);
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /** Appends a line, given without line break. @return False when dropped. */
  bool Write(std::string_view line);

  /** Lines that were dropped, and failed writes. */
  std::uint64_t Dropped() const { return dropped_; }

 private:
  void Flush();

  boost::asio::posix::stream_descriptor out_;
  std::size_t max_queued_bytes_;
  std::string queued_;
  std::string writing_;
  bool write_pending_ = false;
  std::uint64_t dropped_ = 0;
};

}  // namespace corianderrail::edge

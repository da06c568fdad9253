/** @file line_writer.h Writes lines to a descriptor without blocking. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <string>

namespace corianderrail::edge {

/**
 * Holds lines that the reader of a descriptor has not taken yet. When they
 * exceed the bound, new lines are dropped and counted: a slow or stopped
 * reader never delays a request.
 */
class line_writer {
 public:
  /** @param descriptor Stays open; it becomes non-blocking. */
  line_writer(boost::asio::io_context& io, int descriptor,
              std::size_t max_queued_bytes);
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /** Appends a line without its line break; false when it was dropped. */
  bool Write(std::string_view line);

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

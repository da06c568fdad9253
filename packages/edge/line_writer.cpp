/** @file line_writer.cpp Bounded line buffer in front of a file descriptor. */

#include "edge/line_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string_view>

namespace corianderrail::edge {

namespace {

/** Largest write, unless a single line is longer. A write of at most this size
 *  to a pipe is atomic, and readers that truncate longer writes lose no
 *  line. */
constexpr std::size_t kMaxWriteBytes = 4096;

/** Length of the lines at the start of `text` that fit into one write, or of
 *  the first line if it alone is longer. */
std::size_t NextWriteLength(std::string_view text) {
  if (text.size() <= kMaxWriteBytes) return text.size();
  const std::size_t end = text.rfind('\n', kMaxWriteBytes - 1);
  return (end == std::string_view::npos ? text.find('\n') : end) + 1;
}

}  // namespace

line_writer::line_writer(boost::asio::io_context& io, int descriptor,
                         std::size_t max_queued_bytes)
    : out_(io, descriptor), max_queued_bytes_(max_queued_bytes) {
  queued_.reserve(max_queued_bytes);
}

line_writer::~line_writer() { out_.release(); }

bool line_writer::Write(std::string_view line) {
  if (queued_.size() + line.size() + 1 > max_queued_bytes_) {
    ++dropped_;
    return false;
  }
  queued_ += line;
  queued_ += '\n';
  if (!write_pending_) Flush();
  return true;
}

void line_writer::Flush() {
  write_pending_ = true;
  const std::size_t length = NextWriteLength(queued_);
  writing_.assign(queued_, 0, length);
  queued_.erase(0, length);
  boost::asio::async_write(
      out_, boost::asio::buffer(writing_),
      [this](const boost::system::error_code& error, std::size_t) {
        write_pending_ = false;
        if (error) {
          ++dropped_;
          queued_.clear();
          return;
        }
        if (!queued_.empty()) Flush();
      });
}

}  // namespace corianderrail::edge

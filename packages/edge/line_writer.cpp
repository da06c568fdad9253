/** @file line_writer.cpp Bounded buffer before a descriptor. */

#include "edge/line_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string_view>

namespace corianderrail::edge {

namespace {

/** Most bytes of one write. A write to a pipe of at most this size is not
 *  mixed with others, and readers that cut long writes lose no line. */
constexpr std::size_t kMostWrite = 4096;

/** Length of the whole lines at the start of `text` that fit into one write;
 *  of the first line if it alone is longer. */
std::size_t WholeLines(std::string_view text) {
  if (text.size() <= kMostWrite) return text.size();
  const std::size_t end = text.rfind('\n', kMostWrite - 1);
  return (end == std::string_view::npos ? text.find('\n') : end) + 1;
}

}  // namespace

line_writer::line_writer(boost::asio::io_context& io, int descriptor,
                         std::size_t bound)
    : out_(io, descriptor), bound_(bound) {
  waiting_.reserve(bound);
}

line_writer::~line_writer() { out_.release(); }

bool line_writer::Write(std::string_view line) {
  if (waiting_.size() + line.size() + 1 > bound_) {
    ++dropped_;
    return false;
  }
  waiting_ += line;
  waiting_ += '\n';
  if (!busy_) Flush();
  return true;
}

void line_writer::Flush() {
  busy_ = true;
  const std::size_t length = WholeLines(waiting_);
  writing_.assign(waiting_, 0, length);
  waiting_.erase(0, length);
  boost::asio::async_write(
      out_, boost::asio::buffer(writing_),
      [this](const boost::system::error_code& error, std::size_t) {
        busy_ = false;
        if (error) {
          ++dropped_;
          waiting_.clear();
          return;
        }
        if (!waiting_.empty()) Flush();
      });
}

}  // namespace corianderrail::edge

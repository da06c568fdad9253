/** @file line_writer.cpp Bounded buffer before a descriptor. */

#include "edge/line_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace corianderrail::edge {

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
  writing_.swap(waiting_);
  waiting_.clear();
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

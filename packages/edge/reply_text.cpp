/** @file reply_text.cpp Answers of the HTTP server as bytes. */

#include "edge/reply_text.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "gateway/http_status.h"

namespace corianderrail::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

int ErrorStatus(const error_code& error) {
  if (error == http::error::header_limit) return gateway::kStatusHeadTooLarge;
  if (error == http::error::body_limit) return gateway::kStatusTooLarge;
  if (error == http::error::end_of_stream) return 0;
  if (error == http::error::partial_message) return 0;
  if (error.category() ==
      http::make_error_code(http::error::bad_method).category()) {
    return gateway::kStatusBadRequest;
  }
  return 0;
}

std::string Serialize(const http_reply& reply, bool close,
                      bool is_head_request) {
  std::string text;
  text.reserve(256 + reply.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(reply.status);
  text += ' ';
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(reply.status));
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const auto& field : reply.fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  if (close) text += "Connection: close\r\n";
  const bool bodiless = reply.status == 204 || reply.status == 304;
  if (!bodiless) {
    text += "Content-Length: ";
    text += std::to_string(reply.body.size());
    text += "\r\n";
  }
  text += "\r\n";
  if (!is_head_request && !bodiless) text += reply.body;
  return text;
}

}  // namespace corianderrail::edge

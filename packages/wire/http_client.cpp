/** @file http_client.cpp Blocking HTTP client with time and size limits. */

#include "wire/http_client.h"

#include "wire/cxxtools_compat.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>

namespace corianderrail {

namespace {

using kind = wire_error::kind;

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

cxxtools::http::Request MakeRequest(const http_request& from) {
  cxxtools::http::Request request(from.path);
  request.method(from.method);
  request.qparams(from.parameters);
  for (const auto& header : from.headers) {
    request.setHeader(header.name.c_str(), header.value.c_str());
  }
  request.body() << from.body;
  return request;
}

}  // namespace

ip_endpoint ParseIpEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == text.npos || colon == 0) {
    throw wire_error(kind::bad_syntax, "'" + std::string(text) +
                                           "' is not an address like "
                                           "192.0.2.1:7000");
  }
  const auto port = ReadNumber("port", text.substr(colon + 1),
                               std::numeric_limits<std::uint16_t>::max());
  return {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::optional<std::string> http_reply::Header(std::string_view name) const {
  for (const auto& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) return header.value;
  }
  return std::nullopt;
}

struct http_connection::state {
  explicit state(const ip_endpoint& address)
      : client(address.ip, address.port) {}
  cxxtools::http::Client client;
};

http_connection::http_connection(const std::string& address)
    : state_(std::make_unique<state>(ParseIpEndpoint(address))) {}
http_connection::~http_connection() = default;

http_reply http_connection::Execute(const http_request& from) {
  auto& client = state_->client;
  const cxxtools::Milliseconds limit(static_cast<double>(from.timeout.count()));
  try {
    const auto request = MakeRequest(from);
    const auto& header = client.execute(request, limit, limit);
    // Rejects a body that is chunked or too large before any of it is buffered.
    const char* length = header.getHeader("Content-Length");
    if (length != nullptr) {
      ReadNumber("Content-Length", length, from.body_limit);
    } else if (header.chunkedTransferEncoding()) {
      throw wire_error(kind::too_large,
                       "chunked HTTP reply without Content-Length");
    }
    http_reply reply;
    reply.code = header.httpReturnCode();
    for (const auto& [name, value] : header) {
      reply.headers.push_back({name, value});
    }
    reply.body = client.readBody().body();
    if (length != nullptr && reply.body.size() != header.contentLength()) {
      throw wire_error(kind::too_short, "HTTP reply truncated");
    }
    return reply;
  } catch (const wire_error&) {
    client.close();
    throw;
  } catch (const std::exception& error) {
    client.close();
    throw wire_error(kind::transport_failed, error.what());
  }
}

}  // namespace corianderrail

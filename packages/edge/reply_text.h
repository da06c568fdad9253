/** @file reply_text.h Answers of the HTTP server as bytes. */

#pragma once

#include <boost/system/error_code.hpp>
#include <string>

#include "edge/http_server.h"

namespace corianderrail::edge {

/**
 * Bytes of an answer.
 * @param close The connection is closed after it.
 * @param is_head_request The body is left out, its length is stated.
 */
std::string Serialize(const http_reply& reply, bool close,
                      bool is_head_request);

/** Status to send after a read error; 0 when the connection is closed without
 *  an answer. */
int ErrorStatus(const boost::system::error_code& error);

}  // namespace corianderrail::edge

/** @file request_framing.h Rejects requests with ambiguous framing. */

#pragma once

#include "edge/http_server.h"

namespace corianderrail::edge {

/**
 * True when body length and host of a parsed request header are unambiguous.
 * A leaf that read another length would take a part of the body for the next
 * request (request smuggling).
 */
bool IsUnambiguous(const http_request& request);

}  // namespace corianderrail::edge

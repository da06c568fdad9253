/** @file request_framing.h Requests that all hosts read alike. */

#pragma once

#include "edge/http_server.h"

namespace corianderrail::edge {

/**
 * True when length and host of a parsed head have one meaning only. A leaf
 * that read another one would take a part of the request for the next one.
 */
bool IsUnambiguous(const http_request& request);

}  // namespace corianderrail::edge

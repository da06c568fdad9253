/** @file http_status.h Status codes that this program sends or understands. */

#pragma once

namespace corianderrail::gateway {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeadTooLarge = 431;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

}  // namespace corianderrail::gateway

/** @file peer_codec.h Encoding of messages between hosts. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/peer_message_type.h"
#include "wire/wire_error.h"

namespace corianderrail {

/** First byte of each message; incremented with each incompatible change. */
inline constexpr std::uint8_t kPeerWireVersion = 2;

/** Maximum size of an encoded message, with its signature. */
inline constexpr std::size_t kMaxPeerMessageBytes = 8u << 20;

/** Size of the HMAC-SHA256 at the end of each message. */
inline constexpr std::size_t kPeerSignatureBytes = 32;

/** Minimum length of the shared key. */
inline constexpr std::size_t kMinSharedKeyBytes = 16;

/**
 * Encodes and signs a message.
 * @param key Shared key of the fleet.
 * @throws wire_error when the message is larger than kMaxPeerMessageBytes.
 */
std::string EncodePeerMessage(const peer_message& message,
                              std::string_view key);

/** Appends the signature of `bytes`: the version byte and the content. */
std::string SignPeerBytes(std::string bytes, std::string_view key);

/**
 * Checks the signature and decodes a message.
 * @throws wire_error for any input that EncodePeerMessage() cannot produce.
 */
peer_message DecodePeerMessage(std::string_view bytes, std::string_view key);

}  // namespace corianderrail

/** @file peer_codec.cpp Encoding of messages between hosts. */

#include "wire/peer_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <chrono>
#include <cmath>
#include <concepts>
#include <msgpack.hpp>
#include <type_traits>
#include <utility>

#include "wire/enum_bound.h"

namespace corianderrail {

namespace {

using kind = wire_error::kind;

/** Maximum number of elements of an array. The member table of the fleet size
 *  that is planned for two years ahead fits. */
constexpr std::size_t kMaxArrayElements = 65'536;

/** Maximum nesting depth: envelope, body, list, record and reference take five
 *  levels; the rest is a margin. */
constexpr std::size_t kMaxNestingDepth = 12;

/** Maximum duration; adding it to a time_point cannot overflow. */
constexpr duration kMaxDuration = std::chrono::hours(24 * 366);

template <typename T>
concept has_fields = requires(T value) {
  value.VisitFields([](auto&...) {});
};

using packer = msgpack::packer<msgpack::sbuffer>;

void Pack(packer& out, bool value) { out.pack(value); }
void Pack(packer& out, double value) { out.pack(value); }
void Pack(packer& out, std::uint32_t value) { out.pack(value); }
void Pack(packer& out, std::uint64_t value) { out.pack(value); }
void Pack(packer& out, duration value) {
  out.pack(std::int64_t{value.count()});
}

void Pack(packer& out, const std::string& value) {
  const auto size = static_cast<std::uint32_t>(value.size());
  out.pack_bin(size);
  out.pack_bin_body(value.data(), size);
}

template <typename Enum>
requires std::is_enum_v<Enum>
void Pack(packer& out, Enum value) {
  out.pack(static_cast<std::uint64_t>(value));
}

template <has_fields T>
void Pack(packer& out, const T& value);

template <typename T>
void Pack(packer& out, const std::vector<T>& values) {
  out.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const T& value : values) Pack(out, value);
}

template <typename T, std::size_t N>
void Pack(packer& out, const std::array<T, N>& values) {
  out.pack_array(N);
  for (const T& value : values) Pack(out, value);
}

template <has_fields T>
void Pack(packer& out, const T& value) {
  // VisitFields() is not const because Read() writes through it. This visitor
  // does not modify the value.
  const_cast<T&>(value).VisitFields([&out](const auto&... fields) {
    out.pack_array(sizeof...(fields));
    (Pack(out, fields), ...);
  });
}

std::uint64_t Unsigned(const msgpack::object& from, std::uint64_t max_value) {
  if (from.type != msgpack::type::POSITIVE_INTEGER) {
    throw wire_error(kind::wrong_type, "peer message: expected an integer");
  }
  if (from.via.u64 > max_value) {
    throw wire_error(kind::out_of_range, "peer message: integer too large");
  }
  return from.via.u64;
}

const msgpack::object_array& Array(const msgpack::object& from) {
  if (from.type != msgpack::type::ARRAY) {
    throw wire_error(kind::wrong_type, "peer message: expected an array");
  }
  return from.via.array;
}

const msgpack::object_array& ArrayOfSize(const msgpack::object& from,
                                         std::size_t size) {
  const auto& array = Array(from);
  if (array.size != size) {
    throw wire_error(kind::wrong_type,
                     "peer message: expected " + std::to_string(size) +
                         " fields, got " + std::to_string(array.size));
  }
  return array;
}

void Read(const msgpack::object& from, bool& value) {
  if (from.type != msgpack::type::BOOLEAN) {
    throw wire_error(kind::wrong_type, "peer message: expected a boolean");
  }
  value = from.via.boolean;
}

void Read(const msgpack::object& from, double& value) {
  // msgpack-cxx encodes a double without a fraction as an integer.
  try {
    value = from.as<double>();
  } catch (const msgpack::type_error&) {
    throw wire_error(kind::wrong_type, "peer message: expected a number");
  }
  if (!std::isfinite(value)) {
    throw wire_error(kind::out_of_range, "peer message: number not finite");
  }
}

template <typename T>
requires std::unsigned_integral<T>
void Read(const msgpack::object& from, T& value) {
  value = static_cast<T>(Unsigned(from, std::numeric_limits<T>::max()));
}

template <typename Enum>
requires std::is_enum_v<Enum>
void Read(const msgpack::object& from, Enum& value) {
  value = static_cast<Enum>(Unsigned(from, enum_bound<Enum>::kMaxValue));
}

void Read(const msgpack::object& from, duration& value) {
  constexpr std::int64_t kMaxCount = kMaxDuration.count();
  if (from.type == msgpack::type::NEGATIVE_INTEGER) {
    if (from.via.i64 < -kMaxCount) {
      throw wire_error(kind::out_of_range, "peer message: duration too long");
    }
    value = duration(from.via.i64);
    return;
  }
  value = duration(Unsigned(from, static_cast<std::uint64_t>(kMaxCount)));
}

void Read(const msgpack::object& from, std::string& value) {
  if (from.type != msgpack::type::BIN) {
    throw wire_error(kind::wrong_type, "peer message: expected bytes");
  }
  value.assign(from.via.bin.ptr, from.via.bin.size);
}

template <has_fields T>
void Read(const msgpack::object& from, T& value);

template <typename T>
void Read(const msgpack::object& from, std::vector<T>& values) {
  const auto& array = Array(from);
  values.resize(array.size);
  for (std::size_t i = 0; i < array.size; ++i) Read(array.ptr[i], values[i]);
}

template <typename T, std::size_t N>
void Read(const msgpack::object& from, std::array<T, N>& values) {
  const auto& array = ArrayOfSize(from, N);
  for (std::size_t i = 0; i < N; ++i) Read(array.ptr[i], values[i]);
}

template <has_fields T>
void Read(const msgpack::object& from, T& value) {
  value.VisitFields([&from](auto&... fields) {
    const auto& array = ArrayOfSize(from, sizeof...(fields));
    std::size_t next = 0;
    (Read(array.ptr[next++], fields), ...);
  });
}

/** Calls a visitor with the envelope fields in wire order. */
template <typename Message, typename Visitor>
void VisitEnvelope(Message& message, Visitor&& visit) {
  visit(message.from, message.to_incarnation, message.revision,
        message.contract_digest, message.topology_version,
        message.contract_format, message.from_address);
}

constexpr std::size_t kEnvelopeFields = 7;

template <std::size_t... Index>
void ReadBody(std::size_t body_index, const msgpack::object& from,
              peer_body& body, std::index_sequence<Index...>) {
  ((body_index == Index ? Read(from, body.emplace<Index>()) : void()), ...);
}

using signature = std::array<unsigned char, kPeerSignatureBytes>;

signature ComputeHmac(std::string_view bytes, std::string_view key) {
  signature result{};
  unsigned int size = 0;
  const auto* digest =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           result.data(), &size);
  if (digest == nullptr || size != result.size()) {
    throw wire_error(kind::bad_signature,
                     "libcrypto could not compute HMAC-SHA256");
  }
  return result;
}

/** Checks size, signature and version; returns the content between the version
 *  byte and the signature. */
std::string_view VerifiedContent(std::string_view bytes, std::string_view key) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    throw wire_error(kind::too_large, "peer message: larger than 8 MiB");
  }
  if (bytes.size() <= 1 + kPeerSignatureBytes) {
    throw wire_error(kind::too_short, "peer message: shorter than an envelope");
  }
  const std::size_t signed_size = bytes.size() - kPeerSignatureBytes;
  const auto expected = ComputeHmac(bytes.substr(0, signed_size), key);
  if (CRYPTO_memcmp(expected.data(), bytes.data() + signed_size,
                    expected.size()) != 0) {
    throw wire_error(kind::bad_signature,
                     "peer message: signature does not match; check that all "
                     "hosts have the same shared_key");
  }
  if (static_cast<std::uint8_t>(bytes[0]) != kPeerWireVersion) {
    throw wire_error(
        kind::bad_version,
        "peer message: unknown protocol version; upgrade this host");
  }
  return bytes.substr(1, signed_size - 1);
}

msgpack::object_handle Unpack(std::string_view content) {
  const msgpack::unpack_limit limit(kMaxArrayElements, 0, 0,
                                    kMaxPeerMessageBytes, 0, kMaxNestingDepth);
  std::size_t consumed = 0;
  msgpack::object_handle handle;
  try {
    handle = msgpack::unpack(content.data(), content.size(), consumed, nullptr,
                             nullptr, limit);
  } catch (const msgpack::size_overflow&) {
    throw wire_error(
        kind::too_large,
        "peer message: array or string too long, or nested too deeply");
  } catch (const msgpack::insufficient_bytes&) {
    throw wire_error(kind::too_short, "peer message: truncated");
  } catch (const msgpack::unpack_error& error) {
    throw wire_error(kind::bad_syntax,
                     std::string("peer message: ") + error.what());
  }
  if (consumed != content.size()) {
    throw wire_error(kind::trailing_bytes,
                     "peer message: unexpected bytes after the content");
  }
  return handle;
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message,
                              std::string_view key) {
  msgpack::sbuffer buffer;
  const auto version = static_cast<char>(kPeerWireVersion);
  buffer.write(&version, 1);
  packer out(buffer);
  out.pack_array(kEnvelopeFields + 2);
  VisitEnvelope(message,
                [&out](const auto&... fields) { (Pack(out, fields), ...); });
  out.pack(static_cast<std::uint64_t>(message.body.index()));
  std::visit([&out](const auto& body) { Pack(out, body); }, message.body);
  std::string bytes(buffer.data(), buffer.size());
  if (bytes.size() + kPeerSignatureBytes > kMaxPeerMessageBytes) {
    throw wire_error(kind::too_large, "peer message: larger than 8 MiB");
  }
  return SignPeerBytes(std::move(bytes), key);
}

std::string SignPeerBytes(std::string bytes, std::string_view key) {
  const auto mac = ComputeHmac(bytes, key);
  bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return bytes;
}

peer_message DecodePeerMessage(std::string_view bytes, std::string_view key) {
  const auto handle = Unpack(VerifiedContent(bytes, key));
  const auto& array = ArrayOfSize(handle.get(), kEnvelopeFields + 2);
  peer_message message;
  std::size_t next = 0;
  VisitEnvelope(message, [&](auto&... fields) {
    (Read(array.ptr[next++], fields), ...);
  });
  constexpr std::size_t kBodyCount = std::variant_size_v<peer_body>;
  const auto body_index = Unsigned(array.ptr[next], kBodyCount - 1);
  ReadBody(body_index, array.ptr[next + 1], message.body,
           std::make_index_sequence<kBodyCount>());
  return message;
}

}  // namespace corianderrail

/** @file message_bytes.h Estimated size of messages between hosts. */

#pragma once

#include <cstddef>
#include <string>
#include <type_traits>
#include <variant>

#include "core/peer_message_type.h"

namespace corianderrail {

/** Sums up the sizes of all fields of a message. */
class byte_counter {
 public:
  template <typename... Fields>
  void operator()(Fields&... fields) {
    (Add(fields), ...);
  }
  std::size_t Bytes() const { return bytes_; }

 private:
  template <typename Field>
  void Add(Field& field) {
    if constexpr (requires { field.VisitFields(*this); }) {
      field.VisitFields(*this);
    } else if constexpr (requires { field.begin()->VisitFields(*this); }) {
      for (auto& one : field) Add(one);
    } else if constexpr (std::is_same_v<Field, std::string>) {
      bytes_ += field.size() + 1;
    } else {
      bytes_ += sizeof(Field);
    }
  }
  std::size_t bytes_ = 0;
};

/** Estimated size of a message: its fields, envelope and authentication. */
inline std::size_t MessageBytes(peer_message& message) {
  constexpr std::size_t kMacBytes = 32;
  byte_counter counter;
  counter(message.from, message.to_incarnation, message.revision,
          message.contract_digest, message.topology_version,
          message.contract_format, message.from_address);
  std::visit([&](auto& body) { counter(body); }, message.body);
  return counter.Bytes() + kMacBytes;
}

}  // namespace corianderrail

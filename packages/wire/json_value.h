/** @file json_value.h Strict JSON reader and writer, based on cxxtools. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/wire_error.h"

namespace corianderrail {

/** Maximum size of a JSON text that a caller sends. */
inline constexpr std::size_t kMaxCallerBodyBytes = 256u << 10;

/** Largest integer that JSON readers that use doubles represent exactly. */
inline constexpr std::uint64_t kExactJsonInteger = 1ULL << 53;

/**
 * Checks the nesting depth of a JSON text before a recursive parser reads it.
 * @throws wire_error when it is nested more than 16 levels deep.
 */
void CheckJsonNesting(std::string_view text);

/** A parsed JSON object; reading a member checks its type and range. */
class json_object {
 public:
  /**
   * Parses a text whose outermost value is an object.
   * @param members Allowed names; the error for any other names the member.
   * @param max_bytes Maximum size of the text.
   * @throws wire_error when the text is not such an object.
   */
  static json_object Parse(std::string_view text,
                           std::initializer_list<std::string_view> members,
                           std::size_t max_bytes = kMaxCallerBodyBytes);
  ~json_object();
  json_object(json_object&&) noexcept;

  bool Has(std::string_view name) const;

  /** Text of at most `max_bytes`; @throws wire_error naming the member. */
  std::string Text(std::string_view name, std::size_t max_bytes) const;

  /** Like Text(), but empty when the member is absent. */
  std::string OptionalText(std::string_view name, std::size_t max_bytes) const;

  /** Integer, as number or text; @throws wire_error naming the member. */
  std::uint64_t Unsigned(std::string_view name, std::uint64_t max_value) const;

  /** Like Unsigned(), but `fallback` when the member is absent. */
  std::uint64_t OptionalUnsigned(std::string_view name, std::uint64_t max_value,
                                 std::uint64_t fallback) const;

  bool OptionalBool(std::string_view name, bool fallback) const;

  /**
   * Reads a list of objects; empty when absent.
   * @param members Allowed names in each object.
   */
  std::vector<json_object> Objects(
      std::string_view name, std::initializer_list<std::string_view> members,
      std::size_t max_entries) const;

  /** Bytes of `payload` or `payload_base64`; empty when both are absent. */
  std::string Payload(std::size_t max_bytes) const;

 private:
  struct state;
  explicit json_object(std::unique_ptr<state> value);
  std::unique_ptr<state> state_;
};

/** Builds one JSON object, member by member. */
class json_writer {
 public:
  json_writer();
  ~json_writer();
  json_writer(const json_writer&) = delete;
  json_writer& operator=(const json_writer&) = delete;

  json_writer& Text(std::string_view name, std::string_view value);
  /** Adds an integer; above kExactJsonInteger it is written as text. */
  json_writer& Unsigned(std::string_view name, std::uint64_t value);
  json_writer& Signed(std::string_view name, std::int64_t value);
  json_writer& Bool(std::string_view name, bool value);
  /** Adds `payload` when the bytes are valid UTF-8, else `payload_base64`. */
  json_writer& Payload(std::string_view bytes);
  /** Opens a nested object; members go into it until End(). */
  json_writer& Object(std::string_view name);
  /** Opens a nested list; its elements are added with an empty name. */
  json_writer& List(std::string_view name);
  json_writer& End();

  std::string Finish() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderrail

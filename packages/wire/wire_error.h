/** @file wire_error.h Error type of decoders and connections. */

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace corianderrail {

/** Thrown when a decoder rejects its input or a connection fails. */
class wire_error : public std::runtime_error {
 public:
  /** Cause of the error. */
  enum class kind : std::uint8_t {
    too_large,        ///< Longer than the limit.
    too_short,        ///< Ends before the content does.
    bad_version,      ///< Encoded by an unknown version.
    bad_signature,    ///< Not signed with the shared key, or signing failed.
    bad_syntax,       ///< Cannot be parsed as the format.
    trailing_bytes,   ///< Further bytes follow the content.
    wrong_type,       ///< A value of another type was expected.
    out_of_range,     ///< A value outside its bounds.
    unknown_member,   ///< A member that the format does not have.
    missing_member,   ///< A required member is absent.
    transport_failed  ///< A socket or connection failed.
  };

  wire_error(kind reason, const std::string& message)
      : std::runtime_error(message), reason_(reason) {}

  kind Reason() const { return reason_; }

 private:
  kind reason_;
};

}  // namespace corianderrail

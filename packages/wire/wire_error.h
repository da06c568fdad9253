/** @file wire_error.h Typed errors of the decoders. */

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace corianderrail {

/** Input that a decoder refused. */
class wire_error : public std::runtime_error {
 public:
  /** What is wrong with the input. */
  enum class kind : std::uint8_t {
    too_large,        ///< Longer than the limit.
    too_short,        ///< Ends before the content does.
    bad_version,      ///< Encoded by an unknown version.
    bad_signature,    ///< Not signed with the shared key.
    bad_syntax,       ///< Not in the format at all.
    trailing_bytes,   ///< Something follows the content.
    wrong_type,       ///< A value of another type was expected.
    out_of_range,     ///< A value outside its bounds.
    unknown_member,   ///< A member that the format does not have.
    missing_member,   ///< A required member is absent.
    transport_failed  ///< A socket could not be set up.
  };

  wire_error(kind reason, const std::string& message)
      : std::runtime_error(message), reason_(reason) {}

  kind Reason() const { return reason_; }

 private:
  kind reason_;
};

}  // namespace corianderrail

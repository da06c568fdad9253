/** @file byte_budget.h Bound on the bytes of messages that are not complete. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace corianderrail::gateway {

/** Identifies a message in a byte_budget. */
enum class message_id : std::uint64_t {};

/** Identifies the sender of messages: a leaf, or the connection of a client. */
enum class sender_id : std::uint64_t {};

/**
 * Shares a bound on memory among the senders of messages. Only bytes that have
 * arrived count, so a message that is announced as large but sent slowly takes
 * little. When the bound is exceeded, the sender that holds most gives way, so
 * that one sender in trouble costs no other one its messages.
 */
class byte_budget {
 public:
  explicit byte_budget(std::size_t bound) : bound_(bound) {}

  /**
   * Notes how much of a message has arrived.
   * @return Messages to be given up, so that the rest is within the bound; they
   *     are forgotten. The given one may be among them.
   */
  std::vector<message_id> Set(message_id message, sender_id sender,
                              std::size_t bytes);

  /** The message is complete and is kept for now; it is not given up. */
  void Complete(message_id message);

  /** The message was answered or dropped. */
  void Remove(message_id message);

  std::size_t Total() const { return total_; }

 private:
  struct held_message {
    sender_id sender{};
    std::size_t bytes = 0;
    bool complete = false;
  };

  std::optional<message_id> Largest() const;

  std::size_t bound_;
  std::size_t total_ = 0;
  std::map<message_id, held_message> messages_;
  std::map<sender_id, std::size_t> incomplete_;  ///< Bytes by sender.
};

}  // namespace corianderrail::gateway

/** @file byte_budget.h Bounds on the bytes that are held for slow peers. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "core/time_type.h"
#include "gateway/admission/peer_pace.h"

namespace corianderrail::gateway {

/** Identifies a message in a byte_budget. */
enum class message_id : std::uint64_t {};

/** Identifies the peer of messages: a leaf, or the address of a client. */
enum class sender_id : std::uint64_t {};

/** Bounds in bytes. */
struct byte_bounds {
  std::size_t total = 0;  ///< All messages together.
  std::size_t sender =
      std::numeric_limits<std::size_t>::max();  ///< Messages of one peer.
  std::size_t message =
      std::numeric_limits<std::size_t>::max();  ///< One message.
};

/** The bound at which a message was given up. */
enum class byte_bound : std::uint8_t { message, sender, total };
inline constexpr std::size_t kByteBounds = 3;

/** Direction of the messages of a byte_budget. */
enum class byte_flow : std::uint8_t {
  sent_by_peer,  ///< Held until the message is complete.
  read_by_peer,  ///< Held until the peer has read it.
};

/** State of a message at one moment. */
struct byte_progress {
  std::size_t bytes = 0;  ///< Held now.
  std::size_t moved = 0;  ///< Moved by the peer since the last update.
  time_point at{};        ///< Time of the observation.
};

/** A message that has to be given up. */
struct given_up_message {
  message_id message{};
  byte_bound bound{};     ///< The bound that was exceeded.
  std::size_t bytes = 0;  ///< Held for the message.
  duration behind{};      ///< How far its peer is behind the usual pace.
};

/**
 * Shares a bound on memory among messages that their peers read or send, and
 * decides which one ends when a bound is exceeded. Only bytes that are held
 * count, so a message that is announced as large but sent slowly takes little.
 * Among the messages that the bound concerns, the one whose peer is furthest
 * behind the usual pace is given up. If none is behind, it is the largest
 * message of the peer that holds most, so that one peer in trouble costs no
 * other one its messages.
 */
class byte_budget {
 public:
  explicit byte_budget(std::size_t bound) : byte_budget(byte_bounds{bound}) {}
  explicit byte_budget(const byte_bounds& bounds,
                       byte_flow flow = byte_flow::sent_by_peer)
      : bounds_(bounds), flow_(flow) {}

  /**
   * Notes how much of a message is held, without regard to its pace.
   * @return Messages to be given up, so that the rest is within the bound; they
   *     are forgotten. The given one may be among them.
   */
  std::vector<message_id> Set(message_id message, sender_id sender,
                              std::size_t bytes);

  /** The same, with the pace of the message and the causes. */
  std::vector<given_up_message> Update(message_id message, sender_id sender,
                                       const byte_progress& progress);

  /** The message is complete and is kept for now; it is not given up. */
  void Complete(message_id message);

  /** The message was read, answered or dropped. */
  void Remove(message_id message);

  /** Applies from the next update on. */
  void SetBounds(const byte_bounds& bounds) { bounds_ = bounds; }

  std::size_t Total() const { return total_; }

 private:
  struct held_message {
    sender_id sender{};
    std::size_t bytes = 0;
    bool complete = false;
    peer_pace pace;
    std::size_t unread = 0;  ///< Of the bytes held when `pace` began.
  };

  void Advance(held_message& held, const byte_progress& progress) const;
  std::optional<byte_bound> Exceeded(message_id message,
                                     sender_id sender) const;
  std::optional<message_id> Slowest(std::optional<sender_id> of,
                                    time_point now) const;
  given_up_message GiveUp(message_id message, byte_bound bound, time_point now);

  byte_bounds bounds_;
  byte_flow flow_;
  std::size_t total_ = 0;
  std::map<message_id, held_message> messages_;
  std::map<sender_id, std::size_t> incomplete_;  ///< Bytes by sender.
};

}  // namespace corianderrail::gateway

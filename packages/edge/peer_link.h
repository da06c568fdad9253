/** @file peer_link.h Runs the membership protocol between hosts over UDP. */

#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/membership.h"

namespace corianderrail::edge {

/** Counters of a peer_link; all only increase. */
struct peer_link_counters {
  std::uint64_t sent = 0;        ///< Datagrams, failed sends included.
  std::uint64_t received = 0;    ///< Datagrams, valid or not.
  std::uint64_t refused = 0;     ///< Received, but invalid or unexpected.
  std::uint64_t bytes_sent = 0;  ///< Payload of `sent`.
  std::uint64_t bytes_sent_to_other_regions = 0;  ///< Part of `bytes_sent`.
  std::uint64_t figure_bytes_sent = 0;            ///< Part of `bytes_sent`.
  std::uint64_t bytes_received = 0;               ///< Payload of `received`.
};

/**
 * Runs the membership reducer over datagrams. A connection to a peer could
 * stall without an error, whereas a lost datagram affects only itself, which
 * membership tolerates.
 */
class peer_link {
 public:
  /** @throws boost::system::system_error when the address cannot be bound. */
  peer_link(boost::asio::io_context& io, const member_record& self,
            membership_settings settings, std::string shared_key,
            std::uint64_t seed);

  /** Joins the fleet through the seeds; `on_change` is called after each change
   *  of the members. */
  void Start(std::function<void()> on_change);

  void SetReady(bool ready);
  void SetBusy(bool busy);
  void SetLeaving();
  void SetRevision(std::uint64_t revision);
  /** Sends figures about leafs to other members. */
  void SendFigures(const std::vector<leaf_figure>& figures,
                   std::span<const member_record* const> receivers);

  /** Sets the receiver of figures that members send to this host. */
  void OnFigures(
      std::function<void(host_id, std::vector<leaf_figure>)> handler) {
    on_figures_ = std::move(handler);
  }

  void SetSeeds(std::span<const std::string> seeds);

  /** Probes peers again after this process did not run for a while. */
  void OnClockGap();

  /** True once a peer answered, or when there is none. */
  bool Joined() const { return members_.Confirmed(); }

  std::vector<member_record> Members() const { return members_.Members(); }

  /** Highest store revision that any member reports. */
  std::uint64_t HighestRevision() const;

  const peer_link_counters& Counters() const { return counters_; }

 private:
  void Receive();
  void OnDatagram(std::string_view bytes);
  bool TakeFigures(const peer_message& message, leaf_figures& body);
  void ExecuteEffects(effect_list& effects);
  void Tick();
  void ScheduleTick();

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  membership members_;
  std::string shared_key_;
  std::function<void()> on_change_;
  std::function<void(host_id, std::vector<leaf_figure>)> on_figures_;
  std::uint64_t seen_generation_ = 0;
  peer_link_counters counters_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_{};
};

}  // namespace corianderrail::edge

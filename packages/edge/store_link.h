/** @file store_link.h Follows the metadata store. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_type.h"
#include "edge/http_getter.h"
#include "edge/relay_codec.h"
#include "gateway/store/store_reader.h"

namespace corianderrail::edge {

/** The source of the items was lost, recovered or changed. */
struct source_change {
  std::string_view source;  ///< "store" or a peer address.
  /** Why the last read failed; empty when it was answered. */
  std::optional<gateway::store_failure> failure;
  duration read_time{};  ///< How long the last read was open.
};

/** Settings and callbacks of a store_link. */
struct store_link_settings {
  std::string store_address;               ///< Metadata store.
  host_id self{};                          ///< This host.
  std::string zone;                        ///< Its availability zone.
  std::uint64_t seed = 0;                  ///< Of the random backoff.
  gateway::store_follower_settings reads;  ///< Timing of reads.
  duration max_age{};                      ///< Older items are stale.
  std::function<std::span<const member_record>()>
      members;  ///< Hosts known now.
  std::function<void(const gateway::store_update&)>
      on_update;  ///< After each answer.
  std::function<void(const source_change&)> on_source;
  /** All items are listed anew, since their changes cannot be had. */
  std::function<void(gateway::store_failure)> on_relist;
};

/** Carries out the reads of a store_reader. */
class store_link {
 public:
  store_link(boost::asio::io_context& io, store_link_settings settings);

  void Start();

  /** Cancels the open read and reads from another source, because the present
   *  source has not delivered a change that peers know. Does nothing while an
   *  answer arrives.
   *  @param missing Revision of the change.
   *  @return Whether the read was canceled. */
  bool SwitchSource(std::uint64_t missing);

  /** Reads on new connections, because this process did not run for a while and
   *  the present connections may be stale. */
  void Reconnect();

  void SetMaxAge(duration max_age) { reader_.SetMaxAge(max_age); }

  const gateway::store_reader& Reader() const { return reader_; }
  const gateway::store_read_counts& StoreCalls() const { return store_calls_; }
  const gateway::store_failure_counts& Failures() const { return failures_; }
  std::uint64_t RelayCalls() const { return relay_calls_; }

 private:
  void ReadNext();
  void ProbeNext();
  void OnProbe(gateway::store_read_kind kind, const get_outcome& outcome);
  void ReadStore(const gateway::store_read& read);
  void ReadPeer(const std::string& address, const gateway::store_read& read);
  void OnReply(gateway::store_reply reply,
               const gateway::reply_freshness& freshness);
  void OnFailure(gateway::store_failure failure);
  std::string_view Source() const;
  void Finish(const std::optional<gateway::store_update>& update);
  void RestartRead();
  void ReportSource(std::optional<gateway::store_failure> failure);

  boost::asio::io_context& io_;
  store_link_settings settings_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer probe_timer_;
  http_getter store_;
  http_getter probe_;  ///< Another connection to the store.
  std::unique_ptr<http_getter> peer_;
  std::string peer_address_;
  gateway::store_reader reader_;
  time_point read_began_{};  ///< Start of the last read.
  std::string reported_source_;
  bool reported_reachable_ = true;
  bool reconnecting_ = false;  ///< A canceled read is not a failure.
  gateway::store_read_counts store_calls_{};
  gateway::store_failure_counts failures_{};
  std::uint64_t relay_calls_ = 0;
};

}  // namespace corianderrail::edge

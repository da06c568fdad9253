/** @file store_simulation.h Hosts that follow a store, in virtual time. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/store/lag_detector.h"
#include "gateway/store/store_cache.h"
#include "gateway/store/store_reader.h"

namespace corianderrail::gateway {

/** How the store treats the reads of a host. */
enum class store_mode : std::uint8_t {
  good,    ///< Answers.
  silent,  ///< Never answers reads that are open meanwhile.
  loses,   ///< Its answers are lost, without a sign on the connection.
  refuses  ///< Refuses each read.
};

/**
 * A fleet of hosts that read one store and each other. Connections are kept
 * between reads, and can stall without a reset. Hosts learn the revisions of
 * others after a delay, as from membership messages.
 */
class store_simulation {
 public:
  /** @param hosts Number of hosts, spread over the zones. */
  store_simulation(std::size_t hosts, std::uint64_t seed,
                   std::size_t zones = 3);

  /** Advances the time. */
  void Run(duration length);

  /** Writes the configuration; returns when the store acknowledged it. */
  time_point Change();

  /** A leaf reports that it drains; returns when the store acknowledged it. */
  time_point Drain();

  /** How long after the acknowledgment a host may send requests to that leaf.
   *  @param drain_time How long the leaf serves. */
  duration LeafUsedFor(std::size_t host, duration drain_time) const;

  /** A host stands still for a time. */
  void Freeze(std::size_t host, duration length);

  /** Hosts that read the store, not a peer. */
  std::vector<std::size_t> Readers() const;

  std::size_t Hosts() const { return hosts_.size(); }
  bool HasNewest(std::size_t host) const;

  /** How long the store takes to send a listing. */
  void SetListingTime(duration length) { listing_time_ = length; }

  /** The store drops its history. */
  void Compact() { compacted_ = revision_; }

  /** All open connections stop to transfer anything. */
  void StallConnections();

  /** Sets how the store treats a host from now on. */
  void SetMode(std::size_t host, store_mode mode);

  /** The same for all hosts. */
  void SetMode(store_mode mode);

  /** The process of a host starts anew. */
  void Restart(std::size_t host);

  /** Number of hosts that lack the newest configuration. */
  std::size_t Outdated() const;

  time_point Now() const { return now_; }
  std::uint64_t StoreCalls() const { return store_calls_; }

  /** True when a process had a configuration and then an older one. */
  bool WentBack() const { return went_back_; }

 private:
  /** A kept connection; it stalls until a read on it fails. */
  struct connection {
    bool open = false;
    time_point stalled = kNever;  ///< When it stalled.
  };

  /** A read that has not ended. */
  struct open_read {
    sourced_read what;
    time_point began{};
    bool lost = false;       ///< The store was silent meanwhile.
    time_point confirmed{};  ///< Of the items of the peer when it began.
  };

  struct host {
    host(std::string given, const store_reader_settings& settings)
        : address(std::move(given)), reader(settings) {}

    std::string address;
    store_reader reader;
    store_cache cache;
    lag_detector lag;
    time_point confirmed{};
    std::uint64_t config = 0;  ///< Revision of the configuration in force.
    store_mode mode = store_mode::good;
    time_point frozen_since{};
    time_point frozen_until{};
    time_point drain_known = kNever;  ///< When it learned of the drain.
    time_point drain_after{};         ///< The drain began after this time.
    std::map<std::string, connection> connections;  ///< By peer, "" is store.
    std::optional<open_read> read;
    std::optional<open_read> probe;
  };

  bool Frozen(const host& one) const { return now_ < one.frozen_until; }
  host MakeHost(std::size_t number);
  const host& Peer(const std::string& address) const;
  void Step();
  void StepHost(host& one);
  void StepProbe(host& one);
  void Begin(host& one);
  bool Fails(host& one);
  std::optional<store_reply> StoreAnswer(const open_read& read) const;
  bool LacksHistory(const store_read& read) const;
  bool AnswerFromStore(host& one);
  bool AnswerFromPeer(host& one);
  void Apply(host& one, const store_update& update);
  void Fail(host& one, store_failure failure);
  void CheckLag(host& one);
  void ShareRevisions();

  std::uint64_t seed_;
  std::size_t zones_;
  std::vector<host> hosts_;
  std::vector<member_record> members_;
  std::deque<std::vector<std::uint64_t>> reported_;  ///< Oldest first.
  time_point now_{std::chrono::seconds(1)};
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;  ///< Watches from before it fail.
  duration listing_time_ = std::chrono::milliseconds(20);
  std::uint64_t config_revision_ = 1;
  std::uint64_t drain_revision_ = 0;  ///< 0 while the leaf does not drain.
  time_point drain_ack_{};
  std::uint64_t store_calls_ = 0;
  std::uint64_t restarts_ = 0;
  bool went_back_ = false;
};

}  // namespace corianderrail::gateway

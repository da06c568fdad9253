/** @file baseline_host.h Common part of the baseline hosts. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "driver/deployment.h"
#include "driver/fleet_type.h"

namespace corianderrail::bench {

/** Returns the topology in force. */
using topology_source = std::function<std::shared_ptr<const topology>()>;

/** One part of an open query. */
struct baseline_part {
  std::uint64_t query = 0;     ///< Number of the query.
  std::uint32_t index = 0;     ///< Index of the partition in the map.
  service_id service{};        ///< Service of the partition.
  rank urgency{};              ///< Rank of the query.
  time_point deadline{};       ///< Deadline of the query.
  std::uint32_t attempts = 0;  ///< Requests sent for the part so far.
  std::shared_ptr<const leaf_request> request;  ///< Request that the leafs get.
};

/** Splits queries into parts, gathers the parts and answers; subclasses decide
 *  which leafs get which requests. */
class baseline_host : public driver::fleet_host {
 public:
  baseline_host(const driver::document_store& store, std::uint32_t hosts,
                std::uint64_t seed);

  void Start(time_point now, effect_list& effects) override;
  void Reduce(const event& event, time_point now,
              effect_list& effects) override;
  time_point NextWake() const override;
  peer_message Envelope(const send_peer_effect& effect) const override;

 protected:
  /** Whether to accept a query; by default all are accepted. */
  virtual bool Admit(collection_id collection, rank urgency, duration deadline);
  virtual void Begin(const baseline_part& part, time_point now,
                     effect_list& effects) = 0;
  virtual void OnReply(leaf_call_id call, const leaf_reply& reply,
                       time_point now, effect_list& effects) = 0;
  virtual void OnFailure(leaf_call_id call, time_point now,
                         effect_list& effects) = 0;
  virtual void OnConnections(leaf_id leaf, std::uint32_t open, time_point now,
                             effect_list& effects) = 0;
  virtual void OnTick(time_point now, effect_list& effects) = 0;

  /** Whether the query of the part is open, and the part is neither done nor
   *  failed. */
  bool IsPartOpen(const baseline_part& part) const;
  void PartDone(const baseline_part& part, const std::string& payload,
                time_point now, effect_list& effects);
  void PartFailed(const baseline_part& part, time_point now,
                  effect_list& effects);

  /** Sends the request of a part to a leaf and returns its call. */
  leaf_call_id SendPart(const baseline_part& part, leaf_id leaf, time_point now,
                        effect_list& effects);

  const service_info& Service(service_id service) const;
  std::shared_ptr<const topology> Topology() const { return store_.Topology(); }

  random_source random_;

 private:
  enum class part_state : std::uint8_t { open, done, failed };

  struct open_query {
    call_id call{};
    std::string request_id;
    time_point started{};
    time_point deadline{};
    std::shared_ptr<const topology> map_owner;
    const partition_map* map = nullptr;
    std::vector<part_state> states;
    std::vector<std::string> payloads;
    std::uint32_t left = 0;
  };
  using deadline_entry = std::pair<time_point, std::uint64_t>;

  void OnQuery(const caller_query_event& query, time_point now,
               effect_list& effects);
  void Close(std::uint64_t query, time_point now, effect_list& effects);

  const driver::document_store& store_;
  std::uint32_t hosts_;
  std::uint64_t last_query_ = 0;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, open_query> queries_;
  std::priority_queue<deadline_entry, std::vector<deadline_entry>,
                      std::greater<>>
      deadlines_;
};

}  // namespace corianderrail::bench

/** @file load_generator.h Sends queries at random and checks the answers. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/query_type.h"
#include "core/random.h"
#include "core/rank_type.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

/** Queries of one rank to one collection. */
struct load_stream {
  rank urgency{};              ///< Rank of the queries.
  std::uint32_t collection{};  ///< Index of the collection.
  std::string name;            ///< Name of the collection.
  std::uint64_t key_space{};   ///< Number of keys in the collection.
  double rate_per_s = 0;       ///< Mean arrival rate at factor 1.
};

/** How a query ended for its caller. */
enum class query_outcome : std::uint8_t {
  open,        ///< No answer yet.
  answered,    ///< Answer that is complete or partial.
  incomplete,  ///< Answer below the minimum coverage.
  refused,     ///< Refused by the host.
  lost,        ///< The host was killed.
};

/** One query and its outcome. */
struct query_sample {
  time_point sent{};          ///< When the caller sent it.
  duration elapsed{};         ///< Time until the caller got the answer.
  query_outcome outcome{};    ///< How it ended.
  rank urgency{};             ///< Rank.
  std::uint8_t collection{};  ///< Index of the collection.
  ppm coverage = 0;           ///< Coverage that the answer states.
  std::uint32_t parts = 0;    ///< Number of parts in the answer.
};

/** Answers that violate an invariant, counted per invariant. */
struct answer_violations {
  std::uint64_t mixed = 0;       ///< Holds a part of another snapshot.
  std::uint64_t overstated = 0;  ///< Coverage exceeds what the leafs read.
  std::uint64_t crossed = 0;     ///< Holds a part of another query.
  std::uint64_t repeated = 0;    ///< Second answer to a call.
};

/** Sends queries with Poisson arrivals, checks the answers and keeps a sample
 * of each query. */
class load_generator {
 public:
  load_generator(virtual_fleet& fleet, std::vector<load_stream> streams,
                 duration deadline, std::uint64_t seed);

  /** Starts all streams. */
  void Start();

  /** Sets the factor on the rates of a rank in one collection; without a
   *  collection, in all. */
  void SetFactor(rank urgency, std::optional<std::uint32_t> collection,
                 double factor);

  /** Stops all streams; open queries are still answered. */
  void Stop();

  const std::vector<query_sample>& Samples() const { return samples_; }
  const answer_violations& Violations() const { return violations_; }

  std::uint64_t LeafRequests() const { return leaf_requests_; }

  /** Parts of queries that were sent to a leaf; a part that was sent more than
   *  once counts once. */
  std::uint64_t LeafParts() const { return leaf_parts_.size(); }

 private:
  struct stream_state {
    load_stream stream;
    double factor = 1;
    std::uint64_t generation = 0;
  };

  void ScheduleNext(std::size_t stream);
  void SendQuery(std::size_t stream);
  void OnAnswer(std::size_t sample, std::uint64_t keys, const effect* answer);
  void CheckAnswer(std::size_t sample, std::uint64_t keys,
                   const query_answer& answer);

  virtual_fleet& fleet_;
  std::vector<stream_state> streams_;
  duration deadline_;
  random_source random_;
  std::vector<query_sample> samples_;
  answer_violations violations_;
  std::uint64_t leaf_requests_ = 0;
  std::unordered_set<std::uint64_t> leaf_parts_;
};

}  // namespace corianderrail::driver

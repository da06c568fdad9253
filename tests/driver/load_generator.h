/** @file load_generator.h Callers with Poisson arrivals, and checked answers.
 */

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
  rank urgency{};              ///< Rank.
  std::uint32_t collection{};  ///< Index of the collection.
  std::string name;            ///< Name of the collection.
  std::uint64_t key_space{};   ///< Keys of the collection.
  double rate_per_s = 0;       ///< Mean arrivals a second.
};

/** How a query ended for its caller. */
enum class query_outcome : std::uint8_t {
  open,        ///< No answer yet.
  answered,    ///< Complete or partial answer.
  incomplete,  ///< Answer below the least coverage.
  refused,     ///< Refused.
  lost,        ///< The host was lost.
};

/** One query. */
struct query_sample {
  time_point sent{};          ///< When the caller sent it.
  duration elapsed{};         ///< Until the caller had the answer.
  query_outcome outcome{};    ///< How it ended.
  rank urgency{};             ///< Rank.
  std::uint8_t collection{};  ///< Index of the collection.
  ppm coverage = 0;           ///< Coverage stated.
  std::uint32_t parts = 0;    ///< Parts in the answer.
};

/** Violated invariants, counted over all answers. */
struct answer_violations {
  std::uint64_t mixed = 0;       ///< Parts of another snapshot than stated.
  std::uint64_t overstated = 0;  ///< Coverage above what the parts cover.
  std::uint64_t crossed = 0;     ///< Parts of another caller's query.
  std::uint64_t repeated = 0;    ///< Second answers to one call.
};

/** Sends the queries and keeps a sample of each. */
class load_generator {
 public:
  load_generator(virtual_fleet& fleet, std::vector<load_stream> streams,
                 duration deadline, std::uint64_t seed);

  /** Starts arrivals of all streams. */
  void Start();

  /** Sets the factor on the rates of a rank, in one collection or all. */
  void SetFactor(rank urgency, std::optional<std::uint32_t> collection,
                 double factor);

  /** No arrivals from now on. */
  void Stop();

  const std::vector<query_sample>& Samples() const { return samples_; }
  const answer_violations& Violations() const { return violations_; }

  std::uint64_t LeafRequests() const { return leaf_requests_; }

  /** Different parts of queries that were sent to a leaf. */
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

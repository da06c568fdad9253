/** @file scenario_run.cpp Runs a fleet of one version under load. */

#include "scenario_run.h"

#include <utility>

#include "direct_host.h"
#include "driver/tier_host.h"
#include "naive_host.h"

namespace corianderrail::bench {

namespace {

/** Time under load before the reference window, so that hosts have latency
 *  samples. */
constexpr duration kWarmUp = std::chrono::seconds(2);

/** Time within which open queries end. */
constexpr duration kWindDown = driver::kDeadline + std::chrono::seconds(1);

/** Flooded collections: one with several partitions and one with a single
 *  partition. */
constexpr std::array<std::size_t, 2> kFlooded = {0, 2};

template <typename Host>
driver::host_factory BaselineFactory(const driver::document_store& store,
                                     std::uint64_t seed) {
  return [&store, seed](std::size_t index, incarnation_id incarnation,
                        time_point) -> std::unique_ptr<driver::fleet_host> {
    const auto hosts = static_cast<std::uint32_t>(store.Plan().hosts.size());
    return std::make_unique<Host>(store, hosts,
                                  seed + 1000 * index + Raw(incarnation));
  };
}

}  // namespace

driver::host_factory VersionFactory(version_kind version,
                                    const driver::document_store& store,
                                    std::uint64_t seed) {
  if (version == version_kind::naive) {
    return BaselineFactory<naive_host>(store, seed);
  }
  if (version == version_kind::direct) {
    return BaselineFactory<direct_host>(store, seed);
  }
  return driver::TierFactory(store, seed);
}

scenario_run::scenario_run(const run_settings& settings)
    : settings_(settings),
      store_(settings.plan),
      random_(settings.seed * 31 + 5),
      fleet_(std::make_unique<driver::virtual_fleet>(
          store_.Plan().hosts, store_.Plan().delays,
          VersionFactory(settings.version, store_, settings.seed),
          settings.seed + 7)) {
  result_.seed = settings.seed;
  const driver::fake_leaf_settings leaf;
  store_.Install(*fleet_, leaf, settings.seed);
  for (const driver::collection_plan& plan : store_.Plan().collections) {
    result_.collections.push_back(plan.name);
    result_.capacity.push_back(driver::Capacity(plan, leaf));
  }
  result_.flooded.resize(result_.capacity.size());
  for (std::size_t i = 0; i < fleet_->HostCount(); ++i) fleet_->StartHost(i);
  fleet_->RunUntil(fleet_->Now() + driver::kTierStartTime);
  load_ = std::make_unique<driver::load_generator>(
      *fleet_, Streams(), driver::kDeadline, settings.seed + 11);
  load_->Start();
  fleet_->RunUntil(fleet_->Now() + kWarmUp);
}

std::vector<driver::load_stream> scenario_run::Streams() const {
  std::vector<driver::load_stream> streams;
  const auto& collections = store_.Plan().collections;
  for (std::uint32_t c = 0; c < collections.size(); ++c) {
    const driver::collection_plan& plan = collections[c];
    for (const rank r : kAllRanks) {
      driver::load_stream stream;
      stream.urgency = r;
      stream.collection = c;
      stream.name = plan.name;
      stream.key_space = plan.services * driver::kPartitionWidth;
      stream.rate_per_s = kHealthyLoad * kRankShare[RankIndex(r)] *
                          result_.capacity[c] / plan.services;
      streams.push_back(std::move(stream));
    }
  }
  return streams;
}

void scenario_run::Run(duration length) {
  fleet_->RunUntil(fleet_->Now() + length);
}

window_span scenario_run::Measure(const std::function<void()>& steps) {
  window_span span;
  span.begin = fleet_->Now();
  span.leaf_requests = load_->LeafRequests();
  span.leaf_parts = load_->LeafParts();
  steps();
  span.end = fleet_->Now();
  span.leaf_requests = load_->LeafRequests() - span.leaf_requests;
  span.leaf_parts = load_->LeafParts() - span.leaf_parts;
  return span;
}

void scenario_run::Flood(rank urgency, double load) {
  const double healthy = kHealthyLoad * kRankShare[RankIndex(urgency)];
  for (const std::size_t collection : kFlooded) {
    result_.flooded[collection] = true;
    load_->SetFactor(urgency, static_cast<std::uint32_t>(collection),
                     load / healthy);
  }
}

run_result scenario_run::Finish() {
  load_->Stop();
  Run(kWindDown);
  result_.samples = load_->Samples();
  result_.violations = load_->Violations();
  result_.violations.repeated += fleet_->repeated_answers;
  return std::move(result_);
}

}  // namespace corianderrail::bench

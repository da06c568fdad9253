/** @file order_load.cpp Sends orders under faults and checks the answers. */

#include "driver/order_load.h"

#include <memory>
#include <unordered_map>
#include <utility>

#include "driver/tier_host.h"

namespace corianderrail::driver {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kIdsPerCall = 10;
constexpr duration kOrderDeadline = milliseconds(800);
constexpr double kCopyShare = 0.3;    ///< Orders also sent to a second host.
constexpr double kStatusShare = 0.1;  ///< Orders with a later status request.
constexpr double kRepeatShare = 0.5;  ///< Orders sent again after a not_run.
constexpr duration kFaultPeriod = milliseconds(400);

/** One run. The fleet refers to the store, so store_ is declared before fleet_.
 */
class order_run {
 public:
  explicit order_run(const order_run_settings& settings)
      : settings_(settings),
        random_(settings.seed),
        store_(SmallPlan()),
        fleet_(store_.Plan().hosts, store_.Plan().delays,
               TierFactory(store_, settings.seed), settings.seed + 7) {}

  order_run_result Run();

 private:
  void RequestOrderIds();
  void SendOrder(const order_id& id, std::size_t host, std::uint64_t key);
  void RequestStatus(const order_id& id, std::size_t host);
  void OnAnswer(const order_id& id, const effect* answer);
  void StartFaults();
  void InjectFault();
  void EndFaults();
  void CountRuns();
  std::size_t RandomHost() { return random_.Below(fleet_.HostCount()); }
  duration RandomDelay(duration max_delay) {
    return duration(random_.Below(max_delay.count()));
  }

  struct order_answers {
    bool ran = false;
    bool not_run = false;
    bool unknown = false;
  };

  order_run_settings settings_;
  random_source random_;
  document_store store_;
  virtual_fleet fleet_;
  bool faults_active_ = false;
  std::uint64_t open_calls_ = 0;
  std::unordered_map<order_id, order_answers, order_id_hash> answers_;
  std::unordered_map<order_id, std::uint64_t, order_id_hash> keys_;
  order_run_result result_;
};

order_run_result order_run::Run() {
  store_.Install(fleet_, fake_leaf_settings{}, settings_.seed);
  for (std::size_t i = 0; i < fleet_.HostCount(); ++i) fleet_.StartHost(i);
  fleet_.RunUntil(fleet_.Now() + kTierStartTime);
  const std::uint32_t calls = settings_.orders / kIdsPerCall;
  for (std::uint32_t i = 0; i < calls; ++i) {
    fleet_.After(RandomDelay(settings_.length), [this] { RequestOrderIds(); });
  }
  if (settings_.faults) StartFaults();
  fleet_.RunUntil(fleet_.Now() + settings_.length);
  EndFaults();
  fleet_.RunUntil(fleet_.Now() + settings_.settle);
  CountRuns();
  return result_;
}

void order_run::RequestOrderIds() {
  caller_order_id_event request;
  request.request_id = "ids";
  request.customer = CustomerOf(rank::normal);
  request.count = kIdsPerCall;
  const std::size_t host = RandomHost();
  fleet_.Call(host, std::move(request), [this, host](const effect* answer) {
    const auto* got =
        answer ? std::get_if<answer_order_ids_effect>(answer) : nullptr;
    if (got == nullptr) return;
    for (const order_id& id : got->ids) {
      ++result_.sent;
      const std::uint64_t key = random_.Below(4 * kPartitionWidth);
      keys_[id] = key;
      const std::size_t first = random_.Unit() < 0.5 ? host : RandomHost();
      fleet_.After(RandomDelay(milliseconds(20)),
                   [this, id, first, key] { SendOrder(id, first, key); });
      if (random_.Unit() < kCopyShare) {
        fleet_.After(RandomDelay(milliseconds(300)),
                     [this, id, key] { SendOrder(id, RandomHost(), key); });
      }
      if (random_.Unit() < kStatusShare) {
        fleet_.After(RandomDelay(milliseconds(1500)),
                     [this, id] { RequestStatus(id, RandomHost()); });
      }
    }
  });
}

void order_run::SendOrder(const order_id& id, std::size_t host,
                          std::uint64_t key) {
  caller_order_event order;
  order.request.id = id;
  order.request.request_id = "order";
  order.request.customer = CustomerOf(rank::normal);
  order.request.kind = OrderKind("wide");
  order.request.key = key;
  order.request.deadline = kOrderDeadline;
  order.request.payload = "order";
  ++open_calls_;
  fleet_.Call(host, std::move(order),
              [this, id](const effect* answer) { OnAnswer(id, answer); });
}

void order_run::RequestStatus(const order_id& id, std::size_t host) {
  caller_order_status_event request;
  request.request_id = "status";
  request.id = id;
  ++open_calls_;
  fleet_.Call(host, std::move(request),
              [this, id](const effect* answer) { OnAnswer(id, answer); });
}

void order_run::OnAnswer(const order_id& id, const effect* answer) {
  --open_calls_;
  if (answer == nullptr) return;
  order_answers& answers = answers_[id];
  run_state outcome = run_state::unknown;
  if (const auto* refused = std::get_if<refuse_effect>(answer)) {
    outcome = refused->reason.ran;
  } else if (const auto* got = std::get_if<answer_order_effect>(answer)) {
    if (got->status.state == order_state::ran) outcome = run_state::ran;
    if (got->status.state == order_state::not_run) outcome = run_state::not_run;
  }
  answers.ran |= outcome == run_state::ran;
  answers.unknown |= outcome == run_state::unknown;
  const bool first_refusal = outcome == run_state::not_run && !answers.not_run;
  answers.not_run |= outcome == run_state::not_run;
  if (first_refusal && random_.Unit() < kRepeatShare) {
    fleet_.After(RandomDelay(milliseconds(200)),
                 [this, id] { SendOrder(id, RandomHost(), keys_[id]); });
  }
}

void order_run::StartFaults() {
  faults_active_ = true;
  fleet_.faults.drop = 0.03;
  fleet_.faults.duplicate = 0.05;
  fleet_.faults.delay = 0.1;
  fleet_.faults.delay_max = milliseconds(400);
  fleet_.faults.leaf_break = 0.02;
  fleet_.After(RandomDelay(kFaultPeriod), [this] { InjectFault(); });
}

void order_run::InjectFault() {
  if (!faults_active_) return;
  const std::size_t host = RandomHost();
  switch (random_.Below(6)) {
    case 0:
      if (!fleet_.Running(host)) break;
      fleet_.KillHost(host);
      fleet_.After(milliseconds(100) + RandomDelay(milliseconds(1500)),
                   [this, host] {
                     if (!fleet_.Running(host)) fleet_.StartHost(host);
                   });
      break;
    case 1:
      fleet_.PauseHost(host,
                       milliseconds(50) + RandomDelay(milliseconds(4000)));
      break;
    case 2:
      fleet_.isolated_hosts.insert(host);
      fleet_.After(RandomDelay(milliseconds(2000)),
                   [this, host] { fleet_.isolated_hosts.erase(host); });
      break;
    case 3: {
      const std::string zone = fleet_.Place(host).zone;
      fleet_.isolated_zones.insert(zone);
      fleet_.After(RandomDelay(milliseconds(2000)),
                   [this, zone] { fleet_.isolated_zones.erase(zone); });
      break;
    }
    default: {
      const auto& services = store_.Topology()->services;
      const auto& leafs = services[random_.Below(services.size())].leafs;
      const leaf_id leaf = leafs[random_.Below(leafs.size())].id;
      fleet_.leafs.SetUp(leaf, false);
      fleet_.After(milliseconds(50) + RandomDelay(milliseconds(1000)),
                   [this, leaf] { fleet_.leafs.SetUp(leaf, true); });
      break;
    }
  }
  fleet_.After(RandomDelay(kFaultPeriod) + milliseconds(20),
               [this] { InjectFault(); });
}

void order_run::EndFaults() {
  faults_active_ = false;
  fleet_.faults = {};
  fleet_.isolated_hosts.clear();
  fleet_.isolated_zones.clear();
}

void order_run::CountRuns() {
  std::unordered_map<order_id, std::uint32_t, order_id_hash> runs;
  for (const service_info& service : store_.Topology()->services) {
    for (const leaf_info& leaf : service.leafs) {
      for (const order_id& id : fleet_.leafs.Leaf(leaf.id).Ran()) ++runs[id];
    }
  }
  for (const auto& [id, count] : runs) {
    ++result_.ran;
    if (count > 1) ++result_.run_twice;
  }
  for (const auto& [id, answers] : answers_) {
    const bool ran = runs.contains(id);
    result_.answered_ran += answers.ran ? 1 : 0;
    result_.answered_not_run += answers.not_run ? 1 : 0;
    result_.answered_unknown += answers.unknown ? 1 : 0;
    if (answers.not_run && ran) ++result_.wrong_not_run;
    if (answers.ran && !ran) ++result_.wrong_ran;
  }
  result_.unanswered = open_calls_;
  result_.repeated = fleet_.repeated_answers;
}

}  // namespace

order_run_result RunOrders(const order_run_settings& settings) {
  return order_run(settings).Run();
}

}  // namespace corianderrail::driver

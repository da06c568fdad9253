/** @file fleet_bench.cpp Measures propagation, cost and failure detection.
 *
 * Covers the fleet components, such as membership and contract sync. All
 * figures but CPU time and memory come from virtual time and depend on the
 * seeds only. Prints one JSON object per line.
 */

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "fleet_host.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kProbePeriodSeconds = 0.5;

std::uint64_t CpuNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000U +
         static_cast<std::uint64_t>(time.tv_nsec);
}

/** Adds up the CPU time of a fleet's hosts, without that of the simulation. */
class timed_host : public fleet_host {
 public:
  timed_host(const fleet_host_settings& given, time_point started,
             std::uint64_t& total)
      : fleet_host(given, started), total_(total) {}

  void Tick(time_point now, effect_list& effects) override {
    const std::uint64_t begin = CpuNanoseconds();
    fleet_host::Tick(now, effects);
    total_ += CpuNanoseconds() - begin;
  }
  void Receive(const peer_message& message, time_point now,
               effect_list& effects) override {
    const std::uint64_t begin = CpuNanoseconds();
    fleet_host::Receive(message, now, effects);
    total_ += CpuNanoseconds() - begin;
  }

 private:
  std::uint64_t& total_;
};

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1) return values[middle];
  return (values[middle - 1] + values[middle]) / 2;
}

double Worst(const std::vector<double>& values) {
  return *std::max_element(values.begin(), values.end());
}

/** Runs until `done()` or `limit`. @return Virtual time taken, in seconds. */
template <typename Done>
double TimeUntil(test_fleet& fleet, duration limit, Done done) {
  const time_point start = fleet.net.Now();
  while (!done() && fleet.net.Now() < start + limit) {
    fleet.Run(milliseconds(20));
  }
  return Seconds(fleet.net.Now() - start);
}

void PublishInitialRevision(test_fleet& fleet) {
  fleet.service.Publish(1, {fleet.addresses[0]}, {{"acme/1", "100 10"}});
  fleet.service.Put("topology", "1");
}

// While a fleet of n hosts starts, each host receives n joins, and copying the
// member table to the other components after each join costs n * n * n copies.
// Joins within this period are passed on together; propagation times do not
// depend on it.
constexpr duration kMemberPeriod = seconds(2);

/** Measures how fast a revision that one host reads, and a flag that one member
 *  sets, reach all hosts. */
void MeasurePropagation(std::size_t members, std::uint64_t seeds) {
  std::vector<double> revisions;
  std::vector<double> flags;
  std::size_t unfinished = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    test_fleet fleet(members, {0.05}, seed);
    fleet.member_period = kMemberPeriod;
    PublishInitialRevision(fleet);
    fleet.Start(0);
    for (std::size_t i = 1; i < members; ++i) fleet.Start(i, false);
    // A fixed time: checking convergence compares all views, which is
    // quadratic.
    fleet.Run(seconds(30));
    fleet.service.Publish(2, {fleet.addresses[0]}, {{"acme/2", "90 10"}});
    // Delivered directly, because the host may not be a reader of its zone.
    effect_list effects;
    fleet.At(0).contracts.OnConfigValue(fleet.service.Read("contracts/head"),
                                        fleet.net.Now(), effects);
    fleet.net.ApplyEffects(fleet.At(0), effects);
    revisions.push_back(
        TimeUntil(fleet, seconds(60), [&] { return fleet.AllAt(2); }));
    if (!fleet.AllAt(2)) ++unfinished;
    fleet.Run(seconds(5));
    fleet.At(members / 2).members.SetReady(true);
    const host_id changed = HostIdOf(fleet.addresses[members / 2]);
    const auto all_know = [&] {
      return std::all_of(
          fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& entry) {
            const auto* found = entry.second->members.Find(changed);
            return found != nullptr && found->ready;
          });
    };
    flags.push_back(TimeUntil(fleet, seconds(60), all_know));
    if (!all_know()) ++unfinished;
  }
  std::printf(
      "{\"bench\":\"spread\",\"members\":%zu,\"loss\":0.05,\"seeds\":%zu,"
      "\"revision_median_s\":%.2f,\"revision_worst_s\":%.2f,"
      "\"revision_median_rounds\":%.1f,\"revision_worst_rounds\":%.1f,"
      "\"member_median_s\":%.2f,\"member_worst_s\":%.2f,"
      "\"member_worst_rounds\":%.1f,\"unfinished\":%zu}\n",
      members, revisions.size(), Median(revisions), Worst(revisions),
      Median(revisions) / kProbePeriodSeconds,
      Worst(revisions) / kProbePeriodSeconds, Median(flags), Worst(flags),
      Worst(flags) / kProbePeriodSeconds, unfinished);
}

/** Measures the cost of an idle fleet. The state size includes the objects of
 * the simulation. */
void MeasureCost(std::size_t members, int seconds_measured) {
  std::uint64_t cpu = 0;
  const std::size_t before = mallinfo2().uordblks;
  test_fleet fleet(members, {0.05}, 1);
  fleet.make = [&](const fleet_host_settings& settings, time_point now) {
    return std::make_unique<timed_host>(settings, now, cpu);
  };
  fleet.member_period = kMemberPeriod;
  PublishInitialRevision(fleet);
  fleet.StartAll();
  fleet.Run(seconds(90));
  // The start is over: from now on, every change is passed on immediately.
  for (auto& [address, host] : fleet.hosts) host->settings.member_period = {};
  const std::size_t state = mallinfo2().uordblks - before;
  const std::uint64_t messages = fleet.net.Messages();
  const std::uint64_t bytes = fleet.net.Bytes();
  cpu = 0;
  fleet.Run(seconds(seconds_measured));
  const double scale = seconds_measured * static_cast<double>(members);
  std::printf(
      "{\"bench\":\"cost\",\"members\":%zu,\"loss\":0.05,\"seeds\":1,"
      "\"measured_s\":%d,"
      "\"messages_per_host_s\":%.2f,\"bytes_per_host_s\":%.0f,"
      "\"cpu_ns_per_host_s\":%.0f,\"state_bytes_per_host\":%.0f}\n",
      members, seconds_measured,
      static_cast<double>(fleet.net.Messages() - messages) / scale,
      static_cast<double>(fleet.net.Bytes() - bytes) / scale,
      static_cast<double>(cpu) / scale,
      static_cast<double>(state) / static_cast<double>(members));
}

/** Measures one host whose member table is that of a large fleet; the other
 *  members are simulated. */
void MeasureLargeTable(std::size_t members) {
  fleet_host_settings settings;
  settings.address = "10.1.0.0:7000";
  const std::size_t before = mallinfo2().uordblks;
  fleet_host host(settings, time_point{});
  member_sync table;
  std::vector<member_record> records;
  for (std::size_t i = 0; i < members; ++i) {
    fleet_host_settings other;
    other.address = "10.1." + std::to_string(i / 250) + "." +
                    std::to_string(i % 250 + 1) + ":7000";
    other.zone = "zone" + std::to_string(i % 15);
    records.push_back(FleetMember(other));
  }
  table.members = records;
  effect_list effects;
  host.Start(time_point{}, effects);
  peer_message from;
  const auto receive = [&](const member_record& sender, auto body,
                           time_point now) {
    from.from = sender.ref;
    from.from_address = sender.peer_address;
    from.body = std::move(body);
    host.Receive(from, now, effects);
  };
  receive(records[0], std::move(table), time_point{});
  const std::size_t state =
      mallinfo2().uordblks - before - records.capacity() * sizeof(records[0]);
  random_source random(1);
  std::uint64_t bytes = 0;
  constexpr int kSeconds = 600;
  const std::uint64_t begin = CpuNanoseconds();
  std::uint32_t version = 0;
  for (int step = 0; step < kSeconds * 10; ++step) {
    const time_point now = time_point{} + milliseconds(100) * step;
    effects.clear();
    if (host.NextWake() <= now) host.Tick(now, effects);
    // The host gets two probes per second and 0.4 membership updates per
    // second.
    if (step % 5 == 0) receive(records[random.Below(members)], probe{}, now);
    if (step % 25 == 0) {
      probe changes;
      member_record& changed = records[random.Below(members)];
      changed.version = ++version;
      changed.ready = !changed.ready;
      changes.updates.push_back(changed);
      receive(records[random.Below(members)], std::move(changes), now);
    }
    const effect_list sent = std::exchange(effects, {});
    for (const effect& one : sent) {
      const auto* send = std::get_if<send_peer_effect>(&one);
      if (send == nullptr) continue;
      peer_message message = host.Envelope(*send);
      bytes += MessageBytes(message);
      const auto* probed = std::get_if<probe>(&send->body);
      if (probed == nullptr) continue;
      const member_record* target = host.members.Find(send->to);
      probe_ack ack{probed->sequence, send->to, {}};
      receive(member_record(*target), std::move(ack), now);
    }
  }
  const std::uint64_t cpu = CpuNanoseconds() - begin;
  std::printf(
      "{\"bench\":\"large_table\",\"members\":%zu,"
      "\"updates_per_s\":0.4,\"bytes_sent_per_s\":%.0f,"
      "\"cpu_ns_per_s\":%.0f,\"state_bytes\":%zu}\n",
      members, static_cast<double>(bytes) / kSeconds,
      static_cast<double>(cpu) / kSeconds, state);
}

/** Measures the time from the failure of one host until all other hosts see it
 *  as gone. */
void MeasureFailure(std::size_t members, std::uint64_t seeds) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    test_fleet fleet(members, {0.05}, seed);
    fleet.StartAll();
    TimeUntil(fleet, seconds(120), [&] { return fleet.Converged(); });
    fleet.Run(milliseconds(5000 + 37 * seed));
    fleet.Stop(seed % members);
    times.push_back(
        TimeUntil(fleet, seconds(60), [&] { return fleet.Converged(); }));
  }
  std::printf(
      "{\"bench\":\"failure\",\"members\":%zu,\"loss\":0.05,\"seeds\":%zu,"
      "\"median_s\":%.2f,\"worst_s\":%.2f}\n",
      members, times.size(), Median(times), Worst(times));
}

/** Counts how often a host sees a running host as gone, under message loss. */
void MeasureFalseRemovals(std::size_t members, double loss, int minutes,
                          std::uint64_t seeds) {
  std::size_t removals = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    test_fleet fleet(members, {loss}, seed);
    fleet.StartAll();
    TimeUntil(fleet, seconds(120), [&] { return fleet.Converged(); });
    std::map<std::pair<std::string, std::string>, bool> gone;
    fleet.Run(std::chrono::minutes(minutes), [&] {
      if (fleet.net.Now().time_since_epoch().count() % 100'000 != 0) return;
      for (const auto& [address, host] : fleet.hosts) {
        for (const std::string& other : fleet.addresses) {
          const bool now = host->StateOf(other) == member_state::gone;
          bool& before = gone[{address, other}];
          if (now && !before) ++removals;
          before = now;
        }
      }
    });
  }
  std::printf(
      "{\"bench\":\"false_removals\",\"members\":%zu,\"loss\":%.2f,"
      "\"virtual_host_minutes\":%zu,\"removals_in_views\":%zu}\n",
      members, loss, members * seeds * static_cast<std::size_t>(minutes),
      removals);
}

/** Measures the rate of calls from all hosts to the platform's service, while
 *  the service is up or down. */
void MeasurePlatformCalls(std::size_t members, std::size_t zones, bool up) {
  test_fleet fleet(members, {0.05}, 1);
  fleet.zones = zones;
  PublishInitialRevision(fleet);
  fleet.StartAll();
  fleet.Run(seconds(60));
  fleet.service.up = up;
  fleet.Run(seconds(120));
  const std::uint64_t before = fleet.service.calls;
  constexpr int kSpan = 1800;
  fleet.Run(seconds(kSpan));
  std::printf(
      "{\"bench\":\"platform_calls\",\"members\":%zu,\"zones\":%zu,"
      "\"service_up\":%s,\"calls_per_s\":%.3f}\n",
      members, zones, up ? "true" : "false",
      static_cast<double>(fleet.service.calls - before) / kSpan);
}

}  // namespace
}  // namespace corianderrail

int main() {
  using namespace corianderrail;
  // Line buffering, so that a result appears before the next measurement ends.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (const std::size_t members : {8U, 32U, 128U}) MeasureCost(members, 120);
  MeasureLargeTable(3500);
  MeasurePlatformCalls(8, 3, true);
  MeasurePlatformCalls(8, 3, false);
  MeasureFailure(8, 100);
  MeasureFalseRemovals(8, 0.05, 30, 10);
  MeasurePlatformCalls(60, 15, true);
  MeasureFailure(32, 20);
  // The largest fleets come last because they take most of the time.
  for (const std::size_t members : {8U, 32U, 128U})
    MeasurePropagation(members, 7);
  MeasurePropagation(512, 2);
  MeasureCost(512, 20);
  return 0;
}

/** @file placement_json.cpp Requests and answers of the placement command. */

#include "edge/placement_json.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <nlohmann/json.hpp>

namespace corianderrail::edge {

namespace {

using json = nlohmann::ordered_json;

std::string_view Name(gateway::leaf_eligibility eligibility) {
  constexpr std::string_view kNames[] = {"healthy", "stalled", "last_resort",
                                         "unusable"};
  return kNames[static_cast<std::size_t>(eligibility)];
}

std::string_view Name(gateway::choice_outcome outcome) {
  constexpr std::string_view kNames[] = {"chosen", "full", "nothing"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string_view Name(gateway::leaf_exclusion exclusion) {
  constexpr std::string_view kNames[gateway::kLeafExclusions] = {
      "none", "residency", "evacuation"};
  return kNames[static_cast<std::size_t>(exclusion)];
}

std::string Joined(const std::vector<std::string>& names) {
  std::string all;
  for (const std::string& name : names) {
    if (!all.empty()) all += ',';
    all += name;
  }
  return all;
}

/** Rounded, since further digits do not decide anything. */
double Rounded(double value) { return std::round(value * 1000) / 1000; }

json LeafJson(const gateway::placement_leaf& leaf) {
  const gateway::leaf_candidate& from = leaf.candidate;
  json result = {{"instance", leaf.instance},
                 {"zone", leaf.zone},
                 {"chosen", leaf.chosen},
                 {"eligibility", Name(from.eligibility)},
                 {"near", from.near},
                 {"cold", from.cold},
                 {"open", from.open},
                 {"limit", from.limit},
                 {"slots", from.slots},
                 {"slowness", Rounded(from.slowness)},
                 {"failure_rate", Rounded(from.failure_rate)},
                 {"expected_us", from.expected.count()},
                 {"predicted_us", leaf.predicted.count()},
                 {"cost_us", leaf.cost.count()},
                 {"excluded", Name(leaf.exclusion)},
                 {"shared_figures", from.shared}};
  if (from.permits) result["permits"] = *from.permits;
  return result;
}

json PartJson(const gateway::placement_part& part) {
  json leafs = json::array();
  for (const auto& leaf : part.leafs) leafs.push_back(LeafJson(leaf));
  return {{"service", part.service},
          {"choice", Name(part.outcome)},
          {"wait_us", part.wait.count()},
          {"leafs", std::move(leafs)},
          {"leafs_omitted", part.leafs_omitted}};
}

json RouteJson(const gateway::placement_route& route) {
  return {{"name", route.name},
          {"rank", route.rank},
          {"idempotent", route.idempotent},
          {"gathers", route.gathers},
          {"min_shard_ratio", Rounded(route.min_shard_ratio)},
          {"objective_us", route.objective.count()},
          {"timeout_us", route.timeout.count()},
          {"homes", Joined(route.homes)}};
}

std::string Dump(const json& document) {
  // Names may hold bytes that are not UTF-8; dump() would throw.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<placement_question> ReadPlacementQuestion(std::string_view body) {
  if (body.size() > kMaxPlacementRequest) return std::nullopt;
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  const auto text = [&](const char* name) {
    const auto found = document.find(name);
    const bool valid = found != document.end() && found->is_string();
    return valid ? found->get<std::string>() : std::string();
  };
  placement_question question{text("method"), {text("host"), text("path")}};
  std::string& host = question.request.host;
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  std::string& path = question.request.path;
  path = path.substr(0, path.find('?'));
  if (question.method.empty() || host.empty() || !path.starts_with('/')) {
    return std::nullopt;
  }
  return question;
}

std::string WritePlacement(const placement_question& question,
                           const gateway::placement_report& report) {
  const bool refused = report.refusal != gateway::refusal_cause::none;
  json document = {{"method", question.method},
                   {"host", question.request.host},
                   {"path", question.request.path},
                   {"version", static_cast<std::uint64_t>(report.version)},
                   {"admitted", !refused},
                   {"evacuated_zones", Joined(report.evacuated_zones)}};
  if (refused) document["refusal"] = RefusalName(report.refusal);
  if (report.matched) {
    document["route"] = RouteJson(*report.matched);
    document["admission"] = {
        {"expected_wait_us", report.expected_wait.count()},
        {"usual_latency_us", report.usual_latency.count()},
        {"time_left_us", report.matched->time_left.count()}};
    json parts = json::array();
    for (const auto& part : report.parts) parts.push_back(PartJson(part));
    document["parts"] = std::move(parts);
    document["parts_omitted"] = report.parts_omitted;
  }
  return Dump(document);
}

std::string WritePlacementError(std::string_view text) {
  return Dump({{"error", text}});
}

}  // namespace corianderrail::edge

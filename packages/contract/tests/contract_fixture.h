/** @file contract_fixture.h Valid contract documents that tests modify. */

#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "contract/contract_parser.h"
#include "contract/contract_validate.h"
#include "contract/digest.h"

namespace corianderrail {

/** A valid set of two customers at revision 7. */
struct contract_fixture {
  std::string mill = R"(format = 1
customer = "mill"
[answer]
preference = "latency"
[floor]
urgent = 0.5
normal = 0.3
background = 0.1
[[work]]
kind = "search"
type = "query"
collection = "grain"
rank = "urgent"
rate_per_s = 100
burst = 20
latency_target_ms = 50
deadline_max_ms = 500
min_coverage = 0.9
[[work]]
kind = "reserve"
type = "order"
collection = "grain"
rank = "normal"
rate_per_s = 2.5
burst = 2
latency_target_ms = 80
deadline_max_ms = 1000
)";
  std::string bakery = R"(format = 1
customer = "bakery"
[answer]
preference = "coverage"
[floor]
urgent = 0.2
normal = 0.2
background = 0.1
[[work]]
kind = "stock"
type = "query"
collection = "flour"
rank = "background"
rate_per_s = 10
burst = 5
latency_target_ms = 100
deadline_max_ms = 2000
)";

  /** The contracts and a set document with their current digests. */
  std::vector<contract_document> Documents() const {
    std::string set =
        "format = 1\nrevision = 7\n"
        "seats = [\"127.0.0.1:7000\", \"127.0.0.1:7001\"]\n" +
        Entry("mill", 5, mill) + Entry("bakery", 7, bakery);
    return {{"contracts/set/7", set},
            {"contracts/mill/5", mill},
            {"contracts/bakery/7", bakery}};
  }

  static std::string Entry(const std::string& name, int revision,
                           const std::string& bytes) {
    return "[[customer]]\nname = \"" + name +
           "\"\nrevision = " + std::to_string(revision) + "\ndigest = \"" +
           FormatDigest(ComputeDigest(bytes)) + "\"\n";
  }

  /** Replaces the first occurrence; the test fails when there is none. */
  static void Replace(std::string& text, const std::string& before,
                      const std::string& after) {
    std::size_t position = text.find(before);
    REQUIRE(position != std::string::npos);
    text.replace(position, before.size(), after);
  }
};

}  // namespace corianderrail

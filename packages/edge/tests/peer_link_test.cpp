/** @file peer_link_test.cpp Figures about leafs between two hosts. */

#include "edge/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/host_address.h"

namespace corianderrail::edge {

namespace {

using std::chrono::milliseconds;

/** Hosts on the loopback interface that know each other. */
class links_fixture {
 protected:
  /** Starts a host; the first one is the seed of the others. */
  peer_link& Start(const std::string& region) {
    while (port_ < 20500) {
      member_record self;
      self.peer_address = "127.0.0.1:" + std::to_string(port_++);
      self.caller_address = self.peer_address;
      self.ref = {HostIdOf(self.peer_address), incarnation_id{1}};
      self.zone = region + "-1";
      self.region = region;
      membership_settings settings;
      if (!links_.empty()) settings.seeds = {seed_};
      try {
        links_.push_back(std::make_unique<peer_link>(
            io_, self, settings, "0123456789abcdef", port_));
      } catch (const boost::system::system_error&) {
        continue;
      }
      if (links_.size() == 1) seed_ = self.peer_address;
      links_.back()->Start([] {});
      return *links_.back();
    }
    FAIL("no free port");
    return *links_.back();
  }

  void Run(duration length) {
    io_.restart();
    io_.run_for(length);
  }

  /** Sends figures from the host started last to the first one. */
  void SendFromLast(std::size_t count) {
    const std::vector<member_record> members = links_.back()->Members();
    std::vector<const member_record*> receivers;
    for (const member_record& one : members) {
      if (one.peer_address == seed_) receivers.push_back(&one);
    }
    REQUIRE(receivers.size() == 1);
    const leaf_figure figure{leaf_boot{7}, 2000, 30, 5};
    links_.back()->SendFigures(std::vector<leaf_figure>(count, figure),
                               receivers);
    Run(milliseconds(100));
  }

  boost::asio::io_context io_;
  std::vector<std::unique_ptr<peer_link>> links_;
  std::string seed_;
  unsigned short port_ = 20400;
};

}  // namespace

// Guards against figures that are sent but never reach the gateway.
TEST_CASE_METHOD(links_fixture, "PeerLink_FiguresOfOwnRegion_AreDelivered") {
  peer_link& receiver = Start("r");
  std::vector<leaf_figure> got;
  host_id from{};
  receiver.OnFigures([&](host_id sender, std::vector<leaf_figure> figures) {
    from = sender;
    got = std::move(figures);
  });
  peer_link& sender = Start("r");
  Run(milliseconds(500));
  SendFromLast(2);
  REQUIRE(got.size() == 2);
  CHECK(got[0].boot == leaf_boot{7});
  CHECK(got[0].slowness_permille == 2000);
  CHECK(from != host_id{});
  CHECK(receiver.Counters().refused == 0);
  CHECK(sender.Counters().figure_bytes_sent > 0);
}

// Guards against figures from other regions, where leafs are at another
// distance, and against messages that are larger than agreed.
TEST_CASE_METHOD(links_fixture, "PeerLink_FiguresBeyondBounds_AreRefused") {
  peer_link& receiver = Start("r");
  int delivered = 0;
  receiver.OnFigures(
      [&](host_id, const std::vector<leaf_figure>&) { ++delivered; });
  Start("r");
  Run(milliseconds(500));
  SendFromLast(kMaxLeafFigures + 1);
  CHECK(receiver.Counters().refused == 1);
  Start("s");
  Run(milliseconds(500));
  SendFromLast(1);
  CHECK(receiver.Counters().refused == 2);
  CHECK(delivered == 0);
}

}  // namespace corianderrail::edge

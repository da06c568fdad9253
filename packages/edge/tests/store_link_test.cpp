/** @file store_link_test.cpp Reads of a stand-in store over HTTP. */

#include "edge/store_link.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "edge/http_server.h"

namespace corianderrail::edge {

namespace {

using std::chrono::milliseconds;

/** A store whose items are given, and a link that reads it. */
class link_fixture {
 public:
  link_fixture() {
    for (unsigned short port = 20200; !store_ && port < 20300; ++port) {
      address_ = "127.0.0.1:" + std::to_string(port);
      try {
        store_ = std::make_unique<http_server>(io_, address_, 16, Handler());
      } catch (const boost::system::system_error&) {
        continue;
      }
    }
    REQUIRE(store_);
    store_link_settings settings;
    settings.store_address = address_;
    settings.zone = "a";
    settings.members = [] { return std::span<const member_record>(); };
    settings.on_update = [this](const gateway::store_update& update) {
      for (const auto& item : update.changes) keys_.push_back(item.key);
    };
    settings.on_source = [](const source_change&) {};
    settings.on_relist = [this](gateway::store_failure cause) {
      relisted_.push_back(cause);
    };
    settings.max_age = milliseconds(1650);
    link_ = std::make_unique<store_link>(io_, settings);
  }

  http_handler Handler() {
    return {[this](request_id id, http_request&& request) {
              const std::string target(request.target());
              targets_.push_back(target);
              const bool list = target.find("kv-range") != std::string::npos;
              const bool seen =
                  target.find("after=" + newest_) != std::string::npos;
              const std::string none =
                  R"({"StoreRevision":)" + newest_ + R"(,"events":[]})";
              store_->Reply(id, {200,
                                 {},
                                 list   ? listing_
                                 : seen ? none
                                        : changes_});
            },
            [](request_id) {}};
  }

  /** Runs until all items were read. */
  void ReadAll() {
    link_->Start();
    for (int i = 0; i < 200 && !link_->Reader().Listed(); ++i) {
      io_.restart();
      io_.run_for(milliseconds(10));
    }
    REQUIRE(link_->Reader().Listed());
  }

 protected:
  boost::asio::io_context io_;
  std::string address_;
  std::vector<std::string> targets_;
  std::string newest_ = "-";  ///< Nothing is new to a reader at this revision.
  std::vector<std::string> keys_;
  std::vector<gateway::store_failure> relisted_;
  std::string listing_ =
      R"({"StoreRevision":9,"items":[{"Key":"z","Rev":3,"Value":""},)"
      R"({"Key":"zz","Rev":2,"Value":""}]})";
  std::string changes_ = R"({"StoreRevision":9,"events":[]})";
  std::unique_ptr<http_server> store_;
  std::unique_ptr<store_link> link_;
};

}  // namespace

// Guards against serving from a state that the store says may be old.
TEST_CASE_METHOD(link_fixture, "Link_Starts_ListsStaleStateAndCatchesUp") {
  changes_ =
      R"({"StoreRevision":11,"events":[{"Key":"z","Rev":10,"Removed":true}]})";
  ReadAll();
  REQUIRE(targets_.size() == 2);
  CHECK(targets_[0] == "/v1/kv-range?Prefix=&AllowStale=1");
  CHECK(targets_[1] == "/v1/kv-watch?Prefix=&after=9&WaitMs=0");
  CHECK(keys_ == std::vector<std::string>{"z", "zz", "z"});
  CHECK(link_->Reader().NewestRevision() == 10);
}

// Guards against a restarted host that looks for a change which it already has:
// the newest change was a removal, which no listing contains.
TEST_CASE_METHOD(link_fixture, "Link_NewestChangeIsARemoval_MissesNothing") {
  ReadAll();
  CHECK(link_->Reader().NewestRevision() == 3);
  CHECK(link_->Reader().CompleteRevision() == 9);
}

// Guards against a host that repeats a watch whose answer it cannot take, until
// the store drops the history: it missed too many changes, or one that cannot
// be read.
TEST_CASE_METHOD(link_fixture, "Link_ChangesCannotBeTaken_ListsAnew") {
  ReadAll();
  gateway::store_failure cause{};
  newest_ = "99";
  SECTION("too large") {
    cause = gateway::store_failure::too_large;
    changes_ =
        R"({"StoreRevision":99,"events":[{"Key":"z","Rev":99,"Value":")" +
        std::string(9u << 20, 'A') + R"("}]})";
  }
  SECTION("not readable") {
    cause = gateway::store_failure::unreadable;
    changes_ = R"({"StoreRevision":99,"events":[{"Key":)";
  }
  listing_ =
      R"({"StoreRevision":99,"items":[{"Key":"new","Rev":98,"Value":""}]})";
  for (int i = 0; i < 300 && link_->Reader().NewestRevision() < 98; ++i) {
    io_.restart();
    io_.run_for(milliseconds(10));
  }
  CHECK(std::count(keys_.begin(), keys_.end(), "new") == 1);
  REQUIRE_FALSE(relisted_.empty());
  CHECK(relisted_.front() == cause);
  CHECK(link_->Failures()[static_cast<std::size_t>(cause)] >= 1);
  const auto listings =
      std::count_if(targets_.begin(), targets_.end(), [](const auto& target) {
        return target.find("kv-range") != std::string::npos;
      });
  CHECK(listings == 2);
}

}  // namespace corianderrail::edge

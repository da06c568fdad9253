/** @file contract_sync_test.cpp Tests of contract sync at one host. */

#include "core/contract_sync.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "support/fake_contracts.h"

namespace corianderrail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A contract_sync and the configuration service from which it reads. */
class contract_sync_fixture {
 protected:
  contract_sync_fixture() : sync(FakeValidate, FakeTopology, FakeHead) {}

  /** Delivers the head, then answers reads until none is open. */
  void ReadHead() {
    effect_list effects;
    sync.OnConfigValue(service.Read("contracts/head"), now, effects);
    AnswerReads(effects);
  }

  void AnswerReads(effect_list& effects) {
    for (std::size_t i = 0; i < effects.size(); ++i) {
      const effect one = effects[i];
      if (const auto* read = std::get_if<read_config_effect>(&one)) {
        ++reads;
        sync.OnConfigValue(service.Read(read->key), now, effects);
      } else if (const auto* audit = std::get_if<audit_effect>(&one)) {
        audits.push_back(audit->entry);
      }
    }
  }

  std::uint64_t Revision() const {
    const auto set = sync.InForce();
    return set ? Raw(set->revision) : 0;
  }

  static peer_message From(std::uint64_t host, std::uint64_t revision,
                           std::uint64_t digest) {
    peer_message message;
    message.from = {host_id{host}, incarnation_id{1}};
    message.from_address = "10.0.0." + std::to_string(host);
    message.revision = revision_id{revision};
    message.contract_digest = digest;
    return message;
  }

  template <typename Body>
  static std::vector<Body> Sent(const effect_list& effects) {
    std::vector<Body> result;
    for (const effect& one : effects) {
      const auto* send = std::get_if<send_peer_effect>(&one);
      if (send == nullptr) continue;
      if (const auto* body = std::get_if<Body>(&send->body)) {
        result.push_back(*body);
      }
    }
    return result;
  }

  contract_sync sync;
  fake_service service;
  std::vector<audit_entry> audits;
  std::size_t reads = 0;
  time_point now{};
};

// Guards against a set that takes effect before all its contracts are read.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_HeadRead_FetchesSetAndContracts") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}, {"zeta/3", "5 1"}});
  ReadHead();
  CHECK(Revision() == 3);
  CHECK(sync.InForce()->customers.size() == 2);
  CHECK(reads == 3);
}

// Guards against reading documents again that the previous set contained.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_NextRevision_ReadsOnlyChangedContracts") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}, {"zeta/3", "5 1"}});
  ReadHead();
  reads = 0;
  service.Publish(4, {"s"}, {{"acme/4", "90 10"}, {"zeta/3", "5 1"}});
  ReadHead();
  CHECK(Revision() == 4);
  CHECK(reads == 2);
}

// Guards against a delta that contains documents which the receiver has, or
// that omits documents which it lacks.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_ContractRequest_SendsOnlyWhatDiffers") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}, {"zeta/3", "5 1"}});
  ReadHead();
  const std::uint64_t digest = sync.InForce()->digest;
  service.Publish(4, {"s"}, {{"acme/4", "90 10"}, {"zeta/3", "5 1"}});
  ReadHead();
  effect_list effects;
  sync.OnContractRequest(From(2, 3, digest), {revision_id{3}, digest}, now,
                         effects);
  sync.OnContractRequest(From(2, 3, digest), {revision_id{3}, digest + 1}, now,
                         effects);
  sync.OnContractRequest(From(2, 0, 0), {}, now, effects);
  sync.OnContractRequest(From(2, 4, 0), {revision_id{4}, 0}, now, effects);
  const auto deltas = Sent<contract_delta>(effects);
  REQUIRE(deltas.size() == 3);
  CHECK(deltas[0].base == revision_id{3});
  CHECK(deltas[0].documents.size() == 2);
  CHECK(deltas[0].documents[0].key == "contracts/set/4");
  CHECK(deltas[1].base == revision_id{0});
  CHECK(deltas[1].documents.size() == 3);
  CHECK(deltas[2].documents.size() == 3);
}

// Guards against a delta with an unknown base that is applied or rejected. The
// host must request the full set instead.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_DeltaForUnknownBase_AsksInFull") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}});
  ReadHead();
  effect_list effects;
  const peer_message peer = From(2, 5, 77);
  sync.OnPeerRevision(peer, now, effects);
  effects.clear();
  contract_delta delta;
  delta.base = revision_id{4};
  delta.revision = revision_id{5};
  delta.documents = {{"contracts/set/5", "5 s ; acme/5 zeta/4"},
                     {"contracts/acme/5", "1 1"}};
  sync.OnContractDelta(peer, delta, now, effects);
  const auto requests = Sent<contract_request>(effects);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].known == revision_id{});
  CHECK(Revision() == 3);
  delta.base = revision_id{};
  delta.documents.push_back({"contracts/zeta/4", "2 2"});
  sync.OnContractDelta(peer, delta, now, effects);
  CHECK(Revision() == 5);
  CHECK_FALSE(sync.Behind());
}

// Guards against a late or repeated delta that lowers the revision.
TEST_CASE_METHOD(contract_sync_fixture, "ContractSync_OlderDelta_IsIgnored") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}});
  ReadHead();
  effect_list effects;
  contract_delta delta;
  delta.revision = revision_id{2};
  delta.documents = {{"contracts/set/2", "2 s ;"}};
  sync.OnContractDelta(From(2, 2, 1), delta, now, effects);
  CHECK(Revision() == 3);
  CHECK(effects.empty());
}

// Guards against accepting a delta whose set document states another revision
// than the message.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_DeltaWithOtherRevisionInside_IsRejected") {
  effect_list effects;
  contract_delta delta;
  delta.revision = revision_id{9};
  delta.documents = {{"contracts/set/9", "2 s ;"}};
  sync.OnContractDelta(From(2, 9, 1), delta, now, effects);
  CHECK(Revision() == 0);
}

// Guards against one peer that advertises a revision which it never delivers
// and so blocks admission on this host forever.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_PeerNeverDelivers_BehindClears") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}});
  ReadHead();
  std::size_t requests = 0;
  time_point cleared = kNever;
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(100);
    effect_list effects;
    sync.OnPeerRevision(From(2, 9, 1), now, effects);
    sync.OnTick(now, effects);
    requests += Sent<contract_request>(effects).size();
    if (!sync.Behind()) cleared = std::min(cleared, now);
  }
  CHECK(cleared < time_point{} + seconds(5));
  CHECK_FALSE(sync.Behind());
  CHECK(requests < 12);
}

// Guards against waiting for a peer that does not answer while another one
// could deliver.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_FirstPeerSilent_AsksAnother") {
  effect_list effects;
  sync.OnPeerRevision(From(2, 9, 1), now, effects);
  sync.OnPeerRevision(From(3, 9, 1), now, effects);
  CHECK(Sent<contract_request>(effects).size() == 1);
  effects.clear();
  now += seconds(1);
  sync.OnTick(now, effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<send_peer_effect>(effects[0]).to == host_id{3});
}

// Guards against a digest conflict that is audited more than once, or that
// replaces the set in force by another one of the same revision.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_SameRevisionOtherDigest_KeepsOwnAuditsOnce") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}});
  ReadHead();
  const std::uint64_t digest = sync.InForce()->digest;
  effect_list effects;
  sync.OnPeerRevision(From(2, 3, digest + 1), now, effects);
  sync.OnPeerRevision(From(4, 3, digest + 1), now, effects);
  AnswerReads(effects);
  REQUIRE(audits.size() == 2);
  CHECK(audits[1].fault == contract_fault::digest_mismatch);
  CHECK(sync.InForce()->digest == digest);
  CHECK_FALSE(sync.Behind());
}

// Guards against a document that is published after its head and is never read
// again.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_DocumentAppearsLate_IsRetried") {
  service.Publish(3, {"s"}, {{"acme/3", "100 10"}});
  service.values.erase("contracts/acme/3");
  ReadHead();
  CHECK(Revision() == 0);
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(100);
    effect_list effects;
    sync.OnTick(now, effects);
    AnswerReads(effects);
  }
  REQUIRE(audits.size() == 1);
  CHECK(audits[0].fault == contract_fault::missing_document);
  service.Put("contracts/acme/3", "100 10");
  for (int i = 0; i < 300; ++i) {
    now += milliseconds(100);
    effect_list effects;
    sync.OnTick(now, effects);
    AnswerReads(effects);
  }
  CHECK(Revision() == 3);
}

// Guards against a topology version that decreases, or a topology that is not
// sent to peers on request.
TEST_CASE_METHOD(contract_sync_fixture,
                 "ContractSync_TopologyFromPeer_VersionOnlyRises") {
  effect_list effects;
  peer_message peer = From(2, 0, 0);
  peer.topology_version = 7;
  sync.OnPeerRevision(peer, now, effects);
  const auto requests = Sent<topology_update>(effects);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].version == 0);
  sync.OnTopologyUpdate(peer, {7, "7"}, now, effects);
  sync.OnTopologyUpdate(peer, {6, "6"}, now, effects);
  CHECK(sync.Topology()->version == 7);
  effects.clear();
  sync.OnTopologyUpdate(From(3, 0, 0), {}, now, effects);
  REQUIRE(Sent<topology_update>(effects).size() == 1);
  CHECK(Sent<topology_update>(effects)[0].bytes == "7");
}

}  // namespace
}  // namespace corianderrail

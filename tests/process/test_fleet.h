/** @file test_fleet.h Runs a small fleet of processes with stand-ins. */

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process/child_process.h"
#include "wire/http_client.h"

namespace corianderrail {

/** Host processes, a stand-in platform and two services of two leafs each. */
class test_fleet {
 public:
  explicit test_fleet(int hosts);

  /** Waits until every host is ready and sees all others ready. */
  bool WaitUntilReady();

  /** Starts a host again after its process has exited. */
  void RestartHost(int host);

  bool IsReady(int host) const;

  /** Revision in force on a host; 0 when the host does not answer. */
  std::uint64_t Revision(int host) const;
  bool WaitUntilRevision(std::uint64_t revision) const;

  /** Publishes a contract set of this revision with the unchanged contract,
   *  then the head that names the revision. */
  void Publish(std::uint64_t revision) const;
  void PublishHead(std::uint64_t revision) const;

  /** Sends a control request to the platform, for example `down=1`. */
  void PlatformControl(const std::string& parameters) const;

  /** Sends a query that states the newest revision its caller has seen. */
  http_reply Query(int host, std::uint64_t seen_revision) const;

  /** Revision stated in the answer to a query. */
  static std::uint64_t AnswerRevision(const http_reply& reply);

  std::string CallerAddress(int host) const;
  std::uint16_t CallerPort(int host) const { return caller_ports_[host]; }
  child_process& Host(int host) { return *hosts_[host]; }
  const temporary_directory& Directory() const { return directory_; }
  std::uint16_t LeafPort(int leaf) const {
    return static_cast<std::uint16_t>(first_leaf_ + leaf);
  }

  http_reply Get(int host, const std::string& path) const;
  http_reply Post(int host, const std::string& path,
                  const std::string& body) const;

  /** Repeats a POST while it is refused with status code 429 or 503, for at
   *  most 60 s. @return The last reply. */
  http_reply PostUntilAccepted(int host, const std::string& path,
                               const std::string& body) const;

  /** Sends a control request to the leafs. @return Body of the reply. */
  std::string LeafControl(const std::string& path,
                          const std::string& parameters) const;

  static constexpr int kLeafs = 4;

 private:
  void WriteDocuments();
  std::unique_ptr<child_process> StartHost(int number) const;

  temporary_directory directory_;
  std::uint16_t first_leaf_ = 0;
  std::uint16_t control_port_ = 0;
  std::uint16_t platform_port_ = 0;
  std::vector<std::uint16_t> peer_ports_;
  std::vector<std::uint16_t> caller_ports_;
  std::unique_ptr<child_process> leafs_;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> hosts_;
};

/** Polls until the condition holds. @return False after 60 s. */
bool Eventually(const std::function<bool()>& condition);

}  // namespace corianderrail

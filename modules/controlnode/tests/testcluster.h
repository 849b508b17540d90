// Control instances in one process, with loopback sockets and real files.

#ifndef FULMAR_CONTROLNODE_TESTS_TESTCLUSTER_H
#define FULMAR_CONTROLNODE_TESTS_TESTCLUSTER_H

#include "fulmar/controlnode/controlnode.h"

#include <CppUTest/TestHarness.h>
#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::controlnode {

inline constexpr auto CallLimit = std::chrono::seconds(5);
/// Short to speed up the tests, but longer than adding an instance takes.
inline constexpr auto DeadVoterTimeout = std::chrono::seconds(3);

/// Control instances on one event loop, which tests can stop and start.
class test_cluster {
public:
  test_cluster() : Folder(Poco::TemporaryFile::tempName()) {}
  ~test_cluster() {
    Nodes.clear();
    std::filesystem::remove_all(Folder);
  }
  test_cluster(const test_cluster &) = delete;
  test_cluster &operator=(const test_cluster &) = delete;

  static std::string address(int Number) {
    return "127.0.0.1:" + std::to_string(18520 + Number);
  }

  void start(int Number, bool Bootstrap = true) {
    Nodes.resize(std::max<std::size_t>(Nodes.size(),
                                       static_cast<std::size_t>(Number) + 1));
    auto &Node = Nodes[static_cast<std::size_t>(Number)];
    Node = std::make_unique<control_node>(
        Loop,
        control_node_options{.LinkAddress = address(Number),
                             .DataCentre = "pos",
                             .DataFolder =
                                 Folder + "/" + std::to_string(Number),
                             .Bootstrap = Bootstrap,
                             .Seeds = {address(0), address(1), address(2)},
                             .Voters = {.DeadVoterTimeout = DeadVoterTimeout}},
        Metrics);
    CHECK_TRUE(Node->start().has_value());
  }

  void stop(int Number) { Nodes[static_cast<std::size_t>(Number)].reset(); }
  void wipe(int Number) {
    std::filesystem::remove_all(Folder + "/" + std::to_string(Number));
  }
  control_node &node(int Number) {
    return *Nodes[static_cast<std::size_t>(Number)];
  }

  template <typename Condition>
  bool runUntil(Condition Done,
                base::duration Limit = std::chrono::seconds(15)) {
    const base::instant End = Loop.now() + Limit;
    while (!Done() && Loop.now() < End)
      Loop.context().run_one_for(std::chrono::milliseconds(10));
    return Done();
  }

  /// Sets the plan with the given version through instance \p Number.
  bool put(int Number, std::uint64_t Version) {
    std::optional<bool> Succeeded;
    node(Number).propose(
        controlstate::plan_command{.Version = Version,
                                   .Plan =
                                       fleet::encodePlan({.Version = Version}),
                                   .Document = std::to_string(Version)},
        CallLimit,
        [&Succeeded](const auto &Reply) { Succeeded = Reply.has_value(); });
    runUntil([&Succeeded] { return Succeeded.has_value(); });
    return Succeeded.value_or(false);
  }

  std::string read(int Number) {
    std::optional<std::string> Document;
    node(Number).readDocument(CallLimit, [&Document](const auto &Result) {
      Document = Result ? Result.value() : "failed";
    });
    runUntil([&Document] { return Document.has_value(); });
    return Document.value_or("nothing");
  }

  /// Returns whether instance \p Other lists instance \p Number with its
  /// current storage id as a voter.
  bool listsStorageOf(int Number, int Other) {
    const std::string Storage = node(Number).status().StorageId;
    const auto Voters = node(Other).status().Members.Voters;
    return std::any_of(
        Voters.begin(), Voters.end(), [&](const consensus::member &Voter) {
          return Voter.Id == address(Number) && Voter.StorageId == Storage;
        });
  }

  std::size_t voters(int Number) {
    return node(Number).status().Members.Voters.size();
  }

  eventloop::loop &loop() { return Loop; }

private:
  std::string Folder;
  eventloop::loop Loop;
  telemetry::metrics Metrics;
  std::vector<std::unique_ptr<control_node>> Nodes;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_TESTS_TESTCLUSTER_H

// A deployment of real processes in a temporary folder: control instances,
// entries and stand-in targets, on free ports of loopback.

#ifndef FULMAR_TESTS_SYSTEM_DEPLOYMENT_H
#define FULMAR_TESTS_SYSTEM_DEPLOYMENT_H

#include "support/childprocess.h"
#include "support/cuttablelink.h"
#include "support/httpcaller.h"

#include "fulmar/base/result.h"

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::system_tests {

struct deployment_options {
  int Controls = 3;
  /// Data centre of each entry.
  std::vector<std::string> Entries;
  /// Relays the traffic of the control instances among each other, so that
  /// one can be isolated.
  bool CuttableControls = false;
  /// The only control instance that entries know; 0: all.
  int EntriesKnow = 0;
};

struct target_options {
  std::string Id;
  std::string Service = "registry";
  std::string DataCentre = "pos";
  std::vector<std::string> Extra;
};

class deployment {
public:
  explicit deployment(const deployment_options &Wanted);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  void startControl(int Number);
  void startEntry(int Number);
  void startTarget(const target_options &Target);

  child_process &control(int Number) { return *Controls.at(Number).Process; }
  child_process &entry(int Number) { return *Entries.at(Number).Process; }
  child_process &target(const std::string &Id) {
    return *Targets.at(Id).Process;
  }

  [[nodiscard]] std::string controlAddress(int Number) const;
  [[nodiscard]] std::string entryAddress(int Number) const;
  [[nodiscard]] std::string entryRpcAddress(int Number) const;
  [[nodiscard]] std::string targetAddress(const std::string &Id) const;
  [[nodiscard]] std::string controlFolder(int Number) const;

  /// Removes the data folder of a control instance that does not run.
  void loseDisk(int Number);
  /// Flips one byte in the middle of the largest file of a control instance
  /// that does not run.
  bool flipByteInJournal(int Number);
  /// Voters that the leader lists; 0 without a leader.
  std::size_t votersListed();
  [[nodiscard]] std::string logOf(const std::string &Kind, int Number) const;

  /// Cuts a control instance off from the other control instances.
  void isolateControl(int Number);
  void rejoinControl(int Number);

  /// Number of the leader as its own status says; -1 without one.
  int leader();
  /// Calls a method of control instance \p Number.
  base::result<Json::Value>
  callControl(int Number, const std::string &Method,
              const Json::Value &Parameters = Json::objectValue);
  /// Calls the leader, following it, until an answer or a time-out of 15 s.
  base::result<Json::Value> callLeader(const std::string &Method,
                                       const Json::Value &Parameters);
  base::result<Json::Value> callEntry(int Number, const std::string &Method,
                                      const Json::Value &Parameters);

  /// Edits a section as administrator, with the next number when 0.
  Json::Value edit(const std::string &Section, const std::string &Content,
                   std::uint64_t Number = 0,
                   const std::string &Author = "test");
  /// As edit(), but never at control instance \p Avoided.
  Json::Value editAvoiding(int Avoided, const std::string &Section,
                           const std::string &Content, std::uint64_t Number);
  [[nodiscard]] static Json::Value
  editParameters(const std::string &Section, const std::string &Content,
                 std::uint64_t Number, const std::string &Author = "test");
  Json::Value setDataCentre(const std::string &Name, const std::string &Action,
                            const std::string &Operation);
  /// Puts services "registry" with data centres pos and arima in force.
  void editBaseDocument(const std::string &ServiceKeys = "");

  /// Counts of a stand-in target.
  Json::Value counts(const std::string &Target);
  bool setBehaviour(const std::string &Target, const std::string &Query);

  /// Polls until \p Condition holds; false after \p Limit.
  static bool
  eventually(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit = std::chrono::seconds(20));
  /// True once entry \p Number answers a request to \p Service with 200.
  bool serves(int Number, const std::string &Service = "registry");

private:
  struct instance {
    std::string Listen;
    std::string RpcListen;
    std::string Settings;
    std::unique_ptr<child_process> Process;
  };

  [[nodiscard]] std::string peerAddress(int From, int To) const;
  void writeControlSettings(int Number);
  void writeEntrySettings(int Number, const std::string &DataCentre);
  [[nodiscard]] std::string logFile(const std::string &Name) const;

  deployment_options Options;
  std::string Folder;
  std::map<int, instance> Controls;
  std::map<int, instance> Entries;
  std::map<std::string, instance> Targets;
  /// Relay of the traffic from one control instance to another.
  std::map<std::pair<int, int>, std::unique_ptr<cuttable_link>> Links;
};

} // namespace fulmar::system_tests

#endif // FULMAR_TESTS_SYSTEM_DEPLOYMENT_H

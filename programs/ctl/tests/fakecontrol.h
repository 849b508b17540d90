// A control instance for tests: a replicated state shared by several servers,
// of which one leads. It can drop answers after it carried a call out.

#ifndef FULMAR_CTL_TESTS_FAKECONTROL_H
#define FULMAR_CTL_TESTS_FAKECONTROL_H

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/controlstate/jsonconversion.h"
#include "fulmar/wire/rpcserver.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmar::ctl {

/// Two servers over one state.
class fake_control {
public:
  explicit fake_control(const std::string &AdministratorHash);
  ~fake_control();

  [[nodiscard]] std::vector<std::string> addresses() const;

  /// Set before the calls that they concern.
  std::size_t Leader = 0;
  /// Calls that are carried out and answered as if the quorum was lost.
  int LostAnswers = 0;
  /// Rounds of control.force in which an instance still waits.
  int WaitingRounds = 0;
  /// Calls that reached the leader.
  std::vector<std::string> Methods;
  controlstate::control_state State;

private:
  using method = std::function<base::result<Json::Value>(const Json::Value &)>;

  void serve(std::size_t Server, const std::string &Name, method Method);
  controlstate::reply run(controlstate::command_body Body);
  base::result<Json::Value> edit(const Json::Value &Parameters);
  base::result<Json::Value> setDataCentre(const Json::Value &Parameters);
  base::result<Json::Value> show(const Json::Value &Parameters);
  base::result<Json::Value> history(const Json::Value &Parameters);
  base::result<Json::Value> force();

  std::mutex Mutex;
  std::string AdministratorHash;
  std::uint64_t Index = 0;
  std::vector<std::unique_ptr<wire::rpc_server>> Servers;
};

} // namespace fulmar::ctl

#endif // FULMAR_CTL_TESTS_FAKECONTROL_H

// Finds the leader by asking.

#include "controlcaller.h"

#include <algorithm>
#include <thread>

namespace fulmar::entry {

namespace {

constexpr auto AttemptTimeout = std::chrono::milliseconds(1500);
constexpr auto PauseWithoutLeader = std::chrono::milliseconds(50);
constexpr std::size_t MaxIdleClients = 64;

bool mayAskAnother(const base::error &Error) {
  return Error.Kind == base::error_kind::NotLeader ||
         Error.Kind == base::error_kind::NoQuorum ||
         Error.Kind == base::error_kind::Unreachable ||
         Error.Kind == base::error_kind::Timeout ||
         Error.Kind == base::error_kind::Stopping;
}

} // namespace

control_caller::control_caller(std::vector<std::string> ControlAddresses)
    : Addresses(std::move(ControlAddresses)), Leader(Addresses.front()) {}

base::result<Json::Value> control_caller::call(const std::string &Method,
                                               const Json::Value &Parameters,
                                               base::duration Limit) {
  const base::instant End = Clock.now() + Limit;
  while (true) {
    const base::duration Left = End - Clock.now();
    if (Left <= base::duration(0))
      return base::fail(base::error_kind::NoQuorum,
                        "no control leader answered in time");
    const std::string Address = preferred();
    client Client = take(Address);
    auto Answer = Client->call(Method, Parameters,
                               std::min<base::duration>(Left, AttemptTimeout));
    giveBack(std::move(Client));
    if (Answer.has_value() || !mayAskAnother(Answer.error()))
      return Answer;
    moveOn(Address, Answer.error());
  }
}

std::string control_caller::preferred() const {
  const std::lock_guard Lock(Mutex);
  return Leader;
}

void control_caller::moveOn(const std::string &Address,
                            const base::error &Error) {
  const std::lock_guard Lock(Mutex);
  // Another thread may have found the leader meanwhile.
  if (Leader != Address)
    return;
  const bool Hinted = Error.Kind == base::error_kind::NotLeader &&
                      std::find(Addresses.begin(), Addresses.end(),
                                Error.Message) != Addresses.end();
  if (Hinted && Error.Message != Address) {
    Leader = Error.Message;
    return;
  }
  const auto Found = std::find(Addresses.begin(), Addresses.end(), Address);
  const bool IsLast = Found == Addresses.end() || Found + 1 == Addresses.end();
  Leader = IsLast ? Addresses.front() : *(Found + 1);
  std::this_thread::sleep_for(PauseWithoutLeader);
}

control_caller::client control_caller::take(const std::string &Address) {
  const std::lock_guard Lock(Mutex);
  const auto Found =
      std::find_if(Idle.begin(), Idle.end(), [&](const client &Client) {
        return Client->address() == Address;
      });
  if (Found == Idle.end())
    return std::make_unique<wire::rpc_client>(Address);
  client Taken = std::move(*Found);
  Idle.erase(Found);
  return Taken;
}

void control_caller::giveBack(client Client) {
  const std::lock_guard Lock(Mutex);
  if (Idle.size() < MaxIdleClients)
    Idle.push_back(std::move(Client));
}

} // namespace fulmar::entry

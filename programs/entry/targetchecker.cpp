// Connection attempts shortly after a broken attempt. A process that ends may
// close its connections before its listening socket, so that the check is made
// twice.

#include "targetchecker.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace fulmar::entry {

namespace {

constexpr auto FirstCheck = std::chrono::milliseconds(50);
constexpr auto NextCheck = std::chrono::milliseconds(950);
constexpr int Checks = 2;
constexpr auto PollTime = std::chrono::milliseconds(20);
constexpr auto IdleWait = std::chrono::seconds(1);
const Poco::Timespan ConnectTimeout(0, 200'000);

bool refuses(const std::string &Address) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address), ConnectTimeout);
    return false;
  } catch (const Poco::Exception &) {
    return true;
  }
}

} // namespace

target_checker::target_checker(refused_callback Callback)
    : OnRefused(std::move(Callback)), Thread([this] { run(); }) {}

target_checker::~target_checker() {
  Inbox.close();
  Thread.join();
}

void target_checker::schedule(const target &Target) {
  Pending.try_emplace(Target.Id, pending_check{.Target = Target,
                                               .Due = Clock.now() + FirstCheck,
                                               .Remaining = Checks});
}

void target_checker::runDue() {
  for (auto Entry = Pending.begin(); Entry != Pending.end();) {
    pending_check &Check = Entry->second;
    if (Clock.now() < Check.Due) {
      ++Entry;
      continue;
    }
    const bool Refused = refuses(Check.Target.Address);
    if (Refused)
      OnRefused(Check.Target.Id);
    Check.Due = Clock.now() + NextCheck;
    if (Refused || --Check.Remaining == 0)
      Entry = Pending.erase(Entry);
    else
      ++Entry;
  }
}

void target_checker::run() {
  while (!Inbox.closed()) {
    const auto Target = Inbox.take(Pending.empty() ? base::duration(IdleWait)
                                                   : base::duration(PollTime));
    if (Target)
      schedule(*Target);
    runDue();
  }
}

} // namespace fulmar::entry

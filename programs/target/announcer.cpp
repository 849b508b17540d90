// Announcements of a stand-in target.

#include "announcer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <sstream>
#include <utility>

namespace fulmar::target {

announcer::announcer(target_state &Shared, std::string Reachable)
    : State(Shared), Address(std::move(Reachable)), Thread([this] { run(); }) {}

announcer::~announcer() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Woken.notify_all();
  Thread.join();
}

void announcer::announceNow() {
  {
    const std::lock_guard Lock(Mutex);
    Urgent = true;
  }
  Woken.notify_all();
}

void announcer::run() {
  while (true) {
    announce();
    std::unique_lock Lock(Mutex);
    Woken.wait_for(Lock, State.options().AnnounceEvery,
                   [this] { return Stopping || Urgent; });
    Urgent = false;
    if (Stopping)
      return;
  }
}

void announcer::announce() {
  const auto &Entries = State.options().Entries;
  std::ostringstream Message;
  State.announcement(Address).stringify(Message);
  for (std::size_t Tried = 0; Tried < Entries.size(); ++Tried) {
    if (announceTo(Entries[Current % Entries.size()], Message.str()))
      return;
    ++Current;
  }
}

bool announcer::announceTo(const std::string &Entry,
                           const std::string &Message) const {
  constexpr int TimeoutMilliseconds = 500;
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Entry)};
    Session.setTimeout(
        Poco::Timespan(Poco::Timespan::MILLISECONDS * TimeoutMilliseconds));
    Poco::Net::HTTPRequest Request("POST", "/.fulmar/announce", "HTTP/1.1");
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Message.size()));
    Session.sendRequest(Request) << Message << std::flush;
    Poco::Net::HTTPResponse Response;
    Poco::NullOutputStream Ignored;
    Poco::StreamCopier::copyStream(Session.receiveResponse(Response), Ignored);
    constexpr int FirstFailure = 300;
    return Response.getStatus() < FirstFailure;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace fulmar::target

// Asks entries which addresses to use.

#include "entrylist.h"

#include "fulmar/proxy/connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <json/reader.h>
#include <json/value.h>

#include <sstream>

namespace fulmar::load {

entry_list::entry_list(const load_options &Settings) : Options(Settings) {}

std::string entry_list::pick(std::uint64_t Number) {
  if (!Options.Direct.empty())
    return Options.Direct[Number % Options.Direct.size()];
  const std::lock_guard Lock(Mutex);
  if (proxy::currentInstant() >= KeptUntil)
    refresh();
  return Addresses.empty() ? "" : Addresses[Number % Addresses.size()];
}

std::uint64_t entry_list::questions() const {
  const std::lock_guard Lock(Mutex);
  return Questions;
}

void entry_list::refresh() {
  for (std::size_t Tried = 0; Tried < Options.Entries.size(); ++Tried)
    if (ask(Options.Entries[NextEntry++ % Options.Entries.size()]))
      return;
  // No entry answers: the last answer is kept for a little longer.
  constexpr std::chrono::milliseconds Pause(200);
  KeptUntil = proxy::currentInstant() + Pause;
}

bool entry_list::ask(const std::string &Entry) {
  ++Questions;
  try {
    constexpr int TimeoutSeconds = 2;
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Entry)};
    Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
    Poco::Net::HTTPRequest Request(
        "GET", "/.fulmar/entries?service=" + Options.Service, "HTTP/1.1");
    Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::istream &Body = Session.receiveResponse(Response);
    Json::Value Answer;
    std::string Errors;
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK ||
        !Json::parseFromStream(Json::CharReaderBuilder(), Body, &Answer,
                               &Errors))
      return false;
    std::vector<std::string> Named;
    for (const Json::Value &Address : Answer["entries"])
      Named.push_back(Address.asString());
    if (Named.empty())
      return false;
    Addresses = std::move(Named);
    KeptUntil = proxy::currentInstant() +
                std::chrono::milliseconds(Answer["keep_ms"].asInt64());
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace fulmar::load

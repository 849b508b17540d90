// The test caller on POCO's client session.

#include "support/httpcaller.h"

#include "fulmar/wire/strictsession.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace fulmar::system_tests {

std::string http_answer::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? "" : Found->second;
}

std::optional<http_answer> callHttp(const std::string &Address,
                                    const http_request &Request) {
  try {
    const Poco::Timespan Timeout(
        std::chrono::microseconds(Request.Timeout).count());
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address), Timeout);
    wire::strict_session Session(Socket);
    Session.setTimeout(Timeout);
    Poco::Net::HTTPRequest Out(Request.Method, Request.Path,
                               Poco::Net::HTTPMessage::HTTP_1_1);
    Out.setHost(Address);
    for (const auto &[Name, Value] : Request.Headers)
      Out.set(Name, Value);
    if (!Request.Body.empty() || Request.Method == "POST")
      Out.setContentLength(static_cast<std::streamsize>(Request.Body.size()));
    Session.sendRequest(Out) << Request.Body << std::flush;
    Poco::Net::HTTPResponse In;
    http_answer Answer;
    Poco::StreamCopier::copyToString(Session.receiveResponse(In), Answer.Body);
    Answer.Status = In.getStatus();
    for (const auto &[Name, Value] : In)
      Answer.Headers[Name] = Value;
    const bool Whole = !In.hasContentLength() ||
                       In.getContentLength64() ==
                           static_cast<Poco::Int64>(Answer.Body.size()) ||
                       Request.Method == "HEAD";
    return Whole ? std::optional(Answer) : std::nullopt;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace fulmar::system_tests

// JSON-RPC client on a strict POCO HTTP session.

#include "fulmar/wire/rpcclient.h"

#include "fulmar/wire/strictsession.h"
#include "jsonrpcbridge.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <optional>

namespace fulmar::wire {

namespace {

/// Raised when no connection could be made; the call was not sent.
class connect_fault final : public std::exception {};

Poco::Timespan timespan(base::duration Time) {
  return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(Time.count()));
}

std::string bareMessage(const std::string &Message) {
  // The library prefixes messages with "Exception: " or a code's text.
  const std::size_t Split = Message.rfind(": ");
  return Split == std::string::npos ? Message : Message.substr(Split + 2);
}

} // namespace

class rpc_client::connector {
public:
  explicit connector(std::string Peer) : Address(std::move(Peer)) {}

  std::string exchange(const std::string &Message, base::duration Timeout) {
    connectWithin(Timeout);
    Session->setTimeout(timespan(Timeout));
    try {
      return post(Message);
    } catch (...) {
      Session.reset();
      throw;
    }
  }

  const std::string Address;

private:
  void connectWithin(base::duration Timeout) {
    if (Session && stillOpen())
      return;
    Session.reset();
    try {
      Poco::Net::StreamSocket Socket;
      Socket.connect(Poco::Net::SocketAddress(Address), timespan(Timeout));
      Socket.setNoDelay(true);
      Session.emplace(Socket);
    } catch (const Poco::Exception &) {
      throw connect_fault();
    }
  }

  bool stillOpen() {
    // An idle connection that became readable was closed by the peer.
    try {
      return Session->socket().impl()->initialized() &&
             !Session->socket().poll(Poco::Timespan(0),
                                     Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
      return false;
    }
  }

  std::string post(const std::string &Message) {
    Poco::Net::HTTPRequest Request(Poco::Net::HTTPRequest::HTTP_POST, "/rpc",
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Request.setHost(Address);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Message.size()));
    Session->sendRequest(Request) << Message << std::flush;
    Poco::Net::HTTPResponse Response;
    std::istream &Body = Session->receiveResponse(Response);
    std::string Text;
    Poco::StreamCopier::copyToString(Body, Text);
    if (!Response.getKeepAlive())
      Session.reset();
    return Text;
  }

  std::optional<strict_session> Session;
};

rpc_client::rpc_client(std::string Address)
    : Connector(std::make_unique<connector>(std::move(Address))) {}

rpc_client::~rpc_client() = default;

const std::string &rpc_client::address() const { return Connector->Address; }

base::result<Json::Value> rpc_client::call(const std::string &Method,
                                           const Json::Value &Parameters,
                                           base::duration Timeout) {
  const std::string Where = Method + " at " + Connector->Address;
  try {
    const rpc_answer Answer = performCall(
        [this, Timeout](const std::string &Message) {
          return Connector->exchange(Message, Timeout);
        },
        Method, Parameters);
    if (Answer.Succeeded)
      return Answer.Value;
    return base::fail(base::kindOfRpcCode(Answer.ErrorCode),
                      bareMessage(Answer.ErrorMessage));
  } catch (const connect_fault &) {
    return base::fail(base::error_kind::Unreachable, Where + ": no connection");
  } catch (const std::exception &Fault) {
    return base::fail(base::error_kind::Timeout,
                      Where + ": no answer (" + Fault.what() + ")");
  }
}

} // namespace fulmar::wire

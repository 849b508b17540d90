// JSON-RPC server: libjsonrpccpp's protocol handler behind POCO's HTTP server.

#include "fulmar/wire/rpcserver.h"

#include "fulmar/wire/listen.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace fulmar::wire {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Finds the handler of a method and turns its error into the library's.
class method_table final : public jsonrpc::IProcedureInvokationHandler {
public:
  method_table()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void add(const std::string &Method, rpc_server::method_handler Handler) {
    Handlers[Method] = std::move(Handler);
    Protocol->AddProcedure(jsonrpc::Procedure(Method, jsonrpc::PARAMS_BY_NAME,
                                              jsonrpc::JSON_OBJECT, nullptr));
  }

  std::string answer(const std::string &Request) {
    std::string Response;
    Protocol->HandleRequest(Request, Response);
    return Response;
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    const auto Outcome = Handlers.at(Procedure.GetProcedureName())(Input);
    if (!Outcome.has_value())
      throw jsonrpc::JsonRpcException(
          base::answerOf(Outcome.error().Kind).RpcCode,
          Outcome.error().Message);
    Output = Outcome.value();
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void HandleNotificationCall(jsonrpc::Procedure & /*Procedure*/,
                              const Json::Value & /*Input*/) override {}

private:
  std::map<std::string, rpc_server::method_handler> Handlers;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
};

struct routes {
  method_table Methods;
  std::map<std::string, rpc_server::text_handler> Texts;
  std::size_t MaxBodyBytes = 0;
};

void sendText(HTTPServerResponse &Response, HTTPResponse::HTTPStatus Status,
              const std::string &Type, const std::string &Text) {
  Response.setStatusAndReason(Status);
  Response.setContentType(Type);
  Response.sendBuffer(Text.data(), Text.size());
}

/// Reads at most \p Limit bytes; false when the body is longer.
bool readBody(std::istream &Stream, std::size_t Limit, std::string &Body) {
  constexpr std::size_t ChunkBytes = 16384;
  std::string Chunk(ChunkBytes, '\0');
  while (Stream.read(Chunk.data(), ChunkBytes), Stream.gcount() > 0) {
    Body.append(Chunk.data(), static_cast<std::size_t>(Stream.gcount()));
    if (Body.size() > Limit)
      return false;
  }
  return true;
}

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit request_handler(routes &Table) : Routes(Table) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    try {
      if (Request.getMethod() == "POST" && Request.getURI() == "/rpc")
        return answerCall(Request, Response);
      answerText(Request, Response);
    } catch (const Poco::Exception &) {
      // The peer has gone; there is nobody to answer.
      Response.setKeepAlive(false);
    }
  }

private:
  void answerCall(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    std::string Body;
    if (!readBody(Request.stream(), Routes.MaxBodyBytes, Body)) {
      Response.setKeepAlive(false);
      return sendText(Response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                      "text/plain", "request body too large\n");
    }
    sendText(Response, HTTPResponse::HTTP_OK, "application/json",
             Routes.Methods.answer(Body));
  }

  void answerText(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    const auto Found = Routes.Texts.find(Request.getURI());
    if (Request.getMethod() != "GET" || Found == Routes.Texts.end())
      return sendText(Response, HTTPResponse::HTTP_NOT_FOUND, "text/plain",
                      "no such resource\n");
    sendText(Response, HTTPResponse::HTTP_OK, "text/plain", Found->second());
  }

  routes &Routes;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(routes &Table) : Routes(Table) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*Request*/) override {
    return new request_handler(Routes);
  }

private:
  routes &Routes;
};

} // namespace

struct rpc_server::implementation {
  routes Routes;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

rpc_server::rpc_server() : Implementation(std::make_unique<implementation>()) {}

rpc_server::~rpc_server() { stop(); }

void rpc_server::handleMethod(const std::string &Method,
                              method_handler Handler) {
  Implementation->Routes.Methods.add(Method, std::move(Handler));
}

void rpc_server::handleText(const std::string &Path, text_handler Handler) {
  Implementation->Routes.Texts[Path] = std::move(Handler);
}

base::result<void> rpc_server::start(const rpc_server_options &Options) {
  try {
    Implementation->Routes.MaxBodyBytes = Options.MaxBodyBytes;
    const Poco::Net::ServerSocket Socket = listenOn(Options.Listen);
    constexpr int MinThreads = 2;
    Implementation->Threads =
        std::make_unique<Poco::ThreadPool>(MinThreads, Options.MaxThreads);
    auto Parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    Parameters->setMaxThreads(Options.MaxThreads);
    Parameters->setKeepAlive(true);
    constexpr int Unlimited = 0;
    Parameters->setMaxKeepAliveRequests(Unlimited);
    Implementation->Server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(Implementation->Routes), *Implementation->Threads,
        Socket, Parameters);
    Implementation->Server->start();
    return base::success();
  } catch (const Poco::Exception &Fault) {
    return base::fail(base::error_kind::Unreachable, "can't listen on " +
                                                         Options.Listen + ": " +
                                                         Fault.displayText());
  }
}

void rpc_server::stop() {
  if (!Implementation->Server)
    return;
  Implementation->Server->stopAll(true);
  Implementation->Threads->joinAll();
  Implementation->Server.reset();
}

std::uint16_t rpc_server::port() const {
  return Implementation->Server ? Implementation->Server->port() : 0;
}

} // namespace fulmar::wire

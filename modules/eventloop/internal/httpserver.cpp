// Connections of the small HTTP server, on Boost.Beast's parser.

#include "fulmar/eventloop/httpserver.h"

#include "fulmar/telemetry/log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmar::eventloop {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool isMalformed(const error_code &Failed) {
  static const error_code End = make_error_code(http::error::end_of_stream);
  return Failed && Failed.category() == End.category() && Failed != End &&
         Failed != http::error::partial_message;
}

class http_connection : public std::enable_shared_from_this<http_connection> {
public:
  http_connection(loop &OwningLoop, tcp::socket Accepted,
                  const http_server_options &Chosen,
                  std::shared_ptr<const http_handler> Called,
                  std::shared_ptr<body_budget> Shared)
      : Loop(OwningLoop), Socket(std::move(Accepted)), Options(Chosen),
        Handler(std::move(Called)), Bodies(std::move(Shared)),
        Idle(OwningLoop) {
    tuneSocket(Socket);
  }
  ~http_connection() { release(); }
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  void read() {
    Parser.emplace();
    AwaitedSince = Loop.now();
    Parser->header_limit(static_cast<std::uint32_t>(Options.MaxHeaderBytes));
    Parser->body_limit(Options.MaxBodyBytes);
    Idle.after(Options.IdleLimit, [this] { close(); });
    http::async_read_header(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failed, std::size_t /*Count*/) {
          Self->onHead(Failed);
        });
  }

private:
  void onHead(error_code Failed) {
    if (!Failed && !reserve()) {
      telemetry::logChange(telemetry::log_level::Warning, "http",
                           "body-refused",
                           {{"listen", Options.Address},
                            {"reserved", std::to_string(Bodies->Reserved)}});
      Idle.cancel();
      Answered = false;
      return answer({.Status = 503,
                     .Body = "{\"error\":\"too many large requests\"}",
                     .RetryAfter = "1"},
                    false);
    }
    if (Failed || Parser->is_done()) {
      Idle.cancel();
      return onRead(Failed);
    }
    http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t /*Count*/) {
          Self->Idle.cancel();
          Self->onRead(Failure);
        });
  }

  /// Reserves memory for the body. Short bodies need none: the connections that
  /// a process may have bound them.
  bool reserve() {
    constexpr std::size_t ShortBody = std::size_t(64) << 10;
    std::size_t Expected = Parser->chunked() ? Options.MaxBodyBytes : 0;
    if (const auto Length = Parser->content_length())
      Expected = static_cast<std::size_t>(*Length);
    if (Expected <= ShortBody)
      return true;
    if (Bodies->Reserved + Expected >
        std::max(Options.MaxBufferedBytes, Options.MaxBodyBytes))
      return false;
    Bodies->Reserved += Expected;
    Reserved = Expected;
    return true;
  }
  void release() { Bodies->Reserved -= std::exchange(Reserved, 0); }

  void onRead(error_code Failed) {
    Answered = false;
    if (Failed == http::error::body_limit)
      return answer({.Status = 413, .Body = "{\"error\":\"body too large\"}"},
                    false);
    if (Failed == http::error::header_limit)
      return answer({.Status = 431, .Body = "{\"error\":\"header too large\"}"},
                    false);
    if (isMalformed(Failed))
      return answer({.Status = 400, .Body = "{\"error\":\"malformed HTTP\"}"},
                    false);
    if (Failed)
      return close();
    auto Message = Parser->release();
    const bool Keep = Message.keep_alive();
    http_request Request{.Method = std::string(Message.method_string()),
                         .Target = std::string(Message.target()),
                         .Body = std::move(Message.body()),
                         .Awaited = Loop.now() - AwaitedSince};
    const bool Handled = guarded("http", [&] {
      (*Handler)(std::move(Request),
                 {[Self = shared_from_this(), Keep](http_answer Answer) {
                    Self->answer(std::move(Answer), Keep);
                  },
                  [Self = shared_from_this()] {
                    return isPeerConnected(Self->Socket);
                  }});
    });
    if (!Handled && !Answered)
      answer({.Status = 500, .Body = "{\"error\":\"internal error\"}"}, false);
  }

  void answer(http_answer Answer, bool Keep) {
    // A handler that failed may have kept the responder.
    if (std::exchange(Answered, true))
      return;
    http::response<http::string_body> Message(
        static_cast<http::status>(Answer.Status), 11);
    Message.set(http::field::content_type, Answer.ContentType);
    if (!Answer.RetryAfter.empty())
      Message.set(http::field::retry_after, Answer.RetryAfter);
    if (!Answer.Location.empty())
      Message.set(http::field::location, Answer.Location);
    Message.keep_alive(Keep);
    Message.body() = std::move(Answer.Body);
    Message.prepare_payload();
    release();
    Outgoing =
        std::make_unique<http::response<http::string_body>>(std::move(Message));
    http::async_write(Socket, *Outgoing,
                      [Self = shared_from_this(), Keep](error_code Failed,
                                                        std::size_t /*Count*/) {
                        if (Failed || !Keep)
                          return Self->close();
                        Self->read();
                      });
  }

  void close() {
    release();
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    Socket.close(Ignored);
  }

  loop &Loop;
  tcp::socket Socket;
  http_server_options Options;
  std::shared_ptr<const http_handler> Handler;
  std::shared_ptr<body_budget> Bodies;
  /// This connection's part of the budget.
  std::size_t Reserved = 0;
  timer Idle;
  beast::flat_buffer Buffer;
  base::instant AwaitedSince{};
  bool Answered = false;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::unique_ptr<http::response<http::string_body>> Outgoing;
};

} // namespace

http_server::http_server(loop &OwningLoop, http_server_options Chosen,
                         http_handler Called)
    : Loop(OwningLoop), Options(std::move(Chosen)),
      Handler(std::make_shared<const http_handler>(std::move(Called))),
      AcceptRetry(Loop) {}

base::result<void> http_server::start() {
  BOOST_OUTCOME_TRY(Listening, listenOn(Loop, Options.Address));
  Acceptor = std::make_unique<tcp::acceptor>(std::move(Listening));
  accept();
  return base::success();
}

void http_server::stop() {
  error_code Ignored;
  if (Acceptor)
    Acceptor->close(Ignored);
}

void http_server::accept() {
  Acceptor->async_accept([this](error_code Failed, tcp::socket Socket) {
    if (Failed == asio::error::operation_aborted)
      return;
    if (!Failed)
      std::make_shared<http_connection>(Loop, std::move(Socket), Options,
                                        Handler, Bodies)
          ->read();
    if (!Acceptor->is_open())
      return;
    if (Failed)
      return AcceptRetry.after(AcceptPause, [this] { accept(); });
    accept();
  });
}

} // namespace fulmar::eventloop

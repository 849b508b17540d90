// Reads and writes frames.

#include "fulmar/eventloop/framelink.h"

#include <boost/asio/write.hpp>

#include <cstdint>

namespace fulmar::eventloop {

namespace {

constexpr std::size_t HeadBytes = 4;

std::string headOf(std::size_t Size) {
  std::string Head(HeadBytes, '\0');
  for (std::size_t Place = 0; Place < HeadBytes; ++Place)
    Head[Place] =
        static_cast<char>((Size >> (8 * (HeadBytes - 1 - Place))) & 0xffU);
  return Head;
}

std::size_t sizeIn(std::string_view Head) {
  std::size_t Size = 0;
  for (std::size_t Place = 0; Place < HeadBytes; ++Place)
    Size = (Size << 8U) | static_cast<unsigned char>(Head[Place]);
  return Size;
}

} // namespace

frame_link::frame_link(loop &OwningLoop, tcp::socket Connected)
    : Loop(OwningLoop), Socket(std::move(Connected)), HeardAt(Loop.now()) {
  tuneSocket(Socket);
}

void frame_link::start(frame_handler Frame, close_handler Closed) {
  OnFrame = std::move(Frame);
  OnClose = std::move(Closed);
  read();
}

void frame_link::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        if (Failed)
          return Self->fail();
        Self->HeardAt = Self->Loop.now();
        Self->Received.append(Self->Chunk.data(), Count);
        Self->takeFrames();
        if (Self->open())
          Self->read();
      });
}

void frame_link::takeFrames() {
  std::size_t Taken = 0;
  // The handler may close this link, which drops OnFrame.
  const frame_handler Handler = OnFrame;
  while (open() && Received.size() - Taken >= HeadBytes) {
    const std::string_view Rest = std::string_view(Received).substr(Taken);
    const std::size_t Size = sizeIn(Rest);
    if (Size > MaxFrameBytes)
      return fail();
    if (Rest.size() < HeadBytes + Size)
      break;
    Taken += HeadBytes + Size;
    const std::string_view Frame = Rest.substr(HeadBytes, Size);
    if (Handler && !guarded("link", [&] { Handler(Frame); }))
      return fail();
  }
  Received.erase(0, Taken);
}

void frame_link::send(std::string Payload) {
  if (!open())
    return;
  if (OutgoingBytes + Payload.size() > MaxQueuedBytes)
    return fail();
  OutgoingBytes += HeadBytes + Payload.size();
  Outgoing.push_back(headOf(Payload.size()) + std::move(Payload));
  if (!Writing)
    write();
}

void frame_link::write() {
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(Outgoing.front()),
      [Self = shared_from_this()](error_code Failed, std::size_t /*Count*/) {
        Self->Writing = false;
        if (Failed)
          return Self->fail();
        Self->OutgoingBytes -= Self->Outgoing.front().size();
        Self->Outgoing.pop_front();
        if (!Self->Outgoing.empty())
          Self->write();
      });
}

void frame_link::fail() {
  const close_handler Closed = std::move(OnClose);
  close();
  if (Closed)
    Closed();
}

void frame_link::close() {
  OnFrame = nullptr;
  OnClose = nullptr;
  error_code Ignored;
  Socket.close(Ignored);
}

frame_server::~frame_server() {
  error_code Ignored;
  if (Acceptor)
    Acceptor->close(Ignored);
}

base::result<void> frame_server::start(const std::string &Address,
                                       accept_handler Accepted) {
  BOOST_OUTCOME_TRY(Listening, listenOn(Loop, Address));
  Acceptor = std::make_shared<tcp::acceptor>(std::move(Listening));
  OnAccept = std::move(Accepted);
  accept();
  return base::success();
}

void frame_server::accept() {
  Acceptor->async_accept([this, Mine = std::weak_ptr(Acceptor)](
                             error_code Failed, tcp::socket Socket) {
    // The server may be gone, also where a connection came just before.
    if (Failed == asio::error::operation_aborted || Mine.expired())
      return;
    if (Failed)
      return AcceptRetry.after(AcceptPause, [this] { accept(); });
    OnAccept(std::make_shared<frame_link>(Loop, std::move(Socket)));
    accept();
  });
}

} // namespace fulmar::eventloop

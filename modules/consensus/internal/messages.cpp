// A message is encoded as a msgpack array: the header fields, the index of the
// body's type in message_body, and the body.

#include "fulmar/consensus/messages.h"

#include "codec.h"

#include <array>
#include <utility>

namespace fulmar::consensus {

namespace {

struct wire_message {
  std::string ClusterId;
  replica_id From;
  replica_id To;
  std::string StorageId;
  log_term Term = 0;
  std::uint64_t Type = 0;
  msgpack::object Body;

  MSGPACK_DEFINE(ClusterId, From, To, StorageId, Term, Type, Body)
};

using body_decoder = message_body (*)(const msgpack::object &);

template <typename Body> message_body decodeBody(const msgpack::object &Wire) {
  return Wire.as<Body>();
}

template <std::size_t... Positions>
constexpr auto makeDecoders(std::index_sequence<Positions...> /*Types*/) {
  return std::array<body_decoder, sizeof...(Positions)>{
      &decodeBody<std::variant_alternative_t<Positions, message_body>>...};
}

constexpr auto BodyDecoders =
    makeDecoders(std::make_index_sequence<std::variant_size_v<message_body>>());

base::result<message> toMessage(const wire_message &Wire) {
  if (Wire.Type >= BodyDecoders.size())
    return base::fail(base::error_kind::BadRequest, "unknown message type");
  return message{.ClusterId = Wire.ClusterId,
                 .From = Wire.From,
                 .To = Wire.To,
                 .StorageId = Wire.StorageId,
                 .Term = Wire.Term,
                 .Body = BodyDecoders[Wire.Type](Wire.Body)};
}

} // namespace

std::string encode(const message &Message) {
  msgpack::sbuffer Buffer;
  msgpack::packer Packer(Buffer);
  constexpr std::uint32_t Fields = 7;
  Packer.pack_array(Fields);
  Packer.pack(Message.ClusterId);
  Packer.pack(Message.From);
  Packer.pack(Message.To);
  Packer.pack(Message.StorageId);
  Packer.pack(Message.Term);
  Packer.pack(std::uint64_t(Message.Body.index()));
  std::visit([&Packer](const auto &Body) { Packer.pack(Body); }, Message.Body);
  return {Buffer.data(), Buffer.size()};
}

base::result<message> decodeMessage(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle = parseValue(Bytes);
    return toMessage(Handle->as<wire_message>());
  } catch (const std::exception &Exception) {
    return base::fail(base::error_kind::BadRequest, Exception.what());
  }
}

std::string encode(const configuration &Members) { return packValue(Members); }

base::result<configuration> decodeConfiguration(std::string_view Bytes) {
  return unpackValue<configuration>(Bytes);
}

std::string encode(const entry &Entry) { return packValue(Entry); }

base::result<entry> decodeEntry(std::string_view Bytes) {
  return unpackValue<entry>(Bytes);
}

} // namespace fulmar::consensus

// msgpack encoding of plain structs and enumerations. A struct is supported if
// there is a function fieldsOf() that returns a std::tie() of its members, an
// enumeration if there is a function lastOf() that returns its greatest
// enumerator. Both are found by argument-dependent lookup.
//
// Decoding is strict: a different number of fields, a different type or an
// unknown enumerator throws msgpack::type_error.

#ifndef FULMAR_CLAIMS_PACKING_H
#define FULMAR_CLAIMS_PACKING_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>

namespace fulmar::claims {

template <typename Value>
concept has_fields = requires(Value &Item) {
  fieldsOf(Item);
};

template <typename Value>
concept bounded_enum = std::is_enum_v<Value> && requires(Value Item) {
  lastOf(Item);
};

/// Returns fieldsOf() of a const struct, for reading only.
template <has_fields Value> auto constFieldsOf(const Value &Item) {
  // Safe, because packing only reads through the references.
  return fieldsOf(const_cast<Value &>(Item));
}

} // namespace fulmar::claims

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Value>
  struct convert<Value, std::enable_if_t<fulmar::claims::has_fields<Value>>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      Value &To) const {
      auto Fields = fieldsOf(To);
      if (From.type != msgpack::type::ARRAY ||
          From.via.array.size != std::tuple_size_v<decltype(Fields)>)
        throw msgpack::type_error();
      const msgpack::object *Next = From.via.array.ptr;
      std::apply([&](auto &...Field) { ((Next++)->convert(Field), ...); },
                 Fields);
      return From;
    }
  };

  template <typename Value>
  struct pack<Value, std::enable_if_t<fulmar::claims::has_fields<Value>>> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &To,
                                        const Value &From) const {
      const auto Fields = fulmar::claims::constFieldsOf(From);
      To.pack_array(
          static_cast<std::uint32_t>(std::tuple_size_v<decltype(Fields)>));
      std::apply([&](const auto &...Field) { (To.pack(Field), ...); }, Fields);
      return To;
    }
  };

  template <typename Value>
  struct convert<Value, std::enable_if_t<fulmar::claims::bounded_enum<Value>>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      Value &To) const {
      const auto Number = From.as<std::uint8_t>();
      if (Number > static_cast<std::uint8_t>(lastOf(Value())))
        throw msgpack::type_error();
      To = static_cast<Value>(Number);
      return From;
    }
  };

  template <typename Value>
  struct pack<Value, std::enable_if_t<fulmar::claims::bounded_enum<Value>>> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &To,
                                        const Value &From) const {
      return To.pack(static_cast<std::uint8_t>(From));
    }
  };

  template <typename Tag> struct convert<fulmar::base::identifier<Tag>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      fulmar::base::identifier<Tag> &To) const {
      To = fulmar::base::identifier<Tag>(From.as<std::string>());
      return From;
    }
  };

  template <typename Tag> struct pack<fulmar::base::identifier<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const fulmar::base::identifier<Tag> &From) const {
      return To.pack(From.str());
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

namespace fulmar::claims {

template <typename Value> std::string packValue(const Value &Item) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Item);
  return {Buffer.data(), Buffer.size()};
}

/// Fails with BadRequest on any malformed input, and does not throw.
template <typename Value>
base::result<Value> unpackValue(std::string_view Bytes) {
  try {
    // Every element takes at least one byte. Limits the sizes accordingly, so
    // that a malformed header can't make the library allocate more memory.
    constexpr std::size_t MaxDepth = 32;
    const std::size_t MaxElements = Bytes.size();
    const msgpack::unpack_limit Limit(MaxElements, MaxElements, MaxElements,
                                      MaxElements, MaxElements, MaxDepth);
    std::size_t Offset = 0;
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Offset, nullptr, nullptr, Limit);
    if (Offset != Bytes.size())
      return base::fail(base::error_kind::BadRequest, "trailing bytes");
    Value Item{};
    Handle.get().convert(Item);
    return Item;
  } catch (const std::exception &Exception) {
    return base::fail(base::error_kind::BadRequest,
                      std::string("malformed bytes: ") + Exception.what());
  }
}

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_PACKING_H

// msgpack encoding of std::variant as an array of two elements: the index of
// the alternative and its value.

#ifndef FULMAR_CLAIMS_VARIANTPACKING_H
#define FULMAR_CLAIMS_VARIANTPACKING_H

#include "fulmar/claims/packing.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

namespace fulmar::claims {

template <typename Packer, typename... Types>
void packVariant(Packer &To, const std::variant<Types...> &Item) {
  To.pack_array(2);
  To.pack(static_cast<std::uint32_t>(Item.index()));
  std::visit([&](const auto &Alternative) { To.pack(Alternative); }, Item);
}

/// Throws msgpack::type_error if \p From does not encode one of \p Types.
template <typename... Types>
std::variant<Types...> variantFrom(const msgpack::object &From) {
  using variant = std::variant<Types...>;
  using decoder = variant (*)(const msgpack::object &);
  static constexpr decoder Decoders[] = {[](const msgpack::object &Object) {
    return variant(Object.as<Types>());
  }...};
  if (From.type != msgpack::type::ARRAY || From.via.array.size != 2)
    throw msgpack::type_error();
  const auto Index = From.via.array.ptr[0].as<std::uint32_t>();
  if (Index >= sizeof...(Types))
    throw msgpack::type_error();
  return Decoders[Index](From.via.array.ptr[1]);
}

} // namespace fulmar::claims

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Types> struct convert<std::variant<Types...>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      std::variant<Types...> &To) const {
      To = fulmar::claims::variantFrom<Types...>(From);
      return From;
    }
  };

  template <typename... Types> struct pack<std::variant<Types...>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const std::variant<Types...> &From) const {
      fulmar::claims::packVariant(To, From);
      return To;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif // FULMAR_CLAIMS_VARIANTPACKING_H

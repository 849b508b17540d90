// Encoding of variants as the array [index of the alternative, alternative].

#ifndef FULMAR_CLAIMS_VARIANTPACKING_H
#define FULMAR_CLAIMS_VARIANTPACKING_H

#include "fulmar/claims/packing.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

namespace fulmar::claims {

template <typename Packer, typename... Kinds>
void packVariant(Packer &To, const std::variant<Kinds...> &Item) {
  To.pack_array(2);
  To.pack(static_cast<std::uint32_t>(Item.index()));
  std::visit([&](const auto &Alternative) { To.pack(Alternative); }, Item);
}

/// Throws msgpack::type_error when \p From holds none of the alternatives.
template <typename... Kinds>
std::variant<Kinds...> variantFrom(const msgpack::object &From) {
  using variant = std::variant<Kinds...>;
  using decoder = variant (*)(const msgpack::object &);
  static constexpr decoder Decoders[] = {[](const msgpack::object &Object) {
    return variant(Object.as<Kinds>());
  }...};
  if (From.type != msgpack::type::ARRAY || From.via.array.size != 2)
    throw msgpack::type_error();
  const auto Index = From.via.array.ptr[0].as<std::uint32_t>();
  if (Index >= sizeof...(Kinds))
    throw msgpack::type_error();
  return Decoders[Index](From.via.array.ptr[1]);
}

} // namespace fulmar::claims

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Kinds> struct convert<std::variant<Kinds...>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      std::variant<Kinds...> &To) const {
      To = fulmar::claims::variantFrom<Kinds...>(From);
      return From;
    }
  };

  template <typename... Kinds> struct pack<std::variant<Kinds...>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const std::variant<Kinds...> &From) const {
      fulmar::claims::packVariant(To, From);
      return To;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif // FULMAR_CLAIMS_VARIANTPACKING_H

// A message body that grows as bytes arrive. Boost.Beast's string_body reserves
// the length that the peer announces, and throws if that is absurdly large.

#ifndef FULMAR_GATEWAY_INTERNAL_INCREMENTALBODY_H
#define FULMAR_GATEWAY_INTERNAL_INCREMENTALBODY_H

#include "internal/httptypes.h"

#include <cstdint>
#include <string>

namespace fulmar::gateway {

struct incremental_body {
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> & /*Head*/, value_type &Output)
        : Body(Output) {}

    // NOLINTNEXTLINE(readability-convert-member-functions-to-static)
    void init(const boost::optional<std::uint64_t> & /*Announced*/,
              error_code &Failed) {
      Failed = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers &Input, error_code &Failed) {
      Failed = {};
      std::size_t Consumed = 0;
      for (const auto &Part : boost::beast::buffers_range_ref(Input)) {
        Body.append(static_cast<const char *>(Part.data()), Part.size());
        Consumed += Part.size();
      }
      return Consumed;
    }

    // NOLINTNEXTLINE(readability-convert-member-functions-to-static)
    void finish(error_code &Failed) { Failed = {}; }

  private:
    value_type &Body;
  };
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_INCREMENTALBODY_H

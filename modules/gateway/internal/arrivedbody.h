// A body that grows with the bytes that have arrived. Boost.Beast's string body
// reserves whatever length the peer announces, and throws where that is absurd.

#ifndef FULMAR_GATEWAY_INTERNAL_ARRIVEDBODY_H
#define FULMAR_GATEWAY_INTERNAL_ARRIVEDBODY_H

#include "internal/httptypes.h"

#include <cstdint>
#include <string>

namespace fulmar::gateway {

struct arrived_body {
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> & /*Head*/, value_type &Into)
        : Body(Into) {}

    // NOLINTNEXTLINE(readability-convert-member-functions-to-static)
    void init(const boost::optional<std::uint64_t> & /*Announced*/,
              error_code &Failed) {
      Failed = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers &Arrived, error_code &Failed) {
      Failed = {};
      std::size_t Taken = 0;
      for (const auto &Part : boost::beast::buffers_range_ref(Arrived)) {
        Body.append(static_cast<const char *>(Part.data()), Part.size());
        Taken += Part.size();
      }
      return Taken;
    }

    // NOLINTNEXTLINE(readability-convert-member-functions-to-static)
    void finish(error_code &Failed) { Failed = {}; }

  private:
    value_type &Body;
  };
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_ARRIVEDBODY_H

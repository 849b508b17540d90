// The rate limit that one run of a target announces in its responses.

#ifndef FULMAR_PLACEMENT_ANNOUNCEDLIMIT_H
#define FULMAR_PLACEMENT_ANNOUNCEDLIMIT_H

#include <compare>
#include <cstdint>
#include <optional>

namespace fulmar::placement {

/// What a response was the answer to.
enum class response_kind : std::uint8_t { Request, Probe };

class announced_limit {
public:
  /// Records that a response named \p Rate, or no limit if it is empty. Returns
  /// true if the limit has changed.
  bool observe(std::optional<double> Rate, response_kind Kind);

  /// Requests per second from all entries together; empty without a limit.
  [[nodiscard]] std::optional<double> rate() const { return Rate; }

  friend auto operator<=>(const announced_limit &,
                          const announced_limit &) = default;

private:
  std::optional<double> Rate;
  /// Responses to probes name the limit too. Until one did, a probe's response
  /// without a limit does not lift it.
  bool NamedInProbes = false;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_ANNOUNCEDLIMIT_H

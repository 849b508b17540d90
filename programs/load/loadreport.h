// Counts and latency percentiles of a run.

#ifndef FULMAR_LOAD_LOADREPORT_H
#define FULMAR_LOAD_LOADREPORT_H

#include "fulmar/base/time.h"
#include "loadtypes.h"

#include <json/value.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmar::load {

/// Not thread-safe: each worker fills its own, they are merged at the end.
class load_report {
public:
  /// Counts a request's final outcome; \p Elapsed from its due time.
  void add(const load_answer &Answer, base::duration Elapsed);
  void addResend() { ++Resends; }
  void merge(const load_report &Other);

  [[nodiscard]] std::uint64_t count(outcome Outcome) const;
  [[nodiscard]] std::uint64_t total() const;
  /// Latency of own whole answers below which \p Quantile of them lie.
  [[nodiscard]] double quantileMs(double Quantile) const;
  [[nodiscard]] Json::Value toJson(base::duration Elapsed) const;
  [[nodiscard]] std::string toText(base::duration Elapsed) const;
  /// False when a caller could have been misled.
  [[nodiscard]] bool sound() const;

private:
  std::array<std::uint64_t, OutcomeCount> Counts{};
  std::map<std::string, std::uint64_t> Errors;
  // Of outcome Ok only, in microseconds; sorted by quantileMs().
  mutable std::vector<std::int64_t> Latencies;
  std::uint64_t Resends = 0;
};

} // namespace fulmar::load

#endif // FULMAR_LOAD_LOADREPORT_H

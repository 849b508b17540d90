// Quantiles over rotating windows. Two estimators overlap by half a window:
// the older one answers, and when its window is full the younger one takes
// its place, so that quantiles follow the present without ever starting empty.

#include "fulmar/telemetry/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace fulmar::telemetry {

namespace {

namespace acc = boost::accumulators;

/// Records after which an estimator is replaced.
constexpr std::uint64_t WindowRecords = 8192;
/// Below this count the quantiles are computed from the records themselves.
constexpr std::size_t ExactRecords = 64;

constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};

using estimator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square_quantile>>;

double exactQuantile(std::vector<double> Records, double Quantile) {
  if (Records.empty())
    return 0;
  std::sort(Records.begin(), Records.end());
  const double Rank = std::ceil(Quantile * static_cast<double>(Records.size()));
  const auto Index = static_cast<std::size_t>(std::max(1.0, Rank)) - 1;
  return Records[std::min(Index, Records.size() - 1)];
}

/// One window of records.
class window {
public:
  window() : Estimator(acc::extended_p_square_probabilities = Quantiles) {}

  void record(double Seconds) {
    Estimator(Seconds);
    if (First.size() < ExactRecords)
      First.push_back(Seconds);
  }

  [[nodiscard]] std::uint64_t count() const { return acc::count(Estimator); }

  [[nodiscard]] double quantile(double Quantile) const {
    if (count() <= ExactRecords)
      return exactQuantile(First, Quantile);
    return acc::quantile(Estimator, acc::quantile_probability = Quantile);
  }

private:
  estimator Estimator;
  std::vector<double> First;
};

} // namespace

struct latency::accumulators {
  window Older;
  /// Starts when Older is half full.
  window Younger;
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>
      Total;
};

latency::latency() : Accumulators(std::make_unique<accumulators>()) {}

latency::~latency() = default;

void latency::record(base::duration Elapsed) {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  const std::lock_guard Lock(Mutex);
  Accumulators->Total(Seconds);
  Accumulators->Older.record(Seconds);
  if (Accumulators->Older.count() > WindowRecords / 2)
    Accumulators->Younger.record(Seconds);
  if (Accumulators->Older.count() < WindowRecords)
    return;
  Accumulators->Older = std::exchange(Accumulators->Younger, window());
}

double latency::quantileSeconds(double Quantile) const {
  const std::lock_guard Lock(Mutex);
  return Accumulators->Older.quantile(Quantile);
}

std::uint64_t latency::count() const {
  const std::lock_guard Lock(Mutex);
  return acc::count(Accumulators->Total);
}

double latency::sumSeconds() const {
  const std::lock_guard Lock(Mutex);
  return acc::sum(Accumulators->Total);
}

} // namespace fulmar::telemetry

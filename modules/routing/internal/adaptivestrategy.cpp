// Adaptive strategy: the best of several random choices by a combined score.

#include "internal/adaptivestrategy.h"

#include <algorithm>

namespace fulmar::routing {

namespace {

constexpr std::size_t Draws = 3;
/// Slowness up to which a target is not penalised.
constexpr double TypicalSlowness = 2;
/// Relative increase of the score of a target that reports full load.
constexpr double LoadWeight = 0.5;

/// A lower score is better.
double scoreOf(const target_view &View) {
  const double Used = (View.InFlight + 1.0) / View.Limit;
  const double Slowness =
      View.Slowness <= TypicalSlowness ? 1.0 : View.Slowness;
  return Used * Slowness * (1 + LoadWeight * View.LoadHint);
}

} // namespace

std::size_t adaptive_strategy::pick(std::span<const target_view> Views,
                                    base::random_source &Random) {
  std::size_t Best = absl::Uniform<std::size_t>(Random, 0, Views.size());
  double BestScore = scoreOf(Views[Best]);
  for (std::size_t Draw = 1; Draw < std::min(Draws, Views.size()); ++Draw) {
    const auto Drawn = absl::Uniform<std::size_t>(Random, 0, Views.size());
    const double Score = scoreOf(Views[Drawn]);
    if (Score < BestScore) {
      Best = Drawn;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace fulmar::routing

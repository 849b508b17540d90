// Power of a few choices over a combined score.

#include "internal/adaptivestrategy.h"

#include <algorithm>

namespace fulmar::routing {

namespace {

constexpr std::size_t Draws = 3;
/// Slowness up to which a target counts as typical.
constexpr double TypicalSlowness = 2;
/// Weight of a fully loaded report against one request in flight.
constexpr double LoadWeight = 0.5;

/// Lower is better.
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

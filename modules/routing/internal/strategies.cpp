// Baseline strategies and the table of all strategies by name.

#include "fulmar/routing/ipickstrategy.h"
#include "internal/adaptivestrategy.h"

#include <algorithm>
#include <array>

namespace fulmar::routing {

namespace {

std::size_t drawIndex(std::size_t Count, base::random_source &Random) {
  return absl::Uniform<std::size_t>(Random, 0, Count);
}

class random_strategy final : public ipick_strategy {
public:
  std::size_t pick(std::span<const target_view> Views,
                   base::random_source &Random) override {
    return drawIndex(Views.size(), Random);
  }
};

class round_robin_strategy final : public ipick_strategy {
public:
  std::size_t pick(std::span<const target_view> Views,
                   base::random_source & /*Random*/) override {
    std::size_t Chosen = 0;
    while (Chosen < Views.size() && Views[Chosen].Index < Next)
      ++Chosen;
    Chosen %= Views.size();
    Next = Views[Chosen].Index + 1;
    return Chosen;
  }

private:
  /// Position in the service's list of targets at which the next pick starts.
  std::size_t Next = 0;
};

class least_in_flight_strategy final : public ipick_strategy {
public:
  /// Picks at random among targets with equally few requests.
  std::size_t pick(std::span<const target_view> Views,
                   base::random_source &Random) override {
    std::size_t Best = 0;
    std::size_t Equal = 0;
    for (std::size_t Index = 0; Index < Views.size(); ++Index) {
      if (Views[Index].InFlight > Views[Best].InFlight)
        continue;
      Equal = Views[Index].InFlight < Views[Best].InFlight ? 1 : Equal + 1;
      if (Equal == 1 || drawIndex(Equal, Random) == 0)
        Best = Index;
    }
    return Best;
  }
};

class two_choices_strategy final : public ipick_strategy {
public:
  std::size_t pick(std::span<const target_view> Views,
                   base::random_source &Random) override {
    const std::size_t First = drawIndex(Views.size(), Random);
    const std::size_t Second = drawIndex(Views.size(), Random);
    return Views[Second].InFlight < Views[First].InFlight ? Second : First;
  }
};

template <typename Strategy> std::unique_ptr<ipick_strategy> make() {
  return std::make_unique<Strategy>();
}

struct strategy_entry {
  std::string_view Name;
  std::unique_ptr<ipick_strategy> (*Make)();
};

constexpr std::array<strategy_entry, 5> Strategies = {{
    {"adaptive", make<adaptive_strategy>},
    {"random", make<random_strategy>},
    {"round_robin", make<round_robin_strategy>},
    {"least_in_flight", make<least_in_flight_strategy>},
    {"two_choices", make<two_choices_strategy>},
}};

} // namespace

std::unique_ptr<ipick_strategy> makeStrategy(std::string_view Name) {
  for (const strategy_entry &Entry : Strategies)
    if (Entry.Name == Name)
      return Entry.Make();
  return nullptr;
}

std::vector<std::string_view> strategyNames() {
  std::vector<std::string_view> Names;
  Names.reserve(Strategies.size());
  for (const strategy_entry &Entry : Strategies)
    Names.push_back(Entry.Name);
  return Names;
}

} // namespace fulmar::routing

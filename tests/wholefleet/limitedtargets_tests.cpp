// A target that names how many requests a second it takes from all entries
// together, under load that would send it many more.

#include "smallfleet.h"

#include "fulmar/testing/property.h"

#include <algorithm>

using namespace fulmar;
using namespace fulmar::wholefleet;
using std::chrono::milliseconds;

namespace {

/// Stated by the users: from this time after the first naming on, a target gets
/// in any window of this length at most this multiple of what its limit allows
/// and these requests more.
constexpr base::duration ContactTime = milliseconds(3'000);
constexpr base::duration Window = milliseconds(4'000);
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;

constexpr base::duration Step = milliseconds(15);

double allowedInWindow(double Rate) {
  return LimitFactor * Rate * std::chrono::duration<double>(Window).count() +
         LimitSlack;
}

/// The most arrivals in any window after \p From.
double mostInWindow(const std::vector<base::instant> &Arrivals,
                    base::instant From) {
  double Most = 0;
  for (auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), From);
       First != Arrivals.end(); ++First) {
    const auto End = std::lower_bound(First, Arrivals.end(), *First + Window);
    Most = std::max(Most, static_cast<double>(End - First));
  }
  return Most;
}

} // namespace

TEST_GROUP(LimitedTargets) {
  int Sent = 0;

  /// Sends a request every Step, each at the next entry.
  void play(small_fleet & Fleet, base::duration Time) {
    const base::instant Until = Fleet.now() + Time;
    while (Fleet.now() < Until) {
      const int Entry = ++Sent % Fleet.entries();
      Fleet.send(Entry, "GET", "/read/n" + std::to_string(Sent));
      Fleet.run(Step);
    }
  }
};

TEST(LimitedTargets, allEntriesTogetherKeepToTheAnnouncedLimit) {
  constexpr double Rate = 1;
  small_fleet Fleet({.Targets = 4, .Work = milliseconds(30)});
  Fleet.announceLimit(0, "1");
  const base::instant Begin = Fleet.now();
  play(Fleet, ContactTime + 2 * Window);
  const base::instant From = Begin + ContactTime;
  CHECK_COMPARE(mostInWindow(Fleet.arrivals(0), From), <=,
                allowedInWindow(Rate));
  // Other targets take the rest.
  Fleet.run(10 * Step);
  CHECK_EQUAL(Sent, Fleet.answers("200", "/read/"));
}

// A request that crashes each target that runs it, sent again and again at any
// entry, and innocent requests beside it.

#include "smallfleet.h"

#include "fulmar/telemetry/log.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::wholefleet;
using std::chrono::milliseconds;

namespace {

/// Stated by the users: from this time after the third crash on, all entries
/// know of it, and at most so many further sends are borne.
constexpr base::duration ContactTime = milliseconds(3'000);
constexpr std::size_t CrashesKnown = 3;
constexpr std::size_t SendsBorne = 3;

constexpr base::duration Step = milliseconds(40);
constexpr int StepsBetweenPoison = 8;

std::size_t lateSends(const std::vector<base::instant> &Arrivals) {
  if (Arrivals.size() < CrashesKnown)
    return 0;
  const base::instant Known = Arrivals[CrashesKnown - 1] + ContactTime;
  return static_cast<std::size_t>(
      std::count_if(Arrivals.begin(), Arrivals.end(),
                    [Known](base::instant At) { return At > Known; }));
}

} // namespace

TEST_GROUP(CrashingRequests) {
  int Sent = 0;

  void setup() override {
    // The log tells which part of the chain gave way; see docs/OPERATIONS.md.
    static const bool Started = [] {
      telemetry::startLog({.Instance = "fleet", .File = "wholefleet.log"});
      return true;
    }();
    CHECK_TRUE(Started);
  }

  /// Light load of innocent requests, and the crashing one now and then, each
  /// at another entry.
  void play(small_fleet & Fleet, const char *Method, const char *Poison,
            base::duration Time) {
    const base::instant Until = Fleet.now() + Time;
    for (int Number = 0; Fleet.now() < Until; ++Number) {
      const int Entry = Number % Fleet.entries();
      const std::string Name = "n" + std::to_string(++Sent);
      if (Number % 2 == 0)
        Fleet.send(Entry, "GET", "/read/" + Name);
      else
        Fleet.send(Entry, "POST", "/write/" + Name);
      if (Number % StepsBetweenPoison == 0)
        Fleet.send((Number / StepsBetweenPoison * 3) % Fleet.entries(), Method,
                   Poison);
      Fleet.run(Step);
    }
  }

  void checkBounds(const small_fleet &Fleet, const std::string &Poison) {
    UNSIGNED_LONGS_EQUAL_TEXT(
        0, std::max(lateSends(Fleet.poisonArrivals()), SendsBorne) - SendsBorne,
        "sends beyond those that are borne");
    for (const std::string &Path : Fleet.quarantinedPaths())
      STRCMP_EQUAL(Poison.c_str(), Path.c_str());
  }
};

TEST(CrashingRequests, aSafeOneIsSentToFewTargetsAfterItsThirdCrash) {
  small_fleet Fleet({});
  play(Fleet, "GET", "/read/poison", milliseconds(7'500));
  checkBounds(Fleet, "/read/poison");
}

TEST(CrashingRequests, anUnsafeOneIsSentToFewTargetsAfterItsThirdCrash) {
  small_fleet Fleet({});
  play(Fleet, "POST", "/write/poison", milliseconds(7'500));
  checkBounds(Fleet, "/write/poison");
}

// Load: many callers send the same filing, and half of the targets lose power
// while they run it; the others answer it.
TEST(CrashingRequests, oneThatOtherTargetsAnsweredIsServedAgain) {
  constexpr int Crashing = 4;
  constexpr const char *Popular = "/write/popular";
  const base::duration Work = milliseconds(600);
  small_fleet Fleet({.Targets = 2 * Crashing,
                     .DownTime = std::chrono::seconds(30),
                     .Work = Work});
  for (int Entry = 0; Entry < Fleet.entries(); ++Entry)
    Fleet.send(Entry, "POST", Popular);
  Fleet.run(Work / 3);
  for (int Target = 0; Target < Crashing; ++Target)
    Fleet.crashTarget(Target);
  Fleet.run(milliseconds(2'500));
  CHECK_TRUE(Fleet.answers("502", Popular) >= 2);
  CHECK_TRUE(Fleet.answers("200", Popular) >= 2);
  for (int Entry = 0; Entry < Fleet.entries(); ++Entry)
    Fleet.send(Entry, "POST", Popular);
  Fleet.run(2 * Work);
  UNSIGNED_LONGS_EQUAL(0, Fleet.quarantinedPaths().size());
}

// Tests of outlier detection, ejection and probation.

#include "fulmar/routing/outlierdetector.h"
#include "fulmar/testing/property.h"

#include <cmath>

using namespace fulmar;
using namespace fulmar::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<base::target_id> targetsOf(std::size_t Count) {
  std::vector<base::target_id> Targets;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Targets.emplace_back("t" + std::to_string(Index));
  return Targets;
}

} // namespace

TEST_GROUP(OutlierDetector) {
  outlier_detector Detector{{}};
  base::instant Now{seconds(100)};
  std::vector<base::target_id> Targets = targetsOf(10);

  void setup() override { Detector.setTargets(Targets, Now); }

  /// Records ten attempts for each target. Only the first target differs.
  void recordRound(attempt_quality First, base::duration FirstTime) {
    for (int Number = 0; Number < 10; ++Number) {
      for (std::size_t Index = 1; Index < Targets.size(); ++Index)
        Detector.record(Targets[Index], attempt_quality::Good, milliseconds(10),
                        Now);
      Detector.evaluate(Now);
      Detector.record(Targets[0], First, FirstTime, Now);
    }
  }

  target_health_state healthState() {
    return Detector.healthOf(Targets[0])->State;
  }
};

TEST(OutlierDetector, ejectsStragglerAndReadmitsItThroughProbation) {
  recordRound(attempt_quality::Good, milliseconds(100));
  CHECK(healthState() == target_health_state::Ejected);
  DOUBLES_EQUAL(0, Detector.healthOf(Targets[0])->PickProbability, 0);
  Now += seconds(1);
  Detector.evaluate(Now);
  CHECK(healthState() == target_health_state::Probation);
  double Probability = Detector.healthOf(Targets[0])->PickProbability;
  CHECK(Probability > 0 && Probability <= 0.05);
  while (healthState() == target_health_state::Probation) {
    Detector.record(Targets[0], attempt_quality::Good, milliseconds(10), Now);
    CHECK(Detector.healthOf(Targets[0])->PickProbability > Probability);
    Probability = Detector.healthOf(Targets[0])->PickProbability;
  }
  CHECK(healthState() == target_health_state::Active);
}

TEST(OutlierDetector, failedProbationDoublesEjectionTime) {
  recordRound(attempt_quality::Good, milliseconds(100));
  base::duration Expected = seconds(1);
  for (int Round = 0; Round < 8; ++Round) {
    const base::instant Until = Detector.healthOf(Targets[0])->EjectedUntil;
    CHECK(Until - Now == Expected);
    Now = Until;
    Detector.evaluate(Now);
    CHECK(healthState() == target_health_state::Probation);
    Detector.record(Targets[0], attempt_quality::Error, milliseconds(1), Now);
    CHECK(healthState() == target_health_state::Ejected);
    Expected = std::min<base::duration>(Expected * 2, seconds(30));
  }
}

TEST(OutlierDetector, fastErrorsDoNotCountAsFastResponses) {
  recordRound(attempt_quality::Error, std::chrono::microseconds(100));
  CHECK(healthState() == target_health_state::Ejected);
}

TEST(OutlierDetector, threeConsecutiveConnectionFailuresEject) {
  for (int Number = 0; Number < 3; ++Number) {
    CHECK(healthState() == target_health_state::Active);
    Detector.record(Targets[0], attempt_quality::ConnectionFailure,
                    milliseconds(1), Now);
  }
  CHECK(healthState() == target_health_state::Ejected);
}

TEST(OutlierDetector, errorsOnAllTargetsStayWithinEjectionLimit) {
  for (int Number = 0; Number < 30; ++Number) {
    for (const base::target_id &Target : Targets)
      Detector.record(Target, attempt_quality::Error, milliseconds(1), Now);
    Detector.evaluate(Now);
  }
  CHECK(Detector.ejected() <= Detector.maxEjected());
  // Recorded one after another, each target would be an outlier until the
  // others have failed as well.
  Now += seconds(40);
  Detector.evaluate(Now);
  for (int Number = 0; Number < 30; ++Number)
    for (const base::target_id &Target : Targets)
      Detector.record(Target, attempt_quality::Error, milliseconds(1), Now);
  CHECK(Detector.ejected() <= Detector.maxEjected());
}

TEST(OutlierDetector, oneLongUploadDoesNotEject) {
  recordRound(attempt_quality::Good, milliseconds(10));
  Detector.record(Targets[0], attempt_quality::Good, seconds(600), Now);
  Detector.evaluate(Now);
  CHECK(healthState() == target_health_state::Active);
}

TEST_GROUP(EjectedShare){};

TEST(EjectedShare, neverExceedsLimit) {
  fulmar::testing::checkProperty("ejected share", [] {
    const double Share = *rc::gen::inRange(0, 101) / 100.0;
    auto Count = *rc::gen::inRange<std::size_t>(0, 15);
    outlier_detector Detector({.MaxEjectedShare = Share});
    base::instant Now(seconds(100));
    Detector.setTargets(targetsOf(Count), Now);
    const auto Steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange(0, 6),
                           rc::gen::inRange(1, 2000)));
    for (const auto &[Index, Event, Millis] : Steps) {
      Now += milliseconds(Millis);
      const base::target_id Target("t" + std::to_string(Index));
      if (Event < 4)
        for (int Repeat = 0; Repeat < 6; ++Repeat)
          Detector.record(Target, static_cast<attempt_quality>(Event),
                          milliseconds(Millis), Now);
      else if (Event == 4)
        Detector.evaluate(Now);
      else
        Detector.setTargets(targetsOf(Count = static_cast<std::size_t>(Index)),
                            Now);
      RC_ASSERT(static_cast<double>(Detector.ejected()) <=
                Share * static_cast<double>(Count));
    }
  });
}

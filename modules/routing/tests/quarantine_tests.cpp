// Tests that a request that crashes targets is refused after its second crash,
// and that a faulty target does not cause the quarantine of other requests.

#include "fulmar/routing/fingerprint.h"
#include "fulmar/routing/router.h"
#include "fulmar/testing/property.h"

#include <map>
#include <set>

using namespace fulmar;
using namespace fulmar::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wall_clock = std::chrono::system_clock;

namespace {

const base::service_name Permits("permits");
constexpr std::uint64_t Poison = 666;

/// Targets that crash and restart with a new incarnation when they receive the
/// poison request.
class crashing_service {
public:
  explicit crashing_service(std::size_t Count) : Incarnations(Count, 1) {
    CHECK(Router.setPolicy(Permits, {}).has_value());
    publish();
  }

  /// Sends one request with the retries that the router allows. Returns whether
  /// it was answered.
  bool send(std::uint64_t Fingerprint) {
    request_profile Request = {.Service = Permits,
                               .Idempotent = true,
                               .Replayable = true,
                               .Fingerprint = Fingerprint,
                               .Deadline = Now + seconds(10)};
    std::vector<attempt> Attempts;
    while (true) {
      Now += milliseconds(2);
      const auto Result = Router.acquire(Request, Attempts, Now);
      if (const auto *Kind = std::get_if<base::error_kind>(&Result.Answer)) {
        LastRefusal = *Kind;
        return false;
      }
      if (const auto *Wait = std::get_if<queued>(&Result.Answer)) {
        Router.cancel(Permits, Wait->Ticket);
        return false;
      }
      const auto &Permit = std::get<permit>(Result.Answer);
      Attempts.push_back(run(Permit, Fingerprint));
      Router.finish(Permit, Attempts.back(), Request, Now);
      publish();
      if (Attempts.back().End == attempt_end::Answered)
        return true;
    }
  }

  void pass(base::duration Time) { Now += Time; }
  void publish() {
    std::vector<candidate> List;
    for (std::size_t Index = 0; Index < Incarnations.size(); ++Index)
      List.push_back({.Target = base::target_id("t" + std::to_string(Index)),
                      .Incarnation = std::to_string(Incarnations[Index]),
                      .Granted = 4});
    Router.candidatesChanged(Permits, List, Now);
  }

  router Router{{.Seed = 7}};
  base::instant Now{seconds(100)};
  std::vector<int> Incarnations;
  std::set<std::string> Faulty;
  base::error_kind LastRefusal{};
  int Crashes = 0;

private:
  attempt run(const permit &Permit, std::uint64_t Fingerprint) {
    const std::string &Name = Permit.Target.Target.str();
    attempt Outcome = {.Target = Permit.Target.Target,
                       .BytesSent = true,
                       .End = attempt_end::Answered,
                       .Status = 200,
                       .Elapsed = milliseconds(2)};
    if (Fingerprint != Poison && !Faulty.contains(Name))
      return Outcome;
    Outcome.End = attempt_end::Broken;
    Outcome.Status = 0;
    ++Incarnations[std::stoul(Name.substr(1))];
    Crashes += Fingerprint == Poison ? 1 : 0;
    return Outcome;
  }
};

} // namespace

TEST_GROUP(Quarantine){};

TEST(Quarantine, poisonRequestIsStoppedAfterTwoCrashes) {
  crashing_service Service(8);
  std::uint64_t OtherRequest = 1000;
  for (int Round = 0; Round < 20; ++Round) {
    for (int Number = 0; Number < 50; ++Number)
      CHECK(Service.send(++OtherRequest));
    Service.send(Poison);
    Service.pass(seconds(1));
    Service.publish();
  }
  CHECK(Service.Crashes == 2);
  CHECK(Service.LastRefusal == base::error_kind::Quarantined);
  const auto Reports = Service.Router.takeCrashReports();
  CHECK(Reports.size() == 2);
  for (const crash_report &Report : Reports)
    CHECK(Report.Fingerprint == Poison);
}

TEST(Quarantine, faultyTargetDoesNotQuarantineOtherRequests) {
  crashing_service Service(8);
  std::uint64_t OtherRequest = 1000;
  for (int Number = 0; Number < 200; ++Number)
    CHECK(Service.send(++OtherRequest));
  Service.Faulty = {"t3"};
  std::set<std::uint64_t> Sent;
  for (int Number = 0; Number < 2000; ++Number) {
    CHECK(Service.send(++OtherRequest));
    Sent.insert(OtherRequest);
    if (Number % 100 == 0) {
      Service.pass(seconds(2));
      Service.publish();
    }
  }
  for (const std::uint64_t Fingerprint : Sent)
    CHECK(Service.send(Fingerprint));
  CHECK(Service.Router.takeCrashReports().size() <= 1);
}

TEST(Quarantine, publishedQuarantineRefusesNewAndWaitingRequests) {
  router Router({.Seed = 1});
  CHECK(Router.setPolicy(Permits, {}).has_value());
  const base::instant Now(seconds(100));
  const request_profile Request = {
      .Service = Permits, .Fingerprint = 5, .Deadline = Now + seconds(90)};
  Router.acquire(Request, {}, Now);
  const wall_clock::time_point Wall(seconds(1700000000));
  const auto Answers =
      Router.quarantinePublished(5, Wall + seconds(30), Wall, Now);
  CHECK(Answers.size() == 1);
  const auto Refused = Router.acquire(Request, {}, Now + seconds(29));
  CHECK(std::get<base::error_kind>(Refused.Answer) ==
        base::error_kind::Quarantined);
  const auto Later = Router.acquire(Request, {}, Now + seconds(31));
  CHECK(!std::holds_alternative<base::error_kind>(Later.Answer));
}

TEST(Quarantine, pastEndIsIgnoredAndDistantEndIsCapped) {
  quarantine Quarantine;
  const base::instant Now(seconds(100));
  const wall_clock::time_point Wall(seconds(1700000000));
  Quarantine.publish(1, Wall - seconds(1), Wall, Now);
  CHECK(!Quarantine.remaining(1, Now).has_value());
  Quarantine.publish(2, Wall + std::chrono::hours(100), Wall, Now);
  CHECK(*Quarantine.remaining(2, Now) == quarantine::MaxTime);
  Quarantine.expire(Now + quarantine::MaxTime);
  CHECK(Quarantine.size() == 0);
}

TEST_GROUP(CrashDetector) {
  crash_detector Detector;
  base::instant Now{seconds(100)};
  const base::target_id Target{"a"};
  const crash_report Suspect = {
      .Fingerprint = Poison, .Target = Target, .Incarnation = "1"};
};

TEST(CrashDetector, reportsOnlyConfirmedSuspects) {
  Detector.broken(Suspect, Now + seconds(1));
  Detector.incarnationSeen(Target, "1", Now + seconds(1));
  CHECK(Detector.takeReports().empty());
  Detector.unreachable(Target, Now + seconds(2));
  CHECK(Detector.takeReports() == std::vector<crash_report>({Suspect}));
  Detector.unreachable(Target, Now + seconds(3));
  CHECK(Detector.takeReports().empty());
}

// With many instances and targets, an instance often has had no response from
// the target yet. Guards against dropping its evidence in that case.
TEST(CrashDetector, targetWithoutEarlierResponsesIsEvidence) {
  CHECK(Detector.broken(Suspect, Now) == suspicion::Suspected);
  Detector.unreachable(Target, Now + seconds(1));
  CHECK(Detector.takeReports() == std::vector<crash_report>({Suspect}));
}

TEST(CrashDetector, unconfirmedSuspicionExpires) {
  Detector.broken(Suspect, Now + seconds(1));
  Detector.unreachable(Target, Now + seconds(12));
  CHECK(Detector.takeReports().empty());
  CHECK(Detector.takeUnconfirmed() == std::vector<crash_report>({Suspect}));
}

TEST(CrashDetector, recentlyAnsweredRequestIsNotSuspected) {
  Detector.answered(Poison, Now);
  CHECK(Detector.broken(Suspect, Now + seconds(1)) ==
        suspicion::AnsweredRecently);
  Detector.unreachable(Target, Now + seconds(2));
  CHECK(Detector.takeReports().empty());
}

TEST(CrashDetector, requestIsSuspectedOnceItsLastAnswerIsOld) {
  Detector.answered(Poison, Now);
  CHECK(Detector.broken(Suspect, Now + seconds(11)) == suspicion::Suspected);
}

// The targets of a whole rack fail and their requests are answered by others.
// Guards against quarantining these requests.
TEST(CrashDetector, answerClearsSuspicion) {
  Detector.broken(Suspect, Now);
  Detector.answered(Poison, Now + milliseconds(5));
  Detector.unreachable(Target, Now + milliseconds(10));
  CHECK(Detector.takeReports().empty());
  Detector.broken(Suspect, Now + seconds(20));
  Detector.unreachable(Target, Now + seconds(21));
  Detector.answered(Poison, Now + seconds(22));
  CHECK(Detector.takeReports().empty());
}

// An overloaded target resets connections but keeps running. Guards against
// counting its later failure as a crash caused by these requests.
TEST(CrashDetector, answerToLaterProbeClearsSuspicion) {
  Detector.broken(Suspect, Now);
  Detector.probeAnswered(Target, Now + milliseconds(1));
  Detector.unreachable(Target, Now + seconds(1));
  CHECK(Detector.takeReports().empty());
}

// Targets behind a network partition do not answer while many requests to them
// break. Guards against one probe per broken request.
TEST(CrashDetector, silentTargetIsProbedAtFixedInterval) {
  std::size_t Questions = 0;
  for (int Number = 0; Number < 100; ++Number) {
    Detector.broken(Suspect, Now);
    Questions += Detector.takeDueProbes(Now).size();
    Now += milliseconds(10);
  }
  CHECK(Questions == 4);
  Detector.probeAnswered(Target, Now);
  CHECK(Detector.takeDueProbes(Now + seconds(1)).empty());
}

TEST(CrashDetector, answerToEarlierProbeKeepsSuspicion) {
  Detector.broken(Suspect, Now);
  Detector.probeAnswered(Target, Now - milliseconds(1));
  Detector.unreachable(Target, Now + seconds(1));
  CHECK(Detector.takeReports() == std::vector<crash_report>({Suspect}));
}

TEST_GROUP(CrashWatch) {
  crash_watch Watch;
  base::instant Now{seconds(100)};

  std::vector<std::uint64_t> crash(const char *Target) {
    const base::target_id Id{Target};
    Watch.broken({.Fingerprint = Poison, .Target = Id, .Incarnation = "1"},
                 Now);
    return Watch.unreachable(Id, Now);
  }
};

TEST(CrashWatch, secondCrashQuarantinesLocally) {
  CHECK(crash("a").empty());
  CHECK(!Watch.quarantined(Poison, Now).has_value());
  CHECK(crash("b") == std::vector<std::uint64_t>({Poison}));
  CHECK(Watch.quarantined(Poison, Now).has_value());
}

TEST(CrashWatch, answerLiftsLocalQuarantineOnly) {
  crash("a");
  crash("b");
  Watch.answered(Poison, Now);
  CHECK(!Watch.quarantined(Poison, Now).has_value());
  CHECK(Watch.takeReports().empty());
  const wall_clock::time_point Wall(seconds(1700000000));
  Watch.publish(Poison, Wall + seconds(30), Wall, Now);
  Watch.answered(Poison, Now);
  CHECK(Watch.quarantined(Poison, Now).has_value());
}

TEST_GROUP(Fingerprint){};

TEST(Fingerprint, textRoundTripAndSeparateFields) {
  fulmar::testing::checkProperty("round trip", [](std::uint64_t Value) {
    RC_ASSERT(parseFingerprint(fingerprintText(Value)) == Value);
  });
  CHECK(!parseFingerprint("").has_value());
  CHECK(!parseFingerprint("00000000000000zz").has_value());
  CHECK(fingerprintOfContent("GET", "/a", "b") !=
        fingerprintOfContent("GET", "/ab", ""));
  CHECK(fingerprintOfKey("s", "k") != fingerprintOfKey("sk", ""));
}

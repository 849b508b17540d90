// The promises to callers and targets, under failures of real processes.

#include "support/backgroundload.h"
#include "support/deployment.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace fulmar;
using namespace fulmar::system_tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Registry = "/registry/filings";

/// A caller that files with a key until it gets a final answer.
http_request filing(const std::string &Key) {
  return {.Method = "POST",
          .Path = Registry,
          .Headers = {{"Idempotency-Key", Key}, {"X-Request-Tag", Key}},
          .Body = "transcript " + Key};
}

std::uint64_t arrivals(deployment &Deployment,
                       const std::vector<std::string> &Targets) {
  std::uint64_t Sum = 0;
  for (const std::string &Target : Targets)
    Sum += Deployment.counts(Target)["arrived"].asUInt64();
  return Sum;
}

/// Runs of one key over all targets.
std::uint64_t runsOf(deployment &Deployment, const std::string &Key,
                     const std::vector<std::string> &Targets) {
  std::uint64_t Sum = 0;
  for (const std::string &Target : Targets)
    Sum += Deployment.counts(Target)["runs_by_key"][Key].asUInt64();
  return Sum;
}

} // namespace

TEST_GROUP(Entry){
    static void startTargets(deployment & Deployment,
                             const std::vector<target_options> &Targets){
        for (const target_options &Target
             : Targets) Deployment.startTarget(Target);
}

static std::vector<target_options>
twoCentres(const std::vector<std::string> &Extra) {
  return {{.Id = "p1", .DataCentre = "pos", .Extra = Extra},
          {.Id = "p2", .DataCentre = "pos", .Extra = Extra},
          {.Id = "a1", .DataCentre = "arima", .Extra = Extra},
          {.Id = "a2", .DataCentre = "arima", .Extra = Extra}};
}
}
;

TEST(Entry, aDataCentreThatLeavesGetsNoNewWorkAndNoRequestIsLost) {
  deployment Deployment({.Entries = {"pos", "arima"}});
  Deployment.editBaseDocument();
  startTargets(Deployment, twoCentres({"--warmup_ms=300", "--service_ms=3"}));
  CHECK(Deployment.serves(1));
  CHECK(Deployment.serves(2));
  background_load NearLoad(Deployment.entryAddress(1), 3, "/registry/a");
  background_load FarLoad(Deployment.entryAddress(2), 3, "/registry/b");
  std::this_thread::sleep_for(seconds(1));
  CHECK(arrivals(Deployment, {"a1", "a2"}) > 0);
  const Json::Value Left = Deployment.setDataCentre("arima", "leave", "op-1");
  STRCMP_EQUAL("out", Left["state"].asString().c_str());
  // Bound: the permission of an entry that never heard of it.
  std::this_thread::sleep_for(seconds(4));
  const auto Before = arrivals(Deployment, {"a1", "a2"});
  std::this_thread::sleep_for(seconds(2));
  LONGS_EQUAL(Before, arrivals(Deployment, {"a1", "a2"}));
  // A late duplicate of the leave must not take it out again.
  const Json::Value Back = Deployment.setDataCentre("arima", "return", "op-2");
  STRCMP_EQUAL("in", Back["state"].asString().c_str());
  CHECK(
      Deployment.setDataCentre("arima", "leave", "op-1")["repeated"].asBool());
  CHECK(deployment::eventually([&] {
    return arrivals(Deployment, {"a1", "a2"}) > Before;
  }));
  NearLoad.stop();
  FarLoad.stop();
  LONGS_EQUAL(0, NearLoad.Lost + FarLoad.Lost);
  CHECK(NearLoad.Ok > 0 && FarLoad.Ok > 0);
}

TEST(Entry, withoutProofOfAQuorumNoNewWorkAfterTheBound) {
  deployment Deployment({.Entries = {"pos"}});
  Deployment.editBaseDocument();
  startTargets(Deployment, {{.Id = "p1", .Extra = {"--warmup_ms=300"}}});
  CHECK(Deployment.serves(1));
  for (int Number = 1; Number <= 3; ++Number)
    Deployment.control(Number).signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(6));
  const auto Before = arrivals(Deployment, {"p1"});
  const auto Answer =
      callHttp(Deployment.entryAddress(1), {.Path = "/registry/x"});
  CHECK(Answer.has_value());
  LONGS_EQUAL(503, Answer->Status);
  STRCMP_EQUAL("stale-knowledge", Answer->header("Fulmar-Error").c_str());
  STRCMP_EQUAL("true", Answer->header("Fulmar-Not-Run").c_str());
  CHECK(!Answer->header("Retry-After").empty());
  LONGS_EQUAL(Before, arrivals(Deployment, {"p1"}));
  for (int Number = 1; Number <= 3; ++Number)
    Deployment.control(Number).signal(SIGCONT);
  CHECK(Deployment.serves(1));
}

TEST(Entry, anEntryOfAnIsolatedInstanceGivesALeavingDataCentreNoWork) {
  constexpr int Isolated = 3;
  deployment Deployment(
      {.Entries = {"pos"}, .CuttableControls = true, .EntriesKnow = Isolated});
  Deployment.editBaseDocument();
  startTargets(
      Deployment,
      {{.Id = "p1", .Extra = {"--warmup_ms=200"}},
       {.Id = "a1", .DataCentre = "arima", .Extra = {"--warmup_ms=200"}}});
  CHECK(Deployment.serves(1));
  if (Deployment.leader() == Isolated) {
    Deployment.control(Isolated).signal(SIGTERM);
    CHECK(Deployment.control(Isolated).waitExit(seconds(20)).has_value());
    Deployment.startControl(Isolated);
    CHECK(deployment::eventually([&] {
      const int Leader = Deployment.leader();
      return Leader > 0 && Leader != Isolated;
    }));
    CHECK(Deployment.serves(1));
  }
  background_load Load(Deployment.entryAddress(1), 3, "/registry/a");
  Deployment.isolateControl(Isolated);
  const Json::Value Left = Deployment.setDataCentre("arima", "leave", "op-1");
  STRCMP_EQUAL("out", Left["state"].asString().c_str());
  // Longer than the permission bound of 4 s.
  std::this_thread::sleep_for(seconds(6));
  const auto Before = arrivals(Deployment, {"a1"});
  const auto Answer =
      callHttp(Deployment.entryAddress(1), {.Path = "/registry/x"});
  CHECK(Answer.has_value());
  STRCMP_EQUAL("stale-knowledge", Answer->header("Fulmar-Error").c_str());
  Deployment.rejoinControl(Isolated);
  CHECK(Deployment.serves(1));
  std::this_thread::sleep_for(seconds(2));
  LONGS_EQUAL(Before, arrivals(Deployment, {"a1"}));
  Load.stop();
  LONGS_EQUAL(0, Load.Lost);
}

TEST(Entry, anEntryKilledBetweenClaimAndAnswerRunsNoFilingTwice) {
  deployment Deployment({.Entries = {"pos", "pos"}});
  Deployment.editBaseDocument("cold_ramp_ms = 100\n");
  const std::vector<std::string> Extra = {"--warmup_ms=200", "--service_ms=40",
                                          "--slots=16"};
  startTargets(Deployment,
               {{.Id = "p1", .Extra = Extra}, {.Id = "p2", .Extra = Extra}});
  CHECK(Deployment.serves(1));
  CHECK(Deployment.serves(2));
  constexpr int Filings = 200;
  std::atomic<int> Next{0};
  std::vector<std::thread> Callers;
  for (int Worker = 0; Worker < 8; ++Worker)
    Callers.emplace_back([&] {
      for (int Number = Next++; Number < Filings; Number = Next++) {
        const http_request Filing = filing("f" + std::to_string(Number));
        // First at entry 1, which dies; the resends go to entry 2.
        const auto First = callHttp(Deployment.entryAddress(1), Filing);
        if (First && First->Status == 200)
          continue;
        for (int Resend = 0; Resend < 3; ++Resend) {
          const auto Again = callHttp(Deployment.entryAddress(2), Filing);
          if (Again && Again->Status == 200)
            break;
          std::this_thread::sleep_for(milliseconds(300));
        }
      }
    });
  std::this_thread::sleep_for(milliseconds(400));
  Deployment.entry(1).kill();
  for (std::thread &Caller : Callers)
    Caller.join();
  std::uint64_t Ran = 0;
  for (int Number = 0; Number < Filings; ++Number) {
    const auto Runs =
        runsOf(Deployment, "f" + std::to_string(Number), {"p1", "p2"});
    CHECK_TEXT(Runs <= 1, ("f" + std::to_string(Number)).c_str());
    Ran += Runs;
  }
  CHECK(Ran > 0);
}

TEST(Entry, aResentFilingGetsTheRecordedAnswerAtEveryEntry) {
  deployment Deployment({.Entries = {"pos", "arima"}});
  Deployment.editBaseDocument();
  startTargets(Deployment, {{.Id = "p1", .Extra = {"--warmup_ms=200"}}});
  CHECK(Deployment.serves(1));
  CHECK(Deployment.serves(2));
  const auto First = callHttp(Deployment.entryAddress(1), filing("k1"));
  CHECK(First && First->Status == 200);
  const auto Again = callHttp(Deployment.entryAddress(2), filing("k1"));
  CHECK(Again && Again->Status == 200);
  STRCMP_EQUAL("true", Again->header("Fulmar-Replayed").c_str());
  STRCMP_EQUAL(First->Body.c_str(), Again->Body.c_str());
  LONGS_EQUAL(1, runsOf(Deployment, "k1", {"p1"}));
  http_request Other = filing("k1");
  Other.Body = "something else";
  const auto Refused = callHttp(Deployment.entryAddress(2), Other);
  CHECK(Refused.has_value());
  LONGS_EQUAL(422, Refused->Status);
}

TEST(Entry, aDrainingTargetGetsNoNewWorkAndCutsNoRequest) {
  deployment Deployment({.Entries = {"pos"}});
  Deployment.editBaseDocument();
  startTargets(Deployment,
               {{.Id = "p1",
                 .Extra = {"--warmup_ms=200", "--service_ms=5",
                           "--drain_linger_ms=4000"}},
                {.Id = "p2", .Extra = {"--warmup_ms=200", "--service_ms=5"}}});
  CHECK(Deployment.serves(1));
  background_load Load(Deployment.entryAddress(1), 3, "/registry/a");
  CHECK(
      deployment::eventually([&] { return arrivals(Deployment, {"p1"}) > 5; }));
  Deployment.target("p1").signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2500));
  const auto Before = arrivals(Deployment, {"p1"});
  CHECK(Before > 0);
  std::this_thread::sleep_for(milliseconds(800));
  LONGS_EQUAL(Before, arrivals(Deployment, {"p1"}));
  const auto Exit = Deployment.target("p1").waitExit(seconds(15));
  CHECK(Exit.has_value());
  LONGS_EQUAL(0, *Exit);
  Load.stop();
  LONGS_EQUAL(0, Load.Lost);
}

TEST(Entry, sigtermDuringAnUploadCutsNothing) {
  deployment Deployment({.Entries = {"pos", "pos"}});
  Deployment.editBaseDocument();
  startTargets(
      Deployment,
      {{.Id = "p1", .Extra = {"--warmup_ms=200", "--service_ms=9000"}}});
  CHECK(deployment::eventually([&] {
    const auto Status =
        Deployment.callEntry(1, "entry.status", Json::objectValue);
    return Status.has_value() && Status.value()["permission"].asBool();
  }));
  std::this_thread::sleep_for(seconds(7));
  std::optional<http_answer> Uploaded;
  std::thread Upload([&] {
    Uploaded = callHttp(Deployment.entryAddress(1),
                        {.Method = "POST",
                         .Path = "/registry/upload",
                         .Headers = {{"X-Request-Tag", "up"}},
                         .Body = std::string(2'000'000, 'a'),
                         .Timeout = seconds(40)});
  });
  std::this_thread::sleep_for(milliseconds(500));
  Deployment.entry(1).signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  Deployment.entry(1).signal(SIGTERM);
  Upload.join();
  CHECK(Uploaded.has_value());
  LONGS_EQUAL(200, Uploaded->Status);
  const auto Exit = Deployment.entry(1).waitExit(seconds(30));
  CHECK(Exit.has_value());
  LONGS_EQUAL(0, *Exit);
}

TEST(Entry, aTargetThatTurnsColdWithoutAWordIsSoonGivenOnlyWhatItBears) {
  deployment Deployment({.Entries = {"pos", "pos", "arima"}});
  Deployment.editBaseDocument("cold_ramp_ms = 5000\n");
  startTargets(Deployment, {{.Id = "p1",
                             .Extra = {"--warmup_ms=6000", "--service_ms=20",
                                       "--slots=8", "--bears_cold=1"}}});
  for (int Number = 1; Number <= 3; ++Number)
    CHECK(Deployment.serves(Number));
  std::this_thread::sleep_for(seconds(12));
  background_load First(Deployment.entryAddress(1), 4, "/registry/a");
  background_load Second(Deployment.entryAddress(2), 4, "/registry/b");
  background_load Third(Deployment.entryAddress(3), 4, "/registry/c");
  std::this_thread::sleep_for(seconds(1));
  CHECK(Deployment.setBehaviour("p1", "turn-cold?incarnation=new"));
  // Within the validity of the grants given before.
  std::this_thread::sleep_for(milliseconds(1500));
  const auto Refused = Deployment.counts("p1")["refused"].asUInt64();
  std::this_thread::sleep_for(seconds(3));
  // The target itself refuses what it can't bear: none came.
  LONGS_EQUAL(Refused, Deployment.counts("p1")["refused"].asUInt64());
}

TEST(Entry, aRequestThatCrashesItsTargetsIsQuarantinedEverywhere) {
  deployment Deployment({.Entries = {"pos", "arima"}});
  Deployment.editBaseDocument();
  std::vector<std::string> Names;
  for (int Number = 1; Number <= 6; ++Number) {
    const std::string Id = "t" + std::to_string(Number);
    Names.push_back(Id);
    Deployment.startTarget(
        {.Id = Id, .Extra = {"--warmup_ms=200", "--service_ms=2"}});
  }
  CHECK(Deployment.serves(1));
  CHECK(Deployment.serves(2));
  background_load Innocent(Deployment.entryAddress(1), 2, "/registry/a");
  background_load Others(Deployment.entryAddress(2), 2, "/registry/b");
  std::this_thread::sleep_for(seconds(2));
  const http_request Poison{.Method = "POST",
                            .Path = "/registry/poison",
                            .Headers = {{"X-Crash", "1"}},
                            .Body = "poison"};
  // The caller resends, alternately at both entries.
  bool Quarantined = false;
  for (int Attempt = 0; Attempt < 12 && !Quarantined; ++Attempt) {
    const auto Answer =
        callHttp(Deployment.entryAddress(1 + Attempt % 2), Poison);
    Quarantined = Answer && Answer->header("Fulmar-Error") == "quarantined";
    std::this_thread::sleep_for(milliseconds(1500));
  }
  CHECK(Quarantined);
  int Crashed = 0;
  for (const std::string &Name : Names)
    Crashed += Deployment.target(Name).running() ? 0 : 1;
  CHECK_TEXT(Crashed <= 3, std::to_string(Crashed).c_str());
  // The news reaches the other entry within seconds; nobody else suffers.
  CHECK(deployment::eventually([&] {
    const auto First = callHttp(Deployment.entryAddress(1), Poison);
    const auto Second = callHttp(Deployment.entryAddress(2), Poison);
    return First && Second && First->header("Fulmar-Error") == "quarantined" &&
           Second->header("Fulmar-Error") == "quarantined";
  }));
  const int OkBefore = Innocent.Ok;
  std::this_thread::sleep_for(seconds(1));
  CHECK(Innocent.Ok > OkBefore);
}

TEST(Entry, badInputGetsAClearErrorAndNothingIsLost) {
  deployment Deployment({.Entries = {"pos"}});
  Deployment.editBaseDocument();
  startTargets(Deployment, {{.Id = "p1", .Extra = {"--warmup_ms=200"}}});
  CHECK(Deployment.serves(1));
  const std::string Address = Deployment.entryAddress(1);
  const auto Unknown = callHttp(Address, {.Path = "/nowhere/x"});
  CHECK(Unknown && Unknown->Status == 404);
  STRCMP_EQUAL("unknown-service", Unknown->header("Fulmar-Error").c_str());
  const auto Both =
      callHttp(Address, {.Method = "POST",
                         .Path = Registry,
                         .Headers = {{"Transfer-Encoding", "chunked"}},
                         .Body = "x"});
  CHECK(Both && Both->Status == 400);
  const auto Announced = callHttp(
      Address,
      {.Method = "POST", .Path = "/.fulmar/announce", .Body = "{\"id\":1}"});
  CHECK(Announced && Announced->Status == 400);
  const auto Method = Deployment.callEntry(1, "no.such", Json::objectValue);
  CHECK(!Method.has_value());
  CHECK(Method.error().Kind == base::error_kind::UnknownMethod);
  const Json::Value Dangling =
      Deployment.edit("service.new", "owner = operations\ndata_centres = moon\n"
                                     "no_such_key = 1\n");
  STRCMP_EQUAL("refused", Dangling["outcome"].asString().c_str());
  for (const char *Part : {"moon", "no_such_key"})
    CHECK_TEXT(Dangling["message"].asString().find(Part) != std::string::npos,
               Dangling["message"].asString().c_str());
  CHECK(Deployment.serves(1));
}

// What operators ask for, under failures of real control processes.

#include "support/deployment.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace fulmar;
using namespace fulmar::system_tests;
using std::chrono::seconds;

namespace {

const std::string OwnerContent =
    "token_hash = pbkdf2-sha256$1000$00112233445566778899aabbccddeeff$"
    "0000000000000000000000000000000000000000000000000000000000000000\n";

std::string contactOf(const std::string &Contact) {
  return OwnerContent + "contact = " + Contact + "\n";
}

bool accepted(const Json::Value &Answer) {
  return Answer["outcome"] == "accepted";
}

std::string contentOf(const base::result<Json::Value> &Shown) {
  return Shown.has_value() ? Shown.value()["content"].asString() : "";
}

} // namespace

TEST_GROUP(Control){static bool ready(deployment & Deployment){
    return deployment::eventually([&] { return Deployment.leader() > 0; });
}

static std::string show(deployment &Deployment, int Number,
                        const std::string &Section) {
  Json::Value Parameters;
  Parameters["section"] = Section;
  return contentOf(Deployment.callControl(Number, "document.show", Parameters));
}
}
;

TEST(Control, aKilledLeaderLosesNoAcceptedEditAndAResendGetsTheFirstAnswer) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  for (int Round = 1; Round <= 3; ++Round) {
    const auto Number = static_cast<std::uint64_t>(Round);
    const std::string Content = contactOf("round-" + std::to_string(Round));
    const Json::Value First = Deployment.edit("owner.team", Content, Number);
    CHECK_TEXT(accepted(First), First.toStyledString().c_str());
    const int Leader = Deployment.leader();
    CHECK(Leader > 0);
    Deployment.control(Leader).kill();
    // The operator never saw the answer and sends the same edit again.
    const Json::Value Again = Deployment.edit("owner.team", Content, Number);
    CHECK_TEXT(accepted(Again), Again.toStyledString().c_str());
    CHECK(Again["repeated"].asBool());
    LONGS_EQUAL(First["revision"].asUInt64(), Again["revision"].asUInt64());
    Deployment.startControl(Leader);
    CHECK(deployment::eventually(
        [&] { return show(Deployment, Leader, "owner.team") == Content; }));
  }
}

TEST(Control, aSecondLossAfterTheRepairOfTheFirstLosesNothing) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  const std::string Content = contactOf("kept");
  CHECK(accepted(Deployment.edit("owner.team", Content, 1)));
  const int Leader = Deployment.leader();
  const int First = Leader == 1 ? 2 : 1;
  const int Second = 6 - Leader - First;

  // The first instance loses its disk and comes back empty.
  Deployment.control(First).kill();
  Deployment.loseDisk(First);
  Deployment.startControl(First);
  std::this_thread::sleep_for(seconds(2));
  CHECK(accepted(Deployment.edit("owner.team", contactOf("second"), 2)));

  // Repaired: removed, admitted again, caught up.
  Json::Value Change;
  Change["remove"] = "control-" + std::to_string(First);
  CHECK(Deployment.callLeader("control.set_voters", Change).has_value());
  Change = Json::Value();
  Change["add"] = "control-" + std::to_string(First);
  CHECK(Deployment.callLeader("control.set_voters", Change).has_value());
  CHECK(deployment::eventually([&] { return Deployment.votersListed() == 3; }));

  // Now the second one is lost for good.
  Deployment.control(Second).kill();
  Deployment.loseDisk(Second);
  CHECK(accepted(Deployment.edit("owner.team", contactOf("third"), 3)));
  STRCMP_EQUAL(contactOf("third").c_str(),
               show(Deployment, Deployment.leader(), "owner.team").c_str());
}

TEST(Control, anEmptyDiskNeverElectsALeaderWithoutTheAcceptedEdits) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  const int Leader = Deployment.leader();
  const int Lagging = Leader == 1 ? 2 : 1;
  const int Holder = 6 - Leader - Lagging;
  Deployment.control(Lagging).kill();
  CHECK(accepted(Deployment.edit("owner.team", contactOf("kept"), 1)));
  // The only other holder of the edit loses its disk; the leader dies.
  Deployment.control(Holder).kill();
  Deployment.loseDisk(Holder);
  Deployment.control(Leader).kill();
  Deployment.startControl(Lagging);
  Deployment.startControl(Holder);
  std::this_thread::sleep_for(seconds(5));
  LONGS_EQUAL(-1, Deployment.leader());
  // The leader's disk is whole: with it the edit is there again.
  Deployment.startControl(Leader);
  CHECK(ready(Deployment));
  STRCMP_EQUAL(contactOf("kept").c_str(),
               show(Deployment, Deployment.leader(), "owner.team").c_str());
}

TEST(Control, anIsolatedInstanceReturnsWithoutDisturbingTheLeader) {
  deployment Deployment({.CuttableControls = true});
  CHECK(ready(Deployment));
  CHECK(accepted(Deployment.edit("owner.team", contactOf("1"), 1)));
  const int Leader = Deployment.leader();
  const int Isolated = Leader == 3 ? 2 : 3;
  const auto TermBefore =
      Deployment.callControl(Leader, "control.status").value()["term"];
  Deployment.isolateControl(Isolated);
  std::this_thread::sleep_for(seconds(4));
  CHECK(accepted(Deployment.edit("owner.team", contactOf("2"), 2)));
  // It can't prove that a quorum stands behind what it knows.
  const auto Status =
      Deployment.callControl(Isolated, "control.status").value();
  CHECK(!Status.isMember("proof_age_ms") ||
        Status["proof_age_ms"].asInt64() > 3000);
  Deployment.rejoinControl(Isolated);
  CHECK(deployment::eventually([&] {
    return show(Deployment, Isolated, "owner.team") == contactOf("2");
  }));
  std::this_thread::sleep_for(seconds(2));
  LONGS_EQUAL(Leader, Deployment.leader());
  CHECK(TermBefore ==
        Deployment.callControl(Leader, "control.status").value()["term"]);
}

TEST(Control, aFrozenLeaderWakesAndNeitherAcceptsNorConfirms) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  CHECK(accepted(Deployment.edit("owner.team", contactOf("1"), 1)));
  const int Frozen = Deployment.leader();
  Deployment.control(Frozen).signal(SIGSTOP);
  const int Other = Frozen == 1 ? 2 : 1;
  CHECK(deployment::eventually([&] {
    const auto Status = Deployment.callControl(Other, "control.status");
    return Status.has_value() && Status.value()["leader"].asString() !=
                                     "control-" + std::to_string(Frozen);
  }));
  CHECK(accepted(
      Deployment.editAvoiding(Frozen, "owner.team", contactOf("2"), 2)));
  Deployment.control(Frozen).signal(SIGCONT);
  // Right after waking: the edit of the same number must not win here.
  Json::Value Edit = Deployment.editParameters("owner.team", contactOf("x"), 2);
  const auto Answer = Deployment.callControl(Frozen, "document.edit", Edit);
  CHECK(!Answer.has_value() || !accepted(Answer.value()));
  CHECK(deployment::eventually([&] {
    return show(Deployment, Frozen, "owner.team") == contactOf("2");
  }));
}

TEST(Control, racingOperatorsWithEqualNumbersHaveOneWinner) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  for (std::uint64_t Number = 1; Number <= 5; ++Number) {
    std::map<std::string, Json::Value> Answers;
    std::mutex Mutex;
    std::vector<std::thread> Operators;
    for (const std::string Author : {"ann", "ben", "cay"})
      Operators.emplace_back([&, Author] {
        const Json::Value Answer =
            Deployment.edit("owner.team", contactOf(Author), Number, Author);
        const std::lock_guard Lock(Mutex);
        Answers[Author] = Answer;
      });
    for (std::thread &Operator : Operators)
      Operator.join();
    std::string Winner;
    int Winners = 0;
    for (const auto &[Author, Answer] : Answers) {
      if (accepted(Answer)) {
        Winner = Author;
        ++Winners;
      }
    }
    LONGS_EQUAL(1, Winners);
    for (const auto &[Author, Answer] : Answers) {
      if (Author != Winner)
        STRCMP_EQUAL(contactOf(Winner).c_str(),
                     Answer["in_force"]["content"].asString().c_str());
    }
  }
}

TEST(Control, allRestartAfter500EditsWithTheAcceptedDocument) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  constexpr std::uint64_t Edits = 500;
  const Json::Value First = Deployment.edit("owner.team", contactOf("1"), 1);
  CHECK(accepted(First));
  for (std::uint64_t Number = 2; Number <= Edits; ++Number)
    CHECK(accepted(Deployment.edit("owner.team",
                                   contactOf(std::to_string(Number)), Number)));
  const std::string Before =
      contentOf(Deployment.callLeader("document.show", Json::objectValue));
  for (int Number = 1; Number <= 3; ++Number)
    Deployment.control(Number).kill();
  for (int Number = 1; Number <= 3; ++Number)
    Deployment.startControl(Number);
  CHECK(ready(Deployment));
  const Json::Value Again = Deployment.edit("owner.team", contactOf("1"), 1);
  CHECK(accepted(Again));
  CHECK(Again["repeated"].asBool());
  CHECK(First["revision"] == Again["revision"]);
  STRCMP_EQUAL(
      Before.c_str(),
      contentOf(Deployment.callLeader("document.show", Json::objectValue))
          .c_str());
}

TEST(Control, adamagedJournalStopsTheProcessNamingFileAndOffset) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  for (std::uint64_t Number = 1; Number <= 20; ++Number)
    CHECK(accepted(Deployment.edit("owner.team",
                                   contactOf(std::to_string(Number)), Number)));
  const int Damaged = Deployment.leader() == 1 ? 2 : 1;
  Deployment.control(Damaged).kill();
  CHECK(Deployment.flipByteInJournal(Damaged));
  Deployment.startControl(Damaged);
  const auto Exit = Deployment.control(Damaged).waitExit(seconds(10));
  CHECK(Exit.has_value());
  CHECK(*Exit != 0);
  const std::string Log = Deployment.logOf("control", Damaged);
  CHECK_TEXT(Log.find("offset") != std::string::npos, Log.c_str());
}

TEST(Control, sigtermOfTheLeaderHandsOverAndExitsCleanly) {
  deployment Deployment({});
  CHECK(ready(Deployment));
  const int Leader = Deployment.leader();
  Deployment.control(Leader).signal(SIGTERM);
  const auto Exit = Deployment.control(Leader).waitExit(seconds(15));
  CHECK(Exit.has_value());
  LONGS_EQUAL(0, *Exit);
  CHECK(accepted(Deployment.edit("owner.team", contactOf("1"), 1)));
}

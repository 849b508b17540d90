// Runs subcommands against fake control instances that lose answers, point to
// the leader or do not exist.

#include "fakecontrol.h"
#include "internal/commandtable.h"

#include "fulmar/document/token.h"
#include "fulmar/testing/property.h"

#include <Poco/TemporaryFile.h>

#include <fstream>
#include <sstream>

using namespace fulmar;
using namespace fulmar::ctl;

namespace {

constexpr const char *Token = "the-token";

std::string hashOfToken() {
  return document::hashToken(Token, "0011223344556677",
                             document::MinTokenIterations);
}

} // namespace

TEST_GROUP(Commands) {
  fake_control Control{hashOfToken()};
  Poco::TemporaryFile TokenFile;
  Poco::TemporaryFile Content;
  command_options Options;
  std::vector<std::string> Addresses;
  std::string Out;
  std::string Err;

  void setup() override {
    std::ofstream(TokenFile.path()) << Token << "\n";
    Options = {.Author = "ann",
               .TokenFile = TokenFile.path(),
               .Timeout = std::chrono::milliseconds(2000)};
    Addresses = Control.addresses();
    CHECK(edit("owner.team", "token_hash = " + hashOfToken() + "\n") ==
          exit_code::Done);
    CHECK(edit("data-centre.pos", "owner = team\nregion = north\n") ==
          exit_code::Done);
  }

  exit_code run(std::vector<std::string> Arguments) {
    control_client Client({.Addresses = Addresses,
                           .Timeout = Options.Timeout,
                           .AttemptTimeout = std::chrono::milliseconds(500),
                           .Pause = std::chrono::milliseconds(10)});
    std::ostringstream OutStream;
    std::ostringstream ErrStream;
    invocation Call{.Options = Options,
                    .Arguments = std::move(Arguments),
                    .Control = Client,
                    .Out = OutStream,
                    .Err = ErrStream};
    const exit_code Code = runCommand(Call);
    Out = OutStream.str();
    Err = ErrStream.str();
    return Code;
  }

  exit_code edit(const std::string &Section, const std::string &Text) {
    std::ofstream(Content.path()) << Text;
    return run({"edit", Section, Content.path()});
  }

  bool outHas(const std::string &Part) {
    return Out.find(Part) != std::string::npos;
  }
  bool errHas(const std::string &Part) {
    return Err.find(Part) != std::string::npos;
  }
};

TEST(Commands, anEditFollowsTheHintAndIsNumbered) {
  Control.Leader = 1;
  CHECK(edit("policy.p", "owner = team\n") == exit_code::Done);
  CHECK(errHas("policy.p as number 1"));
  CHECK(outHas("accepted: policy.p number 1 is revision 3"));
}

TEST(Commands, lostAnswersAreResentAsTheSameEdit) {
  Options.Number = 1;
  Control.LostAnswers = 3;
  CHECK(edit("policy.p", "owner = team\n") == exit_code::Done);
  CHECK(outHas("had been accepted before"));
  LONGS_EQUAL(3, Control.State.edits().revision());
}

TEST(Commands, withoutAnyAnswerTheResendIsPrinted) {
  Options.Number = 1;
  Options.Timeout = std::chrono::milliseconds(200);
  Control.LostAnswers = 1000;
  CHECK(edit("policy.p", "owner = team\n") == exit_code::NoAnswer);
  CHECK(errHas("resend the same command: fulmarctl edit policy.p"));
  CHECK(errHas("--number=1"));
}

TEST(Commands, aConflictShowsWhatIsInForceAndTheNextNumber) {
  edit("policy.p", "owner = team\nqueue_ms = 1\n");
  Options.Number = 1;
  CHECK(edit("policy.p", "owner = team\nqueue_ms = 2\n") == exit_code::Refused);
  CHECK(errHas("queue_ms = 1"));
  CHECK(errHas("--number=2"));
}

TEST(Commands, refusalsNameTheFaultsAndWhatToDo) {
  CHECK(edit("service.a", "owner = team\nno_key = 1\n") == exit_code::Refused);
  CHECK(errHas("no_key"));
  CHECK(errHas("data_centres"));
  CHECK(errHas("next: "));
  std::ofstream(TokenFile.path()) << "wrong";
  CHECK(edit("policy.p", "owner = team\n") == exit_code::Refused);
  CHECK(errHas("unauthorized"));
  CHECK(!errHas("wrong"));
}

TEST(Commands, anEmptyFileRemovesNothing) {
  CHECK(edit("data-centre.pos", "") == exit_code::Refused);
  CHECK(errHas("fulmarctl remove data-centre.pos"));
  CHECK(run({"remove", "data-centre.pos"}) == exit_code::Done);
  CHECK(Control.State.edits().currentDocument().find("data-centre.pos") ==
        nullptr);
}

TEST(Commands, leaveWaitsUntilItIsInForceAndReportsIt) {
  Control.LostAnswers = 1;
  Control.WaitingRounds = 2;
  CHECK(run({"data-centre", "leave", "pos"}) == exit_code::Done);
  CHECK(errHas("operation "));
  CHECK(outHas("pos is out"));
  CHECK(outHas("in force on 22 instances, 1 leases ran out, after "));
  CHECK(!Control.State.dataCentres().stateOf("pos").InService);
}

TEST(Commands, aLateLeaveUnderItsOperationChangesNothing) {
  Options.Operation = "op-1";
  run({"data-centre", "leave", "pos"});
  Options.Operation = "op-2";
  run({"data-centre", "return", "pos"});
  Options.Operation = "op-1";
  CHECK(run({"data-centre", "leave", "pos"}) == exit_code::Done);
  CHECK(outHas("nothing was changed now"));
  CHECK(Control.State.dataCentres().stateOf("pos").InService);
}

TEST(Commands, instancesThatStillWaitAreNamed) {
  Options.Timeout = std::chrono::milliseconds(500);
  Control.WaitingRounds = 1000;
  CHECK(run({"data-centre", "leave", "pos"}) == exit_code::NoAnswer);
  CHECK(errHas("not yet confirmed by 1 instances: e7"));
  CHECK(errHas("--operation="));
}

TEST(Commands, showDiffAndHistoryReadRevisions) {
  edit("policy.p", "owner = team\nqueue_ms = 1\n");
  edit("policy.p", "owner = team\nqueue_ms = 2\n");
  Options.At = 3;
  CHECK(run({"show", "policy.p"}) == exit_code::Done);
  STRCMP_EQUAL("owner = team\nqueue_ms = 1\n", Out.c_str());
  Options.From = 3;
  CHECK(run({"diff", "policy.p"}) == exit_code::Done);
  STRCMP_EQUAL(" owner = team\n-queue_ms = 1\n+queue_ms = 2\n", Out.c_str());
  CHECK(run({"history", "policy.p"}) == exit_code::Done);
  STRCMP_EQUAL("REVISION  SECTION   NUMBER  AUTHOR\n"
               "4         policy.p  2       ann\n"
               "3         policy.p  1       ann\n",
               Out.c_str());
}

TEST(Commands, misuseAndSilenceHaveTheirOwnCodes) {
  CHECK(run({}) == exit_code::Usage);
  CHECK(run({"none"}) == exit_code::Usage);
  CHECK(run({"show", "a", "b"}) == exit_code::Usage);
  Options.Timeout = std::chrono::milliseconds(100);
  Addresses = {"127.0.0.1:1"};
  CHECK(run({"show"}) == exit_code::NoAnswer);
  Addresses.clear();
  CHECK(run({"show"}) == exit_code::Usage);
}

TEST(Commands, keysListsDefaultsAndRanges) {
  CHECK(run({"keys", "policy.control"}) == exit_code::Done);
  CHECK(outHas("member_lease_ms"));
  CHECK(outHas("1000..600000"));
  CHECK(!outHas("queue_length"));
}

TEST(Commands, checkListsEveryFaultOfAFile) {
  std::ofstream(Content.path()) << "[service.a]\nx = 1\n[service.b]\ny = 1\n";
  CHECK(run({"check", Content.path()}) == exit_code::Refused);
  CHECK(errHas("[service.a] x"));
  CHECK(errHas("[service.b] y"));
}

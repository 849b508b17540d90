// Tests of edits, data centre operations, authorization and the replicated
// clock.

#include "tests/statefixture.h"

#include "fulmar/claims/holder.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlstate;

namespace {

void restart(state_fixture &Fixture) {
  control_state Fresh;
  CHECK(Fresh.restore(Fixture.State.snapshot()).has_value());
  Fixture.State = std::move(Fresh);
}

bool isIn(const state_fixture &Fixture) {
  return Fixture.State.dataCentres().stateOf("pos").InService;
}

base::error_kind errorOf(const reply &Reply) {
  return std::get<error_reply>(Reply).Error.Kind;
}

} // namespace

TEST_GROUP(ControlState) {
  state_fixture Fixture;
  void setup() override { Fixture.prepare(); }
};

TEST(ControlState, acceptedEditIsPublishedAndReadable) {
  const edit_reply Reply =
      Fixture.edit("service.registry", 1, serviceText("10"));
  CHECK(Reply.Outcome == edit_outcome::Accepted);
  LONGS_EQUAL(4, Reply.Revision);
  LONGS_EQUAL(Fixture.Index, Reply.Serial);
  CHECK(
      Fixture.State.published().value("section/service.registry").has_value());
  LONGS_EQUAL(Reply.Serial, Fixture.State.published().latest());
  CHECK(Fixture.State.edits().sectionAt("service.registry", 4).value() ==
        serviceText("10"));
  CHECK(!Fixture.State.edits().sectionAt("service.registry", 3).has_value());
}

TEST(ControlState, resentFirstEditGetsOriginalReplyAfter500Edits) {
  const edit_reply First = Fixture.edit("service.a", 1, serviceText("1"));
  for (std::uint64_t Number = 2; Number <= 500; ++Number) {
    Fixture.edit("service.a", Number, serviceText(std::to_string(Number)));
    if (Number % 120 == 0)
      restart(Fixture);
  }
  const std::string Before = Fixture.State.snapshot();
  edit_reply Again = Fixture.edit("service.a", 1, serviceText("1"));
  CHECK(Again.Repeated);
  Again.Repeated = false;
  CHECK(Again == First);
  LONGS_EQUAL(503, Fixture.State.edits().revision());
  CHECK(Fixture.State.edits().sectionAt("service.a", 503).value() ==
        serviceText("500"));
  CHECK(Fixture.State.edits().sectionAt("service.a", 4).value() ==
        serviceText("1"));
  LONGS_EQUAL(Before.size(), Fixture.State.snapshot().size());
}

TEST(ControlState, conflictingEditGetsCurrentContent) {
  Fixture.edit("service.a", 1, serviceText("1"), "ann");
  const edit_reply Reply =
      Fixture.edit("service.a", 1, serviceText("2"), "bob");
  CHECK(Reply.Outcome == edit_outcome::Conflict);
  LONGS_EQUAL(1, Reply.CurrentNumber);
  CHECK(Reply.CurrentContent == serviceText("1"));
  STRCMP_EQUAL("ann", Reply.CurrentAuthor.c_str());
  CHECK(Fixture.edit("service.a", 1, serviceText("1"), "bob").Outcome ==
        edit_outcome::Conflict);
}

TEST(ControlState, numberingContinuesAfterRemoval) {
  Fixture.edit("service.a", 1, serviceText("1"));
  CHECK(Fixture.edit("service.a", 2, "").Outcome == edit_outcome::Accepted);
  CHECK(!Fixture.State.published().value("section/service.a").has_value());
  CHECK(Fixture.edit("service.a", 1, serviceText("1")).Repeated);
  CHECK(Fixture.State.edits().currentDocument().find("service.a") == nullptr);
  CHECK(Fixture.edit("service.a", 3, serviceText("1")).Outcome ==
        edit_outcome::Accepted);
  CHECK(Fixture.edit("service.a", 5, serviceText("1")).Outcome ==
        edit_outcome::Refused);
}

TEST(ControlState, rejectionListsAllFaults) {
  const edit_reply Reply = Fixture.edit(
      "service.a", 1,
      "owner = team\ndata_centres = pos, none\nqueue_ms = x\nno_key = 1\n");
  CHECK(Reply.Outcome == edit_outcome::Refused);
  for (const char *Part : {"data-centre.none", "queue_ms", "no_key"})
    CHECK_TEXT(Reply.Message.find(Part) != std::string::npos, Part);
}

TEST(ControlState, duplicateLeaveAfterReturnHasNoEffect) {
  const auto First = Fixture.dataCentre("op-1", data_centre_action::Leave);
  CHECK(!isIn(Fixture));
  Fixture.dataCentre("op-2", data_centre_action::Return);
  restart(Fixture);
  const auto Late = Fixture.dataCentre("op-1", data_centre_action::Leave);
  CHECK(isIn(Fixture));
  CHECK(Late.Repeated && !Late.InService);
  LONGS_EQUAL(First.Serial, Late.Serial);
  STRCMP_EQUAL("{\"state\":\"in\"}",
               Fixture.State.published().value("data-centre/pos")->c_str());
}

TEST(ControlState, rejectsReusedOperationId) {
  Fixture.dataCentre("op-1", data_centre_action::Leave);
  const reply Other =
      Fixture.run(data_centre_command{.OperationId = "op-1",
                                      .Name = "pos",
                                      .Action = data_centre_action::Return,
                                      .Author = "ann",
                                      .Proof = {.Hash = testHash()}});
  CHECK(errorOf(Other) == base::error_kind::Conflict);
  CHECK(!isIn(Fixture));
}

TEST(ControlState, editsDoNotReenableDataCentre) {
  Fixture.dataCentre("op-1", data_centre_action::Leave);
  Fixture.edit("data-centre.pos", 2, "owner = team\nregion = south\n");
  CHECK(!isIn(Fixture));
  CHECK(Fixture.edit("data-centre.pos", 3, "").Outcome ==
        edit_outcome::Accepted);
  CHECK(!isIn(Fixture));
  STRCMP_EQUAL("{\"state\":\"out\"}",
               Fixture.State.published().value("data-centre/pos")->c_str());
  Fixture.edit("data-centre.pos", 4, "owner = team\nregion = south\n");
  CHECK(!isIn(Fixture));
}

TEST(ControlState, redundantLeaveReturnsSerialOfFirst) {
  const auto First = Fixture.dataCentre("op-1", data_centre_action::Leave);
  const auto Second = Fixture.dataCentre("op-2", data_centre_action::Leave);
  LONGS_EQUAL(First.Serial, Second.Serial);
  CHECK(!Second.Repeated);
}

TEST(ControlState, editRequiresOwnerToken) {
  const auto Prove = [&](const std::string &Section, const std::string &Token,
                         const std::string &Content) {
    return makeTokenProof(
        Token, Section,
        Fixture.State.requiredHash(Section, Content, testHash()));
  };
  const auto Edit = [&](const std::string &Section, const std::string &Token) {
    const std::string Content = Section.starts_with("owner.")
                                    ? "token_hash = " + testHash()
                                    : serviceText("1");
    return Fixture.run(edit_command{.Author = "ann",
                                    .Section = Section,
                                    .Number = 1,
                                    .Content = Content,
                                    .Proof = Prove(Section, Token, Content)});
  };
  CHECK(errorOf(Edit("service.a", "wrong")) == base::error_kind::Unauthorized);
  CHECK(errorOf(Edit("service.a", "")) == base::error_kind::Unauthorized);
  CHECK(std::get<edit_reply>(Edit("service.a", TestToken)).Outcome ==
        edit_outcome::Accepted);
  CHECK(errorOf(Edit("owner.b", "wrong")) == base::error_kind::Unauthorized);
  CHECK(std::get<edit_reply>(Edit("owner.b", TestToken)).Outcome ==
        edit_outcome::Accepted);
  CHECK(Fixture.State.snapshot().find(TestToken) == std::string::npos);
  CHECK(Fixture.State.requiredHashOfDataCentre("none").empty());
  CHECK(errorOf(Fixture.run(data_centre_command{
            .OperationId = "op",
            .Name = "pos",
            .Author = "ann",
            .Proof = makeTokenProof(
                "wrong", "data-centre.pos",
                Fixture.State.requiredHashOfDataCentre("pos"))})) ==
        base::error_kind::Unauthorized);
}

TEST(ControlState, ownerChangeRequiresCurrentOwnerToken) {
  Fixture.edit("service.a", 1, serviceText("1"));
  const std::string Other = document::hashToken("other", "ffeeddccbbaa99887766",
                                                document::MinTokenIterations);
  Fixture.edit("owner.other", 1, "token_hash = " + Other + "\n");
  const std::string Taken = "owner = other\ndata_centres = pos\n";
  const auto Edit = [&](const char *Token, std::uint64_t Number) {
    return Fixture.run(
        edit_command{.Author = "eve",
                     .Section = "service.a",
                     .Number = Number,
                     .Content = Taken,
                     .Proof = makeTokenProof(
                         Token, "service.a",
                         Fixture.State.requiredHash("service.a", Taken, ""))});
  };
  CHECK(errorOf(Edit("other", 2)) == base::error_kind::Unauthorized);
  CHECK(std::holds_alternative<edit_reply>(Edit(TestToken, 2)));
  CHECK(errorOf(Edit(TestToken, 3)) == base::error_kind::Unauthorized);
}

TEST(ControlState, limitsClockStepPerCommand) {
  const std::int64_t Before = Fixture.State.nowMs();
  Fixture.WallMs += 365LL * 86'400'000;
  Fixture.run(advance_clock_command{});
  LONGS_EQUAL(Before + MaxClockStepMs, Fixture.State.nowMs());
  Fixture.WallMs = 0;
  Fixture.run(advance_clock_command{});
  LONGS_EQUAL(Before + MaxClockStepMs, Fixture.State.nowMs());
}

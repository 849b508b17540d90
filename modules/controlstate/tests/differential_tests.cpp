// Differential tests of the replicated state against the reference model in
// naivedocument.h, with random sequences of edits, resends, conflicts, data
// centre operations, delayed duplicates and restarts from snapshots.

#include "tests/naivedocument.h"
#include "tests/statefixture.h"

#include "fulmar/testing/property.h"

#include <json/reader.h>

using namespace fulmar;
using namespace fulmar::controlstate;

namespace {

struct step {
  int Action = 0;
  int Section = 0;
  int Variant = 0;
  int Number = 0;
  int Author = 0;
};

rc::Gen<step> anyStep() {
  using rc::gen::inRange;
  return rc::gen::build<step>(rc::gen::set(&step::Action, inRange(0, 20)),
                              rc::gen::set(&step::Section, inRange(0, 4)),
                              rc::gen::set(&step::Variant, inRange(0, 5)),
                              rc::gen::set(&step::Number, inRange(0, 6)),
                              rc::gen::set(&step::Author, inRange(0, 2)));
}

std::string contentFor(const std::string &Section, int Variant) {
  if (Variant == 0)
    return {};
  if (Section == "data-centre.arima")
    return "owner = team\nregion = r" + std::to_string(Variant) + "\n";
  if (Section == "policy.shared")
    return "owner = team\nqueue_length = " + std::to_string(Variant) + "\n";
  // Variant 4 is out of range.
  return serviceText(Variant == 4 ? "-1" : std::to_string(Variant)) +
         (Variant == 3 ? "policy = shared\n" : "");
}

Json::Value parsed(const std::string &Text) {
  Json::Value Value;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
  return Value;
}

/// Runs the same commands on a state that is restored from snapshots from time
/// to time, on one that never is, and on the reference model.
class trial {
public:
  trial() {
    Restored.prepare();
    Steady.prepare();
    for (const edit_record &Record : Steady.State.edits().history("", 10))
      First.push_back(Record);
    for (auto Record = First.rbegin(); Record != First.rend(); ++Record)
      Naive.edit({.Author = Record->Author,
                  .Section = Record->Section,
                  .Number = Record->Number,
                  .Content = Record->Content});
  }

  void perform(const step &Step) {
    if (Step.Action < 12)
      return edit(Step);
    if (Step.Action < 15)
      return resend(Step);
    if (Step.Action < 18)
      return operate(Step);
    if (Step.Action == 18)
      return restart();
    advance(Step);
  }

  void checkAll() const {
    const control_state &State = Restored.State;
    const auto Parts = Naive.currentSections();
    RC_ASSERT(State.edits().documentAt(State.edits().revision()).value() ==
              Naive.Documents.back());
    RC_ASSERT(State.edits().revision() + 1 == Naive.Documents.size());
    const auto Items = State.published().withPrefix("section/");
    RC_ASSERT(Items.size() == Parts.size());
    for (const publication::item &Item : Items)
      RC_ASSERT(parsed(Item.Value)["content"].asString() ==
                Parts.at(Item.Key.substr(8)));
    for (const char *Name : {"pos", "arima"}) {
      RC_ASSERT(State.dataCentres().stateOf(Name).InService ==
                Naive.isIn(Name));
      const auto Text =
          State.published().value(std::string("data-centre/") + Name);
      const bool HasSection =
          Parts.contains(std::string("data-centre.") + Name);
      RC_ASSERT(Text.has_value() == (HasSection || !Naive.isIn(Name)));
      if (Text)
        RC_ASSERT(parsed(*Text)["state"].asString() ==
                  (Naive.isIn(Name) ? "in" : "out"));
    }
    RC_ASSERT(State.published().digest() == Steady.State.published().digest());
  }

  void checkSnapshots() const {
    RC_ASSERT(Restored.State.snapshot() == Steady.State.snapshot());
  }

  /// Checks that all past revisions can still be read unchanged.
  void checkHistory() const {
    for (std::uint64_t Revision = 0; Revision < Naive.Documents.size();
         ++Revision)
      RC_ASSERT(Restored.State.edits().documentAt(Revision).value() ==
                Naive.Documents[Revision]);
  }

private:
  reply both(const command_body &Body) {
    const reply Reply = Restored.run(Body);
    RC_ASSERT(Reply == Steady.run(Body));
    return Reply;
  }

  void send(const edit_command &Edit) {
    const edit_outcome Expected = Naive.edit(Edit);
    const auto Reply = std::get<edit_reply>(both(Edit));
    RC_ASSERT(Reply.Outcome == Expected);
    RC_ASSERT(Reply.CurrentNumber >= Edit.Number ||
              Expected == edit_outcome::Refused);
    if (Expected == edit_outcome::Refused)
      RC_ASSERT(!Reply.Message.empty());
    if (Expected != edit_outcome::Accepted)
      return;
    const auto Known = FirstReplies.find({Edit.Section, Edit.Number});
    RC_ASSERT(Reply.Repeated == (Known != FirstReplies.end()));
    if (Reply.Repeated) {
      edit_reply Again = Reply;
      Again.Repeated = false;
      RC_ASSERT(Again == Known->second);
      return;
    }
    FirstReplies[{Edit.Section, Edit.Number}] = Reply;
    Sent.push_back(Edit);
  }

  void edit(const step &Step) {
    static const std::vector<std::string> Sections = {
        "service.a", "service.b", "policy.shared", "data-centre.arima"};
    const std::string &Section =
        Sections[static_cast<std::size_t>(Step.Section)];
    const std::uint64_t Next = Naive.Edits[Section].size() + 1;
    // Mostly the next number, sometimes the last used or a higher one.
    const std::uint64_t Number =
        Step.Number < 4
            ? Next
            : Next + 1 -
                  std::min<std::uint64_t>(Next, Step.Number == 4 ? 2 : 0);
    send({.Author = Step.Author == 0 ? "ann" : "bob",
          .Section = Section,
          .Number = Number,
          .Content = contentFor(Section, Step.Variant),
          .Proof = {.Hash = testHash()}});
  }

  void resend(const step &Step) {
    if (Sent.empty())
      return;
    const std::size_t Which =
        static_cast<std::size_t>(Step.Section * 97 + Step.Variant * 31 +
                                 Step.Number) %
        Sent.size();
    const edit_command Again = Sent[Which];
    send(Again);
  }

  void operate(const step &Step) {
    // Uses few ids, so that duplicates are frequent.
    const bool Leave = Step.Variant % 2 == 0;
    const data_centre_command Operation{
        .OperationId = (Leave ? "leave-" : "return-") +
                       std::to_string(Step.Variant * 6 + Step.Number),
        .Name = "pos",
        .Action =
            Leave ? data_centre_action::Leave : data_centre_action::Return,
        .Author = "ann",
        .Proof = {.Hash = testHash()}};
    const bool InService = Naive.operate(Operation);
    const auto Reply = std::get<data_centre_reply>(both(Operation));
    RC_ASSERT(Reply.InService == InService);
    const auto [Known, New] =
        FirstSerials.emplace(Operation.OperationId, Reply.Serial);
    RC_ASSERT(Reply.Repeated != New);
    RC_ASSERT(Known->second == Reply.Serial);
  }

  void restart() {
    control_state Fresh;
    RC_ASSERT(Fresh.restore(Restored.State.snapshot()).has_value());
    Restored.State = std::move(Fresh);
    checkSnapshots();
  }

  void advance(const step &Step) {
    Restored.WallMs += Step.Variant * 1000 - 1000;
    Steady.WallMs = Restored.WallMs;
    const std::int64_t Before = Restored.State.nowMs();
    both(advance_clock_command{});
    RC_ASSERT(Restored.State.nowMs() >= Before);
  }

  state_fixture Restored;
  state_fixture Steady;
  naive_document Naive;
  std::vector<edit_record> First;
  std::vector<edit_command> Sent;
  std::map<std::pair<std::string, std::uint64_t>, edit_reply> FirstReplies;
  std::map<std::string, std::uint64_t> FirstSerials;
};

} // namespace

TEST_GROUP(Differential){};

TEST(Differential, matchesReferenceModel) {
  testing::checkProperty("state equals the naive document", [] {
    trial Trial;
    for (const step &Step :
         *rc::gen::container<std::vector<step>>(30, anyStep())) {
      Trial.perform(Step);
      Trial.checkAll();
    }
    Trial.checkHistory();
    Trial.checkSnapshots();
  });
}

TEST(Differential, malformedInputHasNoEffect) {
  state_fixture Fixture;
  Fixture.prepare();
  const std::string Before = Fixture.State.snapshot();
  testing::checkProperty("any bytes", [&](const std::string &Bytes) {
    const std::string Reply = Fixture.State.apply(Fixture.Index, Bytes);
    RC_ASSERT(std::holds_alternative<error_reply>(decodeReply(Reply).value()));
    RC_ASSERT(!Fixture.State.restore(Bytes).has_value());
    RC_ASSERT(Fixture.State.snapshot() == Before);
  });
}

TEST(Differential, corruptedCommandsDoNotThrow) {
  const std::string Sound = encodeCommand(
      {.WallMs = 5,
       .Body = settle_claim_command{
           .Request = {.Service = base::service_name("s"), .Key = "k"},
           .End = claims::claim_end::Finished,
           .Answer = claims::recorded_answer{.Status = 200, .Body = "b"}}});
  CHECK(decodeCommand(Sound).has_value());
  testing::checkProperty("damaged command", [&] {
    std::string Damaged = Sound;
    const auto At = *rc::gen::inRange<std::size_t>(0, Sound.size());
    Damaged[At] = *rc::gen::arbitrary<char>();
    Damaged.resize(*rc::gen::inRange<std::size_t>(At, Sound.size() + 1));
    state_fixture Fixture;
    (void)Fixture.State.apply(1, Damaged);
  });
}

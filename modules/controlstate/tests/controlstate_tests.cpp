// Focused tests of the replicated state.

#include "tests/statefixture.h"

#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlstate;

TEST_GROUP(ControlState) {
  state_fixture Fixture;
  void setup() override { Fixture.prepare(); }
};

TEST(ControlState, anEditIsAcceptedPublishedAndShown) {
  const edit_reply Reply =
      Fixture.edit("service.registry", 1, serviceText("10"));
  CHECK(Reply.Outcome == edit_outcome::Accepted);
  LONGS_EQUAL(4, Reply.Revision);
  LONGS_EQUAL(Fixture.Index, Reply.Serial);
  CHECK(
      Fixture.State.published().value("section/service.registry").has_value());
  LONGS_EQUAL(Reply.Serial, Fixture.State.published().latest());
  CHECK(Fixture.State.edits().show("service.registry", 4).value() ==
        serviceText("10"));
  CHECK(!Fixture.State.edits().show("service.registry", 3).has_value());
}

// The difference of two texts leads from one to the other.

#include "internal/linediff.h"

#include "fulmar/testing/property.h"

using namespace fulmar::ctl;

namespace {

std::string side(const std::vector<diff_line> &Diff, diff_line::kind Other) {
  std::string Text;
  for (const diff_line &Line : Diff) {
    if (Line.Kind != Other)
      Text += Line.Text + "\n";
  }
  return Text;
}

} // namespace

TEST_GROUP(LineDiff){};

TEST(LineDiff, bothSidesCanBeReadBack) {
  fulmar::testing::checkProperty("sides of a diff", [] {
    const auto Text = rc::gen::map(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)),
        [](const std::vector<int> &Lines) {
          std::string Joined;
          for (const int Line : Lines)
            Joined += "line " + std::to_string(Line) + "\n";
          return Joined;
        });
    const std::string From = *Text;
    const std::string To = *Text;
    const auto Diff = diffLines(From, To);
    RC_ASSERT(side(Diff, diff_line::kind::Added) == From);
    RC_ASSERT(side(Diff, diff_line::kind::Removed) == To);
  });
}

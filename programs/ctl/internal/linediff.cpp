// Longest common subsequence over the lines that differ.

#include "linediff.h"

#include <algorithm>
#include <cstddef>
#include <sstream>

namespace fulmar::ctl {

namespace {

using lines = std::vector<std::string>;
using kind = diff_line::kind;

lines linesOf(const std::string &Text) {
  lines Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Lengths[I][J]: longest common subsequence of From from I and To from J.
std::vector<std::vector<std::size_t>> commonLengths(const lines &From,
                                                    const lines &To) {
  std::vector<std::vector<std::size_t>> Lengths(
      From.size() + 1, std::vector<std::size_t>(To.size() + 1));
  for (std::size_t I = From.size(); I-- > 0;) {
    for (std::size_t J = To.size(); J-- > 0;)
      Lengths[I][J] = From[I] == To[J]
                          ? Lengths[I + 1][J + 1] + 1
                          : std::max(Lengths[I + 1][J], Lengths[I][J + 1]);
  }
  return Lengths;
}

void diffMiddle(const lines &From, const lines &To,
                std::vector<diff_line> &Diff) {
  const auto Lengths = commonLengths(From, To);
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < From.size() || J < To.size()) {
    if (I < From.size() && J < To.size() && From[I] == To[J]) {
      Diff.push_back({kind::Same, From[I++]});
      ++J;
    } else if (J == To.size() ||
               (I < From.size() && Lengths[I + 1][J] >= Lengths[I][J + 1])) {
      Diff.push_back({kind::Removed, From[I++]});
    } else {
      Diff.push_back({kind::Added, To[J++]});
    }
  }
}

} // namespace

std::vector<diff_line> diffLines(const std::string &From,
                                 const std::string &To) {
  lines Old = linesOf(From);
  lines New = linesOf(To);
  std::vector<diff_line> Diff;
  const std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t Head = 0;
  while (Head < Shorter && Old[Head] == New[Head])
    Diff.push_back({kind::Same, Old[Head++]});
  std::size_t Tail = 0;
  while (Tail < Shorter - Head &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  const auto Middle = [&](const lines &All) {
    return lines(All.begin() + static_cast<std::ptrdiff_t>(Head),
                 All.end() - static_cast<std::ptrdiff_t>(Tail));
  };
  diffMiddle(Middle(Old), Middle(New), Diff);
  for (std::size_t Line = Old.size() - Tail; Line < Old.size(); ++Line)
    Diff.push_back({kind::Same, Old[Line]});
  return Diff;
}

} // namespace fulmar::ctl

// Pads cells to their column's width.

#include "tableprinter.h"

#include <algorithm>

namespace fulmar::ctl {

void table_printer::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths;
  for (const row &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  for (const row &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      if (Column + 1 < Row.size())
        Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Out << Line << "\n";
  }
}

} // namespace fulmar::ctl

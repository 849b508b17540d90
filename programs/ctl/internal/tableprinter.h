// Prints rows in columns as wide as their longest cell.

#ifndef FULMAR_CTL_TABLEPRINTER_H
#define FULMAR_CTL_TABLEPRINTER_H

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::ctl {

class table_printer {
public:
  using row = std::vector<std::string>;

  explicit table_printer(row Heading) : Rows{std::move(Heading)} {}
  void add(row Cells) { Rows.push_back(std::move(Cells)); }
  void print(std::ostream &Out) const;

private:
  std::vector<row> Rows;
};

} // namespace fulmar::ctl

#endif // FULMAR_CTL_TABLEPRINTER_H

// Logs targets' reports that change nothing because something newer is held,
// so that an operator can tell a report that was late from one that was lost.

#ifndef FULMAR_CONTROLNODE_LATEREPORTLOG_H
#define FULMAR_CONTROLNODE_LATEREPORTLOG_H

#include "fulmar/controlstate/targettable.h"
#include "fulmar/fleet/targetreport.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace fulmar::controlnode {

class late_report_log {
public:
  /// Limits the memory; all runs are logged anew after this many.
  static constexpr std::size_t MaxRuns = 1'024;

  /// Writes a line if \p Targets holds something newer than \p Report and no
  /// line was written for this run. Returns whether it wrote one.
  bool record(const fleet::target_report &Report,
              const controlstate::target_table &Targets);

private:
  /// Id and start time of the runs that were logged, at most MaxRuns.
  std::set<std::pair<std::string, std::int64_t>> LoggedRuns;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_LATEREPORTLOG_H

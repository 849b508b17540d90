// Reports crashes of targets to the control leader, away from the task.

#ifndef FULMAR_PROGRAMS_ENTRY_CRASHREPORTER_H
#define FULMAR_PROGRAMS_ENTRY_CRASHREPORTER_H

#include "controlcaller.h"

#include "fulmar/base/mailbox.h"
#include "fulmar/routing/crashdetector.h"

#include <thread>

namespace fulmar::entry {

class crash_reporter {
public:
  explicit crash_reporter(control_caller &ControlCaller);
  ~crash_reporter();
  crash_reporter(const crash_reporter &) = delete;
  crash_reporter &operator=(const crash_reporter &) = delete;

  /// Thread-safe.
  void report(routing::crash_report Report) { Inbox.post(std::move(Report)); }

private:
  void run();

  control_caller &Caller;
  base::mailbox<routing::crash_report> Inbox;
  std::thread Thread;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_CRASHREPORTER_H

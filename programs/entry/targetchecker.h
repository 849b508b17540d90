// Checks after a broken attempt whether its target still takes connections,
// away from the task.

#ifndef FULMAR_PROGRAMS_ENTRY_TARGETCHECKER_H
#define FULMAR_PROGRAMS_ENTRY_TARGETCHECKER_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/mailbox.h"
#include "fulmar/base/time.h"

#include <functional>
#include <map>
#include <string>
#include <thread>

namespace fulmar::entry {

class target_checker {
public:
  struct target {
    base::target_id Id;
    /// IP:PORT.
    std::string Address;
  };
  /// Runs on the checker's thread.
  using refused_callback = std::function<void(base::target_id Target)>;

  explicit target_checker(refused_callback Callback);
  ~target_checker();
  target_checker(const target_checker &) = delete;
  target_checker &operator=(const target_checker &) = delete;

  /// Thread-safe. Opens at most two connections to a target within a
  /// second.
  void check(target Target) { Inbox.post(std::move(Target)); }

private:
  struct pending_check {
    target Target;
    base::instant Due;
    int Remaining = 0;
  };

  void run();
  void schedule(const target &Target);
  void runDue();

  refused_callback OnRefused;
  base::steady_clock Clock;
  base::mailbox<target> Inbox;
  std::map<base::target_id, pending_check> Pending;
  std::thread Thread;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_TARGETCHECKER_H

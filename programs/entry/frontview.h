// What the threads that serve callers read without asking the task: an
// immutable view that the task replaces as a whole.

#ifndef FULMAR_PROGRAMS_ENTRY_FRONTVIEW_H
#define FULMAR_PROGRAMS_ENTRY_FRONTVIEW_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/proxytypes.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace fulmar::entry {

/// Thread-safe.
class front_view {
public:
  using policy_map = std::map<base::service_name, proxy::service_policy>;

  struct content {
    policy_map Policies;
    std::string OtherEntries;
    /// How long callers may keep an answer that names this entry.
    base::duration KeptAnswer{};
  };

  void replace(content Content) {
    auto Fresh = std::make_shared<const content>(std::move(Content));
    const std::lock_guard Lock(Mutex);
    Current = std::move(Fresh);
  }

  [[nodiscard]] std::optional<proxy::service_policy>
  policyOf(const base::service_name &Service) const {
    const auto View = current();
    const auto Found = View->Policies.find(Service);
    if (Found == View->Policies.end())
      return std::nullopt;
    return Found->second;
  }

  /// Other entries that may serve, comma-separated IP:PORT.
  [[nodiscard]] std::string otherEntries() const {
    return current()->OtherEntries;
  }

  [[nodiscard]] base::duration keptAnswer() const {
    return current()->KeptAnswer;
  }

private:
  [[nodiscard]] std::shared_ptr<const content> current() const {
    const std::lock_guard Lock(Mutex);
    return Current;
  }

  mutable std::mutex Mutex;
  std::shared_ptr<const content> Current = std::make_shared<const content>();
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_FRONTVIEW_H

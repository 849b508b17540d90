// The policy of the system itself: section policy.control.

#ifndef FULMAR_DOCUMENT_CONTROLPOLICY_H
#define FULMAR_DOCUMENT_CONTROLPOLICY_H

#include "fulmar/base/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::document {

/// Immutable once parsed. The defaults hold while the section is absent.
struct control_policy {
  /// Team whose token edits the section.
  std::string Owner;

  /// A member that is silent for this long has expired.
  std::chrono::milliseconds MemberLease{6000};
  /// How long callers may keep an answer about entries.
  std::chrono::milliseconds EntriesAnswer{5000};

  /// Retention of settled claims.
  std::chrono::milliseconds ClaimRetention{std::chrono::hours(24)};
  std::int64_t ClaimMaxCount = 200000;
  std::int64_t ClaimMaxKilobytes = 262144;
  std::int64_t ClaimMaxAnswerKilobytes = 64;

  /// Quarantine of requests that crash targets.
  std::chrono::milliseconds Quarantine{600000};
  std::chrono::milliseconds CrashWindow{600000};
  /// A target with crashes of this many different requests within the window
  /// is itself at fault: its reports count for nothing.
  std::int64_t SickTargetRequests = 4;

  friend auto operator<=>(const control_policy &,
                          const control_policy &) = default;
};

/// Fails with InvalidDocument, listing every fault.
base::result<control_policy> parseControlPolicy(std::string_view SectionText);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_CONTROLPOLICY_H

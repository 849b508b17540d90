// The policy of one service, typed and checked.

#ifndef FULMAR_DOCUMENT_SERVICEPOLICY_H
#define FULMAR_DOCUMENT_SERVICEPOLICY_H

#include "fulmar/base/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::document {

/// Immutable once parsed. Every number is within its range of the schema.
struct service_policy {
  /// Team whose token edits the section.
  std::string Owner;
  /// Data centres whose targets serve, nearest choice is the entry's.
  std::vector<std::string> DataCentres;
  /// Name of the policy section that holds shared keys; empty: none.
  std::string Policy;

  /// Picking.
  std::string Pick = "adaptive";
  /// Share of requests in flight, in percent, beyond which an entry spills
  /// over to other data centres.
  std::int64_t SpillOverPercent = 80;

  /// Limits.
  std::int64_t InFlightPerSlot = 1;
  std::int64_t QueueLength = 64;
  std::chrono::milliseconds Queue{1000};
  std::chrono::milliseconds Timeout{30000};
  std::int64_t MaxBodyKilobytes = 1048576;

  /// Retries and hedges.
  bool IdempotentPosts = false;
  std::int64_t MaxAttempts = 3;
  std::int64_t RetryBudgetPercent = 10;
  bool Hedge = true;
  /// Quantile of the service time, in permille, after which a hedge is sent.
  std::int64_t HedgeAfterPermille = 950;

  /// Outliers.
  std::int64_t OutlierSharePercent = 30;

  /// Cold start.
  std::chrono::milliseconds ColdRamp{10000};

  friend auto operator<=>(const service_policy &,
                          const service_policy &) = default;
};

/// Reads a service's section. Keys that it leaves out come from \p PolicyText,
/// the content of the policy section that it names, and then from the defaults
/// above. Fails with InvalidDocument, listing every fault.
base::result<service_policy>
parseServicePolicy(std::string_view SectionText,
                   std::string_view PolicyText = {});

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_SERVICEPOLICY_H

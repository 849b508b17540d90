// Client accounts of the routing plan: who may send requests, with which keys,
// how urgently and how often.

#ifndef FULMAR_FLEET_ACCOUNT_H
#define FULMAR_FLEET_ACCOUNT_H

#include "fulmar/base/result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::fleet {

struct account {
  /// Unique; passed to the targets.
  std::string Name;
  /// Secret. Each belongs to one account; never logged or shown.
  std::vector<std::string> Keys;
  /// Replaces the priority of the route; 0 is the highest.
  std::optional<std::uint32_t> Priority;
  /// Quota over all entries; there is none if one of the two is 0.
  double RequestsPerSecond = 0;
  double Burst = 0;

  [[nodiscard]] bool hasQuota() const {
    return RequestsPerSecond > 0 && Burst > 0;
  }
  friend auto operator<=>(const account &, const account &) = default;
};

/// The accounts of a plan.
struct account_set {
  /// False if the plan does not mention accounts; requests then need no key.
  bool Required = false;
  std::vector<account> Accounts;
  /// Names of the routes that need no key.
  std::vector<std::string> PublicRoutes;

  friend auto operator<=>(const account_set &, const account_set &) = default;
};

/// Fails with InvalidDocument; the message names accounts, never keys.
base::result<void> checkAccounts(const account_set &Accounts);

std::string encodeAccounts(const account_set &Accounts);
base::result<account_set> decodeAccounts(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_ACCOUNT_H

// Client accounts of the routing plan: who may send requests, with which keys,
// how urgently and how often.

#ifndef FULMAR_FLEET_ACCOUNT_H
#define FULMAR_FLEET_ACCOUNT_H

#include "fulmar/base/result.h"
#include "fulmar/fleet/routingplan.h"

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

/// What a plan says of accounts besides the accounts themselves. Published as
/// one item, so that a reader can tell whether it holds all accounts.
struct account_header {
  /// Version of the plan that the accounts belong to.
  plan_version Version = 0;
  std::uint32_t AccountCount = 0;
  /// Names of the routes that need no key.
  std::vector<std::string> PublicRoutes;

  friend auto operator<=>(const account_header &,
                          const account_header &) = default;
};

/// The accounts of one plan. A plan without accounts needs no keys.
struct account_set {
  account_header Header;
  std::vector<account> Accounts;

  friend auto operator<=>(const account_set &, const account_set &) = default;
};

/// Fails with InvalidDocument; the message names accounts, never keys.
base::result<void> checkAccounts(const account_set &Accounts);

std::string encodeAccount(const account &Account);
base::result<account> decodeAccount(std::string_view Bytes);
std::string encodeAccountHeader(const account_header &Header);
base::result<account_header> decodeAccountHeader(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_ACCOUNT_H

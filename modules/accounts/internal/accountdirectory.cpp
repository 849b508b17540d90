// Index of accounts by key.

#include "fulmar/accounts/accountdirectory.h"

namespace fulmar::accounts {

account_directory::account_directory(
    std::shared_ptr<const fleet::account_set> Given)
    : Held(std::move(Given)) {
  if (!Held)
    return;
  for (const fleet::account &Account : Held->Accounts) {
    for (const std::string &Key : Account.Keys)
      ByKey.emplace(Key, &Account);
  }
  for (const std::string &Route : Held->PublicRoutes)
    PublicRoutes.insert(Route);
}

std::shared_ptr<const fleet::account>
account_directory::find(std::string_view Key) const {
  const auto Found = ByKey.find(Key);
  // Shares the ownership of the whole set.
  return Found == ByKey.end()
             ? nullptr
             : std::shared_ptr<const fleet::account>(Held, Found->second);
}

} // namespace fulmar::accounts

// Looks up the account of a key.

#ifndef FULMAR_ACCOUNTS_ACCOUNTDIRECTORY_H
#define FULMAR_ACCOUNTS_ACCOUNTDIRECTORY_H

#include "fulmar/fleet/account.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>
#include <string_view>

namespace fulmar::accounts {

class account_directory {
public:
  /// \p Held may be null: no key is needed then.
  explicit account_directory(std::shared_ptr<const fleet::account_set> Held);

  /// True if requests need a key, except on public routes.
  [[nodiscard]] bool required() const { return Held && Held->Required; }
  [[nodiscard]] bool isPublic(std::string_view Route) const {
    return PublicRoutes.contains(Route);
  }
  /// Null if no account has the key. Keys are hashed with a seed of this
  /// process, so that the time of a lookup does not tell how much of a key is
  /// right.
  [[nodiscard]] std::shared_ptr<const fleet::account>
  find(std::string_view Key) const;

private:
  std::shared_ptr<const fleet::account_set> Held;
  /// The keys and names point into Held.
  absl::flat_hash_map<std::string_view, const fleet::account *> ByKey;
  absl::flat_hash_set<std::string_view> PublicRoutes;
};

} // namespace fulmar::accounts

#endif // FULMAR_ACCOUNTS_ACCOUNTDIRECTORY_H

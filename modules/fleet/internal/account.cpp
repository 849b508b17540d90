// Checks and encoding of accounts.

#include "fulmar/fleet/account.h"

#include "fulmar/fleet/fleetpacking.h"

#include <cmath>
#include <map>
#include <set>

namespace fulmar::fleet {

namespace {

base::error accountError(std::string Message) {
  return {base::error_kind::InvalidDocument, std::move(Message)};
}

/// A limit of a quota: zero for none, never negative or infinite.
bool isLimit(double Value) { return std::isfinite(Value) && Value >= 0; }

/// Control characters would end or split the header that names the account.
bool isHeaderValue(const std::string &Text) {
  constexpr char FirstPrintable = ' ';
  constexpr char Delete = '\x7f';
  for (const char Character : Text) {
    if ((Character >= 0 && Character < FirstPrintable) || Character == Delete)
      return false;
  }
  return Text.front() != ' ' && Text.back() != ' ';
}

} // namespace

base::result<void> checkAccounts(const account_set &Accounts) {
  std::set<std::string> Names;
  std::map<std::string, std::string> OwnerOfKey;
  for (const account &Account : Accounts.Accounts) {
    if (Account.Name.empty())
      return accountError("an account has no name");
    if (!isHeaderValue(Account.Name))
      return accountError("an account's name is not printable");
    if (!Names.insert(Account.Name).second)
      return accountError("two accounts are named '" + Account.Name + "'");
    if (!isLimit(Account.RequestsPerSecond) || !isLimit(Account.Burst))
      return accountError("account '" + Account.Name +
                          "' has a rate or burst that is no limit");
    for (const std::string &Key : Account.Keys) {
      if (Key.empty())
        return accountError("account '" + Account.Name + "' has an empty key");
      const auto [Owner, Added] = OwnerOfKey.emplace(Key, Account.Name);
      if (!Added && Owner->second != Account.Name)
        return accountError("accounts '" + Owner->second + "' and '" +
                            Account.Name + "' share a key");
    }
  }
  return base::success();
}

std::string encodeAccounts(const account_set &Accounts) {
  return claims::packValue(Accounts);
}

base::result<account_set> decodeAccounts(std::string_view Bytes) {
  return claims::unpackValue<account_set>(Bytes);
}

} // namespace fulmar::fleet

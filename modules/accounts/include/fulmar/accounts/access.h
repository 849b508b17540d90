// Whether a request may run, by its key.
//
// Answers callers whose keys are added and taken away while entries lag behind,
// stand still or are cut off: a key that is known runs only while the view is
// proved to be recent where revocation is strict, and a key that is not known
// is called unknown only by a view that is proved to be recent.

#ifndef FULMAR_ACCOUNTS_ACCESS_H
#define FULMAR_ACCOUNTS_ACCESS_H

#include "fulmar/accounts/accountdirectory.h"
#include "fulmar/base/time.h"

#include <memory>
#include <optional>
#include <string_view>

namespace fulmar::accounts {

struct access_options {
  /// No request runs under a key longer than RevokeLimit after the key was
  /// taken away, at any entry.
  bool StrictRevocation = false;
  base::duration RevokeLimit = std::chrono::seconds(5);
};

struct access_request {
  /// Value of the Authorization header; empty if there is none.
  std::string_view Authorization;
  std::string_view Route;
  /// Read after the head of the request.
  base::instant Now{};
  /// See view_proof::provedAt().
  std::optional<base::instant> ProvedAt;
};

enum class access_outcome : std::uint8_t {
  /// Accounts are not in use: headers are passed on as they are.
  NotRequired,
  /// The request runs under Account.
  Granted,
  /// The route is public and the request runs without an account.
  Anonymous,
  UnknownKey,
  /// The view is too old to tell. The request has not run.
  Unproved,
};

struct access_decision {
  access_outcome Outcome = access_outcome::NotRequired;
  std::shared_ptr<const fleet::account> Account;
};

/// Returns the key of an Authorization header with the scheme Bearer; empty if
/// it has another form.
std::string_view bearerKey(std::string_view Authorization);

access_decision decideAccess(const account_directory &Directory,
                             const access_options &Options,
                             const access_request &Request);

} // namespace fulmar::accounts

#endif // FULMAR_ACCOUNTS_ACCESS_H

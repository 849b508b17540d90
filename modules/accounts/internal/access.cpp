// Order of the checks of a key.

#include "fulmar/accounts/access.h"

#include <boost/algorithm/string/predicate.hpp>

namespace fulmar::accounts {

namespace {

/// Part of the limit that is kept for clocks that run at different speeds.
constexpr int SafetyDivisor = 20;
/// A key may be called unknown by a view that was proved this recently: changes
/// are in force two seconds after their acknowledgement, and the request has
/// been on its way before.
constexpr base::duration MaxAgeOfUnknown = std::chrono::milliseconds(1'500);

bool provedWithin(const access_request &Request, base::duration Limit) {
  return Request.ProvedAt && Request.Now - *Request.ProvedAt < Limit;
}

} // namespace

std::string_view bearerKey(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (!boost::algorithm::istarts_with(Authorization, Scheme))
    return {};
  std::string_view Key = Authorization.substr(Scheme.size());
  Key.remove_prefix(std::min(Key.find_first_not_of(' '), Key.size()));
  return Key.substr(0, Key.find_last_not_of(' ') + 1);
}

access_decision decideAccess(const account_directory &Directory,
                             const access_options &Options,
                             const access_request &Request) {
  if (!Directory.required())
    return {};
  const bool Public = Directory.isPublic(Request.Route);
  const auto Account = Directory.find(bearerKey(Request.Authorization));
  if (!Account) {
    if (Public)
      return {.Outcome = access_outcome::Anonymous};
    return {.Outcome = provedWithin(Request, MaxAgeOfUnknown)
                           ? access_outcome::UnknownKey
                           : access_outcome::Unproved};
  }
  const base::duration Limit =
      Options.RevokeLimit - Options.RevokeLimit / SafetyDivisor;
  if (Options.StrictRevocation && !provedWithin(Request, Limit))
    return {.Outcome = access_outcome::Unproved};
  return {.Outcome = access_outcome::Granted, .Account = Account};
}

} // namespace fulmar::accounts

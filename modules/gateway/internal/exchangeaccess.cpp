// Keys and accounts of an exchange's request.

#include "internal/exchange.h"

namespace fulmar::gateway {

namespace {

using accounts::access_outcome;

std::string_view nameOf(access_outcome Outcome) {
  switch (Outcome) {
  case access_outcome::NotRequired:
    return "not-required";
  case access_outcome::Granted:
    return "granted";
  case access_outcome::Anonymous:
    return "anonymous";
  case access_outcome::UnknownKey:
    return "unknown-key";
  case access_outcome::Unproved:
    return "unproved";
  }
  return "unknown";
}

} // namespace

bool exchange::checkAccess() {
  // The time is read here, not when the head arrived: an entry that stood still
  // in between must not take its proof for recent.
  Access = accounts::decideAccess(
      State.Accounts, State.Options.Access,
      {.Authorization = headerOf(Request.Fields, "Authorization"),
       .Route = Route->Name,
       .Now = State.Loop.now(),
       .ProvedAt = State.ProvedAt});
  if (Access.Outcome == access_outcome::NotRequired)
    return true;
  State.Metrics
      .counterOf("fulmar_access_decisions_total",
                 "outcome=\"" + std::string(nameOf(Access.Outcome)) + "\"")
      .add();
  if (Access.Outcome == access_outcome::UnknownKey) {
    fail({base::error_kind::UnknownKey, "no account has the request's key"});
    return false;
  }
  if (Access.Outcome == access_outcome::Unproved) {
    // Another entry may have a recent view.
    TryElsewhere = true;
    fail({base::error_kind::UnprovedKey,
          "the accounts known here may be outdated"});
    return false;
  }
  return true;
}

bool exchange::isOwnHeader(std::string_view Name, bool ToEntry) const {
  const header_names &Names = State.Options.HeaderNames;
  const bool Always = equalsIgnoringCase(Name, Names.Deadline) ||
                      equalsIgnoringCase(Name, Names.ExpectedTarget) ||
                      equalsIgnoringCase(Name, RelayRequestHeader) ||
                      equalsIgnoringCase(Name, "Content-Length") ||
                      equalsIgnoringCase(Name, "Expect");
  if (Always || Access.Outcome == access_outcome::NotRequired)
    return Always;
  // Another entry checks the key for itself; targets never get it.
  return equalsIgnoringCase(Name, Names.Account) ||
         (!ToEntry && equalsIgnoringCase(Name, "Authorization"));
}

} // namespace fulmar::gateway

// Keys and accounts of an exchange's request.

#include "internal/exchange.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

using accounts::access_outcome;

/// A request waits for this part of its objective for an instance that grants
/// quotas: then it can still be on time.
constexpr int HolderWaitDivisor = 4;

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

void exchange::awaitToken() {
  // The first entry has taken the token of a request that it passed on.
  const bool Needed = Access.Account && Access.Account->hasQuota() &&
                      !Request.Relay && State.Options.AskForTokens;
  if (!Needed)
    return place();
  const base::instant Now = State.Loop.now();
  const base::duration Patience = std::min<base::duration>(
      std::chrono::milliseconds(Route->ObjectiveMs) / HolderWaitDivisor,
      Deadline - Now);
  const std::uint64_t Ticket = State.Quotas.ask(
      Access.Account->Name, Now + Patience,
      [Self = weak_from_this()](const allotment::token_answer &Answer) {
        if (const auto Exchange = Self.lock())
          Exchange->onToken(Answer);
      });
  if (OnDone && !TokenExpiresAt)
    TokenTicket = Ticket;
}

void exchange::onToken(const allotment::token_answer &Answer) {
  TokenTicket.reset();
  if (!OnDone)
    return;
  switch (Answer.Outcome) {
  case allotment::token_outcome::Granted:
    TokenExpiresAt = Answer.ExpiresAt;
    return place();
  case allotment::token_outcome::Exceeded:
    QuotaRetryAfter = Answer.RetryAfter;
    return fail(
        {base::error_kind::QuotaExceeded,
         "the quota of account '" + Access.Account->Name + "' is used up"});
  case allotment::token_outcome::NoHolder:
    return fail({base::error_kind::NoQuotaHolder,
                 "no instance grants the quota of account '" +
                     Access.Account->Name + "'"});
  }
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

#include "shareledger.h"

#include "fulmar/base/rendezvous.h"

#include "sharedivider.h"

#include <algorithm>
#include <utility>

namespace fulmar::directory {

namespace {

/// An entry that has not reported for this many grant validity periods has no
/// claim to a share any more.
constexpr int ClaimValidityGrants = 2;

} // namespace

share_ledger::share_ledger(const share_ledger_options &Given,
                           std::string TargetId)
    : Options(Given), Target(std::move(TargetId)) {}

void share_ledger::onReport(const std::string &Entry,
                            const share_report &Report, base::instant Now) {
  const auto [Found, Created] = Accounts.try_emplace(Entry);
  account &Account = Found->second;
  if (Created)
    Account.TieBreak = base::rendezvousWeight(Target, Entry);
  Account.InFlight = Report.InFlight;
  Account.Wanted = Report.Wanted;
  Account.HeardAt = Now;
  std::erase_if(Account.Issued, [&](const issued_grant &Grant) {
    return Grant.Sequence < Report.Applied ||
           Grant.SentAt + Options.Permission.Grant <= Report.SentAt;
  });
}

std::uint32_t share_ledger::committedOf(const account &Account,
                                        base::instant Now) const {
  std::uint32_t Committed = Account.InFlight;
  for (const issued_grant &Grant : Account.Issued)
    Committed = std::max(Committed, Grant.Granted);
  const base::duration Bound = Options.Permission.Permission;
  const base::duration SilentFor = Now - Account.HeardAt;
  if (SilentFor <= Bound)
    return Committed;
  // An entry that stopped reporting starts no new requests, and those in flight
  // complete over time, so its commitment decreases linearly.
  const base::duration Remaining =
      std::max(2 * Bound - SilentFor, base::duration(0));
  const auto Share =
      std::uint64_t{Committed} * static_cast<std::uint64_t>(Remaining.count());
  const auto Whole = static_cast<std::uint64_t>(Bound.count());
  return static_cast<std::uint32_t>((Share + Whole - 1) / Whole);
}

std::uint64_t share_ledger::committedExcept(const std::string &Entry,
                                            base::instant Now) const {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Account] : Accounts) {
    if (Name != Entry)
      Sum += committedOf(Account, Now);
  }
  return Sum;
}

std::uint64_t share_ledger::committed(base::instant Now) const {
  return committedExcept("", Now);
}

std::uint64_t share_ledger::reported(base::instant Since) const {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Account] : Accounts) {
    if (Account.HeardAt > Since)
      Sum += Account.InFlight;
  }
  return Sum;
}

bool share_ledger::hasClaim(const account &Account, base::instant Now) const {
  return Account.Wanted.has_value() &&
         Now - Account.HeardAt <=
             ClaimValidityGrants * Options.Permission.Grant;
}

std::uint32_t share_ledger::entitledTo(account &Own, std::uint32_t Capacity,
                                       std::uint32_t Free, base::instant Now) {
  std::vector<share_claim> Claims;
  Claims.reserve(Accounts.size());
  std::size_t Asking = 0;
  double LowestPass = Own.Pass;
  for (const auto &[Name, Account] : Accounts) {
    if (!hasClaim(Account, Now))
      continue;
    if (&Account == &Own)
      Asking = Claims.size();
    Claims.push_back({.Weight = claimWeight(*Account.Wanted),
                      .Pass = Account.Pass,
                      .TieBreak = Account.TieBreak,
                      .InTurn = Now < Account.TurnUntil});
    LowestPass = std::min(LowestPass, Account.Pass);
  }
  const entitlement Entitled = entitlementOf(Claims, Asking, Capacity);
  if (!Entitled.Turn || Free <= Entitled.Base)
    return std::min(Entitled.Base, Free);
  if (!Claims[Asking].InTurn) {
    Own.TurnUntil = Now + Options.Permission.Grant;
    Own.Pass += 1.0 / Claims[Asking].Weight;
  }
  return Entitled.Base + 1;
}

std::uint32_t share_ledger::grant(const std::string &Entry,
                                  const share_report &Report,
                                  std::uint32_t Capacity, base::instant Now) {
  const std::uint64_t Others = committedExcept(Entry, Now);
  if (Others >= Capacity)
    return 0;
  account &Own = Accounts.at(Entry);
  const auto Free = static_cast<std::uint32_t>(Capacity - Others);
  const std::uint32_t Granted = entitledTo(Own, Capacity, Free, Now);
  if (Granted == 0)
    return 0;
  Own.Issued.push_back({.Sequence = Report.Sequence,
                        .SentAt = Report.SentAt,
                        .Granted = Granted});
  GrantsExpireAt = std::max(GrantsExpireAt, Now + Options.Permission.Grant +
                                                Options.GrantMargin);
  return Granted;
}

void share_ledger::eraseVanished(base::instant Now) {
  std::erase_if(Accounts, [&](const auto &Named) {
    return Now - Named.second.HeardAt > 2 * Options.Permission.Permission;
  });
}

} // namespace fulmar::directory

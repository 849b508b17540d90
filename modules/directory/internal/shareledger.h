// Accounts for the requests that each entry may have in flight at one target,
// even if messages are lost, delayed or duplicated.
//
// An entry's commitment is the larger of its last reported count and of every
// grant that it may have used since it sent that report. A grant is removed
// from the account only when a report shows that the entry has replaced it, or
// was sent after the grant expired by the entry's own clock. The sum of
// commitments is therefore at least the number of requests in flight, except
// for those that an entry still runs more than the permission time after its
// last report.

#ifndef FULMAR_DIRECTORY_INTERNAL_SHARELEDGER_H
#define FULMAR_DIRECTORY_INTERNAL_SHARELEDGER_H

#include "fulmar/directory/directorytypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::directory {

struct share_ledger_options {
  permission_policy Permission;
  base::duration GrantMargin{};
};

/// An entry's report about the target.
struct share_report {
  std::uint64_t Sequence = 0;
  std::uint64_t Applied = 0;
  /// Time on the entry's clock.
  base::duration SentAt{};
  std::uint32_t InFlight = 0;
  /// Empty if the entry does not use the target's service.
  std::optional<std::uint32_t> Wanted;
};

class share_ledger {
public:
  share_ledger(const share_ledger_options &Given, std::string TargetId);

  /// Applies a report that is newer than the entry's previous one.
  void onReport(const std::string &Entry, const share_report &Report,
                base::instant Now);

  /// Grants a share of \p Capacity in answer to \p Report and returns it.
  /// Afterwards the sum of commitments does not exceed the capacity, unless it
  /// already did before.
  std::uint32_t grant(const std::string &Entry, const share_report &Report,
                      std::uint32_t Capacity, base::instant Now);

  /// Returns the number of requests that entries may have in flight now.
  [[nodiscard]] std::uint64_t committed(base::instant Now) const;
  /// Returns the sum of the counts that entries reported after \p Since.
  [[nodiscard]] std::uint64_t reported(base::instant Since) const;
  /// Returns the latest time at which a grant may still be valid.
  [[nodiscard]] base::instant grantsExpireAt() const { return GrantsExpireAt; }
  /// Returns whether the entry has an account, so that its next report must be
  /// applied.
  [[nodiscard]] bool hasAccount(const std::string &Entry) const {
    return Accounts.contains(Entry);
  }

  /// Erases the accounts of entries that have stopped reporting.
  void eraseVanished(base::instant Now);

private:
  struct issued_grant {
    std::uint64_t Sequence = 0;
    base::duration SentAt{};
    std::uint32_t Granted = 0;
  };
  struct account {
    std::uint32_t InFlight = 0;
    /// Grants that may have been used since the last report was sent.
    std::vector<issued_grant> Issued;
    std::optional<std::uint32_t> Wanted;
    base::instant HeardAt{};
    double Pass = 0;
    std::uint64_t TieBreak = 0;
    base::instant TurnUntil{};
  };

  [[nodiscard]] std::uint32_t committedOf(const account &Account,
                                          base::instant Now) const;
  [[nodiscard]] std::uint64_t committedExcept(const std::string &Entry,
                                              base::instant Now) const;
  [[nodiscard]] bool hasClaim(const account &Account, base::instant Now) const;
  /// Returns the share to which \p Own is entitled, starting a turn if \p Free
  /// allows it.
  std::uint32_t entitledTo(account &Own, std::uint32_t Capacity,
                           std::uint32_t Free, base::instant Now);

  share_ledger_options Options;
  std::string Target;
  std::map<std::string, account> Accounts;
  base::instant GrantsExpireAt{};
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_SHARELEDGER_H

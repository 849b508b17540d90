// The state machine that the control instances replicate: the configuration
// document and its history, data centres, members, targets, the routing plan,
// claims and crash reports. It is deterministic: its only clock is the time
// stamp in each command.

#ifndef FULMAR_CONTROLSTATE_CONTROLSTATE_H
#define FULMAR_CONTROLSTATE_CONTROLSTATE_H

#include "fulmar/claims/claimtable.h"
#include "fulmar/consensus/istatemachine.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/crashtable.h"
#include "fulmar/controlstate/datacentretable.h"
#include "fulmar/controlstate/editlog.h"
#include "fulmar/controlstate/membertable.h"
#include "fulmar/controlstate/plantable.h"
#include "fulmar/controlstate/replies.h"
#include "fulmar/controlstate/targettable.h"
#include "fulmar/document/controlpolicy.h"
#include "fulmar/fleet/account.h"
#include "fulmar/fleet/routingplan.h"
#include "fulmar/publication/publisheditems.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::controlstate {

/// Limits how far one command advances the replicated clock. Without it, a jump
/// of one leader's wall clock would expire all retained data at once.
inline constexpr std::int64_t MaxClockStepMs = 60'000;

/// Creates the proof that the leader puts into a command in place of \p Token.
/// Hashing takes milliseconds, so do not call this from the task that drives
/// the log.
token_proof makeTokenProof(std::string_view Token, const std::string &Section,
                           const std::string &RequiredHash);

/// Reads the accounts from the document of a plan. Must depend on the document
/// alone, because every instance reads it for itself.
using accounts_reader =
    std::function<base::result<fleet::account_set>(const std::string &)>;

/// Not thread-safe; owned by the task that drives the log.
class control_state final : public consensus::istate_machine {
public:
  std::string apply(consensus::log_index Index,
                    std::string_view Command) override;
  [[nodiscard]] std::string snapshot() const override;
  base::result<void> restore(std::string_view Snapshot) override;

  /// The encoded reply to a numbered operation that is known to come too late,
  /// for the leader, which need not append it then. Empty for all other
  /// commands. Instances of any version apply such an operation without effect
  /// unless an operation with an id of its own came in between, which only this
  /// tells.
  [[nodiscard]] std::optional<std::string>
  outdatedReply(std::string_view Command) const;

  /// Whether the command is an operation on a data centre with an id of its
  /// own. Control instances of an earlier version send their operators' orders
  /// so.
  [[nodiscard]] static bool isUnnumberedOperation(std::string_view Command);

  /// Like apply(), but takes and returns decoded values.
  reply applyCommand(consensus::log_index Index, const command &Command);

  /// Publishes the accounts of each plan. Without a reader, plans have none.
  void setAccountsReader(accounts_reader Chosen) {
    ReadAccounts = std::move(Chosen);
  }

  [[nodiscard]] const edit_log &edits() const { return Edits; }
  [[nodiscard]] const data_centre_table &dataCentres() const {
    return DataCentres;
  }
  [[nodiscard]] const member_table &members() const { return Members; }
  [[nodiscard]] const plan_table &plan() const { return Plan; }
  [[nodiscard]] const target_table &targets() const { return Targets; }
  [[nodiscard]] const publication::published_items &published() const {
    return Published;
  }
  [[nodiscard]] const document::control_policy &policy() const {
    return Policy;
  }
  [[nodiscard]] std::int64_t nowMs() const { return NowMs; }

  /// Hash of the token required to edit a section; empty if no token allows it.
  /// Owner sections require the administrator's token, whose hash comes from
  /// the leader's settings.
  [[nodiscard]] std::string
  requiredHash(const std::string &Section, const std::string &Content,
               const std::string &AdministratorHash) const;
  /// Hash of the token required to operate on a data centre; empty if no token
  /// allows it.
  [[nodiscard]] std::string
  requiredHashOfDataCentre(const std::string &Name) const;

  /// Look up the required hash and create the proof. Only for callers that may
  /// block while the token is hashed.
  [[nodiscard]] token_proof
  makeEditProof(const std::string &Section, const std::string &Content,
                std::string_view Token,
                const std::string &AdministratorHash) const;
  [[nodiscard]] token_proof makeDataCentreProof(const std::string &Name,
                                                std::string_view Token) const;

private:
  reply applyBody(const edit_command &Edit);
  reply applyBody(const data_centre_command &Operation);
  reply applyBody(const member_report_command &Join);
  reply applyBody(const member_expired_command &Expiry);
  reply applyBody(const claim_command &Claim);
  reply applyBody(const settle_claim_command &Settle);
  reply applyBody(const crash_command &Crash);
  reply applyBody(const request_answered_command &Answer);
  reply applyBody(const advance_clock_command &Advance);
  reply applyBody(const plan_command &Replacement);
  reply applyBody(const target_report_command &Reported);
  reply applyBody(const target_left_command &Departure);
  reply applyBody(const target_expired_command &Expiry);

  void advanceClock(std::int64_t WallMs);
  void reloadPolicy();

  void publishSection(const std::string &Section);
  void publishDataCentre(const std::string &Name);
  void publishMember(const std::string &Id);
  void publishQuarantines();
  void publishTarget(const std::string &Id);
  void publishPlan(fleet::routing_plan NewPlan);
  /// Publishes the accounts of the current plan as a change made by \p Serial.
  void publishAccounts(publication::serial Serial);

  /// Hash of the team's current token; empty if there is no such team.
  [[nodiscard]] std::string teamTokenHash(const std::string &Team) const;
  [[nodiscard]] bool matchesTeamToken(const std::string &Team,
                                      const token_proof &Proof) const;
  /// The error reply if the token does not allow \p Operation; empty if it
  /// does.
  [[nodiscard]] std::optional<reply>
  authorizationFailure(const data_centre_command &Operation) const;
  [[nodiscard]] bool mayEdit(const edit_command &Edit) const;

  /// Log index of the command that is being applied or was applied last.
  consensus::log_index Index = 0;
  /// The replicated clock, which never goes back.
  std::int64_t NowMs = 0;
  edit_log Edits;
  data_centre_table DataCentres;
  member_table Members;
  claims::claim_table Claims;
  crash_table Crashes;
  plan_table Plan;
  target_table Targets;
  /// The tables above as published to the entries; updated by each command.
  publication::published_items Published;
  /// Parsed from the section policy.control; the defaults if it is absent.
  document::control_policy Policy;
  accounts_reader ReadAccounts;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_CONTROLSTATE_H

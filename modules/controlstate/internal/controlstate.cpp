// Validates commands and applies them to the tables.

#include "fulmar/controlstate/controlstate.h"

#include "fulmar/claims/holder.h"
#include "fulmar/document/token.h"

#include <algorithm>
#include <cctype>

namespace fulmar::controlstate {

namespace {

constexpr std::size_t MaxNameBytes = 128;
/// Operations on data centres are shorter: four names and a token's hash.
constexpr std::size_t MaxOperationBytes = 1'024;

/// Valid names have 1 to MaxNameBytes bytes and no control characters.
bool isValidName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return std::iscntrl(Letter) != 0;
         });
}

std::string nameRequirement(const std::string &What) {
  return What + " must have 1 to " + std::to_string(MaxNameBytes) +
         " printable characters";
}

claims::claim_limits claimLimitsOf(const document::control_policy &Policy) {
  constexpr std::size_t Kilobyte = 1024;
  const auto Bytes = [](std::int64_t Kilobytes) {
    return static_cast<std::size_t>(Kilobytes) * Kilobyte;
  };
  return {.RetentionMs = Policy.ClaimRetention.count(),
          .MaxCount = static_cast<std::size_t>(Policy.ClaimMaxCount),
          .MaxBytes = Bytes(Policy.ClaimMaxKilobytes),
          .MaxAnswerBytes = Bytes(Policy.ClaimMaxAnswerKilobytes)};
}

crash_rules crashRulesOf(const document::control_policy &Policy) {
  return {.WindowMs = Policy.CrashWindow.count(),
          .QuarantineMs = Policy.Quarantine.count(),
          .SickTargetRequests =
              static_cast<std::size_t>(Policy.SickTargetRequests)};
}

/// Empty if the command is none.
std::optional<data_centre_command> operationIn(std::string_view Command) {
  if (Command.size() > MaxOperationBytes)
    return std::nullopt;
  auto Decoded = decodeCommand(Command);
  auto *Operation =
      Decoded ? std::get_if<data_centre_command>(&Decoded.value().Body)
              : nullptr;
  if (Operation == nullptr)
    return std::nullopt;
  return std::move(*Operation);
}

reply errorReply(base::error_kind Kind, std::string Message) {
  return error_reply{{Kind, std::move(Message)}};
}

edit_reply refusedEditReply(std::string Message) {
  return {.Outcome = edit_outcome::Refused, .Message = std::move(Message)};
}

} // namespace

std::string control_state::apply(consensus::log_index Position,
                                 std::string_view Command) {
  const auto Decoded = decodeCommand(Command);
  if (!Decoded)
    return encodeReply(error_reply{Decoded.error()});
  return encodeReply(applyCommand(Position, Decoded.value()));
}

std::optional<std::string>
control_state::outdatedReply(std::string_view Command) const {
  const auto Operation = operationIn(Command);
  const auto Number = Operation ? operationNumber(*Operation) : std::nullopt;
  if (!Number || *Number >= DataCentres.operationsOf(Operation->Name))
    return std::nullopt;
  return encodeReply(errorReply(base::error_kind::Conflict,
                                "operation " + Operation->OperationId +
                                    " was overtaken by another one"));
}

bool control_state::isUnnumberedOperation(std::string_view Command) {
  const auto Operation = operationIn(Command);
  return Operation && !operationNumber(*Operation);
}

reply control_state::applyCommand(consensus::log_index Position,
                                  const command &Command) {
  Index = Position;
  advanceClock(Command.WallMs);
  return std::visit([this](const auto &Body) { return applyBody(Body); },
                    Command.Body);
}

void control_state::advanceClock(std::int64_t WallMs) {
  if (NowMs == 0)
    NowMs = WallMs;
  NowMs = std::clamp(WallMs, NowMs, NowMs + MaxClockStepMs);
  Claims.advance(NowMs);
  if (Crashes.advance(NowMs, crashRulesOf(Policy)))
    publishQuarantines();
}

reply control_state::applyBody(const edit_command &Edit) {
  if (!isValidName(Edit.Author))
    return refusedEditReply(nameRequirement("the author"));
  if (const auto Answer = Edits.replyByNumber(Edit))
    return *Answer;
  if (const auto Refusal = Edits.validationFailure(Edit))
    return *Refusal;
  if (!mayEdit(Edit))
    return errorReply(base::error_kind::Unauthorized,
                      "the token is not that of the section's owner");
  const edit_reply Reply = Edits.accept(Index, Edit);
  publishSection(Edit.Section);
  return Reply;
}

reply control_state::applyBody(const data_centre_command &Operation) {
  if (!isValidName(Operation.OperationId) || !isValidName(Operation.Author))
    return errorReply(base::error_kind::BadRequest,
                      nameRequirement("the operation's id and its author"));
  if (const auto Answer = DataCentres.previousReply(Operation)) {
    if (!*Answer)
      return error_reply{Answer->error()};
    return Answer->value();
  }
  if (!Operation.Proof.Administrator) {
    if (const auto Refusal = authorizationFailure(Operation))
      return *Refusal;
  }
  const data_centre_reply Reply = DataCentres.apply(Index, Operation);
  publishDataCentre(Operation.Name);
  return Reply;
}

std::optional<reply> control_state::authorizationFailure(
    const data_centre_command &Operation) const {
  const std::string Section =
      std::string(document::DataCentrePrefix) + Operation.Name;
  if (Edits.currentDocument().find(Section) == nullptr)
    return errorReply(base::error_kind::NotFound,
                      "the document has no section " + Section);
  if (!matchesTeamToken(Edits.currentDocument().ownerOf(Section),
                        Operation.Proof))
    return errorReply(base::error_kind::Unauthorized,
                      "the token is not that of the data centre's owner");
  return std::nullopt;
}

reply control_state::applyBody(const member_report_command &Join) {
  const member_report &Report = Join.Report;
  const bool Named = isValidName(Report.Id) &&
                     isValidName(Report.Incarnation) &&
                     Report.Id.find('/') == std::string::npos;
  if (!Named)
    return errorReply(base::error_kind::BadRequest,
                      "a member needs an id without '/' and an incarnation");
  const std::string Replaced = Members.join(Report);
  if (!Replaced.empty())
    Claims.abandonClaims(claims::holderPrefix(Report.Id, Replaced), NowMs);
  publishMember(Report.Id);
  return member_reply{.Epoch = Members.epoch()};
}

reply control_state::applyBody(const member_expired_command &Expiry) {
  if (Members.expire(Expiry.Id, Expiry.Incarnation)) {
    Claims.abandonClaims(claims::holderPrefix(Expiry.Id, Expiry.Incarnation),
                         NowMs);
    publishMember(Expiry.Id);
  }
  return member_reply{.Epoch = Members.epoch()};
}

reply control_state::applyBody(const claim_command &Claim) {
  const auto Holder = claims::parseHolder(Claim.Request.Holder);
  if (!Holder)
    return errorReply(base::error_kind::BadRequest,
                      "the holder is not INSTANCE/INCARNATION/COUNT");
  if (!Members.contains(Holder->Instance, Holder->Incarnation))
    return errorReply(base::error_kind::StaleKnowledge,
                      "the claim's holder is no live member");
  const auto Answer = Claims.claim(Claim.Request, NowMs);
  if (!Answer)
    return error_reply{Answer.error()};
  return claim_reply{.Answer = Answer.value()};
}

reply control_state::applyBody(const settle_claim_command &Settle) {
  const auto Settled =
      Claims.settle(Settle.Request, Settle.End, Settle.Answer, NowMs);
  if (!Settled)
    return error_reply{Settled.error()};
  return success_reply{};
}

reply control_state::applyBody(const crash_command &Crash) {
  if (!isValidName(Crash.Fingerprint) || !isValidName(Crash.Target))
    return errorReply(base::error_kind::BadRequest,
                      nameRequirement("a crash's fingerprint and target"));
  const crash_reply Reply = Crashes.report(Crash, NowMs, crashRulesOf(Policy));
  publishQuarantines();
  return Reply;
}

reply control_state::applyBody(const request_answered_command &Answer) {
  if (!isValidName(Answer.Fingerprint) || Answer.AgeMs < 0)
    return errorReply(base::error_kind::BadRequest,
                      "an answer needs a fingerprint and an age");
  Crashes.recordAnswer(Answer.Fingerprint, NowMs - Answer.AgeMs);
  publishQuarantines();
  return success_reply{};
}

reply control_state::applyBody(const advance_clock_command & /*Advance*/) {
  return success_reply{};
}

reply control_state::applyBody(const plan_command &Replacement) {
  auto Decoded = fleet::decodePlan(Replacement.Plan);
  if (!Decoded)
    return error_reply{Decoded.error()};
  const bool Changed = Plan.replace(Replacement);
  if (Changed) {
    publishPlan(std::move(Decoded).value());
    publishAccounts(Index);
  }
  return plan_reply{.Version = Plan.version(), .Changed = Changed};
}

reply control_state::applyBody(const target_report_command &Reported) {
  const fleet::target_report &Report = Reported.Report;
  if (!isValidName(Report.Id) || Report.Id.find('/') != std::string::npos)
    return errorReply(base::error_kind::BadRequest,
                      "a target needs an id without '/'");
  const auto Changes = Targets.update(Report);
  for (const std::string &Id : Changes)
    publishTarget(Id);
  return target_reply{.Changed = !Changes.empty()};
}

reply control_state::applyBody(const target_left_command &Departure) {
  const bool Changed = Targets.markLeft(Departure.Id, Departure.StartedAtMs);
  if (Changed)
    publishTarget(Departure.Id);
  return target_reply{.Changed = Changed};
}

reply control_state::applyBody(const target_expired_command &Expiry) {
  const bool Changed = Targets.expire(Expiry);
  if (Changed)
    publishTarget(Expiry.Id);
  return target_reply{.Changed = Changed};
}

void control_state::reloadPolicy() {
  const std::string *Content =
      Edits.currentDocument().find(std::string(document::ControlPolicySection));
  Policy = document::control_policy();
  if (Content != nullptr) {
    // Cannot fail: the edit was validated by the same rules.
    if (const auto Parsed = document::parseControlPolicy(*Content))
      Policy = Parsed.value();
  }
  Claims.setLimits(claimLimitsOf(Policy));
}

} // namespace fulmar::controlstate

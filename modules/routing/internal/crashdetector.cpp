// Recording of suspects and confirmation of crashes.

#include "fulmar/routing/crashdetector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmar::routing {

namespace {

/// Time after which an unconfirmed suspicion is dropped.
constexpr base::duration ConfirmationWindow = std::chrono::seconds(10);
/// Time for which a request is not suspected after a response. A frequent
/// request is answered repeatedly, whereas one that has begun to crash targets
/// gets no further responses.
constexpr base::duration AnsweredRetention = std::chrono::seconds(10);
constexpr std::size_t MaxSuspects = 256;
constexpr std::size_t MaxAnswers = 4096;

} // namespace

std::string_view nameOf(suspicion Outcome) {
  switch (Outcome) {
  case suspicion::Suspected:
    return "suspected";
  case suspicion::AnsweredRecently:
    return "answered-lately";
  }
  return "unknown";
}

void crash_detector::answered(std::uint64_t Fingerprint, base::instant Now) {
  const auto IsAnswered = [Fingerprint](const crash_report &Report) {
    return Report.Fingerprint == Fingerprint;
  };
  std::erase_if(Suspects, [&](const suspect &Suspect) {
    return IsAnswered(Suspect.Report);
  });
  std::erase_if(Confirmed, IsAnswered);
  const auto [Place, New] = AnsweredAt.insert_or_assign(Fingerprint, Now);
  if (New)
    Answers.push_back(Fingerprint);
  removeExpired(Now);
}

suspicion crash_detector::broken(const crash_report &Suspect,
                                 base::instant Now) {
  if (answeredRecently(Suspect.Fingerprint, Now))
    return suspicion::AnsweredRecently;
  Suspects.push_back({.Report = Suspect, .Since = Now});
  removeExpired(Now);
  return suspicion::Suspected;
}

void crash_detector::probeAnswered(const base::target_id &Target,
                                   base::instant ProbedAt) {
  std::erase_if(Suspects, [&](const suspect &Suspect) {
    return Suspect.Report.Target == Target && Suspect.Since <= ProbedAt;
  });
}

void crash_detector::unreachable(const base::target_id &Target,
                                 base::instant Now) {
  confirm(Target, Now, "");
}

void crash_detector::incarnationSeen(const base::target_id &Target,
                                     const std::string &Incarnation,
                                     base::instant Now) {
  confirm(Target, Now, Incarnation);
}

void crash_detector::confirm(const base::target_id &Target, base::instant Now,
                             const std::string &Incarnation) {
  removeExpired(Now);
  const auto Matches = [&](const suspect &Suspect) {
    return Suspect.Report.Target == Target &&
           Suspect.Report.Incarnation != Incarnation;
  };
  for (const suspect &Suspect : Suspects)
    if (Matches(Suspect))
      Confirmed.push_back(Suspect.Report);
  std::erase_if(Suspects, Matches);
}

bool crash_detector::suspects(const base::target_id &Target) const {
  return std::any_of(Suspects.begin(), Suspects.end(),
                     [&Target](const suspect &Suspect) {
                       return Suspect.Report.Target == Target;
                     });
}

std::vector<base::target_id> crash_detector::takeDueProbes(base::instant Now) {
  std::set<base::target_id> RecentlyProbed;
  for (const suspect &Suspect : Suspects) {
    if (Suspect.ProbedAt && Now - *Suspect.ProbedAt < ProbeInterval)
      RecentlyProbed.insert(Suspect.Report.Target);
  }
  std::set<base::target_id> Due;
  for (suspect &Suspect : Suspects) {
    if (RecentlyProbed.contains(Suspect.Report.Target))
      continue;
    Suspect.ProbedAt = Now;
    Due.insert(Suspect.Report.Target);
  }
  return {Due.begin(), Due.end()};
}

std::vector<crash_report> crash_detector::takeReports() {
  return std::exchange(Confirmed, {});
}

std::vector<crash_report> crash_detector::takeUnconfirmed() {
  return std::exchange(Unconfirmed, {});
}

std::optional<base::instant>
crash_detector::lastAnswerTime(std::uint64_t Fingerprint) const {
  const auto Found = AnsweredAt.find(Fingerprint);
  return Found == AnsweredAt.end() ? std::nullopt
                                   : std::optional(Found->second);
}

bool crash_detector::answeredRecently(std::uint64_t Fingerprint,
                                      base::instant Now) const {
  const auto Last = lastAnswerTime(Fingerprint);
  return Last && Now - *Last < AnsweredRetention;
}

void crash_detector::removeExpired(base::instant Now) {
  while (!Suspects.empty() &&
         (Suspects.size() > MaxSuspects ||
          Now - Suspects.front().Since >= ConfirmationWindow)) {
    if (Unconfirmed.size() < MaxSuspects)
      Unconfirmed.push_back(Suspects.front().Report);
    Suspects.pop_front();
  }
  while (Answers.size() > MaxAnswers) {
    AnsweredAt.erase(Answers.front());
    Answers.pop_front();
  }
}

} // namespace fulmar::routing

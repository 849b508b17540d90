// Bounded records of questions and proofs.

#include "fulmar/accounts/viewproof.h"

#include <algorithm>
#include <iterator>

namespace fulmar::accounts {

namespace {

/// Questions whose reply is still accepted. Older ones would prove a time that
/// a later reply has passed long ago.
constexpr std::size_t MaxOpenQuestions = 16;
/// Serials for which a proof waits; a view that lags by more has to catch up
/// first.
constexpr std::size_t MaxPendingProofs = 64;

} // namespace

std::uint64_t view_proof::ask(base::instant Now) {
  Asked[++LastNonce] = Now;
  if (Asked.size() > MaxOpenQuestions)
    Asked.erase(Asked.begin());
  return LastNonce;
}

void view_proof::answer(std::uint64_t Nonce, std::uint64_t Latest,
                        base::duration Age) {
  const auto Question = Asked.find(Nonce);
  if (Question == Asked.end() || Age < base::duration())
    return;
  const base::instant Holds = Question->second - Age;
  Asked.erase(Question);
  base::instant &Known = Pending.emplace(Latest, Holds).first->second;
  Known = std::max(Known, Holds);
  if (Pending.size() > MaxPendingProofs)
    Pending.erase(std::prev(Pending.end()));
  applied(Applied);
}

void view_proof::applied(std::uint64_t Serial) {
  Applied = std::max(Applied, Serial);
  while (!Pending.empty() && Pending.begin()->first <= Applied) {
    const base::instant Holds = Pending.begin()->second;
    ProvedAt = ProvedAt ? std::max(*ProvedAt, Holds) : Holds;
    Pending.erase(Pending.begin());
  }
}

} // namespace fulmar::accounts

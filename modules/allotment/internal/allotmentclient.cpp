// Demands of an entry and the holder's answers to them.

#include "fulmar/allotment/allotmentclient.h"

#include <algorithm>
#include <set>

namespace fulmar::allotment {

namespace {

/// A message that is not answered within this time is lost: several round trips
/// between data centres and the processing of a burst.
constexpr base::duration AnswerTimeout = std::chrono::milliseconds(250);
/// Longest time for which a refusal of the holder is taken for the next request
/// too. Another entry may have given up its wait in the meantime.
constexpr base::duration MaxExceeded = std::chrono::milliseconds(100);
constexpr std::size_t MaxSpareTokens = 64;

} // namespace

std::optional<token_answer> allotment_client::ask(token_demand Demand,
                                                  base::instant Now) {
  if (const auto Found = Spare.find(Demand.Account); Found != Spare.end()) {
    auto &Tokens = Found->second;
    while (!Tokens.empty() && Tokens.front() <= Now)
      Tokens.pop_front();
    if (!Tokens.empty()) {
      const base::instant Ends = Tokens.front();
      Tokens.pop_front();
      return token_answer{.Ticket = Demand.Ticket,
                          .Outcome = token_outcome::Granted,
                          .ExpiresAt = Ends};
    }
    Spare.erase(Found);
  }
  if (const auto Found = ExceededUntil.find(Demand.Account);
      Found != ExceededUntil.end()) {
    if (Now < Found->second)
      return token_answer{.Ticket = Demand.Ticket,
                          .Outcome = token_outcome::Exceeded,
                          .RetryAfter = Found->second - Now};
    ExceededUntil.erase(Found);
  }
  Waiting.push_back({.Demand = std::move(Demand)});
  return std::nullopt;
}

void allotment_client::forget(std::uint64_t Ticket) {
  std::erase_if(Waiting, [Ticket](const waiting_demand &Held) {
    return Held.Demand.Ticket == Ticket;
  });
}

void allotment_client::giveBack(const std::string &Account,
                                base::instant ExpiresAt, base::instant Now) {
  if (ExpiresAt <= Now)
    return;
  auto &Tokens = Spare[Account];
  Tokens.insert(std::upper_bound(Tokens.begin(), Tokens.end(), ExpiresAt),
                ExpiresAt);
  if (Tokens.size() > MaxSpareTokens)
    Tokens.pop_front();
}

std::optional<fleetlink::allotment_request>
allotment_client::takeRequest(base::instant Now) {
  fleetlink::allotment_request Request{.Id = LastId + 1};
  std::map<std::string, std::uint32_t> Counts;
  for (waiting_demand &Held : Waiting) {
    if (Held.AskedIn != 0 || Now < Held.AskAgainAt)
      continue;
    Held.AskedIn = Request.Id;
    ++Counts[Held.Demand.Account];
  }
  if (Counts.empty())
    return std::nullopt;
  for (const auto &[Account, Count] : Counts)
    Request.Demands.push_back({.Account = Account, .Count = Count});
  ++LastId;
  Sent[Request.Id] = {.SentAt = Now};
  return Request;
}

std::vector<token_answer>
allotment_client::answer(const fleetlink::allotment_reply &Reply,
                         base::instant Now) {
  std::vector<token_answer> Answers;
  const auto Found = Sent.find(Reply.Id);
  if (Found == Sent.end())
    return Answers;
  const base::instant ExpiresAt = Found->second.SentAt + Lifetime;
  Sent.erase(Found);
  std::map<std::string, fleetlink::allotment_grant> Grants;
  for (const fleetlink::allotment_grant &Grant : Reply.Grants)
    Grants[Grant.Account] = Grant;
  const bool Usable = Now < ExpiresAt;
  for (auto Held = Waiting.begin(); Held != Waiting.end();) {
    if (Held->AskedIn != Reply.Id) {
      ++Held;
      continue;
    }
    Held->AskedIn = 0;
    const auto Grant = Grants.find(Held->Demand.Account);
    if (!Reply.Holder || Grant == Grants.end()) {
      ++Held;
      continue;
    }
    if (Grant->second.Granted > 0) {
      --Grant->second.Granted;
      // An entry that stood still asks again.
      if (!Usable) {
        ++Held;
        continue;
      }
      Answers.push_back({.Ticket = Held->Demand.Ticket,
                         .Outcome = token_outcome::Granted,
                         .ExpiresAt = ExpiresAt});
      Held = Waiting.erase(Held);
      continue;
    }
    const base::duration Wait = std::chrono::milliseconds(
        std::max<std::int64_t>(1, Grant->second.RetryAfterMs));
    if (Grant->second.Starting && Now + Wait < Held->Demand.GivenUpAt) {
      Held->AskAgainAt = Now + Wait;
      ++Held;
      continue;
    }
    if (!Grant->second.Starting)
      ExceededUntil[Held->Demand.Account] = Now + std::min(Wait, MaxExceeded);
    Answers.push_back({.Ticket = Held->Demand.Ticket,
                       .Outcome = Grant->second.Starting
                                      ? token_outcome::NoHolder
                                      : token_outcome::Exceeded,
                       .RetryAfter = Wait});
    Held = Waiting.erase(Held);
  }
  for (const auto &[Account, Grant] : Grants) {
    for (std::uint32_t Left = Usable ? Grant.Granted : 0; Left > 0; --Left)
      giveBack(Account, ExpiresAt, Now);
  }
  return Answers;
}

void allotment_client::holderChanged() {
  Sent.clear();
  for (waiting_demand &Held : Waiting) {
    Held.AskedIn = 0;
    Held.AskAgainAt = {};
  }
}

std::vector<token_answer> allotment_client::expire(base::instant Now) {
  std::vector<token_answer> Answers;
  std::set<std::uint64_t> Lost;
  for (auto Message = Sent.begin(); Message != Sent.end();) {
    if (Now - Message->second.SentAt < AnswerTimeout) {
      ++Message;
      continue;
    }
    Lost.insert(Message->first);
    Message = Sent.erase(Message);
  }
  for (auto Held = Waiting.begin(); Held != Waiting.end();) {
    if (Lost.contains(Held->AskedIn))
      Held->AskedIn = 0;
    if (Now < Held->Demand.GivenUpAt) {
      ++Held;
      continue;
    }
    Answers.push_back({.Ticket = Held->Demand.Ticket});
    Held = Waiting.erase(Held);
  }
  std::erase_if(ExceededUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  return Answers;
}

} // namespace fulmar::allotment

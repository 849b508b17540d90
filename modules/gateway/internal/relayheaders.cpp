#include "internal/relayheaders.h"

#include "internal/httptypes.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fulmar::gateway {

namespace {

constexpr std::array<std::pair<relay_outcome, std::string_view>, 3> Outcomes = {
    {{relay_outcome::Sent, "sent"},
     {relay_outcome::Refused, "refused"},
     {relay_outcome::TryElsewhere, "elsewhere"}}};
/// Older requests have long passed their deadline.
constexpr std::uint64_t MaxAgeMs = 3'600'000;

/// Returns \p Text, or nothing if it can't stand in the list.
std::string plain(const std::string &Text) {
  const bool Fits = std::all_of(Text.begin(), Text.end(), [](char Letter) {
    return Letter > ' ' && Letter <= '~' && Letter != ';';
  });
  return Fits ? Text : std::string();
}

/// Returns the value of "Name=value" in a list separated by semicolons.
std::optional<std::string_view> valueOf(std::string_view List,
                                        std::string_view Name) {
  while (!List.empty()) {
    const auto End = List.find(';');
    const std::string_view Item = List.substr(0, End);
    if (Item.size() > Name.size() && Item.starts_with(Name) &&
        Item[Name.size()] == '=')
      return Item.substr(Name.size() + 1);
    List.remove_prefix(End == std::string_view::npos ? List.size() : End + 1);
  }
  return std::nullopt;
}

} // namespace

std::string formatRelayRequest(const relay_request &Request) {
  return "from=" + plain(Request.From) +
         ";plan=" + std::to_string(Request.PlanVersion) +
         ";service=" + plain(Request.Service) +
         ";age_ms=" + std::to_string(toMilliseconds(Request.Age));
}

std::string formatRelayResult(const relay_result &Result) {
  std::string Text = "outcome=";
  for (const auto &[Outcome, Name] : Outcomes) {
    if (Outcome == Result.Outcome)
      Text += Name;
  }
  if (!Result.TargetKey.empty())
    Text += ";target=" + plain(Result.TargetKey);
  return Text;
}

std::optional<relay_request> parseRelayRequest(std::string_view Text) {
  const auto From = valueOf(Text, "from");
  const auto Service = valueOf(Text, "service");
  const auto Plan = parseWhole(valueOf(Text, "plan").value_or(""));
  const auto AgeMs = parseWhole(valueOf(Text, "age_ms").value_or(""));
  if (!From || !Service || !Plan || !AgeMs || *AgeMs > MaxAgeMs)
    return std::nullopt;
  return relay_request{.From = std::string(*From),
                       .PlanVersion = *Plan,
                       .Service = std::string(*Service),
                       .Age = std::chrono::milliseconds(*AgeMs)};
}

std::optional<relay_result> parseRelayResult(std::string_view Text) {
  const auto Word = valueOf(Text, "outcome");
  for (const auto &[Outcome, Name] : Outcomes) {
    if (Word == Name)
      return relay_result{
          .Outcome = Outcome,
          .TargetKey = std::string(valueOf(Text, "target").value_or(""))};
  }
  return std::nullopt;
}

} // namespace fulmar::gateway

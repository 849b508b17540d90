// Parses the headers by which a target refuses further requests.

#include "internal/targetbackpressure.h"

#include "fulmar/telemetry/log.h"

namespace fulmar::gateway {

namespace {

constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

base::duration parseRetryAfter(const http::fields &Fields) {
  const auto Text = headerOf(Fields, "Retry-After");
  if (Text.empty())
    return {};
  if (const auto Pause = parseSeconds(Text))
    return *Pause;
  constexpr std::size_t MaxLoggedCharacters = 40;
  telemetry::logChange(
      telemetry::log_level::Warning, "gateway", "retry-after-malformed",
      {{"value", std::string(Text.substr(0, MaxLoggedCharacters))}});
  return {};
}

} // namespace

placement::target_backpressure
parseBackpressure(const http::fields &Fields, unsigned Status,
                  std::string_view LeavingHeader) {
  const auto Leaving = headerOf(Fields, LeavingHeader);
  const bool TurnsAway = Status == StatusUnavailable || Status == StatusTooMany;
  return {.Leaving = !Leaving.empty() && Leaving != "0",
          .Pause = TurnsAway ? parseRetryAfter(Fields) : base::duration()};
}

} // namespace fulmar::gateway

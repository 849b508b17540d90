// Parses the headers by which a target refuses further requests.

#include "internal/targetbackpressure.h"

#include "fulmar/telemetry/log.h"

namespace fulmar::gateway {

namespace {

constexpr unsigned StatusTooMany = 429;

void logMalformed(const std::string &Event, std::string_view Value) {
  constexpr std::size_t MaxLoggedCharacters = 40;
  telemetry::logChange(
      telemetry::log_level::Warning, "gateway", Event,
      {{"value", std::string(Value.substr(0, MaxLoggedCharacters))}});
}

base::duration parseRetryAfter(const http::fields &Fields) {
  const auto Text = headerOf(Fields, "Retry-After");
  if (Text.empty())
    return {};
  if (const auto Pause = parseSeconds(Text))
    return *Pause;
  logMalformed("retry-after-malformed", Text);
  return {};
}

} // namespace

placement::target_backpressure parseBackpressure(const http::fields &Fields,
                                                 unsigned Status,
                                                 const header_names &Names) {
  const auto Leaving = headerOf(Fields, Names.Leaving);
  const auto RateLimit = headerOf(Fields, Names.RateLimit);
  const auto Rate = parseDecimal(RateLimit);
  const bool Malformed = !RateLimit.empty() && !Rate;
  if (Malformed)
    logMalformed("rate-limit-malformed", RateLimit);
  const bool TurnsAway = Status == StatusUnavailable || Status == StatusTooMany;
  return {.Leaving = !Leaving.empty() && Leaving != "0",
          .Pause = TurnsAway ? parseRetryAfter(Fields) : base::duration(),
          .RateLimit = Rate,
          .RateLimitMalformed = Malformed};
}

} // namespace fulmar::gateway

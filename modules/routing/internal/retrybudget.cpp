// Token bucket that is filled by first attempts.

#include "fulmar/routing/retrybudget.h"

#include <algorithm>

namespace fulmar::routing {

void retry_budget::deposit(std::uint32_t Percent) {
  Tokens = std::min(MaxTokens, Tokens + static_cast<double>(Percent) / 100);
}

bool retry_budget::withdraw() {
  if (!available())
    return false;
  Tokens -= 1;
  return true;
}

void retry_budget::refund() { Tokens = std::min(MaxTokens, Tokens + 1); }

} // namespace fulmar::routing

// Budget shared by the retries and hedges of one service.
//
// The budget limits amplification through nested levels of services. A level
// sends at most RetryBudgetPercent marked requests for every hundred unmarked
// requests that it receives, and marked requests are not retried by any level
// below. With p = RetryBudgetPercent / 100, the last of L levels therefore
// receives at most 1 + L * p requests for each request of the caller, for
// example 3.4 with 10 percent and 24 levels, plus MaxTokens once per level.

#ifndef FULMAR_ROUTING_RETRYBUDGET_H
#define FULMAR_ROUTING_RETRYBUDGET_H

#include <cstdint>

namespace fulmar::routing {

/// Header that marks a request as a retry or a hedge, whatever its value.
inline constexpr const char *RetryHeader = "Fulmar-Retry";
/// Response header: the level that gave up has used up its retries.
inline constexpr const char *RetriesExhaustedHeader = "Fulmar-Final";

class retry_budget {
public:
  /// Initial number of tokens and upper limit for saved tokens.
  static constexpr double MaxTokens = 10;

  /// Adds the tokens earned by the first attempt of a request that is not
  /// marked as a retry.
  void deposit(std::uint32_t Percent);
  [[nodiscard]] bool available() const { return Tokens >= 1; }
  /// Takes one token; returns false if there is none.
  bool withdraw();
  /// Returns a withdrawn token that was not used.
  void refund();

private:
  /// Between 0 and MaxTokens.
  double Tokens = MaxTokens;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_RETRYBUDGET_H

// The budget that the retries and hedges of one service share.
//
// Amplification through nested levels. A level sends at most
// RetryBudgetPercent marked requests for each hundred unmarked ones that it
// receives, and marked requests are not sent again by any level below. With
// share p = RetryBudgetPercent / 100 the last of L levels therefore receives
// at most 1 + L * p requests for each request of the caller, plus MaxTokens
// for each level once: 3.4 with 10 percent and 24 levels.

#ifndef FULMAR_ROUTING_RETRYBUDGET_H
#define FULMAR_ROUTING_RETRYBUDGET_H

#include <cstdint>

namespace fulmar::routing {

/// Request header of retries and hedges; any value marks the request.
inline constexpr const char *RetryHeader = "Fulmar-Retry";
/// Answer header: the level that gave up has used its retries.
inline constexpr const char *RetriesExhaustedHeader = "Fulmar-Final";

class retry_budget {
public:
  /// Tokens at the start, and the most that idle times save up.
  static constexpr double MaxTokens = 10;

  /// A first attempt of a request that is not itself marked as a retry.
  void deposit(std::uint32_t Percent);
  [[nodiscard]] bool available() const { return Tokens >= 1; }
  /// Takes one token; false, and none taken, when there is none.
  bool withdraw();
  /// The withdrawn token was not used.
  void refund();

private:
  /// Between 0 and MaxTokens.
  double Tokens = MaxTokens;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_RETRYBUDGET_H

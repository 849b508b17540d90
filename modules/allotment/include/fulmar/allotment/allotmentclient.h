// An entry's side of the limits that hold over all entries: collects the tokens
// that its requests need, asks the holder for them, and keeps those that are
// left over until they expire.
//
// Answers many requests at once (one message asks for all of them), an account
// far beyond its limit (its requests are refused without a message until the
// next token), and a holder that is lost or has just taken over (requests wait
// as long as they can still be on time).

#ifndef FULMAR_ALLOTMENT_ALLOTMENTCLIENT_H
#define FULMAR_ALLOTMENT_ALLOTMENTCLIENT_H

#include "fulmar/base/time.h"
#include "fulmar/fleetlink/linkmessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::allotment {

enum class token_outcome : std::uint8_t {
  Granted,
  /// The holder said that the limit is used up.
  Exceeded,
  /// No holder has answered in time.
  NoHolder,
};

/// A request for one token.
struct token_demand {
  /// Chosen by the caller of ask().
  std::uint64_t Ticket = 0;
  std::string Account;
  /// Until then the request waits for a holder.
  base::instant GivenUpAt{};
};

struct token_answer {
  std::uint64_t Ticket = 0;
  token_outcome Outcome = token_outcome::NoHolder;
  /// Granted: end of the token's life, for giveBack().
  base::instant ExpiresAt{};
  /// Exceeded: time until the next token.
  base::duration RetryAfter{};
};

class allotment_client {
public:
  explicit allotment_client(base::duration TokenLifetime)
      : Lifetime(TokenLifetime) {}

  /// Returns the answer if it is known at once; otherwise it comes from
  /// answer() or expire().
  std::optional<token_answer> ask(token_demand Demand, base::instant Now);
  /// The request of \p Ticket no longer needs its token.
  void forget(std::uint64_t Ticket);
  /// Keeps an unused token for another request of the account.
  void giveBack(const std::string &Account, base::instant ExpiresAt,
                base::instant Now);

  /// Returns the message to send to the holder; empty if nothing is to be asked
  /// for. Call it only if a holder is known.
  std::optional<fleetlink::allotment_request> takeRequest(base::instant Now);
  std::vector<token_answer> answer(const fleetlink::allotment_reply &Reply,
                                   base::instant Now);
  /// Another instance is the holder now: what the one before has not answered
  /// is asked for again.
  void holderChanged();
  /// Answers the demands that have waited too long.
  std::vector<token_answer> expire(base::instant Now);
  [[nodiscard]] bool idle() const { return Waiting.empty(); }

private:
  struct waiting_demand {
    token_demand Demand;
    /// Id of the message that asked for it; 0 if it has to be asked for.
    std::uint64_t AskedIn = 0;
    /// The holder has no token before this time.
    base::instant AskAgainAt{};
  };
  struct sent_request {
    base::instant SentAt{};
  };

  base::duration Lifetime;
  /// In order of arrival.
  std::deque<waiting_demand> Waiting;
  std::map<std::uint64_t, sent_request> Sent;
  std::uint64_t LastId = 0;
  /// Ends of unused tokens by account, the earliest first.
  std::map<std::string, std::deque<base::instant>> Spare;
  /// Accounts without a token before the time.
  std::map<std::string, base::instant> ExceededUntil;
};

} // namespace fulmar::allotment

#endif // FULMAR_ALLOTMENT_ALLOTMENTCLIENT_H

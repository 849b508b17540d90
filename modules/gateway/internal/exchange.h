// One request of a caller, from its arrival to its only answer: looks at
// targets, sends, second sends, and what the caller is told when none of that
// led to an answer.

#ifndef FULMAR_GATEWAY_INTERNAL_EXCHANGE_H
#define FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

#include "fulmar/placement/admission.h"
#include "internal/gatewaystate.h"
#include "internal/look.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

struct front_request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  http::fields Fields;
  shared_body Body;
  /// When the head was complete: callers count their time from there, not from
  /// the end of a long body.
  base::instant ArrivedAt{};
};

struct front_answer {
  unsigned Status = 503;
  std::string Reason;
  /// Header lines, without those that concern the connection or the length.
  std::string Headers;
  std::string Body;
  /// For an answer to HEAD: the length that GET would have.
  std::string ContentLength;
  /// False: Body is a first part, the exchange has the rest.
  bool Whole = true;
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
  using handler = std::function<void(front_answer)>;

  exchange(gateway_state &Owner, front_request Arrived);

  /// Calls \p Done once, now or later, unless cancelled.
  void start(handler Done);
  /// After an answer that is not whole: the next part of it, or the error that
  /// ended it. Not called after cancel().
  void readPiece(target_channel::piece_handler Done);
  /// The caller has gone: work at targets is cancelled.
  void cancel();
  /// This instance ends: the caller gets a final answer now, or the end of one
  /// that is being passed on.
  void expire();
  /// While it waits: a slot at \p Target has become free.
  void targetFreed(const std::string &Target);

private:
  struct attempt {
    std::string Target;
    channel_ptr Channel;
    base::instant SentAt{};
    /// Time expected relative to an idle, undisturbed target.
    double ExpectedFactor = 1;
    /// What the target said of itself just before the send.
    std::string Seen;
    /// How the send ended, for the log.
    std::string Outcome = "open";
    bool Running = true;
  };

  /// Waits a little for a plan, then serves the request.
  void begin();
  bool admit();
  void startRound();
  void lookAt(const std::vector<std::string> &Ids);
  void sendUnseen(std::vector<std::string> Ids);
  void onLook();
  [[nodiscard]] bool isLarge() const;
  [[nodiscard]] std::size_t maxRounds(bool Short) const;
  void decide();
  /// Silence of every target says something of this instance's link, or of a
  /// cut, rather than of their room.
  [[nodiscard]] bool
  mayAwaitLooks(placement::admission_decision Decision) const;
  [[nodiscard]] placement::admission_request admissionRequest() const;
  [[nodiscard]] waiter_key waiterKey() const;
  void wait();
  void onWaited();
  void stopWaiting();
  /// Looks at one target for a request that has waited.
  void poll(const std::string &First);
  void lookAgainLater(placement::admission_decision Decision);
  /// How long no target of the service takes work; empty where none is known
  /// to take any again.
  [[nodiscard]] std::optional<base::duration> closedFor() const;
  /// A target takes work early enough for an answer in time.
  [[nodiscard]] bool mayWait() const;
  [[nodiscard]] look *best() const;
  void send(const std::string &Target, const channel_ptr &Channel,
            const placement::admission_candidate &Offer);
  [[nodiscard]] std::string headFor(const std::string &Target) const;
  void refuseQuarantined();
  void armHedge();
  void hedge();
  /// A second run could not be begun now; it may help later.
  void hedgeLater();
  void onAnswer(std::size_t Index, base::result<target_answer> Result);
  void noteBreak(const std::string &Target);
  void onWhole(std::size_t Index, target_answer Answer);
  void endAttempt(std::size_t Index, routing::attempt_quality Quality);
  void sendAgain();
  [[nodiscard]] bool mayTryAgain() const;
  [[nodiscard]] bool anyRunning() const;
  void onTimeout();

  /// The answer of the attempt \p Index is the caller's.
  void deliver(std::size_t Index, target_answer Answer);
  void deliver(target_answer Answer);
  static front_answer frontAnswer(target_answer Answer);
  void beginStream(std::size_t Index, target_answer Answer);
  void endStream(routing::attempt_quality Quality, std::string_view Why);
  void fail(const base::error &Error);
  /// When a refused caller should come back, from now.
  [[nodiscard]] base::duration returnTime() const;
  void giveUp();
  void finish(front_answer Answer);
  void record(unsigned Status);
  void endWork();
  void dropLooks();
  /// All that run, but for \p Kept.
  void dropAttempts(routing::attempt_quality Quality,
                    std::optional<std::size_t> Kept = std::nullopt);
  void log(unsigned Status, std::string_view Cause) const;
  [[nodiscard]] std::string sendsText() const;

  gateway_state &State;
  front_request Request;
  handler OnDone;
  /// Keeps Route valid.
  std::shared_ptr<const fleet::routing_plan> Plan;
  const fleet::route *Route = nullptr;
  service_ptr Service;
  std::string RequestId;
  /// Same for every resend of the request.
  std::uint64_t Fingerprint = 0;
  bool Idempotent = false;
  base::instant StartedAt{};
  base::instant End{};
  /// Of the route; owned by the gateway's state.
  placement::route_times *Times = nullptr;
  /// When the caller first sent the request, as far as its deadline tells.
  base::instant FirstSentAt{};

  std::vector<std::shared_ptr<look>> Looks;
  std::set<std::string> Seen;
  std::set<std::string> SentTo;
  std::size_t Round = 0;
  /// Waited before; looks at one target at a time, so that the waiting requests
  /// of many entries don't all send to the slot that becomes free.
  bool Polling = false;
  /// Target to look at first in the next round.
  std::string Hint;
  /// No round is left and no look was answered in time; the first answer
  /// counts.
  bool AwaitsAnyLook = false;
  /// Looks are under way, or a pause between them.
  bool Choosing = false;
  std::vector<attempt> Attempts;
  /// Some send may have run at its target.
  bool MayHaveRun = false;
  /// The last send was refused by a target that seemed to have room.
  bool TurnedAway = false;
  /// Why the answer is not a target's; empty when it is.
  std::string Cause;
  base::error LastFailure{base::error_kind::NoTarget, "no target"};
  /// A target's own failure, in case nothing better comes.
  std::unique_ptr<target_answer> OwnFailure;
  /// The attempt whose answer is being passed on piece by piece.
  std::optional<std::size_t> Streaming;
  unsigned StreamStatus = 0;
  target_channel::piece_handler OnPiece;

  eventloop::timer Overall;
  eventloop::timer RoundTimer;
  eventloop::timer HedgeTimer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

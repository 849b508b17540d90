// One request of a caller, from its arrival to its only answer: looks at
// targets, sends, second sends, and what the caller is told when none of that
// led to an answer.

#ifndef FULMAR_GATEWAY_INTERNAL_EXCHANGE_H
#define FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

#include "fulmar/placement/admission.h"
#include "internal/gatewaystate.h"
#include "internal/targetprobe.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

struct caller_request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  http::fields Fields;
  shared_body Body;
  /// When the head was complete: callers count their time from there, not from
  /// the end of a long body.
  base::instant ArrivedAt{};
};

struct caller_response {
  unsigned Status = 503;
  std::string Reason;
  /// Header lines, without those that concern the connection or the length.
  std::string Headers;
  std::string Body;
  /// For an answer to HEAD: the length that GET would have.
  std::string ContentLength;
  /// False: Body is a first part, the exchange has the rest.
  bool Complete = true;
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
  using handler = std::function<void(caller_response)>;

  exchange(gateway_state &Owner, caller_request Received);

  /// Calls \p Done once, now or later, unless cancelled.
  void start(handler Done);
  /// After an answer that is not whole: the next part of it, or the error that
  /// ended it. Not called after cancel().
  void readPiece(target_connection::piece_handler Done);
  /// The caller has gone: work at targets is cancelled.
  void cancel();
  /// This instance ends: the caller gets a final answer now, or the end of one
  /// that is being passed on.
  void expire();
  /// While it waits: a slot at \p Target has become free.
  void onSlotFreed(const std::string &Target);

private:
  struct attempt {
    std::string Target;
    connection_ptr Connection;
    base::instant SentAt{};
    /// Time expected relative to an idle, undisturbed target.
    double ExpectedFactor = 1;
    /// What the target said of itself just before the send.
    std::string LoadAtSend;
    /// How the send ended, for the log.
    std::string Outcome = "open";
    bool Running = true;
  };

  /// Waits a little for a plan, then serves the request.
  void begin();
  bool resolveRoute();
  void startProbeRound();
  void probeTargets(const std::vector<std::string> &Ids);
  void sendWithoutProbe(std::vector<std::string> Ids);
  void onProbeEnd();
  [[nodiscard]] bool isLarge() const;
  [[nodiscard]] std::size_t maxRounds(bool NoCapacity) const;
  void chooseTarget();
  /// Silence of every target says something of this instance's link, or of a
  /// cut, rather than of their room.
  [[nodiscard]] bool mayAwaitProbes(placement::send_decision Decision) const;
  [[nodiscard]] placement::admission_request admissionRequest() const;
  [[nodiscard]] waiter_key waiterKey() const;
  void wait();
  void onWaitTimer();
  void stopWaiting();
  /// Looks at one target for a request that has waited.
  void probeAfterWait(const std::string &First);
  void onNoCapacity(placement::send_decision Decision);
  /// How long no target of the service takes work; empty where none is known
  /// to take any again.
  [[nodiscard]] std::optional<base::duration> timeUntilOpen() const;
  /// A target takes work early enough for an answer in time.
  [[nodiscard]] bool mayWait() const;
  [[nodiscard]] target_probe *bestProbe() const;
  void send(const std::string &Target, const connection_ptr &Connection,
            const placement::admission_offer &Offer);
  [[nodiscard]] std::string requestHead(const std::string &Target) const;
  void refuseQuarantined();
  void armHedge();
  void hedge();
  /// A second run could not be begun now; it may help later.
  void retryHedgeLater();
  void onAttemptEnd(std::size_t Index, base::result<target_response> Result);
  void suspectCrash(const std::string &Target);
  void onResponse(std::size_t Index, target_response Response);
  void endAttempt(std::size_t Index, routing::attempt_quality Quality);
  void retry();
  [[nodiscard]] bool mayRetry() const;
  [[nodiscard]] bool anyRunning() const;
  void onTimeout();

  /// The answer of the attempt \p Index is the caller's.
  void deliver(std::size_t Index, target_response Response);
  void deliver(target_response Response);
  static caller_response toCallerResponse(target_response Response);
  void beginStream(std::size_t Index, target_response Response);
  void endStream(routing::attempt_quality Quality, std::string_view Why);
  void fail(const base::error &Error);
  /// When a refused caller should come back, from now.
  [[nodiscard]] base::duration retryAfter() const;
  void giveUp();
  void finish(caller_response Response);
  void recordOutcome(unsigned Status);
  void stopWork();
  void dropProbes();
  /// All that run, but for \p Kept.
  void cancelAttempts(routing::attempt_quality Quality,
                      std::optional<std::size_t> Kept = std::nullopt);
  void log(unsigned Status, std::string_view FailureCause) const;
  [[nodiscard]] std::string attemptsText() const;

  gateway_state &State;
  caller_request Request;
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
  base::instant Deadline{};
  /// Of the route; owned by the gateway's state.
  placement::route_times *Times = nullptr;
  /// When the caller first sent the request, as far as its deadline tells.
  base::instant FirstSentAt{};

  std::vector<std::shared_ptr<target_probe>> Probes;
  std::set<std::string> Considered;
  std::set<std::string> SentTo;
  std::size_t Round = 0;
  /// Waited before; looks at one target at a time, so that the waiting requests
  /// of many entries don't all send to the slot that becomes free.
  bool AfterWait = false;
  /// Target to look at first in the next round.
  std::string PreferredTarget;
  /// No round is left and no look was answered in time; the first answer
  /// counts.
  bool AwaitsAnyProbe = false;
  /// Looks are under way, or a pause between them.
  bool ChoosingTarget = false;
  std::vector<attempt> Attempts;
  /// Some send may have run at its target.
  bool MayHaveRun = false;
  /// The last send was refused by a target that seemed to have room.
  bool LastAttemptRefused = false;
  /// Why the answer is not a target's; empty when it is.
  std::string FailureCause;
  base::error LastFailure{base::error_kind::NoTarget, "no target"};
  /// A target's own failure, in case nothing better comes.
  std::unique_ptr<target_response> TargetError;
  /// The attempt whose answer is being passed on piece by piece.
  std::optional<std::size_t> StreamingAttempt;
  unsigned StreamStatus = 0;
  target_connection::piece_handler OnPiece;

  eventloop::timer DeadlineTimer;
  eventloop::timer RoundTimer;
  eventloop::timer HedgeTimer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

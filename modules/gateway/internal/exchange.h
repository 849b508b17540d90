// Handles one caller request from its arrival to its only response: probes
// targets, sends attempts, retries and hedges, and produces an error response
// if no attempt succeeds.

#ifndef FULMAR_GATEWAY_INTERNAL_EXCHANGE_H
#define FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

#include "fulmar/placement/admission.h"
#include "internal/gatewaystate.h"
#include "internal/relayheaders.h"
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
  /// When the head was complete. Callers measure their timeout from there, not
  /// from the end of a long body.
  base::instant ArrivedAt{};
  /// Set if another entry has passed the request on.
  std::optional<relay_request> Relay;
  /// The gateway is stopping and might end before the request does.
  bool TooLateToServe = false;
};

struct caller_response {
  unsigned Status = 503;
  std::string Reason;
  /// Header lines, without connection-specific ones and Content-Length.
  std::string Headers;
  std::string Body;
  /// For a response to HEAD: the length that GET would return.
  std::string ContentLength;
  /// False if Body is only the first part; the rest is read by readPiece().
  bool Complete = true;
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
  using handler = std::function<void(caller_response)>;

  exchange(gateway_state &Owner, caller_request Received);

  /// Calls \p Done once, now or later, unless cancelled.
  void start(handler Done);
  /// After an incomplete response: passes the next part, or the error that
  /// ended the response, to \p Done. Not called after cancel().
  void readPiece(target_connection::piece_handler Done);
  /// The caller has disconnected: cancels the attempts at targets.
  void cancel();
  /// The grace period ends: the caller gets an error response now, or a
  /// streamed response is aborted.
  void expire();
  /// Called while the request waits: \p Target has a free slot.
  void onSlotFreed(const std::string &Target);

private:
  struct attempt {
    /// Id of a target, or of the entry to which the request was passed on.
    std::string Target;
    bool Relayed = false;
    /// The entry said, or it is certain, that no target got the request.
    bool NotSent = false;
    connection_ptr Connection;
    base::instant SentAt{};
    /// Expected time relative to that of an idle target at its usual speed.
    double ExpectedFactor = 1;
    /// Load that the target reported just before the attempt.
    std::string LoadAtSend;
    /// How the attempt ended, for the log.
    std::string Outcome = "open";
    bool Running = true;
  };

  /// Waits briefly for a plan if there is none, then serves the request.
  void begin();
  bool resolveRoute();
  /// Decides by the request's key whether it may run; refuses it if not.
  bool checkAccess();
  /// Chooses a target once the account's quota permits the request.
  void awaitToken();
  void onToken(const allotment::token_answer &Answer);
  /// Starts to choose a target, after the requests that precede this one.
  void place();
  [[nodiscard]] bool keepsService(const fleet::route &Found) const;
  void setDeadline();
  void startProbeRound();
  void probeTargets(const std::vector<std::string> &Ids);
  void sendWithoutProbe(std::vector<std::string> Ids);
  void onProbeEnd();
  [[nodiscard]] bool isLarge() const;
  [[nodiscard]] std::size_t maxRounds(bool NoCapacity) const;
  void chooseTarget();
  /// True if probes should be awaited beyond their round. When no target
  /// answers, the cause is more likely this instance's link or a network
  /// partition than the targets' load.
  [[nodiscard]] bool
  mayAwaitProbes(placement::admission_decision Decision) const;
  [[nodiscard]] placement::admission_request admissionRequest() const;
  /// Of the account, or else of the route.
  [[nodiscard]] std::uint32_t priority() const;
  [[nodiscard]] waiter_key waiterKey() const;
  void wait();
  void onWaitTimer();
  void stopWaiting();
  /// Probes one target for a request that has waited; \p First is preferred.
  void probeAfterWait(const std::string &First);
  void onNoCapacity(placement::admission_decision Decision);
  /// Why the request could not be sent at all.
  [[nodiscard]] base::error noCapacityError() const;
  /// Time until a target of the service accepts requests; empty if none is
  /// known to accept any again.
  /// Time until some target accepts requests from \p Sender; empty if none
  /// will.
  [[nodiscard]] std::optional<base::duration>
  timeUntilOpen(placement::request_sender Sender =
                    placement::request_sender::ThisEntry) const;
  /// True if a target accepts requests early enough for a response in time.
  [[nodiscard]] bool mayWait() const;
  [[nodiscard]] target_probe *bestProbe() const;
  void send(const std::string &Target, const connection_ptr &Connection,
            const placement::admission_candidate &Offer);
  /// The request's head with one more header.
  [[nodiscard]] std::string requestHead(std::string_view Name,
                                        std::string_view Value) const;
  /// True if the header concerns only the caller and this system.
  [[nodiscard]] bool isOwnHeader(std::string_view Name, bool ToEntry) const;
  /// Number of attempts in which a target may have got the request.
  [[nodiscard]] std::size_t sentCount() const;
  /// Maximum number of such attempts.
  [[nodiscard]] std::size_t maxAttempts() const;

  /// Called without contact to the service's targets: passes the request on to
  /// another entry, or back if it came from one. Returns false if there is
  /// nobody to pass it on to; the request then stays as it is.
  bool passOn();
  bool relay();
  void onRelayEnd(std::size_t Index, base::result<target_response> Result);
  void onRelayResponse(std::size_t Index, const relay_result &Result,
                       target_response Response);
  /// The entry of the attempt \p Index could not send the request.
  void relayElsewhere(std::size_t Index, std::string_view Outcome);
  void countRelay(std::string_view Outcome) const;
  /// Adds what the first entry must know of a relayed request's response.
  void addRelayResult(caller_response &Response) const;
  void refuseQuarantined();
  void armHedge();
  void hedge();
  /// A hedge could not be sent now; retries it later.
  void retryHedgeLater();
  void onAttemptEnd(std::size_t Index, base::result<target_response> Result);
  void suspectCrash(const std::string &Target);
  void onResponse(std::size_t Index, target_response Response);
  void endAttempt(std::size_t Index, routing::attempt_quality Quality);
  void endPlacement(const attempt &Attempt, routing::attempt_quality Quality);
  void retry();
  [[nodiscard]] bool mayRetry() const;
  [[nodiscard]] bool anyRunning() const;
  void onTimeout();

  /// Responds to the caller with the response of the attempt \p Index.
  void deliver(std::size_t Index, target_response Response);
  void deliver(target_response Response);
  static caller_response toCallerResponse(target_response Response);
  void beginStream(std::size_t Index, target_response Response);
  void endStream(routing::attempt_quality Quality, std::string_view Why);
  void fail(const base::error &Error);
  /// Time after which a refused caller should retry.
  [[nodiscard]] base::duration retryAfter() const;
  void giveUp();
  void finish(caller_response Response);
  void recordOutcome(unsigned Status);
  void stopWork();
  void dropProbes();
  /// Cancels all running attempts except \p Kept.
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
  accounts::access_decision Access;
  /// Of the quota's token while it is awaited.
  std::optional<std::uint64_t> TokenTicket;
  /// End of the token's life until the request is sent.
  std::optional<base::instant> TokenExpiresAt;
  /// Time until the account's quota has a token again.
  base::duration QuotaRetryAfter{};
  std::string RequestId;
  /// Same for every retry of the request.
  std::uint64_t Fingerprint = 0;
  bool Idempotent = false;
  base::instant StartedAt{};
  base::instant Deadline{};
  /// Of the route; owned by the gateway's state.
  placement::route_times *Times = nullptr;
  /// When the caller first sent the request, estimated from its deadline.
  base::instant FirstSentAt{};

  std::vector<std::shared_ptr<target_probe>> Probes;
  std::set<std::string> Considered;
  std::set<std::string> SentTo;
  /// Entries to which the request was passed on.
  std::set<std::string> RelayedTo;
  /// For a relayed request: another entry may be able to send it.
  bool TryElsewhere = false;
  std::size_t Round = 0;
  /// The request has waited for capacity. It then probes one target at a time,
  /// so that the waiting requests of many entries don't all go to the same free
  /// slot.
  bool AfterWait = false;
  /// Target to probe first in the next round.
  std::string PreferredTarget;
  /// All rounds are used and no probe was answered in time; the first response
  /// is taken.
  bool AwaitsAnyProbe = false;
  /// Probes are running, or the request waits before the next ones.
  bool ChoosingTarget = false;
  std::vector<attempt> Attempts;
  /// An attempt may have run at its target.
  bool MayHaveRun = false;
  /// The last attempt was refused by a target that had reported free capacity.
  bool LastAttemptRefused = false;
  /// Why the response is not a target's; empty if it is.
  std::string FailureCause;
  base::error LastFailure{base::error_kind::NoTarget, "no target"};
  /// Signed error response of a target, returned if no later attempt succeeds.
  std::unique_ptr<target_response> TargetError;
  /// Index of the attempt whose response is being streamed.
  std::optional<std::size_t> StreamingAttempt;
  unsigned StreamStatus = 0;
  target_connection::piece_handler OnPiece;

  eventloop::timer DeadlineTimer;
  eventloop::timer RoundTimer;
  eventloop::timer HedgeTimer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_EXCHANGE_H

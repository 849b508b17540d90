// Tries targets for one request, as the router permits, until one answers.

#ifndef FULMAR_PROXY_ATTEMPTRUNNER_H
#define FULMAR_PROXY_ATTEMPTRUNNER_H

#include "bodytransfer.h"
#include "forwardrequest.h"
#include "fulmar/base/result.h"
#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/forwarder.h"
#include "targetexchange.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace fulmar::proxy {

/// How the attempts at a request ended: with an answer, an error, or neither
/// when the caller has gone.
struct run_outcome {
  /// Whole or streaming.
  std::unique_ptr<target_exchange> Winner;
  bool Streaming = false;
  std::optional<base::error> Error;
};

class attempt_runner {
public:
  attempt_runner(const forwarder_options &Settings,
                 forwarder_parts &Collaborators, forward_request &Asked,
                 caller_exchange &From, std::uint64_t MaxUploadBytes);

  run_outcome run();
  /// True when no target ran the request, as far as run() got.
  [[nodiscard]] bool provedNotRun() const;
  /// True when a target was reached, so that no level above should try again.
  [[nodiscard]] bool retriesUsed() const;

private:
  using exchange = std::unique_ptr<target_exchange>;

  /// Begins an attempt; leaves Active unchanged when it fails at once.
  void startAttempt(std::span<const routing::attempt> Earlier);
  bool connect(target_exchange &Exchange);
  void dispatch(exchange Exchange);
  void sendUpload(exchange Exchange);
  void startHedge();
  /// Waits for the active attempts; sets Outcome when one of them answered.
  void awaitAnswers();
  void takeAnswer(std::size_t Index);
  void takeWhole(exchange Exchange);
  void fail(exchange Exchange, routing::attempt_end End);
  void failAllAtDeadline();
  void giveUp(const base::error &Reason);
  [[nodiscard]] bool maySendAgain() const;
  [[nodiscard]] base::error finalError(const base::error &Refusal) const;
  [[nodiscard]] base::duration timeLeft() const;

  const forwarder_options &Options;
  forwarder_parts &Parts;
  forward_request &Request;
  caller_exchange &Caller;
  const std::uint64_t MaxUpload;
  std::vector<routing::attempt> Attempts;
  // One, or two while a hedge is under way.
  std::vector<exchange> Active;
  // A complete answer 502, 503 or 504, delivered unless a further attempt
  // brings a better one.
  exchange Fallback;
  std::optional<base::instant> HedgeAt;
  std::size_t Started = 0;
  bool Done = false;
  run_outcome Outcome;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_ATTEMPTRUNNER_H

// Outlier detection for the targets of one service. Service time and error rate
// are compared with the median of all targets, and consecutive connection
// failures are counted. Outliers are ejected for a time that doubles with each
// ejection. They return through a probation in which their share of the
// requests grows with every success.

#ifndef FULMAR_ROUTING_OUTLIERDETECTOR_H
#define FULMAR_ROUTING_OUTLIERDETECTOR_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace fulmar::routing {

struct outlier_options {
  double MaxEjectedShare = 0.3;
  /// A target is an outlier if its service time is at least this multiple of
  /// the median.
  double SlowRatio = 3;
  /// A target is an outlier if its error rate exceeds the median by at least
  /// this amount.
  double ErrorMargin = 0.4;
  /// Number of records below which a target is not compared.
  std::uint32_t MinRecords = 5;
  std::uint32_t FailuresToEject = 3;
  base::duration BaseEjection = std::chrono::seconds(1);
  base::duration MaxEjection = std::chrono::seconds(30);
  /// Pick probability at the start of a probation; doubled by each success.
  double InitialPickProbability = 0.05;
};

/// Outcome of an attempt as far as it concerns the health of the target.
enum class attempt_quality : std::uint8_t {
  /// A complete response; its service time is recorded.
  Good,
  /// A refusal, an error response or a timeout. A short time is not recorded,
  /// so that fast errors do not make the target look fast.
  Error,
  /// The connection broke or could not be established.
  ConnectionFailure,
  /// Cancelled; the elapsed time is a lower bound of the service time.
  Cancelled,
};

enum class target_health_state : std::uint8_t { Active, Ejected, Probation };

enum class ejection_cause : std::uint8_t { None, Slow, Errors };

struct target_health {
  target_health_state State = target_health_state::Active;
  /// Probability that the target is considered in a pick: 0 while ejected, 1
  /// while active.
  double PickProbability = 1;
  /// Moving average of the logarithm of the service times in seconds.
  double LogSeconds = 0;
  std::uint32_t TimedRecords = 0;
  double ErrorRate = 0;
  std::uint32_t Records = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// Ejections since the target was last active without an ejection for the
  /// reset time.
  std::uint32_t Ejections = 0;
  base::instant StateSince{};
  base::instant EjectedUntil{};
};

class outlier_detector {
public:
  explicit outlier_detector(outlier_options Chosen) : Options(Chosen) {}

  void setOptions(const outlier_options &Chosen) { Options = Chosen; }

  /// Sets the targets to compare and drops the health of all others. If more
  /// targets are ejected than the limit for the new list allows, the earliest
  /// due to return start their probation at once.
  void setTargets(std::span<const base::target_id> Targets, base::instant Now);

  /// Records an attempt and returns why it ejected the target, or None.
  ejection_cause record(const base::target_id &Target, attempt_quality Quality,
                        base::duration Elapsed, base::instant Now);

  /// Compares all targets, ejects outliers and starts the probations that are
  /// due.
  void evaluate(base::instant Now);

  /// The target runs as a new process. Its service times are reset; its errors
  /// are kept, so that a target that crashes repeatedly is ejected.
  void restarted(const base::target_id &Target);

  /// Null for an unknown target. The pointer is valid until the next call of
  /// setTargets().
  [[nodiscard]] const target_health *
  healthOf(const base::target_id &Target) const;

  /// Ratio of the service time to the median of all targets; 1 if either is
  /// unknown.
  [[nodiscard]] double slowness(const target_health &Health) const;
  /// 0 if unknown.
  [[nodiscard]] double medianSeconds() const { return MedianSeconds; }
  [[nodiscard]] std::size_t ejected() const;
  [[nodiscard]] std::size_t maxEjected() const;

private:
  void refreshMedians();
  [[nodiscard]] ejection_cause causeOf(const target_health &Health) const;
  /// Returns false if the ejection limit is reached.
  bool eject(target_health &Health, base::instant Now);
  void startProbation(target_health &Health, base::instant Now);
  ejection_cause recordInProbation(target_health &Health,
                                   attempt_quality Quality, base::instant Now);

  outlier_options Options;
  std::map<base::target_id, target_health> Healths;
  double MedianSeconds = 0;
  double MedianErrorRate = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_OUTLIERDETECTOR_H

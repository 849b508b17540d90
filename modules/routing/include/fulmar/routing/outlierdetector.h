// Health of the targets of one service, judged by comparison with their peers:
// service time, error rate and consecutive broken attempts. Outliers are
// ejected for a time that grows with each ejection and earn their share of the
// requests back through a probation.

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
  /// Ratio to the median service time from which a target is an outlier.
  double SlowRatio = 3;
  /// Distance to the median error rate from which a target is an outlier.
  double ErrorMargin = 0.4;
  /// Records before a target is compared.
  std::uint32_t MinRecords = 5;
  std::uint32_t FailuresToEject = 3;
  base::duration BaseEjection = std::chrono::seconds(1);
  base::duration MaxEjection = std::chrono::seconds(30);
  /// Share at the start of a probation; doubled by each good answer.
  double InitialPickProbability = 0.05;
};

/// What an attempt says about the health of its target.
enum class attempt_quality : std::uint8_t {
  /// A complete answer; its time counts.
  Good,
  /// A refusal, an error or no answer in time; never a fast answer.
  Error,
  /// A connection that broke or could not be made.
  ConnectionFailure,
  /// Cancelled; its time is a lower bound of the service time.
  Cancelled,
};

enum class target_health_state : std::uint8_t { Active, Ejected, Probation };

enum class ejection_cause : std::uint8_t { None, Slow, Errors };

struct target_health {
  target_health_state State = target_health_state::Active;
  /// Probability with which the target takes part in a pick: 0 while ejected,
  /// 1 while active.
  double PickProbability = 1;
  /// Mean of the logarithm of the service times in seconds.
  double LogSeconds = 0;
  std::uint32_t TimedRecords = 0;
  double ErrorRate = 0;
  std::uint32_t Records = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// Consecutive ejections without a completed probation and a quiet time.
  std::uint32_t Ejections = 0;
  base::instant StateSince{};
  base::instant EjectedUntil{};
};

class outlier_detector {
public:
  explicit outlier_detector(outlier_options Chosen) : Options(Chosen) {}

  void setOptions(const outlier_options &Chosen) { Options = Chosen; }

  /// The targets to compare. Ejected ones return when they would exceed the
  /// ejectable share of a smaller list. Health of missing targets is dropped.
  void setTargets(std::span<const base::target_id> Targets, base::instant Now);

  /// Tells whether the record ejected the target.
  ejection_cause record(const base::target_id &Target, attempt_quality Quality,
                        base::duration Elapsed, base::instant Now);

  /// Compares all targets, ejects outliers and starts due probations.
  void evaluate(base::instant Now);

  /// A new process runs behind the target's name: earlier service times do not
  /// count. Errors do, so that a target that crashes over and over is ejected.
  void restarted(const base::target_id &Target);

  /// Null for an unknown target; valid until the next setTargets().
  [[nodiscard]] const target_health *
  healthOf(const base::target_id &Target) const;

  /// Service time in seconds relative to the median of all targets; 1 while
  /// one of them is unknown.
  [[nodiscard]] double slowness(const target_health &Health) const;
  /// 0 while unknown.
  [[nodiscard]] double medianSeconds() const { return MedianSeconds; }
  [[nodiscard]] std::size_t ejected() const;
  [[nodiscard]] std::size_t maxEjected() const;

private:
  void refreshMedians();
  [[nodiscard]] ejection_cause causeOf(const target_health &Health) const;
  /// False when the ejectable share is used up.
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

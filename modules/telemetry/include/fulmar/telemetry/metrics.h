// Counters, gauges and latency distributions of a process, served as
// Prometheus text.

#ifndef FULMAR_TELEMETRY_METRICS_H
#define FULMAR_TELEMETRY_METRICS_H

#include "fulmar/base/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fulmar::telemetry {

/// A count that only grows. Thread-safe.
class counter {
public:
  void add(std::uint64_t Amount = 1) {
    Total.fetch_add(Amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const {
    return Total.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// A value that moves both ways. Thread-safe.
class gauge {
public:
  void set(std::int64_t Level) {
    Value.store(Level, std::memory_order_relaxed);
  }
  void add(std::int64_t Amount) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::int64_t value() const {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Value{0};
};

/// Quantiles, count and sum of durations by Boost.Accumulators. Thread-safe.
class latency {
public:
  latency();
  ~latency();
  latency(const latency &) = delete;
  latency &operator=(const latency &) = delete;

  void record(base::duration Elapsed);
  /// Quantile in seconds; 0 before the first record. \p Quantile is one of
  /// 0.5, 0.9, 0.99 and 0.999.
  [[nodiscard]] double quantileSeconds(double Quantile) const;
  [[nodiscard]] std::uint64_t count() const;
  [[nodiscard]] double sumSeconds() const;

private:
  struct accumulators;
  mutable std::mutex Mutex;
  std::unique_ptr<accumulators> Accumulators;
};

/// Owns the series of one process. References stay valid for its lifetime.
class metrics {
public:
  /// \p Name is a Prometheus metric name; \p Labels is empty or of the form
  /// service="registry",target="r1" (see labels()).
  counter &counterOf(const std::string &Name, const std::string &Labels = "");
  gauge &gaugeOf(const std::string &Name, const std::string &Labels = "");
  latency &latencyOf(const std::string &Name, const std::string &Labels = "");

  /// Prometheus text exposition format 0.0.4.
  [[nodiscard]] std::string prometheusText() const;

private:
  template <typename Series>
  using family =
      std::map<std::string, std::map<std::string, std::unique_ptr<Series>>>;
  mutable std::mutex Mutex;
  family<counter> Counters;
  family<gauge> Gauges;
  family<latency> Latencies;
};

/// Escapes and joins label pairs.
std::string labels(const std::map<std::string, std::string> &Pairs);

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_METRICS_H

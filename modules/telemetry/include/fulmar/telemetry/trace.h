// Spans for each hop: W3C traceparent in and out, OTLP/JSON to a file.

#ifndef FULMAR_TELEMETRY_TRACE_H
#define FULMAR_TELEMETRY_TRACE_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::telemetry {

/// The identity of a span as the traceparent header carries it.
struct trace_context {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId;
  bool Sampled = false;

  friend auto operator<=>(const trace_context &,
                          const trace_context &) = default;
};

/// Empty when \p Header is not a valid version 00 traceparent.
std::optional<trace_context> parseTraceparent(std::string_view Header);
std::string formatTraceparent(const trace_context &Context);

/// A new span below \p Parent, or the root of a new trace. Thread-safe.
trace_context startChild(const std::optional<trace_context> &Parent);

/// One finished hop.
struct span {
  trace_context Context;
  /// Empty for a root span.
  std::string ParentSpanId;
  std::string Name;
  std::chrono::system_clock::time_point Start;
  std::chrono::system_clock::time_point End;
  std::map<std::string, std::string> Attributes;
  bool Failed = false;
};

/// Appends spans as OTLP/JSON, one export request a line. Thread-safe; spans
/// beyond the queue's bound are dropped and counted.
class span_exporter {
public:
  /// Exports nothing when \p File is empty.
  span_exporter(std::string ServiceName, const std::string &File);
  ~span_exporter();
  span_exporter(const span_exporter &) = delete;
  span_exporter &operator=(const span_exporter &) = delete;

  void record(span Finished);
  /// Writes all queued spans.
  void flush();
  [[nodiscard]] std::uint64_t dropped() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_TRACE_H

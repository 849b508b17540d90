// The registry of series and the Prometheus text exposition format.

#include "fulmar/telemetry/metrics.h"

#include <array>
#include <charconv>
#include <string_view>

namespace fulmar::telemetry {

namespace {

constexpr std::array<const char *, 4> QuantileTexts = {"0.5", "0.9", "0.99",
                                                       "0.999"};
constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};

template <typename Series>
Series &
seriesOf(std::map<std::string, std::map<std::string, std::unique_ptr<Series>>>
             &Family,
         const std::string &Name, const std::string &Labels) {
  std::unique_ptr<Series> &Found = Family[Name][Labels];
  if (!Found)
    Found = std::make_unique<Series>();
  return *Found;
}

std::string numberText(double Number) {
  std::array<char, 32> Buffer{};
  const auto Written =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number);
  return std::string(Buffer.data(), Written.ptr);
}

void appendType(std::string &Text, const std::string &Name, const char *Type) {
  Text += "# TYPE " + Name + " " + Type + "\n";
}

void appendSample(std::string &Text, const std::string &Name,
                  const std::string &Labels, const std::string &Value) {
  Text += Name;
  if (!Labels.empty())
    Text += "{" + Labels + "}";
  Text += " " + Value + "\n";
}

void appendSummary(std::string &Text, const std::string &Name,
                   const std::string &Labels, const latency &Latency) {
  const std::uint64_t Count = Latency.count();
  const std::string Prefix = Labels.empty() ? "" : Labels + ",";
  for (std::size_t Index = 0; Index < Quantiles.size(); ++Index) {
    const std::string Value =
        Count == 0 ? "NaN"
                   : numberText(Latency.quantileSeconds(Quantiles[Index]));
    appendSample(Text, Name,
                 Prefix + "quantile=\"" + QuantileTexts[Index] + "\"", Value);
  }
  appendSample(Text, Name + "_sum", Labels, numberText(Latency.sumSeconds()));
  appendSample(Text, Name + "_count", Labels, std::to_string(Count));
}

std::string escaped(std::string_view Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '\n') {
      Text += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Text += '\\';
    Text += Character;
  }
  return Text;
}

} // namespace

counter &metrics::counterOf(const std::string &Name,
                            const std::string &Labels) {
  const std::lock_guard Lock(Mutex);
  return seriesOf(Counters, Name, Labels);
}

gauge &metrics::gaugeOf(const std::string &Name, const std::string &Labels) {
  const std::lock_guard Lock(Mutex);
  return seriesOf(Gauges, Name, Labels);
}

latency &metrics::latencyOf(const std::string &Name,
                            const std::string &Labels) {
  const std::lock_guard Lock(Mutex);
  return seriesOf(Latencies, Name, Labels);
}

std::string metrics::prometheusText() const {
  const std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Name, Family] : Counters) {
    appendType(Text, Name, "counter");
    for (const auto &[Labels, Counter] : Family)
      appendSample(Text, Name, Labels, std::to_string(Counter->value()));
  }
  for (const auto &[Name, Family] : Gauges) {
    appendType(Text, Name, "gauge");
    for (const auto &[Labels, Gauge] : Family)
      appendSample(Text, Name, Labels, std::to_string(Gauge->value()));
  }
  for (const auto &[Name, Family] : Latencies) {
    appendType(Text, Name, "summary");
    for (const auto &[Labels, Latency] : Family)
      appendSummary(Text, Name, Labels, *Latency);
  }
  return Text;
}

std::string labels(const std::map<std::string, std::string> &Pairs) {
  std::string Text;
  for (const auto &[Name, Value] : Pairs) {
    if (!Text.empty())
      Text += ",";
    Text += Name + "=\"" + escaped(Value) + "\"";
  }
  return Text;
}

} // namespace fulmar::telemetry

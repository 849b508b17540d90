// Counts and latency percentiles of a run.

#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>
#include <utility>

namespace fulmar::load {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr double MicrosecondsPerSecond = 1e6;

constexpr std::array<std::pair<const char *, double>, 4> Quantiles = {
    {{"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}, {"p99_9_ms", 0.999}}};

} // namespace

void load_report::add(const load_answer &Answer, base::duration Elapsed) {
  ++Counts[static_cast<std::size_t>(Answer.Outcome)];
  if (!Answer.Error.empty())
    ++Errors[Answer.Error];
  if (Answer.Outcome == outcome::Ok)
    Latencies.push_back(Elapsed.count());
}

void load_report::merge(const load_report &Other) {
  for (std::size_t Index = 0; Index < Counts.size(); ++Index)
    Counts[Index] += Other.Counts[Index];
  for (const auto &[Name, Number] : Other.Errors)
    Errors[Name] += Number;
  Latencies.insert(Latencies.end(), Other.Latencies.begin(),
                   Other.Latencies.end());
  Resends += Other.Resends;
}

std::uint64_t load_report::count(outcome Outcome) const {
  return Counts[static_cast<std::size_t>(Outcome)];
}

std::uint64_t load_report::total() const {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

double load_report::quantileMs(double Quantile) const {
  if (Latencies.empty())
    return 0;
  std::sort(Latencies.begin(), Latencies.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(Latencies.size())));
  return static_cast<double>(Latencies[std::max<std::size_t>(Rank, 1) - 1]) /
         MicrosecondsPerMillisecond;
}

bool load_report::sound() const {
  return count(outcome::Wrong) == 0 && count(outcome::TruncatedAsComplete) == 0;
}

Json::Value load_report::toJson(base::duration Elapsed) const {
  Json::Value Table;
  Table["requests"] = Json::UInt64(total());
  Table["resends"] = Json::UInt64(Resends);
  for (std::size_t Index = 0; Index < Counts.size(); ++Index)
    Table[std::string(OutcomeNames[Index])] = Json::UInt64(Counts[Index]);
  for (const auto &[Name, Quantile] : Quantiles)
    Table[Name] = quantileMs(Quantile);
  for (const auto &[Name, Number] : Errors)
    Table["errors"][Name] = Json::UInt64(Number);
  const double Seconds =
      static_cast<double>(Elapsed.count()) / MicrosecondsPerSecond;
  Table["seconds"] = Seconds;
  Table["ok_per_second"] = static_cast<double>(count(outcome::Ok)) / Seconds;
  return Table;
}

std::string load_report::toText(base::duration Elapsed) const {
  constexpr int NameWidth = 24;
  constexpr int Decimals = 3;
  const Json::Value Table = toJson(Elapsed);
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(Decimals);
  for (const std::string &Name : Table.getMemberNames()) {
    if (Table[Name].isObject())
      for (const std::string &Error : Table[Name].getMemberNames())
        Text << std::left << std::setw(NameWidth) << "error " + Error
             << Table[Name][Error].asString() << "\n";
    else if (Table[Name].isDouble() && !Table[Name].isIntegral())
      Text << std::left << std::setw(NameWidth) << Name
           << Table[Name].asDouble() << "\n";
    else
      Text << std::left << std::setw(NameWidth) << Name
           << Table[Name].asString() << "\n";
  }
  return Text.str();
}

} // namespace fulmar::load

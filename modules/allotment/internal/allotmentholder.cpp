// Token buckets of the holder.

#include "fulmar/allotment/allotmentholder.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fulmar::allotment {

namespace {

using seconds = std::chrono::duration<double>;

/// Shorter lifetimes would end before an answer arrives from another data
/// centre; longer ones are not needed for one request.
constexpr base::duration MinTokenLifetime = std::chrono::milliseconds(100);
constexpr base::duration MaxTokenLifetime = std::chrono::seconds(1);
/// Parts of the tolerance that may be saved up and that a new holder starts
/// with. Together they allow three changes of the holder in a window. Small
/// accounts, whose burst is less than one request, live on the tolerance.
constexpr double SavedTolerance = 0.4;
constexpr double InitialTolerance = 0.2;

} // namespace

base::duration tokenLifetime(const quota_options &Options) {
  const auto Lifetime = std::chrono::duration_cast<base::duration>(
      std::chrono::duration_cast<seconds>(Options.Window) * Options.Overage);
  return std::clamp(Lifetime, MinTokenLifetime, MaxTokenLifetime);
}

limit quotaLimit(double PerSecond, double Burst, const quota_options &Options) {
  return {.TokensPerSecond = PerSecond,
          .Burst = Burst * (1 + Options.Overage) +
                   SavedTolerance * Options.Tolerance,
          .Initial = InitialTolerance * Options.Tolerance};
}

void allotment_holder::begin(base::instant Now) {
  for (auto &[Name, Bucket] : Buckets) {
    Bucket.Tokens = Bucket.Limit.Initial;
    Bucket.RefilledAt = Bucket.StartedAt = Now;
  }
}

void allotment_holder::setLimits(const std::map<std::string, limit> &Limits,
                                 base::instant Now) {
  std::erase_if(Buckets, [&Limits](const auto &Entry) {
    return !Limits.contains(Entry.first);
  });
  for (const auto &[Name, Limit] : Limits) {
    const auto [Found, Added] = Buckets.try_emplace(Name);
    bucket &Bucket = Found->second;
    if (Added) {
      Bucket.Tokens = Limit.Initial;
      Bucket.Limit = Limit;
      Bucket.RefilledAt = Bucket.StartedAt = Now;
    }
    refill(Bucket, Now);
    Bucket.Limit = Limit;
    Bucket.Tokens = std::min(Bucket.Tokens, Limit.Burst);
  }
}

void allotment_holder::refill(bucket &Bucket, base::instant Now) {
  const double Elapsed = seconds(Now - Bucket.RefilledAt).count();
  Bucket.RefilledAt = Now;
  Bucket.Tokens =
      std::min(Bucket.Limit.Burst,
               Bucket.Tokens + Elapsed * Bucket.Limit.TokensPerSecond);
}

fleetlink::allotment_grant
allotment_holder::take(const fleetlink::allotment_demand &Demand,
                       base::instant Now) {
  const auto Found = Buckets.find(Demand.Account);
  if (Found == Buckets.end())
    return {.Account = Demand.Account, .Granted = Demand.Count};
  bucket &Bucket = Found->second;
  refill(Bucket, Now);
  // Without the margin, a token that is due to rounding is granted late.
  constexpr double Margin = 1e-9;
  const auto Held =
      static_cast<std::uint32_t>(std::max(0.0, Bucket.Tokens + Margin));
  const std::uint32_t Granted = std::min(Demand.Count, Held);
  Bucket.Tokens -= Granted;
  fleetlink::allotment_grant Grant{.Account = Demand.Account,
                                   .Granted = Granted};
  if (Granted == Demand.Count)
    return Grant;
  const limit &Limit = Bucket.Limit;
  constexpr double MillisecondsPerSecond = 1'000;
  Grant.RetryAfterMs = static_cast<std::int64_t>(std::ceil(
      (1 - Bucket.Tokens) / Limit.TokensPerSecond * MillisecondsPerSecond));
  const double SinceStart = seconds(Now - Bucket.StartedAt).count();
  Grant.Starting = SinceStart * Limit.TokensPerSecond < Limit.Burst;
  return Grant;
}

} // namespace fulmar::allotment

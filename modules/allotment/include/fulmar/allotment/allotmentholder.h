// Grants tokens of limits that hold over all entries together.
//
// Answers accounts whose requests come through any entry, at any time one or at
// all: an entry sees a usual account twice a minute, so shares that are fixed
// in advance refuse what is owed. One instance, the holder, therefore grants
// each request. Grants are taken from a token bucket for each limit. A token
// may be used for tokenLifetime() after it was asked for, so at most rate x
// (window + lifetime) + burst are used in any window.
//
// A new holder does not know what the one before has granted. Its buckets start
// with a part of the tolerance only: what both grant is then no more than one
// of them would have, and that part for each change of the holder.

#ifndef FULMAR_ALLOTMENT_ALLOTMENTHOLDER_H
#define FULMAR_ALLOTMENT_ALLOTMENTHOLDER_H

#include "fulmar/base/time.h"
#include "fulmar/fleetlink/linkmessages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace fulmar::allotment {

/// A limit over all entries.
struct limit {
  double TokensPerSecond = 0;
  /// Tokens that may be saved up.
  double Burst = 0;
  /// Tokens of a bucket that starts.
  double Initial = 0;

  friend auto operator<=>(const limit &, const limit &) = default;
};

/// How far any window may exceed a quota.
struct quota_options {
  base::duration Window = std::chrono::seconds(5);
  /// Share of the quota.
  double Overage = 0.1;
  /// Further requests.
  double Tolerance = 20;
};

/// Time for which a token may be used: the part of the window by which the
/// limit may be exceeded.
base::duration tokenLifetime(const quota_options &Options);

/// Limit with which an account that may have \p PerSecond x window + \p Burst
/// requests in any window uses no more than the options permit.
limit quotaLimit(double PerSecond, double Burst, const quota_options &Options);

class allotment_holder {
public:
  /// Begins to grant, with empty buckets.
  void begin(base::instant Now);
  /// Replaces the limits. A bucket that is new is empty; one that is kept holds
  /// no more than its new burst.
  void setLimits(const std::map<std::string, limit> &Limits, base::instant Now);
  [[nodiscard]] bool empty() const { return Buckets.empty(); }

  /// Grants what the bucket holds. Everything is granted for a name without a
  /// limit: the entry has a newer or older list of limits.
  fleetlink::allotment_grant take(const fleetlink::allotment_demand &Demand,
                                  base::instant Now);

private:
  struct bucket {
    limit Limit;
    double Tokens = 0;
    base::instant RefilledAt{};
    /// When the bucket was empty without a grant.
    base::instant StartedAt{};
  };
  static void refill(bucket &Bucket, base::instant Now);

  std::map<std::string, bucket> Buckets;
};

} // namespace fulmar::allotment

#endif // FULMAR_ALLOTMENT_ALLOTMENTHOLDER_H

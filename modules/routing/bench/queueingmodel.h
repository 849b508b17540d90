// Deterministic queueing model of targets behind routers, for comparing pick
// strategies. It runs in virtual time. Requests arrive as a Poisson process,
// and targets process them in order of arrival on a fixed number of slots.

#ifndef FULMAR_ROUTING_QUEUEINGMODEL_H
#define FULMAR_ROUTING_QUEUEINGMODEL_H

#include "fulmar/base/random.h"
#include "fulmar/routing/router.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace fulmar::routing {

struct model_options {
  std::string Strategy = "adaptive";
  std::size_t Targets = 10;
  std::size_t Entries = 2;
  std::uint32_t Slots = 4;
  /// Number of requests that each entry may have in flight at each target.
  std::uint32_t Granted = 16;
  /// Average share of the healthy targets' slots that are busy.
  double Load = 0.4;
  /// The first target is ten times slower than the others.
  bool Straggler = false;
  /// The last target refuses every request immediately.
  bool FailFast = false;
  /// Targets are slower for some milliseconds at random times.
  bool RandomSlowPhases = false;
  /// Share of requests with a service time that is thirty times longer.
  double LongShare = 0;
  std::size_t Requests = 20000;
  std::uint64_t Seed = 1;
};

struct model_result {
  double P50Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  /// Share of requests that got no response.
  double FailedShare = 0;
  /// Share of attempts at the first and at the last target.
  double FirstTargetShare = 0;
  double LastTargetShare = 0;
};

class queueing_model {
public:
  explicit queueing_model(const model_options &Chosen);
  model_result run();

private:
  enum class event_kind : std::uint8_t { Arrival, Completion, Tick, Publish };
  struct event {
    base::instant Time{};
    std::uint64_t Sequence = 0;
    event_kind Kind = event_kind::Tick;
    std::size_t Entry = 0;
    std::uint64_t Id = 0;

    friend bool operator>(const event &A, const event &B) {
      return std::tie(A.Time, A.Sequence) > std::tie(B.Time, B.Sequence);
    }
  };
  struct request {
    base::instant Arrived{};
    request_profile Profile;
    std::vector<attempt> Attempts;
  };
  struct sent_attempt {
    permit Permit;
    std::uint64_t Request = 0;
    attempt Outcome;
  };
  struct entry {
    std::unique_ptr<router> Router;
    std::unordered_map<ticket_id, std::uint64_t> Waiting;
    std::unordered_map<std::uint64_t, sent_attempt> Sent;
  };
  struct target {
    std::vector<base::instant> SlotFree;
    std::uint32_t InFlight = 0;
    std::uint64_t Attempts = 0;
    base::instant SlowUntil{};
  };

  void schedule(base::duration After, event_kind Kind, std::size_t Entry = 0,
                std::uint64_t Id = 0);
  void handle(const event &Event);
  void arrive();
  void complete(std::size_t Entry, std::uint64_t Permit);
  void publish();
  void acquirePermit(std::size_t Entry, std::uint64_t Id);
  void handleResults(std::size_t Entry,
                     const std::vector<ticket_result> &Answers);
  void send(std::size_t Entry, const permit &Permit, std::uint64_t Id);
  base::duration serve(std::size_t Target, attempt &Outcome);
  double exponential();
  void finishRequest(std::uint64_t Id, bool Answered);
  [[nodiscard]] model_result summary();

  model_options Options;
  base::random_source Random;
  base::instant Now{std::chrono::seconds(1000)};
  std::uint64_t Sequence = 0;
  std::uint64_t LastRequest = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<entry> Entries;
  std::vector<target> Targets;
  std::unordered_map<std::uint64_t, request> Requests;
  std::vector<double> LatenciesMs;
  std::size_t Failed = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_QUEUEINGMODEL_H

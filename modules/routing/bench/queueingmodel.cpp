// Event handling of the queueing model.

#include "bench/queueingmodel.h"

#include <algorithm>
#include <cmath>

namespace fulmar::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::service_name Service("registry");
constexpr double MeanServiceSeconds = 0.01;
constexpr double StragglerFactor = 10;
constexpr double SlowPhaseFactor = 4;
constexpr double SlowPhaseProbability = 0.03;
constexpr double LongFactor = 30;
constexpr base::duration RefusalTime = std::chrono::microseconds(300);
constexpr base::duration TickInterval = milliseconds(5);
constexpr base::duration PublishInterval = milliseconds(100);
constexpr base::duration ReportAge = milliseconds(50);
constexpr base::duration SlowPhase = milliseconds(60);
constexpr base::duration CallerDeadline = seconds(30);

double quantileOf(const std::vector<double> &Sorted, double Quantile) {
  if (Sorted.empty())
    return 0;
  const double Rank = Quantile * static_cast<double>(Sorted.size());
  return Sorted[std::min(Sorted.size() - 1, static_cast<std::size_t>(Rank))];
}

base::duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

queueing_model::queueing_model(const model_options &Chosen)
    : Options(Chosen), Random(Chosen.Seed), Entries(Chosen.Entries),
      Targets(Chosen.Targets) {
  for (target &Target : Targets)
    Target.SlotFree.resize(Options.Slots);
  std::uint64_t Seed = Options.Seed;
  for (entry &Entry : Entries) {
    Entry.Router = std::make_unique<router>(router_options{.Seed = ++Seed});
    const auto Set =
        Entry.Router->setPolicy(Service, {.Strategy = Options.Strategy,
                                          .QueueLength = 100000,
                                          .QueueTime = CallerDeadline});
    if (!Set)
      Entry.Router.reset();
  }
}

void queueing_model::schedule(base::duration After, event_kind Kind,
                              std::size_t Entry, std::uint64_t Id) {
  Events.push({.Time = Now + After,
               .Sequence = ++Sequence,
               .Kind = Kind,
               .Entry = Entry,
               .Id = Id});
}

double queueing_model::exponential() {
  return -std::log(1 - absl::Uniform(Random, 0.0, 1.0));
}

model_result queueing_model::run() {
  publish();
  schedule(base::duration(0), event_kind::Arrival);
  schedule(TickInterval, event_kind::Tick);
  while (!Events.empty() &&
         (LastRequest < Options.Requests || !Requests.empty())) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.Time;
    handle(Event);
  }
  return summary();
}

void queueing_model::handle(const event &Event) {
  switch (Event.Kind) {
  case event_kind::Arrival:
    arrive();
    break;
  case event_kind::Completion:
    complete(Event.Entry, Event.Id);
    break;
  case event_kind::Tick:
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      handleResults(Entry, Entries[Entry].Router->tick(Now));
    schedule(TickInterval, event_kind::Tick);
    break;
  case event_kind::Publish:
    publish();
    break;
  }
}

void queueing_model::arrive() {
  const std::uint64_t Id = ++LastRequest;
  Requests[Id] = {.Arrived = Now,
                  .Profile = {.Service = Service,
                              .Idempotent = true,
                              .Replayable = true,
                              .Deadline = Now + CallerDeadline}};
  acquirePermit(Id % Entries.size(), Id);
  const std::size_t Healthy =
      Targets.size() - (Options.Straggler ? 1 : 0) - (Options.FailFast ? 1 : 0);
  const double PerSecond =
      Options.Load * static_cast<double>(Healthy * Options.Slots) /
      (MeanServiceSeconds * (1 + Options.LongShare * (LongFactor - 1)));
  if (LastRequest < Options.Requests)
    schedule(fromSeconds(exponential() / PerSecond), event_kind::Arrival);
}

void queueing_model::publish() {
  std::vector<candidate> List;
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    target &Target = Targets[Index];
    if (Options.RandomSlowPhases &&
        absl::Uniform(Random, 0.0, 1.0) < SlowPhaseProbability)
      Target.SlowUntil = Now + SlowPhase;
    const double Load = static_cast<double>(Target.InFlight) / Options.Slots;
    List.push_back({.Target = base::target_id("t" + std::to_string(Index)),
                    .Incarnation = "1",
                    .Granted = Options.Granted,
                    .ReportedLoad = std::min(1.0, Load),
                    .ReportAge = ReportAge});
  }
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
    handleResults(Entry,
                  Entries[Entry].Router->candidatesChanged(Service, List, Now));
  schedule(PublishInterval, event_kind::Publish);
}

void queueing_model::acquirePermit(std::size_t Entry, std::uint64_t Id) {
  const request &Request = Requests.at(Id);
  const acquire_result Result =
      Entries[Entry].Router->acquire(Request.Profile, Request.Attempts, Now);
  handleResults(Entry, Result.OtherResults);
  if (const auto *Permit = std::get_if<permit>(&Result.Answer))
    send(Entry, *Permit, Id);
  else if (const auto *Wait = std::get_if<queued>(&Result.Answer))
    Entries[Entry].Waiting[Wait->Ticket] = Id;
  else
    finishRequest(Id, false);
}

void queueing_model::handleResults(std::size_t Entry,
                                   const std::vector<ticket_result> &Answers) {
  for (const ticket_result &Answer : Answers) {
    auto Node = Entries[Entry].Waiting.extract(Answer.Ticket);
    if (const auto *Permit = std::get_if<permit>(&Answer.Answer))
      send(Entry, *Permit, Node.mapped());
    else
      finishRequest(Node.mapped(), false);
  }
}

void queueing_model::send(std::size_t Entry, const permit &Permit,
                          std::uint64_t Id) {
  const std::size_t Index = std::stoul(Permit.Target.Target.str().substr(1));
  ++Targets[Index].InFlight;
  ++Targets[Index].Attempts;
  attempt Outcome = {.Target = Permit.Target.Target,
                     .Incarnation = "1",
                     .BytesSent = true,
                     .End = attempt_end::Answered,
                     .Status = 200};
  Outcome.Elapsed = serve(Index, Outcome);
  Entries[Entry].Sent[Permit.Id] = {Permit, Id, Outcome};
  schedule(Outcome.Elapsed, event_kind::Completion, Entry, Permit.Id);
}

base::duration queueing_model::serve(std::size_t Index, attempt &Outcome) {
  target &Target = Targets[Index];
  if (Options.FailFast && Index + 1 == Targets.size()) {
    Outcome.End = attempt_end::Refused;
    Outcome.Status = 503;
    return RefusalTime;
  }
  double Seconds = MeanServiceSeconds * exponential();
  if (Options.Straggler && Index == 0)
    Seconds *= StragglerFactor;
  if (Now < Target.SlowUntil)
    Seconds *= SlowPhaseFactor;
  if (absl::Uniform(Random, 0.0, 1.0) < Options.LongShare)
    Seconds *= LongFactor;
  auto Slot = std::min_element(Target.SlotFree.begin(), Target.SlotFree.end());
  *Slot = std::max(Now, *Slot) + fromSeconds(Seconds);
  return *Slot - Now;
}

void queueing_model::complete(std::size_t Entry, std::uint64_t Permit) {
  auto Node = Entries[Entry].Sent.extract(Permit);
  const sent_attempt &Sent = Node.mapped();
  --Targets[std::stoul(Sent.Outcome.Target.str().substr(1))].InFlight;
  request &Request = Requests.at(Sent.Request);
  Request.Attempts.push_back(Sent.Outcome);
  handleResults(Entry, Entries[Entry].Router->finish(Sent.Permit, Sent.Outcome,
                                                     Request.Profile, Now));
  if (Sent.Outcome.End == attempt_end::Answered)
    finishRequest(Sent.Request, true);
  else
    acquirePermit(Entry, Sent.Request);
}

void queueing_model::finishRequest(std::uint64_t Id, bool Answered) {
  const auto Node = Requests.extract(Id);
  if (!Answered) {
    ++Failed;
    return;
  }
  LatenciesMs.push_back(
      std::chrono::duration<double, std::milli>(Now - Node.mapped().Arrived)
          .count());
}

model_result queueing_model::summary() {
  std::sort(LatenciesMs.begin(), LatenciesMs.end());
  double Attempts = 0;
  for (const target &Target : Targets)
    Attempts += static_cast<double>(Target.Attempts);
  return {.P50Ms = quantileOf(LatenciesMs, 0.5),
          .P99Ms = quantileOf(LatenciesMs, 0.99),
          .P999Ms = quantileOf(LatenciesMs, 0.999),
          .FailedShare = static_cast<double>(Failed) /
                         static_cast<double>(Options.Requests),
          .FirstTargetShare =
              static_cast<double>(Targets.front().Attempts) / Attempts,
          .LastTargetShare =
              static_cast<double>(Targets.back().Attempts) / Attempts};
}

} // namespace fulmar::routing

// Start of an exchange: route, deadline and choice of a target.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// Number of targets probed in the first round, and in each later one.
constexpr std::size_t FirstRoundProbes = 2;
constexpr std::size_t LaterRoundProbes = 3;
/// After this many rounds, the best target found so far is used.
constexpr std::size_t MaxRounds = 3;
/// From this round on, remote and cold targets rank like local and warm ones.
constexpr std::size_t AnywhereRound = 2;
/// Larger bodies leave the data centre only if it has no capacity.
constexpr std::size_t MaxRemoteBodyBytes = std::size_t(16) << 10;
/// A probe that is not answered within this time counts as that of a slow
/// target. Several times the usual probe time.
constexpr base::duration MaxProbeWait = std::chrono::milliseconds(25);
/// Older probe results no longer describe the target's load.
constexpr base::duration ProbeLifetime = std::chrono::milliseconds(40);
/// An entry without contact, and without another entry to pass requests on to,
/// goes on probing for them for this long: several contact checks.
constexpr base::duration MaxTrustInOwnPath = std::chrono::milliseconds(500);
/// A starting entry receives the plan within a few round trips, or once a
/// leader is elected.
constexpr base::duration MaxPlanWait = std::chrono::milliseconds(250);
constexpr base::duration PlanPollInterval = std::chrono::milliseconds(10);
/// Allowance for the transit of the request and its final response, as a
/// bounded share of the caller's time: distant callers set longer deadlines.
constexpr int TransitTimeDivisor = 50;
constexpr base::duration MinTransitTime = std::chrono::milliseconds(8);
constexpr base::duration MaxTransitTime = std::chrono::milliseconds(40);

base::duration boundedTime(std::uint64_t CallerTimeMs) {
  // Longer than any route's timeout.
  constexpr std::uint64_t MaxCallerTimeMs = 3'600'000;
  return std::chrono::milliseconds(std::min(CallerTimeMs, MaxCallerTimeMs));
}

/// Returns the time that is left when the request arrives here.
base::duration timeLeftAtArrival(std::uint64_t CallerTimeMs) {
  const base::duration CallerTime = boundedTime(CallerTimeMs);
  return CallerTime - std::clamp(CallerTime / TransitTimeDivisor,
                                 MinTransitTime, MaxTransitTime);
}

} // namespace

exchange::exchange(gateway_state &Owner, caller_request Received)
    : State(Owner), Request(std::move(Received)), DeadlineTimer(Owner.Loop),
      RoundTimer(Owner.Loop), HedgeTimer(Owner.Loop) {}

void exchange::start(handler Done) {
  OnDone = std::move(Done);
  ++State.RunningRequests;
  StartedAt = State.Loop.now();
  RequestId = headerOf(Request.Fields, State.Options.HeaderNames.RequestId);
  begin();
}

void exchange::begin() {
  if (Request.TooLateToServe || (Request.Relay && State.Stopping)) {
    TryElsewhere = true;
    return fail({base::error_kind::Stopping, "the instance is stopping"});
  }
  const bool MayWait = State.Loop.now() - StartedAt < MaxPlanWait;
  if (!State.Routes.plan() && MayWait)
    return RoundTimer.after(PlanPollInterval,
                            [Self = shared_from_this()] { Self->begin(); });
  if (!resolveRoute())
    return;
  if (!Request.Relay)
    Service->Retries.recordRequest(StartedAt);
  DeadlineTimer.after(std::max(base::duration(1), Deadline - State.Loop.now()),
                      [Self = shared_from_this()] { Self->onTimeout(); });
  awaitToken();
}

void exchange::place() {
  if (!Service->Contact.lost() && Service->Waiters.anyBefore(waiterKey()))
    return wait();
  startProbeRound();
}

/// True if the request was passed on for a service that the route still has.
bool exchange::keepsService(const fleet::route &Found) const {
  return Request.Relay &&
         std::any_of(Found.Shares.begin(), Found.Shares.end(),
                     [this](const fleet::route_share &Share) {
                       return Share.Service == Request.Relay->Service;
                     });
}

bool exchange::resolveRoute() {
  Plan = State.Routes.plan();
  if (!Plan) {
    TryElsewhere = true;
    fail({base::error_kind::StaleKnowledge, "no routing plan yet"});
    return false;
  }
  if (Request.Relay && Plan->Version < Request.Relay->PlanVersion) {
    TryElsewhere = true;
    fail({base::error_kind::StaleKnowledge, "older plan than the sender's"});
    return false;
  }
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  Route = State.Routes.find(headerOf(Request.Fields, "Host"), Path);
  if (Route == nullptr) {
    fail({base::error_kind::UnknownService, "no route"});
    return false;
  }
  if (!checkAccess())
    return false;
  Fingerprint = routing::fingerprintOfContent(
      Request.Method,
      std::string(headerOf(Request.Fields, "Host")) + Request.Target,
      *Request.Body);
  if (State.isQuarantined(Fingerprint)) {
    fail({base::error_kind::Quarantined, "the request crashes targets"});
    return false;
  }
  const auto Sequence = State.TrafficSplitters.find(Route->Name);
  Service = State.serviceOf(keepsService(*Route) ? Request.Relay->Service
                            : Sequence == State.TrafficSplitters.end()
                                ? Route->Shares.front().Service
                                : Sequence->second.next(*Route));
  if (!Service) {
    fail({base::error_kind::NoTarget,
          "the service of the route is not in the plan"});
    return false;
  }
  Idempotent = Route->Idempotency == fleet::idempotency::Idempotent;
  Times = &State.Times[Route->Name];
  setDeadline();
  return true;
}

void exchange::setDeadline() {
  Deadline = Request.ArrivedAt + std::chrono::milliseconds(Route->TimeoutMs);
  FirstSentAt = Request.ArrivedAt;
  const auto CallerTimeMs =
      parseWhole(headerOf(Request.Fields, State.Options.HeaderNames.Deadline));
  if (!CallerTimeMs)
    return;
  if (Request.Relay) {
    // The first entry has allowed for the way of the caller.
    Deadline =
        std::min(Deadline, Request.ArrivedAt + boundedTime(*CallerTimeMs) -
                               MinTransitTime);
    FirstSentAt -= Request.Relay->Age;
    return;
  }
  const base::duration Left = timeLeftAtArrival(*CallerTimeMs);
  Deadline = std::min(Deadline, Request.ArrivedAt + Left);
  FirstSentAt -= placement::estimatedAge(Left, *Times);
  Times->CallerTimeout.record(Left);
}

void exchange::startProbeRound() {
  ChoosingTarget = true;
  if (Service->Contact.lost()) {
    if (passOn())
      return;
    if (State.Loop.now() - Service->Contact.lostAt() > MaxTrustInOwnPath)
      return onNoCapacity(placement::admission_decision::Refuse);
  }
  placement::candidate_query Query{.Excluded = Considered,
                                   .Count = AfterWait    ? 1
                                            : Round == 0 ? FirstRoundProbes
                                                         : LaterRoundProbes,
                                   .WidenSearch =
                                       AfterWait || Round >= AnywhereRound,
                                   .FillFromRemote = !isLarge(),
                                   .Hint = std::exchange(PreferredTarget, {})};
  Query.Excluded.insert(SentTo.begin(), SentTo.end());
  const base::instant Now = State.Loop.now();
  const auto Ids = Service->Placement.candidates(Query, Now);
  ++Round;
  if (Ids.empty())
    return chooseTarget();
  const std::size_t Allowed = State.ProbeBudget.take(Ids.size(), Now);
  if (!Service->Placement.reportsLoad() || Allowed == 0)
    return sendWithoutProbe(Ids);
  probeTargets(
      {Ids.begin(), Ids.begin() + static_cast<std::ptrdiff_t>(Allowed)});
}

void exchange::probeTargets(const std::vector<std::string> &Ids) {
  RoundTimer.after(MaxProbeWait,
                   [Self = shared_from_this()] { Self->chooseTarget(); });
  std::vector<std::shared_ptr<target_probe>> Started;
  for (const std::string &Id : Ids) {
    Considered.insert(Id);
    Started.push_back(std::make_shared<target_probe>(
        State, Service, *Service->Placement.find(Id)));
    Probes.push_back(Started.back());
  }
  for (const auto &Probe : Started)
    Probe->start([Self = weak_from_this()] {
      if (const auto Exchange = Self.lock())
        Exchange->onProbeEnd();
    });
}

/// Sends to the target with the fewest requests of this entry, without probing.
void exchange::sendWithoutProbe(std::vector<std::string> Ids) {
  auto &Placement = Service->Placement;
  std::stable_sort(
      Ids.begin(), Ids.end(), [&](const auto &Left, const auto &Right) {
        return Placement.inFlight(Left) < Placement.inFlight(Right);
      });
  for (const std::string &Id : Ids) {
    Considered.insert(Id);
    if (!Placement.admit(Id, State.Loop.now()))
      continue;
    const connection_ptr Connection = State.Pool.acquire(*Placement.find(Id));
    if (!Connection)
      continue;
    ChoosingTarget = false;
    return send(Id, Connection, {});
  }
  chooseTarget();
}

void exchange::onProbeEnd() {
  if (!ChoosingTarget)
    return;
  if (Service->Contact.lost() && passOn())
    return;
  const bool AllDone =
      std::all_of(Probes.begin(), Probes.end(),
                  [](const auto &Probe) { return Probe->done(); });
  const target_probe *Best = bestProbe();
  const bool GoodEnough =
      Best != nullptr &&
      placement::isLightlyLoaded(Best->load(), Best->unreportedRequests());
  if (AllDone || GoodEnough || (AwaitsAnyProbe && Best != nullptr))
    chooseTarget();
}

bool exchange::mayAwaitProbes(placement::admission_decision Decision) const {
  return !AfterWait && Decision == placement::admission_decision::Wait &&
         !Service->Contact.lost() && bestProbe() == nullptr &&
         std::any_of(Probes.begin(), Probes.end(),
                     [](const auto &Probe) { return !Probe->done(); });
}

target_probe *exchange::bestProbe() const {
  const base::instant Now = State.Loop.now();
  target_probe *Best = nullptr;
  double BestTime = 0;
  for (const auto &Probe : Probes) {
    if (!Probe->healthy() || Now - Probe->answeredAt() > ProbeLifetime)
      continue;
    const double Time = placement::expectedTimeFactor(
        Probe->load(), Probe->unreportedRequests());
    if (Best == nullptr || Time < BestTime) {
      Best = Probe.get();
      BestTime = Time;
    }
  }
  return Best;
}

bool exchange::isLarge() const {
  return Request.Body->size() > MaxRemoteBodyBytes;
}

/// Large bodies justify probing other data centres only if there is no local
/// capacity.
std::size_t exchange::maxRounds(bool NoCapacity) const {
  return isLarge() && !NoCapacity ? MaxRounds - 1 : MaxRounds;
}

void exchange::chooseTarget() {
  RoundTimer.cancel();
  target_probe *Best = bestProbe();
  const bool Good =
      Best != nullptr &&
      placement::isLightlyLoaded(Best->load(), Best->unreportedRequests());
  std::optional<placement::admission_candidate> Offer;
  if (Best != nullptr)
    Offer = placement::admission_candidate{Best->load(),
                                           Best->unreportedRequests()};
  const placement::admission_decision Decision =
      placement::decideAdmission(Offer, admissionRequest());
  const bool NoCapacity = Decision != placement::admission_decision::Send;
  if (!Good && !AfterWait && Round < maxRounds(NoCapacity) &&
      Considered.size() < Service->Placement.size())
    return startProbeRound();
  // Every probe ends by itself, with a response or a timeout.
  AwaitsAnyProbe = mayAwaitProbes(Decision);
  if (AwaitsAnyProbe)
    return;
  if (NoCapacity || Best == nullptr)
    return onNoCapacity(Decision);
  const std::string Target = Best->target();
  if (!Service->Placement.admit(Target, State.Loop.now())) {
    std::erase_if(Probes, [Best](const auto &Probe) {
      if (Probe.get() == Best)
        Probe->release();
      return Probe.get() == Best;
    });
    return chooseTarget();
  }
  const placement::admission_candidate Taken = *Offer;
  const connection_ptr Connection = Best->takeConnection();
  dropProbes();
  ChoosingTarget = false;
  send(Target, Connection, Taken);
}

void exchange::expire() {
  if (!OnDone)
    return;
  if (StreamingAttempt)
    return endStream(attempt_quality::Cancelled, "the instance is stopping");
  MayHaveRun = MayHaveRun || anyRunning();
  LastFailure = {base::error_kind::Stopping, "the instance is stopping"};
  giveUp();
}

void exchange::onTimeout() {
  if (StreamingAttempt)
    return endStream(attempt_quality::Error,
                     "the response did not end before the deadline");
  const base::instant Now = State.Loop.now();
  const std::chrono::milliseconds Objective(Route->ObjectiveMs);
  if (anyRunning()) {
    MayHaveRun = true;
    LastFailure = {base::error_kind::TargetTimeout,
                   "no answer within the time"};
  }
  for (const attempt &Attempt : Attempts) {
    if (!Attempt.Running)
      continue;
    if (Attempt.Relayed) {
      if (placement::isHung(Now - Attempt.SentAt, Objective))
        Service->Relays.recordUseless(Attempt.Target, Now);
      continue;
    }
    // A machine that fails silently does not reset its connections.
    suspectCrash(Attempt.Target);
    if (placement::isHung(Now - Attempt.SentAt, Objective))
      Service->Placement.requestFailed(Attempt.Target, Now);
  }
  giveUp();
}

} // namespace fulmar::gateway

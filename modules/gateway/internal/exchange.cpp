// The first part of a request's life: its route, its time, and the choice of a
// target.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// Targets looked at in the first round, and in each further one.
constexpr std::size_t FirstLooks = 2;
constexpr std::size_t FurtherLooks = 3;
/// Rounds after which the best target found is taken.
constexpr std::size_t MaxRounds = 3;
/// From this round on, targets of other data centres and cold ones are as good
/// as near and warm ones.
constexpr std::size_t AnywhereRound = 2;
/// Larger bodies go to another data centre only where the own has no room.
constexpr std::size_t MaxBodyAbroad = std::size_t(16) << 10;
/// A look that is not answered by then counts as a slow target's: several
/// times a probe's usual time.
constexpr base::duration LookWait = std::chrono::milliseconds(25);
/// Older looks say nothing about now.
constexpr base::duration LookLifetime = std::chrono::milliseconds(40);
/// Pause before looking again while every target is full.
constexpr base::duration FullPause = std::chrono::milliseconds(20);
/// An entry that has just started learns the plan within a few round trips, or
/// when a leader has been elected.
constexpr base::duration PlanWait = std::chrono::milliseconds(250);
constexpr base::duration PlanPoll = std::chrono::milliseconds(10);
/// Time for the request and its final answer to travel, as part of the caller's
/// time and within bounds: distant callers wait longer.
constexpr int TravelDivisor = 50;
constexpr base::duration MinTravel = std::chrono::milliseconds(8);
constexpr base::duration MaxTravel = std::chrono::milliseconds(40);

/// What is left of the time that a caller told, when it arrives here.
base::duration callerTime(std::uint64_t ToldMs) {
  // Longer than any route's time.
  constexpr std::uint64_t MaxToldMs = 3'600'000;
  const base::duration Told =
      std::chrono::milliseconds(std::min(ToldMs, MaxToldMs));
  return Told - std::clamp(Told / TravelDivisor, MinTravel, MaxTravel);
}

} // namespace

exchange::exchange(gateway_state &Owner, front_request Arrived)
    : State(Owner), Request(std::move(Arrived)), Overall(Owner.Loop),
      RoundTimer(Owner.Loop), HedgeTimer(Owner.Loop) {}

void exchange::start(handler Done) {
  OnDone = std::move(Done);
  ++State.Running;
  StartedAt = State.Loop.now();
  RequestId = headerOf(Request.Fields, State.Options.Dialect.RequestId);
  begin();
}

void exchange::begin() {
  const bool MayWait = State.Loop.now() - StartedAt < PlanWait;
  if (!State.Routes.plan() && MayWait)
    return RoundTimer.after(PlanPoll,
                            [Self = shared_from_this()] { Self->begin(); });
  if (!admit())
    return;
  Service->Retries.recordRequest(StartedAt);
  Overall.after(std::max(base::duration(1), End - State.Loop.now()),
                [Self = shared_from_this()] { Self->onTimeout(); });
  if (Service->Waiters.anyBefore(waiterKey()))
    return wait();
  startRound();
}

bool exchange::admit() {
  Plan = State.Routes.plan();
  if (!Plan) {
    fail({base::error_kind::StaleKnowledge, "no routing plan yet"});
    return false;
  }
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  Route = State.Routes.find(headerOf(Request.Fields, "Host"), Path);
  if (Route == nullptr) {
    fail({base::error_kind::UnknownService, "no route"});
    return false;
  }
  Fingerprint = routing::fingerprintOfContent(
      Request.Method,
      std::string(headerOf(Request.Fields, "Host")) + Request.Target,
      *Request.Body);
  if (State.isQuarantined(Fingerprint)) {
    fail({base::error_kind::Quarantined, "the request crashes targets"});
    return false;
  }
  const auto Sequence = State.Shares.find(Route->Name);
  Service = State.serviceOf(Sequence == State.Shares.end()
                                ? Route->Shares.front().Service
                                : Sequence->second.next(*Route));
  if (!Service) {
    fail({base::error_kind::NoTarget, "service without targets"});
    return false;
  }
  Idempotent = Route->Idempotency == fleet::idempotency::Idempotent;
  Times = &State.Times[Route->Name];
  End = Request.ArrivedAt + std::chrono::milliseconds(Route->TimeoutMs);
  FirstSentAt = Request.ArrivedAt;
  const auto Told =
      parseWhole(headerOf(Request.Fields, State.Options.Dialect.Deadline));
  if (Told) {
    const base::duration Left = callerTime(*Told);
    End = std::min(End, Request.ArrivedAt + Left);
    FirstSentAt -= placement::estimatedAge(Left, *Times);
    Times->CallerTimeout.record(Left);
  }
  return true;
}

void exchange::startRound() {
  Choosing = true;
  placement::candidate_query Query{.Excluded = Seen,
                                   .Count = Polling      ? 1
                                            : Round == 0 ? FirstLooks
                                                         : FurtherLooks,
                                   .WidenSearch =
                                       Polling || Round >= AnywhereRound,
                                   .FillFromRemote = !isLarge(),
                                   .Hint = std::exchange(Hint, {})};
  Query.Excluded.insert(SentTo.begin(), SentTo.end());
  const base::instant Now = State.Loop.now();
  const auto Ids = Service->Placement.candidates(Query, Now);
  ++Round;
  if (Ids.empty())
    return decide();
  const std::size_t Allowed = State.Probes.take(Ids.size(), Now);
  if (!Service->Placement.reportsLoad() || Allowed == 0)
    return sendUnseen(Ids);
  lookAt({Ids.begin(), Ids.begin() + static_cast<std::ptrdiff_t>(Allowed)});
}

void exchange::lookAt(const std::vector<std::string> &Ids) {
  RoundTimer.after(LookWait, [Self = shared_from_this()] { Self->decide(); });
  std::vector<std::shared_ptr<look>> Started;
  for (const std::string &Id : Ids) {
    Seen.insert(Id);
    Started.push_back(
        std::make_shared<look>(State, Service, *Service->Placement.find(Id)));
    Looks.push_back(Started.back());
  }
  for (const auto &Look : Started)
    Look->start([Self = weak_from_this()] {
      if (const auto Exchange = Self.lock())
        Exchange->onLook();
    });
}

/// Without a look: the target at which this entry has least to do.
void exchange::sendUnseen(std::vector<std::string> Ids) {
  auto &Placement = Service->Placement;
  std::stable_sort(
      Ids.begin(), Ids.end(), [&](const auto &Left, const auto &Right) {
        return Placement.inFlight(Left) < Placement.inFlight(Right);
      });
  for (const std::string &Id : Ids) {
    Seen.insert(Id);
    if (!Placement.admit(Id, State.Loop.now()))
      continue;
    const channel_ptr Channel = State.Pool.acquire(*Placement.find(Id));
    if (!Channel)
      continue;
    Choosing = false;
    return send(Id, Channel, {});
  }
  decide();
}

void exchange::onLook() {
  if (!Choosing)
    return;
  const bool AllDone =
      std::all_of(Looks.begin(), Looks.end(),
                  [](const auto &Look) { return Look->done(); });
  const look *Best = best();
  const bool GoodEnough = Best != nullptr && placement::isLightlyLoaded(
                                                 Best->load(), Best->hidden());
  if (AllDone || GoodEnough || (AwaitsAnyLook && Best != nullptr))
    decide();
}

bool exchange::mayAwaitLooks(placement::admission_decision Decision) const {
  return !Polling && Decision == placement::admission_decision::Wait &&
         best() == nullptr &&
         std::any_of(Looks.begin(), Looks.end(),
                     [](const auto &Look) { return !Look->done(); });
}

look *exchange::best() const {
  const base::instant Now = State.Loop.now();
  look *Best = nullptr;
  double BestTime = 0;
  for (const auto &Look : Looks) {
    if (!Look->good() || Now - Look->answeredAt() > LookLifetime)
      continue;
    const double Time =
        placement::expectedTimeFactor(Look->load(), Look->hidden());
    if (Best == nullptr || Time < BestTime) {
      Best = Look.get();
      BestTime = Time;
    }
  }
  return Best;
}

bool exchange::isLarge() const { return Request.Body->size() > MaxBodyAbroad; }

/// A large body is worth a look abroad only where there is no room near.
std::size_t exchange::maxRounds(bool Short) const {
  return isLarge() && !Short ? MaxRounds - 1 : MaxRounds;
}

void exchange::decide() {
  RoundTimer.cancel();
  look *Best = best();
  const bool Good = Best != nullptr &&
                    placement::isLightlyLoaded(Best->load(), Best->hidden());
  std::optional<placement::admission_candidate> Offer;
  if (Best != nullptr)
    Offer = placement::admission_candidate{Best->load(), Best->hidden()};
  const placement::admission_decision Decision =
      placement::decideAdmission(Offer, admissionRequest());
  const bool Short = Decision != placement::admission_decision::Send;
  if (!Good && !Polling && Round < maxRounds(Short) &&
      Seen.size() < Service->Placement.size())
    return startRound();
  // Each look ends by itself, answered or not.
  AwaitsAnyLook = mayAwaitLooks(Decision);
  if (AwaitsAnyLook)
    return;
  if (Short || Best == nullptr)
    return lookAgainLater(Decision);
  const std::string Target = Best->target();
  if (!Service->Placement.admit(Target, State.Loop.now())) {
    std::erase_if(Looks, [Best](const auto &Look) {
      if (Look.get() == Best)
        Look->release();
      return Look.get() == Best;
    });
    return decide();
  }
  const placement::admission_candidate Taken = *Offer;
  const channel_ptr Channel = Best->takeChannel();
  dropLooks();
  Choosing = false;
  send(Target, Channel, Taken);
}

placement::admission_request exchange::admissionRequest() const {
  const base::instant Now = State.Loop.now();
  const std::chrono::milliseconds Objective(Route->ObjectiveMs);
  const base::duration Learned = Times->UnloadedTime.estimate();
  const base::duration Usual =
      Learned.count() > 0
          ? Learned
          : placement::assumedUnloadedTime(Objective, End - Request.ArrivedAt);
  return {.UnloadedTime = Usual,
          .TimeToObjective = FirstSentAt + Objective - Now,
          .TimeToDeadline = End - Now};
}

void exchange::lookAgainLater(placement::admission_decision Decision) {
  dropLooks();
  Seen.clear();
  Round = 0;
  Polling = false;
  const bool Waits = Decision == placement::admission_decision::Wait &&
                     !anyRunning() && mayWait();
  if (Waits)
    return wait();
  Choosing = false;
  if (anyRunning())
    return hedgeLater();
  TurnedAway = false;
  if (Attempts.empty())
    LastFailure =
        closedFor() == base::duration()
            ? base::error{base::error_kind::Saturated, "no target has room"}
            : base::error{base::error_kind::NoTarget, "no target takes work"};
  giveUp();
}

std::optional<base::duration> exchange::closedFor() const {
  const base::instant Now = State.Loop.now();
  const auto Opens = Service->Placement.availableFrom(Now);
  return Opens ? std::optional(*Opens - Now) : std::nullopt;
}

bool exchange::mayWait() const {
  const auto Closed = closedFor();
  const placement::admission_request Needs = admissionRequest();
  return Closed && *Closed + Needs.UnloadedTime < Needs.TimeToObjective &&
         State.Loop.now() + FullPause < End;
}

waiter_key exchange::waiterKey() const {
  return {.Priority = Route->Priority,
          .Objective =
              FirstSentAt + std::chrono::milliseconds(Route->ObjectiveMs),
          .Request = this};
}

void exchange::stopWaiting() {
  if (Service)
    Service->Waiters.remove(waiterKey());
}

void exchange::wait() {
  Choosing = true;
  Service->Waiters.add(waiterKey(), weak_from_this());
  RoundTimer.after(FullPause,
                   [Self = shared_from_this()] { Self->onWaited(); });
}

void exchange::onWaited() {
  if (State.isQuarantined(Fingerprint)) {
    stopWaiting();
    Choosing = false;
    return refuseQuarantined();
  }
  const bool Hopeless =
      placement::decideAdmission(std::nullopt, admissionRequest()) ==
      placement::admission_decision::Refuse;
  // One of an entry's waiting requests looks for room, and those whose time is
  // over look a last time.
  if (!Hopeless && !Service->Waiters.isFirst(waiterKey()))
    return wait();
  stopWaiting();
  poll({});
}

void exchange::targetFreed(const std::string &Target) {
  RoundTimer.cancel();
  poll(Target);
}

void exchange::poll(const std::string &First) {
  Polling = true;
  Round = 0;
  Hint = First;
  startRound();
}

void exchange::expire() {
  if (!OnDone)
    return;
  if (Streaming)
    return endStream(attempt_quality::Cancelled, "the instance ends");
  MayHaveRun = MayHaveRun || anyRunning();
  LastFailure = {base::error_kind::Stopping, "the instance ends"};
  giveUp();
}

void exchange::onTimeout() {
  if (Streaming)
    return endStream(attempt_quality::Error, "the answer took too long");
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
    // A machine that goes without a word resets no connection.
    noteBreak(Attempt.Target);
    if (placement::isHung(Now - Attempt.SentAt, Objective))
      Service->Placement.requestFailed(Attempt.Target, Now);
  }
  giveUp();
}

} // namespace fulmar::gateway

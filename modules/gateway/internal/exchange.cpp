// The life of a request: looks, sends, answers.

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
/// With less time left, a request is not sent again.
constexpr base::duration MinTimeToSend = std::chrono::milliseconds(20);
/// Time for the request and its final answer to travel, as part of the caller's
/// time and within bounds: distant callers wait longer.
constexpr int TravelDivisor = 50;
constexpr base::duration MinTravel = std::chrono::milliseconds(8);
constexpr base::duration MaxTravel = std::chrono::milliseconds(40);
/// Part of the objective after which a second target is asked.
constexpr double HedgeShare = 0.55;

std::string_view nameOf(attempt_quality Quality) {
  switch (Quality) {
  case attempt_quality::Good:
    return "good";
  case attempt_quality::Error:
    return "error";
  case attempt_quality::Break:
    return "break";
  case attempt_quality::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

/// Running, waiting, hidden, slots and percent of the usual time.
std::string describe(const placement::admission_offer &Offer) {
  constexpr double Percent = 100;
  const placement::load_report &Load = Offer.Load;
  return std::to_string(Load.Running) + "+" + std::to_string(Load.Waiting) +
         "+" + std::to_string(Offer.Hidden) + "/" + std::to_string(Load.Slots) +
         "x" + std::to_string(static_cast<int>(Load.Slowdown * Percent));
}

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
  RequestId = headerOf(Request.Fields, State.Options.Dialect.RequestId);
  begin();
}

void exchange::begin() {
  const bool MayWait = State.Loop.now() - Request.ArrivedAt < PlanWait;
  if (!State.Routes.plan() && MayWait)
    return RoundTimer.after(PlanPoll,
                            [Self = shared_from_this()] { Self->begin(); });
  if (!admit())
    return;
  Service->Retries.arrived(Request.ArrivedAt);
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
  if (State.Quarantined.contains(routing::fingerprintText(Fingerprint))) {
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
  Idempotent = Route->Repeatability == fleet::repeatability::Idempotent;
  Times = &State.Times[Route->Name];
  End = Request.ArrivedAt + std::chrono::milliseconds(Route->TimeoutMs);
  FirstSentAt = Request.ArrivedAt;
  const auto Told =
      parseWhole(headerOf(Request.Fields, State.Options.Dialect.Deadline));
  if (Told) {
    const base::duration Left = callerTime(*Told);
    End = std::min(End, Request.ArrivedAt + Left);
    FirstSentAt -= placement::ageOf(Left, *Times);
    Times->Told.record(Left);
  }
  return true;
}

void exchange::startRound() {
  Choosing = true;
  placement::candidate_query Query{.Excluded = Seen,
                                   .Count = Polling      ? 1
                                            : Round == 0 ? FirstLooks
                                                         : FurtherLooks,
                                   .Anywhere =
                                       Polling || Round >= AnywhereRound,
                                   .FillAbroad = !isLarge(),
                                   .Hint = std::exchange(Hint, {})};
  Query.Excluded.insert(SentTo.begin(), SentTo.end());
  const base::instant Now = State.Loop.now();
  const auto Ids = Service->Placement.candidates(Query, Now);
  ++Round;
  if (Ids.empty())
    return decide();
  const std::size_t Allowed = State.Probes.take(Ids.size(), Now);
  if (!Service->Placement.tellsLoad() || Allowed == 0)
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
void exchange::sendUnseen(const std::vector<std::string> &Ids) {
  const auto &Placement = Service->Placement;
  const auto Least = std::min_element(
      Ids.begin(), Ids.end(), [&](const auto &Left, const auto &Right) {
        return Placement.inFlight(Left) < Placement.inFlight(Right);
      });
  const fleet::target_report *Target = Placement.find(*Least);
  const channel_ptr Channel = State.Pool.acquire(*Target);
  Choosing = false;
  if (!Channel || !Service->Placement.admit(*Least, State.Loop.now()))
    return sendAgain();
  send(*Least, Channel, {});
}

void exchange::onLook() {
  if (!Choosing)
    return;
  const bool AllDone =
      std::all_of(Looks.begin(), Looks.end(),
                  [](const auto &Look) { return Look->done(); });
  const look *Best = best();
  const bool GoodEnough =
      Best != nullptr && placement::isGood(Best->load(), Best->hidden());
  if (AllDone || GoodEnough)
    decide();
}

look *exchange::best() const {
  const base::instant Now = State.Loop.now();
  look *Best = nullptr;
  double BestTime = 0;
  for (const auto &Look : Looks) {
    if (!Look->good() || Now - Look->answeredAt() > LookLifetime)
      continue;
    const double Time = placement::expectedTime(Look->load(), Look->hidden());
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
  const bool Good =
      Best != nullptr && placement::isGood(Best->load(), Best->hidden());
  std::optional<placement::admission_offer> Offer;
  if (Best != nullptr)
    Offer = placement::admission_offer{Best->load(), Best->hidden()};
  const placement::send_decision Decision =
      placement::decideSend(Offer, admissionRequest());
  const bool Short = Decision != placement::send_decision::Send;
  if (!Good && !Polling && Round < maxRounds(Short) &&
      Seen.size() < Service->Placement.size())
    return startRound();
  if (Short)
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
  const placement::admission_offer Taken = *Offer;
  const channel_ptr Channel = Best->takeChannel();
  dropLooks();
  Choosing = false;
  send(Target, Channel, Taken);
  // Where one found room, the next may.
  if (std::exchange(Polling, false)) {
    if (const auto Next = Service->Waiters.takeFirst())
      Next->targetFreed({});
  }
}

placement::admission_request exchange::admissionRequest() const {
  const base::instant Now = State.Loop.now();
  return {.UsualTime = Times->Usual.estimate(),
          .ToObjective =
              FirstSentAt + std::chrono::milliseconds(Route->ObjectiveMs) - Now,
          .ToEnd = End - Now};
}

void exchange::lookAgainLater(placement::send_decision Decision) {
  dropLooks();
  Seen.clear();
  Round = 0;
  Polling = false;
  const bool Waits = Decision == placement::send_decision::Wait &&
                     !anyRunning() && State.Loop.now() + FullPause < End;
  if (Waits)
    return wait();
  Choosing = false;
  if (Attempts.empty())
    LastFailure = {base::error_kind::Saturated, "no target has room"};
  if (!anyRunning())
    giveUp();
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
  const bool Hopeless =
      placement::decideSend(std::nullopt, admissionRequest()) ==
      placement::send_decision::Refuse;
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

std::string exchange::headFor(const std::string &Target) const {
  const dialect &Names = State.Options.Dialect;
  std::string Head = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const auto &Field : Request.Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const bool Own = equalsIgnoringCase(Name, Names.Deadline) ||
                     equalsIgnoringCase(Name, Names.ExpectedTarget) ||
                     equalsIgnoringCase(Name, "Content-Length") ||
                     equalsIgnoringCase(Name, "Expect");
    if (!Own && !isHopByHop(Request.Fields, Name))
      appendHeader(Head, Name, {Field.value().data(), Field.value().size()});
  }
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      End - State.Loop.now());
  appendHeader(Head, Names.Deadline,
               std::to_string(std::max<std::int64_t>(1, Left.count())));
  appendHeader(Head, Names.ExpectedTarget, Target);
  const bool HasBody = Request.Body && !Request.Body->empty();
  if (HasBody || Request.Method == "POST" || Request.Method == "PUT" ||
      Request.Method == "PATCH")
    appendHeader(Head, "Content-Length",
                 std::to_string(Request.Body ? Request.Body->size() : 0));
  return Head + "\r\n";
}

void exchange::send(const std::string &Target, const channel_ptr &Channel,
                    const placement::admission_offer &Offer) {
  if (!Attempts.empty() && !Service->Retries.take(State.Loop.now())) {
    State.Pool.release(Channel);
    if (!anyRunning())
      giveUp();
    return;
  }
  SentTo.insert(Target);
  Service->Placement.sent(Target);
  Attempts.push_back(
      {.Target = Target,
       .Channel = Channel,
       .SentAt = State.Loop.now(),
       .ExpectedFactor = placement::expectedTime(Offer.Load, Offer.Hidden),
       .Seen = describe(Offer)});
  const std::size_t Index = Attempts.size() - 1;
  Channel->call(
      {.Head = headFor(Target),
       .Body = Request.Body,
       .RequestId = RequestId,
       .HeadOnly = Request.Method == "HEAD"},
      [Self = shared_from_this(), Index](base::result<target_answer> Result) {
        Self->onAnswer(Index, std::move(Result));
      });
  armHedge();
}

void exchange::armHedge() {
  HedgeTimer.cancel();
  if (!Idempotent || Attempts.size() >= Route->Attempts)
    return;
  const auto Wait = base::duration(static_cast<base::duration::rep>(
      HedgeShare * static_cast<double>(Route->ObjectiveMs) * 1'000));
  if (State.Loop.now() + Wait + MinTimeToSend >= End)
    return;
  HedgeTimer.after(Wait, [Self = shared_from_this()] { Self->hedge(); });
}

void exchange::hedge() {
  // While the service is short of room, a second run only takes some away.
  if (Choosing || !anyRunning() || !Service->Waiters.empty() ||
      !Service->Retries.available(State.Loop.now()))
    return;
  Round = 0;
  Seen.clear();
  startRound();
}

bool exchange::anyRunning() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) { return Attempt.Running; });
}

void exchange::endAttempt(std::size_t Index, attempt_quality Quality) {
  attempt &Attempt = Attempts[Index];
  Attempt.Running = false;
  Attempt.Outcome =
      std::string(nameOf(Quality)) + "@" +
      std::to_string(millisecondsOf(State.Loop.now() - Request.ArrivedAt));
  const base::instant Now = State.Loop.now();
  Service->Placement.ended(Attempt.Target, Quality, Now - Attempt.SentAt, Now);
  if (Attempt.Channel)
    State.Pool.release(std::exchange(Attempt.Channel, {}));
  // The slot that this entry gives back is offered to its own waiters first.
  if (const auto Next = Service->Waiters.takeFirst())
    Next->targetFreed(Attempt.Target);
}

void exchange::onAnswer(std::size_t Index, base::result<target_answer> Result) {
  if (!OnDone)
    return;
  if (Result)
    return onWhole(Index, std::move(Result).value());
  LastFailure = Result.error();
  const bool Untouched = Result.error().Kind == base::error_kind::Unreachable;
  MayHaveRun = MayHaveRun || !Untouched;
  if (!Untouched)
    noteBreak(Attempts[Index].Target);
  endAttempt(Index, attempt_quality::Break);
  if (Untouched)
    Service->Placement.unreachable(Attempts[Index].Target, State.Loop.now());
  sendAgain();
}

/// The request is suspected of having crashed the target.
void exchange::noteBreak(const std::string &Target) {
  const fleet::target_report *Held = Service->Placement.find(Target);
  if (Held != nullptr)
    State.Crashes.broken({.Fingerprint = Fingerprint,
                          .Target = base::target_id(Target),
                          .Incarnation = std::to_string(Held->StartedAtMs)},
                         State.Loop.now());
}

void exchange::onWhole(std::size_t Index, target_answer Answer) {
  constexpr unsigned FirstRedirect = 300;
  constexpr unsigned FirstServerError = 500;
  constexpr unsigned Misdirected = 421;
  const dialect &Names = State.Options.Dialect;
  if (!headerOf(Answer.Fields, Names.NotRun).empty() ||
      Answer.Status == Misdirected) {
    LastFailure = {base::error_kind::Saturated,
                   "target " + Attempts[Index].Target + " refused with " +
                       std::to_string(Answer.Status)};
    endAttempt(Index, attempt_quality::Error);
    return sendAgain();
  }
  const bool Signed = !headerOf(Answer.Fields, Names.Signature).empty();
  const bool Encoded = !headerOf(Answer.Fields, "Content-Encoding").empty();
  const bool Success = Answer.Status < FirstRedirect;
  if (Success && Signed && !Encoded) {
    Times->Usual.record(
        placement::normalised(State.Loop.now() - Attempts[Index].SentAt,
                              Attempts[Index].ExpectedFactor));
    State.Crashes.answered(base::target_id(Attempts[Index].Target), Fingerprint,
                           State.Loop.now());
    endAttempt(Index, attempt_quality::Good);
    return deliver(std::move(Answer));
  }
  MayHaveRun = true;
  const bool ServerError = Answer.Status >= FirstServerError;
  endAttempt(Index, attempt_quality::Error);
  LastFailure = {base::error_kind::OutcomeUnknown,
                 "target answered " + std::to_string(Answer.Status)};
  if (Signed && !Success) {
    if (!ServerError)
      return deliver(std::move(Answer));
    OwnFailure = std::make_unique<target_answer>(std::move(Answer));
  }
  sendAgain();
}

bool exchange::mayTryAgain() const {
  return (Idempotent || !MayHaveRun) && Attempts.size() < Route->Attempts &&
         State.Loop.now() + MinTimeToSend < End &&
         Service->Retries.available(State.Loop.now());
}

void exchange::sendAgain() {
  if (Choosing || anyRunning())
    return;
  if (!mayTryAgain())
    return giveUp();
  Round = 0;
  Seen.clear();
  startRound();
}

void exchange::onTimeout() {
  if (anyRunning()) {
    MayHaveRun = true;
    LastFailure = {base::error_kind::TargetTimeout,
                   "no answer within the time"};
  }
  giveUp();
}

} // namespace fulmar::gateway

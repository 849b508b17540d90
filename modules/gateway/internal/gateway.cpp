// Sets up the gateway, runs its periodic work and stops it.

#include "fulmar/gateway/gateway.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"
#include "internal/callersession.h"
#include "internal/gatewaystate.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <random>

namespace fulmar::gateway {

namespace {

constexpr auto SweepInterval = std::chrono::milliseconds(250);
constexpr auto EvaluateInterval = std::chrono::milliseconds(500);
/// After a stop request, connections are accepted for this share of the grace
/// period and no longer than MaxAcceptTime. Callers keep an answer of the
/// directory for some seconds, but requests that arrive late may not finish
/// within the grace period.
constexpr double AcceptGraceShare = 0.4;
constexpr base::duration MaxAcceptTime = std::chrono::milliseconds(2'500);
/// Shares of the grace period after which requests that still run get an error
/// response, and after which the process ends.
constexpr double ExpireGraceShare = 0.93;
constexpr double ExitGraceShare = 0.96;
/// A target that does not answer on an idle connection within this time has
/// lost the connection.
constexpr base::duration KeepAliveTimeout = std::chrono::seconds(1);
/// A connection to an entry that failed without a reset hangs, and a request on
/// it may not be repeated. A new one costs a round trip and proves that the
/// entry's machine runs.
constexpr base::duration MaxRelayIdle = std::chrono::milliseconds(500);
constexpr auto StopPollInterval = std::chrono::milliseconds(50);
/// Enough senders that some of them have a request when the limit permits one;
/// few enough for what targets bear beyond their limit in a short time.
constexpr placement::fleet_rate_limiter_options AnnouncedLimiterOptions{
    .ExtraSenders = 3, .DelaysFirst = true};

base::duration scaled(base::duration Duration, double Factor) {
  return base::duration(static_cast<base::duration::rep>(
      static_cast<double>(Duration.count()) * Factor));
}

void startSession(gateway_state &State, tcp::socket Accepted,
                  session_peer Peer) {
  const auto Session =
      std::make_shared<caller_session>(State, std::move(Accepted), Peer);
  State.Sessions.insert(Session);
  Session->start();
}

/// A listening socket, its peers, and the timer of its retries.
struct listener {
  tcp::acceptor &Acceptor;
  session_peer Peer = session_peer::Caller;
  eventloop::timer &RetryTimer;
};

std::vector<listener> listenersOf(gateway_state &State) {
  std::vector<listener> Listeners = {{.Acceptor = *State.Acceptor,
                                      .Peer = session_peer::Caller,
                                      .RetryTimer = State.AcceptRetryTimer}};
  if (State.RelayAcceptor)
    Listeners.push_back({.Acceptor = *State.RelayAcceptor,
                         .Peer = session_peer::Entry,
                         .RetryTimer = State.RelayAcceptRetryTimer});
  return Listeners;
}

/// Serves the connections in the kernel's backlog before the acceptor is
/// closed; closing it would reset them.
void stopAccepting(gateway_state &State, const listener &Listener) {
  error_code Failed;
  Listener.Acceptor.cancel(Failed);
  Listener.Acceptor.non_blocking(true, Failed);
  while (!Failed) {
    tcp::socket Accepted(State.Loop.context());
    Listener.Acceptor.accept(Accepted, Failed);
    if (!Failed)
      startSession(State, std::move(Accepted), Listener.Peer);
  }
  Listener.Acceptor.close(Failed);
}

void accept(gateway_state &State, const listener &Listener) {
  Listener.Acceptor.async_accept(
      [&State, Listener](error_code Failed, tcp::socket Socket) {
        if (Failed == asio::error::operation_aborted)
          return;
        if (!Failed)
          startSession(State, std::move(Socket), Listener.Peer);
        if (!Listener.Acceptor.is_open())
          return;
        if (Failed)
          return Listener.RetryTimer.after(
              eventloop::AcceptPause,
              [&State, Listener] { accept(State, Listener); });
        accept(State, Listener);
      });
}

/// Sends a health request over an idle connection to keep it open: a new
/// connection costs the target more than a probe.
void keepAlive(gateway_state &State, const connection_ptr &Connection) {
  for (const auto &[Name, Service] : State.Services) {
    const fleet::target_report *Target =
        Service->Placement.find(connection_pool::targetIdOf(Connection->key()));
    if (Target == nullptr || Target->DataCentre != State.Options.DataCentre)
      continue;
    target_call Call = healthCall(Service->Service, *Target);
    Call.Timeout = KeepAliveTimeout;
    return Connection->call(std::move(Call),
                            [&State, Connection](const auto & /*Response*/) {
                              State.Pool.release(Connection);
                            });
  }
  Connection->close();
}

void sweep(gateway_state &State) {
  for (const connection_ptr &Connection : State.Pool.closeStale())
    keepAlive(State, Connection);
  for (const connection_ptr &Connection : State.RelayPool.closeStale())
    Connection->close();
  // A copy, because a session that closes removes itself from the set.
  const auto Sessions = State.Sessions;
  for (const auto &Session : Sessions)
    Session->checkTimeouts();
}

void expireSessions(gateway_state &State) {
  // A copy, because a session that closes removes itself from the set.
  const auto Sessions = State.Sessions;
  for (const auto &Session : Sessions)
    Session->expire();
}

void reportCrashes(gateway_state &State) {
  for (const routing::crash_report &Report : State.CrashWatch.takeUnconfirmed())
    telemetry::logChange(
        telemetry::log_level::Info, "gateway", "suspicion-unconfirmed",
        {{"fingerprint", routing::fingerprintText(Report.Fingerprint)},
         {"target", Report.Target.str()},
         {"run", Report.Incarnation}});
  for (const routing::crash_report &Report : State.CrashWatch.takeReports()) {
    const std::string Fingerprint =
        routing::fingerprintText(Report.Fingerprint);
    telemetry::logChange(telemetry::log_level::Warning, "gateway",
                         "request-crashed-target",
                         {{"fingerprint", Fingerprint},
                          {"target", Report.Target.str()},
                          {"run", Report.Incarnation}});
    if (State.Options.OnCrash)
      State.Options.OnCrash({.Fingerprint = Fingerprint,
                             .Target = Report.Target.str(),
                             .Incarnation = Report.Incarnation});
  }
}

/// True if the target's program made the response, and made it for this call:
/// only then does a missing header tell something.
bool isIntact(const observed_response &Response, const header_names &Names) {
  const bool IsProbe = Response.Kind == placement::response_kind::Probe;
  return Response.AnswersCall &&
         !headerOf(Response.Fields, IsProbe ? Names.TargetId : Names.Signature)
              .empty();
}

} // namespace

gateway_state::gateway_state(eventloop::loop &OwningLoop,
                             gateway_options InitialOptions,
                             telemetry::metrics &Registry)
    : Loop(OwningLoop), Options(std::move(InitialOptions)), Metrics(Registry),
      Random(std::random_device()()),
      Buffers(std::make_shared<buffer_budget>(Options.MaxBufferedBytes)),
      Pool(Loop, {.SourceAddress = Options.SourceAddress}, Options.HeaderNames,
           Metrics.counterOf("fulmar_target_connections_opened_total"), Buffers,
           [this](const observed_response &Response) {
             applyBackpressure(Response);
           }),
      RelayPool(
          Loop,
          {.SourceAddress = Options.SourceAddress, .MaxIdle = MaxRelayIdle},
          Options.HeaderNames,
          Metrics.counterOf("fulmar_relay_connections_opened_total"), Buffers,
          [](const observed_response & /*Response*/) {}),
      ColdLimiter(Options.InstanceId),
      AnnouncedLimiter(Options.InstanceId, AnnouncedLimiterOptions),
      ProbeBudget(Options.ProbesPerTargetPerSecond), Quotas(*this),
      SuspectChecker(*this), ContactWatch(*this), SweepTimer(Loop),
      EvaluateTimer(Loop), StopTimer(Loop), AcceptRetryTimer(Loop),
      RelayAcceptRetryTimer(Loop) {}

void gateway_state::applyBackpressure(const observed_response &Response) {
  const placement::target_backpressure Backpressure =
      parseBackpressure(Response.Fields, Response.Status, Options.HeaderNames);
  if (Backpressure == placement::target_backpressure{} && !anyAnnouncedLimit())
    return;
  for (const service_ptr &Service : knownServices()) {
    const fleet::target_report *Target = Service->Placement.find(
        connection_pool::targetIdOf(Response.ConnectionKey));
    if (Target == nullptr ||
        connection_pool::keyOf(*Target) != Response.ConnectionKey)
      continue;
    if (Service->Placement.recordBackpressure(Target->Id, Backpressure,
                                              Loop.now()))
      telemetry::logChange(
          telemetry::log_level::Info, "gateway", "target-turned-away",
          {{"target", Target->Id},
           {"leaving", Backpressure.Leaving ? "yes" : "no"},
           {"pause_ms", std::to_string(toMilliseconds(Backpressure.Pause))}});
    const bool TellsLimit =
        Backpressure.RateLimit || (!Backpressure.RateLimitMalformed &&
                                   isIntact(Response, Options.HeaderNames));
    if (TellsLimit &&
        Service->Placement.recordAnnouncedLimit(
            Target->Id, Backpressure.RateLimit, Response.Kind, Loop.now()))
      telemetry::logChange(
          telemetry::log_level::Info, "gateway", "target-limit-changed",
          {{"target", Target->Id},
           {"requests_per_s", Backpressure.RateLimit
                                  ? std::to_string(*Backpressure.RateLimit)
                                  : "unlimited"},
           {"named_in", Response.Kind == placement::response_kind::Probe
                            ? "probe"
                            : "request"}});
    return;
  }
}

bool gateway_state::anyAnnouncedLimit() const {
  return std::any_of(Services.begin(), Services.end(),
                     [](const auto &Entry) {
                       return Entry.second->Placement.anyAnnouncedLimit();
                     }) ||
         std::any_of(
             RetiredServices.begin(), RetiredServices.end(),
             [](const auto &Entry) {
               return Entry.second.Service->Placement.anyAnnouncedLimit();
             });
}

service_ptr gateway_state::serviceOf(const std::string &Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second;
}

void gateway_state::noteSurvived(std::uint64_t Fingerprint) {
  CrashWatch.answered(Fingerprint, Loop.now());
  if (Quarantined.empty())
    return;
  const std::string Text = routing::fingerprintText(Fingerprint);
  if (Quarantined.contains(Text) && Options.OnQuarantinedRequestAnswered)
    Options.OnQuarantinedRequestAnswered(Text, Loop.now());
}

void gateway_state::setQuarantined(const std::set<std::string> &Published) {
  for (const std::string &Text : Published) {
    const auto Fingerprint = routing::parseFingerprint(Text);
    if (!Fingerprint || Quarantined.contains(Text))
      continue;
    const auto Last = CrashWatch.lastAnswerTime(*Fingerprint);
    telemetry::logChange(
        telemetry::log_level::Warning, "gateway", "request-quarantined",
        {{"fingerprint", Text},
         {"answered_ms_ago",
          Last ? std::to_string(toMilliseconds(Loop.now() - *Last)) : ""}});
    if (Last && Options.OnQuarantinedRequestAnswered)
      Options.OnQuarantinedRequestAnswered(Text, *Last);
  }
  Quarantined = Published;
}

bool gateway_state::isQuarantined(std::uint64_t Fingerprint) const {
  return CrashWatch.quarantined(Fingerprint, Loop.now()) ||
         (!Quarantined.empty() &&
          Quarantined.contains(routing::fingerprintText(Fingerprint)));
}

std::shared_ptr<exchange> waiter_queue::popFirst() {
  while (!Waiters.empty()) {
    auto First = Waiters.begin()->second.lock();
    Waiters.erase(Waiters.begin());
    if (First)
      return First;
  }
  return nullptr;
}

const std::string &traffic_splitter::next(const fleet::route &Route) {
  // Steps of the golden ratio are evenly distributed over any interval.
  constexpr double GoldenRatio = 0.6180339887498949;
  Position += GoldenRatio;
  if (Position >= 1)
    Position -= 1;
  double Sum = 0;
  for (const fleet::route_share &Share : Route.Shares)
    Sum += Share.Weight;
  double Rest = Position * Sum;
  for (const fleet::route_share &Share : Route.Shares) {
    if (Rest < Share.Weight)
      return Share.Service;
    Rest -= Share.Weight;
  }
  return Route.Shares.back().Service;
}

gateway::gateway(eventloop::loop &OwningLoop, gateway_options InitialOptions,
                 telemetry::metrics &Registry)
    : State(std::make_unique<gateway_state>(
          OwningLoop, std::move(InitialOptions), Registry)) {}

gateway::~gateway() {
  const auto Sessions = State->Sessions;
  for (const auto &Session : Sessions)
    Session->close();
}

base::result<void> gateway::start() {
  BOOST_OUTCOME_TRY(Listening, eventloop::listenOn(
                                   State->Loop, State->Options.ListenAddress));
  State->Acceptor = std::make_unique<tcp::acceptor>(std::move(Listening));
  if (!State->Options.RelayListenAddress.empty()) {
    BOOST_OUTCOME_TRY(
        ForEntries,
        eventloop::listenOn(State->Loop, State->Options.RelayListenAddress));
    State->RelayAcceptor =
        std::make_unique<tcp::acceptor>(std::move(ForEntries));
  }
  for (const listener &Listener : listenersOf(*State))
    accept(*State, Listener);
  State->SweepTimer.every(SweepInterval, [this] { sweep(*State); });
  State->EvaluateTimer.every(EvaluateInterval, [this] {
    for (const auto &[Name, Service] : State->Services)
      Service->Placement.evaluate(State->Loop.now());
    State->CrashWatch.expire(State->Loop.now());
    reportCrashes(*State);
  });
  return base::success();
}

void gateway::apply(const fleet_view &View) { State->apply(View); }

void gateway::recordProof(base::instant ProvedAt) {
  State->ProvedAt = ProvedAt;
}

void gateway::recordTokens(const fleetlink::allotment_reply &Reply) {
  State->Quotas.answer(Reply);
}

void gateway::recordHolderChange() { State->Quotas.holderChanged(); }

bool gateway::ready() const {
  return !State->Stopping && State->Routes.plan() != nullptr &&
         std::any_of(State->Services.begin(), State->Services.end(),
                     [](const auto &Entry) {
                       return Entry.second->Placement.size() > 0;
                     });
}

void gateway::stop(std::function<void()> Done) {
  State->Stopping = true;
  State->OnStopped = std::move(Done);
  const base::instant StoppedAt = State->Loop.now();
  const base::duration GracePeriod = State->Options.GracePeriod;
  State->StopTimer.every(StopPollInterval, [this, StoppedAt, GracePeriod] {
    const base::duration Elapsed = State->Loop.now() - StoppedAt;
    const bool Accepting =
        Elapsed <
        std::min(scaled(GracePeriod, AcceptGraceShare), MaxAcceptTime);
    if (!Accepting && State->Acceptor->is_open()) {
      for (const listener &Listener : listenersOf(*State))
        stopAccepting(*State, Listener);
    }
    const bool Finished =
        !Accepting && State->RunningRequests == 0 && State->Sessions.empty();
    if (!Finished && Elapsed >= scaled(GracePeriod, ExpireGraceShare))
      expireSessions(*State);
    if (!Finished && Elapsed < scaled(GracePeriod, ExitGraceShare))
      return;
    State->StopTimer.cancel();
    if (const auto Call = std::exchange(State->OnStopped, {}))
      Call();
  });
}

} // namespace fulmar::gateway

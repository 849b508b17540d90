// Sends the health request and evaluates the response.

#include "internal/targetprobe.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace fulmar::gateway {

namespace {

/// A target that does not answer a probe within this time is avoided. Far above
/// the round-trip time, and below the shortest deadline of requests.
constexpr base::duration ProbeTimeout = std::chrono::milliseconds(250);
/// Back-off for a target whose health check says that it is leaving or failing.
constexpr base::duration UnhealthyBackOff = std::chrono::milliseconds(500);
/// Back-off for a target at whose address another one answered.
constexpr base::duration WrongTargetBackOff = std::chrono::seconds(2);
constexpr unsigned StatusOk = 200;
constexpr double PercentAsUsual = 100;
/// Larger numbers in a load header are not plausible; the header is ignored.
constexpr double MaxLoadNumber = 1e6;
/// Upper bound of any target's warm-up.
constexpr std::uint64_t MaxWarmUpMs = 600'000;

std::vector<double> parseNumbers(std::string_view List) {
  std::vector<double> Numbers;
  while (!List.empty()) {
    const auto Comma = List.find(',');
    std::string_view Part = List.substr(0, Comma);
    while (!Part.empty() && Part.front() == ' ')
      Part.remove_prefix(1);
    double Number = 0;
    const auto Read =
        std::from_chars(Part.data(), Part.data() + Part.size(), Number);
    if (Read.ec != std::errc() || !(Number >= 0) || Number > MaxLoadNumber)
      return {};
    Numbers.push_back(Number);
    List.remove_prefix(Comma == std::string_view::npos ? List.size()
                                                       : Comma + 1);
  }
  return Numbers;
}

} // namespace

target_call healthCall(const fleet::service &Service,
                       const fleet::target_report &Target) {
  std::string Head = "GET " + Service.HealthPath + " HTTP/1.1\r\n";
  appendHeader(Head, "Host", Target.Address);
  Head += "\r\n";
  return {.Head = std::move(Head), .Kind = placement::response_kind::Probe};
}

target_probe::target_probe(gateway_state &Owner, service_ptr ProbedService,
                           const fleet::target_report &Report)
    : State(Owner), Service(std::move(ProbedService)), Target(Report),
      TimeoutTimer(Owner.Loop) {}

void target_probe::start(std::function<void()> Done) {
  OnDone = std::move(Done);
  Connection = State.Pool.acquire(Target);
  sendProbe();
}

void target_probe::startOnNewConnection() {
  Released = true;
  Connection = State.Pool.open(Target);
  sendProbe();
}

void target_probe::sendProbe() {
  SentAt = State.Loop.now();
  Service->Placement.probeStarted(Target.Id, SentAt);
  if (!Connection)
    return finish();
  TimeoutTimer.after(ProbeTimeout,
                     [Self = shared_from_this()] { Self->onTimeout(); });
  Connection->call(healthCall(Service->Service, Target),
                   [Self = shared_from_this()](
                       const base::result<target_response> &Response) {
                     Self->onResponse(Response);
                   });
}

void target_probe::onResponse(const base::result<target_response> &Response) {
  TimeoutTimer.cancel();
  const base::instant Now = State.Loop.now();
  if (!Response) {
    Service->Placement.recordUnreachable(Target.Id, Now);
    State.ContactWatch.silent(*Service, Target.Id, SentAt);
    // A timeout is no proof of a crash: the link may be down.
    if (Connection->refused())
      State.SuspectChecker.refused(Service, Target.Id);
    return finish();
  }
  State.ContactWatch.answered(*Service, Target.Id);
  const target_response &Received = Response.value();
  const auto Id = headerOf(Received.Fields, State.Options.HeaderNames.TargetId);
  // It may be a late duplicate of another response, with the probe's own
  // response still to come.
  if (Id.empty() || !Received.Complete)
    Connection->markUnusable();
  if (Id == Target.Id)
    State.CrashWatch.probeAnswered(base::target_id(Target.Id), SentAt);
  else if (!Id.empty())
    State.CrashWatch.unreachable(base::target_id(Target.Id), Now);
  if (Id != Target.Id)
    Service->Placement.backOff(Target.Id, WrongTargetBackOff, Now);
  else if (Received.Status != StatusOk)
    Service->Placement.backOff(Target.Id, UnhealthyBackOff, Now);
  else
    readLoad(Received.Fields);
  finish();
}

void target_probe::readLoad(const http::fields &Fields) {
  const header_names &Names = State.Options.HeaderNames;
  const auto Numbers = parseNumbers(headerOf(Fields, Names.Load));
  if (Numbers.size() >= 3) {
    Load.Running = static_cast<std::uint32_t>(Numbers[0]);
    Load.Waiting = static_cast<std::uint32_t>(Numbers[1]);
    Load.Slots = static_cast<std::uint32_t>(Numbers[2]);
  }
  if (Numbers.size() >= 4)
    Load.Slowdown = Numbers[3] / PercentAsUsual;
  if (const auto WarmUpMs = parseWhole(headerOf(Fields, Names.RemainingWarmUp)))
    Load.RemainingWarmUp =
        std::chrono::milliseconds(std::min(*WarmUpMs, MaxWarmUpMs));
  Healthy = true;
  AnsweredAt = State.Loop.now();
  InFlightAtAnswer = Service->Placement.inFlight(Target.Id);
  Service->Placement.probeAnswered(Target.Id, Load, AnsweredAt);
}

void target_probe::onTimeout() {
  Service->Placement.recordUnreachable(Target.Id, State.Loop.now());
  State.ContactWatch.silent(*Service, Target.Id, SentAt);
  if (Connection)
    Connection->close();
  finish();
}

void target_probe::finish() {
  Finished = true;
  Service->Placement.probeEnded(Target.Id);
  if (!Healthy && Connection) {
    State.Pool.release(Connection);
    Connection.reset();
  }
  if (Released)
    release();
  const auto Done = std::exchange(OnDone, {});
  if (Done)
    Done();
}

void target_probe::release() {
  Released = true;
  OnDone = {};
  if (Finished && Connection) {
    State.Pool.release(Connection);
    Connection.reset();
  }
}

placement::unreported_requests target_probe::unreportedRequests() const {
  const auto Now = Service->Placement.inFlight(Target.Id);
  return Now > InFlightAtAnswer ? Now - InFlightAtAnswer : 0;
}

connection_ptr target_probe::takeConnection() {
  return std::exchange(Connection, {});
}

} // namespace fulmar::gateway

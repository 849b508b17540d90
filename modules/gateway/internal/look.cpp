// Sends the health request and reads what it tells.

#include "internal/look.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace fulmar::gateway {

namespace {

/// A target that does not answer a look for this long is left alone: far above
/// the round trip, below the shortest time in which requests are wanted.
constexpr base::duration SilenceLimit = std::chrono::milliseconds(250);
/// A target that says it is leaving or failing.
constexpr base::duration UnhealthyPause = std::chrono::milliseconds(500);
/// Another target answered at the address.
constexpr base::duration MisdirectedPause = std::chrono::seconds(2);
constexpr unsigned StatusOk = 200;
constexpr double PercentAsUsual = 100;
/// Numbers above any that a load header may hold name no load.
constexpr double MaxLoadNumber = 1e6;
/// No target stays cold for longer.
constexpr std::uint64_t MaxColdMs = 600'000;

std::vector<double> numbersIn(std::string_view List) {
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
  return {.Head = std::move(Head)};
}

look::look(gateway_state &Owner, service_ptr Looked,
           const fleet::target_report &At)
    : State(Owner), Service(std::move(Looked)), Target(At),
      Silence(Owner.Loop) {}

void look::start(std::function<void()> Done) {
  OnDone = std::move(Done);
  Channel = State.Pool.acquire(Target);
  ask();
}

void look::startAnew() {
  Released = true;
  Channel = State.Pool.open(Target);
  ask();
}

void look::ask() {
  AskedAt = State.Loop.now();
  Service->Placement.probeStarted(Target.Id, AskedAt);
  if (!Channel)
    return finish();
  Silence.after(SilenceLimit,
                [Self = shared_from_this()] { Self->onSilence(); });
  Channel->call(
      healthCall(Service->Service, Target),
      [Self = shared_from_this()](const base::result<target_answer> &Answer) {
        Self->onAnswer(Answer);
      });
}

void look::onAnswer(const base::result<target_answer> &Answer) {
  Silence.cancel();
  const base::instant Now = State.Loop.now();
  if (!Answer) {
    Service->Placement.recordUnreachable(Target.Id, Now);
    // Silence may as well be a cut link.
    if (Channel->refused())
      State.Crashes.unreachable(base::target_id(Target.Id), Now);
    return finish();
  }
  const target_answer &Told = Answer.value();
  const auto Id = headerOf(Told.Fields, State.Options.Dialect.TargetId);
  // It may be a late copy of another answer, and the look's own still to come.
  if (Id.empty() || !Told.Whole)
    Channel->taint();
  if (Id == Target.Id)
    State.Crashes.probeAnswered(base::target_id(Target.Id), AskedAt);
  else if (!Id.empty())
    State.Crashes.unreachable(base::target_id(Target.Id), Now);
  if (Id != Target.Id)
    Service->Placement.backOff(Target.Id, MisdirectedPause, Now);
  else if (Told.Status != StatusOk)
    Service->Placement.backOff(Target.Id, UnhealthyPause, Now);
  else
    readLoad(Told.Fields);
  finish();
}

void look::readLoad(const http::fields &Fields) {
  const dialect &Names = State.Options.Dialect;
  const auto Numbers = numbersIn(headerOf(Fields, Names.Load));
  if (Numbers.size() >= 3) {
    Load.Running = static_cast<std::uint32_t>(Numbers[0]);
    Load.Waiting = static_cast<std::uint32_t>(Numbers[1]);
    Load.Slots = static_cast<std::uint32_t>(Numbers[2]);
  }
  if (Numbers.size() >= 4)
    Load.Slowdown = Numbers[3] / PercentAsUsual;
  if (const auto Cold = parseWhole(headerOf(Fields, Names.ColdLeft)))
    Load.RemainingWarmUp =
        std::chrono::milliseconds(std::min(*Cold, MaxColdMs));
  Good = true;
  AnsweredAt = State.Loop.now();
  InFlightThen = Service->Placement.inFlight(Target.Id);
  Service->Placement.probeAnswered(Target.Id, Load, AnsweredAt);
}

void look::onSilence() {
  Service->Placement.recordUnreachable(Target.Id, State.Loop.now());
  if (Channel)
    Channel->close();
  finish();
}

void look::finish() {
  Finished = true;
  Service->Placement.probeEnded(Target.Id);
  if (!Good && Channel) {
    State.Pool.release(Channel);
    Channel.reset();
  }
  if (Released)
    release();
  const auto Done = std::exchange(OnDone, {});
  if (Done)
    Done();
}

void look::release() {
  Released = true;
  OnDone = {};
  if (Finished && Channel) {
    State.Pool.release(Channel);
    Channel.reset();
  }
}

placement::unreported_requests look::hidden() const {
  const auto Now = Service->Placement.inFlight(Target.Id);
  return Now > InFlightThen ? Now - InFlightThen : 0;
}

channel_ptr look::takeChannel() { return std::exchange(Channel, {}); }

} // namespace fulmar::gateway

// Start of the fleet, its targets' work and their crashes.

#include "smallfleet.h"

#include <algorithm>

namespace fulmar::wholefleet {

namespace {

using std::chrono::milliseconds;

constexpr int FirstEntryPort = 18'700;
constexpr int FirstTargetPort = 18'740;
constexpr auto ReportInterval = milliseconds(400);
constexpr auto StartLimit = std::chrono::seconds(10);
constexpr const char *PoisonMark = "poison";

std::string localAddress(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}
std::string entryAddress(int Number) {
  return localAddress(FirstEntryPort + Number);
}

fleet::routing_plan plan() {
  const auto Route = [](const char *Name, fleet::idempotency Repeatability) {
    return fleet::route{.Name = Name,
                        .Host = "a.example",
                        .PathPrefix = "/" + std::string(Name) + "/",
                        .Idempotency = Repeatability,
                        .Shares = {{.Service = "s"}},
                        .TimeoutMs = 2'000,
                        .ObjectiveMs = 600,
                        .Attempts = 2};
  };
  return {.Version = 1,
          .Routes = {Route("read", fleet::idempotency::Idempotent),
                     Route("write", fleet::idempotency::AtMostOnce)},
          .Services = {{.Name = "s", .HealthPath = "/healthz"}}};
}

} // namespace

small_fleet::entry::entry(small_fleet &Owner, int Number)
    : Gateway(Owner.Cluster.loop(),
              {.ListenAddress = entryAddress(Number),
               .HeaderNames = gateway::testHeaderNames(),
               .InstanceId = "e" + std::to_string(Number),
               .DataCentre = "pos",
               .OnCrash =
                   [this](const controlstate::crash_command &Crash) {
                     Feed.reportCrash(Crash);
                   },
               .OnQuarantinedRequestAnswered =
                   [this](const std::string &Fingerprint,
                          base::instant AnsweredAt) {
                     Feed.reportAnsweredRequest(Fingerprint, AnsweredAt);
                   }},
              Metrics),
      Feed(Owner.Cluster.loop(),
           {.Self = {.Id = "e" + std::to_string(Number),
                     .Incarnation = "any",
                     .DataCentre = "pos",
                     .Address = entryAddress(Number)},
            .Seeds = {controlnode::test_cluster::address(0),
                      controlnode::test_cluster::address(1),
                      controlnode::test_cluster::address(2)}},
           [this](const gateway::fleet_view &View) {
             Gateway.apply(View);
             Feed.setReady(Gateway.ready());
           }) {}

small_fleet::small_fleet(const fleet_options &Chosen)
    : Options(Chosen), Reporter(Cluster.loop()) {
  for (int Number = 0; Number < Options.Controls; ++Number)
    Cluster.start(Number);
  std::optional<bool> Accepted;
  Cluster.node(0).propose(
      controlstate::plan_command{
          .Version = 1, .Plan = fleet::encodePlan(plan()), .Document = "plan"},
      controlnode::CallLimit,
      [&Accepted](const auto &Reply) { Accepted = Reply.has_value(); });
  CHECK_TRUE(Cluster.runUntil([&] { return Accepted.has_value(); }));
  CHECK_TRUE(*Accepted);
  Places.resize(static_cast<std::size_t>(Options.Targets));
  for (int Number = 0; Number < Options.Targets; ++Number)
    startTarget(Number);
  Reporter.every(ReportInterval, [this] { tick(); });
  for (int Number = 0; Number < Options.Entries; ++Number) {
    Entries.push_back(std::make_unique<entry>(*this, Number));
    CHECK_TRUE(Entries.back()->Gateway.start().has_value());
  }
  CHECK_TRUE(Cluster.runUntil(
      [this] {
        return std::all_of(
            Entries.begin(), Entries.end(), [this](const auto &Entry) {
              return Entry->Feed.view().Targets.size() == Places.size() &&
                     Entry->Gateway.ready();
            });
      },
      StartLimit));
}

void small_fleet::startTarget(int Number) {
  target_place &Place = Places[static_cast<std::size_t>(Number)];
  if (Place.Target)
    Ended.push_back(std::move(Place.Target));
  ++Place.Runs;
  Place.Target = std::make_unique<gateway::scripted_target>(
      Cluster.loop(),
      "t" + std::to_string(Number) + "-" + std::to_string(Place.Runs),
      localAddress(FirstTargetPort + Number),
      [this, Number](const gateway::received_request &Seen) {
        return work(Number, Seen);
      });
  Place.Up = true;
  report(Number);
}

gateway::target_action
small_fleet::work(int Number, const gateway::received_request &Seen) {
  target_place &Place = Places[static_cast<std::size_t>(Number)];
  Place.Arrivals.push_back(now());
  if (Seen.Target.find(PoisonMark) == std::string::npos) {
    std::string Bytes = gateway::scripted_target::ok(Seen, "done");
    if (!Place.RateLimit.empty())
      Bytes.insert(Bytes.find("T-Signature"),
                   "T-Limit: " + Place.RateLimit + "\r\n");
    return {.Bytes = std::move(Bytes), .ResponseDelay = Options.Work};
  }
  PoisonArrivals.push_back(now());
  Cluster.loop().post([this, Number] { crashTarget(Number); });
  return {};
}

void small_fleet::announceLimit(int Target, const std::string &Rate) {
  Places[static_cast<std::size_t>(Target)].RateLimit = Rate;
}

const std::vector<base::instant> &small_fleet::arrivals(int Target) const {
  return Places[static_cast<std::size_t>(Target)].Arrivals;
}

void small_fleet::crashTarget(int Number) {
  target_place &Place = Places[static_cast<std::size_t>(Number)];
  if (!std::exchange(Place.Up, false))
    return;
  Place.Target->crash();
  Timers.push_back(std::make_unique<eventloop::timer>(Cluster.loop()));
  Timers.back()->after(Options.DownTime,
                       [this, Number] { startTarget(Number); });
}

void small_fleet::report(int Number) {
  const target_place &Place = Places[static_cast<std::size_t>(Number)];
  Cluster.node(0).propose(
      controlstate::target_report_command{{.Id = Place.Target->id(),
                                           .Service = "s",
                                           .DataCentre = "pos",
                                           .Address = Place.Target->address(),
                                           .Slots = 4,
                                           .StartedAtMs = Place.Runs,
                                           .Sequence = 1}},
      controlnode::CallLimit, [](const auto & /*Reply*/) {});
}

void small_fleet::tick() {
  for (const target_place &Place : Places) {
    for (int Number = 0; Place.Up && Number < Options.Controls; ++Number)
      Cluster.node(Number).recordTargetReport(Place.Target->id());
  }
}

void small_fleet::send(int Entry, const std::string &Method,
                       const std::string &Path) {
  Calls.push_back({.Path = Path,
                   .Caller = std::make_unique<gateway::test_caller>(
                       Cluster.loop(), true, entryAddress(Entry))});
  Calls.back().Caller->send(gateway::request(Method, Path));
}

void small_fleet::run(base::duration Time) {
  const base::instant Until = now() + Time;
  Cluster.runUntil([this, Until] { return now() >= Until; }, Time);
}

int small_fleet::answers(const std::string &Status,
                         const std::string &Prefix) const {
  return static_cast<int>(
      std::count_if(Calls.begin(), Calls.end(), [&](const call &Call) {
        return Call.Path.starts_with(Prefix) &&
               Call.Caller->Received.starts_with("HTTP/1.1 " + Status);
      }));
}

std::vector<std::string> small_fleet::quarantinedPaths() const {
  std::vector<std::string> Paths;
  for (const call &Call : Calls) {
    if (Call.Caller->Received.find("quarantined") != std::string::npos)
      Paths.push_back(Call.Path);
  }
  return Paths;
}

} // namespace fulmar::wholefleet

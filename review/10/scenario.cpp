// CONFIG and DENIED: raised limits don't reach connections that are open.
//
// Sends: an operator puts a configuration that takes bodies of up to 65,536
// bytes. Twenty clients open a connection each and send one short request. The
// operator raises the limit to 1,048,576 bytes under a new version (with
// TROUBLE=0 the limit is the higher one from the start, and the new version
// changes nothing). Three seconds after the acknowledgement, each client
// uploads 100,000 bytes on its connection, then once more on a new one.
// Checks: DENIED, more than 5 + one in 500 of all requests refused with a 4xx
// other than 408, 421 and 429 though they are proper and the only configuration
// that may be in force allows them; CONFIG, handled as only an older version
// allows later than config_apply_ms (2,000 ms) after the acknowledgement.

#include "standins.h"

using namespace review;

namespace {

constexpr std::int64_t LowBytes = 65'536;
constexpr std::int64_t HighBytes = 1'048'576;
constexpr std::size_t UploadBytes = 100'000;
constexpr std::int64_t DeadlineMs = 5'000;
constexpr int Clients = 20;

void work(upstream &Self, connection &To, const http_message &Request) {
  sleepMs(5);
  Self.answer(To, Request, "stored " + std::to_string(Request.Body.size()));
}

int ask(connection &To, const std::string &Method, const std::string &Attempt,
        const std::string &Body, record &Log) {
  const bool Sent =
      To.send(clientRequest(Method, "/photo/1", Attempt, DeadlineMs, Body));
  const auto Answer = To.read(DeadlineMs);
  const int Status = Answer ? Answer->Status : 0;
  Log.write(Attempt + ": " + std::to_string(Body.size()) + " bytes" +
            (Sent ? "" : " (cut while sending)") + ", answered " +
            std::to_string(Status) + " " + (Answer ? Answer->Body : ""));
  return Status;
}

verdict play(const std::string &Root, const std::string &Folder, record &Log,
             bool Trouble) {
  deployment Fleet(Root, Folder, Log, 3, 2);
  if (!Fleet.start())
    return verdict::CouldNotRun;
  upstream Server({.Id = "i-1",
                   .Service = "approvals",
                   .Address = Fleet.upstreamHost(0) + ":" +
                              std::to_string(Fleet.allPorts().Upstream),
                   .Controls = Fleet.controls(),
                   .Slots = 64},
                  Log, work);
  configuration Wanted{
      .MaxBodyBytes = Trouble ? LowBytes : HighBytes,
      .Routes = {{"photo", "upload", "/photo/", "approvals", 4'000, 300, 2}},
      .Services = {"approvals"}};
  if (Fleet.putConfiguration(text(Wanted), 20'000) != 200 || !Server.start() ||
      !Fleet.awaitReady(20'000))
    return verdict::CouldNotRun;
  sleepMs(1'000);

  std::vector<std::unique_ptr<connection>> Kept;
  int Requests = 0;
  for (int Number = 0; Number < Clients; ++Number) {
    Kept.push_back(std::make_unique<connection>());
    if (!Kept.back()->open(Fleet.front(0), 1'000) ||
        ask(*Kept.back(), "POST", "first" + std::to_string(Number), "x", Log) !=
            200)
      return verdict::CouldNotRun;
    ++Requests;
  }
  Wanted.Version = 2;
  Wanted.MaxBodyBytes = HighBytes;
  if (Fleet.putConfiguration(text(Wanted), 4'000) != 200)
    return verdict::CouldNotRun;
  sleepMs(3'000);

  const std::string Upload(UploadBytes, 'p');
  int Denied = 0;
  int ServedAnew = 0;
  for (int Number = 0; Number < Clients; ++Number) {
    const std::string Suffix = std::to_string(Number);
    Denied += ask(*Kept[static_cast<std::size_t>(Number)], "POST",
                  "kept" + Suffix, Upload, Log) == 413;
    connection New;
    if (!New.open(Fleet.front(0), 1'000))
      return verdict::CouldNotRun;
    ServedAnew += ask(New, "POST", "new" + Suffix, Upload, Log) == 200;
    Requests += 2;
  }
  Log.write("denied on kept connections " + std::to_string(Denied) +
            ", served on new ones " + std::to_string(ServedAnew) + ", of " +
            std::to_string(Requests) + " requests");
  if (ServedAnew == 0)
    return verdict::CouldNotRun;
  return Denied > 5 + Requests / 500 ? verdict::Broken : verdict::Held;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }

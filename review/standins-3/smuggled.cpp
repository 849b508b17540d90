// Requests whose body holds the bytes of another request.
//
// Sends: 30 uploads, each on a connection of its own, whose body is the text of
// a further request with an id that no client sends. Their head has a
// `Transfer-Encoding` that doesn't end with `chunked` (gzip, identity and
// "chunked, identity" in turn), after which a server can't tell where the body
// ends (TROUBLE=0: a Content-Length instead). Checks: no upstream runs the
// request inside a body, or an upload with another body than was sent.

#include "upstream.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

namespace {

using namespace review;

constexpr int Uploads = 30;

const std::string Configuration =
    R"({"version":"r1","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"listeners":[{"host":"ficu95.example",)"
    R"("policy":[{"name":"r-1","kind":"upload","target_latency_ms":300,)"
    R"("priority":1,"match":{"path_prefix":"/pufi791/"},"action":)"
    R"({"service":"huvo11a","timeout_ms":600,"attempts":1}}]}],)"
    R"("clusters":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":300,"protocol":"h1","tls":false,"warmup_s":3.0,)"
    R"("warmup_per_s":15.0}]})";

int play(const std::string &RecordFile) {
  record Record(RecordFile);
  const char *Set = std::getenv("TROUBLE");
  const bool Trouble = Set == nullptr || std::string(Set) != "0";
  deployment Fleet(3, 1, {"trakia", "kapana", "maritsa"});
  Fleet.start();
  const auto Accepted = callControl(Fleet, 0, "POST", "/v1/Config.Replace",
                                    Configuration, 15'000);
  if (!Accepted || Accepted->status() != 200)
    return 2;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  for (int Index = 0; Index < 2; ++Index) {
    Upstreams.push_back(std::make_unique<upstream>(
        upstream_settings{.Id = "i-" + std::to_string(Index),
                          .Service = "huvo11a",
                          .Zone =
                              Fleet.zones()[static_cast<std::size_t>(Index)],
                          .At = {Fleet.address(100 + Index), 8080}},
        Record));
    Upstreams.back()->startHeartbeats(Fleet);
  }
  sleepMs(3'000);
  const std::vector<std::string> Codings = {"gzip", "identity",
                                            "chunked, identity"};
  std::map<std::string, std::string> BodyOf;
  std::map<std::string, std::string> InsideOf;
  int Served = 0;
  for (int Number = 0; Number < Uploads; ++Number) {
    const std::string Id = pad(static_cast<std::uint64_t>(1'000 + Number));
    const std::string Inside = pad(static_cast<std::uint64_t>(9'000 + Number));
    const std::string Body =
        "POST /pufi791/inside HTTP/1.1\r\nHost: ficu95.example\r\n"
        "X-Attempt-Id: " +
        Inside + "\r\nContent-Length: 0\r\n\r\n";
    BodyOf[Id] = Body;
    InsideOf[Inside] = Id;
    const std::string Length =
        Trouble ? "Transfer-Encoding: " +
                      Codings[static_cast<std::size_t>(Number) % Codings.size()]
                : "Content-Length: " + std::to_string(Body.size());
    connection Link;
    if (!Link.open(Fleet.frontOf(0), 1'000))
      return 2;
    Link.send("POST /pufi791/upload HTTP/1.1\r\nHost: ficu95.example\r\n"
              "X-Attempt-Id: " +
              Id + "\r\nX-Deadline-Ms: 800\r\n" + Length + "\r\n\r\n" + Body);
    std::string Answers;
    while (const auto Reply = Link.read(300)) {
      Answers += " " + std::to_string(Reply->status());
      Served += Reply->status() == 200 ? 1 : 0;
    }
    Record.line("upload " + Id + " with " + Length + ", inside it " + Inside +
                ", answers:" + Answers);
  }
  int Smuggled = 0;
  int Changed = 0;
  for (const auto &Upstream : Upstreams) {
    for (const run_entry &Run : Upstream->runs()) {
      const auto Sent = BodyOf.find(Run.Attempt);
      Smuggled += InsideOf.contains(Run.Attempt) ? 1 : 0;
      Changed += Sent != BodyOf.end() && Sent->second != Run.Body ? 1 : 0;
    }
  }
  Record.line(std::to_string(Uploads) + " uploads sent, " +
              std::to_string(Served) + " answers of 200; " +
              std::to_string(Smuggled) + " requests inside a body were run, " +
              std::to_string(Changed) + " uploads were run with another body");
  if (!Trouble && Served == 0)
    return 2;
  const bool Broken = Smuggled + Changed > 0;
  Record.line(Broken ? "broken" : "held");
  return Broken ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return play(Arguments[1]);
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return 2;
  }
}

// Control paths of a stand-in target.

#include "controlhandler.h"

#include <Poco/URI.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <map>
#include <sstream>

namespace fulmar::target {

namespace {

using Poco::Net::HTTPResponse;

using setter = void (*)(target_behaviour &, double);

const std::map<std::string, setter> Setters = {
    {"straggle",
     [](target_behaviour &Wanted, double Value) { Wanted.Straggle = Value; }},
    {"fail_fast", [](target_behaviour &Wanted,
                     double Value) { Wanted.FailFast = Value != 0; }},
    {"lie_load",
     [](target_behaviour &Wanted, double Value) { Wanted.LieLoad = Value; }},
    {"lag_ms",
     [](target_behaviour &Wanted, double Value) {
       Wanted.LoadLag =
           std::chrono::milliseconds(static_cast<std::int64_t>(Value));
     }},
    {"truncate", [](target_behaviour &Wanted,
                    double Value) { Wanted.Truncate = Value != 0; }},
};

bool change(target_state &State, const Poco::URI &Target) {
  target_behaviour Wanted = State.behaviour();
  for (const auto &[Name, Text] : Target.getQueryParameters()) {
    const auto Found = Setters.find(Name);
    double Value = 0;
    if (Found == Setters.end() || !absl::SimpleAtod(Text, &Value))
      return false;
    Found->second(Wanted, Value);
  }
  State.change(Wanted);
  return true;
}

bool turnCold(target_state &State, const Poco::URI &Target) {
  State.turnCold(Target.getQuery() == "incarnation=new");
  return true;
}

bool drain(target_state &State, const Poco::URI & /*Target*/) {
  State.drain();
  return true;
}

const std::map<std::string, bool (*)(target_state &, const Poco::URI &)>
    Actions = {{"/.control/set", change},
               {"/.control/turn-cold", turnCold},
               {"/.control/drain", drain}};

void sendJson(Poco::Net::HTTPServerResponse &Response,
              const Poco::JSON::Object &Table) {
  std::ostringstream Text;
  Table.stringify(Text);
  Response.setContentType("application/json");
  Response.sendBuffer(Text.str().data(), Text.str().size());
}

} // namespace

bool control_handler::serves(const std::string &Target) {
  return absl::StartsWith(Target, "/.control/") || Target == "/.health";
}

bool control_handler::act(const std::string &Target) {
  const Poco::URI Parsed(Target);
  const auto Found = Actions.find(Parsed.getPath());
  return Found != Actions.end() && Found->second(State, Parsed);
}

void control_handler::handleRequest(Poco::Net::HTTPServerRequest &Request,
                                    Poco::Net::HTTPServerResponse &Response) {
  if (Request.getURI() == "/.health") {
    State.countProbe();
    return sendJson(Response, State.announcement(""));
  }
  if (Request.getMethod() != "GET" && !act(Request.getURI()))
    Response.setStatusAndReason(HTTPResponse::HTTP_BAD_REQUEST);
  Poco::JSON::Object Counts = State.counts();
  Counts.set("connections_opened", ConnectionsOpened());
  sendJson(Response, Counts);
}

} // namespace fulmar::target

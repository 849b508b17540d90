// Takes data centres out of service and returns them, and waits until that is
// in force on every live instance.

#include "commandtable.h"

#include <Poco/UUIDGenerator.h>

#include <iomanip>
#include <thread>

namespace fulmar::ctl {

namespace {

constexpr base::duration PollPause = std::chrono::milliseconds(200);

struct operation {
  std::string Id;
  std::string Action;
  std::string Name;

  [[nodiscard]] std::string resend(const std::string &Author) const {
    return "fulmarctl data-centre " + Action + " " + Name +
           " --author=" + Author + " --operation=" + Id;
  }
};

/// Instances are counted, or listed by name.
std::uint64_t countOf(const Json::Value &Value) {
  return Value.isArray() ? Value.size() : Value.asUInt64();
}

std::string join(const Json::Value &Names) {
  std::string Text;
  for (const Json::Value &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name.asString();
  return Text;
}

base::result<Json::Value> set(invocation &Call, const operation &Operation,
                              const std::string &Token) {
  Json::Value Parameters;
  Parameters["operation"] = Operation.Id;
  Parameters["name"] = Operation.Name;
  Parameters["action"] = Operation.Action;
  Parameters["author"] = Call.Options.Author;
  Parameters["token"] = Token;
  return Call.Control.call("data_centre.set", Parameters);
}

/// The last state of force: nobody waits, or the time was up.
base::result<Json::Value> awaitForce(invocation &Call, Json::UInt64 Serial,
                                     base::instant Deadline) {
  Json::Value Parameters;
  Parameters["serial"] = Serial;
  while (true) {
    BOOST_OUTCOME_TRY(Force, Call.Control.call("control.force", Parameters));
    if (countOf(Force["waiting"]) == 0 ||
        base::steady_clock().now() + PollPause >= Deadline)
      return Force;
    std::this_thread::sleep_for(PollPause);
  }
}

exit_code report(invocation &Call, const operation &Operation,
                 const Json::Value &Set, const Json::Value &Force,
                 base::duration Elapsed) {
  const std::uint64_t Waiting = countOf(Force["waiting"]);
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  if (Call.Options.Json) {
    Json::Value Value = Force;
    Value["operation"] = Operation.Id;
    Value["state"] = Set["state"];
    Value["repeated"] = Set["repeated"];
    Value["seconds"] = Seconds;
    printJson(Call, Value);
  } else {
    const std::string State = Set["state"].asString();
    // Under a new id it was this command itself that sent it twice.
    if (Set["repeated"].asBool() && !Call.Options.Operation.empty())
      Call.Out << "this operation was carried out before and set "
               << Operation.Name << " to " << State
               << "; nothing was changed now, and a later operation may have "
                  "changed it since. The first answer";
    else
      Call.Out << "data centre " << Operation.Name << " is " << State;
    Call.Out << ": in force on " << countOf(Force["confirmed"])
             << " instances, " << countOf(Force["expired"])
             << " leases ran out, after " << std::fixed << std::setprecision(2)
             << Seconds << " s\n";
  }
  if (Waiting == 0)
    return exit_code::Done;
  Call.Err << "accepted, but not yet confirmed by " << Waiting
           << " instances: " << join(Force["waiting"])
           << "\nnext: go on waiting with "
           << Operation.resend(Call.Options.Author) << "\n";
  return exit_code::NoAnswer;
}

} // namespace

exit_code runDataCentre(invocation &Call) {
  operation Operation{.Id = Call.Options.Operation,
                      .Action = Call.Arguments[0],
                      .Name = Call.Arguments[1]};
  if (Operation.Action != "leave" && Operation.Action != "return")
    return misuse(Call, "data-centre leave|return NAME");
  if (Call.Options.Author.empty())
    return misuse(Call, "name yourself: --author=NAME");
  const auto Token = readToken(Call.Options);
  if (!Token)
    return misuse(Call, Token.error().Message);
  if (Operation.Id.empty())
    Operation.Id =
        Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  Call.Err << "operation " << Operation.Id << "\n";
  const base::steady_clock Clock;
  const base::instant Start = Clock.now();
  const auto Set = set(Call, Operation, Token.value());
  if (!Set)
    return fail(Call, Set.error(), Operation.resend(Call.Options.Author));
  const auto Force = awaitForce(Call, Set.value()["serial"].asUInt64(),
                                Start + Call.Options.Timeout);
  if (!Force)
    return fail(Call, Force.error(), Operation.resend(Call.Options.Author));
  return report(Call, Operation, Set.value(), Force.value(),
                Clock.now() - Start);
}

} // namespace fulmar::ctl

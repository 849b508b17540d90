// Handlers of the entry's own paths, and the proxy's parts put together.

#include "entryfront.h"

#include "fulmar/claims/holder.h"

#include <json/reader.h>
#include <json/writer.h>

namespace fulmar::entry {

namespace {

proxy::plain_answer answerOf(const json_result &Result) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  if (Result.has_value())
    return {.Body = Json::writeString(Writer, Result.value()) + "\n"};
  const base::error_answer &Row = base::answerOf(Result.error().Kind);
  Json::Value Json;
  Json["error"] = std::string(Row.Name);
  Json["message"] = Result.error().Message;
  proxy::plain_answer Answer{.Status = Row.HttpStatus,
                             .Body = Json::writeString(Writer, Json) + "\n"};
  Answer.Headers["Fulmar-Error"] = std::string(Row.Name);
  if (Row.RetryAfter)
    Answer.Headers["Retry-After"] = std::to_string(Row.RetryAfter->count());
  return Answer;
}

} // namespace

entry_front::entry_front(const entry_options &Settings, entry_task &EntryTask,
                         claims::iclaim_store &Claims,
                         telemetry::metrics &Metrics)
    : Options(Settings), Task(EntryTask), Router(EntryTask.inbox()), Pool({}),
      Spans("fulmar-entry", Settings.TraceFile),
      Forwarder({.Instance = claims::holderPrefix(Settings.Self.Id.str(),
                                                  Settings.Self.Incarnation)},
                {.Router = Router,
                 .Claims = Claims,
                 .Observer = *this,
                 .Pool = Pool,
                 .PolicyOf =
                     [&EntryTask](const base::service_name &Service) {
                       return EntryTask.front().policyOf(Service);
                     },
                 .OtherEntries =
                     [&EntryTask] { return EntryTask.front().otherEntries(); },
                 .Metrics = &Metrics,
                 .Spans = &Spans}),
      Server([this](proxy::caller_exchange &Caller) {
        Forwarder.handle(Caller);
      }) {
  Server.handle("POST", "/.fulmar/announce",
                [this](const auto &Request) { return onAnnounce(Request); });
  Server.handle("GET", "/.fulmar/entries",
                [this](const auto &Request) { return onEntries(Request); });
}

base::result<void> entry_front::start() {
  return Server.start(
      {.Listen = Options.Listen, .MaxConnections = Options.MaxConnections});
}

proxy::plain_answer entry_front::ask(const std::string &Method,
                                     const Json::Value &Parameters) {
  return answerOf(Task.call(Method, Parameters));
}

proxy::plain_answer
entry_front::onAnnounce(const proxy::plain_request &Request) {
  Json::Value Announcement;
  if (!Json::Reader().parse(Request.Body, Announcement))
    return answerOf(base::error{base::error_kind::BadRequest,
                                "an announcement is a JSON object"});
  return ask("announce", Announcement);
}

proxy::plain_answer
entry_front::onEntries(const proxy::plain_request &Request) {
  Json::Value Parameters;
  const auto Service = Request.Query.find("service");
  Parameters["service"] =
      Service == Request.Query.end() ? std::string() : Service->second;
  return ask("entries", Parameters);
}

void entry_front::observed(const proxy::target_observation &Observation) {
  if (Observation.Incarnation)
    Task.inbox().post(target_observed{Observation.Target, Observation.Believed,
                                      *Observation.Incarnation});
}

} // namespace fulmar::entry

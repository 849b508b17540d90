// Refusals: status, headers and JSON body.

#include "fulmar/proxy/answerwriter.h"

#include "fulmar/routing/retrybudget.h"

#include <json/writer.h>

namespace fulmar::proxy {

namespace {

bool mayClaimNotRun(const refusal &Refusal) {
  return Refusal.ProvedNotRun && base::answerOf(Refusal.Error.Kind).Execution ==
                                     base::execution::NotRun;
}

} // namespace

std::string refusalBody(const refusal &Refusal) {
  const base::error_answer &Answer = base::answerOf(Refusal.Error.Kind);
  Json::Value Body;
  Body["error"] = std::string(Answer.Name);
  Body["message"] = Refusal.Error.Message;
  Body["not_run"] = mayClaimNotRun(Refusal);
  if (Answer.RetryAfter)
    Body["retry_after_s"] =
        static_cast<Json::Int64>(Answer.RetryAfter->count());
  Json::StreamWriterBuilder Compact;
  Compact["indentation"] = "";
  return Json::writeString(Compact, Body) + "\n";
}

io_status sendRefusal(caller_exchange &Caller, const refusal &Refusal) {
  if (Caller.begun())
    return io_status::Done;
  const base::error_answer &Answer = base::answerOf(Refusal.Error.Kind);
  Poco::Net::HTTPResponse Response;
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.HttpStatus));
  Response.setContentType("application/json");
  Response.set("Fulmar-Error", std::string(Answer.Name));
  if (mayClaimNotRun(Refusal))
    Response.set("Fulmar-Not-Run", "true");
  if (Refusal.RetriesUsed)
    Response.set(routing::RetriesExhaustedHeader, "true");
  if (Answer.RetryAfter)
    Response.set("Retry-After", std::to_string(Answer.RetryAfter->count()));
  if (Answer.RetryAfter && !Refusal.Entries.empty())
    Response.set("Fulmar-Entries", Refusal.Entries);
  if (!Refusal.RequestId.empty())
    Response.set("Fulmar-Request-Id", Refusal.RequestId);
  return Caller.sendWhole(Response, refusalBody(Refusal));
}

} // namespace fulmar::proxy

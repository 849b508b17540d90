// JSON of claim.claim and claim.settle.

#include "claimclient.h"

#include <map>

namespace fulmar::entry {

namespace {

constexpr auto ClaimLimit = std::chrono::seconds(5);
/// A settlement matters to resends only; it is tried for longer.
constexpr auto SettleLimit = std::chrono::seconds(10);

Json::Value parametersOf(const claims::claim_request &Request) {
  Json::Value Parameters;
  Parameters["service"] = Request.Service.str();
  Parameters["key"] = Request.Key;
  Parameters["digest"] = Json::UInt64(Request.ContentDigest);
  Parameters["holder"] = Request.Holder;
  return Parameters;
}

base::result<claims::claim_state> stateOf(const std::string &Name) {
  static const std::map<std::string, claims::claim_state> States = {
      {"granted", claims::claim_state::Granted},
      {"in-progress", claims::claim_state::InProgress},
      {"recorded", claims::claim_state::Recorded},
      {"outcome-unknown", claims::claim_state::OutcomeUnknown}};
  const auto Found = States.find(Name);
  if (Found == States.end())
    return base::fail(base::error_kind::Internal, "unknown claim state");
  return Found->second;
}

const char *nameOf(claims::claim_end End) {
  switch (End) {
  case claims::claim_end::Finished:
    return "finished";
  case claims::claim_end::NotRun:
    return "not-run";
  case claims::claim_end::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

base::result<claims::claim_result>
claim_client::claim(const claims::claim_request &Request) {
  BOOST_OUTCOME_TRY(
      Json, Caller.call("claim.claim", parametersOf(Request), ClaimLimit));
  BOOST_OUTCOME_TRY(State, stateOf(Json["state"].asString()));
  claims::claim_result Answer{.State = State};
  if (Json.isMember("answer"))
    Answer.Answer = claims::recorded_answer{
        .Status = Json["answer"]["status"].asInt(),
        .ContentType = Json["answer"]["content_type"].asString(),
        .Body = Json["answer"]["body"].asString()};
  return Answer;
}

base::result<void>
claim_client::settle(const claims::claim_request &Request,
                     claims::claim_end End,
                     const std::optional<claims::recorded_answer> &Answer) {
  Json::Value Parameters = parametersOf(Request);
  Parameters["end"] = nameOf(End);
  if (Answer) {
    Parameters["answer"]["status"] = Answer->Status;
    Parameters["answer"]["content_type"] = Answer->ContentType;
    Parameters["answer"]["body"] = Answer->Body;
  }
  BOOST_OUTCOME_TRYV(Caller.call("claim.settle", Parameters, SettleLimit));
  return base::success();
}

} // namespace fulmar::entry

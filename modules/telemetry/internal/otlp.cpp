// OTLP/JSON encoding on Poco::JSON.

#include "internal/otlp.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace fulmar::telemetry {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int KindServer = 2;
constexpr int StatusUnset = 0;
constexpr int StatusError = 2;

Object attribute(const std::string &Key, const std::string &Text) {
  Object Value;
  Value.set("stringValue", Text);
  Object Pair;
  Pair.set("key", Key);
  Pair.set("value", Value);
  return Pair;
}

/// 64-bit integers are strings in the JSON mapping of protocol buffers.
std::string unixNanoseconds(std::chrono::system_clock::time_point Time) {
  const auto Since = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Time.time_since_epoch());
  return std::to_string(Since.count());
}

Object toJson(const span &Span) {
  Array Attributes;
  for (const auto &[Key, Text] : Span.Attributes)
    Attributes.add(attribute(Key, Text));
  Object Status;
  Status.set("code", Span.Failed ? StatusError : StatusUnset);
  Object Json;
  Json.set("traceId", Span.Context.TraceId);
  Json.set("spanId", Span.Context.SpanId);
  Json.set("parentSpanId", Span.ParentSpanId);
  Json.set("name", Span.Name);
  Json.set("kind", KindServer);
  Json.set("startTimeUnixNano", unixNanoseconds(Span.Start));
  Json.set("endTimeUnixNano", unixNanoseconds(Span.End));
  Json.set("attributes", Attributes);
  Json.set("status", Status);
  return Json;
}

Array listOf(const Object &Only) {
  Array List;
  List.add(Only);
  return List;
}

} // namespace

std::string otlpRequest(const std::string &ServiceName,
                        std::span<const struct span> Spans) {
  Array SpanList;
  for (const struct span &Span : Spans)
    SpanList.add(toJson(Span));
  Object Scope;
  Scope.set("name", "fulmarsaddle");
  Object ScopeSpans;
  ScopeSpans.set("scope", Scope);
  ScopeSpans.set("spans", SpanList);
  Object Resource;
  Resource.set("attributes", listOf(attribute("service.name", ServiceName)));
  Object ResourceSpans;
  ResourceSpans.set("resource", Resource);
  ResourceSpans.set("scopeSpans", listOf(ScopeSpans));
  Object Request;
  Request.set("resourceSpans", listOf(ResourceSpans));
  std::ostringstream Text;
  Request.stringify(Text);
  return Text.str();
}

} // namespace fulmar::telemetry

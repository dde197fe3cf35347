#include "trace.h"

#include <bilberrytrail/platform/json_fields.h>

namespace bilberrytrail {

namespace {

std::int64_t
Millis(Duration aLength)
{
  return aLength.count() / 1000;
}

Json
ToJson(const TraceEvent& aEvent)
{
  Json json = { { "kind", ToName(aEvent.mKind) },
                { "at_ms", Millis(aEvent.mAt) } };
  switch (aEvent.mKind) {
    case TraceKind::Request:
      json["class"] = ToName(aEvent.mClass);
      json["answer"] = aEvent.mAnswerTokens;
      if (!aEvent.mKey.empty()) {
        json["key"] = aEvent.mKey;
      }
      if (aEvent.mFate != TraceFate::Normal) {
        json["fate"] = ToName(aEvent.mFate);
      }
      if (aEvent.mSlowdown != 1) {
        json["slowdown"] = aEvent.mSlowdown;
      }
      [[fallthrough]];
    case TraceKind::Evict:
      json["account"] = aEvent.mAccount;
      json["prompt"] = aEvent.mPrompt;
      json["blocks"] = aEvent.mBlocks;
      break;
    case TraceKind::Load:
      json["server"] = aEvent.mServer;
      json["length_ms"] = Millis(aEvent.mLength);
      break;
    case TraceKind::Release:
      break;
  }
  return json;
}

template<class E>
E
ReadEnumField(JsonFields& aFields, std::string_view aField)
{
  const auto value = FromName<E>(aFields.Text(aField));
  if (!value) {
    aFields.Reject(aField);
    return E{};
  }
  return *value;
}

Duration
ReadMillis(JsonFields& aFields, std::string_view aField)
{
  return std::chrono::milliseconds(aFields.Unsigned32(aField));
}

Result<TraceEvent>
ReadEvent(const Json& aJson)
{
  JsonFields fields(aJson);
  TraceEvent event;
  event.mKind = ReadEnumField<TraceKind>(fields, "kind");
  event.mAt = ReadMillis(fields, "at_ms");
  if (event.mKind == TraceKind::Request) {
    event.mClass = ReadEnumField<WorkClass>(fields, "class");
    event.mAnswerTokens = fields.Unsigned32("answer");
    event.mKey = fields.Has("key") ? fields.Text("key") : "";
    event.mSlowdown = fields.Has("slowdown") ? fields.Real("slowdown") : 1;
    if (fields.Has("fate")) {
      event.mFate = ReadEnumField<TraceFate>(fields, "fate");
    }
  }
  if (event.mKind == TraceKind::Request || event.mKind == TraceKind::Evict) {
    event.mAccount = fields.Text("account");
    event.mPrompt = fields.Text("prompt");
    event.mBlocks = fields.Unsigned32("blocks");
  }
  if (event.mKind == TraceKind::Load) {
    event.mServer = fields.Unsigned32("server");
    event.mLength = ReadMillis(fields, "length_ms");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return event;
}

Result<void>
ReadLine(const Json& aJson, Trace& aTrace)
{
  JsonFields fields(aJson);
  const auto kind = fields.Text("kind");
  if (kind == "site") {
    aTrace.mSite = fields.Text("site");
    aTrace.mEngines = fields.Unsigned32("engines");
    aTrace.mServices = fields.Unsigned32("services");
    return fields.Check();
  }
  if (kind == "outcome") {
    for (const auto& [name, value] : aJson.items()) {
      if (value.is_number()) {
        aTrace.mOutcome[name] = value.get<double>();
      }
    }
    return Ok();
  }
  auto event = ReadEvent(aJson);
  if (!event) {
    return std::move(event).error();
  }
  aTrace.mEvents.push_back(std::move(event).value());
  return Ok();
}

} // namespace

Result<Trace>
ReadTrace(std::string_view aText)
{
  Trace trace;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    const auto json = ParseJson(line);
    if (!json || !json.value().is_object()) {
      return Fail(ErrorCode::Corrupt, "expected a JSON object on each line");
    }
    if (auto ok = ReadLine(json.value(), trace); !ok) {
      return std::move(ok).error();
    }
  }
  if (trace.mSite.empty()) {
    return Fail(ErrorCode::Corrupt, "the trace names no site");
  }
  return trace;
}

std::string
WriteTrace(const Trace& aTrace)
{
  const Json site = { { "kind", "site" },
                      { "site", aTrace.mSite },
                      { "engines", aTrace.mEngines },
                      { "services", aTrace.mServices } };
  std::string text = site.dump() + "\n";
  for (const auto& event : aTrace.mEvents) {
    text += ToJson(event).dump() + "\n";
  }
  Json outcome = { { "kind", "outcome" } };
  for (const auto& [name, value] : aTrace.mOutcome) {
    outcome[name] = value;
  }
  return text + outcome.dump() + "\n";
}

} // namespace bilberrytrail

#include "placement_codec.h"

#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// First byte of a datagram; the rest is CBOR.
constexpr char kMessage = 'M';
constexpr char kReply = 'R';

std::string
Pack(char aKind, const Json& aJson)
{
  std::string bytes(1, aKind);
  Json::to_cbor(aJson, bytes);
  return bytes;
}

Result<Json>
Unpack(char aKind, std::string_view aBytes)
{
  if (aBytes.empty() || aBytes.front() != aKind) {
    return Fail(ErrorCode::Corrupt, "not a datagram of this kind");
  }
  Json json;
  try {
    json = Json::from_cbor(aBytes.begin() + 1, aBytes.end(), true, false);
  } catch (const Json::exception& exception) {
    // Sizes beyond any memory are thrown in spite of the last argument.
    return Fail(ErrorCode::Corrupt, exception.what());
  }
  if (!json.is_object()) {
    return Fail(ErrorCode::Corrupt, "not CBOR");
  }
  return json;
}

Json
ToJson(const ServerQuery& aQuery)
{
  Json json{ { "service", aQuery.mService.Text() },
             { "newest", aQuery.mNewestVersion },
             { "least", aQuery.mLeastVersion },
             { "affinity", aQuery.mAffinity },
             { "work", aQuery.mWork },
             { "miss", aQuery.mMissWork },
             { "shared", aQuery.mSharedTokens },
             { "memory", aQuery.mMemory },
             { "server_memory", aQuery.mServerMemory },
             { "kind", aQuery.mKind },
             { "objective_ms", ToMillis(aQuery.mObjective) },
             { "rank", aQuery.mRank },
             { "tried", ToJsonList(aQuery.mTried, [](const ServerId& aServer) {
                 return aServer.Text();
               }) } };
  if (aQuery.mModel) {
    json["model"] = aQuery.mModel->Text();
  }
  return json;
}

Result<ServerQuery>
ReadQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  ServerQuery query;
  query.mService = ServiceId(fields.Text("service"));
  query.mNewestVersion = fields.Unsigned("newest");
  query.mLeastVersion = fields.Unsigned("least");
  query.mAffinity = fields.Unsigned("affinity");
  query.mWork = fields.Real("work");
  query.mMissWork = fields.Real("miss");
  query.mSharedTokens = fields.Real("shared");
  query.mMemory = fields.Real("memory");
  query.mServerMemory = fields.Real("server_memory");
  query.mKind = fields.Unsigned("kind");
  query.mObjective = FromMillis(fields.Real("objective_ms"));
  query.mRank = fields.Unsigned32("rank");
  if (query.mRank >= kRanks) {
    fields.Reject("rank");
  }
  for (auto& it : ReadListField(fields, "tried", ReadText)) {
    query.mTried.emplace_back(std::move(it));
  }
  if (fields.Has("model")) {
    query.mModel = ModelId(fields.Text("model"));
  }
  return Checked(fields, std::move(query));
}

Json
ToJson(const PlacementAsk& aAsk)
{
  return {
    { "group", aAsk.mGroup.mNumber },        { "groups", aAsk.mGroup.mCount },
    { "query", ToJson(aAsk.mQuery) },        { "ticket", aAsk.mTicket },
    { "left_ms", ToMillis(aAsk.mTimeLeft) }, { "must", aAsk.mMustPlace }
  };
}

Result<PlacementAsk>
ReadAsk(const Json& aJson)
{
  JsonFields fields(aJson);
  PlacementAsk ask;
  ask.mGroup.mNumber = fields.Unsigned32("group");
  ask.mGroup.mCount = fields.Unsigned32("groups");
  ask.mQuery = ReadObjectField(fields, "query", ReadQuery);
  ask.mGroup.mService = ask.mQuery.mService;
  ask.mTicket = fields.Unsigned("ticket");
  ask.mTimeLeft = FromMillis(fields.Real("left_ms"));
  ask.mMustPlace = fields.Flag("must");
  if (ask.mGroup.mNumber >= ask.mGroup.mCount) {
    fields.Reject("group");
  }
  return Checked(fields, std::move(ask));
}

Json
ToJson(const PlacementTell& aTell)
{
  Json json{ { "ticket", aTell.mTicket } };
  if (aTell.mEnd) {
    json["end"] = std::string(ToName(*aTell.mEnd));
  }
  return json;
}

Result<PlacementTell>
ReadTell(const Json& aJson)
{
  JsonFields fields(aJson);
  PlacementTell tell;
  tell.mTicket = fields.Unsigned("ticket");
  if (fields.Has("end")) {
    tell.mEnd = ReadEnumField<SendEnd>(fields, "end");
  }
  return Checked(fields, tell);
}

} // namespace

std::string
Encode(const PlacementMessage& aMessage)
{
  Json json{ { "daemon", aMessage.mClient.mDaemon.Text() },
             { "incarnation", aMessage.mClient.mIncarnation },
             { "tells",
               ToJsonList(aMessage.mTells, [](const PlacementTell& aTell) {
                 return ToJson(aTell);
               }) } };
  if (aMessage.mAsk) {
    json["ask"] = ToJson(*aMessage.mAsk);
  }
  return Pack(kMessage, json);
}

std::string
Encode(const PlacementReply& aReply)
{
  return Pack(kReply,
              { { "ticket", aReply.mTicket },
                { "outcome", std::string(ToName(aReply.mOutcome)) },
                { "server", aReply.mServer.Text() },
                { "weights", aReply.mWeightVersion },
                { "reason", std::string(ToName(aReply.mReason)) },
                { "time_ms", ToMillis(aReply.mTime) },
                { "candidates", aReply.mCandidates } });
}

Result<PlacementMessage>
DecodePlacementMessage(std::string_view aBytes)
{
  const auto json = Unpack(kMessage, aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  PlacementMessage message;
  message.mClient.mDaemon = DaemonId(fields.Text("daemon"));
  message.mClient.mIncarnation = fields.Unsigned("incarnation");
  message.mTells = ReadListField(fields, "tells", ReadTell);
  if (fields.Has("ask")) {
    message.mAsk = ReadObjectField(fields, "ask", ReadAsk);
  }
  return Checked(fields, std::move(message));
}

Result<PlacementReply>
DecodePlacementReply(std::string_view aBytes)
{
  const auto json = Unpack(kReply, aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  PlacementReply reply;
  reply.mTicket = fields.Unsigned("ticket");
  reply.mOutcome = ReadEnumField<PlacementOutcome>(fields, "outcome");
  reply.mServer = ServerId(fields.Text("server"));
  reply.mWeightVersion = fields.Unsigned("weights");
  reply.mReason = ReadEnumField<ChoiceReason>(fields, "reason");
  reply.mTime = FromMillis(fields.Real("time_ms"));
  reply.mCandidates = fields.Unsigned("candidates");
  return Checked(fields, std::move(reply));
}

bool
IsPlacementReply(std::string_view aBytes) noexcept
{
  return !aBytes.empty() && aBytes.front() == kReply;
}

} // namespace bilberrytrail

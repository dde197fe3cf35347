#include <bilberrytrail/backend/engine_json.h>

namespace bilberrytrail {

namespace {

// Returns the value, or the error of the first bad field.
template<class T>
Result<T>
Checked(const JsonFields& aFields, T aValue)
{
  if (auto ok = aFields.Check(); !ok) {
    return std::move(ok).error();
  }
  return aValue;
}

// Reads the name of an enumerator.
template<class Enum>
Enum
ReadName(JsonFields& aFields, std::string_view aField)
{
  const auto value = FromName<Enum>(aFields.Text(aField));
  if (!value) {
    aFields.Reject(aField);
    return Enum{};
  }
  return *value;
}

Json
BlocksToJson(const std::vector<BlockId>& aBlocks)
{
  auto list = Json::array();
  for (const auto& block : aBlocks) {
    list.push_back(block.Value());
  }
  return list;
}

std::vector<BlockId>
ReadBlocks(JsonFields& aFields, std::string_view aField)
{
  std::vector<BlockId> blocks;
  for (const auto& it : aFields.List(aField)) {
    if (!it.is_number_unsigned()) {
      aFields.Reject(aField);
      return {};
    }
    blocks.emplace_back(it.get<std::uint64_t>());
  }
  return blocks;
}

std::vector<std::string>
ReadTexts(JsonFields& aFields, std::string_view aField)
{
  std::vector<std::string> texts;
  for (const auto& it : aFields.List(aField)) {
    if (!it.is_string()) {
      aFields.Reject(aField);
      return {};
    }
    texts.push_back(it.get<std::string>());
  }
  return texts;
}

Json
VersionsToJson(const std::vector<LoadedVersion>& aVersions)
{
  auto list = Json::array();
  for (const auto& version : aVersions) {
    list.push_back({ { "model", version.mModel.Text() },
                     { "version", version.mVersion.Text() },
                     { "ready", version.mReady } });
  }
  return list;
}

std::vector<LoadedVersion>
ReadVersions(JsonFields& aFields, std::string_view aField)
{
  std::vector<LoadedVersion> versions;
  for (const auto& it : aFields.List(aField)) {
    JsonFields fields(it);
    LoadedVersion version;
    version.mModel = ModelId(fields.Text("model"));
    version.mVersion = VersionId(fields.Text("version"));
    version.mReady = fields.Flag("ready");
    if (!fields.Check()) {
      aFields.Reject(aField);
      return {};
    }
    versions.push_back(std::move(version));
  }
  return versions;
}

} // namespace

Json
ToJson(const BlockRef& aRef)
{
  return { { "block", aRef.mBlock.Value() },
           { "generation", aRef.mGeneration.Value() },
           { "bytes", aRef.mBytes },
           { "checksum", aRef.mChecksum } };
}

Result<BlockRef>
ReadBlockRef(const Json& aJson)
{
  JsonFields fields(aJson);
  BlockRef ref;
  ref.mBlock = BlockId(fields.Unsigned("block"));
  ref.mGeneration = Generation(fields.Unsigned("generation"));
  ref.mBytes = fields.Unsigned("bytes");
  ref.mChecksum = fields.Unsigned("checksum");
  return Checked(fields, ref);
}

Json
ToJson(const std::vector<BlockRef>& aRefs)
{
  auto list = Json::array();
  for (const auto& ref : aRefs) {
    list.push_back(ToJson(ref));
  }
  return list;
}

Result<std::vector<BlockRef>>
ReadBlockRefs(const Json& aList)
{
  std::vector<BlockRef> refs;
  for (const auto& it : aList) {
    const auto ref = ReadBlockRef(it);
    if (!ref) {
      return ref.error();
    }
    refs.push_back(ref.value());
  }
  return refs;
}

Json
ToJson(const GenerateRequest& aRequest)
{
  return { { "attempt", aRequest.mAttempt.Text() },
           { "model", aRequest.mModel.Text() },
           { "version", aRequest.mVersion.Text() },
           { "adapter", aRequest.mAdapter },
           { "prompt", aRequest.mPrompt },
           { "blocks", BlocksToJson(aRequest.mBlocks) },
           { "block_bytes", aRequest.mBlockBytes },
           { "max_tokens", aRequest.mMaxTokens },
           { "resume_text", aRequest.mResumeText },
           { "start_position", aRequest.mStartPosition },
           { "priority", ToName(aRequest.mPriority) } };
}

Result<GenerateRequest>
ReadGenerateRequest(const Json& aJson)
{
  JsonFields fields(aJson);
  GenerateRequest request;
  request.mAttempt = AttemptId(fields.Text("attempt"));
  request.mModel = ModelId(fields.Text("model"));
  request.mVersion = VersionId(fields.Text("version"));
  request.mAdapter = fields.Text("adapter");
  request.mPrompt = fields.Text("prompt");
  request.mBlocks = ReadBlocks(fields, "blocks");
  request.mBlockBytes = fields.Unsigned32("block_bytes");
  request.mMaxTokens = fields.Unsigned32("max_tokens");
  request.mResumeText = fields.Text("resume_text");
  request.mStartPosition = fields.Unsigned32("start_position");
  request.mPriority = ReadName<EnginePriority>(fields, "priority");
  return Checked(fields, std::move(request));
}

Json
ToJson(const GenerateHead& aHead)
{
  return { { "version", aHead.mVersion.Text() },
           { "prompt_tokens", aHead.mPromptTokens },
           { "cached_tokens", aHead.mCachedTokens } };
}

Result<GenerateHead>
ReadGenerateHead(const Json& aJson)
{
  JsonFields fields(aJson);
  GenerateHead head;
  head.mVersion = VersionId(fields.Text("version"));
  head.mPromptTokens = fields.Unsigned32("prompt_tokens");
  head.mCachedTokens = fields.Unsigned32("cached_tokens");
  return Checked(fields, std::move(head));
}

Json
ToJson(const GenerateChunk& aChunk)
{
  Json json{ { "attempt", aChunk.mAttempt.Text() },
             { "position", aChunk.mPosition } };
  if (aChunk.mEnd) {
    json["end"] = true;
  } else {
    json["text"] = aChunk.mText;
  }
  return json;
}

Result<GenerateChunk>
ReadGenerateChunk(const Json& aJson)
{
  JsonFields fields(aJson);
  GenerateChunk chunk;
  chunk.mAttempt = AttemptId(fields.Text("attempt"));
  chunk.mPosition = fields.Unsigned32("position");
  chunk.mEnd = fields.Has("end") && fields.Flag("end");
  if (!chunk.mEnd) {
    chunk.mText = fields.Text("text");
  }
  return Checked(fields, std::move(chunk));
}

Json
ToJson(const EngineOrder& aOrder)
{
  return { { "kind", ToName(aOrder.mKind) },
           { "fencing", aOrder.mFencing.Value() },
           { "model", aOrder.mModel.Text() },
           { "version", aOrder.mVersion.Text() },
           { "argument", aOrder.mArgument } };
}

Result<EngineOrder>
ReadEngineOrder(const Json& aJson)
{
  JsonFields fields(aJson);
  EngineOrder order;
  order.mKind = ReadName<OrderKind>(fields, "kind");
  order.mFencing = FencingNumber(fields.Unsigned("fencing"));
  order.mModel = ModelId(fields.Text("model"));
  order.mVersion = VersionId(fields.Text("version"));
  order.mArgument = fields.Text("argument");
  return Checked(fields, std::move(order));
}

Json
ToJson(const EngineState& aState)
{
  return { { "versions", VersionsToJson(aState.mVersions) },
           { "adapters", aState.mAdapters },
           { "role", aState.mRole },
           { "highest_fencing", aState.mHighestFencing.Value() },
           { "running", aState.mRunning },
           { "slots", aState.mSlots },
           { "tokens_per_second", aState.mTokensPerSecond },
           { "leaving", aState.mLeaving },
           { "incarnation", aState.mIncarnation } };
}

Result<EngineState>
ReadEngineState(const Json& aJson)
{
  JsonFields fields(aJson);
  EngineState state;
  state.mVersions = ReadVersions(fields, "versions");
  state.mAdapters = ReadTexts(fields, "adapters");
  state.mRole = fields.Text("role");
  state.mHighestFencing = FencingNumber(fields.Unsigned("highest_fencing"));
  state.mRunning = fields.Unsigned32("running");
  state.mSlots = fields.Unsigned32("slots");
  state.mTokensPerSecond = fields.Real("tokens_per_second");
  state.mLeaving = fields.Flag("leaving");
  state.mIncarnation = fields.Unsigned("incarnation");
  return Checked(fields, std::move(state));
}

Json
ToJson(const EngineEvent& aEvent)
{
  Json json{ { "kind", ToName(aEvent.mKind) },
             { "sequence", aEvent.mSequence } };
  if (aEvent.mState) {
    json["state"] = ToJson(*aEvent.mState);
  }
  if (aEvent.mKind != EngineEventKind::Load) {
    json["blocks"] = BlocksToJson(aEvent.mBlocks);
  }
  return json;
}

Result<EngineEvent>
ReadEngineEvent(const Json& aJson)
{
  JsonFields fields(aJson);
  EngineEvent event;
  event.mKind = ReadName<EngineEventKind>(fields, "kind");
  event.mSequence = fields.Unsigned("sequence");
  if (event.mKind != EngineEventKind::Load) {
    event.mBlocks = ReadBlocks(fields, "blocks");
    return Checked(fields, std::move(event));
  }
  auto state = ReadEngineState(fields.Object("state"));
  if (!state) {
    return std::move(state).error();
  }
  event.mState = std::move(state).value();
  return Checked(fields, std::move(event));
}

Json
ToJson(const TransferRequest& aRequest)
{
  return { { "store", ToText(aRequest.mStore) },
           { "version", aRequest.mVersion.Text() },
           { "blocks", ToJson(aRequest.mBlocks) } };
}

Result<TransferRequest>
ReadTransferRequest(const Json& aJson)
{
  JsonFields fields(aJson);
  TransferRequest request;
  const auto store = ParseEndpoint(fields.Text("store"));
  request.mVersion = VersionId(fields.Text("version"));
  auto blocks = ReadBlockRefs(fields.List("blocks"));
  if (!store) {
    fields.Reject("store");
  }
  if (!blocks) {
    fields.Reject("blocks");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  request.mStore = store.value();
  request.mBlocks = std::move(blocks).value();
  return request;
}

} // namespace bilberrytrail

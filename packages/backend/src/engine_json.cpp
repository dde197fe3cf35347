#include <bilberrytrail/backend/engine_json.h>

#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

Json
BlocksToJson(const std::vector<BlockId>& aBlocks)
{
  return ToJsonList(aBlocks, [](BlockId aBlock) { return aBlock.Value(); });
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
VersionToJson(const LoadedVersion& aVersion)
{
  return { { "model", aVersion.mModel.Text() },
           { "version", aVersion.mVersion.Text() },
           { "ready", aVersion.mReady } };
}

Result<LoadedVersion>
ReadVersion(const Json& aJson)
{
  JsonFields fields(aJson);
  LoadedVersion version;
  version.mModel = ModelId(fields.Text("model"));
  version.mVersion = VersionId(fields.Text("version"));
  version.mReady = fields.Flag("ready");
  return Checked(fields, std::move(version));
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
  return ToJsonList(aRefs);
}

Result<std::vector<BlockRef>>
ReadBlockRefs(const Json& aList)
{
  return ReadEach(aList, ReadBlockRef);
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
  request.mPriority = ReadEnumField<EnginePriority>(fields, "priority");
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
  order.mKind = ReadEnumField<OrderKind>(fields, "kind");
  order.mFencing = FencingNumber(fields.Unsigned("fencing"));
  order.mModel = ModelId(fields.Text("model"));
  order.mVersion = VersionId(fields.Text("version"));
  order.mArgument = fields.Text("argument");
  return Checked(fields, std::move(order));
}

Json
ToJson(const EngineState& aState)
{
  return { { "versions", ToJsonList(aState.mVersions, VersionToJson) },
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
  state.mVersions = ReadListField(fields, "versions", ReadVersion);
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
  event.mKind = ReadEnumField<EngineEventKind>(fields, "kind");
  event.mSequence = fields.Unsigned("sequence");
  if (event.mKind != EngineEventKind::Load) {
    event.mBlocks = ReadBlocks(fields, "blocks");
    return Checked(fields, std::move(event));
  }
  event.mState = ReadObjectField(fields, "state", ReadEngineState);
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
  request.mBlocks = ReadListField(fields, "blocks", ReadBlockRef);
  if (store) {
    request.mStore = store.value();
  } else {
    fields.Reject("store");
  }
  return Checked(fields, std::move(request));
}

} // namespace bilberrytrail

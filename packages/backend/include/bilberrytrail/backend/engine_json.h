#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/platform/json_fields.h>

#include <vector>

// JSON encoding of the engine's messages, shared by the HTTP adapter and the
// engine stand-in. The Read functions fail with Corrupt.
namespace bilberrytrail {

[[nodiscard]] Json
ToJson(const BlockRef& aRef);
[[nodiscard]] Result<BlockRef>
ReadBlockRef(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<BlockRef>& aRefs);
[[nodiscard]] Result<std::vector<BlockRef>>
ReadBlockRefs(const Json& aList);

[[nodiscard]] Json
ToJson(const GenerateRequest& aRequest);
[[nodiscard]] Result<GenerateRequest>
ReadGenerateRequest(const Json& aJson);

[[nodiscard]] Json
ToJson(const GenerateHead& aHead);
[[nodiscard]] Result<GenerateHead>
ReadGenerateHead(const Json& aJson);

[[nodiscard]] Json
ToJson(const GenerateChunk& aChunk);
[[nodiscard]] Result<GenerateChunk>
ReadGenerateChunk(const Json& aJson);

[[nodiscard]] Json
ToJson(const EngineOrder& aOrder);
[[nodiscard]] Result<EngineOrder>
ReadEngineOrder(const Json& aJson);

[[nodiscard]] Json
ToJson(const EngineState& aState);
[[nodiscard]] Result<EngineState>
ReadEngineState(const Json& aJson);

[[nodiscard]] Json
ToJson(const EngineEvent& aEvent);
[[nodiscard]] Result<EngineEvent>
ReadEngineEvent(const Json& aJson);

[[nodiscard]] Json
ToJson(const TransferRequest& aRequest);
[[nodiscard]] Result<TransferRequest>
ReadTransferRequest(const Json& aJson);

} // namespace bilberrytrail

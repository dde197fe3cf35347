#pragma once

#include "engine/engine_state.h"

#include <bilberrytrail/backend/engine.h>

#include <optional>
#include <vector>

namespace bilberrytrail::standins {

// Copies blocks between the engine's cache and a store over the link.
class BlockTransfer
{
public:
  explicit BlockTransfer(EngineContext& aContext)
    : mContext(aContext)
  {
  }

  // Reads blocks from the store and caches those that match their reference;
  // returns what was read, matching or not.
  [[nodiscard]] std::vector<BlockRef> Import(const TransferRequest& aRequest);
  // Writes cached blocks into their reserved space; returns those written.
  [[nodiscard]] std::vector<BlockRef> Export(const TransferRequest& aRequest);

private:
  [[nodiscard]] std::optional<BlockRef> ImportOne(
    const TransferRequest& aRequest,
    const BlockRef& aRef);
  [[nodiscard]] std::optional<BlockRef> ExportOne(const Endpoint& aStore,
                                                  const BlockRef& aRef);
  [[nodiscard]] bool UseLink(std::uint64_t aBytes);

  EngineContext& mContext;
};

} // namespace bilberrytrail::standins

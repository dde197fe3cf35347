#include "engine/transfer.h"

#include "common/json_server.h"
#include "engine/kv_content.h"

namespace bilberrytrail::standins {

namespace {

constexpr Duration kTransferTimeout = 30s;
// Header with which a store names the generation of the bytes it sent.
constexpr std::string_view kGenerationHeader = "Generation";

std::string
BlockTarget(const BlockRef& aRef)
{
  return "/blocks/" + std::to_string(aRef.mBlock.Value()) +
         "?generation=" + std::to_string(aRef.mGeneration.Value());
}

} // namespace

std::vector<BlockRef>
BlockTransfer::Import(const TransferRequest& aRequest)
{
  std::vector<BlockRef> refs;
  for (const auto& wanted : aRequest.mBlocks) {
    const auto ref = ImportOne(aRequest, wanted);
    if (!ref) {
      break;
    }
    refs.push_back(*ref);
  }
  return refs;
}

std::vector<BlockRef>
BlockTransfer::Export(const TransferRequest& aRequest)
{
  std::vector<BlockRef> refs;
  for (const auto& wanted : aRequest.mBlocks) {
    if (const auto ref = ExportOne(aRequest.mStore, wanted)) {
      refs.push_back(*ref);
    }
  }
  return refs;
}

std::optional<BlockRef>
BlockTransfer::ImportOne(const TransferRequest& aRequest, const BlockRef& aRef)
{
  const auto response = mContext.mClient.Call(
    aRequest.mStore, { "GET", BlockTarget(aRef), {}, {} }, kTransferTimeout);
  if (!response || response.value().mStatus != 200) {
    return std::nullopt;
  }
  const auto& body = response.value().mBody;
  if (!UseLink(body.size())) {
    return std::nullopt;
  }
  const auto generation =
    ReadNumber(FindHeader(response.value().mHeaders, kGenerationHeader));
  const BlockRef seen{
    aRef.mBlock, Generation(generation), body.size(), KvChecksum(body)
  };
  if (seen != aRef) {
    return seen;
  }
  CachedBlock block;
  block.mBlock = aRef.mBlock;
  block.mVersion = aRequest.mVersion;
  block.mBytes = body.size();
  block.mIsIntact = body == KvContent(aRef.mBlock, body.size());
  auto evicted = mContext.mCache.Insert(block);
  mContext.mCounts.mImportedTokens +=
    body.size() / mContext.mSettings.mKvBytesPerToken;
  mContext.Report(EngineEventKind::BlockCached, { aRef.mBlock });
  mContext.Report(EngineEventKind::BlockEvicted, std::move(evicted));
  return seen;
}

std::optional<BlockRef>
BlockTransfer::ExportOne(const Endpoint& aStore, const BlockRef& aRef)
{
  const auto* block = mContext.mCache.Find(aRef.mBlock);
  if (block == nullptr) {
    return std::nullopt;
  }
  const auto content = KvContent(aRef.mBlock, block->mBytes);
  if (!UseLink(content.size())) {
    return std::nullopt;
  }
  const auto response = mContext.mClient.Call(
    aStore, { "PUT", BlockTarget(aRef), {}, content }, kTransferTimeout);
  if (!response || response.value().mStatus != 200) {
    return std::nullopt;
  }
  return BlockRef{
    aRef.mBlock, aRef.mGeneration, content.size(), KvChecksum(content)
  };
}

bool
BlockTransfer::UseLink(std::uint64_t aBytes)
{
  const auto now = MonotonicNow();
  const auto end = mContext.mLink.Reserve(now, static_cast<double>(aBytes));
  return mContext.mLoop.Sleep(end - now);
}

} // namespace bilberrytrail::standins

#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// About two thousand tokens of four bytes each.
constexpr std::uint32_t kDefaultBlockBytes = 8192;

// Average length of a token, for estimates.
constexpr std::uint32_t kBytesPerToken = 4;

// Everything besides the prompt's text that the KV cache depends on. It is
// hashed into the block ids, so that scopes do not share blocks.
struct PromptScope
{
  ProductId mProduct;
  AccountId mAccount;
  ModelId mModel;
  VersionId mVersion;
  // Adapter of the model; empty for none.
  std::string mAdapter;

  bool operator==(const PromptScope&) const = default;
};

// A prompt split into blocks. Only whole blocks are cached; the tail after the
// last block is computed again for each request.
struct PromptBlocks
{
  std::vector<BlockId> mBlocks;
  std::uint32_t mBlockBytes = kDefaultBlockBytes;
  std::uint32_t mTailBytes = 0;

  // Returns the first block, which identifies the prompt in the directory;
  // nullopt when the prompt is shorter than a block.
  [[nodiscard]] std::optional<BlockId> Root() const
  {
    return mBlocks.empty() ? std::nullopt : std::optional(mBlocks.front());
  }
};

// Splits a prompt into blocks of max(aBlockBytes, 1) bytes. A block's id is a
// hash, keyed with the site's key, of the scope, the parent block's id and the
// block's text.
//
//   const auto blocks = SplitPrompt(scope, prompt, siteKey);
[[nodiscard]] PromptBlocks
SplitPrompt(const PromptScope& aScope,
            std::string_view aPrompt,
            std::string_view aSiteKey,
            std::uint32_t aBlockBytes = kDefaultBlockBytes);

} // namespace bilberrytrail

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

// What KV cache depends on besides the prompt's text. Blocks of different
// scopes never have equal ids.
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

// A prompt cut into blocks. Only whole blocks are kept; the tail behind the
// last one is computed anew for each request.
struct PromptBlocks
{
  std::vector<BlockId> mBlocks;
  std::uint32_t mBlockBytes = kDefaultBlockBytes;
  std::uint32_t mTailBytes = 0;

  // Returns the first block, which names the prompt in the directory; nothing
  // when the prompt is shorter than a block.
  [[nodiscard]] std::optional<BlockId> Root() const
  {
    return mBlocks.empty() ? std::nullopt : std::optional(mBlocks.front());
  }
};

// Cuts a prompt into blocks of aBlockBytes bytes, at least one. A block's id
// is a hash under the site's key over the scope, the parent block and the
// block's text.
//
//   const auto blocks = SplitPrompt(scope, prompt, siteKey);
[[nodiscard]] PromptBlocks
SplitPrompt(const PromptScope& aScope,
            std::string_view aPrompt,
            std::string_view aSiteKey,
            std::uint32_t aBlockBytes = kDefaultBlockBytes);

} // namespace bilberrytrail

#include <bilberrytrail/cache/prompt_blocks.h>

#include <bilberrytrail/base/digest.h>

#include <algorithm>
#include <string>

namespace bilberrytrail {

namespace {

// Appends a field prefixed with its length, so that different lists of fields
// never produce the same text.
void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

std::string
ScopeText(const PromptScope& aScope)
{
  std::string text;
  AppendField(text, aScope.mProduct.Text());
  AppendField(text, aScope.mAccount.Text());
  AppendField(text, aScope.mModel.Text());
  AppendField(text, aScope.mVersion.Text());
  AppendField(text, aScope.mAdapter);
  return text;
}

} // namespace

PromptBlocks
SplitPrompt(const PromptScope& aScope,
            std::string_view aPrompt,
            std::string_view aSiteKey,
            std::uint32_t aBlockBytes)
{
  PromptBlocks result;
  result.mBlockBytes = std::max<std::uint32_t>(aBlockBytes, 1);
  const auto scope = ScopeText(aScope);
  const auto n = aPrompt.size() / result.mBlockBytes;
  result.mBlocks.reserve(n);
  std::string parent;
  for (std::size_t k = 0; k < n; ++k) {
    std::string text = scope;
    AppendField(text, parent);
    text += aPrompt.substr(k * result.mBlockBytes, result.mBlockBytes);
    result.mBlocks.emplace_back(KeyedHash64(aSiteKey, text));
    parent = std::to_string(result.mBlocks.back().Value());
  }
  result.mTailBytes =
    static_cast<std::uint32_t>(aPrompt.size() % result.mBlockBytes);
  return result;
}

} // namespace bilberrytrail

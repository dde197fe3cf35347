#include <bilberrytrail/cache/prompt_blocks.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <unordered_set>

using namespace bilberrytrail;

namespace {

constexpr std::uint32_t kBlockBytes = 10;

PromptScope
MakeScope()
{
  return { ProductId("p"), AccountId("a"), ModelId("m"), VersionId("v"), "" };
}

} // namespace

TEST_CASE("a prompt is split into whole blocks and a tail")
{
  struct Row
  {
    std::size_t mBytes;
    std::size_t mBlocks;
    std::uint32_t mTail;
  };
  const Row rows[] = { { 0, 0, 0 },  { 9, 0, 9 },  { 10, 1, 0 },
                       { 11, 1, 1 }, { 35, 3, 5 }, { 40, 4, 0 } };
  for (const auto& row : rows) {
    const auto split = SplitPrompt(
      MakeScope(), std::string(row.mBytes, 'x'), "key", kBlockBytes);
    CHECK(split.mBlocks.size() == row.mBlocks);
    CHECK(split.mTailBytes == row.mTail);
    CHECK(split.Root().has_value() == (row.mBlocks > 0));
  }
}

TEST_CASE("a longer prompt shares the blocks of its prefix")
{
  const std::string text = "aaaaaaaaaabbbbbbbbbbcccccccccc";
  const auto shorter =
    SplitPrompt(MakeScope(), text.substr(0, 25), "key", kBlockBytes);
  const auto longer = SplitPrompt(MakeScope(), text, "key", kBlockBytes);
  CHECK(std::equal(
    shorter.mBlocks.begin(), shorter.mBlocks.end(), longer.mBlocks.begin()));
  auto other = text;
  other[0] = 'z';
  const auto changed = SplitPrompt(MakeScope(), other, "key", kBlockBytes);
  for (std::size_t n = 0; n < changed.mBlocks.size(); ++n) {
    CHECK(changed.mBlocks[n] != longer.mBlocks[n]);
  }
}

TEST_CASE("blocks of different scopes or site keys have different ids")
{
  struct Row
  {
    const char* mName;
    PromptScope mScope;
    const char* mKey;
  };
  const auto base = MakeScope();
  std::vector<Row> rows(9, Row{ "same", base, "key" });
  rows[1] = { "account", base, "key" };
  rows[1].mScope.mAccount = AccountId("b");
  rows[2].mScope.mVersion = VersionId("w");
  rows[3].mScope.mModel = ModelId("n");
  rows[4].mScope.mProduct = ProductId("q");
  rows[5].mScope.mAdapter = "x";
  rows[6].mKey = "other key";
  // The same characters, divided differently between two fields.
  rows[7].mScope.mProduct = ProductId("pa");
  rows[7].mScope.mAccount = AccountId("");
  rows[8].mScope.mModel = ModelId("mv");
  rows[8].mScope.mVersion = VersionId("");
  const std::string text(50, 'x');
  std::unordered_set<BlockId> all;
  for (const auto& row : rows) {
    const auto split = SplitPrompt(row.mScope, text, row.mKey, kBlockBytes);
    all.insert(split.mBlocks.begin(), split.mBlocks.end());
  }
  CHECK(all.size() == rows.size() * 5);
}

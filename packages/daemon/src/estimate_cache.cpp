#include "estimate_cache.h"

#include <algorithm>
#include <vector>

namespace bilberrytrail {

namespace {

// Age up to which a home's word is used.
constexpr Duration kFreshTime = 500ms;
// Requests sent on the strength of one word.
constexpr std::uint32_t kSendsPerWord = 4;
// One choice in so many asks all the same, so that other servers are seen.
constexpr std::uint32_t kAskEvery = 128;
// A request that was sent back costs a hop; as many others must have been
// taken, or asked first, before the next is sent without asking.
constexpr int kSentBackCost = 4;
constexpr int kMaxCredit = 16;
// Kinds of requests and servers remembered.
constexpr std::size_t kMaxKeys = 256;
constexpr std::size_t kMaxServers = 64;

} // namespace

void
EstimateCache::Note(const EstimateKey& aKey,
                    const ServerEstimate& aEstimate,
                    Instant aNow)
{
  if (mRows.size() >= kMaxKeys && !mRows.contains(aKey)) {
    mRows.clear();
  }
  auto& rows = mRows[aKey];
  if (!aEstimate.mHasRoom || !aEstimate.TakesAtOnce()) {
    rows.erase(aEstimate.mServer);
    return;
  }
  DropOld(rows, aNow);
  if (rows.size() < kMaxServers || rows.contains(aEstimate.mServer)) {
    rows[aEstimate.mServer] = { aEstimate.mPrefillTokensPerSecond,
                                aNow,
                                kSendsPerWord };
  }
}

void
EstimateCache::Forget(const ServerPredicate& aWhich)
{
  for (auto& [key, rows] : mRows) {
    std::erase_if(rows, [&](const auto& aRow) { return aWhich(aRow.first); });
  }
}

void
EstimateCache::NoteTaken() noexcept
{
  mCredit = std::min(mCredit + 1, kMaxCredit);
}

void
EstimateCache::NoteSentBack() noexcept
{
  mCredit -= kSentBackCost;
}

std::optional<ServerId>
EstimateCache::Choose(const EstimateKey& aKey,
                      const ServerPredicate& aUsable,
                      Instant aNow,
                      Random& aRandom)
{
  const auto it = mRows.find(aKey);
  if (it == mRows.end()) {
    return std::nullopt;
  }
  if (mCredit < 0) {
    ++mCredit;
    return std::nullopt;
  }
  DropOld(it->second, aNow);
  std::vector<Rows::value_type*> known;
  for (auto& row : it->second) {
    if (row.second.mLeft > 0 && aUsable(row.first)) {
      known.push_back(&row);
    }
  }
  if (known.empty() || ++mChoices % kAskEvery == 0) {
    return std::nullopt;
  }
  auto* first = known[aRandom.Below(known.size())];
  auto* second = known[aRandom.Below(known.size())];
  auto* best = IsBetter(second->second, first->second) ? second : first;
  --best->second.mLeft;
  return best->first;
}

double
EstimateCache::PrefillSpeed(const EstimateKey& aKey,
                            const ServerId& aServer) const
{
  const auto rows = mRows.find(aKey);
  if (rows == mRows.end()) {
    return 0;
  }
  const auto it = rows->second.find(aServer);
  return it == rows->second.end() ? 0 : it->second.mPrefillTokensPerSecond;
}

void
EstimateCache::DropOld(Rows& aRows, Instant aNow)
{
  std::erase_if(aRows, [&](const auto& aRow) {
    return aNow - aRow.second.mNotedAt > kFreshTime;
  });
}

bool
EstimateCache::IsBetter(const Row& aLeft, const Row& aRight)
{
  return aLeft.mLeft != aRight.mLeft
           ? aLeft.mLeft > aRight.mLeft
           : aLeft.mPrefillTokensPerSecond > aRight.mPrefillTokensPerSecond;
}

} // namespace bilberrytrail

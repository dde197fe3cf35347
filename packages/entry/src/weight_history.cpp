#include <bilberrytrail/entry/weight_history.h>

namespace bilberrytrail {

std::uint64_t
WeightHistory::Newest(const ModelId& aModel) const noexcept
{
  const auto it = mNewest.find(aModel);
  return it == mNewest.end() ? 0 : it->second;
}

std::uint64_t
WeightHistory::LeastAllowed(const ModelId& aModel,
                            Duration aWithin,
                            Instant aNow) const noexcept
{
  const auto it = mAnnouncements.find(aModel);
  std::uint64_t least = 0;
  if (it != mAnnouncements.end()) {
    for (const auto& announced : it->second) {
      if (aNow - announced.mAt >= aWithin) {
        least = announced.mVersion;
      }
    }
  }
  return least;
}

std::optional<Instant>
WeightHistory::Due(const ModelId& aModel,
                   std::uint64_t aVersion,
                   Duration aWithin) const noexcept
{
  const auto it = mAnnouncements.find(aModel);
  if (it == mAnnouncements.end()) {
    return std::nullopt;
  }
  for (const auto& announced : it->second) {
    if (announced.mVersion > aVersion) {
      return announced.mAt + aWithin;
    }
  }
  return std::nullopt;
}

bool
WeightHistory::AddVersion(const ModelId& aModel,
                          std::uint64_t aVersion,
                          Instant aAt)
{
  auto& newest = mNewest[aModel];
  if (aVersion <= newest) {
    return false;
  }
  newest = aVersion;
  mAnnouncements[aModel].push_back({ aVersion, aAt });
  return true;
}

} // namespace bilberrytrail

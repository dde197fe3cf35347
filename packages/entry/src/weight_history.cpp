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
  const auto it = mNamed.find(aModel);
  std::uint64_t least = 0;
  if (it != mNamed.end()) {
    for (const auto& named : it->second) {
      if (aNow - named.mAt >= aWithin) {
        least = named.mVersion;
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
  const auto it = mNamed.find(aModel);
  if (it == mNamed.end()) {
    return std::nullopt;
  }
  for (const auto& named : it->second) {
    if (named.mVersion > aVersion) {
      return named.mAt + aWithin;
    }
  }
  return std::nullopt;
}

bool
WeightHistory::Note(const ModelId& aModel, std::uint64_t aVersion, Instant aNow)
{
  auto& newest = mNewest[aModel];
  if (aVersion <= newest) {
    return false;
  }
  newest = aVersion;
  mNamed[aModel].push_back({ aVersion, aNow });
  return true;
}

void
WeightHistory::Restart(Instant aNow) noexcept
{
  for (auto& [model, named] : mNamed) {
    for (auto& it : named) {
      it.mAt = aNow;
    }
  }
}

} // namespace bilberrytrail

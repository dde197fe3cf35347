#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrytrail {

// Since when each version of the models' weights is the newest, as far as this
// daemon saw it. A version that was named before the daemon started counts as
// named long ago.
class WeightHistory
{
public:
  // Returns the newest version; 0 when none is named.
  [[nodiscard]] std::uint64_t Newest(const ModelId& aModel) const noexcept;
  // Returns the least version on which requests may begin, when each version
  // must be in place everywhere within a time of its naming.
  [[nodiscard]] std::uint64_t LeastAllowed(const ModelId& aModel,
                                           Duration aWithin,
                                           Instant aNow) const noexcept;
  // Returns when a server with a version of a model must have a newer one;
  // nothing when there is no newer one.
  [[nodiscard]] std::optional<Instant> Due(const ModelId& aModel,
                                           std::uint64_t aVersion,
                                           Duration aWithin) const noexcept;
  // Returns the newest version of each model.
  [[nodiscard]] const std::map<ModelId, std::uint64_t>& AllNewest()
    const noexcept
  {
    return mNewest;
  }

  // Takes in the newest version of a model. Returns true when it is new.
  bool AddVersion(const ModelId& aModel, std::uint64_t aVersion, Instant aNow);
  // Counts the times from now on, after an outage in which no server could be
  // ordered.
  void RestartClock(Instant aNow) noexcept;

private:
  struct Announcement
  {
    std::uint64_t mVersion = 0;
    Instant mAt;
  };

  std::map<ModelId, std::vector<Announcement>> mAnnouncements;
  std::map<ModelId, std::uint64_t> mNewest;
};

} // namespace bilberrytrail

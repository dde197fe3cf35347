#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrytrail {

// When each version of the models' weights was announced, at the earliest: the
// times are never later than the announcements, so that limits which count from
// them are kept. A version announced before the daemon started counts as
// announced long ago. All times are on the boot clock, which also counts while
// the machine is suspended.
class WeightHistory
{
public:
  // Returns the newest version; 0 when none is announced.
  [[nodiscard]] std::uint64_t Newest(const ModelId& aModel) const noexcept;
  // Returns the lowest version on which requests may begin, when each version
  // must be in use everywhere aWithin after its announcement.
  [[nodiscard]] std::uint64_t LeastAllowed(const ModelId& aModel,
                                           Duration aWithin,
                                           Instant aNow) const noexcept;
  // Returns the deadline for a server with a version of a model to load a newer
  // one; nothing when there is no newer one.
  [[nodiscard]] std::optional<Instant> Due(const ModelId& aModel,
                                           std::uint64_t aVersion,
                                           Duration aWithin) const noexcept;
  // Returns the newest version of each model.
  [[nodiscard]] const std::map<ModelId, std::uint64_t>& AllNewest()
    const noexcept
  {
    return mNewest;
  }

  // Adds a version of a model that was announced at aAt or later. Returns true
  // when it is newer than all before.
  bool AddVersion(const ModelId& aModel, std::uint64_t aVersion, Instant aAt);

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

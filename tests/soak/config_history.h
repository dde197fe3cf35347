#pragma once

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>

#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail::soak {

// Prefixes that the operator adds as routes and removes, and keys that it gives
// to the client account and takes away. The first key stays.
inline constexpr std::size_t kExtraRoutes = 3;
inline constexpr std::size_t kKeys = 4;

// Where the route that moves leads to.
enum class MovedTo : unsigned char
{
  East,
  West,
  Both
};

// What one version of the configuration says.
struct ConfigContent
{
  MovedTo mMovedTo = MovedTo::East;
  std::bitset<kExtraRoutes> mExtraRoutes;
  std::bitset<kKeys> mKeys{ 1 };
};

// A version, and when it was sent and acknowledged.
struct ConfigVersion
{
  std::uint64_t mNumber = 0;
  ConfigContent mContent;
  Instant mSentAt;
  Instant mAcknowledgedAt;
};

// A request, by what decides how it must be handled.
struct ConfigRequest
{
  // The moving route, an extra one (from 0), or the one that stays.
  enum class Kind : unsigned char
  {
    Moving,
    Extra,
    Staying
  };
  Kind mKind = Kind::Staying;
  std::size_t mExtra = 0;
  std::size_t mKey = 0;

  [[nodiscard]] std::string Target() const;
};

// How a request was handled, as far as the configuration decides that.
struct Handling
{
  unsigned mStatus = 0;
  // The service that ran it.
  std::optional<std::string> mRanBy;

  // Returns whether it says anything about the configuration: a run, or a
  // refusal with 401, 403 or 404.
  [[nodiscard]] bool IsByConfig() const noexcept;
};

// The versions of a play, in order.
class ConfigHistory
{
public:
  // Changes one or two things of the newest version, as the operator's next one
  // with a number that is one to three higher.
  const ConfigVersion& Add(Random& aRandom);
  void Acknowledge(Instant aAt) { mVersions.back().mAcknowledgedAt = aAt; }
  [[nodiscard]] const std::vector<ConfigVersion>& Versions() const noexcept
  {
    return mVersions;
  }
  [[nodiscard]] static std::string ToText(const ConfigVersion& aVersion);

  // Returns the newest version that was acknowledged at a time; the first one
  // before all of them.
  [[nodiscard]] std::size_t NewestAcknowledged(Instant aAt) const
  {
    return NewestAt(&ConfigVersion::mAcknowledgedAt, aAt);
  }
  // Returns the newest version that was sent at a time.
  [[nodiscard]] std::size_t NewestSent(Instant aAt) const
  {
    return NewestAt(&ConfigVersion::mSentAt, aAt);
  }
  // Returns whether a version allows to handle a request in this way.
  [[nodiscard]] bool Allows(std::size_t aVersion,
                            const ConfigRequest& aRequest,
                            const Handling& aHandling) const;
  // Returns whether some version in the range, both ends included, does.
  [[nodiscard]] bool AnyAllows(std::size_t aFirst,
                               std::size_t aLast,
                               const ConfigRequest& aRequest,
                               const Handling& aHandling) const;

private:
  [[nodiscard]] std::size_t NewestAt(Instant ConfigVersion::*aTime,
                                     Instant aAt) const;

  std::vector<ConfigVersion> mVersions{ ConfigVersion{ 1, {}, {}, {} } };
};

} // namespace bilberrytrail::soak

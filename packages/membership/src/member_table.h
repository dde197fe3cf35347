#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/membership/gossip_message.h>

#include <map>
#include <vector>

namespace bilberrytrail {

// Returns true for Alive and Suspect.
[[nodiscard]] constexpr bool
IsLive(MemberStatus aStatus) noexcept
{
  return aStatus == MemberStatus::Alive || aStatus == MemberStatus::Suspect;
}

// What is believed of the other daemons, merged by incarnation and status.
class MemberTable
{
public:
  // What a merge did.
  enum class Outcome : unsigned char
  {
    // Old news.
    Ignored,
    // A member not known before that is dead or has left already.
    Buried,
    // The table changed.
    Changed
  };

  [[nodiscard]] const MemberRecord* Find(const DaemonId& aId) const;
  [[nodiscard]] std::vector<MemberRecord> Live() const;
  [[nodiscard]] std::vector<MemberRecord> Gone() const;
  [[nodiscard]] std::size_t LiveCount() const noexcept { return mLiveCount; }
  [[nodiscard]] bool HasLiveAt(const Endpoint& aEndpoint) const;
  // Suspects whose time to refute has passed.
  [[nodiscard]] std::vector<MemberRecord> ExpiredSuspects(Instant aNow) const;
  // Live members at an address other than the given one.
  [[nodiscard]] std::vector<MemberRecord> OthersAt(const Endpoint& aEndpoint,
                                                   const DaemonId& aId) const;
  // Returns the live member behind the given one in order of ids, wrapping.
  [[nodiscard]] const MemberRecord* NextLive(const DaemonId& aAfter) const;

  // Merges a record; a suspect gets aSuspicion to refute.
  Outcome Merge(const MemberRecord& aRecord, Instant aNow, Duration aSuspicion);
  // Gives all suspects the given time from now on.
  void RestartSuspicions(Instant aNow, Duration aSuspicion);
  // Forgets members that have been dead or left for the given time.
  void Forget(Instant aNow, Duration aAfter);

private:
  struct Entry
  {
    MemberRecord mRecord;
    // End of the suspicion, or when the member was found dead or left.
    Instant mTime;
  };

  std::map<DaemonId, Entry> mEntries;
  std::size_t mLiveCount = 0;
};

} // namespace bilberrytrail

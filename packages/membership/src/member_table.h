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

// Known records of the other daemons, merged by incarnation and status.
class MemberTable
{
public:
  // Result of a merge.
  enum class Outcome : unsigned char
  {
    // The record does not override the known one, or the table is full.
    Ignored,
    // A previously unknown member that is dead or has left was added.
    AddedDeparted,
    // A live member was added, or a known record changed.
    Changed
  };

  [[nodiscard]] const MemberRecord* Find(const DaemonId& aId) const;
  [[nodiscard]] std::vector<MemberRecord> Live() const;
  // Returns the members that are dead or have left.
  [[nodiscard]] std::vector<MemberRecord> Departed() const;
  [[nodiscard]] std::size_t LiveCount() const noexcept { return mLiveCount; }
  [[nodiscard]] bool HasLiveAt(const Endpoint& aEndpoint) const;
  // Returns the suspects whose suspicion timeout has expired.
  [[nodiscard]] std::vector<MemberRecord> ExpiredSuspects(Instant aNow) const;
  // Returns the live members at aEndpoint other than aId.
  [[nodiscard]] std::vector<MemberRecord> OthersAt(const Endpoint& aEndpoint,
                                                   const DaemonId& aId) const;
  // Returns the next live member after aAfter in order of ids, wrapping around;
  // nullptr when there is none.
  [[nodiscard]] const MemberRecord* NextLive(const DaemonId& aAfter) const;

  // Merges a record; a suspect has aSuspicionTimeout to refute.
  Outcome Merge(const MemberRecord& aRecord,
                Instant aNow,
                Duration aSuspicionTimeout);
  // Restarts the timeout of all suspects at aNow.
  void RestartSuspicions(Instant aNow, Duration aSuspicionTimeout);
  // Removes members that have been dead or left for at least aAfter.
  void RemoveDeparted(Instant aNow, Duration aAfter);

private:
  struct Entry
  {
    MemberRecord mRecord;
    // End of the suspicion timeout, or when the member was recorded as dead or
    // left.
    Instant mTime;
  };

  std::map<DaemonId, Entry> mEntries;
  std::size_t mLiveCount = 0;
};

} // namespace bilberrytrail

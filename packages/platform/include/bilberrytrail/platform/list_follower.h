#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/vm_list_change.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Intervals and timeouts of a ListFollower. A reader is a daemon that polls the
// platform's list for its availability zone.
struct ListTimes
{
  // Interval between reads of the platform's list by a reader, and by other
  // daemons while they receive nothing from the readers.
  Duration mPollInterval = 1s;
  // A daemon whose list was not confirmed by a reader or the platform for this
  // long reads the platform's list itself.
  Duration mSilenceTimeout = 20s;
  // Interval at which a daemon that is not a reader compares its list with the
  // platform's.
  Duration mCheckInterval = 600s;
  // A second mismatch within this time after the daemon requested a whole list
  // from a reader makes it read the platform's list, because the readers may
  // contradict each other.
  Duration mMismatchWindow = 60s;
};

// The time span, by this daemon's clock, within which the platform returned a
// list. A list is known to be newer than another only when its span does not
// start before the other's ends.
struct ReadSpan
{
  Instant mFrom;
  Instant mTo;

  [[nodiscard]] bool IsAfter(const ReadSpan& aOther) const noexcept
  {
    return mFrom >= aOther.mTo;
  }
  bool operator==(const ReadSpan&) const = default;
};

// A reader's message about its list.
struct ListUpdate
{
  DaemonId mReader;
  ReadSpan mSpan;
  // Digest of the reader's list.
  std::string mDigest;
  // The platform's tag of that list, or empty.
  std::string mTag;
  // Digest of the list that the change applies to; empty when the reader
  // doesn't know which list this daemon has.
  std::string mFrom;
  VmListChange mChange;
};

// Use the follower's new list.
struct UseList
{};
// Fetch the whole list from the reader.
struct FetchWholeList
{
  DaemonId mReader;
};
using ListAction = std::variant<std::monostate, UseList, FetchWholeList>;

// Decides which list of VMs this daemon uses and when it reads the platform
// itself. A list is replaced only by one that is known to be newer.
//
//   ListFollower follower(times);
//   follower.SetReader(IsReader(self));
//   if (follower.MustRead(now)) {
//     auto answer = list.Fetch(follower.Tag(), timeout);
//     follower.OnRead(answer, span);      // or follower.OnReadFailed(now)
//   }
//   follower.OnUpdate(update, now);
class ListFollower
{
public:
  explicit ListFollower(ListTimes aTimes);

  [[nodiscard]] const std::vector<VmEntry>& Vms() const noexcept
  {
    return mVms;
  }
  // Identifies the list in use; empty before the first.
  [[nodiscard]] const std::string& Digest() const noexcept { return mDigest; }
  // The platform's tag of the list in use, or empty.
  [[nodiscard]] const std::string& Tag() const noexcept { return mTag; }
  [[nodiscard]] const ReadSpan& Span() const noexcept { return mSpan; }

  // Sets whether this daemon is a reader of its availability zone.
  void SetReader(bool aIsReader);
  // Returns true when the platform's list must be read now.
  [[nodiscard]] bool MustRead(Instant aNow) const;
  // Handles the platform's response to a read.
  [[nodiscard]] ListAction OnRead(const VmListAnswer& aAnswer,
                                  const ReadSpan& aSpan);
  // Handles a failed read of the platform's list.
  void OnReadFailed(Instant aNow);
  // Handles an update from a reader.
  [[nodiscard]] ListAction OnUpdate(const ListUpdate& aUpdate, Instant aNow);
  // Handles a whole list sent by a peer.
  [[nodiscard]] ListAction OnWholeList(std::vector<VmEntry> aVms,
                                       const std::string& aTag,
                                       const ReadSpan& aSpan);
  // Handles a peer's response that it has the list with the digest as well.
  void OnSameList(const std::string& aDigest, const ReadSpan& aSpan);

private:
  ListAction Adopt(std::vector<VmEntry> aVms,
                   std::string aDigest,
                   const std::string& aTag,
                   const ReadSpan& aSpan);
  void Confirm(const ReadSpan& aSpan);

  ListTimes mTimes;
  bool mIsReader = true;
  std::vector<VmEntry> mVms;
  std::string mDigest;
  std::string mTag;
  ReadSpan mSpan;
  std::optional<Instant> mLastReadAt;
  // When the platform itself last returned or confirmed the list in use.
  std::optional<Instant> mVerifiedAt;
  std::optional<Instant> mWholeRequestedAt;
  bool mHasMismatch = false;
};

} // namespace bilberrytrail

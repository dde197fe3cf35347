#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/vm_list_change.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Times of a ListFollower.
struct ListTimes
{
  // Pause between two reads of the platform's list by a reader, or while
  // nothing comes from the readers.
  Duration mPollInterval = 1s;
  // A daemon whose list was not confirmed, by a reader or the platform, for
  // this long reads the platform itself.
  Duration mSilenceTimeout = 20s;
  // A daemon that is no reader compares its list with the platform's after
  // this time.
  Duration mCheckInterval = 600s;
  // After one whole list from a reader the next mismatch within this time
  // makes the daemon read the platform: readers that contradict each other
  // are not believed.
  Duration mDistrust = 60s;
};

// Between which moments, by this daemon's clock, the platform gave a list.
// One list is known to be newer than another only when its earliest moment
// isn't before the other's latest.
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

// What a reader tells of its list.
struct ListUpdate
{
  DaemonId mReader;
  ReadSpan mSpan;
  // Digest of the reader's list.
  std::string mDigest;
  // The platform's tag of that list, or empty.
  std::string mTag;
  // Digest of the list that the change applies to; empty when the reader
  // doesn't know what this daemon holds.
  std::string mFrom;
  VmListChange mChange;
};

// Take a new list in use.
struct UseList
{};
// Fetch the whole list from the reader.
struct FetchWholeList
{
  DaemonId mReader;
};
using ListAction = std::variant<std::monostate, UseList, FetchWholeList>;

// Decides which list of VMs this daemon uses and when it reads the platform
// itself. A list never gives way to one that is not known to be newer.
//
//   ListFollower follower(times);
//   follower.SetReader(IsReader(self), now);
//   if (follower.MustRead(now)) {
//     auto answer = list.Fetch(follower.Tag(), timeout);
//     follower.OnRead(answer, span);      // or follower.OnReadFailed(now)
//   }
//   follower.OnUpdate(news, now);
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

  // Tells whether this daemon is a reader of its availability zone.
  void SetReader(bool aIsReader);
  // True when the platform's list must be read now.
  [[nodiscard]] bool MustRead(Instant aNow) const;
  // The platform answered a read.
  [[nodiscard]] ListAction OnRead(const VmListAnswer& aAnswer,
                                  const ReadSpan& aSpan);
  // The platform did not answer a read.
  void OnReadFailed(Instant aNow);
  // A reader sent its news.
  [[nodiscard]] ListAction OnUpdate(const ListUpdate& aNews, Instant aNow);
  // A peer answered with its whole list.
  [[nodiscard]] ListAction OnWholeList(std::vector<VmEntry> aVms,
                                       const std::string& aTag,
                                       const ReadSpan& aSpan);
  // A peer answered that it has the list with the digest too.
  void OnSameList(const std::string& aDigest, const ReadSpan& aSpan);

private:
  ListAction Take(std::vector<VmEntry> aVms,
                  std::string aDigest,
                  const std::string& aTag,
                  const ReadSpan& aSpan);
  void Refresh(const ReadSpan& aSpan);

  ListTimes mTimes;
  bool mIsReader = true;
  std::vector<VmEntry> mVms;
  std::string mDigest;
  std::string mTag;
  ReadSpan mSpan;
  std::optional<Instant> mReadAt;
  // When the platform itself last gave or confirmed the list in use.
  std::optional<Instant> mCheckedAt;
  std::optional<Instant> mWholeAskedAt;
  bool mIsDoubted = false;
};

} // namespace bilberrytrail

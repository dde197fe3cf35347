#pragma once

#include "control_state.h"
#include "membership_runner.h"
#include "thread_context.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/release/release_follower.h>
#include <bilberrytrail/release/release_log.h>
#include <bilberrytrail/runtime/rpc.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Follows the releases of all products on the control thread: reads heads and
// bodies from the table or from peers, and appends new release notes.
class ReleaseRunner
{
public:
  ReleaseRunner(ThreadContext& aThread,
                ControlState& aState,
                MembershipRunner& aMembers,
                const FollowerSettings& aSettings);

  [[nodiscard]] const ReleaseFollower& Follower() const noexcept
  {
    return mFollower;
  }
  // Returns whether the table answered its last call.
  [[nodiscard]] bool IsTableUp() const noexcept { return mIsTableUp; }
  // Returns the heads in force here, for a peer.
  [[nodiscard]] Json HeadsForPeer() const;
  // Returns the text of a release in force here, for a peer.
  [[nodiscard]] Result<Json> BodyForPeer(const Json& aParams) const;

  // Returns the release that the note with the id became, or nothing when
  // there is none. Fails when the table does not answer.
  [[nodiscard]] CallResult<std::optional<ReleaseBody>> FindNote(
    const ProductId& aProduct,
    const std::string& aId);
  // Starts the fiber that follows.
  void Start();
  // Appends a note on the calling fiber of the control thread.
  [[nodiscard]] AppendResult Apply(const ReleaseNote& aNote);

private:
  // A peer that said last that it has this release, or a later one, in force.
  struct Holder
  {
    ReleaseNumber mNumber{};
    MemberRecord mPeer{};
  };

  void FollowAll();
  void Perform(const FollowerActions& aActions);
  void ScanHeadRows();
  void AskPeers();
  void Fetch(const FetchRelease& aFetch);
  void ReadNotes(const FetchNotes& aFetch);
  void FetchFromPeers(const ReleaseHead& aHead);
  void NoteHolder(const ReleaseHead& aHead, const MemberRecord& aPeer);
  [[nodiscard]] CallResult<std::optional<ReleaseBody>> ReadRelease(
    const ProductId& aProduct,
    ReleaseNumber aNumber);
  void NoteTable(bool aIsUp);
  void UpdateReadiness();

  ThreadContext& mThread;
  ControlState& mState;
  MembershipRunner& mMembers;
  ReleaseFollower mFollower;
  Random mRandom;
  std::map<ProductId, Holder> mHolders;
  bool mIsTableUp = false;
};

} // namespace bilberrytrail

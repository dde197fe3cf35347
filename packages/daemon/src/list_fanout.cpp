#include "list_fanout.h"

#include <bilberrytrail/membership/list_readers.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kPeerTimeout = 1s;

} // namespace

ListFanout::ListFanout(ThreadContext& aThread,
                       ControlState& aState,
                       const ListFollower& aList,
                       const ListSenderSettings& aSettings)
  : mThread(aThread)
  , mState(aState)
  , mList(aList)
  , mSender(aSettings)
{
}

void
ListFanout::Send(bool aIsReader, Instant aNow)
{
  SetReceivers(aIsReader);
  if (!aIsReader || mList.Digest().empty()) {
    return;
  }
  mHistory.Add(mList.Vms(), mList.Digest());
  const auto view = mState.View();
  for (const auto& message : mSender.Due(mList.Digest(), aNow)) {
    const auto* peer = view->FindMember(message.mReceiver);
    if (peer != nullptr) {
      SendTo(*peer, message);
    }
  }
}

void
ListFanout::SetReceivers(bool aIsReader)
{
  std::vector<DaemonId> receivers;
  if (aIsReader) {
    const auto view = mState.View();
    const auto readers = ListReadersOf(view->mZone, view->mHomes);
    for (const auto& member : view->mMembers) {
      if (member.mZone == view->mZone &&
          std::find(readers.begin(), readers.end(), member.mId) ==
            readers.end()) {
        receivers.push_back(member.mId);
      }
    }
  }
  mSender.SetReceivers(receivers);
}

void
ListFanout::SendTo(const MemberRecord& aPeer, const ListMessage& aMessage)
{
  const Json params = MakeListNews(mState.View()->mSelf,
                                   aMessage,
                                   mList,
                                   mHistory.Since(aMessage.mHeld),
                                   MonotonicNow());
  mThread.GetLoop().Spawn([this, peer = aPeer, params] {
    const auto reply =
      mThread.Peers().Call(peer, "list.changes", params, kPeerTimeout);
    if (!reply) {
      mSender.OnFailed(peer.mId);
      return;
    }
    JsonFields fields(reply.value());
    const std::string held = fields.Text("digest");
    const std::uint64_t clock = fields.Unsigned("clock_us");
    if (fields.Check()) {
      mSender.OnAnswer(peer.mId, held, clock, MonotonicNow());
    } else {
      mSender.OnFailed(peer.mId);
    }
  });
}

} // namespace bilberrytrail

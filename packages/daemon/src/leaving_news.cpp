#include "leaving_news.h"

#include "list_message.h"

#include <bilberrytrail/membership/list_readers.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kPeerTimeout = 1s;
constexpr const char* kMethod = "list.leaving";

bool
Contains(const std::vector<DaemonId>& aIds, const DaemonId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

} // namespace

LeavingNews::LeavingNews(ThreadContext& aThread, ControlState& aState)
  : mThread(aThread)
  , mState(aState)
{
}

void
LeavingNews::Tell(const DepartureNotice& aWord, bool aOrdered)
{
  const auto view = mState.View();
  Json params = ToJson(aWord);
  params["ordered"] = aOrdered;
  params["relay"] = false;
  const auto server = view->mServers.find(ServerId(aWord.mName));
  if (server != view->mServers.end()) {
    const auto* home = view->FindMember(server->second.mHome);
    if (home != nullptr && home->mId != view->mSelf) {
      TellDaemon(*home, params);
    }
  }
  for (const auto& [zone, ids] : DaemonsByZone(view->mHomes)) {
    TellZone(*view, zone, params);
  }
}

Result<Json>
LeavingNews::Take(const Json& aParams)
{
  JsonFields fields(aParams);
  const bool isOrdered = fields.Flag("ordered");
  const bool isToRelay = fields.Flag("relay");
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  const auto word = ReadLeavingWord(aParams);
  if (!word) {
    return word.error();
  }
  const bool isNew = isOrdered
                       ? mState.SetLeaving(ServerId(word.value().mName))
                       : mState.HearLeaving(word.value(), MonotonicNow());
  if (isNew && isToRelay) {
    Json params = aParams;
    params["relay"] = false;
    TellDaemons(mState.View()->mZone, {}, params);
  }
  return Json::object();
}

void
LeavingNews::TellZone(const ControlView& aView,
                      const ZoneId& aZone,
                      Json aParams)
{
  auto readers = ListReadersOf(aZone, aView.mHomes);
  if (Contains(readers, aView.mSelf)) {
    TellDaemons(aZone, {}, aParams);
    return;
  }
  // What the calls to the readers of the zone came to.
  struct Outcome
  {
    std::size_t mUnderWay = 0;
    bool mIsAnswered = false;
  };
  const auto outcome = std::make_shared<Outcome>();
  aParams["relay"] = true;
  for (const auto& id : readers) {
    const auto* found = aView.FindMember(id);
    if (found == nullptr) {
      continue;
    }
    ++outcome->mUnderWay;
    mThread.GetLoop().Spawn(
      [this, peer = *found, aZone, readers, params = aParams, outcome] {
        const auto reply =
          mThread.Peers().Call(peer, kMethod, params, kPeerTimeout);
        outcome->mIsAnswered = outcome->mIsAnswered || reply.has_value();
        if (--outcome->mUnderWay == 0 && !outcome->mIsAnswered) {
          Json direct = params;
          direct["relay"] = false;
          TellDaemons(aZone, readers, direct);
        }
      });
  }
}

void
LeavingNews::TellDaemons(const ZoneId& aZone,
                         const std::vector<DaemonId>& aExcept,
                         const Json& aParams)
{
  const auto view = mState.View();
  for (const auto& peer : view->mMembers) {
    if (peer.mZone == aZone && peer.mId != view->mSelf &&
        !Contains(aExcept, peer.mId)) {
      TellDaemon(peer, aParams);
    }
  }
}

void
LeavingNews::TellDaemon(const MemberRecord& aPeer, const Json& aParams)
{
  mThread.GetLoop().Spawn([this, peer = aPeer, params = aParams] {
    (void)mThread.Peers().Call(peer, kMethod, params, kPeerTimeout);
  });
}

} // namespace bilberrytrail

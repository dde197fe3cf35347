#include "control_state.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Dead daemons that views name.
constexpr std::size_t kMaxDead = 1024;

} // namespace

ControlState::ControlState(ControlViewHolder& aViews,
                           DaemonId aSelf,
                           ZoneId aZone,
                           Duration aLeavingHold)
  : mViews(aViews)
  , mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mWords(aLeavingHold)
{
}

void
ControlState::OnView(std::function<void(const ControlView&)> aListener)
{
  mListeners.push_back(std::move(aListener));
}

void
ControlState::SetMembers(std::vector<MemberRecord> aMembers, Instant aNow)
{
  mMembers = std::move(aMembers);
  if (mMemberPause.OnChange(aNow)) {
    Publish();
  }
}

void
ControlState::NoteDead(const DaemonId& aDaemon, bool aIsDead)
{
  std::erase(mDead, aDaemon);
  if (aIsDead) {
    mDead.push_front(aDaemon);
    mDead.resize(std::min(mDead.size(), kMaxDead));
  }
}

bool
ControlState::HearLeaving(const DepartureNotice& aWord, Instant aNow)
{
  const bool isNew = mWords.Record(aWord, aNow);
  if (isNew) {
    Publish();
  }
  return isNew;
}

void
ControlState::Tick(Instant aNow)
{
  const bool isDue = mMemberPause.IsDue(aNow);
  if (mWords.Expire(aNow) || isDue) {
    Publish();
  }
}

void
ControlState::SetVms(std::vector<VmEntry> aVms, Instant aNow)
{
  // A server that a list no longer shows as leaving may be shown by one that
  // lags: the word of the list before holds on.
  mWords.OnList(mVms, aNow);
  mWords.OnList(aVms, aNow);
  if (mVms == aVms) {
    return;
  }
  mVms = std::move(aVms);
  std::erase_if(mLeaving, [&](const ServerId& aId) {
    return std::none_of(mVms.begin(), mVms.end(), [&](const VmEntry& aVm) {
      return aVm.mName == aId.Text();
    });
  });
  Publish();
}

void
ControlState::SetRelease(std::shared_ptr<const ReleaseBody> aBody)
{
  mReleases[aBody->mState.mProduct] = std::move(aBody);
  Publish();
}

void
ControlState::SetNotReady(std::string aReason)
{
  if (mNotReady != aReason) {
    mNotReady = std::move(aReason);
    Publish();
  }
}

void
ControlState::SetDraining()
{
  mDraining = true;
  Publish();
}

void
ControlState::SetClosing()
{
  mClosing = true;
  Publish();
}

bool
ControlState::SetLeaving(const ServerId& aServer)
{
  if (std::find(mLeaving.begin(), mLeaving.end(), aServer) != mLeaving.end()) {
    return false;
  }
  mLeaving.push_back(aServer);
  Publish();
  return true;
}

void
ControlState::Publish()
{
  auto view = std::make_shared<ControlView>();
  view->mSelf = mSelf;
  view->mZone = mZone;
  view->mNotReady = mNotReady;
  view->mDraining = mDraining;
  view->mClosing = mClosing;
  view->mMembers = mMembers;
  view->mDead.insert(mDead.begin(), mDead.end());
  for (const auto& member : mMembers) {
    view->mHomes.push_back({ member.mId, member.mZone, 1.0 });
  }
  AddServers(*view);
  AddProducts(*view);
  mViews.Store(view);
  for (const auto& listener : mListeners) {
    listener(*view);
  }
}

void
ControlState::AddServers(ControlView& aView) const
{
  for (const auto& vm : mVms) {
    if (vm.mRole == VmRole::Entry) {
      continue;
    }
    const ServerId id(vm.mName);
    BackendView server{ vm, {} };
    // A store VM has the home of the server it belongs to.
    const bool isPaired = vm.mRole == VmRole::Store && !vm.mGroup.empty();
    server.mHome =
      HomeOf(isPaired ? vm.mGroup : vm.mName, vm.mZone, aView.mHomes);
    if (mWords.Has(vm) ||
        std::find(mLeaving.begin(), mLeaving.end(), id) != mLeaving.end()) {
      server.mVm.mLeaving = true;
    }
    aView.mServers.emplace(id, std::move(server));
  }
  aView.IndexServers();
}

void
ControlState::AddProducts(ControlView& aView) const
{
  for (const auto& [product, body] : mReleases) {
    aView.mProducts.emplace(product, body->mState);
    for (const auto& [account, spec] : body->mState.mAccounts) {
      for (const auto& hash : spec.mTokenHashes) {
        aView.mTokens.emplace(hash, AccountView{ product, account });
      }
    }
  }
}

} // namespace bilberrytrail

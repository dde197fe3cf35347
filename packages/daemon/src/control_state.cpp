#include "control_state.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Dead daemons that views name.
constexpr std::size_t kMaxDead = 1024;

bool
IsSameVm(const VmEntry& aLeft, const VmEntry& aRight)
{
  return aLeft.mName == aRight.mName && aLeft.mRole == aRight.mRole &&
         aLeft.mProduct == aRight.mProduct && aLeft.mGroup == aRight.mGroup &&
         aLeft.mZone == aRight.mZone && aLeft.mEndpoint == aRight.mEndpoint &&
         aLeft.mLeaving == aRight.mLeaving &&
         aLeft.mChecksFencing == aRight.mChecksFencing;
}

} // namespace

ControlState::ControlState(ControlViewHolder& aViews,
                           DaemonId aSelf,
                           ZoneId aZone)
  : mViews(aViews)
  , mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
{
}

void
ControlState::OnView(std::function<void(const ControlView&)> aListener)
{
  mListeners.push_back(std::move(aListener));
}

void
ControlState::SetMembers(std::vector<MemberRecord> aMembers)
{
  mMembers = std::move(aMembers);
  Publish();
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

void
ControlState::SetListedLeaving(const ServerId& aServer)
{
  for (auto& vm : mVms) {
    if (vm.mName == aServer.Text() && !vm.mLeaving) {
      vm.mLeaving = true;
      Publish();
    }
  }
}

void
ControlState::SetVms(std::vector<VmEntry> aVms)
{
  if (std::equal(
        mVms.begin(), mVms.end(), aVms.begin(), aVms.end(), IsSameVm)) {
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

void
ControlState::SetLeaving(const ServerId& aServer)
{
  if (std::find(mLeaving.begin(), mLeaving.end(), aServer) == mLeaving.end()) {
    mLeaving.push_back(aServer);
    Publish();
  }
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
    if (std::find(mLeaving.begin(), mLeaving.end(), id) != mLeaving.end()) {
      server.mVm.mLeaving = true;
    }
    aView.mServers.emplace(id, std::move(server));
  }
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

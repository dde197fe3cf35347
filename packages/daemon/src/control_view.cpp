#include "control_view.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Only plain services differ by group.
std::string
GroupOf(VmRole aRole, std::string_view aGroup)
{
  return aRole == VmRole::Service ? std::string(aGroup) : std::string();
}

} // namespace

const MemberRecord*
ControlView::FindMember(const DaemonId& aId) const
{
  const auto it = std::find_if(
    mMembers.begin(), mMembers.end(), [&](const MemberRecord& aMember) {
      return aMember.mId == aId;
    });
  return it == mMembers.end() ? nullptr : &*it;
}

std::vector<MemberRecord>
ControlView::RandomPeers(std::size_t aMost, Random& aRandom) const
{
  std::vector<MemberRecord> peers = mMembers;
  std::erase_if(
    peers, [&](const MemberRecord& aMember) { return aMember.mId == mSelf; });
  return PickRandom(std::move(peers), aMost, aRandom);
}

const ProductState*
ControlView::FindProduct(const ProductId& aId) const
{
  const auto it = mProducts.find(aId);
  return it == mProducts.end() ? nullptr : &it->second;
}

const std::vector<ServerId>&
ControlView::UsableServers(const ProductId& aProduct,
                           VmRole aRole,
                           std::string_view aGroup) const
{
  static const std::vector<ServerId> kNone;
  const auto it = mUsable.find({ aProduct, aRole, GroupOf(aRole, aGroup) });
  return it == mUsable.end() ? kNone : it->second;
}

void
ControlView::IndexServers()
{
  mUsable.clear();
  for (const auto& [id, server] : mServers) {
    const VmEntry& vm = server.mVm;
    if (!vm.mLeaving) {
      const std::string group = GroupOf(vm.mRole, vm.mGroup);
      mUsable[{ vm.mProduct, vm.mRole, group }].push_back(id);
    }
  }
}

} // namespace bilberrytrail

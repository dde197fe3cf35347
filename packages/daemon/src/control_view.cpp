#include "control_view.h"

#include <algorithm>

namespace bilberrytrail {

const MemberRecord*
ControlView::FindMember(const DaemonId& aId) const
{
  const auto it = std::find_if(
    mMembers.begin(), mMembers.end(), [&](const MemberRecord& aMember) {
      return aMember.mId == aId;
    });
  return it == mMembers.end() ? nullptr : &*it;
}

const ProductState*
ControlView::FindProduct(const ProductId& aId) const
{
  const auto it = mProducts.find(aId);
  return it == mProducts.end() ? nullptr : &it->second;
}

std::vector<ServerId>
ControlView::UsableServers(const ProductId& aProduct,
                           VmRole aRole,
                           std::string_view aGroup) const
{
  std::vector<ServerId> servers;
  for (const auto& [id, server] : mServers) {
    const VmEntry& vm = server.mVm;
    if (vm.mProduct == aProduct && vm.mRole == aRole && !vm.mLeaving &&
        (aRole != VmRole::Service || vm.mGroup == aGroup)) {
      servers.push_back(id);
    }
  }
  return servers;
}

} // namespace bilberrytrail

#include <bilberrytrail/platform/departure_notices.h>

#include <algorithm>

namespace bilberrytrail {

DepartureNotices::DepartureNotices(Duration aRetention)
  : mRetention(aRetention)
{
}

bool
DepartureNotices::Record(const DepartureNotice& aNotice, Instant aNow)
{
  const Instant expiresAt = aNow + std::min(aNotice.mRemaining, mRetention);
  if (expiresAt <= aNow) {
    return false;
  }
  const auto it = mNotices.find(aNotice.mName);
  if (it == mNotices.end() || it->second.mEndpoint != aNotice.mEndpoint) {
    mNotices[aNotice.mName] = { aNotice.mEndpoint, expiresAt };
    return true;
  }
  it->second.mExpiresAt = std::max(it->second.mExpiresAt, expiresAt);
  return false;
}

void
DepartureNotices::OnList(const std::vector<VmEntry>& aVms, Instant aNow)
{
  for (const auto& vm : aVms) {
    const auto it = mNotices.find(vm.mName);
    if (it != mNotices.end() && it->second.mEndpoint != vm.mEndpoint) {
      mNotices.erase(it);
    }
    if (vm.mLeaving) {
      Record({ vm.mName, vm.mEndpoint, mRetention }, aNow);
    }
  }
}

bool
DepartureNotices::Expire(Instant aNow)
{
  return std::erase_if(mNotices, [&](const auto& aItem) {
           return aItem.second.mExpiresAt <= aNow;
         }) > 0;
}

bool
DepartureNotices::Has(const VmEntry& aVm) const
{
  const auto it = mNotices.find(aVm.mName);
  return it != mNotices.end() && it->second.mEndpoint == aVm.mEndpoint;
}

std::vector<DepartureNotice>
DepartureNotices::Active(Instant aNow) const
{
  std::vector<DepartureNotice> active;
  for (const auto& [name, notice] : mNotices) {
    if (notice.mExpiresAt > aNow) {
      active.push_back({ name, notice.mEndpoint, notice.mExpiresAt - aNow });
    }
  }
  return active;
}

} // namespace bilberrytrail

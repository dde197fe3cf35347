#include <bilberrytrail/platform/departure_notices.h>

#include <algorithm>

namespace bilberrytrail {

DepartureNotices::DepartureNotices(Duration aHold)
  : mHold(aHold)
{
}

bool
DepartureNotices::Record(const DepartureNotice& aWord, Instant aNow)
{
  const Instant end = aNow + std::min(aWord.mRemaining, mHold);
  if (end <= aNow) {
    return false;
  }
  const auto it = mWords.find(aWord.mName);
  if (it == mWords.end() || it->second.mEndpoint != aWord.mEndpoint) {
    mWords[aWord.mName] = { aWord.mEndpoint, end };
    return true;
  }
  it->second.mEnd = std::max(it->second.mEnd, end);
  return false;
}

void
DepartureNotices::OnList(const std::vector<VmEntry>& aVms, Instant aNow)
{
  for (const auto& vm : aVms) {
    const auto it = mWords.find(vm.mName);
    if (it != mWords.end() && it->second.mEndpoint != vm.mEndpoint) {
      mWords.erase(it);
    }
    if (vm.mLeaving) {
      Record({ vm.mName, vm.mEndpoint, mHold }, aNow);
    }
  }
}

bool
DepartureNotices::Expire(Instant aNow)
{
  return std::erase_if(mWords, [&](const auto& aItem) {
           return aItem.second.mEnd <= aNow;
         }) > 0;
}

bool
DepartureNotices::Has(const VmEntry& aVm) const
{
  const auto it = mWords.find(aVm.mName);
  return it != mWords.end() && it->second.mEndpoint == aVm.mEndpoint;
}

std::vector<DepartureNotice>
DepartureNotices::Active(Instant aNow) const
{
  std::vector<DepartureNotice> held;
  for (const auto& [name, word] : mWords) {
    if (word.mEnd > aNow) {
      held.push_back({ name, word.mEndpoint, word.mEnd - aNow });
    }
  }
  return held;
}

} // namespace bilberrytrail

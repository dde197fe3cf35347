#include <bilberrytrail/platform/leaving_words.h>

#include <algorithm>

namespace bilberrytrail {

LeavingWords::LeavingWords(Duration aHold)
  : mHold(aHold)
{
}

bool
LeavingWords::Hear(const LeavingWord& aWord, Instant aNow)
{
  const Instant end = aNow + std::min(aWord.mLeft, mHold);
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
LeavingWords::OnList(const std::vector<VmEntry>& aVms, Instant aNow)
{
  for (const auto& vm : aVms) {
    const auto it = mWords.find(vm.mName);
    if (it != mWords.end() && it->second.mEndpoint != vm.mEndpoint) {
      mWords.erase(it);
    }
    if (vm.mLeaving) {
      Hear({ vm.mName, vm.mEndpoint, mHold }, aNow);
    }
  }
}

bool
LeavingWords::Expire(Instant aNow)
{
  return std::erase_if(mWords, [&](const auto& aItem) {
           return aItem.second.mEnd <= aNow;
         }) > 0;
}

bool
LeavingWords::Has(const VmEntry& aVm) const
{
  const auto it = mWords.find(aVm.mName);
  return it != mWords.end() && it->second.mEndpoint == aVm.mEndpoint;
}

std::vector<LeavingWord>
LeavingWords::Held(Instant aNow) const
{
  std::vector<LeavingWord> held;
  for (const auto& [name, word] : mWords) {
    if (word.mEnd > aNow) {
      held.push_back({ name, word.mEndpoint, word.mEnd - aNow });
    }
  }
  return held;
}

} // namespace bilberrytrail

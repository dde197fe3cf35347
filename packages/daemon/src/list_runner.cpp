#include "list_runner.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr Duration kListTimeout = 2s;

} // namespace

ListRunner::ListRunner(ThreadContext& aThread,
                       ControlState& aState,
                       MembershipRunner& aMembers,
                       const Endpoint& aList,
                       Duration aPeriod)
  : mThread(aThread)
  , mState(aState)
  , mMembers(aMembers)
  , mList(MakeHttpVmList(aThread.Client(), aList))
  , mPeriod(aPeriod)
{
}

Duration
ListRunner::Age(Instant aNow) const
{
  return aNow - mReadAt;
}

void
ListRunner::Start()
{
  mThread.GetLoop().Spawn([this] { PollAll(); });
}

void
ListRunner::PollAll()
{
  do {
    Poll();
  } while (mThread.GetLoop().Sleep(mPeriod));
}

void
ListRunner::Poll()
{
  auto vms = mList->Fetch(kListTimeout);
  if (vms.has_value() != mIsFresh) {
    mIsFresh = vms.has_value();
    LogLine(mIsFresh ? LogEvent::ListFresh : LogEvent::ListStale);
  }
  if (!vms) {
    return;
  }
  mReadAt = MonotonicNow();
  std::vector<Endpoint> daemons;
  for (const auto& vm : vms.value()) {
    if (vm.mRole == VmRole::Entry && !vm.mLeaving) {
      daemons.push_back(vm.mEndpoint);
    }
  }
  mMembers.Members().SetListed(std::move(daemons));
  mState.SetVms(std::move(vms).value());
}

} // namespace bilberrytrail

#include <bilberrytrail/traffic/server_queue.h>

#include <algorithm>
#include <deque>
#include <set>

namespace bilberrytrail {
namespace {

// See MakeFifoServerQueue.
class FifoServerQueue final : public ServerQueue
{
public:
  explicit FifoServerQueue(const QueueSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  std::size_t Waiting() const noexcept override { return mWaiting.size(); }
  std::size_t Running() const noexcept override { return mRunning.size(); }
  std::size_t Paused() const noexcept override { return 0; }

  Duration PredictWait(const QueueEntry& /*aEntry*/,
                       Instant /*aNow*/) const override
  {
    if (mRunning.size() < mSettings.mSlots) {
      return Duration();
    }
    Duration work{};
    for (const auto& entry : mWaiting) {
      work += entry.mService;
    }
    return work / std::max(1U, mSettings.mSlots);
  }

  std::optional<Instant> NextTick(Instant /*aNow*/) const override
  {
    std::optional<Instant> next;
    for (const auto& entry : mWaiting) {
      next = next ? std::min(*next, entry.mDeadline) : entry.mDeadline;
    }
    return next;
  }

  QueueActions Offer(QueueEntry aEntry, Instant aNow) override
  {
    QueueActions actions;
    if (mDraining || mWaiting.size() >= mSettings.mMaxWaiting) {
      const auto reason =
        mDraining ? RefusalReason::Draining : RefusalReason::QueueFull;
      actions.emplace_back(
        RefuseAction{ aEntry.mTicket, reason, PredictWait(aEntry, aNow) });
      return actions;
    }
    mWaiting.push_back(std::move(aEntry));
    FillSlots(actions);
    return actions;
  }

  QueueActions Finish(Ticket aTicket, Instant /*aNow*/) override
  {
    QueueActions actions;
    mRunning.erase(aTicket);
    FillSlots(actions);
    return actions;
  }

  QueueActions Cancel(Ticket aTicket, Instant aNow) override
  {
    std::erase_if(mWaiting, [&](const QueueEntry& aEntry) {
      return aEntry.mTicket == aTicket;
    });
    return Finish(aTicket, aNow);
  }

  QueueActions ConfirmPaused(Ticket /*aTicket*/, Instant /*aNow*/) override
  {
    return {};
  }

  QueueActions Tick(Instant aNow) override
  {
    QueueActions actions;
    std::erase_if(mWaiting, [&](const QueueEntry& aEntry) {
      if (aEntry.mDeadline > aNow) {
        return false;
      }
      actions.emplace_back(RefuseAction{ aEntry.mTicket,
                                         RefusalReason::DeadlinePassed,
                                         PredictWait(aEntry, aNow) });
      return true;
    });
    return actions;
  }

  QueueActions SetSlots(std::uint32_t aSlots, Instant /*aNow*/) override
  {
    QueueActions actions;
    mSettings.mSlots = aSlots;
    FillSlots(actions);
    return actions;
  }

  std::vector<QueueEntry> Drain(Instant /*aNow*/) override
  {
    mDraining = true;
    std::vector<QueueEntry> all(mWaiting.begin(), mWaiting.end());
    mWaiting.clear();
    return all;
  }

private:
  void FillSlots(QueueActions& aActions)
  {
    while (!mWaiting.empty() && mRunning.size() < mSettings.mSlots) {
      const auto ticket = mWaiting.front().mTicket;
      mWaiting.pop_front();
      mRunning.insert(ticket);
      aActions.emplace_back(GrantAction{ ticket });
    }
  }

  QueueSettings mSettings;
  std::deque<QueueEntry> mWaiting;
  std::set<Ticket> mRunning;
  bool mDraining = false;
};

} // namespace

std::unique_ptr<ServerQueue>
MakeFifoServerQueue(const QueueSettings& aSettings)
{
  return std::make_unique<FifoServerQueue>(aSettings);
}

} // namespace bilberrytrail

#pragma once

#include "fair_lane.h"

#include <array>
#include <map>

namespace bilberrytrail {

// Returns the duration multiplied by a factor.
[[nodiscard]] inline Duration
Scale(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

// Wait of an entry: the expected time, and an upper bound that is rarely
// exceeded.
struct WaitEstimate
{
  Duration mExpected{};
  Duration mBound{};
};

// Ratio of observed to estimated running times of one class.
struct ServiceRatio
{
  double mMean = 1;
  double mVariance = 0.01;
};

// An entry that holds a slot.
struct RunningEntry
{
  QueueEntry mEntry;
  Instant mStarted;
  // Running time before the last pause.
  Duration mRanBefore{};
  bool mPausing = false;
};

// A draft that was cancelled at the engine and will be resumed.
struct PausedEntry
{
  QueueEntry mEntry;
  Instant mPausedAt;
  Duration mRanBefore{};
  bool mDemoted = false;
};

// See MakeFairServerQueue.
class FairServerQueue final : public ServerQueue
{
public:
  explicit FairServerQueue(const QueueSettings& aSettings);

  std::size_t Waiting() const noexcept override;
  std::size_t Running() const noexcept override { return mRunning.size(); }
  std::size_t Paused() const noexcept override { return mPaused.size(); }
  Duration PredictWait(const QueueEntry& aEntry, Instant aNow) const override;
  std::optional<Instant> NextTick(Instant aNow) const override;

  QueueActions Offer(QueueEntry aEntry, Instant aNow) override;
  QueueActions Finish(Ticket aTicket, Instant aNow) override;
  QueueActions Cancel(Ticket aTicket, Instant aNow) override;
  QueueActions ConfirmPaused(Ticket aTicket, Instant aNow) override;
  QueueActions Tick(Instant aNow) override;
  QueueActions SetSlots(std::uint32_t aSlots, Instant aNow) override;
  std::vector<QueueEntry> Drain(Instant aNow) override;

private:
  using Lanes = std::array<FairLane, EnumCount<WorkClass>()>;

  [[nodiscard]] FairLane& LaneOf(WorkClass aClass) noexcept;
  [[nodiscard]] const FairLane& LaneOf(WorkClass aClass) const noexcept;
  [[nodiscard]] bool HasWaitingShort() const noexcept;
  [[nodiscard]] std::uint32_t RunningDrafts() const noexcept;
  // Returns the maximum number of slots that drafts may hold.
  [[nodiscard]] std::uint32_t DraftSlots() const noexcept;
  // Returns how many entries of the class can run next to the running entries
  // of the other classes.
  [[nodiscard]] std::uint32_t SlotsFor(WorkClass aClass) const noexcept;
  [[nodiscard]] Duration RunningTimeOf(const RunningEntry& aRunning,
                                       Instant aNow) const noexcept;
  [[nodiscard]] bool IsDemoted(const RunningEntry& aRunning,
                               Instant aNow) const noexcept;
  // Returns whether the next free slot is reserved for a draft.
  [[nodiscard]] bool IsNextSlotForDraft(Instant aNow) const;
  [[nodiscard]] bool IsKnown(Ticket aTicket) const;
  // Returns how many slots the class has when the others use as many as they
  // may.
  [[nodiscard]] std::uint32_t GuaranteedSlotsFor(
    WorkClass aClass) const noexcept;
  // Returns the wait for aWorkAhead of the same lane. For short work it
  // includes the work of the other short lane, also what arrives there within
  // aWait.
  [[nodiscard]] WaitEstimate WaitAfterWork(Duration aWorkAhead,
                                           WorkClass aClass,
                                           Duration aWait,
                                           Instant aNow) const;
  [[nodiscard]] WaitEstimate WaitOf(const QueueEntry& aEntry,
                                    Instant aNow) const;
  // Returns the expected remaining running time of an entry.
  [[nodiscard]] Duration RemainingTimeOf(const QueueEntry& aEntry,
                                         Duration aRan) const noexcept;
  [[nodiscard]] const ServiceRatio& RatioOf(WorkClass aClass) const noexcept;
  [[nodiscard]] RefuseAction RefusalFor(const QueueEntry& aEntry,
                                        RefusalReason aReason,
                                        Instant aNow) const;

  // Evicts the newest entry of the account with the most waiting entries from
  // the full queue. Returns false when the account of aEntry would not have
  // fewer entries than that one.
  bool EvictFor(const QueueEntry& aEntry, Instant aNow, QueueActions& aActions);
  // Refuses waiting entries that can no longer meet their deadline, and paused
  // ones whose deadline has passed.
  void RefuseInfeasible(Instant aNow, QueueActions& aActions);
  void FillSlots(Instant aNow, QueueActions& aActions);
  void Grant(QueueEntry aEntry, Instant aNow, QueueActions& aActions);
  bool GrantShort(Instant aNow, QueueActions& aActions);
  bool GrantDraft(Instant aNow, QueueActions& aActions);
  // Resumes the draft that has been paused longest. Unless aAlsoDemoted is set,
  // demoted drafts are considered only after mMaxPause. Returns false when
  // there is none to resume.
  bool ResumePaused(bool aAlsoDemoted, Instant aNow, QueueActions& aActions);
  [[nodiscard]] bool IsResumeDue(const PausedEntry& aPaused,
                                 Instant aNow) const noexcept;
  // Pauses up to as many demoted drafts as there are waiting entries.
  void PauseDemoted(Instant aNow, QueueActions& aActions);
  // Pauses up to as many drafts as there are waiting short entries, except for
  // those in the slots reserved for drafts.
  void PauseForShort(Instant aNow, QueueActions& aActions);
  // Pauses the given drafts, the longest-running ones first, until aCount
  // drafts in total are being paused.
  void PauseLongest(std::vector<RunningEntry*> aDrafts,
                    std::size_t aCount,
                    Instant aNow,
                    QueueActions& aActions);
  [[nodiscard]] std::size_t CountPausing() const noexcept;
  void RecordServiceTime(const RunningEntry& aRunning, Instant aNow);
  // Updates the peak number of slots held by short work.
  void RecordShortSlots(Instant aNow) noexcept;

  QueueSettings mSettings;
  Lanes mLanes;
  std::map<Ticket, RunningEntry> mRunning;
  std::map<Ticket, PausedEntry> mPaused;
  std::array<ServiceRatio, EnumCount<WorkClass>()> mRatios;
  // Maximum number of slots held by short work at once, in the current period
  // and in the previous one.
  std::uint32_t mShortPeak = 0;
  std::uint32_t mLastShortPeak = 0;
  Instant mShortPeakEnd;
  WorkClass mNextShort = WorkClass::Read;
  // Slots that short work needed when it last had to wait, reserved for it
  // until mSurgeEnd.
  std::uint32_t mSurgeSlots = 0;
  Instant mSurgeEnd;
  bool mDraining = false;
};

} // namespace bilberrytrail

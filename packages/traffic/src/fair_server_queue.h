#pragma once

#include "fair_lane.h"

#include <array>
#include <map>

namespace bilberrytrail {

// Returns the length of time multiplied by a factor.
[[nodiscard]] inline Duration
Scale(Duration aLength, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aLength * aFactor);
}

// How long an entry waits: the likely time, and one that is seldom exceeded.
struct WaitEstimate
{
  Duration mExpected{};
  Duration mBound{};
};

// Observed running times of one class over the estimated ones.
struct ServiceRatio
{
  double mMean = 1;
  double mVariance = 0.01;
};

// A draft or other entry that holds a slot.
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
  Instant mSince;
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
  // Returns the most slots that drafts may hold.
  [[nodiscard]] std::uint32_t DraftSlots() const noexcept;
  // Returns how many entries of the class can run beside the other classes.
  [[nodiscard]] std::uint32_t SlotsFor(WorkClass aClass) const noexcept;
  [[nodiscard]] Duration Ran(const RunningEntry& aRunning,
                             Instant aNow) const noexcept;
  [[nodiscard]] bool IsDemoted(const RunningEntry& aRunning,
                               Instant aNow) const noexcept;
  // Returns whether the next free slot is kept for drafts.
  [[nodiscard]] bool IsDraftDue(Instant aNow) const;
  [[nodiscard]] bool IsKnown(Ticket aTicket) const;
  // Returns how many slots the class keeps when the others take all they may.
  [[nodiscard]] std::uint32_t KeptSlotsFor(WorkClass aClass) const noexcept;
  // Returns the wait behind the given work of the same lane and, of short work,
  // behind that of the other lane, of which some arrives within the given time.
  [[nodiscard]] WaitEstimate WaitBehind(Duration aWorkAhead,
                                        WorkClass aClass,
                                        Duration aWait,
                                        Instant aNow) const;
  [[nodiscard]] WaitEstimate WaitOf(const QueueEntry& aEntry,
                                    Instant aNow) const;
  // Returns the running time that an entry has probably left.
  [[nodiscard]] Duration LeftOf(const QueueEntry& aEntry,
                                Duration aRan) const noexcept;
  [[nodiscard]] const ServiceRatio& RatioOf(WorkClass aClass) const noexcept;
  [[nodiscard]] RefuseAction RefusalFor(const QueueEntry& aEntry,
                                        RefusalReason aReason,
                                        Instant aNow) const;

  // Makes room in the full queue at the cost of the account with the most
  // waiting entries. Returns false when that is the entry's own account.
  bool EvictFor(const QueueEntry& aEntry, Instant aNow, QueueActions& aActions);
  void RefuseHopeless(Instant aNow, QueueActions& aActions);
  void FillSlots(Instant aNow, QueueActions& aActions);
  void Grant(QueueEntry aEntry, Instant aNow, QueueActions& aActions);
  bool GrantShort(Instant aNow, QueueActions& aActions);
  bool GrantDraft(Instant aNow, QueueActions& aActions);
  // Resumes the draft that was paused first. Without aAlsoDemoted, demoted ones
  // count only after the longest pause.
  bool ResumePaused(bool aAlsoDemoted, Instant aNow, QueueActions& aActions);
  [[nodiscard]] bool IsResumeDue(const PausedEntry& aPaused,
                                 Instant aNow) const noexcept;
  // Pauses as many demoted drafts as entries wait.
  void PauseDemoted(Instant aNow, QueueActions& aActions);
  // Pauses as many drafts as short entries wait, but for those that have the
  // slots kept for drafts.
  void PauseForShort(Instant aNow, QueueActions& aActions);
  // Pauses the given drafts, those first that ran longest, until aCount are
  // being paused in all.
  void PauseLongest(std::vector<RunningEntry*> aDrafts,
                    std::size_t aCount,
                    Instant aNow,
                    QueueActions& aActions);
  [[nodiscard]] std::size_t CountPausing() const noexcept;
  void Learn(const RunningEntry& aRunning, Instant aNow);
  // Notes how many slots short work has.
  void NoteShortSlots(Instant aNow) noexcept;

  QueueSettings mSettings;
  Lanes mLanes;
  std::map<Ticket, RunningEntry> mRunning;
  std::map<Ticket, PausedEntry> mPaused;
  std::array<ServiceRatio, EnumCount<WorkClass>()> mRatios;
  // Most slots that short work had at once, in the present period and in the
  // one before it.
  std::uint32_t mShortPeak = 0;
  std::uint32_t mLastShortPeak = 0;
  Instant mShortPeakEnd;
  WorkClass mNextShort = WorkClass::Read;
  // Slots that short work needed when it last had to wait, kept for it until
  // mSurgeEnd.
  std::uint32_t mSurgeSlots = 0;
  Instant mSurgeEnd;
  bool mDraining = false;
};

} // namespace bilberrytrail

#pragma once

#include "change_signal.h"
#include "peer_replicas.h"
#include "site_metrics.h"
#include "site_view_holder.h"

#include <bilberrytrail/entry/remote_clock.h>

#include <array>
#include <optional>

namespace bilberrytrail {

// Where rows or evidence came from.
struct SiteSource
{
  SiteWay mWay = SiteWay::Table;
  // Empty for the table service.
  DaemonId mDaemon;
};

// What this daemon knows of the site, whichever way it came: the replicas of
// the tables, the view that is built from them, and since when changes may be
// missing. Used on the control thread.
class SiteState
{
public:
  SiteState(Loop& aLoop,
            const SiteReader& aReader,
            SiteViewHolder& aViews,
            SiteMetrics& aMetrics);

  // Starts the fibers that drop lapsed rows and watch the evidence.
  void Start();

  [[nodiscard]] const SiteReplica& Replica() const noexcept { return mReplica; }
  [[nodiscard]] TableVersion Version(SiteTable aTable) const noexcept
  {
    return mReplica.Version(aTable);
  }
  // Returns the time for which rows of a table may have lacked changes; a long
  // time before the first evidence.
  [[nodiscard]] Duration Lag(SiteTable aTable) const noexcept
  {
    return KnownLag(aTable).value_or(Duration::max());
  }
  // Returns the same, but nothing before the first evidence.
  [[nodiscard]] std::optional<Duration> KnownLag(
    SiteTable aTable) const noexcept
  {
    const auto completeAt = mViews.CompleteAt(aTable);
    return completeAt == Instant() ? std::nullopt
                                   : std::optional(BootNow() - completeAt);
  }
  [[nodiscard]] bool HasOutage(SiteTable aTable) const noexcept
  {
    return mViews.HasOutage(aTable);
  }
  // Returns whether no call for a table has failed last.
  [[nodiscard]] bool IsTableReachable() const noexcept;
  // Notified of changed rows, and of newer evidence.
  [[nodiscard]] ChangeSignal& RowsChanged() noexcept { return mRowsChanged; }
  [[nodiscard]] ChangeSignal& EvidenceRenewed() noexcept
  {
    return mEvidenceRenewed;
  }

  // Takes in rows that the table service returned to a call that was sent at
  // aSentAt. aShownAt is the latest time at which these rows certainly lacked
  // nothing.
  void OnTableRows(SiteTable aTable,
                   const ReplicaRows& aRows,
                   Instant aSentAt,
                   Instant aShownAt);
  // Records that a call for a table failed.
  void OnTableFailure(SiteTable aTable, const CallError& aError);
  // Records that the table service answers a daemon that was asked.
  void OnReachableElsewhere();
  // Takes in another daemon's rows.
  void OnPeerRows(SiteTable aTable,
                  const ReplicaRows& aRows,
                  const SiteSource& aSource);
  // Records that the rows lack no change made before a time.
  void SetComplete(SiteTable aTable, Instant aAt, const SiteSource& aSource);

private:
  // Evidence about a table.
  struct Evidence
  {
    SiteSource mSource;
    // The longest age, while the evidence is old.
    std::optional<Duration> mLongestAge;
  };

  void WatchExpiry();
  void WatchEvidence();
  void SampleEvidence(SiteTable aTable);
  void OnContact();
  void Apply(SiteTable aTable,
             const ReplicaRows& aRows,
             const SiteSource& aSource);
  void NoteEra(SiteTable aTable, TableVersion aBefore);
  void Publish(const SiteSource& aSource);
  void OnConfigInForce(const SiteConfig& aConfig, const SiteSource& aSource);

  Loop& mLoop;
  SiteViewHolder& mViews;
  SiteMetrics& mMetrics;
  SiteReplica mReplica;
  SiteAssembler mAssembler;
  RemoteClock mClock;
  // Until when the operator's table may lack what was in force before, since it
  // was restored.
  Instant mIncompleteUntil;
  std::array<Evidence, EnumCount<SiteTable>()> mEvidence;
  ChangeSignal mRowsChanged;
  ChangeSignal mEvidenceRenewed;
};

} // namespace bilberrytrail

#include "site_state.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kExpiryPeriod = 200ms;
// Time between two samples of the age of the evidence, and the number of them
// between two lines of the log about replies.
constexpr Duration kEvidencePeriod = 1s;
constexpr int kSamplesPerLog = 5;
// Older evidence is logged. Longer than any wait for changes.
constexpr Duration kOldEvidence = 3200ms;

} // namespace

SiteState::SiteState(Loop& aLoop,
                     const SiteReader& aReader,
                     SiteViewHolder& aViews,
                     SiteMetrics& aMetrics)
  : mLoop(aLoop)
  , mViews(aViews)
  , mMetrics(aMetrics)
  , mAssembler(aReader)
  , mRowsChanged(aLoop)
  , mEvidenceRenewed(aLoop)
{
}

void
SiteState::Start()
{
  mLoop.Spawn([this] { WatchExpiry(); });
  mLoop.Spawn([this] { WatchEvidence(); });
}

bool
SiteState::IsTableReachable() const noexcept
{
  return std::ranges::none_of(
    AllOf<SiteTable>(), [this](SiteTable aTable) { return HasOutage(aTable); });
}

void
SiteState::OnContact()
{
  mReplica.OnContact(BootNow());
}

void
SiteState::OnTableRows(SiteTable aTable,
                       const ReplicaRows& aRows,
                       Instant aSentAt,
                       Instant aShownAt)
{
  OnContact();
  if (mViews.HasOutage(aTable)) {
    mViews.SetOutage(aTable, false);
    LogLine(LogEvent::TableUp, { { "table", aTable } });
  }
  auto shownAt = aShownAt;
  if (const auto tableMs = aRows.mRows.mTableMs) {
    mClock.Observe(*tableMs, aSentAt, BootNow());
    shownAt = std::max(shownAt, mClock.EarliestAt(*tableMs).value_or(shownAt));
  }
  const SiteSource source{ SiteWay::Table, {} };
  Apply(aTable, aRows, source);
  SetComplete(aTable, shownAt, source);
}

void
SiteState::OnTableFailure(SiteTable aTable, const CallError& aError)
{
  mReplica.OnOutage();
  if (mViews.HasOutage(aTable)) {
    return;
  }
  mViews.SetOutage(aTable, true);
  LogLine(
    LogEvent::TableDown,
    { { "table", aTable },
      { "code", aError.mError.mCode },
      { "reason", aError.mError.mMessage },
      { "operator_version", mReplica.Version(SiteTable::Operator).Number() },
      { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
}

void
SiteState::OnReachableElsewhere()
{
  OnContact();
}

void
SiteState::OnPeerRows(SiteTable aTable,
                      const ReplicaRows& aRows,
                      const SiteSource& aSource)
{
  const auto before = mReplica.Changed(aTable);
  Apply(aTable, aRows, aSource);
  if (aSource.mWay == SiteWay::Peer && mReplica.Changed(aTable) > before) {
    LogLine(
      LogEvent::PeerImageTaken,
      { { "daemon", aSource.mDaemon },
        { "operator_version", mReplica.Version(SiteTable::Operator).Number() },
        { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
  }
}

void
SiteState::Apply(SiteTable aTable,
                 const ReplicaRows& aRows,
                 const SiteSource& aSource)
{
  const auto now = BootNow();
  const auto before = mReplica.Version(aTable);
  const auto changedBefore = mReplica.Changed(aTable);
  const bool changed = aRows.mIsWhole
                         ? mReplica.Replace(aTable, aRows.mRows, now)
                         : mReplica.Merge(aTable, aRows.mRows, now);
  NoteEra(aTable, before);
  if (changed) {
    Publish(aSource);
  }
  if (changed || mReplica.Changed(aTable) > changedBefore) {
    mRowsChanged.Notify();
  }
}

// A daemon that reads the tables for the first time can't know whether their
// era has just begun.
void
SiteState::NoteEra(SiteTable aTable, TableVersion aBefore)
{
  const auto after = mReplica.Version(aTable);
  if (after.Era() <= aBefore.Era()) {
    return;
  }
  const auto doubtedUntil = BootNow() + SiteReplica::kRecoveryTime;
  if (aTable == SiteTable::Operator) {
    mViews.DoubtUntil(doubtedUntil);
  }
  if (!aBefore.IsKnown()) {
    return;
  }
  LogLine(LogEvent::TableRestored,
          { { "table", aTable },
            { "era", after.Era() },
            { "version", after.Number() },
            { "version_before", aBefore.Number() } });
  if (aTable == SiteTable::Operator) {
    mIncompleteUntil = doubtedUntil;
  }
}

void
SiteState::SetComplete(SiteTable aTable, Instant aAt, const SiteSource& aSource)
{
  const bool isIncomplete =
    aTable == SiteTable::Operator && BootNow() < mIncompleteUntil;
  if (isIncomplete || aAt <= mViews.CompleteAt(aTable)) {
    return;
  }
  mViews.SetComplete(aTable, aAt, aSource.mWay);
  mEvidence[static_cast<std::size_t>(aTable)].mSource = aSource;
  mEvidenceRenewed.Notify();
}

void
SiteState::WatchExpiry()
{
  while (mLoop.Sleep(kExpiryPeriod)) {
    if (mReplica.NextExpiry() && mReplica.Expire(BootNow())) {
      LogLine(LogEvent::SiteServersChanged, { { "cause", "lapsed" } });
      Publish({});
    }
  }
}

void
SiteState::WatchEvidence()
{
  for (int n = 1; mLoop.Sleep(kEvidencePeriod); ++n) {
    if (n % kSamplesPerLog == 0) {
      mMetrics.LogReplies();
    }
    for (const auto table : AllOf<SiteTable>()) {
      if (mReplica.Version(table).IsKnown()) {
        SampleEvidence(table);
      }
    }
  }
}

// Logs when the evidence becomes old, and when it is renewed.
void
SiteState::SampleEvidence(SiteTable aTable)
{
  auto& evidence = mEvidence[static_cast<std::size_t>(aTable)];
  const auto age = Lag(aTable);
  mMetrics.OnEvidenceAge(aTable, age);
  if (age > kOldEvidence) {
    if (!evidence.mLongestAge) {
      LogLine(LogEvent::EvidenceOld,
              { { "table", aTable },
                { "age", age },
                { "way", evidence.mSource.mWay },
                { "daemon", evidence.mSource.mDaemon } });
    }
    evidence.mLongestAge = age;
  } else if (evidence.mLongestAge) {
    LogLine(LogEvent::EvidenceRenewed,
            { { "table", aTable },
              { "age", age },
              { "longest", *evidence.mLongestAge },
              { "way", evidence.mSource.mWay },
              { "daemon", evidence.mSource.mDaemon } });
    evidence.mLongestAge.reset();
  }
}

void
SiteState::OnConfigInForce(const SiteConfig& aConfig, const SiteSource& aSource)
{
  const auto tableMs = mReplica.TableMs(SiteTable::Operator);
  const auto late = tableMs ? mClock.Since(*tableMs, BootNow()) : std::nullopt;
  const auto evidence = KnownLag(SiteTable::Operator);
  if (late) {
    mMetrics.OnConfig(aSource.mWay, *late);
  }
  LogLine(LogEvent::SiteConfigInForce,
          { { "config", aConfig.mVersion },
            { "routes", aConfig.mRoutes.size() },
            { "accounts", aConfig.mAccounts.size() },
            { "stores", aConfig.mStores.size() },
            { "way", aSource.mWay },
            { "daemon", aSource.mDaemon },
            { "late", late ? std::to_string(ToMillis(*late)) : "unknown" },
            evidence ? LogField("evidence", *evidence)
                     : LogField("evidence", "none") });
}

void
SiteState::Publish(const SiteSource& aSource)
{
  const auto before = mViews.Load();
  auto view =
    mAssembler.Assemble(mReplica, mViews.CompleteAt(SiteTable::Operator));
  if (view->mConfig != nullptr &&
      (before == nullptr || before->mConfig != view->mConfig)) {
    OnConfigInForce(*view->mConfig, aSource);
  }
  if (before == nullptr || before->mServers.size() != view->mServers.size()) {
    LogLine(
      LogEvent::SiteServersChanged,
      { { "cause", "list" },
        { "servers", view->mServers.size() },
        { "servers_version", mReplica.Version(SiteTable::Servers).Number() } });
  }
  mViews.Store(std::move(view));
}

} // namespace bilberrytrail

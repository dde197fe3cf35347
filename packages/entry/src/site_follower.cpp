#include "site_follower.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

// Longest wait for changes in one call. A connection that fell silent is
// noticed kSilenceTime behind it.
constexpr Duration kChangeWait = 2500ms;
constexpr Duration kSilenceTime = 600ms;
// The same while other daemons rely on this one.
constexpr Duration kServingSilence = 300ms;
constexpr Duration kReadTime = 1500ms;
// Pause behind a call that brought changes: those of a moment come together.
constexpr Duration kChangePause = 80ms;
// Pause behind a call that failed, in which other daemons are asked, and the
// most such pauses between two calls.
constexpr Duration kRetryPause = 250ms;
constexpr unsigned kMostPauses = 4;
// Longest wait of a fiber that is not woken.
constexpr Duration kIndirectPause = 1s;
constexpr Duration kPeerTime = 400ms;
// An outage in which the lease of a roll can have lapsed.
constexpr Duration kLongOutage = 1500ms;
// Daemons asked at a time.
constexpr std::size_t kPeersAsked = 2;
constexpr Duration kExpiryPeriod = 200ms;

} // namespace

bool
SiteViewHolder::IsFresh(Instant aNow) const noexcept
{
  return Age(aNow) <= kFreshTime;
}

SiteFollower::SiteFollower(Loop& aLoop,
                           SiteFeed& aFeed,
                           const SiteReader& aReader,
                           PeerDirectory& aPeers,
                           SiteViewHolder& aViews)
  : mLoop(aLoop)
  , mFeed(aFeed)
  , mPeers(aPeers)
  , mViews(aViews)
  , mClient(aLoop)
  , mAssembler(aReader)
  , mTurns{ Event(aLoop), Event(aLoop) }
{
}

void
SiteFollower::Start()
{
  for (const auto table : AllOf<SiteTable>()) {
    mLoop.Spawn([this, table] { Follow(table); });
  }
  mLoop.Spawn([this] { WatchExpiry(); });
}

void
SiteFollower::SetDirect(bool aIsDirect, bool aIsServing)
{
  const bool isTurn = aIsDirect && !mIsDirect;
  mIsDirect = aIsDirect;
  mIsServing = aIsServing;
  if (isTurn) {
    for (auto& it : mTurns) {
      it.Notify();
    }
  }
}

void
SiteFollower::Follow(SiteTable aTable)
{
  bool mustReadAll = true;
  unsigned pauses = 1;
  while (!mLoop.IsStopping()) {
    if (!mIsDirect) {
      (void)mTurns[static_cast<std::size_t>(aTable)].Wait(kIndirectPause);
      continue;
    }
    if (ReadOnce(aTable, mustReadAll)) {
      pauses = 1;
      continue;
    }
    for (unsigned n = 0; n < pauses && mIsDirect; ++n) {
      AskPeers();
      (void)mLoop.Sleep(kRetryPause);
    }
    pauses = std::min(pauses * 2, kMostPauses);
  }
}

bool
SiteFollower::ReadOnce(SiteTable aTable, bool& aMustReadAll)
{
  const auto wait = mIsServing ? kServingWait : kChangeWait;
  const auto silence = mIsServing ? kServingSilence : kSilenceTime;
  const auto rows =
    aMustReadAll
      ? mFeed.ReadAll(aTable, kReadTime)
      : mFeed.ReadChanges(aTable, mImage.Version(aTable), wait, wait + silence);
  if (!rows) {
    if (rows.error().mError.mCode == ErrorCode::NotFound) {
      aMustReadAll = true;
      return true;
    }
    OnOutage(aTable, rows.error());
    return false;
  }
  OnContact(aTable);
  const auto now = MonotonicNow();
  const bool changed = aMustReadAll ? mImage.Replace(aTable, rows.value(), now)
                                    : mImage.Merge(aTable, rows.value(), now);
  aMustReadAll = false;
  if (changed) {
    Publish();
    (void)mLoop.Sleep(kChangePause);
  }
  return true;
}

void
SiteFollower::OnContact(SiteTable aTable)
{
  const auto now = MonotonicNow();
  mImage.OnContact(now);
  if (aTable == SiteTable::Operator) {
    mViews.Confirm(now);
  }
  if (mIsOut) {
    mIsOut = false;
    if (now - mOutSince >= kLongOutage) {
      mAssembler.RestartWeights(now);
    }
    LogLine(LogEvent::TableUp, { { "table", aTable } });
  }
}

void
SiteFollower::OnOutage(SiteTable aTable, const CallError& aError)
{
  mImage.OnOutage();
  if (!mIsOut) {
    mIsOut = true;
    mOutSince = MonotonicNow();
    LogLine(LogEvent::TableDown,
            { { "table", aTable },
              { "code", aError.mError.mCode },
              { "reason", aError.mError.mMessage },
              { "operator_version", mImage.Version(SiteTable::Operator) },
              { "servers_version", mImage.Version(SiteTable::Servers) } });
  }
}

void
SiteFollower::AskPeers()
{
  if (mIsAsking) {
    return;
  }
  mIsAsking = true;
  for (const auto& peer : mPeers.PickOthers(kPeersAsked)) {
    if (const auto reply = AskPeer(peer)) {
      TakeReply(peer, reply.value());
    }
  }
  mIsAsking = false;
}

Result<ImageReply>
SiteFollower::AskPeer(const PeerAddress& aPeer)
{
  const auto reply =
    CallPeer(mClient, aPeer, kImageMethod, ToJson(Versions()), kPeerTime);
  if (!reply) {
    return reply.error();
  }
  return ReadImageReply(reply.value());
}

void
SiteFollower::TakeReply(const PeerAddress& aPeer, const ImageReply& aReply)
{
  const auto now = MonotonicNow();
  if (aReply.mIsInReach) {
    mImage.OnContact(now);
    mViews.Confirm(now - aReply.mAge);
  }
  bool changed = false;
  if (aReply.mOperator) {
    changed = TakeRows(SiteTable::Operator, *aReply.mOperator, now);
  }
  if (aReply.mServers) {
    changed = TakeRows(SiteTable::Servers, *aReply.mServers, now) || changed;
  }
  if (!changed) {
    return;
  }
  if (mIsDirect) {
    LogLine(LogEvent::PeerImageTaken,
            { { "daemon", aPeer.mName },
              { "in_reach", aReply.mIsInReach },
              { "operator_version", mImage.Version(SiteTable::Operator) },
              { "servers_version", mImage.Version(SiteTable::Servers) } });
  }
  Publish();
}

bool
SiteFollower::TakeRows(SiteTable aTable, const ImageRows& aRows, Instant aNow)
{
  return aRows.mIsWhole ? mImage.Replace(aTable, aRows.mRows, aNow)
                        : mImage.Merge(aTable, aRows.mRows, aNow);
}

ImageQuery
SiteFollower::Versions() const noexcept
{
  return { mImage.Version(SiteTable::Operator),
           mImage.Version(SiteTable::Servers) };
}

ImageReply
SiteFollower::AnswerQuery(const ImageQuery& aQuery) const
{
  return AnswerImageQuery(aQuery, mImage, !mIsOut, mViews.Age(MonotonicNow()));
}

void
SiteFollower::WatchExpiry()
{
  while (mLoop.Sleep(kExpiryPeriod)) {
    if (mImage.NextExpiry() && mImage.Expire(MonotonicNow())) {
      LogLine(LogEvent::SiteServersChanged, { { "cause", "lapsed" } });
      Publish();
    }
  }
}

void
SiteFollower::Publish()
{
  const auto before = mViews.Load();
  auto view = mAssembler.Assemble(mImage, MonotonicNow());
  if (before == nullptr || before->mServers.size() != view->mServers.size()) {
    LogLine(LogEvent::SiteServersChanged,
            { { "cause", "list" },
              { "servers", view->mServers.size() },
              { "servers_version", mImage.Version(SiteTable::Servers) } });
  }
  mViews.Store(std::move(view));
}

void
SiteFollower::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kImageMethod),
               [this](const Json& aParams) -> Result<Json> {
                 const auto query = ReadImageQuery(aParams);
                 if (!query) {
                   return query.error();
                 }
                 return ToJson(AnswerQuery(query.value()));
               });
}

} // namespace bilberrytrail

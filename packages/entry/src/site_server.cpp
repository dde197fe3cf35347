#include "site_server.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Longest time for which a query is kept.
constexpr Duration kMaxWait = 2s;
// Longest time for which it is kept for evidence.
constexpr Duration kEvidenceWait = 300ms;
// Pause in which changes of servers are gathered into one answer.
constexpr Duration kServersPause = 150ms;
// Rows up to this size are part of the answer.
constexpr std::size_t kMaxInlineBytes = 1500;
// A requester that never read a table has a version of its own.
constexpr std::size_t kMaxEncoded = 16;

} // namespace

SiteServer::SiteServer(Loop& aLoop,
                       SiteState& aState,
                       LoadingNotifier& aNotifier,
                       SiteMetrics& aMetrics)
  : mLoop(aLoop)
  , mState(aState)
  , mNotifier(aNotifier)
  , mMetrics(aMetrics)
{
}

bool
SiteServer::HasNews(SiteTable aTable, const NoticeQuery& aQuery) const
{
  return mState.Replica().Changed(aTable) >
         aQuery.mKnown[static_cast<std::size_t>(aTable)];
}

void
SiteServer::AwaitNews(const NoticeQuery& aQuery,
                      const MayServe& aMayServe,
                      Instant aEnd)
{
  const auto left = [&] { return std::max(aEnd - BootNow(), Duration(0)); };
  while (aMayServe() && !HasNews(SiteTable::Operator, aQuery) &&
         left() > Duration(0)) {
    if (HasNews(SiteTable::Servers, aQuery)) {
      (void)mState.RowsChanged().Wait(std::min(left(), kServersPause));
      return;
    }
    if (!mState.RowsChanged().Wait(left())) {
      return;
    }
  }
}

void
SiteServer::AwaitEvidence(Instant aEnd)
{
  while (mState.Lag(SiteTable::Operator) > kMaxLag && BootNow() < aEnd &&
         mState.EvidenceRenewed().Wait(aEnd - BootNow())) {
  }
}

SiteNotice
SiteServer::Answer(const NoticeQuery& aQuery, const MayServe& aMayServe)
{
  const auto start = BootNow();
  if (aQuery.mFollows) {
    AwaitEvidence(start + std::min(aQuery.mWait, kEvidenceWait));
  }
  AwaitNews(aQuery, aMayServe, start + std::min(aQuery.mWait, kMaxWait));
  const auto now = BootNow();
  SiteNotice notice;
  notice.mIsTableReachable = mState.IsTableReachable();
  notice.mHeld = now - start;
  for (const auto table : AllOf<SiteTable>()) {
    notice.mTables[static_cast<std::size_t>(table)] = NoticeOf(table, aQuery);
  }
  if (mNotifier.Age(now) < LoadingNotifier::kLifetime) {
    notice.mLoading =
      LoadingNotice{ mNotifier.Loading(now), mNotifier.Age(now) };
  }
  return notice;
}

TableNotice
SiteServer::NoticeOf(SiteTable aTable, const NoticeQuery& aQuery) const
{
  const auto& replica = mState.Replica();
  const auto version = aQuery.mVersions[static_cast<std::size_t>(aTable)];
  TableNotice notice{ replica.Version(aTable),
                      replica.Changed(aTable),
                      mState.KnownLag(aTable),
                      std::nullopt };
  if (notice.mChanged > version) {
    auto rows = RowsSince(aTable, version, replica);
    if (rows && BytesOf(*rows) <= kMaxInlineBytes) {
      notice.mRows = std::move(rows);
    }
  }
  return notice;
}

std::shared_ptr<const std::string>
SiteServer::EncodedRows(SiteTable aTable, TableVersion aAfter)
{
  const auto changed = mState.Replica().Changed(aTable);
  const auto known = mEncoded.find({ aTable, aAfter });
  if (known != mEncoded.end() && known->second.mChanged == changed) {
    return known->second.mBytes;
  }
  std::erase_if(mEncoded, [&](const auto& aEntry) {
    return aEntry.first.first == aTable && aEntry.second.mChanged != changed;
  });
  if (mEncoded.size() >= kMaxEncoded) {
    mEncoded.clear();
  }
  const auto begin = MonotonicNow();
  const auto rows = RowsSince(aTable, aAfter, mState.Replica());
  auto bytes = std::make_shared<const std::string>(
    EncodeRows(rows.value_or(ReplicaRows{ false, { {}, aAfter } })));
  mMetrics.OnBuilt(RelayReplyKind::Rows, bytes->size(), MonotonicNow() - begin);
  mEncoded[{ aTable, aAfter }] = { changed, bytes };
  return bytes;
}

Result<std::string>
SiteServer::AnswerRows(const std::string& aQuery)
{
  const auto query = DecodeRowsQuery(aQuery);
  if (!query) {
    return query.error();
  }
  const auto table = query.value().mTable;
  auto reply = EncodeRowsReply(mState.KnownLag(table),
                               *EncodedRows(table, query.value().mAfter));
  mMetrics.OnReply(RelayReplyKind::Rows, reply.size());
  return reply;
}

} // namespace bilberrytrail

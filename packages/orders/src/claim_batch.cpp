#include <bilberrytrail/orders/claim_batch.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

// When this many writes are expected within the longest interval, each write
// waits for the whole interval.
constexpr double kWritesForFullInterval = 4;

} // namespace

Duration
BatchInterval(std::size_t aRecent, Duration aLongest) noexcept
{
  const double longest = ToMillis(aLongest);
  const double expected =
    static_cast<double>(aRecent) * longest / ToMillis(kClaimRateWindow);
  const double share = (expected - 1) / (kWritesForFullInterval - 1);
  return FromMillis(longest * std::clamp(share, 0.0, 1.0));
}

ClaimBatcher::ClaimBatcher(const ClaimBatchLimits& aLimits)
  : mLimits(aLimits)
{
}

std::optional<Instant>
ClaimBatcher::NextPoll() const
{
  if (mInFlight.size() >= mLimits.mMaxInFlight) {
    return std::nullopt;
  }
  for (const auto& entry : mWaiting) {
    if (!mBusyRows.contains(entry.mWrite.mKey)) {
      return entry.mDue;
    }
  }
  return std::nullopt;
}

CallResult<void>
ClaimBatcher::Add(std::uint64_t aTicket, TableWrite aWrite, Instant aNow)
{
  if (mWaiting.size() >= mLimits.mMaxWaiting) {
    return FailCall(
      CallDisposition::NotRun,
      ErrorCode::Exhausted,
      "too many table writes are waiting: " + std::to_string(mWaiting.size()) +
        " of at most " + std::to_string(mLimits.mMaxWaiting));
  }
  mWaiting.push_back(
    Entry{ aTicket, std::move(aWrite), aNow + CountArrival(aNow) });
  return Ok();
}

Duration
ClaimBatcher::CountArrival(Instant aNow)
{
  mArrivals.push_back(aNow);
  while (mArrivals.size() > mLimits.mMaxWaiting ||
         mArrivals.front() <= aNow - kClaimRateWindow) {
    mArrivals.pop_front();
  }
  return BatchInterval(mArrivals.size(), mLimits.mInterval);
}

bool
ClaimBatcher::IsDue(Instant aNow) const
{
  const auto next = NextPoll();
  return next && (*next <= aNow || mWaiting.size() >= mLimits.mMaxWrites);
}

std::vector<ClaimBatcher::Entry>
ClaimBatcher::TakeEntries()
{
  std::vector<Entry> taken;
  std::deque<Entry> left;
  std::size_t bytes = 0;
  bool isFull = false;
  for (auto& entry : mWaiting) {
    const auto size = entry.mWrite.mKey.size() + entry.mWrite.mValue.size();
    isFull = isFull || taken.size() >= mLimits.mMaxWrites ||
             (!taken.empty() && bytes + size > mLimits.mMaxBytes);
    if (isFull || mBusyRows.contains(entry.mWrite.mKey)) {
      left.push_back(std::move(entry));
      continue;
    }
    bytes += size;
    mBusyRows.insert(entry.mWrite.mKey);
    taken.push_back(std::move(entry));
  }
  mWaiting = std::move(left);
  return taken;
}

std::optional<ClaimBatch>
ClaimBatcher::Poll(Instant aNow)
{
  if (!IsDue(aNow)) {
    return std::nullopt;
  }
  ClaimBatch batch;
  batch.mNumber = ++mLastNumber;
  auto entries = TakeEntries();
  for (const auto& entry : entries) {
    batch.mWrites.push_back(entry.mWrite);
  }
  mInFlight.emplace(batch.mNumber, std::move(entries));
  return batch;
}

std::vector<CompletedWrite>
ClaimBatcher::OnCommitted(std::uint64_t aNumber,
                          const CallResult<CommitOutcome>& aOutcome)
{
  const auto it = mInFlight.find(aNumber);
  if (it == mInFlight.end()) {
    return {};
  }
  auto entries = std::move(it->second);
  mInFlight.erase(it);
  for (const auto& entry : entries) {
    mBusyRows.erase(entry.mWrite.mKey);
  }
  if (aOutcome && !aOutcome.value().mCommitted) {
    return SplitConflict(std::move(entries), aOutcome.value());
  }
  std::vector<CompletedWrite> completed;
  completed.reserve(entries.size());
  for (const auto& entry : entries) {
    completed.push_back({ entry.mTicket, aOutcome });
  }
  return completed;
}

std::vector<CompletedWrite>
ClaimBatcher::SplitConflict(std::vector<Entry> aEntries,
                            const CommitOutcome& aOutcome)
{
  std::map<std::string, TableRow> conflicts;
  for (const auto& row : aOutcome.mCurrent) {
    conflicts.emplace(row.mKey, row);
  }
  std::vector<CompletedWrite> completed;
  std::vector<Entry> retried;
  for (auto& entry : aEntries) {
    const auto it = conflicts.find(entry.mWrite.mKey);
    if (it != conflicts.end()) {
      completed.push_back(
        { entry.mTicket, CommitOutcome{ false, { it->second } } });
    } else {
      retried.push_back(std::move(entry));
    }
  }
  if (!completed.empty()) {
    mWaiting.insert(mWaiting.begin(),
                    std::make_move_iterator(retried.begin()),
                    std::make_move_iterator(retried.end()));
    return completed;
  }
  // The conflict names no row of the batch. Nothing was written, and retrying
  // the same batch could repeat without end.
  for (const auto& entry : retried) {
    completed.push_back(
      { entry.mTicket,
        FailCall(CallDisposition::NotRun,
                 ErrorCode::Conflict,
                 "the table reported a conflict but named no row of the "
                 "batch") });
  }
  return completed;
}

} // namespace bilberrytrail

#include "claim_table.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/orders/claim_sharing.h>
#include <bilberrytrail/platform/platform_json.h>

#include <span>

namespace bilberrytrail {

namespace {

// Time that a claim home gets to answer, less than its caller waits.
constexpr Duration kGatherTimeout = 900ms;

class ClaimTable final : public TableService
{
public:
  ClaimTable(ThreadContext& aThread,
             const ControlViewHolder& aViews,
             ClaimGatherer& aGatherer,
             std::uint32_t aMostHomes)
    : mThread(aThread)
    , mViews(aViews)
    , mGatherer(aGatherer)
    , mMostHomes(aMostHomes)
  {
  }

  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           Duration aTimeout) override
  {
    return mThread.Table().Read(aKey, aTimeout);
  }

  CallResult<std::vector<TableRow>> Scan(const std::string& aPrefix,
                                         std::size_t aLimit,
                                         Duration aTimeout) override
  {
    return mThread.Table().Scan(aPrefix, aLimit, aTimeout);
  }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration aTimeout) override
  {
    if (aWrites.size() != 1) {
      return mThread.Table().Commit(aWrites, aTimeout);
    }
    const TableWrite& write = aWrites.front();
    const auto view = mViews.Load();
    const auto slots = ClaimHomeCount(view->mHomes.size(), mMostHomes);
    const auto home = ClaimHomeOf(write.mKey, view->mHomes, slots);
    if (home == view->mSelf) {
      return mGatherer.Write(mThread.GetLoop(), write, aTimeout);
    }
    const auto* peer = view->FindMember(home);
    if (peer != nullptr) {
      auto reply = mThread.Peers().CallOnce(*peer,
                                            std::string(kClaimWriteMethod),
                                            { { "write", ToJson(write) } },
                                            aTimeout);
      if (reply) {
        return ReadClaimResult(reply.value());
      }
      if (reply.error().mFate != CallFate::NotRun) {
        return std::move(reply).error();
      }
    }
    return mThread.Table().Commit(aWrites, aTimeout);
  }

private:
  ThreadContext& mThread;
  const ControlViewHolder& mViews;
  ClaimGatherer& mGatherer;
  std::uint32_t mMostHomes;
};

} // namespace

DaemonId
ClaimHomeOf(std::string_view aRowKey,
            std::span<const HomeCandidate> aCandidates,
            std::uint32_t aSlots)
{
  const auto slot = StableHash64(aRowKey) % aSlots;
  return HomeOf("claim-home/" + std::to_string(slot), aCandidates);
}

std::unique_ptr<TableService>
MakeClaimTable(ThreadContext& aThread,
               const ControlViewHolder& aViews,
               ClaimGatherer& aGatherer,
               std::uint32_t aMostHomes)
{
  return std::make_unique<ClaimTable>(aThread, aViews, aGatherer, aMostHomes);
}

Result<Json>
ServeClaimWrite(Loop& aLoop, ClaimGatherer& aGatherer, const Json& aParams)
{
  JsonFields fields(aParams);
  auto write = ReadTableWrite(fields.Object("write"));
  if (!write) {
    return std::move(write).error();
  }
  return ToJson(
    aGatherer.Write(aLoop, std::move(write).value(), kGatherTimeout));
}

Json
ToJson(const CallResult<CommitOutcome>& aResult)
{
  if (aResult) {
    return { { "outcome", ToJson(aResult.value()) } };
  }
  const CallError& error = aResult.error();
  return { { "fate", ToName(error.mFate) },
           { "code", ToName(error.mError.mCode) },
           { "message", error.mError.mMessage } };
}

CallResult<CommitOutcome>
ReadClaimResult(const Json& aJson)
{
  JsonFields fields(aJson);
  if (fields.Has("outcome")) {
    auto outcome = ReadCommitOutcome(fields.Object("outcome"));
    if (!outcome) {
      return CallError{ CallFate::Unknown, std::move(outcome).error() };
    }
    return std::move(outcome).value();
  }
  const auto fate = FromName<CallFate>(fields.Text("fate"));
  const auto code = FromName<ErrorCode>(fields.Text("code"));
  auto message = fields.Text("message");
  if (!fate || !code) {
    return FailCall(CallFate::Unknown,
                    ErrorCode::Corrupt,
                    "unreadable answer of a claim home");
  }
  return FailCall(*fate, *code, std::move(message));
}

} // namespace bilberrytrail

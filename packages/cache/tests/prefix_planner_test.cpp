#include <bilberrytrail/cache/prefix_planner.h>

#include <doctest/doctest.h>

#include <unordered_set>

using namespace bilberrytrail;

namespace {

// One block takes 100 ms to compute and 10 ms to import over a free link.
constexpr std::uint32_t kTokensPerBlock = 2000;
constexpr double kPrefillTokensPerSecond = 20000;
constexpr std::uint64_t kBlockBytes = 1000000;
constexpr double kLinkBytesPerSecond = 1e8;

PlanCandidate
MakeCandidate(const char* aServer, Duration aWait, std::uint32_t aResident = 0)
{
  PlanCandidate candidate;
  candidate.mServer = ServerId(aServer);
  candidate.mQueueWait = aWait;
  candidate.mPrefillTokensPerSecond = kPrefillTokensPerSecond;
  candidate.mResidentBlocks = aResident;
  return candidate;
}

PlanRequest
MakeRequest(std::vector<PlanCandidate> aCandidates,
            std::uint32_t aStored = 0,
            std::uint64_t aBacklog = 0)
{
  PlanRequest request;
  request.mBlocks = 10;
  request.mTokensPerBlock = kTokensPerBlock;
  request.mCandidates = std::move(aCandidates);
  for (std::uint32_t n = 0; n < aStored; ++n) {
    const BlockRef ref{ BlockId(n), Generation(1), kBlockBytes, n };
    request.mCopies.push_back(
      { StoreCopy{ StoreId("t"), 1, ref, StoreTier::Memory } });
  }
  StoreLink link;
  link.mStore = StoreId("t");
  link.mBytesPerSecond = kLinkBytesPerSecond;
  link.mBacklogBytes = aBacklog;
  link.mDiskBytesPerSecond = kLinkBytesPerSecond / 5;
  request.mLinks.push_back(link);
  return request;
}

} // namespace

TEST_CASE("the plan with the least time to first token is chosen")
{
  struct Row
  {
    const char* mName;
    PlanRequest mRequest;
    const char* mServer;
    std::uint32_t mResident;
    std::size_t mImports;
    std::uint32_t mRecompute;
    Duration mTime;
  };
  const Row rows[] = {
    { "recompute",
      MakeRequest({ MakeCandidate("a", 50ms) }),
      "a",
      0,
      0,
      10,
      1050ms },
    { "holder with a short queue",
      MakeRequest({ MakeCandidate("a", 0ms), MakeCandidate("b", 200ms, 10) }),
      "b",
      10,
      0,
      0,
      200ms },
    { "holder with a long queue",
      MakeRequest({ MakeCandidate("a", 0ms), MakeCandidate("b", 2s, 10) }),
      "a",
      0,
      0,
      10,
      1s },
    { "import is faster than queueing or recomputing",
      MakeRequest({ MakeCandidate("a", 0ms), MakeCandidate("b", 2s, 10) }, 10),
      "a",
      0,
      10,
      0,
      100ms },
    { "import overlaps with the queue wait",
      MakeRequest({ MakeCandidate("a", 100ms) }, 10),
      "a",
      0,
      10,
      0,
      100ms },
    { "resident, import, recompute",
      MakeRequest({ MakeCandidate("a", 0ms, 3) }, 7),
      "a",
      3,
      4,
      3,
      340ms },
    { "busy link: the backlog costs more than computing",
      MakeRequest({ MakeCandidate("a", 0ms) }, 10, 200 * kBlockBytes),
      "a",
      0,
      0,
      10,
      1s },
    { "busy link: the backlog costs less than computing",
      MakeRequest({ MakeCandidate("a", 0ms) }, 10, 20 * kBlockBytes),
      "a",
      0,
      10,
      0,
      300ms },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto plan = LeastTimePlanner().Choose(row.mRequest);
    CHECK(plan.mServer == ServerId(row.mServer));
    CHECK(plan.mResidentBlocks == row.mResident);
    CHECK(plan.mImports.size() == row.mImports);
    CHECK(plan.mRecomputeBlocks == row.mRecompute);
    CHECK(plan.mTimeToFirstToken == row.mTime);
  }
}

TEST_CASE("imports are spread over two links and the disk tier limits the rate")
{
  auto request = MakeRequest({ MakeCandidate("a", 0ms) }, 10);
  auto link = request.mLinks.front();
  link.mStore = StoreId("u");
  request.mLinks.push_back(link);
  for (auto& copies : request.mCopies) {
    copies.push_back(copies.front());
    copies.back().mStore = StoreId("u");
  }
  CHECK(LeastTimePlanner().Choose(request).mTimeToFirstToken == 50ms);
  for (auto& copies : request.mCopies) {
    copies.resize(1);
    copies.front().mTier = StoreTier::Disk;
  }
  CHECK(LeastTimePlanner().Choose(request).mTimeToFirstToken == 500ms);
}

TEST_CASE("a request waits for pending blocks only when that is faster")
{
  struct Row
  {
    Duration mPendingWait;
    bool mWaits;
    const char* mServer;
  };
  const Row rows[] = { { 300ms, true, "a" }, { 3s, false, "b" } };
  for (const auto& row : rows) {
    auto busy = MakeCandidate("a", 0ms);
    busy.mPendingBlocks = 10;
    busy.mPendingWait = row.mPendingWait;
    const auto plan =
      LeastTimePlanner().Choose(MakeRequest({ busy, MakeCandidate("b", 0ms) }));
    CHECK(plan.mServer == ServerId(row.mServer));
    CHECK(plan.mWaitsForPending == row.mWaits);
  }
}

TEST_CASE("a doubtful holder is planned with the mean of hit and miss")
{
  auto doubtful = MakeCandidate("a", 0ms, 10);
  doubtful.mIsDoubtful = true;
  CHECK(LeastTimePlanner()
          .Choose(MakeRequest({ doubtful, MakeCandidate("b", 400ms, 10) }))
          .mServer == ServerId("b"));
  CHECK(LeastTimePlanner()
          .Choose(MakeRequest({ doubtful, MakeCandidate("b", 600ms, 10) }))
          .mServer == ServerId("a"));
}

TEST_CASE(
  "no candidate gives an empty server and an unknown rate is not preferred")
{
  CHECK(LeastTimePlanner().Choose(MakeRequest({})).mServer.IsEmpty());
  CHECK(RoundRobinPlanner().Choose(MakeRequest({})).mServer.IsEmpty());
  CHECK(LeastQueuePlanner().Choose(MakeRequest({})).mServer.IsEmpty());
  auto unknown = MakeCandidate("a", 0ms);
  unknown.mPrefillTokensPerSecond = 0;
  const auto plan =
    LeastTimePlanner().Choose(MakeRequest({ unknown, MakeCandidate("b", 5s) }));
  CHECK(plan.mServer == ServerId("b"));
}

TEST_CASE(
  "the baseline planners ignore resident blocks and imports when choosing")
{
  const auto request =
    MakeRequest({ MakeCandidate("a", 10ms), MakeCandidate("b", 20ms, 10) }, 10);
  RoundRobinPlanner roundRobin;
  CHECK(roundRobin.Choose(request).mServer == ServerId("a"));
  const auto second = roundRobin.Choose(request);
  CHECK(second.mServer == ServerId("b"));
  CHECK(second.mRecomputeBlocks == 10);
  CHECK(LeastQueuePlanner().Choose(request).mServer == ServerId("a"));
  CHECK(LeastQueuePlanner().Choose(request).mRecomputeBlocks == 10);
}

TEST_CASE(
  "candidates are the holders of the longest prefixes and random others")
{
  std::vector<ServerId> servers;
  servers.reserve(20);
  for (int n = 0; n < 20; ++n) {
    servers.emplace_back(std::string("s").append(std::to_string(n)));
  }
  const std::vector<ServerHolding> holders{
    { ServerId("s1"), 1, false },
    { ServerId("s2"), 5, false },
    { ServerId("s3"), 3, false },
    { ServerId("gone"), 9, false },
  };
  Random random(3);
  const auto picked = PickCandidates(holders, servers, 2, 3, random);
  REQUIRE(picked.size() == 5);
  CHECK(picked[0] == ServerId("s2"));
  CHECK(picked[1] == ServerId("s3"));
  const std::unordered_set<ServerId> distinct(picked.begin(), picked.end());
  CHECK(distinct.size() == picked.size());
  CHECK(PickCandidates(holders, servers, 2, 100, random).size() == 20);
}

TEST_CASE("the least time plan is never slower than a baseline plan")
{
  Random random(17);
  for (int n = 0; n < 2000; ++n) {
    std::vector<PlanCandidate> candidates;
    const auto count = 1 + random.Below(6);
    candidates.reserve(count);
    for (std::uint64_t k = 0; k < count; ++k) {
      const auto wait =
        Duration(static_cast<std::int64_t>(random.Below(3000000)));
      const auto resident = static_cast<std::uint32_t>(random.Below(11));
      candidates.push_back(MakeCandidate("s", wait, resident));
    }
    const auto request =
      MakeRequest(candidates,
                  static_cast<std::uint32_t>(random.Below(11)),
                  random.Below(100) * kBlockBytes);
    const auto plan = LeastTimePlanner().Choose(request);
    CHECK(plan.mTimeToFirstToken <=
          LeastQueuePlanner().Choose(request).mTimeToFirstToken);
    CHECK(plan.mTimeToFirstToken <=
          RoundRobinPlanner().Choose(request).mTimeToFirstToken);
    CHECK(plan.mResidentBlocks + plan.mImports.size() + plan.mRecomputeBlocks ==
          request.mBlocks);
  }
}

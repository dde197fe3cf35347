#include "health_watch.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ServerId kServer("e1");

class NullSink final : public FrameSink
{
public:
  [[nodiscard]] bool IsOpen() noexcept override { return true; }
  Result<void> Write(const HomeFrame& /*aFrame*/) override { return Ok(); }
};

HomedServerPtr
MakeServer()
{
  VmEntry vm;
  vm.mName = kServer.Text();
  return std::make_shared<HomedServer>(vm, MakeFairServerQueue({}));
}

// Counts what is reported of a server.
class CountingHealth final : public ServerHealth
{
public:
  struct Counts
  {
    int mSamples = 0;
    int mOverdue = 0;
    HealthSample mLast;
  };

  explicit CountingHealth(Counts& aCounts)
    : mCounts(aCounts)
  {
  }

  double Weight(const ServerId& /*aServer*/, Instant /*aNow*/) const override
  {
    return 1;
  }
  double Slowdown(const ServerId& /*aServer*/, Instant /*aNow*/) const override
  {
    return 1;
  }
  void AddSample(const ServerId& aServer,
                 const HealthSample& aSample,
                 Instant /*aNow*/) override
  {
    CHECK(aServer == kServer);
    ++mCounts.mSamples;
    mCounts.mLast = aSample;
  }
  void AddOverdue(const ServerId& /*aServer*/,
                  const HealthSample& aSample,
                  Instant /*aNow*/) override
  {
    ++mCounts.mOverdue;
    mCounts.mLast = aSample;
  }
  void AddReport(const ServerId& /*aServer*/,
                 const LoadReport& /*aReport*/,
                 Instant /*aNow*/) override
  {
  }
  bool TakeProbe(const ServerId& /*aServer*/, Instant /*aNow*/) override
  {
    return false;
  }
  void Forget(const ServerId& /*aServer*/) override {}

private:
  Counts& mCounts;
};

} // namespace

TEST_CASE("a server that answers late loses weight, a sound one does not")
{
  HealthWatch watch(MakeServerHealth(HealthSettings()));
  for (int n = 0; n < 5; ++n) {
    watch.AddSample(ServerId("slow"), { 100ms, 500ms });
    watch.AddSample(ServerId("sound"), { 100ms, 110ms });
  }
  CHECK(watch.Weight(ServerId("slow")) < 0.1);
  CHECK(watch.Weight(ServerId("sound")) == 1);
  watch.Forget(ServerId("slow"));
  CHECK(watch.Weight(ServerId("slow")) == 1);
}

TEST_CASE("what has not come is reported once for each multiple")
{
  CountingHealth::Counts counts;
  HealthWatch watch(std::make_unique<CountingHealth>(counts));
  const auto wait = watch.BeginWait(kServer, 1s);
  const auto now = MonotonicNow();
  struct Row
  {
    Duration mAfter;
    int mReports;
  };
  const Row rows[] = {
    { 900ms, 0 }, { 1900ms, 0 }, { 2100ms, 1 }, { 2200ms, 1 }, { 3100ms, 2 }
  };
  for (const auto& row : rows) {
    CAPTURE(row.mAfter.count());
    watch.Tick(now + row.mAfter);
    CHECK(counts.mOverdue == row.mReports);
  }
  watch.EndWait(wait);
  watch.Tick(now + 20s);
  CHECK(counts.mOverdue == 2);
}

TEST_CASE(
  "the first token of a long prompt and the tokens after it are sampled")
{
  CountingHealth::Counts counts;
  HealthWatch watch(std::make_unique<CountingHealth>(counts));
  NullSink end;
  HomeRequest request;
  request.mServer = kServer;
  HealthSink sink(watch, MakeServer(), request, end);
  sink.NoteSent();
  HomeFrame frame;
  frame.mKind = FrameKind::Head;
  frame.mHead.mPromptTokens = 16000;
  frame.mHead.mCachedTokens = 8000;
  REQUIRE(sink.Write(frame));
  CHECK(counts.mSamples == 0);
  frame.mKind = FrameKind::Chunk;
  REQUIRE(sink.Write(frame));
  CHECK(counts.mSamples == 1);
  // 8000 tokens had to be computed at 8000 tokens per second.
  CHECK(counts.mLast.mPredicted == 1s);
  for (int n = 0; n < 8; ++n) {
    REQUIRE(sink.Write(frame));
  }
  CHECK(counts.mSamples == 3);
  frame.mKind = FrameKind::End;
  REQUIRE(sink.Write(frame));
  watch.Tick(MonotonicNow() + 100s);
  CHECK(counts.mOverdue == 0);
}

TEST_CASE("a short prompt says nothing about the speed of prefill")
{
  CountingHealth::Counts counts;
  HealthWatch watch(std::make_unique<CountingHealth>(counts));
  NullSink end;
  HomeRequest request;
  request.mServer = kServer;
  HealthSink sink(watch, MakeServer(), request, end);
  sink.NoteSent();
  HomeFrame frame;
  frame.mKind = FrameKind::Head;
  frame.mHead.mPromptTokens = 4;
  REQUIRE(sink.Write(frame));
  frame.mKind = FrameKind::Chunk;
  REQUIRE(sink.Write(frame));
  CHECK(counts.mSamples == 0);
}

TEST_CASE("speeds are not learnt while a server is slow")
{
  const auto server = MakeServer();
  const double before = server->Speed().mDecodeTokensPerSecond;
  server->SetSound(false);
  server->LearnDecode(1s);
  server->LearnPrefill(10000, 100s);
  CHECK(server->Speed().mDecodeTokensPerSecond == before);
  server->SetSound(true);
  server->LearnDecode(1s);
  CHECK(server->Speed().mDecodeTokensPerSecond < before);
}

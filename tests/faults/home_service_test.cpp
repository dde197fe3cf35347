#include "home_service.h"
#include "prefix_import.h"
#include "site_seal.h"

#include <doctest/doctest.h>

namespace bilberrytrail {
namespace {

const ServerId kServer{ "engine-a" };

std::shared_ptr<const ControlView>
MakeView(const std::string& aHome, bool aLeaving)
{
  auto view = std::make_shared<ControlView>();
  view->mSelf = DaemonId("self");
  BackendView& server = view->mServers[kServer];
  server.mVm.mName = kServer.Text();
  server.mVm.mRole = VmRole::Service;
  server.mVm.mLeaving = aLeaving;
  server.mHome = DaemonId(aHome);
  return view;
}

bool
IsReady(HomeService& aHomes)
{
  EstimateQuery query;
  query.mServers = { kServer };
  const auto estimates = aHomes.Estimate(query);
  return estimates.size() == 1 && estimates.front().mReady;
}

// Joins the queue; true when a slot is granted at once.
bool
IsGranted(Loop& aLoop, HomedServer& aServer)
{
  const auto place = aServer.Queue().Join(aLoop, QueueEntry());
  const auto action = place->Next(Duration::zero());
  return action.has_value() && std::holds_alternative<GrantAction>(*action);
}

struct View
{
  const char* mHome;
  bool mLeaving;
  bool mIsReady;
};

TEST_CASE("a home takes work for its server again after each kind of flap")
{
  const std::vector<std::vector<View>> rows = {
    { { "self", false, true } },
    { { "self", true, false } },
    { { "self", true, false }, { "self", false, true } },
    { { "other", false, false }, { "self", false, true } },
    { { "other", false, false }, { "self", true, false } },
  };
  for (const auto& row : rows) {
    Loop loop;
    ControlViewHolder views;
    const DaemonSettings settings = DefaultDaemonSettings();
    HomeService homes(settings, views);
    views.Store(MakeView("self", false));
    const auto server = homes.Find(kServer);
    // A request runs all the while, so that the server is kept.
    auto running = server->Queue().Join(loop, QueueEntry());
    for (const auto& it : row) {
      views.Store(MakeView(it.mHome, it.mLeaving));
      homes.OnView(*views.Load());
      CAPTURE(it.mHome);
      CAPTURE(it.mLeaving);
      CHECK(IsReady(homes) == it.mIsReady);
      CHECK(IsGranted(loop, *server) == it.mIsReady);
    }
    homes.DrainAll();
    homes.OnView(*views.Load());
    CHECK_FALSE(IsReady(homes));
  }
}

TEST_CASE("only servers of this home that match are held for a choice")
{
  struct Row
  {
    const char* mHome;
    bool mMatches;
    std::size_t mHeld;
  };
  const Row rows[] = { { "self", true, 1 },
                       { "self", false, 0 },
                       { "other", true, 0 } };
  for (const auto& row : rows) {
    CAPTURE(row.mHome);
    CAPTURE(row.mMatches);
    ControlViewHolder views;
    const DaemonSettings settings = DefaultDaemonSettings();
    HomeService homes(settings, views);
    views.Store(MakeView(row.mHome, false));
    // Another daemon may have asked for it all the same.
    REQUIRE(homes.Find(kServer) != nullptr);
    const auto held = homes.EstimateHeld(
      EstimateQuery(), [&](const BackendView&) { return row.mMatches; });
    CHECK(held.size() == row.mHeld);
    if (!held.empty()) {
      CHECK(held.front().mServer == kServer);
      CHECK(held.front().TakesAtOnce());
      CHECK(held.front().mHasRoom);
    }
  }
}

// Keeps the last frame.
class LastFrame final : public FrameSink
{
public:
  [[nodiscard]] bool IsOpen() noexcept override { return true; }
  Result<void> Write(const HomeFrame& aFrame) override
  {
    mFrame = aFrame;
    return Ok();
  }

  HomeFrame mFrame;
};

TEST_CASE("a home sends a request back whose entry did not ask and must wait")
{
  struct Row
  {
    bool mIsUnasked;
    bool mIsFull;
    bool mIsSentBack;
  };
  const Row rows[] = { { true, true, true },
                       { true, false, false },
                       { false, false, false } };
  for (const auto& row : rows) {
    CAPTURE(row.mIsUnasked);
    CAPTURE(row.mIsFull);
    Loop loop;
    ControlViewHolder views;
    const DaemonSettings settings = DefaultDaemonSettings();
    HomeService homes(settings, views);
    views.Store(MakeView("self", false));
    SiteSeal seal("key", DaemonId("self"), 1s);
    // Nothing listens there: the call itself cannot run.
    ThreadContext thread(loop, seal, Endpoint());
    std::vector<std::unique_ptr<QueuePlace>> places;
    for (std::uint32_t n = 0; row.mIsFull && n < QueueSettings().mSlots; ++n) {
      QueueEntry entry;
      entry.mService = 1s;
      places.push_back(homes.Find(kServer)->Queue().Join(loop, entry));
    }
    HomeRequest request;
    request.mTarget = HomeTarget::Service;
    request.mServer = kServer;
    request.mTimeLeft = 10s;
    request.mIsUnasked = row.mIsUnasked;
    request.mCall.mMethod = "GET";
    request.mCall.mPath = "/";
    LastFrame sink;
    loop.Spawn([&] {
      homes.Run(thread, request, sink);
      loop.Stop();
    });
    loop.Run();
    CHECK(sink.mFrame.mKind == FrameKind::NotRun);
    CHECK(sink.mFrame.mIsSentBack == row.mIsSentBack);
    CHECK(sink.mFrame.mEstimate.has_value());
  }
}

TEST_CASE("a home tells of the prompts that its server computes")
{
  // Bytes of the prompt; the second one is shorter than a block.
  for (const std::size_t bytes : { std::size_t{ 0 }, std::size_t{ 1600 } }) {
    CAPTURE(bytes);
    Loop loop;
    ControlViewHolder views;
    const DaemonSettings settings = DefaultDaemonSettings();
    HomeService homes(settings, views);
    views.Store(MakeView("self", false));
    SiteSeal seal("key", DaemonId("self"), 1s);
    ThreadContext thread(loop, seal, Endpoint());
    HomeRequest request;
    request.mServer = kServer;
    request.mGenerate.mPrompt.assign(bytes, 'x');
    const auto server = homes.Find(kServer);
    loop.Spawn([&] {
      {
        PrefixImport import(thread, homes.Cache(), server, request);
        import.Await(MonotonicNow());
        const bool isTold = server->PrefillBacklog() > Duration::zero();
        CHECK(isTold == (bytes > 0));
        import.OnFirstToken();
        CHECK(server->PrefillBacklog() == Duration::zero());
      }
      loop.Stop();
    });
    loop.Run();
  }
}

TEST_CASE("a home holds the VM that is listed, not one that it replaced")
{
  ControlViewHolder views;
  const DaemonSettings settings = DefaultDaemonSettings();
  HomeService homes(settings, views);
  views.Store(MakeView("self", true));
  homes.OnView(*views.Load());
  // Held while it leaves, for a request or for its reports.
  const auto leaving = homes.Find(kServer);
  REQUIRE(leaving->Vm().mLeaving);
  SUBCASE("it came back")
  {
    views.Store(MakeView("self", false));
  }
  SUBCASE("another VM has its name")
  {
    auto view = std::make_shared<ControlView>(*MakeView("self", false));
    view->mServers[kServer].mVm.mEndpoint = { "10.0.0.9", 9 };
    views.Store(view);
  }
  homes.OnView(*views.Load());
  const auto held = homes.Find(kServer);
  CHECK(held->Vm() == views.Load()->mServers.at(kServer).mVm);
  CHECK(homes.Holds(*held));
  CHECK_FALSE(homes.Holds(*leaving));
  CHECK(IsReady(homes));
}

} // namespace
} // namespace bilberrytrail

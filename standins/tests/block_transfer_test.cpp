#include "engine/engine_server.h"
#include "engine/kv_content.h"
#include "store/store_server.h"

#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/runtime/http_server.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr BlockId kBlock(7);
constexpr std::uint32_t kBlockBytes = 16;
// KV cache of one block: four tokens of 16 bytes.
constexpr std::uint64_t kKvBytes = 64;

// An engine and a store, each behind its adapter.
struct Servers
{
  Endpoint mEngineEndpoint;
  Endpoint mStoreEndpoint;
  HttpClient& mClient;
  Engine& mEngine;
  Store& mStore;
};

template<class Body>
void
WithServers(Body aBody)
{
  Loop loop;
  EngineServer engineStandin(loop, EngineSettings());
  engineStandin.Preload(ModelId("m"), VersionId("v1"));
  StoreSettings storeSettings;
  storeSettings.mLimits.mMemoryBytes = kKvBytes;
  StoreServer storeStandin(loop, storeSettings);
  HttpServer engineServer(loop, HttpLimits());
  HttpServer storeServer(loop, HttpLimits());
  const auto enginePort = engineServer.Listen({ "127.0.0.1", 0 });
  const auto storePort = storeServer.Listen({ "127.0.0.1", 0 });
  REQUIRE(enginePort.has_value());
  REQUIRE(storePort.has_value());
  engineServer.Serve(engineStandin.Handler());
  storeServer.Serve(storeStandin.Handler());
  loop.Spawn([&] {
    HttpClient client(loop);
    const Endpoint engineEndpoint{ "127.0.0.1", enginePort.value() };
    const Endpoint storeEndpoint{ "127.0.0.1", storePort.value() };
    const auto engine = MakeHttpEngine(client, engineEndpoint);
    const auto store = MakeHttpStore(client, storeEndpoint);
    aBody(Servers{ engineEndpoint, storeEndpoint, client, *engine, *store });
    loop.Stop();
  });
  loop.Run();
}

// Runs one attempt to its end; returns the prompt tokens that were cached.
std::uint32_t
CachedTokens(Engine& aEngine, const std::string& aAttempt)
{
  GenerateRequest request;
  request.mAttempt = AttemptId(aAttempt);
  request.mModel = ModelId("m");
  request.mVersion = VersionId("v1");
  request.mPrompt = "sixteen bytes of sheet";
  request.mBlocks = { kBlock };
  request.mBlockBytes = kBlockBytes;
  const auto stream = aEngine.Generate(request, 5s);
  REQUIRE(stream.has_value());
  REQUIRE(stream.value()->Next(5s).value().mEnd);
  return stream.value()->Head().mCachedTokens;
}

void
Post(const Servers& aServers,
     const Endpoint& aTo,
     const std::string& aTarget,
     const std::string& aBody)
{
  const HttpRequest request{ "POST", aTarget, {}, aBody };
  REQUIRE(aServers.mClient.Call(aTo, request, 5s).value().mStatus == 200);
}

// Empties the engine's cache.
void
Evict(const Servers& aServers)
{
  Post(aServers, aServers.mEngineEndpoint, "/evict", R"({"keep":0})");
}

// Caches the block, exports it, seals it and empties the engine's cache.
BlockRef
Export(const Servers& aServers)
{
  CHECK(CachedTokens(aServers.mEngine, "export") == 0);
  const auto reserved = aServers.mStore.Reserve(kBlock, kKvBytes, 5s);
  REQUIRE(reserved.has_value());
  const auto written = aServers.mEngine.ExportBlocks(
    { aServers.mStoreEndpoint, VersionId("v1"), { reserved.value() } }, 5s);
  REQUIRE(written.has_value());
  REQUIRE(written.value().size() == 1);
  REQUIRE(aServers.mStore.Seal(written.value()[0], 5s));
  Evict(aServers);
  return written.value()[0];
}

std::vector<BlockRef>
Import(const Servers& aServers, const BlockRef& aRef)
{
  return aServers.mEngine
    .ImportBlocks({ aServers.mStoreEndpoint, VersionId("v1"), { aRef } }, 5s)
    .value();
}

} // namespace

TEST_CASE("an exported block comes back and is used")
{
  WithServers([](const Servers& aServers) {
    const auto ref = Export(aServers);
    CHECK(ref.mBytes == kKvBytes);
    CHECK(ref.mChecksum == KvChecksum(KvContent(kBlock, kKvBytes)));
    const auto inventory = aServers.mStore.ReadInventory(5s);
    REQUIRE(inventory.value().mBlocks.size() == 1);
    CHECK(inventory.value().mBlocks[0].mRef == ref);
    const auto pins = aServers.mStore.Pin({ ref }, 1s, 5s);
    REQUIRE(pins.value().size() == 1);
    CHECK(Import(aServers, ref) == std::vector<BlockRef>{ ref });
    REQUIRE(aServers.mStore.Unpin({ pins.value()[0].mPin }, 5s));
    CHECK(CachedTokens(aServers.mEngine, "use") == 4);
  });
}

TEST_CASE("a block that does not come back as it was is recomputed")
{
  struct Row
  {
    const char* mName;
    // Target and body of a POST to the store before the import.
    const char* mTarget;
    const char* mBody;
    // The engine read bytes from the store.
    bool mWasRead;
  };
  const Row rows[] = {
    { "bytes changed", "/fault", R"({"bytes":"corrupt"})", true },
    { "store down", "/fault", R"({"bytes":"down"})", false },
    { "store came back empty", "/restart", "{}", false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    WithServers([&row](const Servers& aServers) {
      const auto ref = Export(aServers);
      Post(aServers, aServers.mStoreEndpoint, row.mTarget, row.mBody);
      const auto seen = Import(aServers, ref);
      REQUIRE(seen.size() == (row.mWasRead ? 1 : 0));
      if (row.mWasRead) {
        CHECK(seen[0] != ref);
      }
      CHECK(CachedTokens(aServers.mEngine, "use") == 0);
    });
  }
}

TEST_CASE("a restarted store has a new incarnation and no blocks")
{
  WithServers([](const Servers& aServers) {
    static_cast<void>(Export(aServers));
    const auto before = aServers.mStore.ReadInventory(5s);
    Post(aServers, aServers.mStoreEndpoint, "/restart", "{}");
    const auto after = aServers.mStore.ReadInventory(5s);
    CHECK(after.value().mIncarnation != before.value().mIncarnation);
    CHECK(after.value().mBlocks.empty());
    CHECK(after.value().mMemoryFreeBytes == kKvBytes);
  });
}

TEST_CASE("a full store refuses to reserve, and freed space can be used")
{
  WithServers([](const Servers& aServers) {
    const auto ref = Export(aServers);
    const auto full = aServers.mStore.Reserve(BlockId(8), 1, 5s);
    REQUIRE_FALSE(full.has_value());
    CHECK(full.error().mDisposition == CallDisposition::NotRun);
    CHECK(full.error().mError.mCode == ErrorCode::Exhausted);
    REQUIRE(aServers.mStore.Free(ref, 5s));
    CHECK(Import(aServers, ref).empty());
    CHECK(aServers.mStore.Reserve(BlockId(8), kKvBytes, 5s).has_value());
  });
}

#include "site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>

namespace bilberrytrail {

namespace {

constexpr std::size_t kPromptBytes = 65536;

std::string
LongPrompt(const std::string& aLead)
{
  std::string prompt = aLead;
  while (prompt.size() < kPromptBytes) {
    prompt += "Trim the wick to the length of the sheet, then braid it. ";
  }
  return prompt;
}

std::uint64_t
Number(Site& aSite, const Endpoint& aEndpoint, const std::string& aKey)
{
  const auto stats = aSite.Call(aEndpoint, { "GET", "/stats", {}, {} });
  const std::string quoted = "\"" + aKey + "\":";
  const auto at = stats.mBody.find(quoted);
  return at == std::string::npos
           ? 0
           : std::strtoull(
               stats.mBody.c_str() + at + quoted.size(), nullptr, 10);
}

// Adds up one count of all processes.
std::uint64_t
Sum(Site& aSite,
    const std::vector<SiteProcess>& aProcesses,
    const std::string& aKey)
{
  std::uint64_t sum = 0;
  for (const auto& it : aProcesses) {
    sum += Number(aSite, it.mEndpoint, aKey);
  }
  return sum;
}

StreamedAnswer
Send(Site& aSite, const std::string& aPrompt)
{
  return StreamCompletion(aSite.Daemons()[1].mCallers,
                          "token-large",
                          R"({"model":"guide","stream":true,"max_tokens":8,)"
                          R"("prompt":")" +
                            aPrompt + "\"}");
}

// Returns how many blocks the homes know as resident, over all engines.
std::uint64_t
KnownResident(Site& aSite)
{
  const auto status = aSite.Operate(0, "GET", "/operator/status");
  const auto json = ParseJson(status.mBody);
  REQUIRE(json);
  std::uint64_t blocks = 0;
  for (const auto& it : json.value()["servers"]) {
    blocks += it.value("resident_blocks", 0ULL);
  }
  return blocks;
}

// Evicts all blocks; the homes learn of it from cache events, which come late
// or get lost.
void
EvictUnseen(Site& aSite)
{
  for (const auto& engine : aSite.Engines()) {
    const auto reply =
      aSite.Call(engine.mEndpoint, { "POST", "/evict", {}, R"({"keep":0})" });
    REQUIRE(reply.mStatus == 200);
  }
}

// Evicts all blocks, and waits until the homes know.
void
EvictAll(Site& aSite)
{
  EvictUnseen(aSite);
  REQUIRE(aSite.Await(20s, [&] { return KnownResident(aSite) == 0; }));
}

// A site whose release is in force everywhere.
void
StartSite(Site& aSite)
{
  aSite.Start();
  const Json note = {
    { "product", "brotlag" },
    { "against", 0 },
    { "id", "first" },
    { "note", SampleNote("brotlag", 0, "v1", aSite.Engines().size()) }
  };
  const auto applied =
    aSite.Operate(0, "POST", "/operator/release/apply", note.dump());
  INFO(applied.mBody);
  REQUIRE(applied.mStatus / 100 == 2);
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    REQUIRE(aSite.AwaitRelease(n, 1, 20s));
  }
}

// Sends the prompt and waits until all of its blocks are in a store.
StreamedAnswer
SendAndKeep(Site& aSite, const std::string& aPrompt)
{
  auto answer = Send(aSite, aPrompt);
  REQUIRE(answer.mDone);
  const std::uint64_t blocks = kPromptBytes / 8192;
  REQUIRE(aSite.Await(
    20s, [&] { return Sum(aSite, aSite.Stores(), "writes") >= blocks; }));
  // The last seal and the directory's update follow the last write.
  (void)aSite.Await(500ms, [] { return false; });
  return answer;
}

void
FaultStores(Site& aSite, const std::string& aJson)
{
  for (const auto& store : aSite.Stores()) {
    aSite.SetFault(store.mEndpoint, aJson);
  }
}

} // namespace

TEST_CASE("A prompt that returns after eviction is imported from its store")
{
  Site site(SiteShape{});
  StartSite(site);
  const auto prompt = LongPrompt("imported ");
  const auto first = SendAndKeep(site, prompt);
  const auto computed = Sum(site, site.Engines(), "recomputed_tokens");
  EvictAll(site);
  const auto second = Send(site, prompt);
  CHECK(second.mDone);
  CHECK(second.mText == first.mText);
  CHECK(Sum(site, site.Engines(), "imported_tokens") >=
        kPromptBytes / 4 - 2048);
  const auto recomputed =
    Sum(site, site.Engines(), "recomputed_tokens") - computed;
  CHECK(recomputed <= kPromptBytes / 4 / 10);
  CHECK(Sum(site, site.Engines(), "wrong_blocks_used") == 0);
}

TEST_CASE("Another account's equal prompt imports nothing")
{
  Site site(SiteShape{});
  StartSite(site);
  const auto prompt = LongPrompt("private ");
  (void)SendAndKeep(site, prompt);
  EvictAll(site);
  const auto computed = Sum(site, site.Engines(), "recomputed_tokens");
  const auto other =
    StreamCompletion(site.Daemons()[1].mCallers,
                     "token-small",
                     R"({"model":"guide","stream":true,"max_tokens":8,)"
                     R"("prompt":")" +
                       prompt + "\"}");
  CHECK(other.mDone);
  CHECK(Sum(site, site.Engines(), "imported_tokens") == 0);
  CHECK(Sum(site, site.Engines(), "recomputed_tokens") - computed >=
        kPromptBytes / 4);
}

TEST_CASE("Every fault of a store ends in a recompute and a whole answer")
{
  struct Row
  {
    const char* mName;
    std::function<void(Site&)> mFault;
  };
  const std::vector<Row> rows{
    { "store down",
      [](Site& aSite) {
        FaultStores(aSite, R"({"calls":"down","bytes":"down"})");
      } },
    { "pins refused",
      [](Site& aSite) { FaultStores(aSite, R"({"calls":"refuse"})"); } },
    { "pin replies lost",
      [](Site& aSite) { FaultStores(aSite, R"({"calls":"lose_replies"})"); } },
    { "reads cut",
      [](Site& aSite) { FaultStores(aSite, R"({"bytes":"down"})"); } },
    { "corrupt bytes",
      [](Site& aSite) { FaultStores(aSite, R"({"bytes":"corrupt"})"); } },
    { "restarted empty",
      [](Site& aSite) {
        for (const auto& store : aSite.Stores()) {
          (void)aSite.Call(store.mEndpoint, { "POST", "/restart", {}, "{}" });
        }
      } },
  };
  Site site(SiteShape{});
  StartSite(site);
  std::uint64_t kept = 0;
  for (const auto& row : rows) {
    const std::string name = row.mName;
    CAPTURE(name);
    const auto prompt = LongPrompt(name + " ");
    const auto first = Send(site, prompt);
    REQUIRE(first.mDone);
    kept += kPromptBytes / 8192;
    REQUIRE(site.Await(
      20s, [&] { return Sum(site, site.Stores(), "writes") >= kept; }));
    (void)site.Await(500ms, [] { return false; });
    EvictAll(site);
    const auto computed = Sum(site, site.Engines(), "recomputed_tokens");
    row.mFault(site);
    const auto second = Send(site, prompt);
    FaultStores(site, R"({"calls":"up","bytes":"up"})");
    CHECK(second.mDone);
    CHECK(second.mText == first.mText);
    CHECK(Sum(site, site.Engines(), "recomputed_tokens") - computed >=
          kPromptBytes / 4 - 2048);
    CHECK(Sum(site, site.Engines(), "wrong_blocks_used") == 0);
  }
}

TEST_CASE("A full store keeps nothing and answers stay whole")
{
  Site site(SiteShape{});
  StartSite(site);
  FaultStores(site, R"({"calls":"full"})");
  const auto prompt = LongPrompt("full ");
  const auto first = Send(site, prompt);
  REQUIRE(first.mDone);
  EvictAll(site);
  const auto second = Send(site, prompt);
  CHECK(second.mDone);
  CHECK(second.mText == first.mText);
  CHECK(Sum(site, site.Stores(), "writes") == 0);
  // Nobody looks for blocks in a store that could not keep them.
  CHECK(Sum(site, site.Stores(), "pins_asked") == 0);
  CHECK(Sum(site, site.Engines(), "imported_tokens") == 0);
}

TEST_CASE("A slow link delays an answer but never changes it")
{
  SiteShape shape;
  // A block takes about a quarter of a second; computing it a tenth.
  shape.mStoreOptions = { "--link-bytes-per-s=131072" };
  Site site(shape);
  StartSite(site);
  const auto prompt = LongPrompt("slow ");
  const auto first = SendAndKeep(site, prompt);
  EvictAll(site);
  const auto second = Send(site, prompt);
  CHECK(second.mDone);
  CHECK(second.mText == first.mText);
  CHECK(Sum(site, site.Engines(), "wrong_blocks_used") == 0);
}

TEST_CASE(
  "An engine that lost its cache without an event recomputes or imports")
{
  SiteShape shape;
  // Every second event is lost.
  shape.mEngineOptions = { "--event-gap-every=2" };
  Site site(shape);
  StartSite(site);
  const auto prompt = LongPrompt("silent ");
  const auto first = SendAndKeep(site, prompt);
  for (int n = 0; n < 3; ++n) {
    // The homes see later events and find that some are missing.
    if (n == 0) {
      EvictUnseen(site);
    } else {
      EvictAll(site);
    }
    const auto again = Send(site, prompt);
    CHECK(again.mDone);
    CHECK(again.mText == first.mText);
  }
  CHECK(Sum(site, site.Engines(), "wrong_blocks_used") == 0);
  // A gap makes doubtful what was lost: it is imported.
  CHECK(Sum(site, site.Engines(), "imported_tokens") > 0);
}

} // namespace bilberrytrail

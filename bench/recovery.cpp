// Times of recovery at the default settings, on real processes: a home is
// killed, or a daemon is frozen while releases are accepted. Prints the worst
// of some repeats beside each stated bound.

#include "report.h"
#include "site.h"

#include <bilberrytrail/membership/gossip.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <vector>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr int kRepeats = 3;
constexpr std::size_t kDaemons = 3;
constexpr Duration kPatience = 60s;
// What the project states for its users: a release is in force everywhere,
// and a server that has gone gets no new work.
constexpr Duration kReleaseBound = 6s;
constexpr Duration kLeavingBound = 3s;
constexpr int kReleases = 3;
// Prompts that are kept, each of two blocks.
constexpr int kPrompts = 6;
constexpr std::size_t kPromptBytes = 16384;
constexpr std::uint64_t kBlocksPerPrompt = 2;
// Share of a round's tokens that may be recomputed when all is imported.
constexpr double kRecomputedShare = 0.1;
constexpr double kBytesPerToken = 4;
// The last seal and the directory's update follow the last write.
constexpr Duration kSettleTime = 500ms;

[[noreturn]] void
GiveUp(const char* aText)
{
  std::fprintf(stderr, "recovery: %s\n", aText);
  std::exit(EXIT_FAILURE);
}

std::string
Apply(Site& aSite, int aAgainst)
{
  const std::string number = std::to_string(aAgainst + 1);
  const Json note = {
    { "product", "brotlag" },
    { "against", aAgainst },
    { "id", "note-" + number },
    { "note",
      SampleNote("brotlag", aAgainst, "v" + number, aSite.Engines().size()) }
  };
  const auto applied =
    aSite.Operate(0, "POST", "/operator/release/apply", note.dump());
  return applied.mStatus == 200 ? "" : applied.mBody;
}

void
StartSite(Site& aSite)
{
  aSite.Start();
  if (const auto fault = Apply(aSite, 0); !fault.empty()) {
    GiveUp(fault.c_str());
  }
  for (std::size_t n = 0; n < kDaemons; ++n) {
    if (!aSite.AwaitRelease(n, 1, kPatience)) {
      GiveUp("no release");
    }
  }
}

// Returns the name of the home of each server, as the daemon sees it.
std::vector<std::pair<std::string, std::string>>
Homes(Site& aSite, std::size_t aAsked)
{
  std::vector<std::pair<std::string, std::string>> homes;
  const auto status =
    ParseJson(aSite.Operate(aAsked, "GET", "/operator/status").mBody);
  if (status) {
    for (const auto& it : status.value().value("servers", Json::array())) {
      const std::string home = it.value("home", "");
      homes.emplace_back(it.value("name", ""), home.substr(0, home.find('~')));
    }
  }
  return homes;
}

std::size_t
HomeOf(Site& aSite, const std::string& aServer)
{
  for (const auto& [server, home] : Homes(aSite, 0)) {
    for (std::size_t n = 0; n < kDaemons; ++n) {
      if (server == aServer && aSite.Daemons()[n].mName == home) {
        return n;
      }
    }
  }
  GiveUp("a server has no home");
}

bool
Book(Site& aSite, std::size_t aDaemon, const std::string& aName)
{
  const auto answer =
    aSite.Call(aSite.Daemons()[aDaemon].mCallers,
               { "POST",
                 "/v1/products/brotlag/services/orders/book",
                 { { "Authorization", "Bearer token-large" },
                   { "Content-Type", "application/json" },
                   { "Idempotency-Key", aName } },
                 Json{ { "order", aName }, { "slot", "monday" } }.dump() });
  return answer.mStatus / 100 == 2;
}

std::uint64_t
Sum(Site& aSite, const std::vector<SiteProcess>& aProcesses, const char* aName)
{
  std::uint64_t sum = 0;
  for (const auto& it : aProcesses) {
    const auto stats =
      ParseJson(aSite.Call(it.mEndpoint, { "GET", "/stats", {}, {} }).mBody);
    sum += stats ? stats.value().value(aName, std::uint64_t{ 0 }) : 0;
  }
  return sum;
}

// Sends all kept prompts through the daemon.
bool
SendPrompts(Site& aSite, std::size_t aDaemon)
{
  bool isWhole = true;
  for (int n = 0; n < kPrompts; ++n) {
    std::string prompt = "kept " + std::to_string(n) + " ";
    prompt.resize(kPromptBytes, 'x');
    const Json body = { { "model", "guide" },
                        { "stream", true },
                        { "max_tokens", 4 },
                        { "prompt", prompt } };
    const auto answer = StreamCompletion(
      aSite.Daemons()[aDaemon].mCallers, "token-large", body.dump());
    isWhole = isWhole && answer.mDone;
  }
  return isWhole;
}

// Empties the engines' caches and sends the prompts again; true when they were
// imported.
bool
IsImported(Site& aSite, std::size_t aDaemon)
{
  for (const auto& engine : aSite.Engines()) {
    (void)aSite.Call(engine.mEndpoint,
                     { "POST", "/evict", {}, R"({"keep":0})" });
  }
  const auto before = Sum(aSite, aSite.Engines(), "recomputed_tokens");
  const bool isWhole = SendPrompts(aSite, aDaemon);
  const auto recomputed =
    Sum(aSite, aSite.Engines(), "recomputed_tokens") - before;
  constexpr double kTokens = kPrompts * kPromptBytes / kBytesPerToken;
  return isWhole &&
         static_cast<double>(recomputed) <= kTokens * kRecomputedShare;
}

struct Times
{
  Duration mRehomed{};
  Duration mClaims{};
  Duration mDirectory{};
  Duration mRelease{};
};

// Kills the home of the order server, which also holds a part of the prompt
// directory.
void
MeasureDeath(Site& aSite, Times& aTimes)
{
  if (!SendPrompts(aSite, 0) || !aSite.Await(kPatience, [&] {
        return Sum(aSite, aSite.Stores(), "writes") >=
               kPrompts * kBlocksPerPrompt;
      })) {
    GiveUp("the prompts were not kept");
  }
  (void)aSite.Await(kSettleTime, [] { return false; });
  if (!aSite.Await(kPatience, [&] { return IsImported(aSite, 0); })) {
    GiveUp("the prompts were not imported");
  }
  const std::size_t home = HomeOf(aSite, "orders-1");
  const std::size_t asked = (home + 1) % kDaemons;
  const auto killedAt = MonotonicNow();
  aSite.Daemons()[home].mProcess->Signal(SIGKILL);
  const bool isRehomed = aSite.Await(kPatience, [&] {
    const auto homes = Homes(aSite, asked);
    return !homes.empty() &&
           std::none_of(homes.begin(), homes.end(), [&](const auto& aPair) {
             return aPair.second == aSite.Daemons()[home].mName;
           });
  });
  aTimes.mRehomed = MonotonicNow() - killedAt;
  int n = 0;
  const bool isServed = aSite.Await(kPatience, [&] {
    return Book(aSite, asked, "after-" + std::to_string(++n));
  });
  aTimes.mClaims = MonotonicNow() - killedAt;
  const bool isRebuilt =
    aSite.Await(kPatience, [&] { return IsImported(aSite, asked); });
  aTimes.mDirectory = MonotonicNow() - killedAt;
  if (!isRehomed || !isServed || !isRebuilt) {
    GiveUp(!isRehomed  ? "no new home"
           : !isServed ? "claims are not served again"
                       : "the directory was not rebuilt");
  }
}

// Accepts releases while a daemon is frozen.
void
MeasureRelease(Site& aSite, Times& aTimes)
{
  constexpr std::size_t kFrozen = kDaemons - 1;
  aSite.Daemons()[kFrozen].mProcess->Signal(SIGSTOP);
  for (int n = 1; n <= kReleases; ++n) {
    if (const auto fault = Apply(aSite, n); !fault.empty()) {
      GiveUp(fault.c_str());
    }
  }
  const auto wokenAt = MonotonicNow();
  aSite.Daemons()[kFrozen].mProcess->Signal(SIGCONT);
  if (!aSite.AwaitRelease(kFrozen, kReleases + 1, kPatience)) {
    GiveUp("the release was not caught up");
  }
  aTimes.mRelease = MonotonicNow() - wokenAt;
}

void
PrintRow(const std::string& aMeasure,
         const std::vector<Times>& aRuns,
         Duration Times::*aTime,
         Duration aBound)
{
  std::string all;
  Duration worst{};
  for (const auto& it : aRuns) {
    worst = std::max(worst, it.*aTime);
    all += (all.empty() ? "" : ", ") + Format(ToMillis(it.*aTime), 0);
  }
  Print({ aMeasure,
          "both",
          all + " ms",
          "<= " + Format(ToMillis(aBound), 0, " ms"),
          AtMost(ToMillis(worst), ToMillis(aBound)) });
}

} // namespace

int
main()
{
  GossipSettings gossip;
  gossip.mPeriod = DefaultDaemonSettings().mGossipPeriod;
  const Duration death = DeathDetectionBound(gossip, kDaemons);
  std::vector<Times> runs;
  for (int n = 0; n < kRepeats; ++n) {
    runs.emplace_back();
    {
      Site site(SiteShape{});
      StartSite(site);
      MeasureRelease(site, runs.back());
    }
    Site site(SiteShape{});
    StartSite(site);
    MeasureDeath(site, runs.back());
  }
  PrintRow("home re-homed after its death", runs, &Times::mRehomed, death);
  PrintRow("claims served again after a home's death",
           runs,
           &Times::mClaims,
           death + kLeavingBound);
  PrintRow("prompts imported again after a home's death, each sent again",
           runs,
           &Times::mDirectory,
           death + kLeavingBound);
  PrintRow("release caught up by a daemon that was frozen",
           runs,
           &Times::mRelease,
           kReleaseBound);
  return EXIT_SUCCESS;
}

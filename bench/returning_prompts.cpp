// Measures returning prompts with kept KV cache against a run without: time
// to the first token, prompt tokens recomputed, use of the stores' links and
// of the imported bytes. Real processes on the loopback address with stand-in
// engines and stores; the scale is printed.
//
//   returning_prompts [ENGINES ZONES]

#include "site.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace {

using namespace bilberrytrail;

// Scale: the link delivers a block in a tenth of its prefill time.
constexpr std::uint64_t kBlockBytes = 8192;
constexpr std::uint64_t kTokensPerBlock = kBlockBytes / 4;
constexpr std::uint64_t kKvBytesPerToken = 16;
constexpr double kPrefillTokensPerSecond = 20000;
constexpr std::uint64_t kLinkBytesPerSecond = 3200000;
constexpr std::size_t kCacheBlocks = 24;
constexpr std::size_t kAccounts = 10;
constexpr std::size_t kLargeAccounts = 3;
constexpr std::size_t kPromptsOfLarge = 8;
constexpr std::size_t kPromptsOfSmall = 2;
constexpr std::size_t kLoops = 3;
constexpr std::size_t kCallers = 4;
constexpr Duration kPause = 40ms;
constexpr Duration kSample = 250ms;
constexpr std::uint64_t kSeed = 20261;

// Targets.
constexpr double kMaxRatio = 0.35;
constexpr Duration kMaxP95 = 1800ms;
constexpr double kMaxRecomputed = 0.10;
constexpr double kMinUsed = 0.95;

struct Prompt
{
  std::string mToken;
  std::string mText;
};

struct Figures
{
  std::vector<Duration> mFirstTokens;
  std::size_t mFailed = 0;
  double mPromptTokens = 0;
  double mRecomputedTokens = 0;
  double mImportedBytes = 0;
  double mReadBytes = 0;
  // Highest use of one store's link over one sample, as a share of its rate.
  double mPeakLinkUse = 0;
};

std::string
TokenOf(std::size_t aAccount)
{
  return "token-account-" + std::to_string(aAccount);
}

std::vector<Prompt>
MakePrompts()
{
  Random random(kSeed);
  std::vector<Prompt> prompts;
  for (std::size_t n = 0; n < kAccounts; ++n) {
    const auto count = n < kLargeAccounts ? kPromptsOfLarge : kPromptsOfSmall;
    for (std::size_t m = 0; m < count; ++m) {
      // 6 to 10 blocks of about two thousand tokens.
      const std::uint64_t bytes = kBlockBytes * (6 + random.Below(5)) + 400;
      std::string text =
        "account " + std::to_string(n) + " sheet " + std::to_string(m) + " ";
      while (text.size() < bytes) {
        text += "line " + std::to_string(random.Below(100000)) + " ";
      }
      text.resize(bytes);
      prompts.push_back({ TokenOf(n), std::move(text) });
    }
  }
  return prompts;
}

std::string
Note(std::size_t aEngines)
{
  std::string note = "[release]\nproduct = brotlag\nagainst = 0\n";
  for (std::size_t n = 0; n < kAccounts; ++n) {
    note += "[add account account-" + std::to_string(n) +
            "]\ntoken_sha256 = " + Sha256Hex(TokenOf(n)) +
            "\nrequests_per_second = 1000\ntokens_per_second = 100000000\n"
            "concurrent = 1000\n";
  }
  const auto servers = std::to_string(aEngines);
  return note + "[add model guide]\nversion = v1\nmin_servers = " + servers +
         "\nmax_servers = " + servers + "\nrole = serve\n";
}

double
Count(Site& aSite, const SiteProcess& aProcess, const std::string& aKey)
{
  const auto stats =
    aSite.Call(aProcess.mEndpoint, { "GET", "/stats", {}, {} });
  const auto json = ParseJson(stats.mBody);
  return json ? json.value().value(aKey, 0.0) : 0;
}

double
Sum(Site& aSite,
    const std::vector<SiteProcess>& aProcesses,
    const std::string& aKey)
{
  double sum = 0;
  for (const auto& it : aProcesses) {
    sum += Count(aSite, it, aKey);
  }
  return sum;
}

void
Apply(Site& aSite)
{
  const Json body = { { "product", "brotlag" },
                      { "against", 0 },
                      { "id", "first" },
                      { "note", Note(aSite.Engines().size()) } };
  const auto reply =
    aSite.Operate(0, "POST", "/operator/release/apply", body.dump());
  if (reply.mStatus != 200) {
    std::fprintf(stderr, "release refused: %s\n", reply.mBody.c_str());
    std::exit(EXIT_FAILURE);
  }
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    if (!aSite.AwaitRelease(n, 1, 20s)) {
      std::fprintf(stderr, "the release is not in force\n");
      std::exit(EXIT_FAILURE);
    }
  }
}

// Watches the bytes that the stores move.
class LinkWatch
{
public:
  explicit LinkWatch(Site& aSite)
    : mSite(aSite)
    , mThread([this] { Run(); })
  {
  }

  double Stop()
  {
    mStop = true;
    mThread.join();
    return mPeak;
  }

private:
  void Run()
  {
    std::vector<double> last(mSite.Stores().size(), -1);
    std::vector<Instant> at(mSite.Stores().size());
    while (!mStop) {
      std::this_thread::sleep_for(kSample);
      for (std::size_t n = 0; n < last.size(); ++n) {
        const auto& store = mSite.Stores()[n];
        const double moved = Count(mSite, store, "read_bytes") +
                             Count(mSite, store, "written_bytes");
        const auto now = MonotonicNow();
        const double seconds =
          std::chrono::duration<double>(now - at[n]).count();
        if (last[n] >= 0) {
          mPeak =
            std::max(mPeak, (moved - last[n]) / seconds / kLinkBytesPerSecond);
        }
        last[n] = moved;
        at[n] = now;
      }
    }
  }

  Site& mSite;
  std::atomic<bool> mStop = false;
  double mPeak = 0;
  std::thread mThread;
};

// Sends every prompt once, in an order drawn anew for each loop.
void
SendAll(Site& aSite, const std::vector<Prompt>& aPrompts, Figures* aFigures)
{
  static std::uint64_t seed = kSeed;
  Random random(++seed);
  std::vector<std::size_t> order(aPrompts.size());
  for (std::size_t n = 0; n < order.size(); ++n) {
    order[n] = n;
    std::swap(order[n], order[random.Below(n + 1)]);
  }
  std::atomic<std::size_t> next = 0;
  std::mutex mutex;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (auto n = next++; n < order.size(); n = next++) {
        const Prompt& prompt = aPrompts[order[n]];
        const Json body = { { "model", "guide" },
                            { "stream", true },
                            { "max_tokens", 4 },
                            { "prompt", prompt.mText } };
        const auto& daemon = aSite.Daemons()[caller % aSite.Daemons().size()];
        const auto answer =
          StreamCompletion(daemon.mCallers, prompt.mToken, body.dump());
        const std::lock_guard lock(mutex);
        if (aFigures != nullptr) {
          aFigures->mFailed += answer.mDone ? 0 : 1;
          aFigures->mFirstTokens.push_back(answer.mFirstToken);
          aFigures->mPromptTokens +=
            static_cast<double>(prompt.mText.size()) / 4;
        }
        std::this_thread::sleep_for(kPause);
      }
    });
  }
  for (auto& it : callers) {
    it.join();
  }
}

Figures
Measure(std::size_t aEngines,
        std::size_t aZones,
        bool aKept,
        const std::vector<Prompt>& aPrompts)
{
  SiteShape shape;
  shape.mDaemons = 3;
  shape.mEngines = aEngines;
  shape.mZones = aZones;
  shape.mOrderServers = 0;
  shape.mEngineOptions = {
    "--cache-blocks=" + std::to_string(kCacheBlocks),
    "--kv-bytes-per-token=" + std::to_string(kKvBytesPerToken),
    "--prefill-tokens-per-s=" + std::to_string(kPrefillTokensPerSecond),
    "--load-ms=200"
  };
  shape.mStoreOptions = { "--link-bytes-per-s=" +
                          std::to_string(kLinkBytesPerSecond) };
  shape.mSettings["cache"] =
    std::string("enabled = ") + (aKept ? "1" : "0") +
    "\nlink_bytes_per_second = " + std::to_string(kLinkBytesPerSecond) + "B\n";
  Site site(shape);
  site.Start();
  Apply(site);
  SendAll(site, aPrompts, nullptr);
  std::this_thread::sleep_for(3s);
  Figures figures;
  const auto recomputed = Sum(site, site.Engines(), "recomputed_tokens");
  const auto imported = Sum(site, site.Engines(), "imported_tokens");
  const auto read = Sum(site, site.Stores(), "read_bytes");
  LinkWatch watch(site);
  for (std::size_t n = 0; n < kLoops; ++n) {
    SendAll(site, aPrompts, &figures);
    // What is resident is evicted, so that each loop meets evicted prompts.
    for (const auto& engine : site.Engines()) {
      (void)site.Call(engine.mEndpoint,
                      { "POST", "/evict", {}, R"({"keep":0})" });
    }
    std::this_thread::sleep_for(200ms);
  }
  figures.mPeakLinkUse = watch.Stop();
  figures.mRecomputedTokens =
    Sum(site, site.Engines(), "recomputed_tokens") - recomputed;
  figures.mImportedBytes =
    (Sum(site, site.Engines(), "imported_tokens") - imported) *
    kKvBytesPerToken;
  figures.mReadBytes = Sum(site, site.Stores(), "read_bytes") - read;
  return figures;
}

Duration
Percentile(std::vector<Duration> aTimes, double aShare)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto n =
    static_cast<std::size_t>(aShare * static_cast<double>(aTimes.size() - 1));
  return aTimes.empty() ? Duration() : aTimes[n];
}

void
Print(const char* aLabel, const Figures& aFigures)
{
  std::printf("%-16s first token p50 %7.1f ms, p95 %7.1f ms; recomputed %5.1f "
              "%% of prompt tokens; %zu answers, %zu failed\n",
              aLabel,
              ToMillis(Percentile(aFigures.mFirstTokens, 0.5)),
              ToMillis(Percentile(aFigures.mFirstTokens, 0.95)),
              100 * aFigures.mRecomputedTokens / aFigures.mPromptTokens,
              aFigures.mFirstTokens.size(),
              aFigures.mFailed);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool isShaped = aCount == 3;
  const std::size_t engines =
    isShaped ? std::strtoul(aArguments[1], nullptr, 10) : 4;
  const std::size_t zones =
    isShaped ? std::strtoul(aArguments[2], nullptr, 10) : 3;
  const auto prompts = MakePrompts();
  std::printf("%zu engines with stores in %zu zones, 3 daemons; %zu prompts of "
              "%zu accounts, sent %zu times by %zu callers; scale: %zu blocks "
              "of cache, %.0f prefill tokens/s, %llu KV bytes/token, link "
              "%llu bytes/s\n",
              engines,
              zones,
              prompts.size(),
              kAccounts,
              kLoops,
              kCallers,
              kCacheBlocks,
              kPrefillTokensPerSecond,
              static_cast<unsigned long long>(kKvBytesPerToken),
              static_cast<unsigned long long>(kLinkBytesPerSecond));
  const auto without = Measure(engines, zones, false, prompts);
  Print("no kept cache:", without);
  const auto kept = Measure(engines, zones, true, prompts);
  Print("kept cache:", kept);
  const double ratio = ToMillis(Percentile(kept.mFirstTokens, 0.5)) /
                       ToMillis(Percentile(without.mFirstTokens, 0.5));
  std::printf("first token p50 against no kept cache %.2f (target <= %.2f)\n",
              ratio,
              kMaxRatio);
  std::printf("first token p95 %.1f ms (target <= %.0f ms)\n",
              ToMillis(Percentile(kept.mFirstTokens, 0.95)),
              ToMillis(kMaxP95));
  std::printf("recomputed %.1f %% (target <= %.0f %%)\n",
              100 * kept.mRecomputedTokens / kept.mPromptTokens,
              100 * kMaxRecomputed);
  std::printf("peak link use over %.0f ms: %.2f of the budget (target <= 1)\n",
              ToMillis(kSample),
              kept.mPeakLinkUse);
  std::printf("bytes read from stores that an engine took in: %.1f %% (target "
              ">= %.0f %%)\n",
              kept.mReadBytes > 0 ? 100 * kept.mImportedBytes / kept.mReadBytes
                                  : 0.0,
              100 * kMinUsed);
  return EXIT_SUCCESS;
}

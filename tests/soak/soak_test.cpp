#include "soak_seeds.h"
#include "soak_site.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>

using namespace bilberrytrail;
using namespace bilberrytrail::soak;

namespace {

// More than RelayChoice::kDirectDaemons, so that daemons rely on each other.
constexpr std::size_t kDaemons = 7;
constexpr std::size_t kClients = 8;
constexpr Duration kFaultTime = 5s;
// Faults end at most so long after kFaultTime: the longest action, and a stop.
constexpr Duration kTailTime = 8s;
// Bounds of a site without faults, which runs beside other work: many times
// what a configuration, a lease and a roll take.
constexpr Duration kCalmTime = 30s;

const std::string kForgedKey = "forged";
const std::string kWholeStream =
  "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
  "id: 4\ndata: x\n\nid: 5\ndata: x\n\n";

// What a client asked and was told.
struct Exchange
{
  std::string mId;
  std::string mTarget;
  std::string mKey;
  // 0 without an answer.
  unsigned mStatus = 0;
  std::string mBody;
};

// One seed: a site, clients, and the actions of the plan.
class Soak
{
public:
  Soak(std::uint64_t aSeed, const std::string& aFolder)
    : mSeed(aSeed)
    , mSite(mLoop, aFolder, { .mDaemons = kDaemons })
  {
  }

  // Returns whether all that is promised held.
  [[nodiscard]] bool Run();

private:
  void RunClient(std::size_t aNumber);
  void RunPlan();
  void Expect(bool aHolds, const std::string& aWhat);
  void CheckAnswer(const Exchange& aExchange);
  void CheckAnswers();
  void CheckOrders();
  void CheckCalm();
  bool Await(const std::function<bool()>& aHolds);
  bool AreAllReady();
  bool Serves(std::size_t aDaemon);

  const std::uint64_t mSeed;
  Loop mLoop;
  SoakSite mSite;
  std::vector<Exchange> mExchanges;
  std::size_t mRunningClients = 0;
  std::size_t mProbes = 0;
  bool mIsOver = false;
  bool mHasFailed = false;
};

bool
Soak::Await(const std::function<bool()>& aHolds)
{
  const auto end = MonotonicNow() + kCalmTime;
  while (!aHolds()) {
    if (MonotonicNow() >= end || !mLoop.Sleep(50ms)) {
      return false;
    }
  }
  return true;
}

bool
Soak::AreAllReady()
{
  for (std::size_t n = 0; n < kDaemons; ++n) {
    if (!mSite.IsReady(n)) {
      return false;
    }
  }
  return true;
}

void
Soak::RunClient(std::size_t aNumber)
{
  Random random(mSeed * 1000 + aNumber);
  const std::array<const char*, 3> targets{ "/stream/", "/order/", "/read/" };
  while (!mIsOver) {
    Exchange exchange;
    exchange.mId =
      "c" + std::to_string(aNumber) + "-" + std::to_string(mExchanges.size());
    exchange.mTarget =
      targets[random.Below(targets.size())] + std::to_string(random.Below(9));
    const bool isForged = random.Below(20) == 0;
    exchange.mKey = isForged ? kForgedKey : mSite.Key();
    const auto daemon = static_cast<std::size_t>(random.Below(kDaemons));
    const auto place = mExchanges.size();
    mExchanges.push_back(exchange);
    const auto answer =
      mSite.Send(daemon, exchange.mId, exchange.mTarget, exchange.mKey);
    if (answer) {
      mExchanges[place].mStatus = answer->mStatus;
      mExchanges[place].mBody = answer->mBody;
    }
    (void)mLoop.Sleep(std::chrono::milliseconds(random.Below(40)));
  }
  --mRunningClients;
}

void
Soak::RunPlan()
{
  std::size_t running = 0;
  const auto begin = MonotonicNow();
  for (const auto& action : MakePlan(mSeed, kFaultTime)) {
    (void)mLoop.Sleep(begin + action.mAt - MonotonicNow());
    ++running;
    mLoop.Spawn([&, action] {
      mSite.Do(action);
      --running;
    });
  }
  const auto end = MonotonicNow() + kTailTime;
  while (running > 0 && MonotonicNow() < end) {
    (void)mLoop.Sleep(20ms);
  }
  Expect(running == 0, "all actions end");
}

void
Soak::Expect(bool aHolds, const std::string& aWhat)
{
  mHasFailed = mHasFailed || !aHolds;
  CHECK_MESSAGE(aHolds, aWhat);
}

void
Soak::CheckAnswer(const Exchange& aExchange)
{
  const int runs = mSite.Runs(aExchange.mId);
  const auto status = aExchange.mStatus;
  const auto name = aExchange.mId + " to " + aExchange.mTarget + ", status " +
                    std::to_string(status) + ", runs " + std::to_string(runs);
  const bool isOrder = aExchange.mTarget.starts_with("/order/");
  const bool saysNotRun =
    status == 503 || status == 429 || status == 408 || status == 421;
  if (isOrder) {
    Expect(runs <= 1, "an order runs once at most: " + name);
  }
  if (isOrder && saysNotRun) {
    Expect(runs == 0, "a refusal as not run is true: " + name);
  }
  if (aExchange.mKey == kForgedKey) {
    Expect(runs == 0 && status != 200, "a forged key runs nothing: " + name);
  }
  if (status == 200) {
    const bool isStream = aExchange.mTarget.starts_with("/stream/");
    const auto body = isStream ? kWholeStream : "body of " + aExchange.mId;
    Expect(runs >= 1 && aExchange.mBody == body,
           "a success is the whole answer: " + name);
  }
}

// What each client was told, against what ran.
void
Soak::CheckAnswers()
{
  std::map<unsigned, int> statuses;
  for (const auto& it : mExchanges) {
    ++statuses[it.mStatus];
    CheckAnswer(it);
  }
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += std::to_string(status) + ":" + std::to_string(count) + " ";
  }
  MESSAGE("seed " << mSeed << ", answers by status: " << text);
  Expect(statuses[200] > 0, "some requests are served");
}

// Fencing numbers of the orders to one server never fall, and a planned stop
// ends cleanly.
void
Soak::CheckOrders()
{
  for (const auto& server : mSite.Servers()) {
    Expect(std::ranges::is_sorted(server->Fences()),
           "fencing numbers do not fall at " + server->Id());
  }
  for (const int status : mSite.Ends()) {
    Expect(status == 0,
           "a stopped daemon ends with 0, not " + std::to_string(status));
  }
}

bool
Soak::Serves(std::size_t aDaemon)
{
  const auto send = [&](const char* aTarget, const std::string& aKey) {
    const auto id = "p-" + std::to_string(mProbes++);
    const auto answer = mSite.Send(aDaemon, id, aTarget, aKey);
    return answer ? answer->mStatus : 0U;
  };
  bool serves = send("/read/1", mSite.Key()) == 200 &&
                send("/order/1", mSite.Key()) == 200 &&
                send("/stream/1", mSite.Key()) == 200;
  for (const auto& key : mSite.OldKeys()) {
    serves = serves && send("/order/1", key) == 401;
  }
  return serves;
}

// Without faults the site comes back to its full service by itself.
void
Soak::CheckCalm()
{
  Expect(Await([&] { return AreAllReady(); }), "all daemons are ready again");
  for (std::size_t n = 0; n < kDaemons; ++n) {
    Expect(Await([&] { return Serves(n); }),
           "daemon " + std::to_string(n) + " serves by the newest keys");
  }
  Expect(Await([&] {
           return mSite.Servers()[0]->Weights() == mSite.Weights() &&
                  mSite.Servers()[1]->Weights() == mSite.Weights();
         }),
         "the engines have the newest weights");
}

bool
Soak::Run()
{
  mLoop.Spawn([&] { mSite.WriteRows(); });
  mLoop.Spawn([&] {
    Expect(Await([&] { return AreAllReady(); }), "all daemons are ready");
    for (std::size_t n = 0; n < kClients; ++n) {
      ++mRunningClients;
      mLoop.Spawn([this, n] { RunClient(n); });
    }
    RunPlan();
    mIsOver = true;
    Expect(Await([&] { return mRunningClients == 0; }), "all clients end");
    CheckCalm();
    mSite.Stop();
    CheckAnswers();
    CheckOrders();
    mLoop.Stop();
  });
  mLoop.Run();
  return !mHasFailed;
}

// Seeds of each run of all tests. Behind the first three stand those that were
// red once:
//
// - 5, with streams that end short as complete, an edit: it cuts streams
// - 126: a daemon did not start while its program was being linked anew
const std::vector<std::uint64_t> kSeeds{ 1, 2, 3, 5, 126 };

} // namespace

// BILBERRYTRAIL_SOAK_SEEDS plays so many seeds from BILBERRYTRAIL_SOAK_FIRST
// on; logs stay in the folder of a seed that failed.
TEST_CASE("the promises hold while processes, links and the table service fail")
{
  for (const auto seed : SeedsToPlay(kSeeds)) {
    CAPTURE(seed);
    const SoakFolder folder("soak", seed);
    folder.EndWith(Soak(seed, folder.Path()).Run());
  }
}

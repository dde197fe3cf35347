#include <bilberrytrail/entry/server_pool.h>

#include <doctest/doctest.h>

#include <set>
#include <vector>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");
constexpr double kServerMemory = 200'000;
// Share of a prompt that is its own, and that is read again on a cache miss.
constexpr double kOwnShare = 0.25;
constexpr double kMissShare = 0.5;

// A pool of engines that prompts of given sizes ask for a server.
class SizedPrompts
{
public:
  SizedPrompts()
  {
    std::vector<ServerRecord> servers(2);
    for (std::size_t n = 0; n < servers.size(); ++n) {
      servers[n].mId = ServerId("s" + std::to_string(n));
      servers[n].mService = kEngines;
      servers[n].mModels = { { kModel, 1 } };
    }
    (void)mPool.Update(servers, mNow);
  }

  ChosenServer Choose(double aTokens)
  {
    ServerQuery query;
    query.mService = kEngines;
    query.mModel = kModel;
    query.mServerMemory = kServerMemory;
    query.mMemory = aTokens;
    query.mWork = aTokens * kOwnShare;
    query.mMissWork = aTokens * kMissShare;
    const auto choice = mPool.Choose(query, mNow);
    REQUIRE(choice);
    return *choice;
  }

private:
  const Instant mNow = Instant() + 1000s;
  ServerPool mPool{ ZoneId("z"), ServerPoolSettings() };
};

// Returns the time in which an idle server reads a prompt, in milliseconds.
double
ReadTime(double aTokens)
{
  return aTokens * kOwnShare / ServerPoolSettings().mTokensPerMs;
}

} // namespace

// Guards against refusing large prompts because of their own work: a daemon
// that places a prompt itself admits it by the same estimate as a home does.
TEST_CASE("the admission estimate does not depend on the size of a prompt")
{
  constexpr double kAverage = 12'000;
  constexpr int kRounds = 50;
  struct Row
  {
    double mTokens;
    // Tokens of the prompts that were seen before.
    std::vector<double> mBefore;
  };
  const Row rows[] = { { 1000, { 12'000 } },
                       { 12'000, { 12'000 } },
                       { 34'000, { 12'000 } },
                       { 34'000, { 6'000, 18'000, 12'000 } } };
  for (const auto& row : rows) {
    CAPTURE(row.mTokens);
    SizedPrompts prompts;
    for (int n = 0; n < kRounds; ++n) {
      for (const auto it : row.mBefore) {
        (void)prompts.Choose(it);
      }
    }
    const auto choice = prompts.Choose(row.mTokens);
    CHECK(ToMillis(choice.mTime) == doctest::Approx(ReadTime(row.mTokens)));
    CHECK(ToMillis(choice.mAdmissionTime) ==
          doctest::Approx(ReadTime(kAverage)).epsilon(0.05));
  }
}

// Guards against an average that the prompt itself has moved: under overload
// the estimates lie so close to the bound that this alone refuses large ones.
TEST_CASE("a prompt does not count towards the average that it is admitted by")
{
  std::set<Duration> times;
  for (const double tokens : { 1000.0, 12'000.0, 34'000.0 }) {
    SizedPrompts prompts;
    (void)prompts.Choose(9000);
    (void)prompts.Choose(14'000);
    times.insert(prompts.Choose(tokens).mAdmissionTime);
  }
  CHECK(times.size() == 1);
}

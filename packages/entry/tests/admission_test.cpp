#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/server_pool.h>

#include <doctest/doctest.h>

#include <deque>

using namespace bilberrytrail;

TEST_CASE("RefusePrompt refuses late prompts with the estimate as Retry-After")
{
  const AdmissionSettings settings;
  CHECK_FALSE(RefusePrompt(0ms, 500ms, settings));
  CHECK_FALSE(RefusePrompt(175ms, 500ms, settings));
  CHECK(RefusePrompt(176ms, 500ms, settings) == 176ms);
  CHECK(RefusePrompt(90ms, 100ms, settings) == settings.mMinRetryAfter);
  CHECK(RefusePrompt(9s, 500ms, settings) == settings.mMaxRetryAfter);
}

namespace {

// A server that reads prompts one after the other.
struct SerialServer
{
  Instant mFreeAt;
};

struct OverloadResult
{
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
};

// Simulates four seconds of prompts at twice the rate that three servers can
// read, sent by one daemon.
OverloadResult
SimulateOverload(bool aIsAdmitting)
{
  constexpr Duration kObjective = 500ms;
  constexpr double kTokens = 3000;
  constexpr Duration kReadTime = 30ms;
  const ServiceId service("s");
  const ModelId model("m");
  const Instant start = Instant() + 1000s;
  std::vector<ServerRecord> records(3);
  std::map<ServerId, SerialServer> servers;
  for (std::size_t n = 0; n < records.size(); ++n) {
    records[n].mId = ServerId("s" + std::to_string(n));
    records[n].mService = service;
    records[n].mModels = { { model, 1 } };
    servers[records[n].mId].mFreeAt = start;
  }
  ServerPool pool(ZoneId("z"), ServerPoolSettings());
  (void)pool.Update(records, start);
  ServerQuery query;
  query.mService = service;
  query.mModel = model;
  query.mWork = kTokens;
  query.mObjective = kObjective;
  OverloadResult result;
  std::multimap<Instant, SendTicket> running;
  for (Instant now = start; now < start + 4s; now += 5ms) {
    while (!running.empty() && running.begin()->first <= now) {
      pool.OnProgress(running.begin()->second, running.begin()->first);
      (void)pool.End(
        running.begin()->second, SendOutcome::Answered, running.begin()->first);
      running.erase(running.begin());
    }
    const auto choice = pool.Choose(query, now);
    REQUIRE(choice);
    if (aIsAdmitting &&
        RefusePrompt(choice->mTime, kObjective, AdmissionSettings())) {
      ++result.mRefused;
      continue;
    }
    auto& server = servers[choice->mServer];
    server.mFreeAt = std::max(server.mFreeAt, now) + kReadTime;
    running.emplace(server.mFreeAt, pool.Begin(choice->mServer, query, now));
    ++(server.mFreeAt - now <= kObjective ? result.mInTime : result.mLate);
  }
  return result;
}

} // namespace

// Overload: without admission the queue grows and nearly all answers are late.
// With admission the full capacity of the servers is answered in time, and the
// remaining prompts are refused at once.
TEST_CASE("under overload nearly all admitted prompts are answered in time")
{
  const auto open = SimulateOverload(false);
  const auto admitting = SimulateOverload(true);
  CAPTURE(open.mInTime);
  CAPTURE(admitting.mInTime);
  CAPTURE(admitting.mLate);
  CHECK(admitting.mInTime > 3 * open.mInTime / 2);
  CHECK(admitting.mLate * 20 <= admitting.mInTime);
  CHECK(admitting.mRefused > 0);
}

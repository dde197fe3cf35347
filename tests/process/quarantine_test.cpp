#include "first_release.h"

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

constexpr const char* kPoison = "unpick the hem at once";
// Servers that one request may take, whatever it is resent through.
constexpr std::size_t kServersPerPoison = 2;

std::string
Body(const std::string& aPrompt)
{
  return R"({"model":"guide","stream":true,"max_tokens":8,"prompt":")" +
         aPrompt + "\"}";
}

void
StartSite(Site& aSite)
{
  StartWithRelease(aSite);
  // Every engine has the version once a request gets through to each.
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    REQUIRE(aSite.Await(30s, [&] {
      return StreamCompletion(
               aSite.Daemons()[n].mCallers, "token-small", Body("warm up"))
        .mDone;
    }));
  }
}

std::size_t
RestartDead(Site& aSite, const std::string& aFault)
{
  std::size_t dead = 0;
  for (std::size_t n = 0; n < aSite.Engines().size(); ++n) {
    if (aSite.Engines()[n].mProcess->Poll()) {
      ++dead;
      aSite.RestartEngine(n);
      aSite.SetFault(aSite.Engines()[n].mEndpoint, aFault);
    }
  }
  return dead;
}

} // namespace

TEST_CASE("a prompt that crashes engines takes two of them at most")
{
  SiteShape shape;
  shape.mEngines = 4;
  shape.mStores = false;
  Site site(shape);
  StartSite(site);
  const std::string fault = Json{ { "crash_on", kPoison } }.dump();
  for (const auto& engine : site.Engines()) {
    site.SetFault(engine.mEndpoint, fault);
  }

  // Innocent requests run on all engines while the poison is sent.
  constexpr std::size_t kInnocents = 8;
  std::vector<StreamedAnswer> innocents(kInnocents);
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < kInnocents; ++n) {
    threads.emplace_back([&, n] {
      innocents[n] =
        StreamCompletion(site.Daemons()[n % site.Daemons().size()].mCallers,
                         "token-small",
                         Body("press seam " + std::to_string(n)));
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(50));

  std::size_t dead = 0;
  for (std::size_t round = 0; round < 2; ++round) {
    for (const auto& daemon : site.Daemons()) {
      const auto answer =
        StreamCompletion(daemon.mCallers, "token-large", Body(kPoison));
      INFO(answer.mBody);
      CHECK_FALSE(answer.mDone);
      dead += RestartDead(site, fault);
    }
  }
  CHECK(dead >= 1);
  CHECK(dead <= kServersPerPoison);

  // Once convicted, it is refused at once by every daemon.
  for (const auto& daemon : site.Daemons()) {
    const auto answer =
      StreamCompletion(daemon.mCallers, "token-large", Body(kPoison));
    CHECK(answer.mStatus == 422);
    CHECK(answer.mTotal < 2s);
  }
  // An operator sees the conviction and speaks the request free.
  const auto listed =
    ParseJson(site.Operate(1, "GET", "/operator/quarantine").mBody);
  REQUIRE(listed.has_value());
  std::vector<Json> convicted;
  for (const auto& it : listed.value()["entries"]) {
    if (it.value("state", "") == "convicted") {
      convicted.push_back(it);
    }
  }
  REQUIRE(convicted.size() == 1);
  const Json entry = convicted.front();
  CHECK(entry.value("account", "") == "large");
  const Json clear = { { "fingerprint", entry.value("fingerprint", "") } };
  CHECK(site.Operate(1, "POST", "/operator/quarantine/clear", clear.dump())
          .mStatus == 200);
  CHECK(site.Operate(1, "POST", "/operator/quarantine/clear", clear.dump())
          .mStatus == 404);
  // The same text of another client account is another request.
  for (auto& thread : threads) {
    thread.join();
  }
  for (std::size_t n = 0; n < kInnocents; ++n) {
    CAPTURE(n);
    INFO(innocents[n].mBody);
    CHECK(innocents[n].mStatus == 200);
    CHECK(innocents[n].mDone);
  }
}

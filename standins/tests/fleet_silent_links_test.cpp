#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

// Time until the daemons know each other, and follow their relay if they have
// one.
constexpr Duration kSettleTime = 2500ms;
// Daemons are in touch again this long after connections fell silent.
constexpr Duration kStableTime = 3s;
// Time for which requests are sent then.
constexpr Duration kPlayTime = 1500ms;

} // namespace

// Guards against requests that are handled as an old configuration says, since
// the daemon waits for an answer on a connection that has fallen silent, and
// then for one on the next such connection.
TEST_CASE("a configuration is in force in time after connections fell silent")
{
  struct Row
  {
    const char* mName;
    int mDaemons;
    // The daemon keeps further connections to the table service.
    bool mHasIdle;
    // Time from the last change of the tables to the silence.
    Duration mPhase;
    // The connections fall silent once more after this time.
    Duration mAgainAfter;
  };
  for (const Row& row : { Row{ "a wait begins", 1, false, 0ms, 0ms },
                          Row{ "within a wait", 1, true, 300ms, 0ms },
                          Row{ "later", 1, true, 1700ms, 0ms },
                          Row{ "a wait ends", 1, true, 2400ms, 0ms },
                          Row{ "twice", 1, true, 100ms, 1500ms },
                          Row{ "with a relay", 8, true, 300ms, 0ms } }) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    site.mHasLinks = true;
    site.Run(row.mDaemons, [&] {
      (void)site.mLoop.Sleep(kSettleTime);
      int sent = 0;
      const auto status = [&](std::size_t aDaemon, const char* aKey) {
        const auto id = "r" + std::to_string(++sent);
        return site.Status(aDaemon, id, "/read/1", aKey);
      };
      site.PutConfig(2, "key");
      (void)site.mLoop.Sleep(100ms);
      // Unknown keys make a daemon read what has changed beside its wait.
      for (std::size_t n = 0; row.mHasIdle && n < site.mDaemons.size(); ++n) {
        CHECK(status(n, "none") == 401);
      }
      (void)site.mLoop.Sleep(row.mPhase);
      const auto silence = [&] {
        std::ranges::for_each(site.mLinks,
                              [](auto& aLink) { aLink->SilenceOpen(); });
        return MonotonicNow();
      };
      auto silentAt = silence();
      (void)site.mLoop.Sleep(100ms);
      site.PutConfig(3, "later");
      if (row.mAgainAfter > 0ms) {
        (void)site.mLoop.Sleep(row.mAgainAfter);
        silentAt = silence();
      }
      (void)site.mLoop.Sleep(silentAt + kStableTime - MonotonicNow());
      int late = 0;
      while (MonotonicNow() < silentAt + kStableTime + kPlayTime) {
        for (std::size_t n = 0; n < site.mDaemons.size(); ++n) {
          late += status(n, "key") == 200 ? 1 : 0;
          CHECK(status(n, "later") == 200);
        }
        (void)site.mLoop.Sleep(10ms);
      }
      CHECK(late == 0);
    });
  }
}

// Guards against a daemon that runs requests by an old configuration past the
// bound, since only the end of its own wait shows it that its connections have
// fallen silent, while the daemons that it exchanges requests with know better.
TEST_CASE("a daemon whose connections fell silent hears of a configuration")
{
  constexpr Duration kInForceWithin = 2s;
  constexpr std::size_t kDaemons = 3;
  for (const auto phase : { 0ms, 150ms, 300ms, 450ms }) {
    CAPTURE(phase.count());
    FleetSite site;
    site.mHasLinks = true;
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(kSettleTime);
      // The next wait for changes begins.
      site.PutConfig(2, "key");
      (void)site.mLoop.Sleep(100ms + phase);
      site.mLinks[0]->SilenceOpen();
      (void)site.mLoop.Sleep(50ms);
      site.PutConfig(3, "later");
      const auto begin = MonotonicNow();
      int sent = 0;
      int late = 0;
      while (MonotonicNow() < begin + kInForceWithin + kPlayTime) {
        const bool isDue = MonotonicNow() >= begin + kInForceWithin;
        for (std::size_t n = 0; n < kDaemons; ++n) {
          for (const char* target : { "/read/1", "/stream/1" }) {
            const auto id = "r" + std::to_string(++sent);
            late += site.Status(n, id, target, "key") == 200 && isDue ? 1 : 0;
          }
        }
        (void)site.mLoop.Sleep(10ms);
      }
      CHECK(late == 0);
    });
  }
}

// Guards against losing one request for each connection to a server that was
// kept and has fallen silent, while new ones work.
TEST_CASE("few requests are lost after connections to servers fell silent")
{
  constexpr int kKept = 12;
  constexpr int kSequence = 30;
  for (const char* target : { "/order/", "/read/" }) {
    CAPTURE(std::string(target));
    FleetSite site;
    site.Run(1, [&] {
      std::vector<std::unique_ptr<FaultProxy>> links;
      for (const std::size_t n : { 2U, 3U }) {
        links.push_back(std::make_unique<FaultProxy>(Endpoint{ "127.0.0.1", 0 },
                                                     site.mEndpoints[n]));
        site.PutServer(*site.mServers[n], links.back()->Address(), "shop");
      }
      (void)site.mLoop.Sleep(1s);
      int sent = 0;
      const auto isServed = [&] {
        const auto number = std::to_string(++sent);
        const auto response = site.Send(
          0, SmallSiteRequest("r" + number, target + number, "key", 500ms));
        return response && response.value().mStatus == 200;
      };
      int done = 0;
      for (auto& it : site.mServers) {
        it->SetQueueTime(100ms);
      }
      for (int n = 0; n < kKept; ++n) {
        site.mLoop.Spawn([&] {
          CHECK(isServed());
          ++done;
        });
      }
      CHECK(site.Await([&] { return done == kKept; }));
      for (auto& it : site.mServers) {
        it->SetQueueTime(0ms);
      }
      std::ranges::for_each(links, [](auto& aLink) { aLink->SilenceOpen(); });
      int lost = 0;
      for (int n = 0; n < kSequence; ++n) {
        lost += isServed() ? 0 : 1;
      }
      // One for each server.
      CHECK(lost <= 2);
    });
  }
}

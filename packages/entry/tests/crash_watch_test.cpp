#include "request_flow_fixture.h"

#include <doctest/doctest.h>

#include <array>

using namespace bilberrytrail;

namespace {

// How long the list of servers may lack a new start, with a margin.
constexpr Duration kListed = 4s;

// A server that is watched, in virtual time.
struct WatchedServer
{
  Loop mLoop{ LoopTime::Virtual };
  FakeBackend mBackend{ mLoop };
  PartQuarantine mParts;
  PartQuarantine mRequests{ { .mKind = QuarantinedKind::Request } };
  // Whether what is known of the list of servers is new.
  bool mIsListFresh = true;
  CrashWatch mWatch{ mLoop, mBackend, mParts, mRequests, [this] {
                      return mIsListFresh ? BootNow() : Instant();
                    } };
  ServerStart mStart{ ServerId("s"), 1, { "10.0.0.1", 1 } };

  // Runs the body after a while, so that nothing has been heard of late.
  void Run(const std::function<void()>& aBody)
  {
    mLoop.Spawn([&] {
      (void)mLoop.Sleep(10s);
      aBody();
      mLoop.Stop();
    });
    mLoop.Run();
  }
  void Wait(Duration aTime) { (void)mLoop.Sleep(aTime); }
  void Lose(std::uint64_t aRequest, SendLoss aLoss)
  {
    mWatch.OnLost(
      mStart, { {}, PartKey(aRequest), MonotonicNow() - 1s }, aLoss);
  }
  // Lists the server with a start.
  void List(std::uint64_t aStartedAtMs, bool aIsLeaving = false)
  {
    ServerRecord record;
    record.mId = mStart.mId;
    record.mEndpoint = mStart.mEndpoint;
    record.mStartedAtMs = aStartedAtMs;
    record.mIsLeaving = aIsLeaving;
    mWatch.OnServers(std::array{ record });
  }
  // Answers a request at once.
  void Answer()
  {
    CrashWatch::Send send(mWatch, mStart, [] { return std::nullopt; });
    send.OnHeard();
  }
  [[nodiscard]] bool IsSuspect(std::uint64_t aRequest) const
  {
    return mRequests.IsSuspect(PartKey(aRequest));
  }
};

} // namespace

// Guards against requests that end the machines of servers: their hosts refuse
// nothing, and the servers may be back before the check. Also guards against
// holding the end of a server against a request that it has survived.
TEST_CASE("a lost send is suspect only if its server has ended")
{
  struct Row
  {
    const char* mName;
    SendLoss mLoss;
    ConnectOutcome mConnects;
    // The server is listed with another start after this time.
    std::optional<Duration> mRestart;
    bool mIsLeaving;
    bool mIsSuspect;
  };
  constexpr auto kAccepted = ConnectOutcome::Accepted;
  constexpr auto kSilent = ConnectOutcome::Silent;
  constexpr std::optional<Duration> kNever;
  for (const Row& row :
       { Row{ "refuses",
              SendLoss::Broken,
              ConnectOutcome::Refused,
              kNever,
              false,
              true },
         Row{ "refuses, no reset",
              SendLoss::Silent,
              ConnectOutcome::Refused,
              kNever,
              false,
              true },
         Row{ "host is down", SendLoss::Silent, kSilent, kNever, false, true },
         Row{ "host is down, reset",
              SendLoss::Broken,
              kSilent,
              kNever,
              false,
              true },
         Row{
           "lives, slow", SendLoss::Silent, kAccepted, kNever, false, false },
         Row{
           "lives, reset", SendLoss::Broken, kAccepted, kNever, false, false },
         Row{ "not told",
              SendLoss::Silent,
              ConnectOutcome::Unknown,
              kNever,
              false,
              false },
         Row{ "already back", SendLoss::Silent, kAccepted, 200ms, false, true },
         Row{ "already back, reset",
              SendLoss::Broken,
              kAccepted,
              1s,
              false,
              true },
         Row{ "restarts later", SendLoss::Silent, kAccepted, 2s, false, false },
         Row{ "back after leaving",
              SendLoss::Silent,
              kAccepted,
              200ms,
              true,
              false } }) {
    CAPTURE(std::string(row.mName));
    WatchedServer fixture;
    fixture.mBackend.mConnects = row.mConnects;
    fixture.Run([&] {
      fixture.Lose(1, row.mLoss);
      fixture.List(1, row.mIsLeaving);
      fixture.Wait(row.mRestart.value_or(5s));
      fixture.List(row.mRestart ? 2 : 1);
      CHECK(fixture.IsSuspect(1) == row.mIsSuspect);
    });
  }
}

// Guards against requests with long deadlines, of which the loss shows long
// after their server was found to have ended.
TEST_CASE("sends in progress at a server that has ended are suspect")
{
  enum class Sign : unsigned char
  {
    AnotherIsLost,
    NoConnection,
    Unlisted,
    Restart
  };
  for (const auto sign : { Sign::AnotherIsLost,
                           Sign::NoConnection,
                           Sign::Unlisted,
                           Sign::Restart }) {
    CAPTURE(static_cast<int>(sign));
    WatchedServer fixture;
    fixture.mBackend.mConnects = ConnectOutcome::Silent;
    fixture.Run([&] {
      const auto trace = [&](std::uint64_t aRequest) {
        return CrashWatch::SendTrace{ {}, PartKey(aRequest), MonotonicNow() };
      };
      CrashWatch::Send waiting(fixture.mWatch, fixture.mStart, [&] {
        return std::optional(trace(1));
      });
      CrashWatch::Send survived(
        fixture.mWatch, fixture.mStart, [] { return std::nullopt; });
      fixture.List(1);
      fixture.Wait(500ms);
      switch (sign) {
        case Sign::AnotherIsLost:
          fixture.Lose(2, SendLoss::Silent);
          break;
        case Sign::NoConnection: {
          CrashWatch::Send another(fixture.mWatch, fixture.mStart, [&] {
            return std::optional(trace(2));
          });
          another.OnLost(SendLoss::Unreachable);
          break;
        }
        case Sign::Unlisted:
          fixture.mWatch.OnServers({});
          break;
        case Sign::Restart:
          fixture.List(2);
          break;
      }
      fixture.Wait(1s);
      CHECK(fixture.IsSuspect(1));
      CHECK(fixture.IsSuspect(2) == (sign == Sign::AnotherIsLost));
    });
  }
}

// Guards against suspecting ever more requests of one death, as their deadlines
// pass one after the other.
TEST_CASE("a death is held against waiting requests once")
{
  WatchedServer fixture;
  fixture.mBackend.mConnects = ConnectOutcome::Silent;
  fixture.Run([&] {
    std::vector<std::unique_ptr<CrashWatch::Send>> sends;
    for (std::uint64_t n = 0; n < 30; ++n) {
      sends.push_back(std::make_unique<CrashWatch::Send>(
        fixture.mWatch, fixture.mStart, [n, sentAt = MonotonicNow()] {
          return std::optional(CrashWatch::SendTrace{ {}, PartKey(n), sentAt });
        }));
      fixture.Wait(10ms);
    }
    for (auto& it : sends) {
      fixture.Wait(200ms);
      it->OnLost(SendLoss::Silent);
    }
    fixture.Wait(1s);
    CHECK(fixture.mRequests.size() == 8);
  });
}

// Guards against losing the request that ended a server among those that were
// sent to it afterwards.
TEST_CASE("the sends about the last sign of life answer for a silent death")
{
  WatchedServer fixture;
  fixture.mBackend.mConnects = ConnectOutcome::Silent;
  fixture.Run([&] {
    fixture.Answer();
    const auto heardAt = MonotonicNow();
    fixture.Wait(1s);
    for (std::uint64_t n = 0; n < 40; ++n) {
      fixture.mWatch.OnLost(fixture.mStart,
                            { {}, PartKey(n), heardAt + n * 25ms - 50ms },
                            SendLoss::Silent);
    }
    fixture.Wait(1s);
    CHECK(fixture.mRequests.size() == 8);
    CHECK(fixture.IsSuspect(2));
    CHECK(fixture.IsSuspect(3));
    CHECK_FALSE(fixture.IsSuspect(20));
    CHECK_FALSE(fixture.IsSuspect(39));
  });
}

// Guards against refusing sound requests for as long as a quarantine lasts,
// after servers were out of reach for a moment.
TEST_CASE("a server that answers under the same start has not ended")
{
  struct Row
  {
    const char* mName;
    std::uint64_t mStartedAtMs;
    std::uint64_t mListedStart;
    bool mIsListFresh;
    bool mIsTakenBack;
  };
  for (const Row& row : { Row{ "the same start", 1, 1, true, true },
                          Row{ "another start", 1, 2, true, false },
                          Row{ "the list is old", 1, 1, false, false },
                          Row{ "starts aren't told", 0, 0, true, false } }) {
    CAPTURE(std::string(row.mName));
    WatchedServer fixture;
    fixture.mStart.mStartedAtMs = row.mStartedAtMs;
    fixture.mIsListFresh = row.mIsListFresh;
    fixture.mBackend.mConnects = ConnectOutcome::Silent;
    fixture.Run([&] {
      fixture.Lose(1, SendLoss::Silent);
      fixture.Wait(1s);
      REQUIRE(fixture.IsSuspect(1));
      const auto evidence = fixture.mRequests.Recent(MonotonicNow());
      fixture.Answer();
      fixture.Wait(1s);
      CHECK(fixture.IsSuspect(1));
      fixture.List(row.mListedStart);
      fixture.Wait(kListed);
      CHECK(fixture.IsSuspect(1) != row.mIsTakenBack);
      // Another daemon still reports the death.
      fixture.mRequests.Merge(evidence, MonotonicNow());
      CHECK(fixture.IsSuspect(1) != row.mIsTakenBack);
    });
  }
}

// Guards against suspecting requests because of one lost packet.
TEST_CASE("a server that responds to the second attempt has not ended")
{
  WatchedServer fixture;
  fixture.mBackend.mFirstConnects = { ConnectOutcome::Silent };
  fixture.Run([&] {
    fixture.Lose(1, SendLoss::Silent);
    fixture.Wait(2s);
    CHECK(fixture.mBackend.mProbes == 2);
    CHECK_FALSE(fixture.IsSuspect(1));
  });
}

// Guards against a server that answers while its host drops new connections.
TEST_CASE("a server that is heard during the check has not ended")
{
  WatchedServer fixture;
  fixture.mBackend.mConnects = ConnectOutcome::Silent;
  fixture.Run([&] {
    fixture.Lose(1, SendLoss::Silent);
    fixture.Wait(400ms);
    fixture.Answer();
    fixture.Wait(1s);
    CHECK_FALSE(fixture.IsSuspect(1));
  });
}

// Guards against convicting a request by one death that several daemons and
// sends saw at different times.
TEST_CASE("a death counts once, however many daemons and sends saw it")
{
  WatchedServer fixture;
  fixture.mBackend.mConnects = ConnectOutcome::Silent;
  fixture.Run([&] {
    PartQuarantine othersParts;
    PartQuarantine others{ { .mKind = QuarantinedKind::Request } };
    CrashWatch otherWatch(fixture.mLoop, fixture.mBackend, othersParts, others);
    for (int n = 0; n < 5; ++n) {
      fixture.Lose(1, SendLoss::Silent);
      otherWatch.OnLost(fixture.mStart,
                        { {}, PartKey(1), MonotonicNow() - 700ms },
                        SendLoss::Silent);
      fixture.Wait(900ms);
    }
    const auto now = MonotonicNow();
    fixture.mRequests.Merge(others.Recent(now), now);
    CHECK(fixture.mRequests.size() == 1);
    for (const auto& it : fixture.mRequests.Recent(now)) {
      CHECK(it.mDeaths.size() == 1);
    }
    CHECK_FALSE(
      fixture.mRequests.QuarantineTime(std::array{ PartKey(1) }, now + 5s));
  });
}

// Guards against state that grows with the sends that are lost at a server.
TEST_CASE("lost sends are kept for a short time, and few of them")
{
  for (const bool restartsLate : { false, true }) {
    CAPTURE(restartsLate);
    WatchedServer fixture;
    fixture.Run([&] {
      for (std::uint64_t n = 0; n < 5000; ++n) {
        fixture.mWatch.OnLost(fixture.mStart,
                              { { PartKey(n) }, PartKey(n), MonotonicNow() },
                              SendLoss::Silent);
      }
      fixture.Wait(restartsLate ? 3s : 500ms);
      fixture.List(2);
      CHECK(fixture.mRequests.size() == (restartsLate ? 0 : 8));
      CHECK(fixture.mParts.size() <= (restartsLate ? 0U : 64U));
    });
  }
}

// Guards against checks that cost a connection for each slow answer.
TEST_CASE("slow servers that live are checked rarely")
{
  for (const bool answersOthers : { false, true }) {
    CAPTURE(answersOthers);
    WatchedServer fixture;
    fixture.Run([&] {
      for (int n = 0; n < 1000; ++n) {
        if (answersOthers && n % 10 == 0) {
          fixture.Answer();
        }
        fixture.Lose(1, SendLoss::Silent);
        fixture.Wait(10ms);
      }
      CHECK(fixture.mBackend.mProbes <= (answersOthers ? 0U : 45U));
      CHECK_FALSE(fixture.IsSuspect(1));
    });
  }
}

#include "endless_peer.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

std::string
Head(std::size_t aBodyBytes)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBodyBytes) +
         "\r\n\r\n";
}

struct CallOutcome
{
  bool mIsWhole = false;
  ErrorCode mCode = ErrorCode::Unknown;
  Duration mTime{};
};

// Calls a peer. Between two times the loop does nothing, as on a VM without
// processor time.
CallOutcome
CallWithin(const EndlessPeer& aPeer,
           const AnswerLimits& aLimits,
           Duration aHeldUpFrom = {},
           Duration aHeldUpFor = {})
{
  CallOutcome outcome;
  Loop loop;
  loop.Spawn([&] {
    HttpClient client(loop);
    const auto begin = MonotonicNow();
    const auto answer = client.Call(aPeer.Address(), {}, aLimits);
    outcome.mTime = MonotonicNow() - begin;
    outcome.mIsWhole = answer.has_value();
    if (!answer) {
      outcome.mCode = answer.error().mCode;
    }
    loop.Stop();
  });
  loop.Spawn([&] {
    (void)loop.Sleep(aHeldUpFrom);
    std::this_thread::sleep_for(aHeldUpFor);
  });
  loop.Run();
  return outcome;
}

} // namespace

// Guards against a large answer on a narrow link that is given up again and
// again, since the time in which it begins was also the time for all of it.
TEST_CASE("an answer that goes on is read beyond the time for its beginning")
{
  struct Row
  {
    const char* mName;
    Duration mPause;
    AnswerLimits mLimits;
    bool mIsWhole;
    Duration mMost;
  };
  // Ten bytes, one at a time.
  const Row rows[] = {
    { "goes on", 80ms, { 300ms, 300ms, 5s }, true, 3s },
    { "one limit for all", 80ms, AnswerLimits::Within(300ms), false, 500ms },
    { "longer than all may take", 80ms, { 300ms, 300ms, 400ms }, false, 600ms },
    { "falls silent", 1s, { 300ms, 200ms, 5s }, false, 600ms },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const EndlessPeer peer(Head(10), "x", row.mPause);
    const auto outcome = CallWithin(peer, row.mLimits);
    CHECK(outcome.mIsWhole == row.mIsWhole);
    CHECK(outcome.mTime <= row.mMost);
    if (!row.mIsWhole) {
      CHECK(outcome.mCode == ErrorCode::Timeout);
    }
  }
}

// Guards against a daemon without processor time that takes its own delay for
// the sender's: it gave up answers that had arrived, and asked again.
TEST_CASE("an answer that arrives while the caller is held up is read")
{
  struct Row
  {
    const char* mName;
    AnswerLimits mLimits;
    bool mIsWhole;
  };
  for (const Row& row :
       { Row{ "limits of its parts", { 300ms, 300ms, 5s }, true },
         Row{ "one limit for all", AnswerLimits::Within(300ms), false } }) {
    CAPTURE(row.mName);
    // The second half takes several reads.
    const std::string half(100'000, 'x');
    const EndlessPeer peer(Head(2 * half.size()), half, 100ms);
    const auto outcome = CallWithin(peer, row.mLimits, 50ms, 800ms);
    CHECK(outcome.mIsWhole == row.mIsWhole);
  }
}

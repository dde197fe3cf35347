#include "list_message.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace bilberrytrail;

namespace {

// A platform whose list has one VM more with each state, two readers and a
// receiver, each with a clock of its own, and messages that take their time.
class Model
{
public:
  explicit Model(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mReceiver(ListTimes{})
  {
    mReceiver.SetReader(false);
    for (int n = 0; n < 2; ++n) {
      mReaders.emplace_back(Duration(mRandom.Below(1'000'000'000)));
      mReaders.back().mSender.SetReceivers({ kReceiver });
    }
  }

  void Run(Duration aLength)
  {
    while (mNow < aLength) {
      mState += mRandom.Below(50) == 0 ? 1 : 0;
      for (std::size_t n = 0; n < mReaders.size(); ++n) {
        Step(n);
      }
      while (!mPending.empty() && mPending.begin()->first <= mNow) {
        const auto act = std::move(mPending.begin()->second);
        mPending.erase(mPending.begin());
        act();
      }
      mNow += 100ms;
    }
  }

  [[nodiscard]] std::size_t Held() const { return mReceiver.Vms().size(); }
  [[nodiscard]] std::size_t State() const { return mState; }
  [[nodiscard]] int Reverts() const { return mReverts; }
  [[nodiscard]] int Changes() const { return mChanges; }

private:
  inline static const DaemonId kReceiver{ "receiver" };

  struct Reader
  {
    explicit Reader(Duration aOffset)
      : mOffset(aOffset)
      , mList(ListTimes{})
      , mSender(ListSenderSettings{})
    {
    }

    Duration mOffset;
    ListFollower mList;
    ListSender mSender;
    VmListHistory mHistory;
    Duration mPausedUntil{};
  };

  static std::vector<VmEntry> ListOf(std::size_t aState)
  {
    std::vector<VmEntry> vms(aState);
    for (std::size_t n = 0; n < aState; ++n) {
      vms[n].mName = "vm-" + std::to_string(n);
    }
    SortByName(vms);
    return vms;
  }

  [[nodiscard]] Instant ClockOf(const Reader& aReader) const
  {
    return Instant() + 1000s + aReader.mOffset + mNow;
  }
  [[nodiscard]] Instant ReceiverClock() const
  {
    return Instant() + 5000s + mNow;
  }

  // Most messages take milliseconds, some take seconds.
  Duration Delay()
  {
    const auto most = mRandom.Below(10) == 0 ? 8'000'000 : 20'000;
    return Duration(mRandom.Below(most));
  }

  void Later(Duration aDelay, std::function<void()> aAct)
  {
    mPending.emplace(mNow + aDelay, std::move(aAct));
  }

  void Step(std::size_t aReader)
  {
    Reader& reader = mReaders[aReader];
    if (mNow < reader.mPausedUntil) {
      return;
    }
    if (mRandom.Below(200) == 0) {
      reader.mPausedUntil = mNow + Duration(mRandom.Below(10'000'000));
      return;
    }
    const Instant now = ClockOf(reader);
    if (reader.mList.MustRead(now)) {
      // The answer may come late.
      reader.mList.OnReadFailed(now);
      Later(Delay(), [this, aReader, now, state = mState] {
        Reader& late = mReaders[aReader];
        (void)late.mList.OnRead({ false, ListOf(state), "" },
                                { now, ClockOf(late) });
      });
    }
    if (reader.mList.Digest().empty()) {
      return;
    }
    reader.mHistory.Add(reader.mList.Vms(), reader.mList.Digest());
    for (const auto& it : reader.mSender.Due(reader.mList.Digest(), now)) {
      const Json params = MakeListNews(DaemonId(std::to_string(aReader)),
                                       it,
                                       reader.mList,
                                       reader.mHistory.Since(it.mHeld),
                                       now);
      Later(Delay(), [this, aReader, params] { Receive(aReader, params); });
    }
  }

  void Receive(std::size_t aReader, const Json& aParams)
  {
    const auto news = ReadListNews(aParams, ReceiverClock());
    REQUIRE(news);
    const auto held = Held();
    const auto action = mReceiver.OnUpdate(news.value(), ReceiverClock());
    Note(held);
    if (std::holds_alternative<FetchWholeList>(action)) {
      FetchWhole(aReader);
    }
    const auto clock =
      static_cast<std::uint64_t>(ReceiverClock().time_since_epoch().count());
    const std::string digest = mReceiver.Digest();
    Later(Delay(), [this, aReader, digest, clock] {
      Reader& reader = mReaders[aReader];
      reader.mSender.OnAnswer(kReceiver, digest, clock, ClockOf(reader));
    });
  }

  void FetchWhole(std::size_t aReader)
  {
    const Instant sentAt = ReceiverClock();
    Later(Delay(), [this, aReader, sentAt] {
      const Reader& reader = mReaders[aReader];
      const auto span = reader.mList.Span();
      const Duration fromAge = ClockOf(reader) - span.mFrom;
      const Duration toAge = ClockOf(reader) - span.mTo;
      Later(Delay(), [this, sentAt, fromAge, toAge, vms = reader.mList.Vms()] {
        const auto held = Held();
        (void)mReceiver.OnWholeList(
          vms, "", { sentAt - fromAge, ReceiverClock() - toAge });
        Note(held);
      });
    });
  }

  void Note(std::size_t aHeldBefore)
  {
    mReverts += Held() < aHeldBefore ? 1 : 0;
    mChanges += Held() > aHeldBefore ? 1 : 0;
  }

  Random mRandom;
  Duration mNow{};
  std::size_t mState = 1;
  std::vector<Reader> mReaders;
  ListFollower mReceiver;
  std::multimap<Duration, std::function<void()>> mPending;
  int mReverts = 0;
  int mChanges = 0;
};

} // namespace

TEST_CASE("lists from two readers with late messages never revert, and arrive")
{
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Model model(seed);
    model.Run(300s);
    CHECK(model.Reverts() == 0);
    CHECK(model.State() - model.Held() <= 10);
    changes += model.Changes();
  }
  CHECK(changes > 400);
}

TEST_CASE("malformed news is refused")
{
  for (
    const char* text :
    { "[]",
      "{}",
      R"({"reader":"r","digest":"d","tag":"","from_age_us":-1,"to_age_us":0})",
      R"({"reader":"r","digest":"d","tag":"","from_age_us":18446744073709551615,
            "to_age_us":0})",
      R"({"reader":"r","digest":"d","tag":"","from_age_us":1,"to_age_us":0,
            "change":{"changed":[],"removed":[]}})" }) {
    CAPTURE(text);
    CHECK_FALSE(
      ReadListNews(ParseJson(text).value(), Instant() + 1000s).has_value());
  }
}

#include "../src/placement_codec.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

PlacementMessage
Message()
{
  PlacementMessage message;
  message.mClient = { DaemonId("d1"), 99 };
  message.mNewestRows = { TableVersion(7, 2), TableVersion(9, 2) };
  message.mReports = { { 5, std::nullopt }, { 4, SendOutcome::Full } };
  PlacementRequest request;
  request.mGroup = { ServiceId("e"), 3, 15 };
  request.mTicket = 6;
  request.mTimeLeft = 1500ms;
  request.mMustPlace = true;
  request.mQuery.mService = ServiceId("e");
  request.mQuery.mModel = ModelId("m");
  request.mQuery.mRank = 2;
  request.mQuery.mObjective = 400ms;
  request.mQuery.mAffinity = ~std::uint64_t{ 0 };
  request.mQuery.mTried = { ServerId("s1") };
  message.mRequest = request;
  message.mLimits = { { ServerId("s1"), 1.5, 250ms },
                      { ServerId("s2"), 0, 0ms } };
  message.mColds = { { ServerId("s3"), 2500ms },
                     { ServerId("s4"), std::nullopt } };
  message.mParts = { { PartKey(9), 1, 2s, { { DeathId(7), 1s } } },
                     { PartKey(8), 0, std::nullopt, {} } };
  return message;
}

} // namespace

TEST_CASE(
  "placement requests, reports and replies survive encoding and decoding")
{
  const auto read = DecodePlacementMessage(Encode(Message()));
  REQUIRE(read.has_value());
  const auto& message = read.value();
  CHECK(message.mClient.mIncarnation == 99);
  REQUIRE(message.mReports.size() == 2);
  CHECK_FALSE(message.mReports[0].mSendOutcome);
  CHECK(message.mReports[1].mSendOutcome == SendOutcome::Full);
  REQUIRE(message.mRequest);
  CHECK(message.mRequest->mGroup == Message().mRequest->mGroup);
  CHECK(message.mRequest->mTimeLeft == 1500ms);
  CHECK(message.mRequest->mMustPlace);
  CHECK(message.mRequest->mQuery.mAffinity == ~std::uint64_t{ 0 });
  CHECK(message.mRequest->mQuery.mRank == 2);
  CHECK(message.mRequest->mQuery.mTried == Message().mRequest->mQuery.mTried);
  PlacementAnswer answer;
  auto& reply = answer.mReply;
  reply.mTicket = 6;
  reply.mOutcome = PlacementOutcome::Busy;
  reply.mTime = 250ms;
  answer.mLimits = Message().mLimits;
  answer.mColds = Message().mColds;
  answer.mParts = Message().mParts;
  answer.mNewestRows = Message().mNewestRows;
  const auto again = DecodePlacementAnswer(Encode(answer));
  REQUIRE(again.has_value());
  CHECK(again.value().mReply.mTicket == 6);
  CHECK(again.value().mReply.mOutcome == PlacementOutcome::Busy);
  CHECK(again.value().mReply.mTime == 250ms);
  CHECK(message.mNewestRows == Message().mNewestRows);
  CHECK(again.value().mNewestRows == Message().mNewestRows);
  for (const auto& limits : { message.mLimits, again.value().mLimits }) {
    REQUIRE(limits.size() == 2);
    CHECK(limits[0].mServer == ServerId("s1"));
    CHECK(limits[0].mPerSecond == 1.5);
    CHECK(limits[0].mAge == 250ms);
    CHECK(limits[1].mPerSecond == 0);
  }
  for (const auto& colds : { message.mColds, again.value().mColds }) {
    REQUIRE(colds.size() == 2);
    CHECK(colds[0].mServer == ServerId("s3"));
    CHECK(colds[0].mLeft == 2500ms);
    CHECK_FALSE(colds[1].mLeft);
  }
  for (const auto& parts : { message.mParts, again.value().mParts }) {
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].mPart == PartKey(9));
    CHECK(parts[0].mPlace == 1);
    CHECK(parts[0].mSoundAge == 2s);
    REQUIRE(parts[0].mDeaths.size() == 1);
    CHECK(parts[0].mDeaths[0].mDeath == DeathId(7));
    CHECK(parts[0].mDeaths[0].mAge == 1s);
    CHECK_FALSE(parts[1].mSoundAge);
    CHECK(parts[1].mDeaths.empty());
  }
  CHECK(IsPlacementReply(Encode(answer)));
  CHECK_FALSE(IsPlacementReply(Encode(Message())));
}

TEST_CASE(
  "truncated datagrams are rejected and altered ones decode within limits")
{
  const auto good = Encode(Message());
  for (std::size_t n = 0; n < good.size(); ++n) {
    CHECK_FALSE(DecodePlacementMessage(good.substr(0, n)).has_value());
    CHECK_FALSE(DecodePlacementAnswer(good.substr(0, n)).has_value());
  }
  Random random(1);
  for (int n = 0; n < 20'000; ++n) {
    auto bytes = good;
    for (int k = 0; k < 3; ++k) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    const auto read = DecodePlacementMessage(bytes);
    if (read && read.value().mRequest) {
      CHECK(read.value().mRequest->mQuery.mRank < kRanks);
      CHECK(read.value().mRequest->mGroup.mNumber <
            read.value().mRequest->mGroup.mCount);
    }
  }
}

// Guards against a daemon that ends by a stack overflow when it reads a deeply
// nested datagram.
TEST_CASE("deeply nested datagrams are rejected on a fiber")
{
  constexpr std::size_t kBytes = 32'000;
  // An array of one element; an object of one entry with an empty key.
  for (const std::string level : { "\x81", "\xa1\x60" }) {
    std::string nested;
    while (nested.size() < kBytes) {
      nested += level;
    }
    CAPTURE(level.size());
    Loop loop;
    loop.Spawn([&] {
      CHECK_FALSE(DecodePlacementMessage("M" + nested).has_value());
      CHECK_FALSE(DecodePlacementAnswer("R" + nested).has_value());
      loop.Stop();
    });
    loop.Run();
  }
}

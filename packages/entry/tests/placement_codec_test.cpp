#include "../src/placement_codec.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

PlacementMessage
Message()
{
  PlacementMessage message;
  message.mClient = { DaemonId("d1"), 99 };
  message.mTells = { { 5, std::nullopt }, { 4, SendOutcome::Full } };
  PlacementRequest ask;
  ask.mGroup = { ServiceId("e"), 3, 15 };
  ask.mTicket = 6;
  ask.mTimeLeft = 1500ms;
  ask.mMustPlace = true;
  ask.mQuery.mService = ServiceId("e");
  ask.mQuery.mModel = ModelId("m");
  ask.mQuery.mRank = 2;
  ask.mQuery.mObjective = 400ms;
  ask.mQuery.mAffinity = ~std::uint64_t{ 0 };
  ask.mQuery.mTried = { ServerId("s1") };
  message.mAsk = ask;
  return message;
}

} // namespace

TEST_CASE("questions, news and replies are read as they were written")
{
  const auto read = DecodePlacementMessage(Encode(Message()));
  REQUIRE(read.has_value());
  const auto& message = read.value();
  CHECK(message.mClient.mIncarnation == 99);
  REQUIRE(message.mTells.size() == 2);
  CHECK_FALSE(message.mTells[0].mEnd);
  CHECK(message.mTells[1].mEnd == SendOutcome::Full);
  REQUIRE(message.mAsk);
  CHECK(message.mAsk->mGroup == Message().mAsk->mGroup);
  CHECK(message.mAsk->mTimeLeft == 1500ms);
  CHECK(message.mAsk->mMustPlace);
  CHECK(message.mAsk->mQuery.mAffinity == ~std::uint64_t{ 0 });
  CHECK(message.mAsk->mQuery.mRank == 2);
  CHECK(message.mAsk->mQuery.mTried == Message().mAsk->mQuery.mTried);
  PlacementReply reply;
  reply.mTicket = 6;
  reply.mOutcome = PlacementOutcome::Busy;
  reply.mTime = 250ms;
  const auto again = DecodePlacementReply(Encode(reply));
  REQUIRE(again.has_value());
  CHECK(again.value().mTicket == 6);
  CHECK(again.value().mOutcome == PlacementOutcome::Busy);
  CHECK(again.value().mTime == 250ms);
  CHECK(IsPlacementReply(Encode(reply)));
  CHECK_FALSE(IsPlacementReply(Encode(Message())));
}

TEST_CASE("datagrams that are cut or changed are refused or harmless")
{
  const auto good = Encode(Message());
  for (std::size_t n = 0; n < good.size(); ++n) {
    CHECK_FALSE(DecodePlacementMessage(good.substr(0, n)).has_value());
    CHECK_FALSE(DecodePlacementReply(good.substr(0, n)).has_value());
  }
  Random random(1);
  for (int n = 0; n < 20'000; ++n) {
    auto bytes = good;
    for (int k = 0; k < 3; ++k) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    const auto read = DecodePlacementMessage(bytes);
    if (read && read.value().mAsk) {
      CHECK(read.value().mAsk->mQuery.mRank < kRanks);
      CHECK(read.value().mAsk->mGroup.mNumber <
            read.value().mAsk->mGroup.mCount);
    }
  }
}
